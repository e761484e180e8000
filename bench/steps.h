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
	/** Factor on batch_per_s in the middle third of run_ms, or in the first
	 * one. */
	double flood;
	gboolean flood_is_first;
	/** Services submitted during run_ms, per second. */
	double services_per_s;
	/** Mean CPUs and duration of the tasks; 0 for the defaults. */
	double batch_cpu_milli;
	double batch_duration_ms;
	double service_cpu_milli;
	/** Load of the services: it swings by this fraction of its mean, and so
	 * do their baseline latency and CPU use; 0 for the defaults. */
	double service_swing;
	/** Mean fraction of its declared CPUs that a service uses; 0 for the
	 * default. */
	double service_cpu_use;
	double service_period_ms;
	/** Image pairs with a high interference coefficient, of 20; 0 for the
	 * default. */
	guint heavy_pairs;
	/** Record of the interference table that the leader reads, or NULL. */
	GBytes *interference;
	/** Delay of a changed CPU share. */
	gint64 share_delay_ms;
};

struct steps_result {
	/** Jobs submitted, done, and done within their objective. */
	guint jobs[STEPS_N_KINDS];
	guint done[STEPS_N_KINDS];
	guint in_time[STEPS_N_KINDS];
	/** Jobs done after their objective, but within three times of it. */
	guint late[STEPS_N_KINDS];
	/** Of the tenth of the batch jobs that needs the most work: jobs, and
	 * those done, and done within their objective. */
	guint large;
	guint large_done;
	guint large_in_time;
	/** Work of all jobs and of those in time, CPU-seconds. */
	double work[STEPS_N_KINDS];
	double work_in_time[STEPS_N_KINDS];
	/** Run time of all service tasks, and the part of it in which their
	 * latency was over the target. */
	double service_ms;
	double service_over_ms;
	/** The part of service_over_ms that no best-effort task caused. */
	double service_over_alone_ms;
	/** CPU time of the leader, decoding of reports included. */
	double leader_cpu_ms;
	guint64 leader_events;
	guint64 starts;
	/** The last record of the interference table; owned by the caller. */
	GBytes *interference;
	/** Size of the frames between leader and agents. */
	guint64 frame_bytes;
	/** Size of the records written, and number of transactions. */
	guint64 record_bytes;
	guint64 commits;
};

void steps_run(const struct steps_options *options,
	       struct steps_result *result);

#endif
