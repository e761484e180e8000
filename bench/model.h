#ifndef BENCH_MODEL_H
#define BENCH_MODEL_H

#include "entry/entry.h"

/*
 * Discrete-event simulation of requests: the reducers of two entries and of all
 * agents run on a virtual clock, and frames between them are delayed. Upstreams
 * are fakes that answer after a random service time. Equal options give equal
 * results.
 */

enum model_pool {
	MODEL_URGENT,
	MODEL_NORMAL,
	MODEL_BATCH,
	MODEL_POOLS
};

/** Queue length of each pool at one entry. */
#define MODEL_QUEUE_LENGTH 200

#define MODEL_ENTRIES 2
#define MODEL_VMS 11
#define MODEL_SLOTS 8
#define MODEL_CONNECTIONS 64

struct model_site {
	const char *name;
	unsigned zones;
	/** One-way latency between callers and entries. */
	unsigned caller_ms;
	/** Requests in flight that each pool is guaranteed. */
	unsigned guaranteed[MODEL_POOLS];
};

enum model_fault {
	MODEL_NO_FAULT,
	/** Upstreams of one zone take five times as long. */
	MODEL_SLOW_ZONE,
	/** VMs of one zone fail without closing their connections. */
	MODEL_LOST_ZONE,
	/** Some frames between zones, and so those behind them, are late. */
	MODEL_DELAYED_FRAMES,
	/** One VM answers every request without delay with status 500. */
	MODEL_FAILING_VM,
	/** The upstream of one VM takes five times as long. */
	MODEL_SLOW_VM,
	/** Entries are drained and started again, one after the other. */
	MODEL_ENTRIES_RESTART,
	/** The same without draining: callers lose their pending requests. */
	MODEL_ENTRIES_KILLED,
};

struct model_options {
	const struct model_site *site;
	enum ent_lb_policy lb_policy;
	gboolean no_limits;
	gboolean no_ejections;
	/** Hedge budget of all pools; 0: no hedging. */
	unsigned hedge_percent;
	/** Retries and hedges draw a service time of their own. */
	gboolean own_service_times;
	/** Requests per second of all callers, in warm-up and measurement. */
	double warmup_rates[MODEL_POOLS];
	double rates[MODEL_POOLS];
	enum model_fault fault;
	/** MODEL_DELAYED_FRAMES: frames delayed. */
	unsigned delayed_percent;
	guint32 seed;
	unsigned warmup_ms;
	unsigned measured_ms;
};

/** Results for the requests that arrived during the measurement. */
struct model_pool_result {
	guint64 sent;
	guint64 ran;
	/** Ran, with status 500. */
	guint64 errors;
	guint64 not_run;
	/** The entry answered so, or ended before it answered. */
	guint64 unknown;
	/** From the fault to the arrival of the last request that got no answer
	 * below 500. */
	double settle_ms;
	/** Latency for callers, of the requests that ran. */
	double p50_ms;
	double p99_ms;
	double p999_ms;
	/** Successful answers during the measurement. */
	double ran_per_s;
	unsigned longest_queue;
};

struct model_result {
	struct model_pool_result pools[MODEL_POOLS];
	/** Per request that was sent to an agent at least once. */
	double attempts_per_request;
	double refusals_per_request;
	/** Most requests that an upstream ran at the same time. */
	unsigned most_slots;
	/** Entries that were restarted and accept callers again. */
	unsigned restarts;
};

void model_run(const struct model_options *options,
	       struct model_result *result);

/** Requests per second that this number of slots can run. */
double model_capacity_per_s(unsigned slots);

#endif
