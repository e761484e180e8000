#include "worker_test.h"

/* Tests of what waiting and running jobs cost the leader in time, with many VMs
 * and jobs of a shape that their submitters choose. */

#define N_VMS 240

/** Ticks whose mean is compared with MAX_EVENT_MS. */
#define N_TICKS 30

static void add_vms(struct leader *l)
{
	guint i;

	for (i = 0; i < N_VMS; i++) {
		g_autofree char *name = g_strdup_printf("vm%u", i);
		g_autofree char *rack = g_strdup_printf("r%u", i / 8);

		l->rack = rack;
		add_vm(l, name);
	}
	l->rack = NULL;
}

/* One VM in 20 reports, as they do within 20 ms, and a tick follows. */
static void tick_with_reports(struct leader *l, guint round)
{
	guint i;

	for (i = round % 20; i < N_VMS; i += 20) {
		g_autofree char *name = g_strdup_printf("vm%u", i);

		report(l, name, 50, NULL, 0);
	}
	tick(l, 20);
	clear_effects(l);
}

static void assert_ticks_are_short(struct leader *l)
{
	gint64 from_us = cpu_us();
	guint i;

	for (i = 0; i < N_TICKS; i++)
		tick_with_reports(l, i);
	ck_assert_int_lt(cpu_us() - from_us, N_TICKS * MAX_EVENT_MS * 1000);
}

static void submit_many(struct leader *l, guint n, struct Rp__StepSpec *step)
{
	struct Rp__StepSpec *steps[] = { step };
	guint i;

	confirm_leadership(l);
	for (i = 0; i < n; i++) {
		g_autofree char *path = g_strdup_printf("/q/job%u", i);

		submit(l, path, steps, 1);
		clear_effects(l);
	}
}

/* Lets all submissions become durable. */
static void commit_all(struct leader *l)
{
	guint i;

	l->s->options.max_ops = 100000;
	commit(l);
	for (i = 0; i < 20; i++)
		tick_with_reports(l, i);
	commit(l);
	clear_effects(l);
}

/*
 * Guards against gangs that wait for room and take the leader's time, and write
 * their records, in each pass. _i is 1 if they prefer one rack.
 */
START_TEST(test_waiting_gangs)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;

	setup(&l);
	add_vms(&l);
	init_step(&step, &need, 300, 9000);
	step.gang = TRUE;
	step.same_rack = _i;
	submit_many(&l, 100, &step);
	commit_all(&l);
	assert_ticks_are_short(&l);
	ck_assert_uint_eq(l.s->stats.runs, 0);
	ck_assert_uint_eq(l.s->dirty.length, 0);
	teardown(&l);
}
END_TEST

/* Guards against steps that can never run and take the leader's time. */
START_TEST(test_waiting_steps)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;

	setup(&l);
	add_vms(&l);
	init_step(&step, &need, 1, 1000);
	step.label = (char *)"none";
	submit_many(&l, 5000, &step);
	commit_all(&l);
	assert_ticks_are_short(&l);
	teardown(&l);
}
END_TEST

/* Guards against retries that can go nowhere for now and take the leader's
 * time: each looks for a VM of its own. */
START_TEST(test_waiting_retries)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct sch_job *job;
	guint i;

	setup(&l);
	add_vms(&l);
	init_step(&step, &need, 4096, 20000);
	submit_many(&l, 1, &step);
	commit_all(&l);
	job = g_hash_table_lookup(l.s->jobs, "job0");
	for (i = 0; i < step.replicas; i++) {
		struct sch_occurrence *occurrence = job->open->pdata[0];

		occurrence->instances[0].tasks[i].failures = 1;
	}
	assert_ticks_are_short(&l);
	teardown(&l);
}
END_TEST

/* Guards against a step that fits and never gets its turn behind steps that
 * are more urgent and do not. */
START_TEST(test_each_step_gets_its_turn)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };
	guint i;

	setup(&l);
	add_vms(&l);
	init_step(&step, &need, 1, 1000);
	step.label = (char *)"none";
	submit_many(&l, 3000, &step);
	commit_all(&l);
	step.label = (char *)"";
	/* Less urgent than the others. */
	step.estimate_ms = 100;
	step.lasts = TRUE;
	confirm_leadership(&l);
	submit(&l, "/q/last", steps, 1);
	for (i = 0; i < 30 && !task(&l, "last.0.0.0")->n_runs; i++)
		tick_with_reports(&l, i);
	ck_assert_uint_eq(task(&l, "last.0.0.0")->n_runs, 1);
	teardown(&l);
}
END_TEST

/* Reports that vm1 runs all tasks of its runs. */
static void report_all(struct leader *l)
{
	const struct sch_vm *vm = sch_vm_get(l->s, "vm1");
	guint n = vm->runs->len;
	g_autofree struct Rp__RunRow *rows = g_new(struct Rp__RunRow, n);
	g_autofree struct Rp__RunName *names = g_new(struct Rp__RunName, n);
	g_autofree struct Rp__RunRow **list = g_new(struct Rp__RunRow *, n);
	struct Rp__VmReport body;
	struct Rp__WorkerInfo info;
	struct Rp__Resources capacity;
	struct sch_event ev = { .kind = SCH_EVENT_REPORT,
				.vm = "vm1",
				.report = &body };
	guint i;

	rp__vm_report__init(&body);
	rp__worker_info__init(&info);
	rp__resources__init(&capacity);
	capacity.cpu_milli = CPU_MILLI;
	capacity.memory_bytes = 1 << 30;
	info.worker_id = (char *)"vm1";
	info.born_ms = 50;
	info.pool = (char *)"p";
	info.capacity = &capacity;
	body.worker = &info;
	body.fence = vm->fencing_token;
	body.clock_ms = l->now_ms - 90000;
	body.listed = TRUE;
	body.running = list;
	body.n_running = n;
	for (i = 0; i < n; i++) {
		const struct sch_run *run = vm->runs->pdata[i];

		rp__run_row__init(&rows[i]);
		rp__run_name__init(&names[i]);
		names[i].task = run->name;
		names[i].attempt = run->attempt;
		rows[i].run = &names[i];
		list[i] = &rows[i];
	}
	reduce(l, &ev);
}

/* Guards against a worker with very many small tasks, each report of which
 * takes the leader's time. */
START_TEST(test_reports_of_many_runs)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	gint64 from_us;
	guint i;

	setup(&l);
	add_vm(&l, "vm1");
	init_step(&step, &need, 4096, 0);
	submit_many(&l, 1, &step);
	commit(&l);
	ck_assert_uint_eq(sch_vm_get(l.s, "vm1")->runs->len, 4096);
	clear_effects(&l);
	report_all(&l);
	from_us = cpu_us();
	for (i = 0; i < N_TICKS; i++) {
		report_all(&l);
		clear_effects(&l);
	}
	ck_assert_int_lt(cpu_us() - from_us, N_TICKS * MAX_EVENT_MS * 1000);
	ck_assert_uint_eq(l.s->stats.runs, 4096);
	teardown(&l);
}
END_TEST

/*
 * Guards against a message to an agent that is longer than a frame may be, and
 * so dropped, and against messages that take the leader's memory, as each start
 * carries its job's payload.
 */
START_TEST(test_orders_are_sent_in_parts)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };
	struct Rp__StepJob job;
	g_autofree uint8_t *payload = g_malloc0(4000);
	guint n = 0;
	guint i;
	guint k;

	setup(&l);
	add_vm(&l, "vm1");
	init_step(&step, &need, 1000, 0);
	rp__step_job__init(&job);
	job.steps = steps;
	job.n_steps = 1;
	job.payload.data = payload;
	job.payload.len = 4000;
	call(&l, RP__STEP_VERB__STEP_VERB_SUBMIT, "/q/a", &job);
	for (i = 0; i < 100 && n < step.replicas; i++) {
		struct sch_event ev = { .kind = SCH_EVENT_COMMITTED,
					.revision = ++l.revision };

		tick(&l, 20);
		if (l.s->commit)
			reduce(&l, &ev);
		for (k = 0; k < l.effects->len; k++) {
			const struct sch_effect *e =
				&g_array_index(l.effects, struct sch_effect, k);

			if (e->kind != SCH_EFFECT_ORDERS)
				continue;
			ck_assert_uint_lt(rp__frame__get_packed_size(e->frame),
					  WIRE_MAX_FRAME_BYTES / 10);
			n += (guint)e->frame->vm_orders->n_starts;
		}
		clear_effects(&l);
	}
	/* Within 2 s. */
	ck_assert_uint_eq(n, step.replicas);
	teardown(&l);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sched/bound");
	TCase *tcase = tcase_create("bound");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_waiting_gangs, 0, 2);
	tcase_add_test(tcase, test_waiting_steps);
	tcase_add_test(tcase, test_waiting_retries);
	tcase_add_test(tcase, test_each_step_gets_its_turn);
	tcase_add_test(tcase, test_reports_of_many_runs);
	tcase_add_test(tcase, test_orders_are_sent_in_parts);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
