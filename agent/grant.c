#include "internal.h"

/**
 * An unanswered grant request is repeated to a random entry after this time.
 * The wait doubles up to AGT_GRANT_INTERVAL_MS, so that requests do not
 * multiply while the key-value store is down. Also the wait after a failed
 * lease call.
 */
#define GRANT_RETRY_MS 1000

gboolean agt_grant_valid(const struct agt *agt)
{
	return agt->session && !agt->fenced_session &&
	       !agt->next_worker_boot_id && agt->now_ms < agt->grant_until_ms;
}

/*
 * Returns a random connected entry (reservoir sampling), or NULL. Only one is
 * asked, since each request costs a read of the key-value store.
 */
static struct peer *choose_peer(struct agt *agt)
{
	struct peer *chosen = NULL;
	unsigned n_connected = 0;
	unsigned i;

	for (i = 0; i < agt->peers->len; i++) {
		struct peer *peer = g_ptr_array_index(agt->peers, i);

		if (!peer->connected)
			continue;
		n_connected++;
		if (!g_rand_int_range(agt->rand, 0, (gint32)n_connected))
			chosen = peer;
	}
	return chosen;
}

static void send_grant_request(struct agt *agt)
{
	struct grant_request request = { 0 };
	struct peer *peer = choose_peer(agt);
	struct Rp__Frame *frame;

	if (!peer)
		return;
	request.sequence = ++agt->grant_sequence;
	request.conn = agt->grant_conn = peer->conn;
	request.session = agt->session;
	request.sent_ms = agt->now_ms;
	g_array_append_val(agt->grant_requests, request);
	agt->grant_retry_delay_ms = CLAMP(agt->grant_retry_delay_ms * 2,
					  GRANT_RETRY_MS,
					  AGT_GRANT_INTERVAL_MS);
	agt->next_grant_request_ms = agt->now_ms + agt->grant_retry_delay_ms;
	frame = wire_frame_new(RP__FRAME__BODY_GRANT_REQUEST);
	frame->grant_request->sequence = request.sequence;
	frame->grant_request->session = request.session;
	agt_fx_send(agt, peer->conn, frame);
}

static void send_worker_lease(struct agt *agt)
{
	struct agt_effect *fx;

	if (agt->lease_op || !agt_grant_valid(agt) ||
	    agt->lease_until_ms >= agt->grant_until_ms ||
	    agt->now_ms < agt->lease_retry_at_ms ||
	    !agt_tasks_reserved_count(agt))
		return;
	fx = agt_fx(agt, AGT_FX_WORKER_LEASE);
	fx->worker.op = agt->lease_op = ++agt->next_op;
	fx->worker.run_until_ms = agt->lease_requested_until_ms =
		agt->grant_until_ms;
}

void agt_lease_done(struct agt *agt, gboolean ok)
{
	agt->lease_op = 0;
	if (ok)
		agt->lease_until_ms = agt->lease_requested_until_ms;
	else
		agt->lease_retry_at_ms = agt->now_ms + GRANT_RETRY_MS;
}

/* Begins the new session once no task of the fenced one may execute. */
static void finish_fence(struct agt *agt)
{
	if (!agt->fenced_session || agt_tasks_reserved_count(agt))
		return;
	agt->session = agt->fenced_session + 1;
	agt->fenced_session = 0;
	agt->report_urgent = TRUE;
	agt->next_grant_request_ms = agt->now_ms;
	agt_fx_log(agt, G_LOG_LEVEL_INFO, NULL,
		   "all tasks of the fenced session have stopped; session "
		   "%" G_GUINT64_FORMAT " begins",
		   agt->session);
}

/*
 * TRUE once all starts of earlier agent processes are resolved and no task that
 * must be stopped may execute. Until then no grant is requested, since the
 * worker's lease lets all of its tasks execute.
 */
static gboolean check_old_tasks_stopped(struct agt *agt)
{
	GHashTableIter iter;
	struct task *task;

	if (agt->may_request_grants || !agt->starts_resolved)
		return agt->may_request_grants;
	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task))
		if (task->reserved &&
		    (task->stop_wanted || agt_task_is_final(task)))
			return FALSE;
	agt->may_request_grants = TRUE;
	return TRUE;
}

void agt_grant_tick(struct agt *agt)
{
	unsigned i;

	if (!agt->has_worker || !check_old_tasks_stopped(agt))
		return;
	for (i = 0; i < agt->grant_requests->len;) {
		const struct grant_request *request = &g_array_index(
			agt->grant_requests, struct grant_request, i);

		if (agt->now_ms - request->sent_ms >= AGT_GRANT_TTL_MS)
			g_array_remove_index(agt->grant_requests, i);
		else
			i++;
	}
	finish_fence(agt);
	if (agt->now_ms >= agt->next_grant_request_ms)
		send_grant_request(agt);
	send_worker_lease(agt);
}

static void apply_fence(struct agt *agt, guint64 fenced)
{
	GHashTableIter iter;
	struct task *task;

	if (!agt->fenced_session)
		agt_fx_log(agt, G_LOG_LEVEL_WARNING, NULL,
			   "session %" G_GUINT64_FORMAT
			   " is fenced: stopping %u tasks",
			   agt->session, agt_tasks_reserved_count(agt));
	agt->fenced_session = MAX(agt->fenced_session, fenced);
	agt->grant_until_ms = 0;
	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task)) {
		if (!task->reserved || task->stop_wanted)
			continue;
		task->stop_wanted = TRUE;
		task->reason = RP__REASON__REASON_STALE_SESSION;
	}
	finish_fence(agt);
}

void agt_grant(struct agt *agt, struct peer *peer,
	       const struct Rp__Grant *grant)
{
	struct grant_request request = { 0 };
	unsigned i;

	for (i = 0; i < agt->grant_requests->len; i++) {
		request = g_array_index(agt->grant_requests,
					struct grant_request, i);
		if (request.sequence == grant->sequence &&
		    request.conn == peer->conn)
			break;
	}
	if (i == agt->grant_requests->len)
		return;
	g_array_remove_index(agt->grant_requests, i);
	agt->grant_retry_delay_ms = 0;
	/* The session has changed since the request was sent. */
	if (request.session != agt->session)
		return;
	/* No session is known: the one after the last fence begins. */
	if (!agt->session && grant->fenced_session < G_MAXUINT64) {
		agt->session = grant->fenced_session + 1;
		agt->report_urgent = TRUE;
	}
	if (agt->session <= grant->fenced_session) {
		apply_fence(agt, grant->fenced_session);
		return;
	}
	if (agt->fenced_session)
		return;
	agt->grant_until_ms = MAX(agt->grant_until_ms,
				  request.sent_ms + AGT_GRANT_TTL_MS);
	agt->next_grant_request_ms = request.sent_ms + AGT_GRANT_INTERVAL_MS;
}
