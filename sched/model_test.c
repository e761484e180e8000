#include "model_zone_test.h"
#include "tests/fixture.h"

/*
 * Simulation of leaders, agents and workers with random faults, on a virtual
 * clock. The reducers are the real ones; workers, connections and the store are
 * models that lose, delay and repeat messages. Checks are made when a worker
 * starts a run, from what the worker and the callers have seen.
 */

static GPtrArray *queues_new(void)
{
	GPtrArray *queues = g_ptr_array_new();
	struct sch_queue *queue = sch_queue_new();

	queue->name = g_strdup("batch");
	queue->host = g_strdup("h");
	queue->path_prefix = g_strdup("/b/");
	queue->pool = g_strdup("pool");
	queue->max_attempts = MAX_ATTEMPTS;
	queue->slack_factor = 2;
	queue->objective_base_ms = 1000;
	g_ptr_array_add(queues, queue);
	return queues;
}

static void load(struct model *m, struct sch *sch)
{
	g_autoptr(GList) keys = g_list_sort(g_hash_table_get_keys(m->store),
					    (GCompareFunc)strcmp);
	GList *k;

	for (k = keys; k; k = k->next) {
		const char *key = k->data;
		gsize len;
		const void *data = g_bytes_get_data(
			g_hash_table_lookup(m->store, key), &len);
		int result;

		if (!strcmp(key, SCH_INTERFERENCE_KEY))
			result = sch_load_interference(sch, data, len);
		else if (g_str_has_prefix(key, SCH_JOB_PREFIX))
			result = sch_load_job(sch, key + strlen(SCH_JOB_PREFIX),
					      data, len);
		else
			result = sch_load_progress(
				sch, key + strlen(SCH_PROGRESS_PREFIX), data,
				len, m->now_ms + 1000000);
		ck_assert_int_eq(result, 0);
	}
}

/* Ends the leader's process. Agents may find out by their idle timeout only. */
static void drop_leader(struct model *m, guint leader)
{
	struct model_leader *l = &m->leaders[leader];
	int vm;

	if (!l->sch)
		return;
	for (vm = 0; vm < VMS; vm++) {
		if (l->links[vm] && (m->faults_off || g_rand_boolean(m->rand)))
			send_frame(m, leader, vm, l->links[vm], TRUE, NULL);
		l->links[vm] = 0;
	}
	if (l->txn)
		kv_txn_free(l->txn);
	l->txn = NULL;
	sch_free(l->sch);
	l->sch = NULL;
}

/* An earlier leader may run for 4 s more without noticing; one that is frozen
 * learns it some time after it continues. */
static gint64 leader_end_ms(struct model *m, guint leader)
{
	gint64 thaw_ms = m->leaders[leader].frozen_until_ms;

	return MAX(m->now_ms + 4000,
		   thaw_ms + g_rand_int_range(m->rand, TICK_MS, 1500));
}

/* Elects another leader. */
static void elect(struct model *m)
{
	struct sch_options options = {
		.lease_ms = LEASE_MS,
		.leadership_valid_ms = LEADERSHIP_VALID_MS,
		.max_ops = MAX_TXN_OPS,
		.retention_ms = 10000000,
		.evacuation_ms = m->load.evacuations ? EVACUATION_MS : 0,
	};
	struct sch_event ev = { .kind = SCH_EVENT_TABLES };
	guint old = m->current;
	guint next = (m->current + 1) % LEADERS;
	struct model_leader *l = &m->leaders[next];

	drop_leader(m, next);
	if (m->leaders[old].sch && g_rand_boolean(m->rand))
		drop_leader(m, old);
	else
		m->leaders[old].end_ms = leader_end_ms(m, old);
	m->current = next;
	memset(l, 0, sizeof(*l));
	l->fencing_token = ++m->revision;
	l->end_ms = G_MAXINT64;
	trace(m, "leader %u is elected at %u", next, (guint)l->fencing_token);
	options.fencing_token = l->fencing_token;
	options.confirmed_ms = m->now_ms;
	l->sch = sch_new(&options, m->now_ms);
	load(m, l->sch);
	ev.queues = queues_new();
	leader_reduce(m, next, &ev);
	m->next_leader_ms =
		m->faults_off
			? G_MAXINT64
			: m->now_ms + g_rand_int_range(m->rand, 3000,
						       m->load.max_term_ms);
}

static void submit(struct model *m)
{
	struct model_job *job = g_new0(struct model_job, 1);
	g_autofree char *id = g_strdup_printf("%016x",
					      g_hash_table_size(m->jobs) + 1);
	g_autofree char *path = g_strconcat("/b/", id, NULL);
	struct Rp__StepCall call;
	struct sch_event ev = { .kind = SCH_EVENT_CALL, .call = &call };
	guint i;

	job->spec = g_malloc(sizeof(*job->spec));
	rp__step_job__init(job->spec);
	job->spec->n_steps = (size_t)g_rand_int_range(m->rand, 1, 4);
	job->spec->steps = g_new0(struct Rp__StepSpec *, job->spec->n_steps);
	for (i = 0; i < job->spec->n_steps; i++) {
		struct Rp__StepSpec *step = g_malloc(sizeof(*step));
		struct Rp__Resources *need = g_malloc(sizeof(*need));

		rp__step_spec__init(step);
		rp__resources__init(need);
		need->cpu_milli = g_rand_int_range(m->rand, 500,
						   m->load.max_cpu_milli);
		step->need = need;
		step->replicas = (guint32)g_rand_int_range(
			m->rand, 1, m->load.max_replicas + 1);
		step->estimate_ms = 1000;
		step->gang = g_rand_double(m->rand) < 0.1;
		if (i) {
			step->n_after = 1;
			step->after = g_new0(guint32, 1);
			step->after[0] = i - 1;
		}
		job->spec->steps[i] = step;
	}
	job->call_ref = ++m->next_ref;
	g_hash_table_insert(m->jobs, g_strdup(id), job);
	rp__step_call__init(&call);
	call.verb = RP__STEP_VERB__STEP_VERB_SUBMIT;
	call.host = (char *)"h";
	call.path = path;
	call.job = job->spec;
	ev.call_ref = job->call_ref;
	if (m->leaders[m->current].sch)
		leader_reduce(m, m->current, &ev);
}

static void agent_start(struct model *m, int vm)
{
	m->vms[vm].runs = runs_new();
	m->vms[vm].agent_epoch++;
	m->vms[vm].link = 0;
	m->vms[vm].frozen_until_ms = 0;
}

static void agent_stop(struct model *m, int vm, gint64 restart_ms)
{
	guint i;

	trace(m, "vm %d: the agent ends", vm);
	runs_free(m->vms[vm].runs);
	m->vms[vm].runs = NULL;
	m->vms[vm].agent_restart_ms = restart_ms;
	for (i = 0; i < LEADERS; i++) {
		const struct model_leader *l = &m->leaders[i];

		/* Otherwise the leader finds out by its idle timeout. */
		if (l->sch && l->links[vm] && g_rand_boolean(m->rand))
			send_frame(m, i, vm, l->links[vm], FALSE, NULL);
	}
}

static void heartbeat(struct model *m, int vm)
{
	struct Rp__WorkerInfo info;
	struct Rp__Resources capacity;
	struct runs_event ev = { .kind = RUNS_EVENT_WORKER_INFO,
				 .worker = &info };
	g_autofree char *id = g_strdup_printf("w%d", vm);
	g_autofree char *zone = g_strdup_printf("z%d", vm % ZONES);

	if (!m->vms[vm].runs || !m->vms[vm].worker.up || agent_frozen(m, vm))
		return;
	rp__worker_info__init(&info);
	rp__resources__init(&capacity);
	capacity.cpu_milli = CAPACITY_MILLI;
	info.capacity = &capacity;
	info.worker_id = id;
	info.born_ms = m->vms[vm].worker.started_ms;
	info.pool = (char *)"pool";
	info.zone = zone;
	info.sequence = (guint64)m->now_ms;
	agent_reduce(m, vm, &ev);
}

static void worker_crash(struct model *m, int vm, gint64 restart_ms)
{
	trace(m, "vm %d: the worker crashes", vm);
	m->vms[vm].worker.up = FALSE;
	m->vms[vm].worker.restart_ms = restart_ms;
}

static void cut_links(struct model *m, int vm, gint64 max_reconnect_ms)
{
	guint i;

	for (i = 0; i < LEADERS; i++) {
		const struct model_leader *l = &m->leaders[i];

		if (l->sch && l->links[vm])
			close_by_leader(
				m, i, vm,
				m->now_ms + g_rand_int_range(m->rand, 0,
							     max_reconnect_ms));
	}
}

static void cut_power(struct model *m)
{
	int vm;

	for (vm = 0; vm < VMS; vm++) {
		worker_crash(m, vm, m->now_ms + 1500);
		if (m->vms[vm].runs)
			agent_stop(m, vm, m->now_ms + 1500);
	}
	m->next_leader_ms = m->now_ms + 1500;
}

/* Disruptions of the system while a worker does not answer. */
static void disrupt(struct model *m, int vm)
{
	struct model_vm *v = &m->vms[vm];
	double kind = g_rand_double(m->rand);

	if (kind < 0.3 && v->runs)
		agent_stop(m, vm,
			   m->now_ms + g_rand_int_range(m->rand, 20, 2000));
	else if (kind < 0.8)
		cut_links(m, vm, 500);
	else if (kind < 0.95)
		m->next_leader_ms = m->now_ms;
	else
		cut_power(m);
}

static void freeze(struct model *m, int vm)
{
	struct model_leader *l = &m->leaders[m->current];
	gint64 until_ms = m->now_ms + g_rand_int_range(m->rand, 2000, 14000);

	if (g_rand_double(m->rand) < 0.8) {
		trace(m, "vm %d: the agent is frozen until %d", vm,
		      (int)until_ms);
		m->vms[vm].frozen_until_ms = until_ms;
		return;
	}
	trace(m, "leader %u is frozen until %d", m->current, (int)until_ms);
	l->frozen_until_ms = until_ms;
	l->confirm_sent_ms = m->now_ms;
	/* Its lease of the leader's key expires. */
	m->next_leader_ms = m->now_ms + g_rand_int_range(m->rand, 1300, 2500);
}

static void inject_faults(struct model *m)
{
	int vm = g_rand_int_range(m->rand, 0, VMS);
	struct model_vm *v = &m->vms[vm];

	if (fault_occurs(m, m->load.unresponsive_probability)) {
		v->unresponsive_until_ms =
			m->now_ms + g_rand_int_range(m->rand, 4000, 14000);
		trace(m, "vm %d: unresponsive until %d", vm,
		      (int)v->unresponsive_until_ms);
	}
	if (fault_occurs(m, m->load.burst_probability)) {
		v->burst_ms = m->now_ms + g_rand_int_range(m->rand, 500, 10000);
		trace(m, "vm %d: keeps calls until %d", vm, (int)v->burst_ms);
	}
	if (fault_occurs(m, m->load.crash_probability) && v->worker.up)
		worker_crash(m, vm,
			     m->now_ms + g_rand_int_range(m->rand, 200, 6000));
	if (fault_occurs(m, 0.002) && v->runs)
		agent_stop(m, vm,
			   m->now_ms + g_rand_int_range(m->rand, 200, 5000));
	if (fault_occurs(m, 0.003))
		cut_links(m, vm, 9000);
	if (fault_occurs(m, m->load.freeze_probability))
		freeze(m, vm);
	if ((m->now_ms < v->unresponsive_until_ms || m->now_ms < v->burst_ms) &&
	    fault_occurs(m, m->load.disruption_probability))
		disrupt(m, vm);
	/* All VMs lose power. */
	if (fault_occurs(m, 0.0002))
		cut_power(m);
}

static void step_agent(struct model *m, int vm)
{
	struct model_vm *v = &m->vms[vm];
	struct runs_event ev = { .kind = RUNS_EVENT_TICK };

	worker_tick(m, vm);
	if (!v->runs && m->now_ms >= v->agent_restart_ms)
		agent_start(m, vm);
	if (m->now_ms % 1500 == vm * 100)
		heartbeat(m, vm);
	/* An agent that was frozen finds either its timer or the frames first.
	 */
	if (v->frozen_until_ms == m->now_ms && g_rand_boolean(m->rand))
		v->received_ms = m->now_ms;
	if (v->runs && !agent_frozen(m, vm))
		agent_reduce(m, vm, &ev);
}

/* The store confirms, as of this time, the leadership and the tables. */
static void confirm(struct model *m, guint leader, gint64 confirmed_ms)
{
	struct sch_event ev = { .kind = SCH_EVENT_LEADERSHIP_CONFIRMED,
				.confirmed_ms = confirmed_ms };

	leader_reduce(m, leader, &ev);
	ev.kind = SCH_EVENT_TABLES_CONFIRMED;
	leader_reduce(m, leader, &ev);
}

static void step_leader(struct model *m, guint leader)
{
	struct model_leader *l = &m->leaders[leader];
	struct sch_event ev = { .kind = SCH_EVENT_TICK };
	int vm;

	if (l->sch && m->now_ms >= l->end_ms)
		drop_leader(m, leader);
	if (!l->sch)
		return;
	run_txn(m, leader);
	if (m->now_ms < l->frozen_until_ms)
		return;
	watch_zones(m, leader);
	if (l->confirm_sent_ms) {
		gint64 sent_ms = l->confirm_sent_ms;

		l->confirm_sent_ms = 0;
		confirm(m, leader, sent_ms);
	}
	for (vm = 0; vm < VMS; vm++)
		if (!l->links[vm] && m->now_ms >= l->reconnect_ms[vm])
			connect_vm(m, leader, vm);
	if (leader == m->current && m->now_ms >= l->next_confirm_ms) {
		l->next_confirm_ms = m->now_ms + 500;
		confirm(m, leader, m->now_ms);
	}
	if (m->now_ms % 20 == 0)
		leader_reduce(m, leader, &ev);
}

static void step(struct model *m)
{
	guint i;
	int vm;

	m->now_ms += TICK_MS;
	if (m->now_ms >= m->next_leader_ms)
		elect(m);
	change_zones(m);
	for (vm = 0; vm < VMS; vm++)
		step_agent(m, vm);
	run_calls(m);
	run_frames(m);
	close_idle_links(m);
	for (i = 0; i < LEADERS; i++)
		step_leader(m, i);
	inject_faults(m);
}

static void free_model_job(gpointer data)
{
	struct model_job *job = data;

	rp__step_job__free_unpacked(job->spec, NULL);
	g_free(job);
}

static void unref_bytes(gpointer bytes)
{
	g_bytes_unref(bytes);
}

static void model_init(struct model *m, guint32 seed,
		       const struct model_load *load)
{
	int vm;

	memset(m, 0, sizeof(*m));
	m->seed = seed;
	m->load = *load;
	m->tracing = g_getenv("RP_TRACE") != NULL;
	m->rand = g_rand_new_with_seed(seed);
	m->store = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 unref_bytes);
	m->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					free_model_job);
	m->done_acked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      NULL);
	m->failures_acked = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, NULL);
	m->done_anywhere = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL);
	for (vm = 0; vm < 2; vm++)
		m->arrivals[vm] = g_hash_table_new(NULL, NULL);
	m->calls = g_ptr_array_new();
	m->frames = g_ptr_array_new();
	for (vm = 0; vm < VMS; vm++) {
		m->vms[vm].name = g_strdup_printf("vm%d", vm);
		worker_init(m, &m->vms[vm].worker);
		agent_start(m, vm);
	}
}

static void model_clear(struct model *m)
{
	guint i;
	int vm;

	for (i = 0; i < LEADERS; i++)
		drop_leader(m, i);
	for (vm = 0; vm < VMS; vm++) {
		if (m->vms[vm].runs)
			runs_free(m->vms[vm].runs);
		worker_clear(&m->vms[vm].worker);
		g_free(m->vms[vm].name);
	}
	for (i = 0; i < m->calls->len; i++)
		free_call(m->calls->pdata[i]);
	for (i = 0; i < m->frames->len; i++)
		free_frame(m->frames->pdata[i]);
	for (i = 0; i < 2; i++)
		g_hash_table_unref(m->arrivals[i]);
	g_ptr_array_unref(m->calls);
	g_ptr_array_unref(m->frames);
	g_hash_table_unref(m->store);
	g_hash_table_unref(m->jobs);
	g_hash_table_unref(m->done_acked);
	g_hash_table_unref(m->failures_acked);
	g_hash_table_unref(m->done_anywhere);
	g_rand_free(m->rand);
}

/* Checks that accepted jobs have ended, and that done ones ran their steps in
 * order. */
static void check_jobs(struct model *m, guint32 seed)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	guint accepted = 0;

	g_hash_table_iter_init(&iter, m->jobs);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct model_job *job = value;
		const struct sch_job *known = g_hash_table_lookup(
			m->leaders[m->current].sch->jobs, key);

		if (!job->accepted)
			continue;
		accepted++;
		ck_assert_msg(known != NULL, "seed %u: job %s is lost", seed,
			      (char *)key);
		ck_assert_msg(sch_job_has_ended(known),
			      "seed %u: job %s has not ended", seed,
			      (char *)key);
		if (known->state == RP__JOB_STATE__JOB_STATE_DONE)
			check_step_order(m, key, job->spec,
					 (guint)job->spec->n_steps - 1);
	}
	ck_assert_uint_gt(accepted, 5);
	ck_assert_uint_gt(m->starts, 20);
}

/* Runs the seeds that RP_FIRST_SEED and RP_SEEDS name; RP_LOAD names a load. */
static void run_seeds(const struct model_load *load)
{
	const char *text = g_getenv("RP_SEEDS");
	const char *first_text = g_getenv("RP_FIRST_SEED");
	guint first = first_text ? (guint)atoi(first_text) : 1;
	guint seeds = text ? (guint)atoi(text) : DEFAULT_SEEDS;
	guint64 events = 0;
	guint64 starts_before_bound = 0;
	guint seed;

	for (seed = first; seed < first + seeds; seed++) {
		struct model m;

		model_init(&m, seed, load);
		elect(&m);
		while (m.now_ms < FAULT_PHASE_MS) {
			step(&m);
			if (m.now_ms < FAULT_PHASE_MS - 10000 &&
			    m.now_ms % load->submit_interval_ms == 0)
				submit(&m);
		}
		m.faults_off = TRUE;
		/* A new leader is elected, since the answer to the last
		 * transaction may have been lost. */
		m.next_leader_ms = m.now_ms;
		while (m.now_ms < FAULT_PHASE_MS + RECOVERY_MS)
			step(&m);
		check_jobs(&m, seed);
		starts_before_bound += m.starts_before_bound;
		events += m.events;
		model_clear(&m);
	}
	ck_assert_uint_gt(events, seeds * 10000);
	/* The evacuations came while tasks were started. */
	ck_assert(!load->evacuations || starts_before_bound);
}

/* Many runs, so that orders wait in the agent. */
#define MANY_RUNS                                                              \
	.submit_interval_ms = 500, .max_replicas = 30, .max_cpu_milli = 1000,  \
	.max_term_ms = 80000, .unresponsive_probability = 0.004,               \
	.crash_probability = 0.002

/* Few runs, of which many outlast the worker's lease. */
#define LONG_RUNS                                                              \
	.submit_interval_ms = 1000, .max_replicas = 10, .max_cpu_milli = 1000, \
	.max_term_ms = 80000, .unresponsive_probability = 0.004,               \
	.crash_probability = 0.002, .long_run_probability = 0.5

#define ALL_DISRUPTIONS                                                        \
	.freeze_probability = 0.001, .disruption_probability = 0.005,          \
	.clocks_differ = TRUE, .frame_delay_probability = 0.001,               \
	.late_commit_probability = 0.02, .burst_probability = 0.001

/*
 * Each guards against a task that runs twice at a time or after it was done, a
 * run that starts or goes on after the leader has given it up, a lease that the
 * leader takes to end too early, a VM whose capacity is exceeded, a step that
 * starts before its predecessors are done, a start of a refused job, a start in
 * a zone that was evacuated before the bound, and a job that is lost or never
 * ends.
 */
static const struct {
	const char *name;
	/** FALSE if it is run only when RP_LOAD names it. */
	gboolean by_default;
	struct model_load load;
} loads[] = {
	/* Killed processes, cut connections, lost answers, late calls and two
	 * leaders at a time. */
	{ "faults",
	  TRUE,
	  { .submit_interval_ms = 1000,
	    .max_replicas = 4,
	    .max_cpu_milli = 4000,
	    .max_term_ms = 15000,
	    .crash_probability = 0.002 } },
	/* Starts that the worker had left unanswered. */
	{ "unresponsive", TRUE, { MANY_RUNS } },
	/* Leases that expire before a run's end. */
	{ "long", TRUE, { LONG_RUNS } },
	{ "outlive", TRUE, { LONG_RUNS, .calls_outlive_worker = TRUE } },
	{ "disrupt",
	  TRUE,
	  { MANY_RUNS, .disruption_probability = 0.01, .clocks_differ = TRUE,
	    .burst_probability = 0.002 } },
	{ "all", TRUE, { MANY_RUNS, ALL_DISRUPTIONS } },
	{ "long-all", TRUE, { LONG_RUNS, ALL_DISRUPTIONS } },
	/* Evacuations of zones, with all of the above. */
	{ "evacuate", TRUE, { MANY_RUNS, .evacuations = TRUE } },
	{ "evacuate-all",
	  TRUE,
	  { MANY_RUNS, ALL_DISRUPTIONS, .evacuations = TRUE } },
	/* Parts of these. */
	{ "only-disrupt",
	  FALSE,
	  { MANY_RUNS, .disruption_probability = 0.01 } },
	{ "clocks", FALSE, { MANY_RUNS, .clocks_differ = TRUE } },
	{ "burst", FALSE, { MANY_RUNS, .burst_probability = 0.002 } },
	{ "freeze", FALSE, { MANY_RUNS, .freeze_probability = 0.002 } },
	{ "delay",
	  FALSE,
	  { MANY_RUNS, .frame_delay_probability = 0.003,
	    .late_commit_probability = 0.05 } },
	/* No order of the leader can precede the late call, so these show what
	 * the worker's contract leaves open. */
	{ "outlive-starts",
	  FALSE,
	  { MANY_RUNS, .calls_outlive_worker = TRUE,
	    .starts_outlive_worker = TRUE } },
	{ "outlive-unknown",
	  FALSE,
	  { MANY_RUNS, .calls_outlive_worker = TRUE,
	    .starts_outlive_worker = TRUE,
	    .calls_reach_unknown_worker = TRUE } },
	/* Leases that the contract does not have. */
	{ "arrival", FALSE, { MANY_RUNS, .leases_from_arrival = TRUE } },
};

START_TEST(test_abandoned_starts_never_run)
{
	run_seeds(&loads[_i].load);
}
END_TEST

static void drop_log(const char *domain G_GNUC_UNUSED,
		     GLogLevelFlags level G_GNUC_UNUSED,
		     const char *message G_GNUC_UNUSED,
		     gpointer data G_GNUC_UNUSED)
{
}

int main(void)
{
	Suite *suite = suite_create("sched_model");
	TCase *tcase = tcase_create("model");
	const char *name = g_getenv("RP_LOAD");
	int i;

	fixture_drop_logs();
	g_log_set_default_handler(drop_log, NULL);
	/* Seconds; the seeds take longer than the default of check. */
	tcase_set_timeout(tcase, 600);
	for (i = 0; i < (int)G_N_ELEMENTS(loads); i++)
		if (name ? !strcmp(name, loads[i].name) : loads[i].by_default)
			tcase_add_loop_test(tcase,
					    test_abandoned_starts_never_run, i,
					    i + 1);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
