#include "srv.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "../net/clients.h"
#include "../net/net.h"

/** Limit of the total length of a request's header names and values. */
#define MAX_HEADER_BYTES (16 * 1024)
#define MAX_HEADERS 128
/** Limit of the time until a header section is complete; callers that keep to
 * their limits take up to 3 s. */
#define HEADER_TIMEOUT_MS 5000
#define MAX_TIMEOUT_MS (24 * 3600 * 1000)
#define MAX_IDEMPOTENCY_KEY_BYTES 255

/** Up to this size a copy of a body is cheaper than a reference to it. */
#define COPY_BODY_MAX_BYTES 2048

#define REQUEST_ID_CHARS 24

#define HEADER_REQUEST_ID "Radishpier-Request-Id"
#define HEADER_OUTCOME "Radishpier-Outcome"
#define HEADER_TIMEOUT "Radishpier-Timeout-Ms"

/** A connection of a caller; evhttp handles one request at a time on it. */
struct caller {
	struct srv_http *http;
	struct net_client *client;
	struct evhttp_connection *evcon;
	/** Fires if the caller disconnects while a request is in flight. */
	struct event *close_event;
	/** The request in flight, or NULL. */
	struct evhttp_request *req;
	/** Handle of the request in flight. */
	guint64 handle;
	/** An answer is being written. */
	gboolean writing;
	char request_id[REQUEST_ID_CHARS + 1];
};

struct srv_http {
	struct srv *srv;
	struct net_clients *clients;
	struct evconnlistener *listener;
	struct evhttp_bound_socket *bound;
	/** Handle -> struct caller. */
	GHashTable *by_handle;
	/** Callers to whom an answer is being written. */
	unsigned writing;
	/** Random per process; request ids are the prefix and a counter. */
	guint64 id_prefix;
	guint64 id_count;
	/** Storage of the headers of the request that is being dispatched. */
	Rp__Header headers[MAX_HEADERS];
	const Rp__Header *header_list[MAX_HEADERS];
};

static void set_busy(struct caller *caller, struct evhttp_request *req)
{
	struct srv_http *http = caller->http;

	caller->req = req;
	caller->handle = ++http->srv->last_handle;
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

/* Called before the connection is freed. */
static void on_connection_closed(void *ctx)
{
	struct caller *caller = ctx;
	struct srv_http *http = caller->http;
	struct ent_event ev = { .kind = ENT_EV_CALLER_DISCONNECTED };
	gboolean was_busy = caller->req != NULL;

	ev.disconnected.handle = caller->handle;
	set_idle(caller);
	if (caller->writing)
		http->writing--;
	event_free(caller->close_event);
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

static void on_open(struct net_client *client, void *ctx)
{
	struct srv_http *http = ctx;
	struct caller *caller = g_new0(struct caller, 1);
	evutil_socket_t fd;
	int on = 1;

	caller->http = http;
	caller->client = client;
	caller->evcon = net_client_connection(client);
	fd = bufferevent_getfd(
		evhttp_connection_get_bufferevent(caller->evcon));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	caller->close_event = event_new(http->srv->base, fd, EV_CLOSED,
					on_caller_closed, caller);
	net_client_set_user(client, caller);
	net_client_on_close(client, on_connection_closed, caller);
}

static void on_written(struct evhttp_request *req, void *ctx)
{
	struct caller *caller = ctx;

	(void)req;
	if (!caller->writing)
		return;
	caller->writing = FALSE;
	caller->http->writing--;
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
	struct caller *caller =
		net_client_user(net_clients_find(http->clients, req));
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

void srv_http_tick(struct srv_http *http, gint64 now_ms)
{
	net_clients_tick(http->clients, now_ms);
}

static gboolean has_no_route(const struct net_head *head, void *ctx)
{
	const struct srv_http *http = ctx;
	const struct cfg_tables *tables = ent_tables(http->srv->ent);
	g_autofree char *path = NULL;

	if (!tables || srv_jobs_is_api_path(head->target))
		return FALSE;
	path = g_strndup(head->target, strcspn(head->target, "?"));
	return !cfg_route_match(tables, head->method, head->host, path);
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
	gint64 timeout_ms = srv->settings->caller_idle_timeout_ms;
	const struct net_clients_options options = {
		.base = srv->base,
		.account = srv->account,
		.metrics = srv->metrics,
		.name = "callers",
		.methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
			   EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
			   EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH,
		.max_header_bytes = MAX_HEADER_BYTES,
		.max_body_bytes = srv->settings->max_body_bytes,
		.header_timeout_ms = MIN(HEADER_TIMEOUT_MS, timeout_ms),
		.request_timeout_ms = timeout_ms,
		/* Above the other, so that a slow sender gets 408. */
		.idle_timeout_ms = timeout_ms + 1000,
		.refusal_headers = HEADER_OUTCOME ": not-run\r\n",
		.on_request = on_request,
		.on_open = on_open,
		.has_no_route = has_no_route,
		.ctx = http,
	};

	http->srv = srv;
	http->by_handle = g_hash_table_new(g_int64_hash, g_int64_equal);
	http->id_prefix = ((guint64)g_rand_int(srv->random) << 32) |
			  g_rand_int(srv->random);
	init_headers(http);
	http->clients = net_clients_new(&options);
	http->listener = srv_listen(srv, "caller_address",
				    srv->settings->caller_address, NULL, NULL,
				    error);
	if (!http->listener) {
		srv_http_free(http);
		return NULL;
	}
	http->bound = evhttp_bind_listener(net_clients_http(http->clients),
					   http->listener);
	return http;
}

void srv_http_free(struct srv_http *http)
{
	net_clients_free(http->clients);
	g_hash_table_unref(http->by_handle);
	g_free(http);
}

void srv_http_stop_accepting(struct srv_http *http)
{
	if (http->bound)
		evhttp_del_accept_socket(net_clients_http(http->clients),
					 http->bound);
	http->bound = NULL;
}

unsigned srv_http_open(const struct srv_http *http)
{
	return g_hash_table_size(http->by_handle) + http->writing;
}

unsigned srv_http_connections(const struct srv_http *http)
{
	return net_clients_count(http->clients);
}
