#include "jobs/sim_test.h"
#include "tests/fixture.h"

/* Time for claims, loading of records, connections and first grants. */
#define READY_MS 4000
/* Longer than any test runs. */
#define LONG_MS 10000000

static struct sim *sim;

static void start_sim(unsigned vms, gint64 work_ms)
{
	sim = sim_new(1, 1, vms);
	sim->work_ms = work_ms;
	sim_run(sim, READY_MS);
}

static void teardown(void)
{
	ck_assert_msg(!sim->violation, "%s", sim->violation);
	sim_free(sim);
}

static void expect(const char *text)
{
	g_autoptr(GString) json = g_string_new(NULL);

	job_blocked_vms_json(sim->entries[0].job, json);
	if (*text)
		ck_assert_msg(strstr(json->str, text) != NULL, "%s", json->str);
	else
		ck_assert_str_eq(json->str, "[]");
}

/*
 * Guards against a status that does not show why the jobs of a lost VM wait:
 * first it is disconnected, then fenced.
 */
START_TEST(test_lost_vm)
{
	start_sim(1, LONG_MS);
	expect("");
	sim_submit(sim, 1, "a", "/batch", 1000);
	sim_run(sim, 2000);
	expect("");
	sim_disconnect(&sim->vms[0], 0);
	sim->vms[0].disconnected_until[0] = sim->now + 15000;
	sim_run(sim, 1000);
	expect("\"for_ms\":0,\"tasks\":1,\"why\":\"not connected\"");
	sim_run(sim, 12000);
	expect("\"tasks\":1,\"why\":\"lost and fenced; its jobs wait");
	sim_run(sim, 40000);
	expect("");
}
END_TEST

/* Guards against a status without the quarantined VM or the reason. */
START_TEST(test_faulty_vm)
{
	g_autoptr(GString) json = g_string_new(NULL);
	char id[16];
	unsigned i;

	start_sim(3, 100);
	sim->vms[0].faulty = TRUE;
	for (i = 0; i < 60; i++) {
		g_snprintf(id, sizeof(id), "j%u", i);
		sim_submit(sim, i + 1, id, "/batch", 8000);
	}
	for (i = 0; i < 90 && !strstr(json->str, "vm0"); i++) {
		sim_run(sim, 100);
		g_string_truncate(json, 0);
		job_blocked_vms_json(sim->entries[0].job, json);
	}
	expect("\"vm\":\"vm0\"");
	expect("\"why\":\"jobs failed there that succeed elsewhere\"");
}
END_TEST

static Rp__JobState state_of(const char *id)
{
	struct Rp__JobRecord *record = sim_record(sim, id);
	Rp__JobState state = record ? record->state
				    : RP__JOB_STATE__JOB_STATE_NONE;

	if (record)
		rp__job_record__free_unpacked(record, NULL);
	return state;
}

static void expect_wait(const char *why)
{
	g_autoptr(GString) json = g_string_new(NULL);

	job_status_json(sim->entries[0].job, json);
	ck_assert_msg(strstr(json->str, why) != NULL, "%s", json->str);
}

/*
 * Guards against a team that uses more of a pool than its quota, and against
 * jobs that wait for the quota without showing it as the reason.
 */
START_TEST(test_team_quota)
{
	struct cfg_pool *pool;

	start_sim(2, 5000);
	pool = g_ptr_array_index(sim->tables->pools, 0);
	pool->team_max_cpu_milli = 2000;
	sim_submit(sim, 1, "a", "/batch", 1000);
	sim_run(sim, 500);
	sim_submit(sim, 2, "b", "/batch", 1000);
	sim_run(sim, 500);
	sim_submit(sim, 3, "c", "/batch", 1000);
	sim_submit(sim, 4, "d", "/batch", 3000);
	sim_run(sim, 1000);
	ck_assert_int_eq(state_of("a"), RP__JOB_STATE__JOB_STATE_RUNNING);
	ck_assert_int_eq(state_of("b"), RP__JOB_STATE__JOB_STATE_RUNNING);
	ck_assert_int_eq(state_of("c"), RP__JOB_STATE__JOB_STATE_QUEUED);
	expect_wait("waits: its team is at its quota");
	expect_wait("can never run: larger than its team's quota");
	sim_run(sim, 5000);
	ck_assert_int_eq(state_of("c"), RP__JOB_STATE__JOB_STATE_RUNNING);
	ck_assert_int_eq(state_of("d"), RP__JOB_STATE__JOB_STATE_QUEUED);
}
END_TEST

static void put(const char *key, const void *data, size_t len)
{
	struct kv_op op = { .kind = KV_OP_PUT, .key = (char *)key };

	op.value = g_bytes_new(data, len);
	sim->revision++;
	sim_put(sim, &op);
	g_bytes_unref(op.value);
}

/*
 * Guards against loss of record fields that only a newer version knows: during
 * an upgrade, an entry of the old version loads and rewrites such records.
 */
START_TEST(test_later_record)
{
	static const uint8_t field[] = { 0xfa, 0x07, 0x01, 'x' };
	struct Rp__JobRecord record = RP__JOB_RECORD__INIT;
	struct Rp__JobRecord *written;
	g_autofree char *key = g_strdup_printf("radishpier/job/%02u/a",
					       job_shard("a"));
	uint8_t packed[256];
	size_t len;

	record.job_id = (char *)"a";
	record.state = RP__JOB_STATE__JOB_STATE_QUEUED;
	record.attempt = 1;
	record.max_attempts = 1;
	record.kind = (char *)"/batch";
	record.pool = (char *)"batch";
	len = rp__job_record__pack(&record, packed);
	memcpy(packed + len, field, sizeof(field));
	sim = sim_new(1, 1, 1);
	put("radishpier/payload/a", "p", 1);
	put(key, packed, len + sizeof(field));
	sim->work_ms = LONG_MS;
	sim_run(sim, READY_MS);
	written = sim_record(sim, "a");
	ck_assert_int_eq(written->state, RP__JOB_STATE__JOB_STATE_RUNNING);
	ck_assert_uint_eq(written->base.n_unknown_fields, 1);
	ck_assert_uint_eq(written->base.unknown_fields[0].tag, 127);
	rp__job_record__free_unpacked(written, NULL);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("jobs status");
	TCase *tcase = tcase_create("vms");

	tcase_add_checked_fixture(tcase, NULL, teardown);
	tcase_add_test(tcase, test_lost_vm);
	tcase_add_test(tcase, test_faulty_vm);
	tcase_add_test(tcase, test_team_quota);
	tcase_add_test(tcase, test_later_record);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
