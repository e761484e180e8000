#ifndef ENTRY_INTERNAL_H
#define ENTRY_INTERNAL_H

#include "entry.h"

/* Bounds of all queues of this entry together. */
#define ENT_MAX_QUEUED 8192
#define ENT_MAX_QUEUED_BYTES (32 * 1024 * 1024)

/* Key claims in flight; the key-value store takes a few hundred writes/s. */
#define ENT_MAX_CLAIMS 64

/* Interval of the scan of agents and peers, which may send frames to them. */
#define ENT_SCAN_INTERVAL_MS 1000

/* A registered peer counts as alive for this time after it disconnected. */
#define ENT_PEER_LOST_MS 10000

/*
 * Requests are queued for this time after a pool lost its last upstream, which
 * may reconnect.
 */
#define ENT_NO_UPSTREAM_GRACE_MS 5000

/* Value of request->heap_pos[]. */
#define ENT_NOT_IN_HEAP G_MAXUINT

/* Binary heap of requests by deadline; kind is the index in heap_pos[]. */
struct heap {
	GPtrArray *items;
	unsigned kind;
};

enum {
	/* All requests, in struct ent; its top expires next. */
	HEAP_DEADLINES,
	/* Requests of one pool that wait for a slot. */
	HEAP_QUEUE,
	HEAP_KINDS
};

/* Why the entry itself answered a request; see ent_failure_info[]. */
enum failure {
	FAIL_NO_TABLES,
	FAIL_NO_ROUTE,
	FAIL_NO_POOL,
	FAIL_ENTRY_DRAINING,
	FAIL_EVACUATIONS_UNREAD,
	FAIL_EVACUATED,
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
	/* Number of failures; as a value it means that there is none. */
	FAIL_KINDS,
};

struct failure_info {
	const char *name;
	unsigned status;
	Rp__Outcome outcome;
	Rp__Reason reason;
	const char *text;
};

/* A pool that the tables or an agent names. */
struct pool {
	char *name;
	/* FALSE if the tables in force do not name it. */
	gboolean configured;
	/* Lower values are more urgent. */
	unsigned priority;
	/*
	 * Requests in flight of the whole fleet: how many are guaranteed, and
	 * the maximum (0: none).
	 */
	unsigned guaranteed;
	unsigned max_requests;
	/* Maximum of queued requests at this entry. */
	unsigned queue_length;
	/* Latency that the adaptive limit keeps; 0 for none. */
	unsigned target_ms;
	/* Budgets in percent of the requests; 0 disables retries or hedges. */
	unsigned retry_percent;
	unsigned hedge_percent;

	/* Unordered; the first n_available have a free slot and are usable. */
	GPtrArray *members;
	unsigned n_available;
	unsigned n_draining;
	/* In an evacuated zone and not draining. */
	unsigned n_evacuated;
	unsigned n_ejected;
	/* Slots of the members in service: not draining or evacuated. */
	guint64 fleet_slots;
	/* fleet_slots has changed since the last FleetInfo. */
	gboolean slots_changed;
	/* When a member last joined, left or changed its draining state. */
	gint64 members_changed_ms;
	/* When a member in service last began to drain or disconnected. */
	gint64 member_lost_ms;
	/* Round-robin position. */
	unsigned next_member;

	/* Request attempts without a reply. */
	unsigned in_flight;
	/* Requests whose key claim has no answer yet. */
	unsigned pending_claims;
	struct heap queue;
	/* Limit while this entry and peers queue requests; 0 for none. */
	unsigned peer_limit;
	/* Token buckets of the budgets; hedge_tokens may be negative. */
	double retry_tokens;
	double hedge_tokens;

	/* Limit of requests in flight; infinite until answers are too slow. */
	double adaptive_limit;
	/* Since the last adaptation: answers, those over the target, peak. */
	gint64 window_start_ms;
	unsigned window_answers;
	unsigned window_slow;
	unsigned window_peak;
	/* Moving averages of the latency and of its absolute deviation. */
	double latency_ms;
	double deviation_ms;
	gint64 latency_updated_ms;

	guint64 answered;
	guint64 retried;
	/* Streaming estimate of the 95th percentile of the latency. */
	double latency_p95_ms;
	guint64 hedges_sent;
	guint64 hedges_won;
	/* Not sent for want of budget. */
	guint64 hedges_refused;
	guint64 failures[FAIL_KINDS];
	enum failure last_failure;
	gint64 last_failure_ms;
};

/* An agent as an upstream of one pool. */
struct member {
	struct agent *agent;
	struct pool *pool;
	/* Index in pool->members. */
	unsigned pos;
	/* Index of the pool in the agent's Hello. */
	unsigned index;
	gboolean ejected;
	unsigned in_flight;
	/* Further requests that the agent is expected to admit. */
	unsigned free_slots;
	/* The pool's slots in use by others than this entry, as reported. */
	unsigned others_in_use;
	/* Measured by the agent; 0 if not known. */
	double reported_latency_ms;
	/* Measured here, network included; 0 before the first answer. */
	double latency_ms;
	gint64 latency_updated_ms;
	gint64 slow_start_begin_ms;
	unsigned consecutive_failures;
	/* Recent ejections, each of which doubles the next one's duration. */
	unsigned ejections;
	gint64 ejected_until_ms;
	/* End of the back-off after a refusal by the agent; 0 if none. */
	gint64 backoff_until_ms;
};

/* A request attempt: one send of a request to an upstream. */
struct attempt {
	guint64 id;
	/* NULL once the caller was answered or disconnected. */
	struct request *request;
	struct member *member;
	gint64 sent_ms;
	/* Deadline sent to the agent. */
	gint64 deadline_ms;
	/* When a Cancel was sent for it; 0 if none. */
	gint64 cancelled_ms;
	/* Links of the agent's list, in order of sent_ms. */
	struct attempt *prev;
	struct attempt *next;
};

/* A connected agent and its VM. */
struct agent {
	struct conn *conn;
	char *vm;
	/* Agent boot id; a restarted agent has another. */
	char *boot_id;
	char *zone;
	unsigned slots;
	/* Slots in use by this entry, and by others as last reported. */
	unsigned in_flight;
	unsigned others_in_use;
	gint64 others_updated_ms;
	gboolean draining;
	/* Its zone is evacuated. */
	gboolean evacuated;
	/* Generation of its tables, as last reported. */
	guint64 tables_generation;
	/* Of struct member, which the agent owns. */
	GPtrArray *members;
	struct attempt *oldest_attempt;
	struct attempt *newest_attempt;
};

/* Another entry. */
struct peer {
	char *id;
	char *zone;
	/* Ids of its open connections; frames are sent on the last one. */
	GArray *conns;
	gint64 disconnected_ms;
	/* Named by the last ENT_EV_ENTRIES. */
	gboolean registered;
	/* Accepts the frames of job scheduler members (wire knows_members). */
	gboolean accepts_job_member_frames;
	unsigned in_flight;
	/* Of struct claim: the job shards that it last reported to own. */
	GArray *claims;
	/*
	 * Pool name to the slots that the peer would use, for the pools of
	 * which it last reported queued requests; and the time of that report.
	 */
	GHashTable *wanted_slots;
	gint64 wanted_slots_updated_ms;
};

/* An earlier table document, the base of deltas to receivers that hold it. */
struct old_document {
	guint64 generation;
	GBytes *bytes;
	/* Cached TablesDelta to the document in force; NULL if not smaller. */
	struct Rp__Frame *delta;
	/* FALSE before the first use of delta. */
	gboolean delta_made;
};

/* A connection; its first frame shows if it is an agent's or a peer's. */
struct conn {
	guint64 id;
	struct agent *agent;
	struct peer *peer;
	gboolean hello_sent;
	gboolean accepts_deltas;
	/* Sent deltas for which the receiver may still request the document. */
	unsigned deltas_sent;
	/* Newest generation of tables that the other side holds or was sent. */
	guint64 generation;
	/* The same for the evacuations; and whether it was sent that they were
	 * read. */
	guint64 evacuations_generation;
	gboolean evacuations_read_sent;
};

/* A key claim without an answer, whose request has ended. */
struct key_claim {
	guint64 handle;
	char *key;
	char *owner;
};

/* A caller's request until its answer. */
struct request {
	guint64 handle;
	struct pool *pool;
	/* May be run more than once, so an unknown outcome is retried. */
	gboolean idempotent;
	gboolean claim_pending;
	/* The claim of the key is or may be written. */
	gboolean claimed;
	gboolean claim_written;
	/* An ended attempt may have run. */
	gboolean maybe_ran;
	/* Idempotency-Key to be claimed; NULL if the route needs none. */
	char *key;
	gint64 deadline_ms;
	/* Size that counts for ENT_MAX_QUEUED_BYTES. */
	size_t bytes;
	/* Request frame that is copied for each attempt. */
	struct Rp__Frame *frame;
	struct attempt *attempt;
	/* Concurrent second attempt, sent if the first is slow; or NULL. */
	struct attempt *hedge;
	/* At most one hedge is sent, and one lack of budget counted. */
	gboolean hedged;
	gboolean hedge_refused;
	/* Connection of the last attempt; the next one takes another if it can.
	 */
	guint64 last_conn;
	/* Refusals by agents for want of a slot, draining or stale tables. */
	unsigned refusals;
	gboolean was_queued;
	unsigned heap_pos[HEAP_KINDS];
};

struct ent {
	char *id;
	char *zone;
	GRand *random;
	enum ent_lb_policy lb_policy;
	gboolean no_limits;
	gboolean no_ejections;
	gint64 now_ms;
	gint64 unix_ms;
	/* Effects of the event in progress; NULL between events. */
	GArray *effects;

	struct cfg_tables *tables;
	GBytes *document;
	/* Of struct old_document, newest first. */
	GPtrArray *old_documents;

	/* Evacuations in force, and their document; NULL at generation 0. */
	struct evac *evacuations;
	GBytes *evacuations_document;
	/* FALSE while the evacuated zones are not known. */
	gboolean evacuations_read;
	/* When they were last known to be current. */
	gint64 evacuations_current_ms;

	/* Name to struct pool; the array has the most urgent first. */
	GHashTable *pools;
	GPtrArray *pools_by_priority;
	/* Id to struct conn. */
	GHashTable *conns;
	/* VM name to struct agent. */
	GHashTable *agents;
	/* VM name to array of struct maybe_running; see unended.c. */
	GHashTable *maybe_running;
	/* Of struct member whose back-off has not ended. */
	GPtrArray *backed_off;
	/* Entry id to struct peer. */
	GHashTable *peers;
	/* Agent listeners of all entries, sent to agents. */
	GPtrArray *entry_addresses;
	gboolean addresses_changed;
	/* Live entries, this one included, and its rank by id among them. */
	unsigned n_alive;
	unsigned rank;

	/* Requests that failed before their pool was known. */
	guint64 failures[FAIL_KINDS];
	/* Handle to struct request. */
	GHashTable *requests;
	/* Id to struct attempt. */
	GHashTable *attempts;
	guint64 next_attempt;
	struct heap deadlines;
	/* Totals of all pools. */
	unsigned queued;
	size_t queued_bytes;
	unsigned pending_claims;
	/* Handle to struct key_claim. */
	GHashTable *claims_of_ended_requests;

	gboolean draining;
	gboolean drained;
	gint64 last_scan_ms;
	gint64 last_fleet_info_ms;
	gint64 last_peer_state_ms;
	/* Digest of the job shard claims in the last PeerState. */
	guint64 claims_digest;
	/* The last PeerState reported queued requests. */
	gboolean queues_announced;
	struct job *jobs;
	GArray *job_effects;
};

/* heap.c */
void ent_heap_init(struct heap *heap, unsigned kind);
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
/* Adds 1 to a counter; takes ownership of labels. */
void ent_fx_count(struct ent *ent, const char *name, char *labels);
/* Passes the event to the job scheduler and appends its effects. */
void ent_job_event(struct ent *ent, struct job_event *event);
/* Returns the connection, which is created if it is not known. */
struct conn *ent_conn_get(struct ent *ent, guint64 id);
/* Closes and frees it; the outcome of requests in flight is unknown. */
void ent_conn_close(struct ent *ent, struct conn *conn);
/* Closes and frees a connection that received an unexpected message. */
void ent_conn_protocol_error(struct ent *ent, struct conn *conn,
			     const char *format, ...) G_GNUC_PRINTF(3, 4);

/* request.c */
extern const struct failure_info ent_failure_info[FAIL_KINDS];
void ent_request_new(struct ent *ent, const struct ent_request *from);
void ent_request_caller_disconnected(struct ent *ent, guint64 handle);
/* Applies the result of ENT_FX_CLAIM_KEY. */
void ent_request_claim_answered(struct ent *ent, guint64 handle,
				enum ent_claim result);
/* Returns TRUE if an answer took ownership of the frame. */
gboolean ent_request_reply(struct ent *ent, struct conn *conn,
			   struct Rp__Frame *frame);
/* Separates an attempt from its request, which keeps its other attempt. */
void ent_request_unlink_attempt(struct request *request,
				struct attempt *attempt);
/* Ends an attempt whose connection closed. */
void ent_request_attempt_lost(struct ent *ent, struct attempt *attempt);
/* Answers the caller and frees the request. */
void ent_request_fail(struct ent *ent, struct request *request,
		      enum failure why);
/* Returns the new attempt; the caller links it to the request. */
struct attempt *ent_request_send(struct ent *ent, struct request *request,
				 struct member *member);
void ent_request_free(struct request *request);
void ent_key_claim_free(void *claim);
/* Whether it could be sent, or its key be claimed, now. */
gboolean ent_request_may_start(const struct ent *ent,
			       const struct request *request);
/* Starts an admitted request, queues it for a free slot, or fails it. */
void ent_request_continue(struct ent *ent, struct request *request);
/* Fails the requests whose deadline has passed. */
void ent_requests_expire(struct ent *ent);

/* upstream.c */
void ent_agent_hello(struct ent *ent, struct conn *conn,
		     const struct Rp__Hello *hello);
void ent_agent_report(struct ent *ent, struct agent *agent,
		      const struct Rp__Report *report);
void ent_agent_set_draining(struct ent *ent, struct agent *agent,
			    gboolean draining);
/* others: slots in use by others, for each pool in the order of Hello. */
void ent_agent_set_others_in_use(struct ent *ent, struct agent *agent,
				 const uint32_t *others, size_t n);
void ent_agent_set_evacuated(struct ent *ent, struct agent *agent,
			     gboolean evacuated);
/* TRUE if the agent takes no new requests: it drains or is evacuated. */
gboolean ent_agent_out_of_service(const struct agent *agent);
void ent_agent_free(struct ent *ent, struct agent *agent);
/* Recomputes the free slots of the agent and which pools may use it. */
void ent_agent_update_free_slots(struct ent *ent, struct agent *agent);
/*
 * Returns a member with a free slot, or NULL. avoid_conn: id of a connection
 * that the policies with random candidates try not to choose; 0 for none.
 */
struct member *ent_upstream_choose(struct ent *ent, struct pool *pool,
				   guint64 avoid_conn);
struct attempt *ent_attempt_new(struct ent *ent, struct member *member,
				struct request *request);
/* Frees the attempt and its slot. */
void ent_attempt_end(struct ent *ent, struct attempt *attempt);
void ent_member_answered(struct ent *ent, struct member *member, double ms);
void ent_member_failed(struct ent *ent, struct member *member);
/*
 * Sends nothing to the member for REFUSAL_BACKOFF_MS, or until the next report
 * or answer of its agent.
 */
void ent_member_back_off(struct ent *ent, struct member *member);
/* Ends the back-offs of the agent's members. */
void ent_agent_end_backoffs(struct ent *ent, struct agent *agent);
/* Ends the back-offs whose time has passed. */
void ent_members_end_backoffs(struct ent *ent);
/* Estimate of the slots in use by others; an old report counts for less. */
unsigned ent_agent_others_in_use(const struct ent *ent,
				 const struct agent *agent);
/* Ends ejections that are over and closes agents that do not reply. */
void ent_upstreams_scan(struct ent *ent);
void ent_fleet_info_send(struct ent *ent, struct agent *agent);

/*
 * unended.c: requests whose attempts ended here and may still run at the
 * upstream (Unended in frames).
 */
GHashTable *ent_maybe_running_new(void);
/* Records an attempt whose slot at the agent may stay in use. */
void ent_maybe_running_add(struct ent *ent, const struct attempt *attempt);
/* Adds to the Welcome the requests left by earlier processes of the agent. */
void ent_maybe_running_report(struct ent *ent, const struct agent *agent,
			      struct Rp__Welcome *welcome);
/* Drops the records whose time has passed. */
void ent_maybe_running_scan(struct ent *ent);

/* limit.c */
/* Returns the pool, which is created if it is not known. */
struct pool *ent_pool_get(struct ent *ent, const char *name);
void ent_pool_free(void *pool);
void ent_pool_init_limits(struct pool *pool);
/* Number of members that neither drain nor are in an evacuated zone. */
unsigned ent_pool_members_in_service(const struct pool *pool);
/* This entry's share of a fleet-wide limit; the shares add up to it. */
unsigned ent_pool_share(const struct ent *ent, unsigned fleet_limit);
/* Requests that this entry may have in flight now; G_MAXUINT: no limit. */
unsigned ent_pool_limit(const struct ent *ent, const struct pool *pool);
gboolean ent_pool_may_send(const struct ent *ent, const struct pool *pool);
/* Expected wait of a new request in the queue, or -1 if not known. */
gint64 ent_pool_expected_wait_ms(const struct pool *pool);
/* Time within which most requests are answered; 0 if not known. */
double ent_pool_needed_ms(const struct ent *ent, const struct pool *pool);
/* Records an answer's latency and adapts the limit to it. */
void ent_pool_answered(struct ent *ent, struct pool *pool, double ms);
void ent_pool_failed(struct ent *ent, struct pool *pool, enum failure why);
/* Token bucket of retries; consume returns FALSE if it is empty. */
void ent_pool_credit_retry(struct pool *pool);
gboolean ent_pool_consume_retry(struct pool *pool);

/* queue.c: queues of requests that wait for a free slot. */
void ent_queue_enter(struct ent *ent, struct request *request);
/* Does nothing if the request is not queued. */
void ent_queue_leave(struct ent *ent, struct request *request);
/* Returns why the request may not be queued, or FAIL_KINDS if it may. */
enum failure ent_queue_check_admission(struct ent *ent,
				       const struct request *request);
/* Starts queued requests that may be sent, the most urgent pools first. */
void ent_requests_dispatch(struct ent *ent);

/* hedge.c */
/* Sends concurrent second attempts for slow idempotent requests. */
void ent_hedge_requests(struct ent *ent);
void ent_hedge_update_p95(struct pool *pool, double ms);
/* Credits the hedge budget for a new request. */
void ent_hedge_credit(struct pool *pool);
/* Charges the hedge budget for a refused attempt or a retry. */
void ent_hedge_charge(struct pool *pool);
void ent_hedge_count_won(struct ent *ent, struct pool *pool);

/* tables.c */
/* Adopts a document if it is newer; from is NULL if it is the store's. */
void ent_tables_receive(struct ent *ent, const void *data, size_t len,
			struct conn *from);
/* Sends the tables if the other side, which holds generation, lacks them. */
void ent_tables_send_if_newer(struct ent *ent, struct conn *conn,
			      guint64 generation);
void ent_tables_receive_delta(struct ent *ent,
			      const struct Rp__TablesDelta *delta,
			      struct conn *from);
/* Answers TablesWanted; returns -1 if no delta was sent to this side. */
int ent_tables_wanted(struct ent *ent, struct conn *conn);
void ent_old_document_free(gpointer data);
guint64 ent_tables_generation(const struct ent *ent);

/* evacuation.c */
/*
 * Adopts a document if its generation is higher. data is NULL for an absent
 * one; from is NULL if it is the store's.
 */
void ent_evacuation_receive(struct ent *ent, const void *data, size_t len,
			    struct conn *from);
void ent_evacuation_update(struct ent *ent, struct conn *conn,
			   const struct Rp__EvacuationUpdate *update);
/* Sends the document if the other side may lack it. */
void ent_evacuation_send(struct ent *ent, struct conn *conn);
gboolean ent_zone_evacuated(const struct ent *ent, const char *zone);
/* TRUE if the pool has upstreams, but only in evacuated zones. */
gboolean ent_pool_evacuated(const struct ent *ent, const struct pool *pool);
void ent_evacuation_status_json(const struct ent *ent, GString *out);

/* peers.c */
void ent_peer_connected(struct ent *ent, struct conn *conn);
void ent_peer_hello(struct ent *ent, struct conn *conn,
		    const struct Rp__PeerHello *hello);
void ent_peer_state(struct ent *ent, struct conn *conn,
		    const struct Rp__PeerState *state);
/*
 * Passes a frame of another job scheduler member (Members, PromiseRequest or
 * PromiseReply) to the job scheduler.
 */
void ent_peer_job_member_frame(struct ent *ent, struct conn *conn,
			       const struct Rp__Frame *frame);
void ent_peer_closed(struct ent *ent, struct conn *conn);
void ent_peer_free(void *peer);
void ent_entries_set(struct ent *ent, const char *const *ids,
		     const char *const *addresses, size_t n);
/* Drops dead peers; sends PeerState and FleetInfo that are due. */
void ent_peers_scan(struct ent *ent);
/* Recomputes the number of live entries and the rank of this one. */
void ent_peers_recount(struct ent *ent);

#endif
