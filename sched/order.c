#include "internal.h"

/*
 * The order in which steps start their tasks: by the queue's priority, then, of
 * steps that are not best-effort, those whose job can still meet its objective,
 * by slack, then late ones, by remaining time, then long-running ones, then
 * overdue ones. Slack alone would fail when jobs queue for several times their
 * duration: each job would wait until it is late.
 *
 * Best-effort steps are ordered by what a delay costs: the value that is lost
 * if the job ends later, for each CPU-second that it still needs. Addresses a
 * burst of wide jobs that need more CPUs than there are, of which some have to
 * end late.
 */

/** A job that takes longer than this multiple of its objective is of little
 * use, so it goes last. */
#define OVERDUE_FACTOR 3

/** Value of a job that ends after its objective, but is not overdue; that of
 * one in time is 1. */
#define LATE_VALUE 0.15

/** Lower bound of the mean CPU share in remaining_ms(): a lower mean is not
 * trusted. */
#define MIN_TRUSTED_SHARE 0.25

static gint64 objective_ms(const struct sch_job *job,
			   const struct sch_queue *queue)
{
	return (gint64)(queue->slack_factor * (double)job->critical_path_ms) +
	       queue->objective_base_ms;
}

/*
 * CPU-milliseconds from a best-effort step to the job's end, as if the later
 * steps had as many tasks. When such tasks queue, the least work goes first:
 * they get only part of their CPUs, so slack says little, and many small jobs
 * are done in the time of a large one. Of the step itself only tasks without a
 * run count: a step ends with its last task, so one that lacks a few starts is
 * nearly done, and the work of the tasks that run is lost time until then.
 */
static gint64 remaining_work(const struct sch_step_instance *instance)
{
	gint64 own_ms = MIN((gint64)instance->step->estimate_ms,
			    instance->critical_path_ms);
	gint64 later_ms = instance->critical_path_ms - own_ms;

	return (own_ms * instance->n_idle + later_ms * instance->n_tasks) *
	       instance->step->need->cpu_milli / 1000;
}

/* Time from the step's start to the job's end; best-effort tasks get only part
 * of their CPUs. */
static gint64 remaining_ms(const struct sch *s,
			   const struct sch_step_instance *instance)
{
	double share = instance->step->fills ? MAX(s->best_effort_cpu_share,
						   MIN_TRUSTED_SHARE)
					     : 1;

	return (gint64)((double)instance->critical_path_ms / share);
}

/* When the job, or its occurrence, could start. */
static gint64 from_ms(const struct sch_step_instance *instance)
{
	return instance->job->spec->occurrences ? instance->occurrence->due_ms
						: instance->job->accepted_ms;
}

gint64 sch_order_objective_end_ms(const struct sch *s,
				  const struct sch_step_instance *instance)
{
	const struct sch_queue *queue = sch_queue_find(s, instance->job->queue);

	return queue ? from_ms(instance) + objective_ms(instance->job, queue)
		     : -1;
}

/* Inverse of the cost of a delay: the lower it is, the more value is lost for
 * each CPU-second of the job's remaining work. */
static gint64 inverse_cost(const struct sch_step_instance *instance,
			   gint64 slack_ms)
{
	double value = slack_ms >= 0 ? 1 : LATE_VALUE;

	return (gint64)((double)remaining_work(instance) / value);
}

static void add_candidate(struct sch *s, GArray *candidates,
			  struct sch_step_instance *instance,
			  const struct sch_queue *queue, gint64 objective)
{
	gint64 slack_ms = from_ms(instance) + objective -
			  remaining_ms(s, instance) - s->now_ms;
	struct sch_candidate c = { .instance = instance, .queue = queue };

	if (instance->step->lasts) {
		c.urgency = SCH_URGENCY_LONG_RUNNING;
		c.sort_key = instance->ready_ms;
	} else if (slack_ms + (OVERDUE_FACTOR - 1) * objective < 0) {
		c.urgency = SCH_URGENCY_OVERDUE;
		c.sort_key = from_ms(instance);
	} else if (instance->step->fills) {
		c.urgency = SCH_URGENCY_IN_TIME;
		c.sort_key = inverse_cost(instance, slack_ms);
	} else if (slack_ms >= 0) {
		c.urgency = SCH_URGENCY_IN_TIME;
		c.sort_key = slack_ms;
	} else {
		c.urgency = SCH_URGENCY_LATE;
		c.sort_key = instance->critical_path_ms;
	}
	g_array_append_val(candidates, c);
}

/*
 * TRUE if a task that is not long-running has failed max_attempts times, or the
 * members of a gang together. run.c checks this at each failure, but the last
 * one may have been reported before the tables that set max_attempts arrived.
 */
static gboolean is_exhausted(const struct sch_step_instance *instance,
			     const struct sch_queue *queue)
{
	guint i;

	if (!instance->failures)
		return FALSE;
	for (i = 0; !instance->step->lasts && i < instance->n_tasks; i++) {
		const struct sch_task *task = &instance->tasks[i];

		if (!task->done &&
		    task->failures >= MAX(queue->max_attempts, 1))
			return TRUE;
	}
	return instance->step->gang && instance->n_done < instance->n_tasks &&
	       instance->failures >= MAX(queue->max_attempts, 1);
}

/* Adds the steps of an occurrence; returns FALSE if its job has failed. */
static gboolean add_occurrence(struct sch *s, GArray *candidates,
			       const struct sch_queue *queue, gint64 objective,
			       const struct sch_occurrence *occurrence)
{
	struct sch_job *job = occurrence->instances[0].job;
	size_t i;

	for (i = 0; i < job->spec->n_steps; i++) {
		struct sch_step_instance *instance = &occurrence->instances[i];

		if (!instance->ready_ms || !instance->n_idle)
			continue;
		if (is_exhausted(instance, queue)) {
			sch_job_end(s, job, RP__JOB_STATE__JOB_STATE_FAILED);
			return FALSE;
		}
		add_candidate(s, candidates, instance, queue, objective);
	}
	return TRUE;
}

static void add_job(struct sch *s, GArray *candidates, struct sch_job *job)
{
	const struct sch_queue *queue;
	guint i = 0;

	if (!job->open->len)
		return;
	queue = sch_queue_find(s, job->queue);
	while (queue && i < job->open->len &&
	       add_occurrence(s, candidates, queue, objective_ms(job, queue),
			      job->open->pdata[i]))
		i++;
}

static int compare(gconstpointer a, gconstpointer b)
{
	const struct sch_candidate *x = a;
	const struct sch_candidate *y = b;

	if (x->queue->priority != y->queue->priority)
		return x->queue->priority < y->queue->priority ? -1 : 1;
	if (x->urgency != y->urgency)
		return x->urgency < y->urgency ? -1 : 1;
	if (x->sort_key != y->sort_key)
		return x->sort_key < y->sort_key ? -1 : 1;
	return strcmp(x->instance->job->id, y->instance->job->id);
}

GArray *sch_collect_candidates(struct sch *s)
{
	GArray *candidates = g_array_new(FALSE, FALSE,
					 sizeof(struct sch_candidate));
	guint i;

	/* From the last on, since add_job() removes jobs that fail. */
	for (i = s->active->len; i-- > 0;)
		add_job(s, candidates, s->active->pdata[i]);
	g_array_sort(candidates, compare);
	return candidates;
}
