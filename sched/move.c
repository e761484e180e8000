#include "internal.h"

/*
 * Stops runs that should start again on another VM, since their worker drains
 * or they are stalled or starved, and runs whose capacity a step of higher
 * priority needs.
 * Starts speculative runs of slow tasks.
 */

/** Interval of checks. */
#define RESCHEDULE_INTERVAL_MS 200

/**
 * A run is stalled if its progress has not changed for STALLED_FACTOR times a
 * tenth of its expected duration, and at least STALLED_MIN_MS.
 */
#define STALLED_MIN_MS 1500
#define STALLED_FACTOR 1.5

/** Runs on a draining worker have to end this long before its drain does. */
#define DRAIN_MARGIN_MS 700

/**
 * A best-effort task is rescheduled after being starved for STARVED_MIN_MS, if
 * it can have BETTER_CPU_SHARE on another VM. From STARVED_MAX_PERCENT progress
 * on it stays, since it is nearly done.
 */
#define STARVED_MIN_MS 1500
#define STARVED_MAX_PERCENT 90
#define BETTER_CPU_SHARE 0.8

/**
 * A speculative run starts if a task takes SPECULATIVE_FACTOR times its
 * expected duration, and at least SPECULATIVE_MIN_MS.
 */
#define SPECULATIVE_FACTOR 2.0
#define SPECULATIVE_MIN_MS 400

gint64 sch_expected_ms(struct sch *s, const struct sch_run *run)
{
	const struct sch_step_instance *instance = run->task->instance;

	if (instance->n_durations >= 2)
		return (gint64)instance->mean_duration_ms;
	return sch_queue_durations_expect_ms(
		sch_queue_durations(s, run->task->job->queue),
		instance->step->estimate_ms);
}

/* Time to the run's end at its rate so far; -1 if that is not known. */
static gint64 remaining_ms(struct sch *s, const struct sch_run *run)
{
	gint64 elapsed_ms = s->now_ms - run->first_percent_ms;
	guint progress = run->percent - run->first_percent;

	if (run->state != SCH_RUN_RUNNING || run->percent >= 100)
		return run->state == SCH_RUN_RUNNING ? 0 : -1;
	if (run->percent <= run->first_percent || elapsed_ms <= 0)
		return -1;
	return elapsed_ms * (100 - run->percent) / progress;
}

/* Stops a run on a draining worker if it would not end in time. */
static void drain_run(struct sch *s, struct sch_run *run)
{
	const struct Rp__StepSpec *step = run->task->instance->step;
	gint64 available_ms = run->vm->drain_end_ms - s->now_ms -
			      DRAIN_MARGIN_MS;
	gint64 remaining = remaining_ms(s, run);

	if (step->lasts) {
		sch_run_stop(s, run);
		return;
	}
	if (remaining < 0)
		remaining = sch_expected_ms(s, run);
	if (remaining <= available_ms)
		return;
	/* A stop makes a checkpoint, so such a run is stopped as late as
	 * possible. */
	if (!step->checkpoints || available_ms <= RESCHEDULE_INTERVAL_MS)
		sch_run_stop(s, run);
}

static gboolean is_stalled(struct sch *s, const struct sch_run *run)
{
	const struct Rp__StepSpec *step = run->task->instance->step;
	gint64 limit_ms;

	if (run->state != SCH_RUN_RUNNING || step->lasts || step->fills ||
	    step->gang)
		return FALSE;
	limit_ms = MAX(STALLED_MIN_MS,
		       (gint64)(STALLED_FACTOR *
				(double)sch_expected_ms(s, run) / 10));
	/* Without recent run lists, the progress is not known. */
	return s->now_ms - MAX(run->percent_ms, run->state_ms) > limit_ms &&
	       s->now_ms - run->vm->last_report_ms < SCH_REPORT_MAX_AGE_MS &&
	       run->vm->unresponsive_ms < STALLED_MIN_MS;
}

/* TRUE if a best-effort run is starved and would not be on another VM. Without
 * checkpoints it stays, since it would lose its work. */
static gboolean wants_reschedule(struct sch *s, const struct sch_run *run)
{
	const struct Rp__StepSpec *step = run->task->instance->step;

	return step->fills && step->checkpoints && !step->gang &&
	       run->state == SCH_RUN_RUNNING &&
	       run->percent < STARVED_MAX_PERCENT && run->min_share_met_ms &&
	       s->now_ms - run->min_share_met_ms > STARVED_MIN_MS &&
	       sch_place_has_better(s, run, BETTER_CPU_SHARE);
}

static gboolean wants_speculative(struct sch *s, const struct sch_run *run)
{
	const struct Rp__StepSpec *step = run->task->instance->step;
	gint64 elapsed_ms = s->now_ms - run->state_ms;

	return step->speculative && run->task->n_runs == 1 && !run->stopping &&
	       run->state == SCH_RUN_RUNNING &&
	       elapsed_ms > MAX((gint64)(SPECULATIVE_FACTOR *
					 (double)sch_expected_ms(s, run)),
				SPECULATIVE_MIN_MS) &&
	       remaining_ms(s, run) > sch_expected_ms(s, run);
}

static void reschedule_from(struct sch *s, struct sch_vm *vm)
{
	guint i;

	/* sch_place_speculative() may add planned runs at the end. */
	for (i = 0; i < vm->runs->len; i++) {
		struct sch_run *run = vm->runs->pdata[i];

		if (run->stopping || run->state == SCH_RUN_PLANNED)
			continue;
		if (vm->draining && vm->drain_end_ms) {
			drain_run(s, run);
		} else if (is_stalled(s, run)) {
			g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO,
					 "JOB_ID", run->task->job->id, "VM",
					 vm->name, "MESSAGE",
					 "%s stalled at %u %%, stopped",
					 run->name, run->percent);
			sch_vm_fault(s, vm, run->task->job, run->state_ms);
			sch_run_stop(s, run);
		} else if (wants_reschedule(s, run) ||
			   sch_is_straggler(s, run)) {
			s->stats.rescheduled++;
			g_free(run->task->moved_from);
			run->task->moved_from = g_strdup(vm->name);
			sch_run_stop(s, run);
			return;
		} else if (wants_speculative(s, run)) {
			sch_place_speculative(s, run);
		}
	}
}

void sch_reschedule(struct sch *s)
{
	GHashTableIter iter;
	gpointer value;

	if (s->now_ms < s->last_reschedule_ms + RESCHEDULE_INTERVAL_MS)
		return;
	s->last_reschedule_ms = s->now_ms;
	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		reschedule_from(s, value);
}

/* Work that a stop would lose, in milli-CPUs x ms; -1 if the run must not be
 * preempted. */
static gint64 stop_cost(struct sch *s, const struct sch_run *run,
			guint32 priority)
{
	const struct Rp__StepSpec *step = run->task->instance->step;
	const struct sch_queue *queue = sch_queue_find(s,
						       run->task->job->queue);

	if (!queue || queue->priority <= priority || step->lasts ||
	    step->gang || step->fills || run->stopping ||
	    run->state != SCH_RUN_RUNNING)
		return -1;
	return step->checkpoints
		       ? 0
		       : step->need->cpu_milli * (s->now_ms - run->state_ms);
}

static gint64 stopping_cpu_milli(const struct sch_vm *vm)
{
	gint64 cpu_milli = 0;
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		const struct sch_run *run = vm->runs->pdata[i];

		if (run->stopping)
			cpu_milli += run->reserved.cpu_milli;
	}
	return cpu_milli;
}

/** A run that may be preempted, and the work that it would lose. */
struct victim {
	struct sch_run *run;
	gint64 cost;
};

static int compare_victims(gconstpointer a, gconstpointer b)
{
	const struct victim *x = a;
	const struct victim *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return strcmp(x->run->name, y->run->name);
}

/* Adds the VM's runs that may be preempted. Returns the milli-CPUs of runs that
 * are being stopped, which become free without preemption. */
static gint64 add_victims(struct sch *s, GArray *victims,
			  const struct sch_vm *vm, guint32 priority)
{
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		struct victim victim = { .run = vm->runs->pdata[i] };

		victim.cost = stop_cost(s, victim.run, priority);
		if (victim.cost >= 0)
			g_array_append_val(victims, victim);
	}
	return stopping_cpu_milli(vm);
}

void sch_preempt(struct sch *s, const struct sch_step_instance *instance,
		 guint32 priority)
{
	gint64 needed_cpu_milli = instance->step->need->cpu_milli *
				  instance->n_idle;
	g_autoptr(GArray) victims = NULL;
	GHashTableIter iter;
	gpointer value;
	guint i;

	if (instance->step->fills)
		return;
	victims = g_array_new(FALSE, FALSE, sizeof(struct victim));
	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (sch_vm_is_usable(s, value))
			needed_cpu_milli -= add_victims(s, victims, value,
							priority);
	s->n_looks += s->stats.runs / SCH_CHECKS_PER_LOOK;
	g_array_sort(victims, compare_victims);
	for (i = 0; i < victims->len && needed_cpu_milli > 0; i++) {
		struct sch_run *run =
			g_array_index(victims, struct victim, i).run;

		s->stats.preempted++;
		g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID",
				 run->task->job->id, "VM", run->vm->name,
				 "MESSAGE",
				 "%s preempted by job %s of priority %u",
				 run->name, instance->job->id, priority);
		needed_cpu_milli -= run->reserved.cpu_milli;
		sch_run_stop(s, run);
	}
}
