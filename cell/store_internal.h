#ifndef CELL_STORE_INTERNAL_H
#define CELL_STORE_INTERNAL_H

#include "internal.h"

/* State of the store client, which store.c and commit.c share. */

/** Delay after a failed call. */
#define RETRY_MS 60

enum store_state {
	STORE_FOLLOWING,
	/** A lease or the leader's key is being requested. */
	STORE_CAMPAIGNING,
	/** Elected; the records are being read. */
	STORE_LOADING,
	/** Elected, with all records read. */
	STORE_LEADING,
};

/** Keys that the leader watches. */
enum watched {
	WATCH_TABLES,
	WATCH_NODES,
	N_WATCHES,
};

struct store_watch {
	struct cell_store *store;
	enum watched what;
	/** NULL if none is active. */
	struct kv_watch *watch;
	/** The read that precedes the watch is in flight. */
	gboolean reading;
	/** The keys were read, and the watch was started. */
	gboolean read;
	/** The keys are not read before this time. */
	gint64 next_ms;
	/** All changes up to this time of the boot clock were delivered, if no
	 * later time is known to the watch; 0 before the first read. */
	gint64 current_ms;
};

struct cell_store {
	struct event_base *base;
	struct kv *kv;
	char *name;
	char *tables_key;
	/** Watched in place of tables_key; NULL if zones cannot be evacuated.
	 */
	char *watched_prefix;
	struct cell_evacuations *evacuations;
	struct cell_store_handler handler;
	enum store_state state;
	gint64 now_ms;
	/** The leader's key or the records are not read before this time. */
	gint64 next_ms;
	/** Value of the leader's key in the last candidacy; unique, so that a
	 * candidacy without answer can be recognised. */
	char *candidacy;
	/** Store lease of the leader's key; 0 for none. */
	gint64 lease;
	/** Revision at which this process created the leader's key. */
	gint64 fencing_token;
	/** Fencing token of a leader whose process has ended; 0 for none. */
	gint64 ended_token;
	/** Revision and last number of the commit key. */
	gint64 commit_revision;
	guint64 commit_number;
	/** Last key of the records read so far; NULL before the first page. */
	char *loaded_through;
	/** Id of the job whose records are to be read, or NULL; the first of
	 * them once it is read; whether a read is in flight, and when the next
	 * one is sent. */
	char *job_id;
	GBytes *job_record;
	gboolean job_reading;
	gint64 job_next_ms;
	/** Transaction to be committed, with its conditions; NULL for none. */
	struct kv_txn *txn;
	/** The transaction, or the check of its outcome, is in flight. */
	gboolean txn_sent;
	gint64 txn_next_ms;
	/** How late its answer is, and whether its outcome is being read. */
	struct cell_late late;
	gboolean looking_up;
	/** A call of the election or the read of the records is in flight. */
	gboolean busy;
	/** The leader's key was absent when last read, for long enough. */
	gboolean may_campaign;
	/** Since when the leader's key was absent at each read; 0 if it was
	 * there at the last. */
	gint64 absent_since_ms;
	/** What decides how soon this process seeks to lead. */
	struct cell_candidacy rank;
	/** When a read of the leader's key was last answered. */
	gint64 key_read_ms;
	/** The store refused the last read of the leader's key. */
	gboolean key_read_refused;
	/** Since when the store has refused all answered calls of this leader;
	 * 0 if it did not refuse the last. */
	gint64 refused_since_ms;
	/** Time of the first tick. */
	gint64 started_ms;
	/** Time of the next lease renewal. */
	gint64 renew_ms;
	/** A leadership confirmation is in flight. */
	gboolean confirming;
	/** Time of the next leadership confirmation. */
	gint64 confirm_ms;
	gint64 confirm_sent_ms;
	/** Leadership is given up once no transaction is in flight; it is not
	 * sought again if this process is resigning. */
	gboolean resigning;
	gboolean handing_over;
	/** Counts the calls of cell_store_depose() that took effect: answers to
	 * calls sent before the last one are ignored. */
	guint depositions;
	/** Contexts of calls in flight; owned. */
	GHashTable *open_calls;
	struct store_watch watches[N_WATCHES];
};

/** Context of a call to the key-value store. */
struct call_ctx {
	struct cell_store *store;
	/** Value of store->depositions when the call was sent. */
	guint depositions;
	gint64 sent_ms;
	/** Of a transaction of the leader, or of a read of its outcome. */
	guint64 commit_number;
	/** The watch that the call reads for, or NULL. */
	struct store_watch *watch;
};

static inline struct call_ctx *call_ctx_new(struct cell_store *store)
{
	struct call_ctx *ctx = g_new0(struct call_ctx, 1);

	ctx->store = store;
	ctx->depositions = store->depositions;
	ctx->sent_ms = store->now_ms;
	ctx->commit_number = store->commit_number;
	g_hash_table_add(store->open_calls, ctx);
	return ctx;
}

/* Removes the call from those in flight; TRUE if cell_store_depose() took
 * effect since it was sent, so its answer must be ignored. */
static inline gboolean end_call(struct call_ctx *ctx)
{
	g_hash_table_steal(ctx->store->open_calls, ctx);
	return ctx->depositions != ctx->store->depositions;
}

/* Notes whether the store refused a call of this leader. A call without an
 * answer tells nothing. */
static inline void note_refusal(struct cell_store *store, const GError *error)
{
	if (!error)
		store->refused_since_ms = 0;
	else if (g_error_matches(error, KV_ERROR, KV_ERROR_UNAVAILABLE) &&
		 !store->refused_since_ms)
		store->refused_since_ms = store->now_ms;
}

/* store.c */
/** Ends the candidacy or the leadership of this process. */
void cell_store_depose(struct cell_store *store, const char *why);

/* records.c */
/** Reads the next page of the records. */
void cell_store_load_records(struct cell_store *store);
/** Reads the records of the job that is to be read, if that is due. */
void cell_store_send_job_read(struct cell_store *store);
/** Ends all reads of records. */
void cell_store_stop_reads(struct cell_store *store);

/* commit.c */
/** Sends the transaction that is to be committed, if there is one and it is
 * due. */
void cell_store_send_txn(struct cell_store *store);
/** Looks up the outcome of the transaction if its answer is late. */
void cell_store_look_up_txn(struct cell_store *store);

#endif
