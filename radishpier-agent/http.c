#include "shell.h"

#include <sys/socket.h>

#include "../net/net.h"

/** Limit of an answer's headers, and of a single read. */
#define MAX_HEADERS_BYTES (64 * 1024)

/** A call in progress. */
struct call {
	struct ash_http *http;
	/** Owned by evhttp once the request is made. */
	struct evhttp_request *req;
	enum evhttp_cmd_type method;
	char *target;
	/** Fires at the call's time-out. */
	struct event *timer;
	/** NULL while the call waits for a connection. */
	struct connection *conn;
	ash_http_done *done;
	void *data;
	GDestroyNotify free_data;
};

/** A connection; it carries one call at a time. */
struct connection {
	struct ash_http *http;
	struct evhttp_connection *evcon;
	struct bufferevent *bev;
	/** Bytes of the current call were handed to the kernel. */
	gboolean sent;
};

struct ash_http {
	struct event_base *base;
	char *address;
	char *host;
	guint16 port;
	unsigned max_connections;
	unsigned open_connections;
	size_t max_body_bytes;
	/** Of struct connection, used as a stack: the last used goes first. */
	GPtrArray *idle;
	/** Of struct call: those without a connection. */
	GQueue *waiting;
	/** Set of all calls in progress. */
	GHashTable *calls;
};

struct ash_http *ash_http_new(struct event_base *base, const char *address,
			      unsigned connections, size_t max_body_bytes,
			      GError **error)
{
	struct ash_http *http = g_new0(struct ash_http, 1);

	if (net_split_address(address, &http->host, &http->port) < 0) {
		g_set_error(error, ASH_ERROR, ASH_ERROR_ADDRESS,
			    "%s: expected IP:PORT", address);
		g_free(http);
		return NULL;
	}
	http->base = base;
	http->address = g_strdup(address);
	http->max_connections = MAX(connections, 1);
	http->max_body_bytes = max_body_bytes;
	http->idle = g_ptr_array_new();
	http->waiting = g_queue_new();
	http->calls = g_hash_table_new(g_direct_hash, g_direct_equal);
	return http;
}

/* Output that leaves the buffer while a socket exists was written to it. */
static void on_output(struct evbuffer *out G_GNUC_UNUSED,
		      const struct evbuffer_cb_info *info, void *data)
{
	struct connection *conn = data;

	if (info->n_deleted && bufferevent_getfd(conn->bev) >= 0)
		conn->sent = TRUE;
}

static struct connection *connection_new(struct ash_http *http)
{
	struct connection *conn = g_new0(struct connection, 1);

	conn->http = http;
	conn->bev = bufferevent_socket_new(http->base, -1,
					   BEV_OPT_CLOSE_ON_FREE);
	conn->evcon = evhttp_connection_base_bufferevent_new(
		http->base, NULL, conn->bev, http->host, http->port);
	evhttp_connection_set_max_body_size(conn->evcon,
					    (ev_ssize_t)http->max_body_bytes);
	evhttp_connection_set_max_headers_size(conn->evcon, MAX_HEADERS_BYTES);
	bufferevent_set_max_single_read(conn->bev, MAX_HEADERS_BYTES);
	evbuffer_add_cb(bufferevent_get_output(conn->bev), on_output, conn);
	http->open_connections++;
	return conn;
}

static void connection_free(struct connection *conn)
{
	conn->http->open_connections--;
	evhttp_connection_free(conn->evcon);
	g_free(conn);
}

/* TRUE if the server closed the connection, on which a call would fail. */
static gboolean is_closed(const struct connection *conn)
{
	int fd = bufferevent_getfd(conn->bev);
	char byte;

	return fd >= 0 && !recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

/* Returns an idle or new connection, or NULL if all are in use. */
static struct connection *connection_take(struct ash_http *http)
{
	while (http->idle->len) {
		struct connection *conn = g_ptr_array_steal_index(
			http->idle, http->idle->len - 1);

		if (!is_closed(conn))
			return conn;
		connection_free(conn);
	}
	return http->open_connections < http->max_connections
		       ? connection_new(http)
		       : NULL;
}

static void call_free(struct call *call)
{
	event_free(call->timer);
	g_free(call->target);
	g_free(call);
}

static void call_end(struct call *call, enum agt_upstream_status status,
		     struct evhttp_request *req)
{
	g_hash_table_remove(call->http->calls, call);
	call->done(call->data, status, req);
	call_free(call);
}

void ash_http_free(struct ash_http *http)
{
	GHashTableIter iter;
	struct call *call;
	unsigned i;

	if (!http)
		return;
	g_hash_table_iter_init(&iter, http->calls);
	while (g_hash_table_iter_next(&iter, (void **)&call, NULL)) {
		if (call->conn)
			connection_free(call->conn);
		else
			evhttp_request_free(call->req);
		if (call->free_data)
			call->free_data(call->data);
		call_free(call);
	}
	for (i = 0; i < http->idle->len; i++)
		connection_free(g_ptr_array_index(http->idle, i));
	g_hash_table_destroy(http->calls);
	g_ptr_array_free(http->idle, TRUE);
	g_queue_free(http->waiting);
	g_free(http->address);
	g_free(http->host);
	g_free(http);
}

static void run_waiting(struct ash_http *http);

static void on_answer(struct evhttp_request *req, void *data)
{
	struct call *call = data;
	struct ash_http *http = call->http;
	struct connection *conn = call->conn;
	enum agt_upstream_status status = AGT_UPSTREAM_ANSWERED;

	if (!req || !evhttp_request_get_response_code(req)) {
		status = conn->sent ? AGT_UPSTREAM_FAILED
				    : AGT_UPSTREAM_NOT_SENT;
		req = NULL;
	}
	call->req = NULL;
	call_end(call, status, req);
	/* Also after an error, since a connection must not be freed in its own
	 * callback. */
	g_ptr_array_add(http->idle, conn);
	run_waiting(http);
}

static void run_call(struct call *call, struct connection *conn)
{
	call->conn = conn;
	conn->sent = FALSE;
	if (evhttp_make_request(conn->evcon, call->req, call->method,
				call->target)) {
		call->req = NULL;
		g_ptr_array_add(call->http->idle, conn);
		call_end(call, AGT_UPSTREAM_NOT_SENT, NULL);
	}
}

static void run_waiting(struct ash_http *http)
{
	struct connection *conn;

	while (!g_queue_is_empty(http->waiting) &&
	       (conn = connection_take(http)))
		run_call(g_queue_pop_head(http->waiting), conn);
}

static void on_timeout(evutil_socket_t fd G_GNUC_UNUSED,
		       short what G_GNUC_UNUSED, void *data)
{
	struct call *call = data;
	struct ash_http *http = call->http;
	enum agt_upstream_status status = AGT_UPSTREAM_NOT_SENT;

	if (call->conn) {
		if (call->conn->sent)
			status = AGT_UPSTREAM_FAILED;
		/* Also frees the request, without its callback. */
		connection_free(call->conn);
	} else {
		g_queue_remove(http->waiting, call);
		evhttp_request_free(call->req);
	}
	call_end(call, status, NULL);
	run_waiting(http);
}

void ash_http_start(struct ash_http *http, const struct ash_http_call *in)
{
	struct timeval timeout = { in->timeout_ms / 1000,
				   in->timeout_ms % 1000 * 1000 };
	struct call *call = g_new0(struct call, 1);
	struct evkeyvalq *headers;
	char length[32];
	size_t i;

	call->http = http;
	call->method = in->method;
	call->target = g_strdup(in->target);
	call->done = in->done;
	call->data = in->data;
	call->free_data = in->free_data;
	g_hash_table_add(http->calls, call);
	call->req = evhttp_request_new(on_answer, call);
	call->timer = evtimer_new(http->base, on_timeout, call);
	headers = evhttp_request_get_output_headers(call->req);
	for (i = 0; i < in->n_headers; i++)
		evhttp_add_header(headers, in->headers[i]->name,
				  in->headers[i]->value);
	if (!evhttp_find_header(headers, "Host"))
		evhttp_add_header(headers, "Host", http->address);
	if (in->body_len) {
		evbuffer_add(evhttp_request_get_output_buffer(call->req),
			     in->body, in->body_len);
		g_snprintf(length, sizeof(length), "%zu", in->body_len);
		evhttp_add_header(headers, "Content-Length", length);
	}
	evtimer_add(call->timer, &timeout);
	g_queue_push_tail(http->waiting, call);
	run_waiting(http);
}
