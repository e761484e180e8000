/* Stand-in for the platform's worker; WORKER.md describes its interface. */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "standin/clock.h"
#include "standin/httpd.h"

/* Interval at which tasks progress and are suspended, resumed and ended. */
#define TICK_MS 5

struct task {
	char *job_id;
	int attempt;
	/** Body of the start call. */
	json_t *spec;
	const char *state;
	char *detail;
	char *checkpoint;
	char *result;
	/** When the task fails: "start", "run" (after run_ms), or NULL: never.
	 */
	char *fail;
	/** Execution time needed, and done so far, with the full CPU share. */
	gint64 run_ms;
	double done_ms;
	/** Memory usage to report; 0 means as declared. */
	gint64 use_memory_bytes;
	/** CPU share in thousandths. */
	int share_milli;
	gboolean executing;
	/** Suspended by a checkpoint call until it is stopped. */
	gboolean checkpointed;
};

struct worker {
	struct event_base *base;
	GPtrArray *tasks;
	FILE *record_stream;
	char *boot_id;
	/** End of the lease of all tasks, by the boot clock. */
	gint64 run_until_ms;
	gint64 last_tick_ms;
	/** Faults: task starts fail; calls get no answer. */
	gboolean fail_starts;
	gboolean hang;
	/** Unused delay of usage reports: GET /v1/tasks shows current usage. */
	gint64 usage_lag_ms;
};

static void task_free(void *data)
{
	struct task *task = data;

	json_decref(task->spec);
	g_free(task->job_id);
	g_free(task->detail);
	g_free(task->checkpoint);
	g_free(task->result);
	g_free(task->fail);
	g_free(task);
}

static void record(struct worker *worker, const struct task *task,
		   const char *event, gint64 time_ms)
{
	fprintf(worker->record_stream, "%" G_GINT64_FORMAT " %s %d %s\n",
		time_ms, task->job_id, task->attempt, event);
	fflush(worker->record_stream);
}

/* TRUE if the task has not ended. */
static gboolean is_active(const struct task *task)
{
	return !strcmp(task->state, "running") ||
	       !strcmp(task->state, "suspended");
}

/* Sets a final state; a stop is recorded only if the task was executing. */
static void end_task(struct worker *worker, struct task *task,
		     const char *state, const char *event, gint64 now)
{
	if (task->executing || strcmp(event, "stop"))
		record(worker, task, event, now);
	task->executing = FALSE;
	task->state = state;
}

/*
 * Adds the time since the last tick, but not beyond the end of the lease, to
 * done_ms, and ends, suspends or resumes the task.
 */
static void run_task(struct worker *worker, struct task *task, gint64 now)
{
	gint64 end = MIN(now, worker->run_until_ms);
	gboolean may_run = now < worker->run_until_ms && !task->checkpointed &&
			   task->share_milli > 0;

	if (task->executing && end > worker->last_tick_ms)
		task->done_ms += (double)(end - worker->last_tick_ms) *
				 task->share_milli / 1000;
	if (task->executing && task->done_ms >= (double)task->run_ms) {
		if (task->fail)
			end_task(worker, task, "failed", "fail", end);
		else
			end_task(worker, task, "finished", "finish", end);
		return;
	}
	if (task->executing && !may_run) {
		task->executing = FALSE;
		task->state = "suspended";
		record(worker, task, "suspend", end);
	} else if (!task->executing && may_run) {
		task->executing = TRUE;
		task->state = "running";
		record(worker, task, "resume", now);
	}
}

static void tick(evutil_socket_t fd G_GNUC_UNUSED, short what G_GNUC_UNUSED,
		 void *ctx)
{
	struct worker *worker = ctx;
	gint64 now = clock_now_ms();
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		struct task *task = worker->tasks->pdata[i];

		if (is_active(task))
			run_task(worker, task, now);
	}
	worker->last_tick_ms = now;
}

static struct task *find_task(struct worker *worker, const char *job_id,
			      int attempt, guint *index)
{
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		struct task *task = worker->tasks->pdata[i];

		if (task->attempt == attempt && !strcmp(task->job_id, job_id)) {
			if (index)
				*index = i;
			return task;
		}
	}
	return NULL;
}

static json_t *task_json(const struct task *task)
{
	json_t *json = json_deep_copy(task->spec);
	gint64 memory = task->use_memory_bytes;
	g_autofree char *result =
		g_base64_encode((guchar *)(task->result ? task->result : ""),
				task->result ? strlen(task->result) : 0);

	json_object_del(json, "payload");
	json_object_set_new(json, "state", json_string(task->state));
	if (task->detail)
		json_object_set_new(json, "detail", json_string(task->detail));
	if (task->checkpoint)
		json_object_set_new(json, "checkpoint",
				    json_string(task->checkpoint));
	if (!strcmp(task->state, "finished"))
		json_object_set_new(json, "result", json_string(result));
	if (!memory)
		memory = json_integer_value(
			json_object_get(task->spec, "memory_bytes"));
	json_object_set_new(json, "used_memory_bytes", json_integer(memory));
	json_object_set_new(
		json, "used_cpu_milli",
		json_integer(task->executing
				     ? json_integer_value(json_object_get(
					       task->spec, "cpu_milli"))
				     : 0));
	return json;
}

static void list_tasks(struct worker *worker, struct evhttp_request *req)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < worker->tasks->len; i++)
		json_array_append_new(list, task_json(worker->tasks->pdata[i]));
	httpd_reply_json(req, 200,
			 json_pack("{s:s, s:o}", "boot_id", worker->boot_id,
				   "tasks", list));
}

/*
 * Reads the run time, result, failure and memory usage from the payload, and
 * the time already done from the checkpoint.
 */
static void read_payload(struct task *task)
{
	const char *encoded =
		json_string_value(json_object_get(task->spec, "payload"));
	const char *checkpoint =
		json_string_value(json_object_get(task->spec, "checkpoint"));
	gsize len = 0;
	g_autofree guchar *raw = encoded ? g_base64_decode(encoded, &len)
					 : NULL;
	json_t *payload = raw ? json_loadb((char *)raw, len, 0, NULL) : NULL;
	json_t *saved = checkpoint ? json_loads(checkpoint, 0, NULL) : NULL;

	task->run_ms = json_integer_value(json_object_get(payload, "run_ms"));
	task->result =
		g_strdup(json_string_value(json_object_get(payload, "result")));
	task->fail =
		g_strdup(json_string_value(json_object_get(payload, "fail")));
	task->use_memory_bytes = json_integer_value(
		json_object_get(payload, "use_memory_bytes"));
	if (saved)
		task->done_ms = (double)json_integer_value(
			json_object_get(saved, "done_ms"));
	json_decref(payload);
	json_decref(saved);
}

static void start_task(struct worker *worker, struct evhttp_request *req)
{
	json_t *spec = httpd_read_json(req);
	const char *job_id = json_string_value(json_object_get(spec, "job_id"));
	int attempt = (int)json_integer_value(json_object_get(spec, "attempt"));
	gint64 run_until =
		json_integer_value(json_object_get(spec, "run_until_ms"));
	struct task *task;

	if (!job_id) {
		httpd_reply_error(req, 400, "job_id is missing");
		json_decref(spec);
		return;
	}
	if (find_task(worker, job_id, attempt, NULL)) {
		httpd_reply_json(req, 200, json_object());
		json_decref(spec);
		return;
	}
	task = g_new0(struct task, 1);
	task->job_id = g_strdup(job_id);
	task->attempt = attempt;
	task->spec = spec;
	task->share_milli = 1000;
	task->state = "suspended";
	read_payload(task);
	if (worker->fail_starts || !g_strcmp0(task->fail, "start")) {
		httpd_reply_error(req, 500, "task failed to start");
		task_free(task);
		return;
	}
	worker->run_until_ms = MAX(worker->run_until_ms, run_until);
	g_ptr_array_add(worker->tasks, task);
	if (clock_now_ms() < worker->run_until_ms) {
		task->executing = TRUE;
		task->state = "running";
		record(worker, task, "start", clock_now_ms());
	}
	httpd_reply_json(req, 201, json_object());
}

static void set_lease(struct worker *worker, struct evhttp_request *req)
{
	json_t *body = httpd_read_json(req);
	gint64 until =
		json_integer_value(json_object_get(body, "run_until_ms"));

	worker->run_until_ms = MAX(worker->run_until_ms, until);
	json_decref(body);
	httpd_reply_json(req, 200, json_object());
}

static void checkpoint_task(struct worker *worker, struct task *task,
			    struct evhttp_request *req)
{
	/* Count the time up to now; the task may end. Then suspend it. */
	tick(-1, 0, worker);
	if (is_active(task)) {
		task->checkpointed = TRUE;
		tick(-1, 0, worker);
		g_free(task->checkpoint);
		task->checkpoint =
			g_strdup_printf("{\"done_ms\":%" G_GINT64_FORMAT "}",
					(gint64)task->done_ms);
	}
	if (!task->checkpoint) {
		httpd_reply_error(req, 409, "task has ended");
		return;
	}
	httpd_reply_json(req, 200,
			 json_pack("{s:s}", "checkpoint", task->checkpoint));
}

static void throttle_task(struct task *task, struct evhttp_request *req)
{
	json_t *body = httpd_read_json(req);

	task->share_milli =
		(int)json_integer_value(json_object_get(body, "share_milli"));
	json_decref(body);
	httpd_reply_json(req, 200, json_object());
}

/* Handles a call for one task; path is "job_id/attempt[/action]". */
static void on_task(struct worker *worker, struct evhttp_request *req,
		    const char *path)
{
	g_auto(GStrv) part = g_strsplit(path, "/", 4);
	guint index = 0;
	struct task *task;

	if (!part[0] || !part[1]) {
		httpd_reply_error(req, 404, "no such resource");
		return;
	}
	task = find_task(worker, part[0],
			 (int)g_ascii_strtoll(part[1], NULL, 10), &index);
	if (!task) {
		httpd_reply_error(req, 404, "no such task");
	} else if (evhttp_request_get_command(req) == EVHTTP_REQ_DELETE) {
		if (is_active(task))
			end_task(worker, task, "stopped", "stop",
				 clock_now_ms());
		g_ptr_array_remove_index_fast(worker->tasks, index);
		httpd_reply_json(req, 200, json_object());
	} else if (!g_strcmp0(part[2], "checkpoint")) {
		checkpoint_task(worker, task, req);
	} else if (!g_strcmp0(part[2], "throttle")) {
		throttle_task(task, req);
	} else if (!g_strcmp0(part[2], "stop")) {
		if (is_active(task))
			end_task(worker, task,
				 task->checkpointed ? "evicted" : "stopped",
				 "stop", clock_now_ms());
		httpd_reply_json(req, 200, json_object());
	} else {
		httpd_reply_error(req, 404, "no such resource");
	}
}

/* Fault: restarts the worker without its tasks, under a new boot id. */
static void reboot_worker(struct worker *worker)
{
	guint i;

	for (i = 0; i < worker->tasks->len; i++) {
		struct task *task = worker->tasks->pdata[i];

		if (task->executing)
			record(worker, task, "stop", clock_now_ms());
	}
	g_ptr_array_set_size(worker->tasks, 0);
	worker->run_until_ms = 0;
	g_free(worker->boot_id);
	worker->boot_id = g_uuid_string_random();
}

static void set_fault(struct worker *worker, struct evhttp_request *req)
{
	json_t *body = httpd_read_json(req);

	worker->fail_starts =
		json_is_true(json_object_get(body, "fail_starts"));
	worker->hang = json_is_true(json_object_get(body, "hang"));
	if (json_is_true(json_object_get(body, "reboot")))
		reboot_worker(worker);
	json_decref(body);
	httpd_reply_json(req, 200, json_object());
}

static void on_request(struct evhttp_request *req, void *ctx)
{
	struct worker *worker = ctx;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (!strcmp(path, "/fault"))
		set_fault(worker, req);
	else if (worker->hang)
		return;
	else if (!strcmp(path, "/v1/lease"))
		set_lease(worker, req);
	else if (g_str_has_prefix(path, "/v1/tasks/"))
		on_task(worker, req, path + strlen("/v1/tasks/"));
	else if (strcmp(path, "/v1/tasks"))
		httpd_reply_error(req, 404, "no such resource");
	else if (evhttp_request_get_command(req) == EVHTTP_REQ_POST)
		start_task(worker, req);
	else
		list_tasks(worker, req);
}

int main(int argc, char **argv)
{
	struct worker worker = { 0 };
	g_autofree char *listen = NULL;
	g_autofree char *record_file = NULL;
	GOptionEntry options[] = { { "listen", 0, 0, G_OPTION_ARG_STRING,
				     &listen, "address to serve", "HOST:PORT" },
				   { "record", 0, 0, G_OPTION_ARG_FILENAME,
				     &record_file,
				     "append executions to this file", "FILE" },
				   { NULL } };
	struct timeval interval = { 0, TICK_MS * 1000 };

	if (httpd_parse_options(options, &argc, &argv) < 0)
		return 2;
	worker.base = event_base_new();
	worker.tasks = g_ptr_array_new_with_free_func(task_free);
	worker.boot_id = g_uuid_string_random();
	worker.record_stream = fopen(record_file ? record_file : "/dev/null",
				     "a");
	if (!worker.record_stream ||
	    httpd_listen(worker.base, listen, on_request, &worker) < 0) {
		fprintf(stderr,
			"worker: cannot open the record file or "
			"listen on %s\n",
			listen);
		return 1;
	}
	event_add(event_new(worker.base, -1, EV_PERSIST, tick, &worker),
		  &interval);
	event_base_dispatch(worker.base);
	return 0;
}
