#include <check.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/config.h"
#include "config/fields.h"
#include "tests/fixture.h"
#include "tests/later_version.h"

#define POOL_ROW "  - name: checks\n    class: latency-critical\n"
#define POOLS "pools:\n" POOL_ROW
#define BATCH "  - name: scoring\n    class: batch\n"
#define ROUTES "routes:\n  - path_prefix: /photos\n    pool: checks\n"
#define ENTRY                                                                  \
	"id: entry-1\nzone: cusco-a\ncaller_address: 127.0.0.1:8080\n"         \
	"agent_address: 127.0.0.1:8081\noperator_address: 127.0.0.1:8082\n"
#define AGENT                                                                  \
	"vm: vm-1\nzone: cusco-a\noperator_address: 127.0.0.1:9000\n"          \
	"entries: [\"127.0.0.1:8081\"]\n"

static char *folder;

static char *write_file(const char *name, const char *text)
{
	char *path = g_build_filename(folder, name, NULL);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static struct cfg_tables *load(const char *pools, const char *routes,
			       GError **error)
{
	g_autofree char *pools_file = write_file("pools.yaml", pools);
	g_autofree char *routes_file = write_file("routes.yaml", routes);

	return cfg_tables_load(routes_file, pools_file, error);
}

/* Frees error, which must be the expected text after the folder's path. */
static void expect_error(GError *error, const char *expected)
{
	g_autofree char *full = g_build_filename(folder, expected, NULL);

	ck_assert_ptr_nonnull(error);
	ck_assert_uint_eq(error->domain, CFG_ERROR);
	ck_assert_str_eq(error->message, full);
	g_error_free(error);
}

static const struct {
	const char *pools;
	const char *routes;
	const char *expected;
} bad_tables[] = {
	{ "", ROUTES,
	  "pools.yaml:1: empty file; expected the key pools with a list" },
	{ "pools: 3\n", ROUTES,
	  "pools.yaml:1: key pools: Expecting SEQUENCE, got event: SCALAR; "
	  "expected the key pools with a list" },
	{ "pools:\n  - name: \"che", ROUTES,
	  "pools.yaml:2: found unexpected end of stream; expected YAML" },
	{ "pools:\n  - name: checks\n", ROUTES,
	  "pools.yaml:2: pools entry 1, key class: missing; expected "
	  "latency-critical or batch" },
	{ "pools:\n  - checks\n", ROUTES,
	  "pools.yaml:2: pools entry 1: Expecting MAPPING, got event: SCALAR; "
	  "expected a mapping of keys to values" },
	{ POOLS "    priority: urgent\n", ROUTES,
	  "pools.yaml:4: pools entry 1, key priority: \"urgent\"; expected a "
	  "whole number from 0 to 99" },
	{ POOLS "    priority: 100\n", ROUTES,
	  "pools.yaml:4: pools entry 1, key priority: \"100\"; expected a "
	  "whole number from 0 to 99" },
	{ POOLS "    queue_length: -1\n", ROUTES,
	  "pools.yaml:4: pools entry 1, key queue_length: \"-1\"; expected a "
	  "whole number from 0 to 1000000" },
	{ POOLS "    max_requests: 010\n", ROUTES,
	  "pools.yaml:4: pools entry 1, key max_requests: \"010\"; expected a "
	  "whole number from 0 to 10000000" },
	{ POOLS "    max_requests: [1]\n", ROUTES,
	  "pools.yaml:4: pools entry 1, key max_requests: Expecting STRING, "
	  "got event: SEQUENCE_START; expected a whole number from 0 to "
	  "10000000" },
	{ POOLS "    priority: 1\n    priority: 2\n", ROUTES,
	  "pools.yaml:5: pools entry 1, key priority: given twice; expected a "
	  "whole number from 0 to 99" },
	{ POOLS "    timeout: 1\n", ROUTES,
	  "pools.yaml:4: pools entry 1, key timeout: unknown; expected one of "
	  "the keys name, class, priority, guaranteed_cpu_milli, "
	  "guaranteed_memory_bytes, guaranteed_accelerators, max_cpu_milli, "
	  "max_memory_bytes, max_accelerators, team_max_cpu_milli, "
	  "team_max_memory_bytes, team_max_accelerators, "
	  "guaranteed_requests, max_requests, queue_length, latency_target_ms, "
	  "retry_budget_percent, hedge_budget_percent" },
	{ POOLS "  - name: \"\"\n    class: batch\n", ROUTES,
	  "pools.yaml:4: pools entry 2, key name: \"\"; expected 1 to 64 "
	  "letters, digits, '.', '_' or '-'" },
	{ POOLS "  - name: b\n    class: bach\n", ROUTES,
	  "pools.yaml:5: pools entry 2, key class: \"bach\"; expected "
	  "latency-critical or batch" },
	{ POOLS POOL_ROW, ROUTES,
	  "pools.yaml:4: pools entry 2, key name: duplicate pool \"checks\", "
	  "first in entry 1; expected each name once" },
	{ POOLS "    guaranteed_requests: 5\n    max_requests: 4\n", ROUTES,
	  "pools.yaml:4: pools entry 1, key guaranteed_requests: 5; expected "
	  "at most max_requests, 4" },
	{ POOLS "---\npools: []\n", ROUTES,
	  "pools.yaml:4: a second document; expected one" },
	{ POOLS, "routes:\n  - path_prefix: /a\n    pool: chekcs\n",
	  "routes.yaml:3: routes entry 1, key pool: there is no pool "
	  "\"chekcs\"; expected a name from the pools table" },
	{ POOLS, ROUTES "  - path_prefix: /photos\n    pool: checks\n",
	  "routes.yaml:4: routes entry 2, key path_prefix: duplicate route "
	  "\"* * /photos\", first in entry 1; expected each method, host and "
	  "path prefix once" },
	{ POOLS, ROUTES "    idempotent: yes\n",
	  "routes.yaml:4: routes entry 1, key idempotent: \"yes\"; expected "
	  "true or false" },
	{ POOLS, ROUTES "    idempotency_keys: true\n",
	  "routes.yaml:4: routes entry 1, key idempotency_keys: expected "
	  "false, since pool \"checks\" is not of class batch" },
	{ POOLS BATCH,
	  "routes:\n  - path_prefix: /p\n    pool: scoring\n"
	  "    idempotent: true\n    idempotency_keys: true\n",
	  "routes.yaml:5: routes entry 1, key idempotency_keys: expected false "
	  "on an idempotent route; its requests may be repeated" },
	{ POOLS, ROUTES "    timeout_ms: 0\n",
	  "routes.yaml:4: routes entry 1, key timeout_ms: \"0\"; expected a "
	  "whole number from 1 to 3600000" },
	{ POOLS, "routes:\n  - path_prefix: photos\n    pool: checks\n",
	  "routes.yaml:2: routes entry 1, key path_prefix: \"photos\"; "
	  "expected a leading \"/\", unless the method is JOB" },
};

/*
 * Guards against a table with a mistake that is accepted, or refused without
 * its file, line and key.
 */
START_TEST(test_bad_tables)
{
	GError *error = NULL;

	ck_assert_ptr_null(
		load(bad_tables[_i].pools, bad_tables[_i].routes, &error));
	expect_error(error, bad_tables[_i].expected);
}
END_TEST

static const struct {
	gboolean agent;
	const char *text;
	const char *expected;
} bad_settings[] = {
	{ FALSE, ENTRY "kv_endpoints: []\n",
	  "s.yaml:6: key kv_endpoints: 0 items; expected a list of IP:PORT, at "
	  "least 1" },
	{ FALSE, ENTRY,
	  "s.yaml:1: key kv_endpoints: missing; expected a list of IP:PORT, at "
	  "least 1" },
	{ FALSE, ENTRY "kv_endpoints: [\"127.0.0.1\"]\n",
	  "s.yaml:6: key kv_endpoints: \"127.0.0.1\"; expected a list of "
	  "IP:PORT, at least 1" },
	{ FALSE, ENTRY "kv_endpoints: [[1]]\n",
	  "s.yaml:6: key kv_endpoints: Expecting STRING, got event: "
	  "SEQUENCE_START; expected a list of IP:PORT, at least 1" },
	{ FALSE, ENTRY "kv_endpoints: [\"127.0.0.1:1\"]\nkv_timeout_ms: 2s\n",
	  "s.yaml:7: key kv_timeout_ms: \"2s\"; expected a whole number from "
	  "50 to 60000" },
	{ FALSE, ENTRY "kv_endpoints: [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n",
	  "s.yaml:6: key kv_endpoints: \"127.0.0.1:1\" twice; expected each "
	  "item once" },
	{ FALSE,
	  "id: e\nzone: z\ncaller_address: 127.0.0.1:1\n"
	  "agent_address: 127.0.0.1:2\noperator_address: 127.0.0.1:1\n"
	  "kv_endpoints: [\"127.0.0.1:3\"]\n",
	  "s.yaml:5: key operator_address: \"127.0.0.1:1\" is also "
	  "caller_address; expected another address" },
	{ FALSE, ENTRY "kv_endpoints: [\"127.0.0.1:1\"]\ndrain_grace_ms: -1\n",
	  "s.yaml:7: key drain_grace_ms: \"-1\"; expected a whole number from "
	  "0 to 60000" },
	{ FALSE, ENTRY "kv_endpoints: [\"127.0.0.1:1\\0x\"]\n",
	  "s.yaml:6: a NUL character; expected text" },
	{ FALSE, "id: entry-1\nzo",
	  "s.yaml:3: could not find expected ':'; "
	  "expected YAML" },
	{ FALSE, "\xff\xfe\x01",
	  "s.yaml:1: incomplete UTF-16 character; "
	  "expected YAML" },
	{ TRUE,
	  AGENT "worker_address: 127.0.0.1:80\ncpu_milli: 1\n"
		"memory_bytes: 1\n",
	  "s.yaml:1: key pools: empty; expected the pools of the worker's "
	  "jobs" },
	{ TRUE, AGENT "upstream_address: 127.0.0.1:80\npools: [a, b, a]\n",
	  "s.yaml:6: key pools: \"a\" twice; expected each item once" },
	{ TRUE, AGENT,
	  "s.yaml:1: key upstream_address: empty; expected an address here or "
	  "in worker_address" },
	{ TRUE, AGENT "upstream_address: 127.0.0.1:80\n",
	  "s.yaml:1: key pools: empty; expected the pools of the upstream" },
	{ TRUE, AGENT "worker_address: 127.0.0.1:80\ncpu_milli: 0\n",
	  "s.yaml:6: key cpu_milli: 0; expected the worker's processors" },
};

/* Guards against a program that starts with incomplete or misread settings. */
START_TEST(test_bad_settings)
{
	g_autofree char *file = write_file("s.yaml", bad_settings[_i].text);
	GError *error = NULL;

	if (bad_settings[_i].agent)
		ck_assert_ptr_null(cfg_agent_load(file, &error));
	else
		ck_assert_ptr_null(cfg_entry_load(file, &error));
	expect_error(error, bad_settings[_i].expected);
}
END_TEST

/* Guards against omitted keys that do not get their documented defaults. */
START_TEST(test_defaults)
{
	g_autofree char *file = write_file("s.yaml", ENTRY
					   "kv_endpoints: [\"127.0.0.1:1\"]\n");
	struct cfg_entry *entry = cfg_entry_load(file, NULL);
	struct cfg_tables *tables = load(POOLS, ROUTES, NULL);
	const struct cfg_route *route;

	ck_assert_uint_eq(entry->peers_count, 0);
	ck_assert_str_eq(entry->kv_endpoints[0], "127.0.0.1:1");
	ck_assert_uint_eq(entry->kv_timeout_ms, 2000);
	ck_assert_uint_eq(entry->max_body_bytes, 1048576);
	ck_assert_str_eq(entry->log_level, "info");
	route = tables->routes->pdata[0];
	ck_assert(!route->idempotent);
	ck_assert_uint_eq(route->timeout_ms, 10000);
	ck_assert_uint_eq(cfg_pool_find(tables, "checks")->retry_budget_percent,
			  10);
	ck_assert_uint_eq(cfg_pool_find(tables, "checks")->hedge_budget_percent,
			  0);
	cfg_entry_free(entry);
	cfg_tables_free(tables);
}
END_TEST

static const struct {
	const char *title;
	const struct cfg_schema *schema;
} documented[] = {
	{ "\n## Pools table\n", &cfg_pool_schema },
	{ "\n## Routes table\n", &cfg_route_schema },
	{ "\n## Settings of `radishpier serve`\n", &cfg_entry_schema },
	{ "\n## Settings of `radishpier-agent`\n", &cfg_agent_schema },
};

/* Reads a number such as "1,966,080" or "10^12". */
static gint64 documented_number(const char *text)
{
	g_auto(GStrv) parts = g_strsplit(text, ",", -1);
	g_autofree char *plain = g_strjoinv("", parts);
	char *end;
	gint64 base = g_ascii_strtoll(plain, &end, 10);
	gint64 value = base;
	gint64 power = *end == '^' ? g_ascii_strtoll(end + 1, NULL, 10) : 1;

	while (--power > 0)
		value *= base;
	return value;
}

static void check_documented(const char *section, const struct cfg_field *field)
{
	g_autofree char *start = g_strdup_printf("\n| `%s` | ", field->key);
	const char *row = strstr(section, start);
	g_auto(GStrv) cells = NULL;
	const char *fallback = field->fallback;
	const char *to;

	ck_assert_msg(row != NULL, "%s is not documented", field->key);
	cells = g_strsplit(row, " | ", 5);
	if (!fallback)
		fallback = "required";
	else if (!*fallback)
		fallback = "empty";
	ck_assert_msg(g_str_has_prefix(cells[3] + (*cells[3] == '`'), fallback),
		      "%s: default is %s, not %s", field->key, fallback,
		      cells[3]);
	if (field->kind != CFG_COUNT && field->kind != CFG_AMOUNT)
		return;
	to = strstr(cells[2], " to ");
	ck_assert_msg(to && documented_number(cells[2]) == field->min &&
			      documented_number(to + 4) == field->max,
		      "%s: range is %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
		      ", not %s",
		      field->key, field->min, field->max, cells[2]);
}

/* Guards against documented defaults and ranges that differ from the code. */
START_TEST(test_documented)
{
	g_autofree char *text = NULL;
	const char *section;
	char *end;
	size_t i;

	ck_assert(g_file_get_contents("docs/configuration.md", &text, NULL,
				      NULL));
	section = strstr(text, documented[_i].title);
	ck_assert(section != NULL);
	end = strstr(section + 1, "\n## ");
	if (end)
		*end = '\0';
	for (i = 0; i < documented[_i].schema->n_fields; i++)
		check_documented(section, &documented[_i].schema->fields[i]);
}
END_TEST

static const struct {
	const char *method;
	const char *host;
	const char *path;
	/* timeout_ms of the route; 0 if none matches. */
	unsigned timeout_ms;
} matches[] = {
	{ "GET", "a.example", "/photos", 1 },
	{ "GET", "a.example", "/photos/1?x=/y", 1 },
	{ "GET", "a.example", "/photos?size=2", 1 },
	{ "GET", "a.example", "/photosets", 6 },
	{ "GET", "fair.example", "/photos/1", 2 },
	{ "POST", "Fair.Example:8080", "/photos/1", 2 },
	{ "POST", "a.example", "/photos/1", 3 },
	{ "POST", "fair.example.org", "/photos/checks/1", 4 },
	{ "GET", NULL, "/photos/checks", 1 },
	{ "JOB", NULL, "score", 5 },
	{ "JOB", NULL, "/score/stall", 5 },
	{ "JOB", NULL, "scores", 0 },
	{ "JOB", NULL, "photos", 0 },
};

/* Guards against requests routed to another pool because of a similar path. */
START_TEST(test_match)
{
	static const char pattern[] =
		"routes:\n"
		"  - {path_prefix: /, pool: checks, timeout_ms: 6}\n"
		"  - {path_prefix: /photos, pool: checks, timeout_ms: 1}\n"
		"  - {path_prefix: /photos, host: Fair.example, pool: checks,"
		" timeout_ms: 2}\n"
		"  - {path_prefix: /photos, method: POST, pool: checks,"
		" timeout_ms: 3}\n"
		"  - {path_prefix: /photos/checks/, pool: checks,"
		" timeout_ms: 4}\n"
		"  - {path_prefix: score, method: JOB, pool: checks,"
		" timeout_ms: 5}\n";
	struct cfg_tables *tables = load(POOLS, pattern, NULL);
	const struct cfg_route *route;
	size_t i;

	ck_assert_ptr_nonnull(tables);
	for (i = 0; i < G_N_ELEMENTS(matches); i++) {
		route = cfg_route_match(tables, matches[i].method,
					matches[i].host, matches[i].path);
		ck_assert_msg((route ? route->timeout_ms : 0) ==
				      matches[i].timeout_ms,
			      "%s %s matched %u", matches[i].method,
			      matches[i].path, route ? route->timeout_ms : 0);
	}
	cfg_tables_free(tables);
}
END_TEST

static struct cfg_tables *decode_as(const struct cfg_tables *tables,
				    GError **error)
{
	g_autoptr(GBytes) bytes = cfg_tables_encode(tables);
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	return cfg_tables_decode(data, len, error);
}

static struct cfg_tables *load_document(const char *pools, guint64 generation)
{
	struct cfg_tables *tables = load(pools, ROUTES, NULL);

	tables->generation = generation;
	tables->parent_generation = generation - 1;
	tables->incarnation = g_strdup("i1");
	tables->author = g_strdup("ana");
	tables->applied_unix_ms = 1700000000000;
	return tables;
}

/*
 * Guards against equal tables that give different documents, for example after
 * the rows of a file were reordered.
 */
START_TEST(test_round_trip)
{
	struct cfg_tables *a = load_document(POOLS BATCH, 7);
	struct cfg_tables *b = load_document("pools:\n" BATCH POOL_ROW, 7);
	struct cfg_tables *c = decode_as(a, NULL);
	struct cfg_tables *d = decode_as(b, NULL);
	g_autoptr(GBytes) first = cfg_tables_encode(a);
	g_autoptr(GBytes) second = cfg_tables_encode(d);

	ck_assert_ptr_nonnull(c);
	ck_assert(g_bytes_equal(first, second));
	ck_assert(c->digest == d->digest && c->digest != 0);
	ck_assert_uint_eq(c->generation, 7);
	ck_assert_str_eq(c->author, "ana");
	ck_assert_int_eq(cfg_tables_check(c, NULL), 0);
	ck_assert_int_eq(cfg_tables_compare(c, d), CFG_ADOPT_SAME);
	cfg_tables_free(a);
	cfg_tables_free(b);
	cfg_tables_free(c);
	cfg_tables_free(d);
}
END_TEST

static const struct {
	const char *from;
	const char *to;
	const char *expected;
} bad_documents[] = {
	{ "\"generation\":7", "\"generation\":0",
	  "table document: key generation: expected at least 1 and more than "
	  "parent_generation" },
	{ "\"author\":\"ana\",", "",
	  "table document: Object item not found: author" },
	{ "\"priority\":50", "\"priority\":\"50\"",
	  "table document: pools entry 1, key priority: \"50\"; expected a "
	  "whole number from 0 to 99" },
	{ "\"class\":\"latency-critical\",", "",
	  "table document: pools entry 1, key class: missing; expected "
	  "latency-critical or batch" },
	{ "\"path_prefix\":\"/photos\",", "",
	  "table document: routes entry 1, key path_prefix: missing; expected "
	  "a path prefix" },
	{ "\"pool\":\"checks\"", "\"pool\":\"other\"",
	  "table document: routes entry 1, key pool: there is no pool "
	  "\"other\"; expected a name from the pools table" },
	{ "{", "", "table document: byte " },
};

/* Guards against adopting a damaged document. */
START_TEST(test_bad_documents)
{
	struct cfg_tables *tables = load_document(POOLS, 7);
	g_autoptr(GBytes) bytes = cfg_tables_encode(tables);
	g_autoptr(GString) text = g_string_new_len(
		g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));
	GError *error = NULL;

	ck_assert_uint_eq(g_string_replace(text, bad_documents[_i].from,
					   bad_documents[_i].to, 1),
			  1);
	ck_assert_ptr_null(cfg_tables_decode(text->str, text->len, &error));
	ck_assert(g_error_matches(error, CFG_ERROR, CFG_ERROR_DOCUMENT));
	ck_assert_msg(
		g_str_has_prefix(error->message, bad_documents[_i].expected),
		"%s", error->message);
	g_error_free(error);
	cfg_tables_free(tables);
}
END_TEST

static struct cfg_tables *decode(GBytes *document)
{
	gsize len;
	const void *data = g_bytes_get_data(document, &len);

	return cfg_tables_decode(data, len, NULL);
}

/*
 * Guards against a process that refuses every change during an upgrade, since a
 * later version adds keys. Documents that differ only in such keys differ.
 */
START_TEST(test_later_document)
{
	struct cfg_tables *tables = load_document(POOLS, 7);
	g_autoptr(GBytes) known = cfg_tables_encode(tables);
	g_autoptr(GBytes) later = later_document(known);
	struct cfg_tables *a = decode(known);
	struct cfg_tables *b = decode(later);
	g_autoptr(GBytes) again = NULL;

	ck_assert(a && b);
	ck_assert_ptr_null(a->unknown_keys);
	ck_assert_str_eq(b->unknown_keys, LATER_KEYS);
	again = cfg_tables_encode(b);
	ck_assert(g_bytes_equal(again, known));
	ck_assert_int_eq(cfg_tables_compare(a, b), CFG_ADOPT_CONFLICT);
	ck_assert(b->digest == wire_document_digest(later));
	cfg_tables_free(a);
	cfg_tables_free(b);
	cfg_tables_free(tables);
}
END_TEST

/*
 * Guards against an upgraded process that refuses the stored document until the
 * next change, since an earlier version did not write the keys added later.
 */
START_TEST(test_earlier_document)
{
	struct cfg_tables *tables = load_document(POOLS, 7);
	g_autoptr(GBytes) bytes = cfg_tables_encode(tables);
	g_autoptr(GString) text = g_string_new_len(
		g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));
	struct cfg_tables *decoded;
	const struct cfg_pool *pool;

	ck_assert_uint_eq(
		g_string_replace(text, "\"hedge_budget_percent\":0,", "", 0),
		1);
	ck_assert_uint_eq(
		g_string_replace(text, "\"queue_length\":100,", "", 0), 1);
	decoded = cfg_tables_decode(text->str, text->len, NULL);
	ck_assert_ptr_nonnull(decoded);
	pool = cfg_pool_find(decoded, "checks");
	ck_assert_uint_eq(pool->hedge_budget_percent, 0);
	ck_assert_uint_eq(pool->queue_length, 100);
	ck_assert_ptr_null(decoded->unknown_keys);
	cfg_tables_free(decoded);
	cfg_tables_free(tables);
}
END_TEST

/*
 * Guards against a document that is older, or of another incarnation, replacing
 * the one in force.
 */
START_TEST(test_adoption)
{
	struct cfg_tables *raw = load_document(POOLS, 7);
	struct cfg_tables *held = decode_as(raw, NULL);
	struct cfg_tables *other = decode_as(raw, NULL);

	ck_assert_int_eq(cfg_tables_compare(NULL, other), CFG_ADOPT_NEWER);
	other->generation = 8;
	ck_assert_int_eq(cfg_tables_compare(held, other), CFG_ADOPT_NEWER);
	other->generation = 6;
	ck_assert_int_eq(cfg_tables_compare(held, other), CFG_ADOPT_OLDER);
	other->generation = 7;
	other->digest++;
	ck_assert_int_eq(cfg_tables_compare(held, other), CFG_ADOPT_CONFLICT);
	other->generation = 8;
	*other->incarnation = 'x';
	ck_assert_int_eq(cfg_tables_compare(held, other), CFG_ADOPT_CONFLICT);
	cfg_tables_free(raw);
	cfg_tables_free(held);
	cfg_tables_free(other);
}
END_TEST

/* Guards against an audit trail that omits a changed row or lists others. */
START_TEST(test_diff)
{
	struct cfg_tables *a = load(POOLS BATCH, ROUTES, NULL);
	struct cfg_tables *b =
		load(POOLS "    priority: 1\n    max_requests: 9\n",
		     "routes:\n  - {path_prefix: /p, pool: checks}\n", NULL);
	g_autofree char *same = cfg_tables_diff(a, a);
	g_autofree char *diff = cfg_tables_diff(a, b);
	g_auto(GStrv) lines = g_strsplit(diff, "\n", -1);

	ck_assert_str_eq(same, "");
	ck_assert_uint_eq(g_strv_length(lines), 5);
	ck_assert(g_str_has_prefix(lines[0], "- pool scoring {\"class\""));
	ck_assert_str_eq(lines[1], "~ pool checks: priority 50 -> 1, "
				   "max_requests 0 -> 9");
	ck_assert(g_str_has_prefix(lines[2], "- route * * /photos {"));
	ck_assert(g_str_has_prefix(lines[3], "+ route * * /p {"));
	cfg_tables_free(a);
	cfg_tables_free(b);
}
END_TEST

/* Guards against examples whose settings or tables are refused. */
START_TEST(test_examples)
{
	static const char *const sites[] = { "consortium", "farmland" };
	g_autofree char *routes = g_strdup_printf("examples/%s/routes.yaml",
						  sites[_i]);
	g_autofree char *pools = g_strdup_printf("examples/%s/pools.yaml",
						 sites[_i]);
	g_autofree char *entry = g_strdup_printf("examples/%s/entry.yaml",
						 sites[_i]);
	g_autofree char *agent = g_strdup_printf("examples/%s/agent.yaml",
						 sites[_i]);
	struct cfg_tables *tables = cfg_tables_load(routes, pools, NULL);
	struct cfg_entry *entry_settings = cfg_entry_load(entry, NULL);
	struct cfg_agent *agent_settings = cfg_agent_load(agent, NULL);
	unsigned i;

	ck_assert(tables && entry_settings && agent_settings);
	for (i = 0; i < agent_settings->pools_count; i++)
		ck_assert_ptr_nonnull(
			cfg_pool_find(tables, agent_settings->pools[i]));
	cfg_tables_free(tables);
	cfg_entry_free(entry_settings);
	cfg_agent_free(agent_settings);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config");
	TCase *tcase = tcase_create("config");
	g_autoptr(GDir) dir = NULL;
	const char *name;
	int status;

	folder = g_dir_make_tmp("config_test.XXXXXX", NULL);
	tcase_add_loop_test(tcase, test_bad_tables, 0,
			    G_N_ELEMENTS(bad_tables));
	tcase_add_loop_test(tcase, test_bad_settings, 0,
			    G_N_ELEMENTS(bad_settings));
	tcase_add_test(tcase, test_defaults);
	tcase_add_loop_test(tcase, test_documented, 0,
			    G_N_ELEMENTS(documented));
	tcase_add_test(tcase, test_match);
	tcase_add_test(tcase, test_round_trip);
	tcase_add_loop_test(tcase, test_bad_documents, 0,
			    G_N_ELEMENTS(bad_documents));
	tcase_add_test(tcase, test_later_document);
	tcase_add_test(tcase, test_earlier_document);
	tcase_add_test(tcase, test_adoption);
	tcase_add_test(tcase, test_diff);
	tcase_add_loop_test(tcase, test_examples, 0, 2);
	suite_add_tcase(suite, tcase);
	status = fixture_run(suite);
	dir = g_dir_open(folder, 0, NULL);
	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(folder, name, NULL);

		g_unlink(path);
	}
	g_rmdir(folder);
	g_free(folder);
	return status;
}
