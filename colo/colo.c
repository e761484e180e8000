#include "colo.h"

#include <math.h>

/** Own latency of a task that was not measured yet, of its target. */
#define BASE_UNKNOWN 0.5

/** Slope of a pair that was never seen, and its variance: about one pair of
 * four has a slope of 0.03 to 0.06, the others have next to none. */
#define SLOPE_UNKNOWN 0.012
#define VARIANCE_UNKNOWN 4e-4
#define SLOPE_MAX 0.6

/** Variance of a slope that another process has learned. */
#define VARIANCE_TOLD 1e-4

/** What a slope may change from one sample to the next, as a variance. */
#define VARIANCE_DRIFT 1e-6

/** Variance of the stretch of one sample, given the slopes. */
#define VARIANCE_SAMPLE 0.01

/** Errors beyond so many standard deviations count as no more than that, since
 * single latencies are far off. */
#define ERROR_MAX_DEVIATIONS 2.0

/** Bounds on the stretch of a sample. */
#define STRETCH_MIN (-0.2)
#define STRETCH_MAX 0.95

/** Weight of a new sample for the own latency, with little and much beside. */
#define BASE_WEIGHT 0.3
#define BASE_WEIGHT_DISTURBED 0.05
#define DISTURBED_STRETCH 0.2

/** Latencies beyond this many targets tell no more. */
#define RATIO_MAX 8.0

struct pair {
	double slope;
	double variance;
};

/** Images that are told apart; the number of a pair has 16 bits for each. */
#define MAX_IMAGES 4096
#define IMAGE_BITS 16

struct colo_table {
	/** Name to number of an image, and back. */
	GHashTable *numbers;
	GPtrArray *names;
	/** Number of the pair to struct pair. */
	GHashTable *pairs;
};

struct colo_table *colo_table_new(void)
{
	struct colo_table *table = g_new0(struct colo_table, 1);

	table->numbers = g_hash_table_new(g_str_hash, g_str_equal);
	table->names = g_ptr_array_new_with_free_func(g_free);
	table->pairs = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return table;
}

void colo_table_free(struct colo_table *table)
{
	g_hash_table_unref(table->pairs);
	g_hash_table_unref(table->numbers);
	g_ptr_array_unref(table->names);
	g_free(table);
}

guint colo_image_id(struct colo_table *table, const char *name)
{
	gpointer number;
	char *copy;

	if (g_hash_table_lookup_extended(table->numbers, name, NULL, &number))
		return GPOINTER_TO_UINT(number);
	if (table->names->len == MAX_IMAGES)
		return MAX_IMAGES - 1;
	copy = g_strdup(name);
	g_hash_table_insert(table->numbers, copy,
			    GUINT_TO_POINTER(table->names->len));
	g_ptr_array_add(table->names, copy);
	return table->names->len - 1;
}

const char *colo_image_name(const struct colo_table *table, guint image)
{
	g_assert(image < table->names->len);
	return table->names->pdata[image];
}

static gpointer pair_key(guint serving, guint filling)
{
	return GUINT_TO_POINTER(serving << IMAGE_BITS | filling);
}

static struct pair *find(const struct colo_table *table, guint serving,
			 guint filling)
{
	return g_hash_table_lookup(table->pairs, pair_key(serving, filling));
}

static struct pair *find_or_add(struct colo_table *table, guint serving,
				guint filling)
{
	struct pair *pair = find(table, serving, filling);

	if (!pair) {
		pair = g_new0(struct pair, 1);
		pair->slope = SLOPE_UNKNOWN;
		pair->variance = VARIANCE_UNKNOWN;
		g_hash_table_insert(table->pairs, pair_key(serving, filling),
				    pair);
	}
	return pair;
}

double colo_coefficient(const struct colo_table *table, guint serving,
			guint filling)
{
	const struct pair *pair = find(table, serving, filling);

	return pair ? pair->slope : SLOPE_UNKNOWN;
}

gboolean colo_is_known(const struct colo_table *table, guint serving,
		       guint filling)
{
	return find(table, serving, filling) != NULL;
}

void colo_set_coefficient(struct colo_table *table, guint serving,
			  guint filling, double slope)
{
	struct pair *pair = find_or_add(table, serving, filling);

	pair->slope = CLAMP(slope, 0, SLOPE_MAX);
	pair->variance = MIN(pair->variance, VARIANCE_TOLD);
}

void colo_foreach_pair(const struct colo_table *table,
		       void (*fn)(void *ctx, guint serving, guint filling,
				  double slope),
		       void *ctx)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, table->pairs);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct pair *pair = value;
		guint number = GPOINTER_TO_UINT(key);

		fn(ctx, number >> IMAGE_BITS, number & ((1U << IMAGE_BITS) - 1),
		   pair->slope);
	}
}

double colo_interference(const struct colo_table *table, guint serving,
			 const struct colo_cpu_use *uses, size_t n)
{
	double stretch = 0;
	size_t i;

	for (i = 0; i < n; i++)
		stretch += colo_coefficient(table, serving, uses[i].image) *
			   uses[i].cpus;
	return stretch;
}

double colo_headroom(const struct colo_latency_state *serving)
{
	double base = serving->baseline_ratio > 0 ? serving->baseline_ratio
						  : BASE_UNKNOWN;

	return MAX(0, 1 - base / COLO_LATENCY_LIMIT);
}

void colo_update_baseline(struct colo_latency_state *serving, double ratio,
			  double stretch)
{
	double weight = stretch < DISTURBED_STRETCH ? BASE_WEIGHT
						    : BASE_WEIGHT_DISTURBED;
	double own;

	serving->latency_ratio = MIN(ratio, RATIO_MAX);
	serving->predicted_interference = MIN(stretch, STRETCH_MAX);
	if (ratio <= 0)
		return;
	own = MIN(serving->latency_ratio *
			  (1 - serving->predicted_interference),
		  1.0);
	if (serving->replica_baseline_ratio > 0)
		serving->baseline_ratio = serving->replica_baseline_ratio;
	else if (serving->baseline_ratio <= 0)
		serving->baseline_ratio = MIN(own, BASE_UNKNOWN);
	else
		serving->baseline_ratio += weight *
					   (own - serving->baseline_ratio);
}

void colo_update_coefficients(struct colo_table *table, guint image,
			      double base, double ratio,
			      const struct colo_cpu_use *uses, size_t n)
{
	double seen = CLAMP(1 - base / ratio, STRETCH_MIN, STRETCH_MAX);
	double error = seen - colo_interference(table, image, uses, n);
	double variance = VARIANCE_SAMPLE;
	double bound;
	size_t i;

	for (i = 0; i < n; i++)
		variance += find_or_add(table, image, uses[i].image)->variance *
			    uses[i].cpus * uses[i].cpus;
	bound = ERROR_MAX_DEVIATIONS * sqrt(variance);
	error = CLAMP(error, -bound, bound);
	for (i = 0; i < n; i++) {
		struct pair *pair = find(table, image, uses[i].image);
		double gain = pair->variance * uses[i].cpus / variance;

		pair->slope = CLAMP(pair->slope + gain * error, 0, SLOPE_MAX);
		pair->variance *= 1 - gain * uses[i].cpus;
		pair->variance += VARIANCE_DRIFT;
	}
}
