#include "agent_test.h"
#include "tests/fixture.h"
#include "tests/later_version.h"

/*
 * An agent that connects to entries before it has read the worker's task list
 * would be sent work for resources that are in use.
 */
START_TEST(test_rebuild_before_dial)
{
	struct agt_worker_task found[2] = { worker_task, worker_task };

	tick(0);
	tick(200);
	ck_assert_ptr_nonnull(find(AGT_FX_WORKER_LIST));
	ck_assert_ptr_null(find(AGT_FX_DIAL));
	tick(5000);
	ck_assert_ptr_null(find(AGT_FX_DIAL));
	found[0].session = 7;
	found[1].job_id = "b";
	found[1].session = 3;
	worker_tasks("b1", found, 2);
	ck_assert_ptr_nonnull(find(AGT_FX_DIAL));
	/* A task of an earlier session is stopped. */
	ck_assert_str_eq(find(AGT_FX_WORKER_STOP)->worker.job_id, "b");
	ck_assert_int_eq(committed().memory_bytes, 2 * GB);
	simple(AGT_EV_CONNECTED, find(AGT_FX_DIAL)->dial.conn);
	ck_assert_uint_eq(sent(RP__FRAME__BODY_HELLO)->hello->session, 7);
	ck_assert_str_eq(sent(RP__FRAME__BODY_HELLO)->hello->worker_boot_id,
			 "b1");
}
END_TEST

/*
 * A start call of the previous agent process may reach the worker after the
 * first list. If the agent requested a grant before, the lease would let this
 * task of a fenced session execute while its next attempt runs on another VM.
 */
START_TEST(test_grant_waits_for_late_starts)
{
	struct agt_worker_task late = worker_task;
	guint64 stop;
	unsigned i;

	tick(0);
	tick(200);
	worker_tasks("b1", NULL, 0);
	simple(AGT_EV_CONNECTED, find(AGT_FX_DIAL)->dial.conn);
	ck_assert_ptr_null(sent(RP__FRAME__BODY_GRANT_REQUEST));
	welcome(1, "e1");
	/* A pause of the VM does not count: calls in flight pause too. */
	tick(30000);
	worker_tasks("b1", NULL, 0);
	for (i = 0; i < 3; i++) {
		ck_assert_ptr_null(sent(RP__FRAME__BODY_GRANT_REQUEST));
		list("b1", NULL, 0);
	}
	tick(600);
	late.state = RP__TASK_STATE__TASK_STATE_SUSPENDED;
	worker_tasks("b1", &late, 1);
	stop = op_of(AGT_FX_WORKER_STOP);
	ck_assert_ptr_null(sent(RP__FRAME__BODY_GRANT_REQUEST));
	worker_done(stop, TRUE, TRUE);
	ck_assert_ptr_null(sent(RP__FRAME__BODY_GRANT_REQUEST));
	late.state = RP__TASK_STATE__TASK_STATE_STOPPED;
	list("b1", &late, 1);
	list("b1", &late, 1);
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_GRANT_REQUEST));
}
END_TEST

/* Without back-off, all agents would redial a restarting entry at once. */
START_TEST(test_redial)
{
	gint64 waited[3] = { 0 };
	unsigned i;

	simple(AGT_EV_CONNECTED, 2);
	welcome(2, "e2");
	simple(AGT_EV_CLOSED, 1);
	for (i = 0; i < 3; i++) {
		guint64 conn;

		do {
			ck_assert_int_lt(waited[i], 5000);
			tick(10);
			waited[i] += 10;
		} while (!find(AGT_FX_DIAL));
		conn = find(AGT_FX_DIAL)->dial.conn;
		ck_assert_ptr_null(find(AGT_FX_CLOSE));
		tick(5000);
		/* No Welcome: the dial is closed before the next one. */
		ck_assert_uint_eq(find(AGT_FX_CLOSE)->close.conn, conn);
		simple(AGT_EV_CONNECTED, conn);
		ck_assert_ptr_null(sent(RP__FRAME__BODY_HELLO));
	}
	ck_assert_int_gt(waited[2], waited[0]);
}
END_TEST

/*
 * With two connections to one entry, frames can be reordered: a delayed
 * TaskStart on one could start a task that the agent already reported as
 * unknown on the other.
 */
START_TEST(test_one_connection_per_entry)
{
	simple(AGT_EV_CONNECTED, 2);
	welcome(2, "e1");
	ck_assert_uint_eq(find(AGT_FX_CLOSE)->close.conn, 1);
	request(1, 1, "checks", 100, 0);
	ck_assert_uint_eq(fx->len, 0);
	tick(1000);
	ck_assert_ptr_null(find(AGT_FX_DIAL));
}
END_TEST

/* More requests in flight than slots would overload the upstream. */
START_TEST(test_slots)
{
	guint64 id;

	for (id = 1; id <= 4; id++) {
		request(1, id, "scores", 100, 0);
		ck_assert_ptr_nonnull(find(AGT_FX_FORWARD));
	}
	request(1, 5, "scores", 100, 0);
	ck_assert_ptr_null(find(AGT_FX_FORWARD));
	ck_assert_int_eq(reply()->reason, RP__REASON__REASON_NO_SLOT);
	upstream(1, AGT_UPSTREAM_ANSWERED);
	request(1, 6, "scores", 100, 0);
	ck_assert_ptr_nonnull(find(AGT_FX_FORWARD));
}
END_TEST

/*
 * others_in_use must count the slots of other entries and of cancelled
 * requests, but not the entry's own: else it sends too many or too few.
 */
START_TEST(test_slots_in_use_by_others)
{
	struct Rp__Frame *cancel = wire_frame_new(RP__FRAME__BODY_CANCEL);

	simple(AGT_EV_CONNECTED, 2);
	welcome(2, "e2");
	request(1, 1, "scores", 100, 0);
	request(1, 2, "scores", 100, 0);
	request(2, 1, "checks", 100, 0);
	request(2, 2, "scores", 100, 0);
	request(1, 3, "scores", 100, 0);
	ck_assert_int_eq(reply()->reason, RP__REASON__REASON_NO_SLOT);
	ck_assert_uint_eq(reply()->n_others_in_use, 2);
	ck_assert_uint_eq(reply()->others_in_use[0], 1);
	ck_assert_uint_eq(reply()->others_in_use[1], 1);
	cancel->cancel->id = 2;
	deliver(1, cancel);
	ck_assert_uint_eq(reply()->others_in_use[1], 2);
	upstream(3, AGT_UPSTREAM_ANSWERED);
	ck_assert_uint_eq(reply()->others_in_use[1], 2);
	upstream(1, AGT_UPSTREAM_ANSWERED);
	ck_assert_uint_eq(reply()->others_in_use[0], 0);
	ck_assert_uint_eq(reply()->others_in_use[1], 2);
}
END_TEST

/* A burst in one pool must not use the slots guaranteed to another. */
START_TEST(test_guaranteed_share)
{
	struct Rp__Frame *info = wire_frame_new(RP__FRAME__BODY_FLEET_INFO);
	guint64 id;

	info->fleet_info->n_pools = 1;
	info->fleet_info->pools = g_new0(struct Rp__PoolLoad *, 1);
	info->fleet_info->pools[0] = g_new0(struct Rp__PoolLoad, 1);
	rp__pool_load__init(info->fleet_info->pools[0]);
	wire_set_string(&info->fleet_info->pools[0]->pool, "checks");
	info->fleet_info->pools[0]->fleet_slots = 8;
	deliver(1, info);
	tables(1, 1, "i");
	/* 4 of the fleet's 8 slots are guaranteed, so 2 of the 4 slots here. */
	for (id = 1; id <= 4; id++) {
		request(1, id, "scores", 100, 1);
		ck_assert(!!find(AGT_FX_FORWARD) == (id <= 2));
	}
	for (id = 5; id <= 7; id++) {
		request(1, id, "checks", 100, 1);
		ck_assert(!!find(AGT_FX_FORWARD) == (id <= 6));
	}
}
END_TEST

static const struct {
	enum agt_upstream_status status;
	Rp__Outcome outcome;
	Rp__Reason reason;
	unsigned wait_ms;
} upstream_outcomes[] = {
	{ AGT_UPSTREAM_ANSWERED, RP__OUTCOME__OUTCOME_RAN,
	  RP__REASON__REASON_NONE, 1 },
	{ AGT_UPSTREAM_NOT_SENT, RP__OUTCOME__OUTCOME_NOT_RUN,
	  RP__REASON__REASON_UPSTREAM_UNREACHABLE, 1 },
	{ AGT_UPSTREAM_FAILED, RP__OUTCOME__OUTCOME_UNKNOWN,
	  RP__REASON__REASON_UPSTREAM_ERROR, 1 },
	{ AGT_UPSTREAM_FAILED, RP__OUTCOME__OUTCOME_UNKNOWN,
	  RP__REASON__REASON_DEADLINE, 100 },
};

/*
 * Only a request that was never sent may be reported as not-run. Otherwise a
 * retry could run non-idempotent work twice.
 */
START_TEST(test_outcome)
{
	request(1, 9, "checks", 100, 0);
	now += upstream_outcomes[_i].wait_ms;
	upstream(find(AGT_FX_FORWARD)->forward.call,
		 upstream_outcomes[_i].status);
	ck_assert_uint_eq(reply()->id, 9);
	ck_assert_int_eq(reply()->outcome, upstream_outcomes[_i].outcome);
	ck_assert_int_eq(reply()->reason, upstream_outcomes[_i].reason);
}
END_TEST

/* Without a Reply to a refused request, its caller waits until the time-out. */
START_TEST(test_request_refused)
{
	request(1, 1, "checks", 0, 0);
	ck_assert_int_eq(reply()->reason, RP__REASON__REASON_DEADLINE);
	request(1, 2, "other", 100, 0);
	ck_assert_int_eq(reply()->reason, RP__REASON__REASON_UNKNOWN_POOL);
	ck_assert_int_eq(reply()->outcome, RP__OUTCOME__OUTCOME_NOT_RUN);
}
END_TEST

/* Requests of an entry with old tables, as after a pause, must be refused. */
START_TEST(test_stale_tables)
{
	tables(1, 5, "i");
	request(1, 1, "checks", 100, 4);
	ck_assert_uint_eq(fx->len, 3);
	ck_assert_int_eq(
		g_array_index(fx, struct agt_effect, 0).send.frame->body_case,
		RP__FRAME__BODY_TABLES_UPDATE);
	ck_assert_int_eq(reply()->reason, RP__REASON__REASON_STALE_TABLES);
	ck_assert_ptr_null(find(AGT_FX_FORWARD));
}
END_TEST

/* Older tables, or those of another incarnation, must not be adopted. */
START_TEST(test_tables_never_revert)
{

	tables(1, 5, "i");
	tables(1, 4, "i");
	tables(1, 9, "other");
	ck_assert_uint_eq(committed().tables_generation, 5);
	tables(1, 6, "i");
	ck_assert_uint_eq(committed().tables_generation, 6);
}
END_TEST

/*
 * A delta whose base the agent does not have would give wrong tables: the
 * agent must request the document instead.
 */
START_TEST(test_table_deltas)
{
	g_autoptr(GBytes) oldest = tables_document(4, "i");
	g_autoptr(GBytes) base = tables_document(5, "i");
	g_autoptr(GBytes) next = tables_document(6, "i");

	deliver(1, wire_delta_new(base, next, 6));
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_TABLES_WANTED));
	ck_assert_ptr_nonnull(find(AGT_FX_COUNT));
	tables(1, 5, "i");
	deliver(1, wire_delta_new(base, next, 6));
	ck_assert_uint_eq(committed().tables_generation, 6);
	ck_assert_ptr_null(sent(RP__FRAME__BODY_TABLES_WANTED));
	/* A repeated delta is ignored. */
	deliver(1, wire_delta_new(base, next, 6));
	ck_assert_uint_eq(fx->len, 0);
	/* For an older delta, the agent does not request the document. */
	deliver(1, wire_delta_new(oldest, base, 5));
	ck_assert_ptr_nonnull(find(AGT_FX_COUNT));
	ck_assert_ptr_null(sent(RP__FRAME__BODY_TABLES_WANTED));
	ck_assert_uint_eq(committed().tables_generation, 6);
}
END_TEST

static const char *find_log(GLogLevelFlags level)
{
	unsigned i;

	for (i = 0; i < fx->len; i++) {
		struct agt_effect *e = &g_array_index(fx, struct agt_effect, i);

		if (e->kind == AGT_FX_LOG && e->log.level == level)
			return e->log.message;
	}
	return "";
}

/*
 * Tables of a later program version have unknown keys. The agent must adopt
 * them and send them on to an entry unchanged, not refuse them or drop keys.
 */
START_TEST(test_later_tables)
{
	g_autoptr(GBytes) plain = tables_document(5, "i");
	g_autoptr(GBytes) plain_next = tables_document(6, "i");
	g_autoptr(GBytes) later = later_document(plain);
	g_autoptr(GBytes) next = later_document(plain_next);
	const struct Rp__TablesUpdate *update;
	const void *data;
	gsize len;

	deliver(1, wire_tables_update_new(later));
	ck_assert_uint_eq(committed().tables_generation, 5);
	deliver(1, wire_delta_new(later, next, 6));
	ck_assert_uint_eq(committed().tables_generation, 6);
	ck_assert_ptr_nonnull(
		strstr(find_log(G_LOG_LEVEL_WARNING), "pools.burst"));
	ck_assert_ptr_null(sent(RP__FRAME__BODY_TABLES_WANTED));
	request(1, 1, "checks", 100, 4);
	data = g_bytes_get_data(next, &len);
	update = sent(RP__FRAME__BODY_TABLES_UPDATE)->tables_update;
	ck_assert_uint_eq(update->document.len, len);
	ck_assert_mem_eq(update->document.data, data, len);
}
END_TEST

/*
 * The upstream still processes a cancelled request: if its slot were freed, the
 * upstream would get too many requests.
 */
START_TEST(test_cancel)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_CANCEL);

	request(1, 1, "checks", 100, 0);
	frame->cancel->id = 1;
	deliver(1, frame);
	ck_assert_int_eq(reply()->outcome, RP__OUTCOME__OUTCOME_UNKNOWN);
	ck_assert_uint_eq(committed().slots, 1);
	upstream(1, AGT_UPSTREAM_NOT_SENT);
	ck_assert_ptr_null(sent(RP__FRAME__BODY_REPLY));
	ck_assert_uint_eq(committed().slots, 0);
}
END_TEST

/*
 * A report on each change would overload the entries; without heartbeats they
 * would take the VM for lost.
 */
START_TEST(test_report_interval)
{
	unsigned reports = 0;
	guint64 id;

	tick(1000);
	for (id = 1; id <= 1000; id++) {
		request(1, id, "checks", 100, 0);
		upstream(id, AGT_UPSTREAM_ANSWERED);
		tick(10);
		reports += sent(RP__FRAME__BODY_REPORT) != NULL;
	}
	ck_assert_uint_ge(reports, 9);
	ck_assert_uint_le(reports, 11);
	for (reports = 0, id = 0; id < 100; id++) {
		tick(100);
		reports += sent(RP__FRAME__BODY_REPORT) != NULL;
	}
	ck_assert_uint_ge(reports, 5);
}
END_TEST

/* Entry e2 reports n requests sent to an earlier agent process. */
static void welcome_carried_over(guint64 conn, const char *pool, unsigned n)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_WELCOME);
	struct Rp__Unended *unended = g_new(struct Rp__Unended, 1);

	rp__unended__init(unended);
	wire_set_string(&unended->pool, pool);
	unended->n_remaining_ms = n;
	unended->remaining_ms = g_new0(uint32_t, n);
	while (n-- > 0)
		unended->remaining_ms[n] = 300;
	wire_set_string(&frame->welcome->entry_id, "e2");
	frame->welcome->n_unended = 1;
	frame->welcome->unended = g_new0(struct Rp__Unended *, 1);
	frame->welcome->unended[0] = unended;
	simple(AGT_EV_CONNECTED, conn);
	deliver(conn, frame);
}

static gboolean admitted(guint64 id)
{
	request(1, id, "scores", 100, 0);
	return find(AGT_FX_FORWARD) != NULL;
}

/*
 * Requests of an earlier agent process still run at the upstream. If they used
 * no slots, it would get too many requests; if they were counted again after a
 * reconnection, or never freed, slots would be lost.
 */
START_TEST(test_carried_over_slots)
{
	welcome_carried_over(2, "scores", 2);
	ck_assert_uint_eq(committed().slots, 2);
	simple(AGT_EV_CLOSED, 2);
	tick(200);
	welcome_carried_over(3, "scores", 2);
	ck_assert(admitted(1));
	ck_assert(admitted(2));
	ck_assert(!admitted(3));
	ck_assert_uint_eq(reply()->others_in_use[1], 2);
	tick(100);
	ck_assert_uint_eq(committed().slots, 2);
	ck_assert(admitted(4));
	ck_assert(admitted(5));
	ck_assert(!admitted(6));
}
END_TEST

/*
 * Until each entry has reported the requests of an earlier agent process, or
 * cannot be reached, an agent that admits requests may exceed its slots.
 */
START_TEST(test_waits_for_entries)
{
	tick(0);
	tick(200);
	worker_tasks("b1", NULL, 0);
	simple(AGT_EV_CONNECTED, 1);
	welcome(1, "e1");
	/* Entries must not send requests yet, since these would be refused. */
	ck_assert_uint_eq(sent(RP__FRAME__BODY_REPORT)->report->slots_in_use,
			  4);
	ck_assert(!admitted(1));
	ck_assert_uint_eq(reply()->others_in_use[0], 4);
	if (_i == 0) {
		/* Slots of a pool that is not in the settings count too. */
		welcome_carried_over(2, "gone", 3);
	} else if (_i == 1) {
		simple(AGT_EV_CLOSED, 2);
	} else {
		tick(999);
		ck_assert(!admitted(2));
		tick(1);
	}
	ck_assert_uint_eq(sent(RP__FRAME__BODY_REPORT)->report->slots_in_use,
			  _i ? 0 : 3);
	ck_assert(admitted(3));
	ck_assert(admitted(4) == (_i > 0));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("agent");
	TCase *fresh = tcase_create("fresh");
	TCase *ready = tcase_create("ready");

	tcase_add_checked_fixture(fresh, setup, teardown);
	tcase_add_test(fresh, test_rebuild_before_dial);
	tcase_add_test(fresh, test_grant_waits_for_late_starts);
	tcase_add_loop_test(fresh, test_waits_for_entries, 0, 3);
	tcase_add_checked_fixture(ready, setup_ready, teardown);
	tcase_add_test(ready, test_carried_over_slots);
	tcase_add_test(ready, test_redial);
	tcase_add_test(ready, test_one_connection_per_entry);
	tcase_add_test(ready, test_slots);
	tcase_add_test(ready, test_slots_in_use_by_others);
	tcase_add_test(ready, test_guaranteed_share);
	tcase_add_loop_test(ready, test_outcome, 0,
			    G_N_ELEMENTS(upstream_outcomes));
	tcase_add_test(ready, test_request_refused);
	tcase_add_test(ready, test_stale_tables);
	tcase_add_test(ready, test_tables_never_revert);
	tcase_add_test(ready, test_table_deltas);
	tcase_add_test(ready, test_later_tables);
	tcase_add_test(ready, test_cancel);
	tcase_add_test(ready, test_report_interval);
	suite_add_tcase(suite, fresh);
	suite_add_tcase(suite, ready);
	return fixture_run(suite);
}
