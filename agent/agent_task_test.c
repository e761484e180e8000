#include "agent_test.h"
#include "tests/fixture.h"

static const struct {
	guint64 term;
	guint64 session;
	gint64 memory;
	gint64 wait_ms;
	gboolean draining;
	Rp__Reason reason;
} starts[] = {
	{ 2, 1, 10 * GB, 0, FALSE, RP__REASON__REASON_NONE },
	{ 1, 1, GB, 0, FALSE, RP__REASON__REASON_STALE_TERM },
	{ 2, 2, GB, 0, FALSE, RP__REASON__REASON_STALE_SESSION },
	{ 2, 0, GB, 0, FALSE, RP__REASON__REASON_STALE_SESSION },
	{ 2, 1, 10 * GB + 1, 0, FALSE, RP__REASON__REASON_NO_CAPACITY },
	{ 2, 1, -1, 0, FALSE, RP__REASON__REASON_NO_CAPACITY },
	{ 2, 1, GB, 20000, FALSE, RP__REASON__REASON_NO_GRANT },
	{ 2, 1, GB, 0, TRUE, RP__REASON__REASON_DRAINING },
};

/*
 * A start must be admitted only with the current term and session, a valid
 * grant and enough capacity, and not while draining. Otherwise a job could run
 * twice, the VM be overloaded, or a planned stop not end.
 */
START_TEST(test_start_admission)
{
	const struct Rp__Task *task;

	shard_term(1, 2);
	now += starts[_i].wait_ms;
	if (starts[_i].draining)
		simple(AGT_EV_DRAIN, 0);
	task_start(1, "a", 1, starts[_i].term, starts[_i].session,
		   starts[_i].memory);
	if (starts[_i].reason == RP__REASON__REASON_NONE) {
		ck_assert_int_eq(find(AGT_FX_WORKER_START)->worker.run_until_ms,
				 now + AGT_GRANT_TTL_MS);
		return;
	}
	ck_assert_ptr_null(find(AGT_FX_WORKER_START));
	task = task_event();
	ck_assert_int_eq(task->state, RP__TASK_STATE__TASK_STATE_REFUSED);
	ck_assert_int_eq(task->reason, starts[_i].reason);
}
END_TEST

/*
 * Entries repeat a TaskStart that was not answered. The repeat must neither
 * start the task again nor be refused, and a refused attempt must stay refused.
 */
START_TEST(test_start_is_idempotent)
{
	start_running("a", 6 * GB);
	task_start(1, "a", 1, 1, 1, 6 * GB);
	ck_assert_ptr_null(find(AGT_FX_WORKER_START));
	ck_assert_int_eq(task_event()->state,
			 RP__TASK_STATE__TASK_STATE_RUNNING);
	/* b does not fit beside a and is refused. */
	task_start(1, "b", 1, 1, 1, 6 * GB);
	task_frame(1, "a", 1, 1, RP__TASK_ACTION__TASK_ACTION_STOP);
	worker_done(op_of(AGT_FX_WORKER_STOP), TRUE, TRUE);
	list("b1", NULL, 0);
	/* It fits now, but its owner may have started it elsewhere. */
	task_start(1, "b", 1, 1, 1, 6 * GB);
	ck_assert_ptr_null(find(AGT_FX_WORKER_START));
	task_start(1, "b", 2, 1, 1, 6 * GB);
	ck_assert_ptr_nonnull(find(AGT_FX_WORKER_START));
}
END_TEST

/*
 * The worker may run a task although its answer to the start was lost. If the
 * resources were freed, the VM would be overcommitted.
 */
START_TEST(test_start_with_unknown_outcome)
{

	tick(450);
	task_start(1, "a", 1, 1, 1, 6 * GB);
	worker_done(op_of(AGT_FX_WORKER_START), FALSE, FALSE);
	ck_assert_int_eq(committed().memory_bytes, 6 * GB);
	/* The start may take effect after this list. */
	tick(100);
	ck_assert_ptr_nonnull(find(AGT_FX_WORKER_LIST));
	worker_tasks("b1", NULL, 0);
	ck_assert_ptr_null(sent(RP__FRAME__BODY_TASK_EVENT));
	task_start(1, "b", 1, 1, 1, 6 * GB);
	ck_assert_int_eq(task_event()->reason, RP__REASON__REASON_NO_CAPACITY);
}
END_TEST

/*
 * While the key-value store is down, grant requests must not multiply: they
 * would overload it when it is available again.
 */
START_TEST(test_grant_request_rate_in_outage)
{
	unsigned asked = 0;
	unsigned i;

	for (i = 0; i < 1200; i++) {
		tick(50);
		asked += sent(RP__FRAME__BODY_GRANT_REQUEST) != NULL;
	}
	ck_assert_uint_ge(asked, 10);
	ck_assert_uint_le(asked, 15);
}
END_TEST

/*
 * If the worker lists a task that the agent does not know, a delayed start call
 * has reached it. The task must be stopped, since its job may run on another
 * VM.
 */
START_TEST(test_late_start_is_stopped)
{
	list("b1", &worker_task, 1);
	ck_assert_str_eq(find(AGT_FX_WORKER_STOP)->worker.job_id, "a");
}
END_TEST

/*
 * If a final TaskEvent is lost, the job's record stays in state running. The
 * agent must repeat it until the current owner of the shard acknowledges it.
 */
START_TEST(test_final_event_until_ack)
{
	struct agt_worker_task task = worker_task;

	start_running("a", GB);
	task.state = RP__TASK_STATE__TASK_STATE_FINISHED;
	task.result = "r";
	task.result_len = 1;
	list("b1", &task, 1);
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_TASK_EVENT));
	tick(2000);
	ck_assert_int_eq(task_event()->state,
			 RP__TASK_STATE__TASK_STATE_FINISHED);
	/* An acknowledgement of an earlier owner does not count. */
	task_frame(1, "a", 1, 0, RP__TASK_ACTION__TASK_ACTION_NONE);
	ck_assert_ptr_null(find(AGT_FX_WORKER_FORGET));
	simple(AGT_EV_CLOSED, 1);
	simple(AGT_EV_CONNECTED, 2);
	shard_term(2, 2);
	ck_assert_uint_eq(sent(RP__FRAME__BODY_TASK_LIST)->task_list->n_tasks,
			  1);
	ck_assert_uint_eq(task_event()->result.len, 1);
	task_frame(2, "a", 1, 2, RP__TASK_ACTION__TASK_ACTION_NONE);
	worker_done(op_of(AGT_FX_WORKER_FORGET), TRUE, TRUE);
	tick(60000);
	ck_assert_ptr_null(sent(RP__FRAME__BODY_TASK_EVENT));
}
END_TEST

/*
 * An entry that fences a VM waits until the VM's grants have expired, counted
 * from their requests. If the agent counted from the answers, tasks would still
 * run when their next attempts start.
 */
START_TEST(test_grant_counts_from_request)
{
	const struct Rp__GrantRequest *ask;
	gint64 asked;
	guint64 sequence;

	start_running("a", GB);
	tick(5000);
	ask = sent(RP__FRAME__BODY_GRANT_REQUEST)->grant_request;
	sequence = ask->sequence;
	asked = now;
	now += 3000;
	grant(1, sequence, 0);
	ck_assert_int_eq(find(AGT_FX_WORKER_LEASE)->worker.run_until_ms,
			 asked + AGT_GRANT_TTL_MS);
	/* A repeated answer does not extend the grant. */
	now += 30000;
	grant(1, sequence, 0);
	ck_assert_int_eq(committed().grant_until_ms, asked + AGT_GRANT_TTL_MS);
	task_start(1, "b", 1, 1, 1, GB);
	ck_assert_ptr_null(find(AGT_FX_WORKER_START));
}
END_TEST

/*
 * After a fence, a new session must not begin while a task of the old one may
 * execute, as its job may run on another VM.
 */
START_TEST(test_fence)
{
	struct agt_worker_task task = worker_task;
	guint64 op;
	guint64 early;

	start_running("a", GB);
	tick(5000);
	early = sent(RP__FRAME__BODY_GRANT_REQUEST)->grant_request->sequence;
	tick(1000);
	grant(1, sent(RP__FRAME__BODY_GRANT_REQUEST)->grant_request->sequence,
	      4);
	op = op_of(AGT_FX_WORKER_STOP);
	/* An answer from before the fence arrives after it. */
	grant(1, early, 0);
	ck_assert_int_eq(committed().grant_until_ms, 0);
	worker_done(op, FALSE, FALSE);
	ck_assert_uint_eq(committed().session, 1);
	task_start(1, "b", 1, 1, 1, GB);
	ck_assert_ptr_null(find(AGT_FX_WORKER_START));
	tick(600);
	op = op_of(AGT_FX_WORKER_STOP);
	worker_tasks("b1", &task, 1);
	worker_done(op, TRUE, TRUE);
	task.state = RP__TASK_STATE__TASK_STATE_STOPPED;
	ck_assert_uint_eq(committed().session, 1);
	list("b1", &task, 1);
	ck_assert_uint_eq(sent(RP__FRAME__BODY_REPORT)->report->session, 5);
	ck_assert_uint_eq(
		sent(RP__FRAME__BODY_GRANT_REQUEST)->grant_request->session, 5);
}
END_TEST

/*
 * If the tasks need more memory than the VM has, those that use more than they
 * declared must be evicted, newest first, until the rest fits; else all tasks
 * of the VM may fail. Here c is newer than b but uses what it declared.
 */
START_TEST(test_memory_overuse_evicts_newest)
{
	struct agt_worker_task tasks[3] = { worker_task, worker_task,
					    worker_task };
	const struct Rp__Task *task;

	tasks[1].job_id = "b";
	tasks[2].job_id = "c";
	start_running("a", 2 * GB);
	start_running("b", 2 * GB);
	start_running("c", 2 * GB);
	tasks[0].used_memory_bytes = 5 * GB;
	tasks[1].used_memory_bytes = 5 * GB;
	tasks[2].used_memory_bytes = 2 * GB;
	list("b1", tasks, 3);
	ck_assert_str_eq(find(AGT_FX_WORKER_CHECKPOINT)->worker.job_id, "b");
	worker_done(op_of(AGT_FX_WORKER_CHECKPOINT), TRUE, TRUE);
	worker_done(op_of(AGT_FX_WORKER_STOP), TRUE, TRUE);
	tasks[1].state = RP__TASK_STATE__TASK_STATE_EVICTED;
	list("b1", tasks, 3);
	task = task_event();
	ck_assert_int_eq(task->state, RP__TASK_STATE__TASK_STATE_EVICTED);
	ck_assert_int_eq(task->used->memory_bytes, 5 * GB);
	ck_assert_str_eq(task->checkpoint, "cp");
	ck_assert_ptr_null(find(AGT_FX_WORKER_CHECKPOINT));
}
END_TEST

/*
 * Once the worker's new boot id is reported, entries start the lost tasks on
 * other VMs. A start call in flight may still reach the rebooted worker, so its
 * task must be stopped before the report, or the job could run twice.
 */
START_TEST(test_worker_reboot)
{
	guint64 op;

	start_running("a", GB);
	task_start(1, "b", 1, 1, 1, GB);
	op = op_of(AGT_FX_WORKER_START);
	list("b2", NULL, 0);
	ck_assert_uint_eq(committed().tasks, 1);
	ck_assert_ptr_null(sent(RP__FRAME__BODY_REPORT));
	worker_done(op, TRUE, TRUE);
	worker_done(op_of(AGT_FX_WORKER_STOP), TRUE, TRUE);
	list("b2", NULL, 0);
	tick(0);
	ck_assert_uint_eq(committed().tasks, 0);
	tick(2000);
	ck_assert_str_eq(sent(RP__FRAME__BODY_REPORT)->report->worker_boot_id,
			 "b2");
}
END_TEST

/*
 * A task whose start is confirmed after a list was requested may run on the
 * rebooted worker although the list does not show it. If the agent removed the
 * task, it would run beside its next attempt and use resources that count as
 * free.
 */
START_TEST(test_start_during_reboot)
{
	tick(600);
	start_running("a", GB);
	worker_tasks("b2", NULL, 0);
	ck_assert_uint_eq(committed().tasks, 1);
	worker_done(op_of(AGT_FX_WORKER_STOP), TRUE, TRUE);
	ck_assert_uint_eq(committed().tasks, 1);
	list("b2", NULL, 0);
	ck_assert_uint_eq(committed().tasks, 0);
}
END_TEST

/*
 * A planned stop that does not wait for requests in flight and for checkpoints
 * would lose answers and the progress of tasks.
 */
START_TEST(test_drain)
{
	struct agt_worker_task task = worker_task;

	start_running("a", GB);
	request(1, 1, "checks", 100, 0);
	simple(AGT_EV_DRAIN, 0);
	ck_assert(sent(RP__FRAME__BODY_REPORT)->report->draining);
	worker_done(op_of(AGT_FX_WORKER_CHECKPOINT), TRUE, TRUE);
	worker_done(op_of(AGT_FX_WORKER_STOP), TRUE, TRUE);
	request(1, 2, "checks", 100, 0);
	ck_assert_int_eq(reply()->reason, RP__REASON__REASON_DRAINING);
	task.state = RP__TASK_STATE__TASK_STATE_EVICTED;
	list("b1", &task, 1);
	task_frame(1, "a", 1, 1, RP__TASK_ACTION__TASK_ACTION_NONE);
	worker_done(op_of(AGT_FX_WORKER_FORGET), TRUE, TRUE);
	ck_assert_ptr_null(find(AGT_FX_DRAINED));
	upstream(1, AGT_UPSTREAM_ANSWERED);
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_REPLY));
	ck_assert_ptr_nonnull(find(AGT_FX_DRAINED));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("agent tasks");
	TCase *ready = tcase_create("ready");

	tcase_add_checked_fixture(ready, setup_ready, teardown);
	tcase_add_loop_test(ready, test_start_admission, 0,
			    G_N_ELEMENTS(starts));
	tcase_add_test(ready, test_start_is_idempotent);
	tcase_add_test(ready, test_start_with_unknown_outcome);
	tcase_add_test(ready, test_late_start_is_stopped);
	tcase_add_test(ready, test_final_event_until_ack);
	tcase_add_test(ready, test_grant_counts_from_request);
	tcase_add_test(ready, test_fence);
	tcase_add_test(ready, test_grant_request_rate_in_outage);
	tcase_add_test(ready, test_memory_overuse_evicts_newest);
	tcase_add_test(ready, test_worker_reboot);
	tcase_add_test(ready, test_start_during_reboot);
	tcase_add_test(ready, test_drain);
	suite_add_tcase(suite, ready);
	return fixture_run(suite);
}
