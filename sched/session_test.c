#include "leader_test.h"

/* The sessions of a leader with its agents, and the leases of workers. */

/* Sets up the leader that follows l, from its records of job a. */
static void setup_next(struct leader *next, struct leader *l)
{
	const struct sch_job *a = g_hash_table_lookup(l->s->jobs, "a");
	g_autoptr(GBytes) job = sch_record_job(a);
	g_autoptr(GBytes) progress = sch_record_progress(a);

	setup(next);
	sch_load_job(next->s, "a", g_bytes_get_data(job, NULL),
		     g_bytes_get_size(job));
	sch_load_progress(next->s, "a", g_bytes_get_data(progress, NULL),
			  g_bytes_get_size(progress), UNIX_MS);
}

/* What an agent reports besides run lists. */
struct state_report {
	guint64 worker_started_ms;
	gint64 clock_ms;
	guint32 clock_age_ms;
	gint64 lease_until_ms;
	guint32 silent_ms;
	guint32 agent_up_ms;
};

/* Prepares a report of the worker on vm1, in the current session; the messages
 * belong to the caller. */
static void init_report(struct leader *l, struct Rp__VmReport *body,
			struct Rp__WorkerInfo *info,
			struct Rp__Resources *capacity,
			guint64 worker_started_ms)
{
	rp__vm_report__init(body);
	rp__worker_info__init(info);
	rp__resources__init(capacity);
	capacity->cpu_milli = CPU_MILLI;
	capacity->memory_bytes = 1 << 30;
	info->worker_id = (char *)"vm1";
	info->born_ms = worker_started_ms;
	info->pool = (char *)"p";
	info->capacity = capacity;
	body->fence = sch_vm_get(l->s, "vm1")->fencing_token;
	body->worker = info;
}

static void report_state(struct leader *l, const struct state_report *state)
{
	struct Rp__VmReport body;
	struct Rp__WorkerInfo info;
	struct Rp__Resources capacity;
	struct sch_event ev = { .kind = SCH_EVENT_REPORT,
				.vm = "vm1",
				.report = &body };

	init_report(l, &body, &info, &capacity, state->worker_started_ms);
	body.clock_ms = state->clock_ms;
	body.clock_age_ms = state->clock_age_ms;
	body.lease_until_ms = state->lease_until_ms;
	body.silent_ms = state->silent_ms;
	body.agent_up_ms = state->agent_up_ms;
	reduce(l, &ev);
}

/* Reports for longer than a lease of an earlier incarnation may last. */
static void settle(struct leader *l)
{
	guint i;

	for (i = 0; i < 20; i++) {
		tick(l, 1000);
		confirm_leadership(l);
		report(l, "vm1", 50, NULL, 0);
	}
}

/*
 * Guards against a second run of a task while the first may still run: after a
 * lost connection, the run counts as lost only when its worker's lease has
 * expired.
 */
START_TEST(test_lost_vm_waits_for_lease)
{
	struct row running = { "a.0.0.0", 1,  RP__RUN_END_KIND__RUN_END_NONE,
			       0,	  10, 0 };
	guint i;
	struct leader l;

	setup(&l);
	add_vm(&l, "vm1");
	submit_one_task(&l);
	/* Longer than a lease of an earlier incarnation can be in force. */
	for (i = 0; i < 15; i++) {
		running.percent++;
		tick(&l, 1000);
		confirm_leadership(&l);
		report(&l, "vm1", 50, &running, 1);
	}
	set_connected(&l, FALSE);
	tick(&l, 6000);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->n_runs, 1);
	tick(&l, 2000);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->n_runs, 0);
	teardown(&l);
}
END_TEST

/* Guards against a start that waits in the agent, or unanswered at the worker,
 * and takes effect under a lease granted after the run was given up. */
START_TEST(test_lost_run_cannot_start_under_new_lease)
{
	struct leader l;
	const struct Rp__VmOrders *orders;
	guint64 first;

	setup(&l);
	add_vm(&l, "vm1");
	settle(&l);
	first = last_orders(&l)->fence;
	submit_one_task(&l);
	ck_assert_uint_eq(last_orders(&l)->n_starts, 1);
	tick(&l, 8000);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->n_runs, 0);
	confirm_leadership(&l);
	commit(&l);
	clear_effects(&l);
	/* The worker answers again, but not yet to calls with a new token. */
	report_in_session(&l, first, "vm1", 50, NULL, 0);
	tick(&l, 1000);
	orders = last_orders(&l);
	ck_assert_ptr_nonnull(orders);
	ck_assert_uint_gt(orders->fence, first);
	ck_assert_uint_eq(orders->n_starts, 0);
	ck_assert_int_le(orders->lease_until_ms, 30000 + 7000);
	report(&l, "vm1", 50, NULL, 0);
	commit(&l);
	orders = last_orders(&l);
	ck_assert_uint_eq(orders->n_starts, 1);
	ck_assert_uint_eq(orders->starts[0]->run->attempt, 2);
	ck_assert_int_gt(orders->lease_until_ms, 30000 + 7000);
	teardown(&l);
}
END_TEST

/* Guards against a start that an earlier agent process sent and that takes
 * effect after the new process reported the run as not started. */
START_TEST(test_each_connection_has_its_own_token)
{
	struct leader l;
	guint64 first;
	guint64 second;

	setup(&l);
	add_vm(&l, "vm1");
	submit_one_task(&l);
	first = last_orders(&l)->fence;
	set_connected(&l, FALSE);
	set_connected(&l, TRUE);
	report(&l, "vm1", 50, NULL, 0);
	second = last_orders(&l)->fence;
	ck_assert_uint_gt(second, first);
	/* Without a later revision, nothing is sent until there is one. */
	set_connected(&l, FALSE);
	clear_effects(&l);
	set_connected(&l, TRUE);
	ck_assert_ptr_null(last_orders(&l));
	commit(&l);
	report(&l, "vm1", 50, NULL, 0);
	ck_assert_uint_gt(last_orders(&l)->fence, second);
	ck_assert_uint_eq(count_orders(&l, FALSE), 1);
	teardown(&l);
}
END_TEST

/* Guards against a call to an earlier incarnation that takes effect on the next
 * one after its run was given up. */
START_TEST(test_each_incarnation_has_its_own_token)
{
	struct leader l;
	guint64 first;

	setup(&l);
	add_vm(&l, "vm1");
	submit_one_task(&l);
	first = last_orders(&l)->fence;
	/* The lists of this report were read under the earlier token. */
	report(&l, "vm1", 60, NULL, 0);
	clear_effects(&l);
	commit(&l);
	ck_assert_uint_gt(sch_vm_get(l.s, "vm1")->fencing_token, first);
	ck_assert_uint_eq(count_orders(&l, FALSE), 0);
	teardown(&l);
}
END_TEST

/* Guards against a second transaction for one session. */
START_TEST(test_session_needs_one_transaction)
{
	struct sch_event ev = { .kind = SCH_EVENT_COMMITTED };
	struct leader l;
	guint64 commits;

	setup(&l);
	add_vm(&l, "vm1");
	set_connected(&l, FALSE);
	commits = l.s->stats.commits;
	set_connected(&l, TRUE);
	tick(&l, 200);
	ck_assert_uint_eq(l.s->stats.commits, commits + 1);
	/* The answer takes longer than a tick. */
	tick(&l, 20);
	ev.revision = ++l.revision;
	reduce(&l, &ev);
	ck_assert(!sch_vm_get(l.s, "vm1")->session_due);
	tick(&l, 200);
	ck_assert_uint_eq(l.s->stats.commits, commits + 1);
	teardown(&l);
}
END_TEST

/* Guards against a start on a worker whose lease has expired: the run would be
 * given up at once. */
START_TEST(test_no_start_under_expired_lease)
{
	struct leader l;

	setup(&l);
	add_vm(&l, "vm1");
	/* These orders do not extend the lease, since the confirmation is too
	 * old; the next ones do. */
	tick(&l, 20000);
	confirm_leadership(&l);
	report(&l, "vm1", 50, NULL, 0);
	submit_one_task(&l);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->attempts, 0);
	tick(&l, 1000);
	tick(&l, 1000);
	commit(&l);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->attempts, 1);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->n_runs, 1);
	teardown(&l);
}
END_TEST

/* Guards against a latency target that an agent does not know, since both it
 * and the leader were replaced while the task ran. */
START_TEST(test_new_leader_repeats_targets_of_running_tasks)
{
	struct row running = { "a.0.0.0", 1,   RP__RUN_END_KIND__RUN_END_NONE,
			       0,	  100, 20 };
	struct leader l;
	struct leader next;
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	setup(&l);
	add_vm(&l, "vm1");
	init_step(&step, &need, 1, 1000);
	step.lasts = TRUE;
	step.target_ms = 50;
	submit(&l, "/q/a", steps, 1);
	commit(&l);
	setup_next(&next, &l);
	set_connected(&next, TRUE);
	report(&next, "vm1", 50, &running, 1);
	ck_assert_uint_eq(last_orders(&next)->n_starts, 1);
	ck_assert_uint_eq(last_orders(&next)->starts[0]->target_ms, 50);
	ck_assert_uint_eq(task(&next, "a.0.0.0")->attempts, 1);
	teardown(&l);
	teardown(&next);
}
END_TEST

/*
 * Guards against a task that is retried too late after its worker became
 * unresponsive: a new leader would wait for any lease that an earlier leader
 * may have granted, although the worker's agent reports when the last one ends.
 * (Found by a simulated day, seed 779070089228.)
 */
START_TEST(test_agent_reports_lease_of_unresponsive_worker)
{
	struct state_report state = {
		.worker_started_ms = 50,
		.clock_ms = 40000,
		.clock_age_ms = 5000,
		.lease_until_ms = 46000,
		.silent_ms = 5000,
		.agent_up_ms = 60000,
	};
	struct leader l;
	struct leader next;

	setup(&l);
	add_vm(&l, "vm1");
	submit_one_task(&l);
	setup_next(&next, &l);
	set_connected(&next, TRUE);
	/* An earlier leader may still grant a lease, through an agent process
	 * that replaces this one. */
	report_state(&next, &state);
	tick(&next, 1600);
	ck_assert_uint_eq(task(&next, "a.0.0.0")->n_runs, 1);
	/* 6,000 ms after the election it may not, and this report was made
	 * later, as reports are delayed by at most 3,000 ms. */
	tick(&next, 7400);
	state.clock_ms += 9000;
	state.lease_until_ms += 9000;
	report_state(&next, &state);
	tick(&next, 500);
	ck_assert_uint_eq(task(&next, "a.0.0.0")->n_runs, 1);
	/* 5,000 + 500 + 1,100 ms after its reading of 49,000, the clock shows
	 * at least 55,468: the lease and LEASE_SLACK_MS are over. */
	tick(&next, 1100);
	ck_assert_uint_eq(task(&next, "a.0.0.0")->n_runs, 0);
	teardown(&l);
	teardown(&next);
}
END_TEST

/* Guards against a lease of an earlier leader that is extended after the
 * agent's account of it, through an agent process that knows no fencing token.
 */
START_TEST(test_account_of_leases_ends_with_the_connection)
{
	struct state_report state = {
		.worker_started_ms = 50,
		.clock_ms = 40000,
		.lease_until_ms = 46000,
		.agent_up_ms = 60000,
	};
	struct leader l;
	struct leader next;

	setup(&l);
	add_vm(&l, "vm1");
	submit_one_task(&l);
	setup_next(&next, &l);
	set_connected(&next, TRUE);
	report_state(&next, &state);
	/* The agent process ends; the next one accepts the earlier leader,
	 * which may grant leases until 6 s after the election. */
	set_connected(&next, FALSE);
	tick(&next, 8000);
	ck_assert_uint_eq(task(&next, "a.0.0.0")->n_runs, 1);
	/* 6,000 + 7,000 / 0.98 + 300 ms after the election. */
	tick(&next, 5600);
	ck_assert_uint_eq(task(&next, "a.0.0.0")->n_runs, 0);
	teardown(&l);
	teardown(&next);
}
END_TEST

/* Guards against a lease of up to 10 s that a call to the earlier incarnation
 * gave to the new one just before its first run lists. */
START_TEST(test_first_lease_of_incarnation_may_be_the_longest)
{
	static const struct row running[] = {
		{ "a.0.0.0", 1, RP__RUN_END_KIND__RUN_END_NONE, 0, 10, 0 },
	};
	struct leader l;
	gint64 synced_ms;

	setup(&l);
	add_vm(&l, "vm1");
	settle(&l);
	/* The new incarnation is known by its heartbeats, and answers its
	 * first renewal 8 s later. */
	report(&l, "vm1", 60, NULL, 0);
	commit(&l);
	tick(&l, 8000);
	confirm_leadership(&l);
	report(&l, "vm1", 60, NULL, 0);
	synced_ms = l.now_ms;
	submit_one_task(&l);
	report(&l, "vm1", 60, running, 1);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->n_runs, 1);
	/* No further grant, and silence. */
	l.now_ms = synced_ms + 9000;
	tick(&l, 0);
	ck_assert_uint_eq(task(&l, "a.0.0.0")->n_runs, 1);
	teardown(&l);
}
END_TEST

/* Guards against a leader that answers and grants leases too long, since its
 * process did not run between its election and the answer of the store. */
START_TEST(test_election_is_confirmed_from_its_request)
{
	struct sch_options options = {
		.fencing_token = FENCING_TOKEN,
		.confirmed_ms = 100000,
		.lease_ms = 7000,
		.leadership_valid_ms = 6000,
		.max_ops = 29,
		.retention_ms = 180000,
	};
	struct sch_event tables = { .kind = SCH_EVENT_TABLES,
				    .queues = queues_new() };
	struct leader l = { .now_ms = 110000 };

	l.s = sch_new(&options, l.now_ms);
	l.effects = g_array_new(FALSE, FALSE, sizeof(struct sch_effect));
	reduce(&l, &tables);
	submit_best_effort(&l, "/q/a");
	ck_assert_uint_eq(l.status, 503);
	confirm_leadership(&l);
	submit_best_effort(&l, "/q/a");
	commit(&l);
	ck_assert_uint_eq(l.status, 200);
	teardown(&l);
}
END_TEST

/* Guards against a lease of a leader that may have been replaced: its successor
 * relies on the time after which none is granted. */
START_TEST(test_no_lease_without_recent_confirmation)
{
	struct leader l;

	setup(&l);
	add_vm(&l, "vm1");
	tick(&l, 1000);
	ck_assert_int_gt(last_orders(&l)->lease_until_ms, 0);
	tick(&l, 6000);
	ck_assert_int_eq(last_orders(&l)->lease_until_ms, 0);
	teardown(&l);
}
END_TEST

/* Reports that the start of a run was refused. */
static void report_refused(struct leader *l, const char *name,
			   const char *reason)
{
	struct Rp__VmReport body;
	struct Rp__WorkerInfo info;
	struct Rp__Resources capacity;
	struct Rp__RunName run;
	struct Rp__RunAnswer answer;
	struct Rp__RunAnswer *answers[] = { &answer };
	struct sch_event ev = { .kind = SCH_EVENT_REPORT,
				.vm = "vm1",
				.report = &body };

	init_report(l, &body, &info, &capacity, 50);
	rp__run_name__init(&run);
	rp__run_answer__init(&answer);
	run.task = (char *)name;
	run.attempt = task(l, name)->attempts;
	answer.run = &run;
	answer.reason = (char *)reason;
	body.answers = answers;
	body.n_answers = 1;
	reduce(l, &ev);
}

/* Submits two jobs, whose starts are refused with this reason; returns the
 * number of faults in a row that the worker has then. */
static guint faults_after_refusals(const char *reason)
{
	static const char *const names[] = { "a", "b" };
	struct leader l;
	guint faults;
	guint i;

	setup(&l);
	add_vm(&l, "vm1");
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *path = g_strconcat("/q/", names[i], NULL);
		g_autofree char *name = g_strconcat(names[i], ".0.0.0", NULL);
		struct Rp__StepSpec step;
		struct Rp__Resources need;
		struct Rp__StepSpec *steps[] = { &step };

		init_step(&step, &need, 1, 1000);
		submit(&l, path, steps, 1);
		commit(&l);
		confirm_leadership(&l);
		report_refused(&l, name, reason);
	}
	faults = sch_vm_get(l.s, "vm1")->worker_faults;
	teardown(&l);
	return faults;
}

/* Guards against a sound worker that is quarantined because orders reached it
 * after its lease or under an earlier fencing token. */
START_TEST(test_void_order_is_no_worker_fault)
{
	ck_assert_uint_eq(faults_after_refusals("late"), 0);
	ck_assert_uint_eq(faults_after_refusals("fence"), 0);
	ck_assert_uint_eq(faults_after_refusals("busy"), 2);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("session");
	TCase *tcase = tcase_create("session");

	fixture_drop_logs();
	tcase_add_test(tcase, test_void_order_is_no_worker_fault);
	tcase_add_test(tcase, test_lost_vm_waits_for_lease);
	tcase_add_test(tcase, test_lost_run_cannot_start_under_new_lease);
	tcase_add_test(tcase, test_each_connection_has_its_own_token);
	tcase_add_test(tcase, test_each_incarnation_has_its_own_token);
	tcase_add_test(tcase, test_session_needs_one_transaction);
	tcase_add_test(tcase, test_no_start_under_expired_lease);
	tcase_add_test(tcase, test_new_leader_repeats_targets_of_running_tasks);
	tcase_add_test(tcase, test_agent_reports_lease_of_unresponsive_worker);
	tcase_add_test(tcase, test_account_of_leases_ends_with_the_connection);
	tcase_add_test(tcase,
		       test_first_lease_of_incarnation_may_be_the_longest);
	tcase_add_test(tcase, test_election_is_confirmed_from_its_request);
	tcase_add_test(tcase, test_no_lease_without_recent_confirmation);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
