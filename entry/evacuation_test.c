#include "entry/fixture_test.h"
#include "evac/evac.h"
#include "tests/fixture.h"

/* Returns a document in which each letter of zones is an evacuated zone. */
static GBytes *evacuations(guint64 generation, const char *zones)
{
	struct evac *evac = evac_new();
	GBytes *bytes;

	for (; *zones; zones++) {
		char name[2] = { *zones, '\0' };
		struct evac_zone zone = { .zone = name,
					  .author = (char *)"ana",
					  .reason = (char *)"test" };
		struct evac *next = evac_begin(evac, &zone, NULL);

		evac_free(evac);
		evac = next;
	}
	evac->generation = generation;
	bytes = evac_encode(evac);
	evac_free(evac);
	return bytes;
}

/* Reports the store's document; none if the generation is 0. */
static void read_evacuations(guint64 generation, const char *zones)
{
	g_autoptr(GBytes) bytes = evacuations(generation, zones);
	struct ent_event event = { .kind = ENT_EV_EVACUATIONS };

	if (generation)
		event.evacuations.data =
			g_bytes_get_data(bytes, &event.evacuations.len);
	apply(&event);
}

/* Delivers a document from an agent or a peer. */
static void update(guint64 conn, guint64 generation, const char *zones,
		   gboolean read, gint64 age_ms)
{
	g_autoptr(GBytes) bytes = evacuations(generation, zones);

	frame_in(conn, wire_evacuation_update_new(generation ? bytes : NULL,
						  read, age_ms));
}

static void hello_from(guint64 conn, const char *zone)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_HELLO);
	char *vm = g_strdup_printf("vm%d", (int)conn);

	wire_set_string(&frame->hello->vm, vm);
	wire_set_string(&frame->hello->agent_boot_id, "boot");
	wire_set_string(&frame->hello->zone, zone);
	set_pools(frame->hello, "fast", "slow");
	frame->hello->slots = 4;
	frame->hello->tables_generation = 1;
	frame_in(conn, frame);
	g_free(vm);
}

static void peer_hello(guint64 conn, const char *id)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_PEER_HELLO);

	wire_set_string(&frame->peer_hello->entry_id, id);
	frame->peer_hello->tables_generation = 1;
	frame_in(conn, frame);
}

/* Replaces the entry by one that does not know the evacuated zones. */
static void start_unread(void)
{
	struct ent_options options = {
		.id = "e1", .zone = "a", .seed = 7, .wait_for_evacuations = TRUE
	};

	ent_free(ent);
	ent = ent_new(&options);
	load_tables(1, "i", "ana");
	hello_from(1, "a");
}

/* Guards against a request that is sent to an evacuated zone. */
START_TEST(test_routing)
{
	guint64 conn;

	load_tables(1, "i", "ana");
	hello_from(1, "a");
	hello_from(2, "b");
	read_evacuations(1, "a");
	hello_from(3, "a");
	for (unsigned i = 0; i < 4; i++) {
		request("/once");
		sent_request(&conn);
		ck_assert_uint_eq(conn, 2);
	}
	/* The slots of the other zone are used up: the next one waits. */
	request("/once");
	ck_assert_ptr_null(sent(RP__FRAME__BODY_REQUEST));
	ck_assert_ptr_null(find(ENT_FX_ANSWER));
	read_evacuations(2, "");
	sent_request(&conn);
	ck_assert_uint_ne(conn, 2);
}
END_TEST

/* Guards against a request in flight that an evacuation cuts off. */
START_TEST(test_running_continues)
{
	guint64 handle;
	guint64 id;

	load_tables(1, "i", "ana");
	hello_from(1, "a");
	handle = request("/once");
	id = sent_request(NULL)->id;
	read_evacuations(1, "a");
	ck_assert_ptr_null(find(ENT_FX_ANSWER));
	ck_assert_ptr_null(sent(RP__FRAME__BODY_CANCEL));
	reply_ran(1, id);
	assert_answer(handle, 200, RP__OUTCOME__OUTCOME_RAN);
}
END_TEST

/*
 * Guards against requests that wait for their deadline while all zones are
 * evacuated, and against a refusal without Retry-After or not-run.
 */
START_TEST(test_all_zones)
{
	guint64 waiting;
	guint64 handle;
	unsigned i;

	load_tables(1, "i", "ana");
	hello_from(1, "a");
	hello_from(2, "b");
	for (i = 0; i < 8; i++)
		request("/once");
	waiting = request("/once");
	ck_assert_ptr_null(find(ENT_FX_ANSWER));
	read_evacuations(1, "ab");
	assert_answer(waiting, 503, RP__OUTCOME__OUTCOME_NOT_RUN);
	handle = request("/once");
	assert_answer(handle, 503, RP__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_uint_eq(find(ENT_FX_ANSWER)->answer.retry_after_s, 5);
	ck_assert_int_eq(find(ENT_FX_ANSWER)->answer.reason,
			 RP__REASON__REASON_EVACUATED);
	read_evacuations(2, "a");
	hello_from(3, "b");
	request("/once");
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_REQUEST));
}
END_TEST

/*
 * Guards against requests that are refused because the only VM in service
 * restarts, while others are in an evacuated zone: it may reconnect.
 */
START_TEST(test_restart_beside_evacuated)
{
	guint64 handle;

	load_tables(1, "i", "ana");
	hello_from(1, "a");
	hello_from(2, "b");
	read_evacuations(1, "a");
	closed(2);
	request_with("/once", 20000, NULL);
	ck_assert_ptr_null(find(ENT_FX_ANSWER));
	hello_from(2, "b");
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_REQUEST));
	closed(2);
	handle = request_with("/slow", 20000, NULL);
	ck_assert_ptr_null(find(ENT_FX_ANSWER));
	tick(5001);
	assert_answer(handle, 503, RP__OUTCOME__OUTCOME_NOT_RUN);
}
END_TEST

/*
 * Guards against an entry that takes all zones for in service before it knows,
 * and against one that does not become ready when it knows.
 */
START_TEST(test_unread)
{
	guint64 handle;

	start_unread();
	ck_assert(!ent_ready(ent));
	ck_assert_ptr_null(ent_evacuations(ent));
	handle = request("/once");
	assert_answer(handle, 503, RP__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_uint_gt(find(ENT_FX_ANSWER)->answer.retry_after_s, 0);
	/* An agent does not know whether its document is the newest one. */
	update(1, 3, "b", TRUE, 0);
	ck_assert(!ent_ready(ent));
	read_evacuations(0, "");
	ck_assert(ent_ready(ent));
	ck_assert_uint_eq(ent_evacuations(ent)->generation, 3);
	request("/once");
	ck_assert_ptr_nonnull(sent(RP__FRAME__BODY_REQUEST));
}
END_TEST

/*
 * Guards against an entry that cannot start while the store is down, although a
 * peer knows the evacuated zones, and against a wrong age.
 */
START_TEST(test_read_from_peer)
{
	start_unread();
	peer_hello(9, "e2");
	ck_assert_ptr_null(sent(RP__FRAME__BODY_EVACUATION_UPDATE));
	update(9, 0, "", FALSE, 0);
	ck_assert(!ent_ready(ent));
	update(9, 0, "", TRUE, 400);
	ck_assert(ent_ready(ent));
	ck_assert_int_eq(ent_evacuations_age_ms(ent), 400);
	tick(100);
	ck_assert_int_eq(ent_evacuations_age_ms(ent), 500);
	update(9, 2, "a", TRUE, 30);
	ck_assert_int_eq(ent_evacuations_age_ms(ent), 30);
	update(9, 2, "a", TRUE, 900);
	ck_assert_int_eq(ent_evacuations_age_ms(ent), 30);
}
END_TEST

/* Guards against a peer that is not told that no zone is evacuated. */
START_TEST(test_tells_peer)
{
	const struct ent_effect *effect;

	load_tables(1, "i", "ana");
	peer_hello(9, "e2");
	effect = sent(RP__FRAME__BODY_EVACUATION_UPDATE);
	ck_assert_ptr_nonnull(effect);
	ck_assert(effect->send.frame->evacuation_update->read);
	ck_assert_uint_eq(effect->send.frame->evacuation_update->document.len,
			  0);
	hello_from(1, "a");
	ck_assert_ptr_null(sent(RP__FRAME__BODY_EVACUATION_UPDATE));
}
END_TEST

static unsigned updates_sent(void)
{
	unsigned n = 0;

	for (unsigned i = 0; i < effects->len; i++)
		n += effect_at(i)->kind == ENT_FX_SEND &&
		     effect_at(i)->send.frame->body_case ==
			     RP__FRAME__BODY_EVACUATION_UPDATE;
	return n;
}

/*
 * Guards against a process that is not told of a change, or is sent the same
 * document again and again.
 */
START_TEST(test_push)
{
	load_tables(1, "i", "ana");
	hello_from(1, "a");
	peer_hello(9, "e2");
	read_evacuations(1, "a");
	ck_assert_uint_eq(updates_sent(), 2);
	read_evacuations(1, "a");
	ck_assert_uint_eq(updates_sent(), 0);
	hello_from(2, "b");
	ck_assert_uint_eq(updates_sent(), 1);
	/* Only the others need what the peer sent. */
	update(9, 2, "", TRUE, 0);
	ck_assert_uint_eq(updates_sent(), 2);
	/* An agent that was cut off for a time is corrected. */
	hello_from(3, "a");
	update(3, 1, "a", FALSE, 0);
	ck_assert_uint_eq(updates_sent(), 0);
	ck_assert_uint_eq(ent_evacuations(ent)->generation, 2);
}
END_TEST

/*
 * Guards against an evacuation that ends because the store lost the document or
 * was restored from a backup, or because a document is not valid.
 */
START_TEST(test_refused_documents)
{
	struct ent_event event = { .kind = ENT_EV_EVACUATIONS };

	load_tables(1, "i", "ana");
	hello_from(1, "a");
	read_evacuations(5, "a");
	read_evacuations(0, "");
	ck_assert_uint_eq(counted("radishpier_evacuations_refused_total"), 1);
	read_evacuations(4, "");
	ck_assert_uint_eq(counted("radishpier_evacuations_refused_total"), 1);
	read_evacuations(5, "b");
	ck_assert_uint_eq(counted("radishpier_evacuations_refused_total"), 1);
	event.evacuations.data = "{}";
	event.evacuations.len = 2;
	apply(&event);
	ck_assert_uint_eq(counted("radishpier_evacuations_refused_total"), 1);
	ck_assert_uint_eq(ent_evacuations(ent)->generation, 5);
	ck_assert_ptr_nonnull(evac_find(ent_evacuations(ent), "a"));
}
END_TEST

/*
 * Guards against a caller that gets the refusal of an agent which learned of
 * the evacuation before the entry: the request has not run and is sent to
 * another zone, once.
 */
START_TEST(test_agent_knows_first)
{
	guint64 handle;
	guint64 conn;
	guint64 id;

	load_tables(1, "i", "ana");
	hello_from(1, "a");
	handle = request("/once");
	id = sent_request(NULL)->id;
	hello_from(2, "b");
	update(1, 1, "a", FALSE, 0);
	reply(1, id, RP__OUTCOME__OUTCOME_NOT_RUN, RP__REASON__REASON_EVACUATED,
	      "");
	ck_assert_ptr_null(find(ENT_FX_ANSWER));
	id = sent_request(&conn)->id;
	ck_assert_uint_eq(conn, 2);
	reply_ran(2, id);
	assert_answer(handle, 200, RP__OUTCOME__OUTCOME_RAN);
}
END_TEST

/*
 * Guards against a request that is sent to the same agent again and again
 * because the entry refused the document by which the agent refuses.
 */
START_TEST(test_disagreement)
{
	unsigned sends = 0;
	guint64 id;

	load_tables(1, "i", "ana");
	hello_from(1, "a");
	request("/once");
	id = sent_request(NULL)->id;
	reply(1, id, RP__OUTCOME__OUTCOME_NOT_RUN, RP__REASON__REASON_EVACUATED,
	      "");
	ck_assert_ptr_null(sent(RP__FRAME__BODY_REQUEST));
	for (unsigned i = 0; i < 50; i++) {
		tick(10);
		if (!sent(RP__FRAME__BODY_REQUEST))
			continue;
		sends++;
		id = sent_request(NULL)->id;
		reply(1, id, RP__OUTCOME__OUTCOME_NOT_RUN,
		      RP__REASON__REASON_EVACUATED, "");
	}
	ck_assert_uint_le(sends, 5);
}
END_TEST

/* Guards against an age that does not grow while the store is unavailable. */
START_TEST(test_age)
{
	struct ent_event event = { .kind = ENT_EV_TICK };
	json_t *json;
	json_t *evac;

	start_unread();
	read_evacuations(3, "b");
	now += 5000;
	event.tick.evacuations_current = TRUE;
	apply(&event);
	ck_assert_int_eq(ent_evacuations_age_ms(ent), 0);
	tick(700);
	ck_assert_int_eq(ent_evacuations_age_ms(ent), 700);
	json = status();
	evac = json_object_get(json, "evacuations");
	ck_assert_int_eq(number(evac, "generation"), 3);
	ck_assert_int_eq(number(evac, "age_ms"), 700);
	ck_assert_str_eq(
		json_string_value(json_object_get(
			json_array_get(json_object_get(evac, "zones"), 0),
			"zone")),
		"b");
	json_decref(json);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("entry evacuation");
	TCase *tcase = tcase_create("evacuation");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_routing);
	tcase_add_test(tcase, test_running_continues);
	tcase_add_test(tcase, test_all_zones);
	tcase_add_test(tcase, test_restart_beside_evacuated);
	tcase_add_test(tcase, test_unread);
	tcase_add_test(tcase, test_read_from_peer);
	tcase_add_test(tcase, test_tells_peer);
	tcase_add_test(tcase, test_push);
	tcase_add_test(tcase, test_refused_documents);
	tcase_add_test(tcase, test_agent_knows_first);
	tcase_add_test(tcase, test_disagreement);
	tcase_add_test(tcase, test_age);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
