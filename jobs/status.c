#include "internal.h"

#include "../obs/obs.h"

/* Returns why the VM gets no new tasks, or NULL; left_ms is 0 if unknown. */
static const char *vm_refusal(const struct job *job, const struct vm *vm,
			      gint64 *left_ms)
{
	*left_ms = 0;
	if (!vm->conn && vm->fence_state == FENCE_WAIT) {
		*left_ms = MAX(vm->fence_until - job->now, 0);
		return "lost and fenced; its jobs wait until it has stopped "
		       "them";
	}
	if (!vm->conn)
		return "not connected";
	if (vm->draining)
		return "its agent is draining";
	if (job_vm_evacuated(job, vm))
		return job->evacuations_unread
			       ? "the evacuated zones were not read yet"
			       : "its zone is evacuated";
	if (vm->session <= vm->known_fence->highest_session)
		return "fenced, or without a first grant";
	if (job->now < vm->quarantine_until) {
		*left_ms = vm->quarantine_until - job->now;
		return "jobs failed there that succeed elsewhere";
	}
	return NULL;
}

void job_blocked_vms_json(const struct job *job, GString *out)
{
	const char *separator = "";
	GHashTableIter iter;
	struct vm *vm;

	g_string_append_c(out, '[');
	g_hash_table_iter_init(&iter, job->vms);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&vm)) {
		gint64 left_ms;
		const char *why = vm_refusal(job, vm, &left_ms);

		/* VMs without CPU and memory for tasks run only requests. */
		if (!why ||
		    (!vm->capacity.cpu_milli && !vm->capacity.memory_bytes))
			continue;
		g_string_append_printf(out, "%s{\"vm\":", separator);
		obs_json_string(out, vm->name, -1);
		g_string_append_printf(out,
				       ",\"for_ms\":%" G_GINT64_FORMAT
				       ",\"tasks\":%u,\"why\":",
				       left_ms, g_hash_table_size(vm->items));
		obs_json_string(out, why, -1);
		g_string_append_c(out, '}');
		separator = ",";
	}
	g_string_append_c(out, ']');
}
