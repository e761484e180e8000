#include "internal.h"

/* The reducer: events in, effects out. */

/** Ended jobs that are deleted in a tick at most. */
#define MAX_EXPIRED 8

const gint64 sch_bucket_bounds_ms[SCH_BUCKETS - 1] = { 100,   300,   1000,
						       3000,  10000, 30000,
						       100000 };

void sch_histogram_add(guint64 *buckets, gint64 ms)
{
	guint i = 0;

	while (i < SCH_BUCKETS - 1 && ms > sch_bucket_bounds_ms[i])
		i++;
	buckets[i]++;
}

struct sch_effect *sch_effect_add(struct sch *s, enum sch_effect_kind kind)
{
	struct sch_effect effect = { .kind = kind };

	rp__step_reply__init(&effect.reply);
	g_array_append_val(s->effects, effect);
	return &g_array_index(s->effects, struct sch_effect,
			      s->effects->len - 1);
}

void sch_effect_clear(struct sch_effect *effect)
{
	g_free(effect->vm);
	g_free(effect->job_id);
	wire_frame_free(effect->frame);
	if (effect->txn)
		kv_txn_free(effect->txn);
}

void sch_reply(struct sch *s, guint64 call_ref, guint status,
	       Rp__JobState state, guint waiting, guint retry_after_s)
{
	struct sch_effect *effect = sch_effect_add(s, SCH_EFFECT_REPLY);

	effect->call_ref = call_ref;
	effect->reply.status = status;
	effect->reply.state = state;
	effect->reply.waiting = waiting;
	effect->reply.retry_after_s = retry_after_s;
}

static void free_job(gpointer data)
{
	sch_job_free(data);
}

static void free_vm(gpointer data)
{
	sch_vm_free(data);
}

static void free_queue(gpointer data)
{
	sch_queue_free(data);
}

struct sch *sch_new(const struct sch_options *options, gint64 now_ms)
{
	struct sch *s = g_new0(struct sch, 1);

	s->options = *options;
	s->now_ms = now_ms;
	s->elected_ms = now_ms;
	s->confirmed_ms = options->confirmed_ms;
	s->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					free_job);
	s->vms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_vm);
	s->zones = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 sch_zone_free);
	s->durations = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     g_free);
	s->queue_names = g_hash_table_new(g_str_hash, g_str_equal);
	s->placements = g_array_new(FALSE, FALSE, sizeof(struct sch_placement));
	s->rack_tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      NULL);
	s->colo = colo_table_new();
	s->best_effort_cpu_share = 1;
	s->vms_with_orders = g_ptr_array_new();
	s->active = g_ptr_array_new();
	s->closing = g_ptr_array_new();
	s->next_record_change = 1;
	s->last_revision = options->fencing_token;
	sch_outage_init(&s->outage, options->seed);
	return s;
}

void sch_free(struct sch *s)
{
	if (s->commit)
		g_ptr_array_unref(s->commit);
	g_hash_table_unref(s->vms);
	g_hash_table_unref(s->zones);
	g_hash_table_unref(s->rack_tasks);
	g_queue_clear(&s->dirty);
	g_queue_clear(&s->awaited);
	g_queue_clear(&s->ended);
	g_queue_clear(&s->parked);
	g_queue_clear(&s->parked_with_runs);
	g_ptr_array_unref(s->vms_with_orders);
	g_ptr_array_unref(s->active);
	g_ptr_array_unref(s->closing);
	g_hash_table_unref(s->jobs);
	g_hash_table_unref(s->durations);
	colo_table_free(s->colo);
	g_array_unref(s->placements);
	g_hash_table_unref(s->queue_names);
	if (s->queues)
		g_ptr_array_unref(s->queues);
	sch_outage_clear(&s->outage);
	g_free(s);
}

static void replace_tables(struct sch *s, GPtrArray *queues)
{
	guint i;

	if (s->queues)
		g_ptr_array_unref(s->queues);
	s->queues = queues;
	g_ptr_array_set_free_func(queues, free_queue);
	g_hash_table_remove_all(s->queue_names);
	for (i = 0; i < queues->len; i++) {
		struct sch_queue *queue = queues->pdata[i];

		g_hash_table_insert(s->queue_names, queue->name, queue);
	}
	s->place_due = TRUE;
}

/* Deletes the oldest ended job if its retention is over; returns FALSE if it is
 * not. */
static gboolean expire_job(struct sch *s)
{
	struct sch_job *job = g_queue_peek_head(&s->ended);

	if (!job || job->pending_change || job->committing || job->spec ||
	    s->unix_ms < job->ended_unix_ms + s->options.retention_ms)
		return FALSE;
	g_queue_pop_head(&s->ended);
	job->retention_over = TRUE;
	sch_job_mark_dirty(s, job);
	return TRUE;
}

/* As many as transactions write in a few ticks, so that jobs can end faster
 * than one in each tick. */
static void expire_jobs(struct sch *s)
{
	guint i;

	for (i = 0; i < MAX_EXPIRED && expire_job(s); i++)
		;
}

static void tick(struct sch *s)
{
	guint i;

	sch_vm_expire_leases(s);
	sch_zone_tick(s);
	for (i = s->active->len; i-- > 0;)
		sch_job_advance(s, s->active->pdata[i]);
	sch_call_expire(s);
	sch_call_check_outage(s);
	sch_commit_check_timeout(s);
	sch_reschedule(s);
	expire_jobs(s);
	sch_parked_tick(s);
}

static void read_parked(struct sch *s, const struct sch_event *ev)
{
	struct sch_job *job = g_hash_table_lookup(s->jobs, ev->job_id);

	if (sch_load_parked(s, ev->job_id, ev->job_record, ev->progress_record,
			    ev->unix_ms) < 0)
		g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_CRITICAL, "JOB_ID",
				 ev->job_id, "MESSAGE",
				 "the records of the job are missing or "
				 "malformed; they will be read again");
	if (job)
		sch_job_advance(s, job);
}

static void dispatch(struct sch *s, const struct sch_event *ev)
{
	switch (ev->kind) {
	case SCH_EVENT_TICK:
		tick(s);
		break;
	case SCH_EVENT_LEADERSHIP_CONFIRMED:
		s->confirmed_ms = MAX(s->confirmed_ms, ev->confirmed_ms);
		break;
	case SCH_EVENT_TABLES:
		replace_tables(s, ev->queues);
		break;
	case SCH_EVENT_TABLES_CONFIRMED:
		s->tables_confirmed_ms = MAX(s->tables_confirmed_ms,
					     ev->confirmed_ms);
		break;
	case SCH_EVENT_EVACUATIONS:
		sch_zone_set_evacuations(s, ev);
		break;
	case SCH_EVENT_CALL:
		sch_call(s, ev->call_ref, ev->call);
		break;
	case SCH_EVENT_AGENT_CONNECTED:
		sch_vm_connected(s, ev->vm);
		break;
	case SCH_EVENT_AGENT_DISCONNECTED:
		sch_vm_disconnected(s, ev->vm);
		break;
	case SCH_EVENT_REPORT:
		sch_vm_report(s, ev->vm, ev->report);
		break;
	case SCH_EVENT_COMMITTED:
		s->last_revision = MAX(s->last_revision, ev->revision);
		sch_commit_done(s);
		break;
	case SCH_EVENT_JOB_READ:
		read_parked(s, ev);
		break;
	case SCH_EVENT_DEPOSED:
		sch_commit_deposed(s);
		break;
	}
}

void sch_reduce(struct sch *s, const struct sch_event *ev, GArray *effects)
{
	s->effects = effects;
	s->now_ms = ev->now_ms;
	s->unix_ms = ev->unix_ms;
	dispatch(s, ev);
	if (ev->kind != SCH_EVENT_DEPOSED) {
		sch_job_close_ended(s);
		sch_place(s);
		sch_vm_start_sessions(s);
		sch_commit_start(s);
		if (ev->kind == SCH_EVENT_TICK)
			sch_vm_send_all_orders(s);
		sch_vm_send_orders(s);
	}
	s->effects = NULL;
}

void sch_get_stats(const struct sch *s, struct sch_stats *stats)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	*stats = s->stats;
	stats->jobs_ended = s->ended.length;
	stats->jobs_parked = s->parked.length;
	for (i = 0; i < s->active->len; i++) {
		const struct sch_job *job = s->active->pdata[i];

		if (job->started)
			stats->jobs_running++;
		else
			stats->jobs_waiting++;
	}
	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		stats->vms++;
		if (sch_vm_is_usable(s, value))
			stats->vms_usable++;
	}
	stats->zones_evacuated = s->n_evacuated;
}
