#include "internal.h"

#include <string.h>

/*
 * Group commit, with one transaction in flight at a time. It compares the claim
 * of each shard and the revision of each record that it writes, so it takes
 * effect at most once, however often it is sent.
 */

/*
 * No job is added to a transaction with this number of operations, so that the
 * comparisons of all claims and the operations of a last job still fit. With
 * this number of jobs staged, it is sent at once.
 */
#define FULL_OPS (KV_MAX_TXN_OPS - JOB_SHARDS - 2)

static guint64 item_txn_bytes(const struct job_item *item)
{
	/* Estimate for the record itself. */
	guint64 bytes = 512;

	if (!item->record && item->payload)
		bytes += g_bytes_get_size(item->payload);
	if (item->result)
		bytes += g_bytes_get_size(item->result);
	return bytes;
}

static void add_item(struct kv_txn *txn, struct job_item *item)
{
	char *key = job_record_key(item->shard, item->id);
	GBytes *value = job_record_pack(item->in_flight);

	kv_txn_compare(txn, key, KV_COMPARE_MOD_REVISION, item->mod_revision);
	kv_txn_put(txn, key, value, 0);
	g_bytes_unref(value);
	g_free(key);
	if (!item->record && item->payload && g_bytes_get_size(item->payload)) {
		key = g_strdup_printf("radishpier/payload/%s", item->id);
		kv_txn_put(txn, key, item->payload, 0);
		g_free(key);
	}
	if (item->record && job_record_ended(item->in_flight)) {
		key = g_strdup_printf("radishpier/payload/%s", item->id);
		kv_txn_delete(txn, key);
		g_free(key);
	}
	if (item->result &&
	    item->in_flight->state == RP__JOB_STATE__JOB_STATE_DONE) {
		key = g_strdup_printf("radishpier/result/%s", item->id);
		kv_txn_put(txn, key, item->result, 0);
		g_free(key);
	}
}

/* Sends the records in flight; a retry sends the same ones again. */
static void send_commit(struct job *job)
{
	struct kv_txn *txn = kv_txn_new();
	gboolean written[JOB_SHARDS] = { FALSE };
	unsigned shard;
	char *key;
	guint i;

	for (i = 0; i < job->in_flight->len; i++) {
		struct job_item *item = g_ptr_array_index(job->in_flight, i);

		written[item->shard] = TRUE;
		add_item(txn, item);
	}
	for (shard = 0; shard < JOB_SHARDS; shard++) {
		if (!written[shard])
			continue;
		key = job_shard_key(shard);
		kv_txn_compare(txn, key, KV_COMPARE_CREATE_REVISION,
			       (gint64)job->shards[shard].term);
		g_free(key);
	}
	g_assert(txn->ops->len <= KV_MAX_TXN_OPS);
	job->commit_state = COMMIT_SENT;
	job->stats.txns++;
	job->commit_call = job_fx_txn(job, CALL_COMMIT, txn);
}

static void start_commit(struct job *job)
{
	guint64 bytes = 0;
	unsigned ops = 0;

	while (!g_queue_is_empty(job->staged) && ops < FULL_OPS) {
		struct job_item *item = g_queue_peek_head(job->staged);

		bytes += item_txn_bytes(item);
		if (ops && bytes > JOB_TXN_BYTES)
			break;
		g_queue_pop_head(job->staged);
		item->in_flight = item->staged;
		item->staged = NULL;
		ops += 1 + (!item->record && item->payload) +
		       (item->record && job_record_ended(item->in_flight)) +
		       (item->result != NULL);
		g_ptr_array_add(job->in_flight, item);
	}
	job->staged_since = job->now;
	job->outcome_unknown = FALSE;
	job->conflicted = FALSE;
	job->claim_lost = FALSE;
	send_commit(job);
}

static void end_commit(struct job *job)
{
	g_ptr_array_set_size(job->in_flight, 0);
	job->commit_state = COMMIT_IDLE;
	job->checked_item = NULL;
}

static void apply_commit(struct job *job, gint64 revision)
{
	GPtrArray *items = g_ptr_array_new();
	guint i;

	for (i = 0; i < job->in_flight->len; i++) {
		struct job_item *item = g_ptr_array_index(job->in_flight, i);

		job_record_free(item->record);
		item->record = item->in_flight;
		item->in_flight = NULL;
		item->mod_revision = revision;
		g_ptr_array_add(items, item);
	}
	job->stats.records_written += items->len;
	end_commit(job);
	for (i = 0; i < items->len; i++) {
		struct job_item *item = g_ptr_array_index(items, i);

		job_item_durable(job, item);
		if (item->record->state == RP__JOB_STATE__JOB_STATE_QUEUED &&
		    job->payload_bytes > JOB_PAYLOAD_CACHE_BYTES)
			job_item_drop_payload(job, item);
	}
	g_ptr_array_unref(items);
}

/* Stages the records again; the transaction had no effect and never will. */
static void restage_commit(struct job *job)
{
	guint i;

	for (i = job->in_flight->len; i-- > 0;) {
		struct job_item *item = g_ptr_array_index(job->in_flight, i);

		if (item->staged) {
			job_record_free(item->in_flight);
		} else {
			item->staged = item->in_flight;
			g_queue_push_head(job->staged, item);
		}
		item->in_flight = NULL;
	}
	job->staged_since = job->now;
	end_commit(job);
}

/* Refuses submissions that are not written yet, as the store is down. */
static void refuse_unwritten(struct job *job)
{
	GList *link = job->staged->head;

	while (link) {
		struct job_item *item = link->data;
		GList *next = link->next;
		guint i;

		if (!item->record) {
			for (i = 0; i < item->pending_submits->len; i++)
				job_fx_answer_text(
					job,
					g_array_index(item->pending_submits,
						      struct pending_call, i)
						.handle,
					503, "the platform is not available");
			g_queue_delete_link(job->staged, link);
			job_item_unlink(job, item);
			g_hash_table_remove(job->shards[item->shard].items,
					    item->id);
		}
		link = next;
	}
}

void job_commit_done(struct job *job, const struct job_event *ev)
{
	job->commit_call = 0;
	if (!job->in_flight->len) {
		end_commit(job);
		return;
	}
	switch (ev->txn.status) {
	case JOB_KV_OK:
		/* Records of shards dropped since are no longer in flight. */
		apply_commit(job, ev->txn.revision);
		return;
	case JOB_KV_CONFLICT:
		job->conflicted = TRUE;
		break;
	case JOB_KV_UNAVAILABLE:
		job->commit_not_before = job->now + JOB_KV_RETRY_MS;
		if (job->outcome_unknown)
			break;
		restage_commit(job);
		refuse_unwritten(job);
		return;
	case JOB_KV_UNKNOWN:
		job->outcome_unknown = TRUE;
		job->commit_not_before = job->now + JOB_KV_RETRY_MS / 10;
		break;
	}
	job->commit_state = COMMIT_READ_RECORD;
}

void job_commit_drop_item(struct job *job, struct job_item *item)
{
	if (item->staged)
		g_queue_remove(job->staged, item);
	if (!item->in_flight)
		return;
	g_ptr_array_remove(job->in_flight, item);
	job->claim_lost = TRUE;
	if (job->checked_item == item)
		job->checked_item = NULL;
}

static void send_check(struct job *job)
{
	char *key;

	job->checked_item = g_ptr_array_index(job->in_flight, 0);
	job->claim_lost_before_check = job->claim_lost;
	key = job_record_key(job->checked_item->shard, job->checked_item->id);
	job_fx_range(job, CALL_OUTCOME_CHECK, key, TRUE, 0, &job->commit_call);
	g_free(key);
}

void job_commit_record_read(struct job *job, const struct job_event *ev)
{
	const struct kv_pair *pair;

	job->commit_call = 0;
	if (ev->range.status != JOB_KV_OK) {
		job->commit_not_before = job->now + JOB_KV_RETRY_MS;
		return;
	}
	job->checked_revision = 0;
	if (ev->range.pairs->len) {
		pair = g_ptr_array_index(ev->range.pairs, 0);
		job->checked_revision = pair->mod_revision;
	}
	job->commit_state = COMMIT_READ_CLAIMS;
}

static void reload_shards(struct job *job)
{
	while (job->in_flight->len) {
		struct job_item *item = g_ptr_array_index(job->in_flight, 0);

		job_shard_reload(job, item->shard);
	}
	end_commit(job);
}

/*
 * Finds out what became of the transaction. The record was read before the
 * claims: if its shard is still owned, no other entry wrote the record, and its
 * revision shows whether the transaction took effect. If not, it is sent again,
 * or its records are staged again if a lost claim means that it never will. If
 * the record changed otherwise, or nothing explains a conflict, the shards are
 * read again.
 */
static void resolve_commit(struct job *job)
{
	gboolean changed;

	if (!job->in_flight->len) {
		end_commit(job);
		return;
	}
	if (!job->checked_item ||
	    job->claim_lost != job->claim_lost_before_check) {
		job->commit_state = COMMIT_READ_RECORD;
		return;
	}
	changed = job->checked_revision != job->checked_item->mod_revision;
	if (changed && job->outcome_unknown)
		apply_commit(job, job->checked_revision);
	else if (changed || (job->conflicted && !job->claim_lost))
		reload_shards(job);
	else if (job->claim_lost)
		restage_commit(job);
	else
		send_commit(job);
}

void job_commit_claims_read(struct job *job, const struct job_event *ev)
{
	job->commit_call = 0;
	if (ev->range.status != JOB_KV_OK) {
		job->commit_not_before = job->now + JOB_KV_RETRY_MS;
		return;
	}
	if (ev->range.revision < job->claims_revision)
		return;
	job->claims_revision = ev->range.revision;
	job_shard_apply_claims(job, ev->range.pairs);
	job->claims_wanted = TRUE;
	resolve_commit(job);
}

void job_commit_tick(struct job *job)
{
	if (job->commit_call || job->now < job->commit_not_before)
		return;
	if (job->commit_state != COMMIT_IDLE && !job->in_flight->len)
		end_commit(job);
	switch (job->commit_state) {
	case COMMIT_READ_RECORD:
		send_check(job);
		break;
	case COMMIT_READ_CLAIMS:
		job_fx_range(job, CALL_COMMIT_CLAIMS, "radishpier/shard/",
			     FALSE, 0, &job->commit_call);
		break;
	case COMMIT_IDLE:
		if (!g_queue_is_empty(job->staged) &&
		    (job->now - job->staged_since >= JOB_COMMIT_INTERVAL_MS ||
		     g_queue_get_length(job->staged) >= FULL_OPS))
			start_commit(job);
		break;
	case COMMIT_SENT:
		g_assert_not_reached();
	}
}
