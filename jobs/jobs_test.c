#include "jobs/sim_test.h"
#include "tests/fixture.h"

#define QUEUED RP__JOB_STATE__JOB_STATE_QUEUED
#define PLACED RP__JOB_STATE__JOB_STATE_PLACED
#define RUNNING RP__JOB_STATE__JOB_STATE_RUNNING
#define DONE RP__JOB_STATE__JOB_STATE_DONE
#define FAILED RP__JOB_STATE__JOB_STATE_FAILED
#define CANCELLED RP__JOB_STATE__JOB_STATE_CANCELLED

/* Time for claims, loading of records, connections and first grants. */
#define READY_MS 4000
/* Longer than any test runs. */
#define LONG_MS 10000000

static struct sim *sim;

static void start_sim(unsigned entries, unsigned vms)
{
	sim = sim_new(1, entries, vms);
	sim->work_ms = LONG_MS;
	sim_run(sim, READY_MS);
}

static struct Rp__JobRecord *last_record;

/* The durable record, or NULL; valid until the next call. */
static const struct Rp__JobRecord *record(const char *id)
{
	if (last_record)
		rp__job_record__free_unpacked(last_record, NULL);
	last_record = sim_record(sim, id);
	return last_record;
}

static void teardown(void)
{
	if (last_record)
		rp__job_record__free_unpacked(last_record, NULL);
	last_record = NULL;
	if (!sim)
		return;
	ck_assert_msg(!sim->violation, "%s", sim->violation);
	sim_free(sim);
	sim = NULL;
}

static void run(gint64 ms)
{
	gint64 end = sim->now + ms;

	while (sim->now < end) {
		sim_run(sim, 10);
		sim_check(sim);
	}
	ck_assert_msg(!sim->violation, "%s", sim->violation);
}

static void expect(const char *id, Rp__JobState state, unsigned attempt)
{
	ck_assert_ptr_nonnull(record(id));
	ck_assert_int_eq(record(id)->state, state);
	ck_assert_uint_eq(record(id)->attempt, attempt);
}

static struct sim_vm *vm_of(const char *id)
{
	unsigned v;

	for (v = 0; v < sim->n_vms; v++)
		if (!strcmp(sim->vms[v].name, record(id)->vm))
			return &sim->vms[v];
	ck_abort_msg("job %s is on no VM", id);
}

/* Disconnects the VM from all entries for this time. */
static void disconnect_vm(struct sim_vm *vm, gint64 ms)
{
	unsigned e;

	for (e = 0; e < sim->n_entries; e++) {
		sim_disconnect(vm, e);
		vm->disconnected_until[e] = sim->now + ms;
	}
}

/* Number of accepted starts whose text "job attempt vm" has this prefix. */
static unsigned starts_of(const char *prefix)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < sim->starts->len; i++)
		n += g_str_has_prefix(g_ptr_array_index(sim->starts, i),
				      prefix);
	return n;
}

/*
 * Guards against answer 201 before the record and payload of the job are
 * stored. The answer must not come before that of the transaction.
 */
START_TEST(test_submit_durable)
{
	start_sim(1, 1);
	sim_submit(sim, 1, "a", "/batch", 1000);
	sim_advance(sim, JOB_COMMIT_INTERVAL_MS);
	ck_assert_uint_eq(sim_answer_status(sim, 1, NULL), 0);
	sim_complete(sim, sim->calls->len - 1);
	ck_assert_uint_eq(sim_answer_status(sim, 1, NULL), 201);
	ck_assert_ptr_nonnull(sim_get(sim, "radishpier/payload/a"));
	expect("a", QUEUED, 1);
}
END_TEST

/*
 * Guards against a second job when a submission is repeated with its key,
 * before or after the first is durable, and against accepting a different job
 * under the same key.
 */
START_TEST(test_submit_repeat)
{
	start_sim(1, 1);
	sim_submit(sim, 1, "a", "/batch", 1000);
	sim_submit(sim, 2, "a", "/batch", 1000);
	sim_submit(sim, 3, "a", "/batch", 2000);
	ck_assert_uint_eq(sim_answer_status(sim, 3, NULL), 409);
	run(500);
	ck_assert_uint_eq(sim_answer_status(sim, 1, NULL), 201);
	ck_assert_uint_eq(sim_answer_status(sim, 2, NULL), 201);
	sim_submit(sim, 4, "a", "/batch", 1000);
	ck_assert_uint_eq(sim_answer_status(sim, 4, NULL), 201);
	sim_submit(sim, 5, "b", "/unknown", 1000);
	ck_assert_uint_eq(sim_answer_status(sim, 5, NULL), 404);
	ck_assert_uint_eq(starts_of("a "), 1);
}
END_TEST

static const struct {
	enum sim_kv kv;
	unsigned status;
	gboolean exists;
} outcomes[] = {
	{ SIM_KV_DOWN, 503, FALSE },
	{ SIM_KV_LOST, 201, TRUE },
	{ SIM_KV_LATE, 201, TRUE },
	{ SIM_KV_DROPPED, 201, TRUE },
};

/*
 * Guards against assuming the outcome of a transaction whose answer is lost.
 * Whether the write took effect, did not, or does so after it was repeated, the
 * job must be accepted exactly once. A write that is known to have failed must
 * be answered 503.
 */
START_TEST(test_submit_outcome)
{
	start_sim(1, 1);
	sim_submit(sim, 1, "a", "/batch", 1000);
	sim->kv = outcomes[_i].kv;
	sim->kv_until = sim->now + 500;
	run(10000);
	ck_assert_uint_eq(sim_answer_status(sim, 1, NULL), outcomes[_i].status);
	if (outcomes[_i].exists)
		expect("a", RUNNING, 1);
	else
		ck_assert_ptr_null(record("a"));
	ck_assert_uint_eq(starts_of("a "), outcomes[_i].exists);
}
END_TEST

/*
 * Guards against taking the late effect of an earlier transaction for that of a
 * later one, which is to write a second record as well.
 */
START_TEST(test_late_transactions)
{
	start_sim(1, 1);
	sim->late_txns = 4;
	sim->late_ms = 10 * (_i + 1);
	sim_submit(sim, 1, "a", "/batch", 1000);
	sim_advance(sim, JOB_COMMIT_INTERVAL_MS);
	sim_submit(sim, 2, "b", "/batch", 1000);
	run(10000);
	ck_assert_uint_eq(sim_answer_status(sim, 1, NULL), 201);
	ck_assert_uint_eq(sim_answer_status(sim, 2, NULL), 201);
	expect("a", RUNNING, 1);
	expect("b", RUNNING, 1);
}
END_TEST

/*
 * Guards against answer 503, which means not accepted, for a submission whose
 * write may still take effect: it must be 504. A submission that was never
 * written must be answered 503.
 */
START_TEST(test_submit_outcome_unknown)
{
	start_sim(1, 1);
	sim_submit(sim, 1, "a", "/batch", 1000);
	sim->kv = SIM_KV_LOST;
	sim->kv_until = sim->now + 9000;
	run(8000);
	ck_assert_uint_eq(sim_answer_status(sim, 1, NULL), 504);
	sim_submit(sim, 2, "b", "/batch", 1000);
	ck_assert_uint_eq(sim_answer_status(sim, 2, NULL), 503);
	run(30000);
	expect("a", RUNNING, 1);
	ck_assert_ptr_null(record("b"));
}
END_TEST

static const enum sim_kv retention_kv[] = { SIM_KV_UP, SIM_KV_LOST, SIM_KV_LATE,
					    SIM_KV_DROPPED };

/*
 * Guards against records, payloads and results of ended jobs that accumulate in
 * the store, also if the answer to the deletion is lost, and against deleting a
 * running job. After the deletion, the key can be used again.
 */
START_TEST(test_retention)
{
	sim_retention_ms = 60000;
	start_sim(1, 1);
	sim->work_ms = 1000;
	sim_submit(sim, 1, "a", "/batch", 1000);
	run(5000);
	expect("a", DONE, 1);
	ck_assert_ptr_null(sim_get(sim, "radishpier/payload/a"));
	ck_assert_ptr_nonnull(sim_get(sim, "radishpier/result/a"));
	sim->work_ms = LONG_MS;
	sim_submit(sim, 2, "b", "/batch", 1000);
	run(50000);
	expect("a", DONE, 1);
	sim->kv = retention_kv[_i];
	sim->kv_until = sim->now + 20000;
	run(60000);
	ck_assert_ptr_null(record("a"));
	ck_assert_ptr_null(sim_get(sim, "radishpier/result/a"));
	expect("b", RUNNING, 1);
	sim_submit(sim, 3, "a", "/batch", 1000);
	run(500);
	ck_assert_uint_eq(sim_answer_status(sim, 3, NULL), 201);
	sim_retention_ms = 0;
}
END_TEST

/*
 * Guards against a lost result: the agent may forget it only after an
 * acknowledgement, which must wait until the result is durable.
 */
START_TEST(test_result)
{
	const char *body = NULL;

	start_sim(1, 1);
	sim->work_ms = 100;
	sim_submit(sim, 1, "a", "/batch", 1000);
	run(100);
	sim_query(sim, JOB_EV_RESULT, 2, "a");
	ck_assert_uint_eq(sim_answer_status(sim, 2, NULL), 202);
	run(2000);
	expect("a", DONE, 1);
	ck_assert_uint_eq(sim->acks, 1);
	sim_query(sim, JOB_EV_RESULT, 3, "a");
	run(20);
	ck_assert_uint_eq(sim_answer_status(sim, 3, &body), 200);
	ck_assert_str_eq(body, "result");
	sim_query(sim, JOB_EV_GET, 4, "a");
	ck_assert_uint_eq(sim_answer_status(sim, 4, &body), 200);
	ck_assert_ptr_nonnull(strstr(body, "\"state\":\"done\""));
	sim_query(sim, JOB_EV_GET, 5, "b");
	ck_assert_uint_eq(sim_answer_status(sim, 5, NULL), 404);
}
END_TEST

/* Guards against counting refusals by a VM as failures of the job. */
START_TEST(test_refused)
{
	start_sim(1, 1);
	sim->vms[0].refuses = TRUE;
	sim_submit(sim, 1, "a", "/batch", 1000);
	run(15000);
	sim->vms[0].refuses = FALSE;
	run(3000);
	ck_assert_uint_eq(starts_of("a "), 1);
	ck_assert_uint_eq(record("a")->failures, 0);
	ck_assert_uint_gt(record("a")->attempt, 5);
}
END_TEST

/* Guards against endless retries of a job that fails on every VM. */
START_TEST(test_failed_vms)
{
	start_sim(1, 5);
	sim->work_ms = 100;
	sim->fail_percent = 100;
	sim_submit(sim, 1, "a", "/batch", 1000);
	run(60000);
	expect("a", FAILED, 3);
	ck_assert_uint_eq(record("a")->n_failed_vms, 3);
}
END_TEST

/*
 * Guards against a faulty VM that fails one job after another: it is always
 * free, so without a quarantine it would get most of the queued jobs.
 */
START_TEST(test_faulty_vm)
{
	char id[16];
	unsigned on_faulty = 0;
	guint i;

	start_sim(1, 3);
	sim->work_ms = 100;
	sim->vms[0].faulty = TRUE;
	for (i = 0; i < 60; i++) {
		g_snprintf(id, sizeof(id), "a%u", i);
		sim_submit(sim, i, id, "/batch", 8000);
	}
	run(9000);
	for (i = 0; i < sim->starts->len; i++)
		on_faulty += g_str_has_suffix(g_ptr_array_index(sim->starts, i),
					      " vm0");
	ck_assert_uint_ge(on_faulty, 1);
	ck_assert_uint_le(on_faulty, 4);
	run(20000);
	for (i = 0; i < 60; i++) {
		g_snprintf(id, sizeof(id), "a%u", i);
		ck_assert_int_eq(record(id)->state, DONE);
	}
}
END_TEST

/*
 * Guards against starting a job that was cancelled while queued, and against a
 * running job that is not stopped by its cancellation.
 */
START_TEST(test_cancel)
{
	start_sim(1, 1);
	sim_submit(sim, 1, "a", "/batch", 16000);
	sim_submit(sim, 2, "b", "/batch", 16000);
	run(2000);
	expect("a", RUNNING, 1);
	expect("b", QUEUED, 1);
	sim_query(sim, JOB_EV_CANCEL, 3, "b");
	sim_query(sim, JOB_EV_CANCEL, 4, "a");
	run(2000);
	ck_assert_uint_eq(sim_answer_status(sim, 3, NULL), 200);
	ck_assert_uint_eq(sim_answer_status(sim, 4, NULL), 202);
	expect("a", CANCELLED, 1);
	expect("b", CANCELLED, 1);
	ck_assert_uint_eq(starts_of("b "), 0);
	sim_query(sim, JOB_EV_CANCEL, 5, "a");
	ck_assert_uint_eq(sim_answer_status(sim, 5, NULL), 200);
}
END_TEST

/*
 * Guards against a job of high priority that waits for a running one of low
 * priority although eviction would free the VM, and against an evicted job that
 * loses its checkpoint or runs twice.
 */
START_TEST(test_evict)
{
	start_sim(1, 1);
	sim_submit(sim, 1, "a", "/batch", 16000);
	run(2000);
	sim_submit(sim, 2, "b", "/urgent", 8000);
	run(3400);
	expect("b", RUNNING, 1);
	expect("a", QUEUED, 2);
	ck_assert_str_eq(record("a")->checkpoint,
			 g_hash_table_lookup(sim->checkpoints, "a"));
	sim_query(sim, JOB_EV_CANCEL, 3, "b");
	run(3000);
	expect("a", RUNNING, 2);
}
END_TEST

/*
 * Guards against a job that is larger than any VM and blocks the queue behind
 * it, and against a status that does not say why it waits.
 */
START_TEST(test_unschedulable)
{
	const char *body = NULL;

	start_sim(1, 1);
	sim_submit(sim, 1, "a", "/batch", 16001);
	sim_submit(sim, 2, "b", "/batch", 16000);
	run(2000);
	expect("b", RUNNING, 1);
	sim_query(sim, JOB_EV_GET, 3, "a");
	sim_answer_status(sim, 3, &body);
	ck_assert_ptr_nonnull(strstr(body, "can never run"));
}
END_TEST

/*
 * Guards against starvation of a large job by a stream of small ones, which use
 * freed capacity before it suffices for the large job.
 */
START_TEST(test_no_starvation)
{
	char id[16];
	unsigned i;

	start_sim(1, 1);
	sim->work_ms = 1500;
	for (i = 0; i < 60; i++) {
		g_snprintf(id, sizeof(id), "s%u", i);
		sim_submit(sim, 10 + i, id, "/batch", 4000);
		if (i == 4)
			sim_submit(sim, 1, "large", "/batch", 16000);
		run(300);
	}
	ck_assert_uint_eq(starts_of("large "), 1);
}
END_TEST

/*
 * Guards against a next attempt that starts before the last grant of the lost
 * VM has ended, or never starts. sim_check() checks that only one executes.
 */
START_TEST(test_fence)
{
	const struct kv_pair *fence;
	gint64 fenced;
	char *key;

	start_sim(1, 2);
	sim_submit(sim, 1, "a", "/batch", 1000);
	run(2000);
	expect("a", RUNNING, 1);
	key = g_strconcat("radishpier/fence/", vm_of("a")->name, NULL);
	disconnect_vm(vm_of("a"), 45000);
	run(JOB_VM_LOST_MS - 500);
	ck_assert_ptr_null(sim_get(sim, key));
	run(1500);
	fence = sim_get(sim, key);
	ck_assert_ptr_nonnull(fence);
	ck_assert_mem_eq(g_bytes_get_data(fence->value, NULL), "1", 1);
	fenced = sim->now;
	run(JOB_FENCE_WAIT_MS - 1500);
	expect("a", RUNNING, 1);
	run(3000);
	ck_assert_int_ge(sim->now - fenced, JOB_FENCE_WAIT_MS);
	expect("a", RUNNING, 2);
	/* The VM reconnects: its old attempt is stopped and removed. */
	run(30000);
	expect("a", RUNNING, 2);
	ck_assert_uint_eq(sim->vms[0].tasks->len + sim->vms[1].tasks->len, 1);
	g_free(key);
}
END_TEST

/*
 * Guards against a new owner that does not wait after it finds a stored fence:
 * it cannot know when the fence was written, so grants may still be valid.
 */
START_TEST(test_new_owner_waits)
{
	start_sim(1, 2);
	sim_submit(sim, 1, "a", "/batch", 1000);
	run(2000);
	disconnect_vm(vm_of("a"), 200000);
	run(JOB_VM_LOST_MS + 15000);
	expect("a", RUNNING, 1);
	sim_start_entry(sim, 0);
	/* The old claim expires, the VM is lost, then the wait begins. */
	run(SIM_LEASE_MS + JOB_VM_LOST_MS + JOB_FENCE_WAIT_MS - 2000);
	expect("a", RUNNING, 1);
	run(6000);
	expect("a", RUNNING, 2);
}
END_TEST

/*
 * Guards against a next attempt before a fence that a restore of the store
 * removed is written again and its wait has passed: until then, other entries
 * do not know the fence and may grant the VM more time.
 */
START_TEST(test_fence_lost_in_restore)
{
	g_autofree char *key = NULL;

	start_sim(1, 2);
	sim_submit(sim, 1, "a", "/batch", 1000);
	run(2000);
	key = g_strconcat("radishpier/fence/", vm_of("a")->name, NULL);
	disconnect_vm(vm_of("a"), 200000);
	run(JOB_VM_LOST_MS + 10000);
	ck_assert(g_hash_table_remove(sim->store, key));
	sim->revision -= 2;
	run(5000);
	ck_assert_ptr_nonnull(sim_get(sim, key));
	run(JOB_FENCE_WAIT_MS - 6000);
	expect("a", RUNNING, 1);
	run(6000);
	expect("a", RUNNING, 2);
}
END_TEST

/*
 * Guards against waiting for a fence although the VM itself reports that the
 * attempt is gone: after a reboot of the worker, or in a new session.
 */
START_TEST(test_reboot)
{
	struct sim_vm *vm;

	start_sim(1, 2);
	sim_submit(sim, 1, "a", "/batch", 1000);
	run(2000);
	vm = vm_of("a");
	sim_reboot_worker(vm);
	run(1000);
	expect("a", RUNNING, 2);
	/* The same for a higher session whose list lacks the attempt. */
	vm = vm_of("a");
	g_ptr_array_set_size(vm->tasks, 0);
	vm->session++;
	sim_report(vm);
	run(1000);
	ck_assert_uint_eq(starts_of("a 3"), 1);
}
END_TEST

/*
 * Guards against a second attempt while a start call of an ended agent process
 * may still take effect. The new agent process lists the worker's tasks before
 * the call arrives there.
 */
START_TEST(test_agent_restart)
{
	struct sim_vm *vm;
	struct sim_task *task;

	start_sim(1, 2);
	sim->vms[0].start_delay_ms = sim->vms[1].start_delay_ms = 3000;
	sim_submit(sim, 1, "a", "/batch", 1000);
	while (!sim->starts->len)
		run(10);
	vm = vm_of("a");
	task = g_ptr_array_index(vm->tasks, 0);
	task->start_at = sim->now + 3000;
	sim_restart_agent(vm);
	run(2500);
	ck_assert(!task->on_worker);
	expect("a", PLACED, 1);
	run(30000);
	expect("a", RUNNING, 1);
	/* If no start call arrives, the next attempt follows later. */
	g_ptr_array_set_size(vm->tasks, 0);
	sim_restart_agent(vm);
	run(JOB_FENCE_WAIT_MS - 2000);
	ck_assert_uint_eq(starts_of("a "), 1);
	run(4000);
	ck_assert_uint_eq(starts_of("a 2"), 1);
}
END_TEST

/*
 * Guards against a TaskStart on a new connection when the attempt was placed
 * before it was opened: the list on the new connection may lack the attempt.
 */
START_TEST(test_connection_replaced)
{
	struct sim_vm *vm;

	start_sim(1, 1);
	vm = &sim->vms[0];
	sim_submit(sim, 1, "a", "/batch", 1000);
	while (!record("a") || record("a")->state != PLACED) {
		sim_advance(sim, 10);
		while (record("a") == NULL && sim_complete_due(sim))
			;
		if (sim->calls->len == 1 && record("a")) {
			/* The agent reconnects while the write is in flight. */
			sim_disconnect(vm, 0);
			sim_connect(sim, vm, 0);
			sim_entry_read(sim, vm, 0);
			sim_entry_read(sim, vm, 0);
			sim_complete(sim, 0);
		}
	}
	expect("a", PLACED, 1);
	run(2000);
	ck_assert_uint_eq(starts_of("a 1"), 0);
	ck_assert_uint_eq(starts_of("a 2"), 1);
	expect("a", RUNNING, 2);
}
END_TEST

/*
 * Guards against a second execution of a task that finished while its VM was
 * disconnected: lists show it as running, and an event follows.
 */
START_TEST(test_finished_while_disconnected)
{
	struct sim_vm *vm;

	start_sim(1, 2);
	sim->work_ms = 3000;
	sim_submit(sim, 1, "a", "/batch", 1000);
	run(1000);
	vm = vm_of("a");
	disconnect_vm(vm, 5000);
	run(4000);
	expect("a", RUNNING, 1);
	run(2000);
	expect("a", DONE, 1);
	ck_assert_ptr_nonnull(sim_get(sim, "radishpier/result/a"));
	ck_assert_uint_eq(sim->starts->len, 1);
}
END_TEST

/* Guards against an event of an old attempt that ends the current one. */
START_TEST(test_old_event)
{
	struct sim_task old = { .job_id = (char *)"a",
				.attempt = 1,
				.state = RP__TASK_STATE__TASK_STATE_FINISHED };

	start_sim(1, 2);
	old.shard = job_shard("a");
	sim_submit(sim, 1, "a", "/batch", 1000);
	run(2000);
	sim_reboot_worker(vm_of("a"));
	run(2000);
	expect("a", RUNNING, 2);
	sim_task_event(sim, &sim->vms[0], &old);
	sim_task_event(sim, &sim->vms[1], &old);
	run(2000);
	expect("a", RUNNING, 2);
	/*
	 * The entry must not answer an unknown attempt by a stop: the agent
	 * would send the same event again, endlessly.
	 */
	old.state = RP__TASK_STATE__TASK_STATE_UNKNOWN;
	sim_task_event(sim, &sim->vms[0], &old);
	sim_entry_read(sim, &sim->vms[0], 0);
	ck_assert_uint_eq(sim->vms[0].to_agent[0].length, 0);
}
END_TEST

/*
 * Guards against shards without an owner, with two owners, or unevenly shared,
 * when an entry leaves and returns.
 */
START_TEST(test_shards)
{
	struct job_event ev = { .kind = JOB_EV_ENTRIES };
	const char *ids[] = { "e0", "e1", "e2" };
	struct job_stats stats;
	unsigned total = 0;
	unsigned e;

	start_sim(3, 1);
	for (e = 0; e < 3; e++) {
		job_stats(sim->entries[e].job, &stats);
		ck_assert_uint_eq(stats.shards_owned, e ? 5 : 6);
		total += stats.shards_owned;
	}
	ck_assert_uint_eq(total, JOB_SHARDS);
	/* One is paused: its claims expire and the others take them. */
	sim->entries[2].paused_until = sim->now + 40000;
	ev.entries.ids = ids;
	ev.entries.n = 2;
	sim_feed(sim, 0, &ev);
	sim_feed(sim, 1, &ev);
	run(15000);
	job_stats(sim->entries[0].job, &stats);
	ck_assert_uint_eq(stats.shards_owned, 8);
	job_stats(sim->entries[1].job, &stats);
	ck_assert_uint_eq(stats.shards_owned, 8);
	/* It returns: the others release what they own above their share. */
	ev.entries.n = 3;
	sim_feed(sim, 0, &ev);
	sim_feed(sim, 1, &ev);
	run(40000);
	for (e = 0; e < 3; e++) {
		job_stats(sim->entries[e].job, &stats);
		ck_assert_uint_eq(stats.shards_owned, e ? 5 : 6);
	}
}
END_TEST

/*
 * Guards against an entry that pauses longer than its lease, loses its claims
 * and then still accepts a job whose write was in flight.
 */
START_TEST(test_old_owner)
{
	const char *id = "a";
	unsigned old;

	start_sim(2, 2);
	old = sim_owner(sim, id);
	sim_submit(sim, 1, id, "/batch", 1000);
	/* The write is sent before the pause and executed after it. */
	sim_advance(sim, JOB_COMMIT_INTERVAL_MS);
	sim->entries[old].paused_until = sim->now + 20000;
	sim_expire(sim, sim->entries[old].lease);
	run(21000);
	ck_assert_uint_ne(sim_answer_status(sim, 1, NULL), 201);
	ck_assert_ptr_null(record(id));
}
END_TEST

/*
 * Guards against a grant based on a read that was sent before the request, as
 * the read may lack a newer fence, and against one read for each request.
 */
START_TEST(test_grants)
{
	guint64 reads;
	unsigned v;

	start_sim(1, 6);
	for (v = 0; v < 6; v++)
		sim->vms[v].next_grant_at = sim->now + LONG_MS;
	run(100);
	reads = sim->reads;
	for (v = 0; v < 6; v++)
		sim->vms[v].next_grant_at = sim->now;
	sim_advance(sim, 1);
	for (v = 0; v < 5; v++)
		sim_entry_read(sim, &sim->vms[v], 0);
	/* One read is in flight for the first; the others wait for the next. */
	ck_assert_uint_eq(sim->calls->len, 1);
	sim_complete(sim, 0);
	ck_assert_uint_eq(sim->vms[0].to_agent[0].length, 1);
	ck_assert_uint_eq(sim->vms[1].to_agent[0].length, 0);
	sim_advance(sim, 100);
	ck_assert_uint_eq(sim->calls->len, 1);
	sim_entry_read(sim, &sim->vms[5], 0);
	sim_complete(sim, 0);
	ck_assert_uint_eq(sim->vms[4].to_agent[0].length, 1);
	ck_assert_uint_eq(sim->vms[5].to_agent[0].length, 0);
	ck_assert_uint_eq(sim->reads - reads, 2);
}
END_TEST

/*
 * Guards against a Hello of a connection that the agent has closed, read after
 * that of its newer connection: the newer one must stay in use.
 */
START_TEST(test_late_hello)
{
	struct sim_vm *vm;
	struct sim_message *hello;

	start_sim(1, 1);
	vm = &sim->vms[0];
	sim_disconnect(vm, 0);
	sim_connect(sim, vm, 0);
	sim_entry_read(sim, vm, 0);
	hello = g_queue_pop_head(&vm->to_entry[0]);
	sim_connect(sim, vm, 0);
	g_queue_push_tail(&vm->to_entry[0], hello);
	run(2000);
	sim_submit(sim, 1, "a", "/batch", 1000);
	run(2000);
	expect("a", RUNNING, 1);
}
END_TEST

/*
 * Number of ShardTerms from entry 0 that the agent has not read; each is also a
 * liveness check.
 */
static unsigned shard_terms(const struct sim_vm *vm)
{
	unsigned n = 0;
	GList *link;

	for (link = vm->to_agent[0].head; link; link = link->next) {
		const struct Rp__Frame *frame = link->data;

		n += frame->body_case == RP__FRAME__BODY_SHARD_TERM;
	}
	return n;
}

/*
 * Guards against a late liveness check of a VM that became unresponsive while
 * it had no attempts: once it gets one, it must be checked at the next scan.
 */
START_TEST(test_unresponsive_without_attempts)
{
	struct sim_vm *vm;

	start_sim(1, 1);
	vm = &sim->vms[0];
	vm->paused_until = sim->now + LONG_MS;
	run(11000);
	ck_assert_uint_eq(shard_terms(vm), 0);
	sim_submit(sim, 1, "a", "/batch", 1000);
	run(1000);
	ck_assert_uint_eq(shard_terms(vm), 1);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_submit_durable,
		test_submit_repeat,
		test_submit_outcome_unknown,
		test_result,
		test_refused,
		test_failed_vms,
		test_faulty_vm,
		test_cancel,
		test_evict,
		test_unschedulable,
		test_no_starvation,
		test_fence,
		test_fence_lost_in_restore,
		test_new_owner_waits,
		test_reboot,
		test_agent_restart,
		test_old_event,
		test_finished_while_disconnected,
		test_shards,
		test_old_owner,
		test_grants,
		test_late_hello,
		test_unresponsive_without_attempts,
		test_connection_replaced,
	};
	Suite *suite = suite_create("jobs");
	TCase *tcase = tcase_create("jobs");
	unsigned i;

	tcase_add_checked_fixture(tcase, NULL, teardown);
	for (i = 0; i < G_N_ELEMENTS(tests); i++)
		tcase_add_test(tcase, tests[i]);
	tcase_add_loop_test(tcase, test_retention, 0,
			    G_N_ELEMENTS(retention_kv));
	tcase_add_loop_test(tcase, test_submit_outcome, 0,
			    G_N_ELEMENTS(outcomes));
	tcase_add_loop_test(tcase, test_late_transactions, 0, 40);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
