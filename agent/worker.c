#include "internal.h"

/**
 * Wait before the first task list, so that start calls in flight when the
 * previous agent process ended have reached the worker and are listed.
 */
#define FIRST_LIST_DELAY_MS 200

/**
 * Time after the agent's start by which the worker has handled all start calls
 * of earlier agent processes. A task of a fenced session that it starts later
 * would execute under a lease of the new session.
 */
#define START_RESOLVE_MS 3000

/**
 * Of the time between two events, at most this is counted as running time: a
 * longer gap may be a pause of the VM.
 */
#define MAX_UNPAUSED_STEP_MS 500

/** Wait before a failed call to the worker is repeated. */
#define WORKER_RETRY_MS 500

/** Failed checkpoints after which a task is stopped without one. */
#define MAX_CHECKPOINT_TRIES 3

/** Consecutive lists after which a suspended task is evicted. */
#define MAX_SUSPENDED_LISTS 6

/** The key-value store takes values of at most 1 MB. */
#define MAX_RESULT_BYTES (1000 * 1000)

static void call(struct agt *agt, struct task *task, enum agt_effect_kind kind)
{
	struct agt_effect *fx = agt_fx(agt, kind);

	task->op = ++agt->next_op;
	task->op_kind = kind;
	g_hash_table_insert(agt->ops, g_memdup2(&task->op, sizeof(task->op)),
			    task);
	fx->worker.op = task->op;
	fx->worker.job_id = g_strdup(task->job_id);
	fx->worker.attempt = task->attempt;
	fx->worker.session = task->session;
	fx->worker.share_milli = MIN(task->share_milli, task->intf_share_milli);
	/* The grant may expire before a start is repeated; run_until_ms 0 then
	 * creates a suspended task. */
	if (kind == AGT_FX_WORKER_START && agt_grant_valid(agt))
		fx->worker.run_until_ms = agt->grant_until_ms;
}

static void call_start(struct agt *agt, struct task *task)
{
	size_t len = rp__frame__get_packed_size(task->start);
	g_autofree uint8_t *bytes = g_malloc(len);
	struct agt_effect *fx;

	call(agt, task, AGT_FX_WORKER_START);
	fx = &g_array_index(agt->effects, struct agt_effect,
			    agt->effects->len - 1);
	rp__frame__pack(task->start, bytes);
	fx->worker.start = rp__frame__unpack(NULL, len, bytes);
}

/* Stops a task that is final but may execute; deletes an acknowledged one. */
static void issue_final_call(struct agt *agt, struct task *task)
{
	if (task->reserved)
		call(agt, task, AGT_FX_WORKER_STOP);
	else if (!task->acked || task->forgotten)
		return;
	else if (!task->on_worker)
		agt_task_remove(agt, task);
	else
		call(agt, task, AGT_FX_WORKER_FORGET);
}

void agt_worker_issue_call(struct agt *agt, struct task *task)
{
	if (task->op || agt->now_ms < task->retry_at_ms)
		return;
	if (agt_task_is_final(task)) {
		issue_final_call(agt, task);
	} else if (task->stop_wanted ||
		   (task->evict_wanted &&
		    (task->checkpointed ||
		     task->checkpoint_tries >= MAX_CHECKPOINT_TRIES))) {
		if (!task->stop_confirmed)
			call(agt, task, AGT_FX_WORKER_STOP);
	} else if (task->start) {
		/*
		 * In an evacuated zone, an unanswered start is not repeated:
		 * the next list shows whether it took effect.
		 */
		if (!agt->evacuated)
			call_start(agt, task);
	} else if (task->evict_wanted) {
		call(agt, task, AGT_FX_WORKER_CHECKPOINT);
	} else if (task->throttle_wanted) {
		task->throttle_wanted = FALSE;
		call(agt, task, AGT_FX_WORKER_THROTTLE);
	}
}

static void start_confirmed(struct agt *agt, struct task *task)
{
	wire_frame_free(task->start);
	task->start = NULL;
	task->on_worker = TRUE;
	agt_task_send_event(agt, task);
	task->event_interval_ms = HEARTBEAT_MS;
}

static void start_done(struct agt *agt, struct task *task,
		       const struct agt_event *event)
{
	if (event->worker_done.ok) {
		start_confirmed(agt, task);
	} else if (!event->worker_done.outcome_known) {
		task->on_worker = TRUE;
		task->retry_at_ms = agt->now_ms + WORKER_RETRY_MS;
	} else if (task->on_worker) {
		/* An earlier call without an answer may have started it. */
		task->stop_wanted = TRUE;
		task->reason = RP__REASON__REASON_START_FAILED;
	} else if (event->worker_done.not_sent) {
		agt_task_set_final(agt, task,
				   RP__TASK_STATE__TASK_STATE_REFUSED,
				   RP__REASON__REASON_NO_CAPACITY,
				   "the worker cannot be reached");
	} else {
		agt_task_set_final(agt, task, RP__TASK_STATE__TASK_STATE_FAILED,
				   RP__REASON__REASON_START_FAILED,
				   event->worker_done.detail);
	}
}

static void checkpoint_done(struct task *task, const struct agt_event *event)
{
	if (event->worker_done.ok) {
		task->checkpointed = TRUE;
		g_free(task->checkpoint);
		task->checkpoint = g_strdup(event->worker_done.checkpoint);
	} else if (!event->worker_done.not_sent) {
		/* A failure that the worker reports is not retried. */
		task->checkpoint_tries = event->worker_done.outcome_known
						 ? MAX_CHECKPOINT_TRIES
						 : task->checkpoint_tries + 1;
	}
}

static void task_call_done(struct agt *agt, struct task *task,
			   const struct agt_event *event)
{
	enum agt_effect_kind kind = task->op_kind;
	gboolean ok = event->worker_done.ok;

	task->op = 0;
	task->list_at_last_call = agt->list_number;
	if (!ok && kind != AGT_FX_WORKER_START)
		task->retry_at_ms = agt->now_ms + WORKER_RETRY_MS;
	if (kind == AGT_FX_WORKER_START) {
		start_done(agt, task, event);
	} else if (kind == AGT_FX_WORKER_CHECKPOINT) {
		checkpoint_done(task, event);
	} else if (kind == AGT_FX_WORKER_STOP && ok) {
		/* The list shows whether it finished before the stop. */
		task->stop_confirmed = TRUE;
		agt->next_list_ms = agt->now_ms;
	} else if (kind == AGT_FX_WORKER_FORGET && ok) {
		task->forgotten = TRUE;
	}
}

void agt_worker_done(struct agt *agt, const struct agt_event *event)
{
	guint64 op = event->worker_done.op;
	struct task *task;

	if (op && op == agt->lease_op) {
		agt_lease_done(agt, event->worker_done.ok);
		return;
	}
	task = g_hash_table_lookup(agt->ops, &op);
	if (!task)
		return;
	g_hash_table_remove(agt->ops, &op);
	task_call_done(agt, task, event);
}

void agt_worker_request_list(struct agt *agt)
{
	if (agt->list_pending)
		return;
	agt->list_pending = TRUE;
	agt->list_unpaused_ms = agt->unpaused_ms;
	agt->list_number++;
	agt_fx(agt, AGT_FX_WORKER_LIST);
}

/* Adopts a new boot id once no task that was started before the restart was
 * noticed may execute. */
static void adopt_boot(struct agt *agt)
{
	if (!agt->next_worker_boot_id || agt_tasks_reserved_count(agt))
		return;
	g_free(agt->worker_boot_id);
	agt->worker_boot_id = agt->next_worker_boot_id;
	agt->next_worker_boot_id = NULL;
	agt->report_urgent = TRUE;
}

void agt_worker_tick(struct agt *agt)
{
	if (!agt->has_worker)
		return;
	if (!agt->next_list_ms) {
		agt->next_list_ms = agt->now_ms + FIRST_LIST_DELAY_MS;
		agt->unpaused_updated_ms = agt->now_ms;
	}
	agt->unpaused_ms += MIN(agt->now_ms - agt->unpaused_updated_ms,
				MAX_UNPAUSED_STEP_MS);
	agt->unpaused_updated_ms = agt->now_ms;
	adopt_boot(agt);
	if (agt->now_ms >= agt->next_list_ms)
		agt_worker_request_list(agt);
}

static gboolean is_live(const struct agt_worker_task *item)
{
	return item->state == RP__TASK_STATE__TASK_STATE_RUNNING ||
	       item->state == RP__TASK_STATE__TASK_STATE_SUSPENDED;
}

static void copy_usage(struct task *task, const struct agt_worker_task *item)
{
	task->used_cpu_milli = item->used_cpu_milli;
	task->used_memory_bytes = item->used_memory_bytes;
	task->peak_memory_bytes = MAX(task->peak_memory_bytes,
				      item->used_memory_bytes);
}

/* Sets the final state from the worker's list. */
static void set_final_from_worker(struct agt *agt, struct task *task,
				  const struct agt_worker_task *item)
{
	Rp__TaskState state = item->state;
	Rp__Reason reason = task->reason;
	g_autofree char *detail = g_strdup(item->detail);

	if (item->checkpoint && *item->checkpoint) {
		g_free(task->checkpoint);
		task->checkpoint = g_strdup(item->checkpoint);
	}
	if (state == RP__TASK_STATE__TASK_STATE_STOPPED && task->evict_wanted &&
	    !task->stop_wanted)
		state = RP__TASK_STATE__TASK_STATE_EVICTED;
	if (state == RP__TASK_STATE__TASK_STATE_FINISHED)
		reason = RP__REASON__REASON_NONE;
	if (state == RP__TASK_STATE__TASK_STATE_FAILED)
		reason = RP__REASON__REASON_TASK_FAILED;
	if (item->result_len > MAX_RESULT_BYTES) {
		state = RP__TASK_STATE__TASK_STATE_FAILED;
		reason = RP__REASON__REASON_TASK_FAILED;
		g_free(detail);
		detail = g_strdup_printf("the result of %zu bytes exceeds the "
					 "limit of %d bytes",
					 item->result_len, MAX_RESULT_BYTES);
	} else if (item->result_len) {
		g_clear_pointer(&task->result, g_bytes_unref);
		task->result = g_bytes_new(item->result, item->result_len);
	}
	agt_task_set_final(agt, task, state, reason, detail);
}

static struct task *adopt_task(struct agt *agt,
			       const struct agt_worker_task *item)
{
	struct task *task = agt_task_add(agt, item->job_id, item->attempt,
					 item->shard);

	task->session = item->session;
	task->pool = g_strdup(item->pool);
	task->kind = g_strdup(item->kind);
	task->cpu_milli = item->cpu_milli;
	task->memory_bytes = item->memory_bytes;
	task->accelerators = item->accelerators;
	task->on_worker = TRUE;
	copy_usage(task, item);
	if (is_live(item)) {
		task->reserved = TRUE;
		task->state = item->state;
	} else {
		set_final_from_worker(agt, task, item);
	}
	return task;
}

/*
 * A task that stays suspended under a valid lease was checkpointed by an agent
 * process that ended before it stopped the task. Its eviction is completed.
 */
static void check_suspended(struct agt *agt, struct task *task)
{
	if (task->state != RP__TASK_STATE__TASK_STATE_SUSPENDED ||
	    !agt_grant_valid(agt) || agt->lease_until_ms <= agt->now_ms ||
	    task->evict_wanted)
		task->suspended_lists = 0;
	else if (++task->suspended_lists >= MAX_SUSPENDED_LISTS)
		task->evict_wanted = TRUE;
}

static void merge_live(struct agt *agt, struct task *task,
		       const struct agt_worker_task *item, gboolean current)
{
	copy_usage(task, item);
	if (agt_task_is_final(task)) {
		/* A start that was taken as failed took effect; the task is
		 * stopped. */
		if (current) {
			task->reserved = TRUE;
			task->on_worker = TRUE;
		}
		return;
	}
	task->state = item->state;
	if (task->start)
		start_confirmed(agt, task);
	/* The confirmed stop had no effect; it is sent again. */
	if (current && task->stop_confirmed)
		task->stop_confirmed = FALSE;
	check_suspended(agt, task);
}

/* Applies one listed task; a task that is not known is stopped. */
static void merge_task(struct agt *agt, const struct agt_worker_task *item)
{
	g_autofree char *key = agt_task_key(item->job_id, item->attempt);
	struct task *task = g_hash_table_lookup(agt->tasks, key);
	gboolean current;

	if (!task) {
		task = adopt_task(agt, item);
		task->stop_wanted = task->reserved;
		task->reason = RP__REASON__REASON_STALE_SESSION;
		return;
	}
	/* Whether the list was requested after the task's last call ended. */
	current = task->list_at_last_call < agt->list_number;
	/* The outcome of a start in flight is taken from its answer. */
	if (task->op && task->op_kind == AGT_FX_WORKER_START)
		return;
	if (is_live(item)) {
		merge_live(agt, task, item, current);
	} else if (agt_task_is_final(task)) {
		task->reserved = FALSE;
		/* The deletion had no effect; it is sent again. */
		if (current)
			task->forgotten = FALSE;
	} else {
		set_final_from_worker(agt, task, item);
	}
}

/* Handles a task that is missing from a list requested after its last call. */
static void merge_absent(struct agt *agt, struct task *task)
{
	if (task->forgotten) {
		agt_task_remove(agt, task);
	} else if (agt_task_is_final(task)) {
		task->on_worker = FALSE;
		task->reserved = FALSE;
	} else if (task->start && !task->stop_confirmed) {
		/* Next, the unanswered start is sent again, or the stop if one
		 * is wanted. */
		if (agt->evacuated && !task->stop_wanted) {
			task->stop_wanted = TRUE;
			task->reason = RP__REASON__REASON_EVACUATED;
		}
		return;
	} else if (task->reason == RP__REASON__REASON_START_FAILED) {
		agt_task_set_final(agt, task, RP__TASK_STATE__TASK_STATE_FAILED,
				   task->reason,
				   "the worker could not start the task");
	} else if (task->stop_wanted) {
		agt_task_set_final(agt, task,
				   RP__TASK_STATE__TASK_STATE_STOPPED,
				   task->reason, NULL);
	} else if (task->checkpointed) {
		agt_task_set_final(agt, task,
				   RP__TASK_STATE__TASK_STATE_EVICTED,
				   task->reason, NULL);
	} else {
		agt_task_set_final(agt, task, RP__TASK_STATE__TASK_STATE_FAILED,
				   RP__REASON__REASON_TASK_FAILED,
				   "the worker no longer has the task");
	}
}

static void merge_list(struct agt *agt, const struct agt_event *event)
{
	g_autoptr(GHashTable) listed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autoptr(GPtrArray) tasks = NULL;
	size_t i;

	for (i = 0; i < event->worker_tasks.n; i++) {
		const struct agt_worker_task *item =
			&event->worker_tasks.tasks[i];

		merge_task(agt, item);
		g_hash_table_add(listed,
				 agt_task_key(item->job_id, item->attempt));
	}
	tasks = agt_tasks_snapshot(agt);
	for (i = 0; i < tasks->len; i++) {
		struct task *task = g_ptr_array_index(tasks, i);

		if (task->on_worker && !task->op &&
		    task->list_at_last_call < agt->list_number &&
		    !g_hash_table_contains(listed, task->key))
			merge_absent(agt, task);
	}
}

/* Adopts the tasks of the first list after the agent's start. */
static void adopt_first_list(struct agt *agt, const struct agt_event *event)
{
	size_t i;

	for (i = 0; i < event->worker_tasks.n; i++) {
		const struct agt_worker_task *item =
			&event->worker_tasks.tasks[i];

		agt->session = MAX(agt->session, item->session);
		/* Resets the CPU share that an earlier process may have set. */
		adopt_task(agt, item)->throttle_wanted = is_live(item);
	}
	g_free(agt->worker_boot_id);
	agt->worker_boot_id = g_strdup(event->worker_tasks.worker_boot_id);
	agt->tasks_known = TRUE;
	agt_fx_log(agt, G_LOG_LEVEL_INFO, NULL,
		   "the worker lists %zu tasks, of which %u have not ended",
		   event->worker_tasks.n, agt_tasks_reserved_count(agt));
}

/* Tasks of earlier sessions were fenced and must be stopped. */
static void stop_old_sessions(struct agt *agt)
{
	GHashTableIter iter;
	struct task *task;

	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task))
		if (task->reserved && task->session < agt->session) {
			task->stop_wanted = TRUE;
			task->reason = RP__REASON__REASON_STALE_SESSION;
		}
}

/*
 * Drops the tasks that a restarted worker lost; those whose start may have
 * reached its new boot are stopped. The new boot id is reported only after
 * that, since its report lets the entries start the tasks on other VMs.
 */
static void worker_rebooted(struct agt *agt, const char *boot_id)
{
	g_autoptr(GPtrArray) tasks = agt_tasks_snapshot(agt);
	unsigned i;

	agt_fx_log(agt, G_LOG_LEVEL_WARNING, NULL,
		   "the worker restarted and lost its tasks");
	g_free(agt->next_worker_boot_id);
	agt->next_worker_boot_id = g_strdup(boot_id);
	agt->lease_until_ms = 0;
	for (i = 0; i < tasks->len; i++) {
		struct task *task = g_ptr_array_index(tasks, i);

		/* The start may have reached the new boot of the worker. */
		if (task->start ||
		    (task->reserved &&
		     task->list_at_last_call >= agt->list_number)) {
			task->stop_wanted = TRUE;
			task->reason = RP__REASON__REASON_STALE_SESSION;
		} else if (!agt_task_is_final(task) || task->acked) {
			agt_task_remove(agt, task);
		} else {
			task->on_worker = FALSE;
			task->reserved = FALSE;
		}
	}
}

void agt_worker_tasks(struct agt *agt, const struct agt_event *event)
{
	const char *boot_id = event->worker_tasks.worker_boot_id;
	const char *known = agt->next_worker_boot_id ? agt->next_worker_boot_id
						     : agt->worker_boot_id;

	if (!agt->list_pending)
		return;
	agt->list_pending = FALSE;
	agt->next_list_ms = agt->now_ms + LIST_INTERVAL_MS;
	if (agt->worker_unreachable != !event->worker_tasks.ok)
		agt_fx_log(agt, G_LOG_LEVEL_WARNING, NULL,
			   event->worker_tasks.ok
				   ? "the worker answers again"
				   : "the worker does not answer");
	agt->worker_unreachable = !event->worker_tasks.ok;
	if (!event->worker_tasks.ok)
		return;
	if (!agt->tasks_known) {
		adopt_first_list(agt, event);
		stop_old_sessions(agt);
	} else {
		if (strcmp(boot_id, known))
			worker_rebooted(agt, boot_id);
		merge_list(agt, event);
	}
	if (agt->list_unpaused_ms >= START_RESOLVE_MS)
		agt->starts_resolved = TRUE;
}
