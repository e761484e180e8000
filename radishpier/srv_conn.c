#include "srv_conn.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/** Above this much unsent output, reading pauses. */
#define OUTPUT_PAUSE_BYTES (4 * 1024 * 1024)
/** At this much unsent output, reading resumes. */
#define OUTPUT_RESUME_BYTES (1024 * 1024)
/** Above this much unsent output, the connection is closed. */
#define OUTPUT_MAX_BYTES (16 * 1024 * 1024)

/** Time in which Hello or PeerHello must arrive. */
#define HELLO_TIMEOUT_MS 5000

/** Longest time that unsent output is still written after ENT_FX_CLOSE. */
#define CLOSE_FLUSH_TIMEOUT_MS 1000

/** TCP_USER_TIMEOUT: sent data must be acknowledged within this time. */
#define TCP_ACK_TIMEOUT_MS 10000

/* Frames are refused if a shard number is WIRE_SHARDS or more. */
G_STATIC_ASSERT(JOB_SHARDS == WIRE_SHARDS);

static void on_read(struct bufferevent *bev, void *ctx);
static void on_write(struct bufferevent *bev, void *ctx);
static void on_event(struct bufferevent *bev, short what, void *ctx);

static void set_socket_options(evutil_socket_t fd)
{
	static const struct {
		int level;
		int option;
		int value;
	} options[] = {
		{ IPPROTO_TCP, TCP_NODELAY, 1 },
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		/* A dead idle connection ends after 4 + 3 * 2 s. */
		{ IPPROTO_TCP, TCP_KEEPIDLE, 4 },
		{ IPPROTO_TCP, TCP_KEEPINTVL, 2 },
		{ IPPROTO_TCP, TCP_KEEPCNT, 3 },
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, TCP_ACK_TIMEOUT_MS },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(options); i++)
		setsockopt(fd, options[i].level, options[i].option,
			   &options[i].value, sizeof(options[i].value));
}

struct conn *conn_new(struct srv_conns *conns, evutil_socket_t fd,
		      const char *address)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->conns = conns;
	conn->number = ++conns->last_number;
	conn->address = g_strdup(address);
	conn->opened_ms = net_now_ms();
	conn->bev = bufferevent_socket_new(conns->srv->base, fd,
					   BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(conn->bev, on_read, on_write, on_event, conn);
	bufferevent_setwatermark(conn->bev, EV_READ, 0,
				 WIRE_HEADER_BYTES + WIRE_MAX_FRAME_BYTES);
	bufferevent_setwatermark(conn->bev, EV_WRITE, OUTPUT_RESUME_BYTES, 0);
	g_hash_table_insert(conns->by_number, &conn->number, conn);
	return conn;
}

void conn_ready(struct conn *conn)
{
	set_socket_options(bufferevent_getfd(conn->bev));
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
}

/*
 * Removes the connection from the table and the counts and reports its end. The
 * struct is freed at a later tick, since callbacks on the stack may still use
 * it.
 */
static void retire(struct conn *conn)
{
	struct srv_conns *conns = conn->conns;
	struct ent_event ev = { .kind = ENT_EV_CLOSED };

	if (conn->retired)
		return;
	conn->retired = TRUE;
	g_hash_table_remove(conns->by_number, &conn->number);
	g_queue_push_tail(&conns->retired, conn);
	if (conn->kind == CONN_AGENT)
		conns->agents--;
	if (conn->kind == CONN_PEER)
		conns->peers--;
	dialler_closed(conn);
	if (!conn->known_to_reducer)
		return;
	ev.conn.conn = conn->number;
	srv_dispatch(conns->srv, &ev);
	srv_jobs_conn_closed(conns->srv->jobs, conn->number);
}

static void close_now(struct conn *conn)
{
	if (conn->bev)
		bufferevent_free(conn->bev);
	conn->bev = NULL;
	retire(conn);
}

static void log_close(const struct conn *conn, GLogLevelFlags level,
		      const char *why)
{
	srv_log(level, "connection %" G_GUINT64_FORMAT " %s %s closed: %s",
		conn->number, conn->dialled ? "to" : "from", conn->address,
		why);
}

void conn_close(struct conn *conn, const char *why)
{
	/* Failed dials recur while a peer is down, so they are logged for
	 * debugging only. */
	log_close(conn,
		  conn->dialled && !conn->known_to_reducer ? G_LOG_LEVEL_DEBUG
							   : G_LOG_LEVEL_INFO,
		  why);
	close_now(conn);
}

/* Closes a connection that violates the protocol, and counts it. */
static void reject(struct conn *conn, const char *metric, const char *why)
{
	obs_count(conn->conns->srv->metrics, metric, NULL, 1);
	log_close(conn, G_LOG_LEVEL_WARNING, why);
	close_now(conn);
}

/* Sets kind and id; returns -1 if the frame cannot be the first. */
static int identify_sender(struct conn *conn, const Rp__Frame *frame)
{
	struct srv_conns *conns = conn->conns;

	if (frame->body_case == RP__FRAME__BODY_PEER_HELLO) {
		conn->kind = CONN_PEER;
		conn->id = g_strdup(frame->peer_hello->entry_id);
		conns->peers++;
		return 0;
	}
	if (frame->body_case != RP__FRAME__BODY_HELLO || conn->dialled)
		return -1;
	conn->kind = CONN_AGENT;
	conn->id = g_strdup(frame->hello->vm);
	conns->agents++;
	return 0;
}

/* Takes over the frame; the reducer sets ev.frame.frame to NULL to keep it. */
static void dispatch_frame(struct conn *conn, Rp__Frame *frame)
{
	struct srv *srv = conn->conns->srv;
	struct ent_event ev = { .kind = ENT_EV_FRAME };

	conn->known_to_reducer = TRUE;
	ev.frame.conn = conn->number;
	ev.frame.frame = frame;
	srv_dispatch(srv, &ev);
	wire_frame_free((Rp__Frame *)ev.frame.frame);
}

static void on_frame(struct conn *conn, Rp__Frame *frame)
{
	struct srv_jobs *jobs = conn->conns->srv->jobs;

	if (conn->kind == CONN_NEW) {
		if (identify_sender(conn, frame) < 0) {
			g_autofree char *why = g_strdup_printf(
				"first frame is %s, expected %s",
				wire_frame_name(frame),
				conn->dialled ? "PeerHello"
					      : "Hello or PeerHello");

			wire_frame_free(frame);
			reject(conn, "radishpier_protocol_errors_total", why);
			return;
		}
		dispatch_frame(conn, frame);
		if (conn->kind == CONN_PEER && !conn->retired)
			peer_close_duplicate(conn);
		return;
	}
	if (conn->kind == CONN_PEER &&
	    frame->body_case == RP__FRAME__BODY_PEER_CALL) {
		srv_jobs_peer_call(jobs, conn->number, frame->peer_call);
		wire_frame_free(frame);
	} else if (conn->kind == CONN_PEER &&
		   frame->body_case == RP__FRAME__BODY_PEER_REPLY) {
		srv_jobs_peer_reply(jobs, conn->number, frame->peer_reply);
		wire_frame_free(frame);
	} else {
		dispatch_frame(conn, frame);
	}
}

/*
 * Drops a frame with an unknown body, which comes from a later version. This is
 * logged once per connection, since many such frames may follow.
 */
static void ignore_unknown_frame(struct conn *conn, Rp__Frame *frame)
{
	obs_count(conn->conns->srv->metrics, "radishpier_unknown_frames_total",
		  NULL, 1);
	if (!conn->unknown_logged)
		srv_log(G_LOG_LEVEL_WARNING,
			"connection %" G_GUINT64_FORMAT
			" %s %s: a message of kind %u is not known to this "
			"version and is ignored",
			conn->number, conn->dialled ? "to" : "from",
			conn->address, wire_unknown_body(frame));
	conn->unknown_logged = TRUE;
	wire_frame_free(frame);
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	struct conn *conn = ctx;
	struct evbuffer *in = bufferevent_get_input(bev);
	Rp__Frame *frame = NULL;
	g_autoptr(GError) error = NULL;
	int got = 1;

	while (!conn->retired && got > 0) {
		size_t before = evbuffer_get_length(in);

		got = wire_read(in, &frame, &error);
		conn->conns->wire_in_bytes += before - evbuffer_get_length(in);
		if (got > 0 && wire_unknown_body(frame))
			ignore_unknown_frame(conn, frame);
		else if (got > 0)
			on_frame(conn, frame);
	}
	if (!conn->retired && got < 0)
		reject(conn, "radishpier_bad_frames_total", error->message);
}

static void on_write(struct bufferevent *bev, void *ctx)
{
	struct conn *conn = ctx;

	if (conn->closing) {
		if (!evbuffer_get_length(bufferevent_get_output(bev)))
			close_now(conn);
		return;
	}
	if (conn->read_paused) {
		conn->read_paused = FALSE;
		bufferevent_enable(bev, EV_READ);
	}
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	struct conn *conn = ctx;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		dialler_connected(conn);
		return;
	}
	if (conn->closing)
		close_now(conn);
	else if (what & BEV_EVENT_EOF)
		conn_close(conn, "end of stream");
	else
		conn_close(conn, evutil_socket_error_to_string(
					 EVUTIL_SOCKET_ERROR()));
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *sa, int sa_len, void *ctx)
{
	struct srv_conns *conns = ctx;
	char host[INET6_ADDRSTRLEN] = "?";
	g_autofree char *address = NULL;
	int port = 0;

	(void)listener;
	(void)sa_len;
	if (sa->sa_family == AF_INET) {
		const struct sockaddr_in *in = (const void *)sa;

		evutil_inet_ntop(AF_INET, &in->sin_addr, host, sizeof(host));
		port = ntohs(in->sin_port);
	} else if (sa->sa_family == AF_INET6) {
		const struct sockaddr_in6 *in6 = (const void *)sa;

		evutil_inet_ntop(AF_INET6, &in6->sin6_addr, host, sizeof(host));
		port = ntohs(in6->sin6_port);
	}
	address = g_strdup_printf("%s:%d", host, port);
	conn_ready(conn_new(conns, fd, address));
}

int srv_conns_send(struct srv_conns *conns, guint64 number,
		   const struct Rp__Frame *frame)
{
	struct conn *conn = g_hash_table_lookup(conns->by_number, &number);
	g_autoptr(GError) error = NULL;
	struct evbuffer *out;
	size_t before;
	size_t unsent;

	if (!conn)
		return -1;
	out = bufferevent_get_output(conn->bev);
	before = evbuffer_get_length(out);
	if (wire_write(out, frame, &error) < 0) {
		srv_log(G_LOG_LEVEL_CRITICAL, "%s to %s was not sent: %s",
			wire_frame_name(frame), conn->address, error->message);
		return -1;
	}
	unsent = evbuffer_get_length(out);
	conns->wire_out_bytes += unsent - before;
	if (unsent > OUTPUT_MAX_BYTES) {
		conn_close(conn, "too much unsent output");
	} else if (unsent > OUTPUT_PAUSE_BYTES && !conn->read_paused) {
		conn->read_paused = TRUE;
		bufferevent_disable(conn->bev, EV_READ);
	}
	return 0;
}

void srv_conns_close(struct srv_conns *conns, guint64 number)
{
	struct conn *conn = g_hash_table_lookup(conns->by_number, &number);

	if (!conn)
		return;
	if (!evbuffer_get_length(bufferevent_get_output(conn->bev))) {
		/* Not logged here: the reducer has logged the reason. */
		close_now(conn);
		return;
	}
	conn->closing = TRUE;
	conn->close_by_ms = net_now_ms() + CLOSE_FLUSH_TIMEOUT_MS;
	bufferevent_disable(conn->bev, EV_READ);
	bufferevent_setwatermark(conn->bev, EV_WRITE, 0, 0);
	retire(conn);
}

static void conn_free(struct conn *conn)
{
	if (conn->bev)
		bufferevent_free(conn->bev);
	g_free(conn->address);
	g_free(conn->id);
	g_free(conn);
}

static void free_retired(struct srv_conns *conns, gint64 now_ms)
{
	GList *l, *next;

	for (l = conns->retired.head; l; l = next) {
		struct conn *conn = l->data;

		next = l->next;
		if (conn->bev && now_ms < conn->close_by_ms)
			continue;
		g_queue_delete_link(&conns->retired, l);
		conn_free(conn);
	}
}

static void close_without_hello(struct srv_conns *conns, gint64 now_ms)
{
	GHashTableIter iter;
	void *value;
	GPtrArray *overdue = NULL;
	guint i;

	g_hash_table_iter_init(&iter, conns->by_number);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct conn *conn = value;

		if (conn->kind != CONN_NEW ||
		    now_ms - conn->opened_ms < HELLO_TIMEOUT_MS)
			continue;
		if (!overdue)
			overdue = g_ptr_array_new();
		g_ptr_array_add(overdue, conn);
	}
	for (i = 0; overdue && i < overdue->len; i++)
		conn_close(g_ptr_array_index(overdue, i),
			   "no Hello or PeerHello in time");
	if (overdue)
		g_ptr_array_unref(overdue);
}

void srv_conns_tick(struct srv_conns *conns, gint64 now_ms)
{
	free_retired(conns, now_ms);
	if (now_ms >= conns->next_scan_ms) {
		conns->next_scan_ms = now_ms + 500;
		close_without_hello(conns, now_ms);
	}
	diallers_tick(conns, now_ms);
}

struct srv_conns *srv_conns_new(struct srv *srv, GError **error)
{
	struct srv_conns *conns = g_new0(struct srv_conns, 1);

	conns->srv = srv;
	conns->by_number = g_hash_table_new(g_int64_hash, g_int64_equal);
	diallers_init(conns);
	conns->listener = srv_listen(srv, "agent_address",
				     srv->settings->agent_address, on_accept,
				     conns, error);
	if (!conns->listener) {
		srv_conns_free(conns);
		return NULL;
	}
	return conns;
}

void srv_conns_free(struct srv_conns *conns)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, conns->by_number);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		conn_free(value);
	g_hash_table_unref(conns->by_number);
	while (conns->retired.head)
		conn_free(g_queue_pop_head(&conns->retired));
	diallers_free(conns);
	if (conns->listener)
		evconnlistener_free(conns->listener);
	g_free(conns);
}

void srv_conns_stop_accepting(struct srv_conns *conns)
{
	if (conns->listener)
		evconnlistener_free(conns->listener);
	conns->listener = NULL;
}

size_t srv_conns_unsent(const struct srv_conns *conns)
{
	GHashTableIter iter;
	void *value;
	size_t bytes = 0;

	g_hash_table_iter_init(&iter, conns->by_number);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct conn *conn = value;

		bytes += evbuffer_get_length(bufferevent_get_output(conn->bev));
	}
	return bytes;
}

void srv_conns_wire_bytes(const struct srv_conns *conns, guint64 *in,
			  guint64 *out)
{
	*in = conns->wire_in_bytes;
	*out = conns->wire_out_bytes;
}

void srv_conns_count(const struct srv_conns *conns, unsigned *agents,
		     unsigned *peers)
{
	*agents = conns->agents;
	*peers = conns->peers;
}
