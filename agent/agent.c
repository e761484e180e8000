#include "internal.h"

#include "../obs/obs.h"

static char *copy(const char *s)
{
	return g_strdup(s ? s : "");
}

static void pool_free(void *data)
{
	struct pool *pool = data;

	g_free(pool->name);
	g_free(pool);
}

struct agt *agt_new(const struct agt_options *options)
{
	struct agt *agt = g_new0(struct agt, 1);
	size_t i;

	agt->vm = copy(options->vm);
	agt->zone = copy(options->zone);
	agt->rack = copy(options->rack);
	agt->boot_id = copy(options->boot_id);
	agt->worker_boot_id = copy("");
	agt->slots = options->slots;
	agt->connections = options->connections;
	agt->cpu_milli = options->cpu_milli;
	agt->memory_bytes = options->memory_bytes;
	agt->accelerators = options->accelerators;
	agt->has_upstream = options->has_upstream;
	agt->has_worker = options->has_worker;
	agt->tasks_known = !options->has_worker;
	agt->rand = g_rand_new_with_seed(options->seed);
	agt->peers = g_ptr_array_new_with_free_func(agt_peer_free);
	agt->pools = g_ptr_array_new_with_free_func(pool_free);
	agt->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	agt->carried_over = agt_carried_over_new();
	agt->first_dial_ms = -1;
	agt->tasks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   agt_task_free);
	agt->ops = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
	agt->shards = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					    g_free);
	agt->intf = agt_intf_new(options);
	agt->refused = g_queue_new();
	agt->evacuations = evac_new();
	agt->grant_requests = g_array_new(FALSE, FALSE,
					  sizeof(struct grant_request));
	for (i = 0; i < options->n_pools; i++) {
		struct pool *pool = g_new0(struct pool, 1);

		pool->name = g_strdup(options->pools[i]);
		pool->index = agt->pools->len;
		g_ptr_array_add(agt->pools, pool);
	}
	for (i = 0; i < options->n_entries; i++)
		agt_peers_add(agt, options->entries[i], TRUE);
	return agt;
}

void agt_free(struct agt *agt)
{
	if (!agt)
		return;
	g_free(agt->vm);
	g_free(agt->zone);
	g_free(agt->rack);
	g_free(agt->boot_id);
	g_free(agt->worker_boot_id);
	g_free(agt->next_worker_boot_id);
	g_rand_free(agt->rand);
	g_ptr_array_free(agt->peers, TRUE);
	g_hash_table_destroy(agt->requests);
	g_array_free(agt->carried_over, TRUE);
	g_ptr_array_free(agt->pools, TRUE);
	g_hash_table_destroy(agt->ops);
	g_hash_table_destroy(agt->tasks);
	g_hash_table_destroy(agt->shards);
	g_queue_free_full(agt->refused, g_free);
	agt_intf_free(agt->intf);
	g_array_free(agt->grant_requests, TRUE);
	evac_free(agt->evacuations);
	g_clear_pointer(&agt->evacuations_document, g_bytes_unref);
	cfg_tables_free(agt->tables);
	g_clear_pointer(&agt->tables_bytes, g_bytes_unref);
	g_free(agt);
}

static void effect_clear(void *data)
{
	struct agt_effect *fx = data;

	switch (fx->kind) {
	case AGT_FX_SEND:
		wire_frame_free(fx->send.frame);
		break;
	case AGT_FX_DIAL:
		g_free(fx->dial.address);
		break;
	case AGT_FX_FORWARD:
		wire_frame_free(fx->forward.request);
		break;
	case AGT_FX_WORKER_START:
	case AGT_FX_WORKER_CHECKPOINT:
	case AGT_FX_WORKER_STOP:
	case AGT_FX_WORKER_THROTTLE:
	case AGT_FX_WORKER_FORGET:
		g_free(fx->worker.job_id);
		wire_frame_free(fx->worker.start);
		break;
	case AGT_FX_LOG:
		g_free(fx->log.message);
		g_free(fx->log.job_id);
		break;
	case AGT_FX_COUNT:
		g_free(fx->count.labels);
		break;
	default:
		break;
	}
}

GArray *agt_effects_new(void)
{
	GArray *effects = g_array_new(FALSE, TRUE, sizeof(struct agt_effect));

	g_array_set_clear_func(effects, effect_clear);
	return effects;
}

struct agt_effect *agt_fx(struct agt *agt, enum agt_effect_kind kind)
{
	struct agt_effect *fx;

	g_array_set_size(agt->effects, agt->effects->len + 1);
	fx = &g_array_index(agt->effects, struct agt_effect,
			    agt->effects->len - 1);
	fx->kind = kind;
	return fx;
}

void agt_fx_send(struct agt *agt, guint64 conn, struct Rp__Frame *frame)
{
	struct agt_effect *fx = agt_fx(agt, AGT_FX_SEND);

	fx->send.conn = conn;
	fx->send.frame = frame;
}

void agt_fx_count(struct agt *agt, const char *name, char *labels)
{
	struct agt_effect *fx = agt_fx(agt, AGT_FX_COUNT);

	fx->count.name = name;
	fx->count.labels = labels;
	fx->count.add = 1;
}

void agt_fx_log(struct agt *agt, GLogLevelFlags level, const char *job_id,
		const char *format, ...)
{
	struct agt_effect *fx = agt_fx(agt, AGT_FX_LOG);
	va_list args;

	va_start(args, format);
	fx->log.level = level;
	fx->log.message = g_strdup_vprintf(format, args);
	fx->log.job_id = g_strdup(job_id);
	va_end(args);
}

static void reduce_frame(struct agt *agt, const struct agt_event *event)
{
	const struct Rp__Frame *frame = event->frame.frame;
	struct peer *peer = agt_peer_find(agt, event->frame.conn);

	/* Frames of a closed connection may still come from the I/O layer. */
	if (!peer || !peer->connected)
		return;
	switch (frame->body_case) {
	case RP__FRAME__BODY_WELCOME:
		agt_peers_welcome(agt, peer, frame->welcome);
		break;
	case RP__FRAME__BODY_FLEET_INFO:
		agt_peers_fleet_info(agt, peer, frame->fleet_info);
		break;
	case RP__FRAME__BODY_REQUEST:
		agt_request(agt, peer, frame);
		break;
	case RP__FRAME__BODY_CANCEL:
		agt_request_cancel(agt, peer, frame->cancel->id);
		break;
	case RP__FRAME__BODY_TABLES_UPDATE:
		agt_tables_received(agt, peer, frame->tables_update);
		break;
	case RP__FRAME__BODY_TABLES_DELTA:
		agt_tables_delta(agt, peer, frame->tables_delta);
		break;
	case RP__FRAME__BODY_EVACUATION_UPDATE:
		agt_evacuation_received(agt, peer, frame->evacuation_update);
		break;
	case RP__FRAME__BODY_SHARD_TERM:
		agt_shard_term(agt, peer, frame->shard_term);
		break;
	case RP__FRAME__BODY_TASK_START:
		agt_task_start(agt, peer, frame);
		break;
	case RP__FRAME__BODY_TASK_CONTROL:
		agt_task_control(agt, peer, frame->task_control);
		break;
	case RP__FRAME__BODY_TASK_ACK:
		agt_task_ack(agt, frame->task_ack);
		break;
	case RP__FRAME__BODY_GRANT:
		agt_grant(agt, peer, frame->grant);
		break;
	default:
		agt_fx_log(agt, G_LOG_LEVEL_WARNING, NULL,
			   "entry at %s sent an unexpected %s message",
			   peer->address, wire_frame_name(frame));
		break;
	}
}

static void drain(struct agt *agt)
{
	GHashTableIter iter;
	struct task *task;

	if (agt->draining)
		return;
	agt->draining = TRUE;
	agt->report_urgent = TRUE;
	agt_fx_log(agt, G_LOG_LEVEL_INFO, NULL,
		   "draining: %u requests and %u tasks are in flight",
		   g_hash_table_size(agt->requests),
		   agt_tasks_reserved_count(agt));
	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task))
		if (task->reserved)
			task->evict_wanted = TRUE;
}

/* Final states must be acknowledged, since the VM may then be deleted. */
static gboolean tasks_delivered(const struct agt *agt)
{
	GHashTableIter iter;
	struct task *task;

	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task))
		if (task->reserved || task->op ||
		    (!task->acked &&
		     task->state != RP__TASK_STATE__TASK_STATE_REFUSED))
			return FALSE;
	return TRUE;
}

static void check_drained(struct agt *agt)
{
	if (!agt->draining || agt->drained ||
	    g_hash_table_size(agt->requests) || !tasks_delivered(agt))
		return;
	agt->drained = TRUE;
	agt_fx(agt, AGT_FX_DRAINED);
}

/* Does the work that is due, after a tick or another event. */
static void run_due(struct agt *agt)
{
	agt_worker_tick(agt);
	agt_grant_tick(agt);
	agt_peers_tick(agt);
	agt_carried_over_tick(agt);
	agt_intf_tick(agt);
	agt_tasks_tick(agt);
	agt_report_tick(agt);
	check_drained(agt);
}

void agt_reduce(struct agt *agt, const struct agt_event *event, GArray *effects)
{
	gboolean skip_due_work = FALSE;

	agt->now_ms = event->now_ms;
	agt->effects = effects;
	switch (event->kind) {
	case AGT_EV_TICK:
		break;
	case AGT_EV_CONNECTED:
		agt_peers_connected(agt, event->connected.conn);
		break;
	case AGT_EV_FRAME:
		reduce_frame(agt, event);
		/* What a request makes due can wait for the next tick. */
		skip_due_work = event->frame.frame->body_case ==
				RP__FRAME__BODY_REQUEST;
		break;
	case AGT_EV_CLOSED:
		agt_peers_closed(agt, event->closed.conn);
		break;
	case AGT_EV_UPSTREAM:
		agt_request_ended(agt, event);
		skip_due_work = !agt->draining;
		break;
	case AGT_EV_WORKER_TASKS:
		agt_worker_tasks(agt, event);
		break;
	case AGT_EV_WORKER_DONE:
		agt_worker_done(agt, event);
		break;
	case AGT_EV_DRAIN:
		drain(agt);
		break;
	}
	if (!skip_due_work)
		run_due(agt);
	agt->effects = NULL;
}

gboolean agt_ready(const struct agt *agt)
{
	unsigned i;

	if (!agt->tasks_known || agt->draining)
		return FALSE;
	for (i = 0; i < agt->peers->len; i++) {
		const struct peer *peer = g_ptr_array_index(agt->peers, i);

		if (peer->welcomed)
			return TRUE;
	}
	return FALSE;
}

void agt_committed(const struct agt *agt, struct agt_committed *committed)
{
	*committed = (struct agt_committed){ 0 };
	agt_tasks_add_committed(agt, committed);
	committed->slots = agt_slots_in_use(agt);
	committed->grant_until_ms = agt->grant_until_ms;
	committed->session = agt->session;
	committed->tables_generation = agt_generation(agt);
	committed->evictions = agt->intf->evictions;
	committed->throttled_ms = agt->intf->throttled_ms;
}

static void append_tasks(const struct agt *agt, GString *out)
{
	GHashTableIter iter;
	struct task *task;
	const char *comma = "";

	g_string_append(out, ",\"tasks\":[");
	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task)) {
		const ProtobufCEnumValue *state =
			protobuf_c_enum_descriptor_get_value(
				&rp__task_state__descriptor, task->state);

		g_string_append_printf(out, "%s{\"job_id\":", comma);
		obs_json_string(out, task->job_id, -1);
		g_string_append(out, ",\"why\":");
		obs_json_string(out, task->intf_reason ? task->intf_reason : "",
				-1);
		g_string_append_printf(
			out,
			",\"attempt\":%u,\"shard\":%u,\"state\":\"%s\","
			"\"reason\":\"%s\",\"memory_bytes\":%" G_GINT64_FORMAT
			",\"used_memory_bytes\":%" G_GINT64_FORMAT
			",\"share_milli\":%u,\"acknowledged\":%s}",
			task->attempt, task->shard, state ? state->name : "",
			wire_reason_name(task->reason), task->memory_bytes,
			task->used_memory_bytes,
			MIN(task->share_milli, task->intf_share_milli),
			task->acked ? "true" : "false");
		comma = ",";
	}
	g_string_append_c(out, ']');
}

static void append_peers(const struct agt *agt, GString *out)
{
	unsigned i;

	g_string_append(out, ",\"entries\":[");
	for (i = 0; i < agt->peers->len; i++) {
		const struct peer *peer = g_ptr_array_index(agt->peers, i);

		g_string_append(out, i ? ",{\"address\":" : "{\"address\":");
		obs_json_string(out, peer->address, -1);
		g_string_append_printf(out, ",\"connected\":%s}",
				       peer->welcomed ? "true" : "false");
	}
	g_string_append_c(out, ']');
}

void agt_status_json(const struct agt *agt, GString *out)
{
	struct agt_committed c;

	agt_committed(agt, &c);
	g_string_append(out, "{\"vm\":");
	obs_json_string(out, agt->vm, -1);
	g_string_append(out, ",\"zone\":");
	obs_json_string(out, agt->zone, -1);
	g_string_append(out, ",\"worker_boot_id\":");
	obs_json_string(out, agt->worker_boot_id, -1);
	g_string_append_printf(
		out,
		",\"ready\":%s,\"draining\":%s,"
		"\"evacuated\":%s,\"evacuations_generation\":"
		"%" G_GUINT64_FORMAT ",\"slots\":%u,"
		"\"slots_in_use\":%u,\"slots_inherited\":%u,"
		"\"committed_cpu_milli\":%" G_GINT64_FORMAT
		",\"committed_memory_bytes\":%" G_GINT64_FORMAT
		",\"committed_accelerators\":%" G_GINT64_FORMAT
		",\"generation\":%" G_GUINT64_FORMAT
		",\"session\":%" G_GUINT64_FORMAT
		",\"grant_until_ms\":%" G_GINT64_FORMAT,
		agt_ready(agt) ? "true" : "false",
		agt->draining ? "true" : "false",
		agt->evacuated ? "true" : "false", agt->evacuations->generation,
		agt->slots, c.slots, agt->carried_over->len, c.cpu_milli,
		c.memory_bytes, c.accelerators, c.tables_generation, c.session,
		c.grant_until_ms);
	append_tasks(agt, out);
	agt_intf_status(agt, out);
	append_peers(agt, out);
	g_string_append_c(out, '}');
}
