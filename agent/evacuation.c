#include "internal.h"

/*
 * The evacuated zones, as the entries report them. An entry may be wrong about
 * them, for example after a pause, so the final check is here: in an evacuated
 * zone the agent admits no request and starts no task. What runs continues.
 */

void agt_evacuation_send(struct agt *agt, struct peer *peer)
{
	guint64 generation = agt->evacuations->generation;

	if (!peer->connected || peer->evacuations_sent >= generation)
		return;
	peer->evacuations_sent = generation;
	agt_fx_send(agt, peer->conn,
		    wire_evacuation_update_new(agt->evacuations_document, FALSE,
					       0));
}

static void refuse(struct agt *agt, const struct peer *peer, const char *reason,
		   const char *text)
{
	agt_fx_count(agt, "radishpier_agent_evacuations_refused_total",
		     g_strdup_printf("reason=\"%s\"", reason));
	agt_fx_log(agt, G_LOG_LEVEL_CRITICAL, NULL,
		   "evacuations from %s are refused (%s): %s; generation "
		   "%" G_GUINT64_FORMAT " remains in force",
		   peer->address, reason, text, agt->evacuations->generation);
}

static void adopt(struct agt *agt, const struct peer *peer, struct evac *evac,
		  const struct Rp__EvacuationUpdate *update)
{
	g_autofree char *names = evac_zone_names(evac);
	gboolean was_evacuated = agt->evacuated;

	evac_free(agt->evacuations);
	agt->evacuations = evac;
	g_clear_pointer(&agt->evacuations_document, g_bytes_unref);
	agt->evacuations_document = g_bytes_new(update->document.data,
						update->document.len);
	agt->evacuated = evac_find(evac, agt->zone) != NULL;
	agt_fx_log(agt, G_LOG_LEVEL_MESSAGE, NULL,
		   "evacuations of generation %" G_GUINT64_FORMAT
		   " from %s, %" G_GINT64_FORMAT
		   " ms old, are in force: evacuated zones: %s; zone %s of "
		   "this VM %s",
		   evac->generation, peer->address, update->age_ms,
		   *names ? names : "none", agt->zone,
		   agt->evacuated  ? "is evacuated"
		   : was_evacuated ? "returns to service"
				   : "is in service");
}

void agt_evacuation_received(struct agt *agt, struct peer *peer,
			     const struct Rp__EvacuationUpdate *update)
{
	g_autoptr(GError) error = NULL;
	struct evac *evac = update->document.len
				    ? evac_decode(update->document.data,
						  update->document.len, &error)
				    : evac_new();

	if (!evac) {
		refuse(agt, peer, "invalid",
		       error ? error->message : "unknown error");
		return;
	}
	switch (evac_compare(agt->evacuations, evac)) {
	case EVAC_ADOPT_NEWER:
		peer->evacuations_sent = MAX(peer->evacuations_sent,
					     evac->generation);
		adopt(agt, peer, evac, update);
		return;
	case EVAC_ADOPT_OLDER:
		agt_evacuation_send(agt, peer);
		break;
	case EVAC_ADOPT_CONFLICT:
		refuse(agt, peer, "conflict", "the same generation differs");
		break;
	case EVAC_ADOPT_SAME:
		peer->evacuations_sent = MAX(peer->evacuations_sent,
					     evac->generation);
		break;
	}
	evac_free(evac);
}
