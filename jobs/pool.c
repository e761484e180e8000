#include "internal.h"

#include <string.h>

gboolean job_resources_fit(struct resources need, struct resources free)
{
	return need.cpu_milli <= free.cpu_milli &&
	       need.memory_bytes <= free.memory_bytes &&
	       need.accelerators <= free.accelerators;
}

struct resources job_resources_from_wire(const struct Rp__Resources *resources)
{
	struct resources res = { 0, 0, 0 };

	if (resources) {
		res.cpu_milli = resources->cpu_milli;
		res.memory_bytes = resources->memory_bytes;
		res.accelerators = resources->accelerators;
	}
	return res;
}

void job_resources_add(struct resources *to, struct resources add, int sign)
{
	to->cpu_milli += sign * add.cpu_milli;
	to->memory_bytes += sign * add.memory_bytes;
	to->accelerators += sign * add.accelerators;
}

struct resources job_vm_free_resources(const struct vm *vm)
{
	struct resources free = vm->capacity;

	job_resources_add(&free, vm->reported, -1);
	job_resources_add(&free, vm->unreported, -1);
	return free;
}

static void team_free(gpointer data)
{
	struct team *team = data;

	g_sequence_free(team->queue);
	g_free(team->name);
	g_free(team);
}

struct pool *job_pool_get(struct job *job, const char *name)
{
	struct pool *pool = g_hash_table_lookup(job->pools, name);

	if (pool)
		return pool;
	pool = g_new0(struct pool, 1);
	pool->name = g_strdup(name);
	pool->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    team_free);
	pool->unschedulable = g_hash_table_new(g_str_hash, g_str_equal);
	pool->by_cpu = g_sequence_new(NULL);
	pool->by_accelerators = g_sequence_new(NULL);
	pool->vms = g_ptr_array_new();
	pool->capacity_classes = g_array_new(FALSE, FALSE,
					     sizeof(struct resources));
	pool->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    NULL);
	pool->racks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    NULL);
	if (job->tables)
		pool->cfg = cfg_pool_find(job->tables, name);
	g_hash_table_insert(job->pools, pool->name, pool);
	return pool;
}

void job_pool_free(gpointer data)
{
	struct pool *pool = data;

	g_hash_table_unref(pool->teams);
	g_hash_table_unref(pool->unschedulable);
	g_sequence_free(pool->by_cpu);
	g_sequence_free(pool->by_accelerators);
	g_ptr_array_unref(pool->vms);
	g_array_unref(pool->capacity_classes);
	g_hash_table_unref(pool->zones);
	g_hash_table_unref(pool->racks);
	g_free(pool->name);
	g_free(pool);
}

static struct team *team_get(struct pool *pool, const char *name)
{
	struct team *team = g_hash_table_lookup(pool->teams, name);

	if (team)
		return team;
	team = g_new0(struct team, 1);
	team->name = g_strdup(name);
	team->queue = g_sequence_new(NULL);
	g_hash_table_insert(pool->teams, team->name, team);
	return team;
}

static void set_pool(struct job *job, struct job_item *item)
{
	const struct Rp__JobRecord *newest = job_item_newest(item);

	if (item->pool)
		return;
	item->pool = job_pool_get(job, newest->pool);
	item->team = team_get(item->pool, newest->team);
}

static int compare_submitted(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct job_item *x = a;
	const struct job_item *y = b;
	gint64 x_ms = job_item_newest(x)->submitted_unix_ms;
	gint64 y_ms = job_item_newest(y)->submitted_unix_ms;

	(void)ctx;
	if (x_ms != y_ms)
		return x_ms < y_ms ? -1 : 1;
	return strcmp(x->id, y->id);
}

void job_pool_enqueue(struct job *job, struct job_item *item)
{
	set_pool(job, item);
	if (item->queued ||
	    g_hash_table_contains(item->pool->unschedulable, item->id))
		return;
	item->queued = g_sequence_insert_sorted(item->team->queue, item,
						compare_submitted, NULL);
}

void job_pool_dequeue(struct job_item *item)
{
	if (!item->pool)
		return;
	g_hash_table_remove(item->pool->unschedulable, item->id);
	if (item->queued)
		g_sequence_remove(item->queued);
	item->queued = NULL;
}

void job_pool_set_unschedulable(struct job_item *item)
{
	job_pool_dequeue(item);
	g_hash_table_insert(item->pool->unschedulable, item->id, item);
}

void job_pool_retry_unschedulable(struct job *job, struct pool *pool)
{
	GList *items = g_hash_table_get_values(pool->unschedulable);
	GList *link;

	g_hash_table_remove_all(pool->unschedulable);
	for (link = items; link; link = link->next)
		job_pool_enqueue(job, link->data);
	g_list_free(items);
}

void job_pool_unreserve(struct job_item *item)
{
	if (item->reserved)
		item->reserved->reserved = NULL;
	item->reserved = NULL;
	if (item->pool && item->pool->reserving == item)
		item->pool->reserving = NULL;
}

static void add_count(GHashTable *table, const char *name, int sign)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(table, name)) + sign;

	if (n > 0)
		g_hash_table_replace(table, g_strdup(name), GINT_TO_POINTER(n));
	else
		g_hash_table_remove(table, name);
}

void job_pool_charge(struct job *job, struct job_item *item, int sign)
{
	struct vm *vm = item->vm;

	set_pool(job, item);
	job_resources_add(&item->pool->used, item->need, sign);
	job_resources_add(&item->team->used, item->need, sign);
	add_count(item->pool->zones, sign > 0 ? vm->zone : item->zone, sign);
	add_count(item->pool->racks, sign > 0 ? vm->rack : item->rack, sign);
	if (sign > 0) {
		item->zone = g_strdup(vm->zone);
		item->rack = g_strdup(vm->rack);
	} else {
		g_clear_pointer(&item->zone, g_free);
		g_clear_pointer(&item->rack, g_free);
		job_resources_add(item->unreported ? &vm->unreported
						   : &vm->reported,
				  item->need, -1);
		vm->reported.cpu_milli = MAX(vm->reported.cpu_milli, 0);
		vm->reported.memory_bytes = MAX(vm->reported.memory_bytes, 0);
		vm->reported.accelerators = MAX(vm->reported.accelerators, 0);
		item->unreported = FALSE;
	}
	job_pool_vm_resort(vm);
}

static int compare_cpu(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct vm *x = a;
	const struct vm *y = b;
	gint64 x_cpu = job_vm_free_resources(x).cpu_milli;
	gint64 y_cpu = job_vm_free_resources(y).cpu_milli;

	(void)ctx;
	if (x_cpu != y_cpu)
		return x_cpu < y_cpu ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static int compare_acc(gconstpointer a, gconstpointer b, gpointer ctx)
{
	gint64 x_acc = job_vm_free_resources(a).accelerators;
	gint64 y_acc = job_vm_free_resources(b).accelerators;

	if (x_acc != y_acc)
		return x_acc < y_acc ? -1 : 1;
	return compare_cpu(a, b, ctx);
}

void job_pool_vm_resort(struct vm *vm)
{
	struct resources free = job_vm_free_resources(vm);
	guint i;

	if (!memcmp(&free, &vm->sorted_free, sizeof(free)))
		return;
	vm->sorted_free = free;
	for (i = 0; i < vm->pool_memberships->len; i++) {
		struct pool_membership *membership = &g_array_index(
			vm->pool_memberships, struct pool_membership, i);

		g_sequence_sort_changed(membership->cpu_iter, compare_cpu,
					NULL);
		if (membership->accelerators_iter)
			g_sequence_sort_changed(membership->accelerators_iter,
						compare_acc, NULL);
	}
}

/* Jobs that fit no VM seen so far may fit a larger one: queue them again. */
static void add_capacity_class(struct job *job, struct pool *pool,
			       struct resources capacity)
{
	guint i;

	for (i = 0; i < pool->capacity_classes->len; i++)
		if (job_resources_fit(capacity,
				      g_array_index(pool->capacity_classes,
						    struct resources, i)))
			return;
	g_array_append_val(pool->capacity_classes, capacity);
	job_pool_retry_unschedulable(job, pool);
}

void job_pool_vm_join(struct job *job, struct vm *vm)
{
	char **name;

	job_pool_vm_leave(vm);
	vm->sorted_free = job_vm_free_resources(vm);
	for (name = vm->pools; name && *name; name++) {
		struct pool_membership membership = { job_pool_get(job, *name),
						      NULL, NULL };

		g_ptr_array_add(membership.pool->vms, vm);
		membership.cpu_iter = g_sequence_insert_sorted(
			membership.pool->by_cpu, vm, compare_cpu, NULL);
		if (vm->capacity.accelerators > 0)
			membership.accelerators_iter = g_sequence_insert_sorted(
				membership.pool->by_accelerators, vm,
				compare_acc, NULL);
		g_array_append_val(vm->pool_memberships, membership);
		add_capacity_class(job, membership.pool, vm->capacity);
	}
}

void job_pool_vm_leave(struct vm *vm)
{
	guint i;

	for (i = 0; i < vm->pool_memberships->len; i++) {
		struct pool_membership *membership = &g_array_index(
			vm->pool_memberships, struct pool_membership, i);

		g_ptr_array_remove_fast(membership->pool->vms, vm);
		g_sequence_remove(membership->cpu_iter);
		if (membership->accelerators_iter)
			g_sequence_remove(membership->accelerators_iter);
	}
	g_array_set_size(vm->pool_memberships, 0);
	if (vm->reserved)
		job_pool_unreserve(vm->reserved);
}
