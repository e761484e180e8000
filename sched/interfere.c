#include "internal.h"

/*
 * Which tasks that fill may run beside which tasks that serve. All workers
 * teach one table, so that a pair that hurts on one is avoided on all.
 */

/** Tasks that serve use this part of what they ask for, on average. */
#define SERVING_LOAD 0.5

/** A task that fills is held up if it has less of what it declared. */
#define FAIR_PART 0.3

/** Weight of one figure in the mean pace of filling tasks: some hundred figures
 * come in a second. */
#define PACE_WEIGHT 0.003

/** Tasks whose load is compared, and how old their figures may be. */
#define MIN_SIBLINGS 3
#define FIGURE_MAX_AGE_MS 1200

/** Processors or stretch that count as none. */
#define MIN_ROOM 0.001

static void add_use(struct colo_cpu_use *uses, size_t *n, guint image,
		    double cpus)
{
	size_t i;

	for (i = 0; i < *n; i++)
		if (uses[i].image == image)
			break;
	if (i == *n && *n < SCH_MAX_FILLS) {
		uses[i].image = image;
		uses[i].cpus = 0;
		(*n)++;
	}
	uses[MIN(i, SCH_MAX_FILLS - 1)].cpus += cpus;
}

static double declared_cpus(const struct sch_run *run)
{
	return (double)run->task->phase->step->need->cpu_milli / 1000;
}

/** Own latency of a sibling, and how much of its figure is stretch. */
struct sibling {
	double stretch;
	double own;
};

static int compare_stretch(gconstpointer a, gconstpointer b)
{
	double x = ((const struct sibling *)a)->stretch;
	double y = ((const struct sibling *)b)->stretch;

	return x < y ? -1 : x > y;
}

static int compare_own(gconstpointer a, gconstpointer b)
{
	double x = ((const struct sibling *)a)->own;
	double y = ((const struct sibling *)b)->own;

	return x < y ? -1 : x > y;
}

/*
 * Tasks of one step share their load, so the least disturbed of them tell what
 * the load alone makes. Returns 0 if there are not enough.
 */
static double sibling_base(const struct sch *s, const struct sch_phase *phase)
{
	g_autofree struct sibling *siblings = g_new(struct sibling,
						    phase->n_tasks);
	guint n = 0;
	guint i;

	for (i = 0; i < phase->n_tasks; i++) {
		const struct sch_run *run = phase->tasks[i].runs[0];

		if (!run || run->serving.latency_ratio <= 0 ||
		    s->now_ms - run->figure_ms > FIGURE_MAX_AGE_MS)
			continue;
		siblings[n].stretch = run->serving.predicted_interference;
		siblings[n++].own = run->serving.latency_ratio *
				    (1 - run->serving.predicted_interference);
	}
	if (n < MIN_SIBLINGS)
		return 0;
	qsort(siblings, n, sizeof(*siblings), compare_stretch);
	n = MAX(n / 3, MIN_SIBLINGS);
	qsort(siblings, n, sizeof(*siblings), compare_own);
	return siblings[n / 2].own;
}

static void track(struct sch *s, struct sch_run *run, guint figure,
		  const struct colo_cpu_use *uses, size_t n)
{
	double ratio = (double)figure / run->task->phase->step->target_ms;

	run->figure_ms = s->now_ms;
	colo_update_baseline(
		&run->serving, ratio,
		colo_interference(s->colo, run->task->phase->image, uses, n));
}

static int compare_ratio(gconstpointer a, gconstpointer b)
{
	double x = (*(struct sch_run *const *)a)->serving.latency_ratio;
	double y = (*(struct sch_run *const *)b)->serving.latency_ratio;

	return x < y ? -1 : x > y;
}

/*
 * Learns from the tasks of one step on the VM, whose figures differ by chance
 * only: from the one in the middle. The runs of the step are first in served.
 */
static void learn_from_step(struct sch *s, struct sch_run **served,
			    size_t n_served, const struct colo_cpu_use *uses,
			    size_t n)
{
	const struct sch_phase *phase = served[0]->task->phase;
	double base = sibling_base(s, phase);
	double ratio;
	size_t i;

	for (i = 0; i < n_served; i++)
		served[i]->serving.replica_baseline_ratio = base;
	qsort(served, n_served, sizeof(struct sch_run *), compare_ratio);
	ratio = served[(n_served - 1) / 2]->serving.latency_ratio;
	if (base > 0 && ratio > 0)
		colo_update_coefficients(s->colo, phase->image, base, ratio,
					 uses, n);
}

/* By names, so that a seed gives the same order in each process. */
static int compare_phase(gconstpointer a, gconstpointer b)
{
	const struct sch_phase *x = (*(struct sch_run *const *)a)->task->phase;
	const struct sch_phase *y = (*(struct sch_run *const *)b)->task->phase;
	int order = strcmp(x->job->id, y->job->id);

	if (order)
		return order;
	if (x->occurrence != y->occurrence)
		return x->occurrence < y->occurrence ? -1 : 1;
	return (x->number > y->number) - (x->number < y->number);
}

static void learn(struct sch *s, GPtrArray *served,
		  const struct colo_cpu_use *uses, size_t n)
{
	struct sch_run **runs = (struct sch_run **)served->pdata;
	guint from = 0;
	guint to;

	if (!served->len)
		return;
	qsort(runs, served->len, sizeof(*runs), compare_phase);
	for (to = 1; to <= served->len; to++) {
		if (to < served->len &&
		    runs[to]->task->phase == runs[from]->task->phase)
			continue;
		learn_from_step(s, runs + from, to - from, uses, n);
		from = to;
	}
}

static void note_fill(struct sch *s, struct sch_run *run, guint figure)
{
	double declared = declared_cpus(run);

	run->cpus = (double)figure / 1000;
	/* A job may declare no processors. */
	if (declared > 0)
		s->fill_pace +=
			PACE_WEIGHT *
			(CLAMP(run->cpus / declared, 0, 1) - s->fill_pace);
	if (run->cpus > FAIR_PART * declared_cpus(run) || !run->fair_ms)
		run->fair_ms = s->now_ms;
}

void sch_interfere_learn(struct sch *s, struct sch_vm *vm,
			 const struct Rp__VmReport *report)
{
	g_autoptr(GPtrArray) served = g_ptr_array_new();
	struct colo_cpu_use uses[SCH_MAX_FILLS];
	size_t n = 0;
	size_t i;
	guint k;

	for (i = 0; i < report->n_running; i++) {
		const struct Rp__RunRow *row = report->running[i];
		struct sch_run *run;

		if (!row->run)
			continue;
		run = sch_run_find(vm, row->run->task, row->run->attempt);
		if (!run)
			continue;
		if (run->task->phase->step->fills) {
			note_fill(s, run, row->figure);
			add_use(uses, &n, run->task->phase->image, run->cpus);
		} else if (run->task->phase->step->target_ms &&
			   row->percent >= 100) {
			run->figure = row->figure;
			g_ptr_array_add(served, run);
		}
	}
	for (k = 0; k < served->len; k++) {
		struct sch_run *run = served->pdata[k];

		track(s, run, run->figure, uses, n);
	}
	learn(s, served, uses, n);
}

void sch_interfere_take(struct sch *s, const struct Rp__VmReport *report)
{
	size_t i;

	for (i = 0; i < report->n_pairs; i++) {
		const struct Rp__ImagePair *pair = report->pairs[i];
		guint serving = colo_image_id(s->colo, pair->serving);
		guint filling = colo_image_id(s->colo, pair->filling);
		double slope = pair->slope;

		/* Agents know only some of the samples each. */
		if (colo_is_known(s->colo, serving, filling))
			slope = (slope +
				 colo_coefficient(s->colo, serving, filling)) /
				2;
		colo_set_coefficient(s->colo, serving, filling, slope);
	}
}

void sch_interfere_clear(struct sch_vm *vm)
{
	if (vm->room.images)
		g_array_unref(vm->room.images);
}

/* Of several tasks of an image, the one with the least room counts. */
static void add_image_room(GArray *images, guint image, double room)
{
	struct sch_image_room entry = { .image = image, .room = room };
	guint i;

	for (i = 0; i < images->len; i++) {
		struct sch_image_room *known =
			&g_array_index(images, struct sch_image_room, i);

		if (known->image != image)
			continue;
		known->room = MIN(known->room, room);
		return;
	}
	g_array_append_val(images, entry);
}

static void add_stretches(struct sch *s, struct sch_room *room,
			  const struct colo_cpu_use *uses)
{
	guint i;
	guint k;

	for (i = 0; i < room->images->len; i++) {
		struct sch_image_room *image =
			&g_array_index(room->images, struct sch_image_room, i);

		for (k = 0; k < room->n_fills; k++) {
			struct sch_fill_stretch *fill = &image->fills[k];

			fill->slope = colo_coefficient(s->colo, image->image,
						       uses[k].image);
			fill->stretch = fill->slope * uses[k].cpus;
		}
	}
}

static void measure_room(struct sch *s, struct sch_vm *vm)
{
	struct sch_room *room = &vm->room;
	struct colo_cpu_use uses[SCH_MAX_FILLS];
	size_t n = 0;
	guint i;

	room->valid = TRUE;
	room->unused_cpus = (double)vm->capacity.cpu_milli / 1000;
	if (!room->images)
		room->images = g_array_new(FALSE, FALSE,
					   sizeof(struct sch_image_room));
	g_array_set_size(room->images, 0);
	for (i = 0; i < vm->runs->len; i++) {
		const struct sch_run *run = vm->runs->pdata[i];
		const struct sch_phase *phase = run->task->phase;

		if (phase->step->fills)
			add_use(uses, &n, phase->image, declared_cpus(run));
		if (phase->step->target_ms)
			add_image_room(room->images, phase->image,
				       colo_headroom(&run->serving));
		room->unused_cpus -= declared_cpus(run) *
				     (phase->step->target_ms ? SERVING_LOAD
							     : 1);
	}
	room->n_fills = (guint)n;
	add_stretches(s, room, uses);
}

/*
 * Agents slow the images first that disturb a service most for each processor,
 * so a task competes with those only that disturb it no more than the task
 * does. Otherwise a few tasks of one bad pair would keep all others away.
 */
static double room_for(const struct sch_room *room,
		       const struct sch_image_room *image, double slope)
{
	double left = image->room;
	guint i;

	for (i = 0; i < room->n_fills; i++)
		if (image->fills[i].slope <= slope)
			left -= image->fills[i].stretch;
	return MAX(left, MIN_ROOM);
}

void sch_interfere_demand(struct sch *s, struct sch_vm *vm,
			  const struct sch_phase *phase,
			  struct sch_fill_demand *demand)
{
	double cpus = (double)phase->step->need->cpu_milli / 1000;
	guint i;

	if (!vm->room.valid)
		measure_room(s, vm);
	demand->cpu = cpus / MAX(vm->room.unused_cpus, MIN_ROOM);
	demand->stretch = 0;
	for (i = 0; i < vm->room.images->len; i++) {
		const struct sch_image_room *image = &g_array_index(
			vm->room.images, struct sch_image_room, i);
		double slope = colo_coefficient(s->colo, image->image,
						phase->image);

		demand->stretch =
			MAX(demand->stretch,
			    slope * cpus / room_for(&vm->room, image, slope));
	}
	demand->share = 1 / MAX(1, MAX(demand->cpu, demand->stretch));
}

static gboolean is_new(const struct Rp__VmOrders *orders, const char *serving,
		       const char *filling)
{
	size_t i;

	for (i = 0; i < orders->n_pairs; i++)
		if (!strcmp(orders->pairs[i]->serving, serving) &&
		    !strcmp(orders->pairs[i]->filling, filling))
			return FALSE;
	return TRUE;
}

static void add_pair(struct sch *s, struct Rp__VmOrders *orders,
		     const struct sch_phase *serving,
		     const struct sch_phase *filling)
{
	struct Rp__ImagePair *pair = g_malloc(sizeof(*pair));

	rp__image_pair__init(pair);
	wire_set_string(&pair->serving, serving->step->image);
	wire_set_string(&pair->filling, filling->step->image);
	pair->slope = colo_coefficient(s->colo, serving->image, filling->image);
	orders->pairs = g_renew(struct Rp__ImagePair *, orders->pairs,
				orders->n_pairs + 1);
	orders->pairs[orders->n_pairs++] = pair;
}

static void add_base(struct Rp__VmOrders *orders, const struct sch_run *run)
{
	struct Rp__ServingBase *base = g_malloc(sizeof(*base));

	rp__serving_base__init(base);
	wire_set_string(&base->task, run->name);
	base->ratio = run->serving.replica_baseline_ratio;
	orders->bases = g_renew(struct Rp__ServingBase *, orders->bases,
				orders->n_bases + 1);
	orders->bases[orders->n_bases++] = base;
}

void sch_interfere_tell(struct sch *s, const struct sch_vm *vm,
			struct Rp__VmOrders *orders)
{
	guint i;
	guint k;

	for (i = 0; i < vm->runs->len; i++) {
		const struct sch_run *run = vm->runs->pdata[i];
		const struct Rp__StepSpec *serving = run->task->phase->step;

		if (serving->target_ms)
			add_base(orders, run);
		for (k = 0; serving->target_ms && k < vm->runs->len; k++) {
			const struct sch_run *other = vm->runs->pdata[k];
			const struct Rp__StepSpec *filling =
				other->task->phase->step;

			if (filling->fills &&
			    is_new(orders, serving->image, filling->image) &&
			    colo_is_known(s->colo, run->task->phase->image,
					  other->task->phase->image))
				add_pair(s, orders, run->task->phase,
					 other->task->phase);
		}
	}
}
