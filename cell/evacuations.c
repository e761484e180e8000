#include "internal.h"

/*
 * The set of evacuated zones. Each has a key, which ends with its name; the
 * value has no meaning.
 */

struct cell_evacuations {
	/** NULL if zones cannot be evacuated. */
	char *prefix;
	/** Of struct sch_evacuation, which own their names. */
	GArray *list;
};

static void clear_evacuation(gpointer data)
{
	struct sch_evacuation *evacuation = data;

	g_free((char *)evacuation->zone);
}

struct cell_evacuations *cell_evacuations_new(const char *prefix)
{
	struct cell_evacuations *evacuations = g_new0(struct cell_evacuations,
						      1);

	evacuations->prefix = g_strdup(prefix);
	evacuations->list = g_array_new(FALSE, FALSE,
					sizeof(struct sch_evacuation));
	g_array_set_clear_func(evacuations->list, clear_evacuation);
	return evacuations;
}

void cell_evacuations_free(struct cell_evacuations *evacuations)
{
	g_array_unref(evacuations->list);
	g_free(evacuations->prefix);
	g_free(evacuations);
}

static void remove_zone(GArray *list, const char *zone)
{
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct sch_evacuation *evacuation =
			&g_array_index(list, struct sch_evacuation, i);

		if (strcmp(evacuation->zone, zone) != 0)
			continue;
		g_array_remove_index(list, i);
		return;
	}
}

gboolean cell_evacuations_apply(struct cell_evacuations *evacuations,
				const struct kv_pair *pair)
{
	struct sch_evacuation evacuation = {
		.revision = pair->mod_revision,
	};
	const char *zone;

	if (!evacuations->prefix ||
	    !g_str_has_prefix(pair->key, evacuations->prefix))
		return FALSE;
	zone = pair->key + strlen(evacuations->prefix);
	remove_zone(evacuations->list, zone);
	if (!pair->value)
		return TRUE;
	evacuation.zone = g_strdup(zone);
	g_array_append_val(evacuations->list, evacuation);
	return TRUE;
}

void cell_evacuations_replace(struct cell_evacuations *evacuations,
			      const GPtrArray *pairs)
{
	guint i;

	g_array_set_size(evacuations->list, 0);
	for (i = 0; i < pairs->len; i++)
		cell_evacuations_apply(evacuations, pairs->pdata[i]);
}

const GArray *cell_evacuations_list(const struct cell_evacuations *evacuations)
{
	return evacuations->list;
}
