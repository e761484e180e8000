/*
 * Resource use of the system's own processes at rest and under a moderate load:
 * CPU time, memory, bytes between agents and entries, and calls to the
 * key-value store. In "ci" mode the verdicts do not depend on the machine's
 * speed.
 */
#include <stdlib.h>
#include <string.h>

#include "bench/http_load.h"
#include "standin/site.h"
#include "tests/site_fixture.h"

/* Limits for each process of a node; CPU time is in percent of a core. */
#define MAX_CPU_PERCENT 3.4
#define MAX_RSS_BYTES (128.0 * 1024 * 1024)
#define MAX_CONTROL_BYTES_PER_S 5000.0

/*
 * An entry reads the fences at most once in 100 ms, whatever the number of VMs.
 * Its other calls to the key-value store do not depend on the VMs at all.
 */
#define MAX_FENCE_READS_PER_S 10.0
/* Tolerance of call counts: calls in flight, and one poll of a claim. */
#define CALL_SKEW 3

#define SETTLE_MS 4000
#define REST_MS 10000
#define LOAD_MS 10000
#define LOAD_PER_S 200
#define LOAD_JOBS 20

struct sample {
	gint64 at_us;
	gint64 agent_cpu_ms;
	gint64 entry_cpu_ms;
	double agent_bytes;
	double entry_bytes;
	/* Store calls as the entries count them. */
	double entry_calls;
	/* Store calls by kind, as the store counts them. */
	json_t *calls;
};

struct cost {
	unsigned entries;
	unsigned vms;
	const char *load;
	double agent_cpu_percent;
	double entry_cpu_percent;
	double agent_rss_bytes;
	double entry_rss_bytes;
	double agent_bytes_per_s;
	double entry_bytes_per_s;
	/* Store calls of all entries: range reads, and all others. */
	double ranges_per_s;
	double others_per_s;
	/* Store calls that no entry counted. */
	double foreign_calls;
};

/* Sums a metric over all labels. */
static double metric(const char *address, const char *name)
{
	struct call_options options = { .method = "GET",
					.address = address,
					.target = "/metrics" };
	struct call_result result;
	double sum = 0;
	char **lines;
	char **line;

	if (call_http(&options, &result) < 0)
		g_error("%s: no metrics", address);
	lines = g_strsplit(result.body->str, "\n", 0);
	for (line = lines; *line; line++) {
		const char *value = strrchr(*line, ' ');
		size_t len = strlen(name);

		if (value && g_str_has_prefix(*line, name) &&
		    ((*line)[len] == ' ' || (*line)[len] == '{'))
			sum += g_ascii_strtod(value, NULL);
	}
	g_strfreev(lines);
	call_result_clear(&result);
	return sum;
}

static json_t *platform_calls(struct site *site)
{
	struct call_options options = {
		.method = "GET",
		.address = site_address(site, SITE_PLATFORM, 0),
		.target = "/calls",
	};
	struct call_result result;
	json_t *calls;

	if (call_http(&options, &result) < 0)
		g_error("the key-value store does not answer");
	calls = json_loadb(result.body->str, result.body->len, 0, NULL);
	call_result_clear(&result);
	return calls;
}

static double calls_of_entry(const char *address)
{
	static const char *const names[] = {
		"radishpier_kv_txns_total",
		"radishpier_kv_ranges_total",
		"radishpier_kv_lease_grants_total",
		"radishpier_kv_lease_keepalives_total",
		"radishpier_kv_lease_revokes_total",
		"radishpier_kv_watches_total",
	};
	double sum = 0;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		sum += metric(address, names[i]);
	return sum;
}

static void take_sample(struct site *site, unsigned entries, struct sample *s)
{
	const char *agent = site_operator_address(site, SITE_AGENT, 0);
	const char *entry = site_operator_address(site, SITE_ENTRY, 0);
	unsigned i;

	s->at_us = g_get_monotonic_time();
	s->agent_cpu_ms = process_cpu_ms(site_pid(site, SITE_AGENT, 0));
	s->entry_cpu_ms = process_cpu_ms(site_pid(site, SITE_ENTRY, 0));
	s->agent_bytes = metric(agent, "radishpier_agent_wire_bytes_total");
	s->entry_bytes = metric(entry, "radishpier_wire_bytes_total");
	s->entry_calls = 0;
	for (i = 0; i < entries; i++)
		s->entry_calls += calls_of_entry(
			site_operator_address(site, SITE_ENTRY, i));
	s->calls = platform_calls(site);
}

static double count_of(const struct sample *s, const char *kind)
{
	return (double)json_integer_value(json_object_get(s->calls, kind));
}

static void compare(struct site *site, const struct sample *a,
		    const struct sample *b, struct cost *cost, FILE *csv)
{
	double seconds = (double)(b->at_us - a->at_us) / 1e6;
	double all = 0;
	const char *kind;
	json_t *value;

	cost->agent_cpu_percent = (double)(b->agent_cpu_ms - a->agent_cpu_ms) /
				  10 / seconds;
	cost->entry_cpu_percent = (double)(b->entry_cpu_ms - a->entry_cpu_ms) /
				  10 / seconds;
	cost->agent_rss_bytes =
		(double)process_rss_bytes(site_pid(site, SITE_AGENT, 0));
	cost->entry_rss_bytes =
		(double)process_rss_bytes(site_pid(site, SITE_ENTRY, 0));
	cost->agent_bytes_per_s = (b->agent_bytes - a->agent_bytes) / seconds;
	cost->entry_bytes_per_s = (b->entry_bytes - a->entry_bytes) / seconds;
	printf("%u entries, %u VMs, %-4s: calls/s", cost->entries, cost->vms,
	       cost->load);
	json_object_foreach(b->calls, kind, value)
	{
		double n = count_of(b, kind) - count_of(a, kind);

		if (!strcmp(kind, "open"))
			continue;
		all += n;
		if (n > 0)
			printf(" %s %.2f", kind, n / seconds);
		fprintf(csv, "%u,%u,%s,calls %s,%.3f,per s\n", cost->entries,
			cost->vms, cost->load, kind, n / seconds);
	}
	puts("");
	cost->ranges_per_s = (count_of(b, "range") - count_of(a, "range")) /
			     seconds;
	cost->others_per_s = all / seconds - cost->ranges_per_s;
	cost->foreign_calls = all - (b->entry_calls - a->entry_calls);
}

static void print_cost(const struct cost *cost, FILE *csv)
{
	const struct {
		const char *name;
		double value;
		const char *unit;
	} rows[] = {
		{ "agent processor", cost->agent_cpu_percent,
		  "percent of a core" },
		{ "entry processor", cost->entry_cpu_percent,
		  "percent of a core" },
		{ "agent resident", cost->agent_rss_bytes, "bytes" },
		{ "entry resident", cost->entry_rss_bytes, "bytes" },
		{ "agent wire", cost->agent_bytes_per_s, "bytes per s" },
		{ "entry wire", cost->entry_bytes_per_s, "bytes per s" },
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		fprintf(csv, "%u,%u,%s,%s,%.3f,%s\n", cost->entries, cost->vms,
			cost->load, rows[i].name, rows[i].value, rows[i].unit);
	printf("    agent %.2f %% of a core, %.1f MB, %.0f B/s; entry %.2f %%, "
	       "%.1f MB, %.0f B/s\n",
	       cost->agent_cpu_percent, cost->agent_rss_bytes / 1048576,
	       cost->agent_bytes_per_s, cost->entry_cpu_percent,
	       cost->entry_rss_bytes / 1048576, cost->entry_bytes_per_s);
}

static void measure_rest(struct site *site, struct cost *cost, FILE *csv)
{
	struct sample a, b;

	cost->load = "rest";
	take_sample(site, cost->entries, &a);
	g_usleep(REST_MS * 1000);
	take_sample(site, cost->entries, &b);
	compare(site, &a, &b, cost, csv);
	print_cost(cost, csv);
	json_decref(a.calls);
	json_decref(b.calls);
}

static void measure_load(struct site *site, struct cost *cost, FILE *csv)
{
	struct http_load_options options = {
		.address = site_address(site, SITE_ENTRY, 0),
		.target = "/check/1",
		.body_bytes = 1024,
		.connections = 8,
		.rate = LOAD_PER_S,
		.duration_ms = LOAD_MS,
	};
	struct http_load_result result;
	struct sample a, b;
	char key[16];
	unsigned i;

	cost->load = "load";
	take_sample(site, cost->entries, &a);
	for (i = 0; i < LOAD_JOBS; i++) {
		g_snprintf(key, sizeof(key), "cost-%u", i);
		site_submit(site, 0, key, "score", "{\"run_ms\":1000}", NULL);
	}
	http_load_run(&options, &result);
	take_sample(site, cost->entries, &b);
	compare(site, &a, &b, cost, csv);
	print_cost(cost, csv);
	printf("    %.0f requests/s answered, %" G_GUINT64_FORMAT " failed\n",
	       result.rate, result.failed);
	json_decref(a.calls);
	json_decref(b.calls);
}

static int at_most(const char *what, double value, double bound)
{
	printf("%s %s: %.2f, bound %.2f\n", value <= bound ? "ok  " : "FAIL",
	       what, value, bound);
	return value <= bound ? 0 : 1;
}

static int verdicts(const struct cost *few, const struct cost *many)
{
	double seconds = REST_MS / 1000.0;
	int failed = 0;

	failed |= at_most("agent at rest, resident MB",
			  many->agent_rss_bytes / 1048576,
			  MAX_RSS_BYTES / 1048576);
	failed |= at_most("agent at rest, control bytes/s",
			  many->agent_bytes_per_s, MAX_CONTROL_BYTES_PER_S);
	failed |= at_most("platform calls that no entry made",
			  many->foreign_calls, CALL_SKEW);
	failed |= at_most("platform calls but reads, more with 9 than 3 VMs",
			  (many->others_per_s - few->others_per_s) * seconds,
			  CALL_SKEW);
	failed |= at_most("platform reads/s of an entry with 9 VMs",
			  many->ranges_per_s / many->entries,
			  MAX_FENCE_READS_PER_S);
	return failed;
}

static void run(struct cost *cost, gboolean load, FILE *csv)
{
	struct site_options options;
	struct cost loaded = *cost;
	struct site *site;

	fixture_options(&options);
	options.entries = cost->entries;
	options.vms = cost->vms;
	site = site_new(&options);
	if (site_start(site) < 0)
		g_error("the site did not start");
	g_usleep(SETTLE_MS * 1000);
	measure_rest(site, cost, csv);
	if (load)
		measure_load(site, &loaded, csv);
	site_free(site);
}

int main(int argc, char **argv)
{
	gboolean ci = argc > 1 && !strcmp(argv[1], "ci");
	struct cost one = { .entries = 1, .vms = 3 };
	struct cost few = { .entries = 2, .vms = 3 };
	struct cost many = { .entries = 2, .vms = 9 };
	struct cost three = { .entries = 3, .vms = 3 };
	FILE *csv = bench_results_open("cost.csv");
	int failed;

	/* Forked processes would write buffered output a second time. */
	setvbuf(stdout, NULL, _IOLBF, 0);
	setvbuf(csv, NULL, _IOLBF, 0);
	fputs("entries,vms,load,metric,value,unit\n", csv);
	run(&few, !ci, csv);
	run(&many, FALSE, csv);
	if (!ci) {
		run(&one, FALSE, csv);
		run(&three, FALSE, csv);
		printf("reads/s with 1, 2, 3 entries and 3 VMs: %.2f %.2f %.2f;"
		       " other calls/s: %.2f %.2f %.2f\n",
		       one.ranges_per_s, few.ranges_per_s, three.ranges_per_s,
		       one.others_per_s, few.others_per_s, three.others_per_s);
		at_most("agent at rest, percent of a core",
			many.agent_cpu_percent, MAX_CPU_PERCENT);
		at_most("entry at rest, percent of a core",
			many.entry_cpu_percent, MAX_CPU_PERCENT);
	}
	failed = verdicts(&few, &many);
	fclose(csv);
	return failed;
}
