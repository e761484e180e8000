#ifndef SCHED_WORKER_TEST_H
#define SCHED_WORKER_TEST_H

#include <time.h>

#include "leader_test.h"

/** CPU time that a leader may need for an event: three of its ticks, with the
 * CPU share of a small entry, a quarter. */
#define MAX_EVENT_MS 15

/* Returns the CPU time of this process, us. */
G_GNUC_UNUSED static gint64 cpu_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (gint64)time.tv_sec * G_USEC_PER_SEC + time.tv_nsec / 1000;
}

/* A worker on vm1 that ends each task as soon as it was started. */

/** Tasks that were started, and the number of end records of the worker. */
struct worker {
	/** Owned names, in the order of their starts. */
	GPtrArray *started;
	guint64 n_ends;
};

G_GNUC_UNUSED static void worker_init(struct worker *worker)
{
	worker->started = g_ptr_array_new_with_free_func(g_free);
	worker->n_ends = 0;
}

G_GNUC_UNUSED static void worker_clear(struct worker *worker)
{
	g_ptr_array_unref(worker->started);
}

/* Ends each task that the orders since clear_effects() start as done. */
G_GNUC_UNUSED static void end_started_tasks(struct leader *l,
					    struct worker *worker)
{
	struct row rows[8] = { { 0 } };
	size_t n = 0;
	guint i;
	size_t k;

	for (i = 0; i < l->effects->len; i++) {
		const struct sch_effect *e =
			&g_array_index(l->effects, struct sch_effect, i);

		if (e->kind != SCH_EFFECT_ORDERS)
			continue;
		for (k = 0; k < e->frame->vm_orders->n_starts; k++) {
			const struct Rp__RunName *run =
				e->frame->vm_orders->starts[k]->run;

			ck_assert_uint_lt(n, G_N_ELEMENTS(rows));
			g_ptr_array_add(worker->started, g_strdup(run->task));
			rows[n].task = g_ptr_array_index(
				worker->started, worker->started->len - 1);
			rows[n].attempt = run->attempt;
			rows[n].ended = RP__RUN_END_KIND__RUN_END_DONE;
			rows[n++].number = ++worker->n_ends;
		}
	}
	clear_effects(l);
	report(l, "vm1", 50, rows, n);
}

/* Lets time pass in steps of 200 ms; tasks end as soon as they have started. */
G_GNUC_UNUSED static void work(struct leader *l, struct worker *worker,
			       gint64 ms)
{
	gint64 until_ms = l->now_ms + ms;

	while (l->now_ms < until_ms) {
		confirm_leadership(l);
		commit(l);
		end_started_tasks(l, worker);
	}
}

G_GNUC_UNUSED static guint count_started(const struct worker *worker,
					 const char *prefix)
{
	guint n = 0;
	guint i;

	for (i = 0; i < worker->started->len; i++)
		if (g_str_has_prefix(worker->started->pdata[i], prefix))
			n++;
	return n;
}

G_GNUC_UNUSED static void assert_started_once(const struct worker *worker)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < worker->started->len; i++)
		ck_assert_msg(
			g_hash_table_add(names, worker->started->pdata[i]),
			"%s was started twice",
			(const char *)worker->started->pdata[i]);
}

#endif
