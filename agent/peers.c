#include "internal.h"

/** Redial delays; the delay doubles with each failure. */
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000

/** Time-out of a dial, and of the Welcome on an open connection. */
#define WELCOME_TIMEOUT_MS 5000

/** Time after which an address from an entry is removed if it is not connected
 * and no entry has sent it again. */
#define ADDRESS_EXPIRY_MS (10 * 60 * 1000)

/** Bounds memory if an entry sends invalid addresses. */
#define MAX_PEERS 256

void agt_peer_free(void *data)
{
	struct peer *peer = data;

	g_free(peer->address);
	g_free(peer->entry_id);
	g_free(peer->alias_of);
	g_hash_table_destroy(peer->fleet_slots);
	g_free(peer);
}

struct peer *agt_peer_find(struct agt *agt, guint64 conn)
{
	unsigned i;

	for (i = 0; i < agt->peers->len; i++) {
		struct peer *peer = g_ptr_array_index(agt->peers, i);

		if (conn && peer->conn == conn)
			return peer;
	}
	return NULL;
}

static struct peer *find_address(struct agt *agt, const char *address)
{
	unsigned i;

	for (i = 0; i < agt->peers->len; i++) {
		struct peer *peer = g_ptr_array_index(agt->peers, i);

		if (!strcmp(peer->address, address))
			return peer;
	}
	return NULL;
}

void agt_peers_add(struct agt *agt, const char *address, gboolean configured)
{
	struct peer *peer = find_address(agt, address);

	if (!peer) {
		if (!*address || agt->peers->len >= MAX_PEERS)
			return;
		peer = g_new0(struct peer, 1);
		peer->address = g_strdup(address);
		peer->configured = configured;
		peer->backoff_ms = BACKOFF_MIN_MS;
		peer->fleet_slots = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
		g_ptr_array_add(agt->peers, peer);
	}
	peer->last_seen_ms = agt->now_ms;
}

/* Clears the state of the connection and schedules the next dial. */
static void peer_disconnected(struct agt *agt, struct peer *peer)
{
	GHashTableIter iter;
	struct shard *shard;
	unsigned delay_ms = peer->backoff_ms;

	g_hash_table_iter_init(&iter, agt->shards);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&shard))
		if (shard->conn == peer->conn)
			shard->conn = 0;
	if (peer->connected)
		agt_fx_log(agt, G_LOG_LEVEL_INFO, NULL,
			   "connection to entry %s at %s is closed",
			   peer->entry_id ? peer->entry_id : "?",
			   peer->address);
	peer->dial_finished = TRUE;
	/* A grant request that this entry did not answer is sent to another. */
	if (agt->grant_retry_delay_ms && agt->grant_conn == peer->conn)
		agt->next_grant_request_ms = agt->now_ms;
	peer->conn = 0;
	peer->connected = FALSE;
	peer->welcomed = FALSE;
	peer->tables_sent = 0;
	peer->evacuations_sent = 0;
	g_clear_pointer(&peer->entry_id, g_free);
	g_hash_table_remove_all(peer->fleet_slots);
	agt_pools_recompute(agt);
	/* Half of the delay is random, so that agents do not dial at once. */
	peer->next_dial_ms = agt->now_ms + delay_ms / 2 +
			     g_rand_int_range(agt->rand, 0,
					      (gint32)delay_ms / 2 + 1);
	peer->backoff_ms = MIN(peer->backoff_ms * 2, BACKOFF_MAX_MS);
}

static void close_connection(struct agt *agt, struct peer *peer)
{
	struct agt_effect *fx = agt_fx(agt, AGT_FX_CLOSE);

	fx->close.conn = peer->conn;
	peer_disconnected(agt, peer);
}

/* TRUE if the entry is connected, or dialled, at another address; else clears
 * alias_of, so that this address is dialled. */
static gboolean is_redundant(struct agt *agt, struct peer *peer)
{
	struct peer *other;

	if (!peer->alias_of)
		return FALSE;
	other = find_address(agt, peer->alias_of);
	if (other && other->conn)
		return TRUE;
	g_clear_pointer(&peer->alias_of, g_free);
	return FALSE;
}

static void dial(struct agt *agt, struct peer *peer)
{
	struct agt_effect *fx;

	if (agt->now_ms < peer->next_dial_ms || is_redundant(agt, peer))
		return;
	peer->conn = ++agt->next_conn;
	peer->conn_started_ms = agt->now_ms;
	if (agt->first_dial_ms < 0)
		agt->first_dial_ms = agt->now_ms;
	fx = agt_fx(agt, AGT_FX_DIAL);
	fx->dial.conn = peer->conn;
	fx->dial.address = g_strdup(peer->address);
}

void agt_peers_tick(struct agt *agt)
{
	unsigned i;

	/* The first TaskList to an entry must contain all tasks. */
	if (!agt->tasks_known)
		return;
	for (i = agt->peers->len; i-- > 0;) {
		struct peer *peer = g_ptr_array_index(agt->peers, i);

		if (peer->conn && !peer->welcomed &&
		    agt->now_ms - peer->conn_started_ms >= WELCOME_TIMEOUT_MS)
			close_connection(agt, peer);
		if (peer->connected)
			peer->last_seen_ms = agt->now_ms;
		else if (!peer->configured && !peer->conn &&
			 agt->now_ms - peer->last_seen_ms >= ADDRESS_EXPIRY_MS)
			g_ptr_array_remove_index(agt->peers, i);
		else if (!peer->conn)
			dial(agt, peer);
	}
}

static void send_hello(struct agt *agt, struct peer *peer)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_HELLO);
	struct Rp__Hello *hello = frame->hello;
	unsigned i;

	wire_set_string(&hello->vm, agt->vm);
	wire_set_string(&hello->agent_boot_id, agt->boot_id);
	wire_set_string(&hello->worker_boot_id, agt->worker_boot_id);
	wire_set_string(&hello->zone, agt->zone);
	wire_set_string(&hello->rack, agt->rack);
	hello->n_pools = agt->pools->len;
	hello->pools = g_new0(char *, agt->pools->len);
	for (i = 0; i < agt->pools->len; i++) {
		const struct pool *pool = g_ptr_array_index(agt->pools, i);

		wire_set_string(&hello->pools[i], pool->name);
	}
	hello->slots = agt->has_upstream ? agt->slots : 0;
	hello->connections = agt->connections;
	hello->capacity = wire_resources_dup(NULL);
	if (agt->has_worker) {
		hello->capacity->cpu_milli = agt->cpu_milli;
		hello->capacity->memory_bytes = agt->memory_bytes;
		hello->capacity->accelerators = agt->accelerators;
	}
	hello->tables_generation = agt_generation(agt);
	hello->accepts_deltas = TRUE;
	hello->session = agt->session;
	hello->draining = agt->draining;
	agt_fx_send(agt, peer->conn, frame);
}

void agt_peers_connected(struct agt *agt, guint64 conn)
{
	struct peer *peer = agt_peer_find(agt, conn);

	if (!peer || peer->connected) {
		if (!peer)
			agt_fx(agt, AGT_FX_CLOSE)->close.conn = conn;
		return;
	}
	peer->connected = TRUE;
	peer->conn_started_ms = agt->now_ms;
	send_hello(agt, peer);
}

void agt_peers_closed(struct agt *agt, guint64 conn)
{
	struct peer *peer = agt_peer_find(agt, conn);

	if (peer)
		peer_disconnected(agt, peer);
}

/* Closes older connections to the same entry at other addresses. */
static void close_other_connections(struct agt *agt, struct peer *peer)
{
	unsigned i;

	for (i = 0; i < agt->peers->len; i++) {
		struct peer *other = g_ptr_array_index(agt->peers, i);

		if (other == peer || !other->entry_id ||
		    strcmp(other->entry_id, peer->entry_id))
			continue;
		close_connection(agt, other);
		g_free(other->alias_of);
		other->alias_of = g_strdup(peer->address);
	}
}

void agt_peers_welcome(struct agt *agt, struct peer *peer,
		       const struct Rp__Welcome *welcome)
{
	size_t i;

	peer->welcomed = TRUE;
	peer->dial_finished = TRUE;
	peer->backoff_ms = BACKOFF_MIN_MS;
	g_free(peer->entry_id);
	peer->entry_id = g_strdup(welcome->entry_id);
	agt_fx_log(agt, G_LOG_LEVEL_INFO, NULL, "connected to entry %s at %s",
		   peer->entry_id, peer->address);
	agt_carried_over_add(agt, peer, welcome);
	if (*peer->entry_id)
		close_other_connections(agt, peer);
	if (welcome->tables_generation < agt_generation(agt))
		agt_tables_send(agt, peer);
	agt_evacuation_send(agt, peer);
	for (i = 0; i < welcome->n_entry_addresses; i++)
		agt_peers_add(agt, welcome->entry_addresses[i], FALSE);
	agt->report_urgent = TRUE;
}

void agt_peers_fleet_info(struct agt *agt, struct peer *peer,
			  const struct Rp__FleetInfo *info)
{
	size_t i;

	g_hash_table_remove_all(peer->fleet_slots);
	for (i = 0; i < info->n_pools; i++)
		g_hash_table_insert(
			peer->fleet_slots, g_strdup(info->pools[i]->pool),
			GUINT_TO_POINTER(info->pools[i]->fleet_slots));
	agt_pools_recompute(agt);
	for (i = 0; i < info->n_entry_addresses; i++)
		agt_peers_add(agt, info->entry_addresses[i], FALSE);
}

static struct Rp__Frame *report_new(struct agt *agt)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REPORT);
	struct Rp__Report *report = frame->report;
	struct agt_committed committed;
	GHashTableIter iter;
	struct task *task;
	unsigned i;

	agt_committed(agt, &committed);
	/* Until requests are admitted, entries must not send any. */
	report->slots_in_use = agt->admitting ? MIN(committed.slots, agt->slots)
					      : agt->slots;
	report->committed = wire_resources_dup(NULL);
	report->committed->cpu_milli = committed.cpu_milli;
	report->committed->memory_bytes = committed.memory_bytes;
	report->committed->accelerators = committed.accelerators;
	report->used = wire_resources_dup(NULL);
	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task)) {
		if (!task->reserved)
			continue;
		report->used->cpu_milli += task->used_cpu_milli;
		report->used->memory_bytes += task->used_memory_bytes;
		/* The worker does not measure it: the declared number. */
		report->used->accelerators += task->accelerators;
	}
	report->draining = agt->draining;
	report->tables_generation = committed.tables_generation;
	report->session = committed.session;
	wire_set_string(&report->worker_boot_id, agt->worker_boot_id);
	report->n_pools = agt->pools->len;
	report->pools = g_new0(struct Rp__PoolLoad *, agt->pools->len);
	for (i = 0; i < agt->pools->len; i++) {
		const struct pool *pool = g_ptr_array_index(agt->pools, i);
		struct Rp__PoolLoad *load = g_new(struct Rp__PoolLoad, 1);

		rp__pool_load__init(load);
		wire_set_string(&load->pool, pool->name);
		load->in_flight = pool->in_flight;
		load->latency_us = pool->latency_us;
		load->high_us = pool->tail_us;
		load->quiet_us = pool->baseline_us;
		load->limit_us = pool->limit_us;
		load->answers_per_min = (uint32_t)pool->answers_per_min;
		report->pools[i] = load;
	}
	agt_intf_report(agt, report);
	return frame;
}

void agt_report_tick(struct agt *agt)
{
	gint64 since_report_ms = agt->now_ms - agt->last_report_ms;
	unsigned i;

	if (!agt->report_urgent && since_report_ms < HEARTBEAT_MS &&
	    (!agt->report_changed || since_report_ms < REPORT_INTERVAL_MS))
		return;
	agt->report_urgent = FALSE;
	agt->report_changed = FALSE;
	agt->last_report_ms = agt->now_ms;
	for (i = 0; i < agt->peers->len; i++) {
		const struct peer *peer = g_ptr_array_index(agt->peers, i);

		if (peer->connected)
			agt_fx_send(agt, peer->conn, report_new(agt));
	}
}

guint64 agt_generation(const struct agt *agt)
{
	return agt->tables ? agt->tables->generation : 0;
}

/* Each generation is sent once per connection: a refusal would recur. */
void agt_tables_send(struct agt *agt, struct peer *peer)
{
	if (!agt->tables || peer->tables_sent >= agt->tables->generation)
		return;
	peer->tables_sent = agt->tables->generation;
	agt_fx_send(agt, peer->conn, wire_tables_update_new(agt->tables_bytes));
}

static void tables_adopt(struct agt *agt, struct cfg_tables *tables,
			 GBytes *document)
{
	cfg_tables_free(agt->tables);
	agt->tables = tables;
	g_clear_pointer(&agt->tables_bytes, g_bytes_unref);
	agt->tables_bytes = g_bytes_ref(document);
	agt_pools_recompute(agt);
	agt->report_changed = TRUE;
	agt_fx_log(agt, G_LOG_LEVEL_INFO, NULL,
		   "adopted tables of generation %" G_GUINT64_FORMAT,
		   tables->generation);
	if (tables->unknown_keys)
		agt_fx_log(agt, G_LOG_LEVEL_WARNING, NULL,
			   "tables of generation %" G_GUINT64_FORMAT
			   " have keys that this version ignores: %s",
			   tables->generation, tables->unknown_keys);
}

static void count_refusal(struct agt *agt, const char *reason)
{
	agt_fx_count(agt, "radishpier_agent_tables_refused_total",
		     g_strdup_printf("reason=\"%s\"", reason));
}

static void refuse_generation(struct agt *agt, const struct peer *peer,
			      guint64 generation)
{
	count_refusal(agt, "conflict");
	agt_fx_log(agt, G_LOG_LEVEL_CRITICAL, NULL,
		   "tables of generation %" G_GUINT64_FORMAT
		   " from %s are refused: generation %" G_GUINT64_FORMAT
		   " is held",
		   generation, peer->address, agt_generation(agt));
}

static void document_received(struct agt *agt, struct peer *peer,
			      GBytes *document)
{
	g_autoptr(GError) error = NULL;
	gsize len;
	const void *data = g_bytes_get_data(document, &len);
	struct cfg_tables *tables = cfg_tables_decode(data, len, &error);

	if (!tables) {
		count_refusal(agt, "malformed");
		agt_fx_log(agt, G_LOG_LEVEL_CRITICAL, NULL,
			   "tables from %s are refused: %s", peer->address,
			   error ? error->message : "unknown error");
		return;
	}
	switch (cfg_tables_compare(agt->tables, tables)) {
	case CFG_ADOPT_NEWER:
		tables_adopt(agt, tables, document);
		return;
	case CFG_ADOPT_SAME:
		break;
	case CFG_ADOPT_OLDER:
		agt_tables_send(agt, peer);
		G_GNUC_FALLTHROUGH;
	case CFG_ADOPT_CONFLICT:
		refuse_generation(agt, peer, tables->generation);
		break;
	}
	cfg_tables_free(tables);
}

void agt_tables_received(struct agt *agt, struct peer *peer,
			 const struct Rp__TablesUpdate *update)
{
	g_autoptr(GBytes) document = g_bytes_new(update->document.data,
						 update->document.len);

	document_received(agt, peer, document);
}

void agt_tables_delta(struct agt *agt, struct peer *peer,
		      const struct Rp__TablesDelta *delta)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(GBytes) document = NULL;
	struct Rp__Frame *wanted;

	if (delta->generation < agt_generation(agt)) {
		agt_tables_send(agt, peer);
		refuse_generation(agt, peer, delta->generation);
		return;
	}
	if (agt->tables_bytes &&
	    wire_document_digest(agt->tables_bytes) == delta->digest)
		return;
	document = wire_delta_apply(agt->tables_bytes, delta, &error);
	if (document) {
		document_received(agt, peer, document);
		return;
	}
	count_refusal(agt, "delta");
	/* Normal if another entry sent newer tables than the delta's base. */
	agt_fx_log(agt, G_LOG_LEVEL_WARNING, NULL,
		   "tables from %s are refused: %s", peer->address,
		   error->message);
	wanted = wire_frame_new(RP__FRAME__BODY_TABLES_WANTED);
	wanted->tables_wanted->generation = delta->generation;
	agt_fx_send(agt, peer->conn, wanted);
}
