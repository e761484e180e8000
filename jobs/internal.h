#ifndef JOBS_INTERNAL_H
#define JOBS_INTERNAL_H

#include "jobs.h"

/*
 * Words used here: an attempt is one execution of a job. A claim is the stored
 * key that says which entry owns a shard; its create revision is the shard's
 * term. The store is the key-value store, "the platform" in log messages.
 * Times named _at, _until, _since, _before or _first_seen are boot-clock ms.
 */

/* Most bytes of values in a transaction; the store takes about 1.5 MB. */
#define JOB_TXN_BYTES (1024 * 1024)
/* Payloads of queued jobs kept in memory, in bytes; others are read again. */
#define JOB_PAYLOAD_CACHE_BYTES (16 * 1024 * 1024)
/* Delay after a failed call to the store. */
#define JOB_KV_RETRY_MS 500
/*
 * A call whose write is not acknowledged in this time is answered 504, or 503
 * if a submission was never sent to the store.
 */
#define JOB_ANSWER_MAX_MS 5000
/* Interval of claim reads while this entry owns too many or too few shards. */
#define JOB_CLAIM_RETRY_MS 1000
/* A longer gap between events means that this process was suspended. */
#define JOB_PAUSE_MS 2000

struct resources {
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 accelerators;
};

/*
 * Types of struct pair, the first byte of its key. A victim is a service or a
 * kind of job that is slowed by jobs of a kind on its VM.
 */
#define VICTIM_SERVICE 's'
#define VICTIM_KIND 'k'
/* Mean coefficient of a service over the batch work on all VMs. */
#define VICTIM_MEAN 'm'
/* Mean answer rate of a service per VM, in answers per minute. */
#define VICTIM_RATE 'r'

struct job_intf {
	/* Nothing is learned, and all costs are 0. */
	gboolean ignore;
	/* Type, victim and kind to struct pair; owned. */
	GHashTable *pairs;
	/* Kind to struct kind; owned. */
	GHashTable *kinds;
	/* Reports received; chooses the VM to compare with next. */
	guint report_count;
};

/* CPU load of a kind of job on a VM, as a fraction of the VM's CPUs. */
struct vm_kind {
	char *kind;
	double load;
	double smoothed_load;
	/* Tasks of the kind that the agent throttles. */
	unsigned throttled;
};

/* A service on a VM, as last reported. */
struct vm_service {
	char *pool;
	gint64 measured_at;
	/*
	 * Slowdown, that is latency over baseline latency minus 1: predicted
	 * with the jobs placed so far, and allowed by the latency limit.
	 */
	double expected_slowdown;
	double allowed_slowdown;
	/* Answer rate relative to its mean over VMs. */
	double relative_rate;
};

/* Predicted interference if a job is placed on a VM. */
struct intf_cost {
	/* Highest expected over allowed slowdown of the VM's services. */
	double worst_ratio;
	/* Sum of the slowdowns that the job adds to the services. */
	double added_slowdown;
	/*
	 * Sum over the services of the coefficient of the job's kind minus the
	 * mean coefficient of all batch work, relative to the allowed slowdown.
	 * Without the mean, all kinds would prefer VMs with insensitive
	 * services, which the kinds that slow other services need.
	 */
	double excess_coefficient;
	/* Fraction of their work that the job and its neighbours lose. */
	double batch_loss;
};

enum shard_state {
	/* Not owned by this entry. */
	SHARD_FREE,
	/* Owned; its records are being read. */
	SHARD_LOADING,
	SHARD_READY,
};

struct shard {
	enum shard_state state;
	/* Create revision of the claim; 0 if this entry does not own it. */
	guint64 term;
	/* Id of the call that reads the records, or 0. */
	guint64 load_call;
	gint64 load_at;
	/* Job id to struct job_item; owned. */
	GHashTable *items;
};

/* Purpose of a call to the store. */
enum call_kind {
	/* Read of all claims. */
	CALL_CLAIMS,
	/* Transaction that claims and releases shards. */
	CALL_CLAIM,
	/* Read of the records of a shard. */
	CALL_LOAD,
	/* Transaction that writes records. */
	CALL_COMMIT,
	/* Read of a record to learn the outcome of a commit. */
	CALL_OUTCOME_CHECK,
	/* Read of all claims for the same purpose. */
	CALL_COMMIT_CLAIMS,
	/* Read of the fences. */
	CALL_FENCES,
	/* Transaction that writes fences. */
	CALL_FENCE,
	/* Read of the members. */
	CALL_MEMBERS,
	/* Transaction that writes or deletes member keys. */
	CALL_MEMBER,
	/* Transaction that deletes ended jobs. */
	CALL_RETENTION,
	/* Read of a payload. */
	CALL_PAYLOAD,
	/* Read of a result. */
	CALL_RESULT,
};

/* A call to the store without an answer yet; unused members are 0. */
struct store_call {
	enum call_kind kind;
	unsigned shard;
	guint64 term;
	unsigned attempt;
	/* Handle of the caller, or for CALL_LOAD the id of this call. */
	guint64 handle;
	char *job_id;
	/* Highest revision of any answer when the call was sent. */
	gint64 seen_revision;
	gint64 sent_at;
	/* A range reads the keys changed at this revision or later; 0: all. */
	gint64 from_revision;
};

/* A caller that is answered once a change is durable. */
struct pending_call {
	guint64 handle;
	gint64 since;
};

/* A job of an owned shard, with up to three versions of its record. */
struct job_item {
	char *id;
	unsigned shard;
	/* Durable version; NULL until the first write is acknowledged. */
	struct Rp__JobRecord *record;
	gint64 mod_revision;
	/* Version in the transaction in flight, or NULL. */
	struct Rp__JobRecord *in_flight;
	/* Version for the next transaction, or NULL. */
	struct Rp__JobRecord *staged;
	/* NULL if it must be read from the store. */
	GBytes *payload;
	GBytes *result;
	/* Of struct pending_call. */
	GArray *pending_submits;
	GArray *pending_cancels;

	/* These follow the newest version; see job_item_changed(). */
	struct vm *vm;
	struct pool *pool;
	struct team *team;
	GSequenceIter *queued;
	struct resources need;
	/* Counted in job->active. */
	gboolean active;
	/* Zone and rack in which pool->zones and racks count the attempt. */
	char *zone;
	char *rack;

	/* Connection at placement; 0 if an earlier owner or term placed it. */
	guint64 placed_conn;
	/* TaskStart was sent. */
	gboolean sent;
	/* vm->lists_requested and agent boot id when TaskStart was sent. */
	guint64 sent_list_request;
	char *sent_agent_boot_id;
	gboolean reading_payload;
	/* Counted in vm->unreported. */
	gboolean unreported;
	/* When eviction of the attempt was last requested, or 0. */
	gint64 evict_at;
	/*
	 * Attempt that ended, and its VM; the agent is sent a TaskAck once the
	 * end is durable. 0 if there is none.
	 */
	unsigned ack_attempt;
	char *ack_vm;
	/* VM reserved for this job, or NULL. */
	struct vm *reserved;
	gint64 reserved_at;
	/* It is not placed before this time. */
	gint64 not_before;
	/* Since when no VM was found for it, or 0. */
	gint64 unplaced_since;
	/* Since when placement is deferred because of interference, or 0. */
	gint64 deferred_since;
	gint64 running_since;
	/* The attempt started from a checkpoint. */
	gboolean resumed;
	/* Why it waits, in memory only; NULL: the reason of the record. */
	const char *why;
};

struct team {
	char *name;
	/* Of struct job_item, in the order of submission. */
	GSequence *queue;
	/* Resources of its placed and running jobs in the pool. */
	struct resources used;
	/* Next job of the queue in this round of placement. */
	GSequenceIter *scan;
};

struct pool {
	char *name;
	/* Name to struct team. */
	GHashTable *teams;
	/* Job id to struct job_item that waits for new tables or VMs. */
	GHashTable *unschedulable;
	/* Connected VMs by free CPU; those with accelerators by free ones. */
	GSequence *by_cpu;
	GSequence *by_accelerators;
	GPtrArray *vms;
	/* Distinct VM capacities seen, of struct resources. */
	GArray *capacity_classes;
	struct resources used;
	/* Number of attempts in each zone and each rack. */
	GHashTable *zones;
	GHashTable *racks;
	/* The pool's one job with a reserved VM, or NULL. */
	struct job_item *reserving;
	/* Settings of the tables in force; NULL if they lack the pool. */
	const struct cfg_pool *cfg;
};

/* A connected VM's place in the orders of a pool. */
struct pool_membership {
	struct pool *pool;
	GSequenceIter *cpu_iter;
	GSequenceIter *accelerators_iter;
};

/* Progress of fencing a lost VM, in this order. */
enum fence_state {
	FENCE_NONE,
	/* The stored fences must be read first. */
	FENCE_READ,
	/* A read that covers the VM is in flight. */
	FENCE_READING,
	/* A fence must be written. */
	FENCE_WRITE,
	/* The write is in flight. */
	FENCE_SENT,
	/* Stored; grants of the fenced session end at fence_until. */
	FENCE_WAIT,
};

/* Stored fence of a VM: tasks of sessions up to it must not run. */
struct fence {
	/* As last read or written; both 0 if the store has none. */
	guint64 session;
	gint64 revision;
	/* Highest session ever fenced; a restored store may lack it. */
	guint64 highest_session;
};

struct vm {
	char *name;
	/* 0 without a responsive connection. */
	guint64 conn;
	/* Newest connection; it may be unresponsive or closed. */
	guint64 last_conn;
	/* Last frame, or the time when the connection was closed. */
	gint64 last_frame_at;
	/* Link in job->contact_order, and the time it was last moved. */
	GList contact_order;
	gint64 contact_at;
	/* When a liveness check was sent that is not answered yet, or 0. */
	gint64 liveness_check_at;
	char *agent_boot_id;
	char *worker_boot_id;
	char *zone;
	char *rack;
	/* Session of the agent; 0 before its first grant. */
	guint64 session;
	gboolean draining;
	struct resources capacity;
	/* Committed according to the agent's last report. */
	struct resources reported;
	/* Committed by attempts that no report includes yet. */
	struct resources unreported;
	/* When this agent process was first seen. */
	gint64 agent_first_seen;
	/*
	 * For each shard: ShardTerms sent, which request a TaskList each, and
	 * TaskLists received; both on last_conn and in list_request_term. A
	 * list is requested again at list_request_at, or not at all if 0.
	 */
	guint64 lists_requested[JOB_SHARDS];
	guint64 lists_received[JOB_SHARDS];
	guint64 list_request_term[JOB_SHARDS];
	gint64 list_request_at[JOB_SHARDS];
	/* Job id to struct job_item, for the attempts placed on the VM. */
	GHashTable *items;
	/* Names of the VM's pools; struct pool_membership while connected. */
	char **pools;
	GArray *pool_memberships;
	/* Free capacity at the last sort of the pools' orders. */
	struct resources sorted_free;

	enum fence_state fence_state;
	/* Fence as this entry knows it; never NULL. */
	struct fence *known_fence;
	/* Session to fence; its grants have ended at fence_until. */
	guint64 fence_target;
	gint64 fence_until;

	/* Jobs failed since the last success: job id to kind. */
	GHashTable *failed_jobs;
	/* Length of the last quarantine; 0 after a success. */
	gint64 quarantine_ms;
	gint64 quarantine_until;
	/* After a refused attempt, none is placed before this time. */
	gint64 refused_until;
	/* Job that the VM is reserved for, or NULL. */
	struct job_item *reserved;
	/* Of struct vm_kind and struct vm_service. */
	GArray *kinds;
	GArray *services;
	/* Number in the order of first contact; breaks ties when sorting. */
	guint32 order;
};

/* An agent's request for a grant that is not answered yet. */
struct grant_request {
	guint64 conn;
	guint64 sequence;
	char *vm;
};

/*
 * Stored key radishpier/member/<id>/<instance> of a member, an entry process
 * that may write fences. Id and create revision identify the member.
 */
struct member_key {
	char *key;
	char *id;
	gint64 create_revision;
	gint64 mod_revision;
	char *instance;
	char *boot_id;
	char *address;
	/* Id of the last PromiseRequest that it answered by a promise. */
	guint64 promised_id;
	/* Since when its process is presumed to have ended, or 0. */
	gint64 absent_since;
};

/* Connection to another entry. */
struct member_peer {
	/* 0 if it is not connected. */
	guint64 conn;
	/* Instance of the entry process in its last Members frame, or NULL. */
	char *instance;
	/* Create revision of this entry's key in a set that the peer sent. */
	gint64 confirmed_revision;
};

/*
 * The entries that may write fences. A new member must be confirmed by all
 * older ones before it fences, so that each member that gathers promises knows
 * every entry that could fence.
 */
struct members {
	/* Of this entry process. */
	char *instance;
	char *boot_id;
	char *address;
	/* Of struct member_key, sorted by id, as last read. */
	GPtrArray *set;
	/* Entry id to struct member_peer; never removed. */
	GHashTable *peers;
	/* The set was read and contains this entry. */
	gboolean known;
	/* Every older member has confirmed this one. */
	gboolean full;
	gboolean draining;
	/*
	 * A fence whose outcome is unknown may still be written. The key is
	 * rewritten, so that own_mod_revision, which the fence compares,
	 * changes.
	 */
	gboolean fence_outcome_unknown;
	/* The own key must be written. */
	gboolean create_wanted;
	/* Create and mod revision of the own key; 0 without one. */
	gint64 own_create_revision;
	gint64 own_mod_revision;
	/* When this entry first read its own key. */
	gint64 own_seen_at;
	/* Promises need fences read at this revision or a later one. */
	gint64 min_fences_revision;
	/* When the last successful read was sent. */
	gint64 read_ok_sent_at;
	/* Call in flight, or 0; reading: it is a read. */
	guint64 call;
	gboolean reading;
	/* The read in flight started before a restore of the store. */
	gboolean stale_read;
	gboolean read_wanted;
	/* When the last read was sent. */
	gint64 read_sent_at;
	/* No call is made before this time. */
	gint64 retry_at;
	/* Next scan for members to remove. */
	gint64 scan_at;
};

/* Whether grants depend on promises, as the status shows it. */
enum promise_state {
	/* The store answers. */
	PROMISE_IDLE,
	/* Grants are given on promises. */
	PROMISE_USED,
	/* A promise is missing, so no grants are given. */
	PROMISE_NOT_GIVEN,
};

/*
 * A promise is a member's statement that it writes no fence for
 * JOB_FENCE_WAIT_MS. With one from every member, grants are safe while the
 * store cannot be read: no fence can exist that this entry does not know. The
 * struct holds this entry's own promise and its request to the other members.
 */
struct promises {
	/* This entry has promised to send no fence before this time. */
	gint64 no_fences_until;
	/* Last request to the members, and the replies still missing. */
	guint64 request_id;
	guint replies_pending;
	/* Grant requests received before that request; it is made for these. */
	GArray *grant_requests;
	gint64 next_request_at;
	enum promise_state state;
};

enum commit_state {
	COMMIT_IDLE,
	COMMIT_SENT,
	/* It conflicted or its outcome is unknown: a record must be read. */
	COMMIT_READ_RECORD,
	/* The record was read; the claims must be read after it. */
	COMMIT_READ_CLAIMS,
};

struct job {
	char *entry_id;
	GRand *random;
	gboolean first_fit;
	gboolean no_quarantine;
	unsigned max_active;
	struct job_intf *intf;
	/* No job is placed in spite of interference before this time. */
	gint64 next_override_at;
	/* Times of the newest event; boot clock and wall clock, in ms. */
	gint64 now;
	gint64 unix_ms;
	/* Effects of the event being reduced; borrowed. */
	GArray *fx;
	const struct cfg_tables *tables;
	/* Evacuated zones; NULL if none were reported. */
	const struct evac *evacuations;
	/* The evacuated zones are not known yet. */
	gboolean evacuations_unread;

	/* Lease in the store, or 0. */
	gint64 lease;
	/* Ids of the registered entries, sorted. */
	GPtrArray *entries;
	struct shard shards[JOB_SHARDS];
	gboolean claims_wanted;
	guint64 claims_call;
	/* Next periodic read of the claims, and earliest one on demand. */
	gint64 claims_poll_at;
	gint64 claims_not_before;
	gint64 claims_revision;

	/* Call id to struct store_call. */
	GHashTable *calls;
	guint64 last_call;
	/* Highest revision in the store's answers since a restore. */
	gint64 revision_seen;
	/* Submissions are refused until this time, after a failed call. */
	gint64 kv_down_until;

	/* Items with a staged version, and those in the transaction. */
	GQueue *staged;
	gint64 staged_since;
	GPtrArray *in_flight;
	enum commit_state commit_state;
	/* Call in flight in this state, or 0. */
	guint64 commit_call;
	gint64 commit_not_before;
	/* The transaction may have taken effect, or may still do so. */
	gboolean outcome_unknown;
	gboolean conflicted;
	/* A claim that it compares is lost, so it can no longer take effect. */
	gboolean claim_lost;
	gboolean claim_lost_before_check;
	/* Item whose record shows the outcome, and its revision when read. */
	struct job_item *checked_item;
	gint64 checked_revision;
	/* Bytes of all payloads in memory. */
	gsize payload_bytes;
	/* Jobs that have not ended. */
	unsigned active;

	/* Name to struct vm; owned. */
	GHashTable *vms;
	/* Of struct vm, by contact_at; the oldest contact is first. */
	GQueue contact_order;
	/*
	 * Name to struct vm, for the VMs that the periodic scan visits: those
	 * that are disconnected, draining or unresponsive, are being fenced, or
	 * have a list to request. No other event scans all VMs.
	 */
	GHashTable *watched;
	/* Connection to struct vm. */
	GHashTable *conns;
	/* Name to struct pool; owned. */
	GHashTable *pools;
	/* Next value of vm.order. */
	guint32 next_vm_order;
	gint64 vm_scan_at;
	gint64 place_at;

	/* Grant requests for the next read, and for the read in flight. */
	GArray *grant_requests_waiting;
	GArray *grant_requests_reading;
	/* VM name to struct fence; never removed. */
	GHashTable *fences;
	/* fences holds all changes up to this revision; 0: read all. */
	gint64 fences_revision;
	/* Read of the fences in flight, or 0, and earliest next one. */
	guint64 fences_read_call;
	gint64 fences_read_not_before;
	/* Write of fences in flight, or 0, and earliest next one. */
	guint64 fence_write_call;
	gint64 fence_write_not_before;
	gint64 fence_scan_at;
	/* Some VM may be in FENCE_WRITE. */
	gboolean fences_to_write;
	/* Some VM may not be in FENCE_NONE. */
	gboolean fencing;
	/* The fences must be read, though no request or VM waits for it. */
	gboolean fences_wanted;

	struct members members;
	struct promises promises;
	/*
	 * Since no call to the store succeeded: when the first read that failed
	 * was sent. 0 if the store answers.
	 */
	gint64 reads_failing_since;

	gint64 retention_ms;
	/* Of struct expired: the jobs of the next or current deletion. */
	GArray *expired;
	unsigned expired_shard;
	guint64 expired_term;
	guint64 retention_call;
	gint64 retention_at;
	/* The deletion may have taken effect. */
	gboolean retention_outcome_unknown;

	/* Kind to the names of up to two VMs where it succeeded. */
	GHashTable *succeeded_on;
	struct job_stats stats;
};

/* record.c */
struct Rp__JobRecord *job_record_copy(const struct Rp__JobRecord *record);
GBytes *job_record_pack(const struct Rp__JobRecord *record);
void job_record_free(struct Rp__JobRecord *record);
gboolean job_record_ended(const struct Rp__JobRecord *record);
gboolean job_record_placed(const struct Rp__JobRecord *record);
void job_record_add_failed_vm(struct Rp__JobRecord *record, const char *vm);
gboolean job_record_failed_on(const struct Rp__JobRecord *record,
			      const char *vm);
void job_record_json(const struct job_item *item,
		     const struct Rp__JobRecord *record, GString *out);
const char *job_record_state_name(Rp__JobState state);
char *job_record_key(unsigned shard, const char *id);
guint64 job_spec_digest(const struct job_spec *spec);

/* jobs.c; these append an effect, and return or set the id of the call. */
void job_fx_send(struct job *job, guint64 conn, struct Rp__Frame *frame);
guint64 job_fx_txn(struct job *job, enum call_kind kind, struct kv_txn *txn);
struct store_call *job_fx_range(struct job *job, enum call_kind kind,
				const char *prefix, gboolean exact, gint64 from,
				guint64 *id);
void job_fx_answer(struct job *job, guint64 handle, unsigned status,
		   GBytes *body);
void job_fx_answer_text(struct job *job, guint64 handle, unsigned status,
			const char *text);
void job_fx_log(struct job *job, GLogLevelFlags level, const char *job_id,
		const char *format, ...) G_GNUC_PRINTF(4, 5);

/* item.c */
struct job_item *job_item_new(struct job *job, const char *id);
void job_item_free(gpointer data);
struct job_item *job_item_find(const struct job *job, const char *id);
/* Returns the newest version of the record. */
const struct Rp__JobRecord *job_item_newest(const struct job_item *item);
/* Returns a staged record to change; call job_item_changed() afterwards. */
struct Rp__JobRecord *job_item_change(struct job *job, struct job_item *item);
/* Updates the VM, pool and queue of the item to its newest version. */
void job_item_changed(struct job *job, struct job_item *item);
/* Removes the item from its VM, pool and queue. */
void job_item_unlink(struct job *job, struct job_item *item);
/* Queues the next attempt; only if this one does not run and never will. */
void job_item_requeue(struct job *job, struct job_item *item, const char *why,
		      const char *checkpoint);
void job_item_finish(struct job *job, struct job_item *item, Rp__JobState state,
		     const char *why);
/* Sends the answers, acks and starts that waited for the durable version. */
void job_item_durable(struct job *job, struct job_item *item);
void job_item_drop_payload(struct job *job, struct job_item *item);
void job_item_send_start(struct job *job, struct job_item *item);
void job_item_send_control(struct job *job, struct job_item *item,
			   Rp__TaskAction action);
void job_item_payload_read(struct job *job, const struct store_call *call,
			   const struct job_event *ev);

/* call.c: calls about jobs, each answered by JOB_FX_ANSWER */
void job_call_submit(struct job *job, const struct job_event *ev);
void job_call_get(struct job *job, const struct job_event *ev);
void job_call_result(struct job *job, const struct job_event *ev);
void job_call_result_read(struct job *job, const struct store_call *call,
			  const struct job_event *ev);
void job_call_cancel(struct job *job, const struct job_event *ev);
void job_call_tick(struct job *job);

/* shard.c */
void job_shard_lease(struct job *job, gint64 lease);
void job_shard_entries(struct job *job, const char *const *ids, size_t n);
void job_shard_tick(struct job *job);
void job_shard_claims_read(struct job *job, const struct job_event *ev);
void job_shard_claim_written(struct job *job, const struct job_event *ev);
void job_shard_loaded(struct job *job, const struct store_call *call,
		      const struct job_event *ev);
/* Drops the shards whose claim is lost according to the claims read. */
void job_shard_apply_claims(struct job *job, const GPtrArray *pairs);
/* Drops the records and reads them again under the same claim. */
void job_shard_reload(struct job *job, unsigned shard);
char *job_shard_key(unsigned shard);

/* commit.c */
void job_commit_tick(struct job *job);
void job_commit_done(struct job *job, const struct job_event *ev);
void job_commit_record_read(struct job *job, const struct job_event *ev);
void job_commit_claims_read(struct job *job, const struct job_event *ev);
/* Removes the item of a dropped shard from the staged and sent records. */
void job_commit_drop_item(struct job *job, struct job_item *item);

/* retention.c */

/* A job to delete from the store, as of a revision of its record. */
struct expired {
	char *id;
	gint64 mod_revision;
};
void job_expired_clear(gpointer data);
void job_retention_tick(struct job *job);
void job_retention_done(struct job *job, const struct job_event *ev);

/* vm.c */
struct vm *job_vm_get(struct job *job, const char *name);
void job_vm_free(gpointer data);
void job_vm_frame(struct job *job, guint64 conn, const struct Rp__Frame *frame);
void job_vm_closed(struct job *job, guint64 conn);
/* Has the next scan visit the VM. */
void job_vm_watch(struct job *job, struct vm *vm);
void job_vm_tick(struct job *job);
/* Sends the shard's term, which the agent answers with a TaskList. */
void job_vm_request_list(struct job *job, struct vm *vm, unsigned shard);
void job_vm_shard_ready(struct job *job, unsigned shard);
/* Every list of the shard that was requested on the connection arrived. */
gboolean job_vm_list_received(const struct job *job, const struct vm *vm,
			      unsigned shard);
/* No attempt may be placed on the VM, which is in an evacuated zone. */
gboolean job_vm_evacuated(const struct job *job, const struct vm *vm);
/* Takes back what was placed on evacuated VMs and not sent. */
void job_vm_evacuations_changed(struct job *job);
/* A job failed or succeeded on the VM: start or end its quarantine. */
void job_vm_failed(struct job *job, struct vm *vm, const struct job_item *item);
void job_vm_succeeded(struct job *job, struct vm *vm,
		      const struct job_item *item);

/* attempt.c */
void job_attempt_event(struct job *job, struct vm *vm,
		       const struct Rp__Task *task);
void job_attempt_list(struct job *job, struct vm *vm,
		      const struct Rp__TaskList *list);
/* The attempt's TaskStart was never sent and never will be. */
gboolean job_attempt_unsent(const struct job_item *item);

/* fence.c */
void job_fence_grant_requested(struct job *job, struct vm *vm,
			       const struct Rp__GrantRequest *request);
/* Starts to fence the VM if it has been disconnected for JOB_VM_LOST_MS. */
void job_fence_check_lost(struct job *job, struct vm *vm);
/* Returns the VM's fence as this entry knows it; never NULL. */
struct fence *job_fence_get(struct job *job, const char *vm);
/* The store went back to the revision, as after a restore from a backup. */
void job_fence_store_restored(struct job *job, gint64 revision);
void job_fence_tick(struct job *job);
void job_fence_read(struct job *job, const struct store_call *call,
		    const struct job_event *ev);
void job_fence_written(struct job *job, const struct job_event *ev);
void job_grant_request_clear(gpointer data);
/* Answers the request by a grant with the VM's highest fenced session. */
void job_fence_send_grant(struct job *job, const struct grant_request *request);
/* Takes over a fence from the reply of another member. */
void job_fence_received(struct job *job, const struct Rp__Fence *reported);

/* member.c: the entries that may write fences */
void job_member_init(struct job *job, const struct job_options *options);
void job_member_free(struct job *job);
/* The connection to the entry was opened, or closed if conn is 0. */
void job_member_peer(struct job *job, const char *id, guint64 conn);
void job_members_received(struct job *job, const char *id,
			  const struct Rp__Members *received);
void job_member_read(struct job *job, const struct job_event *ev);
void job_member_written(struct job *job, const struct job_event *ev);
void job_member_store_restored(struct job *job);
void job_member_drain(struct job *job);
void job_member_tick(struct job *job);
gboolean job_member_may_fence(const struct job *job);
/* Adds the comparison that this entry's own key is unchanged since its read. */
void job_member_add_compare(const struct job *job, struct kv_txn *txn);
/* The outcome of a transaction with that comparison is unknown. */
void job_member_fence_outcome_unknown(struct job *job);
gboolean job_member_is_own(const struct job *job, const struct member_key *key);
/* Returns the connection to the member's process, or 0. */
guint64 job_member_conn(const struct job *job, const struct member_key *key);
/* Returns a new array of the members, sorted by id. */
struct Rp__Member **job_members_to_wire(const struct job *job, size_t *n);
gboolean job_members_equal(const struct job *job,
			   struct Rp__Member *const *members, size_t n);

/* promise.c: grants while the store cannot be read */
void job_promise_init(struct job *job);
void job_promise_free(struct job *job);
/* Drops the request to the members: later replies to it are ignored. */
void job_promise_end_request(struct job *job);
void job_promise_requested(struct job *job, guint64 conn,
			   const struct Rp__PromiseRequest *request);
void job_promise_reply_received(struct job *job, guint64 conn,
				const struct Rp__PromiseReply *reply);
void job_promise_tick(struct job *job);

/* pool.c */
struct pool *job_pool_get(struct job *job, const char *name);
void job_pool_free(gpointer data);
void job_pool_enqueue(struct job *job, struct job_item *item);
void job_pool_dequeue(struct job_item *item);
/*
 * Adds the item (sign 1) to the resources and attempts of its pool and team, or
 * removes it (-1), then also from the resources committed on its VM.
 */
void job_pool_charge(struct job *job, struct job_item *item, int sign);
/* Takes the item out of the queue until tables or VMs change. */
void job_pool_set_unschedulable(struct job_item *item);
void job_pool_unreserve(struct job_item *item);
/* Queues the unschedulable items again. */
void job_pool_retry_unschedulable(struct job *job, struct pool *pool);
void job_pool_vm_join(struct job *job, struct vm *vm);
void job_pool_vm_leave(struct vm *vm);
/* Restores the order after the VM's free capacity changed. */
void job_pool_vm_resort(struct vm *vm);
struct resources job_vm_free_resources(const struct vm *vm);
gboolean job_resources_fit(struct resources need, struct resources free);
struct resources job_resources_from_wire(const struct Rp__Resources *resources);
void job_resources_add(struct resources *to, struct resources add, int sign);

/* interference.c */
struct job_intf *job_intf_new(gboolean ignore);
void job_intf_free(struct job_intf *intf);
void job_intf_vm_init(struct vm *vm);
void job_intf_vm_clear(struct vm *vm);
void job_intf_report(struct job *job, struct vm *vm,
		     const struct Rp__Report *report);
/* Learns the memory and CPU that tasks of the kind use; used may be NULL. */
void job_intf_learn_usage(struct job *job, const char *name,
			  const struct Rp__Resources *used);
/* Learns how kinds slow each other from the run time of a finished job. */
void job_intf_learn_run_time(struct job *job, const struct vm *vm,
			     const struct job_item *item);
/* Larger of the declared resources and the measured usage of the kind. */
struct resources job_intf_need(const struct job *job,
			       const struct job_item *item,
			       const struct vm *vm);
void job_intf_cost(const struct job *job, const struct job_item *item,
		   const struct vm *vm, struct intf_cost *cost);
/* Adds the predicted slowdown of the job to the services of the VM. */
void job_intf_add_placed(struct job *job, const struct job_item *item,
			 struct vm *vm);

/* place.c */
void job_place_tick(struct job *job);

#endif
