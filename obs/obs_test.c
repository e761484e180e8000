#include <check.h>
#include <stdlib.h>

#include "obs/obs.h"
#include "tests/fixture.h"

/*
 * Guards against values that are not grouped under the TYPE line of their name,
 * for which scrapers reject the page.
 */
START_TEST(test_exposition)
{
	struct obs_metrics *metrics = obs_metrics_new();
	GString *out = g_string_new(NULL);

	obs_count(metrics, "rp_requests_total", "pool=\"b\"", 2);
	obs_gauge(metrics, "rp_slots", NULL, 8);
	obs_count(metrics, "rp_requests_total", "pool=\"a\"", 1);
	obs_metrics_print(metrics, out);
	ck_assert_str_eq(out->str, "# TYPE rp_requests_total counter\n"
				   "rp_requests_total{pool=\"a\"} 1\n"
				   "rp_requests_total{pool=\"b\"} 2\n"
				   "# TYPE rp_slots gauge\n"
				   "rp_slots 8\n");
	ck_assert_uint_eq(
		obs_counter(metrics, "rp_requests_total", "pool=\"b\""), 2);
	obs_count_set(metrics, "rp_calls_total", NULL, 3);
	g_string_truncate(out, 0);
	obs_metrics_print(metrics, out);
	ck_assert(g_str_has_prefix(out->str, "# TYPE rp_calls_total counter\n"
					     "rp_calls_total 3\n"));
	g_string_free(out, TRUE);
	obs_metrics_free(metrics);
}
END_TEST

/* Guards against a caller's bytes that make a log line invalid JSON. */
START_TEST(test_json_string)
{
	GString *out = g_string_new(NULL);

	obs_json_string(out, "a\"\\\n\xff", -1);
	ck_assert_str_eq(out->str, "\"a\\\"\\\\\\u000a\xef\xbf\xbd\"");
	g_string_free(out, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("obs");
	TCase *tcase = tcase_create("obs");

	tcase_add_test(tcase, test_exposition);
	tcase_add_test(tcase, test_json_string);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
