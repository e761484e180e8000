#include "internal.h"

/*
 * Availability zones, and their evacuation: an operator takes a zone out of
 * service, and from a bound (options.evacuation_ms) after that nothing is
 * started there. What runs continues.
 *
 * The bound is split. New runs are planned only while the set of evacuated
 * zones is known up to a time at most MAX_AGE_PART of the bound ago. Agents may
 * send starts up to PERMISSION_PART of the bound after that time, by the
 * worker's clock, so that also an order that was delayed, or was given by a
 * leader that was replaced, starts nothing later. The rest of the bound is a
 * margin for workers' clocks, which run at 0.98 to 1 of real time, and for the
 * call to the worker.
 */

/** Age of the set of evacuated zones above which no VM is usable. A calm
 * watch of the store is at most 1.3 s old. */
#define MAX_AGE_PART 0.4

/** Duration of a permission to start. It is longer than MAX_AGE_PART by more
 * than the interval between orders to an agent. */
#define PERMISSION_PART 0.6

/** VMs of a zone that is returned to service are brought into use one after the
 * other within this time, so that waiting tasks do not all start on workers
 * that may be cold. */
#define RETURN_MS 1000

/** Longer times for which a worker is cold count as this, so that it is still
 * preferred to a slow worker, which may stay slow (SLOW_PENALTY of place.c). */
#define MAX_COLD_S 3.0

/** Time after which an evacuated zone without VMs counts as unknown: a new
 * leader reaches all agents sooner. */
#define UNKNOWN_AFTER_MS 5000

void sch_zone_free(gpointer data)
{
	struct sch_zone *zone = data;

	g_free(zone->name);
	g_free(zone);
}

static struct sch_zone *get_zone(struct sch *s, const char *name)
{
	struct sch_zone *zone = g_hash_table_lookup(s->zones, name);

	if (zone)
		return zone;
	zone = g_new0(struct sch_zone, 1);
	zone->name = g_strdup(name);
	g_hash_table_insert(s->zones, zone->name, zone);
	return zone;
}

void sch_zone_apply_info(struct sch *s, struct sch_vm *vm,
			 const struct Rp__WorkerInfo *info)
{
	if (!vm->zone || strcmp(vm->zone->name, info->zone)) {
		vm->zone = get_zone(s, info->zone);
		vm->returns_ms = 0;
	}
	/* Reports repeat the last description, whose times are relative. */
	if (info->sequence && info->sequence == vm->info_sequence)
		return;
	vm->info_sequence = info->sequence;
	vm->cold_until_ms = info->cold_remaining_ms > 0
				    ? s->now_ms + info->cold_remaining_ms
				    : 0;
}

void sch_zone_reset_worker(struct sch_vm *vm)
{
	vm->cold_until_ms = 0;
	vm->info_sequence = 0;
}

gboolean sch_zone_is_evacuated(const struct sch_vm *vm)
{
	return vm->zone && vm->zone->evacuated;
}

double sch_zone_cold_s(const struct sch *s, const struct sch_vm *vm)
{
	if (!s->options.evacuation_ms || s->now_ms >= vm->cold_until_ms)
		return 0;
	return MIN((double)(vm->cold_until_ms - s->now_ms) / 1000, MAX_COLD_S);
}

static gboolean is_outdated(const struct sch *s)
{
	gint64 max_age_ms =
		(gint64)((double)s->options.evacuation_ms * MAX_AGE_PART);

	return !s->zones_confirmed_ms ||
	       s->now_ms > s->zones_confirmed_ms + max_age_ms;
}

gboolean sch_zone_allows_starts(const struct sch *s, const struct sch_vm *vm)
{
	if (!s->options.evacuation_ms)
		return TRUE;
	return !is_outdated(s) && !sch_zone_is_evacuated(vm) &&
	       s->now_ms >= vm->returns_ms;
}

void sch_zone_add_orders(const struct sch *s, const struct sch_vm *vm,
			 gint64 clock_ms, struct Rp__VmOrders *orders)
{
	if (!s->options.evacuation_ms)
		return;
	orders->starts_limited = TRUE;
	orders->evacuated = sch_zone_is_evacuated(vm);
	/* An evacuated zone gets no new permission, and earlier ones end. */
	if (vm->clock_ms && s->zones_confirmed_ms && !orders->evacuated)
		orders->starts_until_ms =
			clock_ms + (gint64)((double)s->options.evacuation_ms *
					    PERMISSION_PART);
}

/* Removes the runs that are planned on the VM, or marks them to be removed once
 * their record is durable. Runs that were ordered are withdrawn by the agent.
 */
static void withdraw_planned(struct sch *s, struct sch_vm *vm)
{
	guint i = 0;

	while (i < vm->runs->len) {
		struct sch_run *run = vm->runs->pdata[i];

		if (run->state != SCH_RUN_PLANNED || run->stopping) {
			i++;
			continue;
		}
		s->stats.starts_withdrawn++;
		if (run->task->instance->step->gang)
			sch_run_stop_gang(s, run->task->instance, run);
		if (run->committing) {
			run->stopping = TRUE;
			i++;
		} else {
			sch_run_remove(s, run);
		}
	}
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	const struct sch_vm *const *x = a;
	const struct sch_vm *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

/* Returns the zone's VMs, sorted by name. */
static GPtrArray *vms_of(const struct sch *s, const struct sch_zone *zone)
{
	GPtrArray *vms = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct sch_vm *)value)->zone == zone)
			g_ptr_array_add(vms, value);
	g_ptr_array_sort(vms, compare_names);
	return vms;
}

static void set_evacuated(struct sch *s, struct sch_zone *zone, gint64 revision)
{
	g_autoptr(GPtrArray) vms = vms_of(s, zone);
	guint runs = 0;
	guint i;

	zone->evacuated = TRUE;
	s->n_evacuated++;
	zone->evacuated_ms = s->now_ms;
	zone->checked = FALSE;
	for (i = 0; i < vms->len; i++) {
		struct sch_vm *vm = vms->pdata[i];

		withdraw_planned(s, vm);
		runs += vm->runs->len;
		vm->zone_due = TRUE;
		sch_vm_note_orders(s, vm);
		sch_vm_changed(s, vm);
	}
	g_message("zone %s is evacuated at revision %" G_GINT64_FORMAT
		  ": %u VMs with %u runs, the set is %" G_GINT64_FORMAT
		  " ms old",
		  zone->name, revision, vms->len, runs,
		  s->now_ms - s->zones_confirmed_ms);
}

static void set_returned(struct sch *s, struct sch_zone *zone)
{
	g_autoptr(GPtrArray) vms = vms_of(s, zone);
	guint i;

	zone->evacuated = FALSE;
	s->n_evacuated--;
	for (i = 0; i < vms->len; i++) {
		struct sch_vm *vm = vms->pdata[i];

		vm->returns_ms = s->now_ms + (gint64)RETURN_MS * i / vms->len;
		vm->zone_due = TRUE;
		sch_vm_note_orders(s, vm);
		sch_vm_changed(s, vm);
	}
	s->place_due = TRUE;
	g_message("the evacuation of zone %s has ended after %" G_GINT64_FORMAT
		  " ms: %u VMs, the set is %" G_GINT64_FORMAT " ms old",
		  zone->name, s->now_ms - zone->evacuated_ms, vms->len,
		  s->now_ms - s->zones_confirmed_ms);
}

static const struct sch_evacuation *find_evacuation(const struct sch_event *ev,
						    const char *zone)
{
	size_t i;

	for (i = 0; i < ev->n_evacuations; i++)
		if (!strcmp(ev->evacuations[i].zone, zone))
			return &ev->evacuations[i];
	return NULL;
}

/* Lets the agents send the starts that wait for a permission. */
static void extend_permissions(struct sch *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sch_vm *vm = value;

		vm->zone_due = TRUE;
		sch_vm_note_orders(s, vm);
		sch_vm_changed(s, vm);
	}
}

/* Logs when the set becomes too old, or is current again. */
static void note_age(struct sch *s)
{
	gboolean outdated = is_outdated(s);

	if (outdated == s->zones_outdated)
		return;
	s->zones_outdated = outdated;
	s->place_due = TRUE;
	if (!outdated)
		extend_permissions(s);
	if (!s->zones_confirmed_ms)
		g_message("starts wait: the evacuated zones are not known yet");
	else if (outdated)
		g_message("starts wait: the set of evacuated zones is "
			  "%" G_GINT64_FORMAT " ms old",
			  s->now_ms - s->zones_confirmed_ms);
	else
		g_message("the set of evacuated zones is current again: "
			  "%" G_GINT64_FORMAT " ms old",
			  s->now_ms - s->zones_confirmed_ms);
}

void sch_zone_set_evacuations(struct sch *s, const struct sch_event *ev)
{
	GHashTableIter iter;
	gpointer value;
	size_t i;

	if (!s->options.evacuation_ms)
		return;
	s->zones_confirmed_ms = MAX(s->zones_confirmed_ms, ev->confirmed_ms);
	for (i = 0; i < ev->n_evacuations; i++) {
		struct sch_zone *zone = get_zone(s, ev->evacuations[i].zone);

		if (!zone->evacuated)
			set_evacuated(s, zone, ev->evacuations[i].revision);
	}
	g_hash_table_iter_init(&iter, s->zones);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sch_zone *zone = value;

		if (zone->evacuated && !find_evacuation(ev, zone->name))
			set_returned(s, zone);
	}
	note_age(s);
}

void sch_zone_tick(struct sch *s)
{
	GHashTableIter iter;
	gpointer value;

	if (!s->options.evacuation_ms)
		return;
	note_age(s);
	g_hash_table_iter_init(&iter, s->zones);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sch_zone *zone = value;
		g_autoptr(GPtrArray) vms = NULL;

		if (!zone->evacuated || zone->checked ||
		    s->now_ms < zone->evacuated_ms + UNKNOWN_AFTER_MS)
			continue;
		vms = vms_of(s, zone);
		zone->checked = TRUE;
		if (!vms->len)
			g_warning("evacuation of zone %s is ignored: no VM is "
				  "known in that zone",
				  zone->name);
	}
}

void sch_foreach_zone(const struct sch *s,
		      void (*fn)(void *ctx, const char *zone,
				 const struct sch_zone_stats *stats),
		      void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->zones);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct sch_zone *zone = value;
		g_autoptr(GPtrArray) vms = vms_of(s, zone);
		struct sch_zone_stats stats = { .evacuated = zone->evacuated };
		guint i;

		for (i = 0; i < vms->len; i++) {
			const struct sch_vm *vm = vms->pdata[i];

			stats.runs += vm->runs->len;
			if (vm->connected)
				stats.free_cpu_milli += vm->capacity.cpu_milli -
							vm->reserved.cpu_milli;
		}
		if (vms->len)
			fn(ctx, zone->name, &stats);
	}
}
