#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* The world thread runs the stand-ins in one event loop; each of its callbacks
 * and each function of rig.h that touches them holds the lock. */

#define STORE_IP "127.10.2.1"
#define MAX_BODY (16 * 1024 * 1024)
#define HEARTBEAT_MS 1500
#define WORLD_TICK_MS 5
#define STOP_MS 50
#define CHECKPOINT_INTERVAL_MS 2000
#define RESTORE_MS 100
#define HOLD_MAX_MS 10000
#define MAX_LISTED_ENDS 500
#define DEFAULT_RUN_MS 300

enum {
	PORT_FRONTEND,
	PORT_READINESS,
	PORT_CONTROL,
	PORT_INTERNAL,
	PORT_APP,
	PORT_STORE,
	N_PORTS
};

struct item {
	char *key;
	/** As sent: base64. */
	char *value;
	gint64 revision;
	gint64 created;
	gint64 lease;
};

struct change {
	gint64 revision;
	char *key;
	/** NULL: deleted. */
	char *value;
	gint64 created;
	gint64 lease;
};

struct lease {
	gint64 ttl_ms;
	gint64 until_ms;
};

struct exchange {
	struct evhttp_request *req;
	json_t *answer;
	int status;
	/** Of a watch that waits. */
	char *prefix;
	gint64 after;
	gint64 until_ms;
};

struct run {
	char *task;
	int attempt;
	char *checkpoint;
	int run_ms;
	int checkpoint_bytes;
	int cpu_milli;
	gint64 begun_ms;
	/** Work done before this run, from its checkpoint. */
	gint64 done_before_ms;
	gint64 checkpoint_ms;
	gint64 stop_ms;
};

struct end {
	gint64 number;
	char *task;
	int attempt;
	const char *how;
	char *saved;
};

struct worker {
	int index;
	char *ip;
	char *id;
	gint64 born;
	gint64 started_ms;
	struct evhttp *server;
	gint64 fence;
	/** Worker's clock. */
	gint64 lease_until;
	GPtrArray *runs;
	GPtrArray *ends;
	gint64 last_end;
	/** Task to the highest attempt that was stopped or has ended. */
	GHashTable *closed;
	/** Holds that wait: struct exchange. */
	GPtrArray *holds;
	gint64 next_beat_ms;
	gint64 sequence;
	gboolean registered;
};

static struct {
	struct rig_options options;
	pthread_mutex_t lock;
	struct event_base *base;
	pthread_t thread;
	FILE *record;
	char *dir;
	gint64 start_ms;
	int ports[N_PORTS];
	pid_t entry_pids[RIG_MAX_ENTRIES];
	pid_t agent_pids[RIG_MAX_WORKERS];
	GHashTable *items;
	GPtrArray *history;
	GHashTable *leases;
	gint64 next_lease;
	gint64 revision;
	int answer_ms;
	/** Since when the store is silent; 0 if it is not. */
	gint64 silent_ms;
	int refused;
	GPtrArray *watches;
	struct worker workers[RIG_MAX_WORKERS];
	/** Tasks that were begun. */
	GPtrArray *begun;
} rig;

gint64 rig_now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

void rig_sleep_ms(int ms)
{
	g_usleep((gulong)ms * 1000);
}

gboolean rig_trouble(void)
{
	return g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
}

void rig_record(const char *format, ...)
{
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	va_list args;

	pthread_mutex_lock(&lock);
	fprintf(rig.record, "%8.3f ",
		(double)(rig_now_ms() - rig.start_ms) / 1000);
	va_start(args, format);
	vfprintf(rig.record, format, args);
	va_end(args);
	fputc('\n', rig.record);
	fflush(rig.record);
	pthread_mutex_unlock(&lock);
}

static void fail(const char *what)
{
	rig_record("cannot run: %s", what);
	fprintf(stderr, "cannot run: %s\n", what);
	rig_finish(2);
}

/* --- answers of the stand-ins --- */

static void free_exchange(struct exchange *ex)
{
	if (ex->answer)
		json_decref(ex->answer);
	g_free(ex->prefix);
	g_free(ex);
}

static void on_closed(struct evhttp_connection *connection G_GNUC_UNUSED,
		      void *ctx)
{
	((struct exchange *)ctx)->req = NULL;
}

static struct exchange *exchange_new(struct evhttp_request *req)
{
	struct exchange *ex = g_new0(struct exchange, 1);

	ex->req = req;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_closed, ex);
	return ex;
}

/* Sends the answer and frees the exchange. */
static void answer_now(struct exchange *ex)
{
	struct evbuffer *out;
	char *text;

	if (ex->req) {
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(ex->req), NULL, NULL);
		out = evhttp_request_get_output_buffer(ex->req);
		text = json_dumps(ex->answer, JSON_COMPACT);
		evbuffer_add(out, text, strlen(text));
		free(text);
		evhttp_add_header(evhttp_request_get_output_headers(ex->req),
				  "Content-Type", "application/json");
		evhttp_send_reply(ex->req, ex->status, NULL, NULL);
	}
	free_exchange(ex);
}

static void on_answer_due(evutil_socket_t fd G_GNUC_UNUSED,
			  short what G_GNUC_UNUSED, void *ctx)
{
	answer_now(ctx);
}

static void answer_after(struct exchange *ex, int status, json_t *answer,
			 int ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = ms % 1000 * 1000 };

	ex->status = status;
	ex->answer = answer;
	event_base_once(rig.base, -1, EV_TIMEOUT, on_answer_due, ex, &tv);
}

static json_t *read_body(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	const char *data = len ? (const char *)evbuffer_pullup(in, -1) : "{}";

	return json_loadb(data, len ? len : 2, 0, NULL);
}

/* --- the store --- */

static void free_item(gpointer data)
{
	struct item *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static json_t *item_json(const char *key, const char *value, gint64 revision,
			 gint64 created, gint64 lease)
{
	if (!value)
		return json_pack("{s:s,s:I,s:b}", "key", key, "revision",
				 (json_int_t)revision, "deleted", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", key, "value", value,
			 "revision", (json_int_t)revision, "created",
			 (json_int_t)created, "lease", (json_int_t)lease);
}

static void note_change(const char *key, const struct item *item)
{
	struct change *change = g_new0(struct change, 1);

	change->revision = rig.revision;
	change->key = g_strdup(key);
	if (item) {
		change->value = g_strdup(item->value);
		change->created = item->created;
		change->lease = item->lease;
	}
	g_ptr_array_add(rig.history, change);
}

static void put_item(const char *key, const char *value, gint64 lease)
{
	struct item *item = g_hash_table_lookup(rig.items, key);

	if (!item) {
		item = g_new0(struct item, 1);
		item->key = g_strdup(key);
		item->created = rig.revision;
		g_hash_table_insert(rig.items, item->key, item);
	}
	g_free(item->value);
	item->value = g_strdup(value);
	item->revision = rig.revision;
	item->lease = lease;
	note_change(key, item);
}

static void remove_item(const char *key)
{
	if (!g_hash_table_contains(rig.items, key))
		return;
	note_change(key, NULL);
	g_hash_table_remove(rig.items, key);
}

static json_t *events_of(const struct exchange *ex)
{
	json_t *events = json_array();
	guint i;

	for (i = 0; i < rig.history->len; i++) {
		const struct change *c = rig.history->pdata[i];

		if (c->revision > ex->after &&
		    g_str_has_prefix(c->key, ex->prefix))
			json_array_append_new(
				events, item_json(c->key, c->value, c->revision,
						  c->created, c->lease));
	}
	return events;
}

static void answer_watches(void)
{
	gint64 now_ms = rig_now_ms();
	guint i = 0;

	while (i < rig.watches->len) {
		struct exchange *ex = rig.watches->pdata[i];
		json_t *events = events_of(ex);

		if (!json_array_size(events) && now_ms < ex->until_ms &&
		    ex->req) {
			json_decref(events);
			i++;
			continue;
		}
		g_ptr_array_remove_index(rig.watches, i);
		answer_after(ex, 200,
			     json_pack("{s:o,s:I}", "events", events,
				       "store_revision",
				       (json_int_t)rig.revision),
			     rig.answer_ms);
	}
}

static void end_leases(void)
{
	gint64 now_ms = rig_now_ms();
	g_autoptr(GList) ids = g_hash_table_get_keys(rig.leases);
	g_autoptr(GList) keys = g_hash_table_get_keys(rig.items);
	GList *l;
	GList *k;

	for (l = ids; l; l = l->next) {
		gint64 id = *(gint64 *)l->data;
		struct lease *lease = g_hash_table_lookup(rig.leases, &id);

		if (now_ms < lease->until_ms)
			continue;
		for (k = keys; k; k = k->next) {
			struct item *item = g_hash_table_lookup(rig.items,
								k->data);

			if (!item || item->lease != id)
				continue;
			rig.revision++;
			rig_record("store: %s is removed, its lease has ended",
				   item->key);
			remove_item(item->key);
			k->data = (gpointer) "";
		}
		g_hash_table_remove(rig.leases, &id);
	}
}

static json_t *txn(const json_t *body, int *status)
{
	const json_t *expected = json_object_get(body, "expected_revision");
	const json_t *puts = json_object_get(body, "puts");
	const json_t *removes = json_object_get(body, "remove");
	gboolean holds = TRUE;
	json_t *items = json_array();
	size_t i;

	*status = 400;
	if (json_array_size(expected) + json_array_size(puts) +
		    json_array_size(removes) >
	    32)
		goto refused;
	for (i = 0; i < json_array_size(puts); i++) {
		const json_t *put = json_array_get(puts, i);
		const char *value =
			json_string_value(json_object_get(put, "value"));
		json_int_t lease =
			json_integer_value(json_object_get(put, "lease"));
		gint64 key = lease;
		size_t len = value ? strlen(value) : 0;
		size_t bytes = len / 4 * 3;

		while (len && value[len - 1] == '=' && bytes) {
			bytes--;
			len--;
		}
		if (!value || bytes > RIG_VALUE_BYTES) {
			if (!rig.refused++)
				rig_record("store: 400 for %s: its value has "
					   "%zu bytes, more than value_bytes",
					   json_string_value(
						   json_object_get(put, "key")),
					   bytes);
			goto refused;
		}
		if (lease && !g_hash_table_contains(rig.leases, &key)) {
			*status = 404;
			goto refused;
		}
	}
	for (i = 0; i < json_array_size(expected); i++) {
		const json_t *row = json_array_get(expected, i);
		const char *key =
			json_string_value(json_object_get(row, "key"));
		const struct item *item = g_hash_table_lookup(rig.items, key);

		if ((item ? item->revision : 0) !=
		    json_integer_value(json_object_get(row, "revision")))
			holds = FALSE;
		if (item)
			json_array_append_new(items, item_json(key, item->value,
							       item->revision,
							       item->created,
							       item->lease));
	}
	if (!holds) {
		*status = 412;
		return json_pack("{s:o}", "items", items);
	}
	json_decref(items);
	rig.revision++;
	for (i = 0; i < json_array_size(puts); i++) {
		const json_t *put = json_array_get(puts, i);

		put_item(json_string_value(json_object_get(put, "key")),
			 json_string_value(json_object_get(put, "value")),
			 json_integer_value(json_object_get(put, "lease")));
	}
	for (i = 0; i < json_array_size(removes); i++)
		remove_item(json_string_value(json_array_get(removes, i)));
	*status = 200;
	return json_pack("{s:I}", "revision", (json_int_t)rig.revision);
refused:
	json_decref(items);
	return json_object();
}

static int compare_items(gconstpointer a, gconstpointer b)
{
	return strcmp((*(struct item *const *)a)->key,
		      (*(struct item *const *)b)->key);
}

static json_t *range(const char *prefix, const char *after)
{
	g_autoptr(GPtrArray) found = g_ptr_array_new();
	json_t *items = json_array();
	GHashTableIter iter;
	gpointer value;
	size_t bytes = 0;
	guint i;

	g_hash_table_iter_init(&iter, rig.items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct item *item = value;

		if (g_str_has_prefix(item->key, prefix) &&
		    (!after || strcmp(item->key, after) > 0))
			g_ptr_array_add(found, item);
	}
	g_ptr_array_sort(found, compare_items);
	for (i = 0; i < found->len && i < 500 && bytes < 1000000; i++) {
		const struct item *item = found->pdata[i];

		bytes += strlen(item->value);
		json_array_append_new(
			items, item_json(item->key, item->value, item->revision,
					 item->created, item->lease));
	}
	return json_pack("{s:o,s:b,s:I}", "items", items, "has_more",
			 i < found->len, "store_revision",
			 (json_int_t)rig.revision);
}

static void on_store(struct evhttp_request *req, void *ctx G_GNUC_UNUSED)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	struct evkeyvalq query;
	struct exchange *ex = exchange_new(req);
	json_t *body = read_body(req);
	json_t *answer = NULL;
	int status = 200;
	gint64 *id;

	pthread_mutex_lock(&rig.lock);
	if (rig.silent_ms) {
		/* Neither done nor answered; the exchange ends with its
		 * connection. */
		json_decref(body);
		pthread_mutex_unlock(&rig.lock);
		return;
	}
	end_leases();
	evhttp_parse_query_str(
		evhttp_uri_get_query(uri) ? evhttp_uri_get_query(uri) : "",
		&query);
	if (!strcmp(path, "/radishpier/kv-txn")) {
		answer = txn(body, &status);
		answer_watches();
	} else if (!strcmp(path, "/radishpier/kv-range")) {
		answer = range(evhttp_find_header(&query, "prefix"),
			       evhttp_find_header(&query, "after"));
	} else if (!strcmp(path, "/radishpier/kv-watch")) {
		ex->prefix = g_strdup(evhttp_find_header(&query, "prefix"));
		ex->after = g_ascii_strtoll(evhttp_find_header(&query, "after"),
					    NULL, 10);
		ex->until_ms =
			rig_now_ms() +
			g_ascii_strtoll(evhttp_find_header(&query, "wait_ms"),
					NULL, 10);
		g_ptr_array_add(rig.watches, ex);
		answer_watches();
		ex = NULL;
	} else if (!strcmp(path, "/radishpier/kv-lease")) {
		struct lease *lease = g_new0(struct lease, 1);

		lease->ttl_ms =
			json_integer_value(json_object_get(body, "ttl_ms"));
		lease->until_ms = rig_now_ms() + lease->ttl_ms;
		id = g_new(gint64, 1);
		*id = rig.next_lease++;
		answer = json_pack("{s:I,s:I}", "lease", (json_int_t)*id,
				   "ttl_ms", (json_int_t)lease->ttl_ms);
		g_hash_table_insert(rig.leases, id, lease);
	} else if (g_str_has_prefix(path, "/radishpier/kv-keep/") ||
		   g_str_has_prefix(path, "/radishpier/kv-lease-end/")) {
		gint64 key = g_ascii_strtoll(strrchr(path, '/') + 1, NULL, 10);
		struct lease *lease = g_hash_table_lookup(rig.leases, &key);

		status = lease ? 200 : 404;
		answer = lease ? json_pack("{s:I}", "ttl_ms",
					   (json_int_t)lease->ttl_ms)
			       : json_object();
		if (lease && strstr(path, "kv-keep"))
			lease->until_ms = rig_now_ms() + lease->ttl_ms;
		else if (lease)
			lease->until_ms = 0;
		end_leases();
	} else {
		status = 400;
		answer = json_object();
	}
	if (ex)
		answer_after(ex, status, answer, rig.answer_ms);
	evhttp_clear_headers(&query);
	json_decref(body);
	pthread_mutex_unlock(&rig.lock);
}

/* --- the workers --- */

static gint64 clock_of(const struct worker *w)
{
	return rig_now_ms() - w->started_ms + 1000;
}

static void free_run(gpointer data)
{
	struct run *run = data;

	g_free(run->task);
	g_free(run->checkpoint);
	g_free(run);
}

static void free_end(gpointer data)
{
	struct end *end = data;

	g_free(end->task);
	g_free(end->saved);
	g_free(end);
}

/* Reads NAME=NUMBER from a task's spec. */
static int spec_number(const char *spec, const char *name, int fallback)
{
	const char *at = spec ? strstr(spec, name) : NULL;

	return at ? atoi(at + strlen(name)) : fallback;
}

static gint64 worked_ms(const struct run *run, gint64 now_ms)
{
	return MAX(now_ms - run->begun_ms, 0) + run->done_before_ms;
}

static void save(struct run *run, gint64 now_ms)
{
	g_free(run->checkpoint);
	run->checkpoint = g_strdup_printf("%0*" G_GINT64_FORMAT,
					  run->checkpoint_bytes,
					  worked_ms(run, now_ms));
	run->checkpoint_ms = now_ms;
}

static void close_run(struct worker *w, const char *task, int attempt)
{
	int highest = GPOINTER_TO_INT(g_hash_table_lookup(w->closed, task));

	g_hash_table_insert(w->closed, g_strdup(task),
			    GINT_TO_POINTER(MAX(highest, attempt)));
}

/* Ends the run, which is freed. */
static void end_run(struct worker *w, struct run *run, const char *how)
{
	struct end *end = g_new0(struct end, 1);

	end->number = ++w->last_end;
	end->task = g_strdup(run->task);
	end->attempt = run->attempt;
	end->how = how;
	if (strcmp(how, "done"))
		end->saved = g_strdup(run->checkpoint);
	g_ptr_array_add(w->ends, end);
	close_run(w, run->task, run->attempt);
	rig_record("worker %d: %s attempt %d ends: %s", w->index, run->task,
		   run->attempt, how);
	g_ptr_array_remove(w->runs, run);
}

static json_t *hold_json(const struct worker *w)
{
	json_t *running = json_array();
	json_t *finished = json_array();
	gint64 now_ms = rig_now_ms();
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct run *run = w->runs->pdata[i];
		int percent = (int)MIN(
			worked_ms(run, now_ms) * 100 / MAX(run->run_ms, 1), 99);

		json_array_append_new(
			running,
			json_pack("[s,i,s,i,i]", run->task, run->attempt,
				  run->checkpoint ? run->checkpoint : "",
				  percent, run->cpu_milli));
	}
	for (i = 0; i < w->ends->len && i < MAX_LISTED_ENDS; i++) {
		const struct end *end = w->ends->pdata[i];

		json_array_append_new(
			finished,
			json_pack("[I,s,i,s,s]", (json_int_t)end->number,
				  end->task, end->attempt, end->how,
				  end->saved ? end->saved : ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)clock_of(w), "born", (json_int_t)w->born,
			 "running", running, "finished", finished);
}

static json_t *clock_json(const struct worker *w, const char *reason)
{
	json_t *json = json_pack("{s:I,s:I}", "clock_ms",
				 (json_int_t)clock_of(w), "born",
				 (json_int_t)w->born);

	if (reason)
		json_object_set_new(json, "reason", json_string(reason));
	return json;
}

static void extend_lease(struct worker *w, const json_t *body)
{
	gint64 until = json_integer_value(json_object_get(body, "deadline_ms"));

	w->lease_until = MAX(w->lease_until,
			     MIN(until, clock_of(w) + HOLD_MAX_MS));
}

static struct run *find_run(const struct worker *w, const char *task,
			    int attempt)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		struct run *run = w->runs->pdata[i];

		if (run->attempt == attempt && !strcmp(run->task, task))
			return run;
	}
	return NULL;
}

/* Returns the reason of a refusal, or NULL. */
static const char *start_run(struct worker *w, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int attempt = (int)json_integer_value(json_object_get(body, "attempt"));
	const char *spec = json_string_value(json_object_get(body, "spec"));
	const char *checkpoint =
		json_string_value(json_object_get(body, "checkpoint"));
	struct run *run;

	extend_lease(w, body);
	if (find_run(w, task, attempt))
		return NULL;
	if (attempt <= GPOINTER_TO_INT(g_hash_table_lookup(w->closed, task)))
		return "old";
	if (w->lease_until <= clock_of(w))
		return "late";
	run = g_new0(struct run, 1);
	run->task = g_strdup(task);
	run->attempt = attempt;
	run->run_ms = spec_number(spec, "run_ms=", DEFAULT_RUN_MS);
	run->checkpoint_bytes = spec_number(spec, "checkpoint_bytes=", 0);
	run->cpu_milli = spec_number(spec, "cpu_milli=", 0);
	run->begun_ms = rig_now_ms();
	run->checkpoint_ms = run->begun_ms;
	if (checkpoint && *checkpoint) {
		run->checkpoint = g_strdup(checkpoint);
		run->done_before_ms = g_ascii_strtoll(checkpoint, NULL, 10);
		run->begun_ms += RESTORE_MS;
	}
	g_ptr_array_add(w->runs, run);
	g_ptr_array_add(rig.begun, g_strdup(task));
	rig_record("worker %d: %s attempt %d begins", w->index, task, attempt);
	return NULL;
}

static void answer_hold(struct worker *w, guint i)
{
	struct exchange *ex = w->holds->pdata[i];

	g_ptr_array_remove_index(w->holds, i);
	answer_after(ex, 200, hold_json(w), 0);
}

static void hold(struct worker *w, const json_t *body, struct exchange *ex)
{
	gint64 acked =
		json_integer_value(json_object_get(body, "acked_through"));
	gint64 wait_ms = json_integer_value(json_object_get(body, "wait_ms"));

	extend_lease(w, body);
	while (w->ends->len &&
	       ((struct end *)w->ends->pdata[0])->number <= acked)
		g_ptr_array_remove_index(w->ends, 0);
	ex->until_ms = rig_now_ms() + MIN(wait_ms, 2000);
	g_ptr_array_add(w->holds, ex);
	if (!wait_ms || w->ends->len)
		answer_hold(w, w->holds->len - 1);
}

static void on_worker(struct evhttp_request *req, void *ctx)
{
	struct worker *w = ctx;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	const char *expected = evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Expect-Instance");
	struct exchange *ex = exchange_new(req);
	json_t *body = read_body(req);
	gint64 token =
		json_integer_value(json_object_get(body, "fencing_token"));
	const char *task = json_string_value(json_object_get(body, "task"));
	int attempt = (int)json_integer_value(json_object_get(body, "attempt"));
	const char *reason = NULL;
	struct run *run;

	pthread_mutex_lock(&rig.lock);
	if (expected && strcmp(expected, w->id)) {
		answer_after(ex, 421, clock_json(w, NULL), 0);
	} else if (token < w->fence) {
		answer_after(ex, 409, clock_json(w, "fence"), 0);
	} else {
		w->fence = token;
		if (!strcmp(path, "/radishpier/hold")) {
			hold(w, body, ex);
		} else if (!strcmp(path, "/radishpier/run-start")) {
			reason = start_run(w, body);
			answer_after(ex, reason ? 409 : 200,
				     clock_json(w, reason), 0);
		} else if (!strcmp(path, "/radishpier/run-stop")) {
			run = find_run(w, task, attempt);
			if (run && !run->stop_ms)
				run->stop_ms = rig_now_ms() + STOP_MS;
			close_run(w, task, attempt);
			answer_after(ex, 200, clock_json(w, NULL), 0);
		} else {
			answer_after(ex, 200, clock_json(w, NULL), 0);
		}
	}
	json_decref(body);
	pthread_mutex_unlock(&rig.lock);
}

static void on_beat_done(struct evhttp_request *req, void *ctx)
{
	struct worker *w = ctx;

	if (req && evhttp_request_get_response_code(req) == 200)
		w->registered = TRUE;
}

static void send_beat(struct worker *w)
{
	struct evhttp_connection *connection = evhttp_connection_base_new(
		rig.base, NULL, w->ip, (unsigned short)rig.ports[PORT_CONTROL]);
	struct evhttp_request *req = evhttp_request_new(on_beat_done, w);
	g_autofree char *path =
		g_strdup_printf("/radishpier/instances/%s/heartbeat", w->id);
	g_autofree char *rack = g_strdup_printf("r1-%d", w->index / 3 + 1);
	g_autofree char *address = g_strdup_printf("%s:%d", w->ip,
						   rig.ports[PORT_APP]);
	json_t *json = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,"
		"s:I}",
		"backend", "jurado", "address", address, "zone", "cusco-a",
		"version", "v1", "slots", 8, "state", "ready",
		"cold_remaining_ms", 0, "capacity", "cpu",
		rig.options.cpu_milli, "mem_mb", rig.options.mem_mb, "gpu", 0,
		"labels", "a", rack, "clock_ms", (json_int_t)clock_of(w),
		"sequence", (json_int_t)++w->sequence, "born",
		(json_int_t)w->born);
	char *text = json_dumps(json, JSON_COMPACT);

	evhttp_connection_set_timeout(connection, 1);
	evhttp_connection_free_on_completion(connection);
	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  address);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	evhttp_make_request(connection, req, EVHTTP_REQ_POST, path);
	free(text);
	json_decref(json);
}

static void work(struct worker *w, gint64 now_ms)
{
	gboolean lapsed = w->lease_until && w->lease_until <= clock_of(w);
	gboolean new_ends = FALSE;
	guint i = 0;

	while (i < w->runs->len) {
		struct run *run = w->runs->pdata[i];
		const char *how = NULL;

		if (lapsed)
			how = "lapsed";
		else if (worked_ms(run, now_ms) >= run->run_ms)
			how = "done";
		else if (run->stop_ms && now_ms >= run->stop_ms)
			how = "stopped";
		if (run->checkpoint_bytes && !lapsed &&
		    (how ||
		     now_ms >= run->checkpoint_ms + CHECKPOINT_INTERVAL_MS))
			save(run, now_ms);
		if (!how) {
			i++;
			continue;
		}
		end_run(w, run, how);
		new_ends = TRUE;
	}
	i = 0;
	while (i < w->holds->len) {
		struct exchange *ex = w->holds->pdata[i];

		if (new_ends || !ex->req || now_ms >= ex->until_ms)
			answer_hold(w, i);
		else
			i++;
	}
	if (now_ms >= w->next_beat_ms) {
		w->next_beat_ms = now_ms + (w->registered ? HEARTBEAT_MS : 200);
		send_beat(w);
	}
}

static void on_tick(evutil_socket_t fd G_GNUC_UNUSED, short what G_GNUC_UNUSED,
		    void *ctx G_GNUC_UNUSED)
{
	int i;

	pthread_mutex_lock(&rig.lock);
	if (!rig.silent_ms) {
		end_leases();
		answer_watches();
	}
	for (i = 0; i < rig.options.workers; i++)
		work(&rig.workers[i], rig_now_ms());
	pthread_mutex_unlock(&rig.lock);
}

static struct evhttp *serve(const char *ip, int port,
			    void (*fn)(struct evhttp_request *, void *),
			    void *ctx)
{
	struct evhttp *server = evhttp_new(rig.base);

	evhttp_set_allowed_methods(server, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
						   EVHTTP_REQ_DELETE);
	evhttp_set_max_body_size(server, MAX_BODY);
	evhttp_set_gencb(server, fn, ctx);
	if (evhttp_bind_socket(server, ip, (unsigned short)port) < 0)
		fail("an address is in use");
	return server;
}

static void *world(void *arg G_GNUC_UNUSED)
{
	static const struct timeval tv = { .tv_usec = WORLD_TICK_MS * 1000 };
	struct event *tick = event_new(rig.base, -1, EV_PERSIST, on_tick, NULL);

	event_add(tick, &tv);
	event_base_dispatch(rig.base);
	return NULL;
}

static void worker_init(int i)
{
	struct worker *w = &rig.workers[i];

	w->index = i;
	w->ip = g_strdup_printf("127.10.1.%d", i + 1);
	w->id = g_strdup_printf("i-%08x", 0x7f3a9100 + i);
	w->born = g_get_real_time() / 1000;
	w->started_ms = rig_now_ms();
	w->runs = g_ptr_array_new_with_free_func(free_run);
	w->ends = g_ptr_array_new_with_free_func(free_end);
	w->closed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  NULL);
	w->holds = g_ptr_array_new();
	w->server = serve(w->ip, rig.ports[PORT_APP], on_worker, w);
}

/* --- processes --- */

static char *machine_name(gboolean entry, int i)
{
	static const char *const zones[] = { "cusco-a", "arequipa-b",
					     "puno-c" };

	return g_strdup_printf("%s-%s-%d", entry ? "edge" : "side",
			       zones[i % 3], i / 3 + 1);
}

static char *write_settings(gboolean entry, int i)
{
	static const char *const zones[] = { "cusco-a", "arequipa-b",
					     "puno-c" };
	g_autofree char *name = machine_name(entry, i);
	g_autofree char *ip = g_strdup_printf("127.10.%d.%d", entry ? 0 : 1,
					      i + 1);
	g_autofree char *store = g_strdup_printf("%s:%d", STORE_IP,
						 rig.ports[PORT_STORE]);
	g_autofree char *app = g_strdup_printf("%s:%d", ip,
					       rig.ports[PORT_APP]);
	g_autofree char *frontend = g_strdup_printf("%s:%d", ip,
						    rig.ports[PORT_FRONTEND]);
	g_autofree char *readiness = g_strdup_printf("%s:%d", ip,
						     rig.ports[PORT_READINESS]);
	g_autofree char *control = g_strdup_printf("%s:%d", ip,
						   rig.ports[PORT_CONTROL]);
	char *path = g_strdup_printf("%s/%s.json", rig.dir, name);
	json_t *json = json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:s,s:[i,i],s:[],s:b,s:{s:f,s:i,s:i,s:i},"
		"s:i,s:s,s:{s:s,s:s,s:i,s:i,s:i,s:i,s:i}}",
		"node_name", name, "role", entry ? "entry" : "agent",
		"machine_class", entry ? "edge" : "side", "ip", ip, "zone",
		zones[i % 3], "region", "sur-andino", "internal_ports",
		rig.ports[PORT_INTERNAL], rig.ports[PORT_INTERNAL] + 15,
		"seeds", "bootstrap", 1, "limits", "cpu_share",
		entry ? 0.25 : 0.15, "cores", 1, "memory_mb",
		entry ? RIG_ENTRY_MEMORY_MB : 128, "max_fds",
		entry ? 4100 : 4096, "heartbeat_ms", HEARTBEAT_MS, "commands",
		"request", "platform", "address", store, "form", "kv",
		"writes_per_s", 400, "reads_per_s", 2000, "history_s", 20,
		"value_bytes", RIG_VALUE_BYTES, "ttl_min_ms", 1000);

	if (entry) {
		json_object_set_new(json, "listen",
				    json_pack("{s:s,s:s}", "frontend", frontend,
					      "readiness", readiness));
	} else {
		json_object_set_new(
			json, "listen",
			json_pack("{s:s}", "control_plane", control));
		json_object_set_new(json, "app", json_string(app));
		json_object_set_new(json, "backend", json_string("jurado"));
	}
	if (json_dump_file(json, path, JSON_COMPACT) < 0)
		fail("cannot write the settings");
	json_decref(json);
	return path;
}

static char *root_dir(void)
{
	const char *root = g_getenv("RIG_ROOT");

	return g_strdup(root ? root : "../..");
}

static pid_t spawn(gboolean entry, int i)
{
	g_autofree char *name = machine_name(entry, i);
	g_autofree char *settings = write_settings(entry, i);
	g_autofree char *log = g_strdup_printf("%s/%s.log", rig.dir, name);
	g_autofree char *root = root_dir();
	pid_t pid = fork();
	int fd;

	if (pid < 0)
		fail("cannot start a process");
	if (pid)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	dup2(fd, 1);
	dup2(fd, 2);
	for (fd = 3; fd < 1024; fd++)
		close(fd);
	g_setenv("RADISHPIER_CONFIG", settings, TRUE);
	if (chdir(root) == 0) {
		/* The commands of deploy/system.toml. */
		if (entry)
			execl("target/bin/radishpier", "target/bin/radishpier",
			      "serve-platform", NULL);
		else
			execl("target/bin/radishpier-agent",
			      "target/bin/radishpier-agent", "--platform",
			      NULL);
	}
	_exit(127);
}

void rig_start_entry(int i)
{
	g_autofree char *name = machine_name(TRUE, i);

	rig.entry_pids[i] = spawn(TRUE, i);
	rig_record("%s is started", name);
}

void rig_kill_entry(int i)
{
	g_autofree char *name = machine_name(TRUE, i);

	if (!rig.entry_pids[i])
		return;
	kill(rig.entry_pids[i], SIGKILL);
	waitpid(rig.entry_pids[i], NULL, 0);
	rig.entry_pids[i] = 0;
	rig_record("%s is killed", name);
}

void rig_signal_entry(int i, int signal)
{
	g_autofree char *name = machine_name(TRUE, i);

	rig_record("%s gets signal %d", name, signal);
	kill(rig.entry_pids[i], signal);
}

int rig_entry_rss_mb(int i)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status",
						(int)rig.entry_pids[i]);
	g_autofree char *text = NULL;
	const char *line;

	if (!rig.entry_pids[i] || !g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	line = strstr(text, "VmRSS:");
	return line ? atoi(line + strlen("VmRSS:")) / 1024 : 0;
}

/* --- clients --- */

static struct rig_answer http(const char *ip, int port, const char *method,
			      const char *host, const char *path,
			      const char *body, int deadline_ms)
{
	struct rig_answer answer = { 0 };
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons((uint16_t)port) };
	struct timeval tv = { .tv_sec = deadline_ms / 1000,
			      .tv_usec = deadline_ms % 1000 * 1000 };
	gint64 began_ms = rig_now_ms();
	g_autoptr(GString) out = g_string_new(NULL);
	g_autoptr(GString) in = g_string_new(NULL);
	char buffer[4096];
	const char *headers_end;
	const char *length;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ssize_t n;

	inet_pton(AF_INET, ip, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	g_string_append_printf(out,
			       "%s %s HTTP/1.1\r\nHost: %s\r\n"
			       "X-Deadline-Ms: %d\r\n",
			       method, path, host, deadline_ms);
	if (body)
		g_string_append_printf(out,
				       "Content-Type: application/json\r\n"
				       "Content-Length: %zu\r\n\r\n%s",
				       strlen(body), body);
	else
		g_string_append(out, "\r\n");
	if (!connect(fd, (struct sockaddr *)&addr, sizeof(addr)) &&
	    send(fd, out->str, out->len, MSG_NOSIGNAL) == (ssize_t)out->len) {
		while ((n = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
			g_string_append_len(in, buffer, n);
			headers_end = strstr(in->str, "\r\n\r\n");
			length = strcasestr(in->str, "Content-Length:");
			if (headers_end && length && length < headers_end &&
			    strlen(headers_end + 4) >=
				    (size_t)atoi(length + 15)) {
				answer.status = atoi(in->str + 9);
				g_strlcpy(answer.body, headers_end + 4,
					  sizeof(answer.body));
				break;
			}
		}
	}
	close(fd);
	answer.took_ms = rig_now_ms() - began_ms;
	return answer;
}

struct rig_answer rig_call_quietly(int entry, const char *method,
				   const char *path, const char *body,
				   int deadline_ms)
{
	g_autofree char *ip = g_strdup_printf("127.10.0.%d", entry + 1);

	return http(ip, rig.ports[PORT_FRONTEND], method, "nony24.example",
		    path, body, deadline_ms);
}

struct rig_answer rig_call(int entry, const char *method, const char *path,
			   const char *body, int deadline_ms)
{
	g_autofree char *name = machine_name(TRUE, entry);
	struct rig_answer answer;

	rig_record("client -> %s: %s %s", name, method, path);
	answer = rig_call_quietly(entry, method, path, body, deadline_ms);
	if (answer.status)
		rig_record("client <- %s: %s %s: %d %s, after %d ms", name,
			   method, path, answer.status, answer.body,
			   (int)answer.took_ms);
	else
		rig_record(
			"client <- %s: %s %s: no complete answer, after %d ms",
			name, method, path, (int)answer.took_ms);
	return answer;
}

gboolean rig_wait_ready(int entry, int wait_ms)
{
	g_autofree char *ip = g_strdup_printf("127.10.0.%d", entry + 1);
	gint64 until_ms = rig_now_ms() + wait_ms;

	while (rig_now_ms() < until_ms) {
		if (http(ip, rig.ports[PORT_READINESS], "GET", ip,
			 "/radishpier/readyz", NULL, 1000)
			    .status == 200)
			return TRUE;
		rig_sleep_ms(2);
	}
	return FALSE;
}

int rig_leader(void)
{
	const struct item *item;
	g_autofree guchar *text = NULL;
	gsize len;
	int found = -1;
	int i;

	pthread_mutex_lock(&rig.lock);
	item = g_hash_table_lookup(rig.items, "radishpier/leader");
	if (item)
		text = g_base64_decode(item->value, &len);
	pthread_mutex_unlock(&rig.lock);
	for (i = 0; text && i < rig.options.entries; i++) {
		g_autofree char *name = machine_name(TRUE, i);

		if (len > strlen(name) && !memcmp(text, name, strlen(name)) &&
		    text[strlen(name)] == ' ')
			found = i;
	}
	return found;
}

void rig_store_answer_ms(int ms)
{
	pthread_mutex_lock(&rig.lock);
	rig.answer_ms = ms;
	pthread_mutex_unlock(&rig.lock);
	rig_record("the store answers after %d ms", ms);
}

void rig_store_silent(gboolean silent)
{
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&rig.lock);
	if (silent) {
		rig.silent_ms = rig_now_ms();
		/* The watches that wait are not answered any more. */
		g_ptr_array_set_size(rig.watches, 0);
	} else {
		g_hash_table_iter_init(&iter, rig.leases);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			((struct lease *)value)->until_ms += rig_now_ms() -
							     rig.silent_ms;
		rig.silent_ms = 0;
	}
	pthread_mutex_unlock(&rig.lock);
	rig_record("the store %s", silent ? "is silent" : "answers again");
}

static void put_config(int version, const char *routes)
{
	g_autofree char *config = g_strdup_printf(
		"{\"version\":%d,\"routes\":%s,\"backends\":[{\"name\":"
		"\"jurado\","
		"\"health_path\":\"/healthz\",\"max_connections\":64,"
		"\"protocol\":\"h1\",\"tls\":false,\"enforce_capacity\":false,"
		"\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
		"\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
		"\"idle_timeout_ms\":15000}}",
		version, routes);
	g_autofree char *value = g_base64_encode((const guchar *)config,
						 strlen(config));

	rig.revision++;
	put_item("op/config", value, 0);
}

void rig_write_config(int version, const char *routes)
{
	pthread_mutex_lock(&rig.lock);
	/* The world thread answers the watches. */
	put_config(version, routes);
	pthread_mutex_unlock(&rig.lock);
	rig_sleep_ms(RIG_STORE_ANSWER_MS);
	rig_record("operator: configuration %d is acknowledged", version);
}

int rig_store_refused(void)
{
	int n;

	pthread_mutex_lock(&rig.lock);
	n = rig.refused;
	pthread_mutex_unlock(&rig.lock);
	return n;
}

int rig_begun(const char *prefix)
{
	int n = 0;
	guint i;

	pthread_mutex_lock(&rig.lock);
	for (i = 0; i < rig.begun->len; i++)
		n += g_str_has_prefix(rig.begun->pdata[i], prefix);
	pthread_mutex_unlock(&rig.lock);
	return n;
}

int rig_at_work(const char *prefix)
{
	int n = 0;
	int w;
	guint i;

	pthread_mutex_lock(&rig.lock);
	for (w = 0; w < rig.options.workers; w++)
		for (i = 0; i < rig.workers[w].runs->len; i++)
			n += g_str_has_prefix(
				((struct run *)rig.workers[w].runs->pdata[i])
					->task,
				prefix);
	pthread_mutex_unlock(&rig.lock);
	return n;
}

int rig_workers_up(void)
{
	int n = 0;
	int w;

	pthread_mutex_lock(&rig.lock);
	for (w = 0; w < rig.options.workers; w++)
		n += rig.workers[w].registered;
	pthread_mutex_unlock(&rig.lock);
	return n;
}

/* --- start and end --- */

static void choose_ports(void)
{
	int fds[N_PORTS];
	int i;

	for (i = 0; i < N_PORTS; i++) {
		struct sockaddr_in addr = { .sin_family = AF_INET };
		socklen_t len = sizeof(addr);

		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		addr.sin_addr.s_addr = htonl(INADDR_ANY);
		if (bind(fds[i], (struct sockaddr *)&addr, len) < 0 ||
		    getsockname(fds[i], (struct sockaddr *)&addr, &len) < 0)
			fail("no free port");
		rig.ports[i] = ntohs(addr.sin_port);
	}
	for (i = 0; i < N_PORTS; i++)
		close(fds[i]);
}

static void on_timeout(int signal G_GNUC_UNUSED)
{
	static const char text[] = "cannot run: it took over 118 s\n";

	if (write(2, text, sizeof(text) - 1) < 0)
		_exit(2);
	_exit(2);
}

void rig_start(const struct rig_options *options)
{
	gint64 until_ms;
	int i;

	rig.options = *options;
	rig.start_ms = rig_now_ms();
	rig.record = fopen("record.txt", "w");
	if (!rig.record) {
		fprintf(stderr, "cannot run: record.txt cannot be written\n");
		exit(2);
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_timeout);
	alarm(118);
	rig.dir = g_dir_make_tmp("radishpier-review-XXXXXX", NULL);
	if (!rig.dir)
		fail("no temporary folder");
	pthread_mutex_init(&rig.lock, NULL);
	rig.base = event_base_new();
	rig.items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  free_item);
	rig.history = g_ptr_array_new();
	rig.leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	rig.next_lease = 77120;
	rig.revision = 400;
	rig.answer_ms = RIG_STORE_ANSWER_MS;
	rig.watches = g_ptr_array_new();
	rig.begun = g_ptr_array_new();
	choose_ports();
	rig_record("%s%s", options->name,
		   rig_trouble() ? "" : ", without trouble");
	put_config(7, options->routes);
	serve(STORE_IP, rig.ports[PORT_STORE], on_store, NULL);
	for (i = 0; i < options->workers; i++)
		worker_init(i);
	if (pthread_create(&rig.thread, NULL, world, NULL))
		fail("no thread");
	for (i = 0; i < options->entries; i++)
		rig_start_entry(i);
	for (i = 0; i < options->workers; i++)
		rig.agent_pids[i] = spawn(FALSE, i);
	for (i = 0; i < options->entries; i++)
		if (!rig_wait_ready(i, 15000))
			fail("an entry is not ready");
	until_ms = rig_now_ms() + 15000;
	while (rig_workers_up() < options->workers) {
		if (rig_now_ms() > until_ms)
			fail("a worker has no acknowledgement");
		rig_sleep_ms(20);
	}
	/* Traffic starts later than the machines. */
	rig_sleep_ms(3000);
}

void rig_finish(int status)
{
	const char *name;
	GDir *dir;
	int i;

	for (i = 0; i < RIG_MAX_ENTRIES; i++)
		if (rig.entry_pids[i] > 0) {
			kill(rig.entry_pids[i], SIGKILL);
			waitpid(rig.entry_pids[i], NULL, 0);
		}
	for (i = 0; i < RIG_MAX_WORKERS; i++)
		if (rig.agent_pids[i] > 0) {
			kill(rig.agent_pids[i], SIGKILL);
			waitpid(rig.agent_pids[i], NULL, 0);
		}
	if (rig.dir && !g_getenv("RIG_KEEP")) {
		dir = g_dir_open(rig.dir, 0, NULL);
		while (dir && (name = g_dir_read_name(dir))) {
			g_autofree char *path = g_build_filename(rig.dir, name,
								 NULL);

			g_unlink(path);
		}
		if (dir)
			g_dir_close(dir);
		g_rmdir(rig.dir);
	} else if (rig.dir) {
		fprintf(stderr, "logs: %s\n", rig.dir);
	}
	rig_record("%s", status == 1   ? "the rule was broken"
			 : status == 0 ? "the rule held"
				       : "the case could not run");
	fflush(NULL);
	_exit(status);
}
