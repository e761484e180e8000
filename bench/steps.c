#include "steps_internal.h"

#include <event2/buffer.h>
#include <string.h>
#include <time.h>

#include "sched/sched.h"
#include "wire/wire.h"

#define FENCING_TOKEN 7
/* Unix time at 0 of the virtual clock, and the clock's first value. */
#define UNIX_MS 1700000000000
#define START_MS 100000
/* Interval of the worker's description to its agent. */
#define WORKER_HEARTBEAT_MS 1500
#define CONFIRMATION_MS 500
/* Duration of a store transaction. */
#define COMMIT_MS 5
#define LEASE_MS 7000
#define LEADERSHIP_VALID_MS 4000
#define MAX_TXN_OPS 29

/** Number of images of services and of batch jobs. */
#define SERVICE_IMAGES 10
#define BATCH_IMAGES 18

#define MAX_STEPS 5

/** A job that ends within this multiple of its objective has some value. */
#define LATE_FACTOR 3

/** Tail-latency target of a service's tasks. */
#define SERVICE_TARGET_MS 100

/** A submitted job, with its real properties. */
struct job {
	char *id;
	enum steps_kind kind;
	guint n_steps;
	/** Number of tasks of each step. */
	guint replicas;
	gint64 cpu_milli;
	/** Time that a task takes with all its CPUs; the declared duration
	 * differs from it by up to 60 %. */
	double duration_ms;
	double declared_ms;
	guint image;
	gint64 submitted_ms;
	gboolean accepted;
	gboolean ended;
	gboolean in_time;
	/** CPU-seconds. */
	double work;
};

struct vm {
	char *name;
	struct runs *runs;
	struct steps_worker worker;
	/** struct steps_call, in the order in which they were made. */
	GPtrArray *calls;
	struct evbuffer *to_leader;
	struct evbuffer *to_agent;
};

struct steps {
	const struct steps_options *options;
	struct steps_result *result;
	GRand *rand;
	gint64 now_ms;
	struct sch *sch;
	struct vm *vms;
	/** The job of call_ref n is at index n - 1. */
	GPtrArray *jobs;
	GHashTable *by_id;
	/** End of the transaction in flight, or 0. */
	gint64 commit_ms;
	/** Of the store. */
	guint64 revision;
};

/** Properties of each kind of job, as the users describe their jobs; steps to
 * duration_ms are means. */
static const struct {
	const char *queue;
	double steps;
	double replicas;
	double cpu_milli;
	double duration_ms;
	/** Objective for the time from submission to end: slack x duration of
	 * the critical path, plus objective_base_ms. */
	double slack;
	gint64 objective_base_ms;
	guint32 priority;
} kinds[STEPS_N_KINDS] = {
	[STEPS_URGENT] = { "urgent", 1.6, 9.5, 670, 1000, 1.5, 250, 0 },
	[STEPS_BATCH] = { "batch", 2.0, 20, 3500, 2700, 2.0, 1000, 2 },
	[STEPS_SERVICE] = { "service", 1, 14, 6400, 500, 2.2, 2500, 0 },
};

static double cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static void agent_reduce(struct steps *m, struct vm *vm, struct runs_event *ev)
{
	g_autoptr(GArray)
		effects = g_array_new(FALSE, FALSE, sizeof(struct runs_effect));
	guint i;

	ev->now_ms = m->now_ms;
	runs_reduce(vm->runs, ev, effects);
	for (i = 0; i < effects->len; i++) {
		struct runs_effect *e = &g_array_index(effects,
						       struct runs_effect, i);
		struct steps_call *c;

		if (e->kind == RUNS_EFFECT_REPORT) {
			wire_write(vm->to_leader, e->frame, NULL);
			runs_effect_clear(e);
			continue;
		}
		c = g_new0(struct steps_call, 1);
		c->call = e->call;
		c->at_ms = m->now_ms + STEPS_TICK_MS;
		g_ptr_array_add(vm->calls, c);
	}
}

static void end_job(struct steps *m, struct job *job)
{
	double objective_ms = kinds[job->kind].slack * job->n_steps *
				      job->duration_ms +
			      (double)kinds[job->kind].objective_base_ms;

	job->ended = TRUE;
	m->result->done[job->kind]++;
	if ((double)(m->now_ms - job->submitted_ms) > objective_ms) {
		if ((double)(m->now_ms - job->submitted_ms) <=
		    LATE_FACTOR * objective_ms)
			m->result->late[job->kind]++;
		return;
	}
	job->in_time = TRUE;
	m->result->in_time[job->kind]++;
	m->result->work_in_time[job->kind] += job->work;
}

static void note_record(struct steps *m, const struct kv_op *op)
{
	struct Rp__StepProgress *progress;
	struct job *job;
	gsize len;
	const void *data;

	if (op->kind != KV_OP_PUT)
		return;
	data = g_bytes_get_data(op->value, &len);
	m->result->record_bytes += len;
	if (!strcmp(op->key, SCH_INTERFERENCE_KEY)) {
		g_clear_pointer(&m->result->interference, g_bytes_unref);
		m->result->interference = g_bytes_ref(op->value);
	}
	if (!g_str_has_prefix(op->key, SCH_PROGRESS_PREFIX))
		return;
	progress = rp__step_progress__unpack(NULL, len, data);
	job = g_hash_table_lookup(m->by_id,
				  op->key + strlen(SCH_PROGRESS_PREFIX));
	if (job && !job->ended &&
	    progress->state == RP__JOB_STATE__JOB_STATE_DONE)
		end_job(m, job);
	rp__step_progress__free_unpacked(progress, NULL);
}

static void carry_out(struct steps *m, struct sch_effect *e)
{
	struct Rp__Frame *hello;
	struct vm *vm;
	guint i;

	switch (e->kind) {
	case SCH_EFFECT_SESSION:
		hello = wire_frame_new(RP__FRAME__BODY_LEADER_HELLO);
		hello->leader_hello->fence = e->fencing_token;
		wire_write(m->vms[atoi(e->vm + 2)].to_agent, hello, NULL);
		wire_frame_free(hello);
		break;
	case SCH_EFFECT_ORDERS:
		vm = &m->vms[atoi(e->vm + 2)];
		wire_write(vm->to_agent, e->frame, NULL);
		break;
	case SCH_EFFECT_COMMIT:
		m->commit_ms = m->now_ms + COMMIT_MS;
		m->result->commits++;
		for (i = 0; i < e->txn->ops->len; i++)
			note_record(m, &g_array_index(e->txn->ops, struct kv_op,
						      i));
		break;
	case SCH_EFFECT_REPLY:
		if (e->call_ref <= m->jobs->len && e->reply.status == 200)
			((struct job *)m->jobs->pdata[e->call_ref - 1])
				->accepted = TRUE;
		break;
	case SCH_EFFECT_READ_JOB:
		/* Only with a bound on the memory of jobs. */
		break;
	}
	sch_effect_clear(e);
}

static void leader_reduce(struct steps *m, struct sch_event *ev)
{
	g_autoptr(GArray)
		effects = g_array_new(FALSE, FALSE, sizeof(struct sch_effect));
	double before = cpu_ms();
	guint i;

	ev->now_ms = m->now_ms;
	ev->unix_ms = UNIX_MS + m->now_ms;
	sch_reduce(m->sch, ev, effects);
	m->result->leader_cpu_ms += cpu_ms() - before;
	m->result->leader_events++;
	for (i = 0; i < effects->len; i++)
		carry_out(m, &g_array_index(effects, struct sch_effect, i));
}

static gboolean renewal_answer_is_due(const struct steps *m,
				      const struct vm *vm,
				      const struct steps_call *c)
{
	return vm->worker.end_is_new ||
	       m->now_ms >= c->at_ms + c->call->wait_ms;
}

static void answer_call(struct steps *m, struct vm *vm, struct steps_call *c)
{
	struct runs_answer answer = {
		.call_id = c->call->id,
		.outcome = RUNS_OK,
		.clock_ms = m->now_ms - START_MS + 1,
		.worker_started_ms = 1,
	};
	struct runs_event ev = { .kind = RUNS_EVENT_ANSWER, .answer = &answer };
	g_autofree char *id = NULL;
	struct steps_task_spec spec = { 0 };
	const struct job *job;

	switch (c->call->kind) {
	case RUNS_CALL_START:
		id = g_strndup(c->call->task, strcspn(c->call->task, "."));
		job = g_hash_table_lookup(m->by_id, id);
		spec.kind = job->kind;
		spec.cpu_milli = job->cpu_milli;
		spec.duration_ms = job->duration_ms;
		spec.image = job->image;
		spec.target_ms = SERVICE_TARGET_MS;
		steps_worker_start(&vm->worker, c->call, &spec);
		break;
	case RUNS_CALL_STOP:
		steps_worker_stop(&vm->worker, c->call, m->now_ms);
		break;
	case RUNS_CALL_SET_CPU_SHARE:
		steps_worker_set_cpu_share(&vm->worker, c->call, m->now_ms);
		break;
	case RUNS_CALL_RENEW_LEASE:
		steps_worker_lists(&vm->worker, c->call->acked_through,
				   &answer);
		break;
	}
	agent_reduce(m, vm, &ev);
	runs_answer_clear(&answer);
}

static void answer_due_calls(struct steps *m, struct vm *vm)
{
	guint i = 0;

	while (i < vm->calls->len) {
		struct steps_call *c = vm->calls->pdata[i];

		if (m->now_ms < c->at_ms ||
		    (c->call->kind == RUNS_CALL_RENEW_LEASE &&
		     !renewal_answer_is_due(m, vm, c))) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(vm->calls, i);
		answer_call(m, vm, c);
		runs_call_free(c->call);
		g_free(c);
	}
}

static void read_reports(struct steps *m, struct vm *vm)
{
	struct Rp__Frame *frame;
	double before = cpu_ms();

	m->result->frame_bytes += evbuffer_get_length(vm->to_leader);
	while (wire_read(vm->to_leader, &frame, NULL) > 0) {
		struct sch_event ev = { .kind = SCH_EVENT_REPORT,
					.vm = vm->name,
					.report = frame->vm_report };

		m->result->leader_cpu_ms += cpu_ms() - before;
		leader_reduce(m, &ev);
		before = cpu_ms();
		wire_frame_free(frame);
	}
	m->result->leader_cpu_ms += cpu_ms() - before;
}

static void read_orders(struct steps *m, struct vm *vm)
{
	struct Rp__Frame *frame;

	m->result->frame_bytes += evbuffer_get_length(vm->to_agent);
	while (wire_read(vm->to_agent, &frame, NULL) > 0) {
		struct runs_event ev = { .kind = RUNS_EVENT_ORDERS };

		if (frame->body_case == RP__FRAME__BODY_LEADER_HELLO) {
			ev.kind = RUNS_EVENT_LEADER_CONNECTED;
			ev.fencing_token = frame->leader_hello->fence;
		} else {
			ev.orders = frame->vm_orders;
		}
		agent_reduce(m, vm, &ev);
		wire_frame_free(frame);
	}
}

static void worker_heartbeat(struct steps *m, struct vm *vm)
{
	struct Rp__WorkerInfo info;
	struct Rp__Resources capacity;
	struct runs_event ev = { .kind = RUNS_EVENT_WORKER_INFO,
				 .worker = &info };

	rp__worker_info__init(&info);
	rp__resources__init(&capacity);
	capacity.cpu_milli = m->options->cores_per_vm * 1000;
	capacity.memory_bytes = (gint64)1 << 40;
	info.capacity = &capacity;
	info.worker_id = vm->name;
	info.born_ms = 1;
	info.pool = (char *)"pool";
	info.sequence = (guint64)m->now_ms;
	agent_reduce(m, vm, &ev);
}

/* Uniform around the mean, within this fraction of it. */
static double vary(struct steps *m, double mean, double fraction)
{
	return mean * g_rand_double_range(m->rand, 1 - fraction, 1 + fraction);
}

static double mean_cpu_milli(const struct steps *m, enum steps_kind kind)
{
	const struct steps_options *options = m->options;

	if (kind == STEPS_BATCH && options->batch_cpu_milli > 0)
		return options->batch_cpu_milli;
	if (kind == STEPS_SERVICE && options->service_cpu_milli > 0)
		return options->service_cpu_milli;
	return kinds[kind].cpu_milli;
}

static double mean_duration_ms(const struct steps *m, enum steps_kind kind)
{
	return kind == STEPS_BATCH && m->options->batch_duration_ms > 0
		       ? m->options->batch_duration_ms
		       : kinds[kind].duration_ms;
}

static struct job *job_new(struct steps *m, enum steps_kind kind)
{
	struct job *job = g_new0(struct job, 1);
	double steps = vary(m, kinds[kind].steps, 0.4) + 0.5;

	g_ptr_array_add(m->jobs, job);
	job->id = g_strdup_printf("%016x", m->jobs->len);
	g_hash_table_insert(m->by_id, job->id, job);
	job->kind = kind;
	job->n_steps = CLAMP((guint)steps, 1, MAX_STEPS);
	job->replicas = MAX((guint)vary(m, kinds[kind].replicas, 0.7), 1);
	job->cpu_milli = (gint64)vary(m, mean_cpu_milli(m, kind), 0.4);
	job->duration_ms = vary(m, mean_duration_ms(m, kind), 0.5);
	job->declared_ms = vary(m, job->duration_ms, 0.6);
	job->image = (guint)g_rand_int_range(
		m->rand, 0,
		kind == STEPS_SERVICE ? SERVICE_IMAGES : BATCH_IMAGES);
	job->submitted_ms = m->now_ms;
	m->result->jobs[kind]++;
	job->work = job->n_steps * job->replicas * (double)job->cpu_milli /
		    1000 * job->duration_ms / 1000;
	m->result->work[kind] += job->work;
	return job;
}

static struct Rp__StepSpec *step_new(const struct job *job, guint number)
{
	struct Rp__StepSpec *step = g_malloc(sizeof(*step));

	rp__step_spec__init(step);
	step->need = wire_resources_dup(NULL);
	step->need->cpu_milli = job->cpu_milli;
	step->replicas = job->replicas;
	step->estimate_ms = (guint32)job->declared_ms;
	/* "lasts" marks long-running steps, "fills" best-effort ones. */
	step->lasts = job->kind == STEPS_SERVICE;
	step->fills = job->kind == STEPS_BATCH;
	step->checkpoints = step->fills;
	if (step->lasts)
		step->target_ms = SERVICE_TARGET_MS;
	if (job->kind != STEPS_URGENT)
		step->image = g_strdup_printf(
			"%s-%u", step->lasts ? "serve" : "fill", job->image);
	if (number) {
		step->n_after = 1;
		step->after = g_new0(guint32, 1);
		step->after[0] = number - 1;
	}
	return step;
}

static void submit(struct steps *m, enum steps_kind kind)
{
	struct job *job = job_new(m, kind);
	g_autofree char *path = g_strdup_printf("/%s/%s", kinds[kind].queue,
						job->id);
	struct Rp__StepJob *spec = g_malloc(sizeof(*spec));
	struct Rp__StepCall call;
	struct sch_event ev = { .kind = SCH_EVENT_CALL,
				.call = &call,
				.call_ref = m->jobs->len };
	guint i;

	rp__step_job__init(spec);
	spec->n_steps = job->n_steps;
	spec->steps = g_new0(struct Rp__StepSpec *, job->n_steps);
	for (i = 0; i < job->n_steps; i++)
		spec->steps[i] = step_new(job, i);
	rp__step_call__init(&call);
	call.verb = RP__STEP_VERB__STEP_VERB_SUBMIT;
	call.host = (char *)"h";
	call.path = path;
	call.job = spec;
	leader_reduce(m, &ev);
	rp__step_job__free_unpacked(spec, NULL);
}

static void arrivals(struct steps *m)
{
	gint64 since = m->now_ms - START_MS;
	gint64 third = m->options->run_ms / 3;
	gint64 from_ms = m->options->flood_is_first ? 0 : third;
	double flood = since >= from_ms && since < from_ms + third
			       ? m->options->flood
			       : 1;
	double tick_s = STEPS_TICK_MS / 1000.0;

	if (since >= m->options->run_ms)
		return;
	if (g_rand_double(m->rand) < m->options->urgent_per_s * tick_s)
		submit(m, STEPS_URGENT);
	if (g_rand_double(m->rand) < m->options->batch_per_s * flood * tick_s)
		submit(m, STEPS_BATCH);
	if (m->options->services_per_s > 0 &&
	    g_rand_double(m->rand) < m->options->services_per_s * tick_s)
		submit(m, STEPS_SERVICE);
}

static GPtrArray *queues_new(void)
{
	GPtrArray *queues = g_ptr_array_new();
	guint i;

	for (i = 0; i < STEPS_N_KINDS; i++) {
		struct sch_queue *queue = sch_queue_new();

		queue->name = g_strdup(kinds[i].queue);
		queue->host = g_strdup("h");
		queue->path_prefix = g_strdup_printf("/%s/", kinds[i].queue);
		queue->pool = g_strdup("pool");
		queue->priority = kinds[i].priority;
		queue->max_attempts = 3;
		queue->slack_factor = kinds[i].slack;
		queue->objective_base_ms = kinds[i].objective_base_ms;
		g_ptr_array_add(queues, queue);
	}
	return queues;
}

static void add_vm(struct steps *m, guint i)
{
	struct vm *vm = &m->vms[i];
	struct sch_event up = { .kind = SCH_EVENT_AGENT_CONNECTED };

	vm->name = g_strdup_printf("vm%u", i);
	vm->runs = runs_new();
	vm->calls = g_ptr_array_new();
	vm->to_leader = evbuffer_new();
	vm->to_agent = evbuffer_new();
	steps_worker_init(&vm->worker, m->options);
	up.vm = vm->name;
	leader_reduce(m, &up);
	worker_heartbeat(m, vm);
}

static void clear_vm(struct vm *vm)
{
	guint i;

	for (i = 0; i < vm->calls->len; i++) {
		struct steps_call *c = vm->calls->pdata[i];

		runs_call_free(c->call);
		g_free(c);
	}
	g_ptr_array_unref(vm->calls);
	evbuffer_free(vm->to_leader);
	evbuffer_free(vm->to_agent);
	steps_worker_clear(&vm->worker);
	runs_free(vm->runs);
	g_free(vm->name);
}

static void advance_vm(struct steps *m, guint i)
{
	struct vm *vm = &m->vms[i];
	struct runs_event ev = { .kind = RUNS_EVENT_TICK };

	steps_worker_tick(&vm->worker, m->now_ms, m->result);
	if ((m->now_ms + i * 2 * STEPS_TICK_MS) % WORKER_HEARTBEAT_MS == 0)
		worker_heartbeat(m, vm);
	if (m->now_ms % (2 * STEPS_TICK_MS) == 0)
		agent_reduce(m, vm, &ev);
	answer_due_calls(m, vm);
	read_reports(m, vm);
	read_orders(m, vm);
}

static void advance(struct steps *m)
{
	struct sch_event tick = { .kind = SCH_EVENT_TICK };
	struct sch_event confirmed = { .kind = SCH_EVENT_LEADERSHIP_CONFIRMED };
	struct sch_event committed = { .kind = SCH_EVENT_COMMITTED };
	guint i;

	m->now_ms += STEPS_TICK_MS;
	arrivals(m);
	for (i = 0; i < m->options->vms; i++)
		advance_vm(m, i);
	if (m->commit_ms && m->now_ms >= m->commit_ms) {
		m->commit_ms = 0;
		committed.revision = ++m->revision;
		leader_reduce(m, &committed);
	}
	if (m->now_ms % CONFIRMATION_MS == 0) {
		confirmed.confirmed_ms = m->now_ms;
		leader_reduce(m, &confirmed);
		confirmed.kind = SCH_EVENT_TABLES_CONFIRMED;
		leader_reduce(m, &confirmed);
	}
	if (m->now_ms % (2 * STEPS_TICK_MS) == 0)
		leader_reduce(m, &tick);
}

static void free_job(gpointer data)
{
	struct job *job = data;

	g_free(job->id);
	g_free(job);
}

static int compare_work(gconstpointer a, gconstpointer b)
{
	double x = (*(struct job *const *)a)->work;
	double y = (*(struct job *const *)b)->work;

	return x > y ? -1 : x < y;
}

static void count_large_jobs(const struct steps *m)
{
	g_autoptr(GPtrArray) batch = g_ptr_array_new();
	guint i;

	for (i = 0; i < m->jobs->len; i++) {
		struct job *job = m->jobs->pdata[i];

		if (job->kind == STEPS_BATCH)
			g_ptr_array_add(batch, job);
	}
	g_ptr_array_sort(batch, compare_work);
	m->result->large = batch->len / 10;
	for (i = 0; i < m->result->large; i++) {
		const struct job *job = batch->pdata[i];

		m->result->large_done += job->ended;
		m->result->large_in_time += job->in_time;
	}
}

void steps_run(const struct steps_options *options, struct steps_result *result)
{
	struct sch_options sch_options = {
		.fencing_token = FENCING_TOKEN,
		.confirmed_ms = START_MS,
		.lease_ms = LEASE_MS,
		.leadership_valid_ms = LEADERSHIP_VALID_MS,
		.max_ops = MAX_TXN_OPS,
		.retention_ms = 180000,
	};
	struct sch_event tables = { .kind = SCH_EVENT_TABLES };
	struct sch_event confirmed = { .kind = SCH_EVENT_TABLES_CONFIRMED,
				       .confirmed_ms = START_MS };
	struct steps m = {
		.options = options,
		.result = result,
		.rand = g_rand_new_with_seed(options->seed),
		.now_ms = START_MS,
		.revision = FENCING_TOKEN,
		.jobs = g_ptr_array_new_with_free_func(free_job),
		.by_id = g_hash_table_new(g_str_hash, g_str_equal),
		.vms = g_new0(struct vm, options->vms),
	};
	struct sch_stats stats;
	guint i;

	memset(result, 0, sizeof(*result));
	m.sch = sch_new(&sch_options, m.now_ms);
	if (options->interference)
		sch_load_interference(
			m.sch, g_bytes_get_data(options->interference, NULL),
			g_bytes_get_size(options->interference));
	tables.queues = queues_new();
	leader_reduce(&m, &tables);
	leader_reduce(&m, &confirmed);
	for (i = 0; i < options->vms; i++)
		add_vm(&m, i);
	for (i = 0; i < options->services; i++)
		submit(&m, STEPS_SERVICE);
	while (m.now_ms < START_MS + options->run_ms + options->settle_ms)
		advance(&m);
	sch_get_stats(m.sch, &stats);
	result->starts = stats.starts;
	count_large_jobs(&m);
	sch_free(m.sch);
	for (i = 0; i < options->vms; i++)
		clear_vm(&m.vms[i]);
	g_free(m.vms);
	g_hash_table_unref(m.by_id);
	g_ptr_array_unref(m.jobs);
	g_rand_free(m.rand);
}
