#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "jobs/jobs.h"
#include "wire/wire.h"
#include "tests/fixture.h"

/* Longer than the shortest interval of reads and than the retry delay. */
#define STEP_MS 2000

static struct job *job;
static GArray *effects;
static gint64 now;
static guint64 sequence;
/* Last read of the fences and of the claims, or 0. */
static guint64 read_id, claims_id;
/* Lowest revision that the last read of the fences asks for. */
static gint64 read_from;
/* Highest fenced session in the last grant; -1 without a grant. */
static gint64 granted;
static unsigned warnings;

static void feed(struct job_event *ev)
{
	guint i;

	ev->now_ms = now;
	g_array_set_size(effects, 0);
	job_reduce(job, ev, effects);
	for (i = 0; i < effects->len; i++) {
		struct job_effect *fx = &g_array_index(effects,
						       struct job_effect, i);

		if (fx->kind == JOB_FX_RANGE &&
		    g_str_equal(fx->range.prefix, "radishpier/fence/")) {
			read_id = fx->range.id;
			read_from = fx->range.min_revision;
		} else if (fx->kind == JOB_FX_RANGE &&
			   g_str_equal(fx->range.prefix, "radishpier/shard/")) {
			claims_id = fx->range.id;
		} else if (fx->kind == JOB_FX_SEND &&
			   fx->send.frame->body_case == RP__FRAME__BODY_GRANT) {
			granted = (gint64)fx->send.frame->grant->fenced_session;
		} else if (fx->kind == JOB_FX_LOG &&
			   fx->log.level == G_LOG_LEVEL_WARNING) {
			warnings++;
		}
	}
}

static void send_frame(struct Rp__Frame *frame)
{
	struct job_event ev = { .kind = JOB_EV_AGENT_FRAME };

	ev.agent_frame.conn = 1;
	ev.agent_frame.frame = frame;
	feed(&ev);
	wire_frame_free(frame);
}

/* Sends a grant request and expects a read that starts at the revision. */
static void send_request(gint64 from)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_GRANT_REQUEST);
	struct job_event tick = { .kind = JOB_EV_TICK };

	frame->grant_request->sequence = ++sequence;
	read_id = 0;
	granted = -1;
	send_frame(frame);
	now += STEP_MS;
	feed(&tick);
	ck_assert_uint_ne(read_id, 0);
	ck_assert_int_eq(read_from, from);
}

/* Answers a read; with a fence of vm-a if session is not NULL. */
static void answer(guint64 id, enum job_kv_status status, gint64 revision,
		   const char *session, gint64 mod_revision)
{
	struct job_event ev = { .kind = JOB_EV_RANGE };
	g_autoptr(GPtrArray) pairs = g_ptr_array_new();
	struct kv_pair pair = { .key = (char *)"radishpier/fence/vm-a",
				.mod_revision = mod_revision };

	if (session) {
		pair.value = g_bytes_new(session, strlen(session));
		g_ptr_array_add(pairs, &pair);
	}
	ev.range.id = id;
	ev.range.status = status;
	ev.range.pairs = pairs;
	ev.range.revision = revision;
	feed(&ev);
	g_clear_pointer(&pair.value, g_bytes_unref);
}

/* Gives the entry a lease and expects a read of the claims to be sent. */
static void start_claims_read(void)
{
	struct job_event ev = { .kind = JOB_EV_LEASE };

	ev.lease.lease = 1;
	feed(&ev);
	now += STEP_MS;
	ev.kind = JOB_EV_TICK;
	feed(&ev);
	ck_assert_uint_ne(claims_id, 0);
}

static void setup(void)
{
	struct job_options options = { .entry_id = "entry-1", .seed = 1 };
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_HELLO);

	job = job_new(&options);
	effects = job_effects_new();
	wire_set_string(&frame->hello->vm, "vm-a");
	frame->hello->capacity = wire_resources_dup(NULL);
	send_frame(frame);
}

static void teardown(void)
{
	g_array_unref(effects);
	job_free(job);
}

/*
 * A read of the fences must start after the last read of them, and not after a
 * higher revision in the answer to another call, here a read of the claims: a
 * fence written in between would be missed. Grants keep the fences of earlier
 * reads.
 */
START_TEST(test_read_start_revision)
{
	send_request(0);
	answer(read_id, JOB_KV_OK, 10, "1", 7);
	ck_assert_int_eq(granted, 1);
	send_request(11);
	start_claims_read();
	answer(claims_id, JOB_KV_OK, 30, NULL, 0);
	answer(read_id, JOB_KV_OK, 20, NULL, 0);
	ck_assert_int_eq(granted, 1);
	send_request(21);
	answer(read_id, JOB_KV_OK, 31, "2", 25);
	ck_assert_int_eq(granted, 2);
}
END_TEST

/*
 * Guards against a grant after a failed read, and against a next read that
 * skips the changes that the failed one should have returned.
 */
START_TEST(test_failed_read)
{
	send_request(0);
	answer(read_id, JOB_KV_UNKNOWN, 10, NULL, 0);
	ck_assert_int_eq(granted, -1);
	send_request(0);
	answer(read_id, JOB_KV_OK, 10, "1", 7);
	send_request(11);
	answer(read_id, JOB_KV_UNAVAILABLE, 0, NULL, 0);
	send_request(11);
	/* A late second answer to the failed read. */
	answer(read_id - 1, JOB_KV_OK, 90, NULL, 0);
	ck_assert_int_eq(granted, -1);
	answer(read_id, JOB_KV_OK, 12, NULL, 0);
	ck_assert_int_eq(granted, 1);
	send_request(13);
}
END_TEST

/*
 * Guards against missed fences after a restore of the store from an older
 * backup: revisions continue at a lower number, so a read that starts after the
 * old revision misses new fences. Fences known before the restore must stay in
 * force.
 */
START_TEST(test_store_restored)
{
	send_request(0);
	answer(read_id, JOB_KV_OK, 50, "4", 40);
	send_request(51);
	answer(read_id, JOB_KV_OK, 30, NULL, 0);
	ck_assert_int_eq(granted, -1);
	ck_assert_uint_eq(warnings, 1);
	send_request(0);
	answer(read_id, JOB_KV_OK, 31, "3", 20);
	ck_assert_int_eq(granted, 4);
	send_request(32);
	answer(read_id, JOB_KV_OK, 33, "5", 33);
	ck_assert_int_eq(granted, 5);
	ck_assert_uint_eq(warnings, 1);
}
END_TEST

/*
 * A restore must be noticed by a lower revision in the answer to any call,
 * since the store may have passed the old revision by the next read of the
 * fences.
 */
START_TEST(test_restore_seen_by_other_call)
{
	send_request(0);
	answer(read_id, JOB_KV_OK, 50, NULL, 0);
	start_claims_read();
	send_request(51);
	answer(claims_id, JOB_KV_OK, 45, NULL, 0);
	ck_assert_uint_eq(warnings, 1);
	answer(read_id, JOB_KV_OK, 60, NULL, 0);
	ck_assert_int_eq(granted, -1);
	send_request(0);
	answer(read_id, JOB_KV_OK, 61, "1", 46);
	ck_assert_int_eq(granted, 1);
	ck_assert_uint_eq(warnings, 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("fence");
	TCase *tcase = tcase_create("fence");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_read_start_revision);
	tcase_add_test(tcase, test_failed_read);
	tcase_add_test(tcase, test_store_restored);
	tcase_add_test(tcase, test_restore_seen_by_other_call);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
