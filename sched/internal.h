#ifndef SCHED_INTERNAL_H
#define SCHED_INTERNAL_H

#include <string.h>

#include "../colo/colo.h"
#include "sched.h"

/** Runs of one task at a time; the second is a speculative copy. */
#define SCH_MAX_COPIES 2

/** Bounds on what a caller submits. */
#define SCH_MAX_STEPS 64
#define SCH_MAX_REPLICAS 4096
#define SCH_MAX_TASKS 16384
#define SCH_MAX_OCCURRENCES 100000
#define SCH_MAX_PAYLOAD_BYTES 4000

/** Longest lease that a worker takes, whatever it is told, and the time that
 * an order to an incarnation that has ended may be under way. */
#define SCH_LONGEST_LEASE_MS 10000
#define SCH_ORDER_MS 1500

/** A worker that was born longer ago has long been known to its agent. */
#define SCH_YOUNG_MS 15000

/** A worker whose agent has not reported for so long gets no new tasks. */
#define SCH_FRESH_MS 2500

struct sch_amount {
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 accelerators;
};

/** Images that fill on one VM; more are counted together with the last. */
#define SCH_MAX_FILLS 16

/** What an image that fills does to a serving image on a VM. */
struct sch_fill_stretch {
	double slope;
	double stretch;
};

/** Stretch that a serving image on a VM can take. */
struct sch_image_room {
	guint image;
	double room;
	/** By the images that fill there. */
	struct sch_fill_stretch fills[SCH_MAX_FILLS];
};

/** Room on a VM for more tasks that fill. */
struct sch_room {
	gboolean valid;
	/** Processors that neither serving nor filling tasks take. */
	double unused_cpus;
	guint n_fills;
	/** Of struct sch_image_room, one for each image that serves. */
	GArray *images;
};

/** A worker, and the VM that it runs on. */
struct sch_vm {
	/** Of the agent. */
	char *name;
	gboolean connected;
	/** Incarnation of the worker: its id and the time of its start. */
	char *worker_id;
	guint64 born_ms;
	/** When this incarnation was first heard of, or the election if it was
	 * young then; 0 if it was not. */
	gint64 incarnation_ms;
	/** The agent has described this incarnation to this leader. */
	gboolean known;
	/** Lists of this incarnation were read under this fence and connection.
	 */
	gboolean synced;
	/** They were read under this fence, so no earlier leader is obeyed. */
	gboolean adopted;
	char *pool;
	char *rack;
	GPtrArray *labels;
	struct sch_amount capacity;
	/** Committed by runs, those that are being stopped included. */
	struct sch_amount used;
	/** Number of the last change that may let more tasks start here. */
	guint64 changed;
	/** Room for tasks that fill; computed again after a change. */
	struct sch_room room;
	gboolean draining;
	/** End of the drain, boot clock; 0 if not told. */
	gint64 leaves_ms;
	/** Reading of the worker's clock and when it arrived here. */
	gint64 clock_ms;
	gint64 clock_at_ms;
	/** Latest lease granted, worker's clock; 0 for none. */
	gint64 lease_until_ms;
	gint64 report_ms;
	/** How long the worker has not answered its agent, when reported. */
	gint64 silent_ms;
	/** Runs of this incarnation; owned. */
	GPtrArray *runs;
	/** Listed runs that no record names, by name; they are stopped. */
	GHashTable *strangers;
	/** Ends that are not durable yet: struct sch_end. */
	GQueue ends;
	guint64 ended_seen;
	guint64 ended_through;
	/** Orders to send: runs to start; struct sch_run_ref to stop. */
	GPtrArray *starts;
	GPtrArray *stops;
	gboolean ack_due;
	gint64 orders_ms;
	/** Faults in a row, of distinct jobs, and until when it is avoided. */
	guint faults;
	struct sch_job *fault_job;
	gint64 avoid_until_ms;
	/** When it was last found to be avoided. */
	gint64 avoid_from_ms;
	/** Time that tasks take relative to others of their step; 1 is usual.
	 */
	double slowness;
	gint64 slowness_ms;
};

/** An end of a run, and the change of records that makes it durable. */
struct sch_end {
	guint64 number;
	guint64 change;
};

struct sch_run_ref {
	char *task;
	guint32 attempt;
};

enum sch_run_state {
	/** Chosen, the record is not durable. */
	SCH_RUN_PLANNED,
	/** The record is durable and the start is ordered. */
	SCH_RUN_ORDERED,
	SCH_RUN_RUNNING,
};

struct sch_run {
	/** Name of the task. */
	char *name;
	struct sch_task *task;
	struct sch_vm *vm;
	guint32 attempt;
	enum sch_run_state state;
	/** Its record is in the transaction under way. */
	gboolean committing;
	gboolean stopping;
	/**
	 * It was ordered to an earlier incarnation of the worker. The agent may
	 * have sent it to this one before it knew.
	 */
	gboolean orphan;
	/** The worker refuses the start as outdated; its end may be listed. */
	gboolean outdated;
	/** Lists that came since it is outdated. */
	guint outdated_lists;
	gint64 state_ms;
	guint percent;
	/** When percent last grew. */
	gint64 percent_ms;
	guint first_percent;
	gint64 first_percent_ms;
	/** Amount taken on the VM. */
	struct sch_amount taken;
	/** Of a task that serves: its latency in ms, and when it was last
	 * reported. */
	struct colo_latency_state serving;
	guint figure;
	gint64 figure_ms;
	/** Processors that a task that fills uses now, and when it last had a
	 * fair part of what it declared. */
	double cpus;
	gint64 fair_ms;
};

struct sch_task {
	struct sch_job *job;
	struct sch_phase *phase;
	guint32 index;
	gboolean done;
	guint32 attempts;
	guint32 failures;
	char *checkpoint;
	struct sch_run *runs[SCH_MAX_COPIES];
	guint n_runs;
	/** VM of the last failed run. */
	char *failed_vm;
};

/** A step in one occurrence of a job. */
struct sch_phase {
	struct sch_job *job;
	const struct Rp__StepSpec *step;
	guint32 occurrence;
	guint32 number;
	struct sch_task *tasks;
	guint n_tasks;
	guint n_done;
	/** Tasks that have neither ended nor a run. */
	guint n_idle;
	/** When the step could first run; 0 if it cannot yet. */
	gint64 ready_ms;
	/** Mean duration of its tasks that ended, and their count. */
	double mean_ms;
	guint n_timed;
	/** Longest chain of work from here to the job's end. */
	gint64 chain_ms;
	/** Number of the step's image. */
	guint image;
	/** Failed runs of all its tasks. */
	guint failures;
	/** When all workers were last tried in vain, and the number of the
	 * change of a worker up to which they were tried. */
	gint64 tried_ms;
	guint64 tried_change;
};

struct sch_occurrence {
	struct sch_phase *phases;
	gint64 due_unix_ms;
	/** When it came due, boot clock; 0 if it has not yet. */
	gint64 due_ms;
	guint phases_left;
};

/** A call that is answered once a change is durable. */
struct sch_waiter {
	guint64 call_ref;
	Rp__StepVerb verb;
	/** Its answer is unknown from then on. */
	gint64 until_ms;
};

struct sch_job {
	char *id;
	char *queue;
	/** NULL once only the state is kept. */
	struct Rp__StepJob *spec;
	Rp__JobState state;
	/** What callers may be told: the state that is durable. */
	Rp__JobState shown;
	struct sch_occurrence *occurrences;
	guint n_occurrences;
	guint occurrences_left;
	guint n_runs;
	/** Longest chain of work of one occurrence, ms. */
	gint64 chain_ms;
	/** A task has begun on a worker, as far as is known. */
	gboolean started;
	/** A run was chosen, so there is progress to write. */
	gboolean progressed;
	gint64 accepted_ms;
	gint64 ended_unix_ms;
	/** The job's record exists in the store. */
	gboolean stored;
	/** The record was sent to the store at least once. */
	gboolean sent;
	gboolean committing;
	/** Its retention is over; it goes with the next transaction. */
	gboolean forgotten;
	/** Number of the change that waits to be written; 0 for none. */
	guint64 change;
	gboolean urgent;
	/** Number of the change, and the state, in the transaction under way.
	 */
	guint64 committing_change;
	Rp__JobState committing_state;
	/** Of struct sch_waiter. */
	GArray *waiters;
};

/** Durations learned of a queue's tasks. */
struct sch_demand {
	/** Mean duration of a task, and mean error of what is declared. */
	double mean_ms;
	double error;
	guint n_timed;
};

/** A worker that has room for a step's tasks, and how well it suits them. */
struct sch_fit {
	struct sch_vm *vm;
	/** Lower is better. */
	double points;
};

struct sch {
	struct sch_options options;
	gint64 now_ms;
	gint64 unix_ms;
	gint64 elected_ms;
	gint64 proved_ms;
	GPtrArray *queues;
	/** Name to struct sch_queue of queues. */
	GHashTable *queue_names;
	/** id to struct sch_job; owned. */
	GHashTable *jobs;
	/** Jobs that have not ended, in the order of acceptance. */
	GPtrArray *active;
	/** name to struct sch_vm; owned. */
	GHashTable *vms;
	/** Queue's name to struct sch_demand. */
	GHashTable *demands;
	struct colo_table *colo;
	/** Processors that filling tasks get, of what they declare; a mean. */
	double fill_pace;
	/** Jobs with changes to write, oldest change first. */
	GQueue dirty;
	/** Of these, jobs whose callers or tasks wait for the write. */
	GQueue urgent;
	guint64 next_change;
	/** Jobs in the transaction under way, or NULL. */
	GPtrArray *commit;
	gint64 commit_ms;
	gint64 committed_ms;
	/** Ended jobs whose last run may be over. */
	GPtrArray *closing;
	/** Ended jobs in the order of their ends, for retention. */
	GQueue ended;
	gboolean place_due;
	gint64 placed_ms;
	/** Number of the last change of a worker. */
	guint64 changes;
	/** Workers that have room for the step at hand: struct sch_fit. */
	GArray *fits;
	/** Calls that wait for a write. */
	guint n_waiters;
	gint64 moved_ms;
	GArray *effects;
	struct sch_stats stats;
};

/* sched.c */
/** Counts a time in a histogram. */
void sch_observe(guint64 *buckets, gint64 ms);
struct sch_effect *sch_effect_add(struct sch *s, enum sch_effect_kind kind);
void sch_reply(struct sch *s, guint64 call_ref, guint status,
	       Rp__JobState state, guint waiting, guint retry_after_s);

/* queue.c */
/** Returns the queue of a call and where the rest of its path begins. */
struct sch_queue *sch_queue_route(const struct sch *s, const char *host,
				  const char *path, const char **rest);
struct sch_queue *sch_queue_find(const struct sch *s, const char *name);
struct sch_demand *sch_demand(struct sch *s, const char *queue);
/** Notes how long a task took. */
void sch_demand_sample(struct sch_demand *demand, gint64 declared_ms,
		       double took_ms);
/** Duration to expect of a task of the queue. */
gint64 sch_demand_expect_ms(const struct sch_demand *demand,
			    gint64 declared_ms);

/* job.c */
/** Takes spec. */
struct sch_job *sch_job_new(struct sch *s, const char *id,
			    struct Rp__StepJob *spec);
void sch_job_free(struct sch_job *job);
/** Returns NULL if the specification can be taken, or what is wrong. */
const char *sch_job_check(const struct Rp__StepJob *spec);
gboolean sch_job_has_ended(const struct sch_job *job);
struct sch_task *sch_job_task(struct sch *s, const char *name,
			      struct sch_job **job);
/** Makes steps ready whose turn has come. */
void sch_job_advance(struct sch *s, struct sch_job *job);
/** Ends the job: stops all its runs. */
void sch_job_end(struct sch *s, struct sch_job *job, Rp__JobState state);
/** Closes jobs that have ended and of which nothing runs any more. */
void sch_job_close_ended(struct sch *s);
/** Calls fn for each task of the job whose occurrence has come. */
void sch_job_foreach_task(const struct sch_job *job,
			  void (*fn)(void *ctx, struct sch_task *task),
			  void *ctx);
/** Stops all runs of the job. */
void sch_job_stop_runs(struct sch *s, struct sch_job *job);
void sch_task_set_checkpoint(struct sch_task *task, const char *checkpoint);

/* run.c */
struct sch_run *sch_run_new(struct sch *s, struct sch_task *task,
			    struct sch_vm *vm, guint32 attempt);
/** Removes a run that certainly is over or never was. */
void sch_run_remove(struct sch *s, struct sch_run *run);
void sch_run_free(struct sch_run *run);
void sch_run_stop(struct sch *s, struct sch_run *run);
/** Stops the members of a gang, but for one run that may be NULL. */
void sch_run_stop_gang(struct sch *s, struct sch_phase *phase,
		       const struct sch_run *except);
void sch_run_order(struct sch *s, struct sch_run *run);
/** Takes note that the worker has begun the run. */
void sch_run_began(struct sch *s, struct sch_run *run);
struct sch_run *sch_run_find(const struct sch_vm *vm, const char *task,
			     guint32 attempt);
/** Takes note of an end that the worker lists. */
void sch_run_ended(struct sch *s, struct sch_vm *vm,
		   const struct Rp__RunEnd *end);

/* vm.c */
struct sch_vm *sch_vm_get(struct sch *s, const char *name);
void sch_vm_free(struct sch_vm *vm);
void sch_vm_up(struct sch *s, const char *name);
void sch_vm_down(struct sch *s, const char *name);
void sch_vm_report(struct sch *s, const char *name,
		   const struct Rp__VmReport *report);
/** Begins another incarnation of the worker; its runs are orphans then. */
void sch_vm_set_incarnation(struct sch *s, struct sch_vm *vm,
			    const char *worker_id, guint64 born_ms);
/** Loses the runs of workers whose leases have certainly ended. */
void sch_vm_expire(struct sch *s);
void sch_vm_send_orders(struct sch *s);
gboolean sch_vm_is_usable(const struct sch *s, const struct sch_vm *vm);
/** Orders the worker to stop a run, known here or not. */
void sch_vm_order_stop(struct sch_vm *vm, const char *task, guint32 attempt);
/** Notes that more tasks may start on the worker than before. */
void sch_vm_changed(struct sch *s, struct sch_vm *vm);
gboolean sch_vm_has_label(const struct sch_vm *vm, const char *label);
/** Takes note of a fault of the worker, with a run that began at begun_ms. */
void sch_vm_fault(struct sch *s, struct sch_vm *vm, struct sch_job *job,
		  gint64 begun_ms);
void sch_vm_clear_faults(struct sch_vm *vm);

/* order.c */
enum sch_urgency {
	SCH_URGENCY_IN_TIME,
	SCH_URGENCY_LATE,
	/** Tasks that last keep their room for long, so short ones go first. */
	SCH_URGENCY_LASTS,
	SCH_URGENCY_HOPELESS,
};

/** A step with tasks that could start. */
struct sch_candidate {
	struct sch_phase *phase;
	const struct sch_queue *queue;
	enum sch_urgency urgency;
	gint64 order;
};

/** Steps with idle tasks, the most urgent first; struct sch_candidate. */
GArray *sch_order(struct sch *s);

/* place.c */
void sch_place(struct sch *s);
/** Plans a copy of the run's task on another worker, if one has room. */
void sch_place_copy(struct sch *s, struct sch_run *run);
/** TRUE if another worker would let the run's task have the share. */
gboolean sch_place_has_better(struct sch *s, const struct sch_run *run,
			      double share);

/* interfere.c */
/** Learns from the figures of a list. */
void sch_interfere_learn(struct sch *s, struct sch_vm *vm,
			 const struct Rp__VmReport *report);
/** Takes over what an agent learned under earlier leaders. */
void sch_interfere_take(struct sch *s, const struct Rp__VmReport *report);
/** What a task that fills would take of what is left on a VM; 1 is all. */
struct sch_fill_demand {
	/** Of the processors. */
	double cpu;
	/** Of the stretch that the serving image with the least room takes. */
	double stretch;
	/** Share of its pace, 0 to 1, that it could have. */
	double share;
};

void sch_interfere_demand(struct sch *s, struct sch_vm *vm,
			  const struct sch_phase *phase,
			  struct sch_fill_demand *demand);
void sch_interfere_clear(struct sch_vm *vm);
/** Adds the slopes of the images on the VM. */
void sch_interfere_tell(struct sch *s, const struct sch_vm *vm,
			struct Rp__VmOrders *orders);

/* move.c */
/** Stops runs that are better off elsewhere. */
void sch_move(struct sch *s);
/** Stops as many less urgent runs as the step's idle tasks need. */
void sch_preempt(struct sch *s, const struct sch_phase *phase,
		 guint32 priority);

/* commit.c */
void sch_job_dirty(struct sch *s, struct sch_job *job);
/** As sch_job_dirty(), and something waits for the write. */
void sch_job_urgent(struct sch *s, struct sch_job *job);
void sch_commit_start(struct sch *s);
void sch_commit_done(struct sch *s);
void sch_commit_deposed(struct sch *s);
/** Refuses what was never sent while the store does not answer. */
void sch_commit_check(struct sch *s);

/* record.c */
GBytes *sch_record_job(const struct sch_job *job);
GBytes *sch_record_progress(const struct sch_job *job);

/* call.c */
void sch_call(struct sch *s, guint64 call_ref, const struct Rp__StepCall *call);
void sch_call_committed(struct sch *s, struct sch_job *job);
void sch_call_expire(struct sch *s, struct sch_job *job);

#endif
