#include "internal.h"

#include <string.h>

/* Failed jobs without a success on a VM, of kinds that succeed elsewhere. */
#define FAULTY_FAILURES 3
/* First quarantine of a faulty VM; doubled each time until a job succeeds. */
#define QUARANTINE_MS 10000
#define QUARANTINE_MAX_MS 600000
/* Interval of the scan over the watched VMs. */
#define VM_SCAN_MS 250
/* A VM with attempts that sent no frame for this time is checked. */
#define IDLE_MS 5000
/* An eviction that was not answered is requested again after this time. */
#define EVICT_RETRY_MS 10000
/* A disconnected VM without attempts is removed after this time. */
#define VM_FORGET_MS 3600000

void job_vm_watch(struct job *job, struct vm *vm)
{
	g_hash_table_insert(job->watched, vm->name, vm);
}

/* Moves the VM to the end of the contact order. */
static void update_contact(struct job *job, struct vm *vm)
{
	vm->contact_at = job->now;
	g_queue_unlink(&job->contact_order, &vm->contact_order);
	g_queue_push_tail_link(&job->contact_order, &vm->contact_order);
}

struct vm *job_vm_get(struct job *job, const char *name)
{
	struct vm *vm = g_hash_table_lookup(job->vms, name);

	if (vm)
		return vm;
	vm = g_new0(struct vm, 1);
	vm->name = g_strdup(name);
	vm->known_fence = job_fence_get(job, name);
	vm->agent_boot_id = g_strdup("");
	vm->worker_boot_id = g_strdup("");
	vm->zone = g_strdup("");
	vm->rack = g_strdup("");
	vm->last_frame_at = job->now;
	vm->items = g_hash_table_new(g_str_hash, g_str_equal);
	job_intf_vm_init(vm);
	vm->pool_memberships = g_array_new(FALSE, FALSE,
					   sizeof(struct pool_membership));
	vm->failed_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						g_free);
	vm->order = job->next_vm_order++;
	vm->contact_order.data = vm;
	vm->contact_at = job->now;
	g_queue_push_tail_link(&job->contact_order, &vm->contact_order);
	g_hash_table_insert(job->vms, vm->name, vm);
	job_vm_watch(job, vm);
	return vm;
}

void job_vm_free(gpointer data)
{
	struct vm *vm = data;

	g_hash_table_unref(vm->items);
	g_hash_table_unref(vm->failed_jobs);
	g_array_unref(vm->pool_memberships);
	job_intf_vm_clear(vm);
	g_strfreev(vm->pools);
	g_free(vm->name);
	g_free(vm->agent_boot_id);
	g_free(vm->worker_boot_id);
	g_free(vm->zone);
	g_free(vm->rack);
	g_free(vm);
}

static void set_string(char **field, const char *value)
{
	g_free(*field);
	*field = g_strdup(value);
}

gboolean job_vm_list_received(const struct job *job, const struct vm *vm,
			      unsigned shard)
{
	return vm->conn && job->shards[shard].state == SHARD_READY &&
	       vm->list_request_term[shard] == job->shards[shard].term &&
	       vm->lists_received[shard] > 0 &&
	       vm->lists_received[shard] == vm->lists_requested[shard];
}

void job_vm_request_list(struct job *job, struct vm *vm, unsigned shard)
{
	guint64 term = job->shards[shard].term;
	struct Rp__Frame *frame;

	if (!vm->conn || job->shards[shard].state != SHARD_READY)
		return;
	if (vm->list_request_term[shard] != term) {
		vm->list_request_term[shard] = term;
		vm->lists_requested[shard] = 0;
		vm->lists_received[shard] = 0;
	}
	vm->lists_requested[shard]++;
	vm->list_request_at[shard] = 0;
	frame = wire_frame_new(RP__FRAME__BODY_SHARD_TERM);
	frame->shard_term->shard = shard;
	frame->shard_term->term = term;
	job_fx_send(job, vm->conn, frame);
}

void job_vm_shard_ready(struct job *job, unsigned shard)
{
	GHashTableIter iter;
	struct vm *vm;

	g_hash_table_iter_init(&iter, job->vms);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&vm))
		job_vm_request_list(job, vm, shard);
}

/* Requests the lists of the shards that have attempts on the VM. */
static void request_lists(struct job *job, struct vm *vm)
{
	gboolean wanted[JOB_SHARDS] = { FALSE };
	GHashTableIter iter;
	struct job_item *item;
	unsigned i;

	g_hash_table_iter_init(&iter, vm->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item))
		wanted[item->shard] = TRUE;
	for (i = 0; i < JOB_SHARDS; i++)
		if (wanted[i])
			job_vm_request_list(job, vm, i);
}

/* Attempts placed on the VM but not sent never start. */
static void requeue_unsent(struct job *job, struct vm *vm, const char *why)
{
	GList *items = g_hash_table_get_values(vm->items);
	GList *link;

	for (link = items; link; link = link->next)
		if (job_attempt_unsent(link->data))
			job_item_requeue(job, link->data, why, NULL);
	g_list_free(items);
}

gboolean job_vm_evacuated(const struct job *job, const struct vm *vm)
{
	if (job->evacuations_unread)
		return TRUE;
	return job->evacuations && vm->zone &&
	       evac_find(job->evacuations, vm->zone);
}

void job_vm_evacuations_changed(struct job *job)
{
	GHashTableIter iter;
	struct vm *vm;

	g_hash_table_iter_init(&iter, job->vms);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&vm)) {
		if (!job_vm_evacuated(job, vm))
			continue;
		if (vm->reserved)
			job_pool_unreserve(vm->reserved);
		requeue_unsent(job, vm, "its zone was evacuated");
	}
}

static void disconnect(struct job *job, struct vm *vm)
{
	if (!vm->conn)
		return;
	vm->conn = 0;
	job_vm_watch(job, vm);
	job_pool_vm_leave(vm);
	requeue_unsent(job, vm, "the connection was lost before the start");
}

/* Evictions requested on an earlier connection may be requested again. */
static void join_pools(struct job *job, struct vm *vm, char *const *pools,
		       size_t n)
{
	GHashTableIter iter;
	struct job_item *item;
	size_t i;

	g_strfreev(vm->pools);
	vm->pools = g_new0(char *, n + 1);
	for (i = 0; i < n; i++)
		vm->pools[i] = g_strdup(pools[i]);
	job_pool_vm_join(job, vm);
	g_hash_table_iter_init(&iter, vm->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item))
		item->evict_at = 0;
}

static void on_hello(struct job *job, guint64 conn,
		     const struct Rp__Hello *hello)
{
	struct vm *vm = job_vm_get(job, hello->vm);
	unsigned i;

	/* The frames of a closed connection may be read late. */
	if (conn < vm->last_conn)
		return;
	if (vm->last_conn && vm->last_conn != conn)
		g_hash_table_remove(job->conns, &vm->last_conn);
	disconnect(job, vm);
	if (vm->last_conn != conn)
		for (i = 0; i < JOB_SHARDS; i++)
			vm->list_request_term[i] = 0;
	if (strcmp(vm->agent_boot_id, hello->agent_boot_id) != 0) {
		set_string(&vm->agent_boot_id, hello->agent_boot_id);
		vm->agent_first_seen = job->now;
	}
	set_string(&vm->worker_boot_id, hello->worker_boot_id);
	set_string(&vm->zone, hello->zone);
	set_string(&vm->rack, hello->rack);
	vm->session = hello->session;
	vm->draining = hello->draining;
	vm->capacity = job_resources_from_wire(hello->capacity);
	vm->conn = conn;
	vm->last_conn = conn;
	vm->last_frame_at = job->now;
	vm->liveness_check_at = 0;
	update_contact(job, vm);
	job_vm_watch(job, vm);
	g_hash_table_insert(job->conns, g_memdup2(&conn, sizeof(conn)), vm);
	join_pools(job, vm, hello->pools, hello->n_pools);
	for (i = 0; i < JOB_SHARDS; i++)
		job_vm_request_list(job, vm, i);
}

static void on_report(struct job *job, struct vm *vm,
		      const struct Rp__Report *report)
{
	GHashTableIter iter;
	struct job_item *item;
	gboolean changed = vm->session != report->session;

	vm->session = report->session;
	vm->draining = report->draining;
	if (vm->draining)
		job_vm_watch(job, vm);
	if (*report->worker_boot_id &&
	    strcmp(vm->worker_boot_id, report->worker_boot_id) != 0) {
		set_string(&vm->worker_boot_id, report->worker_boot_id);
		changed = TRUE;
	}
	vm->reported = job_resources_from_wire(report->committed);
	g_hash_table_iter_init(&iter, vm->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item)) {
		if (!item->unreported ||
		    job_item_newest(item)->state ==
			    RP__JOB_STATE__JOB_STATE_PLACED)
			continue;
		item->unreported = FALSE;
		job_resources_add(&vm->unreported, item->need, -1);
	}
	job_intf_report(job, vm, report);
	job_pool_vm_resort(vm);
	if (changed)
		request_lists(job, vm);
}

/* A frame came on a connection that was considered unresponsive. */
static void resume_connection(struct job *job, struct vm *vm, guint64 conn)
{
	unsigned i;

	vm->conn = conn;
	job_pool_vm_join(job, vm);
	for (i = 0; i < JOB_SHARDS; i++)
		job_vm_request_list(job, vm, i);
}

void job_vm_frame(struct job *job, guint64 conn, const struct Rp__Frame *frame)
{
	struct vm *vm;

	if (frame->body_case == RP__FRAME__BODY_HELLO) {
		on_hello(job, conn, frame->hello);
		return;
	}
	vm = g_hash_table_lookup(job->conns, &conn);
	if (!vm)
		return;
	vm->last_frame_at = job->now;
	vm->liveness_check_at = 0;
	update_contact(job, vm);
	if (!vm->conn)
		resume_connection(job, vm, conn);
	switch (frame->body_case) {
	case RP__FRAME__BODY_REPORT:
		on_report(job, vm, frame->report);
		break;
	case RP__FRAME__BODY_TASK_LIST:
		job_attempt_list(job, vm, frame->task_list);
		break;
	case RP__FRAME__BODY_TASK_EVENT:
		if (frame->task_event->task)
			job_attempt_event(job, vm, frame->task_event->task);
		break;
	case RP__FRAME__BODY_GRANT_REQUEST:
		job_fence_grant_requested(job, vm, frame->grant_request);
		break;
	default:
		break;
	}
}

void job_vm_closed(struct job *job, guint64 conn)
{
	struct vm *vm = g_hash_table_lookup(job->conns, &conn);

	if (!vm)
		return;
	g_hash_table_remove(job->conns, &conn);
	if (vm->conn)
		vm->last_frame_at = job->now;
	disconnect(job, vm);
}

static void evict_all(struct job *job, struct vm *vm)
{
	GHashTableIter iter;
	struct job_item *item;

	g_hash_table_iter_init(&iter, vm->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item)) {
		if (job_item_newest(item)->state !=
			    RP__JOB_STATE__JOB_STATE_RUNNING ||
		    (item->evict_at &&
		     job->now < item->evict_at + EVICT_RETRY_MS))
			continue;
		item->evict_at = job->now;
		job_item_send_control(job, item,
				      RP__TASK_ACTION__TASK_ACTION_EVICT);
	}
}

/*
 * Finds a VM that fails without closing its connection: an idle connection is
 * sent a list request and is unusable if no frame follows. Agents send nothing
 * else while nothing changes.
 */
static void check_liveness(struct job *job, struct vm *vm)
{
	if (!vm->conn || !g_hash_table_size(vm->items))
		return;
	if (vm->liveness_check_at) {
		if (job->now - vm->liveness_check_at >= JOB_VM_LOST_MS)
			disconnect(job, vm);
	} else if (job->now - vm->last_frame_at >= IDLE_MS) {
		vm->liveness_check_at = job->now;
		request_lists(job, vm);
	}
}

/* Watches the VMs with attempts that had no contact for IDLE_MS. */
static void find_unreachable(struct job *job)
{
	GList *first;

	while ((first = job->contact_order.head) != NULL) {
		struct vm *vm = first->data;

		if (job->now - vm->contact_at < IDLE_MS)
			return;
		update_contact(job, vm);
		if (vm->conn && g_hash_table_size(vm->items))
			job_vm_watch(job, vm);
	}
}

/* Returns TRUE if the next scan must visit the VM too. */
static gboolean scan_vm(struct job *job, struct vm *vm)
{
	gboolean again = FALSE;
	unsigned i;

	check_liveness(job, vm);
	job->fencing |= vm->fence_state != FENCE_NONE;
	if (!vm->conn) {
		job_fence_check_lost(job, vm);
		return TRUE;
	}
	if (vm->draining)
		evict_all(job, vm);
	for (i = 0; i < JOB_SHARDS; i++) {
		if (vm->list_request_at[i] &&
		    job->now >= vm->list_request_at[i])
			job_vm_request_list(job, vm, i);
		again |= vm->list_request_at[i] != 0;
	}
	return again || vm->draining || vm->liveness_check_at ||
	       vm->fence_state != FENCE_NONE;
}

static gboolean may_remove(const struct job *job, const struct vm *vm)
{
	return !vm->conn && vm->fence_state == FENCE_NONE &&
	       !g_hash_table_size(vm->items) &&
	       job->now - vm->last_frame_at > VM_FORGET_MS;
}

void job_vm_tick(struct job *job)
{
	GList *watched;
	GList *link;

	if (job->now < job->vm_scan_at)
		return;
	job->vm_scan_at = job->now + VM_SCAN_MS;
	job->fencing = FALSE;
	find_unreachable(job);
	watched = g_hash_table_get_values(job->watched);
	for (link = watched; link; link = link->next) {
		struct vm *vm = link->data;

		if (!scan_vm(job, vm))
			g_hash_table_remove(job->watched, vm->name);
		if (!may_remove(job, vm))
			continue;
		g_hash_table_remove(job->watched, vm->name);
		g_queue_unlink(&job->contact_order, &vm->contact_order);
		g_hash_table_remove(job->conns, &vm->last_conn);
		g_hash_table_remove(job->vms, vm->name);
	}
	g_list_free(watched);
}

static gboolean succeeds_elsewhere(const struct job *job, const char *kind,
				   const char *vm)
{
	const GPtrArray *vms = g_hash_table_lookup(job->succeeded_on, kind);
	guint i;

	for (i = 0; vms && i < vms->len; i++)
		if (strcmp(g_ptr_array_index(vms, i), vm) != 0)
			return TRUE;
	return FALSE;
}

/*
 * Quarantines the VM if enough jobs failed there of kinds that succeed on other
 * VMs. After a quarantine, one failure without a success is enough.
 */
static void check_faulty(struct job *job, struct vm *vm)
{
	unsigned limit = vm->quarantine_ms ? 1 : FAULTY_FAILURES;
	unsigned count = 0;
	GHashTableIter iter;
	const char *kind;

	g_hash_table_iter_init(&iter, vm->failed_jobs);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&kind))
		count += succeeds_elsewhere(job, kind, vm->name);
	if (count < limit || job->no_quarantine)
		return;
	vm->quarantine_ms = vm->quarantine_ms ? MIN(2 * vm->quarantine_ms,
						    QUARANTINE_MAX_MS)
					      : QUARANTINE_MS;
	vm->quarantine_until = job->now + vm->quarantine_ms;
	g_hash_table_remove_all(vm->failed_jobs);
	job_fx_log(job, G_LOG_LEVEL_WARNING, NULL,
		   "%s gets no new tasks for %" G_GINT64_FORMAT
		   " ms: jobs failed there that succeed elsewhere",
		   vm->name, vm->quarantine_ms);
}

void job_vm_failed(struct job *job, struct vm *vm, const struct job_item *item)
{
	g_hash_table_replace(vm->failed_jobs, g_strdup(item->id),
			     g_strdup(job_item_newest(item)->kind));
	check_faulty(job, vm);
}

void job_vm_succeeded(struct job *job, struct vm *vm,
		      const struct job_item *item)
{
	const char *kind = job_item_newest(item)->kind;
	GPtrArray *vms = g_hash_table_lookup(job->succeeded_on, kind);
	GHashTableIter iter;
	struct vm *other;

	g_hash_table_remove_all(vm->failed_jobs);
	vm->quarantine_ms = 0;
	if (!vms) {
		vms = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(job->succeeded_on, g_strdup(kind), vms);
	}
	/* With two VMs, at least one is not the VM in question. */
	if (vms->len == 2 ||
	    g_ptr_array_find_with_equal_func(vms, vm->name, g_str_equal, NULL))
		return;
	g_ptr_array_add(vms, g_strdup(vm->name));
	g_hash_table_iter_init(&iter, job->vms);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&other))
		if (g_hash_table_size(other->failed_jobs))
			check_faulty(job, other);
}
