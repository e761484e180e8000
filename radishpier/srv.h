#ifndef SRV_H
#define SRV_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

#include "../config/config.h"
#include "../entry/entry.h"
#include "../jobs/jobs.h"
#include "../kv/kv.h"
#include "../net/clients.h"
#include "../net/net.h"
#include "../obs/obs.h"
#include "../wire/wire.h"

/*
 * The I/O layer of the entry: turns libevent callbacks into events for
 * ent_reduce() and carries out the resulting effects in order. One thread runs
 * one event loop.
 */

#define SRV_ERROR srv_error_quark()
GQuark srv_error_quark(void);

enum srv_error {
	SRV_ERROR_ADDRESS,
	SRV_ERROR_LISTEN,
	SRV_ERROR_STORE,
	SRV_ERROR_SYSTEM,
};

#define SRV_LOG_DOMAIN "serve"

/** Logs one line; the variadic part is a printf() format. */
#define srv_log(level, ...)                                                    \
	g_log_structured(SRV_LOG_DOMAIN, level, "MESSAGE", __VA_ARGS__)

/** Interval of srv_dispatch() with ENT_EV_TICK and of the *_tick() calls. */
#define SRV_TICK_MS 20

/**
 * A longer gap between ticks means that the process did not run, so that state
 * read from the store may be stale.
 */
#define SRV_STALL_MS 2000

struct srv_http;
struct srv_jobs;
struct srv_conns;
struct srv_store;
struct srv_ops;

struct srv {
	const struct cfg_entry *settings;
	struct event_base *base;
	struct ent *ent;
	struct obs_metrics *metrics;
	/** What the clients of all servers hold. */
	struct net_account *account;
	GRand *random;
	/** Of struct ent_effect; emptied after each event and reused. */
	GArray *effects;
	/** Of struct ent_event, raised while another event is dispatched. */
	GArray *pending_events;
	/** srv_dispatch() is running; further events are queued. */
	gboolean dispatching;
	gint64 last_tick_ms;
	/** Last handle given to a request or job call; never reused. */
	guint64 last_handle;

	/** A stop signal has arrived. */
	gboolean draining;
	/** The reducer has no request or key claim in flight. */
	gboolean drained;
	gboolean lease_released;
	/**
	 * Until then a draining entry still accepts requests, so that a load
	 * balancer can react to /readyz first; 0 afterwards.
	 */
	gint64 grace_until_ms;
	/** Requests still open then are abandoned. */
	gint64 drain_deadline_ms;
	/** Latest time of the exit; 0 until the lease is being released. */
	gint64 flush_deadline_ms;

	/** Id of this entry's lease in the key-value store, or 0. */
	gint64 lease;
	/** The lease expires then unless it is renewed. */
	gint64 lease_deadline_ms;

	struct srv_http *http;
	struct srv_jobs *jobs;
	struct srv_conns *conns;
	struct srv_store *store;
	struct srv_ops *ops;
};

/* srv_run.c */

/**
 * Applies the event to the reducer and carries out its effects.
 *
 * If called while effects are carried out, it queues a shallow copy of the
 * event, which must then not point to borrowed data.
 */
void srv_dispatch(struct srv *srv, struct ent_event *event);

/** As srv_dispatch(), for an event of the job scheduler. */
void srv_dispatch_job(struct srv *srv, const struct job_event *event);

/**
 * Listens on a numeric host:port; name is that of the setting, for the error
 * text. Returns NULL with an SRV_ERROR.
 */
struct evconnlistener *srv_listen(struct srv *srv, const char *name,
				  const char *address, evconnlistener_cb cb,
				  void *ctx, GError **error);

/**
 * Delay of an exponential back-off from 200 ms up to max_ms, of which the
 * second half is random. failures counts the earlier failures.
 */
gint64 srv_backoff_ms(struct srv *srv, unsigned failures, gint64 max_ms);

/* srv_http.c: HTTP server for callers */

struct srv_http *srv_http_new(struct srv *srv, GError **error);
void srv_http_free(struct srv_http *http);
void srv_http_tick(struct srv_http *http, gint64 now_ms);
/** Closes the listener; open connections stay. */
void srv_http_stop_accepting(struct srv_http *http);
/** Requests that wait for an answer, or whose answer is being written. */
unsigned srv_http_open(const struct srv_http *http);
/** Open connections of callers, idle ones included. */
unsigned srv_http_connections(const struct srv_http *http);

/** Answer to a caller; all pointers except reply are borrowed. */
struct srv_answer {
	unsigned status;
	/** NULL to send no Radishpier-Outcome. */
	const char *outcome;
	/** 0 to send no Retry-After. */
	unsigned retry_after_s;
	const char *content_type;
	const void *body;
	size_t body_len;
	/**
	 * Reply frame with the headers and body of an upstream, which are sent
	 * instead of content_type and body, or NULL. srv_http_answer() frees
	 * it.
	 */
	struct Rp__Frame *reply;
};

/** Answers the request with this handle unless its caller disconnected. */
void srv_http_answer(struct srv_http *http, guint64 handle,
		     struct srv_answer *answer);

/* srv_jobs.c: the jobs API and calls between entries */

/** A caller's request to the jobs API; pointers are borrowed. */
struct srv_job_call {
	guint64 handle;
	const char *method;
	/** Path without query. */
	const char *path;
	const void *body;
	size_t body_len;
};

struct srv_jobs *srv_jobs_new(struct srv *srv);
void srv_jobs_free(struct srv_jobs *jobs);
void srv_jobs_tick(struct srv_jobs *jobs, gint64 now_ms);
/** TRUE for /v1/jobs and paths below it, with or without a query. */
gboolean srv_jobs_is_api_path(const char *path);
/** Answers the call by srv_http_answer(), possibly later. */
void srv_jobs_http(struct srv_jobs *jobs, const struct srv_job_call *call);
/** Carries out JOB_FX_ANSWER; body may be NULL. */
void srv_jobs_answer(struct srv_jobs *jobs, guint64 handle, unsigned status,
		     GBytes *body);
/** Works on a call that the peer forwarded, and answers the peer. */
void srv_jobs_peer_call(struct srv_jobs *jobs, guint64 conn,
			const struct Rp__PeerCall *call);
/** Answers the caller of a call that was forwarded to the peer. */
void srv_jobs_peer_reply(struct srv_jobs *jobs, guint64 conn,
			 const struct Rp__PeerReply *reply);
/** Answers the calls forwarded on it with 504: their outcome is unknown. */
void srv_jobs_conn_closed(struct srv_jobs *jobs, guint64 conn);

/* srv_spec.c: parser of submitted jobs */

/** A parsed submission; owns what srv_spec_job() points to. */
struct srv_spec;

/**
 * Parses the JSON body of POST /v1/jobs. Returns NULL and sets *error_json,
 * which the caller frees, to the body of the 400 answer; it names the field and
 * what was expected.
 */
struct srv_spec *srv_spec_parse(const void *data, size_t len,
				char **error_json);
void srv_spec_free(struct srv_spec *spec);
/** Valid until srv_spec_free(). */
const struct job_spec *srv_spec_job(const struct srv_spec *spec);

/* srv_conn.c: connections of agents and peer entries */

struct srv_conns *srv_conns_new(struct srv *srv, GError **error);
void srv_conns_free(struct srv_conns *conns);
void srv_conns_tick(struct srv_conns *conns, gint64 now_ms);
void srv_conns_stop_accepting(struct srv_conns *conns);
/**
 * Returns -1 if the connection has ended or the frame is too large, else 0. The
 * frame is not kept. A connection that then has too much unsent output is
 * closed, which is not reported by the result.
 */
int srv_conns_send(struct srv_conns *conns, guint64 number,
		   const struct Rp__Frame *frame);
/**
 * Closes the connection once its output has been written. Output that is still
 * unsent after a second is dropped.
 */
void srv_conns_close(struct srv_conns *conns, guint64 number);
/** Sets the entries to dial besides the peers in the settings. */
void srv_conns_set_entries(struct srv_conns *conns, const char *const *ids,
			   const char *const *addresses, size_t n);
/** Unsent bytes of the open connections, without those being closed. */
size_t srv_conns_unsent(const struct srv_conns *conns);
/** Bytes of frames read and queued for sending since the start. */
void srv_conns_wire_bytes(const struct srv_conns *conns, guint64 *in,
			  guint64 *out);
/** Connections to agents and to peer entries. */
void srv_conns_count(const struct srv_conns *conns, unsigned *agents,
		     unsigned *peers);

/*
 * srv_platform.c: client of the key-value store of the settings (kv_endpoints)
 * for this entry's lease and registration, the list of entries, the tables and
 * the evacuated zones.
 */

struct srv_store *srv_store_new(struct srv *srv, GError **error);
void srv_store_free(struct srv_store *store);
void srv_store_tick(struct srv_store *store, gint64 now_ms);
/** Reads entries and tables again, after the process did not run. */
void srv_store_resumed(struct srv_store *store, gint64 now_ms);
/** Drops the lease, if there is one, and requests a new one. */
void srv_store_lease_lost(struct srv_store *store, const char *why);
/** Revokes the lease; sets srv->lease_released when that has ended. */
void srv_store_release(struct srv_store *store);
/** TRUE if changes of the evacuations are being watched. */
gboolean srv_store_evacuations_current(const struct srv_store *store);
const struct kv_calls *srv_store_calls(const struct srv_store *store);

/*
 * srv_claim.c: claims of callers' idempotency keys, and the transactions and
 * reads of the job scheduler
 */

struct srv_claims;

struct srv_claims *srv_claims_new(struct srv *srv, struct kv *kv);
void srv_claims_free(struct srv_claims *claims);
/**
 * Carries out ENT_FX_CLAIM_KEY: creates the store key for the caller's key
 * unless it exists. owner, the request's id, becomes its value.
 */
void srv_claims_key(struct srv_claims *claims, guint64 handle, const char *key,
		    const char *owner);
/**
 * Carries out ENT_FX_RELEASE_KEY: deletes the claim if its value is owner.
 * written is FALSE if the outcome of the claim is unknown, so that it may still
 * be written.
 */
void srv_claims_release(struct srv_claims *claims, const char *key,
			const char *owner, gboolean written);
void srv_claims_tick(struct srv_claims *claims, gint64 now_ms);
/** Releases in progress. */
unsigned srv_claims_releasing(const struct srv_claims *claims);
/** Carries out JOB_FX_TXN and JOB_FX_RANGE. */
void srv_claims_job_txn(struct srv_claims *claims, guint64 id,
			const struct kv_txn *txn);
void srv_claims_job_range(struct srv_claims *claims, guint64 id,
			  const char *prefix, gboolean exact,
			  gint64 min_revision);
struct srv_claims *srv_store_claims(const struct srv_store *store);

/* srv_ops.c: HTTP server for operators: metrics, readiness, status */

struct srv_ops *srv_ops_new(struct srv *srv, GError **error);
void srv_ops_free(struct srv_ops *ops);
void srv_ops_tick(struct srv_ops *ops, gint64 now_ms);

#endif
