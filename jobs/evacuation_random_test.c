#include "jobs/sim_test.h"
#include "tests/fixture.h"

/*
 * Evacuates zones at random in the simulation of jobs_random_test.c. Each entry
 * is told at once, or at a random time after its restart.
 */

#define EVENTS_PER_SEED 12000
#define SEEDS 16

struct model {
	struct sim *sim;
	/** Zones that are evacuated now. */
	struct evac *evac;
	/** Starts on their way to a VM, by entry, at the last check. */
	unsigned on_their_way[SIM_VMS][SIM_ENTRIES];
	unsigned changes;
	unsigned jobs;
};

static const char *zone_of(const struct sim_vm *vm)
{
	/* As sim_connect() reports it. */
	return vm->name[2] % 2 ? "zone-a" : "zone-b";
}

static void tell_entries(struct model *m)
{
	struct job_event ev = { .kind = JOB_EV_EVACUATIONS };
	unsigned e;

	ev.evacuations.evacuations = m->evac;
	for (e = 0; e < m->sim->n_entries; e++)
		sim_feed(m->sim, e, &ev);
}

static unsigned starts_to(struct sim_vm *vm, unsigned e)
{
	unsigned n = 0;
	GList *link;

	for (link = vm->to_agent[e].head; link; link = link->next)
		n += ((struct Rp__Frame *)link->data)->body_case ==
		     RP__FRAME__BODY_TASK_START;
	return n;
}

/* Checks that no entry sent a start to an evacuated zone since the last call.
 */
static void check_starts(struct model *m)
{
	struct sim *sim = m->sim;
	unsigned e;
	unsigned v;

	for (v = 0; v < sim->n_vms; v++) {
		struct sim_vm *vm = &sim->vms[v];

		for (e = 0; e < sim->n_entries; e++) {
			unsigned n = starts_to(vm, e);

			if (evac_find(m->evac, zone_of(vm)) &&
			    n > m->on_their_way[v][e])
				sim_violation(sim,
					      "entry %u sent a start to %s, "
					      "whose zone is evacuated",
					      e, vm->name);
			m->on_their_way[v][e] = n;
		}
	}
}

/* Evacuates each zone with a probability of 1/3; the agents refuse starts. */
static void change(struct model *m, gboolean end)
{
	static const char *const names[] = { "zone-a", "zone-b" };
	struct evac *old = m->evac;
	struct evac *next = evac_new();
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		struct evac_zone zone = { .zone = (char *)names[i],
					  .author = (char *)"ana",
					  .reason = (char *)"test" };
		struct evac *more;

		if (end || sim_pick(m->sim, 3))
			continue;
		more = evac_begin(next, &zone, NULL);
		evac_free(next);
		next = more;
	}
	m->evac = next;
	m->changes++;
	for (i = 0; i < m->sim->n_vms; i++) {
		struct sim_vm *vm = &m->sim->vms[i];

		vm->refuses = evac_find(next, zone_of(vm)) != NULL;
	}
	tell_entries(m);
	evac_free(old);
	/* Starts that were sent before remain on their way. */
	check_starts(m);
}

static void step(struct model *m)
{
	struct sim *sim = m->sim;
	struct sim_vm *vm = &sim->vms[sim_pick(sim, (gint32)sim->n_vms)];
	unsigned e = (unsigned)sim_pick(sim, (gint32)sim->n_entries);
	gint32 dice = sim_pick(sim, 10000);

	if (dice < 1000)
		sim_advance(sim, 1 + sim_pick(sim, 60));
	else if (dice < 4500 && sim->now >= sim->entries[e].paused_until)
		sim_entry_read(sim, vm, e);
	else if (dice < 8000 && sim->now >= vm->paused_until)
		sim_agent_read(sim, vm, e);
	else if (dice < 9700)
		sim_complete_due(sim);
	else if (dice < 9850)
		sim_peers_read(sim);
	else if (dice < 9880)
		change(m, FALSE);
	else if (dice < 9920)
		tell_entries(m);
	else if (dice < 9990)
		sim_random_call(sim, &m->jobs);
	else
		sim_fault(sim, vm);
	check_starts(m);
}

/*
 * Guards against an order of evacuations, faults and lost messages in which a
 * start is sent to a zone that the entry knows to be evacuated, or in which a
 * job is lost, executes in two places or never ends. RP_SEED repeats one seed
 * exactly.
 */
START_TEST(test_random)
{
	const char *text = getenv("RP_SEED");
	guint32 seed = text ? (guint32)strtoul(text, NULL, 10)
			    : (guint32)_i + 1;
	g_autofree char *replay = g_strdup_printf("RP_SEED=%u", seed);
	struct model m = { .evac = evac_new() };

	if (text && _i > 0) {
		evac_free(m.evac);
		return;
	}
	sim_wait_for_evacuations = TRUE;
	m.sim = sim_new(seed, 2 + seed % 2, SIM_VMS);
	m.sim->fail_percent = 10;
	sim_mix_sizes(m.sim);
	while (m.sim->events < EVENTS_PER_SEED && !m.sim->violation) {
		step(&m);
		sim_check(m.sim);
	}
	ck_assert_uint_gt(m.changes, 10);
	sim_wait_for_evacuations = FALSE;
	change(&m, TRUE);
	sim_finish(m.sim, m.jobs, replay);
	evac_free(m.evac);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("jobs evacuation random");
	TCase *tcase = tcase_create("random");

	tcase_add_loop_test(tcase, test_random, 0, SEEDS);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
