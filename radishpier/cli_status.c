#include "cli.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * The command status: fetches /status of each entry that is registered in the
 * key-value store. Fields that an entry does not report are shown as "-".
 */

#define MAX_COLUMNS 16

/* A text table: the JSON keys of its columns, and rows of cells. */
struct table {
	const char *const *keys;
	unsigned columns;
	GPtrArray *rows;
};

static struct table table_new(const char *const *keys)
{
	struct table table = { .keys = keys };

	table.columns = g_strv_length((char **)keys);
	g_assert(table.columns <= MAX_COLUMNS);
	table.rows = g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);
	g_ptr_array_add(table.rows, g_strdupv((char **)keys));
	return table;
}

/* Returns the text of a cell; the caller frees it. */
static char *cell_text(const json_t *value)
{
	char *text;
	char *copy;

	if (json_is_string(value))
		return g_strdup(json_string_value(value));
	if (!value || json_is_null(value))
		return g_strdup("-");
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	return copy;
}

/* Adds a row of the object's members; name replaces the first, if not NULL. */
static void table_add(struct table *table, const json_t *object,
		      const char *name)
{
	char **row = g_new0(char *, table->columns + 1);
	unsigned i;

	for (i = 0; i < table->columns; i++)
		row[i] = i == 0 && name ? g_strdup(name)
					: cell_text(json_object_get(
						  object, table->keys[i]));
	g_ptr_array_add(table->rows, row);
}

/* Prints the table unless it has no rows, and frees it. */
static void table_end(struct table *table, const char *title)
{
	size_t widths[MAX_COLUMNS] = { 0 };
	guint i;
	unsigned j;

	for (i = 0; i < table->rows->len; i++)
		for (j = 0; j < table->columns; j++) {
			char **row = table->rows->pdata[i];

			widths[j] = MAX(widths[j], strlen(row[j]));
		}
	if (table->rows->len > 1)
		printf("%s\n", title);
	for (i = 0; i < table->rows->len && table->rows->len > 1; i++) {
		char **row = table->rows->pdata[i];

		/* The last column has text of any length and no padding. */
		for (j = 0; j + 1 < table->columns; j++)
			printf("  %-*s", (int)widths[j], row[j]);
		printf("  %s\n", row[j]);
	}
	g_ptr_array_unref(table->rows);
}

static void print_entries(const GPtrArray *sources)
{
	static const char *const keys[] = {
		"id",	 "zone",       "generation", "incarnation", "agents",
		"peers", "lease_held", "draining",   "problem",	    NULL
	};
	struct table table = table_new(keys);
	guint i;

	for (i = 0; i < sources->len; i++) {
		const struct cli_source *source = sources->pdata[i];
		json_t *row = source->status ? json_copy(source->status)
					     : json_copy(source->entry);

		json_object_set_new(row, "problem",
				    source->problem
					    ? json_string(source->problem)
					    : json_null());
		table_add(&table, row, cli_string_or_dash(source->entry, "id"));
		json_decref(row);
	}
	table_end(&table, "ENTRIES");
}

/*
 * Prints the items of one list of all entries; the first column is the entry.
 * The list is a member of the status or of its object "entry".
 */
static void print_lists(const GPtrArray *sources, const char *list,
			const char *const *keys, const char *title)
{
	struct table table = table_new(keys);
	guint i;
	size_t j;

	for (i = 0; i < sources->len; i++) {
		const struct cli_source *source = sources->pdata[i];
		const json_t *entry = json_object_get(source->status, "entry");
		const json_t *items = json_object_get(source->status, list);

		if (!items)
			items = json_object_get(entry, list);

		for (j = 0; j < json_array_size(items); j++)
			table_add(&table, json_array_get(items, j),
				  cli_string_or_dash(source->entry, "id"));
	}
	table_end(&table, title);
}

static void add_refused(struct table *table, const char *entry,
			const char *pool, json_t *refused)
{
	const char *reason;
	json_t *count;

	json_object_foreach(refused, reason, count)
	{
		json_t *row = json_pack("{s:s, s:O, s:s}", "pool", pool,
					"requests", count, "reason", reason);

		table_add(table, row, entry);
		json_decref(row);
	}
}

/* Prints the refused requests of each entry by pool and reason. */
static void print_refused(const GPtrArray *sources)
{
	static const char *const keys[] = { "entry", "pool", "requests",
					    "reason", NULL };
	struct table table = table_new(keys);
	guint i;
	size_t j;

	for (i = 0; i < sources->len; i++) {
		const struct cli_source *source = sources->pdata[i];
		const char *id = cli_string_or_dash(source->entry, "id");
		const json_t *entry = json_object_get(source->status, "entry");
		const json_t *pools = json_object_get(entry, "pools");

		add_refused(&table, id, "-", json_object_get(entry, "refused"));
		for (j = 0; j < json_array_size(pools); j++) {
			const json_t *pool = json_array_get(pools, j);

			add_refused(&table, id,
				    cli_string_or_dash(pool, "name"),
				    json_object_get(pool, "refused"));
		}
	}
	table_end(&table, "REFUSED REQUESTS");
}

/* Prints the number of waiting jobs and one example by pool and reason. */
static void print_jobs(const GPtrArray *sources)
{
	static const char *const keys[] = { "pool", "jobs", "example", "why",
					    NULL };
	struct table table = table_new(keys);
	json_t *groups = json_object();
	json_t *group;
	const char *name;
	guint i;
	size_t j;

	for (i = 0; i < sources->len; i++) {
		const struct cli_source *source = sources->pdata[i];
		const json_t *jobs = json_object_get(source->status, "jobs");

		for (j = 0; j < json_array_size(jobs); j++) {
			const json_t *job = json_array_get(jobs, j);
			const char *pool = cli_string_or_dash(job, "pool");
			const char *why = cli_string_or_dash(job, "why");
			g_autofree char *key = g_strdup_printf("%s %s", pool,
							       why);

			group = json_object_get(groups, key);
			if (!group) {
				group = json_pack("{s:s, s:i, s:s, s:s}",
						  "pool", pool, "jobs", 0,
						  "example",
						  cli_string_or_dash(job, "id"),
						  "why", why);
				json_object_set_new(groups, key, group);
			}
			json_integer_set(json_object_get(group, "jobs"),
					 json_integer_value(json_object_get(
						 group, "jobs")) +
						 1);
		}
	}
	json_object_foreach(groups, name, group) table_add(&table, group, NULL);
	json_decref(groups);
	table_end(&table, "JOBS THAT WAIT");
}

/*
 * Prints what each entry reports of the members and their promises (see
 * jobs/promise.c), and when it may fence VMs.
 */
static void print_members(const GPtrArray *sources)
{
	static const char *const keys[] = {
		"entry", "members", "full", "promises", "may_fence_in_ms", NULL,
	};
	struct table table = table_new(keys);
	guint i;

	for (i = 0; i < sources->len; i++) {
		const struct cli_source *source = sources->pdata[i];
		const json_t *row = json_object_get(source->status, "promises");

		if (row)
			table_add(&table, row,
				  cli_string_or_dash(source->entry, "id"));
	}
	table_end(&table, "MEMBERS");
}

static json_int_t number(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

/* Returns the tasks of the entry's jobs on a VM that gets no new ones. */
static json_int_t tasks_on(const struct cli_source *source, const char *vm)
{
	const json_t *list = json_object_get(source->status,
					     "vms_without_new_tasks");
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const json_t *item = json_array_get(list, i);

		if (!strcmp(cli_string_or_dash(item, "vm"), vm))
			return number(item, "tasks");
	}
	return 0;
}

/* Adds what the entry knows to run in the zone to the row. */
static void add_running(const struct cli_source *source, const char *zone,
			json_t *row)
{
	const json_t *list = json_object_get(
		json_object_get(source->status, "entry"), "upstreams");
	json_int_t vms = 0;
	json_int_t requests = 0;
	json_int_t tasks = 0;
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const json_t *item = json_array_get(list, i);

		if (strcmp(cli_string_or_dash(item, "zone"), zone) != 0)
			continue;
		vms++;
		requests += number(item, "in_flight") + number(item, "others");
		tasks += tasks_on(source, cli_string_or_dash(item, "vm"));
	}
	json_object_set_new(row, "vms", json_integer(vms));
	json_object_set_new(row, "requests", json_integer(requests));
	json_object_set_new(row, "tasks", json_integer(tasks));
}

static void add_evacuated_zone(struct table *table,
			       const struct cli_source *source,
			       const json_t *evacuations, const json_t *zone)
{
	json_t *row = json_deep_copy(zone);
	g_autofree char *since = cli_time_text(number(zone, "since_unix_ms"));

	json_object_set_new(row, "since", json_string(since));
	json_object_set_new(row, "generation",
			    json_integer(number(evacuations, "generation")));
	json_object_set_new(row, "age_ms",
			    json_integer(number(evacuations, "age_ms")));
	add_running(source, cli_string_or_dash(zone, "zone"), row);
	table_add(table, row, cli_string_or_dash(source->entry, "id"));
	json_decref(row);
}

/*
 * Prints the evacuated zones as each entry knows them, and what runs there:
 * requests of all entries, and tasks of the entry's own jobs. An entry that
 * does not know them, or for which all evacuations have ended, has one row
 * without a zone.
 */
static void print_evacuations(const GPtrArray *sources)
{
	static const char *const keys[] = { "entry",  "generation", "age_ms",
					    "zone",   "vms",	    "requests",
					    "tasks",  "author",	    "since",
					    "reason", NULL };
	struct table table = table_new(keys);
	guint i;
	size_t j;

	for (i = 0; i < sources->len; i++) {
		const struct cli_source *source = sources->pdata[i];
		const json_t *evacuations = json_object_get(
			json_object_get(source->status, "entry"),
			"evacuations");
		const json_t *zones = json_object_get(evacuations, "zones");
		gboolean unread =
			json_is_false(json_object_get(evacuations, "read"));

		for (j = 0; j < json_array_size(zones); j++)
			add_evacuated_zone(&table, source, evacuations,
					   json_array_get(zones, j));
		if (!j && (unread || number(evacuations, "generation"))) {
			json_t *row = json_pack(
				"{s:I, s:I, s:s}", "generation",
				number(evacuations, "generation"), "age_ms",
				number(evacuations, "age_ms"), "reason",
				unread ? "the evacuated zones were not read yet"
				       : "no zone is evacuated");

			table_add(&table, row,
				  cli_string_or_dash(source->entry, "id"));
			json_decref(row);
		}
	}
	table_end(&table, "EVACUATED ZONES");
}

static void print_text(const GPtrArray *sources)
{
	static const char *const pools[] = {
		"entry",      "name",	    "priority",	 "in_flight",
		"limit",      "guaranteed", "queued",	 "queue_length",
		"latency_ms", "upstreams",  "available", "waits_because",
		NULL
	};
	static const char *const upstreams[] = {
		"entry",     "vm",     "zone",	   "slots",
		"in_flight", "others", "draining", "tables_generation",
		NULL
	};

	static const char *const vms[] = { "entry",  "vm",  "tasks",
					   "for_ms", "why", NULL };

	print_entries(sources);
	print_members(sources);
	print_evacuations(sources);
	print_lists(sources, "pools", pools, "POOLS");
	print_lists(sources, "upstreams", upstreams, "UPSTREAMS");
	print_refused(sources);
	print_lists(sources, "vms_without_new_tasks", vms,
		    "VMS WITHOUT NEW TASKS");
	print_jobs(sources);
}

/* Prints an array of the entries' status, or registration if there is none. */
static void print_json(const GPtrArray *sources)
{
	json_t *all = json_array();
	char *text;
	guint i;

	for (i = 0; i < sources->len; i++) {
		const struct cli_source *source = sources->pdata[i];
		json_t *item = json_copy(source->status ? source->status
							: source->entry);

		if (source->problem)
			json_object_set_new(item, "problem",
					    json_string(source->problem));
		json_array_append_new(all, item);
	}
	text = json_dumps(all, JSON_COMPACT);
	puts(text);
	free(text);
	json_decref(all);
}

enum exit_code cli_status(struct cli_kv *cli, gboolean json)
{
	g_autoptr(GPtrArray) sources = NULL;
	g_autoptr(GError) error = NULL;
	struct cli_ask all = { 0 };
	enum exit_code code = EXIT_CODE_OK;
	guint i;

	sources = cli_ask_entries(cli, &all, &error);
	if (!sources) {
		fprintf(stderr, "radishpier: %s; entries cannot be found\n",
			error->message);
		return EXIT_CODE_UNAVAILABLE;
	}
	if (json)
		print_json(sources);
	else
		print_text(sources);
	if (!sources->len) {
		fprintf(stderr, "radishpier: no entry is registered\n");
		return EXIT_CODE_FAILED;
	}
	for (i = 0; i < sources->len; i++)
		if (((struct cli_source *)sources->pdata[i])->problem)
			code = EXIT_CODE_UNAVAILABLE;
	return code;
}
