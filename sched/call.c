#include "internal.h"

/* Calls to submit, cancel, look up and count jobs. */

#define STATUS_OK 200
#define STATUS_INVALID 400
/** No queue has the call's host and path. */
#define STATUS_NOT_FOUND 404
/** No such job, or its retention is over. */
#define STATUS_GONE 410
/** Too many jobs are accepted; see admission.c. */
#define STATUS_TOO_MANY 429
#define STATUS_UNAVAILABLE 503
/** Outcome unknown: the change may still become durable. */
#define STATUS_UNKNOWN 504

/** For a call without a timeout. */
#define DEFAULT_TIMEOUT_MS 3000

#define MAX_ID_BYTES 64

/** Maximum age of the last leadership confirmation: with an older one, another
 * leader may have accepted jobs that this one does not know. */
#define CONFIRMATION_MAX_AGE_MS 1300

/** Time since the tables were last known to be current after which a call is
 * not routed by them. Below the 2 s within which new tables have to be in
 * force, by the time in which a call reaches the leader. */
#define TABLES_MAX_AGE_MS 1900

/** Calls are answered this long before their timeout, so that the answer
 * reaches the caller in time. */
#define ANSWER_MARGIN_MS 150

static void add_pending_call(struct sch *s, struct sch_job *job,
			     guint64 call_ref, const struct Rp__StepCall *call)
{
	gint64 timeout_ms = call->timeout_ms ? call->timeout_ms
					     : DEFAULT_TIMEOUT_MS;
	struct sch_pending_call pending = {
		.call_ref = call_ref,
		.verb = call->verb,
		.deadline_ms = s->now_ms +
			       MAX(timeout_ms - ANSWER_MARGIN_MS, 1),
	};

	if (!s->n_pending_calls ||
	    pending.deadline_ms < s->first_call_deadline_ms)
		s->first_call_deadline_ms = pending.deadline_ms;
	g_array_append_val(job->pending_calls, pending);
	s->n_pending_calls++;
}

static void log_submission(struct sch *s, const struct sch_job *job)
{
	g_autoptr(GString) steps = g_string_new(NULL);
	size_t i;

	for (i = 0; i < job->spec->n_steps; i++) {
		const struct Rp__StepSpec *step = job->spec->steps[i];

		g_string_append_printf(
			steps, " %ux%" G_GINT64_FORMAT "m/%ums%s%s%s%s%s%s%s",
			step->replicas, step->need->cpu_milli,
			step->estimate_ms, *step->image ? " " : "", step->image,
			step->n_after ? " after" : "",
			step->lasts ? " long-running" : "",
			step->fills ? " best-effort" : "",
			step->checkpoints ? " checkpoints" : "",
			step->speculative ? " speculative" : "");
		if (step->max_per_vm)
			g_string_append_printf(steps, " at most %u a VM",
					       step->max_per_vm);
	}
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID", job->id,
			 "MESSAGE",
			 "submitted to queue %s, %u jobs active, "
			 "steps:%s",
			 job->queue, s->active->len, steps->str);
}

/* Names of tasks are job.occurrence.step.index, so an id has no dots. */
static gboolean is_job_id(const char *id)
{
	size_t len = strlen(id);
	size_t i;

	for (i = 0; i < len; i++)
		if (!g_ascii_isalnum(id[i]) && !strchr("_-", id[i]))
			return FALSE;
	return len > 0 && len <= MAX_ID_BYTES;
}

static void refuse_unavailable(struct sch *s, guint64 call_ref)
{
	sch_reply(s, call_ref, STATUS_UNAVAILABLE,
		  RP__JOB_STATE__JOB_STATE_NONE, 0,
		  sch_outage_retry_after_s(&s->outage, s->now_ms));
}

/* Answers a repeated submission: the job is or will be stored. */
static void submit_again(struct sch *s, guint64 call_ref,
			 const struct Rp__StepCall *call, struct sch_job *job)
{
	if (job->stored)
		sch_reply(s, call_ref, STATUS_OK, job->durable_state, 0, 0);
	else
		add_pending_call(s, job, call_ref, call);
}

static void submit(struct sch *s, guint64 call_ref,
		   const struct Rp__StepCall *call, struct sch_queue *queue,
		   const char *id)
{
	struct sch_job *job = g_hash_table_lookup(s->jobs, id);
	const char *problem;
	struct Rp__StepJob *spec;
	guint retry_after_s;

	if (job) {
		submit_again(s, call_ref, call, job);
		return;
	}
	problem = is_job_id(id) ? sch_job_check(call->job) : "invalid id";
	if (problem) {
		g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID", id,
				 "MESSAGE", "job of queue %s refused: %s",
				 queue->name, problem);
		sch_reply(s, call_ref, STATUS_INVALID,
			  RP__JOB_STATE__JOB_STATE_NONE, 0, 0);
		return;
	}
	retry_after_s = sch_admission_check(s, id, call->job);
	if (retry_after_s) {
		sch_reply(s, call_ref, STATUS_TOO_MANY,
			  RP__JOB_STATE__JOB_STATE_NONE, 0, retry_after_s);
		return;
	}
	spec = wire_message_dup(&call->job->base);
	sch_job_normalise(spec);
	wire_set_string(&spec->job_id, id);
	wire_set_string(&spec->queue, queue->name);
	spec->submitted_unix_ms = s->unix_ms;
	job = sch_job_new(s, id, spec);
	g_hash_table_insert(s->jobs, job->id, job);
	g_ptr_array_add(s->active, job);
	add_pending_call(s, job, call_ref, call);
	sch_job_mark_awaited(s, job);
	sch_job_advance(s, job);
	log_submission(s, job);
}

static Rp__JobState visible_state(const struct sch_job *job)
{
	if (job->durable_state == RP__JOB_STATE__JOB_STATE_DONE ||
	    job->durable_state == RP__JOB_STATE__JOB_STATE_FAILED ||
	    job->durable_state == RP__JOB_STATE__JOB_STATE_CANCELLED)
		return job->durable_state;
	return job->started ? RP__JOB_STATE__JOB_STATE_RUNNING
			    : RP__JOB_STATE__JOB_STATE_QUEUED;
}

static void reply_state(struct sch *s, guint64 call_ref, const char *id)
{
	const struct sch_job *job = g_hash_table_lookup(s->jobs, id);

	if (!job)
		sch_reply(s, call_ref, STATUS_GONE,
			  RP__JOB_STATE__JOB_STATE_NONE, 0, 0);
	else if (!job->stored)
		refuse_unavailable(s, call_ref);
	else
		sch_reply(s, call_ref, STATUS_OK, visible_state(job), 0, 0);
}

/*
 * Without a recent confirmation or current tables: the state of a known job may
 * be outdated but is valid, and its submission must not be refused as if it had
 * not been accepted. An unknown job may have been accepted by another leader.
 */
static void answer_known_job(struct sch *s, guint64 call_ref,
			     const struct Rp__StepCall *call)
{
	const char *slash = strrchr(call->path, '/');
	const char *id = slash ? slash + 1 : call->path;
	struct sch_job *job = g_hash_table_lookup(s->jobs, id);

	if (job && call->verb == RP__STEP_VERB__STEP_VERB_STATE)
		reply_state(s, call_ref, id);
	else if (job && call->verb == RP__STEP_VERB__STEP_VERB_SUBMIT)
		submit_again(s, call_ref, call, job);
	else
		refuse_unavailable(s, call_ref);
}

static void cancel(struct sch *s, guint64 call_ref,
		   const struct Rp__StepCall *call, const char *id)
{
	struct sch_job *job = g_hash_table_lookup(s->jobs, id);

	if (!job) {
		sch_reply(s, call_ref, STATUS_GONE,
			  RP__JOB_STATE__JOB_STATE_NONE, 0, 0);
		return;
	}
	sch_job_end(s, job, RP__JOB_STATE__JOB_STATE_CANCELLED);
	if (job->pending_change)
		sch_job_mark_awaited(s, job);
	if (job->pending_change || job->committing)
		add_pending_call(s, job, call_ref, call);
	else
		sch_reply(s, call_ref, STATUS_OK, job->durable_state, 0, 0);
}

/* Replies with the number of the queue's jobs that no worker has started. */
static void count(struct sch *s, guint64 call_ref,
		  const struct sch_queue *queue)
{
	guint waiting = 0;
	guint i;

	for (i = 0; i < s->active->len; i++) {
		const struct sch_job *job = s->active->pdata[i];

		if (job->stored && !job->started &&
		    !strcmp(job->queue, queue->name))
			waiting++;
	}
	sch_reply(s, call_ref, STATUS_OK, RP__JOB_STATE__JOB_STATE_NONE,
		  waiting, 0);
}

/* TRUE if the tables are recent enough to route calls. */
static gboolean are_tables_current(struct sch *s)
{
	gint64 age_ms = s->now_ms - s->tables_confirmed_ms;
	gboolean outdated = age_ms > TABLES_MAX_AGE_MS;

	if (outdated != s->tables_outdated) {
		s->tables_outdated = outdated;
		g_message(outdated ? "calls are refused: the tables were last "
				     "current %" G_GINT64_FORMAT " ms ago"
				   : "calls are routed again: the tables were "
				     "last current %" G_GINT64_FORMAT " ms ago",
			  age_ms);
	}
	return !outdated;
}

/* Returns since when no call can be accepted, or 0 if calls can be. A leader
 * without contact to the store may have been replaced, and a route may have
 * been added or removed. */
static gint64 unavailable_since_ms(struct sch *s)
{
	if (!s->queues)
		return s->elected_ms;
	if (s->now_ms > s->confirmed_ms + CONFIRMATION_MAX_AGE_MS)
		return s->confirmed_ms;
	return are_tables_current(s) ? 0 : s->tables_confirmed_ms;
}

static void log_outage(const struct sch *s, gboolean was_out)
{
	gboolean is_out = s->outage.since_ms != 0;

	if (is_out == was_out)
		return;
	if (is_out)
		g_message(
			"calls may be refused: the leadership was confirmed "
			"%" G_GINT64_FORMAT " ms ago, the tables were current "
			"%" G_GINT64_FORMAT " ms ago%s",
			s->now_ms - s->confirmed_ms,
			s->now_ms - s->tables_confirmed_ms,
			sch_commit_is_late(s) ? ", a transaction is late" : "");
	else
		g_message("calls are accepted");
}

gboolean sch_call_check_outage(struct sch *s)
{
	gint64 since_ms = unavailable_since_ms(s);
	gboolean was_out = s->outage.since_ms != 0;

	if (since_ms)
		sch_outage_begin(&s->outage, since_ms, TRUE);
	else if (sch_commit_is_late(s))
		sch_outage_begin(&s->outage, s->commit_sent_ms, TRUE);
	else
		sch_outage_end(&s->outage, s->now_ms);
	log_outage(s, was_out);
	return !since_ms;
}

void sch_call(struct sch *s, guint64 call_ref, const struct Rp__StepCall *call)
{
	const char *id = "";
	struct sch_queue *queue;

	if (!sch_call_check_outage(s)) {
		answer_known_job(s, call_ref, call);
		return;
	}
	queue = sch_queue_route(s, call->host, call->path, &id);
	if (!queue) {
		sch_reply(s, call_ref, STATUS_NOT_FOUND,
			  RP__JOB_STATE__JOB_STATE_NONE, 0, 0);
		return;
	}
	switch (call->verb) {
	case RP__STEP_VERB__STEP_VERB_SUBMIT:
		submit(s, call_ref, call, queue, id);
		break;
	case RP__STEP_VERB__STEP_VERB_STATE:
		reply_state(s, call_ref, id);
		break;
	case RP__STEP_VERB__STEP_VERB_CANCEL:
		cancel(s, call_ref, call, id);
		break;
	case RP__STEP_VERB__STEP_VERB_COUNT:
		count(s, call_ref, queue);
		break;
	default:
		sch_reply(s, call_ref, STATUS_INVALID,
			  RP__JOB_STATE__JOB_STATE_NONE, 0, 0);
	}
}

void sch_call_committed(struct sch *s, struct sch_job *job)
{
	guint i = 0;

	while (i < job->pending_calls->len) {
		struct sch_pending_call *pending = &g_array_index(
			job->pending_calls, struct sch_pending_call, i);
		gboolean end_is_durable = sch_job_has_ended(job) &&
					  job->durable_state == job->state;

		if (pending->verb == RP__STEP_VERB__STEP_VERB_CANCEL &&
		    !end_is_durable) {
			i++;
			continue;
		}
		sch_reply(s, pending->call_ref, STATUS_OK, job->durable_state,
			  0, 0);
		g_array_remove_index(job->pending_calls, i);
		s->n_pending_calls--;
	}
}

/* Answers the job's calls whose deadline has passed; returns the earliest
 * deadline of the others, or G_MAXINT64. */
static gint64 expire_calls(struct sch *s, struct sch_job *job)
{
	gint64 first_deadline_ms = G_MAXINT64;
	guint i = 0;

	while (i < job->pending_calls->len) {
		struct sch_pending_call *pending = &g_array_index(
			job->pending_calls, struct sch_pending_call, i);

		if (s->now_ms < pending->deadline_ms) {
			first_deadline_ms = MIN(first_deadline_ms,
						pending->deadline_ms);
			i++;
			continue;
		}
		/* The record may still become durable. */
		sch_reply(s, pending->call_ref, STATUS_UNKNOWN,
			  RP__JOB_STATE__JOB_STATE_NONE, 0, 0);
		g_array_remove_index(job->pending_calls, i);
		s->n_pending_calls--;
	}
	return first_deadline_ms;
}

void sch_call_expire(struct sch *s)
{
	gint64 first_deadline_ms = G_MAXINT64;
	GHashTableIter iter;
	gpointer value;

	if (!s->n_pending_calls || s->now_ms < s->first_call_deadline_ms)
		return;
	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		first_deadline_ms = MIN(first_deadline_ms,
					expire_calls(s, value));
	s->first_call_deadline_ms = first_deadline_ms;
}
