#include "fields.h"

#include <string.h>
#include <xxhash.h>

/* The table document as JSON, and the differences of two documents. */

/* Maximum length of the author, and of the incarnation. */
#define MAX_AUTHOR_LENGTH 128

/* Limits for the log line about unknown keys. */
#define MAX_UNKNOWN_KEYS 16
#define MAX_UNKNOWN_KEY_LENGTH 64

/* Only the keys are used; read_document() reads the members. */
static const struct cfg_field document_fields[] = {
	{ "generation" }, { "parent_generation" }, { "incarnation" },
	{ "author" },	  { "applied_unix_ms" },   { "pools" },
	{ "routes" },
};

static const struct cfg_schema document_schema = {
	.fields = document_fields,
	.n_fields = G_N_ELEMENTS(document_fields),
};

static json_t *object_json(const struct cfg_schema *schema, const void *object)
{
	json_t *json = json_object();
	size_t i;

	for (i = 0; i < schema->n_fields; i++)
		json_object_set_new(json, schema->fields[i].key,
				    cfg_field_json(&schema->fields[i], object));
	return json;
}

static json_t *rows_json(const struct cfg_schema *schema, const GPtrArray *rows)
{
	json_t *json = json_array();
	guint i;

	for (i = 0; i < rows->len; i++)
		json_array_append_new(json,
				      object_json(schema, rows->pdata[i]));
	return json;
}

static char *dump(const json_t *json)
{
	/* Sorted keys and no spaces: equal documents give equal bytes. */
	return json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
}

GBytes *cfg_tables_encode(const struct cfg_tables *tables)
{
	json_t *json = json_object();
	GBytes *bytes;
	char *text;

	json_object_set_new(json, "generation",
			    json_integer((json_int_t)tables->generation));
	json_object_set_new(
		json, "parent_generation",
		json_integer((json_int_t)tables->parent_generation));
	json_object_set_new(
		json, "incarnation",
		json_string(tables->incarnation ? tables->incarnation : ""));
	json_object_set_new(json, "author",
			    json_string(tables->author ? tables->author : ""));
	json_object_set_new(json, "applied_unix_ms",
			    json_integer(tables->applied_unix_ms));
	json_object_set_new(json, "pools",
			    rows_json(&cfg_pool_schema, tables->pools));
	json_object_set_new(json, "routes",
			    rows_json(&cfg_route_schema, tables->routes));
	text = dump(json);
	g_assert(text);
	bytes = g_bytes_new(text, strlen(text));
	free(text);
	json_decref(json);
	return bytes;
}

static int set_member(const struct cfg_schema *schema,
		      const struct cfg_field *field, const json_t *value,
		      void *object, unsigned row, struct cfg_problem *problem)
{
	json_type type = field->kind < CFG_COUNT ? JSON_STRING : JSON_INTEGER;
	g_autofree char *expected = NULL;
	char *text = NULL;
	int ret = -1;

	if (field->kind == CFG_CLASS)
		type = JSON_STRING;
	if (json_is_boolean(value) ? field->kind == CFG_FLAG
				   : json_typeof(value) == type) {
		text = json_dumps(value, JSON_ENCODE_ANY);
		if (json_is_string(value)) {
			free(text);
			text = strdup(json_string_value(value));
		}
		ret = cfg_field_set(field, object, text);
		free(text);
	}
	if (ret == 0)
		return 0;
	expected = cfg_field_expected(schema, field);
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	cfg_problem_set(problem, schema->list, row, field->key,
			g_strdup_printf("%s; expected %s", text, expected));
	free(text);
	return -1;
}

/*
 * Processes of two versions run together during an upgrade: keys of a later
 * version are ignored, and a key that an earlier version did not write gets its
 * default.
 */
static int read_row(const struct cfg_schema *schema, const json_t *json,
		    void *object, unsigned row, struct cfg_problem *problem)
{
	size_t i;

	if (!json_is_object(json))
		return cfg_problem_set(problem, schema->list, row, NULL,
				       g_strdup("expected an object"));
	for (i = 0; i < schema->n_fields; i++) {
		const struct cfg_field *field = &schema->fields[i];
		const json_t *value = json_object_get(json, field->key);
		g_autofree char *expected = NULL;

		if (value &&
		    set_member(schema, field, value, object, row, problem) < 0)
			return -1;
		if (value ||
		    (field->fallback &&
		     cfg_field_set(field, object, field->fallback) == 0))
			continue;
		expected = cfg_field_expected(schema, field);
		return cfg_problem_set(
			problem, schema->list, row, field->key,
			g_strdup_printf("missing; expected %s", expected));
	}
	return 0;
}

static int read_rows(const struct cfg_schema *schema, const json_t *json,
		     GPtrArray *rows, struct cfg_problem *problem)
{
	size_t i;

	for (i = 0; i < json_array_size(json); i++) {
		void *object = g_malloc0(schema->size);

		if (read_row(schema, json_array_get(json, i), object, i + 1,
			     problem) < 0) {
			cfg_object_free(schema, object);
			return -1;
		}
		g_ptr_array_add(rows, object);
	}
	return 0;
}

static gboolean is_one_line(const char *text, size_t max)
{
	const char *p;

	for (p = text; *p; p++)
		if ((unsigned char)*p < ' ' || *p == 0x7f)
			return FALSE;
	return *text && (size_t)(p - text) <= max;
}

static int read_document(json_t *json, struct cfg_tables *tables,
			 struct cfg_problem *problem)
{
	json_int_t generation;
	json_int_t parent;
	json_int_t applied_unix_ms;
	const char *incarnation;
	const char *author;
	json_t *pools;
	json_t *routes;
	json_error_t cause;

	if (json_unpack_ex(json, &cause, 0,
			   "{s:I, s:I, s:s, s:s, s:I, s:o, s:o}", "generation",
			   &generation, "parent_generation", &parent,
			   "incarnation", &incarnation, "author", &author,
			   "applied_unix_ms", &applied_unix_ms, "pools", &pools,
			   "routes", &routes) < 0)
		return cfg_problem_set(problem, NULL, 0, NULL,
				       g_strdup(cause.text));
	if (generation < 1 || parent < 0 || parent >= generation)
		return cfg_problem_set(
			problem, NULL, 0, "generation",
			g_strdup("expected at least 1 and more than "
				 "parent_generation"));
	if (!is_one_line(incarnation, MAX_AUTHOR_LENGTH))
		return cfg_problem_set(problem, NULL, 0, "incarnation",
				       g_strdup("expected 1 to 128 characters "
						"on one line"));
	if (!is_one_line(author, MAX_AUTHOR_LENGTH))
		return cfg_problem_set(problem, NULL, 0, "author",
				       g_strdup("expected 1 to 128 characters "
						"on one line"));
	if (!json_is_array(pools) || !json_is_array(routes))
		return cfg_problem_set(problem, NULL, 0,
				       json_is_array(pools) ? "routes"
							    : "pools",
				       g_strdup("expected an array"));
	tables->generation = generation;
	tables->parent_generation = parent;
	tables->incarnation = g_strdup(incarnation);
	tables->author = g_strdup(author);
	tables->applied_unix_ms = applied_unix_ms;
	if (read_rows(&cfg_pool_schema, pools, tables->pools, problem) < 0 ||
	    read_rows(&cfg_route_schema, routes, tables->routes, problem) < 0)
		return -1;
	return cfg_tables_examine(tables, problem);
}

/* Adds the keys of the object that are not in the schema, each once. */
static void find_unknown(const struct cfg_schema *schema, json_t *object,
			 GPtrArray *found)
{
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		g_autofree char *text = g_strescape(key, NULL);
		g_autofree char *name = NULL;

		if (cfg_field_find(schema, key))
			continue;
		name = g_strdup_printf(
			"%s%s%.*s", schema->list ? schema->list : "",
			schema->list ? "." : "", MAX_UNKNOWN_KEY_LENGTH, text);
		if (found->len < MAX_UNKNOWN_KEYS &&
		    !g_ptr_array_find_with_equal_func(found, name, g_str_equal,
						      NULL))
			g_ptr_array_add(found, g_steal_pointer(&name));
	}
}

static char *unknown_keys(json_t *document)
{
	static const struct cfg_schema *const schemas[] = { &cfg_pool_schema,
							    &cfg_route_schema };
	g_autoptr(GPtrArray) found = g_ptr_array_new_with_free_func(g_free);
	size_t i, j;

	find_unknown(&document_schema, document, found);
	for (i = 0; i < G_N_ELEMENTS(schemas); i++) {
		json_t *row;

		json_array_foreach(json_object_get(document, schemas[i]->list),
				   j, row) find_unknown(schemas[i], row, found);
	}
	if (!found->len)
		return NULL;
	g_ptr_array_add(found, NULL);
	return g_strjoinv(", ", (char **)found->pdata);
}

struct cfg_tables *cfg_tables_decode(const void *data, size_t len,
				     GError **error)
{
	struct cfg_tables *tables = cfg_tables_new();
	struct cfg_problem problem = { 0 };
	g_autofree char *text = NULL;
	json_error_t cause;
	json_t *json;
	int ret = -1;

	json = json_loadb(data, len, JSON_REJECT_DUPLICATES, &cause);
	if (json)
		ret = read_document(json, tables, &problem);
	else
		cfg_problem_set(&problem, NULL, 0, NULL,
				g_strdup_printf("byte %d: %s", cause.position,
						cause.text));
	if (ret == 0)
		tables->unknown_keys = unknown_keys(json);
	json_decref(json);
	if (ret < 0) {
		text = cfg_problem_text(&problem);
		cfg_problem_clear(&problem);
		g_set_error(error, CFG_ERROR, CFG_ERROR_DOCUMENT,
			    "table document: %s", text);
		cfg_tables_free(tables);
		return NULL;
	}
	cfg_tables_sort(tables);
	/* Documents are forwarded as received, so the digest is the same in
	 * versions that do not know all keys. */
	tables->digest = XXH3_64bits(data, len);
	return tables;
}

/* Returns the name of a row, such as "pool checks". */
static char *row_name(const struct cfg_schema *schema, const void *row)
{
	const struct cfg_route *route = row;

	if (schema == &cfg_pool_schema)
		return g_strdup_printf("pool %s",
				       ((const struct cfg_pool *)row)->name);
	return g_strdup_printf("route %s %s %s", route->method, route->host,
			       route->path_prefix);
}

static GHashTable *index_rows(const struct cfg_schema *schema,
			      const GPtrArray *rows)
{
	GHashTable *index = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, NULL);
	guint i;

	for (i = 0; rows && i < rows->len; i++)
		g_hash_table_insert(index, row_name(schema, rows->pdata[i]),
				    rows->pdata[i]);
	return index;
}

static void append_row(GString *out, char sign, const char *name,
		       const struct cfg_schema *schema, const void *row)
{
	json_t *json = object_json(schema, row);
	char *text = dump(json);

	g_string_append_printf(out, "%c %s %s\n", sign, name, text);
	free(text);
	json_decref(json);
}

static void append_change(GString *out, const char *name,
			  const struct cfg_schema *schema, const void *before,
			  const void *after)
{
	const char *separator = ": ";
	size_t start = out->len;
	size_t i;

	g_string_append_printf(out, "~ %s", name);
	for (i = 0; i < schema->n_fields; i++) {
		const struct cfg_field *field = &schema->fields[i];
		g_autofree char *old = cfg_field_text(field, before);
		g_autofree char *new = cfg_field_text(field, after);

		if (!strcmp(old, new))
			continue;
		g_string_append_printf(out, "%s%s %s -> %s", separator,
				       field->key, old, new);
		separator = ", ";
	}
	g_string_append_c(out, '\n');
	if (*separator == ':')
		g_string_truncate(out, start);
}

static void append_rows(GString *out, const struct cfg_schema *schema,
			const GPtrArray *from, const GPtrArray *to)
{
	g_autoptr(GHashTable) before = index_rows(schema, from);
	g_autoptr(GHashTable) after = index_rows(schema, to);
	guint i;

	for (i = 0; from && i < from->len; i++) {
		g_autofree char *name = row_name(schema, from->pdata[i]);

		if (!g_hash_table_contains(after, name))
			append_row(out, '-', name, schema, from->pdata[i]);
	}
	for (i = 0; to && i < to->len; i++) {
		g_autofree char *name = row_name(schema, to->pdata[i]);
		const void *old = g_hash_table_lookup(before, name);

		if (old)
			append_change(out, name, schema, old, to->pdata[i]);
		else
			append_row(out, '+', name, schema, to->pdata[i]);
	}
}

char *cfg_tables_diff(const struct cfg_tables *from,
		      const struct cfg_tables *to)
{
	GString *out = g_string_new(NULL);

	append_rows(out, &cfg_pool_schema, from ? from->pools : NULL,
		    to ? to->pools : NULL);
	append_rows(out, &cfg_route_schema, from ? from->routes : NULL,
		    to ? to->routes : NULL);
	return g_string_free(out, FALSE);
}
