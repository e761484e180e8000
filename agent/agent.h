#ifndef AGENT_H
#define AGENT_H

#include <glib.h>

#include "../config/config.h"
#include "../wire/wire.h"

/*
 * The reducer of the agent: the only judge of its VM's slots, processors,
 * memory and accelerators. It uses no sockets and reads no clock;
 * event->now_ms is boot-clock milliseconds, the clock of the worker's leases.
 */

/** Interval of grant requests. */
#define AGT_GRANT_INTERVAL_MS 5000

/** Time from a grant request to the end of the grant. */
#define AGT_GRANT_TTL_MS 20000

struct agt;

/** What is done when batch tasks slow a service of the VM. */
enum agt_interference {
	/** Throttle, restore, and evict as the last resort. */
	AGT_INTERFERENCE_CONTROL,
	/** Baseline for benchmarks: evict the newest task at once. */
	AGT_INTERFERENCE_EVICT,
	/** Baseline for benchmarks: nothing. */
	AGT_INTERFERENCE_IGNORE,
};

struct agt_options {
	const char *vm;
	const char *zone;
	const char *rack;
	/** New with each start of the process. */
	const char *boot_id;
	const char *const *pools;
	size_t n_pools;
	unsigned slots;
	unsigned connections;
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 accelerators;
	gboolean has_upstream;
	gboolean has_worker;
	const char *const *entries;
	size_t n_entries;
	guint32 seed;
	enum agt_interference interference;
	/** Evictions for interference on this VM; 0: 2. */
	unsigned evictions_per_minute;
};

/** A task as the worker reports it; strings are borrowed. */
struct agt_worker_task {
	const char *job_id;
	unsigned attempt;
	unsigned shard;
	guint64 session;
	Rp__TaskState state;
	Rp__Reason reason;
	const char *detail;
	const char *checkpoint;
	const void *result;
	size_t result_len;
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 accelerators;
	gint64 used_cpu_milli;
	gint64 used_memory_bytes;
	const char *pool;
	/** NULL if the worker does not tell. */
	const char *kind;
};

enum agt_event_kind {
	AGT_EV_TICK,
	/** The connection that AGT_FX_DIAL asked for is open. */
	AGT_EV_CONNECTED,
	AGT_EV_FRAME,
	AGT_EV_CLOSED,
	AGT_EV_UPSTREAM,
	/** Answer to AGT_FX_WORKER_LIST. */
	AGT_EV_WORKER_TASKS,
	/** Answer to another worker effect. */
	AGT_EV_WORKER_DONE,
	AGT_EV_DRAIN,
};

enum agt_upstream_status {
	AGT_UPSTREAM_ANSWERED,
	/** Never connected: no byte of the request left. */
	AGT_UPSTREAM_NOT_SENT,
	/** Failed or timed out after bytes may have left. */
	AGT_UPSTREAM_FAILED,
};

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
			/** From AGT_FX_FORWARD. */
			guint64 call;
			enum agt_upstream_status status;
			unsigned http_status;
			const struct Rp__Header *const *headers;
			size_t n_headers;
			const void *body;
			size_t body_len;
		} upstream;
		struct {
			/** FALSE if the worker could not be asked. */
			gboolean ok;
			const char *worker_boot_id;
			const struct agt_worker_task *tasks;
			size_t n;
		} worker_tasks;
		struct {
			/** From the effect. */
			guint64 op;
			/** Also TRUE if the task to stop or forget is unknown.
			 */
			gboolean ok;
			/** FALSE if the call may have taken effect. */
			gboolean certain;
			/** TRUE if no byte of the call left. */
			gboolean not_sent;
			const char *detail;
			/** Of AGT_FX_WORKER_CHECKPOINT. */
			const char *checkpoint;
		} worker_done;
	};
};

enum agt_effect_kind {
	AGT_FX_SEND,
	AGT_FX_DIAL,
	AGT_FX_CLOSE,
	AGT_FX_FORWARD,
	AGT_FX_WORKER_LIST,
	AGT_FX_WORKER_START,
	/** Lets all tasks run until run_until_ms. */
	AGT_FX_WORKER_LEASE,
	/** Suspends the task and saves a checkpoint. */
	AGT_FX_WORKER_CHECKPOINT,
	AGT_FX_WORKER_STOP,
	AGT_FX_WORKER_THROTTLE,
	AGT_FX_WORKER_FORGET,
	AGT_FX_DRAINED,
	AGT_FX_LOG,
	AGT_FX_COUNT,
};

struct agt_effect {
	enum agt_effect_kind kind;
	union {
		struct {
			guint64 conn;
			struct Rp__Frame *frame;
		} send;
		struct {
			/**
			 * Names the connection in later events and effects;
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
			/** Absolute, boot clock; START and LEASE. */
			gint64 run_until_ms;
			unsigned share_milli;
			guint64 session;
			/** The TaskStart frame, START only. */
			struct Rp__Frame *start;
		} worker;
		struct {
			GLogLevelFlags level;
			char *message;
			char *job_id;
		} log;
		struct {
			const char *name;
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

/** Returns an array for agt_reduce() that frees its items. */
GArray *agt_effects_new(void);

/** TRUE once connected to an entry and, with a worker, its tasks are known. */
gboolean agt_ready(const struct agt *agt);

struct agt_committed {
	unsigned slots;
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 accelerators;
	unsigned tasks;
	gint64 grant_until_ms;
	guint64 session;
	guint64 tables_generation;
	/** Since the start: for interference. */
	guint64 evictions;
	guint64 throttled_ms;
};

void agt_committed(const struct agt *agt, struct agt_committed *committed);

/** Appends slots, commitments, tasks, grant and connections as JSON. */
void agt_status_json(const struct agt *agt, GString *out);

#endif
