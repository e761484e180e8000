#include "bench/fleet.h"

#include <string.h>

/* Default of fleet.starts_per_s. */
#define STARTS_PER_S 850
#define TEAMS 160
#define ZONES 19
#define VMS_PER_RACK 3
#define URGENT_PERCENT 10
#define TASK_MEMORY_BYTES (G_GINT64_CONSTANT(4) << 30)
#define PAYLOAD_BYTES 256
#define RESULT_BYTES 64
/* ID of the entry's store lease. */
#define LEASE 7

/* Virtual time of a step; store calls are answered in the step after. */
#define STEP_MS 5
#define GRANT_INTERVAL_MS 5000
#define REPORT_INTERVAL_MS 1000
/* Interval of an agent's reports while nothing changes. */
#define IDLE_REPORT_INTERVAL_MS 2000

static const char *const pool_names[] = { "urgent", "matching", "publishing",
					  "scoring" };

static void feed(struct fleet *fleet, enum cost cost, struct job_event *ev);

static void task_free(gpointer data)
{
	struct task *task = data;

	g_free(task->id);
	g_free(task);
}

static void post(struct fleet *fleet, unsigned vm, struct Rp__Frame *frame)
{
	struct message message = { vm + 1, frame };

	g_array_append_val(fleet->inbox, message);
}

static struct Rp__Task *task_message(const struct task *task)
{
	static const char result[RESULT_BYTES];
	struct Rp__Task *message = g_new(struct Rp__Task, 1);

	rp__task__init(message);
	wire_set_string(&message->job_id, task->id);
	message->attempt = task->attempt;
	message->shard = task->shard;
	message->state = task->state;
	message->session = task->session;
	if (task->state == RP__TASK_STATE__TASK_STATE_FINISHED)
		wire_set_bytes(&message->result, result, sizeof(result));
	return message;
}

static void post_event(struct fleet *fleet, const struct task *task)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_TASK_EVENT);

	frame->task_event->task = task_message(task);
	frame->task_event->term = fleet->nodes[task->vm].terms[task->shard];
	post(fleet, task->vm, frame);
}

static void task_run(struct fleet *fleet, struct task *task)
{
	struct node *node = &fleet->nodes[task->vm];

	task->state = RP__TASK_STATE__TASK_STATE_RUNNING;
	task->position = fleet->running->len;
	g_ptr_array_add(fleet->running, task);
	g_ptr_array_add(node->tasks, task);
	g_hash_table_insert(fleet->tasks, task->id, task);
	node->cpu_milli += task->cpu_milli;
	node->dirty = TRUE;
}

static void task_end(struct fleet *fleet, struct task *task,
		     Rp__TaskState state)
{
	struct node *node = &fleet->nodes[task->vm];
	struct task *last;

	last = g_ptr_array_index(fleet->running, fleet->running->len - 1);
	last->position = task->position;
	g_ptr_array_remove_index_fast(fleet->running, task->position);
	task->state = state;
	node->cpu_milli -= task->cpu_milli;
	node->dirty = TRUE;
	post_event(fleet, task);
}

static void on_start(struct fleet *fleet, unsigned vm,
		     const struct Rp__TaskStart *start)
{
	struct node *node = &fleet->nodes[vm];
	struct task *task = g_new0(struct task, 1);
	gint64 *submitted = g_hash_table_lookup(fleet->submitted,
						start->job_id);
	gint64 waited;

	task->id = g_strdup(start->job_id);
	task->attempt = start->attempt;
	task->shard = start->shard;
	task->vm = vm;
	task->session = start->session;
	task->cpu_milli = start->resources->cpu_milli;
	fleet->starts++;
	if (submitted) {
		waited = fleet->now_ms - *submitted;
		g_array_append_val(fleet->urgent_ms, waited);
		g_hash_table_remove(fleet->submitted, start->job_id);
	}
	if (node->cpu_milli + task->cpu_milli > fleet->vm_cpu_milli) {
		fleet->refused++;
		task->state = RP__TASK_STATE__TASK_STATE_REFUSED;
		post_event(fleet, task);
		task_free(task);
		return;
	}
	if (fleet->faulty && !vm) {
		g_array_append_val(fleet->failed_at_ms, fleet->now_ms);
		task->state = RP__TASK_STATE__TASK_STATE_FAILED;
		post_event(fleet, task);
		task_free(task);
		return;
	}
	task_run(fleet, task);
	post_event(fleet, task);
}

static void on_term(struct fleet *fleet, unsigned vm,
		    const struct Rp__ShardTerm *term)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_TASK_LIST);
	struct Rp__TaskList *list = frame->task_list;
	struct node *node = &fleet->nodes[vm];
	guint i;

	node->terms[term->shard] = term->term;
	list->shard = term->shard;
	list->term = term->term;
	list->tasks = g_new0(struct Rp__Task *, node->tasks->len + 1);
	for (i = 0; i < node->tasks->len; i++) {
		struct task *task = g_ptr_array_index(node->tasks, i);

		if (task->shard == term->shard)
			list->tasks[list->n_tasks++] = task_message(task);
	}
	post(fleet, vm, frame);
}

static void on_frame(struct fleet *fleet, unsigned vm,
		     const struct Rp__Frame *frame)
{
	struct task *task;

	switch (frame->body_case) {
	case RP__FRAME__BODY_SHARD_TERM:
		on_term(fleet, vm, frame->shard_term);
		break;
	case RP__FRAME__BODY_TASK_START:
		on_start(fleet, vm, frame->task_start);
		break;
	case RP__FRAME__BODY_TASK_CONTROL:
		task = g_hash_table_lookup(fleet->tasks,
					   frame->task_control->job_id);
		if (!task || task->state != RP__TASK_STATE__TASK_STATE_RUNNING)
			break;
		fleet->evicted++;
		task_end(fleet, task, RP__TASK_STATE__TASK_STATE_EVICTED);
		break;
	case RP__FRAME__BODY_TASK_ACK:
		task = g_hash_table_lookup(fleet->tasks,
					   frame->task_ack->job_id);
		if (!task || task->state == RP__TASK_STATE__TASK_STATE_RUNNING)
			break;
		g_ptr_array_remove_fast(fleet->nodes[task->vm].tasks, task);
		g_hash_table_remove(fleet->tasks, task->id);
		break;
	default:
		break;
	}
}

static void run_effects(struct fleet *fleet)
{
	guint i;

	for (i = 0; i < fleet->effects->len; i++) {
		struct job_effect *fx = &g_array_index(fleet->effects,
						       struct job_effect, i);

		if (fx->kind == JOB_FX_SEND)
			on_frame(fleet, (unsigned)fx->send.conn - 1,
				 fx->send.frame);
		if (fx->kind != JOB_FX_TXN && fx->kind != JOB_FX_RANGE)
			continue;
		g_array_append_val(fleet->calls, *fx);
		if (fx->kind == JOB_FX_TXN)
			fx->txn.txn = NULL;
		else
			fx->range.prefix = NULL;
	}
	g_array_set_size(fleet->effects, 0);
}

static void feed(struct fleet *fleet, enum cost cost, struct job_event *ev)
{
	gint64 start;

	ev->now_ms = fleet->now_ms;
	ev->unix_ms = fleet->now_ms;
	start = scale_cpu_ns();
	job_reduce(fleet->job, ev, fleet->effects);
	fleet->cpu_ns[cost] += scale_cpu_ns() - start;
	fleet->events[cost]++;
	run_effects(fleet);
}

static enum cost range_cost(const char *prefix)
{
	if (g_str_has_prefix(prefix, "radishpier/fence/"))
		return COST_FENCES;
	return g_str_has_prefix(prefix, "radishpier/job/") ? COST_LOAD
							   : COST_OTHER;
}

static void answer_range(struct fleet *fleet, const struct job_effect *fx)
{
	struct job_event ev = { .kind = JOB_EV_RANGE };
	GPtrArray *pairs = g_ptr_array_new();

	fake_platform_range(fleet->platform, fx->range.prefix, fx->range.exact,
			    fx->range.min_revision, pairs);
	ev.range.id = fx->range.id;
	ev.range.status = JOB_KV_OK;
	ev.range.pairs = pairs;
	ev.range.revision = fleet->platform->revision;
	feed(fleet, range_cost(fx->range.prefix), &ev);
	g_ptr_array_unref(pairs);
}

static void answer_txn(struct fleet *fleet, const struct job_effect *fx)
{
	struct job_event ev = { .kind = JOB_EV_TXN };

	ev.txn.id = fx->txn.id;
	ev.txn.status = fake_platform_txn(fleet->platform, fx->txn.txn);
	ev.txn.revision = fleet->platform->revision;
	feed(fleet, COST_COMMIT, &ev);
}

/* Answers the store calls of the previous step. */
static void answer_calls(struct fleet *fleet)
{
	GArray *calls = fleet->calls;
	guint i;

	fleet->calls = g_array_new(FALSE, TRUE, sizeof(struct job_effect));
	for (i = 0; i < calls->len; i++) {
		struct job_effect *fx = &g_array_index(calls, struct job_effect,
						       i);

		if (fx->kind == JOB_FX_TXN) {
			answer_txn(fleet, fx);
			kv_txn_free(fx->txn.txn);
		} else {
			answer_range(fleet, fx);
			g_free(fx->range.prefix);
		}
	}
	g_array_unref(calls);
}

static enum cost frame_cost(const struct Rp__Frame *frame)
{
	switch (frame->body_case) {
	case RP__FRAME__BODY_TASK_EVENT:
		return COST_TASK_EVENT;
	case RP__FRAME__BODY_GRANT_REQUEST:
		return COST_GRANT;
	case RP__FRAME__BODY_REPORT:
		return COST_REPORT;
	case RP__FRAME__BODY_TASK_LIST:
		return COST_LIST;
	case RP__FRAME__BODY_HELLO:
		return COST_HELLO;
	default:
		return COST_OTHER;
	}
}

static void read_inbox(struct fleet *fleet)
{
	GArray *inbox = fleet->inbox;
	guint i;

	fleet->inbox = g_array_new(FALSE, FALSE, sizeof(struct message));
	for (i = 0; i < inbox->len; i++) {
		struct message *message = &g_array_index(inbox, struct message,
							 i);
		struct job_event ev = { .kind = JOB_EV_AGENT_FRAME };

		ev.agent_frame.conn = message->conn;
		ev.agent_frame.frame = message->frame;
		feed(fleet, frame_cost(message->frame), &ev);
		wire_frame_free(message->frame);
	}
	g_array_unref(inbox);
}

static void post_hello(struct fleet *fleet, unsigned vm)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_HELLO);
	struct Rp__Hello *hello = frame->hello;
	char text[32];
	unsigned i;

	wire_set_string(&hello->vm, fleet->nodes[vm].name);
	wire_set_string(&hello->agent_boot_id, "agent");
	wire_set_string(&hello->worker_boot_id, "worker");
	g_snprintf(text, sizeof(text), "zone-%u", vm % ZONES);
	wire_set_string(&hello->zone, text);
	g_snprintf(text, sizeof(text), "rack-%u", vm / VMS_PER_RACK);
	wire_set_string(&hello->rack, text);
	hello->n_pools = G_N_ELEMENTS(pool_names);
	hello->pools = g_new0(char *, G_N_ELEMENTS(pool_names));
	for (i = 0; i < G_N_ELEMENTS(pool_names); i++)
		hello->pools[i] = g_strdup(pool_names[i]);
	hello->session = 1;
	hello->capacity = wire_resources_dup(NULL);
	hello->capacity->cpu_milli = fleet->vm_cpu_milli;
	hello->capacity->memory_bytes = G_GINT64_CONSTANT(250) << 30;
	hello->capacity->accelerators = 2 + vm % 2;
	post(fleet, vm, frame);
}

static void agents_step(struct fleet *fleet)
{
	unsigned i;

	for (i = 0; i < fleet->vms; i++) {
		struct node *node = &fleet->nodes[i];
		struct Rp__Frame *frame;

		if (fleet->now_ms >= node->next_grant_ms) {
			node->next_grant_ms += GRANT_INTERVAL_MS;
			frame = wire_frame_new(RP__FRAME__BODY_GRANT_REQUEST);
			frame->grant_request->sequence = ++node->sequence;
			frame->grant_request->session = 1;
			post(fleet, i, frame);
		}
		if (fleet->now_ms < node->report_after_ms ||
		    (!node->dirty &&
		     fleet->now_ms < node->report_after_ms -
					     REPORT_INTERVAL_MS +
					     IDLE_REPORT_INTERVAL_MS))
			continue;
		node->dirty = FALSE;
		node->report_after_ms = fleet->now_ms + REPORT_INTERVAL_MS;
		frame = wire_frame_new(RP__FRAME__BODY_REPORT);
		frame->report->session = 1;
		frame->report->committed = wire_resources_dup(NULL);
		frame->report->committed->cpu_milli = node->cpu_milli;
		frame->report->committed->memory_bytes = node->cpu_milli /
							 FLEET_TASK_CPU_MILLI *
							 TASK_MEMORY_BYTES;
		wire_set_string(&frame->report->worker_boot_id, "worker");
		post(fleet, i, frame);
	}
}

static void submit(struct fleet *fleet, GBytes *payload)
{
	struct job_event ev = { .kind = JOB_EV_SUBMIT };
	struct job_spec *spec = &ev.submit.spec;
	char *id = job_id_new(NULL, fleet->random);
	unsigned pool = 0;
	char team[16];
	char kind[16];
	gint64 *at;

	if (g_rand_int_range(fleet->random, 0, 100) >= URGENT_PERCENT)
		pool = (unsigned)g_rand_int_range(
			fleet->random, 1, (gint32)G_N_ELEMENTS(pool_names));
	else {
		at = g_new(gint64, 1);
		*at = fleet->now_ms;
		g_hash_table_insert(fleet->submitted, g_strdup(id), at);
	}
	g_snprintf(kind, sizeof(kind), "/%s", pool_names[pool]);
	g_snprintf(team, sizeof(team), "team-%d",
		   g_rand_int_range(fleet->random, 0, TEAMS));
	ev.submit.handle = ++fleet->last_handle;
	ev.submit.job_id = id;
	spec->kind = kind;
	spec->team = team;
	spec->cpu_milli = FLEET_TASK_CPU_MILLI / 2 *
			  g_rand_int_range(fleet->random, 1, 4);
	spec->memory_bytes = TASK_MEMORY_BYTES;
	spec->payload = payload;
	feed(fleet, COST_SUBMIT, &ev);
	g_free(id);
}

static void step(struct fleet *fleet, unsigned starts, GBytes *payload)
{
	struct job_event tick = { .kind = JOB_EV_TICK };
	unsigned i;

	fleet->now_ms += STEP_MS;
	feed(fleet, COST_TICK, &tick);
	answer_calls(fleet);
	for (i = 0; i < starts; i++)
		submit(fleet, payload);
	for (i = 0; i < starts && fleet->running->len; i++)
		task_end(fleet,
			 g_ptr_array_index(
				 fleet->running,
				 g_rand_int_range(fleet->random, 0,
						  (gint32)fleet->running->len)),
			 RP__TASK_STATE__TASK_STATE_FINISHED);
	read_inbox(fleet);
	agents_step(fleet);
}

static struct cfg_tables *tables_new(void)
{
	static struct cfg_pool pools[] = {
		{ .name = "matching",
		  .class = CFG_CLASS_BATCH,
		  .priority = 50 },
		{ .name = "publishing",
		  .class = CFG_CLASS_BATCH,
		  .priority = 60 },
		{ .name = "scoring", .class = CFG_CLASS_BATCH, .priority = 70 },
		{ .name = "urgent", .class = CFG_CLASS_BATCH, .priority = 1 },
	};
	static struct cfg_route routes[] = {
		{ "JOB", "*", "/publishing", "publishing" },
		{ "JOB", "*", "/matching", "matching" },
		{ "JOB", "*", "/scoring", "scoring" },
		{ "JOB", "*", "/urgent", "urgent" },
	};
	struct cfg_tables *tables = g_new0(struct cfg_tables, 1);
	unsigned i;

	tables->generation = 1;
	tables->pools = g_ptr_array_new();
	tables->routes = g_ptr_array_new();
	for (i = 0; i < G_N_ELEMENTS(pools); i++)
		g_ptr_array_add(tables->pools, &pools[i]);
	for (i = 0; i < G_N_ELEMENTS(routes); i++)
		g_ptr_array_add(tables->routes, &routes[i]);
	return tables;
}

struct fleet *fleet_new(unsigned vms, gint64 vm_cpu_milli,
			gboolean no_quarantine)
{
	static const char *const ids[] = { "entry" };
	struct job_options options = { .entry_id = "entry",
				       .seed = 1,
				       .max_active = 1000000,
				       .no_quarantine = no_quarantine };
	struct fleet *fleet = g_new0(struct fleet, 1);
	struct job_event ev = { .kind = JOB_EV_TABLES };
	unsigned i;

	fleet->platform = fake_platform_new();
	fleet->job = job_new(&options);
	fleet->effects = job_effects_new();
	fleet->random = g_rand_new_with_seed(2);
	fleet->now_ms = 1000;
	fleet->vms = vms;
	fleet->starts_per_s = STARTS_PER_S;
	fleet->vm_cpu_milli = vm_cpu_milli;
	fleet->nodes = g_new0(struct node, vms + 1);
	fleet->calls = g_array_new(FALSE, TRUE, sizeof(struct job_effect));
	fleet->inbox = g_array_new(FALSE, FALSE, sizeof(struct message));
	fleet->tasks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     task_free);
	fleet->running = g_ptr_array_new();
	fleet->submitted = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, g_free);
	fleet->urgent_ms = g_array_new(FALSE, FALSE, sizeof(gint64));
	fleet->failed_at_ms = g_array_new(FALSE, FALSE, sizeof(gint64));
	fleet->tables = tables_new();
	for (i = 0; i < vms; i++) {
		struct node *node = &fleet->nodes[i];

		g_snprintf(node->name, sizeof(node->name), "vm-%u", i);
		node->tasks = g_ptr_array_new();
		node->next_grant_ms = fleet->now_ms + i % GRANT_INTERVAL_MS;
	}
	ev.tables.tables = fleet->tables;
	feed(fleet, COST_OTHER, &ev);
	ev = (struct job_event){ .kind = JOB_EV_ENTRIES };
	ev.entries.ids = ids;
	ev.entries.n = 1;
	feed(fleet, COST_OTHER, &ev);
	return fleet;
}

void fleet_free(struct fleet *fleet)
{
	unsigned i;

	for (i = 0; i < fleet->calls->len; i++) {
		struct job_effect *fx = &g_array_index(fleet->calls,
						       struct job_effect, i);

		if (fx->kind == JOB_FX_TXN)
			kv_txn_free(fx->txn.txn);
		else
			g_free(fx->range.prefix);
	}
	for (i = 0; i < fleet->inbox->len; i++)
		wire_frame_free(
			g_array_index(fleet->inbox, struct message, i).frame);
	for (i = 0; i < fleet->vms; i++)
		g_ptr_array_unref(fleet->nodes[i].tasks);
	job_free(fleet->job);
	g_array_unref(fleet->effects);
	g_array_unref(fleet->calls);
	g_array_unref(fleet->inbox);
	g_ptr_array_unref(fleet->running);
	g_hash_table_unref(fleet->tasks);
	g_hash_table_unref(fleet->submitted);
	g_array_unref(fleet->urgent_ms);
	g_array_unref(fleet->failed_at_ms);
	g_ptr_array_unref(fleet->tables->pools);
	g_ptr_array_unref(fleet->tables->routes);
	g_free(fleet->tables);
	fake_platform_free(fleet->platform);
	g_rand_free(fleet->random);
	g_free(fleet->nodes);
	g_free(fleet);
}

char *fleet_store_record(struct fleet *fleet, Rp__JobState state, unsigned vm)
{
	struct Rp__JobRecord *rec = g_new(struct Rp__JobRecord, 1);
	char *id = job_id_new(NULL, fleet->random);
	char *key = g_strdup_printf("radishpier/job/%02u/%s", job_shard(id),
				    id);
	unsigned pool = (unsigned)g_rand_int_range(
		fleet->random, 1, (gint32)G_N_ELEMENTS(pool_names));
	GBytes *value;
	char text[32];
	size_t len;

	rp__job_record__init(rec);
	wire_set_string(&rec->job_id, id);
	rec->state = state;
	rec->attempt = 1;
	g_snprintf(text, sizeof(text), "/%s", pool_names[pool]);
	wire_set_string(&rec->kind, text);
	wire_set_string(&rec->pool, pool_names[pool]);
	g_snprintf(text, sizeof(text), "team-%d",
		   g_rand_int_range(fleet->random, 0, TEAMS));
	wire_set_string(&rec->team, text);
	rec->resources = wire_resources_dup(NULL);
	rec->resources->cpu_milli = FLEET_TASK_CPU_MILLI;
	rec->resources->memory_bytes = TASK_MEMORY_BYTES;
	rec->submitted_unix_ms = 1;
	if (state != RP__JOB_STATE__JOB_STATE_QUEUED) {
		wire_set_string(&rec->vm, fleet->nodes[vm].name);
		rec->session = 1;
		wire_set_string(&rec->worker_boot_id, "worker");
	}
	len = rp__job_record__get_packed_size(rec);
	value = g_bytes_new_take(g_malloc(len), len);
	rp__job_record__pack(rec, (uint8_t *)g_bytes_get_data(value, NULL));
	fleet->platform->revision++;
	fake_platform_put(fleet->platform, key, value, 0);
	g_bytes_unref(value);
	rp__job_record__free_unpacked(rec, NULL);
	g_free(key);
	return id;
}

void fleet_store_running(struct fleet *fleet, unsigned vm)
{
	struct task *task = g_new0(struct task, 1);

	task->id = fleet_store_record(fleet, RP__JOB_STATE__JOB_STATE_RUNNING,
				      vm);
	task->attempt = 1;
	task->shard = job_shard(task->id);
	task->vm = vm;
	task->session = 1;
	task->cpu_milli = FLEET_TASK_CPU_MILLI;
	task_run(fleet, task);
}

void fleet_lease(struct fleet *fleet)
{
	struct job_event ev = { .kind = JOB_EV_LEASE };

	ev.lease.lease = LEASE;
	feed(fleet, COST_OTHER, &ev);
}

void fleet_idle(struct fleet *fleet, unsigned steps)
{
	while (steps--)
		step(fleet, 0, NULL);
}

void fleet_hello(struct fleet *fleet, unsigned vm)
{
	post_hello(fleet, vm);
	read_inbox(fleet);
}

void fleet_start(struct fleet *fleet)
{
	unsigned i;

	fleet_lease(fleet);
	fleet_idle(fleet, 20);
	/* As agents do, the first report follows the Hello immediately. */
	for (i = 0; i < fleet->vms; i++) {
		post_hello(fleet, i);
		fleet->nodes[i].dirty = TRUE;
		fleet->nodes[i].report_after_ms = 0;
	}
	fleet_idle(fleet, 5);
}

void fleet_run(struct fleet *fleet, unsigned duration_ms)
{
	char *zeros = g_malloc0(PAYLOAD_BYTES);
	GBytes *payload = g_bytes_new_take(zeros, PAYLOAD_BYTES);
	double due = 0;
	unsigned ms;

	for (ms = 0; ms < duration_ms; ms += STEP_MS) {
		unsigned n;

		due += fleet->starts_per_s * STEP_MS / 1000.0;
		n = (unsigned)due;
		due -= n;
		step(fleet, n, payload);
	}
	g_bytes_unref(payload);
}

void fleet_reset_counts(struct fleet *fleet)
{
	memset(fleet->cpu_ns, 0, sizeof(fleet->cpu_ns));
	memset(fleet->events, 0, sizeof(fleet->events));
	fleet->starts = 0;
	fleet->platform->txns = 0;
	fleet->platform->reads = 0;
	fleet->platform->bytes_written = 0;
	fleet->platform->bytes_read = 0;
	g_array_set_size(fleet->urgent_ms, 0);
}
