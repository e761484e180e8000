#include "internal.h"

/*
 * CPU shares of best-effort tasks that run with latency-sensitive tasks. They
 * are set about every half second so that each latency-sensitive task stays
 * below its limit, as predicted by the interference coefficients. The image
 * with the highest coefficient is throttled first, since that costs the least
 * best-effort work. If a task is over its limit nevertheless, its headroom is
 * cut further and restored in steps, since a missed target costs the callers
 * more than deferred best-effort work.
 */

/** Less than the 500 ms between run lists, so that each set of lists is used.
 */
#define CONTROL_INTERVAL_MS 450

/** Latency ratio above which the model's prediction counts as wrong. */
#define OVER_LIMIT_RATIO 0.92

/** Model confidence: factor after a sample over the limit, increase after one
 * below it, and minimum. */
#define CONFIDENCE_CUT 0.5
#define CONFIDENCE_STEP 0.1
#define CONFIDENCE_MIN 0.02

/** Confidence falls below this after three samples in a row over the limit,
 * 1.4 s; a task may be over its target for 4 s at most. */
#define LOW_CONFIDENCE 0.2

/** Images whose predicted interference does not exceed this are not considered
 * as a cause of high latency. */
#define ATTRIBUTED_INTERFERENCE 0.01

/** Factor on all CPU shares while a task is over its limit and no image is
 * considered as the cause. */
#define UNATTRIBUTED_FACTOR 0.5

/** Lower CPU shares are set to 0: they yield too little work for the
 * interference that they cause. */
#define CPU_SHARE_MIN 0.04

/** A run that starts with at least this CPU share is not throttled. */
#define FULL_PERCENT 95

/** Smaller changes of a CPU share are not sent. */
#define MIN_STEP_PERCENT 4

/** sent_percent when it is unknown which share is in force. */
#define UNKNOWN_PERCENT 101

#define SET_SHARE_TIMEOUT_MS 300

/** A CPU share is sent again after this time, since an earlier call without
 * answer may take effect late. */
#define REPEAT_MS 3000

/** Most best-effort runs whose CPU use is counted. */
#define MAX_ROWS 256

void runs_info_free(gpointer data)
{
	g_free(data);
}

static struct runs_info *row_info(const struct runs *r, guint i)
{
	const struct Rp__RunRow *row = r->running->pdata[i];

	return g_hash_table_lookup(r->infos, row->run->task);
}

/* Records the measured latency of a latency-sensitive run. The field figure of
 * a row is this latency in ms, or milli-CPUs in use of a best-effort run. */
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

/* Predicted interference by a best-effort task at its CPU share. */
static double interference_by(const struct runs *r,
			      const struct runs_info *sensitive,
			      const struct runs_info *be_info)
{
	return colo_coefficient(r->colo, sensitive->image, be_info->image) *
	       be_info->cpus * be_info->cpu_share;
}

/* Highest coefficient below a bound, of the images that are considered as a
 * cause of the task's latency; 0 if there is none. */
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

/* Throttles the images with this coefficient until their interference falls by
 * excess, or to 0; returns the rest of the excess. */
static double throttle_images(struct runs *r, const struct runs_info *sensitive,
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

/* Throttles the images that interfere with this task until their predicted
 * interference fits its headroom. */
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
			excess = throttle_images(r, sensitive, coefficient,
						 excess);
	}
	if (sensitive->latency_state.latency_ratio <= OVER_LIMIT_RATIO)
		return;
	/*
	 * If no image explains the latency, or throttling those that do has not
	 * helped, the coefficients are wrong: all images are throttled until
	 * the estimates improve.
	 */
	if (!attributed)
		throttle_all(r, UNATTRIBUTED_FACTOR);
	else if (sensitive->model_confidence < LOW_CONFIDENCE)
		throttle_all(r, sensitive->model_confidence);
}

/* Evaluates the last run lists: records the latencies and sets cpu_share of
 * each best-effort run. */
static void compute_shares(struct runs *r)
{
	struct colo_cpu_use uses[MAX_ROWS];
	size_t n = 0;
	guint i;

	for (i = 0; i < r->running->len && n < MAX_ROWS; i++) {
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

/* CPU share that the latency-sensitive tasks tolerate of a best-effort run that
 * was just started, at the current shares of the others. */
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
		/* The share may not be in force, so it is sent again. */
		if (answer->outcome != RUNS_OK)
			info->sent_percent = UNKNOWN_PERCENT;
		return;
	}
}
