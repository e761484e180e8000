/*
 * Best-effort batch jobs, many tasks wide, that have to share the VMs with
 * latency-sensitive services whose load swings, in a burst for which there is
 * not enough capacity. Prints how many jobs end within their objective and
 * within three times of it, and how long services are over their target.
 *
 * Usage: bench_overload ci|all [SEEDS [LOAD]]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/steps.h"

/** Value of a job that ends late, but within three times its objective. */
#define LATE_VALUE 0.15

static void add(struct steps_result *sum, const struct steps_result *r)
{
	guint kind;

	for (kind = 0; kind < STEPS_N_KINDS; kind++) {
		sum->jobs[kind] += r->jobs[kind];
		sum->done[kind] += r->done[kind];
		sum->in_time[kind] += r->in_time[kind];
		sum->late[kind] += r->late[kind];
		sum->work[kind] += r->work[kind];
		sum->work_in_time[kind] += r->work_in_time[kind];
	}
	sum->large += r->large;
	sum->large_done += r->large_done;
	sum->large_in_time += r->large_in_time;
	sum->service_ms += r->service_ms;
	sum->service_over_ms += r->service_over_ms;
	sum->service_over_alone_ms += r->service_over_alone_ms;
	sum->leader_cpu_ms += r->leader_cpu_ms;
	sum->starts += r->starts;
}

static void print(const char *name, const struct steps_result *r)
{
	guint kind;

	printf("%s: %" G_GUINT64_FORMAT " starts, leader %.0f ms\n", name,
	       r->starts, r->leader_cpu_ms);
	for (kind = 0; kind < STEPS_SERVICE; kind++)
		printf("  %-6s jobs %4u, done %4u, in time %4u, late %4u, "
		       "value %.3f, work in time %.3f\n",
		       kind == STEPS_BATCH ? "batch" : "urgent", r->jobs[kind],
		       r->done[kind], r->in_time[kind], r->late[kind],
		       (r->in_time[kind] + LATE_VALUE * r->late[kind]) /
			       MAX(r->jobs[kind], 1),
		       r->work_in_time[kind] / MAX(r->work[kind], 1));
	printf("  largest tenth of the batch jobs %u, done %u, in time %u\n",
	       r->large, r->large_done, r->large_in_time);
	printf("  services over target %.4f of the time, %.4f without "
	       "neighbours\n",
	       r->service_over_ms / MAX(r->service_ms, 1),
	       r->service_over_alone_ms / MAX(r->service_ms, 1));
}

/** A load, relative to that of main(). */
struct load {
	const char *name;
	double batch_per_s;
	double flood;
	gboolean flood_is_first;
	/** Services at the start. */
	guint services;
	/** 0 for the default. */
	double service_cpu_use;
	/** The leader reads what an earlier one has stored of the same load. */
	gboolean learned_before;
};

static const struct load loads[] = {
	{ "burst", 3.3, 2.5, FALSE, 14, 0 },
	{ "burst at the start", 3.3, 2.5, TRUE, 3, 0 },
	{ "burst at the start, learned before", 3.3, 2.5, TRUE, 3, 0, TRUE },
	{ "few free CPUs", 3.3, 1, FALSE, 24, 0 },
	{ "busy services", 3.3, 1, FALSE, 18, 0.65 },
	{ "sufficient capacity", 2, 1, FALSE, 8, 0 },
};

static void run(const struct load *load, struct steps_options *options,
		guint seeds)
{
	struct steps_result sum = { 0 };
	struct steps_result result;
	guint i;

	options->batch_per_s = load->batch_per_s;
	options->flood = load->flood;
	options->flood_is_first = load->flood_is_first;
	options->services = load->services;
	options->service_cpu_use = load->service_cpu_use;
	for (i = 1; i <= seeds; i++) {
		options->seed = i;
		options->interference = NULL;
		steps_run(options, &result);
		if (load->learned_before) {
			options->interference = result.interference;
			steps_run(options, &result);
			g_bytes_unref(options->interference);
		}
		add(&sum, &result);
		g_bytes_unref(result.interference);
	}
	print(load->name, &sum);
}

int main(int argc, char **argv)
{
	guint seeds = argc > 2 ? (guint)atoi(argv[2]) : 1;
	struct steps_options options = {
		.vms = 73,
		.cores_per_vm = 64,
		.run_ms = 45000,
		.settle_ms = 20000,
		.urgent_per_s = 13,
		.services_per_s = 0.125,
		.batch_cpu_milli = 7000,
		.batch_duration_ms = 2200,
		.service_cpu_milli = 13000,
		.service_swing = 0.5,
		.service_period_ms = 14000,
		.heavy_pairs = 5,
		.share_delay_ms = 100,
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(loads); i++)
		if (argc < 4 || !strcmp(argv[3], loads[i].name))
			run(&loads[i], &options, seeds);
	return 0;
}
