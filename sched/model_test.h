#ifndef SCHED_MODEL_TEST_H
#define SCHED_MODEL_TEST_H

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../runs/runs.h"
#include "internal.h"

/*
 * State of the model of model_test.c, its worker, and the checks made when the
 * worker starts a run. Times are ms of the virtual clock, except the start of a
 * worker (Unix time) and lease_until_ms (the worker's clock).
 */

#define VMS 5
#define TICK_MS 10
/** Time with random faults, and time without them until jobs must be done. */
#define FAULT_PHASE_MS 40000
#define RECOVERY_MS 70000
#define LEASE_MS 7000
#define LEADERSHIP_VALID_MS 4000
#define MAX_TXN_OPS 29
#define CAPACITY_MILLI 8000
#define MAX_ATTEMPTS 3
/** Time from a stop order to the end of the run. */
#define STOP_DELAY_MS 100
#define DEFAULT_SEEDS 60
/** Time after which a call without an answer may still be carried out. */
#define LATE_MIN_MS 1000
#define LATE_MAX_MS 12000
/** Workers shorten leases that end later than this from now. */
#define LEASE_MAX_MS 10000
/** Either side closes a connection on which nothing has arrived for this time.
 */
#define IDLE_TIMEOUT_MS 2200
/** Zones of the VMs, and the bound after which nothing is started in an
 * evacuated one. Starts end much sooner, after the duration of a permission on
 * the slowest clock: 0.6 of the bound / 0.98. The rest is a margin for what the
 * model leaves out, so it is not used up here. */
#define ZONES 3
#define EVACUATION_MS 5000
#define LAST_START_MS (EVACUATION_MS * 6 / 10 * 100 / 98 + TICK_MS)
/** Entries that can lead; an earlier leader may run on while others follow. */
#define LEADERS 6

/** What a test submits and injects. */
struct model_load {
	gint64 submit_interval_ms;
	/** Upper bounds for a step: of its tasks, and of each task's CPUs. */
	gint32 max_replicas;
	gint32 max_cpu_milli;
	/** Probability that a run takes so long that its worker's lease can
	 * expire before its end. */
	double long_run_probability;
	/** Longest time until another leader is elected. */
	gint32 max_term_ms;
	/** Probability for each step of time that a worker becomes
	 * unresponsive. */
	double unresponsive_probability;
	/** Probability for each step of time that a worker crashes. */
	double crash_probability;
	/** A call reaches the worker's next incarnation, which has the same id,
	 * if the one that it was sent to has ended: calls other than starts,
	 * and starts too. */
	gboolean calls_outlive_worker;
	gboolean starts_outlive_worker;
	/** That happens even before its first heartbeat, when nobody knows of
	 * the incarnation. */
	gboolean calls_reach_unknown_worker;
	/** Probability for each step of time that an agent or a leader does
	 * nothing for a while and then continues with what it had. */
	double freeze_probability;
	/** Probability for each step of time that the agent of an unresponsive
	 * worker restarts, is cut off, gets a new leader, or that all VMs lose
	 * power. */
	double disruption_probability;
	/** Incarnations of workers differ in the value and rate of the clock.
	 */
	gboolean clocks_differ;
	/** Probability for each frame that it and those behind it are delayed
	 * for seconds. */
	double frame_delay_probability;
	/** Probability that a transaction's answer takes seconds. */
	double late_commit_probability;
	/** Probability for each step of time that a worker keeps calls for a
	 * while, and then carries them out in any order. */
	double burst_probability;
	/** Zones are evacuated and returned to service. */
	gboolean evacuations;
	/** A lease that arrives late counts from its arrival. PROTOCOL.md says
	 * otherwise: it ends at a time on the worker's clock. */
	gboolean leases_from_arrival;
};

struct model_run {
	char *task;
	guint32 attempt;
	gint64 started_ms;
	gint64 end_ms;
	/** When a stop takes effect; 0 for none. */
	gint64 stop_ms;
	Rp__RunEndKind outcome;
	gint64 cpu_milli;
};

struct model_end {
	guint64 number;
	char *task;
	guint32 attempt;
	Rp__RunEndKind kind;
	/** The lease expired before the acknowledgement, so the end does not
	 * count. */
	gboolean lease_expired;
};

struct model_worker {
	gboolean up;
	gint64 restart_ms;
	guint64 started_ms;
	/** Reading of its clock at its start, and the clock's rate. */
	gint64 clock_start_ms;
	gint64 clock_permille;
	gint64 lease_until_ms;
	guint64 fencing_token;
	guint64 next_end;
	guint64 acked;
	GPtrArray *runs;
	GPtrArray *ends;
	/** task to the highest attempt that ended or was stopped here. */
	GHashTable *last_ended_attempt;
};

/** A call to a worker, or its answer, in flight. */
struct model_call {
	struct runs_call *call;
	int vm;
	gint64 arrival_ms;
	/** Incarnations of the sending agent and of the worker. The answer is
	 * lost with the agent; the call, unless calls_outlive_worker, with the
	 * worker. */
	guint agent_epoch;
	guint64 worker_started_ms;
	/** The worker's clock when the call was sent. */
	gint64 sent_clock_ms;
	gboolean delivered;
	/** The worker carries it out, but the answer is lost. */
	gboolean answer_lost;
	gint64 timeout_ms;
	gboolean timed_out;
	/** The answer waits for the frozen agent. */
	gboolean answer_waits;
	struct runs_answer answer;
};

struct model_frame {
	/** NULL if the sender has closed the connection. */
	struct Rp__Frame *frame;
	gint64 arrival_ms;
	int vm;
	gboolean to_agent;
	gboolean lost;
	/** Its connection, and the processes at both ends. */
	guint link;
	guint leader;
	guint agent_epoch;
};

struct model_vm {
	char *name;
	struct runs *runs;
	guint agent_epoch;
	gint64 agent_restart_ms;
	struct model_worker worker;
	/** The agent's side of its leader's connection; link is 0 for none. */
	guint leader;
	guint link;
	gint64 received_ms;
	/** The agent does nothing until then. */
	gint64 frozen_until_ms;
	/** Until then the worker leaves most calls unanswered. */
	gint64 unresponsive_until_ms;
	/** Until then the worker keeps the calls that it gets. */
	gint64 burst_ms;
};

struct model_leader {
	struct sch *sch;
	guint64 fencing_token;
	gboolean elected;
	/** When the leader's process ends. */
	gint64 end_ms;
	/** It does nothing until then. */
	gint64 frozen_until_ms;
	/** The transaction in flight, and when it is carried out. */
	struct kv_txn *txn;
	gint64 txn_end_ms;
	/** Revision of a transaction whose answer is on its way, 0 for none,
	 * and when the answer arrives. */
	guint64 txn_revision;
	gint64 txn_answer_ms;
	/** The leader's side of its connections; 0 for none. */
	guint links[VMS];
	gint64 received_ms[VMS];
	gint64 reconnect_ms[VMS];
	gint64 next_confirm_ms;
	/** A confirmation sent at this time waits for the frozen leader. */
	gint64 confirm_sent_ms;
	/** The evacuated zones as read from the store at zones_read_ms, which
	 * arrive at zones_arrival_ms; 0 if no read is in flight. */
	gboolean zones[ZONES];
	gint64 zones_read_ms;
	gint64 zones_arrival_ms;
	gint64 next_zones_read_ms;
};

struct model_job {
	struct Rp__StepJob *spec;
	gboolean accepted;
	gboolean refused;
	gint64 cancelled_ms;
	Rp__JobState last_state;
	guint64 call_ref;
};

struct model {
	GRand *rand;
	guint32 seed;
	/** RP_TRACE is set: events are printed. */
	gboolean tracing;
	gint64 now_ms;
	gboolean faults_off;
	struct model_load load;
	struct model_vm vms[VMS];
	struct model_leader leaders[LEADERS];
	/** Index of the elected leader. */
	guint current;
	gint64 next_leader_ms;
	guint64 revision;
	GHashTable *store;
	GPtrArray *calls;
	GPtrArray *frames;
	GHashTable *jobs;
	/** Tasks whose end as done was acknowledged. */
	GHashTable *done_acked;
	/** Task to the number of its acknowledged failures. */
	GHashTable *failures_acked;
	/** Tasks whose run on a worker ended as done, acknowledged or not. */
	GHashTable *done_anywhere;
	/** Number of the last connection. */
	guint last_link;
	/** Frames on a connection arrive in order, in either direction: the
	 * last one's arrival, by number of the connection. */
	GHashTable *arrivals[2];
	/** Since when each zone is evacuated; 0 if it is not. */
	gint64 evacuated_ms[ZONES];
	/** When the next zone is evacuated or returned to service. */
	gint64 next_zone_change_ms;
	/** Starts that were sent while their zone was evacuated. */
	guint starts_before_bound;
	guint64 next_ref;
	guint starts;
	guint64 events;
};

static gboolean fault_occurs(struct model *m, double p)
{
	return !m->faults_off && g_rand_double(m->rand) < p;
}

/* Prints a line to stderr if RP_TRACE is set. */
G_GNUC_PRINTF(2, 3)
static void trace(const struct model *m, const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list args;

	if (!m->tracing)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_printerr("%d: %s\n", (int)m->now_ms, text);
}

static void free_run(gpointer data)
{
	struct model_run *run = data;

	g_free(run->task);
	g_free(run);
}

static void free_end(gpointer data)
{
	struct model_end *end = data;

	g_free(end->task);
	g_free(end);
}

static void worker_init(struct model *m, struct model_worker *w)
{
	w->up = TRUE;
	/* Unix time is the virtual clock plus 1000000 ms. */
	w->started_ms = (guint64)m->now_ms + 1000000;
	w->clock_start_ms = 1000;
	w->clock_permille = 980;
	if (m->load.clocks_differ) {
		w->clock_start_ms = g_rand_int_range(m->rand, 1, 100) * 1000 *
				    (g_rand_boolean(m->rand) ? 1 : 50);
		w->clock_permille = g_rand_int_range(m->rand, 980, 1001);
	}
	w->lease_until_ms = 0;
	w->fencing_token = 0;
	w->next_end = 1;
	w->acked = 0;
	w->runs = g_ptr_array_new_with_free_func(free_run);
	w->ends = g_ptr_array_new_with_free_func(free_end);
	w->last_ended_attempt = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, NULL);
}

static void worker_clear(struct model_worker *w)
{
	g_ptr_array_unref(w->runs);
	g_ptr_array_unref(w->ends);
	g_hash_table_unref(w->last_ended_attempt);
}

static gint64 worker_clock(const struct model *m, const struct model_worker *w)
{
	return w->clock_start_ms +
	       (m->now_ms + 1000000 - (gint64)w->started_ms) *
		       w->clock_permille / 1000;
}

static struct model_job *find_job(struct model *m, const char *task,
				  guint *step)
{
	g_auto(GStrv) parts = g_strsplit(task, ".", -1);

	ck_assert_uint_eq(g_strv_length(parts), 4);
	*step = (guint)atoi(parts[2]);
	return g_hash_table_lookup(m->jobs, parts[0]);
}

static void check_step_order(struct model *m, const char *id,
			     const struct Rp__StepJob *spec, guint step)
{
	const struct Rp__StepSpec *s = spec->steps[step];
	size_t i;
	guint k;

	for (i = 0; i < s->n_after; i++) {
		const struct Rp__StepSpec *before = spec->steps[s->after[i]];
		guint ended = 0;

		for (k = 0; k < before->replicas; k++) {
			g_autofree char *name = g_strdup_printf(
				"%s.0.%u.%u", id, s->after[i], k);

			if (g_hash_table_contains(m->done_anywhere, name))
				ended++;
		}
		/* The members of a gang end together, so one end is enough. */
		ck_assert_msg(ended == before->replicas ||
				      (before->gang && ended),
			      "seed %u: step %u of %s began before step %u",
			      m->seed, step, id, s->after[i]);
	}
}

/* Checks that the leader has not given up a run that has started, since it
 * would order the task elsewhere. */
static void check_known(struct model *m, int vm, const char *task,
			guint32 attempt)
{
	const struct sch *sch = m->leaders[m->current].sch;
	const struct sch_vm *v;

	if (!sch)
		return;
	v = g_hash_table_lookup(sch->vms, m->vms[vm].name);
	/* ck_assert_msg() writes to a file each time, and this is called for
	 * each run at each step. */
	if (!v || !sch_run_find(v, task, attempt))
		ck_abort_msg("seed %u, %d ms: %s, attempt %u, runs on vm %d, "
			     "and the leader has given it up",
			     m->seed, (int)m->now_ms, task, attempt, vm);
}

/* Checks what must hold when a worker starts a run. */
static void check_start(struct model *m, int vm, const char *task,
			guint32 attempt, gint64 cpu_milli)
{
	g_auto(GStrv) parts = g_strsplit(task, ".", -1);
	gint64 used = cpu_milli;
	guint step;
	struct model_job *job = find_job(m, task, &step);
	guint i;
	int v;

	ck_assert_msg(job != NULL, "the job of %s was never submitted", task);
	ck_assert_msg(!job->refused, "the job of %s was refused", task);
	ck_assert_msg(!g_hash_table_contains(m->done_acked, task),
		      "seed %u: %s began after its end was acknowledged",
		      m->seed, task);
	ck_assert_msg(
		GPOINTER_TO_UINT(g_hash_table_lookup(m->failures_acked, task)) <
			MAX_ATTEMPTS,
		"seed %u: %s began after too many failures", m->seed, task);
	check_step_order(m, parts[0], job->spec, step);
	for (v = 0; v < VMS; v++) {
		struct model_worker *w = &m->vms[v].worker;

		for (i = 0; w->up && i < w->runs->len; i++) {
			struct model_run *run = w->runs->pdata[i];

			if (v == vm)
				used += run->cpu_milli;
			ck_assert_msg(strcmp(run->task, task) != 0,
				      "seed %u: %s runs on %d and %d", m->seed,
				      task, v, vm);
		}
	}
	ck_assert_msg(used <= CAPACITY_MILLI,
		      "seed %u: the runs on vm %d need %d milli-CPUs, more "
		      "than its capacity",
		      m->seed, vm, (int)used);
	check_known(m, vm, task, attempt);
	m->starts++;
}

static void end_run(struct model *m, struct model_worker *w, guint index,
		    Rp__RunEndKind kind)
{
	struct model_run *run = w->runs->pdata[index];
	struct model_end *end = g_new0(struct model_end, 1);
	guint32 last_ended = GPOINTER_TO_UINT(
		g_hash_table_lookup(w->last_ended_attempt, run->task));

	end->number = w->next_end++;
	end->task = g_strdup(run->task);
	end->attempt = run->attempt;
	end->kind = kind;
	if (kind == RP__RUN_END_KIND__RUN_END_DONE)
		g_hash_table_add(m->done_anywhere, g_strdup(run->task));
	g_hash_table_insert(w->last_ended_attempt, g_strdup(run->task),
			    GUINT_TO_POINTER(MAX(last_ended, run->attempt)));
	g_ptr_array_add(w->ends, end);
	g_ptr_array_remove_index(w->runs, index);
}

/* Checks that the worker's lease ends no later than the leader takes it to end,
 * once the leader relies on that. */
static void check_lease(struct model *m, int vm)
{
	const struct model_worker *w = &m->vms[vm].worker;
	const struct sch *sch = m->leaders[m->current].sch;
	const struct sch_vm *v;

	if (!sch || w->lease_until_ms <= worker_clock(m, w))
		return;
	v = g_hash_table_lookup(sch->vms, m->vms[vm].name);
	if (!v || (!v->adopted && !v->lease_reported) || !v->lease_until_ms ||
	    v->worker_started_ms != w->started_ms ||
	    (v->incarnation_first_seen_ms &&
	     m->now_ms <= v->incarnation_first_seen_ms +
				  SCH_MAX_ORDER_DELAY_MS +
				  SCH_MAX_LEASE_MS * 1000 / 980))
		return;
	if (w->lease_until_ms > v->lease_until_ms)
		ck_abort_msg("seed %u, %d ms: the lease of vm %d ends at %d, "
			     "and the leader takes it to end at %d",
			     m->seed, (int)m->now_ms, vm,
			     (int)w->lease_until_ms, (int)v->lease_until_ms);
}

static void worker_tick(struct model *m, int vm)
{
	struct model_worker *w = &m->vms[vm].worker;
	guint i = 0;

	if (!w->up) {
		if (m->now_ms >= w->restart_ms) {
			worker_clear(w);
			worker_init(m, w);
		}
		return;
	}
	if (worker_clock(m, w) > w->lease_until_ms)
		for (i = 0; i < w->ends->len; i++)
			((struct model_end *)w->ends->pdata[i])->lease_expired =
				TRUE;
	i = 0;
	while (i < w->runs->len) {
		struct model_run *run = w->runs->pdata[i];

		if (worker_clock(m, w) > w->lease_until_ms)
			end_run(m, w, i, RP__RUN_END_KIND__RUN_END_LAPSED);
		else if (run->stop_ms && m->now_ms >= run->stop_ms)
			end_run(m, w, i, RP__RUN_END_KIND__RUN_END_STOPPED);
		else if (m->now_ms >= run->end_ms)
			end_run(m, w, i, run->outcome);
		else
			i++;
	}
	check_lease(m, vm);
	for (i = 0; i < w->runs->len; i++) {
		const struct model_run *run = w->runs->pdata[i];

		check_known(m, vm, run->task, run->attempt);
	}
}

static enum runs_outcome worker_start(struct model *m, int vm,
				      const struct runs_call *call,
				      const char **reason)
{
	struct model_worker *w = &m->vms[vm].worker;
	guint32 last_ended = GPOINTER_TO_UINT(
		g_hash_table_lookup(w->last_ended_attempt, call->task));
	guint step;
	struct model_job *job = find_job(m, call->task, &step);
	struct model_run *run;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		run = w->runs->pdata[i];
		if (strcmp(run->task, call->task))
			continue;
		if (run->attempt == call->attempt)
			return RUNS_OK;
	}
	if (last_ended >= call->attempt) {
		*reason = "old";
		return RUNS_REFUSED;
	}
	/* The lease is that of the worker, so a late call may run under a newer
	 * one than its own. */
	if (w->lease_until_ms <= worker_clock(m, w)) {
		*reason = "late";
		return RUNS_REFUSED;
	}
	ck_assert_ptr_nonnull(job);
	check_start(m, vm, call->task, call->attempt,
		    job->spec->steps[step]->need->cpu_milli);
	run = g_new0(struct model_run, 1);
	run->task = g_strdup(call->task);
	run->attempt = call->attempt;
	run->started_ms = m->now_ms;
	run->end_ms = m->now_ms +
		      (fault_occurs(m, m->load.long_run_probability)
			       ? g_rand_int_range(m->rand, 2500, 15000)
			       : g_rand_int_range(m->rand, 200, 2500));
	run->outcome = g_rand_double(m->rand) < 0.05
			       ? RP__RUN_END_KIND__RUN_END_FAILED
			       : RP__RUN_END_KIND__RUN_END_DONE;
	run->cpu_milli = job->spec->steps[step]->need->cpu_milli;
	g_ptr_array_add(w->runs, run);
	return RUNS_OK;
}

static void worker_stop(struct model *m, struct model_worker *w,
			const struct runs_call *call)
{
	guint32 last_ended = GPOINTER_TO_UINT(
		g_hash_table_lookup(w->last_ended_attempt, call->task));
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		struct model_run *run = w->runs->pdata[i];

		if (!strcmp(run->task, call->task) &&
		    run->attempt <= call->attempt && !run->stop_ms)
			run->stop_ms = m->now_ms + STOP_DELAY_MS;
	}
	g_hash_table_insert(w->last_ended_attempt, g_strdup(call->task),
			    GUINT_TO_POINTER(MAX(last_ended, call->attempt)));
}

static void acknowledge_ends(struct model *m, struct model_worker *w,
			     guint64 through)
{
	guint i = 0;

	while (i < w->ends->len) {
		struct model_end *end = w->ends->pdata[i];

		if (end->number > through) {
			i++;
			continue;
		}
		if (end->lease_expired) {
			g_ptr_array_remove_index(w->ends, i);
			continue;
		}
		if (end->kind == RP__RUN_END_KIND__RUN_END_DONE)
			g_hash_table_add(m->done_acked, g_strdup(end->task));
		if (end->kind == RP__RUN_END_KIND__RUN_END_FAILED) {
			guint n = GPOINTER_TO_UINT(g_hash_table_lookup(
				m->failures_acked, end->task));

			g_hash_table_insert(m->failures_acked,
					    g_strdup(end->task),
					    GUINT_TO_POINTER(n + 1));
		}
		g_ptr_array_remove_index(w->ends, i);
	}
}

static void set_lists(struct model *m, struct model_worker *w,
		      struct runs_answer *answer)
{
	guint i;

	answer->clock_ms = worker_clock(m, w);
	answer->worker_started_ms = w->started_ms;
	answer->n_running = w->runs->len;
	answer->running = g_new0(struct Rp__RunRow *, w->runs->len + 1);
	for (i = 0; i < w->runs->len; i++) {
		const struct model_run *run = w->runs->pdata[i];
		struct Rp__RunRow *row = g_malloc(sizeof(*row));

		rp__run_row__init(row);
		row->run = wire_run_name_new(run->task, run->attempt);
		row->percent = (guint32)((m->now_ms - run->started_ms) * 100 /
					 MAX(run->end_ms - run->started_ms, 1));
		answer->running[i] = row;
	}
	answer->n_ended = w->ends->len;
	answer->ended = g_new0(struct Rp__RunEnd *, w->ends->len + 1);
	for (i = 0; i < w->ends->len; i++) {
		const struct model_end *end = w->ends->pdata[i];
		struct Rp__RunEnd *row = g_malloc(sizeof(*row));

		rp__run_end__init(row);
		row->run = wire_run_name_new(end->task, end->attempt);
		row->number = end->number;
		row->kind = end->kind;
		answer->ended[i] = row;
	}
}

#endif
