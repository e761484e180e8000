#include "fields.h"

#include <cyaml/cyaml.h>
#include <string.h>
#include <yaml.h>

/*
 * libcyaml checks the structure: keys, rows, lists and scalars. Scalars are
 * read as strings and converted here, because libcyaml 1.3 takes any word as
 * a boolean and wraps negative numbers. The line of a problem found after
 * loading is looked up in libyaml's document tree.
 */

#define MAX_FILE_BYTES (4 * 1024 * 1024)
#define MAX_LIST_ITEMS 100000
#define MAX_FIELDS 20

/* Values as libcyaml reads them; the fields are in the order of the schema. */
struct raw_value {
	union {
		char *text;
		char **items;
	};
	unsigned count;
};

struct raw_row {
	struct raw_value values[MAX_FIELDS];
};

struct raw_file {
	struct raw_row *rows;
	unsigned rows_count;
};

struct raw_schema {
	cyaml_schema_field_t fields[MAX_FIELDS + 1];
	cyaml_schema_value_t row;
	cyaml_schema_field_t list[2];
	cyaml_schema_value_t file;
};

/* Error message of libcyaml, and the key and row of its backtrace. */
struct trace {
	const struct cfg_schema *schema;
	char *message;
	char *key;
	unsigned row;
};

static const cyaml_schema_value_t text_schema = { CYAML_VALUE_STRING(
	CYAML_FLAG_POINTER, char *, 0, CYAML_UNLIMITED) };

static void make_raw_schema(const struct cfg_schema *schema,
			    struct raw_schema *raw)
{
	size_t i;

	g_assert(schema->n_fields <= MAX_FIELDS);
	memset(raw, 0, sizeof(*raw));
	for (i = 0; i < schema->n_fields; i++) {
		const struct cfg_field *field = &schema->fields[i];
		cyaml_schema_field_t *to = &raw->fields[i];

		to->key = field->key;
		to->data_offset = offsetof(struct raw_row, values) +
				  i * sizeof(struct raw_value);
		to->value = text_schema;
		if (cfg_kind_is_list(field->kind)) {
			to->count_offset = to->data_offset +
					   offsetof(struct raw_value, count);
			to->count_size = sizeof(unsigned);
			to->value.type = CYAML_SEQUENCE;
			to->value.data_size = sizeof(char *);
			to->value.sequence.entry = &text_schema;
			to->value.sequence.min = 0;
			to->value.sequence.max = MAX_LIST_ITEMS;
		}
		if (field->fallback)
			to->value.flags |= CYAML_FLAG_OPTIONAL;
	}
	raw->row = (cyaml_schema_value_t){ CYAML_VALUE_MAPPING(
		CYAML_FLAG_DEFAULT, struct raw_row, raw->fields) };
	raw->list[0] = (cyaml_schema_field_t)CYAML_FIELD_SEQUENCE(
		schema->list, CYAML_FLAG_POINTER, struct raw_file, rows,
		&raw->row, 0, MAX_LIST_ITEMS);
	raw->file = (cyaml_schema_value_t){ CYAML_VALUE_MAPPING(
		CYAML_FLAG_POINTER, struct raw_file, raw->list) };
	if (!schema->list)
		raw->file = (cyaml_schema_value_t){ CYAML_VALUE_MAPPING(
			CYAML_FLAG_POINTER, struct raw_row, raw->fields) };
}

/* Collects the first message and the innermost key and row. */
static void collect_log(cyaml_log_t level, void *ctx, const char *fmt,
			va_list args)
{
	static const char field_text[] = "  in mapping field '";
	static const char entry_text[] = "  in sequence entry '";
	struct trace *trace = ctx;
	g_autofree char *line = g_strdup_vprintf(fmt, args);
	char *name;

	if (level != CYAML_LOG_ERROR)
		return;
	g_strchomp(line);
	if (g_str_has_prefix(line, field_text)) {
		name = line + strlen(field_text);
		*strchrnul(name, '\'') = '\0';
		if (!trace->key && g_strcmp0(name, trace->schema->list))
			trace->key = g_strdup(name);
	} else if (g_str_has_prefix(line, entry_text)) {
		if (trace->schema->list)
			trace->row = g_ascii_strtoull(line + strlen(entry_text),
						      NULL, 10);
	} else if (!trace->message) {
		trace->message = g_strdup(
			g_str_has_prefix(line, "Load: ") ? line + 6 : line);
	}
}

/* Turns the collected log into a problem; returns -1. */
static int trace_problem(const struct cfg_schema *schema, struct trace *trace,
			 struct cfg_problem *problem)
{
	static const struct {
		const char *prefix;
		const char *text;
	} with_key[] = {
		{ "Unexpected key: ", "unknown" },
		{ "Missing required mapping field: ", "missing" },
		{ "Mapping field already seen: ", "given twice" },
	};
	const char *message = trace->message ? trace->message : "empty file";
	g_autofree char *expected = NULL;
	const struct cfg_field *field;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(with_key); i++) {
		if (!g_str_has_prefix(message, with_key[i].prefix))
			continue;
		g_free(trace->key);
		trace->key = g_strdup(message + strlen(with_key[i].prefix));
		message = with_key[i].text;
	}
	if (schema->list && !trace->row && !trace->key && trace->message)
		trace->key = g_strdup(schema->list);
	field = trace->key ? cfg_field_find(schema, trace->key) : NULL;
	if (schema->list && !trace->row)
		expected = g_strdup_printf("the key %s with a list",
					   schema->list);
	else if (schema->list && !trace->key)
		expected = g_strdup("a mapping of keys to values");
	else
		expected = cfg_field_expected(schema, field);
	return cfg_problem_set(
		problem, schema->list, trace->row, trace->key,
		g_strdup_printf("%s; expected %s", message, expected));
}

static int set_field(const struct cfg_schema *schema,
		     const struct cfg_field *field,
		     const struct raw_value *value, void *object, unsigned row,
		     struct cfg_problem *problem)
{
	const char *text = value->text ? value->text : field->fallback;
	g_autofree char *expected = cfg_field_expected(schema, field);
	g_autoptr(GHashTable) seen = NULL;
	unsigned i;

	if (!cfg_kind_is_list(field->kind)) {
		if (cfg_field_set(field, object, text) == 0)
			return 0;
		return cfg_problem_set(
			problem, schema->list, row, field->key,
			g_strdup_printf("\"%s\"; expected %s", text, expected));
	}
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < value->count; i++) {
		if (cfg_field_append(field, object, value->items[i]) < 0)
			return cfg_problem_set(
				problem, schema->list, row, field->key,
				g_strdup_printf("\"%s\"; expected %s",
						value->items[i], expected));
		if (!g_hash_table_add(seen, value->items[i]))
			return cfg_problem_set(
				problem, schema->list, row, field->key,
				g_strdup_printf("\"%s\" twice; expected each "
						"item once",
						value->items[i]));
	}
	if (value->count >= field->min)
		return 0;
	return cfg_problem_set(problem, schema->list, row, field->key,
			       g_strdup_printf("%u items; expected %s",
					       value->count, expected));
}

static int convert_row(const struct cfg_schema *schema,
		       const struct raw_row *raw, unsigned row, GPtrArray *rows,
		       struct cfg_problem *problem)
{
	void *object = g_malloc0(schema->size);
	size_t i;

	for (i = 0; i < schema->n_fields; i++) {
		if (set_field(schema, &schema->fields[i], &raw->values[i],
			      object, row, problem) < 0) {
			cfg_object_free(schema, object);
			return -1;
		}
	}
	g_ptr_array_add(rows, object);
	return 0;
}

static int load_text(const struct cfg_schema *schema, const char *text,
		     size_t len, GPtrArray *rows, struct cfg_problem *problem)
{
	struct trace trace = { .schema = schema };
	struct raw_schema raw;
	cyaml_config_t config = { .log_fn = collect_log,
				  .log_ctx = &trace,
				  .mem_fn = cyaml_mem,
				  .log_level = CYAML_LOG_ERROR };
	cyaml_data_t *data = NULL;
	int ret = 0;

	make_raw_schema(schema, &raw);
	if (cyaml_load_data((const uint8_t *)text, len, &config, &raw.file,
			    &data, NULL) != CYAML_OK ||
	    !data) {
		ret = trace_problem(schema, &trace, problem);
	} else if (!schema->list) {
		ret = convert_row(schema, data, 0, rows, problem);
	} else {
		const struct raw_file *file = data;
		unsigned i;

		for (i = 0; ret == 0 && i < file->rows_count; i++)
			ret = convert_row(schema, &file->rows[i], i + 1, rows,
					  problem);
	}
	cyaml_free(&config, &raw.file, data, 0);
	g_free(trace.message);
	g_free(trace.key);
	return ret;
}

static yaml_node_pair_t *find_pair(yaml_document_t *document,
				   const yaml_node_t *node, const char *key)
{
	yaml_node_pair_t *pair;
	const yaml_node_t *name;

	if (!node || node->type != YAML_MAPPING_NODE)
		return NULL;
	/* Of two equal keys, the last one is refused. */
	for (pair = node->data.mapping.pairs.top;
	     pair-- > node->data.mapping.pairs.start;) {
		name = yaml_document_get_node(document, pair->key);
		if (name->type == YAML_SCALAR_NODE &&
		    !strcmp((const char *)name->data.scalar.value, key))
			return pair;
	}
	return NULL;
}

static unsigned long problem_line(yaml_document_t *document,
				  const struct cfg_problem *problem)
{
	yaml_node_t *node = yaml_document_get_root_node(document);
	yaml_node_pair_t *pair;
	size_t n;

	if (!node)
		return 1;
	if (problem->row) {
		pair = find_pair(document, node, problem->list);
		node = pair ? yaml_document_get_node(document, pair->value)
			    : NULL;
		if (!node || node->type != YAML_SEQUENCE_NODE)
			return 1;
		n = node->data.sequence.items.top -
		    node->data.sequence.items.start;
		if (problem->row <= n)
			node = yaml_document_get_node(
				document, node->data.sequence.items
						  .start[problem->row - 1]);
	}
	pair = problem->key ? find_pair(document, node, problem->key) : NULL;
	if (!pair && !problem->row && problem->list)
		pair = find_pair(document, node, problem->list);
	if (pair)
		node = yaml_document_get_node(document, pair->key);
	return node->start_mark.line + 1;
}

static char *read_file(const char *file, size_t *len, GError **error)
{
	GError *cause = NULL;
	char *text;

	if (!g_file_get_contents(file, &text, len, &cause)) {
		g_set_error(error, CFG_ERROR, CFG_ERROR_READ, "%s: %s", file,
			    cause->message);
		g_error_free(cause);
		return NULL;
	}
	if (*len <= MAX_FILE_BYTES)
		return text;
	g_set_error(error, CFG_ERROR, CFG_ERROR_READ,
		    "%s: %zu bytes; expected at most %d", file, *len,
		    MAX_FILE_BYTES);
	g_free(text);
	return NULL;
}

/* Parses exactly one document; returns -1 with an error otherwise. */
static int parse_document(const char *file, const char *text, size_t len,
			  yaml_document_t *document, GError **error)
{
	yaml_parser_t parser;
	yaml_document_t second;
	int ret = -1;

	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
	if (!yaml_parser_load(&parser, document)) {
		g_set_error(error, CFG_ERROR, CFG_ERROR_SYNTAX,
			    "%s:%zu: %s; expected YAML", file,
			    parser.problem_mark.line + 1,
			    parser.problem ? parser.problem : "not readable");
	} else if (!yaml_parser_load(&parser, &second)) {
		g_set_error(error, CFG_ERROR, CFG_ERROR_SYNTAX,
			    "%s:%zu: %s; expected YAML", file,
			    parser.problem_mark.line + 1,
			    parser.problem ? parser.problem : "not readable");
		yaml_document_delete(document);
	} else {
		ret = yaml_document_get_root_node(&second) ? -1 : 0;
		if (ret < 0) {
			g_set_error(error, CFG_ERROR, CFG_ERROR_SYNTAX,
				    "%s:%zu: a second document; expected one",
				    file, second.start_mark.line + 1);
			yaml_document_delete(document);
		}
		yaml_document_delete(&second);
	}
	yaml_parser_delete(&parser);
	return ret;
}

/* Returns -1 with an error if a scalar has a NUL, which would end its string
 * early. */
static int refuse_nul(const char *file, const yaml_document_t *document,
		      GError **error)
{
	const yaml_node_t *node;

	for (node = document->nodes.start; node < document->nodes.top; node++) {
		if (node->type != YAML_SCALAR_NODE ||
		    !memchr(node->data.scalar.value, '\0',
			    node->data.scalar.length))
			continue;
		g_set_error(error, CFG_ERROR, CFG_ERROR_SYNTAX,
			    "%s:%zu: a NUL character; expected text", file,
			    node->start_mark.line + 1);
		return -1;
	}
	return 0;
}

static void set_error(const char *file, yaml_document_t *document,
		      const struct cfg_problem *problem, GError **error)
{
	g_autofree char *text = cfg_problem_text(problem);

	g_set_error(error, CFG_ERROR, CFG_ERROR_INVALID, "%s:%lu: %s", file,
		    problem_line(document, problem), text);
}

int cfg_yaml_load(const char *file, const struct cfg_schema *schema,
		  GPtrArray *rows, GError **error)
{
	struct cfg_problem problem = { 0 };
	g_autofree char *text = NULL;
	yaml_document_t document;
	size_t len;
	int ret;

	text = read_file(file, &len, error);
	if (!text || parse_document(file, text, len, &document, error) < 0)
		return -1;
	ret = refuse_nul(file, &document, error);
	if (ret == 0) {
		ret = load_text(schema, text, len, rows, &problem);
		if (ret < 0)
			set_error(file, &document, &problem, error);
	}
	cfg_problem_clear(&problem);
	yaml_document_delete(&document);
	return ret;
}

void cfg_yaml_error(const char *file, const struct cfg_problem *problem,
		    GError **error)
{
	g_autofree char *text = NULL;
	yaml_document_t document;
	size_t len;

	text = read_file(file, &len, error);
	if (!text || parse_document(file, text, len, &document, error) < 0)
		return;
	set_error(file, &document, problem, error);
	yaml_document_delete(&document);
}
