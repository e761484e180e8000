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
#include "../net/net.h"
#include "../obs/obs.h"
#include "../wire/wire.h"

/*
 * The shell of the entry: turns callbacks of libevent into events of
 * ent_reduce() and carries out its effects in order. One thread, one loop.
 */

#define SRV_ERROR srv_error_quark()
GQuark srv_error_quark(void);

enum srv_error {
	SRV_ERROR_ADDRESS,
	SRV_ERROR_LISTEN,
	SRV_ERROR_PLATFORM,
	SRV_ERROR_SYSTEM,
};

#define SRV_LOG_DOMAIN "serve"

/** Logs one line; the variadic part is a printf() format. */
#define srv_log(level, ...)                                                    \
	g_log_structured(SRV_LOG_DOMAIN, level, "MESSAGE", __VA_ARGS__)

#define SRV_TICK_MS 20

/** A gap of the loop this long means that the process was stopped. */
#define SRV_PAUSE_MS 2000

struct srv_http;
struct srv_jobs;
struct srv_conns;
struct srv_platform;
struct srv_ops;

struct srv {
	const struct cfg_entry *settings;
	struct event_base *base;
	struct ent *ent;
	struct obs_metrics *metrics;
	GRand *random;
	/** Of struct ent_effect, reused by each event. */
	GArray *effects;
	/** Of struct ent_event, raised while effects are carried out. */
	GArray *queued;
	gboolean dispatching;
	gint64 last_tick_ms;
	/** Handles of requests and job calls; never reused. */
	guint64 next_handle;

	gboolean draining;
	gboolean drained;
	gboolean released;
	/** End of the time in which a draining entry still admits, or 0. */
	gint64 grace_until_ms;
	gint64 drain_deadline_ms;
	gint64 flush_deadline_ms;

	/** Lease in the platform's service and its end on the boot clock. */
	gint64 lease;
	gint64 lease_deadline_ms;

	struct srv_http *http;
	struct srv_jobs *jobs;
	struct srv_conns *conns;
	struct srv_platform *platform;
	struct srv_ops *ops;
};

/* srv_run.c */

/**
 * Applies the event and carries out its effects.
 *
 * While effects are being carried out the event is queued by value, so an
 * event raised there must not point to borrowed data.
 */
void srv_dispatch(struct srv *srv, struct ent_event *event);

/** Dispatches an event of the job part. */
void srv_dispatch_job(struct srv *srv, const struct job_event *event);

/**
 * Listens on a numeric host:port; name is the setting for the error text.
 */
struct evconnlistener *srv_listen(struct srv *srv, const char *name,
				  const char *address, evconnlistener_cb cb,
				  void *ctx, GError **error);

/** Next delay of an exponential back-off, with jitter of one half. */
gint64 srv_backoff_ms(struct srv *srv, unsigned failures, gint64 max_ms);

/* srv_http.c: the listener for callers */

struct srv_http *srv_http_new(struct srv *srv, GError **error);
void srv_http_free(struct srv_http *http);
void srv_http_tick(struct srv_http *http, gint64 now_ms);
void srv_http_stop_accepting(struct srv_http *http);
/** Requests that wait for an answer, or whose answer is being written. */
unsigned srv_http_open(const struct srv_http *http);
unsigned srv_http_connections(const struct srv_http *http);

/** What answers a caller; all pointers are borrowed but reply. */
struct srv_answer {
	unsigned status;
	/** NULL to send no Radishpier-Outcome. */
	const char *outcome;
	unsigned retry_after_s;
	const char *content_type;
	const void *body;
	size_t body_len;
	/** Headers and body of an upstream, taken over, or NULL. */
	struct Rp__Frame *reply;
};

/** Answers the request with this handle, if its caller is still there. */
void srv_http_answer(struct srv_http *http, guint64 handle,
		     struct srv_answer *answer);

/* srv_jobs.c: the jobs API and calls between entries */

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
gboolean srv_jobs_path(const char *path);
void srv_jobs_http(struct srv_jobs *jobs, const struct srv_job_call *call);
/** Carries out JOB_FX_ANSWER. */
void srv_jobs_answer(struct srv_jobs *jobs, guint64 handle, unsigned status,
		     GBytes *body);
void srv_jobs_peer_call(struct srv_jobs *jobs, guint64 conn,
			const struct Rp__PeerCall *call);
void srv_jobs_peer_reply(struct srv_jobs *jobs, guint64 conn,
			 const struct Rp__PeerReply *reply);
/** The connection is gone: calls that it carried have no known outcome. */
void srv_jobs_conn_closed(struct srv_jobs *jobs, guint64 conn);

/* srv_spec.c: the JSON of a job */

struct srv_spec;

/**
 * Reads the JSON of POST /v1/jobs; returns NULL and sets *error_json to the
 * body of the 400 answer, which names the field and what was expected.
 */
struct srv_spec *srv_spec_parse(const void *data, size_t len,
				char **error_json);
void srv_spec_free(struct srv_spec *spec);
const struct job_spec *srv_spec_job(const struct srv_spec *spec);

/* srv_conn.c: connections of agents and peer entries */

struct srv_conns *srv_conns_new(struct srv *srv, GError **error);
void srv_conns_free(struct srv_conns *conns);
void srv_conns_tick(struct srv_conns *conns, gint64 now_ms);
void srv_conns_stop_accepting(struct srv_conns *conns);
/** Returns 0, or -1 if the connection is gone or the frame too large. */
int srv_conns_send(struct srv_conns *conns, guint64 number,
		   const struct Rp__Frame *frame);
/** Closes once what was sent before has been written. */
void srv_conns_close(struct srv_conns *conns, guint64 number);
/** Entries to dial besides those in the settings; sorted by id. */
void srv_conns_set_entries(struct srv_conns *conns, const char *const *ids,
			   const char *const *addresses, size_t n);
/** Bytes that wait in output buffers. */
size_t srv_conns_unsent(const struct srv_conns *conns);
/** Bytes of frames read and written so far. */
void srv_conns_wire_bytes(const struct srv_conns *conns, guint64 *in,
			  guint64 *out);
void srv_conns_count(const struct srv_conns *conns, unsigned *agents,
		     unsigned *peers);

/* srv_platform.c: lease, registration and watches; srv_claim.c: the rest */

struct srv_platform *srv_platform_new(struct srv *srv, GError **error);
void srv_platform_free(struct srv_platform *platform);
void srv_platform_tick(struct srv_platform *platform, gint64 now_ms);
/** The process was stopped: what was read before may be stale. */
void srv_platform_resumed(struct srv_platform *platform, gint64 now_ms);
void srv_platform_lease_lost(struct srv_platform *platform, const char *why);
/** Gives the lease back; sets srv->released when that is done. */
void srv_platform_release(struct srv_platform *platform);
const struct kv_calls *srv_platform_calls(const struct srv_platform *platform);

struct srv_claims;

struct srv_claims *srv_claims_new(struct srv *srv, struct kv *kv);
void srv_claims_free(struct srv_claims *claims);
/** Carries out ENT_FX_CLAIM_KEY; owner becomes the value of the claim. */
void srv_claims_key(struct srv_claims *claims, guint64 handle, const char *key,
		    const char *owner);
/**
 * Carries out ENT_FX_RELEASE_KEY: deletes the claim if its value is owner.
 * written is FALSE if the claim may still be written.
 */
void srv_claims_release(struct srv_claims *claims, const char *key,
			const char *owner, gboolean written);
void srv_claims_tick(struct srv_claims *claims, gint64 now_ms);
/** Releases that have not ended. */
unsigned srv_claims_releasing(const struct srv_claims *claims);
/** Carries out JOB_FX_TXN and JOB_FX_RANGE. */
void srv_claims_job_txn(struct srv_claims *claims, guint64 id,
			const struct kv_txn *txn);
void srv_claims_job_range(struct srv_claims *claims, guint64 id,
			  const char *prefix, gboolean exact,
			  gint64 min_revision);
struct srv_claims *srv_platform_claims(const struct srv_platform *platform);

/* srv_ops.c: the operators' listener */

struct srv_ops *srv_ops_new(struct srv *srv, GError **error);
void srv_ops_free(struct srv_ops *ops);

#endif
