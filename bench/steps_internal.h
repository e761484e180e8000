#ifndef BENCH_STEPS_INTERNAL_H
#define BENCH_STEPS_INTERNAL_H

#include "runs/runs.h"
#include "steps.h"

#define STEPS_TICK_MS 10

/** Real properties of a job's tasks. */
struct steps_task_spec {
	enum steps_kind kind;
	gint64 cpu_milli;
	/** Time that the task takes with all its CPUs. */
	double duration_ms;
	guint image;
	guint32 target_ms;
};

struct steps_worker_run {
	char *task;
	guint32 attempt;
	struct steps_task_spec spec;
	/** Completed part of spec.duration_ms. */
	double done_ms;
	/** CPU share in force, 0 to 1; the one that the agent set last, and
	 * when that takes effect. */
	double cpu_share;
	double next_cpu_share;
	gint64 share_from_ms;
	/** Milli-CPUs in use, or latency in ms of a service task. */
	double measurement;
	/** Time at which an ordered stop takes effect, or 0. */
	gint64 stops_ms;
};

/** An unanswered worker call; a lease renewal waits for an end record. */
struct steps_call {
	struct runs_call *call;
	/** Earliest time of the answer. */
	gint64 at_ms;
};

struct steps_worker {
	gint64 cores;
	const struct steps_options *options;
	GPtrArray *runs;
	/** struct Rp__RunEnd, until acknowledged. */
	GPtrArray *ends;
	guint64 next_end;
	/** There is an end record that no answer has reported. */
	gboolean end_is_new;
};

void steps_worker_init(struct steps_worker *w,
		       const struct steps_options *options);
void steps_worker_clear(struct steps_worker *w);
void steps_worker_start(struct steps_worker *w, const struct runs_call *call,
			const struct steps_task_spec *spec);
void steps_worker_stop(struct steps_worker *w, const struct runs_call *call,
		       gint64 now_ms);
void steps_worker_set_cpu_share(struct steps_worker *w,
				const struct runs_call *call, gint64 now_ms);
/** Advances all runs by a tick; adds the services' run time to result. */
void steps_worker_tick(struct steps_worker *w, gint64 now_ms,
		       struct steps_result *result);
/** Fills in the run lists of a renewal; free with runs_answer_clear(). */
void steps_worker_lists(struct steps_worker *w, guint64 acked_through,
			struct runs_answer *answer);

#endif
