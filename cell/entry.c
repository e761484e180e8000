#include "internal.h"

/* The entry: forwards its callers' calls to the leader, or leads itself. */

/** Maximum number of calls without an answer at an entry that does not lead;
 * more are refused. */
#define MAX_PENDING_CALLS 2000

/** Timeout of a call that names none. */
#define CALL_TIMEOUT_MS 3000

/** Time before the timeout of a forwarded call at which this process answers
 * it, in case the leader's answer was lost. */
#define CALL_MARGIN_MS 60

/** Time for which calls that were sent to a leader wait for the next one. Those
 * that change a job wait until their timeout, as only the next leader can tell
 * their outcome. */
#define LEADER_WAIT_MS 1200

/** Time for which new calls wait for the successor that a leader has named. */
#define HANDOVER_WAIT_MS 1200

/** Time after which a hand-over counts as failed. */
#define HANDOVER_MAX_MS 3000

/** While a call has waited this long for the leader's answer, new ones are
 * refused, as most would reach their timeout with an unknown outcome. */
#define LEADER_BEHIND_MS 2000

/** HTTP status codes. */
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504

/** A call that no leader, of this or another process, has answered yet. */
struct pending_call {
	cell_reply_fn fn;
	void *ctx;
	/** Kept to be sent again to the next leader. */
	struct Rp__StepCall *call;
	/** Answered with STATUS_TIMEOUT at this time. */
	gint64 deadline_ms;
	/** Number of leaders to which it was sent. */
	guint sends;
	/** When it was sent to the connected leader; 0 if it was not. */
	gint64 sent_ms;
	/** Without a leader: when it is given up. */
	gint64 wait_until_ms;
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
	/** What it said that this process could lead with. */
	guint heartbeat_cpu_milli;
	/** When the oldest call without an answer was sent to the leader, as of
	 * the last tick; 0 for none. */
	gint64 oldest_sent_ms;
	/** Highest CPU limit of the entries besides the leader, from its
	 * heartbeat. */
	guint best_cpu_milli;
	/** Since when this process has had no leader to send calls to. */
	struct sch_outage outage;
	/** Whether the leader hands over, and when that became known. */
	enum cell_handover handover;
	gint64 handover_ms;
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

static gboolean changes_job(const struct Rp__StepCall *call)
{
	return call->verb == RP__STEP_VERB__STEP_VERB_SUBMIT ||
	       call->verb == RP__STEP_VERB__STEP_VERB_CANCEL;
}

static void free_pending(gpointer data)
{
	struct pending_call *pending = data;

	rp__step_call__free_unpacked(pending->call, NULL);
	g_free(pending);
}

/* Answers a call that no leader will answer. One that changes a job and was
 * sent may have taken effect, so it gets STATUS_BAD_GATEWAY instead of
 * STATUS_UNAVAILABLE. */
static void give_up(struct cell_entry *entry,
		    const struct pending_call *pending)
{
	gboolean unknown = pending->sends && changes_job(pending->call);

	reply_status(pending->fn, pending->ctx,
		     unknown ? STATUS_BAD_GATEWAY : STATUS_UNAVAILABLE,
		     sch_outage_retry_after_s(&entry->outage, net_now_ms()));
}

static GHashTable *pending_calls_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				     free_pending);
}

static void give_up_all(struct cell_entry *entry)
{
	GHashTable *calls = entry->pending_calls;
	GHashTableIter iter;
	gpointer value;

	entry->pending_calls = pending_calls_new();
	g_hash_table_iter_init(&iter, calls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		give_up(entry, value);
	g_hash_table_unref(calls);
}

/* Lets the calls that the lost leader has not answered wait for the next one.
 * Sending them again has no further effect: a job is known by its id. */
static void keep_calls(struct cell_entry *entry)
{
	gint64 now_ms = net_now_ms();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->pending_calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending_call *pending = value;

		if (!pending->sent_ms)
			continue;
		pending->sent_ms = 0;
		pending->wait_until_ms = changes_job(pending->call)
						 ? pending->deadline_ms
						 : now_ms + LEADER_WAIT_MS;
	}
}

/* Sets the timeout that is left of the call. */
static void set_timeout(struct pending_call *pending, gint64 now_ms)
{
	pending->call->timeout_ms =
		(guint32)MAX(pending->deadline_ms + CALL_MARGIN_MS - now_ms, 1);
}

/** Context of a call that this process's leader handles. */
struct local_call {
	struct cell_entry *entry;
	guint64 id;
};

static void apply_reply(struct cell_entry *entry,
			const struct Rp__StepReply *reply)
{
	struct Rp__StepReply copy = *reply;
	struct pending_call *pending;
	gpointer key = NULL;
	gpointer value = NULL;

	if (!g_hash_table_steal_extended(entry->pending_calls, &reply->call_id,
					 &key, &value))
		return;
	pending = value;
	/* An earlier leader may have accepted what this one refuses. */
	if (reply->status == STATUS_UNAVAILABLE && pending->sends > 1 &&
	    changes_job(pending->call))
		copy.status = STATUS_BAD_GATEWAY;
	pending->fn(pending->ctx, &copy);
	free_pending(pending);
	g_free(key);
}

/* Takes no notice of the replies of a leader that ends (leading is FALSE then):
 * the calls wait for the next one. */
static void on_local_reply(void *ctx, const struct Rp__StepReply *reply)
{
	g_autofree struct local_call *local = ctx;
	struct Rp__StepReply copy = *reply;

	copy.call_id = local->id;
	if (local->entry->leading)
		apply_reply(local->entry, &copy);
}

/* Sends the call to the leader, in this or another process. */
static void send_call(struct cell_entry *entry, guint64 id,
		      struct pending_call *pending)
{
	struct Rp__Frame frame = RP__FRAME__INIT;
	struct local_call *local;

	pending->sent_ms = net_now_ms();
	pending->sends++;
	pending->call->call_id = id;
	set_timeout(pending, pending->sent_ms);
	if (entry->leading) {
		local = g_new(struct local_call, 1);
		local->entry = entry;
		local->id = id;
		cell_lead_handle_call(entry->lead, pending->call,
				      on_local_reply, local);
		return;
	}
	frame.body_case = RP__FRAME__BODY_STEP_CALL;
	frame.step_call = pending->call;
	cell_leader_conn_send(&entry->leader_conn, &frame);
}

static gboolean has_leader(const struct cell_entry *entry)
{
	return entry->leading ? cell_lead_has_tables(entry->lead)
			      : entry->leader_conn.conn != NULL;
}

/* Sends the calls that wait for a leader, if there is one. */
static void send_waiting_calls(struct cell_entry *entry)
{
	g_autoptr(GArray) ids = g_array_new(FALSE, FALSE, sizeof(guint64));
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	guint i;

	if (!has_leader(entry))
		return;
	g_hash_table_iter_init(&iter, entry->pending_calls);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (!((const struct pending_call *)value)->sent_ms)
			g_array_append_vals(ids, key, 1);
	/* The reply to one call may come at once and cause others. */
	for (i = 0; i < ids->len; i++) {
		guint64 id = g_array_index(ids, guint64, i);
		struct pending_call *pending =
			g_hash_table_lookup(entry->pending_calls, &id);

		if (pending && !pending->sent_ms)
			send_call(entry, id, pending);
	}
}

/* Tells the store what decides how soon this process seeks to lead. */
static void update_candidacy(struct cell_entry *entry)
{
	struct cell_candidacy candidacy = {
		.own_cpu_milli = entry->options.cpu_milli,
		.best_cpu_milli = entry->best_cpu_milli,
		.handover = entry->handover,
	};

	cell_store_set_candidacy(entry->store, &candidacy);
}

static void set_handover(struct cell_entry *entry, enum cell_handover handover)
{
	entry->handover = handover;
	entry->handover_ms = net_now_ms();
	update_candidacy(entry);
}

static void on_leader_connected(void *ctx, guint64 fencing_token)
{
	struct cell_entry *entry = ctx;

	/* Another process was elected later, so this one does not lead. */
	if (entry->lead && fencing_token > entry->fencing_token)
		cell_store_step_down(entry->store);
	set_handover(entry, CELL_HANDOVER_NONE);
	send_waiting_calls(entry);
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

	keep_calls(entry);
	/* It gave up leadership in favour of this process. Its key remains if
	 * the store refuses the leader's calls. */
	if (entry->handover == CELL_HANDOVER_TO_THIS)
		cell_store_leader_ended(entry->store,
					entry->leader_conn.fencing_token);
	if (entry->leader_check || !entry->leader_conn.address)
		return;
	entry->leader_check_token = entry->leader_conn.fencing_token;
	entry->leader_check = cell_conn_dial(entry->options.base,
					     entry->leader_conn.address,
					     &leader_check_handler, entry);
}

static void apply_heartbeat(struct cell_entry *entry,
			    const struct Rp__NodeBeat *heartbeat)
{
	entry->best_cpu_milli = heartbeat->best_cpu_milli;
	update_candidacy(entry);
	if (!*heartbeat->successor || entry->handover != CELL_HANDOVER_NONE)
		return;
	g_message("the leader hands over to %s", heartbeat->successor);
	set_handover(entry, strcmp(heartbeat->successor, entry->name)
				    ? CELL_HANDOVER_TO_OTHER
				    : CELL_HANDOVER_TO_THIS);
}

static void on_frame(void *ctx, const struct Rp__Frame *frame)
{
	struct cell_entry *entry = ctx;

	if (frame->body_case == RP__FRAME__BODY_STEP_REPLY)
		apply_reply(entry, frame->step_reply);
	else if (frame->body_case == RP__FRAME__BODY_NODE_BEAT)
		apply_heartbeat(entry, frame->node_beat);
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
		.cpu_milli = entry->options.cpu_milli,
		.evacuation_ms = entry->options.evacuation_ms,
		.lost_zones = entry->options.lost_zones,
	};

	entry->fencing_token = fencing_token;
	entry->lead = cell_lead_new(&options);
}

static void on_records_loaded(void *ctx, guint64 fencing_token G_GNUC_UNUSED)
{
	struct cell_entry *entry = ctx;

	entry->leading = TRUE;
	set_handover(entry, CELL_HANDOVER_NONE);
}

static void on_deposed(void *ctx)
{
	struct cell_entry *entry = ctx;

	entry->leading = FALSE;
	keep_calls(entry);
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

static void on_evacuations(void *ctx)
{
	struct cell_entry *entry = ctx;

	cell_lead_set_evacuations(entry->lead);
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

static const char *next_job(void *ctx)
{
	struct cell_entry *entry = ctx;

	return cell_lead_next_job(entry->lead);
}

static void on_job_read(void *ctx, const char *id, GBytes *job,
			GBytes *progress)
{
	struct cell_entry *entry = ctx;

	cell_lead_job_read(entry->lead, id, job, progress, !entry->leading);
}

/* Sends a heartbeat to the leader, if due. */
static void send_heartbeat(struct cell_entry *entry, gint64 now_ms)
{
	struct cell_heartbeat heartbeat = {
		.fencing_token = entry->leader_conn.fencing_token,
	};

	if (!entry->draining && cell_store_is_reachable(entry->store))
		heartbeat.cpu_milli = entry->options.cpu_milli;
	/* A leader that hands over has to know at once who cannot lead. */
	if (now_ms < entry->heartbeat_ms + CELL_HEARTBEAT_MS &&
	    heartbeat.cpu_milli == entry->heartbeat_cpu_milli)
		return;
	entry->heartbeat_ms = now_ms;
	entry->heartbeat_cpu_milli = heartbeat.cpu_milli;
	if (entry->leader_conn.conn)
		cell_conn_send_heartbeat(entry->leader_conn.conn, &heartbeat);
}

/* Takes calls from the table that have waited long enough, as answering them
 * may add others. Notes when the oldest of the others was sent. */
static GPtrArray *take_expired(struct cell_entry *entry, gint64 now_ms)
{
	GPtrArray *expired = g_ptr_array_new_with_free_func(free_pending);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	entry->oldest_sent_ms = 0;
	g_hash_table_iter_init(&iter, entry->pending_calls);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct pending_call *pending = value;

		if (now_ms >= pending->deadline_ms ||
		    (!pending->sent_ms && now_ms >= pending->wait_until_ms)) {
			g_hash_table_iter_steal(&iter);
			g_free(key);
			g_ptr_array_add(expired, pending);
		} else if (pending->sent_ms &&
			   (!entry->oldest_sent_ms ||
			    pending->sent_ms < entry->oldest_sent_ms)) {
			entry->oldest_sent_ms = pending->sent_ms;
		}
	}
	return expired;
}

static void expire_calls(struct cell_entry *entry, gint64 now_ms)
{
	g_autoptr(GPtrArray) expired = take_expired(entry, now_ms);
	guint i;

	for (i = 0; i < expired->len; i++) {
		const struct pending_call *pending = expired->pdata[i];

		if (pending->sent_ms)
			reply_status(pending->fn, pending->ctx, STATUS_TIMEOUT,
				     0);
		else
			give_up(entry, pending);
	}
}

/* Notes whether a leader takes calls, and if not, whether the store responds.
 */
static void update_outage(struct cell_entry *entry, gint64 now_ms)
{
	gboolean responds = cell_store_is_reachable(entry->store);
	gint64 answer_ms = cell_store_last_answer_ms(entry->store);

	if (has_leader(entry)) {
		if (entry->outage.since_ms)
			g_message(
				"calls are taken again after %" G_GINT64_FORMAT
				" ms",
				now_ms - entry->outage.since_ms);
		sch_outage_end(&entry->outage, now_ms);
		return;
	}
	if (!entry->outage.since_ms)
		g_message("calls are refused: there is no leader; the store "
			  "last responded %" G_GINT64_FORMAT " ms ago",
			  now_ms - answer_ms);
	sch_outage_begin(&entry->outage, responds ? now_ms : answer_ms,
			 responds);
	if (responds)
		sch_outage_store_responds(&entry->outage, now_ms);
}

/* Hands over, if another entry should lead: names it on one tick, and gives up
 * leadership on a later one. */
static void hand_over_if_due(struct cell_entry *entry)
{
	gboolean named = entry->handover != CELL_HANDOVER_NONE;

	if (!cell_lead_hand_over(entry->lead))
		return;
	if (named)
		cell_store_hand_over(entry->store);
	else
		set_handover(entry, CELL_HANDOVER_TO_OTHER);
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
	if (entry->handover != CELL_HANDOVER_NONE && !entry->leading &&
	    now_ms >= entry->handover_ms + HANDOVER_MAX_MS)
		set_handover(entry, CELL_HANDOVER_NONE);
	cell_store_tick(entry->store, now_ms, leader_connected);
	if (entry->leading) {
		cell_lead_tick(entry->lead);
		send_waiting_calls(entry);
		hand_over_if_due(entry);
	}
	update_outage(entry, now_ms);
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
		.evacuations_prefix = options->evacuations_prefix,
		.watched_prefix = options->watched_prefix,
		.handler = {
			.on_elected = on_elected,
			.on_records_loaded = on_records_loaded,
			.on_deposed = on_deposed,
			.on_confirmed = on_confirmed,
			.on_committed = on_committed,
			.on_tables = on_tables,
			.on_evacuations = on_evacuations,
			.on_node = on_node,
			.on_record = on_record,
			.next_job = next_job,
			.on_job_read = on_job_read,
			.ctx = entry,
		},
	};

	entry->options = *options;
	if (!options->evacuations_prefix || !options->watched_prefix)
		entry->options.evacuation_ms = 0;
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
	sch_outage_init(&entry->outage, g_random_int());
	update_candidacy(entry);
	entry->pending_calls = pending_calls_new();
	/* Leaders of earlier versions send a reply by the entry's name and the
	 * call's id alone, so two processes of a VM must not use one id. */
	entry->next_call = ((guint64)g_random_int() << 32) + 1;
	entry->tick = event_new(options->base, -1, EV_PERSIST, on_tick, entry);
	event_add(entry->tick, &interval);
	return entry;
}

void cell_entry_free(struct cell_entry *entry)
{
	event_free(entry->tick);
	evconnlistener_free(entry->listener);
	entry->leading = FALSE;
	if (entry->lead)
		cell_lead_free(entry->lead);
	if (entry->leader_check)
		cell_conn_close(entry->leader_check);
	give_up_all(entry);
	cell_store_free(entry->store);
	cell_leader_conn_clear(&entry->leader_conn);
	cell_register_clear(&entry->reg);
	sch_outage_clear(&entry->outage);
	g_hash_table_unref(entry->pending_calls);
	g_free(entry->name);
	g_free(entry->listen);
	g_free(entry);
}

/* Keeps the call until a leader has answered it, and sends it to the connected
 * one, if any. */
static void forward(struct cell_entry *entry, const struct Rp__StepCall *call,
		    cell_reply_fn fn, void *ctx)
{
	struct pending_call *pending = g_new0(struct pending_call, 1);
	guint64 *id = g_new(guint64, 1);
	gint64 now_ms = net_now_ms();
	gint64 timeout_ms = call->timeout_ms ? call->timeout_ms
					     : CALL_TIMEOUT_MS;

	*id = entry->next_call++;
	pending->fn = fn;
	pending->ctx = ctx;
	pending->call = wire_message_dup(&call->base);
	pending->deadline_ms = now_ms + MAX(timeout_ms - CALL_MARGIN_MS, 1);
	pending->wait_until_ms = entry->handover_ms + HANDOVER_WAIT_MS;
	g_hash_table_insert(entry->pending_calls, id, pending);
	if (entry->leading || entry->leader_conn.conn)
		send_call(entry, *id, pending);
}

/* Decides whether a call is worth its wait: it is refused at once if no leader
 * is about to connect, or if the leader of another process is too far behind to
 * answer it in time. */
static gboolean may_forward(const struct cell_entry *entry)
{
	gint64 now_ms = net_now_ms();

	if (entry->leading)
		return TRUE;
	if (g_hash_table_size(entry->pending_calls) >= MAX_PENDING_CALLS)
		return FALSE;
	if (!entry->leader_conn.conn)
		return entry->handover != CELL_HANDOVER_NONE &&
		       now_ms < entry->handover_ms + HANDOVER_WAIT_MS;
	return !entry->oldest_sent_ms ||
	       now_ms < entry->oldest_sent_ms + LEADER_BEHIND_MS;
}

void cell_entry_call(struct cell_entry *entry, const struct Rp__StepCall *call,
		     cell_reply_fn fn, void *ctx)
{
	if (may_forward(entry))
		forward(entry, call, fn, ctx);
	else
		reply_status(
			fn, ctx, STATUS_UNAVAILABLE,
			sch_outage_retry_after_s(&entry->outage, net_now_ms()));
}

gboolean cell_entry_is_ready(const struct cell_entry *entry)
{
	if (entry->draining)
		return FALSE;
	return has_leader(entry);
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
	obs_gauge(metrics, "radishpier_no_leader_ms", NULL,
		  entry->outage.since_ms
			  ? (double)(net_now_ms() - entry->outage.since_ms)
			  : 0);
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
	obs_count_set(metrics, "radishpier_kv_probes_total", NULL,
		      calls->probes);
	obs_count_set(metrics, "radishpier_kv_failures_total", NULL,
		      calls->failures);
	cell_conn_update_metrics(metrics);
	if (entry->leading)
		cell_lead_update_metrics(entry->lead);
}
