#include "internal.h"

#include <string.h>

/* Interval of placement rounds. */
#define PLACE_INTERVAL_MS 20
/* Jobs tried in one round, per pool; bounds the time of a round. */
#define PLACE_TRIES 128
/* VMs considered for one job: closest fits, emptiest, and random ones. */
#define CLOSE_VMS 12
#define EMPTY_VMS 6
#define RANDOM_VMS 6
/* Random VMs on which evictions are considered for one job. */
#define PREEMPT_VMS 12
/* A job without a VM for this time may have attempts of other pools evicted. */
#define PREEMPT_AFTER_MS 1000
/* If no evictions make room, a VM is reserved for the job after this time. */
#define RESERVE_AFTER_MS 5000
/* A reservation ends after this time; then another VM may be reserved. */
#define RESERVATION_MS 120000

/* A job deferred for this time may be placed in spite of interference. */
#define OVERRIDE_AFTER_MS 30000
/* Interval of such placements, divided by the number of VMs of the pool. */
#define OVERRIDE_INTERVAL_MS 60000
/* A deferred job is tried again after this time. */
#define DEFERRAL_RETRY_MS 200
/* A job that adds less slowdown is never deferred. */
#define NEGLIGIBLE_SLOWDOWN 0.01
/* Weights of the interference costs in a VM's score. */
#define SERVICE_WEIGHT 0.7
#define LOSS_WEIGHT 1.0

/* A search for the best VM for a job; lower scores are better. */
struct search {
	struct job *job;
	const struct job_item *item;
	struct vm *best;
	double score;
	/* Of the VMs excluded by interference alone: the least slowed one. */
	struct vm *least_slowed;
	double least_ratio;
};

/* Lower numbers are more urgent. */
static unsigned pool_priority(const struct pool *pool)
{
	return pool->cfg ? pool->cfg->priority : 100;
}

/* This entry's share of a fleet-wide amount: that of the shards it owns. */
static gint64 own_share(const struct job *job, gint64 amount)
{
	gint64 owned = 0;
	unsigned i;

	for (i = 0; i < JOB_SHARDS; i++)
		owned += job->shards[i].term != 0;
	return amount / JOB_SHARDS * owned +
	       amount % JOB_SHARDS * owned / JOB_SHARDS;
}

static gboolean below_share(const struct job *job, gint64 used,
			    gint64 guaranteed)
{
	return guaranteed && used < own_share(job, guaranteed);
}

static gboolean below_guarantee(const struct job *job, const struct pool *pool,
				struct resources used)
{
	const struct cfg_pool *cfg = pool->cfg;

	return cfg &&
	       (below_share(job, used.cpu_milli, cfg->guaranteed_cpu_milli) ||
		below_share(job, used.memory_bytes,
			    cfg->guaranteed_memory_bytes) ||
		below_share(job, used.accelerators,
			    cfg->guaranteed_accelerators));
}

static gboolean exceeds_share(const struct job *job, gint64 used, gint64 need,
			      gint64 max)
{
	return max && need && used + need > own_share(job, max);
}

static struct resources pool_max(const struct cfg_pool *cfg)
{
	return (struct resources){ cfg->max_cpu_milli, cfg->max_memory_bytes,
				   cfg->max_accelerators };
}

/* Called the team's quota in messages. */
static struct resources team_max(const struct cfg_pool *cfg)
{
	return (struct resources){ cfg->team_max_cpu_milli,
				   cfg->team_max_memory_bytes,
				   cfg->team_max_accelerators };
}

/*
 * Each entry keeps to its share of a maximum. A job may exceed the share if
 * nothing else of its pool or team is placed, since otherwise no entry could
 * run it.
 */
static gboolean at_maximum(const struct job *job, struct resources used,
			   struct resources need, struct resources max)
{
	if (!used.cpu_milli && !used.memory_bytes && !used.accelerators)
		return FALSE;
	return exceeds_share(job, used.cpu_milli, need.cpu_milli,
			     max.cpu_milli) ||
	       exceeds_share(job, used.memory_bytes, need.memory_bytes,
			     max.memory_bytes) ||
	       exceeds_share(job, used.accelerators, need.accelerators,
			     max.accelerators);
}

static gboolean exceeds(struct resources need, struct resources max)
{
	return (max.cpu_milli && need.cpu_milli > max.cpu_milli) ||
	       (max.memory_bytes && need.memory_bytes > max.memory_bytes) ||
	       (max.accelerators && need.accelerators > max.accelerators);
}

/*
 * Returns why the job cannot run before tables or VMs change, or NULL. Messages
 * say "never", but the job is tried again after such a change.
 */
static const char *unschedulable_reason(const struct job_item *item)
{
	const struct pool *pool = item->pool;
	const struct cfg_pool *cfg = pool->cfg;
	guint i;

	if (!cfg)
		return "can never run: its pool is not in the tables";
	if (exceeds(item->need, pool_max(cfg)))
		return "can never run: larger than its pool's maximum";
	if (exceeds(item->need, team_max(cfg)))
		return "can never run: larger than its team's quota";
	if (!pool->capacity_classes->len)
		return "waits: no VM of its pool was seen";
	for (i = 0; i < pool->capacity_classes->len; i++)
		if (job_resources_fit(item->need,
				      g_array_index(pool->capacity_classes,
						    struct resources, i)))
			return NULL;
	return "can never run: larger than any VM of its pool";
}

/* Returns TRUE if the VM may get the job now; does not check free capacity. */
static gboolean usable(const struct job *job, const struct job_item *item,
		       const struct vm *vm)
{
	return vm->conn && !vm->draining && !job_vm_evacuated(job, vm) &&
	       vm->session > vm->known_fence->highest_session &&
	       job->now >= vm->quarantine_until &&
	       job->now >= vm->refused_until &&
	       job_vm_list_received(job, vm, item->shard) &&
	       (!vm->reserved || vm->reserved == item ||
		pool_priority(item->pool) < pool_priority(vm->reserved->pool));
}

/* Number of attempts of the pool in the zone or rack. */
static double attempts_in(GHashTable *table, const char *name)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(table, name));
}

/*
 * Score without interference; lower is better: a close fit, few attempts of the
 * pool in the zone and rack, no jobs failed on the VM since its last success,
 * and above all no earlier failure of this job on it.
 */
static double base_score(const struct job_item *item, const struct vm *vm)
{
	const struct pool *pool = item->pool;
	struct resources free = job_vm_free_resources(vm);
	double n_zones = 1 + g_hash_table_size(pool->zones);
	double cpu = vm->capacity.cpu_milli
			     ? (double)(free.cpu_milli - item->need.cpu_milli) /
				       (double)vm->capacity.cpu_milli
			     : 0;
	double mem = vm->capacity.memory_bytes
			     ? (double)(free.memory_bytes -
					item->need.memory_bytes) /
				       (double)vm->capacity.memory_bytes
			     : 0;
	/* VMs with accelerators are left to jobs that need them. */
	double acc = item->need.accelerators
			     ? 0
			     : (double)(vm->capacity.accelerators > 0);
	double zone = attempts_in(pool->zones, vm->zone);
	double rack = attempts_in(pool->racks, vm->rack);

	return (cpu + mem) / 2 + acc + zone / (zone + n_zones) +
	       rack / (rack + 4) / 2 + g_hash_table_size(vm->failed_jobs) +
	       (job_record_failed_on(job_item_newest(item), vm->name) ? 10 : 0);
}

static gboolean fits(const struct job *job, const struct job_item *item,
		     const struct vm *vm)
{
	return job_resources_fit(job_intf_need(job, item, vm),
				 job_vm_free_resources(vm));
}

static void consider_vm(struct search *search, struct vm *vm)
{
	struct intf_cost cost;
	double score;

	if (!fits(search->job, search->item, vm) ||
	    !usable(search->job, search->item, vm))
		return;
	job_intf_cost(search->job, search->item, vm, &cost);
	score = base_score(search->item, vm) +
		SERVICE_WEIGHT * cost.excess_coefficient +
		LOSS_WEIGHT * cost.batch_loss;
	if (cost.worst_ratio > 1 && cost.added_slowdown > NEGLIGIBLE_SLOWDOWN &&
	    search->item->pool->cfg->class == CFG_CLASS_BATCH) {
		if (!search->least_slowed ||
		    cost.worst_ratio < search->least_ratio) {
			search->least_slowed = vm;
			search->least_ratio = cost.worst_ratio;
		}
		return;
	}
	if (search->best && score >= search->score)
		return;
	search->best = vm;
	search->score = score;
}

/*
 * For g_sequence_search(), which finds the first VM with at least the needed
 * free CPU or accelerators. They never return 0.
 */
static int compare_cpu_to_need(gconstpointer a, gconstpointer need,
			       gpointer ctx)
{
	(void)ctx;
	return job_vm_free_resources(a).cpu_milli < *(const gint64 *)need ? -1
									  : 1;
}

static int compare_acc_to_need(gconstpointer a, gconstpointer need,
			       gpointer ctx)
{
	(void)ctx;
	return job_vm_free_resources(a).accelerators < *(const gint64 *)need
		       ? -1
		       : 1;
}

static struct vm *first_fit(struct job *job, const struct job_item *item)
{
	const GPtrArray *vms = item->pool->vms;
	guint i;

	for (i = 0; i < vms->len; i++) {
		struct vm *vm = g_ptr_array_index(vms, i);

		if (fits(job, item, vm) && usable(job, item, vm))
			return vm;
	}
	return NULL;
}

/*
 * Each VM tried that has room for the batch job is one where it would slow a
 * service too much. Defers the job and returns NULL; after OVERRIDE_AFTER_MS
 * returns the least slowed VM, so that the job cannot starve, and the agent
 * throttles it there. The rate of these placements is limited, since otherwise
 * a deferred backlog would be placed all at once.
 */
static struct vm *defer_or_override(struct job *job, struct job_item *item,
				    struct vm *least_slowed)
{
	if (!item->deferred_since)
		item->deferred_since = job->now;
	if (job->now - item->deferred_since >= OVERRIDE_AFTER_MS &&
	    job->now >= job->next_override_at) {
		job->next_override_at = job->now +
					OVERRIDE_INTERVAL_MS /
						MAX(1, item->pool->vms->len);
		job->stats.interference_overrides++;
		return least_slowed;
	}
	job->stats.interference_deferrals++;
	item->why = "waits: its kind slows services on each VM with room";
	item->not_before = job->now + DEFERRAL_RETRY_MS;
	return NULL;
}

static struct vm *choose_vm(struct job *job, struct job_item *item)
{
	struct search search = { job, item, NULL, 0, NULL, 0 };
	const struct pool *pool = item->pool;
	gboolean acc = item->need.accelerators > 0;
	GSequence *order = acc ? pool->by_accelerators : pool->by_cpu;
	gint64 need = acc ? item->need.accelerators : item->need.cpu_milli;
	GSequenceIter *iter;
	unsigned i;

	if (job->first_fit)
		return first_fit(job, item);
	if (item->reserved) {
		consider_vm(&search, item->reserved);
		if (search.best)
			return search.best;
		/* Not limited by next_override_at: a pool has one such VM. */
		if (search.least_slowed &&
		    job->now - item->reserved_at >= OVERRIDE_AFTER_MS)
			return item->reserved;
	}
	iter = g_sequence_search(
		order, &need, acc ? compare_acc_to_need : compare_cpu_to_need,
		NULL);
	for (i = 0; i < CLOSE_VMS && !g_sequence_iter_is_end(iter); i++) {
		consider_vm(&search, g_sequence_get(iter));
		iter = g_sequence_iter_next(iter);
	}
	iter = g_sequence_get_end_iter(order);
	for (i = 0; i < EMPTY_VMS && !g_sequence_iter_is_begin(iter); i++) {
		iter = g_sequence_iter_prev(iter);
		consider_vm(&search, g_sequence_get(iter));
	}
	for (i = 0; i < RANDOM_VMS && pool->vms->len; i++)
		consider_vm(&search,
			    g_ptr_array_index(
				    pool->vms,
				    g_rand_int_range(job->random, 0,
						     (gint32)pool->vms->len)));
	if (!search.best && search.least_slowed)
		return defer_or_override(job, item, search.least_slowed);
	return search.best;
}

static void place(struct job *job, struct job_item *item, struct vm *vm)
{
	struct Rp__JobRecord *record = job_item_change(job, item);

	record->state = RP__JOB_STATE__JOB_STATE_PLACED;
	record->session = vm->session;
	wire_set_string(&record->vm, vm->name);
	wire_set_string(&record->worker_boot_id, vm->worker_boot_id);
	wire_set_string(&record->why, NULL);
	item->placed_conn = vm->conn;
	item->sent = FALSE;
	item->why = NULL;
	item->unplaced_since = 0;
	item->deferred_since = 0;
	item->unreported = TRUE;
	job_intf_add_placed(job, item, vm);
	job_resources_add(&vm->unreported, item->need, 1);
	job_item_changed(job, item);
}

/*
 * Returns TRUE if the candidate may be evicted for the item: it runs in another
 * pool that keeps its guarantee without it, and that is less urgent unless the
 * item's pool is below its own guarantee.
 */
static gboolean evictable(const struct job *job,
			  const struct job_item *candidate,
			  const struct job_item *item)
{
	const struct pool *pool = candidate->pool;
	struct resources left = pool->used;

	if (candidate->evict_at || candidate->staged || candidate->in_flight ||
	    pool == item->pool ||
	    candidate->record->state != RP__JOB_STATE__JOB_STATE_RUNNING)
		return FALSE;
	job_resources_add(&left, candidate->need, -1);
	if (below_guarantee(job, pool, left))
		return FALSE;
	return pool_priority(pool) > pool_priority(item->pool) ||
	       below_guarantee(job, item->pool, item->pool->used);
}

static int compare_need(gconstpointer a, gconstpointer b)
{
	const struct job_item *x = *(const struct job_item *const *)a;
	const struct job_item *y = *(const struct job_item *const *)b;

	if (x->need.cpu_milli != y->need.cpu_milli)
		return x->need.cpu_milli > y->need.cpu_milli ? -1 : 1;
	return strcmp(x->id, y->id);
}

/*
 * Returns the jobs to evict from the VM so that this one fits, those with the
 * largest CPU need first; NULL if evictions are not enough or none is needed.
 */
static GPtrArray *evictions_on(const struct job *job, const struct vm *vm,
			       const struct job_item *item)
{
	GPtrArray *evictions = g_ptr_array_new();
	struct resources free = job_vm_free_resources(vm);
	struct resources need = job_intf_need(job, item, vm);
	GHashTableIter iter;
	struct job_item *candidate;
	guint n;

	g_hash_table_iter_init(&iter, vm->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&candidate))
		if (evictable(job, candidate, item))
			g_ptr_array_add(evictions, candidate);
	g_ptr_array_sort(evictions, compare_need);
	for (n = 0; n < evictions->len && !job_resources_fit(need, free); n++)
		job_resources_add(
			&free,
			((struct job_item *)g_ptr_array_index(evictions, n))
				->need,
			1);
	if (!n || !job_resources_fit(need, free)) {
		g_ptr_array_unref(evictions);
		return NULL;
	}
	g_ptr_array_set_size(evictions, (gint)n);
	return evictions;
}

static void reserve(struct job *job, struct job_item *item, struct vm *vm)
{
	job_pool_unreserve(item);
	if (item->pool->reserving)
		job_pool_unreserve(item->pool->reserving);
	if (vm->reserved)
		job_pool_unreserve(vm->reserved);
	vm->reserved = item;
	item->reserved = vm;
	item->reserved_at = job->now;
	item->pool->reserving = item;
}

/* Draws a random VM; returns NULL if it cannot be reserved for the job. */
static struct vm *draw_vm(struct job *job, const struct job_item *item)
{
	GPtrArray *vms = item->pool->vms;
	struct vm *vm;

	vm = g_ptr_array_index(
		vms, g_rand_int_range(job->random, 0, (gint32)vms->len));
	if (!usable(job, item, vm) ||
	    !job_resources_fit(item->need, vm->capacity) ||
	    (vm->reserved && vm->reserved != item))
		return NULL;
	return vm;
}

/*
 * Requests the evictions on the VM that needs the fewest and reserves it;
 * returns FALSE if none of the VMs drawn can make room.
 */
static gboolean preempt(struct job *job, struct job_item *item)
{
	GPtrArray *best = NULL;
	struct vm *best_vm = NULL;
	unsigned i;

	for (i = 0; i < PREEMPT_VMS && item->pool->vms->len; i++) {
		struct vm *vm = draw_vm(job, item);
		GPtrArray *evictions = vm ? evictions_on(job, vm, item) : NULL;

		if (!evictions)
			continue;
		if (best && best->len <= evictions->len) {
			g_ptr_array_unref(evictions);
			continue;
		}
		if (best)
			g_ptr_array_unref(best);
		best = evictions;
		best_vm = vm;
	}
	if (!best)
		return FALSE;
	reserve(job, item, best_vm);
	for (i = 0; i < best->len; i++) {
		struct job_item *evicted = g_ptr_array_index(best, i);

		evicted->evict_at = job->now;
		job_item_send_control(job, evicted,
				      RP__TASK_ACTION__TASK_ACTION_EVICT);
	}
	g_ptr_array_unref(best);
	return TRUE;
}

/*
 * Only one job of a pool may have a VM reserved. A job replaces one that needs
 * less than half of its CPU or memory, or one of similar size that has waited
 * less for a VM. Small jobs fit wherever an attempt ends, and a stream of them
 * must not keep the reservation from a large one.
 */
static gboolean may_reserve(const struct job_item *item)
{
	const struct job_item *other = item->pool->reserving;

	if (!other)
		return TRUE;
	if (item->need.cpu_milli / 2 > other->need.cpu_milli ||
	    item->need.memory_bytes / 2 > other->need.memory_bytes)
		return TRUE;
	return item->need.cpu_milli > other->need.cpu_milli / 2 &&
	       item->need.memory_bytes > other->need.memory_bytes / 2 &&
	       item->unplaced_since < other->unplaced_since;
}

/* TRUE if each VM of the pool on which the job fits is evacuated. */
static gboolean only_evacuated_fit(const struct job *job,
				   const struct job_item *item)
{
	const GPtrArray *vms = item->pool->vms;
	guint i;

	for (i = 0; i < vms->len; i++) {
		const struct vm *vm = g_ptr_array_index(vms, i);

		if (!job_vm_evacuated(job, vm) &&
		    job_resources_fit(item->need, vm->capacity))
			return FALSE;
	}
	return vms->len > 0;
}

static const char *wait_reason(const struct job *job,
			       const struct job_item *item)
{
	if (job->evacuations_unread)
		return "waits: the evacuated zones were not read yet";
	if (job->evacuations && job->evacuations->zones->len &&
	    only_evacuated_fit(job, item))
		return "waits: the VMs it fits on are in evacuated zones";
	/* Also if VMs with free capacity may not be used; see usable(). */
	return "waits for a VM with enough free capacity";
}

/* No VM was found: evicts attempts or reserves a VM if the job waited long. */
static void preempt_or_reserve(struct job *job, struct job_item *item)
{
	struct vm *best = NULL;
	unsigned i;

	item->why = wait_reason(job, item);
	if (!item->unplaced_since)
		item->unplaced_since = job->now;
	if (item->reserved) {
		if (job->now - item->reserved_at < RESERVATION_MS)
			return;
		job_pool_unreserve(item);
	}
	if (job->first_fit ||
	    job->now - item->unplaced_since < PREEMPT_AFTER_MS ||
	    !may_reserve(item))
		return;
	if (preempt(job, item) ||
	    job->now - item->unplaced_since < RESERVE_AFTER_MS)
		return;
	for (i = 0; i < RANDOM_VMS && item->pool->vms->len; i++) {
		struct vm *vm = draw_vm(job, item);

		if (vm &&
		    (!best || job_vm_free_resources(vm).cpu_milli >
				      job_vm_free_resources(best).cpu_milli))
			best = vm;
	}
	if (best)
		reserve(job, item, best);
}

static void try_place(struct job *job, struct job_item *item)
{
	const char *why = unschedulable_reason(item);
	struct vm *vm;

	if (why) {
		item->why = why;
		job_pool_unreserve(item);
		job_pool_set_unschedulable(item);
		return;
	}
	if (item->staged || item->in_flight || job->now < item->not_before)
		return;
	if (at_maximum(job, item->pool->used, item->need,
		       pool_max(item->pool->cfg))) {
		item->why = "waits: its pool is at its maximum";
		return;
	}
	if (at_maximum(job, item->team->used, item->need,
		       team_max(item->pool->cfg))) {
		item->why = "waits: its team is at its quota";
		return;
	}
	/* If this defers the job, not_before is in the future afterwards. */
	vm = choose_vm(job, item);
	if (vm)
		place(job, item, vm);
	else if (job->now >= item->not_before)
		preempt_or_reserve(job, item);
}

/* Of the teams with jobs left to try, the one with the least CPU in use. */
static struct team *next_team(struct pool *pool)
{
	struct team *best = NULL;
	GHashTableIter iter;
	struct team *team;

	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
		if (g_sequence_iter_is_end(team->scan))
			continue;
		if (!best || team->used.cpu_milli < best->used.cpu_milli ||
		    (team->used.cpu_milli == best->used.cpu_milli &&
		     strcmp(team->name, best->name) < 0))
			best = team;
	}
	return best;
}

static void place_pool(struct job *job, struct pool *pool)
{
	GHashTableIter iter;
	struct team *team;
	unsigned tries;

	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team))
		team->scan = g_sequence_get_begin_iter(team->queue);
	for (tries = 0; tries < PLACE_TRIES; tries++) {
		struct job_item *item;

		team = next_team(pool);
		if (!team)
			return;
		item = g_sequence_get(team->scan);
		team->scan = g_sequence_iter_next(team->scan);
		try_place(job, item);
	}
}

static int compare_pools(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct pool *x = *(const struct pool *const *)a;
	const struct pool *y = *(const struct pool *const *)b;
	gboolean x_below = below_guarantee(ctx, x, x->used);
	gboolean y_below = below_guarantee(ctx, y, y->used);

	if (x_below != y_below)
		return x_below ? -1 : 1;
	if (pool_priority(x) != pool_priority(y))
		return pool_priority(x) < pool_priority(y) ? -1 : 1;
	return strcmp(x->name, y->name);
}

void job_place_tick(struct job *job)
{
	GPtrArray *pools;
	GHashTableIter iter;
	struct pool *pool;
	guint i;

	if (!job->tables || job->now < job->place_at)
		return;
	job->place_at = job->now + PLACE_INTERVAL_MS;
	pools = g_ptr_array_new();
	g_hash_table_iter_init(&iter, job->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool))
		if (g_hash_table_size(pool->teams))
			g_ptr_array_add(pools, pool);
	g_ptr_array_sort_with_data(pools, compare_pools, job);
	for (i = 0; i < pools->len; i++)
		place_pool(job, g_ptr_array_index(pools, i));
	g_ptr_array_unref(pools);
}
