#ifndef BENCH_STEPS_H
#define BENCH_STEPS_H

#include <glib.h>

/*
 * A seeded model of a pool of workers under jobs of steps: services that last,
 * short urgent jobs and large batch jobs that fill. The reducers of leader and
 * agents are the real ones and their frames are encoded; workers, callers and
 * the store are models on a virtual clock. There are no faults: what is
 * measured is how much work is done in time, and what deciding it costs.
 */

enum steps_kind {
	STEPS_URGENT,
	STEPS_BATCH,
	STEPS_SERVICE,
	STEPS_N_KINDS,
};

struct steps_options {
	guint32 seed;
	guint vms;
	gint64 cores_per_vm;
	/** Jobs arrive for so long; the run goes on until settle_ms later. */
	gint64 run_ms;
	gint64 settle_ms;
	/** Jobs per second of all VMs, and services at the start. */
	double urgent_per_s;
	double batch_per_s;
	guint services;
	/** Batch jobs arrive this many times as fast in the middle third. */
	double flood;
};

struct steps_result {
	/** Jobs submitted, done, and done within their objective. */
	guint jobs[STEPS_N_KINDS];
	guint done[STEPS_N_KINDS];
	guint in_time[STEPS_N_KINDS];
	/** Work of all and of those in time, core-seconds. */
	double work[STEPS_N_KINDS];
	double work_in_time[STEPS_N_KINDS];
	/** Time of services with a latency over their target, and in all. */
	double service_ms;
	double service_over_ms;
	/** Processor time of the leader, its frames included, and its events.
	 */
	double leader_cpu_ms;
	guint64 leader_events;
	guint64 starts;
	/** Frames between leader and agents. */
	guint64 frame_bytes;
	/** Records written, and the transactions that wrote them. */
	guint64 record_bytes;
	guint64 commits;
};

void steps_run(const struct steps_options *options,
	       struct steps_result *result);

#endif
