#ifndef AGENT_H
#define AGENT_H

#include <glib.h>

#include "../config/config.h"
#include "../wire/wire.h"

/*
 * Reducer of the agent. It alone admits requests and batch tasks to the slots,
 * CPUs, memory and accelerators of its VM. It does no I/O and reads no clock:
 * event->now_ms is in ms of the boot clock, as are the worker's leases.
 */

/**
 * Interval of grant requests. A grant, received from an entry, allows the VM to
 * run batch tasks of its current session for a limited time. A session is the
 * number under which a VM runs batch tasks; a fence ends it.
 */
#define AGT_GRANT_INTERVAL_MS 5000

/**
 * Validity of a grant, counted from the sending of its request, so that delays
 * of the answer do not extend it.
 */
#define AGT_GRANT_TTL_MS 20000

struct agt;

/** Reaction to batch tasks that slow a latency-critical pool of the VM. */
enum agt_interference {
	/** Throttle tasks and restore them; evict only if that fails. */
	AGT_INTERFERENCE_CONTROL,
	/** Reference for benchmarks: evict the newest tasks, never throttle. */
	AGT_INTERFERENCE_EVICT,
	/** Reference for benchmarks: take no action. */
	AGT_INTERFERENCE_IGNORE,
};

/** Settings of the VM; all strings are copied. */
struct agt_options {
	/** Name of the agent's VM. */
	const char *vm;
	/** Availability zone of the VM. */
	const char *zone;
	const char *rack;
	/** Id of this start of the agent process, not the kernel's boot id. */
	const char *boot_id;
	/** Names of the request pools that the upstream of the VM serves. */
	const char *const *pools;
	size_t n_pools;
	/** Requests that the upstream may process at a time. */
	unsigned slots;
	/** Maximum connections to the upstream; reported to the entries. */
	unsigned connections;
	/** Capacity for batch tasks: thousandths of a CPU, bytes, devices. */
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 accelerators;
	gboolean has_upstream;
	gboolean has_worker;
	/** Addresses (IP:port) of the entries from the settings. */
	const char *const *entries;
	size_t n_entries;
	/** Of the pseudo-random generator for back-off and choice of entry. */
	guint32 seed;
	enum agt_interference interference;
	/**
	 * Limit of evictions by AGT_INTERFERENCE_CONTROL on this VM; 0 means 2.
	 */
	unsigned evictions_per_minute;
};

/** A batch task in the worker's task list; strings are borrowed. */
struct agt_worker_task {
	const char *job_id;
	unsigned attempt;
	/** Shard of the jobs to which this one belongs. */
	unsigned shard;
	/** Session of the VM in which the task was started. */
	guint64 session;
	Rp__TaskState state;
	Rp__Reason reason;
	const char *detail;
	const char *checkpoint;
	const void *result;
	size_t result_len;
	/** Declared resources. */
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 accelerators;
	/** Measured usage. */
	gint64 used_cpu_milli;
	gint64 used_memory_bytes;
	const char *pool;
	/** Kind of the job; NULL if the worker does not report it. */
	const char *kind;
};

enum agt_event_kind {
	/** Time has passed. */
	AGT_EV_TICK,
	/** The connection requested by AGT_FX_DIAL is open. */
	AGT_EV_CONNECTED,
	/** A frame was received from an entry. */
	AGT_EV_FRAME,
	/** A connection was closed, or its dial failed. */
	AGT_EV_CLOSED,
	/** The call of an AGT_FX_FORWARD has ended. */
	AGT_EV_UPSTREAM,
	/** Answer to AGT_FX_WORKER_LIST. */
	AGT_EV_WORKER_TASKS,
	/** Answer to another worker effect. */
	AGT_EV_WORKER_DONE,
	/** Stop admitting work and evict all tasks before a planned stop. */
	AGT_EV_DRAIN,
};

enum agt_upstream_status {
	AGT_UPSTREAM_ANSWERED,
	/** The connection failed before any byte of the request was sent. */
	AGT_UPSTREAM_NOT_SENT,
	/** Failed or timed out after bytes may have been sent. */
	AGT_UPSTREAM_FAILED,
};

/** Strings, frames and arrays are borrowed for the call. */
struct agt_event {
	enum agt_event_kind kind;
	gint64 now_ms;
	union {
		struct {
			guint64 conn;
			const char *address;
		} connected;
		struct {
			guint64 conn;
			const struct Rp__Frame *frame;
		} frame;
		struct {
			guint64 conn;
		} closed;
		struct {
			/** Call id from AGT_FX_FORWARD. */
			guint64 call;
			enum agt_upstream_status status;
			unsigned http_status;
			const struct Rp__Header *const *headers;
			size_t n_headers;
			const void *body;
			size_t body_len;
		} upstream;
		struct {
			/** FALSE if the worker did not return its tasks. */
			gboolean ok;
			/** Id of this start of the worker process. */
			const char *worker_boot_id;
			const struct agt_worker_task *tasks;
			size_t n;
		} worker_tasks;
		struct {
			/** Call id from the worker effect. */
			guint64 op;
			/**
			 * Also TRUE for a stop or deletion of a task that the
			 * worker does not have.
			 */
			gboolean ok;
			/** FALSE if a failed call may have taken effect. */
			gboolean outcome_known;
			/** TRUE if no byte of the call was sent. */
			gboolean not_sent;
			const char *detail;
			/** Checkpoint saved by AGT_FX_WORKER_CHECKPOINT. */
			const char *checkpoint;
		} worker_done;
	};
};

/** Effects ("fx"): I/O that the caller does for the reducer. */
enum agt_effect_kind {
	AGT_FX_SEND,
	AGT_FX_DIAL,
	AGT_FX_CLOSE,
	/** Sends a request to the upstream. */
	AGT_FX_FORWARD,
	/** Reads the worker's task list. */
	AGT_FX_WORKER_LIST,
	AGT_FX_WORKER_START,
	/** Extends the lease under which the worker runs all its tasks. */
	AGT_FX_WORKER_LEASE,
	/** Suspends the task and saves a checkpoint. */
	AGT_FX_WORKER_CHECKPOINT,
	AGT_FX_WORKER_STOP,
	/** Sets the CPU share of a task. */
	AGT_FX_WORKER_THROTTLE,
	/** Deletes an ended task from the worker's list. */
	AGT_FX_WORKER_FORGET,
	/** Draining is complete: the process may exit. */
	AGT_FX_DRAINED,
	AGT_FX_LOG,
	/** Adds to a counter of the metrics. */
	AGT_FX_COUNT,
};

/** Owns its strings, except count.name, and its frames. */
struct agt_effect {
	enum agt_effect_kind kind;
	union {
		struct {
			guint64 conn;
			struct Rp__Frame *frame;
		} send;
		struct {
			/**
			 * Id of the connection in later events and effects;
			 * AGT_EV_CLOSED follows if the dial fails.
			 */
			guint64 conn;
			char *address;
		} dial;
		struct {
			guint64 conn;
		} close;
		struct {
			guint64 call;
			unsigned timeout_ms;
			/** The Request frame. */
			struct Rp__Frame *request;
		} forward;
		struct {
			guint64 op;
			char *job_id;
			unsigned attempt;
			/**
			 * End of the lease in ms of the boot clock; only in
			 * START and LEASE.
			 */
			gint64 run_until_ms;
			/** CPU share in thousandths of the declared CPUs. */
			unsigned share_milli;
			guint64 session;
			/** The TaskStart frame; only in START. */
			struct Rp__Frame *start;
		} worker;
		struct {
			GLogLevelFlags level;
			char *message;
			char *job_id;
		} log;
		struct {
			const char *name;
			/** In Prometheus syntax; NULL for none. */
			char *labels;
			guint64 add;
		} count;
	};
};

struct agt *agt_new(const struct agt_options *options);
void agt_free(struct agt *agt);

/** Applies one event and appends struct agt_effect items to effects. */
void agt_reduce(struct agt *agt, const struct agt_event *event,
		GArray *effects);

/** Returns an array for agt_reduce() that frees the items' content. */
GArray *agt_effects_new(void);

/**
 * TRUE if the agent is connected to an entry, knows the tasks of its worker (if
 * it has one) and does not drain.
 */
gboolean agt_ready(const struct agt *agt);

/** Slots and resources in use, and counters for metrics. */
struct agt_committed {
	unsigned slots;
	gint64 cpu_milli;
	/** Per task the larger of declared and used memory. */
	gint64 memory_bytes;
	gint64 accelerators;
	/** Tasks that may execute. */
	unsigned tasks;
	/** End of the grant in ms of the boot clock. */
	gint64 grant_until_ms;
	guint64 session;
	guint64 tables_generation;
	/** Evictions for interference since the start of the process. */
	guint64 evictions;
	/** Sum of the throttled time of all tasks since the start, in ms. */
	guint64 throttled_ms;
};

void agt_committed(const struct agt *agt, struct agt_committed *committed);

/** Appends slots, commitments, tasks, grant and connections as JSON. */
void agt_status_json(const struct agt *agt, GString *out);

#endif
