#include "internal.h"

/* Runs: executions of a task on a worker, from the placement to the end. */

static struct sch_amount reserved_amount(const struct Rp__StepSpec *step)
{
	struct sch_amount amount = {
		.cpu_milli = step->fills ? 0 : step->need->cpu_milli,
		.memory_bytes = step->need->memory_bytes,
		.accelerators = step->need->accelerators,
	};

	return amount;
}

/* Adds what the run reserves on its VM (sign 1), or subtracts it (-1). */
static void add_reserved(struct sch_run *run, gint64 sign)
{
	struct sch_vm *vm = run->vm;

	vm->reserved.cpu_milli += sign * run->reserved.cpu_milli;
	vm->reserved.memory_bytes += sign * run->reserved.memory_bytes;
	vm->reserved.accelerators += sign * run->reserved.accelerators;
	if (run->task->instance->step->target_ms)
		vm->n_latency_sensitive += (int)sign;
}

struct sch_run *sch_run_new(struct sch *s, struct sch_task *task,
			    struct sch_vm *vm, guint32 attempt)
{
	struct sch_run *run = g_new0(struct sch_run, 1);

	g_assert(task->n_runs < SCH_MAX_TASK_RUNS);
	run->name = g_strdup_printf("%s.%u.%u.%u", task->job->id,
				    task->instance->occurrence->number,
				    task->instance->number, task->index);
	run->task = task;
	run->vm = vm;
	run->attempt = attempt;
	run->state_ms = s->now_ms;
	run->percent_ms = s->now_ms;
	run->reserved = reserved_amount(task->instance->step);
	if (!task->n_runs && !task->done)
		task->instance->n_idle--;
	task->runs[task->n_runs++] = run;
	task->attempts = MAX(task->attempts, attempt);
	task->instance->occurrence->n_runs++;
	task->job->n_runs++;
	task->job->has_progress = TRUE;
	g_ptr_array_add(vm->runs, run);
	g_hash_table_add(vm->run_index, run);
	add_reserved(run, 1);
	vm->headroom.valid = FALSE;
	s->stats.runs++;
	return run;
}

void sch_run_free(struct sch_run *run)
{
	g_free(run->name);
	g_free(run);
}

/* Removes the run from its task and its VM. */
static void detach(struct sch *s, struct sch_run *run)
{
	struct sch_task *task = run->task;

	add_reserved(run, -1);
	run->vm->headroom.valid = FALSE;
	g_hash_table_remove(run->vm->run_index, run);
	g_ptr_array_remove_fast(run->vm->runs, run);
	if (task->runs[0] == run)
		task->runs[0] = task->runs[1];
	task->runs[--task->n_runs] = NULL;
	if (!task->n_runs && !task->done)
		task->instance->n_idle++;
	task->instance->occurrence->n_runs--;
	task->job->n_runs--;
	s->stats.runs--;
}

void sch_run_unplan(struct sch *s, struct sch_run *run, guint32 attempts)
{
	run->task->attempts = attempts;
	detach(s, run);
	sch_run_free(run);
}

void sch_run_remove(struct sch *s, struct sch_run *run)
{
	struct sch_task *task = run->task;
	struct sch_job *job = task->job;

	detach(s, run);
	sch_vm_changed(s, run->vm);
	g_ptr_array_remove(run->vm->starts, run);
	job->idle_since_ms = s->now_ms;
	s->place_due = TRUE;
	sch_run_free(run);
	sch_job_mark_dirty(s, job);
	if ((!job->n_runs && sch_job_has_ended(job)) ||
	    (!task->instance->occurrence->n_runs &&
	     !task->instance->occurrence->instances_left))
		g_ptr_array_add(s->closing, job);
}

void sch_run_stop(struct sch *s G_GNUC_UNUSED, struct sch_run *run)
{
	if (run->stopping)
		return;
	run->stopping = TRUE;
	g_ptr_array_remove(run->vm->starts, run);
	/* sch_run_order_start() removes a planned run once its record is
	 * durable. */
	if (run->state == SCH_RUN_PLANNED)
		return;
	sch_vm_order_stop(s, run->vm, run->name, run->attempt);
}

static void count_first_start(struct sch *s, const struct sch_run *run)
{
	const struct sch_step_instance *instance = run->task->instance;
	const struct sch_job *job = run->task->job;
	const struct sch_queue *queue = sch_queue_find(s, job->queue);
	struct sch_first_starts *starts;

	sch_histogram_add(s->stats.submit_to_start,
			  s->now_ms - job->accepted_ms);
	if (!queue)
		return;
	starts = &s->stats.first_starts[MIN(queue->priority,
					    SCH_PRIORITIES - 1)];
	starts->count++;
	starts->queue_ms += (guint64)MAX(s->now_ms - job->accepted_ms, 0);
	if (s->now_ms + instance->critical_path_ms >
	    sch_order_objective_end_ms(s, instance))
		starts->late++;
}

void sch_run_started(struct sch *s, struct sch_run *run)
{
	struct sch_job *job = run->task->job;

	run->state = SCH_RUN_RUNNING;
	run->state_ms = s->now_ms;
	if (job->started)
		return;
	job->started = TRUE;
	count_first_start(s, run);
}

void sch_run_order_start(struct sch *s, struct sch_run *run)
{
	run->state = SCH_RUN_ORDERED;
	run->state_ms = s->now_ms;
	if (sch_zone_is_evacuated(run->vm) && !run->stopping)
		s->stats.starts_withdrawn++;
	if (run->stopping || sch_zone_is_evacuated(run->vm)) {
		/* The start was never sent, so there is nothing to stop. */
		sch_run_remove(s, run);
		return;
	}
	sch_vm_order_start(s, run);
	s->stats.starts++;
}

struct sch_run *sch_run_find(const struct sch_vm *vm, const char *task,
			     guint32 attempt)
{
	const struct sch_run key = { .name = (char *)task, .attempt = attempt };

	return g_hash_table_lookup(vm->run_index, &key);
}

guint sch_run_hash(gconstpointer run)
{
	const struct sch_run *r = run;

	return g_str_hash(r->name) + r->attempt;
}

gboolean sch_run_equal(gconstpointer a, gconstpointer b)
{
	const struct sch_run *x = a;
	const struct sch_run *y = b;

	return x->attempt == y->attempt && !strcmp(x->name, y->name);
}

/*
 * Adds the duration of a done task to the durations of its queue and its step,
 * and compares it with the step's mean, to find slow VMs.
 */
static void add_duration(struct sch *s, struct sch_run *run)
{
	struct sch_step_instance *instance = run->task->instance;
	struct sch_vm *vm = run->vm;
	double took_ms = (double)MAX(s->now_ms - run->state_ms, 1);
	double weight;

	if (instance->step->lasts || instance->step->fills ||
	    run->task->checkpoint || run->state != SCH_RUN_RUNNING)
		return;
	sch_queue_durations_add(sch_queue_durations(s, run->task->job->queue),
				instance->step->estimate_ms, took_ms);
	if (instance->n_durations) {
		/* A moving average, so that a single outlier matters little. */
		weight = 0.25;
		vm->slowness += weight * (took_ms / instance->mean_duration_ms -
					  vm->slowness);
		vm->slowness_updated_ms = s->now_ms;
	}
	instance->n_durations++;
	instance->mean_duration_ms += (took_ms - instance->mean_duration_ms) /
				      instance->n_durations;
}

static void mark_task_done(struct sch *s, struct sch_task *task)
{
	guint i;

	if (task->done)
		return;
	task->done = TRUE;
	task->instance->n_done++;
	task->instance->occurrence->advance_due = TRUE;
	if (!task->n_runs)
		task->instance->n_idle--;
	for (i = 0; i < task->n_runs; i++)
		sch_run_stop(s, task->runs[i]);
}

static void complete_task(struct sch *s, struct sch_task *task)
{
	struct sch_step_instance *instance = task->instance;
	guint i;

	mark_task_done(s, task);
	/* The members of a gang end together, so one end counts for all. */
	for (i = 0; instance->step->gang && i < instance->n_tasks; i++)
		mark_task_done(s, &instance->tasks[i]);
	sch_job_mark_dirty(s, task->job);
	sch_job_advance(s, task->job);
}

static void fail_task(struct sch *s, struct sch_task *task, struct sch_vm *vm,
		      gint64 started_ms)
{
	struct sch_queue *queue = sch_queue_find(s, task->job->queue);
	struct sch_job *job = task->job;

	task->failures++;
	task->instance->failures++;
	g_free(task->last_failed_vm);
	task->last_failed_vm = g_strdup(vm->name);
	task->last_failure_ms = s->now_ms;
	sch_vm_fault(s, vm, job, started_ms);
	sch_job_mark_dirty(s, job);
	if (task->instance->step->lasts || !queue ||
	    task->failures < MAX(queue->max_attempts, 1))
		return;
	sch_job_end(s, job, RP__JOB_STATE__JOB_STATE_FAILED);
}

/* If one member of a gang ends early, all members have to start again. */
void sch_run_stop_gang(struct sch *s, struct sch_step_instance *instance,
		       const struct sch_run *except)
{
	guint i;

	for (i = 0; i < instance->n_tasks; i++)
		if (instance->tasks[i].n_runs &&
		    instance->tasks[i].runs[0] != except)
			sch_run_stop(s, instance->tasks[i].runs[0]);
}

static void apply_end(struct sch *s, struct sch_vm *vm, struct sch_task *task,
		      struct sch_run *run, const struct Rp__RunEnd *end)
{
	struct sch_job *job = task->job;
	gint64 started_ms = run->state_ms;

	if (run->state == SCH_RUN_ORDERED) {
		sch_run_started(s, run);
		/* Its start was not seen, so its duration is unknown, and
		 * add_duration() ignores a run in this state. */
		run->state = SCH_RUN_ORDERED;
	}
	sch_task_set_checkpoint(task, end->checkpoint);
	if (end->kind == RP__RUN_END_KIND__RUN_END_DONE) {
		add_duration(s, run);
		sch_vm_clear_faults(vm);
	}
	sch_run_remove(s, run);
	if (sch_job_has_ended(job))
		return;
	switch (end->kind) {
	case RP__RUN_END_KIND__RUN_END_DONE:
		if (!task->instance->step->lasts)
			complete_task(s, task);
		break;
	case RP__RUN_END_KIND__RUN_END_FAILED:
		/* The task may be done already, through its other run or
		 * another member of its gang. */
		if (task->done)
			sch_vm_fault(s, vm, job, started_ms);
		else
			fail_task(s, task, vm, started_ms);
		if (task->instance->step->gang && !sch_job_has_ended(job)) {
			struct sch_queue *queue = sch_queue_find(s, job->queue);

			if (queue && task->instance->failures >=
					     MAX(queue->max_attempts, 1))
				sch_job_end(s, job,
					    RP__JOB_STATE__JOB_STATE_FAILED);
		}
		break;
	default:
		/* Stopped, lease expired (LAPSED) or ended with its gang
		 * (BROKEN, ALONE): the task is retried, no failure counts. */
		break;
	}
	if (task->instance->step->gang && !task->done &&
	    !sch_job_has_ended(job))
		sch_run_stop_gang(s, task->instance, NULL);
}

void sch_run_ended(struct sch *s, struct sch_vm *vm,
		   const struct Rp__RunEnd *end)
{
	struct sch_end *pending;
	struct sch_job *job;
	struct sch_task *task;
	struct sch_run *run;

	if (end->number <= vm->last_end_seen || !end->run)
		return;
	vm->last_end_seen = end->number;
	g_hash_table_remove(vm->unknown_runs, end->run->task);
	task = sch_job_task(s, end->run->task, &job);
	run = sch_run_find(vm, end->run->task, end->run->attempt);
	/*
	 * Without a run, the end is durable already, written by an earlier
	 * leader, or the run was dropped when its lease expired.
	 */
	if (task && run)
		apply_end(s, vm, task, run, end);
	pending = g_new0(struct sch_end, 1);
	pending->number = end->number;
	pending->record_change = job ? job->pending_change : 0;
	g_queue_push_tail(&vm->ends, pending);
	vm->ack_due = TRUE;
}
