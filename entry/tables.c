#include <string.h>

#include "internal.h"

/*
 * Documents kept as bases of deltas. With one change in 16 s, the target rate,
 * four cover the agents that reconnect within a minute.
 */
#define MAX_OLD_DOCUMENTS 4

guint64 ent_tables_generation(const struct ent *ent)
{
	return ent->tables ? ent->tables->generation : 0;
}

void ent_old_document_free(gpointer data)
{
	struct old_document *old = data;

	g_bytes_unref(old->bytes);
	wire_frame_free(old->delta);
	g_free(old);
}

/*
 * Makes the document in force a base of deltas before it is replaced, and drops
 * the cached deltas to it.
 */
static void keep_old_document(struct ent *ent)
{
	GPtrArray *olds = ent->old_documents;
	struct old_document *old;
	unsigned i;

	for (i = 0; i < olds->len; i++) {
		old = olds->pdata[i];
		g_clear_pointer(&old->delta, wire_frame_free);
		old->delta_made = FALSE;
	}
	if (!ent->document)
		return;
	old = g_new0(struct old_document, 1);
	old->generation = ent_tables_generation(ent);
	old->bytes = g_steal_pointer(&ent->document);
	g_ptr_array_insert(olds, 0, old);
	if (olds->len > MAX_OLD_DOCUMENTS)
		g_ptr_array_set_size(olds, MAX_OLD_DOCUMENTS);
}

/* Returns the delta for a receiver that holds the generation, or NULL. */
static const struct Rp__Frame *delta_from(struct ent *ent, guint64 generation)
{
	unsigned i;

	for (i = 0; i < ent->old_documents->len; i++) {
		struct old_document *old = ent->old_documents->pdata[i];

		if (old->generation != generation)
			continue;
		if (!old->delta_made)
			old->delta = wire_delta_new(old->bytes, ent->document,
						    ent_tables_generation(ent));
		old->delta_made = TRUE;
		return old->delta;
	}
	return NULL;
}

static void tables_send(struct ent *ent, struct conn *conn)
{
	const struct Rp__Frame *delta =
		conn->accepts_deltas ? delta_from(ent, conn->generation) : NULL;

	conn->generation = ent_tables_generation(ent);
	if (!delta) {
		ent_fx_send(ent, conn->id,
			    wire_tables_update_new(ent->document));
		return;
	}
	conn->deltas_sent++;
	ent_fx_send(ent, conn->id, wire_frame_dup(delta));
}

int ent_tables_wanted(struct ent *ent, struct conn *conn)
{
	if (!conn->deltas_sent)
		return -1;
	conn->deltas_sent--;
	ent_fx_send(ent, conn->id, wire_tables_update_new(ent->document));
	return 0;
}

void ent_tables_send_if_newer(struct ent *ent, struct conn *conn,
			      guint64 generation)
{
	conn->generation = MAX(conn->generation, generation);
	if (conn->generation < ent_tables_generation(ent))
		tables_send(ent, conn);
}

static int pool_compare(const void *a, const void *b)
{
	const struct pool *x = *(struct pool *const *)a;
	const struct pool *y = *(struct pool *const *)b;

	if (x->configured != y->configured)
		return x->configured ? -1 : 1;
	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	return strcmp(x->name, y->name);
}

static void pool_configure(struct ent *ent, const struct cfg_pool *from)
{
	struct pool *pool = ent_pool_get(ent, from->name);

	pool->configured = TRUE;
	pool->priority = from->priority;
	pool->guaranteed = from->guaranteed_requests;
	pool->max_requests = from->max_requests;
	pool->queue_length = from->queue_length;
	pool->retry_percent = from->retry_budget_percent;
	pool->hedge_percent = from->hedge_budget_percent;
	if (pool->target_ms != from->latency_target_ms)
		ent_pool_init_limits(pool);
	pool->target_ms = from->latency_target_ms;
}

static gboolean pool_unused(const struct pool *pool)
{
	return !pool->configured && !pool->members->len && !pool->in_flight &&
	       !pool->pending_claims;
}

static void pools_update(struct ent *ent)
{
	GPtrArray *pools = ent->pools_by_priority;
	const GPtrArray *rows = ent->tables->pools;
	GHashTableIter iter;
	void *agent;

	for (unsigned i = 0; i < pools->len; i++) {
		struct pool *pool = pools->pdata[i];

		pool->configured = FALSE;
		pool->guaranteed = 0;
	}
	for (unsigned i = 0; i < rows->len; i++)
		pool_configure(ent, rows->pdata[i]);
	for (unsigned i = pools->len; i-- > 0;) {
		struct pool *pool = pools->pdata[i];
		struct request *request;

		while (!pool->configured &&
		       (request = ent_heap_top(&pool->queue)) != NULL)
			ent_request_fail(ent, request, FAIL_NO_POOL);
		if (pool_unused(pool)) {
			g_ptr_array_remove_index(pools, i);
			g_hash_table_remove(ent->pools, pool->name);
		}
	}
	g_ptr_array_sort(pools, pool_compare);
	g_hash_table_iter_init(&iter, ent->agents);
	while (g_hash_table_iter_next(&iter, NULL, &agent))
		ent_agent_update_free_slots(ent, agent);
}

static void tables_broadcast(struct ent *ent)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ent->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct conn *conn = value;

		if (conn->agent || conn->peer)
			ent_tables_send_if_newer(ent, conn, 0);
	}
}

static void tables_adopt(struct ent *ent, struct cfg_tables *tables,
			 const void *data, size_t len)
{
	struct job_event event = { .kind = JOB_EV_TABLES };
	struct cfg_tables *old = ent->tables;

	keep_old_document(ent);
	ent->tables = tables;
	ent->document = g_bytes_new(data, len);
	ent_fx_log(ent, G_LOG_LEVEL_MESSAGE, NULL,
		   "tables of generation %" G_GUINT64_FORMAT
		   " by %s are in force",
		   tables->generation, tables->author ? tables->author : "");
	if (tables->unknown_keys)
		ent_fx_log(ent, G_LOG_LEVEL_WARNING, NULL,
			   "tables of generation %" G_GUINT64_FORMAT
			   " have keys that this version ignores: %s",
			   tables->generation, tables->unknown_keys);
	ent_fx_count(ent, "radishpier_tables_adopted_total", NULL);
	pools_update(ent);
	event.tables.tables = tables;
	ent_job_event(ent, &event);
	cfg_tables_free(old);
	tables_broadcast(ent);
}

/* Logs and counts refused tables; the text follows "tables refused". */
static void refuse(struct ent *ent, GLogLevelFlags level, const char *reason,
		   const char *format, ...) G_GNUC_PRINTF(4, 5);

static void refuse(struct ent *ent, GLogLevelFlags level, const char *reason,
		   const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list args;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	ent_fx_log(ent, level, NULL, "tables refused%s", text);
	ent_fx_count(ent, "radishpier_tables_refused_total",
		     g_strdup_printf("reason=\"%s\"", reason));
}

static void refuse_not_newer(struct ent *ent, const struct cfg_tables *tables,
			     enum cfg_adopt how)
{
	const struct cfg_tables *held = ent->tables;
	const char *reason = how == CFG_ADOPT_OLDER ? "older" : "conflict";

	refuse(ent, G_LOG_LEVEL_CRITICAL, reason,
	       " (%s): received generation %" G_GUINT64_FORMAT
	       " of %s, digest %016" G_GINT64_MODIFIER
	       "x; held generation %" G_GUINT64_FORMAT
	       " of %s, digest %016" G_GINT64_MODIFIER "x",
	       reason, tables->generation, tables->incarnation, tables->digest,
	       held->generation, held->incarnation, held->digest);
}

void ent_tables_receive(struct ent *ent, const void *data, size_t len,
			struct conn *from)
{
	GError *error = NULL;
	struct cfg_tables *tables = cfg_tables_decode(data, len, &error);
	enum cfg_adopt how;

	if (!tables) {
		refuse(ent, G_LOG_LEVEL_CRITICAL, "invalid", ": %s",
		       error->message);
		g_error_free(error);
		return;
	}
	how = cfg_tables_compare(ent->tables, tables);
	if (from && how != CFG_ADOPT_CONFLICT)
		from->generation = MAX(from->generation, tables->generation);
	if (how == CFG_ADOPT_NEWER) {
		tables_adopt(ent, tables, data, len);
		return;
	}
	if (how != CFG_ADOPT_SAME)
		refuse_not_newer(ent, tables, how);
	if (how == CFG_ADOPT_OLDER && from)
		ent_tables_send_if_newer(ent, from, tables->generation);
	cfg_tables_free(tables);
}

void ent_tables_receive_delta(struct ent *ent,
			      const struct Rp__TablesDelta *delta,
			      struct conn *from)
{
	guint64 held = ent_tables_generation(ent);
	g_autoptr(GError) error = NULL;
	g_autoptr(GBytes) document = NULL;
	struct Rp__Frame *wanted;
	gsize len;
	const void *data;

	if (delta->generation < held) {
		refuse(ent, G_LOG_LEVEL_CRITICAL, "older",
		       ": delta to generation %" G_GUINT64_FORMAT
		       "; held generation %" G_GUINT64_FORMAT,
		       delta->generation, held);
		ent_tables_send_if_newer(ent, from, delta->generation);
		return;
	}
	if (ent->document &&
	    wire_document_digest(ent->document) == delta->digest) {
		from->generation = MAX(from->generation, held);
		return;
	}
	document = wire_delta_apply(ent->document, delta, &error);
	if (!document) {
		/*
		 * The base of the delta is not the document in force, for
		 * example since another peer sent a newer one: request the
		 * whole document.
		 */
		refuse(ent, G_LOG_LEVEL_WARNING, "delta", ": %s",
		       error->message);
		wanted = wire_frame_new(RP__FRAME__BODY_TABLES_WANTED);
		wanted->tables_wanted->generation = delta->generation;
		ent_fx_send(ent, from->id, wanted);
		return;
	}
	data = g_bytes_get_data(document, &len);
	ent_tables_receive(ent, data, len, from);
}
