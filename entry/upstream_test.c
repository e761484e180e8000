#include "entry/fixture_test.h"
#include "tests/fixture.h"
#include "tests/later_version.h"

/* The limit of the fleet must not be exceeded by the sum of the entries. */
START_TEST(test_limit_split)
{
	const char *const ids[] = { "e0", "e1", "e2" };
	const char *const addresses[] = { "a:1", "b:1", "c:1" };
	struct ent_event event = { .kind = ENT_EV_ENTRIES };
	json_t *json;

	pools[0].max_requests = 7;
	tables(1, "i", "ana");
	hello(1, 20, 1);
	event.entries.ids = ids;
	event.entries.addresses = addresses;
	event.entries.n = 3;
	apply(&event);
	json = status();
	ck_assert_int_eq(number(pool_status(json, "fast"), "limit"), 2);
	ck_assert_int_eq(number(json, "tables_generation"), 1);
	json_decref(json);
	request("/once");
	request("/once");
	request("/once");
	ck_assert_ptr_null(sent(RP__FRAME__BODY_REQUEST));
	json = status();
	ck_assert_ptr_nonnull(
		strstr(json_string_value(json_object_get(
			       pool_status(json, "fast"), "waits_because")),
		       "max_requests"));
	json_decref(json);
	/* Peers that never connect are dead after a while. */
	tick(11000);
	json = status();
	ck_assert_int_eq(number(pool_status(json, "fast"), "limit"), 7);
	json_decref(json);
}
END_TEST

static void collect_sent(GArray *ids)
{
	for (unsigned i = 0; i < effects->len; i++) {
		const struct ent_effect *effect = effect_at(i);

		if (effect->kind == ENT_FX_SEND &&
		    effect->send.frame->body_case == RP__FRAME__BODY_REQUEST)
			g_array_append_val(ids,
					   effect->send.frame->request->id);
	}
}

/* Sends eight requests and answers each attempt delay_ms after the last. */
static void burst(gint64 delay_ms)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(guint64));

	for (unsigned i = 0; i < 8; i++) {
		request("/once");
		collect_sent(ids);
	}
	for (unsigned i = 0; i < ids->len; i++) {
		now += delay_ms;
		ran(1, g_array_index(ids, guint64, i));
		collect_sent(ids);
	}
	g_array_unref(ids);
	tick(500);
}

/* Answers slower than the target must lower the limit, fast ones raise it. */
START_TEST(test_adaptive_limit)
{
	json_t *json;
	json_t *limit;
	int low;

	pools[0].latency_target_ms = 10;
	tables(1, "i", "ana");
	hello(1, 8, 1);
	for (unsigned round = 0; round < 40; round++)
		burst(20);
	json = status();
	low = number(pool_status(json, "fast"), "limit");
	ck_assert_int_ge(low, 1);
	ck_assert_int_lt(low, 4);
	json_decref(json);
	for (unsigned round = 0; round < 400; round++)
		burst(0);
	json = status();
	limit = json_object_get(pool_status(json, "fast"), "limit");
	ck_assert(json_is_null(limit) || json_integer_value(limit) >= 8);
	json_decref(json);
}
END_TEST

/* A slow upstream must get fewer requests than a fast one. */
START_TEST(test_choice_by_latency)
{
	unsigned got[3] = { 0 };

	tables(1, "i", "ana");
	hello(1, 8, 1);
	hello(2, 8, 1);
	for (unsigned i = 0; i < 400; i++) {
		guint64 conn;
		guint64 id;

		request("/once");
		id = sent_request(&conn)->id;
		now += conn == 1 ? 40 : 4;
		ran(conn, id);
		got[conn]++;
	}
	ck_assert_uint_gt(got[2], 5 * got[1]);
	ck_assert_uint_gt(got[1], 0);
}
END_TEST

/* A benchmark's baseline must neither limit a pool nor exceed the slots. */
START_TEST(test_baselines)
{
	struct ent_options options = { .id = "e1",
				       .zone = "a",
				       .lb_policy = _i,
				       .no_admission_limits = TRUE };
	guint64 conn;

	ent_free(ent);
	ent = ent_new(&options);
	pools[0].max_requests = 1;
	tables(1, "i", "ana");
	hello(1, 4, 1);
	hello(2, 4, 1);
	for (unsigned i = 0; i < 8; i++) {
		request("/once");
		sent_request(&conn);
	}
	for (unsigned i = 0; i < 20; i++) {
		request("/once");
		ck_assert_ptr_null(sent(RP__FRAME__BODY_REQUEST));
		ck_assert_ptr_null(find(ENT_FX_ANSWER));
	}
}
END_TEST

/* A draining or full agent must get no request. */
START_TEST(test_draining_agent)
{
	guint64 conn;

	tables(1, "i", "ana");
	hello(1, 8, 1);
	hello(2, 8, 1);
	report(1, 0, TRUE);
	for (unsigned i = 0; i < 8; i++) {
		request("/once");
		sent_request(&conn);
		ck_assert_uint_eq(conn, 2);
	}
	request("/once");
	ck_assert_ptr_null(sent(RP__FRAME__BODY_REQUEST));
	report(1, 8, FALSE);
	ck_assert_ptr_null(sent(RP__FRAME__BODY_REQUEST));
	report(1, 7, FALSE);
	sent_request(&conn);
	ck_assert_uint_eq(conn, 1);
}
END_TEST

/* A VM that runs only jobs must not count as an upstream. */
START_TEST(test_vm_without_slots)
{
	tables(1, "i", "ana");
	hello(1, 0, 1);
	now += 6000;
	assert_answer(request("/once"), 503, RP__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_int_eq(find(ENT_FX_ANSWER)->answer.reason,
			 RP__REASON__REASON_NO_CAPACITY);
}
END_TEST

/*
 * Slots that others hold must be taken from the newest reply, by pool: old
 * counts lead to requests that the agent refuses.
 */
START_TEST(test_slots_of_others)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REPLY);

	pools[0].guaranteed_requests = 2;
	tables(1, "i", "ana");
	hello(1, 4, 1);
	request("/slow");
	frame->reply->id = sent_request(NULL)->id;
	request("/once");
	frame->reply->outcome = RP__OUTCOME__OUTCOME_RAN;
	frame->reply->n_others_in_use = 2;
	frame->reply->others_in_use = g_new0(uint32_t, 2);
	frame->reply->others_in_use[0] = 1;
	frame->reply->others_in_use[1] = 1;
	frame_in(1, frame);
	/* Three of four are in use, and none is reserved any more. */
	request("/slow");
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_REQUEST));
	request("/slow");
	ck_assert_ptr_null(sent(RP__FRAME__BODY_REQUEST));
}
END_TEST

/* An agent's last slot is often gone when the request arrives. */
START_TEST(test_last_slot_avoided)
{
	guint64 conn;

	tables(1, "i", "ana");
	hello(1, 2, 1);
	hello(2, 8, 1);
	report(1, 1, FALSE);
	for (unsigned i = 0; i < 6; i++) {
		request("/once");
		sent_request(&conn);
		ck_assert_uint_eq(conn, 2);
	}
}
END_TEST

/* Frames about jobs must reach the job part, and its effects the shell. */
START_TEST(test_job_frames)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_GRANT_REQUEST);

	tables(1, "i", "ana");
	hello(1, 1, 1);
	frame->grant_request->sequence = 1;
	frame_in(1, frame);
	ck_assert_ptr_nonnull(find(ENT_FX_JOB));
}
END_TEST

/* Failing upstreams must be left out, but never more than half of a pool. */
START_TEST(test_ejection_bound)
{
	gboolean healthy[6] = { FALSE };
	json_t *json;
	guint64 conn;

	tables(1, "i", "ana");
	for (conn = 1; conn <= 5; conn++)
		hello(conn, 8, 1);
	for (unsigned i = 0; i < 200; i++) {
		guint64 id;

		request("/once");
		id = sent_request(&conn)->id;
		reply(conn, id, RP__OUTCOME__OUTCOME_UNKNOWN,
		      RP__REASON__REASON_UPSTREAM_ERROR, "");
	}
	json = status();
	ck_assert_int_eq(number(pool_status(json, "fast"), "ejected"), 2);
	json_decref(json);
	/* The healthy ones leave: the rest must come back into use. */
	for (unsigned i = 0; i < 100; i++) {
		request("/once");
		sent_request(&conn);
		healthy[conn] = TRUE;
		ran(conn, sent_request(NULL)->id);
	}
	for (conn = 1; conn <= 5; conn++)
		if (healthy[conn])
			closed(conn);
	json = status();
	ck_assert_int_eq(number(pool_status(json, "fast"), "upstreams"), 2);
	ck_assert_int_eq(number(pool_status(json, "fast"), "ejected"), 1);
	ck_assert_int_eq(number(pool_status(json, "fast"), "available"), 1);
	json_decref(json);
	tick(400000);
	json = status();
	ck_assert_int_eq(number(pool_status(json, "fast"), "ejected"), 0);
	json_decref(json);
}
END_TEST

/* Sends requests until VM 1 is ejected; returns how many it failed. */
static unsigned fail_until_ejected(void)
{
	unsigned failed = 0;
	unsigned tries = 0;
	guint64 conn;

	do {
		guint64 id;

		request("/once");
		id = sent_request(&conn)->id;
		failed += conn == 1;
		reply(conn, id,
		      conn == 1 ? RP__OUTCOME__OUTCOME_UNKNOWN
				: RP__OUTCOME__OUTCOME_RAN,
		      RP__REASON__REASON_UPSTREAM_ERROR, "");
	} while (!counted("radishpier_ejections_total") && ++tries < 1000);
	return failed;
}

/* A VM that still fails after its ejection must not get five more requests. */
START_TEST(test_ejected_again)
{
	tables(1, "i", "ana");
	hello(1, 8, 1);
	hello(2, 8, 1);
	ck_assert_uint_eq(fail_until_ejected(), 5);
	tick(6000);
	tick(10000);
	ck_assert_uint_eq(fail_until_ejected(), 1);
}
END_TEST

/* Lets a request become slow; returns whether a second attempt was sent. */
static gboolean hedged(const char *path, guint64 conns[2], guint64 ids[2])
{
	request(path);
	ids[0] = sent_request(&conns[0])->id;
	tick(500);
	if (!sent(RP__FRAME__BODY_REQUEST))
		return FALSE;
	ids[1] = sent_request(&conns[1])->id;
	ck_assert_uint_ne(conns[0], conns[1]);
	return TRUE;
}

/*
 * Guards against a second attempt on a route that must run once, a loser that
 * is not cancelled, and a false not-run while or after one of two attempts
 * may have run.
 */
START_TEST(test_hedge)
{
	guint64 conns[2];
	guint64 ids[2];

	pools[0].hedge_budget_percent = 100;
	tables(1, "i", "ana");
	hello(1, 8, 1);
	hello(2, 8, 1);
	request("/get");
	ids[0] = sent_request(&conns[0])->id;
	now += 10;
	ran(conns[0], ids[0]);
	ck_assert(!hedged("/once", conns, ids));
	ran(conns[0], ids[0]);
	ck_assert(hedged("/get", conns, ids));
	ran(conns[1], ids[1]);
	assert_answer(next_handle, 200, RP__OUTCOME__OUTCOME_RAN);
	ck_assert_uint_eq(sent(RP__FRAME__BODY_CANCEL)->send.conn, conns[0]);
	reply(conns[0], ids[0], RP__OUTCOME__OUTCOME_UNKNOWN,
	      RP__REASON__REASON_CANCELLED, "");
	ck_assert_ptr_null(find(ENT_FX_ANSWER));
	ck_assert(hedged("/get", conns, ids));
	reply(conns[0], ids[0], RP__OUTCOME__OUTCOME_NOT_RUN,
	      RP__REASON__REASON_DEADLINE, "");
	ck_assert_ptr_null(find(ENT_FX_ANSWER));
	reply(conns[1], ids[1], RP__OUTCOME__OUTCOME_NOT_RUN,
	      RP__REASON__REASON_DEADLINE, "");
	assert_answer(next_handle, 503, RP__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert(hedged("/get", conns, ids));
	closed(conns[0]);
	ck_assert_ptr_null(find(ENT_FX_ANSWER));
	reply(conns[1], ids[1], RP__OUTCOME__OUTCOME_NOT_RUN,
	      RP__REASON__REASON_DEADLINE, "");
	assert_answer(next_handle, 504, RP__OUTCOME__OUTCOME_UNKNOWN);
}
END_TEST

/* Tables must never revert, and a conflict must be seen by operators. */
START_TEST(test_tables)
{
	GBytes *bytes = document(4, "i", "ana");

	tables(2, "i", "ana");
	hello(1, 2, 1);
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_TABLES_UPDATE));
	hello(2, 2, 2);
	ck_assert_ptr_null(sent(RP__FRAME__BODY_TABLES_UPDATE));
	tables(1, "i", "ana");
	ck_assert_uint_eq(counted("radishpier_tables_refused_total"), 1);
	tables(2, "i", "eva");
	ck_assert_uint_eq(counted("radishpier_tables_refused_total"), 1);
	tables(9, "other", "eva");
	ck_assert_uint_eq(counted("radishpier_tables_refused_total"), 1);
	ck_assert_ptr_nonnull(find(ENT_FX_LOG));
	tables(2, "i", "ana");
	ck_assert_uint_eq(counted("radishpier_tables_refused_total"), 0);
	ck_assert_uint_eq(ent_tables(ent)->generation, 2);
	frame_in(1, wire_tables_update_new(bytes));
	ck_assert_uint_eq(ent_tables(ent)->generation, 4);
	/* The other agent gets it, the sender does not. */
	ck_assert_uint_eq(sent(RP__FRAME__BODY_TABLES_UPDATE)->send.conn, 2);
	ck_assert(g_bytes_equal(ent_tables_document(ent), bytes));
	g_bytes_unref(bytes);
}
END_TEST

/*
 * Guards against whole documents where a delta would do, and against a
 * receiver that cannot apply one and is left without the tables.
 */
START_TEST(test_table_deltas)
{
	struct Rp__Frame *frame;
	struct Rp__Frame *delta;
	GBytes *oldest, *base, *next;

	tables(2, "i", "ana");
	frame = wire_frame_new(RP__FRAME__BODY_PEER_HELLO);
	wire_set_string(&frame->peer_hello->entry_id, "e2");
	frame->peer_hello->tables_generation = 2;
	frame->peer_hello->accepts_deltas = TRUE;
	frame_in(50, frame);
	tables(3, "i", "ana");
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_TABLES_DELTA));
	ck_assert_ptr_null(sent(RP__FRAME__BODY_TABLES_UPDATE));
	frame_in(50, wire_frame_new(RP__FRAME__BODY_TABLES_WANTED));
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_TABLES_UPDATE));
	/* From a base that is not held: refused, and the whole is asked for. */
	base = document(7, "i", "ana");
	next = document(8, "i", "ana");
	delta = wire_delta_new(base, next, 8);
	frame_in(50, delta);
	ck_assert_uint_eq(counted("radishpier_tables_refused_total"), 1);
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_TABLES_WANTED));
	ck_assert_uint_eq(ent_tables(ent)->generation, 3);
	delta = wire_delta_new(ent_tables_document(ent), next, 8);
	frame_in(50, delta);
	ck_assert_uint_eq(ent_tables(ent)->generation, 8);
	ck_assert(g_bytes_equal(ent_tables_document(ent), next));
	/* To an older generation: refused, and the newer one is offered. */
	oldest = document(6, "i", "ana");
	frame_in(50, wire_delta_new(oldest, base, 7));
	ck_assert_uint_eq(counted("radishpier_tables_refused_total"), 1);
	ck_assert_ptr_null(sent(RP__FRAME__BODY_TABLES_WANTED));
	ck_assert_uint_eq(ent_tables(ent)->generation, 8);
	g_bytes_unref(oldest);
	g_bytes_unref(base);
	g_bytes_unref(next);
}
END_TEST

static unsigned warnings_of_unknown_keys(void)
{
	unsigned n = 0;

	for (unsigned i = 0; i < effects->len; i++)
		n += effect_at(i)->kind == ENT_FX_LOG &&
		     effect_at(i)->log.level == G_LOG_LEVEL_WARNING &&
		     strstr(effect_at(i)->log.message, LATER_KEYS);
	return n;
}

/*
 * Guards against an entry that stays on old tables or drops keys when a later
 * version changes the tables: what it passes on must be the bytes it got.
 */
START_TEST(test_later_tables)
{
	struct ent_event event = { .kind = ENT_EV_TABLES };
	g_autoptr(GBytes) plain = document(3, "i", "ana");
	g_autoptr(GBytes) plain_next = document(4, "i", "ana");
	g_autoptr(GBytes) later = later_document(plain);
	g_autoptr(GBytes) next = later_document(plain_next);
	g_autoptr(GBytes) made = NULL;
	const struct Rp__TablesUpdate *update;
	struct Rp__Frame *frame;

	tables(2, "i", "ana");
	hello(1, 2, 2);
	frame = wire_frame_new(RP__FRAME__BODY_PEER_HELLO);
	wire_set_string(&frame->peer_hello->entry_id, "e2");
	frame->peer_hello->tables_generation = 2;
	frame->peer_hello->accepts_deltas = TRUE;
	frame_in(50, frame);
	event.tables.data = g_bytes_get_data(later, &event.tables.len);
	apply(&event);
	ck_assert_uint_eq(ent_tables(ent)->generation, 3);
	ck_assert_uint_eq(warnings_of_unknown_keys(), 1);
	update = sent(RP__FRAME__BODY_TABLES_UPDATE)->send.frame->tables_update;
	ck_assert_uint_eq(update->document.len, event.tables.len);
	ck_assert_mem_eq(update->document.data, event.tables.data,
			 event.tables.len);
	apply(&event);
	ck_assert_uint_eq(effects->len, 0);
	/* By a delta, and on to another peer by a delta. */
	frame_in(50, wire_delta_new(later, next, 4));
	ck_assert_uint_eq(ent_tables(ent)->generation, 4);
	ck_assert_uint_eq(warnings_of_unknown_keys(), 1);
	frame = wire_frame_new(RP__FRAME__BODY_PEER_HELLO);
	wire_set_string(&frame->peer_hello->entry_id, "e3");
	frame->peer_hello->tables_generation = 3;
	frame->peer_hello->accepts_deltas = TRUE;
	frame_in(51, frame);
	frame = sent(RP__FRAME__BODY_TABLES_DELTA)->send.frame;
	made = wire_delta_apply(later, frame->tables_delta, NULL);
	ck_assert_ptr_nonnull(made);
	ck_assert(g_bytes_equal(made, next));
}
END_TEST

/* Peers must learn newer tables, and the right owner of a shard be found. */
START_TEST(test_peers)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_PEER_HELLO);
	struct Rp__ShardClaim *claim = g_new(struct Rp__ShardClaim, 1);

	tables(2, "i", "ana");
	wire_set_string(&frame->peer_hello->entry_id, "e2");
	frame_in(50, frame);
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_PEER_HELLO));
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_TABLES_UPDATE));
	frame = wire_frame_new(RP__FRAME__BODY_PEER_STATE);
	frame->peer_state->tables_generation = 2;
	rp__shard_claim__init(claim);
	claim->shard = 3;
	claim->term = 9;
	frame->peer_state->claims = g_new0(struct Rp__ShardClaim *, 1);
	frame->peer_state->claims[frame->peer_state->n_claims++] = claim;
	frame_in(50, frame);
	ck_assert_uint_eq(ent_shard_owner_conn(ent, 3), 50);
	ck_assert_uint_eq(ent_shard_owner_conn(ent, 4), 0);
	closed(50);
	ck_assert_uint_eq(ent_shard_owner_conn(ent, 3), 0);
}
END_TEST

static void peer_state(const char *pool, unsigned queued)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_PEER_STATE);
	Rp__PoolLoad *load = g_new(Rp__PoolLoad, 1);

	rp__pool_load__init(load);
	wire_set_string(&load->pool, pool);
	load->queued = queued;
	frame->peer_state->pools = g_new0(Rp__PoolLoad *, 1);
	frame->peer_state->pools[frame->peer_state->n_pools++] = load;
	frame->peer_state->tables_generation = 1;
	frame_in(50, frame);
}

/* Fills the 8 slots of VM 1 and queues 5 more; returns the first's id. */
static guint64 fill_slots(void)
{
	guint64 first;

	request("/once");
	first = sent_request(NULL)->id;
	for (unsigned i = 0; i < 12; i++)
		request("/once");
	ck_assert_ptr_null(sent(RP__FRAME__BODY_REQUEST));
	return first;
}

/* Answers n attempts; returns how many were sent instead. */
static unsigned answer_some(guint64 *id, unsigned n)
{
	unsigned sends = 0;

	for (unsigned i = 0; i < n; i++) {
		ran(1, (*id)++);
		sends += sent(RP__FRAME__BODY_REQUEST) != NULL;
	}
	return sends;
}

/*
 * An entry that holds most slots when queues form must not keep them while the
 * queue of another entry stands still; and it must use them all when only its
 * own requests wait, or when nothing was heard of the other queue for long.
 */
START_TEST(test_slots_shared_by_queues)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_PEER_HELLO);
	guint64 id;

	pools[0].queue_length = 8;
	tables(1, "i", "ana");
	hello(1, 8, 1);
	wire_set_string(&frame->peer_hello->entry_id, "e2");
	frame_in(50, frame);
	id = fill_slots();
	peer_state("slow", 2);
	ck_assert_uint_eq(answer_some(&id, 1), 1);
	/* The other entry would use one slot, then four. */
	peer_state("fast", 1);
	ck_assert_uint_eq(answer_some(&id, 1), 0);
	ck_assert_uint_eq(answer_some(&id, 1), 1);
	peer_state("fast", 4);
	ck_assert_uint_eq(answer_some(&id, 1), 0);
	ck_assert_uint_eq(answer_some(&id, 1), 1);
	peer_state("fast", 0);
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_REQUEST));
	ck_assert_uint_eq(answer_some(&id, 8), 0);

	peer_state("fast", 4);
	tick(2000);
	tick(500);
	id = fill_slots();
	ck_assert_uint_eq(answer_some(&id, 1), 0);
	tick(600);
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_REQUEST));
	frame = sent(RP__FRAME__BODY_PEER_STATE)->send.frame;
	ck_assert_uint_eq(frame->peer_state->pools[0]->queued, 5);
}
END_TEST

/* Another process of VM 1 connects. */
static const struct Rp__Welcome *agent_boots(guint64 conn, const char *boot)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_HELLO);

	wire_set_string(&frame->hello->vm, "vm1");
	wire_set_string(&frame->hello->agent_boot_id, boot);
	set_pools(frame->hello, "fast", "slow");
	frame->hello->slots = 4;
	frame_in(conn, frame);
	return sent(RP__FRAME__BODY_WELCOME)->send.frame->welcome;
}

/* Sends a request whose caller goes; the upstream works on. */
static void cancelled(void)
{
	struct ent_event event = { .kind = ENT_EV_CALLER_DISCONNECTED };
	guint64 id;

	event.disconnected.handle = request("/once");
	id = sent_request(NULL)->id;
	now += 100;
	apply(&event);
	reply(1, id, RP__OUTCOME__OUTCOME_UNKNOWN, RP__REASON__REASON_CANCELLED,
	      "");
}

/*
 * A restarted agent that is not told of requests in flight, or of cancelled
 * ones that the upstream goes on with, would admit others to their slots. One
 * that still runs and is told of its own would count them twice.
 */
START_TEST(test_successor_is_told)
{
	const struct Rp__Welcome *welcome;

	tables(1, "i", "ana");
	hello(1, 4, 1);
	request("/once");
	ran(1, sent_request(NULL)->id);
	cancelled();
	request("/slow");
	now += 300;
	closed(1);
	ck_assert_uint_eq(agent_boots(101, "boot")->n_unended, 0);
	welcome = agent_boots(201, "boot-2");
	ck_assert_uint_eq(welcome->n_unended, 2);
	ck_assert_str_eq(welcome->unended[0]->pool, "fast");
	ck_assert_uint_eq(welcome->unended[0]->n_remaining_ms, 1);
	/* It arrived in the 100 ms before the cancellation was answered. */
	ck_assert_uint_eq(welcome->unended[0]->remaining_ms[0], 700);
	ck_assert_str_eq(welcome->unended[1]->pool, "slow");
	ck_assert_uint_eq(welcome->unended[1]->remaining_ms[0], 1000);
	now += 700;
	ck_assert_uint_eq(agent_boots(301, "boot-3")->n_unended, 1);
}
END_TEST

/* Memory must not grow with cancellations, nor the latest be forgotten. */
START_TEST(test_unended_bounded)
{
	const struct Rp__Welcome *welcome;
	const struct Rp__Unended *unended;

	tables(1, "i", "ana");
	hello(1, 4, 1);
	for (unsigned i = 0; i < 6; i++)
		cancelled();
	welcome = agent_boots(101, "boot-2");
	ck_assert_uint_eq(welcome->n_unended, 1);
	unended = welcome->unended[0];
	ck_assert_uint_eq(unended->n_remaining_ms, 4);
	ck_assert_uint_eq(unended->remaining_ms[0], 700);
	ck_assert_uint_eq(unended->remaining_ms[3], 1000);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("upstream");
	TCase *tcase = tcase_create("rules");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_limit_split);
	tcase_add_test(tcase, test_adaptive_limit);
	tcase_add_test(tcase, test_choice_by_latency);
	tcase_add_loop_test(tcase, test_baselines, 0,
			    ENT_LB_LEAST_CONNECTIONS + 1);
	tcase_add_test(tcase, test_draining_agent);
	tcase_add_test(tcase, test_vm_without_slots);
	tcase_add_test(tcase, test_slots_of_others);
	tcase_add_test(tcase, test_last_slot_avoided);
	tcase_add_test(tcase, test_job_frames);
	tcase_add_test(tcase, test_ejection_bound);
	tcase_add_test(tcase, test_ejected_again);
	tcase_add_test(tcase, test_hedge);
	tcase_add_test(tcase, test_tables);
	tcase_add_test(tcase, test_table_deltas);
	tcase_add_test(tcase, test_later_tables);
	tcase_add_test(tcase, test_peers);
	tcase_add_test(tcase, test_slots_shared_by_queues);
	tcase_add_test(tcase, test_successor_is_told);
	tcase_add_test(tcase, test_unended_bounded);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
