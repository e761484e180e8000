/*
 * The demo: for each example deployment, starts all processes of a site on
 * loopback, sends requests and jobs, changes the tables and drains an agent
 * under load. Fails if a check fails or a bound of docs/design.md is exceeded.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/clock.h"
#include "standin/site.h"

#define VMS 3
#define ENTRIES 2
#define DEMO_JOBS 12

/*
 * Bounds of docs/design.md: until a change of the tables is in force
 * everywhere, and until a draining upstream gets no more requests.
 */
#define IN_FORCE_MS 5000
#define NO_NEW_WORK_MS 3000

/* An example deployment, with names that its tables contain. */
struct deployment {
	const char *name;
	const char *folder;
	const char *zones[5];
	/** Pools of each VM, as a YAML list. */
	const char *vm_pools;
	/** Target of latency-critical requests. */
	const char *urgent;
	/** Target of requests with an idempotency key. */
	const char *keyed;
	const char *job_kind;
};

static const struct deployment deployments[] = {
	{ .name = "consortium",
	  .folder = "examples/consortium",
	  .zones = { "cusco-a", "arequipa-b", "puno-c" },
	  .vm_pools = "[photo-checks, publishing, scoring]",
	  .urgent = "/photos/checks",
	  .keyed = "/stalls/publish",
	  .job_kind = "score-batch" },
	{ .name = "farmland division",
	  .folder = "examples/farmland",
	  .zones = { "obihiro-a", "obihiro-b", "asahikawa-a", "kushiro-a" },
	  .vm_pools = "[search-refreshes, offers, matching]",
	  .urgent = "/search/refresh",
	  .keyed = "/offers",
	  .job_kind = "match-leases" },
};

static int failures;

/* Prints a check and its result, and counts it if it failed. */
static void expect(gboolean ok, const char *what)
{
	printf("  %-52s %s\n", what, ok ? "ok" : "FAILED");
	failures += ok ? 0 : 1;
}

/* Sends a request and prints its outcome; returns the status, 0 without one. */
static long send_request(struct site *site, unsigned entry, const char *target,
			 const char *key, const char *tag)
{
	g_autofree char *tag_header = g_strdup_printf("X-Tag: %s", tag);
	g_autofree char *key_header = g_strdup_printf("Idempotency-Key: %s",
						      key ? key : "");
	const char *const headers[] = { tag_header, key ? key_header : NULL,
					NULL };
	struct call_options options = {
		.method = "POST",
		.address = site_address(site, SITE_ENTRY, entry),
		.target = target,
		.headers = headers,
		.body = "example",
		.body_len = strlen("example"),
	};
	struct call_result result;
	long status = call_http(&options, &result) ? 0 : result.status;

	printf("  POST %-20s entry-%u  status %ld  outcome %-8s upstream %s\n",
	       target, entry, status, result.outcome, result.upstream);
	call_result_clear(&result);
	return status;
}

static void show_requests(struct site *site, const struct deployment *d)
{
	puts("requests:");
	expect(send_request(site, 0, d->urgent, NULL, "urgent-0") == 200,
	       "a latency-critical request is answered");
	expect(send_request(site, 1, d->urgent, NULL, "urgent-1") == 200,
	       "and one through the other entry");
	expect(send_request(site, 0, d->keyed, "key-1", "keyed-0") == 200,
	       "a non-idempotent request runs");
	expect(send_request(site, 1, d->keyed, "key-1", "keyed-1") == 409 &&
		       !site_request_ran(site, "keyed-1"),
	       "its repeat through the other entry does not run");
	expect(send_request(site, 0, "/no-such-route", NULL, "none") == 404,
	       "a request without a route is refused");
}

/* Returns the number of jobs that are done. */
static unsigned show_jobs(struct site *site, const struct deployment *d)
{
	const char *payload = "{\"run_ms\": 300, \"result\": \"scored\"}";
	char *ids[DEMO_JOBS] = { NULL };
	g_autofree char *again = NULL;
	unsigned accepted = 0;
	unsigned done = 0;
	unsigned i;

	puts("jobs:");
	for (i = 0; i < DEMO_JOBS; i++) {
		g_autofree char *key = g_strdup_printf("job-%u", i);

		accepted += site_submit(site, i % ENTRIES, key, d->job_kind,
					payload, &ids[i]) == 201;
	}
	expect(accepted == DEMO_JOBS, "every job is accepted");
	site_submit(site, 1, "job-0", d->job_kind, payload, &again);
	expect(!g_strcmp0(again, ids[0]),
	       "its key gives the same job through another entry");
	for (i = 0; i < DEMO_JOBS; i++) {
		done += ids[i] && !site_wait_job(site, ids[i], "done", 10000);
		g_free(ids[i]);
	}
	expect(done == DEMO_JOBS, "every job is done");
	return done;
}

static gboolean generation_in_force(struct site *site, json_int_t generation)
{
	unsigned i;

	for (i = 0; i < ENTRIES; i++)
		if (site_generation(site, SITE_ENTRY, i) != generation)
			return FALSE;
	for (i = 0; i < VMS; i++)
		if (site_generation(site, SITE_AGENT, i) != generation)
			return FALSE;
	return TRUE;
}

static void show_change(struct site *site, const char *routes,
			const char *pools)
{
	g_auto(GStrv) part = g_strsplit(pools, "queue_length: 400", 2);
	g_autofree char *changed = g_strjoinv("queue_length: 500", part);
	gint64 start = clock_now_ms();

	puts("a change of the tables, under load:");
	expect(site_apply(site, routes, changed, "owner") == 0,
	       "the change is accepted");
	while (!generation_in_force(site, 2) &&
	       clock_now_ms() < start + IN_FORCE_MS)
		g_usleep(2000);
	expect(generation_in_force(site, 2),
	       "it is in force at every entry and agent within 5 s");
	printf("  in force everywhere after %" G_GINT64_FORMAT " ms\n",
	       clock_now_ms() - start);
}

static void show_stop(struct site *site)
{
	gint64 sigterm_ms = clock_now_ms();

	puts("a graceful stop of an agent, under load:");
	site_signal(site, SITE_AGENT, 0, SIGTERM);
	expect(site_wait_exit(site, SITE_AGENT, 0, 10000) == 0,
	       "it drains and exits with 0");
	printf("  drained after %" G_GINT64_FORMAT " ms\n",
	       clock_now_ms() - sigterm_ms);
	g_usleep(3500000);
	expect(site_last_request_ms(site, 0) < sigterm_ms + NO_NEW_WORK_MS,
	       "its upstream gets no new request after 3 s");
}

static void show_load(struct site *site, const struct deployment *d,
		      const char *routes, const char *pools)
{
	const char *addresses[ENTRIES] = { site_address(site, SITE_ENTRY, 0),
					   site_address(site, SITE_ENTRY, 1) };
	struct load_options options = {
		.method = "POST",
		.addresses = addresses,
		.n_addresses = ENTRIES,
		.target = d->urgent,
		.body_len = 1000,
		.callers = 8,
		.pause_ms = 1,
		.tag = "load",
	};
	struct load *load = load_start(&options);
	struct load_summary summary;
	GArray *answers;

	g_usleep(300000);
	show_change(site, routes, pools);
	show_stop(site);
	answers = load_stop(load);
	load_summarise(answers, &summary);
	puts("the load during both:");
	printf("  sent %u  ran %u  refused %u  unknown %u  invalid %u  p50 "
	       "%.1f "
	       "ms  p99 %.1f ms\n",
	       summary.sent, summary.ran, summary.not_run, summary.unknown,
	       summary.invalid, (double)summary.p50_us / 1000,
	       (double)summary.p99_us / 1000);
	expect(summary.ran == summary.sent,
	       "every request is answered and ran");
	g_array_free(answers, TRUE);
}

static void show_records(struct site *site, unsigned jobs_done)
{
	struct site_check check;

	site_check(site, &check);
	puts("records of the workers and upstreams:");
	printf("  requests run %u  run twice %u  over slots %u  jobs finished "
	       "%u "
	       " run twice %u\n",
	       check.requests_ran, check.requests_repeated, check.over_slots,
	       check.finished, check.overlapping + check.finished_twice);
	expect(!check.requests_repeated && !check.over_slots,
	       "no request ran twice, no slots were exceeded");
	expect(check.finished == jobs_done && !check.overlapping &&
		       !check.finished_twice,
	       "each job ran in one place and finished once");
}

static char *read_table(const struct deployment *d, const char *name)
{
	g_autofree char *path = g_build_filename(d->folder, name, NULL);
	GError *error = NULL;
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, &error))
		g_error("%s", error->message);
	return text;
}

static void run(const struct deployment *d, const char *build)
{
	g_autofree char *routes = read_table(d, "routes.yaml");
	g_autofree char *pools = read_table(d, "pools.yaml");
	struct site_options options = {
		.build = build,
		.entries = ENTRIES,
		.vms = VMS,
		.zones = d->zones,
		.routes = routes,
		.pools = pools,
		.vm_pools = d->vm_pools,
		.slots = 8,
		.service_ms = 5,
		.cpu_milli = 32000,
		.memory_bytes = 125LL << 30,
	};
	struct site *site = site_new(&options);
	gint64 start = clock_now_ms();
	unsigned jobs_done;

	printf("== %s: a platform, %d entries, %d VMs with worker, upstream "
	       "and "
	       "agent\n",
	       d->name, ENTRIES, VMS);
	if (site_start(site) < 0) {
		expect(FALSE, "every process starts");
		site_free(site);
		return;
	}
	printf("  ready after %" G_GINT64_FORMAT " ms\n",
	       clock_now_ms() - start);
	show_requests(site, d);
	jobs_done = show_jobs(site, d);
	show_load(site, d, routes, pools);
	show_records(site, jobs_done);
	site_free(site);
}

int main(int argc, char **argv)
{
	size_t i;

	setvbuf(stdout, NULL, _IOLBF, 0);
	for (i = 0; i < G_N_ELEMENTS(deployments); i++)
		run(&deployments[i], argc > 1 ? argv[1] : NULL);
	printf("%s: %d checks failed\n", failures ? "FAILED" : "ok", failures);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
