#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "wire/wire.h"
#include "tests/fixture.h"

static struct evbuffer *buffer;

static void setup(void)
{
	buffer = evbuffer_new();
}

static void teardown(void)
{
	evbuffer_free(buffer);
}

static void add_frame(uint32_t len, const char *data, size_t n)
{
	uint32_t header = htonl(len);

	evbuffer_add(buffer, &header, sizeof(header));
	evbuffer_add(buffer, data, n);
}

/* Guards against reading a frame before all its bytes have arrived. */
START_TEST(test_partial_frame)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REQUEST);
	struct Rp__Frame *got = NULL;
	struct evbuffer *whole = evbuffer_new();
	char byte;

	frame->request->id = 7;
	wire_set_string(&frame->request->pool, "checks");
	wire_set_bytes(&frame->request->body, "abc", 3);
	ck_assert_int_eq(wire_write(whole, frame, NULL), 0);
	while (evbuffer_get_length(whole) > 1) {
		evbuffer_remove(whole, &byte, 1);
		evbuffer_add(buffer, &byte, 1);
		ck_assert_int_eq(wire_read(buffer, &got, NULL), 0);
	}
	evbuffer_add_buffer(buffer, whole);
	ck_assert_int_eq(wire_read(buffer, &got, NULL), 1);
	ck_assert_uint_eq(got->request->id, 7);
	ck_assert_str_eq(got->request->pool, "checks");
	ck_assert_mem_eq(got->request->body.data, "abc", 3);
	wire_frame_free(got);
	wire_frame_free(frame);
	evbuffer_free(whole);
}
END_TEST

static const struct {
	const char *name;
	uint32_t len;
	const char *data;
	size_t n;
	int code;
} bad_frames[] = {
	{ "oversized", WIRE_MAX_FRAME_BYTES + 1, "", 0, WIRE_ERROR_TOO_LARGE },
	{ "length bomb", 0xffffffff, "", 0, WIRE_ERROR_TOO_LARGE },
	{ "empty", 0, "", 0, WIRE_ERROR_EMPTY },
	{ "unknown field", 2, "\xf8\x07", 2, WIRE_ERROR_MALFORMED },
	{ "body cut short", 2, "\x0a\x7f", 2, WIRE_ERROR_MALFORMED },
	{ "unknown message cut short", 3, "\xfa\x07\x01", 3,
	  WIRE_ERROR_MALFORMED },
	{ "wrong wire type", 2, "\x08\x01", 2, WIRE_ERROR_MALFORMED },
};

/* Guards against a crash, or a message, from malformed bytes of a peer. */
START_TEST(test_bad_frame)
{
	struct Rp__Frame *got = NULL;
	GError *error = NULL;

	add_frame(bad_frames[_i].len, bad_frames[_i].data, bad_frames[_i].n);
	ck_assert_int_eq(wire_read(buffer, &got, &error), -1);
	ck_assert_ptr_null(got);
	ck_assert(g_error_matches(error, WIRE_ERROR, bad_frames[_i].code));
	g_error_free(error);
}
END_TEST

/*
 * Guards against a process that closes its connection to one of a later
 * version: a body of unknown kind is not an error, and the next frame is read.
 */
START_TEST(test_unknown_body)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_GRANT);
	struct Rp__Frame *got = NULL;

	add_frame(5, "\xfa\x07\x02\x08\x01", 5);
	ck_assert_int_eq(wire_write(buffer, frame, NULL), 0);
	ck_assert_int_eq(wire_read(buffer, &got, NULL), 1);
	ck_assert_uint_eq(wire_unknown_body(got), 127);
	ck_assert_str_eq(wire_frame_name(got), "none");
	wire_frame_free(got);
	ck_assert_int_eq(wire_read(buffer, &got, NULL), 1);
	ck_assert_uint_eq(wire_unknown_body(got), 0);
	ck_assert_int_eq(got->body_case, RP__FRAME__BODY_GRANT);
	wire_frame_free(got);
	wire_frame_free(frame);
}
END_TEST

enum value_kind {
	VALUE_VM,
	VALUE_POOL,
	VALUE_POOLS,
	VALUE_SLOTS,
	VALUE_CAPACITY,
	VALUE_SHARD,
	VALUE_DETAIL,
	VALUE_TASK,
	VALUE_IN_FLIGHT,
	VALUE_ADDRESS,
	VALUE_OTHERS,
	VALUE_UNENDED,
};

/* The value is number, or text repeated number times. */
static const struct {
	enum value_kind kind;
	const char *text;
	gint64 number;
	const char *expected;
} bad_values[] = {
	{ VALUE_VM, "v", 1 << 20, "Hello.vm is 1048576 bytes long; expected" },
	{ VALUE_VM, "v", 65, "Hello.vm is 65 bytes long; expected" },
	{ VALUE_VM, "v m", 1, "Hello.vm is v m; expected at most 64 letters" },
	{ VALUE_VM, "v\n", 1, "Hello.vm is v\\n; expected" },
	{ VALUE_POOL, "p\"", 1, "Hello.pools is p\\\"; expected" },
	{ VALUE_POOLS, "p", 1001, "Hello.pools is a list of 1001; expected" },
	{ VALUE_SLOTS, NULL, 65536, "Hello.slots is 65536; expected at most" },
	{ VALUE_CAPACITY, NULL, -1,
	  "Resources.memory_bytes is -1; expected 0 to 2^60" },
	{ VALUE_CAPACITY, NULL, G_MAXINT64, "Resources.memory_bytes is 922" },
	{ VALUE_CAPACITY, NULL, G_MININT64, "Resources.memory_bytes is -92" },
	{ VALUE_SHARD, NULL, 16, "TaskList.shard is 16; expected at most 15" },
	{ VALUE_DETAIL, "d", 4097, "Task.detail is 4097 bytes long; expected" },
	{ VALUE_TASK, NULL, 0, "TaskEvent.task is missing" },
	{ VALUE_IN_FLIGHT, NULL, G_MAXUINT32, "PoolLoad.in_flight is 429" },
	{ VALUE_OTHERS, NULL, 65536,
	  "Reply.others_in_use is 65536; expected at most 65535" },
	{ VALUE_UNENDED, NULL, 3600001,
	  "Unended.remaining_ms is 3600001; expected at most 3600000" },
	{ VALUE_ADDRESS, "a", 65, "Welcome.entry_addresses is 65 bytes long" },
};

static char **string_list(const char *text, size_t n)
{
	char **list = g_new0(char *, n);

	while (n--)
		list[n] = g_strdup(text);
	return list;
}

/* Returns a frame that is valid except for the value. */
static struct Rp__Frame *frame_with(enum value_kind kind, const char *text,
				    gint64 number)
{
	Rp__Frame__BodyCase body =
		kind == VALUE_SHARD ? RP__FRAME__BODY_TASK_LIST
		: kind == VALUE_DETAIL || kind == VALUE_TASK
			? RP__FRAME__BODY_TASK_EVENT
		: kind == VALUE_IN_FLIGHT ? RP__FRAME__BODY_REPORT
		: kind == VALUE_OTHERS	  ? RP__FRAME__BODY_REPLY
		: kind == VALUE_ADDRESS	  ? RP__FRAME__BODY_WELCOME
		: kind == VALUE_UNENDED	  ? RP__FRAME__BODY_WELCOME
					  : RP__FRAME__BODY_HELLO;
	struct Rp__Frame *frame = wire_frame_new(body);
	g_autoptr(GString) copies = g_string_new(NULL);
	gint64 i;

	for (i = 0; text && kind != VALUE_POOLS && i < number; i++)
		g_string_append(copies, text);
	switch (kind) {
	case VALUE_VM:
		wire_set_string(&frame->hello->vm, copies->str);
		break;
	case VALUE_POOL:
	case VALUE_POOLS:
		frame->hello->n_pools = (size_t)number;
		frame->hello->pools = string_list(text, (size_t)number);
		break;
	case VALUE_SLOTS:
		frame->hello->slots = (guint32)number;
		break;
	case VALUE_CAPACITY:
		frame->hello->capacity = wire_resources_dup(NULL);
		frame->hello->capacity->memory_bytes = number;
		break;
	case VALUE_SHARD:
		frame->task_list->shard = (guint32)number;
		break;
	case VALUE_DETAIL:
		frame->task_event->task = g_new(struct Rp__Task, 1);
		rp__task__init(frame->task_event->task);
		wire_set_string(&frame->task_event->task->detail, copies->str);
		break;
	case VALUE_TASK:
		break;
	case VALUE_IN_FLIGHT:
		frame->report->n_pools = 1;
		frame->report->pools = g_new0(struct Rp__PoolLoad *, 1);
		frame->report->pools[0] = g_new(struct Rp__PoolLoad, 1);
		rp__pool_load__init(frame->report->pools[0]);
		frame->report->pools[0]->in_flight = (guint32)number;
		break;
	case VALUE_OTHERS:
		/* The last of three: each element must be checked. */
		frame->reply->n_others_in_use = 3;
		frame->reply->others_in_use = g_new0(guint32, 3);
		frame->reply->others_in_use[2] = (guint32)number;
		break;
	case VALUE_UNENDED:
		frame->welcome->n_unended = 1;
		frame->welcome->unended = g_new0(struct Rp__Unended *, 1);
		frame->welcome->unended[0] = g_new(struct Rp__Unended, 1);
		rp__unended__init(frame->welcome->unended[0]);
		frame->welcome->unended[0]->n_remaining_ms = 2;
		frame->welcome->unended[0]->remaining_ms = g_new0(guint32, 2);
		frame->welcome->unended[0]->remaining_ms[1] = (guint32)number;
		break;
	case VALUE_ADDRESS:
		frame->welcome->n_entry_addresses = 1;
		frame->welcome->entry_addresses = string_list(copies->str, 1);
		break;
	}
	return frame;
}

/*
 * Guards against out-of-range values from a faulty peer that reach the
 * reducers: sums would overflow, and long names would fill logs and memory.
 */
START_TEST(test_bad_value)
{
	struct Rp__Frame *frame = frame_with(bad_values[_i].kind,
					     bad_values[_i].text,
					     bad_values[_i].number);
	struct Rp__Frame *got = NULL;
	GError *error = NULL;

	ck_assert_int_eq(wire_write(buffer, frame, NULL), 0);
	ck_assert_int_eq(wire_read(buffer, &got, &error), -1);
	ck_assert_ptr_null(got);
	ck_assert(g_error_matches(error, WIRE_ERROR, WIRE_ERROR_INVALID));
	ck_assert_msg(g_str_has_prefix(error->message, bad_values[_i].expected),
		      "%s", error->message);
	g_error_free(error);
	wire_frame_free(frame);
}
END_TEST

/* Guards against refusing the largest values that settings allow. */
START_TEST(test_largest_values)
{
	static const struct {
		enum value_kind kind;
		const char *text;
		gint64 number;
	} cases[] = {
		{ VALUE_VM, "v", 64 },
		{ VALUE_POOLS, "p.1_-", 1000 },
		{ VALUE_SLOTS, NULL, 65535 },
		{ VALUE_SHARD, NULL, 15 },
		{ VALUE_DETAIL, "d", 4096 },
		{ VALUE_OTHERS, NULL, 65535 },
		{ VALUE_UNENDED, NULL, 3600000 },
		{ VALUE_CAPACITY, NULL, G_GINT64_CONSTANT(1) << 50 },
	};
	struct Rp__Frame *got = NULL;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct Rp__Frame *frame = frame_with(
			cases[i].kind, cases[i].text, cases[i].number);

		ck_assert_int_eq(wire_write(buffer, frame, NULL), 0);
		ck_assert_int_eq(wire_read(buffer, &got, NULL), 1);
		wire_frame_free(got);
		wire_frame_free(frame);
	}
}
END_TEST

/* Guards against sending an oversized frame: the peer would disconnect. */
START_TEST(test_write_too_large)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REPLY);
	char *body = g_malloc0(WIRE_MAX_FRAME_BYTES);
	GError *error = NULL;

	wire_set_bytes(&frame->reply->body, body, WIRE_MAX_FRAME_BYTES);
	ck_assert_int_eq(wire_write(buffer, frame, &error), -1);
	ck_assert(g_error_matches(error, WIRE_ERROR, WIRE_ERROR_TOO_LARGE));
	ck_assert_uint_eq(evbuffer_get_length(buffer), 0);
	g_error_free(error);
	wire_frame_free(frame);
	g_free(body);
}
END_TEST

static GBytes *rows(unsigned changed)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	g_string_append_printf(text, "{\"generation\":%u,\"pools\":[", changed);
	for (i = 0; i < 100; i++)
		g_string_append_printf(text, "{\"name\":\"p%u\",\"max\":%u},",
				       i, i == changed ? changed : 0);
	g_string_append(text, "{}]}");
	return g_string_free_to_bytes(text);
}

/*
 * Guards against a delta that yields another document than the sender's: it is
 * for another base, copies bytes beyond its base, or has a wrong digest.
 */
START_TEST(test_delta)
{
	g_autoptr(GBytes) base = rows(5);
	g_autoptr(GBytes) document = rows(60);
	g_autoptr(GBytes) made = NULL;
	GError *error = NULL;
	struct Rp__Frame *frame = wire_delta_new(base, document, 7);
	struct Rp__TablesDelta *delta = frame->tables_delta;

	ck_assert_uint_lt(rp__tables_delta__get_packed_size(delta), 200);
	made = wire_delta_apply(base, delta, &error);
	ck_assert_ptr_nonnull(made);
	ck_assert(g_bytes_equal(made, document));
	ck_assert_ptr_null(wire_delta_apply(document, delta, &error));
	ck_assert(g_error_matches(error, WIRE_ERROR, WIRE_ERROR_DELTA));
	ck_assert_ptr_nonnull(strstr(error->message, "not held"));
	g_clear_error(&error);
	ck_assert_ptr_null(wire_delta_apply(NULL, delta, NULL));
	delta->digest++;
	ck_assert_ptr_null(wire_delta_apply(base, delta, &error));
	ck_assert_ptr_nonnull(strstr(error->message, "another digest"));
	g_clear_error(&error);
	delta->parts[1]->offset = G_MAXUINT32;
	ck_assert_ptr_null(wire_delta_apply(base, delta, &error));
	ck_assert_ptr_nonnull(strstr(error->message, "part 1 of the delta"));
	g_clear_error(&error);
	/* The resulting document would exceed its maximum size. */
	delta->parts[1]->length = G_MAXUINT32;
	ck_assert_int_eq(wire_write(buffer, frame, NULL), 0);
	wire_frame_free(frame);
	ck_assert_int_eq(wire_read(buffer, &frame, &error), -1);
	ck_assert_ptr_nonnull(strstr(error->message, "TablesDelta.parts is"));
	g_error_free(error);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("wire");
	TCase *tcase = tcase_create("frames");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_partial_frame);
	tcase_add_loop_test(tcase, test_bad_frame, 0, G_N_ELEMENTS(bad_frames));
	tcase_add_test(tcase, test_unknown_body);
	tcase_add_loop_test(tcase, test_bad_value, 0, G_N_ELEMENTS(bad_values));
	tcase_add_test(tcase, test_largest_values);
	tcase_add_test(tcase, test_write_too_large);
	tcase_add_test(tcase, test_delta);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
