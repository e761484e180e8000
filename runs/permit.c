#include "internal.h"

/*
 * Permission to start runs, where zones can be evacuated. An order may be
 * delayed in a connection, in a paused process or with a former leader, so it
 * is not enough that the leader orders no start in an evacuated zone. Its
 * orders also say up to when starts are permitted: a time on the worker's
 * clock, a fixed time after the last one for which the leader knows which zones
 * are evacuated. Starts that are ordered later, or wait here, are sent when
 * later orders extend the permission.
 *
 * A worker's clock runs at most as fast as the boot clock. So a reading c that
 * was requested at t means that it shows at most c + (now - t), and the lowest
 * c - t of recent readings gives the best bound.
 */

/** Age at which a reading of the worker's clock is replaced by any later one,
 * so that a small error of the clocks' rates does not add up. */
#define CLOCK_MAX_AGE_MS 10000

void runs_permission_apply(struct runs *r, const struct Rp__VmOrders *orders)
{
	struct runs_permission *permission = &r->permission;
	gboolean evacuated = orders->starts_limited && orders->evacuated;

	if (evacuated != permission->evacuated)
		g_message("the zone is %s evacuated, %u orders are open, "
			  "fencing token %" G_GUINT64_FORMAT,
			  evacuated ? "now" : "no longer", r->orders->len,
			  r->fencing_token);
	permission->limited = orders->starts_limited;
	permission->evacuated = evacuated;
	permission->until_ms = MAX(permission->until_ms,
				   orders->starts_until_ms);
}

void runs_permission_reset(struct runs *r)
{
	r->permission.limited = FALSE;
	r->permission.evacuated = FALSE;
	r->permission.until_ms = 0;
	r->permission.waiting_since_ms = 0;
}

void runs_permission_reset_clock(struct runs *r)
{
	r->permission.until_ms = 0;
	r->permission.has_clock = FALSE;
	r->permission.waiting_since_ms = 0;
}

void runs_permission_read_clock(struct runs *r, gint64 clock_ms, gint64 sent_ms)
{
	struct runs_permission *permission = &r->permission;
	gint64 offset_ms = clock_ms - sent_ms;

	if (!clock_ms)
		return;
	if (permission->has_clock && offset_ms > permission->clock_offset_ms &&
	    r->now_ms < permission->clock_read_ms + CLOCK_MAX_AGE_MS)
		return;
	permission->clock_offset_ms = offset_ms;
	permission->clock_read_ms = r->now_ms;
	permission->has_clock = TRUE;
}

gboolean runs_permission_allows_start(struct runs *r)
{
	struct runs_permission *permission = &r->permission;
	/* Upper bound of the worker's clock. */
	gint64 clock_ms = r->now_ms + permission->clock_offset_ms;

	if (!permission->limited)
		return TRUE;
	if (permission->evacuated)
		return FALSE;
	if (permission->has_clock && clock_ms <= permission->until_ms) {
		if (permission->waiting_since_ms)
			g_message("starts are permitted again after "
				  "%" G_GINT64_FORMAT " ms",
				  r->now_ms - permission->waiting_since_ms);
		permission->waiting_since_ms = 0;
		return TRUE;
	}
	if (!permission->waiting_since_ms) {
		permission->waiting_since_ms = r->now_ms;
		g_message("starts wait for the leader's permission: it ended "
			  "at %" G_GINT64_FORMAT ", the worker's clock shows "
			  "at most %" G_GINT64_FORMAT ", %u orders wait",
			  permission->until_ms, clock_ms, r->orders->len);
	}
	return FALSE;
}
