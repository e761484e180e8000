#include "tests/site_fixture.h"

/* Bound of docs/design.md until an accepted change is in force everywhere. */
#define IN_FORCE_BOUND_MS 5000

/* Waits until a generation is in force at a process; returns -1 on timeout. */
static int wait_generation(struct site *site, enum site_kind kind, unsigned i,
			   json_int_t generation, unsigned timeout_ms)
{
	gint64 end = clock_now_ms() + timeout_ms;

	while (site_generation(site, kind, i) != generation) {
		if (clock_now_ms() > end)
			return -1;
		g_usleep(10000);
	}
	return 0;
}

/* Waits until a generation is in force at all entries and agents. */
static void wait_everywhere(struct site *site, json_int_t generation,
			    unsigned timeout_ms)
{
	gint64 end = clock_now_ms() + timeout_ms;
	unsigned i;

	for (i = 0; i < 2; i++)
		ck_assert_int_eq(wait_generation(site, SITE_ENTRY, i,
						 generation,
						 MAX(end - clock_now_ms(), 1)),
				 0);
	for (i = 0; i < 3; i++)
		ck_assert_int_eq(wait_generation(site, SITE_AGENT, i,
						 generation,
						 MAX(end - clock_now_ms(), 1)),
				 0);
}

/* Applies tables with a retry budget of 20 or 30 %; returns the exit code. */
static int apply_budget(struct site *site, unsigned percent)
{
	g_autofree char *pools = NULL;

	pools = percent == 20 ? g_strdup(FIXTURE_POOLS_BUDGET("20"))
			      : g_strdup(FIXTURE_POOLS_BUDGET("30"));
	return site_apply(site, FIXTURE_ROUTES, pools, "operator");
}

/* Guards against a change of the tables that reaches some process too late. */
START_TEST(test_change_in_force)
{
	struct site_options options;
	struct site *site;

	fixture_options(&options);
	site = fixture_start(&options);
	wait_everywhere(site, 1, IN_FORCE_BOUND_MS);
	ck_assert_int_eq(apply_budget(site, 20), 0);
	wait_everywhere(site, 2, IN_FORCE_BOUND_MS);
	site_free(site);
}
END_TEST

/*
 * Guards against old tables that come into force again: an entry that was
 * frozen during a change sends its old tables to agents and entries, or keeps
 * them itself.
 */
START_TEST(test_frozen_entry_catches_up)
{
	struct site_options options;
	struct site *site;
	unsigned i;

	fixture_options(&options);
	site = fixture_start(&options);
	site_signal(site, SITE_ENTRY, 1, SIGSTOP);
	ck_assert_int_eq(apply_budget(site, 20), 0);
	ck_assert_int_eq(
		wait_generation(site, SITE_AGENT, 0, 2, IN_FORCE_BOUND_MS), 0);
	g_usleep(15000000);
	ck_assert_int_eq(apply_budget(site, 30), 0);
	site_signal(site, SITE_ENTRY, 1, SIGCONT);
	for (i = 0; i < 100; i++) {
		ck_assert_int_ge(site_generation(site, SITE_AGENT, 0), 2);
		ck_assert_int_ge(site_generation(site, SITE_ENTRY, 0), 2);
		g_usleep(10000);
	}
	wait_everywhere(site, 3, IN_FORCE_BOUND_MS);
	site_free(site);
}
END_TEST

/*
 * Guards against an entry that does not become ready while the store is down,
 * although another entry can send it the tables.
 */
START_TEST(test_start_from_peer)
{
	struct site_options options;
	struct site *site;

	fixture_options(&options);
	site = fixture_start(&options);
	site_signal(site, SITE_ENTRY, 1, SIGKILL);
	ck_assert_int_eq(site_fault(site, SITE_PLATFORM, 0, "{\"down\": true}"),
			 0);
	site_start_process(site, SITE_ENTRY, 1);
	ck_assert_int_eq(
		wait_generation(site, SITE_ENTRY, 1, 1, IN_FORCE_BOUND_MS), 0);
	ck_assert_int_eq(
		site_wait_http(site_operator_address(site, SITE_ENTRY, 1),
			       "/readyz", 10000),
		0);
	site_free(site);
}
END_TEST

/* Sends a call to the store, which must succeed; the caller clears result. */
static void post(struct site *site, const char *target, const char *body,
		 struct call_result *result)
{
	struct call_options options = {
		.method = "POST",
		.address = site_address(site, SITE_PLATFORM, 0),
		.target = target,
		.body = body,
		.body_len = strlen(body),
	};

	ck_assert_int_eq(call_http(&options, result), 0);
	ck_assert_int_eq(result->status, 200);
}

/* Returns the stored tables in base64; freed by the caller. */
static char *read_tables(struct site *site)
{
	g_autofree char *key =
		g_base64_encode((const guchar *)"radishpier/tables", 17);
	g_autofree char *body = g_strdup_printf("{\"key\": \"%s\"}", key);
	struct call_result result;
	json_t *json;
	char *value;

	post(site, "/v3/kv/range", body, &result);
	json = json_loadb(result.body->str, result.body->len, 0, NULL);
	value = g_strdup(json_string_value(json_object_get(
		json_array_get(json_object_get(json, "kvs"), 0), "value")));
	ck_assert_ptr_nonnull(value);
	json_decref(json);
	call_result_clear(&result);
	return value;
}

/* Overwrites the stored tables with a base64 value, whatever their revision. */
static void write_tables(struct site *site, const char *value)
{
	g_autofree char *key =
		g_base64_encode((const guchar *)"radishpier/tables", 17);
	g_autofree char *body = g_strdup_printf(
		"{\"compare\": [], \"success\": [{\"request_put\": "
		"{\"key\": \"%s\", \"value\": \"%s\"}}], \"failure\": []}",
		key, value);
	struct call_result result;

	post(site, "/v3/kv/txn", body, &result);
	call_result_clear(&result);
}

/*
 * Guards against tables of an older generation that come into force after the
 * store was restored from an old backup.
 */
START_TEST(test_restored_backup_refused)
{
	struct site_options options;
	g_autofree char *old = NULL;
	struct site *site;
	unsigned i;

	fixture_options(&options);
	site = fixture_start(&options);
	old = read_tables(site);
	ck_assert_int_eq(apply_budget(site, 20), 0);
	wait_everywhere(site, 2, IN_FORCE_BOUND_MS);
	write_tables(site, old);
	for (i = 0; i < 200; i++) {
		ck_assert_int_eq(site_generation(site, SITE_ENTRY, i % 2), 2);
		ck_assert_int_eq(site_generation(site, SITE_AGENT, i % 3), 2);
		g_usleep(10000);
	}
	site_free(site);
}
END_TEST

/*
 * Guards against an apply that is reported as failed although the store
 * executed it and only its answer was lost.
 */
START_TEST(test_lost_apply_answers)
{
	struct site_options options;
	g_autofree char *history = NULL;
	struct site *site;
	const char *args[] = { "history", "--kv", NULL, NULL };
	unsigned round;

	fixture_options(&options);
	site = fixture_start(&options);
	for (round = 0; round < 5; round++) {
		ck_assert_int_eq(apply_budget(site, 20), 0);
		ck_assert_int_eq(site_fault(site, SITE_PLATFORM, 0,
					    "{\"lose_answers\": 1}"),
				 0);
		/* The command must read the tables back to know the outcome. */
		ck_assert_int_eq(apply_budget(site, 30), 0);
	}
	wait_everywhere(site, 11, IN_FORCE_BOUND_MS);
	args[2] = site_address(site, SITE_PLATFORM, 0);
	ck_assert_int_eq(site_cli(site, &history, args), 0);
	ck_assert_ptr_nonnull(strstr(history, "operator"));
	site_free(site);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("tables under failure");
	TCase *tcase = tcase_create("tables");

	tcase_set_timeout(tcase, 60);
	fixture_add_loop(tcase, test_change_in_force, 1);
	fixture_add_loop(tcase, test_frozen_entry_catches_up, 1);
	fixture_add_loop(tcase, test_start_from_peer, 1);
	fixture_add_loop(tcase, test_restored_backup_refused, 1);
	fixture_add_loop(tcase, test_lost_apply_answers, 1);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
