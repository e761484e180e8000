#include "internal.h"

#include <time.h>

/*
 * I/O layer of the leader: connects to all registered processes, turns their
 * frames into events of the scheduler, and executes its effects.
 */

/** Delay before the second connection attempt to a process, which doubles with
 * each further one, and its maximum. They are short since a VM is back some
 * seconds after a power failure, and its worker gets no work until the leader
 * connects. */
#define DIAL_FIRST_WAIT_MS 300
#define DIAL_MAX_WAIT_MS 1000

/** A process that was unreachable for this time is removed. */
#define REMOVE_NODE_MS 40000

/** Duration of worker leases: outlasts the election of a new leader. */
#define WORKER_LEASE_MS 7000

/** Worker leases are extended only until this long after leadership was last
 * confirmed. */
#define LEADERSHIP_VALID_MS 4000

/** Operations added to each transaction: two comparisons and the write of the
 * commit key. */
#define CONDITION_OPS 3

/** An entry may be named as successor if it has been connected for this time
 * and was heard of within CANDIDATE_MAX_AGE_MS. */
#define CANDIDATE_MIN_CONNECTED_MS 700
#define CANDIDATE_MAX_AGE_MS 1000

/** Time for which the state of an ended job is kept; callers rely on 120 s. */
#define RETENTION_MS 180000

/** Bounds on accepted jobs. The users' deployments have a few hundred jobs that
 * have not ended; at these bounds the smallest entries, 160 MB, still have most
 * of their memory. */
#define MAX_JOBS 20000
#define MAX_JOB_BYTES (48 << 20)

/** A registered process; name is that of its VM. */
struct node {
	struct cell_lead *lead;
	char *name;
	enum cell_role role;
	char *address;
	/** NULL if neither connected nor connecting. */
	struct cell_conn *conn;
	gboolean connected;
	/** No connection attempt before this time. */
	gint64 next_dial_ms;
	/** Delay before the next connection attempt. */
	gint64 dial_wait_ms;
	/** When it connected, sent a frame or changed its address last. */
	gint64 reached_ms;
	/** When the last heartbeat was sent. */
	gint64 heartbeat_ms;
	/** Of an entry: as in its last heartbeat; 0 if it cannot lead. */
	guint cpu_milli;
	gint64 connected_ms;
	/** Number of the last established connection, unique in the leader. */
	guint64 connection;
};

/** A call that is not answered yet. */
struct pending_call {
	/** For a caller of this process, else NULL. */
	cell_reply_fn fn;
	void *ctx;
	/** Name of the entry that forwarded the call, the number of the
	 * connection on which it did, and its id there. The id means nothing on
	 * another connection, which may be that of the entry's next process. */
	char *node;
	guint64 connection;
	guint64 call_id;
};

struct cell_lead {
	struct cell_lead_options options;
	struct sch *sch;
	/** Name to struct node. */
	GHashTable *nodes;
	/** call_ref to struct pending_call. */
	GHashTable *calls;
	guint64 next_ref;
	/** Number of the last connection that was established. */
	guint64 last_connection;
	gboolean has_tables;
	/** Up to when the tables and the evacuated zones were last reported to
	 * be current. */
	gint64 tables_current_ms;
	/** struct sch_effect to be executed. */
	GArray *effects;
	/** Effects are being executed; those of nested events are appended. */
	gboolean executing;
	/** When the first tick came, with all records loaded; 0 before. */
	gint64 leading_since_ms;
	struct cell_lag lag;
	/** Highest CPU limit of the other entries that could lead. */
	guint best_cpu_milli;
	/** Name of the entry that is to lead next; NULL for none. */
	char *successor;
};

static gint64 unix_ms(void)
{
	return g_get_real_time() / 1000;
}

static void drop_conn(struct node *node)
{
	if (node->conn)
		cell_conn_close(node->conn);
	node->conn = NULL;
	node->connected = FALSE;
}

static void free_node(gpointer data)
{
	struct node *node = data;

	drop_conn(node);
	g_free(node->name);
	g_free(node->address);
	g_free(node);
}

static void free_call(gpointer data)
{
	struct pending_call *call = data;

	g_free(call->node);
	g_free(call);
}

/* Sends the reply on the connection on which the call came. If that has ended,
 * the entry sends the call again on the next one, or its process has ended. */
static void send_reply(struct cell_lead *lead, const struct pending_call *call,
		       const struct Rp__StepReply *reply)
{
	struct node *node = g_hash_table_lookup(lead->nodes, call->node);
	struct Rp__Frame *frame;

	if (!node || !node->connected || node->connection != call->connection) {
		g_info("reply %u to call %" G_GUINT64_FORMAT
		       " of %s dropped: its connection has ended",
		       reply->status, call->call_id, call->node);
		return;
	}
	frame = wire_frame_new(RP__FRAME__BODY_STEP_REPLY);
	frame->step_reply->call_id = call->call_id;
	frame->step_reply->status = reply->status;
	frame->step_reply->state = reply->state;
	frame->step_reply->waiting = reply->waiting;
	frame->step_reply->retry_after_s = reply->retry_after_s;
	cell_conn_send(node->conn, frame);
	wire_frame_free(frame);
}

static void answer_call(struct cell_lead *lead, guint64 ref,
			const struct Rp__StepReply *reply)
{
	struct pending_call *call = g_hash_table_lookup(lead->calls, &ref);

	if (!call)
		return;
	if (call->fn)
		call->fn(call->ctx, reply);
	else
		send_reply(lead, call, reply);
	g_hash_table_remove(lead->calls, &ref);
}

static void send_leader_hello(struct node *node, guint64 fencing_token)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_LEADER_HELLO);

	frame->leader_hello->fence = fencing_token;
	wire_set_string(&frame->leader_hello->entry, node->lead->options.name);
	wire_set_string(&frame->leader_hello->address,
			node->lead->options.listen);
	cell_conn_send(node->conn, frame);
	wire_frame_free(frame);
}

static void execute_effect(struct cell_lead *lead, struct sch_effect *effect)
{
	struct node *node;

	switch (effect->kind) {
	case SCH_EFFECT_REPLY:
		answer_call(lead, effect->call_ref, &effect->reply);
		break;
	case SCH_EFFECT_SESSION:
		node = g_hash_table_lookup(lead->nodes, effect->vm);
		if (node && node->connected)
			send_leader_hello(node, effect->fencing_token);
		break;
	case SCH_EFFECT_ORDERS:
		node = g_hash_table_lookup(lead->nodes, effect->vm);
		if (node && node->connected)
			cell_conn_send(node->conn, effect->frame);
		break;
	case SCH_EFFECT_COMMIT:
		/* Leadership ends once no transaction is in flight, so no more
		 * are begun then. */
		if (!lead->successor)
			cell_store_commit(lead->options.store,
					  g_steal_pointer(&effect->txn));
		break;
	case SCH_EFFECT_READ_JOB:
		cell_store_read_job(lead->options.store, effect->job_id);
		break;
	}
}

static void reduce(struct cell_lead *lead, struct sch_event *ev)
{
	guint i;

	ev->now_ms = net_now_ms();
	ev->unix_ms = unix_ms();
	sch_reduce(lead->sch, ev, lead->effects);
	if (lead->executing)
		return;
	lead->executing = TRUE;
	/* Executing an effect may cause an event, which appends effects. */
	for (i = 0; i < lead->effects->len; i++) {
		struct sch_effect effect = g_array_index(lead->effects,
							 struct sch_effect, i);

		execute_effect(lead, &effect);
		sch_effect_clear(&effect);
	}
	g_array_set_size(lead->effects, 0);
	lead->executing = FALSE;
}

static void on_connect(void *ctx, struct cell_conn *conn G_GNUC_UNUSED)
{
	struct node *node = ctx;
	struct sch_event ev = { .kind = SCH_EVENT_AGENT_CONNECTED,
				.vm = node->name };

	node->connected = TRUE;
	node->connection = ++node->lead->last_connection;
	node->connected_ms = net_now_ms();
	node->cpu_milli = 0;
	node->heartbeat_ms = 0;
	node->dial_wait_ms = DIAL_FIRST_WAIT_MS;
	node->reached_ms = net_now_ms();
	g_info("connected to %s at %s", node->name, node->address);
	/* To an agent it is sent as the scheduler starts a session. */
	if (node->role == CELL_ROLE_AGENT)
		reduce(node->lead, &ev);
	else
		send_leader_hello(node, node->lead->options.fencing_token);
}

/* Handles the end of a connection or a failed attempt to connect. */
static void on_disconnect(struct node *node, const char *why)
{
	struct sch_event ev = { .kind = SCH_EVENT_AGENT_DISCONNECTED,
				.vm = node->name };
	gboolean was_connected = node->connected;

	node->connected = FALSE;
	node->conn = NULL;
	node->next_dial_ms = net_now_ms() + node->dial_wait_ms;
	node->dial_wait_ms = MIN(node->dial_wait_ms * 2, DIAL_MAX_WAIT_MS);
	if (!was_connected)
		return;
	g_message("connection to %s at %s ended: %s", node->name, node->address,
		  why);
	if (node->role == CELL_ROLE_AGENT)
		reduce(node->lead, &ev);
}

static void on_close(void *ctx, struct cell_conn *conn G_GNUC_UNUSED,
		     const char *why)
{
	on_disconnect(ctx, why);
}

static guint64 *ref_new(struct cell_lead *lead)
{
	guint64 *ref = g_new(guint64, 1);

	*ref = lead->next_ref++;
	return ref;
}

/* Passes the call to the scheduler; takes over pending. */
static void dispatch_call(struct cell_lead *lead,
			  const struct Rp__StepCall *call,
			  struct pending_call *pending)
{
	guint64 *ref = ref_new(lead);
	struct sch_event ev = {
		.kind = SCH_EVENT_CALL,
		.call = call,
		.call_ref = *ref,
	};

	g_hash_table_insert(lead->calls, ref, pending);
	reduce(lead, &ev);
}

static void on_frame(void *ctx, struct cell_conn *conn G_GNUC_UNUSED,
		     const struct Rp__Frame *frame)
{
	struct node *node = ctx;
	struct pending_call *pending;
	struct sch_event ev = { .kind = SCH_EVENT_REPORT, .vm = node->name };

	node->reached_ms = net_now_ms();
	switch (frame->body_case) {
	case RP__FRAME__BODY_VM_REPORT:
		ev.report = frame->vm_report;
		if (node->role == CELL_ROLE_AGENT)
			reduce(node->lead, &ev);
		break;
	case RP__FRAME__BODY_NODE_BEAT:
		node->cpu_milli = frame->node_beat->cpu_milli;
		break;
	case RP__FRAME__BODY_STEP_CALL:
		pending = g_new0(struct pending_call, 1);
		pending->node = g_strdup(node->name);
		pending->connection = node->connection;
		pending->call_id = frame->step_call->call_id;
		dispatch_call(node->lead, frame->step_call, pending);
		break;
	default:
		break;
	}
}

static const struct cell_conn_handler handler = {
	.on_frame = on_frame,
	.on_close = on_close,
	.on_connect = on_connect,
};

struct cell_lead *cell_lead_new(const struct cell_lead_options *options)
{
	struct cell_lead *lead = g_new0(struct cell_lead, 1);
	struct sch_options sch_options = {
		.fencing_token = options->fencing_token,
		.confirmed_ms = options->confirmed_ms,
		.lease_ms = WORKER_LEASE_MS,
		.leadership_valid_ms = LEADERSHIP_VALID_MS,
		.max_ops = options->max_txn_ops - CONDITION_OPS,
		.retention_ms = RETENTION_MS,
		.evacuation_ms = options->evacuation_ms,
		.lost_zones = options->lost_zones,
		.seed = g_random_int(),
		.max_jobs = MAX_JOBS,
		.max_job_bytes = MAX_JOB_BYTES,
	};

	lead->options = *options;
	lead->sch = sch_new(&sch_options, net_now_ms());
	lead->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_node);
	lead->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    free_call);
	lead->effects = g_array_new(FALSE, FALSE, sizeof(struct sch_effect));
	lead->next_ref = 1;
	return lead;
}

void cell_lead_free(struct cell_lead *lead)
{
	struct sch_event ev = { .kind = SCH_EVENT_DEPOSED };
	/* Unavailable: the caller may repeat the call at the next leader. */
	static const struct Rp__StepReply unknown = {
		PROTOBUF_C_MESSAGE_INIT(&rp__step_reply__descriptor),
		.status = 503,
		.retry_after_s = 1,
	};
	GHashTableIter iter;
	gpointer value;

	reduce(lead, &ev);
	/* On SCH_EVENT_DEPOSED the scheduler answers only the calls that wait
	 * for a commit. Forwarding entries see their connection close, so only
	 * the other calls of this process are left to be answered. */
	g_hash_table_iter_init(&iter, lead->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending_call *call = value;

		if (call->fn)
			call->fn(call->ctx, &unknown);
	}
	g_hash_table_unref(lead->nodes);
	g_hash_table_unref(lead->calls);
	g_array_unref(lead->effects);
	sch_free(lead->sch);
	g_free(lead->successor);
	g_free(lead);
}

void cell_lead_load_record(struct cell_lead *lead, const char *key,
			   GBytes *value)
{
	gsize len;
	const void *data = g_bytes_get_data(value, &len);
	int result;

	if (!strcmp(key, SCH_INTERFERENCE_KEY))
		result = sch_load_interference(lead->sch, data, len);
	else if (g_str_has_prefix(key, SCH_JOB_PREFIX))
		result = sch_load_job(lead->sch, key + strlen(SCH_JOB_PREFIX),
				      data, len);
	else
		result = sch_load_progress(lead->sch,
					   key + strlen(SCH_PROGRESS_PREFIX),
					   data, len, unix_ms());
	if (result < 0)
		g_critical("record %s of %zu bytes is malformed and ignored",
			   key, len);
}

const char *cell_lead_next_job(const struct cell_lead *lead)
{
	return sch_parked_with_runs(lead->sch);
}

void cell_lead_job_read(struct cell_lead *lead, const char *id, GBytes *job,
			GBytes *progress, gboolean loading)
{
	struct sch_event ev = {
		.kind = SCH_EVENT_JOB_READ,
		.job_id = id,
		.job_record = job,
		.progress_record = progress,
	};

	if (!loading)
		reduce(lead, &ev);
	else if (sch_load_parked(lead->sch, id, job, progress, unix_ms()) < 0)
		g_critical("records of job %s are missing or malformed", id);
}

void cell_lead_set_evacuations(struct cell_lead *lead)
{
	const GArray *list = cell_store_evacuations(lead->options.store);
	struct sch_event ev = {
		.kind = SCH_EVENT_EVACUATIONS,
		.evacuations = (const struct sch_evacuation *)list->data,
		.n_evacuations = list->len,
		.confirmed_ms =
			cell_store_tables_current_ms(lead->options.store),
	};

	if (lead->options.evacuation_ms)
		reduce(lead, &ev);
}

/* Reports up to when the tables and the evacuated zones are current, if that
 * has changed. */
static void confirm_tables(struct cell_lead *lead)
{
	struct sch_event ev = { .kind = SCH_EVENT_TABLES_CONFIRMED };

	ev.confirmed_ms = cell_store_tables_current_ms(lead->options.store);
	if (ev.confirmed_ms <= lead->tables_current_ms)
		return;
	lead->tables_current_ms = ev.confirmed_ms;
	reduce(lead, &ev);
	cell_lead_set_evacuations(lead);
}

void cell_lead_set_tables(struct cell_lead *lead, GPtrArray *queues)
{
	struct sch_event ev = { .kind = SCH_EVENT_TABLES, .queues = queues };

	lead->has_tables = TRUE;
	reduce(lead, &ev);
	confirm_tables(lead);
}

gboolean cell_lead_has_tables(const struct cell_lead *lead)
{
	return lead->has_tables;
}

void cell_lead_update_node(struct cell_lead *lead, const char *name,
			   GBytes *value)
{
	struct node *node = g_hash_table_lookup(lead->nodes, name);
	enum cell_role role;
	char *address;

	if (!strcmp(name, lead->options.name) || !value)
		return;
	if (cell_register_parse(value, &role, &address) < 0) {
		g_warning("registered address of %s is malformed and ignored",
			  name);
		return;
	}
	if (node && !strcmp(node->address, address)) {
		g_free(address);
		return;
	}
	if (node) {
		if (node->conn) {
			struct cell_conn *conn = node->conn;

			on_disconnect(node, "its address has changed");
			cell_conn_close(conn);
		}
		g_free(node->address);
	} else {
		node = g_new0(struct node, 1);
		node->lead = lead;
		node->name = g_strdup(name);
		g_hash_table_insert(lead->nodes, node->name, node);
	}
	node->role = role;
	node->address = address;
	node->next_dial_ms = 0;
	node->dial_wait_ms = DIAL_FIRST_WAIT_MS;
	node->reached_ms = net_now_ms();
}

void cell_lead_confirmed(struct cell_lead *lead, gint64 sent_ms)
{
	struct sch_event ev = { .kind = SCH_EVENT_LEADERSHIP_CONFIRMED,
				.confirmed_ms = sent_ms };

	reduce(lead, &ev);
}

void cell_lead_committed(struct cell_lead *lead, guint64 revision)
{
	struct sch_event ev = { .kind = SCH_EVENT_COMMITTED,
				.revision = revision };

	reduce(lead, &ev);
}

/* Sends a heartbeat to an entry, if due. */
static void send_heartbeat(struct node *node, gint64 now_ms)
{
	const struct cell_lead *lead = node->lead;
	struct cell_heartbeat heartbeat = {
		.fencing_token = lead->options.fencing_token,
		.best_cpu_milli = lead->best_cpu_milli,
		.successor = lead->successor,
	};

	/* Agents receive orders regularly, so they need no heartbeats. */
	if (node->role != CELL_ROLE_ENTRY ||
	    now_ms < node->heartbeat_ms + CELL_HEARTBEAT_MS)
		return;
	node->heartbeat_ms = now_ms;
	cell_conn_send_heartbeat(node->conn, &heartbeat);
}

static gboolean is_candidate(const struct node *node, gint64 now_ms)
{
	return node->connected && node->cpu_milli &&
	       now_ms >= node->connected_ms + CANDIDATE_MIN_CONNECTED_MS &&
	       now_ms < cell_conn_last_received_ms(node->conn) +
				CANDIDATE_MAX_AGE_MS;
}

/* Returns the entry with the most CPU that could lead, or NULL. */
static const struct node *find_candidate(const struct cell_lead *lead,
					 gint64 now_ms)
{
	const struct node *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, lead->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct node *node = value;

		if (is_candidate(node, now_ms) &&
		    (!best || node->cpu_milli > best->cpu_milli))
			best = node;
	}
	return best;
}

gboolean cell_lead_hand_over(struct cell_lead *lead)
{
	gint64 now_ms = net_now_ms();
	struct cell_tenure tenure = {
		.own_cpu_milli = lead->options.cpu_milli,
		.led_ms = now_ms - lead->leading_since_ms,
		.behind = cell_lag_is_behind(&lead->lag),
		.refused_ms = cell_store_refused_ms(lead->options.store),
	};
	const struct node *candidate;
	GHashTableIter iter;
	gpointer value;

	if (lead->successor)
		return TRUE;
	candidate = find_candidate(lead, now_ms);
	lead->best_cpu_milli = candidate ? candidate->cpu_milli : 0;
	if (!candidate || !cell_should_hand_over(&tenure, candidate->cpu_milli))
		return FALSE;
	g_message("hands over to %s with %u milli-CPUs: this entry has %u, "
		  "has led for %" G_GINT64_FORMAT " ms, is late for "
		  "%.0f %% of the time and was refused by the store for "
		  "%" G_GINT64_FORMAT " ms",
		  candidate->name, candidate->cpu_milli, tenure.own_cpu_milli,
		  tenure.led_ms, 100 * lead->lag.late_share, tenure.refused_ms);
	lead->successor = g_strdup(candidate->name);
	g_hash_table_iter_init(&iter, lead->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct node *node = value;

		node->heartbeat_ms = 0;
		if (node->connected)
			send_heartbeat(node, now_ms);
	}
	return TRUE;
}

/* Connects, sends heartbeats and detects idle connections. Returns FALSE if the
 * process was unreachable for too long and is to be removed. */
static gboolean maintain_node(struct node *node, gint64 now_ms)
{
	if (node->connected) {
		if (now_ms >= cell_conn_last_received_ms(node->conn) +
				      CELL_IDLE_TIMEOUT_MS) {
			struct cell_conn *conn = node->conn;

			on_disconnect(node, "idle timeout");
			cell_conn_close(conn);
		} else {
			send_heartbeat(node, now_ms);
		}
		return TRUE;
	}
	if (now_ms >= node->reached_ms + REMOVE_NODE_MS)
		return FALSE;
	if (node->conn || now_ms < node->next_dial_ms)
		return TRUE;
	node->conn = cell_conn_dial(node->lead->options.base, node->address,
				    &handler, node);
	if (!node->conn) {
		g_info("cannot connect to %s at %s", node->name, node->address);
		node->next_dial_ms = now_ms + DIAL_MAX_WAIT_MS;
	}
	return TRUE;
}

void cell_lead_tick(struct cell_lead *lead)
{
	struct sch_event ev = { .kind = SCH_EVENT_TICK };
	gint64 now_ms = net_now_ms();
	GHashTableIter iter;
	gpointer value;

	if (!lead->leading_since_ms)
		lead->leading_since_ms = now_ms;
	cell_lag_tick(&lead->lag, now_ms);
	g_hash_table_iter_init(&iter, lead->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct node *node = value;

		if (maintain_node(node, now_ms))
			continue;
		g_message("%s was unreachable for %d ms, removing its address",
			  node->name, REMOVE_NODE_MS);
		cell_store_remove_node(lead->options.store, node->name);
		g_hash_table_iter_remove(&iter);
	}
	confirm_tables(lead);
	reduce(lead, &ev);
}

void cell_lead_handle_call(struct cell_lead *lead,
			   const struct Rp__StepCall *call, cell_reply_fn fn,
			   void *ctx)
{
	struct pending_call *pending = g_new0(struct pending_call, 1);

	pending->fn = fn;
	pending->ctx = ctx;
	dispatch_call(lead, call, pending);
}

static void update_first_starts(struct obs_metrics *metrics,
				const struct sch_stats *stats)
{
	guint i;

	for (i = 0; i < SCH_PRIORITIES; i++) {
		const struct sch_first_starts *starts = &stats->first_starts[i];
		g_autofree char *label = g_strdup_printf("priority=\"%u\"", i);

		if (!starts->count)
			continue;
		obs_count_set(metrics, "radishpier_step_first_starts_total",
			      label, starts->count);
		obs_count_set(metrics, "radishpier_step_queue_ms_total", label,
			      starts->queue_ms);
		obs_count_set(metrics, "radishpier_step_late_starts_total",
			      label, starts->late);
	}
}

static void update_histogram(struct obs_metrics *metrics, const char *name,
			     const guint64 *buckets)
{
	guint64 sum = 0;
	guint i;

	for (i = 0; i < SCH_BUCKETS; i++) {
		g_autofree char *label =
			i < SCH_BUCKETS - 1
				? g_strdup_printf("le=\"%" G_GINT64_FORMAT "\"",
						  sch_bucket_bounds_ms[i])
				: g_strdup("le=\"+Inf\"");

		sum += buckets[i];
		obs_count_set(metrics, name, label, sum);
	}
}

static void update_zone(void *ctx, const char *zone,
			const struct sch_zone_stats *stats)
{
	struct obs_metrics *metrics = ctx;
	g_autofree char *escaped = g_strescape(zone, NULL);
	g_autofree char *label = g_strdup_printf("zone=\"%s\"", escaped);

	obs_gauge(metrics, "radishpier_step_zone_free_cpu_milli", label,
		  (double)stats->free_cpu_milli);
	obs_gauge(metrics, "radishpier_step_zone_runs", label, stats->runs);
}

static void update_zones(struct cell_lead *lead, const struct sch_stats *stats)
{
	struct obs_metrics *metrics = lead->options.metrics;

	obs_gauge(metrics, "radishpier_step_zones_evacuated", NULL,
		  stats->zones_evacuated);
	obs_count_set(metrics, "radishpier_step_starts_withdrawn_total", NULL,
		      stats->starts_withdrawn);
	obs_count_set(metrics, "radishpier_step_awaiting_zone_total", NULL,
		      stats->steps_awaiting_zone);
	sch_foreach_zone(lead->sch, update_zone, metrics);
}

void cell_lead_update_metrics(struct cell_lead *lead)
{
	struct obs_metrics *metrics = lead->options.metrics;
	struct sch_stats stats;

	sch_get_stats(lead->sch, &stats);
	obs_gauge(metrics, "radishpier_step_jobs", "state=\"waiting\"",
		  stats.jobs_waiting);
	obs_gauge(metrics, "radishpier_step_jobs", "state=\"running\"",
		  stats.jobs_running);
	obs_gauge(metrics, "radishpier_step_jobs", "state=\"ended\"",
		  stats.jobs_ended);
	obs_gauge(metrics, "radishpier_step_parked_jobs", NULL,
		  stats.jobs_parked);
	obs_gauge(metrics, "radishpier_step_runs", NULL, stats.runs);
	obs_gauge(metrics, "radishpier_vms", "usable=\"yes\"",
		  stats.vms_usable);
	obs_gauge(metrics, "radishpier_vms", "usable=\"no\"",
		  stats.vms - stats.vms_usable);
	obs_count_set(metrics, "radishpier_step_starts_total", NULL,
		      stats.starts);
	obs_count_set(metrics, "radishpier_step_runs_lost_total", NULL,
		      stats.lost_runs);
	obs_count_set(metrics, "radishpier_step_runs_unknown_total", NULL,
		      stats.unknown_runs);
	obs_count_set(metrics, "radishpier_step_preempted_total", NULL,
		      stats.preempted);
	obs_count_set(metrics, "radishpier_step_copies_total", NULL,
		      stats.speculative_runs);
	obs_count_set(metrics, "radishpier_step_moved_total", NULL,
		      stats.rescheduled);
	obs_count_set(metrics, "radishpier_step_stragglers_total", NULL,
		      stats.stragglers);
	obs_count_set(metrics, "radishpier_step_refused_total",
		      "reason=\"jobs\"", stats.refused_jobs);
	obs_count_set(metrics, "radishpier_step_refused_total",
		      "reason=\"bytes\"", stats.refused_bytes);
	obs_count_set(metrics, "radishpier_step_commits_total", NULL,
		      stats.commits);
	if (lead->options.evacuation_ms)
		update_zones(lead, &stats);
	obs_gauge(metrics, "radishpier_leader_late_ratio", NULL,
		  lead->lag.late_share);
	if (lead->tables_current_ms)
		obs_gauge(metrics, "radishpier_tables_age_ms", NULL,
			  (double)(net_now_ms() - lead->tables_current_ms));
	update_first_starts(metrics, &stats);
	update_histogram(metrics, "radishpier_step_first_start_ms_bucket",
			 stats.submit_to_start);
	update_histogram(metrics, "radishpier_step_done_ms_bucket",
			 stats.submit_to_done);
}
