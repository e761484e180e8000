#ifndef ENTRY_H
#define ENTRY_H

#include <glib.h>

#include "../config/config.h"
#include "../jobs/jobs.h"
#include "../wire/wire.h"

/*
 * The reducer of the entry: routing, admission, choice of the upstream,
 * retries, tables and membership. It uses no sockets and reads no clock;
 * event->now_ms is boot-clock milliseconds.
 */

struct ent;

/** How an upstream is chosen; all but the first are baselines. */
enum ent_lb_policy {
	/** Four random candidates, the lowest load x expected latency. */
	ENT_LB_LOAD_LATENCY,
	/** Two random candidates, the lower load. */
	ENT_LB_POWER_OF_TWO,
	ENT_LB_RANDOM,
	ENT_LB_ROUND_ROBIN,
	/** Scans the whole pool. */
	ENT_LB_LEAST_CONNECTIONS,
};

struct ent_options {
	const char *id;
	const char *zone;
	/** host:port of this entry's agent listener, or NULL. */
	const char *agent_address;
	/** Differs for each process; NULL: drawn from the seed. */
	const char *instance;
	/** Boot of the kernel; NULL if it is not known. */
	const char *boot_id;
	guint32 seed;
	enum ent_lb_policy lb_policy;
	/**
	 * For baselines: no limit of a pool, no guaranteed share and no bound
	 * of a queue applies. The slots of an agent are kept.
	 */
	gboolean no_admission_limits;
	/** For baselines: upstreams that fail are not ejected. */
	gboolean no_ejections;
};

enum ent_event_kind {
	/** Every 10 to 100 ms; passed on to the job part as JOB_EV_TICK. */
	ENT_EV_TICK,
	ENT_EV_REQUEST,
	/** The caller closed its connection. */
	ENT_EV_CALLER_DISCONNECTED,
	/** A frame from an agent or a peer entry. */
	ENT_EV_FRAME,
	ENT_EV_CLOSED,
	/** This entry dialled a peer and is connected. */
	ENT_EV_PEER_CONNECTED,
	/** A table document read from the platform's service. */
	ENT_EV_TABLES,
	/** Answer to ENT_FX_CLAIM_KEY, also if the caller is gone. */
	ENT_EV_KEY_CLAIM,
	/**
	 * Entries registered in the platform's service, this one included; the
	 * job part is told by the reducer.
	 */
	ENT_EV_ENTRIES,
	/** Stop admitting; ENT_FX_DRAINED follows when nothing is in flight. */
	ENT_EV_DRAIN,
	/** An event of the job part that does not come as a frame. */
	ENT_EV_JOB,
};

/** A caller's request; everything is borrowed for the call. */
struct ent_request {
	/** Chosen by the shell, unique; returned with the answer. */
	guint64 handle;
	const char *request_id;
	const char *method;
	const char *host;
	/** Path and query as received. */
	const char *target;
	/** 0 if the caller gave none. */
	unsigned timeout_ms;
	/** NULL if the caller gave none. */
	const char *idempotency_key;
	const struct Rp__Header *const *headers;
	size_t n_headers;
	const void *body;
	size_t body_len;
};

enum ent_claim {
	ENT_CLAIM_WON,
	/** The key was used before: nothing may run. */
	ENT_CLAIM_TAKEN,
	/** Certainly not written. */
	ENT_CLAIM_UNAVAILABLE,
	/** May have been written, now or later. */
	ENT_CLAIM_UNKNOWN,
};

struct ent_event {
	enum ent_event_kind kind;
	gint64 now_ms;
	gint64 unix_ms;
	union {
		struct ent_request request;
		struct {
			guint64 handle;
		} gone;
		struct {
			guint64 conn;
			const struct Rp__Frame *frame;
		} frame;
		struct {
			guint64 conn;
		} conn;
		struct {
			const void *data;
			size_t len;
		} tables;
		struct {
			guint64 handle;
			enum ent_claim result;
		} claim;
		struct {
			/** Sorted by id; addresses are of the agent listener.
			 */
			const char *const *ids;
			const char *const *addresses;
			size_t n;
		} entries;
		/** now_ms and unix_ms are filled in by the reducer. */
		struct job_event job;
	};
};

enum ent_effect_kind {
	ENT_FX_SEND,
	/** The reducer has forgotten the connection; no event need follow. */
	ENT_FX_CLOSE,
	ENT_FX_ANSWER,
	/** Create radishpier/request/<digest> if absent. */
	ENT_FX_CLAIM_KEY,
	/** Delete a claim whose request did not run and will not run. */
	ENT_FX_RELEASE_KEY,
	ENT_FX_DRAINED,
	ENT_FX_LOG,
	ENT_FX_COUNT,
	ENT_FX_JOB,
};

struct ent_effect {
	enum ent_effect_kind kind;
	union {
		struct {
			guint64 conn;
			struct Rp__Frame *frame;
		} send;
		struct {
			guint64 conn;
		} close;
		struct {
			guint64 handle;
			unsigned status;
			Rp__Outcome outcome;
			Rp__Reason reason;
			/** 0 if the header is not to be sent. */
			unsigned retry_after_s;
			/** The agent's frame with headers and body, or NULL. */
			struct Rp__Frame *reply;
			/** Static text for answers of the entry itself. */
			const char *text;
		} answer;
		struct {
			guint64 handle;
			/** The caller's key as it is; the shell hashes it. */
			char *key;
			/** Value of the claim, unique to this request. */
			char *owner;
			/** RELEASE: FALSE if the claim's outcome is unknown. */
			gboolean written;
		} claim;
		struct {
			GLogLevelFlags level;
			char *message;
			char *request_id;
		} log;
		struct {
			/** Static name; labels are owned and may be NULL. */
			const char *name;
			char *labels;
			guint64 add;
		} count;
		struct job_effect job;
	};
};

struct ent *ent_new(const struct ent_options *options);
void ent_free(struct ent *ent);

/**
 * Applies one event and appends struct ent_effect items to effects.
 *
 * A Reply frame that the event carries may be passed on in an answer: the
 * reducer then takes it and sets event->frame.frame to NULL.
 */
void ent_reduce(struct ent *ent, struct ent_event *event, GArray *effects);

/** Returns an array for ent_reduce() that frees its items. */
GArray *ent_effects_new(void);

/** Tables in force, or NULL; valid until the next event. */
const struct cfg_tables *ent_tables(const struct ent *ent);

/** The encoded document in force, or NULL; owned by ent. */
GBytes *ent_tables_document(const struct ent *ent);

/** The job part, for its read-only functions. */
const struct job *ent_jobs(const struct ent *ent);

/** TRUE once tables are in force and an upstream is connected. */
gboolean ent_ready(const struct ent *ent);

/** Entry that owns a shard as far as its peers have said, or 0. */
guint64 ent_shard_owner_conn(const struct ent *ent, unsigned shard);

/** 0 if there is no such pool. */
unsigned ent_queued_requests(const struct ent *ent, const char *pool);

/** Appends pools, upstreams, queues, limits and reasons as JSON object. */
void ent_status_json(const struct ent *ent, GString *out);

#endif
