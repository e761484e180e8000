#ifndef CELL_FAKE_KV_TEST_H
#define CELL_FAKE_KV_TEST_H

#include <event2/event.h>
#include <string.h>

#include "../kv/kv.h"
#include "../net/net.h"

/*
 * In-memory key-value store for one event loop. Calls are executed at once and
 * answered after delay_ms; answers to transactions can be lost, and the store
 * can be made unavailable.
 */

struct fake_item {
	GBytes *value;
	gint64 revision;
	gint64 lease;
};

struct fake_kv {
	struct kv kv;
	struct event_base *base;
	/** key to struct fake_item; shared by all clients. */
	GHashTable *items;
	gint64 revision;
	gint64 next_lease;
	/** Ids of the leases that exist; leases don't expire. */
	GHashTable *leases;
	int delay_ms;
	/** Added to the delay of answers to transactions. */
	int txn_delay_ms;
	/** Reads of this key are answered as late as transactions, so that they
	 * don't show the outcome of one earlier; NULL for none. */
	const char *late_key;
	/** Number of next transactions that are executed, but fail with
	 * KV_ERROR_UNKNOWN as if their answer was lost. */
	int lose_txns;
	/** Maximum number of keys in a page; 0 for no bound. */
	guint page_keys;
	/** Pages that were read. */
	guint pages;
	/** Transactions are not executed, and each call fails with
	 * KV_ERROR_UNKNOWN as if it got no answer. */
	gboolean down;
	/** Calls being made are refused with KV_ERROR_UNAVAILABLE and have no
	 * effect; see struct fake_client. */
	gboolean refusing;
	/** Since this time of the boot clock watches report no changes; 0: they
	 * do. */
	gint64 watches_silent_ms;
	/** struct kv_watch. */
	GQueue watches;
	/** struct fake_call in flight. */
	GQueue open_calls;
	/** Not counted; always 0. */
	struct kv_calls calls;
};

struct kv_watch {
	struct fake_kv *fake;
	char *prefix;
	kv_watch_fn fn;
	void *ctx;
};

/** A call that is not answered yet. */
struct fake_call {
	struct fake_kv *fake;
	struct event *timer;
	/** The callback of the call's kind; the others are NULL. */
	kv_txn_fn txn_fn;
	kv_range_fn range_fn;
	kv_page_fn page_fn;
	kv_lease_fn lease_fn;
	void *ctx;
	/** Answered with KV_ERROR_UNKNOWN. */
	gboolean lost;
	/** Answered with KV_ERROR_UNAVAILABLE. */
	gboolean refused;
	gboolean succeeded;
	gint64 revision;
	gint64 lease;
	gboolean no_lease;
	gboolean more;
	GPtrArray *pairs;
};

static inline void fake_free_item(gpointer data)
{
	struct fake_item *item = data;

	g_bytes_unref(item->value);
	g_free(item);
}

static inline void fake_free_pair(gpointer data)
{
	kv_pair_free(data);
}

static inline struct kv_pair *fake_pair_new(const char *key,
					    const struct fake_item *item)
{
	struct kv_pair *pair = g_new0(struct kv_pair, 1);

	pair->key = g_strdup(key);
	if (item) {
		pair->value = g_bytes_ref(item->value);
		pair->mod_revision = item->revision;
		pair->lease = item->lease;
	}
	return pair;
}

static inline void fake_notify(struct fake_kv *fake, const char *key)
{
	struct kv_pair *pair =
		fake_pair_new(key, g_hash_table_lookup(fake->items, key));
	GList *link;

	for (link = fake->watches.head; link && !fake->watches_silent_ms;
	     link = link->next) {
		struct kv_watch *watch = link->data;

		if (g_str_has_prefix(key, watch->prefix))
			watch->fn(watch->ctx, pair, NULL);
	}
	kv_pair_free(pair);
}

static inline void fake_put(struct fake_kv *fake, const char *key,
			    GBytes *value, gint64 lease)
{
	struct fake_item *item = g_new0(struct fake_item, 1);

	item->value = g_bytes_ref(value);
	item->revision = fake->revision;
	item->lease = lease;
	g_hash_table_insert(fake->items, g_strdup(key), item);
	fake_notify(fake, key);
}

static inline void fake_remove(struct fake_kv *fake, const char *key)
{
	if (g_hash_table_remove(fake->items, key))
		fake_notify(fake, key);
}

static inline void fake_free_call(struct fake_call *call)
{
	g_queue_remove(&call->fake->open_calls, call);
	if (call->pairs)
		g_ptr_array_unref(call->pairs);
	event_free(call->timer);
	g_free(call);
}

static inline void fake_answer(evutil_socket_t fd G_GNUC_UNUSED,
			       short what G_GNUC_UNUSED, void *arg)
{
	struct fake_call *call = arg;
	g_autoptr(GError) error = NULL;
	struct kv_txn_result result = {
		.succeeded = call->succeeded,
		.revision = call->revision,
	};

	if (call->refused)
		error = g_error_new(KV_ERROR, KV_ERROR_UNAVAILABLE, "refused");
	else if (call->lost)
		error = g_error_new(KV_ERROR, KV_ERROR_UNKNOWN, "no answer");
	else if (call->no_lease)
		error = g_error_new(KV_ERROR, KV_ERROR_NO_LEASE, "no lease");
	if (call->txn_fn)
		call->txn_fn(call->ctx, error ? NULL : &result, error);
	else if (call->page_fn)
		call->page_fn(call->ctx, error ? NULL : call->pairs, call->more,
			      error);
	else if (call->range_fn)
		call->range_fn(call->ctx, error ? NULL : call->pairs,
			       call->revision, error);
	else
		call->lease_fn(call->ctx, call->lease, error ? 0 : 1000, error);
	fake_free_call(call);
}

static inline struct fake_call *fake_call_new_delayed(struct fake_kv *fake,
						      void *ctx, int delay_ms)
{
	struct fake_call *call = g_new0(struct fake_call, 1);
	struct timeval delay = { .tv_sec = delay_ms / 1000,
				 .tv_usec = delay_ms % 1000 * 1000 };

	call->fake = fake;
	call->ctx = ctx;
	g_queue_push_tail(&fake->open_calls, call);
	call->lost = fake->down;
	call->refused = fake->refusing;
	call->timer = evtimer_new(fake->base, fake_answer, call);
	evtimer_add(call->timer, &delay);
	return call;
}

static inline struct fake_call *fake_call_new(struct fake_kv *fake, void *ctx)
{
	return fake_call_new_delayed(fake, ctx, fake->delay_ms);
}

static inline gint64 fake_revision_of(struct fake_kv *fake, const char *key)
{
	const struct fake_item *item = g_hash_table_lookup(fake->items, key);

	return item ? item->revision : 0;
}

static inline gboolean fake_compares_hold(struct fake_kv *fake,
					  const struct kv_txn *txn)
{
	guint i;

	for (i = 0; i < txn->compares->len; i++) {
		const struct kv_compare *c =
			&g_array_index(txn->compares, struct kv_compare, i);

		if (fake_revision_of(fake, c->key) != c->revision)
			return FALSE;
	}
	return TRUE;
}

static inline void fake_txn(struct kv *kv, const struct kv_txn *txn,
			    kv_txn_fn fn, void *ctx)
{
	struct fake_kv *fake = (struct fake_kv *)kv;
	struct fake_call *call = fake_call_new_delayed(
		fake, ctx, fake->delay_ms + fake->txn_delay_ms);
	guint i;

	call->txn_fn = fn;
	if (fake->down || fake->refusing)
		return;
	call->succeeded = fake_compares_hold(fake, txn);
	if (call->succeeded) {
		fake->revision++;
		for (i = 0; i < txn->ops->len; i++) {
			const struct kv_op *op =
				&g_array_index(txn->ops, struct kv_op, i);

			if (op->kind == KV_OP_PUT)
				fake_put(fake, op->key, op->value, op->lease);
			else
				fake_remove(fake, op->key);
		}
	}
	call->revision = fake->revision;
	if (fake->lose_txns > 0) {
		fake->lose_txns--;
		call->lost = TRUE;
	}
}

static inline void fake_range(struct kv *kv, const char *prefix, gboolean exact,
			      gint64 min_revision G_GNUC_UNUSED, kv_range_fn fn,
			      void *ctx)
{
	struct fake_kv *fake = (struct fake_kv *)kv;
	gboolean is_late = fake->late_key && !strcmp(prefix, fake->late_key);
	struct fake_call *call = fake_call_new_delayed(
		fake, ctx, fake->delay_ms + (is_late ? fake->txn_delay_ms : 0));
	g_autoptr(GList) keys = g_list_sort(g_hash_table_get_keys(fake->items),
					    (GCompareFunc)strcmp);
	GList *k;

	call->range_fn = fn;
	call->revision = fake->revision;
	call->pairs = g_ptr_array_new_with_free_func(fake_free_pair);
	for (k = keys; k; k = k->next)
		if (exact ? !strcmp(k->data, prefix)
			  : g_str_has_prefix(k->data, prefix))
			g_ptr_array_add(
				call->pairs,
				fake_pair_new(k->data,
					      g_hash_table_lookup(fake->items,
								  k->data)));
}

static inline void fake_range_page(struct kv *kv, const char *prefix,
				   const char *after, kv_page_fn fn, void *ctx)
{
	struct fake_kv *fake = (struct fake_kv *)kv;
	struct fake_call *call = fake_call_new(fake, ctx);
	g_autoptr(GList) keys = g_list_sort(g_hash_table_get_keys(fake->items),
					    (GCompareFunc)strcmp);
	GList *k;

	fake->pages++;
	call->page_fn = fn;
	call->pairs = g_ptr_array_new_with_free_func(fake_free_pair);
	for (k = keys; k && !call->more; k = k->next) {
		if (!g_str_has_prefix(k->data, prefix) ||
		    (after && strcmp(k->data, after) <= 0))
			continue;
		if (fake->page_keys && call->pairs->len == fake->page_keys)
			call->more = TRUE;
		else
			g_ptr_array_add(
				call->pairs,
				fake_pair_new(k->data,
					      g_hash_table_lookup(fake->items,
								  k->data)));
	}
}

static inline void fake_lease_grant(struct kv *kv, gint64 ttl_ms G_GNUC_UNUSED,
				    kv_lease_fn fn, void *ctx)
{
	struct fake_kv *fake = (struct fake_kv *)kv;
	struct fake_call *call = fake_call_new(fake, ctx);

	call->lease_fn = fn;
	call->lease = ++fake->next_lease;
	g_hash_table_add(fake->leases, GINT_TO_POINTER((int)call->lease));
}

static inline void fake_lease_keepalive(struct kv *kv, gint64 lease,
					kv_lease_fn fn, void *ctx)
{
	struct fake_kv *fake = (struct fake_kv *)kv;
	struct fake_call *call = fake_call_new(fake, ctx);

	call->lease_fn = fn;
	call->lease = lease;
	call->no_lease = !g_hash_table_contains(fake->leases,
						GINT_TO_POINTER((int)lease));
}

static inline void fake_lease_revoke(struct kv *kv, gint64 lease,
				     kv_lease_fn fn, void *ctx)
{
	struct fake_kv *fake = (struct fake_kv *)kv;
	struct fake_call *call = fake_call_new(fake, ctx);
	g_autoptr(GList) keys = g_hash_table_get_keys(fake->items);
	GList *k;

	call->lease_fn = fn;
	call->lease = lease;
	if (fake->refusing)
		return;
	g_hash_table_remove(fake->leases, GINT_TO_POINTER((int)lease));
	fake->revision++;
	for (k = keys; k; k = k->next) {
		struct fake_item *item = g_hash_table_lookup(fake->items,
							     k->data);
		g_autofree char *key = g_strdup(k->data);

		if (item && item->lease == lease)
			fake_remove(fake, key);
	}
}

static inline struct kv_watch *fake_watch(struct kv *kv, const char *prefix,
					  gint64 revision G_GNUC_UNUSED,
					  kv_watch_fn fn, void *ctx)
{
	struct fake_kv *fake = (struct fake_kv *)kv;
	struct kv_watch *watch = g_new0(struct kv_watch, 1);

	watch->fake = fake;
	watch->prefix = g_strdup(prefix);
	watch->fn = fn;
	watch->ctx = ctx;
	g_queue_push_tail(&fake->watches, watch);
	return watch;
}

static inline void fake_watch_cancel(struct kv *kv G_GNUC_UNUSED,
				     struct kv_watch *watch)
{
	g_queue_remove(&watch->fake->watches, watch);
	g_free(watch->prefix);
	g_free(watch);
}

/* Ends all watches, as after a loss of history. */
static inline void fake_end_watches(struct fake_kv *fake)
{
	g_autoptr(GError) error = g_error_new(KV_ERROR, KV_ERROR_PROTOCOL,
					      "history is lost");
	struct kv_watch *watch;

	while ((watch = g_queue_pop_head(&fake->watches))) {
		watch->fn(watch->ctx, NULL, error);
		g_free(watch->prefix);
		g_free(watch);
	}
}

static inline gint64
fake_watch_current_ms(const struct kv *kv,
		      const struct kv_watch *watch G_GNUC_UNUSED)
{
	const struct fake_kv *fake = (const struct fake_kv *)kv;

	return fake->watches_silent_ms ? fake->watches_silent_ms : net_now_ms();
}

static inline const struct kv_calls *fake_calls(struct kv *kv)
{
	return &((struct fake_kv *)kv)->calls;
}

static inline void fake_init(struct fake_kv *fake, struct event_base *base)
{
	static const struct kv_ops ops = {
		.txn = fake_txn,
		.range = fake_range,
		.range_page = fake_range_page,
		.lease_grant = fake_lease_grant,
		.lease_keepalive = fake_lease_keepalive,
		.lease_revoke = fake_lease_revoke,
		.watch = fake_watch,
		.watch_cancel = fake_watch_cancel,
		.watch_current_ms = fake_watch_current_ms,
		.calls = fake_calls,
	};

	memset(fake, 0, sizeof(*fake));
	fake->kv.ops = &ops;
	fake->base = base;
	fake->revision = 1;
	fake->delay_ms = 1;
	fake->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    fake_free_item);
	fake->leases = g_hash_table_new(NULL, NULL);
	g_queue_init(&fake->watches);
	g_queue_init(&fake->open_calls);
}

/** A client of the store whose calls can be refused while those of others are
 * served. */
struct fake_client {
	struct kv kv;
	struct fake_kv *fake;
	gboolean refused;
};

static inline struct fake_kv *client_begin(struct kv *kv)
{
	struct fake_client *client = (struct fake_client *)kv;

	client->fake->refusing = client->refused;
	return client->fake;
}

static inline void client_txn(struct kv *kv, const struct kv_txn *txn,
			      kv_txn_fn fn, void *ctx)
{
	struct fake_kv *fake = client_begin(kv);

	fake_txn(&fake->kv, txn, fn, ctx);
	fake->refusing = FALSE;
}

static inline void client_range(struct kv *kv, const char *prefix,
				gboolean exact, gint64 min_revision,
				kv_range_fn fn, void *ctx)
{
	struct fake_kv *fake = client_begin(kv);

	fake_range(&fake->kv, prefix, exact, min_revision, fn, ctx);
	fake->refusing = FALSE;
}

static inline void client_range_page(struct kv *kv, const char *prefix,
				     const char *after, kv_page_fn fn,
				     void *ctx)
{
	struct fake_kv *fake = client_begin(kv);

	fake_range_page(&fake->kv, prefix, after, fn, ctx);
	fake->refusing = FALSE;
}

static inline void client_lease_grant(struct kv *kv, gint64 ttl_ms,
				      kv_lease_fn fn, void *ctx)
{
	struct fake_kv *fake = client_begin(kv);

	fake_lease_grant(&fake->kv, ttl_ms, fn, ctx);
	fake->refusing = FALSE;
}

static inline void client_lease_keepalive(struct kv *kv, gint64 lease,
					  kv_lease_fn fn, void *ctx)
{
	struct fake_kv *fake = client_begin(kv);

	fake_lease_keepalive(&fake->kv, lease, fn, ctx);
	fake->refusing = FALSE;
}

static inline void client_lease_revoke(struct kv *kv, gint64 lease,
				       kv_lease_fn fn, void *ctx)
{
	struct fake_kv *fake = client_begin(kv);

	fake_lease_revoke(&fake->kv, lease, fn, ctx);
	fake->refusing = FALSE;
}

static inline struct kv_watch *client_watch(struct kv *kv, const char *prefix,
					    gint64 revision, kv_watch_fn fn,
					    void *ctx)
{
	return fake_watch(&((struct fake_client *)kv)->fake->kv, prefix,
			  revision, fn, ctx);
}

static inline gint64 client_watch_current_ms(const struct kv *kv,
					     const struct kv_watch *watch)
{
	return fake_watch_current_ms(
		&((const struct fake_client *)kv)->fake->kv, watch);
}

static inline const struct kv_calls *client_calls(struct kv *kv)
{
	return fake_calls(&((struct fake_client *)kv)->fake->kv);
}

static inline void client_init(struct fake_client *client, struct fake_kv *fake)
{
	static const struct kv_ops ops = {
		.txn = client_txn,
		.range = client_range,
		.range_page = client_range_page,
		.lease_grant = client_lease_grant,
		.lease_keepalive = client_lease_keepalive,
		.lease_revoke = client_lease_revoke,
		.watch = client_watch,
		.watch_cancel = fake_watch_cancel,
		.watch_current_ms = client_watch_current_ms,
		.calls = client_calls,
	};

	client->kv.ops = &ops;
	client->fake = fake;
	client->refused = FALSE;
}

static inline void fake_clear(struct fake_kv *fake)
{
	while (fake->open_calls.head)
		fake_free_call(fake->open_calls.head->data);
	g_hash_table_unref(fake->items);
	g_hash_table_unref(fake->leases);
}

#endif
