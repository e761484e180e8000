#include "srv.h"

#include <string.h>

/** TTL of the store lease of claims; a claim lasts 23 to 24 hours. */
#define CLAIM_LEASE_MS ((gint64)24 * 3600 * 1000)

/** New claims use the same store lease until it has this age. */
#define CLAIM_LEASE_REUSE_MS ((gint64)3600 * 1000)

#define CLAIM_PREFIX "radishpier/request/"

/** A release is retried for this duration, which covers most outages. */
#define RELEASE_TIMEOUT_MS ((gint64)10 * 60 * 1000)
#define RELEASE_BACKOFF_MAX_MS 10000

/**
 * A claim call without an answer may still be applied this long after it was
 * sent, since it may wait in the store's socket buffers.
 */
#define CLAIM_LATE_WRITE_MS 30000

/** Releases kept at once; bounds the memory during an outage. */
#define MAX_RELEASES 1024
/** Release calls in flight; bounds the load on the store after an outage. */
#define MAX_RELEASE_CALLS 8

/** A claim of an idempotency key that waits for the lease. */
struct claim {
	/** Handle of the request. */
	guint64 handle;
	/** Key in the store. */
	char *key;
	/** Id of the request, the value of the claim. */
	char *owner;
};

/** A claim to be deleted. */
struct release {
	struct srv_claims *claims;
	char *key;
	char *owner;
	/** The claim is known to be written. */
	gboolean written;
	gboolean call_in_flight;
	unsigned failures;
	gint64 started_ms;
	/** Earliest time of the next call. */
	gint64 next_ms;
};

struct srv_claims {
	struct srv *srv;
	struct kv *kv;
	/** Store lease of new claims, never revoked; 0: none. */
	gint64 lease;
	gint64 lease_granted_ms;
	/** The grant of a lease is in flight. */
	gboolean granting;
	/** Of struct claim pointers that wait for the lease. */
	GPtrArray *waiting;
	/** Of struct release pointers. */
	GPtrArray *releases;
	/** Number of releases with a call in flight. */
	unsigned release_calls;
	/** Set of struct call_ctx pointers: calls in flight. */
	GHashTable *calls;
};

/** Context of a call to the key-value store. */
struct call_ctx {
	struct srv_claims *claims;
	/** Id of the job scheduler's effect, or handle of the request. */
	guint64 id;
	/** Lease that the claim uses; 0 for a call of the job scheduler. */
	gint64 lease;
};

static void claim_free(void *data)
{
	struct claim *claim = data;

	g_free(claim->key);
	g_free(claim->owner);
	g_free(claim);
}

static void release_free(void *data)
{
	struct release *release = data;

	g_free(release->key);
	g_free(release->owner);
	g_free(release);
}

/*
 * Returns the store key of a caller's idempotency key. Callers choose the keys,
 * so the hash must be collision-resistant.
 */
static char *claim_key(const char *key)
{
	g_autofree char *digest =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);

	return g_strconcat(CLAIM_PREFIX, digest, NULL);
}

struct srv_claims *srv_claims_new(struct srv *srv, struct kv *kv)
{
	struct srv_claims *claims = g_new0(struct srv_claims, 1);

	claims->srv = srv;
	claims->kv = kv;
	claims->waiting = g_ptr_array_new_with_free_func(claim_free);
	claims->releases = g_ptr_array_new_with_free_func(release_free);
	claims->calls = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	return claims;
}

void srv_claims_free(struct srv_claims *claims)
{
	g_ptr_array_unref(claims->waiting);
	g_ptr_array_unref(claims->releases);
	g_hash_table_unref(claims->calls);
	g_free(claims);
}

static struct call_ctx *ctx_new(struct srv_claims *claims, guint64 id)
{
	struct call_ctx *ctx = g_new0(struct call_ctx, 1);

	ctx->claims = claims;
	ctx->id = id;
	g_hash_table_add(claims->calls, ctx);
	return ctx;
}

static void ctx_free(struct call_ctx *ctx)
{
	g_hash_table_remove(ctx->claims->calls, ctx);
}

/* The store refuses a whole transaction on a lost lease: it had no effect. */
static enum job_kv_status job_status(const GError *error)
{
	if (!error)
		return JOB_KV_OK;
	if (g_error_matches(error, KV_ERROR, KV_ERROR_UNAVAILABLE) ||
	    g_error_matches(error, KV_ERROR, KV_ERROR_NO_LEASE))
		return JOB_KV_UNAVAILABLE;
	return JOB_KV_UNKNOWN;
}

static void on_job_txn(void *data, const struct kv_txn_result *result,
		       const GError *error)
{
	struct call_ctx *ctx = data;
	struct srv *srv = ctx->claims->srv;
	struct job_event ev = { .kind = JOB_EV_TXN };

	ev.txn.id = ctx->id;
	ev.txn.status = job_status(error);
	if (result) {
		ev.txn.revision = result->revision;
		if (!result->succeeded)
			ev.txn.status = JOB_KV_CONFLICT;
	}
	ctx_free(ctx);
	srv_dispatch_job(srv, &ev);
}

void srv_claims_job_txn(struct srv_claims *claims, guint64 id,
			const struct kv_txn *txn)
{
	claims->kv->ops->txn(claims->kv, txn, on_job_txn, ctx_new(claims, id));
}

static void on_job_range(void *data, const GPtrArray *pairs, gint64 revision,
			 const GError *error)
{
	struct call_ctx *ctx = data;
	struct srv *srv = ctx->claims->srv;
	struct job_event ev = { .kind = JOB_EV_RANGE };

	ev.range.id = ctx->id;
	ev.range.status = job_status(error);
	ev.range.pairs = pairs;
	ev.range.revision = revision;
	/* A queued event must not borrow the pairs, so the read counts as
	 * failed and the scheduler repeats it. */
	if (srv->dispatching) {
		ev.range.pairs = NULL;
		ev.range.status = JOB_KV_UNAVAILABLE;
	}
	ctx_free(ctx);
	srv_dispatch_job(srv, &ev);
}

void srv_claims_job_range(struct srv_claims *claims, guint64 id,
			  const char *prefix, gboolean exact,
			  gint64 min_revision)
{
	claims->kv->ops->range(claims->kv, prefix, exact, min_revision,
			       on_job_range, ctx_new(claims, id));
}

static void report_claim(struct srv *srv, guint64 handle, enum ent_claim result)
{
	struct ent_event ev = { .kind = ENT_EV_KEY_CLAIM };

	ev.claim.handle = handle;
	ev.claim.result = result;
	srv_dispatch(srv, &ev);
}

static void on_claim(void *data, const struct kv_txn_result *result,
		     const GError *error)
{
	struct call_ctx *ctx = data;
	struct srv_claims *claims = ctx->claims;
	struct srv *srv = claims->srv;
	guint64 handle = ctx->id;
	gint64 lease = ctx->lease;

	ctx_free(ctx);
	if (result) {
		report_claim(srv, handle,
			     result->succeeded ? ENT_CLAIM_WON
					       : ENT_CLAIM_TAKEN);
		return;
	}
	if (g_error_matches(error, KV_ERROR, KV_ERROR_NO_LEASE) &&
	    claims->lease == lease)
		claims->lease = 0;
	report_claim(srv, handle,
		     job_status(error) == JOB_KV_UNAVAILABLE
			     ? ENT_CLAIM_UNAVAILABLE
			     : ENT_CLAIM_UNKNOWN);
}

static void send_claim(struct srv_claims *claims, const struct claim *claim)
{
	struct call_ctx *ctx = ctx_new(claims, claim->handle);
	struct kv_txn *txn = kv_txn_new();
	GBytes *value = g_bytes_new(claim->owner, strlen(claim->owner));

	ctx->lease = claims->lease;
	kv_txn_compare(txn, claim->key, KV_COMPARE_CREATE_REVISION, 0);
	kv_txn_put(txn, claim->key, value, claims->lease);
	claims->kv->ops->txn(claims->kv, txn, on_claim, ctx);
	kv_txn_free(txn);
	g_bytes_unref(value);
}

static void on_claim_lease(void *data, gint64 lease, gint64 ttl_ms,
			   const GError *error)
{
	struct srv_claims *claims = data;
	GPtrArray *waiting = claims->waiting;
	guint i;

	(void)ttl_ms;
	claims->granting = FALSE;
	claims->waiting = g_ptr_array_new_with_free_func(claim_free);
	if (!error) {
		claims->lease = lease;
		claims->lease_granted_ms = net_now_ms();
	}
	for (i = 0; i < waiting->len; i++) {
		const struct claim *claim = g_ptr_array_index(waiting, i);

		/* Without a lease, the claim was not sent. */
		if (error)
			report_claim(claims->srv, claim->handle,
				     ENT_CLAIM_UNAVAILABLE);
		else
			send_claim(claims, claim);
	}
	g_ptr_array_unref(waiting);
}

void srv_claims_key(struct srv_claims *claims, guint64 handle, const char *key,
		    const char *owner)
{
	struct claim *claim = g_new0(struct claim, 1);
	gint64 age_ms = net_now_ms() - claims->lease_granted_ms;

	claim->handle = handle;
	claim->key = claim_key(key);
	claim->owner = g_strdup(owner);
	if (claims->lease && age_ms < CLAIM_LEASE_REUSE_MS) {
		send_claim(claims, claim);
		claim_free(claim);
		return;
	}
	g_ptr_array_add(claims->waiting, claim);
	if (claims->granting)
		return;
	claims->granting = TRUE;
	claims->kv->ops->lease_grant(claims->kv, CLAIM_LEASE_MS, on_claim_lease,
				     claims);
}

static void release_end(struct release *release)
{
	/* Frees the release. */
	g_ptr_array_remove_fast(release->claims->releases, release);
}

static void release_retry(struct release *release)
{
	gint64 now_ms = net_now_ms();

	if (now_ms - release->started_ms >= RELEASE_TIMEOUT_MS) {
		srv_log(G_LOG_LEVEL_WARNING,
			"the claim %s of request %s, which did not run, was "
			"not released in time",
			release->key, release->owner);
		release_end(release);
		return;
	}
	release->next_ms = now_ms + srv_backoff_ms(release->claims->srv,
						   release->failures++,
						   RELEASE_BACKOFF_MAX_MS);
}

static void call_ended(struct release *release)
{
	release->call_in_flight = FALSE;
	release->claims->release_calls--;
}

static void call_started(struct release *release)
{
	release->call_in_flight = TRUE;
	release->claims->release_calls++;
}

static void on_release_txn(void *data, const struct kv_txn_result *result,
			   const GError *error)
{
	struct release *release = data;

	(void)error;
	call_ended(release);
	if (result && result->succeeded)
		release_end(release);
	else
		release_retry(release);
}

static void release_delete(struct release *release, gint64 mod_revision)
{
	struct kv *kv = release->claims->kv;
	struct kv_txn *txn = kv_txn_new();

	kv_txn_compare(txn, release->key, KV_COMPARE_MOD_REVISION,
		       mod_revision);
	kv_txn_delete(txn, release->key);
	call_started(release);
	kv->ops->txn(kv, txn, on_release_txn, release);
	kv_txn_free(txn);
}

static gboolean value_is_owner(const struct kv_pair *pair, const char *owner)
{
	gsize len;
	const void *value = g_bytes_get_data(pair->value, &len);

	return len == strlen(owner) && !memcmp(value, owner, len);
}

static void on_release_range(void *data, const GPtrArray *pairs,
			     gint64 revision, const GError *error)
{
	struct release *release = data;
	gint64 age_ms = net_now_ms() - release->started_ms;
	const struct kv_pair *pair;

	(void)revision;
	call_ended(release);
	if (error) {
		release_retry(release);
	} else if (!pairs->len) {
		if (release->written || age_ms >= CLAIM_LATE_WRITE_MS)
			release_end(release);
		else
			release_retry(release);
	} else {
		pair = g_ptr_array_index(pairs, 0);
		if (value_is_owner(pair, release->owner))
			release_delete(release, pair->mod_revision);
		else
			release_end(release);
	}
}

void srv_claims_release(struct srv_claims *claims, const char *key,
			const char *owner, gboolean written)
{
	struct release *release;

	if (claims->releases->len >= MAX_RELEASES) {
		srv_log(G_LOG_LEVEL_WARNING,
			"the claim of request %s, which did not run, is not "
			"released: %d others wait",
			owner, MAX_RELEASES);
		return;
	}
	release = g_new0(struct release, 1);
	release->claims = claims;
	release->key = claim_key(key);
	release->owner = g_strdup(owner);
	release->written = written;
	release->started_ms = net_now_ms();
	release->next_ms = release->started_ms;
	g_ptr_array_add(claims->releases, release);
}

void srv_claims_tick(struct srv_claims *claims, gint64 now_ms)
{
	struct kv *kv = claims->kv;
	guint i;

	for (i = 0; i < claims->releases->len; i++) {
		struct release *release = g_ptr_array_index(claims->releases,
							    i);

		if (claims->release_calls >= MAX_RELEASE_CALLS)
			return;
		if (release->call_in_flight || now_ms < release->next_ms)
			continue;
		call_started(release);
		kv->ops->range(kv, release->key, TRUE, 0, on_release_range,
			       release);
	}
}

unsigned srv_claims_releasing(const struct srv_claims *claims)
{
	return claims->releases->len;
}
