#include <check.h>
#include <stdlib.h>

#include "../net/net.h"
#include "../standin/port.h"
#include "cell.h"
#include "fake_kv_test.h"
#include "tests/fixture.h"

/*
 * Entries and an agent in one event loop, over real connections on loopback.
 * The worker is a table of runs that end after a while.
 */

#define ENTRIES 2
#define TABLES_KEY "tables"
#define RUN_MS 60
#define WAIT_MS 15000

struct run {
	char *task;
	guint32 attempt;
	gint64 ends_ms;
	guint64 number;
};

struct cell {
	struct event_base *base;
	struct fake_kv kv;
	struct cell_entry *entries[ENTRIES];
	struct cell_agent *agent;
	GArray *runs;
	guint starts;
	guint64 ended;
	guint status;
	Rp__JobState state;
	guint waiting;
	gboolean answered;
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

static void fill_lists(struct cell *cell, struct runs_answer *answer)
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

			if (!run->number)
				run->number = ++cell->ended;
			rp__run_end__init(end);
			end->run = name;
			end->number = run->number;
			end->kind = RP__RUN_END_KIND__RUN_END_DONE;
			answer->ended[answer->n_ended++] = end;
		}
	}
}

static void call_worker(void *ctx, const struct runs_call *call)
{
	struct cell *cell = ctx;
	struct runs_answer answer = {
		.call_id = call->id,
		.clock_ms = net_now_ms(),
		.worker_started_ms = 77,
	};
	struct run run = {
		.attempt = call->attempt,
		.ends_ms = net_now_ms() + RUN_MS,
	};

	if (call->kind == RUNS_CALL_START) {
		run.task = g_strdup(call->task);
		g_array_append_val(cell->runs, run);
		cell->starts++;
	}
	if (call->kind == RUNS_CALL_RENEW_LEASE)
		fill_lists(cell, &answer);
	cell_agent_worker_answered(cell->agent, &answer);
	runs_answer_clear(&answer);
}

static struct cell_entry *entry_new(struct cell *cell, int index)
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
	};
	g_autoptr(GError) error = NULL;
	struct cell_entry *entry = cell_entry_new(&options, &error);

	ck_assert_msg(entry != NULL, "%s", error ? error->message : "");
	return entry;
}

static void describe_worker(struct cell *cell)
{
	struct Rp__WorkerInfo info;
	struct Rp__Resources capacity;

	rp__worker_info__init(&info);
	rp__resources__init(&capacity);
	capacity.cpu_milli = 4000;
	capacity.memory_bytes = 1 << 30;
	info.worker_id = (char *)"w1";
	info.pool = (char *)"pool";
	info.born_ms = 77;
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
	describe_worker(cell);
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

static void pass(struct cell *cell, int ms)
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

/* Makes a call at the entry and waits for its answer. */
static guint make_call(struct cell *cell, int entry, Rp__StepVerb verb,
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
	while (!cell->answered)
		pass(cell, 10);
	return cell->status;
}

static guint submit(struct cell *cell, int entry, const char *path)
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
	return make_call(cell, entry, RP__STEP_VERB__STEP_VERB_SUBMIT, path,
			 &job);
}

static void wait_ready(struct cell *cell, int entry)
{
	int waited = 0;

	while (!cell_entry_is_ready(cell->entries[entry])) {
		ck_assert_int_lt(waited, WAIT_MS);
		pass(cell, 20);
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
		pass(cell, 50);
		waited += 50;
	}
}

/* Guards against calls that only the leader's own callers can make. */
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
	/* Two steps of two tasks, each once, although submitted twice. */
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against lost answers that lose jobs, repeat or stop the work. */
START_TEST(test_lost_answers)
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

/* Guards against a leader that does not notice that its key was taken. */
START_TEST(test_key_taken_away)
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
	pass(&cell, 1500);
	ck_assert_int_gt(fake_revision_of(&cell.kv, CELL_LEADER_KEY), first);
	wait_state(&cell, 0, "/b/a3", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against jobs that die with the leader, and a drain without heir. */
START_TEST(test_leader_resigns)
{
	struct cell cell;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a4"), 200);
	cell_entry_drain(cell.entries[0]);
	ck_assert(!cell_entry_is_ready(cell.entries[0]));
	pass(&cell, 800);
	wait_ready(&cell, 1);
	wait_state(&cell, 1, "/b/a4", RP__JOB_STATE__JOB_STATE_DONE);
	/* The drained entry still passes calls on. */
	wait_state(&cell, 0, "/b/a4", RP__JOB_STATE__JOB_STATE_DONE);
	teardown(&cell);
}
END_TEST

/* Guards against a restarted leader that waits for the lease of the process
 * that it replaces. */
START_TEST(test_key_of_an_earlier_process)
{
	g_autoptr(GBytes) earlier = g_bytes_new_static("entry0 0badcafe", 15);
	struct cell cell;

	setup(&cell);
	cell.kv.revision++;
	fake_put(&cell.kv, CELL_LEADER_KEY, earlier, 999);
	pass(&cell, 1000);
	ck_assert(cell_entry_is_ready(cell.entries[0]));
	ck_assert(cell_entry_is_ready(cell.entries[1]));
	teardown(&cell);
}
END_TEST

/* Guards against entries that wait for the lease of a leader although its
 * process has ended. */
START_TEST(test_leader_is_killed)
{
	struct cell cell;
	const struct fake_item *item;
	int leader;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a7"), 200);
	item = g_hash_table_lookup(cell.kv.items, CELL_LEADER_KEY);
	leader = !strncmp(g_bytes_get_data(item->value, NULL), "entry0", 6) ? 0
									    : 1;
	cell_entry_free(cell.entries[leader]);
	cell.entries[leader] = NULL;
	pass(&cell, 1000);
	ck_assert(cell_entry_is_ready(cell.entries[1 - leader]));
	wait_state(&cell, 1 - leader, "/b/a7", RP__JOB_STATE__JOB_STATE_DONE);
	ck_assert_uint_eq(cell.starts, 4);
	teardown(&cell);
}
END_TEST

/* Guards against an entry that answers from old tables while it is cut off. */
START_TEST(test_store_down)
{
	struct cell cell;

	setup(&cell);
	wait_ready(&cell, 0);
	wait_ready(&cell, 1);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a5"), 200);
	wait_state(&cell, 0, "/b/a5", RP__JOB_STATE__JOB_STATE_DONE);
	cell.kv.down = TRUE;
	pass(&cell, 2000);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a6"), 503);
	ck_assert_uint_eq(make_call(&cell, 0, RP__STEP_VERB__STEP_VERB_COUNT,
				    "/b/", NULL),
			  503);
	ck_assert_uint_eq(make_call(&cell, 0, RP__STEP_VERB__STEP_VERB_STATE,
				    "/b/a5", NULL),
			  200);
	cell.kv.down = FALSE;
	pass(&cell, 1500);
	ck_assert_uint_eq(submit(&cell, 0, "/b/a6"), 200);
	teardown(&cell);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell");
	TCase *tcase = tcase_create("cell");

	fixture_drop_logs();
	tcase_add_test(tcase, test_job_through_either_entry);
	tcase_add_test(tcase, test_lost_answers);
	tcase_add_test(tcase, test_key_taken_away);
	tcase_add_test(tcase, test_leader_resigns);
	tcase_add_test(tcase, test_key_of_an_earlier_process);
	tcase_add_test(tcase, test_leader_is_killed);
	tcase_add_test(tcase, test_store_down);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
