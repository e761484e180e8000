#include "cell_test.h"
#include "tests/fixture.h"

/* A leader whose calls the store refuses, and an election that is late since it
 * refuses those of the next one. */

/** Longest time until another entry leads; the lease of the leader's key alone
 * takes 1,800 ms. */
#define HANDOVER_MS 1400

#define CPU_MILLI 500

/* Starts two entries that may each become the successor of the other. */
static void setup_equal(struct cell *cell)
{
	int i;

	setup(cell);
	for (i = 0; i < ENTRIES; i++) {
		cell_entry_free(cell->entries[i]);
		cell->entries[i] = entry_new_sized(cell, i, CPU_MILLI);
	}
	wait_ready(cell, 0);
	wait_ready(cell, 1);
	/* Entries learn of each other, and the leader's start is done. */
	run_loop_ms(cell, 2500);
}

/*
 * Guards against a leader that the store refuses while it serves others, and
 * that goes on leading until its lease expires, so that no job is accepted;
 * against two leaders; and against an order that is given twice.
 */
START_TEST(test_refused_leader_hands_over)
{
	struct cell cell;
	int leader;
	int waited = 0;

	setup_equal(&cell);
	leader = leading_entry(&cell);
	ck_assert_uint_eq(submit(&cell, leader, "/b/f1"), 200);
	wait_state(&cell, leader, "/b/f1", RP__JOB_STATE__JOB_STATE_DONE);
	cell.clients[leader].refused = TRUE;
	/* Not accepted by the refused leader, so it is the next one's. */
	begin_submit(&cell, 1 - leader, "/b/f2");
	while (leading_entry(&cell) != 1 - leader) {
		ck_assert_int_lt(waited, HANDOVER_MS);
		run_loop_ms(&cell, 20);
		waited += 20;
	}
	wait_ready(&cell, 1 - leader);
	wait_ready(&cell, leader);
	while (submit(&cell, leader, "/b/f2") != 200) {
		ck_assert_int_lt(waited, WAIT_MS);
		run_loop_ms(&cell, 50);
		waited += 50;
	}
	wait_state(&cell, 1 - leader, "/b/f2", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 8);
	/* It does not take the leadership back. */
	cell.clients[leader].refused = FALSE;
	run_loop_ms(&cell, 3000);
	ck_assert_int_eq(leading_entry(&cell), 1 - leader);
	teardown(&cell);
}
END_TEST

/* Guards against a hand-over that helps nobody, since the store refuses the
 * calls of all entries. */
START_TEST(test_all_entries_are_refused)
{
	struct cell cell;
	gint64 token;
	int i;

	setup_equal(&cell);
	token = fake_revision_of(&cell.kv, CELL_LEADER_KEY);
	for (i = 0; i < ENTRIES; i++)
		cell.clients[i].refused = TRUE;
	run_loop_ms(&cell, 2000);
	for (i = 0; i < ENTRIES; i++)
		cell.clients[i].refused = FALSE;
	run_loop_ms(&cell, 1500);
	ck_assert_int_eq(fake_revision_of(&cell.kv, CELL_LEADER_KEY), token);
	ck_assert_uint_eq(submit(&cell, 0, "/b/f3"), 200);
	teardown(&cell);
}
END_TEST

/* Guards against a caller that is told nothing certain about its job while
 * there is still time for the next leader to read the outcome: the election
 * takes longer than usual, as after an outage of the store. */
START_TEST(test_outcome_after_a_late_election)
{
	struct cell cell;
	int leader;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	leader = leading_entry(&cell);
	/* The transaction takes effect, but the leader does not learn of it. */
	cell.kv.lose_txns = 1;
	begin_submit(&cell, 1 - leader, "/b/u1");
	while (cell.kv.lose_txns)
		run_loop_ms(&cell, 5);
	cell.clients[1 - leader].refused = TRUE;
	cell_entry_free(cell.entries[leader]);
	cell.entries[leader] = NULL;
	run_loop_ms(&cell, 1600);
	ck_assert(!cell.answered);
	cell.clients[1 - leader].refused = FALSE;
	ck_assert_uint_eq(wait_reply(&cell), 200);
	wait_state(&cell, 1 - leader, "/b/u1", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("refused");
	TCase *tcase = tcase_create("refused");

	fixture_drop_logs();
	tcase_add_test(tcase, test_refused_leader_hands_over);
	tcase_add_test(tcase, test_all_entries_are_refused);
	tcase_add_test(tcase, test_outcome_after_a_late_election);
	/* Seconds. */
	tcase_set_timeout(tcase, 60);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
