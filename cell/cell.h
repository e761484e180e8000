#ifndef CELL_H
#define CELL_H

#include <event2/event.h>
#include <glib.h>

#include "../kv/kv.h"
#include "../obs/obs.h"
#include "../runs/runs.h"
#include "../sched/sched.h"

/*
 * I/O layer of both programs for jobs of steps: entries elect a leader through
 * the key-value store, and agents accept its orders.
 *
 * Each process registers its address in the store. The leader reads these
 * addresses and connects to every process; entries forward their callers' calls
 * to it, agents forward its orders to their workers. A process accepts only the
 * leader with the highest fencing token that it has seen.
 */

/** Key held by the leader; its mod revision is the fencing token. */
#define CELL_LEADER_KEY "radishpier/leader"
/** Key that each transaction of the leader compares and writes, so that it
 * commits only directly after the previous one. */
#define CELL_COMMIT_KEY "radishpier/step-commit"
/** Prefix of the commit key and of all records. */
#define CELL_RECORDS_PREFIX "radishpier/step-"
/** Prefix of the addresses of processes; the name of the VM follows. */
#define CELL_NODE_PREFIX "radishpier/node/"

/** Reads the configuration tables; returns a new array of struct sch_queue that
 * the caller takes over, or NULL with error set. */
typedef GPtrArray *(*cell_tables_fn)(void *ctx, GBytes *document,
				     GError **error);

/** Receives the answer to a call; reply is only valid during this call. */
typedef void (*cell_reply_fn)(void *ctx, const struct Rp__StepReply *reply);

struct cell_entry_options {
	struct event_base *base;
	/** Belongs to the caller. */
	struct kv *kv;
	struct obs_metrics *metrics;
	/** Unique name of this process's VM; copied. */
	const char *name;
	/** IP:PORT on which other processes connect; copied. */
	const char *listen;
	/** Key of the configuration tables; copied. */
	const char *tables_key;
	/**
	 * Prefix of the keys of evacuated zones, which end with the zone's
	 * name, and a common prefix of these and the tables' key, which is
	 * watched in place of the latter. Both are copied; NULL if zones cannot
	 * be evacuated.
	 */
	const char *evacuations_prefix;
	const char *watched_prefix;
	/** As in struct sch_options. */
	gint64 evacuation_ms;
	guint lost_zones;
	cell_tables_fn read_tables;
	void *ctx;
	/** Maximum number of operations of a transaction, with comparisons. */
	guint max_txn_ops;
	/** CPU limit of this process, thousandths of a core; 0 if not known.
	 * Entries with more are preferred as leader. */
	guint cpu_milli;
};

struct cell_entry;

/** Returns NULL with error set if it cannot listen on the address. */
struct cell_entry *cell_entry_new(const struct cell_entry_options *options,
				  GError **error);
void cell_entry_free(struct cell_entry *entry);

/**
 * Passes a call to the leader, in this or another process; call belongs to the
 * caller. fn is called once, possibly before this returns.
 */
void cell_entry_call(struct cell_entry *entry, const struct Rp__StepCall *call,
		     cell_reply_fn fn, void *ctx);

/** TRUE if calls can be served: this process leads and has tables, or the
 * leader is connected. FALSE while draining. */
gboolean cell_entry_is_ready(const struct cell_entry *entry);

/** Resigns and does not campaign again; calls are still forwarded. */
void cell_entry_drain(struct cell_entry *entry);

/** Updates the metrics given in the options. */
void cell_entry_update_metrics(struct cell_entry *entry);

/** Calls that the leader, of this or another process, has not answered yet. */
guint cell_entry_pending_calls(const struct cell_entry *entry);

/** Sends a call to the worker; its outcome is reported with
 * cell_agent_worker_answered(). call is only valid during this call. */
typedef void (*cell_worker_fn)(void *ctx, const struct runs_call *call);

struct cell_agent_options {
	struct event_base *base;
	struct kv *kv;
	struct obs_metrics *metrics;
	/** These two as in struct cell_entry_options. */
	const char *name;
	const char *listen;
	cell_worker_fn call_worker;
	void *ctx;
};

struct cell_agent;

/** Returns NULL with error set if it cannot listen on the address. */
struct cell_agent *cell_agent_new(const struct cell_agent_options *options,
				  GError **error);
void cell_agent_free(struct cell_agent *agent);

/** To be called with each description that the worker sends. */
void cell_agent_set_worker(struct cell_agent *agent,
			   const struct Rp__WorkerInfo *worker);
/** To be called when the worker has deregistered; started_ms is its start time,
 * Unix time, 0 if not reported. */
void cell_agent_worker_deregistered(struct cell_agent *agent,
				    const char *worker_id, guint64 started_ms);
/** To be called with the outcome of each call to the worker. */
void cell_agent_worker_answered(struct cell_agent *agent,
				const struct runs_answer *answer);

#endif
