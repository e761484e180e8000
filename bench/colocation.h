#ifndef BENCH_COLOCATION_H
#define BENCH_COLOCATION_H

#include "agent/agent.h"
#include "jobs/jobs.h"

/*
 * Discrete-event simulation, on a virtual clock, of one job scheduler and the
 * agents of its VMs. The reducers are the real ones; workers, services and the
 * key-value store are small fakes. Equal seeds give equal results.
 */

#define COLOCATION_VMS 11
#define COLOCATION_KINDS 5
#define COLOCATION_SERVICES 2

/** True properties of a kind of batch job, which the reducers do not see. */
struct colocation_kind {
	const char *name;
	/** Slowdown of each service if this kind uses all CPUs of the VM. */
	double slows_service[COLOCATION_SERVICES];
	/** Slowdown of each kind if this kind uses all CPUs of the VM. */
	double slows_kind[COLOCATION_KINDS];
	/** Size of a task, and the time that it takes at full speed. */
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 duration_ms;
};

struct colocation_options {
	guint32 seed;
	gint64 vm_cpu_milli;
	gint64 vm_memory_bytes;
	struct job_options jobs;
	/** What agents do about interference. */
	enum agt_interference agent;
	const struct colocation_kind *kinds;
	/** Mean rate of requests to each service on each VM; 0: none. */
	double requests_per_s;
	/** The first service runs on all VMs, and the second on none. */
	gboolean one_service;
	/** Maximum of the pool "batch"; 0: none. */
	gint64 batch_max_cpu_milli;
};

struct colocation_job {
	char *id;
	char *team;
	unsigned kind;
	gint64 cpu_milli;
	gint64 memory_bytes;
	/** Time that the task takes at full speed. */
	gint64 duration_ms;
	/** Completed part of duration_ms; an eviction does not reduce it. */
	double done_ms;
	gint64 submitted_ms;
	/** Time of the first start, or 0. */
	gint64 started_ms;
	gboolean ended;
	gboolean cancelled;
};

struct colocation;

struct colocation *colocation_new(const struct colocation_options *options);
void colocation_free(struct colocation *colocation);

/** Processes all events up to this virtual time. */
void colocation_run(struct colocation *colocation, gint64 until_ms);

/**
 * Submits a job to the pool "batch". The scheduler sees only the declared
 * sizes; the others are the real ones. The simulation owns the returned job.
 */
struct colocation_job *colocation_submit(struct colocation *colocation,
					 unsigned kind, const char *team,
					 gint64 cpu_milli, gint64 memory_bytes,
					 gint64 duration_ms,
					 gint64 declared_cpu_milli,
					 gint64 declared_memory_bytes);
void colocation_cancel(struct colocation *colocation,
		       struct colocation_job *job);

/** Milli-CPUs declared by the running tasks of a team; NULL: of all teams. */
gint64 colocation_team_cpu(const struct colocation *colocation,
			   const char *team);

struct colocation_result {
	double p50_ms;
	double p99_ms;
	double p999_ms;
	guint64 requests;
	/** CPU-seconds of work done, without what was repeated. */
	double work_cpu_s;
	unsigned finished;
	guint64 evictions;
	/** Evictions because of interference. */
	guint64 interference_evictions;
	double throttled_s;
	/** Ticks at which a VM was committed beyond its capacity. */
	unsigned overcommitted;
	struct job_stats stats;
};

/** Records only latencies from this time on. */
void colocation_measure_from(struct colocation *colocation, gint64 from_ms);
void colocation_result(struct colocation *colocation,
		       struct colocation_result *result);

#endif
