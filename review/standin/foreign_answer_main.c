/* An entry restarts while the leader still owes answers to its last process:
 * who gets them? */
#include "rig.h"

#include <string.h>

#define ROUTES                                                                 \
	"[{\"name\":\"r-foto\",\"host\":\"nony24.example\",\"prefix\":\"/"     \
	"foto/\","                                                             \
	"\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"                     \
	"\"target_duration_ms\":300,\"priority\":0,\"backend\":\"jurado\","    \
	"\"max_attempts\":3,\"slack_factor\":1.5}]"

/* 60 x 4 ms, as platform_slow with x = 60; it lasts SLOW_MAX_MS at most. */
#define SLOW_ANSWER_MS (60 * RIG_STORE_ANSWER_MS)
#define SLOW_MAX_MS 4500
/** Jobs handed in at the entry that is killed. */
#define N_FIRST 6
/** Looks at a job at the entry after its restart. */
#define N_LOOKS 2
#define ATTEMPTS 4
#define RESTART_MS 50
#define DEADLINE_MS 3000
/** Until all machines but the killed ones are in touch, and past visible_ms. */
#define SETTLE_MS 8000

#define JOB                                                                    \
	"{\"spec\":\"run_ms=600;\",\"phases\":[{\"replicas\":4,\"cpu\":960,"   \
	"\"mem_mb\":1900,\"estimated_ms\":640}]}"

struct post {
	int entry;
	char *path;
	struct rig_answer answer;
};

static gpointer post(gpointer data)
{
	struct post *p = data;

	p->answer = rig_call(p->entry, "POST", p->path, JOB, DEADLINE_MS);
	return NULL;
}

static char *path_of(int attempt, int i)
{
	return g_strdup_printf("/foto/43760a1c187b%02x%02x", attempt, i);
}

/* Returns the status of the last GET for the job that the client of the
 * restarted entry handed in, or 0 if it was not accepted. */
static int play(int attempt)
{
	struct post posts[N_FIRST + 1];
	GThread *threads[N_FIRST + 1];
	g_autofree char *path = path_of(attempt, N_FIRST + 1);
	g_autofree char *known = path_of(attempt, 0);
	struct rig_answer answer;
	gboolean trouble = rig_trouble();
	gint64 slow_ms = rig_now_ms();
	int leader = rig_leader();
	int killed = (leader + 1) % 3;
	int other = (leader + 2) % 3;
	int status;
	int i;

	if (leader < 0)
		return 0;
	if (trouble)
		rig_store_answer_ms(SLOW_ANSWER_MS);
	rig_sleep_ms(1500);
	/* The first at the leader, the others at the entry that is killed. */
	for (i = 0; i <= N_FIRST; i++) {
		posts[i].entry = i ? killed : leader;
		posts[i].path = path_of(attempt, i);
		threads[i] = g_thread_new("client", post, &posts[i]);
		rig_sleep_ms(i ? 2 : 30);
	}
	if (trouble) {
		rig_sleep_ms(5);
		rig_kill_entry(killed);
		rig_sleep_ms(RESTART_MS);
		rig_start_entry(killed);
	}
	rig_wait_ready(killed, 2000);
	/* Clients look at jobs from time to time. */
	for (i = 0; i < N_LOOKS; i++)
		rig_call(killed, "GET", known, NULL, DEADLINE_MS);
	/* A client's only attempt to hand this job in. */
	answer = rig_call(killed, "POST", path, JOB, DEADLINE_MS);
	status = answer.status;
	if (trouble) {
		rig_kill_entry(leader);
		if (rig_now_ms() - slow_ms > SLOW_MAX_MS)
			status = 0;
		rig_store_answer_ms(RIG_STORE_ANSWER_MS);
		rig_sleep_ms(1000);
		rig_start_entry(leader);
	}
	for (i = 0; i <= N_FIRST; i++) {
		g_thread_join(threads[i]);
		g_free(posts[i].path);
	}
	rig_sleep_ms(SETTLE_MS);
	if (status != 200) {
		rig_record("the job was not accepted, so nothing is owed");
		return 0;
	}
	for (i = 0; i < 3; i++) {
		answer = rig_call(other, "GET", path, NULL, DEADLINE_MS);
		rig_sleep_ms(300);
	}
	rig_record("tasks of the job that have begun: %d",
		   rig_begun(strrchr(path, '/') + 1));
	return answer.status;
}

int main(void)
{
	struct rig_options options = {
		.name = "an entry restarts while the store is slow",
		.entries = 3,
		.workers = 4,
		.cpu_milli = 64000,
		.mem_mb = 256000,
		.routes = ROUTES,
	};
	int held = 0;
	int status = 0;
	int i;

	rig_start(&options);
	/* More than once, since the restart may be too slow for the answers
	 * that the leader owes. */
	for (i = 0; i < ATTEMPTS && status != 410; i++) {
		status = play(i);
		held += status == 200;
	}
	if (status == 410)
		rig_record("LOST: a GET for an accepted job is answered 410");
	rig_finish(status == 410 ? 1 : held ? 0 : 2);
}
