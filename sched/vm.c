#include "internal.h"

/*
 * State of each worker: its incarnation, its lease and its runs.
 *
 * A run is over if its end is listed, if its start was refused, if the worker's
 * process has ended, or if its lease has certainly expired. When a worker
 * restarts, its earlier runs have ended, but their start orders may still reach
 * the new incarnation. Until that is ruled out they are kept, marked as
 * orphaned. Orders of runs that are given up otherwise may still wait in the
 * agent or at the worker, so a new session makes them void. Leases are
 * evaluated on the worker's own clock: a reading c at time t means that the
 * clock shows at least c + 0.98 (now - t).
 */

/** Lower bound of the rate of workers' clocks, relative to the leader's. */
#define CLOCK_RATE_MIN 0.98

/** Time that a worker takes to stop its runs after its lease has expired. */
#define LEASE_SLACK_MS 300

/** Maximum interval between orders to an agent, since they extend the lease. */
#define ORDERS_INTERVAL_MS 900

/** Age that a report can have when it arrives: a connection without data is
 * closed sooner. */
#define REPORT_MAX_DELAY_MS 3000

/** End records are acknowledged in batches, this long after the last orders. */
#define ACK_DELAY_MS 100

/** Starts and stops in one message to an agent have about this size at most, as
 * each start carries its job's payload; the others follow with the next ticks.
 * A frame has a bound, and so has what the leader holds for all agents. */
#define MAX_ORDERS_BYTES 65536

/** Size of a start or stop without payload and checkpoint. */
#define ORDER_BYTES 100

/** A worker that has not answered its agent for this time gets no new tasks. */
#define UNRESPONSIVE_MS 1200

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
	vm->run_index = g_hash_table_new(sch_run_hash, sch_run_equal);
	vm->unknown_runs = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL);
	vm->starts = g_ptr_array_new();
	vm->stops = g_ptr_array_new_with_free_func(free_ref);
	vm->slowness = 1;
	g_hash_table_insert(s->vms, vm->name, vm);
	return vm;
}

void sch_vm_free(struct sch_vm *vm)
{
	guint i;

	g_hash_table_unref(vm->run_index);
	for (i = 0; i < vm->runs->len; i++)
		sch_run_free(vm->runs->pdata[i]);
	g_ptr_array_unref(vm->runs);
	g_ptr_array_unref(vm->labels);
	g_ptr_array_unref(vm->starts);
	g_ptr_array_unref(vm->stops);
	g_hash_table_unref(vm->unknown_runs);
	g_queue_clear_full(&vm->ends, g_free);
	sch_interference_free_headroom(vm);
	g_free(vm->worker_id);
	g_free(vm->pool);
	g_free(vm->rack);
	g_free(vm->name);
	g_free(vm);
}

/* Lower bound of the worker's clock at this time; see above. Before the reading
 * it may have run as fast as the boot clock. */
static gint64 clock_at_ms(const struct sch_vm *vm, gint64 at_ms)
{
	gint64 since_ms = at_ms - vm->clock_read_ms;

	return vm->clock_ms +
	       (since_ms < 0 ? since_ms
			     : (gint64)((double)since_ms * CLOCK_RATE_MIN));
}

static gint64 clock_now_ms(const struct sch *s, const struct sch_vm *vm)
{
	return clock_at_ms(vm, s->now_ms);
}

static void log_lost_run(const struct sch *s, const struct sch_run *run)
{
	static const char *const states[] = {
		[SCH_RUN_PLANNED] = "planned",
		[SCH_RUN_ORDERED] = "ordered",
		[SCH_RUN_RUNNING] = "running",
	};
	const struct sch_vm *vm = run->vm;

	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID",
			 run->task->job->id, "VM", vm->name, "MESSAGE",
			 "%s, attempt %u, is lost: %s for %" G_GINT64_FORMAT
			 " ms; lease ends at %" G_GINT64_FORMAT
			 ", the worker's clock shows at least %" G_GINT64_FORMAT
			 ", read %" G_GINT64_FORMAT " ms ago",
			 run->name, run->attempt, states[run->state],
			 s->now_ms - run->state_ms, vm->lease_until_ms,
			 clock_now_ms(s, vm), s->now_ms - vm->clock_read_ms);
}

void sch_vm_note_orders(struct sch *s, struct sch_vm *vm)
{
	if (vm->orders_noted)
		return;
	vm->orders_noted = TRUE;
	g_ptr_array_add(s->vms_with_orders, vm);
}

/* Ends the session: what was ordered in it is void once the worker has answered
 * in the next one. */
static void end_session(struct sch *s, struct sch_vm *vm)
{
	vm->session_due = TRUE;
	vm->synced = FALSE;
	s->session_due = TRUE;
}

void sch_vm_start_sessions(struct sch *s)
{
	GHashTableIter iter;
	gpointer value;

	s->revision_due = FALSE;
	if (!s->session_due)
		return;
	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sch_vm *vm = value;
		struct sch_effect *effect;

		if (!vm->connected || !vm->session_due)
			continue;
		if (s->last_revision <= vm->fencing_token) {
			s->revision_due = TRUE;
			continue;
		}
		vm->fencing_token = s->last_revision;
		vm->session_due = FALSE;
		vm->orders_sent_ms = 0;
		sch_vm_note_orders(s, vm);
		effect = sch_effect_add(s, SCH_EFFECT_SESSION);
		effect->vm = g_strdup(vm->name);
		effect->fencing_token = vm->fencing_token;
	}
	/* A VM that is not connected is looked at when it connects. */
	s->session_due = s->revision_due;
}

static void lose_runs(struct sch *s, struct sch_vm *vm, const char *why)
{
	guint i = 0;
	guint lost = 0;

	while (i < vm->runs->len) {
		struct sch_run *run = vm->runs->pdata[i];

		/* sch_run_order_start() removes it once its record is durable.
		 */
		if (run->state == SCH_RUN_PLANNED && run->committing) {
			run->stopping = TRUE;
			i++;
			continue;
		}
		log_lost_run(s, run);
		if (run->state != SCH_RUN_PLANNED)
			end_session(s, vm);
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

/*
 * Marks the runs of the previous incarnation as orphaned. Planned runs were
 * never ordered: they are removed, at the latest when their record is durable,
 * since the new incarnation may have less capacity.
 */
static void mark_orphaned(struct sch *s, struct sch_vm *vm)
{
	guint i = 0;

	while (i < vm->runs->len) {
		struct sch_run *run = vm->runs->pdata[i];

		if (run->state != SCH_RUN_PLANNED) {
			run->orphaned = TRUE;
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
			    const char *worker_id, guint64 started_ms)
{
	if (vm->worker_id) {
		mark_orphaned(s, vm);
		end_session(s, vm);
	}
	g_free(vm->worker_id);
	vm->worker_id = g_strdup(worker_id);
	vm->worker_started_ms = started_ms;
	vm->incarnation_first_seen_ms = s->now_ms;
	vm->info_received = FALSE;
	vm->synced = FALSE;
	vm->adopted = FALSE;
	vm->lease_reported = FALSE;
	vm->draining = FALSE;
	vm->drain_end_ms = 0;
	vm->clock_ms = 0;
	vm->clock_read_ms = 0;
	vm->lease_until_ms = 0;
	vm->last_end_seen = 0;
	vm->acked_through = 0;
	sch_vm_clear_faults(vm);
	vm->slowness = 1;
	sch_zone_reset_worker(vm);
	g_hash_table_remove_all(vm->unknown_runs);
	g_ptr_array_set_size(vm->stops, 0);
	g_queue_clear_full(&vm->ends, g_free);
}

void sch_vm_connected(struct sch *s, const char *name)
{
	struct sch_vm *vm = sch_vm_get(s, name);

	vm->connected = TRUE;
	end_session(s, vm);
}

void sch_vm_disconnected(struct sch *s, const char *name)
{
	struct sch_vm *vm = sch_vm_get(s, name);

	vm->connected = FALSE;
	vm->synced = FALSE;
	vm->lease_reported = FALSE;
}

void sch_vm_changed(struct sch *s, struct sch_vm *vm)
{
	vm->version = ++s->last_vm_version;
	vm->headroom.valid = FALSE;
}

gboolean sch_vm_has_label(const struct sch_vm *vm, const char *label)
{
	guint i;

	for (i = 0; i < vm->labels->len; i++)
		if (!strcmp(vm->labels->pdata[i], label))
			return TRUE;
	return FALSE;
}

static gboolean lease_has_expired(const struct sch *s, const struct sch_vm *vm)
{
	gint64 lease_ms =
		(gint64)((double)s->options.lease_ms / CLOCK_RATE_MIN);
	gint64 earlier_leaders_until_ms = s->elected_ms +
					  s->options.leadership_valid_ms +
					  lease_ms + LEASE_SLACK_MS;

	/* The agent may have sent this incarnation a lease that was granted to
	 * the previous one. */
	if (vm->incarnation_first_seen_ms &&
	    s->now_ms <= vm->incarnation_first_seen_ms +
				 SCH_MAX_ORDER_DELAY_MS +
				 (gint64)(SCH_MAX_LEASE_MS / CLOCK_RATE_MIN))
		return FALSE;
	/* Earlier leaders may have extended the lease. */
	if (((!vm->adopted && !vm->lease_reported) || !vm->lease_until_ms) &&
	    s->now_ms <= earlier_leaders_until_ms)
		return FALSE;
	if (!vm->lease_until_ms)
		return TRUE;
	return clock_now_ms(s, vm) > vm->lease_until_ms + LEASE_SLACK_MS;
}

static gboolean is_reachable_in_zone(const struct sch *s,
				     const struct sch_vm *vm)
{
	return vm->connected && vm->info_received && vm->synced &&
	       !vm->draining &&
	       s->now_ms - vm->last_report_ms < SCH_REPORT_MAX_AGE_MS &&
	       vm->unresponsive_ms < UNRESPONSIVE_MS &&
	       !lease_has_expired(s, vm) &&
	       !g_hash_table_size(vm->unknown_runs);
}

gboolean sch_vm_is_usable(const struct sch *s, const struct sch_vm *vm)
{
	return sch_zone_allows_starts(s, vm) && sch_vm_is_usable_in_zone(s, vm);
}

gboolean sch_vm_is_usable_in_zone(const struct sch *s, const struct sch_vm *vm)
{
	return is_reachable_in_zone(s, vm) && !sch_vm_is_quarantined(s, vm);
}

gboolean sch_vm_is_reachable(const struct sch *s, const struct sch_vm *vm)
{
	return sch_zone_allows_starts(s, vm) && is_reachable_in_zone(s, vm);
}

static void apply_info(struct sch *s, struct sch_vm *vm,
		       const struct Rp__WorkerInfo *info)
{
	size_t i;

	g_free(vm->pool);
	vm->pool = g_strdup(info->pool);
	g_free(vm->rack);
	vm->rack = g_strdup(info->rack);
	sch_zone_apply_info(s, vm, info);
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
				 "worker %s is draining and leaves in "
				 "%" G_GINT64_FORMAT " ms",
				 vm->worker_id, info->remaining_ms);
	vm->draining = info->draining;
	vm->drain_end_ms = info->draining ? s->now_ms + info->remaining_ms : 0;
	if (!vm->info_received)
		s->place_due = TRUE;
	vm->info_received = TRUE;
}

/* Returns FALSE if the report is of an earlier incarnation, or if the worker
 * has ended (info->gone). */
static gboolean update_incarnation(struct sch *s, struct sch_vm *vm,
				   const struct Rp__WorkerInfo *info)
{
	gboolean same = vm->worker_id &&
			vm->worker_started_ms == info->born_ms &&
			!strcmp(vm->worker_id, info->worker_id);

	if (!same && vm->worker_id && info->born_ms < vm->worker_started_ms)
		return FALSE;
	if (!same)
		sch_vm_set_incarnation(s, vm, info->worker_id, info->born_ms);
	if (info->gone) {
		lose_runs(s, vm, "the worker has ended");
		vm->info_received = FALSE;
		return FALSE;
	}
	apply_info(s, vm, info);
	return TRUE;
}

void sch_vm_order_start(struct sch *s, struct sch_run *run)
{
	g_ptr_array_add(run->vm->starts, run);
	sch_vm_note_orders(s, run->vm);
}

void sch_vm_order_stop(struct sch *s, struct sch_vm *vm, const char *task,
		       guint32 attempt)
{
	struct sch_run_ref *ref = g_new0(struct sch_run_ref, 1);

	ref->task = g_strdup(task);
	ref->attempt = attempt;
	g_ptr_array_add(vm->stops, ref);
	sch_vm_note_orders(s, vm);
}

static void apply_row(struct sch *s, struct sch_run *run,
		      const struct Rp__RunRow *row)
{
	if (run->state == SCH_RUN_ORDERED) {
		sch_run_started(s, run);
		run->first_percent = row->percent;
		run->first_percent_ms = s->now_ms;
		g_ptr_array_remove(run->vm->starts, run);
	}
	if (row->percent != run->percent) {
		run->percent = row->percent;
		run->percent_ms = s->now_ms;
	}
	run->outdated = FALSE;
	run->orphaned = FALSE;
	sch_task_set_checkpoint(run->task, row->checkpoint);
}

/* Returns the VM's runs that the report lists as running, as a set. */
static GHashTable *listed_runs(const struct sch_vm *vm,
			       const struct Rp__VmReport *report)
{
	GHashTable *listed = g_hash_table_new(NULL, NULL);
	size_t i;

	for (i = 0; i < report->n_running; i++) {
		const struct Rp__RunName *name = report->running[i]->run;
		struct sch_run *run = name ? sch_run_find(vm, name->task,
							  name->attempt)
					   : NULL;

		if (run)
			g_hash_table_add(listed, run);
	}
	return listed;
}

/*
 * Repeats orders on a new connection: those sent before it, also by an earlier
 * leader, may be lost. Agents and workers ignore orders that they have applied.
 */
static void sync_runs(struct sch *s, struct sch_vm *vm,
		      const struct Rp__VmReport *report)
{
	g_autoptr(GHashTable) listed = listed_runs(vm, report);
	guint i;

	g_ptr_array_set_size(vm->starts, 0);
	g_ptr_array_set_size(vm->stops, 0);
	for (i = 0; i < vm->runs->len; i++) {
		struct sch_run *run = vm->runs->pdata[i];

		if (run->state == SCH_RUN_PLANNED)
			continue;
		if (run->stopping ||
		    (run->orphaned && !g_hash_table_contains(listed, run))) {
			/* Cleared so that sch_run_stop() orders the stop again.
			 * A stop also prevents a start that is in flight. */
			run->stopping = FALSE;
			sch_run_stop(s, run);
		} else if (!g_hash_table_contains(listed, run)) {
			run->state = SCH_RUN_ORDERED;
			run->state_ms = s->now_ms;
			sch_vm_order_start(s, run);
		}
	}
	/* Earlier leaders granted leases from earlier clock readings. A call to
	 * an earlier incarnation, with another clock, may have given this one
	 * the longest lease that it accepts. */
	if (vm->clock_ms)
		vm->lease_until_ms =
			MAX(vm->lease_until_ms,
			    vm->clock_ms + (vm->adopted ? s->options.lease_ms
							: SCH_MAX_LEASE_MS));
	vm->synced = TRUE;
	vm->adopted = TRUE;
	s->place_due = TRUE;
}

/* Repeats the starts of running tasks for a restarted agent, which needs their
 * images and targets to set CPU shares. */
static void repeat_running(struct sch *s, struct sch_vm *vm)
{
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		struct sch_run *run = vm->runs->pdata[i];
		const struct Rp__StepSpec *step = run->task->instance->step;

		if (run->state == SCH_RUN_RUNNING && !run->stopping &&
		    (step->target_ms || step->fills))
			sch_vm_order_start(s, run);
	}
}

static void log_unknown_run(const struct sch_vm *vm,
			    const struct Rp__RunName *run)
{
	g_autofree char *job_id = wire_task_job_id(run->task);

	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "JOB_ID", job_id,
			 "VM", vm->name, "MESSAGE",
			 "the worker runs %s, attempt %u, which is not placed "
			 "there; stopping it",
			 run->task, run->attempt);
}

static void apply_lists(struct sch *s, struct sch_vm *vm,
			const struct Rp__VmReport *report)
{
	gboolean was_synced = vm->synced;
	size_t i;

	g_hash_table_remove_all(vm->unknown_runs);
	if (!was_synced)
		sync_runs(s, vm, report);
	for (i = 0; i < report->n_running; i++) {
		const struct Rp__RunRow *row = report->running[i];
		struct sch_run *run;

		if (!row->run)
			continue;
		run = sch_run_find(vm, row->run->task, row->run->attempt);
		if (run) {
			apply_row(s, run, row);
			continue;
		}
		g_hash_table_add(vm->unknown_runs, g_strdup(row->run->task));
		s->stats.unknown_runs++;
		log_unknown_run(vm, row->run);
		sch_vm_order_stop(s, vm, row->run->task, row->run->attempt);
	}
	/* Runs loaded from records are known to run only after their rows. */
	if (!was_synced)
		repeat_running(s, vm);
	sch_interference_learn(s, vm, report);
}

/*
 * Removes runs whose starts were refused as outdated. They have ended, and an
 * end record that is not durable yet is listed and applied before this.
 */
static void drop_outdated(struct sch *s, struct sch_vm *vm)
{
	guint i = 0;

	while (i < vm->runs->len) {
		struct sch_run *run = vm->runs->pdata[i];

		/* The first run lists may be older than the refusal. */
		if (run->outdated && ++run->outdated_lists >= 2)
			sch_run_remove(s, run);
		else
			i++;
	}
}

/* TRUE if a start with this outcome shows a fault of the worker: not if the
 * order was void, or came when its lease had expired. */
static gboolean is_worker_fault(const char *reason)
{
	static const char *const others[] = { "stopped", "draining", "late",
					      "fence", "evacuated" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(others); i++)
		if (!strcmp(reason, others[i]))
			return FALSE;
	return TRUE;
}

static void apply_answer(struct sch *s, struct sch_vm *vm,
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
			sch_run_started(s, run);
		return;
	}
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "JOB_ID",
			 run->task->job->id, "VM", vm->name, "MESSAGE",
			 "start of %s, attempt %u, failed: %s",
			 answer->run->task, run->attempt, answer->reason);
	if (!strcmp(answer->reason, "old")) {
		run->outdated = TRUE;
		run->outdated_lists = 0;
		return;
	}
	if (!strcmp(answer->reason, "evacuated"))
		s->stats.starts_withdrawn++;
	if (is_worker_fault(answer->reason) && !run->stopping)
		sch_vm_fault(s, vm, run->task->job, run->state_ms);
	if (run->task->instance->step->gang &&
	    !sch_job_has_ended(run->task->job))
		sch_run_stop_gang(s, run->task->instance, run);
	sch_run_remove(s, run);
}

static void update_clock_and_lease(struct sch *s, struct sch_vm *vm,
				   const struct Rp__VmReport *report)
{
	if (report->clock_ms > vm->clock_ms) {
		vm->clock_ms = report->clock_ms;
		vm->clock_read_ms = s->now_ms - report->clock_age_ms;
	}
	/*
	 * Leases reach the worker only through its agent. Earlier leaders grant
	 * none any more when the report was made, so that also an agent process
	 * that accepts one of them after this one cannot extend the lease. An
	 * agent process that has run for longer than any order and lease can
	 * last knows all leases in force, also those that earlier leaders
	 * granted to a worker that is now unresponsive.
	 */
	if (s->now_ms < s->elected_ms + s->options.leadership_valid_ms +
				REPORT_MAX_DELAY_MS ||
	    vm->adopted || vm->lease_reported || !report->clock_ms ||
	    !report->lease_until_ms ||
	    report->agent_up_ms <
		    SCH_MAX_ORDER_DELAY_MS + SCH_MAX_LEASE_MS / CLOCK_RATE_MIN)
		return;
	vm->lease_reported = TRUE;
	vm->lease_until_ms = MAX(vm->lease_until_ms, report->lease_until_ms);
}

void sch_vm_report(struct sch *s, const char *name,
		   const struct Rp__VmReport *report)
{
	struct sch_vm *vm = sch_vm_get(s, name);
	size_t i;

	if (vm->session_due || report->fence != vm->fencing_token)
		return;
	vm->last_report_ms = s->now_ms;
	vm->unresponsive_ms = report->silent_ms;
	sch_vm_note_orders(s, vm);
	sch_vm_changed(s, vm);
	sch_interference_merge(s, report);
	if (!report->worker || !*report->worker->worker_id) {
		vm->info_received = FALSE;
		return;
	}
	if (!update_incarnation(s, vm, report->worker) || vm->session_due)
		return;
	update_clock_and_lease(s, vm, report);
	for (i = 0; i < report->n_ended; i++)
		sch_run_ended(s, vm, report->ended[i]);
	if (report->listed) {
		apply_lists(s, vm, report);
		drop_outdated(s, vm);
	}
	for (i = 0; i < report->n_answers; i++)
		apply_answer(s, vm, report->answers[i]);
}

void sch_vm_expire_leases(struct sch *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sch_vm *vm = value;

		if (vm->runs->len && lease_has_expired(s, vm))
			lose_runs(s, vm, "its lease has expired");
	}
}

/* Returns the lowest number of a record change that is not durable yet, or the
 * next number if all are durable. */
static guint64 first_unsaved_change(const struct sch *s)
{
	guint64 first_unsaved = s->next_record_change;
	guint i;

	if (s->dirty.head)
		first_unsaved =
			((struct sch_job *)s->dirty.head->data)->pending_change;
	for (i = 0; s->commit && i < s->commit->len; i++) {
		struct sch_job *job = s->commit->pdata[i];

		first_unsaved = MIN(first_unsaved, job->committing_change);
	}
	return first_unsaved;
}

/* Acknowledges the end records whose record changes are durable. */
static void acknowledge_ends(struct sch_vm *vm, guint64 first_unsaved)
{
	struct sch_end *end;

	while ((end = g_queue_peek_head(&vm->ends)) &&
	       end->record_change < first_unsaved) {
		vm->acked_through = end->number;
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
	start->target_ms = task->instance->step->target_ms;
	start->fills = task->instance->step->fills;
	wire_set_string(&start->image, task->instance->step->image);
	start->cpu_milli = task->instance->step->need->cpu_milli;
	return start;
}

static size_t start_bytes(const struct sch_run *run)
{
	const char *checkpoint = run->task->checkpoint;

	return ORDER_BYTES + run->task->job->spec->payload.len +
	       (checkpoint ? strlen(checkpoint) : 0);
}

/* Moves the first stops and starts to the orders, as many as MAX_ORDERS_BYTES
 * allows and at least one. Stops go first, since they make room. */
static void add_run_orders(struct sch_vm *vm, struct Rp__VmOrders *orders)
{
	size_t bytes = 0;
	guint n_stops = 0;
	guint n_starts = 0;

	orders->stops = g_new0(struct Rp__RunName *, vm->stops->len);
	while (n_stops < vm->stops->len && bytes < MAX_ORDERS_BYTES) {
		const struct sch_run_ref *ref = vm->stops->pdata[n_stops];

		orders->stops[n_stops++] = wire_run_name_new(ref->task,
							     ref->attempt);
		bytes += ORDER_BYTES;
	}
	orders->starts = g_new0(struct Rp__RunStart *, vm->starts->len);
	while (n_starts < vm->starts->len && bytes < MAX_ORDERS_BYTES) {
		const struct sch_run *run = vm->starts->pdata[n_starts];

		orders->starts[n_starts++] = run_start_new(run);
		bytes += start_bytes(run);
	}
	orders->n_stops = n_stops;
	orders->n_starts = n_starts;
	if (n_stops)
		g_ptr_array_remove_range(vm->stops, 0, n_stops);
	if (n_starts)
		g_ptr_array_remove_range(vm->starts, 0, n_starts);
}

static void send_orders(struct sch *s, struct sch_vm *vm)
{
	gboolean may_grant = s->now_ms <
			     s->confirmed_ms + s->options.leadership_valid_ms;
	struct sch_effect *effect = sch_effect_add(s, SCH_EFFECT_ORDERS);
	struct Rp__VmOrders *orders;

	effect->vm = g_strdup(vm->name);
	effect->frame = wire_frame_new(RP__FRAME__BODY_VM_ORDERS);
	orders = effect->frame->vm_orders;
	/* Wire names: fence is the fencing token, and ends up to ended_through
	 * are acknowledged. */
	orders->fence = vm->fencing_token;
	if (vm->info_received) {
		wire_set_string(&orders->worker_id, vm->worker_id);
		orders->worker_born_ms = vm->worker_started_ms;
		if (vm->clock_ms && may_grant)
			vm->lease_until_ms =
				MAX(vm->lease_until_ms,
				    vm->clock_ms + s->options.lease_ms);
		/* Without a recent confirmation, another leader may rely on no
		 * lease being granted here any more. */
		orders->lease_until_ms = may_grant ? vm->lease_until_ms : 0;
		orders->ended_through = vm->acked_through;
		/* Without run lists it is unknown which orders to repeat. */
		if (vm->synced)
			add_run_orders(vm, orders);
		sch_interference_add_orders(s, vm, orders);
		sch_zone_add_orders(
			s, vm, clock_at_ms(vm, s->zones_confirmed_ms), orders);
	}
	vm->zone_due = FALSE;
	vm->orders_sent_ms = s->now_ms;
	vm->ack_due = FALSE;
}

static void send_orders_if_due(struct sch *s, struct sch_vm *vm,
			       guint64 first_unsaved)
{
	gint64 since_orders_ms = s->now_ms - vm->orders_sent_ms;

	if (!vm->connected || vm->session_due)
		return;
	acknowledge_ends(vm, first_unsaved);
	if (since_orders_ms >= ORDERS_INTERVAL_MS || vm->zone_due ||
	    (vm->ack_due && since_orders_ms >= ACK_DELAY_MS) ||
	    (vm->synced && (vm->starts->len || vm->stops->len)))
		send_orders(s, vm);
}

void sch_vm_send_orders(struct sch *s)
{
	guint64 first_unsaved = first_unsaved_change(s);
	guint i;

	for (i = 0; i < s->vms_with_orders->len; i++) {
		struct sch_vm *vm = s->vms_with_orders->pdata[i];

		vm->orders_noted = FALSE;
		send_orders_if_due(s, vm, first_unsaved);
	}
	g_ptr_array_set_size(s->vms_with_orders, 0);
}

void sch_vm_send_all_orders(struct sch *s)
{
	guint64 first_unsaved = first_unsaved_change(s);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_orders_if_due(s, value, first_unsaved);
}
