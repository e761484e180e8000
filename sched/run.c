#include "internal.h"

/* Runs: one attempt at a task on one worker, from the choice to its end. */

static struct sch_amount amount_of(const struct Rp__StepSpec *step)
{
	struct sch_amount amount = {
		.cpu_milli = step->fills ? 0 : step->need->cpu_milli,
		.memory_bytes = step->need->memory_bytes,
		.accelerators = step->need->accelerators,
	};

	return amount;
}

static void add_load(struct sch_run *run, gint64 sign)
{
	struct sch_vm *vm = run->vm;

	vm->used.cpu_milli += sign * run->taken.cpu_milli;
	vm->used.memory_bytes += sign * run->taken.memory_bytes;
	vm->used.accelerators += sign * run->taken.accelerators;
}

struct sch_run *sch_run_new(struct sch *s, struct sch_task *task,
			    struct sch_vm *vm, guint32 attempt)
{
	struct sch_run *run = g_new0(struct sch_run, 1);

	g_assert(task->n_runs < SCH_MAX_COPIES);
	run->name = g_strdup_printf("%s.%u.%u.%u", task->job->id,
				    task->phase->occurrence,
				    task->phase->number, task->index);
	run->task = task;
	run->vm = vm;
	run->attempt = attempt;
	run->state_ms = s->now_ms;
	run->percent_ms = s->now_ms;
	run->taken = amount_of(task->phase->step);
	if (!task->n_runs && !task->done)
		task->phase->n_idle--;
	task->runs[task->n_runs++] = run;
	task->attempts = MAX(task->attempts, attempt);
	task->job->n_runs++;
	task->job->progressed = TRUE;
	g_ptr_array_add(vm->runs, run);
	add_load(run, 1);
	vm->room.valid = FALSE;
	s->stats.runs++;
	return run;
}

void sch_run_free(struct sch_run *run)
{
	g_free(run->name);
	g_free(run);
}

void sch_run_remove(struct sch *s, struct sch_run *run)
{
	struct sch_task *task = run->task;
	struct sch_job *job = task->job;

	add_load(run, -1);
	sch_vm_changed(s, run->vm);
	g_ptr_array_remove_fast(run->vm->runs, run);
	g_ptr_array_remove(run->vm->starts, run);
	if (task->runs[0] == run)
		task->runs[0] = task->runs[1];
	task->runs[--task->n_runs] = NULL;
	if (!task->n_runs && !task->done)
		task->phase->n_idle++;
	job->n_runs--;
	s->stats.runs--;
	s->place_due = TRUE;
	sch_run_free(run);
	sch_job_dirty(s, job);
	if (!job->n_runs && sch_job_has_ended(job))
		g_ptr_array_add(s->closing, job);
}

void sch_run_stop(struct sch *s G_GNUC_UNUSED, struct sch_run *run)
{
	if (run->stopping)
		return;
	run->stopping = TRUE;
	g_ptr_array_remove(run->vm->starts, run);
	/* A planned run is stopped once its record is durable. */
	if (run->state == SCH_RUN_PLANNED)
		return;
	sch_vm_order_stop(run->vm, run->name, run->attempt);
}

void sch_run_began(struct sch *s, struct sch_run *run)
{
	struct sch_job *job = run->task->job;

	run->state = SCH_RUN_RUNNING;
	run->state_ms = s->now_ms;
	if (job->started)
		return;
	job->started = TRUE;
	sch_observe(s->stats.submit_to_start, s->now_ms - job->accepted_ms);
}

void sch_run_order(struct sch *s, struct sch_run *run)
{
	run->state = SCH_RUN_ORDERED;
	run->state_ms = s->now_ms;
	if (run->stopping) {
		/* Never sent, so there is nothing to stop. */
		sch_run_remove(s, run);
		return;
	}
	g_ptr_array_add(run->vm->starts, run);
	s->stats.starts++;
}

struct sch_run *sch_run_find(const struct sch_vm *vm, const char *name,
			     guint32 attempt)
{
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		struct sch_run *run = vm->runs->pdata[i];

		if (run->attempt == attempt && !strcmp(run->name, name))
			return run;
	}
	return NULL;
}

/* Compares like tasks over workers, to find slow ones. */
static void note_duration(struct sch *s, struct sch_run *run)
{
	struct sch_phase *phase = run->task->phase;
	struct sch_vm *vm = run->vm;
	double took = (double)MAX(s->now_ms - run->state_ms, 1);
	double weight;

	if (phase->step->lasts || phase->step->fills || run->task->checkpoint ||
	    run->state != SCH_RUN_RUNNING)
		return;
	sch_demand_sample(sch_demand(s, run->task->job->queue),
			  phase->step->estimate_ms, took);
	if (phase->n_timed) {
		/* A quarter of the way, so that one odd task matters little. */
		weight = 0.25;
		vm->slowness += weight * (took / phase->mean_ms - vm->slowness);
		vm->slowness_ms = s->now_ms;
	}
	phase->n_timed++;
	phase->mean_ms += (took - phase->mean_ms) / phase->n_timed;
}

static void finish_task(struct sch *s, struct sch_task *task)
{
	guint i;

	if (task->done)
		return;
	task->done = TRUE;
	task->phase->n_done++;
	if (!task->n_runs)
		task->phase->n_idle--;
	for (i = 0; i < task->n_runs; i++)
		sch_run_stop(s, task->runs[i]);
}

static void finish(struct sch *s, struct sch_task *task)
{
	struct sch_phase *phase = task->phase;
	guint i;

	finish_task(s, task);
	/* The end of one member stands for the whole gang. */
	for (i = 0; phase->step->gang && i < phase->n_tasks; i++)
		finish_task(s, &phase->tasks[i]);
	sch_job_dirty(s, task->job);
	sch_job_advance(s, task->job);
}

static void fail(struct sch *s, struct sch_task *task, struct sch_vm *vm,
		 gint64 begun_ms)
{
	struct sch_queue *queue = sch_queue_find(s, task->job->queue);
	struct sch_job *job = task->job;

	task->failures++;
	task->phase->failures++;
	g_free(task->failed_vm);
	task->failed_vm = g_strdup(vm->name);
	sch_vm_fault(s, vm, job, begun_ms);
	sch_job_dirty(s, job);
	if (task->phase->step->lasts || !queue ||
	    task->failures < MAX(queue->max_attempts, 1))
		return;
	sch_job_end(s, job, RP__JOB_STATE__JOB_STATE_FAILED);
}

/* A member's end breaks its gang, whose members start again together. */
void sch_run_stop_gang(struct sch *s, struct sch_phase *phase,
		       const struct sch_run *except)
{
	guint i;

	for (i = 0; i < phase->n_tasks; i++)
		if (phase->tasks[i].n_runs && phase->tasks[i].runs[0] != except)
			sch_run_stop(s, phase->tasks[i].runs[0]);
}

static void apply_end(struct sch *s, struct sch_vm *vm, struct sch_task *task,
		      struct sch_run *run, const struct Rp__RunEnd *end)
{
	struct sch_job *job = task->job;
	gint64 begun_ms = run->state_ms;

	if (run->state == SCH_RUN_ORDERED) {
		sch_run_began(s, run);
		/* It tells nothing of the duration. */
		run->state = SCH_RUN_ORDERED;
	}
	sch_task_set_checkpoint(task, end->checkpoint);
	if (end->kind == RP__RUN_END_KIND__RUN_END_DONE) {
		note_duration(s, run);
		sch_vm_clear_faults(vm);
	}
	sch_run_remove(s, run);
	if (sch_job_has_ended(job))
		return;
	switch (end->kind) {
	case RP__RUN_END_KIND__RUN_END_DONE:
		if (!task->phase->step->lasts)
			finish(s, task);
		break;
	case RP__RUN_END_KIND__RUN_END_FAILED:
		/* A copy may fail after the task is done. */
		if (task->done)
			sch_vm_fault(s, vm, job, begun_ms);
		else
			fail(s, task, vm, begun_ms);
		if (task->phase->step->gang && !sch_job_has_ended(job)) {
			struct sch_queue *queue = sch_queue_find(s, job->queue);

			if (queue && task->phase->failures >=
					     MAX(queue->max_attempts, 1))
				sch_job_end(s, job,
					    RP__JOB_STATE__JOB_STATE_FAILED);
		}
		break;
	default:
		break;
	}
	if (task->phase->step->gang && !task->done && !sch_job_has_ended(job))
		sch_run_stop_gang(s, task->phase, NULL);
}

void sch_run_ended(struct sch *s, struct sch_vm *vm,
		   const struct Rp__RunEnd *end)
{
	struct sch_end *note;
	struct sch_job *job;
	struct sch_task *task;
	struct sch_run *run;

	if (end->number <= vm->ended_seen || !end->run)
		return;
	vm->ended_seen = end->number;
	g_hash_table_remove(vm->strangers, end->run->task);
	task = sch_job_task(s, end->run->task, &job);
	run = sch_run_find(vm, end->run->task, end->run->attempt);
	/*
	 * Without a run the end is in the records already, which a leader
	 * before this one wrote, or the run was given up when its lease ended.
	 */
	if (task && run)
		apply_end(s, vm, task, run, end);
	note = g_new0(struct sch_end, 1);
	note->number = end->number;
	note->change = job ? job->change : 0;
	g_queue_push_tail(&vm->ends, note);
	vm->ack_due = TRUE;
}
