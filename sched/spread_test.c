#include "leader_test.h"

/* Spreading of tasks over zones and racks; see spread.c. */

static void add_vm_in(struct leader *l, const char *vm, const char *zone,
		      const char *rack)
{
	l->zone = zone;
	l->rack = rack;
	add_vm(l, vm);
}

/* Three VMs in zone a, two of them in one rack, and one in zone b. */
static void setup_vms(struct leader *l, guint lost_zones)
{
	setup_zones(l, 0, lost_zones);
	add_vm_in(l, "vm1", "a", "r1");
	add_vm_in(l, "vm2", "a", "r1");
	add_vm_in(l, "vm3", "a", "r2");
	add_vm_in(l, "vm4", "b", "r3");
}

static guint n_runs(struct leader *l, const char *vm)
{
	return sch_vm_get(l->s, vm)->runs->len;
}

/* Submits a job of one long-running step. */
static void submit_long_running(struct leader *l, const char *path, guint n,
				gint64 cpu_milli, gboolean sensitive,
				guint max_per_vm)
{
	struct Rp__StepSpec step;
	struct Rp__Resources need;
	struct Rp__StepSpec *steps[] = { &step };

	init_step(&step, &need, n, cpu_milli);
	step.lasts = TRUE;
	step.target_ms = sensitive ? 100 : 0;
	step.image = (char *)"image";
	step.max_per_vm = max_per_vm;
	submit(l, path, steps, 1);
	commit(l);
}

/* Guards against a zone whose loss ends most tasks of a long-running step, and
 * against a change where the loss of a zone need not be tolerated. */
START_TEST(test_long_running_step_is_spread)
{
	struct leader l;

	setup_vms(&l, 1);
	submit_long_running(&l, "/q/a", 4, 1000, FALSE, 0);
	ck_assert_uint_eq(n_runs(&l, "vm4"), 2);
	/* Over the racks of the other zone, too. */
	ck_assert_uint_eq(n_runs(&l, "vm3"), 1);
	teardown(&l);

	setup_vms(&l, 0);
	submit_long_running(&l, "/q/a", 4, 1000, FALSE, 0);
	ck_assert_uint_eq(n_runs(&l, "vm1"), 1);
	ck_assert_uint_eq(n_runs(&l, "vm2"), 1);
	ck_assert_uint_eq(n_runs(&l, "vm3"), 1);
	ck_assert_uint_eq(n_runs(&l, "vm4"), 1);
	teardown(&l);
}
END_TEST

static guint count_used_vms(struct leader *l)
{
	GHashTableIter iter;
	gpointer value;
	guint used = 0;

	g_hash_table_iter_init(&iter, l->s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct sch_vm *)value)->runs->len)
			used++;
	return used;
}

/* Guards against latency-sensitive tasks on more VMs than packing needs, for
 * the sake of spreading. */
START_TEST(test_spreading_takes_no_free_vm)
{
	struct leader l;
	guint i;

	setup_vms(&l, 1);
	/* A free VM has a penalty that is divided by their number. */
	for (i = 5; i < 60; i++) {
		g_autofree char *name = g_strdup_printf("vm%u", i);

		add_vm_in(&l, name, "c", name);
	}
	submit_long_running(&l, "/q/a", 4, 2500, TRUE, 0);
	ck_assert_uint_eq(count_used_vms(&l), 1);
	teardown(&l);
}
END_TEST

/* Guards against latency-sensitive tasks in one zone where packing needs, or
 * has, VMs in another zone as well. */
START_TEST(test_latency_sensitive_step_is_spread)
{
	struct leader l;

	setup_vms(&l, 1);
	/* Takes a VM in each zone. */
	submit_long_running(&l, "/q/a", 2, 2500, TRUE, 1);
	ck_assert_uint_eq(n_runs(&l, "vm4"), 1);
	submit_long_running(&l, "/q/b", 4, 2500, TRUE, 0);
	ck_assert_uint_eq(n_runs(&l, "vm4"), 3);
	ck_assert_uint_eq(count_used_vms(&l), 2);
	teardown(&l);
}
END_TEST

/* Guards against both runs of a speculative task being lost with a zone. */
START_TEST(test_speculative_run_is_in_another_zone)
{
	struct leader l;
	struct sch_task *t;

	setup_vms(&l, 1);
	/* Without spreading, these VMs are preferred. */
	sch_vm_get(l.s, "vm1")->reserved.cpu_milli = 5000;
	sch_vm_get(l.s, "vm2")->reserved.cpu_milli = 5000;
	submit_one_task(&l);
	t = task(&l, "a.0.0.0");
	ck_assert_uint_eq(t->n_runs, 1);
	sch_place_speculative(l.s, t->runs[0]);
	ck_assert_uint_eq(t->n_runs, 2);
	ck_assert_ptr_ne(t->runs[0]->vm->zone, t->runs[1]->vm->zone);
	teardown(&l);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("spread");
	TCase *tcase = tcase_create("spread");

	tcase_add_test(tcase, test_long_running_step_is_spread);
	tcase_add_test(tcase, test_spreading_takes_no_free_vm);
	tcase_add_test(tcase, test_latency_sensitive_step_is_spread);
	tcase_add_test(tcase, test_speculative_run_is_in_another_zone);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
