#include "bench/fleet.h"

#include <string.h>

#define WARMUP_MS 2000
/* As the interval of the reducer's scan of VMs: each slice holds one. */
#define SLICE_MS 250
/* Far longer than between two starts on a VM that is not quarantined. */
#define QUARANTINE_GAP_MS 2000
/* As 850 starts per second on 100 VMs. */
#define FAULTY_STARTS_PER_VM_S 8U

static const char *const cost_names[COST_KINDS] = {
	"tick",	  "submit",    "task event", "commit", "grant", "report",
	"fences", "task list", "hello",	     "load",   "other"
};

static int compare_ms(gconstpointer a, gconstpointer b)
{
	gint64 x = *(const gint64 *)a;
	gint64 y = *(const gint64 *)b;

	return x < y ? -1 : x > y;
}

static double percentile(const GArray *sorted, double q)
{
	if (!sorted->len)
		return 0;
	return (double)g_array_index(sorted, gint64,
				     (guint)(q * (sorted->len - 1)));
}

void scale_jobs_print_header(void)
{
	puts("job reducer, one entry owns all shards, 12 running tasks per VM,"
	     " 850 starts/s, 160 teams, 4 pools");
	puts("setting   VMs   starts dec_us txn/st txn/s reads/s readB/s "
	     "wrB/st wrB/ch urgent ms p50/p99/max  event us");
}

static void report(const struct fleet *fleet, const struct scale_jobs *run,
		   guint64 changes, FILE *csv)
{
	const char *setting = run->backlog ? "full" : "spare";
	const struct {
		const char *name;
		double value;
		const char *unit;
	} rows[] = {
		{ "decision", run->decision_us, "us per start" },
		{ "transactions", run->txns_per_start, "per start" },
		{ "transactions", run->txns_per_s, "per s" },
		{ "reads", run->reads_per_s, "per s" },
		{ "bytes read", run->read_bytes_per_s, "per s" },
		{ "bytes written", run->written_per_start, "per start" },
		{ "bytes written", run->written_per_change, "per change" },
		{ "changes", (double)changes / (double)run->starts,
		  "per start" },
		{ "urgent start p50", run->urgent_p50_ms, "virtual ms" },
		{ "urgent start p99", run->urgent_p99_ms, "virtual ms" },
		{ "urgent start max", run->urgent_max_ms, "virtual ms" },
	};
	char name[64];
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		scale_row(csv, "jobs", setting, run->vms, rows[i].name,
			  rows[i].value, rows[i].unit);
	printf("%-6s %6u %8" G_GUINT64_FORMAT
	       " %6.1f %6.3f %5.0f %7.0f %7.0f %6.0f %6.0f %5.0f %5.0f %5.0f  ",
	       setting, run->vms, run->starts, run->decision_us,
	       run->txns_per_start, run->txns_per_s, run->reads_per_s,
	       run->read_bytes_per_s, run->written_per_start,
	       run->written_per_change, run->urgent_p50_ms, run->urgent_p99_ms,
	       run->urgent_max_ms);
	for (i = 0; i < COST_KINDS; i++) {
		double us;

		if (!fleet->events[i])
			continue;
		us = (double)fleet->cpu_ns[i] / 1000 / (double)fleet->events[i];
		printf(" %s %.1f,", cost_names[i], us);
		g_snprintf(name, sizeof(name), "event %s", cost_names[i]);
		scale_row(csv, "jobs", setting, run->vms, name, us,
			  "us per event");
		scale_row(csv, "jobs", setting, run->vms, name,
			  (double)fleet->cpu_ns[i] / 1e4 / run->duration_ms,
			  "percent of a core");
	}
	puts("");
}

static gint64 decision_ns(const struct fleet *fleet)
{
	return fleet->cpu_ns[COST_TICK] + fleet->cpu_ns[COST_SUBMIT] +
	       fleet->cpu_ns[COST_TASK_EVENT] + fleet->cpu_ns[COST_COMMIT];
}

static struct fleet *warmed_up(struct scale_jobs *run)
{
	struct fleet *fleet =
		fleet_new(run->vms,
			  (gint64)FLEET_TASK_CPU_MILLI *
				  (FLEET_TASKS_PER_VM + run->spare),
			  FALSE);
	struct job_stats stats;
	unsigned i;

	for (i = 0; i < run->vms * FLEET_TASKS_PER_VM; i++)
		fleet_store_running(fleet, i / FLEET_TASKS_PER_VM);
	for (i = 0; i < run->backlog; i++)
		g_free(fleet_store_record(fleet,
					  RP__JOB_STATE__JOB_STATE_QUEUED, 0));
	fleet_start(fleet);
	fleet_run(fleet, WARMUP_MS);
	fleet_reset_counts(fleet);
	job_stats(fleet->job, &stats);
	fleet->records_before = stats.records_written;
	run->slices_us = g_array_new(FALSE, FALSE, sizeof(double));
	return fleet;
}

static void run_slice(struct fleet *fleet, struct scale_jobs *run)
{
	gint64 ns = decision_ns(fleet);
	guint64 starts = fleet->starts;
	double us;

	fleet_run(fleet, SLICE_MS);
	us = (double)(decision_ns(fleet) - ns) / 1000 /
	     (double)MAX(fleet->starts - starts, 1);
	g_array_append_val(run->slices_us, us);
}

static void collect_results(const struct fleet *fleet, struct scale_jobs *run,
			    FILE *csv)
{
	const struct fake_platform *platform = fleet->platform;
	double seconds = run->duration_ms / 1000.0;
	double starts = (double)MAX(fleet->starts, 1);
	struct job_stats stats;
	guint64 changes;

	job_stats(fleet->job, &stats);
	changes = stats.records_written - fleet->records_before;
	run->starts = fleet->starts;
	run->refused = fleet->refused;
	run->evicted = fleet->evicted;
	run->decision_us = (double)decision_ns(fleet) / 1000 / starts;
	run->txns_per_s = (double)platform->txns / seconds;
	run->txns_per_start = (double)platform->txns / starts;
	run->reads_per_s = (double)platform->reads / seconds;
	run->read_bytes_per_s = (double)platform->bytes_read / seconds;
	run->written_per_start = (double)platform->bytes_written / starts;
	run->written_per_change = (double)platform->bytes_written /
				  (double)MAX(changes, 1);
	g_array_sort(fleet->urgent_ms, compare_ms);
	run->urgent = fleet->urgent_ms->len;
	run->urgent_p50_ms = percentile(fleet->urgent_ms, 0.5);
	run->urgent_p99_ms = percentile(fleet->urgent_ms, 0.99);
	run->urgent_max_ms = percentile(fleet->urgent_ms, 1);
	report(fleet, run, changes, csv);
	if (run->refused || run->evicted)
		printf("       refused %" G_GUINT64_FORMAT
		       ", evicted %" G_GUINT64_FORMAT "\n",
		       run->refused, run->evicted);
}

void scale_jobs_run(struct scale_jobs *const *runs, unsigned n, FILE *csv)
{
	struct fleet **fleets = g_new0(struct fleet *, n);
	unsigned ms;
	unsigned i;

	for (i = 0; i < n; i++)
		fleets[i] = warmed_up(runs[i]);
	for (ms = 0; ms < runs[0]->duration_ms; ms += SLICE_MS)
		for (i = 0; i < n; i++)
			run_slice(fleets[i], runs[i]);
	for (i = 0; i < n; i++) {
		collect_results(fleets[i], runs[i], csv);
		fleet_free(fleets[i]);
	}
	g_free(fleets);
}

/* Loads n jobs in a state; returns the heap bytes per job. */
static double bytes_of_state(unsigned vms, unsigned n, Rp__JobState state)
{
	struct fleet *fleet = fleet_new(vms, G_MAXINT32, FALSE);
	gsize before;
	gsize after;
	unsigned i;

	for (i = 0; i < n; i++)
		g_free(fleet_store_record(fleet, state, i % MAX(vms, 1)));
	fleet_lease(fleet);
	before = scale_heap_bytes();
	fleet_idle(fleet, 20);
	after = scale_heap_bytes();
	fleet_free(fleet);
	return ((double)after - (double)before) / n;
}

void scale_jobs_memory(unsigned vms, FILE *csv)
{
	static const struct {
		const char *name;
		Rp__JobState state;
	} states[] = {
		{ "queued job", RP__JOB_STATE__JOB_STATE_QUEUED },
		{ "running task", RP__JOB_STATE__JOB_STATE_RUNNING },
		{ "ended job", RP__JOB_STATE__JOB_STATE_DONE },
	};
	struct fleet *fleet = fleet_new(vms, G_MAXINT32, FALSE);
	gsize before = scale_heap_bytes();
	double bytes;
	unsigned i;

	for (i = 0; i < vms; i++)
		fleet_hello(fleet, i);
	bytes = ((double)scale_heap_bytes() - (double)before) / vms;
	fleet_free(fleet);
	printf("memory at %u VMs: %.0f bytes a VM", vms, bytes);
	scale_row(csv, "jobs", "memory", vms, "VM", bytes, "bytes");
	for (i = 0; i < G_N_ELEMENTS(states); i++) {
		bytes = bytes_of_state(vms, vms * FLEET_TASKS_PER_VM,
				       states[i].state);
		printf(", %.0f a %s", bytes, states[i].name);
		scale_row(csv, "jobs", "memory", vms, states[i].name, bytes,
			  "bytes");
	}
	puts("");
}

/* Time from the first failure to the last before QUARANTINE_GAP_MS, or -1. */
static double quarantined_after_ms(const struct fleet *fleet)
{
	const GArray *at = fleet->failed_at_ms;
	gint64 first = at->len ? g_array_index(at, gint64, 0) : fleet->now_ms;
	gint64 last = first;
	guint i;

	for (i = 1; i < at->len &&
		    g_array_index(at, gint64, i) - last < QUARANTINE_GAP_MS;
	     i++)
		last = g_array_index(at, gint64, i);
	return fleet->now_ms - last < QUARANTINE_GAP_MS
		       ? -1
		       : (double)(last - first);
}

void scale_jobs_faulty(struct scale_faulty *run, FILE *csv)
{
	/* The fleet is full, so free capacity is mostly on the faulty VM. */
	gint64 cpu = FLEET_TASK_CPU_MILLI * FLEET_TASKS_PER_VM;
	struct fleet *fleet = fleet_new(run->vms, cpu, run->no_quarantine);
	/* The output calls quarantine "shunning". */
	const char *setting = run->no_quarantine ? "no shunning" : "shunning";
	struct job_stats stats;
	unsigned i;

	fleet->starts_per_s = MIN(fleet->starts_per_s,
				  run->vms * FAULTY_STARTS_PER_VM_S);
	for (i = 0; i < run->vms * FLEET_TASKS_PER_VM; i++)
		fleet_store_running(fleet, i / FLEET_TASKS_PER_VM);
	fleet_start(fleet);
	fleet_run(fleet, WARMUP_MS);
	fleet_reset_counts(fleet);
	fleet->faulty = TRUE;
	fleet_run(fleet, run->duration_ms);
	job_stats(fleet->job, &stats);
	run->jobs = (guint64)fleet->starts_per_s * run->duration_ms / 1000;
	run->starts = fleet->starts;
	run->wasted = fleet->failed_at_ms->len;
	run->failed = stats.failed;
	run->quarantined_ms = quarantined_after_ms(fleet);
	printf("%-11s %6u %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
	       " %7.2f %% %8" G_GUINT64_FORMAT " %10.0f\n",
	       setting, run->vms, run->starts, run->wasted,
	       100.0 * (double)run->wasted / (double)run->starts, run->failed,
	       run->quarantined_ms);
	scale_row(csv, "faulty VM", setting, run->vms, "wasted starts",
		  (double)run->wasted / (double)run->starts, "of all");
	scale_row(csv, "faulty VM", setting, run->vms, "shunned after",
		  run->quarantined_ms, "virtual ms");
	fleet_free(fleet);
}
