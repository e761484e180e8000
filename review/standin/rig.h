/*
 * A small deployment on loopback for the cases of this review: the store, the
 * workers and the clients are stand-ins in this process; the entries and the
 * agents are the programs that deploy/system.toml builds, as processes of
 * their own. PROTOCOL.md says what the stand-ins speak.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <glib.h>
#include <sys/types.h>

#define RIG_MAX_ENTRIES 3
#define RIG_MAX_WORKERS 11

/** Limits of the site jurado-andino that the cases use. */
#define RIG_VISIBLE_MS 3000
#define RIG_ENTRY_MEMORY_MB 260
#define RIG_VALUE_BYTES 1048576
#define RIG_STORE_ANSWER_MS 4

struct rig_options {
	const char *name;
	int entries;
	int workers;
	/** Capacity of each worker. */
	int cpu_milli;
	int mem_mb;
	/** JSON array of routes; hosts and prefixes as in RIG_HOST. */
	const char *routes;
};

/** What a client saw. */
struct rig_answer {
	/** HTTP status; 0 without a complete answer. */
	int status;
	char body[512];
	gint64 took_ms;
};

/** Starts the stand-ins and the programs, writes the configuration, and waits
 * until all entries are ready. Exits with 2 if that fails. */
void rig_start(const struct rig_options *options);
/** Ends all processes, removes the temporary folder and exits: 0 if the rule
 * held, 1 if it was broken, 2 if the case could not run. */
void rig_finish(int status) G_GNUC_NORETURN;

/** FALSE with TROUBLE=0. */
gboolean rig_trouble(void);
gint64 rig_now_ms(void);
void rig_sleep_ms(int ms);
/** Writes a line to record.txt. */
void rig_record(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** Sends a request to an entry and waits for the answer. */
struct rig_answer rig_call(int entry, const char *method, const char *path,
			   const char *body, int deadline_ms);
/** As rig_call(), without a line in record.txt. */
struct rig_answer rig_call_quietly(int entry, const char *method,
				   const char *path, const char *body,
				   int deadline_ms);
/** Waits until the entry's readiness check answers 200; FALSE after wait_ms. */
gboolean rig_wait_ready(int entry, int wait_ms);

/** Index of the entry that holds the leader's key; -1 for none. */
int rig_leader(void);
/** SIGKILL, and a start with the same settings. */
void rig_kill_entry(int entry);
void rig_start_entry(int entry);
void rig_signal_entry(int entry, int signal);
/** Resident memory of the entry in MB, 0 if it does not run. */
int rig_entry_rss_mb(int entry);

/** The store answers after this time; calls take effect when they arrive. */
void rig_store_answer_ms(int ms);
/** The store answers nothing and does nothing; leases pause meanwhile. */
void rig_store_silent(gboolean silent);
/** The operator writes a configuration with these routes; returns when the
 * store has acknowledged it. */
void rig_write_config(int version, const char *routes);
/** Number of transactions that the store refused with 400, since a value was
 * longer than value_bytes. */
int rig_store_refused(void);

/** Runs begun, runs ended and runs at work whose task begins with prefix. */
int rig_begun(const char *prefix);
int rig_at_work(const char *prefix);
/** Thousandths of cores in use on all workers. */
int rig_workers_up(void);

#endif
