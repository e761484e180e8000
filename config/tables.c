#include "fields.h"

#include <string.h>

#define MAX_FLEET_CPU_MILLI G_GINT64_CONSTANT(1000000000000)
#define MAX_FLEET_MEMORY_BYTES (G_GINT64_CONSTANT(1) << 60)
#define MAX_FLEET_ACCELERATORS G_GINT64_CONSTANT(1000000000)
#define MAX_FLEET_REQUESTS 10000000
#define MAX_QUEUE_LENGTH 1000000
#define MAX_TIMEOUT_MS 3600000

#define POOL(member) offsetof(struct cfg_pool, member)
#define ROUTE(member) offsetof(struct cfg_route, member)

static const struct cfg_field pool_fields[] = {
	{ "name", CFG_NAME, POOL(name) },
	{ "class", CFG_CLASS, POOL(class) },
	{ "priority", CFG_COUNT, POOL(priority), "50", 0, 99 },
	{ "guaranteed_cpu_milli", CFG_AMOUNT, POOL(guaranteed_cpu_milli), "0",
	  0, MAX_FLEET_CPU_MILLI },
	{ "guaranteed_memory_bytes", CFG_AMOUNT, POOL(guaranteed_memory_bytes),
	  "0", 0, MAX_FLEET_MEMORY_BYTES },
	{ "guaranteed_accelerators", CFG_AMOUNT, POOL(guaranteed_accelerators),
	  "0", 0, MAX_FLEET_ACCELERATORS },
	{ "max_cpu_milli", CFG_AMOUNT, POOL(max_cpu_milli), "0", 0,
	  MAX_FLEET_CPU_MILLI },
	{ "max_memory_bytes", CFG_AMOUNT, POOL(max_memory_bytes), "0", 0,
	  MAX_FLEET_MEMORY_BYTES },
	{ "max_accelerators", CFG_AMOUNT, POOL(max_accelerators), "0", 0,
	  MAX_FLEET_ACCELERATORS },
	{ "team_max_cpu_milli", CFG_AMOUNT, POOL(team_max_cpu_milli), "0", 0,
	  MAX_FLEET_CPU_MILLI },
	{ "team_max_memory_bytes", CFG_AMOUNT, POOL(team_max_memory_bytes), "0",
	  0, MAX_FLEET_MEMORY_BYTES },
	{ "team_max_accelerators", CFG_AMOUNT, POOL(team_max_accelerators), "0",
	  0, MAX_FLEET_ACCELERATORS },
	{ "guaranteed_requests", CFG_COUNT, POOL(guaranteed_requests), "0", 0,
	  MAX_FLEET_REQUESTS },
	{ "max_requests", CFG_COUNT, POOL(max_requests), "0", 0,
	  MAX_FLEET_REQUESTS },
	{ "queue_length", CFG_COUNT, POOL(queue_length), "100", 0,
	  MAX_QUEUE_LENGTH },
	{ "latency_target_ms", CFG_COUNT, POOL(latency_target_ms), "0", 0,
	  MAX_TIMEOUT_MS },
	{ "retry_budget_percent", CFG_COUNT, POOL(retry_budget_percent), "10",
	  0, 100 },
	{ "hedge_budget_percent", CFG_COUNT, POOL(hedge_budget_percent), "0", 0,
	  100 },
};

static const struct cfg_field route_fields[] = {
	{ "method", CFG_METHOD, ROUTE(method), "*" },
	{ "host", CFG_HOST, ROUTE(host), "*" },
	{ "path_prefix", CFG_PATH, ROUTE(path_prefix) },
	{ "pool", CFG_NAME, ROUTE(pool) },
	{ "idempotent", CFG_FLAG, ROUTE(idempotent), "false" },
	{ "idempotency_keys", CFG_FLAG, ROUTE(idempotency_keys), "false" },
	{ "timeout_ms", CFG_COUNT, ROUTE(timeout_ms), "10000", 1,
	  MAX_TIMEOUT_MS },
};

const struct cfg_schema cfg_pool_schema = { "pools", sizeof(struct cfg_pool),
					    pool_fields,
					    G_N_ELEMENTS(pool_fields) };

const struct cfg_schema cfg_route_schema = { "routes", sizeof(struct cfg_route),
					     route_fields,
					     G_N_ELEMENTS(route_fields) };

/* Pairs of pool keys of which the first must not exceed the second. */
static const struct {
	const char *key;
	const char *max_key;
} pool_bounds[] = {
	{ "guaranteed_cpu_milli", "max_cpu_milli" },
	{ "guaranteed_memory_bytes", "max_memory_bytes" },
	{ "guaranteed_accelerators", "max_accelerators" },
	{ "guaranteed_requests", "max_requests" },
	{ "team_max_cpu_milli", "max_cpu_milli" },
	{ "team_max_memory_bytes", "max_memory_bytes" },
	{ "team_max_accelerators", "max_accelerators" },
};

GQuark cfg_error_quark(void)
{
	return g_quark_from_static_string("cfg-error");
}

static void free_pool(gpointer pool)
{
	cfg_object_free(&cfg_pool_schema, pool);
}

static void free_route(gpointer route)
{
	cfg_object_free(&cfg_route_schema, route);
}

struct cfg_tables *cfg_tables_new(void)
{
	struct cfg_tables *tables = g_new0(struct cfg_tables, 1);

	tables->pools = g_ptr_array_new_with_free_func(free_pool);
	tables->routes = g_ptr_array_new_with_free_func(free_route);
	return tables;
}

void cfg_tables_free(struct cfg_tables *tables)
{
	if (!tables)
		return;
	g_free(tables->incarnation);
	g_free(tables->author);
	g_free(tables->unknown_keys);
	g_ptr_array_unref(tables->pools);
	g_ptr_array_unref(tables->routes);
	g_free(tables);
}

static gboolean is_job(const struct cfg_route *route)
{
	return !strcmp(route->method, "JOB");
}

/* Kinds of jobs are compared without a leading slash. */
static const char *job_kind(const char *path)
{
	return *path == '/' ? path + 1 : path;
}

const struct cfg_pool *cfg_pool_find(const struct cfg_tables *tables,
				     const char *name)
{
	guint i;

	for (i = 0; i < tables->pools->len; i++) {
		const struct cfg_pool *pool = tables->pools->pdata[i];

		if (!strcmp(pool->name, name))
			return pool;
	}
	return NULL;
}

static int examine_pool(const struct cfg_pool *pool, unsigned row,
			struct cfg_problem *problem)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(pool_bounds); i++) {
		const char *key = pool_bounds[i].key;
		const char *max_key = pool_bounds[i].max_key;
		json_t *low = cfg_field_json(
			cfg_field_find(&cfg_pool_schema, key), pool);
		json_t *high = cfg_field_json(
			cfg_field_find(&cfg_pool_schema, max_key), pool);
		json_int_t value = json_integer_value(low);
		json_int_t max = json_integer_value(high);

		json_decref(low);
		json_decref(high);
		if (max && value > max)
			return cfg_problem_set(
				problem, "pools", row, key,
				g_strdup_printf("%" JSON_INTEGER_FORMAT
						"; expected at most %s, "
						"%" JSON_INTEGER_FORMAT,
						value, max_key, max));
	}
	return 0;
}

static int examine_route(const struct cfg_tables *tables,
			 const struct cfg_route *route, unsigned row,
			 struct cfg_problem *problem)
{
	const struct cfg_pool *pool = cfg_pool_find(tables, route->pool);
	const char *key = "idempotency_keys";

	if (!pool)
		return cfg_problem_set(
			problem, "routes", row, "pool",
			g_strdup_printf("there is no pool \"%s\"; expected a "
					"name from the pools table",
					route->pool));
	if (!is_job(route) && *route->path_prefix != '/')
		return cfg_problem_set(
			problem, "routes", row, "path_prefix",
			g_strdup_printf("\"%s\"; expected a leading \"/\", "
					"unless the method is JOB",
					route->path_prefix));
	if (is_job(route) && strcmp(route->host, "*"))
		return cfg_problem_set(problem, "routes", row, "host",
				       g_strdup("expected * on a JOB route"));
	if (!route->idempotency_keys)
		return 0;
	if (is_job(route))
		return cfg_problem_set(
			problem, "routes", row, key,
			g_strdup("expected false on a JOB route; each job "
				 "carries its own key"));
	if (pool->class != CFG_CLASS_BATCH)
		return cfg_problem_set(
			problem, "routes", row, key,
			g_strdup_printf("expected false, since pool \"%s\" is "
					"not of class batch",
					pool->name));
	if (route->idempotent)
		return cfg_problem_set(
			problem, "routes", row, key,
			g_strdup("expected false on an idempotent route; "
				 "its requests may be repeated"));
	return 0;
}

/* Returns the earlier row with the same key, counted from 1, or 0 after adding
 * this row to seen. Takes ownership of key. */
static unsigned note_row(GHashTable *seen, char *key, unsigned row)
{
	unsigned first = GPOINTER_TO_UINT(g_hash_table_lookup(seen, key));

	if (first)
		g_free(key);
	else
		g_hash_table_insert(seen, key, GUINT_TO_POINTER(row));
	return first;
}

static char *route_name(const struct cfg_route *route)
{
	return g_strdup_printf("%s %s %s", route->method, route->host,
			       is_job(route) ? job_kind(route->path_prefix)
					     : route->path_prefix);
}

static int examine_pools(const struct cfg_tables *tables, GHashTable *seen,
			 struct cfg_problem *problem)
{
	guint i;

	for (i = 0; i < tables->pools->len; i++) {
		const struct cfg_pool *pool = tables->pools->pdata[i];
		unsigned first = note_row(seen, g_strdup(pool->name), i + 1);

		if (first)
			return cfg_problem_set(
				problem, "pools", i + 1, "name",
				g_strdup_printf("duplicate pool \"%s\", first "
						"in entry %u; expected each "
						"name once",
						pool->name, first));
		if (examine_pool(pool, i + 1, problem) < 0)
			return -1;
	}
	return 0;
}

static int examine_routes(const struct cfg_tables *tables, GHashTable *seen,
			  struct cfg_problem *problem)
{
	guint i;

	for (i = 0; i < tables->routes->len; i++) {
		const struct cfg_route *route = tables->routes->pdata[i];
		g_autofree char *name = route_name(route);
		unsigned first = note_row(seen, g_strdup(name), i + 1);

		if (first)
			return cfg_problem_set(
				problem, "routes", i + 1, "path_prefix",
				g_strdup_printf("duplicate route \"%s\", first "
						"in entry %u; expected each "
						"method, host and path prefix "
						"once",
						name, first));
		if (examine_route(tables, route, i + 1, problem) < 0)
			return -1;
	}
	return 0;
}

int cfg_tables_examine(const struct cfg_tables *tables,
		       struct cfg_problem *problem)
{
	g_autoptr(GHashTable) pools = NULL;
	g_autoptr(GHashTable) routes = NULL;

	pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (examine_pools(tables, pools, problem) < 0)
		return -1;
	return examine_routes(tables, routes, problem);
}

/* Checks that each value by itself is valid in a file. */
static int check_values(const struct cfg_schema *schema, const GPtrArray *rows,
			struct cfg_problem *problem)
{
	guint i;
	size_t j;

	for (i = 0; i < rows->len; i++) {
		for (j = 0; j < schema->n_fields; j++) {
			const struct cfg_field *field = &schema->fields[j];
			g_autofree char *text = cfg_field_text(field,
							       rows->pdata[i]);
			g_autofree char *expected = NULL;
			void *copy = g_malloc0(schema->size);
			int ret = cfg_field_set(field, copy, text);

			cfg_object_free(schema, copy);
			if (ret == 0)
				continue;
			expected = cfg_field_expected(schema, field);
			return cfg_problem_set(
				problem, schema->list, i + 1, field->key,
				g_strdup_printf("\"%s\"; expected %s", text,
						expected));
		}
	}
	return 0;
}

int cfg_tables_check(const struct cfg_tables *tables, GError **error)
{
	struct cfg_problem problem = { 0 };
	g_autofree char *text = NULL;

	if (check_values(&cfg_pool_schema, tables->pools, &problem) == 0 &&
	    check_values(&cfg_route_schema, tables->routes, &problem) == 0 &&
	    cfg_tables_examine(tables, &problem) == 0)
		return 0;
	text = cfg_problem_text(&problem);
	g_set_error_literal(error, CFG_ERROR, CFG_ERROR_INVALID, text);
	cfg_problem_clear(&problem);
	return -1;
}

static gint compare_pools(gconstpointer a, gconstpointer b)
{
	const struct cfg_pool *const *left = a;
	const struct cfg_pool *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

void cfg_tables_sort(struct cfg_tables *tables)
{
	g_ptr_array_sort(tables->pools, compare_pools);
}

struct cfg_tables *cfg_tables_load(const char *routes_file,
				   const char *pools_file, GError **error)
{
	struct cfg_tables *tables = cfg_tables_new();
	struct cfg_problem problem = { 0 };

	if (cfg_yaml_load(pools_file, &cfg_pool_schema, tables->pools, error) <
		    0 ||
	    cfg_yaml_load(routes_file, &cfg_route_schema, tables->routes,
			  error) < 0)
		goto failed;
	/* Before sorting, so that rows are counted as in the file. */
	if (cfg_tables_examine(tables, &problem) < 0) {
		cfg_yaml_error(strcmp(problem.list, "pools") ? routes_file
							     : pools_file,
			       &problem, error);
		cfg_problem_clear(&problem);
		goto failed;
	}
	cfg_tables_sort(tables);
	return tables;
failed:
	cfg_tables_free(tables);
	return NULL;
}

static gboolean prefix_matches(const char *prefix, const char *path)
{
	size_t len = strlen(prefix);

	if (strncmp(prefix, path, len))
		return FALSE;
	return len == 0 || prefix[len - 1] == '/' || path[len] == '\0' ||
	       path[len] == '/' || path[len] == '?' || path[len] == '#';
}

/* Compares without the port that a Host header may carry. */
static gboolean host_matches(const char *pattern, const char *host)
{
	size_t len = strlen(pattern);

	if (!strcmp(pattern, "*"))
		return TRUE;
	return host && !g_ascii_strncasecmp(pattern, host, len) &&
	       (host[len] == '\0' || host[len] == ':');
}

/*
 * Negative if the route does not match. The highest value wins: the prefix
 * counts most, then the host, then the method.
 */
static gint64 route_rank(const struct cfg_route *route, const char *method,
			 const char *host, const char *path)
{
	const char *prefix = route->path_prefix;
	gboolean job = !strcmp(method, "JOB");

	if (job != is_job(route) ||
	    (strcmp(route->method, method) && strcmp(route->method, "*")))
		return -1;
	if (job) {
		prefix = job_kind(prefix);
		path = job_kind(path);
	}
	if (!prefix_matches(prefix, path) || !host_matches(route->host, host))
		return -1;
	return (gint64)strlen(prefix) * 4 + (strcmp(route->host, "*") ? 2 : 0) +
	       (strcmp(route->method, "*") ? 1 : 0);
}

const struct cfg_route *cfg_route_match(const struct cfg_tables *tables,
					const char *method, const char *host,
					const char *path)
{
	const struct cfg_route *best = NULL;
	gint64 best_rank = -1;
	guint i;

	for (i = 0; i < tables->routes->len; i++) {
		const struct cfg_route *route = tables->routes->pdata[i];
		gint64 rank = route_rank(route, method, host, path);

		if (rank > best_rank) {
			best = route;
			best_rank = rank;
		}
	}
	return best;
}

enum cfg_adopt cfg_tables_compare(const struct cfg_tables *held,
				  const struct cfg_tables *received)
{
	if (!held)
		return CFG_ADOPT_NEWER;
	if (g_strcmp0(held->incarnation, received->incarnation))
		return CFG_ADOPT_CONFLICT;
	if (received->generation > held->generation)
		return CFG_ADOPT_NEWER;
	if (received->generation < held->generation)
		return CFG_ADOPT_OLDER;
	return held->digest == received->digest ? CFG_ADOPT_SAME
						: CFG_ADOPT_CONFLICT;
}
