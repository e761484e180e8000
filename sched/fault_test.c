#include "leader_test.h"

/* Tests of fault.c: for how long faults keep work from a worker. */

/** A job counts as lost when it has had no run for this time although it could
 * have one. */
#define LOST_MS 3000

/** Submits a job of one task that needs 6 of a VM's 10 CPUs. */
static void submit_task(struct leader *l, const char *path, gboolean lasts)
{
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	init_step(&step, &need, 1, 6000);
	step.lasts = lasts;
	confirm_leadership(l);
	submit(l, path, steps, 1);
	commit(l);
}

/* Reports the VM's lists as they are, with the task ended if it is not NULL. */
static void report_task(struct leader *l, const char *vm, const char *name,
			Rp__RunEndKind ended, guint64 number)
{
	const struct sch_vm *v = sch_vm_get(l->s, vm);
	struct row rows[8] = { { 0 } };
	g_autofree char *copies[8] = { NULL };
	size_t n = 0;
	guint i;

	for (i = 0; i < v->runs->len; i++) {
		const struct sch_run *run = v->runs->pdata[i];

		if (run->state == SCH_RUN_PLANNED)
			continue;
		copies[n] = g_strdup(run->name);
		rows[n].task = copies[n];
		rows[n].attempt = run->attempt;
		if (name && !strcmp(run->name, name)) {
			rows[n].ended = ended;
			rows[n].number = number;
		}
		n++;
	}
	report(l, vm, 50, rows, n);
	for (i = 0; i < G_N_ELEMENTS(copies); i++)
		g_clear_pointer(&copies[i], g_free);
}

static void fail_task(struct leader *l, const char *vm, const char *name,
		      guint64 number)
{
	ck_assert_uint_eq(task(l, name)->n_runs, 1);
	report_task(l, vm, name, RP__RUN_END_KIND__RUN_END_FAILED, number);
	ck_assert_uint_eq(task(l, name)->n_runs, 0);
}

/* Lets time pass until the task has a run; returns how long that took, or
 * limit_ms. The VMs report meanwhile. */
static gint64 wait_for_run(struct leader *l, const char *name, gint64 limit_ms)
{
	gint64 from_ms = l->now_ms;

	while (!task(l, name)->n_runs && l->now_ms < from_ms + limit_ms) {
		struct sch_event committed = { .kind = SCH_EVENT_COMMITTED };
		g_autoptr(GList) vms = g_hash_table_get_keys(l->s->vms);
		GList *vm;

		for (vm = vms; vm; vm = vm->next)
			report_task(l, vm->data, NULL, 0, 0);
		confirm_leadership(l);
		tick(l, 50);
		committed.revision = l->revision + 1;
		if (l->s->commit) {
			l->revision++;
			reduce(l, &committed);
		}
		clear_effects(l);
	}
	return l->now_ms - from_ms;
}

/*
 * Guards against a task that failed once and is not started again on the only
 * worker that it may go to, which has been sound for long.
 */
START_TEST(test_retry_returns_to_the_only_worker)
{
	struct leader l;
	gint64 waited_ms;

	setup(&l);
	add_vm(&l, "vm1");
	submit_task(&l, "/q/a", FALSE);
	fail_task(&l, "vm1", "a.0.0.0", 1);
	waited_ms = wait_for_run(&l, "a.0.0.0", 60000);
	ck_assert_int_lt(waited_ms, LOST_MS);
	/* Not at once: the worker may fail each task for seconds. */
	ck_assert_int_gt(waited_ms, 2000);
	teardown(&l);
}
END_TEST

/* Guards against a job that fails since its task uses up its attempts on a
 * worker that fails each task for 7 s. */
START_TEST(test_attempts_outlast_a_faulty_worker)
{
	struct leader l;
	gint64 from_ms;
	guint64 n = 0;

	setup(&l);
	((struct sch_queue *)l.s->queues->pdata[0])->max_attempts = 3;
	add_vm(&l, "vm1");
	from_ms = l.now_ms;
	submit_task(&l, "/q/a", FALSE);
	while (l.now_ms < from_ms + 7000) {
		fail_task(&l, "vm1", "a.0.0.0", ++n);
		ck_assert(!sch_job_has_ended(task(&l, "a.0.0.0")->job));
		wait_for_run(&l, "a.0.0.0", 60000);
	}
	ck_assert_uint_eq(task(&l, "a.0.0.0")->n_runs, 1);
	ck_assert_int_lt(l.now_ms, from_ms + 7000 + 2 * LOST_MS);
	teardown(&l);
}
END_TEST

/* Guards against a retry that is put off without end, since tasks of another
 * job, which ran already, fail on the worker one after the other. */
START_TEST(test_failures_of_others_do_not_hold_a_retry)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };
	gint64 from_ms;
	guint64 n = 1;
	guint i;

	setup(&l);
	((struct sch_queue *)l.s->queues->pdata[0])->max_attempts = 100;
	add_vm(&l, "vm1");
	submit_task(&l, "/q/a", FALSE);
	init_step(&step, &need, 7, 500);
	submit(&l, "/q/b", steps, 1);
	commit(&l);
	fail_task(&l, "vm1", "a.0.0.0", n);
	from_ms = l.now_ms;
	for (i = 0; i < 7; i++) {
		g_autofree char *name = g_strdup_printf("b.0.0.%u", i);

		fail_task(&l, "vm1", name, ++n);
		wait_for_run(&l, "a.0.0.0", 700);
	}
	wait_for_run(&l, "a.0.0.0", 60000);
	ck_assert_int_lt(l.now_ms, from_ms + 2 * LOST_MS);
	teardown(&l);
}
END_TEST

/* Guards against a retry on a worker with a fault while a sound one has room.
 */
START_TEST(test_retry_prefers_a_sound_worker)
{
	struct leader l;
	const char *failed;

	setup(&l);
	add_vm(&l, "vm1");
	add_vm(&l, "vm2");
	submit_task(&l, "/q/a", FALSE);
	failed = task(&l, "a.0.0.0")->runs[0]->vm->name;
	fail_task(&l, failed, "a.0.0.0", 1);
	ck_assert_int_lt(wait_for_run(&l, "a.0.0.0", 60000), 500);
	ck_assert_str_ne(task(&l, "a.0.0.0")->runs[0]->vm->name, failed);
	teardown(&l);
}
END_TEST

/* Lets the tasks of two jobs fail by turns until vm1 is quarantined for long.
 */
static guint64 quarantine(struct leader *l, guint faults)
{
	static const char *const names[] = { "a.0.0.0", "b.0.0.0" };
	guint64 n = 0;

	while (sch_vm_get(l->s, "vm1")->worker_faults < faults) {
		const char *name = names[n % 2];

		wait_for_run(l, name, 60000);
		fail_task(l, "vm1", name, ++n);
	}
	return n;
}

static void submit_half(struct leader *l, const char *path)
{
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	init_step(&step, &need, 1, 4000);
	step.lasts = TRUE;
	confirm_leadership(l);
	submit(l, path, steps, 1);
	commit(l);
}

/*
 * Guards against long-running tasks that stay down for as long as their only
 * worker is quarantined, up to 24 s, though their failures are their own.
 */
START_TEST(test_quarantine_of_the_only_worker)
{
	struct leader l;

	setup(&l);
	add_vm(&l, "vm1");
	submit_half(&l, "/q/a");
	submit_half(&l, "/q/b");
	quarantine(&l, 6);
	ck_assert_int_gt(sch_vm_get(l.s, "vm1")->quarantine_until_ms,
			 l.now_ms + 20000);
	ck_assert_int_lt(wait_for_run(&l, "a.0.0.0", 60000), LOST_MS);
	ck_assert_int_lt(wait_for_run(&l, "b.0.0.0", 60000), LOST_MS);
	teardown(&l);
}
END_TEST

/* Guards against work that a quarantined worker fails, while it only has to
 * wait for another one. */
START_TEST(test_quarantine_holds_while_another_worker_exists)
{
	struct leader l;

	setup(&l);
	add_vm(&l, "vm1");
	submit_half(&l, "/q/a");
	submit_half(&l, "/q/b");
	quarantine(&l, 6);
	add_vm(&l, "vm2");
	wait_for_run(&l, "a.0.0.0", 1000);
	wait_for_run(&l, "b.0.0.0", 1000);
	ck_assert_str_eq(task(&l, "a.0.0.0")->runs[0]->vm->name, "vm2");
	submit_task(&l, "/q/c", FALSE);
	ck_assert_int_ge(wait_for_run(&l, "c.0.0.0", 10000), 10000);
	/* The quarantine has an end all the same. */
	ck_assert_int_lt(wait_for_run(&l, "c.0.0.0", 60000), 24000);
	teardown(&l);
}
END_TEST

/* Guards against a worker that is quarantined for failures that are minutes
 * apart, as nothing but a task that is done ends a row of faults. */
START_TEST(test_faults_are_forgotten)
{
	struct leader l;
	guint i;

	setup(&l);
	add_vm(&l, "vm1");
	submit_half(&l, "/q/a");
	submit_half(&l, "/q/b");
	for (i = 0; i < 6; i++) {
		const char *name = i % 2 ? "b.0.0.0" : "a.0.0.0";
		gint64 until_ms = l.now_ms + 120000;

		fail_task(&l, "vm1", name, i + 1);
		ck_assert_int_le(sch_vm_get(l.s, "vm1")->quarantine_until_ms,
				 l.now_ms);
		ck_assert_int_lt(wait_for_run(&l, name, 60000), 500);
		while (l.now_ms < until_ms) {
			confirm_leadership(&l);
			report_task(&l, "vm1", NULL, 0, 0);
			commit(&l);
			clear_effects(&l);
		}
	}
	teardown(&l);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sched/fault");
	TCase *tcase = tcase_create("fault");

	tcase_add_test(tcase, test_retry_returns_to_the_only_worker);
	tcase_add_test(tcase, test_attempts_outlast_a_faulty_worker);
	tcase_add_test(tcase, test_failures_of_others_do_not_hold_a_retry);
	tcase_add_test(tcase, test_retry_prefers_a_sound_worker);
	tcase_add_test(tcase, test_quarantine_of_the_only_worker);
	tcase_add_test(tcase,
		       test_quarantine_holds_while_another_worker_exists);
	tcase_add_test(tcase, test_faults_are_forgotten);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
