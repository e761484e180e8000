#include "sched.h"

/*
 * When a refused caller should come back, while no call can be accepted: there
 * is no leader, or the store does not respond.
 *
 * Load that this addresses: callers repeat a refused call at most 4 times, so
 * with a fixed Retry-After of 1 s an outage of 4.7 s was longer than all
 * repeats of 34 calls. Nothing tells in advance how long an outage lasts. One
 * that has lasted for some time is expected to last as long again, so the
 * repeats of one call wait 1, 1 or 2, 2 to 4, and 4 s, and reach over 8 s or
 * more. Earlier outages correct that estimate, within a factor of 2.
 */

/** Interruptions up to this time, such as an election, are not estimated: their
 * callers come back after the shortest time that Retry-After can express. */
#define SHORT_MS 1000

/** Longest Retry-After. Best-effort jobs have some value for at least 10 s and
 * urgent ones for less, so a longer one costs more than a repeat. */
#define MAX_RETRY_AFTER_S 4

/** Earlier outages correct the estimate by at most this factor. */
#define MAX_CORRECTION 2

/** A Retry-After exceeds the estimate by up to this part of it, so that callers
 * do not return at the same time. Never less than the estimate, since a repeat
 * that comes too early is lost. */
#define SPREAD 0.5

void sch_outage_init(struct sch_outage *outage, guint32 seed)
{
	memset(outage, 0, sizeof(*outage));
	outage->rand = g_rand_new_with_seed(seed);
}

void sch_outage_clear(struct sch_outage *outage)
{
	g_rand_free(outage->rand);
}

void sch_outage_begin(struct sch_outage *outage, gint64 since_ms,
		      gboolean store_responds)
{
	if (!outage->since_ms)
		outage->since_ms = since_ms;
	if (!store_responds)
		outage->store_silent = TRUE;
}

void sch_outage_store_responds(struct sch_outage *outage, gint64 now_ms)
{
	if (!outage->since_ms || !outage->store_silent)
		return;
	outage->store_silent = FALSE;
	outage->responds_since_ms = now_ms;
}

void sch_outage_end(struct sch_outage *outage, gint64 now_ms)
{
	gint64 lasted_ms = now_ms - outage->since_ms;

	if (!outage->since_ms)
		return;
	if (lasted_ms > SHORT_MS) {
		outage->earlier_ms[outage->n_earlier % SCH_EARLIER_OUTAGES] =
			lasted_ms;
		outage->n_earlier++;
	}
	outage->since_ms = 0;
	outage->responds_since_ms = 0;
	outage->store_silent = FALSE;
}

/* Returns the shortest time that an earlier outage lasted beyond age_ms, or 0
 * if none did. */
static gint64 earlier_remaining_ms(const struct sch_outage *outage,
				   gint64 age_ms)
{
	guint n = MIN(outage->n_earlier, SCH_EARLIER_OUTAGES);
	gint64 remaining_ms = 0;
	guint i;

	for (i = 0; i < n; i++) {
		gint64 ms = outage->earlier_ms[i] - age_ms;

		if (ms > 0 && (!remaining_ms || ms < remaining_ms))
			remaining_ms = ms;
	}
	return remaining_ms;
}

static gint64 estimate_ms(const struct sch_outage *outage, gint64 now_ms)
{
	gint64 age_ms = now_ms - outage->since_ms;
	gint64 remaining_ms;

	/* Once the store responds, only an election is left to wait for. */
	if (outage->responds_since_ms)
		return now_ms - outage->responds_since_ms;
	remaining_ms = earlier_remaining_ms(outage, age_ms);
	if (!remaining_ms)
		return age_ms;
	return CLAMP(remaining_ms, age_ms / MAX_CORRECTION,
		     age_ms * MAX_CORRECTION);
}

guint sch_outage_retry_after_s(struct sch_outage *outage, gint64 now_ms)
{
	gint64 age_ms = now_ms - outage->since_ms;
	double seconds;

	if (!outage->since_ms || age_ms <= SHORT_MS)
		return 1;
	seconds = (double)estimate_ms(outage, now_ms) / 1000;
	seconds *= g_rand_double_range(outage->rand, 1, 1 + SPREAD);
	/* Rounded up or down at random, so that the mean is kept. */
	seconds += g_rand_double(outage->rand);
	return (guint)CLAMP(seconds, 1, MAX_RETRY_AFTER_S);
}
