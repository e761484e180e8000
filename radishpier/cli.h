#ifndef CLI_H
#define CLI_H

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>

#include "../kv/kv.h"
#include "radishpier.h"

/* Internal to radishpier/: the operators' commands. */

#define CLI_TABLES_KEY "radishpier/tables"
#define CLI_HISTORY_PREFIX "radishpier/history/"
#define CLI_ENTRY_PREFIX "radishpier/entry/"

/** Time-out of each call to the key-value store or to an entry. */
#define CLI_CALL_TIMEOUT_MS 5000

/** A blocking client of the key-value store. */
struct cli_kv {
	struct event_base *base;
	struct kv *kv;
};

/** endpoints are IP:port. Returns -1 with a KV_ERROR if one is not. */
int cli_kv_open(struct cli_kv *cli, const char *const *endpoints, size_t n,
		GError **error);
void cli_kv_close(struct cli_kv *cli);

/**
 * Reads the key or, unless exact, all keys with the prefix. Returns struct
 * kv_pair pointers sorted by key, or NULL with a KV_ERROR.
 */
GPtrArray *cli_kv_range(struct cli_kv *cli, const char *prefix, gboolean exact,
			GError **error);

/** Returns 1 if the key has this value, 0 if not, -1 if the read failed. */
int cli_kv_has_value(struct cli_kv *cli, const char *key, GBytes *value);

/** Returns 1 if applied, 0 if a comparison failed, -1 with a KV_ERROR. */
int cli_kv_txn(struct cli_kv *cli, const struct kv_txn *txn, GError **error);

/** The tables in force and the revision of their key. */
struct cli_current {
	/** NULL if no tables were applied yet. */
	struct cfg_tables *tables;
	/** The stored document; NULL if tables is. */
	GBytes *document;
	/** 0 if the key is absent. */
	gint64 mod_revision;
};

/** Reads the tables in force; error is set unless it returns EXIT_CODE_OK. */
enum exit_code cli_read_current(struct cli_kv *cli, struct cli_current *current,
				GError **error);
void cli_current_clear(struct cli_current *current);

/** Key of the history entry of a generation; the caller frees it. */
char *cli_history_key(guint64 generation);

/** UTC time such as "2026-01-31T12:00:00Z"; the caller frees it. */
char *cli_time_text(gint64 unix_ms);

struct evhttp_connection;

/** A registered entry and its status. */
struct cli_source {
	/** The registration. */
	json_t *entry;
	/** Answer of /status; NULL if there is none. */
	json_t *status;
	/** Why there is no status, or NULL. */
	const char *problem;
	/** Number of requests in flight, shared by all sources. */
	unsigned *pending;
	struct evhttp_connection *connection;
};

/** Tells from the answers so far whether the others are still needed. */
struct cli_ask {
	/** Returns TRUE if they are not needed; NULL: all are needed. */
	gboolean (*is_enough)(void *ctx, const GPtrArray *sources);
	void *ctx;
};

/**
 * Asks all registered entries for their status. Returns struct cli_source
 * pointers, or NULL with a KV_ERROR if the entries cannot be read.
 */
GPtrArray *cli_ask_entries(struct cli_kv *cli, const struct cli_ask *ask,
			   GError **error);

/** Returns a member of the object that is a text, or "-" if it has none. */
const char *cli_string_or_dash(const json_t *object, const char *key);

/** Options of the command apply. */
struct cli_apply {
	const char *routes_file;
	const char *pools_file;
	const char *author;
	/** Generation that must be in force: -1 any, 0 no tables yet. */
	gint64 expect;
};

/** Options of the command evacuate. */
struct cli_evacuate {
	const char *zone;
	const char *author;
	/** NULL if none was given; required unless end is set. */
	const char *reason;
	/** Ends the zone's evacuation instead of beginning one. */
	gboolean end;
};

/* Each runs one command and reports a failure on standard error. */
enum exit_code cli_check(const char *routes_file, const char *pools_file);
enum exit_code cli_apply(struct cli_kv *cli, const struct cli_apply *options);
enum exit_code cli_evacuate(struct cli_kv *cli,
			    const struct cli_evacuate *options);
/** Prints the last changes of the evacuations, the newest first. */
enum exit_code cli_evacuation_history(struct cli_kv *cli, unsigned last);
enum exit_code cli_show(struct cli_kv *cli);
enum exit_code cli_history(struct cli_kv *cli, unsigned last);
enum exit_code cli_status(struct cli_kv *cli, gboolean json);

#endif
