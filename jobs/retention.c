#include "internal.h"

#include <string.h>

/*
 * Deletes the records, results and payloads of jobs whose retention time has
 * passed, so that the store and this entry keep ended jobs only for a limited
 * time. Ended records never change, so they are deleted outside of the group
 * commit, by a transaction that compares the claim and each record's revision.
 */

/* Each job takes three operations: record, result and payload. */
#define JOBS_PER_TXN (KV_MAX_TXN_OPS / 3)

/* One shard is scanned at this interval. */
#define RETENTION_INTERVAL_MS 1000

void job_expired_clear(gpointer data)
{
	struct expired *expired = data;

	g_free(expired->id);
}

static gboolean is_expired(const struct job *job, const struct job_item *item)
{
	return item->record && !item->in_flight && !item->staged &&
	       item->record->ended_unix_ms && job_record_ended(item->record) &&
	       job->unix_ms - item->record->ended_unix_ms >= job->retention_ms;
}

static void collect_expired(struct job *job)
{
	struct shard *shard;
	GHashTableIter iter;
	struct job_item *item;

	job->expired_shard = (job->expired_shard + 1) % JOB_SHARDS;
	job->retention_outcome_unknown = FALSE;
	shard = &job->shards[job->expired_shard];
	if (shard->state != SHARD_READY)
		return;
	job->expired_term = shard->term;
	g_hash_table_iter_init(&iter, shard->items);
	while (job->expired->len < JOBS_PER_TXN &&
	       g_hash_table_iter_next(&iter, NULL, (gpointer *)&item)) {
		struct expired expired = { NULL, item->mod_revision };

		if (!is_expired(job, item))
			continue;
		expired.id = g_strdup(item->id);
		g_array_append_val(job->expired, expired);
	}
}

static void delete_value(struct kv_txn *txn, const char *folder, const char *id)
{
	char *key = g_strdup_printf("radishpier/%s/%s", folder, id);

	kv_txn_delete(txn, key);
	g_free(key);
}

static void send_deletion(struct job *job)
{
	struct kv_txn *txn = kv_txn_new();
	char *key = job_shard_key(job->expired_shard);
	guint i;

	kv_txn_compare(txn, key, KV_COMPARE_CREATE_REVISION,
		       (gint64)job->expired_term);
	g_free(key);
	for (i = 0; i < job->expired->len; i++) {
		struct expired *expired = &g_array_index(job->expired,
							 struct expired, i);

		key = job_record_key(job->expired_shard, expired->id);
		kv_txn_compare(txn, key, KV_COMPARE_MOD_REVISION,
			       expired->mod_revision);
		kv_txn_delete(txn, key);
		g_free(key);
		delete_value(txn, "result", expired->id);
		delete_value(txn, "payload", expired->id);
	}
	job->retention_call = job_fx_txn(job, CALL_RETENTION, txn);
}

void job_retention_tick(struct job *job)
{
	if (job->retention_call || job->now < job->retention_at)
		return;
	job->retention_at = job->now + RETENTION_INTERVAL_MS;
	if (job->shards[job->expired_shard].term != job->expired_term)
		g_array_set_size(job->expired, 0);
	if (!job->expired->len)
		collect_expired(job);
	if (job->expired->len)
		send_deletion(job);
}

static void remove_expired(struct job *job)
{
	GHashTable *items = job->shards[job->expired_shard].items;
	guint i;

	for (i = 0; i < job->expired->len; i++) {
		struct expired *expired = &g_array_index(job->expired,
							 struct expired, i);
		struct job_item *item = g_hash_table_lookup(items, expired->id);

		if (!item || item->mod_revision != expired->mod_revision)
			continue;
		job->stats.records_deleted++;
		g_hash_table_remove(items, expired->id);
	}
}

void job_retention_done(struct job *job, const struct job_event *ev)
{
	gboolean owned = job->shards[job->expired_shard].term ==
			 job->expired_term;

	job->retention_call = 0;
	switch (ev->txn.status) {
	case JOB_KV_UNKNOWN:
		/* The next tick sends the same deletion again. */
		job->retention_outcome_unknown = TRUE;
		return;
	case JOB_KV_UNAVAILABLE:
		return;
	case JOB_KV_CONFLICT:
		/*
		 * Nothing else changes these records while the claim is held.
		 * So if an earlier try had an unknown outcome, it succeeded.
		 */
		if (!job->retention_outcome_unknown)
			owned = FALSE;
		job->claims_wanted = TRUE;
		break;
	case JOB_KV_OK:
		break;
	}
	if (owned)
		remove_expired(job);
	g_array_set_size(job->expired, 0);
}
