#include "internal.h"

#include <string.h>

/* Failures after which a job fails, if the submission sets no limit. */
#define DEFAULT_MAX_ATTEMPTS 5
/* A job that failed on this number of VMs fails: the cause is not a VM. */
#define MAX_FAILED_VMS 3
/* Delay before the next attempt of a failed job, doubled each time. */
#define FAILED_DELAY_MS 1000
#define FAILED_DELAY_MAX_MS 60000
/*
 * Delay before the next attempt on a VM that refused one. The job itself is
 * delayed by a fifth of it, since it may fit elsewhere.
 */
#define REFUSED_DELAY_MS 500

gboolean job_attempt_unsent(const struct job_item *item)
{
	return item->placed_conn && !item->sent;
}

static gboolean is_terminal(Rp__TaskState state)
{
	return state == RP__TASK_STATE__TASK_STATE_FINISHED ||
	       state == RP__TASK_STATE__TASK_STATE_FAILED ||
	       state == RP__TASK_STATE__TASK_STATE_EVICTED ||
	       state == RP__TASK_STATE__TASK_STATE_STOPPED ||
	       state == RP__TASK_STATE__TASK_STATE_REFUSED;
}

static void on_finished(struct job *job, struct job_item *item, struct vm *vm,
			const struct Rp__Task *task)
{
	if (task->result.len > KV_MAX_VALUE_BYTES) {
		job_item_finish(
			job, item, RP__JOB_STATE__JOB_STATE_FAILED,
			"the result is larger than the platform stores");
		return;
	}
	if (item->result)
		g_bytes_unref(item->result);
	item->result = g_bytes_new(task->result.data, task->result.len);
	job_intf_learn_run_time(job, vm, item);
	job_vm_succeeded(job, vm, item);
	job_item_finish(job, item, RP__JOB_STATE__JOB_STATE_DONE, NULL);
}

static void on_failed(struct job *job, struct job_item *item, struct vm *vm,
		      const struct Rp__Task *task)
{
	struct Rp__JobRecord *record = job_item_change(job, item);
	unsigned limit = record->max_attempts ? record->max_attempts
					      : DEFAULT_MAX_ATTEMPTS;
	gint64 delay_ms = FAILED_DELAY_MS;
	char *why;
	unsigned i;

	record->failures++;
	job_record_add_failed_vm(record, vm->name);
	job_vm_failed(job, vm, item);
	why = g_strdup_printf("%s on %s%s%s", wire_reason_name(task->reason),
			      vm->name, *task->detail ? ": " : "",
			      task->detail);
	if (record->failures >= limit ||
	    record->n_failed_vms >= MAX_FAILED_VMS) {
		job_item_finish(job, item, RP__JOB_STATE__JOB_STATE_FAILED,
				why);
	} else {
		job_item_requeue(job, item, why, task->checkpoint);
		for (i = 1;
		     i < record->failures && delay_ms < FAILED_DELAY_MAX_MS;
		     i++)
			delay_ms *= 2;
		item->not_before = job->now +
				   MIN(delay_ms, FAILED_DELAY_MAX_MS);
	}
	g_free(why);
}

static void on_refused(struct job *job, struct job_item *item, struct vm *vm,
		       const struct Rp__Task *task)
{
	char *why = g_strdup_printf("refused by %s: %s", vm->name,
				    wire_reason_name(task->reason));

	job->stats.refused++;
	vm->refused_until = job->now + REFUSED_DELAY_MS;
	job_item_requeue(job, item, why, NULL);
	item->not_before = job->now + REFUSED_DELAY_MS / 5;
	g_free(why);
}

/* Has the agent forget or stop an attempt that is no longer current. */
static void end_old_attempt(struct job *job, struct vm *vm,
			    struct job_item *item, const struct Rp__Task *task)
{
	const struct Rp__JobRecord *record = item->record;
	struct Rp__Frame *frame;

	/* The agent would answer a stop with the same event, in a loop. */
	if (task->state == RP__TASK_STATE__TASK_STATE_UNKNOWN)
		return;
	if (is_terminal(task->state)) {
		if (!record || (record->attempt <= task->attempt &&
				!job_record_ended(record))) {
			/* The end is not durable yet: acknowledge it later. */
			item->ack_attempt = task->attempt;
			g_free(item->ack_vm);
			item->ack_vm = g_strdup(vm->name);
			return;
		}
		frame = wire_frame_new(RP__FRAME__BODY_TASK_ACK);
		wire_set_string(&frame->task_ack->job_id, item->id);
		frame->task_ack->attempt = task->attempt;
		frame->task_ack->shard = item->shard;
		frame->task_ack->term = job->shards[item->shard].term;
	} else {
		frame = wire_frame_new(RP__FRAME__BODY_TASK_CONTROL);
		wire_set_string(&frame->task_control->job_id, item->id);
		frame->task_control->attempt = task->attempt;
		frame->task_control->shard = item->shard;
		frame->task_control->term = job->shards[item->shard].term;
		frame->task_control->action = RP__TASK_ACTION__TASK_ACTION_STOP;
	}
	job_fx_send(job, vm->conn, frame);
}

static void on_running(struct job *job, struct job_item *item)
{
	struct Rp__JobRecord *record;

	if (job_item_newest(item)->state == RP__JOB_STATE__JOB_STATE_PLACED) {
		item->running_since = job->now;
		record = job_item_change(job, item);
		record->state = RP__JOB_STATE__JOB_STATE_RUNNING;
		wire_set_string(&record->why, NULL);
		job_item_changed(job, item);
	}
	if (item->record && item->record->cancel_requested)
		job_item_send_control(job, item,
				      RP__TASK_ACTION__TASK_ACTION_STOP);
}

static void on_evicted(struct job *job, struct job_item *item,
		       const struct Rp__Task *task)
{
	gboolean slowed = task->reason == RP__REASON__REASON_INTERFERENCE;

	job->stats.evicted++;
	job->stats.interference_evicted += slowed;
	job_item_requeue(job, item,
			 slowed ? "evicted: it slowed a service of its VM"
				: "evicted",
			 task->checkpoint);
}

static void update_attempt(struct job *job, struct vm *vm,
			   struct job_item *item, const struct Rp__Task *task)
{
	job_intf_learn_usage(job, job_item_newest(item)->kind, task->used);
	switch (task->state) {
	case RP__TASK_STATE__TASK_STATE_RUNNING:
	case RP__TASK_STATE__TASK_STATE_SUSPENDED:
		on_running(job, item);
		return;
	case RP__TASK_STATE__TASK_STATE_FINISHED:
		on_finished(job, item, vm, task);
		break;
	case RP__TASK_STATE__TASK_STATE_FAILED:
		on_failed(job, item, vm, task);
		break;
	case RP__TASK_STATE__TASK_STATE_EVICTED:
		on_evicted(job, item, task);
		break;
	case RP__TASK_STATE__TASK_STATE_STOPPED:
		job_item_requeue(job, item, "stopped on its VM",
				 task->checkpoint);
		break;
	case RP__TASK_STATE__TASK_STATE_REFUSED:
		on_refused(job, item, vm, task);
		break;
	default:
		/* The agent does not know the attempt: request a list. */
		if (job_vm_list_received(job, vm, item->shard))
			job_vm_request_list(job, vm, item->shard);
		return;
	}
	item->ack_attempt = task->attempt;
	g_free(item->ack_vm);
	item->ack_vm = g_strdup(vm->name);
}

void job_attempt_event(struct job *job, struct vm *vm,
		       const struct Rp__Task *task)
{
	const struct Rp__JobRecord *newest;
	struct job_item *item;

	if (task->shard >= JOB_SHARDS ||
	    task->shard != job_shard(task->job_id) ||
	    job->shards[task->shard].state != SHARD_READY)
		return;
	item = job_item_find(job, task->job_id);
	if (!item) {
		job_fx_log(job, G_LOG_LEVEL_WARNING, task->job_id,
			   "%s reports attempt %u of an unknown job", vm->name,
			   task->attempt);
		return;
	}
	newest = job_item_newest(item);
	if (task->attempt < newest->attempt ||
	    (task->attempt == newest->attempt && job_record_ended(newest))) {
		end_old_attempt(job, vm, item, task);
		return;
	}
	/* Only a newer owner of the shard can have placed this attempt. */
	if (task->attempt > newest->attempt || !job_record_placed(newest) ||
	    strcmp(newest->vm, vm->name)) {
		job_fx_log(job, G_LOG_LEVEL_WARNING, item->id,
			   "%s reports attempt %u, which is not placed there",
			   vm->name, task->attempt);
		job->claims_wanted = TRUE;
		return;
	}
	update_attempt(job, vm, item, task);
}

/*
 * Requeues an attempt that the VM's task list lacks, once it cannot run any
 * more. A start call that an earlier agent process sent to the worker may take
 * effect after the new process has read the worker's tasks, and may reach a
 * worker that rebooted before the agent noticed. So a list without the attempt
 * is proof only from the process that got the TaskStart; from a later process
 * it is proof after the grants of the earlier one have ended.
 */
static void requeue_unlisted(struct job *job, struct vm *vm,
			     struct job_item *item)
{
	const struct Rp__JobRecord *newest = job_item_newest(item);
	gboolean same_process = item->sent && item->sent_agent_boot_id &&
				!strcmp(item->sent_agent_boot_id,
					vm->agent_boot_id);
	gboolean rebooted = *newest->worker_boot_id && *vm->worker_boot_id &&
			    strcmp(newest->worker_boot_id,
				   vm->worker_boot_id) != 0;

	if (job_attempt_unsent(item)) {
		if (item->placed_conn != vm->conn)
			job_item_requeue(job, item,
					 "the connection was replaced", NULL);
		return;
	}
	/* The agent may have received the TaskStart after it sent the list. */
	if (item->sent && item->placed_conn == vm->conn &&
	    item->sent_list_request >= vm->lists_received[item->shard])
		return;
	if (!same_process &&
	    job->now < vm->agent_first_seen + JOB_FENCE_WAIT_MS) {
		vm->list_request_at[item->shard] = vm->agent_first_seen +
						   JOB_FENCE_WAIT_MS;
		job_vm_watch(job, vm);
		return;
	}
	job_item_requeue(job, item,
			 rebooted ? "the worker rebooted"
				  : "not on the VM any more",
			 NULL);
}

void job_attempt_list(struct job *job, struct vm *vm,
		      const struct Rp__TaskList *list)
{
	unsigned shard = list->shard;
	GHashTable *listed;
	GList *items;
	GList *link;
	size_t i;

	if (shard < JOB_SHARDS && list->term > job->shards[shard].term)
		job->claims_wanted = TRUE;
	if (shard >= JOB_SHARDS || job->shards[shard].state != SHARD_READY ||
	    list->term != job->shards[shard].term ||
	    vm->list_request_term[shard] != list->term ||
	    vm->lists_received[shard] == vm->lists_requested[shard])
		return;
	vm->lists_received[shard]++;
	listed = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < list->n_tasks; i++) {
		const struct Rp__Task *task = list->tasks[i];

		if (task->attempt >
		    GPOINTER_TO_UINT(g_hash_table_lookup(listed, task->job_id)))
			g_hash_table_insert(listed, task->job_id,
					    GUINT_TO_POINTER(task->attempt));
	}
	items = g_hash_table_get_values(vm->items);
	for (link = items; link; link = link->next) {
		struct job_item *item = link->data;

		if (item->shard != shard)
			continue;
		if (GPOINTER_TO_UINT(g_hash_table_lookup(listed, item->id)) !=
		    job_item_newest(item)->attempt)
			requeue_unlisted(job, vm, item);
	}
	g_list_free(items);
	for (i = 0; i < list->n_tasks; i++)
		job_attempt_event(job, vm, list->tasks[i]);
	g_hash_table_unref(listed);
}
