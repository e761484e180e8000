#include "internal.h"

#include <string.h>

/* VMs fenced by one transaction; each needs an operation and a comparison. */
#define FENCES_PER_TXN 64

/*
 * Shortest interval of reads of the fences. With 10,000 agents and 20 entries,
 * an entry gets about 100 grant requests per second; one read serves many.
 */
#define READ_INTERVAL_MS 100
/* Interval of the scan over the VMs while any is being fenced. */
#define FENCE_SCAN_MS 100

#define FENCE_PREFIX "radishpier/fence/"

void job_grant_request_clear(gpointer data)
{
	struct grant_request *request = data;

	g_free(request->vm);
}

static void queue_grant_request(struct job *job, guint64 conn, guint64 sequence,
				const char *vm)
{
	struct grant_request request = { conn, sequence, NULL };
	guint i;

	/* Only the newest request of a connection needs an answer. */
	for (i = 0; i < job->grant_requests_waiting->len; i++) {
		struct grant_request *old = &g_array_index(
			job->grant_requests_waiting, struct grant_request, i);

		if (old->conn == conn) {
			old->sequence = MAX(old->sequence, sequence);
			return;
		}
	}
	request.vm = g_strdup(vm);
	g_array_append_val(job->grant_requests_waiting, request);
}

void job_fence_grant_requested(struct job *job, struct vm *vm,
			       const struct Rp__GrantRequest *request)
{
	queue_grant_request(job, vm->conn, request->sequence, vm->name);
}

struct fence *job_fence_get(struct job *job, const char *vm)
{
	struct fence *fence = g_hash_table_lookup(job->fences, vm);

	if (!fence) {
		fence = g_new0(struct fence, 1);
		g_hash_table_insert(job->fences, g_strdup(vm), fence);
	}
	return fence;
}

static void set_known_fence(struct fence *fence, guint64 session,
			    gint64 revision)
{
	fence->session = session;
	fence->revision = revision;
	fence->highest_session = MAX(fence->highest_session, session);
}

void job_fence_store_restored(struct job *job, gint64 revision)
{
	GHashTableIter iter;
	struct fence *fence;
	struct vm *vm;

	job_fx_log(job, G_LOG_LEVEL_WARNING, NULL,
		   "the platform's revision went back from %" G_GINT64_FORMAT
		   " to %" G_GINT64_FORMAT
		   ", as after a restore from an older backup; all fences are "
		   "read again, and those known stay in force",
		   job->revision_seen, revision);
	job->fences_revision = 0;
	g_hash_table_iter_init(&iter, job->fences);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&fence)) {
		fence->session = 0;
		fence->revision = 0;
	}
	/* A fence that the store lost must be written and waited for again. */
	g_hash_table_iter_init(&iter, job->vms);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&vm))
		if (vm->fence_state == FENCE_WRITE ||
		    vm->fence_state == FENCE_SENT ||
		    vm->fence_state == FENCE_WAIT)
			vm->fence_state = FENCE_READ;
}

/* The highest session of the attempts on the VM. */
static guint64 highest_session(const struct vm *vm)
{
	guint64 session = 0;
	GHashTableIter iter;
	struct job_item *item;

	g_hash_table_iter_init(&iter, vm->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item))
		session = MAX(session, job_item_newest(item)->session);
	return session;
}

/* Fenced sessions run until their grants end. */
static void wait_for_grants(struct job *job, struct vm *vm, guint64 fenced)
{
	vm->fence_state = FENCE_WAIT;
	vm->fence_target = fenced;
	vm->fence_until = job->now + JOB_FENCE_WAIT_MS;
}

/* All grants of the fenced sessions have ended: their jobs are queued. */
static void requeue_fenced(struct job *job, struct vm *vm)
{
	GList *items = g_hash_table_get_values(vm->items);
	GList *link;

	vm->fence_state = FENCE_NONE;
	for (link = items; link; link = link->next) {
		struct job_item *item = link->data;

		if (job_item_newest(item)->session <= vm->fence_target)
			job_item_requeue(job, item, "the VM was lost", NULL);
	}
	g_list_free(items);
}

void job_fence_check_lost(struct job *job, struct vm *vm)
{
	if (vm->fence_state == FENCE_NONE && g_hash_table_size(vm->items) &&
	    job->now - vm->last_frame_at >= JOB_VM_LOST_MS) {
		vm->fence_state = FENCE_READ;
		job->fencing = TRUE;
	}
}

/* Marks the shards that have attempts on the VM. */
static void collect_shards(const struct vm *vm, gboolean *shards)
{
	GHashTableIter iter;
	struct job_item *item;

	g_hash_table_iter_init(&iter, vm->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item))
		shards[item->shard] = TRUE;
}

static void add_fence_write(struct kv_txn *txn, struct vm *vm)
{
	char *key = g_strconcat(FENCE_PREFIX, vm->name, NULL);
	char *text;
	GBytes *value;

	vm->fence_target = highest_session(vm);
	text = g_strdup_printf("%" G_GUINT64_FORMAT, vm->fence_target);
	value = g_bytes_new_take(text, strlen(text));
	kv_txn_compare(txn, key, KV_COMPARE_MOD_REVISION,
		       vm->known_fence->revision);
	kv_txn_put(txn, key, value, 0);
	g_bytes_unref(value);
	g_free(key);
	vm->fence_state = FENCE_SENT;
}

static void write_fences(struct job *job)
{
	gboolean shards[JOB_SHARDS] = { FALSE };
	gboolean may_fence = job_member_may_fence(job);
	struct kv_txn *txn = NULL;
	GHashTableIter iter;
	struct vm *vm;
	unsigned i;
	char *key;

	g_hash_table_iter_init(&iter, job->vms);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&vm)) {
		if (vm->fence_state != FENCE_WRITE)
			continue;
		if (vm->conn || !g_hash_table_size(vm->items)) {
			vm->fence_state = FENCE_NONE;
			continue;
		}
		if (!may_fence)
			continue;
		if (!txn)
			txn = kv_txn_new();
		collect_shards(vm, shards);
		add_fence_write(txn, vm);
		if (txn->ops->len == FENCES_PER_TXN)
			break;
	}
	if (!may_fence) {
		job->fence_write_not_before = job->now + FENCE_SCAN_MS;
		return;
	}
	job->fences_to_write = txn && txn->ops->len == FENCES_PER_TXN;
	if (!txn)
		return;
	for (i = 0; i < JOB_SHARDS; i++) {
		if (!shards[i])
			continue;
		key = job_shard_key(i);
		kv_txn_compare(txn, key, KV_COMPARE_CREATE_REVISION,
			       (gint64)job->shards[i].term);
		g_free(key);
	}
	job_member_add_compare(job, txn);
	job->fence_write_call = job_fx_txn(job, CALL_FENCE, txn);
}

void job_fence_written(struct job *job, const struct job_event *ev)
{
	GHashTableIter iter;
	struct vm *vm;

	job->fence_write_call = 0;
	if (ev->txn.status == JOB_KV_CONFLICT) {
		job->claims_wanted = TRUE;
		job->members.read_wanted = TRUE;
	}
	if (ev->txn.status == JOB_KV_UNKNOWN)
		job_member_fence_outcome_unknown(job);
	if (ev->txn.status != JOB_KV_OK)
		job->fence_write_not_before = job->now + JOB_KV_RETRY_MS;
	g_hash_table_iter_init(&iter, job->vms);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&vm)) {
		if (vm->fence_state != FENCE_SENT)
			continue;
		if (ev->txn.status == JOB_KV_OK) {
			set_known_fence(vm->known_fence, vm->fence_target,
					ev->txn.revision);
			job->stats.fences++;
			wait_for_grants(job, vm, vm->fence_target);
		} else {
			/* It may have been written: read before retrying. */
			vm->fence_state = FENCE_READ;
		}
	}
}

static void send_fences_read(struct job *job)
{
	GArray *empty = job->grant_requests_reading;
	gboolean wanted = job->grant_requests_waiting->len > 0;
	GHashTableIter iter;
	struct vm *vm;
	gint64 from;

	g_hash_table_iter_init(&iter, job->vms);
	while (job->fencing &&
	       g_hash_table_iter_next(&iter, NULL, (gpointer *)&vm)) {
		if (vm->fence_state != FENCE_READ)
			continue;
		vm->fence_state = FENCE_READING;
		wanted = TRUE;
	}
	if (!wanted && !job->fences_wanted)
		return;
	job->fences_wanted = FALSE;
	job->fences_read_not_before = job->now + READ_INTERVAL_MS;
	job->grant_requests_reading = job->grant_requests_waiting;
	job->grant_requests_waiting = empty;
	/* Earlier reads are kept, so only later changes are read. */
	from = job->fences_revision ? job->fences_revision + 1 : 0;
	job_fx_range(job, CALL_FENCES, FENCE_PREFIX, FALSE, from,
		     &job->fences_read_call);
}

void job_fence_tick(struct job *job)
{
	GHashTableIter iter;
	struct vm *vm;

	/* Promises need all fences up to the change of the set of members. */
	if (job->members.known &&
	    job->fences_revision < job->members.min_fences_revision)
		job->fences_wanted = TRUE;
	if (!job->fences_read_call && job->now >= job->fences_read_not_before) {
		if (job->grant_requests_waiting->len || job->fences_wanted ||
		    (job->fencing && job->now >= job->fence_scan_at))
			send_fences_read(job);
	}
	if (job->fences_to_write && !job->fence_write_call &&
	    job->now >= job->fence_write_not_before)
		write_fences(job);
	if (!job->fencing || job->now < job->fence_scan_at)
		return;
	job->fence_scan_at = job->now + FENCE_SCAN_MS;
	g_hash_table_iter_init(&iter, job->vms);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&vm))
		if (vm->fence_state == FENCE_WAIT &&
		    job->now >= vm->fence_until)
			requeue_fenced(job, vm);
}

static guint64 fence_value(const struct kv_pair *pair)
{
	gsize len;
	const char *data = g_bytes_get_data(pair->value, &len);
	char *text = g_strndup(data, len);
	guint64 value = g_ascii_strtoull(text, NULL, 10);

	g_free(text);
	return value;
}

static void read_failed(struct job *job)
{
	GHashTableIter iter;
	struct vm *vm;
	guint i;

	job->fences_read_not_before = job->now + JOB_KV_RETRY_MS;
	for (i = 0; i < job->grant_requests_reading->len; i++) {
		struct grant_request *request = &g_array_index(
			job->grant_requests_reading, struct grant_request, i);

		queue_grant_request(job, request->conn, request->sequence,
				    request->vm);
	}
	g_array_set_size(job->grant_requests_reading, 0);
	g_hash_table_iter_init(&iter, job->vms);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&vm))
		if (vm->fence_state == FENCE_READING)
			vm->fence_state = FENCE_READ;
}

/* Decides whether a VM that the read covers must be fenced. */
static void decide_fence(struct job *job, struct vm *vm)
{
	if (!g_hash_table_size(vm->items)) {
		vm->fence_state = FENCE_NONE;
	} else if (vm->known_fence->session >= highest_session(vm)) {
		wait_for_grants(job, vm, vm->known_fence->session);
	} else if (vm->conn) {
		vm->fence_state = FENCE_NONE;
	} else {
		vm->fence_state = FENCE_WRITE;
		job->fences_to_write = TRUE;
	}
}

static void apply_pair(struct job *job, const struct kv_pair *pair)
{
	struct fence *fence = job_fence_get(job,
					    pair->key + strlen(FENCE_PREFIX));

	/* A read that started before this entry's own write may lack it. */
	if (pair->mod_revision >= fence->revision)
		set_known_fence(fence, fence_value(pair), pair->mod_revision);
}

void job_fence_received(struct job *job, const struct Rp__Fence *reported)
{
	struct fence *fence = job_fence_get(job, reported->vm);

	/* Its revision may stem from before a restore of the store. */
	fence->highest_session = MAX(fence->highest_session, reported->session);
}

void job_fence_send_grant(struct job *job, const struct grant_request *request)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_GRANT);

	frame->grant->sequence = request->sequence;
	frame->grant->fenced_session =
		job_fence_get(job, request->vm)->highest_session;
	job_fx_send(job, request->conn, frame);
}

void job_fence_read(struct job *job, const struct store_call *call,
		    const struct job_event *ev)
{
	GHashTableIter iter;
	struct vm *vm;
	guint i;

	job->fences_read_call = 0;
	/* After a restore, a read of later changes only is incomplete. */
	if (ev->range.status != JOB_KV_OK ||
	    call->from_revision > job->fences_revision + 1) {
		read_failed(job);
		return;
	}
	for (i = 0; i < ev->range.pairs->len; i++)
		apply_pair(job, g_ptr_array_index(ev->range.pairs, i));
	job->fences_revision = MAX(job->fences_revision, ev->range.revision);
	g_hash_table_iter_init(&iter, job->vms);
	while (job->fencing &&
	       g_hash_table_iter_next(&iter, NULL, (gpointer *)&vm))
		if (vm->fence_state == FENCE_READING)
			decide_fence(job, vm);
	for (i = 0; i < job->grant_requests_reading->len; i++)
		job_fence_send_grant(job,
				     &g_array_index(job->grant_requests_reading,
						    struct grant_request, i));
	g_array_set_size(job->grant_requests_reading, 0);
}
