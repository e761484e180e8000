#include "internal.h"

/*
 * Faults of workers, and for how long they keep work away. A worker may fail
 * all that it is given for some seconds, and is sound again after that; only a
 * task that it gets can show which. So each of these states ends by itself:
 *
 * - A task of which the attempts are counted does not return to a worker with a
 *   fault before the pause of its failures is over. That is counted from the
 *   worker's last fault, but ends at the latest when twice the pause has passed
 *   since the task failed: other tasks may fail by their own fault without end.
 * - A quarantined worker gets nothing until the quarantine ends, but for work
 *   that could run on no other worker even if all were idle: that waits for the
 *   shortest pause only.
 * - Faults count while they are at most FAULT_MEMORY_MS apart. A task that is
 *   done on the worker ends all of it.
 */

/**
 * A worker is quarantined after QUARANTINE_FAULTS faults in a row, for
 * QUARANTINE_MS; each further fault doubles that up to QUARANTINE_MAX_MS.
 */
#define QUARANTINE_FAULTS 2
#define QUARANTINE_MS 3000
#define QUARANTINE_MAX_MS 24000

/**
 * Pause of a task after its first failure, which doubles with each further one.
 * Just below the 3 s after which a job without a run counts as lost. Three
 * attempts outlast a worker that fails all its tasks for 7 s.
 */
#define RETRY_PAUSE_MS 2500
#define RETRY_PAUSE_MAX_MS 20000

/** Above the longest quarantine, so that a worker that fails each time it is
 * tried stays quarantined. */
#define FAULT_MEMORY_MS 60000

void sch_vm_fault(struct sch *s, struct sch_vm *vm, struct sch_job *job,
		  gint64 started_ms)
{
	gint64 quarantine_ms;

	if (!sch_vm_faults(s, vm))
		sch_vm_clear_faults(vm);
	vm->last_fault_ms = s->now_ms;
	/* Repeated failures of one job count once, since the job may cause
	 * them. Runs that started before the quarantine fail for the reason
	 * that led to it. */
	if ((vm->worker_faults && vm->last_fault_job == job) ||
	    started_ms < vm->quarantine_from_ms)
		return;
	vm->last_fault_job = job;
	vm->worker_faults++;
	if (vm->worker_faults < QUARANTINE_FAULTS)
		return;
	quarantine_ms = QUARANTINE_MS
			<< MIN(vm->worker_faults - QUARANTINE_FAULTS, 3);
	vm->quarantine_until_ms = s->now_ms +
				  MIN(quarantine_ms, QUARANTINE_MAX_MS);
	vm->quarantine_from_ms = s->now_ms;
	s->quarantine_until_ms = MAX(s->quarantine_until_ms,
				     vm->quarantine_until_ms);
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "VM", vm->name,
			 "MESSAGE",
			 "quarantined for %" G_GINT64_FORMAT
			 " ms after %u faults in a row",
			 quarantine_ms, vm->worker_faults);
}

guint sch_vm_faults(const struct sch *s, const struct sch_vm *vm)
{
	return s->now_ms < vm->last_fault_ms + FAULT_MEMORY_MS
		       ? vm->worker_faults
		       : 0;
}

gboolean sch_vm_is_quarantined(const struct sch *s, const struct sch_vm *vm)
{
	return s->now_ms < vm->quarantine_until_ms;
}

gboolean sch_vm_may_be_tried(const struct sch *s, const struct sch_vm *vm)
{
	return s->now_ms >= vm->last_fault_ms + RETRY_PAUSE_MS;
}

gboolean sch_task_avoids(const struct sch *s, const struct sch_task *task,
			 const struct sch_vm *vm)
{
	gint64 pause_ms;

	/* Failures of long-running tasks have no limit. */
	if (!task->failures || task->instance->step->lasts ||
	    !sch_vm_faults(s, vm))
		return FALSE;
	pause_ms = MIN((gint64)RETRY_PAUSE_MS << MIN(task->failures - 1, 10),
		       RETRY_PAUSE_MAX_MS);
	return s->now_ms < vm->last_fault_ms + pause_ms &&
	       s->now_ms < task->last_failure_ms + 2 * pause_ms;
}

void sch_vm_clear_faults(struct sch_vm *vm)
{
	vm->worker_faults = 0;
	vm->last_fault_job = NULL;
	vm->quarantine_until_ms = 0;
	vm->quarantine_from_ms = 0;
}
