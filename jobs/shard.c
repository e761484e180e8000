#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* Interval of periodic claim reads, which find changes by other entries. */
#define CLAIM_POLL_MS 30000
/* Longest random delay of the next read after a lost race for a claim. */
#define CLAIM_RACE_MS 250

#define CLAIM_PREFIX "radishpier/shard/"

char *job_shard_key(unsigned shard)
{
	return g_strdup_printf(CLAIM_PREFIX "%02u", shard);
}

/* Answers the pending calls of an item whose shard this entry has lost. */
static void answer_lost(struct job *job, struct job_item *item)
{
	/* A record in flight may still become durable: outcome unknown. */
	unsigned status = item->in_flight ? 504 : JOB_STATUS_NOT_OWNER;
	guint i;

	for (i = 0; i < item->pending_submits->len; i++)
		job_fx_answer_text(job,
				   g_array_index(item->pending_submits,
						 struct pending_call, i)
					   .handle,
				   status, "the shard moved to another entry");
	for (i = 0; i < item->pending_cancels->len; i++)
		job_fx_answer_text(job,
				   g_array_index(item->pending_cancels,
						 struct pending_call, i)
					   .handle,
				   status, "the shard moved to another entry");
	g_array_set_size(item->pending_submits, 0);
	g_array_set_size(item->pending_cancels, 0);
}

static void drop_items(struct job *job, struct shard *shard)
{
	GHashTableIter iter;
	struct job_item *item;

	g_hash_table_iter_init(&iter, shard->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item)) {
		answer_lost(job, item);
		job_commit_drop_item(job, item);
		job_item_unlink(job, item);
		g_hash_table_iter_remove(&iter);
	}
}

static void shard_drop(struct job *job, unsigned n)
{
	struct shard *shard = &job->shards[n];

	if (!shard->term)
		return;
	job_fx_log(job, G_LOG_LEVEL_MESSAGE, NULL,
		   "shard %u is released, term %" G_GUINT64_FORMAT, n,
		   shard->term);
	drop_items(job, shard);
	shard->term = 0;
	shard->load_call = 0;
	shard->state = SHARD_FREE;
}

void job_shard_reload(struct job *job, unsigned n)
{
	struct shard *shard = &job->shards[n];

	job_fx_log(
		job, G_LOG_LEVEL_WARNING, NULL,
		"records of shard %u differ from the platform's, reading again",
		n);
	drop_items(job, shard);
	shard->state = SHARD_LOADING;
	shard->load_call = 0;
	shard->load_at = job->now;
}

void job_shard_lease(struct job *job, gint64 lease)
{
	unsigned i;

	if (lease == job->lease)
		return;
	for (i = 0; i < JOB_SHARDS; i++)
		shard_drop(job, i);
	job->lease = lease;
	job->claims_wanted = lease != 0;
	job->claims_poll_at = job->now;
}

static int compare_ids(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

void job_shard_entries(struct job *job, const char *const *ids, size_t n)
{
	size_t i;

	g_ptr_array_set_size(job->entries, 0);
	for (i = 0; i < n; i++)
		g_ptr_array_add(job->entries, g_strdup(ids[i]));
	g_ptr_array_sort(job->entries, compare_ids);
	job->claims_wanted = TRUE;
}

/* Number of shards that this entry should own; *first is the first to claim. */
static unsigned fair_share(const struct job *job, unsigned *first)
{
	unsigned n = job->entries->len;
	unsigned rank = 0;
	gboolean found = FALSE;
	unsigned i;

	for (i = 0; i < job->entries->len; i++) {
		int order = strcmp(g_ptr_array_index(job->entries, i),
				   job->entry_id);

		rank += order < 0;
		found |= order == 0;
	}
	if (!found)
		n++;
	*first = rank * JOB_SHARDS / n;
	return JOB_SHARDS / n + (rank < JOB_SHARDS % n);
}

static void start_claims_read(struct job *job)
{
	job->claims_wanted = FALSE;
	job_fx_range(job, CALL_CLAIMS, CLAIM_PREFIX, FALSE, 0,
		     &job->claims_call);
}

/*
 * Returns the create revision of this entry's claim of the shard under its
 * current lease, or 0. *taken: some entry, or an earlier lease, has a claim.
 */
static gint64 claim_revision(const struct job *job, const GPtrArray *pairs,
			     unsigned n, gboolean *taken)
{
	char *key = job_shard_key(n);
	gint64 revision = 0;
	gsize len;
	guint i;

	*taken = FALSE;
	for (i = 0; i < pairs->len; i++) {
		const struct kv_pair *pair = g_ptr_array_index(pairs, i);
		const char *value;

		if (strcmp(pair->key, key) != 0)
			continue;
		*taken = TRUE;
		value = g_bytes_get_data(pair->value, &len);
		if (job->lease && pair->lease == job->lease &&
		    len == strlen(job->entry_id) &&
		    !memcmp(value, job->entry_id, len))
			revision = pair->create_revision;
	}
	g_free(key);
	return revision;
}

void job_shard_apply_claims(struct job *job, const GPtrArray *pairs)
{
	gboolean taken;
	unsigned i;

	for (i = 0; i < JOB_SHARDS; i++) {
		gint64 revision = claim_revision(job, pairs, i, &taken);

		if (job->shards[i].term &&
		    job->shards[i].term != (guint64)revision)
			shard_drop(job, i);
	}
}

static void adopt_claim(struct job *job, unsigned n, guint64 term)
{
	struct shard *shard = &job->shards[n];

	if (shard->term == term)
		return;
	shard->term = term;
	shard->state = SHARD_LOADING;
	shard->load_call = 0;
	shard->load_at = job->now;
	job_fx_log(job, G_LOG_LEVEL_MESSAGE, NULL,
		   "shard %u is claimed, term %" G_GUINT64_FORMAT, n, term);
}

/* Deletes the claim; no transaction of the shard may be in flight. */
static void release_claim(struct job *job, struct kv_txn *txn, unsigned n,
			  gint64 revision)
{
	char *key = job_shard_key(n);

	shard_drop(job, n);
	kv_txn_compare(txn, key, KV_COMPARE_CREATE_REVISION, revision);
	kv_txn_delete(txn, key);
	g_free(key);
}

static void add_claim(struct job *job, struct kv_txn *txn, unsigned n)
{
	char *key = job_shard_key(n);
	GBytes *value = g_bytes_new(job->entry_id, strlen(job->entry_id));

	kv_txn_compare(txn, key, KV_COMPARE_CREATE_REVISION, 0);
	kv_txn_put(txn, key, value, job->lease);
	g_bytes_unref(value);
	g_free(key);
}

static void balance_claims(struct job *job, const GPtrArray *pairs)
{
	gint64 revisions[JOB_SHARDS];
	gboolean taken[JOB_SHARDS];
	struct kv_txn *txn = kv_txn_new();
	unsigned first;
	unsigned share = fair_share(job, &first);
	unsigned owned = 0;
	unsigned i;

	for (i = 0; i < JOB_SHARDS; i++) {
		revisions[i] = claim_revision(job, pairs, i, &taken[i]);
		owned += revisions[i] != 0;
	}
	for (i = 0; i < JOB_SHARDS && owned > share; i++) {
		unsigned n = (first + JOB_SHARDS - 1 - i) % JOB_SHARDS;

		if (!revisions[n] || job->commit_state != COMMIT_IDLE)
			continue;
		release_claim(job, txn, n, revisions[n]);
		revisions[n] = 0;
		owned--;
	}
	for (i = 0; i < JOB_SHARDS; i++)
		if (revisions[i])
			adopt_claim(job, i, (guint64)revisions[i]);
	for (i = 0; i < JOB_SHARDS && owned < share; i++) {
		unsigned n = (first + i) % JOB_SHARDS;

		if (taken[n])
			continue;
		add_claim(job, txn, n);
		owned++;
	}
	if (txn->ops->len)
		job->claims_call = job_fx_txn(job, CALL_CLAIM, txn);
	else
		kv_txn_free(txn);
	job->claims_poll_at = job->now + (owned == share ? CLAIM_POLL_MS
							 : JOB_CLAIM_RETRY_MS);
}

void job_shard_claims_read(struct job *job, const struct job_event *ev)
{
	job->claims_call = 0;
	if (ev->range.status != JOB_KV_OK) {
		job->claims_wanted = TRUE;
		job->claims_not_before = job->now + JOB_KV_RETRY_MS;
		return;
	}
	if (!job->lease || ev->range.revision < job->claims_revision) {
		job->claims_wanted = job->lease != 0;
		return;
	}
	job->claims_revision = ev->range.revision;
	/* Else each event would cause a read until the entries are known. */
	job->claims_poll_at = job->now + JOB_CLAIM_RETRY_MS;
	job_shard_apply_claims(job, ev->range.pairs);
	if (job->entries->len)
		balance_claims(job, ev->range.pairs);
}

/* Claims are adopted only from a read, whatever the outcome is here. */
void job_shard_claim_written(struct job *job, const struct job_event *ev)
{
	job->claims_call = 0;
	job->claims_wanted = TRUE;
	if (ev->txn.status == JOB_KV_CONFLICT)
		job->claims_not_before = job->now +
					 g_rand_int_range(job->random, 0,
							  CLAIM_RACE_MS);
	else if (ev->txn.status != JOB_KV_OK)
		job->claims_not_before = job->now + JOB_KV_RETRY_MS;
}

static void start_load(struct job *job, unsigned n)
{
	char *prefix = g_strdup_printf("radishpier/job/%02u/", n);
	struct store_call *call;

	call = job_fx_range(job, CALL_LOAD, prefix, FALSE, 0,
			    &job->shards[n].load_call);
	call->shard = n;
	call->term = job->shards[n].term;
	call->handle = job->shards[n].load_call;
	g_free(prefix);
}

void job_shard_tick(struct job *job)
{
	unsigned i;

	if (!job->lease)
		return;
	if (!job->claims_call && job->now >= job->claims_not_before &&
	    (job->claims_wanted || job->now >= job->claims_poll_at))
		start_claims_read(job);
	for (i = 0; i < JOB_SHARDS; i++)
		if (job->shards[i].state == SHARD_LOADING &&
		    !job->shards[i].load_call &&
		    job->now >= job->shards[i].load_at)
			start_load(job, i);
}

static void load_record(struct job *job, unsigned n, const struct kv_pair *pair)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(pair->value, &len);
	struct Rp__JobRecord *record = rp__job_record__unpack(NULL, len, data);
	struct job_item *item;

	if (!record || job_shard(record->job_id) != n) {
		job_fx_log(job, G_LOG_LEVEL_CRITICAL, NULL,
			   "%s holds no record of a job of shard %u", pair->key,
			   n);
		job_record_free(record);
		return;
	}
	item = job_item_new(job, record->job_id);
	item->record = record;
	item->mod_revision = pair->mod_revision;
	item->need = job_resources_from_wire(record->resources);
	job_item_changed(job, item);
	if (record->state == RP__JOB_STATE__JOB_STATE_QUEUED &&
	    record->cancel_requested)
		job_item_finish(job, item, RP__JOB_STATE__JOB_STATE_CANCELLED,
				"cancelled");
}

void job_shard_loaded(struct job *job, const struct store_call *call,
		      const struct job_event *ev)
{
	struct shard *shard = &job->shards[call->shard];
	guint i;

	if (shard->term != call->term || shard->state != SHARD_LOADING ||
	    shard->load_call != call->handle)
		return;
	shard->load_call = 0;
	if (ev->range.status != JOB_KV_OK) {
		shard->load_at = job->now + JOB_KV_RETRY_MS;
		return;
	}
	shard->state = SHARD_READY;
	for (i = 0; i < ev->range.pairs->len; i++)
		load_record(job, call->shard,
			    g_ptr_array_index(ev->range.pairs, i));
	job_vm_shard_ready(job, call->shard);
}
