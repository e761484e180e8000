#include "internal.h"

#include <string.h>

static void call_free(gpointer data)
{
	struct store_call *call = data;

	g_free(call->job_id);
	g_free(call);
}

static void effect_clear(gpointer data)
{
	struct job_effect *fx = data;

	switch (fx->kind) {
	case JOB_FX_SEND:
		wire_frame_free(fx->send.frame);
		break;
	case JOB_FX_TXN:
		if (fx->txn.txn)
			kv_txn_free(fx->txn.txn);
		break;
	case JOB_FX_RANGE:
		g_free(fx->range.prefix);
		break;
	case JOB_FX_ANSWER:
		if (fx->answer.body)
			g_bytes_unref(fx->answer.body);
		break;
	case JOB_FX_LOG:
		g_free(fx->log.message);
		g_free(fx->log.job_id);
		break;
	}
}

GArray *job_effects_new(void)
{
	GArray *fx = g_array_new(FALSE, TRUE, sizeof(struct job_effect));

	g_array_set_clear_func(fx, effect_clear);
	return fx;
}

void job_fx_send(struct job *job, guint64 conn, struct Rp__Frame *frame)
{
	struct job_effect fx = { .kind = JOB_FX_SEND };

	fx.send.conn = conn;
	fx.send.frame = frame;
	g_array_append_val(job->fx, fx);
}

static struct store_call *call_new(struct job *job, enum call_kind kind,
				   guint64 *id)
{
	struct store_call *call = g_new0(struct store_call, 1);

	call->kind = kind;
	call->seen_revision = job->revision_seen;
	call->sent_at = job->now;
	*id = ++job->last_call;
	g_hash_table_insert(job->calls, g_memdup2(id, sizeof(*id)), call);
	return call;
}

guint64 job_fx_txn(struct job *job, enum call_kind kind, struct kv_txn *txn)
{
	struct job_effect fx = { .kind = JOB_FX_TXN };

	call_new(job, kind, &fx.txn.id);
	fx.txn.txn = txn;
	g_array_append_val(job->fx, fx);
	return fx.txn.id;
}

struct store_call *job_fx_range(struct job *job, enum call_kind kind,
				const char *prefix, gboolean exact, gint64 from,
				guint64 *id)
{
	struct job_effect fx = { .kind = JOB_FX_RANGE };
	struct store_call *call = call_new(job, kind, &fx.range.id);

	fx.range.prefix = g_strdup(prefix);
	fx.range.exact = exact;
	fx.range.min_revision = from;
	call->from_revision = from;
	g_array_append_val(job->fx, fx);
	if (id)
		*id = fx.range.id;
	return call;
}

void job_fx_answer(struct job *job, guint64 handle, unsigned status,
		   GBytes *body)
{
	struct job_effect fx = { .kind = JOB_FX_ANSWER };

	fx.answer.handle = handle;
	fx.answer.status = status;
	fx.answer.body = body;
	g_array_append_val(job->fx, fx);
}

void job_fx_answer_text(struct job *job, guint64 handle, unsigned status,
			const char *text)
{
	GString *json = g_string_new("{\"error\":\"");

	g_string_append(json, text);
	g_string_append(json, "\"}");
	job_fx_answer(job, handle, status, g_string_free_to_bytes(json));
}

void job_fx_log(struct job *job, GLogLevelFlags level, const char *job_id,
		const char *format, ...)
{
	struct job_effect fx = { .kind = JOB_FX_LOG };
	va_list args;

	va_start(args, format);
	fx.log.level = level;
	fx.log.message = g_strdup_vprintf(format, args);
	fx.log.job_id = g_strdup(job_id);
	va_end(args);
	g_array_append_val(job->fx, fx);
}

struct job *job_new(const struct job_options *options)
{
	struct job *job = g_new0(struct job, 1);
	unsigned i;

	job->entry_id = g_strdup(options->entry_id);
	job->random = g_rand_new_with_seed(options->seed);
	job->first_fit = options->first_fit;
	job->no_quarantine = options->no_quarantine;
	job->evacuations_unread = options->wait_for_evacuations;
	job->max_active = options->max_active ? options->max_active
					      : JOB_MAX_ACTIVE;
	job->intf = job_intf_new(options->first_fit ||
				 options->ignore_interference);
	job->entries = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < JOB_SHARDS; i++)
		job->shards[i].items = g_hash_table_new_full(
			g_str_hash, g_str_equal, NULL, job_item_free);
	job->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   call_free);
	job->staged = g_queue_new();
	job->in_flight = g_ptr_array_new();
	job->vms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 job_vm_free);
	job->conns = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	job->watched = g_hash_table_new(g_str_hash, g_str_equal);
	job->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   job_pool_free);
	job->fences = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    g_free);
	job->grant_requests_waiting = g_array_new(FALSE, FALSE,
						  sizeof(struct grant_request));
	g_array_set_clear_func(job->grant_requests_waiting,
			       job_grant_request_clear);
	job->grant_requests_reading = g_array_new(FALSE, FALSE,
						  sizeof(struct grant_request));
	g_array_set_clear_func(job->grant_requests_reading,
			       job_grant_request_clear);
	job->retention_ms = options->retention_ms ? options->retention_ms
						  : JOB_RETENTION_MS;
	job->expired = g_array_new(FALSE, FALSE, sizeof(struct expired));
	g_array_set_clear_func(job->expired, job_expired_clear);
	job->succeeded_on =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	job_member_init(job, options);
	job_promise_init(job);
	return job;
}

void job_free(struct job *job)
{
	GHashTableIter iter;
	struct job_item *item;
	unsigned i;

	if (!job)
		return;
	for (i = 0; i < JOB_SHARDS; i++) {
		g_hash_table_iter_init(&iter, job->shards[i].items);
		while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item))
			job_item_unlink(job, item);
		g_hash_table_unref(job->shards[i].items);
	}
	g_hash_table_unref(job->conns);
	g_hash_table_unref(job->watched);
	g_hash_table_unref(job->vms);
	g_hash_table_unref(job->pools);
	g_hash_table_unref(job->calls);
	g_hash_table_unref(job->succeeded_on);
	g_ptr_array_unref(job->entries);
	g_ptr_array_unref(job->in_flight);
	g_queue_free(job->staged);
	g_array_unref(job->expired);
	g_hash_table_unref(job->fences);
	g_array_unref(job->grant_requests_waiting);
	g_array_unref(job->grant_requests_reading);
	job_member_free(job);
	job_promise_free(job);
	job_intf_free(job->intf);
	g_rand_free(job->random);
	g_free(job->entry_id);
	g_free(job);
}

/* Removes and returns the call that the event answers, or NULL. */
static struct store_call *call_take(struct job *job, guint64 id)
{
	struct store_call *call = NULL;
	gpointer key;

	if (!g_hash_table_steal_extended(job->calls, &id, &key,
					 (gpointer *)&call))
		return NULL;
	g_free(key);
	return call;
}

/*
 * The revision of an answer is at least the highest one known when its call was
 * sent. If it is lower, the store was restored from an older backup. Calls sent
 * before a restore was noticed do not report it again.
 */
static void check_revision(struct job *job, const struct store_call *call,
			   gint64 revision)
{
	if (revision < call->seen_revision &&
	    job->revision_seen >= call->seen_revision) {
		job_fence_store_restored(job, revision);
		job_member_store_restored(job);
		job_promise_end_request(job);
		job->revision_seen = revision;
	}
	job->revision_seen = MAX(job->revision_seen, revision);
}

static void on_txn(struct job *job, const struct job_event *ev)
{
	struct store_call *call = call_take(job, ev->txn.id);

	if (!call)
		return;
	if (ev->txn.status == JOB_KV_OK)
		check_revision(job, call, ev->txn.revision);
	switch (call->kind) {
	case CALL_CLAIM:
		job_shard_claim_written(job, ev);
		break;
	case CALL_COMMIT:
		job_commit_done(job, ev);
		break;
	case CALL_FENCE:
		job_fence_written(job, ev);
		break;
	case CALL_MEMBER:
		job_member_written(job, ev);
		break;
	case CALL_RETENTION:
		job_retention_done(job, ev);
		break;
	default:
		g_assert_not_reached();
	}
	call_free(call);
}

static void on_range(struct job *job, const struct job_event *ev)
{
	struct store_call *call = call_take(job, ev->range.id);

	if (!call)
		return;
	if (ev->range.status == JOB_KV_OK)
		check_revision(job, call, ev->range.revision);
	switch (call->kind) {
	case CALL_CLAIMS:
		job_shard_claims_read(job, ev);
		break;
	case CALL_LOAD:
		job_shard_loaded(job, call, ev);
		break;
	case CALL_OUTCOME_CHECK:
		job_commit_record_read(job, ev);
		break;
	case CALL_COMMIT_CLAIMS:
		job_commit_claims_read(job, ev);
		break;
	case CALL_FENCES:
		job_fence_read(job, call, ev);
		break;
	case CALL_MEMBERS:
		job_member_read(job, ev);
		break;
	case CALL_PAYLOAD:
		job_item_payload_read(job, call, ev);
		break;
	case CALL_RESULT:
		job_call_result_read(job, call, ev);
		break;
	default:
		g_assert_not_reached();
	}
	call_free(call);
}

static void on_tables(struct job *job, const struct cfg_tables *tables)
{
	GHashTableIter iter;
	struct pool *pool;

	job->tables = tables;
	g_hash_table_iter_init(&iter, job->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool)) {
		pool->cfg = cfg_pool_find(tables, pool->name);
		job_pool_retry_unschedulable(job, pool);
	}
}

static void on_evacuations(struct job *job, const struct evac *evacuations)
{
	job->evacuations = evacuations;
	job->evacuations_unread = FALSE;
	job_vm_evacuations_changed(job);
}

/* After a pause of this process, agents only seem to be unresponsive. */
static void restart_liveness(struct job *job)
{
	GHashTableIter iter;
	struct vm *vm;

	g_hash_table_iter_init(&iter, job->vms);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&vm))
		if (vm->conn) {
			vm->last_frame_at = job->now;
			vm->contact_at = job->now;
			vm->liveness_check_at = 0;
		}
}

static void on_peer_frame(struct job *job, const struct job_event *ev)
{
	const struct Rp__Frame *frame = ev->peer.frame;

	if (frame->body_case == RP__FRAME__BODY_MEMBERS)
		job_members_received(job, ev->peer.id, frame->members);
	else if (frame->body_case == RP__FRAME__BODY_PROMISE_REQUEST)
		job_promise_requested(job, ev->peer.conn,
				      frame->promise_request);
	else if (frame->body_case == RP__FRAME__BODY_PROMISE_REPLY)
		job_promise_reply_received(job, ev->peer.conn,
					   frame->promise_reply);
}

static void dispatch(struct job *job, const struct job_event *ev)
{
	switch (ev->kind) {
	case JOB_EV_TICK:
		break;
	case JOB_EV_LEASE:
		job_shard_lease(job, ev->lease.lease);
		break;
	case JOB_EV_ENTRIES:
		job_shard_entries(job, ev->entries.ids, ev->entries.n);
		job->members.read_wanted |= job->members.read_sent_at != 0;
		break;
	case JOB_EV_TABLES:
		on_tables(job, ev->tables.tables);
		break;
	case JOB_EV_EVACUATIONS:
		on_evacuations(job, ev->evacuations.evacuations);
		break;
	case JOB_EV_AGENT_FRAME:
		job_vm_frame(job, ev->agent_frame.conn, ev->agent_frame.frame);
		break;
	case JOB_EV_AGENT_CLOSED:
		job_vm_closed(job, ev->agent_closed.conn);
		break;
	case JOB_EV_PEER:
		job_member_peer(job, ev->peer.id, ev->peer.conn);
		break;
	case JOB_EV_PEER_FRAME:
		on_peer_frame(job, ev);
		break;
	case JOB_EV_DRAIN:
		job_member_drain(job);
		break;
	case JOB_EV_SUBMIT:
		job_call_submit(job, ev);
		break;
	case JOB_EV_GET:
		job_call_get(job, ev);
		break;
	case JOB_EV_RESULT:
		job_call_result(job, ev);
		break;
	case JOB_EV_CANCEL:
		job_call_cancel(job, ev);
		break;
	case JOB_EV_TXN:
		on_txn(job, ev);
		break;
	case JOB_EV_RANGE:
		on_range(job, ev);
		break;
	}
}

/* Records whether the store answers; a failed comparison is an answer too. */
static void update_store_state(struct job *job, const struct job_event *ev)
{
	gboolean txn = ev->kind == JOB_EV_TXN;
	const struct store_call *call;

	if (!txn && ev->kind != JOB_EV_RANGE)
		return;
	if ((txn && (ev->txn.status == JOB_KV_OK ||
		     ev->txn.status == JOB_KV_CONFLICT)) ||
	    (!txn && ev->range.status == JOB_KV_OK)) {
		job->kv_down_until = 0;
		job->reads_failing_since = 0;
		return;
	}
	job->kv_down_until = job->now + JOB_KV_RETRY_MS;
	if (txn || job->reads_failing_since)
		return;
	call = g_hash_table_lookup(job->calls, &ev->range.id);
	if (call)
		job->reads_failing_since = call->sent_at;
}

void job_reduce(struct job *job, const struct job_event *ev, GArray *effects)
{
	gboolean paused = job->now && ev->now_ms - job->now > JOB_PAUSE_MS;

	job->fx = effects;
	job->now = ev->now_ms;
	if (ev->unix_ms)
		job->unix_ms = ev->unix_ms;
	if (paused)
		restart_liveness(job);
	update_store_state(job, ev);
	dispatch(job, ev);
	if (ev->kind == JOB_EV_TICK) {
		job_vm_tick(job);
		job_call_tick(job);
	}
	job_shard_tick(job);
	job_member_tick(job);
	job_fence_tick(job);
	job_promise_tick(job);
	job_place_tick(job);
	job_commit_tick(job);
	job_retention_tick(job);
	job->fx = NULL;
}

guint64 job_shard_term(const struct job *job, unsigned shard)
{
	return job->shards[shard].term;
}

void job_stats(const struct job *job, struct job_stats *stats)
{
	GHashTableIter iter;
	struct job_item *item;
	unsigned i;

	*stats = job->stats;
	for (i = 0; i < JOB_SHARDS; i++) {
		stats->shards_owned += job->shards[i].term != 0;
		g_hash_table_iter_init(&iter, job->shards[i].items);
		while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item)) {
			Rp__JobState state = job_item_newest(item)->state;

			stats->jobs++;
			stats->queued += state ==
					 RP__JOB_STATE__JOB_STATE_QUEUED;
			stats->placed += state ==
					 RP__JOB_STATE__JOB_STATE_PLACED;
			stats->running += state ==
					  RP__JOB_STATE__JOB_STATE_RUNNING;
		}
	}
}

void job_status_json(const struct job *job, GString *out)
{
	const char *separator = "";
	GHashTableIter iter;
	struct job_item *item;
	unsigned i;

	g_string_append_c(out, '[');
	for (i = 0; i < JOB_SHARDS; i++) {
		g_hash_table_iter_init(&iter, job->shards[i].items);
		while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item)) {
			if (job_item_newest(item)->state !=
			    RP__JOB_STATE__JOB_STATE_QUEUED)
				continue;
			g_string_append(out, separator);
			job_record_json(item, job_item_newest(item), out);
			separator = ",";
		}
	}
	g_string_append_c(out, ']');
}
