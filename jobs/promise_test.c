#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "jobs/jobs.h"
#include "tests/fixture.h"
#include "wire/wire.h"

#define OTHER_CONN 50
#define WAIT_MS (JOB_PROMISE_MAX_OUTAGE_MS + JOB_PROMISE_MAX_OUTAGE_MS / 50)

/* One entry, e1, beside a member whose key and frames the test makes up. */
static struct job *job;
static gint64 now;
static gint64 revision;
static gboolean down;
static GHashTable *store;
static gboolean hold_fences;
/* Reads of these keys fail; or NULL. */
static const char *failing_prefix;
static guint64 fence_id;
static struct Rp__Frame *last_told, *last_reply, *last_request;
static gint64 granted;

static void pair_free(gpointer data)
{
	kv_pair_free(data);
}

static void put(const char *key, GBytes *value)
{
	struct kv_pair *pair = g_hash_table_lookup(store, key);

	revision++;
	if (!pair) {
		pair = g_new0(struct kv_pair, 1);
		pair->key = g_strdup(key);
		pair->create_revision = revision;
		g_hash_table_insert(store, pair->key, pair);
	}
	if (pair->value)
		g_bytes_unref(pair->value);
	pair->value = g_bytes_ref(value);
	pair->mod_revision = revision;
}

static void put_member(const char *id, const char *instance, const char *boot)
{
	g_autofree char *key = g_strconcat("radishpier/member/", id, "/",
					   instance, NULL);
	g_autofree char *text = g_strdup_printf(
		"{\"boot_id\":\"%s\",\"agent_address\":\"a:1\"}", boot);
	g_autoptr(GBytes) value = g_bytes_new(text, strlen(text));

	put(key, value);
}

/* The entry's key in the store, or NULL. */
static const struct kv_pair *member_of(const char *id)
{
	g_autofree char *prefix = g_strconcat("radishpier/member/", id, "/",
					      NULL);
	GHashTableIter iter;
	struct kv_pair *pair;

	g_hash_table_iter_init(&iter, store);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pair))
		if (g_str_has_prefix(pair->key, prefix))
			return pair;
	return NULL;
}

static gint64 created(const char *id)
{
	const struct kv_pair *pair = member_of(id);

	return pair ? pair->create_revision : 0;
}

static gint64 modified(const char *id)
{
	const struct kv_pair *pair = member_of(id);

	return pair ? pair->mod_revision : 0;
}

static void remove_member(const char *id)
{
	g_hash_table_remove(store, member_of(id)->key);
}

static gboolean holds(const struct kv_txn *txn)
{
	guint i;

	for (i = 0; i < txn->compares->len; i++) {
		struct kv_compare *compare =
			&g_array_index(txn->compares, struct kv_compare, i);
		const struct kv_pair *pair = g_hash_table_lookup(store,
								 compare->key);
		gint64 found = 0;

		if (pair)
			found = compare->target == KV_COMPARE_MOD_REVISION
					? pair->mod_revision
					: pair->create_revision;
		if (found != compare->revision)
			return FALSE;
	}
	return TRUE;
}

static void apply(const struct kv_txn *txn)
{
	guint i;

	for (i = 0; i < txn->ops->len; i++) {
		struct kv_op *op = &g_array_index(txn->ops, struct kv_op, i);

		if (op->kind == KV_OP_PUT) {
			put(op->key, op->value);
			((struct kv_pair *)g_hash_table_lookup(store, op->key))
				->lease = op->lease;
			continue;
		}
		revision++;
		g_hash_table_remove(store, op->key);
	}
}

static void feed(struct job_event *ev);

static void run_txn(const struct job_effect *fx)
{
	const struct kv_op *op = &g_array_index(fx->txn.txn->ops, struct kv_op,
						0);
	gboolean fence = g_str_has_prefix(op->key, "radishpier/fence/");
	struct job_event ev = { .kind = JOB_EV_TXN };

	ev.txn.id = fx->txn.id;
	ev.txn.status = JOB_KV_UNAVAILABLE;
	if (fence && hold_fences) {
		fence_id = fx->txn.id;
		return;
	}
	if (!down && holds(fx->txn.txn)) {
		apply(fx->txn.txn);
		ev.txn.status = JOB_KV_OK;
	} else if (!down) {
		ev.txn.status = JOB_KV_CONFLICT;
	}
	ev.txn.revision = revision;
	feed(&ev);
}

static void run_range(const struct job_effect *fx)
{
	g_autoptr(GPtrArray) pairs = g_ptr_array_new();
	struct job_event ev = { .kind = JOB_EV_RANGE };
	GHashTableIter iter;
	struct kv_pair *pair;

	g_hash_table_iter_init(&iter, store);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pair))
		if (g_str_has_prefix(pair->key, fx->range.prefix) &&
		    pair->mod_revision >= fx->range.min_revision)
			g_ptr_array_add(pairs, pair);
	ev.range.id = fx->range.id;
	ev.range.status = JOB_KV_OK;
	if (down || !g_strcmp0(fx->range.prefix, failing_prefix))
		ev.range.status = JOB_KV_UNAVAILABLE;
	ev.range.pairs = pairs;
	ev.range.revision = revision;
	feed(&ev);
}

static void keep(struct Rp__Frame **last, const struct Rp__Frame *frame)
{
	wire_frame_free(*last);
	*last = wire_frame_dup(frame);
}

static void run_send(const struct Rp__Frame *frame)
{
	if (frame->body_case == RP__FRAME__BODY_MEMBERS)
		keep(&last_told, frame);
	else if (frame->body_case == RP__FRAME__BODY_PROMISE_REPLY)
		keep(&last_reply, frame);
	else if (frame->body_case == RP__FRAME__BODY_PROMISE_REQUEST)
		keep(&last_request, frame);
	else if (frame->body_case == RP__FRAME__BODY_GRANT)
		granted = (gint64)frame->grant->fenced_session;
}

static void feed(struct job_event *ev)
{
	GArray *effects = job_effects_new();
	guint i;

	ev->now_ms = now;
	job_reduce(job, ev, effects);
	for (i = 0; i < effects->len; i++) {
		struct job_effect *fx = &g_array_index(effects,
						       struct job_effect, i);

		if (fx->kind == JOB_FX_TXN)
			run_txn(fx);
		else if (fx->kind == JOB_FX_RANGE)
			run_range(fx);
		else if (fx->kind == JOB_FX_SEND)
			run_send(fx->send.frame);
	}
	g_array_unref(effects);
}

static void run(gint64 ms)
{
	gint64 end = now + ms;

	while (now < end) {
		struct job_event tick = { .kind = JOB_EV_TICK };

		now += MIN(200, end - now);
		feed(&tick);
	}
}

static void register_entries(const char *second)
{
	const char *ids[] = { "e1", second };
	struct job_event ev = { .kind = JOB_EV_ENTRIES };

	ev.entries.ids = ids;
	ev.entries.n = second ? 2 : 1;
	feed(&ev);
}

/* Frame of the other entry; freed here. */
static void other_says(struct Rp__Frame *frame)
{
	struct job_event ev = { .kind = JOB_EV_PEER_FRAME };

	ev.peer.id = "e0";
	ev.peer.conn = OTHER_CONN;
	ev.peer.frame = frame;
	feed(&ev);
	wire_frame_free(frame);
}

static void connect_other(guint64 conn)
{
	struct job_event ev = { .kind = JOB_EV_PEER };

	ev.peer.id = "e0";
	ev.peer.conn = conn;
	feed(&ev);
}

static struct Rp__Member **member_list(size_t *n)
{
	static const char *const ids[] = { "e0", "e1" };
	struct Rp__Member **list = g_new0(struct Rp__Member *, 2);
	unsigned i;

	for (i = 0; i < 2; i++) {
		if (!created(ids[i]))
			continue;
		list[*n] = g_new(struct Rp__Member, 1);
		rp__member__init(list[*n]);
		wire_set_string(&list[*n]->entry_id, ids[i]);
		list[(*n)++]->create_revision = (guint64)created(ids[i]);
	}
	return list;
}

/* The other entry tells the set as the store has it. */
static void other_confirms(const char *instance)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_MEMBERS);

	wire_set_string(&frame->members->instance, instance);
	frame->members->members = member_list(&frame->members->n_members);
	other_says(frame);
}

/* Asks for a promise and returns the refusal. */
static Rp__PromiseRefusal ask_promise(void)
{
	struct Rp__Frame *frame =
		wire_frame_new(RP__FRAME__BODY_PROMISE_REQUEST);
	struct Rp__PromiseRequest *request = frame->promise_request;

	request->id = 1;
	request->members = member_list(&request->n_members);
	other_says(frame);
	return last_reply->promise_reply->refusal;
}

static void agent_says(struct Rp__Frame *frame)
{
	struct job_event ev = { .kind = JOB_EV_AGENT_FRAME };

	ev.agent_frame.conn = 1;
	ev.agent_frame.frame = frame;
	feed(&ev);
	wire_frame_free(frame);
}

static void ask_grant(void)
{
	static guint64 sequence;
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_GRANT_REQUEST);

	frame->grant_request->sequence = ++sequence;
	granted = -1;
	agent_says(frame);
}

static void start(const char *boot)
{
	struct job_options options = { .entry_id = "e1",
				       .seed = 1,
				       .instance = "i1",
				       .boot_id = boot,
				       .agent_address = "a:1" };

	job = job_new(&options);
	register_entries("e0");
}

static gboolean is_full(void)
{
	g_autoptr(GString) text = g_string_new(NULL);

	job_promise_status_json(job, text);
	return strstr(text->str, "\"full\":true") != NULL;
}

/* e0 is a member; e1 joins and is confirmed; vm-a is connected to e1. */
static void setup(void)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_HELLO);

	now = 1000;
	revision = 10;
	down = FALSE;
	hold_fences = FALSE;
	failing_prefix = NULL;
	fence_id = 0;
	store = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pair_free);
	put_member("e0", "i0", "boot-0");
	start("boot-1");
	connect_other(OTHER_CONN);
	run(1000);
	ck_assert(!is_full());
	other_confirms("i0");
	run(1000);
	wire_set_string(&frame->hello->vm, "vm-a");
	frame->hello->capacity = wire_resources_dup(NULL);
	agent_says(frame);
	ask_grant();
	run(1000);
	ck_assert_int_eq(granted, 0);
}

static void teardown(void)
{
	job_free(job);
	g_hash_table_unref(store);
	g_clear_pointer(&last_told, wire_frame_free);
	g_clear_pointer(&last_reply, wire_frame_free);
	g_clear_pointer(&last_request, wire_frame_free);
}

/* Guards against an entry that fences before each older one knows it. */
START_TEST(test_joining)
{
	ck_assert(is_full());
	ck_assert_uint_eq(last_told->members->n_members, 2);
	/* Another process under the old id confirms nothing for the old one. */
	teardown();
	now = 1000;
	store = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pair_free);
	put_member("e0", "i0", "boot-0");
	start("boot-1");
	connect_other(OTHER_CONN);
	run(1000);
	other_confirms("i9");
	run(1000);
	ck_assert(!is_full());
}
END_TEST

/*
 * Guards against an entry that never becomes full because it was confirmed
 * before it had read its own key.
 */
START_TEST(test_confirmed_early)
{
	teardown();
	now = 1000;
	store = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pair_free);
	put_member("e0", "i0", "boot-0");
	failing_prefix = "radishpier/member/";
	start("boot-1");
	connect_other(OTHER_CONN);
	run(1000);
	ck_assert_int_ne(created("e1"), 0);
	other_confirms("i0");
	failing_prefix = NULL;
	run(1000);
	ck_assert(is_full());
}
END_TEST

/* Guards against a promise while grants can be read, which delays fences. */
START_TEST(test_refused_platform_up)
{
	ck_assert_int_eq(ask_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_PLATFORM_UP);
	down = TRUE;
	/* The request makes the entry try a read. */
	ask_promise();
	run(1000);
	ck_assert_int_eq(ask_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_NONE);
}
END_TEST

/* Guards against a promise to an entry that does not know all members. */
START_TEST(test_refused_members)
{
	down = TRUE;
	run(1000);
	remove_member("e0");
	ck_assert_int_eq(ask_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_MEMBERS);
}
END_TEST

/* Guards against a promise that does not tell a fence of a removed member. */
START_TEST(test_refused_fences_unread)
{
	remove_member("e0");
	put_member("e0", "i2", "boot-0");
	failing_prefix = "radishpier/fence/";
	other_confirms("i2");
	run(2000);
	ck_assert_uint_eq(last_told->members->members[0]->create_revision,
			  (guint64)created("e0"));
	ck_assert_int_eq(ask_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_FENCES_UNREAD);
	failing_prefix = NULL;
	run(2000);
	down = TRUE;
	ask_promise();
	run(1000);
	ck_assert_int_eq(ask_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_NONE);
}
END_TEST

/* Guards against a promise by an entry that leaves, and a key left behind. */
START_TEST(test_drain)
{
	struct job_event ev = { .kind = JOB_EV_DRAIN };

	feed(&ev);
	ck_assert_int_eq(ask_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_DRAINING);
	run(3000);
	ck_assert_int_eq(created("e1"), 0);
	ck_assert_int_ne(created("e0"), 0);
}
END_TEST

/* Makes e1 the owner of a job on a VM that nobody is connected to. */
static void lose_vm(void)
{
	struct Rp__JobRecord record = RP__JOB_RECORD__INIT;
	struct job_event ev = { .kind = JOB_EV_LEASE };
	g_autofree char *key = g_strdup_printf("radishpier/job/%02u/job-1",
					       job_shard("job-1"));
	g_autoptr(GBytes) value = NULL;
	uint8_t packed[256];

	record.job_id = (char *)"job-1";
	record.state = RP__JOB_STATE__JOB_STATE_RUNNING;
	record.attempt = 1;
	record.vm = (char *)"vm-b";
	record.session = 1;
	value = g_bytes_new(packed, rp__job_record__pack(&record, packed));
	put(key, value);
	register_entries(NULL);
	ev.lease.lease = 1;
	feed(&ev);
}

/* Guards against a promise while a fence that it does not name may follow. */
START_TEST(test_refused_fence)
{
	struct job_event ev = { .kind = JOB_EV_TXN };
	gint64 own;

	lose_vm();
	hold_fences = TRUE;
	run(20000);
	ck_assert_uint_ne(fence_id, 0);
	down = TRUE;
	ask_promise();
	run(1000);
	ck_assert_int_eq(ask_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_FENCE_SENT);
	ev.txn.id = fence_id;
	ev.txn.status = JOB_KV_UNKNOWN;
	feed(&ev);
	run(1000);
	ck_assert_int_eq(ask_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_FENCE_UNKNOWN);
	/* Its key is rewritten before it sends another fence. */
	own = modified("e1");
	fence_id = 0;
	down = FALSE;
	run(2000);
	ck_assert_uint_ne(fence_id, 0);
	ck_assert_int_gt(modified("e1"), own);
}
END_TEST

/* Guards against a fence that is sent during a promise. */
START_TEST(test_promise_kept)
{
	gint64 until;

	lose_vm();
	hold_fences = TRUE;
	run(5000);
	down = TRUE;
	ask_promise();
	run(1000);
	ck_assert_int_eq(ask_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_NONE);
	until = now + JOB_FENCE_WAIT_MS;
	down = FALSE;
	run(until - now - 200);
	ck_assert_uint_eq(fence_id, 0);
	run(2000);
	ck_assert_uint_ne(fence_id, 0);
}
END_TEST

static void other_answers(Rp__PromiseRefusal refusal)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_PROMISE_REPLY);
	struct Rp__PromiseReply *reply = frame->promise_reply;

	ck_assert_ptr_nonnull(last_request);
	reply->id = last_request->promise_request->id;
	reply->refusal = refusal;
	if (!refusal) {
		reply->fences = g_new0(struct Rp__Fence *, 1);
		reply->fences[0] = g_new(struct Rp__Fence, 1);
		rp__fence__init(reply->fences[0]);
		wire_set_string(&reply->fences[0]->vm, "vm-a");
		reply->fences[0]->session = 3;
		reply->fences[0]->revision = 90;
		reply->n_fences = 1;
	}
	other_says(frame);
}

/*
 * Guards against a grant without a promise of each member, for a request that
 * came after the promises were asked for, or without a fence that one knows.
 */
START_TEST(test_all_must_promise)
{
	down = TRUE;
	ask_grant();
	run(12000);
	ck_assert_int_eq(granted, -1);
	other_answers(RP__PROMISE_REFUSAL__PROMISE_REFUSAL_PLATFORM_UP);
	ck_assert_int_eq(granted, -1);
	run(1200);
	other_answers(RP__PROMISE_REFUSAL__PROMISE_REFUSAL_NONE);
	ck_assert_int_eq(granted, 3);
	ask_grant();
	other_answers(RP__PROMISE_REFUSAL__PROMISE_REFUSAL_NONE);
	ck_assert_int_eq(granted, -1);
	/* A member that is not connected gives no promise. */
	connect_other(0);
	g_clear_pointer(&last_request, wire_frame_free);
	run(3000);
	ck_assert_ptr_null(last_request);
}
END_TEST

/* Guards against promises gathered with a set of members that is too old. */
START_TEST(test_set_too_old)
{
	down = TRUE;
	run(JOB_PROMISE_MAX_OUTAGE_MS - 60000);
	ask_grant();
	run(2000);
	ck_assert_ptr_nonnull(last_request);
	g_clear_pointer(&last_request, wire_frame_free);
	run(60000);
	g_clear_pointer(&last_request, wire_frame_free);
	ask_grant();
	run(5000);
	ck_assert_ptr_null(last_request);
}
END_TEST

/* Guards against members that stay for ever, or go while they live. */
START_TEST(test_removal)
{
	connect_other(0);
	run(20000);
	ck_assert_int_ne(created("e0"), 0);
	register_entries(NULL);
	run(9000);
	ck_assert_int_ne(created("e0"), 0);
	run(3000);
	ck_assert_int_eq(created("e0"), 0);
}
END_TEST

/* Guards against an entry that fences on after its key was removed. */
START_TEST(test_joins_again)
{
	gint64 before = created("e1");

	remove_member("e1");
	revision++;
	run(35000);
	ck_assert_int_gt(created("e1"), before);
	ck_assert(!is_full());
	other_confirms("i0");
	ck_assert(is_full());
}
END_TEST

/* Guards against a new entry that fences beside a lost one too early. */
START_TEST(test_waits_for_lost_members)
{
	teardown();
	now = 1000;
	store = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pair_free);
	put_member("e0", "i0", "boot-0");
	start("boot-1");
	register_entries(NULL);
	run(WAIT_MS - 2000);
	ck_assert(!is_full());
	ck_assert_int_ne(created("e0"), 0);
	run(5000);
	ck_assert_int_eq(created("e0"), 0);
	ck_assert(is_full());
}
END_TEST

/*
 * Guards against a restarted entry that fences beside its earlier process,
 * which may live if the VM is another one, or that can never fence again.
 */
START_TEST(test_earlier_process)
{
	static const char earlier[] = "radishpier/member/e1/i0";
	const char *boots[] = { "boot-1", "boot-2" };

	teardown();
	now = 1000;
	store = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pair_free);
	put_member("e1", "i0", "boot-1");
	start(boots[_i]);
	run(60000);
	ck_assert(g_hash_table_contains(store, "radishpier/member/e1/i1"));
	ck_assert(g_hash_table_contains(store, earlier) == (_i == 1));
	ck_assert_int_eq(is_full(), _i == 0);
	run(WAIT_MS - 62000);
	ck_assert_int_eq(is_full(), _i == 0);
	run(5000);
	ck_assert(!g_hash_table_contains(store, earlier));
	ck_assert(is_full());
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("promise");
	TCase *tcase = tcase_create("promise");

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_joining);
	tcase_add_test(tcase, test_confirmed_early);
	tcase_add_test(tcase, test_refused_platform_up);
	tcase_add_test(tcase, test_refused_members);
	tcase_add_test(tcase, test_refused_fences_unread);
	tcase_add_test(tcase, test_refused_fence);
	tcase_add_test(tcase, test_promise_kept);
	tcase_add_test(tcase, test_drain);
	tcase_add_test(tcase, test_all_must_promise);
	tcase_add_test(tcase, test_set_too_old);
	tcase_add_test(tcase, test_removal);
	tcase_add_test(tcase, test_joins_again);
	tcase_add_test(tcase, test_waits_for_lost_members);
	tcase_add_loop_test(tcase, test_earlier_process, 0, 2);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
