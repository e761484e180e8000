#ifndef COLO_H
#define COLO_H

#include <glib.h>

/*
 * Interference between tasks of one VM: how much the tail latency of a task
 * that serves grows with the processors that tasks which fill use beside it.
 * It depends on the pair of images, and for most pairs it is either next to
 * nothing or a lot.
 *
 * Model: latency = own latency / (1 - sum of slope x processors), as in a queue
 * whose service time is stretched by what the others take. The slopes are
 * estimated from figures of the last half second by a Kalman filter (Kalman,
 * 1960) that keeps a variance for each slope and no covariances: an error is
 * put down to the pairs that are least known. The own latency follows the load
 * of the task.
 */

/** Part of the latency target that tasks are planned to stay below. */
#define COLO_LATENCY_LIMIT 0.8

struct colo_table;

struct colo_table *colo_table_new(void);
void colo_table_free(struct colo_table *table);

/**
 * Number of an image in the table, by which the other functions know it: pairs
 * are looked up for each candidate worker of each task. Images beyond a bound
 * share one number.
 */
guint colo_image_id(struct colo_table *table, const char *name);
const char *colo_image_name(const struct colo_table *table, guint image);

/** Of an image pair, per CPU that the best-effort image uses. */
double colo_coefficient(const struct colo_table *table, guint serving,
			guint filling);
void colo_set_coefficient(struct colo_table *table, guint serving,
			  guint filling, double slope);
/** FALSE if the pair was never seen. */
gboolean colo_is_known(const struct colo_table *table, guint serving,
		       guint filling);

/** Calls fn for each pair that is known. */
void colo_foreach_pair(const struct colo_table *table,
		       void (*fn)(void *ctx, guint serving, guint filling,
				  double slope),
		       void *ctx);

/** Processors that the tasks of one filling image use on a VM. */
struct colo_cpu_use {
	guint image;
	double cpus;
};

/** Of one latency-sensitive task; all zero at its start. */
struct colo_latency_state {
	/** Baseline latency relative to the target; 0 if not known yet. */
	double baseline_ratio;
	/** Last latency relative to the target, and the interference that the
	 * coefficients gave for it. */
	double latency_ratio;
	double predicted_interference;
	/**
	 * Baseline ratio derived from the replicas of the same step, which
	 * share the load with this task; 0 if there are too few.
	 */
	double replica_baseline_ratio;
};

/** Interference with the latency-sensitive image by the uses, 0 for none. */
double colo_interference(const struct colo_table *table, guint serving,
			 const struct colo_cpu_use *uses, size_t n);

/** Largest interference with which the task stays below its limit. */
double colo_headroom(const struct colo_latency_state *serving);

/** Takes a latency, relative to the target, and the interference by what ran
 * beside the task. */
void colo_update_baseline(struct colo_latency_state *serving, double ratio,
			  double stretch);

/** Learns from a latency and the baseline latency, both above 0 and relative to
 * the target; each image is in uses once. */
void colo_update_coefficients(struct colo_table *table, guint image,
			      double base, double ratio,
			      const struct colo_cpu_use *uses, size_t n);

#endif
