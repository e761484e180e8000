#include <check.h>
#include <stdlib.h>

#include "cell_test.h"
#include "internal.h"
#include "tests/fixture.h"

/* Replies to calls that an entry forwards, when processes and connections end
 * while the leader owes them. */

/* Time for which the store keeps a transaction's answer, and what it reads of
 * its outcome, in tests of calls whose connection ends meanwhile. With a longer
 * one the store would count as unavailable. */
#define TXN_HELD_MS 600

/* Guards against the reply to a call of an entry's ended process reaching a
 * caller of its next process, who would take a job as stored that is not. */
START_TEST(test_reply_to_an_ended_process)
{
	struct cell cell;
	int other;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	other = following_entry(&cell);
	cell.kv.txn_delay_ms = TXN_HELD_MS;
	cell.kv.late_key = CELL_COMMIT_KEY;
	begin_submit(&cell, other, "/b/r1");
	run_loop_ms(&cell, 50);
	cell_entry_free(cell.entries[other]);
	cell.entries[other] = entry_new(&cell, other);
	wait_ready(&cell, other);
	/* The first transaction is still without an answer. */
	ck_assert_uint_eq(make_call(&cell, 1 - other,
				    RP__STEP_VERB__STEP_VERB_STATE, "/b/r1",
				    NULL),
			  503);
	ck_assert_uint_eq(submit(&cell, other, "/b/r2"), 200);
	ck_assert_uint_eq(make_call(&cell, 1 - other,
				    RP__STEP_VERB__STEP_VERB_STATE, "/b/r2",
				    NULL),
			  200);
	cell.kv.txn_delay_ms = 0;
	wait_state(&cell, other, "/b/r1", RP__JOB_STATE__JOB_STATE_DONE);
	wait_state(&cell, other, "/b/r2", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 8);
	teardown(&cell);
}
END_TEST

/* Guards against a caller that gets no reply, or an unknown outcome, when the
 * leader connects anew to the entry while it owes it the reply. */
START_TEST(test_reply_after_a_new_connection)
{
	g_autofree char *address = NULL;
	struct cell cell;
	int other;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	other = following_entry(&cell);
	address = address_of(&cell, entry_names[other]);
	cell.kv.txn_delay_ms = TXN_HELD_MS;
	cell.kv.late_key = CELL_COMMIT_KEY;
	begin_submit(&cell, other, "/b/r3");
	run_loop_ms(&cell, 50);
	set_address(&cell, entry_names[other], "entry", "127.0.0.1:1");
	run_loop_ms(&cell, 50);
	set_address(&cell, entry_names[other], "entry", address);
	ck_assert_uint_eq(wait_reply(&cell), 200);
	cell.kv.txn_delay_ms = 0;
	wait_state(&cell, other, "/b/r3", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/** A leader of an earlier version: it sends a reply to whichever process of the
 * entry is connected, with nothing but the number of the call. */
struct earlier_leader {
	struct cell_conn *conn;
	/** Id of the last call that it received; 0 for none. */
	guint64 call_id;
};

static void on_leader_frame(void *ctx, struct cell_conn *conn G_GNUC_UNUSED,
			    const struct Rp__Frame *frame)
{
	struct earlier_leader *leader = ctx;

	if (frame->body_case == RP__FRAME__BODY_STEP_CALL)
		leader->call_id = frame->step_call->call_id;
}

static void on_leader_close(void *ctx, struct cell_conn *conn G_GNUC_UNUSED,
			    const char *why G_GNUC_UNUSED)
{
	struct earlier_leader *leader = ctx;

	leader->conn = NULL;
}

static void on_leader_connect(void *ctx G_GNUC_UNUSED, struct cell_conn *conn)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_LEADER_HELLO);

	frame->leader_hello->fence = 100;
	wire_set_string(&frame->leader_hello->entry, "earlier");
	cell_conn_send(conn, frame);
	wire_frame_free(frame);
}

/* Connects the leader to the entry and submits a job there. */
static void submit_to(struct earlier_leader *leader, struct cell *cell,
		      int entry)
{
	static const struct cell_conn_handler handler = {
		.on_frame = on_leader_frame,
		.on_close = on_leader_close,
		.on_connect = on_leader_connect,
	};
	g_autofree char *address = address_of(cell, entry_names[entry]);

	leader->call_id = 0;
	leader->conn = cell_conn_dial(cell->base, address, &handler, leader);
	ck_assert_ptr_nonnull(leader->conn);
	wait_ready(cell, entry);
	begin_submit(cell, entry, "/b/r4");
	while (!leader->call_id)
		run_loop_ms(cell, 10);
}

/* Guards against a caller of an entry's process getting the reply to a call of
 * the process before, during an upgrade, while a leader of an earlier version
 * leads. */
START_TEST(test_reply_of_an_earlier_version)
{
	g_autoptr(GBytes) candidacy = g_bytes_new_static("earlier 1", 9);
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_STEP_REPLY);
	struct earlier_leader leader = { 0 };
	struct cell cell;

	setup(&cell);
	/* So neither of the entries is elected. */
	fake_put(&cell.kv, CELL_LEADER_KEY, candidacy, 0);
	run_loop_ms(&cell, 100);
	submit_to(&leader, &cell, 0);
	frame->step_reply->call_id = leader.call_id;
	frame->step_reply->status = 200;
	cell_entry_free(cell.entries[0]);
	cell.entries[0] = entry_new(&cell, 0);
	run_loop_ms(&cell, 100);
	ck_assert_ptr_null(leader.conn);
	submit_to(&leader, &cell, 0);
	cell_conn_send(leader.conn, frame);
	run_loop_ms(&cell, 100);
	ck_assert(!cell.answered);
	frame->step_reply->call_id = leader.call_id;
	cell_conn_send(leader.conn, frame);
	ck_assert_uint_eq(wait_reply(&cell), 200);
	wire_frame_free(frame);
	cell_conn_close(leader.conn);
	teardown(&cell);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("reply");
	TCase *tcase = tcase_create("reply");

	fixture_drop_logs();
	tcase_add_test(tcase, test_reply_to_an_ended_process);
	tcase_add_test(tcase, test_reply_after_a_new_connection);
	tcase_add_test(tcase, test_reply_of_an_earlier_version);
	/* Seconds. */
	tcase_set_timeout(tcase, 60);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
