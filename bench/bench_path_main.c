/*
 * Throughput and added latency of the path through one entry and the agents,
 * compared with direct calls to the same upstreams in the same run. The verdict
 * depends on the machine's speed, so it is not part of CI.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "bench/http_load.h"
#include "standin/site.h"
#include "tests/site_fixture.h"

#define BODY_BYTES 1024
#define VMS 4

struct measurement {
	const char *path;
	const char *load;
	struct http_load_result result;
	/* Requests per second of CPU time of the entry, and of all agents. */
	double requests_per_entry_cpu_s;
	double requests_per_agent_cpu_s;
};

static gint64 agents_cpu_ms(struct site *site)
{
	gint64 sum = 0;
	unsigned i;

	for (i = 0; i < VMS; i++)
		sum += process_cpu_ms(site_pid(site, SITE_AGENT, i));
	return sum;
}

static void measure(struct site *site, struct measurement *m, double rate,
		    unsigned connections)
{
	gboolean direct = !strcmp(m->path, "direct");
	struct http_load_options options = {
		.address = direct ? site_address(site, SITE_UPSTREAM, 0)
				  : site_address(site, SITE_ENTRY, 0),
		.target = "/check/1",
		.body_bytes = BODY_BYTES,
		.connections = connections,
		.rate = rate,
		.warmup_ms = 1000,
		.duration_ms = 5000,
	};
	gint64 entry = process_cpu_ms(site_pid(site, SITE_ENTRY, 0));
	gint64 agents = agents_cpu_ms(site);

	http_load_run(&options, &m->result);
	entry = process_cpu_ms(site_pid(site, SITE_ENTRY, 0)) - entry;
	agents = agents_cpu_ms(site) - agents;
	/* The CPU time covers 6 s, as it includes the warm-up. */
	if (!direct && entry > 0 && agents > 0) {
		m->requests_per_entry_cpu_s = m->result.rate * 6 * 1000 /
					      (double)entry;
		m->requests_per_agent_cpu_s = m->result.rate * 6 * 1000 /
					      (double)agents;
	}
}

static void print_row(FILE *csv, const struct measurement *m)
{
	const struct http_load_result *r = &m->result;

	printf("%-10s %-10s %9.0f %8" G_GINT64_FORMAT " %8" G_GINT64_FORMAT
	       " %8" G_GINT64_FORMAT " %7" G_GUINT64_FORMAT " %10.0f %10.0f\n",
	       m->path, m->load, r->rate, r->p50_us, r->p99_us, r->p999_us,
	       r->failed, m->requests_per_entry_cpu_s,
	       m->requests_per_agent_cpu_s);
	fprintf(csv,
		"%s,%s,%.0f,%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT
		",%" G_GINT64_FORMAT ",%" G_GUINT64_FORMAT ",%.0f,%.0f\n",
		m->path, m->load, r->rate, r->p50_us, r->p99_us, r->p999_us,
		r->failed, m->requests_per_entry_cpu_s,
		m->requests_per_agent_cpu_s);
}

int main(int argc, char **argv)
{
	struct site_options options;
	struct measurement peak = { .path = "radishpier", .load = "peak" };
	struct measurement half = { .path = "radishpier", .load = "half" };
	struct measurement direct = { .path = "direct", .load = "half" };
	struct site *site;
	FILE *csv;

	if (argc > 1 && !strcmp(argv[1], "ci"))
		return 0;
	fixture_options(&options);
	options.entries = 1;
	options.vms = VMS;
	options.service_ms = 0;
	options.slots = 64;
	options.pools = "pools:\n"
			"  - {name: checks, class: latency-critical, "
			"priority: 0, queue_length: 1000}\n"
			"  - {name: publishing, class: batch, priority: 10}\n"
			"  - {name: scoring, class: batch, priority: 20}\n";
	site = site_new(&options);
	if (site_start(site) < 0) {
		fprintf(stderr, "bench_path: the site did not start\n");
		return 1;
	}
	measure(site, &peak, 0, 64);
	measure(site, &half, peak.result.rate / 2, 64);
	measure(site, &direct, peak.result.rate / 2, 64);
	csv = bench_results_open("path.csv");
	fputs("path,load,requests_per_s,p50_us,p99_us,p999_us,failed,"
	      "requests_per_entry_cpu_s,requests_per_agent_cpu_s\n",
	      csv);
	puts("path       load        req/s      p50_us   p99_us  p999_us  "
	     "failed  req/entry-s req/agent-s");
	print_row(csv, &peak);
	print_row(csv, &half);
	print_row(csv, &direct);
	fclose(csv);
	printf("added at half load: median %.3f ms, p99 %.3f ms\n",
	       (double)(half.result.p50_us - direct.result.p50_us) / 1000,
	       (double)(half.result.p99_us - direct.result.p99_us) / 1000);
	site_free(site);
	return peak.result.failed || half.result.failed ? 1 : 0;
}
