#ifndef TESTS_SITE_FIXTURE_H
#define TESTS_SITE_FIXTURE_H

#include <check.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "standin/clock.h"
#include "standin/site.h"
#include "tests/fixture.h"

/*
 * The site of the failure tests, 2 entries and 3 VMs in 3 zones, and the checks
 * that they share.
 */

/*
 * Requests to /check are idempotent, and "offers" are the non-idempotent ones
 * to /offer. timeout_ms applies to requests for /urgent and /draft.
 */
#define FIXTURE_ROUTES_WITH(timeout_ms)                                        \
	"routes:\n"                                                            \
	"  - {method: \"*\", host: \"*\", path_prefix: /check, "               \
	"pool: checks, idempotent: true, timeout_ms: 3000}\n"                  \
	"  - {method: POST, host: \"*\", path_prefix: /offer, "                \
	"pool: checks, idempotent: false, timeout_ms: 3000}\n"                 \
	"  - {method: POST, host: \"*\", path_prefix: /publish, "              \
	"pool: publishing, idempotent: false, idempotency_keys: true, "        \
	"timeout_ms: 3000}\n"                                                  \
	"  - {method: POST, host: \"*\", path_prefix: /urgent, "               \
	"pool: checks, idempotent: false, timeout_ms: " timeout_ms "}\n"       \
	"  - {method: POST, host: \"*\", path_prefix: /draft, "                \
	"pool: publishing, idempotent: false, timeout_ms: " timeout_ms "}\n"   \
	"  - {method: JOB, host: \"*\", path_prefix: score, "                  \
	"pool: scoring, idempotent: false, timeout_ms: 60000}\n"

#define FIXTURE_ROUTES FIXTURE_ROUTES_WITH("10000")

/*
 * percent is the retry budget of pool checks, publishing the max_requests of
 * pool publishing; both are strings.
 */
#define FIXTURE_POOLS_WITH(percent, publishing)                                \
	"pools:\n"                                                             \
	"  - {name: checks, class: latency-critical, priority: 0, "            \
	"guaranteed_requests: 6, max_requests: 48, queue_length: 64, "         \
	"latency_target_ms: 0, retry_budget_percent: " percent "}\n"           \
	"  - {name: publishing, class: batch, priority: 10, "                  \
	"guaranteed_requests: 3, max_requests: " publishing ", "               \
	"queue_length: 32, "                                                   \
	"latency_target_ms: 0, retry_budget_percent: 10}\n"                    \
	"  - {name: scoring, class: batch, priority: 20, queue_length: 0, "    \
	"latency_target_ms: 0, retry_budget_percent: 10}\n"

#define FIXTURE_POOLS_BUDGET(percent) FIXTURE_POOLS_WITH(percent, "12")
#define FIXTURE_POOLS FIXTURE_POOLS_BUDGET("10")

static const char *const fixture_zones[] = { "zone-a", "zone-b", "zone-c",
					     NULL };

/* Sets the options of the default site. */
static inline void fixture_options(struct site_options *options)
{
	memset(options, 0, sizeof(*options));
	options->entries = 2;
	options->vms = 3;
	options->zones = fixture_zones;
	options->routes = FIXTURE_ROUTES;
	options->pools = FIXTURE_POOLS;
	options->vm_pools = "[checks, publishing, scoring]";
	options->slots = 8;
	options->service_ms = 5;
	options->cpu_milli = 4000;
	options->memory_bytes = 8LL << 30;
}

/* Starts a site; fails the test if it does not become ready. */
static inline struct site *fixture_start(const struct site_options *options)
{
	struct site *site = site_new(options);

	ck_assert_int_eq(site_start(site), 0);
	return site;
}

/*
 * Starts a load on n entries, 1 or 2: entry 1 alone, or both. Each caller
 * pauses for pause_ms between its requests.
 */
static inline struct load *fixture_load_at(struct site *site, size_t n,
					   const char *method,
					   const char *target, unsigned callers,
					   unsigned pause_ms, const char *tag)
{
	const char *addresses[] = { site_address(site, SITE_ENTRY, 1),
				    site_address(site, SITE_ENTRY, 0) };
	struct load_options options = {
		.method = method,
		.addresses = addresses,
		.n_addresses = n,
		.target = target,
		.body_len = 200,
		.callers = callers,
		.pause_ms = pause_ms,
		.tag = tag,
	};

	return load_start(&options);
}

/* Starts a load on both entries with a pause of 1 ms. */
static inline struct load *fixture_load(struct site *site, const char *method,
					const char *target, unsigned callers,
					const char *tag)
{
	return fixture_load_at(site, 2, method, target, callers, 1, tag);
}

/*
 * Checks that each caller got the answer to its own request, that no upstream
 * recorded a request that was answered with "not-run", and that "ran" never
 * comes with a status of 500 or more.
 */
static inline void fixture_check_answers(struct site *site,
					 const GArray *answers)
{
	g_autoptr(GHashTable) ran = site_ran_tags(site);
	guint i;

	for (i = 0; i < answers->len; i++) {
		struct load_answer *answer =
			&g_array_index(answers, struct load_answer, i);

		if (!answer->status)
			continue;
		ck_assert_msg(answer->matches_request,
			      "%s got the answer to another request",
			      answer->tag);
		if (!strcmp(answer->outcome, "not-run"))
			ck_assert_msg(!g_hash_table_contains(ran, answer->tag),
				      "%s was answered with not-run but ran",
				      answer->tag);
		if (!strcmp(answer->outcome, "ran"))
			ck_assert_msg(answer->status < 500,
				      "%s ran with status %ld", answer->tag,
				      answer->status);
	}
}

/*
 * Checks the records of workers and upstreams: no job executed in two places at
 * once or finished twice, no request executed twice, and no upstream ran more
 * requests than it has slots.
 */
static inline void fixture_check_records(struct site *site)
{
	struct site_check check;

	site_check(site, &check);
	ck_assert_uint_eq(check.overlapping, 0);
	ck_assert_uint_eq(check.finished_twice, 0);
	ck_assert_uint_eq(check.over_slots, 0);
	ck_assert_uint_eq(check.requests_repeated, 0);
}

/* Stops a load and checks its answers; summary may be NULL. */
static inline void fixture_check_load(struct site *site, struct load *load,
				      struct load_summary *summary)
{
	GArray *answers = load_stop(load);

	fixture_check_answers(site, answers);
	if (summary)
		load_summarise(answers, summary);
	g_array_free(answers, TRUE);
}

/* Returns how many tasks of a VM's worker are in a state, such as "running". */
static inline unsigned fixture_tasks(struct site *site, unsigned vm,
				     const char *state)
{
	struct call_options options = {
		.method = "GET",
		.address = site_address(site, SITE_WORKER, vm),
		.target = "/v1/tasks",
	};
	struct call_result result;
	unsigned n = 0;
	json_t *task;
	json_t *body;
	size_t i;

	ck_assert_int_eq(call_http(&options, &result), 0);
	body = json_loadb(result.body->str, result.body->len, 0, NULL);
	json_array_foreach(json_object_get(body, "tasks"), i, task) n +=
		!g_strcmp0(json_string_value(json_object_get(task, "state")),
			   state);
	json_decref(body);
	call_result_clear(&result);
	return n;
}

/* Prints the time since since_ms and checks that it is within the bound. */
static inline void fixture_check_elapsed(const char *fault, const char *what,
					 gint64 since_ms, gint64 bound_ms)
{
	gint64 took_ms = clock_now_ms() - since_ms;

	g_printerr("%s: %s after %" G_GINT64_FORMAT
		   " ms, bound %" G_GINT64_FORMAT " ms\n",
		   fault, what, took_ms, bound_ms);
	ck_assert_msg(took_ms <= bound_ms, "%s: %s too late", fault, what);
}

#endif
