#include "internal.h"

/*
 * Parked jobs: accepted and stored, with only the id and the state in memory.
 * Addresses a store that has more than the leader's memory takes, which an
 * earlier version may have accepted.
 *
 * While records are loaded, jobs beyond the bound on accepted ones are parked.
 * One with recorded runs is read again before the first event, since these runs
 * may go on. The others are read from the store one by one, as there is room. A
 * job that has had no run for ROTATE_MS makes room for them and waits its turn
 * again: it may need what no VM has, or not be due for long.
 */

/** Time for which a job is kept in memory without a run while others wait. */
#define ROTATE_MS 5000

/** Interval at which jobs are looked for that may make room. */
#define ROTATE_INTERVAL_MS 500

static gboolean has_room(const struct sch *s, guint64 bytes)
{
	return !s->options.max_job_bytes || !s->admitted_bytes ||
	       s->admitted_bytes + bytes <= s->options.max_job_bytes;
}

static void park(struct sch *s, struct sch_job *job)
{
	job->parked_bytes = job->admitted_bytes;
	s->parked_bytes += job->parked_bytes;
	sch_admission_remove(s, job);
	sch_occurrence_free_all(s, job);
	rp__step_job__free_unpacked(job->spec, NULL);
	job->spec = NULL;
	job->next_occurrence = 0;
	g_queue_push_tail(&s->parked, job);
}

gboolean sch_parked_remove(struct sch *s, struct sch_job *job)
{
	if (!job->parked_bytes)
		return FALSE;
	s->parked_bytes -= job->parked_bytes;
	job->parked_bytes = 0;
	g_queue_remove(&s->parked, job);
	g_queue_remove(&s->parked_with_runs, job);
	return TRUE;
}

void sch_parked_check_loaded(struct sch *s, struct sch_job *job)
{
	if (s->options.max_job_bytes &&
	    s->admitted_bytes > s->options.max_job_bytes &&
	    s->admitted_bytes > job->admitted_bytes)
		park(s, job);
}

gboolean sch_parked_load_progress(struct sch *s, struct sch_job *job,
				  const struct Rp__StepProgress *progress)
{
	gboolean has_runs = FALSE;
	size_t i;

	if (!job->parked_bytes)
		return FALSE;
	for (i = 0; i < progress->n_tasks; i++) {
		const struct Rp__TaskProgress *task = progress->tasks[i];

		has_runs = has_runs || task->n_runs;
		if (task->done || task->failures)
			job->started = TRUE;
	}
	job->has_progress = TRUE;
	job->durable_state = progress->state;
	if (has_runs)
		g_queue_push_tail(&s->parked_with_runs, job);
	return has_runs;
}

const char *sch_parked_with_runs(const struct sch *s)
{
	const GList *head = s->parked_with_runs.head;

	return head ? ((const struct sch_job *)head->data)->id : NULL;
}

int sch_load_parked(struct sch *s, const char *id, GBytes *job_record,
		    GBytes *progress_record, gint64 unix_ms)
{
	struct sch_job *job = g_hash_table_lookup(s->jobs, id);
	struct Rp__StepJob *spec;

	s->reading_parked = FALSE;
	/* It may have been cancelled meanwhile. */
	if (!job || !job->parked_bytes)
		return 0;
	spec = job_record ? sch_record_read_job(job_record) : NULL;
	if (!spec) {
		g_queue_remove(&s->parked_with_runs, job);
		g_queue_remove(&s->parked, job);
		g_queue_push_tail(&s->parked, job);
		return -1;
	}
	sch_parked_remove(s, job);
	job->spec = spec;
	job->idle_since_ms = s->now_ms;
	sch_admission_add(s, job);
	if (!progress_record)
		return 0;
	return sch_load_progress(s, id, g_bytes_get_data(progress_record, NULL),
				 g_bytes_get_size(progress_record), unix_ms);
}

static gboolean may_park(const struct sch *s, const struct sch_job *job)
{
	return job->spec && job->stored && !job->pending_change &&
	       !job->committing && !job->n_runs && !job->pending_calls->len &&
	       s->now_ms >= job->idle_since_ms + ROTATE_MS;
}

/* Parks jobs without runs until there is room for the bytes; TRUE if there is.
 */
static gboolean make_room(struct sch *s, guint64 bytes)
{
	guint i;

	if (s->now_ms < s->last_rotation_ms + ROTATE_INTERVAL_MS)
		return FALSE;
	s->last_rotation_ms = s->now_ms;
	for (i = 0; i < s->active->len && !has_room(s, bytes); i++) {
		struct sch_job *job = s->active->pdata[i];

		if (may_park(s, job))
			park(s, job);
	}
	return has_room(s, bytes);
}

void sch_parked_tick(struct sch *s)
{
	const struct sch_job *job = g_queue_peek_head(&s->parked);
	struct sch_effect *effect;

	if (!job || s->reading_parked ||
	    (!has_room(s, job->parked_bytes) &&
	     !make_room(s, job->parked_bytes)))
		return;
	s->reading_parked = TRUE;
	effect = sch_effect_add(s, SCH_EFFECT_READ_JOB);
	effect->job_id = g_strdup(job->id);
}
