#include "internal.h"

/*
 * Stragglers among best-effort tasks: a step ends with its slowest task, so a
 * task that gets few CPUs on its VM can make a wide job miss its objective
 * although its other tasks are done early. Addresses steps of 10 to 30 tasks
 * beside latency-sensitive tasks whose load changes within seconds.
 *
 * The end of a task is projected from its progress and the CPUs that it has
 * used so far and uses now. It is moved if its job would miss its objective
 * where it is, and can meet it with the task on another VM.
 */

/** Time from the decision to move a task to its start on another VM: the stop
 * takes 100 ms, its end is reported and recorded, and so is the new start. */
#define MOVE_MS 500

/** A task is not moved for a shorter gain, as projections are uncertain. */
#define MIN_GAIN_MS 700

/** CPU share expected on the other VM. */
#define OTHER_SHARE 0.8

/** Without a checkpoint, a task may be moved while it has done this little. */
#define YOUNG_PERCENT 10

/** Work and progress from which the duration of a task is known from its own
 * progress. */
#define MIN_WORK_MS 300
#define MIN_PROGRESS_PERCENT 10

/** Lower bound of a CPU share in a projection. */
#define MIN_SHARE 0.02

double sch_straggler_remaining_ms(double work_ms, guint progress_percent,
				  guint percent, double expected_ms)
{
	double left = (double)(100 - MIN(percent, 100)) / 100;

	if (work_ms >= MIN_WORK_MS && progress_percent >= MIN_PROGRESS_PERCENT)
		expected_ms = work_ms * 100 / progress_percent;
	return expected_ms * left;
}

gboolean sch_straggler_should_move(const struct sch_straggler *straggler)
{
	double here_ms = straggler->remaining_ms /
			 MAX(straggler->cpu_share, MIN_SHARE);
	double left = straggler->saves_progress ? straggler->remaining_ms
						: straggler->full_ms;
	double there_ms = MOVE_MS + left / OTHER_SHARE;

	if (!straggler->saves_progress && straggler->percent > YOUNG_PERCENT)
		return FALSE;
	return here_ms > straggler->available_ms &&
	       there_ms <= straggler->available_ms &&
	       here_ms - there_ms >= MIN_GAIN_MS;
}

/* Durations are with all CPUs that the task declares. */
static double remaining_ms(const struct sch_run *run)
{
	return sch_straggler_remaining_ms(
		run->work_ms,
		run->percent - MIN(run->work_from_percent, run->percent),
		run->percent, run->task->instance->step->estimate_ms);
}

static void log_move(const struct sch_run *run,
		     const struct sch_straggler *straggler)
{
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID",
			 run->task->job->id, "VM", run->vm->name, "MESSAGE",
			 "%s is moved: at %u %%, needs %.0f ms with all its "
			 "CPUs and has %.2f of them; its job meets its "
			 "objective if it ends within %.0f ms",
			 run->name, run->percent, straggler->remaining_ms,
			 straggler->cpu_share, straggler->available_ms);
}

gboolean sch_is_straggler(struct sch *s, const struct sch_run *run)
{
	const struct sch_step_instance *instance = run->task->instance;
	const struct Rp__StepSpec *step = instance->step;
	struct sch_straggler straggler = {
		.percent = run->percent,
		.saves_progress = step->checkpoints,
		.full_ms = step->estimate_ms,
	};
	gint64 later_ms = instance->critical_path_ms -
			  MIN((gint64)step->estimate_ms,
			      instance->critical_path_ms);

	if (!step->fills || step->gang || run->state != SCH_RUN_RUNNING ||
	    run->stopping || run->task->n_runs > 1 || !run->min_share_met_ms ||
	    step->need->cpu_milli <= 0)
		return FALSE;
	straggler.remaining_ms = remaining_ms(run);
	straggler.cpu_share = run->used_cpus * 1000 /
			      (double)step->need->cpu_milli;
	straggler.available_ms =
		(double)(sch_order_objective_end_ms(s, instance) - later_ms -
			 s->now_ms);
	if (!sch_straggler_should_move(&straggler) ||
	    !sch_place_has_better(s, run, OTHER_SHARE))
		return FALSE;
	s->stats.stragglers++;
	log_move(run, &straggler);
	return TRUE;
}
