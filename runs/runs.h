#ifndef RUNS_H
#define RUNS_H

#include <glib.h>

#include "../wire/wire.h"

/*
 * Decisions of the agent on the runs of its VM: a reducer without input or
 * output. It carries the leader's orders to the worker until each has a
 * certain outcome, keeps the worker's lease as far as the leader granted it,
 * reports what runs and what has ended, and paces tasks that fill beside tasks
 * that serve. Time is the boot clock in ms.
 */

enum runs_call_kind {
	/** Also reads the run lists. */
	RUNS_CALL_RENEW_LEASE,
	RUNS_CALL_START,
	RUNS_CALL_STOP,
	RUNS_CALL_SET_CPU_SHARE,
};

/** A call to the worker. A repeat of any of them has no further effect. */
struct runs_call {
	guint64 id;
	enum runs_call_kind kind;
	guint64 fencing_token;
	char *worker_id;
	/** Without an answer in this time it ends as RUNS_NO_ANSWER. */
	gint64 timeout_ms;
	/** Worker's clock; 0 for none. */
	gint64 lease_until_ms;
	guint64 acked_through;
	/** A hold is answered at the next end, but after this time at last. */
	gint64 wait_ms;
	char *task;
	guint32 attempt;
	GBytes *payload;
	char *checkpoint;
	char *ticket;
	guint cpu_share_percent;
};

enum runs_outcome {
	RUNS_OK,
	/** Refused for the reason given; it had no effect. */
	RUNS_REFUSED,
	/** The worker is not well; it had no effect. */
	RUNS_UNAVAILABLE,
	/** Another worker has answered; it had no effect. */
	RUNS_WRONG_WORKER,
	/** The call may have an effect, also later. */
	RUNS_NO_ANSWER,
};

struct runs_answer {
	guint64 call_id;
	enum runs_outcome outcome;
	/** "fence", "old", "late", "room" or "ticket". */
	const char *reason;
	/** Reading of the worker's clock; 0 for none. */
	gint64 clock_ms;
	/** Incarnation of the worker that answered; 0 if not reported. */
	guint64 worker_started_ms;
	/** Of a hold. */
	struct Rp__RunRow **running;
	size_t n_running;
	struct Rp__RunEnd **ended;
	size_t n_ended;
};

enum runs_event_kind {
	RUNS_EVENT_TICK,
	/** The worker has described itself. */
	RUNS_EVENT_WORKER_INFO,
	/** By a message from the worker that worker_id names. */
	RUNS_EVENT_WORKER_DEREGISTERED,
	/** A connection of a leader was greeted. */
	RUNS_EVENT_LEADER_CONNECTED,
	RUNS_EVENT_LEADER_DISCONNECTED,
	RUNS_EVENT_ORDERS,
	RUNS_EVENT_ANSWER,
};

struct runs_event {
	enum runs_event_kind kind;
	gint64 now_ms;
	const struct Rp__WorkerInfo *worker;
	const char *worker_id;
	guint64 fencing_token;
	const struct Rp__VmOrders *orders;
	const struct runs_answer *answer;
};

enum runs_effect_kind {
	/** Calls the worker; the shell frees call. */
	RUNS_EFFECT_CALL,
	/** Sends frame to the leader; the shell frees it. */
	RUNS_EFFECT_REPORT,
};

struct runs_effect {
	enum runs_effect_kind kind;
	struct runs_call *call;
	struct Rp__Frame *frame;
};

struct runs;

struct runs *runs_new(void);
void runs_free(struct runs *r);

/** Appends struct runs_effect to effects, in the order to be carried out. */
void runs_reduce(struct runs *r, const struct runs_event *ev, GArray *effects);

void runs_effect_clear(struct runs_effect *effect);
void runs_call_free(struct runs_call *call);
/** Frees the lists of an answer, if their rows belong to it. */
void runs_answer_clear(struct runs_answer *answer);

/** TRUE if the fence is not lower than that of the leader obeyed. */
gboolean runs_accepts_leader(const struct runs *r, guint64 fence);

/** The worker's description, or NULL. */
const struct Rp__WorkerInfo *runs_worker_info(const struct runs *r);

#endif
