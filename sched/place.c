#include "internal.h"

/*
 * Which step's tasks start next, and on which worker.
 *
 * Order: by the queue's priority; of one priority, first the steps whose job
 * can still meet its objective, the one with the least slack first (tasks that
 * fill: the least work), then the late ones, the one with the least work left
 * first. Answers the load in which batch jobs queue for several times their
 * length: by slack alone, each job would wait until it is late.
 */

/** After this many times its objective a job is of little use. */
#define HOPELESS_FACTOR 3

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

/** The first task of a job waits for such a worker only so long. */
#define STARVED_MS 1500

enum urgency {
	URGENCY_IN_TIME,
	URGENCY_LATE,
	/** Tasks that last keep their room for long, so short ones go first. */
	URGENCY_LASTS,
	URGENCY_HOPELESS,
};

struct candidate {
	struct sch_phase *phase;
	const struct sch_queue *queue;
	enum urgency urgency;
	gint64 order;
};

static gint64 objective_ms(struct sch *s, const struct sch_job *job,
			   const struct sch_queue *queue)
{
	return (gint64)(queue->slack_factor *
			(double)sch_job_chain_ms(s, job)) +
	       queue->target_ms;
}

/*
 * Core-milliseconds of a step that fills, to the job's end as if it went on as
 * wide. When fills queue, the job with the least is done first: they get
 * part of their pace only, so slack at full pace says little, and many small
 * jobs are done in the time of a large one.
 */
static gint64 work_left(const struct sch_phase *phase)
{
	return phase->chain_ms * phase->n_tasks * phase->step->need->cpu_milli /
	       1000;
}

static void add_candidate(struct sch *s, GArray *candidates,
			  struct sch_phase *phase,
			  const struct sch_queue *queue, gint64 objective)
{
	const struct sch_occurrence *occurrence =
		&phase->job->occurrences[phase->occurrence];
	gint64 from_ms = occurrence->due_unix_ms ? occurrence->due_ms
						 : phase->job->accepted_ms;
	gint64 slack_ms = from_ms + objective - phase->chain_ms - s->now_ms;
	struct candidate c = { .phase = phase, .queue = queue };

	if (phase->step->lasts) {
		c.urgency = URGENCY_LASTS;
		c.order = phase->ready_ms;
	} else if (slack_ms >= 0) {
		c.urgency = URGENCY_IN_TIME;
		c.order = phase->step->fills ? work_left(phase) : slack_ms;
	} else if (slack_ms + (HOPELESS_FACTOR - 1) * objective >= 0) {
		c.urgency = URGENCY_LATE;
		c.order = phase->step->fills ? work_left(phase)
					     : phase->chain_ms;
	} else {
		c.urgency = URGENCY_HOPELESS;
		c.order = from_ms;
	}
	g_array_append_val(candidates, c);
}

/*
 * TRUE if a task has failed too often. The end that made it so may have come
 * before the table that tells how often is too often.
 */
static gboolean is_exhausted(const struct sch_phase *phase,
			     const struct sch_queue *queue)
{
	guint sum = 0;
	guint i;

	for (i = 0; !phase->step->lasts && i < phase->n_tasks; i++) {
		const struct sch_task *task = &phase->tasks[i];

		sum += task->failures;
		if (!task->done &&
		    task->failures >= MAX(queue->max_attempts, 1))
			return TRUE;
	}
	return phase->step->gang && phase->n_done < phase->n_tasks &&
	       sum >= MAX(queue->max_attempts, 1);
}

static void add_job(struct sch *s, GArray *candidates, struct sch_job *job)
{
	const struct sch_queue *queue = sch_queue_find(s, job->queue);
	gint64 objective;
	guint i;
	size_t k;

	if (!queue)
		return;
	objective = objective_ms(s, job, queue);
	for (i = 0; i < job->n_occurrences; i++) {
		struct sch_phase *phases = job->occurrences[i].phases;

		for (k = 0; phases && k < job->spec->n_steps; k++) {
			if (!phases[k].ready_ms || !phases[k].n_idle)
				continue;
			if (is_exhausted(&phases[k], queue)) {
				sch_job_end(s, job,
					    RP__JOB_STATE__JOB_STATE_FAILED);
				return;
			}
			add_candidate(s, candidates, &phases[k], queue,
				      objective);
		}
	}
}

static int compare(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->queue->priority != y->queue->priority)
		return x->queue->priority < y->queue->priority ? -1 : 1;
	if (x->urgency != y->urgency)
		return x->urgency < y->urgency ? -1 : 1;
	if (x->order != y->order)
		return x->order < y->order ? -1 : 1;
	return strcmp(x->phase->job->id, y->phase->job->id);
}

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

static gboolean may_run(const struct sch *s, const struct sch_vm *vm,
			const struct sch_task *task, const char *pool,
			const char *rack)
{
	const struct Rp__StepSpec *step = task->phase->step;

	if (!sch_vm_is_usable(s, vm) || strcmp(vm->pool, pool) ||
	    (rack && g_strcmp0(vm->rack, rack)) ||
	    (*step->label && !sch_vm_has_label(vm, step->label)) ||
	    (task->n_runs && task->runs[0]->vm == vm))
		return FALSE;
	if (step->max_per_vm && count_on(vm, task->phase) >= step->max_per_vm)
		return FALSE;
	/* A worker with a recent fault is tried with first attempts only. */
	return !vm->faults || !task->failures;
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
		    const struct sch_task *task)
{
	const struct Rp__StepSpec *step = task->phase->step;
	double capacity = (double)MAX(vm->capacity.cpu_milli, 1);
	double used = (double)vm->used.cpu_milli / capacity;
	double points;

	if (step->target_ms) {
		/* Few images that serve on a VM leave more that fill beside. */
		points = 0.15 * others_serving(vm, step->image) - 2 * used;
	} else if (step->lasts) {
		/* Spread, so that the loss of one VM costs least. */
		points = 4.0 * count_on(vm, task->phase) + used;
	} else if (step->fills) {
		points = used + (double)vm->fill_milli / capacity;
	} else {
		/* Large tasks find room elsewhere if this one fills gaps. */
		points = 1 - used;
	}
	if (*step->data_rack && g_strcmp0(vm->rack, step->data_rack))
		points += 2;
	if (vm->slowness > SLOW_FACTOR &&
	    s->now_ms < vm->slowness_ms + SLOWNESS_MS)
		points += 4 * vm->slowness;
	if (!g_strcmp0(vm->name, task->failed_vm))
		points += 8;
	return points + 2 * vm->faults;
}

/* A job of which nothing runs gets one task going, however slowly. */
static gboolean is_starved(const struct sch *s, const struct sch_task *task)
{
	return !task->job->n_runs &&
	       s->now_ms > task->phase->ready_ms + STARVED_MS;
}

static struct sch_vm *choose(struct sch *s, const struct sch_task *task,
			     const char *rack)
{
	const struct sch_queue *queue = sch_queue_find(s, task->job->queue);
	GHashTableIter iter;
	gpointer value;
	struct sch_vm *best = NULL;
	double best_score = 0;

	if (!queue)
		return NULL;
	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sch_vm *vm = value;
		double points;

		if (!has_room(vm, task->phase->step) ||
		    !may_run(s, vm, task, queue->pool, rack))
			continue;
		points = score(s, vm, task);
		if (task->phase->step->fills) {
			double share = sch_interfere_share(s, vm,
							   task->phase->step);

			if (share < MIN_FILL_SHARE && !is_starved(s, task))
				continue;
			points += 3 * (1 - share);
		}
		if (!best || points < best_score) {
			best = vm;
			best_score = points;
		}
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

static void plan_step(struct sch *s, const struct candidate *c)
{
	struct sch_phase *phase = c->phase;
	guint i;

	for (i = 0; i < phase->n_tasks; i++) {
		struct sch_task *task = &phase->tasks[i];
		struct sch_vm *vm;

		if (!is_idle(task))
			continue;
		vm = choose(s, task, NULL);
		if (vm) {
			plan(s, task, vm, task->attempts + 1);
			continue;
		}
		/* Those that follow may go where this one has failed. */
		if (task->failures)
			continue;
		sch_preempt(s, phase, c->queue->priority);
		break;
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
	candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	/* From the end: a job that fails is taken out. */
	for (i = s->active->len; i-- > 0;)
		add_job(s, candidates, s->active->pdata[i]);
	g_array_sort(candidates, compare);
	for (i = 0; i < candidates->len; i++) {
		const struct candidate *c = &g_array_index(candidates,
							   struct candidate, i);

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

	g_hash_table_iter_init(&iter, s->vms);
	while (queue && g_hash_table_iter_next(&iter, NULL, &value))
		if (has_room(value, task->phase->step) &&
		    may_run(s, value, task, queue->pool, NULL) &&
		    sch_interfere_share(s, value, task->phase->step) >= share)
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
	s->stats.copies++;
	plan(s, task, vm, task->attempts + 1);
}
