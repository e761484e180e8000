#include "shell.h"

#include <netinet/tcp.h>
#include <string.h>

/** Above this much unsent output, reading pauses. */
#define OUTPUT_PAUSE_BYTES (4 * 1024 * 1024)
/** At this much unsent output, reading resumes. */
#define OUTPUT_RESUME_BYTES (1024 * 1024)

/** Above this much unsent output, the connection is closed. */
#define OUTPUT_MAX_BYTES (16 * 1024 * 1024)

/** Limit of a single read or write on a socket. */
#define MAX_IO_BYTES (256 * 1024)

/**
 * TCP_USER_TIMEOUT: sent data must be acknowledged within this time, which is
 * five heartbeat intervals.
 */
#define TCP_ACK_TIMEOUT_MS 10000

/** A connection to an entry. */
struct conn {
	struct ash *ash;
	guint64 id;
	char *address;
	struct bufferevent *bev;
	/** Reading is off until the output buffer drops to the resume mark. */
	gboolean read_paused;
	/** A frame with an unknown body was logged, once per connection. */
	gboolean unknown_logged;
};

void ash_conn_free(void *data)
{
	struct conn *conn = data;

	bufferevent_free(conn->bev);
	g_free(conn->address);
	g_free(conn);
}

static void report_closed(struct ash *ash, guint64 id)
{
	struct agt_event event = { .kind = AGT_EV_CLOSED };

	event.closed.conn = id;
	ash_event(ash, &event);
}

/* Closes a connection for a reason that the reducer does not know yet. */
static void close_and_report(struct conn *conn)
{
	struct ash *ash = conn->ash;
	guint64 id = conn->id;

	g_hash_table_remove(ash->conns, &id);
	report_closed(ash, id);
}

/*
 * Drops a frame with an unknown body, which comes from a later version. This is
 * logged once per connection, since many such frames may follow.
 */
static void ignore_unknown_frame(struct conn *conn, struct Rp__Frame *frame)
{
	obs_count(conn->ash->metrics, "radishpier_agent_unknown_frames_total",
		  NULL, 1);
	if (!conn->unknown_logged)
		g_warning("entry at %s: a message of kind %u is not known to "
			  "this version and is ignored",
			  conn->address, wire_unknown_body(frame));
	conn->unknown_logged = TRUE;
	wire_frame_free(frame);
}

static void read_frames(struct conn *conn)
{
	struct ash *ash = conn->ash;
	struct agt_event event = { .kind = AGT_EV_FRAME };
	guint64 id = conn->id;

	/* The reducer may close the connection in answer to any frame. */
	while (g_hash_table_lookup(ash->conns, &id) == conn &&
	       !conn->read_paused) {
		struct Rp__Frame *frame = NULL;
		g_autoptr(GError) error = NULL;
		struct evbuffer *in = bufferevent_get_input(conn->bev);
		size_t before = evbuffer_get_length(in);
		int got = wire_read(in, &frame, &error);

		ash->wire_in_bytes += before - evbuffer_get_length(in);
		if (!got)
			return;
		if (got < 0) {
			g_warning("entry at %s: %s; closing the connection",
				  conn->address, error->message);
			close_and_report(conn);
			return;
		}
		if (wire_unknown_body(frame)) {
			ignore_unknown_frame(conn, frame);
			continue;
		}
		event.frame.conn = id;
		event.frame.frame = frame;
		ash_event(ash, &event);
		wire_frame_free(frame);
	}
}

static void on_read(struct bufferevent *bev G_GNUC_UNUSED, void *data)
{
	read_frames(data);
}

static void on_write(struct bufferevent *bev, void *data)
{
	struct conn *conn = data;

	if (!conn->read_paused)
		return;
	conn->read_paused = FALSE;
	bufferevent_enable(bev, EV_READ);
	read_frames(conn);
}

static void set_options(int fd)
{
	int on = 1;
	int timeout_ms = TCP_ACK_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		   sizeof(timeout_ms));
}

static void on_event(struct bufferevent *bev, short what, void *data)
{
	struct conn *conn = data;
	struct agt_event event = { .kind = AGT_EV_CONNECTED };

	if (!(what & BEV_EVENT_CONNECTED)) {
		close_and_report(conn);
		return;
	}
	set_options(bufferevent_getfd(bev));
	event.connected.conn = conn->id;
	event.connected.address = conn->address;
	ash_event(conn->ash, &event);
}

void ash_conn_dial(struct ash *ash, guint64 id, const char *address)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	struct conn *conn;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
				       &len)) {
		g_warning("entry address %s is not IP:port", address);
		report_closed(ash, id);
		return;
	}
	conn = g_new0(struct conn, 1);
	conn->ash = ash;
	conn->id = id;
	conn->address = g_strdup(address);
	conn->bev = bufferevent_socket_new(ash->base, -1,
					   BEV_OPT_CLOSE_ON_FREE);
	g_hash_table_insert(ash->conns, &conn->id, conn);
	bufferevent_setcb(conn->bev, on_read, on_write, on_event, conn);
	bufferevent_setwatermark(conn->bev, EV_WRITE, OUTPUT_RESUME_BYTES, 0);
	bufferevent_set_max_single_read(conn->bev, MAX_IO_BYTES);
	bufferevent_set_max_single_write(conn->bev, MAX_IO_BYTES);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	/* If it fails, on_event() may have closed the connection already. */
	if (bufferevent_socket_connect(conn->bev, (struct sockaddr *)&addr,
				       len) &&
	    g_hash_table_lookup(ash->conns, &id) == conn)
		close_and_report(conn);
}

/*
 * Replaces a reply that is too large for a frame by a 502 with the same
 * outcome, which says that the request ran. Returns -1 if the frame is not a
 * reply.
 */
static int write_without_body(struct evbuffer *out, struct Rp__Frame *frame)
{
	static const char text[] = "the upstream's answer is too large\n";
	struct Rp__Reply *reply = frame->reply;
	size_t i;

	if (frame->body_case != RP__FRAME__BODY_REPLY)
		return -1;
	for (i = 0; i < reply->n_headers; i++)
		rp__header__free_unpacked(reply->headers[i], NULL);
	reply->n_headers = 0;
	reply->status = 502;
	wire_set_bytes(&reply->body, text, strlen(text));
	return wire_write(out, frame, NULL);
}

void ash_conn_send(struct ash *ash, guint64 id, struct Rp__Frame *frame)
{
	struct conn *conn = g_hash_table_lookup(ash->conns, &id);
	g_autoptr(GError) error = NULL;
	struct evbuffer *out;
	size_t before;
	size_t waiting;

	if (!conn)
		return;
	out = bufferevent_get_output(conn->bev);
	before = evbuffer_get_length(out);
	if (wire_write(out, frame, &error) && write_without_body(out, frame)) {
		g_critical("entry at %s: %s; closing the connection",
			   conn->address, error->message);
		close_and_report(conn);
		return;
	}
	waiting = evbuffer_get_length(out);
	ash->wire_out_bytes += waiting - before;
	if (waiting > OUTPUT_MAX_BYTES) {
		g_warning("entry at %s does not read: %zu bytes are waiting; "
			  "closing the connection",
			  conn->address, waiting);
		close_and_report(conn);
	} else if (waiting > OUTPUT_PAUSE_BYTES && !conn->read_paused) {
		conn->read_paused = TRUE;
		bufferevent_disable(conn->bev, EV_READ);
	}
}

void ash_conn_close(struct ash *ash, guint64 id)
{
	g_hash_table_remove(ash->conns, &id);
}

gboolean ash_conns_flushed(struct ash *ash)
{
	GHashTableIter iter;
	struct conn *conn;

	g_hash_table_iter_init(&iter, ash->conns);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&conn))
		if (evbuffer_get_length(bufferevent_get_output(conn->bev)))
			return FALSE;
	return TRUE;
}
