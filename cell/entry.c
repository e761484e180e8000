#include "internal.h"

/* The entry: forwards its callers' calls to the leader, or leads itself. */

/** Maximum number of forwarded calls without an answer; more are refused. */
#define MAX_PENDING_CALLS 2000

/** Timeout of a call that names none. */
#define CALL_TIMEOUT_MS 3000

/** Time before the timeout of a forwarded call at which this process answers
 * it, in case the leader's answer was lost. */
#define CALL_MARGIN_MS 60

/** HTTP status codes. */
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504

/** A call that was forwarded to the leader. */
struct pending_call {
	cell_reply_fn fn;
	void *ctx;
	Rp__StepVerb verb;
	/** Answered with STATUS_TIMEOUT at this time. */
	gint64 deadline_ms;
};

struct cell_entry {
	struct cell_entry_options options;
	char *name;
	char *listen;
	struct evconnlistener *listener;
	struct event *tick;
	struct cell_leader_conn leader_conn;
	struct cell_register reg;
	struct cell_store *store;
	/** NULL unless this process is elected. */
	struct cell_lead *lead;
	/** Fencing token of this process's last election; 0 for none. */
	guint64 fencing_token;
	/** This process is elected and has loaded all records. */
	gboolean leading;
	gboolean draining;
	/** Connection attempt that shows whether the process of a disconnected
	 * leader has ended, and the fencing token of that leader. */
	struct cell_conn *leader_check;
	guint64 leader_check_token;
	/** call_id to struct pending_call. */
	GHashTable *pending_calls;
	guint64 next_call;
	/** When the last heartbeat was sent. */
	gint64 heartbeat_ms;
};

static void reply_status(cell_reply_fn fn, void *ctx, guint status,
			 guint retry_after_s)
{
	struct Rp__StepReply reply;

	rp__step_reply__init(&reply);
	reply.status = status;
	reply.retry_after_s = retry_after_s;
	fn(ctx, &reply);
}

/* Answers all pending calls, as their outcome at the leader is unknown. Calls
 * that change a job may have taken effect, so they get STATUS_BAD_GATEWAY
 * instead of STATUS_UNAVAILABLE. */
static void fail_pending_calls(struct cell_entry *entry)
{
	GHashTable *calls = entry->pending_calls;
	GHashTableIter iter;
	gpointer value;

	entry->pending_calls = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	g_hash_table_iter_init(&iter, calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending_call *call = value;
		gboolean changes =
			call->verb == RP__STEP_VERB__STEP_VERB_SUBMIT ||
			call->verb == RP__STEP_VERB__STEP_VERB_CANCEL;

		reply_status(call->fn, call->ctx,
			     changes ? STATUS_BAD_GATEWAY : STATUS_UNAVAILABLE,
			     1);
	}
	g_hash_table_unref(calls);
}

static void on_leader_connected(void *ctx, guint64 fencing_token)
{
	struct cell_entry *entry = ctx;

	/* Another process was elected later, so this one does not lead. */
	if (entry->lead && fencing_token > entry->fencing_token)
		cell_store_step_down(entry->store);
}

static void on_check_connect(void *ctx, struct cell_conn *conn)
{
	struct cell_entry *entry = ctx;

	entry->leader_check = NULL;
	cell_conn_close(conn);
}

static void on_check_close(void *ctx, struct cell_conn *conn,
			   const char *why G_GNUC_UNUSED)
{
	struct cell_entry *entry = ctx;

	entry->leader_check = NULL;
	if (!cell_conn_refused(conn))
		return;
	g_message("the process of the leader with fencing token "
		  "%" G_GUINT64_FORMAT " has ended",
		  entry->leader_check_token);
	cell_store_leader_ended(entry->store, entry->leader_check_token);
}

static void on_check_frame(void *ctx G_GNUC_UNUSED,
			   struct cell_conn *conn G_GNUC_UNUSED,
			   const struct Rp__Frame *frame G_GNUC_UNUSED)
{
}

static const struct cell_conn_handler leader_check_handler = {
	.on_frame = on_check_frame,
	.on_close = on_check_close,
	.on_connect = on_check_connect,
};

/* Starts a check whether the leader's process has ended: then new connections
 * are refused, while after a network failure they time out. */
static void on_leader_disconnected(void *ctx)
{
	struct cell_entry *entry = ctx;

	fail_pending_calls(entry);
	if (entry->leader_check || !entry->leader_conn.address)
		return;
	entry->leader_check_token = entry->leader_conn.fencing_token;
	entry->leader_check = cell_conn_dial(entry->options.base,
					     entry->leader_conn.address,
					     &leader_check_handler, entry);
}

static void on_frame(void *ctx, const struct Rp__Frame *frame)
{
	struct cell_entry *entry = ctx;
	struct pending_call *call;
	struct pending_call copy;

	if (frame->body_case != RP__FRAME__BODY_STEP_REPLY)
		return;
	call = g_hash_table_lookup(entry->pending_calls,
				   &frame->step_reply->call_id);
	if (!call)
		return;
	copy = *call;
	g_hash_table_remove(entry->pending_calls, &frame->step_reply->call_id);
	copy.fn(copy.ctx, frame->step_reply);
}

static void on_accept(struct evconnlistener *listener G_GNUC_UNUSED,
		      evutil_socket_t fd, struct sockaddr *addr G_GNUC_UNUSED,
		      int len G_GNUC_UNUSED, void *ctx)
{
	struct cell_entry *entry = ctx;

	cell_leader_conn_accept(&entry->leader_conn, fd);
}

static void on_elected(void *ctx, guint64 fencing_token, gint64 sent_ms)
{
	struct cell_entry *entry = ctx;
	struct cell_lead_options options = {
		.base = entry->options.base,
		.store = entry->store,
		.metrics = entry->options.metrics,
		.name = entry->name,
		.listen = entry->listen,
		.fencing_token = fencing_token,
		.confirmed_ms = sent_ms,
		.max_txn_ops = entry->options.max_txn_ops,
	};

	entry->fencing_token = fencing_token;
	entry->lead = cell_lead_new(&options);
}

static void on_records_loaded(void *ctx, guint64 fencing_token G_GNUC_UNUSED)
{
	struct cell_entry *entry = ctx;

	entry->leading = TRUE;
}

static void on_deposed(void *ctx)
{
	struct cell_entry *entry = ctx;

	entry->leading = FALSE;
	if (entry->lead)
		cell_lead_free(g_steal_pointer(&entry->lead));
}

static void on_confirmed(void *ctx, gint64 sent_ms)
{
	struct cell_entry *entry = ctx;

	if (entry->leading)
		cell_lead_confirmed(entry->lead, sent_ms);
}

static void on_committed(void *ctx, guint64 revision)
{
	struct cell_entry *entry = ctx;

	cell_lead_committed(entry->lead, revision);
}

static void on_tables(void *ctx, GBytes *document)
{
	struct cell_entry *entry = ctx;
	g_autoptr(GError) error = NULL;
	GPtrArray *queues = entry->options.read_tables(entry->options.ctx,
						       document, &error);

	if (!queues) {
		g_critical("configuration tables refused, the previous ones "
			   "stay in force: %s",
			   error->message);
		return;
	}
	cell_lead_set_tables(entry->lead, queues);
}

static void on_node(void *ctx, const char *name, GBytes *value)
{
	struct cell_entry *entry = ctx;

	cell_lead_update_node(entry->lead, name, value);
}

static void on_record(void *ctx, const char *key, GBytes *value)
{
	struct cell_entry *entry = ctx;

	cell_lead_load_record(entry->lead, key, value);
}

/* Sends a heartbeat to the leader, if due. */
static void send_heartbeat(struct cell_entry *entry, gint64 now_ms)
{
	if (now_ms < entry->heartbeat_ms + CELL_HEARTBEAT_MS)
		return;
	entry->heartbeat_ms = now_ms;
	if (entry->leader_conn.conn)
		cell_conn_send_heartbeat(entry->leader_conn.conn,
					 entry->leader_conn.fencing_token);
}

static void expire_calls(struct cell_entry *entry, gint64 now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->pending_calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending_call *call = value;
		struct pending_call copy = *call;

		if (now_ms < call->deadline_ms)
			continue;
		g_hash_table_iter_remove(&iter);
		reply_status(copy.fn, copy.ctx, STATUS_TIMEOUT, 0);
	}
}

static void on_tick(evutil_socket_t fd G_GNUC_UNUSED, short what G_GNUC_UNUSED,
		    void *arg)
{
	struct cell_entry *entry = arg;
	gint64 now_ms = net_now_ms();
	gboolean leader_connected = entry->leader_conn.conn != NULL;

	cell_leader_conn_tick(&entry->leader_conn, now_ms);
	if (!entry->draining)
		cell_register_tick(&entry->reg, now_ms,
				   leader_connected || entry->leading);
	cell_store_tick(entry->store, now_ms, leader_connected);
	if (entry->leading)
		cell_lead_tick(entry->lead);
	send_heartbeat(entry, now_ms);
	expire_calls(entry, now_ms);
}

struct cell_entry *cell_entry_new(const struct cell_entry_options *options,
				  GError **error)
{
	static const struct timeval interval = {
		.tv_usec = CELL_TICK_MS * 1000,
	};
	struct cell_entry *entry = g_new0(struct cell_entry, 1);
	struct cell_store_options store_options = {
		.base = options->base,
		.kv = options->kv,
		.name = options->name,
		.tables_key = options->tables_key,
		.handler = {
			.on_elected = on_elected,
			.on_records_loaded = on_records_loaded,
			.on_deposed = on_deposed,
			.on_confirmed = on_confirmed,
			.on_committed = on_committed,
			.on_tables = on_tables,
			.on_node = on_node,
			.on_record = on_record,
			.ctx = entry,
		},
	};

	entry->options = *options;
	entry->name = g_strdup(options->name);
	entry->listen = g_strdup(options->listen);
	entry->listener = cell_listen(options->base, options->listen, on_accept,
				      entry, error);
	if (!entry->listener) {
		g_free(entry->name);
		g_free(entry->listen);
		g_free(entry);
		return NULL;
	}
	cell_leader_conn_init(&entry->leader_conn, options->base);
	entry->leader_conn.on_connected = on_leader_connected;
	entry->leader_conn.on_frame = on_frame;
	entry->leader_conn.on_disconnected = on_leader_disconnected;
	entry->leader_conn.ctx = entry;
	cell_register_init(&entry->reg, options->kv, options->name,
			   CELL_ROLE_ENTRY, options->listen);
	entry->store = cell_store_new(&store_options);
	entry->pending_calls = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	entry->next_call = 1;
	entry->tick = event_new(options->base, -1, EV_PERSIST, on_tick, entry);
	event_add(entry->tick, &interval);
	return entry;
}

void cell_entry_free(struct cell_entry *entry)
{
	event_free(entry->tick);
	evconnlistener_free(entry->listener);
	if (entry->lead)
		cell_lead_free(entry->lead);
	if (entry->leader_check)
		cell_conn_close(entry->leader_check);
	fail_pending_calls(entry);
	cell_store_free(entry->store);
	cell_leader_conn_clear(&entry->leader_conn);
	cell_register_clear(&entry->reg);
	g_hash_table_unref(entry->pending_calls);
	g_free(entry->name);
	g_free(entry->listen);
	g_free(entry);
}

static void forward(struct cell_entry *entry, const struct Rp__StepCall *call,
		    cell_reply_fn fn, void *ctx)
{
	struct Rp__Frame frame = RP__FRAME__INIT;
	struct Rp__StepCall body = *call;
	struct pending_call *pending = g_new0(struct pending_call, 1);
	guint64 *id = g_new(guint64, 1);
	gint64 timeout_ms = call->timeout_ms ? call->timeout_ms
					     : CALL_TIMEOUT_MS;

	*id = entry->next_call++;
	pending->fn = fn;
	pending->ctx = ctx;
	pending->verb = call->verb;
	pending->deadline_ms = net_now_ms() +
			       MAX(timeout_ms - CALL_MARGIN_MS, 1);
	g_hash_table_insert(entry->pending_calls, id, pending);
	body.call_id = *id;
	frame.body_case = RP__FRAME__BODY_STEP_CALL;
	frame.step_call = &body;
	cell_leader_conn_send(&entry->leader_conn, &frame);
}

void cell_entry_call(struct cell_entry *entry, const struct Rp__StepCall *call,
		     cell_reply_fn fn, void *ctx)
{
	if (entry->leading)
		cell_lead_handle_call(entry->lead, call, fn, ctx);
	else if (entry->leader_conn.conn &&
		 g_hash_table_size(entry->pending_calls) < MAX_PENDING_CALLS)
		forward(entry, call, fn, ctx);
	else
		reply_status(fn, ctx, STATUS_UNAVAILABLE, 1);
}

gboolean cell_entry_is_ready(const struct cell_entry *entry)
{
	if (entry->draining)
		return FALSE;
	return entry->leading ? cell_lead_has_tables(entry->lead)
			      : entry->leader_conn.conn != NULL;
}

void cell_entry_drain(struct cell_entry *entry)
{
	entry->draining = TRUE;
	cell_store_resign(entry->store);
}

guint cell_entry_pending_calls(const struct cell_entry *entry)
{
	return g_hash_table_size(entry->pending_calls);
}

void cell_entry_update_metrics(struct cell_entry *entry)
{
	struct obs_metrics *metrics = entry->options.metrics;
	const struct kv_calls *calls =
		entry->options.kv->ops->calls(entry->options.kv);

	obs_gauge(metrics, "radishpier_leads", NULL, entry->leading);
	obs_gauge(metrics, "radishpier_ready", NULL,
		  cell_entry_is_ready(entry));
	obs_gauge(metrics, "radishpier_calls_pending", NULL,
		  cell_entry_pending_calls(entry));
	obs_count_set(metrics, "radishpier_kv_calls_total", "kind=\"txn\"",
		      calls->txns);
	obs_count_set(metrics, "radishpier_kv_calls_total", "kind=\"range\"",
		      calls->ranges);
	obs_count_set(metrics, "radishpier_kv_calls_total", "kind=\"watch\"",
		      calls->watches);
	obs_count_set(metrics, "radishpier_kv_calls_total",
		      "kind=\"keepalive\"", calls->lease_keepalives);
	obs_count_set(metrics, "radishpier_kv_failures_total", NULL,
		      calls->failures);
	if (entry->leading)
		cell_lead_update_metrics(entry->lead);
}
