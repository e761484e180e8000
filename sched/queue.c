#include "internal.h"

/* Which queue a call belongs to, and what is known of each queue's work. */

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

struct sch_demand *sch_demand(struct sch *s, const char *queue)
{
	struct sch_demand *demand = g_hash_table_lookup(s->demands, queue);

	if (!demand) {
		demand = g_new0(struct sch_demand, 1);
		g_hash_table_insert(s->demands, g_strdup(queue), demand);
	}
	return demand;
}

/** Durations after which an estimate is trusted or not. */
#define TRUSTED_SAMPLES 8

/** Weight of the newest duration. */
#define SAMPLE_WEIGHT 0.1

/** Mean error of estimates, in parts, above which the mean is better. */
#define ESTIMATE_MAX_ERROR 0.4

void sch_demand_sample(struct sch_demand *demand, gint64 declared_ms,
		       double took_ms)
{
	double weight = demand->n_timed ? SAMPLE_WEIGHT : 1;
	double error = declared_ms > 0
			       ? ABS(took_ms - (double)declared_ms) / took_ms
			       : 1;

	demand->mean_ms += weight * (took_ms - demand->mean_ms);
	demand->error += weight * (MIN(error, 1) - demand->error);
	demand->n_timed++;
}

gint64 sch_demand_expect_ms(const struct sch_demand *demand, gint64 declared_ms)
{
	if (demand->n_timed >= TRUSTED_SAMPLES &&
	    demand->error > ESTIMATE_MAX_ERROR)
		return (gint64)demand->mean_ms;
	return declared_ms;
}
