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

/* The last record of the interference table in the transactions, or NULL. */
static GBytes *interference_record(const struct leader *l)
{
	guint i;
	guint k;

	for (i = l->effects->len; i-- > 0;) {
		const struct sch_effect *e =
			&g_array_index(l->effects, struct sch_effect, i);

		for (k = 0; e->txn && k < e->txn->ops->len; k++) {
			const struct kv_op *op =
				&g_array_index(e->txn->ops, struct kv_op, k);

			if (!strcmp(op->key, SCH_INTERFERENCE_KEY))
				return op->value;
		}
	}
	return NULL;
}

static void learn_pair(struct leader *l, const char *sensitive,
		       const char *best_effort, double interference)
{
	struct colo_cpu_use use = {
		.image = colo_image_id(l->s->colo, best_effort),
		.cpus = 4,
	};
	guint i;

	for (i = 0; i < 10; i++)
		colo_update_coefficients(
			l->s->colo, colo_image_id(l->s->colo, sensitive), 0.4,
			0.4 / (1 - interference), &use, 1);
}

static double coefficient(struct leader *l, const char *sensitive,
			  const char *best_effort)
{
	return colo_coefficient(l->s->colo,
				colo_image_id(l->s->colo, sensitive),
				colo_image_id(l->s->colo, best_effort));
}

/*
 * Guards against a leader that has to learn which images disturb each other
 * again when no agent is left that knows it. Pairs that were not measured are
 * not stored, so that the next leader does not take them for known.
 */
START_TEST(test_interference_table_is_stored)
{
	struct leader l;
	struct leader next;
	GBytes *record;

	setup(&l);
	learn_pair(&l, "web", "heavy", 0.2);
	learn_pair(&l, "web", "light", 0);
	colo_restore(l.s->colo, colo_image_id(l.s->colo, "web"),
		     colo_image_id(l.s->colo, "new"), 0.3, 4e-4);
	add_vm(&l, "vm1");
	submit_tasks(&l, "/q/a", 1, 1000, 1000);
	commit(&l);
	record = interference_record(&l);
	ck_assert_ptr_nonnull(record);
	/* An earlier version ignores it when it leads again. */
	ck_assert_ptr_null(
		rp__step_progress__unpack(NULL, g_bytes_get_size(record),
					  g_bytes_get_data(record, NULL)));
	setup(&next);
	ck_assert_int_eq(sch_load_interference(next.s,
					       g_bytes_get_data(record, NULL),
					       g_bytes_get_size(record)),
			 0);
	ck_assert_double_eq(coefficient(&next, "web", "heavy"),
			    coefficient(&l, "web", "heavy"));
	ck_assert_double_eq(coefficient(&next, "web", "light"),
			    coefficient(&l, "web", "light"));
	ck_assert_double_gt(coefficient(&next, "web", "heavy"), 0.03);
	ck_assert(!colo_is_known(next.s->colo,
				 colo_image_id(next.s->colo, "web"),
				 colo_image_id(next.s->colo, "new")));
	teardown(&next);
	teardown(&l);
}
END_TEST

/*
 * Guards against a record of the interference table that is written with each
 * transaction, or grows with the number of images.
 */
START_TEST(test_interference_record_is_bounded)
{
	struct leader l;
	guint i;

	setup(&l);
	for (i = 0; i < 1000; i++) {
		g_autofree char *image = g_strdup_printf("image-%u", i);

		learn_pair(&l, "web", image, 0.1);
	}
	add_vm(&l, "vm1");
	submit_tasks(&l, "/q/a", 1, 1000, 1000);
	commit(&l);
	ck_assert_ptr_nonnull(interference_record(&l));
	ck_assert_uint_le(g_bytes_get_size(interference_record(&l)), 16384);
	ck_assert_uint_gt(g_bytes_get_size(interference_record(&l)), 16000);
	clear_effects(&l);
	submit_tasks(&l, "/q/b", 1, 1000, 1000);
	commit(&l);
	ck_assert_ptr_null(interference_record(&l));
	tick(&l, 10000);
	clear_effects(&l);
	confirm_leadership(&l);
	submit_tasks(&l, "/q/c", 1, 1000, 1000);
	commit(&l);
	ck_assert_ptr_nonnull(interference_record(&l));
	teardown(&l);
}
END_TEST

/*
 * Guards against moves that cost more than they gain: of a task that has most
 * of its CPUs, was just started, is nearly done or would lose its work.
 */
START_TEST(test_straggler_moves_only_for_a_gain)
{
	const struct sch_straggler slow = {
		.remaining_ms = 1000,
		.cpu_share = 0.2,
		.percent = 50,
		.age_ms = 2000,
		.saves_progress = TRUE,
	};
	struct sch_straggler x = slow;

	ck_assert(sch_straggler_should_move(&x));
	x.cpu_share = 0; /* It stands still. */
	ck_assert(sch_straggler_should_move(&x));
	x.cpu_share = 0.6;
	x.remaining_ms = 10000;
	ck_assert(!sch_straggler_should_move(&x));
	x = slow;
	x.cpu_share = 0.5; /* It would end only 1 s earlier. */
	ck_assert(!sch_straggler_should_move(&x));
	x = slow;
	x.age_ms = 900;
	ck_assert(!sch_straggler_should_move(&x));
	x = slow;
	x.percent = 90;
	ck_assert(!sch_straggler_should_move(&x));
	x = slow;
	x.saves_progress = FALSE;
	ck_assert(!sch_straggler_should_move(&x));
}
END_TEST

/*
 * Guards against a job that misses its objective since one of its tasks gets
 * few CPUs on its VM, while another VM has room for it.
 */
START_TEST(test_straggler_is_moved)
{
	static const struct row slow[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 2, 1300 },
	};
	static const struct row stopped[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_STOPPED, 1, 0, 0 },
	};
	struct leader l;
	guint i;

	setup(&l);
	add_vm(&l, "vm1");
	submit_tasks(&l, "/q/a", 1, 4000, 1000);
	commit(&l);
	ck_assert_str_eq(task(&l, "a.0.0.0")->runs[0]->vm->name, "vm1");
	add_vm(&l, "vm2");
	clear_effects(&l);
	/* It takes 3 s there, and 1 s with all its CPUs. */
	for (i = 0; i < 5; i++) {
		report(&l, "vm1", 50, slow, 1);
		report(&l, "vm2", 50, NULL, 0);
		tick(&l, 250);
	}
	ck_assert_uint_eq(count_orders(&l, TRUE), 1);
	ck_assert_uint_eq(l.s->stats.stragglers, 1);
	report(&l, "vm1", 50, stopped, 1);
	commit(&l);
	ck_assert_str_eq(task(&l, "a.0.0.0")->runs[0]->vm->name, "vm2");
	teardown(&l);
}
END_TEST

/* Name of the job whose step goes first. */
static const char *first_job(struct leader *l)
{
	g_autoptr(GArray) candidates = sch_collect_candidates(l->s);

	ck_assert_uint_gt(candidates->len, 0);
	return g_array_index(candidates, struct sch_candidate, 0)
		.instance->job->id;
}

/*
 * Guards against a nearly finished job, which is late but still has some value,
 * that waits for the whole of a large job that is in time: for each CPU-second
 * it is worth more. It goes after one of the same size that is in time, and
 * after all when it is overdue.
 */
START_TEST(test_cost_of_delay_orders_best_effort_steps)
{
	struct leader l;

	setup(&l);
	/* Objective 3 s, so it is late from 2 s on and overdue from 8 s on. */
	submit_tasks(&l, "/q/late", 1, 1000, 1000);
	commit(&l);
	tick(&l, 2500);
	confirm_leadership(&l);
	submit_tasks(&l, "/q/large", 10, 1000, 1000);
	commit(&l);
	ck_assert_str_eq(first_job(&l), "late");
	submit_tasks(&l, "/q/small", 1, 1000, 1000);
	commit(&l);
	ck_assert_str_eq(first_job(&l), "small");
	tick(&l, 6000);
	confirm_leadership(&l);
	submit_tasks(&l, "/q/huge", 100, 1000, 1000);
	commit(&l);
	sch_job_end(l.s, g_hash_table_lookup(l.s->jobs, "small"),
		    RP__JOB_STATE__JOB_STATE_CANCELLED);
	sch_job_end(l.s, g_hash_table_lookup(l.s->jobs, "large"),
		    RP__JOB_STATE__JOB_STATE_CANCELLED);
	ck_assert_str_eq(first_job(&l), "huge");
	teardown(&l);
}
END_TEST

/*
 * Guards against the largest jobs getting nothing while smaller ones arrive all
 * the time: here these need all CPUs, and one job of ten is ten times as large.
 */
START_TEST(test_largest_tenth_is_served)
{
	guint small_started = 0;
	guint large_started = 0;
	struct leader l;
	guint i;

	setup(&l);
	add_vm(&l, "vm1");
	for (i = 0; i < 40; i++) {
		g_autofree char *path = g_strdup_printf("/q/job%u", i);

		confirm_leadership(&l);
		report(&l, "vm1", 50, NULL, 0);
		submit_tasks(&l, path, i % 10 ? 2 : 20, 4000, 1000);
		commit(&l);
	}
	for (i = 0; i < 30; i++) {
		confirm_leadership(&l);
		report(&l, "vm1", 50, NULL, 0);
		commit(&l);
	}
	for (i = 0; i < 40; i++) {
		g_autofree char *id = g_strdup_printf("job%u", i);
		const struct sch_job *job = g_hash_table_lookup(l.s->jobs, id);

		if (job->n_runs && i % 10)
			small_started++;
		else if (job->n_runs)
			large_started++;
	}
	/* Of 36 and of 4. */
	ck_assert_uint_gt(small_started, 0);
	ck_assert_uint_ge(2 * large_started * 36, small_started * 4);
	teardown(&l);
}
END_TEST

/*
 * Guards against a leader whose memory grows until its process ends, a repeat
 * of an accepted job that is refused, and a refusal although VMs have capacity.
 */
START_TEST(test_bound_on_accepted_jobs)
{
	struct leader l;
	guint i;

	setup(&l);
	l.s->options.max_jobs = 3;
	for (i = 0; i < 3; i++) {
		g_autofree char *path = g_strdup_printf("/q/job%u", i);

		submit_tasks(&l, path, 1, 1000, 1000);
		commit(&l);
	}
	confirm_leadership(&l);
	submit_tasks(&l, "/q/new", 1, 1000, 1000);
	ck_assert_uint_eq(l.status, 429);
	ck_assert_uint_eq(l.s->stats.refused_jobs, 1);
	submit_tasks(&l, "/q/job1", 1, 1000, 1000);
	ck_assert_uint_eq(l.status, 200);
	for (i = 0; i < l.s->active->len; i++)
		((struct sch_job *)l.s->active->pdata[i])->started = TRUE;
	clear_effects(&l);
	submit_tasks(&l, "/q/new", 1, 1000, 1000);
	ck_assert_uint_eq(l.status, 0);
	commit(&l);
	ck_assert_uint_eq(l.status, 200);
	teardown(&l);
}
END_TEST

/* Guards against an account of bytes that jobs leave behind when they end. */
START_TEST(test_bound_on_bytes_of_jobs)
{
	struct leader l;

	setup(&l);
	l.s->options.max_job_bytes = 10000;
	submit_tasks(&l, "/q/a", 20, 1000, 1000);
	commit(&l);
	confirm_leadership(&l);
	submit_tasks(&l, "/q/b", 20, 1000, 1000);
	ck_assert_uint_eq(l.status, 429);
	ck_assert_uint_eq(l.s->stats.refused_bytes, 1);
	call(&l, RP__STEP_VERB__STEP_VERB_CANCEL, "/q/a", NULL);
	commit(&l);
	ck_assert_uint_eq(l.s->admitted_bytes, 0);
	confirm_leadership(&l);
	submit_tasks(&l, "/q/b", 20, 1000, 1000);
	commit(&l);
	ck_assert_uint_eq(l.status, 200);
	teardown(&l);
}
END_TEST

/* Guards against callers that return before there is room, or all at once. */
START_TEST(test_retry_after_follows_the_drain_rate)
{
	struct sch_drain drain = { 0 };
	gint64 now_ms = 0;
	guint i;

	for (i = 0; i < 1000; i++) {
		now_ms += 250;
		sch_drain_add(&drain, now_ms);
	}
	ck_assert_double_eq_tol(sch_drain_per_s(&drain, now_ms), 4, 0.1);
	ck_assert_double_lt(sch_drain_per_s(&drain, now_ms + 60000), 0.1);
	/* 100 of 1000 have to end at 4 in a second; spread over twice that. */
	ck_assert_uint_eq(sch_admission_retry_after_s(1000, 1000, 4, 0), 25);
	ck_assert_uint_eq(sch_admission_retry_after_s(1000, 1000, 4, 25), 50);
	ck_assert_uint_eq(sch_admission_retry_after_s(1000, 1000, 4, 26), 25);
	ck_assert_uint_eq(sch_admission_retry_after_s(1000, 1000, 0, 0), 30);
	ck_assert_uint_eq(sch_admission_retry_after_s(1, 1, 100, 0), 1);
}
END_TEST

/* Guards against queue times and late starts that are counted wrongly. */
START_TEST(test_first_starts_by_priority)
{
	static const struct row running[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 1, 1000 },
		{ "b.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 1, 1000 },
	};
	const struct sch_first_starts *starts;
	struct leader l;

	setup(&l);
	((struct sch_queue *)l.s->queues->pdata[0])->priority = 9;
	submit_tasks(&l, "/q/a", 1, 1000, 1000);
	commit(&l);
	/* Its objective is 3 s, so it is late from 2 s on. */
	tick(&l, 2000);
	confirm_leadership(&l);
	submit_tasks(&l, "/q/b", 1, 1000, 1000);
	add_vm(&l, "vm1");
	commit(&l);
	report(&l, "vm1", 50, running, 2);
	starts = &l.s->stats.first_starts[SCH_PRIORITIES - 1];
	ck_assert_uint_eq(starts->count, 2);
	ck_assert_uint_eq(starts->late, 1);
	ck_assert_uint_ge(starts->queue_ms, 2000);
	ck_assert_uint_le(starts->queue_ms, 5000);
	teardown(&l);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("overload");
	TCase *tcase = tcase_create("overload");

	fixture_drop_logs();
	tcase_add_test(tcase, test_last_task_of_a_step_before_a_small_job);
	tcase_add_test(tcase, test_interference_table_is_stored);
	tcase_add_test(tcase, test_interference_record_is_bounded);
	tcase_add_test(tcase, test_straggler_moves_only_for_a_gain);
	tcase_add_test(tcase, test_straggler_is_moved);
	tcase_add_test(tcase, test_cost_of_delay_orders_best_effort_steps);
	tcase_add_test(tcase, test_largest_tenth_is_served);
	tcase_add_test(tcase, test_bound_on_accepted_jobs);
	tcase_add_test(tcase, test_bound_on_bytes_of_jobs);
	tcase_add_test(tcase, test_retry_after_follows_the_drain_rate);
	tcase_add_test(tcase, test_first_starts_by_priority);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
