#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "bench/colocation_internal.h"

/* Fake workers and services of the VMs. */

/* Duration of a worker call. */
#define WORKER_MS 5
/* The worker reports a task's use of resources from this age on. */
#define USAGE_LAG_MS 10000
/* Log-normal latency of a service without batch tasks. */
#define SERVICE_MEDIAN_MS 20.0
#define SERVICE_SIGMA 0.3
/* Time at full speed that a task repeats when it starts from a checkpoint. */
#define RESUME_REPEAT_MS 2000
/* Periods of the services' load and of the strength of interference. */
#define LOAD_PERIOD_MS 240000
#define DRIFT_PERIOD_MS 400000

/* Varies from 0.4 to 1.6; VMs reach their peaks one after the other. */
double colocation_load(const struct colocation *c, unsigned vm)
{
	return 1 + 0.6 * sin(2 * G_PI *
			     ((double)c->now_ms / LOAD_PERIOD_MS +
			      (double)vm / COLOCATION_VMS));
}

/* Factor on the interference that a kind causes, 0.6 to 1.4. */
static double drift(const struct colocation *c, unsigned kind)
{
	return 1 + 0.4 * sin(2 * G_PI *
			     ((double)c->now_ms / DRIFT_PERIOD_MS +
			      (double)kind / COLOCATION_KINDS));
}

static gboolean executes(const struct colocation *c, const struct vm *vm,
			 const struct task *task)
{
	return task->state == RP__TASK_STATE__TASK_STATE_RUNNING &&
	       !task->checkpointed && c->now_ms < vm->run_until_ms;
}

/* Fraction of the VM's CPUs that each kind uses now. */
static void kind_loads(const struct colocation *c, const struct vm *vm,
		       double *loads)
{
	guint i;

	memset(loads, 0, sizeof(double) * COLOCATION_KINDS);
	for (i = 0; i < vm->tasks->len; i++) {
		const struct task *task = g_ptr_array_index(vm->tasks, i);

		if (executes(c, vm, task))
			loads[task->job->kind] +=
				(double)task->job->cpu_milli *
				task->share_milli / 1000 /
				(double)c->options.vm_cpu_milli;
	}
}

/* Latency of a service relative to that without batch tasks. */
static double service_factor(const struct colocation *c, const struct vm *vm,
			     unsigned service)
{
	double loads[COLOCATION_KINDS];
	double factor = 1;
	unsigned k;

	kind_loads(c, vm, loads);
	for (k = 0; k < COLOCATION_KINDS; k++)
		factor += loads[k] * drift(c, k) *
			  colocation_load(c, vm->index) *
			  c->options.kinds[k].slows_service[service];
	return factor;
}

void colocation_advance(struct colocation *c, struct vm *vm)
{
	double elapsed = (double)(c->now_ms - vm->advanced_ms);
	double loads[COLOCATION_KINDS];
	unsigned k;
	guint i;

	vm->advanced_ms = c->now_ms;
	kind_loads(c, vm, loads);
	for (i = 0; i < vm->tasks->len; i++) {
		struct task *task = g_ptr_array_index(vm->tasks, i);
		double rate = task->share_milli / 1000.0;
		double slowdown = 1;
		double done;

		if (!executes(c, vm, task))
			continue;
		for (k = 0; k < COLOCATION_KINDS; k++)
			slowdown +=
				loads[k] *
				c->options.kinds[k].slows_kind[task->job->kind];
		done = elapsed * rate / slowdown;
		if (task->resume_ms > 0) {
			task->resume_ms -= done;
			continue;
		}
		done = MIN(done,
			   (double)task->job->duration_ms - task->job->done_ms);
		task->job->done_ms += done;
		c->work_cpu_ms += done * (double)task->job->cpu_milli / 1000;
		if (task->job->done_ms < (double)task->job->duration_ms)
			continue;
		task->state = RP__TASK_STATE__TASK_STATE_FINISHED;
		if (!task->job->ended)
			c->finished++;
		task->job->ended = TRUE;
	}
}

static struct task *task_find(const struct vm *vm, const char *id,
			      unsigned attempt)
{
	guint i;

	for (i = 0; i < vm->tasks->len; i++) {
		struct task *task = g_ptr_array_index(vm->tasks, i);

		if (task->attempt == attempt && !strcmp(task->job->id, id))
			return task;
	}
	return NULL;
}

static void worker_start(struct colocation *c, struct vm *vm,
			 const struct agt_effect *fx)
{
	const struct Rp__TaskStart *start = fx->worker.start->task_start;
	struct task *task = task_find(vm, start->job_id, start->attempt);

	vm->run_until_ms = MAX(vm->run_until_ms, fx->worker.run_until_ms);
	if (task)
		return;
	task = g_new0(struct task, 1);
	task->job = g_hash_table_lookup(c->jobs, start->job_id);
	task->attempt = start->attempt;
	task->session = start->session;
	task->cpu_milli = start->resources->cpu_milli;
	task->memory_bytes = start->resources->memory_bytes;
	task->share_milli = 1000;
	task->started_ms = c->now_ms;
	task->state = RP__TASK_STATE__TASK_STATE_RUNNING;
	task->resume_ms = *start->checkpoint ? RESUME_REPEAT_MS : 0;
	if (!task->job->started_ms)
		task->job->started_ms = c->now_ms;
	g_ptr_array_add(vm->tasks, task);
}

static void worker_call(struct colocation *c, struct vm *vm,
			struct agt_effect *fx)
{
	struct task *task = NULL;
	struct event *event;

	colocation_advance(c, vm);
	event = colocation_post(c, EV_WORKER, vm->index, WORKER_MS);
	event->id = fx->worker.op;
	if (fx->worker.job_id)
		task = task_find(vm, fx->worker.job_id, fx->worker.attempt);
	if (fx->kind == AGT_FX_WORKER_START) {
		worker_start(c, vm, fx);
	} else if (fx->kind == AGT_FX_WORKER_LEASE) {
		vm->run_until_ms = MAX(vm->run_until_ms,
				       fx->worker.run_until_ms);
	} else if (!task) {
		return;
	} else if (fx->kind == AGT_FX_WORKER_CHECKPOINT) {
		task->checkpointed = TRUE;
	} else if (fx->kind == AGT_FX_WORKER_THROTTLE) {
		task->share_milli = fx->worker.share_milli;
	} else if (fx->kind == AGT_FX_WORKER_STOP &&
		   task->state == RP__TASK_STATE__TASK_STATE_RUNNING) {
		task->state = task->checkpointed
				      ? RP__TASK_STATE__TASK_STATE_EVICTED
				      : RP__TASK_STATE__TASK_STATE_STOPPED;
	} else if (fx->kind == AGT_FX_WORKER_FORGET) {
		g_ptr_array_remove_fast(vm->tasks, task);
	}
}

static void forward(struct colocation *c, struct vm *vm,
		    const struct agt_effect *fx)
{
	unsigned s = !strcmp(fx->forward.request->request->pool,
			     colocation_services[1]);
	double u = sqrt(-2 * log(1 - g_rand_double(c->random))) *
		   cos(2 * G_PI * g_rand_double(c->random));
	struct event *event;
	double ms;

	colocation_advance(c, vm);
	ms = SERVICE_MEDIAN_MS * exp(SERVICE_SIGMA * u) *
	     service_factor(c, vm, s);
	event = colocation_post(c, EV_ANSWER, vm->index, (gint64)(ms + 0.5));
	event->id = fx->forward.call;
	if (c->now_ms >= c->measure_from_ms)
		g_array_append_val(c->latencies, ms);
}

static void run_agent_effects(struct colocation *c, struct vm *vm,
			      GArray *effects)
{
	guint i;

	for (i = 0; i < effects->len; i++) {
		struct agt_effect *fx = &g_array_index(effects,
						       struct agt_effect, i);
		struct event *event;

		switch (fx->kind) {
		case AGT_FX_SEND:
			event = colocation_post(c, EV_TO_ENTRY, vm->index,
						LINK_MS);
			event->frame = fx->send.frame;
			fx->send.frame = NULL;
			break;
		case AGT_FX_DIAL:
			vm->conn = fx->dial.conn;
			colocation_post(c, EV_CONNECTED, vm->index, LINK_MS);
			break;
		case AGT_FX_FORWARD:
			forward(c, vm, fx);
			break;
		case AGT_FX_WORKER_LIST:
			colocation_post(c, EV_LIST, vm->index, WORKER_MS);
			break;
		case AGT_FX_WORKER_START:
		case AGT_FX_WORKER_LEASE:
		case AGT_FX_WORKER_CHECKPOINT:
		case AGT_FX_WORKER_STOP:
		case AGT_FX_WORKER_THROTTLE:
		case AGT_FX_WORKER_FORGET:
			worker_call(c, vm, fx);
			break;
		default:
			break;
		}
	}
}

void colocation_feed_agent(struct colocation *c, struct vm *vm,
			   struct agt_event *event)
{
	g_autoptr(GArray) effects = agt_effects_new();

	event->now_ms = c->now_ms;
	agt_reduce(vm->agt, event, effects);
	run_agent_effects(c, vm, effects);
}

void colocation_feed_frame(struct colocation *c, struct vm *vm,
			   const struct Rp__Frame *frame)
{
	struct agt_event event = { .kind = AGT_EV_FRAME };

	event.frame.conn = vm->conn;
	event.frame.frame = frame;
	colocation_feed_agent(c, vm, &event);
}

void colocation_list(struct colocation *c, struct vm *vm)
{
	struct agt_event event = { .kind = AGT_EV_WORKER_TASKS };
	g_autoptr(GArray)
		list = g_array_new(FALSE, TRUE, sizeof(struct agt_worker_task));
	guint i;

	for (i = 0; i < vm->tasks->len; i++) {
		const struct task *task = g_ptr_array_index(vm->tasks, i);
		gboolean usage_known = c->now_ms - task->started_ms >=
				       USAGE_LAG_MS;
		struct agt_worker_task item = {
			.job_id = task->job->id,
			.attempt = task->attempt,
			.shard = job_shard(task->job->id),
			.session = task->session,
			.state = task->state,
			.checkpoint = task->checkpointed ? "saved" : "",
			.detail = "",
			.cpu_milli = task->cpu_milli,
			.memory_bytes = task->memory_bytes,
			.used_cpu_milli = usage_known ? task->job->cpu_milli
						      : 0,
			.used_memory_bytes =
				usage_known ? task->job->memory_bytes : 0,
			.pool = "batch",
			.kind = c->options.kinds[task->job->kind].name,
		};

		g_array_append_val(list, item);
	}
	event.worker_tasks.ok = TRUE;
	event.worker_tasks.worker_boot_id = "w1";
	event.worker_tasks.tasks = (void *)list->data;
	event.worker_tasks.n = list->len;
	colocation_feed_agent(c, vm, &event);
}
