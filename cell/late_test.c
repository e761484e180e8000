#include <check.h>

#include "internal.h"
#include "tests/fixture.h"

static guint count_reads(struct cell_late *late, gint64 from_ms, gint64 to_ms)
{
	guint count = 0;
	gint64 ms;

	for (ms = from_ms; ms < to_ms; ms += CELL_TICK_MS)
		count += cell_late_take(late, ms);
	return count;
}

/* Guards against reads for transactions whose answers take their usual time,
 * also where the store is slow. */
START_TEST(test_usual_answers)
{
	static const gint64 took_ms[] = { 0, 20, 300 };
	struct cell_late late = { 0 };
	gint64 ms = 1000;
	guint i;

	for (i = 0; i < 100; i++) {
		cell_late_sent(&late, ms);
		/* The mean is not known at first. */
		if (i >= 20)
			ck_assert_uint_eq(
				count_reads(&late, ms, ms + took_ms[_i]), 0);
		cell_late_answered(&late, ms + took_ms[_i]);
		ms += 1000;
	}
	ck_assert_uint_eq(count_reads(&late, ms, ms + 10000), 0);
}
END_TEST

/* Guards against an outcome that is looked up after the timeout only, and
 * against reads without number while the store is silent. */
START_TEST(test_late_answer)
{
	struct cell_late late = { 0 };

	cell_late_sent(&late, 1000);
	ck_assert_uint_eq(count_reads(&late, 1000, 1130), 2);
	ck_assert_uint_le(count_reads(&late, 1130, 3000), 4);
	cell_late_lost(&late);
	ck_assert_uint_eq(count_reads(&late, 3000, 9000), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("late");
	TCase *tcase = tcase_create("late");

	fixture_drop_logs();
	tcase_add_loop_test(tcase, test_usual_answers, 0, 3);
	tcase_add_test(tcase, test_late_answer);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
