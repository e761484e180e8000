#include "internal.h"

/** First and longest delay before an unacknowledged final state is sent again;
 * the delay doubles each time. */
#define EVENT_REPEAT_MS 2000
#define EVENT_REPEAT_MAX_MS 30000

/** Refused attempts that are kept, so that a repeated start is refused too. */
#define MAX_REFUSED 4096

void agt_task_free(void *data)
{
	struct task *task = data;

	g_free(task->key);
	g_free(task->job_id);
	g_free(task->pool);
	g_free(task->kind);
	g_free(task->intf_reason);
	g_free(task->detail);
	g_free(task->checkpoint);
	g_clear_pointer(&task->result, g_bytes_unref);
	wire_frame_free(task->start);
	g_free(task);
}

char *agt_task_key(const char *job_id, unsigned attempt)
{
	return g_strdup_printf("%u/%s", attempt, job_id);
}

struct task *agt_task_add(struct agt *agt, const char *job_id, unsigned attempt,
			  unsigned shard)
{
	struct task *task = g_new0(struct task, 1);

	task->key = agt_task_key(job_id, attempt);
	task->job_id = g_strdup(job_id);
	task->attempt = attempt;
	task->shard = shard;
	task->admission_number = ++agt->last_admission_number;
	task->state = RP__TASK_STATE__TASK_STATE_RUNNING;
	task->event_interval_ms = EVENT_REPEAT_MS;
	task->share_milli = 1000;
	task->intf_share_milli = 1000;
	g_hash_table_insert(agt->tasks, task->key, task);
	return task;
}

void agt_task_remove(struct agt *agt, struct task *task)
{
	if (task->op)
		g_hash_table_remove(agt->ops, &task->op);
	g_hash_table_remove(agt->tasks, task->key);
}

GPtrArray *agt_tasks_snapshot(struct agt *agt)
{
	GPtrArray *tasks = g_ptr_array_new();
	GHashTableIter iter;
	void *task;

	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &task))
		g_ptr_array_add(tasks, task);
	return tasks;
}

gboolean agt_task_is_final(const struct task *task)
{
	return task->state != RP__TASK_STATE__TASK_STATE_RUNNING &&
	       task->state != RP__TASK_STATE__TASK_STATE_SUSPENDED;
}

static struct shard *shard_get(struct agt *agt, unsigned number)
{
	struct shard *shard = g_hash_table_lookup(agt->shards,
						  GUINT_TO_POINTER(number));

	if (!shard) {
		shard = g_new0(struct shard, 1);
		g_hash_table_insert(agt->shards, GUINT_TO_POINTER(number),
				    shard);
	}
	return shard;
}

static struct Rp__Task *task_message(const struct task *task)
{
	struct Rp__Task *message = g_new(struct Rp__Task, 1);

	rp__task__init(message);
	wire_set_string(&message->job_id, task->job_id);
	message->attempt = task->attempt;
	message->shard = task->shard;
	message->state = task->state;
	message->reason = task->reason;
	wire_set_string(&message->detail, task->detail);
	wire_set_string(&message->checkpoint, task->checkpoint);
	message->committed = wire_resources_dup(NULL);
	message->committed->cpu_milli = task->cpu_milli;
	message->committed->memory_bytes = task->memory_bytes;
	message->committed->accelerators = task->accelerators;
	message->used = wire_resources_dup(NULL);
	message->used->cpu_milli = task->used_cpu_milli;
	message->used->memory_bytes = task->peak_memory_bytes;
	message->session = task->session;
	return message;
}

static struct Rp__Frame *task_event_frame_new(const struct task *task,
					      guint64 term)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_TASK_EVENT);
	const void *data;
	gsize len;

	frame->task_event->task = task_message(task);
	frame->task_event->term = term;
	if (task->result) {
		data = g_bytes_get_data(task->result, &len);
		wire_set_bytes(&frame->task_event->task->result, data, len);
	}
	return frame;
}

void agt_task_send_event(struct agt *agt, struct task *task)
{
	const struct shard *shard = shard_get(agt, task->shard);

	if (!shard->conn)
		return;
	agt_fx_send(agt, shard->conn, task_event_frame_new(task, shard->term));
	task->next_event_ms = agt->now_ms + task->event_interval_ms;
	task->event_interval_ms = MIN(task->event_interval_ms * 2,
				      EVENT_REPEAT_MAX_MS);
}

void agt_task_set_final(struct agt *agt, struct task *task, Rp__TaskState state,
			Rp__Reason reason, const char *detail)
{
	char *copy = g_strdup(detail);
	const ProtobufCEnumValue *value = protobuf_c_enum_descriptor_get_value(
		&rp__task_state__descriptor, state);

	task->state = state;
	task->reason = reason;
	task->reserved = FALSE;
	/* A task that is refused since its start was not sent keeps the start:
	 * until it is removed, a repeated TaskStart is not answered. */
	if (task->on_worker || state != RP__TASK_STATE__TASK_STATE_REFUSED) {
		wire_frame_free(task->start);
		task->start = NULL;
	}
	g_free(task->detail);
	task->detail = copy;
	agt->report_changed = TRUE;
	agt_fx_count(agt, "radishpier_agent_tasks_total",
		     g_strdup_printf("state=\"%s\",reason=\"%s\"", value->name,
				     wire_reason_name(reason)));
	agt_fx_log(agt, G_LOG_LEVEL_INFO, task->job_id,
		   "attempt %u: state %s, reason %s, detail \"%s\"",
		   task->attempt, value->name, wire_reason_name(reason),
		   copy ? copy : "");
	agt_task_send_event(agt, task);
}

static void send_refusal(struct agt *agt, struct peer *peer,
			 const struct Rp__TaskStart *start, Rp__Reason reason,
			 const char *detail)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_TASK_EVENT);
	struct Rp__Task *task = g_new(struct Rp__Task, 1);

	rp__task__init(task);
	wire_set_string(&task->job_id, start->job_id);
	task->attempt = start->attempt;
	task->shard = start->shard;
	task->state = RP__TASK_STATE__TASK_STATE_REFUSED;
	task->reason = reason;
	wire_set_string(&task->detail, detail);
	task->session = agt->session;
	frame->task_event->task = task;
	frame->task_event->term = shard_get(agt, start->shard)->term;
	agt_fx_send(agt, peer->conn, frame);
}

static void remove_old_refusals(struct agt *agt)
{
	while (g_queue_get_length(agt->refused) > MAX_REFUSED) {
		g_autofree char *key = g_queue_pop_head(agt->refused);
		struct task *task = g_hash_table_lookup(agt->tasks, key);

		if (task && task->state == RP__TASK_STATE__TASK_STATE_REFUSED)
			agt_task_remove(agt, task);
	}
}

void agt_tasks_add_committed(const struct agt *agt, struct agt_committed *out)
{
	GHashTableIter iter;
	struct task *task;

	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task)) {
		if (!task->reserved)
			continue;
		out->tasks++;
		out->cpu_milli += task->cpu_milli;
		out->memory_bytes += MAX(task->memory_bytes,
					 task->used_memory_bytes);
		out->accelerators += task->accelerators;
	}
}

unsigned agt_tasks_reserved_count(const struct agt *agt)
{
	struct agt_committed committed = { 0 };

	agt_tasks_add_committed(agt, &committed);
	return committed.tasks;
}

static gboolean fits_in(gint64 wanted, gint64 committed, gint64 capacity)
{
	return wanted >= 0 && wanted <= capacity &&
	       committed <= capacity - wanted;
}

static gboolean fits(const struct agt *agt, const struct Rp__Resources *wanted)
{
	struct agt_committed committed = { 0 };

	agt_tasks_add_committed(agt, &committed);
	return wanted &&
	       fits_in(wanted->cpu_milli, committed.cpu_milli,
		       agt->cpu_milli) &&
	       fits_in(wanted->memory_bytes, committed.memory_bytes,
		       agt->memory_bytes) &&
	       fits_in(wanted->accelerators, committed.accelerators,
		       agt->accelerators);
}

/*
 * Attempts of a job must not execute at the same time on this VM, nor an older
 * one after a newer one. Returns the detail of a refusal, or NULL.
 */
static const char *conflict_detail(const struct agt *agt,
				   const struct Rp__TaskStart *start)
{
	GHashTableIter iter;
	struct task *task;

	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task)) {
		if (strcmp(task->job_id, start->job_id))
			continue;
		if (task->attempt > start->attempt)
			return "a later attempt is known";
		if (task->reserved)
			return "an earlier attempt has not stopped";
	}
	return NULL;
}

static Rp__Reason start_refusal(const struct agt *agt,
				const struct Rp__TaskStart *start,
				const char **detail)
{
	*detail = NULL;
	if (agt->draining)
		return RP__REASON__REASON_DRAINING;
	if (agt->evacuated) {
		*detail = "the zone of the VM is evacuated";
		return RP__REASON__REASON_EVACUATED;
	}
	if (!agt->has_worker || agt->worker_unreachable) {
		*detail = "the worker cannot be reached";
		return RP__REASON__REASON_NO_CAPACITY;
	}
	if (!agt_grant_valid(agt))
		return RP__REASON__REASON_NO_GRANT;
	if (start->session != agt->session)
		return RP__REASON__REASON_STALE_SESSION;
	*detail = conflict_detail(agt, start);
	if (*detail)
		return RP__REASON__REASON_NO_CAPACITY;
	if (!fits(agt, start->resources))
		return RP__REASON__REASON_NO_CAPACITY;
	return RP__REASON__REASON_NONE;
}

void agt_task_start(struct agt *agt, struct peer *peer,
		    const struct Rp__Frame *frame)
{
	const struct Rp__TaskStart *start = frame->task_start;
	struct shard *shard = shard_get(agt, start->shard);
	g_autofree char *key = agt_task_key(start->job_id, start->attempt);
	struct task *task;
	Rp__Reason reason;
	const char *detail;

	if (start->term < shard->term) {
		send_refusal(agt, peer, start, RP__REASON__REASON_STALE_TERM,
			     NULL);
		return;
	}
	shard->term = start->term;
	shard->conn = peer->conn;
	task = g_hash_table_lookup(agt->tasks, key);
	if (task) {
		if (!task->start)
			agt_task_send_event(agt, task);
		return;
	}
	reason = start_refusal(agt, start, &detail);
	if (reason == RP__REASON__REASON_EVACUATED)
		agt_evacuation_send(agt, peer);
	task = agt_task_add(agt, start->job_id, start->attempt, start->shard);
	task->session = start->session;
	task->pool = g_strdup(start->pool);
	task->kind = g_strdup(start->kind);
	task->slowdown_milli = start->slowdown_milli;
	if (start->resources) {
		task->cpu_milli = start->resources->cpu_milli;
		task->memory_bytes = start->resources->memory_bytes;
		task->accelerators = start->resources->accelerators;
	}
	if (reason != RP__REASON__REASON_NONE) {
		g_queue_push_tail(agt->refused, g_strdup(key));
		agt_task_set_final(agt, task,
				   RP__TASK_STATE__TASK_STATE_REFUSED, reason,
				   detail);
		remove_old_refusals(agt);
		return;
	}
	task->start = wire_frame_dup(frame);
	task->reserved = TRUE;
	agt->report_changed = TRUE;
	agt_worker_issue_call(agt, task);
}

void agt_task_control(struct agt *agt, struct peer *peer,
		      const struct Rp__TaskControl *control)
{
	g_autofree char *key = agt_task_key(control->job_id, control->attempt);
	struct shard *shard = shard_get(agt, control->shard);
	struct task *task = g_hash_table_lookup(agt->tasks, key);

	if (control->term < shard->term)
		return;
	shard->term = control->term;
	shard->conn = peer->conn;
	if (!task) {
		struct task unknown = { 0 };

		unknown.job_id = control->job_id;
		unknown.attempt = control->attempt;
		unknown.shard = control->shard;
		unknown.state = RP__TASK_STATE__TASK_STATE_UNKNOWN;
		agt_fx_send(agt, peer->conn,
			    task_event_frame_new(&unknown, shard->term));
		return;
	}
	if (agt_task_is_final(task)) {
		agt_task_send_event(agt, task);
		return;
	}
	switch (control->action) {
	case RP__TASK_ACTION__TASK_ACTION_STOP:
		task->stop_wanted = TRUE;
		task->reason = RP__REASON__REASON_CANCELLED;
		break;
	case RP__TASK_ACTION__TASK_ACTION_EVICT:
		task->evict_wanted = TRUE;
		break;
	case RP__TASK_ACTION__TASK_ACTION_THROTTLE:
		task->throttle_wanted = TRUE;
		task->share_milli = control->share_milli;
		break;
	default:
		break;
	}
	agt_worker_issue_call(agt, task);
}

void agt_task_ack(struct agt *agt, const struct Rp__TaskAck *ack)
{
	g_autofree char *key = agt_task_key(ack->job_id, ack->attempt);
	struct task *task = g_hash_table_lookup(agt->tasks, key);

	if (!task || !agt_task_is_final(task) ||
	    ack->term < shard_get(agt, ack->shard)->term)
		return;
	task->acked = TRUE;
	agt_worker_issue_call(agt, task);
}

/*
 * Sends the TaskList of a shard, without results, which might not fit into a
 * frame. A task with a result is listed as running; the TaskEvent that follows
 * carries its result and final state.
 */
static void send_list(struct agt *agt, struct peer *peer, unsigned number,
		      guint64 term)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_TASK_LIST);
	struct Rp__TaskList *list = frame->task_list;
	GHashTableIter iter;
	struct task *task;

	list->shard = number;
	list->term = term;
	list->tasks = g_new0(struct Rp__Task *, g_hash_table_size(agt->tasks));
	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task)) {
		struct Rp__Task *message;

		if (task->shard != number || task->acked)
			continue;
		message = task_message(task);
		if (task->result)
			message->state = RP__TASK_STATE__TASK_STATE_RUNNING;
		list->tasks[list->n_tasks++] = message;
	}
	agt_fx_send(agt, peer->conn, frame);
}

void agt_shard_term(struct agt *agt, struct peer *peer,
		    const struct Rp__ShardTerm *term)
{
	struct shard *shard = shard_get(agt, term->shard);
	GHashTableIter iter;
	struct task *task;

	if (term->term >= shard->term) {
		shard->term = term->term;
		shard->conn = peer->conn;
	}
	/* The list shows a stale owner the term that replaced its own. */
	send_list(agt, peer, term->shard, shard->term);
	if (term->term < shard->term)
		return;
	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task)) {
		if (task->shard != term->shard || task->acked ||
		    !agt_task_is_final(task))
			continue;
		task->event_interval_ms = EVENT_REPEAT_MS;
		agt_task_send_event(agt, task);
	}
}

/*
 * Evicts the newest tasks that use more memory than they declared until the
 * others fit. Declared sizes always fit, since admission checks them.
 */
static void evict_over_memory(struct agt *agt)
{
	GHashTableIter iter;
	struct task *task;
	struct task *newest;
	gint64 sum;

	do {
		newest = NULL;
		sum = 0;
		g_hash_table_iter_init(&iter, agt->tasks);
		while (g_hash_table_iter_next(&iter, NULL, (void **)&task)) {
			if (!task->reserved || task->evict_wanted ||
			    task->stop_wanted)
				continue;
			sum += MAX(task->memory_bytes, task->used_memory_bytes);
			if (task->used_memory_bytes > task->memory_bytes &&
			    (!newest ||
			     task->admission_number > newest->admission_number))
				newest = task;
		}
		if (sum <= agt->memory_bytes || !newest)
			return;
		newest->evict_wanted = TRUE;
		newest->reason = RP__REASON__REASON_NO_CAPACITY;
		agt_fx_log(agt, G_LOG_LEVEL_WARNING, newest->job_id,
			   "attempt %u is evicted: it uses %" G_GINT64_FORMAT
			   " bytes and declared %" G_GINT64_FORMAT,
			   newest->attempt, newest->used_memory_bytes,
			   newest->memory_bytes);
	} while (newest);
}

void agt_tasks_tick(struct agt *agt)
{
	g_autoptr(GPtrArray) tasks = NULL;
	unsigned i;

	if (!agt->has_worker || !agt->tasks_known)
		return;
	evict_over_memory(agt);
	tasks = agt_tasks_snapshot(agt);
	for (i = 0; i < tasks->len; i++) {
		struct task *task = g_ptr_array_index(tasks, i);

		if (agt_task_is_final(task) && !task->acked &&
		    task->state != RP__TASK_STATE__TASK_STATE_REFUSED &&
		    agt->now_ms >= task->next_event_ms)
			agt_task_send_event(agt, task);
		agt_worker_issue_call(agt, task);
	}
}
