#include "rig.h"

#include <string.h>

/*
 * With TROUBLE one heartbeat from another writer, of a service that is not
 * named in the configuration, reaches each agent. The workers go on with
 * theirs. Judged: a job handed in afterwards starts, and runs are not lost.
 */

#define N_ENTRIES 2
#define N_WORKERS 3
#define BEFORE "5c0e7a21d94b36f8"
#define AFTER "5c0e7a21d94b36f9"

static struct rig_process *entries[N_ENTRIES];
static struct rig_worker *workers[N_WORKERS];

static gboolean runs(void *ctx)
{
	return rig_count(ctx, NULL) >= 3;
}

static gboolean is_done(void *ctx)
{
	return rig_count(ctx, "done") >= 3;
}

static json_t *job(gboolean lasts)
{
	json_t *json = json_pack("{s:s,s:[{s:i,s:i,s:i,s:i}]}", "spec", "x",
				 "phases", "replicas", 3, "cpu", 500, "mem_mb",
				 64, "estimated_ms", 800);

	if (lasts)
		json_object_set_new(
			json_array_get(json_object_get(json, "phases"), 0),
			"long_running", json_true());
	return json;
}

int main(int argc G_GNUC_UNUSED, char **argv)
{
	static const struct rig_route routes[] = {
		{ "r-photos", "/photos/", 0, 3 },
	};
	guint lapsed;
	int i;

	rig_init(argv[1]);
	rig_store_start();
	rig_config(7, routes, 1);
	for (i = 0; i < N_ENTRIES; i++)
		entries[i] = rig_entry_start(i + 1, 260);
	for (i = 0; i < N_WORKERS; i++) {
		workers[i] = rig_worker_new(i + 1, 16000, 64000);
		rig_agent_start(i + 1, workers[i]);
	}
	rig_wait_ready(entries[0], 15000);
	rig_run(3000);
	rig_describe(BEFORE, 0, 0);
	rig_describe(AFTER, 800, 0);
	if (!rig_submit(entries, N_ENTRIES, "/photos/", BEFORE, job(TRUE), 5) ||
	    !rig_wait(runs, (void *)BEFORE, 8000))
		rig_exit(2, "the lasting job does not run");
	rig_run(3000);
	for (i = 0; rig_trouble && i < N_WORKERS; i++) {
		g_autofree char *id = g_strdup_printf("i-%08x", 0xbeef00 + i);

		rig_foreign_heartbeat(
			workers[i], id,
			json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,"
				  "s:{s:i,s:i,s:i},s:[s,s],s:i,s:i,s:I}",
				  "backend", "not-a-service", "address",
				  "127.0.0.99:9", "zone", "zone-a", "version",
				  "v0", "slots", 8, "state", "ready",
				  "cold_remaining_ms", 0, "capacity", "cpu",
				  16000, "mem_mb", 64000, "gpu", 0, "labels",
				  "a", "r1-1", "sequence", 1, "clock_ms", 5000,
				  "born",
				  (json_int_t)(g_get_real_time() / 1000)));
		rig_run(1000);
	}
	rig_run(20000);
	if (!rig_submit(entries, N_ENTRIES, "/photos/", AFTER, job(FALSE), 5))
		rig_exit(2, "the second job was not accepted");
	rig_wait(is_done, (void *)AFTER, 30000);
	lapsed = rig_count(BEFORE, "lapsed");
	if (lapsed || !is_done((void *)AFTER))
		rig_exit(1,
			 "%u runs of the lasting job lapsed on sound workers, "
			 "%u of 3 tasks run; the job handed in 20 s later has "
			 "%u of 3 tasks done after 30 s on idle workers; last "
			 "renewals of leases %.1f, %.1f and %.1f s ago",
			 lapsed, rig_count(BEFORE, NULL),
			 rig_count(AFTER, "done"),
			 (double)(rig_ms() - rig_worker_held_ms(workers[0])) /
				 1000,
			 (double)(rig_ms() - rig_worker_held_ms(workers[1])) /
				 1000,
			 (double)(rig_ms() - rig_worker_held_ms(workers[2])) /
				 1000);
	rig_exit(0, "the lasting job runs on, the other is done");
}
