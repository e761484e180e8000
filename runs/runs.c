#include "internal.h"

/* The reducer, the worker's incarnations and the reports to the leader. */

/** Longest interval between reports; the leader takes a VM without them for
 * unresponsive. */
#define REPORT_INTERVAL_MS 1000

/** Shortest interval between reports of the complete run lists. */
#define LISTS_INTERVAL_MS 500

struct runs *runs_new(void)
{
	struct runs *r = g_new0(struct runs, 1);

	r->next_call = 1;
	r->colo = colo_table_new();
	r->running = g_ptr_array_new();
	r->ended = g_ptr_array_new();
	r->start_results = g_ptr_array_new();
	r->orders = g_ptr_array_new_with_free_func(runs_order_free);
	r->not_started = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       NULL);
	r->infos = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 runs_info_free);
	return r;
}

static void free_message(gpointer message)
{
	protobuf_c_message_free_unpacked(message, NULL);
}

static void clear_messages(GPtrArray *messages)
{
	g_ptr_array_foreach(messages, (GFunc)(void (*)(void))free_message,
			    NULL);
	g_ptr_array_set_size(messages, 0);
}

static void free_messages(GPtrArray *messages)
{
	clear_messages(messages);
	g_ptr_array_unref(messages);
}

void runs_free(struct runs *r)
{
	free_messages(r->running);
	free_messages(r->ended);
	free_messages(r->start_results);
	g_ptr_array_unref(r->orders);
	g_hash_table_unref(r->infos);
	g_hash_table_unref(r->not_started);
	colo_table_free(r->colo);
	if (r->worker)
		rp__worker_info__free_unpacked(r->worker, NULL);
	g_free(r);
}

struct runs_call *runs_call_new(struct runs *r, enum runs_call_kind kind,
				gint64 timeout_ms)
{
	struct runs_call *call = g_new0(struct runs_call, 1);

	call->id = r->next_call++;
	call->kind = kind;
	call->fencing_token = r->fencing_token;
	call->worker_id = g_strdup(r->worker->worker_id);
	call->timeout_ms = timeout_ms;
	call->lease_until_ms = r->lease_until_ms;
	return call;
}

void runs_call_free(struct runs_call *call)
{
	if (!call)
		return;
	if (call->payload)
		g_bytes_unref(call->payload);
	g_free(call->worker_id);
	g_free(call->task);
	g_free(call->checkpoint);
	g_free(call->ticket);
	g_free(call);
}

void runs_answer_clear(struct runs_answer *answer)
{
	size_t i;

	for (i = 0; i < answer->n_running; i++)
		rp__run_row__free_unpacked(answer->running[i], NULL);
	for (i = 0; i < answer->n_ended; i++)
		rp__run_end__free_unpacked(answer->ended[i], NULL);
	g_free(answer->running);
	g_free(answer->ended);
}

void runs_call_send(struct runs *r, struct runs_call *call)
{
	struct runs_effect effect = { .kind = RUNS_EFFECT_CALL, .call = call };

	if (call->kind == RUNS_CALL_RENEW_LEASE ||
	    call->kind == RUNS_CALL_START)
		r->lease_sent_ms = MAX(r->lease_sent_ms, call->lease_until_ms);
	g_array_append_val(r->effects, effect);
}

void runs_effect_clear(struct runs_effect *effect)
{
	runs_call_free(effect->call);
	wire_frame_free(effect->frame);
}

void runs_start_result_add(struct runs *r, const char *task, guint32 attempt,
			   gboolean started, const char *reason)
{
	struct Rp__RunAnswer *answer = g_malloc(sizeof(*answer));

	rp__run_answer__init(answer);
	answer->run = wire_run_name_new(task, attempt);
	answer->started = started;
	wire_set_string(&answer->reason, reason);
	if (!started)
		g_hash_table_add(r->not_started,
				 g_strdup_printf("%s#%u", task, attempt));
	g_ptr_array_add(r->start_results, answer);
	r->report_due = TRUE;
}

/*
 * Resets the state for a new incarnation. Starts that were sent may have
 * reached it, so they become orders to stop the run; these and earlier stops
 * are sent to it. Other starts are dropped.
 */
static void reset_incarnation(struct runs *r)
{
	guint i = 0;

	while (i < r->orders->len) {
		struct runs_order *order = r->orders->pdata[i];

		if (order->state == RUNS_ORDER_START && !order->call_id &&
		    !order->start_unanswered) {
			g_ptr_array_remove_index(r->orders, i);
			continue;
		}
		order->state = RUNS_ORDER_STOP;
		order->reason = "stopped";
		order->call_id = 0;
		order->next_ms = 0;
		i++;
	}
	clear_messages(r->running);
	clear_messages(r->ended);
	clear_messages(r->start_results);
	g_hash_table_remove_all(r->infos);
	g_hash_table_remove_all(r->not_started);
	r->lease_until_ms = 0;
	runs_permission_reset_clock(r);
	r->acked_through = 0;
	r->last_end_queued = 0;
	r->clock_ms = 0;
	r->clock_read_ms = r->now_ms;
	r->lease_sent_ms = 0;
	r->lists_valid = FALSE;
	r->renewal_call = 0;
	r->failed_renewals = 0;
	r->incarnation_verified = FALSE;
	r->next_renewal_ms = 0;
	r->orders_in_flight = 0;
	r->answered_ms = r->now_ms;
}

static void apply_worker_info(struct runs *r,
			      const struct Rp__WorkerInfo *worker)
{
	gboolean same = r->worker && r->worker->born_ms == worker->born_ms &&
			!strcmp(r->worker->worker_id, worker->worker_id);

	if (r->worker && !same && worker->born_ms < r->worker->born_ms)
		return;
	if (same &&
	    (r->worker->gone || worker->sequence < r->worker->sequence ||
	     (r->deregistered && worker->sequence == r->worker->sequence)))
		return;
	if (!same) {
		g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "MESSAGE",
				 "new incarnation of worker %s of pool %s",
				 worker->worker_id, worker->pool);
		reset_incarnation(r);
	}
	if (!same || worker->draining != r->worker->draining)
		r->report_due = TRUE;
	if (r->worker)
		rp__worker_info__free_unpacked(r->worker, NULL);
	r->worker = wire_message_dup(&worker->base);
	r->deregistered = FALSE;
}

static void worker_deregistered(struct runs *r, const char *worker_id,
				guint64 started_ms)
{
	if (!r->worker || strcmp(r->worker->worker_id, worker_id) ||
	    (started_ms && started_ms != r->worker->born_ms))
		return;
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "MESSAGE",
			 "worker %s deregistered", worker_id);
	/* Until its process has ended, or until it reports again: the call may
	 * be a late one of an earlier incarnation. */
	r->deregistered = TRUE;
	r->worker->draining = TRUE;
	r->report_due = TRUE;
}

gboolean runs_accepts_leader(const struct runs *r, guint64 fencing_token)
{
	return fencing_token >= r->fencing_token;
}

const struct Rp__WorkerInfo *runs_worker_info(const struct runs *r)
{
	return r->worker;
}

static void log_dropped_orders(const struct runs *r, guint64 fencing_token)
{
	guint unanswered = 0;
	guint i;

	for (i = 0; i < r->orders->len; i++) {
		const struct runs_order *order = r->orders->pdata[i];

		if (order->start_unanswered ||
		    (order->call_id && !order->call_is_stop))
			unanswered++;
	}
	if (r->orders->len)
		g_message("fencing token %" G_GUINT64_FORMAT
			  " follows %" G_GUINT64_FORMAT
			  ": %u orders dropped, %u of them starts without an "
			  "answer",
			  fencing_token, r->fencing_token, r->orders->len,
			  unanswered);
}

static void leader_connected(struct runs *r, guint64 fencing_token)
{
	log_dropped_orders(r, fencing_token);
	/* A new leader repeats the orders that still apply. */
	g_ptr_array_set_size(r->orders, 0);
	r->orders_in_flight = 0;
	clear_messages(r->start_results);
	clear_messages(r->ended);
	r->leader_connected = TRUE;
	r->pairs_due = TRUE;
	r->fencing_token = fencing_token;
	runs_permission_reset(r);
	/* Reports tell the leader only of leases that were sent. */
	r->lease_until_ms = r->lease_sent_ms;
	r->last_end_queued = 0;
	r->lists_valid = FALSE;
	r->lists_reported_ms = 0;
	/* A lease renewal in flight has the earlier fencing token, and without
	 * its answer the worker's incarnation is not verified. */
	r->renewal_call = 0;
	r->incarnation_verified = FALSE;
	r->next_renewal_ms = 0;
	r->report_due = TRUE;
}

static void apply_orders(struct runs *r, const struct Rp__VmOrders *orders)
{
	size_t i;

	if (orders->fence != r->fencing_token || !r->worker ||
	    r->worker->gone ||
	    strcmp(orders->worker_id, r->worker->worker_id) ||
	    orders->worker_born_ms != r->worker->born_ms)
		return;
	r->lease_until_ms = MAX(r->lease_until_ms, orders->lease_until_ms);
	runs_permission_apply(r, orders);
	r->acked_through = MAX(r->acked_through, orders->ended_through);
	for (i = 0; i < orders->n_pairs; i++)
		colo_set_coefficient(
			r->colo,
			colo_image_id(r->colo, orders->pairs[i]->serving),
			colo_image_id(r->colo, orders->pairs[i]->filling),
			orders->pairs[i]->slope);
	/* Baseline latencies derived from the replicas of the same step. */
	for (i = 0; i < orders->n_bases; i++) {
		struct runs_info *info =
			g_hash_table_lookup(r->infos, orders->bases[i]->task);

		if (info)
			info->latency_state.replica_baseline_ratio =
				orders->bases[i]->ratio;
	}
	runs_orders_apply(r, orders);
}

/* Moves the messages to *list, a new array; returns their number. */
static size_t move_messages(GPtrArray *messages, void ***list)
{
	size_t n = messages->len;

	*list = n ? g_memdup2(messages->pdata, n * sizeof(void *)) : NULL;
	g_ptr_array_set_size(messages, 0);
	return n;
}

/* Context of add_pair(). */
struct pairs_ctx {
	const struct colo_table *colo;
	struct Rp__VmReport *body;
};

/* Adds the coefficient (field slope) of an image pair to the report. */
static void add_pair(void *ctx, guint latency_sensitive_image,
		     guint best_effort_image, double coefficient)
{
	struct pairs_ctx *to = ctx;
	struct Rp__ImagePair *pair = g_malloc(sizeof(*pair));

	rp__image_pair__init(pair);
	wire_set_string(&pair->serving,
			colo_image_name(to->colo, latency_sensitive_image));
	wire_set_string(&pair->filling,
			colo_image_name(to->colo, best_effort_image));
	pair->slope = coefficient;
	to->body->pairs = g_renew(struct Rp__ImagePair *, to->body->pairs,
				  to->body->n_pairs + 1);
	to->body->pairs[to->body->n_pairs++] = pair;
}

static void send_report(struct runs *r)
{
	struct runs_effect effect = {
		.kind = RUNS_EFFECT_REPORT,
		.frame = wire_frame_new(RP__FRAME__BODY_VM_REPORT),
	};
	struct Rp__VmReport *body = effect.frame->vm_report;
	struct pairs_ctx pairs = { .colo = r->colo, .body = body };

	body->fence = r->fencing_token;
	body->agent_up_ms = (guint32)MIN(r->now_ms - r->started_ms, G_MAXINT32);
	if (r->worker) {
		body->worker = wire_message_dup(&r->worker->base);
		body->clock_ms = r->clock_ms;
		body->clock_age_ms = (guint32)(r->now_ms - r->clock_read_ms);
		body->lease_until_ms = r->lease_sent_ms;
		/* Time since the worker last answered a call. */
		body->silent_ms = (guint32)(r->now_ms - r->answered_ms);
		body->n_ended = move_messages(r->ended, (void ***)&body->ended);
		body->n_answers = move_messages(r->start_results,
						(void ***)&body->answers);
	}
	if (r->pairs_due)
		colo_foreach_pair(r->colo, add_pair, &pairs);
	r->pairs_due = FALSE;
	if (r->lists_due && r->lists_valid) {
		size_t i;

		body->listed = TRUE;
		body->n_running = r->running->len;
		body->running = g_new0(struct Rp__RunRow *, r->running->len);
		for (i = 0; i < r->running->len; i++)
			body->running[i] =
				wire_message_dup(r->running->pdata[i]);
		r->lists_reported_ms = r->now_ms;
		r->lists_due = FALSE;
	}
	r->report_due = FALSE;
	r->reported_ms = r->now_ms;
	g_array_append_val(r->effects, effect);
}

static void dispatch(struct runs *r, const struct runs_event *ev)
{
	switch (ev->kind) {
	case RUNS_EVENT_TICK:
		break;
	case RUNS_EVENT_WORKER_INFO:
		apply_worker_info(r, ev->worker);
		break;
	case RUNS_EVENT_WORKER_DEREGISTERED:
		worker_deregistered(r, ev->worker_id, ev->worker_started_ms);
		break;
	case RUNS_EVENT_LEADER_CONNECTED:
		leader_connected(r, ev->fencing_token);
		break;
	case RUNS_EVENT_LEADER_DISCONNECTED:
		r->leader_connected = FALSE;
		break;
	case RUNS_EVENT_ORDERS:
		apply_orders(r, ev->orders);
		break;
	case RUNS_EVENT_ANSWER:
		if (!runs_renewal_handle_answer(r, ev->answer) &&
		    !runs_orders_handle_answer(r, ev->answer))
			runs_cpu_share_handle_answer(r, ev->answer);
		break;
	}
}

void runs_reduce(struct runs *r, const struct runs_event *ev, GArray *effects)
{
	r->effects = effects;
	r->now_ms = ev->now_ms;
	if (!r->started_ms)
		r->started_ms = ev->now_ms;
	dispatch(r, ev);
	if (r->fencing_token && r->worker && !r->worker->gone) {
		runs_renewal_send(r);
		runs_orders_send(r);
		runs_cpu_share_update(r);
	}
	if (r->leader_connected &&
	    (r->report_due ||
	     r->now_ms >= r->reported_ms + REPORT_INTERVAL_MS ||
	     (r->lists_due && r->lists_valid &&
	      r->now_ms >= r->lists_reported_ms + LISTS_INTERVAL_MS)))
		send_report(r);
	r->effects = NULL;
}
