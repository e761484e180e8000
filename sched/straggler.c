#include "internal.h"

/*
 * Stragglers among best-effort tasks: a step ends with its slowest task, so a
 * task that gets few CPUs on its VM can make a wide job miss its objective
 * although its other tasks are done early. Addresses steps of 10 to 30 tasks
 * beside latency-sensitive tasks whose load changes within seconds.
 *
 * The end of a task is projected from its progress and the CPUs that it uses
 * now. It is moved if it would end much earlier on another VM, whatever the
 * objective of its job: the steps after it are only estimated, and on its VM it
 * takes CPUs and headroom from others.
 */

/** A task with at most this part of its CPUs is starved. */
#define STARVED_SHARE 0.5

/** Gain from which a move is worth its stop, its restart and the wait for a
 * place. */
#define MIN_GAIN_MS 1200

/** Age from which the CPUs in use were measured without the task's start. */
#define MIN_AGE_MS 1000

/** Progress from which a task stays, since it is nearly done. */
#define MAX_PERCENT 90

/** CPU share expected on the other VM. */
#define OTHER_SHARE 0.8

/** Lower bound of a CPU share in a projection. */
#define MIN_SHARE 0.05

gboolean sch_straggler_should_move(const struct sch_straggler *straggler)
{
	double share = CLAMP(straggler->cpu_share, MIN_SHARE, 1);
	double here_ms = straggler->remaining_ms / share;

	return straggler->saves_progress && share <= STARVED_SHARE &&
	       straggler->percent < MAX_PERCENT &&
	       straggler->age_ms >= MIN_AGE_MS &&
	       here_ms - straggler->remaining_ms >= MIN_GAIN_MS;
}

static void log_move(const struct sch_run *run,
		     const struct sch_straggler *straggler)
{
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID",
			 run->task->job->id, "VM", run->vm->name, "MESSAGE",
			 "%s is moved: at %u %%, needs %.0f ms with all its "
			 "CPUs and has %.2f of them",
			 run->name, run->percent, straggler->remaining_ms,
			 straggler->cpu_share);
}

gboolean sch_is_straggler(struct sch *s, const struct sch_run *run)
{
	const struct Rp__StepSpec *step = run->task->instance->step;
	struct sch_straggler straggler = {
		.percent = run->percent,
		.age_ms = s->now_ms - run->state_ms,
		.saves_progress = step->checkpoints,
	};

	if (!step->fills || step->gang || run->state != SCH_RUN_RUNNING ||
	    run->stopping || run->task->n_runs > 1 || !run->min_share_met_ms ||
	    step->need->cpu_milli <= 0)
		return FALSE;
	straggler.remaining_ms = (double)(100 - MIN(run->percent, 100)) / 100 *
				 (double)sch_expected_ms(s, run);
	straggler.cpu_share = run->used_cpus * 1000 /
			      (double)step->need->cpu_milli;
	if (!sch_straggler_should_move(&straggler) ||
	    !sch_place_has_better(s, run, OTHER_SHARE))
		return FALSE;
	s->stats.stragglers++;
	log_move(run, &straggler);
	return TRUE;
}
