#include "rig.h"

#include <string.h>

/*
 * A job of three tasks that work only together, of which copies may run in
 * parallel (gang_scheduled and speculative). With TROUBLE the estimate is too
 * low. Judged: no run ends alone.
 */

#define N_ENTRIES 2
#define N_WORKERS 3
#define ID "5c0e7a21d94b36f8"
#define WORK_MS 10000
#define WAIT_MS 60000
#define LOW_ESTIMATE_MS 2000

static struct rig_process *entries[N_ENTRIES];

static gboolean is_done(void *ctx G_GNUC_UNUSED)
{
	return rig_count(ID, "done") >= 3;
}

int main(int argc G_GNUC_UNUSED, char **argv)
{
	static const struct rig_route routes[] = {
		{ "r-match", "/match/", 0, 3 },
	};
	json_t *job;
	gint64 from;
	guint alone;
	int i;

	rig_init(argv[1]);
	rig_store_start();
	rig_config(7, routes, 1);
	for (i = 0; i < N_ENTRIES; i++)
		entries[i] = rig_entry_start(i + 1, 260);
	/* Room for four tasks, one more than the gang has. */
	for (i = 0; i < N_WORKERS; i++)
		rig_agent_start(i + 1,
				rig_worker_new(i + 1, i ? 8000 : 16000, 64000));
	rig_wait_ready(entries[0], 15000);
	rig_run(3000);
	rig_describe(ID, WORK_MS, 3, 8000);
	job = json_pack("{s:s,s:[{s:i,s:i,s:i,s:i,s:b,s:b}]}", "spec", "match",
			"phases", "replicas", 3, "cpu", 8000, "mem_mb", 64,
			"estimated_ms", rig_trouble ? LOW_ESTIMATE_MS : WORK_MS,
			"gang_scheduled", 1, "speculative", 1);
	if (!rig_submit(entries, N_ENTRIES, "/match/", ID, job, 5))
		rig_exit(2, "the job was not accepted");
	from = rig_ms();
	rig_wait(is_done, NULL, WAIT_MS);
	alone = rig_count(ID, "alone");
	if (alone)
		rig_exit(
			1,
			"%u runs ended alone, %u were stopped, %u were broken, "
			"%u are done; the job needs %d s of work and got %d s",
			alone, rig_count(ID, "stopped"),
			rig_count(ID, "broken"), rig_count(ID, "done"),
			WORK_MS / 1000, (int)(rig_ms() - from) / 1000);
	rig_exit(0, "the job is done, no run ended alone");
}
