#ifndef BENCH_STEPS_INTERNAL_H
#define BENCH_STEPS_INTERNAL_H

#include "runs/runs.h"
#include "steps.h"

#define STEPS_TICK_MS 10

/** What a task is, by its job's step. */
struct steps_task_kind {
	enum steps_kind kind;
	gint64 cpu_milli;
	double work_ms;
	guint image;
	guint32 target_ms;
};

struct steps_worker_run {
	char *task;
	guint32 attempt;
	struct steps_task_kind is;
	double done_ms;
	/** Share of its pace that it was told, 0 to 1. */
	double pace;
	/** Processors used, or latency in ms of one that serves. */
	double figure;
	gint64 stops_ms;
};

/** A call that was carried out, or a hold that waits for an end. */
struct steps_call {
	struct runs_call *call;
	gint64 at_ms;
};

struct steps_worker {
	gint64 cores;
	GPtrArray *runs;
	/** Rp__RunEnd. */
	GPtrArray *ends;
	guint64 next_end;
	gboolean end_is_new;
};

void steps_worker_init(struct steps_worker *w, gint64 cores);
void steps_worker_clear(struct steps_worker *w);
void steps_worker_start(struct steps_worker *w, const struct runs_call *call,
			const struct steps_task_kind *is);
void steps_worker_stop(struct steps_worker *w, const struct runs_call *call,
		       gint64 now_ms);
void steps_worker_pace(struct steps_worker *w, const struct runs_call *call);
/** Lets the runs go on for a tick; adds the time of services to result. */
void steps_worker_tick(struct steps_worker *w, gint64 now_ms,
		       struct steps_result *result);
/** Answers a hold; clear with runs_answer_clear(). */
void steps_worker_lists(struct steps_worker *w, guint64 ended_through,
			struct runs_answer *answer);

#endif
