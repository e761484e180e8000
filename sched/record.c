#include "internal.h"

/* Packs and loads the records of jobs in the store. */

GBytes *sch_record_job(const struct sch_job *job)
{
	size_t len = rp__step_job__get_packed_size(job->spec);
	uint8_t *data = g_malloc(len);

	rp__step_job__pack(job->spec, data);
	return g_bytes_new_take(data, len);
}

static struct Rp__RunPlace *place_new(const struct sch_run *run)
{
	struct Rp__RunPlace *place = g_malloc(sizeof(*place));

	rp__run_place__init(place);
	place->attempt = run->attempt;
	wire_set_string(&place->vm, run->vm->name);
	wire_set_string(&place->worker_id, run->vm->worker_id);
	/* Wire name: the start of the worker's incarnation, Unix time. */
	place->worker_born_ms = run->vm->worker_started_ms;
	return place;
}

static struct Rp__TaskProgress *task_progress_new(const struct sch_task *task)
{
	struct Rp__TaskProgress *progress = g_malloc(sizeof(*progress));
	guint i;

	rp__task_progress__init(progress);
	progress->occurrence = task->instance->occurrence->number;
	progress->step = task->instance->number;
	progress->index = task->index;
	progress->done = task->done;
	progress->attempts = task->attempts;
	progress->failures = task->failures;
	if (!task->done)
		wire_set_string(&progress->checkpoint, task->checkpoint);
	progress->n_runs = task->n_runs;
	progress->runs = g_new0(struct Rp__RunPlace *, task->n_runs);
	for (i = 0; i < task->n_runs; i++)
		progress->runs[i] = place_new(task->runs[i]);
	return progress;
}

static void add_task(void *ctx, struct sch_task *task)
{
	if (task->attempts)
		g_ptr_array_add(ctx, task_progress_new(task));
}

GBytes *sch_record_progress(const struct sch_job *job)
{
	g_autoptr(GPtrArray) tasks = g_ptr_array_new();
	struct Rp__StepProgress progress;
	uint8_t *data;
	size_t len;
	guint i;

	rp__step_progress__init(&progress);
	progress.state = job->state;
	progress.ended_unix_ms = job->ended_unix_ms;
	progress.queue = job->queue;
	sch_occurrence_save_schedule(job, &progress);
	sch_job_foreach_task(job, add_task, tasks);
	progress.n_tasks = tasks->len;
	progress.tasks = (struct Rp__TaskProgress **)tasks->pdata;
	len = rp__step_progress__get_packed_size(&progress);
	data = g_malloc(len);
	rp__step_progress__pack(&progress, data);
	for (i = 0; i < tasks->len; i++)
		rp__task_progress__free_unpacked(tasks->pdata[i], NULL);
	g_free(progress.open_occurrences);
	g_free(progress.ended_ahead);
	return g_bytes_new_take(data, len);
}

static struct Rp__StepJob *read_job(const void *data, size_t len)
{
	struct Rp__StepJob *spec = rp__step_job__unpack(NULL, len, data);

	if (!spec)
		return NULL;
	if (sch_job_check(spec)) {
		rp__step_job__free_unpacked(spec, NULL);
		return NULL;
	}
	sch_job_normalise(spec);
	return spec;
}

struct Rp__StepJob *sch_record_read_job(GBytes *record)
{
	return read_job(g_bytes_get_data(record, NULL),
			g_bytes_get_size(record));
}

int sch_load_job(struct sch *s, const char *id, const void *data, size_t len)
{
	struct Rp__StepJob *spec;
	struct sch_job *job;

	if (g_hash_table_contains(s->jobs, id))
		return -1;
	spec = read_job(data, len);
	if (!spec)
		return -1;
	job = sch_job_new(s, id, spec);
	job->accepted_ms = s->now_ms -
			   MAX(s->unix_ms - spec->submitted_unix_ms, 0);
	job->stored = TRUE;
	job->sent = TRUE;
	job->durable_state = job->state;
	g_hash_table_insert(s->jobs, job->id, job);
	g_ptr_array_add(s->active, job);
	sch_parked_check_loaded(s, job);
	return 0;
}

static void load_run(struct sch *s, struct sch_task *task,
		     const struct Rp__RunPlace *place)
{
	struct sch_vm *vm;
	struct sch_run *run;
	gboolean earlier;

	if (!*place->vm || task->n_runs == SCH_MAX_TASK_RUNS)
		return;
	vm = sch_vm_get(s, place->vm);
	earlier = vm->worker_id &&
		  place->worker_born_ms < vm->worker_started_ms;
	if (!earlier &&
	    (!vm->worker_id || place->worker_born_ms != vm->worker_started_ms ||
	     strcmp(vm->worker_id, place->worker_id) != 0))
		sch_vm_set_incarnation(s, vm, place->worker_id,
				       place->worker_born_ms);
	if (s->unix_ms > (gint64)vm->worker_started_ms + SCH_NEW_WORKER_MS)
		vm->incarnation_first_seen_ms = 0;
	run = sch_run_new(s, task, vm, place->attempt);
	run->state = SCH_RUN_ORDERED;
	/* Speculative runs are ordered to stop once their task is done. */
	run->stopping = task->done;
	run->orphaned = earlier;
}

static int load_task(struct sch *s, struct sch_job *job,
		     const struct Rp__TaskProgress *progress)
{
	struct sch_occurrence *occurrence =
		sch_occurrence_load(s, job, progress->occurrence);
	struct sch_task *task;
	size_t i;

	if (!occurrence || progress->step >= job->spec->n_steps ||
	    progress->index >= occurrence->instances[progress->step].n_tasks)
		return -1;
	task = &occurrence->instances[progress->step].tasks[progress->index];
	task->attempts = progress->attempts;
	task->failures = progress->failures;
	task->instance->failures += progress->failures;
	if (*progress->checkpoint)
		sch_task_set_checkpoint(task, progress->checkpoint);
	job->has_progress = TRUE;
	/* Whether its runs have started shows in the workers' run lists. */
	if (progress->done || progress->failures)
		job->started = TRUE;
	if (progress->done && !task->done) {
		task->done = TRUE;
		task->instance->n_done++;
		task->instance->n_idle--;
	}
	for (i = 0; i < progress->n_runs; i++)
		load_run(s, task, progress->runs[i]);
	return 0;
}

/* Loads tasks in the order of their occurrences. */
static int load_tasks(struct sch *s, struct sch_job *job,
		      const struct Rp__StepProgress *progress)
{
	int result = 0;
	size_t i;

	sch_occurrence_load_schedule(s, job, progress);
	for (i = 0; i < progress->n_tasks; i++) {
		/* Records of earlier versions list occurrences that have
		 * ended; not all of them may fit into memory at once. */
		if (i && progress->tasks[i]->occurrence !=
				 progress->tasks[i - 1]->occurrence)
			sch_occurrence_close_ended(s, job);
		if (load_task(s, job, progress->tasks[i]) < 0)
			result = -1;
	}
	return result;
}

/* Adds an ended job of which only the state is stored, no specification. */
static struct sch_job *ended_job_new(struct sch *s, const char *id,
				     const char *queue)
{
	struct sch_job *job = g_new0(struct sch_job, 1);

	job->id = g_strdup(id);
	job->queue = g_strdup(queue);
	job->stored = TRUE;
	job->sent = TRUE;
	job->started = TRUE;
	job->pending_calls = g_array_new(FALSE, FALSE,
					 sizeof(struct sch_pending_call));
	g_hash_table_insert(s->jobs, job->id, job);
	return job;
}

int sch_load_progress(struct sch *s, const char *id, const void *data,
		      size_t len, gint64 unix_ms)
{
	struct Rp__StepProgress *progress = rp__step_progress__unpack(NULL, len,
								      data);
	struct sch_job *job = g_hash_table_lookup(s->jobs, id);
	int result = 0;

	s->unix_ms = unix_ms;
	if (!progress)
		return -1;
	if (!job)
		job = ended_job_new(s, id, progress->queue);
	if (sch_parked_load_progress(s, job, progress)) {
		rp__step_progress__free_unpacked(progress, NULL);
		return 0;
	}
	if (job->spec)
		result = load_tasks(s, job, progress);
	job->state = progress->state;
	job->durable_state = progress->state;
	job->ended_unix_ms = progress->ended_unix_ms;
	if (sch_job_has_ended(job)) {
		g_ptr_array_remove(s->active, job);
		/* Its record is still to be deleted. */
		if (sch_parked_remove(s, job))
			sch_job_mark_dirty(s, job);
		sch_job_stop_runs(s, job);
		g_queue_push_tail(&s->ended, job);
		g_ptr_array_add(s->closing, job);
	}
	rp__step_progress__free_unpacked(progress, NULL);
	return result;
}
