#include "srv.h"

#include <jansson.h>
#include <string.h>

#include "../evac/evac.h"

#define LEASE_TTL_MS 10000
/** Interval of keep-alives; three fit into the TTL. */
#define LEASE_KEEPALIVE_MS 3000
#define BACKOFF_MAX_MS 5000

#define ENTRY_PREFIX "radishpier/entry/"
#define TABLES_KEY "radishpier/tables"

/** Keys that are read by a range and then kept current by a watch. */
struct watched {
	struct srv_store *store;
	const char *prefix;
	gboolean exact;
	/** Applies one key; pair->value is NULL for a deletion. */
	void (*on_pair)(struct srv_store *store, const struct kv_pair *pair);
	/** Called before the pairs of a range are applied; may be NULL. */
	void (*on_reset)(struct srv_store *store);
	/** Called after a range or a change was applied; may be NULL. */
	void (*on_changed)(struct srv_store *store);
	/** Called when the watch or a range failed; may be NULL. */
	void (*on_failed)(struct srv_store *store);
	/** NULL while the keys are not watched. */
	struct kv_watch *watch;
	/** A range is in flight. */
	gboolean reading;
	/** The answer of the range in flight may be stale: read again. */
	gboolean reread;
	unsigned failures;
	gint64 retry_ms;
};

struct srv_store {
	struct srv *srv;
	struct kv *kv;
	struct srv_claims *claims;
	struct watched entries;
	struct watched tables;
	struct watched evacuations;
	/** The range in progress has the document of the evacuations. */
	gboolean evacuations_found;
	/** The evacuations may be out of date, which was logged. */
	gboolean evacuations_lost;
	/** Entry id -> agent address, for all registered entries. */
	GTree *registered;
	/** A lease grant or keep-alive is in flight. */
	gboolean lease_call_in_flight;
	gint64 lease_call_sent_ms;
	/** Lease that the keep-alive in flight renews; 0 for a grant. */
	gint64 lease_call_lease;
	gint64 next_lease_call_ms;
	unsigned lease_failures;
	/** The write of the registration is in flight. */
	gboolean registering;
	gboolean is_registered;
	gint64 next_register_ms;
	unsigned register_failures;
	/** The lease is being given up at the end of a drain. */
	gboolean releasing;
	/** What was read may be stale; the next tick reads it again. */
	gboolean reread_due;
};

struct srv_claims *srv_store_claims(const struct srv_store *store)
{
	return store->claims;
}

const struct kv_calls *srv_store_calls(const struct srv_store *store)
{
	return store->kv->ops->calls(store->kv);
}

/* Lease */

static void report_lease(struct srv_store *store)
{
	struct job_event ev = { .kind = JOB_EV_LEASE };

	ev.lease.lease = store->srv->lease;
	srv_dispatch_job(store->srv, &ev);
}

static void ignore_revoke(void *ctx, gint64 lease, gint64 ttl_ms,
			  const GError *error)
{
	(void)ctx;
	(void)lease;
	(void)ttl_ms;
	(void)error;
}

void srv_store_lease_lost(struct srv_store *store, const char *why)
{
	struct srv *srv = store->srv;
	gint64 lease = srv->lease;

	if (!lease)
		return;
	srv_log(G_LOG_LEVEL_WARNING, "lease %" G_GINT64_FORMAT " lost: %s",
		lease, why);
	srv->lease = 0;
	srv->lease_deadline_ms = 0;
	store->is_registered = FALSE;
	store->next_lease_call_ms = 0;
	obs_count(srv->metrics, "radishpier_leases_lost_total", NULL, 1);
	report_lease(store);
	/* Deletes the lease's keys at once if the store still has it. */
	store->kv->ops->lease_revoke(store->kv, lease, ignore_revoke, NULL);
}

static void on_lease(void *ctx, gint64 lease, gint64 ttl_ms,
		     const GError *error)
{
	struct srv_store *store = ctx;
	struct srv *srv = store->srv;
	gint64 now_ms = net_now_ms();
	gboolean is_grant = !store->lease_call_lease;

	store->lease_call_in_flight = FALSE;
	if (error) {
		store->next_lease_call_ms =
			now_ms + srv_backoff_ms(srv, store->lease_failures++,
						LEASE_KEEPALIVE_MS);
		if (g_error_matches(error, KV_ERROR, KV_ERROR_NO_LEASE) &&
		    store->lease_call_lease == srv->lease)
			srv_store_lease_lost(store, error->message);
		return;
	}
	store->lease_failures = 0;
	store->next_lease_call_ms = store->lease_call_sent_ms +
				    LEASE_KEEPALIVE_MS;
	if (store->releasing) {
		if (is_grant)
			store->kv->ops->lease_revoke(store->kv, lease,
						     ignore_revoke, NULL);
		return;
	}
	/* The lease was lost while its keep-alive was in flight. */
	if (!is_grant && store->lease_call_lease != srv->lease)
		return;
	/*
	 * The store starts the TTL when it handles the call, so counting from
	 * the time of sending is conservative.
	 */
	srv->lease_deadline_ms = store->lease_call_sent_ms +
				 MIN(ttl_ms, (gint64)LEASE_TTL_MS);
	if (!is_grant)
		return;
	srv->lease = lease;
	srv_log(G_LOG_LEVEL_INFO, "lease %" G_GINT64_FORMAT " granted", lease);
	store->is_registered = FALSE;
	store->next_register_ms = 0;
	report_lease(store);
}

static void call_lease(struct srv_store *store, gint64 now_ms)
{
	struct kv *kv = store->kv;

	store->lease_call_in_flight = TRUE;
	store->lease_call_sent_ms = now_ms;
	store->lease_call_lease = store->srv->lease;
	if (store->srv->lease)
		kv->ops->lease_keepalive(kv, store->srv->lease, on_lease,
					 store);
	else
		kv->ops->lease_grant(kv, LEASE_TTL_MS, on_lease, store);
}

/* Registration */

static void on_registered(void *ctx, const struct kv_txn_result *result,
			  const GError *error)
{
	struct srv_store *store = ctx;

	store->registering = FALSE;
	if (result) {
		store->is_registered = TRUE;
		store->register_failures = 0;
		return;
	}
	srv_log(G_LOG_LEVEL_WARNING, "cannot register: %s", error->message);
	store->next_register_ms = net_now_ms() +
				  srv_backoff_ms(store->srv,
						 store->register_failures++,
						 BACKOFF_MAX_MS);
}

/* Returns the JSON by which other entries and operators find this entry. */
static GBytes *registration_value(const struct cfg_entry *settings)
{
	json_t *root = json_object();
	char *text;

	json_object_set_new(root, "id", json_string(settings->id));
	json_object_set_new(root, "zone", json_string(settings->zone));
	json_object_set_new(root, "agent_address",
			    json_string(settings->agent_address));
	json_object_set_new(root, "operator_address",
			    json_string(settings->operator_address));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	/* jansson allocates with malloc(), as GLib does. */
	return g_bytes_new_take(text, text ? strlen(text) : 0);
}

static void call_register(struct srv_store *store)
{
	struct srv *srv = store->srv;
	struct kv_txn *txn = kv_txn_new();
	char *key = g_strconcat(ENTRY_PREFIX, srv->settings->id, NULL);
	GBytes *value = registration_value(srv->settings);

	store->registering = TRUE;
	kv_txn_put(txn, key, value, srv->lease);
	store->kv->ops->txn(store->kv, txn, on_registered, store);
	kv_txn_free(txn);
	g_bytes_unref(value);
	g_free(key);
}

/* Registered entries and configuration tables */

static void entries_reset(struct srv_store *store)
{
	g_tree_remove_all(store->registered);
}

static void entries_apply(struct srv_store *store, const struct kv_pair *pair)
{
	const char *id = pair->key + strlen(ENTRY_PREFIX);
	const char *address;
	gsize len;
	const char *data;
	json_t *root;

	if (!pair->value) {
		g_tree_remove(store->registered, id);
		return;
	}
	data = g_bytes_get_data(pair->value, &len);
	root = json_loadb(len ? data : "", len, 0, NULL);
	address = json_string_value(json_object_get(root, "agent_address"));
	if (address)
		g_tree_insert(store->registered, g_strdup(id),
			      g_strdup(address));
	else
		srv_log(G_LOG_LEVEL_WARNING,
			"%s: expected JSON with a string agent_address",
			pair->key);
	json_decref(root);
}

static gboolean collect_entry(void *key, void *value, void *data)
{
	GPtrArray **lists = data;

	g_ptr_array_add(lists[0], key);
	g_ptr_array_add(lists[1], value);
	return FALSE;
}

static void entries_report(struct srv_store *store)
{
	struct srv *srv = store->srv;
	struct ent_event ev = { .kind = ENT_EV_ENTRIES };
	GPtrArray *lists[2] = { g_ptr_array_new(), g_ptr_array_new() };

	g_tree_foreach(store->registered, collect_entry, lists);
	ev.entries.ids = (const char *const *)lists[0]->pdata;
	ev.entries.addresses = (const char *const *)lists[1]->pdata;
	ev.entries.n = lists[0]->len;
	srv_conns_set_entries(srv->conns, ev.entries.ids, ev.entries.addresses,
			      ev.entries.n);
	srv_dispatch(srv, &ev);
	g_ptr_array_unref(lists[0]);
	g_ptr_array_unref(lists[1]);
}

static void tables_apply(struct srv_store *store, const struct kv_pair *pair)
{
	struct ent_event ev = { .kind = ENT_EV_TABLES };
	gsize len;

	/* The watch also delivers longer keys that begin with TABLES_KEY. */
	if (strcmp(pair->key, TABLES_KEY))
		return;
	if (!pair->value) {
		srv_log(G_LOG_LEVEL_WARNING,
			"the tables were deleted from the platform's service; "
			"those in force are kept");
		return;
	}
	ev.tables.data = g_bytes_get_data(pair->value, &len);
	ev.tables.len = len;
	srv_dispatch(store->srv, &ev);
}

static void evacuations_reset(struct srv_store *store)
{
	store->evacuations_found = FALSE;
}

static void evacuations_apply(struct srv_store *store,
			      const struct kv_pair *pair)
{
	struct ent_event ev = { .kind = ENT_EV_EVACUATIONS };
	gsize len;

	/* The watch also delivers longer keys that begin with EVAC_KEY. */
	if (strcmp(pair->key, EVAC_KEY))
		return;
	store->evacuations_found = TRUE;
	if (pair->value) {
		ev.evacuations.data = g_bytes_get_data(pair->value, &len);
		ev.evacuations.len = len;
	}
	srv_dispatch(store->srv, &ev);
}

/* Reports that there is no document, and that the watch is in order again. */
static void evacuations_changed(struct srv_store *store)
{
	struct ent_event ev = { .kind = ENT_EV_EVACUATIONS };
	gint64 age_ms = ent_evacuations_age_ms(store->srv->ent);

	if (!store->evacuations_found)
		srv_dispatch(store->srv, &ev);
	store->evacuations_found = TRUE;
	if (store->evacuations_lost)
		srv_log(G_LOG_LEVEL_MESSAGE,
			"the evacuated zones were read again, %" G_GINT64_FORMAT
			" ms after they were last known to be current",
			age_ms);
	store->evacuations_lost = FALSE;
}

static void evacuations_failed(struct srv_store *store)
{
	const struct evac *evac = ent_evacuations(store->srv->ent);

	if (store->evacuations_lost)
		return;
	store->evacuations_lost = TRUE;
	if (evac)
		srv_log(G_LOG_LEVEL_WARNING,
			"evacuations of generation %" G_GUINT64_FORMAT
			" remain in force; they were last known to be current "
			"%" G_GINT64_FORMAT " ms ago",
			evac->generation,
			ent_evacuations_age_ms(store->srv->ent));
	else
		srv_log(G_LOG_LEVEL_WARNING,
			"the evacuated zones are not known yet, so requests "
			"are refused");
}

gboolean srv_store_evacuations_current(const struct srv_store *store)
{
	return store->evacuations.watch && !store->reread_due;
}

static void watched_failed(struct watched *watched, const GError *error)
{
	struct srv *srv = watched->store->srv;

	srv_log(G_LOG_LEVEL_WARNING, "%s: %s", watched->prefix, error->message);
	watched->retry_ms = net_now_ms() + srv_backoff_ms(srv,
							  watched->failures++,
							  BACKOFF_MAX_MS);
	if (watched->on_failed)
		watched->on_failed(watched->store);
}

static void on_watch_change(void *ctx, const struct kv_pair *pair,
			    const GError *error)
{
	struct watched *watched = ctx;

	if (!pair) {
		watched->watch = NULL;
		watched_failed(watched, error);
		return;
	}
	watched->failures = 0;
	watched->on_pair(watched->store, pair);
	if (watched->on_changed)
		watched->on_changed(watched->store);
}

static void on_watch_range(void *ctx, const GPtrArray *pairs, gint64 revision,
			   const GError *error)
{
	struct watched *watched = ctx;
	struct srv_store *store = watched->store;
	struct kv *kv = store->kv;
	guint i;

	watched->reading = FALSE;
	if (error) {
		watched_failed(watched, error);
		return;
	}
	if (watched->reread) {
		watched->reread = FALSE;
		watched->retry_ms = 0;
		return;
	}
	if (watched->on_reset)
		watched->on_reset(store);
	for (i = 0; i < pairs->len; i++)
		watched->on_pair(store, g_ptr_array_index(pairs, i));
	if (watched->on_changed)
		watched->on_changed(store);
	watched->watch = kv->ops->watch(kv, watched->prefix, revision,
					on_watch_change, watched);
}

static void watched_tick(struct watched *watched, gint64 now_ms)
{
	struct kv *kv = watched->store->kv;

	if (watched->watch || watched->reading || now_ms < watched->retry_ms)
		return;
	watched->reading = TRUE;
	kv->ops->range(kv, watched->prefix, watched->exact, 0, on_watch_range,
		       watched);
}

static void watched_reread(struct watched *watched)
{
	struct kv *kv = watched->store->kv;

	if (watched->watch)
		kv->ops->watch_cancel(kv, watched->watch);
	watched->watch = NULL;
	watched->reread = watched->reading;
	watched->retry_ms = 0;
}

/* Ticks and release */

void srv_store_tick(struct srv_store *store, gint64 now_ms)
{
	struct srv *srv = store->srv;

	if (srv->lease && now_ms >= srv->lease_deadline_ms)
		srv_store_lease_lost(store, "expired");
	if (store->reread_due) {
		store->reread_due = FALSE;
		watched_reread(&store->tables);
		watched_reread(&store->evacuations);
		watched_reread(&store->entries);
	}
	watched_tick(&store->tables, now_ms);
	watched_tick(&store->evacuations, now_ms);
	watched_tick(&store->entries, now_ms);
	srv_claims_tick(store->claims, now_ms);
	if (store->releasing)
		return;
	if (!store->lease_call_in_flight && now_ms >= store->next_lease_call_ms)
		call_lease(store, now_ms);
	if (srv->lease && !store->is_registered && !store->registering &&
	    now_ms >= store->next_register_ms)
		call_register(store);
}

void srv_store_resumed(struct srv_store *store, gint64 now_ms)
{
	/* The next tick reads again: a watch must not be cancelled in its own
	 * callback. */
	store->reread_due = TRUE;
	store->next_lease_call_ms = now_ms;
}

static void on_revoked(void *ctx, gint64 lease, gint64 ttl_ms,
		       const GError *error)
{
	struct srv_store *store = ctx;

	(void)ttl_ms;
	if (error)
		srv_log(G_LOG_LEVEL_WARNING,
			"lease %" G_GINT64_FORMAT " was not revoked: %s", lease,
			error->message);
	store->srv->lease_released = TRUE;
}

void srv_store_release(struct srv_store *store)
{
	struct srv *srv = store->srv;
	gint64 lease = srv->lease;

	store->releasing = TRUE;
	srv->lease = 0;
	report_lease(store);
	if (lease)
		store->kv->ops->lease_revoke(store->kv, lease, on_revoked,
					     store);
	else
		srv->lease_released = TRUE;
}

static int compare_ids(const void *a, const void *b, void *data)
{
	(void)data;
	return strcmp(a, b);
}

struct srv_store *srv_store_new(struct srv *srv, GError **error)
{
	const struct cfg_entry *settings = srv->settings;
	struct kv_etcd_options options = {
		.base = srv->base,
		.endpoints = (const char *const *)settings->kv_endpoints,
		.n_endpoints = settings->kv_endpoints_count,
		.timeout_ms = settings->kv_timeout_ms,
	};
	struct kv *kv = kv_etcd_new(&options, error);
	struct srv_store *store;

	if (!kv) {
		g_prefix_error(error, "kv_endpoints: ");
		return NULL;
	}
	store = g_new0(struct srv_store, 1);
	store->srv = srv;
	store->kv = kv;
	store->claims = srv_claims_new(srv, kv);
	store->registered = g_tree_new_full(compare_ids, NULL, g_free, g_free);
	store->entries = (struct watched){ .store = store,
					   .prefix = ENTRY_PREFIX,
					   .on_pair = entries_apply,
					   .on_reset = entries_reset,
					   .on_changed = entries_report };
	store->tables = (struct watched){ .store = store,
					  .prefix = TABLES_KEY,
					  .exact = TRUE,
					  .on_pair = tables_apply };
	store->evacuations =
		(struct watched){ .store = store,
				  .prefix = EVAC_KEY,
				  .exact = TRUE,
				  .on_pair = evacuations_apply,
				  .on_reset = evacuations_reset,
				  .on_changed = evacuations_changed,
				  .on_failed = evacuations_failed };
	return store;
}

void srv_store_free(struct srv_store *store)
{
	store->kv->ops->free(store->kv);
	srv_claims_free(store->claims);
	g_tree_unref(store->registered);
	g_free(store);
}
