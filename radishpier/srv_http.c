#include "srv.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "../net/net.h"

/** Limit of the total length of a request's header names and values. */
#define MAX_HEADER_BYTES (16 * 1024)
#define MAX_HEADERS 128
#define MAX_TIMEOUT_MS (24 * 3600 * 1000)
#define MAX_IDEMPOTENCY_KEY_BYTES 255

/** Up to this size a copy of a body is cheaper than a reference to it. */
#define COPY_BODY_MAX_BYTES 2048

/** Interval at which connections are checked for slow senders. */
#define SCAN_INTERVAL_MS 100

/**
 * evhttp's body limit is this much above the entry's, which on_request()
 * enforces: when evhttp refuses a body itself, it waits for more data, and none
 * comes if it has already read the whole body.
 */
#define EVHTTP_BODY_MARGIN_BYTES (64 * 1024)

#define REQUEST_ID_CHARS 24

#define HEADER_REQUEST_ID "Radishpier-Request-Id"
#define HEADER_OUTCOME "Radishpier-Outcome"
#define HEADER_TIMEOUT "Radishpier-Timeout-Ms"

/** A connection of a caller; evhttp handles one request at a time on it. */
struct caller {
	struct srv_http *http;
	struct evhttp_connection *evcon;
	struct evbuffer_cb_entry *input_cb;
	struct evbuffer_cb_entry *output_cb;
	/** Fires if the caller disconnects while a request is in flight. */
	struct event *close_event;
	/** Arrival of the first byte of a request being received, or 0. */
	gint64 receiving_since_ms;
	/** The request in flight, or NULL. */
	struct evhttp_request *req;
	/** Handle of the request in flight. */
	guint64 handle;
	/** An answer is being written. */
	gboolean writing;
	/** Status of an answer that evhttp generates itself, or 0. */
	unsigned evhttp_status;
	char request_id[REQUEST_ID_CHARS + 1];
	GList link;
};

struct srv_http {
	struct srv *srv;
	struct evhttp *evhttp;
	struct evconnlistener *listener;
	struct evhttp_bound_socket *bound;
	/** Of bufferevent pointers that have no struct caller yet. */
	GPtrArray *accepted;
	/** Made active to run on_accepted(). */
	struct event *accepted_event;
	/** evhttp_connection -> struct caller. */
	GHashTable *by_evcon;
	/** Handle -> struct caller. */
	GHashTable *by_handle;
	GQueue callers;
	/** Callers to whom an answer is being written. */
	unsigned writing;
	gint64 next_scan_ms;
	/** Random per process; request ids are the prefix and a counter. */
	guint64 id_prefix;
	guint64 id_count;
	/** Storage of the headers of the request that is being dispatched. */
	Rp__Header headers[MAX_HEADERS];
	const Rp__Header *header_list[MAX_HEADERS];
};

static const char request_timeout_answer[] = "HTTP/1.1 408 Request Timeout\r\n"
					     "Radishpier-Outcome: not-run\r\n"
					     "Connection: close\r\n"
					     "Content-Length: 0\r\n\r\n";

static void set_busy(struct caller *caller, struct evhttp_request *req)
{
	struct srv_http *http = caller->http;

	caller->req = req;
	caller->handle = ++http->srv->last_handle;
	caller->receiving_since_ms = 0;
	g_snprintf(caller->request_id, sizeof(caller->request_id),
		   "%016" G_GINT64_MODIFIER "x%08x", http->id_prefix,
		   (unsigned)++http->id_count);
	g_hash_table_insert(http->by_handle, &caller->handle, caller);
	event_add(caller->close_event, NULL);
}

static void set_idle(struct caller *caller)
{
	if (!caller->req)
		return;
	event_del(caller->close_event);
	g_hash_table_remove(caller->http->by_handle, &caller->handle);
	caller->req = NULL;
}

/* evhttp calls this before it frees the connection. */
static void on_connection_closed(struct evhttp_connection *evcon, void *ctx)
{
	struct caller *caller = ctx;
	struct srv_http *http = caller->http;
	struct ent_event ev = { .kind = ENT_EV_CALLER_DISCONNECTED };
	struct bufferevent *bev = evhttp_connection_get_bufferevent(evcon);
	gboolean was_busy = caller->req != NULL;

	ev.disconnected.handle = caller->handle;
	set_idle(caller);
	if (caller->writing)
		http->writing--;
	evbuffer_remove_cb_entry(bufferevent_get_input(bev), caller->input_cb);
	evbuffer_remove_cb_entry(bufferevent_get_output(bev),
				 caller->output_cb);
	event_free(caller->close_event);
	g_hash_table_remove(http->by_evcon, evcon);
	g_queue_unlink(&http->callers, &caller->link);
	g_free(caller);
	if (was_busy)
		srv_dispatch(http->srv, &ev);
}

static void on_caller_closed(evutil_socket_t fd, short what, void *ctx)
{
	struct caller *caller = ctx;

	(void)fd;
	(void)what;
	evhttp_connection_free(caller->evcon);
}

static void on_input(struct evbuffer *buffer,
		     const struct evbuffer_cb_info *info, void *ctx)
{
	struct caller *caller = ctx;

	(void)buffer;
	if (info->n_added && !caller->req && !caller->receiving_since_ms)
		caller->receiving_since_ms = net_now_ms();
}

/* Returns the status in the status line at the start of the buffer, or 0. */
static unsigned answer_status(struct evbuffer *buffer)
{
	char line[sizeof("HTTP/1.1 400")] = "";
	ev_ssize_t n = evbuffer_copyout(buffer, line, sizeof(line) - 1);
	const char *space = n > 0 ? strchr(line, ' ') : NULL;

	return space ? (unsigned)g_ascii_strtoull(space, NULL, 10) : 0;
}

/*
 * evhttp itself answers a request that it cannot parse, with an HTML page that
 * it adds to the output in pieces. Each piece is replaced by an answer in the
 * form of refuse()'s; such a request was not dispatched.
 */
static void on_output(struct evbuffer *buffer,
		      const struct evbuffer_cb_info *info, void *ctx)
{
	struct caller *caller = ctx;
	const char *text;

	if (!info->n_added || caller->req || caller->writing)
		return;
	if (!caller->evhttp_status)
		caller->evhttp_status = answer_status(buffer);
	/* "100 Continue" is sent as it is. */
	if (caller->evhttp_status < 400) {
		caller->evhttp_status = 0;
		return;
	}
	text = caller->evhttp_status == 413   ? "the body is too large\n"
	       : caller->evhttp_status == 501 ? "the method is not supported\n"
					      : "the request is malformed\n";
	/* Keeps this function from replacing the changes made here. */
	caller->writing = TRUE;
	evbuffer_drain(buffer, evbuffer_get_length(buffer));
	evbuffer_add_printf(buffer,
			    "HTTP/1.1 %u Refused\r\n" HEADER_OUTCOME
			    ": not-run\r\nContent-Type: text/plain\r\n"
			    "Connection: close\r\n"
			    "Content-Length: %zu\r\n\r\n%s",
			    caller->evhttp_status, strlen(text), text);
	caller->writing = FALSE;
}

static void caller_new(struct srv_http *http, struct evhttp_connection *evcon)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(evcon);
	evutil_socket_t fd = bufferevent_getfd(bev);
	struct caller *caller = g_new0(struct caller, 1);
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	caller->http = http;
	caller->evcon = evcon;
	caller->link.data = caller;
	caller->close_event = event_new(http->srv->base, fd, EV_CLOSED,
					on_caller_closed, caller);
	caller->input_cb = evbuffer_add_cb(bufferevent_get_input(bev), on_input,
					   caller);
	caller->output_cb = evbuffer_add_cb(bufferevent_get_output(bev),
					    on_output, caller);
	evhttp_connection_set_closecb(evcon, on_connection_closed, caller);
	g_hash_table_insert(http->by_evcon, evcon, caller);
	g_queue_push_tail_link(&http->callers, &caller->link);
}

/*
 * Creates the callers of accepted connections, before anything is read from
 * them: an event that is made active runs before the loop polls again. evhttp
 * has no callback for a new connection, but sets the connection as the context
 * of its bufferevent callbacks.
 */
static void on_accepted(evutil_socket_t fd, short what, void *ctx)
{
	struct srv_http *http = ctx;
	guint i;

	(void)fd;
	(void)what;
	for (i = 0; i < http->accepted->len; i++) {
		struct bufferevent *bev = g_ptr_array_index(http->accepted, i);
		void *evcon = NULL;

		bufferevent_getcb(bev, NULL, NULL, NULL, &evcon);
		g_assert(evcon &&
			 evhttp_connection_get_bufferevent(evcon) == bev);
		caller_new(http, evcon);
	}
	g_ptr_array_set_size(http->accepted, 0);
}

/* Called by evhttp for each connection that it accepts. */
static struct bufferevent *on_new_bufferevent(struct event_base *base,
					      void *ctx)
{
	struct srv_http *http = ctx;
	struct bufferevent *bev = bufferevent_socket_new(base, -1, 0);

	if (!bev)
		return NULL;
	g_ptr_array_add(http->accepted, bev);
	event_active(http->accepted_event, 0, 0);
	return bev;
}

static void on_written(struct evhttp_request *req, void *ctx)
{
	struct caller *caller = ctx;
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(caller->evcon);

	(void)req;
	if (!caller->writing)
		return;
	caller->writing = FALSE;
	caller->http->writing--;
	if (evbuffer_get_length(bufferevent_get_input(bev)))
		caller->receiving_since_ms = net_now_ms();
}

static void free_reply(const void *data, size_t len, void *ctx)
{
	(void)data;
	(void)len;
	wire_frame_free(ctx);
}

/* The answer to HEAD states the length of a body that it does not carry. */
static gboolean is_head_length(struct evhttp_request *req, const Rp__Header *h)
{
	return evhttp_request_get_command(req) == EVHTTP_REQ_HEAD &&
	       !g_ascii_strcasecmp(h->name, "content-length");
}

/* Adds an upstream's headers and body; takes ownership of the frame. */
static void add_reply(struct evhttp_request *req, struct Rp__Frame *frame)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	struct evbuffer *body = evhttp_request_get_output_buffer(req);
	const Rp__Reply *reply = frame->reply;
	const char *connection = NULL;
	size_t i;

	for (i = 0; i < reply->n_headers; i++)
		if (!g_ascii_strcasecmp(reply->headers[i]->name, "connection"))
			connection = reply->headers[i]->value;
	for (i = 0; i < reply->n_headers; i++) {
		const Rp__Header *h = reply->headers[i];

		if ((net_is_hop_by_hop(h->name) && !is_head_length(req, h)) ||
		    net_is_listed(connection, h->name) ||
		    !g_ascii_strncasecmp(h->name, "radishpier-", 11))
			continue;
		evhttp_add_header(out, h->name, h->value);
	}
	if (reply->body.len <= COPY_BODY_MAX_BYTES) {
		evbuffer_add(body, reply->body.data, reply->body.len);
		wire_frame_free(frame);
	} else {
		evbuffer_add_reference(body, reply->body.data, reply->body.len,
				       free_reply, frame);
	}
}

static void add_text(struct evhttp_request *req,
		     const struct srv_answer *answer)
{
	if (answer->content_type)
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Content-Type", answer->content_type);
	if (answer->body_len)
		evbuffer_add(evhttp_request_get_output_buffer(req),
			     answer->body, answer->body_len);
}

/* Returns the reason phrase of a status that evhttp does not know, or NULL. */
static const char *status_phrase(unsigned status)
{
	switch (status) {
	case 422:
		return "Unprocessable Content";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	default:
		return NULL;
	}
}

void srv_http_answer(struct srv_http *http, guint64 handle,
		     struct srv_answer *answer)
{
	struct caller *caller = g_hash_table_lookup(http->by_handle, &handle);
	struct evhttp_request *req;
	struct evkeyvalq *out;
	unsigned status = answer->status;
	char seconds[16];

	if (!caller) {
		wire_frame_free(answer->reply);
		return;
	}
	req = caller->req;
	out = evhttp_request_get_output_headers(req);
	set_idle(caller);
	evhttp_add_header(out, HEADER_REQUEST_ID, caller->request_id);
	if (answer->outcome)
		evhttp_add_header(out, HEADER_OUTCOME, answer->outcome);
	if (answer->retry_after_s) {
		g_snprintf(seconds, sizeof(seconds), "%u",
			   answer->retry_after_s);
		evhttp_add_header(out, "Retry-After", seconds);
	}
	if (http->srv->draining)
		evhttp_add_header(out, "Connection", "close");
	if (answer->reply && answer->reply->body_case == RP__FRAME__BODY_REPLY)
		add_reply(req, answer->reply);
	else {
		wire_frame_free(answer->reply);
		add_text(req, answer);
	}
	/* evhttp would otherwise add text/html. */
	if (!evhttp_find_header(out, "Content-Type"))
		evhttp_add_header(out, "Content-Type",
				  "application/octet-stream");
	if (status < 200 || status > 999)
		status = 502;
	caller->writing = TRUE;
	http->writing++;
	evhttp_request_set_on_complete_cb(req, on_written, caller);
	evhttp_send_reply(req, (int)status, status_phrase(status), NULL);
}

static void refuse(struct caller *caller, unsigned status, const char *text)
{
	struct srv_answer answer = {
		.status = status,
		.outcome = "not-run",
		.content_type = "text/plain",
		.body = text,
		.body_len = strlen(text),
	};

	srv_http_answer(caller->http, caller->handle, &answer);
}

/* Returns -1 unless text is a number from 1 to MAX_TIMEOUT_MS. */
static int parse_timeout(const char *text, unsigned *timeout_ms)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 1, MAX_TIMEOUT_MS, &value,
					NULL))
		return -1;
	*timeout_ms = (unsigned)value;
	return 0;
}

/*
 * Collects the headers to forward in http->headers; returns their number, or -1
 * if they exceed the limits. evhttp's own limit applies only to lines that
 * arrive in several parts.
 */
static int collect_headers(struct srv_http *http,
			   const struct evkeyvalq *headers)
{
	const char *connection = evhttp_find_header(headers, "Connection");
	const struct evkeyval *kv;
	size_t bytes = 0;
	int n = 0;

	TAILQ_FOREACH(kv, headers, next)
	{
		bytes += strlen(kv->key) + strlen(kv->value);
		if (bytes > MAX_HEADER_BYTES)
			return -1;
		if (net_is_hop_by_hop(kv->key) ||
		    net_is_listed(connection, kv->key) ||
		    !g_ascii_strcasecmp(kv->key, HEADER_REQUEST_ID) ||
		    !g_ascii_strcasecmp(kv->key, HEADER_TIMEOUT))
			continue;
		if (n == MAX_HEADERS)
			return -1;
		http->headers[n].name = kv->key;
		http->headers[n].value = kv->value;
		n++;
	}
	return n;
}

/*
 * evhttp uses the first Content-Length. With a second one, two servers may
 * disagree on where the next request begins (RFC 9112, section 6.3).
 */
static gboolean has_two_lengths(const struct evkeyvalq *headers)
{
	const struct evkeyval *kv;
	unsigned n = 0;

	TAILQ_FOREACH(kv, headers, next)
	n += !g_ascii_strcasecmp(kv->key, "Content-Length");
	return n > 1;
}

/* Returns path and query, without scheme and authority; NULL if malformed. */
static const char *request_target(struct evhttp_request *req)
{
	const char *uri = evhttp_request_get_uri(req);
	const char *authority;
	const char *p;

	/* evhttp accepts spaces and control characters. */
	for (p = uri; *p; p++)
		if (g_ascii_iscntrl(*p) || *p == ' ')
			return NULL;
	if (uri[0] == '/' || !strcmp(uri, "*"))
		return uri;
	authority = strstr(uri, "://");
	if (!authority)
		return NULL;
	authority = strchr(authority + 3, '/');
	return authority ? authority : "/";
}

static void start_job_call(struct caller *caller,
			   const struct ent_request *request)
{
	size_t len = strcspn(request->target, "?");
	char *path = g_strndup(request->target, len);
	struct srv_job_call call = {
		.handle = request->handle,
		.method = request->method,
		.path = path,
		.body = request->body,
		.body_len = request->body_len,
	};

	srv_jobs_http(caller->http->srv->jobs, &call);
	g_free(path);
}

/*
 * Fills in the request, which borrows from evhttp's request. Returns NULL, or
 * the reason for refusing it with *status.
 */
static const char *read_request(struct caller *caller,
				struct ent_request *request, unsigned *status)
{
	struct evhttp_request *req = caller->req;
	const struct evkeyvalq *in = evhttp_request_get_input_headers(req);
	const char *timeout = evhttp_find_header(in, HEADER_TIMEOUT);
	int n;

	*status = 400;
	request->handle = caller->handle;
	request->request_id = caller->request_id;
	request->method = net_method_name(evhttp_request_get_command(req));
	request->target = request_target(req);
	request->host = evhttp_request_get_host(req);
	if (!request->host)
		request->host = "";
	if (has_two_lengths(in)) {
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Connection", "close");
		return "expected one Content-Length\n";
	}
	if (!request->method || !request->target)
		return "the request line is not understood\n";
	if (timeout && parse_timeout(timeout, &request->timeout_ms) < 0)
		return HEADER_TIMEOUT ": expected a whole number of "
				      "milliseconds from 1 to 86400000\n";
	request->idempotency_key = evhttp_find_header(in, "Idempotency-Key");
	if (request->idempotency_key &&
	    (!*request->idempotency_key ||
	     strlen(request->idempotency_key) > MAX_IDEMPOTENCY_KEY_BYTES))
		return "Idempotency-Key: expected 1 to 255 bytes\n";
	n = collect_headers(caller->http, in);
	*status = 431;
	if (n < 0)
		return "expected at most 128 headers and 16384 bytes\n";
	request->headers = caller->http->header_list;
	request->n_headers = (size_t)n;
	return NULL;
}

static void on_request(struct evhttp_request *req, void *ctx)
{
	struct srv_http *http = ctx;
	struct evhttp_connection *evcon = evhttp_request_get_connection(req);
	struct caller *caller = g_hash_table_lookup(http->by_evcon, evcon);
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	struct ent_event ev = { .kind = ENT_EV_REQUEST };
	struct ent_request *request = &ev.request;
	const char *refusal;
	unsigned status;

	set_busy(caller, req);
	refusal = read_request(caller, request, &status);
	if (refusal) {
		refuse(caller, status, refusal);
		return;
	}
	request->body_len = evbuffer_get_length(body);
	if (request->body_len > http->srv->settings->max_body_bytes) {
		refuse(caller, 413, "the body is too large\n");
		return;
	}
	request->body = evbuffer_pullup(body, -1);
	if (srv_jobs_is_api_path(request->target))
		start_job_call(caller, request);
	else
		srv_dispatch(http->srv, &ev);
}

/*
 * Sends 408 on the socket itself, without evhttp, and closes: nothing else is
 * being written while a request is received.
 */
static void close_slow_sender(struct caller *caller)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(caller->evcon);

	send(bufferevent_getfd(bev), request_timeout_answer,
	     sizeof(request_timeout_answer) - 1, MSG_DONTWAIT | MSG_NOSIGNAL);
	obs_count(caller->http->srv->metrics, "radishpier_slow_senders_total",
		  NULL, 1);
	evhttp_connection_free(caller->evcon);
}

void srv_http_tick(struct srv_http *http, gint64 now_ms)
{
	gint64 limit_ms = http->srv->settings->caller_idle_timeout_ms;
	GList *l, *next;

	if (now_ms < http->next_scan_ms)
		return;
	http->next_scan_ms = now_ms + SCAN_INTERVAL_MS;
	for (l = http->callers.head; l; l = next) {
		struct caller *caller = l->data;

		next = l->next;
		if (caller->receiving_since_ms &&
		    now_ms - caller->receiving_since_ms >= limit_ms)
			close_slow_sender(caller);
	}
}

static void init_headers(struct srv_http *http)
{
	int i;

	for (i = 0; i < MAX_HEADERS; i++) {
		rp__header__init(&http->headers[i]);
		http->header_list[i] = &http->headers[i];
	}
}

struct srv_http *srv_http_new(struct srv *srv, GError **error)
{
	struct srv_http *http = g_new0(struct srv_http, 1);
	/* Above that of srv_http_tick(), so that a slow sender gets 408. */
	gint64 timeout_ms = srv->settings->caller_idle_timeout_ms + 1000;
	struct timeval timeout = { timeout_ms / 1000,
				   timeout_ms % 1000 * 1000 };

	http->srv = srv;
	http->accepted = g_ptr_array_new();
	http->accepted_event = event_new(srv->base, -1, 0, on_accepted, http);
	http->by_evcon = g_hash_table_new(NULL, NULL);
	http->by_handle = g_hash_table_new(g_int64_hash, g_int64_equal);
	http->id_prefix = ((guint64)g_rand_int(srv->random) << 32) |
			  g_rand_int(srv->random);
	init_headers(http);
	http->evhttp = evhttp_new(srv->base);
	evhttp_set_allowed_methods(
		http->evhttp, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
				      EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
				      EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
				      EVHTTP_REQ_PATCH);
	evhttp_set_max_headers_size(http->evhttp, MAX_HEADER_BYTES);
	evhttp_set_max_body_size(http->evhttp,
				 srv->settings->max_body_bytes +
					 EVHTTP_BODY_MARGIN_BYTES);
	evhttp_set_flags(http->evhttp, EVHTTP_SERVER_LINGERING_CLOSE);
	evhttp_set_timeout_tv(http->evhttp, &timeout);
	evhttp_set_bevcb(http->evhttp, on_new_bufferevent, http);
	evhttp_set_gencb(http->evhttp, on_request, http);
	http->listener = srv_listen(srv, "caller_address",
				    srv->settings->caller_address, NULL, NULL,
				    error);
	if (!http->listener) {
		srv_http_free(http);
		return NULL;
	}
	http->bound = evhttp_bind_listener(http->evhttp, http->listener);
	return http;
}

void srv_http_free(struct srv_http *http)
{
	evhttp_free(http->evhttp);
	event_free(http->accepted_event);
	g_ptr_array_unref(http->accepted);
	g_hash_table_unref(http->by_evcon);
	g_hash_table_unref(http->by_handle);
	g_free(http);
}

void srv_http_stop_accepting(struct srv_http *http)
{
	if (http->bound)
		evhttp_del_accept_socket(http->evhttp, http->bound);
	http->bound = NULL;
}

unsigned srv_http_open(const struct srv_http *http)
{
	return g_hash_table_size(http->by_handle) + http->writing;
}

unsigned srv_http_connections(const struct srv_http *http)
{
	return http->callers.length;
}
