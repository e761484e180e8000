#include <check.h>
#include <event2/util.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "../net/net.h"
#include "../standin/port.h"
#include "cell.h"
#include "fake_kv_test.h"
#include "tests/fixture.h"

/*
 * Two entries and an agent in one event loop, over TCP on loopback, with a fake
 * key-value store. The worker is a table of runs that end after RUN_MS.
 */

#define ENTRIES 2
#define TABLES_KEY "tables"
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
	struct cell_entry *entries[ENTRIES];
	struct cell_agent *agent;
	/** struct run, of the worker. */
	GArray *runs;
	/** Starts that the worker has received. */
	guint starts;
	/** Number of the worker's last end record. */
	guint64 last_end;
	/** The worker takes no notice of calls. */
	gboolean unresponsive;
	/** Highest fencing token that the worker has seen. */
	guint64 worker_token;
	/** The last reply to a call, if answered is TRUE. */
	guint status;
	Rp__JobState state;
	guint waiting;
	gboolean answered;
	guint jobs_done;
};

static GPtrArray *read_tables(void *ctx G_GNUC_UNUSED, GBytes *document,
			      GError **error)
{
	GPtrArray *queues;
	struct sch_queue *queue;

	if (g_bytes_get_size(document) == 0) {
		g_set_error(error, KV_ERROR, KV_ERROR_PROTOCOL, "empty");
		return NULL;
	}
	queues = g_ptr_array_new();
	queue = sch_queue_new();
	queue->name = g_strdup("batch");
	queue->host = g_strdup("h");
	queue->path_prefix = g_strdup("/b/");
	queue->pool = g_strdup("pool");
	queue->max_attempts = 3;
	queue->slack_factor = 2;
	g_ptr_array_add(queues, queue);
	return queues;
}

/* Sets the run lists of an answer to a lease renewal. */
static void set_run_lists(struct cell *cell, struct runs_answer *answer)
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

static void on_call_timeout(evutil_socket_t fd G_GNUC_UNUSED,
			    short what G_GNUC_UNUSED, void *arg)
{
	g_autofree struct lost_call *lost = arg;
	struct runs_answer answer = { .call_id = lost->id,
				      .outcome = RUNS_NO_ANSWER };

	cell_agent_worker_answered(lost->cell->agent, &answer);
}

static void lose_call(struct cell *cell, const struct runs_call *call)
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

static void call_worker(void *ctx, const struct runs_call *call)
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
	if (call->kind == RUNS_CALL_RENEW_LEASE)
		set_run_lists(cell, &answer);
	cell_agent_worker_answered(cell->agent, &answer);
	runs_answer_clear(&answer);
}

static struct cell_entry *entry_new_sized(struct cell *cell, int index,
					  guint cpu_milli)
{
	g_autofree char *name = g_strdup_printf("entry%d", index);
	g_autofree char *listen = g_strdup_printf("127.0.0.1:%d", port_new());
	struct cell_entry_options options = {
		.base = cell->base,
		.kv = &cell->kv.kv,
		.name = name,
		.listen = listen,
		.tables_key = TABLES_KEY,
		.read_tables = read_tables,
		.max_txn_ops = 32,
		.cpu_milli = cpu_milli,
	};
	g_autoptr(GError) error = NULL;
	struct cell_entry *entry = cell_entry_new(&options, &error);

	ck_assert_msg(entry != NULL, "%s", error ? error->message : "");
	return entry;
}

static struct cell_entry *entry_new(struct cell *cell, int index)
{
	return entry_new_sized(cell, index, 0);
}

static void send_worker_info(struct cell *cell)
{
	struct Rp__WorkerInfo info;
	struct Rp__Resources capacity;

	rp__worker_info__init(&info);
	rp__resources__init(&capacity);
	capacity.cpu_milli = 4000;
	capacity.memory_bytes = 1 << 30;
	info.worker_id = (char *)"w1";
	info.pool = (char *)"pool";
	info.born_ms = WORKER_STARTED_MS;
	info.capacity = &capacity;
	cell_agent_set_worker(cell->agent, &info);
}

static void setup(struct cell *cell)
{
	g_autofree char *listen = g_strdup_printf("127.0.0.1:%d", port_new());
	g_autoptr(GBytes) tables = g_bytes_new_static("t", 1);
	struct cell_agent_options options = {
		.name = "vm1",
		.listen = listen,
		.call_worker = call_worker,
		.ctx = cell,
	};
	g_autoptr(GError) error = NULL;
	int i;

	memset(cell, 0, sizeof(*cell));
	cell->base = event_base_new();
	cell->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	fake_init(&cell->kv, cell->base);
	fake_put(&cell->kv, TABLES_KEY, tables, 0);
	for (i = 0; i < ENTRIES; i++)
		cell->entries[i] = entry_new(cell, i);
	options.base = cell->base;
	options.kv = &cell->kv.kv;
	cell->agent = cell_agent_new(&options, &error);
	ck_assert_ptr_nonnull(cell->agent);
	send_worker_info(cell);
}

static void teardown(struct cell *cell)
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
static void run_loop_ms(struct cell *cell, int ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = ms % 1000 * 1000 };

	event_base_loopexit(cell->base, &tv);
	event_base_dispatch(cell->base);
}

static void on_reply(void *ctx, const struct Rp__StepReply *reply)
{
	struct cell *cell = ctx;

	cell->answered = TRUE;
	cell->status = reply->status;
	cell->state = reply->state;
	cell->waiting = reply->waiting;
}

static void begin_call(struct cell *cell, int entry, Rp__StepVerb verb,
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
static guint wait_reply(struct cell *cell)
{
	while (!cell->answered)
		run_loop_ms(cell, 10);
	return cell->status;
}

/* Makes a call at the entry, waits for the reply and returns its status. */
static guint make_call(struct cell *cell, int entry, Rp__StepVerb verb,
		       const char *path, struct Rp__StepJob *job)
{
	begin_call(cell, entry, verb, path, job);
	return wait_reply(cell);
}

/* Submits a job of two steps, each of two tasks. */
static void begin_submit(struct cell *cell, int entry, const char *path)
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

static guint submit(struct cell *cell, int entry, const char *path)
{
	begin_submit(cell, entry, path);
	return wait_reply(cell);
}

static void wait_ready(struct cell *cell, int entry)
{
	int waited = 0;

	while (!cell_entry_is_ready(cell->entries[entry])) {
		ck_assert_int_lt(waited, WAIT_MS);
		run_loop_ms(cell, 20);
		waited += 20;
	}
}

static void wait_state(struct cell *cell, int entry, const char *path,
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
static int leading_entry(const struct cell *cell)
{
	const struct fake_item *item = g_hash_table_lookup(cell->kv.items,
							   CELL_LEADER_KEY);
	const char *value;

	if (!item)
		return -1;
	value = g_bytes_get_data(item->value, NULL);
	return value[strlen("entry")] - '0';
}

/* Guards against calls that fail at an entry that does not lead, and against a
 * job that runs twice when it is submitted at both entries. */
START_TEST(test_job_through_either_entry)
{
	struct cell cell;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a1"), 200);
	ck_assert_uint_eq(submit(&cell, 1, "/b/a1"), 200);
	ck_assert_uint_eq(submit(&cell, 1, "/none/a1"), 404);
	ck_assert_uint_eq(make_call(&cell, 1, RP__STEP_VERB__STEP_VERB_STATE,
				    "/b/other", NULL),
			  410);
	wait_state(&cell, 0, "/b/a1", RP__JOB_STATE__JOB_STATE_DONE);
	wait_state(&cell, 1, "/b/a1", RP__JOB_STATE__JOB_STATE_DONE);
	/* Two steps of two tasks; each task ran once. */
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against a job that is lost, repeated or stuck when the store executes
 * transactions, of the submission or of its runs, but their answers are lost.
 */
START_TEST(test_transactions_without_answer)
{
	struct cell cell;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	cell.kv.lose_txns = 3;
	ck_assert_uint_eq(submit(&cell, 0, "/b/a2"), 200);
	cell.kv.lose_txns = 1;
	wait_state(&cell, 0, "/b/a2", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against a leader that goes on after its key was removed while its
 * lease renewals still succeed, and against a job lost by the new election. */
START_TEST(test_leader_key_removed)
{
	struct cell cell;
	gint64 first;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a3"), 200);
	first = fake_revision_of(&cell.kv, CELL_LEADER_KEY);
	cell.kv.revision++;
	fake_remove(&cell.kv, CELL_LEADER_KEY);
	run_loop_ms(&cell, 1500);
	ck_assert_int_gt(fake_revision_of(&cell.kv, CELL_LEADER_KEY), first);
	wait_state(&cell, 0, "/b/a3", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against a job that is lost when a draining leader resigns, and against
 * no other entry being elected then. */
START_TEST(test_leader_resigns)
{
	struct cell cell;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a4"), 200);
	cell_entry_drain(cell.entries[0]);
	ck_assert(!cell_entry_is_ready(cell.entries[0]));
	run_loop_ms(&cell, 800);
	wait_ready(&cell, 1);
	wait_state(&cell, 1, "/b/a4", RP__JOB_STATE__JOB_STATE_DONE);
	/* The drained entry still forwards calls. */
	wait_state(&cell, 0, "/b/a4", RP__JOB_STATE__JOB_STATE_DONE);
	teardown(&cell);
}
END_TEST

/* Guards against an election that is delayed until a lease expires, when the
 * leader's key was written by an earlier process of the same VM. */
START_TEST(test_key_of_an_earlier_process)
{
	g_autoptr(GBytes) earlier = g_bytes_new_static("entry0 0badcafe", 15);
	struct cell cell;

	setup(&cell);
	cell.kv.revision++;
	fake_put(&cell.kv, CELL_LEADER_KEY, earlier, 999);
	run_loop_ms(&cell, 1000);
	ck_assert(cell_entry_is_ready(cell.entries[0]));
	ck_assert(cell_entry_is_ready(cell.entries[1]));
	teardown(&cell);
}
END_TEST

/* Guards against an election that is delayed until a lease expires, although
 * the process of the leader has ended and refuses connections. */
START_TEST(test_leader_is_killed)
{
	struct cell cell;
	int leader;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a7"), 200);
	leader = leading_entry(&cell);
	cell_entry_free(cell.entries[leader]);
	cell.entries[leader] = NULL;
	run_loop_ms(&cell, 1000);
	ck_assert(cell_entry_is_ready(cell.entries[1 - leader]));
	wait_state(&cell, 1 - leader, "/b/a7", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against a leader that accepts or counts jobs while the store is
 * unavailable, or that does not recover when the store is back. The state of a
 * known job can still be read. */
START_TEST(test_store_unavailable)
{
	struct cell cell;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a5"), 200);
	wait_state(&cell, 0, "/b/a5", RP__JOB_STATE__JOB_STATE_DONE);
	cell.kv.down = TRUE;
	run_loop_ms(&cell, 2000);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a6"), 503);
	ck_assert_uint_eq(make_call(&cell, 0, RP__STEP_VERB__STEP_VERB_COUNT,
				    "/b/", NULL),
			  503);
	ck_assert_uint_eq(make_call(&cell, 0, RP__STEP_VERB__STEP_VERB_STATE,
				    "/b/a5", NULL),
			  200);
	cell.kv.down = FALSE;
	run_loop_ms(&cell, 1500);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a6"), 200);
	teardown(&cell);
}
END_TEST

/* Replaces the entries by a small and a large one, of which the second starts
 * later. */
static void setup_unequal(struct cell *cell, int second, gint64 delay_ms)
{
	static const guint cpu_milli[ENTRIES] = { 120, 500 };
	int first = 1 - second;
	int i;

	setup(cell);
	for (i = 0; i < ENTRIES; i++)
		cell_entry_free(cell->entries[i]);
	cell->entries[second] = NULL;
	cell->entries[first] = entry_new_sized(cell, first, cpu_milli[first]);
	run_loop_ms(cell, (int)delay_ms);
	cell->entries[second] = entry_new_sized(cell, second,
						cpu_milli[second]);
}

/* Guards against a pool that is led by a small entry although a larger one
 * seeks to lead at the same time. */
START_TEST(test_larger_entry_is_elected)
{
	struct cell cell;

	setup_unequal(&cell, 1, 20);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_int_eq(leading_entry(&cell), 1);
	teardown(&cell);
}
END_TEST

/*
 * Guards against a small leader that stays when a larger entry joins, and
 * around the hand-over: against an order that is carried out twice, a job that
 * is lost, and a caller that is refused or left without an answer.
 */
START_TEST(test_small_leader_hands_over)
{
	struct cell cell;
	guint calls = 0;

	setup_unequal(&cell, 1, 1500);
	ck_assert_int_eq(leading_entry(&cell), 0);
	while (leading_entry(&cell) != 1) {
		g_autofree char *path = g_strdup_printf("/b/h%u", calls);

		ck_assert_uint_eq(submit(&cell, 0, path), 200);
		ck_assert_uint_lt(++calls, 500);
	}
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	while (calls--) {
		g_autofree char *path = g_strdup_printf("/b/h%u", calls);

		wait_state(&cell, 0, path, RP__JOB_STATE__JOB_STATE_DONE);
		cell.jobs_done++;
	}
	ck_assert_uint_eq(cell.starts, 4 * cell.jobs_done);
	/* It stays with the larger one. */
	run_loop_ms(&cell, 3000);
	ck_assert_int_eq(leading_entry(&cell), 1);
	teardown(&cell);
}
END_TEST

/* Guards against a caller that is told nothing certain about its job when the
 * leader ends with the submission unanswered, and against the job running
 * twice: the next leader knows the outcome by the job's id. */
START_TEST(test_submission_survives_leader)
{
	struct cell cell;
	int leader;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	leader = leading_entry(&cell);
	/* The transaction takes effect, but the leader does not learn of it. */
	cell.kv.lose_txns = 1;
	begin_submit(&cell, 1 - leader, "/b/s1");
	while (cell.kv.lose_txns)
		run_loop_ms(&cell, 5);
	cell_entry_free(cell.entries[leader]);
	cell.entries[leader] = NULL;
	ck_assert_uint_eq(wait_reply(&cell), 200);
	wait_state(&cell, 1 - leader, "/b/s1", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Returns the registered address of a process, to be freed. */
static char *address_of(const struct cell *cell, const char *name)
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

static void set_address(struct cell *cell, const char *name, const char *role,
			const char *address)
{
	g_autofree char *key = g_strconcat(CELL_NODE_PREFIX, name, NULL);
	g_autofree char *text = g_strdup_printf("%s %s", role, address);
	g_autoptr(GBytes) value = g_bytes_new(text, strlen(text));

	cell->kv.revision++;
	fake_put(&cell->kv, key, value, 0);
}

/* Guards against a leader that ends, or that uses freed memory, when a process
 * registers at another address while it is still connected, or with a value
 * that cannot be read. */
START_TEST(test_registered_address_changes)
{
	g_autofree char *address = NULL;
	struct cell cell;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	/* The leader is connected to the agent then. */
	ck_assert_uint_eq(submit(&cell, 0, "/b/m0"), 200);
	wait_state(&cell, 0, "/b/m0", RP__JOB_STATE__JOB_STATE_DONE);
	address = address_of(&cell, "vm1");
	set_address(&cell, "vm1", "agent", "127.0.0.1:1");
	run_loop_ms(&cell, 200);
	set_address(&cell, "vm1", "agent", "not an address");
	set_address(&cell, "vm1", "nothing", "");
	run_loop_ms(&cell, 200);
	set_address(&cell, "vm1", "agent", address);
	ck_assert_uint_eq(submit(&cell, 0, "/b/m1"), 200);
	wait_state(&cell, 0, "/b/m1", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 8);
	teardown(&cell);
}
END_TEST

/* Sends bytes to the process, with the connection left open. */
static evutil_socket_t send_bytes(const struct cell *cell, const char *name,
				  const void *bytes, size_t len)
{
	g_autofree char *address = address_of(cell, name);
	struct sockaddr_storage addr;
	int addr_len = sizeof(addr);
	evutil_socket_t fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(evutil_parse_sockaddr_port(
				 address, (struct sockaddr *)&addr, &addr_len),
			 0);
	ck_assert_int_eq(
		connect(fd, (struct sockaddr *)&addr, (socklen_t)addr_len), 0);
	ck_assert_int_eq(send(fd, bytes, len, 0), (int)len);
	return fd;
}

/* Guards against a process that ends, or that loses its leader, because of
 * bytes that are not a frame, a frame of no known size, or one cut short. */
START_TEST(test_malformed_frames)
{
	static const struct {
		char bytes[8];
		size_t len;
	} cases[] = {
		{ { 'G', 'E', 'T', ' ', '/', '\r', '\n', 0 }, 7 },
		{ { -1, -1, -1, -1, -1, -1, -1, -1 }, 8 },
		{ { 0, 0, 0, 4, -1, -1, -1, -1 }, 8 },
		{ { 0, 0, 0, 100, 1 }, 5 },
		{ { 0 }, 8 },
	};
	static const char *const names[] = { "entry0", "entry1", "vm1" };
	evutil_socket_t fds[G_N_ELEMENTS(names) * G_N_ELEMENTS(cases)];
	struct cell cell;
	size_t n = 0;
	size_t i;
	size_t k;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	for (i = 0; i < G_N_ELEMENTS(names); i++)
		for (k = 0; k < G_N_ELEMENTS(cases); k++)
			fds[n++] = send_bytes(&cell, names[i], cases[k].bytes,
					      cases[k].len);
	run_loop_ms(&cell, 200);
	ck_assert_uint_eq(submit(&cell, 0, "/b/m2"), 200);
	ck_assert_uint_eq(submit(&cell, 1, "/b/m3"), 200);
	wait_state(&cell, 0, "/b/m2", RP__JOB_STATE__JOB_STATE_DONE);
	wait_state(&cell, 1, "/b/m3", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 8);
	while (n--)
		evutil_closesocket(fds[n]);
	teardown(&cell);
}
END_TEST

/* Guards against a start that waits in the agent while the worker does not
 * answer, and runs beside its next attempt when the worker answers again. */
START_TEST(test_given_up_start_is_never_sent)
{
	struct cell cell;
	guint i;
	guint k;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	cell.unresponsive = TRUE;
	ck_assert_uint_eq(submit(&cell, 0, "/b/a8"), 200);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a9"), 200);
	/* Longer than any lease of a worker that the leader has just seen. */
	run_loop_ms(&cell, 13000);
	cell.unresponsive = FALSE;
	wait_state(&cell, 0, "/b/a8", RP__JOB_STATE__JOB_STATE_DONE);
	wait_state(&cell, 0, "/b/a9", RP__JOB_STATE__JOB_STATE_DONE);
	for (i = 0; i < cell.runs->len; i++)
		for (k = 0; k < i; k++)
			ck_assert_str_ne(
				g_array_index(cell.runs, struct run, i).task,
				g_array_index(cell.runs, struct run, k).task);
	ck_assert_uint_eq(cell.starts, 8);
	teardown(&cell);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell");
	TCase *tcase = tcase_create("cell");

	fixture_drop_logs();
	tcase_add_test(tcase, test_job_through_either_entry);
	tcase_add_test(tcase, test_transactions_without_answer);
	tcase_add_test(tcase, test_leader_key_removed);
	tcase_add_test(tcase, test_leader_resigns);
	tcase_add_test(tcase, test_key_of_an_earlier_process);
	tcase_add_test(tcase, test_leader_is_killed);
	tcase_add_test(tcase, test_store_unavailable);
	tcase_add_test(tcase, test_larger_entry_is_elected);
	tcase_add_test(tcase, test_small_leader_hands_over);
	tcase_add_test(tcase, test_submission_survives_leader);
	tcase_add_test(tcase, test_registered_address_changes);
	tcase_add_test(tcase, test_malformed_frames);
	tcase_add_test(tcase, test_given_up_start_is_never_sent);
	/* Seconds. */
	tcase_set_timeout(tcase, 60);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
