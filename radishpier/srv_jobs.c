#include "srv.h"

#include <string.h>

#define JOBS_PATH "/v1/jobs"

/** Time in which the owner of a shard must answer a forwarded call. */
#define FORWARD_TIMEOUT_MS 5000

#define MAX_JOB_ID_BYTES 64

/*
 * Longest wait of a call while its shard has no known owner, for example after
 * the entries have started or while the shard moves to another entry.
 */
#define OWNER_WAIT_MS 3000

/** Calls that may wait for an owner at a time. */
#define MAX_WAITING_CALLS 1000

/**
 * A caller's call to the jobs API. It is kept until it is answered, so that it
 * can be sent to the next owner if the shard moves before it took effect.
 */
struct call {
	guint64 handle;
	Rp__PeerOp op;
	/** Of a submission: NULL until submit() has chosen it. */
	char *job_id;
	GBytes *body;
	/** End of the wait for an owner. */
	gint64 deadline_ms;
};

/** A call that this entry's job scheduler is working on. */
struct local_call {
	guint64 handle;
	/** NULL if a peer forwarded it. */
	struct call *call;
	/** Connection of the peer that forwarded it, and its id of the call. */
	guint64 conn;
	guint64 peer_id;
};

/** A call that was forwarded to the entry that owns the shard. */
struct forward {
	guint64 id;
	struct call *call;
	guint64 conn;
	gint64 deadline_ms;
	GList link;
};

struct srv_jobs {
	struct srv *srv;
	/** Of struct call: calls whose shard has no known owner. */
	GQueue *waiting;
	/** Handle -> struct local_call. */
	GHashTable *local;
	/** Id -> struct forward. */
	GHashTable *forwards;
	/** Of struct forward, by deadline, hence in order of sending. */
	GQueue by_deadline;
	/** Id of the last forwarded call. */
	guint64 next_id;
};

static const char no_owner[] =
	"{\"error\":\"no entry is known to own the shard of this job\"}\n";
static const char bad_id[] = "{\"error\":\"the job id is malformed\"}\n";
static const char bad_op[] =
	"{\"error\":\"the operation is unknown to this entry\"}\n";
static const char no_answer[] =
	"{\"error\":\"the owner of the job's shard did not answer; the call "
	"may have taken effect\"}\n";

static struct call *call_new(const struct srv_job_call *http, Rp__PeerOp op,
			     const char *job_id)
{
	struct call *call = g_new0(struct call, 1);

	call->handle = http->handle;
	call->op = op;
	call->job_id = g_strdup(job_id);
	call->body = g_bytes_new(http->body, http->body_len);
	call->deadline_ms = net_now_ms() + OWNER_WAIT_MS;
	return call;
}

static void call_free(void *data)
{
	struct call *call = data;

	if (!call)
		return;
	g_bytes_unref(call->body);
	g_free(call->job_id);
	g_free(call);
}

static void local_call_free(void *data)
{
	struct local_call *local = data;

	call_free(local->call);
	g_free(local);
}

static void forward_free(void *data)
{
	struct forward *forward = data;

	call_free(forward->call);
	g_free(forward);
}

struct srv_jobs *srv_jobs_new(struct srv *srv)
{
	struct srv_jobs *jobs = g_new0(struct srv_jobs, 1);

	jobs->srv = srv;
	jobs->waiting = g_queue_new();
	jobs->local = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    local_call_free);
	jobs->forwards = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, forward_free);
	return jobs;
}

void srv_jobs_free(struct srv_jobs *jobs)
{
	g_hash_table_unref(jobs->local);
	g_hash_table_unref(jobs->forwards);
	g_queue_free_full(jobs->waiting, call_free);
	g_free(jobs);
}

gboolean srv_jobs_is_api_path(const char *path)
{
	size_t len = strlen(JOBS_PATH);

	return !strncmp(path, JOBS_PATH, len) &&
	       (!path[len] || path[len] == '/' || path[len] == '?');
}

static void answer_http(struct srv_jobs *jobs, guint64 handle, Rp__PeerOp op,
			unsigned status, const void *body, size_t len)
{
	struct srv_answer answer = {
		.status = status,
		.content_type = "application/json",
		.body = body,
		.body_len = len,
	};

	/* The body is the result as the task wrote it. */
	if (op == RP__PEER_OP__PEER_OP_JOB_RESULT && status == 200)
		answer.content_type = "application/octet-stream";
	if (status == 503 || status == 429) {
		answer.outcome =
			wire_outcome_name(RP__OUTCOME__OUTCOME_NOT_RUN);
		answer.retry_after_s = 1;
	} else if (status == 504) {
		answer.outcome =
			wire_outcome_name(RP__OUTCOME__OUTCOME_UNKNOWN);
	} else if (status >= 400) {
		answer.outcome =
			wire_outcome_name(RP__OUTCOME__OUTCOME_NOT_RUN);
	} else {
		answer.outcome = wire_outcome_name(RP__OUTCOME__OUTCOME_RAN);
	}
	srv_http_answer(jobs->srv->http, handle, &answer);
}

static void answer_text(struct srv_jobs *jobs, guint64 handle, unsigned status,
			const char *text)
{
	answer_http(jobs, handle, RP__PEER_OP__PEER_OP_NONE, status, text,
		    strlen(text));
}

static void answer_peer(struct srv_jobs *jobs, guint64 conn, guint64 id,
			unsigned status, const void *body, size_t len)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_PEER_REPLY);

	frame->peer_reply->id = id;
	frame->peer_reply->status = status;
	wire_set_bytes(&frame->peer_reply->body, body, len);
	srv_conns_send(jobs->srv->conns, conn, frame);
	wire_frame_free(frame);
}

/* Takes ownership of the call; answers "not-run" if it cannot wait. */
static void wait_for_owner(struct srv_jobs *jobs, struct call *call)
{
	if (net_now_ms() < call->deadline_ms &&
	    g_queue_get_length(jobs->waiting) < MAX_WAITING_CALLS) {
		g_queue_push_tail(jobs->waiting, call);
		return;
	}
	answer_text(jobs, call->handle, 503, no_owner);
	call_free(call);
}

/* Answers the caller, or waits for the next owner if the shard has moved. */
static void finish_call(struct srv_jobs *jobs, struct call **call,
			unsigned status, const void *body, size_t len)
{
	if (status == JOB_STATUS_NOT_OWNER)
		wait_for_owner(jobs, g_steal_pointer(call));
	else
		answer_http(jobs, (*call)->handle, (*call)->op, status, body,
			    len);
}

void srv_jobs_answer(struct srv_jobs *jobs, guint64 handle, unsigned status,
		     GBytes *body)
{
	struct local_call *local = g_hash_table_lookup(jobs->local, &handle);
	gsize len = 0;
	const void *data = body ? g_bytes_get_data(body, &len) : NULL;

	if (!local)
		return;
	if (local->call)
		finish_call(jobs, &local->call, status, data, len);
	else
		answer_peer(jobs, local->conn, local->peer_id, status, data,
			    len);
	g_hash_table_remove(jobs->local, &handle);
}

static void start_local(struct srv_jobs *jobs, struct local_call *local,
			Rp__PeerOp op, const char *job_id,
			const struct srv_spec *spec)
{
	struct job_event ev = { 0 };

	g_hash_table_insert(jobs->local, &local->handle, local);
	switch (op) {
	case RP__PEER_OP__PEER_OP_JOB_SUBMIT:
		ev.kind = JOB_EV_SUBMIT;
		ev.submit.handle = local->handle;
		ev.submit.job_id = job_id;
		ev.submit.spec = *srv_spec_job(spec);
		srv_dispatch_job(jobs->srv, &ev);
		return;
	case RP__PEER_OP__PEER_OP_JOB_GET:
		ev.kind = JOB_EV_GET;
		break;
	case RP__PEER_OP__PEER_OP_JOB_RESULT:
		ev.kind = JOB_EV_RESULT;
		break;
	default:
		ev.kind = JOB_EV_CANCEL;
		break;
	}
	ev.query.handle = local->handle;
	ev.query.job_id = job_id;
	srv_dispatch_job(jobs->srv, &ev);
}

static void forward_remove(struct srv_jobs *jobs, struct forward *forward)
{
	g_queue_unlink(&jobs->by_deadline, &forward->link);
	g_hash_table_remove(jobs->forwards, &forward->id);
}

static gboolean owner_known(const struct srv_jobs *jobs, const char *job_id)
{
	unsigned shard = job_shard(job_id);

	return job_shard_term(ent_jobs(jobs->srv->ent), shard) ||
	       ent_shard_owner_conn(jobs->srv->ent, shard);
}

/* Takes ownership of the call, or returns -1 if it was not sent. */
static int start_forward(struct srv_jobs *jobs, struct call *call)
{
	guint64 conn = ent_shard_owner_conn(jobs->srv->ent,
					    job_shard(call->job_id));
	struct Rp__Frame *frame;
	struct forward *forward;
	const void *body;
	gsize len;
	int sent;

	if (!conn)
		return -1;
	frame = wire_frame_new(RP__FRAME__BODY_PEER_CALL);
	frame->peer_call->id = ++jobs->next_id;
	frame->peer_call->op = call->op;
	wire_set_string(&frame->peer_call->job_id, call->job_id);
	if (call->op == RP__PEER_OP__PEER_OP_JOB_SUBMIT) {
		body = g_bytes_get_data(call->body, &len);
		wire_set_bytes(&frame->peer_call->spec, body, len);
	}
	sent = srv_conns_send(jobs->srv->conns, conn, frame);
	wire_frame_free(frame);
	if (sent < 0)
		return -1;
	forward = g_new0(struct forward, 1);
	forward->id = jobs->next_id;
	forward->call = call;
	forward->conn = conn;
	forward->deadline_ms = net_now_ms() + FORWARD_TIMEOUT_MS;
	forward->link.data = forward;
	g_hash_table_insert(jobs->forwards, &forward->id, forward);
	g_queue_push_tail_link(&jobs->by_deadline, &forward->link);
	return 0;
}

/* Takes ownership of the call; runs it here or forwards it to the owner. */
static void start(struct srv_jobs *jobs, struct call *call,
		  const struct srv_spec *spec)
{
	struct local_call *local;

	if (!job_shard_term(ent_jobs(jobs->srv->ent),
			    job_shard(call->job_id))) {
		if (start_forward(jobs, call) < 0)
			wait_for_owner(jobs, call);
		return;
	}
	local = g_new0(struct local_call, 1);
	local->handle = call->handle;
	local->call = call;
	start_local(jobs, local, call->op, call->job_id, spec);
}

/*
 * Returns the id of a new job. With an idempotency key it depends on the key;
 * without one it is random, preferably in a shard that this entry owns, which
 * saves a forward. With 16 shards, 64 tries almost always find one.
 */
static char *new_id(const struct srv_jobs *jobs, const char *key)
{
	char *id = job_id_new(key, jobs->srv->random);
	unsigned tries;

	for (tries = 0;
	     !key && tries < 4 * JOB_SHARDS &&
	     !job_shard_term(ent_jobs(jobs->srv->ent), job_shard(id));
	     tries++) {
		g_free(id);
		id = job_id_new(NULL, jobs->srv->random);
	}
	return id;
}

/* Takes ownership of the call; parses the job and chooses its id. */
static void submit(struct srv_jobs *jobs, struct call *call)
{
	gsize len;
	const void *body = g_bytes_get_data(call->body, &len);
	char *error;
	struct srv_spec *spec = srv_spec_parse(body, len, &error);

	if (!spec) {
		answer_text(jobs, call->handle, 400, error);
		g_free(error);
		call_free(call);
		return;
	}
	g_free(call->job_id);
	call->job_id = new_id(jobs, srv_spec_job(spec)->idempotency_key);
	start(jobs, call, spec);
	srv_spec_free(spec);
}

/* Returns the length of the job id at the start; 0 if it is too long. */
static size_t id_len(const char *id)
{
	size_t len = 0;

	while (g_ascii_isalnum(id[len]) || id[len] == '-' || id[len] == '_')
		len++;
	return len <= MAX_JOB_ID_BYTES ? len : 0;
}

/* Returns the job id in a path below JOBS_PATH; *result: it ends in /result. */
static char *parse_path(const char *path, gboolean *result)
{
	const char *id = path + strlen(JOBS_PATH) + 1;
	size_t len = id_len(id);

	*result = !strcmp(id + len, "/result");
	if (!len || (id[len] && !*result))
		return NULL;
	return g_strndup(id, len);
}

void srv_jobs_http(struct srv_jobs *jobs, const struct srv_job_call *http)
{
	gboolean result = FALSE;
	Rp__PeerOp op;
	char *id;

	if (!http->path[strlen(JOBS_PATH)]) {
		if (!strcmp(http->method, "POST"))
			submit(jobs,
			       call_new(http, RP__PEER_OP__PEER_OP_JOB_SUBMIT,
					NULL));
		else
			answer_text(jobs, http->handle, 405,
				    "{\"error\":\"expected POST\"}\n");
		return;
	}
	id = parse_path(http->path, &result);
	if (!id) {
		answer_text(jobs, http->handle, 404,
			    "{\"error\":\"expected /v1/jobs/{id} or "
			    "/v1/jobs/{id}/result\"}\n");
		return;
	}
	if (!strcmp(http->method, "GET"))
		op = result ? RP__PEER_OP__PEER_OP_JOB_RESULT
			    : RP__PEER_OP__PEER_OP_JOB_GET;
	else if (!strcmp(http->method, "DELETE") && !result)
		op = RP__PEER_OP__PEER_OP_JOB_CANCEL;
	else
		op = RP__PEER_OP__PEER_OP_NONE;
	if (op == RP__PEER_OP__PEER_OP_NONE)
		answer_text(jobs, http->handle, 405,
			    "{\"error\":\"expected GET or DELETE of a job, or "
			    "GET of its result\"}\n");
	else
		start(jobs, call_new(http, op, id), NULL);
	g_free(id);
}

void srv_jobs_peer_call(struct srv_jobs *jobs, guint64 conn,
			const struct Rp__PeerCall *call)
{
	struct srv_spec *spec = NULL;
	struct local_call *local;
	size_t len = id_len(call->job_id);
	char *error;

	if (!len || call->job_id[len]) {
		answer_peer(jobs, conn, call->id, 400, bad_id, strlen(bad_id));
		return;
	}
	if (!job_shard_term(ent_jobs(jobs->srv->ent),
			    job_shard(call->job_id))) {
		answer_peer(jobs, conn, call->id, JOB_STATUS_NOT_OWNER,
			    no_owner, strlen(no_owner));
		return;
	}
	switch (call->op) {
	case RP__PEER_OP__PEER_OP_JOB_SUBMIT:
		spec = srv_spec_parse(call->spec.data, call->spec.len, &error);
		if (spec)
			break;
		answer_peer(jobs, conn, call->id, 400, error, strlen(error));
		g_free(error);
		return;
	case RP__PEER_OP__PEER_OP_JOB_GET:
	case RP__PEER_OP__PEER_OP_JOB_RESULT:
	case RP__PEER_OP__PEER_OP_JOB_CANCEL:
		break;
	default:
		answer_peer(jobs, conn, call->id, 400, bad_op, strlen(bad_op));
		return;
	}
	local = g_new0(struct local_call, 1);
	local->handle = ++jobs->srv->last_handle;
	local->conn = conn;
	local->peer_id = call->id;
	start_local(jobs, local, call->op, call->job_id, spec);
	if (spec)
		srv_spec_free(spec);
}

void srv_jobs_peer_reply(struct srv_jobs *jobs, guint64 conn,
			 const struct Rp__PeerReply *reply)
{
	struct forward *forward = g_hash_table_lookup(jobs->forwards,
						      &reply->id);

	if (!forward || forward->conn != conn)
		return;
	finish_call(jobs, &forward->call, reply->status, reply->body.data,
		    reply->body.len);
	forward_remove(jobs, forward);
}

/* Ends a forward whose outcome is unknown. */
static void forward_unanswered(struct srv_jobs *jobs, struct forward *forward)
{
	answer_text(jobs, forward->call->handle, 504, no_answer);
	forward_remove(jobs, forward);
}

void srv_jobs_conn_closed(struct srv_jobs *jobs, guint64 conn)
{
	GList *l, *next;

	for (l = jobs->by_deadline.head; l; l = next) {
		struct forward *forward = l->data;

		next = l->next;
		if (forward->conn == conn)
			forward_unanswered(jobs, forward);
	}
}

static void retry_waiting(struct srv_jobs *jobs, gint64 now_ms)
{
	guint n = g_queue_get_length(jobs->waiting);

	/* After its deadline a call is tried once more, then refused. */
	while (n--) {
		struct call *call = g_queue_pop_head(jobs->waiting);

		if (now_ms < call->deadline_ms &&
		    !owner_known(jobs, call->job_id))
			g_queue_push_tail(jobs->waiting, call);
		else if (call->op == RP__PEER_OP__PEER_OP_JOB_SUBMIT)
			submit(jobs, call);
		else
			start(jobs, call, NULL);
	}
}

void srv_jobs_tick(struct srv_jobs *jobs, gint64 now_ms)
{
	struct forward *forward;

	retry_waiting(jobs, now_ms);

	while ((forward = g_queue_peek_head(&jobs->by_deadline)) &&
	       now_ms >= forward->deadline_ms)
		forward_unanswered(jobs, forward);
}
