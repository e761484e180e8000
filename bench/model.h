#ifndef BENCH_MODEL_H
#define BENCH_MODEL_H

#include "entry/entry.h"

/*
 * Runs the reducers of two entries and of all agents on a virtual clock. A
 * queue of events passes their frames on with a delay; upstreams are fakes
 * that answer after a drawn service time. Equal options give equal results.
 */

enum model_pool {
	MODEL_URGENT,
	MODEL_NORMAL,
	MODEL_BATCH,
	MODEL_POOLS
};

/** Requests that may wait in one entry, for each pool. */
#define MODEL_QUEUE_LENGTH 200

#define MODEL_ENTRIES 2
#define MODEL_VMS 11
#define MODEL_SLOTS 8
#define MODEL_CONNECTIONS 64

struct model_site {
	const char *name;
	unsigned zones;
	/** One way between callers and entries. */
	unsigned caller_ms;
	/** Requests in flight that each pool is guaranteed. */
	unsigned guaranteed[MODEL_POOLS];
};

enum model_fault {
	MODEL_NO_FAULT,
	/** Upstreams of one zone take five times as long. */
	MODEL_SLOW_ZONE,
	/** VMs of one zone are lost without a last message. */
	MODEL_LOST_ZONE,
	/** Frames between zones are delayed, and those behind them. */
	MODEL_DELAYED_FRAMES,
	/** One VM answers every request at once with status 500. */
	MODEL_FAILING_VM,
	/** Upstream of one VM takes five times as long. */
	MODEL_SLOW_VM,
	/** Entries are drained and started again, one after the other. */
	MODEL_ENTRIES_RESTART,
	/** The same without draining: entries die and callers' waits break. */
	MODEL_ENTRIES_KILLED,
};

struct model_options {
	const struct model_site *site;
	enum ent_lb_policy choice;
	gboolean no_limits;
	gboolean no_ejections;
	unsigned hedge_percent;
	/** Each attempt draws its own service time. */
	gboolean own_service_times;
	/** Requests a second of all callers, before and in the measurement. */
	double warmup_rates[MODEL_POOLS];
	double rates[MODEL_POOLS];
	enum model_fault fault;
	unsigned delayed_percent;
	guint32 seed;
	unsigned warmup_ms;
	unsigned measured_ms;
};

/** Of the requests that arrived in the measured time. */
struct model_pool_result {
	guint64 sent;
	guint64 ran;
	/** Ran, with status 500. */
	guint64 errors;
	guint64 not_run;
	/** Answered as unknown, or the entry died before its answer. */
	guint64 unknown;
	/** From the fault to the last arrival without an answer below 500. */
	double settle_ms;
	/** From the caller's sight, of the requests that ran. */
	double p50_ms;
	double p99_ms;
	double p999_ms;
	/** Answers that ran in the measured time. */
	double ran_per_s;
	unsigned longest_queue;
};

struct model_result {
	struct model_pool_result pools[MODEL_POOLS];
	/** Of the requests that were sent to an agent at least once. */
	double attempts_per_request;
	double refusals_per_request;
	unsigned most_slots;
	/** Entries that ended and serve callers again. */
	unsigned restarts;
};

void model_run(const struct model_options *options,
	       struct model_result *result);

/** Requests a second that slots serve if they are never idle. */
double model_capacity_per_s(unsigned slots);

#endif
