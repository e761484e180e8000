#include "etcd.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <string.h>

#include "../net/net.h"

/*
 * Calls to the gateway. A connection carries one call at a time, so that its
 * failure affects only that call; evhttp does not send calls again, and
 * handle_failure() does so only where that is safe. Answers are handled in a
 * separate event, when evhttp no longer uses the connection.
 */

/* Maximum number of idle connections kept for an endpoint. */
#define MAX_IDLE_CONNECTIONS 8

/* gRPC code for a key or lease that does not exist. */
#define GRPC_NOT_FOUND 5

#define MS_PER_SECOND 1000

/* Keys of a page. Values have up to KV_MAX_VALUE_BYTES. */
#define PAGE_KEYS 16

enum call_kind {
	CALL_TXN,
	CALL_RANGE,
	CALL_GRANT,
	CALL_KEEPALIVE,
	CALL_REVOKE,
};

static const struct {
	const char *path;
	/* The call is idempotent, so it may be sent again. */
	gboolean repeatable;
	/* Offset of its counter in struct kv_calls. */
	size_t counter;
} call_kinds[] = {
	[CALL_TXN] = { "/v3/kv/txn", FALSE, offsetof(struct kv_calls, txns) },
	[CALL_RANGE] = { "/v3/kv/range", TRUE,
			 offsetof(struct kv_calls, ranges) },
	[CALL_GRANT] = { "/v3/lease/grant", FALSE,
			 offsetof(struct kv_calls, lease_grants) },
	[CALL_KEEPALIVE] = { "/v3/lease/keepalive", TRUE,
			     offsetof(struct kv_calls, lease_keepalives) },
	[CALL_REVOKE] = { "/v3/lease/revoke", FALSE,
			  offsetof(struct kv_calls, lease_revokes) },
};

struct call {
	struct kv_etcd *etcd;
	GList link;
	enum call_kind kind;
	union {
		kv_txn_fn txn;
		kv_range_fn range;
		kv_page_fn page;
		kv_lease_fn lease;
	} fn;
	/* Of CALL_RANGE: fn.page is set. */
	gboolean is_page;
	void *ctx;
	gint64 lease;
	char *body;
	size_t body_len;
	/* Set if the request is invalid: it is not sent, and this error is
	 * reported. */
	GError *refused;
	size_t endpoint;
	unsigned attempts;
	struct evhttp_connection *connection;
	struct evbuffer_cb_entry *output_cb;
	struct event *done;
	struct event *deadline;
	/* Bytes were sent, so the call may take effect. */
	gboolean sent;
	gboolean timed_out;
	/* HTTP status; 0 if there was no complete answer. */
	int status;
	GString *answer;
};

struct evhttp_connection *kv_etcd_connect(struct kv_etcd *etcd,
					  const struct kv_endpoint *endpoint)
{
	return evhttp_connection_base_new(etcd->base, NULL, endpoint->host,
					  endpoint->port);
}

int kv_etcd_post(struct evhttp_connection *connection,
		 struct evhttp_request *req, const struct kv_endpoint *endpoint,
		 const char *path, const char *body, size_t len)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	evhttp_add_header(headers, "Host", endpoint->address);
	evhttp_add_header(headers, "Content-Type", "application/json");
	evbuffer_add(evhttp_request_get_output_buffer(req), body, len);
	return evhttp_make_request(connection, req, EVHTTP_REQ_POST, path);
}

void kv_etcd_switch_endpoint(struct kv_etcd *etcd, size_t failed)
{
	if (etcd->current == failed)
		etcd->current = (failed + 1) % etcd->n_endpoints;
}

void kv_etcd_answer_error(int status, const char *data, size_t len,
			  GError **error)
{
	json_t *json = json_loadb(data, len, JSON_DISABLE_EOF_CHECK, NULL);
	json_t *inner = json_object_get(json, "error");
	json_t *from = json_is_object(inner) ? inner : json;
	const char *text = json_string_value(json_object_get(from, "message"));
	enum kv_error code = KV_ERROR_UNKNOWN;

	/*
	 * After answers other than these the outcome is unknown: etcd answers
	 * "request timed out" with status 503 for proposals that may still be
	 * applied.
	 */
	if (kv_json_number(from, "code") == GRPC_NOT_FOUND)
		code = KV_ERROR_NO_LEASE;
	else if (status == HTTP_BADREQUEST || status == HTTP_NOTFOUND)
		code = KV_ERROR_PROTOCOL;
	g_set_error(error, KV_ERROR, code, "status %d: %s", status,
		    text ? text : "no message");
	json_decref(json);
}

static void end_attempt(struct call *call, gboolean keep)
{
	struct kv_endpoint *endpoint = &call->etcd->endpoints[call->endpoint];
	struct bufferevent *bev;

	if (!call->connection)
		return;
	bev = evhttp_connection_get_bufferevent(call->connection);
	evbuffer_remove_cb_entry(bufferevent_get_output(bev), call->output_cb);
	if (keep && endpoint->idle.length < MAX_IDLE_CONNECTIONS)
		g_queue_push_head(&endpoint->idle, call->connection);
	else
		evhttp_connection_free(call->connection);
	call->connection = NULL;
}

static void free_call(struct call *call)
{
	end_attempt(call, FALSE);
	g_queue_unlink(&call->etcd->pending, &call->link);
	event_free(call->done);
	event_free(call->deadline);
	g_string_free(call->answer, TRUE);
	g_clear_error(&call->refused);
	g_free(call->body);
	g_free(call);
}

static void on_output(struct evbuffer *buffer G_GNUC_UNUSED,
		      const struct evbuffer_cb_info *info, void *arg)
{
	struct call *call = arg;
	struct kv_calls *calls = &call->etcd->calls;

	if (!info->n_deleted || call->sent)
		return;
	call->sent = TRUE;
	(*(guint64 *)((char *)calls + call_kinds[call->kind].counter))++;
	calls->bytes_written += call->body_len;
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct call *call = arg;
	struct evbuffer *input;
	size_t len;

	if (req && evhttp_request_get_response_code(req)) {
		input = evhttp_request_get_input_buffer(req);
		len = evbuffer_get_length(input);
		call->status = evhttp_request_get_response_code(req);
		g_string_set_size(call->answer, len);
		evbuffer_remove(input, call->answer->str, len);
		call->etcd->calls.bytes_read += len;
		/* Without an answer the deadline stays: it limits all attempts
		 * together. */
		event_del(call->deadline);
	}
	event_active(call->done, 0, 0);
}

static void start_attempt(struct call *call)
{
	struct kv_etcd *etcd = call->etcd;
	struct kv_endpoint *endpoint = &etcd->endpoints[etcd->current];
	struct evhttp_request *req;
	struct bufferevent *bev;

	call->attempts++;
	call->endpoint = etcd->current;
	call->connection = g_queue_pop_head(&endpoint->idle);
	if (!call->connection)
		call->connection = kv_etcd_connect(etcd, endpoint);
	bev = evhttp_connection_get_bufferevent(call->connection);
	call->output_cb = evbuffer_add_cb(bufferevent_get_output(bev),
					  on_output, call);
	req = evhttp_request_new(on_answer, call);
	if (kv_etcd_post(call->connection, req, endpoint,
			 call_kinds[call->kind].path, call->body,
			 call->body_len) < 0)
		event_active(call->done, 0, 0);
}

static void report(struct call *call, const json_t *answer,
		   const GPtrArray *pairs, const GError *error)
{
	const json_t *header = json_object_get(answer, "header");
	gint64 revision = kv_json_number(header, "revision");
	struct kv_txn_result result = {
		.succeeded = json_is_true(json_object_get(answer, "succeeded")),
		.revision = revision,
	};
	gint64 lease = kv_json_number(answer, "ID");

	if (error)
		call->etcd->calls.failures++;
	switch (call->kind) {
	case CALL_TXN:
		call->fn.txn(call->ctx, error ? NULL : &result, error);
		break;
	case CALL_RANGE:
		if (call->is_page) {
			call->fn.page(
				call->ctx, pairs,
				json_is_true(json_object_get(answer, "more")),
				error);
			break;
		}
		call->fn.range(call->ctx, pairs, revision, error);
		break;
	default:
		call->fn.lease(call->ctx, lease ? lease : call->lease,
			       error ? 0
				     : kv_json_number(answer, "TTL") *
					       MS_PER_SECOND,
			       error);
	}
}

static GPtrArray *read_pairs(const json_t *answer, GError **error)
{
	const json_t *items = json_object_get(answer, "kvs");
	GPtrArray *pairs =
		g_ptr_array_new_with_free_func((GDestroyNotify)kv_pair_free);
	size_t i;

	for (i = 0; i < json_array_size(items); i++) {
		struct kv_pair *pair = kv_json_pair(json_array_get(items, i),
						    FALSE);

		if (!pair) {
			g_set_error(error, KV_ERROR, KV_ERROR_PROTOCOL,
				    "pair %zu of the answer has no key", i);
			g_ptr_array_unref(pairs);
			return NULL;
		}
		g_ptr_array_add(pairs, pair);
	}
	return pairs;
}

static void handle_answer(struct call *call)
{
	g_autoptr(GPtrArray) pairs = NULL;
	GError *error = NULL;
	json_error_t cause;
	json_t *json = NULL;
	const json_t *answer;

	if (call->status != HTTP_OK) {
		kv_etcd_answer_error(call->status, call->answer->str,
				     call->answer->len, &error);
		report(call, NULL, NULL, error);
		g_error_free(error);
		return;
	}
	json = json_loadb(call->answer->str, call->answer->len, 0, &cause);
	/* Streaming calls wrap each answer in "result". */
	answer = json_object_get(json, "result");
	if (!answer)
		answer = json;
	if (!json_is_object(answer) || !json_object_get(answer, "header")) {
		/* A transaction was executed, but with unknown result. */
		g_set_error(&error, KV_ERROR,
			    call->kind == CALL_TXN ? KV_ERROR_UNKNOWN
						   : KV_ERROR_PROTOCOL,
			    "malformed answer: %s",
			    json ? "no header" : cause.text);
	} else if (call->kind == CALL_RANGE) {
		pairs = read_pairs(answer, &error);
	} else if ((call->kind == CALL_KEEPALIVE || call->kind == CALL_GRANT) &&
		   kv_json_number(answer, "TTL") <= 0) {
		g_set_error(&error, KV_ERROR, KV_ERROR_NO_LEASE,
			    "lease %" G_GINT64_FORMAT " has expired",
			    call->lease);
	}
	report(call, error ? NULL : answer, pairs, error);
	g_clear_error(&error);
	json_decref(json);
}

static void handle_failure(struct call *call)
{
	struct kv_etcd *etcd = call->etcd;
	const char *address = etcd->endpoints[call->endpoint].address;
	GError *error = NULL;

	kv_etcd_switch_endpoint(etcd, call->endpoint);
	if (!call->timed_out && call->attempts < etcd->n_endpoints &&
	    (!call->sent || call_kinds[call->kind].repeatable)) {
		call->sent = FALSE;
		start_attempt(call);
		return;
	}
	if (!call->sent)
		g_set_error(&error, KV_ERROR, KV_ERROR_UNAVAILABLE,
			    "%s: not connected%s", address,
			    call->timed_out ? " in time" : "");
	else
		g_set_error(&error, KV_ERROR, KV_ERROR_UNKNOWN, "%s: %s",
			    address,
			    call->timed_out ? "no answer in time"
					    : "connection lost before the "
					      "answer");
	report(call, NULL, NULL, error);
	g_error_free(error);
	free_call(call);
}

static void on_done(evutil_socket_t fd G_GNUC_UNUSED, short what G_GNUC_UNUSED,
		    void *arg)
{
	struct call *call = arg;

	if (call->refused) {
		report(call, NULL, NULL, call->refused);
		free_call(call);
		return;
	}
	end_attempt(call, call->status != 0);
	if (call->status) {
		handle_answer(call);
		free_call(call);
	} else {
		handle_failure(call);
	}
}

static void on_deadline(evutil_socket_t fd G_GNUC_UNUSED,
			short what G_GNUC_UNUSED, void *arg)
{
	struct call *call = arg;

	call->timed_out = TRUE;
	end_attempt(call, FALSE);
	event_active(call->done, 0, 0);
}

static struct call *new_call(struct kv *kv, enum call_kind kind, void *ctx)
{
	struct kv_etcd *etcd = (struct kv_etcd *)kv;
	struct call *call = g_new0(struct call, 1);

	call->etcd = etcd;
	call->kind = kind;
	call->ctx = ctx;
	call->answer = g_string_new(NULL);
	call->link.data = call;
	call->done = event_new(etcd->base, -1, 0, on_done, call);
	call->deadline = event_new(etcd->base, -1, 0, on_deadline, call);
	g_queue_push_tail_link(&etcd->pending, &call->link);
	return call;
}

/* Takes ownership of json. */
static void send_call(struct call *call, json_t *json)
{
	gint64 timeout_ms = call->etcd->timeout_ms;
	struct timeval tv = { .tv_sec = timeout_ms / MS_PER_SECOND,
			      .tv_usec = timeout_ms % MS_PER_SECOND * 1000 };
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	call->body = g_strdup(text);
	call->body_len = strlen(text);
	free(text);
	event_add(call->deadline, &tv);
	start_attempt(call);
}

static int check_txn(const struct kv_txn *txn, GError **error)
{
	guint i;

	if (txn->ops->len > KV_MAX_TXN_OPS) {
		g_set_error(error, KV_ERROR, KV_ERROR_PROTOCOL,
			    "%u operations; at most %d fit", txn->ops->len,
			    KV_MAX_TXN_OPS);
		return -1;
	}
	for (i = 0; i < txn->ops->len; i++) {
		const struct kv_op *op = &g_array_index(txn->ops, struct kv_op,
							i);

		if (op->kind == KV_OP_PUT &&
		    g_bytes_get_size(op->value) > KV_MAX_VALUE_BYTES) {
			g_set_error(error, KV_ERROR, KV_ERROR_PROTOCOL,
				    "%s: %zu bytes; at most %d fit", op->key,
				    g_bytes_get_size(op->value),
				    KV_MAX_VALUE_BYTES);
			return -1;
		}
	}
	return 0;
}

static void etcd_txn(struct kv *kv, const struct kv_txn *txn, kv_txn_fn fn,
		     void *ctx)
{
	struct call *call = new_call(kv, CALL_TXN, ctx);

	call->fn.txn = fn;
	if (check_txn(txn, &call->refused) < 0)
		event_active(call->done, 0, 0);
	else
		send_call(call, kv_json_txn(txn));
}

static void etcd_range(struct kv *kv, const char *prefix, gboolean exact,
		       gint64 min_revision, kv_range_fn fn, void *ctx)
{
	struct call *call = new_call(kv, CALL_RANGE, ctx);
	json_t *json = json_object();

	call->fn.range = fn;
	kv_json_set_range(json, prefix, exact);
	if (min_revision)
		kv_json_set_number(json, "min_mod_revision", min_revision);
	send_call(call, json);
}

static void etcd_range_page(struct kv *kv, const char *prefix,
			    const char *after, kv_page_fn fn, void *ctx)
{
	struct call *call = new_call(kv, CALL_RANGE, ctx);
	json_t *json = json_object();

	call->fn.page = fn;
	call->is_page = TRUE;
	kv_json_set_range(json, prefix, FALSE);
	/* The key that follows it has a zero byte appended. */
	if (after)
		kv_json_set_bytes(json, "key", after, strlen(after) + 1);
	kv_json_set_number(json, "limit", PAGE_KEYS);
	send_call(call, json);
}

static void lease_call(struct kv *kv, enum call_kind kind, const char *key,
		       gint64 number, kv_lease_fn fn, void *ctx)
{
	struct call *call = new_call(kv, kind, ctx);
	json_t *json = json_object();

	call->fn.lease = fn;
	call->lease = kind == CALL_GRANT ? 0 : number;
	kv_json_set_number(json, key, number);
	send_call(call, json);
}

static void etcd_lease_grant(struct kv *kv, gint64 ttl_ms, kv_lease_fn fn,
			     void *ctx)
{
	/* The gateway takes whole seconds. */
	lease_call(kv, CALL_GRANT, "TTL",
		   (ttl_ms + MS_PER_SECOND - 1) / MS_PER_SECOND, fn, ctx);
}

static void etcd_lease_keepalive(struct kv *kv, gint64 lease, kv_lease_fn fn,
				 void *ctx)
{
	lease_call(kv, CALL_KEEPALIVE, "ID", lease, fn, ctx);
}

static void etcd_lease_revoke(struct kv *kv, gint64 lease, kv_lease_fn fn,
			      void *ctx)
{
	lease_call(kv, CALL_REVOKE, "ID", lease, fn, ctx);
}

static const struct kv_calls *etcd_calls(struct kv *kv)
{
	return &((struct kv_etcd *)kv)->calls;
}

static void etcd_free(struct kv *kv)
{
	struct kv_etcd *etcd = (struct kv_etcd *)kv;
	struct evhttp_connection *connection;
	size_t i;

	while (etcd->pending.head)
		free_call(etcd->pending.head->data);
	while (etcd->watches.head)
		kv_etcd_watch_free(etcd->watches.head->data);
	for (i = 0; i < etcd->n_endpoints; i++) {
		struct kv_endpoint *endpoint = &etcd->endpoints[i];

		while ((connection = g_queue_pop_head(&endpoint->idle)))
			evhttp_connection_free(connection);
		g_free(endpoint->address);
		g_free(endpoint->host);
	}
	g_free(etcd->endpoints);
	g_free(etcd);
}

static const struct kv_ops etcd_ops = {
	.txn = etcd_txn,
	.range = etcd_range,
	.range_page = etcd_range_page,
	.lease_grant = etcd_lease_grant,
	.lease_keepalive = etcd_lease_keepalive,
	.lease_revoke = etcd_lease_revoke,
	.watch = kv_etcd_watch,
	.watch_cancel = kv_etcd_watch_cancel,
	.watch_current_ms = kv_etcd_watch_current_ms,
	.calls = etcd_calls,
	.free = etcd_free,
};

static int parse_endpoint(const char *address, struct kv_endpoint *endpoint,
			  GError **error)
{
	if (net_split_address(address, &endpoint->host, &endpoint->port) < 0) {
		g_set_error(error, KV_ERROR, KV_ERROR_PROTOCOL,
			    "\"%s\": expected IP:PORT", address);
		return -1;
	}
	endpoint->address = g_strdup(address);
	return 0;
}

struct kv *kv_etcd_new(const struct kv_etcd_options *options, GError **error)
{
	struct kv_etcd *etcd = g_new0(struct kv_etcd, 1);
	size_t i;

	etcd->kv.ops = &etcd_ops;
	etcd->base = options->base;
	etcd->timeout_ms = options->timeout_ms;
	etcd->n_endpoints = options->n_endpoints;
	etcd->endpoints = g_new0(struct kv_endpoint, options->n_endpoints);
	for (i = 0; i < options->n_endpoints; i++)
		if (parse_endpoint(options->endpoints[i], &etcd->endpoints[i],
				   error) < 0)
			break;
	if (i == options->n_endpoints && i > 0)
		return &etcd->kv;
	if (error && !*error)
		g_set_error(error, KV_ERROR, KV_ERROR_PROTOCOL,
			    "expected at least one endpoint");
	etcd_free(&etcd->kv);
	return NULL;
}
