#include "cell_test.h"
#include "tests/fixture.h"

/* Tests of records.c: how a new leader reads what is stored. */

/** Jobs in the store. Their tasks take about twice the memory that a leader
 * has for accepted jobs. */
#define N_JOBS 60
#define N_TASKS 4096

/** Of these, jobs that need a label which the worker does not have. */
#define N_HOPELESS 50

/** The job that has a run. */
#define RUNNING_JOB 58

static void put_record(struct cell *cell, const char *prefix, guint job,
		       const ProtobufCMessage *message)
{
	g_autofree char *key = g_strdup_printf("%sjob-%02u", prefix, job);
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *data = g_malloc(len);
	g_autoptr(GBytes) value = NULL;

	protobuf_c_message_pack(message, data);
	value = g_bytes_new_take(data, len);
	cell->kv.revision++;
	fake_put(&cell->kv, key, value, 0);
}

static void put_job(struct cell *cell, guint number)
{
	struct Rp__Resources need;
	struct Rp__StepSpec step;
	struct Rp__StepSpec *steps[] = { &step };
	struct Rp__StepJob job;

	rp__resources__init(&need);
	rp__step_spec__init(&step);
	rp__step_job__init(&job);
	need.cpu_milli = 500;
	step.need = &need;
	step.replicas = N_TASKS;
	step.estimate_ms = RUN_MS;
	step.label = (char *)(number < N_HOPELESS ? "none" : "");
	job.n_steps = 1;
	job.steps = steps;
	job.queue = (char *)"queue-b";
	put_record(cell, SCH_JOB_PREFIX, number, &job.base);
}

/* The job's first task runs on the worker. */
static void put_progress(struct cell *cell, guint number)
{
	struct Rp__StepProgress progress;
	struct Rp__TaskProgress task;
	struct Rp__TaskProgress *tasks[] = { &task };
	struct Rp__RunPlace place;
	struct Rp__RunPlace *places[] = { &place };
	struct run run = { .attempt = 1, .ends_ms = net_now_ms() + 60000 };

	rp__step_progress__init(&progress);
	rp__task_progress__init(&task);
	rp__run_place__init(&place);
	place.attempt = 1;
	place.vm = (char *)"vm1";
	place.worker_id = (char *)"w1";
	place.worker_born_ms = WORKER_STARTED_MS;
	task.attempts = 1;
	task.runs = places;
	task.n_runs = 1;
	progress.state = RP__JOB_STATE__JOB_STATE_QUEUED;
	progress.queue = (char *)"queue-b";
	progress.tasks = tasks;
	progress.n_tasks = 1;
	put_record(cell, SCH_PROGRESS_PREFIX, number, &progress.base);
	run.task = g_strdup_printf("job-%02u.0.0.0", number);
	g_array_append_val(cell->runs, run);
}

static guint call_job(struct cell *cell, Rp__StepVerb verb, guint job)
{
	g_autofree char *path = g_strdup_printf("/b/job-%02u", job);

	return make_call(cell, 0, verb, path, NULL);
}

/*
 * Guards against a leader that reads more records than fit into memory, and
 * against what it does about that: jobs that are not known, are not started
 * when there is room, or whose runs are stopped.
 */
START_TEST(test_store_beyond_the_memory)
{
	struct cell cell;
	guint i;

	setup(&cell);
	cell.kv.page_keys = 7;
	for (i = 0; i < N_JOBS; i++)
		put_job(&cell, i);
	put_progress(&cell, RUNNING_JOB);
	wait_ready(&cell, 0);
	ck_assert_uint_ge(cell.kv.pages, N_JOBS / 7);
	for (i = 0; i < N_JOBS; i++)
		ck_assert_uint_eq(
			call_job(&cell, RP__STEP_VERB__STEP_VERB_STATE, i),
			200);
	run_loop_ms(&cell, 1000);
	ck_assert_uint_eq(cell.stops, 0);
	ck_assert_uint_eq(
		call_job(&cell, RP__STEP_VERB__STEP_VERB_STATE, RUNNING_JOB),
		200);
	ck_assert_int_eq(cell.state, RP__JOB_STATE__JOB_STATE_RUNNING);
	ck_assert_uint_eq(submit(&cell, 0, "/b/new"), 429);
	for (i = 0; i < N_HOPELESS; i++)
		ck_assert_uint_eq(
			call_job(&cell, RP__STEP_VERB__STEP_VERB_CANCEL, i),
			200);
	call_job(&cell, RP__STEP_VERB__STEP_VERB_CANCEL, RUNNING_JOB);
	wait_state(&cell, 0, "/b/job-50", RP__JOB_STATE__JOB_STATE_RUNNING);
	teardown(&cell);
}
END_TEST

/* Guards against records that are left out, or read twice, when a page is read
 * again after a failure. */
START_TEST(test_page_is_read_again)
{
	struct cell cell;
	guint i;

	setup(&cell);
	cell.kv.page_keys = 7;
	cell.kv.delay_ms = 20;
	for (i = 0; i < N_JOBS; i++)
		put_job(&cell, i);
	while (cell.kv.pages < 3)
		run_loop_ms(&cell, 5);
	cell.kv.down = TRUE;
	run_loop_ms(&cell, 300);
	cell.kv.down = FALSE;
	wait_ready(&cell, 0);
	ck_assert_uint_eq(make_call(&cell, 0, RP__STEP_VERB__STEP_VERB_COUNT,
				    "/b/", NULL),
			  200);
	ck_assert_uint_eq(cell.waiting, N_JOBS);
	teardown(&cell);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell/records");
	TCase *tcase = tcase_create("records");

	fixture_drop_logs();
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, test_store_beyond_the_memory);
	tcase_add_test(tcase, test_page_is_read_again);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
