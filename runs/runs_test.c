#include "agent_test.h"

/*
 * Guards against two runs of a task at a time: a start call without answer may
 * still take effect, so the run must be stopped, and shown by later lists not
 * to run, before it is reported as not started.
 */
START_TEST(test_unanswered_start_is_stopped)
{
	struct agent a;
	struct runs_call *c;
	guint i;

	setup(&a);
	send_order(&a, 5, 100, FALSE);
	for (i = 0; i < 3; i++) {
		c = call(&a, RUNS_CALL_START);
		ck_assert_ptr_nonnull(c);
		ck_assert_int_eq(c->lease_until_ms, 12000);
		answer_call(&a, c->id, RUNS_NO_ANSWER, NULL, 0);
		ck_assert_ptr_null(reported_start(&a));
	}
	c = call(&a, RUNS_CALL_STOP);
	ck_assert_ptr_nonnull(c);
	answer_call(&a, c->id, RUNS_OK, NULL, 0);
	ck_assert_ptr_null(reported_start(&a));
	/* The renewal in flight was sent before the stop, so its lists do not
	 * count; those of a later renewal do. */
	tick(&a, 600);
	for (i = 0; i < 3 && !reported_start(&a); i++) {
		clear_effects(&a);
		answer_call(&a, a.renewal, RUNS_OK, NULL, 100);
		if (!reported_start(&a))
			tick(&a, 200);
	}
	ck_assert_ptr_nonnull(reported_start(&a));
	ck_assert(!reported_start(&a)->started);
	teardown(&a);
}
END_TEST

/* Guards against a run that starts after it was reported as not started: the
 * leader may have sent the order again before the report arrived. */
START_TEST(test_refused_start_is_never_sent_again)
{
	struct agent a;
	struct runs_call *c;

	setup(&a);
	send_order(&a, 5, 100, FALSE);
	c = call(&a, RUNS_CALL_START);
	answer_call(&a, c->id, RUNS_REFUSED, "late", 0);
	ck_assert_str_eq(reported_start(&a)->reason, "late");
	clear_effects(&a);
	send_order(&a, 5, 100, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	ck_assert(!reported_start(&a)->started);
	teardown(&a);
}
END_TEST

/*
 * Guards against orders that reach the wrong incarnation: a worker that did not
 * answer may have been replaced, so no lease, acknowledgement of end records or
 * start may be sent until its incarnation is verified.
 */
START_TEST(test_unverified_incarnation_gets_no_lease_or_start)
{
	struct agent a;
	struct runs_call *c;

	setup(&a);
	/* Also grants a lease and acknowledges end records. */
	send_order(&a, 5, 100, TRUE);
	clear_effects(&a);
	answer_call(&a, a.renewal, RUNS_NO_ANSWER, NULL, 0);
	tick(&a, 200);
	c = call(&a, RUNS_CALL_RENEW_LEASE);
	ck_assert_ptr_nonnull(c);
	ck_assert_int_eq(c->lease_until_ms, 0);
	ck_assert_uint_eq(c->acked_through, 0);
	send_order(&a, 5, 100, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

/* Guards against a lease that lapses because a worker answers only some calls
 * and renewals are repeated too seldom. */
START_TEST(test_failed_renewals_are_repeated_often)
{
	struct agent a;
	guint repeats = 0;
	gint64 end_ms;

	setup(&a);
	clear_effects(&a);
	answer_call(&a, a.renewal, RUNS_NO_ANSWER, NULL, 0);
	end_ms = a.now_ms + 7000;
	while (a.now_ms < end_ms) {
		struct runs_call *c;

		clear_effects(&a);
		tick(&a, 100);
		c = call(&a, RUNS_CALL_RENEW_LEASE);
		if (!c)
			continue;
		repeats++;
		ck_assert_int_eq(c->wait_ms, 0);
		a.now_ms += c->timeout_ms;
		answer_call(&a, c->id, RUNS_NO_ANSWER, NULL, 0);
	}
	ck_assert_uint_ge(repeats, 12);
	teardown(&a);
}
END_TEST

/* Guards against a worker that answers all calls after 400 ms and loses its
 * lease after a single lost answer. */
START_TEST(test_slow_worker_keeps_its_lease_after_a_lost_answer)
{
	struct agent a;
	guint answered = 0;
	gint64 end_ms;

	setup(&a);
	clear_effects(&a);
	answer_call(&a, a.renewal, RUNS_NO_ANSWER, NULL, 0);
	end_ms = a.now_ms + 7000;
	while (a.now_ms < end_ms) {
		gint64 answer_ms;
		struct runs_call *c;

		clear_effects(&a);
		tick(&a, 100);
		c = call(&a, RUNS_CALL_RENEW_LEASE);
		if (!c)
			continue;
		answer_ms = c->wait_ms + 400;
		if (answer_ms < c->timeout_ms) {
			a.now_ms += answer_ms;
			answered++;
			answer_call(&a, c->id, RUNS_OK, NULL, 100);
		} else {
			a.now_ms += c->timeout_ms;
			answer_call(&a, c->id, RUNS_NO_ANSWER, NULL, 0);
		}
	}
	ck_assert_uint_ge(answered, 1);
	teardown(&a);
}
END_TEST

static void deregister(struct agent *a, guint64 worker_started_ms)
{
	struct runs_event ev = { .kind = RUNS_EVENT_WORKER_DEREGISTERED,
				 .worker_id = "w1",
				 .worker_started_ms = worker_started_ms };

	reduce(a, &ev);
}

/* Guards against a second run of a task while a worker that has deregistered
 * still runs the first: without an acknowledgement it ends seconds later. */
START_TEST(test_deregistered_worker_may_still_run)
{
	struct agent a;

	setup(&a);
	clear_effects(&a);
	deregister(&a, 0);
	ck_assert(!runs_worker_info(a.runs)->gone);
	ck_assert(runs_worker_info(a.runs)->draining);
	/* Not answering proves nothing. */
	answer_call(&a, a.renewal, RUNS_NO_ANSWER, NULL, 0);
	ck_assert(!runs_worker_info(a.runs)->gone);
	tick(&a, 200);
	clear_effects(&a);
	answer_call(&a, a.renewal, RUNS_NO_PROCESS, NULL, 0);
	ck_assert(runs_worker_info(a.runs)->gone);
	teardown(&a);
}
END_TEST

/* Guards against a worker that is given up for good, since a late
 * deregistration of its previous incarnation names the same id. */
START_TEST(test_late_deregistration_spares_the_next_incarnation)
{
	struct agent a;

	setup(&a);
	clear_effects(&a);
	send_worker_info(&a, 200, FALSE);
	answer_call(&a, call(&a, RUNS_CALL_RENEW_LEASE)->id, RUNS_OK, NULL,
		    200);
	deregister(&a, 100);
	ck_assert(!runs_worker_info(a.runs)->draining);
	/* Also sent by incarnation 100, but it does not say so. */
	deregister(&a, 0);
	ck_assert(runs_worker_info(a.runs)->draining);
	tick(&a, 1000);
	clear_effects(&a);
	/* Incarnation 200 goes on. */
	send_worker_info(&a, 200, FALSE);
	ck_assert(!runs_worker_info(a.runs)->draining);
	ck_assert(!runs_worker_info(a.runs)->gone);
	answer_call(&a, a.renewal, RUNS_OK, NULL, 200);
	tick(&a, 1000);
	ck_assert_ptr_nonnull(call(&a, RUNS_CALL_RENEW_LEASE));
	teardown(&a);
}
END_TEST

static void grant_lease(struct agent *a, guint64 fencing_token,
			gint64 lease_until_ms)
{
	struct Rp__VmOrders body;
	struct runs_event ev = { .kind = RUNS_EVENT_ORDERS, .orders = &body };

	rp__vm_orders__init(&body);
	body.fence = fencing_token;
	body.worker_id = (char *)"w1";
	body.worker_born_ms = 100;
	body.lease_until_ms = lease_until_ms;
	reduce(a, &ev);
}

/* The lease in the last report, or -1. */
static gint64 reported_lease(struct agent *a)
{
	guint i;

	for (i = a->effects->len; i-- > 0;) {
		struct runs_effect *e = &g_array_index(a->effects,
						       struct runs_effect, i);

		if (e->kind == RUNS_EFFECT_REPORT)
			return e->frame->vm_report->lease_until_ms;
	}
	return -1;
}

/* Guards against a lease of the previous leader that the
 * agent sends after it told the new leader of shorter ones only. */
START_TEST(test_account_of_leases_includes_the_unsent_one)
{
	struct agent a;
	struct runs_call *c;
	gint64 reported;

	setup(&a);
	clear_effects(&a);
	grant_lease(&a, 5, 8000);
	answer_call(&a, a.renewal, RUNS_OK, NULL, 100);
	tick(&a, 200);
	c = call(&a, RUNS_CALL_RENEW_LEASE);
	ck_assert_ptr_nonnull(c);
	ck_assert_int_eq(c->lease_until_ms, 8000);
	clear_effects(&a);
	/* Granted while that renewal, which is lost, is in flight. */
	grant_lease(&a, 5, 12000);
	answer_call(&a, a.renewal, RUNS_NO_ANSWER, NULL, 0);
	clear_effects(&a);
	connect_leader(&a, 6);
	reported = reported_lease(&a);
	ck_assert_int_ge(reported, 8000);
	answer_call(&a, call(&a, RUNS_CALL_RENEW_LEASE)->id, RUNS_OK, NULL,
		    100);
	tick(&a, 200);
	/* The leader has granted nothing yet. */
	c = call(&a, RUNS_CALL_RENEW_LEASE);
	ck_assert_ptr_nonnull(c);
	ck_assert_int_le(c->lease_until_ms, reported);
	teardown(&a);
}
END_TEST

/* Guards against a run that is reported as not started
 * although it has ended: a worker lists at most 500 ends at a time. */
START_TEST(test_truncated_list_of_ends_proves_nothing)
{
	static struct Rp__RunEnd ends[500];
	static struct Rp__RunName names[500];
	static struct Rp__RunEnd *list[500];
	struct agent a;
	struct runs_call *c;
	guint i;

	for (i = 0; i < 500; i++) {
		rp__run_end__init(&ends[i]);
		rp__run_name__init(&names[i]);
		names[i].task = (char *)"other.0.0.0";
		names[i].attempt = i + 1;
		ends[i].run = &names[i];
		ends[i].number = i + 1;
		ends[i].kind = RP__RUN_END_KIND__RUN_END_DONE;
		list[i] = &ends[i];
	}
	setup(&a);
	send_order(&a, 5, 100, FALSE);
	for (i = 0; i < 3; i++) {
		c = call(&a, RUNS_CALL_START);
		ck_assert_ptr_nonnull(c);
		answer_call(&a, c->id, RUNS_NO_ANSWER, NULL, 0);
	}
	c = call(&a, RUNS_CALL_STOP);
	ck_assert_ptr_nonnull(c);
	answer_call(&a, c->id, RUNS_OK, NULL, 0);
	tick(&a, 600);
	for (i = 0; i < 4; i++) {
		struct runs_answer answer = {
			.outcome = RUNS_OK,
			.clock_ms = 5000,
			.worker_started_ms = 100,
			.ended = list,
			.n_ended = 500,
		};
		struct runs_event ev = { .kind = RUNS_EVENT_ANSWER,
					 .answer = &answer };

		clear_effects(&a);
		answer.call_id = a.renewal;
		reduce(&a, &ev);
		/* Its end may be the 501st. */
		ck_assert_ptr_null(reported_start(&a));
		tick(&a, 200);
		ck_assert_ptr_null(reported_start(&a));
	}
	teardown(&a);
}
END_TEST

/* Guards against a start on a new incarnation of the worker by an agent that
 * was paused while the worker restarted. */
START_TEST(test_paused_agent_verifies_the_incarnation)
{
	struct agent a;

	setup(&a);
	clear_effects(&a);
	a.now_ms += 10000;
	send_order(&a, 5, 100, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	/* The renewal that was in flight was sent before the pause. */
	answer_call(&a, a.renewal, RUNS_OK, NULL, 100);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	tick(&a, 200);
	clear_effects(&a);
	answer_call(&a, a.renewal, RUNS_OK, NULL, 100);
	ck_assert_ptr_nonnull(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

/* Guards against a start on a draining worker. The run is stopped instead,
 * since an earlier agent process may have sent the start. */
START_TEST(test_draining_worker_starts_nothing)
{
	struct agent a;

	setup(&a);
	send_worker_info(&a, 100, TRUE);
	send_order(&a, 5, 100, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	ck_assert_ptr_nonnull(call(&a, RUNS_CALL_STOP));
	teardown(&a);
}
END_TEST

/* Guards against orders of a leader that was replaced: its fencing token is
 * lower than that of its successor. */
START_TEST(test_lower_fencing_token_is_refused)
{
	struct agent a;

	setup(&a);
	connect_leader(&a, 9);
	ck_assert(!runs_accepts_leader(a.runs, 5));
	answer_call(&a, call(&a, RUNS_CALL_RENEW_LEASE)->id, RUNS_OK, NULL,
		    100);
	clear_effects(&a);
	send_order(&a, 5, 100, FALSE);
	tick(&a, 200);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

/* Guards against orders for an earlier incarnation of the worker, whose lease
 * and runs ended with it. */
START_TEST(test_orders_for_another_incarnation_are_dropped)
{
	struct agent a;

	setup(&a);
	send_order(&a, 5, 99, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

/** A latency-sensitive task and two best-effort tasks, of which the first
 * interferes a lot with it and the second a little. */
static const char *const colocated_tasks[] = { "s.0.0.0", "h.0.0.0",
					       "l.0.0.0" };
static const char *const colocated_images[] = { "web", "heavy", "light" };

#define TARGET_MS 100
#define CPU_MILLI 6000

/* Sends orders to start the three tasks, with the coefficients of the two image
 * pairs. */
static void order_colocated_tasks(struct agent *a, double heavy, double light)
{
	struct Rp__VmOrders body;
	struct Rp__RunStart start[G_N_ELEMENTS(colocated_tasks)];
	struct Rp__RunStart *starts[G_N_ELEMENTS(colocated_tasks)];
	struct Rp__RunName names[G_N_ELEMENTS(colocated_tasks)];
	struct Rp__ImagePair pair[2];
	struct Rp__ImagePair *pairs[] = { &pair[0], &pair[1] };
	struct runs_event ev = { .kind = RUNS_EVENT_ORDERS, .orders = &body };
	guint i;

	rp__vm_orders__init(&body);
	body.fence = 5;
	body.worker_id = (char *)"w1";
	body.worker_born_ms = 100;
	body.lease_until_ms = 12000;
	body.starts = starts;
	body.n_starts = G_N_ELEMENTS(colocated_tasks);
	for (i = 0; i < G_N_ELEMENTS(colocated_tasks); i++) {
		rp__run_start__init(&start[i]);
		rp__run_name__init(&names[i]);
		names[i].task = (char *)colocated_tasks[i];
		names[i].attempt = 1;
		start[i].run = &names[i];
		start[i].image = (char *)colocated_images[i];
		start[i].fills = i > 0;
		start[i].target_ms = i ? 0 : TARGET_MS;
		start[i].cpu_milli = CPU_MILLI;
		starts[i] = &start[i];
	}
	for (i = 0; i < G_N_ELEMENTS(pair); i++) {
		rp__image_pair__init(&pair[i]);
		pair[i].serving = (char *)colocated_images[0];
		pair[i].filling = (char *)colocated_images[i + 1];
		pair[i].slope = i ? light : heavy;
	}
	body.pairs = pairs;
	body.n_pairs = G_N_ELEMENTS(pair);
	reduce(a, &ev);
}

/* Records the CPU share sent for each task, in percent, and answers the calls.
 */
static void answer_shares(struct agent *a, guint *percent)
{
	guint64 ids[G_N_ELEMENTS(colocated_tasks)];
	guint n = 0;
	guint i;
	guint k;

	for (i = 0; i < a->effects->len; i++) {
		struct runs_effect *e = &g_array_index(a->effects,
						       struct runs_effect, i);

		if (e->kind != RUNS_EFFECT_CALL ||
		    e->call->kind != RUNS_CALL_SET_CPU_SHARE)
			continue;
		for (k = 0; k < G_N_ELEMENTS(colocated_tasks); k++)
			if (!strcmp(e->call->task, colocated_tasks[k]))
				percent[k] = e->call->cpu_share_percent;
		ck_assert_uint_lt(n, G_N_ELEMENTS(ids));
		ids[n++] = e->call->id;
	}
	for (i = 0; i < n; i++)
		answer_call(a, ids[i], RUNS_OK, NULL, 100);
}

/* Answers the lease renewal with lists in which all three tasks run, and the
 * calls that this causes. */
static void answer_lists(struct agent *a, guint latency_ms, guint *percent)
{
	struct Rp__RunRow row[G_N_ELEMENTS(colocated_tasks)];
	struct Rp__RunRow *rows[G_N_ELEMENTS(colocated_tasks)];
	struct Rp__RunName names[G_N_ELEMENTS(colocated_tasks)];
	struct runs_answer answer = {
		.outcome = RUNS_OK,
		.clock_ms = 5000 + a->now_ms,
		.worker_started_ms = 100,
		.running = rows,
		.n_running = G_N_ELEMENTS(rows),
	};
	struct runs_event ev = { .kind = RUNS_EVENT_ANSWER, .answer = &answer };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		rp__run_row__init(&row[i]);
		rp__run_name__init(&names[i]);
		names[i].task = (char *)colocated_tasks[i];
		names[i].attempt = 1;
		row[i].run = &names[i];
		row[i].percent = i ? 10 : 100;
		row[i].figure = i ? CPU_MILLI : latency_ms;
		rows[i] = &row[i];
	}
	tick(a, 500);
	clear_effects(a);
	answer.call_id = a->renewal;
	reduce(a, &ev);
	answer_shares(a, percent);
}

/*
 * Guards against all best-effort tasks being throttled alike when one image
 * causes most of the interference: that takes more CPU from best-effort tasks
 * than throttling the image with the highest coefficient first.
 */
START_TEST(test_highest_coefficient_is_throttled_first)
{
	guint percent[] = { 100, 100, 100 };
	struct agent a;

	setup(&a);
	order_colocated_tasks(&a, 0.1, 0.01);
	/* 118 = 40 / (1 - 0.66): a baseline of 0.4 of the target, and the
	 * predicted interference of 6 x 0.1 + 6 x 0.01. */
	answer_lists(&a, 118, percent);
	ck_assert_uint_lt(percent[1], 90);
	ck_assert_uint_gt(percent[1], 20);
	ck_assert_uint_eq(percent[2], 100);
	teardown(&a);
}
END_TEST

/* Guards against a latency-sensitive task that stays over its target because
 * coefficients that are too low predict headroom: best-effort tasks must be
 * throttled further while it is over the target. */
START_TEST(test_throttles_more_while_over_target)
{
	guint percent[] = { 100, 100, 100 };
	struct agent a;
	guint first;

	setup(&a);
	order_colocated_tasks(&a, 0.1, 0.01);
	answer_lists(&a, 40, percent);
	answer_lists(&a, 130, percent);
	first = percent[1];
	ck_assert_uint_lt(first, 90);
	answer_lists(&a, 130, percent);
	answer_lists(&a, 130, percent);
	ck_assert_uint_lt(percent[1], first / 2);
	teardown(&a);
}
END_TEST

/*
 * Guards against a latency-sensitive task that stays over its target because
 * its interference is attributed to the wrong image: its latency does not fall
 * when that image is throttled to nothing, so all images must be throttled, and
 * only until the latency is below the target again.
 */
START_TEST(test_wrong_attribution_throttles_all)
{
	guint percent[] = { 100, 100, 100 };
	struct agent a;
	guint i;

	setup(&a);
	order_colocated_tasks(&a, 0.03, 0.001);
	answer_lists(&a, 40, percent);
	for (i = 0; i < 5; i++)
		answer_lists(&a, 140, percent);
	/* The task has been over its target for 2.5 s. */
	ck_assert_uint_lt(percent[1], 10);
	ck_assert_uint_lt(percent[2], 10);
	for (i = 0; i < 12; i++)
		answer_lists(&a, 30, percent);
	ck_assert_uint_gt(percent[2], 90);
	teardown(&a);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("runs");
	TCase *tcase = tcase_create("runs");

	tcase_add_test(tcase, test_unanswered_start_is_stopped);
	tcase_add_test(tcase, test_refused_start_is_never_sent_again);
	tcase_add_test(tcase,
		       test_unverified_incarnation_gets_no_lease_or_start);
	tcase_add_test(tcase, test_failed_renewals_are_repeated_often);
	tcase_add_test(tcase,
		       test_slow_worker_keeps_its_lease_after_a_lost_answer);
	tcase_add_test(tcase, test_deregistered_worker_may_still_run);
	tcase_add_test(tcase,
		       test_late_deregistration_spares_the_next_incarnation);
	tcase_add_test(tcase, test_account_of_leases_includes_the_unsent_one);
	tcase_add_test(tcase, test_truncated_list_of_ends_proves_nothing);
	tcase_add_test(tcase, test_paused_agent_verifies_the_incarnation);
	tcase_add_test(tcase, test_draining_worker_starts_nothing);
	tcase_add_test(tcase, test_lower_fencing_token_is_refused);
	tcase_add_test(tcase, test_orders_for_another_incarnation_are_dropped);
	tcase_add_test(tcase, test_highest_coefficient_is_throttled_first);
	tcase_add_test(tcase, test_throttles_more_while_over_target);
	tcase_add_test(tcase, test_wrong_attribution_throttles_all);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
