#ifndef BENCH_SCALE_H
#define BENCH_SCALE_H

#include <glib.h>
#include <stdio.h>

/* Benchmarks of the reducers; each prints a table and rows of scale.csv. */

/** CPU time of this thread in nanoseconds. */
gint64 scale_cpu_ns(void);

/** Bytes allocated from the heap at present. */
gsize scale_heap_bytes(void);

/** Writes a row of scale.csv; size is the number of VMs, agents or entries. */
void scale_row(FILE *csv, const char *role, const char *setting, unsigned size,
	       const char *metric, double value, const char *unit);

/** Options and results of one run of the job scheduler's reducer. */
struct scale_jobs {
	unsigned vms;
	/** Free capacity of each VM, in tasks beside the 12 running ones. */
	unsigned spare;
	/** Batch jobs that are queued at the start. */
	unsigned backlog;
	/** Virtual time, without the warm-up. */
	unsigned duration_ms;

	/* Results. */
	guint64 starts;
	/** CPU time per start: submissions, task events, ticks and commits. */
	double decision_us;
	/** The same in each time slice (double); the caller frees the array. */
	GArray *slices_us;
	double txns_per_start;
	double txns_per_s;
	double reads_per_s;
	double read_bytes_per_s;
	/** Bytes written to the store. */
	double written_per_start;
	double written_per_change;
	/** Virtual time from the submission of an urgent job to its start. */
	double urgent_p50_ms;
	double urgent_p99_ms;
	double urgent_max_ms;
	/** Urgent jobs started. */
	guint64 urgent;
	/** Tasks refused for want of capacity, and tasks evicted. */
	guint64 refused;
	guint64 evicted;
};

/** Options and results of a run in which VM 0 fails each task at its start. */
struct scale_faulty {
	unsigned vms;
	gboolean no_quarantine;
	unsigned duration_ms;

	/* Results. */
	/** Jobs submitted. */
	guint64 jobs;
	guint64 starts;
	/** Starts on the faulty VM. */
	guint64 wasted;
	/** Jobs that ended as failed. */
	guint64 failed;
	/** From the first failed task to the VM's quarantine; -1: never. */
	double quarantined_ms;
};

/** Runs a fleet with a faulty VM; prints a line and writes CSV rows. */
void scale_jobs_faulty(struct scale_faulty *run, FILE *csv);

/** Prints the header of the table that scale_jobs_run() prints. */
void scale_jobs_print_header(void);
/**
 * Runs the fleets alternately in short time slices, so that a change of the
 * CPU's speed affects all of them equally.
 */
void scale_jobs_run(struct scale_jobs *const *runs, unsigned n, FILE *csv);
/** Measures the heap bytes per VM, and per job in each state. */
void scale_jobs_memory(unsigned vms, FILE *csv);

/** Measures the reducer of an entry, or of an agent. */
void scale_entry_run(unsigned agents, unsigned pools, FILE *csv);
void scale_agent_run(unsigned entries, FILE *csv);

#endif
