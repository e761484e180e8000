#include "internal.h"

#include <math.h>
#include <string.h>

#include "../obs/obs.h"

/*
 * Learns how much each kind of job slows each service, and each other kind,
 * from the reports of all VMs, and how much each kind uses. The slowdown of a
 * victim is modelled as the sum over the kinds on its VM of a slope times the
 * part of the VM's processors that the kind occupies. The slopes are learned
 * by a Kalman filter with a diagonal covariance (Kalman 1960): what is certain
 * moves little, and what was not measured for long becomes uncertain again and
 * returns to the mean slope of the kind over all services.
 */

/* Pairs and kinds remembered; the one that is unused for longest goes first. */
#define MAX_PAIRS 4096
#define MAX_KINDS 1024
#define MAX_NAME_BYTES 100
#define KEY_BYTES (2 * MAX_NAME_BYTES + 3)
/* A slope that nothing confirms falls to its kind's mean with this half-life.
 */
#define HALF_LIFE_MS 900000.0
/* Half-life of the largest usage seen. */
#define USAGE_HALF_LIFE_MS 3600000.0
/* Measurements that are older do not count. */
#define STALE_MS 15000
/* Uncertainty of a slope that was never measured, and its growth. */
#define VARIANCE 1.0
#define DRIFT_PER_S 0.001
/* Noise of a measurement: about a tenth, and reports overlap. */
#define NOISE_VARIANCE 0.01
/* Run times of a kind differ by half, and the mean moves by this part. */
#define RUN_NOISE_VARIANCE 0.25
#define RUN_VARIANCE 0.05
#define RUN_WEIGHT 0.02
#define SLOPE_MAX 20.0
/* Slowdown that no kind explains, such as the bias of the quantile. */
#define VARIANCE_CONSTANT 0.001
#define CONSTANT_MAX 0.05
/* Weight of the newest report in a kind's load: the quantile covers 5 s. */
#define LOAD_WEIGHT 0.3
#define SLOWDOWN_MAX 5.0
/* Weight of one report in the mean rate of a service. */
#define RATE_WEIGHT 0.01
#define LOAD_MAX 3.0
/* Weight of one job in a service's mean, and of a slope in its kind's. */
#define MEAN_WEIGHT 0.05
/* The means of services are updated with every fourth report. */
#define MEAN_INTERVAL 4
/* Learned processors are packed with this margin. */
#define CPU_MARGIN 1.1

struct pair {
	double slope;
	double variance;
	gint64 at;
};

struct kind {
	gint64 mem;
	gint64 cpu;
	gint64 at;
	/* Mean slope over services. */
	double mean;
	/* Mean logarithm of the undisturbed run time. */
	double log_ms;
	guint64 runs;
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
 * at is the member of the values that tells when they were last used. Values
 * used at this moment stay, since a caller may hold them.
 */
static gboolean drop_oldest(GHashTable *table, gsize at, gint64 now)
{
	gint64 oldest = now;
	const char *drop = NULL;
	GHashTableIter iter;
	const char *key;
	const char *value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, (gpointer *)&key,
				      (gpointer *)&value)) {
		gint64 used = *(const gint64 *)(gconstpointer)(value + at);

		if (used < oldest) {
			oldest = used;
			drop = key;
		}
	}
	return drop && g_hash_table_remove(table, drop);
}

/* Returns NULL if there are too many kinds at this moment. */
static struct kind *kind_get(struct job *job, const char *name)
{
	GHashTable *kinds = job->intf->kinds;
	struct kind *kind = g_hash_table_lookup(kinds, name);

	if (kind)
		return kind;
	if (g_hash_table_size(kinds) >= MAX_KINDS &&
	    !drop_oldest(kinds, G_STRUCT_OFFSET(struct kind, at), job->now))
		return NULL;
	kind = g_new0(struct kind, 1);
	kind->at = job->now;
	g_hash_table_insert(kinds, g_strdup(name), kind);
	return kind;
}

static gsize append_name(char *buffer, gsize at, const char *name)
{
	gsize len = strnlen(name, MAX_NAME_BYTES);

	memcpy(buffer + at, name, len);
	return at + len;
}

/* Longer names that begin alike share their slopes. */
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

static double kind_mean(const struct job *job, char type,
			const struct kind *kind)
{
	if (!kind || type != VICTIM_SERVICE)
		return 0;
	return kind->mean * exp2(-(double)(job->now - kind->at) / HALF_LIFE_MS);
}

/* The slope as it is believed now: with age it becomes the kind's mean. */
static double believed(const struct job *job, char type,
		       const struct pair *pair, double mean)
{
	if (!pair)
		return mean;
	/* A rate stays what it was while nothing is reported. */
	if (type == VICTIM_RATE)
		return pair->slope;
	return mean +
	       (pair->slope - mean) *
		       exp2(-(double)(job->now - pair->at) / HALF_LIFE_MS);
}

static double slope_of(const struct job *job, char type, const char *victim,
		       const char *name)
{
	const struct kind *kind =
		type == VICTIM_SERVICE
			? g_hash_table_lookup(job->intf->kinds, name)
			: NULL;

	return believed(job, type, pair_find(job, type, victim, name),
			kind_mean(job, type, kind));
}

static double most_variance(char type, const char *kind)
{
	if (!*kind)
		return VARIANCE_CONSTANT;
	return type == VICTIM_KIND ? RUN_VARIANCE : VARIANCE;
}

/*
 * Returns the pair as it is believed now, or NULL if there are too many at this
 * moment. What is not measured becomes uncertain, as the slopes drift.
 */
static struct pair *pair_get(struct job *job, char type, const char *victim,
			     const char *kind, double mean)
{
	GHashTable *pairs = job->intf->pairs;
	double most = most_variance(type, kind);
	struct pair *pair = pair_find(job, type, victim, kind);
	char key[KEY_BYTES];

	if (pair) {
		pair->slope = believed(job, type, pair, mean);
		pair->variance = MIN(
			most,
			pair->variance + DRIFT_PER_S * most *
						 (double)(job->now - pair->at) /
						 1000);
		pair->at = job->now;
		return pair;
	}
	if (g_hash_table_size(pairs) >= MAX_PAIRS &&
	    !drop_oldest(pairs, G_STRUCT_OFFSET(struct pair, at), job->now))
		return NULL;
	pair = g_new0(struct pair, 1);
	pair->slope = mean;
	pair->variance = most;
	pair->at = job->now;
	g_hash_table_insert(pairs, g_strdup(pair_key(key, type, victim, kind)),
			    pair);
	return pair;
}

/* A cause of the slowdown of one victim, and what it weighs. */
struct input {
	struct pair *pair;
	struct kind *kind;
	double x;
	double now;
};

static void add_inputs(struct job *job, const struct vm *vm, char type,
		       const char *victim, double load, struct input *inputs)
{
	guint i;

	for (i = 0; i < vm->kinds->len; i++) {
		const struct vm_kind *at = &g_array_index(vm->kinds,
							  struct vm_kind, i);
		struct input *in = &inputs[i];

		in->kind = g_hash_table_lookup(job->intf->kinds, at->kind);
		in->pair = pair_get(job, type, victim, at->kind,
				    kind_mean(job, type, in->kind));
		in->x = at->smoothed_load * load;
		in->now = at->load * load;
	}
	inputs[i] = (struct input){ .x = 1, .now = 0 };
	inputs[i].pair = pair_get(job, type, victim, "", 0);
}

/* One step of the filter for one slope; explained is the total variance. */
static void correct(char type, struct input *in, double most, double error,
		    double explained)
{
	double gain = in->pair->variance * in->x / explained;

	in->pair->slope = CLAMP(in->pair->slope + gain * error, 0, most);
	in->pair->variance *= 1 - gain * in->x;
	if (type == VICTIM_SERVICE && in->kind)
		in->kind->mean += MEAN_WEIGHT * gain * in->x *
				  (in->pair->slope - in->kind->mean);
}

/*
 * Moves the slopes of the victim so that the sum is nearer to what was seen.
 * Returns the slowdown that is expected now; *error is what was not foreseen.
 */
static double learn(struct job *job, const struct vm *vm, char type,
		    const char *victim, double load, double seen, double *error)
{
	guint n = vm->kinds->len + 1;
	struct input *inputs = g_new0(struct input, n);
	double explained = type == VICTIM_KIND ? RUN_NOISE_VARIANCE
					       : NOISE_VARIANCE;
	double expected = 0;
	guint i;

	add_inputs(job, vm, type, victim, load, inputs);
	*error = seen;
	for (i = 0; i < n; i++) {
		if (!inputs[i].pair)
			continue;
		*error -= inputs[i].pair->slope * inputs[i].x;
		explained += inputs[i].pair->variance * inputs[i].x *
			     inputs[i].x;
	}
	for (i = 0; i < n; i++) {
		if (!inputs[i].pair)
			continue;
		correct(type, &inputs[i], i + 1 < n ? SLOPE_MAX : CONSTANT_MAX,
			*error, explained);
		expected += inputs[i].pair->slope * inputs[i].now;
	}
	g_free(inputs);
	job->stats.interference_updates++;
	return expected;
}

static gint64 aged(gint64 value, gint64 age_ms)
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
	age_ms = job->now - kind->at;
	kind->mean = kind_mean(job, VICTIM_SERVICE, kind);
	kind->mem = MAX(aged(kind->mem, age_ms), used->memory_bytes);
	kind->cpu = MAX(aged(kind->cpu, age_ms), used->cpu_milli);
	kind->at = job->now;
}

/* The job must fit an empty VM whatever was learned about its kind. */
static gint64 grown(gint64 declared, gint64 learned, gint64 capacity)
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
	age_ms = job->now - kind->at;
	need.memory_bytes = grown(need.memory_bytes, aged(kind->mem, age_ms),
				  vm->capacity.memory_bytes);
	need.cpu_milli =
		grown(need.cpu_milli,
		      (gint64)((double)aged(kind->cpu, age_ms) * CPU_MARGIN),
		      vm->capacity.cpu_milli);
	return need;
}

static double part_of(const struct vm *vm, gint64 cpu)
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

static void read_kinds(struct job *job, struct vm *vm,
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

		kind->load = part_of(vm, load->cpu_milli);
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

/* A service that answers more is slowed more by the same neighbours. */
static double service_load(struct job *job, const struct Rp__PoolLoad *load)
{
	double rate = load->answers_per_min;
	struct pair *pair = pair_get(job, VICTIM_RATE, load->pool, "", rate);
	double mean;

	if (!pair)
		return 1;
	pair->slope += (rate - pair->slope) * RATE_WEIGHT;
	mean = pair->slope;
	return mean > 0 ? CLAMP(rate / mean, 1 / LOAD_MAX, LOAD_MAX) : 1;
}

/* What was placed since the report is added at once: the report lags. */
static void read_service(struct job *job, struct vm *vm,
			 const struct Rp__PoolLoad *load)
{
	struct vm_service *service = service_get(vm, load->pool);
	double quiet = load->quiet_us;
	double seen = CLAMP(load->high_us / quiet - 1, -0.5, SLOWDOWN_MAX);
	double error;
	GHashTableIter iter;
	struct job_item *item;

	service->relative_rate = service_load(job, load);
	service->measured_at = job->now;
	service->allowed = MAX(load->limit_us / quiet - 1, 0.05);
	service->expected = learn(job, vm, VICTIM_SERVICE, load->pool,
				  service->relative_rate, seen, &error);
	service->expected += MAX(0, error - CONSTANT_MAX) / 2;
	g_hash_table_iter_init(&iter, vm->items);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&item))
		if (item->unreported)
			service->expected +=
				service->relative_rate *
				part_of(vm, item->need.cpu_milli) *
				slope_of(job, VICTIM_SERVICE, load->pool,
					 job_item_newest(item)->kind);
}

/*
 * Compares what runs on the VM with the services of another VM, so that the
 * mean is over the work of the whole fleet. One other VM at a time: the cost of
 * a report does not grow with the fleet.
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
			double slope = slope_of(job, VICTIM_SERVICE, pool,
						kind->kind);

			mean->slope += (slope - mean->slope) * MEAN_WEIGHT *
				       MEAN_INTERVAL * kind->load;
		}
	}
}

void job_intf_report(struct job *job, struct vm *vm,
		     const struct Rp__Report *report)
{
	size_t i;

	if (job->intf->ignore)
		return;
	read_kinds(job, vm, report);
	update_means(job, vm);
	for (i = 0; i < report->n_pools; i++) {
		const struct Rp__PoolLoad *load = report->pools[i];

		if (load->high_us && load->quiet_us && load->limit_us)
			read_service(job, vm, load);
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

		/* The throttle and not the neighbours made it slow. */
		if (at->throttled && !strcmp(at->kind, name))
			return;
	}
	kind = kind_get(job, name);
	if (!kind)
		return;
	log_ms = log((double)(job->now - item->running_since));
	if (!kind->runs++)
		kind->log_ms = log_ms;
	learn(job, vm, VICTIM_KIND, name, 1, log_ms - kind->log_ms, &error);
	kind->log_ms += error * MAX(RUN_WEIGHT, 1.0 / (double)kind->runs);
}

/* The part of its work that the job and its neighbours would lose. */
static double batch_loss(const struct job *job, const struct vm *vm,
			 const char *name)
{
	double loss = 0;
	guint i;

	for (i = 0; i < vm->kinds->len; i++) {
		const struct vm_kind *kind = &g_array_index(vm->kinds,
							    struct vm_kind, i);

		if (kind->load > 0)
			loss += kind->load *
				(slope_of(job, VICTIM_KIND, name, kind->kind) +
				 slope_of(job, VICTIM_KIND, kind->kind, name));
	}
	return loss;
}

void job_intf_cost(const struct job *job, const struct job_item *item,
		   const struct vm *vm, struct intf_cost *cost)
{
	const char *kind = job_item_newest(item)->kind;
	double part = part_of(vm, item->need.cpu_milli);
	guint i;

	*cost = (struct intf_cost){ 0 };
	if (job->intf->ignore)
		return;
	for (i = 0; i < vm->services->len; i++) {
		const struct vm_service *service =
			&g_array_index(vm->services, struct vm_service, i);
		double slope;

		if (job->now - service->measured_at > STALE_MS)
			continue;
		slope = service->relative_rate *
			slope_of(job, VICTIM_SERVICE, service->pool, kind);
		cost->added_slowdown += slope * part;
		cost->excess_coefficient +=
			(slope -
			 slope_of(job, VICTIM_MEAN, service->pool, "")) /
			service->allowed;
		cost->worst_ratio = MAX(cost->worst_ratio,
					(service->expected + slope * part) /
						service->allowed);
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

		service->expected += service->relative_rate *
				     part_of(vm, item->need.cpu_milli) *
				     slope_of(job, VICTIM_SERVICE,
					      service->pool,
					      job_item_newest(item)->kind);
	}
}

static void append_pair(GString *out, const char *key, double slope)
{
	const char *end = strchr(key, '\n');

	g_string_append(out, key[0] == VICTIM_SERVICE ? "{\"service\":"
						      : "{\"slowed_kind\":");
	obs_json_string(out, key + 1, (gssize)(end - key - 1));
	g_string_append(out, ",\"kind\":");
	obs_json_string(out, end + 1, -1);
	g_string_append_printf(out, ",\"slope\":%.3f}", slope);
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
		append_pair(out, key, pair->slope);
		separator = ",";
	}
	g_string_append_c(out, ']');
}
