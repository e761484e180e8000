#include "internal.h"

/* Routing of calls to queues, and measured durations of each queue's tasks. */

struct sch_queue *sch_queue_new(void)
{
	return g_new0(struct sch_queue, 1);
}

void sch_queue_free(struct sch_queue *queue)
{
	if (!queue)
		return;
	g_free(queue->name);
	g_free(queue->host);
	g_free(queue->path_prefix);
	g_free(queue->pool);
	g_free(queue);
}

struct sch_queue *sch_queue_route(const struct sch *s, const char *host,
				  const char *path, const char **rest)
{
	struct sch_queue *best = NULL;
	size_t best_len = 0;
	guint i;

	for (i = 0; s->queues && i < s->queues->len; i++) {
		struct sch_queue *queue = s->queues->pdata[i];
		size_t len = strlen(queue->path_prefix);

		if (g_ascii_strcasecmp(queue->host, host) ||
		    strncmp(queue->path_prefix, path, len) ||
		    (best && len <= best_len))
			continue;
		best = queue;
		best_len = len;
	}
	if (best)
		*rest = path + best_len;
	return best;
}

struct sch_queue *sch_queue_find(const struct sch *s, const char *name)
{
	return s->queues ? g_hash_table_lookup(s->queue_names, name) : NULL;
}

struct sch_queue_durations *sch_queue_durations(struct sch *s,
						const char *queue)
{
	struct sch_queue_durations *durations =
		g_hash_table_lookup(s->durations, queue);

	if (!durations) {
		durations = g_new0(struct sch_queue_durations, 1);
		g_hash_table_insert(s->durations, g_strdup(queue), durations);
	}
	return durations;
}

/** Minimum number of measured durations before their mean may replace the
 * declared ones. */
#define MIN_SAMPLES 8

/** Weight of the newest duration in the moving averages. */
#define SAMPLE_WEIGHT 0.1

/** Mean relative error of the declared durations above which the measured mean
 * replaces them. */
#define ESTIMATE_MAX_ERROR 0.4

void sch_queue_durations_add(struct sch_queue_durations *durations,
			     gint64 declared_ms, double took_ms)
{
	double weight = durations->n_samples ? SAMPLE_WEIGHT : 1;
	double error = declared_ms > 0
			       ? ABS(took_ms - (double)declared_ms) / took_ms
			       : 1;

	durations->mean_duration_ms += weight *
				       (took_ms - durations->mean_duration_ms);
	durations->estimate_error +=
		weight * (MIN(error, 1) - durations->estimate_error);
	durations->n_samples++;
}

gint64
sch_queue_durations_expect_ms(const struct sch_queue_durations *durations,
			      gint64 declared_ms)
{
	if (durations->n_samples >= MIN_SAMPLES &&
	    durations->estimate_error > ESTIMATE_MAX_ERROR)
		return (gint64)durations->mean_duration_ms;
	return declared_ms;
}
