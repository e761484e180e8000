#ifndef JOBS_H
#define JOBS_H

#include <glib.h>

#include "../config/config.h"
#include "../kv/kv.h"
#include "../wire/wire.h"

/*
 * The job part of the entry's reducer: which shards this entry owns, the
 * records of their jobs, placement, attempts, fences and evictions. It uses
 * no sockets and reads no clock; event->now_ms is boot-clock milliseconds.
 */

/** Shards of the job space; fixed for a deployment. */
#define JOB_SHARDS 16

/** Changes are collected for this long and written in one transaction. */
#define JOB_COMMIT_INTERVAL_MS 50

/** An agent without a connection for this long is fenced. */
#define JOB_VM_LOST_MS 10000

/** An ended job, its result and its idempotency key are kept for this long. */
#define JOB_RETENTION_MS (24 * 3600 * 1000LL)

/** A grant lets a VM run batch tasks for this long after its request. */
#define JOB_GRANT_TTL_MS 20000

/**
 * Time from the fence's acknowledgement to the next attempt: a grant, 1 % of
 * clock-rate error, and 2 s for rounding and scheduling on the VM.
 */
#define JOB_FENCE_WAIT_MS (JOB_GRANT_TTL_MS + JOB_GRANT_TTL_MS / 100 + 2000)

/**
 * Answer of an entry that does not own the job's shard, or no longer does: the
 * call took no effect and may be given to another owner. It is HTTP's 421,
 * Misdirected Request, and does not reach callers.
 */
#define JOB_STATUS_NOT_OWNER 421

/**
 * An outage for which promises are gathered lasts at most this long. A new
 * entry whose older members do not confirm it may fence after it, so longer
 * outages that are bridged make work of lost entries wait longer.
 */
#define JOB_PROMISE_MAX_OUTAGE_MS (65 * 60 * 1000LL)

/** Values of Rp__PromiseRefusal. */
#define JOB_PROMISE_REFUSALS 7

/** Bounds the memory that the jobs of one entry take. */
#define JOB_MAX_ACTIVE 50000

struct job;

struct job_options {
	const char *entry_id;
	/** Differs for each process; NULL: drawn from the seed. */
	const char *instance;
	/** Boot of the kernel; NULL if it is not known. */
	const char *boot_id;
	/** Bound by this process alone; NULL for none. */
	const char *agent_address;
	/** Seed of the random numbers used for placement. */
	guint32 seed;
	/** Baseline for benchmarks: the first VM that fits, in a fixed order.
	 */
	gboolean first_fit;
	/** Jobs that have not ended, above which a submission is refused;
	 * 0: JOB_MAX_ACTIVE.
	 */
	unsigned max_active;
	/** 0 means JOB_RETENTION_MS. */
	gint64 retention_ms;
	/** Baseline for benchmarks: placement ignores interference and usage.
	 */
	gboolean ignore_interference;
	/** Baseline for benchmarks: VMs that fail every task get new ones. */
	gboolean no_quarantine;
};

enum job_event_kind {
	JOB_EV_TICK,
	/** The entry's lease in the platform's service; lease 0: lost. */
	JOB_EV_LEASE,
	/** Ids of the entries registered, to share the shards evenly. */
	JOB_EV_ENTRIES,
	/**
	 * Newer tables are in force; they stay valid until the next event of
	 * this kind.
	 */
	JOB_EV_TABLES,
	/**
	 * A Hello, Report, TaskList, TaskEvent or GrantRequest of an agent.
	 * Connection numbers are above 0, are never used again, and grow in
	 * the order in which connections were accepted.
	 */
	JOB_EV_AGENT_FRAME,
	JOB_EV_AGENT_CLOSED,
	/** The connection to a peer that knows members; 0: it is lost. */
	JOB_EV_PEER,
	/** Members, PromiseRequest or PromiseReply of such a peer. */
	JOB_EV_PEER_FRAME,
	/** The entry stops: it leaves the members. */
	JOB_EV_DRAIN,
	JOB_EV_SUBMIT,
	JOB_EV_GET,
	JOB_EV_RESULT,
	JOB_EV_CANCEL,
	/** Answer to JOB_FX_TXN with the same id. */
	JOB_EV_TXN,
	/** Answer to JOB_FX_RANGE with the same id. */
	JOB_EV_RANGE,
};

/** What a caller submits; strings are borrowed. */
struct job_spec {
	const char *kind;
	const char *team;
	const char *idempotency_key;
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 accelerators;
	unsigned max_attempts;
	GBytes *payload;
};

/** Result of a call to the platform's service. */
enum job_kv_status {
	JOB_KV_OK,
	/** A comparison did not hold; nothing was written. */
	JOB_KV_CONFLICT,
	/** Certainly had no effect. */
	JOB_KV_UNAVAILABLE,
	/** May or may not have taken effect. */
	JOB_KV_UNKNOWN,
};

/** Everything that is pointed to is borrowed for the call. */
struct job_event {
	enum job_event_kind kind;
	gint64 now_ms;
	/** Wall clock, only for times shown to people. */
	gint64 unix_ms;
	union {
		struct {
			gint64 lease;
		} lease;
		struct {
			const char *const *ids;
			size_t n;
		} entries;
		struct {
			const struct cfg_tables *tables;
		} tables;
		struct {
			guint64 conn;
			const struct Rp__Frame *frame;
		} agent_frame;
		struct {
			guint64 conn;
		} agent_closed;
		struct {
			const char *id;
			guint64 conn;
			/** Of JOB_EV_PEER_FRAME. */
			const struct Rp__Frame *frame;
		} peer;
		struct {
			/** Chosen by the shell; returned with the answer. */
			guint64 handle;
			/** From job_id_new(). */
			const char *job_id;
			struct job_spec spec;
		} submit;
		struct {
			guint64 handle;
			const char *job_id;
		} query;
		struct {
			guint64 id;
			enum job_kv_status status;
			gint64 revision;
		} txn;
		struct {
			guint64 id;
			enum job_kv_status status;
			/** Of struct kv_pair pointers. */
			const GPtrArray *pairs;
			gint64 revision;
		} range;
	};
};

enum job_effect_kind {
	JOB_FX_SEND,
	JOB_FX_TXN,
	JOB_FX_RANGE,
	JOB_FX_ANSWER,
	JOB_FX_LOG,
};

/** Owned by the effects list; a shell may take members and clear them. */
struct job_effect {
	enum job_effect_kind kind;
	union {
		struct {
			guint64 conn;
			struct Rp__Frame *frame;
		} send;
		struct {
			guint64 id;
			struct kv_txn *txn;
		} txn;
		struct {
			guint64 id;
			char *prefix;
			gboolean exact;
			/** Only keys changed at or after it; 0: all. */
			gint64 min_revision;
		} range;
		struct {
			guint64 handle;
			/**
			 * HTTP status: 201, 200, 202, 404, 409, 413, 429, 503,
			 * JOB_STATUS_NOT_OWNER, or 504 if a submission or
			 * cancellation may or may not have become durable. 503,
			 * 429 and JOB_STATUS_NOT_OWNER mean that the job was
			 * not accepted here and never will be.
			 */
			unsigned status;
			/** JSON, or the stored result as it is. */
			GBytes *body;
		} answer;
		struct {
			GLogLevelFlags level;
			char *message;
			char *job_id;
		} log;
	};
};

struct job *job_new(const struct job_options *options);
void job_free(struct job *job);

/** Appends struct job_effect items to effects, in the order to carry out. */
void job_reduce(struct job *job, const struct job_event *event,
		GArray *effects);

/** Returns an array for job_reduce() that frees its items. */
GArray *job_effects_new(void);

/** Id of a job: a hash of the key, or of random words if key is NULL. */
char *job_id_new(const char *idempotency_key, GRand *random);

/** Shard of a job id, below JOB_SHARDS. */
unsigned job_shard(const char *job_id);

/** Term under which this entry owns the shard, or 0. */
guint64 job_shard_term(const struct job *job, unsigned shard);

struct job_stats {
	unsigned shards_owned;
	unsigned jobs;
	unsigned queued;
	unsigned placed;
	unsigned running;
	guint64 started;
	guint64 finished;
	guint64 failed;
	guint64 evicted;
	guint64 refused;
	guint64 fences;
	guint64 txns;
	guint64 records_written;
	guint64 records_deleted;
	/** Measurements that the slopes of interference learned from. */
	guint64 interference_updates;
	/** Tries that found room only where a service would be too slow. */
	guint64 interference_deferrals;
	/** Jobs placed on such a VM after they had waited for long. */
	guint64 interference_overrides;
	/** Attempts that agents evicted for interference. */
	guint64 interference_evicted;
	guint64 promises_asked;
	guint64 promises_given;
	guint64 promises_refused[JOB_PROMISE_REFUSALS];
	/** Grants answered because all members had promised. */
	guint64 promise_grants;
};

void job_stats(const struct job *job, struct job_stats *stats);

/** Name of an Rp__PromiseRefusal, for counters. */
const char *job_promise_refusal_name(unsigned refusal);

/** Appends a JSON object: members, and whether promises are used. */
void job_promise_status_json(const struct job *job, GString *out);

/** Appends a JSON array with the reason why each queued job waits. */
void job_status_json(const struct job *job, GString *out);

/** Appends a JSON array of the VMs that get no new tasks, and why. */
void job_blocked_vms_json(const struct job *job, GString *out);
/** Appends a JSON array with the slowdowns learned for each pair. */
void job_interference_status_json(const struct job *job, GString *out);

#endif
