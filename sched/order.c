#include "internal.h"

/*
 * Which step's tasks start next: by the queue's priority; of one priority,
 * first the steps whose job can still meet its objective, the one with the
 * least slack first (tasks that fill: the least work), then the late ones, the
 * one with the least work left first. Answers the load in which batch jobs
 * queue for several times their length: by slack alone, each job would wait
 * until it is late.
 */

/** After this many times its objective a job is of little use. */
#define HOPELESS_FACTOR 3

/** Pace of filling tasks below which the estimate is not trusted. */
#define MIN_PACE 0.25

static gint64 objective_ms(const struct sch_job *job,
			   const struct sch_queue *queue)
{
	return (gint64)(queue->slack_factor * (double)job->chain_ms) +
	       queue->objective_base_ms;
}

/*
 * Core-milliseconds of a step that fills, to the job's end as if it went on as
 * wide. When fills queue, the job with the least is done first: they get
 * part of their pace only, so slack at full pace says little, and many small
 * jobs are done in the time of a large one.
 */
static gint64 work_left(const struct sch_phase *phase)
{
	return phase->chain_ms * phase->n_tasks * phase->step->need->cpu_milli /
	       1000;
}

/* Time to the job's end; tasks that fill get part of their pace only. */
static gint64 time_left_ms(const struct sch *s, const struct sch_phase *phase)
{
	double pace = phase->step->fills ? MAX(s->fill_pace, MIN_PACE) : 1;

	return (gint64)((double)phase->chain_ms / pace);
}

static void add_candidate(struct sch *s, GArray *candidates,
			  struct sch_phase *phase,
			  const struct sch_queue *queue, gint64 objective)
{
	const struct sch_occurrence *occurrence =
		&phase->job->occurrences[phase->occurrence];
	gint64 from_ms = occurrence->due_unix_ms ? occurrence->due_ms
						 : phase->job->accepted_ms;
	gint64 slack_ms = from_ms + objective - time_left_ms(s, phase) -
			  s->now_ms;
	struct sch_candidate c = { .phase = phase, .queue = queue };

	if (phase->step->lasts) {
		c.urgency = SCH_URGENCY_LASTS;
		c.order = phase->ready_ms;
	} else if (slack_ms >= 0) {
		c.urgency = SCH_URGENCY_IN_TIME;
		c.order = phase->step->fills ? work_left(phase) : slack_ms;
	} else if (slack_ms + (HOPELESS_FACTOR - 1) * objective >= 0) {
		c.urgency = SCH_URGENCY_LATE;
		c.order = phase->step->fills ? work_left(phase)
					     : phase->chain_ms;
	} else {
		c.urgency = SCH_URGENCY_HOPELESS;
		c.order = from_ms;
	}
	g_array_append_val(candidates, c);
}

/*
 * TRUE if a task has failed too often. The end that made it so may have come
 * before the table that tells how often is too often.
 */
static gboolean is_exhausted(const struct sch_phase *phase,
			     const struct sch_queue *queue)
{
	guint i;

	if (!phase->failures)
		return FALSE;
	for (i = 0; !phase->step->lasts && i < phase->n_tasks; i++) {
		const struct sch_task *task = &phase->tasks[i];

		if (!task->done &&
		    task->failures >= MAX(queue->max_attempts, 1))
			return TRUE;
	}
	return phase->step->gang && phase->n_done < phase->n_tasks &&
	       phase->failures >= MAX(queue->max_attempts, 1);
}

static void add_job(struct sch *s, GArray *candidates, struct sch_job *job)
{
	const struct sch_queue *queue = sch_queue_find(s, job->queue);
	gint64 objective;
	guint i;
	size_t k;

	if (!queue)
		return;
	objective = objective_ms(job, queue);
	for (i = 0; i < job->n_occurrences; i++) {
		struct sch_phase *phases = job->occurrences[i].phases;

		for (k = 0; phases && k < job->spec->n_steps; k++) {
			if (!phases[k].ready_ms || !phases[k].n_idle)
				continue;
			if (is_exhausted(&phases[k], queue)) {
				sch_job_end(s, job,
					    RP__JOB_STATE__JOB_STATE_FAILED);
				return;
			}
			add_candidate(s, candidates, &phases[k], queue,
				      objective);
		}
	}
}

static int compare(gconstpointer a, gconstpointer b)
{
	const struct sch_candidate *x = a;
	const struct sch_candidate *y = b;

	if (x->queue->priority != y->queue->priority)
		return x->queue->priority < y->queue->priority ? -1 : 1;
	if (x->urgency != y->urgency)
		return x->urgency < y->urgency ? -1 : 1;
	if (x->order != y->order)
		return x->order < y->order ? -1 : 1;
	return strcmp(x->phase->job->id, y->phase->job->id);
}

GArray *sch_order(struct sch *s)
{
	GArray *candidates = g_array_new(FALSE, FALSE,
					 sizeof(struct sch_candidate));
	guint i;

	/* From the end: a job that fails is taken out. */
	for (i = s->active->len; i-- > 0;)
		add_job(s, candidates, s->active->pdata[i]);
	g_array_sort(candidates, compare);
	return candidates;
}
