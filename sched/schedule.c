#include "internal.h"

/*
 * Occurrences of jobs with a schedule. Only open ones have their steps and
 * tasks in memory: those that have become due and have not ended. Of the others
 * the job knows their number alone, so that a job costs the same whatever its
 * number of occurrences.
 *
 * Addresses schedules that are long, and ones whose occurrences become due
 * faster than they are done. Of those that are due only some are open at once;
 * the others wait for these, in order.
 */

/** Bounds on the tasks of open occurrences, of one job and of the occurrences
 * beyond the first of all jobs. A job has one open occurrence in any case. */
#define MAX_OPEN_TASKS 4096
#define MAX_BACKLOG_TASKS 16384

gint64 sch_occurrence_due_unix_ms(const struct sch_job *job, guint32 number)
{
	guint64 due_ms;

	if (!job->spec->occurrences)
		return 0;
	if (!g_uint64_checked_mul(
		    &due_ms, (guint64)MAX(job->spec->interval_ms, 0), number) ||
	    due_ms > (guint64)(G_MAXINT64 - MAX(job->spec->first_unix_ms, 0)))
		return G_MAXINT64;
	return job->spec->first_unix_ms + (gint64)due_ms;
}

/* Returns the index in job->open of the first occurrence that does not have a
 * lower number. */
static guint open_index(const struct sch_job *job, guint32 number)
{
	guint from = 0;
	guint to = job->open->len;

	while (from < to) {
		guint middle = (from + to) / 2;
		const struct sch_occurrence *occurrence =
			job->open->pdata[middle];

		if (occurrence->number < number)
			from = middle + 1;
		else
			to = middle;
	}
	return from;
}

struct sch_occurrence *sch_occurrence_find(const struct sch_job *job,
					   guint32 number)
{
	guint i = open_index(job, number);
	struct sch_occurrence *occurrence;

	if (i == job->open->len)
		return NULL;
	occurrence = job->open->pdata[i];
	return occurrence->number == number ? occurrence : NULL;
}

/* Returns the index in job->ended_ahead, which is not NULL, of the first number
 * that is not lower. */
static guint ended_index(const struct sch_job *job, guint32 number)
{
	guint from = 0;
	guint to = job->ended_ahead->len;

	while (from < to) {
		guint middle = (from + to) / 2;

		if (g_array_index(job->ended_ahead, guint32, middle) < number)
			from = middle + 1;
		else
			to = middle;
	}
	return from;
}

static gboolean has_ended_ahead(const struct sch_job *job, guint32 number)
{
	guint i;

	if (!job->ended_ahead)
		return FALSE;
	i = ended_index(job, number);
	return i < job->ended_ahead->len &&
	       g_array_index(job->ended_ahead, guint32, i) == number;
}

static void add_ended_ahead(struct sch_job *job, guint32 number)
{
	if (!job->ended_ahead)
		job->ended_ahead = g_array_new(FALSE, FALSE, sizeof(number));
	if (!has_ended_ahead(job, number))
		g_array_insert_val(job->ended_ahead, ended_index(job, number),
				   number);
}

static guint tasks_of_occurrence(const struct sch_job *job)
{
	guint n = 0;
	size_t i;

	for (i = 0; i < job->spec->n_steps; i++)
		n += job->spec->steps[i]->replicas;
	return n;
}

static void init_instance(struct sch *s, struct sch_job *job,
			  struct sch_occurrence *occurrence, guint32 number)
{
	struct sch_step_instance *instance = &occurrence->instances[number];
	guint i;

	instance->job = job;
	instance->step = job->spec->steps[number];
	instance->image = colo_image_id(s->colo, instance->step->image);
	instance->occurrence = occurrence;
	instance->number = number;
	instance->n_tasks = instance->step->replicas;
	instance->n_idle = instance->n_tasks;
	instance->tasks = g_new0(struct sch_task, instance->n_tasks);
	for (i = 0; i < instance->n_tasks; i++) {
		instance->tasks[i].job = job;
		instance->tasks[i].instance = instance;
		instance->tasks[i].index = i;
	}
}

static struct sch_occurrence *
open_occurrence(struct sch *s, struct sch_job *job, guint32 number)
{
	struct sch_occurrence *occurrence = g_new0(struct sch_occurrence, 1);
	guint32 i;

	occurrence->number = number;
	occurrence->instances = g_new0(struct sch_step_instance,
				       job->spec->n_steps);
	occurrence->instances_left = (guint)job->spec->n_steps;
	occurrence->advance_due = TRUE;
	for (i = 0; i < job->spec->n_steps; i++)
		init_instance(s, job, occurrence, i);
	if (job->open->len)
		occurrence->backlog_tasks = tasks_of_occurrence(job);
	s->backlog_tasks += occurrence->backlog_tasks;
	g_ptr_array_insert(job->open, (gint)open_index(job, number),
			   occurrence);
	return occurrence;
}

static void free_occurrence(struct sch *s, const struct sch_job *job,
			    struct sch_occurrence *occurrence)
{
	size_t i;
	guint k;

	if (s)
		s->backlog_tasks -= occurrence->backlog_tasks;
	for (i = 0; i < job->spec->n_steps; i++) {
		struct sch_step_instance *instance = &occurrence->instances[i];

		for (k = 0; k < instance->n_tasks; k++) {
			g_free(instance->tasks[k].checkpoint);
			g_free(instance->tasks[k].last_failed_vm);
			g_free(instance->tasks[k].moved_from);
		}
		g_free(instance->tasks);
	}
	g_free(occurrence->instances);
	g_free(occurrence);
}

void sch_occurrence_free_all(struct sch *s, struct sch_job *job)
{
	guint i;

	for (i = 0; job->open && i < job->open->len; i++)
		free_occurrence(s, job, job->open->pdata[i]);
	if (job->open)
		g_ptr_array_set_size(job->open, 0);
	g_clear_pointer(&job->ended_ahead, g_array_unref);
}

/* TRUE if another occurrence of the job may be open. */
static gboolean has_room(const struct sch *s, const struct sch_job *job)
{
	guint n = tasks_of_occurrence(job);

	return !job->open->len ||
	       ((job->open->len + 1) * (guint64)n <= MAX_OPEN_TASKS &&
		s->backlog_tasks + n <= MAX_BACKLOG_TASKS);
}

static gboolean is_next_due(const struct sch *s, const struct sch_job *job)
{
	gint64 due_ms;

	if (job->next_occurrence >= job->n_occurrences)
		return FALSE;
	due_ms = sch_occurrence_due_unix_ms(job, job->next_occurrence);
	return !job->spec->occurrences ||
	       (due_ms <= s->unix_ms &&
		s->unix_ms - due_ms >= SCH_DUE_SLACK_MS);
}

void sch_occurrence_open_due(struct sch *s, struct sch_job *job)
{
	while (is_next_due(s, job)) {
		guint32 number = job->next_occurrence;

		if (!has_ended_ahead(job, number) &&
		    !sch_occurrence_find(job, number)) {
			if (!has_room(s, job))
				return;
			open_occurrence(s, job, number);
		}
		job->next_occurrence++;
	}
	if (job->ended_ahead &&
	    ended_index(job, job->next_occurrence) == job->ended_ahead->len)
		g_clear_pointer(&job->ended_ahead, g_array_unref);
}

struct sch_occurrence *sch_occurrence_load(struct sch *s, struct sch_job *job,
					   guint32 number)
{
	struct sch_occurrence *occurrence = sch_occurrence_find(job, number);

	if (occurrence || number < job->next_occurrence ||
	    number >= job->n_occurrences || has_ended_ahead(job, number))
		return occurrence;
	return open_occurrence(s, job, number);
}

static gboolean has_ended(const struct sch_job *job,
			  const struct sch_occurrence *occurrence)
{
	size_t i;

	for (i = 0; i < job->spec->n_steps; i++)
		if (occurrence->instances[i].n_done <
		    occurrence->instances[i].n_tasks)
			return FALSE;
	return TRUE;
}

void sch_occurrence_close_ended(struct sch *s, struct sch_job *job)
{
	guint i = 0;

	while (i < job->open->len) {
		struct sch_occurrence *occurrence = job->open->pdata[i];

		if (occurrence->n_runs || !has_ended(job, occurrence)) {
			i++;
			continue;
		}
		if (occurrence->number >= job->next_occurrence)
			add_ended_ahead(job, occurrence->number);
		free_occurrence(s, job, occurrence);
		g_ptr_array_remove_index(job->open, i);
	}
}

gboolean sch_occurrence_all_ended(const struct sch_job *job)
{
	guint i;

	if (job->next_occurrence < job->n_occurrences)
		return FALSE;
	for (i = 0; i < job->open->len; i++)
		if (!has_ended(job, job->open->pdata[i]))
			return FALSE;
	return TRUE;
}

void sch_occurrence_load_schedule(struct sch *s, struct sch_job *job,
				  const struct Rp__StepProgress *progress)
{
	size_t i;

	for (i = 0; i < progress->n_ended_ahead; i++)
		add_ended_ahead(job, progress->ended_ahead[i]);
	for (i = 0; i < progress->n_open_occurrences; i++)
		sch_occurrence_load(s, job, progress->open_occurrences[i]);
	job->next_occurrence = MIN(progress->next_occurrence,
				   job->n_occurrences);
}

void sch_occurrence_save_schedule(const struct sch_job *job,
				  struct Rp__StepProgress *progress)
{
	guint i;

	if (!job->spec || !job->spec->occurrences)
		return;
	progress->next_occurrence = job->next_occurrence;
	progress->open_occurrences = g_new0(guint32, job->open->len + 1);
	for (i = 0; i < job->open->len; i++) {
		const struct sch_occurrence *occurrence = job->open->pdata[i];

		if (occurrence->number < job->next_occurrence)
			progress->open_occurrences
				[progress->n_open_occurrences++] =
				occurrence->number;
	}
	if (!job->ended_ahead)
		return;
	i = ended_index(job, job->next_occurrence);
	progress->n_ended_ahead = job->ended_ahead->len - i;
	progress->ended_ahead =
		g_memdup2(&g_array_index(job->ended_ahead, guint32, i),
			  progress->n_ended_ahead * sizeof(guint32));
}
