#include "internal.h"

#include <math.h>
#include <stdlib.h>

#include "../obs/obs.h"

/*
 * Controller that keeps the tail latency of the latency-critical pools of the
 * VM below their limits. While one is above, it throttles the batch tasks that
 * most likely cause this, kind by kind, and evicts tasks only if throttling
 * does not help. Below the limits it restores the CPU shares step by step. The
 * limit of a pool is its latency target or, if higher, a multiple of the
 * baseline latency, which is the one without interference by batch tasks. A
 * pool counts as above its limit if the lower bound of its tail latency is.
 *
 * Only tasks of sharded jobs are controlled here. The best-effort tasks of step
 * jobs are controlled by runs/pace.c, with a model and limits of its own.
 */

/**
 * Maximum age and minimum number of the answers from which the tail latency is
 * computed, and its quantile.
 */
#define WINDOW_MS 5000
#define MIN_ANSWERS 20
#define QUANTILE_PERCENT 95

#define EVALUATE_INTERVAL_MS 1000
/** Inverse weight of an interval in the moving average of the answer rate. */
#define RATE_WEIGHT_DIVISOR 8
/** Inverse weight of an evaluation in a baseline that follows the latency. */
#define BASELINE_WEIGHT_DIVISOR 8
/** Consecutive evaluations above the limit before the first action. */
#define MIN_EVALUATIONS_OVER_LIMIT 2
/** Time between two actions, so that the effect of the first is measured. */
#define ACTION_INTERVAL_MS 2000
/**
 * Time for which all latencies must be low enough (RESTORE_MARGIN_PERCENT)
 * before a restoring step. It is doubled after a wrong step and halved while no
 * task is throttled.
 */
#define RESTORE_DELAY_MS 2000
#define RESTORE_DELAY_MAX_MS 32000
/** A restoring step was wrong if a limit is exceeded within this time of it. */
#define RESTORE_CHECK_MS 8000
/**
 * Time above the limit, with all tasks at the minimum CPU share, before the
 * first eviction. Others may follow at ACTION_INTERVAL_MS.
 */
#define EVICT_DELAY_MS 12000
/** Default of agt_options.evictions_per_minute. */
#define EVICTIONS_PER_MINUTE 2
#define MINUTE_MS 60000

/** Limit of a pool, in percent of its baseline. */
#define LIMIT_BASELINE_PERCENT 121
/**
 * CPU shares are restored only while each tail latency is below its limit by at
 * least this percentage of the distance between limit and baseline.
 */
#define RESTORE_MARGIN_PERCENT 10
/**
 * While tasks run, the baseline falls only if the tail latency is below this
 * percentage of it.
 */
#define BASELINE_DROP_PERCENT 90
/**
 * Maximum rise of the baseline while tasks run. Since the baseline is rounded
 * to us at each evaluation, one below 1500 us does not rise.
 */
#define BASELINE_RISE_PERCENT_PER_MIN 2

/** CPU shares set by throttling, in thousandths. */
static const unsigned share_steps_milli[] = {
	1000, 700, 500, 350, 250, 150, 100
};
#define SHARE_MIN_MILLI 100

/**
 * Maximum number of kinds with an attribution, and in a report. A VM runs few
 * kinds of jobs at a time.
 */
#define MAX_KINDS 64
/** attribution.factor is from 1 / ATTRIBUTION_MAX to ATTRIBUTION_MAX. */
#define ATTRIBUTION_MAX 8.0

/**
 * How likely a kind is to cause slowdowns, judged by the effect of throttling
 * it.
 */
struct attribution {
	/** Factor on the cause score; 1 at first. */
	double factor;
	gint64 updated_ms;
};

struct agt_intf *agt_intf_new(const struct agt_options *options)
{
	struct agt_intf *intf = g_new0(struct agt_intf, 1);

	intf->mode = options->interference;
	intf->evictions_per_minute = options->evictions_per_minute
					     ? options->evictions_per_minute
					     : EVICTIONS_PER_MINUTE;
	intf->eviction_times = g_array_new(FALSE, FALSE, sizeof(gint64));
	intf->attributions = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, g_free);
	intf->restore_delay_ms = RESTORE_DELAY_MS;
	return intf;
}

void agt_intf_free(struct agt_intf *intf)
{
	g_array_unref(intf->eviction_times);
	g_hash_table_unref(intf->attributions);
	g_free(intf->last_throttled_kind);
	g_free(intf);
}

void agt_intf_add_latency(struct agt *agt, struct pool *pool, gint64 ms)
{
	struct sample *sample =
		&pool->samples[pool->n_samples % LATENCY_SAMPLES];

	sample->at_ms = agt->now_ms;
	sample->latency_ms = (guint32)CLAMP(ms, 0, G_MAXINT32 / 1000);
	pool->n_samples++;
	pool->new_answers++;
}

static int compare_ms(const void *a, const void *b)
{
	const guint32 *x = a;
	const guint32 *y = b;

	return *x < *y ? -1 : *x > *y;
}

/**
 * Sets the tail latency of the last answers and its lower bound, which is one
 * standard error of the rank below; both are 0 if there are too few answers.
 */
static void update_tail_latency(const struct agt *agt, struct pool *pool)
{
	gint64 since = MAX(agt->now_ms - WINDOW_MS,
			   agt->intf->evaluate_from_ms);
	guint32 ms[LATENCY_SAMPLES];
	unsigned rank_error;
	unsigned rank;
	unsigned n = 0;
	unsigned i;

	pool->tail_us = 0;
	pool->tail_lower_bound_us = 0;

	for (i = 0; i < MIN(pool->n_samples, LATENCY_SAMPLES); i++)
		if (pool->samples[i].at_ms > since)
			ms[n++] = pool->samples[i].latency_ms;
	if (n < MIN_ANSWERS)
		return;
	qsort(ms, n, sizeof(ms[0]), compare_ms);
	rank = n * QUANTILE_PERCENT / 100;
	rank_error = (unsigned)(sqrt(n * QUANTILE_PERCENT *
				     (100.0 - QUANTILE_PERCENT)) /
					100 +
				0.5);
	pool->tail_us = MAX(1, ms[rank] * 1000);
	pool->tail_lower_bound_us = ms[rank - MIN(rank, rank_error)] * 1000;
}

/**
 * TRUE if the controller may throttle, restore or evict the task: its pool is
 * of class batch or not known, and it may execute and is neither being started
 * nor ended.
 */
static gboolean is_controllable(const struct agt *agt, const struct task *task)
{
	const struct cfg_pool *row = agt->tables && task->pool
					     ? cfg_pool_find(agt->tables,
							     task->pool)
					     : NULL;

	if (row && row->class != CFG_CLASS_BATCH)
		return FALSE;
	return task->reserved && !agt_task_is_final(task) &&
	       !task->evict_wanted && !task->stop_wanted && !task->start;
}

/**
 * The baseline follows the tail latency while no task runs. While tasks run it
 * follows clearly lower values and else rises only slowly, since the latency
 * may be raised by interference.
 */
static void update_baseline(struct agt *agt, struct pool *pool)
{
	gint64 delta = (gint64)pool->tail_us - pool->baseline_us;
	double max_factor = 1 + BASELINE_RISE_PERCENT_PER_MIN / 100.0 *
					EVALUATE_INTERVAL_MS / MINUTE_MS;

	if (!pool->tail_us)
		return;
	if (!pool->baseline_us)
		pool->baseline_us = pool->tail_us;
	else if (!agt_tasks_reserved_count(agt) ||
		 pool->tail_us <
			 pool->baseline_us / 100.0 * BASELINE_DROP_PERCENT)
		pool->baseline_us = (unsigned)(pool->baseline_us +
					       delta / BASELINE_WEIGHT_DIVISOR);
	else
		pool->baseline_us = MAX(
			pool->baseline_us,
			MIN(pool->tail_us,
			    (unsigned)(pool->baseline_us * max_factor + 0.5)));
}

/**
 * Returns the limit of a pool, or 0 if none applies. It is never below a
 * multiple of the baseline: a target that is missed without batch tasks is not
 * missed because of them.
 */
static unsigned limit_us(const struct agt *agt, const struct pool *pool)
{
	const struct cfg_pool *row =
		agt->tables ? cfg_pool_find(agt->tables, pool->name) : NULL;
	unsigned limit = (unsigned)((guint64)pool->baseline_us *
				    LIMIT_BASELINE_PERCENT / 100);

	if (!pool->baseline_us || !row ||
	    row->class != CFG_CLASS_LATENCY_CRITICAL)
		return 0;
	return MAX(limit, row->latency_target_ms * 1000);
}

/**
 * Updates all pools. Returns the pool above its limit whose tail latency is the
 * largest multiple of the limit, or NULL. Sets *below_margin to whether each
 * pool with a limit and enough answers is low enough to restore CPU shares.
 */
static struct pool *evaluate_pools(struct agt *agt, gboolean *below_margin)
{
	struct pool *worst = NULL;
	unsigned i;

	*below_margin = TRUE;
	for (i = 0; i < agt->pools->len; i++) {
		struct pool *pool = g_ptr_array_index(agt->pools, i);

		update_tail_latency(agt, pool);
		pool->answers_per_min += (pool->new_answers *
						  (double)MINUTE_MS /
						  EVALUATE_INTERVAL_MS -
					  pool->answers_per_min) /
					 RATE_WEIGHT_DIVISOR;
		pool->new_answers = 0;
		update_baseline(agt, pool);
		pool->limit_us = limit_us(agt, pool);
		if (!pool->tail_us || !pool->limit_us)
			continue;
		if (pool->tail_us >
		    pool->limit_us - (pool->limit_us - pool->baseline_us) *
					     RESTORE_MARGIN_PERCENT / 100)
			*below_margin = FALSE;
		if (pool->tail_lower_bound_us > pool->limit_us &&
		    (!worst ||
		     (guint64)pool->tail_us * worst->limit_us >
			     (guint64)worst->tail_us * pool->limit_us))
			worst = pool;
	}
	return worst;
}

/**
 * Returns the attribution of a kind. A new one may replace the one that was
 * updated least recently.
 */
static struct attribution *attribution_get(struct agt *agt, const char *kind)
{
	struct agt_intf *intf = agt->intf;
	struct attribution *attribution =
		g_hash_table_lookup(intf->attributions, kind);
	const char *oldest = NULL;
	gint64 oldest_ms = G_MAXINT64;
	GHashTableIter iter;
	struct attribution *other;
	const char *name;

	if (attribution)
		return attribution;
	g_hash_table_iter_init(&iter, intf->attributions);
	while (g_hash_table_iter_next(&iter, (void **)&name, (void **)&other))
		if (other->updated_ms < oldest_ms) {
			oldest_ms = other->updated_ms;
			oldest = name;
		}
	if (g_hash_table_size(intf->attributions) >= MAX_KINDS)
		g_hash_table_remove(intf->attributions, oldest);
	attribution = g_new0(struct attribution, 1);
	attribution->factor = 1;
	attribution->updated_ms = agt->now_ms;
	g_hash_table_insert(intf->attributions, g_strdup(kind), attribution);
	return attribution;
}

/**
 * Updates the attribution of the kind throttled last: halves it if a pool is
 * still above its limit and the tail latency fell by less than 5 %, else raises
 * it by half.
 */
static void evaluate_last_throttling(struct agt *agt, const struct pool *worst)
{
	struct agt_intf *intf = agt->intf;
	struct attribution *attribution;

	if (!intf->last_throttled_kind)
		return;
	attribution = attribution_get(agt, intf->last_throttled_kind);
	attribution->updated_ms = agt->now_ms;
	if (worst && worst->tail_us >= intf->tail_before_us * 0.95)
		attribution->factor = MAX(attribution->factor / 2,
					  1 / ATTRIBUTION_MAX);
	else
		attribution->factor = MIN(attribution->factor * 1.5,
					  ATTRIBUTION_MAX);
	g_clear_pointer(&intf->last_throttled_kind, g_free);
}

/**
 * Returns the cause score of a task, which grows with the probability that the
 * task causes the slowdown: CPUs that it may use times the predicted slowdown
 * (plus 1 %, as that of a new kind is 0) times the attribution of its kind.
 */
static double cause_score(struct agt *agt, const struct task *task)
{
	double attribution =
		attribution_get(agt, task->kind ? task->kind : "")->factor;

	return attribution * (0.01 + task->slowdown_milli / 1000.0) *
	       (double)MAX(task->cpu_milli, 1) * task->intf_share_milli / 1000;
}

/**
 * Returns the kind with the highest sum of cause scores over its tasks whose
 * CPU share exceeds above_milli; borrowed, NULL if there are no such tasks.
 */
static const char *candidate_kind(struct agt *agt, unsigned above_milli)
{
	g_autoptr(GHashTable) sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	const char *worst = NULL;
	double highest = -1;
	GHashTableIter iter;
	struct task *task;

	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task)) {
		const char *kind = task->kind ? task->kind : "";
		double *sum = g_hash_table_lookup(sums, kind);

		if (!is_controllable(agt, task) ||
		    task->intf_share_milli <= above_milli)
			continue;
		if (!sum) {
			sum = g_new0(double, 1);
			g_hash_table_insert(sums, (void *)kind, sum);
		}
		*sum += cause_score(agt, task);
		if (!worst || *sum > highest ||
		    (*sum == highest && strcmp(kind, worst) < 0)) {
			highest = *sum;
			worst = kind;
		}
	}
	return worst;
}

static int compare_newest_first(const void *a, const void *b)
{
	const struct task *x = *(const struct task *const *)a;
	const struct task *y = *(const struct task *const *)b;

	return x->admission_number > y->admission_number
		       ? -1
		       : x->admission_number < y->admission_number;
}

/**
 * Returns the tasks of a kind, or of all if NULL, whose CPU share exceeds
 * above_milli, newest first.
 */
static GPtrArray *tasks_with_share_above(struct agt *agt, const char *kind,
					 unsigned above_milli)
{
	GPtrArray *tasks = g_ptr_array_new();
	GHashTableIter iter;
	struct task *task;

	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task))
		if (is_controllable(agt, task) &&
		    task->intf_share_milli > above_milli &&
		    (!kind || !strcmp(kind, task->kind ? task->kind : "")))
			g_ptr_array_add(tasks, task);
	g_ptr_array_sort(tasks, compare_newest_first);
	return tasks;
}

static void set_reason(struct task *task, const char *what,
		       const struct pool *pool)
{
	g_free(task->intf_reason);
	task->intf_reason = g_strdup_printf(
		"%s: pool %s has a 95th percentile latency of %u us, its "
		"limit is %u us",
		what, pool->name, pool->tail_us, pool->limit_us);
}

static void set_cpu_share(struct agt *agt, struct task *task,
			  unsigned share_milli)
{
	if (share_milli == 1000)
		g_clear_pointer(&task->intf_reason, g_free);
	task->intf_share_milli = share_milli;
	task->throttle_wanted = TRUE;
	agt->report_changed = TRUE;
	agt_worker_issue_call(agt, task);
}

static unsigned next_lower_share(unsigned share_milli)
{
	unsigned i;

	for (i = 0; i + 1 < G_N_ELEMENTS(share_steps_milli) &&
		    share_steps_milli[i] >= share_milli;
	     i++)
		;
	return share_steps_milli[i];
}

static unsigned next_higher_share(unsigned share_milli)
{
	unsigned i;

	for (i = G_N_ELEMENTS(share_steps_milli) - 1;
	     i > 0 && share_steps_milli[i] <= share_milli; i--)
		;
	return share_steps_milli[i];
}

/**
 * Postpones the next action, and leaves out the answers until the last one has
 * probably taken effect.
 */
static void postpone_next_action(struct agt *agt)
{
	agt->intf->evaluate_from_ms = agt->now_ms + EVALUATE_INTERVAL_MS / 2;
	agt->intf->next_action_ms = agt->now_ms + ACTION_INTERVAL_MS;
}

/**
 * Lowers by a step the CPU share of the newest tasks of the kind, at least one.
 * Of the tasks above the minimum share these are the fraction (tail - limit) /
 * (tail - baseline), by which the excess over the baseline must fall.
 */
static void throttle(struct agt *agt, const char *kind, const struct pool *pool)
{
	g_autoptr(GPtrArray)
		tasks = tasks_with_share_above(agt, kind, SHARE_MIN_MILLI);
	double excess = (double)(pool->tail_us - pool->limit_us) /
			MAX(1, (int)(pool->tail_us - pool->baseline_us));
	unsigned n = MAX(1, (unsigned)(excess * tasks->len + 0.999));
	unsigned i;

	agt->intf->last_throttled_kind = g_strdup(kind);
	agt->intf->tail_before_us = pool->tail_us;
	for (i = 0; i < MIN(n, tasks->len); i++) {
		struct task *task = g_ptr_array_index(tasks, i);

		set_reason(task, "throttled", pool);
		set_cpu_share(agt, task,
			      next_lower_share(task->intf_share_milli));
		agt_fx_count(agt, "radishpier_agent_throttles_total",
			     g_strdup("reason=\"interference\""));
	}
	agt_fx_log(agt, G_LOG_LEVEL_INFO, NULL,
		   "throttled %u tasks of kind \"%s\": pool %s has a 95th "
		   "percentile latency of %u us, its limit is %u us",
		   i, agt->intf->last_throttled_kind, pool->name, pool->tail_us,
		   pool->limit_us);
	postpone_next_action(agt);
}

/** Returns whether the rate limit allows an eviction; counts a refusal. */
static gboolean check_eviction_rate(struct agt *agt)
{
	GArray *times = agt->intf->eviction_times;

	while (times->len &&
	       g_array_index(times, gint64, 0) <= agt->now_ms - MINUTE_MS)
		g_array_remove_index(times, 0);
	if (times->len < agt->intf->evictions_per_minute)
		return TRUE;
	agt->intf->evictions_withheld++;
	return FALSE;
}

/** Evicts the newest task of a kind, or of all if NULL; there must be one. */
static void evict(struct agt *agt, const char *kind, const struct pool *pool)
{
	g_autoptr(GPtrArray) tasks = tasks_with_share_above(agt, kind, 0);
	struct task *task = g_ptr_array_index(tasks, 0);

	task->evict_wanted = TRUE;
	task->reason = RP__REASON__REASON_INTERFERENCE;
	set_reason(task, "evicted", pool);
	g_array_append_val(agt->intf->eviction_times, agt->now_ms);
	agt->intf->evictions++;
	agt_fx_count(agt, "radishpier_agent_interference_evictions_total",
		     NULL);
	agt_fx_log(agt, G_LOG_LEVEL_WARNING, task->job_id,
		   "attempt %u is evicted: pool %s answers in %u us, its limit "
		   "is %u us, and throttling does not help",
		   task->attempt, pool->name, pool->tail_us, pool->limit_us);
	agt_worker_issue_call(agt, task);
	postpone_next_action(agt);
}

/**
 * Throttles the kind that most likely slows the pool. If all tasks have had the
 * minimum CPU share for EVICT_DELAY_MS, evicts a task instead.
 */
static void reduce_interference(struct agt *agt, const struct pool *pool)
{
	struct agt_intf *intf = agt->intf;
	const char *kind = candidate_kind(agt, SHARE_MIN_MILLI);

	if (intf->last_restore_ms &&
	    agt->now_ms - intf->last_restore_ms < RESTORE_CHECK_MS) {
		intf->restore_delay_ms = MIN(2 * intf->restore_delay_ms,
					     RESTORE_DELAY_MAX_MS);
		intf->last_restore_ms = 0;
	}
	if (kind) {
		throttle(agt, kind, pool);
		intf->all_at_min_since_ms = 0;
		return;
	}
	if (!intf->all_at_min_since_ms)
		intf->all_at_min_since_ms = agt->now_ms;
	kind = candidate_kind(agt, 0);
	if (kind && agt->now_ms - intf->all_at_min_since_ms >= EVICT_DELAY_MS &&
	    check_eviction_rate(agt))
		evict(agt, kind, pool);
}

/**
 * Makes half as many restoring steps as there are throttled tasks. Each raises
 * the CPU share of the task that then has the lowest cause score, so one task
 * may be raised several times. Halves the restore delay if none is throttled.
 */
static void restore(struct agt *agt)
{
	struct agt_intf *intf = agt->intf;
	g_autoptr(GPtrArray) tasks = tasks_with_share_above(agt, NULL, 0);
	unsigned throttled = 0;
	unsigned n;
	unsigned i;

	for (i = 0; i < tasks->len; i++) {
		struct task *task = g_ptr_array_index(tasks, i);

		throttled += task->intf_share_milli < 1000;
	}
	if (!throttled) {
		intf->restore_delay_ms = MAX(intf->restore_delay_ms / 2,
					     RESTORE_DELAY_MS);
		intf->below_margin_since_ms = agt->now_ms;
		return;
	}
	for (n = (throttled + 1) / 2; n; n--) {
		struct task *best = NULL;

		for (i = 0; i < tasks->len; i++) {
			struct task *task = g_ptr_array_index(tasks, i);

			if (task->intf_share_milli < 1000 &&
			    (!best ||
			     cause_score(agt, task) < cause_score(agt, best)))
				best = task;
		}
		if (best)
			set_cpu_share(
				agt, best,
				next_higher_share(best->intf_share_milli));
	}
	intf->last_restore_ms = agt->now_ms;
	intf->below_margin_since_ms = agt->now_ms;
	postpone_next_action(agt);
}

/**
 * Evicts the newest task, without throttling before and without the rate limit;
 * for AGT_INTERFERENCE_EVICT.
 */
static void evict_newest(struct agt *agt, const struct pool *pool)
{
	g_autoptr(GPtrArray) tasks = tasks_with_share_above(agt, NULL, 0);

	if (tasks->len)
		evict(agt, NULL, pool);
}

static void evaluate(struct agt *agt)
{
	struct agt_intf *intf = agt->intf;
	gboolean below_margin;
	const struct pool *worst = evaluate_pools(agt, &below_margin);

	intf->evaluations_over_limit = worst ? intf->evaluations_over_limit + 1
					     : 0;
	if (!below_margin)
		intf->below_margin_since_ms = 0;
	else if (!intf->below_margin_since_ms)
		intf->below_margin_since_ms = agt->now_ms;
	if (agt->now_ms < intf->next_action_ms ||
	    intf->mode == AGT_INTERFERENCE_IGNORE)
		return;
	evaluate_last_throttling(agt, worst);
	if (worst &&
	    intf->evaluations_over_limit >= MIN_EVALUATIONS_OVER_LIMIT) {
		if (intf->mode == AGT_INTERFERENCE_EVICT)
			evict_newest(agt, worst);
		else
			reduce_interference(agt, worst);
	} else if (!worst) {
		intf->all_at_min_since_ms = 0;
		if (below_margin && agt->now_ms - intf->below_margin_since_ms >=
					    intf->restore_delay_ms)
			restore(agt);
	}
}

void agt_intf_tick(struct agt *agt)
{
	struct agt_intf *intf = agt->intf;
	GHashTableIter iter;
	struct task *task;

	if (!agt->has_upstream || !agt->has_worker ||
	    agt->now_ms < intf->next_evaluation_ms)
		return;
	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task))
		if (task->reserved && task->intf_share_milli < 1000)
			intf->throttled_ms += EVALUATE_INTERVAL_MS;
	intf->next_evaluation_ms = agt->now_ms + EVALUATE_INTERVAL_MS;
	evaluate(agt);
}

static struct Rp__KindLoad *kind_load(struct Rp__Report *report,
				      const char *kind)
{
	struct Rp__KindLoad *load;
	size_t i;

	for (i = 0; report->kinds && i < report->n_kinds; i++)
		if (!strcmp(report->kinds[i]->kind, kind))
			return report->kinds[i];
	if (report->n_kinds == MAX_KINDS)
		return NULL;
	if (!report->kinds)
		report->kinds = g_new0(struct Rp__KindLoad *, MAX_KINDS);
	load = g_new(struct Rp__KindLoad, 1);
	rp__kind_load__init(load);
	wire_set_string(&load->kind, kind);
	load->used = wire_resources_dup(NULL);
	report->kinds[report->n_kinds++] = load;
	return load;
}

void agt_intf_report(const struct agt *agt, struct Rp__Report *report)
{
	GHashTableIter iter;
	struct task *task;

	g_hash_table_iter_init(&iter, agt->tasks);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&task)) {
		struct Rp__KindLoad *load;

		if (!task->reserved || !task->kind || !*task->kind)
			continue;
		load = kind_load(report, task->kind);
		if (!load)
			continue;
		load->tasks++;
		load->throttled += task->intf_share_milli < 1000;
		load->cpu_milli += task->cpu_milli * task->intf_share_milli /
				   1000;
		load->used->cpu_milli = MAX(load->used->cpu_milli,
					    task->used_cpu_milli);
		load->used->memory_bytes = MAX(load->used->memory_bytes,
					       task->peak_memory_bytes);
	}
}

void agt_intf_status(const struct agt *agt, GString *out)
{
	const struct agt_intf *intf = agt->intf;
	unsigned i;

	g_string_append_printf(
		out,
		",\"interference\":{\"evictions\":%" G_GUINT64_FORMAT
		",\"evictions_withheld\":%" G_GUINT64_FORMAT
		",\"throttled_ms\":%" G_GUINT64_FORMAT ",\"pools\":[",
		intf->evictions, intf->evictions_withheld, intf->throttled_ms);
	for (i = 0; i < agt->pools->len; i++) {
		const struct pool *pool = g_ptr_array_index(agt->pools, i);

		g_string_append(out, i ? ",{\"pool\":" : "{\"pool\":");
		obs_json_string(out, pool->name, -1);
		g_string_append_printf(
			out, ",\"high_us\":%u,\"quiet_us\":%u,\"limit_us\":%u}",
			pool->tail_us, pool->baseline_us, pool->limit_us);
	}
	g_string_append(out, "]}");
}
