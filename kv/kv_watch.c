#include "etcd.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/*
 * A watch is a call whose answer is a stream of JSON objects, one per line. It
 * has its own connection, which stays open while the peer answers TCP keepalive
 * probes.
 */

/* Maximum size of a message, which holds the events of one transaction. */
#define MAX_LINE_BYTES (64 * 1024 * 1024)

/* evhttp closes a connection that is idle for this time. It is long because a
 * watch without changes is idle. */
#define IDLE_TIMEOUT_S (365 * 24 * 3600)

/* TCP keepalive: an unreachable peer is detected after about 11 s. */
#define PROBE_IDLE_S 5
#define PROBE_INTERVAL_S 2
#define PROBES 3

struct kv_watch {
	struct kv_etcd *etcd;
	GList link;
	kv_watch_fn fn;
	void *ctx;
	size_t endpoint;
	struct evhttp_connection *connection;
	/* Ends the watch if it is not confirmed in time. */
	struct event *deadline;
	/* Frees the watch outside of callbacks of evhttp and of the owner. */
	struct event *end;
	GString *buffer;
	GError *error;
	/* No more changes are reported; fn is called once more, with error. */
	gboolean ended;
	gboolean cancelled;
	/* A first message has arrived. */
	gboolean confirmed;
};

void kv_etcd_watch_free(struct kv_watch *watch)
{
	if (watch->connection)
		evhttp_connection_free(watch->connection);
	g_queue_unlink(&watch->etcd->watches, &watch->link);
	event_free(watch->deadline);
	event_free(watch->end);
	g_string_free(watch->buffer, TRUE);
	g_clear_error(&watch->error);
	g_free(watch);
}

static void end_watch(struct kv_watch *watch, enum kv_error code,
		      const char *text)
{
	if (watch->ended)
		return;
	watch->ended = TRUE;
	if (!watch->error)
		g_set_error(&watch->error, KV_ERROR, code, "watch: %s", text);
	event_active(watch->end, 0, 0);
}

static void on_end(evutil_socket_t fd G_GNUC_UNUSED, short what G_GNUC_UNUSED,
		   void *arg)
{
	struct kv_watch *watch = arg;

	if (!watch->cancelled) {
		watch->etcd->calls.failures++;
		kv_etcd_switch_endpoint(watch->etcd, watch->endpoint);
		watch->fn(watch->ctx, NULL, watch->error);
	}
	kv_etcd_watch_free(watch);
}

static void on_deadline(evutil_socket_t fd G_GNUC_UNUSED,
			short what G_GNUC_UNUSED, void *arg)
{
	end_watch(arg, KV_ERROR_UNKNOWN, "not confirmed in time");
}

static void deliver(struct kv_watch *watch, const json_t *event)
{
	const char *type = json_string_value(json_object_get(event, "type"));
	struct kv_pair *pair = kv_json_pair(json_object_get(event, "kv"),
					    !g_strcmp0(type, "DELETE"));

	if (pair)
		watch->fn(watch->ctx, pair, NULL);
	else
		end_watch(watch, KV_ERROR_PROTOCOL, "event without a key");
	kv_pair_free(pair);
}

static void handle_line(struct kv_watch *watch, const char *line, size_t len)
{
	json_t *json = json_loadb(line, len, 0, NULL);
	const json_t *result = json_object_get(json, "result");
	const json_t *events = json_object_get(result, "events");
	size_t i;

	if (!result) {
		if (json_object_get(json, "error"))
			kv_etcd_answer_error(HTTP_OK, line, len, &watch->error);
		end_watch(watch, KV_ERROR_PROTOCOL, "message without result");
	} else if (json_is_true(json_object_get(result, "canceled"))) {
		/* For example, the start revision was compacted. */
		end_watch(watch, KV_ERROR_UNKNOWN, "cancelled by the store");
	} else if (!watch->confirmed) {
		watch->confirmed = TRUE;
		event_del(watch->deadline);
	}
	for (i = 0; i < json_array_size(events) && !watch->ended; i++)
		deliver(watch, json_array_get(events, i));
	json_decref(json);
}

static void enable_tcp_keepalive(struct kv_watch *watch)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(watch->connection);
	const struct {
		int level;
		int name;
		int value;
	} options[] = {
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_S },
		{ IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S },
		{ IPPROTO_TCP, TCP_KEEPCNT, PROBES },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(options); i++)
		setsockopt(bufferevent_getfd(bev), options[i].level,
			   options[i].name, &options[i].value,
			   sizeof(options[i].value));
}

static void on_chunk(struct evhttp_request *req, void *arg)
{
	struct kv_watch *watch = arg;
	struct evbuffer *input = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(input);
	size_t old_len = watch->buffer->len;
	const char *newline;
	size_t start = 0;

	if (watch->ended)
		return;
	if (!watch->confirmed)
		enable_tcp_keepalive(watch);
	watch->etcd->calls.bytes_read += len;
	g_string_set_size(watch->buffer, old_len + len);
	evbuffer_remove(input, watch->buffer->str + old_len, len);
	/* An error is one object without a newline; see on_closed(). */
	if (evhttp_request_get_response_code(req) != HTTP_OK)
		return;
	while (!watch->ended &&
	       (newline = memchr(watch->buffer->str + start, '\n',
				 watch->buffer->len - start))) {
		size_t end = newline - watch->buffer->str;

		if (end > start)
			handle_line(watch, watch->buffer->str + start,
				    end - start);
		start = end + 1;
	}
	g_string_erase(watch->buffer, 0, (gssize)start);
	if (watch->buffer->len > MAX_LINE_BYTES)
		end_watch(watch, KV_ERROR_PROTOCOL, "message too long");
}

static void on_closed(struct evhttp_request *req, void *arg)
{
	struct kv_watch *watch = arg;
	int status = req ? evhttp_request_get_response_code(req) : 0;

	if (status && status != HTTP_OK && !watch->ended)
		kv_etcd_answer_error(status, watch->buffer->str,
				     watch->buffer->len, &watch->error);
	end_watch(watch,
		  watch->confirmed ? KV_ERROR_UNKNOWN : KV_ERROR_UNAVAILABLE,
		  "connection lost");
}

static char *watch_body(const char *prefix, gint64 revision)
{
	json_t *json = json_object();
	json_t *create = json_object();
	char *text;
	char *body;

	kv_json_set_range(create, prefix, FALSE);
	kv_json_set_number(create, "start_revision", revision + 1);
	json_object_set_new(json, "create_request", create);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	body = g_strdup(text);
	free(text);
	return body;
}

struct kv_watch *kv_etcd_watch(struct kv *kv, const char *prefix,
			       gint64 revision, kv_watch_fn fn, void *ctx)
{
	struct kv_etcd *etcd = (struct kv_etcd *)kv;
	struct kv_endpoint *endpoint = &etcd->endpoints[etcd->current];
	struct kv_watch *watch = g_new0(struct kv_watch, 1);
	struct evhttp_request *req;
	struct timeval idle = { .tv_sec = IDLE_TIMEOUT_S };
	struct timeval tv = { .tv_sec = etcd->timeout_ms / 1000,
			      .tv_usec = etcd->timeout_ms % 1000 * 1000 };
	g_autofree char *body = watch_body(prefix, revision);

	watch->etcd = etcd;
	watch->fn = fn;
	watch->ctx = ctx;
	watch->endpoint = etcd->current;
	watch->buffer = g_string_new(NULL);
	watch->link.data = watch;
	g_queue_push_tail_link(&etcd->watches, &watch->link);
	watch->deadline = event_new(etcd->base, -1, 0, on_deadline, watch);
	watch->end = event_new(etcd->base, -1, 0, on_end, watch);
	event_add(watch->deadline, &tv);
	watch->connection = kv_etcd_connect(etcd, endpoint);
	evhttp_connection_set_timeout_tv(watch->connection, &idle);
	req = evhttp_request_new(on_closed, watch);
	evhttp_request_set_chunked_cb(req, on_chunk);
	etcd->calls.watches++;
	etcd->calls.bytes_written += strlen(body);
	if (kv_etcd_post(watch->connection, req, endpoint, "/v3/watch", body,
			 strlen(body)) < 0)
		end_watch(watch, KV_ERROR_UNAVAILABLE, "not connected");
	return watch;
}

/* The stream carries nothing while there are no changes. */
gint64 kv_etcd_watch_current_ms(const struct kv *kv G_GNUC_UNUSED,
				const struct kv_watch *watch G_GNUC_UNUSED)
{
	return 0;
}

void kv_etcd_watch_cancel(struct kv *kv G_GNUC_UNUSED, struct kv_watch *watch)
{
	watch->cancelled = TRUE;
	end_watch(watch, KV_ERROR_UNKNOWN, "cancelled");
}
