#include "internal.h"

/* Jobs, their steps and tasks: which are ready, and when a job has ended. */

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
			return "a step depends on itself or a later one";
	return NULL;
}

const char *sch_job_check(const struct Rp__StepJob *spec)
{
	const char *problem;
	guint64 tasks = 0;
	size_t i;

	if (!spec || !spec->n_steps || spec->n_steps > SCH_MAX_STEPS)
		return "number of steps out of range";
	if (spec->payload.len > SCH_MAX_PAYLOAD_BYTES)
		return "payload too long";
	if (spec->occurrences > SCH_MAX_OCCURRENCES)
		return "number of occurrences out of range";
	for (i = 0; i < spec->n_steps; i++) {
		problem = check_step(spec, i);
		if (problem)
			return problem;
		tasks += spec->steps[i]->replicas;
	}
	return tasks > SCH_MAX_TASKS ? "too many tasks" : NULL;
}

void sch_job_normalise(struct Rp__StepJob *spec)
{
	size_t i;
	size_t k;

	for (i = 0; i < spec->n_steps; i++) {
		struct Rp__StepSpec *step = spec->steps[i];
		gboolean seen[SCH_MAX_STEPS] = { FALSE };
		size_t n = 0;

		for (k = 0; k < step->n_after; k++) {
			if (!seen[step->after[k]])
				step->after[n++] = step->after[k];
			seen[step->after[k]] = TRUE;
		}
		step->n_after = n;
		step->after = g_realloc_n(step->after, n, sizeof(*step->after));
	}
}

struct sch_job *sch_job_new(struct sch *s, const char *id,
			    struct Rp__StepJob *spec)
{
	struct sch_job *job = g_new0(struct sch_job, 1);

	job->id = g_strdup(id);
	job->queue = g_strdup(spec->queue);
	job->spec = spec;
	job->state = RP__JOB_STATE__JOB_STATE_QUEUED;
	job->durable_state = RP__JOB_STATE__JOB_STATE_NONE;
	job->n_occurrences = MAX(spec->occurrences, 1);
	job->open = g_ptr_array_new();
	job->accepted_ms = s->now_ms;
	job->idle_since_ms = s->now_ms;
	job->pending_calls = g_array_new(FALSE, FALSE,
					 sizeof(struct sch_pending_call));
	sch_admission_add(s, job);
	return job;
}

void sch_job_free(struct sch_job *job)
{
	sch_occurrence_free_all(NULL, job);
	if (job->open)
		g_ptr_array_unref(job->open);
	if (job->spec)
		rp__step_job__free_unpacked(job->spec, NULL);
	g_array_unref(job->pending_calls);
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
	struct sch_occurrence *occurrence;
	gint64 number;
	gint64 step;
	gint64 index;

	*job = id ? g_hash_table_lookup(s->jobs, id) : NULL;
	if (!*job || !(*job)->spec)
		return NULL;
	number = next_number(&rest);
	step = next_number(&rest);
	index = next_number(&rest);
	if (number < 0 || step < 0 || index < 0 || *rest)
		return NULL;
	occurrence = sch_occurrence_find(*job, (guint32)number);
	if (!occurrence || (size_t)step >= (*job)->spec->n_steps ||
	    index >= occurrence->instances[step].n_tasks)
		return NULL;
	return &occurrence->instances[step].tasks[index];
}

void sch_task_set_checkpoint(struct sch_task *task, const char *checkpoint)
{
	if (!checkpoint || !*checkpoint || !task->instance->step->checkpoints ||
	    !g_strcmp0(task->checkpoint, checkpoint))
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

static gboolean predecessors_done(const struct sch_occurrence *occurrence,
				  const struct sch_step_instance *instance)
{
	size_t i;

	for (i = 0; i < instance->step->n_after; i++) {
		const struct sch_step_instance *before =
			&occurrence->instances[instance->step->after[i]];

		if (before->n_done < before->n_tasks)
			return FALSE;
	}
	return TRUE;
}

/* Steps depend on earlier ones only, so they are visited from the last on. */
static void set_critical_paths(struct sch *s, struct sch_job *job,
			       struct sch_occurrence *occurrence)
{
	const struct sch_queue_durations *durations =
		sch_queue_durations(s, job->queue);
	size_t n = job->spec->n_steps;
	size_t i;
	size_t k;

	for (i = n; i-- > 0;) {
		struct sch_step_instance *instance = &occurrence->instances[i];

		instance->critical_path_ms += sch_queue_durations_expect_ms(
			durations, instance->step->estimate_ms);
		for (k = 0; k < instance->step->n_after; k++) {
			struct sch_step_instance *before =
				&occurrence
					 ->instances[instance->step->after[k]];

			before->critical_path_ms =
				MAX(before->critical_path_ms,
				    instance->critical_path_ms);
		}
		job->critical_path_ms = MAX(job->critical_path_ms,
					    instance->critical_path_ms);
	}
}

/* Makes steps of an occurrence that was opened ready, unless this leader's
 * clock is behind that of the one which has opened it. */
static void advance_occurrence(struct sch *s, struct sch_job *job,
			       struct sch_occurrence *occurrence)
{
	gint64 late_ms = s->unix_ms -
			 sch_occurrence_due_unix_ms(job, occurrence->number);
	size_t i;

	if (!occurrence->due_ms) {
		if (job->spec->occurrences && late_ms < SCH_DUE_SLACK_MS)
			return;
		/* An occurrence may be opened long after it was due. */
		occurrence->due_ms = s->now_ms;
		if (job->spec->occurrences)
			occurrence->due_ms -= MIN(late_ms - SCH_DUE_SLACK_MS,
						  s->now_ms - 1);
		set_critical_paths(s, job, occurrence);
	}
	occurrence->advance_due = FALSE;
	occurrence->instances_left = 0;
	for (i = 0; i < job->spec->n_steps; i++) {
		struct sch_step_instance *instance = &occurrence->instances[i];

		if (instance->n_done < instance->n_tasks)
			occurrence->instances_left++;
		if (instance->ready_ms ||
		    !predecessors_done(occurrence, instance))
			continue;
		instance->ready_ms = s->now_ms;
		s->place_due = TRUE;
	}
	if (!occurrence->instances_left)
		g_ptr_array_add(s->closing, job);
}

void sch_job_advance(struct sch *s, struct sch_job *job)
{
	guint i;

	if (sch_job_has_ended(job) || !job->spec)
		return;
	sch_occurrence_open_due(s, job);
	for (i = 0; i < job->open->len; i++) {
		struct sch_occurrence *occurrence = job->open->pdata[i];

		if (occurrence->advance_due)
			advance_occurrence(s, job, occurrence);
	}
	if (sch_occurrence_all_ended(job))
		sch_job_end(s, job, RP__JOB_STATE__JOB_STATE_DONE);
}

void sch_job_foreach_task(const struct sch_job *job,
			  void (*fn)(void *ctx, struct sch_task *task),
			  void *ctx)
{
	guint i;
	size_t k;
	guint t;

	for (i = 0; job->spec && i < job->open->len; i++) {
		struct sch_occurrence *occurrence = job->open->pdata[i];

		for (k = 0; k < job->spec->n_steps; k++)
			for (t = 0; t < occurrence->instances[k].n_tasks; t++)
				fn(ctx, &occurrence->instances[k].tasks[t]);
	}
}

static void stop_task(void *ctx, struct sch_task *task)
{
	struct sch *s = ctx;

	/* Such runs were not even sent to the store. */
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
	sch_drain_add(&s->drain, s->now_ms);
	g_ptr_array_remove(s->active, job);
	sch_parked_remove(s, job);
	g_queue_push_tail(&s->ended, job);
	g_log_structured(
		G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID", job->id, "MESSAGE",
		"job of queue %s is %s after %" G_GINT64_FORMAT " ms",
		job->queue, names[state], s->now_ms - job->accepted_ms);
	if (state == RP__JOB_STATE__JOB_STATE_DONE)
		sch_histogram_add(s->stats.submit_to_done,
				  s->now_ms - job->accepted_ms);
	sch_job_stop_runs(s, job);
	sch_job_mark_awaited(s, job);
	g_ptr_array_add(s->closing, job);
}

void sch_job_close_ended(struct sch *s)
{
	guint i;

	for (i = 0; i < s->closing->len; i++) {
		struct sch_job *job = s->closing->pdata[i];

		if (!job->spec)
			continue;
		if (!sch_job_has_ended(job)) {
			sch_occurrence_close_ended(s, job);
			continue;
		}
		if (job->n_runs)
			continue;
		/* Tasks and payload are no longer needed; the next transaction
		 * deletes them from the store. */
		sch_admission_remove(s, job);
		sch_occurrence_free_all(s, job);
		rp__step_job__free_unpacked(job->spec, NULL);
		job->spec = NULL;
		sch_job_mark_dirty(s, job);
	}
	g_ptr_array_set_size(s->closing, 0);
}
