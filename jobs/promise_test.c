#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "jobs/jobs.h"
#include "tests/fixture.h"
#include "wire/wire.h"

/* Connection to the other entry, e0. */
#define OTHER_CONN 50
/* A new entry waits this time for older members that do not confirm it. */
#define WAIT_MS (JOB_PROMISE_MAX_OUTAGE_MS + JOB_PROMISE_MAX_OUTAGE_MS / 50)

/* Entry e1 under test; the test supplies the key and the frames of e0. */
static struct job *job;
static gint64 now;
static gint64 revision;
static gboolean down;
/* Key to struct kv_pair. */
static GHashTable *store;
/* Transactions with fences are not answered; fence_id is the last one. */
static gboolean hold_fences;
/* Reads of this prefix fail, if it is not NULL. */
static const char *failing_prefix;
static guint64 fence_id;
/* Last Members, PromiseReply and PromiseRequest that e1 sent. */
static struct Rp__Frame *last_told, *last_reply, *last_request;
/* Highest fenced session in the last grant; -1 without a grant. */
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

/* Returns the member key of the entry in the store, or NULL. */
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

static gboolean comparisons_hold(const struct kv_txn *txn)
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
	if (!down && comparisons_hold(fx->txn.txn)) {
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

static void keep_last(struct Rp__Frame **last, const struct Rp__Frame *frame)
{
	wire_frame_free(*last);
	*last = wire_frame_dup(frame);
}

static void run_send(const struct Rp__Frame *frame)
{
	if (frame->body_case == RP__FRAME__BODY_MEMBERS)
		keep_last(&last_told, frame);
	else if (frame->body_case == RP__FRAME__BODY_PROMISE_REPLY)
		keep_last(&last_reply, frame);
	else if (frame->body_case == RP__FRAME__BODY_PROMISE_REQUEST)
		keep_last(&last_request, frame);
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

/* Delivers a frame from e0 and frees it. */
static void deliver_peer_frame(struct Rp__Frame *frame)
{
	struct job_event ev = { .kind = JOB_EV_PEER_FRAME };

	ev.peer.id = "e0";
	ev.peer.conn = OTHER_CONN;
	ev.peer.frame = frame;
	feed(&ev);
	wire_frame_free(frame);
}

/* Connects e0, or disconnects it if conn is 0. */
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

/* e0 sends the members that are in the store, and so confirms them. */
static void confirm_members(const char *instance)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_MEMBERS);

	wire_set_string(&frame->members->instance, instance);
	frame->members->members = member_list(&frame->members->n_members);
	deliver_peer_frame(frame);
}

/* e0 requests a promise; returns the refusal in the reply. */
static Rp__PromiseRefusal request_promise(void)
{
	struct Rp__Frame *frame =
		wire_frame_new(RP__FRAME__BODY_PROMISE_REQUEST);
	struct Rp__PromiseRequest *request = frame->promise_request;

	request->id = 1;
	request->members = member_list(&request->n_members);
	deliver_peer_frame(frame);
	return last_reply->promise_reply->refusal;
}

static void deliver_agent_frame(struct Rp__Frame *frame)
{
	struct job_event ev = { .kind = JOB_EV_AGENT_FRAME };

	ev.agent_frame.conn = 1;
	ev.agent_frame.frame = frame;
	feed(&ev);
	wire_frame_free(frame);
}

static void request_grant(void)
{
	static guint64 sequence;
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_GRANT_REQUEST);

	frame->grant_request->sequence = ++sequence;
	granted = -1;
	deliver_agent_frame(frame);
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

/* e0 is a member; e1 joins and is confirmed; vm-a connects to e1. */
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
	confirm_members("i0");
	run(1000);
	wire_set_string(&frame->hello->vm, "vm-a");
	frame->hello->capacity = wire_resources_dup(NULL);
	deliver_agent_frame(frame);
	request_grant();
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

/*
 * Guards against an entry that may fence before every older member has
 * confirmed it: such a member would gather promises without asking it.
 */
START_TEST(test_joining)
{
	ck_assert(is_full());
	ck_assert_uint_eq(last_told->members->n_members, 2);
	/* Another process with the same id does not confirm for the member. */
	teardown();
	now = 1000;
	store = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pair_free);
	put_member("e0", "i0", "boot-0");
	start("boot-1");
	connect_other(OTHER_CONN);
	run(1000);
	confirm_members("i9");
	run(1000);
	ck_assert(!is_full());
}
END_TEST

/*
 * Guards against an entry that never becomes a full member because the
 * confirmation came before it had read its own key.
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
	confirm_members("i0");
	failing_prefix = NULL;
	run(1000);
	ck_assert(is_full());
}
END_TEST

/* Guards against promises while the store answers; they only delay fences. */
START_TEST(test_refused_store_up)
{
	ck_assert_int_eq(request_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_PLATFORM_UP);
	down = TRUE;
	/* The request causes a read, which fails. */
	request_promise();
	run(1000);
	ck_assert_int_eq(request_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_NONE);
}
END_TEST

/* Guards against a promise to an entry that knows another set of members. */
START_TEST(test_refused_members)
{
	down = TRUE;
	run(1000);
	remove_member("e0");
	ck_assert_int_eq(request_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_MEMBERS);
}
END_TEST

/*
 * Guards against a promise that omits a fence of a removed member: after a
 * change of the members, the fences must be read before a promise.
 */
START_TEST(test_refused_fences_unread)
{
	remove_member("e0");
	put_member("e0", "i2", "boot-0");
	failing_prefix = "radishpier/fence/";
	confirm_members("i2");
	run(2000);
	ck_assert_uint_eq(last_told->members->members[0]->create_revision,
			  (guint64)created("e0"));
	ck_assert_int_eq(request_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_FENCES_UNREAD);
	failing_prefix = NULL;
	run(2000);
	down = TRUE;
	request_promise();
	run(1000);
	ck_assert_int_eq(request_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_NONE);
}
END_TEST

/*
 * Guards against a promise by a draining entry, and against a member key that
 * remains after it has drained.
 */
START_TEST(test_drain)
{
	struct job_event ev = { .kind = JOB_EV_DRAIN };

	feed(&ev);
	ck_assert_int_eq(request_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_DRAINING);
	run(3000);
	ck_assert_int_eq(created("e1"), 0);
	ck_assert_int_ne(created("e0"), 0);
}
END_TEST

/* Makes e1 the owner of a job that runs on vm-b, which is not connected. */
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

/*
 * Guards against a promise while a fence is in flight or has an unknown
 * outcome: the fence could be stored after the promise, which does not name it.
 */
START_TEST(test_refused_fence)
{
	struct job_event ev = { .kind = JOB_EV_TXN };
	gint64 own;

	lose_vm();
	hold_fences = TRUE;
	run(20000);
	ck_assert_uint_ne(fence_id, 0);
	down = TRUE;
	request_promise();
	run(1000);
	ck_assert_int_eq(request_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_FENCE_SENT);
	ev.txn.id = fence_id;
	ev.txn.status = JOB_KV_UNKNOWN;
	feed(&ev);
	run(1000);
	ck_assert_int_eq(request_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_FENCE_UNKNOWN);
	/* The member key is rewritten before the next fence is sent. */
	own = modified("e1");
	fence_id = 0;
	down = FALSE;
	run(2000);
	ck_assert_uint_ne(fence_id, 0);
	ck_assert_int_gt(modified("e1"), own);
}
END_TEST

/* Guards against a fence that is sent before the promise has expired. */
START_TEST(test_no_fence_during_promise)
{
	gint64 until;

	lose_vm();
	hold_fences = TRUE;
	run(5000);
	down = TRUE;
	request_promise();
	run(1000);
	ck_assert_int_eq(request_promise(),
			 RP__PROMISE_REFUSAL__PROMISE_REFUSAL_NONE);
	until = now + JOB_FENCE_WAIT_MS;
	down = FALSE;
	run(until - now - 200);
	ck_assert_uint_eq(fence_id, 0);
	run(2000);
	ck_assert_uint_ne(fence_id, 0);
}
END_TEST

static void send_promise_reply(Rp__PromiseRefusal refusal)
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
	deliver_peer_frame(frame);
}

/*
 * Guards against a grant without a promise of every member, against one for a
 * request that came after the promises were requested, and against one that
 * omits a fence that a member knows.
 */
START_TEST(test_grant_needs_all_promises)
{
	down = TRUE;
	request_grant();
	run(12000);
	ck_assert_int_eq(granted, -1);
	send_promise_reply(RP__PROMISE_REFUSAL__PROMISE_REFUSAL_PLATFORM_UP);
	ck_assert_int_eq(granted, -1);
	run(1200);
	send_promise_reply(RP__PROMISE_REFUSAL__PROMISE_REFUSAL_NONE);
	ck_assert_int_eq(granted, 3);
	request_grant();
	send_promise_reply(RP__PROMISE_REFUSAL__PROMISE_REFUSAL_NONE);
	ck_assert_int_eq(granted, -1);
	/* A member that is not connected gives no promise. */
	connect_other(0);
	g_clear_pointer(&last_request, wire_frame_free);
	run(3000);
	ck_assert_ptr_null(last_request);
}
END_TEST

/*
 * Guards against promises requested from an outdated set of members: after
 * JOB_PROMISE_MAX_OUTAGE_MS, a new member may have removed others.
 */
START_TEST(test_outdated_members)
{
	down = TRUE;
	run(JOB_PROMISE_MAX_OUTAGE_MS - 60000);
	request_grant();
	run(2000);
	ck_assert_ptr_nonnull(last_request);
	g_clear_pointer(&last_request, wire_frame_free);
	run(60000);
	g_clear_pointer(&last_request, wire_frame_free);
	request_grant();
	run(5000);
	ck_assert_ptr_null(last_request);
}
END_TEST

/*
 * Guards against absent members that are never removed, and against removal of
 * a member that is only disconnected or has just deregistered.
 */
START_TEST(test_absent_member)
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

/*
 * Guards against an entry that still may fence after its key was removed: it
 * must join again and be confirmed.
 */
START_TEST(test_rejoin)
{
	gint64 before = created("e1");

	remove_member("e1");
	revision++;
	run(35000);
	ck_assert_int_gt(created("e1"), before);
	ck_assert(!is_full());
	confirm_members("i0");
	ck_assert(is_full());
}
END_TEST

/*
 * Guards against a new entry that fences while a lost member, which does not
 * confirm it, may still give grants on promises.
 */
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
 * Guards against a restarted entry that may fence while its earlier process may
 * still run, as it can on another VM, and against one that may never fence
 * again. An earlier process of the same kernel boot has ended.
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
	tcase_add_test(tcase, test_refused_store_up);
	tcase_add_test(tcase, test_refused_members);
	tcase_add_test(tcase, test_refused_fences_unread);
	tcase_add_test(tcase, test_refused_fence);
	tcase_add_test(tcase, test_no_fence_during_promise);
	tcase_add_test(tcase, test_drain);
	tcase_add_test(tcase, test_grant_needs_all_promises);
	tcase_add_test(tcase, test_outdated_members);
	tcase_add_test(tcase, test_absent_member);
	tcase_add_test(tcase, test_rejoin);
	tcase_add_test(tcase, test_waits_for_lost_members);
	tcase_add_loop_test(tcase, test_earlier_process, 0, 2);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
