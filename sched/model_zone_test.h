#ifndef SCHED_MODEL_ZONE_TEST_H
#define SCHED_MODEL_ZONE_TEST_H

#include "model_io_test.h"

/*
 * Evacuations in the model of model_test.c: an operator changes zones at any
 * time, several ones and all of them too, and leaders read them from the store
 * with delays and outages, also leaders that were replaced.
 */

/* Evacuates a zone or returns it to service, at random times; some evacuations
 * end before they are in force. */
static void change_zones(struct model *m)
{
	guint zone;

	if (!m->load.evacuations || m->now_ms < m->next_zone_change_ms)
		return;
	if (m->faults_off) {
		memset(m->evacuated_ms, 0, sizeof(m->evacuated_ms));
		return;
	}
	zone = (guint)g_rand_int_range(m->rand, 0, ZONES);
	m->evacuated_ms[zone] = m->evacuated_ms[zone] ? 0 : m->now_ms;
	m->next_zone_change_ms =
		m->now_ms + (g_rand_boolean(m->rand)
				     ? g_rand_int_range(m->rand, TICK_MS, 800)
				     : g_rand_int_range(m->rand, 800, 9000));
	trace(m, "zone z%u is %s", zone,
	      m->evacuated_ms[zone] ? "evacuated" : "returned to service");
}

static void deliver_zones(struct model *m, guint leader)
{
	static const char *const names[ZONES] = { "z0", "z1", "z2" };
	struct model_leader *l = &m->leaders[leader];
	struct sch_evacuation list[ZONES];
	struct sch_event ev = { .kind = SCH_EVENT_EVACUATIONS,
				.evacuations = list,
				.confirmed_ms = l->zones_read_ms };
	guint zone;

	for (zone = 0; zone < ZONES; zone++) {
		if (!l->zones[zone])
			continue;
		list[ev.n_evacuations].zone = names[zone];
		list[ev.n_evacuations++].revision = 1;
	}
	l->zones_arrival_ms = 0;
	leader_reduce(m, leader, &ev);
}

/* Reads the evacuated zones for a leader. What it read while it is frozen
 * arrives when it continues, and is old then. */
static void watch_zones(struct model *m, guint leader)
{
	struct model_leader *l = &m->leaders[leader];
	guint zone;

	if (!m->load.evacuations || m->now_ms < l->frozen_until_ms)
		return;
	if (l->zones_arrival_ms && m->now_ms >= l->zones_arrival_ms)
		deliver_zones(m, leader);
	if (l->zones_arrival_ms || m->now_ms < l->next_zones_read_ms)
		return;
	for (zone = 0; zone < ZONES; zone++)
		l->zones[zone] = m->evacuated_ms[zone] != 0;
	l->zones_read_ms = m->now_ms;
	l->zones_arrival_ms = m->now_ms + TICK_MS;
	if (fault_occurs(m, 0.1))
		l->zones_arrival_ms += g_rand_int_range(m->rand, 100, 6000);
	l->next_zones_read_ms = l->zones_arrival_ms +
				g_rand_int_range(m->rand, 0, 1300);
}

#endif
