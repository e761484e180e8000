#include "store_internal.h"

/*
 * Leader election and records in the key-value store.
 *
 * The leader's key has a store lease; the revision at its creation is the
 * fencing token. Each transaction of the leader compares that revision and the
 * revision of the commit key, and writes the commit key with a number of its
 * own. So only transactions of the elected leader take effect, one after the
 * other. One whose answer was lost can be sent again: only the first send to be
 * executed passes the comparison of the commit key, and the number in that key
 * then shows that it took effect.
 *
 * The store may revoke a lease although its renewals still succeed, so
 * leadership is confirmed by reading the key.
 */

/** Lease of the leader's key. */
#define LEASE_TTL_MS 1800

/** Intervals of lease renewals and of leadership confirmations. */
#define RENEW_MS 400
#define CONFIRM_MS 500

/**
 * Intervals of reading the leader's key: without a connected leader, and with
 * one, which may have lost its connection to the store.
 */
#define READ_KEY_MS 200
#define READ_KEY_CONNECTED_MS 500

/** Interval of reading the leader's key by the entry that is named to lead
 * next. */
#define READ_KEY_SUCCESSOR_MS 40

/** Time since the last answered read of the leader's key after which the store
 * counts as unreachable. */
#define REACHABLE_MS 1500

static void stop_watches(struct cell_store *store)
{
	size_t i;

	for (i = 0; i < N_WATCHES; i++) {
		struct store_watch *watch = &store->watches[i];

		if (watch->watch)
			store->kv->ops->watch_cancel(store->kv, watch->watch);
		watch->watch = NULL;
		watch->read = FALSE;
		watch->reading = FALSE;
		watch->next_ms = 0;
		watch->current_ms = 0;
	}
}

void cell_store_depose(struct cell_store *store, const char *why)
{
	gboolean was_elected = store->state == STORE_LOADING ||
			       store->state == STORE_LEADING;

	if (store->state == STORE_FOLLOWING)
		return;
	if (was_elected)
		g_message(
			"no longer leader with fencing token %" G_GINT64_FORMAT
			": %s",
			store->fencing_token, why);
	store->depositions++;
	store->refused_since_ms = 0;
	store->handing_over = FALSE;
	store->absent_since_ms = 0;
	store->state = STORE_FOLLOWING;
	store->busy = FALSE;
	store->confirming = FALSE;
	store->next_ms = 0;
	store->lease = 0;
	if (store->txn)
		kv_txn_free(store->txn);
	store->txn = NULL;
	store->txn_sent = FALSE;
	store->looking_up = FALSE;
	cell_late_lost(&store->late);
	cell_store_stop_reads(store);
	stop_watches(store);
	if (was_elected)
		store->handler.on_deposed(store->handler.ctx);
}

static void become_leader(struct cell_store *store, gint64 fencing_token,
			  gint64 sent_ms)
{
	store->fencing_token = fencing_token;
	store->state = STORE_LOADING;
	store->commit_revision = 0;
	store->renew_ms = 0;
	store->confirm_ms = store->now_ms + CONFIRM_MS;
	store->handler.on_elected(store->handler.ctx, (guint64)fencing_token,
				  sent_ms);
	cell_store_load_records(store);
}

static void on_removed(void *arg, const struct kv_txn_result *result,
		       const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;

	if (end_call(ctx))
		return;
	store->busy = FALSE;
	store->next_ms = store->now_ms + (error ? RETRY_MS : 0);
	if (result && result->succeeded)
		g_message("removed the leader's key of an ended process or of "
			  "an earlier candidacy");
}

/* Removes the leader's key if its writer no longer leads: an ended process, or
 * this one in an earlier candidacy. The election then need not wait until the
 * lease expires. */
static void remove_leader_key(struct cell_store *store, gint64 revision)
{
	struct kv_txn *txn = kv_txn_new();

	store->busy = TRUE;
	kv_txn_compare(txn, CELL_LEADER_KEY, KV_COMPARE_MOD_REVISION, revision);
	kv_txn_delete(txn, CELL_LEADER_KEY);
	store->kv->ops->txn(store->kv, txn, on_removed, call_ctx_new(store));
	kv_txn_free(txn);
}

/* TRUE if the value of the leader's key was written by an entry of this VM. A
 * VM runs one entry at a time, so that is this process or an earlier one. */
static gboolean is_of_this_vm(const struct cell_store *store,
			      const char *candidacy)
{
	size_t len = strlen(store->name);

	return !strncmp(candidacy, store->name, len) && candidacy[len] == ' ';
}

/* Lets this process seek to lead after the delay of its rank. */
static void on_leader_key_absent(struct cell_store *store)
{
	gint64 campaign_ms;

	if (!store->absent_since_ms)
		store->absent_since_ms = store->now_ms;
	campaign_ms = store->absent_since_ms +
		      cell_candidacy_delay_ms(&store->rank);
	store->may_campaign = store->now_ms >= campaign_ms;
	store->next_ms = MIN(store->next_ms, campaign_ms);
}

/* Also detects that a candidacy whose answer was lost has succeeded. */
static void on_leader_key_read(void *arg, const GPtrArray *pairs,
			       gint64 revision G_GNUC_UNUSED,
			       const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	const struct kv_pair *pair;
	g_autofree char *text = NULL;
	gsize len;

	if (end_call(ctx))
		return;
	store->busy = FALSE;
	store->key_read_refused = g_error_matches(error, KV_ERROR,
						  KV_ERROR_UNAVAILABLE);
	if (error)
		return;
	store->key_read_ms = store->now_ms;
	if (!pairs->len) {
		on_leader_key_absent(store);
		return;
	}
	store->may_campaign = FALSE;
	store->absent_since_ms = 0;
	pair = pairs->pdata[0];
	text = g_strndup(g_bytes_get_data(pair->value, &len),
			 g_bytes_get_size(pair->value));
	if (store->resigning)
		return;
	if (store->candidacy && !strcmp(text, store->candidacy) &&
	    pair->lease == store->lease)
		become_leader(store, pair->mod_revision, ctx->sent_ms);
	else if (is_of_this_vm(store, text) ||
		 pair->mod_revision == store->ended_token)
		remove_leader_key(store, pair->mod_revision);
}

static void read_leader_key(struct cell_store *store, gboolean leader_connected)
{
	gint64 interval_ms = READ_KEY_MS;

	if (store->rank.handover == CELL_HANDOVER_TO_THIS)
		interval_ms = READ_KEY_SUCCESSOR_MS;
	else if (leader_connected)
		interval_ms = READ_KEY_CONNECTED_MS;
	store->busy = TRUE;
	store->next_ms = store->now_ms + interval_ms;
	store->kv->ops->range(store->kv, CELL_LEADER_KEY, TRUE, 0,
			      on_leader_key_read, call_ctx_new(store));
}

static void on_candidacy(void *arg, const struct kv_txn_result *result,
			 const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;

	if (end_call(ctx))
		return;
	store->busy = FALSE;
	if (result && result->succeeded) {
		become_leader(store, result->revision, ctx->sent_ms);
		return;
	}
	/* If the outcome is unknown, the next read of the key shows it. */
	if (error)
		g_message("candidacy failed or its outcome is unknown: %s",
			  error->message);
	store->state = STORE_FOLLOWING;
	store->may_campaign = FALSE;
	store->next_ms = store->now_ms + RETRY_MS;
}

static void on_lease(void *arg, gint64 lease, gint64 ttl_ms G_GNUC_UNUSED,
		     const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	g_autoptr(GBytes) value = NULL;
	struct kv_txn *txn;

	if (end_call(ctx))
		return;
	if (error) {
		store->busy = FALSE;
		store->state = STORE_FOLLOWING;
		store->next_ms = store->now_ms + RETRY_MS;
		return;
	}
	store->lease = lease;
	g_free(store->candidacy);
	store->candidacy = g_strdup_printf("%s %08x", store->name,
					   g_random_int());
	value = g_bytes_new(store->candidacy, strlen(store->candidacy));
	txn = kv_txn_new();
	kv_txn_compare(txn, CELL_LEADER_KEY, KV_COMPARE_MOD_REVISION, 0);
	kv_txn_put(txn, CELL_LEADER_KEY, value, lease);
	store->kv->ops->txn(store->kv, txn, on_candidacy, call_ctx_new(store));
	kv_txn_free(txn);
}

/* Requests a lease and then, with it, the leader's key. */
static void campaign(struct cell_store *store)
{
	store->state = STORE_CAMPAIGNING;
	store->may_campaign = FALSE;
	store->busy = TRUE;
	store->kv->ops->lease_grant(store->kv, LEASE_TTL_MS, on_lease,
				    call_ctx_new(store));
}

static void on_renewed(void *arg, gint64 lease G_GNUC_UNUSED,
		       gint64 ttl_ms G_GNUC_UNUSED, const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;

	if (end_call(ctx))
		return;
	note_refusal(store, error);
	if (g_error_matches(error, KV_ERROR, KV_ERROR_NO_LEASE))
		cell_store_depose(store, "its lease has expired");
	else if (error)
		g_info("lease of the leader's key not renewed: %s",
		       error->message);
}

static void on_confirmed(void *arg, const GPtrArray *pairs,
			 gint64 revision G_GNUC_UNUSED, const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	const struct kv_pair *pair;

	if (end_call(ctx))
		return;
	store->confirming = FALSE;
	note_refusal(store, error);
	if (error) {
		store->confirm_ms = store->now_ms + RETRY_MS;
		return;
	}
	pair = pairs->len ? pairs->pdata[0] : NULL;
	if (!pair || pair->mod_revision != store->fencing_token) {
		cell_store_depose(store, pair ? "another process leads"
					      : "its key was removed");
		return;
	}
	store->key_read_ms = store->now_ms;
	store->handler.on_confirmed(store->handler.ctx, store->confirm_sent_ms);
}

/* Renews the lease of the leader's key and confirms leadership, if due. */
static void maintain_leadership(struct cell_store *store)
{
	/* Does not wait for the answer to the last renewal, which may be lost.
	 */
	if (store->now_ms >= store->renew_ms) {
		store->renew_ms = store->now_ms + RENEW_MS;
		store->kv->ops->lease_keepalive(store->kv, store->lease,
						on_renewed,
						call_ctx_new(store));
	}
	if (!store->confirming && store->now_ms >= store->confirm_ms) {
		store->confirming = TRUE;
		store->confirm_ms = store->now_ms + CONFIRM_MS;
		store->confirm_sent_ms = store->now_ms;
		store->kv->ops->range(store->kv, CELL_LEADER_KEY, TRUE, 0,
				      on_confirmed, call_ctx_new(store));
	}
}

static void deliver_change(struct store_watch *watch,
			   const struct kv_pair *pair)
{
	struct cell_store *store = watch->store;

	if (watch->what == WATCH_NODES)
		store->handler.on_node(store->handler.ctx,
				       pair->key + strlen(CELL_NODE_PREFIX),
				       pair->value);
	else if (cell_evacuations_apply(store->evacuations, pair))
		store->handler.on_evacuations(store->handler.ctx);
	else if (pair->value && !strcmp(pair->key, store->tables_key))
		store->handler.on_tables(store->handler.ctx, pair->value);
}

static void on_watch(void *ctx, const struct kv_pair *pair, const GError *error)
{
	struct store_watch *watch = ctx;

	if (pair) {
		deliver_change(watch, pair);
		return;
	}
	g_info("watch ended, its keys will be read again and watched: %s",
	       error->message);
	watch->watch = NULL;
	watch->read = FALSE;
	watch->next_ms = watch->store->now_ms + RETRY_MS;
}

/* Prefix of the watched keys, or the only such key. */
static const char *watched_prefix(const struct store_watch *watch)
{
	const struct cell_store *store = watch->store;

	if (watch->what == WATCH_NODES)
		return CELL_NODE_PREFIX;
	return store->watched_prefix ? store->watched_prefix
				     : store->tables_key;
}

static void on_watch_read(void *arg, const GPtrArray *pairs, gint64 revision,
			  const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct store_watch *watch = ctx->watch;
	struct cell_store *store = ctx->store;
	guint i;

	if (end_call(ctx))
		return;
	watch->reading = FALSE;
	if (error) {
		watch->next_ms = store->now_ms + RETRY_MS;
		return;
	}
	watch->read = TRUE;
	watch->current_ms = ctx->sent_ms;
	if (watch->what == WATCH_TABLES && store->watched_prefix) {
		cell_evacuations_replace(store->evacuations, pairs);
		store->handler.on_evacuations(store->handler.ctx);
	}
	for (i = 0; i < pairs->len; i++)
		deliver_change(watch, pairs->pdata[i]);
	watch->watch = store->kv->ops->watch(store->kv, watched_prefix(watch),
					     revision, on_watch, watch);
}

const GArray *cell_store_evacuations(const struct cell_store *store)
{
	return cell_evacuations_list(store->evacuations);
}

gint64 cell_store_tables_current_ms(const struct cell_store *store)
{
	const struct store_watch *watch = &store->watches[WATCH_TABLES];
	gint64 current_ms = 0;

	if (watch->watch)
		current_ms = store->kv->ops->watch_current_ms(store->kv,
							      watch->watch);
	return MAX(current_ms, watch->current_ms);
}

/* Reads the watched keys, if due; the watch follows the read. */
static void read_watched_keys(struct store_watch *watch)
{
	struct cell_store *store = watch->store;
	struct call_ctx *ctx;

	if (watch->read || watch->reading || store->now_ms < watch->next_ms)
		return;
	watch->reading = TRUE;
	ctx = call_ctx_new(store);
	ctx->watch = watch;
	store->kv->ops->range(store->kv, watched_prefix(watch),
			      watch->what == WATCH_TABLES &&
				      !store->watched_prefix,
			      0, on_watch_read, ctx);
}

static void on_node_removed(void *ctx G_GNUC_UNUSED,
			    const struct kv_txn_result *result G_GNUC_UNUSED,
			    const GError *error)
{
	if (error)
		g_info("address of an unreachable process not removed: %s",
		       error->message);
}

void cell_store_remove_node(struct cell_store *store, const char *name)
{
	g_autofree char *key = g_strconcat(CELL_NODE_PREFIX, name, NULL);
	struct kv_txn *txn = kv_txn_new();

	kv_txn_delete(txn, key);
	store->kv->ops->txn(store->kv, txn, on_node_removed, NULL);
	kv_txn_free(txn);
}

struct cell_store *cell_store_new(const struct cell_store_options *options)
{
	struct cell_store *store = g_new0(struct cell_store, 1);
	size_t i;

	store->base = options->base;
	store->kv = options->kv;
	store->name = g_strdup(options->name);
	store->tables_key = g_strdup(options->tables_key);
	store->watched_prefix = g_strdup(options->watched_prefix);
	store->evacuations = cell_evacuations_new(options->evacuations_prefix);
	store->handler = options->handler;
	store->open_calls = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	for (i = 0; i < N_WATCHES; i++) {
		store->watches[i].store = store;
		store->watches[i].what = (enum watched)i;
	}
	return store;
}

void cell_store_free(struct cell_store *store)
{
	stop_watches(store);
	cell_store_stop_reads(store);
	if (store->txn)
		kv_txn_free(store->txn);
	g_hash_table_unref(store->open_calls);
	g_free(store->candidacy);
	g_free(store->name);
	g_free(store->tables_key);
	g_free(store->watched_prefix);
	cell_evacuations_free(store->evacuations);
	g_free(store);
}

static void on_revoked(void *ctx G_GNUC_UNUSED, gint64 lease G_GNUC_UNUSED,
		       gint64 ttl_ms G_GNUC_UNUSED, const GError *error)
{
	if (error)
		g_info("lease of the leader's key not revoked, it will expire: "
		       "%s",
		       error->message);
}

void cell_store_step_down(struct cell_store *store)
{
	cell_store_depose(store, "a leader elected later has connected");
}

void cell_store_leader_ended(struct cell_store *store, guint64 fencing_token)
{
	store->ended_token = (gint64)fencing_token;
	store->next_ms = 0;
}

void cell_store_resign(struct cell_store *store)
{
	store->resigning = TRUE;
}

void cell_store_hand_over(struct cell_store *store)
{
	store->handing_over = TRUE;
}

void cell_store_set_candidacy(struct cell_store *store,
			      const struct cell_candidacy *candidacy)
{
	gboolean named = candidacy->handover == CELL_HANDOVER_TO_THIS &&
			 store->rank.handover != CELL_HANDOVER_TO_THIS;

	store->rank = *candidacy;
	if (named)
		store->next_ms = 0;
}

gint64 cell_store_refused_ms(const struct cell_store *store)
{
	return store->refused_since_ms ? store->now_ms - store->refused_since_ms
				       : 0;
}

gboolean cell_store_is_reachable(const struct cell_store *store)
{
	return !store->key_read_refused &&
	       store->now_ms < store->key_read_ms + REACHABLE_MS;
}

gint64 cell_store_last_answer_ms(const struct cell_store *store)
{
	return MAX(store->key_read_ms, store->started_ms);
}

static void finish_resigning(struct cell_store *store)
{
	gint64 lease = store->lease;

	if (store->state < STORE_LOADING)
		return;
	/* A transaction that the store refuses will not end here. The next
	 * leader finds in the records whether it took effect. */
	if (store->txn && (store->txn_sent || !store->refused_since_ms))
		return;
	cell_store_depose(store,
			  store->resigning ? "it resigned" : "it handed over");
	store->kv->ops->lease_revoke(store->kv, lease, on_revoked, NULL);
}

void cell_store_tick(struct cell_store *store, gint64 now_ms,
		     gboolean leader_connected)
{
	size_t i;

	store->now_ms = now_ms;
	if (!store->started_ms)
		store->started_ms = now_ms;
	if (store->resigning || store->handing_over)
		finish_resigning(store);
	switch (store->state) {
	case STORE_FOLLOWING:
		if (store->busy || store->resigning)
			break;
		if (store->may_campaign)
			campaign(store);
		else if (now_ms >= store->next_ms)
			read_leader_key(store, leader_connected);
		break;
	case STORE_CAMPAIGNING:
		break;
	case STORE_LOADING:
		maintain_leadership(store);
		if (store->state != STORE_LOADING)
			break;
		if (store->job_id)
			cell_store_send_job_read(store);
		else if (!store->busy && now_ms >= store->next_ms)
			cell_store_load_records(store);
		break;
	case STORE_LEADING:
		maintain_leadership(store);
		if (store->state != STORE_LEADING)
			break;
		cell_store_send_txn(store);
		cell_store_look_up_txn(store);
		cell_store_send_job_read(store);
		for (i = 0; i < N_WATCHES; i++)
			read_watched_keys(&store->watches[i]);
		break;
	}
}
