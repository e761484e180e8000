#include "internal.h"

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

/** Delay after a failed call. */
#define RETRY_MS 60

enum store_state {
	STORE_FOLLOWING,
	/** A lease or the leader's key is being requested. */
	STORE_CAMPAIGNING,
	/** Elected; the records are being read. */
	STORE_LOADING,
	/** Elected, with all records read. */
	STORE_LEADING,
};

/** Keys that the leader watches. */
enum watched {
	WATCH_TABLES,
	WATCH_NODES,
	N_WATCHES,
};

struct store_watch {
	struct cell_store *store;
	enum watched what;
	/** NULL if none is active. */
	struct kv_watch *watch;
	/** The read that precedes the watch is in flight. */
	gboolean reading;
	/** The keys were read, and the watch was started. */
	gboolean read;
	/** The keys are not read before this time. */
	gint64 next_ms;
	/** All changes up to this time of the boot clock were delivered, if no
	 * later time is known to the watch; 0 before the first read. */
	gint64 current_ms;
};

struct cell_store {
	struct event_base *base;
	struct kv *kv;
	char *name;
	char *tables_key;
	/** Watched in place of tables_key; NULL if zones cannot be evacuated.
	 */
	char *watched_prefix;
	struct cell_evacuations *evacuations;
	struct cell_store_handler handler;
	enum store_state state;
	gint64 now_ms;
	/** The leader's key or the records are not read before this time. */
	gint64 next_ms;
	/** Value of the leader's key in the last candidacy; unique, so that a
	 * candidacy without answer can be recognised. */
	char *candidacy;
	/** Store lease of the leader's key; 0 for none. */
	gint64 lease;
	/** Revision at which this process created the leader's key. */
	gint64 fencing_token;
	/** Fencing token of a leader whose process has ended; 0 for none. */
	gint64 ended_token;
	/** Revision and last number of the commit key. */
	gint64 commit_revision;
	guint64 commit_number;
	/** Transaction to be committed, with its conditions; NULL for none. */
	struct kv_txn *txn;
	/** The transaction, or the check of its outcome, is in flight. */
	gboolean txn_sent;
	gint64 txn_next_ms;
	/** How late its answer is, and whether its outcome is being read. */
	struct cell_late late;
	gboolean looking_up;
	/** A call of the election or the read of the records is in flight. */
	gboolean busy;
	/** The leader's key was absent when last read, for long enough. */
	gboolean may_campaign;
	/** Since when the leader's key was absent at each read; 0 if it was
	 * there at the last. */
	gint64 absent_since_ms;
	/** What decides how soon this process seeks to lead. */
	struct cell_candidacy rank;
	/** When a read of the leader's key was last answered. */
	gint64 key_read_ms;
	/** The store refused the last read of the leader's key. */
	gboolean key_read_refused;
	/** Since when the store has refused all answered calls of this leader;
	 * 0 if it did not refuse the last. */
	gint64 refused_since_ms;
	/** Time of the first tick. */
	gint64 started_ms;
	/** Time of the next lease renewal. */
	gint64 renew_ms;
	/** A leadership confirmation is in flight. */
	gboolean confirming;
	/** Time of the next leadership confirmation. */
	gint64 confirm_ms;
	gint64 confirm_sent_ms;
	/** Leadership is given up once no transaction is in flight; it is not
	 * sought again if this process is resigning. */
	gboolean resigning;
	gboolean handing_over;
	/** Counts the calls of depose() that took effect: answers to calls sent
	 * before the last one are ignored. */
	guint depositions;
	/** Contexts of calls in flight; owned. */
	GHashTable *open_calls;
	struct store_watch watches[N_WATCHES];
};

/** Context of a call to the key-value store. */
struct call_ctx {
	struct cell_store *store;
	/** Value of store->depositions when the call was sent. */
	guint depositions;
	gint64 sent_ms;
	/** Of a transaction of the leader, or of a read of its outcome. */
	guint64 commit_number;
	/** The watch that the call reads for, or NULL. */
	struct store_watch *watch;
};

static struct call_ctx *call_ctx_new(struct cell_store *store)
{
	struct call_ctx *ctx = g_new0(struct call_ctx, 1);

	ctx->store = store;
	ctx->depositions = store->depositions;
	ctx->sent_ms = store->now_ms;
	ctx->commit_number = store->commit_number;
	g_hash_table_add(store->open_calls, ctx);
	return ctx;
}

/* Removes the call from those in flight; TRUE if depose() took effect since it
 * was sent, so its answer must be ignored. */
static gboolean end_call(struct call_ctx *ctx)
{
	g_hash_table_steal(ctx->store->open_calls, ctx);
	return ctx->depositions != ctx->store->depositions;
}

/* Notes whether the store refused a call of this leader. A call without an
 * answer tells nothing. */
static void note_refusal(struct cell_store *store, const GError *error)
{
	if (!error)
		store->refused_since_ms = 0;
	else if (g_error_matches(error, KV_ERROR, KV_ERROR_UNAVAILABLE) &&
		 !store->refused_since_ms)
		store->refused_since_ms = store->now_ms;
}

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

static void depose(struct cell_store *store, const char *why)
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
	stop_watches(store);
	if (was_elected)
		store->handler.on_deposed(store->handler.ctx);
}

static void on_loaded(void *arg, const GPtrArray *pairs,
		      gint64 revision G_GNUC_UNUSED, const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	guint i;

	if (end_call(ctx))
		return;
	store->busy = FALSE;
	if (error) {
		g_message("cannot read the records, will retry: %s",
			  error->message);
		store->next_ms = store->now_ms + RETRY_MS;
		return;
	}
	for (i = 0; i < pairs->len; i++) {
		const struct kv_pair *pair = pairs->pdata[i];

		if (!strcmp(pair->key, CELL_COMMIT_KEY))
			store->commit_revision = pair->mod_revision;
		else
			store->handler.on_record(store->handler.ctx, pair->key,
						 pair->value);
	}
	store->state = STORE_LEADING;
	g_message("leads with fencing token %" G_GINT64_FORMAT
		  ", all records are read",
		  store->fencing_token);
	store->handler.on_records_loaded(store->handler.ctx,
					 (guint64)store->fencing_token);
}

/* Keys of jobs sort before those of their progress, so a single read yields
 * each job before its progress. */
static void load_records(struct cell_store *store)
{
	store->busy = TRUE;
	store->kv->ops->range(store->kv, CELL_RECORDS_PREFIX, FALSE, 0,
			      on_loaded, call_ctx_new(store));
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
	load_records(store);
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
		depose(store, "its lease has expired");
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
		depose(store,
		       pair ? "another process leads" : "its key was removed");
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
		depose(store, "the conditions of its transaction failed");
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
static void look_up_txn(struct cell_store *store)
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

static void send_txn(struct cell_store *store)
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
	send_txn(store);
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
	depose(store, "a leader elected later has connected");
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
	depose(store, store->resigning ? "it resigned" : "it handed over");
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
		if (store->state == STORE_LOADING && !store->busy &&
		    now_ms >= store->next_ms)
			load_records(store);
		break;
	case STORE_LEADING:
		maintain_leadership(store);
		if (store->state != STORE_LEADING)
			break;
		send_txn(store);
		look_up_txn(store);
		for (i = 0; i < N_WATCHES; i++)
			read_watched_keys(&store->watches[i]);
		break;
	}
}
