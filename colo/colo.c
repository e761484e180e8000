#include "colo.h"

#include <math.h>

/** Baseline latency assumed for an unmeasured task, relative to its target, and
 * upper bound of the first estimate. */
#define DEFAULT_BASELINE_RATIO 0.5

/** Coefficient assumed for an unknown pair, per CPU, and its variance: about
 * one pair in four has 0.03 to 0.06, the others have almost none. */
#define DEFAULT_COEFFICIENT 0.012
#define DEFAULT_VARIANCE 4e-4
#define COEFFICIENT_MAX 0.6

/** Largest variance of a coefficient that was received from another process. */
#define RECEIVED_VARIANCE_MAX 1e-4

/** Variance added with each sample, since coefficients change over time. */
#define DRIFT_VARIANCE 1e-6

/** Variance of the interference measured by one sample. */
#define SAMPLE_VARIANCE 0.01

/** Prediction errors are clamped to this many standard deviations, since single
 * latencies can be outliers. */
#define ERROR_MAX_DEVIATIONS 2.0

/** Bounds on the interference measured by one sample. */
#define INTERFERENCE_MIN (-0.2)
#define INTERFERENCE_MAX 0.95

/** Weight of a new sample in the baseline latency. It is lower when high
 * interference is predicted, as the sample then says less about the baseline.
 */
#define BASELINE_WEIGHT 0.3
#define BASELINE_WEIGHT_INTERFERED 0.05
#define HIGH_INTERFERENCE 0.2

/** Latencies are clamped to this many targets. */
#define LATENCY_RATIO_MAX 8.0

/** State of the filter for one image pair. */
struct pair {
	double coefficient;
	double variance;
};

/** Maximum number of image ids; a pair's key has 16 bits for each. */
#define MAX_IMAGES 4096
#define IMAGE_BITS 16

/** A longer image name is replaced by a digest, since names are kept. */
#define MAX_NAME_BYTES 256

struct colo_table {
	/** Image name to id; the keys belong to names. */
	GHashTable *ids;
	/** Image names by id. */
	GPtrArray *names;
	/** pair_key() to struct pair. */
	GHashTable *pairs;
};

struct colo_table *colo_table_new(void)
{
	struct colo_table *table = g_new0(struct colo_table, 1);

	table->ids = g_hash_table_new(g_str_hash, g_str_equal);
	table->names = g_ptr_array_new_with_free_func(g_free);
	table->pairs = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return table;
}

void colo_table_free(struct colo_table *table)
{
	g_hash_table_unref(table->pairs);
	g_hash_table_unref(table->ids);
	g_ptr_array_unref(table->names);
	g_free(table);
}

guint colo_image_id(struct colo_table *table, const char *name)
{
	g_autofree char *digest = NULL;
	gpointer id;
	char *copy;

	if (strlen(name) > MAX_NAME_BYTES) {
		digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, name,
						       -1);
		name = digest;
	}
	if (g_hash_table_lookup_extended(table->ids, name, NULL, &id))
		return GPOINTER_TO_UINT(id);
	if (table->names->len == MAX_IMAGES)
		return MAX_IMAGES - 1;
	copy = g_strdup(name);
	g_hash_table_insert(table->ids, copy,
			    GUINT_TO_POINTER(table->names->len));
	g_ptr_array_add(table->names, copy);
	return table->names->len - 1;
}

const char *colo_image_name(const struct colo_table *table, guint image)
{
	g_assert(image < table->names->len);
	return table->names->pdata[image];
}

static gpointer pair_key(guint latency_sensitive_image, guint best_effort_image)
{
	return GUINT_TO_POINTER(latency_sensitive_image << IMAGE_BITS |
				best_effort_image);
}

static struct pair *find_pair(const struct colo_table *table,
			      guint latency_sensitive_image,
			      guint best_effort_image)
{
	return g_hash_table_lookup(
		table->pairs,
		pair_key(latency_sensitive_image, best_effort_image));
}

static struct pair *find_or_add_pair(struct colo_table *table,
				     guint latency_sensitive_image,
				     guint best_effort_image)
{
	struct pair *pair = find_pair(table, latency_sensitive_image,
				      best_effort_image);

	if (!pair) {
		pair = g_new0(struct pair, 1);
		pair->coefficient = DEFAULT_COEFFICIENT;
		pair->variance = DEFAULT_VARIANCE;
		g_hash_table_insert(
			table->pairs,
			pair_key(latency_sensitive_image, best_effort_image),
			pair);
	}
	return pair;
}

double colo_coefficient(const struct colo_table *table,
			guint latency_sensitive_image, guint best_effort_image)
{
	const struct pair *pair = find_pair(table, latency_sensitive_image,
					    best_effort_image);

	return pair ? pair->coefficient : DEFAULT_COEFFICIENT;
}

gboolean colo_is_known(const struct colo_table *table,
		       guint latency_sensitive_image, guint best_effort_image)
{
	return find_pair(table, latency_sensitive_image, best_effort_image) !=
	       NULL;
}

void colo_set_coefficient(struct colo_table *table,
			  guint latency_sensitive_image,
			  guint best_effort_image, double coefficient)
{
	struct pair *pair = find_or_add_pair(table, latency_sensitive_image,
					     best_effort_image);

	pair->coefficient = CLAMP(coefficient, 0, COEFFICIENT_MAX);
	pair->variance = MIN(pair->variance, RECEIVED_VARIANCE_MAX);
}

double colo_variance(const struct colo_table *table,
		     guint latency_sensitive_image, guint best_effort_image)
{
	const struct pair *pair = find_pair(table, latency_sensitive_image,
					    best_effort_image);

	return pair ? pair->variance : DEFAULT_VARIANCE;
}

void colo_restore(struct colo_table *table, guint latency_sensitive_image,
		  guint best_effort_image, double coefficient, double variance)
{
	struct pair *pair = find_or_add_pair(table, latency_sensitive_image,
					     best_effort_image);

	pair->coefficient = CLAMP(coefficient, 0, COEFFICIENT_MAX);
	pair->variance = CLAMP(variance, DRIFT_VARIANCE, DEFAULT_VARIANCE);
}

void colo_foreach_pair(const struct colo_table *table,
		       void (*fn)(void *ctx, guint latency_sensitive_image,
				  guint best_effort_image, double coefficient),
		       void *ctx)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, table->pairs);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct pair *pair = value;
		guint images = GPOINTER_TO_UINT(key);

		fn(ctx, images >> IMAGE_BITS, images & ((1U << IMAGE_BITS) - 1),
		   pair->coefficient);
	}
}

double colo_interference(const struct colo_table *table,
			 guint latency_sensitive_image,
			 const struct colo_cpu_use *uses, size_t n)
{
	double interference = 0;
	size_t i;

	for (i = 0; i < n; i++)
		interference += colo_coefficient(table, latency_sensitive_image,
						 uses[i].image) *
				uses[i].cpus;
	return interference;
}

double colo_headroom(const struct colo_latency_state *state)
{
	double baseline_ratio = state->baseline_ratio > 0
					? state->baseline_ratio
					: DEFAULT_BASELINE_RATIO;

	return MAX(0, 1 - baseline_ratio / COLO_LATENCY_LIMIT);
}

void colo_update_baseline(struct colo_latency_state *state,
			  double latency_ratio, double predicted_interference)
{
	double weight = predicted_interference < HIGH_INTERFERENCE
				? BASELINE_WEIGHT
				: BASELINE_WEIGHT_INTERFERED;
	double sample_ratio;

	state->latency_ratio = MIN(latency_ratio, LATENCY_RATIO_MAX);
	state->predicted_interference = MIN(predicted_interference,
					    INTERFERENCE_MAX);
	if (latency_ratio <= 0)
		return;
	sample_ratio =
		MIN(state->latency_ratio * (1 - state->predicted_interference),
		    1.0);
	if (state->replica_baseline_ratio > 0)
		state->baseline_ratio = state->replica_baseline_ratio;
	else if (state->baseline_ratio <= 0)
		state->baseline_ratio = MIN(sample_ratio,
					    DEFAULT_BASELINE_RATIO);
	else
		state->baseline_ratio += weight *
					 (sample_ratio - state->baseline_ratio);
}

void colo_update_coefficients(struct colo_table *table,
			      guint latency_sensitive_image,
			      double baseline_ratio, double latency_ratio,
			      const struct colo_cpu_use *uses, size_t n)
{
	double measured = CLAMP(1 - baseline_ratio / latency_ratio,
				INTERFERENCE_MIN, INTERFERENCE_MAX);
	double error = measured - colo_interference(table,
						    latency_sensitive_image,
						    uses, n);
	double variance = SAMPLE_VARIANCE;
	double bound;
	size_t i;

	for (i = 0; i < n; i++)
		variance += find_or_add_pair(table, latency_sensitive_image,
					     uses[i].image)
				    ->variance *
			    uses[i].cpus * uses[i].cpus;
	bound = ERROR_MAX_DEVIATIONS * sqrt(variance);
	error = CLAMP(error, -bound, bound);
	for (i = 0; i < n; i++) {
		struct pair *pair = find_pair(table, latency_sensitive_image,
					      uses[i].image);
		double gain = pair->variance * uses[i].cpus / variance;

		pair->coefficient = CLAMP(pair->coefficient + gain * error, 0,
					  COEFFICIENT_MAX);
		pair->variance *= 1 - gain * uses[i].cpus;
		pair->variance += DRIFT_VARIANCE;
	}
}
