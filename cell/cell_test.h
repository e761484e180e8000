#ifndef CELL_CELL_TEST_H
#define CELL_CELL_TEST_H

#include <check.h>

#include "../net/net.h"
#include "../standin/port.h"
#include "cell.h"
#include "fake_kv_test.h"

/*
 * Two entries and an agent in one event loop, over TCP on loopback, with a fake
 * key-value store. The worker is a table of runs that end after RUN_MS.
 */

#define ENTRIES 2
static const char *const entry_names[ENTRIES] = { "entry0", "entry1" };

#define TABLES_KEY "op/tables"
/** Prefix of the keys of evacuated zones, and of all watched keys. */
#define EVACUATIONS_PREFIX "op/evacuate/"
#define WATCHED_PREFIX "op/"
/** Zone of the worker. */
#define ZONE "z1"
#define RUN_MS 60

/** Longest wait for a condition. */
#define WAIT_MS 15000

/** Start time that the worker reports. */
#define WORKER_STARTED_MS 77

/** A run on the fake worker. */
struct run {
	char *task;
	guint32 attempt;
	gint64 ends_ms;
	/** Number of its end record; 0 while it runs. */
	guint64 end_number;
};

struct cell {
	struct event_base *base;
	struct fake_kv kv;
	/** Of the entries. */
	struct fake_client clients[ENTRIES];
	struct cell_entry *entries[ENTRIES];
	struct cell_agent *agent;
	/** struct run, of the worker. */
	GArray *runs;
	/** Starts that the worker has received. */
	guint starts;
	/** Stops that the worker has received; it carries none out. */
	guint stops;
	/** Number of the worker's last end record. */
	guint64 last_end;
	/** As in struct cell_entry_options. */
	gint64 evacuation_ms;
	/** The worker takes no notice of calls. */
	gboolean unresponsive;
	/** Highest fencing token that the worker has seen. */
	guint64 worker_token;
	/** The last reply to a call, if answered is TRUE. */
	guint status;
	Rp__JobState state;
	guint waiting;
	guint retry_after_s;
	gboolean answered;
	guint jobs_done;
};

/* Reads tables: a letter for the path of each route. */
static inline GPtrArray *read_tables(void *ctx G_GNUC_UNUSED, GBytes *document,
				     GError **error)
{
	gsize len;
	const char *letters = g_bytes_get_data(document, &len);
	GPtrArray *queues;
	gsize i;

	if (!len) {
		g_set_error(error, KV_ERROR, KV_ERROR_PROTOCOL, "empty");
		return NULL;
	}
	queues = g_ptr_array_new();
	for (i = 0; i < len; i++) {
		struct sch_queue *queue = sch_queue_new();

		queue->name = g_strdup_printf("queue-%c", letters[i]);
		queue->host = g_strdup("h");
		queue->path_prefix = g_strdup_printf("/%c/", letters[i]);
		queue->pool = g_strdup("pool");
		queue->max_attempts = 3;
		queue->slack_factor = 2;
		g_ptr_array_add(queues, queue);
	}
	return queues;
}

/* Sets the run lists of an answer to a lease renewal. */
static inline void set_run_lists(struct cell *cell, struct runs_answer *answer)
{
	gint64 now_ms = net_now_ms();
	guint i;

	answer->running = g_new0(struct Rp__RunRow *, cell->runs->len + 1);
	answer->ended = g_new0(struct Rp__RunEnd *, cell->runs->len + 1);
	for (i = 0; i < cell->runs->len; i++) {
		struct run *run = &g_array_index(cell->runs, struct run, i);
		struct Rp__RunName *name = g_malloc(sizeof(*name));

		rp__run_name__init(name);
		wire_set_string(&name->task, run->task);
		name->attempt = run->attempt;
		if (now_ms < run->ends_ms) {
			struct Rp__RunRow *row = g_malloc(sizeof(*row));

			rp__run_row__init(row);
			row->run = name;
			answer->running[answer->n_running++] = row;
		} else {
			struct Rp__RunEnd *end = g_malloc(sizeof(*end));

			if (!run->end_number)
				run->end_number = ++cell->last_end;
			rp__run_end__init(end);
			end->run = name;
			end->number = run->end_number;
			end->kind = RP__RUN_END_KIND__RUN_END_DONE;
			answer->ended[answer->n_ended++] = end;
		}
	}
}

/** A call without an answer. */
struct lost_call {
	struct cell *cell;
	guint64 id;
};

static inline void on_call_timeout(evutil_socket_t fd G_GNUC_UNUSED,
				   short what G_GNUC_UNUSED, void *arg)
{
	g_autofree struct lost_call *lost = arg;
	struct runs_answer answer = { .call_id = lost->id,
				      .outcome = RUNS_NO_ANSWER };

	cell_agent_worker_answered(lost->cell->agent, &answer);
}

static inline void lose_call(struct cell *cell, const struct runs_call *call)
{
	struct timeval timeout = {
		.tv_sec = call->timeout_ms / 1000,
		.tv_usec = call->timeout_ms % 1000 * 1000,
	};
	struct lost_call *lost = g_new0(struct lost_call, 1);

	lost->cell = cell;
	lost->id = call->id;
	event_base_once(cell->base, -1, EV_TIMEOUT, on_call_timeout, lost,
			&timeout);
}

static inline void call_worker(void *ctx, const struct runs_call *call)
{
	struct cell *cell = ctx;
	struct runs_answer answer = {
		.call_id = call->id,
		.clock_ms = net_now_ms(),
		.worker_started_ms = WORKER_STARTED_MS,
	};
	struct run run = {
		.attempt = call->attempt,
		.ends_ms = net_now_ms() + RUN_MS,
	};

	if (cell->unresponsive) {
		lose_call(cell, call);
		return;
	}
	if (call->fencing_token < cell->worker_token) {
		answer.outcome = RUNS_REFUSED;
		answer.reason = "fence";
		cell_agent_worker_answered(cell->agent, &answer);
		return;
	}
	cell->worker_token = call->fencing_token;
	if (call->kind == RUNS_CALL_START) {
		run.task = g_strdup(call->task);
		g_array_append_val(cell->runs, run);
		cell->starts++;
	}
	if (call->kind == RUNS_CALL_STOP)
		cell->stops++;
	if (call->kind == RUNS_CALL_RENEW_LEASE)
		set_run_lists(cell, &answer);
	cell_agent_worker_answered(cell->agent, &answer);
	runs_answer_clear(&answer);
}

static inline struct cell_entry *entry_new_sized(struct cell *cell, int index,
						 guint cpu_milli)
{
	g_autofree char *listen = g_strdup_printf("127.0.0.1:%d", port_new());
	struct cell_entry_options options = {
		.base = cell->base,
		.kv = &cell->clients[index].kv,
		.name = entry_names[index],
		.listen = listen,
		.tables_key = TABLES_KEY,
		.read_tables = read_tables,
		.max_txn_ops = 32,
		.cpu_milli = cpu_milli,
		.evacuation_ms = cell->evacuation_ms,
		.evacuations_prefix = cell->evacuation_ms ? EVACUATIONS_PREFIX
							  : NULL,
		.watched_prefix = cell->evacuation_ms ? WATCHED_PREFIX : NULL,
	};
	g_autoptr(GError) error = NULL;
	struct cell_entry *entry = cell_entry_new(&options, &error);

	ck_assert_msg(entry != NULL, "%s", error ? error->message : "");
	return entry;
}

static inline struct cell_entry *entry_new(struct cell *cell, int index)
{
	return entry_new_sized(cell, index, 0);
}

static inline void send_worker_info(struct cell *cell)
{
	struct Rp__WorkerInfo info;
	struct Rp__Resources capacity;

	rp__worker_info__init(&info);
	rp__resources__init(&capacity);
	capacity.cpu_milli = 4000;
	capacity.memory_bytes = 1 << 30;
	info.worker_id = (char *)"w1";
	info.pool = (char *)"pool";
	info.zone = (char *)ZONE;
	info.born_ms = WORKER_STARTED_MS;
	info.capacity = &capacity;
	cell_agent_set_worker(cell->agent, &info);
}

/* With zones that can be evacuated if evacuation_ms is above 0. */
static inline void setup_zones(struct cell *cell, gint64 evacuation_ms)
{
	g_autofree char *listen = g_strdup_printf("127.0.0.1:%d", port_new());
	g_autoptr(GBytes) tables = g_bytes_new_static("b", 1);
	struct cell_agent_options options = {
		.name = "vm1",
		.listen = listen,
		.call_worker = call_worker,
		.ctx = cell,
	};
	g_autoptr(GError) error = NULL;
	int i;

	memset(cell, 0, sizeof(*cell));
	cell->evacuation_ms = evacuation_ms;
	cell->base = event_base_new();
	cell->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	fake_init(&cell->kv, cell->base);
	fake_put(&cell->kv, TABLES_KEY, tables, 0);
	for (i = 0; i < ENTRIES; i++) {
		client_init(&cell->clients[i], &cell->kv);
		cell->entries[i] = entry_new(cell, i);
	}
	options.base = cell->base;
	options.kv = &cell->kv.kv;
	cell->agent = cell_agent_new(&options, &error);
	ck_assert_ptr_nonnull(cell->agent);
	send_worker_info(cell);
}

static inline void setup(struct cell *cell)
{
	setup_zones(cell, 0);
}

static inline void teardown(struct cell *cell)
{
	guint i;
	int e;

	for (e = 0; e < ENTRIES; e++)
		if (cell->entries[e])
			cell_entry_free(cell->entries[e]);
	cell_agent_free(cell->agent);
	for (i = 0; i < cell->runs->len; i++)
		g_free(g_array_index(cell->runs, struct run, i).task);
	g_array_unref(cell->runs);
	fake_clear(&cell->kv);
	event_base_free(cell->base);
}

/* Runs the event loop for this time. */
static inline void run_loop_ms(struct cell *cell, int ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = ms % 1000 * 1000 };

	event_base_loopexit(cell->base, &tv);
	event_base_dispatch(cell->base);
}

static inline void on_reply(void *ctx, const struct Rp__StepReply *reply)
{
	struct cell *cell = ctx;

	cell->answered = TRUE;
	cell->status = reply->status;
	cell->state = reply->state;
	cell->waiting = reply->waiting;
	cell->retry_after_s = reply->retry_after_s;
}

static inline void begin_call(struct cell *cell, int entry, Rp__StepVerb verb,
			      const char *path, struct Rp__StepJob *job)
{
	struct Rp__StepCall call;

	rp__step_call__init(&call);
	call.verb = verb;
	call.host = (char *)"h";
	call.path = (char *)path;
	call.job = job;
	call.timeout_ms = 3000;
	cell->answered = FALSE;
	cell_entry_call(cell->entries[entry], &call, on_reply, cell);
}

/* Waits for the reply to the call and returns its status. */
static inline guint wait_reply(struct cell *cell)
{
	while (!cell->answered)
		run_loop_ms(cell, 10);
	return cell->status;
}

/* Makes a call at the entry, waits for the reply and returns its status. */
static inline guint make_call(struct cell *cell, int entry, Rp__StepVerb verb,
			      const char *path, struct Rp__StepJob *job)
{
	begin_call(cell, entry, verb, path, job);
	return wait_reply(cell);
}

/* Submits a job of two steps, each of two tasks. */
static inline void begin_submit(struct cell *cell, int entry, const char *path)
{
	struct Rp__Resources need;
	struct Rp__StepSpec step;
	struct Rp__StepSpec *steps[] = { &step, &step };
	struct Rp__StepJob job;

	rp__resources__init(&need);
	rp__step_spec__init(&step);
	rp__step_job__init(&job);
	need.cpu_milli = 500;
	step.need = &need;
	step.replicas = 2;
	step.estimate_ms = RUN_MS;
	job.n_steps = 2;
	job.steps = steps;
	begin_call(cell, entry, RP__STEP_VERB__STEP_VERB_SUBMIT, path, &job);
}

static inline guint submit(struct cell *cell, int entry, const char *path)
{
	begin_submit(cell, entry, path);
	return wait_reply(cell);
}

static inline void wait_ready(struct cell *cell, int entry)
{
	int waited = 0;

	while (!cell_entry_is_ready(cell->entries[entry])) {
		ck_assert_int_lt(waited, WAIT_MS);
		run_loop_ms(cell, 20);
		waited += 20;
	}
}

static inline void wait_state(struct cell *cell, int entry, const char *path,
			      Rp__JobState state)
{
	int waited = 0;

	while (make_call(cell, entry, RP__STEP_VERB__STEP_VERB_STATE, path,
			 NULL) != 200 ||
	       cell->state != state) {
		ck_assert_int_lt(waited, WAIT_MS);
		run_loop_ms(cell, 50);
		waited += 50;
	}
}

/* Number of the entry that holds the leader's key; -1 if none does. */
static inline int leading_entry(const struct cell *cell)
{
	const struct fake_item *item = g_hash_table_lookup(cell->kv.items,
							   CELL_LEADER_KEY);
	const char *value;

	if (!item)
		return -1;
	value = g_bytes_get_data(item->value, NULL);
	return value[strlen("entry")] - '0';
}

/* Number of an entry that does not lead, while another one does. */
static inline int following_entry(const struct cell *cell)
{
	int leader = leading_entry(cell);

	ck_assert(leader == 0 || leader == 1);
	return 1 - leader;
}

/* Returns the registered address of a process, to be freed. */
static inline char *address_of(const struct cell *cell, const char *name)
{
	g_autofree char *key = g_strconcat(CELL_NODE_PREFIX, name, NULL);
	const struct fake_item *item = g_hash_table_lookup(cell->kv.items, key);
	g_autofree char *text = NULL;
	gsize len;
	const char *data;

	ck_assert_ptr_nonnull(item);
	data = g_bytes_get_data(item->value, &len);
	text = g_strndup(data, len);
	return g_strdup(strchr(text, ' ') + 1);
}

static inline void set_address(struct cell *cell, const char *name,
			       const char *role, const char *address)
{
	g_autofree char *key = g_strconcat(CELL_NODE_PREFIX, name, NULL);
	g_autofree char *text = g_strdup_printf("%s %s", role, address);
	g_autoptr(GBytes) value = g_bytes_new(text, strlen(text));

	cell->kv.revision++;
	fake_put(&cell->kv, key, value, 0);
}

#endif
