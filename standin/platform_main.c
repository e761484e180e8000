#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "kv/kv_json.h"

/*
 * Stand-in for the platform's key-value store: a subset of the etcd v3 JSON
 * gateway, in memory. GET /calls returns the number of calls by kind. POST
 * /fault sets faults: down closes connections without an answer; hang executes
 * calls only when it ends; delay_ms executes them at once but answers late;
 * lose_answers executes this number of transactions but does not answer them;
 * expire_leases ends all leases.
 */

/* Default of etcd for the operations in a transaction. */
#define MAX_TXN_OPS 128
/* Changes kept for watches; older ones are compacted. */
#define MAX_HISTORY 20000
/* Interval at which expired leases are ended. */
#define LEASE_CHECK_MS 20
#define MS_PER_SECOND 1000

struct lease {
	gint64 ttl_s;
	gint64 expires_us;
};

struct exchange;

struct call_kind {
	const char *path;
	/** Key in the answer of GET /calls. */
	const char *name;
	/** Sets the answer and returns its status, or 0 for a watch. */
	int (*handle)(struct exchange *ex, const json_t *request);
	json_int_t count;
};

/* A call that is not answered yet, or a watch until it is closed. */
struct exchange {
	struct evhttp_request *req;
	struct call_kind *kind;
	/** Element of exchanges. */
	GList link;
	/** Delays the answer or the close; may be NULL. */
	struct event *timer;
	json_t *answer;
	int status;
	/** Not executed yet, because of the fault hang. */
	gboolean hanging;
	/** Executed, but the answer is to be lost. */
	gboolean answer_lost;
	gboolean watching;
	/** Range of keys of a watch; end is as in in_range(). */
	char *from;
	char *end;
};

static struct event_base *base;
/* Key-value pairs as JSON by key. */
static GTree *items;
/* struct lease by id. */
static GHashTable *leases;
/* The last changes as watch events, oldest first. */
static GQueue history = G_QUEUE_INIT;
static GQueue exchanges = G_QUEUE_INIT;
static gint64 revision = 1;
/* Revision of the last change that was dropped from history. */
static gint64 compacted;
static gint64 next_lease = 1000;

static struct {
	int down;
	int hang;
	json_int_t delay_ms;
	json_int_t lose_answers;
} faults;

/*
 * Decodes a base64 member, freed by the caller; NULL if it is absent or empty.
 * A zero byte, with which etcd marks an open range, becomes "".
 */
static char *decode_member(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));
	gsize len;
	guchar *data;
	char *copy;

	if (!text || !*text)
		return NULL;
	data = g_base64_decode(text, &len);
	copy = g_strndup((const char *)data, len);
	g_free(data);
	return copy;
}

/* TRUE if the member is a key with a zero byte appended: the range begins after
 * that key. */
static gboolean is_after_key(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));
	gsize len = 0;
	g_autofree guchar *data = text ? g_base64_decode(text, &len) : NULL;

	return len > 1 && !data[len - 1];
}

/* Adds the header with the store's revision to an answer. */
static json_t *with_header(json_t *answer)
{
	json_object_set_new(answer, "header", json_object());
	kv_json_set_number(json_object_get(answer, "header"), "revision",
			   revision);
	return answer;
}

/* Sets an error as the answer; code is that of gRPC. */
static int set_error(struct exchange *ex, int status, int code,
		     const char *text)
{
	ex->answer = json_pack("{s:s, s:i, s:s}", "error", text, "code", code,
			       "message", text);
	return status;
}

static int set_lease_error(struct exchange *ex)
{
	return set_error(ex, HTTP_NOTFOUND, 5, "requested lease not found");
}

/* Without end the range is one key; with end "" it has no upper bound. */
static gboolean in_range(const char *key, const char *from, const char *end)
{
	if (!end)
		return !strcmp(key, from);
	return strcmp(key, from) >= 0 && (!*end || strcmp(key, end) < 0);
}

static gint compare_keys(gconstpointer a, gconstpointer b,
			 gpointer data G_GNUC_UNUSED)
{
	return strcmp(a, b);
}

static void free_exchange(struct exchange *ex)
{
	g_queue_unlink(&exchanges, &ex->link);
	if (ex->timer)
		event_free(ex->timer);
	json_decref(ex->answer);
	g_free(ex->from);
	g_free(ex->end);
	g_free(ex);
}

static void on_close(struct evhttp_connection *connection G_GNUC_UNUSED,
		     void *arg)
{
	free_exchange(arg);
}

static void close_now(evutil_socket_t fd G_GNUC_UNUSED,
		      short what G_GNUC_UNUSED, void *arg)
{
	struct exchange *ex = arg;
	struct evhttp_connection *connection =
		evhttp_request_get_connection(ex->req);

	evhttp_connection_set_closecb(connection, NULL, NULL);
	free_exchange(ex);
	evhttp_connection_free(connection);
}

static void start_timer(struct exchange *ex, event_callback_fn fn,
			gint64 delay_ms)
{
	struct timeval delay = { .tv_sec = delay_ms / MS_PER_SECOND,
				 .tv_usec = delay_ms % MS_PER_SECOND * 1000 };

	if (ex->timer)
		event_free(ex->timer);
	ex->timer = event_new(base, -1, 0, fn, ex);
	event_add(ex->timer, &delay);
}

/* Closes the connection without an answer, later, as evhttp still uses it. */
static void close_without_answer(struct exchange *ex)
{
	ex->watching = FALSE;
	ex->hanging = FALSE;
	start_timer(ex, close_now, 0);
}

static void send_chunk(struct exchange *ex, json_t *result)
{
	struct evbuffer *buffer = evbuffer_new();
	json_t *message = json_pack("{s:o}", "result", result);
	char *text = json_dumps(message, JSON_COMPACT);

	evbuffer_add_printf(buffer, "%s\n", text);
	evhttp_send_reply_chunk(ex->req, buffer);
	evbuffer_free(buffer);
	free(text);
	json_decref(message);
}

/* Sends a change to a watch whose range contains the key. */
static void send_change(struct exchange *ex, json_t *event)
{
	g_autofree char *key = decode_member(json_object_get(event, "kv"),
					     "key");

	if (ex->watching && in_range(key, ex->from, ex->end))
		send_chunk(ex,
			   with_header(json_pack("{s:[O]}", "events", event)));
}

static gint64 event_revision(json_t *event)
{
	return kv_json_number(json_object_get(event, "kv"), "mod_revision");
}

/* Adds a change to the history and sends it to the watches. */
static void record(const char *type, json_t *pair)
{
	json_t *event = json_pack("{s:s, s:O}", "type", type, "kv", pair);
	GList *link;

	g_queue_push_tail(&history, event);
	for (link = exchanges.head; link; link = link->next)
		send_change(link->data, event);
	if (history.length > MAX_HISTORY) {
		event = g_queue_pop_head(&history);
		compacted = event_revision(event);
		json_decref(event);
	}
}

static void put(const char *key, const json_t *op)
{
	const json_t *old = g_tree_lookup(items, key);
	json_t *pair = json_object();

	json_object_set(pair, "key", json_object_get(op, "key"));
	json_object_set(pair, "value", json_object_get(op, "value"));
	kv_json_set_number(pair, "create_revision",
			   old ? kv_json_number(old, "create_revision")
			       : revision);
	kv_json_set_number(pair, "mod_revision", revision);
	kv_json_set_number(pair, "lease", kv_json_number(op, "lease"));
	g_tree_insert(items, g_strdup(key), pair);
	record("PUT", pair);
}

static void delete_key(const char *key)
{
	json_t *item = g_tree_lookup(items, key);
	json_t *pair;

	if (!item)
		return;
	pair = json_pack("{s:O}", "key", json_object_get(item, "key"));
	kv_json_set_number(pair, "mod_revision", revision);
	g_tree_remove(items, key);
	record("DELETE", pair);
	json_decref(pair);
}

/* Evaluates a comparison of a revision with EQUAL, the only one supported. */
static gboolean compare_holds(const json_t *compare)
{
	g_autofree char *key = decode_member(compare, "key");
	const char *revision_key = json_object_get(compare, "create_revision")
					   ? "create_revision"
					   : "mod_revision";

	return key && kv_json_number(g_tree_lookup(items, key), revision_key) ==
			      kv_json_number(compare, revision_key);
}

/* Returns 0 if all operations are valid; else sets an error. */
static int check_ops(struct exchange *ex, const json_t *ops)
{
	g_autoptr(GHashTable) seen = NULL;
	gint64 lease;
	size_t i;

	seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < json_array_size(ops); i++) {
		const json_t *op = json_array_get(ops, i);
		const json_t *put_op = json_object_get(op, "request_put");
		const json_t *del = json_object_get(op, "request_delete_range");
		char *key = decode_member(put_op ? put_op : del, "key");

		lease = kv_json_number(put_op, "lease");
		if (lease && !g_hash_table_contains(leases, &lease)) {
			g_free(key);
			return set_lease_error(ex);
		}
		if (!key || !g_hash_table_add(seen, key) || i >= MAX_TXN_OPS)
			return set_error(ex, HTTP_BADREQUEST, 3,
					 "no or duplicate key, or too many");
	}
	return 0;
}

static int handle_txn(struct exchange *ex, const json_t *request)
{
	const json_t *compares = json_object_get(request, "compare");
	const json_t *ops;
	gboolean succeeded = TRUE;
	int status;
	size_t i;

	for (i = 0; i < json_array_size(compares) && succeeded; i++)
		succeeded = compare_holds(json_array_get(compares, i));
	ops = json_object_get(request, succeeded ? "success" : "failure");
	status = check_ops(ex, ops);
	if (status)
		return status;
	if (json_array_size(ops))
		revision++;
	for (i = 0; i < json_array_size(ops); i++) {
		const json_t *op = json_array_get(ops, i);
		const json_t *put_op = json_object_get(op, "request_put");
		const json_t *del = json_object_get(op, "request_delete_range");
		g_autofree char *key = decode_member(put_op ? put_op : del,
						     "key");

		if (put_op)
			put(key, put_op);
		else
			delete_key(key);
	}
	ex->answer = with_header(json_object());
	if (succeeded)
		json_object_set_new(ex->answer, "succeeded", json_true());
	if (faults.lose_answers > 0) {
		faults.lose_answers--;
		ex->answer_lost = TRUE;
	}
	return HTTP_OK;
}

static int handle_range(struct exchange *ex, const json_t *request)
{
	g_autofree char *from = decode_member(request, "key");
	g_autofree char *end = decode_member(request, "range_end");
	gint64 oldest = kv_json_number(request, "min_mod_revision");
	gint64 limit = kv_json_number(request, "limit");
	json_t *list = json_array();
	GTreeNode *node = NULL;

	if (from)
		node = is_after_key(request, "key")
			       ? g_tree_upper_bound(items, from)
			       : g_tree_lower_bound(items, from);
	for (; node && in_range(g_tree_node_key(node), from, end) &&
	       (!limit || (gint64)json_array_size(list) <= limit);
	     node = g_tree_node_next(node))
		if (kv_json_number(g_tree_node_value(node), "mod_revision") >=
		    oldest)
			json_array_append(list, g_tree_node_value(node));
	ex->answer = with_header(json_object());
	if (limit && (gint64)json_array_size(list) > limit) {
		json_array_remove(list, (size_t)limit);
		json_object_set_new(ex->answer, "more", json_true());
	}
	kv_json_set_number(ex->answer, "count", (gint64)json_array_size(list));
	json_object_set_new(ex->answer, "kvs", list);
	return HTTP_OK;
}

static int handle_grant(struct exchange *ex, const json_t *request)
{
	struct lease *lease = g_new0(struct lease, 1);
	gint64 *id = g_memdup2(&next_lease, sizeof(next_lease));

	next_lease++;
	lease->ttl_s = MAX(kv_json_number(request, "TTL"), 1);
	lease->expires_us = g_get_monotonic_time() +
			    lease->ttl_s * G_USEC_PER_SEC;
	ex->answer = with_header(json_object());
	kv_json_set_number(ex->answer, "ID", *id);
	kv_json_set_number(ex->answer, "TTL", lease->ttl_s);
	g_hash_table_insert(leases, id, lease);
	return HTTP_OK;
}

static int handle_keepalive(struct exchange *ex, const json_t *request)
{
	gint64 id = kv_json_number(request, "ID");
	struct lease *lease = g_hash_table_lookup(leases, &id);
	json_t *result = with_header(json_object());

	if (lease)
		lease->expires_us = g_get_monotonic_time() +
				    lease->ttl_s * G_USEC_PER_SEC;
	kv_json_set_number(result, "ID", id);
	kv_json_set_number(result, "TTL", lease ? lease->ttl_s : 0);
	ex->answer = json_pack("{s:o}", "result", result);
	return HTTP_OK;
}

/* Deletes the keys of a lease that has expired or was revoked. */
static void end_lease(gint64 id)
{
	g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
	GTreeNode *node;
	guint i;

	for (node = g_tree_node_first(items); node;
	     node = g_tree_node_next(node))
		if (kv_json_number(g_tree_node_value(node), "lease") == id)
			g_ptr_array_add(keys, g_strdup(g_tree_node_key(node)));
	if (keys->len)
		revision++;
	for (i = 0; i < keys->len; i++)
		delete_key(keys->pdata[i]);
}

static int handle_revoke(struct exchange *ex, const json_t *request)
{
	gint64 id = kv_json_number(request, "ID");

	if (!g_hash_table_remove(leases, &id))
		return set_lease_error(ex);
	end_lease(id);
	ex->answer = with_header(json_object());
	return HTTP_OK;
}

static int handle_watch(struct exchange *ex, const json_t *request)
{
	const json_t *create = json_object_get(request, "create_request");
	gint64 start = kv_json_number(create, "start_revision");
	json_t *result;
	GList *link;

	ex->from = decode_member(create, "key");
	ex->end = decode_member(create, "range_end");
	if (!ex->from)
		return set_error(ex, HTTP_BADREQUEST, 3, "key is not provided");
	evhttp_send_reply_start(ex->req, HTTP_OK, "OK");
	result = with_header(json_object());
	json_object_set_new(result, "created", json_true());
	if (start && start <= compacted) {
		json_object_set_new(result, "canceled", json_true());
		kv_json_set_number(result, "compact_revision", compacted);
	}
	send_chunk(ex, result);
	ex->watching = TRUE;
	for (link = start ? history.head : NULL; link; link = link->next)
		if (event_revision(link->data) >= start)
			send_change(ex, link->data);
	return 0;
}

static void reply_json(struct evhttp_request *req, int status,
		       const json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	evhttp_send_reply(req, status, NULL, NULL);
	free(text);
}

static void send_answer(evutil_socket_t fd G_GNUC_UNUSED,
			short what G_GNUC_UNUSED, void *arg)
{
	struct exchange *ex = arg;

	evhttp_connection_set_closecb(evhttp_request_get_connection(ex->req),
				      NULL, NULL);
	reply_json(ex->req, ex->status, ex->answer);
	free_exchange(ex);
}

static struct call_kind call_kinds[] = {
	{ "/v3/kv/txn", "txn", handle_txn, 0 },
	{ "/v3/kv/range", "range", handle_range, 0 },
	{ "/v3/lease/grant", "lease_grant", handle_grant, 0 },
	{ "/v3/lease/keepalive", "lease_keepalive", handle_keepalive, 0 },
	{ "/v3/lease/revoke", "lease_revoke", handle_revoke, 0 },
	{ "/v3/kv/lease/revoke", "kv_lease_revoke", handle_revoke, 0 },
	{ "/v3/watch", "watch", handle_watch, 0 },
};

static json_t *request_json(struct evhttp_request *req)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(req);

	return json_loadb((char *)evbuffer_pullup(input, -1),
			  evbuffer_get_length(input), 0, NULL);
}

/* Executes a call, and answers it unless a fault prevents that. */
static void execute_call(struct exchange *ex)
{
	json_t *request = request_json(ex->req);

	ex->kind->count++;
	ex->hanging = FALSE;
	ex->status = request ? ex->kind->handle(ex, request)
			     : set_error(ex, HTTP_BADREQUEST, 3, "not JSON");
	json_decref(request);
	if (!ex->status)
		return;
	if (ex->answer_lost)
		close_without_answer(ex);
	else if (faults.delay_ms)
		start_timer(ex, send_answer, faults.delay_ms);
	else
		send_answer(-1, 0, ex);
}

static void on_call(struct evhttp_request *req, void *arg)
{
	struct exchange *ex = g_new0(struct exchange, 1);

	ex->req = req;
	ex->kind = arg;
	ex->link.data = ex;
	g_queue_push_tail_link(&exchanges, &ex->link);
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_close, ex);
	if (faults.down)
		close_without_answer(ex);
	else if (faults.hang)
		ex->hanging = TRUE;
	else
		execute_call(ex);
}

static void on_calls(struct evhttp_request *req, void *arg G_GNUC_UNUSED)
{
	json_t *json = json_object();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(call_kinds); i++)
		json_object_set_new(json, call_kinds[i].name,
				    json_integer(call_kinds[i].count));
	/* Unanswered calls and watches. */
	json_object_set_new(json, "open", json_integer(exchanges.length));
	reply_json(req, HTTP_OK, json);
	json_decref(json);
}

/* Ends the leases that have expired, or all. */
static void expire_leases(gboolean all)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, leases);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		gint64 id = *(gint64 *)key;

		if (!all && ((struct lease *)value)->expires_us >
				    g_get_monotonic_time())
			continue;
		g_hash_table_iter_remove(&iter);
		end_lease(id);
	}
}

static void on_tick(evutil_socket_t fd G_GNUC_UNUSED, short what G_GNUC_UNUSED,
		    void *arg G_GNUC_UNUSED)
{
	expire_leases(FALSE);
}

static void on_fault(struct evhttp_request *req, void *arg G_GNUC_UNUSED)
{
	json_t *json = request_json(req);
	GList *link = exchanges.head;
	int expire_all = 0;
	int bad = json_unpack_ex(
		json, NULL, JSON_STRICT, "{s?b, s?b, s?I, s?I, s?b}", "down",
		&faults.down, "hang", &faults.hang, "delay_ms",
		&faults.delay_ms, "lose_answers", &faults.lose_answers,
		"expire_leases", &expire_all);

	if (expire_all)
		expire_leases(TRUE);
	while (link) {
		struct exchange *ex = link->data;

		link = link->next;
		if (faults.down)
			close_without_answer(ex);
		else if (ex->hanging && !faults.hang)
			execute_call(ex);
	}
	reply_json(req, bad ? HTTP_BADREQUEST : HTTP_OK, json);
	json_decref(json);
}

static int serve(const char *address)
{
	struct timeval tick = { .tv_usec = LEASE_CHECK_MS * 1000 };
	g_autofree char *host = g_strndup(address, strcspn(address, ":"));
	const char *port = strchr(address, ':');
	struct evhttp_bound_socket *bound;
	struct sockaddr_in name;
	socklen_t len = sizeof(name);
	struct evhttp *http;
	size_t i;

	base = event_base_new();
	http = evhttp_new(base);
	for (i = 0; i < G_N_ELEMENTS(call_kinds); i++)
		evhttp_set_cb(http, call_kinds[i].path, on_call,
			      &call_kinds[i]);
	evhttp_set_cb(http, "/calls", on_calls, NULL);
	evhttp_set_cb(http, "/fault", on_fault, NULL);
	bound = evhttp_bind_socket_with_handle(
		http, host, port ? (guint16)atoi(port + 1) : 0);
	if (!bound) {
		fprintf(stderr, "platform: cannot listen on %s\n", address);
		return EXIT_FAILURE;
	}
	getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&name,
		    &len);
	printf("listening on %s:%d\n", host, ntohs(name.sin_port));
	fflush(stdout);
	event_add(event_new(base, -1, EV_PERSIST, on_tick, NULL), &tick);
	return event_base_dispatch(base) < 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	if (argc != 3 || strcmp(argv[1], "--listen"))
		g_error("usage: platform --listen HOST:PORT");
	signal(SIGPIPE, SIG_IGN);
	items = g_tree_new_full(compare_keys, NULL, g_free,
				(GDestroyNotify)json_decref);
	leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				       g_free);
	return serve(argv[2]);
}
