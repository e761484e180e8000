#ifndef RIG_H
#define RIG_H

/*
 * What the scripts of this review share: a stand-in for the platform's store,
 * stand-ins for workers, a client, and the processes of the project, which are
 * started with the commands of deploy/system.toml. All of it uses loopback
 * addresses. Everything but the project's processes runs in one event loop.
 */

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <sys/types.h>

#define RIG_HOST "fairs.example"
#define RIG_POOL "pool-a"

/* ---- the rig itself ---- */

/** Reads TROUBLE, changes to the repository's root and opens the record; exits
 * with 2 on failure. dir is the folder of the case. */
void rig_init(const char *dir);
extern struct event_base *rig_base;
/** FALSE with TROUBLE=0. */
extern gboolean rig_trouble;
/** Milliseconds since rig_init(). */
gint64 rig_ms(void);
/** Adds a line to record.txt. */
void rig_log(const char *format, ...) G_GNUC_PRINTF(1, 2);
/** Runs the event loop for this time. */
void rig_run(gint64 ms);
/** Runs the event loop until done(ctx) or for this time; TRUE if done. */
gboolean rig_wait(gboolean (*done)(void *ctx), void *ctx, gint64 ms);
/** Ends all processes, and exits: 1 if the rule was broken, 0 if it held, 2 if
 * the case could not run. */
void rig_exit(int status, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** A free port of the address. */
int rig_port(const char *ip);

/* ---- the store ---- */

/** Starts the store of the platform. */
void rig_store_start(void);
/** Writes a key as the operator does. Returns the revision. */
gint64 rig_store_put(const char *key, const char *value);
/** Number of answers to transactions with this status. */
guint rig_store_txns(int status);

/** A route of op/config. */
struct rig_route {
	const char *name;
	const char *prefix;
	int priority;
	int max_attempts;
};
/** Puts a configuration in force that has these routes, all of them to
 * RIG_POOL. */
void rig_config(int version, const struct rig_route *routes, guint n);

/* ---- the project's processes ---- */

enum rig_role {
	RIG_ENTRY,
	RIG_AGENT
};

struct rig_process {
	enum rig_role role;
	char *name;
	char *ip;
	int ports[4];
	/** Of an agent. */
	struct rig_worker *worker;
	char *settings;
	pid_t pid;
	/** How often it ended without being told to. */
	guint ends;
	/** Highest resident memory seen, MB. */
	guint peak_mb;
	/** The platform kills a process above this; 0 for no limit. */
	guint memory_mb;
	/** Share of a core as a quota: a process that has used this part of a
	 * tenth of a second is stopped for the rest of it; 0 for no limit. */
	double cpu_share;
	/** Processor time at the start of this tenth of a second, ns. */
	gint64 quota_from_ns;
	gint64 quota_ms;
	gboolean stopped;
	/** Restarted at this time, rig_ms(); 0 for no. */
	gint64 restart_ms;
	/** The rig ended it. */
	gboolean told;
};

struct rig_process *rig_entry_start(int number, guint memory_mb);
struct rig_process *rig_agent_start(int number, struct rig_worker *worker);
/** SIGKILL; it is started again after restart_ms, or not if negative. */
void rig_kill(struct rig_process *process, gint64 restart_ms);
/** Waits until an entry is ready, else exits with 2. */
void rig_wait_ready(struct rig_process *entry, gint64 ms);
/** TRUE if the readiness check was answered with 200 within a second. */
gboolean rig_is_ready(struct rig_process *entry);

/* ---- workers ---- */

struct rig_worker;

/** A worker with these resources. Its agent listens where the settings say. */
struct rig_worker *rig_worker_new(int number, int cpu, int mem_mb);
/** Sets the first label of its report, else "a". */
void rig_worker_set_kind(struct rig_worker *worker, const char *kind);
/** From now on the worker is this many times as slow (1: usual). */
void rig_worker_slow(struct rig_worker *worker, double factor);
/** From now on runs end as failed after this time; 0: no more. */
void rig_worker_fail_after(struct rig_worker *worker, gint64 ms);
const char *rig_worker_id(const struct rig_worker *worker);
/** Resources that its runs take now, thousandths of a core; worker NULL: all
 * workers together. */
int rig_used(const struct rig_worker *worker);
/** What a run of a task did. */
struct rig_run {
	char *task;
	int attempt;
	struct rig_worker *worker;
	gint64 started_ms;
	/** 0 while it runs. */
	gint64 ended_ms;
	/** done, failed, stopped, lapsed, broken, alone; NULL while it runs. */
	const char *how;
};

/** All runs so far: struct rig_run. */
extern GPtrArray *rig_runs;
/** Runs of a job, by its id, that ended so; how NULL: that run now; "": all
 * starts. */
guint rig_count(const char *job, const char *how);

/* ---- clients ---- */

struct rig_call {
	/** 0 while there is no answer, -1 if it was broken off or is too late.
	 */
	int status;
	char *body;
	/** Of the answer's Retry-After; 0 without one. */
	gint64 retry_after_ms;
	gint64 sent_ms;
	gint64 answered_ms;
};

/** Sends a call of a client to an entry; it waits deadline_ms for the answer.
 * What it does on the wire is written to the record. */
struct rig_call *rig_send(struct rig_process *entry, const char *method,
			  const char *path, json_t *body, gint64 deadline_ms);
/** Sends a call and waits for its answer; returns the status. */
int rig_call(struct rig_process *entry, const char *method, const char *path,
	     json_t *body, gint64 deadline_ms, char **answer);
/** Submits a job, as often as needed within tries, as the pages tell clients;
 * TRUE if it was accepted. Takes over job. */
gboolean rig_submit(struct rig_process **entries, guint n_entries,
		    const char *prefix, const char *id, json_t *job,
		    guint tries);
/** State of a job as shown by the entry; "" if there is no answer with one. */
char *rig_state(struct rig_process *entry, const char *prefix, const char *id);
/** Tells the workers what a job's tasks do: each works for work_ms and uses cpu
 * thousandths of a core; gang_size is 0 if it is not a gang. */
void rig_describe(const char *id, gint64 work_ms, int gang_size, int cpu);

/** A job that was accepted, and that nobody cancels. */
struct rig_accepted {
	const char *id;
	/** Of all its steps. */
	guint n_tasks;
	/** Of the tasks whose turn comes together. */
	int cpu;
	/** The one worker that may run it; NULL: any. */
	struct rig_worker *worker;
};

/**
 * The rule LOST on a job each of whose steps has its turn when the one before
 * has ended: waits until finish_s after the end of the traffic, watches for
 * watch_ms and returns the longest time in which the job had nothing running
 * though it is not done, there was capacity for the tasks twice over on one
 * worker that may run them, and under half of the service's capacity was in
 * use. Over 3 s the rule is broken.
 */
gint64 rig_lost_ms(const struct rig_accepted *job, gint64 traffic_end_ms,
		   gint64 watch_ms);
#define RIG_LOST_MS 3000
/** Asks all entries for the state of the job, tries times in turn; returns how
 * often one was given. */
guint rig_ask(struct rig_process **entries, guint n_entries, const char *prefix,
	      const char *id, guint tries);

#endif
