#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/** A script may run for 120 s. */
#define MAX_RUN_MS 117000

struct event_base *rig_base;
gboolean rig_trouble;
GPtrArray *rig_runs;

static FILE *record;
static gint64 began_ms;
static char *tmp_dir;
static GPtrArray *processes;
static GPtrArray *workers;
static struct event *tick_event;
static struct event *quota_event;

static gint64 steady_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (gint64)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

gint64 rig_ms(void)
{
	return steady_ms() - began_ms;
}

void rig_log(const char *format, ...)
{
	va_list args;

	fprintf(record, "%8.3f ", (double)rig_ms() / 1000);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
}

static void on_timeout(evutil_socket_t fd G_GNUC_UNUSED,
		       short what G_GNUC_UNUSED, void *ctx)
{
	*(gboolean *)ctx = TRUE;
}

static gboolean is_true(void *ctx)
{
	return *(gboolean *)ctx;
}

gboolean rig_wait(gboolean (*done)(void *ctx), void *ctx, gint64 ms)
{
	gint64 until = rig_ms() + ms;

	while (!done(ctx) && rig_ms() < until)
		event_base_loop(rig_base, EVLOOP_ONCE);
	return done(ctx);
}

void rig_run(gint64 ms)
{
	gboolean over = FALSE;
	struct timeval tv = { ms / 1000, ms % 1000 * 1000 };
	struct event *timer = event_new(rig_base, -1, 0, on_timeout, &over);

	event_add(timer, &tv);
	rig_wait(is_true, &over, ms + 5000);
	event_free(timer);
}

void rig_exit(int status, const char *format, ...)
{
	g_autofree char *text = NULL;
	g_autofree char *command = NULL;
	va_list args;
	guint i;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	rig_log("RESULT %d: %s", status, text);
	printf("%s: %s\n",
	       status == 1   ? "broken"
	       : status == 0 ? "held"
			     : "could not run",
	       text);
	for (i = 0; processes && i < processes->len; i++) {
		struct rig_process *process = processes->pdata[i];

		if (process->pid > 0) {
			kill(process->pid, SIGKILL);
			waitpid(process->pid, NULL, 0);
		}
		if (process->settings)
			unlink(process->settings);
	}
	if (!g_getenv("RIG_KEEP")) {
		for (i = 0; processes && i < processes->len; i++) {
			struct rig_process *process = processes->pdata[i];
			g_autofree char *log = g_strdup_printf(
				"%s/%s.log", tmp_dir, process->name);

			unlink(log);
		}
		rmdir(tmp_dir);
	}
	exit(status);
}

int rig_port(const char *ip)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, ip, &addr.sin_addr);
	if (fd < 0 || bind(fd, (struct sockaddr *)&addr, sizeof(addr)) < 0 ||
	    getsockname(fd, (struct sockaddr *)&addr, &len) < 0)
		rig_exit(2, "no free port on %s", ip);
	close(fd);
	return ntohs(addr.sin_port);
}

static void reply(struct evhttp_request *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	free(text);
	json_decref(body);
	evhttp_send_reply(req, status, NULL, NULL);
}

static json_t *body_of(struct evhttp_request *req)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(input);

	return json_loadb((const char *)evbuffer_pullup(input, -1), len, 0,
			  NULL);
}

static struct evhttp *listen_http(const char *ip, int port,
				  void (*fn)(struct evhttp_request *, void *),
				  void *ctx)
{
	struct evhttp *http = evhttp_new(rig_base);

	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
						 EVHTTP_REQ_DELETE);
	evhttp_set_gencb(http, fn, ctx);
	if (evhttp_bind_socket(http, ip, (ev_uint16_t)port) < 0)
		rig_exit(2, "cannot listen on %s:%d", ip, port);
	return http;
}

/* ---- the store ---- */

#define STORE_IP "127.0.0.10"
#define STORE_PAGE_ITEMS 500
#define STORE_PAGE_BYTES 1000000
#define VALUE_BYTES 1048576

static int store_port;
static gint64 store_revision = 100;
static gint64 last_lease = 1000;
/** Key to json item. */
static GTree *items;
/** Of json events. */
static GPtrArray *history;
static GHashTable *leases;
static guint txns_by_status[600];

struct lease {
	gint64 ttl_ms;
	gint64 until_ms;
};

struct watch {
	struct evhttp_request *req;
	char *prefix;
	gint64 after;
	gint64 until_ms;
};

static GPtrArray *watches;

static json_t *events_after(const char *prefix, gint64 after)
{
	json_t *events = json_array();
	guint i;

	for (i = 0; i < history->len; i++) {
		json_t *event = history->pdata[i];

		if (json_integer_value(json_object_get(event, "revision")) >
			    after &&
		    g_str_has_prefix(
			    json_string_value(json_object_get(event, "key")),
			    prefix))
			json_array_append(events, event);
	}
	return events;
}

static void on_watch_closed(struct evhttp_connection *connection G_GNUC_UNUSED,
			    void *ctx)
{
	struct watch *watch = ctx;

	watch->req = NULL;
	watch->until_ms = 0;
}

static void serve_watches(void)
{
	guint i = 0;

	while (i < watches->len) {
		struct watch *watch = watches->pdata[i];
		json_t *events = events_after(watch->prefix, watch->after);

		if (watch->req && !json_array_size(events) &&
		    rig_ms() < watch->until_ms) {
			json_decref(events);
			i++;
			continue;
		}
		if (watch->req) {
			evhttp_connection_set_closecb(
				evhttp_request_get_connection(watch->req), NULL,
				NULL);
			reply(watch->req, 200,
			      json_pack("{s:o,s:I}", "events", events,
					"store_revision",
					(json_int_t)store_revision));
		} else {
			json_decref(events);
		}
		g_ptr_array_remove_index(watches, i);
		g_free(watch->prefix);
		g_free(watch);
	}
}

static void change(const char *key, const char *value, gint64 lease)
{
	const json_t *old = g_tree_lookup(items, key);
	json_int_t created =
		json_integer_value(json_object_get(old, "created"));
	json_t *item = json_object();

	if (!value && !old) {
		json_decref(item);
		return;
	}
	json_object_set_new(item, "key", json_string(key));
	json_object_set_new(item, "revision", json_integer(store_revision));
	if (value) {
		json_object_set_new(
			item, "created",
			json_integer(created ? created : store_revision));
		json_object_set_new(item, "value", json_string(value));
		json_object_set_new(item, "lease", json_integer(lease));
		g_tree_replace(items, g_strdup(key), json_incref(item));
	} else {
		json_object_set_new(item, "deleted", json_true());
		g_tree_remove(items, key);
	}
	g_ptr_array_add(history, item);
}

static gint64 item_revision(const char *key)
{
	return json_integer_value(
		json_object_get(g_tree_lookup(items, key), "revision"));
}

static void txn(struct evhttp_request *req)
{
	json_t *body = body_of(req);
	const json_t *compares = json_object_get(body, "expected_revision");
	const json_t *puts = json_object_get(body, "puts");
	const json_t *removes = json_object_get(body, "remove");
	int status = 200;
	size_t i;

	if (json_array_size(compares) + json_array_size(puts) +
		    json_array_size(removes) >
	    32)
		status = 400;
	for (i = 0; status == 200 && i < json_array_size(compares); i++) {
		const json_t *row = json_array_get(compares, i);

		if (item_revision(
			    json_string_value(json_object_get(row, "key"))) !=
		    json_integer_value(json_object_get(row, "revision")))
			status = 412;
	}
	for (i = 0; status == 200 && i < json_array_size(puts); i++) {
		const json_t *put = json_array_get(puts, i);
		gint64 lease =
			json_integer_value(json_object_get(put, "lease"));

		if (lease &&
		    !g_hash_table_contains(leases, GINT_TO_POINTER((int)lease)))
			status = 404;
		if (json_string_length(json_object_get(put, "value")) / 4 * 3 >
		    VALUE_BYTES + 2)
			status = 400;
	}
	txns_by_status[status]++;
	if (status == 200) {
		store_revision++;
		for (i = 0; i < json_array_size(puts); i++) {
			const json_t *put = json_array_get(puts, i);

			change(json_string_value(json_object_get(put, "key")),
			       json_string_value(json_object_get(put, "value")),
			       json_integer_value(
				       json_object_get(put, "lease")));
		}
		for (i = 0; i < json_array_size(removes); i++)
			change(json_string_value(json_array_get(removes, i)),
			       NULL, 0);
		reply(req, 200,
		      json_pack("{s:I}", "revision",
				(json_int_t)store_revision));
		serve_watches();
	} else if (status == 412) {
		json_t *current = json_array();

		for (i = 0; i < json_array_size(compares); i++) {
			json_t *item = g_tree_lookup(
				items,
				json_string_value(json_object_get(
					json_array_get(compares, i), "key")));

			if (item)
				json_array_append(current, item);
		}
		reply(req, 412, json_pack("{s:o}", "items", current));
	} else {
		rig_log("the store refuses a transaction with %d", status);
		reply(req, status, json_object());
	}
	json_decref(body);
}

struct range {
	const char *prefix;
	const char *after;
	json_t *found;
	size_t bytes;
	gboolean more;
};

static gboolean add_item(gpointer key, gpointer value, gpointer ctx)
{
	struct range *range = ctx;

	if (!g_str_has_prefix(key, range->prefix) ||
	    (range->after && strcmp(key, range->after) <= 0))
		return FALSE;
	if (json_array_size(range->found) >= STORE_PAGE_ITEMS ||
	    range->bytes >= STORE_PAGE_BYTES) {
		range->more = TRUE;
		return TRUE;
	}
	range->bytes += 100 +
			json_string_length(json_object_get(value, "value"));
	json_array_append(range->found, value);
	return FALSE;
}

static void renew(struct evhttp_request *req, int id)
{
	struct lease *lease = g_hash_table_lookup(leases, GINT_TO_POINTER(id));

	if (!lease) {
		reply(req, 404, json_object());
		return;
	}
	lease->until_ms = rig_ms() + lease->ttl_ms;
	reply(req, 200,
	      json_pack("{s:I}", "ttl_ms", (json_int_t)lease->ttl_ms));
}

static gboolean collect_leased(gpointer key, gpointer value, gpointer ctx)
{
	gpointer *args = ctx;

	if (json_integer_value(json_object_get(value, "lease")) ==
	    *(gint64 *)args[0])
		g_ptr_array_add(args[1], g_strdup(key));
	return FALSE;
}

static void end_lease(int id)
{
	g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
	gint64 wanted = id;
	gpointer args[] = { &wanted, keys };
	guint i;

	g_hash_table_remove(leases, GINT_TO_POINTER(id));
	g_tree_foreach(items, collect_leased, args);
	if (!keys->len)
		return;
	store_revision++;
	for (i = 0; i < keys->len; i++)
		change(keys->pdata[i], NULL, 0);
	serve_watches();
}

static void store_tick(void)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	int ended = 0;

	g_hash_table_iter_init(&iter, leases);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (rig_ms() >= ((struct lease *)value)->until_ms)
			ended = GPOINTER_TO_INT(key);
	if (ended)
		end_lease(ended);
	serve_watches();
}

static void on_store_call(struct evhttp_request *req, void *ctx G_GNUC_UNUSED)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	const char *text = evhttp_uri_get_query(uri);
	struct evkeyvalq query = { 0 };
	const char *prefix;
	json_t *body;

	evhttp_parse_query_str(text ? text : "", &query);
	prefix = evhttp_find_header(&query, "prefix");
	prefix = prefix ? prefix : "";
	if (!strcmp(path, "/radishpier/kv-txn")) {
		txn(req);
	} else if (!strcmp(path, "/radishpier/kv-range")) {
		struct range range = {
			.prefix = prefix,
			.after = evhttp_find_header(&query, "after"),
			.found = json_array(),
		};

		g_tree_foreach(items, add_item, &range);
		reply(req, 200,
		      json_pack("{s:o,s:b,s:I}", "items", range.found,
				"has_more", range.more, "store_revision",
				(json_int_t)store_revision));
	} else if (!strcmp(path, "/radishpier/kv-watch")) {
		struct watch *watch = g_new0(struct watch, 1);
		const char *after = evhttp_find_header(&query, "after");
		const char *wait = evhttp_find_header(&query, "wait_ms");

		watch->req = req;
		watch->prefix = g_strdup(prefix);
		watch->after = after ? g_ascii_strtoll(after, NULL, 10) : 0;
		watch->until_ms = rig_ms() +
				  (wait ? g_ascii_strtoll(wait, NULL, 10) : 0);
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(req), on_watch_closed,
			watch);
		g_ptr_array_add(watches, watch);
		serve_watches();
	} else if (!strcmp(path, "/radishpier/kv-lease")) {
		struct lease *lease = g_new0(struct lease, 1);

		body = body_of(req);
		lease->ttl_ms =
			MAX(json_integer_value(json_object_get(body, "ttl_ms")),
			    1000);
		lease->until_ms = rig_ms() + lease->ttl_ms;
		last_lease++;
		g_hash_table_insert(leases, GINT_TO_POINTER((int)last_lease),
				    lease);
		reply(req, 200,
		      json_pack("{s:I,s:I}", "lease", (json_int_t)last_lease,
				"ttl_ms", (json_int_t)lease->ttl_ms));
		json_decref(body);
	} else if (g_str_has_prefix(path, "/radishpier/kv-keep/")) {
		renew(req, atoi(strrchr(path, '/') + 1));
	} else if (g_str_has_prefix(path, "/radishpier/kv-lease-end/")) {
		end_lease(atoi(strrchr(path, '/') + 1));
		reply(req, 200, json_object());
	} else {
		reply(req, 404, json_object());
	}
	evhttp_clear_headers(&query);
}

static int compare_keys(gconstpointer a, gconstpointer b,
			gpointer ctx G_GNUC_UNUSED)
{
	return strcmp(a, b);
}

static void free_item(gpointer item)
{
	json_decref(item);
}

void rig_store_start(void)
{
	items = g_tree_new_full(compare_keys, NULL, g_free, free_item);
	history = g_ptr_array_new();
	leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	watches = g_ptr_array_new();
	store_port = rig_port(STORE_IP);
	listen_http(STORE_IP, store_port, on_store_call, NULL);
}

gint64 rig_store_put(const char *key, const char *value)
{
	g_autofree char *text = g_base64_encode((const guchar *)value,
						strlen(value));

	store_revision++;
	change(key, text, 0);
	serve_watches();
	return store_revision;
}

guint rig_store_txns(int status)
{
	return txns_by_status[status];
}

void rig_config(int version, const struct rig_route *routes, guint n)
{
	json_t *list = json_array();
	json_t *config;
	char *text;
	guint i;

	for (i = 0; i < n; i++)
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}",
				  "name", routes[i].name, "host", RIG_HOST,
				  "prefix", routes[i].prefix, "kind",
				  "non_idempotent", "timeout_ms", 3000,
				  "target_duration_ms", 2500, "priority",
				  routes[i].priority, "backend", RIG_POOL,
				  "max_attempts", routes[i].max_attempts,
				  "slack_factor", 2.0));
	config = json_pack("{s:i,s:o,s:[{s:s,s:s,s:i,s:s,s:b,s:b,s:b}],"
			   "s:{s:i,s:i,s:i,s:i}}",
			   "version", version, "routes", list, "backends",
			   "name", RIG_POOL, "health_path", "/healthz",
			   "max_connections", 64, "protocol", "h1", "tls", 0,
			   "enforce_capacity", 0, "standby", 0, "limits",
			   "max_header_bytes", 16384, "max_body_bytes", 262144,
			   "header_timeout_ms", 3000, "idle_timeout_ms", 15000);
	text = json_dumps(config, JSON_COMPACT);
	rig_store_put("op/config", text);
	rig_log("the operator puts configuration version %d in force, %u "
		"routes%s%s",
		version, n, n ? ", the first is " : "",
		n ? routes[0].name : "");
	free(text);
	json_decref(config);
}

/* ---- workers ---- */

#define HEARTBEAT_MS 1500
#define HOLD_MAX_MS 10000
#define STOP_GRACE_MS 100
#define GANG_TIMEOUT_MS 3000

struct rig_worker {
	int number;
	char *ip;
	int port;
	char *id;
	gint64 born_ms;
	gint64 born_unix_ms;
	int cpu;
	int mem_mb;
	char *kind;
	double slow;
	gint64 fail_after_ms;
	gint64 sequence;
	gint64 heartbeat_ms;
	/** Of the agent that gets the heartbeats. */
	char *agent_ip;
	int agent_port;
	guint64 fence;
	/** On the worker's clock. */
	gint64 lease_ms;
	gint64 last_end;
	/** Of struct work. */
	GPtrArray *works;
	/** Of json rows. */
	GPtrArray *ends;
	/** Highest attempt of a task that ended or was stopped here. */
	GHashTable *last_attempts;
	/** Of struct hold. */
	GPtrArray *holds;
};

struct work {
	struct rig_run *run;
	/** Work done, ms. */
	double done_ms;
	gint64 ticked_ms;
	gint64 stops_ms;
	gint64 started_ms;
	gint64 work_ms;
	int gang_size;
	/** In use, thousandths of a core. */
	int cpu;
	/** All members are present. */
	gboolean together;
};

struct hold {
	struct evhttp_request *req;
	gint64 until_ms;
};

struct job_info {
	gint64 work_ms;
	int gang_size;
	int cpu;
};

static GHashTable *job_infos;

void rig_describe(const char *id, gint64 work_ms, int gang_size, int cpu)
{
	struct job_info *info = g_new0(struct job_info, 1);

	info->work_ms = work_ms;
	info->gang_size = gang_size;
	info->cpu = cpu;
	g_hash_table_insert(job_infos, g_strdup(id), info);
}

static gint64 clock_of(const struct rig_worker *worker)
{
	return rig_ms() - worker->born_ms + 1;
}

const char *rig_worker_id(const struct rig_worker *worker)
{
	return worker->id;
}

int rig_used(const struct rig_worker *worker)
{
	int used = 0;
	guint i;

	for (i = 0; !worker && i < workers->len; i++)
		used += rig_used(workers->pdata[i]);
	for (i = 0; worker && i < worker->works->len; i++)
		used += ((struct work *)worker->works->pdata[i])->cpu;
	return used;
}

/* TRUE if the tasks whose turn has come fit twice over on one worker, and under
 * half of the service's capacity is in use. */
static gboolean has_room(const struct rig_accepted *job)
{
	gboolean fits = FALSE;
	int capacity = 0;
	guint i;

	for (i = 0; i < workers->len; i++) {
		const struct rig_worker *worker = workers->pdata[i];

		capacity += worker->cpu;
		if (job->worker && worker != job->worker)
			continue;
		if (worker->cpu - rig_used(worker) >= 2 * job->cpu)
			fits = TRUE;
	}
	return fits && 2 * rig_used(NULL) < capacity;
}

#define FINISH_MS 14000

gint64 rig_lost_ms(const struct rig_accepted *job, gint64 traffic_end_ms,
		   gint64 watch_ms)
{
	gint64 from = traffic_end_ms + FINISH_MS;
	gint64 until = MAX(from, rig_ms()) + watch_ms;
	gint64 idle_from;
	gint64 longest = 0;

	if (rig_ms() < from)
		rig_run(from - rig_ms());
	rig_log("finish_s after the traffic: %u of %u tasks of %s are done, %u "
		"run, %d of the workers' processors are in use",
		rig_count(job->id, "done"), job->n_tasks, job->id,
		rig_count(job->id, NULL), rig_used(NULL));
	idle_from = rig_ms();
	while (rig_ms() < until) {
		rig_run(20);
		if (rig_count(job->id, NULL) || !has_room(job) ||
		    rig_count(job->id, "done") >= job->n_tasks)
			idle_from = rig_ms();
		longest = MAX(longest, rig_ms() - idle_from);
	}
	return longest;
}

guint rig_ask(struct rig_process **entries, guint n_entries, const char *prefix,
	      const char *id, guint tries)
{
	guint answered = 0;
	guint i;

	for (i = 0; i < tries; i++) {
		g_autofree char *state = rig_state(entries[i % n_entries],
						   prefix, id);

		if (*state)
			answered++;
		rig_run(300);
	}
	return answered;
}

void rig_worker_set_kind(struct rig_worker *worker, const char *kind)
{
	worker->kind = g_strdup(kind);
}

void rig_worker_slow(struct rig_worker *worker, double factor)
{
	rig_log("%s is now %g times as slow as usual", worker->id, factor);
	worker->slow = factor;
}

void rig_worker_fail_after(struct rig_worker *worker, gint64 ms)
{
	if (ms)
		rig_log("%s now fails what it runs after %" G_GINT64_FORMAT
			" ms",
			worker->id, ms);
	else
		rig_log("%s is sound again", worker->id);
	worker->fail_after_ms = ms;
}

static json_t *stamped(const struct rig_worker *worker, json_t *body)
{
	json_object_set_new(body, "clock_ms", json_integer(clock_of(worker)));
	json_object_set_new(body, "born", json_integer(worker->born_unix_ms));
	return body;
}

static json_t *lists(const struct rig_worker *worker)
{
	json_t *running = json_array();
	json_t *finished = json_array();
	guint i;

	for (i = 0; i < worker->works->len; i++) {
		const struct work *work = worker->works->pdata[i];
		int percent = work->work_ms ? (int)(100 * work->done_ms /
						    (double)work->work_ms)
					    : 100;

		json_array_append_new(running,
				      json_pack("[s,i,s,i,i]", work->run->task,
						work->run->attempt, "",
						MIN(percent, 99), 1));
	}
	for (i = 0; i < worker->ends->len && i < 500; i++)
		json_array_append(finished, worker->ends->pdata[i]);
	return stamped(worker, json_pack("{s:o,s:o}", "running", running,
					 "finished", finished));
}

static void answer_holds(struct rig_worker *worker, gboolean all)
{
	guint i = 0;

	while (i < worker->holds->len) {
		struct hold *hold = worker->holds->pdata[i];

		if (!all && rig_ms() < hold->until_ms) {
			i++;
			continue;
		}
		if (hold->req) {
			evhttp_connection_set_closecb(
				evhttp_request_get_connection(hold->req), NULL,
				NULL);
			reply(hold->req, 200, lists(worker));
		}
		g_free(hold);
		g_ptr_array_remove_index(worker->holds, i);
	}
}

static void end_work(struct rig_worker *worker, struct work *work,
		     const char *how)
{
	struct rig_run *run = work->run;

	run->how = how;
	run->ended_ms = rig_ms();
	g_ptr_array_add(worker->ends,
			json_pack("[I,s,i,s,s]", (json_int_t)++worker->last_end,
				  run->task, run->attempt, how, ""));
	g_hash_table_insert(
		worker->last_attempts, g_strdup(run->task),
		GINT_TO_POINTER(
			MAX(run->attempt,
			    GPOINTER_TO_INT(g_hash_table_lookup(
				    worker->last_attempts, run->task)))));
	rig_log("%s: run %s attempt %d ends %s after %" G_GINT64_FORMAT " ms",
		worker->id, run->task, run->attempt, how,
		run->ended_ms - run->started_ms);
	g_ptr_array_remove(worker->works, work);
	g_free(work);
}

/* The members of a run of a gang: ID.K.STEP and the attempt are the same. */
static gboolean same_gang(const struct rig_run *a, const struct rig_run *b)
{
	size_t len = (size_t)(strrchr(a->task, '.') - a->task) + 1;

	return a->attempt == b->attempt && !strncmp(a->task, b->task, len);
}

static void end_gang(const struct rig_run *run, const char *how)
{
	guint i;
	guint k;

	for (i = 0; i < workers->len; i++) {
		struct rig_worker *worker = workers->pdata[i];

		for (k = worker->works->len; k-- > 0;) {
			struct work *work = worker->works->pdata[k];

			if (work->run != run && same_gang(work->run, run))
				end_work(worker, work, how);
		}
		answer_holds(worker, TRUE);
	}
}

static void end_member(struct rig_worker *worker, struct work *work,
		       const char *how)
{
	struct rig_run *run = work->run;
	gboolean gang = work->gang_size > 0;

	end_work(worker, work, how);
	if (gang && strcmp(how, "alone"))
		end_gang(run, strcmp(how, "done") ? "broken" : "done");
	answer_holds(worker, TRUE);
}

static gboolean gang_is_present(const struct work *work)
{
	int n = 0;
	guint i;
	guint k;

	if (!work->gang_size)
		return TRUE;
	for (i = 0; i < workers->len; i++) {
		const struct rig_worker *worker = workers->pdata[i];

		for (k = 0; k < worker->works->len; k++)
			if (same_gang(((struct work *)worker->works->pdata[k])
					      ->run,
				      work->run))
				n++;
	}
	return n >= work->gang_size;
}

/* Returns how the work ends now, or NULL. */
static const char *work_tick(struct rig_worker *worker, struct work *work)
{
	gint64 now = rig_ms();

	if (work->stops_ms)
		return now >= work->stops_ms ? "stopped" : NULL;
	if (!work->together) {
		work->ticked_ms = now;
		work->together = gang_is_present(work);
		if (!work->together)
			return now >= work->started_ms + GANG_TIMEOUT_MS
				       ? "alone"
				       : NULL;
	}
	if (worker->fail_after_ms &&
	    now >= work->started_ms + worker->fail_after_ms)
		return "failed";
	work->done_ms += (double)(now - work->ticked_ms) / worker->slow;
	work->ticked_ms = now;
	return work->work_ms && work->done_ms >= (double)work->work_ms ? "done"
								       : NULL;
}

static void send_heartbeat(struct rig_worker *worker);

static void worker_tick(struct rig_worker *worker)
{
	gboolean again = TRUE;
	guint i;

	while (again) {
		again = FALSE;
		for (i = 0; !again && i < worker->works->len; i++) {
			struct work *work = worker->works->pdata[i];
			const char *how = clock_of(worker) >= worker->lease_ms
						  ? "lapsed"
						  : work_tick(worker, work);

			if (!how)
				continue;
			end_member(worker, work, how);
			again = TRUE;
		}
	}
	answer_holds(worker, FALSE);
	if (worker->agent_port && rig_ms() >= worker->heartbeat_ms)
		send_heartbeat(worker);
}

static void on_hold_closed(struct evhttp_connection *connection G_GNUC_UNUSED,
			   void *ctx)
{
	struct hold *hold = ctx;

	hold->req = NULL;
	hold->until_ms = 0;
}

static void extend_lease(struct rig_worker *worker, const json_t *body)
{
	gint64 until = json_integer_value(json_object_get(body, "deadline_ms"));

	until = MIN(until, clock_of(worker) + HOLD_MAX_MS);
	worker->lease_ms = MAX(worker->lease_ms, until);
}

static struct work *find_work(const struct rig_worker *worker, const char *task,
			      int attempt)
{
	guint i;

	for (i = 0; i < worker->works->len; i++) {
		struct work *work = worker->works->pdata[i];

		if (work->run->attempt == attempt &&
		    !strcmp(work->run->task, task))
			return work;
	}
	return NULL;
}

static void refuse_call(struct rig_worker *worker, struct evhttp_request *req,
			const char *reason)
{
	reply(req, 409, stamped(worker, json_pack("{s:s}", "reason", reason)));
}

static void run_start(struct rig_worker *worker, struct evhttp_request *req,
		      const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int attempt = (int)json_integer_value(json_object_get(body, "attempt"));
	const struct job_info *info;
	g_autofree char *id = NULL;
	struct work *work;

	if (!task || !strchr(task, '.')) {
		reply(req, 400, stamped(worker, json_object()));
		return;
	}
	extend_lease(worker, body);
	if (find_work(worker, task, attempt)) {
		reply(req, 200, stamped(worker, json_object()));
		return;
	}
	if (attempt <=
	    GPOINTER_TO_INT(g_hash_table_lookup(worker->last_attempts, task))) {
		refuse_call(worker, req, "old");
		return;
	}
	if (worker->lease_ms <= clock_of(worker)) {
		refuse_call(worker, req, "late");
		return;
	}
	id = g_strndup(task, (size_t)(strchr(task, '.') - task));
	info = g_hash_table_lookup(job_infos, id);
	work = g_new0(struct work, 1);
	work->run = g_new0(struct rig_run, 1);
	work->run->task = g_strdup(task);
	work->run->attempt = attempt;
	work->run->worker = worker;
	work->run->started_ms = rig_ms();
	work->started_ms = work->ticked_ms = rig_ms();
	work->work_ms = info ? info->work_ms : 500;
	work->gang_size = info ? info->gang_size : 0;
	work->cpu = info ? info->cpu : 0;
	g_ptr_array_add(rig_runs, work->run);
	g_ptr_array_add(worker->works, work);
	rig_log("%s: starts %s attempt %d", worker->id, task, attempt);
	reply(req, 200, stamped(worker, json_object()));
}

static void run_stop(struct rig_worker *worker, struct evhttp_request *req,
		     const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int attempt = (int)json_integer_value(json_object_get(body, "attempt"));
	struct work *work = find_work(worker, task, attempt);

	rig_log("%s: is told to stop %s attempt %d", worker->id, task, attempt);
	if (work) {
		if (!work->stops_ms)
			work->stops_ms = rig_ms() + STOP_GRACE_MS;
	} else if (attempt > GPOINTER_TO_INT(g_hash_table_lookup(
				     worker->last_attempts, task))) {
		g_hash_table_insert(worker->last_attempts, g_strdup(task),
				    GINT_TO_POINTER(attempt));
	}
	reply(req, 200, stamped(worker, json_object()));
}

static void hold_call(struct rig_worker *worker, struct evhttp_request *req,
		      const json_t *body)
{
	gint64 acked =
		json_integer_value(json_object_get(body, "acked_through"));
	gint64 wait = json_integer_value(json_object_get(body, "wait_ms"));
	struct hold *hold;

	extend_lease(worker, body);
	while (worker->ends->len &&
	       json_integer_value(json_array_get(worker->ends->pdata[0], 0)) <=
		       acked) {
		json_decref(worker->ends->pdata[0]);
		g_ptr_array_remove_index(worker->ends, 0);
	}
	hold = g_new0(struct hold, 1);
	hold->req = req;
	hold->until_ms = rig_ms() + CLAMP(wait, 0, 2000);
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_hold_closed, hold);
	g_ptr_array_add(worker->holds, hold);
	answer_holds(worker, FALSE);
}

static void on_worker_call(struct evhttp_request *req, void *ctx)
{
	struct rig_worker *worker = ctx;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	const char *expected = evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Expect-Instance");
	json_t *body = body_of(req);
	guint64 fence = (guint64)json_integer_value(
		json_object_get(body, "fencing_token"));

	if (expected && strcmp(expected, worker->id)) {
		reply(req, 421, stamped(worker, json_object()));
	} else if (fence < worker->fence) {
		refuse_call(worker, req, "fence");
	} else {
		worker->fence = fence;
		if (!strcmp(path, "/radishpier/run-start"))
			run_start(worker, req, body);
		else if (!strcmp(path, "/radishpier/run-stop"))
			run_stop(worker, req, body);
		else if (!strcmp(path, "/radishpier/hold"))
			hold_call(worker, req, body);
		else
			reply(req, 200, stamped(worker, json_object()));
	}
	json_decref(body);
}

static void on_heartbeat_answer(struct evhttp_request *req, void *ctx)
{
	struct evhttp_connection *connection = ctx;

	(void)req;
	(void)connection;
}

static void post_heartbeat(struct rig_worker *worker, const char *id,
			   json_t *body)
{
	struct evhttp_connection *connection =
		evhttp_connection_base_new(rig_base, NULL, worker->agent_ip,
					   (ev_uint16_t)worker->agent_port);
	struct evhttp_request *req = evhttp_request_new(on_heartbeat_answer,
							NULL);
	g_autofree char *path =
		g_strdup_printf("/radishpier/instances/%s/heartbeat", id);
	char *text = json_dumps(body, JSON_COMPACT);

	evhttp_connection_set_timeout(connection, 1);
	evhttp_connection_free_on_completion(connection);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  worker->agent_ip);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection",
			  "close");
	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	evhttp_make_request(connection, req, EVHTTP_REQ_POST, path);
	free(text);
	json_decref(body);
}

static void send_heartbeat(struct rig_worker *worker)
{
	g_autofree char *address = g_strdup_printf("%s:%d", worker->ip,
						   worker->port);
	/* Three workers are in a rack. */
	g_autofree char *rack = g_strdup_printf("r1-%d",
						(worker->number + 2) / 3);

	worker->heartbeat_ms = rig_ms() + HEARTBEAT_MS;
	post_heartbeat(
		worker, worker->id,
		stamped(worker,
			json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,"
				  "s:{s:i,s:i,s:i},s:[s,s],s:I}",
				  "backend", RIG_POOL, "address", address,
				  "zone", "zone-a", "version", "v1", "slots", 8,
				  "state", "ready", "cold_remaining_ms", 0,
				  "capacity", "cpu", worker->cpu, "mem_mb",
				  worker->mem_mb, "gpu", 0, "labels",
				  worker->kind ? worker->kind : "a", rack,
				  "sequence", (json_int_t)++worker->sequence)));
}

struct rig_worker *rig_worker_new(int number, int cpu, int mem_mb)
{
	struct rig_worker *worker = g_new0(struct rig_worker, 1);

	worker->number = number;
	worker->ip = g_strdup_printf("127.0.0.%d", 60 + number);
	worker->port = rig_port(worker->ip);
	worker->id = g_strdup_printf("i-%08x", 0x7f3a9100 + number);
	worker->born_ms = rig_ms();
	worker->born_unix_ms = g_get_real_time() / 1000;
	worker->cpu = cpu;
	worker->mem_mb = mem_mb;
	worker->slow = 1;
	worker->works = g_ptr_array_new();
	worker->ends = g_ptr_array_new();
	worker->holds = g_ptr_array_new();
	worker->last_attempts = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, NULL);
	listen_http(worker->ip, worker->port, on_worker_call, worker);
	g_ptr_array_add(workers, worker);
	return worker;
}

guint rig_count(const char *job, const char *how)
{
	size_t len = strlen(job);
	guint n = 0;
	guint i;

	for (i = 0; i < rig_runs->len; i++) {
		const struct rig_run *run = rig_runs->pdata[i];

		if (strncmp(run->task, job, len) || run->task[len] != '.')
			continue;
		if (how ? !*how || !g_strcmp0(run->how, how) : !run->how)
			n++;
	}
	return n;
}

/* ---- the project's processes ---- */

static char *settings_text(const struct rig_process *process)
{
	json_t *zones = json_pack("{s:s}", "zone-a", "region-a");
	json_t *json = json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:s,s:o,s:[i,i],s:b,s:n,s:i}",
		"node_name", process->name, "role",
		process->role == RIG_ENTRY ? "entry" : "agent", "machine_class",
		process->role == RIG_ENTRY ? "edge" : "side", "ip", process->ip,
		"zone", "zone-a", "region", "region-a", "zones", zones,
		"internal_ports", process->ports[0], process->ports[0] + 1,
		"bootstrap", 1, "data_dir", "heartbeat_ms", HEARTBEAT_MS);
	g_autofree char *a = g_strdup_printf("%s:%d", process->ip,
					     process->ports[1]);
	g_autofree char *b = g_strdup_printf("%s:%d", process->ip,
					     process->ports[2]);
	g_autofree char *store = g_strdup_printf("%s:%d", STORE_IP, store_port);
	char *text;

	json_object_set_new(
		json, "listen",
		process->role == RIG_ENTRY
			? json_pack("{s:s,s:s}", "frontend", a, "readiness", b)
			: json_pack("{s:s}", "control_plane", a));
	json_object_set_new(
		json, "limits",
		json_pack("{s:f,s:i,s:i,s:i,s:f,s:i}", "cpu_share",
			  process->role == RIG_ENTRY ? 0.25 : 0.15, "cores", 1,
			  "memory_mb", process->role == RIG_ENTRY ? 260 : 128,
			  "max_fds", 4096, "link_mbps", 1000.0, "disk_mb", 0));
	json_object_set_new(json, "fault_tolerance",
			    json_pack("{s:i,s:i,s:i}", "machines", 2, "zones",
				      0, "regions", 0));
	json_object_set_new(
		json, "bounds",
		json_pack("{s:i,s:i,s:i,s:i,s:i}", "contact_ms", 3000,
			  "config_apply_ms", 2000, "hold_max_ms", HOLD_MAX_MS,
			  "gang_timeout_ms", GANG_TIMEOUT_MS, "finish_s", 14));
	json_object_set_new(json, "platform",
			    json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:i}",
				      "address", store, "form", "kv",
				      "writes_per_s", 400, "reads_per_s", 2000,
				      "history_s", 20, "value_bytes",
				      VALUE_BYTES, "ttl_min_ms", 1000));
	json_object_set_new(json, "commands", json_string("request"));
	if (process->worker) {
		g_autofree char *app = g_strdup_printf(
			"%s:%d", process->worker->ip, process->worker->port);

		json_object_set_new(json, "app", json_string(app));
		json_object_set_new(json, "backend", json_string(RIG_POOL));
	}
	text = json_dumps(json, JSON_INDENT(1));
	json_decref(json);
	return text;
}

static void spawn(struct rig_process *process)
{
	static const char *const entry[] = { "target/bin/radishpier",
					     "serve-platform", NULL };
	static const char *const agent[] = { "target/bin/radishpier-agent",
					     "--platform", NULL };
	g_autofree char *log = g_strdup_printf("%s/%s.log", tmp_dir,
					       process->name);
	g_autofree char *variable = g_strdup_printf("RADISHPIER_CONFIG=%s",
						    process->settings);
	char *env[] = { variable, (char *)"PATH=/usr/bin:/bin",
			(char *)"LANG=C", NULL };
	const char *const *argv = process->role == RIG_ENTRY ? entry : agent;

	process->told = FALSE;
	process->stopped = FALSE;
	process->quota_from_ns = 0;
	process->restart_ms = 0;
	process->pid = fork();
	if (process->pid < 0)
		rig_exit(2, "fork failed");
	if (!process->pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		int i;

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		for (i = 3; i < 1024; i++)
			close(i);
		execve(argv[0], (char *const *)argv, env);
		_exit(127);
	}
	rig_log("%s is started", process->name);
}

static struct rig_process *process_start(enum rig_role role, const char *name,
					 const char *ip,
					 struct rig_worker *worker)
{
	struct rig_process *process = g_new0(struct rig_process, 1);
	g_autofree char *text = NULL;
	guint i;

	process->role = role;
	process->name = g_strdup(name);
	process->ip = g_strdup(ip);
	process->worker = worker;
	for (i = 0; i < 3; i++)
		process->ports[i] = rig_port(ip);
	process->settings = g_strdup_printf("%s/%s.json", tmp_dir, name);
	text = settings_text(process);
	if (!g_file_set_contents(process->settings, text, -1, NULL))
		rig_exit(2, "cannot write settings");
	g_ptr_array_add(processes, process);
	spawn(process);
	return process;
}

struct rig_process *rig_entry_start(int number, guint memory_mb)
{
	g_autofree char *name = g_strdup_printf("edge-%d", number);
	g_autofree char *ip = g_strdup_printf("127.0.0.%d", 20 + number);
	struct rig_process *process = process_start(RIG_ENTRY, name, ip, NULL);

	process->memory_mb = memory_mb;
	return process;
}

struct rig_process *rig_agent_start(int number, struct rig_worker *worker)
{
	g_autofree char *name = g_strdup_printf("side-%d", number);
	g_autofree char *ip = g_strdup_printf("127.0.0.%d", 40 + number);
	struct rig_process *process = process_start(RIG_AGENT, name, ip,
						    worker);

	worker->agent_ip = g_strdup(ip);
	worker->agent_port = process->ports[1];
	return process;
}

void rig_kill(struct rig_process *process, gint64 restart_ms)
{
	rig_log("%s is killed", process->name);
	kill(process->pid, SIGKILL);
	waitpid(process->pid, NULL, 0);
	process->pid = 0;
	process->told = TRUE;
	if (restart_ms >= 0)
		process->restart_ms = rig_ms() + restart_ms;
}

static guint resident_mb(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/statm", (int)pid);
	g_autofree char *text = NULL;
	long pages = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		sscanf(text, "%*d %ld", &pages);
	return (guint)(pages * sysconf(_SC_PAGESIZE) >> 20);
}

#define QUOTA_MS 100

static gint64 used_ns(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/schedstat", (int)pid);
	g_autofree char *text = NULL;

	return g_file_get_contents(path, &text, NULL, NULL)
		       ? g_ascii_strtoll(text, NULL, 10)
		       : 0;
}

/* Gives the process its share of each tenth of a second. */
static void quota_tick(struct rig_process *process)
{
	gint64 used;

	if (process->pid <= 0 || process->cpu_share <= 0)
		return;
	used = used_ns(process->pid);
	if (rig_ms() >= process->quota_ms + QUOTA_MS) {
		process->quota_ms = rig_ms();
		process->quota_from_ns = used;
		if (process->stopped)
			kill(process->pid, SIGCONT);
		process->stopped = FALSE;
	} else if (!process->stopped &&
		   (double)(used - process->quota_from_ns) >
			   process->cpu_share * QUOTA_MS * 1e6) {
		kill(process->pid, SIGSTOP);
		process->stopped = TRUE;
	}
}

/* The platform's part: restarts processes that have ended and kills those over
 * their memory. */
static void process_tick(struct rig_process *process)
{
	int status;

	if (process->pid > 0 && waitpid(process->pid, &status, WNOHANG) > 0) {
		rig_log("%s has ended by itself, %s %d", process->name,
			WIFSIGNALED(status) ? "signal" : "status",
			WIFSIGNALED(status) ? WTERMSIG(status)
					    : WEXITSTATUS(status));
		process->ends++;
		process->pid = 0;
		process->restart_ms = rig_ms() + 1000;
	}
	if (process->pid > 0) {
		guint mb = resident_mb(process->pid);

		process->peak_mb = MAX(process->peak_mb, mb);
		if (process->memory_mb && mb > process->memory_mb) {
			rig_log("%s has %u MB, over its limit of %u MB: the "
				"platform kills it",
				process->name, mb, process->memory_mb);
			rig_kill(process, 1000);
			process->ends++;
		}
	}
	if (!process->pid && process->restart_ms &&
	    rig_ms() >= process->restart_ms)
		spawn(process);
}

/* ---- clients ---- */

struct sending {
	struct rig_call *call;
	char *what;
	struct evhttp_connection *connection;
	struct event *deadline;
};

static void finish(struct sending *sending, int status)
{
	struct rig_call *call = sending->call;

	call->status = status;
	call->answered_ms = rig_ms();
	if (status > 0)
		rig_log("%s -> %d %s (%" G_GINT64_FORMAT " ms)", sending->what,
			status, call->body ? call->body : "",
			call->answered_ms - call->sent_ms);
	else
		rig_log("%s -> no answer (%" G_GINT64_FORMAT " ms)",
			sending->what, call->answered_ms - call->sent_ms);
	event_free(sending->deadline);
	g_free(sending->what);
	g_free(sending);
}

static void on_answer(struct evhttp_request *req, void *ctx)
{
	struct sending *sending = ctx;
	int status = req ? evhttp_request_get_response_code(req) : 0;

	if (status > 0) {
		struct evbuffer *input = evhttp_request_get_input_buffer(req);
		size_t len = evbuffer_get_length(input);
		const char *retry_after = evhttp_find_header(
			evhttp_request_get_input_headers(req), "Retry-After");

		if (retry_after)
			sending->call->retry_after_ms =
				1000 * g_ascii_strtoll(retry_after, NULL, 10);
		sending->call->body = g_strndup(
			len ? (const char *)evbuffer_pullup(input, -1) : "",
			len);
	}
	finish(sending, status > 0 ? status : -1);
}

static void on_deadline(evutil_socket_t fd G_GNUC_UNUSED,
			short what G_GNUC_UNUSED, void *ctx)
{
	struct sending *sending = ctx;

	evhttp_connection_free(sending->connection);
	finish(sending, -1);
}

struct rig_call *rig_send(struct rig_process *entry, const char *method,
			  const char *path, json_t *body, gint64 deadline_ms)
{
	struct rig_call *call = g_new0(struct rig_call, 1);
	struct sending *sending = g_new0(struct sending, 1);
	struct evhttp_request *req = evhttp_request_new(on_answer, sending);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	struct timeval tv = { deadline_ms / 1000, deadline_ms % 1000 * 1000 };
	char number[24];
	enum evhttp_cmd_type type = !strcmp(method, "POST") ? EVHTTP_REQ_POST
				    : !strcmp(method, "DELETE")
					    ? EVHTTP_REQ_DELETE
					    : EVHTTP_REQ_GET;

	call->sent_ms = rig_ms();
	sending->call = call;
	sending->what = g_strdup_printf("%s %s at %s", method, path,
					entry->name);
	sending->connection = evhttp_connection_base_new(
		rig_base, NULL, entry->ip, (ev_uint16_t)entry->ports[1]);
	evhttp_connection_free_on_completion(sending->connection);
	sending->deadline = event_new(rig_base, -1, 0, on_deadline, sending);
	event_add(sending->deadline, &tv);
	g_snprintf(number, sizeof(number), "%" G_GINT64_FORMAT, deadline_ms);
	evhttp_add_header(headers, "Host", RIG_HOST);
	evhttp_add_header(headers, "X-Deadline-Ms", number);
	evhttp_add_header(headers, "Connection", "close");
	if (body) {
		char *text = json_dumps(body, JSON_COMPACT);

		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(req), text,
			     strlen(text));
		free(text);
	}
	evhttp_make_request(sending->connection, req, type, path);
	return call;
}

static gboolean is_answered(void *ctx)
{
	return ((struct rig_call *)ctx)->status != 0;
}

/* Of the last call of rig_call(). */
static gint64 last_retry_after_ms;

int rig_call(struct rig_process *entry, const char *method, const char *path,
	     json_t *body, gint64 deadline_ms, char **answer)
{
	struct rig_call *call = rig_send(entry, method, path, body,
					 deadline_ms);
	int status;

	rig_wait(is_answered, call, deadline_ms + 2000);
	status = call->status;
	last_retry_after_ms = call->retry_after_ms;
	if (answer)
		*answer = g_strdup(call->body ? call->body : "");
	g_free(call->body);
	g_free(call);
	return status;
}

gboolean rig_submit(struct rig_process **entries, guint n_entries,
		    const char *prefix, const char *id, json_t *job,
		    guint tries)
{
	g_autofree char *path = g_strdup_printf("%s%s", prefix, id);
	gboolean accepted = FALSE;
	guint i;

	for (i = 0; !accepted && i < tries; i++) {
		int status;

		if (i)
			rig_run(MAX(last_retry_after_ms, 1000));
		status = rig_call(entries[i % n_entries], "POST", path, job,
				  3000, NULL);
		accepted = status >= 200 && status < 300;
	}
	json_decref(job);
	return accepted;
}

char *rig_state(struct rig_process *entry, const char *prefix, const char *id)
{
	g_autofree char *path = g_strdup_printf("%s%s", prefix, id);
	g_autofree char *answer = NULL;
	char *state;
	json_t *json;

	if (rig_call(entry, "GET", path, NULL, 3000, &answer) != 200)
		return g_strdup("");
	json = json_loads(answer, 0, NULL);
	state = g_strdup(json_string_value(json_object_get(json, "state")));
	json_decref(json);
	return state ? state : g_strdup("");
}

static gboolean probe_ready(struct rig_process *entry, int *status)
{
	struct rig_process probed = *entry;
	char *name = g_strdup_printf("%s, readiness", entry->name);

	probed.ports[1] = entry->ports[2];
	probed.name = name;
	*status = rig_call(&probed, "GET", "/radishpier/readyz", NULL, 1000,
			   NULL);
	g_free(name);
	return *status == 200;
}

gboolean rig_is_ready(struct rig_process *entry)
{
	int status;

	return probe_ready(entry, &status);
}

void rig_wait_ready(struct rig_process *entry, gint64 ms)
{
	gint64 until = rig_ms() + ms;

	while (rig_ms() < until) {
		if (rig_is_ready(entry))
			return;
		rig_run(200);
	}
	rig_exit(2, "%s did not become ready", entry->name);
}

/* ---- the rig itself ---- */

static void on_tick(evutil_socket_t fd G_GNUC_UNUSED, short what G_GNUC_UNUSED,
		    void *ctx G_GNUC_UNUSED)
{
	guint i;

	if (rig_ms() > MAX_RUN_MS)
		rig_exit(2, "not done after %d s", MAX_RUN_MS / 1000);
	if (items)
		store_tick();
	for (i = 0; i < workers->len; i++)
		worker_tick(workers->pdata[i]);
	for (i = 0; i < processes->len; i++)
		process_tick(processes->pdata[i]);
}

static void on_quota_tick(evutil_socket_t fd G_GNUC_UNUSED,
			  short what G_GNUC_UNUSED, void *ctx G_GNUC_UNUSED)
{
	guint i;

	for (i = 0; i < processes->len; i++)
		quota_tick(processes->pdata[i]);
}

void rig_init(const char *dir)
{
	static const struct timeval tick = { 0, 10000 };
	static const struct timeval quota_tick_time = { 0, 3000 };
	g_autofree char *path = g_strdup_printf("%s/record.txt", dir);
	const char *trouble = g_getenv("TROUBLE");

	signal(SIGPIPE, SIG_IGN);
	began_ms = steady_ms();
	rig_trouble = !trouble || strcmp(trouble, "0");
	record = fopen(path, "w");
	tmp_dir = g_dir_make_tmp("rig-XXXXXX", NULL);
	if (!record || !tmp_dir || access("target/bin/radishpier", X_OK)) {
		fprintf(stderr, "no record, temporary folder or "
				"target/bin/radishpier\n");
		exit(2);
	}
	rig_base = event_base_new();
	processes = g_ptr_array_new();
	workers = g_ptr_array_new();
	rig_runs = g_ptr_array_new();
	job_infos = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  g_free);
	tick_event = event_new(rig_base, -1, EV_PERSIST, on_tick, NULL);
	event_add(tick_event, &tick);
	quota_event = event_new(rig_base, -1, EV_PERSIST, on_quota_tick, NULL);
	event_add(quota_event, &quota_tick_time);
	rig_log("TROUBLE=%d", rig_trouble);
}
