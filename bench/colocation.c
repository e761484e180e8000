#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "bench/colocation_internal.h"

#define TICK_MS 50
/* Duration of a store call. */
#define STORE_MS 5
#define REQUEST_TIMEOUT_MS 5000

const char *const colocation_services[COLOCATION_SERVICES] = { "first",
							       "second" };

static void event_free(gpointer data)
{
	struct event *event = data;

	wire_frame_free(event->frame);
	if (event->kind == EV_KV && event->call.kind == JOB_FX_TXN)
		kv_txn_free(event->call.txn.txn);
	else if (event->kind == EV_KV)
		g_free(event->call.range.prefix);
	g_free(event);
}

static int compare_events(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct event *x = a;
	const struct event *y = b;

	(void)ctx;
	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

struct event *colocation_post(struct colocation *c, enum event_kind kind,
			      unsigned vm, gint64 delay_ms)
{
	struct event *event = g_new0(struct event, 1);

	event->kind = kind;
	event->vm = vm;
	event->at_ms = c->now_ms + delay_ms;
	event->sequence = ++c->sequence;
	g_sequence_insert_sorted(c->queue, event, compare_events, NULL);
	return event;
}

/*
 * The key-value store. It is always available, and comparisons are not checked:
 * they always hold, as only one entry uses it.
 */

static void store_put(struct colocation *c, const struct kv_op *op)
{
	struct kv_pair *old = g_hash_table_lookup(c->store, op->key);
	struct kv_pair *pair = g_new0(struct kv_pair, 1);

	pair->key = g_strdup(op->key);
	pair->value = g_bytes_ref(op->value);
	pair->lease = op->lease;
	pair->mod_revision = c->revision;
	pair->create_revision = old ? old->create_revision : c->revision;
	g_hash_table_replace(c->store, pair->key, pair);
}

static void on_kv(struct colocation *c, const struct event *event)
{
	g_autoptr(GPtrArray) pairs = g_ptr_array_new();
	struct job_event ev = { 0 };
	GHashTableIter iter;
	struct kv_pair *pair;
	guint i;

	if (event->call.kind == JOB_FX_TXN) {
		c->revision++;
		for (i = 0; i < event->call.txn.txn->ops->len; i++) {
			const struct kv_op *op = &g_array_index(
				event->call.txn.txn->ops, struct kv_op, i);

			if (op->kind == KV_OP_PUT)
				store_put(c, op);
			else
				g_hash_table_remove(c->store, op->key);
		}
		ev.kind = JOB_EV_TXN;
		ev.txn.id = event->call.txn.id;
		ev.txn.revision = c->revision;
	} else {
		const char *prefix = event->call.range.prefix;

		g_hash_table_iter_init(&iter, c->store);
		while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pair))
			if (pair->mod_revision >=
				    event->call.range.min_revision &&
			    (event->call.range.exact
				     ? !strcmp(pair->key, prefix)
				     : g_str_has_prefix(pair->key, prefix)))
				g_ptr_array_add(pairs, pair);
		ev.kind = JOB_EV_RANGE;
		ev.range.id = event->call.range.id;
		ev.range.pairs = pairs;
		ev.range.revision = c->revision;
	}
	ev.now_ms = c->now_ms;
	job_reduce(c->job, &ev, c->job_fx);
}

static void run_job_effects(struct colocation *c)
{
	guint i;

	for (i = 0; i < c->job_fx->len; i++) {
		struct job_effect *fx = &g_array_index(c->job_fx,
						       struct job_effect, i);
		struct event *event;

		if (fx->kind == JOB_FX_SEND) {
			event = colocation_post(c, EV_TO_AGENT,
						(unsigned)fx->send.conn - 1,
						LINK_MS);
			event->frame = fx->send.frame;
			fx->send.frame = NULL;
		} else if (fx->kind == JOB_FX_TXN || fx->kind == JOB_FX_RANGE) {
			event = colocation_post(c, EV_KV, 0, STORE_MS);
			event->call = *fx;
			if (fx->kind == JOB_FX_TXN)
				fx->txn.txn = NULL;
			else
				fx->range.prefix = NULL;
		}
	}
	g_array_set_size(c->job_fx, 0);
}

static void feed_job(struct colocation *c, struct job_event *ev)
{
	ev->now_ms = c->now_ms;
	ev->unix_ms = c->now_ms;
	job_reduce(c->job, ev, c->job_fx);
	run_job_effects(c);
}

static void on_connected(struct colocation *c, struct vm *vm)
{
	struct agt_event event = { .kind = AGT_EV_CONNECTED };
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_WELCOME);

	event.connected.conn = vm->conn;
	event.connected.address = "entry";
	colocation_feed_agent(c, vm, &event);
	wire_set_string(&frame->welcome->entry_id, "e1");
	colocation_feed_frame(c, vm, frame);
	wire_frame_free(frame);
	frame = wire_tables_update_new(c->tables_bytes);
	colocation_feed_frame(c, vm, frame);
	wire_frame_free(frame);
}

static void on_arrival(struct colocation *c, const struct event *event)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REQUEST);
	double rate = c->options.requests_per_s * colocation_load(c, event->vm);
	struct event *next;

	next = colocation_post(
		c, EV_ARRIVAL, event->vm,
		(gint64)(-log(1 - g_rand_double(c->random)) * 1000 / rate));
	next->service = event->service;
	frame->request->id = ++c->last_request;
	frame->request->timeout_ms = REQUEST_TIMEOUT_MS;
	frame->request->tables_generation = 1;
	wire_set_string(&frame->request->pool,
			colocation_services[event->service]);
	colocation_feed_frame(c, &c->vms[event->vm], frame);
	wire_frame_free(frame);
}

static void on_tick(struct colocation *c)
{
	struct job_event ev = { .kind = JOB_EV_TICK };
	unsigned v;

	for (v = 0; v < COLOCATION_VMS; v++) {
		struct agt_event event = { .kind = AGT_EV_TICK };
		struct agt_committed committed;

		colocation_advance(c, &c->vms[v]);
		colocation_feed_agent(c, &c->vms[v], &event);
		agt_committed(c->vms[v].agt, &committed);
		c->overcommitted += committed.cpu_milli >
				    c->options.vm_cpu_milli;
	}
	feed_job(c, &ev);
	colocation_post(c, EV_TICK, 0, TICK_MS);
}

static void dispatch(struct colocation *c, struct event *event)
{
	struct vm *vm = &c->vms[event->vm];
	struct agt_event to_agent = { 0 };
	struct job_event to_job = { 0 };

	switch (event->kind) {
	case EV_TICK:
		on_tick(c);
		break;
	case EV_TO_ENTRY:
		to_job.kind = JOB_EV_AGENT_FRAME;
		to_job.agent_frame.conn = vm->index + 1;
		to_job.agent_frame.frame = event->frame;
		if (event->frame->body_case != RP__FRAME__BODY_REPLY)
			feed_job(c, &to_job);
		break;
	case EV_TO_AGENT:
		colocation_feed_frame(c, vm, event->frame);
		break;
	case EV_CONNECTED:
		on_connected(c, vm);
		break;
	case EV_KV:
		on_kv(c, event);
		run_job_effects(c);
		break;
	case EV_LIST:
		colocation_list(c, vm);
		break;
	case EV_WORKER:
		to_agent.kind = AGT_EV_WORKER_DONE;
		to_agent.worker_done.op = event->id;
		to_agent.worker_done.ok = TRUE;
		to_agent.worker_done.outcome_known = TRUE;
		to_agent.worker_done.checkpoint = "saved";
		colocation_feed_agent(c, vm, &to_agent);
		break;
	case EV_ANSWER:
		to_agent.kind = AGT_EV_UPSTREAM;
		to_agent.upstream.call = event->id;
		to_agent.upstream.status = AGT_UPSTREAM_ANSWERED;
		to_agent.upstream.http_status = 200;
		colocation_feed_agent(c, vm, &to_agent);
		break;
	case EV_ARRIVAL:
		on_arrival(c, event);
		break;
	}
}

void colocation_run(struct colocation *c, gint64 until_ms)
{
	while (g_sequence_get_length(c->queue)) {
		GSequenceIter *first = g_sequence_get_begin_iter(c->queue);
		struct event *event = g_sequence_get(first);

		if (event->at_ms > until_ms)
			break;
		c->now_ms = event->at_ms;
		dispatch(c, event);
		g_sequence_remove(first);
	}
	c->now_ms = until_ms;
}

static void start_tables(struct colocation *c)
{
	struct cfg_pool batch = { .name = (char *)"batch",
				  .class = CFG_CLASS_BATCH,
				  .priority = 50,
				  .max_cpu_milli =
					  c->options.batch_max_cpu_milli };
	struct cfg_pool rows[COLOCATION_SERVICES] = { 0 };
	struct cfg_route route = { .method = (char *)"JOB",
				   .host = (char *)"*",
				   .path_prefix = (char *)"/",
				   .pool = (char *)"batch",
				   .timeout_ms = 1000 };
	struct cfg_tables doc = { .generation = 1,
				  .incarnation = (char *)"1",
				  .author = (char *)"bench",
				  .applied_unix_ms = 1 };
	unsigned s;

	doc.pools = g_ptr_array_new();
	doc.routes = g_ptr_array_new();
	g_ptr_array_add(doc.pools, &batch);
	for (s = 0; s < COLOCATION_SERVICES; s++) {
		rows[s].name = (char *)colocation_services[s];
		rows[s].class = CFG_CLASS_LATENCY_CRITICAL;
		g_ptr_array_add(doc.pools, &rows[s]);
	}
	g_ptr_array_add(doc.routes, &route);
	c->tables_bytes = cfg_tables_encode(&doc);
	g_ptr_array_free(doc.pools, TRUE);
	g_ptr_array_free(doc.routes, TRUE);
	c->tables = cfg_tables_decode(g_bytes_get_data(c->tables_bytes, NULL),
				      g_bytes_get_size(c->tables_bytes), NULL);
	g_assert(c->tables);
}

/* The first service runs on VMs 0 to 7, the second one on VMs 6 to 10. */
static void start_vm(struct colocation *c, unsigned v)
{
	static const char *const entry = "entry:1";
	const char *pools[] = { "batch", NULL, NULL };
	struct vm *vm = &c->vms[v];
	char rack[8];
	struct agt_options options = {
		.vm = vm->name,
		.zone = "zone-a",
		.rack = rack,
		.boot_id = "a1",
		.pools = pools,
		.n_pools = 1,
		.slots = 64,
		.connections = 64,
		.cpu_milli = c->options.vm_cpu_milli,
		.memory_bytes = c->options.vm_memory_bytes,
		.has_upstream = TRUE,
		.has_worker = TRUE,
		.entries = &entry,
		.n_entries = 1,
		.seed = c->options.seed + v,
		.interference = c->options.agent,
	};
	unsigned s;

	vm->index = v;
	g_snprintf(vm->name, sizeof(vm->name), "v%u", v);
	g_snprintf(rack, sizeof(rack), "r%u", v / 3);
	vm->tasks = g_ptr_array_new_with_free_func(g_free);
	vm->has_service[0] = v < 8 || c->options.one_service;
	vm->has_service[1] = v >= 6 && !c->options.one_service;
	for (s = 0; s < COLOCATION_SERVICES; s++) {
		if (!vm->has_service[s])
			continue;
		pools[options.n_pools++] = colocation_services[s];
		if (c->options.requests_per_s > 0)
			colocation_post(c, EV_ARRIVAL, v, 500 + v)->service = s;
	}
	vm->agt = agt_new(&options);
}

struct colocation *colocation_new(const struct colocation_options *options)
{
	struct colocation *c = g_new0(struct colocation, 1);
	static const char *const ids[] = { "e1" };
	struct job_options jobs = options->jobs;
	struct job_event ev = { .kind = JOB_EV_TABLES };
	unsigned v;

	c->options = *options;
	c->random = g_rand_new_with_seed(options->seed);
	c->queue = g_sequence_new(event_free);
	c->store = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 (GDestroyNotify)kv_pair_free);
	c->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	c->latencies = g_array_new(FALSE, FALSE, sizeof(double));
	c->job_fx = job_effects_new();
	start_tables(c);
	jobs.entry_id = "e1";
	jobs.seed = options->seed;
	c->job = job_new(&jobs);
	c->now_ms = 1;
	for (v = 0; v < COLOCATION_VMS; v++)
		start_vm(c, v);
	ev.tables.tables = c->tables;
	feed_job(c, &ev);
	ev = (struct job_event){ .kind = JOB_EV_LEASE, .lease.lease = 1 };
	feed_job(c, &ev);
	ev = (struct job_event){ .kind = JOB_EV_ENTRIES };
	ev.entries.ids = ids;
	ev.entries.n = 1;
	feed_job(c, &ev);
	colocation_post(c, EV_TICK, 0, TICK_MS);
	return c;
}

void colocation_free(struct colocation *c)
{
	GHashTableIter iter;
	struct colocation_job *job;
	unsigned v;

	for (v = 0; v < COLOCATION_VMS; v++) {
		agt_free(c->vms[v].agt);
		g_ptr_array_unref(c->vms[v].tasks);
	}
	job_free(c->job);
	g_array_unref(c->job_fx);
	g_sequence_free(c->queue);
	g_hash_table_unref(c->store);
	g_hash_table_iter_init(&iter, c->jobs);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
		g_free(job->id);
		g_free(job->team);
		g_free(job);
	}
	g_hash_table_unref(c->jobs);
	g_array_unref(c->latencies);
	cfg_tables_free(c->tables);
	g_bytes_unref(c->tables_bytes);
	g_rand_free(c->random);
	g_free(c);
}

struct colocation_job *
colocation_submit(struct colocation *c, unsigned kind, const char *team,
		  gint64 cpu_milli, gint64 memory_bytes, gint64 duration_ms,
		  gint64 declared_cpu_milli, gint64 declared_memory_bytes)
{
	struct colocation_job *job = g_new0(struct colocation_job, 1);
	struct job_event ev = { .kind = JOB_EV_SUBMIT };

	job->id = job_id_new(NULL, c->random);
	job->team = g_strdup(team);
	job->kind = kind;
	job->cpu_milli = cpu_milli;
	job->memory_bytes = memory_bytes;
	job->duration_ms = duration_ms;
	job->submitted_ms = c->now_ms;
	g_hash_table_insert(c->jobs, job->id, job);
	ev.submit.handle = ++c->last_request;
	ev.submit.job_id = job->id;
	ev.submit.spec.kind = c->options.kinds[kind].name;
	ev.submit.spec.team = team;
	ev.submit.spec.idempotency_key = "";
	ev.submit.spec.cpu_milli = declared_cpu_milli;
	ev.submit.spec.memory_bytes = declared_memory_bytes;
	feed_job(c, &ev);
	return job;
}

void colocation_cancel(struct colocation *c, struct colocation_job *job)
{
	struct job_event ev = { .kind = JOB_EV_CANCEL };

	job->cancelled = TRUE;
	ev.query.handle = ++c->last_request;
	ev.query.job_id = job->id;
	feed_job(c, &ev);
}

gint64 colocation_team_cpu(const struct colocation *c, const char *team)
{
	gint64 sum = 0;
	unsigned v;
	guint i;

	for (v = 0; v < COLOCATION_VMS; v++)
		for (i = 0; i < c->vms[v].tasks->len; i++) {
			const struct task *task =
				g_ptr_array_index(c->vms[v].tasks, i);

			if (task->state == RP__TASK_STATE__TASK_STATE_RUNNING &&
			    (!team || !strcmp(task->job->team, team)))
				sum += task->cpu_milli;
		}
	return sum;
}

void colocation_measure_from(struct colocation *c, gint64 from_ms)
{
	c->measure_from_ms = from_ms;
}

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double quantile(const GArray *sorted, double q)
{
	guint i = (guint)(q * sorted->len);

	return sorted->len
		       ? g_array_index(sorted, double, MIN(i, sorted->len - 1))
		       : 0;
}

void colocation_result(struct colocation *c, struct colocation_result *result)
{
	unsigned v;

	*result = (struct colocation_result){ 0 };
	g_array_sort(c->latencies, compare_double);
	result->p50_ms = quantile(c->latencies, 0.5);
	result->p99_ms = quantile(c->latencies, 0.99);
	result->p999_ms = quantile(c->latencies, 0.999);
	result->requests = c->latencies->len;
	result->work_cpu_s = c->work_cpu_ms / 1000;
	result->finished = c->finished;
	result->overcommitted = c->overcommitted;
	job_stats(c->job, &result->stats);
	result->evictions = result->stats.evicted;
	for (v = 0; v < COLOCATION_VMS; v++) {
		struct agt_committed committed;

		agt_committed(c->vms[v].agt, &committed);
		result->interference_evictions += committed.evictions;
		result->throttled_s += (double)committed.throttled_ms / 1000;
	}
}
