#include "check.h"

#include <string.h>

/* The same limits as for settings and tables, so that all valid ones pass. */
#define MAX_NAME_BYTES 64
#define MAX_ADDRESS_BYTES 64
/* Kinds of jobs, and ids. */
#define MAX_ID_BYTES 255
#define MAX_SLOTS 65535
#define MAX_FLEET_REQUESTS 10000000
/* Maximum timeout of a route. */
#define MAX_REQUEST_MS 3600000
/* Sums of a few amounts must not overflow. */
#define MAX_AMOUNT (G_GINT64_CONSTANT(1) << 60)

/*
 * Maximum length of the lists "pools", "members" and "unended". Agents name a
 * few pools, and each costs an entry some memory.
 */
#define MAX_POOLS 1000

enum rule_kind {
	/** Letters, digits, "." "_" "-", at most max bytes; may be empty. */
	RULE_NAME,
	/** At most max bytes. */
	RULE_TEXT,
	/** At most max. */
	RULE_NUMBER,
};

/* Rules by field name, the same in all messages. */
static const struct rule {
	const char *field;
	enum rule_kind kind;
	guint64 max;
} rules[] = {
	{ "vm", RULE_NAME, MAX_NAME_BYTES },
	{ "zone", RULE_NAME, MAX_NAME_BYTES },
	{ "rack", RULE_NAME, MAX_NAME_BYTES },
	{ "pool", RULE_NAME, MAX_NAME_BYTES },
	{ "pools", RULE_NAME, MAX_NAME_BYTES },
	{ "entry_id", RULE_NAME, MAX_NAME_BYTES },
	{ "entry_addresses", RULE_TEXT, MAX_ADDRESS_BYTES },
	{ "agent_boot_id", RULE_TEXT, MAX_ID_BYTES },
	{ "worker_boot_id", RULE_TEXT, MAX_ID_BYTES },
	{ "instance", RULE_TEXT, MAX_ID_BYTES },
	{ "job_id", RULE_TEXT, MAX_ID_BYTES },
	{ "request_id", RULE_TEXT, MAX_ID_BYTES },
	{ "kind", RULE_TEXT, MAX_ID_BYTES },
	{ "detail", RULE_TEXT, WIRE_MAX_DETAIL_BYTES },
	{ "checkpoint", RULE_TEXT, WIRE_MAX_CHECKPOINT_BYTES },
	{ "shard", RULE_NUMBER, WIRE_SHARDS - 1 },
	{ "slots", RULE_NUMBER, MAX_SLOTS },
	{ "connections", RULE_NUMBER, MAX_SLOTS },
	{ "slots_in_use", RULE_NUMBER, MAX_SLOTS },
	{ "others_in_use", RULE_NUMBER, MAX_SLOTS },
	{ "in_flight", RULE_NUMBER, MAX_FLEET_REQUESTS },
	{ "remaining_ms", RULE_NUMBER, MAX_REQUEST_MS },
	{ "share_milli", RULE_NUMBER, 1000 },
};

static const struct rule *find_rule(const char *field)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rules); i++)
		if (!strcmp(rules[i].field, field))
			return &rules[i];
	return NULL;
}

static gboolean is_name(const char *text)
{
	for (; *text; text++)
		if (!g_ascii_isalnum(*text) && !strchr("._-", *text))
			return FALSE;
	return TRUE;
}

static int refuse(const ProtobufCMessageDescriptor *message,
		  const ProtobufCFieldDescriptor *field, const char *found,
		  const char *expected, GError **error)
{
	g_set_error(error, WIRE_ERROR, WIRE_ERROR_INVALID,
		    "%s.%s is %s; expected %s", message->short_name,
		    field->name, found, expected);
	return -1;
}

static int check_string(const ProtobufCMessageDescriptor *message,
			const ProtobufCFieldDescriptor *field, const char *text,
			GError **error)
{
	const struct rule *rule = find_rule(field->name);
	g_autofree char *found = NULL;
	g_autofree char *expected = NULL;
	size_t len = strlen(text);

	if (!rule ||
	    (len <= rule->max && (rule->kind != RULE_NAME || is_name(text))))
		return 0;
	found = len <= rule->max ? g_strescape(text, NULL)
				 : g_strdup_printf("%zu bytes long", len);
	expected = g_strdup_printf("at most %" G_GUINT64_FORMAT "%s", rule->max,
				   rule->kind == RULE_NAME
					   ? " letters, digits, '.', '_' or '-'"
					   : " bytes");
	return refuse(message, field, found, expected, error);
}

static int check_number(const ProtobufCMessageDescriptor *message,
			const ProtobufCFieldDescriptor *field, guint64 value,
			GError **error)
{
	const struct rule *rule = find_rule(field->name);
	g_autofree char *found = NULL;
	g_autofree char *expected = NULL;

	if (!rule || rule->kind != RULE_NUMBER || value <= rule->max)
		return 0;
	found = g_strdup_printf("%" G_GUINT64_FORMAT, value);
	expected = g_strdup_printf("at most %" G_GUINT64_FORMAT, rule->max);
	return refuse(message, field, found, expected, error);
}

static int check_amount(const ProtobufCMessageDescriptor *message,
			const ProtobufCFieldDescriptor *field, gint64 value,
			GError **error)
{
	g_autofree char *found = NULL;

	if (value >= 0 && value <= MAX_AMOUNT)
		return 0;
	found = g_strdup_printf("%" G_GINT64_FORMAT, value);
	return refuse(message, field, found, "0 to 2^60", error);
}

static int check_message(const ProtobufCMessage *message, GError **error);

static int check_value(const ProtobufCMessageDescriptor *message,
		       const ProtobufCFieldDescriptor *field, const void *value,
		       GError **error)
{
	switch (field->type) {
	case PROTOBUF_C_TYPE_STRING:
		return check_string(message, field, *(char *const *)value,
				    error);
	case PROTOBUF_C_TYPE_UINT32:
		return check_number(message, field, *(const guint32 *)value,
				    error);
	case PROTOBUF_C_TYPE_INT64:
		return check_amount(message, field, *(const gint64 *)value,
				    error);
	case PROTOBUF_C_TYPE_MESSAGE:
		if (*(ProtobufCMessage *const *)value)
			return check_message(*(ProtobufCMessage *const *)value,
					     error);
		return 0;
	default:
		return 0;
	}
}

static int check_list(const ProtobufCMessage *message,
		      const ProtobufCFieldDescriptor *field, GError **error)
{
	size_t n = *(const size_t *)((const char *)message +
				     field->quantifier_offset);
	const char *items =
		*(const char *const *)((const char *)message + field->offset);
	size_t size = field->type == PROTOBUF_C_TYPE_UINT32 ? sizeof(guint32)
							    : sizeof(void *);
	g_autofree char *found = NULL;
	size_t i;

	if (n > MAX_POOLS &&
	    (!strcmp(field->name, "pools") || !strcmp(field->name, "members") ||
	     !strcmp(field->name, "unended"))) {
		found = g_strdup_printf("a list of %zu", n);
		return refuse(message->descriptor, field, found, "at most 1000",
			      error);
	}
	/* Headers have no rules, and there may be many of them. */
	if (!strcmp(field->name, "headers"))
		return 0;
	/* Elements of all other types are strings or messages: pointers. */
	for (i = 0; i < n; i++)
		if (check_value(message->descriptor, field, items + i * size,
				error) < 0)
			return -1;
	return 0;
}

static int check_message(const ProtobufCMessage *message, GError **error)
{
	const ProtobufCMessageDescriptor *desc = message->descriptor;
	unsigned i;

	for (i = 0; i < desc->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &desc->fields[i];
		int result;

		if (field->label == PROTOBUF_C_LABEL_REPEATED)
			result = check_list(message, field, error);
		else
			result = check_value(
				desc, field,
				(const char *)message + field->offset, error);
		if (result < 0)
			return -1;
	}
	return 0;
}

/* The resulting document must not exceed its maximum size. */
static int check_parts(const struct Rp__TablesDelta *delta, GError **error)
{
	guint64 bytes = 0;
	size_t i;

	for (i = 0; i < delta->n_parts && i < WIRE_MAX_PARTS; i++)
		bytes += (guint64)delta->parts[i]->length +
			 delta->parts[i]->insert.len;
	if (delta->n_parts <= WIRE_MAX_PARTS &&
	    bytes <= WIRE_MAX_DOCUMENT_BYTES)
		return 0;
	g_set_error(error, WIRE_ERROR, WIRE_ERROR_INVALID,
		    "TablesDelta.parts is %zu parts of %" G_GUINT64_FORMAT
		    " bytes; expected at most %d of %d bytes",
		    delta->n_parts, bytes, WIRE_MAX_PARTS,
		    WIRE_MAX_DOCUMENT_BYTES);
	return -1;
}

int wire_check(const struct Rp__Frame *frame, GError **error)
{
	const ProtobufCFieldDescriptor *field =
		protobuf_c_message_descriptor_get_field(&rp__frame__descriptor,
							frame->body_case);
	const ProtobufCMessage *body = *(
		ProtobufCMessage *const *)((const char *)frame + field->offset);

	if (frame->body_case == RP__FRAME__BODY_TASK_EVENT &&
	    !frame->task_event->task) {
		g_set_error(error, WIRE_ERROR, WIRE_ERROR_INVALID,
			    "TaskEvent.task is missing");
		return -1;
	}
	if (frame->body_case == RP__FRAME__BODY_TABLES_DELTA &&
	    check_parts(frame->tables_delta, error) < 0)
		return -1;
	return check_message(body, error);
}
