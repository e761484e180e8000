#include <event2/util.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "cell_test.h"
#include "tests/fixture.h"

/** Time within which new tables have to be in force. */
#define TABLES_IN_FORCE_MS 2000

/* Guards against calls that fail at an entry that does not lead, and against a
 * job that runs twice when it is submitted at both entries. */
START_TEST(test_job_through_either_entry)
{
	struct cell cell;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a1"), 200);
	ck_assert_uint_eq(submit(&cell, 1, "/b/a1"), 200);
	ck_assert_uint_eq(submit(&cell, 1, "/none/a1"), 404);
	ck_assert_uint_eq(make_call(&cell, 1, RP__STEP_VERB__STEP_VERB_STATE,
				    "/b/other", NULL),
			  410);
	wait_state(&cell, 0, "/b/a1", RP__JOB_STATE__JOB_STATE_DONE);
	wait_state(&cell, 1, "/b/a1", RP__JOB_STATE__JOB_STATE_DONE);
	/* Two steps of two tasks; each task ran once. */
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against a job that is lost, repeated or stuck when the store executes
 * transactions, of the submission or of its runs, but their answers are lost.
 */
START_TEST(test_transactions_without_answer)
{
	struct cell cell;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	cell.kv.lose_txns = 3;
	ck_assert_uint_eq(submit(&cell, 0, "/b/a2"), 200);
	cell.kv.lose_txns = 1;
	wait_state(&cell, 0, "/b/a2", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against a leader that goes on after its key was removed while its
 * lease renewals still succeed, and against a job lost by the new election. */
START_TEST(test_leader_key_removed)
{
	struct cell cell;
	gint64 first;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a3"), 200);
	first = fake_revision_of(&cell.kv, CELL_LEADER_KEY);
	cell.kv.revision++;
	fake_remove(&cell.kv, CELL_LEADER_KEY);
	run_loop_ms(&cell, 1500);
	ck_assert_int_gt(fake_revision_of(&cell.kv, CELL_LEADER_KEY), first);
	wait_state(&cell, 0, "/b/a3", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against a job that is lost when a draining leader resigns, and against
 * no other entry being elected then. */
START_TEST(test_leader_resigns)
{
	struct cell cell;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a4"), 200);
	cell_entry_drain(cell.entries[0]);
	ck_assert(!cell_entry_is_ready(cell.entries[0]));
	run_loop_ms(&cell, 800);
	wait_ready(&cell, 1);
	wait_state(&cell, 1, "/b/a4", RP__JOB_STATE__JOB_STATE_DONE);
	/* The drained entry still forwards calls. */
	wait_state(&cell, 0, "/b/a4", RP__JOB_STATE__JOB_STATE_DONE);
	teardown(&cell);
}
END_TEST

/* Guards against an election that is delayed until a lease expires, when the
 * leader's key was written by an earlier process of the same VM. */
START_TEST(test_key_of_an_earlier_process)
{
	g_autoptr(GBytes) earlier = g_bytes_new_static("entry0 0badcafe", 15);
	struct cell cell;

	setup(&cell);
	cell.kv.revision++;
	fake_put(&cell.kv, CELL_LEADER_KEY, earlier, 999);
	run_loop_ms(&cell, 1000);
	ck_assert(cell_entry_is_ready(cell.entries[0]));
	ck_assert(cell_entry_is_ready(cell.entries[1]));
	teardown(&cell);
}
END_TEST

/* Guards against an election that is delayed until a lease expires, although
 * the process of the leader has ended and refuses connections. */
START_TEST(test_leader_is_killed)
{
	struct cell cell;
	int leader;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a7"), 200);
	leader = leading_entry(&cell);
	cell_entry_free(cell.entries[leader]);
	cell.entries[leader] = NULL;
	run_loop_ms(&cell, 1000);
	ck_assert(cell_entry_is_ready(cell.entries[1 - leader]));
	wait_state(&cell, 1 - leader, "/b/a7", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against a leader that accepts or counts jobs while the store is
 * unavailable, or that does not recover when the store is back. The state of a
 * known job can still be read. */
START_TEST(test_store_unavailable)
{
	struct cell cell;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a5"), 200);
	wait_state(&cell, 0, "/b/a5", RP__JOB_STATE__JOB_STATE_DONE);
	cell.kv.down = TRUE;
	run_loop_ms(&cell, 2000);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a6"), 503);
	ck_assert_uint_eq(make_call(&cell, 0, RP__STEP_VERB__STEP_VERB_COUNT,
				    "/b/", NULL),
			  503);
	ck_assert_uint_eq(make_call(&cell, 0, RP__STEP_VERB__STEP_VERB_STATE,
				    "/b/a5", NULL),
			  200);
	cell.kv.down = FALSE;
	run_loop_ms(&cell, 1500);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a6"), 200);
	teardown(&cell);
}
END_TEST

/* Guards against callers of an entry without a leader that use up their repeats
 * in an outage of the store, since each is told to come back after 1 s. */
START_TEST(test_retry_after_without_leader)
{
	struct cell cell;

	setup(&cell);
	cell.kv.down = TRUE;
	run_loop_ms(&cell, 300);
	ck_assert_uint_eq(submit(&cell, 0, "/b/r1"), 503);
	ck_assert_uint_eq(cell.retry_after_s, 1);
	run_loop_ms(&cell, 5300);
	ck_assert_uint_eq(submit(&cell, 0, "/b/r1"), 503);
	ck_assert_uint_eq(cell.retry_after_s, 4);
	/* Only an election is left to wait for. */
	cell.kv.down = FALSE;
	wait_ready(&cell, 0);
	ck_assert_uint_eq(submit(&cell, 0, "/b/r1"), 200);
	teardown(&cell);
}
END_TEST

/* Guards against callers whose call reaches its timeout with an unknown
 * outcome, since the answer to the transaction that accepts their job is lost
 * or late although it took effect. */
START_TEST(test_late_transaction_is_looked_up)
{
	struct cell cell;
	gint64 begin_ms;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	cell.kv.txn_delay_ms = 1000;
	begin_ms = net_now_ms();
	ck_assert_uint_eq(submit(&cell, 0, "/b/l1"), 200);
	ck_assert_int_lt(net_now_ms() - begin_ms, 1000);
	cell.kv.lose_txns = 1;
	ck_assert_uint_eq(submit(&cell, 1, "/b/l2"), 200);
	wait_state(&cell, 0, "/b/l1", RP__JOB_STATE__JOB_STATE_DONE);
	wait_state(&cell, 1, "/b/l2", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 8);
	teardown(&cell);
}
END_TEST

/* Guards against a job that is reported as accepted although its transaction
 * never took effect, since the late answer to an earlier transaction, whose
 * outcome was looked up, is taken as that to this one. */
START_TEST(test_late_answer_to_earlier_transaction)
{
	struct cell cell;
	int leader;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	leader = leading_entry(&cell);
	cell.kv.txn_delay_ms = 1000;
	ck_assert_uint_eq(submit(&cell, leader, "/b/l3"), 200);
	cell.kv.down = TRUE;
	begin_submit(&cell, leader, "/b/l4");
	run_loop_ms(&cell, 1800);
	ck_assert(!cell.answered || cell.status != 200);
	cell.kv.down = FALSE;
	cell.kv.txn_delay_ms = 0;
	wait_state(&cell, leader, "/b/l3", RP__JOB_STATE__JOB_STATE_DONE);
	teardown(&cell);
}
END_TEST

/* Replaces the entries by a small and a large one, of which the second starts
 * later. */
static void setup_unequal(struct cell *cell, int second, gint64 delay_ms)
{
	static const guint cpu_milli[ENTRIES] = { 120, 500 };
	int first = 1 - second;
	int i;

	setup(cell);
	for (i = 0; i < ENTRIES; i++)
		cell_entry_free(cell->entries[i]);
	cell->entries[second] = NULL;
	cell->entries[first] = entry_new_sized(cell, first, cpu_milli[first]);
	run_loop_ms(cell, (int)delay_ms);
	cell->entries[second] = entry_new_sized(cell, second,
						cpu_milli[second]);
}

/* Guards against a pool that is led by a small entry although a larger one
 * seeks to lead at the same time. */
START_TEST(test_larger_entry_is_elected)
{
	struct cell cell;

	setup_unequal(&cell, 1, 20);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_int_eq(leading_entry(&cell), 1);
	teardown(&cell);
}
END_TEST

/*
 * Guards against a small leader that stays when a larger entry joins, and
 * around the hand-over: against an order that is carried out twice, a job that
 * is lost, and a caller that is refused or left without an answer.
 */
START_TEST(test_small_leader_hands_over)
{
	struct cell cell;
	guint calls = 0;

	setup_unequal(&cell, 1, 1500);
	ck_assert_int_eq(leading_entry(&cell), 0);
	while (leading_entry(&cell) != 1) {
		g_autofree char *path = g_strdup_printf("/b/h%u", calls);

		ck_assert_uint_eq(submit(&cell, 0, path), 200);
		ck_assert_uint_lt(++calls, 500);
	}
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	while (calls--) {
		g_autofree char *path = g_strdup_printf("/b/h%u", calls);

		wait_state(&cell, 0, path, RP__JOB_STATE__JOB_STATE_DONE);
		cell.jobs_done++;
	}
	ck_assert_uint_eq(cell.starts, 4 * cell.jobs_done);
	/* It stays with the larger one. */
	run_loop_ms(&cell, 3000);
	ck_assert_int_eq(leading_entry(&cell), 1);
	teardown(&cell);
}
END_TEST

/* Guards against a caller that is told nothing certain about its job when the
 * leader ends with the submission unanswered, and against the job running
 * twice: the next leader knows the outcome by the job's id. */
START_TEST(test_submission_survives_leader)
{
	struct cell cell;
	int leader;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	leader = leading_entry(&cell);
	/* The transaction takes effect, but the leader does not learn of it. */
	cell.kv.lose_txns = 1;
	begin_submit(&cell, 1 - leader, "/b/s1");
	while (cell.kv.lose_txns)
		run_loop_ms(&cell, 5);
	cell_entry_free(cell.entries[leader]);
	cell.entries[leader] = NULL;
	ck_assert_uint_eq(wait_reply(&cell), 200);
	wait_state(&cell, 1 - leader, "/b/s1", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against a leader that ends, or that uses freed memory, when a process
 * registers at another address while it is still connected, or with a value
 * that cannot be read. */
START_TEST(test_registered_address_changes)
{
	g_autofree char *address = NULL;
	struct cell cell;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	/* The leader is connected to the agent then. */
	ck_assert_uint_eq(submit(&cell, 0, "/b/m0"), 200);
	wait_state(&cell, 0, "/b/m0", RP__JOB_STATE__JOB_STATE_DONE);
	address = address_of(&cell, "vm1");
	set_address(&cell, "vm1", "agent", "127.0.0.1:1");
	run_loop_ms(&cell, 200);
	set_address(&cell, "vm1", "agent", "not an address");
	set_address(&cell, "vm1", "nothing", "");
	run_loop_ms(&cell, 200);
	set_address(&cell, "vm1", "agent", address);
	ck_assert_uint_eq(submit(&cell, 0, "/b/m1"), 200);
	wait_state(&cell, 0, "/b/m1", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 8);
	teardown(&cell);
}
END_TEST

/* Sends bytes to the process, with the connection left open. */
static evutil_socket_t send_bytes(const struct cell *cell, const char *name,
				  const void *bytes, size_t len)
{
	g_autofree char *address = address_of(cell, name);
	struct sockaddr_storage addr;
	int addr_len = sizeof(addr);
	evutil_socket_t fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(evutil_parse_sockaddr_port(
				 address, (struct sockaddr *)&addr, &addr_len),
			 0);
	ck_assert_int_eq(
		connect(fd, (struct sockaddr *)&addr, (socklen_t)addr_len), 0);
	ck_assert_int_eq(send(fd, bytes, len, 0), (int)len);
	return fd;
}

/* Guards against a process that ends, or that loses its leader, because of
 * bytes that are not a frame, a frame of no known size, or one cut short. */
START_TEST(test_malformed_frames)
{
	static const struct {
		char bytes[8];
		size_t len;
	} cases[] = {
		{ { 'G', 'E', 'T', ' ', '/', '\r', '\n', 0 }, 7 },
		{ { -1, -1, -1, -1, -1, -1, -1, -1 }, 8 },
		{ { 0, 0, 0, 4, -1, -1, -1, -1 }, 8 },
		{ { 0, 0, 0, 100, 1 }, 5 },
		{ { 0 }, 8 },
	};
	static const char *const names[] = { "entry0", "entry1", "vm1" };
	evutil_socket_t fds[G_N_ELEMENTS(names) * G_N_ELEMENTS(cases)];
	struct cell cell;
	size_t n = 0;
	size_t i;
	size_t k;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	for (i = 0; i < G_N_ELEMENTS(names); i++)
		for (k = 0; k < G_N_ELEMENTS(cases); k++)
			fds[n++] = send_bytes(&cell, names[i], cases[k].bytes,
					      cases[k].len);
	run_loop_ms(&cell, 200);
	ck_assert_uint_eq(submit(&cell, 0, "/b/m2"), 200);
	ck_assert_uint_eq(submit(&cell, 1, "/b/m3"), 200);
	wait_state(&cell, 0, "/b/m2", RP__JOB_STATE__JOB_STATE_DONE);
	wait_state(&cell, 1, "/b/m3", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 8);
	while (n--)
		evutil_closesocket(fds[n]);
	teardown(&cell);
}
END_TEST

/* Guards against a start that waits in the agent while the worker does not
 * answer, and runs beside its next attempt when the worker answers again. */
START_TEST(test_given_up_start_is_never_sent)
{
	struct cell cell;
	guint i;
	guint k;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	cell.unresponsive = TRUE;
	ck_assert_uint_eq(submit(&cell, 0, "/b/a8"), 200);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a9"), 200);
	/* Longer than any lease of a worker that the leader has just seen. */
	run_loop_ms(&cell, 13000);
	cell.unresponsive = FALSE;
	wait_state(&cell, 0, "/b/a8", RP__JOB_STATE__JOB_STATE_DONE);
	wait_state(&cell, 0, "/b/a9", RP__JOB_STATE__JOB_STATE_DONE);
	for (i = 0; i < cell.runs->len; i++)
		for (k = 0; k < i; k++)
			ck_assert_str_ne(
				g_array_index(cell.runs, struct run, i).task,
				g_array_index(cell.runs, struct run, k).task);
	ck_assert_uint_eq(cell.starts, 8);
	teardown(&cell);
}
END_TEST

/* Guards against a leader that answers by old tables, for example with 404 for
 * a route that was added, since it hears nothing of their changes while it is
 * in contact with the store. */
START_TEST(test_tables_of_unknown_age)
{
	g_autoptr(GBytes) tables = g_bytes_new_static("bc", 2);
	struct cell cell;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/c/a1"), 404);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a1"), 200);
	cell.kv.watches_silent_ms = net_now_ms();
	fake_put(&cell.kv, TABLES_KEY, tables, 0);
	run_loop_ms(&cell, TABLES_IN_FORCE_MS);
	ck_assert_uint_eq(submit(&cell, 0, "/c/a2"), 503);
	ck_assert_uint_eq(submit(&cell, 1, "/c/a2"), 503);
	ck_assert_uint_eq(make_call(&cell, 0, RP__STEP_VERB__STEP_VERB_STATE,
				    "/b/a1", NULL),
			  200);
	cell.kv.watches_silent_ms = 0;
	fake_put(&cell.kv, TABLES_KEY, tables, 0);
	run_loop_ms(&cell, 100);
	ck_assert_uint_eq(submit(&cell, 0, "/c/a2"), 200);
	wait_state(&cell, 1, "/c/a2", RP__JOB_STATE__JOB_STATE_DONE);
	teardown(&cell);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell");
	TCase *tcase = tcase_create("cell");

	fixture_drop_logs();
	tcase_add_test(tcase, test_job_through_either_entry);
	tcase_add_test(tcase, test_transactions_without_answer);
	tcase_add_test(tcase, test_leader_key_removed);
	tcase_add_test(tcase, test_leader_resigns);
	tcase_add_test(tcase, test_key_of_an_earlier_process);
	tcase_add_test(tcase, test_leader_is_killed);
	tcase_add_test(tcase, test_store_unavailable);
	tcase_add_test(tcase, test_retry_after_without_leader);
	tcase_add_test(tcase, test_late_transaction_is_looked_up);
	tcase_add_test(tcase, test_late_answer_to_earlier_transaction);
	tcase_add_test(tcase, test_larger_entry_is_elected);
	tcase_add_test(tcase, test_small_leader_hands_over);
	tcase_add_test(tcase, test_submission_survives_leader);
	tcase_add_test(tcase, test_registered_address_changes);
	tcase_add_test(tcase, test_malformed_frames);
	tcase_add_test(tcase, test_given_up_start_is_never_sent);
	tcase_add_test(tcase, test_tables_of_unknown_age);
	/* Seconds. */
	tcase_set_timeout(tcase, 60);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
