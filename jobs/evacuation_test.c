#include "jobs/internal.h"
#include "jobs/sim_test.h"
#include "tests/fixture.h"

/* Time for claims, loading of records, connections and first grants. */
#define READY_MS 4000
/* Longer than any test runs. */
#define LONG_MS 10000000

static struct sim *sim;
static struct evac *evac;

static void setup(void)
{
	evac = evac_new();
}

static void teardown(void)
{
	ck_assert_msg(!sim->violation, "%s", sim->violation);
	sim_free(sim);
	evac_free(evac);
}

/* Starts one entry, with vm0 and vm2 in zone-b and vm1 in zone-a. */
static void start_sim(unsigned vms)
{
	sim = sim_new(1, 1, vms);
	sim->work_ms = LONG_MS;
	sim_run(sim, READY_MS);
}

/* Reports to the entry that the zone is evacuated, or returned to service. */
static void set_evacuated(const char *zone, gboolean evacuated)
{
	struct evac_zone item = { .zone = (char *)zone,
				  .author = (char *)"ana",
				  .reason = (char *)"test" };
	struct evac *next = evacuated ? evac_begin(evac, &item, NULL)
				      : evac_end(evac, zone, NULL);
	struct job_event ev = { .kind = JOB_EV_EVACUATIONS };

	ck_assert_ptr_nonnull(next);
	ev.evacuations.evacuations = next;
	sim_feed(sim, 0, &ev);
	evac_free(evac);
	evac = next;
}

/* Returns the job's VM, or NULL while it has none; freed by the caller. */
static char *vm_of(const char *id)
{
	struct Rp__JobRecord *record = sim_record(sim, id);
	char *vm = record && *record->vm ? g_strdup(record->vm) : NULL;

	if (record)
		rp__job_record__free_unpacked(record, NULL);
	return vm;
}

static void expect_vm(const char *id, const char *expected)
{
	g_autofree char *vm = vm_of(id);

	ck_assert_msg(!g_strcmp0(vm, expected), "%s is on %s", id,
		      vm ? vm : "no VM");
}

static void expect_json(void (*print)(const struct job *job, GString *out),
			const char *text)
{
	g_autoptr(GString) json = g_string_new(NULL);

	print(sim->entries[0].job, json);
	ck_assert_msg(strstr(json->str, text) != NULL, "%s", json->str);
}

/*
 * Guards against an attempt that is placed in an evacuated zone, and against
 * running attempts that an evacuation ends.
 */
START_TEST(test_no_placement)
{
	char id[16];
	unsigned i;

	start_sim(2);
	set_evacuated("zone-b", TRUE);
	for (i = 0; i < 6; i++) {
		g_snprintf(id, sizeof(id), "j%u", i);
		sim_submit(sim, i + 1, id, "/batch", 1000);
	}
	sim_run(sim, 1000);
	for (i = 0; i < 6; i++) {
		g_snprintf(id, sizeof(id), "j%u", i);
		expect_vm(id, "vm1");
	}
	expect_json(job_blocked_vms_json, "\"why\":\"its zone is evacuated\"");
	set_evacuated("zone-b", FALSE);
	set_evacuated("zone-a", TRUE);
	sim_submit(sim, 9, "late", "/batch", 1000);
	sim_run(sim, 1000);
	expect_vm("late", "vm0");
	expect_vm("j0", "vm1");
	ck_assert_uint_eq(sim->vms[1].tasks->len, 6);
}
END_TEST

/*
 * Guards against jobs that are lost, or whose wait is not explained, while all
 * zones are evacuated, and that are not placed after that.
 */
START_TEST(test_all_zones)
{
	start_sim(2);
	set_evacuated("zone-a", TRUE);
	set_evacuated("zone-b", TRUE);
	sim_submit(sim, 1, "a", "/batch", 1000);
	sim_run(sim, 20000);
	expect_vm("a", NULL);
	expect_json(job_status_json,
		    "waits: the VMs it fits on are in evacuated zones");
	set_evacuated("zone-a", FALSE);
	sim_run(sim, 1000);
	expect_vm("a", "vm1");
}
END_TEST

/*
 * Guards against an attempt whose start is sent to a zone that was evacuated
 * after the placement, while the record was being written.
 */
START_TEST(test_placed_before)
{
	start_sim(1);
	sim_submit(sim, 1, "a", "/batch", 1000);
	while (!job_attempt_unsent(job_item_find(sim->entries[0].job, "a")))
		sim_run(sim, 1);
	ck_assert_uint_eq(sim->vms[0].tasks->len, 0);
	set_evacuated("zone-b", TRUE);
	sim_run(sim, 10000);
	ck_assert_uint_eq(sim->vms[0].tasks->len, 0);
	expect_vm("a", NULL);
	set_evacuated("zone-b", FALSE);
	sim_run(sim, 1000);
	expect_vm("a", "vm0");
}
END_TEST

/*
 * Guards against a VM that stays reserved for a job although its zone was
 * evacuated: the job must get a VM in another zone.
 */
START_TEST(test_reservation_ends)
{
	start_sim(2);
	set_evacuated("zone-a", TRUE);
	sim_submit(sim, 1, "first", "/batch", 12000);
	sim_run(sim, 1000);
	expect_vm("first", "vm0");
	sim_submit(sim, 2, "large", "/batch", 15000);
	/* After 5 s, vm0 is reserved for it. */
	sim_run(sim, 8000);
	expect_vm("large", NULL);
	set_evacuated("zone-b", TRUE);
	set_evacuated("zone-a", FALSE);
	sim_run(sim, 1000);
	expect_vm("large", "vm1");
}
END_TEST

/* Guards against jobs that are placed before the evacuated zones are known. */
START_TEST(test_unread)
{
	sim_wait_for_evacuations = TRUE;
	start_sim(1);
	sim_wait_for_evacuations = FALSE;
	sim_submit(sim, 1, "a", "/batch", 1000);
	sim_run(sim, 10000);
	expect_vm("a", NULL);
	expect_json(job_status_json,
		    "waits: the evacuated zones were not read yet");
	set_evacuated("zone-a", TRUE);
	sim_run(sim, 1000);
	expect_vm("a", "vm0");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("jobs evacuation");
	TCase *tcase = tcase_create("evacuation");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_no_placement);
	tcase_add_test(tcase, test_all_zones);
	tcase_add_test(tcase, test_placed_before);
	tcase_add_test(tcase, test_reservation_ends);
	tcase_add_test(tcase, test_unread);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
