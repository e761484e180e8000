#include "cell_test.h"
#include "tests/fixture.h"

/* Evacuation of zones, from the store's keys to the worker's calls. */

#define EVACUATION_MS 5000

static void evacuate(struct cell *cell)
{
	g_autoptr(GBytes) value = g_bytes_new_static("{}", 2);

	cell->kv.revision++;
	fake_put(&cell->kv, EVACUATIONS_PREFIX ZONE, value, 0);
}

static void return_zone(struct cell *cell)
{
	cell->kv.revision++;
	fake_remove(&cell->kv, EVACUATIONS_PREFIX ZONE);
}

/* Submits a job and waits until it would have started. */
static void submit_and_wait(struct cell *cell, const char *path)
{
	ck_assert_uint_eq(submit(cell, 0, path), 200);
	run_loop_ms(cell, 500);
}

/* Guards against an evacuation that is not learned from the watch, a job that
 * is lost or refused meanwhile, and an evacuation that never ends. */
START_TEST(test_evacuation_is_learned_and_ended)
{
	struct cell cell;

	setup_zones(&cell, EVACUATION_MS);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	evacuate(&cell);
	run_loop_ms(&cell, 50);
	submit_and_wait(&cell, "/b/a1");
	ck_assert_uint_eq(cell.starts, 0);
	return_zone(&cell);
	wait_state(&cell, 0, "/b/a1", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 4);
	evacuate(&cell);
	submit_and_wait(&cell, "/b/a2");
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against an evacuation that was written before the election, and one
 * that was written or removed while the watch was lost. */
START_TEST(test_evacuation_is_read_again)
{
	struct cell cell;

	setup_zones(&cell, EVACUATION_MS);
	evacuate(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	submit_and_wait(&cell, "/b/a1");
	ck_assert_uint_eq(cell.starts, 0);
	cell.kv.watches_silent_ms = net_now_ms();
	return_zone(&cell);
	run_loop_ms(&cell, 200);
	ck_assert_uint_eq(cell.starts, 0);
	cell.kv.watches_silent_ms = 0;
	fake_end_watches(&cell.kv);
	wait_state(&cell, 0, "/b/a1", RP__JOB_STATE__JOB_STATE_DONE);
	cell.kv.watches_silent_ms = net_now_ms();
	evacuate(&cell);
	cell.kv.watches_silent_ms = 0;
	fake_end_watches(&cell.kv);
	run_loop_ms(&cell, 200);
	submit_and_wait(&cell, "/b/a2");
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against a new leader that starts tasks in a zone whose evacuation only
 * the former one has seen. */
START_TEST(test_next_leader_knows_the_evacuation)
{
	struct cell cell;
	int leader;

	setup_zones(&cell, EVACUATION_MS);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	evacuate(&cell);
	submit_and_wait(&cell, "/b/a1");
	leader = leading_entry(&cell);
	cell_entry_drain(cell.entries[leader]);
	run_loop_ms(&cell, 2000);
	ck_assert_int_eq(leading_entry(&cell), 1 - leader);
	ck_assert_uint_eq(cell.starts, 0);
	return_zone(&cell);
	wait_state(&cell, 1 - leader, "/b/a1", RP__JOB_STATE__JOB_STATE_DONE);
	teardown(&cell);
}
END_TEST

/* Guards against another read or watch of the store where zones cannot be
 * evacuated. */
START_TEST(test_only_the_tables_are_watched_without_evacuations)
{
	struct cell cell;
	GList *link;

	setup(&cell);
	evacuate(&cell);
	wait_ready(&cell, 0);
	submit_and_wait(&cell, "/b/a1");
	ck_assert_uint_eq(cell.starts, 4);
	for (link = cell.kv.watches.head; link; link = link->next) {
		const struct kv_watch *watch = link->data;

		ck_assert(!strcmp(watch->prefix, TABLES_KEY) ||
			  !strcmp(watch->prefix, CELL_NODE_PREFIX));
	}
	teardown(&cell);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("evacuation");
	TCase *tcase = tcase_create("evacuation");

	fixture_drop_logs();
	tcase_add_test(tcase, test_evacuation_is_learned_and_ended);
	tcase_add_test(tcase, test_evacuation_is_read_again);
	tcase_add_test(tcase, test_next_leader_knows_the_evacuation);
	tcase_add_test(tcase,
		       test_only_the_tables_are_watched_without_evacuations);
	/* Seconds. */
	tcase_set_timeout(tcase, 60);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
