#ifndef RUNS_INTERNAL_H
#define RUNS_INTERNAL_H

#include <string.h>

#include "../colo/colo.h"
#include "runs.h"

enum runs_order_state {
	/** The run is to be started. */
	RUNS_ORDER_START,
	/** The run must not start, or must end. */
	RUNS_ORDER_STOP,
	/** The worker accepted the stop; the outcome is taken from run lists
	 * that are read afterwards. */
	RUNS_ORDER_CHECK_LISTS,
};

/** An order of the leader whose outcome is not known yet. */
struct runs_order {
	char *task;
	guint32 attempt;
	enum runs_order_state state;
	GBytes *payload;
	char *checkpoint;
	char *ticket;
	/** A start call got no answer, so it may still take effect. */
	gboolean start_unanswered;
	/** Reported to the leader if the run turns out not to have started;
	 * a string literal or interned. */
	const char *reason;
	guint unanswered_starts;
	/** The call in flight, 0 for none, and whether it is a stop. */
	guint64 call_id;
	gboolean call_is_stop;
	/** When the leader's order arrived. */
	gint64 ordered_ms;
	/** No call is sent before this time. */
	gint64 next_ms;
	/** Lists of lease renewals with a lower call id may have been read
	 * before the stop, or before an unanswered start, so they don't count.
	 */
	guint64 min_renewal_id;
};

/** A task that the worker runs or was ordered to run. */
struct runs_info {
	guint32 attempt;
	/** Latency target of a latency-sensitive task, else 0. */
	guint32 target_ms;
	gboolean best_effort;
	/** Id in struct runs.colo. */
	guint image;
	/** CPUs that the task declares. */
	double cpus;
	/** Of a latency-sensitive task. */
	struct colo_latency_state latency_state;
	/** Factor on its latency headroom, 0 to 1: cut after a sample over the
	 * limit (see pace.c), raised after one below it. */
	double model_confidence;
	/** CPU share that a best-effort task is to have, 0 to 1. */
	double cpu_share;
	/** CPU share last sent to the worker, in percent, and when. */
	guint sent_percent;
	gint64 share_set_ms;
	/** Id of the call in flight that sets the share; 0 for none. */
	guint64 share_call;
};

/** What the leader permits while zones can be evacuated; see permit.c. */
struct runs_permission {
	/** Starts need a permission. FALSE without evacuations. */
	gboolean limited;
	/** The VM's zone is evacuated. */
	gboolean evacuated;
	/** Starts are permitted until then, worker's clock; 0 for none. */
	gint64 until_ms;
	/** A reading of the worker's clock minus the boot clock when it was
	 * requested, the lowest of recent ones, and when it was read. */
	gint64 clock_offset_ms;
	gint64 clock_read_ms;
	gboolean has_clock;
	/** A start has waited for the permission since then; 0 for none. */
	gint64 waiting_since_ms;
};

struct runs {
	gint64 now_ms;
	/** Current incarnation of the VM's worker; NULL if not known. */
	struct Rp__WorkerInfo *worker;
	/** The worker has deregistered and may still run. */
	gboolean deregistered;
	/** Of the leader whose orders are accepted; 0 before the first. */
	guint64 fencing_token;
	gboolean leader_connected;
	/** End of the lease granted by the leader, worker's clock. */
	gint64 lease_until_ms;
	/** Permission to start runs; see permit.c. */
	struct runs_permission permission;
	/** The leader has acknowledged end records up to this number. */
	guint64 acked_through;
	/** Last reading of the worker's clock, and when it was read. */
	gint64 clock_ms;
	gint64 clock_read_ms;
	/** Latest lease end sent to this incarnation, worker's clock. */
	gint64 lease_sent_ms;
	/** When this process started. */
	gint64 started_ms;
	/** When the worker last answered a call. */
	gint64 answered_ms;
	guint64 next_call;
	/** Id of the lease renewal in flight; 0 for none. */
	guint64 renewal_call;
	/** Id of the renewal that the last run lists came with. */
	guint64 lists_call;
	gint64 renewal_sent_ms;
	gint64 next_renewal_ms;
	/** Failed lease renewals in a row. */
	guint failed_renewals;
	/** The last lease renewal was answered by the known incarnation, and
	 * when it was sent; see runs_incarnation_is_verified(). */
	gboolean incarnation_verified;
	gint64 verified_ms;
	/** Highest number of an end record that is queued for this leader or
	 * was sent to it. */
	guint64 last_end_queued;
	/** When the run lists, and when anything, was last reported. */
	gint64 lists_reported_ms;
	gint64 reported_ms;
	gboolean report_due;
	/** Rp__RunRow of the last run lists. */
	GPtrArray *running;
	/** Rp__RunEnd not yet reported to the leader. */
	GPtrArray *ended;
	/** Rp__RunAnswer (outcomes of starts) not yet reported. */
	GPtrArray *start_results;
	/** The last run lists were not reported yet. */
	gboolean lists_due;
	/** The run lists were read under the leader's fencing token. */
	gboolean lists_valid;
	/** struct runs_order, oldest first. */
	GPtrArray *orders;
	guint orders_in_flight;
	/**
	 * Runs reported as not started, "task#attempt". The leader starts other
	 * runs instead, so these are not started even if an order for them,
	 * sent before the report arrived, follows.
	 */
	GHashTable *not_started;
	/** Task name to struct runs_info. */
	GHashTable *infos;
	struct colo_table *colo;
	/** The coefficients were not reported to this leader yet. */
	gboolean pairs_due;
	/** Run lists have come since the CPU shares were last computed, so
	 * their measurements are to be evaluated. */
	gboolean measurements_due;
	/** When the CPU shares were last computed. */
	gint64 share_control_ms;
	/** struct runs_effect of the current event; belongs to the caller. */
	GArray *effects;
};

/* runs.c */
/** Returns a call with the current fencing token and lease. */
struct runs_call *runs_call_new(struct runs *r, enum runs_call_kind kind,
				gint64 timeout_ms);
/** Adds the effect that sends the call, which then belongs to the effect. */
void runs_call_send(struct runs *r, struct runs_call *call);
/** Queues the outcome of a start for the next report; reason may be NULL. */
void runs_start_result_add(struct runs *r, const char *task, guint32 attempt,
			   gboolean started, const char *reason);

/* orders.c */
void runs_order_free(gpointer order);
void runs_orders_apply(struct runs *r, const struct Rp__VmOrders *orders);
void runs_orders_send(struct runs *r);
/** Returns FALSE if the answer is not that of a start or stop. */
gboolean runs_orders_handle_answer(struct runs *r,
				   const struct runs_answer *answer);
/** Resolves orders whose outcome the run lists of a lease renewal show. */
void runs_orders_check_lists(struct runs *r, const struct runs_answer *answer,
			     guint64 renewal_call);

/* permit.c */
/** Applies what the orders permit. */
void runs_permission_apply(struct runs *r, const struct Rp__VmOrders *orders);
/** Drops the permission of an earlier leader or session. */
void runs_permission_reset(struct runs *r);
/** Drops what is known of the clock of an earlier incarnation, too. */
void runs_permission_reset_clock(struct runs *r);
/** Evaluates a reading of the worker's clock that was requested at sent_ms. */
void runs_permission_read_clock(struct runs *r, gint64 clock_ms,
				gint64 sent_ms);
/** TRUE if a start may be sent now. */
gboolean runs_permission_allows_start(struct runs *r);

/* hold.c */
/** TRUE if the worker was recently seen to be the known incarnation, so that
 * starts and leases reach no other one. */
gboolean runs_incarnation_is_verified(const struct runs *r);
void runs_renewal_send(struct runs *r);
/** Returns FALSE if the answer is not that of a lease renewal. */
gboolean runs_renewal_handle_answer(struct runs *r,
				    const struct runs_answer *answer);

/* pace.c */
void runs_info_free(gpointer info);
/** Computes and sends the CPU shares of best-effort tasks, if due. */
void runs_cpu_share_update(struct runs *r);
/** Limits a best-effort task that was just started, before its first
 * measurement. */
void runs_cpu_share_run_started(struct runs *r, const char *task,
				guint32 attempt);
void runs_cpu_share_handle_answer(struct runs *r,
				  const struct runs_answer *answer);

#endif
