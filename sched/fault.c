#include "internal.h"

/* Faults of workers, and their quarantine. */

/**
 * A worker is quarantined after QUARANTINE_FAULTS faults in a row, for
 * QUARANTINE_MS; each further fault doubles that up to QUARANTINE_MAX_MS.
 */
#define QUARANTINE_FAULTS 2
#define QUARANTINE_MS 3000
#define QUARANTINE_MAX_MS 24000

void sch_vm_fault(struct sch *s, struct sch_vm *vm, struct sch_job *job,
		  gint64 started_ms)
{
	gint64 quarantine_ms;

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
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "VM", vm->name,
			 "MESSAGE",
			 "quarantined for %" G_GINT64_FORMAT
			 " ms after %u faults in a row",
			 quarantine_ms, vm->worker_faults);
}

void sch_vm_clear_faults(struct sch_vm *vm)
{
	vm->worker_faults = 0;
	vm->last_fault_job = NULL;
	vm->quarantine_until_ms = 0;
	vm->quarantine_from_ms = 0;
}
