#include "rig.h"

#include <string.h>

/*
 * One job with a schedule whose interval is far too short: 86,400 times, one
 * millisecond apart, as if it had been given in seconds. Judged: a small job
 * that was accepted before goes on with its second step, and its state can be
 * read. With TROUBLE=0 the interval is a second.
 */

#define N_ENTRIES 3
#define N_WORKERS 11
#define WORKER_CPU 64000
#define TASK_CPU 960
#define BEFORE "5c0e7a21d94b36f8"
#define SCHEDULE "00000000000000bb"
#define STEP_MS 40000
#define ASK_FROM_MS 75000

static struct rig_process *entries[N_ENTRIES];
static struct rig_worker *workers[N_WORKERS];

static json_t *two_steps(void)
{
	return json_pack("{s:s,s:[{s:i,s:i,s:i,s:i},{s:i,s:i,s:i,s:i,s:[i]}]}",
			 "spec", "stalls", "phases", "replicas", 2, "cpu", 500,
			 "mem_mb", 64, "estimated_ms", STEP_MS, "replicas", 2,
			 "cpu", 500, "mem_mb", 64, "estimated_ms", STEP_MS,
			 "after", 0);
}

static json_t *schedule(void)
{
	return json_pack("{s:s,s:I,s:i,s:i,s:[{s:i,s:i,s:i,s:i}]}", "spec",
			 "count", "start_at_ms",
			 (json_int_t)(g_get_real_time() / 1000), "interval_ms",
			 rig_trouble ? 1 : 1000, "repeat_count", 86400,
			 "phases", "replicas", 6, "cpu", TASK_CPU, "mem_mb",
			 256, "estimated_ms", 640);
}

/* TRUE while under half of the service's capacity is in use. */
static gboolean has_room(void)
{
	int used = 0;
	int i;

	for (i = 0; i < N_WORKERS; i++)
		used += rig_worker_used(workers[i]) * TASK_CPU;
	return used < N_WORKERS * WORKER_CPU / 2;
}

int main(int argc G_GNUC_UNUSED, char **argv)
{
	static const struct rig_route routes[] = {
		{ "r-stalls", "/stalls/", 0, 3 },
		{ "r-count", "/count/", 2, 3 },
	};
	guint answered = 0;
	guint asked = 0;
	guint at_work;
	gint64 idle_from = 0;
	gint64 idle_ms = 0;

	int i;

	rig_init(argv[1]);
	rig_store_start();
	rig_config(7, routes, G_N_ELEMENTS(routes));
	for (i = 0; i < N_ENTRIES; i++)
		entries[i] = rig_entry_start(i + 1, 260);
	for (i = 0; i < N_WORKERS; i++) {
		workers[i] = rig_worker_new(i + 1, WORKER_CPU, 250000);
		rig_agent_start(i + 1, workers[i]);
	}
	rig_wait_ready(entries[0], 15000);
	rig_run(3000);
	rig_describe(BEFORE, STEP_MS, 0);
	rig_describe(SCHEDULE, 640, 0);
	if (!rig_submit(entries, N_ENTRIES, "/stalls/", BEFORE, two_steps(), 5))
		rig_exit(2, "the job was not accepted");
	rig_run(1000);
	if (rig_count(BEFORE, NULL) != 2)
		rig_exit(2, "the first step does not run");
	if (!rig_submit(entries, N_ENTRIES, "/count/", SCHEDULE, schedule(), 5))
		rig_exit(2, "the schedule was not accepted");
	while (rig_ms() < ASK_FROM_MS) {
		rig_run(100);
		at_work = rig_count(BEFORE, NULL);
		if (at_work || !has_room() || rig_count(BEFORE, "done") == 4)
			idle_from = rig_ms();
		else if (idle_from)
			idle_ms = MAX(idle_ms, rig_ms() - idle_from);
	}
	for (i = 0; i < 9; i++) {
		g_autofree char *state = rig_state(entries[i % N_ENTRIES],
						   "/stalls/", BEFORE);

		asked++;
		if (*state)
			answered++;
		rig_run(500);
	}
	if (idle_ms > 3000 || !answered)
		rig_exit(1,
			 "nothing of the job that was accepted before ran for "
			 "%.1f s, %u of its 4 tasks are done; of %u calls for "
			 "its state %u were answered with one",
			 (double)idle_ms / 1000, rig_count(BEFORE, "done"),
			 asked, answered);
	rig_exit(0, "the job is at work, %u of %u calls for its state answered",
		 answered, asked);
}
