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

/** What a test submits and injects. */
struct model_load {
	gint64 submit_interval_ms;
	/** Upper bounds for a step: of its tasks, and of each task's CPUs. */
	gint32 max_replicas;
	gint32 max_cpu_milli;
	/** Longest time until another leader is elected. */
	gint32 max_term_ms;
	/** Probability for each step of time that a worker becomes
	 * unresponsive. */
	double unresponsive_probability;
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
	/** Incarnations of the sending agent and of the worker: a call in
	 * flight ends with either process. */
	guint agent_epoch;
	guint64 worker_started_ms;
	gboolean delivered;
	/** The worker carries it out, but the answer is lost. */
	gboolean answer_lost;
	gint64 timeout_ms;
	gboolean timed_out;
};

struct model_frame {
	struct Rp__Frame *frame;
	gint64 arrival_ms;
	int vm;
	gboolean to_agent;
	/** Number of its connection; frames are lost with their connection. */
	guint link_epoch;
	guint leader;
};

struct model_vm {
	struct runs *runs;
	guint agent_epoch;
	gint64 agent_restart_ms;
	struct model_worker worker;
	/** Index of the leader that the agent accepts orders from. */
	guint leader;
	/** Revision at which that leader was elected; 0 for none. */
	guint64 elected_revision;
	/** Until then the worker leaves most calls unanswered. */
	gint64 unresponsive_until_ms;
};

struct model_leader {
	struct sch *sch;
	guint64 fencing_token;
	gboolean elected;
	/** When the leader's process ends. */
	gint64 end_ms;
	struct kv_txn *txn;
	gint64 txn_end_ms;
	gboolean connected[VMS];
	guint link_epoch[VMS];
	gint64 reconnect_ms[VMS];
	gint64 next_confirm_ms;
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
	gint64 now_ms;
	gboolean faults_off;
	struct model_load load;
	struct model_vm vms[VMS];
	struct model_leader leaders[3];
	guint n_leaders;
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
	guint64 next_ref;
	guint starts;
	guint64 events;
};

static gboolean fault_occurs(struct model *m, double p)
{
	return !m->faults_off && g_rand_double(m->rand) < p;
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

/* The worker's own clock: it reads 1000 ms at the start of the incarnation and
 * is 2 % slow. */
static gint64 worker_clock(const struct model *m, const struct model_worker *w)
{
	return 1000 + (m->now_ms + 1000000 - (gint64)w->started_ms) * 98 / 100;
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

/* Checks what must hold when a worker starts a run. */
static void check_start(struct model *m, int vm, const char *task,
			gint64 cpu_milli)
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

static void worker_tick(struct model *m, struct model_worker *w)
{
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
	check_start(m, vm, call->task, job->spec->steps[step]->need->cpu_milli);
	run = g_new0(struct model_run, 1);
	run->task = g_strdup(call->task);
	run->attempt = call->attempt;
	run->started_ms = m->now_ms;
	run->end_ms = m->now_ms + g_rand_int_range(m->rand, 200, 2500);
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
