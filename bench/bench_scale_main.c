/*
 * CPU time and memory of the reducers as the fleet grows, on a virtual clock
 * and without sockets. In "ci" mode the verdicts are ratios and counts, which
 * do not depend on the machine's speed.
 */
#include <string.h>

#include "bench/http_load.h"
#include "bench/scale.h"

/* VMs are ordered by free capacity, so the cost of a search is logarithmic. */
#define MAX_DECISION_RATIO 3.0
/* 850 starts and 850 ends a second must fit into several hundred writes. */
#define MAX_TXNS_PER_START 0.5
/* Bytes written depend on the number of changes, not on the state's size. */
#define MAX_WRITTEN_RATIO 1.2
/*
 * At the target fleet size urgent jobs start, and a faulty VM is quarantined,
 * within this time.
 */
#define MAX_URGENT_MS 3400
/* Retries add at most 10 % to the load. */
#define MAX_STARTS_PER_JOB 1.1

static int at_most(const char *what, double value, double bound)
{
	printf("%s %s: %.3f, bound %.3f\n", value <= bound ? "ok  " : "FAIL",
	       what, value, bound);
	return value <= bound ? 0 : 1;
}

static int compare_double(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Median ratio of the time slices, in which the two runs alternated. */
static double slice_ratio(const struct scale_jobs *large,
			  const struct scale_jobs *small)
{
	guint n = MIN(large->slices_us->len, small->slices_us->len);
	GArray *ratios = g_array_new(FALSE, FALSE, sizeof(double));
	double median;
	guint i;

	for (i = 0; i < n; i++) {
		double ratio = g_array_index(large->slices_us, double, i) /
			       g_array_index(small->slices_us, double, i);

		g_array_append_val(ratios, ratio);
	}
	g_array_sort(ratios, compare_double);
	median = g_array_index(ratios, double, n / 2);
	g_array_unref(ratios);
	return median;
}

static int verdicts(const struct scale_jobs *small,
		    const struct scale_jobs *large,
		    const struct scale_jobs *queued)
{
	int failed = 0;

	failed |= at_most("processor time of a decision, 10,000 to 1,000 VMs",
			  slice_ratio(large, small), MAX_DECISION_RATIO);
	failed |= at_most("transactions for each start", large->txns_per_start,
			  MAX_TXNS_PER_START);
	failed |= at_most("bytes written for a change, 10,000 to 1,000 VMs",
			  large->written_per_change / small->written_per_change,
			  MAX_WRITTEN_RATIO);
	failed |= at_most("urgent start while batch jobs queue, ms",
			  queued->urgent_max_ms, MAX_URGENT_MS);
	failed |= at_most("tasks refused by agents", (double)large->refused, 0);
	if (!queued->urgent) {
		puts("FAIL no urgent job started");
		failed = 1;
	}
	return failed;
}

/* A VM that fails each task, with quarantine and, if not in CI, without. */
static int faulty_vm(unsigned vms, gboolean ci, FILE *csv)
{
	struct scale_faulty run = { .vms = vms, .duration_ms = 40000 };
	struct scale_faulty baseline = run;
	int failed = 0;

	baseline.no_quarantine = TRUE;
	if (!ci)
		scale_jobs_faulty(&baseline, csv);
	scale_jobs_faulty(&run, csv);
	failed |= at_most("starts for each job beside a faulty VM",
			  (double)run.starts / (double)run.jobs,
			  MAX_STARTS_PER_JOB);
	failed |= at_most("time until it is shunned, ms",
			  run.quarantined_ms < 0 ? run.duration_ms
						 : run.quarantined_ms,
			  MAX_URGENT_MS);
	failed |= at_most("jobs that fail for good", (double)run.failed, 0);
	return failed;
}

static void print_growth(const char *what, double small, double large,
			 const char *unit)
{
	printf("slope of %-32s %+.4f %s for each 1,000 VMs\n", what,
	       (large - small) / 9, unit);
}

int main(int argc, char **argv)
{
	gboolean ci = argc > 1 && !strcmp(argv[1], "ci");
	unsigned duration_ms = ci ? 4000 : 20000;
	struct scale_jobs free_100 = { .vms = 100, .spare = 4 };
	struct scale_jobs free_1000 = { .vms = 1000, .spare = 4 };
	struct scale_jobs free_10000 = { .vms = 10000, .spare = 4 };
	struct scale_jobs full_1000 = { .vms = 1000, .backlog = 2000 };
	struct scale_jobs full_10000 = { .vms = 10000, .backlog = 2000 };
	struct scale_jobs *ci_runs[] = { &free_1000, &free_10000, &full_1000 };
	struct scale_jobs *all_runs[] = { &free_100, &free_1000, &free_10000,
					  &full_1000, &full_10000 };
	struct scale_jobs **runs = ci ? ci_runs : all_runs;
	unsigned n_runs = ci ? G_N_ELEMENTS(ci_runs) : G_N_ELEMENTS(all_runs);
	static const unsigned sizes[] = { 100, 1000, 10000 };
	FILE *csv = bench_results_open("scale.csv");
	unsigned i;
	int failed;

	fputs("role,setting,size,metric,value,unit\n", csv);
	scale_jobs_print_header();
	for (i = 0; i < n_runs; i++)
		runs[i]->duration_ms = duration_ms;
	scale_jobs_run(runs, n_runs, csv);
	if (!ci) {
		print_growth("processor time of a decision",
			     free_1000.decision_us, free_10000.decision_us,
			     "us");
		print_growth("reads", free_1000.reads_per_s,
			     free_10000.reads_per_s, "reads/s");
		print_growth("bytes written for a start",
			     free_1000.written_per_start,
			     free_10000.written_per_start, "bytes");
		for (i = 0; i < G_N_ELEMENTS(sizes); i++)
			scale_jobs_memory(sizes[i], csv);
		for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
			scale_entry_run(sizes[i], 10, csv);
			scale_entry_run(sizes[i], 160, csv);
		}
		scale_agent_run(3, csv);
		scale_agent_run(20, csv);
	}
	failed = verdicts(&free_1000, &free_10000, &full_1000);
	puts("faulty VM      VMs   starts   wasted  share      failed shunned"
	     " ms");
	failed |= faulty_vm(11, ci, csv);
	failed |= faulty_vm(1000, ci, csv);
	for (i = 0; i < n_runs; i++)
		g_array_unref(runs[i]->slices_us);
	fclose(csv);
	return failed;
}
