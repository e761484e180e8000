#include "fields.h"

#include <event2/util.h>
#include <string.h>
#include <sys/socket.h>

#define MAX_NAME_LENGTH 64
#define MAX_PATH_LENGTH 1024
/* RFC 1035: a name has at most 255 octets on the wire, 253 as text. */
#define MAX_HOST_LENGTH 253

static const char *const class_names[] = {
	[CFG_CLASS_LATENCY_CRITICAL] = "latency-critical",
	[CFG_CLASS_BATCH] = "batch",
};

static const char *const log_levels[] = { "error", "warning", "info", "debug" };

static const char *const kind_texts[] = {
	[CFG_NAME] = "1 to 64 letters, digits, '.', '_' or '-'",
	[CFG_OPTIONAL_NAME] = "at most 64 letters, digits, '.', '_' or '-'",
	[CFG_METHOD] = "an HTTP method in capitals, JOB, or *",
	[CFG_HOST] = "a host name without port, or *",
	[CFG_PATH] = "a path prefix such as /photos, or a job's kind",
	[CFG_ADDRESS] = "IP:PORT",
	[CFG_OPTIONAL_ADDRESS] = "IP:PORT, or an empty string",
	[CFG_LOG_LEVEL] = "error, warning, info or debug",
	[CFG_FLAG] = "true or false",
	[CFG_CLASS] = "latency-critical or batch",
	[CFG_ADDRESS_LIST] = "a list of IP:PORT",
	[CFG_NAME_LIST] = "a list of names",
};

gboolean cfg_kind_is_list(enum cfg_kind kind)
{
	return kind == CFG_ADDRESS_LIST || kind == CFG_NAME_LIST;
}

const struct cfg_field *cfg_field_find(const struct cfg_schema *schema,
				       const char *key)
{
	size_t i;

	for (i = 0; i < schema->n_fields; i++)
		if (!strcmp(schema->fields[i].key, key))
			return &schema->fields[i];
	return NULL;
}

char *cfg_field_expected(const struct cfg_schema *schema,
			 const struct cfg_field *field)
{
	GString *keys;
	size_t i;

	if (field && (field->kind == CFG_COUNT || field->kind == CFG_AMOUNT))
		return g_strdup_printf("a whole number from %" G_GINT64_FORMAT
				       " to %" G_GINT64_FORMAT,
				       field->min, field->max);
	if (field && cfg_kind_is_list(field->kind) && field->min > 0)
		return g_strdup_printf("%s, at least %" G_GINT64_FORMAT,
				       kind_texts[field->kind], field->min);
	if (field)
		return g_strdup(kind_texts[field->kind]);
	keys = g_string_new("one of the keys ");
	for (i = 0; i < schema->n_fields; i++)
		g_string_append_printf(keys, "%s%s", i ? ", " : "",
				       schema->fields[i].key);
	return g_string_free(keys, FALSE);
}

static gboolean consists_of(const char *text, const char *others, size_t max)
{
	const char *p;

	for (p = text; *p; p++)
		if (!g_ascii_isalnum(*p) && !strchr(others, *p))
			return FALSE;
	return *text && (size_t)(p - text) <= max;
}

static gboolean is_path(const char *text)
{
	const char *p;

	for (p = text; *p; p++)
		if (*p <= ' ' || *p > '~' || *p == '?' || *p == '#')
			return FALSE;
	return *text && p - text <= MAX_PATH_LENGTH;
}

static gboolean is_method(const char *text)
{
	const char *p;

	if (!strcmp(text, "*"))
		return TRUE;
	for (p = text; *p; p++)
		if (!g_ascii_isupper(*p))
			return FALSE;
	return *text && p - text <= MAX_NAME_LENGTH;
}

static gboolean is_address(const char *text)
{
	struct sockaddr_storage address;
	int len = sizeof(address);
	const char *port = strrchr(text, ':');
	guint64 number;

	/* evutil also accepts addresses without a port, and takes an IPv6
	 * address without brackets as a whole. */
	if (!port || (strchr(text, ':') != port && *text != '['))
		return FALSE;
	return g_ascii_string_to_unsigned(port + 1, 10, 1, G_MAXUINT16, &number,
					  NULL) &&
	       !evutil_parse_sockaddr_port(text, (struct sockaddr *)&address,
					   &len);
}

static gboolean is_valid_text(enum cfg_kind kind, const char *text)
{
	switch (kind) {
	case CFG_NAME:
	case CFG_NAME_LIST:
		return consists_of(text, "._-", MAX_NAME_LENGTH);
	case CFG_OPTIONAL_NAME:
		return !*text || consists_of(text, "._-", MAX_NAME_LENGTH);
	case CFG_METHOD:
		return is_method(text);
	case CFG_HOST:
		return !strcmp(text, "*") ||
		       consists_of(text, ".-", MAX_HOST_LENGTH);
	case CFG_PATH:
		return is_path(text);
	case CFG_ADDRESS:
	case CFG_ADDRESS_LIST:
		return is_address(text);
	case CFG_OPTIONAL_ADDRESS:
		return !*text || is_address(text);
	case CFG_LOG_LEVEL:
		return g_strv_contains(
			(const char *const[]){ log_levels[0], log_levels[1],
					       log_levels[2], log_levels[3],
					       NULL },
			text);
	default:
		return FALSE;
	}
}

static int set_class(enum cfg_class *class, const char *text)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(class_names); i++) {
		if (!strcmp(text, class_names[i])) {
			*class = i;
			return 0;
		}
	}
	return -1;
}

int cfg_field_set(const struct cfg_field *field, void *object, const char *text)
{
	void *member = (char *)object + field->offset;
	gint64 number;

	switch (field->kind) {
	case CFG_COUNT:
	case CFG_AMOUNT:
		/* A leading zero is refused: YAML 1.1 reads it as octal. */
		if ((*text == '0' && text[1]) ||
		    !g_ascii_string_to_signed(text, 10, field->min, field->max,
					      &number, NULL))
			return -1;
		if (field->kind == CFG_COUNT)
			*(unsigned *)member = number;
		else
			*(gint64 *)member = number;
		return 0;
	case CFG_FLAG:
		if (strcmp(text, "true") && strcmp(text, "false"))
			return -1;
		*(gboolean *)member = *text == 't';
		return 0;
	case CFG_CLASS:
		return set_class(member, text);
	default:
		if (!is_valid_text(field->kind, text))
			return -1;
		g_free(*(char **)member);
		/* Host names are case-insensitive. */
		*(char **)member = field->kind == CFG_HOST
					   ? g_ascii_strdown(text, -1)
					   : g_strdup(text);
		return 0;
	}
}

int cfg_field_append(const struct cfg_field *field, void *object,
		     const char *text)
{
	char ***items = (char ***)((char *)object + field->offset);
	unsigned *count = (unsigned *)((char *)object + field->count_offset);

	if (!is_valid_text(field->kind, text))
		return -1;
	*items = g_renew(char *, *items, *count + 2);
	(*items)[(*count)++] = g_strdup(text);
	(*items)[*count] = NULL;
	return 0;
}

json_t *cfg_field_json(const struct cfg_field *field, const void *object)
{
	const void *member = (const char *)object + field->offset;

	switch (field->kind) {
	case CFG_COUNT:
		return json_integer(*(const unsigned *)member);
	case CFG_AMOUNT:
		return json_integer(*(const gint64 *)member);
	case CFG_FLAG:
		return json_boolean(*(const gboolean *)member);
	case CFG_CLASS:
		return json_string(
			class_names[*(const enum cfg_class *)member]);
	default:
		/* A row that was not loaded from a file may lack a string. */
		return json_string(
			*(char *const *)member ? *(char *const *)member : "");
	}
}

char *cfg_field_text(const struct cfg_field *field, const void *object)
{
	json_t *value = cfg_field_json(field, object);
	char *text;

	if (json_is_string(value))
		text = g_strdup(json_string_value(value));
	else if (json_is_integer(value))
		text = g_strdup_printf("%" JSON_INTEGER_FORMAT,
				       json_integer_value(value));
	else
		text = g_strdup(json_is_true(value) ? "true" : "false");
	json_decref(value);
	return text;
}

void cfg_object_free(const struct cfg_schema *schema, void *object)
{
	size_t i;

	if (!object)
		return;
	for (i = 0; i < schema->n_fields; i++) {
		const struct cfg_field *field = &schema->fields[i];
		void *member = (char *)object + field->offset;

		if (cfg_kind_is_list(field->kind))
			g_strfreev(*(char ***)member);
		else if (field->kind < CFG_COUNT)
			g_free(*(char **)member);
	}
	g_free(object);
}

void cfg_problem_clear(struct cfg_problem *problem)
{
	g_free(problem->key);
	g_free(problem->text);
	memset(problem, 0, sizeof(*problem));
}

int cfg_problem_set(struct cfg_problem *problem, const char *list, unsigned row,
		    const char *key, char *text)
{
	problem->list = list;
	problem->row = row;
	problem->key = g_strdup(key);
	problem->text = text;
	return -1;
}

char *cfg_problem_text(const struct cfg_problem *problem)
{
	GString *text = g_string_new(NULL);

	if (problem->row)
		g_string_append_printf(text, "%s entry %u, ", problem->list,
				       problem->row);
	if (problem->key)
		g_string_append_printf(text, "key %s: ", problem->key);
	else if (problem->row)
		g_string_overwrite(text, text->len - 2, ": ");
	g_string_append(text, problem->text);
	return g_string_free(text, FALSE);
}
