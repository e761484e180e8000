#include "internal.h"

/*
 * When the outcome of a transaction is looked up, because its answer is late.
 *
 * Load that this addresses: the store carries out a transaction, but its answer
 * is lost, at times that of every second one. The transaction is sent again
 * only after its timeout, which is 130 ms at first and doubles, while callers
 * of urgent jobs have 250 to 300 ms. A read of the commit key shows earlier
 * whether the transaction took effect.
 *
 * The time between two reads for one transaction doubles, so that a lost answer
 * costs 2 reads before the usual timeout, and a silent store 6 in 2 s. One
 * transaction is in flight at a time, so these are at most 25 reads a second.
 */

/** Shortest wait before a read: two ticks, by which times are measured. */
#define MIN_WAIT_MS 40

/** An answer is late after this multiple of the mean time. */
#define LATE_FACTOR 4

/** Weight of an answer in the mean. */
#define MEAN_WEIGHT 0.1

void cell_late_sent(struct cell_late *late, gint64 now_ms)
{
	late->sent_ms = now_ms;
	late->wait_ms = MAX(MIN_WAIT_MS, (gint64)(LATE_FACTOR * late->mean_ms));
	late->due_ms = now_ms + late->wait_ms;
}

void cell_late_answered(struct cell_late *late, gint64 now_ms)
{
	double took_ms = (double)(now_ms - late->sent_ms);

	if (late->due_ms)
		late->mean_ms += MEAN_WEIGHT * (took_ms - late->mean_ms);
	late->due_ms = 0;
}

void cell_late_lost(struct cell_late *late)
{
	late->due_ms = 0;
}

gboolean cell_late_take(struct cell_late *late, gint64 now_ms)
{
	if (!late->due_ms || now_ms < late->due_ms)
		return FALSE;
	late->wait_ms *= 2;
	late->due_ms = now_ms + late->wait_ms;
	return TRUE;
}
