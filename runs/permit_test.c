#include "agent_test.h"

/* Permission to start runs; see permit.c. The worker's clock shows 5000 at each
 * answer, and the reading of setup() was requested at 1000. */

/* Orders of the leader, which limits starts, with the start of one run. */
static void send_orders_to(struct agent *a, guint64 worker_started_ms,
			   gboolean with_start, gint64 starts_until_ms,
			   gboolean evacuated)
{
	struct Rp__VmOrders body;
	struct Rp__RunStart start;
	struct Rp__RunStart *starts[] = { &start };
	struct Rp__RunName name;
	struct runs_event ev = { .kind = RUNS_EVENT_ORDERS, .orders = &body };

	rp__vm_orders__init(&body);
	rp__run_start__init(&start);
	rp__run_name__init(&name);
	name.task = (char *)"j.0.0.0";
	name.attempt = 1;
	start.run = &name;
	body.fence = 5;
	body.worker_id = (char *)"w1";
	body.worker_born_ms = worker_started_ms;
	body.lease_until_ms = 12000;
	body.starts_limited = TRUE;
	body.starts_until_ms = starts_until_ms;
	body.evacuated = evacuated;
	body.n_starts = with_start;
	body.starts = starts;
	reduce(a, &ev);
}

static void send_orders(struct agent *a, gboolean with_start,
			gint64 starts_until_ms, gboolean evacuated)
{
	send_orders_to(a, 100, with_start, starts_until_ms, evacuated);
}

/* The renewal in flight is answered; the worker lists no runs. */
static void answer_renewal(struct agent *a)
{
	guint64 id = call(a, RUNS_CALL_RENEW_LEASE)
			     ? call(a, RUNS_CALL_RENEW_LEASE)->id
			     : a->renewal;

	answer_call(a, id, RUNS_OK, NULL, 100);
}

/* Guards against a start that is sent without a permission, or after its end
 * by the latest possible reading of the worker's clock. */
START_TEST(test_start_needs_permission)
{
	struct agent a;

	setup(&a);
	clear_effects(&a);
	/* Now the clock shows at most 5200. */
	send_orders(&a, TRUE, 0, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	send_orders(&a, FALSE, 5199, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	send_orders(&a, FALSE, 5200, FALSE);
	ck_assert_ptr_nonnull(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

/* Guards against a lost order: one that waits for the permission is sent when
 * later orders extend it, and not reported as failed. */
START_TEST(test_waiting_start_keeps_its_position)
{
	struct agent a;

	setup(&a);
	clear_effects(&a);
	send_orders(&a, TRUE, 5000, FALSE);
	tick(&a, 300);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	ck_assert_ptr_null(reported_start(&a));
	send_orders(&a, FALSE, 7000, FALSE);
	ck_assert_ptr_nonnull(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

/* Guards against a repeated start after the end of the permission: the first
 * call may be lost, and a repeat is a start in the evacuated zone. */
START_TEST(test_repeated_start_needs_permission)
{
	struct agent a;
	guint64 start;

	setup(&a);
	send_orders(&a, TRUE, 5300, FALSE);
	start = call(&a, RUNS_CALL_START)->id;
	tick(&a, 350);
	answer_call(&a, start, RUNS_NO_ANSWER, NULL, 0);
	tick(&a, 100);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	send_orders(&a, FALSE, 8000, FALSE);
	ck_assert_ptr_nonnull(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

/* Guards against a start in an evacuated zone under a permission that an
 * earlier set of zones gave, and against a task that stays there: the start is
 * withdrawn by a stop, and reported as evacuated. */
START_TEST(test_evacuated_start_is_withdrawn)
{
	struct agent a;
	guint64 stop;

	setup(&a);
	clear_effects(&a);
	send_orders(&a, TRUE, 5000, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	send_orders(&a, FALSE, 9000, TRUE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	ck_assert_ptr_nonnull(call(&a, RUNS_CALL_STOP));
	stop = call(&a, RUNS_CALL_STOP)->id;
	answer_renewal(&a);
	answer_call(&a, stop, RUNS_OK, NULL, 100);
	tick(&a, 200);
	answer_renewal(&a);
	ck_assert_ptr_nonnull(reported_start(&a));
	ck_assert(!reported_start(&a)->started);
	ck_assert_str_eq(reported_start(&a)->reason, "evacuated");
	/* The withdrawn run is not started when the zone is returned. */
	send_orders(&a, TRUE, 9000, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

/* Guards against an order that a new leader repeats in an evacuated zone. */
START_TEST(test_order_with_evacuation_is_not_started)
{
	struct agent a;

	setup(&a);
	clear_effects(&a);
	send_orders(&a, TRUE, 9000, TRUE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	ck_assert_ptr_nonnull(call(&a, RUNS_CALL_STOP));
	teardown(&a);
}
END_TEST

/* Guards against the stop of a run that goes on in the evacuated zone: a start
 * without an answer may have taken effect, so later run lists decide. */
START_TEST(test_unanswered_start_may_run_on)
{
	struct agent a;
	guint64 start;

	setup(&a);
	clear_effects(&a);
	send_orders(&a, TRUE, 9000, FALSE);
	start = call(&a, RUNS_CALL_START)->id;
	send_orders(&a, FALSE, 9000, TRUE);
	answer_call(&a, start, RUNS_NO_ANSWER, NULL, 0);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	ck_assert_ptr_null(call(&a, RUNS_CALL_STOP));
	/* The renewal that was in flight may be older than the start. */
	answer_renewal(&a);
	ck_assert_ptr_null(call(&a, RUNS_CALL_STOP));
	tick(&a, 200);
	answer_renewal(&a);
	ck_assert_ptr_nonnull(call(&a, RUNS_CALL_STOP));
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

/* Guards against a permission that outlives its session or the worker's
 * incarnation, whose clock it refers to. */
START_TEST(test_permission_ends_with_session_and_incarnation)
{
	struct agent a;

	setup(&a);
	send_orders(&a, FALSE, 90000, FALSE);
	connect_leader(&a, 5);
	answer_renewal(&a);
	send_orders(&a, TRUE, 0, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	teardown(&a);

	setup(&a);
	send_orders(&a, FALSE, 90000, FALSE);
	send_worker_info(&a, 300, FALSE);
	answer_call(&a, call(&a, RUNS_CALL_RENEW_LEASE)->id, RUNS_OK, NULL,
		    300);
	send_orders_to(&a, 300, TRUE, 0, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	send_orders_to(&a, 300, FALSE, 9000, FALSE);
	ck_assert_ptr_nonnull(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

/* Guards against a change for deployments without evacuations, and under
 * leaders of earlier versions: their orders need no permission. */
START_TEST(test_unlimited_starts_need_no_permission)
{
	struct agent a;

	setup(&a);
	clear_effects(&a);
	send_order(&a, 5, 100, FALSE);
	ck_assert_ptr_nonnull(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("permit");
	TCase *tcase = tcase_create("permit");

	tcase_add_test(tcase, test_start_needs_permission);
	tcase_add_test(tcase, test_waiting_start_keeps_its_position);
	tcase_add_test(tcase, test_repeated_start_needs_permission);
	tcase_add_test(tcase, test_evacuated_start_is_withdrawn);
	tcase_add_test(tcase, test_order_with_evacuation_is_not_started);
	tcase_add_test(tcase, test_unanswered_start_may_run_on);
	tcase_add_test(tcase,
		       test_permission_ends_with_session_and_incarnation);
	tcase_add_test(tcase, test_unlimited_starts_need_no_permission);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
