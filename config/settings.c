#include "fields.h"

#include <string.h>

/* A larger body and its headers would exceed the maximum frame, 2 MiB. */
#define MAX_BODY_BYTES 1966080
#define MAX_VM_CPU_MILLI 4096000
#define MAX_VM_MEMORY_BYTES (G_GINT64_CONSTANT(1) << 50)
#define MAX_VM_ACCELERATORS 1024
#define MAX_CONNECTIONS 65535
#define MAX_TIMEOUT_MS 3600000
#define MAX_GRACE_MS 60000

#define ENTRY(member) offsetof(struct cfg_entry, member)
#define AGENT(member) offsetof(struct cfg_agent, member)

static const struct cfg_field entry_fields[] = {
	{ "id", CFG_NAME, ENTRY(id) },
	{ "zone", CFG_NAME, ENTRY(zone) },
	{ "caller_address", CFG_ADDRESS, ENTRY(caller_address) },
	{ "agent_address", CFG_ADDRESS, ENTRY(agent_address) },
	{ "operator_address", CFG_ADDRESS, ENTRY(operator_address) },
	{ "peers", CFG_ADDRESS_LIST, ENTRY(peers), "[]", 0, 0,
	  ENTRY(peers_count) },
	{ "kv_endpoints", CFG_ADDRESS_LIST, ENTRY(kv_endpoints), NULL, 1, 0,
	  ENTRY(kv_endpoints_count) },
	{ "kv_timeout_ms", CFG_COUNT, ENTRY(kv_timeout_ms), "2000", 50, 60000 },
	{ "max_body_bytes", CFG_COUNT, ENTRY(max_body_bytes), "1048576", 1024,
	  MAX_BODY_BYTES },
	{ "caller_idle_timeout_ms", CFG_COUNT, ENTRY(caller_idle_timeout_ms),
	  "60000", 100, MAX_TIMEOUT_MS },
	{ "memory_limit_bytes", CFG_AMOUNT, ENTRY(memory_limit_bytes), "0", 0,
	  MAX_VM_MEMORY_BYTES },
	{ "drain_grace_ms", CFG_COUNT, ENTRY(drain_grace_ms), "1000", 0,
	  MAX_GRACE_MS },
	{ "drain_timeout_ms", CFG_COUNT, ENTRY(drain_timeout_ms), "30000", 100,
	  MAX_TIMEOUT_MS },
	{ "log_level", CFG_LOG_LEVEL, ENTRY(log_level), "info" },
};

static const struct cfg_field agent_fields[] = {
	{ "vm", CFG_NAME, AGENT(vm) },
	{ "zone", CFG_NAME, AGENT(zone) },
	{ "rack", CFG_OPTIONAL_NAME, AGENT(rack), "" },
	{ "operator_address", CFG_ADDRESS, AGENT(operator_address) },
	{ "entries", CFG_ADDRESS_LIST, AGENT(entries), NULL, 1, 0,
	  AGENT(entries_count) },
	{ "upstream_address", CFG_OPTIONAL_ADDRESS, AGENT(upstream_address),
	  "" },
	{ "worker_address", CFG_OPTIONAL_ADDRESS, AGENT(worker_address), "" },
	{ "pools", CFG_NAME_LIST, AGENT(pools), "[]", 0, 0,
	  AGENT(pools_count) },
	{ "slots", CFG_COUNT, AGENT(slots), "8", 1, MAX_CONNECTIONS },
	{ "connections", CFG_COUNT, AGENT(connections), "64", 1,
	  MAX_CONNECTIONS },
	{ "cpu_milli", CFG_AMOUNT, AGENT(cpu_milli), "0", 0, MAX_VM_CPU_MILLI },
	{ "memory_bytes", CFG_AMOUNT, AGENT(memory_bytes), "0", 0,
	  MAX_VM_MEMORY_BYTES },
	{ "accelerators", CFG_AMOUNT, AGENT(accelerators), "0", 0,
	  MAX_VM_ACCELERATORS },
	{ "max_body_bytes", CFG_COUNT, AGENT(max_body_bytes), "1048576", 1024,
	  MAX_BODY_BYTES },
	{ "drain_timeout_ms", CFG_COUNT, AGENT(drain_timeout_ms), "30000", 100,
	  MAX_TIMEOUT_MS },
	{ "log_level", CFG_LOG_LEVEL, AGENT(log_level), "info" },
};

const struct cfg_schema cfg_entry_schema = { NULL, sizeof(struct cfg_entry),
					     entry_fields,
					     G_N_ELEMENTS(entry_fields) };

const struct cfg_schema cfg_agent_schema = { NULL, sizeof(struct cfg_agent),
					     agent_fields,
					     G_N_ELEMENTS(agent_fields) };

static void *load_settings(const char *file, const struct cfg_schema *schema,
			   GError **error)
{
	g_autoptr(GPtrArray) rows = g_ptr_array_new();

	if (cfg_yaml_load(file, schema, rows, error) < 0)
		return NULL;
	return g_ptr_array_index(rows, 0);
}

/* Sets the error if result is negative; returns result. */
static int report(const char *file, struct cfg_problem *problem, int result,
		  GError **error)
{
	if (result < 0)
		cfg_yaml_error(file, problem, error);
	cfg_problem_clear(problem);
	return result;
}

static int examine_entry(const struct cfg_entry *settings,
			 struct cfg_problem *problem)
{
	const struct {
		const char *key;
		const char *address;
	} listeners[] = { { "caller_address", settings->caller_address },
			  { "agent_address", settings->agent_address },
			  { "operator_address", settings->operator_address } };
	size_t i, j;

	for (i = 1; i < G_N_ELEMENTS(listeners); i++)
		for (j = 0; j < i; j++)
			if (!strcmp(listeners[i].address, listeners[j].address))
				return cfg_problem_set(
					problem, NULL, 0, listeners[i].key,
					g_strdup_printf("\"%s\" is also %s; "
							"expected another "
							"address",
							listeners[i].address,
							listeners[j].key));
	return 0;
}

struct cfg_entry *cfg_entry_load(const char *file, GError **error)
{
	struct cfg_entry *settings = load_settings(file, &cfg_entry_schema,
						   error);
	struct cfg_problem problem = { 0 };

	if (settings && report(file, &problem,
			       examine_entry(settings, &problem), error) < 0) {
		cfg_entry_free(settings);
		return NULL;
	}
	return settings;
}

void cfg_entry_free(struct cfg_entry *settings)
{
	cfg_object_free(&cfg_entry_schema, settings);
}

static int examine_agent(const struct cfg_agent *settings,
			 struct cfg_problem *problem)
{
	if (!*settings->upstream_address && !*settings->worker_address)
		return cfg_problem_set(problem, NULL, 0, "upstream_address",
				       g_strdup("empty; expected an address "
						"here or in worker_address"));
	if (*settings->upstream_address && !settings->pools_count)
		return cfg_problem_set(problem, NULL, 0, "pools",
				       g_strdup("empty; expected the pools of "
						"the upstream"));
	if (*settings->worker_address && !settings->cpu_milli)
		return cfg_problem_set(problem, NULL, 0, "cpu_milli",
				       g_strdup("0; expected the worker's "
						"processors"));
	if (*settings->worker_address && !settings->memory_bytes)
		return cfg_problem_set(problem, NULL, 0, "memory_bytes",
				       g_strdup("0; expected the worker's "
						"memory"));
	if (!settings->pools_count)
		return cfg_problem_set(problem, NULL, 0, "pools",
				       g_strdup("empty; expected the pools of "
						"the worker's jobs"));
	return 0;
}

struct cfg_agent *cfg_agent_load(const char *file, GError **error)
{
	struct cfg_agent *settings = load_settings(file, &cfg_agent_schema,
						   error);
	struct cfg_problem problem = { 0 };

	if (settings && report(file, &problem,
			       examine_agent(settings, &problem), error) < 0) {
		cfg_agent_free(settings);
		return NULL;
	}
	return settings;
}

void cfg_agent_free(struct cfg_agent *settings)
{
	cfg_object_free(&cfg_agent_schema, settings);
}
