#include "internal.h"

/*
 * On which workers the tasks of a step start. Workers are tried in passes over
 * all steps that wait. A step that no worker has room for tries only workers
 * that have changed, and all of them at longer intervals, so that a pass costs
 * little when many steps wait.
 */

/** A pass over all waiting steps is made at most this often. */
#define PLACE_INTERVAL_MS 15

/** Without an event: own loads and slopes change, and waits grow. */
#define REVIEW_INTERVAL_MS 250

/** Slower than this, a worker is taken only if no other has room. */
#define SLOW_FACTOR 1.8

/** A finding that a worker is slow is forgotten after so long. */
#define SLOWNESS_MS 6000

/** Tasks that fill wait for a worker that lets them have this share. */
#define MIN_FILL_SHARE 0.65

/** Weight of the processors that a task that fills takes of what is left, to
 * the stretch of services that it takes: stretch is scarcer. */
#define CPU_POINTS 0.3

/**
 * Points of a worker; the least are best. For tasks that serve: for each task
 * of another image that serves there, and for a worker that is full.
 */
#define OTHER_IMAGE_POINTS 0.15
#define FULL_POINTS (-2.0)

/** For other tasks that last: for each of the same step there. */
#define SAME_STEP_POINTS 4.0

/** For a worker off the rack of the data, which takes half as long again; a
 * slow one, times its slowness; one with faults, for each; and one where the
 * task has failed. */
#define OFF_RACK_POINTS 2.0
#define SLOW_POINTS 4.0
#define FAULT_POINTS 2.0
#define FAILED_HERE_POINTS 8.0

/**
 * A task that fills takes at most this part of the latency that a service has
 * left: with more, it is stopped at the next swing of the service's load.
 */
#define MAX_FILL_STRETCH 0.4

/** The first task of a job waits for such a worker only so long. */
#define STARVED_MS 1500

static gboolean has_room(const struct sch_vm *vm,
			 const struct Rp__StepSpec *step)
{
	gint64 cpu = step->fills ? 0 : step->need->cpu_milli;

	return vm->used.cpu_milli + cpu <= vm->capacity.cpu_milli &&
	       vm->used.memory_bytes + step->need->memory_bytes <=
		       vm->capacity.memory_bytes &&
	       vm->used.accelerators + step->need->accelerators <=
		       vm->capacity.accelerators;
}

static guint count_on(const struct sch_vm *vm, const struct sch_phase *phase)
{
	guint n = 0;
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		const struct sch_run *run = vm->runs->pdata[i];

		if (run->task->phase == phase)
			n++;
	}
	return n;
}

/* Whether the VM may run tasks of the step at all, room aside. */
static gboolean may_run(const struct sch *s, const struct sch_vm *vm,
			const struct sch_phase *phase, const char *pool,
			const char *rack)
{
	const struct Rp__StepSpec *step = phase->step;

	return sch_vm_is_usable(s, vm) && !strcmp(vm->pool, pool) &&
	       (!rack || !g_strcmp0(vm->rack, rack)) &&
	       (!*step->label || sch_vm_has_label(vm, step->label)) &&
	       (!step->max_per_vm || count_on(vm, phase) < step->max_per_vm);
}

/* Images that serve on the VM, but for the one given. */
static guint others_serving(const struct sch_vm *vm, const char *image)
{
	guint n = 0;
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		const struct Rp__StepSpec *step =
			((struct sch_run *)vm->runs->pdata[i])
				->task->phase->step;

		if (step->target_ms && strcmp(step->image, image))
			n++;
	}
	return n;
}

/* Lower is better. */
static double score(const struct sch *s, const struct sch_vm *vm,
		    const struct sch_phase *phase)
{
	const struct Rp__StepSpec *step = phase->step;
	double capacity = (double)MAX(vm->capacity.cpu_milli, 1);
	double used = (double)vm->used.cpu_milli / capacity;
	double points;

	if (step->target_ms) {
		/* Few images that serve on a VM leave more that fill beside. */
		points = OTHER_IMAGE_POINTS * others_serving(vm, step->image) +
			 FULL_POINTS * used;
	} else if (step->lasts) {
		/* Spread, so that the loss of one VM costs least. */
		points = SAME_STEP_POINTS * count_on(vm, phase) + used;
	} else if (step->fills) {
		points = 0;
	} else {
		/* Large tasks find room elsewhere if this one fills gaps. */
		points = 1 - used;
	}
	if (*step->data_rack && g_strcmp0(vm->rack, step->data_rack))
		points += OFF_RACK_POINTS;
	if (vm->slowness > SLOW_FACTOR &&
	    s->now_ms < vm->slowness_ms + SLOWNESS_MS)
		points += SLOW_POINTS * vm->slowness;
	return points + FAULT_POINTS * vm->faults;
}

/* A job of which nothing runs gets one task going, however slowly. */
static gboolean is_starved(const struct sch *s, const struct sch_task *task)
{
	return !task->job->n_runs &&
	       s->now_ms > task->phase->ready_ms + STARVED_MS;
}

/* Returns FALSE if no task of the step can start on the VM. */
static gboolean fits(struct sch *s, const struct sch_phase *phase,
		     const struct sch_queue *queue, const char *rack,
		     double min_share, struct sch_vm *vm, double *points)
{
	struct sch_fill_demand demand;

	if (!has_room(vm, phase->step) ||
	    !may_run(s, vm, phase, queue->pool, rack))
		return FALSE;
	*points = score(s, vm, phase);
	if (!phase->step->fills)
		return TRUE;
	sch_interfere_demand(s, vm, phase, &demand);
	*points += demand.stretch + CPU_POINTS * demand.cpu;
	return demand.share >= min_share &&
	       (!min_share || demand.stretch <= MAX_FILL_STRETCH);
}

/* The best worker for a task that differs from the others of its step in where
 * it may go: it has failed, it is a copy, or its job stands still. */
static struct sch_vm *choose(struct sch *s, const struct sch_task *task,
			     const char *rack)
{
	const struct sch_queue *queue = sch_queue_find(s, task->job->queue);
	const struct Rp__StepSpec *step = task->phase->step;
	double min_share = is_starved(s, task) ? 0 : MIN_FILL_SHARE;
	GHashTableIter iter;
	gpointer value;
	struct sch_vm *best = NULL;
	double best_points = 0;
	double points;

	g_hash_table_iter_init(&iter, s->vms);
	while (queue && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sch_vm *vm = value;

		/* One with a recent fault is tried with first attempts only,
		 * as far as attempts are counted. */
		if ((task->n_runs && task->runs[0]->vm == vm) ||
		    (vm->faults && task->failures && !step->lasts) ||
		    !fits(s, task->phase, queue, rack, min_share, vm, &points))
			continue;
		if (!g_strcmp0(vm->name, task->failed_vm))
			points += FAILED_HERE_POINTS;
		if (best && points >= best_points)
			continue;
		best = vm;
		best_points = points;
	}
	return best;
}

static void plan(struct sch *s, struct sch_task *task, struct sch_vm *vm,
		 guint32 attempt)
{
	sch_run_new(s, task, vm, attempt);
	sch_job_urgent(s, task->job);
}

static gboolean is_idle(const struct sch_task *task)
{
	return !task->done && !task->n_runs;
}

static gboolean plan_gang_in(struct sch *s, struct sch_phase *phase,
			     const char *rack)
{
	g_autoptr(GPtrArray) planned = g_ptr_array_new();
	guint32 attempt = 0;
	guint i;

	for (i = 0; i < phase->n_tasks; i++)
		attempt = MAX(attempt, phase->tasks[i].attempts);
	for (i = 0; i < phase->n_tasks; i++) {
		struct sch_vm *vm = choose(s, &phase->tasks[i], rack);

		if (!vm)
			break;
		plan(s, &phase->tasks[i], vm, attempt + 1);
		g_ptr_array_add(planned, phase->tasks[i].runs[0]);
	}
	if (i == phase->n_tasks)
		return TRUE;
	for (i = 0; i < planned->len; i++)
		sch_run_remove(s, planned->pdata[i]);
	return FALSE;
}

static const char *gang_checkpoint(const struct sch_phase *phase)
{
	const char *latest = NULL;
	guint i;

	for (i = 0; i < phase->n_tasks; i++)
		if (phase->tasks[i].checkpoint)
			latest = phase->tasks[i].checkpoint;
	return latest;
}

/* All members start together, or none does. */
static void plan_gang(struct sch *s, struct sch_phase *phase)
{
	g_autofree char *checkpoint = g_strdup(gang_checkpoint(phase));
	GHashTableIter iter;
	gpointer value;
	guint i;

	if (phase->n_idle < phase->n_tasks)
		return;
	for (i = 0; checkpoint && i < phase->n_tasks; i++)
		sch_task_set_checkpoint(&phase->tasks[i], checkpoint);
	g_hash_table_iter_init(&iter, s->vms);
	while (phase->step->same_rack &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct sch_vm *vm = value;

		if (vm->rack && plan_gang_in(s, phase, vm->rack))
			return;
	}
	plan_gang_in(s, phase, NULL);
}

/* Lists the workers that have room, of those that changed since then. */
static void find_fits(struct sch *s, const struct sch_phase *phase,
		      const struct sch_queue *queue, guint64 since)
{
	GHashTableIter iter;
	gpointer value;

	g_array_set_size(s->fits, 0);
	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sch_fit fit = { .vm = value };

		if (fit.vm->changed > since &&
		    fits(s, phase, queue, NULL, MIN_FILL_SHARE, fit.vm,
			 &fit.points))
			g_array_append_val(s->fits, fit);
	}
}

/* Starts the task on the best worker, and notes what is left of its room. */
static gboolean take_fit(struct sch *s, struct sch_task *task,
			 const struct sch_queue *queue)
{
	guint best = 0;
	struct sch_fit *fit;
	guint i;

	if (!s->fits->len)
		return FALSE;
	for (i = 1; i < s->fits->len; i++)
		if (g_array_index(s->fits, struct sch_fit, i).points <
		    g_array_index(s->fits, struct sch_fit, best).points)
			best = i;
	fit = &g_array_index(s->fits, struct sch_fit, best);
	plan(s, task, fit->vm, task->attempts + 1);
	if (!fits(s, task->phase, queue, NULL, MIN_FILL_SHARE, fit->vm,
		  &fit->points))
		g_array_remove_index_fast(s->fits, best);
	return TRUE;
}

/* Returns FALSE if no worker takes the task. */
static gboolean plan_chosen(struct sch *s, struct sch_task *task)
{
	struct sch_vm *vm = choose(s, task, NULL);

	if (vm)
		plan(s, task, vm, task->attempts + 1);
	return vm != NULL;
}

static void plan_step(struct sch *s, const struct sch_candidate *c)
{
	struct sch_phase *phase = c->phase;
	gboolean all = s->now_ms >= phase->tried_ms + REVIEW_INTERVAL_MS;
	gboolean listed = FALSE;
	guint i;

	for (i = 0; i < phase->n_tasks; i++) {
		struct sch_task *task = &phase->tasks[i];

		if (!is_idle(task))
			continue;
		if (task->failures || is_starved(s, task)) {
			/* Those that follow may go where this has failed. */
			if (!plan_chosen(s, task) && !task->failures)
				break;
			listed = FALSE;
			continue;
		}
		if (!listed)
			find_fits(s, phase, c->queue,
				  all ? 0 : phase->tried_change);
		listed = TRUE;
		if (!take_fit(s, task, c->queue))
			break;
	}
	if (i == phase->n_tasks)
		return;
	phase->tried_change = s->changes;
	if (all) {
		phase->tried_ms = s->now_ms;
		sch_preempt(s, phase, c->queue->priority);
	}
}

void sch_place(struct sch *s)
{
	g_autoptr(GArray) candidates = NULL;
	guint i;

	if (!s->queues ||
	    s->now_ms < s->placed_ms + (s->place_due ? PLACE_INTERVAL_MS
						     : REVIEW_INTERVAL_MS))
		return;
	s->place_due = FALSE;
	s->placed_ms = s->now_ms;
	candidates = sch_order(s);
	for (i = 0; i < candidates->len; i++) {
		const struct sch_candidate *c =
			&g_array_index(candidates, struct sch_candidate, i);

		if (sch_job_has_ended(c->phase->job))
			continue;
		if (c->phase->step->gang)
			plan_gang(s, c->phase);
		else
			plan_step(s, c);
	}
}

gboolean sch_place_has_better(struct sch *s, const struct sch_run *run,
			      double share)
{
	const struct sch_task *task = run->task;
	const struct sch_queue *queue = sch_queue_find(s, task->job->queue);
	GHashTableIter iter;
	gpointer value;
	double points;

	g_hash_table_iter_init(&iter, s->vms);
	while (queue && g_hash_table_iter_next(&iter, NULL, &value))
		if (value != run->vm &&
		    fits(s, task->phase, queue, NULL, share, value, &points))
			return TRUE;
	return FALSE;
}

void sch_place_copy(struct sch *s, struct sch_run *run)
{
	struct sch_task *task = run->task;
	struct sch_vm *vm = choose(s, task, NULL);

	if (!vm || (vm->slowness > SLOW_FACTOR &&
		    s->now_ms < vm->slowness_ms + SLOWNESS_MS))
		return;
	s->stats.speculative_copies++;
	plan(s, task, vm, task->attempts + 1);
}
