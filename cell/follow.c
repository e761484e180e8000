#include "internal.h"

/*
 * Connections that leaders make to this process. The first frame tells the
 * leader's fence; of several connections the one with the highest fence is
 * kept, and of one leader's the newest.
 */

/** Connections without a greeting; more are not held open. */
#define MAX_UNKNOWN 32

static void on_frame(void *ctx, struct cell_conn *conn,
		     const struct Rp__Frame *frame)
{
	struct cell_follow *follow = ctx;

	if (frame->body_case == RP__FRAME__BODY_LEADER_HELLO) {
		guint64 fence = frame->leader_hello->fence;

		g_ptr_array_remove(follow->unknown, conn);
		if (fence < follow->fence) {
			g_message("leader %s with fence %" G_GUINT64_FORMAT
				  " refused: %" G_GUINT64_FORMAT " is known",
				  frame->leader_hello->entry, fence,
				  follow->fence);
			if (conn == follow->conn)
				follow->conn = NULL;
			cell_conn_close(conn);
			return;
		}
		if (follow->conn && follow->conn != conn) {
			struct cell_conn *old = follow->conn;

			follow->conn = NULL;
			follow->on_lost(follow->ctx);
			cell_conn_close(old);
		}
		g_message("obeys leader %s with fence %" G_GUINT64_FORMAT,
			  frame->leader_hello->entry, fence);
		follow->conn = conn;
		follow->fence = fence;
		g_free(follow->address);
		follow->address =
			*frame->leader_hello->address
				? g_strdup(frame->leader_hello->address)
				: NULL;
		follow->on_leader(follow->ctx, fence);
		return;
	}
	if (conn == follow->conn)
		follow->on_frame(follow->ctx, frame);
}

static void on_close(void *ctx, struct cell_conn *conn, const char *why)
{
	struct cell_follow *follow = ctx;

	g_ptr_array_remove(follow->unknown, conn);
	if (conn != follow->conn)
		return;
	g_message("leader with fence %" G_GUINT64_FORMAT " lost: %s",
		  follow->fence, why);
	follow->conn = NULL;
	follow->on_lost(follow->ctx);
}

static const struct cell_conn_handler handler = {
	.on_frame = on_frame,
	.on_close = on_close,
};

void cell_follow_init(struct cell_follow *follow, struct event_base *base)
{
	memset(follow, 0, sizeof(*follow));
	follow->base = base;
	follow->unknown = g_ptr_array_new();
}

void cell_follow_clear(struct cell_follow *follow)
{
	guint i;

	for (i = 0; i < follow->unknown->len; i++)
		cell_conn_close(follow->unknown->pdata[i]);
	g_ptr_array_unref(follow->unknown);
	g_free(follow->address);
	if (follow->conn)
		cell_conn_close(follow->conn);
}

void cell_follow_accept(struct cell_follow *follow, evutil_socket_t fd)
{
	struct cell_conn *conn;

	if (follow->unknown->len >= MAX_UNKNOWN) {
		cell_conn_close(follow->unknown->pdata[0]);
		g_ptr_array_remove_index(follow->unknown, 0);
	}
	conn = cell_conn_accept(follow->base, fd, &handler, follow);
	if (conn)
		g_ptr_array_add(follow->unknown, conn);
}

void cell_follow_tick(struct cell_follow *follow, gint64 now_ms)
{
	struct cell_conn *conn = follow->conn;

	if (!conn || now_ms < cell_conn_heard_ms(conn) + CELL_SILENT_MS)
		return;
	on_close(follow, conn, "silent");
	cell_conn_close(conn);
}

void cell_follow_send(struct cell_follow *follow, const struct Rp__Frame *frame)
{
	if (follow->conn)
		cell_conn_send(follow->conn, frame);
}
