#include "internal.h"

/*
 * How much best-effort tasks slow the latency-sensitive tasks on the same VM,
 * and how much more interference each VM tolerates. The measurements of all VMs
 * go into one table, so that an image pair that is harmful on one VM is avoided
 * on all.
 */

/** Part of their declared CPUs that latency-sensitive tasks are expected to
 * use, on average. */
#define LATENCY_SENSITIVE_CPU_PART 0.5

/** A best-effort task that uses at most this part of its declared CPUs counts
 * as starved. */
#define MIN_CPU_SHARE 0.3

/** Weight of one measurement in the moving mean of the CPU share; several
 * hundred arrive each second. */
#define CPU_SHARE_WEIGHT 0.003

/** Minimum number of replicas with recent measurements for a baseline, and the
 * maximum age of a measurement. */
#define MIN_REPLICAS 3
#define MEASUREMENT_MAX_AGE_MS 1200

/** Lower bound of the CPUs and of the headroom that demand is divided by. */
#define MIN_DIVISOR 0.001

static void add_use(struct colo_cpu_use *uses, size_t *n, guint image,
		    double cpus)
{
	size_t i;

	for (i = 0; i < *n; i++)
		if (uses[i].image == image)
			break;
	if (i == *n && *n < SCH_MAX_BEST_EFFORT_IMAGES) {
		uses[i].image = image;
		uses[i].cpus = 0;
		(*n)++;
	}
	uses[MIN(i, SCH_MAX_BEST_EFFORT_IMAGES - 1)].cpus += cpus;
}

static double declared_cpus(const struct sch_run *run)
{
	return (double)run->task->instance->step->need->cpu_milli / 1000;
}

/** Predicted interference of a replica, and the baseline that results. */
struct replica {
	double interference;
	double baseline;
};

static int compare_interference(gconstpointer a, gconstpointer b)
{
	double x = ((const struct replica *)a)->interference;
	double y = ((const struct replica *)b)->interference;

	return x < y ? -1 : x > y;
}

static int compare_baseline(gconstpointer a, gconstpointer b)
{
	double x = ((const struct replica *)a)->baseline;
	double y = ((const struct replica *)b)->baseline;

	return x < y ? -1 : x > y;
}

/*
 * Baseline latency ratio of a step; one value for all its tasks, since the
 * step's load is spread over them. It is the median of the third of the
 * replicas with the least interference, but of at least MIN_REPLICAS; 0 if
 * fewer have recent measurements.
 */
static double step_baseline(const struct sch *s,
			    const struct sch_step_instance *instance)
{
	g_autofree struct replica *replicas = g_new(struct replica,
						    instance->n_tasks);
	guint n = 0;
	guint i;

	for (i = 0; i < instance->n_tasks; i++) {
		const struct sch_run *run = instance->tasks[i].runs[0];

		if (!run || run->latency_state.latency_ratio <= 0 ||
		    s->now_ms - run->measured_ms > MEASUREMENT_MAX_AGE_MS)
			continue;
		replicas[n].interference =
			run->latency_state.predicted_interference;
		replicas[n++].baseline =
			run->latency_state.latency_ratio *
			(1 - run->latency_state.predicted_interference);
	}
	if (n < MIN_REPLICAS)
		return 0;
	qsort(replicas, n, sizeof(*replicas), compare_interference);
	n = MAX(n / 3, MIN_REPLICAS);
	qsort(replicas, n, sizeof(*replicas), compare_baseline);
	return replicas[n / 2].baseline;
}

static void update_baseline(struct sch *s, struct sch_run *run,
			    guint latency_ms, const struct colo_cpu_use *uses,
			    size_t n_uses)
{
	double ratio = (double)latency_ms /
		       run->task->instance->step->target_ms;

	run->measured_ms = s->now_ms;
	colo_update_baseline(&run->latency_state, ratio,
			     colo_interference(s->colo,
					       run->task->instance->image, uses,
					       n_uses));
}

static int compare_ratio(gconstpointer a, gconstpointer b)
{
	double x = (*(struct sch_run *const *)a)->latency_state.latency_ratio;
	double y = (*(struct sch_run *const *)b)->latency_state.latency_ratio;

	return x < y ? -1 : x > y;
}

/*
 * Updates coefficients from the runs of one step on the VM. Their latencies
 * differ by chance only, so their median is used.
 */
static void learn_from_runs(struct sch *s, struct sch_run **latency_runs,
			    size_t n_runs, const struct colo_cpu_use *uses,
			    size_t n_uses)
{
	const struct sch_step_instance *instance =
		latency_runs[0]->task->instance;
	double baseline = step_baseline(s, instance);
	double ratio;
	size_t i;

	for (i = 0; i < n_runs; i++)
		latency_runs[i]->latency_state.replica_baseline_ratio =
			baseline;
	qsort(latency_runs, n_runs, sizeof(struct sch_run *), compare_ratio);
	ratio = latency_runs[(n_runs - 1) / 2]->latency_state.latency_ratio;
	if (baseline > 0 && ratio > 0)
		colo_update_coefficients(s->colo, instance->image, baseline,
					 ratio, uses, n_uses);
}

/* Compares ids, not addresses, so that a random test with the same seed gives
 * the same results in each process. */
static int compare_instance(gconstpointer a, gconstpointer b)
{
	const struct sch_step_instance *x =
		(*(struct sch_run *const *)a)->task->instance;
	const struct sch_step_instance *y =
		(*(struct sch_run *const *)b)->task->instance;
	int order = strcmp(x->job->id, y->job->id);

	if (order)
		return order;
	if (x->occurrence != y->occurrence)
		return x->occurrence->number < y->occurrence->number ? -1 : 1;
	return (x->number > y->number) - (x->number < y->number);
}

static void learn_from_steps(struct sch *s, GPtrArray *latency_runs,
			     const struct colo_cpu_use *uses, size_t n_uses)
{
	struct sch_run **runs = (struct sch_run **)latency_runs->pdata;
	guint from = 0;
	guint to;

	if (!latency_runs->len)
		return;
	qsort(runs, latency_runs->len, sizeof(*runs), compare_instance);
	for (to = 1; to <= latency_runs->len; to++) {
		if (to < latency_runs->len &&
		    runs[to]->task->instance == runs[from]->task->instance)
			continue;
		learn_from_runs(s, runs + from, to - from, uses, n_uses);
		from = to;
	}
}

static void add_cpu_measurement(struct sch *s, struct sch_run *run,
				guint used_milli)
{
	double declared = declared_cpus(run);

	run->used_cpus = (double)used_milli / 1000;
	/* A job may declare no CPUs. */
	if (declared > 0)
		s->best_effort_cpu_share +=
			CPU_SHARE_WEIGHT *
			(CLAMP(run->used_cpus / declared, 0, 1) -
			 s->best_effort_cpu_share);
	/* The time without the minimum share is counted from the first
	 * measurement on. */
	if (run->used_cpus > MIN_CPU_SHARE * declared_cpus(run) ||
	    !run->min_share_met_ms)
		run->min_share_met_ms = s->now_ms;
}

void sch_interference_learn(struct sch *s, struct sch_vm *vm,
			    const struct Rp__VmReport *report)
{
	g_autoptr(GPtrArray) latency_runs = g_ptr_array_new();
	struct colo_cpu_use uses[SCH_MAX_BEST_EFFORT_IMAGES];
	size_t n_uses = 0;
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
		/* Wire name: figure is CPU use in milli-CPUs or latency in ms.
		 */
		if (run->task->instance->step->fills) {
			add_cpu_measurement(s, run, row->figure);
			add_use(uses, &n_uses, run->task->instance->image,
				run->used_cpus);
		} else if (run->task->instance->step->target_ms &&
			   row->percent >= 100) {
			/* Ready, so figure is its latency. */
			run->latency_ms = row->figure;
			g_ptr_array_add(latency_runs, run);
		}
	}
	for (k = 0; k < latency_runs->len; k++) {
		struct sch_run *run = latency_runs->pdata[k];

		update_baseline(s, run, run->latency_ms, uses, n_uses);
	}
	learn_from_steps(s, latency_runs, uses, n_uses);
}

void sch_interference_merge(struct sch *s, const struct Rp__VmReport *report)
{
	size_t i;

	for (i = 0; i < report->n_pairs; i++) {
		const struct Rp__ImagePair *pair = report->pairs[i];
		guint sensitive = colo_image_id(s->colo, pair->serving);
		guint best_effort = colo_image_id(s->colo, pair->filling);
		double coefficient = pair->slope;

		/* An agent's coefficients come from its own VM only, so each is
		 * averaged with the one known so far. */
		if (colo_is_known(s->colo, sensitive, best_effort))
			coefficient = (coefficient +
				       colo_coefficient(s->colo, sensitive,
							best_effort)) /
				      2;
		colo_set_coefficient(s->colo, sensitive, best_effort,
				     coefficient);
	}
}

void sch_interference_free_headroom(struct sch_vm *vm)
{
	if (vm->headroom.images)
		g_array_unref(vm->headroom.images);
}

/* The headroom of an image is the lowest headroom of its tasks. */
static void add_image_headroom(GArray *images, guint image, double headroom)
{
	struct sch_image_headroom entry = { .image = image,
					    .headroom = headroom };
	guint i;

	for (i = 0; i < images->len; i++) {
		struct sch_image_headroom *known =
			&g_array_index(images, struct sch_image_headroom, i);

		if (known->image != image)
			continue;
		known->headroom = MIN(known->headroom, headroom);
		return;
	}
	g_array_append_val(images, entry);
}

static void set_interference(struct sch *s, struct sch_headroom *headroom,
			     const struct colo_cpu_use *uses)
{
	guint i;
	guint k;

	for (i = 0; i < headroom->images->len; i++) {
		struct sch_image_headroom *entry = &g_array_index(
			headroom->images, struct sch_image_headroom, i);

		for (k = 0; k < headroom->n_best_effort; k++) {
			struct sch_image_interference *pair =
				&entry->best_effort[k];

			pair->coefficient = colo_coefficient(
				s->colo, entry->image, uses[k].image);
			pair->interference = pair->coefficient * uses[k].cpus;
		}
	}
}

static gboolean is_over_target(const struct sch *s, const struct sch_run *run)
{
	guint32 target_ms = run->task->instance->step->target_ms;

	return target_ms && run->latency_ms > target_ms &&
	       s->now_ms - run->measured_ms <= MEASUREMENT_MAX_AGE_MS;
}

static void compute_headroom(struct sch *s, struct sch_vm *vm)
{
	struct sch_headroom *headroom = &vm->headroom;
	struct colo_cpu_use uses[SCH_MAX_BEST_EFFORT_IMAGES];
	size_t n_uses = 0;
	guint i;

	headroom->valid = TRUE;
	headroom->over_target = FALSE;
	headroom->unused_cpus = (double)vm->capacity.cpu_milli / 1000;
	if (!headroom->images)
		headroom->images = g_array_new(
			FALSE, FALSE, sizeof(struct sch_image_headroom));
	g_array_set_size(headroom->images, 0);
	for (i = 0; i < vm->runs->len; i++) {
		const struct sch_run *run = vm->runs->pdata[i];
		const struct sch_step_instance *instance = run->task->instance;

		if (is_over_target(s, run))
			headroom->over_target = TRUE;
		if (instance->step->fills)
			add_use(uses, &n_uses, instance->image,
				declared_cpus(run));
		if (instance->step->target_ms)
			add_image_headroom(headroom->images, instance->image,
					   colo_headroom(&run->latency_state));
		headroom->unused_cpus -= declared_cpus(run) *
					 (instance->step->target_ms
						  ? LATENCY_SENSITIVE_CPU_PART
						  : 1);
	}
	headroom->n_best_effort = (guint)n_uses;
	set_interference(s, headroom, uses);
}

/*
 * Headroom that a latency-sensitive image has left for a best-effort image with
 * this coefficient. Agents throttle best-effort images with higher coefficients
 * first, so only the interference of images with at most this coefficient is
 * subtracted. Otherwise a few tasks of one harmful image would prevent the
 * placement of all others.
 */
static double headroom_for(const struct sch_headroom *headroom,
			   const struct sch_image_headroom *entry,
			   double coefficient)
{
	double left = entry->headroom;
	guint i;

	for (i = 0; i < headroom->n_best_effort; i++)
		if (entry->best_effort[i].coefficient <= coefficient)
			left -= entry->best_effort[i].interference;
	return MAX(left, MIN_DIVISOR);
}

void sch_interference_demand(struct sch *s, struct sch_vm *vm,
			     const struct sch_step_instance *instance,
			     struct sch_best_effort_demand *demand)
{
	double cpus = (double)instance->step->need->cpu_milli / 1000;
	guint i;

	if (!vm->headroom.valid)
		compute_headroom(s, vm);
	demand->cpu = cpus / MAX(vm->headroom.unused_cpus, MIN_DIVISOR);
	demand->interference = 0;
	demand->over_target = vm->headroom.over_target;
	for (i = 0; i < vm->headroom.images->len; i++) {
		const struct sch_image_headroom *entry = &g_array_index(
			vm->headroom.images, struct sch_image_headroom, i);
		double coefficient = colo_coefficient(s->colo, entry->image,
						      instance->image);

		demand->interference = MAX(demand->interference,
					   coefficient * cpus /
						   headroom_for(&vm->headroom,
								entry,
								coefficient));
	}
	demand->cpu_share = 1 / MAX(1, MAX(demand->cpu, demand->interference));
}

static gboolean is_pair_new(const struct Rp__VmOrders *orders,
			    const char *sensitive, const char *best_effort)
{
	size_t i;

	for (i = 0; i < orders->n_pairs; i++)
		if (!strcmp(orders->pairs[i]->serving, sensitive) &&
		    !strcmp(orders->pairs[i]->filling, best_effort))
			return FALSE;
	return TRUE;
}

/* Wire names: serving is the latency-sensitive image, filling the best-effort
 * one, and slope the coefficient. */
static void add_pair(struct sch *s, struct Rp__VmOrders *orders,
		     const struct sch_step_instance *sensitive,
		     const struct sch_step_instance *best_effort)
{
	struct Rp__ImagePair *pair = g_malloc(sizeof(*pair));

	rp__image_pair__init(pair);
	wire_set_string(&pair->serving, sensitive->step->image);
	wire_set_string(&pair->filling, best_effort->step->image);
	pair->slope = colo_coefficient(s->colo, sensitive->image,
				       best_effort->image);
	orders->pairs = g_renew(struct Rp__ImagePair *, orders->pairs,
				orders->n_pairs + 1);
	orders->pairs[orders->n_pairs++] = pair;
}

/* Wire name: a ServingBase holds the baseline latency ratio of a task's step; 0
 * if it is not known. */
static void add_baseline(struct Rp__VmOrders *orders, const struct sch_run *run)
{
	struct Rp__ServingBase *baseline = g_malloc(sizeof(*baseline));

	rp__serving_base__init(baseline);
	wire_set_string(&baseline->task, run->name);
	baseline->ratio = run->latency_state.replica_baseline_ratio;
	orders->bases = g_renew(struct Rp__ServingBase *, orders->bases,
				orders->n_bases + 1);
	orders->bases[orders->n_bases++] = baseline;
}

void sch_interference_add_orders(struct sch *s, const struct sch_vm *vm,
				 struct Rp__VmOrders *orders)
{
	guint i;
	guint k;

	for (i = 0; i < vm->runs->len; i++) {
		const struct sch_run *run = vm->runs->pdata[i];
		const struct Rp__StepSpec *sensitive =
			run->task->instance->step;

		if (sensitive->target_ms)
			add_baseline(orders, run);
		for (k = 0; sensitive->target_ms && k < vm->runs->len; k++) {
			const struct sch_run *other = vm->runs->pdata[k];
			const struct Rp__StepSpec *best_effort =
				other->task->instance->step;

			if (best_effort->fills &&
			    is_pair_new(orders, sensitive->image,
					best_effort->image) &&
			    colo_is_known(s->colo, run->task->instance->image,
					  other->task->instance->image))
				add_pair(s, orders, run->task->instance,
					 other->task->instance);
		}
	}
}
