#ifndef BENCH_STEPS_H
#define BENCH_STEPS_H

#include <glib.h>

/*
 * Seeded simulation, on a virtual clock, of a pool of VMs that run jobs of
 * steps: services (long-running and latency-sensitive), short urgent jobs and
 * large best-effort batch jobs. The reducers of leader and agents are the real
 * ones and their frames are encoded; workers, callers and the key-value store
 * are fakes. There are no faults: it measures how much work ends in time and
 * the leader's CPU time.
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
	/** Jobs arrive for run_ms; the run ends settle_ms later. */
	gint64 run_ms;
	gint64 settle_ms;
	/** Jobs per second on all VMs, and services submitted at the start. */
	double urgent_per_s;
	double batch_per_s;
	guint services;
	/** Factor on batch_per_s in the middle third of run_ms. */
	double flood;
};

struct steps_result {
	/** Jobs submitted, done, and done within their objective. */
	guint jobs[STEPS_N_KINDS];
	guint done[STEPS_N_KINDS];
	guint in_time[STEPS_N_KINDS];
	/** Work of all jobs and of those in time, CPU-seconds. */
	double work[STEPS_N_KINDS];
	double work_in_time[STEPS_N_KINDS];
	/** Run time of all service tasks, and the part of it in which their
	 * latency was over the target. */
	double service_ms;
	double service_over_ms;
	/** CPU time of the leader, decoding of reports included. */
	double leader_cpu_ms;
	guint64 leader_events;
	guint64 starts;
	/** Size of the frames between leader and agents. */
	guint64 frame_bytes;
	/** Size of the records written, and number of transactions. */
	guint64 record_bytes;
	guint64 commits;
};

void steps_run(const struct steps_options *options,
	       struct steps_result *result);

#endif
