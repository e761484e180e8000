#include "leader_test.h"

/* Tests of order.c, place.c, interfere.c and fault.c: which tasks start first,
 * and on which VMs. */

/*
 * Guards against a gang of which only some members start, because not all fit:
 * they would occupy capacity and wait for the others.
 */
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
	ck_assert_uint_eq(count_orders(&l, FALSE), 0);
	add_vm(&l, "vm2");
	report(&l, "vm1", 50, NULL, 0);
	confirm_leadership(&l);
	commit(&l);
	ck_assert_uint_eq(count_orders(&l, FALSE), 3);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->attempts,
			  task(&l, "a.0.0.2")->attempts);
	teardown(&l);
}
END_TEST

/*
 * Guards against short tasks that wait behind long-running tasks, which occupy
 * their capacity for long: here the long-running one is submitted first.
 */
START_TEST(test_short_tasks_before_long_running_ones)
{
	struct leader l;
	struct Rp__StepSpec long_running;
	struct Rp__StepSpec short_step;
	struct Rp__Resources need[2];
	struct Rp__StepSpec *long_running_steps[] = { &long_running };
	struct Rp__StepSpec *short_steps[] = { &short_step };

	setup(&l);
	init_step(&long_running, &need[0], 1, 6000);
	long_running.lasts = TRUE;
	init_step(&short_step, &need[1], 1, 6000);
	submit(&l, "/q/a", long_running_steps, 1);
	submit(&l, "/q/b", short_steps, 1);
	commit(&l);
	add_vm(&l, "vm1");
	commit(&l);
	ck_assert_uint_eq(task(&l, "b.0.0.0")->n_runs, 1);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->n_runs, 0);
	teardown(&l);
}
END_TEST

/*
 * Guards against a long-running task that is not restarted after a failure,
 * because the failure counted as a fault of the only worker where it fits.
 */
START_TEST(test_failed_long_running_task_restarts_on_worker_with_fault)
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
 * Guards against a worker that is quarantined for much longer than it is
 * faulty, because runs that started before the quarantine fail one by one.
 */
START_TEST(test_earlier_runs_do_not_extend_quarantine)
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
	until_ms = sch_vm_get(l.s, "vm1")->quarantine_until_ms;
	ck_assert_int_gt(until_ms, l.now_ms);
	tick(&l, 100);
	report(&l, "vm1", 50, third, 1);
	ck_assert_int_eq(sch_vm_get(l.s, "vm1")->quarantine_until_ms, until_ms);
	teardown(&l);
}
END_TEST

/* Sets a coefficient by which the image fill is very harmful to web. */
static void set_harmful_pair(struct leader *l)
{
	colo_set_coefficient(l->s->colo, colo_image_id(l->s->colo, "web"),
			     colo_image_id(l->s->colo, "fill"), 0.5);
}

static void start_latency_sensitive(struct leader *l, const char *path,
				    const char *image, gint64 cpu_milli)
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

static void start_web(struct leader *l, const char *path)
{
	start_latency_sensitive(l, path, "web", 6000);
}

/*
 * Guards against best-effort tasks on the VM of a latency-sensitive task that
 * they are known to slow, while another VM is free.
 */
START_TEST(test_best_effort_avoids_known_interference)
{
	static const struct row web[] = {
		{ "w.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 100, 15 },
	};
	struct leader l;

	setup(&l);
	add_vm(&l, "vm1");
	start_web(&l, "/q/w");
	report(&l, "vm1", 50, web, 1);
	add_vm(&l, "vm2");
	set_harmful_pair(&l);
	submit_best_effort(&l, "/q/f");
	commit(&l);
	ck_assert_uint_eq(task(&l, "f.0.0.0")->n_runs, 1);
	ck_assert_str_eq(task(&l, "f.0.0.0")->runs[0]->vm->name, "vm2");
	teardown(&l);
}
END_TEST

/* Name of the VM on which the task runs. */
static const char *vm_of(struct leader *l, const char *name)
{
	ck_assert_uint_eq(task(l, name)->n_runs, 1);
	return task(l, name)->runs[0]->vm->name;
}

/** A pool whose CPUs latency-sensitive tasks of 1 CPU reserve, and half use. */
#define POOL_VMS 60
#define POOL_IMAGES 6
#define POOL_TASKS (POOL_VMS * 10)

static void submit_latency_sensitive(struct leader *l, guint number,
				     const char *image)
{
	g_autofree char *path = g_strdup_printf("/q/s%u", number);
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	init_step(&step, &need, 1, 1000);
	step.lasts = TRUE;
	step.target_ms = 50;
	step.image = (char *)image;
	submit(l, path, steps, 1);
	if (number % 20)
		return;
	tick(l, 20);
	confirm_leadership(l);
}

/*
 * Guards against latency-sensitive images that are mixed on VMs of a large
 * pool, which leaves best-effort images without a VM where they harm none. The
 * load fills the pool with six images that arrive in turn; the best-effort
 * image harms three of them. At least half of the jobs that could start beside
 * the others have to start at once.
 */
START_TEST(test_best_effort_starts_in_pool_full_of_services)
{
	struct leader l;
	struct colo_table *colo;
	guint started = 0;
	guint i;

	setup(&l);
	colo = l.s->colo;
	for (i = 0; i < POOL_VMS; i++) {
		g_autofree char *name = g_strdup_printf("vm%u", i);

		add_vm(&l, name);
	}
	for (i = 0; i < POOL_TASKS; i++) {
		g_autofree char *image = g_strdup_printf("image%u",
							 i % POOL_IMAGES);

		submit_latency_sensitive(&l, i, image);
		colo_set_coefficient(colo, colo_image_id(colo, image),
				     colo_image_id(colo, "fill"),
				     i % 2 ? 0.5 : 0);
	}
	for (i = 0; i < POOL_VMS / 2; i++) {
		g_autofree char *path = g_strdup_printf("/q/f%u", i);

		submit_best_effort(&l, path);
	}
	tick(&l, 20);
	for (i = 0; i < POOL_VMS / 2; i++) {
		g_autofree char *name = g_strdup_printf("f%u.0.0.0", i);

		started += task(&l, name)->n_runs;
	}
	ck_assert_uint_ge(started, POOL_VMS / 4);
	teardown(&l);
}
END_TEST

/*
 * Guards against a small pool on whose VMs each has a latency-sensitive task,
 * so that best-effort tasks run undisturbed nowhere, though few VMs could hold
 * all of them.
 */
START_TEST(test_small_pool_keeps_vms_without_services)
{
	struct leader l;

	setup(&l);
	add_vm(&l, "vm1");
	add_vm(&l, "vm2");
	start_latency_sensitive(&l, "/q/a", "web", 4000);
	start_latency_sensitive(&l, "/q/b", "api", 4000);
	ck_assert_str_eq(vm_of(&l, "a.0.0.0"), vm_of(&l, "b.0.0.0"));
	teardown(&l);
}
END_TEST

/* Guards against a latency-sensitive task that waits because only VMs with
 * other images have room. */
START_TEST(test_latency_sensitive_images_share_a_full_pool)
{
	struct leader l;

	setup(&l);
	add_vm(&l, "vm1");
	start_latency_sensitive(&l, "/q/a", "web", 4000);
	start_latency_sensitive(&l, "/q/b", "api", 4000);
	ck_assert_str_eq(vm_of(&l, "b.0.0.0"), "vm1");
	teardown(&l);
}
END_TEST

/*
 * Guards against best-effort tasks that take headroom of an image that they
 * slow, while they fit beside one that they do not slow: vm2 has fewer unused
 * CPUs (6, vm1 has 8.5) but no interference.
 */
START_TEST(test_best_effort_prefers_vm_without_interference)
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
	start_latency_sensitive(&l, "/q/w", "web", 3000);
	report(&l, "vm1", 50, web, 1);
	add_vm(&l, "vm2");
	start_latency_sensitive(&l, "/q/a", "api", 8000);
	report(&l, "vm2", 50, api, 1);
	colo_set_coefficient(colo, colo_image_id(colo, "web"),
			     colo_image_id(colo, "fill"), 0.05);
	colo_set_coefficient(colo, colo_image_id(colo, "api"),
			     colo_image_id(colo, "fill"), 0);
	submit_best_effort(&l, "/q/f");
	commit(&l);
	ck_assert_uint_eq(task(&l, "f.0.0.0")->n_runs, 1);
	ck_assert_str_eq(task(&l, "f.0.0.0")->runs[0]->vm->name, "vm2");
	teardown(&l);
}
END_TEST

/*
 * Guards against best-effort tasks that start where they take most of the
 * headroom of a latency-sensitive task: when its load rises a little they are
 * stopped, and until then they slow it and occupy CPUs that they cannot use.
 */
START_TEST(test_best_effort_waits_for_low_interference)
{
	static const struct row web[] = {
		{ "w.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 100, 15 },
	};
	struct leader l;
	struct colo_table *colo;

	setup(&l);
	colo = l.s->colo;
	add_vm(&l, "vm1");
	start_web(&l, "/q/w");
	report(&l, "vm1", 50, web, 1);
	/* The headroom at 15 of 50 ms is 0.62; 4 CPUs x 0.08 = 0.32 is more
	 * than the 40 % of it that a best-effort task may take. */
	colo_set_coefficient(colo, colo_image_id(colo, "web"),
			     colo_image_id(colo, "fill"), 0.08);
	submit_best_effort(&l, "/q/f");
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

/*
 * Guards against best-effort tasks that start beside a latency-sensitive task
 * that is over its target, as their image is believed to be harmless: each
 * works at full share until the agent throttles it.
 */
START_TEST(test_best_effort_starts_nothing_beside_task_over_target)
{
	static const struct row over[] = {
		{ "w.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 100, 70 },
	};
	static const struct row below[] = {
		{ "w.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 100, 15 },
	};
	struct leader l;
	struct colo_table *colo;

	setup(&l);
	colo = l.s->colo;
	add_vm(&l, "vm1");
	start_web(&l, "/q/w");
	colo_set_coefficient(colo, colo_image_id(colo, "web"),
			     colo_image_id(colo, "fill"), 0);
	report(&l, "vm1", 50, over, 1);
	submit_best_effort(&l, "/q/f");
	commit(&l);
	ck_assert_uint_eq(task(&l, "f.0.0.0")->n_runs, 0);
	report(&l, "vm1", 50, below, 1);
	tick(&l, 100);
	ck_assert_uint_eq(task(&l, "f.0.0.0")->n_runs, 1);
	teardown(&l);
}
END_TEST

/*
 * Guards against a mean CPU share that is not a number: a job that declares no
 * CPUs would lead to a division by 0.
 */
START_TEST(test_best_effort_without_cpus)
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
	ck_assert_double_eq(l.s->best_effort_cpu_share, 1);
	teardown(&l);
}
END_TEST

/*
 * Guards against a harmless image that gets a high coefficient, because the
 * step's baseline latency is taken from a replica whose measured latency is too
 * low by chance.
 */
START_TEST(test_single_low_latency_does_not_raise_coefficient)
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
	submit_best_effort(&l, "/q/f");
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
				rows[0].measurement = 14;
			report(&l, run->vm->name, 50, rows, beside ? 2 : 1);
		}
		tick(&l, 500);
		confirm_leadership(&l);
	}
	ck_assert_double_lt(colo_coefficient(l.s->colo,
					     colo_image_id(l.s->colo, "web"),
					     colo_image_id(l.s->colo, "fill")),
			    0.01);
	teardown(&l);
}
END_TEST

/*
 * Guards against small best-effort jobs that wait behind a large one: of the
 * queued jobs, those with the least remaining work (CPUs times duration) start
 * first. The 6 small jobs together need less than a third of the large one's
 * CPUs.
 */
START_TEST(test_best_effort_ordered_by_remaining_work)
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

/*
 * Guards against a best-effort job that never starts, although it fits and has
 * waited for long, because each VM has a latency-sensitive task that it slows.
 * (Found by a simulated day, seed 411062794018.)
 */
START_TEST(test_best_effort_starts_after_wait_despite_interference)
{
	static const struct row web[] = {
		{ "w.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 100, 15 },
	};
	struct leader l;
	guint i;

	setup(&l);
	add_vm(&l, "vm1");
	start_web(&l, "/q/w");
	report(&l, "vm1", 50, web, 1);
	set_harmful_pair(&l);
	submit_best_effort(&l, "/q/f");
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
	tcase_add_test(tcase, test_short_tasks_before_long_running_ones);
	tcase_add_test(
		tcase,
		test_failed_long_running_task_restarts_on_worker_with_fault);
	tcase_add_test(tcase, test_earlier_runs_do_not_extend_quarantine);
	tcase_add_test(tcase, test_best_effort_avoids_known_interference);
	tcase_add_test(tcase, test_best_effort_starts_in_pool_full_of_services);
	tcase_add_test(tcase, test_small_pool_keeps_vms_without_services);
	tcase_add_test(tcase, test_latency_sensitive_images_share_a_full_pool);
	tcase_add_test(tcase, test_best_effort_prefers_vm_without_interference);
	tcase_add_test(tcase, test_best_effort_waits_for_low_interference);
	tcase_add_test(tcase,
		       test_best_effort_starts_nothing_beside_task_over_target);
	tcase_add_test(tcase, test_best_effort_without_cpus);
	tcase_add_test(tcase,
		       test_single_low_latency_does_not_raise_coefficient);
	tcase_add_test(tcase, test_best_effort_ordered_by_remaining_work);
	tcase_add_test(tcase,
		       test_best_effort_starts_after_wait_despite_interference);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
