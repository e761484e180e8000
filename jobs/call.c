#include "internal.h"

#include <string.h>

/* Most bytes of a record besides payload, kind and team. */
#define RECORD_BYTES 4096

static gboolean check_owned(struct job *job, const char *id, guint64 handle)
{
	if (job->shards[job_shard(id)].state == SHARD_READY)
		return TRUE;
	job_fx_answer_text(job, handle, JOB_STATUS_NOT_OWNER,
			   "this entry does not own the job's shard");
	return FALSE;
}

static void add_pending(GArray *calls, struct job *job, guint64 handle)
{
	struct pending_call pending = { handle, job->now };

	g_array_append_val(calls, pending);
}

static void answer_item(struct job *job, struct job_item *item, guint64 handle,
			unsigned status)
{
	GString *json = g_string_new(NULL);

	job_record_json(item, item->record, json);
	job_fx_answer(job, handle, status, g_string_free_to_bytes(json));
}

static struct Rp__JobRecord *
record_new(const struct job *job, const struct job_event *ev, const char *pool)
{
	const struct job_spec *spec = &ev->submit.spec;
	struct Rp__JobRecord *record = g_new(struct Rp__JobRecord, 1);

	rp__job_record__init(record);
	wire_set_string(&record->job_id, ev->submit.job_id);
	record->state = RP__JOB_STATE__JOB_STATE_QUEUED;
	record->attempt = 1;
	record->max_attempts = spec->max_attempts;
	wire_set_string(&record->kind, spec->kind);
	wire_set_string(&record->pool, pool);
	wire_set_string(&record->team, spec->team);
	record->resources = wire_resources_dup(NULL);
	record->resources->cpu_milli = spec->cpu_milli;
	record->resources->memory_bytes = spec->memory_bytes;
	record->resources->accelerators = spec->accelerators;
	record->submitted_unix_ms = job->unix_ms;
	record->spec_digest = job_spec_digest(spec);
	return record;
}

static void answer_repeated(struct job *job, const struct job_event *ev,
			    struct job_item *item)
{
	if (job_item_newest(item)->spec_digest !=
	    job_spec_digest(&ev->submit.spec))
		job_fx_answer_text(
			job, ev->submit.handle, 409,
			"the idempotency key belongs to another job");
	else if (item->record)
		answer_item(job, item, ev->submit.handle, 201);
	else
		add_pending(item->pending_submits, job, ev->submit.handle);
}

static gsize spec_bytes(const struct job_spec *spec)
{
	return (spec->payload ? g_bytes_get_size(spec->payload) : 0) +
	       strlen(spec->kind) + (spec->team ? strlen(spec->team) : 0) +
	       RECORD_BYTES;
}

void job_call_submit(struct job *job, const struct job_event *ev)
{
	const struct job_spec *spec = &ev->submit.spec;
	const char *id = ev->submit.job_id;
	const struct cfg_route *route;
	struct job_item *item;

	if (!check_owned(job, id, ev->submit.handle))
		return;
	item = job_item_find(job, id);
	if (item) {
		answer_repeated(job, ev, item);
		return;
	}
	if (!job->tables || job->now < job->kv_down_until) {
		job_fx_answer_text(job, ev->submit.handle, 503,
				   "the platform is not available");
		return;
	}
	route = cfg_route_match(job->tables, "JOB", "*", spec->kind);
	if (!route) {
		job_fx_answer_text(job, ev->submit.handle, 404,
				   "no route matches the kind");
		return;
	}
	if (spec_bytes(spec) > KV_MAX_VALUE_BYTES) {
		job_fx_answer_text(
			job, ev->submit.handle, 413,
			"the job is larger than the platform stores");
		return;
	}
	if (job->active >= job->max_active) {
		job_fx_answer_text(
			job, ev->submit.handle, 429,
			"too many jobs of this entry have not ended");
		return;
	}
	item = job_item_new(job, id);
	item->staged = record_new(job, ev, route->pool);
	item->need = job_resources_from_wire(item->staged->resources);
	item->payload = spec->payload ? g_bytes_ref(spec->payload)
				      : g_bytes_new(NULL, 0);
	job->payload_bytes += g_bytes_get_size(item->payload);
	if (g_queue_is_empty(job->staged))
		job->staged_since = job->now;
	g_queue_push_tail(job->staged, item);
	add_pending(item->pending_submits, job, ev->submit.handle);
	job_item_changed(job, item);
}

/* Returns the job if it is durable; else answers the call, returns NULL. */
static struct job_item *find_durable(struct job *job,
				     const struct job_event *ev)
{
	struct job_item *item;

	if (!check_owned(job, ev->query.job_id, ev->query.handle))
		return NULL;
	item = job_item_find(job, ev->query.job_id);
	if (item && item->record)
		return item;
	job_fx_answer_text(job, ev->query.handle, 404, "no such job");
	return NULL;
}

void job_call_get(struct job *job, const struct job_event *ev)
{
	struct job_item *item = find_durable(job, ev);

	if (item)
		answer_item(job, item, ev->query.handle, 200);
}

void job_call_result(struct job *job, const struct job_event *ev)
{
	struct job_item *item = find_durable(job, ev);
	struct store_call *call;
	char *key;

	if (!item)
		return;
	if (item->record->state != RP__JOB_STATE__JOB_STATE_DONE) {
		answer_item(job, item, ev->query.handle,
			    job_record_ended(item->record) ? 404 : 202);
		return;
	}
	key = g_strdup_printf("radishpier/result/%s", item->id);
	call = job_fx_range(job, CALL_RESULT, key, TRUE, 0, NULL);
	call->handle = ev->query.handle;
	g_free(key);
}

void job_call_result_read(struct job *job, const struct store_call *call,
			  const struct job_event *ev)
{
	const struct kv_pair *pair;

	if (ev->range.status != JOB_KV_OK) {
		job_fx_answer_text(job, call->handle, 503,
				   "the platform is not available");
	} else if (!ev->range.pairs->len) {
		job_fx_answer_text(job, call->handle, 404,
				   "no result is stored");
	} else {
		pair = g_ptr_array_index(ev->range.pairs, 0);
		job_fx_answer(job, call->handle, 200, g_bytes_ref(pair->value));
	}
}

void job_call_cancel(struct job *job, const struct job_event *ev)
{
	struct job_item *item = find_durable(job, ev);
	struct Rp__JobRecord *record;

	if (!item)
		return;
	if (job_record_ended(item->record)) {
		answer_item(job, item, ev->query.handle, 200);
		return;
	}
	add_pending(item->pending_cancels, job, ev->query.handle);
	if (job_record_ended(job_item_newest(item)))
		return;
	if (job_item_newest(item)->state == RP__JOB_STATE__JOB_STATE_QUEUED) {
		job_item_finish(job, item, RP__JOB_STATE__JOB_STATE_CANCELLED,
				"cancelled");
		return;
	}
	record = job_item_change(job, item);
	record->cancel_requested = TRUE;
	job_item_changed(job, item);
}

static void answer_overdue(struct job *job, GArray *calls, unsigned status)
{
	guint i;

	for (i = calls->len; i-- > 0;) {
		struct pending_call *pending =
			&g_array_index(calls, struct pending_call, i);

		if (job->now - pending->since < JOB_ANSWER_MAX_MS)
			continue;
		job_fx_answer_text(job, pending->handle, status,
				   "the platform did not answer in time");
		g_array_remove_index(calls, i);
	}
}

void job_call_tick(struct job *job)
{
	GList *link;
	GList *next;
	guint i;

	for (i = 0; i < job->in_flight->len; i++) {
		struct job_item *item = g_ptr_array_index(job->in_flight, i);

		answer_overdue(job, item->pending_submits, 504);
		answer_overdue(job, item->pending_cancels, 504);
	}
	for (link = job->staged->head; link; link = next) {
		struct job_item *item = link->data;
		guint waiting = item->pending_submits->len;

		next = link->next;
		answer_overdue(job, item->pending_cancels, 504);
		if (item->record || item->in_flight)
			continue;
		answer_overdue(job, item->pending_submits, 503);
		if (!waiting || item->pending_submits->len)
			continue;
		g_queue_delete_link(job->staged, link);
		job_item_unlink(job, item);
		g_hash_table_remove(job->shards[item->shard].items, item->id);
	}
}
