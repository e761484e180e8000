#ifndef COLO_H
#define COLO_H

#include <glib.h>

/*
 * Interference between tasks on one VM: how much the tail latency of a
 * latency-sensitive task grows with the CPUs that best-effort tasks use on the
 * same VM. It depends on the pair of images and is either negligible or large
 * for most pairs.
 *
 * Model: latency = baseline latency / (1 - interference), where interference is
 * the sum of coefficient x CPUs in use over the best-effort images, as in a
 * queue whose service time grows with contention. The coefficients are
 * estimated by a Kalman filter (Kalman, 1960) from measurements that each cover
 * half a second. It keeps the variance of each coefficient and no covariances,
 * so a prediction error is attributed to the pairs whose coefficients are least
 * certain. The baseline latency follows the task's load.
 */

/** Latency, relative to the target, below which placement and the CPU shares
 * keep the predicted latency of each task. */
#define COLO_LATENCY_LIMIT 0.8

struct colo_table;

struct colo_table *colo_table_new(void);
void colo_table_free(struct colo_table *table);

/**
 * Returns the id of the image in this table, adding the image if needed. The
 * other functions take ids since placement looks up pairs for each candidate
 * worker of each task. Images beyond the table's maximum get the id of the last
 * one, and so its coefficients and name. A name of more than 256 bytes is known
 * by its SHA-256 digest.
 */
guint colo_image_id(struct colo_table *table, const char *name);
/** Name of an id that colo_image_id() returned; belongs to the table. */
const char *colo_image_name(const struct colo_table *table, guint image);

/**
 * Interference that each CPU used by the best-effort image adds to the
 * latency-sensitive one; a default for a pair that is not known.
 */
double colo_coefficient(const struct colo_table *table,
			guint latency_sensitive_image, guint best_effort_image);
/** Sets a coefficient that another process estimated. */
void colo_set_coefficient(struct colo_table *table,
			  guint latency_sensitive_image,
			  guint best_effort_image, double coefficient);
/** Variance of the pair's coefficient; that of the default for a pair that is
 * not known. */
double colo_variance(const struct colo_table *table,
		     guint latency_sensitive_image, guint best_effort_image);
/** Sets a coefficient and its variance, both of which an earlier process
 * stored. */
void colo_restore(struct colo_table *table, guint latency_sensitive_image,
		  guint best_effort_image, double coefficient, double variance);
/** TRUE if the pair's coefficient was estimated or set. */
gboolean colo_is_known(const struct colo_table *table,
		       guint latency_sensitive_image, guint best_effort_image);

/** Calls fn for each known pair, in no particular order. */
void colo_foreach_pair(const struct colo_table *table,
		       void (*fn)(void *ctx, guint latency_sensitive_image,
				  guint best_effort_image, double coefficient),
		       void *ctx);

/** CPUs that one or more tasks of a best-effort image use on a VM. */
struct colo_cpu_use {
	guint image;
	double cpus;
};

/** Latency of one latency-sensitive task; all zero when the task starts. */
struct colo_latency_state {
	/** Baseline latency relative to the target; 0 if not known yet. */
	double baseline_ratio;
	/**
	 * Last latency relative to the target, and the interference that the
	 * coefficients predicted at that time.
	 */
	double latency_ratio;
	double predicted_interference;
	/**
	 * Baseline ratio derived from the replicas of the same job step, which
	 * share the load with this task; 0 if there are too few.
	 */
	double replica_baseline_ratio;
};

/** Predicted interference with the image; 0 if n is 0. */
double colo_interference(const struct colo_table *table,
			 guint latency_sensitive_image,
			 const struct colo_cpu_use *uses, size_t n);

/** Largest interference with which the task's latency stays below
 * COLO_LATENCY_LIMIT; 0 if the baseline latency alone exceeds it. */
double colo_headroom(const struct colo_latency_state *state);

/** Records a measured latency, relative to the target, and the interference
 * predicted for it, and updates the baseline latency. */
void colo_update_baseline(struct colo_latency_state *state,
			  double latency_ratio, double predicted_interference);

/**
 * Updates, from one measured latency, the coefficient of each pair of the
 * latency-sensitive image and an image in uses. Both ratios are relative to the
 * target and above 0; each image is in uses once.
 */
void colo_update_coefficients(struct colo_table *table,
			      guint latency_sensitive_image,
			      double baseline_ratio, double latency_ratio,
			      const struct colo_cpu_use *uses, size_t n);

#endif
