#include "leader_test.h"

/* Evacuation of zones; see zone.c. */

#define EVACUATION_MS 5000

/* The store reports that exactly these zones are evacuated; zones are the
 * letters of their names. */
static void set_zones(struct leader *l, const char *zones)
{
	struct sch_evacuation list[4];
	char names[4][2];
	struct sch_event ev = { .kind = SCH_EVENT_EVACUATIONS,
				.evacuations = list,
				.confirmed_ms = l->now_ms };

	for (; *zones; zones++) {
		size_t i = ev.n_evacuations++;

		names[i][0] = *zones;
		names[i][1] = 0;
		list[i].zone = names[i];
		list[i].revision = 7;
	}
	reduce(l, &ev);
}

static void add_vm_in(struct leader *l, const char *vm, const char *zone)
{
	l->zone = zone;
	add_vm(l, vm);
}

/* A leader with a VM in zone a and one in zone b. */
static void setup_two_zones(struct leader *l)
{
	setup_zones(l, EVACUATION_MS, 0);
	set_zones(l, "");
	add_vm_in(l, "vm1", "a");
	add_vm_in(l, "vm2", "b");
}

static guint n_runs(struct leader *l, const char *vm)
{
	return sch_vm_get(l->s, vm)->runs->len;
}

static const struct Rp__VmOrders *orders_of(const struct leader *l,
					    const char *vm)
{
	guint i;

	for (i = l->effects->len; i-- > 0;) {
		const struct sch_effect *e =
			&g_array_index(l->effects, struct sch_effect, i);

		if (e->kind == SCH_EFFECT_ORDERS && !strcmp(e->vm, vm))
			return e->frame->vm_orders;
	}
	return NULL;
}

/* The agent of the VM reports the failed start of the task's first attempt. */
static void report_failed_start(struct leader *l, const char *vm,
				const char *task_name, const char *reason)
{
	struct Rp__VmReport body;
	struct Rp__WorkerInfo info;
	struct Rp__Resources capacity;
	struct Rp__RunName name;
	struct Rp__RunAnswer answer;
	struct Rp__RunAnswer *answers[] = { &answer };
	struct sch_event ev = { .kind = SCH_EVENT_REPORT,
				.vm = vm,
				.report = &body };

	rp__vm_report__init(&body);
	rp__worker_info__init(&info);
	rp__resources__init(&capacity);
	rp__run_name__init(&name);
	rp__run_answer__init(&answer);
	capacity.cpu_milli = CPU_MILLI;
	capacity.memory_bytes = 1 << 30;
	info.worker_id = (char *)vm;
	info.born_ms = 50;
	info.pool = (char *)"p";
	info.zone = (char *)sch_vm_get(l->s, vm)->zone->name;
	info.capacity = &capacity;
	name.task = (char *)task_name;
	name.attempt = 1;
	answer.run = &name;
	answer.reason = (char *)reason;
	body.fence = sch_vm_get(l->s, vm)->fencing_token;
	body.worker = &info;
	body.clock_ms = l->now_ms - 90000;
	body.answers = answers;
	body.n_answers = 1;
	reduce(l, &ev);
}

/* Guards against a start by a new leader that does not know yet which zones are
 * evacuated. */
START_TEST(test_nothing_starts_before_the_set_is_read)
{
	struct leader l;

	setup_zones(&l, EVACUATION_MS, 0);
	add_vm_in(&l, "vm1", "a");
	submit_one_task(&l);
	ck_assert_uint_eq(n_runs(&l, "vm1"), 0);
	tick(&l, 900);
	ck_assert_int_eq(orders_of(&l, "vm1")->starts_until_ms, 0);
	ck_assert(orders_of(&l, "vm1")->starts_limited);
	set_zones(&l, "");
	confirm_leadership(&l);
	commit(&l);
	ck_assert_uint_eq(n_runs(&l, "vm1"), 1);
	teardown(&l);
}
END_TEST

/* Guards against a start in an evacuated zone, and against lost work while all
 * zones are: it waits until one is returned. */
START_TEST(test_evacuated_zones_get_no_runs)
{
	struct leader l;

	setup_two_zones(&l);
	set_zones(&l, "a");
	submit_one_task(&l);
	ck_assert_uint_eq(n_runs(&l, "vm1"), 0);
	ck_assert_uint_eq(n_runs(&l, "vm2"), 1);
	set_zones(&l, "ab");
	call(&l, RP__STEP_VERB__STEP_VERB_CANCEL, "/q/a", NULL);
	commit(&l);
	report(&l, "vm2", 50, NULL, 0);
	teardown(&l);

	setup_two_zones(&l);
	set_zones(&l, "ab");
	submit_one_task(&l);
	ck_assert_uint_eq(l.s->stats.runs, 0);
	tick(&l, 300);
	ck_assert_uint_eq(l.s->stats.steps_awaiting_zone, 1);
	set_zones(&l, "b");
	commit(&l);
	ck_assert_uint_eq(n_runs(&l, "vm1"), 1);
	ck_assert_uint_eq(l.s->stats.steps_awaiting_zone, 1);
	teardown(&l);
}
END_TEST

/* Guards against starts by a set that may be too old: another process may have
 * been told of an evacuation since. */
START_TEST(test_nothing_starts_by_an_old_set)
{
	struct leader l;

	setup_two_zones(&l);
	tick(&l, EVACUATION_MS * 4 / 10 + 1);
	confirm_leadership(&l);
	report(&l, "vm2", 50, NULL, 0);
	submit_one_task(&l);
	ck_assert_uint_eq(l.status, 200);
	ck_assert_uint_eq(l.s->stats.runs, 0);
	clear_effects(&l);
	set_zones(&l, "");
	/* Starts that wait in the agents are permitted at once. */
	ck_assert_ptr_nonnull(orders_of(&l, "vm1"));
	commit(&l);
	ck_assert_uint_eq(l.s->stats.runs, 1);
	teardown(&l);
}
END_TEST

/* Guards against an order for a run that was planned before the evacuation was
 * learned, and whose record becomes durable only then. */
START_TEST(test_planned_run_is_removed)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };
	struct sch_event ev = { .kind = SCH_EVENT_COMMITTED };
	struct sch_run *run;
	const char *zone;

	setup_two_zones(&l);
	init_step(&step, &need, 1, 1000);
	submit(&l, "/q/a", steps, 1);
	tick(&l, 200);
	ev.revision = ++l.revision;
	reduce(&l, &ev);
	tick(&l, 200);
	run = task(&l, "a.0.0.0")->runs[0];
	ck_assert_ptr_nonnull(run);
	ck_assert(run->committing);
	zone = run->vm->zone->name;
	clear_effects(&l);
	set_zones(&l, zone);
	ev.revision = ++l.revision;
	reduce(&l, &ev);
	ck_assert_uint_eq(count_orders(&l, FALSE), 0);
	ck_assert_uint_eq(l.s->stats.starts_withdrawn, 1);
	commit(&l);
	run = task(&l, "a.0.0.0")->runs[0];
	ck_assert_ptr_nonnull(run);
	ck_assert_str_ne(run->vm->zone->name, zone);
	teardown(&l);
}
END_TEST

/* Guards against a withdrawn start that stays on its VM, counts as a fault of
 * the worker, or as a failure of the task. */
START_TEST(test_withdrawn_start_goes_elsewhere)
{
	struct leader l;
	struct sch_run *run;
	struct sch_vm *vm;

	setup_two_zones(&l);
	submit_one_task(&l);
	run = task(&l, "a.0.0.0")->runs[0];
	ck_assert_int_eq(run->state, SCH_RUN_ORDERED);
	vm = run->vm;
	clear_effects(&l);
	set_zones(&l, vm->zone->name);
	/* The agent is told at once. */
	ck_assert_ptr_nonnull(orders_of(&l, vm->name));
	ck_assert(orders_of(&l, vm->name)->evacuated);
	ck_assert_int_eq(orders_of(&l, vm->name)->starts_until_ms, 0);
	report_failed_start(&l, vm->name, "a.0.0.0", "evacuated");
	ck_assert_uint_eq(l.s->stats.starts_withdrawn, 1);
	ck_assert_uint_eq(vm->worker_faults, 0);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->failures, 0);
	commit(&l);
	run = task(&l, "a.0.0.0")->runs[0];
	ck_assert_ptr_nonnull(run);
	ck_assert_ptr_ne(run->vm, vm);
	teardown(&l);
}
END_TEST

/* Guards against a gang of which only the members outside the zone start: they
 * would wait for the others. */
START_TEST(test_gang_is_withdrawn_as_a_whole)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };
	struct sch_event ev = { .kind = SCH_EVENT_COMMITTED };

	setup_two_zones(&l);
	init_step(&step, &need, 2, 6000);
	step.gang = TRUE;
	submit(&l, "/q/a", steps, 1);
	tick(&l, 200);
	ev.revision = ++l.revision;
	reduce(&l, &ev);
	tick(&l, 200);
	ck_assert_uint_eq(n_runs(&l, "vm1"), 1);
	ck_assert_uint_eq(n_runs(&l, "vm2"), 1);
	clear_effects(&l);
	set_zones(&l, "a");
	ev.revision = ++l.revision;
	reduce(&l, &ev);
	commit(&l);
	ck_assert_uint_eq(count_orders(&l, FALSE), 0);
	ck_assert_uint_eq(l.s->stats.runs, 0);
	set_zones(&l, "a");
	l.zone = "b";
	report(&l, "vm2", 50, NULL, 0);
	add_vm(&l, "vm3");
	commit(&l);
	ck_assert_uint_eq(n_runs(&l, "vm2"), 1);
	ck_assert_uint_eq(n_runs(&l, "vm3"), 1);
	ck_assert_uint_eq(count_orders(&l, FALSE), 2);
	teardown(&l);
}
END_TEST

/* Guards against the stop of what runs in the zone. */
START_TEST(test_running_task_continues)
{
	struct leader l;
	struct sch_vm *vm;
	struct row row = { .task = "a.0.0.0", .attempt = 1 };

	setup_two_zones(&l);
	submit_one_task(&l);
	vm = task(&l, "a.0.0.0")->runs[0]->vm;
	l.zone = vm->zone->name;
	report(&l, vm->name, 50, &row, 1);
	clear_effects(&l);
	set_zones(&l, "ab");
	tick(&l, 1000);
	ck_assert_uint_eq(count_orders(&l, TRUE), 0);
	ck_assert_uint_eq(vm->runs->len, 1);
	teardown(&l);
}
END_TEST

/* Guards against a permission that outlasts the bound on a worker whose clock
 * runs at 0.98 to 1 of real time: it counts from when the set was last known to
 * be current, by the lowest possible reading. */
START_TEST(test_permission_counts_from_the_confirmation)
{
	struct leader l;
	struct sch_event ev = { .kind = SCH_EVENT_EVACUATIONS };
	gint64 confirmed_ms;

	setup_two_zones(&l);
	confirmed_ms = l.now_ms;
	clear_effects(&l);
	tick(&l, 1000);
	/* The clock was read after the confirmation: at that, it showed at
	 * least 1000 ms less. */
	l.zone = "a";
	report(&l, "vm1", 50, NULL, 0);
	tick(&l, 1000);
	ck_assert_int_eq(orders_of(&l, "vm1")->starts_until_ms,
			 confirmed_ms - 90000 + EVACUATION_MS * 6 / 10);
	/* The clock was read 2000 ms before the confirmation. */
	ev.confirmed_ms = confirmed_ms + 3000;
	l.now_ms += 1000;
	reduce(&l, &ev);
	tick(&l, 1000);
	ck_assert_int_eq(orders_of(&l, "vm1")->starts_until_ms,
			 confirmed_ms + 1000 + 2000 * 98 / 100 - 90000 +
				 EVACUATION_MS * 6 / 10);
	teardown(&l);
}
END_TEST

/* Guards against a run in an unknown zone's place: evacuations of zones without
 * VMs have no effect. */
START_TEST(test_unknown_zone_is_ignored)
{
	struct leader l;

	setup_two_zones(&l);
	set_zones(&l, "x");
	submit_one_task(&l);
	ck_assert_uint_eq(l.s->stats.runs, 1);
	tick(&l, 10000);
	teardown(&l);
}
END_TEST

/* Guards against waiting tasks that all start at once on the cold workers of a
 * zone that was returned to service. */
START_TEST(test_zone_returns_in_stages)
{
	struct leader l;
	static const char *const vms[] = { "vm1", "vm2", "vm3", "vm4" };
	guint usable[2] = { 0, 0 };
	guint i;

	setup_zones(&l, EVACUATION_MS, 0);
	set_zones(&l, "a");
	for (i = 0; i < 4; i++)
		add_vm_in(&l, vms[i], "a");
	set_zones(&l, "");
	for (i = 0; i < 4; i++)
		if (sch_vm_is_usable(l.s, sch_vm_get(l.s, vms[i])))
			usable[0]++;
	tick(&l, 1000);
	for (i = 0; i < 4; i++)
		if (sch_vm_is_usable(l.s, sch_vm_get(l.s, vms[i])))
			usable[1]++;
	ck_assert_uint_eq(usable[0], 1);
	ck_assert_uint_eq(usable[1], 4);
	teardown(&l);
}
END_TEST

static void sum_zone(void *ctx, const char *zone,
		     const struct sch_zone_stats *stats)
{
	struct sch_zone_stats *sums = ctx;

	sums[*zone - 'a'] = *stats;
}

/* Guards against free CPUs or runs that are counted in the wrong zone. */
START_TEST(test_zone_stats)
{
	struct sch_zone_stats zones[2];
	struct sch_stats stats;
	struct leader l;

	setup_two_zones(&l);
	set_zones(&l, "a");
	submit_one_task(&l);
	sch_foreach_zone(l.s, sum_zone, zones);
	sch_get_stats(l.s, &stats);
	ck_assert_uint_eq(stats.zones_evacuated, 1);
	ck_assert(zones[0].evacuated && !zones[1].evacuated);
	ck_assert_uint_eq(zones[0].runs, 0);
	ck_assert_uint_eq(zones[1].runs, 1);
	ck_assert_int_eq(zones[0].free_cpu_milli, CPU_MILLI);
	ck_assert_int_eq(zones[1].free_cpu_milli, CPU_MILLI - 1000);
	teardown(&l);
}
END_TEST

/* Guards against a change for deployments without evacuations. */
START_TEST(test_no_evacuations_without_the_option)
{
	struct leader l;

	setup_zones(&l, 0, 0);
	set_zones(&l, "a");
	add_vm_in(&l, "vm1", "a");
	submit_one_task(&l);
	ck_assert_uint_eq(n_runs(&l, "vm1"), 1);
	ck_assert(!last_orders(&l)->starts_limited);
	ck_assert(!last_orders(&l)->evacuated);
	teardown(&l);
}
END_TEST

static const char *vm_of_short_task(gint64 evacuation_ms, gint64 after_ms)
{
	static const struct sch_event zones = { .kind = SCH_EVENT_EVACUATIONS };
	struct sch_event ev = zones;
	const char *name;
	struct leader l;

	setup_zones(&l, evacuation_ms, 0);
	ev.confirmed_ms = l.now_ms;
	reduce(&l, &ev);
	add_vm_in(&l, "vm2", "a");
	/* More of vm1 is reserved, so it is preferred if it is not cold. */
	l.cold_remaining_ms = 1500;
	add_vm_in(&l, "vm1", "a");
	sch_vm_get(l.s, "vm1")->reserved.cpu_milli = 5000;
	tick(&l, after_ms);
	ev.confirmed_ms = l.now_ms;
	reduce(&l, &ev);
	confirm_leadership(&l);
	submit_one_task(&l);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->n_runs, 1);
	name = g_intern_string(task(&l, "a.0.0.0")->runs[0]->vm->name);
	teardown(&l);
	return name;
}

/* Guards against urgent tasks on a worker that is slow after its start, and
 * against a worker that counts as cold for longer than it is. */
START_TEST(test_short_task_avoids_cold_worker)
{
	ck_assert_str_eq(vm_of_short_task(5000, 0), "vm2");
	ck_assert_str_eq(vm_of_short_task(5000, 1500), "vm1");
	ck_assert_str_eq(vm_of_short_task(0, 0), "vm1");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("zone");
	TCase *tcase = tcase_create("zone");

	tcase_add_test(tcase, test_nothing_starts_before_the_set_is_read);
	tcase_add_test(tcase, test_evacuated_zones_get_no_runs);
	tcase_add_test(tcase, test_nothing_starts_by_an_old_set);
	tcase_add_test(tcase, test_planned_run_is_removed);
	tcase_add_test(tcase, test_withdrawn_start_goes_elsewhere);
	tcase_add_test(tcase, test_gang_is_withdrawn_as_a_whole);
	tcase_add_test(tcase, test_running_task_continues);
	tcase_add_test(tcase, test_permission_counts_from_the_confirmation);
	tcase_add_test(tcase, test_unknown_zone_is_ignored);
	tcase_add_test(tcase, test_zone_returns_in_stages);
	tcase_add_test(tcase, test_zone_stats);
	tcase_add_test(tcase, test_short_task_avoids_cold_worker);
	tcase_add_test(tcase, test_no_evacuations_without_the_option);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
