#include <check.h>

#include "sched.h"
#include "tests/fixture.h"

/* As the users' callers do: a refused call is repeated this often. */
#define REPEATS 4
#define CALLERS 400

static struct sch_outage outage_begun(gint64 since_ms)
{
	struct sch_outage outage;

	sch_outage_init(&outage, 7);
	sch_outage_begin(&outage, since_ms, TRUE);
	return outage;
}

/* Guards against callers of a short interruption, such as an election, that
 * wait longer than Retry-After can express. */
START_TEST(test_short_interruption)
{
	struct sch_outage outage = outage_begun(1000);
	gint64 ms;

	for (ms = 1000; ms <= 2000; ms += 10)
		ck_assert_uint_eq(sch_outage_retry_after_s(&outage, ms), 1);
	sch_outage_end(&outage, 2000);
	ck_assert_uint_eq(sch_outage_retry_after_s(&outage, 9000), 1);
	sch_outage_clear(&outage);
}
END_TEST

/* Guards against calls that are given up for good since their repeats all fall
 * into the outage: with 1 s each, 4 repeats end after 4 s. */
START_TEST(test_repeats_outlast_an_outage)
{
	struct sch_outage outage = outage_begun(1000);
	guint caller;

	for (caller = 0; caller < CALLERS; caller++) {
		gint64 ms = 1000 + caller;
		guint i;

		for (i = 0; i < REPEATS; i++)
			ms += 1000 * sch_outage_retry_after_s(&outage, ms);
		ck_assert_int_ge(ms, 1000 + 7000);
	}
	sch_outage_clear(&outage);
}
END_TEST

/* Guards against a Retry-After that keeps callers away for longer than their
 * jobs have any value, however long an outage lasts. */
START_TEST(test_upper_bound)
{
	struct sch_outage outage = outage_begun(1000);
	gint64 ms;

	for (ms = 1000; ms < 3600 * 1000; ms += 1000) {
		guint seconds = sch_outage_retry_after_s(&outage, ms);

		ck_assert_uint_ge(seconds, 1);
		ck_assert_uint_le(seconds, 4);
	}
	sch_outage_clear(&outage);
}
END_TEST

/* Guards against callers that are refused at the same time and come back at the
 * same time. */
START_TEST(test_spread)
{
	struct sch_outage outage = outage_begun(1000);
	guint count[5] = { 0 };
	guint i;

	for (i = 0; i < CALLERS; i++)
		count[sch_outage_retry_after_s(&outage, 1000 + 2500)]++;
	for (i = 0; i < G_N_ELEMENTS(count); i++)
		ck_assert_uint_lt(count[i], CALLERS * 3 / 4);
	sch_outage_clear(&outage);
}
END_TEST

static double mean_retry_after_s(struct sch_outage *outage, gint64 ms)
{
	guint sum = 0;
	guint i;

	for (i = 0; i < CALLERS; i++)
		sum += sch_outage_retry_after_s(outage, ms);
	return (double)sum / CALLERS;
}

/* Guards against an estimate that takes no notice of how long earlier outages
 * lasted, and against one that trusts a single earlier one entirely. */
START_TEST(test_earlier_outages)
{
	struct sch_outage first = outage_begun(1000);
	struct sch_outage second = outage_begun(1000);
	struct sch_outage third = outage_begun(1000);

	sch_outage_end(&second, 1000 + 6000);
	sch_outage_begin(&second, 20000, TRUE);
	sch_outage_end(&third, 1000 + 1700);
	sch_outage_begin(&third, 20000, TRUE);
	ck_assert_double_eq_tol(mean_retry_after_s(&first, 1000 + 1500), 1.875,
				0.2);
	ck_assert_double_eq_tol(mean_retry_after_s(&second, 20000 + 1500), 3.7,
				0.2);
	ck_assert_double_eq_tol(mean_retry_after_s(&third, 20000 + 1500), 1.0,
				0.2);
	sch_outage_clear(&first);
	sch_outage_clear(&second);
	sch_outage_clear(&third);
}
END_TEST

/* Guards against callers that are kept away while an election of half a second
 * is all that is left of an outage of the store. */
START_TEST(test_store_responds_again)
{
	struct sch_outage outage;

	sch_outage_init(&outage, 7);
	sch_outage_begin(&outage, 1000, FALSE);
	ck_assert_double_gt(mean_retry_after_s(&outage, 1000 + 3500), 2.9);
	sch_outage_store_responds(&outage, 1000 + 4700);
	ck_assert_double_eq(mean_retry_after_s(&outage, 1000 + 4700), 1);
	/* It is not reported as silent again by each further answer. */
	sch_outage_store_responds(&outage, 1000 + 7700);
	ck_assert_double_gt(mean_retry_after_s(&outage, 1000 + 7700), 2.5);
	sch_outage_clear(&outage);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("retry_after");
	TCase *tcase = tcase_create("retry_after");

	fixture_drop_logs();
	tcase_add_test(tcase, test_short_interruption);
	tcase_add_test(tcase, test_repeats_outlast_an_outage);
	tcase_add_test(tcase, test_upper_bound);
	tcase_add_test(tcase, test_spread);
	tcase_add_test(tcase, test_earlier_outages);
	tcase_add_test(tcase, test_store_responds_again);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
