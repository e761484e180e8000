#include "internal.h"

#include <string.h>

/* Shortest interval of requests to the members. */
#define PROMISE_INTERVAL_MS 1000
/*
 * Promises are requested once reads have failed for this time. Shorter outages
 * (10 s and a retry) need none, since grants last 20 s, and each promise delays
 * the fences of lost VMs.
 */
#define PROMISE_AFTER_MS 11000

const char *job_promise_refusal_name(unsigned refusal)
{
	static const char *const names[JOB_PROMISE_REFUSALS] = {
		[RP__PROMISE_REFUSAL__PROMISE_REFUSAL_NONE] = "none",
		[RP__PROMISE_REFUSAL__PROMISE_REFUSAL_MEMBERS] = "members",
		[RP__PROMISE_REFUSAL__PROMISE_REFUSAL_FENCES_UNREAD] =
			"fences-unread",
		[RP__PROMISE_REFUSAL__PROMISE_REFUSAL_PLATFORM_UP] =
			"platform-up",
		[RP__PROMISE_REFUSAL__PROMISE_REFUSAL_FENCE_SENT] =
			"fence-sent",
		[RP__PROMISE_REFUSAL__PROMISE_REFUSAL_FENCE_UNKNOWN] =
			"fence-unknown",
		[RP__PROMISE_REFUSAL__PROMISE_REFUSAL_DRAINING] = "draining",
	};

	return refusal < JOB_PROMISE_REFUSALS ? names[refusal] : "unknown";
}

/* Returns why this entry cannot promise now, or NONE. */
static Rp__PromiseRefusal refusal_of(const struct job *job)
{
	const struct members *members = &job->members;

	if (members->draining)
		return RP__PROMISE_REFUSAL__PROMISE_REFUSAL_DRAINING;
	if (!members->known)
		return RP__PROMISE_REFUSAL__PROMISE_REFUSAL_MEMBERS;
	if (job->fence_write_call)
		return RP__PROMISE_REFUSAL__PROMISE_REFUSAL_FENCE_SENT;
	if (members->fence_outcome_unknown)
		return RP__PROMISE_REFUSAL__PROMISE_REFUSAL_FENCE_UNKNOWN;
	if (job->fences_revision < members->min_fences_revision)
		return RP__PROMISE_REFUSAL__PROMISE_REFUSAL_FENCES_UNREAD;
	if (!job->reads_failing_since)
		return RP__PROMISE_REFUSAL__PROMISE_REFUSAL_PLATFORM_UP;
	return RP__PROMISE_REFUSAL__PROMISE_REFUSAL_NONE;
}

void job_promise_end_request(struct job *job)
{
	g_array_set_size(job->promises.grant_requests, 0);
	job->promises.replies_pending = 0;
}

void job_promise_init(struct job *job)
{
	job->promises.grant_requests =
		g_array_new(FALSE, FALSE, sizeof(struct grant_request));
	g_array_set_clear_func(job->promises.grant_requests,
			       job_grant_request_clear);
}

void job_promise_free(struct job *job)
{
	g_array_unref(job->promises.grant_requests);
}

/* Adds the fences changed after the revision that the requester knows. */
static void add_fences(struct job *job, struct Rp__PromiseReply *reply,
		       gint64 known_revision)
{
	GHashTableIter iter;
	struct fence *fence;
	const char *vm;

	reply->fences = g_new0(struct Rp__Fence *,
			       g_hash_table_size(job->fences) + 1);
	g_hash_table_iter_init(&iter, job->fences);
	while (g_hash_table_iter_next(&iter, (gpointer *)&vm,
				      (gpointer *)&fence)) {
		struct Rp__Fence *reported;

		if (fence->revision <= known_revision)
			continue;
		reported = g_new(struct Rp__Fence, 1);
		rp__fence__init(reported);
		wire_set_string(&reported->vm, vm);
		reported->session = fence->highest_session;
		reported->revision = (guint64)fence->revision;
		reply->fences[reply->n_fences++] = reported;
	}
}

static void extend_promise(struct job *job)
{
	job->promises.no_fences_until = job->now + JOB_FENCE_WAIT_MS;
}

void job_promise_requested(struct job *job, guint64 conn,
			   const struct Rp__PromiseRequest *request)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_PROMISE_REPLY);
	struct Rp__PromiseReply *reply = frame->promise_reply;

	reply->id = request->id;
	reply->refusal = refusal_of(job);
	if (job->members.known &&
	    !job_members_equal(job, request->members, request->n_members)) {
		reply->refusal = RP__PROMISE_REFUSAL__PROMISE_REFUSAL_MEMBERS;
		job->members.read_wanted = TRUE;
	}
	/* Read the fences, to learn whether the store answers this entry. */
	job->fences_wanted = TRUE;
	if (reply->refusal == RP__PROMISE_REFUSAL__PROMISE_REFUSAL_NONE) {
		extend_promise(job);
		job->stats.promises_given++;
		add_fences(job, reply, (gint64)request->fences_revision);
	} else {
		job->stats.promises_refused[reply->refusal]++;
	}
	job_fx_send(job, conn, frame);
}

/* Removes the answered request and older ones of its connection. */
static void remove_grant_requests(GArray *requests,
				  const struct grant_request *answered)
{
	guint i;

	for (i = requests->len; i-- > 0;) {
		const struct grant_request *request =
			&g_array_index(requests, struct grant_request, i);

		if (request->conn == answered->conn &&
		    request->sequence <= answered->sequence)
			g_array_remove_index(requests, i);
	}
}

/* Answers the grant requests after all members have promised. */
static void answer_grant_requests(struct job *job)
{
	struct promises *promises = &job->promises;
	guint i;

	for (i = 0; i < promises->grant_requests->len; i++) {
		const struct grant_request *request = &g_array_index(
			promises->grant_requests, struct grant_request, i);

		job_fence_send_grant(job, request);
		remove_grant_requests(job->grant_requests_waiting, request);
		remove_grant_requests(job->grant_requests_reading, request);
		job->stats.promise_grants++;
	}
	job_promise_end_request(job);
	if (promises->state != PROMISE_USED)
		job_fx_log(job, G_LOG_LEVEL_MESSAGE, NULL,
			   "the platform cannot be read: grants are answered "
			   "by promises of %u members",
			   job->members.set->len);
	promises->state = PROMISE_USED;
}

static struct member_key *member_by_conn(struct job *job, guint64 conn)
{
	guint i;

	for (i = 0; i < job->members.set->len; i++) {
		struct member_key *key = g_ptr_array_index(job->members.set, i);

		if (job_member_conn(job, key) == conn)
			return key;
	}
	return NULL;
}

/* Logs only the first reason until promises are used or not needed. */
static void set_not_given(struct job *job, const char *who, const char *why)
{
	if (job->promises.state != PROMISE_NOT_GIVEN)
		job_fx_log(job, G_LOG_LEVEL_WARNING, NULL,
			   "the platform cannot be read and no grants are "
			   "given: no promise by member %s: %s",
			   who, why);
	job->promises.state = PROMISE_NOT_GIVEN;
}

void job_promise_reply_received(struct job *job, guint64 conn,
				const struct Rp__PromiseReply *reply)
{
	struct promises *promises = &job->promises;
	struct member_key *key = member_by_conn(job, conn);
	size_t i;

	if (!promises->replies_pending || reply->id != promises->request_id ||
	    !key || key->promised_id == reply->id)
		return;
	if (reply->refusal) {
		set_not_given(job, key->id,
			      job_promise_refusal_name(reply->refusal));
		job_promise_end_request(job);
		return;
	}
	for (i = 0; i < reply->n_fences; i++)
		job_fence_received(job, reply->fences[i]);
	key->promised_id = reply->id;
	if (--promises->replies_pending == 0)
		answer_grant_requests(job);
}

static void copy_grant_requests(struct job *job, const GArray *from)
{
	guint i;

	for (i = 0; i < from->len; i++) {
		struct grant_request request =
			g_array_index(from, struct grant_request, i);

		request.vm = g_strdup(request.vm);
		g_array_append_val(job->promises.grant_requests, request);
	}
}

/*
 * Returns the id of a registered entry that is not in the set of members, or
 * NULL. Such an entry may become a member and write a fence that this entry
 * does not know.
 */
static const char *find_nonmember(const struct job *job)
{
	guint i;
	guint k;

	for (i = 0; i < job->entries->len; i++) {
		const char *id = g_ptr_array_index(job->entries, i);

		for (k = 0; k < job->members.set->len; k++) {
			const struct member_key *key =
				g_ptr_array_index(job->members.set, k);

			if (!strcmp(key->id, id))
				break;
		}
		if (k == job->members.set->len)
			return id;
	}
	return NULL;
}

/* Returns the id of a member that is not connected, or NULL. */
static const char *find_unreachable(const struct job *job)
{
	guint i;

	for (i = 0; i < job->members.set->len; i++) {
		const struct member_key *key =
			g_ptr_array_index(job->members.set, i);

		if (!job_member_is_own(job, key) && !job_member_conn(job, key))
			return key->id;
	}
	return NULL;
}

static gboolean can_request(struct job *job)
{
	Rp__PromiseRefusal refusal = refusal_of(job);
	const char *id;

	if (refusal) {
		set_not_given(job, job->entry_id,
			      job_promise_refusal_name(refusal));
		return FALSE;
	}
	if (job->now - job->members.read_ok_sent_at >=
	    JOB_PROMISE_MAX_OUTAGE_MS) {
		set_not_given(job, job->entry_id,
			      "the set of members was read too long ago");
		return FALSE;
	}
	id = find_nonmember(job);
	if (id) {
		set_not_given(
			job, id,
			"it is registered, but the set of members lacks it");
		return FALSE;
	}
	id = find_unreachable(job);
	if (id)
		set_not_given(job, id, "it is not connected");
	return !id;
}

/* Sends a request for promises to all other members. */
static void send_request(struct job *job)
{
	struct promises *promises = &job->promises;
	guint i;

	job_promise_end_request(job);
	promises->request_id++;
	copy_grant_requests(job, job->grant_requests_waiting);
	copy_grant_requests(job, job->grant_requests_reading);
	/* This entry makes the same promise. */
	extend_promise(job);
	for (i = 0; i < job->members.set->len; i++) {
		const struct member_key *key =
			g_ptr_array_index(job->members.set, i);
		struct Rp__Frame *frame;

		if (job_member_is_own(job, key))
			continue;
		frame = wire_frame_new(RP__FRAME__BODY_PROMISE_REQUEST);
		frame->promise_request->id = promises->request_id;
		frame->promise_request->fences_revision =
			(guint64)job->fences_revision;
		frame->promise_request->members = job_members_to_wire(
			job, &frame->promise_request->n_members);
		job_fx_send(job, job_member_conn(job, key), frame);
		promises->replies_pending++;
		job->stats.promises_asked++;
	}
	if (!promises->replies_pending)
		answer_grant_requests(job);
}

void job_promise_tick(struct job *job)
{
	struct promises *promises = &job->promises;

	if (!job->reads_failing_since) {
		if (promises->state != PROMISE_IDLE)
			job_fx_log(job, G_LOG_LEVEL_MESSAGE, NULL,
				   "the platform can be read again: grants "
				   "need no promises");
		promises->state = PROMISE_IDLE;
		return;
	}
	if (job->now < promises->next_request_at ||
	    job->now - job->reads_failing_since < PROMISE_AFTER_MS ||
	    !(job->grant_requests_waiting->len ||
	      job->grant_requests_reading->len))
		return;
	promises->next_request_at = job->now + PROMISE_INTERVAL_MS;
	if (can_request(job))
		send_request(job);
	else
		job_promise_end_request(job);
}

void job_promise_status_json(const struct job *job, GString *out)
{
	static const char *const states[] = { "not needed", "used",
					      "not given" };

	g_string_append_printf(
		out,
		"{\"members\":%u,\"member\":%s,\"full\":%s,"
		"\"promises\":\"%s\",\"may_fence_in_ms\":"
		"%" G_GINT64_FORMAT "}",
		job->members.set->len, job->members.known ? "true" : "false",
		job->members.full ? "true" : "false",
		states[job->promises.state],
		MAX(job->promises.no_fences_until - job->now, 0));
}
