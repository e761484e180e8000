#include "internal.h"

/*
 * Lease renewal. The call is a long poll of which one is always in flight, so
 * that ends of runs are seen at once and the lease is extended as the leader
 * grants it.
 */

/** Longest wait of a renewal for the end of a run, which also bounds the age of
 * the measurements. */
#define RENEWAL_WAIT_MS 500

/** Time that a renewal may take beyond its wait. */
#define RENEWAL_MARGIN_MS 600

/** Time that a renewal may take after a failed one. It does not wait for ends,
 * so that many attempts fit into the rest of the lease. */
#define RENEWAL_REPEAT_TIMEOUT_MS 350

/** One repeat in this number may take RENEWAL_MARGIN_MS, for slow workers. */
#define LONG_REPEAT_INTERVAL 3

/** Delay after a renewal that was answered at once without a new end. */
#define RENEWAL_PAUSE_MS 100

/** Maximum number of ends in the lists; if there are as many, the lists may be
 * incomplete. */
#define MAX_LISTED_ENDS 500

/** Delay after a failed renewal. */
#define RENEWAL_RETRY_MS 100

/**
 * Longest time from a renewal to the orders that rely on its answer, also if
 * this process was paused meanwhile. SCH_MAX_ORDER_DELAY_MS has the same bound.
 */
#define VERIFIED_MAX_AGE_MS 1500

gboolean runs_incarnation_is_verified(const struct runs *r)
{
	return r->incarnation_verified &&
	       r->now_ms < r->verified_ms + VERIFIED_MAX_AGE_MS;
}

void runs_renewal_send(struct runs *r)
{
	gint64 timeout_ms = RENEWAL_WAIT_MS + RENEWAL_MARGIN_MS;
	struct runs_call *call;

	if (r->renewal_call || r->now_ms < r->next_renewal_ms)
		return;
	if (r->failed_renewals)
		timeout_ms = r->failed_renewals % LONG_REPEAT_INTERVAL
				     ? RENEWAL_REPEAT_TIMEOUT_MS
				     : RENEWAL_MARGIN_MS;
	call = runs_call_new(r, RUNS_CALL_RENEW_LEASE, timeout_ms);
	call->acked_through = r->acked_through;
	/*
	 * Another incarnation may answer, to which the lease and the
	 * acknowledged ends of this one don't apply.
	 */
	if (!runs_incarnation_is_verified(r)) {
		call->lease_until_ms = 0;
		call->acked_through = 0;
	}
	/* The first run lists under a fencing token are needed at once. */
	call->wait_ms = r->lists_valid && !r->failed_renewals ? RENEWAL_WAIT_MS
							      : 0;
	r->renewal_call = call->id;
	r->renewal_sent_ms = r->now_ms;
	runs_call_send(r, call);
}

/* Logs when the worker stops answering lease renewals, and when it answers
 * again. */
static void log_renewal(const struct runs *r, const struct runs_answer *answer)
{
	gint64 unanswered_ms = r->now_ms - r->answered_ms;

	if (answer->outcome == RUNS_OK && r->failed_renewals)
		g_message("worker %s answers lease renewals again after %u "
			  "failures: clock %" G_GINT64_FORMAT
			  ", lease sent until %" G_GINT64_FORMAT
			  ", %u orders wait",
			  r->worker->worker_id, r->failed_renewals,
			  answer->clock_ms, r->lease_sent_ms, r->orders->len);
	else if (answer->outcome != RUNS_OK && !r->failed_renewals)
		g_message("lease renewal of worker %s failed: outcome %d %s, "
			  "last answer %" G_GINT64_FORMAT " ms ago, "
			  "%u orders wait",
			  r->worker->worker_id, answer->outcome,
			  answer->reason ? answer->reason : "", unanswered_ms,
			  r->orders->len);
}

static void replace_running(struct runs *r, const struct runs_answer *answer)
{
	size_t i;

	for (i = 0; i < r->running->len; i++)
		protobuf_c_message_free_unpacked(r->running->pdata[i], NULL);
	g_ptr_array_set_size(r->running, 0);
	for (i = 0; i < answer->n_running; i++)
		g_ptr_array_add(r->running,
				wire_message_dup(&answer->running[i]->base));
	r->lists_due = TRUE;
	r->measurements_due = TRUE;
}

/* Queues the ends not yet reported to the leader; TRUE if there are any. */
static gboolean queue_new_ends(struct runs *r, const struct runs_answer *answer)
{
	gboolean new_ends = FALSE;
	size_t i;

	for (i = 0; i < answer->n_ended; i++) {
		if (answer->ended[i]->number <= r->last_end_queued)
			continue;
		r->last_end_queued = answer->ended[i]->number;
		g_ptr_array_add(r->ended,
				wire_message_dup(&answer->ended[i]->base));
		g_hash_table_remove(r->infos, answer->ended[i]->run->task);
		new_ends = TRUE;
	}
	return new_ends;
}

static void apply_lists(struct runs *r, const struct runs_answer *answer)
{
	gboolean quick = r->now_ms < r->renewal_sent_ms + RENEWAL_PAUSE_MS;
	gboolean new_ends;

	new_ends = queue_new_ends(r, answer);
	if (answer->n_ended >= MAX_LISTED_ENDS) {
		/* The rest follows as the leader acknowledges these. */
		r->report_due = r->report_due || new_ends;
		r->next_renewal_ms = r->now_ms + RENEWAL_PAUSE_MS;
		return;
	}
	r->lists_call = answer->call_id;
	runs_orders_check_lists(r, answer, answer->call_id);
	replace_running(r, answer);
	if (new_ends || !r->lists_valid)
		r->report_due = TRUE;
	r->lists_valid = TRUE;
	if (quick && !new_ends)
		r->next_renewal_ms = r->now_ms + RENEWAL_PAUSE_MS;
}

gboolean runs_renewal_handle_answer(struct runs *r,
				    const struct runs_answer *answer)
{
	if (answer->call_id != r->renewal_call)
		return FALSE;
	r->renewal_call = 0;
	log_renewal(r, answer);
	if (answer->outcome == RUNS_NO_PROCESS && r->deregistered) {
		g_message("worker %s has ended", r->worker->worker_id);
		r->worker->gone = TRUE;
		r->report_due = TRUE;
	}
	if (answer->outcome != RUNS_OK) {
		r->failed_renewals++;
		r->incarnation_verified = FALSE;
		r->next_renewal_ms = r->now_ms + RENEWAL_RETRY_MS;
		return TRUE;
	}
	r->failed_renewals = 0;
	/*
	 * Another incarnation has answered; the worker's next heartbeat will
	 * describe it.
	 */
	if (answer->worker_started_ms && r->worker->born_ms &&
	    answer->worker_started_ms != r->worker->born_ms) {
		r->incarnation_verified = FALSE;
		r->next_renewal_ms = r->now_ms + RENEWAL_RETRY_MS;
		return TRUE;
	}
	r->incarnation_verified = TRUE;
	r->verified_ms = r->renewal_sent_ms;
	r->answered_ms = r->now_ms;
	runs_permission_read_clock(r, answer->clock_ms, r->renewal_sent_ms);
	if (answer->clock_ms > r->clock_ms) {
		r->clock_ms = answer->clock_ms;
		r->clock_read_ms = r->now_ms;
	}
	apply_lists(r, answer);
	return TRUE;
}
