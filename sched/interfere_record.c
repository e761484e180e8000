#include "internal.h"

/*
 * Record of the interference table. Agents know the coefficients of the images
 * on their VMs, and a new leader merges them; when all processes lose power at
 * once only the store has them, and until each pair is measured again
 * best-effort tasks start beside the latency-sensitive ones that they slow.
 */

/** Interval of writes. A loss of power costs what was learned since. */
#define WRITE_INTERVAL_MS 10000

/** Bound on the record's size; pairs with higher variances are left out. */
#define MAX_RECORD_BYTES 16384

/** A pair with a higher variance is hardly measured: that of a pair without
 * any measurement is 4e-4. */
#define MAX_VARIANCE 2e-4

/** A pair with a longer image name is left out. */
#define MAX_NAME_BYTES 256

struct collect_ctx {
	const struct colo_table *colo;
	/** Of struct Rp__ImagePair. */
	GPtrArray *pairs;
};

/* Wire names: see sch_interference_add_orders(). */
static void add_pair(void *ctx, guint latency_sensitive_image,
		     guint best_effort_image, double coefficient)
{
	struct collect_ctx *to = ctx;
	const char *sensitive = colo_image_name(to->colo,
						latency_sensitive_image);
	const char *best_effort = colo_image_name(to->colo, best_effort_image);
	double variance = colo_variance(to->colo, latency_sensitive_image,
					best_effort_image);
	struct Rp__ImagePair *pair;

	if (variance > MAX_VARIANCE || strlen(sensitive) > MAX_NAME_BYTES ||
	    strlen(best_effort) > MAX_NAME_BYTES)
		return;
	pair = g_malloc(sizeof(*pair));
	rp__image_pair__init(pair);
	wire_set_string(&pair->serving, sensitive);
	wire_set_string(&pair->filling, best_effort);
	pair->slope = coefficient;
	pair->variance = variance;
	g_ptr_array_add(to->pairs, pair);
}

/* The best known pairs first; names decide between equals, so that the record
 * does not depend on addresses. */
static int compare_pairs(gconstpointer a, gconstpointer b)
{
	const struct Rp__ImagePair *x = *(struct Rp__ImagePair *const *)a;
	const struct Rp__ImagePair *y = *(struct Rp__ImagePair *const *)b;
	int order;

	if (x->variance != y->variance)
		return x->variance < y->variance ? -1 : 1;
	order = strcmp(x->serving, y->serving);
	return order ? order : strcmp(x->filling, y->filling);
}

static void free_pair(gpointer data)
{
	rp__image_pair__free_unpacked(data, NULL);
}

GBytes *sch_interference_record(struct sch *s)
{
	g_autoptr(GPtrArray) pairs = g_ptr_array_new_with_free_func(free_pair);
	struct collect_ctx to = { .colo = s->colo, .pairs = pairs };
	struct Rp__StepInterference record;
	size_t len = 0;
	guint8 *data;

	if (s->interference_written_ms &&
	    s->now_ms < s->interference_written_ms + WRITE_INTERVAL_MS)
		return NULL;
	s->interference_written_ms = s->now_ms;
	colo_foreach_pair(s->colo, add_pair, &to);
	if (!pairs->len)
		return NULL;
	g_ptr_array_sort(pairs, compare_pairs);
	rp__step_interference__init(&record);
	record.pairs = (struct Rp__ImagePair **)pairs->pdata;
	while (record.n_pairs < pairs->len && len <= MAX_RECORD_BYTES) {
		record.n_pairs++;
		len = rp__step_interference__get_packed_size(&record);
	}
	if (len > MAX_RECORD_BYTES) {
		record.n_pairs--;
		len = rp__step_interference__get_packed_size(&record);
	}
	data = g_malloc(len);
	rp__step_interference__pack(&record, data);
	return g_bytes_new_take(data, len);
}

int sch_load_interference(struct sch *s, const void *data, size_t len)
{
	struct Rp__StepInterference *record =
		rp__step_interference__unpack(NULL, len, data);
	size_t i;

	if (!record)
		return -1;
	for (i = 0; i < record->n_pairs; i++)
		colo_restore(s->colo,
			     colo_image_id(s->colo, record->pairs[i]->serving),
			     colo_image_id(s->colo, record->pairs[i]->filling),
			     record->pairs[i]->slope,
			     record->pairs[i]->variance);
	g_message("read %zu interference coefficients", record->n_pairs);
	rp__step_interference__free_unpacked(record, NULL);
	return 0;
}
