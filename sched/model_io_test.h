#ifndef SCHED_MODEL_IO_TEST_H
#define SCHED_MODEL_IO_TEST_H

#include "model_test.h"

/*
 * Calls to workers, connections between leaders and agents, and the store, in
 * the model of model_test.c. They lose, delay and repeat messages.
 */

static void agent_reduce(struct model *m, int vm, struct runs_event *ev);

static gboolean agent_frozen(const struct model *m, int vm)
{
	return m->now_ms < m->vms[vm].frozen_until_ms;
}

static void pass_answer(struct model *m, struct model_call *c,
			struct runs_answer *answer)
{
	struct runs_event ev = { .kind = RUNS_EVENT_ANSWER, .answer = answer };

	if (m->vms[c->vm].runs && m->vms[c->vm].agent_epoch == c->agent_epoch)
		agent_reduce(m, c->vm, &ev);
}

/* Answers the call, unless the answer is lost; frees the answer's rows. */
static void answer_call(struct model *m, struct model_call *c,
			struct runs_answer *answer)
{
	answer->call_id = c->call->id;
	if (!c->answer_lost && !c->timed_out) {
		if (agent_frozen(m, c->vm)) {
			c->answer_waits = TRUE;
			c->answer = *answer;
			return;
		}
		pass_answer(m, c, answer);
	}
	runs_answer_clear(answer);
}

static gint64 call_lease(const struct model *m, const struct model_call *c,
			 const struct model_worker *w)
{
	gint64 clock_ms = worker_clock(m, w);
	gint64 lease_ms = c->call->lease_until_ms;

	if (lease_ms && m->load.leases_from_arrival)
		lease_ms += clock_ms - c->sent_clock_ms;
	return MIN(lease_ms, clock_ms + LEASE_MAX_MS);
}

static gboolean agent_knows_worker(const struct model *m, int vm)
{
	const struct model_vm *v = &m->vms[vm];
	const struct Rp__WorkerInfo *info = v->runs ? runs_worker_info(v->runs)
						    : NULL;

	return info && info->born_ms == v->worker.started_ms;
}

static void deliver_call(struct model *m, struct model_call *c)
{
	struct model_worker *w = &m->vms[c->vm].worker;
	struct runs_answer answer = { .outcome = RUNS_OK };

	if (!w->up && m->load.calls_outlive_worker &&
	    (c->answer_lost || c->timed_out)) {
		c->delivered = FALSE;
		c->arrival_ms = w->restart_ms +
				g_rand_int_range(m->rand, TICK_MS, 3000);
		return;
	}
	if (!w->up || (w->started_ms != c->worker_started_ms &&
		       !m->load.calls_outlive_worker)) {
		c->answer_lost = TRUE;
		return;
	}
	if (c->call->kind == RUNS_CALL_START &&
	    w->started_ms != c->worker_started_ms &&
	    !m->load.starts_outlive_worker) {
		c->answer_lost = TRUE;
		return;
	}
	if (w->started_ms != c->worker_started_ms &&
	    !m->load.calls_reach_unknown_worker &&
	    !agent_knows_worker(m, c->vm)) {
		c->delivered = FALSE;
		c->arrival_ms = m->now_ms +
				g_rand_int_range(m->rand, TICK_MS, 1000);
		return;
	}
	trace(m,
	      "vm %d: call %u kind %d %s %u fence %u lease %d, clock %d, "
	      "worker lease %d, late %d, born %d, sent to %d",
	      c->vm, (guint)c->call->id, c->call->kind,
	      c->call->task ? c->call->task : "-", c->call->attempt,
	      (guint)c->call->fencing_token, (int)c->call->lease_until_ms,
	      (int)worker_clock(m, w), (int)w->lease_until_ms, c->timed_out,
	      (int)w->started_ms, (int)c->worker_started_ms);
	if (c->call->fencing_token < w->fencing_token) {
		answer.outcome = RUNS_REFUSED;
		answer.reason = "fence";
		answer_call(m, c, &answer);
		return;
	}
	w->fencing_token = c->call->fencing_token;
	if (c->call->kind == RUNS_CALL_RENEW_LEASE ||
	    c->call->kind == RUNS_CALL_START)
		w->lease_until_ms = MAX(w->lease_until_ms, call_lease(m, c, w));
	switch (c->call->kind) {
	case RUNS_CALL_START:
		answer.outcome = worker_start(m, c->vm, c->call,
					      &answer.reason);
		break;
	case RUNS_CALL_STOP:
		worker_stop(m, w, c->call);
		break;
	case RUNS_CALL_RENEW_LEASE:
		acknowledge_ends(m, w, c->call->acked_through);
		set_lists(m, w, &answer);
		break;
	default:
		break;
	}
	answer_call(m, c, &answer);
}

static void free_call(struct model_call *c)
{
	runs_answer_clear(&c->answer);
	runs_call_free(c->call);
	g_free(c);
}

/* Handles the answer or the time-out of a call; TRUE if the agent has one. */
static gboolean end_call(struct model *m, struct model_call *c)
{
	struct runs_answer lost = { .outcome = RUNS_NO_ANSWER };

	if (c->timed_out)
		return TRUE;
	if (agent_frozen(m, c->vm))
		return FALSE;
	/* An agent that was frozen finds either the answer or its timer first.
	 */
	if (c->answer_waits &&
	    (m->now_ms < c->timeout_ms || g_rand_boolean(m->rand))) {
		c->timed_out = TRUE;
		pass_answer(m, c, &c->answer);
		return TRUE;
	}
	if (c->delivered && !c->answer_lost && !c->answer_waits)
		return TRUE;
	if (m->now_ms < c->timeout_ms)
		return FALSE;
	c->timed_out = TRUE;
	lost.call_id = c->call->id;
	pass_answer(m, c, &lost);
	return TRUE;
}

static void run_calls(struct model *m)
{
	guint i = 0;

	while (i < m->calls->len) {
		struct model_call *c = m->calls->pdata[i];
		struct model_vm *v = &m->vms[c->vm];
		gboolean ended;

		if (!c->delivered && m->now_ms >= c->arrival_ms) {
			/* The worker keeps it until then. */
			if (m->now_ms < v->burst_ms) {
				c->arrival_ms =
					v->burst_ms +
					TICK_MS *
						g_rand_int_range(m->rand, 0, 8);
			} else {
				c->delivered = TRUE;
				deliver_call(m, c);
			}
		}
		ended = end_call(m, c);
		if (c->delivered && ended) {
			g_ptr_array_remove_index(m->calls, i);
			free_call(c);
		} else {
			i++;
		}
	}
}

/* Checks that a start is not sent to an evacuated zone after the bound. */
static void check_zone(struct model *m, int vm, const struct runs_call *call)
{
	gint64 since_ms = m->evacuated_ms[vm % ZONES];

	if (call->kind != RUNS_CALL_START || !since_ms)
		return;
	m->starts_before_bound++;
	if (m->now_ms > since_ms + LAST_START_MS)
		ck_abort_msg("seed %u, %d ms: %s, attempt %u, is started on "
			     "vm %d, whose zone is evacuated since %d",
			     m->seed, (int)m->now_ms, call->task, call->attempt,
			     vm, (int)since_ms);
}

static void send_call(struct model *m, int vm, struct runs_call *call)
{
	struct model_vm *v = &m->vms[vm];
	struct model_call *c = g_new0(struct model_call, 1);

	check_zone(m, vm, call);
	c->call = call;
	c->vm = vm;
	c->agent_epoch = v->agent_epoch;
	c->worker_started_ms = v->worker.started_ms;
	c->sent_clock_ms = worker_clock(m, &v->worker);
	c->arrival_ms = m->now_ms + TICK_MS + call->wait_ms / 5;
	c->timeout_ms = m->now_ms + call->timeout_ms;
	c->answer_lost = fault_occurs(
		m, m->now_ms < v->unresponsive_until_ms ? 0.97 : 0.05);
	/* Some calls without an answer reach the worker late, after newer ones.
	 */
	if (c->answer_lost && g_rand_boolean(m->rand))
		c->arrival_ms = m->now_ms + g_rand_int_range(m->rand,
							     LATE_MIN_MS,
							     LATE_MAX_MS);
	g_ptr_array_add(m->calls, c);
}

/* Sends a frame on a connection, or closes it (frame is NULL). */
static void send_frame(struct model *m, guint leader, int vm, guint link,
		       gboolean to_agent, struct Rp__Frame *frame)
{
	struct model_frame *f = g_new0(struct model_frame, 1);
	GHashTable *arrivals = m->arrivals[to_agent];
	gint64 last_ms = GPOINTER_TO_INT(
		g_hash_table_lookup(arrivals, GUINT_TO_POINTER(link)));

	f->frame = frame;
	f->vm = vm;
	f->leader = leader;
	f->to_agent = to_agent;
	f->link = link;
	f->agent_epoch = m->vms[vm].agent_epoch;
	f->arrival_ms = m->now_ms + TICK_MS;
	if (fault_occurs(m, m->load.frame_delay_probability))
		f->arrival_ms += g_rand_int_range(m->rand, 200, 4000);
	f->arrival_ms = MAX(f->arrival_ms, last_ms);
	g_hash_table_insert(arrivals, GUINT_TO_POINTER(link),
			    GINT_TO_POINTER((gint)f->arrival_ms));
	g_ptr_array_add(m->frames, f);
}

static void agent_reduce(struct model *m, int vm, struct runs_event *ev)
{
	struct model_vm *v = &m->vms[vm];
	g_autoptr(GArray)
		effects = g_array_new(FALSE, FALSE, sizeof(struct runs_effect));
	guint i;

	ev->now_ms = m->now_ms;
	m->events++;
	runs_reduce(v->runs, ev, effects);
	for (i = 0; i < effects->len; i++) {
		struct runs_effect *e = &g_array_index(effects,
						       struct runs_effect, i);

		if (e->kind == RUNS_EFFECT_CALL)
			send_call(m, vm, e->call);
		else if (v->link)
			send_frame(m, v->leader, vm, v->link, FALSE, e->frame);
		else
			wire_frame_free(e->frame);
	}
}

static void send_hello(struct model *m, guint leader, int vm,
		       guint64 fencing_token)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_LEADER_HELLO);

	frame->leader_hello->fence = fencing_token;
	trace(m, "vm %d: leader %u starts session %u", vm, leader,
	      (guint)fencing_token);
	send_frame(m, leader, vm, m->leaders[leader].links[vm], TRUE, frame);
}

static void apply_reply(struct model *m, const struct sch_effect *e)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct model_job *job = value;

		if (job->call_ref != e->call_ref)
			continue;
		if (e->reply.status == 200)
			job->accepted = TRUE;
		if (e->reply.status == 503 && !job->accepted)
			job->refused = TRUE;
	}
}

static void leader_reduce(struct model *m, guint leader, struct sch_event *ev)
{
	struct model_leader *l = &m->leaders[leader];
	g_autoptr(GArray)
		effects = g_array_new(FALSE, FALSE, sizeof(struct sch_effect));
	guint i;

	ev->now_ms = m->now_ms;
	ev->unix_ms = m->now_ms + 1000000;
	m->events++;
	sch_reduce(l->sch, ev, effects);
	for (i = 0; i < effects->len; i++) {
		struct sch_effect *e = &g_array_index(effects,
						      struct sch_effect, i);
		int vm = e->vm ? atoi(e->vm + 2) : 0;

		switch (e->kind) {
		case SCH_EFFECT_SESSION:
			send_hello(m, leader, vm, e->fencing_token);
			break;
		case SCH_EFFECT_ORDERS:
			send_frame(m, leader, vm, l->links[vm], TRUE,
				   g_steal_pointer(&e->frame));
			break;
		case SCH_EFFECT_COMMIT:
			ck_assert_uint_le(e->txn->ops->len, MAX_TXN_OPS);
			l->txn = g_steal_pointer(&e->txn);
			l->txn_end_ms =
				m->now_ms +
				(fault_occurs(m, 0.05)
					 ? g_rand_int_range(m->rand, 100, 1500)
					 : TICK_MS);
			break;
		case SCH_EFFECT_REPLY:
			apply_reply(m, e);
			break;
		case SCH_EFFECT_READ_JOB:
			ck_abort_msg("a job is parked without a bound");
			break;
		}
		sch_effect_clear(e);
	}
}

/* Carries out the leader's transaction, if the leader is current, and answers
 * it. */
static void run_txn(struct model *m, guint leader)
{
	struct model_leader *l = &m->leaders[leader];
	struct sch_event ev = { .kind = SCH_EVENT_COMMITTED };
	guint i;

	if (l->txn && m->now_ms >= l->txn_end_ms) {
		for (i = 0; leader == m->current && i < l->txn->ops->len; i++) {
			const struct kv_op *op =
				&g_array_index(l->txn->ops, struct kv_op, i);

			if (op->kind == KV_OP_PUT)
				g_hash_table_insert(m->store, g_strdup(op->key),
						    g_bytes_ref(op->value));
			else
				g_hash_table_remove(m->store, op->key);
		}
		kv_txn_free(l->txn);
		l->txn = NULL;
		if (leader != m->current)
			return;
		l->txn_revision = ++m->revision;
		l->txn_answer_ms = m->now_ms;
		if (fault_occurs(m, m->load.late_commit_probability))
			l->txn_answer_ms += g_rand_int_range(m->rand, 200,
							     4000);
		/* The leader is replaced before it receives the answer. */
		if (fault_occurs(m, 0.02)) {
			l->txn_revision = 0;
			m->next_leader_ms = m->now_ms;
		}
	}
	if (!l->txn_revision || m->now_ms < l->txn_answer_ms ||
	    m->now_ms < l->frozen_until_ms)
		return;
	ev.revision = l->txn_revision;
	l->txn_revision = 0;
	leader_reduce(m, leader, &ev);
}

/* The leader's side of a connection ends. */
static void leader_disconnect(struct model *m, guint leader, int vm,
			      gint64 reconnect_ms)
{
	struct model_leader *l = &m->leaders[leader];
	struct sch_event ev = { .kind = SCH_EVENT_AGENT_DISCONNECTED };

	l->links[vm] = 0;
	l->reconnect_ms[vm] = reconnect_ms;
	ev.vm = m->vms[vm].name;
	leader_reduce(m, leader, &ev);
}

/* The agent's side of its leader's connection ends. */
static void agent_disconnect(struct model *m, int vm)
{
	struct runs_event ev = { .kind = RUNS_EVENT_LEADER_DISCONNECTED };

	m->vms[vm].link = 0;
	agent_reduce(m, vm, &ev);
}

/* Loses the frames in flight on a connection, in one direction. */
static void lose_frames(struct model *m, guint link, gboolean to_agent)
{
	guint i;

	for (i = 0; i < m->frames->len; i++) {
		struct model_frame *f = m->frames->pdata[i];

		if (f->link == link && f->to_agent == to_agent)
			f->lost = TRUE;
	}
}

/* The leader closes a connection: what it has sent may arrive or not, and the
 * agent may learn of it or find out by its idle timeout. */
static void close_by_leader(struct model *m, guint leader, int vm,
			    gint64 reconnect_ms)
{
	guint link = m->leaders[leader].links[vm];

	if (!m->faults_off && g_rand_boolean(m->rand))
		lose_frames(m, link, TRUE);
	if (m->faults_off || g_rand_double(m->rand) < 0.7)
		send_frame(m, leader, vm, link, TRUE, NULL);
	leader_disconnect(m, leader, vm, reconnect_ms);
}

static void close_by_agent(struct model *m, int vm)
{
	struct model_vm *v = &m->vms[vm];

	if (!m->faults_off && g_rand_boolean(m->rand))
		lose_frames(m, v->link, FALSE);
	if (m->faults_off || g_rand_double(m->rand) < 0.7)
		send_frame(m, v->leader, vm, v->link, FALSE, NULL);
	agent_disconnect(m, vm);
}

/* The agent's process may be frozen: its kernel accepts the connection. */
static void connect_vm(struct model *m, guint leader, int vm)
{
	struct model_leader *l = &m->leaders[leader];
	struct sch_event ev = { .kind = SCH_EVENT_AGENT_CONNECTED };

	l->reconnect_ms[vm] = m->now_ms + 300;
	if (!m->vms[vm].runs || fault_occurs(m, 0.2))
		return;
	l->links[vm] = ++m->last_link;
	l->received_ms[vm] = m->now_ms;
	ev.vm = m->vms[vm].name;
	leader_reduce(m, leader, &ev);
}

/* See cell/follow.c: of several connections the one with the highest fencing
 * token is kept. */
static void hello(struct model *m, const struct model_frame *f)
{
	struct model_vm *v = &m->vms[f->vm];
	struct runs_event ev = { .kind = RUNS_EVENT_LEADER_CONNECTED,
				 .fencing_token =
					 f->frame->leader_hello->fence };

	if (!runs_accepts_leader(v->runs, ev.fencing_token)) {
		if (v->link == f->link)
			v->link = 0;
		send_frame(m, f->leader, f->vm, f->link, FALSE, NULL);
		return;
	}
	if (v->link && v->link != f->link)
		close_by_agent(m, f->vm);
	trace(m, "vm %d: the agent accepts session %u", f->vm,
	      (guint)ev.fencing_token);
	v->leader = f->leader;
	v->link = f->link;
	v->received_ms = m->now_ms;
	agent_reduce(m, f->vm, &ev);
}

static void deliver_to_agent(struct model *m, const struct model_frame *f)
{
	struct model_vm *v = &m->vms[f->vm];
	struct runs_event ev = { .kind = RUNS_EVENT_ORDERS };

	if (!v->runs || v->agent_epoch != f->agent_epoch)
		return;
	if (f->frame && f->frame->body_case == RP__FRAME__BODY_LEADER_HELLO) {
		hello(m, f);
		return;
	}
	if (v->link != f->link)
		return;
	v->received_ms = m->now_ms;
	if (!f->frame) {
		agent_disconnect(m, f->vm);
		return;
	}
	ev.orders = f->frame->vm_orders;
	agent_reduce(m, f->vm, &ev);
}

static void deliver_to_leader(struct model *m, const struct model_frame *f)
{
	struct model_leader *l = &m->leaders[f->leader];
	struct sch_event ev = { .kind = SCH_EVENT_REPORT };

	if (!l->sch || l->links[f->vm] != f->link)
		return;
	l->received_ms[f->vm] = m->now_ms;
	if (!f->frame) {
		leader_disconnect(m, f->leader, f->vm, m->now_ms + 300);
		return;
	}
	ev.vm = m->vms[f->vm].name;
	ev.report = f->frame->vm_report;
	leader_reduce(m, f->leader, &ev);
}

static void free_frame(struct model_frame *f)
{
	wire_frame_free(f->frame);
	g_free(f);
}

static void run_frames(struct model *m)
{
	guint i = 0;

	while (i < m->frames->len) {
		struct model_frame *f = m->frames->pdata[i];

		if (m->now_ms < f->arrival_ms ||
		    (f->to_agent && agent_frozen(m, f->vm)) ||
		    (!f->to_agent &&
		     m->now_ms < m->leaders[f->leader].frozen_until_ms)) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(m->frames, i);
		if (!f->lost && f->to_agent)
			deliver_to_agent(m, f);
		else if (!f->lost)
			deliver_to_leader(m, f);
		free_frame(f);
	}
}

static void close_idle_links(struct model *m)
{
	guint i;
	int vm;

	for (vm = 0; vm < VMS; vm++) {
		const struct model_vm *v = &m->vms[vm];

		if (v->runs && v->link && !agent_frozen(m, vm) &&
		    m->now_ms >= v->received_ms + IDLE_TIMEOUT_MS)
			close_by_agent(m, vm);
		for (i = 0; i < LEADERS; i++) {
			const struct model_leader *l = &m->leaders[i];

			if (l->sch && l->links[vm] &&
			    m->now_ms >= l->frozen_until_ms &&
			    m->now_ms >= l->received_ms[vm] + IDLE_TIMEOUT_MS)
				close_by_leader(m, i, vm, m->now_ms + 300);
		}
	}
}

#endif
