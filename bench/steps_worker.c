#include "steps_internal.h"

#include <string.h>

#include "wire/wire.h"

/* Fake worker of the simulation, and the interference between its tasks. */

/** Baseline latency of a service relative to its target, and its variation. */
#define BASELINE_RATIO 0.4
#define BASELINE_AMPLITUDE 0.15
#define BASELINE_PERIOD_MS 20000.0

/** Fraction of its declared CPUs that a service uses. */
#define SERVICE_CPU_USE 0.45

/** Interference coefficients: interference per CPU of a batch image. */
#define COEFFICIENT_HEAVY 0.06
#define COEFFICIENT_LIGHT 0.004

/** Default of options->heavy_pairs. */
#define HEAVY_PAIRS 11

/** Upper limit of latencies, relative to the target. */
#define MAX_LATENCY_RATIO 8.0

/** Time that a run takes to stop. */
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

void steps_worker_init(struct steps_worker *w,
		       const struct steps_options *options)
{
	w->cores = options->cores_per_vm;
	w->options = options;
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
			const struct steps_task_spec *spec)
{
	struct steps_worker_run *run;

	if (find(w, call))
		return;
	run = g_new0(struct steps_worker_run, 1);
	run->task = g_strdup(call->task);
	run->attempt = call->attempt;
	run->spec = *spec;
	run->cpu_share = 1;
	run->next_cpu_share = 1;
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

void steps_worker_set_cpu_share(struct steps_worker *w,
				const struct runs_call *call, gint64 now_ms)
{
	struct steps_worker_run *run = find(w, call);

	if (!run)
		return;
	run->next_cpu_share = call->cpu_share_percent / 100.0;
	run->share_from_ms = now_ms + w->options->share_delay_ms;
}

static char *checkpoint_new(const struct steps_worker_run *run)
{
	return run->spec.kind == STEPS_BATCH
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

/** Coefficient of an image pair. */
static double coefficient(const struct steps_worker *w, guint service_image,
			  guint batch_image)
{
	guint heavy_pairs = w->options->heavy_pairs ? w->options->heavy_pairs
						    : HEAVY_PAIRS;

	return (service_image * 7 + batch_image * 13) % 20 < heavy_pairs
		       ? COEFFICIENT_HEAVY
		       : COEFFICIENT_LIGHT;
}

/* Swing of a service's load now, -1 to 1; each image has a phase of its own. */
static double swing(const struct steps_worker *w,
		    const struct steps_worker_run *run, gint64 now_ms)
{
	double period_ms = w->options->service_period_ms > 0
				   ? w->options->service_period_ms
				   : BASELINE_PERIOD_MS;
	gint64 phase = (gint64)(run->spec.image * 1931) + now_ms;
	double position = (double)(phase % (gint64)period_ms) / period_ms;

	return position < 0.5 ? 4 * position - 1 : 3 - 4 * position;
}

/** Baseline latency ratio of a service now. */
static double baseline_ratio(const struct steps_worker *w,
			     const struct steps_worker_run *run, gint64 now_ms)
{
	double amplitude = w->options->service_swing > 0
				   ? w->options->service_swing * BASELINE_RATIO
				   : BASELINE_AMPLITUDE;

	return BASELINE_RATIO + amplitude * swing(w, run, now_ms);
}

/* Fraction of its declared CPUs that a service uses now. */
static double service_cpu_use(const struct steps_worker *w,
			      const struct steps_worker_run *run, gint64 now_ms)
{
	double mean = w->options->service_cpu_use > 0
			      ? w->options->service_cpu_use
			      : SERVICE_CPU_USE;

	return mean * (1 + w->options->service_swing * swing(w, run, now_ms));
}

/* Fraction of their allowed CPUs that best-effort tasks get of the unused. */
static double best_effort_fraction(const struct steps_worker *w, gint64 now_ms)
{
	double unused = (double)w->cores;
	double allowed = 0;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct steps_worker_run *run = w->runs->pdata[i];
		double cpus = (double)run->spec.cpu_milli / 1000;

		if (run->spec.kind == STEPS_BATCH)
			allowed += cpus * run->cpu_share;
		else if (run->spec.kind == STEPS_SERVICE)
			unused -= cpus * service_cpu_use(w, run, now_ms);
		else
			unused -= cpus;
	}
	return allowed > 0 ? CLAMP(unused / allowed, 0, 1) : 1;
}

static void measure_service(const struct steps_worker *w,
			    struct steps_worker_run *run, gint64 now_ms,
			    struct steps_result *result)
{
	double interference = 0;
	double ratio;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct steps_worker_run *other = w->runs->pdata[i];

		if (other->spec.kind == STEPS_BATCH)
			interference += coefficient(w, run->spec.image,
						    other->spec.image) *
					other->measurement / 1000;
	}
	ratio = baseline_ratio(w, run, now_ms) / MAX(1 - interference, 0.01);
	run->measurement = MIN(ratio, MAX_LATENCY_RATIO) * run->spec.target_ms;
	result->service_ms += STEPS_TICK_MS;
	if (ratio > 1)
		result->service_over_ms += STEPS_TICK_MS;
	if (baseline_ratio(w, run, now_ms) > 1)
		result->service_over_alone_ms += STEPS_TICK_MS;
}

void steps_worker_tick(struct steps_worker *w, gint64 now_ms,
		       struct steps_result *result)
{
	double fraction;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		struct steps_worker_run *run = w->runs->pdata[i];

		if (now_ms >= run->share_from_ms)
			run->cpu_share = run->next_cpu_share;
	}
	fraction = best_effort_fraction(w, now_ms);
	for (i = 0; i < w->runs->len; i++) {
		struct steps_worker_run *run = w->runs->pdata[i];
		double share = run->spec.kind == STEPS_BATCH
				       ? fraction * run->cpu_share
				       : 1;

		run->done_ms += share * STEPS_TICK_MS;
		run->measurement = share * (double)run->spec.cpu_milli;
	}
	for (i = 0; i < w->runs->len; i++) {
		struct steps_worker_run *run = w->runs->pdata[i];

		if (run->spec.kind == STEPS_SERVICE)
			measure_service(w, run, now_ms, result);
	}
	for (i = 0; i < w->runs->len;) {
		struct steps_worker_run *run = w->runs->pdata[i];

		if (run->spec.kind != STEPS_SERVICE &&
		    run->done_ms >= run->spec.duration_ms)
			end_run(w, i, RP__RUN_END_KIND__RUN_END_DONE);
		else if (run->stops_ms && now_ms >= run->stops_ms)
			end_run(w, i, RP__RUN_END_KIND__RUN_END_STOPPED);
		else
			i++;
	}
}

void steps_worker_lists(struct steps_worker *w, guint64 acked_through,
			struct runs_answer *answer)
{
	guint i;

	while (w->ends->len &&
	       ((struct Rp__RunEnd *)w->ends->pdata[0])->number <=
		       acked_through)
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
		row->figure = (guint32)run->measurement;
		row->percent =
			run->spec.kind == STEPS_SERVICE
				? 100
				: (guint32)(100 * run->done_ms /
					    MAX(run->spec.duration_ms, 1));
		answer->running[i] = row;
	}
	answer->n_ended = w->ends->len;
	answer->ended = g_new0(struct Rp__RunEnd *, w->ends->len + 1);
	for (i = 0; i < w->ends->len; i++)
		answer->ended[i] = wire_message_dup(
			&((struct Rp__RunEnd *)w->ends->pdata[i])->base);
	w->end_is_new = FALSE;
}
