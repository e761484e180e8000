#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "runs.h"
#include "tests/fixture.h"

/* One agent whose worker and leader are the test. */
struct agent {
	struct runs *runs;
	gint64 now_ms;
	GArray *effects;
	/** The hold under way. */
	guint64 hold;
};

static void clear(struct agent *a)
{
	guint i;

	for (i = 0; i < a->effects->len; i++) {
		struct runs_effect *e = &g_array_index(a->effects,
						       struct runs_effect, i);

		if (e->kind == RUNS_EFFECT_CALL &&
		    e->call->kind == RUNS_CALL_RENEW_LEASE)
			a->hold = e->call->id;
		runs_effect_clear(e);
	}
	g_array_set_size(a->effects, 0);
}

static void reduce(struct agent *a, struct runs_event *ev)
{
	ev->now_ms = a->now_ms;
	runs_reduce(a->runs, ev, a->effects);
}

static void tick(struct agent *a, gint64 ms)
{
	struct runs_event ev = { .kind = RUNS_EVENT_TICK };

	a->now_ms += ms;
	reduce(a, &ev);
}

static void worker(struct agent *a, guint64 born_ms, gboolean draining)
{
	struct Rp__WorkerInfo info;
	struct runs_event ev = { .kind = RUNS_EVENT_WORKER_INFO,
				 .worker = &info };

	rp__worker_info__init(&info);
	info.worker_id = (char *)"w1";
	info.pool = (char *)"pool";
	info.born_ms = born_ms;
	info.draining = draining;
	info.sequence = (guint64)a->now_ms;
	reduce(a, &ev);
}

static void leader(struct agent *a, guint64 fence)
{
	struct runs_event ev = { .kind = RUNS_EVENT_LEADER_CONNECTED,
				 .fencing_token = fence };

	reduce(a, &ev);
}

/* The last call of the kind that was made, or NULL. */
static struct runs_call *call(struct agent *a, enum runs_call_kind kind)
{
	guint i;

	for (i = a->effects->len; i-- > 0;) {
		struct runs_effect *e = &g_array_index(a->effects,
						       struct runs_effect, i);

		if (e->kind == RUNS_EFFECT_CALL && e->call->kind == kind)
			return e->call;
	}
	return NULL;
}

/* The last report with an answer on a start, or NULL. */
static struct Rp__RunAnswer *reported(struct agent *a)
{
	guint i;

	for (i = a->effects->len; i-- > 0;) {
		struct runs_effect *e = &g_array_index(a->effects,
						       struct runs_effect, i);

		if (e->kind == RUNS_EFFECT_REPORT &&
		    e->frame->vm_report->n_answers)
			return e->frame->vm_report->answers[0];
	}
	return NULL;
}

static void answer(struct agent *a, guint64 id, enum runs_outcome outcome,
		   const char *reason, guint64 born_ms)
{
	struct runs_answer answer = {
		.call_id = id,
		.outcome = outcome,
		.reason = reason,
		.clock_ms = 5000,
		.worker_started_ms = born_ms,
	};
	struct runs_event ev = { .kind = RUNS_EVENT_ANSWER, .answer = &answer };

	clear(a);
	reduce(a, &ev);
}

static void orders(struct agent *a, guint64 fence, guint64 born_ms,
		   gboolean stop)
{
	struct Rp__VmOrders body;
	struct Rp__RunStart start;
	struct Rp__RunStart *starts[] = { &start };
	struct Rp__RunName name;
	struct Rp__RunName *stops[] = { &name };
	struct runs_event ev = { .kind = RUNS_EVENT_ORDERS, .orders = &body };

	rp__vm_orders__init(&body);
	rp__run_start__init(&start);
	rp__run_name__init(&name);
	name.task = (char *)"j.0.0.0";
	name.attempt = 1;
	start.run = &name;
	body.fence = fence;
	body.worker_id = (char *)"w1";
	body.worker_born_ms = born_ms;
	body.lease_until_ms = 12000;
	body.ended_through = 7;
	if (stop) {
		body.n_stops = 1;
		body.stops = stops;
	} else {
		body.n_starts = 1;
		body.starts = starts;
	}
	reduce(a, &ev);
}

static void setup(struct agent *a)
{
	memset(a, 0, sizeof(*a));
	a->runs = runs_new();
	a->now_ms = 1000;
	a->effects = g_array_new(FALSE, FALSE, sizeof(struct runs_effect));
	worker(a, 100, FALSE);
	leader(a, 5);
	answer(a, call(a, RUNS_CALL_RENEW_LEASE)->id, RUNS_OK, NULL, 100);
	tick(a, 200);
}

static void teardown(struct agent *a)
{
	clear(a);
	g_array_unref(a->effects);
	runs_free(a->runs);
}

/* Guards against a start without answer that runs beside the next attempt. */
START_TEST(test_start_without_answer_is_undone)
{
	struct agent a;
	struct runs_call *c;
	guint i;

	setup(&a);
	orders(&a, 5, 100, FALSE);
	for (i = 0; i < 3; i++) {
		c = call(&a, RUNS_CALL_START);
		ck_assert_ptr_nonnull(c);
		ck_assert_int_eq(c->lease_until_ms, 12000);
		answer(&a, c->id, RUNS_NO_ANSWER, NULL, 0);
		ck_assert_ptr_null(reported(&a));
	}
	c = call(&a, RUNS_CALL_STOP);
	ck_assert_ptr_nonnull(c);
	answer(&a, c->id, RUNS_OK, NULL, 0);
	ck_assert_ptr_null(reported(&a));
	/* Only lists that were read after the stop show what is left. */
	tick(&a, 600);
	for (i = 0; i < 3 && !reported(&a); i++) {
		clear(&a);
		answer(&a, a.hold, RUNS_OK, NULL, 100);
		if (!reported(&a))
			tick(&a, 200);
	}
	ck_assert_ptr_nonnull(reported(&a));
	ck_assert(!reported(&a)->started);
	teardown(&a);
}
END_TEST

/* Guards against a refusal that the leader has seen being taken back. */
START_TEST(test_refused_start_is_never_sent_again)
{
	struct agent a;
	struct runs_call *c;

	setup(&a);
	orders(&a, 5, 100, FALSE);
	c = call(&a, RUNS_CALL_START);
	answer(&a, c->id, RUNS_REFUSED, "late", 0);
	ck_assert_str_eq(reported(&a)->reason, "late");
	clear(&a);
	orders(&a, 5, 100, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	ck_assert(!reported(&a)->started);
	teardown(&a);
}
END_TEST

/* Guards against a lease and confirmations that reach the next incarnation. */
START_TEST(test_unverified_incarnation_gets_nothing)
{
	struct agent a;
	struct runs_call *c;

	setup(&a);
	orders(&a, 5, 100, TRUE);
	clear(&a);
	answer(&a, a.hold, RUNS_NO_ANSWER, NULL, 0);
	tick(&a, 200);
	c = call(&a, RUNS_CALL_RENEW_LEASE);
	ck_assert_ptr_nonnull(c);
	ck_assert_int_eq(c->lease_until_ms, 0);
	ck_assert_uint_eq(c->acked_through, 0);
	orders(&a, 5, 100, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

/* Guards against starts on a worker that leaves. */
START_TEST(test_draining_worker_starts_nothing)
{
	struct agent a;

	setup(&a);
	worker(&a, 100, TRUE);
	orders(&a, 5, 100, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	ck_assert_ptr_nonnull(call(&a, RUNS_CALL_STOP));
	teardown(&a);
}
END_TEST

/* Guards against orders of a leader that was replaced. */
START_TEST(test_lower_fence_is_not_obeyed)
{
	struct agent a;

	setup(&a);
	leader(&a, 9);
	ck_assert(!runs_accepts_leader(a.runs, 5));
	answer(&a, call(&a, RUNS_CALL_RENEW_LEASE)->id, RUNS_OK, NULL, 100);
	clear(&a);
	orders(&a, 5, 100, FALSE);
	tick(&a, 200);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

/* Guards against orders for an incarnation that has ended. */
START_TEST(test_orders_for_another_incarnation_are_dropped)
{
	struct agent a;

	setup(&a);
	orders(&a, 5, 99, FALSE);
	ck_assert_ptr_null(call(&a, RUNS_CALL_START));
	teardown(&a);
}
END_TEST

/** A service, and two tasks that fill: one disturbs it a lot, one a little. */
static const char *const pace_tasks[] = { "s.0.0.0", "h.0.0.0", "l.0.0.0" };
static const char *const pace_images[] = { "web", "heavy", "light" };

#define PACE_TARGET_MS 100
#define FILL_CPU_MILLI 6000

static void pace_orders(struct agent *a, double heavy, double light)
{
	struct Rp__VmOrders body;
	struct Rp__RunStart start[G_N_ELEMENTS(pace_tasks)];
	struct Rp__RunStart *starts[G_N_ELEMENTS(pace_tasks)];
	struct Rp__RunName names[G_N_ELEMENTS(pace_tasks)];
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
	body.n_starts = G_N_ELEMENTS(pace_tasks);
	for (i = 0; i < G_N_ELEMENTS(pace_tasks); i++) {
		rp__run_start__init(&start[i]);
		rp__run_name__init(&names[i]);
		names[i].task = (char *)pace_tasks[i];
		names[i].attempt = 1;
		start[i].run = &names[i];
		start[i].image = (char *)pace_images[i];
		start[i].fills = i > 0;
		start[i].target_ms = i ? 0 : PACE_TARGET_MS;
		start[i].cpu_milli = FILL_CPU_MILLI;
		starts[i] = &start[i];
	}
	for (i = 0; i < G_N_ELEMENTS(pair); i++) {
		rp__image_pair__init(&pair[i]);
		pair[i].serving = (char *)pace_images[0];
		pair[i].filling = (char *)pace_images[i + 1];
		pair[i].slope = i ? light : heavy;
	}
	body.pairs = pairs;
	body.n_pairs = G_N_ELEMENTS(pair);
	reduce(a, &ev);
}

/* Notes the share that each task is told, in percent, and answers the calls. */
static void take_pace(struct agent *a, guint *told)
{
	guint64 ids[G_N_ELEMENTS(pace_tasks)];
	guint n = 0;
	guint i;
	guint k;

	for (i = 0; i < a->effects->len; i++) {
		struct runs_effect *e = &g_array_index(a->effects,
						       struct runs_effect, i);

		if (e->kind != RUNS_EFFECT_CALL ||
		    e->call->kind != RUNS_CALL_SET_CPU_SHARE)
			continue;
		for (k = 0; k < G_N_ELEMENTS(pace_tasks); k++)
			if (!strcmp(e->call->task, pace_tasks[k]))
				told[k] = e->call->cpu_share_percent;
		ck_assert_uint_lt(n, G_N_ELEMENTS(ids));
		ids[n++] = e->call->id;
	}
	for (i = 0; i < n; i++)
		answer(a, ids[i], RUNS_OK, NULL, 100);
}

/* Answers the hold with lists in which all three run. */
static void pace_lists(struct agent *a, guint latency_ms, guint *told)
{
	struct Rp__RunRow row[G_N_ELEMENTS(pace_tasks)];
	struct Rp__RunRow *rows[G_N_ELEMENTS(pace_tasks)];
	struct Rp__RunName names[G_N_ELEMENTS(pace_tasks)];
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
		names[i].task = (char *)pace_tasks[i];
		names[i].attempt = 1;
		row[i].run = &names[i];
		row[i].percent = i ? 10 : 100;
		row[i].figure = i ? FILL_CPU_MILLI : latency_ms;
		rows[i] = &row[i];
	}
	tick(a, 500);
	clear(a);
	answer.call_id = a->hold;
	reduce(a, &ev);
	take_pace(a, told);
}

/*
 * Guards against work being slowed that hardly disturbs a service, while what
 * does disturb it goes on: equal shares cost the most work.
 */
START_TEST(test_worst_image_is_slowed_first)
{
	guint told[] = { 100, 100, 100 };
	struct agent a;

	setup(&a);
	pace_orders(&a, 0.1, 0.01);
	/* Own latency of 0.4 of the target, as the slopes stretch it. */
	pace_lists(&a, 118, told);
	ck_assert_uint_lt(told[1], 90);
	ck_assert_uint_gt(told[1], 20);
	ck_assert_uint_eq(told[2], 100);
	teardown(&a);
}
END_TEST

/* Guards against a service that stays over its target because the slopes say
 * that it has room. */
START_TEST(test_service_over_target_is_relieved)
{
	guint told[] = { 100, 100, 100 };
	struct agent a;
	guint first;

	setup(&a);
	pace_orders(&a, 0.1, 0.01);
	pace_lists(&a, 40, told);
	pace_lists(&a, 130, told);
	first = told[1];
	ck_assert_uint_lt(first, 90);
	pace_lists(&a, 130, told);
	pace_lists(&a, 130, told);
	ck_assert_uint_lt(told[1], first / 2);
	teardown(&a);
}
END_TEST

/*
 * Guards against a service that stays over its target because another image is
 * blamed than the one that disturbs it: the figures do not get better when that
 * one has stopped.
 */
START_TEST(test_wrong_blame_does_not_last)
{
	guint told[] = { 100, 100, 100 };
	struct agent a;
	guint i;

	setup(&a);
	pace_orders(&a, 0.03, 0.001);
	pace_lists(&a, 40, told);
	for (i = 0; i < 5; i++)
		pace_lists(&a, 140, told);
	/* 2.5 s over the target. */
	ck_assert_uint_lt(told[1], 10);
	ck_assert_uint_lt(told[2], 10);
	for (i = 0; i < 12; i++)
		pace_lists(&a, 30, told);
	ck_assert_uint_gt(told[2], 90);
	teardown(&a);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("runs");
	TCase *tcase = tcase_create("runs");

	tcase_add_test(tcase, test_start_without_answer_is_undone);
	tcase_add_test(tcase, test_refused_start_is_never_sent_again);
	tcase_add_test(tcase, test_unverified_incarnation_gets_nothing);
	tcase_add_test(tcase, test_draining_worker_starts_nothing);
	tcase_add_test(tcase, test_lower_fence_is_not_obeyed);
	tcase_add_test(tcase, test_orders_for_another_incarnation_are_dropped);
	tcase_add_test(tcase, test_worst_image_is_slowed_first);
	tcase_add_test(tcase, test_service_over_target_is_relieved);
	tcase_add_test(tcase, test_wrong_blame_does_not_last);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
