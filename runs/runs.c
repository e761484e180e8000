#include "internal.h"

/* The reducer, the worker's incarnations and the reports to the leader. */

/** A report is sent at least so often, so that the leader sees the VM. */
#define REPORT_INTERVAL_MS 1000

/** The whole lists are sent at most so often. */
#define LISTS_INTERVAL_MS 500

struct runs *runs_new(void)
{
	struct runs *r = g_new0(struct runs, 1);

	r->next_call = 1;
	r->colo = colo_table_new();
	r->running = g_ptr_array_new();
	r->ended = g_ptr_array_new();
	r->answers = g_ptr_array_new();
	r->orders = g_ptr_array_new_with_free_func(runs_order_free);
	r->refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
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
	free_messages(r->answers);
	g_ptr_array_unref(r->orders);
	g_hash_table_unref(r->infos);
	g_hash_table_unref(r->refused);
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
	call->fencing_token = r->fence;
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

void runs_answer_add(struct runs *r, const char *task, guint32 attempt,
		     gboolean started, const char *reason)
{
	struct Rp__RunAnswer *answer = g_malloc(sizeof(*answer));

	rp__run_answer__init(answer);
	answer->run = wire_run_name_new(task, attempt);
	answer->started = started;
	wire_set_string(&answer->reason, reason);
	if (!started)
		g_hash_table_add(r->refused,
				 g_strdup_printf("%s#%u", task, attempt));
	g_ptr_array_add(r->answers, answer);
	r->report_due = TRUE;
}

/*
 * Starts that were sent may have reached the next incarnation, which then runs
 * them: they are undone there. Nothing else of an earlier incarnation holds.
 */
static void forget_incarnation(struct runs *r)
{
	guint i = 0;

	while (i < r->orders->len) {
		struct runs_order *order = r->orders->pdata[i];

		if (order->phase == RUNS_PHASE_START && !order->call_id &&
		    !order->uncertain) {
			g_ptr_array_remove_index(r->orders, i);
			continue;
		}
		order->phase = RUNS_PHASE_STOP;
		order->reason = "stopped";
		order->call_id = 0;
		order->next_ms = 0;
		i++;
	}
	clear_messages(r->running);
	clear_messages(r->ended);
	clear_messages(r->answers);
	g_hash_table_remove_all(r->infos);
	g_hash_table_remove_all(r->refused);
	r->lease_until_ms = 0;
	r->ended_through = 0;
	r->reported_end = 0;
	r->clock_ms = 0;
	r->clock_at_ms = r->now_ms;
	r->lease_sent_ms = 0;
	r->lists_valid = FALSE;
	r->hold_call = 0;
	r->holds_lost = 0;
	r->verified = FALSE;
	r->next_hold_ms = 0;
	r->orders_in_flight = 0;
	r->answered_ms = r->now_ms;
}

static void take_worker(struct runs *r, const struct Rp__WorkerInfo *worker)
{
	gboolean same = r->worker && r->worker->born_ms == worker->born_ms &&
			!strcmp(r->worker->worker_id, worker->worker_id);

	if (r->worker && !same && worker->born_ms < r->worker->born_ms)
		return;
	if (same && (r->worker->gone || worker->sequence < r->worker->sequence))
		return;
	if (!same) {
		g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "MESSAGE",
				 "worker %s of pool %s runs here",
				 worker->worker_id, worker->pool);
		forget_incarnation(r);
	}
	if (!same || worker->draining != r->worker->draining)
		r->report_due = TRUE;
	if (r->worker)
		rp__worker_info__free_unpacked(r->worker, NULL);
	r->worker = wire_message_dup(&worker->base);
}

static void worker_left(struct runs *r, const char *worker_id)
{
	if (!r->worker || strcmp(r->worker->worker_id, worker_id))
		return;
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "MESSAGE",
			 "worker %s has left", worker_id);
	r->worker->gone = TRUE;
	r->report_due = TRUE;
}

gboolean runs_accepts_leader(const struct runs *r, guint64 fence)
{
	return fence >= r->fence;
}

const struct Rp__WorkerInfo *runs_worker_info(const struct runs *r)
{
	return r->worker;
}

static void take_leader(struct runs *r, guint64 fence)
{
	/* A new leader orders again what it still wants. */
	g_ptr_array_set_size(r->orders, 0);
	r->orders_in_flight = 0;
	clear_messages(r->answers);
	clear_messages(r->ended);
	r->has_leader = TRUE;
	r->pairs_due = TRUE;
	r->fence = fence;
	r->reported_end = 0;
	r->lists_valid = FALSE;
	r->listed_ms = 0;
	/* A hold under way was sent under the earlier fence; without its
	 * answer, the worker may have begun another incarnation. */
	r->hold_call = 0;
	r->verified = FALSE;
	r->next_hold_ms = 0;
	r->report_due = TRUE;
}

static void take_orders(struct runs *r, const struct Rp__VmOrders *orders)
{
	size_t i;

	if (orders->fence != r->fence || !r->worker || r->worker->gone ||
	    strcmp(orders->worker_id, r->worker->worker_id) ||
	    orders->worker_born_ms != r->worker->born_ms)
		return;
	r->lease_until_ms = MAX(r->lease_until_ms, orders->lease_until_ms);
	r->ended_through = MAX(r->ended_through, orders->ended_through);
	for (i = 0; i < orders->n_pairs; i++)
		colo_set_coefficient(
			r->colo,
			colo_image_id(r->colo, orders->pairs[i]->serving),
			colo_image_id(r->colo, orders->pairs[i]->filling),
			orders->pairs[i]->slope);
	for (i = 0; i < orders->n_bases; i++) {
		struct runs_info *info =
			g_hash_table_lookup(r->infos, orders->bases[i]->task);

		if (info)
			info->serving.replica_baseline_ratio =
				orders->bases[i]->ratio;
	}
	runs_orders_take(r, orders);
}

/* Moves the messages to the report. */
static size_t take_messages(GPtrArray *messages, void ***list)
{
	size_t n = messages->len;

	*list = n ? g_memdup2(messages->pdata, n * sizeof(void *)) : NULL;
	g_ptr_array_set_size(messages, 0);
	return n;
}

/* The report being made, and the table that its pairs are from. */
struct pairs_ctx {
	const struct colo_table *colo;
	struct Rp__VmReport *body;
};

static void add_pair(void *ctx, guint serving, guint filling, double slope)
{
	struct pairs_ctx *to = ctx;
	struct Rp__ImagePair *pair = g_malloc(sizeof(*pair));

	rp__image_pair__init(pair);
	wire_set_string(&pair->serving, colo_image_name(to->colo, serving));
	wire_set_string(&pair->filling, colo_image_name(to->colo, filling));
	pair->slope = slope;
	to->body->pairs = g_renew(struct Rp__ImagePair *, to->body->pairs,
				  to->body->n_pairs + 1);
	to->body->pairs[to->body->n_pairs++] = pair;
}

static void report(struct runs *r)
{
	struct runs_effect effect = {
		.kind = RUNS_EFFECT_REPORT,
		.frame = wire_frame_new(RP__FRAME__BODY_VM_REPORT),
	};
	struct Rp__VmReport *body = effect.frame->vm_report;
	struct pairs_ctx pairs = { .colo = r->colo, .body = body };

	body->fence = r->fence;
	body->agent_up_ms = (guint32)MIN(r->now_ms - r->began_ms, G_MAXINT32);
	if (r->worker) {
		body->worker = wire_message_dup(&r->worker->base);
		body->clock_ms = r->clock_ms;
		body->clock_age_ms = (guint32)(r->now_ms - r->clock_at_ms);
		body->lease_until_ms = r->lease_sent_ms;
		body->silent_ms = (guint32)(r->now_ms - r->answered_ms);
		body->n_ended = take_messages(r->ended, (void ***)&body->ended);
		body->n_answers = take_messages(r->answers,
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
		r->listed_ms = r->now_ms;
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
		take_worker(r, ev->worker);
		break;
	case RUNS_EVENT_WORKER_DEREGISTERED:
		worker_left(r, ev->worker_id);
		break;
	case RUNS_EVENT_LEADER_CONNECTED:
		take_leader(r, ev->fencing_token);
		break;
	case RUNS_EVENT_LEADER_DISCONNECTED:
		r->has_leader = FALSE;
		break;
	case RUNS_EVENT_ORDERS:
		take_orders(r, ev->orders);
		break;
	case RUNS_EVENT_ANSWER:
		if (!runs_hold_answer(r, ev->answer) &&
		    !runs_orders_answer(r, ev->answer))
			runs_pace_answer(r, ev->answer);
		break;
	}
}

void runs_reduce(struct runs *r, const struct runs_event *ev, GArray *effects)
{
	r->effects = effects;
	r->now_ms = ev->now_ms;
	if (!r->began_ms)
		r->began_ms = ev->now_ms;
	dispatch(r, ev);
	if (r->fence && r->worker && !r->worker->gone) {
		runs_hold_send(r);
		runs_orders_send(r);
		runs_pace(r);
	}
	if (r->has_leader &&
	    (r->report_due ||
	     r->now_ms >= r->reported_ms + REPORT_INTERVAL_MS ||
	     (r->lists_due && r->lists_valid &&
	      r->now_ms >= r->listed_ms + LISTS_INTERVAL_MS)))
		report(r);
	r->effects = NULL;
}
