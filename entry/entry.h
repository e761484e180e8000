#ifndef ENTRY_H
#define ENTRY_H

#include <glib.h>

#include "../config/config.h"
#include "../jobs/jobs.h"
#include "../wire/wire.h"

/*
 * The reducer of the entry: routing, admission, load balancing, retries,
 * configuration tables and the list of entries. It turns an event into effects
 * and does no I/O; event->now_ms is in milliseconds of the boot clock, and
 * event->unix_ms in milliseconds since 1970.
 *
 * Frames and effects for batch jobs pass through it to the job scheduler
 * (jobs/jobs.h).
 */

struct ent;

/** Load-balancing policies; all but the first are baselines of benchmarks. */
enum ent_lb_policy {
	/** Of four random candidates, that of the lowest load x latency. */
	ENT_LB_LOAD_LATENCY,
	/** Of two random candidates, the less loaded one. */
	ENT_LB_POWER_OF_TWO,
	ENT_LB_RANDOM,
	ENT_LB_ROUND_ROBIN,
	/** The least loaded upstream of the whole pool. */
	ENT_LB_LEAST_CONNECTIONS,
};

struct ent_options {
	const char *id;
	const char *zone;
	/** host:port at which agents and peers reach this entry, or NULL. */
	const char *agent_address;
	/** Entry instance, unique to the process; NULL: drawn from the seed. */
	const char *instance;
	/** Kernel boot id, or NULL if unknown. */
	const char *boot_id;
	guint32 seed;
	enum ent_lb_policy lb_policy;
	/**
	 * For baselines: ignores request limits, guaranteed shares and queue
	 * lengths of pools. The slots of an agent still limit its requests.
	 */
	gboolean no_admission_limits;
	/** For baselines: failing upstreams are not ejected. */
	gboolean no_ejections;
	/**
	 * The evacuated zones are not known before the first ENT_EV_EVACUATIONS
	 * or an EvacuationUpdate of a peer that knows them: until then requests
	 * are refused and no job is placed. Without it, no zone is evacuated at
	 * first.
	 */
	gboolean wait_for_evacuations;
};

enum ent_event_kind {
	/** Every 10 to 100 ms; passed to the job scheduler as JOB_EV_TICK. */
	ENT_EV_TICK,
	ENT_EV_REQUEST,
	/** The caller closed its connection. */
	ENT_EV_CALLER_DISCONNECTED,
	/** A frame from an agent or a peer entry. */
	ENT_EV_FRAME,
	/** A connection to an agent or a peer entry closed. */
	ENT_EV_CLOSED,
	/** A connection that this entry opened to a peer is established. */
	ENT_EV_PEER_CONNECTED,
	/** A table document read from the key-value store. */
	ENT_EV_TABLES,
	/**
	 * The evacuation document (evac/evac.h) was read from the key-value
	 * store.
	 */
	ENT_EV_EVACUATIONS,
	/** Answer to ENT_FX_CLAIM_KEY, also if the request has ended. */
	ENT_EV_KEY_CLAIM,
	/**
	 * Entries registered in the key-value store, this one included; the
	 * reducer passes them to the job scheduler.
	 */
	ENT_EV_ENTRIES,
	/** Refuse new requests; ENT_FX_DRAINED follows when all have ended. */
	ENT_EV_DRAIN,
	/** An event for the job scheduler that does not arrive as a frame. */
	ENT_EV_JOB,
};

/** A caller's request; all pointers are borrowed for the call. */
struct ent_request {
	/** Unique id from the I/O layer; returned with the answer. */
	guint64 handle;
	const char *request_id;
	const char *method;
	const char *host;
	/** Path and query as received. */
	const char *target;
	/** 0 if the caller set none. */
	unsigned timeout_ms;
	/** NULL if the caller sent none. */
	const char *idempotency_key;
	const struct Rp__Header *const *headers;
	size_t n_headers;
	const void *body;
	size_t body_len;
};

/** Result of a claim of an Idempotency-Key in the key-value store. */
enum ent_claim {
	/** Written for this request, which may run. */
	ENT_CLAIM_WON,
	/** An earlier request used the key, so this one must not run. */
	ENT_CLAIM_TAKEN,
	/** Not written, and will not be. */
	ENT_CLAIM_UNAVAILABLE,
	/** No answer: it may have been written or may be later. */
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
		} disconnected;
		struct {
			guint64 conn;
			const struct Rp__Frame *frame;
		} frame;
		struct {
			guint64 conn;
		} conn;
		struct {
			/**
			 * The store reports changes of the evacuations: those
			 * read last are current.
			 */
			gboolean evacuations_current;
		} tick;
		struct {
			const void *data;
			size_t len;
		} tables;
		struct {
			/** NULL if the store has no document. */
			const void *data;
			size_t len;
		} evacuations;
		struct {
			guint64 handle;
			enum ent_claim result;
		} claim;
		struct {
			/** Sorted by id; addresses as in ent_options. */
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
	/** The reducer has dropped the connection; needs no ENT_EV_CLOSED. */
	ENT_FX_CLOSE,
	ENT_FX_ANSWER,
	/** Create the store key radishpier/request/<digest> if absent. */
	ENT_FX_CLAIM_KEY,
	/** Delete a claim whose request did not run and will not run. */
	ENT_FX_RELEASE_KEY,
	/** After ENT_EV_DRAIN: no request or key claim is in flight. */
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
			/** Value of Retry-After, or 0 to omit the header. */
			unsigned retry_after_s;
			/** Owned Reply frame with headers and body, or NULL. */
			struct Rp__Frame *reply;
			/** Static error text if reply is NULL. */
			const char *text;
		} answer;
		struct {
			guint64 handle;
			/** The caller's key; the I/O layer hashes it. */
			char *key;
			/** Request id, written as the value of the claim. */
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
			/** Static metric name; labels are owned or NULL. */
			const char *name;
			char *labels;
			guint64 add;
		} count;
		struct job_effect job;
	};
};

/** Copies the options. */
struct ent *ent_new(const struct ent_options *options);
void ent_free(struct ent *ent);

/**
 * Applies one event and appends struct ent_effect items to effects.
 *
 * If a Reply frame of the event becomes part of an answer, the effect owns it
 * and event->frame.frame is set to NULL.
 */
void ent_reduce(struct ent *ent, struct ent_event *event, GArray *effects);

/** Returns an array for ent_reduce() that frees its items. */
GArray *ent_effects_new(void);

/** Returns the tables in force, or NULL; valid until the next event. */
const struct cfg_tables *ent_tables(const struct ent *ent);

/** Returns the encoded tables in force, or NULL; owned by ent. */
GBytes *ent_tables_document(const struct ent *ent);

/** Returns the job scheduler, for its read-only functions. */
const struct job *ent_jobs(const struct ent *ent);

/**
 * TRUE if tables are in force, an agent is connected and the evacuated zones
 * are known.
 */
gboolean ent_ready(const struct ent *ent);

/** Returns the evacuations in force, or NULL if they are not known yet. */
const struct evac *ent_evacuations(const struct ent *ent);

/** Time since the evacuations were last known to be current, or -1. */
gint64 ent_evacuations_age_ms(const struct ent *ent);

/**
 * Returns the connection to the peer that claims the shard under the highest
 * term, or 0 if no connected peer has a higher term than this entry.
 */
guint64 ent_shard_owner_conn(const struct ent *ent, unsigned shard);

/** Returns 0 if there is no such pool. */
unsigned ent_queued_requests(const struct ent *ent, const char *pool);

/** Appends the state of pools, upstreams and peers as a JSON object. */
void ent_status_json(const struct ent *ent, GString *out);

#endif
