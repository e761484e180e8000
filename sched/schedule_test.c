#include <malloc.h>

#include "worker_test.h"

/* Tests of schedule.c and admission.c: what accepted jobs cost the leader in
 * memory and time, also those that an earlier leader has accepted. */

/** Memory of the smallest entry that may lead. */
#define SMALLEST_ENTRY_BYTES (160 << 20)

/* Returns the bytes that are allocated on the heap; always 0 in sanitized
 * builds, whose allocator does not count here. */
static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/** A job with a schedule and one step. */
struct schedule {
	guint occurrences;
	gint64 first_unix_ms;
	gint64 interval_ms;
	guint replicas;
	gint64 cpu_milli;
};

static void submit_schedule(struct leader *l, const char *path,
			    const struct schedule *schedule)
{
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };
	struct Rp__StepJob job;

	init_step(&step, &need, schedule->replicas, schedule->cpu_milli);
	rp__step_job__init(&job);
	job.steps = steps;
	job.n_steps = 1;
	job.occurrences = schedule->occurrences;
	job.first_unix_ms = schedule->first_unix_ms;
	job.interval_ms = schedule->interval_ms;
	call(l, RP__STEP_VERB__STEP_VERB_SUBMIT, path, &job);
}

/* Sets up a leader that has loaded the job's records. */
static void set_up_next_leader(struct leader *next, struct leader *l,
			       const char *id)
{
	const struct sch_job *job = g_hash_table_lookup(l->s->jobs, id);
	g_autoptr(GBytes) spec = sch_record_job(job);
	g_autoptr(GBytes) progress = sch_record_progress(job);

	setup(next);
	ck_assert_int_eq(sch_load_job(next->s, id, g_bytes_get_data(spec, NULL),
				      g_bytes_get_size(spec)),
			 0);
	ck_assert_int_eq(sch_load_progress(next->s, id,
					   g_bytes_get_data(progress, NULL),
					   g_bytes_get_size(progress),
					   UNIX_MS + l->now_ms),
			 0);
	next->now_ms = l->now_ms;
}

/*
 * Guards against a leader that outgrows its memory, or falls behind, because of
 * accepted schedules that are not due: every 6 minutes for a year.
 */
START_TEST(test_schedules_of_a_year_fit)
{
	struct leader l;
	struct schedule yearly = { .occurrences = 87600,
				   .interval_ms = 360000,
				   .replicas = 2,
				   .cpu_milli = 500 };
	size_t before;
	gint64 from_us;
	guint i;

	setup(&l);
	yearly.first_unix_ms = UNIX_MS + l.now_ms + 3600000;
	add_vm(&l, "vm1");
	before = heap_bytes();
	for (i = 0; i < 130; i++) {
		g_autofree char *path = g_strdup_printf("/q/nightly%u", i);

		submit_schedule(&l, path, &yearly);
		commit(&l);
		confirm_leadership(&l);
		ck_assert_uint_eq(l.status, 200);
	}
	clear_effects(&l);
	ck_assert_uint_lt(heap_bytes(), before + SMALLEST_ENTRY_BYTES / 10);
	from_us = cpu_us();
	for (i = 0; i < 50; i++)
		tick(&l, 20);
	ck_assert_int_lt(cpu_us() - from_us, 50 * 1000 * MAX_EVENT_MS);
	teardown(&l);
}
END_TEST

/* Guards against ended occurrences that a schedule keeps in the leader's memory
 * and in its record for as long as it lasts. */
START_TEST(test_ended_occurrences_cost_nothing)
{
	struct leader l;
	struct worker worker;
	struct schedule often = { .occurrences = 100000,
				  .interval_ms = 200,
				  .replicas = 2,
				  .cpu_milli = 2500 };
	const struct sch_job *job;
	g_autoptr(GBytes) record = NULL;

	setup(&l);
	worker_init(&worker);
	often.first_unix_ms = UNIX_MS + l.now_ms;
	add_vm(&l, "vm1");
	submit_schedule(&l, "/q/a", &often);
	work(&l, &worker, 40000);
	ck_assert_uint_gt(worker.started->len, 100);
	assert_started_once(&worker);
	job = g_hash_table_lookup(l.s->jobs, "a");
	record = sch_record_progress(job);
	ck_assert_uint_lt(g_bytes_get_size(record), 1000);
	worker_clear(&worker);
	teardown(&l);
}
END_TEST

/* Guards against occurrences that start again at the next leader, and against
 * later ones that it does not start. */
START_TEST(test_ended_occurrences_stay_ended)
{
	struct leader l;
	struct leader next;
	struct worker worker;
	struct schedule schedule = { .occurrences = 12,
				     .interval_ms = 1000,
				     .replicas = 2,
				     .cpu_milli = 500 };

	setup(&l);
	worker_init(&worker);
	schedule.first_unix_ms = UNIX_MS + l.now_ms;
	add_vm(&l, "vm1");
	submit_schedule(&l, "/q/a", &schedule);
	work(&l, &worker, 5000);
	ck_assert_uint_ge(worker.started->len, 8);
	ck_assert_uint_le(worker.started->len, 12);
	commit(&l);
	set_up_next_leader(&next, &l, "a");
	teardown(&l);
	add_vm(&next, "vm1");
	worker.n_ends = 0;
	work(&next, &worker, 15000);
	assert_started_once(&worker);
	ck_assert_uint_eq(worker.started->len, 24);
	confirm_leadership(&next);
	call(&next, RP__STEP_VERB__STEP_VERB_STATE, "/q/a", NULL);
	ck_assert_int_eq(next.state, RP__JOB_STATE__JOB_STATE_DONE);
	worker_clear(&worker);
	teardown(&next);
}
END_TEST

/*
 * Guards against a schedule whose occurrences are due at once and take the
 * leader's memory and time, so that no other job goes on.
 */
START_TEST(test_short_interval_does_not_stop_others)
{
	struct leader l;
	struct worker worker;
	struct schedule seconds_as_ms = { .occurrences = 86400,
					  .interval_ms = 1,
					  .replicas = 6,
					  .cpu_milli = 2400 };
	size_t before;
	gint64 from_us;
	guint n;
	guint i;

	setup(&l);
	worker_init(&worker);
	seconds_as_ms.first_unix_ms = UNIX_MS + l.now_ms;
	add_vm(&l, "vm1");
	before = heap_bytes();
	submit_schedule(&l, "/q/a", &seconds_as_ms);
	commit(&l);
	end_started_tasks(&l, &worker);
	tick(&l, 100000);
	from_us = cpu_us();
	for (i = 0; i < 50; i++)
		tick(&l, 20);
	ck_assert_int_lt(cpu_us() - from_us, 50 * 1000 * MAX_EVENT_MS);
	ck_assert_uint_lt(heap_bytes(), before + SMALLEST_ENTRY_BYTES / 10);
	clear_effects(&l);
	work(&l, &worker, 1000);
	confirm_leadership(&l);
	submit_best_effort(&l, "/q/b");
	commit(&l);
	ck_assert_uint_eq(l.status, 200);
	work(&l, &worker, 5000);
	ck_assert_uint_eq(count_started(&worker, "b."), 1);
	n = worker.started->len;
	work(&l, &worker, 5000);
	ck_assert_uint_gt(worker.started->len, n);
	assert_started_once(&worker);
	worker_clear(&worker);
	teardown(&l);
}
END_TEST

/* Guards against due times beyond the range of a time. */
START_TEST(test_due_times_out_of_range)
{
	struct leader l;
	struct worker worker;
	struct schedule endless = { .occurrences = 100000,
				    .interval_ms = G_MAXINT64 / 2,
				    .replicas = 1,
				    .cpu_milli = 2500 };

	setup(&l);
	worker_init(&worker);
	endless.first_unix_ms = UNIX_MS + l.now_ms;
	add_vm(&l, "vm1");
	submit_schedule(&l, "/q/a", &endless);
	work(&l, &worker, 5000);
	ck_assert_uint_eq(worker.started->len, 1);
	worker_clear(&worker);
	teardown(&l);
}
END_TEST

static void add_progress(GPtrArray *tasks, guint32 occurrence, guint32 index,
			 gboolean done)
{
	struct Rp__TaskProgress *task = g_new(struct Rp__TaskProgress, 1);

	rp__task_progress__init(task);
	task->occurrence = occurrence;
	task->index = index;
	task->attempts = 1;
	task->done = done;
	g_ptr_array_add(tasks, task);
}

/*
 * Guards against occurrences that start again when their progress was written
 * by an earlier version, which lists the tasks of all occurrences, and against
 * ones that it had left out and that are dropped. Here 0 and 2 have ended, 1
 * had not started, and one task of 3 was stopped.
 */
START_TEST(test_progress_of_an_earlier_version)
{
	g_autoptr(GPtrArray) tasks = g_ptr_array_new_with_free_func(g_free);
	struct Rp__StepProgress progress;
	struct schedule schedule = { .occurrences = 5,
				     .interval_ms = 1000,
				     .replicas = 2,
				     .cpu_milli = 500 };
	struct leader l;
	struct leader next;
	struct worker worker;
	g_autoptr(GBytes) spec = NULL;
	g_autofree uint8_t *data = NULL;
	size_t len;
	guint i;

	setup(&l);
	schedule.first_unix_ms = UNIX_MS + l.now_ms;
	submit_schedule(&l, "/q/a", &schedule);
	commit(&l);
	spec = sch_record_job(g_hash_table_lookup(l.s->jobs, "a"));
	for (i = 0; i < 2; i++) {
		add_progress(tasks, 0, i, TRUE);
		add_progress(tasks, 2, i, TRUE);
	}
	add_progress(tasks, 3, 0, TRUE);
	add_progress(tasks, 3, 1, FALSE);
	rp__step_progress__init(&progress);
	progress.state = RP__JOB_STATE__JOB_STATE_QUEUED;
	progress.queue = (char *)"q";
	progress.tasks = (struct Rp__TaskProgress **)tasks->pdata;
	progress.n_tasks = tasks->len;
	len = rp__step_progress__get_packed_size(&progress);
	data = g_malloc(len);
	rp__step_progress__pack(&progress, data);
	setup(&next);
	next.now_ms = l.now_ms + 60000;
	teardown(&l);
	ck_assert_int_eq(sch_load_job(next.s, "a", g_bytes_get_data(spec, NULL),
				      g_bytes_get_size(spec)),
			 0);
	ck_assert_int_eq(sch_load_progress(next.s, "a", data, len,
					   UNIX_MS + next.now_ms),
			 0);
	worker_init(&worker);
	add_vm(&next, "vm1");
	work(&next, &worker, 3000);
	assert_started_once(&worker);
	ck_assert_uint_eq(worker.started->len, 5);
	ck_assert_uint_eq(count_started(&worker, "a.1.0."), 2);
	ck_assert_uint_eq(count_started(&worker, "a.3.0.1"), 1);
	ck_assert_uint_eq(count_started(&worker, "a.4.0."), 2);
	confirm_leadership(&next);
	call(&next, RP__STEP_VERB__STEP_VERB_STATE, "/q/a", NULL);
	ck_assert_int_eq(next.state, RP__JOB_STATE__JOB_STATE_DONE);
	worker_clear(&worker);
	teardown(&next);
}
END_TEST

/* Submits a job of n tasks that need nothing, so that all can start at once. */
static void submit_wide(struct leader *l, const char *path, guint n)
{
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	init_step(&step, &need, n, 0);
	submit(l, path, steps, 1);
}

/* Guards against a leader whose memory has no bound while each accepted job has
 * started, as none waits for capacity. */
START_TEST(test_bound_on_bytes_without_waiting_jobs)
{
	struct leader l;
	guint refused = 0;
	guint i;

	setup(&l);
	l.s->options.max_job_bytes = 10 << 20;
	for (i = 0; i < 40; i++) {
		g_autofree char *path = g_strdup_printf("/q/job%u", i);
		guint k;

		confirm_leadership(&l);
		submit_wide(&l, path, 4096);
		refused += l.status == 429;
		commit(&l);
		for (k = 0; k < l.s->active->len; k++)
			((struct sch_job *)l.s->active->pdata[k])->started =
				TRUE;
	}
	ck_assert_uint_gt(refused, 0);
	ck_assert_uint_eq(l.s->stats.refused_bytes, refused);
	ck_assert_uint_gt(l.s->active->len, 1);
	ck_assert_uint_le(l.s->admitted_bytes, 10 << 20);
	teardown(&l);
}
END_TEST

/* Guards against jobs that cost more than what they are counted as: many small
 * steps, each with a long list of the steps before it. */
START_TEST(test_jobs_cost_what_is_counted)
{
	struct leader l;
	struct Rp__StepSpec steps[SCH_MAX_STEPS];
	struct Rp__Resources needs[SCH_MAX_STEPS];
	struct Rp__StepSpec *list[SCH_MAX_STEPS];
	g_autofree guint32 *after = g_new0(guint32, 1000);
	size_t before;
	guint i;

	setup(&l);
	for (i = 0; i < SCH_MAX_STEPS; i++) {
		init_step(&steps[i], &needs[i], 1, 1000);
		list[i] = &steps[i];
		steps[i].after = after;
		steps[i].n_after = i ? 1000 : 0;
	}
	before = heap_bytes();
	for (i = 0; i < 100; i++) {
		g_autofree char *path = g_strdup_printf("/q/job%u", i);

		confirm_leadership(&l);
		submit(&l, path, list, SCH_MAX_STEPS);
		commit(&l);
		ck_assert_uint_eq(l.status, 200);
		clear_effects(&l);
	}
	ck_assert_uint_le(heap_bytes(), before + l.s->admitted_bytes);
	ck_assert_uint_lt(l.s->admitted_bytes, 100 * 64 * 1024);
	teardown(&l);
}
END_TEST

/* Guards against tasks whose runs cost more than what they are counted as. */
START_TEST(test_runs_cost_what_is_counted)
{
	struct leader l;
	size_t before;

	setup(&l);
	add_vm(&l, "vm1");
	commit(&l);
	confirm_leadership(&l);
	clear_effects(&l);
	before = heap_bytes();
	submit_wide(&l, "/q/job", 4096);
	commit(&l);
	clear_effects(&l);
	ck_assert_uint_eq(l.s->stats.runs, 4096);
	ck_assert_uint_le(heap_bytes(), before + l.s->admitted_bytes);
	teardown(&l);
}
END_TEST

/* Guards against states of ended jobs that come in faster than they are
 * deleted, which would take the leader's memory. */
START_TEST(test_ended_jobs_are_counted_and_deleted)
{
	struct leader l;
	guint i;

	setup(&l);
	l.s->options.max_job_bytes = 100000;
	for (i = 0; i < 1000; i++) {
		g_autofree char *path = g_strdup_printf("/q/job%u", i);

		confirm_leadership(&l);
		submit_wide(&l, path, 1);
		call(&l, RP__STEP_VERB__STEP_VERB_CANCEL, path, NULL);
		if (i % 20 == 19)
			commit(&l);
		clear_effects(&l);
	}
	ck_assert_uint_gt(l.s->ended.length, 100);
	ck_assert_uint_lt(l.s->ended.length, 400);
	tick(&l, l.s->options.retention_ms);
	for (i = 0; i < 20; i++) {
		commit(&l);
		clear_effects(&l);
	}
	ck_assert_uint_eq(g_hash_table_size(l.s->jobs), 0);
	confirm_leadership(&l);
	submit_wide(&l, "/q/new", 1);
	commit(&l);
	ck_assert_uint_eq(l.status, 200);
	teardown(&l);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sched/schedule");
	TCase *tcase = tcase_create("schedule");

	tcase_add_test(tcase, test_schedules_of_a_year_fit);
	tcase_add_test(tcase, test_ended_occurrences_cost_nothing);
	tcase_add_test(tcase, test_ended_occurrences_stay_ended);
	tcase_add_test(tcase, test_short_interval_does_not_stop_others);
	tcase_add_test(tcase, test_due_times_out_of_range);
	tcase_add_test(tcase, test_progress_of_an_earlier_version);
	tcase_add_test(tcase, test_bound_on_bytes_without_waiting_jobs);
	tcase_add_test(tcase, test_jobs_cost_what_is_counted);
	tcase_add_test(tcase, test_runs_cost_what_is_counted);
	tcase_add_test(tcase, test_ended_jobs_are_counted_and_deleted);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
