#include "store_internal.h"

/* Transactions of the leader, and their outcome; see store.c. */

static char *commit_value(const struct cell_store *store)
{
	return g_strdup_printf("%" G_GINT64_FORMAT " %" G_GUINT64_FORMAT,
			       store->fencing_token, store->commit_number);
}

static void finish_commit(struct cell_store *store, gint64 revision)
{
	kv_txn_free(store->txn);
	store->txn = NULL;
	store->txn_sent = FALSE;
	cell_late_lost(&store->late);
	store->commit_revision = revision;
	store->handler.on_committed(store->handler.ctx, (guint64)revision);
}

/* TRUE if the call is of the transaction that is to be committed. The outcome
 * of an earlier one may have been looked up before its answer came. */
static gboolean is_of_txn(const struct call_ctx *ctx)
{
	return ctx->store->txn &&
	       ctx->commit_number == ctx->store->commit_number;
}

/* Returns the revision at which the transaction took effect, or 0 if the commit
 * key has the number of another one. */
static gint64 revision_of_txn(const struct cell_store *store,
			      const GPtrArray *pairs)
{
	g_autofree char *value = commit_value(store);
	const struct kv_pair *pair = pairs->len ? pairs->pdata[0] : NULL;
	const char *data;
	gsize len;

	if (!pair)
		return 0;
	data = g_bytes_get_data(pair->value, &len);
	if (len != strlen(value) || memcmp(data, value, len) != 0)
		return 0;
	return pair->mod_revision;
}

/* Checks why the comparisons of the transaction failed: an earlier send of it
 * took effect, or this process is no longer the leader. */
static void on_commit_key_read(void *arg, const GPtrArray *pairs,
			       gint64 revision G_GNUC_UNUSED,
			       const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	gint64 took_effect_at;

	if (end_call(ctx) || !is_of_txn(ctx))
		return;
	if (error) {
		store->txn_sent = FALSE;
		store->txn_next_ms = store->now_ms + RETRY_MS;
		return;
	}
	took_effect_at = revision_of_txn(store, pairs);
	if (took_effect_at)
		finish_commit(store, took_effect_at);
	else
		cell_store_depose(store,
				  "the conditions of its transaction failed");
}

static void on_looked_up(void *arg, const GPtrArray *pairs,
			 gint64 revision G_GNUC_UNUSED, const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	gint64 took_effect_at;

	if (end_call(ctx))
		return;
	store->looking_up = FALSE;
	if (error || !is_of_txn(ctx))
		return;
	/* One that has not taken effect may still do so. */
	took_effect_at = revision_of_txn(store, pairs);
	if (!took_effect_at)
		return;
	g_info("transaction %" G_GUINT64_FORMAT " took effect, its answer is "
	       "%" G_GINT64_FORMAT " ms late",
	       store->commit_number, store->now_ms - store->late.sent_ms);
	finish_commit(store, took_effect_at);
}

/* Looks up the outcome of the transaction if its answer is late. */
void cell_store_look_up_txn(struct cell_store *store)
{
	if (!store->txn || store->looking_up ||
	    !cell_late_take(&store->late, store->now_ms))
		return;
	store->looking_up = TRUE;
	store->kv->ops->range(store->kv, CELL_COMMIT_KEY, TRUE, 0, on_looked_up,
			      call_ctx_new(store));
}

static void on_txn(void *arg, const struct kv_txn_result *result,
		   const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;

	if (end_call(ctx) || !is_of_txn(ctx))
		return;
	note_refusal(store, error);
	if (!error)
		cell_late_answered(&store->late, store->now_ms);
	if (error) {
		g_info("transaction %" G_GUINT64_FORMAT
		       " will be sent again: %s",
		       store->commit_number, error->message);
		store->txn_sent = FALSE;
		store->txn_next_ms = store->now_ms + RETRY_MS;
	} else if (result->succeeded) {
		finish_commit(store, result->revision);
	} else {
		store->kv->ops->range(store->kv, CELL_COMMIT_KEY, TRUE, 0,
				      on_commit_key_read, call_ctx_new(store));
	}
}

void cell_store_send_txn(struct cell_store *store)
{
	if (!store->txn || store->txn_sent ||
	    store->now_ms < store->txn_next_ms)
		return;
	store->txn_sent = TRUE;
	cell_late_sent(&store->late, store->now_ms);
	store->kv->ops->txn(store->kv, store->txn, on_txn, call_ctx_new(store));
}

void cell_store_commit(struct cell_store *store, struct kv_txn *txn)
{
	g_autofree char *text = NULL;
	g_autoptr(GBytes) value = NULL;

	g_assert(store->state == STORE_LEADING && !store->txn);
	store->commit_number++;
	text = commit_value(store);
	value = g_bytes_new(text, strlen(text));
	kv_txn_compare(txn, CELL_LEADER_KEY, KV_COMPARE_MOD_REVISION,
		       store->fencing_token);
	kv_txn_compare(txn, CELL_COMMIT_KEY, KV_COMPARE_MOD_REVISION,
		       store->commit_revision);
	kv_txn_put(txn, CELL_COMMIT_KEY, value, 0);
	store->txn = txn;
	store->txn_next_ms = 0;
	cell_store_send_txn(store);
}
