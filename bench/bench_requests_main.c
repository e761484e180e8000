/*
 * Effect of load balancing and admission limits on latency and throughput,
 * compared with simpler policies. The reducers run on a virtual clock, so the
 * results are reproducible, and CI checks the bounds.
 */
#include <stdio.h>
#include <string.h>

#include "bench/http_load.h"
#include "bench/model.h"

/* Default; the environment variable RP_BENCH_SEED overrides it. */
#define SEED 20261204
#define WARMUP_MS 3000
#define MEASURED_MS 10000

/* Load of each pool without a flood, as a fraction of its guarantee. */
static const double quiet_share[MODEL_POOLS] = { 0.6, 0.5, 0.5 };

/* Load of the other pools in an urgent flood, relative to their guarantee. */
#define FLOOD_OTHERS_SHARE 1.2
/* Load of a flooded pool, relative to the capacity of all VMs. */
#define FLOOD_FACTOR 10

/* Requirements on the product's policy. */

/* Urgent p99 in a batch flood, relative to that without a flood. */
#define BOUND_URGENT_P99 1.2
/* Throughput of a pool as a fraction of its guarantee. */
#define BOUND_KEPT 0.9
/* Attempts per request during faults. */
#define BOUND_ATTEMPTS 1.1

static const struct model_site sites[] = {
	{ "consortium", 3, 1, { 44, 22, 11 } },
	{ "farmland", 4, 3, { 33, 11, 33 } },
};

struct policy {
	const char *name;
	enum ent_lb_policy lb_policy;
	gboolean no_limits;
	gboolean no_ejections;
	unsigned hedge_percent;
	gboolean own_service_times;
};

/* Budget of hedged requests; leaves a margin to BOUND_ATTEMPTS. */
#define HEDGE_PERCENT 5

/* The first is the product's default; hedging is set in the pools table. */
static const struct policy policies[] = {
	{ "radishpier", ENT_LB_LOAD_LATENCY, FALSE },
	{ "random", ENT_LB_RANDOM, FALSE },
	{ "round-robin", ENT_LB_ROUND_ROBIN, FALSE },
	{ "least-conn", ENT_LB_LEAST_CONNECTIONS, FALSE },
	{ "no-limits", ENT_LB_LOAD_LATENCY, TRUE },
	{ "no-ejection", ENT_LB_LOAD_LATENCY, FALSE, TRUE },
	{ "hedging", ENT_LB_LOAD_LATENCY, FALSE, FALSE, HEDGE_PERCENT },
	{ "own-times", ENT_LB_LOAD_LATENCY, FALSE, FALSE, 0, TRUE },
	{ "own-hedging", ENT_LB_LOAD_LATENCY, FALSE, FALSE, HEDGE_PERCENT,
	  TRUE },
};

enum scenario {
	QUIET,
	BATCH_FLOOD,
	URGENT_FLOOD,
	SLOW_ZONE,
	LOST_ZONE,
	DELAYED_1,
	DELAYED_5,
	FAILING_VM,
	SLOW_VM,
	RESTART,
	KILLED,
	SCENARIOS
};

static const struct {
	const char *name;
	enum model_fault fault;
	unsigned delayed_percent;
	/* BOUND_ATTEMPTS applies. */
	gboolean outage;
	/* BOUND_KEPT applies. */
	gboolean keeps_guarantee;
} scenarios[SCENARIOS] = {
	[QUIET] = { "quiet", MODEL_NO_FAULT, 0, FALSE },
	[BATCH_FLOOD] = { "batch flood", MODEL_NO_FAULT, 0, FALSE },
	[URGENT_FLOOD] = { "urgent flood", MODEL_NO_FAULT, 0, FALSE, TRUE },
	[SLOW_ZONE] = { "slow zone", MODEL_SLOW_ZONE, 0, TRUE },
	[LOST_ZONE] = { "lost zone", MODEL_LOST_ZONE, 0, TRUE },
	[DELAYED_1] = { "1 % delayed", MODEL_DELAYED_FRAMES, 1, TRUE },
	[DELAYED_5] = { "5 % delayed", MODEL_DELAYED_FRAMES, 5, TRUE },
	[FAILING_VM] = { "failing VM", MODEL_FAILING_VM, 0, TRUE, TRUE },
	[SLOW_VM] = { "slow VM", MODEL_SLOW_VM, 0, TRUE },
	[RESTART] = { "restart", MODEL_ENTRIES_RESTART, 0, TRUE, TRUE },
	[KILLED] = { "entry killed", MODEL_ENTRIES_KILLED, 0, TRUE },
};

struct run {
	const struct model_site *site;
	const struct policy *policy;
	enum scenario scenario;
	struct model_options options;
	struct model_result result;
};

static double guaranteed_per_s(const struct model_site *site, unsigned pool)
{
	return model_capacity_per_s(site->guaranteed[pool]);
}

static void set_rates(struct run *run)
{
	double flood = FLOOD_FACTOR *
		       model_capacity_per_s(MODEL_VMS * MODEL_SLOTS);

	for (unsigned i = 0; i < MODEL_POOLS; i++) {
		double guaranteed = guaranteed_per_s(run->site, i);

		run->options.warmup_rates[i] = quiet_share[i] * guaranteed;
		run->options.rates[i] = run->options.warmup_rates[i];
		if (run->scenario == URGENT_FLOOD)
			run->options.rates[i] = FLOOD_OTHERS_SHARE * guaranteed;
	}
	if (run->scenario == BATCH_FLOOD)
		run->options.rates[MODEL_BATCH] = flood;
	if (run->scenario == URGENT_FLOOD)
		run->options.rates[MODEL_URGENT] = flood;
}

static guint32 seed(void)
{
	const char *value = g_getenv("RP_BENCH_SEED");

	return value ? (guint32)g_ascii_strtoull(value, NULL, 10) : SEED;
}

static void run_scenario(struct run *run)
{
	run->options = (struct model_options){
		.site = run->site,
		.lb_policy = run->policy->lb_policy,
		.no_limits = run->policy->no_limits,
		.no_ejections = run->policy->no_ejections,
		.hedge_percent = run->policy->hedge_percent,
		.own_service_times = run->policy->own_service_times,
		.fault = scenarios[run->scenario].fault,
		.delayed_percent = scenarios[run->scenario].delayed_percent,
		.seed = seed(),
		.warmup_ms = WARMUP_MS,
		.measured_ms = MEASURED_MS,
	};
	set_rates(run);
	model_run(&run->options, &run->result);
}

/* Throughput as a fraction of the guarantee, or of the load if that is less. */
static double kept(const struct run *run, unsigned pool)
{
	double guaranteed = guaranteed_per_s(run->site, pool);

	return run->result.pools[pool].ran_per_s /
	       MIN(guaranteed, run->options.rates[pool]);
}

static void print_run(FILE *csv, const struct run *run)
{
	static const char *const names[] = { "urgent", "normal", "batch" };
	const struct model_result *result = &run->result;

	for (unsigned i = 0; i < MODEL_POOLS; i++) {
		const struct model_pool_result *pool = &result->pools[i];
		g_autofree char *row = g_strdup_printf(
			"%s,%s,%s,%s,%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT
			",%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT
			",%" G_GUINT64_FORMAT
			",%.1f,%.1f,%.1f,%.0f,%.2f,%u,%.3f,%.3f,%u,%.0f",
			run->site->name, scenarios[run->scenario].name,
			run->policy->name, names[i], pool->sent, pool->ran,
			pool->errors, pool->not_run, pool->unknown,
			pool->p50_ms, pool->p99_ms, pool->p999_ms,
			pool->ran_per_s, kept(run, i), pool->longest_queue,
			result->attempts_per_request,
			result->refusals_per_request, result->most_slots,
			pool->settle_ms);

		fprintf(csv, "%s\n", row);
		printf("%-10s %-12s %-11s %-6s %7" G_GUINT64_FORMAT
		       " %6" G_GUINT64_FORMAT " %5" G_GUINT64_FORMAT
		       " %7" G_GUINT64_FORMAT " %5" G_GUINT64_FORMAT
		       " %8.1f %8.1f %8.1f %6.0f %5.2f %6u %6.3f %6.3f %3u "
		       "%6.0f\n",
		       run->site->name, scenarios[run->scenario].name,
		       run->policy->name, names[i], pool->sent, pool->ran,
		       pool->errors, pool->not_run, pool->unknown, pool->p50_ms,
		       pool->p99_ms, pool->p999_ms, pool->ran_per_s,
		       kept(run, i), pool->longest_queue,
		       result->attempts_per_request,
		       result->refusals_per_request, result->most_slots,
		       pool->settle_ms);
	}
}

/* Prints the bound and returns 1 if it is missed, else returns 0. */
static int check(const struct run *run, const char *what, double value,
		 gboolean holds, double bound)
{
	if (holds)
		return 0;
	fprintf(stderr, "bench_requests: %s, %s: %s is %.3f, bound %.3f\n",
		run->site->name, scenarios[run->scenario].name, what, value,
		bound);
	return 1;
}

static int check_run(const struct run *run, double quiet_p99_ms)
{
	const struct model_result *result = &run->result;
	double value = result->most_slots;
	int missed = 0;

	missed += check(run, "slots used on a VM", value, value <= MODEL_SLOTS,
			MODEL_SLOTS);
	value = result->restarts;
	if (run->scenario == RESTART)
		missed += check(run, "entries restarted", value,
				value >= MODEL_ENTRIES, MODEL_ENTRIES);
	for (unsigned i = 0; i < MODEL_POOLS; i++) {
		value = result->pools[i].longest_queue;
		missed += check(run, "longest queue of a pool", value,
				value <= MODEL_QUEUE_LENGTH,
				MODEL_QUEUE_LENGTH);
		value = (double)result->pools[i].unknown;
		if (run->scenario == RESTART)
			missed += check(run, "requests cut off by a restart",
					value, value <= 0, 0);
		if (!scenarios[run->scenario].keeps_guarantee ||
		    (run->scenario == URGENT_FLOOD && i == MODEL_URGENT))
			continue;
		value = kept(run, i);
		missed += check(run, "share of its guarantee a pool keeps",
				value, value >= BOUND_KEPT, BOUND_KEPT);
	}
	value = result->pools[MODEL_URGENT].p99_ms / quiet_p99_ms;
	if (run->scenario == BATCH_FLOOD)
		missed += check(run, "urgent p99 by its quiet p99", value,
				value <= BOUND_URGENT_P99, BOUND_URGENT_P99);
	value = result->attempts_per_request;
	if (scenarios[run->scenario].outage)
		missed += check(run, "attempts per request", value,
				value <= BOUND_ATTEMPTS, BOUND_ATTEMPTS);
	return missed;
}

static int run_site(FILE *csv, const struct model_site *site,
		    const struct policy *policy)
{
	double quiet_p99_ms = 0;
	int missed = 0;

	for (unsigned i = 0; i < SCENARIOS; i++) {
		struct run run = { .site = site,
				   .policy = policy,
				   .scenario = i };

		run_scenario(&run);
		print_run(csv, &run);
		if (i == QUIET)
			quiet_p99_ms = run.result.pools[MODEL_URGENT].p99_ms;
		if (policy == &policies[0] || policy->hedge_percent)
			missed += check_run(&run, quiet_p99_ms);
	}
	return missed;
}

int main(int argc, char **argv)
{
	gboolean ci = argc > 1 && !strcmp(argv[1], "ci");
	FILE *csv = bench_results_open("requests.csv");
	int missed = 0;

	fputs("site,scenario,policy,pool,sent,ran,errors,not_run,unknown,"
	      "p50_ms,p99_ms,p999_ms,ran_per_s,kept,longest_queue,"
	      "attempts_per_request,refusals_per_request,most_slots,"
	      "settle_ms\n",
	      csv);
	puts("site       scenario     policy      pool      sent    ran   500 "
	     "not-run  unkn      p50      p99    p99.9  ran/s  kept  queue "
	     "tries refused slots settle");
	for (size_t i = 0; i < G_N_ELEMENTS(sites); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(policies); k++) {
			if (ci && k && !policies[k].hedge_percent)
				continue;
			missed += run_site(csv, &sites[i], &policies[k]);
		}
	fclose(csv);
	return missed ? 1 : 0;
}
