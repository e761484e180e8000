#include "internal.h"

/*
 * Changes of records are written in batches, one transaction at a time, so that
 * the number of requests to the store does not grow with the number of tasks.
 */

/** Interval of batches with changes that callers or tasks wait for. */
#define AWAITED_INTERVAL_MS 20

/** Interval of batches without such changes. */
#define BACKGROUND_INTERVAL_MS 150

/** If a transaction takes longer, the store counts as unavailable. */
#define STORE_TIMEOUT_MS 700

/** Maximum operations for a job: its record and its progress. */
#define OPS_PER_JOB 2

void sch_job_mark_dirty(struct sch *s, struct sch_job *job)
{
	if (job->pending_change)
		return;
	job->pending_change = s->next_record_change++;
	g_queue_push_tail(&s->dirty, job);
}

void sch_job_mark_awaited(struct sch *s, struct sch_job *job)
{
	sch_job_mark_dirty(s, job);
	if (job->awaited)
		return;
	job->awaited = TRUE;
	g_queue_push_tail(&s->awaited, job);
}

static void set_committing(void *ctx G_GNUC_UNUSED, struct sch_task *task)
{
	guint i;

	for (i = 0; i < task->n_runs; i++)
		task->runs[i]->committing = TRUE;
}

static void put_bytes(struct kv_txn *txn, const char *prefix, const char *id,
		      GBytes *value)
{
	g_autofree char *key = g_strconcat(prefix, id, NULL);

	kv_txn_put(txn, key, value, 0);
	g_bytes_unref(value);
}

static void add_job(struct sch_job *job, struct kv_txn *txn)
{
	g_autofree char *key = g_strconcat(SCH_JOB_PREFIX, job->id, NULL);
	g_autofree char *progress_key = g_strconcat(SCH_PROGRESS_PREFIX,
						    job->id, NULL);

	if (job->retention_over)
		kv_txn_delete(txn, progress_key);
	else if (!job->stored && job->spec)
		put_bytes(txn, SCH_JOB_PREFIX, job->id, sch_record_job(job));
	else if (!job->spec)
		kv_txn_delete(txn, key);
	if (!job->retention_over &&
	    (job->has_progress || sch_job_has_ended(job)))
		put_bytes(txn, SCH_PROGRESS_PREFIX, job->id,
			  sch_record_progress(job));
	job->sent = TRUE;
	job->committing = TRUE;
	job->committing_change = job->pending_change;
	job->committing_state = job->state;
	job->pending_change = 0;
	sch_job_foreach_task(job, set_committing, NULL);
}

/* Removes and returns the next job to write; jobs whose write callers or tasks
 * wait for come first. */
static struct sch_job *pop_dirty(struct sch *s)
{
	struct sch_job *job = g_queue_pop_head(&s->awaited);

	if (job)
		g_queue_remove(&s->dirty, job);
	else
		job = g_queue_pop_head(&s->dirty);
	job->awaited = FALSE;
	return job;
}

/* Adds the record of the interference table, if it is due and there is room; it
 * causes no transaction of its own. */
static void add_interference(struct sch *s, struct kv_txn *txn)
{
	g_autoptr(GBytes) value = NULL;

	if (txn->ops->len >= s->options.max_ops)
		return;
	value = sch_interference_record(s);
	if (value)
		kv_txn_put(txn, SCH_INTERFERENCE_KEY, value, 0);
}

void sch_commit_start(struct sch *s)
{
	gint64 interval_ms = s->awaited.head || s->revision_due
				     ? AWAITED_INTERVAL_MS
				     : BACKGROUND_INTERVAL_MS;
	struct sch_effect *effect;
	struct kv_txn *txn;

	if (s->commit || (!s->dirty.head && !s->revision_due) ||
	    s->now_ms < s->last_commit_ms + interval_ms)
		return;
	txn = kv_txn_new();
	s->commit = g_ptr_array_new();
	while (s->dirty.head &&
	       txn->ops->len + OPS_PER_JOB <= s->options.max_ops) {
		struct sch_job *job = pop_dirty(s);

		add_job(job, txn);
		g_ptr_array_add(s->commit, job);
	}
	add_interference(s, txn);
	s->commit_sent_ms = s->now_ms;
	s->stats.commits++;
	effect = sch_effect_add(s, SCH_EFFECT_COMMIT);
	effect->txn = txn;
}

/*
 * Orders the starts of planned runs whose records are now durable.
 * sch_run_order_start() removes a run that is to be stopped, and the next one
 * takes its index.
 */
static void order_starts(void *ctx, struct sch_task *task)
{
	struct sch *s = ctx;
	guint i = 0;

	while (i < task->n_runs) {
		struct sch_run *run = task->runs[i];
		gboolean planned = run->committing &&
				   run->state == SCH_RUN_PLANNED;

		run->committing = FALSE;
		if (planned)
			sch_run_order_start(s, run);
		if (i < task->n_runs && task->runs[i] == run)
			i++;
	}
}

void sch_commit_done(struct sch *s)
{
	g_autoptr(GPtrArray) jobs = g_steal_pointer(&s->commit);
	guint i;

	g_assert(jobs);
	s->last_commit_ms = s->now_ms;
	for (i = 0; i < jobs->len; i++) {
		struct sch_job *job = jobs->pdata[i];

		job->committing = FALSE;
		job->stored = TRUE;
		job->durable_state = job->committing_state;
		sch_job_foreach_task(job, order_starts, s);
		sch_call_committed(s, job);
		if (job->retention_over)
			g_hash_table_remove(s->jobs, job->id);
	}
}

/* Refuses and deletes a job that was never sent to the store. */
static void drop_job(struct sch *s, struct sch_job *job)
{
	guint i;

	sch_job_stop_runs(s, job);
	for (i = 0; i < job->pending_calls->len; i++)
		sch_reply(s,
			  g_array_index(job->pending_calls,
					struct sch_pending_call, i)
				  .call_ref,
			  503, RP__JOB_STATE__JOB_STATE_NONE, 0,
			  sch_outage_retry_after_s(&s->outage, s->now_ms));
	s->n_pending_calls -= job->pending_calls->len;
	g_array_set_size(job->pending_calls, 0);
	g_queue_remove(&s->dirty, job);
	g_queue_remove(&s->awaited, job);
	sch_admission_remove(s, job);
	sch_occurrence_free_all(s, job);
	g_ptr_array_remove(s->active, job);
	while (g_ptr_array_remove_fast(s->closing, job))
		;
	g_hash_table_remove(s->jobs, job->id);
}

static gboolean may_drop(const struct sch_job *job)
{
	return !job->sent && !sch_job_has_ended(job);
}

gboolean sch_commit_is_late(const struct sch *s)
{
	return s->commit && s->now_ms >= s->commit_sent_ms + STORE_TIMEOUT_MS;
}

void sch_commit_check_timeout(struct sch *s)
{
	GList *link = s->dirty.head;

	if (!sch_commit_is_late(s))
		return;
	while (link) {
		struct sch_job *job = link->data;

		link = link->next;
		if (may_drop(job))
			drop_job(s, job);
	}
}

void sch_commit_deposed(struct sch *s)
{
	g_autoptr(GList) jobs = g_hash_table_get_values(s->jobs);
	GList *link;
	guint i;

	for (link = jobs; link; link = link->next) {
		struct sch_job *job = link->data;

		/* A record that was sent may have become durable. */
		for (i = 0; i < job->pending_calls->len; i++)
			sch_reply(s,
				  g_array_index(job->pending_calls,
						struct sch_pending_call, i)
					  .call_ref,
				  job->sent ? 504 : 503,
				  RP__JOB_STATE__JOB_STATE_NONE, 0, 1);
		s->n_pending_calls -= job->pending_calls->len;
		g_array_set_size(job->pending_calls, 0);
	}
}
