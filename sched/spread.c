#include "internal.h"

/*
 * Spreading over zones, then racks, then VMs, for deployments that have to
 * tolerate the loss of a zone (options.lost_zones): of the tasks of one
 * long-running step, so that its job keeps most of them, and of the runs of a
 * speculative task, so that one survives.
 *
 * Latency-sensitive tasks are packed, so that whole VMs stay free of them for
 * best-effort work, and each image keeps to VMs of its own. Spreading must not
 * cost that, so for these tasks pick() of place.c lets it decide only between
 * VMs that packing takes for equal but for their free CPUs.
 */

/** Latency-sensitive tasks: for a zone that has its share of the step's tasks,
 * and for a rack that has any. Together they exceed nearly all differences that
 * the free CPUs of VMs make (FULL_VM_WEIGHT of place.c), but not a fault of the
 * worker (FAULT_PENALTY). */
#define SENSITIVE_ZONE_PENALTY 1.7
#define SENSITIVE_RACK_PENALTY 0.2

/** Other long-running tasks, likewise. The first is more than that for a task
 * of the step on the same VM (SAME_STEP_PENALTY of place.c). */
#define ZONE_PENALTY 8.0
#define RACK_PENALTY 1.0

/** Speculative runs: for the zone, and for the rack, of the task's other run.
 * Each is at least the difference that free CPUs make. */
#define SAME_ZONE_PENALTY 2.0
#define SAME_RACK_PENALTY 1.0

static gboolean spreads_step(const struct sch *s,
			     const struct sch_step_instance *instance)
{
	return s->options.lost_zones && instance->step->lasts;
}

gboolean sch_spread_applies(const struct sch *s, const struct sch_task *task)
{
	return s->options.lost_zones &&
	       (task->n_runs || task->instance->step->lasts);
}

void sch_spread_add_run(struct sch *s, const struct sch_task *task,
			const struct sch_vm *vm)
{
	guint n;

	if (!spreads_step(s, task->instance))
		return;
	if (vm->zone)
		vm->zone->n_step_tasks++;
	if (!vm->rack)
		return;
	n = GPOINTER_TO_UINT(g_hash_table_lookup(s->rack_tasks, vm->rack));
	g_hash_table_insert(s->rack_tasks, g_strdup(vm->rack),
			    GUINT_TO_POINTER(n + 1));
}

/* Returns the number of zones with usable VMs. */
static guint count_zones(struct sch *s)
{
	GHashTableIter iter;
	gpointer value;
	guint n = 0;

	g_hash_table_iter_init(&iter, s->zones);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sch_zone *zone = value;

		zone->n_step_tasks = 0;
		zone->is_usable = FALSE;
	}
	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct sch_vm *vm = value;

		if (!vm->zone || vm->zone->is_usable ||
		    !sch_vm_is_usable(s, vm))
			continue;
		vm->zone->is_usable = TRUE;
		n++;
	}
	return n;
}

void sch_spread_prepare(struct sch *s, const struct sch_step_instance *instance)
{
	guint n_zones;
	guint i;
	guint k;

	if (!spreads_step(s, instance))
		return;
	n_zones = MAX(count_zones(s), 1);
	s->zone_share = (instance->n_tasks + n_zones - 1) / n_zones;
	g_hash_table_remove_all(s->rack_tasks);
	for (i = 0; i < instance->n_tasks; i++) {
		const struct sch_task *task = &instance->tasks[i];

		for (k = 0; k < task->n_runs; k++)
			sch_spread_add_run(s, task, task->runs[k]->vm);
	}
}

double sch_spread_penalty(const struct sch *s, const struct sch_task *task,
			  const struct sch_vm *vm)
{
	gboolean sensitive = task->instance->step->target_ms != 0;
	double penalty = 0;

	if (task->n_runs) {
		const struct sch_vm *other = task->runs[0]->vm;

		if (other->zone == vm->zone)
			penalty += SAME_ZONE_PENALTY;
		if (!g_strcmp0(other->rack, vm->rack))
			penalty += SAME_RACK_PENALTY;
		return penalty;
	}
	if (vm->zone && vm->zone->n_step_tasks >= s->zone_share)
		penalty += sensitive ? SENSITIVE_ZONE_PENALTY : ZONE_PENALTY;
	if (vm->rack && g_hash_table_contains(s->rack_tasks, vm->rack))
		penalty += sensitive ? SENSITIVE_RACK_PENALTY : RACK_PENALTY;
	return penalty;
}
