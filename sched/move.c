#include "internal.h"

/*
 * Runs that are stopped so that they, or more urgent ones, go on elsewhere:
 * workers that drain, runs that stand still, and room for urgent steps.
 */

/** Checks are made this often. */
#define MOVE_INTERVAL_MS 200

/** A run stands still if its progress has not grown for so long. */
#define STUCK_MIN_MS 1500
#define STUCK_FACTOR 1.5

/** A worker that leaves is left this long before. */
#define LEAVE_MARGIN_MS 700

/**
 * A task that fills moves after being held up for so long, if another worker
 * lets it have this share; one that is nearly done stays.
 */
#define HELD_UP_MS 1500
#define HELD_UP_PERCENT 90
#define BETTER_SHARE 0.8

/** A copy is started if a task takes this many times what it should. */
#define COPY_FACTOR 2.0
#define COPY_MIN_MS 400

static gint64 expected_ms(struct sch *s, const struct sch_run *run)
{
	const struct sch_phase *phase = run->task->phase;

	if (phase->n_timed >= 2)
		return (gint64)phase->mean_ms;
	return sch_demand_expect_ms(sch_demand(s, run->task->job->queue),
				    phase->step->estimate_ms);
}

/* Time to the run's end at its pace so far; -1 if it cannot be told. */
static gint64 left_ms(struct sch *s, const struct sch_run *run)
{
	gint64 took = s->now_ms - run->first_percent_ms;
	guint grew = run->percent - run->first_percent;

	if (run->state != SCH_RUN_RUNNING || run->percent >= 100)
		return run->state == SCH_RUN_RUNNING ? 0 : -1;
	if (run->percent <= run->first_percent || took <= 0)
		return -1;
	return took * (100 - run->percent) / grew;
}

static void leave(struct sch *s, struct sch_run *run)
{
	const struct Rp__StepSpec *step = run->task->phase->step;
	gint64 until_ms = run->vm->leaves_ms - s->now_ms - LEAVE_MARGIN_MS;
	gint64 left = left_ms(s, run);

	if (step->lasts) {
		sch_run_stop(s, run);
		return;
	}
	if (left < 0)
		left = expected_ms(s, run);
	if (left <= until_ms)
		return;
	/* A checkpoint is made at a stop, so it may work until the end. */
	if (!step->checkpoints || until_ms <= MOVE_INTERVAL_MS)
		sch_run_stop(s, run);
}

static gboolean stands_still(struct sch *s, const struct sch_run *run)
{
	const struct Rp__StepSpec *step = run->task->phase->step;
	gint64 limit_ms;

	if (run->state != SCH_RUN_RUNNING || step->lasts || step->fills ||
	    step->gang)
		return FALSE;
	limit_ms =
		MAX(STUCK_MIN_MS,
		    (gint64)(STUCK_FACTOR * (double)expected_ms(s, run) / 10));
	return s->now_ms - MAX(run->percent_ms, run->state_ms) > limit_ms &&
	       s->now_ms - run->vm->report_ms < SCH_FRESH_MS &&
	       run->vm->silent_ms < STUCK_MIN_MS;
}

/* A task that fills and saves its work goes where it is not held up. */
static gboolean is_held_up(struct sch *s, const struct sch_run *run)
{
	const struct Rp__StepSpec *step = run->task->phase->step;

	return step->fills && step->checkpoints && !step->gang &&
	       run->state == SCH_RUN_RUNNING &&
	       run->percent < HELD_UP_PERCENT && run->fair_ms &&
	       s->now_ms - run->fair_ms > HELD_UP_MS &&
	       sch_place_has_better(s, run, BETTER_SHARE);
}

static gboolean wants_copy(struct sch *s, const struct sch_run *run)
{
	const struct Rp__StepSpec *step = run->task->phase->step;
	gint64 took = s->now_ms - run->state_ms;

	return step->speculative && run->task->n_runs == 1 && !run->stopping &&
	       run->state == SCH_RUN_RUNNING &&
	       took > MAX((gint64)(COPY_FACTOR * (double)expected_ms(s, run)),
			  COPY_MIN_MS) &&
	       left_ms(s, run) > expected_ms(s, run);
}

static void move_from(struct sch *s, struct sch_vm *vm)
{
	guint i;

	/* Planned runs may be added at the end meanwhile. */
	for (i = 0; i < vm->runs->len; i++) {
		struct sch_run *run = vm->runs->pdata[i];

		if (run->stopping || run->state == SCH_RUN_PLANNED)
			continue;
		if (vm->draining && vm->leaves_ms) {
			leave(s, run);
		} else if (stands_still(s, run)) {
			g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO,
					 "JOB_ID", run->task->job->id, "VM",
					 vm->name, "MESSAGE",
					 "%s stands still at %u %%, stopped",
					 run->name, run->percent);
			sch_vm_fault(s, vm, run->task->job, run->state_ms);
			sch_run_stop(s, run);
		} else if (is_held_up(s, run)) {
			s->stats.rescheduled++;
			sch_run_stop(s, run);
			return;
		} else if (wants_copy(s, run)) {
			sch_place_copy(s, run);
		}
	}
}

void sch_move(struct sch *s)
{
	GHashTableIter iter;
	gpointer value;

	if (s->now_ms < s->moved_ms + MOVE_INTERVAL_MS)
		return;
	s->moved_ms = s->now_ms;
	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		move_from(s, value);
}

/* Work that is lost with a stop, core-milliseconds; -1 if it must not stop. */
static gint64 stop_cost(struct sch *s, const struct sch_run *run,
			guint32 priority)
{
	const struct Rp__StepSpec *step = run->task->phase->step;
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

static gint64 stopping_milli(const struct sch_vm *vm)
{
	gint64 milli = 0;
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		const struct sch_run *run = vm->runs->pdata[i];

		if (run->stopping)
			milli += run->taken.cpu_milli;
	}
	return milli;
}

/** A run that may be stopped, and the work that is lost with it. */
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

/* Returns the processors that are about to become free on the VM. */
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
	return stopping_milli(vm);
}

void sch_preempt(struct sch *s, const struct sch_phase *phase, guint32 priority)
{
	gint64 wanted = phase->step->need->cpu_milli * phase->n_idle;
	g_autoptr(GArray) victims = NULL;
	GHashTableIter iter;
	gpointer value;
	guint i;

	if (phase->step->fills)
		return;
	victims = g_array_new(FALSE, FALSE, sizeof(struct victim));
	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (sch_vm_is_usable(s, value))
			wanted -= add_victims(s, victims, value, priority);
	g_array_sort(victims, compare_victims);
	for (i = 0; i < victims->len && wanted > 0; i++) {
		struct sch_run *run =
			g_array_index(victims, struct victim, i).run;

		s->stats.preempted++;
		g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID",
				 run->task->job->id, "VM", run->vm->name,
				 "MESSAGE",
				 "%s stopped for job %s of priority %u",
				 run->name, phase->job->id, priority);
		wanted -= run->taken.cpu_milli;
		sch_run_stop(s, run);
	}
}
