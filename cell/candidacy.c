#include "internal.h"

/*
 * Which entry leads. The load of the leader grows with the pool, while entries
 * may be of unequal size: on a large pool the smaller ones fall behind with
 * orders, answers and tables. So smaller entries seek to lead later than larger
 * ones, and a leader hands over to an entry that is clearly larger, or to
 * another one when it falls behind itself, as on a VM that turns slow, or when
 * the store refuses only its own calls.
 */

/** CPU limit with which an entry seeks to lead at once while it does not know
 * those of the others, in thousandths of a core. */
#define SUFFICIENT_CPU_MILLI 400

/** Delay of a candidate with almost no CPU, if the others' limits are known and
 * if not. Longer than a read of the leader's key by a larger one. */
#define MAX_DELAY_MS 600
#define MAX_DELAY_UNKNOWN_MS 320

/** A candidate with this part of the best one's CPU does not wait. */
#define EQUAL_SHARE 0.8

/** Delay of the other entries while a leader hands over. */
#define SUCCESSOR_HEAD_START_MS 1500

/** A leader hands over to an entry with at least this multiple of its CPU. */
#define HANDOVER_FACTOR 2

/** Time as leader after which it hands over to a larger entry: its own start
 * and the connections of the others are done. */
#define HANDOVER_MIN_TENURE_MS 1500

/** Time as leader after which it hands over because it is behind. Limits the
 * number of changes when no entry can carry the load. */
#define BEHIND_MIN_TENURE_MS 15000

/** Time for which the store has to refuse all calls of a leader before it hands
 * over. The other entries read the leader's key every 500 ms, and one that is
 * refused too no longer counts as a candidate. Without a hand-over the leader
 * goes on until its lease of 1.8 s expires. */
#define REFUSED_MS 700

/** Time constant of the mean lateness of ticks. */
#define LAG_MEAN_MS 1500

/** Part of a tick's lateness that counts, so that a pause is not taken for
 * load. */
#define LAG_CAP_MS 500

/** A leader is behind if it is late for this part of the time; one with enough
 * CPU is late for a few hundredths of it. */
#define BEHIND_SHARE 0.5

gint64 cell_candidacy_delay_ms(const struct cell_candidacy *candidacy)
{
	gboolean known = candidacy->best_cpu_milli > 0;
	guint best = known ? candidacy->best_cpu_milli : SUFFICIENT_CPU_MILLI;
	double share = (double)candidacy->own_cpu_milli / best;

	if (candidacy->handover == CELL_HANDOVER_TO_THIS)
		return 0;
	if (candidacy->handover == CELL_HANDOVER_TO_OTHER)
		return SUCCESSOR_HEAD_START_MS;
	if (!candidacy->own_cpu_milli || share >= EQUAL_SHARE)
		return 0;
	return (gint64)((known ? MAX_DELAY_MS : MAX_DELAY_UNKNOWN_MS) *
			(1 - share));
}

gboolean cell_should_hand_over(const struct cell_tenure *tenure,
			       guint candidate_cpu_milli)
{
	if (!tenure->own_cpu_milli || !candidate_cpu_milli)
		return FALSE;
	if (candidate_cpu_milli >= HANDOVER_FACTOR * tenure->own_cpu_milli)
		return tenure->led_ms >= HANDOVER_MIN_TENURE_MS;
	if (tenure->refused_ms >= REFUSED_MS)
		return tenure->led_ms >= HANDOVER_MIN_TENURE_MS;
	return tenure->behind && tenure->led_ms >= BEHIND_MIN_TENURE_MS &&
	       candidate_cpu_milli >= EQUAL_SHARE * tenure->own_cpu_milli;
}

void cell_lag_tick(struct cell_lag *lag, gint64 now_ms)
{
	gint64 gap_ms = now_ms - lag->tick_ms;
	gint64 late_ms = MAX(gap_ms - CELL_TICK_MS, 0);
	double weight = (double)MIN(gap_ms, LAG_CAP_MS) / LAG_MEAN_MS;

	if (lag->tick_ms && gap_ms > 0)
		lag->late_share += weight * ((double)late_ms / (double)gap_ms -
					     lag->late_share);
	lag->tick_ms = now_ms;
}

gboolean cell_lag_is_behind(const struct cell_lag *lag)
{
	return lag->late_share > BEHIND_SHARE;
}
