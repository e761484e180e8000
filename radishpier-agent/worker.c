#include "shell.h"

#include <jansson.h>
#include <string.h>

/** Time-out of each call to the worker, which runs on the same VM. */
#define WORKER_TIMEOUT_MS 5000

/** Context of a worker effect whose call is in flight. */
struct op {
	struct ash *ash;
	/** Id from the effect. */
	guint64 op;
	enum agt_effect_kind kind;
};

/* Names of task states in the worker's JSON. */
static const struct {
	const char *name;
	Rp__TaskState state;
} states[] = {
	{ "running", RP__TASK_STATE__TASK_STATE_RUNNING },
	{ "suspended", RP__TASK_STATE__TASK_STATE_SUSPENDED },
	{ "finished", RP__TASK_STATE__TASK_STATE_FINISHED },
	{ "failed", RP__TASK_STATE__TASK_STATE_FAILED },
	{ "evicted", RP__TASK_STATE__TASK_STATE_EVICTED },
	{ "stopped", RP__TASK_STATE__TASK_STATE_STOPPED },
};

static json_t *body_json(struct evhttp_request *req)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(body);

	if (!len)
		return NULL;
	return json_loadb((const char *)evbuffer_pullup(body, -1), len, 0,
			  NULL);
}

/* Returns "" if the member is missing or no string. */
static const char *text(const json_t *object, const char *key)
{
	const char *value = json_string_value(json_object_get(object, key));

	return value ? value : "";
}

/* As text(), but cut to WIRE_MAX_DETAIL_BYTES: entries refuse longer text. */
static const char *detail(const json_t *object, const char *key)
{
	json_t *value = json_object_get(object, key);
	const char *all = text(object, key);
	g_autofree char *start = NULL;

	if (strlen(all) <= WIRE_MAX_DETAIL_BYTES)
		return all;
	start = g_utf8_substring(all, 0,
				 g_utf8_strlen(all, WIRE_MAX_DETAIL_BYTES - 3));
	json_string_set(value, start);
	return json_string_value(value);
}

/* Returns 0 if the member is missing or no integer. */
static gint64 number(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

/*
 * Returns -1 if the state is unknown or the job id is missing. The strings are
 * borrowed from the JSON, and the decoded result is added to results.
 */
static int task_parse(const json_t *in, struct agt_worker_task *task,
		      GPtrArray *results)
{
	const char *state = text(in, "state");
	const char *result = text(in, "result");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(states); i++)
		if (!strcmp(states[i].name, state))
			break;
	if (i == G_N_ELEMENTS(states) || !*text(in, "job_id"))
		return -1;
	task->state = states[i].state;
	task->job_id = text(in, "job_id");
	task->attempt = (unsigned)number(in, "attempt");
	task->shard = (unsigned)number(in, "shard");
	task->session = (guint64)number(in, "session");
	task->detail = detail(in, "detail");
	task->checkpoint = text(in, "checkpoint");
	task->pool = text(in, "pool");
	task->kind = text(in, "kind");
	task->cpu_milli = number(in, "cpu_milli");
	task->memory_bytes = number(in, "memory_bytes");
	task->accelerators = number(in, "accelerators");
	task->used_cpu_milli = number(in, "used_cpu_milli");
	task->used_memory_bytes = number(in, "used_memory_bytes");
	if (*result) {
		gsize len;
		guchar *bytes = g_base64_decode(result, &len);

		g_ptr_array_add(results, bytes);
		task->result = bytes;
		task->result_len = len;
	}
	return 0;
}

static void on_list(void *data, enum agt_upstream_status status,
		    struct evhttp_request *req)
{
	struct ash *ash = data;
	struct agt_event event = { .kind = AGT_EV_WORKER_TASKS };
	g_autoptr(GPtrArray) results = g_ptr_array_new_with_free_func(g_free);
	g_autofree struct agt_worker_task *tasks = NULL;
	json_t *body = NULL;
	const json_t *list;
	size_t i;

	if (status == AGT_UPSTREAM_ANSWERED &&
	    evhttp_request_get_response_code(req) == HTTP_OK)
		body = body_json(req);
	list = json_object_get(body, "tasks");
	event.worker_tasks.ok = json_is_array(list) && *text(body, "boot_id");
	if (event.worker_tasks.ok) {
		event.worker_tasks.n = json_array_size(list);
		tasks = g_new0(struct agt_worker_task, event.worker_tasks.n);
		event.worker_tasks.tasks = tasks;
		event.worker_tasks.worker_boot_id = text(body, "boot_id");
	}
	for (i = 0; tasks && i < event.worker_tasks.n; i++) {
		if (!task_parse(json_array_get(list, i), &tasks[i], results))
			continue;
		/*
		 * Refused as a whole: resources of a task that is missing in a
		 * partial list would count as free.
		 */
		g_critical("the worker's task list is not valid");
		event.worker_tasks.ok = FALSE;
		event.worker_tasks.n = 0;
	}
	ash_event(ash, &event);
	json_decref(body);
}

void ash_worker_list(struct ash *ash)
{
	struct ash_http_call call = { 0 };

	call.method = EVHTTP_REQ_GET;
	call.target = "/v1/tasks";
	call.timeout_ms = WORKER_TIMEOUT_MS;
	call.done = on_list;
	call.data = ash;
	ash_http_start(ash->worker, &call);
}

static void on_done(void *data, enum agt_upstream_status status,
		    struct evhttp_request *req)
{
	struct op *op = data;
	struct agt_event event = { .kind = AGT_EV_WORKER_DONE };
	json_t *body = NULL;
	int code = 0;

	if (status == AGT_UPSTREAM_ANSWERED) {
		body = body_json(req);
		code = evhttp_request_get_response_code(req);
	}
	event.worker_done.op = op->op;
	event.worker_done.ok = code / 100 == 2;
	event.worker_done.outcome_known = status != AGT_UPSTREAM_FAILED;
	event.worker_done.not_sent = status == AGT_UPSTREAM_NOT_SENT;
	if (body) {
		event.worker_done.detail = detail(body, "error");
		event.worker_done.checkpoint = text(body, "checkpoint");
	}
	/* A task that the worker does not know needs no stop or deletion. */
	if (code == HTTP_NOTFOUND && (op->kind == AGT_FX_WORKER_STOP ||
				      op->kind == AGT_FX_WORKER_FORGET))
		event.worker_done.ok = TRUE;
	if (op->kind == AGT_FX_WORKER_CHECKPOINT && event.worker_done.ok &&
	    (!*event.worker_done.checkpoint ||
	     strlen(event.worker_done.checkpoint) > WIRE_MAX_CHECKPOINT_BYTES))
		event.worker_done.ok = FALSE;
	ash_event(op->ash, &event);
	json_decref(body);
	g_free(op);
}

static json_t *start_body(const struct agt_effect *fx)
{
	const struct Rp__TaskStart *start = fx->worker.start->task_start;
	const struct Rp__Resources *size = start->resources;
	g_autofree char *payload = g_base64_encode(start->payload.data,
						   start->payload.len);

	return json_pack(
		"{s:s,s:I,s:I,s:I,s:s,s:s,s:I,s:I,s:I,s:s,s:s,s:I}", "job_id",
		start->job_id, "attempt", (json_int_t)start->attempt, "shard",
		(json_int_t)start->shard, "session", (json_int_t)start->session,
		"pool", start->pool, "kind", start->kind, "cpu_milli",
		(json_int_t)(size ? size->cpu_milli : 0), "memory_bytes",
		(json_int_t)(size ? size->memory_bytes : 0), "accelerators",
		(json_int_t)(size ? size->accelerators : 0), "payload", payload,
		"checkpoint", start->checkpoint, "run_until_ms",
		(json_int_t)fx->worker.run_until_ms);
}

static char *task_target(const struct agt_effect *fx, const char *action)
{
	g_autofree char *job_id = g_uri_escape_string(fx->worker.job_id, NULL,
						      FALSE);

	return g_strdup_printf("/v1/tasks/%s/%u%s", job_id, fx->worker.attempt,
			       action);
}

void ash_worker_call(struct ash *ash, const struct agt_effect *fx)
{
	struct op *op = g_new0(struct op, 1);
	struct ash_http_call call = { 0 };
	g_autofree char *target = NULL;
	char *bytes = NULL;
	json_t *body = NULL;

	op->ash = ash;
	op->op = fx->worker.op;
	op->kind = fx->kind;
	call.method = EVHTTP_REQ_POST;
	switch (fx->kind) {
	case AGT_FX_WORKER_START:
		target = g_strdup("/v1/tasks");
		body = start_body(fx);
		break;
	case AGT_FX_WORKER_LEASE:
		target = g_strdup("/v1/lease");
		body = json_pack("{s:I}", "run_until_ms",
				 (json_int_t)fx->worker.run_until_ms);
		break;
	case AGT_FX_WORKER_CHECKPOINT:
		target = task_target(fx, "/checkpoint");
		break;
	case AGT_FX_WORKER_THROTTLE:
		target = task_target(fx, "/throttle");
		body = json_pack("{s:I}", "share_milli",
				 (json_int_t)fx->worker.share_milli);
		break;
	case AGT_FX_WORKER_STOP:
		target = task_target(fx, "/stop");
		break;
	default:
		target = task_target(fx, "");
		call.method = EVHTTP_REQ_DELETE;
		break;
	}
	if (body)
		bytes = json_dumps(body, JSON_COMPACT);
	call.target = target;
	call.body = bytes;
	call.body_len = bytes ? strlen(bytes) : 0;
	call.timeout_ms = WORKER_TIMEOUT_MS;
	call.done = on_done;
	call.data = op;
	call.free_data = g_free;
	ash_http_start(ash->worker, &call);
	json_decref(body);
	free(bytes);
}
