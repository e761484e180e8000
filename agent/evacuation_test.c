#include "agent_test.h"
#include "evac/evac.h"
#include "tests/fixture.h"

/* Delivers a document; zone is the only evacuated one, or NULL for none. */
static void evacuate(guint64 conn, guint64 generation, const char *zone)
{
	struct evac_zone item = { .zone = (char *)zone,
				  .author = (char *)"ana",
				  .reason = (char *)"test" };
	struct evac *none = evac_new();
	struct evac *evac = zone ? evac_begin(none, &item, NULL) : evac_new();
	g_autoptr(GBytes) bytes = NULL;

	evac->generation = generation;
	bytes = evac_encode(evac);
	deliver(conn, wire_evacuation_update_new(bytes, TRUE, 0));
	evac_free(evac);
	evac_free(none);
}

/* Guards against a request that runs in an evacuated zone. */
START_TEST(test_requests)
{
	guint64 call;

	request(1, 1, "checks", 1000, 0);
	ck_assert_ptr_nonnull(find(AGT_FX_FORWARD));
	call = find(AGT_FX_FORWARD)->forward.call;
	evacuate(1, 1, "zone-b");
	request(1, 2, "checks", 1000, 0);
	ck_assert_ptr_nonnull(find(AGT_FX_FORWARD));
	evacuate(1, 2, "zone-a");
	request(1, 3, "checks", 1000, 0);
	ck_assert_ptr_null(find(AGT_FX_FORWARD));
	ck_assert_int_eq(reply()->outcome, RP__OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_int_eq(reply()->reason, RP__REASON__REASON_EVACUATED);
	/* What runs continues. */
	upstream(call, AGT_UPSTREAM_ANSWERED);
	ck_assert_int_eq(reply()->outcome, RP__OUTCOME__OUTCOME_RAN);
	evacuate(1, 3, NULL);
	request(1, 4, "checks", 1000, 0);
	ck_assert_ptr_nonnull(find(AGT_FX_FORWARD));
}
END_TEST

/* Guards against a task that starts in an evacuated zone, or is ended by it. */
START_TEST(test_tasks)
{
	start_running("a", GB);
	evacuate(1, 1, "zone-a");
	ck_assert_ptr_null(find(AGT_FX_WORKER_STOP));
	task_start(1, "b", 1, 1, 1, GB);
	ck_assert_ptr_null(find(AGT_FX_WORKER_START));
	ck_assert_int_eq(task_event()->state,
			 RP__TASK_STATE__TASK_STATE_REFUSED);
	ck_assert_int_eq(task_event()->reason, RP__REASON__REASON_EVACUATED);
	list("b1", &worker_task, 1);
	ck_assert_ptr_null(find(AGT_FX_WORKER_STOP));
	ck_assert_ptr_null(find(AGT_FX_WORKER_CHECKPOINT));
	ck_assert_int_eq(committed().memory_bytes, GB);
	evacuate(1, 2, NULL);
	task_start(1, "b", 2, 1, 1, GB);
	ck_assert_ptr_nonnull(find(AGT_FX_WORKER_START));
}
END_TEST

/*
 * Guards against a start without an answer that is repeated in an evacuated
 * zone: if the worker has the task, it continues; if not, the owner learns that
 * it does not run.
 */
START_TEST(test_unanswered_start)
{
	guint64 op;

	task_start(1, "a", 1, 1, 1, GB);
	op = op_of(AGT_FX_WORKER_START);
	evacuate(1, 1, "zone-a");
	worker_done(op, FALSE, FALSE);
	tick(600);
	ck_assert_ptr_null(find(AGT_FX_WORKER_START));
	if (_i) {
		worker_tasks("b1", &worker_task, 1);
		ck_assert_int_eq(task_event()->state,
				 RP__TASK_STATE__TASK_STATE_RUNNING);
		ck_assert_ptr_null(find(AGT_FX_WORKER_STOP));
		return;
	}
	worker_tasks("b1", NULL, 0);
	ck_assert_ptr_null(find(AGT_FX_WORKER_START));
	worker_done(op_of(AGT_FX_WORKER_STOP), TRUE, TRUE);
	list("b1", NULL, 0);
	ck_assert_int_eq(task_event()->state,
			 RP__TASK_STATE__TASK_STATE_STOPPED);
	ck_assert_int_eq(task_event()->reason, RP__REASON__REASON_EVACUATED);
}
END_TEST

/*
 * Guards against an older document that returns the zone to service, for
 * example from an entry that was paused; that entry is sent the newer one.
 */
START_TEST(test_older_document)
{
	const struct Rp__Frame *frame;

	evacuate(1, 3, "zone-a");
	ck_assert_ptr_null(sent(RP__FRAME__BODY_EVACUATION_UPDATE));
	simple(AGT_EV_CONNECTED, 2);
	welcome(2, "e2");
	frame = sent(RP__FRAME__BODY_EVACUATION_UPDATE);
	ck_assert_ptr_nonnull(frame);
	ck_assert(!frame->evacuation_update->read);
	ck_assert_uint_gt(frame->evacuation_update->document.len, 0);
	evacuate(2, 2, NULL);
	request(2, 1, "checks", 1000, 0);
	ck_assert_int_eq(reply()->reason, RP__REASON__REASON_EVACUATED);
	/* The same generation with other content is refused. */
	evacuate(2, 3, NULL);
	request(2, 2, "checks", 1000, 0);
	ck_assert_int_eq(reply()->reason, RP__REASON__REASON_EVACUATED);
}
END_TEST

/* Guards against a document that is not valid and ends an evacuation. */
START_TEST(test_invalid_document)
{
	g_autoptr(GBytes) bad = g_bytes_new_static("{\"zones\":[]}", 12);

	evacuate(1, 1, "zone-a");
	deliver(1, wire_evacuation_update_new(bad, TRUE, 0));
	deliver(1, wire_evacuation_update_new(NULL, TRUE, 0));
	request(1, 1, "checks", 1000, 0);
	ck_assert_int_eq(reply()->reason, RP__REASON__REASON_EVACUATED);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("agent evacuation");
	TCase *tcase = tcase_create("evacuation");

	tcase_add_checked_fixture(tcase, setup_ready, teardown);
	tcase_add_test(tcase, test_requests);
	tcase_add_test(tcase, test_tasks);
	tcase_add_loop_test(tcase, test_unanswered_start, 0, 2);
	tcase_add_test(tcase, test_older_document);
	tcase_add_test(tcase, test_invalid_document);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
