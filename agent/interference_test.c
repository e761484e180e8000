#include "agent/agent_test.h"

#include "agent/internal.h"
#include "tests/fixture.h"

/* Unit tests of the interference controller. */

static guint64 next_id = 100;

static void start_kind(const char *job, const char *kind, unsigned slowdown)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_TASK_START);
	struct Rp__TaskStart *start = frame->task_start;

	wire_set_string(&start->job_id, job);
	wire_set_string(&start->kind, kind);
	start->attempt = 1;
	start->shard = 3;
	start->term = 1;
	start->session = 1;
	start->slowdown_milli = slowdown;
	start->resources = wire_resources_dup(NULL);
	start->resources->cpu_milli = 1000;
	deliver(1, frame);
	worker_done(op_of(AGT_FX_WORKER_START), TRUE, TRUE);
}

/* The task whose CPU share was set last, or NULL; its share in thousandths. */
static char *throttled;
static unsigned share;
static unsigned evictions;

/* Records and answers the call to the worker of the last event. */
static void collect(void)
{
	struct agt_effect *e = find(AGT_FX_WORKER_THROTTLE);
	struct agt_effect *c = find(AGT_FX_WORKER_CHECKPOINT);
	guint64 op = 0;

	if (e) {
		g_free(throttled);
		throttled = g_strdup(e->worker.job_id);
		share = e->worker.share_milli;
		op = e->worker.op;
	} else if (c) {
		evictions++;
		op = c->worker.op;
	}
	if (op)
		worker_done(op, TRUE, TRUE);
}

/* For each second, the upstream answers 40 requests, each after ms. */
static void answer_requests(unsigned seconds, unsigned ms)
{
	unsigned i;

	for (; seconds; seconds--) {
		for (i = 0; i < 40; i++) {
			request(1, ++next_id, "checks", 5000, 1);
			now += ms;
			upstream(find(AGT_FX_FORWARD)->forward.call,
				 AGT_UPSTREAM_ANSWERED);
			now += 25 - MIN(ms, 25);
		}
		simple(AGT_EV_TICK, 0);
		collect();
		/* Else the grant ends and the tasks are suspended. */
		agt->grant_until_ms = now + 20000;
		agt->lease_until_ms = now + 20000;
	}
}

static void begin(void)
{
	setup_ready();
	tables(1, 1, "x");
	throttled = NULL;
	share = 0;
	evictions = 0;
	answer_requests(10, 10);
}

static void end(void)
{
	g_clear_pointer(&throttled, g_free);
	teardown();
}

/*
 * Throttling the wrong task delays it and does not help the service: the kind
 * with the highest predicted slowdown must be throttled first.
 */
START_TEST(test_likely_cause_is_throttled_first)
{
	g_autoptr(GString) status = g_string_new(NULL);

	start_kind("a", "harmless", 1);
	start_kind("b", "harmful", 300);
	answer_requests(6, 10);
	ck_assert_ptr_null(throttled);
	answer_requests(4, 20);
	ck_assert_str_eq(throttled, "b");
	agt_status_json(agt, status);
	ck_assert_ptr_nonnull(strstr(status->str, "throttled: pool checks"));
	ck_assert_uint_lt(share, 1000);
}
END_TEST

/* Tasks would run slowly for ever if their shares were not restored. */
START_TEST(test_shares_are_restored)
{
	start_kind("a", "harmful", 300);
	answer_requests(10, 20);
	ck_assert_uint_lt(share, 1000);
	answer_requests(60, 10);
	ck_assert_uint_eq(share, 1000);
	ck_assert_uint_eq(evictions, 0);
}
END_TEST

/*
 * Evictions lose work: they must come after throttling has not helped, and not
 * exceed the limit per minute.
 */
START_TEST(test_evictions_bounded)
{
	start_kind("a", "one", 300);
	start_kind("b", "two", 300);
	start_kind("c", "three", 300);
	answer_requests(15, 20);
	ck_assert_uint_eq(evictions, 0);
	answer_requests(45, 20);
	ck_assert_uint_ge(evictions, 1);
	ck_assert_uint_le(evictions, 2);
}
END_TEST

/* With too few answers, one slow request would throttle batch tasks. */
START_TEST(test_few_answers)
{
	unsigned i;

	start_kind("a", "harmful", 300);
	for (i = 0; i < 20; i++) {
		request(1, ++next_id, "checks", 5000, 1);
		now += 200;
		upstream(find(AGT_FX_FORWARD)->forward.call,
			 AGT_UPSTREAM_ANSWERED);
		tick(1000);
		collect();
	}
	ck_assert_ptr_null(throttled);
}
END_TEST

/*
 * A service that has become slow without batch tasks must not lead to
 * throttling: the baseline must follow while no task runs.
 */
START_TEST(test_baseline_follows_without_tasks)
{
	answer_requests(60, 24);
	start_kind("a", "any", 10);
	answer_requests(10, 24);
	ck_assert_ptr_null(throttled);
}
END_TEST

/*
 * The worker keeps the CPU share set by an earlier agent process. If the agent
 * did not reset it, the task would stay throttled.
 */
START_TEST(test_restart_resets_shares)
{
	struct agt_worker_task task = worker_task;
	struct agt_effect *e = NULL;
	unsigned i;

	teardown();
	setup();
	tick(0);
	tick(200);
	worker_tasks("b1", &task, 1);
	for (i = 0; i < 10 && !e; i++) {
		e = find(AGT_FX_WORKER_THROTTLE);
		if (!e)
			tick(500);
	}
	ck_assert_ptr_nonnull(e);
	ck_assert_uint_eq(e->worker.share_milli, 1000);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("agent interference");
	TCase *tcase = tcase_create("interference");

	tcase_add_checked_fixture(tcase, begin, end);
	tcase_add_test(tcase, test_likely_cause_is_throttled_first);
	tcase_add_test(tcase, test_shares_are_restored);
	tcase_add_test(tcase, test_evictions_bounded);
	tcase_add_test(tcase, test_few_answers);
	tcase_add_test(tcase, test_baseline_follows_without_tasks);
	tcase_add_test(tcase, test_restart_resets_shares);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
