#include "internal.h"

/* The entry: passes callers' calls to the leader, or leads itself. */

/** Calls on their way to the leader; more are refused at once. */
#define MAX_PENDING 2000

/** The leader answers before a call's timeout; this bounds a lost answer. */
#define CALL_TIMEOUT_MS 3000
#define CALL_MARGIN_MS 60

#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504

struct pending {
	cell_reply_fn fn;
	void *ctx;
	Rp__StepVerb verb;
	gint64 until_ms;
};

struct cell_entry {
	struct cell_entry_options options;
	char *name;
	char *listen;
	struct evconnlistener *listener;
	struct event *tick;
	struct cell_follow follow;
	struct cell_register reg;
	struct cell_store *store;
	/** Set while this process is elected. */
	struct cell_lead *lead;
	guint64 fence;
	gboolean leading;
	gboolean draining;
	/** Tells whether the process of a lost leader has ended. */
	struct cell_conn *probe;
	guint64 probe_fence;
	/** call_id to struct pending. */
	GHashTable *pending;
	guint64 next_call;
	gint64 beat_ms;
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

/* What the leader may have done is not known. */
static void fail_pending(struct cell_entry *entry)
{
	GHashTable *pending = entry->pending;
	GHashTableIter iter;
	gpointer value;

	entry->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	g_hash_table_iter_init(&iter, pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending *call = value;
		gboolean changes =
			call->verb == RP__STEP_VERB__STEP_VERB_SUBMIT ||
			call->verb == RP__STEP_VERB__STEP_VERB_CANCEL;

		reply_status(call->fn, call->ctx,
			     changes ? STATUS_BAD_GATEWAY : STATUS_UNAVAILABLE,
			     1);
	}
	g_hash_table_unref(pending);
}

static void on_leader(void *ctx, guint64 fence)
{
	struct cell_entry *entry = ctx;

	/* Another was elected after this process: its own term is over. */
	if (entry->lead && fence > entry->fence)
		cell_store_step_down(entry->store);
}

static void on_probe_connect(void *ctx, struct cell_conn *conn)
{
	struct cell_entry *entry = ctx;

	entry->probe = NULL;
	cell_conn_close(conn);
}

static void on_probe_close(void *ctx, struct cell_conn *conn,
			   const char *why G_GNUC_UNUSED)
{
	struct cell_entry *entry = ctx;

	entry->probe = NULL;
	if (!cell_conn_refused(conn))
		return;
	g_message("the process of the leader with fence %" G_GUINT64_FORMAT
		  " has ended",
		  entry->probe_fence);
	cell_store_leader_ended(entry->store, entry->probe_fence);
}

static void on_probe_frame(void *ctx G_GNUC_UNUSED,
			   struct cell_conn *conn G_GNUC_UNUSED,
			   const struct Rp__Frame *frame G_GNUC_UNUSED)
{
}

static const struct cell_conn_handler probe_handler = {
	.on_frame = on_probe_frame,
	.on_close = on_probe_close,
	.on_connect = on_probe_connect,
};

/* A killed process loses its connections at once, as does a cut link; only
 * the first refuses new ones. */
static void on_lost(void *ctx)
{
	struct cell_entry *entry = ctx;

	fail_pending(entry);
	if (entry->probe || !entry->follow.address)
		return;
	entry->probe_fence = entry->follow.fence;
	entry->probe = cell_conn_dial(entry->options.base,
				      entry->follow.address, &probe_handler,
				      entry);
}

static void on_frame(void *ctx, const struct Rp__Frame *frame)
{
	struct cell_entry *entry = ctx;
	struct pending *call;
	struct pending copy;

	if (frame->body_case != RP__FRAME__BODY_STEP_REPLY)
		return;
	call = g_hash_table_lookup(entry->pending, &frame->step_reply->call_id);
	if (!call)
		return;
	copy = *call;
	g_hash_table_remove(entry->pending, &frame->step_reply->call_id);
	copy.fn(copy.ctx, frame->step_reply);
}

static void on_accept(struct evconnlistener *listener G_GNUC_UNUSED,
		      evutil_socket_t fd, struct sockaddr *addr G_GNUC_UNUSED,
		      int len G_GNUC_UNUSED, void *ctx)
{
	struct cell_entry *entry = ctx;

	cell_follow_accept(&entry->follow, fd);
}

static void on_won(void *ctx, guint64 fence)
{
	struct cell_entry *entry = ctx;
	struct cell_lead_options options = {
		.base = entry->options.base,
		.store = entry->store,
		.metrics = entry->options.metrics,
		.name = entry->name,
		.listen = entry->listen,
		.fence = fence,
		.max_txn_ops = entry->options.max_txn_ops,
	};

	entry->fence = fence;
	entry->lead = cell_lead_new(&options);
}

static void on_elected(void *ctx, guint64 fence G_GNUC_UNUSED)
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

static void on_proof(void *ctx, gint64 sent_ms)
{
	struct cell_entry *entry = ctx;

	if (entry->leading)
		cell_lead_proof(entry->lead, sent_ms);
}

static void on_committed(void *ctx)
{
	struct cell_entry *entry = ctx;

	cell_lead_committed(entry->lead);
}

static void on_tables(void *ctx, GBytes *document)
{
	struct cell_entry *entry = ctx;
	g_autoptr(GError) error = NULL;
	GPtrArray *queues = entry->options.read_tables(entry->options.ctx,
						       document, &error);

	if (!queues) {
		g_critical("table refused, the one in force stays: %s",
			   error->message);
		return;
	}
	cell_lead_tables(entry->lead, queues);
}

static void on_node(void *ctx, const char *name, GBytes *value)
{
	struct cell_entry *entry = ctx;

	cell_lead_node(entry->lead, name, value);
}

static void on_record(void *ctx, const char *key, GBytes *value)
{
	struct cell_entry *entry = ctx;

	cell_lead_record(entry->lead, key, value);
}

static void beat(struct cell_entry *entry, gint64 now_ms)
{
	if (now_ms < entry->beat_ms + CELL_BEAT_MS)
		return;
	entry->beat_ms = now_ms;
	if (entry->follow.conn)
		cell_conn_send_beat(entry->follow.conn, entry->follow.fence);
}

static void expire_calls(struct cell_entry *entry, gint64 now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending *call = value;
		struct pending copy = *call;

		if (now_ms < call->until_ms)
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
	gboolean in_touch = entry->follow.conn != NULL;

	cell_follow_tick(&entry->follow, now_ms);
	if (!entry->draining)
		cell_register_tick(&entry->reg, now_ms,
				   in_touch || entry->leading);
	cell_store_tick(entry->store, now_ms, in_touch);
	if (entry->leading)
		cell_lead_tick(entry->lead);
	beat(entry, now_ms);
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
			.on_won = on_won,
			.on_elected = on_elected,
			.on_deposed = on_deposed,
			.on_proof = on_proof,
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
	cell_follow_init(&entry->follow, options->base);
	entry->follow.on_leader = on_leader;
	entry->follow.on_frame = on_frame;
	entry->follow.on_lost = on_lost;
	entry->follow.ctx = entry;
	cell_register_init(&entry->reg, options->kv, options->name,
			   CELL_ROLE_ENTRY, options->listen);
	entry->store = cell_store_new(&store_options);
	entry->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
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
	if (entry->probe)
		cell_conn_close(entry->probe);
	fail_pending(entry);
	cell_store_free(entry->store);
	cell_follow_clear(&entry->follow);
	cell_register_clear(&entry->reg);
	g_hash_table_unref(entry->pending);
	g_free(entry->name);
	g_free(entry->listen);
	g_free(entry);
}

static void forward(struct cell_entry *entry, const struct Rp__StepCall *call,
		    cell_reply_fn fn, void *ctx)
{
	struct Rp__Frame frame = RP__FRAME__INIT;
	struct Rp__StepCall body = *call;
	struct pending *pending = g_new0(struct pending, 1);
	guint64 *id = g_new(guint64, 1);
	gint64 timeout_ms = call->timeout_ms ? call->timeout_ms
					     : CALL_TIMEOUT_MS;

	*id = entry->next_call++;
	pending->fn = fn;
	pending->ctx = ctx;
	pending->verb = call->verb;
	pending->until_ms = net_now_ms() + MAX(timeout_ms - CALL_MARGIN_MS, 1);
	g_hash_table_insert(entry->pending, id, pending);
	body.call_id = *id;
	frame.body_case = RP__FRAME__BODY_STEP_CALL;
	frame.step_call = &body;
	cell_follow_send(&entry->follow, &frame);
}

void cell_entry_call(struct cell_entry *entry, const struct Rp__StepCall *call,
		     cell_reply_fn fn, void *ctx)
{
	if (entry->leading)
		cell_lead_call(entry->lead, call, fn, ctx);
	else if (entry->follow.conn &&
		 g_hash_table_size(entry->pending) < MAX_PENDING)
		forward(entry, call, fn, ctx);
	else
		reply_status(fn, ctx, STATUS_UNAVAILABLE, 1);
}

gboolean cell_entry_is_ready(const struct cell_entry *entry)
{
	if (entry->draining)
		return FALSE;
	return entry->leading ? cell_lead_has_tables(entry->lead)
			      : entry->follow.conn != NULL;
}

void cell_entry_drain(struct cell_entry *entry)
{
	entry->draining = TRUE;
	cell_store_resign(entry->store);
}

guint cell_entry_pending_calls(const struct cell_entry *entry)
{
	return g_hash_table_size(entry->pending);
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
