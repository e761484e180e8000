/* Jobs of a site, faults of its stand-ins, and the records that they write. */
#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/clock.h"
#include "standin/site_internal.h"

void site_remove_folder(struct site *site)
{
	const char *name;
	GDir *dir;

	if (g_getenv("RP_KEEP")) {
		fprintf(stderr, "kept %s\n", site->dir);
		return;
	}
	dir = g_dir_open(site->dir, 0, NULL);
	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(site->dir, name, NULL);

		g_unlink(path);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(site->dir);
}

int site_fault(struct site *site, enum site_kind kind, unsigned i,
	       const char *json)
{
	struct call_options options = {
		.method = "POST",
		.address = kind == SITE_RELAY
				   ? site_operator_address(site, kind, i)
				   : site_address(site, kind, i),
		.target = "/fault",
		.body = json,
		.body_len = strlen(json),
	};
	struct call_result result;
	int ret = call_http(&options, &result);

	if (!ret && result.status != 200)
		ret = -1;
	call_result_clear(&result);
	return ret;
}

static json_t *get_json(const char *address, const char *target)
{
	struct call_options options = { .method = "GET",
					.address = address,
					.target = target,
					.timeout_ms = 5000 };
	struct call_result result;
	json_t *json = NULL;

	if (!call_http(&options, &result) && result.status == 200)
		json = json_loadb(result.body->str, result.body->len, 0, NULL);
	call_result_clear(&result);
	return json;
}

json_t *site_status(struct site *site, enum site_kind kind, unsigned i)
{
	return get_json(site_operator_address(site, kind, i), "/status");
}

json_int_t site_generation(struct site *site, enum site_kind kind, unsigned i)
{
	json_t *status = site_status(site, kind, i);
	json_int_t generation =
		json_integer_value(json_object_get(status, "generation"));

	json_decref(status);
	return generation;
}

long site_submit(struct site *site, unsigned entry, const char *key,
		 const char *kind, const char *payload, char **id)
{
	json_t *spec = json_pack("{s:s, s:i, s:i, s:s}", "kind", kind,
				 "cpu_milli", 1000, "memory_bytes", 1 << 20,
				 "payload", payload);
	struct call_options options = { .method = "POST",
					.target = "/v1/jobs" };
	struct call_result result;
	char *body;
	long status = 0;

	if (key)
		json_object_set_new(spec, "idempotency_key", json_string(key));
	body = json_dumps(spec, 0);
	options.address = site_address(site, SITE_ENTRY, entry);
	options.body = body;
	options.body_len = strlen(body);
	if (!call_http(&options, &result)) {
		json_t *json = json_loadb(result.body->str, result.body->len, 0,
					  NULL);

		status = result.status;
		if (id)
			*id = g_strdup(
				json_string_value(json_object_get(json, "id")));
		json_decref(json);
	}
	call_result_clear(&result);
	free(body);
	json_decref(spec);
	return status;
}

char *site_job_state(struct site *site, unsigned entry, const char *id)
{
	g_autofree char *target = g_strdup_printf("/v1/jobs/%s", id);
	json_t *json = get_json(site_address(site, SITE_ENTRY, entry), target);
	char *state =
		g_strdup(json_string_value(json_object_get(json, "state")));

	json_decref(json);
	return state;
}

int site_wait_job(struct site *site, const char *id, const char *states,
		  unsigned timeout_ms)
{
	g_auto(GStrv) wanted = g_strsplit(states, "|", 0);
	gint64 end = clock_now_ms() + timeout_ms;
	unsigned entry = 0;

	while (clock_now_ms() < end) {
		g_autofree char *state = NULL;

		entry = (entry + 1) % site->n[SITE_ENTRY];
		if (site->processes[SITE_ENTRY][entry].pid)
			state = site_job_state(site, entry, id);
		if (state &&
		    g_strv_contains((const char *const *)wanted, state))
			return 0;
		g_usleep(20000);
	}
	return -1;
}

/* An execution of a job on a VM, from a start or resume to a suspend or end. */
struct execution {
	gint64 start_ms;
	/** G_MAXINT64 until the end is recorded. */
	gint64 end_ms;
	unsigned vm;
};

/* What the workers recorded of a job. */
struct job_runs {
	GArray *executions;
	unsigned finishes;
};

static void job_runs_free(void *data)
{
	struct job_runs *runs = data;

	g_array_free(runs->executions, TRUE);
	g_free(runs);
}

/* Returns the entry of a job, which is added if it is missing. */
static struct job_runs *job_runs_get(GHashTable *jobs, const char *job_id)
{
	struct job_runs *runs = g_hash_table_lookup(jobs, job_id);

	if (!runs) {
		runs = g_new0(struct job_runs, 1);
		runs->executions = g_array_new(FALSE, TRUE,
					       sizeof(struct execution));
		g_hash_table_insert(jobs, g_strdup(job_id), runs);
	}
	return runs;
}

/* Ends the running executions of a job on a VM; "*" means all jobs. */
static void end_executions(GHashTable *jobs, const char *job_id, unsigned vm,
			   gint64 time_ms)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, jobs);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		struct job_runs *runs = value;

		if (strcmp(job_id, "*") && strcmp(job_id, id))
			continue;
		for (i = 0; i < runs->executions->len; i++) {
			struct execution *run = &g_array_index(
				runs->executions, struct execution, i);

			if (run->vm == vm && run->end_ms == G_MAXINT64)
				run->end_ms = time_ms;
		}
	}
}

/* Reads "time_ms job_id attempt event", as in WORKER.md. */
static void read_worker_line(GHashTable *jobs, unsigned vm, const char *line)
{
	g_auto(GStrv) part = g_strsplit(line, " ", 4);
	struct execution run = { 0, G_MAXINT64, vm };

	if (g_strv_length(part) < 4)
		return;
	run.start_ms = g_ascii_strtoll(part[0], NULL, 10);
	if (!strcmp(part[3], "start") || !strcmp(part[3], "resume")) {
		g_array_append_val(job_runs_get(jobs, part[1])->executions,
				   run);
		return;
	}
	end_executions(jobs, part[1], vm, run.start_ms);
	if (!strcmp(part[3], "finish"))
		job_runs_get(jobs, part[1])->finishes++;
}

/* Calls fn with each line that processes of a kind recorded. */
static void read_records(struct site *site, enum site_kind kind,
			 void (*fn)(void *ctx, unsigned vm, const char *line),
			 void *ctx)
{
	unsigned i;
	guint j;

	for (i = 0; i < site->n[kind]; i++) {
		g_autofree char *text = NULL;
		g_auto(GStrv) lines = NULL;

		if (!g_file_get_contents(site->processes[kind][i].record, &text,
					 NULL, NULL))
			continue;
		lines = g_strsplit(text, "\n", 0);
		for (j = 0; lines[j]; j++)
			fn(ctx, i, lines[j]);
	}
}

static void on_worker_line(void *ctx, unsigned vm, const char *line)
{
	read_worker_line(ctx, vm, line);
}

/* TRUE if two executions of the job share some time. */
static gboolean overlap(const struct job_runs *runs)
{
	guint i;
	guint j;

	for (i = 0; i < runs->executions->len; i++) {
		struct execution *a = &g_array_index(runs->executions,
						     struct execution, i);

		for (j = i + 1; j < runs->executions->len; j++) {
			struct execution *b = &g_array_index(
				runs->executions, struct execution, j);

			if (a->start_ms < b->end_ms && b->start_ms < a->end_ms)
				return TRUE;
		}
	}
	return FALSE;
}

struct request_counts {
	struct site_check *check;
	/** Number of starts by tag. */
	GHashTable *starts;
};

/* Reads "time_ms tag event", event being start, end or over-slots. */
static void on_upstream_line(void *ctx, unsigned vm G_GNUC_UNUSED,
			     const char *line)
{
	struct request_counts *counts = ctx;
	g_auto(GStrv) part = g_strsplit(line, " ", 3);
	guint n;

	if (g_strv_length(part) < 3)
		return;
	if (!strcmp(part[2], "over-slots"))
		counts->check->over_slots++;
	if (strcmp(part[2], "start"))
		return;
	n = GPOINTER_TO_UINT(g_hash_table_lookup(counts->starts, part[1])) + 1;
	g_hash_table_insert(counts->starts, g_strdup(part[1]),
			    GUINT_TO_POINTER(n));
	counts->check->requests_ran++;
	if (n == 2)
		counts->check->requests_repeated++;
}

/* Returns struct job_runs by job id; new reference. */
static GHashTable *read_jobs(struct site *site)
{
	GHashTable *jobs = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, job_runs_free);

	read_records(site, SITE_WORKER, on_worker_line, jobs);
	return jobs;
}

void site_check_job(struct site *site, const char *id, struct site_job *check)
{
	g_autoptr(GHashTable) jobs = read_jobs(site);
	struct job_runs *runs = job_runs_get(jobs, id);
	guint i;

	memset(check, 0, sizeof(*check));
	check->executions = runs->executions->len;
	check->finishes = runs->finishes;
	for (i = 0; i < runs->executions->len; i++) {
		struct execution *run = &g_array_index(runs->executions,
						       struct execution, i);

		check->end_ms = MAX(check->end_ms, run->end_ms);
		check->executed_ms += run->end_ms - run->start_ms;
	}
}

void site_check(struct site *site, struct site_check *check)
{
	g_autoptr(GHashTable) jobs = read_jobs(site);
	struct request_counts counts = { .check = check };
	GHashTableIter iter;
	gpointer value;

	memset(check, 0, sizeof(*check));
	g_hash_table_iter_init(&iter, jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job_runs *runs = value;

		check->overlapping += overlap(runs) ? 1 : 0;
		check->finished += runs->finishes ? 1 : 0;
		check->finished_twice += runs->finishes > 1 ? 1 : 0;
	}
	counts.starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      NULL);
	read_records(site, SITE_UPSTREAM, on_upstream_line, &counts);
	g_hash_table_destroy(counts.starts);
}

static void on_tag_line(void *ctx, unsigned vm G_GNUC_UNUSED, const char *line)
{
	g_auto(GStrv) part = g_strsplit(line, " ", 3);

	if (g_strv_length(part) == 3)
		g_hash_table_add(ctx, g_strdup(part[1]));
}

GHashTable *site_ran_tags(struct site *site)
{
	GHashTable *tags = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL);

	read_records(site, SITE_UPSTREAM, on_tag_line, tags);
	return tags;
}

gboolean site_request_ran(struct site *site, const char *tag)
{
	g_autoptr(GHashTable) tags = site_ran_tags(site);

	return g_hash_table_contains(tags, tag);
}

struct last_start {
	unsigned vm;
	gint64 time_ms;
};

static void on_start_line(void *ctx, unsigned vm, const char *line)
{
	struct last_start *last = ctx;

	if (vm == last->vm && g_str_has_suffix(line, " start"))
		last->time_ms = g_ascii_strtoll(line, NULL, 10);
}

gint64 site_last_request_ms(struct site *site, unsigned vm)
{
	struct last_start last = { .vm = vm };

	read_records(site, SITE_UPSTREAM, on_start_line, &last);
	return last.time_ms;
}
