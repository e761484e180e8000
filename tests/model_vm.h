#ifndef TESTS_MODEL_VM_H
#define TESTS_MODEL_VM_H

#include "agent/agent.h"
#include "jobs/sim_entry_test.h"
#include "tests/fixture.h"

/*
 * The VMs of the model test: each has an agent with links to the entries, its
 * calls to the worker, and a simulated worker. Included by model_test.c only.
 */

#define VMS 3

/*
 * The worker handles a call within this time or never. The agent assumes 3 s of
 * its own clock (START_RESOLVE_MS); this is 3 s of the fastest simulated one.
 */
#define CALL_MS (3000 - 3 * SIM_CLOCK_MILLI)
/* A call without an answer fails at the agent after this time. */
#define CALL_TIMEOUT_MS 5000

/* Connection of an agent to an entry. */
struct link {
	/** The agent's id of the connection, or 0. */
	guint64 agent_conn;
	/** The simulation's id of the connection; 0 until it is open. */
	guint64 sim_conn;
	gint64 open_at;
	/** Delay the next TaskStart and all frames after it. */
	gboolean stall_next_start;
	gint64 stalled_until;
	/** The agent has not yet read all frames that a stall delayed. */
	gboolean delayed_frames;
};

/* Call of an agent to its worker. */
struct worker_call {
	struct agt_effect fx;
	/** Boot of the agent that made the call. */
	unsigned agent_boot;
	/** When the worker handles the call, if it gets it. */
	gint64 handle_at;
	/** When the agent gets the answer or the call times out. */
	gint64 answer_at;
	/** The worker gets the call. */
	gboolean reaches_worker;
	/** handle_at has passed; if reaches_worker, the call was handled. */
	gboolean due;
	gboolean ok;
	/** The agent gets an answer, or knows that the call was not sent. */
	gboolean outcome_known;
	gboolean not_sent;
	/** Result of a checkpoint call. */
	char *checkpoint;
	/** Result of a list call: copies of struct sim_task. */
	GPtrArray *tasks;
	char worker_boot[16];
};

struct model_agent {
	/** NULL while the process is not running. */
	struct agt *agt;
	/** When it starts next; -1 once it has drained and has to be ended. */
	gint64 start_at;
	/** The process is paused from paused_from to paused_until. */
	gint64 paused_from;
	gint64 paused_until;
	struct link links[SIM_ENTRIES];
	GPtrArray *calls;
};

static struct model_agent agents[VMS];
/* Tasks that workers started since the test program began, over all seeds. */
static guint64 started;
/* The simulation also injects stalls of links (stall_link()). */
static gboolean stalls;

static struct model_agent *agent_of(struct sim *sim, struct sim_vm *vm)
{
	return &agents[vm - sim->vms];
}

static void call_free(gpointer data)
{
	struct worker_call *call = data;

	g_free(call->fx.worker.job_id);
	g_free(call->checkpoint);
	wire_frame_free(call->fx.worker.start);
	if (call->tasks)
		g_ptr_array_unref(call->tasks);
	g_free(call);
}

/*
 * Makes a call to the worker. Of 100 calls 3 are not sent, 3 are lost on the
 * way and 3 lose their answer; 9 of 10 are handled within 50 ms, the others
 * within CALL_MS.
 */
static void add_call(struct sim *sim, struct sim_vm *vm, struct agt_effect *fx)
{
	struct worker_call *call = g_new0(struct worker_call, 1);
	gint32 roll = sim->healed ? 100 : sim_pick(sim, 100);

	call->fx.kind = fx->kind;
	if (fx->kind != AGT_FX_WORKER_LIST) {
		call->fx.worker = fx->worker;
		fx->worker.job_id = NULL;
		fx->worker.start = NULL;
	}
	call->agent_boot = vm->agent_boot;
	call->reaches_worker = roll >= 6;
	call->handle_at = sim->now + (sim_pick(sim, 10)
					      ? sim_pick(sim, 50)
					      : sim_pick(sim, CALL_MS));
	call->not_sent = roll < 3;
	call->outcome_known = roll >= 9 || call->not_sent;
	call->answer_at = call->outcome_known ? call->handle_at
					      : sim->now + CALL_TIMEOUT_MS;
	g_ptr_array_add(agent_of(sim, vm)->calls, call);
}

static void agent_send(struct sim *sim, struct sim_vm *vm,
		       struct agt_effect *fx)
{
	unsigned e;

	for (e = 0; e < sim->n_entries; e++) {
		const struct link *link = &agent_of(sim, vm)->links[e];

		if (link->agent_conn != fx->send.conn || !link->sim_conn ||
		    link->sim_conn != vm->conns[e])
			continue;
		sim_send_to_entry(vm, (int)e, fx->send.frame);
		fx->send.frame = NULL;
	}
}

/* The agent closes a connection. */
static void close_link(struct sim *sim, struct sim_vm *vm, guint64 conn)
{
	unsigned e;

	for (e = 0; e < sim->n_entries; e++) {
		struct link *link = &agent_of(sim, vm)->links[e];

		if (link->agent_conn != conn)
			continue;
		if (link->sim_conn && link->sim_conn == vm->conns[e])
			sim_disconnect(vm, e);
		memset(link, 0, sizeof(*link));
	}
}

/*
 * Ends the agent process, which starts again later. The worker may still handle
 * its calls.
 */
static void kill_agent(struct sim *sim, struct sim_vm *vm)
{
	struct model_agent *agent = agent_of(sim, vm);
	unsigned e;

	agt_free(agent->agt);
	agent->agt = NULL;
	agent->start_at = sim->now +
			  sim_pick(sim, sim_pick(sim, 4) ? 1500 : 40000);
	agent->paused_until = 0;
	memset(agent->links, 0, sizeof(agent->links));
	for (e = 0; e < sim->n_entries; e++)
		sim_disconnect(vm, e);
	vm->agent_boot++;
}

static void agent_effect(struct sim *sim, struct sim_vm *vm,
			 struct agt_effect *fx)
{
	struct model_agent *agent = agent_of(sim, vm);
	struct link *link;

	switch (fx->kind) {
	case AGT_FX_SEND:
		agent_send(sim, vm, fx);
		break;
	case AGT_FX_DIAL:
		link = &agent->links[fx->dial.address[1] - '0'];
		/* The agent dials an entry only without a connection to it. */
		ck_assert(!link->agent_conn);
		link->agent_conn = fx->dial.conn;
		link->open_at = sim->now + sim_pick(sim, 50);
		break;
	case AGT_FX_CLOSE:
		close_link(sim, vm, fx->close.conn);
		break;
	case AGT_FX_DRAINED:
		agent->start_at = -1;
		break;
	case AGT_FX_WORKER_LIST:
	case AGT_FX_WORKER_START:
	case AGT_FX_WORKER_LEASE:
	case AGT_FX_WORKER_CHECKPOINT:
	case AGT_FX_WORKER_STOP:
	case AGT_FX_WORKER_THROTTLE:
	case AGT_FX_WORKER_FORGET:
		add_call(sim, vm, fx);
		break;
	case AGT_FX_LOG:
		if (getenv("RP_SIM_LOG"))
			g_printerr("%" G_GINT64_FORMAT " %s %s %s\n", sim->now,
				   vm->name, fx->log.message,
				   fx->log.job_id ? fx->log.job_id : "");
		break;
	default:
		break;
	}
}

static void agent_feed(struct sim *sim, struct sim_vm *vm, struct agt_event *ev)
{
	GArray *effects = agt_effects_new();
	struct agt_committed committed;
	struct sim_size used;
	guint i;

	ev->now_ms = sim_clock(sim, vm->clock_milli);
	sim->events++;
	agt_reduce(agent_of(sim, vm)->agt, ev, effects);
	for (i = 0; i < effects->len; i++)
		agent_effect(sim, vm,
			     &g_array_index(effects, struct agt_effect, i));
	g_array_unref(effects);
	agt_committed(agent_of(sim, vm)->agt, &committed);
	used = (struct sim_size){ committed.cpu_milli, committed.memory_bytes,
				  committed.accelerators };
	if (sim_exceeds(&used, &vm->size))
		sim_violation(sim, "the agent of %s commits beyond its %s",
			      vm->name, sim_exceeds(&used, &vm->size));
	if (agent_of(sim, vm)->start_at < 0)
		kill_agent(sim, vm);
}

/* TRUE if the agent process is started, not paused, and its VM runs. */
static gboolean agent_runs(struct sim *sim, struct sim_vm *vm)
{
	const struct model_agent *agent = agent_of(sim, vm);

	return agent->agt && sim->now >= vm->paused_until &&
	       (sim->healed || sim->now < agent->paused_from ||
		sim->now >= agent->paused_until);
}

/* Starts the task, or fails in 1 of 50 cases. */
static void worker_start(struct sim *sim, struct sim_vm *vm,
			 struct worker_call *call)
{
	const struct Rp__TaskStart *start = call->fx.worker.start->task_start;
	struct sim_task *task = sim_task_find(vm, start->job_id,
					      start->attempt);

	if (!task) {
		call->ok = sim->healed || sim_pick(sim, 50);
		if (!call->ok)
			return;
		sim_check_start(sim, vm, start);
		sim_task_new(sim, vm, start)->on_worker = TRUE;
		started++;
	}
	vm->run_until = MAX(vm->run_until, call->fx.worker.run_until_ms);
}

/* Copies the tasks into the call, as they are now. */
static void worker_list(struct sim_vm *vm, struct worker_call *call)
{
	guint i;

	call->tasks = g_ptr_array_new_with_free_func(sim_task_free);
	for (i = 0; i < vm->tasks->len; i++) {
		struct sim_task *copy =
			g_memdup2(g_ptr_array_index(vm->tasks, i),
				  sizeof(struct sim_task));

		copy->job_id = g_strdup(copy->job_id);
		copy->checkpoint = g_strdup(copy->checkpoint);
		g_ptr_array_add(call->tasks, copy);
	}
	g_snprintf(call->worker_boot, sizeof(call->worker_boot), "w%u",
		   vm->worker_boot);
}

/* The worker handles a call. */
static void worker_handle(struct sim *sim, struct sim_vm *vm,
			  struct worker_call *call)
{
	struct sim_task *task = NULL;

	if (call->fx.worker.job_id)
		task = sim_task_find(vm, call->fx.worker.job_id,
				     call->fx.worker.attempt);
	call->ok = TRUE;
	switch (call->fx.kind) {
	case AGT_FX_WORKER_LIST:
		worker_list(vm, call);
		break;
	case AGT_FX_WORKER_START:
		worker_start(sim, vm, call);
		break;
	case AGT_FX_WORKER_LEASE:
		vm->run_until = MAX(vm->run_until,
				    call->fx.worker.run_until_ms);
		break;
	case AGT_FX_WORKER_CHECKPOINT:
		call->ok = task && !sim_task_ended(task);
		if (!call->ok)
			break;
		task->frozen = TRUE;
		sim_checkpoint(sim, task);
		call->checkpoint = g_strdup(task->checkpoint);
		break;
	case AGT_FX_WORKER_STOP:
		if (task && !sim_task_ended(task))
			task->state =
				task->frozen
					? RP__TASK_STATE__TASK_STATE_EVICTED
					: RP__TASK_STATE__TASK_STATE_STOPPED;
		break;
	case AGT_FX_WORKER_FORGET:
		call->ok = !task || sim_task_ended(task);
		if (task && call->ok)
			g_ptr_array_remove(vm->tasks, task);
		break;
	default:
		break;
	}
}

static void answer_list(struct sim *sim, struct sim_vm *vm,
			struct worker_call *call)
{
	struct agt_event ev = { .kind = AGT_EV_WORKER_TASKS };
	guint n = call->tasks && call->outcome_known ? call->tasks->len : 0;
	g_autofree struct agt_worker_task *items =
		g_new0(struct agt_worker_task, n + 1);
	guint i;

	for (i = 0; i < n; i++) {
		struct sim_task *task = g_ptr_array_index(call->tasks, i);

		items[i].job_id = task->job_id;
		items[i].attempt = task->attempt;
		items[i].shard = task->shard;
		items[i].session = task->session;
		items[i].state = task->state;
		items[i].checkpoint = task->checkpoint;
		items[i].cpu_milli = task->size.cpu;
		items[i].memory_bytes = task->size.memory;
		items[i].accelerators = task->size.accelerators;
		if (!sim_task_ended(task) && !sim_executes(sim, vm, task))
			items[i].state = RP__TASK_STATE__TASK_STATE_SUSPENDED;
		if (task->state == RP__TASK_STATE__TASK_STATE_FINISHED) {
			items[i].result = "result";
			items[i].result_len = 6;
		}
	}
	ev.worker_tasks.ok = call->tasks && call->outcome_known;
	ev.worker_tasks.worker_boot_id = call->worker_boot;
	ev.worker_tasks.tasks = items;
	ev.worker_tasks.n = n;
	agent_feed(sim, vm, &ev);
}

static void answer_call(struct sim *sim, struct sim_vm *vm,
			struct worker_call *call)
{
	struct agt_event ev = { .kind = AGT_EV_WORKER_DONE };

	if (call->fx.kind == AGT_FX_WORKER_LIST) {
		answer_list(sim, vm, call);
		return;
	}
	ev.worker_done.op = call->fx.worker.op;
	ev.worker_done.ok = call->ok && call->outcome_known;
	ev.worker_done.outcome_known = call->outcome_known;
	ev.worker_done.not_sent = call->not_sent;
	ev.worker_done.detail = "failed";
	if (ev.worker_done.ok)
		ev.worker_done.checkpoint = call->checkpoint;
	agent_feed(sim, vm, &ev);
}

/*
 * Lets the worker handle the calls that are due and the agent read the answers
 * that are due. Calls of an earlier agent process get no answer.
 */
static void run_calls(struct sim *sim, struct sim_vm *vm)
{
	GPtrArray *calls = agent_of(sim, vm)->calls;
	guint i;

	for (i = 0; i < calls->len; i++) {
		struct worker_call *call = g_ptr_array_index(calls, i);

		if (call->due || sim->now < call->handle_at)
			continue;
		call->due = TRUE;
		if (call->reaches_worker)
			worker_handle(sim, vm, call);
	}
	for (i = calls->len; i-- > 0;) {
		struct worker_call *call = g_ptr_array_index(calls, i);
		gboolean old = call->agent_boot != vm->agent_boot;

		if (!call->due || (!old && (sim->now < call->answer_at ||
					    !agent_runs(sim, vm))))
			continue;
		g_ptr_array_steal_index(calls, i);
		if (!old)
			answer_call(sim, vm, call);
		call_free(call);
	}
}

static void run_tasks(struct sim *sim, struct sim_vm *vm, gint64 elapsed_ms)
{
	guint i;

	for (i = 0; i < vm->tasks->len; i++) {
		struct sim_task *task = g_ptr_array_index(vm->tasks, i);

		if (sim_executes(sim, vm, task))
			sim_execute(task, elapsed_ms);
	}
}

static void start_agent(struct sim *sim, struct sim_vm *vm)
{
	static const char *const pools[] = { "batch", "urgent" };
	static const char *const entries[] = { "e0", "e1", "e2" };
	char boot[16];
	struct agt_options options = {
		.vm = vm->name,
		.zone = vm->name,
		.boot_id = boot,
		.pools = pools,
		.n_pools = 2,
		.cpu_milli = vm->size.cpu,
		.memory_bytes = vm->size.memory,
		.accelerators = vm->size.accelerators,
		.has_worker = TRUE,
		.entries = entries,
		.n_entries = sim->n_entries,
	};

	g_snprintf(boot, sizeof(boot), "a%u", vm->agent_boot);
	options.seed = g_rand_int(sim->random);
	agent_of(sim, vm)->agt = agt_new(&options);
}

/* Opens a dialed connection, or reports to the agent that it was closed. */
static void run_link(struct sim *sim, struct sim_vm *vm, unsigned e)
{
	struct link *link = &agent_of(sim, vm)->links[e];
	struct agt_event ev = { .kind = AGT_EV_CLOSED };
	struct Rp__Frame *frame;

	if (!link->agent_conn || sim->now < link->open_at)
		return;
	ev.closed.conn = link->agent_conn;
	if (link->sim_conn || sim->now < vm->disconnected_until[e]) {
		if (link->sim_conn && link->sim_conn == vm->conns[e])
			return;
		memset(link, 0, sizeof(*link));
		agent_feed(sim, vm, &ev);
		return;
	}
	link->sim_conn = vm->conns[e] = ++sim->last_conn;
	frame = wire_frame_new(RP__FRAME__BODY_WELCOME);
	wire_set_string(&frame->welcome->entry_id, sim->entries[e].id);
	g_queue_push_tail(&vm->to_agent[e], frame);
	ev.kind = AGT_EV_CONNECTED;
	agent_feed(sim, vm, &ev);
}

/* Postpones the calls of a paused VM by ms. */
static void delay_calls(struct model_agent *agent, gint64 ms)
{
	guint i;

	for (i = 0; i < agent->calls->len; i++) {
		struct worker_call *call = g_ptr_array_index(agent->calls, i);

		call->handle_at += ms;
		call->answer_at += ms;
	}
}

static void sim_vm_advance(struct sim *sim, struct sim_vm *vm,
			   gint64 elapsed_ms)
{
	struct model_agent *agent = agent_of(sim, vm);
	struct agt_event tick = { .kind = AGT_EV_TICK };
	unsigned e;

	if (sim->now < vm->paused_until) {
		delay_calls(agent, elapsed_ms);
		return;
	}
	run_tasks(sim, vm, elapsed_ms);
	run_calls(sim, vm);
	if (!agent->agt && (sim->healed || sim->now >= agent->start_at))
		start_agent(sim, vm);
	for (e = 0; e < sim->n_entries; e++)
		if (agent_runs(sim, vm))
			run_link(sim, vm, e);
	if (agent_runs(sim, vm))
		agent_feed(sim, vm, &tick);
}

/*
 * Delays frames to the agent, but not those to the entry. Meanwhile, either the
 * entry is paused until it has lost its shards, or another entry is cut off
 * from the VM until it has fenced the VM.
 */
static void stall_link(struct sim *sim, struct sim_vm *vm, unsigned e)
{
	struct link *link = &agent_of(sim, vm)->links[e];
	unsigned other = (e + 1) % sim->n_entries;

	link->stall_next_start = FALSE;
	link->delayed_frames = TRUE;
	if (sim_pick(sim, 3)) {
		sim->entries[e].paused_until = sim->now + 14000;
		link->stalled_until = sim->now + 14000 + sim_pick(sim, 20000);
		return;
	}
	link->stalled_until = sim->now + 30000 + sim_pick(sim, 40000);
	vm->disconnected_until[other] = sim->now + JOB_VM_LOST_MS +
					sim_pick(sim, 10000);
	sim_disconnect(vm, other);
}

/*
 * Starts a requested stall if a TaskStart is next; returns TRUE while the link
 * is stalled.
 */
static gboolean update_stall(struct sim *sim, struct sim_vm *vm, unsigned e)
{
	const struct link *link = &agent_of(sim, vm)->links[e];
	const struct Rp__Frame *next = g_queue_peek_head(&vm->to_agent[e]);

	if (link->stall_next_start && next &&
	    next->body_case == RP__FRAME__BODY_TASK_START)
		stall_link(sim, vm, e);
	return sim->now < link->stalled_until && !sim->healed;
}

static void sim_agent_read(struct sim *sim, struct sim_vm *vm, unsigned e)
{
	struct link *link = &agent_of(sim, vm)->links[e];
	struct agt_event ev = { .kind = AGT_EV_FRAME };
	struct Rp__Frame *frame;

	if (!agent_runs(sim, vm) || !link->sim_conn ||
	    link->sim_conn != vm->conns[e])
		return;
	if (update_stall(sim, vm, e))
		return;
	frame = g_queue_pop_head(&vm->to_agent[e]);
	if (!frame) {
		link->delayed_frames = FALSE;
		return;
	}
	/*
	 * The agent may refuse a delayed start, so that is checked only when
	 * the worker gets it, in worker_start().
	 */
	if (frame->body_case == RP__FRAME__BODY_TASK_START &&
	    !link->delayed_frames)
		sim_check_start(sim, vm, frame->task_start);
	if (frame->body_case == RP__FRAME__BODY_TASK_ACK)
		sim_check_ack(sim, frame->task_ack);
	ev.frame.conn = link->agent_conn;
	ev.frame.frame = frame;
	agent_feed(sim, vm, &ev);
	wire_frame_free(frame);
}

#endif
