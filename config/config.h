#ifndef CONFIG_H
#define CONFIG_H

#include <glib.h>

/*
 * Settings of both programs, and the configuration tables (pools and routes),
 * from YAML files. Errors name the file, line and key and what was expected.
 */

#define CFG_ERROR cfg_error_quark()
GQuark cfg_error_quark(void);

enum cfg_error {
	/** The file cannot be read or is too large. */
	CFG_ERROR_READ,
	/** The file is not one YAML document. */
	CFG_ERROR_SYNTAX,
	/** A key or a value is not valid. */
	CFG_ERROR_INVALID,
	/** A table document is not valid. */
	CFG_ERROR_DOCUMENT,
};

enum cfg_class {
	CFG_CLASS_LATENCY_CRITICAL,
	CFG_CLASS_BATCH,
};

/** One row of the pools table. */
struct cfg_pool {
	char *name;
	enum cfg_class class;
	/** 0 to 99; 0 is the most urgent. */
	unsigned priority;
	/** Guaranteed to the pool's jobs, in the whole fleet; 0 for none. */
	gint64 guaranteed_cpu_milli;
	gint64 guaranteed_memory_bytes;
	gint64 guaranteed_accelerators;
	/** Limits for the pool's jobs, in the whole fleet; 0 for none. */
	gint64 max_cpu_milli;
	gint64 max_memory_bytes;
	gint64 max_accelerators;
	/** Limits for the jobs of one team, in the whole fleet; 0 for none. */
	gint64 team_max_cpu_milli;
	gint64 team_max_memory_bytes;
	gint64 team_max_accelerators;
	/** Guarantee and limit of concurrent requests, in the whole fleet; 0
	 * for none. */
	unsigned guaranteed_requests;
	unsigned max_requests;
	/** Maximum number of requests queued in one entry. */
	unsigned queue_length;
	/** Target of the adaptive limit on requests; 0 turns it off. */
	unsigned latency_target_ms;
	/** Maximum number of retries, in percent of requests. */
	unsigned retry_budget_percent;
	/** Maximum number of hedges, in percent of requests; 0 for none. */
	unsigned hedge_budget_percent;
};

/** One row of the routes table. */
struct cfg_route {
	/** "*" for any, "JOB" for batch jobs. */
	char *method;
	/** "*" for any host. */
	char *host;
	char *path_prefix;
	char *pool;
	gboolean idempotent;
	/** Requests need an idempotency key; only in pools of class batch. */
	gboolean idempotency_keys;
	unsigned timeout_ms;
};

/** The table document: both tables, and which version they are. */
struct cfg_tables {
	guint64 generation;
	guint64 parent_generation;
	/** Lineage of documents; generations compare only within it. */
	char *incarnation;
	char *author;
	gint64 applied_unix_ms;
	/** Of struct cfg_pool pointers, sorted by name. */
	GPtrArray *pools;
	/** Of struct cfg_route pointers, in the order of the file. */
	GPtrArray *routes;
	/** XXH3 hash of the document's bytes; set by cfg_tables_decode(). */
	guint64 digest;
	/**
	 * Keys of a later version that were ignored, such as "pools.weight",
	 * or NULL; set by cfg_tables_decode().
	 */
	char *unknown_keys;
};

/** Reads and checks both files; only pools and routes are set. */
struct cfg_tables *cfg_tables_load(const char *routes_file,
				   const char *pools_file, GError **error);

/** Checks references, ranges and duplicates; returns -1 with CFG_ERROR. */
int cfg_tables_check(const struct cfg_tables *tables, GError **error);

void cfg_tables_free(struct cfg_tables *tables);

/** Encodes the document as canonical JSON; equal tables give equal bytes. */
GBytes *cfg_tables_encode(const struct cfg_tables *tables);

/**
 * Decodes and checks a document. Unlike in files, unknown keys are ignored and
 * missing ones have their defaults, since processes of other versions may write
 * documents. Forward the original bytes: an encoding of the result lacks the
 * unknown keys.
 */
struct cfg_tables *cfg_tables_decode(const void *data, size_t len,
				     GError **error);

/** Returns the rows added, removed and changed, a line each; "" if none. */
char *cfg_tables_diff(const struct cfg_tables *from,
		      const struct cfg_tables *to);

/** Returns NULL if there is no such pool. */
const struct cfg_pool *cfg_pool_find(const struct cfg_tables *tables,
				     const char *name);

/**
 * Returns the route for a request: the longest path prefix wins, then an
 * exact host, then an exact method; NULL if none matches. A prefix matches at
 * a path segment's end or if it ends with "/". "JOB" routes match only the
 * method JOB.
 */
const struct cfg_route *cfg_route_match(const struct cfg_tables *tables,
					const char *method, const char *host,
					const char *path);

/** How a received document compares with the held one. */
enum cfg_adopt {
	/** Newer: adopt it. */
	CFG_ADOPT_NEWER,
	/** The same document. */
	CFG_ADOPT_SAME,
	/** An older generation of the same incarnation. */
	CFG_ADOPT_OLDER,
	/** Another incarnation, or the same generation with other content. */
	CFG_ADOPT_CONFLICT,
};

/** Compares a received document with the held one, which may be NULL. */
enum cfg_adopt cfg_tables_compare(const struct cfg_tables *held,
				  const struct cfg_tables *received);

/** Settings of radishpier serve. */
struct cfg_entry {
	char *id;
	char *zone;
	/** All addresses are IP:PORT. */
	char *caller_address;
	char *agent_address;
	char *operator_address;
	/** agent_address of other entries, to connect without the store. */
	char **peers;
	unsigned peers_count;
	char **kv_endpoints;
	unsigned kv_endpoints_count;
	unsigned kv_timeout_ms;
	unsigned max_body_bytes;
	unsigned caller_idle_timeout_ms;
	/** Memory that the process may have; 0: not given. */
	gint64 memory_limit_bytes;
	/** Time from the stop signal until the listeners are closed. */
	unsigned drain_grace_ms;
	unsigned drain_timeout_ms;
	char *log_level;
};

/** Settings of radishpier-agent. */
struct cfg_agent {
	char *vm;
	char *zone;
	char *rack;
	char *operator_address;
	char **entries;
	unsigned entries_count;
	/** IP:PORT of the upstream; may be empty. */
	char *upstream_address;
	/** IP:PORT of the platform's worker; may be empty. */
	char *worker_address;
	char **pools;
	unsigned pools_count;
	/** Maximum number of concurrent requests. */
	unsigned slots;
	/** Maximum number of connections to the upstream. */
	unsigned connections;
	gint64 cpu_milli;
	gint64 memory_bytes;
	gint64 accelerators;
	unsigned max_body_bytes;
	unsigned drain_timeout_ms;
	char *log_level;
};

struct cfg_entry *cfg_entry_load(const char *file, GError **error);
void cfg_entry_free(struct cfg_entry *settings);
struct cfg_agent *cfg_agent_load(const char *file, GError **error);
void cfg_agent_free(struct cfg_agent *settings);

#endif
