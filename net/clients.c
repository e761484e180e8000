#include "clients.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "linger.h"
#include "net.h"

/*
 * evhttp (libevent 2.1) handles one request of a connection at a time: it does
 * not read while a request is handled or its response is being written. But it
 * reads up to 16 KiB for each request, however short, and needs a whole body in
 * its input buffer. So the input buffer has a high watermark, which is low
 * unless a body needs more. libevent calls the read callback without pause
 * while the buffer is full and reading is enabled, so a full buffer has to be
 * dealt with at once.
 */

/** Watermark of the input buffer above the limit of the header section, so that
 * evhttp sees when a section exceeds its limit. */
#define PIPELINE_BYTES 8192

/** A change of what a connection holds that is told to the account. */
#define MIN_CHANGE_BYTES 1024

/** A response of which the client took nothing for this time is unread: the
 * connection may be closed if the account is exceeded. */
#define UNREAD_MS 1000

/** Log lines of a server about limits. */
#define LOG_LINES_PER_S 10

/** Part of a process's memory that clients may hold. */
#define MEMORY_DIVISOR 4
/** Memory of a process for which no limit is given. */
#define DEFAULT_MEMORY_BYTES (G_GUINT64_CONSTANT(1) << 30)
/** Descriptors reserved for agents, entries, the store and files: this part of
 * all, and at least the number. */
#define RESERVED_FDS_DIVISOR 4
#define MIN_RESERVED_FDS 24
/** Share of one address. Callers may all come through one gateway, so that only
 * a margin for other addresses is kept. */
#define ADDRESS_PERCENT 75

enum state {
	STATE_IDLE,
	/** A header section is being received. */
	STATE_HEADER,
	/** A body is being received, or the request was not passed on yet. */
	STATE_BODY,
	/** The request was passed on and has no response. */
	STATE_BUSY,
	STATE_RESPONDING,
};

struct net_client {
	struct net_holder holder;
	struct net_clients *clients;
	struct evhttp_connection *evcon;
	struct bufferevent *bev;
	struct evbuffer_cb_entry *input_cb;
	struct evbuffer_cb_entry *output_cb;
	/** In clients->open. */
	GList link;
	enum state state;
	/** Start of the request that is being received, or of the last progress
	 * of a response. */
	gint64 since_ms;
	/** Bytes of the current line of the header section without CR. */
	gsize line_len;
	/** Bytes in the input and output buffers, and those that evhttp holds
	 * of the current request. */
	gsize input_len;
	gsize output_len;
	gsize request_len;
	/** Bytes that the account knows. */
	gsize counted;
	/** The input buffer may hold a whole body. */
	gboolean raised;
	gsize watermark;
	/** The watermark is that of the bufferevent, which else has none. */
	gboolean applied;
	/** In clients->full. */
	gboolean full;
	/** To be closed by on_check(). */
	gboolean closing;
	/** To be refused with 404 then; its input is discarded. */
	gboolean no_route;
	/** To be refused with 413 then: a chunk's line without an end. */
	gboolean too_long;
	/** Status of a refusal by evhttp itself, or 0. */
	guint refusal;
	/** on_output() is changing the buffer. */
	gboolean replacing;
	void (*close_fn)(void *ctx);
	void *close_ctx;
	void *user;
};

struct net_clients {
	struct net_clients_options options;
	struct evhttp *http;
	/** Of struct bufferevent without a client yet. */
	GPtrArray *accepted;
	struct event *accepted_event;
	/** evhttp_connection to struct net_client. */
	GHashTable *by_evcon;
	/** Of struct net_client. */
	GQueue open;
	/** Of struct net_client with a full input buffer. */
	GPtrArray *full;
	/** Of struct net_client to be closed. */
	GPtrArray *closing;
	/** Runs on_check() outside of evhttp's callbacks. */
	struct event *check_event;
	struct net_linger linger;
	/** Start of the second in which log lines are counted, and their number
	 * in it. */
	gint64 log_second_ms;
	guint log_lines;
	/** Lines dropped since the last one. */
	guint log_dropped;
};

/* Counts a log line; returns FALSE if it is to be dropped. */
static gboolean may_log(struct net_clients *clients, gint64 now_ms)
{
	if (now_ms >= clients->log_second_ms + 1000) {
		clients->log_second_ms = now_ms;
		clients->log_lines = 0;
	}
	if (clients->log_lines++ < LOG_LINES_PER_S)
		return TRUE;
	clients->log_dropped++;
	return FALSE;
}

/* limit is the name of the limit that the client exceeded. */
static void log_limit(struct net_client *client, const char *limit)
{
	struct net_clients *clients = client->clients;
	const struct net_account *account = clients->options.account;
	g_autofree char *dropped = NULL;
	ev_uint16_t port;
	char *address;

	if (!may_log(clients, net_now_ms()))
		return;
	if (clients->log_dropped)
		dropped = g_strdup_printf("; %u such lines dropped",
					  clients->log_dropped);
	clients->log_dropped = 0;
	evhttp_connection_get_peer(client->evcon, &address, &port);
	g_info("%s: connection of %s port %u closed by limit %s: "
	       "%" G_GSIZE_FORMAT
	       " bytes; all clients: %u connections, %" G_GUINT64_FORMAT
	       " bytes%s",
	       clients->options.name, address, port, limit,
	       client->holder.bytes, net_account_holders(account),
	       net_account_bytes(account), dropped ? dropped : "");
}

static void report(struct net_client *client, const char *limit)
{
	const struct net_clients_options *options = &client->clients->options;
	g_autofree char *labels = NULL;

	log_limit(client, limit);
	if (!options->metrics)
		return;
	labels = g_strdup_printf("server=\"%s\",limit=\"%s\"", options->name,
				 limit);
	obs_count(options->metrics, "radishpier_clients_limited_total", labels,
		  1);
}

static void schedule_check(struct net_clients *clients)
{
	event_active(clients->check_event, 0, 0);
}

/* Counts what the connection holds now. Small changes are within the bytes that
 * the account counts for each holder. */
static void count_bytes(struct net_client *client)
{
	gsize bytes = client->input_len + client->output_len +
		      client->request_len;

	if (bytes < client->counted + MIN_CHANGE_BYTES &&
	    client->counted < bytes + MIN_CHANGE_BYTES)
		return;
	client->counted = bytes;
	net_account_set_bytes(&client->holder, bytes);
	if (net_account_needs_enforcement(&client->holder))
		schedule_check(client->clients);
}

static gsize pipeline_bytes(const struct net_clients *clients)
{
	return clients->options.max_header_bytes + PIPELINE_BYTES;
}

/*
 * Sets the bound of the input buffer. libevent is told only while it matters:
 * with a high watermark it adds the read event again at each change of the
 * buffer.
 */
static void set_watermark(struct net_client *client, gboolean raised)
{
	const struct net_clients *clients = client->clients;

	client->raised = raised;
	client->watermark = pipeline_bytes(clients);
	if (raised)
		client->watermark += clients->options.max_body_bytes;
	client->applied = raised || client->input_len >= client->watermark;
	bufferevent_setwatermark(client->bev, EV_READ, 0,
				 client->applied ? client->watermark : 0);
}

/* Looks for the end of the header section from an offset of the input. */
static void scan_header(struct net_client *client, struct evbuffer *input,
			gsize offset)
{
	struct evbuffer_iovec pieces[8];
	struct evbuffer_ptr from;
	int i, n;

	if (evbuffer_ptr_set(input, &from, offset, EVBUFFER_PTR_SET) < 0)
		return;
	n = evbuffer_peek(input, -1, &from, pieces, G_N_ELEMENTS(pieces));
	for (i = 0; i < MIN(n, (int)G_N_ELEMENTS(pieces)); i++) {
		const char *p = pieces[i].iov_base;
		const char *end = p + pieces[i].iov_len;

		while (p < end) {
			const char *newline = memchr(p, '\n', (gsize)(end - p));
			const char *stop = newline ? newline : end;

			client->line_len += (gsize)(stop - p);
			if (stop > p && stop[-1] == '\r')
				client->line_len--;
			if (!newline)
				break;
			if (!client->line_len) {
				client->state = STATE_BODY;
				return;
			}
			client->line_len = 0;
			p = newline + 1;
		}
	}
}

/* Has the connection closed by on_check(), outside of evhttp's callbacks. */
static void close_later(struct net_client *client)
{
	if (client->closing)
		return;
	client->closing = TRUE;
	g_ptr_array_add(client->clients->closing, client);
	schedule_check(client->clients);
}

/*
 * Looks at a header section that is in the input as a whole. If the request has
 * no route, what was received is discarded, so that evhttp does not see it, and
 * on_check() refuses the request.
 */
static void examine_head(struct net_client *client, struct evbuffer *input)
{
	const struct net_clients_options *options = &client->clients->options;
	struct evbuffer_ptr end;
	struct net_head head;

	/* Without a body, or with all of it, evhttp is as early. */
	if (!options->has_no_route || client->request_len)
		return;
	end = evbuffer_search(input, "\r\n\r\n", 4, NULL);
	if (end.pos < 0 ||
	    !net_head_parse(&head,
			    (const char *)evbuffer_pullup(input, end.pos),
			    (gsize)end.pos))
		return;
	if (head.body_len > NET_EARLY_BODY_BYTES &&
	    head.body_len <= options->max_body_bytes &&
	    options->has_no_route(&head, options->ctx)) {
		client->no_route = TRUE;
		evbuffer_drain(input, evbuffer_get_length(input));
		close_later(client);
	}
	net_head_clear(&head);
}

static void start_receiving(struct net_client *client, struct evbuffer *input,
			    gsize offset)
{
	client->state = STATE_HEADER;
	client->since_ms = net_now_ms();
	client->line_len = 0;
	scan_header(client, input, offset);
	if (client->state == STATE_BODY)
		examine_head(client, input);
}

static void on_input(struct evbuffer *input,
		     const struct evbuffer_cb_info *info, void *ctx)
{
	struct net_client *client = ctx;
	struct net_clients *clients = client->clients;
	gsize len;

	client->input_len += info->n_added;
	client->input_len -= info->n_deleted;
	len = client->input_len;
	if (client->no_route) {
		if (info->n_added)
			evbuffer_drain(input, len);
		return;
	}
	if (info->n_added && client->state == STATE_IDLE)
		start_receiving(client, input, len - info->n_added);
	else if (info->n_added && client->state == STATE_HEADER)
		scan_header(client, input, len - info->n_added);
	/* What evhttp takes is held by its request, so the sum is the same. */
	if (client->state == STATE_HEADER || client->state == STATE_BODY)
		client->request_len += info->n_deleted;
	if (info->n_added)
		count_bytes(client);
	if (client->applied != (client->raised || len >= client->watermark))
		set_watermark(client, client->raised);
	if (len >= client->watermark && !client->full) {
		client->full = TRUE;
		g_ptr_array_add(clients->full, client);
		schedule_check(clients);
	}
}

/* Returns the status in the status line at the start of the buffer, or 0. */
static guint response_status(struct evbuffer *buffer)
{
	char line[sizeof("HTTP/1.1 400")] = "";
	ev_ssize_t n = evbuffer_copyout(buffer, line, sizeof(line) - 1);
	const char *space = n > 0 ? strchr(line, ' ') : NULL;

	return space ? (guint)g_ascii_strtoull(space, NULL, 10) : 0;
}

/*
 * evhttp itself answers a request that it cannot parse or whose body is too
 * large, with an HTML page that it adds to the output in pieces. Each piece is
 * replaced; such a request was not passed on.
 */
static void replace_refusal(struct net_client *client, struct evbuffer *output)
{
	const struct net_clients_options *options = &client->clients->options;
	const char *text;

	text = client->refusal == 413	? "the body is too large\n"
	       : client->refusal == 501 ? "the method is not supported\n"
					: "the request is malformed\n";
	client->replacing = TRUE;
	evbuffer_drain(output, evbuffer_get_length(output));
	evbuffer_add_printf(output,
			    "HTTP/1.1 %u Refused\r\n%s"
			    "Content-Type: text/plain\r\n"
			    "Connection: close\r\n"
			    "Content-Length: %zu\r\n\r\n%s",
			    client->refusal, options->refusal_headers,
			    strlen(text), text);
	client->replacing = FALSE;
}

/* Output of evhttp while no request is passed on. */
static void on_own_output(struct net_client *client, struct evbuffer *output)
{
	gboolean first = !client->refusal;

	if (first)
		client->refusal = response_status(output);
	/* "100 Continue" is sent as it is. */
	if (client->refusal < 400) {
		client->refusal = 0;
		return;
	}
	replace_refusal(client, output);
	if (first && client->refusal == 413)
		report(client, "body");
}

static void end_response(struct net_client *client)
{
	client->state = STATE_IDLE;
	client->request_len = 0;
	net_account_set_closable(&client->holder, TRUE);
	/* A client that pipelines its requests is not better than idle ones. */
	if (client->input_len)
		start_receiving(client, bufferevent_get_input(client->bev), 0);
	else
		net_account_served(&client->holder, client->since_ms);
	if (net_account_is_condemned(&client->holder))
		close_later(client);
}

static void on_output(struct evbuffer *output,
		      const struct evbuffer_cb_info *info, void *ctx)
{
	struct net_client *client = ctx;

	client->output_len += info->n_added;
	client->output_len -= info->n_deleted;
	if (client->replacing)
		return;
	if (info->n_added && client->state == STATE_BUSY) {
		client->state = STATE_RESPONDING;
		client->since_ms = net_now_ms();
	} else if (info->n_added && client->state != STATE_RESPONDING) {
		on_own_output(client, output);
	}
	if (info->n_deleted && client->state == STATE_RESPONDING) {
		if (!client->output_len) {
			end_response(client);
		} else {
			client->since_ms = net_now_ms();
			net_account_set_closable(&client->holder, FALSE);
		}
	}
	count_bytes(client);
}

/* evhttp calls this before it frees the connection. */
static void on_connection_closed(struct evhttp_connection *evcon, void *ctx)
{
	struct net_client *client = ctx;
	struct net_clients *clients = client->clients;
	ev_uint16_t peer_port;
	char *address;

	if (client->full)
		g_ptr_array_remove_fast(clients->full, client);
	if (client->closing)
		g_ptr_array_remove_fast(clients->closing, client);
	evbuffer_remove_cb_entry(bufferevent_get_input(client->bev),
				 client->input_cb);
	evbuffer_remove_cb_entry(bufferevent_get_output(client->bev),
				 client->output_cb);
	g_hash_table_remove(clients->by_evcon, evcon);
	g_queue_unlink(&clients->open, &client->link);
	net_account_remove(&client->holder);
	if (client->refusal || client->no_route) {
		evhttp_connection_get_peer(evcon, &address, &peer_port);
		net_linger_add(&clients->linger, bufferevent_getfd(client->bev),
			       address, net_now_ms());
	}
	if (client->close_fn)
		client->close_fn(client->close_ctx);
	g_free(client);
}

/*
 * Sends a response on the socket itself, without evhttp, and closes: nothing
 * else is being written while a request is received.
 */
static void refuse_and_close(struct net_client *client, const char *status_line)
{
	g_autofree char *text = g_strdup_printf(
		"HTTP/1.1 %s\r\n%sConnection: close\r\nContent-Length: 0\r\n"
		"\r\n",
		status_line, client->clients->options.refusal_headers);

	/* Unless evhttp has refused the request already. */
	if (!client->refusal)
		send(bufferevent_getfd(client->bev), text, strlen(text),
		     MSG_DONTWAIT | MSG_NOSIGNAL);
	evhttp_connection_free(client->evcon);
}

static void close_client(struct net_holder *holder, enum net_excess excess)
{
	struct net_client *client = (struct net_client *)holder;

	report(client, net_excess_name(excess));
	if (client->state == STATE_HEADER || client->state == STATE_BODY)
		refuse_and_close(client, "503 Service Unavailable\r\n"
					 "Retry-After: 1");
	else
		evhttp_connection_free(client->evcon);
}

/* Closes the connections noted by close_later(). */
static void close_noted(struct net_clients *clients)
{
	while (clients->closing->len) {
		struct net_client *client = g_ptr_array_steal_index_fast(
			clients->closing, clients->closing->len - 1);

		client->closing = FALSE;
		/* It was passed a further request meanwhile. */
		if (client->state == STATE_BUSY)
			continue;
		if (client->no_route) {
			report(client, "no-route");
			refuse_and_close(client, "404 Not Found");
			continue;
		}
		if (client->too_long) {
			report(client, "body");
			refuse_and_close(client, "413 Content Too Large");
			continue;
		}
		report(client, net_excess_name(NET_EXCESS_HOLDERS));
		evhttp_connection_free(client->evcon);
	}
}

/* Runs after evhttp's callbacks, when connections may be freed. */
static void on_check(evutil_socket_t fd G_GNUC_UNUSED, short what G_GNUC_UNUSED,
		     void *ctx)
{
	struct net_clients *clients = ctx;
	guint i;

	for (i = 0; i < clients->full->len; i++) {
		struct net_client *client = g_ptr_array_index(clients->full, i);
		struct evbuffer *input = bufferevent_get_input(client->bev);

		client->full = FALSE;
		/* If evhttp has processed what is there and needs more. */
		if (evbuffer_get_length(input) < client->watermark ||
		    (client->state != STATE_HEADER &&
		     client->state != STATE_BODY))
			continue;
		if (!client->raised) {
			set_watermark(client, TRUE);
		} else {
			client->too_long = TRUE;
			close_later(client);
		}
	}
	g_ptr_array_set_size(clients->full, 0);
	close_noted(clients);
	net_account_enforce(clients->options.account);
}

static void on_request(struct evhttp_request *req, void *ctx)
{
	struct net_clients *clients = ctx;
	struct net_client *client = net_clients_find(clients, req);

	client->state = STATE_BUSY;
	net_account_set_closable(&client->holder, FALSE);
	if (client->raised)
		set_watermark(client, FALSE);
	count_bytes(client);
	clients->options.on_request(req, clients->options.ctx);
}

static void client_new(struct net_clients *clients,
		       struct evhttp_connection *evcon)
{
	struct net_client *client = g_new0(struct net_client, 1);
	struct evbuffer *input, *output;
	ev_uint16_t port;
	char *address;

	client->clients = clients;
	client->evcon = evcon;
	client->bev = evhttp_connection_get_bufferevent(evcon);
	client->link.data = client;
	client->holder.close = close_client;
	evhttp_connection_get_peer(evcon, &address, &port);
	net_account_add(clients->options.account, &client->holder, address,
			net_now_ms());
	input = bufferevent_get_input(client->bev);
	output = bufferevent_get_output(client->bev);
	client->input_cb = evbuffer_add_cb(input, on_input, client);
	client->output_cb = evbuffer_add_cb(output, on_output, client);
	client->watermark = pipeline_bytes(clients);
	evhttp_connection_set_closecb(evcon, on_connection_closed, client);
	g_hash_table_insert(clients->by_evcon, evcon, client);
	g_queue_push_tail_link(&clients->open, &client->link);
	if (clients->options.on_open)
		clients->options.on_open(client, clients->options.ctx);
	if (net_account_needs_enforcement(&client->holder))
		schedule_check(clients);
}

/*
 * Creates the clients of accepted connections, before anything is read from
 * them: an event that is made active runs before the loop polls again. evhttp
 * has no callback for a new connection, but sets the connection as the context
 * of its bufferevent callbacks.
 */
static void on_accepted(evutil_socket_t fd G_GNUC_UNUSED,
			short what G_GNUC_UNUSED, void *ctx)
{
	struct net_clients *clients = ctx;
	guint i;

	for (i = 0; i < clients->accepted->len; i++) {
		struct bufferevent *bev = g_ptr_array_index(clients->accepted,
							    i);
		void *evcon = NULL;

		bufferevent_getcb(bev, NULL, NULL, NULL, &evcon);
		g_assert(evcon &&
			 evhttp_connection_get_bufferevent(evcon) == bev);
		client_new(clients, evcon);
	}
	g_ptr_array_set_size(clients->accepted, 0);
}

/* Called by evhttp for each connection that it accepts. */
static struct bufferevent *on_new_bufferevent(struct event_base *base,
					      void *ctx)
{
	struct net_clients *clients = ctx;
	struct bufferevent *bev = bufferevent_socket_new(base, -1, 0);

	if (!bev)
		return NULL;
	g_ptr_array_add(clients->accepted, bev);
	event_active(clients->accepted_event, 0, 0);
	return bev;
}

void net_clients_tick(struct net_clients *clients, gint64 now_ms)
{
	const struct net_clients_options *options;
	GList *link, *next;

	if (!clients)
		return;
	options = &clients->options;
	for (link = clients->open.head; link; link = next) {
		struct net_client *client = link->data;
		gint64 age_ms = now_ms - client->since_ms;

		next = link->next;
		if (client->state == STATE_RESPONDING && age_ms >= UNREAD_MS) {
			net_account_set_closable(&client->holder, TRUE);
			if (net_account_is_condemned(&client->holder))
				close_later(client);
		}
		if ((client->state == STATE_HEADER &&
		     age_ms >= options->header_timeout_ms) ||
		    ((client->state == STATE_HEADER ||
		      client->state == STATE_BODY) &&
		     age_ms >= options->request_timeout_ms)) {
			report(client, "slow");
			refuse_and_close(client, "408 Request Timeout");
		}
	}
	schedule_check(clients);
}

struct net_clients *net_clients_new(const struct net_clients_options *options)
{
	struct net_clients *clients = g_new0(struct net_clients, 1);
	struct timeval timeout = { options->idle_timeout_ms / 1000,
				   options->idle_timeout_ms % 1000 * 1000 };

	clients->options = *options;
	clients->linger.base = options->base;
	clients->linger.account = options->account;
	clients->accepted = g_ptr_array_new();
	clients->full = g_ptr_array_new();
	clients->closing = g_ptr_array_new();
	clients->by_evcon = g_hash_table_new(NULL, NULL);
	clients->accepted_event = event_new(options->base, -1, 0, on_accepted,
					    clients);
	clients->check_event = event_new(options->base, -1, 0, on_check,
					 clients);
	clients->http = evhttp_new(options->base);
	evhttp_set_allowed_methods(clients->http, options->methods);
	evhttp_set_max_headers_size(clients->http,
				    (ev_ssize_t)options->max_header_bytes);
	evhttp_set_max_body_size(clients->http,
				 (ev_ssize_t)options->max_body_bytes);
	evhttp_set_timeout_tv(clients->http, &timeout);
	evhttp_set_bevcb(clients->http, on_new_bufferevent, clients);
	evhttp_set_gencb(clients->http, on_request, clients);
	return clients;
}

void net_clients_free(struct net_clients *clients)
{
	if (!clients)
		return;
	evhttp_free(clients->http);
	net_linger_clear(&clients->linger);
	event_free(clients->accepted_event);
	event_free(clients->check_event);
	g_ptr_array_unref(clients->accepted);
	g_ptr_array_unref(clients->full);
	g_ptr_array_unref(clients->closing);
	g_hash_table_unref(clients->by_evcon);
	g_free(clients);
}

struct evhttp *net_clients_http(struct net_clients *clients)
{
	return clients->http;
}

struct net_client *net_clients_find(struct net_clients *clients,
				    struct evhttp_request *req)
{
	return g_hash_table_lookup(clients->by_evcon,
				   evhttp_request_get_connection(req));
}

void net_client_on_close(struct net_client *client, void (*fn)(void *ctx),
			 void *ctx)
{
	client->close_fn = fn;
	client->close_ctx = ctx;
}

struct evhttp_connection *net_client_connection(struct net_client *client)
{
	return client->evcon;
}

void net_client_set_user(struct net_client *client, void *user)
{
	client->user = user;
}

void *net_client_user(const struct net_client *client)
{
	return client->user;
}

guint net_clients_count(const struct net_clients *clients)
{
	return clients->open.length;
}

struct net_account *net_process_account(const struct net_process_limits *limits)
{
	struct net_account_options options = {
		.address_percent = ADDRESS_PERCENT,
	};
	guint64 fds = limits->max_fds;
	struct rlimit rlimit;
	guint64 reserved;

	options.max_bytes = (limits->memory_bytes ? limits->memory_bytes
						  : DEFAULT_MEMORY_BYTES) /
			    MEMORY_DIVISOR;
	if (!getrlimit(RLIMIT_NOFILE, &rlimit) &&
	    (!fds || rlimit.rlim_cur < fds))
		fds = rlimit.rlim_cur;
	reserved = MAX(fds / RESERVED_FDS_DIVISOR, MIN_RESERVED_FDS);
	options.max_holders = (guint)CLAMP((gint64)(fds - reserved), 8,
					   G_MAXINT32);
	return net_account_new(&options);
}

void net_account_update_metrics(const struct net_account *account,
				struct obs_metrics *metrics)
{
	obs_gauge(metrics, "radishpier_client_bytes", NULL,
		  (double)net_account_bytes(account));
	obs_gauge(metrics, "radishpier_client_connections", NULL,
		  net_account_holders(account));
}
