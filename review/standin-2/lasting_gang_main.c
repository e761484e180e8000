#include "rig.h"

#include <string.h>

/*
 * A lasting job whose two tasks work only together. With TROUBLE its first task
 * fails by itself, some seconds after it is at work, four times. Judged: the
 * job is not shown as failed, and runs again within 15 s of each end.
 */

#define N_ENTRIES 2
#define N_WORKERS 3
#define ID "5c0e7a21d94b36f8"
#define FAILURES 4
#define WORK_MS 4000

static struct rig_process *entries[N_ENTRIES];
static struct rig_worker *workers[N_WORKERS];

static gboolean two_run(void *ctx G_GNUC_UNUSED)
{
	return rig_count(ID, NULL) == 2;
}

static gboolean has_failed(void *ctx)
{
	return rig_count(ID, "failed") > *(guint *)ctx;
}

static json_t *lasting(void)
{
	return json_pack("{s:s,s:[{s:i,s:i,s:i,s:i,s:b,s:b}]}", "spec", "watch",
			 "phases", "replicas", 2, "cpu", 500, "mem_mb", 64,
			 "estimated_ms", 1000, "gang_scheduled", 1,
			 "long_running", 1);
}

static struct rig_worker *worker_of(const char *task)
{
	guint i;

	for (i = rig_runs->len; i-- > 0;) {
		struct rig_run *run = rig_runs->pdata[i];

		if (!run->how && !strcmp(run->task, task))
			return run->worker;
	}
	return NULL;
}

int main(int argc G_GNUC_UNUSED, char **argv)
{
	static const struct rig_route routes[] = {
		{ "r-watch", "/watch/", 0, 3 },
	};
	g_autofree char *state = NULL;
	guint failed;
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
	rig_describe(ID, 0, 2);
	if (!rig_submit(entries, N_ENTRIES, "/watch/", ID, lasting(), 5))
		rig_exit(2, "the job was not accepted");
	if (!rig_wait(two_run, NULL, 8000))
		rig_exit(2, "the gang does not run");
	for (i = 0; rig_trouble && i < FAILURES; i++) {
		struct rig_worker *worker;

		rig_run(WORK_MS);
		worker = worker_of(ID ".0.0.0");
		if (!worker)
			break;
		failed = rig_count(ID, "failed");
		rig_worker_fail_after(worker, 1);
		rig_wait(has_failed, &failed, 3000);
		rig_worker_fail_after(worker, 0);
		if (!rig_wait(two_run, NULL, 15000))
			break;
	}
	rig_run(10000);
	state = rig_state(entries[0], "/watch/", ID);
	if (!strcmp(state, "failed") || !two_run(NULL))
		rig_exit(1,
			 "the lasting job, which nobody cancelled, is shown as "
			 "%s after %u ends failed, and %u of its 2 tasks run",
			 state, rig_count(ID, "failed"), rig_count(ID, NULL));
	rig_exit(0, "the lasting job is shown as %s after %u ends failed",
		 state, rig_count(ID, "failed"));
}
