#include "leader_test.h"

/* Tests of what happens when best-effort tasks compete for capacity. */

static void submit_tasks(struct leader *l, const char *path, guint replicas,
			 gint64 cpu_milli, guint32 estimate_ms)
{
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	init_step(&step, &need, replicas, cpu_milli);
	step.estimate_ms = estimate_ms;
	step.fills = TRUE;
	step.checkpoints = TRUE;
	step.image = (char *)"fill";
	submit(l, path, steps, 1);
}

/*
 * Guards against a step of which most tasks run and whose last one waits behind
 * the tasks of a job that needs less work altogether, but more from now on.
 */
START_TEST(test_last_task_of_a_step_before_a_small_job)
{
	static const struct row ended[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_DONE, 1, 0, 0 },
		{ "a.0.0.1", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 10, 4000 },
	};
	struct leader l;

	setup(&l);
	add_vm(&l, "vm1");
	submit_tasks(&l, "/q/a", 3, 4000, 1000);
	commit(&l);
	ck_assert_uint_eq(task(&l, "a.0.0.2")->n_runs, 0);
	submit_tasks(&l, "/q/b", 1, 4000, 1500);
	report(&l, "vm1", 50, ended, 2);
	commit(&l);
	ck_assert_uint_eq(task(&l, "a.0.0.2")->n_runs, 1);
	ck_assert_uint_eq(task(&l, "b.0.0.0")->n_runs, 0);
	teardown(&l);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("overload");
	TCase *tcase = tcase_create("overload");

	fixture_drop_logs();
	tcase_add_test(tcase, test_last_task_of_a_step_before_a_small_job);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
