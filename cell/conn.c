#include "internal.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <time.h>

/* Connections between processes: frames over TCP. */

/** Timeout for establishing an outgoing connection. */
#define CONNECT_TIMEOUT_MS 1000

/** Unsent bytes above which frames are dropped, since the peer does not read.
 */
#define MAX_UNSENT_BYTES (8 * 1024 * 1024)

/** Unsent bytes of all connections of the process above which frames are
 * dropped on connections with more than MIN_UNSENT_BYTES: a leader has one for
 * each agent, and 8 MiB for each would exceed its memory. */
#define MAX_TOTAL_UNSENT_BYTES (32 * 1024 * 1024)
#define MIN_UNSENT_BYTES (512 * 1024)

/** A peer that has not identified itself is disconnected with a longer frame;
 * the first frame has a few hundred bytes. */
#define MAX_UNIDENTIFIED_BYTES (64 * 1024)

G_DEFINE_QUARK(cell_error_quark, cell_error)

/** Of all connections of the process. */
static gsize total_unsent;
static guint64 frames_dropped;

struct cell_conn {
	struct bufferevent *bev;
	const struct cell_conn_handler *handler;
	void *ctx;
	gint64 last_received_ms;
	gboolean closed;
	/** Accepted, and the peer has not identified itself. */
	gboolean unidentified;
	/** The outgoing connection was refused: nothing listens there. */
	gboolean refused;
	/** Calls of the handler in progress; a closed connection is freed when
	 * the last of them returns. */
	guint handler_depth;
};

static void on_output(struct evbuffer *output G_GNUC_UNUSED,
		      const struct evbuffer_cb_info *info,
		      void *arg G_GNUC_UNUSED)
{
	total_unsent += info->n_added;
	total_unsent -= info->n_deleted;
}

static void destroy(struct cell_conn *conn)
{
	struct evbuffer *output = bufferevent_get_output(conn->bev);

	/* Freeing the buffer does not call on_output(). */
	evbuffer_remove_cb(output, on_output, conn);
	total_unsent -= evbuffer_get_length(output);
	bufferevent_free(conn->bev);
	g_free(conn);
}

void cell_conn_close(struct cell_conn *conn)
{
	if (conn->closed)
		return;
	conn->closed = TRUE;
	if (!conn->handler_depth)
		destroy(conn);
}

/* Closes the connection and reports that to the handler. */
static void fail(struct cell_conn *conn, const char *why)
{
	if (conn->closed)
		return;
	conn->closed = TRUE;
	conn->handler_depth++;
	conn->handler->on_close(conn->ctx, conn, why);
	conn->handler_depth--;
	if (!conn->handler_depth)
		destroy(conn);
}

/* Ends a call of the handler. */
static void leave_handler(struct cell_conn *conn)
{
	conn->handler_depth--;
	if (conn->closed && !conn->handler_depth)
		destroy(conn);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct cell_conn *conn = arg;
	struct evbuffer *input = bufferevent_get_input(bev);

	conn->last_received_ms = net_now_ms();
	conn->handler_depth++;
	while (!conn->closed) {
		g_autoptr(GError) error = NULL;
		struct Rp__Frame *frame = NULL;
		int got = wire_read(input, &frame, &error);

		if (!got)
			break;
		if (got < 0) {
			fail(conn, error->message);
			break;
		}
		if (!wire_unknown_body(frame))
			conn->handler->on_frame(conn->ctx, conn, frame);
		wire_frame_free(frame);
	}
	if (!conn->closed && conn->unidentified &&
	    evbuffer_get_length(input) > MAX_UNIDENTIFIED_BYTES) {
		g_warning("connection closed: the first frame is too long");
		fail(conn, "the first frame is too long");
	}
	leave_handler(conn);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct cell_conn *conn = arg;
	int one = 1;

	if (what & BEV_EVENT_CONNECTED) {
		setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY,
			   &one, sizeof(one));
		bufferevent_set_timeouts(bev, NULL, NULL);
		conn->last_received_ms = net_now_ms();
		conn->handler_depth++;
		conn->handler->on_connect(conn->ctx, conn);
		leave_handler(conn);
		return;
	}
	conn->refused = (what & BEV_EVENT_ERROR) &&
			EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
	fail(conn, what & BEV_EVENT_TIMEOUT ? "not connected in time"
					    : "connection lost");
}

static struct cell_conn *conn_new(struct bufferevent *bev,
				  const struct cell_conn_handler *handler,
				  void *ctx)
{
	struct cell_conn *conn = g_new0(struct cell_conn, 1);

	conn->bev = bev;
	conn->handler = handler;
	conn->ctx = ctx;
	conn->last_received_ms = net_now_ms();
	bufferevent_setcb(bev, on_read, NULL, on_event, conn);
	evbuffer_add_cb(bufferevent_get_output(bev), on_output, conn);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	return conn;
}

struct cell_conn *cell_conn_dial(struct event_base *base, const char *address,
				 const struct cell_conn_handler *handler,
				 void *ctx)
{
	static const struct timeval timeout = {
		.tv_sec = CONNECT_TIMEOUT_MS / 1000,
		.tv_usec = CONNECT_TIMEOUT_MS % 1000 * 1000,
	};
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	struct bufferevent *bev;
	struct cell_conn *conn;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
				       &len) < 0)
		return NULL;
	bev = bufferevent_socket_new(
		base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	if (!bev)
		return NULL;
	conn = conn_new(bev, handler, ctx);
	bufferevent_set_timeouts(bev, &timeout, &timeout);
	/* A failure to connect is reported later, by a deferred event. */
	if (bufferevent_socket_connect(bev, (struct sockaddr *)&addr, len) <
	    0) {
		destroy(conn);
		return NULL;
	}
	return conn;
}

struct cell_conn *cell_conn_accept(struct event_base *base, evutil_socket_t fd,
				   const struct cell_conn_handler *handler,
				   void *ctx)
{
	struct bufferevent *bev = bufferevent_socket_new(
		base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	struct cell_conn *conn;
	int one = 1;

	if (!bev) {
		evutil_closesocket(fd);
		return NULL;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	conn = conn_new(bev, handler, ctx);
	conn->unidentified = TRUE;
	return conn;
}

void cell_conn_set_identified(struct cell_conn *conn)
{
	conn->unidentified = FALSE;
}

/* TRUE if a further frame is to be dropped, since the peer does not read. */
static gboolean is_full(struct evbuffer *output)
{
	gsize unsent = evbuffer_get_length(output);

	return unsent > MAX_UNSENT_BYTES ||
	       (total_unsent > MAX_TOTAL_UNSENT_BYTES &&
		unsent > MIN_UNSENT_BYTES);
}

void cell_conn_update_metrics(struct obs_metrics *metrics)
{
	obs_gauge(metrics, "radishpier_frames_unsent_bytes", NULL,
		  (double)total_unsent);
	obs_count_set(metrics, "radishpier_frames_dropped_total", NULL,
		      frames_dropped);
}

void cell_conn_send(struct cell_conn *conn, const struct Rp__Frame *frame)
{
	struct evbuffer *output = bufferevent_get_output(conn->bev);
	g_autoptr(GError) error = NULL;

	if (conn->closed)
		return;
	if (is_full(output)) {
		frames_dropped++;
		g_warning("%s frame dropped: the peer does not read, "
			  "%" G_GSIZE_FORMAT
			  " bytes are unsent, %" G_GSIZE_FORMAT
			  " on all connections",
			  wire_frame_name(frame), evbuffer_get_length(output),
			  total_unsent);
	} else if (wire_write(output, frame, &error) < 0) {
		g_warning("frame dropped: %s", error->message);
	}
}

void cell_conn_send_heartbeat(struct cell_conn *conn,
			      const struct cell_heartbeat *heartbeat)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_NODE_BEAT);

	frame->node_beat->fence = heartbeat->fencing_token;
	frame->node_beat->cpu_milli = heartbeat->cpu_milli;
	frame->node_beat->best_cpu_milli = heartbeat->best_cpu_milli;
	wire_set_string(&frame->node_beat->successor, heartbeat->successor);
	cell_conn_send(conn, frame);
	wire_frame_free(frame);
}

gboolean cell_conn_refused(const struct cell_conn *conn)
{
	return conn->refused;
}

gint64 cell_conn_last_received_ms(const struct cell_conn *conn)
{
	return conn->last_received_ms;
}

struct evconnlistener *cell_listen(struct event_base *base, const char *address,
				   evconnlistener_cb on_accept, void *ctx,
				   GError **error)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	struct evconnlistener *listener = NULL;

	if (!evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
					&len))
		listener = evconnlistener_new_bind(
			base, on_accept, ctx,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
			(struct sockaddr *)&addr, len);
	if (!listener)
		g_set_error(error, CELL_ERROR, CELL_ERROR_ADDRESS,
			    "cannot listen on %s: %s", address,
			    g_strerror(errno));
	return listener;
}
