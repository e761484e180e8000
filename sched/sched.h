#ifndef SCHED_H
#define SCHED_H

#include <glib.h>
#include <string.h>

#include "../kv/kv.h"
#include "../wire/wire.h"

/*
 * Decisions of the leader on jobs of steps: a reducer without input or output.
 * Time is the boot clock in ms; unix_ms of an event is the time of day, which
 * only scheduled occurrences and retention use.
 *
 * A job has steps, which may depend on each other, and each step has replicas,
 * its tasks; a job may recur (occurrences). A run is one execution of a task.
 *
 * At most one entry leads. A start is ordered only after the record that names
 * its VM is durable, and only the elected leader can write records, so a new
 * leader finds every run that may exist in the records.
 *
 * The leader speaks to each agent in sessions. The fencing token of a session
 * is the revision at which the leader was elected or has last written, so it is
 * higher than those of all earlier sessions of the VM, also of earlier leaders,
 * and lower than those of later leaders. A worker refuses calls with a lower
 * token than the highest that it has seen. A session starts with each
 * connection, with each incarnation of the worker, and when runs are given up
 * whose orders may still wait in the agent or at the worker; it grants no lease
 * and starts nothing before the worker has answered under its token. So no
 * order of an earlier session takes effect under a lease of a later one.
 */

/** Prefixes of keys in the key-value store; the job's id follows. */
#define SCH_JOB_PREFIX "radishpier/step-job/"
#define SCH_PROGRESS_PREFIX "radishpier/step-progress/"

/** Key of the record of the interference table. */
#define SCH_INTERFERENCE_KEY "radishpier/step-interference"

/** Queue of jobs, from a route of the configuration tables. */
struct sch_queue {
	char *name;
	/** A call belongs to the queue of its host with the longest prefix. */
	char *host;
	char *path_prefix;
	/** Pool of workers that runs the queue's tasks. */
	char *pool;
	/** 0 is the most urgent. */
	guint32 priority;
	/** Failed runs after which a task fails its job; stopped and lost runs
	 * do not count. */
	guint32 max_attempts;
	/**
	 * Objective for a job's duration: slack_factor times its critical path
	 * plus objective_base_ms.
	 */
	double slack_factor;
	gint64 objective_base_ms;
};

struct sch_queue *sch_queue_new(void);
void sch_queue_free(struct sch_queue *queue);

struct sch_options {
	/** The revision at which this process was elected; see above. */
	guint64 fencing_token;
	/** When the request to the store that confirmed the election was sent.
	 */
	gint64 confirmed_ms;
	/** A worker's lease ends this long after the last clock reading. */
	gint64 lease_ms;
	/** Leases are extended for this long after a confirmation. */
	gint64 leadership_valid_ms;
	/** Maximum number of operations in a transaction, without its
	 * comparisons. */
	guint max_ops;
	/** A job's state is kept for this duration after its end. */
	gint64 retention_ms;
	/** An evacuation is in force this long after the store has acknowledged
	 * it; 0 if zones cannot be evacuated. */
	gint64 evacuation_ms;
	/** Zones that may be lost at once; above 0, tasks of a long-running
	 * step and runs of a speculative task are spread over zones. */
	guint lost_zones;
	/** Of the random part of Retry-After. */
	guint32 seed;
	/** While accepted jobs wait, no job is accepted beyond this number of
	 * jobs that have not ended; 0 for no bound. */
	guint max_jobs;
	/** No job is accepted beyond this memory of accepted ones, and stored
	 * jobs beyond it are kept in the store only; 0 for no bound. */
	guint64 max_job_bytes;
};

/** A zone that is out of service. */
struct sch_evacuation {
	const char *zone;
	/** Of the key-value store, at which it was written. */
	gint64 revision;
};

enum sch_event_kind {
	SCH_EVENT_TICK,
	/** Confirmed by a request to the store that was sent at confirmed_ms.
	 */
	SCH_EVENT_LEADERSHIP_CONFIRMED,
	/** queues is the complete list; the reducer takes ownership. */
	SCH_EVENT_TABLES,
	/** No change of the tables before confirmed_ms is missing. */
	SCH_EVENT_TABLES_CONFIRMED,
	/** evacuations is the complete set, and no change of it before
	 * confirmed_ms is missing. */
	SCH_EVENT_EVACUATIONS,
	/** call is owned by the I/O layer; the reply names call_ref. */
	SCH_EVENT_CALL,
	/** A connection to the agent of vm was made. */
	SCH_EVENT_AGENT_CONNECTED,
	SCH_EVENT_AGENT_DISCONNECTED,
	/** report is owned by the I/O layer. */
	SCH_EVENT_REPORT,
	/** The transaction in flight took effect at revision. */
	SCH_EVENT_COMMITTED,
	/** The records of job_id were read; progress_record is NULL if there is
	 * none. */
	SCH_EVENT_JOB_READ,
	/** Another process was elected; all pending calls are answered. */
	SCH_EVENT_DEPOSED,
};

struct sch_event {
	enum sch_event_kind kind;
	gint64 now_ms;
	gint64 unix_ms;
	gint64 confirmed_ms;
	/** Of the key-value store. */
	guint64 revision;
	/** Of struct sch_queue pointers. */
	GPtrArray *queues;
	/** Owned by the I/O layer. */
	const struct sch_evacuation *evacuations;
	size_t n_evacuations;
	guint64 call_ref;
	const struct Rp__StepCall *call;
	const char *vm;
	const struct Rp__VmReport *report;
	const char *job_id;
	GBytes *job_record;
	GBytes *progress_record;
};

enum sch_effect_kind {
	/** Answers call_ref with reply. */
	SCH_EFFECT_REPLY,
	/** Starts a session with the agent of vm under fencing_token. */
	SCH_EFFECT_SESSION,
	/** Sends frame to the agent of vm. */
	SCH_EFFECT_ORDERS,
	/** Writes txn on condition that this process is still the leader. */
	SCH_EFFECT_COMMIT,
	/** Reads the records of job_id; SCH_EVENT_JOB_READ follows. */
	SCH_EFFECT_READ_JOB,
};

/** Owned by the I/O layer; see sch_effect_clear(). */
struct sch_effect {
	enum sch_effect_kind kind;
	guint64 call_ref;
	struct Rp__StepReply reply;
	char *vm;
	guint64 fencing_token;
	struct Rp__Frame *frame;
	struct kv_txn *txn;
	char *job_id;
};

struct sch;

struct sch *sch_new(const struct sch_options *options, gint64 now_ms);
void sch_free(struct sch *s);

/**
 * Adds a stored job or a job's stored progress, before the first event. Returns
 * -1 if the value is not a valid record.
 */
int sch_load_job(struct sch *s, const char *id, const void *data, size_t len);
int sch_load_progress(struct sch *s, const char *id, const void *data,
		      size_t len, gint64 unix_ms);
/** Returns the id of a job that has to be read again before the first event,
 * since it did not fit into memory but has recorded runs; NULL if there is
 * none. */
const char *sch_parked_with_runs(const struct sch *s);
/** As both of the above, for such a job; progress may be NULL. */
int sch_load_parked(struct sch *s, const char *id, GBytes *job,
		    GBytes *progress, gint64 unix_ms);
/** As sch_load_job(), for the value of SCH_INTERFERENCE_KEY. */
int sch_load_interference(struct sch *s, const void *data, size_t len);

/** Appends struct sch_effect to effects, in the order to be carried out. */
void sch_reduce(struct sch *s, const struct sch_event *ev, GArray *effects);

/** Frees what the effect owns. */
void sch_effect_clear(struct sch_effect *effect);

/* retry_after.c: when a caller should repeat a call that could not be accepted.
 */

/** Earlier outages that are remembered. */
#define SCH_EARLIER_OUTAGES 4

/** A time in which no call can be accepted, and those before it. Times are boot
 * clock in ms. */
struct sch_outage {
	/** Since when no call can be accepted; 0 while calls can be. */
	gint64 since_ms;
	/** The store has not responded since then, or not for all of it. */
	gboolean store_silent;
	/** When the store responded again; 0 if it did not. */
	gint64 responds_since_ms;
	/** How long earlier outages lasted, and how many there were. */
	gint64 earlier_ms[SCH_EARLIER_OUTAGES];
	guint n_earlier;
	GRand *rand;
};

void sch_outage_init(struct sch_outage *outage, guint32 seed);
void sch_outage_clear(struct sch_outage *outage);
/** No call can be accepted since since_ms; without effect on the time of an
 * outage that has begun. */
void sch_outage_begin(struct sch_outage *outage, gint64 since_ms,
		      gboolean store_responds);
/** The store responds; calls may not be accepted yet. */
void sch_outage_store_responds(struct sch_outage *outage, gint64 now_ms);
/** Calls can be accepted. */
void sch_outage_end(struct sch_outage *outage, gint64 now_ms);
/** Returns the Retry-After of a call refused now, at least 1. */
guint sch_outage_retry_after_s(struct sch_outage *outage, gint64 now_ms);

/** Upper bounds of the histograms' buckets, ms; the last bucket has none. */
#define SCH_BUCKETS 8
extern const gint64 sch_bucket_bounds_ms[SCH_BUCKETS - 1];

/** Priorities that are counted separately; lower ones with the last. */
#define SCH_PRIORITIES 4

/** First starts of jobs of one priority. */
struct sch_first_starts {
	guint64 count;
	/** Sum of the times from submission to the first start. */
	guint64 queue_ms;
	/** Jobs whose critical path was too long for the objective by then. */
	guint64 late;
};

/** Values for metrics. */
struct sch_stats {
	/** Histograms of the time from submission to the first start, and to
	 * the end of jobs that are done. */
	guint64 submit_to_start[SCH_BUCKETS];
	guint64 submit_to_done[SCH_BUCKETS];
	struct sch_first_starts first_starts[SCH_PRIORITIES];
	guint jobs_waiting;
	guint jobs_running;
	guint jobs_ended;
	/** Of the first two, jobs that are kept in the store only. */
	guint jobs_parked;
	guint runs;
	guint vms;
	guint vms_usable;
	guint64 starts;
	guint64 lost_runs;
	/** Listed runs of workers that no record names. */
	guint64 unknown_runs;
	guint64 preempted;
	guint64 speculative_runs;
	guint64 rescheduled;
	/** Of these, best-effort tasks that were moved to meet an objective. */
	guint64 stragglers;
	/** Jobs refused for the bounds in struct sch_options. */
	guint64 refused_jobs;
	guint64 refused_bytes;
	guint64 commits;
	guint zones_evacuated;
	/** Starts that were planned or ordered in a zone and were withdrawn
	 * because of its evacuation. */
	guint64 starts_withdrawn;
	/** Steps that had to wait since their tasks fit only in evacuated
	 * zones. */
	guint64 steps_awaiting_zone;
};

void sch_get_stats(const struct sch *s, struct sch_stats *stats);

/** Values for metrics of a zone. */
struct sch_zone_stats {
	/** CPUs that no run reserves on the zone's connected VMs. */
	gint64 free_cpu_milli;
	guint runs;
	gboolean evacuated;
};

/** Calls fn for each zone that has VMs. */
void sch_foreach_zone(const struct sch *s,
		      void (*fn)(void *ctx, const char *zone,
				 const struct sch_zone_stats *stats),
		      void *ctx);

#endif
