#include "leader_test.h"

/*
 * Guards against a reply or a start order before the job's record is durable: a
 * new leader would not know the job, or that the run may exist.
 */
START_TEST(test_no_reply_or_start_before_commit)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	setup(&l);
	add_vm(&l, "vm1");
	init_step(&step, &need, 2, 1000);
	submit(&l, "/q/a", steps, 1);
	tick(&l, 100);
	ck_assert_uint_eq(l.status, 0);
	ck_assert_uint_eq(count_orders(&l, FALSE), 0);
	commit(&l);
	ck_assert_uint_eq(l.status, 200);
	ck_assert_uint_eq(count_orders(&l, FALSE), 2);
	teardown(&l);
}
END_TEST

/*
 * Guards against a failure that counts twice: the worker lists its end until it
 * is acknowledged, so a new leader sees an end that is recorded already.
 */
START_TEST(test_recorded_end_counts_once)
{
	static const struct row failed[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_FAILED, 1, 0, 0 },
	};
	struct leader l;
	struct leader next;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };
	g_autoptr(GBytes) job = NULL;
	g_autoptr(GBytes) progress = NULL;

	setup(&l);
	add_vm(&l, "vm1");
	init_step(&step, &need, 1, 1000);
	submit(&l, "/q/a", steps, 1);
	commit(&l);
	report(&l, "vm1", 50, failed, 1);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->failures, 1);
	job = sch_record_job(g_hash_table_lookup(l.s->jobs, "a"));
	progress = sch_record_progress(g_hash_table_lookup(l.s->jobs, "a"));
	setup(&next);
	ck_assert_int_eq(sch_load_job(next.s, "a", g_bytes_get_data(job, NULL),
				      g_bytes_get_size(job)),
			 0);
	ck_assert_int_eq(sch_load_progress(next.s, "a",
					   g_bytes_get_data(progress, NULL),
					   g_bytes_get_size(progress), UNIX_MS),
			 0);
	add_vm(&next, "vm1");
	report(&next, "vm1", 50, failed, 1);
	ck_assert_uint_eq(task(&next, "a.0.0.0")->failures, 1);
	teardown(&l);
	teardown(&next);
}
END_TEST

/*
 * Guards against a start after max_attempts failures: a new leader may receive
 * the last failure before the tables that set max_attempts. (Found by a
 * simulated day, seed 897510657399.)
 */
START_TEST(test_failure_before_tables)
{
	static const struct row first[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_FAILED, 1, 0, 0 },
	};
	static const struct row second[] = {
		{ "a.0.0.0", 2, RP__RUN_END_KIND__RUN_END_FAILED, 2, 0, 0 },
	};
	struct sch_event tables = { .kind = SCH_EVENT_TABLES };
	struct leader l;
	struct leader next;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };
	g_autoptr(GBytes) job = NULL;
	g_autoptr(GBytes) progress = NULL;

	setup(&l);
	add_vm(&l, "vm1");
	add_vm(&l, "vm2");
	init_step(&step, &need, 1, 1000);
	submit(&l, "/q/a", steps, 1);
	commit(&l);
	report(&l, task(&l, "a.0.0.0")->runs[0]->vm->name, 50, first, 1);
	commit(&l);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->attempts, 2);
	job = sch_record_job(g_hash_table_lookup(l.s->jobs, "a"));
	progress = sch_record_progress(g_hash_table_lookup(l.s->jobs, "a"));
	setup(&next);
	g_ptr_array_unref(g_steal_pointer(&next.s->queues));
	sch_load_job(next.s, "a", g_bytes_get_data(job, NULL),
		     g_bytes_get_size(job));
	sch_load_progress(next.s, "a", g_bytes_get_data(progress, NULL),
			  g_bytes_get_size(progress), UNIX_MS);
	add_vm(&next, "vm1");
	add_vm(&next, "vm2");
	report(&next, task(&next, "a.0.0.0")->runs[0]->vm->name, 50, second, 1);
	ck_assert_uint_eq(task(&next, "a.0.0.0")->failures, 2);
	clear_effects(&next);
	tables.queues = queues_new();
	reduce(&next, &tables);
	commit(&next);
	ck_assert_uint_eq(count_orders(&next, FALSE), 0);
	confirm_leadership(&next);
	call(&next, RP__STEP_VERB__STEP_VERB_STATE, "/q/a", NULL);
	ck_assert_int_eq(next.state, RP__JOB_STATE__JOB_STATE_FAILED);
	teardown(&l);
	teardown(&next);
}
END_TEST

/*
 * Guards against replies from outdated tables or jobs: a leader that was not
 * confirmed recently may have been replaced. It refuses to count jobs or to say
 * that a job is unknown, but answers the state of a job that it knows.
 */
START_TEST(test_stale_leader_refuses)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	setup(&l);
	init_step(&step, &need, 1, 1000);
	submit(&l, "/q/a", steps, 1);
	commit(&l);
	l.now_ms += 2000;
	call(&l, RP__STEP_VERB__STEP_VERB_COUNT, "/q/", NULL);
	ck_assert_uint_eq(l.status, 503);
	call(&l, RP__STEP_VERB__STEP_VERB_STATE, "/q/b", NULL);
	ck_assert_uint_eq(l.status, 503);
	call(&l, RP__STEP_VERB__STEP_VERB_STATE, "/q/a", NULL);
	ck_assert_uint_eq(l.status, 200);
	confirm_leadership(&l);
	call(&l, RP__STEP_VERB__STEP_VERB_STATE, "/q/b", NULL);
	ck_assert_uint_eq(l.status, 410);
	call(&l, RP__STEP_VERB__STEP_VERB_COUNT, "/q/", NULL);
	ck_assert_uint_eq(l.status, 200);
	ck_assert_uint_eq(l.waiting, 1);
	teardown(&l);
}
END_TEST

/*
 * Guards against a refusal of a job that may have become durable: while the
 * store does not answer, only jobs that were never sent to it may be refused.
 */
START_TEST(test_only_unsent_jobs_are_refused)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	setup(&l);
	init_step(&step, &need, 1, 1000);
	submit(&l, "/q/a", steps, 1);
	tick(&l, 100);
	submit(&l, "/q/b", steps, 1);
	tick(&l, 1000);
	ck_assert_uint_eq(l.status, 503);
	ck_assert_ptr_null(g_hash_table_lookup(l.s->jobs, "b"));
	ck_assert_ptr_nonnull(g_hash_table_lookup(l.s->jobs, "a"));
	teardown(&l);
}
END_TEST

/*
 * Guards against a job that is reported as running when its start was ordered
 * but not yet seen in a run list. (Found by a simulated day in which
 * workers restart.)
 */
START_TEST(test_ordered_job_is_queued)
{
	static const struct row running[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 10, 0 },
	};
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	setup(&l);
	add_vm(&l, "vm1");
	init_step(&step, &need, 1, 1000);
	submit(&l, "/q/a", steps, 1);
	commit(&l);
	ck_assert_uint_eq(count_orders(&l, FALSE), 1);
	call(&l, RP__STEP_VERB__STEP_VERB_COUNT, "/q/", NULL);
	ck_assert_uint_eq(l.waiting, 1);
	call(&l, RP__STEP_VERB__STEP_VERB_STATE, "/q/a", NULL);
	ck_assert_int_eq(l.state, RP__JOB_STATE__JOB_STATE_QUEUED);
	report(&l, "vm1", 50, running, 1);
	call(&l, RP__STEP_VERB__STEP_VERB_COUNT, "/q/", NULL);
	ck_assert_uint_eq(l.waiting, 0);
	call(&l, RP__STEP_VERB__STEP_VERB_STATE, "/q/a", NULL);
	ck_assert_int_eq(l.state, RP__JOB_STATE__JOB_STATE_RUNNING);
	teardown(&l);
}
END_TEST

/*
 * Guards against a cancelled job that starts again, and against a reply before
 * the cancellation is durable.
 */
START_TEST(test_cancel)
{
	static const struct row running[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 10, 0 },
	};
	static const struct row stopped[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_STOPPED, 1, 0, 0 },
	};
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	setup(&l);
	add_vm(&l, "vm1");
	init_step(&step, &need, 1, 1000);
	submit(&l, "/q/a", steps, 1);
	commit(&l);
	report(&l, "vm1", 50, running, 1);
	clear_effects(&l);
	call(&l, RP__STEP_VERB__STEP_VERB_CANCEL, "/q/a", NULL);
	ck_assert_uint_eq(l.status, 0);
	ck_assert_uint_eq(count_orders(&l, TRUE), 1);
	commit(&l);
	ck_assert_uint_eq(l.status, 200);
	report(&l, "vm1", 50, stopped, 1);
	clear_effects(&l);
	commit(&l);
	ck_assert_uint_eq(count_orders(&l, FALSE), 0);
	call(&l, RP__STEP_VERB__STEP_VERB_STATE, "/q/a", NULL);
	ck_assert_int_eq(l.state, RP__JOB_STATE__JOB_STATE_CANCELLED);
	teardown(&l);
}
END_TEST

/* Guards against occurrences that start before their due time. */
START_TEST(test_occurrence_starts_when_due)
{
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };
	struct Rp__StepJob job;

	setup(&l);
	add_vm(&l, "vm1");
	init_step(&step, &need, 1, 1000);
	rp__step_job__init(&job);
	job.steps = steps;
	job.n_steps = 1;
	job.occurrences = 2;
	job.first_unix_ms = UNIX_MS + l.now_ms + 1500;
	job.interval_ms = 60000;
	call(&l, RP__STEP_VERB__STEP_VERB_SUBMIT, "/q/a", &job);
	commit(&l);
	ck_assert_uint_eq(count_orders(&l, FALSE), 0);
	tick(&l, 1500);
	report(&l, "vm1", 50, NULL, 0);
	commit(&l);
	ck_assert_uint_eq(count_orders(&l, FALSE), 1);
	teardown(&l);
}
END_TEST

/*
 * Guards against a job that fails although its tasks are done, because the
 * speculative run of a task fails after the other run was done.
 */
START_TEST(test_speculative_run_fails_after_task_is_done)
{
	static const struct row done[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_DONE, 1, 0, 0 },
	};
	static const struct row failed[] = {
		{ "a.0.0.0", 2, RP__RUN_END_KIND__RUN_END_FAILED, 1, 0, 0 },
	};
	struct leader l;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	setup(&l);
	init_step(&step, &need, 2, 6000);
	step.speculative = TRUE;
	add_vm(&l, "vm1");
	add_vm(&l, "vm2");
	add_vm(&l, "vm3");
	submit(&l, "/q/a", steps, 1);
	commit(&l);
	task(&l, "a.0.0.0")->failures = 1;
	sch_place_speculative(l.s, task(&l, "a.0.0.0")->runs[0]);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->n_runs, 2);
	commit(&l);
	report(&l, task(&l, "a.0.0.0")->runs[0]->vm->name, 50, done, 1);
	ck_assert(task(&l, "a.0.0.0")->done);
	report(&l, task(&l, "a.0.0.0")->runs[0]->vm->name, 50, failed, 1);
	commit(&l);
	call(&l, RP__STEP_VERB__STEP_VERB_STATE, "/q/a", NULL);
	ck_assert_int_ne(l.state, RP__JOB_STATE__JOB_STATE_FAILED);
	teardown(&l);
}
END_TEST

/*
 * Guards against a crash or a start when the tables no longer have the queue of
 * active jobs.
 */
START_TEST(test_removed_queue)
{
	struct sch_event tables = { .kind = SCH_EVENT_TABLES };
	struct row running = { "f.0.0.0", 1,  RP__RUN_END_KIND__RUN_END_NONE,
			       0,	  10, 0 };
	struct leader l;
	guint i;

	setup(&l);
	add_vm(&l, "vm1");
	submit_best_effort(&l, "/q/f");
	submit_best_effort(&l, "/q/g");
	commit(&l);
	tables.queues = g_ptr_array_new();
	reduce(&l, &tables);
	submit_best_effort(&l, "/q/h");
	ck_assert_uint_eq(l.status, 404);
	clear_effects(&l);
	for (i = 0; i < 40; i++) {
		running.percent++;
		confirm_leadership(&l);
		report(&l, "vm1", 50, &running, 1);
		commit(&l);
	}
	ck_assert_uint_eq(count_orders(&l, FALSE), 0);
	teardown(&l);
}
END_TEST

/* Guards against a crash on damaged or empty records: they are refused. */
START_TEST(test_damaged_records)
{
	static const char junk[] = "\xff\xff\xff\x01not a record";
	struct leader l;

	setup(&l);
	ck_assert_int_lt(sch_load_job(l.s, "a", junk, sizeof(junk)), 0);
	ck_assert_int_lt(
		sch_load_progress(l.s, "a", junk, sizeof(junk), UNIX_MS), 0);
	ck_assert_int_lt(sch_load_job(l.s, "a", "", 0), 0);
	teardown(&l);
}
END_TEST

/* Guards against a definite answer by tables that may have been replaced: 404
 * for a route that was added, or a job that runs by a route that was removed.
 */
START_TEST(test_no_answer_by_old_tables)
{
	static const Rp__StepVerb verbs[] = {
		RP__STEP_VERB__STEP_VERB_SUBMIT,
		RP__STEP_VERB__STEP_VERB_STATE,
		RP__STEP_VERB__STEP_VERB_CANCEL,
		RP__STEP_VERB__STEP_VERB_COUNT,
	};
	struct leader l;
	size_t i;

	setup(&l);
	submit_best_effort(&l, "/q/a");
	commit(&l);
	ck_assert_uint_eq(l.status, 200);
	call(&l, RP__STEP_VERB__STEP_VERB_STATE, "/none/a", NULL);
	ck_assert_uint_eq(l.status, 404);
	l.now_ms += 2000;
	confirm_only_leadership(&l);
	for (i = 0; i < G_N_ELEMENTS(verbs); i++) {
		call(&l, verbs[i], "/none/b", NULL);
		ck_assert_uint_eq(l.status, 503);
		call(&l, verbs[i], "/q/b", NULL);
		ck_assert_uint_eq(l.status, 503);
	}
	/* What is known of a job stays true. */
	call(&l, RP__STEP_VERB__STEP_VERB_STATE, "/q/a", NULL);
	ck_assert_uint_eq(l.status, 200);
	confirm_leadership(&l);
	call(&l, RP__STEP_VERB__STEP_VERB_STATE, "/none/b", NULL);
	ck_assert_uint_eq(l.status, 404);
	call(&l, RP__STEP_VERB__STEP_VERB_STATE, "/q/b", NULL);
	ck_assert_uint_eq(l.status, 410);
	teardown(&l);
}
END_TEST

/* Guards against a caller who is told that its job was not accepted, when the
 * answer to its first call was lost and the leader that stored the job, or the
 * next one, has no recent confirmation or no tables. */
START_TEST(test_repeat_is_not_refused)
{
	g_autoptr(GBytes) job = NULL;
	struct leader l;
	struct leader next;

	setup(&l);
	submit_best_effort(&l, "/q/a");
	commit(&l);
	ck_assert_uint_eq(l.status, 200);
	job = sch_record_job(g_hash_table_lookup(l.s->jobs, "a"));
	l.now_ms += 2000;
	submit_best_effort(&l, "/q/a");
	ck_assert_uint_eq(l.status, 200);
	submit_best_effort(&l, "/q/b");
	ck_assert_uint_eq(l.status, 503);
	teardown(&l);
	setup(&next);
	g_ptr_array_unref(g_steal_pointer(&next.s->queues));
	sch_load_job(next.s, "a", g_bytes_get_data(job, NULL),
		     g_bytes_get_size(job));
	submit_best_effort(&next, "/q/a");
	ck_assert_uint_eq(next.status, 200);
	submit_best_effort(&next, "/q/b");
	ck_assert_uint_eq(next.status, 503);
	teardown(&next);
}
END_TEST

/*
 * Guards against callers of a leader without contact to the store that are told
 * to come back after 1 s however long that has lasted, so that they use up
 * their repeats.
 */
START_TEST(test_retry_after_grows)
{
	struct leader l;

	setup(&l);
	l.now_ms += 1400;
	call(&l, RP__STEP_VERB__STEP_VERB_COUNT, "/q/", NULL);
	ck_assert_uint_eq(l.status, 503);
	ck_assert_uint_le(l.retry_after_s, 3);
	l.now_ms += 4000;
	tick(&l, 20);
	call(&l, RP__STEP_VERB__STEP_VERB_COUNT, "/q/", NULL);
	ck_assert_uint_eq(l.status, 503);
	ck_assert_uint_eq(l.retry_after_s, 4);
	confirm_leadership(&l);
	call(&l, RP__STEP_VERB__STEP_VERB_COUNT, "/q/", NULL);
	ck_assert_uint_eq(l.status, 200);
	ck_assert_uint_eq(l.retry_after_s, 0);
	teardown(&l);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sched");
	TCase *tcase = tcase_create("sched");

	fixture_drop_logs();
	tcase_add_test(tcase, test_no_reply_or_start_before_commit);
	tcase_add_test(tcase, test_recorded_end_counts_once);
	tcase_add_test(tcase, test_failure_before_tables);
	tcase_add_test(tcase, test_stale_leader_refuses);
	tcase_add_test(tcase, test_no_answer_by_old_tables);
	tcase_add_test(tcase, test_repeat_is_not_refused);
	tcase_add_test(tcase, test_only_unsent_jobs_are_refused);
	tcase_add_test(tcase, test_ordered_job_is_queued);
	tcase_add_test(tcase, test_cancel);
	tcase_add_test(tcase, test_occurrence_starts_when_due);
	tcase_add_test(tcase, test_speculative_run_fails_after_task_is_done);
	tcase_add_test(tcase, test_removed_queue);
	tcase_add_test(tcase, test_damaged_records);
	tcase_add_test(tcase, test_retry_after_grows);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
