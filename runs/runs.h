#ifndef RUNS_H
#define RUNS_H

#include <glib.h>

#include "../wire/wire.h"

/*
 * Decisions of the agent on the runs of its VM: a reducer without I/O. It sends
 * the leader's orders to the worker until the outcome of each is known, renews
 * the worker's lease up to what the leader granted, reports running and ended
 * runs, and throttles best-effort tasks that interfere with latency-sensitive
 * ones. Time is the boot clock in ms.
 */

enum runs_call_kind {
	/** Long poll that also returns the run lists. */
	RUNS_CALL_RENEW_LEASE,
	RUNS_CALL_START,
	RUNS_CALL_STOP,
	RUNS_CALL_SET_CPU_SHARE,
};

/** A call to the worker; all kinds are idempotent. */
struct runs_call {
	guint64 id;
	enum runs_call_kind kind;
	guint64 fencing_token;
	char *worker_id;
	/** Without an answer in this time the outcome is RUNS_NO_ANSWER. */
	gint64 timeout_ms;
	/** End of the worker's lease, worker's clock; 0 to leave it as it is.
	 */
	gint64 lease_until_ms;
	/** The worker may discard end records up to this number. */
	guint64 acked_through;
	/** A lease renewal is answered when a run ends, or after this time. */
	gint64 wait_ms;
	char *task;
	guint32 attempt;
	GBytes *payload;
	char *checkpoint;
	/** Admission ticket for this worker; current leaders send none. */
	char *ticket;
	guint cpu_share_percent;
};

enum runs_outcome {
	RUNS_OK,
	/** Refused for the reason given; the call had no effect. */
	RUNS_REFUSED,
	/** The worker is overloaded or unavailable; the call had no effect. */
	RUNS_UNAVAILABLE,
	/** A worker with another id has answered; the call had no effect. */
	RUNS_WRONG_WORKER,
	/** Outcome unknown: the call may take effect, also later. */
	RUNS_NO_ANSWER,
	/** Of a lease renewal: nothing listens at the worker's address, so its
	 * process has ended, or was not started yet. */
	RUNS_NO_PROCESS,
};

struct runs_answer {
	guint64 call_id;
	enum runs_outcome outcome;
	/**
	 * Of RUNS_REFUSED, as the worker names it: "fence" (fencing token too
	 * low), "old" (the worker has ended or stopped this attempt of the task
	 * or a later one), "late" (the lease in the call has
	 * already expired), "room" (no free capacity) or "ticket" (no valid
	 * admission ticket for this worker).
	 */
	const char *reason;
	/** Reading of the worker's clock; 0 for none. */
	gint64 clock_ms;
	/** Start time of the worker that answered; 0 if not reported. */
	guint64 worker_started_ms;
	/** Run lists, of a lease renewal. */
	struct Rp__RunRow **running;
	size_t n_running;
	struct Rp__RunEnd **ended;
	size_t n_ended;
};

enum runs_event_kind {
	RUNS_EVENT_TICK,
	/** The worker sent its description (a heartbeat). */
	RUNS_EVENT_WORKER_INFO,
	/** The worker that worker_id and worker_started_ms name says that it
	 * ends; it may still run for some seconds. */
	RUNS_EVENT_WORKER_DEREGISTERED,
	/** A leader connected and sent its fencing token. */
	RUNS_EVENT_LEADER_CONNECTED,
	RUNS_EVENT_LEADER_DISCONNECTED,
	RUNS_EVENT_ORDERS,
	RUNS_EVENT_ANSWER,
};

/** Pointers belong to the caller. */
struct runs_event {
	enum runs_event_kind kind;
	gint64 now_ms;
	const struct Rp__WorkerInfo *worker;
	const char *worker_id;
	/** 0 if not reported. */
	guint64 worker_started_ms;
	guint64 fencing_token;
	const struct Rp__VmOrders *orders;
	const struct runs_answer *answer;
};

enum runs_effect_kind {
	/** Calls the worker; the I/O layer frees call. */
	RUNS_EFFECT_CALL,
	/** Sends frame to the leader; the I/O layer frees it. */
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

/** Appends struct runs_effect to effects, in the order of execution. */
void runs_reduce(struct runs *r, const struct runs_event *ev, GArray *effects);

/** Frees what the effect owns. */
void runs_effect_clear(struct runs_effect *effect);
void runs_call_free(struct runs_call *call);
/** Frees the run lists of an answer and their rows. */
void runs_answer_clear(struct runs_answer *answer);

/** TRUE unless a leader with a higher fencing token was accepted. */
gboolean runs_accepts_leader(const struct runs *r, guint64 fencing_token);

/** The worker's last description; NULL if there was none. */
const struct Rp__WorkerInfo *runs_worker_info(const struct runs *r);

#endif
