#include "../obs/obs.h"
#include "internal.h"

static void string_field(GString *out, const char *name, const char *value)
{
	g_string_append_printf(out, "\"%s\":", name);
	obs_json_string(out, value ? value : "", -1);
}

/*
 * Returns why the next request of the pool would have to wait; NULL if it would
 * not.
 */
static const char *wait_reason(const struct ent *ent, const struct pool *pool)
{
	unsigned limit = ent_pool_limit(ent, pool);
	const struct member *member;

	if (!pool->configured)
		return "the tables in force do not name the pool";
	if (!pool->members->len)
		return "no upstream of the pool is connected";
	if (ent_pool_evacuated(ent, pool))
		return "all upstreams of the pool are in evacuated zones";
	if (!ent_pool_members_in_service(pool))
		return "all upstreams of the pool are draining";
	if (pool->in_flight + pool->pending_claims >= limit) {
		if (pool->max_requests &&
		    limit == ent_pool_share(ent, pool->max_requests))
			return "this entry's share of max_requests is in use";
		if (pool->peer_limit && limit < pool->adaptive_limit)
			return "this entry's share of the slots is in use, and "
			       "requests wait at other entries too";
		return "the adaptive limit for latency_target_ms is reached";
	}
	if (pool->n_available)
		return NULL;
	for (unsigned i = 0; i < pool->members->len; i++) {
		member = pool->members->pdata[i];
		if (!ent_agent_out_of_service(member->agent) &&
		    !member->ejected &&
		    member->agent->in_flight + ent_agent_others_in_use(
						       ent, member->agent) <
			    member->agent->slots)
			return "the free slots are guaranteed to other pools";
	}
	return "all slots of the upstreams are in use";
}

static void limit_field(GString *out, const char *name, unsigned limit)
{
	if (limit == G_MAXUINT)
		g_string_append_printf(out, "\"%s\":null,", name);
	else
		g_string_append_printf(out, "\"%s\":%u,", name, limit);
}

/* Appends the failures by reason, without those that did not occur. */
static void failures_json(const guint64 *failures, GString *out)
{
	const char *separator = "";

	g_string_append(out, ",\"refused\":{");
	for (unsigned i = 0; i < FAIL_KINDS; i++) {
		if (!failures[i])
			continue;
		g_string_append_printf(out, "%s\"%s\":%" G_GUINT64_FORMAT,
				       separator, ent_failure_info[i].name,
				       failures[i]);
		separator = ",";
	}
	g_string_append_c(out, '}');
}

static void pool_json(const struct ent *ent, const struct pool *pool,
		      GString *out)
{
	const char *reason = wait_reason(ent, pool);

	g_string_append_c(out, '{');
	string_field(out, "name", pool->name);
	g_string_append_printf(
		out, ",\"priority\":%u,\"in_flight\":%u,\"claiming\":%u,",
		pool->priority, pool->in_flight, pool->pending_claims);
	limit_field(out, "limit", ent_pool_limit(ent, pool));
	g_string_append_printf(
		out,
		"\"guaranteed\":%u,\"queued\":%u,\"queue_length\":%u,"
		"\"latency_ms\":%d,\"needed_ms\":%d,"
		"\"latency_target_ms\":%u,"
		"\"fleet_slots\":%" G_GUINT64_FORMAT
		",\"upstreams\":%u,\"available\":%u,\"draining\":%u,"
		"\"evacuated\":%u,\"ejected\":%u,\"answered\":"
		"%" G_GUINT64_FORMAT ",\"retried\":%" G_GUINT64_FORMAT
		",\"hedges_sent\":%" G_GUINT64_FORMAT
		",\"hedges_won\":%" G_GUINT64_FORMAT
		",\"hedges_refused\":%" G_GUINT64_FORMAT ",\"waits_because\":",
		ent_pool_share(ent, pool->guaranteed),
		ent_heap_size(&pool->queue), pool->queue_length,
		(int)pool->latency_ms, (int)ent_pool_needed_ms(ent, pool),
		pool->target_ms, pool->fleet_slots, pool->members->len,
		pool->n_available, pool->n_draining, pool->n_evacuated,
		pool->n_ejected, pool->answered, pool->retried,
		pool->hedges_sent, pool->hedges_won, pool->hedges_refused);
	if (reason)
		obs_json_string(out, reason, -1);
	else
		g_string_append(out, "null");
	failures_json(pool->failures, out);
	g_string_append(out, ",\"last_refusal\":");
	if (pool->last_failure == FAIL_KINDS)
		g_string_append(out, "null");
	else
		obs_json_string(out, ent_failure_info[pool->last_failure].text,
				-1);
	g_string_append_c(out, '}');
}

static void member_json(const struct ent *ent, const struct member *member,
			GString *out)
{
	g_string_append_c(out, '{');
	string_field(out, "pool", member->pool->name);
	g_string_append_printf(
		out,
		",\"in_flight\":%u,\"latency_ms\":%d,\"ejected_ms\":"
		"%" G_GINT64_FORMAT "}",
		member->in_flight, (int)member->latency_ms,
		member->ejected ? MAX(member->ejected_until_ms - ent->now_ms, 0)
				: 0);
}

static void agent_json(const struct ent *ent, const struct agent *agent,
		       GString *out)
{
	g_string_append_c(out, '{');
	string_field(out, "vm", agent->vm);
	g_string_append_c(out, ',');
	string_field(out, "zone", agent->zone);
	g_string_append_printf(out,
			       ",\"slots\":%u,\"in_flight\":%u,\"others\":%u,"
			       "\"draining\":%s,\"evacuated\":%s,"
			       "\"tables_generation\":"
			       "%" G_GUINT64_FORMAT ",\"pools\":[",
			       agent->slots, agent->in_flight,
			       ent_agent_others_in_use(ent, agent),
			       agent->draining ? "true" : "false",
			       agent->evacuated ? "true" : "false",
			       agent->tables_generation);
	for (unsigned i = 0; i < agent->members->len; i++) {
		if (i)
			g_string_append_c(out, ',');
		member_json(ent, agent->members->pdata[i], out);
	}
	g_string_append(out, "]}");
}

static void peer_json(const struct peer *peer, GString *out)
{
	g_string_append_c(out, '{');
	string_field(out, "id", peer->id);
	g_string_append_c(out, ',');
	string_field(out, "zone", peer->zone);
	g_string_append_printf(
		out,
		",\"connected\":%s,\"registered\":%s,\"in_flight\":%u,"
		"\"shards\":%u}",
		peer->conns->len ? "true" : "false",
		peer->registered ? "true" : "false", peer->in_flight,
		peer->claims->len);
}

void ent_status_json(const struct ent *ent, GString *out)
{
	const GPtrArray *pools = ent->pools_by_priority;
	const char *separator = "";
	GHashTableIter iter;
	void *value;

	g_string_append_c(out, '{');
	string_field(out, "entry", ent->id);
	g_string_append_c(out, ',');
	string_field(out, "zone", ent->zone);
	g_string_append_printf(
		out,
		",\"tables_generation\":%" G_GUINT64_FORMAT
		",\"draining\":%s,\"requests\":%u,"
		"\"queued\":%u,\"entries_alive\":%u",
		ent_tables_generation(ent), ent->draining ? "true" : "false",
		g_hash_table_size(ent->requests), ent->queued, ent->n_alive);
	failures_json(ent->failures, out);
	g_string_append(out, ",\"evacuations\":");
	ent_evacuation_status_json(ent, out);
	g_string_append(out, ",\"pools\":[");
	for (unsigned i = 0; i < pools->len; i++) {
		if (i)
			g_string_append_c(out, ',');
		pool_json(ent, pools->pdata[i], out);
	}
	g_string_append(out, "],\"upstreams\":[");
	g_hash_table_iter_init(&iter, ent->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_string_append(out, separator);
		separator = ",";
		agent_json(ent, value, out);
	}
	g_string_append(out, "],\"peers\":[");
	separator = "";
	g_hash_table_iter_init(&iter, ent->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_string_append(out, separator);
		separator = ",";
		peer_json(value, out);
	}
	g_string_append(out, "]}");
}
