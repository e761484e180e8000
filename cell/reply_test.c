#include <check.h>
#include <stdlib.h>

#include "cell_test.h"
#include "tests/fixture.h"

/* Replies to calls that an entry forwards, when processes and connections end
 * while the leader owes them. */

/* Time for which the store keeps a transaction's answer in tests of calls whose
 * connection ends meanwhile. With a longer one the store would count as
 * unavailable. */
#define TXN_HELD_MS 600

/* Guards against the reply to a call of an entry's ended process reaching a
 * caller of its next process, who would take a job as stored that is not. */
START_TEST(test_reply_to_an_ended_process)
{
	struct cell cell;
	int leader;
	int other;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	leader = leading_entry(&cell);
	other = 1 - leader;
	cell.kv.txn_delay_ms = TXN_HELD_MS;
	begin_submit(&cell, other, "/b/r1");
	run_loop_ms(&cell, 50);
	cell_entry_free(cell.entries[other]);
	cell.entries[other] = entry_new(&cell, other);
	wait_ready(&cell, other);
	/* The first transaction is still without an answer. */
	ck_assert_uint_eq(make_call(&cell, leader,
				    RP__STEP_VERB__STEP_VERB_STATE, "/b/r1",
				    NULL),
			  503);
	ck_assert_uint_eq(submit(&cell, other, "/b/r2"), 200);
	ck_assert_uint_eq(make_call(&cell, leader,
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
	other = 1 - leading_entry(&cell);
	address = address_of(&cell, entry_names[other]);
	cell.kv.txn_delay_ms = TXN_HELD_MS;
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

int main(void)
{
	Suite *suite = suite_create("reply");
	TCase *tcase = tcase_create("reply");

	fixture_drop_logs();
	tcase_add_test(tcase, test_reply_to_an_ended_process);
	tcase_add_test(tcase, test_reply_after_a_new_connection);
	/* Seconds. */
	tcase_set_timeout(tcase, 60);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
