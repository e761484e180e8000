#include <string.h>

#include "internal.h"

/* Interval of PeerState while the shard claims do not change. */
#define PEER_STATE_INTERVAL_MS 5000

/* Several scan intervals; peers with queues report them at each scan. */
#define WANTED_SLOTS_VALID_MS 3000

/*
 * Peer limit in percent of an equal share of the slots. A slot is free for a
 * round trip until the entry that used it sends its next request. With 100,
 * other entries could not use it in this time, and queues that form when a zone
 * is lost at high load would never empty (bench_requests).
 */
#define PEER_SHARE_PERCENT 125

/* Bounds FleetInfo to 100 frames/s on average in a large fleet. */
#define FLEET_INFO_MS_PER_AGENT 10

/* A job shard that a peer owns, and its shard term. */
struct claim {
	unsigned shard;
	guint64 term;
};

static struct peer *peer_get(struct ent *ent, const char *id)
{
	struct peer *peer = g_hash_table_lookup(ent->peers, id);

	if (peer)
		return peer;
	peer = g_new0(struct peer, 1);
	peer->id = g_strdup(id);
	peer->conns = g_array_new(FALSE, FALSE, sizeof(guint64));
	peer->claims = g_array_new(FALSE, FALSE, sizeof(struct claim));
	peer->wanted_slots = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, NULL);
	peer->disconnected_ms = ent->now_ms;
	g_hash_table_insert(ent->peers, peer->id, peer);
	return peer;
}

void ent_peer_free(void *data)
{
	struct peer *peer = data;

	g_array_unref(peer->conns);
	g_array_unref(peer->claims);
	g_hash_table_unref(peer->wanted_slots);
	g_free(peer->zone);
	g_free(peer->id);
	g_free(peer);
}

static gboolean peer_alive(const struct ent *ent, const struct peer *peer)
{
	return peer->conns->len ||
	       (peer->registered &&
		ent->now_ms - peer->disconnected_ms < ENT_PEER_LOST_MS);
}

void ent_peers_recount(struct ent *ent)
{
	GHashTableIter iter;
	void *value;

	ent->n_alive = 1;
	ent->rank = 0;
	g_hash_table_iter_init(&iter, ent->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (!peer_alive(ent, peer))
			continue;
		ent->n_alive++;
		ent->rank += strcmp(peer->id, ent->id) < 0;
	}
}

static void hello_send(struct ent *ent, struct conn *conn)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_PEER_HELLO);

	wire_set_string(&frame->peer_hello->entry_id, ent->id);
	wire_set_string(&frame->peer_hello->zone, ent->zone);
	frame->peer_hello->tables_generation = ent_tables_generation(ent);
	frame->peer_hello->accepts_deltas = TRUE;
	frame->peer_hello->knows_members = TRUE;
	conn->hello_sent = TRUE;
	ent_fx_send(ent, conn->id, frame);
}

void ent_peer_connected(struct ent *ent, struct conn *conn)
{
	if (!conn->hello_sent)
		hello_send(ent, conn);
}

/* Queued requests that would use a slot if a peer freed one. */
static unsigned queued_for_slots(const struct pool *pool)
{
	if (!ent_pool_members_in_service(pool))
		return 0;
	return ent_heap_size(&pool->queue);
}

static struct Rp__Frame *state_frame(struct ent *ent)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_PEER_STATE);
	struct Rp__PeerState *state = frame->peer_state;
	GPtrArray *pools = ent->pools_by_priority;

	state->tables_generation = ent_tables_generation(ent);
	state->pools = g_new0(Rp__PoolLoad *, pools->len);
	for (unsigned i = 0; i < pools->len; i++) {
		const struct pool *pool = pools->pdata[i];
		Rp__PoolLoad *load;

		if (!pool->in_flight && !queued_for_slots(pool))
			continue;
		load = g_new(Rp__PoolLoad, 1);
		rp__pool_load__init(load);
		wire_set_string(&load->pool, pool->name);
		load->in_flight = pool->in_flight;
		load->queued = queued_for_slots(pool);
		load->latency_us = (guint32)(pool->latency_ms * 1000);
		load->fleet_slots = (guint32)pool->fleet_slots;
		state->pools[state->n_pools++] = load;
	}
	state->claims = g_new0(Rp__ShardClaim *, JOB_SHARDS);
	for (unsigned shard = 0; shard < JOB_SHARDS; shard++) {
		guint64 term = job_shard_term(ent->jobs, shard);
		Rp__ShardClaim *claim;

		if (!term)
			continue;
		claim = g_new(Rp__ShardClaim, 1);
		rp__shard_claim__init(claim);
		claim->shard = shard;
		claim->term = term;
		state->claims[state->n_claims++] = claim;
	}
	return frame;
}

static guint64 claims_digest(const struct ent *ent)
{
	guint64 digest = 0;

	for (unsigned shard = 0; shard < JOB_SHARDS; shard++)
		digest = digest * G_GUINT64_CONSTANT(6364136223846793005) +
			 job_shard_term(ent->jobs, shard) + 1;
	return digest;
}

/* Reports to the job scheduler which connection of the peer is in use. */
static void notify_job_scheduler(struct ent *ent, const struct peer *peer)
{
	struct job_event event = { .kind = JOB_EV_PEER };

	if (!peer->accepts_job_member_frames)
		return;
	event.peer.id = peer->id;
	if (peer->conns->len)
		event.peer.conn = g_array_index(peer->conns, guint64,
						peer->conns->len - 1);
	ent_job_event(ent, &event);
}

void ent_peer_job_member_frame(struct ent *ent, struct conn *conn,
			       const struct Rp__Frame *frame)
{
	struct job_event event = { .kind = JOB_EV_PEER_FRAME };

	event.peer.id = conn->peer->id;
	event.peer.conn = conn->id;
	event.peer.frame = frame;
	ent_job_event(ent, &event);
}

void ent_peer_hello(struct ent *ent, struct conn *conn,
		    const struct Rp__PeerHello *hello)
{
	struct peer *peer;

	if (conn->agent || !*hello->entry_id ||
	    !strcmp(hello->entry_id, ent->id) ||
	    (conn->peer && strcmp(conn->peer->id, hello->entry_id) != 0)) {
		ent_conn_protocol_error(ent, conn, "PeerHello of entry \"%s\"",
					hello->entry_id);
		return;
	}
	peer = peer_get(ent, hello->entry_id);
	if (!conn->peer) {
		conn->peer = peer;
		g_array_append_val(peer->conns, conn->id);
		g_free(peer->zone);
		peer->zone = g_strdup(hello->zone);
		if (!conn->hello_sent)
			hello_send(ent, conn);
		ent_fx_send(ent, conn->id, state_frame(ent));
		ent_peers_recount(ent);
		peer->accepts_job_member_frames = hello->knows_members;
		notify_job_scheduler(ent, peer);
	}
	conn->accepts_deltas = hello->accepts_deltas;
	ent_tables_send_if_newer(ent, conn, hello->tables_generation);
	ent_evacuation_send(ent, conn);
}

/* Returns how many peers queue requests; adds the slots they want. */
static unsigned peers_queueing(const struct ent *ent, const struct pool *pool,
			       guint64 *wanted)
{
	unsigned n = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ent->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;
		gpointer slots = g_hash_table_lookup(peer->wanted_slots,
						     pool->name);

		if (!slots || ent->now_ms - peer->wanted_slots_updated_ms >
				      WANTED_SLOTS_VALID_MS)
			continue;
		n++;
		*wanted += GPOINTER_TO_UINT(slots);
	}
	return n;
}

/* Slots that all entries together use or could use for the pool. */
static unsigned usable_slots(const struct pool *pool)
{
	unsigned slots = pool->in_flight;

	for (unsigned i = 0; i < pool->members->len; i++) {
		const struct member *member = pool->members->pdata[i];

		if (!ent_agent_out_of_service(member->agent))
			slots += member->others_in_use + member->free_slots;
	}
	return slots;
}

/*
 * The entry that used a slot is the first to see it free. While several entries
 * queue requests, one that uses most slots would keep them and starve the
 * queues of the others.
 */
static unsigned peer_limit(const struct ent *ent, const struct pool *pool)
{
	guint64 wanted = 0;
	unsigned n = peers_queueing(ent, pool, &wanted);
	unsigned slots;

	if (!n)
		return 0;
	slots = usable_slots(pool);
	return MAX(slots * PEER_SHARE_PERCENT / 100 / (n + 1) + 1,
		   (unsigned)(slots > wanted ? slots - wanted : 0));
}

static void update_peer_limits(struct ent *ent)
{
	GPtrArray *pools = ent->pools_by_priority;

	for (unsigned i = 0; i < pools->len; i++) {
		struct pool *pool = pools->pdata[i];

		pool->peer_limit = peer_limit(ent, pool);
	}
}

static gboolean has_queues(const struct ent *ent)
{
	GPtrArray *pools = ent->pools_by_priority;

	for (unsigned i = 0; i < pools->len; i++)
		if (queued_for_slots(pools->pdata[i]))
			return TRUE;
	return FALSE;
}

void ent_peer_state(struct ent *ent, struct conn *conn,
		    const struct Rp__PeerState *state)
{
	struct peer *peer = conn->peer;

	peer->in_flight = 0;
	g_hash_table_remove_all(peer->wanted_slots);
	peer->wanted_slots_updated_ms = ent->now_ms;
	for (size_t i = 0; i < state->n_pools; i++) {
		const struct Rp__PoolLoad *load = state->pools[i];
		unsigned wanted = load->in_flight + load->queued;

		peer->in_flight += load->in_flight;
		if (load->queued)
			g_hash_table_insert(peer->wanted_slots,
					    g_strdup(load->pool),
					    GUINT_TO_POINTER(wanted));
	}
	update_peer_limits(ent);
	g_array_set_size(peer->claims, 0);
	for (size_t i = 0; i < state->n_claims; i++) {
		struct claim claim = { state->claims[i]->shard,
				       state->claims[i]->term };

		if (claim.shard < JOB_SHARDS)
			g_array_append_val(peer->claims, claim);
	}
	ent_tables_send_if_newer(ent, conn, state->tables_generation);
}

void ent_peer_closed(struct ent *ent, struct conn *conn)
{
	struct peer *peer = conn->peer;

	for (unsigned i = 0; i < peer->conns->len; i++) {
		if (g_array_index(peer->conns, guint64, i) != conn->id)
			continue;
		g_array_remove_index(peer->conns, i);
		break;
	}
	conn->peer = NULL;
	if (!peer->conns->len) {
		peer->disconnected_ms = ent->now_ms;
		g_array_set_size(peer->claims, 0);
		g_hash_table_remove_all(peer->wanted_slots);
		update_peer_limits(ent);
	}
	ent_peers_recount(ent);
	notify_job_scheduler(ent, peer);
}

void ent_entries_set(struct ent *ent, const char *const *ids,
		     const char *const *addresses, size_t n)
{
	struct job_event event = { .kind = JOB_EV_ENTRIES };
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ent->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct peer *)value)->registered = FALSE;
	g_ptr_array_set_size(ent->entry_addresses, 0);
	for (size_t i = 0; i < n; i++) {
		g_ptr_array_add(ent->entry_addresses, g_strdup(addresses[i]));
		if (strcmp(ids[i], ent->id) != 0)
			peer_get(ent, ids[i])->registered = TRUE;
	}
	ent->addresses_changed = TRUE;
	ent_peers_recount(ent);
	event.entries.ids = ids;
	event.entries.n = n;
	ent_job_event(ent, &event);
}

guint64 ent_shard_owner_conn(const struct ent *ent, unsigned shard)
{
	guint64 best = job_shard_term(ent->jobs, shard);
	guint64 owner = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ent->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		for (unsigned i = 0; i < peer->claims->len; i++) {
			const struct claim *claim =
				&g_array_index(peer->claims, struct claim, i);

			if (claim->shard != shard || claim->term <= best ||
			    !peer->conns->len)
				continue;
			best = claim->term;
			owner = g_array_index(peer->conns, guint64,
					      peer->conns->len - 1);
		}
	}
	return owner;
}

static void state_send_if_due(struct ent *ent)
{
	guint64 digest = claims_digest(ent);
	gboolean queues = has_queues(ent);
	GHashTableIter iter;
	void *value;

	if (digest == ent->claims_digest && !queues && !ent->queues_announced &&
	    ent->now_ms - ent->last_peer_state_ms < PEER_STATE_INTERVAL_MS)
		return;
	ent->claims_digest = digest;
	ent->queues_announced = queues;
	ent->last_peer_state_ms = ent->now_ms;
	g_hash_table_iter_init(&iter, ent->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (peer->conns->len)
			ent_fx_send(ent,
				    g_array_index(peer->conns, guint64,
						  peer->conns->len - 1),
				    state_frame(ent));
	}
}

static gboolean agent_info_changed(const struct agent *agent)
{
	for (unsigned i = 0; i < agent->members->len; i++) {
		const struct member *member = agent->members->pdata[i];

		if (member->pool->slots_changed)
			return TRUE;
	}
	return FALSE;
}

static void fleet_info_send_if_due(struct ent *ent)
{
	gint64 interval = (gint64)g_hash_table_size(ent->agents) *
			  FLEET_INFO_MS_PER_AGENT;
	GPtrArray *pools = ent->pools_by_priority;
	GHashTableIter iter;
	void *agent;

	if (ent->now_ms - ent->last_fleet_info_ms < interval)
		return;
	ent->last_fleet_info_ms = ent->now_ms;
	g_hash_table_iter_init(&iter, ent->agents);
	while (g_hash_table_iter_next(&iter, NULL, &agent))
		if (ent->addresses_changed || agent_info_changed(agent))
			ent_fleet_info_send(ent, agent);
	for (unsigned i = 0; i < pools->len; i++)
		((struct pool *)pools->pdata[i])->slots_changed = FALSE;
	ent->addresses_changed = FALSE;
}

static gboolean peer_removable(void *id, void *value, void *data)
{
	const struct peer *peer = value;

	(void)id;
	return !peer->registered && !peer_alive(data, peer);
}

void ent_peers_scan(struct ent *ent)
{
	g_hash_table_foreach_remove(ent->peers, peer_removable, ent);
	ent_peers_recount(ent);
	update_peer_limits(ent);
	state_send_if_due(ent);
	fleet_info_send_if_due(ent);
}
