#include <string.h>

#include "bench/model_internal.h"

/* One-way latency within a zone and between two zones. */
#define SAME_ZONE_US 200
#define OTHER_ZONE_US 4000

/* TCP's minimum timeout, after which a lost segment is sent again. */
#define RETRANSMIT_US 200000

/* As the entry's TCP_ACK_TIMEOUT_MS, which ends dead connections. */
#define DEAD_US 10000000

#define FAILING_ANSWER_US 500

static const unsigned priorities[MODEL_POOLS] = { 0, 20, 50 };
static const unsigned timeouts_ms[MODEL_POOLS] = { 2000, 5000, 15000 };
static const unsigned latency_targets_ms[MODEL_POOLS] = { 250, 0, 0 };

const char *const model_pool_names[MODEL_POOLS] = { "urgent", "normal",
						    "batch" };

static const char *const zone_names[] = { "zone-a", "zone-b", "zone-c",
					  "zone-d" };
static const char *const entry_names[MODEL_ENTRIES] = { "0", "1" };
static const char *const paths[MODEL_POOLS] = { "/urgent", "/normal",
						"/batch" };

static GBytes *tables_document(const struct model_options *options)
{
	struct cfg_pool pools[MODEL_POOLS] = { 0 };
	struct cfg_route routes[MODEL_POOLS];
	struct cfg_tables tables = { .generation = 1,
				     .incarnation = "bench",
				     .author = "bench" };
	GBytes *bytes;

	tables.pools = g_ptr_array_new();
	tables.routes = g_ptr_array_new();
	for (unsigned i = 0; i < MODEL_POOLS; i++) {
		pools[i].name = (char *)model_pool_names[i];
		pools[i].class = i == MODEL_URGENT ? CFG_CLASS_LATENCY_CRITICAL
						   : CFG_CLASS_BATCH;
		pools[i].priority = priorities[i];
		/* Without limits no guarantees: agents apply them too. */
		if (!options->no_limits)
			pools[i].guaranteed_requests =
				options->site->guaranteed[i];
		pools[i].queue_length = MODEL_QUEUE_LENGTH;
		pools[i].latency_target_ms = latency_targets_ms[i];
		pools[i].retry_budget_percent = 10;
		pools[i].hedge_budget_percent = options->hedge_percent;
		routes[i] = (struct cfg_route){
			"*",
			"*",
			(char *)paths[i],
			(char *)model_pool_names[i],
			i != MODEL_BATCH,
			FALSE,
			timeouts_ms[i],
		};
		g_ptr_array_insert(tables.pools, 0, &pools[i]);
		g_ptr_array_add(tables.routes, &routes[i]);
	}
	bytes = cfg_tables_encode(&tables);
	g_ptr_array_unref(tables.pools);
	g_ptr_array_unref(tables.routes);
	return bytes;
}

void model_schedule(struct model *m, gint64 after_us,
		    enum model_event_kind kind, unsigned node, guint64 arg)
{
	struct model_event event = { .at_us = m->now_us + after_us,
				     .kind = kind,
				     .node = node,
				     .arg = arg };

	model_queue_push(&m->queue, &event);
}

static struct model_link *link_at(struct model *m, guint64 i)
{
	return &g_array_index(m->links, struct model_link, i);
}

static guint64 link_new(struct model *m, unsigned from, unsigned to,
			guint64 from_conn)
{
	guint64 i = m->links->len;
	struct model_link link = { .node = { from, to } };

	link.between_zones = m->nodes[from].zone != m->nodes[to].zone;
	link.delay_us = link.between_zones ? OTHER_ZONE_US : SAME_ZONE_US;
	/* At entries the connection ID is the link's index + 1. */
	link.conn[0] = from_conn ? from_conn : i + 1;
	link.conn[1] = i + 1;
	link.open = !m->nodes[to].lost;
	g_array_append_val(m->links, link);
	model_schedule(m, 2 * link.delay_us,
		       link.open ? MODEL_EV_CONNECTED : MODEL_EV_CLOSED, from,
		       i);
	return i;
}

/* Index of the node's open link with this connection ID, or -1. */
static gint64 link_find(struct model *m, unsigned node, guint64 conn)
{
	if (node < MODEL_ENTRIES)
		return conn <= m->links->len && link_at(m, conn - 1)->open
			       ? (gint64)conn - 1
			       : -1;
	for (guint64 i = m->links->len; i-- > 0;) {
		const struct model_link *link = link_at(m, i);

		if (link->open && link->node[0] == node &&
		    link->conn[0] == conn)
			return (gint64)i;
	}
	return -1;
}

/* Takes ownership of the frame; drops it if the link is closed. */
static void link_send(struct model *m, unsigned node, guint64 conn,
		      struct Rp__Frame *frame)
{
	struct model_event event = { .kind = MODEL_EV_FRAME, .frame = frame };
	gint64 i = link_find(m, node, conn);
	struct model_link *link = i < 0 ? NULL : link_at(m, (guint64)i);
	unsigned to;

	if (!link || m->nodes[link->node[0]].lost ||
	    m->nodes[link->node[1]].lost) {
		wire_frame_free(frame);
		return;
	}
	to = link->node[0] == node;
	event.node = link->node[to];
	event.arg = (guint64)i;
	event.at_us = m->now_us + link->delay_us;
	if (m->faulty && link->between_zones &&
	    g_rand_int_range(m->network, 0, 100) <
		    (gint32)m->options->delayed_percent)
		event.at_us += RETRANSMIT_US;
	event.at_us = MAX(event.at_us, link->last_us[to]);
	link->last_us[to] = event.at_us;
	model_queue_push(&m->queue, &event);
}

static void link_close(struct model *m, unsigned node, guint64 conn)
{
	gint64 i = link_find(m, node, conn);
	struct model_link *link;

	if (i < 0)
		return;
	link = link_at(m, (guint64)i);
	link->open = FALSE;
	model_schedule(m, link->delay_us, MODEL_EV_CLOSED,
		       link->node[link->node[0] == node], (guint64)i);
}

static void entry_effect(struct model *m, unsigned node,
			 struct ent_effect *effect)
{
	struct Rp__Frame *frame;

	switch (effect->kind) {
	case ENT_FX_SEND:
		frame = effect->send.frame;
		effect->send.frame = NULL;
		if (frame->body_case == RP__FRAME__BODY_REQUEST) {
			guint64 handle = g_ascii_strtoull(
				frame->request->request_id, NULL, 10);

			g_array_index(m->requests, struct model_request,
				      handle - 1)
				.attempts++;
		}
		link_send(m, node, effect->send.conn, frame);
		break;
	case ENT_FX_CLOSE:
		link_close(m, node, effect->close.conn);
		break;
	case ENT_FX_ANSWER:
		model_answered(m, effect->answer.handle, effect->answer.outcome,
			       effect->answer.status);
		break;
	case ENT_FX_DRAINED:
		model_schedule(m, 0, MODEL_EV_RESTART, node,
			       MODEL_RESTART_EXIT);
		break;
	default:
		break;
	}
}

static void update_longest_queues(struct model *m, unsigned node)
{
	for (unsigned i = 0; i < MODEL_POOLS; i++) {
		unsigned *longest = &m->result->pools[i].longest_queue;

		*longest = MAX(*longest,
			       ent_queued_requests(m->nodes[node].ent,
						   model_pool_names[i]));
	}
}

void model_entry_apply(struct model *m, unsigned node, struct ent_event *event)
{
	GArray *effects = ent_effects_new();

	event->now_ms = m->now_us / 1000;
	event->unix_ms = event->now_ms;
	ent_reduce(m->nodes[node].ent, event, effects);
	update_longest_queues(m, node);
	for (guint i = 0; i < effects->len; i++)
		entry_effect(m, node,
			     &g_array_index(effects, struct ent_effect, i));
	g_array_unref(effects);
}

static void forward(struct model *m, unsigned node,
		    const struct agt_effect *effect)
{
	struct model_node *vm = &m->nodes[node];
	guint64 handle = g_ascii_strtoull(
		effect->forward.request->request->request_id, NULL, 10);
	const struct model_request *request =
		&g_array_index(m->requests, struct model_request, handle - 1);
	struct model_event event = { .kind = MODEL_EV_UPSTREAM,
				     .node = node,
				     .arg = effect->forward.call,
				     .status = vm->failing ? 500 : 200 };
	gint64 us = request->service_us;

	if (m->options->own_service_times && request->attempts > 1)
		us = model_service_us(m->network);
	us = vm->failing ? FAILING_ANSWER_US : us * vm->service_factor;
	if (us > effect->forward.timeout_ms * 1000LL) {
		us = effect->forward.timeout_ms * 1000LL;
		event.status = 0;
	}
	vm->running++;
	m->result->most_slots = MAX(m->result->most_slots, vm->running);
	event.at_us = m->now_us + us;
	model_queue_push(&m->queue, &event);
}

static void agent_effect(struct model *m, unsigned node,
			 struct agt_effect *effect)
{
	struct Rp__Frame *frame;

	switch (effect->kind) {
	case AGT_FX_SEND:
		frame = effect->send.frame;
		effect->send.frame = NULL;
		if (m->faulty && frame->body_case == RP__FRAME__BODY_REPLY &&
		    frame->reply->outcome == RP__OUTCOME__OUTCOME_NOT_RUN)
			m->refusals++;
		link_send(m, node, effect->send.conn, frame);
		break;
	case AGT_FX_DIAL:
		/* The address is the entry's node index. */
		link_new(m, node,
			 (unsigned)g_ascii_strtoull(effect->dial.address, NULL,
						    10),
			 effect->dial.conn);
		break;
	case AGT_FX_CLOSE:
		link_close(m, node, effect->close.conn);
		break;
	case AGT_FX_FORWARD:
		forward(m, node, effect);
		break;
	default:
		break;
	}
}

void model_agent_apply(struct model *m, unsigned node, struct agt_event *event)
{
	GArray *effects = agt_effects_new();

	event->now_ms = m->now_us / 1000;
	agt_reduce(m->nodes[node].agt, event, effects);
	for (guint i = 0; i < effects->len; i++)
		agent_effect(m, node,
			     &g_array_index(effects, struct agt_effect, i));
	g_array_unref(effects);
}

void model_deliver(struct model *m, const struct model_event *event)
{
	const struct model_link *link = link_at(m, event->arg);
	unsigned side = link->node[1] == event->node;
	struct ent_event to_entry = { .kind = ENT_EV_FRAME };
	struct agt_event to_agent = { .kind = AGT_EV_FRAME };

	if (!link->open || m->nodes[event->node].lost) {
		wire_frame_free(event->frame);
	} else if (event->node < MODEL_ENTRIES) {
		to_entry.frame.conn = link->conn[side];
		to_entry.frame.frame = event->frame;
		model_entry_apply(m, event->node, &to_entry);
		wire_frame_free((struct Rp__Frame *)to_entry.frame.frame);
	} else {
		to_agent.frame.conn = link->conn[side];
		to_agent.frame.frame = event->frame;
		model_agent_apply(m, event->node, &to_agent);
		wire_frame_free(event->frame);
	}
}

void model_connected(struct model *m, const struct model_event *event)
{
	const struct model_link *link = link_at(m, event->arg);
	struct ent_event to_entry = { .kind = ENT_EV_PEER_CONNECTED };
	struct agt_event to_agent = { .kind = AGT_EV_CONNECTED };

	if (!link->open)
		return;
	if (event->node < MODEL_ENTRIES) {
		to_entry.conn.conn = link->conn[0];
		model_entry_apply(m, event->node, &to_entry);
	} else {
		to_agent.connected.conn = link->conn[0];
		to_agent.connected.address = m->nodes[link->node[1]].name;
		model_agent_apply(m, event->node, &to_agent);
	}
}

void model_closed(struct model *m, const struct model_event *event)
{
	struct model_link *link = link_at(m, event->arg);
	struct ent_event to_entry = { .kind = ENT_EV_CLOSED };
	struct agt_event to_agent = { .kind = AGT_EV_CLOSED };
	unsigned side = link->node[1] == event->node;

	link->open = FALSE;
	if (m->nodes[event->node].lost)
		return;
	if (event->node < MODEL_ENTRIES) {
		to_entry.conn.conn = link->conn[side];
		model_entry_apply(m, event->node, &to_entry);
	} else {
		to_agent.closed.conn = link->conn[side];
		model_agent_apply(m, event->node, &to_agent);
	}
}

void model_node_lose(struct model *m, unsigned node)
{
	m->nodes[node].lost = TRUE;
	for (guint i = 0; i < m->links->len; i++)
		if (link_at(m, i)->open && link_at(m, i)->node[0] == node)
			model_schedule(m, DEAD_US, MODEL_EV_CLOSED,
				       link_at(m, i)->node[1], i);
}

void model_entry_start(struct model *m, unsigned node)
{
	struct ent_options options = {
		.id = entry_names[node],
		.zone = zone_names[node],
		.agent_address = entry_names[node],
		.seed = m->options->seed + node,
		.lb_policy = m->options->lb_policy,
		.no_admission_limits = m->options->no_limits,
		.no_ejections = m->options->no_ejections
	};
	GBytes *document = tables_document(m->options);
	struct ent_event tables = { .kind = ENT_EV_TABLES };

	m->nodes[node].zone = node;
	m->nodes[node].lost = FALSE;
	m->nodes[node].ent = ent_new(&options);
	tables.tables.data = g_bytes_get_data(document, &tables.tables.len);
	model_entry_apply(m, node, &tables);
	g_bytes_unref(document);
	g_assert(ent_tables(m->nodes[node].ent));
	model_schedule(m, node * 100, MODEL_EV_TICK, node, 0);
	for (unsigned i = 0; i < MODEL_ENTRIES; i++)
		if (i != node && m->nodes[i].ent)
			link_new(m, node, i, 0);
}

void model_entry_exit(struct model *m, unsigned node)
{
	g_clear_pointer(&m->nodes[node].ent, ent_free);
	m->nodes[node].lost = TRUE;
	for (guint i = 0; i < m->links->len; i++) {
		struct model_link *link = link_at(m, i);
		unsigned side = link->node[1] == node;

		if (!link->open || link->node[side] != node)
			continue;
		link->open = FALSE;
		model_schedule(m, link->delay_us, MODEL_EV_CLOSED,
			       link->node[!side], i);
	}
}

void model_entries_registered(struct model *m)
{
	const char *names[MODEL_ENTRIES];
	struct ent_event event = { .kind = ENT_EV_ENTRIES };

	event.entries.ids = names;
	event.entries.addresses = names;
	for (unsigned i = 0; i < MODEL_ENTRIES; i++)
		if (m->nodes[i].ent)
			names[event.entries.n++] = entry_names[i];
	for (unsigned i = 0; i < MODEL_ENTRIES; i++)
		if (m->nodes[i].ent)
			model_entry_apply(m, i, &event);
}

static void agent_start(struct model *m, unsigned node)
{
	struct model_node *vm = &m->nodes[node];
	struct agt_options options = { .rack = "rack",
				       .boot_id = "boot",
				       .pools = model_pool_names,
				       .n_pools = MODEL_POOLS,
				       .slots = MODEL_SLOTS,
				       .connections = MODEL_CONNECTIONS,
				       .has_upstream = TRUE,
				       .entries = entry_names,
				       .n_entries = MODEL_ENTRIES,
				       .seed = m->options->seed + node };

	vm->name = g_strdup_printf("vm%u", node);
	vm->zone = node % m->options->site->zones;
	vm->service_factor = 1;
	options.vm = vm->name;
	options.zone = zone_names[vm->zone];
	vm->agt = agt_new(&options);
}

void model_nodes_start(struct model *m)
{
	for (unsigned i = 0; i < MODEL_ENTRIES; i++) {
		m->nodes[i].name = g_strdup(entry_names[i]);
		model_entry_start(m, i);
	}
	model_entries_registered(m);
	for (unsigned i = MODEL_ENTRIES; i < MODEL_NODES; i++) {
		agent_start(m, i);
		model_schedule(m, i * 100, MODEL_EV_TICK, i, 0);
	}
}

void model_nodes_free(struct model *m)
{
	for (unsigned i = 0; i < MODEL_NODES; i++) {
		ent_free(m->nodes[i].ent);
		agt_free(m->nodes[i].agt);
		g_free(m->nodes[i].name);
	}
}
