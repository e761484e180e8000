#include "internal.h"

/*
 * Placement: on which VMs the tasks of a step start. Each pass goes over all
 * steps with idle tasks. A step that did not fit anywhere tries only the VMs
 * that have changed since, and all of them at longer intervals, so that a pass
 * costs little when many steps wait.
 *
 * A pass has a bound on the VMs that it looks at, for loads of very many or
 * very wide steps that wait. Half of it goes to the most urgent steps, the
 * other half to the others by turns.
 */

/** Minimum interval between passes. */
#define PLACE_INTERVAL_MS 15

/**
 * Interval at which a step tries all VMs, and interval of passes without an
 * event: coefficients and latencies change, and a best-effort task may start
 * anywhere after MAX_INTERFERENCE_WAIT_MS.
 */
#define FULL_SCAN_INTERVAL_MS 250

/** Bound on the VMs that a pass looks at; some milliseconds on a small entry. A
 * step that is begun is not cut short, but for its retries. */
#define MAX_LOOKS 50000

/** Slowness above which SLOW_PENALTY applies, and no speculative run is placed
 * on the worker. */
#define SLOW_FACTOR 1.8

/** Age at which a measured slowness is ignored. */
#define SLOWNESS_TTL_MS 6000

/** Best-effort tasks wait for a VM where they can have this CPU share. */
#define MIN_BEST_EFFORT_SHARE 0.65

/**
 * Best-effort tasks: weight of the CPU demand in the placement score. That of
 * the interference demand is 1, since headroom is scarcer than CPU.
 */
#define CPU_WEIGHT 0.3

/*
 * Terms of the placement score; the VM with the lowest score is chosen.
 */

/** Latency-sensitive tasks: for each such task of another image on the VM. With
 * fewer images on a VM, more best-effort images are harmless there. */
#define OTHER_IMAGE_PENALTY 1.0

/** Latency-sensitive tasks: multiplied by the reserved part of the VM's CPUs.
 * Negative, since VMs with little free CPU are preferred. */
#define FULL_VM_WEIGHT (-2.0)

/**
 * Latency-sensitive tasks: for a VM without any, divided by the number of such
 * VMs. Best-effort tasks run there undisturbed, so the fewer are left, the
 * sooner images share a VM: a small pool keeps some VMs free, and a large one
 * has room for each image on VMs of its own.
 */
#define LAST_FREE_VM_PENALTY 20.0

/** Other long-running tasks: for each task of the same step on the VM. */
#define SAME_STEP_PENALTY 4.0

/** For a VM outside the rack of the data: tasks take 50 % longer there. */
#define OFF_RACK_PENALTY 2.0

/** For a worker above SLOW_FACTOR, multiplied by its slowness. */
#define SLOW_PENALTY 4.0

/** For a worker that is cold after its start, multiplied by the seconds left,
 * where zones can be evacuated: workers of a zone that is returned to service
 * are cold. More than the difference that free CPUs make from 0.5 s on. */
#define COLD_PENALTY 2.0

/** For each of the worker's faults in a row. */
#define FAULT_PENALTY 2.0

/** For the VM where the task failed last. */
#define FAILED_HERE_PENALTY 8.0

/** For the VM from which the task was moved: the reason may still hold, and the
 * VM looks emptier without the task. */
#define MOVED_FROM_PENALTY 8.0

/**
 * A best-effort task may take at most this part of the headroom of a
 * latency-sensitive image: with more, a small rise of that image's load would
 * stop it.
 */
#define MAX_HEADROOM_PART 0.4

/** Best-effort tasks that start wherever they fit: for a VM on which a
 * latency-sensitive task is over its target. Others do not start there: the
 * coefficients may be wrong, and a new task works at full share at first. */
#define OVER_TARGET_PENALTY 10.0

/**
 * While a job has no runs, its best-effort tasks wait up to this long after
 * their step became ready for a VM where they have enough CPU and interfere
 * little. Then one starts on any VM where it fits, so that the job makes some
 * progress.
 */
#define MAX_INTERFERENCE_WAIT_MS 1500

/* TRUE if a task of the step fits beside what is reserved. */
static gboolean fits_beside(const struct sch_amount *reserved,
			    const struct sch_vm *vm,
			    const struct Rp__StepSpec *step)
{
	gint64 cpu = step->fills ? 0 : step->need->cpu_milli;

	return reserved->cpu_milli + cpu <= vm->capacity.cpu_milli &&
	       reserved->memory_bytes + step->need->memory_bytes <=
		       vm->capacity.memory_bytes &&
	       reserved->accelerators + step->need->accelerators <=
		       vm->capacity.accelerators;
}

static gboolean has_capacity(const struct sch_vm *vm,
			     const struct Rp__StepSpec *step)
{
	return fits_beside(&vm->reserved, vm, step);
}

static guint count_on(const struct sch_vm *vm,
		      const struct sch_step_instance *instance)
{
	guint n = 0;
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		const struct sch_run *run = vm->runs->pdata[i];

		if (run->task->instance == instance)
			n++;
	}
	return n;
}

/* Whether the VM may run another task of the step if it is usable, free
 * capacity aside. */
static gboolean is_suitable(const struct sch_vm *vm,
			    const struct sch_step_instance *instance,
			    const char *pool, const char *rack)
{
	const struct Rp__StepSpec *step = instance->step;

	return !strcmp(vm->pool, pool) &&
	       (!rack || !g_strcmp0(vm->rack, rack)) &&
	       (!*step->label || sch_vm_has_label(vm, step->label)) &&
	       (!step->max_per_vm || count_on(vm, instance) < step->max_per_vm);
}

/* Counts the latency-sensitive tasks of other images on the VM. */
static guint count_other_sensitive(const struct sch_vm *vm, const char *image)
{
	guint n = 0;
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		const struct Rp__StepSpec *step =
			((struct sch_run *)vm->runs->pdata[i])
				->task->instance->step;

		if (step->target_ms && strcmp(step->image, image))
			n++;
	}
	return n;
}

/* Placement score of a VM, lower is better. For best-effort tasks, can_place()
 * adds the terms for their demand. */
static double base_score(const struct sch *s, const struct sch_vm *vm,
			 const struct sch_step_instance *instance)
{
	const struct Rp__StepSpec *step = instance->step;
	double capacity = (double)MAX(vm->capacity.cpu_milli, 1);
	double reserved = (double)vm->reserved.cpu_milli / capacity;
	double score;

	if (step->target_ms) {
		score = OTHER_IMAGE_PENALTY *
				count_other_sensitive(vm, step->image) +
			FULL_VM_WEIGHT * reserved;
		if (!vm->n_latency_sensitive)
			score += LAST_FREE_VM_PENALTY /
				 MAX(s->n_vms_without_sensitive, 1);
	} else if (step->lasts) {
		/* Spread out, so that the loss of a VM ends few tasks of a
		 * step. */
		score = SAME_STEP_PENALTY * count_on(vm, instance) + reserved;
	} else if (step->fills) {
		score = 0;
	} else {
		/* Prefer VMs with little free CPU, so that others keep capacity
		 * for large tasks. */
		score = 1 - reserved;
	}
	if (*step->data_rack && g_strcmp0(vm->rack, step->data_rack))
		score += OFF_RACK_PENALTY;
	if (vm->slowness > SLOW_FACTOR &&
	    s->now_ms < vm->slowness_updated_ms + SLOWNESS_TTL_MS)
		score += SLOW_PENALTY * vm->slowness;
	/* Only short tasks avoid cold workers: others outlast that, or are not
	 * urgent. */
	if (!step->target_ms && !step->lasts && !step->fills)
		score += COLD_PENALTY * sch_zone_cold_s(s, vm);
	return score + FAULT_PENALTY * sch_vm_faults(s, vm);
}

/* TRUE if a task of the step could start on a VM that is not quarantined once
 * enough of what runs there has ended. */
static gboolean has_sound_vm(const struct sch *s,
			     const struct sch_step_instance *instance,
			     const char *pool)
{
	static const struct sch_amount nothing = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct sch_vm *vm = value;

		if (sch_vm_is_usable(s, vm) &&
		    fits_beside(&nothing, vm, instance->step) &&
		    is_suitable(vm, instance, pool, NULL))
			return TRUE;
	}
	return FALSE;
}

/* TRUE if tasks of the step to be placed may start on the VM. */
static gboolean may_use(const struct sch *s, const struct sch_vm *vm)
{
	return s->only_quarantined ? sch_vm_is_reachable(s, vm) &&
					     sch_vm_may_be_tried(s, vm)
				   : sch_vm_is_usable(s, vm);
}

/* Sets what can_place(), base_score() and spreading need for a step; to be
 * called before them. */
static void prepare_scores(struct sch *s,
			   const struct sch_step_instance *instance,
			   const struct sch_queue *queue)
{
	GHashTableIter iter;
	gpointer value;

	s->only_quarantined = queue && s->now_ms < s->quarantine_until_ms &&
			      !has_sound_vm(s, instance, queue->pool);
	sch_spread_prepare(s, instance);
	s->n_vms_without_sensitive = 0;
	if (!instance->step->target_ms)
		return;
	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct sch_vm *vm = value;

		if (!vm->n_latency_sensitive && sch_vm_is_usable(s, vm))
			s->n_vms_without_sensitive++;
	}
}

/* TRUE if the task, when it is a best-effort one, starts wherever it fits; see
 * MAX_INTERFERENCE_WAIT_MS. */
static gboolean may_interfere(const struct sch *s, const struct sch_task *task)
{
	return !task->job->n_runs &&
	       s->now_ms > task->instance->ready_ms + MAX_INTERFERENCE_WAIT_MS;
}

/* Returns FALSE if a task of the step cannot start on the VM, else sets score.
 * A min_share of 0 also lifts the limit on interference. */
static gboolean can_place(struct sch *s,
			  const struct sch_step_instance *instance,
			  const struct sch_queue *queue, const char *rack,
			  double min_share, struct sch_vm *vm, double *score)
{
	struct sch_best_effort_demand demand;

	s->n_looks++;
	if (!has_capacity(vm, instance->step) || !may_use(s, vm) ||
	    !is_suitable(vm, instance, queue->pool, rack))
		return FALSE;
	*score = base_score(s, vm, instance);
	if (!instance->step->fills)
		return TRUE;
	sch_interference_demand(s, vm, instance, &demand);
	*score += demand.interference + CPU_WEIGHT * demand.cpu;
	if (demand.over_target)
		*score += OVER_TARGET_PENALTY;
	return demand.cpu_share >= min_share &&
	       (!min_share || (!demand.over_target &&
			       demand.interference <= MAX_HEADROOM_PART));
}

/* TRUE if packing of latency-sensitive tasks prefers neither VM but for its
 * free CPUs, so that spreading may decide between them. */
static gboolean is_equal_for_packing(const struct sch_task *task,
				     const struct sch_vm *a,
				     const struct sch_vm *b)
{
	const struct Rp__StepSpec *step = task->instance->step;

	return !step->target_ms ||
	       (!a->n_latency_sensitive == !b->n_latency_sensitive &&
		count_other_sensitive(a, step->image) ==
			count_other_sensitive(b, step->image));
}

/* Returns the index in s->placements, which is not empty, of the one with the
 * lowest score for the task, or one that spreads tasks better. */
static guint pick(const struct sch *s, const struct sch_task *task)
{
	const struct sch_placement *list =
		(const struct sch_placement *)s->placements->data;
	guint best = 0;
	guint spread;
	double spread_score;
	guint i;

	for (i = 1; i < s->placements->len; i++)
		if (list[i].score < list[best].score)
			best = i;
	if (!sch_spread_applies(s, task))
		return best;
	spread = best;
	spread_score = list[best].score +
		       sch_spread_penalty(s, task, list[best].vm);
	for (i = 0; i < s->placements->len; i++) {
		double score = list[i].score +
			       sch_spread_penalty(s, task, list[i].vm);

		if (score >= spread_score ||
		    !is_equal_for_packing(task, list[i].vm, list[best].vm))
			continue;
		spread = i;
		spread_score = score;
	}
	return spread;
}

/*
 * Returns the VM with the lowest score for a single task, or NULL. Used for
 * retries, speculative runs, gang members and tasks that may interfere, since
 * their rules differ from those of other tasks of their step.
 */
static struct sch_vm *choose(struct sch *s, const struct sch_task *task,
			     const char *rack)
{
	const struct sch_queue *queue = sch_queue_find(s, task->job->queue);
	double min_share = may_interfere(s, task) ? 0 : MIN_BEST_EFFORT_SHARE;
	GHashTableIter iter;
	gpointer value;

	prepare_scores(s, task->instance, queue);
	g_array_set_size(s->placements, 0);
	g_hash_table_iter_init(&iter, s->vms);
	while (queue && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sch_placement placement = { .vm = value };
		struct sch_vm *vm = placement.vm;

		if ((task->n_runs && task->runs[0]->vm == vm) ||
		    sch_task_avoids(s, task, vm) ||
		    !can_place(s, task->instance, queue, rack, min_share, vm,
			       &placement.score))
			continue;
		if (!g_strcmp0(vm->name, task->last_failed_vm))
			placement.score += FAILED_HERE_PENALTY;
		if (!g_strcmp0(vm->name, task->moved_from))
			placement.score += MOVED_FROM_PENALTY;
		g_array_append_val(s->placements, placement);
	}
	if (!s->placements->len)
		return NULL;
	return g_array_index(s->placements, struct sch_placement, pick(s, task))
		.vm;
}

static void log_try_after_faults(const struct sch *s,
				 const struct sch_task *task,
				 const struct sch_vm *vm)
{
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID",
			 task->job->id, "VM", vm->name, "MESSAGE",
			 "task %u of step %u, which failed %u times, goes to a "
			 "worker with %u faults%s, the last %" G_GINT64_FORMAT
			 " ms ago",
			 task->index, task->instance->number, task->failures,
			 sch_vm_faults(s, vm),
			 sch_vm_is_quarantined(s, vm) ? " in quarantine" : "",
			 s->now_ms - vm->last_fault_ms);
}

static void plan(struct sch *s, struct sch_task *task, struct sch_vm *vm,
		 guint32 attempt)
{
	if (sch_vm_faults(s, vm) &&
	    (task->failures || sch_vm_is_quarantined(s, vm)))
		log_try_after_faults(s, task, vm);
	sch_run_new(s, task, vm, attempt);
	sch_spread_add_run(s, task, vm);
	sch_job_mark_awaited(s, task->job);
}

static gboolean is_idle(const struct sch_task *task)
{
	return !task->done && !task->n_runs;
}

/* Returns how many tasks of the step fit on the VM by their resources, at most
 * max. */
static guint count_fitting(const struct sch_vm *vm,
			   const struct sch_step_instance *instance, guint max)
{
	const struct Rp__StepSpec *step = instance->step;
	const gint64 needs[] = { step->fills ? 0 : step->need->cpu_milli,
				 step->need->memory_bytes,
				 step->need->accelerators };
	const gint64 free[] = {
		vm->capacity.cpu_milli - vm->reserved.cpu_milli,
		vm->capacity.memory_bytes - vm->reserved.memory_bytes,
		vm->capacity.accelerators - vm->reserved.accelerators,
	};
	gint64 n = max;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(needs); i++)
		if (free[i] < 0)
			n = 0;
		else if (needs[i])
			n = MIN(n, free[i] / needs[i]);
	if (step->max_per_vm)
		n = MIN(n, (gint64)step->max_per_vm - count_on(vm, instance));
	return (guint)MAX(n, 0);
}

/* FALSE if the members of a gang cannot all fit, whatever their placement. */
static gboolean may_fit(struct sch *s, const struct sch_step_instance *instance,
			const struct sch_queue *queue, const char *rack)
{
	guint left = instance->n_tasks;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->vms);
	while (left && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct sch_vm *vm = value;

		s->n_looks++;
		if (may_use(s, vm) &&
		    is_suitable(vm, instance, queue->pool, rack))
			left -= count_fitting(vm, instance, left);
	}
	return !left;
}

static gboolean plan_gang_in(struct sch *s, struct sch_step_instance *instance,
			     const struct sch_queue *queue, const char *rack)
{
	g_autofree guint32 *attempts = NULL;
	guint32 attempt = 0;
	guint i;

	prepare_scores(s, instance, queue);
	if (!may_fit(s, instance, queue, rack))
		return FALSE;
	attempts = g_new(guint32, instance->n_tasks);
	for (i = 0; i < instance->n_tasks; i++) {
		attempts[i] = instance->tasks[i].attempts;
		attempt = MAX(attempt, attempts[i]);
	}
	for (i = 0; i < instance->n_tasks; i++) {
		struct sch_vm *vm = choose(s, &instance->tasks[i], rack);

		if (!vm)
			break;
		sch_run_new(s, &instance->tasks[i], vm, attempt + 1);
		sch_spread_add_run(s, &instance->tasks[i], vm);
	}
	if (i == instance->n_tasks) {
		sch_job_mark_awaited(s, instance->job);
		return TRUE;
	}
	while (i-- > 0)
		sch_run_unplan(s, instance->tasks[i].runs[0], attempts[i]);
	return FALSE;
}

/* Plans all members of a gang on VMs of one rack; FALSE if no rack has room. */
static gboolean plan_gang_in_rack(struct sch *s,
				  struct sch_step_instance *instance,
				  const struct sch_queue *queue)
{
	g_autoptr(GHashTable) tried = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct sch_vm *vm = value;

		if (vm->rack && g_hash_table_add(tried, vm->rack) &&
		    plan_gang_in(s, instance, queue, vm->rack))
			return TRUE;
	}
	return FALSE;
}

/* Returns the checkpoint of the last member that has one, or NULL. All members
 * are given the same checkpoint, and that of any member is valid for the whole
 * gang. */
static const char *gang_checkpoint(const struct sch_step_instance *instance)
{
	const char *checkpoint = NULL;
	guint i;

	for (i = 0; i < instance->n_tasks; i++)
		if (instance->tasks[i].checkpoint)
			checkpoint = instance->tasks[i].checkpoint;
	return checkpoint;
}

/* Counts and logs a step whose tasks found no VM, if one in an evacuated zone
 * has room for them; once until all its tasks have a run. */
static void note_awaited_zone(struct sch *s, struct sch_step_instance *instance,
			      const struct sch_queue *queue)
{
	GHashTableIter iter;
	gpointer value;

	if (!s->n_evacuated || instance->awaits_zone || !queue)
		return;
	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct sch_vm *vm = value;

		if (!sch_zone_is_evacuated(vm) ||
		    !sch_vm_is_usable_in_zone(s, vm) ||
		    !has_capacity(vm, instance->step) ||
		    !is_suitable(vm, instance, queue->pool, NULL))
			continue;
		instance->awaits_zone = TRUE;
		s->stats.steps_awaiting_zone++;
		g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID",
				 instance->job->id, "MESSAGE",
				 "step %u waits: %u tasks would fit only in "
				 "evacuated zones, such as %s",
				 instance->number, instance->n_idle,
				 vm->zone->name);
		return;
	}
}

/* Plans runs for all members of a gang, or for none. */
static void plan_gang(struct sch *s, const struct sch_candidate *c)
{
	struct sch_step_instance *instance = c->instance;
	g_autofree char *checkpoint = NULL;
	guint i;

	if (instance->n_idle < instance->n_tasks ||
	    (instance->scanned_vm_version >= s->last_vm_version &&
	     s->now_ms < instance->full_scan_ms + FULL_SCAN_INTERVAL_MS))
		return;
	instance->scanned_vm_version = s->last_vm_version;
	instance->full_scan_ms = s->now_ms;
	checkpoint = g_strdup(gang_checkpoint(instance));
	for (i = 0; checkpoint && i < instance->n_tasks; i++)
		sch_task_set_checkpoint(&instance->tasks[i], checkpoint);
	/* One rack is preferred, not required. */
	if ((instance->step->same_rack &&
	     plan_gang_in_rack(s, instance, c->queue)) ||
	    plan_gang_in(s, instance, c->queue, NULL))
		instance->awaits_zone = FALSE;
	else
		note_awaited_zone(s, instance, c->queue);
}

/* Sets s->placements to the VMs with a version above since where tasks of the
 * step may start. */
static void find_placements(struct sch *s,
			    const struct sch_step_instance *instance,
			    const struct sch_queue *queue, guint64 since)
{
	GHashTableIter iter;
	gpointer value;

	g_array_set_size(s->placements, 0);
	if (since >= s->last_vm_version)
		return;
	prepare_scores(s, instance, queue);
	g_hash_table_iter_init(&iter, s->vms);
	s->n_looks += g_hash_table_size(s->vms) / SCH_CHECKS_PER_LOOK;
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sch_placement placement = { .vm = value };

		if (placement.vm->version > since &&
		    can_place(s, instance, queue, NULL, MIN_BEST_EFFORT_SHARE,
			      placement.vm, &placement.score))
			g_array_append_val(s->placements, placement);
	}
}

/* Plans the task on the VM in s->placements with the lowest score. Updates that
 * VM's score, or removes it if no more tasks fit there. Returns FALSE if
 * s->placements is empty. */
static gboolean plan_best(struct sch *s, struct sch_task *task,
			  const struct sch_queue *queue)
{
	struct sch_placement *placement;
	guint best;

	if (!s->placements->len)
		return FALSE;
	best = pick(s, task);
	placement = &g_array_index(s->placements, struct sch_placement, best);
	plan(s, task, placement->vm, task->attempts + 1);
	if (!can_place(s, task->instance, queue, NULL, MIN_BEST_EFFORT_SHARE,
		       placement->vm, &placement->score))
		g_array_remove_index_fast(s->placements, best);
	return TRUE;
}

/* Plans the task by choose(); returns FALSE if it fits on no VM. */
static gboolean plan_choice(struct sch *s, struct sch_task *task)
{
	struct sch_vm *vm = choose(s, task, NULL);

	if (vm)
		plan(s, task, vm, task->attempts + 1);
	return vm != NULL;
}

static void plan_step(struct sch *s, const struct sch_candidate *c)
{
	struct sch_step_instance *instance = c->instance;
	gboolean all = s->now_ms >=
		       instance->full_scan_ms + FULL_SCAN_INTERVAL_MS;
	gboolean searched = FALSE;
	guint i;

	for (i = 0; i < instance->n_tasks; i++) {
		guint index = (instance->next_task + i) % instance->n_tasks;
		struct sch_task *task = &instance->tasks[index];

		if (!is_idle(task))
			continue;
		if (task->failures && s->n_looks >= MAX_LOOKS) {
			instance->next_task = index;
			break;
		}
		if (task->failures || task->moved_from ||
		    may_interfere(s, task)) {
			/* Retries have stricter rules, so later tasks may fit
			 * although this one does not. */
			if (!plan_choice(s, task) && !task->failures)
				break;
			searched = FALSE;
			continue;
		}
		if (!searched)
			find_placements(s, instance, c->queue,
					all ? 0 : instance->scanned_vm_version);
		searched = TRUE;
		if (!plan_best(s, task, c->queue))
			break;
	}
	if (i == instance->n_tasks) {
		instance->awaits_zone = FALSE;
		instance->next_task = 0;
		return;
	}
	instance->scanned_vm_version = s->last_vm_version;
	if (all) {
		instance->full_scan_ms = s->now_ms;
		sch_preempt(s, instance, c->queue->priority);
		note_awaited_zone(s, instance, c->queue);
	}
}

static void plan_candidate(struct sch *s, const GArray *candidates, guint i)
{
	const struct sch_candidate *c = &g_array_index(candidates,
						       struct sch_candidate, i);

	if (sch_job_has_ended(c->instance->job))
		return;
	if (c->instance->step->gang)
		plan_gang(s, c);
	else
		plan_step(s, c);
}

/* Plans what the bound on looks has left out, from candidate first on,
 * beginning where the last pass ended. */
static void plan_others(struct sch *s, const GArray *candidates, guint first)
{
	guint n = candidates->len - first;
	guint from = s->next_candidate >= first &&
				     s->next_candidate < candidates->len
			     ? s->next_candidate - first
			     : 0;
	guint i;

	for (i = 0; i < n && s->n_looks < MAX_LOOKS; i++)
		plan_candidate(s, candidates, first + (from + i) % n);
	s->next_candidate = first + (from + i) % n;
	s->place_due = s->place_due || i < n;
}

void sch_place(struct sch *s)
{
	g_autoptr(GArray) candidates = NULL;
	guint i;

	if (!s->queues ||
	    s->now_ms < s->last_place_ms + (s->place_due
						    ? PLACE_INTERVAL_MS
						    : FULL_SCAN_INTERVAL_MS))
		return;
	s->place_due = FALSE;
	s->last_place_ms = s->now_ms;
	s->n_looks = 0;
	candidates = sch_collect_candidates(s);
	for (i = 0; i < candidates->len && s->n_looks < MAX_LOOKS / 2; i++)
		plan_candidate(s, candidates, i);
	if (i < candidates->len)
		plan_others(s, candidates, i);
	else
		s->next_candidate = 0;
}

gboolean sch_place_has_better(struct sch *s, const struct sch_run *run,
			      double share)
{
	const struct sch_task *task = run->task;
	const struct sch_queue *queue = sch_queue_find(s, task->job->queue);
	GHashTableIter iter;
	gpointer value;
	double score;

	s->only_quarantined = FALSE;
	g_hash_table_iter_init(&iter, s->vms);
	while (queue && g_hash_table_iter_next(&iter, NULL, &value))
		if (value != run->vm && can_place(s, task->instance, queue,
						  NULL, share, value, &score))
			return TRUE;
	return FALSE;
}

void sch_place_speculative(struct sch *s, struct sch_run *run)
{
	struct sch_task *task = run->task;
	struct sch_vm *vm = choose(s, task, NULL);

	if (!vm || (vm->slowness > SLOW_FACTOR &&
		    s->now_ms < vm->slowness_updated_ms + SLOWNESS_TTL_MS))
		return;
	s->stats.speculative_runs++;
	plan(s, task, vm, task->attempts + 1);
}
