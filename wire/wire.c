#include "check.h"

#include <arpa/inet.h>
#include <string.h>

G_DEFINE_QUARK(wire_error_quark, wire_error)

int wire_read(struct evbuffer *in, struct Rp__Frame **frame, GError **error)
{
	uint32_t header;
	size_t len;
	unsigned char *data;

	if (evbuffer_copyout(in, &header, sizeof(header)) <
	    (ev_ssize_t)sizeof(header))
		return 0;
	len = ntohl(header);
	if (len > WIRE_MAX_FRAME_BYTES) {
		g_set_error(error, WIRE_ERROR, WIRE_ERROR_TOO_LARGE,
			    "frame of %zu bytes exceeds the limit of %d bytes",
			    len, WIRE_MAX_FRAME_BYTES);
		return -1;
	}
	if (evbuffer_get_length(in) < WIRE_HEADER_BYTES + len)
		return 0;
	evbuffer_drain(in, WIRE_HEADER_BYTES);
	data = evbuffer_pullup(in, (ev_ssize_t)len);
	*frame = rp__frame__unpack(NULL, len, data);
	evbuffer_drain(in, len);
	if (!*frame) {
		g_set_error(error, WIRE_ERROR, WIRE_ERROR_MALFORMED,
			    "frame of %zu bytes is not a valid message", len);
		return -1;
	}
	if (wire_unknown_body(*frame))
		return 1;
	if ((*frame)->body_case == RP__FRAME__BODY__NOT_SET) {
		wire_frame_free(*frame);
		*frame = NULL;
		g_set_error(error, WIRE_ERROR, WIRE_ERROR_EMPTY,
			    "frame of %zu bytes has no body", len);
		return -1;
	}
	if (wire_check(*frame, error) < 0) {
		wire_frame_free(*frame);
		*frame = NULL;
		return -1;
	}
	return 1;
}

int wire_write(struct evbuffer *out, const struct Rp__Frame *frame,
	       GError **error)
{
	size_t len = rp__frame__get_packed_size(frame);
	struct evbuffer_iovec vec;
	uint32_t header;

	if (len > WIRE_MAX_FRAME_BYTES) {
		g_set_error(error, WIRE_ERROR, WIRE_ERROR_TOO_LARGE,
			    "%s frame of %zu bytes exceeds the limit of %d "
			    "bytes",
			    wire_frame_name(frame), len, WIRE_MAX_FRAME_BYTES);
		return -1;
	}
	if (evbuffer_reserve_space(out, (ev_ssize_t)(WIRE_HEADER_BYTES + len),
				   &vec, 1) < 1)
		g_error("out of memory for a frame of %zu bytes", len);
	header = htonl((uint32_t)len);
	memcpy(vec.iov_base, &header, sizeof(header));
	rp__frame__pack(frame, (uint8_t *)vec.iov_base + WIRE_HEADER_BYTES);
	vec.iov_len = WIRE_HEADER_BYTES + len;
	evbuffer_commit_space(out, &vec, 1);
	return 0;
}

/* Returns the descriptor of the body with this field number. */
static const ProtobufCFieldDescriptor *body_field(Rp__Frame__BodyCase kind)
{
	return protobuf_c_message_descriptor_get_field(&rp__frame__descriptor,
						       kind);
}

struct Rp__Frame *wire_frame_new(Rp__Frame__BodyCase kind)
{
	const ProtobufCFieldDescriptor *field = body_field(kind);
	const ProtobufCMessageDescriptor *desc = field->descriptor;
	struct Rp__Frame *frame = g_malloc(sizeof(*frame));
	ProtobufCMessage *body = g_malloc(desc->sizeof_message);

	rp__frame__init(frame);
	protobuf_c_message_init(desc, body);
	frame->body_case = kind;
	memcpy((char *)frame + field->offset, &body, sizeof(body));
	return frame;
}

void wire_frame_free(struct Rp__Frame *frame)
{
	if (frame)
		rp__frame__free_unpacked(frame, NULL);
}

gpointer wire_message_dup(const struct ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	g_autofree uint8_t *bytes = g_malloc(len);

	protobuf_c_message_pack(message, bytes);
	return protobuf_c_message_unpack(message->descriptor, NULL, len, bytes);
}

struct Rp__Frame *wire_frame_dup(const struct Rp__Frame *frame)
{
	return wire_message_dup(&frame->base);
}

struct Rp__Frame *wire_evacuation_update_new(GBytes *document, gboolean read,
					     gint64 age_ms)
{
	struct Rp__Frame *frame =
		wire_frame_new(RP__FRAME__BODY_EVACUATION_UPDATE);
	gsize len;
	const void *data;

	if (document) {
		data = g_bytes_get_data(document, &len);
		wire_set_bytes(&frame->evacuation_update->document, data, len);
	}
	frame->evacuation_update->read = read;
	frame->evacuation_update->age_ms = MAX(age_ms, 0);
	return frame;
}

struct Rp__RunName *wire_run_name_new(const char *task, guint32 attempt)
{
	struct Rp__RunName *name = g_malloc(sizeof(*name));

	rp__run_name__init(name);
	wire_set_string(&name->task, task);
	name->attempt = attempt;
	return name;
}

char *wire_task_job_id(const char *task)
{
	return g_strndup(task, strcspn(task, "."));
}

void wire_set_string(char **field, const char *value)
{
	char *copy = value && *value ? g_strdup(value) : NULL;

	/* An unset string is the shared empty string of protobuf-c. */
	if (*field && *field != protobuf_c_empty_string)
		g_free(*field);
	*field = copy ? copy : (char *)protobuf_c_empty_string;
}

void wire_set_bytes(struct ProtobufCBinaryData *field, const void *data,
		    size_t len)
{
	uint8_t *copy = len ? g_memdup2(data, len) : NULL;

	g_free(field->data);
	field->data = copy;
	field->len = len;
}

struct Rp__Resources *wire_resources_dup(const struct Rp__Resources *from)
{
	struct Rp__Resources *to = g_malloc(sizeof(*to));

	rp__resources__init(to);
	if (from) {
		to->cpu_milli = from->cpu_milli;
		to->memory_bytes = from->memory_bytes;
		to->accelerators = from->accelerators;
	}
	return to;
}

guint32 wire_unknown_body(const struct Rp__Frame *frame)
{
	if (frame->body_case != RP__FRAME__BODY__NOT_SET ||
	    !frame->base.n_unknown_fields)
		return 0;
	return frame->base.unknown_fields[0].tag;
}

const char *wire_frame_name(const struct Rp__Frame *frame)
{
	const ProtobufCFieldDescriptor *field = body_field(frame->body_case);

	return field ? field->name : "none";
}

const char *wire_reason_name(Rp__Reason reason)
{
	static const char *const names[] = {
		[RP__REASON__REASON_NONE] = "none",
		[RP__REASON__REASON_NO_SLOT] = "no-slot",
		[RP__REASON__REASON_NO_CAPACITY] = "no-capacity",
		[RP__REASON__REASON_DRAINING] = "draining",
		[RP__REASON__REASON_STALE_TABLES] = "stale-tables",
		[RP__REASON__REASON_STALE_TERM] = "stale-term",
		[RP__REASON__REASON_NO_GRANT] = "no-grant",
		[RP__REASON__REASON_DEADLINE] = "deadline",
		[RP__REASON__REASON_CANCELLED] = "cancelled",
		[RP__REASON__REASON_UPSTREAM_UNREACHABLE] =
			"upstream-unreachable",
		[RP__REASON__REASON_UPSTREAM_ERROR] = "upstream-error",
		[RP__REASON__REASON_START_FAILED] = "start-failed",
		[RP__REASON__REASON_TASK_FAILED] = "task-failed",
		[RP__REASON__REASON_UNKNOWN_POOL] = "unknown-pool",
		[RP__REASON__REASON_OVERLOADED] = "overloaded",
		[RP__REASON__REASON_STALE_SESSION] = "stale-session",
		[RP__REASON__REASON_INTERFERENCE] = "interference",
		[RP__REASON__REASON_EVACUATED] = "evacuated",
	};

	if ((unsigned)reason >= G_N_ELEMENTS(names))
		return "unknown";
	return names[reason];
}

const char *wire_outcome_name(Rp__Outcome outcome)
{
	switch (outcome) {
	case RP__OUTCOME__OUTCOME_RAN:
		return "ran";
	case RP__OUTCOME__OUTCOME_NOT_RUN:
		return "not-run";
	default:
		return "unknown";
	}
}
