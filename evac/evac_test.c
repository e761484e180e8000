#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "evac/evac.h"
#include "tests/fixture.h"

static struct evac *held;

static void setup(void)
{
	held = evac_new();
}

static void teardown(void)
{
	evac_free(held);
}

/* Returns an evacuation by ana of the zone. */
static struct evac_zone zone_of(const char *name)
{
	return (struct evac_zone){ .zone = (char *)name,
				   .author = (char *)"ana",
				   .reason = (char *)"power works",
				   .since_unix_ms = 17 };
}

/* Evacuates the zone in held, or ends that; fails on an error. */
static void begin(const char *name)
{
	struct evac_zone zone = zone_of(name);
	struct evac *next = evac_begin(held, &zone, NULL);

	ck_assert_ptr_nonnull(next);
	evac_free(held);
	held = next;
}

static void end(const char *name)
{
	struct evac *next = evac_end(held, name, NULL);

	ck_assert_ptr_nonnull(next);
	evac_free(held);
	held = next;
}

static struct evac *decode(const char *text, GError **error)
{
	return evac_decode(text, strlen(text), error);
}

/* Guards against a change that loses another zone or skips a generation. */
START_TEST(test_changes)
{
	const struct evac_zone *zone;

	begin("b");
	begin("a");
	ck_assert_uint_eq(held->generation, 2);
	ck_assert_uint_eq(held->zones->len, 2);
	zone = evac_find(held, "b");
	ck_assert_ptr_nonnull(zone);
	ck_assert_str_eq(zone->author, "ana");
	ck_assert_str_eq(zone->reason, "power works");
	ck_assert_int_eq(zone->since_unix_ms, 17);
	end("b");
	ck_assert_uint_eq(held->generation, 3);
	ck_assert_ptr_null(evac_find(held, "b"));
	ck_assert_ptr_nonnull(evac_find(held, "a"));
	end("a");
	ck_assert_uint_eq(held->generation, 4);
	ck_assert_uint_eq(held->zones->len, 0);
}
END_TEST

static const char two_zones[] =
	"{\"generation\":2,\"zones\":[{\"author\":\"ana\",\"reason\":"
	"\"power works\",\"since_unix_ms\":17,\"zone\":\"a\"},{\"author\":"
	"\"ana\",\"reason\":\"power works\",\"since_unix_ms\":17,\"zone\":"
	"\"b\"}]}";

/* Guards against a document that changes on its way through the store. */
START_TEST(test_codec)
{
	g_autoptr(GBytes) bytes = NULL;
	g_autoptr(GBytes) again = NULL;
	struct evac *copy;
	gsize len;
	const void *data;

	begin("b");
	begin("a");
	bytes = evac_encode(held);
	data = g_bytes_get_data(bytes, &len);
	ck_assert_uint_eq(len, strlen(two_zones));
	ck_assert_int_eq(memcmp(data, two_zones, len), 0);
	copy = evac_decode(data, len, NULL);
	ck_assert_ptr_nonnull(copy);
	ck_assert(!copy->has_unknown_keys);
	again = evac_encode(copy);
	ck_assert(g_bytes_equal(bytes, again));
	ck_assert_int_eq(evac_compare(held, copy), EVAC_ADOPT_SAME);
	evac_free(copy);
}
END_TEST

#define ZONE_A                                                                 \
	"{\"zone\":\"a\",\"author\":\"x\",\"reason\":\"y\","                   \
	"\"since_unix_ms\":1}"

static const struct {
	const char *text;
	const char *expected;
} bad_documents[] = {
	{ "", "evacuation document: byte " },
	{ "[]", "Expected object" },
	{ "{\"zones\":[]}", "generation" },
	{ "{\"generation\":0,\"zones\":[]}", "generation: expected at least" },
	{ "{\"generation\":1,\"zones\":{}}", "zones: expected an array" },
	{ "{\"generation\":1,\"zones\":[" ZONE_A "," ZONE_A "]}",
	  "zones: expected each zone at most once" },
	{ "{\"generation\":1,\"zones\":[{\"zone\":\"a\"}]}", "author" },
	{ "{\"generation\":1,\"zones\":[{\"zone\":\"a b\",\"author\":\"x\","
	  "\"reason\":\"y\",\"since_unix_ms\":1}]}",
	  "zone: expected 1 to 64 letters" },
	{ "{\"generation\":1,\"zones\":[{\"zone\":\"a\",\"author\":\"\","
	  "\"reason\":\"y\",\"since_unix_ms\":1}]}",
	  "author: expected 1 to 128 bytes" },
	{ "{\"generation\":1,\"zones\":[{\"zone\":\"a\",\"author\":\"x\","
	  "\"reason\":\"y\\n\",\"since_unix_ms\":1}]}",
	  "reason: expected 1 to 512 bytes" },
	{ "{\"generation\":1,\"zones\":[{\"zone\":\"a\",\"author\":\"x\","
	  "\"reason\":\"y\",\"since_unix_ms\":-1}]}",
	  "since_unix_ms: expected at least 0" },
};

/* Guards against a bad document that is adopted, or refused without a reason.
 */
START_TEST(test_bad_documents)
{
	g_autoptr(GError) error = NULL;

	ck_assert_ptr_null(decode(bad_documents[_i].text, &error));
	ck_assert(g_error_matches(error, EVAC_ERROR, EVAC_ERROR_INVALID));
	ck_assert_msg(strstr(error->message, bad_documents[_i].expected) !=
			      NULL,
		      "%s", error->message);
}
END_TEST

/*
 * Guards against a document of a later version that is refused, so that its
 * zones stay in service, or whose unknown keys a change would drop unnoticed.
 */
START_TEST(test_unknown_keys)
{
	struct evac *evac = decode(
		"{\"generation\":3,\"later\":1,\"zones\":[" ZONE_A "]}", NULL);

	ck_assert_ptr_nonnull(evac);
	ck_assert_ptr_nonnull(evac_find(evac, "a"));
	ck_assert(evac->has_unknown_keys);
	evac_free(evac);
}
END_TEST

/* Guards against a change that a command must refuse. */
START_TEST(test_refused_changes)
{
	struct evac_zone again = zone_of("a");
	struct evac_zone author = zone_of("b");
	struct evac_zone reason = zone_of("b");
	g_autoptr(GError) second = NULL;
	g_autoptr(GError) absent = NULL;

	begin("a");
	ck_assert_ptr_null(evac_begin(held, &again, &second));
	ck_assert(g_error_matches(second, EVAC_ERROR, EVAC_ERROR_EVACUATED));
	ck_assert_str_eq(second->message,
			 "zone a is evacuated already, by ana: power works");
	ck_assert_ptr_null(evac_end(held, "b", &absent));
	ck_assert(
		g_error_matches(absent, EVAC_ERROR, EVAC_ERROR_NOT_EVACUATED));
	ck_assert_str_eq(absent->message,
			 "zone b is not evacuated; evacuated: a");
	author.author = (char *)"";
	ck_assert_ptr_null(evac_begin(held, &author, NULL));
	reason.reason = (char *)"";
	ck_assert_ptr_null(evac_begin(held, &reason, NULL));
}
END_TEST

/* Guards against an old document that comes into force again. */
START_TEST(test_compare)
{
	struct evac *one = decode("{\"generation\":1,\"zones\":[]}", NULL);
	struct evac *two = decode("{\"generation\":2,\"zones\":[]}", NULL);
	struct evac *other = decode("{\"generation\":2,\"zones\":[" ZONE_A "]}",
				    NULL);

	ck_assert_int_eq(evac_compare(held, one), EVAC_ADOPT_NEWER);
	ck_assert_int_eq(evac_compare(one, two), EVAC_ADOPT_NEWER);
	ck_assert_int_eq(evac_compare(two, one), EVAC_ADOPT_OLDER);
	ck_assert_int_eq(evac_compare(two, two), EVAC_ADOPT_SAME);
	ck_assert_int_eq(evac_compare(two, other), EVAC_ADOPT_CONFLICT);
	evac_free(one);
	evac_free(two);
	evac_free(other);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("evac");
	TCase *tcase = tcase_create("evac");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_changes);
	tcase_add_test(tcase, test_codec);
	tcase_add_loop_test(tcase, test_bad_documents, 0,
			    G_N_ELEMENTS(bad_documents));
	tcase_add_test(tcase, test_unknown_keys);
	tcase_add_test(tcase, test_refused_changes);
	tcase_add_test(tcase, test_compare);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
