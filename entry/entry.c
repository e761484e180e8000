#include <string.h>

#include "internal.h"

static void effect_clear(void *data)
{
	struct ent_effect *effect = data;
	GArray *jobs;

	switch (effect->kind) {
	case ENT_FX_SEND:
		wire_frame_free(effect->send.frame);
		break;
	case ENT_FX_ANSWER:
		wire_frame_free(effect->answer.reply);
		break;
	case ENT_FX_CLAIM_KEY:
	case ENT_FX_RELEASE_KEY:
		g_free(effect->claim.key);
		g_free(effect->claim.owner);
		break;
	case ENT_FX_LOG:
		g_free(effect->log.message);
		g_free(effect->log.request_id);
		break;
	case ENT_FX_COUNT:
		g_free(effect->count.labels);
		break;
	case ENT_FX_JOB:
		/* Only an array of job_effects_new() frees a job effect. */
		jobs = job_effects_new();
		g_array_append_val(jobs, effect->job);
		g_array_unref(jobs);
		break;
	default:
		break;
	}
}

GArray *ent_effects_new(void)
{
	GArray *effects = g_array_new(FALSE, TRUE, sizeof(struct ent_effect));

	g_array_set_clear_func(effects, effect_clear);
	return effects;
}

void ent_fx_send(struct ent *ent, guint64 conn, struct Rp__Frame *frame)
{
	struct ent_effect effect = { .kind = ENT_FX_SEND };

	effect.send.conn = conn;
	effect.send.frame = frame;
	g_array_append_val(ent->effects, effect);
}

void ent_fx_log(struct ent *ent, GLogLevelFlags level, const char *request_id,
		const char *format, ...)
{
	struct ent_effect effect = { .kind = ENT_FX_LOG };
	va_list args;

	va_start(args, format);
	effect.log.level = level;
	effect.log.message = g_strdup_vprintf(format, args);
	effect.log.request_id = g_strdup(request_id);
	va_end(args);
	g_array_append_val(ent->effects, effect);
}

void ent_fx_count(struct ent *ent, const char *name, char *labels)
{
	struct ent_effect effect = { .kind = ENT_FX_COUNT };

	effect.count.name = name;
	effect.count.labels = labels;
	effect.count.add = 1;
	g_array_append_val(ent->effects, effect);
}

void ent_job_event(struct ent *ent, struct job_event *event)
{
	GArray *jobs = ent->job_effects;

	event->now_ms = ent->now_ms;
	event->unix_ms = ent->unix_ms;
	job_reduce(ent->jobs, event, jobs);
	for (unsigned i = 0; i < jobs->len; i++) {
		struct ent_effect effect = { .kind = ENT_FX_JOB };

		effect.job = g_array_index(jobs, struct job_effect, i);
		g_array_append_val(ent->effects, effect);
	}
	if (!jobs->len)
		return;
	/* The effects were moved, so their originals must not be freed. */
	memset(jobs->data, 0, jobs->len * sizeof(struct job_effect));
	g_array_set_size(jobs, 0);
}

struct conn *ent_conn_get(struct ent *ent, guint64 id)
{
	struct conn *conn = g_hash_table_lookup(ent->conns, &id);

	if (conn)
		return conn;
	conn = g_new0(struct conn, 1);
	conn->id = id;
	g_hash_table_insert(ent->conns, &conn->id, conn);
	return conn;
}

static void agent_closed(struct ent *ent, struct conn *conn)
{
	struct job_event event = { .kind = JOB_EV_AGENT_CLOSED };
	struct agent *agent = conn->agent;

	/* Retries of the requests in flight must not choose this agent. */
	ent_agent_set_draining(ent, agent, TRUE);
	while (agent->oldest_attempt) {
		ent_maybe_running_add(ent, agent->oldest_attempt);
		ent_request_attempt_lost(ent, agent->oldest_attempt);
	}
	ent_fx_log(ent, G_LOG_LEVEL_INFO, NULL, "agent of VM %s disconnected",
		   agent->vm);
	ent_agent_free(ent, agent);
	conn->agent = NULL;
	event.agent_closed.conn = conn->id;
	ent_job_event(ent, &event);
}

/* Frees the connection; the outcome of its requests in flight is unknown. */
static void conn_remove(struct ent *ent, struct conn *conn)
{
	if (conn->agent)
		agent_closed(ent, conn);
	if (conn->peer)
		ent_peer_closed(ent, conn);
	g_hash_table_remove(ent->conns, &conn->id);
}

void ent_conn_close(struct ent *ent, struct conn *conn)
{
	struct ent_effect effect = { .kind = ENT_FX_CLOSE };

	effect.close.conn = conn->id;
	g_array_append_val(ent->effects, effect);
	conn_remove(ent, conn);
}

static void forward_to_jobs(struct ent *ent, struct conn *conn,
			    const struct Rp__Frame *frame)
{
	struct job_event event = { .kind = JOB_EV_AGENT_FRAME };

	event.agent_frame.conn = conn->id;
	event.agent_frame.frame = frame;
	ent_job_event(ent, &event);
}

void ent_conn_protocol_error(struct ent *ent, struct conn *conn,
			     const char *format, ...)
{
	g_autofree char *what = NULL;
	va_list args;

	va_start(args, format);
	what = g_strdup_vprintf(format, args);
	va_end(args);
	ent_fx_log(ent, G_LOG_LEVEL_WARNING, NULL,
		   "connection %" G_GUINT64_FORMAT " closed: unexpected %s",
		   conn->id, what);
	ent_fx_count(ent, "radishpier_protocol_errors_total", NULL);
	ent_conn_close(ent, conn);
}

static void unexpected_frame(struct ent *ent, struct conn *conn,
			     const struct Rp__Frame *frame)
{
	ent_conn_protocol_error(ent, conn, "%s", wire_frame_name(frame));
}

/* Returns TRUE if an answer took ownership of the frame. */
static gboolean agent_frame(struct ent *ent, struct conn *conn,
			    struct Rp__Frame *frame)
{
	guint64 generation;
	gboolean taken;

	switch (frame->body_case) {
	case RP__FRAME__BODY_REPORT:
		ent_agent_report(ent, conn->agent, frame->report);
		ent_tables_send_if_newer(ent, conn,
					 frame->report->tables_generation);
		forward_to_jobs(ent, conn, frame);
		return FALSE;
	case RP__FRAME__BODY_REPLY:
		generation = frame->reply->tables_generation;
		conn->agent->tables_generation = generation;
		taken = ent_request_reply(ent, conn, frame);
		ent_tables_send_if_newer(ent, conn, generation);
		return taken;
	case RP__FRAME__BODY_TASK_LIST:
	case RP__FRAME__BODY_TASK_EVENT:
	case RP__FRAME__BODY_GRANT_REQUEST:
		forward_to_jobs(ent, conn, frame);
		return FALSE;
	default:
		unexpected_frame(ent, conn, frame);
		return FALSE;
	}
}

static void hello_frame(struct ent *ent, struct conn *conn,
			const struct Rp__Frame *frame)
{
	guint64 id = conn->id;

	if (conn->peer) {
		unexpected_frame(ent, conn, frame);
		return;
	}
	ent_agent_hello(ent, conn, frame->hello);
	conn = g_hash_table_lookup(ent->conns, &id);
	if (conn)
		forward_to_jobs(ent, conn, frame);
}

static void event_frame(struct ent *ent, struct ent_event *event)
{
	struct Rp__Frame *frame = (struct Rp__Frame *)event->frame.frame;
	struct conn *conn = ent_conn_get(ent, event->frame.conn);

	if (frame->body_case == RP__FRAME__BODY_HELLO)
		hello_frame(ent, conn, frame);
	else if (frame->body_case == RP__FRAME__BODY_PEER_HELLO)
		ent_peer_hello(ent, conn, frame->peer_hello);
	else if (!conn->agent && !conn->peer)
		unexpected_frame(ent, conn, frame);
	else if (frame->body_case == RP__FRAME__BODY_TABLES_UPDATE)
		ent_tables_receive(ent, frame->tables_update->document.data,
				   frame->tables_update->document.len, conn);
	else if (frame->body_case == RP__FRAME__BODY_TABLES_WANTED &&
		 ent_tables_wanted(ent, conn) == 0)
		return;
	else if (frame->body_case == RP__FRAME__BODY_EVACUATION_UPDATE)
		ent_evacuation_update(ent, conn, frame->evacuation_update);
	else if (conn->agent)
		event->frame.frame = agent_frame(ent, conn, frame) ? NULL
								   : frame;
	else if (frame->body_case == RP__FRAME__BODY_TABLES_DELTA)
		ent_tables_receive_delta(ent, frame->tables_delta, conn);
	else if (frame->body_case == RP__FRAME__BODY_PEER_STATE)
		ent_peer_state(ent, conn, frame->peer_state);
	else if (frame->body_case == RP__FRAME__BODY_MEMBERS ||
		 frame->body_case == RP__FRAME__BODY_PROMISE_REQUEST ||
		 frame->body_case == RP__FRAME__BODY_PROMISE_REPLY)
		ent_peer_job_member_frame(ent, conn, frame);
	else
		unexpected_frame(ent, conn, frame);
}

static void event_tick(struct ent *ent, gboolean evacuations_current)
{
	struct job_event event = { .kind = JOB_EV_TICK };

	if (evacuations_current)
		ent->evacuations_current_ms = ent->now_ms;
	if (ent->now_ms - ent->last_scan_ms >= ENT_SCAN_INTERVAL_MS) {
		ent->last_scan_ms = ent->now_ms;
		ent_upstreams_scan(ent);
		ent_maybe_running_scan(ent);
		ent_peers_scan(ent);
	}
	ent_job_event(ent, &event);
}

static void event_closed(struct ent *ent, guint64 id)
{
	struct conn *conn = g_hash_table_lookup(ent->conns, &id);

	if (conn)
		conn_remove(ent, conn);
}

static void check_drained(struct ent *ent)
{
	struct ent_effect effect = { .kind = ENT_FX_DRAINED };

	if (!ent->draining || ent->drained ||
	    g_hash_table_size(ent->requests) ||
	    g_hash_table_size(ent->claims_of_ended_requests))
		return;
	ent->drained = TRUE;
	g_array_append_val(ent->effects, effect);
}

static void event_drain(struct ent *ent)
{
	struct job_event event = { .kind = JOB_EV_DRAIN };

	ent->draining = TRUE;
	ent_job_event(ent, &event);
}

static void apply(struct ent *ent, struct ent_event *event)
{
	switch (event->kind) {
	case ENT_EV_TICK:
		event_tick(ent, event->tick.evacuations_current);
		break;
	case ENT_EV_REQUEST:
		ent_request_new(ent, &event->request);
		break;
	case ENT_EV_CALLER_DISCONNECTED:
		ent_request_caller_disconnected(ent,
						event->disconnected.handle);
		break;
	case ENT_EV_FRAME:
		event_frame(ent, event);
		break;
	case ENT_EV_CLOSED:
		event_closed(ent, event->conn.conn);
		break;
	case ENT_EV_PEER_CONNECTED:
		ent_peer_connected(ent, ent_conn_get(ent, event->conn.conn));
		break;
	case ENT_EV_TABLES:
		ent_tables_receive(ent, event->tables.data, event->tables.len,
				   NULL);
		break;
	case ENT_EV_EVACUATIONS:
		ent_evacuation_receive(ent, event->evacuations.data,
				       event->evacuations.len, NULL);
		break;
	case ENT_EV_KEY_CLAIM:
		ent_request_claim_answered(ent, event->claim.handle,
					   event->claim.result);
		break;
	case ENT_EV_ENTRIES:
		ent_entries_set(ent, event->entries.ids,
				event->entries.addresses, event->entries.n);
		break;
	case ENT_EV_DRAIN:
		event_drain(ent);
		break;
	case ENT_EV_JOB:
		ent_job_event(ent, &event->job);
		break;
	}
}

void ent_reduce(struct ent *ent, struct ent_event *event, GArray *effects)
{
	ent->effects = effects;
	ent->now_ms = MAX(ent->now_ms, event->now_ms);
	ent->unix_ms = event->unix_ms;
	apply(ent, event);
	ent_members_end_backoffs(ent);
	ent_requests_expire(ent);
	ent_requests_dispatch(ent);
	if (event->kind == ENT_EV_TICK)
		ent_hedge_requests(ent);
	check_drained(ent);
	ent->effects = NULL;
}

struct ent *ent_new(const struct ent_options *options)
{
	struct job_options jobs = { .entry_id = options->id,
				    .seed = options->seed + 1,
				    .instance = options->instance,
				    .boot_id = options->boot_id,
				    .agent_address = options->agent_address,
				    .wait_for_evacuations =
					    options->wait_for_evacuations };
	struct ent *ent = g_new0(struct ent, 1);

	ent->id = g_strdup(options->id);
	ent->zone = g_strdup(options->zone ? options->zone : "");
	ent->random = g_rand_new_with_seed(options->seed);
	ent->lb_policy = options->lb_policy;
	ent->no_limits = options->no_admission_limits;
	ent->no_ejections = options->no_ejections;
	ent->n_alive = 1;
	ent->evacuations = evac_new();
	ent->evacuations_read = !options->wait_for_evacuations;
	ent->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   ent_pool_free);
	ent->pools_by_priority = g_ptr_array_new();
	ent->conns = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	ent->agents = g_hash_table_new(g_str_hash, g_str_equal);
	ent->maybe_running = ent_maybe_running_new();
	ent->backed_off = g_ptr_array_new();
	ent->old_documents =
		g_ptr_array_new_with_free_func(ent_old_document_free);
	ent->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   ent_peer_free);
	ent->entry_addresses = g_ptr_array_new_with_free_func(g_free);
	if (options->agent_address)
		g_ptr_array_add(ent->entry_addresses,
				g_strdup(options->agent_address));
	ent->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	ent->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	ent->claims_of_ended_requests = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, ent_key_claim_free);
	ent_heap_init(&ent->deadlines, HEAP_DEADLINES);
	ent->jobs = job_new(&jobs);
	ent->job_effects = job_effects_new();
	return ent;
}

static void free_agents(struct ent *ent)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ent->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agent *agent = ((struct conn *)value)->agent;

		if (!agent)
			continue;
		ent_agent_set_draining(ent, agent, TRUE);
		while (agent->oldest_attempt)
			ent_attempt_end(ent, agent->oldest_attempt);
		ent_agent_free(ent, agent);
	}
}

void ent_free(struct ent *ent)
{
	struct request *request;

	if (!ent)
		return;
	free_agents(ent);
	while ((request = ent_heap_top(&ent->deadlines)) != NULL) {
		ent_heap_remove(&ent->deadlines, request);
		ent_request_free(request);
	}
	ent_heap_clear(&ent->deadlines);
	g_hash_table_unref(ent->requests);
	g_hash_table_unref(ent->attempts);
	g_hash_table_unref(ent->claims_of_ended_requests);
	g_hash_table_unref(ent->agents);
	g_hash_table_unref(ent->maybe_running);
	g_ptr_array_unref(ent->backed_off);
	g_hash_table_unref(ent->conns);
	g_hash_table_unref(ent->peers);
	g_ptr_array_unref(ent->pools_by_priority);
	g_hash_table_unref(ent->pools);
	g_ptr_array_unref(ent->entry_addresses);
	g_array_unref(ent->job_effects);
	job_free(ent->jobs);
	cfg_tables_free(ent->tables);
	g_clear_pointer(&ent->document, g_bytes_unref);
	g_ptr_array_unref(ent->old_documents);
	evac_free(ent->evacuations);
	g_clear_pointer(&ent->evacuations_document, g_bytes_unref);
	g_rand_free(ent->random);
	g_free(ent->zone);
	g_free(ent->id);
	g_free(ent);
}

const struct cfg_tables *ent_tables(const struct ent *ent)
{
	return ent->tables;
}

GBytes *ent_tables_document(const struct ent *ent)
{
	return ent->document;
}

const struct job *ent_jobs(const struct ent *ent)
{
	return ent->jobs;
}

gboolean ent_ready(const struct ent *ent)
{
	return ent->tables && ent->evacuations_read &&
	       g_hash_table_size(ent->agents) > 0;
}

unsigned ent_queued_requests(const struct ent *ent, const char *pool)
{
	const struct pool *found = g_hash_table_lookup(ent->pools, pool);

	return found ? ent_heap_size(&found->queue) : 0;
}
