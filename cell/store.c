#include "internal.h"

/*
 * Leadership and records in the platform's service.
 *
 * The leader's key has a lease; its revision at creation is the fence. Each
 * transaction of the leader compares that revision and the revision of the
 * commit key, which it writes with a number of its own. So transactions take
 * effect one after the other, only those of the elected leader, and one whose
 * answer was lost can be sent again or recognised: carried out late, it finds
 * another revision and has no effect.
 *
 * A lease can be revoked without a sign in its renewals. Leadership is
 * therefore proved by reading the key.
 */

#define LEASE_TTL_MS 1800

/** Renewals, and proofs of leadership. */
#define RENEW_MS 400
#define PROOF_MS 500

/**
 * Reads of the leader's key without and with a leader in touch: one that is
 * in touch may have lost the service.
 */
#define LOOK_MS 200
#define LOOK_IDLE_MS 500

/** Between calls after one that failed. */
#define RETRY_MS 60

enum store_state {
	STORE_FOLLOWING,
	STORE_STANDING,
	STORE_LOADING,
	STORE_LEADING,
};

enum watched {
	WATCH_TABLES,
	WATCH_NODES,
	N_WATCHES,
};

struct store_watch {
	struct cell_store *store;
	enum watched what;
	struct kv_watch *watch;
	gboolean reading;
	gboolean read;
	gint64 next_ms;
	gint64 revision;
};

struct cell_store {
	struct event_base *base;
	struct kv *kv;
	char *name;
	char *tables_key;
	struct cell_store_handler handler;
	enum store_state state;
	gint64 now_ms;
	gint64 next_ms;
	/** Names one candidacy, so that its answer can be recognised. */
	char *candidacy;
	gint64 lease;
	/** Revision of the leader's key. */
	gint64 fence;
	/** Of a leader whose process has ended. */
	gint64 ended_fence;
	gint64 commit_revision;
	guint64 commit_number;
	/** The transaction under way, with its conditions. */
	struct kv_txn *txn;
	gboolean txn_sent;
	gint64 txn_next_ms;
	gboolean busy;
	/** The leader's key was absent when last read. */
	gboolean may_stand;
	gint64 renew_ms;
	gboolean proving;
	gint64 prove_ms;
	gint64 prove_sent_ms;
	gboolean resigned;
	/** Counts terms, so that answers of earlier ones are not used. */
	guint term;
	/** Contexts of calls under way; owned. */
	GHashTable *open;
	struct store_watch watches[N_WATCHES];
};

/** Context of a call: the term in which it was sent. */
struct call_ctx {
	struct cell_store *store;
	guint term;
	/** Of a read for a watch. */
	struct store_watch *watch;
};

static struct call_ctx *call_ctx_new(struct cell_store *store)
{
	struct call_ctx *ctx = g_new0(struct call_ctx, 1);

	ctx->store = store;
	ctx->term = store->term;
	g_hash_table_add(store->open, ctx);
	return ctx;
}

/* Ends the call; TRUE if it was sent in an earlier term. */
static gboolean is_stale(struct call_ctx *ctx)
{
	g_hash_table_steal(ctx->store->open, ctx);
	return ctx->term != ctx->store->term;
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
	}
}

static void depose(struct cell_store *store, const char *why)
{
	gboolean won = store->state == STORE_LOADING ||
		       store->state == STORE_LEADING;

	if (store->state == STORE_FOLLOWING)
		return;
	if (won)
		g_message("no longer leader with fence %" G_GINT64_FORMAT
			  ": %s",
			  store->fence, why);
	store->term++;
	store->state = STORE_FOLLOWING;
	store->busy = FALSE;
	store->proving = FALSE;
	store->next_ms = 0;
	store->lease = 0;
	if (store->txn)
		kv_txn_free(store->txn);
	store->txn = NULL;
	store->txn_sent = FALSE;
	stop_watches(store);
	if (won)
		store->handler.on_deposed(store->handler.ctx);
}

static void on_loaded(void *arg, const GPtrArray *pairs,
		      gint64 revision G_GNUC_UNUSED, const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	guint i;

	if (is_stale(ctx))
		return;
	store->busy = FALSE;
	if (error) {
		g_message("records not read: %s", error->message);
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
	g_message("leads with fence %" G_GINT64_FORMAT, store->fence);
	store->handler.on_elected(store->handler.ctx, (guint64)store->fence);
}

/* Jobs sort before their progress, so one read gives them in order. */
static void load(struct cell_store *store)
{
	store->busy = TRUE;
	store->kv->ops->range(store->kv, CELL_RECORDS_PREFIX, FALSE, 0,
			      on_loaded, call_ctx_new(store));
}

static void elected(struct cell_store *store, gint64 fence)
{
	store->fence = fence;
	store->state = STORE_LOADING;
	store->commit_revision = 0;
	store->renew_ms = 0;
	store->prove_ms = store->now_ms + PROOF_MS;
	store->handler.on_won(store->handler.ctx, (guint64)fence);
	load(store);
}

static void on_removed(void *arg, const struct kv_txn_result *result,
		       const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;

	if (is_stale(ctx))
		return;
	store->busy = FALSE;
	store->next_ms = store->now_ms + (error ? RETRY_MS : 0);
	if (result && result->succeeded)
		g_message("removed the key of a leader whose process has "
			  "ended");
}

/* The leader's process has ended: its key need not last until the lease
 * expires. */
static void remove_key(struct cell_store *store, gint64 revision)
{
	struct kv_txn *txn = kv_txn_new();

	store->busy = TRUE;
	kv_txn_compare(txn, CELL_LEADER_KEY, KV_COMPARE_MOD_REVISION, revision);
	kv_txn_delete(txn, CELL_LEADER_KEY);
	store->kv->ops->txn(store->kv, txn, on_removed, call_ctx_new(store));
	kv_txn_free(txn);
}

/* TRUE if the candidacy was made on this VM, which runs one entry at a time. */
static gboolean is_of_this_vm(const struct cell_store *store,
			      const char *candidacy)
{
	size_t len = strlen(store->name);

	return !strncmp(candidacy, store->name, len) && candidacy[len] == ' ';
}

/* Finds out whether a candidacy whose answer was lost has succeeded. */
static void on_leader_read(void *arg, const GPtrArray *pairs,
			   gint64 revision G_GNUC_UNUSED, const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	const struct kv_pair *pair;
	g_autofree char *text = NULL;
	gsize len;

	if (is_stale(ctx))
		return;
	store->busy = FALSE;
	if (error)
		return;
	if (!pairs->len) {
		store->may_stand = TRUE;
		return;
	}
	store->may_stand = FALSE;
	pair = pairs->pdata[0];
	text = g_strndup(g_bytes_get_data(pair->value, &len),
			 g_bytes_get_size(pair->value));
	if (store->resigned)
		return;
	if (store->candidacy && !strcmp(text, store->candidacy) &&
	    pair->lease == store->lease)
		elected(store, pair->mod_revision);
	else if (is_of_this_vm(store, text) ||
		 pair->mod_revision == store->ended_fence)
		remove_key(store, pair->mod_revision);
}

static void look(struct cell_store *store, gboolean in_touch)
{
	store->busy = TRUE;
	store->next_ms = store->now_ms + (in_touch ? LOOK_IDLE_MS : LOOK_MS);
	store->kv->ops->range(store->kv, CELL_LEADER_KEY, TRUE, 0,
			      on_leader_read, call_ctx_new(store));
}

static void on_stood(void *arg, const struct kv_txn_result *result,
		     const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;

	if (is_stale(ctx))
		return;
	store->busy = FALSE;
	if (result && result->succeeded) {
		elected(store, result->revision);
		return;
	}
	/* Refused, or unknown: the key tells who leads. */
	if (error)
		g_message("candidacy: %s", error->message);
	store->state = STORE_FOLLOWING;
	store->may_stand = FALSE;
	store->next_ms = store->now_ms + RETRY_MS;
}

static void on_lease(void *arg, gint64 lease, gint64 ttl_ms G_GNUC_UNUSED,
		     const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	g_autoptr(GBytes) value = NULL;
	struct kv_txn *txn;

	if (is_stale(ctx))
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
	store->kv->ops->txn(store->kv, txn, on_stood, call_ctx_new(store));
	kv_txn_free(txn);
}

static void stand(struct cell_store *store)
{
	store->state = STORE_STANDING;
	store->may_stand = FALSE;
	store->busy = TRUE;
	store->kv->ops->lease_grant(store->kv, LEASE_TTL_MS, on_lease,
				    call_ctx_new(store));
}

static void on_renewed(void *arg, gint64 lease G_GNUC_UNUSED,
		       gint64 ttl_ms G_GNUC_UNUSED, const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;

	if (is_stale(ctx))
		return;
	if (g_error_matches(error, KV_ERROR, KV_ERROR_NO_LEASE))
		depose(store, "its lease has ended");
	else if (error)
		g_info("lease not renewed: %s", error->message);
}

static void on_proof(void *arg, const GPtrArray *pairs,
		     gint64 revision G_GNUC_UNUSED, const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	const struct kv_pair *pair;

	if (is_stale(ctx))
		return;
	store->proving = FALSE;
	if (error) {
		store->prove_ms = store->now_ms + RETRY_MS;
		return;
	}
	pair = pairs->len ? pairs->pdata[0] : NULL;
	if (!pair || pair->mod_revision != store->fence) {
		depose(store, pair ? "another leads" : "its key is gone");
		return;
	}
	store->handler.on_proof(store->handler.ctx, store->prove_sent_ms);
}

static void keep(struct cell_store *store)
{
	/* Sent whether or not the last one was answered: answers get lost. */
	if (store->now_ms >= store->renew_ms) {
		store->renew_ms = store->now_ms + RENEW_MS;
		store->kv->ops->lease_keepalive(store->kv, store->lease,
						on_renewed,
						call_ctx_new(store));
	}
	if (!store->proving && store->now_ms >= store->prove_ms) {
		store->proving = TRUE;
		store->prove_ms = store->now_ms + PROOF_MS;
		store->prove_sent_ms = store->now_ms;
		store->kv->ops->range(store->kv, CELL_LEADER_KEY, TRUE, 0,
				      on_proof, call_ctx_new(store));
	}
}

static char *commit_value(const struct cell_store *store)
{
	return g_strdup_printf("%" G_GINT64_FORMAT " %" G_GUINT64_FORMAT,
			       store->fence, store->commit_number);
}

static void committed(struct cell_store *store, gint64 revision)
{
	kv_txn_free(store->txn);
	store->txn = NULL;
	store->txn_sent = FALSE;
	store->commit_revision = revision;
	store->handler.on_committed(store->handler.ctx);
}

/* The comparisons failed: of an earlier sending of the same, or for good. */
static void on_commit_read(void *arg, const GPtrArray *pairs,
			   gint64 revision G_GNUC_UNUSED, const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	const struct kv_pair *pair;
	g_autofree char *value = NULL;
	gsize len;

	if (is_stale(ctx) || !store->txn)
		return;
	if (error) {
		store->txn_sent = FALSE;
		store->txn_next_ms = store->now_ms + RETRY_MS;
		return;
	}
	value = commit_value(store);
	pair = pairs->len ? pairs->pdata[0] : NULL;
	if (pair) {
		const char *data = g_bytes_get_data(pair->value, &len);

		if (len == strlen(value) && !memcmp(data, value, len)) {
			committed(store, pair->mod_revision);
			return;
		}
	}
	depose(store, "its transaction was refused");
}

static void on_txn(void *arg, const struct kv_txn_result *result,
		   const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;

	if (is_stale(ctx) || !store->txn)
		return;
	if (error) {
		g_info("transaction %" G_GUINT64_FORMAT " is sent again: %s",
		       store->commit_number, error->message);
		store->txn_sent = FALSE;
		store->txn_next_ms = store->now_ms + RETRY_MS;
	} else if (result->succeeded) {
		committed(store, result->revision);
	} else {
		store->kv->ops->range(store->kv, CELL_COMMIT_KEY, TRUE, 0,
				      on_commit_read, call_ctx_new(store));
	}
}

static void send_txn(struct cell_store *store)
{
	if (!store->txn || store->txn_sent ||
	    store->now_ms < store->txn_next_ms)
		return;
	store->txn_sent = TRUE;
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
		       store->fence);
	kv_txn_compare(txn, CELL_COMMIT_KEY, KV_COMPARE_MOD_REVISION,
		       store->commit_revision);
	kv_txn_put(txn, CELL_COMMIT_KEY, value, 0);
	store->txn = txn;
	store->txn_next_ms = 0;
	send_txn(store);
}

static void pass_on(struct store_watch *watch, const struct kv_pair *pair)
{
	struct cell_store *store = watch->store;

	if (watch->what == WATCH_NODES)
		store->handler.on_node(store->handler.ctx,
				       pair->key + strlen(CELL_NODE_PREFIX),
				       pair->value);
	else if (pair->value && !strcmp(pair->key, store->tables_key))
		store->handler.on_tables(store->handler.ctx, pair->value);
}

static void on_watch(void *ctx, const struct kv_pair *pair, const GError *error)
{
	struct store_watch *watch = ctx;

	if (pair) {
		pass_on(watch, pair);
		return;
	}
	g_info("watch is read again: %s", error->message);
	watch->watch = NULL;
	watch->read = FALSE;
	watch->next_ms = watch->store->now_ms + RETRY_MS;
}

static void on_watch_read(void *arg, const GPtrArray *pairs, gint64 revision,
			  const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct store_watch *watch = ctx->watch;
	struct cell_store *store = ctx->store;
	const char *prefix = watch->what == WATCH_NODES ? CELL_NODE_PREFIX
							: store->tables_key;
	guint i;

	if (is_stale(ctx))
		return;
	watch->reading = FALSE;
	if (error) {
		watch->next_ms = store->now_ms + RETRY_MS;
		return;
	}
	watch->read = TRUE;
	for (i = 0; i < pairs->len; i++)
		pass_on(watch, pairs->pdata[i]);
	watch->watch = store->kv->ops->watch(store->kv, prefix, revision,
					     on_watch, watch);
}

static void run_watch(struct store_watch *watch)
{
	struct cell_store *store = watch->store;
	struct call_ctx *ctx;

	if (watch->read || watch->reading || store->now_ms < watch->next_ms)
		return;
	watch->reading = TRUE;
	ctx = call_ctx_new(store);
	ctx->watch = watch;
	store->kv->ops->range(store->kv,
			      watch->what == WATCH_NODES ? CELL_NODE_PREFIX
							 : store->tables_key,
			      watch->what == WATCH_TABLES, 0, on_watch_read,
			      ctx);
}

static void on_node_removed(void *ctx G_GNUC_UNUSED,
			    const struct kv_txn_result *result G_GNUC_UNUSED,
			    const GError *error)
{
	if (error)
		g_info("address of a process not removed: %s", error->message);
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
	store->handler = options->handler;
	store->open = g_hash_table_new_full(NULL, NULL, g_free, NULL);
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
	g_hash_table_unref(store->open);
	g_free(store->candidacy);
	g_free(store->name);
	g_free(store->tables_key);
	g_free(store);
}

static void on_revoked(void *ctx G_GNUC_UNUSED, gint64 lease G_GNUC_UNUSED,
		       gint64 ttl_ms G_GNUC_UNUSED, const GError *error)
{
	if (error)
		g_info("lease not revoked, it will expire: %s", error->message);
}

void cell_store_step_down(struct cell_store *store)
{
	depose(store, "a later leader is in touch");
}

void cell_store_leader_ended(struct cell_store *store, guint64 fence)
{
	store->ended_fence = (gint64)fence;
	store->next_ms = 0;
}

void cell_store_resign(struct cell_store *store)
{
	store->resigned = TRUE;
}

static void finish_resigning(struct cell_store *store)
{
	gint64 lease = store->lease;

	if (store->state < STORE_LOADING || store->txn)
		return;
	depose(store, "it resigned");
	store->kv->ops->lease_revoke(store->kv, lease, on_revoked, NULL);
}

void cell_store_tick(struct cell_store *store, gint64 now_ms, gboolean in_touch)
{
	size_t i;

	store->now_ms = now_ms;
	if (store->resigned)
		finish_resigning(store);
	switch (store->state) {
	case STORE_FOLLOWING:
		if (store->busy || store->resigned)
			break;
		if (store->may_stand)
			stand(store);
		else if (now_ms >= store->next_ms)
			look(store, in_touch);
		break;
	case STORE_STANDING:
		break;
	case STORE_LOADING:
		keep(store);
		if (store->state == STORE_LOADING && !store->busy &&
		    now_ms >= store->next_ms)
			load(store);
		break;
	case STORE_LEADING:
		keep(store);
		if (store->state != STORE_LEADING)
			break;
		send_txn(store);
		for (i = 0; i < N_WATCHES; i++)
			run_watch(&store->watches[i]);
		break;
	}
}
