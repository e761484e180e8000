#include "internal.h"

#include <math.h>
#include <string.h>

#include "../obs/obs.h"

/*
 * Learns from the reports of all VMs how much each kind of job slows each
 * service and each other kind, and how much memory and CPU each kind uses.
 *
 * The model of a victim's slowdown is a sum over the kinds on its VM:
 * interference coefficient times the fraction of the VM's CPUs that the kind
 * uses. The coefficients are estimated by a Kalman filter with a diagonal
 * covariance (Kalman 1960): a well-known coefficient changes little, and one
 * that is not measured becomes uncertain and decays to the mean coefficient of
 * its kind over all services.
 */

/* Bound the memory: the least recently used pair or kind is dropped. */
#define MAX_PAIRS 4096
#define MAX_KINDS 1024
/* Longer names are cut in keys. */
#define MAX_NAME_BYTES 100
/* Type, two names, a separator and the terminating 0. */
#define KEY_BYTES (2 * MAX_NAME_BYTES + 3)
/* Half-life of the distance of an unmeasured coefficient to its kind's mean. */
#define COEFFICIENT_HALF_LIFE_MS 900000.0
/* Half-life of the highest usage measured. */
#define USAGE_HALF_LIFE_MS 3600000.0
/* Older measurements of a service are ignored. */
#define MEASUREMENT_MAX_AGE_MS 15000
/* Variance of a coefficient that was never measured. */
#define INITIAL_VARIANCE 1.0
/* Fraction of the initial variance that a second without measurement adds. */
#define DRIFT_PER_S 0.001
/* A measured slowdown has an error of about 0.1; successive reports overlap. */
#define NOISE_VARIANCE 0.01
/* Run times of a kind differ by about half, so their logarithms by 0.5. */
#define RUN_NOISE_VARIANCE 0.25
/* Initial variance of the coefficients between kinds. */
#define RUN_INITIAL_VARIANCE 0.05
/* Smallest weight of one attempt in the mean run time of its kind. */
#define RUN_WEIGHT 0.02
/* Upper bound of a coefficient: slowdown by a kind that uses all CPUs. */
#define COEFFICIENT_MAX 20.0
/* Slowdown that no kind explains, such as the bias of the tail quantile. */
#define CONSTANT_INITIAL_VARIANCE 0.001
#define CONSTANT_MAX 0.05
/* Weight of the newest report in smoothed_load: the quantile covers 5 s. */
#define LOAD_WEIGHT 0.3
/* Higher measured slowdowns are cut to this. */
#define SLOWDOWN_MAX 5.0
/* Weight of one report in the mean answer rate of a service. */
#define RATE_WEIGHT 0.01
/* Bound of vm_service.relative_rate, and of its inverse. */
#define RELATIVE_RATE_MAX 3.0
/*
 * Weight of a VM full of one kind in the mean coefficient of a service, and of
 * a measurement without noise in the mean coefficient of a kind.
 */
#define MEAN_WEIGHT 0.05
/* The means of services are updated with every fourth report. */
#define MEAN_INTERVAL 4
/* Factor on the measured CPU of a kind when jobs are placed. */
#define CPU_MARGIN 1.1

/* Estimate for a victim and a kind; a mean rate for VICTIM_RATE. */
struct pair {
	double coefficient;
	double variance;
	gint64 used_at;
};

/* Measurements of a kind of job. */
struct kind {
	/* Highest usage of a task, as decayed until used_at. */
	gint64 memory_bytes;
	gint64 cpu_milli;
	gint64 used_at;
	/* Mean coefficient over services. */
	double mean_coefficient;
	/* Mean logarithm of the run time in ms without interference. */
	double mean_log_ms;
	guint64 run_count;
};

struct job_intf *job_intf_new(gboolean ignore)
{
	struct job_intf *intf = g_new0(struct job_intf, 1);

	intf->ignore = ignore;
	intf->pairs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    g_free);
	intf->kinds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    g_free);
	return intf;
}

void job_intf_free(struct job_intf *intf)
{
	g_hash_table_unref(intf->pairs);
	g_hash_table_unref(intf->kinds);
	g_free(intf);
}

static void vm_kind_clear(gpointer data)
{
	g_free(((struct vm_kind *)data)->kind);
}

static void vm_service_clear(gpointer data)
{
	g_free(((struct vm_service *)data)->pool);
}

void job_intf_vm_init(struct vm *vm)
{
	vm->kinds = g_array_new(FALSE, TRUE, sizeof(struct vm_kind));
	g_array_set_clear_func(vm->kinds, vm_kind_clear);
	vm->services = g_array_new(FALSE, TRUE, sizeof(struct vm_service));
	g_array_set_clear_func(vm->services, vm_service_clear);
}

void job_intf_vm_clear(struct vm *vm)
{
	g_array_unref(vm->kinds);
	g_array_unref(vm->services);
}

/*
 * Removes the least recently used value; used_at is the offset of its time.
 * Values used in the current event stay, since a caller may have a pointer.
 */
static gboolean drop_least_recent(GHashTable *table, gsize used_at, gint64 now)
{
	gint64 oldest = now;
	const char *drop = NULL;
	GHashTableIter iter;
	const char *key;
	const char *value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, (gpointer *)&key,
				      (gpointer *)&value)) {
		gint64 used = *(const gint64 *)(gconstpointer)(value + used_at);

		if (used < oldest) {
			oldest = used;
			drop = key;
		}
	}
	return drop && g_hash_table_remove(table, drop);
}

/* Returns NULL if the table is full of kinds used in this event. */
static struct kind *kind_get(struct job *job, const char *name)
{
	GHashTable *kinds = job->intf->kinds;
	struct kind *kind = g_hash_table_lookup(kinds, name);

	if (kind)
		return kind;
	if (g_hash_table_size(kinds) >= MAX_KINDS &&
	    !drop_least_recent(kinds, G_STRUCT_OFFSET(struct kind, used_at),
			       job->now))
		return NULL;
	kind = g_new0(struct kind, 1);
	kind->used_at = job->now;
	g_hash_table_insert(kinds, g_strdup(name), kind);
	return kind;
}

static gsize append_name(char *buffer, gsize at, const char *name)
{
	gsize len = strnlen(name, MAX_NAME_BYTES);

	memcpy(buffer + at, name, len);
	return at + len;
}

/* Names that differ only after MAX_NAME_BYTES share their coefficients. */
static const char *pair_key(char *buffer, char type, const char *victim,
			    const char *kind)
{
	gsize len;

	buffer[0] = type;
	len = append_name(buffer, 1, victim);
	buffer[len++] = '\n';
	buffer[append_name(buffer, len, kind)] = '\0';
	return buffer;
}

static struct pair *pair_find(const struct job *job, char type,
			      const char *victim, const char *kind)
{
	char key[KEY_BYTES];

	return g_hash_table_lookup(job->intf->pairs,
				   pair_key(key, type, victim, kind));
}

static double decayed_mean(const struct job *job, char type,
			   const struct kind *kind)
{
	if (!kind || type != VICTIM_SERVICE)
		return 0;
	return kind->mean_coefficient *
	       exp2(-(double)(job->now - kind->used_at) /
		    COEFFICIENT_HALF_LIFE_MS);
}

/* The coefficient now: with age it decays to the kind's mean. */
static double decayed_coefficient(const struct job *job, char type,
				  const struct pair *pair, double mean)
{
	if (!pair)
		return mean;
	/* Rates do not decay. */
	if (type == VICTIM_RATE)
		return pair->coefficient;
	return mean + (pair->coefficient - mean) *
			      exp2(-(double)(job->now - pair->used_at) /
				   COEFFICIENT_HALF_LIFE_MS);
}

static double coefficient_of(const struct job *job, char type,
			     const char *victim, const char *name)
{
	const struct kind *kind =
		type == VICTIM_SERVICE
			? g_hash_table_lookup(job->intf->kinds, name)
			: NULL;

	return decayed_coefficient(job, type,
				   pair_find(job, type, victim, name),
				   decayed_mean(job, type, kind));
}

static double initial_variance(char type, const char *kind)
{
	if (!*kind)
		return CONSTANT_INITIAL_VARIANCE;
	return type == VICTIM_KIND ? RUN_INITIAL_VARIANCE : INITIAL_VARIANCE;
}

/*
 * Returns the pair, with its coefficient decayed and its variance grown until
 * now, or NULL if the table is full of pairs used in this event.
 */
static struct pair *pair_get(struct job *job, char type, const char *victim,
			     const char *kind, double mean)
{
	GHashTable *pairs = job->intf->pairs;
	double max_variance = initial_variance(type, kind);
	struct pair *pair = pair_find(job, type, victim, kind);
	char key[KEY_BYTES];

	if (pair) {
		pair->coefficient = decayed_coefficient(job, type, pair, mean);
		pair->variance =
			MIN(max_variance,
			    pair->variance +
				    DRIFT_PER_S * max_variance *
					    (double)(job->now - pair->used_at) /
					    1000);
		pair->used_at = job->now;
		return pair;
	}
	if (g_hash_table_size(pairs) >= MAX_PAIRS &&
	    !drop_least_recent(pairs, G_STRUCT_OFFSET(struct pair, used_at),
			       job->now))
		return NULL;
	pair = g_new0(struct pair, 1);
	pair->coefficient = mean;
	pair->variance = max_variance;
	pair->used_at = job->now;
	g_hash_table_insert(pairs, g_strdup(pair_key(key, type, victim, kind)),
			    pair);
	return pair;
}

/* One term of a victim's slowdown: a kind, or the constant (kind NULL). */
struct input {
	struct pair *pair;
	struct kind *kind;
	/* Factor of the coefficient: the kind's load times relative rate. */
	double smoothed_load;
	/* The same with the load of the newest report. */
	double load;
};

static void add_inputs(struct job *job, const struct vm *vm, char type,
		       const char *victim, double rate, struct input *inputs)
{
	guint i;

	for (i = 0; i < vm->kinds->len; i++) {
		const struct vm_kind *at = &g_array_index(vm->kinds,
							  struct vm_kind, i);
		struct input *in = &inputs[i];

		in->kind = g_hash_table_lookup(job->intf->kinds, at->kind);
		in->pair = pair_get(job, type, victim, at->kind,
				    decayed_mean(job, type, in->kind));
		in->smoothed_load = at->smoothed_load * rate;
		in->load = at->load * rate;
	}
	inputs[i] = (struct input){ .smoothed_load = 1, .load = 0 };
	inputs[i].pair = pair_get(job, type, victim, "", 0);
}

/*
 * Filter step for one coefficient; total_variance is that of the prediction
 * plus that of the measurement.
 */
static void filter_step(char type, struct input *in, double max_coefficient,
			double error, double total_variance)
{
	double gain = in->pair->variance * in->smoothed_load / total_variance;

	in->pair->coefficient = CLAMP(in->pair->coefficient + gain * error, 0,
				      max_coefficient);
	in->pair->variance *= 1 - gain * in->smoothed_load;
	if (type == VICTIM_SERVICE && in->kind)
		in->kind->mean_coefficient +=
			MEAN_WEIGHT * gain * in->smoothed_load *
			(in->pair->coefficient - in->kind->mean_coefficient);
}

/*
 * Corrects the coefficients of the victim by the measured slowdown. Returns
 * the slowdown predicted for the newest load; *error is the measured slowdown
 * minus the prediction before the correction.
 */
static double learn(struct job *job, const struct vm *vm, char type,
		    const char *victim, double rate, double measured,
		    double *error)
{
	guint n = vm->kinds->len + 1;
	struct input *inputs = g_new0(struct input, n);
	double total_variance = type == VICTIM_KIND ? RUN_NOISE_VARIANCE
						    : NOISE_VARIANCE;
	double expected = 0;
	guint i;

	add_inputs(job, vm, type, victim, rate, inputs);
	*error = measured;
	for (i = 0; i < n; i++) {
		if (!inputs[i].pair)
			continue;
		*error -= inputs[i].pair->coefficient * inputs[i].smoothed_load;
		total_variance += inputs[i].pair->variance *
				  inputs[i].smoothed_load *
				  inputs[i].smoothed_load;
	}
	for (i = 0; i < n; i++) {
		if (!inputs[i].pair)
			continue;
		filter_step(type, &inputs[i],
			    i + 1 < n ? COEFFICIENT_MAX : CONSTANT_MAX, *error,
			    total_variance);
		expected += inputs[i].pair->coefficient * inputs[i].load;
	}
	g_free(inputs);
	job->stats.interference_updates++;
	return expected;
}

static gint64 decayed_usage(gint64 value, gint64 age_ms)
{
	return (gint64)((double)value *
			exp2(-(double)age_ms / USAGE_HALF_LIFE_MS));
}

void job_intf_learn_usage(struct job *job, const char *name,
			  const struct Rp__Resources *used)
{
	struct kind *kind;
	gint64 age_ms;

	if (!used || !*name)
		return;
	kind = kind_get(job, name);
	if (!kind)
		return;
	age_ms = job->now - kind->used_at;
	kind->mean_coefficient = decayed_mean(job, VICTIM_SERVICE, kind);
	kind->memory_bytes = MAX(decayed_usage(kind->memory_bytes, age_ms),
				 used->memory_bytes);
	kind->cpu_milli = MAX(decayed_usage(kind->cpu_milli, age_ms),
			      used->cpu_milli);
	kind->used_at = job->now;
}

/* Capped at the VM's capacity, so that the job always fits an empty VM. */
static gint64 larger_capped(gint64 declared, gint64 learned, gint64 capacity)
{
	return MAX(declared, MIN(learned, capacity));
}

struct resources job_intf_need(const struct job *job,
			       const struct job_item *item, const struct vm *vm)
{
	const struct kind *kind = g_hash_table_lookup(
		job->intf->kinds, job_item_newest(item)->kind);
	struct resources need = item->need;
	gint64 age_ms;

	if (!kind || job->intf->ignore)
		return need;
	age_ms = job->now - kind->used_at;
	need.memory_bytes = larger_capped(
		need.memory_bytes, decayed_usage(kind->memory_bytes, age_ms),
		vm->capacity.memory_bytes);
	need.cpu_milli = larger_capped(
		need.cpu_milli,
		(gint64)((double)decayed_usage(kind->cpu_milli, age_ms) *
			 CPU_MARGIN),
		vm->capacity.cpu_milli);
	return need;
}

static double cpu_fraction(const struct vm *vm, gint64 cpu)
{
	return vm->capacity.cpu_milli
		       ? (double)cpu / (double)vm->capacity.cpu_milli
		       : 0;
}

static struct vm_kind *vm_kind_get(struct vm *vm, const char *name)
{
	struct vm_kind kind = { 0 };
	guint i;

	for (i = 0; i < vm->kinds->len; i++) {
		struct vm_kind *at = &g_array_index(vm->kinds, struct vm_kind,
						    i);

		if (!strcmp(at->kind, name))
			return at;
	}
	kind.kind = g_strdup(name);
	g_array_append_val(vm->kinds, kind);
	return &g_array_index(vm->kinds, struct vm_kind, vm->kinds->len - 1);
}

static void apply_kinds(struct job *job, struct vm *vm,
			const struct Rp__Report *report)
{
	size_t n;
	guint i;

	for (i = 0; i < vm->kinds->len; i++) {
		struct vm_kind *kind = &g_array_index(vm->kinds, struct vm_kind,
						      i);

		kind->load = 0;
		kind->throttled = 0;
	}
	for (n = 0; n < report->n_kinds; n++) {
		const struct Rp__KindLoad *load = report->kinds[n];
		struct vm_kind *kind = vm_kind_get(vm, load->kind);

		kind->load = cpu_fraction(vm, load->cpu_milli);
		kind->throttled = load->throttled;
		job_intf_learn_usage(job, load->kind, load->used);
	}
	for (i = vm->kinds->len; i-- > 0;) {
		struct vm_kind *kind = &g_array_index(vm->kinds, struct vm_kind,
						      i);

		kind->smoothed_load += (kind->load - kind->smoothed_load) *
				       LOAD_WEIGHT;
		if (kind->load <= 0 && kind->smoothed_load < 0.001)
			g_array_remove_index_fast(vm->kinds, i);
	}
}

static struct vm_service *service_get(struct vm *vm, const char *pool)
{
	struct vm_service service = { 0 };
	guint i;

	for (i = 0; i < vm->services->len; i++) {
		struct vm_service *at = &g_array_index(vm->services,
						       struct vm_service, i);

		if (!strcmp(at->pool, pool))
			return at;
	}
	service.pool = g_strdup(pool);
	g_array_append_val(vm->services, service);
	return &g_array_index(vm->services, struct vm_service,
			      vm->services->len - 1);
}

/* The same neighbours slow a service more if it answers at a higher rate. */
static double relative_rate(struct job *job, const struct Rp__PoolLoad *load)
{
	double rate = load->answers_per_min;
	struct pair *pair = pair_get(job, VICTIM_RATE, load->pool, "", rate);
	double mean;

	if (!pair)
		return 1;
	pair->coefficient += (rate - pair->coefficient) * RATE_WEIGHT;
	mean = pair->coefficient;
	return mean > 0 ? CLAMP(rate / mean, 1 / RELATIVE_RATE_MAX,
				RELATIVE_RATE_MAX)
			: 1;
}

/* Jobs that the report does not include yet are added to the prediction. */
static void apply_service(struct job *job, struct vm *vm,
			  const struct Rp__PoolLoad *load)
{
	struct vm_service *service = service_get(vm, load->pool);
	double baseline_us = load->quiet_us;
	double measured = CLAMP(load->high_us / baseline_us - 1, -0.5,
				SLOWDOWN_MAX);
	double error;
	GHashTableIter iter;
	struct job_item *item;

	service->relative_rate = relative_rate(job, load);
	service->measured_at = job->now;
	service->allowed_slowdown = MAX(load->limit_us / baseline_us - 1, 0.05);
	service->expected_slowdown = learn(job, vm, VICTIM_SERVICE, load->pool,
					   service->relative_rate, measured,
					   &error);
	/* Half of the slowdown that no kind explains is added. */
	service->expected_slowdown += MAX(0, error - CONSTANT_MAX) / 2;
	g_hash_table_iter_init(&iter, vm->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item))
		if (item->unreported)
			service->expected_slowdown +=
				service->relative_rate *
				cpu_fraction(vm, item->need.cpu_milli) *
				coefficient_of(job, VICTIM_SERVICE, load->pool,
					       job_item_newest(item)->kind);
}

/*
 * Updates the mean coefficients of another VM's services with the kinds that
 * run on this VM, so that the means cover the batch work of the whole fleet.
 * One other VM at a time, so that the cost of a report does not grow with the
 * fleet.
 */
static void update_means(struct job *job, const struct vm *vm)
{
	const GPtrArray *vms;
	const struct vm *other;
	guint i;
	guint k;

	if (!vm->pool_memberships->len)
		return;
	vms = g_array_index(vm->pool_memberships, struct pool_membership, 0)
		      .pool->vms;
	if (job->intf->report_count++ % MEAN_INTERVAL)
		return;
	other = g_ptr_array_index(vms, job->intf->report_count / MEAN_INTERVAL %
					       vms->len);
	for (i = 0; i < other->services->len; i++) {
		const char *pool = g_array_index(other->services,
						 struct vm_service, i)
					   .pool;
		struct pair *mean = pair_get(job, VICTIM_MEAN, pool, "", 0);

		for (k = 0; mean && k < vm->kinds->len; k++) {
			const struct vm_kind *kind =
				&g_array_index(vm->kinds, struct vm_kind, k);
			double coefficient = coefficient_of(job, VICTIM_SERVICE,
							    pool, kind->kind);

			mean->coefficient += (coefficient - mean->coefficient) *
					     MEAN_WEIGHT * MEAN_INTERVAL *
					     kind->load;
		}
	}
}

void job_intf_report(struct job *job, struct vm *vm,
		     const struct Rp__Report *report)
{
	size_t i;

	if (job->intf->ignore)
		return;
	apply_kinds(job, vm, report);
	update_means(job, vm);
	for (i = 0; i < report->n_pools; i++) {
		const struct Rp__PoolLoad *load = report->pools[i];

		if (load->high_us && load->quiet_us && load->limit_us)
			apply_service(job, vm, load);
	}
}

void job_intf_learn_run_time(struct job *job, const struct vm *vm,
			     const struct job_item *item)
{
	const char *name = job_item_newest(item)->kind;
	struct kind *kind;
	double log_ms;
	double error;
	guint i;

	if (job->intf->ignore || !item->running_since ||
	    job->now <= item->running_since || item->resumed)
		return;
	for (i = 0; i < vm->kinds->len; i++) {
		const struct vm_kind *at = &g_array_index(vm->kinds,
							  struct vm_kind, i);

		/* Throttled tasks are slow for another reason. */
		if (at->throttled && !strcmp(at->kind, name))
			return;
	}
	kind = kind_get(job, name);
	if (!kind)
		return;
	log_ms = log((double)(job->now - item->running_since));
	if (!kind->run_count++)
		kind->mean_log_ms = log_ms;
	learn(job, vm, VICTIM_KIND, name, 1, log_ms - kind->mean_log_ms,
	      &error);
	kind->mean_log_ms += error *
			     MAX(RUN_WEIGHT, 1.0 / (double)kind->run_count);
}

/* The fraction of their work that the job and its neighbours would lose. */
static double batch_loss(const struct job *job, const struct vm *vm,
			 const char *name)
{
	double loss = 0;
	guint i;

	for (i = 0; i < vm->kinds->len; i++) {
		const struct vm_kind *kind = &g_array_index(vm->kinds,
							    struct vm_kind, i);

		if (kind->load > 0)
			loss += kind->load * (coefficient_of(job, VICTIM_KIND,
							     name, kind->kind) +
					      coefficient_of(job, VICTIM_KIND,
							     kind->kind, name));
	}
	return loss;
}

void job_intf_cost(const struct job *job, const struct job_item *item,
		   const struct vm *vm, struct intf_cost *cost)
{
	const char *kind = job_item_newest(item)->kind;
	double fraction = cpu_fraction(vm, item->need.cpu_milli);
	guint i;

	*cost = (struct intf_cost){ 0 };
	if (job->intf->ignore)
		return;
	for (i = 0; i < vm->services->len; i++) {
		const struct vm_service *service =
			&g_array_index(vm->services, struct vm_service, i);
		double coefficient;

		if (job->now - service->measured_at > MEASUREMENT_MAX_AGE_MS)
			continue;
		coefficient = service->relative_rate *
			      coefficient_of(job, VICTIM_SERVICE, service->pool,
					     kind);
		cost->added_slowdown += coefficient * fraction;
		cost->excess_coefficient +=
			(coefficient -
			 coefficient_of(job, VICTIM_MEAN, service->pool, "")) /
			service->allowed_slowdown;
		cost->worst_ratio = MAX(
			cost->worst_ratio,
			(service->expected_slowdown + coefficient * fraction) /
				service->allowed_slowdown);
	}
	cost->batch_loss = batch_loss(job, vm, kind);
}

void job_intf_add_placed(struct job *job, const struct job_item *item,
			 struct vm *vm)
{
	guint i;

	if (job->intf->ignore)
		return;

	for (i = 0; i < vm->services->len; i++) {
		struct vm_service *service =
			&g_array_index(vm->services, struct vm_service, i);

		service->expected_slowdown +=
			service->relative_rate *
			cpu_fraction(vm, item->need.cpu_milli) *
			coefficient_of(job, VICTIM_SERVICE, service->pool,
				       job_item_newest(item)->kind);
	}
}

static void append_pair(GString *out, const char *key, double coefficient)
{
	const char *end = strchr(key, '\n');

	g_string_append(out, key[0] == VICTIM_SERVICE ? "{\"service\":"
						      : "{\"slowed_kind\":");
	obs_json_string(out, key + 1, (gssize)(end - key - 1));
	g_string_append(out, ",\"kind\":");
	obs_json_string(out, end + 1, -1);
	g_string_append_printf(out, ",\"slope\":%.3f}", coefficient);
}

void job_interference_status_json(const struct job *job, GString *out)
{
	const char *separator = "";
	GHashTableIter iter;
	const struct pair *pair;
	const char *key;

	g_string_append_c(out, '[');
	g_hash_table_iter_init(&iter, job->intf->pairs);
	while (g_hash_table_iter_next(&iter, (gpointer *)&key,
				      (gpointer *)&pair)) {
		if (key[0] != VICTIM_SERVICE && key[0] != VICTIM_KIND)
			continue;
		g_string_append(out, separator);
		append_pair(out, key, pair->coefficient);
		separator = ",";
	}
	g_string_append_c(out, ']');
}
