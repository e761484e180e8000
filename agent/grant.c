#include "internal.h"

/**
 * A grant that is not answered for this long is asked of another entry. The
 * wait doubles up to the usual interval, so that an outage of the platform
 * does not multiply the requests.
 */
#define GRANT_RETRY_MS 1000

gboolean agt_grant_valid(const struct agt *agt)
{
	return agt->session && !agt->fenced && !agt->next_worker_boot_id &&
	       agt->now_ms < agt->grant_until_ms;
}

/* One entry at a time is asked, so that reads do not grow with entries. */
static struct peer *choose_peer(struct agt *agt)
{
	struct peer *chosen = NULL;
	unsigned seen = 0;
	unsigned i;

	for (i = 0; i < agt->peers->len; i++) {
		struct peer *peer = g_ptr_array_index(agt->peers, i);

		if (!peer->connected)
			continue;
		seen++;
		if (!g_rand_int_range(agt->rand, 0, (gint32)seen))
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
	agt->grant_wait_ms = CLAMP(agt->grant_wait_ms * 2, GRANT_RETRY_MS,
				   AGT_GRANT_INTERVAL_MS);
	agt->grant_request_at_ms = agt->now_ms + agt->grant_wait_ms;
	frame = wire_frame_new(RP__FRAME__BODY_GRANT_REQUEST);
	frame->grant_request->sequence = request.sequence;
	frame->grant_request->session = request.session;
	agt_fx_send(agt, peer->conn, frame);
}

static void send_lease(struct agt *agt)
{
	struct agt_effect *fx;

	if (agt->lease_op || !agt_grant_valid(agt) ||
	    agt->lease_until_ms >= agt->grant_until_ms ||
	    agt->now_ms < agt->lease_retry_at_ms || !agt_tasks_holding(agt))
		return;
	fx = agt_fx(agt, AGT_FX_WORKER_LEASE);
	fx->worker.op = agt->lease_op = ++agt->next_op;
	fx->worker.run_until_ms = agt->lease_sent_ms = agt->grant_until_ms;
}

void agt_lease_done(struct agt *agt, gboolean ok)
{
	agt->lease_op = 0;
	if (ok)
		agt->lease_until_ms = agt->lease_sent_ms;
	else
		agt->lease_retry_at_ms = agt->now_ms + GRANT_RETRY_MS;
}

/* The new session may begin once no task of the fenced one can execute. */
static void finish_fence(struct agt *agt)
{
	if (!agt->fenced || agt_tasks_holding(agt))
		return;
	agt->session = agt->fenced + 1;
	agt->fenced = 0;
	agt->report_urgent = TRUE;
	agt->grant_request_at_ms = agt->now_ms;
	agt_fx_log(agt, G_LOG_LEVEL_INFO, NULL,
		   "no task of the fenced session is left; session "
		   "%" G_GUINT64_FORMAT " begins",
		   agt->session);
}

/* After a start, tasks that are being stopped must not get a lease. */
static gboolean settled(struct agt *agt)
{
	GHashTableIter iter;
	struct task *task;

	if (agt->settled || !agt->list_settled)
		return agt->settled;
	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task))
		if (task->holds &&
		    (task->stop_wanted || agt_task_is_final(task)))
			return FALSE;
	agt->settled = TRUE;
	return TRUE;
}

void agt_grant_tick(struct agt *agt)
{
	unsigned i;

	if (!agt->has_worker || !settled(agt))
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
	if (agt->now_ms >= agt->grant_request_at_ms)
		send_grant_request(agt);
	send_lease(agt);
}

static void obey_fence(struct agt *agt, guint64 fenced)
{
	GHashTableIter iter;
	struct task *task;

	if (!agt->fenced)
		agt_fx_log(agt, G_LOG_LEVEL_WARNING, NULL,
			   "session %" G_GUINT64_FORMAT
			   " is fenced: stopping %u tasks",
			   agt->session, agt_tasks_holding(agt));
	agt->fenced = MAX(agt->fenced, fenced);
	agt->grant_until_ms = 0;
	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task)) {
		if (!task->holds || task->stop_wanted)
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
	agt->grant_wait_ms = 0;
	if (request.session != agt->session)
		return;
	if (!agt->session && grant->fenced_session < G_MAXUINT64) {
		agt->session = grant->fenced_session + 1;
		agt->report_urgent = TRUE;
	}
	if (agt->session <= grant->fenced_session) {
		obey_fence(agt, grant->fenced_session);
		return;
	}
	if (agt->fenced)
		return;
	agt->grant_until_ms = MAX(agt->grant_until_ms,
				  request.sent_ms + AGT_GRANT_TTL_MS);
	agt->grant_request_at_ms = request.sent_ms + AGT_GRANT_INTERVAL_MS;
}
