#include "internal.h"

void ent_queue_leave(struct ent *ent, struct request *request)
{
	if (request->heap_pos[HEAP_QUEUE] == ENT_NOT_IN_HEAP)
		return;
	ent_heap_remove(&request->pool->queue, request);
	ent->queued--;
	ent->queued_bytes -= request->bytes;
}

void ent_queue_enter(struct ent *ent, struct request *request)
{
	ent_heap_push(&request->pool->queue, request);
	ent->queued++;
	ent->queued_bytes += request->bytes;
	request->was_queued = TRUE;
}

/*
 * Returns the least urgent pool, less urgent than for_pool, that has queued
 * requests and with those in flight exceeds its guaranteed share; or NULL.
 */
static struct pool *pool_to_shed(struct ent *ent, const struct pool *for_pool)
{
	GPtrArray *pools = ent->pools_by_priority;

	for (unsigned i = pools->len; i-- > 0;) {
		struct pool *pool = pools->pdata[i];
		unsigned used = ent_heap_size(&pool->queue) + pool->in_flight;

		if (pool->priority > for_pool->priority &&
		    ent_heap_size(&pool->queue) &&
		    used > ent_pool_share(ent, pool->guaranteed))
			return pool;
	}
	return NULL;
}

/*
 * Sheds queued requests of less urgent pools until a request of this pool and
 * size fits the bounds of all queues; returns FALSE if none is left to shed.
 */
static gboolean shed_for_space(struct ent *ent, const struct pool *pool,
			       size_t bytes)
{
	if (ent->no_limits)
		return TRUE;
	while (ent->queued >= ENT_MAX_QUEUED ||
	       ent->queued_bytes + bytes > ENT_MAX_QUEUED_BYTES) {
		struct pool *victim = pool_to_shed(ent, pool);

		if (!victim)
			return FALSE;
		/* A leaf of the heap: usually one of the later deadlines. */
		ent_request_fail(ent,
				 victim->queue.items
					 ->pdata[victim->queue.items->len - 1],
				 FAIL_SHED);
	}
	return TRUE;
}

enum failure ent_queue_check_admission(struct ent *ent,
				       const struct request *request)
{
	const struct pool *pool = request->pool;
	gint64 wait = ent_pool_expected_wait_ms(pool);

	if (ent_pool_evacuated(ent, pool))
		return FAIL_EVACUATED;
	if (!ent_pool_members_in_service(pool) &&
	    (!pool->queue_length ||
	     ent->now_ms - pool->members_changed_ms > ENT_NO_UPSTREAM_GRACE_MS))
		return FAIL_NO_UPSTREAM;
	if (ent->no_limits)
		return FAIL_KINDS;
	if (ent_heap_size(&pool->queue) >= pool->queue_length)
		return FAIL_QUEUE_FULL;
	if (wait >= 0 && ent->now_ms + wait + (gint64)pool->latency_ms >
				 request->deadline_ms)
		return FAIL_TOO_LATE;
	if (!shed_for_space(ent, pool, request->bytes))
		return FAIL_QUEUE_FULL;
	return FAIL_KINDS;
}

/*
 * Starts queued requests of the pool while fewer than up_to are in flight or
 * claiming their key.
 */
static void dispatch_pool(struct ent *ent, struct pool *pool, unsigned up_to)
{
	struct request *request;

	while ((request = ent_heap_top(&pool->queue)) != NULL &&
	       ent_pool_evacuated(ent, pool))
		ent_request_fail(ent, request, FAIL_EVACUATED);
	while (pool->in_flight + pool->pending_claims < up_to &&
	       (request = ent_heap_top(&pool->queue)) != NULL &&
	       ent_request_may_start(ent, request)) {
		ent_queue_leave(ent, request);
		ent_request_continue(ent, request);
	}
}

void ent_requests_dispatch(struct ent *ent)
{
	GPtrArray *pools = ent->pools_by_priority;

	/* Guaranteed shares take precedence over priority. */
	for (unsigned i = 0; i < pools->len && ent->queued; i++) {
		struct pool *pool = pools->pdata[i];

		dispatch_pool(ent, pool, ent_pool_share(ent, pool->guaranteed));
	}
	for (unsigned i = 0; i < pools->len && ent->queued; i++)
		dispatch_pool(ent, pools->pdata[i], G_MAXUINT);
}
