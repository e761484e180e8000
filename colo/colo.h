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
#define COLO_LIMIT 0.8

struct colo_table;

struct colo_table *colo_table_new(void);
void colo_table_free(struct colo_table *table);

/**
 * Number of an image in the table, by which the other functions know it: pairs
 * are looked up for each candidate worker of each task. Images beyond a bound
 * share one number.
 */
guint colo_image(struct colo_table *table, const char *name);
const char *colo_image_name(const struct colo_table *table, guint image);

/** Slope of a pair of images, per processor. */
double colo_slope(const struct colo_table *table, guint serving, guint filling);
void colo_set_slope(struct colo_table *table, guint serving, guint filling,
		    double slope);
/** FALSE if the pair was never seen. */
gboolean colo_is_known(const struct colo_table *table, guint serving,
		       guint filling);

/** Calls fn for each pair that is known. */
void colo_foreach(const struct colo_table *table,
		  void (*fn)(void *ctx, guint serving, guint filling,
			     double slope),
		  void *ctx);

/** Processors that the tasks of one filling image use on a VM. */
struct colo_use {
	guint image;
	double cpus;
};

/** State of one task that serves; all zero at its start. */
struct colo_serving {
	/** Own latency relative to the target; 0 if not known yet. */
	double base;
	/** Last latency relative to the target, and the stretch that the slopes
	 * gave for it. */
	double ratio;
	double stretch;
	/**
	 * Own latency as the tasks tell that share the load with this one; 0 if
	 * there are none.
	 */
	double sibling_base;
};

/** Stretch of the serving image by the uses, 0 for none. */
double colo_stretch(const struct colo_table *table, guint serving,
		    const struct colo_use *uses, size_t n);

/** Largest stretch with which the task stays below its limit. */
double colo_room(const struct colo_serving *serving);

/** Takes a latency, relative to the target, and the stretch by what ran beside
 * the task. */
void colo_track(struct colo_serving *serving, double ratio, double stretch);

/** Learns slopes from a latency and the own latency, both above 0 and relative
 * to the target; each image is in uses once. */
void colo_learn(struct colo_table *table, guint image, double base,
		double ratio, const struct colo_use *uses, size_t n);

#endif
