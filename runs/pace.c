#include "internal.h"

/*
 * CPU shares of best-effort runs on a VM with latency-sensitive runs. They are
 * set about every half second so that the latency of each latency-sensitive run
 * stays below COLO_LATENCY_LIMIT as predicted by the interference coefficients
 * (see colo.h). Runs of the image with the highest coefficient are throttled
 * first, since that costs the least best-effort work.
 *
 * If a measured latency exceeds OVER_LIMIT_RATIO nevertheless, the coefficients
 * are too low. The run's headroom, the interference that it tolerates, is then
 * multiplied by its model confidence, which is cut and rises again in steps:
 * a missed target costs the callers more than deferred best-effort work.
 *
 * Only runs of step jobs are controlled here. The batch tasks of sharded jobs
 * are controlled by agent/interference.c, with limits of its own.
 */

/** Less than the 500 ms between run lists, so that each set of lists is used.
 */
#define CONTROL_INTERVAL_MS 450

/** Limit of a measured latency, as a fraction of the run's target. Above it the
 * interference coefficients count as wrong. */
#define OVER_LIMIT_RATIO 0.92

/** Model confidence: factor after a sample over the limit, increase after one
 * below it, and minimum. */
#define CONFIDENCE_CUT 0.5
#define CONFIDENCE_STEP 0.1
#define CONFIDENCE_MIN 0.02

/** Below this model confidence, a latency over the limit throttles all
 * best-effort runs. Three samples in a row over the limit lead to it, in 1.4 s;
 * a run may be over its target for 4 s at most. */
#define LOW_CONFIDENCE 0.2

/** A best-effort run counts as a cause of a high latency only if its predicted
 * interference (no unit, see colo.h) exceeds this. */
#define ATTRIBUTED_INTERFERENCE 0.01

/** Factor on all CPU shares while a latency is over the limit and no run counts
 * as its cause. */
#define UNATTRIBUTED_FACTOR 0.5

/** Lower CPU shares are set to 0: they yield too little work for the
 * interference that they cause. */
#define CPU_SHARE_MIN 0.04

/** A run that may start with at least this CPU share is not throttled before
 * its first measurement. */
#define FULL_PERCENT 95

/** Smaller changes of a CPU share are not sent, except those to 0 and 100. */
#define MIN_STEP_PERCENT 4

/** sent_percent when it is unknown which share is in force. */
#define UNKNOWN_PERCENT 101

#define SET_SHARE_TIMEOUT_MS 300

/** A CPU share below 100 % is sent again after this time, since an earlier call
 * without answer may take effect late. */
#define REPEAT_MS 3000

/** Maximum number of best-effort runs that are evaluated: the CPU use of others
 * is not counted, and their CPU shares are not raised again. */
#define MAX_BEST_EFFORT_RUNS 256

void runs_info_free(gpointer data)
{
	g_free(data);
}

static struct runs_info *row_info(const struct runs *r, guint i)
{
	const struct Rp__RunRow *row = r->running->pdata[i];

	return g_hash_table_lookup(r->infos, row->run->task);
}

/*
 * Updates the baseline and the model confidence of a latency-sensitive run.
 * row->figure is its latency in ms (of a best-effort run, its CPU use in
 * milli-CPUs). row->percent is 100 once the run is ready; before, it reports no
 * latency.
 */
static void record_latency(struct runs *r, const struct Rp__RunRow *row,
			   struct runs_info *info,
			   const struct colo_cpu_use *uses, size_t n)
{
	double ratio = (double)row->figure / info->target_ms;

	if (row->percent < 100)
		return;
	colo_update_baseline(&info->latency_state, ratio,
			     colo_interference(r->colo, info->image, uses, n));
	if (ratio > OVER_LIMIT_RATIO)
		info->model_confidence =
			MAX(info->model_confidence * CONFIDENCE_CUT,
			    CONFIDENCE_MIN);
	else
		info->model_confidence =
			MIN(info->model_confidence + CONFIDENCE_STEP, 1);
}

/* Predicted interference by a best-effort run at its CPU share. */
static double interference_by(const struct runs *r,
			      const struct runs_info *sensitive,
			      const struct runs_info *be_info)
{
	return colo_coefficient(r->colo, sensitive->image, be_info->image) *
	       be_info->cpus * be_info->cpu_share;
}

/* Highest coefficient below a bound, of the best-effort runs that count as a
 * cause of the latency; 0 if there is none. */
static double next_coefficient(const struct runs *r,
			       const struct runs_info *sensitive, double below)
{
	double highest = 0;
	guint i;

	for (i = 0; i < r->running->len; i++) {
		const struct runs_info *info = row_info(r, i);
		double coefficient;

		if (!info || !info->best_effort ||
		    interference_by(r, sensitive, info) <=
			    ATTRIBUTED_INTERFERENCE)
			continue;
		coefficient = colo_coefficient(r->colo, sensitive->image,
					       info->image);
		if (coefficient < below)
			highest = MAX(highest, coefficient);
	}
	return highest;
}

/* Lowers the CPU shares of the runs whose images have this coefficient so that
 * their predicted interference falls by excess, at most to 0. Returns the rest
 * of the excess. */
static double throttle_runs(struct runs *r, const struct runs_info *sensitive,
			    double coefficient, double excess)
{
	double interference = 0;
	double factor;
	guint pass;
	guint i;

	/* The first pass sums the interference, the second lowers the shares.
	 */
	for (pass = 0; pass < 2; pass++) {
		factor = interference > 0
				 ? MAX(0, interference - excess) / interference
				 : 1;
		for (i = 0; i < r->running->len; i++) {
			struct runs_info *info = row_info(r, i);

			if (!info || !info->best_effort ||
			    colo_coefficient(r->colo, sensitive->image,
					     info->image) != coefficient)
				continue;
			if (pass)
				info->cpu_share *= factor;
			else
				interference += interference_by(r, sensitive,
								info);
		}
	}
	return excess - interference * (1 - factor);
}

static void throttle_all(struct runs *r, double factor)
{
	guint i;

	for (i = 0; i < r->running->len; i++) {
		struct runs_info *info = row_info(r, i);

		if (info && info->best_effort)
			info->cpu_share *= factor;
	}
}

/* Lowers the CPU shares of the runs that interfere with this one so that their
 * predicted interference fits its headroom, and those of all best-effort runs
 * while the coefficients prove too low. */
static void fit_headroom(struct runs *r, const struct runs_info *sensitive)
{
	double excess = -colo_headroom(&sensitive->latency_state) *
			sensitive->model_confidence;
	double coefficient = G_MAXDOUBLE;
	gboolean attributed = FALSE;
	guint i;

	for (i = 0; i < r->running->len; i++) {
		const struct runs_info *info = row_info(r, i);

		if (info && info->best_effort)
			excess += interference_by(r, sensitive, info);
	}
	while ((coefficient = next_coefficient(r, sensitive, coefficient)) >
	       0) {
		attributed = TRUE;
		if (excess > 0)
			excess = throttle_runs(r, sensitive, coefficient,
					       excess);
	}
	if (sensitive->latency_state.latency_ratio <= OVER_LIMIT_RATIO)
		return;
	/*
	 * If no run counts as a cause, or throttling those that do has not
	 * helped, the coefficients are wrong: all best-effort runs are
	 * throttled while the latency is over the limit.
	 */
	if (!attributed)
		throttle_all(r, UNATTRIBUTED_FACTOR);
	else if (sensitive->model_confidence < LOW_CONFIDENCE)
		throttle_all(r, sensitive->model_confidence);
}

/* Evaluates the last run lists: records the latencies and computes cpu_share of
 * each best-effort run. */
static void compute_shares(struct runs *r)
{
	struct colo_cpu_use uses[MAX_BEST_EFFORT_RUNS];
	size_t n = 0;
	guint i;

	for (i = 0; i < r->running->len && n < MAX_BEST_EFFORT_RUNS; i++) {
		const struct Rp__RunRow *row = r->running->pdata[i];
		struct runs_info *info = row_info(r, i);

		if (!info || !info->best_effort)
			continue;
		uses[n].image = info->image;
		uses[n++].cpus = (double)row->figure / 1000;
		info->cpu_share = 1;
	}
	for (i = 0; i < r->running->len; i++) {
		struct runs_info *info = row_info(r, i);

		if (info && info->target_ms)
			record_latency(r, r->running->pdata[i], info, uses, n);
	}
	for (i = 0; i < r->running->len; i++) {
		const struct runs_info *info = row_info(r, i);

		if (info && info->target_ms)
			fit_headroom(r, info);
	}
}

static void send_share(struct runs *r, const char *task, guint32 attempt,
		       struct runs_info *info, guint percent)
{
	struct runs_call *call = runs_call_new(r, RUNS_CALL_SET_CPU_SHARE,
					       SET_SHARE_TIMEOUT_MS);

	call->task = g_strdup(task);
	call->attempt = attempt;
	call->cpu_share_percent = percent;
	info->sent_percent = percent;
	info->share_set_ms = r->now_ms;
	info->share_call = call->id;
	runs_call_send(r, call);
}

static guint share_percent(const struct runs_info *info)
{
	return info->cpu_share < CPU_SHARE_MIN ? 0
					       : (guint)(info->cpu_share * 100);
}

/* Highest CPU share at which a best-effort run that was just started fits the
 * headroom of all latency-sensitive runs, at the current shares of the others.
 */
static double allowed_share(struct runs *r, const struct runs_info *be_info)
{
	double share = 1;
	guint i;
	guint k;

	for (i = 0; i < r->running->len; i++) {
		const struct runs_info *sensitive = row_info(r, i);
		double coefficient;
		double headroom;
		double interference;

		if (!sensitive || !sensitive->target_ms)
			continue;
		headroom = colo_headroom(&sensitive->latency_state) *
			   sensitive->model_confidence;
		coefficient = colo_coefficient(r->colo, sensitive->image,
					       be_info->image);
		for (k = 0; k < r->running->len; k++) {
			const struct runs_info *info = row_info(r, k);

			/* Those with a higher coefficient are throttled first,
			 * so their interference does not count. */
			if (info && info->best_effort && info != be_info &&
			    colo_coefficient(r->colo, sensitive->image,
					     info->image) <= coefficient)
				headroom -= interference_by(r, sensitive, info);
		}
		interference = coefficient * be_info->cpus;
		if (interference > ATTRIBUTED_INTERFERENCE)
			share = MIN(share, MAX(headroom, 0) / interference);
	}
	return share;
}

void runs_cpu_share_run_started(struct runs *r, const char *task,
				guint32 attempt)
{
	struct runs_info *info = g_hash_table_lookup(r->infos, task);
	guint percent;

	if (!info || !info->best_effort || info->attempt != attempt ||
	    info->share_call)
		return;
	info->cpu_share = allowed_share(r, info);
	percent = share_percent(info);
	if (percent < FULL_PERCENT)
		send_share(r, task, attempt, info, percent);
}

void runs_cpu_share_update(struct runs *r)
{
	guint i;

	if (!r->lists_valid || !r->measurements_due ||
	    r->now_ms < r->share_control_ms + CONTROL_INTERVAL_MS)
		return;
	r->share_control_ms = r->now_ms;
	r->measurements_due = FALSE;
	compute_shares(r);
	for (i = 0; i < r->running->len; i++) {
		const struct Rp__RunRow *row = r->running->pdata[i];
		struct runs_info *info = row_info(r, i);
		guint percent;

		if (!info || !info->best_effort || info->share_call)
			continue;
		percent = share_percent(info);
		if (ABS((int)percent - (int)info->sent_percent) <
			    MIN_STEP_PERCENT &&
		    percent != 0 && percent != 100)
			percent = info->sent_percent;
		if (info->sent_percent == percent &&
		    (percent == 100 ||
		     r->now_ms < info->share_set_ms + REPEAT_MS))
			continue;
		send_share(r, row->run->task, row->run->attempt, info, percent);
	}
}

void runs_cpu_share_handle_answer(struct runs *r,
				  const struct runs_answer *answer)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->infos);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct runs_info *info = value;

		if (info->share_call != answer->call_id)
			continue;
		info->share_call = 0;
		/*
		 * The share in force is unknown, so it is sent again: at once,
		 * or, if it is 98 or 99 % and so within MIN_STEP_PERCENT of
		 * UNKNOWN_PERCENT, after REPEAT_MS and as UNKNOWN_PERCENT.
		 */
		if (answer->outcome != RUNS_OK)
			info->sent_percent = UNKNOWN_PERCENT;
		return;
	}
}
