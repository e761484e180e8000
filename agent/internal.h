#ifndef AGENT_INTERNAL_H
#define AGENT_INTERNAL_H

#include "../evac/evac.h"
#include "agent.h"

/* Private to the sources and tests of agent/. */

/** Maximum time between two reports to the entries. */
#define HEARTBEAT_MS 2000

/** Minimum time between two reports that are not urgent. */
#define REPORT_INTERVAL_MS 1000

/** Interval at which the worker's tasks and their usage are listed. */
#define LIST_INTERVAL_MS 500

/**
 * Maximum time after the first dial to an entry in which no request is
 * admitted. It ends early once each known entry has reported, in its Welcome,
 * the requests that earlier agent processes may have left running, or its
 * connection has failed. A Welcome takes a few milliseconds; an entry whose VM
 * is lost sends none.
 */
#define ENTRIES_WAIT_MS 1000

/** An entry, by one of its addresses. */
struct peer {
	char *address;
	/** From the settings; other addresses are removed if unreachable. */
	gboolean configured;
	/** Connection id; 0 if neither dialled nor connected. */
	guint64 conn;
	gboolean connected;
	/** The entry's Welcome was received on this connection. */
	gboolean welcomed;
	/** A dial to it has ended at least once, with or without a Welcome. */
	gboolean dial_finished;
	char *entry_id;
	/** Address of another connection to the same entry, or NULL. */
	char *alias_of;
	/** Time of the dial, or of the connection once it is open. */
	gint64 conn_started_ms;
	gint64 next_dial_ms;
	unsigned backoff_ms;
	/** Last time that it was connected or named by an entry. */
	gint64 last_seen_ms;
	/** Highest generation of the tables sent on this connection. */
	guint64 tables_sent;
	/** Highest generation of the evacuations sent on this connection. */
	guint64 evacuations_sent;
	/** Pool name to the slots of all VMs, as reported by this entry. */
	GHashTable *fleet_slots;
};

/** Maximum number of answers from which a tail latency is computed. */
#define LATENCY_SAMPLES 256

/** Latency of one answer of the upstream. */
struct sample {
	gint64 at_ms;
	guint32 latency_ms;
};

/** A request pool that the upstream of the VM serves. */
struct pool {
	char *name;
	/** Position in Hello. */
	unsigned index;
	/** Requests that use a slot, those of earlier processes included. */
	unsigned in_flight;
	/** Moving average of the latency. */
	unsigned latency_us;
	/** Slots of this VM that are guaranteed to the pool. */
	unsigned guaranteed_slots;
	/** Ring buffer; n_samples counts all samples ever stored. */
	struct sample samples[LATENCY_SAMPLES];
	guint64 n_samples;
	/** 95th percentile in the last evaluation; 0 if too few answers. */
	unsigned tail_us;
	/** tail_us less one standard error of its rank. */
	unsigned tail_lower_bound_us;
	/** 95th percentile without interference by batch tasks (`quiet_us`). */
	unsigned baseline_us;
	/** Latency above which batch tasks are throttled; 0 for no limit. */
	unsigned limit_us;
	/** Answers since the last evaluation. */
	unsigned new_answers;
	/** Moving average of the answer rate. */
	double answers_per_min;
};

/** State of the interference controller; see interference.c. */
struct agt_intf {
	enum agt_interference mode;
	unsigned evictions_per_minute;
	gint64 next_evaluation_ms;
	gint64 next_action_ms;
	/** Earlier answers are left out: the last action did not affect them.
	 */
	gint64 evaluate_from_ms;
	/** Consecutive evaluations with a pool above its limit. */
	unsigned evaluations_over_limit;
	/**
	 * Since when all pools are low enough to restore CPU shares, or when
	 * the last restoring step was due; 0 if they are not.
	 */
	gint64 below_margin_since_ms;
	/** Last restoring step; 0 if none was made or it was wrong. */
	gint64 last_restore_ms;
	/** Time with low latencies that the next restoring step requires. */
	gint64 restore_delay_ms;
	/**
	 * Since when a pool is above its limit with all tasks at the minimum
	 * CPU share, or 0.
	 */
	gint64 all_at_min_since_ms;
	/** Kind throttled last, until the effect is evaluated; else NULL. */
	char *last_throttled_kind;
	/** Tail latency before that throttling. */
	unsigned tail_before_us;
	/** Kind to struct attribution. */
	GHashTable *attributions;
	/** Times of the evictions of the last minute in ms, gint64. */
	GArray *eviction_times;
	/** Evictions since the start. */
	guint64 evictions;
	/** Evaluations in which the rate limit prevented an eviction. */
	guint64 evictions_withheld;
	/**
	 * Sum of the throttled time of all tasks since the start; each
	 * evaluation adds its nominal interval.
	 */
	guint64 throttled_ms;
};

/** A forwarded request; uses a slot until its upstream call ends. */
struct request {
	/** Id in AGT_FX_FORWARD. */
	guint64 call;
	/** Connection of the entry, and the id that the entry gave. */
	guint64 conn;
	guint64 id;
	struct pool *pool;
	gint64 started_ms;
	gint64 deadline_ms;
	/** Cancelled and replied to, but the upstream call has not ended. */
	gboolean replied;
};

/** A request of an earlier agent process that may still use a slot. */
struct carried_over {
	/** Entry that sent it. */
	char *entry_id;
	/** NULL if the pool is not in the settings of this process. */
	struct pool *pool;
	/** Time-out of the request, when its slot is free. */
	gint64 until_ms;
};

/** A shard of the jobs, owned by one entry at a time. */
struct shard {
	/** Highest term seen; orders of a lower term are refused. */
	guint64 term;
	/** Connection of the owner; 0 if disconnected. */
	guint64 conn;
};

/** One attempt of a batch job on this VM. */
struct task {
	/** Attempt and job id; made by agt_task_key(). */
	char *key;
	char *job_id;
	unsigned attempt;
	unsigned shard;
	guint64 session;
	char *pool;
	/** NULL if not known. */
	char *kind;
	/** Slowdown of services predicted by the owner, in thousandths. */
	unsigned slowdown_milli;
	/** Sequence number of the admission; higher is newer. */
	guint64 admission_number;
	Rp__TaskState state;
	Rp__Reason reason;
	char *detail;
	char *checkpoint;
	GBytes *result;
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 accelerators;
	gint64 used_cpu_milli;
	gint64 used_memory_bytes;
	/** Highest usage seen; reported as the usage of the task. */
	gint64 peak_memory_bytes;
	/**
	 * TaskStart frame, sent to the worker until it confirms the start;
	 * else NULL. A task refused since it was not sent keeps it.
	 */
	struct Rp__Frame *start;
	/** The worker has or may have the task. */
	gboolean on_worker;
	/** The task may execute, so its resources are reserved. */
	gboolean reserved;
	/** To be stopped without a checkpoint; overrides evict_wanted. */
	gboolean stop_wanted;
	/** To be checkpointed and then stopped. */
	gboolean evict_wanted;
	gboolean checkpointed;
	/** The worker confirmed the stop; the final state is not known yet. */
	gboolean stop_confirmed;
	/** The worker must be sent the CPU share. */
	gboolean throttle_wanted;
	/** CPU share set by the owner, in thousandths. */
	unsigned share_milli;
	/** CPU share set for interference; the lower of the two applies. */
	unsigned intf_share_milli;
	/** Why it is throttled or was evicted for interference, or NULL. */
	char *intf_reason;
	/** The owner has recorded the final state. */
	gboolean acked;
	/** The worker confirmed the deletion of the ended task. */
	gboolean forgotten;
	/** Checkpoints that failed. */
	unsigned checkpoint_tries;
	/** Consecutive lists that show it suspended under a valid lease. */
	unsigned suspended_lists;
	/** Id and kind of the call to the worker in flight; 0 if none. */
	guint64 op;
	enum agt_effect_kind op_kind;
	gint64 retry_at_ms;
	/**
	 * Number of the newest list requested when the last call ended. Only
	 * lists with a higher number are sure to show the effect of the call.
	 */
	guint64 list_at_last_call;
	/** Time of the next repeat of the final state. */
	gint64 next_event_ms;
	gint64 event_interval_ms;
};

/** A GrantRequest that was not answered yet. */
struct grant_request {
	guint64 sequence;
	guint64 conn;
	guint64 session;
	gint64 sent_ms;
};

struct agt {
	char *vm;
	char *zone;
	char *rack;
	char *boot_id;
	unsigned slots;
	unsigned connections;
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 accelerators;
	gboolean has_upstream;
	gboolean has_worker;
	GRand *rand;

	/** Time and effects of the event being reduced. */
	gint64 now_ms;
	GArray *effects;

	/** Of struct peer. */
	GPtrArray *peers;
	guint64 next_conn;

	/** Of struct pool. */
	GPtrArray *pools;
	/** Call id to struct request. */
	GHashTable *requests;
	guint64 next_call;
	/** Of struct carried_over, sorted by until_ms. */
	GArray *carried_over;
	/** Time of the first dial to an entry; -1 before it. */
	gint64 first_dial_ms;
	/** Requests are admitted; see ENTRIES_WAIT_MS. */
	gboolean admitting;

	/** Configuration tables in force, NULL if none; their document. */
	struct cfg_tables *tables;
	GBytes *tables_bytes;

	/** Evacuations in force, and their document; NULL at generation 0. */
	struct evac *evacuations;
	GBytes *evacuations_document;
	/** The zone of the VM is evacuated. */
	gboolean evacuated;

	/** Key to struct task. */
	GHashTable *tasks;
	guint64 last_admission_number;
	/** Id of the call in flight to struct task. */
	GHashTable *ops;
	guint64 next_op;
	/** Shard number to struct shard. */
	GHashTable *shards;
	/** Keys of refused tasks, oldest first. */
	GQueue *refused;

	/** The first task list was read, or there is no worker. */
	gboolean tasks_known;
	/** A task list was requested and not answered. */
	gboolean list_pending;
	gboolean worker_unreachable;
	/** Number of the last task list requested. */
	guint64 list_number;
	gint64 next_list_ms;
	/** Time since the start without pauses of the VM; last update. */
	gint64 unpaused_ms;
	gint64 unpaused_updated_ms;
	/** Value of unpaused_ms when the last list was requested. */
	gint64 list_unpaused_ms;
	/** A list was read that shows all starts of an earlier process. */
	gboolean starts_resolved;
	/** No task of that list that must be stopped may execute any more. */
	gboolean may_request_grants;
	char *worker_boot_id;
	/**
	 * New boot id, not reported while a task that was started before the
	 * restart was noticed may execute; else NULL.
	 */
	char *next_worker_boot_id;

	/** The VM's session (epoch) for batch tasks; 0 if not known. */
	guint64 session;
	/**
	 * Session of the fence that is being applied, 0 if none. A fence is a
	 * stored record that forbids the VM's tasks up to its session.
	 */
	guint64 fenced_session;
	gint64 grant_until_ms;
	gint64 next_grant_request_ms;
	/** Wait after the last grant request; 0 once one was answered. */
	gint64 grant_retry_delay_ms;
	/** Connection of the last grant request. */
	guint64 grant_conn;
	guint64 grant_sequence;
	/** Of struct grant_request. */
	GArray *grant_requests;
	/** Id of the lease call to the worker in flight; 0 if none. */
	guint64 lease_op;
	/** End of the worker's lease, confirmed and requested. */
	gint64 lease_until_ms;
	gint64 lease_requested_until_ms;
	gint64 lease_retry_at_ms;

	struct agt_intf *intf;

	gboolean draining;
	/** AGT_FX_DRAINED was issued. */
	gboolean drained;
	/** A report is due after REPORT_INTERVAL_MS, or at once. */
	gboolean report_changed;
	gboolean report_urgent;
	gint64 last_report_ms;
};

/* agent.c: append effects. agt_fx_count() takes over labels. */
struct agt_effect *agt_fx(struct agt *agt, enum agt_effect_kind kind);
void agt_fx_send(struct agt *agt, guint64 conn, struct Rp__Frame *frame);
void agt_fx_count(struct agt *agt, const char *name, char *labels);
void agt_fx_log(struct agt *agt, GLogLevelFlags level, const char *job_id,
		const char *format, ...) G_GNUC_PRINTF(4, 5);

/* peers.c: connections, reports and tables. */
void agt_peer_free(void *peer);
void agt_peers_add(struct agt *agt, const char *address, gboolean configured);
void agt_peers_tick(struct agt *agt);
void agt_peers_connected(struct agt *agt, guint64 conn);
void agt_peers_closed(struct agt *agt, guint64 conn);
struct peer *agt_peer_find(struct agt *agt, guint64 conn);
void agt_peers_welcome(struct agt *agt, struct peer *peer,
		       const struct Rp__Welcome *welcome);
void agt_peers_fleet_info(struct agt *agt, struct peer *peer,
			  const struct Rp__FleetInfo *info);
void agt_report_tick(struct agt *agt);
guint64 agt_generation(const struct agt *agt);
void agt_tables_send(struct agt *agt, struct peer *peer);
void agt_tables_received(struct agt *agt, struct peer *peer,
			 const struct Rp__TablesUpdate *update);
void agt_tables_delta(struct agt *agt, struct peer *peer,
		      const struct Rp__TablesDelta *delta);

/* evacuation.c: evacuated zones. */
void agt_evacuation_received(struct agt *agt, struct peer *peer,
			     const struct Rp__EvacuationUpdate *update);
/* Sends the document unless the entry was sent it on this connection. */
void agt_evacuation_send(struct agt *agt, struct peer *peer);

/* request.c: admission and forwarding of requests. */
struct pool *agt_pool_find(struct agt *agt, const char *name);
void agt_pools_recompute(struct agt *agt);
void agt_request(struct agt *agt, struct peer *peer,
		 const struct Rp__Frame *frame);
void agt_request_cancel(struct agt *agt, struct peer *peer, guint64 id);
void agt_request_ended(struct agt *agt, const struct agt_event *event);

/* inherit.c: slots that requests of earlier agent processes still use. */
GArray *agt_carried_over_new(void);
void agt_carried_over_add(struct agt *agt, const struct peer *peer,
			  const struct Rp__Welcome *welcome);
/* Frees slots whose requests timed out; admits requests once it may. */
void agt_carried_over_tick(struct agt *agt);
unsigned agt_slots_in_use(const struct agt *agt);

/* task.c: messages with the entries about tasks, and admission. */
void agt_task_free(void *task);
char *agt_task_key(const char *job_id, unsigned attempt);
struct task *agt_task_add(struct agt *agt, const char *job_id, unsigned attempt,
			  unsigned shard);
/* For loops that may remove tasks; the tasks are borrowed. */
GPtrArray *agt_tasks_snapshot(struct agt *agt);
gboolean agt_task_is_final(const struct task *task);
void agt_task_remove(struct agt *agt, struct task *task);
/* Sets a final state, releases the resources and notifies the owner. */
void agt_task_set_final(struct agt *agt, struct task *task, Rp__TaskState state,
			Rp__Reason reason, const char *detail);
void agt_task_send_event(struct agt *agt, struct task *task);
void agt_task_start(struct agt *agt, struct peer *peer,
		    const struct Rp__Frame *frame);
void agt_task_control(struct agt *agt, struct peer *peer,
		      const struct Rp__TaskControl *control);
void agt_task_ack(struct agt *agt, const struct Rp__TaskAck *ack);
void agt_shard_term(struct agt *agt, struct peer *peer,
		    const struct Rp__ShardTerm *term);
void agt_tasks_tick(struct agt *agt);
/* Adds the tasks that may execute, and their resources, to out. */
void agt_tasks_add_committed(const struct agt *agt, struct agt_committed *out);
/* Number of tasks that may execute. */
unsigned agt_tasks_reserved_count(const struct agt *agt);

/* worker.c: calls to the worker and its task list. */
void agt_worker_tick(struct agt *agt);
void agt_worker_request_list(struct agt *agt);
/* Issues the next call that the task needs; one at a time per task. */
void agt_worker_issue_call(struct agt *agt, struct task *task);
void agt_worker_tasks(struct agt *agt, const struct agt_event *event);
void agt_worker_done(struct agt *agt, const struct agt_event *event);

/* grant.c: grants from the entries and the worker's lease. */
void agt_grant_tick(struct agt *agt);
void agt_grant(struct agt *agt, struct peer *peer,
	       const struct Rp__Grant *grant);
gboolean agt_grant_valid(const struct agt *agt);
void agt_lease_done(struct agt *agt, gboolean ok);

/* interference.c: throttles and evicts tasks that slow services. */
struct agt_intf *agt_intf_new(const struct agt_options *options);
void agt_intf_free(struct agt_intf *intf);
/* Adds the latency of an answer to the samples of its pool. */
void agt_intf_add_latency(struct agt *agt, struct pool *pool, gint64 ms);
void agt_intf_tick(struct agt *agt);
/* Adds the load of each kind of job on the VM to a report. */
void agt_intf_report(const struct agt *agt, struct Rp__Report *report);
void agt_intf_status(const struct agt *agt, GString *out);

#endif
