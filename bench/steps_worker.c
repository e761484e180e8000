#include "steps_internal.h"

#include <string.h>

#include "wire/wire.h"

/* The worker of the model of steps, and how its tasks disturb each other. */

/** Own latency of a service, of its target, and how far its load swings. */
#define OWN_RATIO 0.4
#define OWN_SWING 0.15
#define SWING_MS 20000.0

/** Processors that a service uses, of what it declares. */
#define SERVING_USE 0.45

/** Stretch of a service per processor of an image that disturbs it. */
#define SLOPE_HEAVY 0.06
#define SLOPE_LIGHT 0.004

/** A latency is at most this many times the target. */
#define RATIO_MAX 8.0

#define STOP_MS 100

static void free_run(gpointer data)
{
	struct steps_worker_run *run = data;

	g_free(run->task);
	g_free(run);
}

static void free_end(gpointer data)
{
	rp__run_end__free_unpacked(data, NULL);
}

void steps_worker_init(struct steps_worker *w, gint64 cores)
{
	w->cores = cores;
	w->runs = g_ptr_array_new_with_free_func(free_run);
	w->ends = g_ptr_array_new_with_free_func(free_end);
	w->next_end = 1;
}

void steps_worker_clear(struct steps_worker *w)
{
	g_ptr_array_unref(w->runs);
	g_ptr_array_unref(w->ends);
}

static struct steps_worker_run *find(const struct steps_worker *w,
				     const struct runs_call *call)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		struct steps_worker_run *run = w->runs->pdata[i];

		if (run->attempt == call->attempt &&
		    !strcmp(run->task, call->task))
			return run;
	}
	return NULL;
}

void steps_worker_start(struct steps_worker *w, const struct runs_call *call,
			const struct steps_task_kind *is)
{
	struct steps_worker_run *run;

	if (find(w, call))
		return;
	run = g_new0(struct steps_worker_run, 1);
	run->task = g_strdup(call->task);
	run->attempt = call->attempt;
	run->is = *is;
	run->pace = 1;
	if (call->checkpoint)
		run->done_ms = g_ascii_strtod(call->checkpoint, NULL);
	g_ptr_array_add(w->runs, run);
}

void steps_worker_stop(struct steps_worker *w, const struct runs_call *call,
		       gint64 now_ms)
{
	struct steps_worker_run *run = find(w, call);

	if (run && !run->stops_ms)
		run->stops_ms = now_ms + STOP_MS;
}

void steps_worker_pace(struct steps_worker *w, const struct runs_call *call)
{
	struct steps_worker_run *run = find(w, call);

	if (run)
		run->pace = call->cpu_share_percent / 100.0;
}

static char *checkpoint_new(const struct steps_worker_run *run)
{
	return run->is.kind == STEPS_BATCH
		       ? g_strdup_printf("%.0f", run->done_ms)
		       : NULL;
}

static void end_run(struct steps_worker *w, guint index, Rp__RunEndKind kind)
{
	struct steps_worker_run *run = w->runs->pdata[index];
	struct Rp__RunEnd *end = g_malloc(sizeof(*end));
	g_autofree char *checkpoint = checkpoint_new(run);

	rp__run_end__init(end);
	end->number = w->next_end++;
	end->run = wire_run_name_new(run->task, run->attempt);
	end->kind = kind;
	wire_set_string(&end->checkpoint, checkpoint);
	g_ptr_array_add(w->ends, end);
	g_ptr_array_remove_index(w->runs, index);
	w->end_is_new = TRUE;
}

static double slope(guint serving, guint filling)
{
	return (serving * 7 + filling * 13) % 20 < 11 ? SLOPE_HEAVY
						      : SLOPE_LIGHT;
}

static double swing(const struct steps_worker_run *run, gint64 now_ms)
{
	gint64 phase = (gint64)(run->is.image * 1931) + now_ms;
	double part = (double)(phase % (gint64)SWING_MS) / SWING_MS;

	return OWN_RATIO +
	       OWN_SWING * (part < 0.5 ? 4 * part - 1 : 3 - 4 * part);
}

/* Processors for each of the tasks that fill, of what it asks for. */
static double fill_part(const struct steps_worker *w)
{
	double unused = (double)w->cores;
	double asked = 0;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct steps_worker_run *run = w->runs->pdata[i];
		double cpus = (double)run->is.cpu_milli / 1000;

		if (run->is.kind == STEPS_BATCH)
			asked += cpus * run->pace;
		else
			unused -= cpus * (run->is.kind == STEPS_SERVICE
						  ? SERVING_USE
						  : 1);
	}
	return asked > 0 ? CLAMP(unused / asked, 0, 1) : 1;
}

static void serve(const struct steps_worker *w, struct steps_worker_run *run,
		  gint64 now_ms, struct steps_result *result)
{
	double stretch = 0;
	double ratio;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct steps_worker_run *other = w->runs->pdata[i];

		if (other->is.kind == STEPS_BATCH)
			stretch += slope(run->is.image, other->is.image) *
				   other->figure / 1000;
	}
	ratio = swing(run, now_ms) / MAX(1 - stretch, 0.01);
	run->figure = MIN(ratio, RATIO_MAX) * run->is.target_ms;
	result->service_ms += STEPS_TICK_MS;
	if (ratio > 1)
		result->service_over_ms += STEPS_TICK_MS;
}

void steps_worker_tick(struct steps_worker *w, gint64 now_ms,
		       struct steps_result *result)
{
	double part = fill_part(w);
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		struct steps_worker_run *run = w->runs->pdata[i];
		double pace = run->is.kind == STEPS_BATCH ? part * run->pace
							  : 1;

		run->done_ms += pace * STEPS_TICK_MS;
		run->figure = pace * (double)run->is.cpu_milli;
	}
	for (i = 0; i < w->runs->len; i++) {
		struct steps_worker_run *run = w->runs->pdata[i];

		if (run->is.kind == STEPS_SERVICE)
			serve(w, run, now_ms, result);
	}
	for (i = 0; i < w->runs->len;) {
		struct steps_worker_run *run = w->runs->pdata[i];

		if (run->is.kind != STEPS_SERVICE &&
		    run->done_ms >= run->is.work_ms)
			end_run(w, i, RP__RUN_END_KIND__RUN_END_DONE);
		else if (run->stops_ms && now_ms >= run->stops_ms)
			end_run(w, i, RP__RUN_END_KIND__RUN_END_STOPPED);
		else
			i++;
	}
}

void steps_worker_lists(struct steps_worker *w, guint64 ended_through,
			struct runs_answer *answer)
{
	guint i;

	while (w->ends->len &&
	       ((struct Rp__RunEnd *)w->ends->pdata[0])->number <=
		       ended_through)
		g_ptr_array_remove_index(w->ends, 0);
	answer->n_running = w->runs->len;
	answer->running = g_new0(struct Rp__RunRow *, w->runs->len + 1);
	for (i = 0; i < w->runs->len; i++) {
		const struct steps_worker_run *run = w->runs->pdata[i];
		struct Rp__RunRow *row = g_malloc(sizeof(*row));
		g_autofree char *checkpoint = checkpoint_new(run);

		rp__run_row__init(row);
		row->run = wire_run_name_new(run->task, run->attempt);
		wire_set_string(&row->checkpoint, checkpoint);
		row->figure = (guint32)run->figure;
		row->percent = run->is.kind == STEPS_SERVICE
				       ? 100
				       : (guint32)(100 * run->done_ms /
						   MAX(run->is.work_ms, 1));
		answer->running[i] = row;
	}
	answer->n_ended = w->ends->len;
	answer->ended = g_new0(struct Rp__RunEnd *, w->ends->len + 1);
	for (i = 0; i < w->ends->len; i++)
		answer->ended[i] = wire_message_dup(
			&((struct Rp__RunEnd *)w->ends->pdata[i])->base);
	w->end_is_new = FALSE;
}
