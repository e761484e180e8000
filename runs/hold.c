#include "internal.h"

/*
 * The hold: one call is always under way, so that ends are seen as they come
 * and the lease is extended as the leader grants it.
 */

/** A hold waits so long for an end; figures are as old as that at most. */
#define HOLD_WAIT_MS 500

/** What a hold may take beyond its wait. */
#define HOLD_TIMEOUT_MS 600

/** Between holds that are answered at once without news. */
#define HOLD_PAUSE_MS 100

/** After a hold without answer. */
#define HOLD_RETRY_MS 100

void runs_hold_send(struct runs *r)
{
	struct runs_call *call;

	if (r->hold_call || r->now_ms < r->next_hold_ms)
		return;
	call = runs_call_new(r, RUNS_CALL_RENEW_LEASE,
			     HOLD_WAIT_MS + HOLD_TIMEOUT_MS);
	call->acked_through = r->ended_through;
	/* Another incarnation may answer: lease and ends of this one are not
	 * for it.
	 */
	if (!r->verified) {
		call->lease_until_ms = 0;
		call->acked_through = 0;
	}
	/* The first lists under a fence are wanted at once. */
	call->wait_ms = r->lists_valid ? HOLD_WAIT_MS : 0;
	r->hold_call = call->id;
	r->hold_ms = r->now_ms;
	runs_call_send(r, call);
}

static void take_running(struct runs *r, const struct runs_answer *answer)
{
	size_t i;

	for (i = 0; i < r->running->len; i++)
		protobuf_c_message_free_unpacked(r->running->pdata[i], NULL);
	g_ptr_array_set_size(r->running, 0);
	for (i = 0; i < answer->n_running; i++)
		g_ptr_array_add(r->running,
				wire_message_dup(&answer->running[i]->base));
	r->lists_due = TRUE;
	r->figures_due = TRUE;
}

/* Returns TRUE if there is an end that the leader was not told. */
static gboolean take_ended(struct runs *r, const struct runs_answer *answer)
{
	gboolean news = FALSE;
	size_t i;

	for (i = 0; i < answer->n_ended; i++) {
		if (answer->ended[i]->number <= r->reported_end)
			continue;
		r->reported_end = answer->ended[i]->number;
		g_ptr_array_add(r->ended,
				wire_message_dup(&answer->ended[i]->base));
		g_hash_table_remove(r->infos, answer->ended[i]->run->task);
		news = TRUE;
	}
	return news;
}

static void take_lists(struct runs *r, const struct runs_answer *answer)
{
	gboolean quick = r->now_ms < r->hold_ms + HOLD_PAUSE_MS;
	gboolean news;

	runs_orders_check(r, answer, answer->call_id);
	take_running(r, answer);
	news = take_ended(r, answer);
	if (news || !r->lists_valid)
		r->report_due = TRUE;
	r->lists_valid = TRUE;
	if (quick && !news)
		r->next_hold_ms = r->now_ms + HOLD_PAUSE_MS;
}

gboolean runs_hold_answer(struct runs *r, const struct runs_answer *answer)
{
	if (answer->call_id != r->hold_call)
		return FALSE;
	r->hold_call = 0;
	if (answer->outcome != RUNS_OK) {
		r->holds_lost++;
		r->verified = FALSE;
		r->next_hold_ms = r->now_ms + HOLD_RETRY_MS;
		g_log_structured(
			G_LOG_DOMAIN, G_LOG_LEVEL_DEBUG, "MESSAGE",
			"hold %u not answered as wanted: outcome %d %s",
			r->holds_lost, answer->outcome,
			answer->reason ? answer->reason : "");
		return TRUE;
	}
	r->holds_lost = 0;
	/* The next heartbeat describes the worker that runs here now. */
	if (answer->worker_started_ms && r->worker->born_ms &&
	    answer->worker_started_ms != r->worker->born_ms) {
		r->verified = FALSE;
		r->next_hold_ms = r->now_ms + HOLD_RETRY_MS;
		return TRUE;
	}
	r->verified = TRUE;
	r->answered_ms = r->now_ms;
	if (answer->clock_ms > r->clock_ms) {
		r->clock_ms = answer->clock_ms;
		r->clock_at_ms = r->now_ms;
	}
	take_lists(r, answer);
	return TRUE;
}
