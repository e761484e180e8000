#include "internal.h"

/*
 * Connections that leaders make to this process. The first frame, LeaderHello,
 * carries the leader's fencing token; another one on the same connection starts
 * a session with a higher token. Of several connections the one with the
 * highest token is kept, and of connections from one leader the newest.
 */

/** Maximum number of connections without a LeaderHello; a further one closes
 * the oldest. */
#define MAX_UNIDENTIFIED 32

static void on_frame(void *ctx, struct cell_conn *conn,
		     const struct Rp__Frame *frame)
{
	struct cell_leader_conn *leader_conn = ctx;

	if (frame->body_case == RP__FRAME__BODY_LEADER_HELLO) {
		guint64 fencing_token = frame->leader_hello->fence;

		g_ptr_array_remove(leader_conn->unidentified, conn);
		if (fencing_token < leader_conn->fencing_token) {
			g_message("leader %s with fencing token "
				  "%" G_GUINT64_FORMAT
				  " refused: a leader with fencing token "
				  "%" G_GUINT64_FORMAT " is known",
				  frame->leader_hello->entry, fencing_token,
				  leader_conn->fencing_token);
			if (conn == leader_conn->conn) {
				leader_conn->conn = NULL;
				leader_conn->on_disconnected(leader_conn->ctx);
			}
			cell_conn_close(conn);
			return;
		}
		if (leader_conn->conn && leader_conn->conn != conn) {
			struct cell_conn *old = leader_conn->conn;

			leader_conn->conn = NULL;
			leader_conn->on_disconnected(leader_conn->ctx);
			cell_conn_close(old);
		}
		g_message("accepted leader %s with fencing token "
			  "%" G_GUINT64_FORMAT,
			  frame->leader_hello->entry, fencing_token);
		cell_conn_set_identified(conn);
		leader_conn->conn = conn;
		leader_conn->fencing_token = fencing_token;
		g_free(leader_conn->address);
		leader_conn->address =
			*frame->leader_hello->address
				? g_strdup(frame->leader_hello->address)
				: NULL;
		leader_conn->on_connected(leader_conn->ctx, fencing_token);
		return;
	}
	if (conn == leader_conn->conn)
		leader_conn->on_frame(leader_conn->ctx, frame);
}

static void on_close(void *ctx, struct cell_conn *conn, const char *why)
{
	struct cell_leader_conn *leader_conn = ctx;

	g_ptr_array_remove(leader_conn->unidentified, conn);
	if (conn != leader_conn->conn)
		return;
	g_message("connection of leader with fencing token %" G_GUINT64_FORMAT
		  " lost: %s",
		  leader_conn->fencing_token, why);
	leader_conn->conn = NULL;
	leader_conn->on_disconnected(leader_conn->ctx);
}

static const struct cell_conn_handler handler = {
	.on_frame = on_frame,
	.on_close = on_close,
};

void cell_leader_conn_init(struct cell_leader_conn *leader_conn,
			   struct event_base *base)
{
	memset(leader_conn, 0, sizeof(*leader_conn));
	leader_conn->base = base;
	leader_conn->unidentified = g_ptr_array_new();
}

void cell_leader_conn_clear(struct cell_leader_conn *leader_conn)
{
	guint i;

	for (i = 0; i < leader_conn->unidentified->len; i++)
		cell_conn_close(leader_conn->unidentified->pdata[i]);
	g_ptr_array_unref(leader_conn->unidentified);
	g_free(leader_conn->address);
	if (leader_conn->conn)
		cell_conn_close(leader_conn->conn);
}

void cell_leader_conn_accept(struct cell_leader_conn *leader_conn,
			     evutil_socket_t fd)
{
	struct cell_conn *conn;

	if (leader_conn->unidentified->len >= MAX_UNIDENTIFIED) {
		cell_conn_close(leader_conn->unidentified->pdata[0]);
		g_ptr_array_remove_index(leader_conn->unidentified, 0);
	}
	conn = cell_conn_accept(leader_conn->base, fd, &handler, leader_conn);
	if (conn)
		g_ptr_array_add(leader_conn->unidentified, conn);
}

void cell_leader_conn_tick(struct cell_leader_conn *leader_conn, gint64 now_ms)
{
	struct cell_conn *conn = leader_conn->conn;

	if (!conn ||
	    now_ms < cell_conn_last_received_ms(conn) + CELL_IDLE_TIMEOUT_MS)
		return;
	on_close(leader_conn, conn, "idle timeout");
	cell_conn_close(conn);
}

void cell_leader_conn_send(struct cell_leader_conn *leader_conn,
			   const struct Rp__Frame *frame)
{
	if (leader_conn->conn)
		cell_conn_send(leader_conn->conn, frame);
}
