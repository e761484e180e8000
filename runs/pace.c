#include "internal.h"

/*
 * Tasks that fill slow down the tasks that serve beside them. While one that
 * serves is near its latency target, those that fill are given a smaller
 * share, in large steps down and small steps up: a target that is missed costs
 * the callers of the service more than the fill work that is put off.
 */

/** Parts of the target: above the first the share falls, below the last it
 * rises. */
#define OVER_PERCENT 85
#define CALM_PERCENT 65

/** Figures are averages of the last half second. */
#define PACE_INTERVAL_MS 500

#define RISE_PERCENT 10

/** A share below this is not worth the disturbance. */
#define MIN_PERCENT 8

#define PACE_TIMEOUT_MS 300

/** A share is repeated, since a call without answer may take effect late. */
#define REPEAT_MS 3000

static void control(struct runs *r)
{
	guint worst = 0;
	guint i;

	for (i = 0; i < r->running->len; i++) {
		const struct Rp__RunRow *row = r->running->pdata[i];
		const struct runs_info *info =
			g_hash_table_lookup(r->infos, row->run->task);

		if (info && info->target_ms)
			worst = MAX(worst, row->figure * 100 / info->target_ms);
	}
	if (worst > OVER_PERCENT) {
		r->over++;
		r->fill_percent = r->over > 2 ? 0 : r->fill_percent * 2 / 5;
		if (r->fill_percent < MIN_PERCENT)
			r->fill_percent = 0;
	} else if (worst < CALM_PERCENT) {
		r->over = 0;
		r->fill_percent = MIN(r->fill_percent + RISE_PERCENT, 100);
	} else {
		r->over = 0;
	}
}

static void send_pace(struct runs *r, const struct Rp__RunRow *row,
		      struct runs_info *info)
{
	struct runs_call *call = runs_call_new(r, RUNS_CALL_PACE,
					       PACE_TIMEOUT_MS);

	call->task = g_strdup(row->run->task);
	call->attempt = row->run->attempt;
	call->percent = r->fill_percent;
	info->percent = r->fill_percent;
	info->paced_ms = r->now_ms;
	info->pace_call = call->id;
	runs_call_send(r, call);
}

void runs_pace(struct runs *r)
{
	guint i;

	if (!r->lists_valid || r->now_ms < r->pace_ms + PACE_INTERVAL_MS)
		return;
	r->pace_ms = r->now_ms;
	control(r);
	for (i = 0; i < r->running->len; i++) {
		const struct Rp__RunRow *row = r->running->pdata[i];
		struct runs_info *info =
			g_hash_table_lookup(r->infos, row->run->task);

		if (!info || !info->fills || info->pace_call ||
		    (info->percent == r->fill_percent &&
		     (info->percent == 100 ||
		      r->now_ms < info->paced_ms + REPEAT_MS)))
			continue;
		send_pace(r, row, info);
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
