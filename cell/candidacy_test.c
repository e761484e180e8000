#include <check.h>

#include "internal.h"
#include "tests/fixture.h"

/* Decisions on which entry leads. */

static gint64 delay(guint own, guint best, enum cell_handover handover)
{
	struct cell_candidacy candidacy = {
		.own_cpu_milli = own,
		.best_cpu_milli = best,
		.handover = handover,
	};

	return cell_candidacy_delay_ms(&candidacy);
}

/* Guards against a small entry that is elected although a larger one is there,
 * and against elections that wait where all entries are alike. */
START_TEST(test_smaller_entries_wait)
{
	/* The largest ones, and entries that are alike, do not wait. */
	ck_assert_int_eq(delay(500, 500, CELL_HANDOVER_NONE), 0);
	ck_assert_int_eq(delay(69, 69, CELL_HANDOVER_NONE), 0);
	ck_assert_int_eq(delay(450, 500, CELL_HANDOVER_NONE), 0);
	/* Longer than the interval at which a larger one reads the key. */
	ck_assert_int_gt(delay(120, 500, CELL_HANDOVER_NONE), 250);
	ck_assert_int_gt(delay(120, 500, CELL_HANDOVER_NONE),
			 delay(250, 500, CELL_HANDOVER_NONE));
	/* Without an earlier leader the others' limits are not known. */
	ck_assert_int_eq(delay(500, 0, CELL_HANDOVER_NONE), 0);
	ck_assert_int_gt(delay(120, 0, CELL_HANDOVER_NONE), 200);
	/* A limit that is not known changes nothing. */
	ck_assert_int_eq(delay(0, 500, CELL_HANDOVER_NONE), 0);
}
END_TEST

/* Guards against an entry that is elected before the one that the leader has
 * named, and against no election if that one fails. */
START_TEST(test_named_successor_goes_first)
{
	ck_assert_int_eq(delay(120, 500, CELL_HANDOVER_TO_THIS), 0);
	ck_assert_int_gt(delay(500, 500, CELL_HANDOVER_TO_OTHER), 1000);
	ck_assert_int_lt(delay(500, 500, CELL_HANDOVER_TO_OTHER), 2000);
}
END_TEST

static gboolean hands_over(guint own, guint candidate, gint64 led_ms,
			   gboolean behind)
{
	struct cell_tenure tenure = {
		.own_cpu_milli = own,
		.led_ms = led_ms,
		.behind = behind,
	};

	return cell_should_hand_over(&tenure, candidate);
}

/* Guards against a small leader that keeps a load that a larger entry could
 * carry, and against entries that hand over to each other in turn. */
START_TEST(test_hand_over_to_larger_entry)
{
	ck_assert(hands_over(120, 500, 2000, FALSE));
	ck_assert(!hands_over(120, 500, 1000, FALSE));
	ck_assert(!hands_over(120, 200, 100000, FALSE));
	ck_assert(!hands_over(500, 120, 100000, FALSE));
	ck_assert(!hands_over(500, 500, 100000, FALSE));
	ck_assert(!hands_over(0, 500, 100000, FALSE));
	ck_assert(!hands_over(120, 0, 100000, TRUE));
}
END_TEST

/* Guards against a leader that stays behind after its VM has turned slow, and
 * against a change of leader every few seconds when none can carry the load. */
START_TEST(test_hand_over_when_behind)
{
	ck_assert(hands_over(500, 500, 20000, TRUE));
	ck_assert(!hands_over(500, 500, 20000, FALSE));
	ck_assert(!hands_over(500, 500, 5000, TRUE));
	/* A smaller entry would be behind as well. */
	ck_assert(!hands_over(500, 120, 20000, TRUE));
}
END_TEST

/* Guards against a leader that goes on although the store refuses its calls,
 * and against a hand-over after a refusal that may just as well concern all. */
START_TEST(test_hand_over_when_refused)
{
	struct cell_tenure tenure = { .own_cpu_milli = 500,
				      .led_ms = 2000,
				      .refused_ms = 800 };

	ck_assert(cell_should_hand_over(&tenure, 500));
	/* A smaller entry is better than none. */
	ck_assert(cell_should_hand_over(&tenure, 120));
	/* The others are refused as well, or have just been elected. */
	ck_assert(!cell_should_hand_over(&tenure, 0));
	tenure.refused_ms = 500;
	ck_assert(!cell_should_hand_over(&tenure, 500));
	tenure.refused_ms = 800;
	tenure.led_ms = 1000;
	ck_assert(!cell_should_hand_over(&tenure, 500));
}
END_TEST

/* Ticks every gap_ms for a time. */
static void tick_for(struct cell_lag *lag, gint64 *now_ms, gint64 gap_ms,
		     gint64 ms)
{
	gint64 end_ms = *now_ms + ms;

	while (*now_ms < end_ms) {
		*now_ms += gap_ms;
		cell_lag_tick(lag, *now_ms);
	}
}

/* Guards against a leader that takes a pause, or a core's quota that is used up
 * once in a while, for too little CPU, and against one that does not notice it.
 */
START_TEST(test_lag)
{
	struct cell_lag lag = { 0 };
	gint64 now_ms = 1000;
	guint i;

	tick_for(&lag, &now_ms, 20, 10000);
	ck_assert(!cell_lag_is_behind(&lag));
	/* A pause. */
	now_ms += 3000;
	cell_lag_tick(&lag, now_ms);
	tick_for(&lag, &now_ms, 20, 500);
	ck_assert(!cell_lag_is_behind(&lag));
	/* The quota of every second tenth of a second is used up. */
	for (i = 0; i < 50; i++) {
		tick_for(&lag, &now_ms, 100, 100);
		tick_for(&lag, &now_ms, 20, 100);
	}
	ck_assert(!cell_lag_is_behind(&lag));
	/* That of each tenth of a second is used up. */
	tick_for(&lag, &now_ms, 100, 6000);
	ck_assert(cell_lag_is_behind(&lag));
	tick_for(&lag, &now_ms, 20, 4000);
	ck_assert(!cell_lag_is_behind(&lag));
	tick_for(&lag, &now_ms, 300, 6000);
	ck_assert(cell_lag_is_behind(&lag));
	tick_for(&lag, &now_ms, 20, 4000);
	ck_assert(!cell_lag_is_behind(&lag));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("candidacy");
	TCase *tcase = tcase_create("candidacy");

	tcase_add_test(tcase, test_smaller_entries_wait);
	tcase_add_test(tcase, test_named_successor_goes_first);
	tcase_add_test(tcase, test_hand_over_to_larger_entry);
	tcase_add_test(tcase, test_hand_over_when_behind);
	tcase_add_test(tcase, test_hand_over_when_refused);
	tcase_add_test(tcase, test_lag);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
