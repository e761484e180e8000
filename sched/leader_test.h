#ifndef SCHED_LEADER_TEST_H
#define SCHED_LEADER_TEST_H

#include <check.h>
#include <stdlib.h>

#include "internal.h"
#include "tests/fixture.h"

/** A leader; the test takes the place of its workers, callers and store. */
struct leader {
	struct sch *s;
	gint64 now_ms;
	/** Of the store. */
	guint64 revision;
	GArray *effects;
	/** Content of the last reply; status 0 if there was none. */
	guint status;
	Rp__JobState state;
	guint waiting;
	/** What the workers' reports say; NULL for none. */
	const char *zone;
	const char *rack;
	gint64 cold_remaining_ms;
	guint retry_after_s;
};

#define FENCING_TOKEN 9
/** Unix time at 0 of the boot clock. */
#define UNIX_MS 1700000000000
/** CPUs of each VM. */
#define CPU_MILLI 10000

static void clear_effects(struct leader *l)
{
	guint i;

	for (i = 0; i < l->effects->len; i++)
		sch_effect_clear(
			&g_array_index(l->effects, struct sch_effect, i));
	g_array_set_size(l->effects, 0);
}

static void reduce(struct leader *l, struct sch_event *ev)
{
	guint i;

	ev->now_ms = l->now_ms;
	ev->unix_ms = UNIX_MS + l->now_ms;
	sch_reduce(l->s, ev, l->effects);
	for (i = 0; i < l->effects->len; i++) {
		const struct sch_effect *e =
			&g_array_index(l->effects, struct sch_effect, i);

		if (e->kind != SCH_EFFECT_REPLY)
			continue;
		l->status = e->reply.status;
		l->state = e->reply.state;
		l->waiting = e->reply.waiting;
		l->retry_after_s = e->reply.retry_after_s;
	}
}

/* The store confirms the leadership. */
static void confirm_only_leadership(struct leader *l)
{
	struct sch_event ev = { .kind = SCH_EVENT_LEADERSHIP_CONFIRMED,
				.confirmed_ms = l->now_ms };

	reduce(l, &ev);
}

/* The store confirms the leadership and that the tables are current. */
static void confirm_leadership(struct leader *l)
{
	struct sch_event ev = { .kind = SCH_EVENT_TABLES_CONFIRMED,
				.confirmed_ms = l->now_ms };

	confirm_only_leadership(l);
	reduce(l, &ev);
}

static void tick(struct leader *l, gint64 ms)
{
	struct sch_event ev = { .kind = SCH_EVENT_TICK };

	l->now_ms += ms;
	reduce(l, &ev);
}

/* Lets 200 ms pass, so that a transaction starts, and completes transactions
 * until none is in flight. */
static void commit(struct leader *l)
{
	struct sch_event ev = { .kind = SCH_EVENT_COMMITTED };

	tick(l, 200);
	while (l->s->commit) {
		ev.revision = ++l->revision;
		reduce(l, &ev);
		tick(l, 200);
	}
}

static GPtrArray *queues_new(void)
{
	GPtrArray *queues = g_ptr_array_new();
	struct sch_queue *queue = sch_queue_new();

	queue->name = g_strdup("q");
	queue->host = g_strdup("h");
	queue->path_prefix = g_strdup("/q/");
	queue->pool = g_strdup("p");
	queue->max_attempts = 2;
	queue->slack_factor = 2;
	queue->objective_base_ms = 1000;
	g_ptr_array_add(queues, queue);
	return queues;
}

/* With zones that can be evacuated if evacuation_ms is above 0. */
static void setup_zones(struct leader *l, gint64 evacuation_ms,
			guint lost_zones)
{
	struct sch_options options = {
		.fencing_token = FENCING_TOKEN,
		.lease_ms = 7000,
		.leadership_valid_ms = 6000,
		.max_ops = 29,
		.retention_ms = 180000,
		.evacuation_ms = evacuation_ms,
		.lost_zones = lost_zones,
	};
	struct sch_event ev = { .kind = SCH_EVENT_TABLES,
				.queues = queues_new() };

	memset(l, 0, sizeof(*l));
	l->now_ms = 100000;
	l->revision = FENCING_TOKEN;
	options.confirmed_ms = l->now_ms;
	l->s = sch_new(&options, l->now_ms);
	l->effects = g_array_new(FALSE, FALSE, sizeof(struct sch_effect));
	reduce(l, &ev);
	confirm_leadership(l);
}

G_GNUC_UNUSED static void setup(struct leader *l)
{
	setup_zones(l, 0, 0);
}

static void teardown(struct leader *l)
{
	clear_effects(l);
	g_array_unref(l->effects);
	sch_free(l->s);
}

/** A running or ended run in a worker's run lists. */
struct row {
	const char *task;
	guint32 attempt;
	/** RUN_END_NONE if it is running. */
	Rp__RunEndKind ended;
	/** Number of the end record. */
	guint64 number;
	/** Progress; 100 for a latency-sensitive run that is ready. */
	guint percent;
	/** Latency in ms of a latency-sensitive task, else milli-CPUs in use.
	 */
	guint measurement;
};

/* Reports in the session of the fencing token. */
static void report_in_session(struct leader *l, guint64 fencing_token,
			      const char *vm, guint64 worker_started_ms,
			      const struct row *rows, size_t n)
{
	struct Rp__VmReport body;
	struct Rp__WorkerInfo info;
	struct Rp__Resources capacity;
	struct Rp__RunRow running[8];
	struct Rp__RunRow *running_list[8];
	struct Rp__RunEnd ended[8];
	struct Rp__RunEnd *ended_list[8];
	struct Rp__RunName names[8];
	struct sch_event ev = { .kind = SCH_EVENT_REPORT,
				.vm = vm,
				.report = &body };
	size_t i;

	rp__vm_report__init(&body);
	rp__worker_info__init(&info);
	rp__resources__init(&capacity);
	capacity.cpu_milli = CPU_MILLI;
	capacity.memory_bytes = 1 << 30;
	info.worker_id = (char *)vm;
	info.born_ms = worker_started_ms;
	info.pool = (char *)"p";
	info.zone = (char *)(l->zone ? l->zone : "");
	info.rack = (char *)(l->rack ? l->rack : "");
	info.cold_remaining_ms = l->cold_remaining_ms;
	info.capacity = &capacity;
	body.fence = fencing_token;
	body.worker = &info;
	body.clock_ms = l->now_ms - 90000;
	body.listed = TRUE;
	body.running = running_list;
	body.ended = ended_list;
	for (i = 0; i < n; i++) {
		rp__run_name__init(&names[i]);
		names[i].task = (char *)rows[i].task;
		names[i].attempt = rows[i].attempt;
		if (rows[i].ended) {
			struct Rp__RunEnd *end = &ended[body.n_ended];

			rp__run_end__init(end);
			end->run = &names[i];
			end->kind = rows[i].ended;
			end->number = rows[i].number;
			ended_list[body.n_ended++] = end;
		} else {
			struct Rp__RunRow *row = &running[body.n_running];

			rp__run_row__init(row);
			row->run = &names[i];
			row->percent = rows[i].percent;
			row->figure = rows[i].measurement;
			running_list[body.n_running++] = row;
		}
	}
	reduce(l, &ev);
}

static void report(struct leader *l, const char *vm, guint64 worker_started_ms,
		   const struct row *rows, size_t n)
{
	report_in_session(l, sch_vm_get(l->s, vm)->fencing_token, vm,
			  worker_started_ms, rows, n);
}

static void add_vm(struct leader *l, const char *vm)
{
	struct sch_event ev = { .kind = SCH_EVENT_AGENT_CONNECTED, .vm = vm };

	reduce(l, &ev);
	report(l, vm, 50, NULL, 0);
}

static void init_step(struct Rp__StepSpec *step, struct Rp__Resources *need,
		      guint replicas, gint64 cpu_milli)
{
	rp__step_spec__init(step);
	rp__resources__init(need);
	need->cpu_milli = cpu_milli;
	step->need = need;
	step->replicas = replicas;
	step->estimate_ms = 1000;
}

static void call(struct leader *l, Rp__StepVerb verb, const char *path,
		 struct Rp__StepJob *job)
{
	struct Rp__StepCall body;
	struct sch_event ev = { .kind = SCH_EVENT_CALL,
				.call = &body,
				.call_ref = 1 };

	rp__step_call__init(&body);
	body.verb = verb;
	body.host = (char *)"h";
	body.path = (char *)path;
	body.job = job;
	l->status = 0;
	reduce(l, &ev);
}

static void submit(struct leader *l, const char *path,
		   struct Rp__StepSpec **steps, size_t n)
{
	struct Rp__StepJob job;

	rp__step_job__init(&job);
	job.steps = steps;
	job.n_steps = n;
	call(l, RP__STEP_VERB__STEP_VERB_SUBMIT, path, &job);
}

G_GNUC_UNUSED static struct sch_task *task(struct leader *l, const char *name)
{
	struct sch_job *job;
	struct sch_task *found = sch_job_task(l->s, name, &job);

	ck_assert_ptr_nonnull(found);
	return found;
}

/* Counts the starts, or the stops, in the orders since clear_effects(). */
G_GNUC_UNUSED static guint count_orders(struct leader *l, gboolean stops)
{
	guint n = 0;
	guint i;

	for (i = 0; i < l->effects->len; i++) {
		const struct sch_effect *e =
			&g_array_index(l->effects, struct sch_effect, i);

		if (e->kind == SCH_EFFECT_ORDERS)
			n += (guint)(stops ? e->frame->vm_orders->n_stops
					   : e->frame->vm_orders->n_starts);
	}
	return n;
}

/* Submits a job of one best-effort task with 4 CPUs. */
G_GNUC_UNUSED static void submit_best_effort(struct leader *l, const char *path)
{
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	init_step(&step, &need, 1, 4000);
	step.fills = TRUE;
	step.checkpoints = TRUE;
	step.image = (char *)"fill";
	submit(l, path, steps, 1);
}

/* Connects or disconnects the agent of vm1. */
G_GNUC_UNUSED static void set_connected(struct leader *l, gboolean connected)
{
	struct sch_event ev = {
		.kind = connected ? SCH_EVENT_AGENT_CONNECTED
				  : SCH_EVENT_AGENT_DISCONNECTED,
		.vm = "vm1",
	};

	reduce(l, &ev);
}

G_GNUC_UNUSED static void submit_one_task(struct leader *l)
{
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	init_step(&step, &need, 1, 1000);
	submit(l, "/q/a", steps, 1);
	commit(l);
}

/* The last orders in the effects, or NULL. */
G_GNUC_UNUSED static const struct Rp__VmOrders *
last_orders(const struct leader *l)
{
	guint i;

	for (i = l->effects->len; i-- > 0;) {
		const struct sch_effect *e =
			&g_array_index(l->effects, struct sch_effect, i);

		if (e->kind == SCH_EFFECT_ORDERS)
			return e->frame->vm_orders;
	}
	return NULL;
}

#endif
