#include <arpa/inet.h>
#include <check.h>
#include <event2/event.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "internal.h"
#include "tests/fixture.h"

#define CONNECTIONS 8
#define FRAME_BYTES (1024 * 1024)
/* In place of a number of frames. */
#define CLOSED 1000
/* Of one connection, and of all; each may exceed it by one frame. */
#define MAX_UNSENT_BYTES (8 * 1024 * 1024)
#define MAX_TOTAL_BYTES ((32 + CONNECTIONS) * 1024 * 1024)

static void on_frame(void *ctx, struct cell_conn *conn,
		     const struct Rp__Frame *frame G_GNUC_UNUSED)
{
	unsigned *frames = ctx;

	++*frames;
	cell_conn_set_identified(conn);
}

static void on_close(void *ctx, struct cell_conn *conn G_GNUC_UNUSED,
		     const char *why G_GNUC_UNUSED)
{
	unsigned *frames = ctx;

	*frames = CLOSED;
}

static const struct cell_conn_handler handler = {
	.on_frame = on_frame,
	.on_close = on_close,
};

static gsize unsent_bytes(void)
{
	struct obs_metrics *metrics = obs_metrics_new();
	g_autoptr(GString) text = g_string_new(NULL);
	const char *value;
	gsize bytes;

	cell_conn_update_metrics(metrics);
	obs_metrics_print(metrics, text);
	value = strstr(text->str, "\nradishpier_frames_unsent_bytes ");
	ck_assert_ptr_nonnull(value);
	bytes = (gsize)g_ascii_strtod(strchr(value, ' '), NULL);
	obs_metrics_free(metrics);
	return bytes;
}

static struct Rp__Frame *large_frame(void)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_LEADER_HELLO);
	g_autofree char *text = g_strnfill(FRAME_BYTES, 'x');

	wire_set_string(&frame->leader_hello->entry, text);
	return frame;
}

/* Guards against peers that do not read and together make a leader hold more
 * than its memory. */
START_TEST(test_unread)
{
	struct event_base *base = event_base_new();
	struct Rp__Frame *frame = large_frame();
	struct cell_conn *conns[CONNECTIONS];
	int sockets[CONNECTIONS][2];
	int i, round;

	for (i = 0; i < CONNECTIONS; i++) {
		ck_assert_int_eq(
			socketpair(AF_UNIX, SOCK_STREAM, 0, sockets[i]), 0);
		evutil_make_socket_nonblocking(sockets[i][0]);
		conns[i] = cell_conn_accept(base, sockets[i][0], &handler,
					    NULL);
		ck_assert_ptr_nonnull(conns[i]);
	}
	for (round = 0; round < 20; round++) {
		cell_conn_send(conns[0], frame);
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
	ck_assert_uint_gt(unsent_bytes(), MAX_UNSENT_BYTES);
	ck_assert_uint_le(unsent_bytes(), MAX_UNSENT_BYTES + 2 * FRAME_BYTES);
	for (round = 0; round < 20; round++) {
		for (i = 0; i < CONNECTIONS; i++)
			cell_conn_send(conns[i], frame);
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
	ck_assert_uint_gt(unsent_bytes(), MAX_TOTAL_BYTES / 2);
	ck_assert_uint_le(unsent_bytes(), MAX_TOTAL_BYTES);
	for (i = 0; i < CONNECTIONS; i++) {
		cell_conn_close(conns[i]);
		close(sockets[i][1]);
	}
	ck_assert_uint_eq(unsent_bytes(), 0);
	wire_frame_free(frame);
	event_base_free(base);
}
END_TEST

/* Guards against unknown peers that make a process hold large frames, and
 * against large frames of a peer that has identified itself being lost. */
START_TEST(test_read_ahead)
{
	struct event_base *base = event_base_new();
	struct Rp__Frame *frame = large_frame();
	struct Rp__Frame *hello = wire_frame_new(RP__FRAME__BODY_LEADER_HELLO);
	struct evbuffer *text = evbuffer_new();
	unsigned frames = 0;
	gsize taken = 0, len;
	struct cell_conn *conn;
	int sockets[2], i;

	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets), 0);
	evutil_make_socket_nonblocking(sockets[0]);
	evutil_make_socket_nonblocking(sockets[1]);
	conn = cell_conn_accept(base, sockets[0], &handler, &frames);
	if (_i)
		ck_assert_int_eq(wire_write(text, hello, NULL), 0);
	ck_assert_int_eq(wire_write(text, frame, NULL), 0);
	len = evbuffer_get_length(text);
	for (i = 0; i < 1000; i++) {
		int n = evbuffer_write(text, sockets[1]);

		taken += n > 0 ? (gsize)n : 0;
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
	if (_i) {
		ck_assert_uint_eq(taken, len);
		ck_assert_uint_eq(frames, 2);
	} else {
		ck_assert_uint_lt(taken, len);
		ck_assert_uint_eq(frames, CLOSED);
	}
	if (frames != CLOSED)
		cell_conn_close(conn);
	close(sockets[1]);
	evbuffer_free(text);
	wire_frame_free(frame);
	wire_frame_free(hello);
	event_base_free(base);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("frame connections");
	TCase *tcase = tcase_create("conn");

	fixture_drop_logs();
	signal(SIGPIPE, SIG_IGN);
	tcase_add_test(tcase, test_unread);
	tcase_add_loop_test(tcase, test_read_ahead, 0, 2);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
