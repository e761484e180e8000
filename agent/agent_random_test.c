#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "agent/agent.h"
#include "evac/evac.h"
#include "tests/fixture.h"

/* Number of random steps per seed. */
#define EVENTS 300000
#define SLOTS 4
#define CPU_MILLI 8000
/* In bytes, as all memory here. */
#define MEMORY 1000
#define ACCELERATORS 3
#define JOBS 60
#define SHARDS 4
#define MAX_SESSIONS 100000

/* A task of the simulated worker. */
struct sim_task {
	char job[16];
	unsigned attempt;
	guint64 session;
	/* Final state; UNKNOWN (0) until then. */
	Rp__TaskState end;
	gboolean checkpointed;
	gint64 cpu;
	gint64 memory;
	gint64 accelerators;
	gint64 used_memory;
};

/* A call to the worker in flight. */
struct sim_op {
	struct agt_effect fx;
	char job[16];
	unsigned attempt;
	struct sim_task start;
};

/* A grant request in flight. */
struct sim_grant {
	guint64 conn;
	guint64 sequence;
	guint64 session;
	gint64 sent_ms;
};

static GRand *rnd;
static struct agt *agt;
static GArray *fx;
static gint64 now;

/* The worker: its tasks, end of lease, number of its boot; calls to it. */
static GArray *tasks;
static gint64 run_until;
static unsigned boot;
static GArray *ops;
static gboolean listing;
/* Answer to the pending list if it was made at the request, else NULL. */
static GArray *old_list;
static unsigned old_boot;

/* Calls of ended agent processes that take effect later, at the given time. */
struct late_call {
	gint64 at;
	struct sim_op op;
};
static GArray *late_calls;

/* Highest fenced session in the store; end of the grants by session, in ms. */
static guint64 fence;
static gint64 granted_until[MAX_SESSIONS];
static GArray *grants;

/* Connections. */
static GArray *dialled;
static GArray *open_conns;
/* Upstream calls in flight. */
static GArray *calls;
/* Request id to 'f' forwarded, 'u' unsent by the I/O layer, 'n' not run. */
static GHashTable *requests;
/* Upstream call to request id. */
static GHashTable *call_of;
static guint64 next_request;
static guint64 term = 1;
/* Generation of the evacuations, and whether they have the agent's zone. */
static guint64 evacuations;
static gboolean evacuated;
/* Not-run replies, then effects by kind. */
static guint64 counts[32];

static int pick(int n)
{
	return g_rand_int_range(rnd, 0, n);
}

static struct sim_task *sim_find(const char *job, unsigned attempt)
{
	unsigned i;

	for (i = 0; i < tasks->len; i++) {
		struct sim_task *t = &g_array_index(tasks, struct sim_task, i);

		if (!strcmp(t->job, job) && t->attempt == attempt)
			return t;
	}
	return NULL;
}

static void *hash_key(guint64 id)
{
	return GUINT_TO_POINTER(id);
}

static void check_frame(const struct agt_effect *e)
{
	const struct Rp__Frame *frame = e->send.frame;
	struct sim_grant grant = { .conn = e->send.conn, .sent_ms = now };

	if (frame->body_case == RP__FRAME__BODY_GRANT_REQUEST) {
		grant.sequence = frame->grant_request->sequence;
		grant.session = frame->grant_request->session;
		g_array_append_val(grants, grant);
	} else if (frame->body_case == RP__FRAME__BODY_REPLY &&
		   frame->reply->outcome == RP__OUTCOME__OUTCOME_NOT_RUN) {
		void *state = g_hash_table_lookup(requests,
						  hash_key(frame->reply->id));

		ck_assert_msg(state != hash_key('f'),
			      "not-run of forwarded work");
		g_hash_table_insert(requests, hash_key(frame->reply->id),
				    hash_key('n'));
		counts[0]++;
	}
}

static void add_worker_call(const struct agt_effect *e)
{
	struct sim_op op = { .fx = *e };

	if (e->worker.job_id)
		g_strlcpy(op.job, e->worker.job_id, sizeof(op.job));
	op.attempt = e->worker.attempt;
	if (e->kind == AGT_FX_WORKER_START) {
		const struct Rp__TaskStart *start = e->worker.start->task_start;

		memcpy(op.start.job, op.job, sizeof(op.job));
		op.start.attempt = op.attempt;
		op.start.session = start->session;
		op.start.cpu = start->resources->cpu_milli;
		op.start.memory = start->resources->memory_bytes;
		op.start.accelerators = start->resources->accelerators;
	}
	g_array_append_val(ops, op);
}

static void handle_effects(void)
{
	unsigned i;

	for (i = 0; i < fx->len; i++) {
		const struct agt_effect *e =
			&g_array_index(fx, struct agt_effect, i);
		guint64 id;

		counts[1 + e->kind]++;
		ck_assert_msg(!evacuated || (e->kind != AGT_FX_FORWARD &&
					     e->kind != AGT_FX_WORKER_START),
			      "work begins in an evacuated zone");
		if (e->kind == AGT_FX_SEND) {
			check_frame(e);
		} else if (e->kind == AGT_FX_DIAL) {
			g_array_append_val(dialled, e->dial.conn);
		} else if (e->kind == AGT_FX_FORWARD) {
			id = e->forward.request->request->id;
			ck_assert_msg(
				!g_hash_table_lookup(requests, hash_key(id)),
				"forwarded twice or after not-run");
			g_hash_table_insert(requests, hash_key(id),
					    hash_key('f'));
			g_hash_table_insert(call_of, hash_key(e->forward.call),
					    hash_key(id));
			g_array_append_val(calls, e->forward.call);
		} else if (e->kind == AGT_FX_WORKER_LIST) {
			ck_assert(!listing);
			listing = TRUE;
			if (pick(2))
				continue;
			old_boot = boot;
			old_list = g_array_copy(tasks);
		} else if (e->kind >= AGT_FX_WORKER_START &&
			   e->kind <= AGT_FX_WORKER_FORGET) {
			add_worker_call(e);
		}
	}
}

static gboolean executes(const struct sim_task *t)
{
	return !t->end && !t->checkpointed && now < run_until;
}

static void check_worker(void)
{
	gint64 cpu = 0;
	gint64 memory = 0;
	gint64 accelerators = 0;
	unsigned i;
	unsigned k;

	for (i = 0; i < tasks->len; i++) {
		const struct sim_task *t = &g_array_index(tasks,
							  struct sim_task, i);

		if (t->end)
			continue;
		cpu += t->cpu;
		memory += t->memory;
		accelerators += t->accelerators;
		if (!executes(t))
			continue;
		ck_assert_msg(now < granted_until[t->session],
			      "%s runs without a grant", t->job);
		for (k = 0; k < i; k++)
			ck_assert_msg(
				!executes(&g_array_index(tasks, struct sim_task,
							 k)) ||
					strcmp(t->job,
					       g_array_index(tasks,
							     struct sim_task, k)
						       .job),
				"%s runs twice", t->job);
	}
	ck_assert_int_le(cpu, CPU_MILLI);
	ck_assert_int_le(memory, MEMORY);
	ck_assert_int_le(accelerators, ACCELERATORS);
}

static void run(struct agt_event *event)
{
	struct agt_committed before = { 0 };
	struct agt_committed after;

	if (event->kind != AGT_EV_WORKER_TASKS)
		agt_committed(agt, &before);
	event->now_ms = now;
	g_array_set_size(fx, 0);
	agt_reduce(agt, event, fx);
	handle_effects();
	agt_committed(agt, &after);
	ck_assert_uint_le(after.slots, SLOTS);
	ck_assert_uint_eq(after.slots, calls->len);
	ck_assert_int_le(after.cpu_milli, CPU_MILLI);
	ck_assert_int_le(after.accelerators, ACCELERATORS);
	/* Usage in a list may exceed the memory; an admission may not. */
	if (event->kind != AGT_EV_WORKER_TASKS)
		ck_assert_int_le(after.memory_bytes,
				 MAX(MEMORY, before.memory_bytes));
	check_worker();
}

static void simple(enum agt_event_kind kind, guint64 conn)
{
	struct agt_event event = { .kind = kind };

	event.closed.conn = conn;
	run(&event);
}

/* Applies a call to the simulated worker. */
static void perform(const struct sim_op *op)
{
	struct sim_task *t = sim_find(op->job, op->attempt);

	switch (op->fx.kind) {
	case AGT_FX_WORKER_START:
		if (!t)
			g_array_append_val(tasks, op->start);
		G_GNUC_FALLTHROUGH;
	case AGT_FX_WORKER_LEASE:
		run_until = MAX(run_until, op->fx.worker.run_until_ms);
		break;
	case AGT_FX_WORKER_CHECKPOINT:
		if (t)
			t->checkpointed = TRUE;
		break;
	case AGT_FX_WORKER_STOP:
		if (t && !t->end)
			t->end = t->checkpointed
					 ? RP__TASK_STATE__TASK_STATE_EVICTED
					 : RP__TASK_STATE__TASK_STATE_STOPPED;
		break;
	case AGT_FX_WORKER_FORGET:
		if (t) {
			ck_assert(t->end);
			g_array_remove_index(
				tasks,
				(guint)(t - (struct sim_task *)tasks->data));
		}
		break;
	default:
		break;
	}
}

/*
 * Ends a random call in flight. Outcomes: below 7, success; 7, success without
 * an answer; 8, no effect and no answer; 9, failure.
 */
static void answer_op(void)
{
	struct agt_event event = { .kind = AGT_EV_WORKER_DONE };
	unsigned i = (unsigned)pick((int)ops->len);
	struct sim_op op = g_array_index(ops, struct sim_op, i);
	int outcome = pick(10);

	g_array_remove_index(ops, i);
	event.worker_done.op = op.fx.worker.op;
	event.worker_done.ok = outcome < 7;
	event.worker_done.outcome_known = outcome != 7 && outcome != 8;
	event.worker_done.not_sent = outcome == 9 && pick(2);
	event.worker_done.checkpoint = outcome < 7 ? "cp" : NULL;
	if (outcome < 8)
		perform(&op);
	run(&event);
	if (!pick(50))
		run(&event);
}

static void answer_list(void)
{
	struct agt_event event = { .kind = AGT_EV_WORKER_TASKS };
	g_autoptr(GArray) from = old_list ? old_list : g_array_copy(tasks);
	g_autofree char *id = g_strdup_printf("b%u",
					      old_list ? old_boot : boot);
	g_autofree struct agt_worker_task *items =
		g_new0(struct agt_worker_task, from->len + 1);
	unsigned i;

	listing = FALSE;
	old_list = NULL;
	event.worker_tasks.ok = pick(10) != 0;
	event.worker_tasks.worker_boot_id = id;
	event.worker_tasks.tasks = items;
	event.worker_tasks.n = event.worker_tasks.ok ? from->len : 0;
	for (i = 0; i < event.worker_tasks.n; i++) {
		struct sim_task *t = &g_array_index(from, struct sim_task, i);

		items[i].job_id = t->job;
		items[i].attempt = t->attempt;
		items[i].shard = (unsigned)atoi(t->job) % SHARDS;
		items[i].session = t->session;
		items[i].state = t->end ? t->end
				 : executes(t)
					 ? RP__TASK_STATE__TASK_STATE_RUNNING
					 : RP__TASK_STATE__TASK_STATE_SUSPENDED;
		items[i].cpu_milli = t->cpu;
		items[i].memory_bytes = t->memory;
		items[i].accelerators = t->accelerators;
		items[i].used_memory_bytes = t->used_memory;
	}
	run(&event);
}

static guint64 some_conn(void)
{
	return g_array_index(open_conns, guint64, pick((int)open_conns->len));
}

static void deliver(guint64 conn, struct Rp__Frame *frame)
{
	struct agt_event event = { .kind = AGT_EV_FRAME };

	event.frame.conn = conn;
	event.frame.frame = frame;
	run(&event);
	wire_frame_free(frame);
}

static void send_task_frame(void)
{
	static const Rp__Frame__BodyCase kinds[] = {
		RP__FRAME__BODY_TASK_START, RP__FRAME__BODY_TASK_START,
		RP__FRAME__BODY_TASK_ACK, RP__FRAME__BODY_TASK_CONTROL,
		RP__FRAME__BODY_SHARD_TERM
	};
	struct Rp__Frame *frame =
		wire_frame_new(kinds[pick(G_N_ELEMENTS(kinds))]);
	int job = pick(JOBS);
	unsigned attempt = 1 + (unsigned)(now / 200000) + (unsigned)pick(2);
	guint64 sender_term = term - (pick(20) == 0);
	g_autofree char *id = g_strdup_printf("%d", job);
	struct agt_committed committed;

	term += !pick(500);
	agt_committed(agt, &committed);
	if (frame->body_case == RP__FRAME__BODY_TASK_START) {
		wire_set_string(&frame->task_start->job_id, id);
		frame->task_start->attempt = attempt;
		frame->task_start->shard = (unsigned)job % SHARDS;
		frame->task_start->term = sender_term;
		frame->task_start->session = committed.session - !pick(20);
		frame->task_start->resources = wire_resources_dup(NULL);
		frame->task_start->resources->cpu_milli = pick(4000);
		frame->task_start->resources->memory_bytes = pick(500);
		frame->task_start->resources->accelerators = pick(3);
	} else if (frame->body_case == RP__FRAME__BODY_TASK_ACK) {
		wire_set_string(&frame->task_ack->job_id, id);
		frame->task_ack->attempt = attempt;
		frame->task_ack->shard = (unsigned)job % SHARDS;
		frame->task_ack->term = sender_term;
	} else if (frame->body_case == RP__FRAME__BODY_TASK_CONTROL) {
		wire_set_string(&frame->task_control->job_id, id);
		frame->task_control->attempt = attempt;
		frame->task_control->shard = (unsigned)job % SHARDS;
		frame->task_control->term = sender_term;
		frame->task_control->action = 1 + (Rp__TaskAction)pick(3);
	} else {
		frame->shard_term->shard = (unsigned)job % SHARDS;
		frame->shard_term->term = sender_term;
	}
	deliver(some_conn(), frame);
}

static guint64 evacuations_in_force(void)
{
	static const char key[] = "\"evacuations_generation\":";
	g_autoptr(GString) status = g_string_new(NULL);

	agt_status_json(agt, status);
	return g_ascii_strtoull(strstr(status->str, key) + strlen(key), NULL,
				10);
}

/*
 * Sends the next generation of the evacuations, or an older one. The agent
 * ignores it if it has closed the connection.
 */
static void send_evacuations(void)
{
	struct evac_zone zone = { .zone = (char *)(pick(3) ? "b" : "a"),
				  .author = (char *)"ana",
				  .reason = (char *)"test" };
	struct evac *none = evac_new();
	struct evac *evac = evac_begin(none, &zone, NULL);
	gboolean was_evacuated = evacuated;
	g_autoptr(GBytes) document = NULL;
	guint64 generation;

	if (evacuations && !pick(4)) {
		evac->generation = evacuations - (guint64)pick(2);
		evac->generation = MAX(evac->generation, 1);
	} else {
		evac->generation = ++evacuations;
	}
	/* The event that ends an evacuation may start work. */
	evacuated &= *zone.zone == 'a';
	document = evac_encode(evac);
	generation = evacuations_in_force();
	deliver(some_conn(), wire_evacuation_update_new(document, TRUE, 0));
	if (evacuations_in_force() != generation)
		evacuated = *zone.zone == 'a';
	else
		evacuated = was_evacuated;
	evac_free(evac);
	evac_free(none);
}

static void send_request_frame(void)
{
	struct Rp__Frame *frame;
	gboolean cancel = !pick(5);

	if (cancel) {
		frame = wire_frame_new(RP__FRAME__BODY_CANCEL);
		frame->cancel->id = next_request - (guint64)pick(10);
	} else {
		frame = wire_frame_new(RP__FRAME__BODY_REQUEST);
		frame->request->id = ++next_request;
		frame->request->timeout_ms = (unsigned)pick(1000);
		wire_set_string(&frame->request->pool,
				pick(2) ? "checks" : "scores");
	}
	deliver(some_conn(), frame);
}

/* Reads the fence and answers a request, which may have been sent long ago. */
static void answer_grant(void)
{
	unsigned i = (unsigned)pick((int)grants->len);
	struct sim_grant asked = g_array_index(grants, struct sim_grant, i);
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_GRANT);
	guint64 session = asked.session ? asked.session : fence + 1;
	unsigned k;

	frame->grant->sequence = asked.sequence;
	frame->grant->fenced_session = fence;
	if (pick(10))
		g_array_remove_index_fast(grants, i);
	if (session > fence && session < MAX_SESSIONS)
		granted_until[session] = MAX(granted_until[session],
					     asked.sent_ms + AGT_GRANT_TTL_MS);
	for (k = 0; k < open_conns->len; k++)
		if (g_array_index(open_conns, guint64, k) == asked.conn)
			break;
	if (k < open_conns->len && pick(10))
		deliver(asked.conn, frame);
	else
		wire_frame_free(frame);
}

static void answer_upstream(void)
{
	struct agt_event event = { .kind = AGT_EV_UPSTREAM };
	unsigned i = (unsigned)pick((int)calls->len);

	event.upstream.call = g_array_index(calls, guint64, i);
	event.upstream.status = (enum agt_upstream_status)pick(3);
	event.upstream.http_status = 200;
	g_array_remove_index_fast(calls, i);
	if (event.upstream.status == AGT_UPSTREAM_NOT_SENT)
		g_hash_table_insert(
			requests,
			g_hash_table_lookup(call_of,
					    hash_key(event.upstream.call)),
			hash_key('u'));
	run(&event);
}

static void change_task(void)
{
	struct sim_task *t;

	if (!tasks->len)
		return;
	t = &g_array_index(tasks, struct sim_task, pick((int)tasks->len));
	if (pick(3))
		t->used_memory = pick(700);
	else if (executes(t))
		t->end = pick(2) ? RP__TASK_STATE__TASK_STATE_FINISHED
				 : RP__TASK_STATE__TASK_STATE_FAILED;
}

static void reboot_worker(void)
{
	boot++;
	run_until = 0;
	g_array_set_size(tasks, 0);
}

static struct agt *agent_new(void)
{
	static const char *const pools[] = { "checks", "scores" };
	static const char *const entries[] = { "10.0.0.1:1", "10.0.0.2:1" };
	struct agt_options options = {
		.vm = "v1",
		.zone = "a",
		.pools = pools,
		.n_pools = 2,
		.slots = SLOTS,
		.connections = 8,
		.cpu_milli = CPU_MILLI,
		.memory_bytes = MEMORY,
		.accelerators = ACCELERATORS,
		.has_upstream = TRUE,
		.has_worker = TRUE,
		.entries = entries,
		.n_entries = 2,
	};

	options.seed = g_rand_int(rnd);
	return agt_new(&options);
}

static void perform_late_calls(void)
{
	unsigned i;

	for (i = late_calls->len; i-- > 0;) {
		struct late_call *late = &g_array_index(late_calls,
							struct late_call, i);

		if (now < late->at)
			continue;
		perform(&late->op);
		g_array_remove_index_fast(late_calls, i);
	}
}

/* Restarts the agent; calls in flight take effect within 3 s or not at all. */
static void restart_agent(void)
{
	while (ops->len) {
		struct late_call late = { now + pick(3000) };
		unsigned i = (unsigned)pick((int)ops->len);

		late.op = g_array_index(ops, struct sim_op, i);
		if (pick(2))
			g_array_append_val(late_calls, late);
		g_array_remove_index_fast(ops, i);
	}
	agt_free(agt);
	listing = FALSE;
	g_clear_pointer(&old_list, g_array_unref);
	g_array_set_size(grants, 0);
	g_array_set_size(dialled, 0);
	g_array_set_size(open_conns, 0);
	g_array_set_size(calls, 0);
	evacuations = 0;
	evacuated = FALSE;
	agt = agent_new();
}

static void change_connections(void)
{
	guint64 conn;
	int i;

	if (dialled->len) {
		conn = g_array_index(dialled, guint64, 0);
		g_array_remove_index(dialled, 0);
		if (pick(3)) {
			g_array_append_val(open_conns, conn);
			simple(AGT_EV_CONNECTED, conn);
			deliver(conn, wire_frame_new(RP__FRAME__BODY_WELCOME));
		} else {
			simple(AGT_EV_CLOSED, conn);
		}
	} else if (open_conns->len && !pick(10)) {
		i = pick((int)open_conns->len);
		conn = g_array_index(open_conns, guint64, i);
		g_array_remove_index_fast(open_conns, (guint)i);
		simple(AGT_EV_CLOSED, conn);
	}
}

static void advance(void)
{
	now += pick(300) ? 1 + pick(100) : pick(30000);
	perform_late_calls();
	check_worker();
	simple(AGT_EV_TICK, 0);
}

static void step(void)
{
	int choice = pick(1000);

	if (choice < 250)
		advance();
	else if (choice < 450 && ops->len)
		answer_op();
	else if (choice < 550 && listing)
		answer_list();
	else if (choice < 680 && open_conns->len)
		send_task_frame();
	else if (choice < 780 && open_conns->len)
		send_request_frame();
	else if (choice < 880 && calls->len)
		answer_upstream();
	else if (choice < 920 && grants->len)
		answer_grant();
	else if (choice < 950)
		change_task();
	else if (choice < 952 && open_conns->len)
		send_evacuations();
	else if (choice < 995)
		change_connections();
	else if (choice < 996)
		fence = MAX(fence, fence + (guint64)pick(2));
	else if (choice < 997 && !pick(2))
		reboot_worker();
	else if (choice < 998)
		restart_agent();
	else if (choice < 999 && !pick(3))
		simple(AGT_EV_DRAIN, 0);
}

/*
 * Rare orders of events, such as a fence while the outcome of a start is not
 * known, could let a job run twice or without a grant, exceed the VM's
 * capacity, begin work in an evacuated zone or give a false not-run reply. The
 * checks follow each event.
 */
START_TEST(test_random_events)
{
	unsigned i;

	rnd = g_rand_new_with_seed((guint32)_i);
	fx = agt_effects_new();
	tasks = g_array_new(FALSE, TRUE, sizeof(struct sim_task));
	ops = g_array_new(FALSE, TRUE, sizeof(struct sim_op));
	late_calls = g_array_new(FALSE, TRUE, sizeof(struct late_call));
	grants = g_array_new(FALSE, TRUE, sizeof(struct sim_grant));
	dialled = g_array_new(FALSE, TRUE, sizeof(guint64));
	open_conns = g_array_new(FALSE, TRUE, sizeof(guint64));
	calls = g_array_new(FALSE, TRUE, sizeof(guint64));
	requests = g_hash_table_new(g_direct_hash, g_direct_equal);
	call_of = g_hash_table_new(g_direct_hash, g_direct_equal);
	now = 1000000;
	agt = agent_new();
	for (i = 0; i < EVENTS; i++)
		step();
	/* Each effect must occur, or the test would not cover it. */
	for (i = AGT_FX_SEND; i <= AGT_FX_COUNT; i++) {
		if (g_getenv("RP_TEST_VERBOSE"))
			g_printerr("effect %u: %" G_GUINT64_FORMAT "\n", i,
				   counts[1 + i]);
		ck_assert_uint_gt(counts[1 + i], 0);
	}
	ck_assert_uint_gt(counts[1 + AGT_FX_WORKER_START], 1000);
	ck_assert_uint_gt(counts[1 + AGT_FX_FORWARD], 1000);
	agt_free(agt);
	g_clear_pointer(&old_list, g_array_unref);
	g_array_free(fx, TRUE);
	g_array_free(tasks, TRUE);
	g_array_free(ops, TRUE);
	g_array_free(late_calls, TRUE);
	g_array_free(grants, TRUE);
	g_array_free(dialled, TRUE);
	g_array_free(open_conns, TRUE);
	g_array_free(calls, TRUE);
	g_hash_table_destroy(requests);
	g_hash_table_destroy(call_of);
	g_rand_free(rnd);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("agent random");
	TCase *tcase = tcase_create("random");

	/* The loop index is the seed. */
	tcase_add_loop_test(tcase, test_random_events, 1, 3);
	tcase_set_timeout(tcase, 300);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
