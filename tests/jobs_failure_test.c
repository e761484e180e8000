#include "tests/site_fixture.h"

/* Jobs that are submitted before a fault is injected. */
#define JOBS 6

/*
 * Bounds of docs/design.md: 10 s until a VM counts as lost, and the 22.2 s of
 * JOB_FENCE_WAIT_MS until its jobs may start elsewhere; plus 5 s of slack.
 */
#define VM_LOST_BOUND_MS (10000 + 22200 + 5000)

/*
 * An entry's lease expires after 10 s; 5 s for another entry to claim its
 * shards and to load their records.
 */
#define OWNER_LOST_BOUND_MS (10000 + 5000)

/* Index of the VM that faults apply to; it runs tasks when a fault begins. */
static unsigned busy;

/*
 * Submits JOBS jobs through both entries, repeats refused ones for 10 s, and
 * writes their ids, which the caller frees.
 */
static void submit_jobs(struct site *site, unsigned run_ms, char **ids)
{
	g_autofree char *payload =
		g_strdup_printf("{\"run_ms\":%u,\"result\":\"r\"}", run_ms);
	unsigned i;

	for (i = 0; i < JOBS; i++) {
		g_autofree char *key = g_strdup_printf("key-%u", i);
		gint64 end = clock_now_ms() + 10000;
		long status;

		do {
			ids[i] = NULL;
			status = site_submit(site, i % 2, key, "score", payload,
					     &ids[i]);
			if (status != 201)
				g_usleep(50000);
		} while (status != 201 && clock_now_ms() < end);
		ck_assert_int_eq(status, 201);
		ck_assert_ptr_nonnull(ids[i]);
	}
}

/* Waits until the state of each job is one of states, separated by "|". */
static void wait_jobs(struct site *site, char **ids, const char *states,
		      unsigned timeout_ms)
{
	gint64 end = clock_now_ms() + timeout_ms;
	unsigned i;

	for (i = 0; i < JOBS; i++) {
		gint64 left = MAX(end - clock_now_ms(), 1);

		ck_assert_msg(site_wait_job(site, ids[i], states,
					    (unsigned)left) == 0,
			      "job %s is %s, not %s", ids[i],
			      site_job_state(site, 0, ids[i]), states);
	}
}

static void check_all_finished_once(struct site *site)
{
	struct site_check check;

	fixture_check_records(site);
	site_check(site, &check);
	ck_assert_uint_eq(check.finished, JOBS);
}

struct job_fault {
	const char *name;
	/** Called when all jobs run; returns when the fault has ended. */
	void (*apply)(struct site *site);
	/** Run time of each job. */
	unsigned run_ms;
	/** From the end of the fault until all jobs are done. */
	unsigned bound_ms;
	/** The fault needs relays between agents and entries. */
	gboolean relays;
	/** Send offers until the jobs are done. */
	gboolean offers;
};

static void restart_agent(struct site *site)
{
	site_signal(site, SITE_AGENT, busy, SIGKILL);
	g_usleep(1000000);
	site_start_process(site, SITE_AGENT, busy);
}

static void restart_entry(struct site *site)
{
	site_signal(site, SITE_ENTRY, 1, SIGKILL);
	g_usleep(1000000);
	site_start_process(site, SITE_ENTRY, 1);
}

static void lose_entry(struct site *site)
{
	site_signal(site, SITE_ENTRY, 1, SIGKILL);
}

static void lose_vm(struct site *site)
{
	site_kill_vm(site, busy);
}

static void reboot_worker(struct site *site)
{
	ck_assert_int_eq(
		site_fault(site, SITE_WORKER, busy, "{\"reboot\": true}"), 0);
}

/* 40 s: longer than it takes until the VM counts as lost and is fenced. */
static void freeze_agent_past_fence(struct site *site)
{
	site_signal(site, SITE_AGENT, busy, SIGSTOP);
	g_usleep(40 * 1000000UL);
	site_signal(site, SITE_AGENT, busy, SIGCONT);
}

/* 15 s: longer than an entry's lease. */
static void freeze_entry_past_lease(struct site *site)
{
	site_signal(site, SITE_ENTRY, 1, SIGSTOP);
	g_usleep(15 * 1000000UL);
	site_signal(site, SITE_ENTRY, 1, SIGCONT);
}

/* Sets a fault for 40 s at the VM's relays, 2 for each VM. */
static void cut_past_fence(struct site *site, const char *cut)
{
	ck_assert_int_eq(site_fault(site, SITE_RELAY, 2 * busy, cut), 0);
	ck_assert_int_eq(site_fault(site, SITE_RELAY, 2 * busy + 1, cut), 0);
	g_usleep(40 * 1000000UL);
	ck_assert_int_eq(site_fault(site, SITE_RELAY, 2 * busy, "{}"), 0);
	ck_assert_int_eq(site_fault(site, SITE_RELAY, 2 * busy + 1, "{}"), 0);
}

static void cut_vm_past_fence(struct site *site)
{
	cut_past_fence(site,
		       "{\"cut_to_entry\": true, \"cut_to_agent\": true}");
}

static void platform_down_for(struct site *site, unsigned ms)
{
	ck_assert_int_eq(site_fault(site, SITE_PLATFORM, 0, "{\"down\": true}"),
			 0);
	g_usleep(ms * 1000UL);
	ck_assert_int_eq(
		site_fault(site, SITE_PLATFORM, 0, "{\"down\": false}"), 0);
}

static void platform_down_10_s(struct site *site)
{
	platform_down_for(site, 10000);
}

/* Longer than a grant lasts: suspended tasks must resume afterwards. */
static void platform_down_30_s(struct site *site)
{
	platform_down_for(site, 30000);
}

/* The store executes transactions, but closes connections without an answer. */
static void platform_loses_answers(struct site *site)
{
	unsigned i;

	for (i = 0; i < 10; i++) {
		ck_assert_int_eq(site_fault(site, SITE_PLATFORM, 0,
					    "{\"lose_answers\": 2}"),
				 0);
		g_usleep(300000);
	}
}

static void leases_expire(struct site *site)
{
	ck_assert_int_eq(
		site_fault(site, SITE_PLATFORM, 0, "{\"expire_leases\": true}"),
		0);
}

static void lose_vm_and_entry(struct site *site)
{
	lose_vm(site);
	lose_entry(site);
}

static void lose_entry_with_platform_down(struct site *site)
{
	lose_entry(site);
	platform_down_10_s(site);
}

static void freeze_agent_and_lose_entry(struct site *site)
{
	lose_entry(site);
	freeze_agent_past_fence(site);
}

static void lose_vm_with_platform_down(struct site *site)
{
	lose_vm(site);
	platform_down_10_s(site);
}

static void lose_two_vms(struct site *site)
{
	lose_vm(site);
	site_kill_vm(site, (busy + 1) % 3);
}

static void cut_to_entries(struct site *site)
{
	cut_past_fence(site, "{\"cut_to_entry\": true}");
}

static void cut_to_agents(struct site *site)
{
	cut_past_fence(site, "{\"cut_to_agent\": true}");
}

static void drain_agent_and_lose_entry(struct site *site)
{
	site_signal(site, SITE_AGENT, busy, SIGTERM);
	lose_entry(site);
	ck_assert_int_eq(site_wait_exit(site, SITE_AGENT, busy, 40000), 0);
}

/* Entry i and VM i share a zone; the other two VMs have to run the 6 jobs. */
static void lose_zone(struct site *site)
{
	ck_assert_uint_lt(busy, 2);
	site_signal(site, SITE_ENTRY, busy, SIGKILL);
	lose_vm(site);
}

static void restart_both_entries(struct site *site)
{
	site_signal(site, SITE_ENTRY, 0, SIGKILL);
	restart_entry(site);
	site_start_process(site, SITE_ENTRY, 0);
}

/*
 * In the names, "platform" is the platform's key-value store (the store), and
 * "frozen" is paused by SIGSTOP.
 */
static const struct job_fault job_faults[] = {
	{ "agent restarted", restart_agent, 4000, 20000, FALSE },
	{ "entry restarted", restart_entry, 4000, OWNER_LOST_BOUND_MS + 10000,
	  FALSE },
	{ "entry lost", lose_entry, 4000, OWNER_LOST_BOUND_MS + 10000, FALSE },
	{ "VM lost", lose_vm, 4000, VM_LOST_BOUND_MS + 10000, FALSE },
	{ "worker rebooted", reboot_worker, 4000, 20000, FALSE },
	{ "agent frozen past the fence", freeze_agent_past_fence, 30000, 60000,
	  FALSE },
	{ "entry frozen past its lease", freeze_entry_past_lease, 20000, 40000,
	  FALSE },
	{ "VM cut off past the fence", cut_vm_past_fence, 30000, 60000, TRUE },
	{ "platform down for 10 s", platform_down_10_s, 12000, 20000, FALSE },
	{ "platform down for 30 s", platform_down_30_s, 25000, 45000, FALSE },
	{ "answers of the platform lost", platform_loses_answers, 2000, 30000,
	  FALSE },
	{ "leases expired", leases_expire, 3000, 30000, FALSE },
	{ "VM and entry lost", lose_vm_and_entry, 4000,
	  VM_LOST_BOUND_MS + OWNER_LOST_BOUND_MS + 10000, FALSE },
	{ "entry lost while the platform is down",
	  lose_entry_with_platform_down, 4000, OWNER_LOST_BOUND_MS + 20000,
	  FALSE },
	{ "agent frozen past the fence, entry lost",
	  freeze_agent_and_lose_entry, 30000, 60000, FALSE },
	{ "VM lost while the platform is down", lose_vm_with_platform_down,
	  4000, VM_LOST_BOUND_MS + 10000, FALSE },
	{ "two VMs lost", lose_two_vms, 4000, VM_LOST_BOUND_MS + 20000, FALSE },
	{ "link cut to entries past the fence", cut_to_entries, 30000, 60000,
	  TRUE },
	{ "link cut to agents past the fence", cut_to_agents, 30000, 60000,
	  TRUE },
	{ "agent drained, entry lost", drain_agent_and_lose_entry, 8000,
	  OWNER_LOST_BOUND_MS + 15000, FALSE },
	{ "availability zone lost", lose_zone, 4000,
	  VM_LOST_BOUND_MS + OWNER_LOST_BOUND_MS + 10000, FALSE, TRUE },
	{ "both entries restarted", restart_both_entries, 4000,
	  OWNER_LOST_BOUND_MS + 10000, FALSE, TRUE },
};

/*
 * Guards against a job that executes in two places at once, finishes twice or
 * is lost during or after each fault, and against jobs that are not done within
 * the bound after it.
 */
START_TEST(test_jobs_under_fault)
{
	const struct job_fault *fault = &job_faults[_i];
	struct site_options options;
	struct load *offers = NULL;
	char *ids[JOBS];
	struct site *site;
	gint64 fault_end_ms;
	unsigned i;

	fixture_options(&options);
	options.relays = fault->relays;
	site = fixture_start(&options);
	submit_jobs(site, fault->run_ms, ids);
	wait_jobs(site, ids, "running|done", 10000);
	for (busy = 0; busy < 2 && !fixture_tasks(site, busy, "running");)
		busy++;
	if (fault->offers)
		offers = fixture_load(site, "POST", "/offer/1", 2, "offer");
	fault->apply(site);
	fault_end_ms = clock_now_ms();
	wait_jobs(site, ids, "done", fault->bound_ms);
	fixture_check_elapsed(fault->name, "all jobs done", fault_end_ms,
			      fault->bound_ms);
	if (offers)
		fixture_check_load(site, offers, NULL);
	check_all_finished_once(site);
	for (i = 0; i < JOBS; i++)
		g_free(ids[i]);
	site_free(site);
}
END_TEST

/* Ten times the jobs of 1 CPU that 3 VMs of 4 CPUs can run at once. */
#define WAVE_JOBS 120
#define WAVE_THREADS 24
/* Jobs whose index is a multiple of this are not cancelled. */
#define WAVE_KEEP_INTERVAL 6
/* The first jobs, up to this number, are cancelled once submitted. */
#define WAVE_CANCEL_EARLY 12
/* Timeout for a job's submission, cancellation or end. */
#define WAVE_TIMEOUT_MS 30000

struct wave_job {
	char *id;
	/** Time of the first answer with state "cancelled", or 0. */
	gint64 cancelled_ms;
	/** HTTP status of the first answer to the cancellation. */
	long status;
	/** The submission was answered with 201. */
	gboolean accepted;
};

/* Jobs that are submitted by several threads at once. */
struct wave {
	struct site *site;
	const char *payload;
	/** The first jobs, up to this number, are cancelled once submitted. */
	unsigned cancel_early;
	struct wave_job jobs[WAVE_JOBS];
};

/*
 * Repeats a cancellation until it is answered with 200; only the first call may
 * go to entry 1, which can be killed meanwhile. data is the job's index plus 1.
 */
static void cancel_one(gpointer data, gpointer ctx)
{
	struct wave *wave = ctx;
	unsigned i = GPOINTER_TO_UINT(data) - 1;
	struct wave_job *job = &wave->jobs[i];
	g_autofree char *target = g_strdup_printf("/v1/jobs/%s", job->id);
	struct call_options options = { .method = "DELETE", .target = target };
	gint64 end_ms = clock_now_ms() + WAVE_TIMEOUT_MS;
	gboolean ended = FALSE;
	unsigned entry = i % 2;

	while (!ended && clock_now_ms() < end_ms) {
		struct call_result result;

		options.address = site_address(wave->site, SITE_ENTRY, entry);
		ended = !call_http(&options, &result) && result.status == 200;
		if (!job->status)
			job->status = result.status;
		if (ended && strstr(result.body->str, "\"cancelled\""))
			job->cancelled_ms = clock_now_ms();
		call_result_clear(&result);
		entry = 0;
		if (!ended)
			g_usleep(50000);
	}
}

/*
 * Repeats a submission with its idempotency key until it is answered with 201.
 * data is the job's index plus 1.
 */
static void submit_one(gpointer data, gpointer ctx)
{
	struct wave *wave = ctx;
	unsigned i = GPOINTER_TO_UINT(data) - 1;
	g_autofree char *key = g_strdup_printf("%s-%u", wave->payload, i);
	gint64 end_ms = clock_now_ms() + WAVE_TIMEOUT_MS;

	while (!wave->jobs[i].accepted && clock_now_ms() < end_ms) {
		g_clear_pointer(&wave->jobs[i].id, g_free);
		wave->jobs[i].accepted = site_submit(wave->site, i % 2, key,
						     "score", wave->payload,
						     &wave->jobs[i].id) == 201;
	}
	if (i < wave->cancel_early && i % WAVE_KEEP_INTERVAL)
		cancel_one(data, ctx);
}

/*
 * Calls function for the jobs from (inclusive) to to (exclusive) in
 * WAVE_THREADS threads; kills entry 1 meanwhile if kill_entry is set.
 */
static void run_in_threads(struct wave *wave, GFunc function, unsigned from,
			   unsigned to, gboolean kill_entry)
{
	GThreadPool *threads = g_thread_pool_new(function, wave, WAVE_THREADS,
						 TRUE, NULL);
	unsigned i;

	for (i = from; i < to; i++)
		if (function != cancel_one || i % WAVE_KEEP_INTERVAL)
			g_thread_pool_push(threads, GUINT_TO_POINTER(i + 1),
					   NULL);
	if (kill_entry)
		site_signal(wave->site, SITE_ENTRY, 1, SIGKILL);
	g_thread_pool_free(threads, FALSE, TRUE);
}

/*
 * Waits until one job has run, since agents refuse tasks in the first seconds
 * after their start.
 */
static void run_first_job(struct wave *wave)
{
	struct wave first = { .site = wave->site, .payload = "{\"run_ms\":1}" };

	submit_one(GUINT_TO_POINTER(WAVE_JOBS), &first);
	ck_assert_int_eq(site_wait_job(wave->site, first.jobs[WAVE_JOBS - 1].id,
				       "done", WAVE_TIMEOUT_MS),
			 0);
	g_free(first.jobs[WAVE_JOBS - 1].id);
}

/*
 * Checks that a job was done once, or that it had stopped when the caller got
 * the state "cancelled". Counts the cancelled jobs whose first call was
 * answered with 200, and those that had started.
 */
static void check_cancelled(struct wave *wave, unsigned i,
			    unsigned *answered_first, unsigned *stopped)
{
	struct wave_job *job = &wave->jobs[i];
	struct site_job runs;

	site_check_job(wave->site, job->id, &runs);
	if (!job->cancelled_ms) {
		ck_assert_int_eq(
			site_wait_job(wave->site, job->id, "done", 1000), 0);
		ck_assert_uint_eq(runs.finishes, 1);
		return;
	}
	ck_assert_msg(runs.end_ms <= job->cancelled_ms,
		      "job %s ran after its cancellation was answered",
		      job->id);
	*answered_first += job->status == 200;
	*stopped += runs.executions > 0;
}

/*
 * Guards against a cancelled job that still runs, and against a job that is
 * lost or runs twice. Ten times the jobs that fit are submitted, most of them
 * are cancelled while they are queued, start or run, and an entry is killed.
 */
START_TEST(test_cancel_wave)
{
	struct wave wave = { .cancel_early = WAVE_CANCEL_EARLY,
			     .payload = "{\"run_ms\":3000,"
					"\"result\":\"r\"}" };
	struct site_options options;
	struct site_job runs;
	unsigned answered_first = 0;
	unsigned stopped = 0;
	unsigned i;

	fixture_options(&options);
	wave.site = fixture_start(&options);
	run_first_job(&wave);
	run_in_threads(&wave, submit_one, 0, WAVE_JOBS, FALSE);
	for (i = 0; i < WAVE_JOBS; i++)
		ck_assert_msg(wave.jobs[i].accepted, "job %u", i);
	run_in_threads(&wave, cancel_one, WAVE_CANCEL_EARLY, WAVE_JOBS / 2,
		       FALSE);
	run_in_threads(&wave, cancel_one, WAVE_JOBS / 2, WAVE_JOBS, TRUE);
	for (i = 0; i < WAVE_JOBS; i += WAVE_KEEP_INTERVAL)
		ck_assert_int_eq(site_wait_job(wave.site, wave.jobs[i].id,
					       "done", WAVE_TIMEOUT_MS),
				 0);
	for (i = 0; i < WAVE_JOBS; i++) {
		if (i % WAVE_KEEP_INTERVAL) {
			check_cancelled(&wave, i, &answered_first, &stopped);
			continue;
		}
		site_check_job(wave.site, wave.jobs[i].id, &runs);
		ck_assert_uint_eq(runs.finishes, 1);
	}
	g_printerr("cancellations: %u at once, %u of jobs that had started\n",
		   answered_first, stopped);
	ck_assert_uint_gt(answered_first, 0);
	ck_assert_uint_gt(stopped, 0);
	fixture_check_records(wave.site);
	for (i = 0; i < WAVE_JOBS; i++)
		g_free(wave.jobs[i].id);
	site_free(wave.site);
}
END_TEST

#define NOISY_JOBS 12
#define NOISY_RUN_MS 4000

/*
 * Guards against memory that stays overcommitted, and against evicted jobs that
 * are lost, resume twice or ignore their checkpoint. The tasks use far more
 * memory than they declared: each VM gets 4 tasks of 3 GiB and has 8 GiB.
 */
START_TEST(test_noisy_wave)
{
	struct wave wave = { .payload = "{\"run_ms\":4000,\"result\":\"r\","
					"\"use_memory_bytes\":3221225472}" };
	struct site_options options;
	gint64 executed_ms = 0;
	unsigned evicted = 0;
	unsigned i;

	fixture_options(&options);
	wave.site = fixture_start(&options);
	run_first_job(&wave);
	run_in_threads(&wave, submit_one, 0, NOISY_JOBS, FALSE);
	for (i = 0; i < NOISY_JOBS; i++) {
		struct site_job runs;

		ck_assert(wave.jobs[i].accepted);
		ck_assert_int_eq(site_wait_job(wave.site, wave.jobs[i].id,
					       "done", WAVE_TIMEOUT_MS),
				 0);
		site_check_job(wave.site, wave.jobs[i].id, &runs);
		ck_assert_uint_eq(runs.finishes, 1);
		evicted += runs.executions > 1;
		executed_ms += runs.executed_ms;
		g_free(wave.jobs[i].id);
	}
	g_printerr("noisy tasks: %u of %u evicted, %" G_GINT64_FORMAT
		   " ms executed, %d needed\n",
		   evicted, NOISY_JOBS, executed_ms, NOISY_JOBS * NOISY_RUN_MS);
	ck_assert_uint_ge(evicted, 6);
	/* At most 10 % more: evicted tasks resume from their checkpoints. */
	ck_assert_int_le(executed_ms * 10, NOISY_JOBS * NOISY_RUN_MS * 11);
	fixture_check_records(wave.site);
	site_free(wave.site);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("jobs under failure");
	TCase *tcase = tcase_create("jobs");
	TCase *wave = tcase_create("waves");

	tcase_set_timeout(tcase, 180);
	fixture_add_loop(tcase, test_jobs_under_fault,
			 G_N_ELEMENTS(job_faults));
	suite_add_tcase(suite, tcase);
	tcase_set_timeout(wave, 60);
	fixture_add_loop(wave, test_cancel_wave, 1);
	fixture_add_loop(wave, test_noisy_wave, 1);
	suite_add_tcase(suite, wave);
	return fixture_run(suite);
}
