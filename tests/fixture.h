#ifndef TESTS_FIXTURE_H
#define TESTS_FIXTURE_H

#include <check.h>
#include <glib.h>
#include <stdlib.h>

/* Helpers for the main functions of the test programs. */

/* Returns an environment variable as a number, or fallback if it is unset. */
static inline long fixture_env(const char *name, long fallback)
{
	const char *value = getenv(name);

	return value ? strtol(value, NULL, 10) : fallback;
}

/*
 * Adds a loop test of n rows, limited to the rows of this process: part
 * RP_SHARD (from 0) of RP_SHARDS equal parts.
 */
static inline void fixture_add_loop(TCase *tcase, const TTest *test, int n)
{
	int shards = (int)fixture_env("RP_SHARDS", 1);
	int shard = (int)fixture_env("RP_SHARD", 0);
	int from = n * shard / shards;
	int to = n * (shard + 1) / shards;

	if (from < to)
		tcase_add_loop_test(tcase, test, from, to);
}

/* Runs and frees the suite; returns the exit status of the program. */
static inline int fixture_run(Suite *suite)
{
	SRunner *runner = srunner_create(suite);
	int failed;

	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

static inline GLogWriterOutput
fixture_drop_entry(GLogLevelFlags level G_GNUC_UNUSED,
		   const GLogField *fields G_GNUC_UNUSED,
		   gsize n_fields G_GNUC_UNUSED, gpointer data G_GNUC_UNUSED)
{
	return G_LOG_WRITER_HANDLED;
}

/* Discards log lines, in programs whose tests inject faults that are logged. */
static inline void fixture_drop_logs(void)
{
	g_log_set_writer_func(fixture_drop_entry, NULL, NULL);
}

#endif
