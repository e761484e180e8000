#include "entry/fixture_test.h"
#include "tests/fixture.h"
#include "tests/later_version.h"

/*
 * Guards against a fleet-wide limit that the entries together exceed, and
 * against a share that stays small after a peer is lost.
 */
START_TEST(test_limit_split)
{
	const char *const ids[] = { "e0", "e1", "e2" };
	const char *const addresses[] = { "a:1", "b:1", "c:1" };
	struct ent_event event = { .kind = ENT_EV_ENTRIES };
	json_t *json;

	pools[0].max_requests = 7;
	load_tables(1, "i", "ana");
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
	/* Registered peers that do not connect within 10 s are not alive. */
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

/* Sends eight requests and answers their attempts at this interval. */
static void run_burst(gint64 delay_ms)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(guint64));

	for (unsigned i = 0; i < 8; i++) {
		request("/once");
		collect_sent(ids);
	}
	for (unsigned i = 0; i < ids->len; i++) {
		now += delay_ms;
		reply_ran(1, g_array_index(ids, guint64, i));
		collect_sent(ids);
	}
	g_array_unref(ids);
	tick(500);
}

/*
 * Guards against an adaptive limit that does not fall while answers exceed the
 * latency target, or that does not recover when they are fast again.
 */
START_TEST(test_adaptive_limit)
{
	json_t *json;
	json_t *limit;
	int low;

	pools[0].latency_target_ms = 10;
	load_tables(1, "i", "ana");
	hello(1, 8, 1);
	for (unsigned round = 0; round < 40; round++)
		run_burst(20);
	json = status();
	low = number(pool_status(json, "fast"), "limit");
	ck_assert_int_ge(low, 1);
	ck_assert_int_lt(low, 4);
	json_decref(json);
	for (unsigned round = 0; round < 400; round++)
		run_burst(0);
	json = status();
	limit = json_object_get(pool_status(json, "fast"), "limit");
	ck_assert(json_is_null(limit) || json_integer_value(limit) >= 8);
	json_decref(json);
}
END_TEST

/* Guards against load balancing that ignores the latency of upstreams. */
START_TEST(test_choice_by_latency)
{
	unsigned got[3] = { 0 };

	load_tables(1, "i", "ana");
	hello(1, 8, 1);
	hello(2, 8, 1);
	for (unsigned i = 0; i < 400; i++) {
		guint64 conn;
		guint64 id;

		request("/once");
		id = sent_request(&conn)->id;
		now += conn == 1 ? 40 : 4;
		reply_ran(conn, id);
		got[conn]++;
	}
	ck_assert_uint_gt(got[2], 5 * got[1]);
	ck_assert_uint_gt(got[1], 0);
}
END_TEST

/*
 * Guards against a pool limit that still applies with no_admission_limits, and
 * against exceeding an agent's slots then, for each load-balancing policy.
 */
START_TEST(test_no_admission_limits)
{
	struct ent_options options = { .id = "e1",
				       .zone = "a",
				       .lb_policy = _i,
				       .no_admission_limits = TRUE };
	guint64 conn;

	ent_free(ent);
	ent = ent_new(&options);
	pools[0].max_requests = 1;
	load_tables(1, "i", "ana");
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

/* Guards against a request that is sent to a draining or full agent. */
START_TEST(test_draining_agent)
{
	guint64 conn;

	load_tables(1, "i", "ana");
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

/*
 * Guards against counting a VM without slots, which runs only jobs, as an
 * upstream: requests would be queued for it until their deadline.
 */
START_TEST(test_vm_without_slots)
{
	load_tables(1, "i", "ana");
	hello(1, 0, 1);
	now += 6000;
	assert_answer(request("/once"), 503, RP__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_int_eq(find(ENT_FX_ANSWER)->answer.reason,
			 RP__REASON__REASON_NO_CAPACITY);
}
END_TEST

/*
 * Guards against an entry that ignores the slots in use by others, which a
 * reply lists by pool, and so sends requests that the agent must refuse.
 */
START_TEST(test_slots_of_others)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REPLY);

	pools[0].guaranteed_requests = 2;
	load_tables(1, "i", "ana");
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
	/* Three of four slots are in use; the guarantee is used up. */
	request("/slow");
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_REQUEST));
	request("/slow");
	ck_assert_ptr_null(sent(RP__FRAME__BODY_REQUEST));
}
END_TEST

/*
 * Guards against choosing an agent's last free slot while another agent has
 * more free slots: another entry often takes it before the request arrives.
 */
START_TEST(test_last_slot_avoided)
{
	guint64 conn;

	load_tables(1, "i", "ana");
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

/*
 * Guards against job frames that do not reach the job scheduler, or its effects
 * that do not reach the I/O layer.
 */
START_TEST(test_job_frames)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_GRANT_REQUEST);

	load_tables(1, "i", "ana");
	hello(1, 1, 1);
	frame->grant_request->sequence = 1;
	frame_in(1, frame);
	ck_assert_ptr_nonnull(find(ENT_FX_JOB));
}
END_TEST

/*
 * Guards against failing upstreams that are not ejected, and against ejecting
 * more than half of a pool, also after upstreams that are not ejected
 * disconnect.
 */
START_TEST(test_ejection_bound)
{
	gboolean not_ejected[6] = { FALSE };
	json_t *json;
	guint64 conn;

	load_tables(1, "i", "ana");
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
	/* Find the upstreams that are not ejected. */
	for (unsigned i = 0; i < 100; i++) {
		request("/once");
		sent_request(&conn);
		not_ejected[conn] = TRUE;
		reply_ran(conn, sent_request(NULL)->id);
	}
	/* They disconnect, so one of the two ejections must end. */
	for (conn = 1; conn <= 5; conn++)
		if (not_ejected[conn])
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

/* Sends requests until VM 1 is ejected; returns how many failed there. */
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

/*
 * Guards against a VM that still fails after its ejection and gets five more
 * requests before it is ejected again.
 */
START_TEST(test_ejected_again)
{
	load_tables(1, "i", "ana");
	hello(1, 8, 1);
	hello(2, 8, 1);
	ck_assert_uint_eq(fail_until_ejected(), 5);
	tick(6000);
	tick(10000);
	ck_assert_uint_eq(fail_until_ejected(), 1);
}
END_TEST

/* Sends a request that is slow; returns whether it was hedged. */
static gboolean slow_request_hedged(const char *path, guint64 conns[2],
				    guint64 ids[2])
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
 * Guards against hedging a non-idempotent request, a slower attempt that is not
 * cancelled, and reporting not-run while one of two attempts may still run or
 * may have run.
 */
START_TEST(test_hedge)
{
	guint64 conns[2];
	guint64 ids[2];

	pools[0].hedge_budget_percent = 100;
	load_tables(1, "i", "ana");
	hello(1, 8, 1);
	hello(2, 8, 1);
	request("/get");
	ids[0] = sent_request(&conns[0])->id;
	now += 10;
	reply_ran(conns[0], ids[0]);
	ck_assert(!slow_request_hedged("/once", conns, ids));
	reply_ran(conns[0], ids[0]);
	ck_assert(slow_request_hedged("/get", conns, ids));
	reply_ran(conns[1], ids[1]);
	assert_answer(next_handle, 200, RP__OUTCOME__OUTCOME_RAN);
	ck_assert_uint_eq(sent(RP__FRAME__BODY_CANCEL)->send.conn, conns[0]);
	reply(conns[0], ids[0], RP__OUTCOME__OUTCOME_UNKNOWN,
	      RP__REASON__REASON_CANCELLED, "");
	ck_assert_ptr_null(find(ENT_FX_ANSWER));
	ck_assert(slow_request_hedged("/get", conns, ids));
	reply(conns[0], ids[0], RP__OUTCOME__OUTCOME_NOT_RUN,
	      RP__REASON__REASON_DEADLINE, "");
	ck_assert_ptr_null(find(ENT_FX_ANSWER));
	reply(conns[1], ids[1], RP__OUTCOME__OUTCOME_NOT_RUN,
	      RP__REASON__REASON_DEADLINE, "");
	assert_answer(next_handle, 503, RP__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert(slow_request_hedged("/get", conns, ids));
	closed(conns[0]);
	ck_assert_ptr_null(find(ENT_FX_ANSWER));
	reply(conns[1], ids[1], RP__OUTCOME__OUTCOME_NOT_RUN,
	      RP__REASON__REASON_DEADLINE, "");
	assert_answer(next_handle, 504, RP__OUTCOME__OUTCOME_UNKNOWN);
}
END_TEST

/*
 * Guards against adopting older or conflicting tables, a conflict that is not
 * logged, and new tables that are not sent on.
 */
START_TEST(test_tables)
{
	GBytes *bytes = document(4, "i", "ana");

	load_tables(2, "i", "ana");
	hello(1, 2, 1);
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_TABLES_UPDATE));
	hello(2, 2, 2);
	ck_assert_ptr_null(sent(RP__FRAME__BODY_TABLES_UPDATE));
	load_tables(1, "i", "ana");
	ck_assert_uint_eq(counted("radishpier_tables_refused_total"), 1);
	load_tables(2, "i", "eva");
	ck_assert_uint_eq(counted("radishpier_tables_refused_total"), 1);
	load_tables(9, "other", "eva");
	ck_assert_uint_eq(counted("radishpier_tables_refused_total"), 1);
	ck_assert_ptr_nonnull(find(ENT_FX_LOG));
	load_tables(2, "i", "ana");
	ck_assert_uint_eq(counted("radishpier_tables_refused_total"), 0);
	ck_assert_uint_eq(ent_tables(ent)->generation, 2);
	frame_in(1, wire_tables_update_new(bytes));
	ck_assert_uint_eq(ent_tables(ent)->generation, 4);
	/* They are sent to the other agent and not back to the sender. */
	ck_assert_uint_eq(sent(RP__FRAME__BODY_TABLES_UPDATE)->send.conn, 2);
	ck_assert(g_bytes_equal(ent_tables_document(ent), bytes));
	g_bytes_unref(bytes);
}
END_TEST

/*
 * Guards against sending a whole document where a delta is enough, and against
 * a receiver that cannot apply a delta and stays without the tables.
 */
START_TEST(test_table_deltas)
{
	struct Rp__Frame *frame;
	struct Rp__Frame *delta;
	GBytes *oldest, *base, *next;

	load_tables(2, "i", "ana");
	frame = wire_frame_new(RP__FRAME__BODY_PEER_HELLO);
	wire_set_string(&frame->peer_hello->entry_id, "e2");
	frame->peer_hello->tables_generation = 2;
	frame->peer_hello->accepts_deltas = TRUE;
	frame_in(50, frame);
	load_tables(3, "i", "ana");
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_TABLES_DELTA));
	ck_assert_ptr_null(sent(RP__FRAME__BODY_TABLES_UPDATE));
	frame_in(50, wire_frame_new(RP__FRAME__BODY_TABLES_WANTED));
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_TABLES_UPDATE));
	/* From another base: refused, and the whole document is requested. */
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
	/* To an older generation: refused, and nothing is requested. */
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
 * Guards against an entry that refuses tables written by a later version of the
 * program, which have keys that it does not know, or that drops these keys: it
 * must send on the bytes that it received.
 */
START_TEST(test_later_tables)
{
	struct ent_event event = { .kind = ENT_EV_TABLES };
	g_autoptr(GBytes) plain = document(3, "i", "ana");
	g_autoptr(GBytes) plain_next = document(4, "i", "ana");
	g_autoptr(GBytes) later = later_document(plain);
	g_autoptr(GBytes) later_next = later_document(plain_next);
	g_autoptr(GBytes) made = NULL;
	const struct Rp__TablesUpdate *update;
	struct Rp__Frame *frame;

	load_tables(2, "i", "ana");
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
	/* Received as a delta and sent to another peer as a delta. */
	frame_in(50, wire_delta_new(later, later_next, 4));
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
	ck_assert(g_bytes_equal(made, later_next));
}
END_TEST

/*
 * Guards against a peer that does not get newer tables, and against calls for a
 * job shard that go to a peer that does not own it or has disconnected.
 */
START_TEST(test_peers)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_PEER_HELLO);
	struct Rp__ShardClaim *claim = g_new(struct Rp__ShardClaim, 1);

	load_tables(2, "i", "ana");
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

/* Fills the 8 slots of VM 1, queues 5 requests; returns the first attempt. */
static guint64 fill_slots_and_queue(void)
{
	guint64 first;

	request("/once");
	first = sent_request(NULL)->id;
	for (unsigned i = 0; i < 12; i++)
		request("/once");
	ck_assert_ptr_null(sent(RP__FRAME__BODY_REQUEST));
	return first;
}

/*
 * Replies to the n attempts from *id on and advances *id; returns after how
 * many replies a queued request was sent.
 */
static unsigned answer_attempts(guint64 *id, unsigned n)
{
	unsigned sends = 0;

	for (unsigned i = 0; i < n; i++) {
		reply_ran(1, (*id)++);
		sends += sent(RP__FRAME__BODY_REQUEST) != NULL;
	}
	return sends;
}

/*
 * Guards against an entry that uses most slots when queues form and keeps them
 * while the queue of another entry starves. It must use all slots if only its
 * own requests wait, or if the peer's last report is too old.
 */
START_TEST(test_slots_shared_by_queues)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_PEER_HELLO);
	guint64 id;

	pools[0].queue_length = 8;
	load_tables(1, "i", "ana");
	hello(1, 8, 1);
	wire_set_string(&frame->peer_hello->entry_id, "e2");
	frame_in(50, frame);
	id = fill_slots_and_queue();
	peer_state("slow", 2);
	ck_assert_uint_eq(answer_attempts(&id, 1), 1);
	/* The peer wants one slot, then four. */
	peer_state("fast", 1);
	ck_assert_uint_eq(answer_attempts(&id, 1), 0);
	ck_assert_uint_eq(answer_attempts(&id, 1), 1);
	peer_state("fast", 4);
	ck_assert_uint_eq(answer_attempts(&id, 1), 0);
	ck_assert_uint_eq(answer_attempts(&id, 1), 1);
	peer_state("fast", 0);
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_REQUEST));
	ck_assert_uint_eq(answer_attempts(&id, 8), 0);

	peer_state("fast", 4);
	tick(2000);
	tick(500);
	id = fill_slots_and_queue();
	ck_assert_uint_eq(answer_attempts(&id, 1), 0);
	tick(600);
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_REQUEST));
	frame = sent(RP__FRAME__BODY_PEER_STATE)->send.frame;
	ck_assert_uint_eq(frame->peer_state->pools[0]->queued, 5);
}
END_TEST

/* The agent of VM 1 connects with this agent boot id. */
static const struct Rp__Welcome *agent_hello(guint64 conn, const char *boot)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_HELLO);

	wire_set_string(&frame->hello->vm, "vm1");
	wire_set_string(&frame->hello->agent_boot_id, boot);
	set_pools(frame->hello, "fast", "slow");
	frame->hello->slots = 4;
	frame_in(conn, frame);
	return sent(RP__FRAME__BODY_WELCOME)->send.frame->welcome;
}

/*
 * Sends a request whose caller disconnects after 100 ms. The agent replies at
 * once that the upstream may still run it.
 */
static void cancel_request(void)
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
 * Guards against a Welcome without the requests in flight, or the cancelled
 * ones that may still run: a restarted agent would admit others to their slots.
 * An agent that did not restart still counts them, so its Welcome must have
 * none.
 */
START_TEST(test_maybe_running_reported)
{
	const struct Rp__Welcome *welcome;

	load_tables(1, "i", "ana");
	hello(1, 4, 1);
	request("/once");
	reply_ran(1, sent_request(NULL)->id);
	cancel_request();
	request("/slow");
	now += 300;
	closed(1);
	ck_assert_uint_eq(agent_hello(101, "boot")->n_unended, 0);
	welcome = agent_hello(201, "boot-2");
	ck_assert_uint_eq(welcome->n_unended, 2);
	ck_assert_str_eq(welcome->unended[0]->pool, "fast");
	ck_assert_uint_eq(welcome->unended[0]->n_remaining_ms, 1);
	/*
	 * The cancelled request has a timeout of 1000 ms and a reply 100 ms
	 * after it was sent, so it ends at most 1100 ms after that; 400 ms have
	 * passed.
	 */
	ck_assert_uint_eq(welcome->unended[0]->remaining_ms[0], 700);
	ck_assert_str_eq(welcome->unended[1]->pool, "slow");
	/* The other one has no reply, so it may have arrived just now. */
	ck_assert_uint_eq(welcome->unended[1]->remaining_ms[0], 1000);
	now += 700;
	ck_assert_uint_eq(agent_hello(301, "boot-3")->n_unended, 1);
}
END_TEST

/*
 * Guards against memory that grows with the number of cancelled requests, and
 * against dropping the latest of them instead of the oldest.
 */
START_TEST(test_maybe_running_bounded)
{
	const struct Rp__Welcome *welcome;
	const struct Rp__Unended *unended;

	load_tables(1, "i", "ana");
	hello(1, 4, 1);
	for (unsigned i = 0; i < 6; i++)
		cancel_request();
	welcome = agent_hello(101, "boot-2");
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
	tcase_add_loop_test(tcase, test_no_admission_limits, 0,
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
	tcase_add_test(tcase, test_maybe_running_reported);
	tcase_add_test(tcase, test_maybe_running_bounded);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
