#include "internal.h"

/*
 * The pace of tasks that fill beside tasks that serve. Each half second the
 * shares are set so that, by the learned slopes, each task that serves stays
 * below its limit. Slowed first is the image that disturbs the task most for
 * each processor, since that lets the most work go on. If a
 * task is over its limit all the same, what it allows is cut further and comes
 * back step by step: a missed target costs the callers of the service more
 * than the fill work that is put off.
 */

#define PACE_INTERVAL_MS 450

/** Latency, of the target, at which the model is not trusted. */
#define OVER_RATIO 0.92

/** What is allowed after such a sample, and how it comes back. */
#define TRUST_CUT 0.5
#define TRUST_STEP 0.1
#define TRUST_MIN 0.02

/** Trust after three samples in a row over the limit, 1.4 s; a service may be
 * over its target for 4 s at most. */
#define MISTRUST 0.2

/** Images below this stretch are not slowed for it. */
#define BLAME_STRETCH 0.01

/** Share of all images while a task is over its target and none is blamed. */
#define UNBLAMED_FACTOR 0.5

/** A share below this is not worth the disturbance. */
#define SHARE_MIN 0.04

/** Of the share: it starts without a call from here on, and smaller steps are
 * not worth one. */
#define FULL_PERCENT 95
#define MIN_STEP_PERCENT 4

#define PACE_TIMEOUT_MS 300

/** A share is repeated, since a call without answer may take effect late. */
#define REPEAT_MS 3000

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

static void sample(struct runs *r, const struct Rp__RunRow *row,
		   struct runs_info *info, const struct colo_cpu_use *uses,
		   size_t n)
{
	double ratio = (double)row->figure / info->target_ms;

	if (row->percent < 100)
		return;
	colo_update_baseline(&info->serving, ratio,
			     colo_interference(r->colo, info->image, uses, n));
	if (ratio > OVER_RATIO)
		info->trust = MAX(info->trust * TRUST_CUT, TRUST_MIN);
	else
		info->trust = MIN(info->trust + TRUST_STEP, 1);
}

/* Part of the serving task's stretch that one at its share makes. */
static double part_of(const struct runs *r, const struct runs_info *serving,
		      const struct runs_info *filling)
{
	return colo_coefficient(r->colo, serving->image, filling->image) *
	       filling->cpus * filling->share;
}

/* Slope of the image that disturbs the task most, of those below a bound; 0 if
 * there is none to blame. */
static double worst_slope(const struct runs *r, const struct runs_info *serving,
			  double below)
{
	double worst = 0;
	guint i;

	for (i = 0; i < r->running->len; i++) {
		const struct runs_info *info = row_info(r, i);
		double slope;

		if (!info || !info->fills ||
		    part_of(r, serving, info) <= BLAME_STRETCH)
			continue;
		slope = colo_coefficient(r->colo, serving->image, info->image);
		if (slope < below)
			worst = MAX(worst, slope);
	}
	return worst;
}

/* Slows the images of one slope until the stretch falls by excess, or to a
 * stop; returns what is left of the excess. */
static double slow_images(struct runs *r, const struct runs_info *serving,
			  double slope, double excess)
{
	double stretch = 0;
	double factor;
	guint pass;
	guint i;

	for (pass = 0; pass < 2; pass++) {
		factor = stretch > 0 ? MAX(0, stretch - excess) / stretch : 1;
		for (i = 0; i < r->running->len; i++) {
			struct runs_info *info = row_info(r, i);

			if (!info || !info->fills ||
			    colo_coefficient(r->colo, serving->image,
					     info->image) != slope)
				continue;
			if (pass)
				info->share *= factor;
			else
				stretch += part_of(r, serving, info);
		}
	}
	return excess - stretch * (1 - factor);
}

static void slow_all(struct runs *r, double factor)
{
	guint i;

	for (i = 0; i < r->running->len; i++) {
		struct runs_info *info = row_info(r, i);

		if (info && info->fills)
			info->share *= factor;
	}
}

/* Slows what slows this task until it has room. */
static void make_room(struct runs *r, const struct runs_info *serving)
{
	double excess = -colo_headroom(&serving->serving) * serving->trust;
	double slope = G_MAXDOUBLE;
	gboolean blamed = FALSE;
	guint i;

	for (i = 0; i < r->running->len; i++) {
		const struct runs_info *info = row_info(r, i);

		if (info && info->fills)
			excess += part_of(r, serving, info);
	}
	while ((slope = worst_slope(r, serving, slope)) > 0) {
		blamed = TRUE;
		if (excess > 0)
			excess = slow_images(r, serving, slope, excess);
	}
	if (serving->serving.latency_ratio <= OVER_RATIO)
		return;
	/* Without an image to blame, or if slowing those to blame has not
	 * helped, the slopes are wrong: all are slowed until they are learned.
	 */
	if (!blamed)
		slow_all(r, UNBLAMED_FACTOR);
	else if (serving->trust < MISTRUST)
		slow_all(r, serving->trust);
}

static void control(struct runs *r)
{
	struct colo_cpu_use uses[MAX_ROWS];
	size_t n = 0;
	guint i;

	for (i = 0; i < r->running->len && n < MAX_ROWS; i++) {
		const struct Rp__RunRow *row = r->running->pdata[i];
		struct runs_info *info = row_info(r, i);

		if (!info || !info->fills)
			continue;
		uses[n].image = info->image;
		uses[n++].cpus = (double)row->figure / 1000;
		info->share = 1;
	}
	for (i = 0; i < r->running->len; i++) {
		struct runs_info *info = row_info(r, i);

		if (info && info->target_ms)
			sample(r, r->running->pdata[i], info, uses, n);
	}
	for (i = 0; i < r->running->len; i++) {
		const struct runs_info *info = row_info(r, i);

		if (info && info->target_ms)
			make_room(r, info);
	}
}

static void send_pace(struct runs *r, const char *task, guint32 attempt,
		      struct runs_info *info, guint percent)
{
	struct runs_call *call = runs_call_new(r, RUNS_CALL_SET_CPU_SHARE,
					       PACE_TIMEOUT_MS);

	call->task = g_strdup(task);
	call->attempt = attempt;
	call->cpu_share_percent = percent;
	info->percent = percent;
	info->paced_ms = r->now_ms;
	info->pace_call = call->id;
	runs_call_send(r, call);
}

static guint share_percent(const struct runs_info *info)
{
	return info->share < SHARE_MIN ? 0 : (guint)(info->share * 100);
}

/* Share that the serving tasks leave to one more that fills. */
static double share_beside(struct runs *r, const struct runs_info *filling)
{
	double share = 1;
	guint i;
	guint k;

	for (i = 0; i < r->running->len; i++) {
		const struct runs_info *serving = row_info(r, i);
		double slope;
		double room;
		double part;

		if (!serving || !serving->target_ms)
			continue;
		room = colo_headroom(&serving->serving) * serving->trust;
		slope = colo_coefficient(r->colo, serving->image,
					 filling->image);
		for (k = 0; k < r->running->len; k++) {
			const struct runs_info *info = row_info(r, k);

			if (info && info->fills && info != filling &&
			    colo_coefficient(r->colo, serving->image,
					     info->image) <= slope)
				room -= part_of(r, serving, info);
		}
		part = slope * filling->cpus;
		if (part > BLAME_STRETCH)
			share = MIN(share, MAX(room, 0) / part);
	}
	return share;
}

void runs_pace_started(struct runs *r, const char *task, guint32 attempt)
{
	struct runs_info *info = g_hash_table_lookup(r->infos, task);
	guint percent;

	if (!info || !info->fills || info->attempt != attempt ||
	    info->pace_call)
		return;
	info->share = share_beside(r, info);
	percent = share_percent(info);
	if (percent < FULL_PERCENT)
		send_pace(r, task, attempt, info, percent);
}

void runs_pace(struct runs *r)
{
	guint i;

	if (!r->lists_valid || !r->figures_due ||
	    r->now_ms < r->pace_ms + PACE_INTERVAL_MS)
		return;
	r->pace_ms = r->now_ms;
	r->figures_due = FALSE;
	control(r);
	for (i = 0; i < r->running->len; i++) {
		const struct Rp__RunRow *row = r->running->pdata[i];
		struct runs_info *info = row_info(r, i);
		guint percent;

		if (!info || !info->fills || info->pace_call)
			continue;
		percent = share_percent(info);
		/* Small steps are not worth a call. */
		if (ABS((int)percent - (int)info->percent) < MIN_STEP_PERCENT &&
		    percent != 0 && percent != 100)
			percent = info->percent;
		if (info->percent == percent &&
		    (percent == 100 || r->now_ms < info->paced_ms + REPEAT_MS))
			continue;
		send_pace(r, row->run->task, row->run->attempt, info, percent);
	}
}

void runs_pace_answer(struct runs *r, const struct runs_answer *answer)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->infos);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct runs_info *info = value;

		if (info->pace_call != answer->call_id)
			continue;
		info->pace_call = 0;
		/* Not known to be in force, so it is sent again. */
		if (answer->outcome != RUNS_OK)
			info->percent = 101;
		return;
	}
}
