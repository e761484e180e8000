#ifndef ENTRY_INTERNAL_H
#define ENTRY_INTERNAL_H

#include "entry.h"

/* Requests that wait in all queues of one entry, and their bytes. */
#define ENT_MAX_QUEUED 8192
#define ENT_MAX_QUEUED_BYTES (32 * 1024 * 1024)

/* Claims that wait for the platform, which takes a few hundred writes/s. */
#define ENT_MAX_CLAIMS 64

/* Interval of FleetInfo, PeerState and the review of all agents. */
#define ENT_SWEEP_INTERVAL_MS 1000

/* A peer without a connection for this long is not counted as alive. */
#define ENT_PEER_LOST_MS 10000

#define ENT_NOT_QUEUED G_MAXUINT

/* Binary heap of requests by deadline; which selects request->pos[]. */
struct heap {
	GPtrArray *items;
	unsigned which;
};

enum {
	HEAP_TIMERS,
	HEAP_QUEUE,
	HEAP_KINDS
};

/* Why a request got no answer from an upstream; see ent_failure_info[]. */
enum failure {
	FAIL_NO_TABLES,
	FAIL_NO_ROUTE,
	FAIL_NO_POOL,
	FAIL_ENTRY_DRAINING,
	FAIL_NO_UPSTREAM,
	FAIL_QUEUE_FULL,
	FAIL_SHED,
	FAIL_TOO_LATE,
	FAIL_EXPIRED,
	FAIL_NO_TIME,
	FAIL_KEY_MISSING,
	FAIL_KEY_TAKEN,
	FAIL_KEY_UNAVAILABLE,
	FAIL_KEY_UNKNOWN,
	FAIL_REFUSED,
	FAIL_RETRY_BUDGET,
	FAIL_TIMEOUT,
	FAIL_CONNECTION_LOST,
	FAIL_UPSTREAM,
	FAIL_KINDS,
};

struct failure_info {
	const char *name;
	unsigned status;
	Rp__Outcome outcome;
	Rp__Reason reason;
	const char *text;
};

struct pool {
	char *name;
	/* FALSE if the tables in force do not name it. */
	gboolean configured;
	unsigned priority;
	unsigned guaranteed;
	unsigned max_requests;
	unsigned queue_length;
	unsigned target_ms;
	unsigned retry_percent;
	unsigned hedge_percent;

	/* The first n_available members may be chosen now. */
	GPtrArray *members;
	unsigned n_available;
	unsigned n_draining;
	unsigned n_ejected;
	/* Slots of the members that are not draining. */
	guint64 fleet_slots;
	gboolean slots_changed;
	gint64 last_member_ms;
	unsigned next_member;

	unsigned in_flight;
	unsigned claiming;
	struct heap queue;
	/* Most requests in flight while others queue too; 0 for no limit. */
	unsigned peer_limit;
	double retry_tokens;
	double hedge_tokens;

	/* Adaptive limit; infinite until answers exceed the target. */
	double limit;
	gint64 window_start_ms;
	unsigned window_answers;
	unsigned window_slow;
	unsigned window_peak;
	/* Moving averages of the latency and of its distance to the first. */
	double latency_ms;
	double deviation_ms;
	gint64 latency_at_ms;

	guint64 answered;
	guint64 retried;
	/* Estimate of the p95 of the latency. */
	double slow_ms;
	guint64 hedges_sent;
	guint64 hedges_won;
	guint64 hedges_refused;
	guint64 failures[FAIL_KINDS];
	enum failure last_failure;
	gint64 last_failure_ms;
};

/* An agent in one pool. */
struct member {
	struct agent *agent;
	struct pool *pool;
	unsigned pos;
	/* Position in Hello. */
	unsigned index;
	gboolean ejected;
	unsigned in_flight;
	/* Requests more that the agent would admit, as far as is known. */
	unsigned free;
	/* From the last reply or report, without this entry's requests. */
	unsigned others;
	double reported_latency_ms;
	/* Measured here, network included; 0 before the first answer. */
	double latency_ms;
	gint64 latency_at_ms;
	gint64 started_ms;
	unsigned failures_in_row;
	unsigned ejections;
	gint64 ejected_until_ms;
	/* Refused by the agent for want of a slot; 0 if not paused. */
	gint64 paused_until_ms;
};

struct attempt {
	guint64 id;
	/* NULL once the caller has its answer or is gone. */
	struct request *request;
	struct member *member;
	gint64 sent_ms;
	/* The agent was given the time until then. */
	gint64 deadline_ms;
	/* When the caller was answered without this attempt's reply; or 0. */
	gint64 abandoned_ms;
	struct attempt *prev;
	struct attempt *next;
};

struct agent {
	struct conn *conn;
	char *vm;
	char *boot_id;
	char *zone;
	unsigned slots;
	unsigned in_flight;
	unsigned others;
	gint64 report_ms;
	gboolean draining;
	/* Of the tables it last reported in a Hello, Report or Reply. */
	guint64 tables_generation;
	GPtrArray *members;
	struct attempt *first;
	struct attempt *last;
};

struct peer {
	char *id;
	char *zone;
	/* Connections, the one in use last. */
	GArray *conns;
	gint64 lost_ms;
	gboolean registered;
	/* Takes frames about members and promises. */
	gboolean knows_members;
	unsigned in_flight;
	GArray *claims;
	/*
	 * Names of pools in which requests waited there, to the slots that
	 * the entry would use; and when it told so.
	 */
	GHashTable *queues;
	gint64 queues_ms;
};

/* A document that receivers of deltas may still hold. */
struct old_document {
	guint64 generation;
	GBytes *bytes;
	/* Makes the document in force of it; made when first needed. */
	struct Rp__Frame *delta;
	gboolean delta_made;
};

/* A connection is an agent's or a peer's after its first frame. */
struct conn {
	guint64 id;
	struct agent *agent;
	struct peer *peer;
	gboolean hello_sent;
	gboolean accepts_deltas;
	/* Deltas that the other side may still fail to apply. */
	unsigned deltas_sent;
	/* Generation that the other side is known to hold or was sent. */
	guint64 generation;
};

/* A claim that the platform has not answered. */
struct key_claim {
	guint64 handle;
	char *key;
	char *owner;
};

struct request {
	guint64 handle;
	struct pool *pool;
	gboolean idempotent;
	gboolean claiming;
	/* The platform holds or may hold the claim of the key. */
	gboolean claimed;
	gboolean claim_written;
	/* An earlier attempt may have run. */
	gboolean maybe_ran;
	char *key;
	gint64 deadline_ms;
	size_t bytes;
	/* Request frame to copy for each attempt. */
	struct Rp__Frame *frame;
	struct attempt *attempt;
	/* Second attempt beside the first, which is slow; or NULL. */
	struct attempt *hedge;
	gboolean hedged;
	gboolean hedge_refused;
	guint64 last_conn;
	unsigned refusals;
	/* It was in the queue at least once. */
	gboolean waited;
	unsigned pos[HEAP_KINDS];
};

struct ent {
	char *id;
	char *zone;
	GRand *random;
	enum ent_lb_policy choice;
	gboolean no_limits;
	gboolean no_ejections;
	gint64 now_ms;
	gint64 unix_ms;
	/* Of the event being applied. */
	GArray *effects;

	struct cfg_tables *tables;
	GBytes *document;
	/* Of struct old_document, the newest first. */
	GPtrArray *old_documents;

	/* Name to struct pool; the array is sorted by priority. */
	GHashTable *pools;
	GPtrArray *pools_by_priority;
	GHashTable *conns;
	/* VM name to struct agent. */
	GHashTable *agents;
	/* VM name to array of struct unended; see unended.c. */
	GHashTable *unended;
	/* Of struct member whose pause has not ended. */
	GPtrArray *paused;
	GHashTable *peers;
	GPtrArray *entry_addresses;
	gboolean addresses_changed;
	/* Entries alive, this one included, and its rank among them. */
	unsigned n_alive;
	unsigned rank;

	/* Of requests that were refused before their pool was known. */
	guint64 failures[FAIL_KINDS];
	GHashTable *requests;
	GHashTable *attempts;
	guint64 next_attempt;
	struct heap timers;
	unsigned queued;
	size_t queued_bytes;
	unsigned claiming;
	/* Handle to struct key_claim: the request ended before the answer. */
	GHashTable *ended_claims;

	gboolean draining;
	gboolean drained;
	gint64 last_sweep_ms;
	gint64 last_fleet_info_ms;
	gint64 last_peer_state_ms;
	/* Digest of the shard claims that the peers were told. */
	guint64 claims_digest;
	/* The peers were told of requests that wait. */
	gboolean queues_announced;
	struct job *jobs;
	GArray *job_effects;
};

/* heap.c */
void ent_heap_init(struct heap *heap, unsigned which);
void ent_heap_clear(struct heap *heap);
unsigned ent_heap_size(const struct heap *heap);
struct request *ent_heap_top(const struct heap *heap);
void ent_heap_push(struct heap *heap, struct request *request);
/* Does nothing if the request is not in the heap. */
void ent_heap_remove(struct heap *heap, struct request *request);

/* entry.c */
void ent_fx_send(struct ent *ent, guint64 conn, struct Rp__Frame *frame);
void ent_fx_log(struct ent *ent, GLogLevelFlags level, const char *request_id,
		const char *format, ...) G_GNUC_PRINTF(4, 5);
/* Takes labels. */
void ent_fx_count(struct ent *ent, const char *name, char *labels);
void ent_job_event(struct ent *ent, struct job_event *event);
struct conn *ent_conn_get(struct ent *ent, guint64 id);
/* Closes and forgets it; requests in flight on it become unknown. */
void ent_conn_close(struct ent *ent, struct conn *conn);
/* Closes and forgets a connection on which something unexpected came. */
void ent_conn_refuse(struct ent *ent, struct conn *conn, const char *format,
		     ...) G_GNUC_PRINTF(3, 4);

/* request.c */
extern const struct failure_info ent_failure_info[FAIL_KINDS];
void ent_request_new(struct ent *ent, const struct ent_request *from);
void ent_request_gone(struct ent *ent, guint64 handle);
void ent_request_claimed(struct ent *ent, guint64 handle,
			 enum ent_claim result);
/* Returns TRUE if the frame was passed on in an answer. */
gboolean ent_request_reply(struct ent *ent, struct conn *conn,
			   struct Rp__Frame *frame);
/* The request goes on with its other attempt, if there is one. */
void ent_request_forget(struct request *request, struct attempt *attempt);
void ent_request_attempt_lost(struct ent *ent, struct attempt *attempt);
void ent_request_fail(struct ent *ent, struct request *request,
		      enum failure why);
/* Returns the new attempt, which the request does not name yet. */
struct attempt *ent_request_send(struct ent *ent, struct request *request,
				 struct member *member);
void ent_request_free(struct request *request);
void ent_key_claim_free(void *claim);
/* Whether it could be sent, or its key claimed, at once. */
gboolean ent_request_may_start(const struct ent *ent,
			       const struct request *request);
/* Starts an admitted request, or lets it wait for a free slot. */
void ent_request_continue(struct ent *ent, struct request *request);
void ent_requests_expire(struct ent *ent);

/* upstream.c */
void ent_agent_hello(struct ent *ent, struct conn *conn,
		     const struct Rp__Hello *hello);
void ent_agent_report(struct ent *ent, struct agent *agent,
		      const struct Rp__Report *report);
void ent_agent_set_draining(struct ent *ent, struct agent *agent,
			    gboolean draining);
/* Slots that other entries use, for each pool in the order of Hello. */
void ent_agent_set_others(struct ent *ent, struct agent *agent,
			  const uint32_t *others, size_t n);
void ent_agent_free(struct ent *ent, struct agent *agent);
/* Recomputes which pools may use the agent. */
void ent_agent_refresh(struct ent *ent, struct agent *agent);
/* Returns a member with a free slot, or NULL; avoids a connection. */
struct member *ent_upstream_choose(struct ent *ent, struct pool *pool,
				   guint64 avoid);
struct attempt *ent_attempt_new(struct ent *ent, struct member *member,
				struct request *request);
/* Unlinks and frees the attempt, and frees its slot. */
void ent_attempt_end(struct ent *ent, struct attempt *attempt);
void ent_member_answered(struct ent *ent, struct member *member, double ms);
void ent_member_failed(struct ent *ent, struct member *member);
/* The pool gets no slot of the agent until it reports, answers or time ends. */
void ent_member_pause(struct ent *ent, struct member *member);
/* The agent gave newer information: ends the pauses of its members. */
void ent_agent_resume(struct ent *ent, struct agent *agent);
/* Ends the pauses whose time is over. */
void ent_members_resume(struct ent *ent);
unsigned ent_agent_others(const struct ent *ent, const struct agent *agent);
void ent_upstreams_sweep(struct ent *ent);
void ent_fleet_info_send(struct ent *ent, struct agent *agent);

/* unended.c: requests that ended here, but perhaps not at the upstream. */
GHashTable *ent_unended_new(void);
/* Remembers an attempt whose slot at the agent may stay in use. */
void ent_unended_add(struct ent *ent, const struct attempt *attempt);
/* Tells an agent which requests its predecessors may have left running. */
void ent_unended_tell(struct ent *ent, const struct agent *agent,
		      struct Rp__Welcome *welcome);
void ent_unended_sweep(struct ent *ent);

/* limit.c */
struct pool *ent_pool_get(struct ent *ent, const char *name);
void ent_pool_free(void *pool);
void ent_pool_init_limits(struct pool *pool);
/* This entry's part of a limit of the fleet; the parts add up to it. */
unsigned ent_pool_share(const struct ent *ent, unsigned fleet_limit);
/* Requests that this entry may have in flight now. */
unsigned ent_pool_limit(const struct ent *ent, const struct pool *pool);
gboolean ent_pool_may_send(const struct ent *ent, const struct pool *pool);
/* Expected wait in the queue, or -1 if it is not known. */
gint64 ent_pool_wait_ms(const struct pool *pool);
/* Time that an answer takes at most, as a rule; 0 if it is not known. */
double ent_pool_needed_ms(const struct ent *ent, const struct pool *pool);
/* Records an answer's latency and adapts the limit. */
void ent_pool_answered(struct ent *ent, struct pool *pool, double ms);
void ent_pool_failed(struct ent *ent, struct pool *pool, enum failure why);
void ent_pool_earn_retry(struct pool *pool);
gboolean ent_pool_spend_retry(struct pool *pool);

/* queue.c: requests that wait for a free slot. */
void ent_queue_enter(struct ent *ent, struct request *request);
/* Does nothing if the request does not wait. */
void ent_queue_leave(struct ent *ent, struct request *request);
/* Returns why the request may not wait, or FAIL_KINDS if it may. */
enum failure ent_queue_refuses(struct ent *ent, const struct request *request);
/* Sends what waits and may be sent, the most urgent pools first. */
void ent_requests_dispatch(struct ent *ent);

/* hedge.c */
/* Sends second attempts for slow requests that may be repeated. */
void ent_hedge_requests(struct ent *ent);
void ent_hedge_learn(struct pool *pool, double ms);
void ent_hedge_earn(struct pool *pool);
/* A refused attempt or a retry: counts against the budget of hedges. */
void ent_hedge_owe(struct pool *pool);
void ent_hedge_won(struct ent *ent, struct pool *pool);

/* tables.c */
void ent_tables_offer(struct ent *ent, const void *data, size_t len,
		      struct conn *from);
/* Sends the tables if the other side holds older ones. */
void ent_tables_offer_to(struct ent *ent, struct conn *conn,
			 guint64 generation);
void ent_tables_delta(struct ent *ent, const struct Rp__TablesDelta *delta,
		      struct conn *from);
/* Returns -1 if nothing was sent that the other side could lack. */
int ent_tables_wanted(struct ent *ent, struct conn *conn);
void ent_old_document_free(gpointer data);
guint64 ent_tables_generation(const struct ent *ent);

/* peers.c */
void ent_peer_connected(struct ent *ent, struct conn *conn);
void ent_peer_hello(struct ent *ent, struct conn *conn,
		    const struct Rp__PeerHello *hello);
void ent_peer_state(struct ent *ent, struct conn *conn,
		    const struct Rp__PeerState *state);
/* Passes a frame about members or promises to the job part. */
void ent_peer_members(struct ent *ent, struct conn *conn,
		      const struct Rp__Frame *frame);
void ent_peer_closed(struct ent *ent, struct conn *conn);
void ent_peer_free(void *peer);
void ent_entries_set(struct ent *ent, const char *const *ids,
		     const char *const *addresses, size_t n);
void ent_peers_sweep(struct ent *ent);
void ent_peers_recount(struct ent *ent);

#endif
