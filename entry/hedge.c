#include "internal.h"

/*
 * Bounds of the hedge token bucket. Refusals and retries may drive it below 0,
 * which stops hedging until new requests have refilled it.
 */
#define TOKENS_MAX 10.0
#define TOKENS_MIN (-20.0)

/* A request slower than this quantile of the latency is hedged. */
#define HEDGE_QUANTILE 0.95
/* Step of the quantile estimate, as a fraction of the mean latency. */
#define QUANTILE_STEP 0.2
/* Initial estimate, as a multiple of the first answer's latency. */
#define QUANTILE_FIRST 3.0

/*
 * A hedge is sent only to an upstream with at least this many free slots: the
 * last one is reserved for first attempts.
 */
#define MIN_FREE_SLOTS 2

void ent_hedge_update_p95(struct pool *pool, double ms)
{
	double step = pool->latency_ms * QUANTILE_STEP;

	if (pool->latency_p95_ms <= 0)
		pool->latency_p95_ms = QUANTILE_FIRST * ms;
	else if (ms > pool->latency_p95_ms)
		pool->latency_p95_ms += step * HEDGE_QUANTILE;
	else
		pool->latency_p95_ms -= step * (1 - HEDGE_QUANTILE);
}

void ent_hedge_credit(struct pool *pool)
{
	pool->hedge_tokens = MIN(
		pool->hedge_tokens + pool->hedge_percent / 100.0, TOKENS_MAX);
}

void ent_hedge_charge(struct pool *pool)
{
	pool->hedge_tokens = MAX(pool->hedge_tokens - 1, TOKENS_MIN);
}

static void count(struct ent *ent, const struct pool *pool, const char *result)
{
	ent_fx_count(ent, "radishpier_hedges_total",
		     g_strdup_printf("pool=\"%s\",result=\"%s\"", pool->name,
				     result));
}

void ent_hedge_count_won(struct ent *ent, struct pool *pool)
{
	pool->hedges_won++;
	count(ent, pool, "won");
}

/* No hedging with queued requests, at a limit or with ejected upstreams. */
static gboolean may_hedge(const struct ent *ent, const struct request *request)
{
	const struct pool *pool = request->pool;

	return request->idempotent && !request->key && request->attempt &&
	       !request->hedged && pool->hedge_percent && pool->configured &&
	       !pool->n_ejected && !ent_heap_size(&pool->queue) &&
	       (double)(ent->now_ms - request->attempt->sent_ms) >
		       pool->latency_p95_ms &&
	       request->deadline_ms > ent->now_ms &&
	       ent_pool_may_send(ent, pool);
}

static void hedge(struct ent *ent, struct request *request)
{
	struct pool *pool = request->pool;
	struct member *member;

	if (pool->hedge_tokens < 1) {
		if (!request->hedge_refused) {
			pool->hedges_refused++;
			count(ent, pool, "no-budget");
		}
		request->hedge_refused = TRUE;
		return;
	}
	member = ent_upstream_choose(ent, pool, request->last_conn);
	if (!member || member == request->attempt->member ||
	    member->free_slots < MIN_FREE_SLOTS)
		return;
	pool->hedge_tokens--;
	pool->hedges_sent++;
	request->hedged = TRUE;
	request->hedge = ent_request_send(ent, request, member);
	count(ent, pool, "sent");
}

static gboolean any_pool_hedges(const struct ent *ent)
{
	guint i;

	for (i = 0; i < ent->pools_by_priority->len; i++) {
		const struct pool *pool =
			g_ptr_array_index(ent->pools_by_priority, i);

		if (pool->hedge_percent)
			return TRUE;
	}
	return FALSE;
}

void ent_hedge_requests(struct ent *ent)
{
	GHashTableIter iter;
	void *request;

	if (!any_pool_hedges(ent))
		return;
	g_hash_table_iter_init(&iter, ent->requests);
	while (g_hash_table_iter_next(&iter, NULL, &request))
		if (may_hedge(ent, request))
			hedge(ent, request);
}
