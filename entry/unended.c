#include <string.h>

#include "internal.h"

/*
 * If an agent process dies, its upstream may still run the requests that it had
 * admitted. Only the entries know them, so they report them in the Welcome to
 * the next agent process of the VM, which counts them as slots in use.
 */

/* A frame that was sent is assumed to reach the agent within this time. */
#define LINK_DELAY_MAX_MS 1000

/* A request that may still run, although its attempt has ended here. */
struct maybe_running {
	/* Boot id of the agent process that admitted it. */
	char *boot_id;
	char *pool;
	/* The agent would have ended the request by this time. */
	gint64 until_ms;
};

static void maybe_running_clear(void *data)
{
	struct maybe_running *request = data;

	g_free(request->boot_id);
	g_free(request->pool);
}

static void list_free(void *list)
{
	g_array_unref(list);
}

GHashTable *ent_maybe_running_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     list_free);
}

static struct maybe_running *list_at(GArray *list, unsigned i)
{
	return &g_array_index(list, struct maybe_running, i);
}

static GArray *list_get(struct ent *ent, const char *vm)
{
	GArray *list = g_hash_table_lookup(ent->maybe_running, vm);

	if (list)
		return list;
	list = g_array_new(FALSE, FALSE, sizeof(struct maybe_running));
	g_array_set_clear_func(list, maybe_running_clear);
	g_hash_table_insert(ent->maybe_running, g_strdup(vm), list);
	return list;
}

/* Drops expired requests from the list, which is sorted by until_ms. */
static void list_drop_expired(const struct ent *ent, GArray *list)
{
	unsigned n = 0;

	while (n < list->len && list_at(list, n)->until_ms <= ent->now_ms)
		n++;
	if (n)
		g_array_remove_range(list, 0, n);
}

/*
 * The agent measures the timeout from the request's arrival, which is at most
 * LINK_DELAY_MAX_MS after it was sent, and before now. No more requests than
 * slots run at once, so only the latest are kept.
 */
void ent_maybe_running_add(struct ent *ent, const struct attempt *attempt)
{
	const struct agent *agent = attempt->member->agent;
	GArray *list = list_get(ent, agent->vm);
	struct maybe_running request = { 0 };
	unsigned i;

	request.until_ms = attempt->deadline_ms +
			   MIN(ent->now_ms - attempt->sent_ms,
			       LINK_DELAY_MAX_MS);
	request.boot_id = g_strdup(agent->boot_id);
	request.pool = g_strdup(attempt->member->pool->name);
	for (i = list->len; i > 0; i--)
		if (list_at(list, i - 1)->until_ms <= request.until_ms)
			break;
	g_array_insert_val(list, i, request);
	list_drop_expired(ent, list);
	if (list->len > agent->slots)
		g_array_remove_range(list, 0, list->len - agent->slots);
}

/*
 * Returns the Unended message of a pool, which is created if there is none yet;
 * max: maximum number of requests in it.
 */
static struct Rp__Unended *group_get(struct Rp__Welcome *welcome,
				     const char *pool, unsigned max)
{
	struct Rp__Unended *group;

	for (size_t i = 0; i < welcome->n_unended; i++)
		if (!strcmp(welcome->unended[i]->pool, pool))
			return welcome->unended[i];
	group = g_new(struct Rp__Unended, 1);
	rp__unended__init(group);
	wire_set_string(&group->pool, pool);
	group->remaining_ms = g_new0(uint32_t, max);
	welcome->unended = g_renew(Rp__Unended *, welcome->unended,
				   welcome->n_unended + 1);
	welcome->unended[welcome->n_unended++] = group;
	return group;
}

void ent_maybe_running_report(struct ent *ent, const struct agent *agent,
			      struct Rp__Welcome *welcome)
{
	GArray *list = g_hash_table_lookup(ent->maybe_running, agent->vm);

	if (!list)
		return;
	list_drop_expired(ent, list);
	for (unsigned i = 0; i < list->len; i++) {
		const struct maybe_running *request = list_at(list, i);
		struct Rp__Unended *group;

		/* The process that admitted the request counts it itself. */
		if (!strcmp(request->boot_id, agent->boot_id))
			continue;
		group = group_get(welcome, request->pool, list->len);
		group->remaining_ms[group->n_remaining_ms++] =
			(uint32_t)(request->until_ms - ent->now_ms);
	}
}

void ent_maybe_running_scan(struct ent *ent)
{
	GHashTableIter iter;
	void *list;

	g_hash_table_iter_init(&iter, ent->maybe_running);
	while (g_hash_table_iter_next(&iter, NULL, &list)) {
		list_drop_expired(ent, list);
		if (!((GArray *)list)->len)
			g_hash_table_iter_remove(&iter);
	}
}
