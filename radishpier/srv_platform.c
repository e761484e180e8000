#include "srv.h"

#include <jansson.h>
#include <string.h>

#define LEASE_TTL_MS 10000
#define LEASE_KEEPALIVE_MS 3000
#define BACKOFF_MAX_MS 5000

#define ENTRY_PREFIX "radishpier/entry/"
#define TABLES_KEY "radishpier/tables"

/** What is read by a range and then followed by a watch. */
struct follow {
	struct srv_platform *platform;
	const char *prefix;
	gboolean exact;
	/** pair->value is NULL for a deletion. */
	void (*on_pair)(struct srv_platform *platform,
			const struct kv_pair *pair);
	/** Before and after the pairs of a range; may be NULL. */
	void (*on_reset)(struct srv_platform *platform);
	void (*on_changed)(struct srv_platform *platform);
	struct kv_watch *watch;
	gboolean reading;
	/** The answer of the range in flight may be stale: read once more. */
	gboolean again;
	unsigned failures;
	gint64 retry_ms;
};

struct srv_platform {
	struct srv *srv;
	struct kv *kv;
	struct srv_claims *claims;
	struct follow entries;
	struct follow tables;
	/** Id -> agent address of the entries registered. */
	GTree *registered;
	/** A grant or keep-alive is in flight, sent at sent_ms. */
	gboolean calling;
	gint64 sent_ms;
	/** The lease that the call in flight is for; 0: a grant. */
	gint64 calling_lease;
	gint64 next_call_ms;
	unsigned lease_failures;
	gboolean registering;
	gboolean is_registered;
	gint64 next_register_ms;
	unsigned register_failures;
	gboolean releasing;
	/** The process was stopped; what was read may be stale. */
	gboolean resumed;
};

struct srv_claims *srv_platform_claims(const struct srv_platform *platform)
{
	return platform->claims;
}

const struct kv_calls *srv_platform_calls(const struct srv_platform *platform)
{
	return platform->kv->ops->calls(platform->kv);
}

/* Lease */

static void tell_lease(struct srv_platform *platform)
{
	struct job_event ev = { .kind = JOB_EV_LEASE };

	ev.lease.lease = platform->srv->lease;
	srv_dispatch_job(platform->srv, &ev);
}

static void on_ignored(void *ctx, gint64 lease, gint64 ttl_ms,
		       const GError *error)
{
	(void)ctx;
	(void)lease;
	(void)ttl_ms;
	(void)error;
}

void srv_platform_lease_lost(struct srv_platform *platform, const char *why)
{
	struct srv *srv = platform->srv;
	gint64 lease = srv->lease;

	if (!lease)
		return;
	srv_log(G_LOG_LEVEL_WARNING, "lease %" G_GINT64_FORMAT " lost: %s",
		lease, why);
	srv->lease = 0;
	srv->lease_deadline_ms = 0;
	platform->is_registered = FALSE;
	platform->next_call_ms = 0;
	obs_count(srv->metrics, "radishpier_leases_lost_total", NULL, 1);
	tell_lease(platform);
	/* If it still exists there, its keys need not wait for its end. */
	platform->kv->ops->lease_revoke(platform->kv, lease, on_ignored, NULL);
}

static void on_lease(void *ctx, gint64 lease, gint64 ttl_ms,
		     const GError *error)
{
	struct srv_platform *platform = ctx;
	struct srv *srv = platform->srv;
	gint64 now_ms = net_now_ms();
	gboolean granted = !platform->calling_lease;

	platform->calling = FALSE;
	if (error) {
		platform->next_call_ms =
			now_ms + srv_backoff_ms(srv, platform->lease_failures++,
						LEASE_KEEPALIVE_MS);
		if (g_error_matches(error, KV_ERROR, KV_ERROR_NO_LEASE) &&
		    platform->calling_lease == srv->lease)
			srv_platform_lease_lost(platform, error->message);
		return;
	}
	platform->lease_failures = 0;
	platform->next_call_ms = platform->sent_ms + LEASE_KEEPALIVE_MS;
	if (platform->releasing) {
		if (granted)
			platform->kv->ops->lease_revoke(platform->kv, lease,
							on_ignored, NULL);
		return;
	}
	/* An answer for a lease that was given up meanwhile. */
	if (!granted && platform->calling_lease != srv->lease)
		return;
	/*
	 * The platform counts the time to live from when it handled the call,
	 * which was not before it was sent.
	 */
	srv->lease_deadline_ms = platform->sent_ms +
				 MIN(ttl_ms, (gint64)LEASE_TTL_MS);
	if (!granted)
		return;
	srv->lease = lease;
	srv_log(G_LOG_LEVEL_INFO, "lease %" G_GINT64_FORMAT " granted", lease);
	platform->is_registered = FALSE;
	platform->next_register_ms = 0;
	tell_lease(platform);
}

static void call_lease(struct srv_platform *platform, gint64 now_ms)
{
	struct kv *kv = platform->kv;

	platform->calling = TRUE;
	platform->sent_ms = now_ms;
	platform->calling_lease = platform->srv->lease;
	if (platform->srv->lease)
		kv->ops->lease_keepalive(kv, platform->srv->lease, on_lease,
					 platform);
	else
		kv->ops->lease_grant(kv, LEASE_TTL_MS, on_lease, platform);
}

/* Registration */

static void on_registered(void *ctx, const struct kv_txn_result *result,
			  const GError *error)
{
	struct srv_platform *platform = ctx;

	platform->registering = FALSE;
	if (result) {
		platform->is_registered = TRUE;
		platform->register_failures = 0;
		return;
	}
	srv_log(G_LOG_LEVEL_WARNING, "cannot register: %s", error->message);
	platform->next_register_ms =
		net_now_ms() + srv_backoff_ms(platform->srv,
					      platform->register_failures++,
					      BACKOFF_MAX_MS);
}

static GBytes *registration(const struct cfg_entry *settings)
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

static void call_register(struct srv_platform *platform)
{
	struct srv *srv = platform->srv;
	struct kv_txn *txn = kv_txn_new();
	char *key = g_strconcat(ENTRY_PREFIX, srv->settings->id, NULL);
	GBytes *value = registration(srv->settings);

	platform->registering = TRUE;
	kv_txn_put(txn, key, value, srv->lease);
	platform->kv->ops->txn(platform->kv, txn, on_registered, platform);
	kv_txn_free(txn);
	g_bytes_unref(value);
	g_free(key);
}

/* Entries and tables */

static void entries_reset(struct srv_platform *platform)
{
	g_tree_remove_all(platform->registered);
}

static void entries_pair(struct srv_platform *platform,
			 const struct kv_pair *pair)
{
	const char *id = pair->key + strlen(ENTRY_PREFIX);
	const char *address;
	gsize len;
	const char *data;
	json_t *root;

	if (!pair->value) {
		g_tree_remove(platform->registered, id);
		return;
	}
	data = g_bytes_get_data(pair->value, &len);
	root = json_loadb(len ? data : "", len, 0, NULL);
	address = json_string_value(json_object_get(root, "agent_address"));
	if (address)
		g_tree_insert(platform->registered, g_strdup(id),
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

static void entries_changed(struct srv_platform *platform)
{
	struct srv *srv = platform->srv;
	struct ent_event ev = { .kind = ENT_EV_ENTRIES };
	GPtrArray *lists[2] = { g_ptr_array_new(), g_ptr_array_new() };

	g_tree_foreach(platform->registered, collect_entry, lists);
	ev.entries.ids = (const char *const *)lists[0]->pdata;
	ev.entries.addresses = (const char *const *)lists[1]->pdata;
	ev.entries.n = lists[0]->len;
	srv_conns_set_entries(srv->conns, ev.entries.ids, ev.entries.addresses,
			      ev.entries.n);
	srv_dispatch(srv, &ev);
	g_ptr_array_unref(lists[0]);
	g_ptr_array_unref(lists[1]);
}

static void tables_pair(struct srv_platform *platform,
			const struct kv_pair *pair)
{
	struct ent_event ev = { .kind = ENT_EV_TABLES };
	gsize len;

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
	srv_dispatch(platform->srv, &ev);
}

static void follow_failed(struct follow *follow, const GError *error)
{
	struct srv *srv = follow->platform->srv;

	srv_log(G_LOG_LEVEL_WARNING, "%s: %s", follow->prefix, error->message);
	follow->retry_ms = net_now_ms() + srv_backoff_ms(srv,
							 follow->failures++,
							 BACKOFF_MAX_MS);
}

static void on_follow_change(void *ctx, const struct kv_pair *pair,
			     const GError *error)
{
	struct follow *follow = ctx;

	if (!pair) {
		follow->watch = NULL;
		follow_failed(follow, error);
		return;
	}
	follow->failures = 0;
	follow->on_pair(follow->platform, pair);
	if (follow->on_changed)
		follow->on_changed(follow->platform);
}

static void on_follow_range(void *ctx, const GPtrArray *pairs, gint64 revision,
			    const GError *error)
{
	struct follow *follow = ctx;
	struct srv_platform *platform = follow->platform;
	struct kv *kv = platform->kv;
	guint i;

	follow->reading = FALSE;
	if (error) {
		follow_failed(follow, error);
		return;
	}
	if (follow->again) {
		follow->again = FALSE;
		follow->retry_ms = 0;
		return;
	}
	if (follow->on_reset)
		follow->on_reset(platform);
	for (i = 0; i < pairs->len; i++)
		follow->on_pair(platform, g_ptr_array_index(pairs, i));
	if (follow->on_changed)
		follow->on_changed(platform);
	follow->watch = kv->ops->watch(kv, follow->prefix, revision,
				       on_follow_change, follow);
}

static void follow_tick(struct follow *follow, gint64 now_ms)
{
	struct kv *kv = follow->platform->kv;

	if (follow->watch || follow->reading || now_ms < follow->retry_ms)
		return;
	follow->reading = TRUE;
	kv->ops->range(kv, follow->prefix, follow->exact, 0, on_follow_range,
		       follow);
}

static void follow_again(struct follow *follow)
{
	struct kv *kv = follow->platform->kv;

	if (follow->watch)
		kv->ops->watch_cancel(kv, follow->watch);
	follow->watch = NULL;
	follow->again = follow->reading;
	follow->retry_ms = 0;
}

/* The platform as a whole */

void srv_platform_tick(struct srv_platform *platform, gint64 now_ms)
{
	struct srv *srv = platform->srv;

	if (srv->lease && now_ms >= srv->lease_deadline_ms)
		srv_platform_lease_lost(platform, "expired");
	if (platform->resumed) {
		platform->resumed = FALSE;
		follow_again(&platform->tables);
		follow_again(&platform->entries);
	}
	follow_tick(&platform->tables, now_ms);
	follow_tick(&platform->entries, now_ms);
	srv_claims_tick(platform->claims, now_ms);
	if (platform->releasing)
		return;
	if (!platform->calling && now_ms >= platform->next_call_ms)
		call_lease(platform, now_ms);
	if (srv->lease && !platform->is_registered && !platform->registering &&
	    now_ms >= platform->next_register_ms)
		call_register(platform);
}

void srv_platform_resumed(struct srv_platform *platform, gint64 now_ms)
{
	/* Watches are cancelled at the tick, not in one of their callbacks. */
	platform->resumed = TRUE;
	platform->next_call_ms = now_ms;
}

static void on_revoked(void *ctx, gint64 lease, gint64 ttl_ms,
		       const GError *error)
{
	struct srv_platform *platform = ctx;

	(void)ttl_ms;
	if (error)
		srv_log(G_LOG_LEVEL_WARNING,
			"lease %" G_GINT64_FORMAT " was not revoked: %s", lease,
			error->message);
	platform->srv->released = TRUE;
}

void srv_platform_release(struct srv_platform *platform)
{
	struct srv *srv = platform->srv;
	gint64 lease = srv->lease;

	platform->releasing = TRUE;
	srv->lease = 0;
	tell_lease(platform);
	if (lease)
		platform->kv->ops->lease_revoke(platform->kv, lease, on_revoked,
						platform);
	else
		srv->released = TRUE;
}

static int compare_ids(const void *a, const void *b, void *data)
{
	(void)data;
	return strcmp(a, b);
}

struct srv_platform *srv_platform_new(struct srv *srv, GError **error)
{
	const struct cfg_entry *settings = srv->settings;
	struct kv_etcd_options options = {
		.base = srv->base,
		.endpoints = (const char *const *)settings->kv_endpoints,
		.n_endpoints = settings->kv_endpoints_count,
		.timeout_ms = settings->kv_timeout_ms,
	};
	struct kv *kv = kv_etcd_new(&options, error);
	struct srv_platform *platform;

	if (!kv) {
		g_prefix_error(error, "kv_endpoints: ");
		return NULL;
	}
	platform = g_new0(struct srv_platform, 1);
	platform->srv = srv;
	platform->kv = kv;
	platform->claims = srv_claims_new(srv, kv);
	platform->registered = g_tree_new_full(compare_ids, NULL, g_free,
					       g_free);
	platform->entries = (struct follow){ .platform = platform,
					     .prefix = ENTRY_PREFIX,
					     .on_pair = entries_pair,
					     .on_reset = entries_reset,
					     .on_changed = entries_changed };
	platform->tables = (struct follow){ .platform = platform,
					    .prefix = TABLES_KEY,
					    .exact = TRUE,
					    .on_pair = tables_pair };
	return platform;
}

void srv_platform_free(struct srv_platform *platform)
{
	platform->kv->ops->free(platform->kv);
	srv_claims_free(platform->claims);
	g_tree_unref(platform->registered);
	g_free(platform);
}
