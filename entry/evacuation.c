#include "../obs/obs.h"
#include "internal.h"

/*
 * The evacuated zones. An operator evacuates a zone because what runs there is
 * about to fail or must not be loaded, so an entry never takes a zone for one
 * in service without knowing: until the document was read it refuses requests,
 * and while the store is unavailable the last known one remains in force.
 */

gboolean ent_zone_evacuated(const struct ent *ent, const char *zone)
{
	return evac_find(ent->evacuations, zone) != NULL;
}

gboolean ent_pool_evacuated(const struct ent *ent, const struct pool *pool)
{
	/* A member that was lost shortly before may reconnect. */
	return pool->n_evacuated && !ent_pool_members_in_service(pool) &&
	       ent->now_ms - pool->member_lost_ms > ENT_NO_UPSTREAM_GRACE_MS;
}

const struct evac *ent_evacuations(const struct ent *ent)
{
	return ent->evacuations_read ? ent->evacuations : NULL;
}

gint64 ent_evacuations_age_ms(const struct ent *ent)
{
	return ent->evacuations_read ? ent->now_ms - ent->evacuations_current_ms
				     : -1;
}

/*
 * An agent needs the document only if there is one. A peer that has just
 * started also needs to know that there is none.
 */
void ent_evacuation_send(struct ent *ent, struct conn *conn)
{
	gboolean tell_read = conn->peer && ent->evacuations_read &&
			     !conn->evacuations_read_sent;

	if (conn->evacuations_generation >= ent->evacuations->generation &&
	    !tell_read)
		return;
	conn->evacuations_generation = MAX(conn->evacuations_generation,
					   ent->evacuations->generation);
	conn->evacuations_read_sent = ent->evacuations_read;
	ent_fx_send(ent, conn->id,
		    wire_evacuation_update_new(ent->evacuations_document,
					       ent->evacuations_read,
					       ent_evacuations_age_ms(ent)));
}

static void broadcast(struct ent *ent)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ent->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct conn *conn = value;

		if (conn->agent || conn->peer)
			ent_evacuation_send(ent, conn);
	}
}

static void update_agents(struct ent *ent)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ent->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agent *agent = value;

		ent_agent_set_evacuated(ent, agent,
					ent_zone_evacuated(ent, agent->zone));
	}
}

static void tell_job_scheduler(struct ent *ent)
{
	struct job_event event = { .kind = JOB_EV_EVACUATIONS };

	event.evacuations.evacuations = ent->evacuations;
	if (ent->evacuations_read)
		ent_job_event(ent, &event);
}

static const char *sender_name(const struct conn *from)
{
	if (!from)
		return "the store";
	if (from->agent)
		return from->agent->vm;
	return from->peer ? from->peer->id : "?";
}

static void adopt(struct ent *ent, struct evac *evac, const void *data,
		  size_t len, const struct conn *from)
{
	struct evac *old = ent->evacuations;
	g_autofree char *before = evac_zone_names(old);
	g_autofree char *now = evac_zone_names(evac);

	ent->evacuations = evac;
	g_clear_pointer(&ent->evacuations_document, g_bytes_unref);
	ent->evacuations_document = g_bytes_new(data, len);
	ent_fx_log(ent, G_LOG_LEVEL_MESSAGE, NULL,
		   "evacuations of generation %" G_GUINT64_FORMAT
		   " from %s are in force: evacuated zones: %s; before, "
		   "generation %" G_GUINT64_FORMAT ": %s",
		   evac->generation, sender_name(from), *now ? now : "none",
		   old->generation, *before ? before : "none");
	ent_fx_count(ent, "radishpier_evacuations_adopted_total", NULL);
	update_agents(ent);
	tell_job_scheduler(ent);
	evac_free(old);
	broadcast(ent);
}

static void refuse(struct ent *ent, const char *reason, const char *text)
{
	ent_fx_log(ent, G_LOG_LEVEL_CRITICAL, NULL,
		   "evacuations refused (%s): "
		   "%s; generation %" G_GUINT64_FORMAT " remains in force",
		   reason, text, ent->evacuations->generation);
	ent_fx_count(ent, "radishpier_evacuations_refused_total",
		     g_strdup_printf("reason=\"%s\"", reason));
}

/* Returns -1 if the document is refused; takes over evac. */
static int receive(struct ent *ent, struct evac *evac, const void *data,
		   size_t len, struct conn *from)
{
	enum evac_adopt how = evac_compare(ent->evacuations, evac);
	g_autofree char *text = g_strdup_printf(
		"received generation %" G_GUINT64_FORMAT, evac->generation);

	if (from && how != EVAC_ADOPT_CONFLICT)
		from->evacuations_generation = MAX(from->evacuations_generation,
						   evac->generation);
	if (how == EVAC_ADOPT_NEWER) {
		adopt(ent, evac, data, len, from);
		return 0;
	}
	evac_free(evac);
	if (how == EVAC_ADOPT_CONFLICT) {
		refuse(ent, "conflict", text);
		return -1;
	}
	/* A store that lost the document, or was restored from a backup. */
	if (how == EVAC_ADOPT_OLDER && !from)
		refuse(ent, "older", text);
	if (how == EVAC_ADOPT_OLDER && from)
		ent_evacuation_send(ent, from);
	return 0;
}

/* The evacuations were known to be current at current_ms. */
static void set_read(struct ent *ent, gint64 current_ms)
{
	ent->evacuations_current_ms = MAX(ent->evacuations_current_ms,
					  current_ms);
	if (ent->evacuations_read)
		return;
	ent->evacuations_read = TRUE;
	ent->evacuations_current_ms = current_ms;
	ent_fx_log(ent, G_LOG_LEVEL_MESSAGE, NULL,
		   "the evacuated zones are known: generation "
		   "%" G_GUINT64_FORMAT ", read %" G_GINT64_FORMAT " ms ago",
		   ent->evacuations->generation, ent->now_ms - current_ms);
	tell_job_scheduler(ent);
	broadcast(ent);
}

/* Returns -1 if the document is refused. */
static int decode_and_receive(struct ent *ent, const void *data, size_t len,
			      struct conn *from)
{
	g_autoptr(GError) error = NULL;
	struct evac *evac = len ? evac_decode(data, len, &error) : evac_new();

	if (evac)
		return receive(ent, evac, data, len, from);
	refuse(ent, "invalid", error ? error->message : "unknown error");
	return -1;
}

void ent_evacuation_receive(struct ent *ent, const void *data, size_t len,
			    struct conn *from)
{
	if (decode_and_receive(ent, data, len, from) == 0 && !from)
		set_read(ent, ent->now_ms);
}

void ent_evacuation_update(struct ent *ent, struct conn *conn,
			   const struct Rp__EvacuationUpdate *update)
{
	/* An agent does not know whether its document is the newest one. */
	gboolean read = conn->peer && update->read;

	if (decode_and_receive(ent, update->document.data, update->document.len,
			       conn) == 0 &&
	    read)
		set_read(ent, ent->now_ms - update->age_ms);
}

void ent_evacuation_status_json(const struct ent *ent, GString *out)
{
	const GPtrArray *zones = ent->evacuations->zones;

	g_string_append_printf(out,
			       "{\"generation\":%" G_GUINT64_FORMAT
			       ",\"read\":%s,\"age_ms\":%" G_GINT64_FORMAT
			       ",\"zones\":[",
			       ent->evacuations->generation,
			       ent->evacuations_read ? "true" : "false",
			       ent_evacuations_age_ms(ent));
	for (unsigned i = 0; i < zones->len; i++) {
		const struct evac_zone *zone = zones->pdata[i];

		g_string_append(out, i ? ",{\"zone\":" : "{\"zone\":");
		obs_json_string(out, zone->zone, -1);
		g_string_append(out, ",\"author\":");
		obs_json_string(out, zone->author, -1);
		g_string_append(out, ",\"reason\":");
		obs_json_string(out, zone->reason, -1);
		g_string_append_printf(
			out, ",\"since_unix_ms\":%" G_GINT64_FORMAT "}",
			zone->since_unix_ms);
	}
	g_string_append(out, "]}");
}
