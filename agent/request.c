#include "internal.h"

/** Inverse weight of an answer in the moving average of the latency. */
#define LATENCY_WEIGHT_DIVISOR 8

struct pool *agt_pool_find(struct agt *agt, const char *name)
{
	unsigned i;

	for (i = 0; i < agt->pools->len; i++) {
		struct pool *pool = g_ptr_array_index(agt->pools, i);

		if (!strcmp(pool->name, name))
			return pool;
	}
	return NULL;
}

/*
 * Returns the largest count of the connected entries: one that has just started
 * knows few VMs.
 */
static unsigned fleet_slots(const struct agt *agt, const char *pool)
{
	unsigned most = 0;
	unsigned i;

	for (i = 0; i < agt->peers->len; i++) {
		const struct peer *peer = g_ptr_array_index(agt->peers, i);

		most = MAX(most, GPOINTER_TO_UINT(g_hash_table_lookup(
					 peer->fleet_slots, pool)));
	}
	return most;
}

void agt_pools_recompute(struct agt *agt)
{
	unsigned i;

	for (i = 0; i < agt->pools->len; i++) {
		struct pool *pool = g_ptr_array_index(agt->pools, i);
		const struct cfg_pool *row =
			agt->tables ? cfg_pool_find(agt->tables, pool->name)
				    : NULL;
		guint64 fleet = fleet_slots(agt, pool->name);

		pool->guaranteed_slots = 0;
		if (!row || !row->guaranteed_requests || !fleet)
			continue;
		/* Rounded up, so that all VMs together reach the guarantee. */
		fleet = MAX(fleet, agt->slots);
		pool->guaranteed_slots = (unsigned)MIN(
			agt->slots,
			((guint64)row->guaranteed_requests * agt->slots +
			 fleet - 1) /
				fleet);
	}
}

/*
 * A pool may always use its guaranteed slots; beyond them, it must leave free
 * the unused guaranteed slots of the other pools.
 */
static gboolean slot_free(const struct agt *agt, const struct pool *pool)
{
	unsigned used = agt_slots_in_use(agt);
	unsigned reserved = 0;
	unsigned i;

	if (!agt->admitting || used >= agt->slots)
		return FALSE;
	if (pool->in_flight < pool->guaranteed_slots)
		return TRUE;
	for (i = 0; i < agt->pools->len; i++) {
		const struct pool *other = g_ptr_array_index(agt->pools, i);

		if (other != pool && other->guaranteed_slots > other->in_flight)
			reserved += other->guaranteed_slots - other->in_flight;
	}
	return used + 1 + reserved <= agt->slots;
}

/*
 * Counts by pool the slots whose use the entry does not know of: by other
 * entries, carried over, or by cancelled requests that still run. Those of a
 * pool that is not in the settings, and all slots before the agent admits
 * requests, are counted in the first pool.
 */
static void count_others(const struct agt *agt, guint64 conn,
			 struct Rp__Reply *reply)
{
	GHashTableIter iter;
	const struct request *request;
	unsigned i;

	reply->n_others_in_use = agt->pools->len;
	reply->others_in_use = g_new0(uint32_t, agt->pools->len);
	if (!agt->admitting && agt->pools->len) {
		reply->others_in_use[0] = agt->slots;
		return;
	}
	g_hash_table_iter_init(&iter, agt->requests);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&request))
		if (request->conn != conn || request->replied)
			reply->others_in_use[request->pool->index]++;
	for (i = 0; i < agt->carried_over->len; i++) {
		const struct pool *pool = g_array_index(agt->carried_over,
							struct carried_over, i)
						  .pool;
		uint32_t *in_use =
			&reply->others_in_use[pool ? pool->index : 0];

		*in_use = MIN(*in_use + 1, agt->slots);
	}
}

static struct Rp__Frame *reply_new(struct agt *agt, guint64 conn, guint64 id,
				   Rp__Outcome outcome, Rp__Reason reason)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REPLY);

	frame->reply->id = id;
	frame->reply->outcome = outcome;
	frame->reply->reason = reason;
	count_others(agt, conn, frame->reply);
	frame->reply->tables_generation = agt_generation(agt);
	agt_fx_count(agt, "radishpier_agent_replies_total",
		     g_strdup_printf("outcome=\"%s\",reason=\"%s\"",
				     wire_outcome_name(outcome),
				     wire_reason_name(reason)));
	return frame;
}

static struct request *request_find(struct agt *agt, guint64 conn, guint64 id)
{
	GHashTableIter iter;
	struct request *request;

	g_hash_table_iter_init(&iter, agt->requests);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&request))
		if (request->conn == conn && request->id == id)
			return request;
	return NULL;
}

static Rp__Reason request_refusal(struct agt *agt, struct peer *peer,
				  const struct Rp__Request *request,
				  const struct pool *pool)
{
	if (agt->draining)
		return RP__REASON__REASON_DRAINING;
	if (agt->evacuated) {
		agt_evacuation_send(agt, peer);
		return RP__REASON__REASON_EVACUATED;
	}
	if (request->tables_generation < agt_generation(agt)) {
		agt_tables_send(agt, peer);
		return RP__REASON__REASON_STALE_TABLES;
	}
	if (!agt->has_upstream || !pool)
		return RP__REASON__REASON_UNKNOWN_POOL;
	if (!request->timeout_ms)
		return RP__REASON__REASON_DEADLINE;
	if (!slot_free(agt, pool))
		return RP__REASON__REASON_NO_SLOT;
	return RP__REASON__REASON_NONE;
}

void agt_request(struct agt *agt, struct peer *peer,
		 const struct Rp__Frame *frame)
{
	const struct Rp__Request *in = frame->request;
	struct pool *pool = agt_pool_find(agt, in->pool);
	struct request *request;
	struct agt_effect *fx;
	Rp__Reason reason;

	/* The first one was forwarded, so a not-run reply would be false. */
	if (request_find(agt, peer->conn, in->id)) {
		agt_fx_log(agt, G_LOG_LEVEL_WARNING, NULL,
			   "request id %" G_GUINT64_FORMAT
			   " from %s is already in flight",
			   in->id, peer->address);
		return;
	}
	reason = request_refusal(agt, peer, in, pool);
	if (reason != RP__REASON__REASON_NONE) {
		agt_fx_send(agt, peer->conn,
			    reply_new(agt, peer->conn, in->id,
				      RP__OUTCOME__OUTCOME_NOT_RUN, reason));
		return;
	}
	request = g_new0(struct request, 1);
	request->call = ++agt->next_call;
	request->conn = peer->conn;
	request->id = in->id;
	request->pool = pool;
	request->started_ms = agt->now_ms;
	request->deadline_ms = agt->now_ms + in->timeout_ms;
	g_hash_table_insert(agt->requests, &request->call, request);
	pool->in_flight++;
	agt->report_changed = TRUE;
	fx = agt_fx(agt, AGT_FX_FORWARD);
	fx->forward.call = request->call;
	fx->forward.timeout_ms = in->timeout_ms;
	fx->forward.request = wire_frame_dup(frame);
}

/*
 * The upstream cannot abort a request, so the slot stays in use until the
 * upstream answers or times out.
 */
void agt_request_cancel(struct agt *agt, struct peer *peer, guint64 id)
{
	struct request *request = request_find(agt, peer->conn, id);

	if (!request || request->replied)
		return;
	request->replied = TRUE;
	agt_fx_send(agt, peer->conn,
		    reply_new(agt, peer->conn, id, RP__OUTCOME__OUTCOME_UNKNOWN,
			      RP__REASON__REASON_CANCELLED));
}

static void copy_answer(struct Rp__Reply *reply, const struct agt_event *event)
{
	size_t n = event->upstream.n_headers;
	size_t i;

	reply->status = event->upstream.http_status;
	wire_set_bytes(&reply->body, event->upstream.body,
		       event->upstream.body_len);
	if (!n)
		return;
	reply->headers = g_new0(struct Rp__Header *, n);
	for (i = 0; i < n; i++) {
		struct Rp__Header *header = g_new(struct Rp__Header, 1);

		rp__header__init(header);
		wire_set_string(&header->name,
				event->upstream.headers[i]->name);
		wire_set_string(&header->value,
				event->upstream.headers[i]->value);
		reply->headers[i] = header;
	}
	reply->n_headers = n;
}

static void record_latency(struct pool *pool, gint64 ms)
{
	gint64 us = CLAMP(ms, 0, G_MAXINT32 / 1000) * 1000;

	if (!pool->latency_us)
		pool->latency_us = (unsigned)us;
	else
		pool->latency_us = (unsigned)(pool->latency_us +
					      (us - (gint64)pool->latency_us) /
						      LATENCY_WEIGHT_DIVISOR);
}

void agt_request_ended(struct agt *agt, const struct agt_event *event)
{
	struct request *request = g_hash_table_lookup(agt->requests,
						      &event->upstream.call);
	struct request ended;
	struct Rp__Frame *frame = NULL;

	if (!request)
		return;
	ended = *request;
	g_hash_table_remove(agt->requests, &event->upstream.call);
	ended.pool->in_flight--;
	agt->report_changed = TRUE;
	if (event->upstream.status == AGT_UPSTREAM_ANSWERED) {
		record_latency(ended.pool, agt->now_ms - ended.started_ms);
		agt_intf_add_latency(agt, ended.pool,
				     agt->now_ms - ended.started_ms);
	}
	if (ended.replied || !agt_peer_find(agt, ended.conn))
		return;
	switch (event->upstream.status) {
	case AGT_UPSTREAM_ANSWERED:
		frame = reply_new(agt, ended.conn, ended.id,
				  RP__OUTCOME__OUTCOME_RAN,
				  RP__REASON__REASON_NONE);
		copy_answer(frame->reply, event);
		break;
	case AGT_UPSTREAM_NOT_SENT:
		frame = reply_new(agt, ended.conn, ended.id,
				  RP__OUTCOME__OUTCOME_NOT_RUN,
				  RP__REASON__REASON_UPSTREAM_UNREACHABLE);
		break;
	case AGT_UPSTREAM_FAILED:
		frame = reply_new(agt, ended.conn, ended.id,
				  RP__OUTCOME__OUTCOME_UNKNOWN,
				  agt->now_ms >= ended.deadline_ms
					  ? RP__REASON__REASON_DEADLINE
					  : RP__REASON__REASON_UPSTREAM_ERROR);
		break;
	}
	agt_fx_send(agt, ended.conn, frame);
}
