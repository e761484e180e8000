#ifndef RUNS_INTERNAL_H
#define RUNS_INTERNAL_H

#include <string.h>

#include "../colo/colo.h"
#include "runs.h"

enum runs_phase {
	RUNS_PHASE_START,
	/** The run must not start, or must end. */
	RUNS_PHASE_STOP,
	/** The stop was answered; the next lists show what is left. */
	RUNS_PHASE_CHECK,
};

/** An order that has no certain outcome yet. */
struct runs_order {
	char *task;
	guint32 attempt;
	enum runs_phase phase;
	GBytes *payload;
	char *checkpoint;
	char *ticket;
	/** A start without answer may still take effect. */
	gboolean uncertain;
	/** Why a start is being undone, for the report. */
	const char *reason;
	guint tries;
	/** The call under way, and whether it is a stop. */
	guint64 call_id;
	gboolean stop_sent;
	gint64 next_ms;
	/** Holds that were issued before this call id prove nothing. */
	guint64 checked_after;
};

/** What is known of a task that the worker runs or is told to run. */
struct runs_info {
	guint32 attempt;
	guint32 target_ms;
	gboolean fills;
	guint image;
	double cpus;
	/** Of a task that serves. */
	struct colo_latency_state serving;
	/** Part of the room that the model is trusted with. */
	double trust;
	/** Share of one that fills, the one it was last told, and when. */
	double share;
	guint percent;
	gint64 paced_ms;
	guint64 pace_call;
};

struct runs {
	gint64 now_ms;
	struct Rp__WorkerInfo *worker;
	guint64 fence;
	gboolean has_leader;
	gint64 lease_until_ms;
	guint64 ended_through;
	gint64 clock_ms;
	gint64 clock_at_ms;
	/** Longest lease that this incarnation was sent. */
	gint64 lease_sent_ms;
	/** When this process began. */
	gint64 began_ms;
	/** When the worker last answered a call. */
	gint64 answered_ms;
	guint64 next_call;
	guint64 hold_call;
	gint64 hold_ms;
	gint64 next_hold_ms;
	guint holds_lost;
	/** The last hold was answered by the incarnation that is known. */
	gboolean verified;
	/** Highest end that this leader was told. */
	guint64 reported_end;
	gint64 listed_ms;
	gint64 reported_ms;
	gboolean report_due;
	/** Rp__RunRow, of the last lists. */
	GPtrArray *running;
	/** Rp__RunEnd that the leader was not told. */
	GPtrArray *ended;
	/** Rp__RunAnswer that the leader was not told. */
	GPtrArray *answers;
	gboolean lists_due;
	/** Lists were read under the leader's fence. */
	gboolean lists_valid;
	GPtrArray *orders;
	guint orders_in_flight;
	/**
	 * Runs that were reported as never started, "task#attempt". The leader
	 * may have ordered one again before it knew, and starts another.
	 */
	GHashTable *refused;
	/** Task's name to struct runs_info. */
	GHashTable *infos;
	struct colo_table *colo;
	/** A new leader was not told the slopes yet. */
	gboolean pairs_due;
	/** Lists that came since the last control of the pace. */
	gboolean figures_due;
	gint64 pace_ms;
	GArray *effects;
};

/* runs.c */
struct runs_call *runs_call_new(struct runs *r, enum runs_call_kind kind,
				gint64 timeout_ms);
void runs_call_send(struct runs *r, struct runs_call *call);
void runs_answer_add(struct runs *r, const char *task, guint32 attempt,
		     gboolean started, const char *reason);

/* orders.c */
void runs_order_free(gpointer order);
void runs_orders_take(struct runs *r, const struct Rp__VmOrders *orders);
void runs_orders_send(struct runs *r);
/** Returns FALSE if the answer is not that of an order. */
gboolean runs_orders_answer(struct runs *r, const struct runs_answer *answer);
/** Looks for the outcomes of orders in the lists of a hold. */
void runs_orders_check(struct runs *r, const struct runs_answer *answer,
		       guint64 hold_call);

/* hold.c */
void runs_hold_send(struct runs *r);
gboolean runs_hold_answer(struct runs *r, const struct runs_answer *answer);

/* pace.c */
void runs_info_free(gpointer info);
void runs_pace(struct runs *r);
/** Paces a task that fills from its start on. */
void runs_pace_started(struct runs *r, const char *task, guint32 attempt);
void runs_pace_answer(struct runs *r, const struct runs_answer *answer);

#endif
