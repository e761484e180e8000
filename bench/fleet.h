#ifndef BENCH_FLEET_H
#define BENCH_FLEET_H

#include "bench/fake_platform.h"
#include "bench/scale.h"

/*
 * Simulation of a fleet on a virtual clock: the real reducer of the job
 * scheduler, with fake agents and a fake key-value store. One entry owns every
 * shard, the worst case for one process.
 */

/** Tasks that run on each VM. */
#define FLEET_TASKS_PER_VM 12
/** Mean CPU of a task. */
#define FLEET_TASK_CPU_MILLI 4000

/* Categories in which the CPU time of events is counted. */
enum cost {
	COST_TICK,
	COST_SUBMIT,
	COST_TASK_EVENT,
	COST_COMMIT,
	COST_GRANT,
	COST_REPORT,
	COST_FENCES,
	COST_LIST,
	COST_HELLO,
	COST_LOAD,
	COST_OTHER,
	COST_KINDS,
};

struct task {
	char *id;
	unsigned attempt;
	unsigned shard;
	unsigned vm;
	guint64 session;
	gint64 cpu_milli;
	Rp__TaskState state;
	/* Index in fleet.running. */
	guint position;
};

/* A VM and its agent. */
struct node {
	char name[16];
	GPtrArray *tasks;
	/* CPU of the running tasks. */
	gint64 cpu_milli;
	/* The commitments changed after the last report. */
	gboolean dirty;
	/* No report is sent before this time. */
	gint64 report_after_ms;
	gint64 next_grant_ms;
	/* Number of the last grant request. */
	guint64 sequence;
	/* Latest term of each shard that the entry sent. */
	guint64 terms[JOB_SHARDS];
};

/* A frame from the agent on the connection to the entry. */
struct message {
	guint64 conn;
	struct Rp__Frame *frame;
};

struct fleet {
	struct fake_platform *platform;
	struct job *job;
	GArray *effects;
	GRand *random;
	gint64 now_ms;
	struct node *nodes;
	unsigned vms;
	/* Capacity of each VM. */
	gint64 vm_cpu_milli;
	/* Store calls (struct job_effect) to answer in the next step. */
	GArray *calls;
	/* Frames (struct message) on their way to the entry. */
	GArray *inbox;
	/* Job ID to struct task, owned; and the tasks that run. */
	GHashTable *tasks;
	GPtrArray *running;
	/* Job ID to submission time (gint64) of urgent jobs not yet started. */
	GHashTable *submitted;
	/* Times from submission to start of urgent jobs (gint64). */
	GArray *urgent_ms;
	unsigned last_handle;
	guint64 starts;
	guint64 refused;
	guint64 evicted;
	/* VM 0 fails each task as it starts. */
	gboolean faulty;
	/* Times at which tasks failed on VM 0 (gint64). */
	GArray *failed_at_ms;
	unsigned starts_per_s;
	gint64 cpu_ns[COST_KINDS];
	guint64 events[COST_KINDS];
	/* Records written before the measurement. */
	guint64 records_before;
	struct cfg_tables *tables;
};

struct fleet *fleet_new(unsigned vms, gint64 vm_cpu_milli,
			gboolean no_quarantine);
void fleet_free(struct fleet *fleet);

/**
 * Stores a job record as an earlier owner of its shard would have left it.
 * Returns the job ID, which the caller frees.
 */
char *fleet_store_record(struct fleet *fleet, Rp__JobState state, unsigned vm);

/** Stores the record of a running job and adds its task to the VM. */
void fleet_store_running(struct fleet *fleet, unsigned vm);

/** Gives the entry its store lease, upon which it claims every shard. */
void fleet_lease(struct fleet *fleet);

/** Advances the virtual clock by this number of steps, without load. */
void fleet_idle(struct fleet *fleet, unsigned steps);

/** Has the entry claim all shards and load the records; connects the agents. */
void fleet_start(struct fleet *fleet);

/** Connects one agent, which sends nothing but its Hello. */
void fleet_hello(struct fleet *fleet, unsigned vm);

/** Runs for this virtual time; submits and ends starts_per_s jobs a second. */
void fleet_run(struct fleet *fleet, unsigned duration_ms);

/** Sets the counters and CPU times to 0 at the start of a measurement. */
void fleet_reset_counts(struct fleet *fleet);

#endif
