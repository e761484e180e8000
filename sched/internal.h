#ifndef SCHED_INTERNAL_H
#define SCHED_INTERNAL_H

#include <string.h>

#include "../colo/colo.h"
#include "sched.h"

/** Concurrent runs of one task; the second is a speculative run. */
#define SCH_MAX_TASK_RUNS 2

/** Bounds on a submitted job; a step may have SCH_MAX_REPLICAS tasks. */
#define SCH_MAX_STEPS 64
#define SCH_MAX_REPLICAS 4096
#define SCH_MAX_TASKS 16384
#define SCH_MAX_OCCURRENCES G_MAXINT32
#define SCH_MAX_PAYLOAD_BYTES 4000

/** Occurrences start this long after their due time, since clocks differ. */
#define SCH_DUE_SLACK_MS 120

/** Checks of a VM or a run that take the time of a look; see sch.n_looks. */
#define SCH_CHECKS_PER_LOOK 16

/** Workers cap the leases that they accept at this. */
#define SCH_MAX_LEASE_MS 10000

/** Longest time that an order to an ended incarnation may be in flight. */
#define SCH_MAX_ORDER_DELAY_MS 1500

/**
 * Age from which an incarnation is certain to be known to its agent, so no
 * lease that was sent to the previous one can still be in force.
 */
#define SCH_NEW_WORKER_MS 15000

/** Age of an agent's last report at which its worker gets no new tasks. */
#define SCH_REPORT_MAX_AGE_MS 2500

struct sch_amount {
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 accelerators;
};

/** Maximum number of best-effort images counted separately on one VM; any more
 * are counted with the last. */
#define SCH_MAX_BEST_EFFORT_IMAGES 16

/** Effect of one best-effort image on a latency-sensitive one on a VM. */
struct sch_image_interference {
	/** Interference per CPU. */
	double coefficient;
	/** The coefficient times the CPUs that the best-effort image's tasks
	 * declare. */
	double interference;
};

/** Latency headroom of one latency-sensitive image on a VM. */
struct sch_image_headroom {
	guint image;
	/** Interference that each of its tasks tolerates, before best-effort
	 * tasks are subtracted. */
	double headroom;
	/** One for each best-effort image on the VM. */
	struct sch_image_interference best_effort[SCH_MAX_BEST_EFFORT_IMAGES];
};

/** What a VM has left for more best-effort tasks. */
struct sch_headroom {
	/** FALSE if the VM has changed since this was computed. */
	gboolean valid;
	/** CPUs that no task is expected to use. */
	double unused_cpus;
	/** A latency-sensitive task on the VM is over its target. */
	gboolean over_target;
	guint n_best_effort;
	/** Of struct sch_image_headroom, one for each latency-sensitive image.
	 */
	GArray *images;
};

/** An availability zone that has VMs or is evacuated. Times are boot clock in
 * ms. */
struct sch_zone {
	char *name;
	gboolean evacuated;
	/** When the evacuation was learned. */
	gint64 evacuated_ms;
	/** It was checked since then whether the zone has VMs. */
	gboolean checked;
	/** While a step is placed: its tasks that have a run in the zone. */
	guint n_step_tasks;
	/** While a step is spread: it has a usable VM. */
	gboolean is_usable;
};

/** A worker, and the VM that it runs on. Times are boot clock in ms. */
struct sch_vm {
	/** Name of the agent's VM. */
	char *name;
	gboolean connected;
	/** Of the session with the agent; 0 before the first. */
	guint64 fencing_token;
	/** A session is to be started; until then nothing is sent. */
	gboolean session_due;
	/** Incarnation of the worker: its id and its start, Unix time. */
	char *worker_id;
	guint64 worker_started_ms;
	/**
	 * When this leader first saw the incarnation; 0 if it was older than
	 * SCH_NEW_WORKER_MS at the election.
	 */
	gint64 incarnation_first_seen_ms;
	/** The agent has described this incarnation to this leader. */
	gboolean info_received;
	/** Run lists of this incarnation came in the current session. */
	gboolean synced;
	/** Run lists of this incarnation came in a session of this leader, so
	 * the worker refuses leases of earlier leaders. */
	gboolean adopted;
	/**
	 * The agent reported the last lease that any leader granted. It holds
	 * until the connection ends: a new agent process may accept an earlier
	 * leader.
	 */
	gboolean lease_reported;
	char *pool;
	/** NULL before the worker was described. */
	struct sch_zone *zone;
	/** After the end of its zone's evacuation: it is brought into use then.
	 */
	gint64 returns_ms;
	/** The worker is slow until then after its start; 0 if it is not. */
	gint64 cold_until_ms;
	/** Sequence number of the description that says so. */
	guint64 info_sequence;
	char *rack;
	GPtrArray *labels;
	struct sch_amount capacity;
	/** Reserved by runs, also by those that are being stopped. */
	struct sch_amount reserved;
	/** Runs of latency-sensitive tasks. */
	int n_latency_sensitive;
	/** Rises with each event that may let more tasks start here; unique
	 * among all VMs. */
	guint64 version;
	struct sch_headroom headroom;
	gboolean draining;
	/** When the worker leaves; 0 if it does not drain. */
	gint64 drain_end_ms;
	/** Last reading of the worker's clock, and when it was taken. */
	gint64 clock_ms;
	gint64 clock_read_ms;
	/** Latest lease granted, worker's clock; 0 for none. */
	gint64 lease_until_ms;
	gint64 last_report_ms;
	/** How long the worker had not answered its agent at the last report.
	 */
	gint64 unresponsive_ms;
	/** Runs on this worker, also orphaned ones; owned. */
	GPtrArray *runs;
	/** The same, by name and attempt. */
	GHashTable *run_index;
	/** Tasks of listed runs that no record names; such runs are stopped. */
	GHashTable *unknown_runs;
	/** End records that are not durable yet: struct sch_end; owned. */
	GQueue ends;
	/** Numbers of the last end record seen, and of the last durable one. */
	guint64 last_end_seen;
	guint64 acked_through;
	/** Orders to send: runs to start, and struct sch_run_ref to stop. */
	GPtrArray *starts;
	GPtrArray *stops;
	/** End records are to be acknowledged. */
	gboolean ack_due;
	gint64 orders_sent_ms;
	/** Orders are to be sent because of a change of its zone. */
	gboolean zone_due;
	/** It is in vms_with_orders. */
	gboolean orders_noted;
	/** Worker faults in a row, the job that had the last one that counted,
	 * and when the last one was. */
	guint worker_faults;
	struct sch_job *last_fault_job;
	gint64 last_fault_ms;
	gint64 quarantine_until_ms;
	/** Start of the last quarantine; 0 for none. */
	gint64 quarantine_from_ms;
	/** Duration of tasks relative to others of their step; 1 is usual. */
	double slowness;
	gint64 slowness_updated_ms;
};

/** An end record, and the number of the record change that makes it durable. */
struct sch_end {
	guint64 number;
	guint64 record_change;
};

struct sch_run_ref {
	char *task;
	guint32 attempt;
};

enum sch_run_state {
	/** Its VM is chosen; the record is not durable yet. */
	SCH_RUN_PLANNED,
	/** The record is durable and the start is ordered. */
	SCH_RUN_ORDERED,
	SCH_RUN_RUNNING,
};

/** One execution of a task. Times are boot clock in ms. */
struct sch_run {
	/** Name of the task: job.occurrence.step.index. */
	char *name;
	struct sch_task *task;
	struct sch_vm *vm;
	guint32 attempt;
	enum sch_run_state state;
	/** Its record is in the transaction in flight. */
	gboolean committing;
	gboolean stopping;
	/**
	 * It was ordered to an earlier incarnation of the worker. The agent may
	 * have sent it to this one before it learned of the restart.
	 */
	gboolean orphaned;
	/** The worker refused the start as outdated: the run has ended, and its
	 * end may still be listed. */
	gboolean outdated;
	/** Run lists received since then. */
	guint outdated_lists;
	/** When the state was entered. */
	gint64 state_ms;
	/**
	 * Progress, and when it last changed. A latency-sensitive run is ready
	 * at 100 and reports its latency from then on.
	 */
	guint percent;
	gint64 percent_ms;
	/** First progress reported, and when. */
	guint first_percent;
	gint64 first_percent_ms;
	/** Resources reserved on the VM. */
	struct sch_amount reserved;
	/** Of a latency-sensitive task: model state, the last tail latency, and
	 * when it was reported. */
	struct colo_latency_state latency_state;
	guint latency_ms;
	gint64 measured_ms;
	/** Of a best-effort task: CPUs in use, and when it last had its minimum
	 * CPU share or was first measured; 0 if nothing was reported yet. */
	double used_cpus;
	gint64 min_share_met_ms;
};

struct sch_task {
	struct sch_job *job;
	struct sch_step_instance *instance;
	guint32 index;
	gboolean done;
	/** Highest attempt number used, and the number of failed runs. */
	guint32 attempts;
	guint32 failures;
	char *checkpoint;
	struct sch_run *runs[SCH_MAX_TASK_RUNS];
	guint n_runs;
	/** VM of the last failed run, NULL for none, and when this leader
	 * learned of the failure. */
	char *last_failed_vm;
	gint64 last_failure_ms;
	/** VM from which the task was last moved; NULL for none. */
	char *moved_from;
};

/** A step in one occurrence of a job. Times are boot clock in ms. */
struct sch_step_instance {
	struct sch_job *job;
	/**
	 * Wire names: fills is a best-effort step, lasts a long-running one; a
	 * latency-sensitive one has target_ms > 0.
	 */
	const struct Rp__StepSpec *step;
	struct sch_occurrence *occurrence;
	/** Number of the step in its job. */
	guint32 number;
	struct sch_task *tasks;
	guint n_tasks;
	guint n_done;
	/** Tasks that are not done and have no run. */
	guint n_idle;
	/** When the step could first run; 0 if it cannot yet. */
	gint64 ready_ms;
	/** Mean duration of tasks that were done, and their count. */
	double mean_duration_ms;
	guint n_durations;
	/** Duration of the critical path from here to the job's end. */
	gint64 critical_path_ms;
	/** Number of the step's image in the interference table. */
	guint image;
	/** Failed runs of all its tasks. */
	guint failures;
	/** When all VMs were last tried and had too little free capacity. */
	gint64 full_scan_ms;
	/** VMs with versions up to this were tried since. */
	guint64 scanned_vm_version;
	/** Task with which the next pass begins. */
	guint next_task;
	/** Its tasks fit only in evacuated zones, as of the last full scan. */
	gboolean awaits_zone;
};

/** An occurrence that was opened: its steps and tasks are in memory. */
struct sch_occurrence {
	/** Counted from 0. */
	guint32 number;
	/** One for each step. */
	struct sch_step_instance *instances;
	/** When it became due, boot clock; 0 if it has not yet. */
	gint64 due_ms;
	guint instances_left;
	guint n_runs;
	/** It has become due or a step was done, so more steps may be ready. */
	gboolean advance_due;
	/** Its part of struct sch.backlog_tasks. */
	guint backlog_tasks;
};

/** A call that is answered once a change is durable. */
struct sch_pending_call {
	guint64 call_ref;
	Rp__StepVerb verb;
	/** When it is answered that the outcome is not known; boot clock in ms.
	 */
	gint64 deadline_ms;
};

struct sch_job {
	char *id;
	char *queue;
	/** NULL while the job is parked, and once only the state is kept. */
	struct Rp__StepJob *spec;
	Rp__JobState state;
	/** The last durable state: callers learn of the job's end from it. */
	Rp__JobState durable_state;
	/** Open occurrences in the order of their numbers: struct
	 * sch_occurrence; owned. */
	GPtrArray *open;
	guint n_occurrences;
	/** Occurrences with lower numbers were opened, and have ended unless
	 * they are in open. */
	guint next_occurrence;
	/** Ended occurrences from next_occurrence on, in order: guint32; NULL
	 * for none. */
	GArray *ended_ahead;
	guint n_runs;
	/** Duration of the critical path of one occurrence. */
	gint64 critical_path_ms;
	/** A worker has reported that it started a task. */
	gboolean started;
	/** A run was planned, so there is progress to write. */
	gboolean has_progress;
	/** Boot clock. */
	gint64 accepted_ms;
	gint64 ended_unix_ms;
	/** Its part of struct sch.admitted_bytes, and, if the job is parked, of
	 * struct sch.parked_bytes; else 0. */
	guint64 admitted_bytes;
	guint64 parked_bytes;
	/** Since when it is in memory without a run, boot clock. */
	gint64 idle_since_ms;
	/** A transaction with the job's records took effect; a later one may
	 * have deleted them. */
	gboolean stored;
	/** The record was sent to the store at least once. */
	gboolean sent;
	/** The job is in the transaction in flight. */
	gboolean committing;
	/** Its retention is over; the next transaction deletes it. */
	gboolean retention_over;
	/** Number of the record change that waits to be written; 0 for none. */
	guint64 pending_change;
	/** Callers or tasks wait for that write. */
	gboolean awaited;
	/** The record change and the state in the transaction in flight. */
	guint64 committing_change;
	Rp__JobState committing_state;
	/** Of struct sch_pending_call. */
	GArray *pending_calls;
};

/** Measured durations of a queue's tasks. */
struct sch_queue_durations {
	double mean_duration_ms;
	/** Mean relative error of the declared estimates, 0 to 1. */
	double estimate_error;
	guint n_samples;
};

/** A possible placement of a step's tasks: a VM where they may start. */
struct sch_placement {
	struct sch_vm *vm;
	/** Lower is better. */
	double score;
};

/** Measured number of jobs that end in a second. */
struct sch_drain {
	/** As of updated_ms; all zero before the first end. */
	double per_s;
	gint64 updated_ms;
};

/** State of the leader. Times are boot clock in ms unless named otherwise. */
struct sch {
	struct sch_options options;
	gint64 now_ms;
	gint64 unix_ms;
	gint64 elected_ms;
	/** When the last request to the store that confirmed the leadership was
	 * sent. */
	gint64 confirmed_ms;
	/** NULL until the tables are read. */
	GPtrArray *queues;
	/** No change of the tables before this time is missing. */
	gint64 tables_confirmed_ms;
	/** Calls are refused since the tables may be too old. */
	gboolean tables_outdated;
	/** Since when no call can be accepted. */
	struct sch_outage outage;
	/** Name to struct sch_queue of queues. */
	GHashTable *queue_names;
	/** id to struct sch_job; owned. */
	GHashTable *jobs;
	/** Jobs that have not ended, in the order of acceptance. */
	GPtrArray *active;
	/** Memory of accepted jobs whose tasks are kept, with one open
	 * occurrence of each. */
	guint64 admitted_bytes;
	/** Parked jobs, the next to be read first, and their memory if all were
	 * read. */
	GQueue parked;
	guint64 parked_bytes;
	/** Of these, jobs that have to be read before the first event. */
	GQueue parked_with_runs;
	/** A parked job is being read. */
	gboolean reading_parked;
	gint64 last_rotation_ms;
	/** Tasks of open occurrences beyond the first of each job. */
	guint backlog_tasks;
	struct sch_drain drain;
	/** name to struct sch_vm; owned. */
	GHashTable *vms;
	/** Name to struct sch_zone; owned. */
	GHashTable *zones;
	/** No change of the evacuated zones before this time is missing; 0
	 * before the set was first read. */
	gint64 zones_confirmed_ms;
	guint n_evacuated;
	/** No VM is usable since the set of evacuated zones is too old. */
	gboolean zones_outdated;
	/** VMs that may have orders due because of the current event. */
	GPtrArray *vms_with_orders;
	/** The session of some VM is due, which may not be connected. */
	gboolean session_due;
	/** Queue's name to struct sch_queue_durations; owned. */
	GHashTable *durations;
	struct colo_table *colo;
	/** When the record of colo was last due; 0 for never. */
	gint64 interference_written_ms;
	/** Mean CPU share of best-effort tasks, 0 to 1. */
	double best_effort_cpu_share;
	/** Jobs with record changes to write, the oldest first. */
	GQueue dirty;
	/** Of these, jobs whose callers or tasks wait for the write. */
	GQueue awaited;
	/** Changes of job records are numbered from 1. */
	guint64 next_record_change;
	/** Jobs in the transaction in flight, or NULL. */
	GPtrArray *commit;
	gint64 commit_sent_ms;
	/** Of the election or the last transaction that took effect. */
	guint64 last_revision;
	/** A session needs a higher revision than the last. */
	gboolean revision_due;
	/** When the last transaction took effect. */
	gint64 last_commit_ms;
	/** Ended jobs that may have no runs left, so that their tasks can be
	 * freed. */
	GPtrArray *closing;
	/** Ended jobs in the order of their ends, for retention. */
	GQueue ended;
	/** An event may let more tasks start. */
	gboolean place_due;
	gint64 last_place_ms;
	/** Looks in this pass: whether a task may start on a VM. */
	guint n_looks;
	/** Position in the order of steps from which the next pass goes on with
	 * those that the bound on looks left out. */
	guint next_candidate;
	/** Highest version of any VM. */
	guint64 last_vm_version;
	/** No quarantine ends later. */
	gint64 quarantine_until_ms;
	/** The step being placed could run only on quarantined workers, even if
	 * all were idle. */
	gboolean only_quarantined;
	/** Possible placements of the step being placed: struct sch_placement.
	 */
	GArray *placements;
	/** While a latency-sensitive step is placed: the usable VMs without any
	 * latency-sensitive task. */
	guint n_vms_without_sensitive;
	/** While a step is spread: equal share of its tasks of a zone, and the
	 * number of its runs by rack. */
	guint zone_share;
	GHashTable *rack_tasks;
	guint n_pending_calls;
	/** No pending call has an earlier deadline. */
	gint64 first_call_deadline_ms;
	gint64 last_reschedule_ms;
	/** Effects of the event being reduced; owned by the caller. */
	GArray *effects;
	struct sch_stats stats;
};

/* sched.c */
/** Counts a duration in a histogram of SCH_BUCKETS buckets. */
void sch_histogram_add(guint64 *buckets, gint64 ms);
struct sch_effect *sch_effect_add(struct sch *s, enum sch_effect_kind kind);
void sch_reply(struct sch *s, guint64 call_ref, guint status,
	       Rp__JobState state, guint waiting, guint retry_after_s);

/* queue.c */
/** Returns the queue of a call, or NULL; rest is set to the path that follows
 * the queue's prefix. */
struct sch_queue *sch_queue_route(const struct sch *s, const char *host,
				  const char *path, const char **rest);
struct sch_queue *sch_queue_find(const struct sch *s, const char *name);
struct sch_queue_durations *sch_queue_durations(struct sch *s,
						const char *queue);
void sch_queue_durations_add(struct sch_queue_durations *durations,
			     gint64 declared_ms, double took_ms);
/** Expected duration of a task of the queue: the declared one, or the mean if
 * declared durations are often wrong. */
gint64
sch_queue_durations_expect_ms(const struct sch_queue_durations *durations,
			      gint64 declared_ms);

/* job.c */
/** Takes ownership of spec. */
struct sch_job *sch_job_new(struct sch *s, const char *id,
			    struct Rp__StepJob *spec);
void sch_job_free(struct sch_job *job);
/** Returns NULL if the specification is valid, else a text that says why it is
 * not. */
const char *sch_job_check(const struct Rp__StepJob *spec);
/** Removes repeated entries from the lists of preceding steps. */
void sch_job_normalise(struct Rp__StepJob *spec);
gboolean sch_job_has_ended(const struct sch_job *job);
/** Returns NULL if there is no such task in an open occurrence; *job is set to
 * the job, or to NULL if it does not exist. */
struct sch_task *sch_job_task(struct sch *s, const char *name,
			      struct sch_job **job);
/** Makes steps ready whose time has come and whose predecessors are done. */
void sch_job_advance(struct sch *s, struct sch_job *job);
/** Ends the job and stops all its runs; no effect if it has ended. */
void sch_job_end(struct sch *s, struct sch_job *job, Rp__JobState state);
/** Frees the tasks of ended jobs and occurrences that have no runs left. */
void sch_job_close_ended(struct sch *s);
/** Calls fn for each task of the open occurrences. */
void sch_job_foreach_task(const struct sch_job *job,
			  void (*fn)(void *ctx, struct sch_task *task),
			  void *ctx);
void sch_job_stop_runs(struct sch *s, struct sch_job *job);
void sch_task_set_checkpoint(struct sch_task *task, const char *checkpoint);

/* schedule.c */
/** When the occurrence is due, Unix time in ms; 0 if it is due at once. */
gint64 sch_occurrence_due_unix_ms(const struct sch_job *job, guint32 number);
/** Returns the open occurrence with this number, or NULL. */
struct sch_occurrence *sch_occurrence_find(const struct sch_job *job,
					   guint32 number);
/** Opens the occurrences that are due, as far as the bounds on open ones allow.
 */
void sch_occurrence_open_due(struct sch *s, struct sch_job *job);
/** Returns the occurrence of a stored task, which is opened if it has not
 * ended; else NULL. */
struct sch_occurrence *sch_occurrence_load(struct sch *s, struct sch_job *job,
					   guint32 number);
/** Frees the ended occurrences that have no runs left. */
void sch_occurrence_close_ended(struct sch *s, struct sch_job *job);
/** TRUE if all occurrences have ended. */
gboolean sch_occurrence_all_ended(const struct sch_job *job);
/** Frees all open occurrences; s may be NULL when the leader is freed. */
void sch_occurrence_free_all(struct sch *s, struct sch_job *job);
/** Sets which occurrences are open and which have ended, as stored. */
void sch_occurrence_load_schedule(struct sch *s, struct sch_job *job,
				  const struct Rp__StepProgress *progress);
/** Adds the same to a record; the caller frees the two lists. */
void sch_occurrence_save_schedule(const struct sch_job *job,
				  struct Rp__StepProgress *progress);

/* run.c */
struct sch_run *sch_run_new(struct sch *s, struct sch_task *task,
			    struct sch_vm *vm, guint32 attempt);
/** Removes a run that is known to have ended, or never to have started. */
void sch_run_remove(struct sch *s, struct sch_run *run);
/** Removes a run that was planned in this event, without a trace; attempts is
 * what its task had before. */
void sch_run_unplan(struct sch *s, struct sch_run *run, guint32 attempts);
void sch_run_free(struct sch_run *run);
/** Of the name and the attempt, for struct sch_vm.run_index. */
guint sch_run_hash(gconstpointer run);
gboolean sch_run_equal(gconstpointer a, gconstpointer b);
void sch_run_stop(struct sch *s, struct sch_run *run);
/** Stops the members of a gang, except one run, which may be NULL. */
void sch_run_stop_gang(struct sch *s, struct sch_step_instance *instance,
		       const struct sch_run *except);
/** Orders the start of a run whose record is durable, or removes the run if it
 * is to be stopped. */
void sch_run_order_start(struct sch *s, struct sch_run *run);
/** Notes that the worker has started the run. */
void sch_run_started(struct sch *s, struct sch_run *run);
struct sch_run *sch_run_find(const struct sch_vm *vm, const char *task,
			     guint32 attempt);
/** Applies an end record of the worker, unless it was seen before. */
void sch_run_ended(struct sch *s, struct sch_vm *vm,
		   const struct Rp__RunEnd *end);

/* vm.c */
/** Returns the VM, which is added if it is not known. */
struct sch_vm *sch_vm_get(struct sch *s, const char *name);
void sch_vm_free(struct sch_vm *vm);
void sch_vm_connected(struct sch *s, const char *name);
void sch_vm_disconnected(struct sch *s, const char *name);
void sch_vm_report(struct sch *s, const char *name,
		   const struct Rp__VmReport *report);
/** Sets a new incarnation of the worker; runs of the previous one are marked
 * as orphaned. */
void sch_vm_set_incarnation(struct sch *s, struct sch_vm *vm,
			    const char *worker_id, guint64 started_ms);
/** Drops the runs of workers whose leases have certainly expired. */
void sch_vm_expire_leases(struct sch *s);
/** Starts the sessions that are due. */
void sch_vm_start_sessions(struct sch *s);
/** Sends the orders that are due because of the current event, so that the cost
 * of an event does not grow with the number of VMs. */
void sch_vm_send_orders(struct sch *s);
/** Sends orders to each connected agent that has any due, also by time. */
void sch_vm_send_all_orders(struct sch *s);
/** Lets sch_vm_send_orders() look at the VM after this event. */
void sch_vm_note_orders(struct sch *s, struct sch_vm *vm);
/** TRUE if new tasks may start on the VM. */
gboolean sch_vm_is_usable(const struct sch *s, const struct sch_vm *vm);
/** As sch_vm_is_usable(), without regard to a quarantine. */
gboolean sch_vm_is_reachable(const struct sch *s, const struct sch_vm *vm);
/** Orders the worker to start a run. */
void sch_vm_order_start(struct sch *s, struct sch_run *run);
/** Orders the worker to stop a run, which may be unknown here. */
void sch_vm_order_stop(struct sch *s, struct sch_vm *vm, const char *task,
		       guint32 attempt);
/** Notes that more tasks may start on the VM than before. */
void sch_vm_changed(struct sch *s, struct sch_vm *vm);
gboolean sch_vm_has_label(const struct sch_vm *vm, const char *label);

/** As sch_vm_is_usable(), without regard to its zone. */
gboolean sch_vm_is_usable_in_zone(const struct sch *s, const struct sch_vm *vm);

/* spread.c */
/** TRUE if the run of the task to be placed is spread over zones. */
gboolean sch_spread_applies(const struct sch *s, const struct sch_task *task);
/** Counts what sch_spread_penalty() needs for the tasks of a step. */
void sch_spread_prepare(struct sch *s,
			const struct sch_step_instance *instance);
/** Counts another run of the step. */
void sch_spread_add_run(struct sch *s, const struct sch_task *task,
			const struct sch_vm *vm);
/** Added to the placement score, between VMs that are equal for packing. */
double sch_spread_penalty(const struct sch *s, const struct sch_task *task,
			  const struct sch_vm *vm);

/* zone.c */
void sch_zone_free(gpointer zone);
/** Sets the VM's zone and temperature from the worker's description. */
void sch_zone_apply_info(struct sch *s, struct sch_vm *vm,
			 const struct Rp__WorkerInfo *info);
/** Forgets the temperature of the worker's earlier incarnation. */
void sch_zone_reset_worker(struct sch_vm *vm);
/** Applies the complete set of evacuated zones. */
void sch_zone_set_evacuations(struct sch *s, const struct sch_event *ev);
/** Logs when the set of evacuated zones gets too old, and when it is current
 * again. */
void sch_zone_tick(struct sch *s);
/** FALSE if the VM's zone is evacuated or was just returned to service, or if
 * it is not known whether it is. */
gboolean sch_zone_allows_starts(const struct sch *s, const struct sch_vm *vm);
gboolean sch_zone_is_evacuated(const struct sch_vm *vm);
/** Time for which the VM's worker is still slow after its start, s; 0 where
 * zones cannot be evacuated. */
double sch_zone_cold_s(const struct sch *s, const struct sch_vm *vm);
/** Adds up to when the agent may send starts; clock_ms is a lower bound of the
 * worker's clock when the set of evacuated zones was last current. */
void sch_zone_add_orders(const struct sch *s, const struct sch_vm *vm,
			 gint64 clock_ms, struct Rp__VmOrders *orders);

/* fault.c */
/** Counts a worker fault that a run of job had; the run started at started_ms.
 */
void sch_vm_fault(struct sch *s, struct sch_vm *vm, struct sch_job *job,
		  gint64 started_ms);
void sch_vm_clear_faults(struct sch_vm *vm);
/** Number of the worker's faults that still count. */
guint sch_vm_faults(const struct sch *s, const struct sch_vm *vm);
gboolean sch_vm_is_quarantined(const struct sch *s, const struct sch_vm *vm);
/** TRUE if work that could run nowhere else may start in the quarantine. */
gboolean sch_vm_may_be_tried(const struct sch *s, const struct sch_vm *vm);
/** TRUE if the task must not start on the VM now, because of its failures and
 * the faults of the VM's worker. */
gboolean sch_task_avoids(const struct sch *s, const struct sch_task *task,
			 const struct sch_vm *vm);

/* order.c */
/** Urgency of a step within its queue's priority, most urgent first. */
enum sch_urgency {
	/** The job can still meet its objective; also late best-effort steps,
	 * which are ordered by the cost of a delay. */
	SCH_URGENCY_IN_TIME,
	/** The job will miss its objective. */
	SCH_URGENCY_LATE,
	/** Occupies its resources for long, so short tasks go first. */
	SCH_URGENCY_LONG_RUNNING,
	/** The job will miss its objective by far; see OVERDUE_FACTOR. */
	SCH_URGENCY_OVERDUE,
};

/** A step with tasks that could start. */
struct sch_candidate {
	struct sch_step_instance *instance;
	const struct sch_queue *queue;
	enum sch_urgency urgency;
	/** Lower goes first among steps of the same priority and urgency. */
	gint64 sort_key;
};

/** Returns steps with idle tasks, the most urgent first: struct sch_candidate.
 * Jobs whose tasks have failed too often are ended as failed. */
GArray *sch_collect_candidates(struct sch *s);

/** When the job of a step has to end to meet its objective, boot clock; -1 if
 * its queue is not known. */
gint64 sch_order_objective_end_ms(const struct sch *s,
				  const struct sch_step_instance *instance);

/* straggler.c */
/** A best-effort task that runs. */
struct sch_straggler {
	/** Work left, as time with all its CPUs. */
	double remaining_ms;
	/** Present CPU share, 0 to 1. */
	double cpu_share;
	guint percent;
	/** Time since its start. */
	gint64 age_ms;
	/** Another run continues from its checkpoint. */
	gboolean saves_progress;
};

/** TRUE if the task would end much earlier on another VM. */
gboolean sch_straggler_should_move(const struct sch_straggler *straggler);
/** TRUE if the run is to be moved and another VM has room; counts and logs the
 * move. */
gboolean sch_is_straggler(struct sch *s, const struct sch_run *run);

/* place.c */
/** Plans runs of idle tasks, if a pass is due. */
void sch_place(struct sch *s);
/** Plans a speculative run of the task on another VM, if it fits on one. */
void sch_place_speculative(struct sch *s, struct sch_run *run);
/** TRUE if the task could have at least this CPU share on another VM. */
gboolean sch_place_has_better(struct sch *s, const struct sch_run *run,
			      double share);

/* interfere.c */
/** Updates the interference table from the measurements of a run list. */
void sch_interference_learn(struct sch *s, struct sch_vm *vm,
			    const struct Rp__VmReport *report);
/** Merges the coefficients that an agent reports to a new leader. */
void sch_interference_merge(struct sch *s, const struct Rp__VmReport *report);

/** Demand of a best-effort task relative to what a VM has left; 1 is all of it.
 */
struct sch_best_effort_demand {
	/** CPUs, relative to the unused ones. */
	double cpu;
	/** Interference, relative to the headroom left; the highest value of
	 * any latency-sensitive image on the VM. */
	double interference;
	/** CPU share that the task could have, 0 to 1. */
	double cpu_share;
	/** A latency-sensitive task on the VM is over its target. */
	gboolean over_target;
};

void sch_interference_demand(struct sch *s, struct sch_vm *vm,
			     const struct sch_step_instance *instance,
			     struct sch_best_effort_demand *demand);
/** Frees the headroom of a VM that is about to be freed itself. */
void sch_interference_free_headroom(struct sch_vm *vm);
/** Adds the baselines of the VM's latency-sensitive tasks and the known
 * coefficients of its image pairs. */
void sch_interference_add_orders(struct sch *s, const struct sch_vm *vm,
				 struct Rp__VmOrders *orders);

/* interfere_record.c */
/** Returns the record of the interference table, or NULL if none is due. */
GBytes *sch_interference_record(struct sch *s);

/* move.c */
/** Expected duration of the run: the mean of its step's tasks, or else that of
 * its queue. */
gint64 sch_expected_ms(struct sch *s, const struct sch_run *run);
/** Stops runs that should start again on another VM, if a check is due. */
void sch_reschedule(struct sch *s);
/** Stops runs of queues with a lower priority, as many as the step's idle tasks
 * need. */
void sch_preempt(struct sch *s, const struct sch_step_instance *instance,
		 guint32 priority);

/* commit.c */
/** Queues the job for the writing of its records. */
void sch_job_mark_dirty(struct sch *s, struct sch_job *job);
/** As sch_job_mark_dirty(), ahead of the changes that neither callers nor tasks
 * wait for. */
void sch_job_mark_awaited(struct sch *s, struct sch_job *job);
/** Starts a transaction if one is due and none is in flight. */
void sch_commit_start(struct sch *s);
/** Orders starts and answers calls after the transaction took effect. */
void sch_commit_done(struct sch *s);
/** Answers all pending calls after another process was elected. */
void sch_commit_deposed(struct sch *s);
/** TRUE if the transaction in flight takes so long that the store counts as
 * unavailable. */
gboolean sch_commit_is_late(const struct sch *s);
/** If the transaction in flight takes too long, refuses and deletes the jobs
 * that were never sent to the store. */
void sch_commit_check_timeout(struct sch *s);

/* parked.c */
/** Parks a job that was just loaded if it is beyond the bound on memory. */
void sch_parked_check_loaded(struct sch *s, struct sch_job *job);
/** Takes the state of a parked job from its progress; TRUE if the job has runs,
 * so that the rest follows when it is read again. No effect on other jobs. */
gboolean sch_parked_load_progress(struct sch *s, struct sch_job *job,
				  const struct Rp__StepProgress *progress);
/** The job is parked no longer; returns FALSE if it was not. */
gboolean sch_parked_remove(struct sch *s, struct sch_job *job);
/** Reads the next parked job if there is room for it. */
void sch_parked_tick(struct sch *s);

/* record.c */
/** Returns the specification in a job's record, or NULL if it is not valid. */
struct Rp__StepJob *sch_record_read_job(GBytes *record);
GBytes *sch_record_job(const struct sch_job *job);
GBytes *sch_record_progress(const struct sch_job *job);

/* admission.c */
/** Counts a job that ended. */
void sch_drain_add(struct sch_drain *drain, gint64 now_ms);
double sch_drain_per_s(const struct sch_drain *drain, gint64 now_ms);
/** Retry-After of a refusal when used of bound is in use and per_s becomes free
 * in a second; spread is any number that differs between callers. */
guint sch_admission_retry_after_s(guint64 used, guint64 bound, double per_s,
				  guint spread);
void sch_admission_add(struct sch *s, struct sch_job *job);
void sch_admission_remove(struct sch *s, struct sch_job *job);
/** Returns 0 if the new job is accepted, else the Retry-After of its refusal.
 */
guint sch_admission_check(struct sch *s, const char *id,
			  const struct Rp__StepJob *spec);

/* call.c */
void sch_call(struct sch *s, guint64 call_ref, const struct Rp__StepCall *call);
/** Answers calls that waited for the job's change, which is now durable. */
void sch_call_committed(struct sch *s, struct sch_job *job);
/** Answers pending calls whose deadline has passed. */
void sch_call_expire(struct sch *s);
/** Notes whether calls can be accepted now; returns TRUE if so. */
gboolean sch_call_check_outage(struct sch *s);

#endif
