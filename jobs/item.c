#include "internal.h"

#include <string.h>

struct job_item *job_item_new(struct job *job, const char *id)
{
	struct job_item *item = g_new0(struct job_item, 1);

	item->id = g_strdup(id);
	item->shard = job_shard(id);
	item->pending_submits = g_array_new(FALSE, FALSE,
					    sizeof(struct pending_call));
	item->pending_cancels = g_array_new(FALSE, FALSE,
					    sizeof(struct pending_call));
	g_hash_table_replace(job->shards[item->shard].items, item->id, item);
	return item;
}

void job_item_free(gpointer data)
{
	struct job_item *item = data;

	job_record_free(item->record);
	job_record_free(item->in_flight);
	job_record_free(item->staged);
	if (item->payload)
		g_bytes_unref(item->payload);
	if (item->result)
		g_bytes_unref(item->result);
	g_array_unref(item->pending_submits);
	g_array_unref(item->pending_cancels);
	g_free(item->sent_agent_boot_id);
	g_free(item->ack_vm);
	g_free(item->zone);
	g_free(item->rack);
	g_free(item->id);
	g_free(item);
}

struct job_item *job_item_find(const struct job *job, const char *id)
{
	return g_hash_table_lookup(job->shards[job_shard(id)].items, id);
}

const struct Rp__JobRecord *job_item_newest(const struct job_item *item)
{
	if (item->staged)
		return item->staged;
	return item->in_flight ? item->in_flight : item->record;
}

struct Rp__JobRecord *job_item_change(struct job *job, struct job_item *item)
{
	if (item->staged)
		return item->staged;
	item->staged = job_record_copy(job_item_newest(item));
	if (g_queue_is_empty(job->staged))
		job->staged_since = job->now;
	g_queue_push_tail(job->staged, item);
	return item->staged;
}

static void set_active(struct job *job, struct job_item *item, gboolean active)
{
	if (item->active == active)
		return;
	item->active = active;
	job->active += active ? 1 : -1;
}

void job_item_unlink(struct job *job, struct job_item *item)
{
	set_active(job, item, FALSE);
	if (item->vm) {
		job_pool_charge(job, item, -1);
		g_hash_table_remove(item->vm->items, item->id);
		item->vm = NULL;
	}
	if (item->pool) {
		job_pool_unreserve(item);
		job_pool_dequeue(item);
	}
	if (item->payload)
		job_item_drop_payload(job, item);
}

void job_item_changed(struct job *job, struct job_item *item)
{
	const struct Rp__JobRecord *newest = job_item_newest(item);
	gboolean placed = job_record_placed(newest);

	set_active(job, item, !job_record_ended(newest));
	if (item->vm && !placed) {
		job_pool_charge(job, item, -1);
		g_hash_table_remove(item->vm->items, item->id);
		item->vm = NULL;
	}
	if (placed && !item->vm) {
		job_pool_unreserve(item);
		job_pool_dequeue(item);
		item->vm = job_vm_get(job, newest->vm);
		g_hash_table_insert(item->vm->items, item->id, item);
		/* Only VMs with attempts get liveness checks. */
		job_vm_watch(job, item->vm);
		job_pool_charge(job, item, 1);
	}
	if (newest->state == RP__JOB_STATE__JOB_STATE_QUEUED)
		job_pool_enqueue(job, item);
	else if (!placed) {
		job_pool_unreserve(item);
		job_pool_dequeue(item);
	}
}

static void reset_attempt(struct job_item *item)
{
	item->placed_conn = 0;
	item->sent = FALSE;
	item->sent_list_request = 0;
	item->evict_at = 0;
	item->reading_payload = FALSE;
	item->unplaced_since = 0;
	item->deferred_since = 0;
	item->running_since = 0;
	item->why = NULL;
	g_clear_pointer(&item->sent_agent_boot_id, g_free);
}

void job_item_requeue(struct job *job, struct job_item *item, const char *why,
		      const char *checkpoint)
{
	struct Rp__JobRecord *record = job_item_change(job, item);

	if (checkpoint && *checkpoint)
		wire_set_string(&record->checkpoint, checkpoint);
	if (record->cancel_requested) {
		job_item_finish(job, item, RP__JOB_STATE__JOB_STATE_CANCELLED,
				"cancelled");
		return;
	}
	record->state = RP__JOB_STATE__JOB_STATE_QUEUED;
	record->attempt++;
	record->session = 0;
	wire_set_string(&record->vm, NULL);
	wire_set_string(&record->worker_boot_id, NULL);
	wire_set_string(&record->why, why);
	reset_attempt(item);
	job_item_changed(job, item);
}

void job_item_finish(struct job *job, struct job_item *item, Rp__JobState state,
		     const char *why)
{
	struct Rp__JobRecord *record = job_item_change(job, item);

	record->state = state;
	record->ended_unix_ms = job->unix_ms;
	wire_set_string(&record->why, why);
	reset_attempt(item);
	job_item_changed(job, item);
	if (state == RP__JOB_STATE__JOB_STATE_DONE)
		job->stats.finished++;
	else if (state == RP__JOB_STATE__JOB_STATE_FAILED)
		job->stats.failed++;
}

void job_item_drop_payload(struct job *job, struct job_item *item)
{
	if (!item->payload)
		return;
	job->payload_bytes -= g_bytes_get_size(item->payload);
	g_clear_pointer(&item->payload, g_bytes_unref);
}

void job_item_send_control(struct job *job, struct job_item *item,
			   Rp__TaskAction action)
{
	const struct Rp__JobRecord *newest = job_item_newest(item);
	struct Rp__Frame *frame;

	if (!item->vm || !item->vm->conn)
		return;
	frame = wire_frame_new(RP__FRAME__BODY_TASK_CONTROL);
	wire_set_string(&frame->task_control->job_id, item->id);
	frame->task_control->attempt = newest->attempt;
	frame->task_control->shard = item->shard;
	frame->task_control->term = job->shards[item->shard].term;
	frame->task_control->action = action;
	job_fx_send(job, item->vm->conn, frame);
}

/*
 * The attempt is durably placed, no change is staged or in flight, and its
 * connection is still the one of the placement.
 */
static gboolean may_start(const struct job_item *item)
{
	return item->record && !item->in_flight && !item->staged &&
	       item->record->state == RP__JOB_STATE__JOB_STATE_PLACED &&
	       !item->record->cancel_requested && item->vm && item->vm->conn &&
	       item->placed_conn == item->vm->conn && !item->sent;
}

void job_item_send_start(struct job *job, struct job_item *item)
{
	const struct Rp__JobRecord *record = item->record;
	struct Rp__TaskStart *start;
	struct Rp__Frame *frame;
	struct intf_cost cost;
	struct store_call *call;
	gsize len;
	const void *data;
	char *key;

	if (!may_start(item))
		return;
	if (!item->payload) {
		if (item->reading_payload)
			return;
		item->reading_payload = TRUE;
		key = g_strdup_printf("radishpier/payload/%s", item->id);
		call = job_fx_range(job, CALL_PAYLOAD, key, TRUE, 0, NULL);
		call->job_id = g_strdup(item->id);
		call->term = job->shards[item->shard].term;
		call->attempt = record->attempt;
		g_free(key);
		return;
	}
	frame = wire_frame_new(RP__FRAME__BODY_TASK_START);
	start = frame->task_start;
	wire_set_string(&start->job_id, item->id);
	start->attempt = record->attempt;
	start->shard = item->shard;
	start->term = job->shards[item->shard].term;
	start->session = record->session;
	wire_set_string(&start->pool, record->pool);
	wire_set_string(&start->kind, record->kind);
	start->resources = wire_resources_dup(record->resources);
	wire_set_string(&start->checkpoint, record->checkpoint);
	job_intf_cost(job, item, item->vm, &cost);
	start->slowdown_milli = (unsigned)(cost.added_slowdown * 1000);
	item->resumed = *record->checkpoint != '\0';
	data = g_bytes_get_data(item->payload, &len);
	wire_set_bytes(&start->payload, data, len);
	item->sent = TRUE;
	item->sent_list_request = item->vm->lists_requested[item->shard];
	g_free(item->sent_agent_boot_id);
	item->sent_agent_boot_id = g_strdup(item->vm->agent_boot_id);
	job_item_drop_payload(job, item);
	job->stats.started++;
	job_fx_send(job, item->vm->conn, frame);
}

void job_item_payload_read(struct job *job, const struct store_call *call,
			   const struct job_event *ev)
{
	struct job_item *item = job_item_find(job, call->job_id);
	const struct kv_pair *pair;

	if (!item || !item->reading_payload ||
	    job->shards[item->shard].term != call->term ||
	    job_item_newest(item)->attempt != call->attempt)
		return;
	item->reading_payload = FALSE;
	if (ev->range.status != JOB_KV_OK) {
		if (job_attempt_unsent(item) &&
		    job_record_placed(job_item_newest(item)))
			job_item_requeue(job, item, "payload could not be read",
					 NULL);
		return;
	}
	if (!item->payload) {
		if (ev->range.pairs->len) {
			pair = g_ptr_array_index(ev->range.pairs, 0);
			item->payload = g_bytes_ref(pair->value);
		} else {
			item->payload = g_bytes_new(NULL, 0);
		}
		job->payload_bytes += g_bytes_get_size(item->payload);
	}
	job_item_send_start(job, item);
}

static void send_ack(struct job *job, struct job_item *item)
{
	struct vm *vm = g_hash_table_lookup(job->vms, item->ack_vm);
	struct Rp__Frame *frame;

	if (vm && vm->conn) {
		frame = wire_frame_new(RP__FRAME__BODY_TASK_ACK);
		wire_set_string(&frame->task_ack->job_id, item->id);
		frame->task_ack->attempt = item->ack_attempt;
		frame->task_ack->shard = item->shard;
		frame->task_ack->term = job->shards[item->shard].term;
		job_fx_send(job, vm->conn, frame);
	}
	item->ack_attempt = 0;
	g_clear_pointer(&item->ack_vm, g_free);
}

static void answer_all(struct job *job, struct job_item *item, GArray *calls,
		       unsigned status)
{
	GString *json;
	guint i;

	for (i = 0; i < calls->len; i++) {
		json = g_string_new(NULL);
		job_record_json(item, item->record, json);
		job_fx_answer(
			job,
			g_array_index(calls, struct pending_call, i).handle,
			status, g_string_free_to_bytes(json));
	}
	g_array_set_size(calls, 0);
}

void job_item_durable(struct job *job, struct job_item *item)
{
	gboolean ended;

	if (!item->record)
		return;
	ended = job_record_ended(item->record);
	answer_all(job, item, item->pending_submits, 201);
	if (ended)
		answer_all(job, item, item->pending_cancels, 200);
	else if (item->record->cancel_requested)
		answer_all(job, item, item->pending_cancels, 202);
	if (item->ack_attempt &&
	    (ended || item->record->attempt > item->ack_attempt))
		send_ack(job, item);
	if (ended) {
		job_item_drop_payload(job, item);
		g_clear_pointer(&item->result, g_bytes_unref);
	}
	if (item->record->cancel_requested && !item->staged &&
	    !item->in_flight && job_record_placed(item->record)) {
		if (job_attempt_unsent(item))
			job_item_requeue(job, item, NULL, NULL);
		else
			job_item_send_control(
				job, item, RP__TASK_ACTION__TASK_ACTION_STOP);
	}
	job_item_send_start(job, item);
}
