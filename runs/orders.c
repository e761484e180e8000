#include "internal.h"

/*
 * Orders to start and stop runs. A call without answer may take effect seconds
 * later, so an order is kept until its outcome is known:
 * - the worker accepted the start or lists the run as running;
 * - the worker refused the start, and no earlier start call is unanswered;
 * - the worker accepted a stop, after which it refuses to start the run, and
 * run lists read later do not show the run as running.
 */

/** Maximum number of start and stop calls in flight. */
#define MAX_IN_FLIGHT 2

#define START_TIMEOUT_MS 350
#define STOP_TIMEOUT_MS 350

/** Start calls without answer after which the run is stopped instead. */
#define MAX_UNANSWERED_STARTS 3

/** A start that is sent this long after its order is logged. */
#define DELAYED_START_MS 1000

/** Delay before a failed stop is sent again. */
#define STOP_RETRY_MS 150

void runs_order_free(gpointer data)
{
	struct runs_order *order = data;

	if (order->payload)
		g_bytes_unref(order->payload);
	g_free(order->task);
	g_free(order->checkpoint);
	g_free(order->ticket);
	g_free(order);
}

static struct runs_order *find_order(struct runs *r, const char *task,
				     guint32 attempt)
{
	guint i;

	for (i = 0; i < r->orders->len; i++) {
		struct runs_order *order = r->orders->pdata[i];

		if (order->attempt == attempt && !strcmp(order->task, task))
			return order;
	}
	return NULL;
}

static gboolean is_running(const struct runs *r, const char *task,
			   guint32 attempt)
{
	guint i;

	for (i = 0; i < r->running->len; i++) {
		const struct Rp__RunRow *row = r->running->pdata[i];

		if (row->run->attempt == attempt &&
		    !strcmp(row->run->task, task))
			return TRUE;
	}
	return FALSE;
}

static struct runs_order *add_order(struct runs *r,
				    const struct Rp__RunName *run,
				    enum runs_order_state state)
{
	struct runs_order *order = g_new0(struct runs_order, 1);

	order->task = g_strdup(run->task);
	order->attempt = run->attempt;
	order->state = state;
	order->ordered_ms = r->now_ms;
	g_ptr_array_add(r->orders, order);
	return order;
}

static void update_info(struct runs *r, const struct Rp__RunStart *start)
{
	struct runs_info *info = g_hash_table_lookup(r->infos,
						     start->run->task);

	if (!info) {
		info = g_new0(struct runs_info, 1);
		info->sent_percent = 100;
		info->cpu_share = 1;
		info->model_confidence = 1;
		g_hash_table_insert(r->infos, g_strdup(start->run->task), info);
	}
	if (info->attempt != start->run->attempt) {
		info->sent_percent = 100;
		info->cpu_share = 1;
	}
	info->image = colo_image_id(r->colo, start->image);
	info->cpus = (double)start->cpu_milli / 1000;
	info->attempt = start->run->attempt;
	info->target_ms = start->target_ms;
	info->best_effort = start->fills;
}

static void apply_start(struct runs *r, const struct Rp__RunStart *start)
{
	g_autofree char *key = NULL;
	struct runs_order *order;

	if (!start->run || find_order(r, start->run->task, start->run->attempt))
		return;
	key = g_strdup_printf("%s#%u", start->run->task, start->run->attempt);
	if (g_hash_table_contains(r->not_started, key)) {
		runs_start_result_add(r, start->run->task, start->run->attempt,
				      FALSE, "stopped");
		return;
	}
	update_info(r, start);
	if (is_running(r, start->run->task, start->run->attempt)) {
		runs_start_result_add(r, start->run->task, start->run->attempt,
				      TRUE, NULL);
		return;
	}
	if (r->worker->draining || r->permission.evacuated) {
		/* An earlier agent process may have sent this start; a stop
		 * ensures that the run never starts. */
		order = add_order(r, start->run, RUNS_ORDER_STOP);
		order->reason = r->worker->draining ? "draining" : "evacuated";
		return;
	}
	order = add_order(r, start->run, RUNS_ORDER_START);
	order->payload = g_bytes_new(start->payload.data, start->payload.len);
	order->checkpoint = g_strdup(start->checkpoint);
	order->ticket = g_strdup(start->ticket);
}

static void apply_stop(struct runs *r, const struct Rp__RunName *run)
{
	struct runs_order *order = find_order(r, run->task, run->attempt);

	if (!order) {
		add_order(r, run, RUNS_ORDER_STOP)->reason = "stopped";
		return;
	}
	if (order->state != RUNS_ORDER_START)
		return;
	order->state = RUNS_ORDER_STOP;
	order->reason = "stopped";
	order->next_ms = 0;
}

void runs_orders_apply(struct runs *r, const struct Rp__VmOrders *orders)
{
	size_t i;

	for (i = 0; i < orders->n_starts; i++)
		apply_start(r, orders->starts[i]);
	for (i = 0; i < orders->n_stops; i++)
		apply_stop(r, orders->stops[i]);
}

/* Logs a start that waited long in the queue, when it is first sent. */
static void log_delayed_start(const struct runs *r,
			      const struct runs_order *order)
{
	gint64 waited_ms = r->now_ms - order->ordered_ms;
	g_autofree char *job_id = wire_task_job_id(order->task);

	if (order->start_unanswered || waited_ms < DELAYED_START_MS)
		return;
	g_log_structured(
		G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID", job_id, "MESSAGE",
		"start of %s, attempt %u, is sent %" G_GINT64_FORMAT
		" ms after its order, lease until %" G_GINT64_FORMAT,
		order->task, order->attempt, waited_ms, r->lease_until_ms);
}

static void send_order(struct runs *r, struct runs_order *order)
{
	gboolean start = order->state == RUNS_ORDER_START;
	struct runs_call *call =
		runs_call_new(r, start ? RUNS_CALL_START : RUNS_CALL_STOP,
			      start ? START_TIMEOUT_MS : STOP_TIMEOUT_MS);

	call->task = g_strdup(order->task);
	call->attempt = order->attempt;
	if (start) {
		log_delayed_start(r, order);
		call->payload = g_bytes_ref(order->payload);
		call->checkpoint = g_strdup(order->checkpoint);
		call->ticket = g_strdup(order->ticket);
	}
	order->call_id = call->id;
	order->call_is_stop = !start;
	r->orders_in_flight++;
	runs_call_send(r, call);
}

/* Turns a start into a stop of the same run. */
static void undo_start(struct runs_order *order, const char *reason)
{
	order->state = RUNS_ORDER_STOP;
	order->reason = reason;
	order->unanswered_starts = 0;
	order->next_ms = 0;
}

/* Withdraws a start if the VM's zone is evacuated. One without an answer may
 * have taken effect, and what runs may continue, so run lists that were read
 * later have to show first that it does not. */
static void withdraw_if_evacuated(const struct runs *r,
				  struct runs_order *order)
{
	if (!r->permission.evacuated || order->state != RUNS_ORDER_START ||
	    (order->start_unanswered &&
	     (!r->lists_valid || r->lists_call < order->min_renewal_id)))
		return;
	undo_start(order, "evacuated");
}

void runs_orders_send(struct runs *r)
{
	guint i;

	for (i = 0; i < r->orders->len && r->orders_in_flight < MAX_IN_FLIGHT;
	     i++) {
		struct runs_order *order = r->orders->pdata[i];

		if (order->call_id || order->state == RUNS_ORDER_CHECK_LISTS ||
		    r->now_ms < order->next_ms)
			continue;
		withdraw_if_evacuated(r, order);
		/*
		 * Without a lease the worker would end the run at once, and a
		 * worker that does not answer may have been replaced.
		 */
		if (order->state == RUNS_ORDER_START &&
		    (!r->lease_until_ms || !runs_incarnation_is_verified(r)))
			continue;
		if (order->state == RUNS_ORDER_START && r->worker->draining) {
			order->state = RUNS_ORDER_STOP;
			order->reason = "draining";
		}
		if (order->state == RUNS_ORDER_START &&
		    !runs_permission_allows_start(r))
			continue;
		send_order(r, order);
	}
}

/* The order keeps the reason after the answer is freed. */
static const char *intern_reason(const char *reason)
{
	return reason ? g_intern_string(reason) : "refused";
}

static void log_unanswered_start(const struct runs_order *order)
{
	g_autofree char *job_id = wire_task_job_id(order->task);

	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID", job_id,
			 "MESSAGE",
			 "start of %s, attempt %u, is not answered, "
			 "%u in a row",
			 order->task, order->attempt, order->unanswered_starts);
}

static void handle_start_answer(struct runs *r, struct runs_order *order,
				const struct runs_answer *answer)
{
	const char *reason = answer->outcome == RUNS_UNAVAILABLE ? "busy"
			     : answer->outcome == RUNS_WRONG_WORKER
				     ? "other worker"
				     : intern_reason(answer->reason);

	if (answer->outcome == RUNS_NO_ANSWER) {
		order->start_unanswered = TRUE;
		order->min_renewal_id = r->next_call;
		order->unanswered_starts++;
		log_unanswered_start(order);
		if (order->unanswered_starts >= MAX_UNANSWERED_STARTS)
			undo_start(order, "unanswered");
		return;
	}
	/* An earlier start call may still take effect, unless the worker
	 * refuses the run as "old" (see struct runs_answer). */
	if (answer->outcome != RUNS_OK && order->start_unanswered &&
	    strcmp(reason, "old")) {
		undo_start(order, reason);
		return;
	}
	if (answer->outcome == RUNS_OK)
		runs_cpu_share_run_started(r, order->task, order->attempt);
	runs_start_result_add(r, order->task, order->attempt,
			      answer->outcome == RUNS_OK, reason);
	g_ptr_array_remove(r->orders, order);
}

static void handle_stop_answer(struct runs *r, struct runs_order *order,
			       const struct runs_answer *answer)
{
	if (answer->outcome == RUNS_OK) {
		order->state = RUNS_ORDER_CHECK_LISTS;
		order->min_renewal_id = r->next_call;
		return;
	}
	order->next_ms = r->now_ms + STOP_RETRY_MS;
}

gboolean runs_orders_handle_answer(struct runs *r,
				   const struct runs_answer *answer)
{
	guint i;

	for (i = 0; i < r->orders->len; i++) {
		struct runs_order *order = r->orders->pdata[i];

		if (order->call_id != answer->call_id)
			continue;
		order->call_id = 0;
		r->orders_in_flight--;
		if (answer->outcome == RUNS_OK)
			r->answered_ms = r->now_ms;
		/* If a stop was ordered while the start was in flight, the
		 * answer to the start is ignored and the stop is sent. */
		if (order->state == RUNS_ORDER_START)
			handle_start_answer(r, order, answer);
		else if (order->call_is_stop)
			handle_stop_answer(r, order, answer);
		return TRUE;
	}
	return FALSE;
}

/* TRUE if the run is listed as running; sets *ended if it is listed as ended.
 */
static gboolean is_listed_running(const struct runs_answer *answer,
				  const struct runs_order *order,
				  gboolean *ended)
{
	size_t i;

	*ended = FALSE;
	for (i = 0; i < answer->n_running; i++)
		if (answer->running[i]->run->attempt == order->attempt &&
		    !strcmp(answer->running[i]->run->task, order->task))
			return TRUE;
	for (i = 0; i < answer->n_ended; i++)
		if (answer->ended[i]->run->attempt == order->attempt &&
		    !strcmp(answer->ended[i]->run->task, order->task))
			*ended = TRUE;
	return FALSE;
}

void runs_orders_check_lists(struct runs *r, const struct runs_answer *answer,
			     guint64 renewal_call)
{
	guint i = 0;

	while (i < r->orders->len) {
		struct runs_order *order = r->orders->pdata[i];
		gboolean ended;
		gboolean running = is_listed_running(answer, order, &ended);

		if (order->state == RUNS_ORDER_START && running &&
		    !order->call_id) {
			runs_start_result_add(r, order->task, order->attempt,
					      TRUE, NULL);
			g_ptr_array_remove_index(r->orders, i);
			continue;
		}
		if (order->state != RUNS_ORDER_CHECK_LISTS || running ||
		    renewal_call < order->min_renewal_id) {
			i++;
			continue;
		}
		/* A listed end is reported as an end record instead. */
		if (!ended)
			runs_start_result_add(r, order->task, order->attempt,
					      FALSE, order->reason);
		g_ptr_array_remove_index(r->orders, i);
	}
}
