#include <check.h>
#include <event2/event.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "kv/kv.h"
#include "standin/child.h"
#include "tests/fixture.h"

/* Calls that succeed are answered well before, even on a slow machine. */
#define TIMEOUT_MS 60000
/* For calls that get no answer. */
#define BRIEF_TIMEOUT_MS 300

#define LEASE_MS 60000

static struct child platform;
static struct event_base *base;
static struct kv *kv;

/* Result of the last call. */
static struct {
	gboolean done;
	/* Error code; -1 for success. */
	int code;
	gboolean succeeded;
	gint64 revision;
	gint64 lease;
	gint64 ttl_ms;
	guint n_pairs;
	gboolean more;
	/* Keys of the pages read. */
	GPtrArray *keys;
	struct kv_pair first;
	char *value;
} got;

/* Changes that the watch reported, such as "+a=1 -a "; "!CODE" at its end. */
static GString *changes;

static struct kv *new_client(const char *first, const char *second,
			     gint64 timeout_ms)
{
	const char *endpoints[] = { first, second };
	struct kv_etcd_options options = { .base = base,
					   .endpoints = endpoints,
					   .n_endpoints = second ? 2 : 1,
					   .timeout_ms = timeout_ms };
	struct kv *client = kv_etcd_new(&options, NULL);

	ck_assert_ptr_nonnull(client);
	return client;
}

static void setup(void)
{
	child_start(&platform, "platform");
	base = event_base_new();
	kv = new_client(platform.address, NULL, TIMEOUT_MS);
	changes = g_string_new(NULL);
}

static void teardown(void)
{
	kv->ops->free(kv);
	event_base_free(base);
	child_stop(&platform);
	g_string_free(changes, TRUE);
	g_free(got.value);
}

static void on_txn(void *ctx G_GNUC_UNUSED, const struct kv_txn_result *result,
		   const GError *error)
{
	ck_assert(!result != !error);
	got.done = TRUE;
	got.code = error ? error->code : -1;
	got.succeeded = result && result->succeeded;
	got.revision = result ? result->revision : 0;
}

static void on_range(void *ctx G_GNUC_UNUSED, const GPtrArray *pairs,
		     gint64 revision, const GError *error)
{
	got.done = TRUE;
	got.code = error ? error->code : -1;
	got.revision = revision;
	got.n_pairs = pairs ? pairs->len : 0;
	if (got.n_pairs) {
		const struct kv_pair *pair = pairs->pdata[0];
		gsize len;
		const char *data = g_bytes_get_data(pair->value, &len);

		got.first = *pair;
		g_free(got.value);
		got.value = g_strndup(data ? data : "", len);
	}
}

/* Adds the keys to got.keys; got.more is as in the answer. */
static void on_page(void *ctx G_GNUC_UNUSED, const GPtrArray *pairs,
		    gboolean more, const GError *error)
{
	guint i;

	got.done = TRUE;
	got.code = error ? error->code : -1;
	got.more = more;
	for (i = 0; pairs && i < pairs->len; i++)
		g_ptr_array_add(
			got.keys,
			g_strdup(((struct kv_pair *)pairs->pdata[i])->key));
}

static void on_lease(void *ctx G_GNUC_UNUSED, gint64 lease, gint64 ttl_ms,
		     const GError *error)
{
	got.done = TRUE;
	got.code = error ? error->code : -1;
	got.lease = lease;
	got.ttl_ms = ttl_ms;
}

static void on_change(void *ctx G_GNUC_UNUSED, const struct kv_pair *pair,
		      const GError *error)
{
	if (!pair)
		g_string_append_printf(changes, "!%d", error->code);
	else if (!pair->value)
		g_string_append_printf(changes, "-%s ", pair->key);
	else
		g_string_append_printf(
			changes, "+%s=%.*s ", pair->key,
			(int)g_bytes_get_size(pair->value),
			(const char *)g_bytes_get_data(pair->value, NULL));
}

static void wait_for_answer(void)
{
	got.done = FALSE;
	while (!got.done)
		event_base_loop(base, EVLOOP_ONCE);
}

/* Puts key if its create revision is as given; returns got.code. */
static int put_if(struct kv *client, const char *key, const char *value,
		  gint64 create_revision, gint64 lease)
{
	struct kv_txn *txn = kv_txn_new();
	g_autoptr(GBytes) bytes = g_bytes_new(value, strlen(value));

	kv_txn_compare(txn, key, KV_COMPARE_CREATE_REVISION, create_revision);
	kv_txn_put(txn, key, bytes, lease);
	client->ops->txn(client, txn, on_txn, NULL);
	kv_txn_free(txn);
	wait_for_answer();
	return got.code;
}

static guint range(const char *prefix, gboolean exact)
{
	kv->ops->range(kv, prefix, exact, 0, on_range, NULL);
	wait_for_answer();
	ck_assert_int_eq(got.code, -1);
	return got.n_pairs;
}

static guint range_from(gint64 min_revision, guint64 *bytes)
{
	const struct kv_calls *calls = kv->ops->calls(kv);
	guint64 before = calls->bytes_read;

	kv->ops->range(kv, "radishpier/fence/", FALSE, min_revision, on_range,
		       NULL);
	wait_for_answer();
	ck_assert_int_eq(got.code, -1);
	*bytes = calls->bytes_read - before;
	return got.n_pairs;
}

static gint64 grant(gint64 ttl_ms)
{
	kv->ops->lease_grant(kv, ttl_ms, on_lease, NULL);
	wait_for_answer();
	ck_assert_int_eq(got.code, -1);
	ck_assert_int_eq(got.ttl_ms, ttl_ms);
	return got.lease;
}

static int keepalive(gint64 lease)
{
	kv->ops->lease_keepalive(kv, lease, on_lease, NULL);
	wait_for_answer();
	return got.code;
}

/*
 * Guards against two writers of one key that both succeed, since the comparison
 * with the create revision is not applied.
 */
START_TEST(test_compare_and_swap)
{
	struct kv_txn *txn = kv_txn_new();
	gint64 created;

	ck_assert_int_eq(put_if(kv, "a/1", "one", 0, 0), -1);
	ck_assert(got.succeeded);
	created = got.revision;
	ck_assert_int_eq(put_if(kv, "a/1", "two", 0, 0), -1);
	ck_assert(!got.succeeded);
	ck_assert_int_eq(put_if(kv, "a/1", "", created, 0), -1);
	ck_assert(got.succeeded);
	ck_assert_int_eq(put_if(kv, "a0", "x", 0, 0), -1);
	/* "a0" does not start with "a/", and the value of "a/1" is empty. */
	ck_assert_uint_eq(range("a/", FALSE), 1);
	ck_assert_str_eq(got.value, "");
	ck_assert_int_eq(got.first.create_revision, created);
	ck_assert_int_eq(got.first.mod_revision, created + 1);
	ck_assert_uint_eq(range("", FALSE), 2);
	ck_assert_uint_eq(range("a", TRUE), 0);
	kv_txn_compare(txn, "a0", KV_COMPARE_MOD_REVISION, created + 2);
	kv_txn_delete(txn, "a0");
	kv->ops->txn(kv, txn, on_txn, NULL);
	kv_txn_free(txn);
	wait_for_answer();
	ck_assert(got.succeeded);
	ck_assert_uint_eq(range("a0", TRUE), 0);
}
END_TEST

/*
 * Guards against a write that is reported as failed although it may have taken
 * effect: its answer was lost, so the outcome is unknown.
 */
START_TEST(test_lost_answer)
{
	struct kv *brief = new_client(platform.address, NULL, BRIEF_TIMEOUT_MS);

	child_fault(&platform, "{\"lose_answers\": 1}");
	ck_assert_int_eq(put_if(brief, "k", "v", 0, 0), KV_ERROR_UNKNOWN);
	ck_assert_uint_eq(range("k", TRUE), 1);
	child_fault(&platform, "{\"down\": true}");
	ck_assert_int_eq(put_if(brief, "l", "v", 0, 0), KV_ERROR_UNKNOWN);
	child_fault(&platform, "{\"down\": false}");
	ck_assert_uint_eq(range("l", TRUE), 0);
	child_fault(&platform, "{\"hang\": true}");
	ck_assert_int_eq(put_if(brief, "l", "v", 0, 0), KV_ERROR_UNKNOWN);
	child_fault(&platform, "{\"hang\": false, \"delay_ms\": 60000}");
	ck_assert_int_eq(put_if(brief, "m", "v", 0, 0), KV_ERROR_UNKNOWN);
	child_fault(&platform, "{\"delay_ms\": 0}");
	ck_assert_uint_eq(range("m", TRUE), 1);
	ck_assert_uint_eq(brief->ops->calls(brief)->failures, 4);
	brief->ops->free(brief);
}
END_TEST

/*
 * Guards against an unknown outcome of a call that was not sent, and against
 * keeping an endpoint that refuses connections.
 */
START_TEST(test_refused)
{
	char closed[32];
	struct kv *client;

	child_closed_address(closed, sizeof(closed));
	client = new_client(closed, NULL, TIMEOUT_MS);
	ck_assert_int_eq(put_if(client, "k", "v", 0, 0), KV_ERROR_UNAVAILABLE);
	ck_assert_uint_eq(client->ops->calls(client)->txns, 0);
	client->ops->free(client);
	client = new_client(closed, platform.address, TIMEOUT_MS);
	ck_assert_int_eq(put_if(client, "k", "v", 0, 0), -1);
	ck_assert(got.succeeded);
	client->ops->free(client);
}
END_TEST

/*
 * Guards against an owner that is not notified of the loss of its lease, and
 * against keys that outlive their lease.
 */
START_TEST(test_lease)
{
	gint64 lease = grant(LEASE_MS);

	ck_assert_int_eq(put_if(kv, "claim", "me", 0, lease), -1);
	ck_assert_int_eq(keepalive(lease), -1);
	ck_assert_uint_eq(range("claim", TRUE), 1);
	ck_assert_int_eq(got.first.lease, lease);
	child_fault(&platform, "{\"expire_leases\": true}");
	ck_assert_uint_eq(range("claim", TRUE), 0);
	ck_assert_int_eq(keepalive(lease), KV_ERROR_NO_LEASE);
	ck_assert_int_eq(put_if(kv, "claim", "me", 0, lease),
			 KV_ERROR_NO_LEASE);
	lease = grant(LEASE_MS);
	ck_assert_int_eq(put_if(kv, "claim", "me", 0, lease), -1);
	kv->ops->lease_revoke(kv, lease, on_lease, NULL);
	wait_for_answer();
	ck_assert_int_eq(got.code, -1);
	ck_assert_uint_eq(range("claim", TRUE), 0);
	/* A lease that is not renewed expires. */
	put_if(kv, "claim", "me", 0, grant(1000));
	while (range("claim", TRUE))
		g_usleep(20000);
}
END_TEST

static void expect_changes(const char *expected)
{
	while (changes->len < strlen(expected))
		event_base_loop(base, EVLOOP_ONCE);
	ck_assert_str_eq(changes->str, expected);
}

/* Guards against missing a change between a range read and the watch. */
START_TEST(test_watch)
{
	struct kv_watch *watch;

	put_if(kv, "t/a", "1", 0, 0);
	range("t/", FALSE);
	put_if(kv, "t/b", "2", 0, 0);
	watch = kv->ops->watch(kv, "t/", got.revision - 1, on_change, NULL);
	expect_changes("+t/b=2 ");
	put_if(kv, "other", "3", 0, 0);
	put_if(kv, "t/c", "3", 0, grant(LEASE_MS));
	expect_changes("+t/b=2 +t/c=3 ");
	child_fault(&platform, "{\"expire_leases\": true}");
	expect_changes("+t/b=2 +t/c=3 -t/c ");
	kv->ops->watch_cancel(kv, watch);
	put_if(kv, "t/d", "4", 0, 0);
	ck_assert_uint_eq(range("t/", FALSE), 3);
	ck_assert_str_eq(changes->str, "+t/b=2 +t/c=3 -t/c ");
}
END_TEST

/*
 * Guards against a watch that ends without a report, so that its owner misses
 * all later changes.
 */
START_TEST(test_watch_end)
{
	g_autofree char *end = g_strdup_printf("!%d", KV_ERROR_UNKNOWN);
	struct kv *brief = new_client(platform.address, NULL, BRIEF_TIMEOUT_MS);

	kv->ops->watch(kv, "t/", 0, on_change, NULL);
	/* The watch is confirmed before this is answered, or with it. */
	put_if(kv, "t/a", "1", 0, 0);
	while (!changes->len)
		event_base_loop(base, EVLOOP_ONCE);
	g_string_truncate(changes, 0);
	child_fault(&platform, "{\"down\": true}");
	expect_changes(end);
	/* It also ends if the store never answers. */
	child_fault(&platform, "{\"down\": false, \"hang\": true}");
	g_string_truncate(changes, 0);
	brief->ops->watch(brief, "t/", 0, on_change, NULL);
	expect_changes(end);
	brief->ops->free(brief);
}
END_TEST

static void put_fences(unsigned first, unsigned end)
{
	g_autoptr(GBytes) value = g_bytes_new("1", 1);
	char key[48];

	while (first < end) {
		struct kv_txn *txn = kv_txn_new();

		for (; first < end && txn->ops->len < KV_MAX_TXN_OPS; first++) {
			g_snprintf(key, sizeof(key), "radishpier/fence/vm-%05u",
				   first);
			kv_txn_put(txn, key, value, 0);
		}
		kv->ops->txn(kv, txn, on_txn, NULL);
		kv_txn_free(txn);
		wait_for_answer();
		ck_assert(got.succeeded);
	}
}

/*
 * Guards against a read of changes that omits one, or whose size grows with the
 * number of unchanged keys.
 */
START_TEST(test_read_of_changes)
{
	static const unsigned counts[] = { 100, 1000, 10000 };
	guint64 all, none, one;
	gint64 revision;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		put_fences(i ? counts[i - 1] : 0, counts[i]);
		ck_assert_uint_eq(range_from(0, &all), counts[i]);
		revision = got.revision;
		ck_assert_uint_eq(range_from(revision + 1, &none), 0);
		ck_assert_int_eq(got.revision, revision);
		put_fences(0, 1);
		ck_assert_uint_eq(range_from(revision + 1, &one), 1);
		ck_assert_int_eq(got.first.mod_revision, revision + 1);
		ck_assert_uint_lt(one, 300);
		printf("%u fences: whole read %" G_GUINT64_FORMAT
		       " bytes, no change %" G_GUINT64_FORMAT
		       ", one change %" G_GUINT64_FORMAT "\n",
		       counts[i], all, none, one);
	}
}
END_TEST

/* Guards against keys that are left out, or read twice, where a page ends. */
START_TEST(test_pages)
{
	guint i;

	got.keys = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < 40; i++) {
		g_autofree char *key = g_strdup_printf("page/%02u", i);

		ck_assert_int_eq(put_if(kv, key, "v", 0, 0), -1);
	}
	do {
		const char *after =
			got.keys->len
				? g_ptr_array_index(got.keys, got.keys->len - 1)
				: NULL;

		kv->ops->range_page(kv, "page/", after, on_page, NULL);
		wait_for_answer();
		ck_assert_int_eq(got.code, -1);
		ck_assert(!got.more || got.keys->len < 40);
	} while (got.more);
	ck_assert_uint_eq(got.keys->len, 40);
	for (i = 0; i < 40; i++) {
		g_autofree char *key = g_strdup_printf("page/%02u", i);

		ck_assert_str_eq(got.keys->pdata[i], key);
	}
	g_ptr_array_unref(got.keys);
}
END_TEST

/* Guards against counts of calls that differ from those of the store. */
START_TEST(test_counts)
{
	const struct kv_calls *calls = kv->ops->calls(kv);
	g_autofree char *counted = NULL;
	gint64 lease = grant(LEASE_MS);

	put_if(kv, "a", "1", 0, lease);
	put_if(kv, "a", "1", 0, lease);
	range("a", TRUE);
	keepalive(lease);
	counted = child_get(&platform, "/calls");
	ck_assert_ptr_nonnull(strstr(counted, "\"txn\":2,\"range\":1,"
					      "\"lease_grant\":1,"
					      "\"lease_keepalive\":1,"));
	ck_assert_uint_eq(calls->txns, 2);
	ck_assert_uint_eq(calls->ranges, 1);
	ck_assert_uint_eq(calls->lease_grants, 1);
	ck_assert_uint_eq(calls->lease_keepalives, 1);
	ck_assert_uint_gt(calls->bytes_written, 0);
	ck_assert_uint_gt(calls->bytes_read, 0);
}
END_TEST

/* Guards against sending a transaction that exceeds the store's limits. */
START_TEST(test_limits)
{
	g_autofree char *large = g_strnfill(KV_MAX_VALUE_BYTES + 1, 'x');
	int i;
	struct kv_txn *txn = kv_txn_new();

	ck_assert_int_eq(put_if(kv, "k", large, 0, 0), KV_ERROR_PROTOCOL);
	large[KV_MAX_VALUE_BYTES] = '\0';
	ck_assert_int_eq(put_if(kv, "k", large, 0, 0), -1);
	ck_assert_uint_eq(range("k", TRUE), 1);
	ck_assert_uint_eq(strlen(got.value), KV_MAX_VALUE_BYTES);
	for (i = 0; i <= KV_MAX_TXN_OPS; i++)
		kv_txn_delete(txn, "k");
	kv->ops->txn(kv, txn, on_txn, NULL);
	kv_txn_free(txn);
	wait_for_answer();
	ck_assert_int_eq(got.code, KV_ERROR_PROTOCOL);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("kv");
	TCase *tcase = tcase_create("kv");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_compare_and_swap);
	tcase_add_test(tcase, test_lost_answer);
	tcase_add_test(tcase, test_refused);
	tcase_add_test(tcase, test_lease);
	tcase_add_test(tcase, test_watch);
	tcase_add_test(tcase, test_watch_end);
	tcase_add_test(tcase, test_read_of_changes);
	tcase_add_test(tcase, test_pages);
	tcase_add_test(tcase, test_counts);
	tcase_add_test(tcase, test_limits);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
