#include "internal.h"

static void carried_over_clear(void *data)
{
	struct carried_over *request = data;

	g_free(request->entry_id);
}

GArray *agt_carried_over_new(void)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct carried_over));

	g_array_set_clear_func(list, carried_over_clear);
	return list;
}

unsigned agt_slots_in_use(const struct agt *agt)
{
	return g_hash_table_size(agt->requests) + agt->carried_over->len;
}

static struct carried_over *carried_over_at(struct agt *agt, unsigned i)
{
	return &g_array_index(agt->carried_over, struct carried_over, i);
}

static void drop_first(struct agt *agt)
{
	struct pool *pool = carried_over_at(agt, 0)->pool;

	if (pool)
		pool->in_flight--;
	g_array_remove_index(agt->carried_over, 0);
	agt->report_changed = TRUE;
}

/*
 * Keeps at most as many requests as there are slots, those that end last:
 * earlier processes never admitted more.
 */
static void add_carried_over(struct agt *agt, const struct peer *peer,
			     struct pool *pool, unsigned remaining_ms)
{
	struct carried_over request = { .pool = pool };
	unsigned i;

	request.entry_id = g_strdup(peer->entry_id);
	request.until_ms = agt->now_ms + remaining_ms;
	for (i = agt->carried_over->len; i > 0; i--)
		if (carried_over_at(agt, i - 1)->until_ms <= request.until_ms)
			break;
	g_array_insert_val(agt->carried_over, i, request);
	if (pool)
		pool->in_flight++;
	if (agt->carried_over->len > agt->slots)
		drop_first(agt);
}

void agt_carried_over_add(struct agt *agt, const struct peer *peer,
			  const struct Rp__Welcome *welcome)
{
	unsigned i;
	size_t n;
	size_t k;

	/* An entry repeats its report after a reconnection. */
	for (i = 0; i < agt->carried_over->len; i++)
		if (!strcmp(carried_over_at(agt, i)->entry_id, peer->entry_id))
			return;
	for (n = 0; n < welcome->n_unended; n++) {
		const struct Rp__Unended *unended = welcome->unended[n];
		struct pool *pool = agt_pool_find(agt, unended->pool);

		/* remaining_ms: for each request, the time to its time-out */
		for (k = 0; k < unended->n_remaining_ms; k++)
			add_carried_over(agt, peer, pool,
					 unended->remaining_ms[k]);
		agt_fx_log(agt, G_LOG_LEVEL_INFO, NULL,
			   "entry %s reports %zu requests of pool %s that were "
			   "sent to an earlier agent process and may still run",
			   peer->entry_id, unended->n_remaining_ms,
			   unended->pool);
	}
}

static gboolean all_entries_contacted(const struct agt *agt)
{
	unsigned i;

	for (i = 0; i < agt->peers->len; i++) {
		const struct peer *peer = g_ptr_array_index(agt->peers, i);

		if (!peer->dial_finished)
			return FALSE;
	}
	return TRUE;
}

void agt_carried_over_tick(struct agt *agt)
{
	while (agt->carried_over->len &&
	       carried_over_at(agt, 0)->until_ms <= agt->now_ms) {
		drop_first(agt);
		/* Entries may avoid the VM until its slots are free. */
		agt->report_urgent |= !agt->carried_over->len;
	}
	if (agt->admitting || agt->first_dial_ms < 0)
		return;
	if (!all_entries_contacted(agt) &&
	    agt->now_ms - agt->first_dial_ms < ENTRIES_WAIT_MS)
		return;
	agt->admitting = TRUE;
	agt->report_urgent = TRUE;
}
