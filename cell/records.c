#include "store_internal.h"

/*
 * Records of jobs that the leader reads: all of them after its election, page
 * by page, so that they take no more memory than their handler keeps; and later
 * those of single jobs that did not fit into memory. Nobody else writes them
 * while this process leads, so pages and single reads fit together.
 */

static void finish_loading(struct cell_store *store)
{
	const char *id = store->handler.next_job(store->handler.ctx);

	if (id) {
		cell_store_read_job(store, id);
		return;
	}
	store->state = STORE_LEADING;
	g_message("leads with fencing token %" G_GINT64_FORMAT
		  ", all records are read",
		  store->fencing_token);
	store->handler.on_records_loaded(store->handler.ctx,
					 (guint64)store->fencing_token);
}

static void pass_record(struct cell_store *store, const struct kv_pair *pair)
{
	if (!strcmp(pair->key, CELL_COMMIT_KEY))
		store->commit_revision = pair->mod_revision;
	else
		store->handler.on_record(store->handler.ctx, pair->key,
					 pair->value);
	g_free(store->loaded_through);
	store->loaded_through = g_strdup(pair->key);
}

static void on_page(void *arg, const GPtrArray *pairs, gboolean more,
		    const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	guint i;

	if (end_call(ctx))
		return;
	store->busy = FALSE;
	if (error) {
		g_message("cannot read the records, will retry: %s",
			  error->message);
		store->next_ms = store->now_ms + RETRY_MS;
		return;
	}
	for (i = 0; i < pairs->len; i++)
		pass_record(store, pairs->pdata[i]);
	if (more)
		cell_store_load_records(store);
	else
		finish_loading(store);
}

/* Keys of jobs sort before those of their progress, so each job is passed on
 * before its progress. */
void cell_store_load_records(struct cell_store *store)
{
	store->busy = TRUE;
	store->kv->ops->range_page(store->kv, CELL_RECORDS_PREFIX,
				   store->loaded_through, on_page,
				   call_ctx_new(store));
}

void cell_store_stop_reads(struct cell_store *store)
{
	g_clear_pointer(&store->loaded_through, g_free);
	g_clear_pointer(&store->job_id, g_free);
	g_clear_pointer(&store->job_record, g_bytes_unref);
	store->job_reading = FALSE;
	store->job_next_ms = 0;
}

static void job_read_failed(struct cell_store *store, const GError *error)
{
	g_info("cannot read the records of job %s, will retry: %s",
	       store->job_id, error->message);
	g_clear_pointer(&store->job_record, g_bytes_unref);
	store->job_next_ms = store->now_ms + RETRY_MS;
}

static void on_progress_record(void *arg, const GPtrArray *pairs,
			       gint64 revision G_GNUC_UNUSED,
			       const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	g_autofree char *id = NULL;
	g_autoptr(GBytes) record = NULL;

	if (end_call(ctx))
		return;
	store->job_reading = FALSE;
	if (error) {
		job_read_failed(store, error);
		return;
	}
	id = g_steal_pointer(&store->job_id);
	record = g_steal_pointer(&store->job_record);
	store->handler.on_job_read(
		store->handler.ctx, id, record,
		pairs->len ? ((struct kv_pair *)pairs->pdata[0])->value : NULL);
	if (store->state == STORE_LOADING)
		finish_loading(store);
}

static void on_job_record(void *arg, const GPtrArray *pairs,
			  gint64 revision G_GNUC_UNUSED, const GError *error)
{
	g_autofree struct call_ctx *ctx = arg;
	struct cell_store *store = ctx->store;
	g_autofree char *key = NULL;

	if (end_call(ctx))
		return;
	if (error) {
		store->job_reading = FALSE;
		job_read_failed(store, error);
		return;
	}
	if (pairs->len)
		store->job_record =
			g_bytes_ref(((struct kv_pair *)pairs->pdata[0])->value);
	key = g_strconcat(SCH_PROGRESS_PREFIX, store->job_id, NULL);
	store->kv->ops->range(store->kv, key, TRUE, 0, on_progress_record,
			      call_ctx_new(store));
}

void cell_store_send_job_read(struct cell_store *store)
{
	g_autofree char *key = NULL;

	if (!store->job_id || store->job_reading ||
	    store->now_ms < store->job_next_ms)
		return;
	store->job_reading = TRUE;
	key = g_strconcat(SCH_JOB_PREFIX, store->job_id, NULL);
	store->kv->ops->range(store->kv, key, TRUE, 0, on_job_record,
			      call_ctx_new(store));
}

void cell_store_read_job(struct cell_store *store, const char *id)
{
	g_assert(!store->job_id);
	store->job_id = g_strdup(id);
	cell_store_send_job_read(store);
}
