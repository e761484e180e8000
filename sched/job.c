#include "internal.h"

/* Jobs, their steps and tasks: what is ready, and when a job has ended. */

/** Due times of occurrences are met late by so much: clocks differ. */
#define DUE_SLACK_MS 120

gboolean sch_job_has_ended(const struct sch_job *job)
{
	return job->state == RP__JOB_STATE__JOB_STATE_DONE ||
	       job->state == RP__JOB_STATE__JOB_STATE_FAILED ||
	       job->state == RP__JOB_STATE__JOB_STATE_CANCELLED;
}

static const char *check_step(const struct Rp__StepJob *spec, size_t number)
{
	const struct Rp__StepSpec *step = spec->steps[number];
	size_t i;

	if (!step->replicas || step->replicas > SCH_MAX_REPLICAS)
		return "replicas out of range";
	if (!step->need || step->need->cpu_milli < 0 ||
	    step->need->memory_bytes < 0 || step->need->accelerators < 0)
		return "resources out of range";
	for (i = 0; i < step->n_after; i++)
		if (step->after[i] >= number)
			return "a step comes after a later one";
	return NULL;
}

const char *sch_job_check(const struct Rp__StepJob *spec)
{
	const char *wrong;
	guint64 tasks = 0;
	size_t i;

	if (!spec || !spec->n_steps || spec->n_steps > SCH_MAX_STEPS)
		return "number of steps out of range";
	if (spec->payload.len > SCH_MAX_PAYLOAD_BYTES)
		return "payload too long";
	if (spec->occurrences > SCH_MAX_OCCURRENCES)
		return "number of occurrences out of range";
	for (i = 0; i < spec->n_steps; i++) {
		wrong = check_step(spec, i);
		if (wrong)
			return wrong;
		tasks += spec->steps[i]->replicas;
	}
	return tasks > SCH_MAX_TASKS ? "too many tasks" : NULL;
}

static void init_phases(struct sch *s, struct sch_job *job,
			struct sch_occurrence *occurrence, guint32 number)
{
	size_t i;
	guint k;

	occurrence->phases = g_new0(struct sch_phase, job->spec->n_steps);
	occurrence->phases_left = (guint)job->spec->n_steps;
	for (i = 0; i < job->spec->n_steps; i++) {
		struct sch_phase *phase = &occurrence->phases[i];

		phase->job = job;
		phase->step = job->spec->steps[i];
		phase->image = colo_image_id(s->colo, phase->step->image);
		phase->occurrence = number;
		phase->number = (guint32)i;
		phase->n_tasks = phase->step->replicas;
		phase->n_idle = phase->n_tasks;
		phase->tasks = g_new0(struct sch_task, phase->n_tasks);
		for (k = 0; k < phase->n_tasks; k++) {
			phase->tasks[k].job = job;
			phase->tasks[k].phase = phase;
			phase->tasks[k].index = k;
		}
	}
}

struct sch_job *sch_job_new(struct sch *s, const char *id,
			    struct Rp__StepJob *spec)
{
	struct sch_job *job = g_new0(struct sch_job, 1);
	guint i;

	job->id = g_strdup(id);
	job->queue = g_strdup(spec->queue);
	job->spec = spec;
	job->state = RP__JOB_STATE__JOB_STATE_QUEUED;
	job->shown = RP__JOB_STATE__JOB_STATE_NONE;
	job->n_occurrences = MAX(spec->occurrences, 1);
	job->occurrences_left = job->n_occurrences;
	job->occurrences = g_new0(struct sch_occurrence, job->n_occurrences);
	for (i = 0; i < job->n_occurrences; i++)
		if (spec->occurrences)
			job->occurrences[i].due_unix_ms =
				spec->first_unix_ms +
				(gint64)i * spec->interval_ms;
	job->accepted_ms = s->now_ms;
	job->waiters = g_array_new(FALSE, FALSE, sizeof(struct sch_waiter));
	return job;
}

static void free_occurrences(struct sch_job *job)
{
	guint i;
	size_t k;
	guint t;

	for (i = 0; job->occurrences && i < job->n_occurrences; i++) {
		struct sch_phase *phases = job->occurrences[i].phases;

		for (k = 0; phases && k < job->spec->n_steps; k++) {
			for (t = 0; t < phases[k].n_tasks; t++) {
				g_free(phases[k].tasks[t].checkpoint);
				g_free(phases[k].tasks[t].failed_vm);
			}
			g_free(phases[k].tasks);
		}
		g_free(phases);
	}
	g_clear_pointer(&job->occurrences, g_free);
}

void sch_job_free(struct sch_job *job)
{
	free_occurrences(job);
	if (job->spec)
		rp__step_job__free_unpacked(job->spec, NULL);
	g_array_unref(job->waiters);
	g_free(job->queue);
	g_free(job->id);
	g_free(job);
}

/* Reads the number after a dot; returns -1 if there is none. */
static gint64 next_number(const char **text)
{
	char *end;
	guint64 value;

	if (**text != '.' || !g_ascii_isdigit((*text)[1]))
		return -1;
	value = g_ascii_strtoull(*text + 1, &end, 10);
	*text = end;
	return value > G_MAXINT32 ? -1 : (gint64)value;
}

struct sch_task *sch_job_task(struct sch *s, const char *name,
			      struct sch_job **job)
{
	const char *rest = strchr(name, '.');
	g_autofree char *id = rest ? g_strndup(name, rest - name) : NULL;
	gint64 occurrence;
	gint64 step;
	gint64 index;
	struct sch_phase *phase;

	*job = id ? g_hash_table_lookup(s->jobs, id) : NULL;
	if (!*job || !(*job)->spec)
		return NULL;
	occurrence = next_number(&rest);
	step = next_number(&rest);
	index = next_number(&rest);
	if (occurrence < 0 || step < 0 || index < 0 || *rest ||
	    occurrence >= (*job)->n_occurrences ||
	    (size_t)step >= (*job)->spec->n_steps)
		return NULL;
	if (!(*job)->occurrences[occurrence].phases)
		init_phases(s, *job, &(*job)->occurrences[occurrence],
			    (guint32)occurrence);
	phase = &(*job)->occurrences[occurrence].phases[step];
	return index < phase->n_tasks ? &phase->tasks[index] : NULL;
}

void sch_task_set_checkpoint(struct sch_task *task, const char *checkpoint)
{
	if (!checkpoint || !*checkpoint || !task->phase->step->checkpoints ||
	    !g_strcmp0(task->checkpoint, checkpoint))
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

static gboolean has_turn(const struct sch_occurrence *occurrence,
			 const struct sch_phase *phase)
{
	size_t i;

	for (i = 0; i < phase->step->n_after; i++) {
		const struct sch_phase *before =
			&occurrence->phases[phase->step->after[i]];

		if (before->n_done < before->n_tasks)
			return FALSE;
	}
	return TRUE;
}

/* The longest chain from each step on; later steps come after earlier ones. */
static void set_chains(struct sch *s, struct sch_job *job,
		       struct sch_occurrence *occurrence)
{
	const struct sch_demand *demand = sch_demand(s, job->queue);
	size_t n = job->spec->n_steps;
	size_t i;
	size_t k;

	for (i = n; i-- > 0;) {
		struct sch_phase *phase = &occurrence->phases[i];

		phase->chain_ms +=
			sch_demand_expect_ms(demand, phase->step->estimate_ms);
		for (k = 0; k < phase->step->n_after; k++) {
			struct sch_phase *before =
				&occurrence->phases[phase->step->after[k]];

			before->chain_ms = MAX(before->chain_ms,
					       phase->chain_ms);
		}
		job->chain_ms = MAX(job->chain_ms, phase->chain_ms);
	}
}

static void make_ready(struct sch *s, struct sch_job *job, guint number)
{
	struct sch_occurrence *occurrence = &job->occurrences[number];
	size_t i;

	if (!occurrence->due_ms) {
		if (occurrence->due_unix_ms &&
		    s->unix_ms < occurrence->due_unix_ms + DUE_SLACK_MS)
			return;
		occurrence->due_ms = s->now_ms;
		if (!occurrence->phases)
			init_phases(s, job, occurrence, number);
		set_chains(s, job, occurrence);
	}
	g_assert(occurrence->phases);
	for (i = 0; i < job->spec->n_steps; i++) {
		struct sch_phase *phase = &occurrence->phases[i];

		if (phase->ready_ms || !has_turn(occurrence, phase))
			continue;
		phase->ready_ms = s->now_ms;
		s->place_due = TRUE;
	}
}

void sch_job_advance(struct sch *s, struct sch_job *job)
{
	guint left = 0;
	guint i;
	size_t k;

	if (sch_job_has_ended(job) || !job->spec)
		return;
	for (i = 0; i < job->n_occurrences; i++) {
		struct sch_occurrence *occurrence = &job->occurrences[i];

		if (occurrence->phases && !occurrence->phases_left)
			continue;
		make_ready(s, job, i);
		occurrence->phases_left = (guint)job->spec->n_steps;
		for (k = 0; occurrence->phases && k < job->spec->n_steps; k++)
			if (occurrence->phases[k].n_done ==
			    occurrence->phases[k].n_tasks)
				occurrence->phases_left--;
		if (occurrence->phases_left)
			left++;
	}
	job->occurrences_left = left;
	if (!left)
		sch_job_end(s, job, RP__JOB_STATE__JOB_STATE_DONE);
}

void sch_job_foreach_task(const struct sch_job *job,
			  void (*fn)(void *ctx, struct sch_task *task),
			  void *ctx)
{
	guint i;
	size_t k;
	guint t;

	for (i = 0; job->spec && i < job->n_occurrences; i++) {
		struct sch_phase *phases = job->occurrences[i].phases;

		for (k = 0; phases && k < job->spec->n_steps; k++)
			for (t = 0; t < phases[k].n_tasks; t++)
				fn(ctx, &phases[k].tasks[t]);
	}
}

static void stop_task(void *ctx, struct sch_task *task)
{
	struct sch *s = ctx;

	while (task->n_runs && task->runs[0]->state == SCH_RUN_PLANNED &&
	       !task->runs[0]->committing)
		sch_run_remove(s, task->runs[0]);
	if (task->n_runs)
		sch_run_stop(s, task->runs[0]);
	if (task->n_runs > 1)
		sch_run_stop(s, task->runs[1]);
}

void sch_job_stop_runs(struct sch *s, struct sch_job *job)
{
	sch_job_foreach_task(job, stop_task, s);
}

void sch_job_end(struct sch *s, struct sch_job *job, Rp__JobState state)
{
	static const char *const names[] = {
		[RP__JOB_STATE__JOB_STATE_DONE] = "done",
		[RP__JOB_STATE__JOB_STATE_FAILED] = "failed",
		[RP__JOB_STATE__JOB_STATE_CANCELLED] = "cancelled",
	};

	if (sch_job_has_ended(job))
		return;
	job->state = state;
	job->ended_unix_ms = s->unix_ms;
	g_ptr_array_remove(s->active, job);
	g_queue_push_tail(&s->ended, job);
	g_log_structured(
		G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID", job->id, "MESSAGE",
		"job of queue %s is %s after %" G_GINT64_FORMAT " ms",
		job->queue, names[state], s->now_ms - job->accepted_ms);
	if (state == RP__JOB_STATE__JOB_STATE_DONE)
		sch_observe(s->stats.submit_to_done,
			    s->now_ms - job->accepted_ms);
	sch_job_stop_runs(s, job);
	sch_job_urgent(s, job);
	g_ptr_array_add(s->closing, job);
}

void sch_job_close_ended(struct sch *s)
{
	guint i;

	for (i = 0; i < s->closing->len; i++) {
		struct sch_job *job = s->closing->pdata[i];

		if (!job->spec || job->n_runs)
			continue;
		/* Tasks and payload are no longer needed, also in the store. */
		free_occurrences(job);
		rp__step_job__free_unpacked(job->spec, NULL);
		job->spec = NULL;
		sch_job_dirty(s, job);
	}
	g_ptr_array_set_size(s->closing, 0);
}
