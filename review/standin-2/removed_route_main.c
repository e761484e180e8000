#include "rig.h"

#include <string.h>

/*
 * A job with two steps is accepted and its first step runs when the operator
 * removes the job's route; another route to the same service stays. Judged:
 * finish_s after the traffic the job is done or runs within 3 s.
 */

#define N_ENTRIES 2
#define N_WORKERS 3
#define ID "5c0e7a21d94b36f8"

static struct rig_process *entries[N_ENTRIES];

static json_t *two_steps(void)
{
	return json_pack("{s:s,s:[{s:i,s:i,s:i,s:i},{s:i,s:i,s:i,s:i,s:[i]}]}",
			 "spec", "stalls", "phases", "replicas", 2, "cpu", 500,
			 "mem_mb", 64, "estimated_ms", 4000, "replicas", 2,
			 "cpu", 500, "mem_mb", 64, "estimated_ms", 4000,
			 "after", 0);
}

int main(int argc G_GNUC_UNUSED, char **argv)
{
	static const struct rig_route routes[] = {
		{ "r-stalls", "/stalls/", 0, 3 },
		{ "r-photos", "/photos/", 0, 3 },
	};
	const struct rig_accepted job = { .id = ID, .n_tasks = 4, .cpu = 1000 };
	gint64 traffic_end_ms;
	gint64 lost_ms;
	int i;

	rig_init(argv[1]);
	rig_store_start();
	rig_config(7, routes, 2);
	for (i = 0; i < N_ENTRIES; i++)
		entries[i] = rig_entry_start(i + 1, 260);
	for (i = 0; i < N_WORKERS; i++)
		rig_agent_start(i + 1, rig_worker_new(i + 1, 16000, 64000));
	rig_wait_ready(entries[0], 15000);
	rig_run(3000);
	rig_describe(ID, 4000, 0, 500);
	if (!rig_submit(entries, N_ENTRIES, "/stalls/", ID, two_steps(), 5))
		rig_exit(2, "the job was not accepted");
	traffic_end_ms = rig_ms();
	rig_run(2000);
	if (rig_count(ID, NULL) != 2)
		rig_exit(2, "the first step does not run");
	if (rig_trouble)
		rig_config(9, routes + 1, 1);
	else
		rig_config(9, routes, 2);
	lost_ms = rig_lost_ms(&job, traffic_end_ms, 10000);
	/* What clients see now. */
	rig_ask(entries, N_ENTRIES, "/stalls/", ID, N_ENTRIES);
	rig_call(entries[0], "DELETE", "/stalls/" ID, NULL, 3000, NULL);
	if (lost_ms > RIG_LOST_MS)
		rig_exit(1,
			 "14 s after the traffic nothing of the accepted job "
			 "runs for %.1f s, %u of its 4 tasks are done",
			 (double)lost_ms / 1000, rig_count(ID, "done"));
	rig_exit(0, "%u of 4 tasks were done", rig_count(ID, "done"));
}
