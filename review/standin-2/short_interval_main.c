#include "rig.h"

#include <string.h>

/*
 * One job with a schedule whose interval is far too short: 86,400 times, one
 * millisecond apart, as if it had been given in seconds. Judged, from finish_s
 * after the traffic: a small job that was accepted before runs within 3 s. With
 * TROUBLE=0 the interval is a second.
 */

#define N_ENTRIES 3
#define N_WORKERS 11
#define BEFORE "5c0e7a21d94b36f8"
#define SCHEDULE "00000000000000bb"
#define STEP_MS 20000
#define TASK_CPU 960
#define WATCH_MS 45000
#define ASKED 6

static struct rig_process *entries[N_ENTRIES];

static json_t *four_steps(void)
{
	json_t *phases = json_array();
	int i;

	for (i = 0; i < 4; i++) {
		json_t *phase = json_pack("{s:i,s:i,s:i,s:i}", "replicas", 2,
					  "cpu", 500, "mem_mb", 64,
					  "estimated_ms", STEP_MS);

		if (i)
			json_object_set_new(phase, "after",
					    json_pack("[i]", i - 1));
		json_array_append_new(phases, phase);
	}
	return json_pack("{s:s,s:o}", "spec", "stalls", "phases", phases);
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

int main(int argc G_GNUC_UNUSED, char **argv)
{
	static const struct rig_route routes[] = {
		{ "r-stalls", "/stalls/", 0, 3 },
		{ "r-count", "/count/", 2, 3 },
	};
	const struct rig_accepted job = { .id = BEFORE,
					  .n_tasks = 8,
					  .cpu = 1000 };
	gint64 lost_ms;
	guint answered;
	int i;

	rig_init(argv[1]);
	rig_store_start();
	rig_config(7, routes, G_N_ELEMENTS(routes));
	for (i = 0; i < N_ENTRIES; i++)
		entries[i] = rig_entry_start(i + 1, 260);
	for (i = 0; i < N_WORKERS; i++)
		rig_agent_start(i + 1, rig_worker_new(i + 1, 64000, 250000));
	rig_wait_ready(entries[0], 15000);
	rig_run(3000);
	rig_describe(BEFORE, STEP_MS, 0, 500);
	rig_describe(SCHEDULE, 640, 0, TASK_CPU);
	if (!rig_submit(entries, N_ENTRIES, "/stalls/", BEFORE, four_steps(),
			5))
		rig_exit(2, "the job was not accepted");
	rig_run(1000);
	if (rig_count(BEFORE, NULL) != 2)
		rig_exit(2, "the first step does not run");
	if (!rig_submit(entries, N_ENTRIES, "/count/", SCHEDULE, schedule(), 5))
		rig_exit(2, "the schedule was not accepted");
	lost_ms = rig_lost_ms(&job, rig_ms(), WATCH_MS);
	answered = rig_ask(entries, N_ENTRIES, "/stalls/", BEFORE, ASKED);
	if (lost_ms > RIG_LOST_MS)
		rig_exit(1,
			 "later than 14 s after the traffic nothing of the job "
			 "that was accepted before runs for %.1f s, %u of its "
			 "8 tasks are done, %u runs lapsed; %u of %d calls for "
			 "its state were answered with one",
			 (double)lost_ms / 1000, rig_count(BEFORE, "done"),
			 rig_count(BEFORE, "lapsed"), answered, ASKED);
	rig_exit(0, "%u tasks of the job done, %u run, %u of %d calls answered",
		 rig_count(BEFORE, "done"), rig_count(BEFORE, NULL), answered,
		 ASKED);
}
