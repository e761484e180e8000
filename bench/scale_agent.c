#include "bench/scale.h"

#include <event2/buffer.h>
#include <string.h>

#include "agent/agent.h"

#define TICK_MS 10
#define REST_MS 30000
#define REQUESTS 20000
#define TASKS 2000
#define TASKS_AT_ONCE 12

struct fixture {
	struct agt *agt;
	GArray *effects;
	/* Virtual time. */
	gint64 now_ms;
	gint64 cpu_ns;
	/* Answers to effects (struct agt_event, owned with their frames). */
	GQueue *answers;
	struct evbuffer *wire;
	guint64 wire_bytes;
	guint64 worker_calls;
	struct agt_worker_task tasks[TASKS_AT_ONCE];
	char ids[TASKS_AT_ONCE][16];
	unsigned n_tasks;
	guint64 answered;
};

static struct agt_event *answer(struct fixture *f, enum agt_event_kind kind)
{
	struct agt_event *event = g_new0(struct agt_event, 1);

	event->kind = kind;
	g_queue_push_tail(f->answers, event);
	return event;
}

static void answer_frame(struct fixture *f, guint64 conn,
			 struct Rp__Frame *frame)
{
	struct agt_event *event = answer(f, AGT_EV_FRAME);

	event->frame.conn = conn;
	event->frame.frame = frame;
}

static void on_sent(struct fixture *f, const struct agt_effect *fx)
{
	struct Rp__Frame *frame;

	wire_write(f->wire, fx->send.frame, NULL);
	f->wire_bytes += evbuffer_get_length(f->wire);
	evbuffer_drain(f->wire, evbuffer_get_length(f->wire));
	if (fx->send.frame->body_case == RP__FRAME__BODY_HELLO) {
		frame = wire_frame_new(RP__FRAME__BODY_WELCOME);
		frame->welcome->entry_id = g_strdup_printf(
			"entry-%" G_GUINT64_FORMAT, fx->send.conn);
		answer_frame(f, fx->send.conn, frame);
	}
	if (fx->send.frame->body_case == RP__FRAME__BODY_GRANT_REQUEST) {
		frame = wire_frame_new(RP__FRAME__BODY_GRANT);
		frame->grant->sequence =
			fx->send.frame->grant_request->sequence;
		answer_frame(f, fx->send.conn, frame);
	}
	if (fx->send.frame->body_case == RP__FRAME__BODY_REPLY)
		f->answered++;
}

static void on_effect(struct fixture *f, const struct agt_effect *fx)
{
	struct agt_event *event;

	switch (fx->kind) {
	case AGT_FX_SEND:
		on_sent(f, fx);
		break;
	case AGT_FX_DIAL:
		event = answer(f, AGT_EV_CONNECTED);
		event->connected.conn = fx->dial.conn;
		event->connected.address = "";
		break;
	case AGT_FX_FORWARD:
		event = answer(f, AGT_EV_UPSTREAM);
		event->upstream.call = fx->forward.call;
		event->upstream.http_status = 200;
		break;
	case AGT_FX_WORKER_LIST:
		f->worker_calls++;
		event = answer(f, AGT_EV_WORKER_TASKS);
		event->worker_tasks.ok = TRUE;
		event->worker_tasks.worker_boot_id = "worker";
		event->worker_tasks.tasks = f->tasks;
		event->worker_tasks.n = f->n_tasks;
		break;
	case AGT_FX_WORKER_START:
	case AGT_FX_WORKER_LEASE:
	case AGT_FX_WORKER_CHECKPOINT:
	case AGT_FX_WORKER_STOP:
	case AGT_FX_WORKER_THROTTLE:
	case AGT_FX_WORKER_FORGET:
		f->worker_calls++;
		event = answer(f, AGT_EV_WORKER_DONE);
		event->worker_done.op = fx->worker.op;
		event->worker_done.ok = TRUE;
		event->worker_done.outcome_known = TRUE;
		break;
	default:
		break;
	}
}

static void apply(struct fixture *f, struct agt_event *event)
{
	gint64 start;
	guint i;

	event->now_ms = f->now_ms;
	start = scale_cpu_ns();
	agt_reduce(f->agt, event, f->effects);
	f->cpu_ns += scale_cpu_ns() - start;
	for (i = 0; i < f->effects->len; i++)
		on_effect(f, &g_array_index(f->effects, struct agt_effect, i));
	g_array_set_size(f->effects, 0);
}

static void apply_answers(struct fixture *f)
{
	struct agt_event *event;

	while ((event = g_queue_pop_head(f->answers)) != NULL) {
		apply(f, event);
		if (event->kind == AGT_EV_FRAME)
			wire_frame_free((struct Rp__Frame *)event->frame.frame);
		g_free(event);
	}
}

static void tick(struct fixture *f)
{
	struct agt_event event = { .kind = AGT_EV_TICK };

	f->now_ms += TICK_MS;
	apply(f, &event);
	apply_answers(f);
}

static void deliver(struct fixture *f, struct Rp__Frame *frame)
{
	answer_frame(f, 1, frame);
	apply_answers(f);
}

static void request(struct fixture *f, guint64 id)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REQUEST);

	frame->request->id = id;
	frame->request->timeout_ms = 1000;
	wire_set_string(&frame->request->pool, "checks");
	wire_set_string(&frame->request->method, "GET");
	wire_set_string(&frame->request->target, "/check");
	deliver(f, frame);
}

static void start_task(struct fixture *f, unsigned slot, unsigned n)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_TASK_START);
	struct Rp__TaskStart *start = frame->task_start;
	struct agt_committed committed;

	agt_committed(f->agt, &committed);
	g_snprintf(f->ids[slot], sizeof(f->ids[slot]), "job-%u", n);
	wire_set_string(&start->job_id, f->ids[slot]);
	start->attempt = 1;
	start->shard = 3;
	start->term = 1;
	start->session = committed.session;
	wire_set_string(&start->pool, "scores");
	wire_set_string(&start->kind, "score");
	start->resources = wire_resources_dup(NULL);
	start->resources->cpu_milli = 1000;
	f->tasks[slot] = (struct agt_worker_task){
		.job_id = f->ids[slot],
		.attempt = 1,
		.shard = 3,
		.session = committed.session,
		.state = RP__TASK_STATE__TASK_STATE_RUNNING,
		.cpu_milli = 1000,
		.pool = "scores",
	};
	deliver(f, frame);
}

static void acknowledge(struct fixture *f, const char *id)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_TASK_ACK);

	wire_set_string(&frame->task_ack->job_id, id);
	frame->task_ack->attempt = 1;
	frame->task_ack->shard = 3;
	frame->task_ack->term = 1;
	deliver(f, frame);
}

static unsigned committed_tasks(const struct fixture *f)
{
	struct agt_committed committed;

	agt_committed(f->agt, &committed);
	return committed.tasks;
}

/* Starts TASKS_AT_ONCE tasks, ends them and acknowledges their ends. */
static void round_of_tasks(struct fixture *f, unsigned first)
{
	unsigned i;

	for (i = 0; i < TASKS_AT_ONCE; i++)
		start_task(f, i, first + i);
	f->n_tasks = TASKS_AT_ONCE;
	for (i = 0; i < 100; i++)
		tick(f);
	for (i = 0; i < TASKS_AT_ONCE; i++)
		f->tasks[i].state = RP__TASK_STATE__TASK_STATE_FINISHED;
	for (i = 0; i < 100; i++)
		tick(f);
	f->n_tasks = 0;
	for (i = 0; i < TASKS_AT_ONCE; i++)
		acknowledge(f, f->ids[i]);
}

/* CPU time of ticks alone, in percent of a core, and their traffic. */
static double rest_percent(struct fixture *f, double *bytes_per_s,
			   double *worker_per_s)
{
	unsigned ms;

	f->cpu_ns = 0;
	f->wire_bytes = 0;
	f->worker_calls = 0;
	for (ms = 0; ms < REST_MS; ms += TICK_MS)
		tick(f);
	*bytes_per_s = (double)f->wire_bytes * 1000 / REST_MS;
	*worker_per_s = (double)f->worker_calls * 1000 / REST_MS;
	return (double)f->cpu_ns / 1e4 / REST_MS;
}

static void fixture_init(struct fixture *f, unsigned entries)
{
	static const char *const pools[] = { "checks", "scores" };
	char **addresses = g_new0(char *, entries + 1);
	struct agt_options options = {
		.vm = "vm-1",
		.boot_id = "boot",
		.pools = pools,
		.n_pools = 2,
		.slots = 8,
		.connections = 64,
		.cpu_milli = 64000,
		.memory_bytes = (gint64)250 << 30,
		.has_upstream = TRUE,
		.has_worker = TRUE,
		.entries = (const char *const *)addresses,
		.n_entries = entries,
		.seed = 1,
	};
	unsigned i;

	for (i = 0; i < entries; i++)
		addresses[i] = g_strdup_printf("10.0.0.%u:7", i + 1);
	f->agt = agt_new(&options);
	for (i = 0; i < 300; i++)
		tick(f);
	g_strfreev(addresses);
}

void scale_agent_run(unsigned entries, FILE *csv)
{
	struct fixture f = { .now_ms = 1000 };
	double rest, bytes, worker, busy, busy_bytes, request_us, task_us;
	gsize before = scale_heap_bytes();
	gsize memory;
	unsigned ran;
	unsigned i;

	f.effects = agt_effects_new();
	f.answers = g_queue_new();
	f.wire = evbuffer_new();
	fixture_init(&f, entries);
	memory = scale_heap_bytes() - before;
	rest = rest_percent(&f, &bytes, &worker);
	f.cpu_ns = 0;
	for (i = 0; i < REQUESTS; i++)
		request(&f, i + 1);
	request_us = (double)f.cpu_ns / 1000 / REQUESTS;
	f.cpu_ns = 0;
	for (i = 0; i < TASKS; i += TASKS_AT_ONCE)
		round_of_tasks(&f, i);
	/* The ticks between the rounds are part of the tasks' cost. */
	task_us = (double)f.cpu_ns / 1000 / i;
	for (i = 0; i < TASKS_AT_ONCE; i++)
		start_task(&f, i, TASKS + 100 + i);
	f.n_tasks = TASKS_AT_ONCE;
	ran = committed_tasks(&f);
	busy = rest_percent(&f, &busy_bytes, &worker);
	printf("agent: %2u entries: rest %.4f %% of a core, sends %.0f B/s; "
	       "with %u tasks %.4f %%, %.0f B/s, %.2f worker calls/s; "
	       "%.2f us a request (%" G_GUINT64_FORMAT
	       " answered), %.1f us a task, %zu bytes\n",
	       entries, rest, bytes, ran, busy, busy_bytes, worker, request_us,
	       f.answered, task_us, memory);
	scale_row(csv, "agent", "rest", entries, "ticks", rest,
		  "percent of a core");
	scale_row(csv, "agent", "rest", entries, "sent", bytes, "bytes per s");
	scale_row(csv, "agent", "12 tasks", entries, "ticks", busy,
		  "percent of a core");
	scale_row(csv, "agent", "12 tasks", entries, "sent", busy_bytes,
		  "bytes per s");
	scale_row(csv, "agent", "load", entries, "request", request_us, "us");
	scale_row(csv, "agent", "load", entries, "task", task_us, "us");
	scale_row(csv, "agent", "memory", entries, "state", (double)memory,
		  "bytes");
	agt_free(f.agt);
	g_array_unref(f.effects);
	g_queue_free_full(f.answers, g_free);
	evbuffer_free(f.wire);
}
