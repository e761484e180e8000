#include "rig.h"

#include <string.h>

/*
 * One worker of twelve fails all that it starts for some seconds, with good
 * heartbeats, and is sound again after that. Meanwhile a job is handed in whose
 * task needs this worker's label, and fails once of the three times that it
 * may. Ordinary jobs come all the while. Judged, from finish_s after the
 * traffic: the job is done or runs within 3 s.
 */

#define N_ENTRIES 3
#define N_WORKERS 12
#define GREY_MS 6500
#define ID "5c0e7a21d94b36f8"
/** Ordinary jobs go on for this time after the worker is sound again. */
#define AFTER_MS 20000
#define WATCH_MS 10000
#define TASK_CPU 2000

static struct rig_process *entries[N_ENTRIES];
static struct rig_worker *workers[N_WORKERS];
static int n_ordinary;

static json_t *job_new(int replicas, const char *label)
{
	json_t *phase = json_pack("{s:i,s:i,s:i,s:i}", "replicas", replicas,
				  "cpu", TASK_CPU, "mem_mb", 64, "estimated_ms",
				  800);

	if (label)
		json_object_set_new(phase, "node_selector", json_string(label));
	return json_pack("{s:s,s:[o]}", "spec", "score", "phases", phase);
}

/* Hands in ordinary jobs for this time, about one a second. */
static void ordinary_jobs(gint64 ms)
{
	gint64 until = rig_ms() + ms;

	while (rig_ms() < until) {
		g_autofree char *id = g_strdup_printf("%016x",
						      0xd000 + n_ordinary++);

		rig_describe(id, 800, 0, TASK_CPU);
		rig_submit(entries, N_ENTRIES, "/photos/", id, job_new(4, NULL),
			   3);
		rig_run(MIN(900, MAX(until - rig_ms(), 1)));
	}
}

int main(int argc G_GNUC_UNUSED, char **argv)
{
	static const struct rig_route routes[] = {
		{ "r-photos", "/photos/", 0, 3 },
		{ "r-scores", "/scores/", 0, 3 },
	};
	g_autofree char *state = NULL;
	struct rig_accepted job = { .id = ID, .n_tasks = 1, .cpu = TASK_CPU };
	gint64 lost_ms;
	gint64 from;
	int i;

	rig_init(argv[1]);
	rig_store_start();
	rig_config(7, routes, G_N_ELEMENTS(routes));
	for (i = 0; i < N_ENTRIES; i++)
		entries[i] = rig_entry_start(i + 1, 260);
	for (i = 0; i < N_WORKERS; i++) {
		workers[i] = rig_worker_new(i + 1, 64000, 250000);
		if (!i)
			rig_worker_set_kind(workers[i], "b");
		rig_agent_start(i + 1, workers[i]);
	}
	job.worker = workers[0];
	rig_wait_ready(entries[0], 15000);
	rig_run(3000);
	ordinary_jobs(4000);
	if (rig_trouble)
		rig_worker_fail_after(workers[0], 300);
	from = rig_ms();
	rig_describe(ID, 800, 0, TASK_CPU);
	if (!rig_submit(entries, N_ENTRIES, "/scores/", ID, job_new(1, "b"), 5))
		rig_exit(2, "the job was not accepted");
	ordinary_jobs(GREY_MS - (rig_ms() - from));
	if (rig_trouble)
		rig_worker_fail_after(workers[0], 0);
	ordinary_jobs(AFTER_MS);
	lost_ms = rig_lost_ms(&job, rig_ms(), WATCH_MS);
	state = rig_state(entries[0], "/scores/", ID);
	if (lost_ms > RIG_LOST_MS)
		rig_exit(1,
			 "%d s after its worker is sound again and 14 s after "
			 "all traffic, nothing of the job runs for %.1f s; it "
			 "is shown as %s, %u runs ended failed of 3 that may",
			 (AFTER_MS + 14000) / 1000, (double)lost_ms / 1000,
			 state, rig_count(ID, "failed"));
	rig_exit(0, "the job is shown as %s, %u runs ended failed", state,
		 rig_count(ID, "failed"));
}
