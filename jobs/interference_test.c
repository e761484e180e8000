#include <check.h>
#include <stdlib.h>

#include "jobs/internal.h"
#include "tests/fixture.h"

/* Tests of the interference model and of the costs that it predicts. */

static struct job *job;
static GArray *fx;
static gint64 now;

static void feed(guint64 conn, struct Rp__Frame *frame)
{
	struct job_event ev = { .kind = JOB_EV_AGENT_FRAME, .now_ms = now };

	ev.agent_frame.conn = conn;
	ev.agent_frame.frame = frame;
	job_reduce(job, &ev, fx);
	g_array_set_size(fx, 0);
	wire_frame_free(frame);
}

static void hello(guint64 conn, const char *vm)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_HELLO);

	wire_set_string(&frame->hello->vm, vm);
	frame->hello->capacity = wire_resources_dup(NULL);
	frame->hello->capacity->cpu_milli = 10000;
	frame->hello->capacity->memory_bytes = 1000;
	feed(conn, frame);
}

/*
 * Sends the report of a VM where the kind uses half of the CPUs and this memory
 * in bytes, and the service "checks" has this slowdown, or no measurements if
 * it is negative.
 */
static void report(guint64 conn, const char *kind, double slowdown,
		   gint64 memory)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REPORT);
	struct Rp__Report *report = frame->report;

	report->n_kinds = 1;
	report->kinds = g_new0(struct Rp__KindLoad *, 1);
	report->kinds[0] = g_new(struct Rp__KindLoad, 1);
	rp__kind_load__init(report->kinds[0]);
	wire_set_string(&report->kinds[0]->kind, kind);
	report->kinds[0]->cpu_milli = 5000;
	report->kinds[0]->used = wire_resources_dup(NULL);
	report->kinds[0]->used->memory_bytes = memory;
	report->n_pools = 1;
	report->pools = g_new0(struct Rp__PoolLoad *, 1);
	report->pools[0] = g_new(struct Rp__PoolLoad, 1);
	rp__pool_load__init(report->pools[0]);
	wire_set_string(&report->pools[0]->pool, "checks");
	if (slowdown >= 0) {
		report->pools[0]->high_us = (unsigned)(10000 * (1 + slowdown));
		report->pools[0]->quiet_us = 10000;
		report->pools[0]->limit_us = 12000;
		report->pools[0]->answers_per_min = 600;
	}
	feed(conn, frame);
}

static struct job_item *item_of(const char *id, const char *kind)
{
	struct job_item *item = job_item_new(job, id);

	item->record = g_new(struct Rp__JobRecord, 1);
	rp__job_record__init(item->record);
	wire_set_string(&item->record->kind, kind);
	item->need = (struct resources){ 1000, 100, 0 };
	return item;
}

static struct intf_cost cost_of(const char *id, const char *kind,
				const char *vm)
{
	struct intf_cost cost;

	job_intf_cost(job, item_of(id, kind), job_vm_get(job, vm), &cost);
	return cost;
}

static void learn(void)
{
	unsigned i;

	for (i = 0; i < 100; i++) {
		now += 1000;
		report(1, "harmful", 0.5, 0);
		report(2, "harmless", 0, 0);
	}
}

static void setup(void)
{
	struct job_options options = { .entry_id = "e", .seed = 1 };

	job = job_new(&options);
	fx = job_effects_new();
	now = 1000;
	hello(1, "v1");
	hello(2, "v2");
}

static void teardown(void)
{
	job_free(job);
	g_array_unref(fx);
}

/*
 * Guards against attributing a slowdown to the VM or the service instead of to
 * the kind of job: harmless jobs would be kept away from it.
 */
START_TEST(test_attribution)
{
	learn();
	ck_assert_double_gt(cost_of("a", "harmful", "v2").added_slowdown, 0.05);
	ck_assert_double_lt(cost_of("b", "harmless", "v2").added_slowdown,
			    0.01);
	ck_assert_double_gt(cost_of("c", "harmful", "v1").worst_ratio, 1);
	ck_assert_double_lt(cost_of("d", "harmless", "v2").worst_ratio, 1);
}
END_TEST

/*
 * Guards against deferring jobs because of old measurements of a VM whose
 * reports stopped, and against learning from a report without measurements.
 */
START_TEST(test_stale_and_missing)
{
	learn();
	now += 20000;
	report(1, "harmful", -1, 0);
	ck_assert_double_eq(cost_of("a", "harmful", "v1").worst_ratio, 0);
	ck_assert_uint_eq(job->stats.interference_updates, 200);
}
END_TEST

/*
 * Guards against coefficients that never decay: a kind that once slowed a
 * service is no longer placed near it, so a change of it is never measured.
 */
START_TEST(test_ageing)
{
	double before;

	learn();
	before = cost_of("a", "harmful", "v2").added_slowdown;
	now += 4 * 3600 * 1000;
	report(2, "harmless", 0, 0);
	ck_assert_double_lt(cost_of("b", "harmful", "v2").added_slowdown,
			    before / 2);
}
END_TEST

/*
 * Guards against unbounded memory use: callers choose the names of kinds, and
 * each name adds an element to the model's hash tables.
 */
START_TEST(test_bounded)
{
	char kind[16];
	unsigned i;

	for (i = 0; i < 5000; i++) {
		g_snprintf(kind, sizeof(kind), "k%u", i);
		now += 10;
		report(1, kind, 0.1, 1);
	}
	ck_assert_uint_le(g_hash_table_size(job->intf->pairs), 4096);
	ck_assert_uint_le(g_hash_table_size(job->intf->kinds), 1024);
}
END_TEST

/*
 * Guards against placing jobs by their declared memory only, which may be far
 * too low, and against a measured need that no empty VM can satisfy.
 */
START_TEST(test_learned_memory)
{
	struct vm *vm = job_vm_get(job, "v1");
	struct job_item *item = item_of("a", "big");

	ck_assert_int_eq(job_intf_need(job, item, vm).memory_bytes, 100);
	report(1, "big", 0, 300);
	ck_assert_int_eq(job_intf_need(job, item, vm).memory_bytes, 300);
	report(1, "big", 0, 5000);
	ck_assert_int_eq(job_intf_need(job, item, vm).memory_bytes, 1000);
	ck_assert_int_eq(item->need.memory_bytes, 100);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("jobs interference");
	TCase *tcase = tcase_create("interference");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_attribution);
	tcase_add_test(tcase, test_stale_and_missing);
	tcase_add_test(tcase, test_ageing);
	tcase_add_test(tcase, test_bounded);
	tcase_add_test(tcase, test_learned_memory);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
