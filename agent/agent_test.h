#ifndef AGENT_TEST_H
#define AGENT_TEST_H

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "agent/agent.h"

/* Fixture and events for the unit tests of the agent. */

/* 2^30 bytes */
#define GB ((gint64)1 << 30)

static struct agt *agt;
static GArray *fx;
static gint64 now;

static inline void run(struct agt_event *event)
{
	event->now_ms = now;
	g_array_set_size(fx, 0);
	agt_reduce(agt, event, fx);
}

static inline struct agt_effect *find(enum agt_effect_kind kind)
{
	unsigned i;

	for (i = 0; i < fx->len; i++) {
		struct agt_effect *e = &g_array_index(fx, struct agt_effect, i);

		if (e->kind == kind)
			return e;
	}
	return NULL;
}

static inline struct Rp__Frame *sent(Rp__Frame__BodyCase kind)
{
	unsigned i;

	for (i = 0; i < fx->len; i++) {
		struct agt_effect *e = &g_array_index(fx, struct agt_effect, i);

		if (e->kind == AGT_FX_SEND && e->send.frame->body_case == kind)
			return e->send.frame;
	}
	return NULL;
}

static inline const struct Rp__Task *task_event(void)
{
	struct Rp__Frame *frame = sent(RP__FRAME__BODY_TASK_EVENT);

	ck_assert_ptr_nonnull(frame);
	return frame->task_event->task;
}

static inline const struct Rp__Reply *reply(void)
{
	struct Rp__Frame *frame = sent(RP__FRAME__BODY_REPLY);

	ck_assert_ptr_nonnull(frame);
	return frame->reply;
}

static inline struct agt_committed committed(void)
{
	struct agt_committed now_committed;

	agt_committed(agt, &now_committed);
	return now_committed;
}

static inline void deliver(guint64 conn, struct Rp__Frame *frame)
{
	struct agt_event event = { .kind = AGT_EV_FRAME };

	event.frame.conn = conn;
	event.frame.frame = frame;
	run(&event);
	wire_frame_free(frame);
}

/* Reduces an event that has no parameter but a connection, or none. */
static inline void simple(enum agt_event_kind kind, guint64 conn)
{
	struct agt_event event = { .kind = kind };

	event.closed.conn = conn;
	run(&event);
}

static inline void tick(gint64 ms)
{
	now += ms;
	simple(AGT_EV_TICK, 0);
}

static inline void welcome(guint64 conn, const char *id)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_WELCOME);

	wire_set_string(&frame->welcome->entry_id, id);
	deliver(conn, frame);
}

static inline void grant(guint64 conn, guint64 sequence, guint64 fenced)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_GRANT);

	frame->grant->sequence = sequence;
	frame->grant->fenced_session = fenced;
	deliver(conn, frame);
}

static inline void worker_tasks(const char *boot,
				const struct agt_worker_task *tasks, size_t n)
{
	struct agt_event event = { .kind = AGT_EV_WORKER_TASKS };

	event.worker_tasks.ok = TRUE;
	event.worker_tasks.worker_boot_id = boot;
	event.worker_tasks.tasks = tasks;
	event.worker_tasks.n = n;
	run(&event);
}

/* Waits for the next list request and answers it. */
static inline void list(const char *boot, const struct agt_worker_task *tasks,
			size_t n)
{
	tick(600);
	worker_tasks(boot, tasks, n);
}

static inline void worker_done(guint64 op, gboolean ok, gboolean outcome_known)
{
	struct agt_event event = { .kind = AGT_EV_WORKER_DONE };

	event.worker_done.op = op;
	event.worker_done.ok = ok;
	event.worker_done.outcome_known = outcome_known;
	event.worker_done.checkpoint = ok ? "cp" : NULL;
	run(&event);
}

static inline guint64 op_of(enum agt_effect_kind kind)
{
	struct agt_effect *e = find(kind);

	ck_assert_ptr_nonnull(e);
	return e->worker.op;
}

static inline void request(guint64 conn, guint64 id, const char *pool,
			   unsigned timeout_ms, guint64 generation)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REQUEST);

	frame->request->id = id;
	frame->request->timeout_ms = timeout_ms;
	frame->request->tables_generation = generation;
	wire_set_string(&frame->request->pool, pool);
	deliver(conn, frame);
}

static inline void upstream(guint64 call, enum agt_upstream_status status)
{
	struct agt_event event = { .kind = AGT_EV_UPSTREAM };

	event.upstream.call = call;
	event.upstream.status = status;
	event.upstream.http_status = 200;
	run(&event);
}

static inline void task_start(guint64 conn, const char *job, unsigned attempt,
			      guint64 term, guint64 session, gint64 memory)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_TASK_START);

	wire_set_string(&frame->task_start->job_id, job);
	frame->task_start->attempt = attempt;
	frame->task_start->shard = 3;
	frame->task_start->term = term;
	frame->task_start->session = session;
	frame->task_start->resources = wire_resources_dup(NULL);
	frame->task_start->resources->cpu_milli = 1000;
	frame->task_start->resources->memory_bytes = memory;
	deliver(conn, frame);
}

static inline void shard_term(guint64 conn, guint64 term)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_SHARD_TERM);

	frame->shard_term->shard = 3;
	frame->shard_term->term = term;
	deliver(conn, frame);
}

/* Delivers an acknowledgement, or a control if action is not NONE. */
static inline void task_frame(guint64 conn, const char *job, unsigned attempt,
			      guint64 term, Rp__TaskAction action)
{
	struct Rp__Frame *frame =
		wire_frame_new(action ? RP__FRAME__BODY_TASK_CONTROL
				      : RP__FRAME__BODY_TASK_ACK);

	if (action) {
		wire_set_string(&frame->task_control->job_id, job);
		frame->task_control->attempt = attempt;
		frame->task_control->shard = 3;
		frame->task_control->term = term;
		frame->task_control->action = action;
	} else {
		wire_set_string(&frame->task_ack->job_id, job);
		frame->task_ack->attempt = attempt;
		frame->task_ack->shard = 3;
		frame->task_ack->term = term;
	}
	deliver(conn, frame);
}

static inline GBytes *tables_document(guint64 generation,
				      const char *incarnation)
{
	struct cfg_pool checks = { .name = (char *)"checks",
				   .class = CFG_CLASS_LATENCY_CRITICAL,
				   .guaranteed_requests = 4 };
	struct cfg_pool scores = { .name = (char *)"scores",
				   .class = CFG_CLASS_BATCH,
				   .priority = 50 };
	struct cfg_tables document = { .generation = generation,
				       .parent_generation = generation - 1,
				       .incarnation = (char *)incarnation,
				       .author = (char *)"test",
				       .applied_unix_ms = 1 };
	GBytes *bytes;

	document.pools = g_ptr_array_new();
	document.routes = g_ptr_array_new();
	g_ptr_array_add(document.pools, &checks);
	g_ptr_array_add(document.pools, &scores);
	bytes = cfg_tables_encode(&document);
	g_ptr_array_free(document.pools, TRUE);
	g_ptr_array_free(document.routes, TRUE);
	return bytes;
}

static inline void tables(guint64 conn, guint64 generation,
			  const char *incarnation)
{
	g_autoptr(GBytes) bytes = tables_document(generation, incarnation);

	deliver(conn, wire_tables_update_new(bytes));
}

static inline void setup(void)
{
	static const char *const pools[] = { "checks", "scores" };
	static const char *const entries[] = { "10.0.0.1:1", "10.0.0.2:1" };
	struct agt_options options = {
		.vm = "v1",
		.zone = "zone-a",
		.pools = pools,
		.n_pools = 2,
		.slots = 4,
		.connections = 8,
		.cpu_milli = 4000,
		.memory_bytes = 10 * GB,
		.accelerators = 2,
		.has_upstream = TRUE,
		.has_worker = TRUE,
		.entries = entries,
		.n_entries = 2,
		.seed = 1,
	};

	now = 1000000;
	fx = agt_effects_new();
	agt = agt_new(&options);
}

static inline void teardown(void)
{
	agt_free(agt);
	g_array_free(fx, TRUE);
}

/* The agent has connection 1 to entry e1, no task, and a grant of session 1. */
static inline void setup_ready(void)
{
	struct Rp__Frame *frame;
	unsigned i;

	setup();
	tick(0);
	/* The worker does not answer until late start calls have ended. */
	for (i = 0; i < 6; i++) {
		struct agt_event failed = { .kind = AGT_EV_WORKER_TASKS };

		tick(500);
		run(&failed);
	}
	tick(500);
	worker_tasks("b1", NULL, 0);
	/* The wait for the other entry ends. */
	tick(1000);
	worker_tasks("b1", NULL, 0);
	simple(AGT_EV_CONNECTED, 1);
	frame = sent(RP__FRAME__BODY_GRANT_REQUEST);
	ck_assert_ptr_nonnull(frame);
	grant(1, frame->grant_request->sequence, 0);
	welcome(1, "e1");
}

static const struct agt_worker_task worker_task = {
	.job_id = "a",
	.attempt = 1,
	.shard = 3,
	.session = 1,
	.state = RP__TASK_STATE__TASK_STATE_RUNNING,
	.cpu_milli = 1000,
	.memory_bytes = GB,
};

static inline void start_running(const char *job, gint64 memory)
{
	guint64 start;

	task_start(1, job, 1, 1, 1, memory);
	start = op_of(AGT_FX_WORKER_START);
	if (find(AGT_FX_WORKER_LEASE))
		worker_done(op_of(AGT_FX_WORKER_LEASE), TRUE, TRUE);
	worker_done(start, TRUE, TRUE);
}

#endif
