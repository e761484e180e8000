#ifndef JOBS_H
#define JOBS_H

#include <glib.h>

#include "../config/config.h"
#include "../evac/evac.h"
#include "../kv/kv.h"
#include "../wire/wire.h"

/*
 * The job scheduler, a part of the entry's reducer. An entry owns some of the
 * job shards; for these it keeps the records of the jobs, places the jobs on
 * VMs, follows their attempts, and fences VMs that are lost. It does no I/O
 * and reads no clock: events go in, effects come out. event->now_ms is the
 * boot clock in milliseconds.
 *
 * A fence is a stored record that forbids a VM's batch tasks up to a session.
 * A session is the number under which a VM runs batch tasks. Grants let a VM
 * run them for a limited time and carry the VM's fence.
 *
 * Members are the entries that may write fences. While the store cannot be
 * read, an entry gives grants only if every member has promised to write no
 * fence for JOB_FENCE_WAIT_MS, since it might not know of a new fence.
 */

/** Number of job shards; stored keys depend on it, so it never changes. */
#define JOB_SHARDS 16

/** Changed records are collected for this time, then written together. */
#define JOB_COMMIT_INTERVAL_MS 50

/** A VM with attempts is fenced after this time without a connection. */
#define JOB_VM_LOST_MS 10000

/** An ended job, its result and its idempotency key are kept for 24 hours. */
#define JOB_RETENTION_MS (24 * 3600 * 1000LL)

/** A grant lets a VM run batch tasks until this time after its request. */
#define JOB_GRANT_TTL_MS 20000

/**
 * Time from the store's acknowledgement of a fence to the next attempt of the
 * VM's jobs: the lifetime of a grant, 1 % of it for clock-rate error, and 2 s
 * for rounding and scheduling on the VM.
 */
#define JOB_FENCE_WAIT_MS (JOB_GRANT_TTL_MS + JOB_GRANT_TTL_MS / 100 + 2000)

/**
 * Answer of an entry that does not own the job's shard, or no longer does: the
 * call had no effect and may be sent to the current owner. It is HTTP's 421
 * (Misdirected Request) and is never returned to callers.
 */
#define JOB_STATUS_NOT_OWNER 421

/**
 * Promises are requested only if the set of members was read less than this
 * time ago, so no grants are given after a longer outage of the store. A new
 * entry that older members do not confirm may fence only after this time, so a
 * higher value delays the jobs of lost entries.
 */
#define JOB_PROMISE_MAX_OUTAGE_MS (65 * 60 * 1000LL)

/** Number of values of Rp__PromiseRefusal. */
#define JOB_PROMISE_REFUSALS 7

/** Default of job_options.max_active; bounds the memory for jobs. */
#define JOB_MAX_ACTIVE 50000

/** The job scheduler of one entry, not one job (struct job_item). */
struct job;

/** Strings are copied by job_new(). */
struct job_options {
	const char *entry_id;
	/** Id of this entry process; NULL: drawn from the seed. */
	const char *instance;
	/** Boot id of the kernel; NULL if it is not known. */
	const char *boot_id;
	/** Address that only this process has bound; NULL for none. */
	const char *agent_address;
	/** Seed of the random numbers used for placement. */
	guint32 seed;
	/** Benchmark baseline: jobs go to the first VM with enough capacity. */
	gboolean first_fit;
	/**
	 * Submissions are refused while this number of jobs has not ended;
	 * 0: JOB_MAX_ACTIVE.
	 */
	unsigned max_active;
	/** How long ended jobs are kept; 0: JOB_RETENTION_MS. */
	gint64 retention_ms;
	/** Benchmark baseline: placement ignores interference and usage. */
	gboolean ignore_interference;
	/** Benchmark baseline: VMs where jobs fail are not quarantined. */
	gboolean no_quarantine;
	/** No job is placed before the first JOB_EV_EVACUATIONS. */
	gboolean wait_for_evacuations;
};

enum job_event_kind {
	JOB_EV_TICK,
	/** The entry's lease in the key-value store; lease 0: lost. */
	JOB_EV_LEASE,
	/** Ids of the registered entries, which share the shards evenly. */
	JOB_EV_ENTRIES,
	/**
	 * Newer tables are in force; they stay valid until the next event of
	 * this kind.
	 */
	JOB_EV_TABLES,
	/**
	 * The evacuated zones, in which no attempt is placed; they stay valid
	 * until the next event of this kind.
	 */
	JOB_EV_EVACUATIONS,
	/**
	 * A Hello, Report, TaskList, TaskEvent or GrantRequest of an agent.
	 * Connection numbers are above 0, are never used again, and grow in
	 * the order in which connections were accepted.
	 */
	JOB_EV_AGENT_FRAME,
	JOB_EV_AGENT_CLOSED,
	/**
	 * A connection to another entry that understands Members frames was
	 * opened, or closed if conn is 0.
	 */
	JOB_EV_PEER,
	/** Members, PromiseRequest or PromiseReply from such an entry. */
	JOB_EV_PEER_FRAME,
	/** The entry drains: it removes itself from the members. */
	JOB_EV_DRAIN,
	/* Calls about jobs; each is answered by JOB_FX_ANSWER. */
	JOB_EV_SUBMIT,
	JOB_EV_GET,
	JOB_EV_RESULT,
	JOB_EV_CANCEL,
	/** Answer to JOB_FX_TXN with the same id. */
	JOB_EV_TXN,
	/** Answer to JOB_FX_RANGE with the same id. */
	JOB_EV_RANGE,
};

/**
 * Submission of a job; strings and payload are borrowed. kind is a path that
 * selects the route, team and idempotency_key may be NULL, and max_attempts 0
 * means the default.
 */
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

/** Result of a call to the key-value store. */
enum job_kv_status {
	JOB_KV_OK,
	/** A comparison failed; nothing was written. */
	JOB_KV_CONFLICT,
	/** The call failed and is known to have had no effect. */
	JOB_KV_UNAVAILABLE,
	/** The call may still take effect, or may have done so. */
	JOB_KV_UNKNOWN,
};

/** All pointers are borrowed for the call of job_reduce(). */
struct job_event {
	enum job_event_kind kind;
	gint64 now_ms;
	/** Wall clock: stored times and retention; 0: unchanged. */
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
			const struct evac *evacuations;
		} evacuations;
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
			/** Only in JOB_EV_PEER_FRAME. */
			const struct Rp__Frame *frame;
		} peer;
		struct {
			/** Chosen by the I/O layer; returned in the answer. */
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

/** Effects (FX) that the I/O layer carries out. */
enum job_effect_kind {
	JOB_FX_SEND,
	JOB_FX_TXN,
	JOB_FX_RANGE,
	JOB_FX_ANSWER,
	JOB_FX_LOG,
};

/**
 * Owned by the effects array; the I/O layer may take over pointers if it sets
 * them to NULL.
 */
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
			/** Only keys changed since this revision; 0: all. */
			gint64 min_revision;
		} range;
		struct {
			guint64 handle;
			/**
			 * HTTP status: 200, 201, 202, 404, 409, 413, 429, 503,
			 * JOB_STATUS_NOT_OWNER, or 504 if it is unknown whether
			 * a submission or cancellation became durable. 503, 429
			 * and JOB_STATUS_NOT_OWNER mean that this submission is
			 * not accepted and never will be.
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

/** The options are copied; free the result with job_free(). */
struct job *job_new(const struct job_options *options);
void job_free(struct job *job);

/** Appends struct job_effect to effects, to be carried out in this order. */
void job_reduce(struct job *job, const struct job_event *event,
		GArray *effects);

/** Returns an array for job_reduce() that frees its elements. */
GArray *job_effects_new(void);

/** Returns a job id: a hash of the key, or random if key is NULL. */
char *job_id_new(const char *idempotency_key, GRand *random);

/** Returns the shard of a job id, below JOB_SHARDS. */
unsigned job_shard(const char *job_id);

/**
 * Returns the term under which this entry owns the shard, or 0. A term is the
 * create revision of the stored claim; agents refuse orders of lower terms.
 */
guint64 job_shard_term(const struct job *job, unsigned shard);

/** Gauges of jobs and shards, and counters since the process started. */
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
	/** Measurements that updated interference coefficients. */
	guint64 interference_updates;
	/** Placements deferred only because of interference. */
	guint64 interference_deferrals;
	/** Deferred jobs placed in spite of interference. */
	guint64 interference_overrides;
	/** Attempts that agents evicted because of interference. */
	guint64 interference_evicted;
	guint64 promises_asked;
	guint64 promises_given;
	guint64 promises_refused[JOB_PROMISE_REFUSALS];
	/** Grants given on the promises of all members. */
	guint64 promise_grants;
};

void job_stats(const struct job *job, struct job_stats *stats);

/** Returns the name of an Rp__PromiseRefusal, as counters show it. */
const char *job_promise_refusal_name(unsigned refusal);

/** Appends a JSON object: the members, and whether promises are in use. */
void job_promise_status_json(const struct job *job, GString *out);

/** Appends a JSON array of the queued jobs and why each one waits. */
void job_status_json(const struct job *job, GString *out);

/** Appends a JSON array of the VMs that get no new tasks, and why. */
void job_blocked_vms_json(const struct job *job, GString *out);

/** Appends a JSON array of the learned interference coefficients. */
void job_interference_status_json(const struct job *job, GString *out);

#endif
