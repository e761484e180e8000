#ifndef CELL_H
#define CELL_H

#include <event2/event.h>
#include <glib.h>

#include "../kv/kv.h"
#include "../obs/obs.h"
#include "../runs/runs.h"
#include "../sched/sched.h"

/*
 * The shells of both programs for jobs of steps: entries that elect a leader
 * through the platform's service, and agents that obey it.
 *
 * Each process registers its address in the service once. The leader reads the
 * addresses and dials every process; entries pass their callers' calls to it,
 * agents its orders to their workers. A process obeys the highest fence that
 * it has seen.
 */

/** Keys in the platform's service. */
#define CELL_LEADER_KEY "radishpier/leader"
#define CELL_COMMIT_KEY "radishpier/step-commit"
/** Of the commit key and all records. */
#define CELL_RECORDS_PREFIX "radishpier/step-"
#define CELL_NODE_PREFIX "radishpier/node/"

/** Reads the operators' table; returns queues, or NULL with error set. */
typedef GPtrArray *(*cell_tables_fn)(void *ctx, GBytes *document,
				     GError **error);

/** Answers a call; reply is valid in the call. */
typedef void (*cell_reply_fn)(void *ctx, const struct Rp__StepReply *reply);

struct cell_entry_options {
	struct event_base *base;
	/** Belongs to the caller. */
	struct kv *kv;
	struct obs_metrics *metrics;
	/** Unique name of this process's VM; copied. */
	const char *name;
	/** IP:PORT for frames of other processes; copied. */
	const char *listen;
	/** Key of the operators' table; copied. */
	const char *tables_key;
	cell_tables_fn read_tables;
	void *ctx;
	/** Most operations of a transaction, its comparisons included. */
	guint max_txn_ops;
};

struct cell_entry;

struct cell_entry *cell_entry_new(const struct cell_entry_options *options,
				  GError **error);
void cell_entry_free(struct cell_entry *entry);

/**
 * Passes a call to the leader, wherever it is; call belongs to the caller. fn
 * is called once, maybe before this returns.
 */
void cell_entry_call(struct cell_entry *entry, const struct Rp__StepCall *call,
		     cell_reply_fn fn, void *ctx);

/** TRUE if calls can be served: a leader is in touch. */
gboolean cell_entry_is_ready(const struct cell_entry *entry);

/** Resigns as leader and does not stand again; calls are still passed on. */
void cell_entry_drain(struct cell_entry *entry);

/** Brings the metrics of the options up to date. */
void cell_entry_update_metrics(struct cell_entry *entry);

guint cell_entry_pending_calls(const struct cell_entry *entry);

/** Carries a call to the worker; cell_agent_worker_answered() ends it. */
typedef void (*cell_worker_fn)(void *ctx, const struct runs_call *call);

struct cell_agent_options {
	struct event_base *base;
	struct kv *kv;
	struct obs_metrics *metrics;
	const char *name;
	const char *listen;
	cell_worker_fn call_worker;
	void *ctx;
};

struct cell_agent;

struct cell_agent *cell_agent_new(const struct cell_agent_options *options,
				  GError **error);
void cell_agent_free(struct cell_agent *agent);

/** To be called when the worker has described itself. */
void cell_agent_set_worker(struct cell_agent *agent,
			   const struct Rp__WorkerInfo *worker);
void cell_agent_worker_deregistered(struct cell_agent *agent,
				    const char *worker_id);
void cell_agent_worker_answered(struct cell_agent *agent,
				const struct runs_answer *answer);

#endif
