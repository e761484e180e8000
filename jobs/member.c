#include "internal.h"

#include <jansson.h>
#include <string.h>

/* Interval of periodic reads of the members. */
#define MEMBERS_POLL_MS 30000
/* Shortest interval of reads, and delay after a failed call. */
#define MEMBERS_RETRY_MS 500
/* Interval of the scan for members to remove. */
#define MEMBERS_SCAN_MS 1000
/* A member that is absent for this time may be removed. */
#define MEMBER_ABSENT_MS 10000
/*
 * A new entry removes older members that have not confirmed it within this
 * time. Until then they may gather promises without it: they do so for at most
 * JOB_PROMISE_MAX_OUTAGE_MS, their clocks may be 1 % slow, and its own 1 %
 * fast.
 */
#define MEMBER_WAIT_MS                                                         \
	(JOB_PROMISE_MAX_OUTAGE_MS + JOB_PROMISE_MAX_OUTAGE_MS / 50)

#define MEMBER_PREFIX "radishpier/member/"

static void key_free(gpointer data)
{
	struct member_key *key = data;

	g_free(key->key);
	g_free(key->id);
	g_free(key->instance);
	g_free(key->boot_id);
	g_free(key->address);
	g_free(key);
}

static void peer_free(gpointer data)
{
	struct member_peer *peer = data;

	g_free(peer->instance);
	g_free(peer);
}

static GPtrArray *member_set_new(void)
{
	return g_ptr_array_new_with_free_func(key_free);
}

void job_member_init(struct job *job, const struct job_options *options)
{
	struct members *members = &job->members;

	members->instance = options->instance
				    ? g_strdup(options->instance)
				    : g_strdup_printf("%08x%08x",
						      g_rand_int(job->random),
						      g_rand_int(job->random));
	members->boot_id = g_strdup(options->boot_id ? options->boot_id : "");
	members->address =
		g_strdup(options->agent_address ? options->agent_address : "");
	members->set = member_set_new();
	members->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       peer_free);
	members->create_wanted = TRUE;
}

void job_member_free(struct job *job)
{
	struct members *members = &job->members;

	g_ptr_array_unref(members->set);
	g_hash_table_unref(members->peers);
	g_free(members->instance);
	g_free(members->boot_id);
	g_free(members->address);
}

static struct member_peer *peer_get(struct job *job, const char *id)
{
	struct member_peer *peer = g_hash_table_lookup(job->members.peers, id);

	if (!peer) {
		peer = g_new0(struct member_peer, 1);
		g_hash_table_insert(job->members.peers, g_strdup(id), peer);
	}
	return peer;
}

guint64 job_member_conn(const struct job *job, const struct member_key *key)
{
	const struct member_peer *peer = g_hash_table_lookup(job->members.peers,
							     key->id);

	return peer && !g_strcmp0(peer->instance, key->instance) ? peer->conn
								 : 0;
}

gboolean job_member_is_own(const struct job *job, const struct member_key *key)
{
	return !strcmp(key->id, job->entry_id) &&
	       !strcmp(key->instance, job->members.instance);
}

struct Rp__Member **job_members_to_wire(const struct job *job, size_t *n)
{
	const GPtrArray *set = job->members.set;
	struct Rp__Member **list = g_new0(struct Rp__Member *, set->len + 1);
	guint i;

	for (i = 0; i < set->len; i++) {
		const struct member_key *key = g_ptr_array_index(set, i);

		list[i] = g_new(struct Rp__Member, 1);
		rp__member__init(list[i]);
		wire_set_string(&list[i]->entry_id, key->id);
		list[i]->create_revision = (guint64)key->create_revision;
	}
	*n = set->len;
	return list;
}

gboolean job_members_equal(const struct job *job,
			   struct Rp__Member *const *members, size_t n)
{
	const GPtrArray *set = job->members.set;
	size_t i;

	if (n != set->len)
		return FALSE;
	for (i = 0; i < n; i++) {
		const struct member_key *key = g_ptr_array_index(set, i);

		if (strcmp(members[i]->entry_id, key->id) != 0 ||
		    members[i]->create_revision !=
			    (guint64)key->create_revision)
			return FALSE;
	}
	return TRUE;
}

static void send_members(struct job *job, guint64 conn)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_MEMBERS);

	wire_set_string(&frame->members->instance, job->members.instance);
	if (job->members.known)
		frame->members->members =
			job_members_to_wire(job, &frame->members->n_members);
	job_fx_send(job, conn, frame);
}

static void send_members_to_all(struct job *job)
{
	GHashTableIter iter;
	struct member_peer *peer;

	g_hash_table_iter_init(&iter, job->members.peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		if (peer->conn)
			send_members(job, peer->conn);
}

void job_member_peer(struct job *job, const char *id, guint64 conn)
{
	struct member_peer *peer = peer_get(job, id);

	if (peer->conn == conn)
		return;
	peer->conn = conn;
	if (conn)
		send_members(job, conn);
}

/* Returns TRUE if the member's process has sent a set with this entry. */
static gboolean has_confirmed(struct job *job, const struct member_key *key)
{
	const struct member_peer *peer = g_hash_table_lookup(job->members.peers,
							     key->id);

	return peer && !g_strcmp0(peer->instance, key->instance) &&
	       peer->confirmed_revision == job->members.own_create_revision;
}

static gboolean is_older(const struct job *job, const struct member_key *key)
{
	return key->create_revision < job->members.own_create_revision;
}

static void update_full(struct job *job)
{
	struct members *members = &job->members;
	guint i;

	if (members->full || !members->known)
		return;
	for (i = 0; i < members->set->len; i++) {
		struct member_key *key = g_ptr_array_index(members->set, i);

		if (is_older(job, key) && !has_confirmed(job, key))
			return;
	}
	members->full = TRUE;
	job_fx_log(job, G_LOG_LEVEL_MESSAGE, NULL,
		   "this entry is a full member: it may fence VMs");
}

void job_members_received(struct job *job, const char *id,
			  const struct Rp__Members *received)
{
	struct members *members = &job->members;
	struct member_peer *peer = peer_get(job, id);
	size_t i;

	if (g_strcmp0(peer->instance, received->instance) != 0) {
		g_free(peer->instance);
		peer->instance = g_strdup(received->instance);
		peer->confirmed_revision = 0;
	}
	/* The frame may come before this entry has read its own key. */
	for (i = 0; i < received->n_members; i++)
		if (!strcmp(received->members[i]->entry_id, job->entry_id))
			peer->confirmed_revision = MAX(
				peer->confirmed_revision,
				(gint64)received->members[i]->create_revision);
	if (!members->known ||
	    !job_members_equal(job, received->members, received->n_members))
		members->read_wanted = TRUE;
	update_full(job);
}

static char *own_key(const struct job *job)
{
	return g_strconcat(MEMBER_PREFIX, job->entry_id, "/",
			   job->members.instance, NULL);
}

static GBytes *own_value(const struct job *job)
{
	json_t *root = json_object();
	char *text;

	json_object_set_new(root, "boot_id", json_string(job->members.boot_id));
	json_object_set_new(root, "agent_address",
			    json_string(job->members.address));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	/* jansson allocates with malloc(), as GLib does. */
	return g_bytes_new_take(text, text ? strlen(text) : 0);
}

void job_member_add_compare(const struct job *job, struct kv_txn *txn)
{
	g_autofree char *key = own_key(job);

	kv_txn_compare(txn, key, KV_COMPARE_MOD_REVISION,
		       job->members.own_mod_revision);
}

static void put_own_key(struct job *job, struct kv_txn *txn)
{
	g_autofree char *key = own_key(job);
	GBytes *value = own_value(job);

	kv_txn_put(txn, key, value, 0);
	g_bytes_unref(value);
}

static void add_delete(struct kv_txn *txn, const char *key, gint64 revision)
{
	kv_txn_compare(txn, key, KV_COMPARE_CREATE_REVISION, revision);
	kv_txn_delete(txn, key);
}

static void send_txn(struct job *job, struct kv_txn *txn)
{
	job->members.call = job_fx_txn(job, CALL_MEMBER, txn);
	job->members.reading = FALSE;
	/* Its result is taken from a read, whatever the answer is. */
	job->members.read_wanted = TRUE;
}

static char *member_string(json_t *root, const char *name)
{
	const char *text = json_string_value(json_object_get(root, name));

	return g_strdup(text ? text : "");
}

static struct member_key *key_new(const struct kv_pair *pair)
{
	struct member_key *key = g_new0(struct member_key, 1);
	gsize len;
	const char *data = g_bytes_get_data(pair->value, &len);
	json_t *root = json_loadb(len ? data : "", len, 0, NULL);
	const char *name = pair->key + strlen(MEMBER_PREFIX);
	const char *slash = strrchr(name, '/');

	key->key = g_strdup(pair->key);
	key->id = slash ? g_strndup(name, (gsize)(slash - name))
			: g_strdup(name);
	key->instance = g_strdup(slash ? slash + 1 : "");
	key->create_revision = pair->create_revision;
	key->mod_revision = pair->mod_revision;
	key->boot_id = member_string(root, "boot_id");
	key->address = member_string(root, "agent_address");
	json_decref(root);
	return key;
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	const struct member_key *left = *(struct member_key *const *)a;
	const struct member_key *right = *(struct member_key *const *)b;

	/* During a restart, two keys may have the same id. */
	return strcmp(left->id, right->id)
		       ?: (left->create_revision > right->create_revision) -
				  (left->create_revision <
				   right->create_revision);
}

static gboolean member_sets_differ(const GPtrArray *a, const GPtrArray *b)
{
	guint i;

	if (a->len != b->len)
		return TRUE;
	for (i = 0; i < a->len; i++) {
		const struct member_key *left = g_ptr_array_index(a, i);
		const struct member_key *right = g_ptr_array_index(b, i);

		if (strcmp(left->id, right->id) != 0 ||
		    left->create_revision != right->create_revision)
			return TRUE;
	}
	return FALSE;
}

static struct member_key *find_own_key(struct job *job, const GPtrArray *set)
{
	guint i;

	for (i = 0; i < set->len; i++)
		if (job_member_is_own(job, g_ptr_array_index(set, i)))
			return g_ptr_array_index(set, i);
	return NULL;
}

static void clear_own_key(struct job *job)
{
	struct members *members = &job->members;

	if (members->own_create_revision && !members->draining)
		job_fx_log(job, G_LOG_LEVEL_WARNING, NULL,
			   "the member key of this entry was removed; it joins "
			   "again as new");
	members->own_create_revision = 0;
	members->own_mod_revision = 0;
	members->full = FALSE;
	members->known = FALSE;
}

/* Applies this entry's own key as read; NULL if the key is missing. */
static void apply_own_key(struct job *job, const struct member_key *key,
			  gint64 revision)
{
	struct members *members = &job->members;

	if (!key || (members->own_create_revision &&
		     key->create_revision != members->own_create_revision))
		clear_own_key(job);
	if (!key) {
		members->create_wanted = !members->draining;
		return;
	}
	members->create_wanted = FALSE;
	if (!members->own_create_revision)
		members->own_seen_at = job->now;
	members->own_create_revision = key->create_revision;
	if (members->fence_outcome_unknown &&
	    key->mod_revision != members->own_mod_revision) {
		/* A fence with the old revision can no longer be written. */
		members->fence_outcome_unknown = FALSE;
		members->min_fences_revision = revision;
	}
	members->own_mod_revision = key->mod_revision;
}

/* Copies absent_since of the members that are in both sets. */
static void copy_absent_since(const GPtrArray *from, GPtrArray *to)
{
	guint i;
	guint k;

	for (i = 0; i < from->len; i++) {
		const struct member_key *old = g_ptr_array_index(from, i);

		for (k = 0; k < to->len; k++) {
			struct member_key *key = g_ptr_array_index(to, k);

			if (key->create_revision == old->create_revision)
				key->absent_since = old->absent_since;
		}
	}
}

static void apply_set(struct job *job, GPtrArray *set, gint64 revision)
{
	struct members *members = &job->members;
	gboolean changed = member_sets_differ(set, members->set);

	copy_absent_since(members->set, set);
	g_ptr_array_unref(members->set);
	members->set = set;
	if (!changed && members->known)
		return;
	if (!members->own_create_revision) {
		job_promise_end_request(job);
		if (changed)
			send_members_to_all(job);
		return;
	}
	members->known = TRUE;
	members->min_fences_revision = revision;
	job_promise_end_request(job);
	job_fx_log(job, G_LOG_LEVEL_INFO, NULL,
		   "%u members at revision %" G_GINT64_FORMAT, set->len,
		   revision);
	send_members_to_all(job);
}

/*
 * Deletes keys of earlier processes of this entry that have surely ended: those
 * of the same kernel boot, whose address this process has bound since.
 */
static void delete_earlier_keys(struct job *job)
{
	struct members *members = &job->members;
	struct kv_txn *txn = kv_txn_new();
	guint i;

	for (i = 0; i < members->set->len; i++) {
		const struct member_key *key = g_ptr_array_index(members->set,
								 i);

		if (!strcmp(key->id, job->entry_id) &&
		    !job_member_is_own(job, key) && *members->boot_id &&
		    !strcmp(key->boot_id, members->boot_id) &&
		    !strcmp(key->address, members->address))
			add_delete(txn, key->key, key->create_revision);
	}
	if (txn->ops->len)
		send_txn(job, txn);
	else
		kv_txn_free(txn);
}

void job_member_read(struct job *job, const struct job_event *ev)
{
	struct members *members = &job->members;
	GPtrArray *set;
	guint i;

	members->call = 0;
	members->retry_at = job->now + MEMBERS_RETRY_MS;
	if (ev->range.status != JOB_KV_OK || members->stale_read) {
		members->read_wanted = TRUE;
		members->stale_read = FALSE;
		return;
	}
	set = member_set_new();
	for (i = 0; i < ev->range.pairs->len; i++)
		g_ptr_array_add(set,
				key_new(g_ptr_array_index(ev->range.pairs, i)));
	g_ptr_array_sort(set, compare_keys);
	members->read_ok_sent_at = members->read_sent_at;
	apply_own_key(job, find_own_key(job, set), ev->range.revision);
	apply_set(job, set, ev->range.revision);
	delete_earlier_keys(job);
	update_full(job);
}

void job_member_written(struct job *job, const struct job_event *ev)
{
	struct members *members = &job->members;

	members->call = 0;
	if (ev->txn.status != JOB_KV_OK)
		members->retry_at = job->now + MEMBERS_RETRY_MS;
	else
		members->retry_at = 0;
}

void job_member_store_restored(struct job *job)
{
	struct members *members = &job->members;

	members->known = FALSE;
	members->read_wanted = TRUE;
	members->retry_at = 0;
	members->stale_read = members->call && members->reading;
}

void job_member_fence_outcome_unknown(struct job *job)
{
	job->members.fence_outcome_unknown = TRUE;
}

void job_member_drain(struct job *job)
{
	job->members.draining = TRUE;
	job_promise_end_request(job);
}

gboolean job_member_may_fence(const struct job *job)
{
	const struct members *members = &job->members;

	return members->full && !members->fence_outcome_unknown &&
	       job->now >= job->promises.no_fences_until;
}

static gboolean is_registered(const struct job *job, const char *id)
{
	guint i;

	for (i = 0; i < job->entries->len; i++)
		if (!strcmp(g_ptr_array_index(job->entries, i), id))
			return TRUE;
	return FALSE;
}

/*
 * Returns TRUE if the member's process has presumably ended: another process of
 * its entry is connected, or none is and the entry is not registered. Keys with
 * this entry's id, other than its own one, are of earlier processes.
 */
static gboolean is_absent(struct job *job, const struct member_key *key)
{
	const struct member_peer *peer = peer_get(job, key->id);

	if (!strcmp(key->id, job->entry_id))
		return TRUE;
	if (peer->conn)
		return peer->instance &&
		       strcmp(peer->instance, key->instance) != 0;
	return job->entries->len && !is_registered(job, key->id);
}

/* Returns TRUE if the member may be removed now; updates absent_since. */
static gboolean may_remove(struct job *job, struct member_key *key)
{
	const struct members *members = &job->members;

	if (!is_absent(job, key))
		key->absent_since = 0;
	else if (!key->absent_since)
		key->absent_since = job->now;
	if (members->full)
		return key->absent_since &&
		       job->now - key->absent_since >= MEMBER_ABSENT_MS;
	return is_older(job, key) && !has_confirmed(job, key) &&
	       job->now - members->own_seen_at >= MEMBER_WAIT_MS;
}

/* Removes at most one member; the next follows at a later scan. */
static void remove_one_member(struct job *job)
{
	struct members *members = &job->members;
	const struct member_key *found = NULL;
	g_autofree char *key = NULL;
	struct kv_txn *txn;
	guint i;

	for (i = 0; members->known && i < members->set->len; i++) {
		struct member_key *other = g_ptr_array_index(members->set, i);

		if (!job_member_is_own(job, other) && may_remove(job, other))
			found = other;
	}
	if (!found || members->call || job->now < members->retry_at)
		return;
	job_fx_log(job, G_LOG_LEVEL_MESSAGE, NULL,
		   "removing a member process of entry %s", found->id);
	txn = kv_txn_new();
	add_delete(txn, found->key, found->create_revision);
	key = own_key(job);
	kv_txn_compare(txn, key, KV_COMPARE_CREATE_REVISION,
		       members->own_create_revision);
	send_txn(job, txn);
}

/* Writes or deletes this entry's own key if needed; FALSE if it is not. */
static gboolean write_own_key(struct job *job)
{
	struct members *members = &job->members;
	g_autofree char *key = own_key(job);
	struct kv_txn *txn;

	if (members->draining && !members->own_create_revision)
		return FALSE;
	if (!members->draining && !members->create_wanted &&
	    !(members->fence_outcome_unknown && members->own_create_revision))
		return FALSE;
	txn = kv_txn_new();
	if (members->draining)
		add_delete(txn, key, members->own_create_revision);
	else
		job_member_add_compare(job, txn);
	if (!members->draining)
		put_own_key(job, txn);
	members->create_wanted = FALSE;
	send_txn(job, txn);
	return TRUE;
}

void job_member_tick(struct job *job)
{
	struct members *members = &job->members;

	if (job->now >= members->scan_at) {
		members->scan_at = job->now + MEMBERS_SCAN_MS;
		remove_one_member(job);
	}
	if (members->call || job->now < members->retry_at)
		return;
	if (!members->read_wanted && write_own_key(job))
		return;
	if (!members->read_wanted &&
	    job->now < members->read_sent_at + MEMBERS_POLL_MS)
		return;
	members->read_wanted = FALSE;
	members->read_sent_at = job->now;
	members->reading = TRUE;
	job_fx_range(job, CALL_MEMBERS, MEMBER_PREFIX, FALSE, 0,
		     &members->call);
}
