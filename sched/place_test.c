#include "leader_test.h"

/* On which worker a task starts, and which task first. */

/* Guards against a gang of which only some members start. */
START_TEST(test_gang_is_all_or_none)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	setup(&l);
	add_vm(&l, "vm1");
	init_step(&step, &need, 3, 4000);
	step.gang = TRUE;
	submit(&l, "/q/a", steps, 1);
	commit(&l);
	ck_assert_uint_eq(orders_of(&l, FALSE), 0);
	add_vm(&l, "vm2");
	report(&l, "vm1", 50, NULL, 0);
	prove(&l);
	commit(&l);
	ck_assert_uint_eq(orders_of(&l, FALSE), 3);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->attempts,
			  task(&l, "a.0.0.2")->attempts);
	teardown(&l);
}
END_TEST

/* Guards against short tasks that wait behind those that last. */
START_TEST(test_short_tasks_before_lasting_ones)
{
	struct leader l;
	struct Rp__StepSpec lasting;
	struct Rp__StepSpec brief;
	struct Rp__Resources need[2];
	struct Rp__StepSpec *lasting_steps[] = { &lasting };
	struct Rp__StepSpec *brief_steps[] = { &brief };

	setup(&l);
	init_step(&lasting, &need[0], 1, 6000);
	lasting.lasts = TRUE;
	init_step(&brief, &need[1], 1, 6000);
	submit(&l, "/q/a", lasting_steps, 1);
	submit(&l, "/q/b", brief_steps, 1);
	commit(&l);
	add_vm(&l, "vm1");
	commit(&l);
	ck_assert_uint_eq(task(&l, "b.0.0.0")->n_runs, 1);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->n_runs, 0);
	teardown(&l);
}
END_TEST

/* Guards against a service that stays away after its tasks have failed, because
 * each worker with room has had a fault. */
START_TEST(test_failed_lasting_task_starts_again_on_a_worker_with_a_fault)
{
	static const struct row ended[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_FAILED, 1, 0, 0 },
	};
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	setup(&l);
	init_step(&step, &need, 1, 6000);
	step.lasts = TRUE;
	add_vm(&l, "vm1");
	submit(&l, "/q/a", steps, 1);
	commit(&l);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->n_runs, 1);
	report(&l, "vm1", 50, ended, 1);
	tick(&l, 20);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->n_runs, 1);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->runs[0]->attempt, 2);
	teardown(&l);
}
END_TEST

/*
 * Guards against a worker that is avoided for much longer than it is faulty,
 * because tasks fail that ran before it was found to be.
 */
START_TEST(test_tasks_that_fail_together_count_once)
{
	static const struct row both[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_FAILED, 1, 0, 0 },
		{ "b.0.0.0", 1, RP__RUN_END_KIND__RUN_END_FAILED, 2, 0, 0 },
	};
	static const struct row third[] = {
		{ "c.0.0.0", 1, RP__RUN_END_KIND__RUN_END_FAILED, 3, 0, 0 },
	};
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };
	gint64 until_ms;

	setup(&l);
	init_step(&step, &need, 1, 2000);
	add_vm(&l, "vm1");
	submit(&l, "/q/a", steps, 1);
	submit(&l, "/q/b", steps, 1);
	submit(&l, "/q/c", steps, 1);
	commit(&l);
	report(&l, "vm1", 50, both, 2);
	until_ms = sch_vm_get(l.s, "vm1")->avoid_until_ms;
	ck_assert_int_gt(until_ms, l.now_ms);
	tick(&l, 100);
	report(&l, "vm1", 50, third, 1);
	ck_assert_int_eq(sch_vm_get(l.s, "vm1")->avoid_until_ms, until_ms);
	teardown(&l);
}
END_TEST

/* Teaches the leader that the image fill stretches the image web a lot. */
static void teach(struct leader *l)
{
	colo_set_coefficient(l->s->colo, colo_image_id(l->s->colo, "web"),
			     colo_image_id(l->s->colo, "fill"), 0.5);
}

static void start_image(struct leader *l, const char *path, const char *image,
			gint64 cpu_milli)
{
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	init_step(&step, &need, 1, cpu_milli);
	step.lasts = TRUE;
	step.target_ms = 50;
	step.image = (char *)image;
	submit(l, path, steps, 1);
	commit(l);
}

static void start_serving(struct leader *l, const char *path)
{
	start_image(l, path, "web", 6000);
}

/* Guards against filling tasks beside a service that they are known to slow. */
START_TEST(test_filling_task_avoids_what_it_slows)
{
	static const struct row web[] = {
		{ "w.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 100, 15 },
	};
	struct leader l;

	setup(&l);
	add_vm(&l, "vm1");
	start_serving(&l, "/q/w");
	report(&l, "vm1", 50, web, 1);
	add_vm(&l, "vm2");
	teach(&l);
	submit_fill(&l, "/q/f");
	commit(&l);
	ck_assert_uint_eq(task(&l, "f.0.0.0")->n_runs, 1);
	ck_assert_str_eq(task(&l, "f.0.0.0")->runs[0]->vm->name, "vm2");
	teardown(&l);
}
END_TEST

/* Guards against filling tasks that use up the little that the services which
 * they disturb can take, while others would not notice them. */
START_TEST(test_filling_task_spares_what_it_disturbs)
{
	static const struct row web[] = {
		{ "w.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 100, 15 },
	};
	static const struct row api[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 100, 15 },
	};
	struct leader l;
	struct colo_table *colo;

	setup(&l);
	colo = l.s->colo;
	add_vm(&l, "vm1");
	start_image(&l, "/q/w", "web", 3000);
	report(&l, "vm1", 50, web, 1);
	add_vm(&l, "vm2");
	start_image(&l, "/q/a", "api", 8000);
	report(&l, "vm2", 50, api, 1);
	colo_set_coefficient(colo, colo_image_id(colo, "web"),
			     colo_image_id(colo, "fill"), 0.05);
	colo_set_coefficient(colo, colo_image_id(colo, "api"),
			     colo_image_id(colo, "fill"), 0);
	submit_fill(&l, "/q/f");
	commit(&l);
	ck_assert_uint_eq(task(&l, "f.0.0.0")->n_runs, 1);
	ck_assert_str_eq(task(&l, "f.0.0.0")->runs[0]->vm->name, "vm2");
	teardown(&l);
}
END_TEST

/*
 * Guards against filling tasks that start where they take most of the latency
 * that a service has left: at the next swing of its load they are stopped, and
 * until then they harm it and keep processors that they cannot use.
 */
START_TEST(test_filling_task_waits_for_a_worker_that_it_hardly_disturbs)
{
	static const struct row web[] = {
		{ "w.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 100, 15 },
	};
	struct leader l;
	struct colo_table *colo;

	setup(&l);
	colo = l.s->colo;
	add_vm(&l, "vm1");
	start_serving(&l, "/q/w");
	report(&l, "vm1", 50, web, 1);
	/* 4 processors stretch it by 0.32, of the 0.62 that are left. */
	colo_set_coefficient(colo, colo_image_id(colo, "web"),
			     colo_image_id(colo, "fill"), 0.08);
	submit_fill(&l, "/q/f");
	commit(&l);
	ck_assert_uint_eq(task(&l, "f.0.0.0")->n_runs, 0);
	colo_set_coefficient(colo, colo_image_id(colo, "web"),
			     colo_image_id(colo, "fill"), 0.02);
	report(&l, "vm1", 50, web, 1);
	tick(&l, 100);
	ck_assert_uint_eq(task(&l, "f.0.0.0")->n_runs, 1);
	teardown(&l);
}
END_TEST

/* Guards against a mean pace that is no number any more once a job that
 * declares no processors has run. */
START_TEST(test_filling_task_without_processors)
{
	static const struct row running[] = {
		{ "f.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 10, 0 },
	};
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	setup(&l);
	init_step(&step, &need, 1, 0);
	step.fills = TRUE;
	step.image = (char *)"fill";
	add_vm(&l, "vm1");
	submit(&l, "/q/f", steps, 1);
	commit(&l);
	report(&l, "vm1", 50, running, 1);
	ck_assert_double_eq(l.s->fill_pace, 1);
	teardown(&l);
}
END_TEST

/*
 * Guards against a harmless image that is held to disturb a service, because
 * the own latency of the service is taken from a sibling whose figure is too
 * low by chance.
 */
START_TEST(test_low_figure_is_not_interference)
{
	static const char *const names[] = { "w.0.0.0", "w.0.0.1", "w.0.0.2",
					     "w.0.0.3" };
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };
	struct leader l;
	guint vm;
	guint i;

	setup(&l);
	for (vm = 0; vm < G_N_ELEMENTS(names); vm++)
		add_vm(&l, (const char *[]){ "vm1", "vm2", "vm3", "vm4" }[vm]);
	init_step(&step, &need, 4, 9000);
	step.lasts = TRUE;
	step.target_ms = 50;
	step.image = (char *)"web";
	submit(&l, "/q/w", steps, 1);
	commit(&l);
	submit_fill(&l, "/q/f");
	commit(&l);
	ck_assert_uint_eq(task(&l, "f.0.0.0")->n_runs, 1);
	for (i = 0; i < 60; i++) {
		for (vm = 0; vm < G_N_ELEMENTS(names); vm++) {
			const struct sch_run *run =
				task(&l, names[vm])->runs[0];
			gboolean beside = run->vm ==
					  task(&l, "f.0.0.0")->runs[0]->vm;
			struct row rows[] = {
				{ names[vm], 1, RP__RUN_END_KIND__RUN_END_NONE,
				  0, 100, 20 },
				{ "f.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE,
				  0, 1, 4000 },
			};

			if (!beside && vm == i % G_N_ELEMENTS(names))
				rows[0].figure = 14;
			report(&l, run->vm->name, 50, rows, beside ? 2 : 1);
		}
		tick(&l, 500);
		prove(&l);
	}
	ck_assert_double_lt(colo_coefficient(l.s->colo,
					     colo_image_id(l.s->colo, "web"),
					     colo_image_id(l.s->colo, "fill")),
			    0.01);
	teardown(&l);
}
END_TEST

/* Guards against small jobs that wait behind large ones in a flood of filling
 * tasks: 6 small ones are done in the room of one large one. */
START_TEST(test_flood_of_filling_tasks_by_work_left)
{
	struct leader l;
	struct Rp__StepSpec large;
	struct Rp__StepSpec small;
	struct Rp__Resources need[2];
	struct Rp__StepSpec *large_steps[] = { &large };
	struct Rp__StepSpec *small_steps[] = { &small };
	guint small_runs = 0;
	guint i;

	setup(&l);
	init_step(&large, &need[0], 6, 5000);
	large.fills = TRUE;
	init_step(&small, &need[1], 1, 1500);
	small.fills = TRUE;
	submit(&l, "/q/large", large_steps, 1);
	for (i = 0; i < 6; i++) {
		g_autofree char *path = g_strdup_printf("/q/small%u", i);

		submit(&l, path, small_steps, 1);
	}
	commit(&l);
	add_vm(&l, "vm1");
	commit(&l);
	for (i = 0; i < 6; i++) {
		g_autofree char *name = g_strdup_printf("small%u.0.0.0", i);

		small_runs += task(&l, name)->n_runs;
	}
	ck_assert_uint_eq(small_runs, 6);
	teardown(&l);
}
END_TEST

/* Guards against a job that stands still although there is room (LOST on
 * trouble-2 of jurado-andino, seed 411062794018). */
START_TEST(test_starved_filling_task_starts_anywhere)
{
	static const struct row web[] = {
		{ "w.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 100, 15 },
	};
	struct leader l;
	guint i;

	setup(&l);
	add_vm(&l, "vm1");
	start_serving(&l, "/q/w");
	report(&l, "vm1", 50, web, 1);
	teach(&l);
	submit_fill(&l, "/q/f");
	commit(&l);
	ck_assert_uint_eq(task(&l, "f.0.0.0")->n_runs, 0);
	for (i = 0; i < 10; i++) {
		report(&l, "vm1", 50, web, 1);
		tick(&l, 250);
	}
	ck_assert_uint_eq(task(&l, "f.0.0.0")->n_runs, 1);
	teardown(&l);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("place");
	TCase *tcase = tcase_create("place");

	fixture_drop_logs();
	tcase_add_test(tcase, test_gang_is_all_or_none);
	tcase_add_test(tcase, test_short_tasks_before_lasting_ones);
	tcase_add_test(
		tcase,
		test_failed_lasting_task_starts_again_on_a_worker_with_a_fault);
	tcase_add_test(tcase, test_tasks_that_fail_together_count_once);
	tcase_add_test(tcase, test_filling_task_avoids_what_it_slows);
	tcase_add_test(tcase, test_filling_task_spares_what_it_disturbs);
	tcase_add_test(
		tcase,
		test_filling_task_waits_for_a_worker_that_it_hardly_disturbs);
	tcase_add_test(tcase, test_filling_task_without_processors);
	tcase_add_test(tcase, test_low_figure_is_not_interference);
	tcase_add_test(tcase, test_flood_of_filling_tasks_by_work_left);
	tcase_add_test(tcase, test_starved_filling_task_starts_anywhere);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
