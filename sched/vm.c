#include "internal.h"

/*
 * What is known of each worker: its incarnation, its lease and what it runs.
 *
 * A run is over if its end is listed, if the worker has begun another
 * incarnation, or if its lease has certainly ended. The last is judged on the
 * worker's own clock: a reading c that arrived at time t means that the clock
 * shows at least c + 0.98 (now - t).
 */

/** Rate of the slowest worker's clock. */
#define CLOCK_RATE_MIN 0.98

/** For a lease that ends to take effect. */
#define LEASE_SLACK_MS 300

/** Orders are sent at least so often, since they extend the lease. */
#define ORDERS_INTERVAL_MS 900

/** Ends are confirmed after so long, several at once. */
#define ACK_DELAY_MS 100

/** Faults in a row after which a worker is avoided, and for how long. */
#define FAULTS_TO_AVOID 2
#define AVOID_MS 3000
#define AVOID_MAX_MS 24000

/** A worker that does not answer its agent for so long gets no new tasks. */
#define SILENT_MS 1200

static void free_ref(gpointer data)
{
	struct sch_run_ref *ref = data;

	g_free(ref->task);
	g_free(ref);
}

struct sch_vm *sch_vm_get(struct sch *s, const char *name)
{
	struct sch_vm *vm = g_hash_table_lookup(s->vms, name);

	if (vm)
		return vm;
	vm = g_new0(struct sch_vm, 1);
	vm->name = g_strdup(name);
	vm->labels = g_ptr_array_new_with_free_func(g_free);
	vm->runs = g_ptr_array_new();
	vm->strangers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      NULL);
	vm->starts = g_ptr_array_new();
	vm->stops = g_ptr_array_new_with_free_func(free_ref);
	vm->slowness = 1;
	g_hash_table_insert(s->vms, vm->name, vm);
	return vm;
}

void sch_vm_free(struct sch_vm *vm)
{
	guint i;

	for (i = 0; i < vm->runs->len; i++)
		sch_run_free(vm->runs->pdata[i]);
	g_ptr_array_unref(vm->runs);
	g_ptr_array_unref(vm->labels);
	g_ptr_array_unref(vm->starts);
	g_ptr_array_unref(vm->stops);
	g_hash_table_unref(vm->strangers);
	g_queue_clear_full(&vm->ends, g_free);
	sch_interfere_clear(vm);
	g_free(vm->worker_id);
	g_free(vm->pool);
	g_free(vm->rack);
	g_free(vm->name);
	g_free(vm);
}

static void lose_runs(struct sch *s, struct sch_vm *vm, const char *why)
{
	guint i = 0;
	guint lost = 0;

	while (i < vm->runs->len) {
		struct sch_run *run = vm->runs->pdata[i];

		/* Its record is about to be written; it is lost after that. */
		if (run->state == SCH_RUN_PLANNED && run->committing) {
			run->stopping = TRUE;
			i++;
			continue;
		}
		sch_run_remove(s, run);
		lost++;
	}
	if (!lost)
		return;
	s->stats.lost_runs += lost;
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "VM", vm->name,
			 "MESSAGE", "%u runs of worker %s are lost: %s", lost,
			 vm->worker_id, why);
}

/* Runs that were not ordered yet are dropped: the next incarnation may be
 * smaller. */
static void orphan_runs(struct sch *s, struct sch_vm *vm)
{
	guint i = 0;

	while (i < vm->runs->len) {
		struct sch_run *run = vm->runs->pdata[i];

		if (run->state != SCH_RUN_PLANNED) {
			run->orphan = TRUE;
			i++;
		} else if (run->committing) {
			run->stopping = TRUE;
			i++;
		} else {
			sch_run_remove(s, run);
		}
	}
}

void sch_vm_set_incarnation(struct sch *s, struct sch_vm *vm,
			    const char *worker_id, guint64 born_ms)
{
	if (vm->worker_id)
		orphan_runs(s, vm);
	g_free(vm->worker_id);
	vm->worker_id = g_strdup(worker_id);
	vm->born_ms = born_ms;
	vm->incarnation_ms = s->now_ms;
	vm->known = FALSE;
	vm->synced = FALSE;
	vm->adopted = FALSE;
	vm->draining = FALSE;
	vm->leaves_ms = 0;
	vm->clock_ms = 0;
	vm->clock_at_ms = 0;
	vm->lease_until_ms = 0;
	vm->ended_seen = 0;
	vm->ended_through = 0;
	sch_vm_clear_faults(vm);
	vm->slowness = 1;
	g_hash_table_remove_all(vm->strangers);
	g_ptr_array_set_size(vm->stops, 0);
	g_queue_clear_full(&vm->ends, g_free);
}

void sch_vm_up(struct sch *s, const char *name)
{
	struct sch_vm *vm = sch_vm_get(s, name);

	vm->connected = TRUE;
	vm->synced = FALSE;
	vm->orders_ms = 0;
}

void sch_vm_down(struct sch *s, const char *name)
{
	struct sch_vm *vm = sch_vm_get(s, name);

	vm->connected = FALSE;
	vm->synced = FALSE;
}

void sch_vm_changed(struct sch *s, struct sch_vm *vm)
{
	vm->changed = ++s->changes;
	vm->room.valid = FALSE;
}

gboolean sch_vm_has_label(const struct sch_vm *vm, const char *label)
{
	guint i;

	for (i = 0; i < vm->labels->len; i++)
		if (!strcmp(vm->labels->pdata[i], label))
			return TRUE;
	return FALSE;
}

gboolean sch_vm_is_usable(const struct sch *s, const struct sch_vm *vm)
{
	return vm->connected && vm->known && vm->synced && !vm->draining &&
	       s->now_ms - vm->report_ms < SCH_FRESH_MS &&
	       vm->silent_ms < SILENT_MS && s->now_ms >= vm->avoid_until_ms &&
	       !g_hash_table_size(vm->strangers);
}

void sch_vm_fault(struct sch *s, struct sch_vm *vm, struct sch_job *job,
		  gint64 begun_ms)
{
	gint64 avoid_ms;

	/* Several tasks of one faulty job say nothing of the worker, and those
	 * that ran when it was found faulty nothing new. */
	if ((vm->faults && vm->fault_job == job) ||
	    begun_ms < vm->avoid_from_ms)
		return;
	vm->fault_job = job;
	vm->faults++;
	if (vm->faults < FAULTS_TO_AVOID)
		return;
	avoid_ms = AVOID_MS << MIN(vm->faults - FAULTS_TO_AVOID, 3);
	vm->avoid_until_ms = s->now_ms + MIN(avoid_ms, AVOID_MAX_MS);
	vm->avoid_from_ms = s->now_ms;
	g_log_structured(
		G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "VM", vm->name, "MESSAGE",
		"avoided for %" G_GINT64_FORMAT " ms after %u faults in a row",
		avoid_ms, vm->faults);
}

void sch_vm_clear_faults(struct sch_vm *vm)
{
	vm->faults = 0;
	vm->fault_job = NULL;
	vm->avoid_until_ms = 0;
	vm->avoid_from_ms = 0;
}

static void take_info(struct sch *s, struct sch_vm *vm,
		      const struct Rp__WorkerInfo *info)
{
	size_t i;

	g_free(vm->pool);
	vm->pool = g_strdup(info->pool);
	g_free(vm->rack);
	vm->rack = g_strdup(info->rack);
	g_ptr_array_set_size(vm->labels, 0);
	for (i = 0; i < info->n_labels; i++)
		g_ptr_array_add(vm->labels, g_strdup(info->labels[i]));
	if (info->capacity) {
		vm->capacity.cpu_milli = info->capacity->cpu_milli;
		vm->capacity.memory_bytes = info->capacity->memory_bytes;
		vm->capacity.accelerators = info->capacity->accelerators;
	}
	if (info->draining && !vm->draining)
		g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "VM", vm->name,
				 "MESSAGE",
				 "worker %s drains, %" G_GINT64_FORMAT
				 " ms left",
				 vm->worker_id, info->remaining_ms);
	vm->draining = info->draining;
	vm->leaves_ms = info->draining ? s->now_ms + info->remaining_ms : 0;
	if (!vm->known)
		s->place_due = TRUE;
	vm->known = TRUE;
}

/* Returns FALSE if the report is of an earlier incarnation. */
static gboolean take_incarnation(struct sch *s, struct sch_vm *vm,
				 const struct Rp__WorkerInfo *info)
{
	gboolean same = vm->worker_id && vm->born_ms == info->born_ms &&
			!strcmp(vm->worker_id, info->worker_id);

	if (!same && vm->worker_id && info->born_ms < vm->born_ms)
		return FALSE;
	if (!same)
		sch_vm_set_incarnation(s, vm, info->worker_id, info->born_ms);
	if (info->gone) {
		lose_runs(s, vm, "the worker has left");
		vm->known = FALSE;
		return FALSE;
	}
	take_info(s, vm, info);
	return TRUE;
}

void sch_vm_order_stop(struct sch_vm *vm, const char *task, guint32 attempt)
{
	struct sch_run_ref *ref = g_new0(struct sch_run_ref, 1);

	ref->task = g_strdup(task);
	ref->attempt = attempt;
	g_ptr_array_add(vm->stops, ref);
}

static void see_running(struct sch *s, struct sch_run *run,
			const struct Rp__RunRow *row)
{
	if (run->state == SCH_RUN_ORDERED) {
		sch_run_began(s, run);
		run->first_percent = row->percent;
		run->first_percent_ms = s->now_ms;
		g_ptr_array_remove(run->vm->starts, run);
	}
	if (row->percent != run->percent) {
		run->percent = row->percent;
		run->percent_ms = s->now_ms;
	}
	run->outdated = FALSE;
	run->orphan = FALSE;
	sch_task_set_checkpoint(run->task, row->checkpoint);
}

static gboolean is_listed(const struct Rp__VmReport *report,
			  const struct sch_run *run)
{
	size_t i;

	for (i = 0; i < report->n_running; i++)
		if (report->running[i]->run &&
		    report->running[i]->run->attempt == run->attempt &&
		    !strcmp(report->running[i]->run->task, run->name))
			return TRUE;
	return FALSE;
}

/*
 * After a new connection, or as a new leader: starts and stops may have been
 * lost on the way, so they are ordered again; workers and agents take repeats.
 */
static void sync_runs(struct sch *s, struct sch_vm *vm,
		      const struct Rp__VmReport *report)
{
	guint i;

	g_ptr_array_set_size(vm->starts, 0);
	g_ptr_array_set_size(vm->stops, 0);
	for (i = 0; i < vm->runs->len; i++) {
		struct sch_run *run = vm->runs->pdata[i];

		if (run->state == SCH_RUN_PLANNED)
			continue;
		if (run->stopping || (run->orphan && !is_listed(report, run))) {
			/* A stop also makes sure that it never starts. */
			run->stopping = FALSE;
			sch_run_stop(s, run);
		} else if (!is_listed(report, run)) {
			run->state = SCH_RUN_ORDERED;
			run->state_ms = s->now_ms;
			g_ptr_array_add(vm->starts, run);
		} else if (run->task->phase->step->target_ms ||
			   run->task->phase->step->fills) {
			/* A restarted agent does not know what it paces. */
			g_ptr_array_add(vm->starts, run);
		}
	}
	vm->synced = TRUE;
	vm->adopted = TRUE;
	/* An earlier leader's grant was based on an earlier reading. */
	if (vm->clock_ms)
		vm->lease_until_ms = MAX(vm->lease_until_ms,
					 vm->clock_ms + s->options.lease_ms);
	s->place_due = TRUE;
}

static void take_lists(struct sch *s, struct sch_vm *vm,
		       const struct Rp__VmReport *report)
{
	size_t i;

	g_hash_table_remove_all(vm->strangers);
	if (!vm->synced)
		sync_runs(s, vm, report);
	for (i = 0; i < report->n_running; i++) {
		const struct Rp__RunRow *row = report->running[i];
		struct sch_run *run;

		if (!row->run)
			continue;
		run = sch_run_find(vm, row->run->task, row->run->attempt);
		if (run) {
			see_running(s, run, row);
			continue;
		}
		g_hash_table_add(vm->strangers, g_strdup(row->run->task));
		sch_vm_order_stop(vm, row->run->task, row->run->attempt);
	}
	sch_interfere_learn(s, vm, report);
}

/* An outdated start ended before; its end comes first if it is not known. */
static void drop_outdated(struct sch *s, struct sch_vm *vm)
{
	guint i = 0;

	while (i < vm->runs->len) {
		struct sch_run *run = vm->runs->pdata[i];

		/* The first list may have been read before the answer. */
		if (run->outdated && ++run->outdated_lists >= 2)
			sch_run_remove(s, run);
		else
			i++;
	}
}

static void take_answer(struct sch *s, struct sch_vm *vm,
			const struct Rp__RunAnswer *answer)
{
	struct sch_run *run;

	if (!answer->run)
		return;
	run = sch_run_find(vm, answer->run->task, answer->run->attempt);
	if (!run)
		return;
	if (answer->started) {
		if (run->state == SCH_RUN_ORDERED)
			sch_run_began(s, run);
		return;
	}
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID",
			 run->task->job->id, "VM", vm->name, "MESSAGE",
			 "start of %s, attempt %u, did not run: %s",
			 answer->run->task, run->attempt, answer->reason);
	if (!strcmp(answer->reason, "old")) {
		run->outdated = TRUE;
		run->outdated_lists = 0;
		return;
	}
	if (strcmp(answer->reason, "stopped") &&
	    strcmp(answer->reason, "draining") && !run->stopping)
		sch_vm_fault(s, vm, run->task->job, run->state_ms);
	if (run->task->phase->step->gang && !sch_job_has_ended(run->task->job))
		sch_run_stop_gang(s, run->task->phase, run);
	sch_run_remove(s, run);
}

static void take_clock(struct sch *s, struct sch_vm *vm,
		       const struct Rp__VmReport *report)
{
	if (report->clock_ms > vm->clock_ms) {
		vm->clock_ms = report->clock_ms;
		vm->clock_at_ms = s->now_ms - report->clock_age_ms;
	}
	/*
	 * Leases reach the worker through its agent only, which obeys this
	 * leader now. If the process is older than any lease, it knows them
	 * all, also those of earlier leaders to a worker that is silent.
	 */
	if (vm->adopted || !report->clock_ms || !report->lease_until_ms ||
	    report->agent_up_ms <
		    SCH_ORDER_MS + SCH_LONGEST_LEASE_MS / CLOCK_RATE_MIN)
		return;
	vm->adopted = TRUE;
	vm->lease_until_ms = MAX(vm->lease_until_ms, report->lease_until_ms);
}

void sch_vm_report(struct sch *s, const char *name,
		   const struct Rp__VmReport *report)
{
	struct sch_vm *vm = sch_vm_get(s, name);
	size_t i;

	if (report->fence != s->options.fencing_token)
		return;
	vm->report_ms = s->now_ms;
	vm->silent_ms = report->silent_ms;
	sch_vm_changed(s, vm);
	sch_interfere_take(s, report);
	if (!report->worker || !*report->worker->worker_id) {
		vm->known = FALSE;
		return;
	}
	if (!take_incarnation(s, vm, report->worker))
		return;
	take_clock(s, vm, report);
	for (i = 0; i < report->n_ended; i++)
		sch_run_ended(s, vm, report->ended[i]);
	if (report->listed) {
		take_lists(s, vm, report);
		drop_outdated(s, vm);
	}
	for (i = 0; i < report->n_answers; i++)
		take_answer(s, vm, report->answers[i]);
}

static gboolean lease_is_over(const struct sch *s, const struct sch_vm *vm)
{
	gint64 lease_ms =
		(gint64)((double)s->options.lease_ms / CLOCK_RATE_MIN);
	gint64 others_until_ms = s->elected_ms +
				 s->options.leadership_valid_ms + lease_ms +
				 LEASE_SLACK_MS;
	gint64 clock_ms;

	/* The agent may have sent a lease of the incarnation before to this
	 * one. */
	if (vm->incarnation_ms &&
	    s->now_ms <=
		    vm->incarnation_ms + SCH_ORDER_MS +
			    (gint64)(SCH_LONGEST_LEASE_MS / CLOCK_RATE_MIN))
		return FALSE;
	/* Until its lists are read, earlier leaders may have extended it. */
	if ((!vm->adopted || !vm->lease_until_ms) &&
	    s->now_ms <= others_until_ms)
		return FALSE;
	if (!vm->lease_until_ms)
		return TRUE;
	clock_ms = vm->clock_ms +
		   (gint64)((double)(s->now_ms - vm->clock_at_ms) *
			    CLOCK_RATE_MIN);
	return clock_ms > vm->lease_until_ms + LEASE_SLACK_MS;
}

void sch_vm_expire(struct sch *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sch_vm *vm = value;

		if (vm->runs->len && lease_is_over(s, vm))
			lose_runs(s, vm, "its lease has ended");
	}
}

/* The lowest number of a change that is not durable yet. */
static guint64 open_change(const struct sch *s)
{
	guint64 open = s->next_change;
	guint i;

	if (s->dirty.head)
		open = ((struct sch_job *)s->dirty.head->data)->change;
	for (i = 0; s->commit && i < s->commit->len; i++) {
		struct sch_job *job = s->commit->pdata[i];

		open = MIN(open, job->committing_change);
	}
	return open;
}

/* Confirms the ends whose changes are durable. */
static void confirm_ends(struct sch_vm *vm, guint64 open)
{
	struct sch_end *end;

	while ((end = g_queue_peek_head(&vm->ends)) && end->change < open) {
		vm->ended_through = end->number;
		vm->ack_due = TRUE;
		g_free(g_queue_pop_head(&vm->ends));
	}
}

static struct Rp__RunStart *run_start_new(const struct sch_run *run)
{
	const struct sch_task *task = run->task;
	const struct Rp__StepJob *spec = task->job->spec;
	struct Rp__RunStart *start = g_malloc(sizeof(*start));

	rp__run_start__init(start);
	start->run = wire_run_name_new(run->name, run->attempt);
	wire_set_bytes(&start->payload, spec->payload.data, spec->payload.len);
	wire_set_string(&start->checkpoint, task->checkpoint);
	start->target_ms = task->phase->step->target_ms;
	start->fills = task->phase->step->fills;
	wire_set_string(&start->image, task->phase->step->image);
	start->cpu_milli = task->phase->step->need->cpu_milli;
	return start;
}

static void fill_orders(struct sch_vm *vm, struct Rp__VmOrders *orders)
{
	guint i;

	orders->n_starts = vm->starts->len;
	orders->starts = g_new0(struct Rp__RunStart *, vm->starts->len);
	for (i = 0; i < vm->starts->len; i++)
		orders->starts[i] = run_start_new(vm->starts->pdata[i]);
	orders->n_stops = vm->stops->len;
	orders->stops = g_new0(struct Rp__RunName *, vm->stops->len);
	for (i = 0; i < vm->stops->len; i++) {
		const struct sch_run_ref *ref = vm->stops->pdata[i];

		orders->stops[i] = wire_run_name_new(ref->task, ref->attempt);
	}
	g_ptr_array_set_size(vm->starts, 0);
	g_ptr_array_set_size(vm->stops, 0);
}

static void send_orders(struct sch *s, struct sch_vm *vm)
{
	struct sch_effect *effect = sch_effect_add(s, SCH_EFFECT_ORDERS);
	struct Rp__VmOrders *orders;

	effect->vm = g_strdup(vm->name);
	effect->frame = wire_frame_new(RP__FRAME__BODY_VM_ORDERS);
	orders = effect->frame->vm_orders;
	orders->fence = s->options.fencing_token;
	if (vm->known) {
		wire_set_string(&orders->worker_id, vm->worker_id);
		orders->worker_born_ms = vm->born_ms;
		if (vm->clock_ms &&
		    s->now_ms < s->proved_ms + s->options.leadership_valid_ms)
			vm->lease_until_ms =
				MAX(vm->lease_until_ms,
				    vm->clock_ms + s->options.lease_ms);
		orders->lease_until_ms = vm->lease_until_ms;
		orders->ended_through = vm->ended_through;
		/* Until then it is open what has to be ordered again. */
		if (vm->synced)
			fill_orders(vm, orders);
		sch_interfere_tell(s, vm, orders);
	}
	vm->orders_ms = s->now_ms;
	vm->ack_due = FALSE;
}

void sch_vm_send_orders(struct sch *s)
{
	guint64 open = open_change(s);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sch_vm *vm = value;
		gint64 idle_ms = s->now_ms - vm->orders_ms;

		if (!vm->connected)
			continue;
		confirm_ends(vm, open);
		if (idle_ms >= ORDERS_INTERVAL_MS ||
		    (vm->ack_due && idle_ms >= ACK_DELAY_MS) ||
		    (vm->synced && (vm->starts->len || vm->stops->len)))
			send_orders(s, vm);
	}
}
