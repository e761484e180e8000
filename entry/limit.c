#include <math.h>

#include "internal.h"

/* Initial retry tokens of a pool. */
#define RETRY_TOKENS_START 10.0

/* Capacity of the bucket, so that idle time does not allow a retry storm. */
#define RETRY_TOKENS_MAX 100.0

/*
 * The limit is adapted after this many answers and the shorter time, or after
 * the longer time.
 */
#define WINDOW_ANSWERS 20
#define WINDOW_MIN_MS 100
#define WINDOW_MAX_MS 2000

/* The limit is decreased if more than this share exceeds the target. */
#define WINDOW_SLOW_PERCENT 10

/* Factor of a decrease, and increase as a fraction of the limit. */
#define LIMIT_DECREASE 0.9
#define LIMIT_INCREASE 0.05

/* The limit is increased only if this fraction of it was in use. */
#define LIMIT_USED 0.8

/* Weight of a new value in the moving averages. */
#define LATENCY_WEIGHT 0.1

/*
 * Mean deviations above the mean latency, as in the retransmission timer of
 * RFC 6298: 98 % of exponentially distributed times are shorter. This follows a
 * change within about 50 answers; the p95 estimate of hedge.c falls by a
 * hundredth of the mean per answer and would need thousands after an outage.
 */
#define NEEDED_DEVIATIONS 4

/*
 * A latency not updated for this time counts as unknown, so that no request is
 * refused because of it; equal to the default timeout.
 */
#define LATENCY_VALID_MS 30000

/* Members sampled to find out whether two pools share VMs. */
#define SHARED_VM_SAMPLES 4

void ent_pool_init_limits(struct pool *pool)
{
	pool->adaptive_limit = INFINITY;
	pool->retry_tokens = RETRY_TOKENS_START;
}

struct pool *ent_pool_get(struct ent *ent, const char *name)
{
	struct pool *pool = g_hash_table_lookup(ent->pools, name);

	if (pool)
		return pool;
	pool = g_new0(struct pool, 1);
	pool->name = g_strdup(name);
	pool->members = g_ptr_array_new();
	pool->members_changed_ms = G_MININT64 / 2;
	pool->member_lost_ms = G_MININT64 / 2;
	pool->last_failure = FAIL_KINDS;
	ent_heap_init(&pool->queue, HEAP_QUEUE);
	ent_pool_init_limits(pool);
	g_hash_table_insert(ent->pools, pool->name, pool);
	g_ptr_array_add(ent->pools_by_priority, pool);
	return pool;
}

void ent_pool_free(void *data)
{
	struct pool *pool = data;

	g_ptr_array_unref(pool->members);
	ent_heap_clear(&pool->queue);
	g_free(pool->name);
	g_free(pool);
}

unsigned ent_pool_members_in_service(const struct pool *pool)
{
	return pool->members->len - pool->n_draining - pool->n_evacuated;
}

unsigned ent_pool_share(const struct ent *ent, unsigned fleet_limit)
{
	unsigned share = fleet_limit / ent->n_alive;

	return share + (ent->rank < fleet_limit % ent->n_alive);
}

/*
 * Minimum of the adaptive limit: the larger of this entry's shares of the
 * guaranteed requests and of one request per upstream, at least 1.
 */
static double limit_floor(const struct ent *ent, const struct pool *pool)
{
	unsigned floor = ent_pool_share(ent, pool->guaranteed);
	unsigned per_upstream = (pool->members->len + ent->n_alive - 1) /
				ent->n_alive;

	return MAX(MAX(floor, per_upstream), 1);
}

unsigned ent_pool_limit(const struct ent *ent, const struct pool *pool)
{
	unsigned limit = G_MAXUINT;

	if (ent->no_limits)
		return limit;
	if (pool->max_requests)
		limit = ent_pool_share(ent, pool->max_requests);
	if (pool->target_ms && pool->adaptive_limit < limit)
		limit = (unsigned)MAX(pool->adaptive_limit,
				      limit_floor(ent, pool));
	if (pool->peer_limit && ent_heap_size(&pool->queue))
		limit = MIN(limit, MAX(pool->peer_limit,
				       ent_pool_share(ent, pool->guaranteed)));
	return limit;
}

gboolean ent_pool_may_send(const struct ent *ent, const struct pool *pool)
{
	return pool->n_available && pool->in_flight + pool->pending_claims <
					    ent_pool_limit(ent, pool);
}

gint64 ent_pool_expected_wait_ms(const struct pool *pool)
{
	if (!pool->in_flight || pool->latency_ms <= 0)
		return -1;
	/* A slot becomes free every latency / in_flight, the next one after
	 * half of that on average. */
	return (gint64)((ent_heap_size(&pool->queue) + 0.5) * pool->latency_ms /
			pool->in_flight);
}

static gboolean shares_vm(const struct pool *a, const struct pool *b)
{
	unsigned n = MIN(a->members->len, SHARED_VM_SAMPLES);

	for (unsigned i = 0; i < n; i++) {
		const struct member *member = a->members->pdata[i];
		const GPtrArray *others = member->agent->members;

		for (unsigned k = 0; k < others->len; k++) {
			const struct member *other = others->pdata[k];

			if (other->pool == b)
				return TRUE;
		}
	}
	return FALSE;
}

static gboolean can_decrease(const struct ent *ent, const struct pool *pool)
{
	return pool->target_ms && pool->in_flight > limit_floor(ent, pool);
}

/* The limit of a less urgent pool on the same VMs is decreased first. */
static struct pool *pool_to_decrease(struct ent *ent, struct pool *pool)
{
	GPtrArray *pools = ent->pools_by_priority;

	for (unsigned i = pools->len; i-- > 0;) {
		struct pool *other = pools->pdata[i];

		if (other->configured && other->priority > pool->priority &&
		    can_decrease(ent, other) && shares_vm(pool, other))
			return other;
	}
	return pool;
}

static void decrease_limit(struct ent *ent, struct pool *pool)
{
	double from = MIN(pool->adaptive_limit,
			  MAX(pool->window_peak, pool->in_flight));

	pool->adaptive_limit = MAX(from * LIMIT_DECREASE,
				   limit_floor(ent, pool));
}

static void adapt_limit(struct ent *ent, struct pool *pool)
{
	unsigned slow = pool->window_slow * 100;

	if (slow > pool->window_answers * WINDOW_SLOW_PERCENT) {
		decrease_limit(ent, pool_to_decrease(ent, pool));
	} else if (pool->window_peak >= pool->adaptive_limit * LIMIT_USED) {
		pool->adaptive_limit +=
			MAX(1.0, pool->adaptive_limit * LIMIT_INCREASE);
		if (pool->adaptive_limit > 2.0 * (double)pool->fleet_slots)
			pool->adaptive_limit = INFINITY;
	}
	pool->window_start_ms = ent->now_ms;
	pool->window_answers = 0;
	pool->window_slow = 0;
	pool->window_peak = pool->in_flight;
}

double ent_pool_needed_ms(const struct ent *ent, const struct pool *pool)
{
	if (pool->latency_ms <= 0 ||
	    ent->now_ms - pool->latency_updated_ms > LATENCY_VALID_MS)
		return 0;
	return pool->latency_ms + NEEDED_DEVIATIONS * pool->deviation_ms;
}

static void update_latency(struct ent *ent, struct pool *pool, double ms)
{
	double distance = ms - pool->latency_ms;

	pool->latency_updated_ms = ent->now_ms;
	if (pool->latency_ms <= 0) {
		pool->latency_ms = MAX(ms, 0.1);
		return;
	}
	pool->deviation_ms += (fabs(distance) - pool->deviation_ms) *
			      LATENCY_WEIGHT;
	pool->latency_ms += distance * LATENCY_WEIGHT;
}

void ent_pool_answered(struct ent *ent, struct pool *pool, double ms)
{
	gint64 age;

	update_latency(ent, pool, ms);
	pool->answered++;
	ent_hedge_update_p95(pool, ms);
	if (!pool->target_ms)
		return;
	pool->window_answers++;
	pool->window_slow += ms > pool->target_ms;
	pool->window_peak = MAX(pool->window_peak, pool->in_flight + 1);
	age = ent->now_ms - pool->window_start_ms;
	if ((pool->window_answers >= WINDOW_ANSWERS && age >= WINDOW_MIN_MS) ||
	    age >= WINDOW_MAX_MS)
		adapt_limit(ent, pool);
}

void ent_pool_failed(struct ent *ent, struct pool *pool, enum failure why)
{
	pool->failures[why]++;
	pool->last_failure = why;
	pool->last_failure_ms = ent->now_ms;
}

void ent_pool_credit_retry(struct pool *pool)
{
	pool->retry_tokens =
		MIN(pool->retry_tokens + pool->retry_percent / 100.0,
		    RETRY_TOKENS_MAX);
}

gboolean ent_pool_consume_retry(struct pool *pool)
{
	if (!pool->retry_percent || pool->retry_tokens < 1)
		return FALSE;
	pool->retry_tokens--;
	pool->retried++;
	return TRUE;
}
