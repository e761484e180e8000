#include "srv.h"

#include <jansson.h>
#include <string.h>

/** Limit of kind, team and idempotency key. */
#define MAX_KEY_BYTES 255
#define MAX_ATTEMPTS 1000
#define DEFAULT_ATTEMPTS 3

struct srv_spec {
	/** Owns the strings of job. */
	json_t *root;
	struct job_spec job;
};

enum field_type {
	FIELD_STRING,
	/** Non-negative gint64. */
	FIELD_SIZE,
	FIELD_ATTEMPTS,
	FIELD_PAYLOAD,
};

/* Fields of a submitted job, and where struct job_spec stores them. */
static const struct field {
	const char *name;
	enum field_type type;
	size_t offset;
	const char *expected;
} fields[] = {
	{ "kind", FIELD_STRING, offsetof(struct job_spec, kind),
	  "a string of 1 to 255 bytes" },
	{ "team", FIELD_STRING, offsetof(struct job_spec, team),
	  "a string of 1 to 255 bytes" },
	{ "idempotency_key", FIELD_STRING,
	  offsetof(struct job_spec, idempotency_key),
	  "a string of 1 to 255 bytes" },
	{ "cpu_milli", FIELD_SIZE, offsetof(struct job_spec, cpu_milli),
	  "a whole number of at least 0" },
	{ "memory_bytes", FIELD_SIZE, offsetof(struct job_spec, memory_bytes),
	  "a whole number of at least 0" },
	{ "accelerators", FIELD_SIZE, offsetof(struct job_spec, accelerators),
	  "a whole number of at least 0" },
	{ "max_attempts", FIELD_ATTEMPTS,
	  offsetof(struct job_spec, max_attempts),
	  "a whole number from 1 to 1000" },
	{ "payload", FIELD_PAYLOAD, offsetof(struct job_spec, payload),
	  "a string of at most 1048576 bytes" },
};

static char *error_json(const char *field, const char *expected,
			const char *message)
{
	GString *out = g_string_new("{\"error\":");

	obs_json_string(out, message, -1);
	if (field) {
		g_string_append(out, ",\"field\":");
		obs_json_string(out, field, -1);
	}
	if (expected) {
		g_string_append(out, ",\"expected\":");
		obs_json_string(out, expected, -1);
	}
	g_string_append(out, "}\n");
	return g_string_free(out, FALSE);
}

static int set_string(void *at, const json_t *value)
{
	size_t len = json_string_length(value);

	if (!json_is_string(value) || !len || len > MAX_KEY_BYTES)
		return -1;
	*(const char **)at = json_string_value(value);
	return 0;
}

static int set_size(void *at, const json_t *value)
{
	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return -1;
	*(gint64 *)at = json_integer_value(value);
	return 0;
}

static int set_attempts(void *at, const json_t *value)
{
	json_int_t n = json_integer_value(value);

	if (!json_is_integer(value) || n < 1 || n > MAX_ATTEMPTS)
		return -1;
	*(unsigned *)at = (unsigned)n;
	return 0;
}

static int set_payload(void *at, const json_t *value)
{
	size_t len = json_string_length(value);

	if (!json_is_string(value) || len > KV_MAX_VALUE_BYTES)
		return -1;
	*(GBytes **)at = g_bytes_new(json_string_value(value), len);
	return 0;
}

static int set_field(struct job_spec *job, const struct field *field,
		     const json_t *value)
{
	void *at = (char *)job + field->offset;

	switch (field->type) {
	case FIELD_STRING:
		return set_string(at, value);
	case FIELD_SIZE:
		return set_size(at, value);
	case FIELD_ATTEMPTS:
		return set_attempts(at, value);
	case FIELD_PAYLOAD:
		return set_payload(at, value);
	}
	return -1;
}

static const struct field *find_field(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++)
		if (!strcmp(fields[i].name, name))
			return &fields[i];
	return NULL;
}

/* Returns NULL, or the body of the 400 answer. */
static char *read_fields(struct srv_spec *spec)
{
	const char *name;
	json_t *value;

	if (!json_is_object(spec->root))
		return error_json(NULL, "a JSON object",
				  "the body is not a JSON object");
	json_object_foreach(spec->root, name, value)
	{
		const struct field *field = find_field(name);

		if (!field)
			return error_json(name,
					  "kind, cpu_milli, memory_bytes, "
					  "accelerators, payload, "
					  "idempotency_key, max_attempts or "
					  "team",
					  "unknown field");
		if (set_field(&spec->job, field, value) < 0)
			return error_json(name, field->expected,
					  "invalid value");
	}
	if (!spec->job.kind)
		return error_json("kind", fields[0].expected,
				  "a field is missing");
	return NULL;
}

struct srv_spec *srv_spec_parse(const void *data, size_t len, char **error)
{
	struct srv_spec *spec = g_new0(struct srv_spec, 1);
	json_error_t json_error;

	spec->job.max_attempts = DEFAULT_ATTEMPTS;
	spec->root = json_loadb(len ? data : "", len, JSON_REJECT_DUPLICATES,
				&json_error);
	if (!spec->root) {
		g_autofree char *text = g_strdup_printf(
			"line %d, column %d: %s", json_error.line,
			json_error.column, json_error.text);

		*error = error_json(NULL, "a JSON object", text);
	} else {
		*error = read_fields(spec);
	}
	if (*error) {
		srv_spec_free(spec);
		return NULL;
	}
	if (!spec->job.payload)
		spec->job.payload = g_bytes_new(NULL, 0);
	if (!spec->job.team)
		spec->job.team = "";
	return spec;
}

void srv_spec_free(struct srv_spec *spec)
{
	if (spec->job.payload)
		g_bytes_unref(spec->job.payload);
	json_decref(spec->root);
	g_free(spec);
}

const struct job_spec *srv_spec_job(const struct srv_spec *spec)
{
	return &spec->job;
}
