#ifndef STANDIN_SITE_H
#define STANDIN_SITE_H

#include <glib.h>
#include <jansson.h>
#include <sys/types.h>

#include "standin/client.h"

/*
 * A small site of real processes on loopback, for the demo and tests: the
 * stand-in for the platform's key-value store, entries, and VMs with a worker,
 * an upstream and an agent each. They are children of the calling process,
 * which signals them by process id. Processes of one kind are numbered from 0.
 */

enum site_kind {
	SITE_PLATFORM,
	SITE_ENTRY,
	SITE_WORKER,
	SITE_UPSTREAM,
	SITE_AGENT,
	/** Relay of agent i / entries to entry i % entries. */
	SITE_RELAY,
	SITE_KINDS,
};

struct site_options {
	/** Build folder with bin/; NULL means RP_BUILD or else "build". */
	const char *build;
	unsigned entries;
	unsigned vms;
	/** Zone names, NULL-terminated; assigned to entries and VMs in turn. */
	const char *const *zones;
	/** Contents of the two tables, as YAML. */
	const char *routes;
	const char *pools;
	/** Pools that every VM serves, as a YAML list. */
	const char *vm_pools;
	/** Request slots of each VM. */
	unsigned slots;
	/** Default service time of the upstreams. */
	unsigned service_ms;
	/** Capacity of each VM for tasks. */
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 accelerators;
	/** Connect agents to entries through relays, which can cut links. */
	gboolean relays;
};

struct site;

/**
 * Creates the site's folder, addresses and settings without starting a process;
 * aborts on an error. options' pointers must stay valid.
 */
struct site *site_new(const struct site_options *options);

/** Kills all processes and removes the folder, unless RP_KEEP is set. */
void site_free(struct site *site);

/**
 * Applies the tables and starts all processes. Returns 0, or -1 if one is not
 * ready within 15 s.
 */
int site_start(struct site *site);

/** Starts a process that is not running. */
void site_start_process(struct site *site, enum site_kind kind, unsigned i);

/** Signals a running process; after SIGKILL also waits until it has ended. */
void site_signal(struct site *site, enum site_kind kind, unsigned i, int sig);

/**
 * Waits until the process exits. Returns its exit code, 128 if a signal ended
 * it, or -1 on timeout or if it was not running.
 */
int site_wait_exit(struct site *site, enum site_kind kind, unsigned i,
		   unsigned timeout_ms);

/** Kills a VM's worker, upstream and agent, and records its tasks as ended. */
void site_kill_vm(struct site *site, unsigned i);

/** Returns the address for callers or clients; owned by the site. */
const char *site_address(const struct site *site, enum site_kind kind,
			 unsigned i);
/**
 * Returns the operator address of an entry or agent, or the control address of
 * a relay; owned by the site.
 */
const char *site_operator_address(const struct site *site, enum site_kind kind,
				  unsigned i);
/** Returns the process id, or 0 if the process is not running. */
pid_t site_pid(const struct site *site, enum site_kind kind, unsigned i);

/** Runs "radishpier apply" with these tables; returns its exit code. */
int site_apply(struct site *site, const char *routes, const char *pools,
	       const char *author);

/**
 * Runs "radishpier" with NULL-terminated arguments; returns its exit code. Sets
 * *output, unless output is NULL, to its output, freed by the caller.
 */
int site_cli(struct site *site, char **output, const char *const *args);

/** Sets a stand-in's faults by JSON, as its POST /fault; -1 on failure. */
int site_fault(struct site *site, enum site_kind kind, unsigned i,
	       const char *json);

/** Returns the JSON of GET /status, or NULL; released by the caller. */
json_t *site_status(struct site *site, enum site_kind kind, unsigned i);

/** Returns the generation of the tables in force at an entry or agent. */
json_int_t site_generation(struct site *site, enum site_kind kind, unsigned i);

/** Waits until GET path is answered with 200; returns -1 on timeout. */
int site_wait_http(const char *address, const char *path, unsigned timeout_ms);

/**
 * Submits a job of 1 CPU and 1 MiB through an entry. Returns the HTTP status,
 * or 0 without an answer. key may be NULL. Sets *id, unless id is NULL, to the
 * job's id, freed by the caller.
 */
long site_submit(struct site *site, unsigned entry, const char *key,
		 const char *kind, const char *payload, char **id);

/**
 * Returns a job's state from an entry, such as "done", or NULL without an
 * answer; freed by the caller.
 */
char *site_job_state(struct site *site, unsigned entry, const char *id);

/**
 * Waits until the job's state at a running entry is one of states, separated by
 * "|"; returns -1 on timeout.
 */
int site_wait_job(struct site *site, const char *id, const char *states,
		  unsigned timeout_ms);

/** Counts from the records of all workers and upstreams. */
struct site_check {
	/** Jobs with two executions at the same time. */
	unsigned overlapping;
	/** Jobs that finished more than once. */
	unsigned finished_twice;
	/** Jobs that finished at least once. */
	unsigned finished;
	/** Request tags recorded more than once, by one or several upstreams.
	 */
	unsigned requests_repeated;
	unsigned requests_ran;
	/** Requests that made an upstream exceed its slots. */
	unsigned over_slots;
};

/** Reads the records of all workers and upstreams. */
void site_check(struct site *site, struct site_check *check);

/** Executions of one job, from the records of all workers. */
struct site_job {
	unsigned executions;
	unsigned finishes;
	/** Sum of the times of all executions. */
	gint64 executed_ms;
	/** End of the last execution by the boot clock, or G_MAXINT64. */
	gint64 end_ms;
};

/** Reads the records of one job. */
void site_check_job(struct site *site, const char *id, struct site_job *check);

/** Returns the set of the tags that upstreams recorded; new reference. */
GHashTable *site_ran_tags(struct site *site);

/** TRUE if an upstream recorded a request with this tag. */
gboolean site_request_ran(struct site *site, const char *tag);

/**
 * Returns when a VM's upstream last got a request, by the boot clock, or 0.
 */
gint64 site_last_request_ms(struct site *site, unsigned vm);

#endif
