#include "radishpier/srv_fixture_test.h"
#include "standin/child.h"
#include "tests/fixture.h"
#include "tests/later_version.h"

/*
 * Sends well-formed but unexpected frames, as an agent or peer entry, to a real
 * `radishpier serve` that owns all shards.
 */

#define SHARDS_TIMEOUT_MS 10000
#define LOG_TIMEOUT_MS 5000

/* The stand-in of the users' platform, which has the key-value store. */
static struct child platform;

static void wait_for_shards(void)
{
	int i;

	for (i = 0; i < SHARDS_TIMEOUT_MS / 20; i++) {
		g_autofree char *text = exchange(PORT_OPERATOR,
						 "GET /metrics HTTP/1.1\r\n"
						 "Connection: close\r\n\r\n");

		if (strstr(text, "radishpier_shards_owned 16\n"))
			return;
		g_usleep(20000);
	}
	ck_abort_msg("the entry owns no shards");
}

static void setup_with_platform(void)
{
	child_start(&platform, "platform");
	platform_address = platform.address;
	setup();
	wait_for_shards();
}

static void teardown_with_platform(void)
{
	teardown();
	child_stop(&platform);
}

static Rp__Frame *hello_of(const char *vm)
{
	Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_HELLO);
	Rp__Hello *hello = frame->hello;

	wire_set_string(&hello->vm, vm);
	wire_set_string(&hello->agent_boot_id, "boot");
	wire_set_string(&hello->zone, "z");
	hello->slots = 1;
	hello->session = 1;
	hello->pools = g_new0(char *, 1);
	hello->pools[0] = g_strdup("checks");
	hello->n_pools = 1;
	hello->capacity = wire_resources_dup(NULL);
	hello->capacity->cpu_milli = 1000;
	return frame;
}

static int dial_as_agent(const char *vm, struct evbuffer *in)
{
	int fd = dial(PORT_AGENT);

	ck_assert_int_ge(fd, 0);
	send_frame(fd, hello_of(vm));
	wire_frame_free(expect_frame(fd, in, RP__FRAME__BODY_WELCOME));
	return fd;
}

static void expect_log(const char *name, size_t from, const char *text)
{
	g_autofree char *log = NULL;
	int i;

	for (i = 0; i < LOG_TIMEOUT_MS / 20; i++) {
		g_free(log);
		log = entry_log(from);
		if (strstr(log, text))
			return;
		g_usleep(20000);
	}
	ck_abort_msg("%s: expected '%s' in the log: %s", name, text, log);
}

/*
 * Guards against a crash while logging a line with a job id: a report on an
 * unknown job must be logged with the id, and the entry must go on serving.
 */
START_TEST(unknown_job)
{
	struct evbuffer *in = evbuffer_new();
	int fd = dial_as_agent("vm-1", in);
	Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_TASK_EVENT);
	g_autofree char *id = job_id_new("key", NULL);
	Rp__Task *task = g_new(Rp__Task, 1);

	rp__task__init(task);
	wire_set_string(&task->job_id, id);
	task->shard = job_shard(id);
	task->attempt = 1;
	task->state = RP__TASK_STATE__TASK_STATE_FINISHED;
	frame->task_event->task = task;
	send_frame(fd, frame);
	expect_log("unknown job", 0,
		   "vm-1 reports attempt 1 of an unknown job");
	expect_log("unknown job", 0, id);
	check_serving();
	close(fd);
	evbuffer_free(in);
}
END_TEST

enum sender {
	/** The frame is the first of its connection. */
	SENDER_NEW,
	SENDER_AGENT,
	SENDER_PEER,
};

/* Frames with default values that must close the connection, and a part of the
 * line that is then logged. */
static const struct {
	enum sender sender;
	Rp__Frame__BodyCase kind;
	const char *log;
} misplaced[] = {
	{ SENDER_NEW, RP__FRAME__BODY_REPLY, "first frame is reply, expected" },
	{ SENDER_NEW, RP__FRAME__BODY_REPORT, "first frame is report" },
	{ SENDER_NEW, RP__FRAME__BODY_TASK_LIST, "first frame is task_list" },
	{ SENDER_NEW, RP__FRAME__BODY_GRANT, "first frame is grant," },
	{ SENDER_NEW, RP__FRAME__BODY_PEER_CALL, "first frame is peer_call" },
	{ SENDER_NEW, RP__FRAME__BODY_TABLES_UPDATE, "first frame is tables" },
	{ SENDER_NEW, RP__FRAME__BODY_EVACUATION_UPDATE,
	  "first frame is evacuation_update" },
	{ SENDER_NEW, RP__FRAME__BODY_HELLO, "unexpected Hello of VM" },
	{ SENDER_NEW, RP__FRAME__BODY_PEER_HELLO, "unexpected PeerHello" },
	{ SENDER_AGENT, RP__FRAME__BODY_GRANT, "unexpected grant" },
	{ SENDER_AGENT, RP__FRAME__BODY_WELCOME, "unexpected welcome" },
	{ SENDER_AGENT, RP__FRAME__BODY_TASK_START, "unexpected task_start" },
	{ SENDER_AGENT, RP__FRAME__BODY_PEER_CALL, "unexpected peer_call" },
	{ SENDER_AGENT, RP__FRAME__BODY_PEER_STATE, "unexpected peer_state" },
	{ SENDER_AGENT, RP__FRAME__BODY_PEER_HELLO, "unexpected PeerHello" },
	{ SENDER_AGENT, RP__FRAME__BODY_HELLO, "unexpected Hello of VM" },
	{ SENDER_AGENT, RP__FRAME__BODY_TASK_EVENT, "TaskEvent.task is mis" },
	{ SENDER_AGENT, RP__FRAME__BODY_TABLES_DELTA, "unexpected tables_de" },
	{ SENDER_AGENT, RP__FRAME__BODY_TABLES_WANTED, "unexpected tables_wa" },
	{ SENDER_PEER, RP__FRAME__BODY_REPLY, "unexpected reply" },
	{ SENDER_PEER, RP__FRAME__BODY_HELLO, "unexpected hello" },
	{ SENDER_PEER, RP__FRAME__BODY_GRANT_REQUEST, "unexpected grant_req" },
};

static double metric(const char *name)
{
	g_autofree char *answer = exchange(PORT_OPERATOR,
					   "GET /metrics HTTP/1.1\r\n"
					   "Connection: close\r\n\r\n");
	g_autofree char *key = g_strdup_printf("\n%s ", name);
	const char *at = strstr(answer, key);

	return at ? g_ascii_strtod(at + strlen(key), NULL) : 0;
}

/*
 * Guards against a frame that its sender must not send, or not at that time,
 * but that is applied or stops the entry instead of closing the connection.
 */
START_TEST(misplaced_frame)
{
	struct evbuffer *in = evbuffer_new();
	g_autofree char *before = entry_log(0);
	double errors = metric("radishpier_protocol_errors_total") +
			metric("radishpier_bad_frames_total");
	int fd = misplaced[_i].sender == SENDER_NEW ? dial(PORT_AGENT)
		 : misplaced[_i].sender == SENDER_AGENT
			 ? dial_as_agent("vm-3", in)
			 : dial_as_peer("e4", in);

	ck_assert_int_ge(fd, 0);
	send_frame(fd, wire_frame_new(misplaced[_i].kind));
	g_free(receive_all(fd));
	expect_log("misplaced", strlen(before), misplaced[_i].log);
	ck_assert_double_eq(metric("radishpier_protocol_errors_total") +
				    metric("radishpier_bad_frames_total"),
			    errors + 1);
	check_serving();
	evbuffer_free(in);
}
END_TEST

/* Permitted frames whose default values refer to nothing the entry has. */
static const struct {
	enum sender sender;
	Rp__Frame__BodyCase kind;
	/** Counter that grows by 1, or NULL. */
	const char *counter;
} stray[] = {
	{ SENDER_AGENT, RP__FRAME__BODY_REPLY,
	  "radishpier_replies_dropped_total" },
	{ SENDER_AGENT, RP__FRAME__BODY_TABLES_UPDATE,
	  "radishpier_tables_refused_total{reason=\"invalid\"}" },
	{ SENDER_AGENT, RP__FRAME__BODY_EVACUATION_UPDATE, NULL },
	{ SENDER_AGENT, RP__FRAME__BODY_REPORT, NULL },
	{ SENDER_AGENT, RP__FRAME__BODY_TASK_LIST, NULL },
	{ SENDER_AGENT, RP__FRAME__BODY_GRANT_REQUEST, NULL },
	{ SENDER_PEER, RP__FRAME__BODY_TABLES_UPDATE,
	  "radishpier_tables_refused_total{reason=\"invalid\"}" },
	{ SENDER_PEER, RP__FRAME__BODY_TABLES_DELTA,
	  "radishpier_tables_refused_total{reason=\"older\"}" },
	{ SENDER_PEER, RP__FRAME__BODY_EVACUATION_UPDATE, NULL },
	{ SENDER_PEER, RP__FRAME__BODY_PEER_STATE, NULL },
	{ SENDER_PEER, RP__FRAME__BODY_PEER_CALL, NULL },
	{ SENDER_PEER, RP__FRAME__BODY_PEER_REPLY, NULL },
};

/*
 * Guards against a frame without a matching request, job or document that
 * changes tables, evacuations, jobs or requests, or stops the entry.
 */
START_TEST(stray_frame)
{
	static const char *const unchanged[] = {
		"radishpier_tables_generation",
		"radishpier_evacuations_generation", "radishpier_jobs",
		"radishpier_shards_owned", "radishpier_requests_open"
	};
	double before[G_N_ELEMENTS(unchanged)];
	struct evbuffer *in = evbuffer_new();
	double count = stray[_i].counter ? metric(stray[_i].counter) : 0;
	int fd = stray[_i].sender == SENDER_AGENT ? dial_as_agent("vm-5", in)
						  : dial_as_peer("e5", in);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(unchanged); i++)
		before[i] = metric(unchanged[i]);
	send_frame(fd, wire_frame_new(stray[_i].kind));
	for (i = 0; i < 250 && stray[_i].counter &&
		    metric(stray[_i].counter) < count + 1;
	     i++)
		g_usleep(20000);
	check_serving();
	if (stray[_i].counter)
		ck_assert_double_eq(metric(stray[_i].counter), count + 1);
	for (i = 0; i < G_N_ELEMENTS(unchanged); i++)
		ck_assert_double_eq(metric(unchanged[i]), before[i]);
	close(fd);
	evbuffer_free(in);
}
END_TEST

/*
 * Guards against an entry that closes its connection to a process of a later
 * version because of a message kind that it does not know, at the start or
 * later.
 */
START_TEST(unknown_message)
{
	struct evbuffer *in = evbuffer_new();
	double count = metric("radishpier_unknown_frames_total");
	int fd = dial(PORT_AGENT);
	int peer = dial_as_peer("e6", in);
	Rp__Frame *call = wire_frame_new(RP__FRAME__BODY_PEER_CALL);

	ck_assert_int_ge(fd, 0);
	send_frame(fd, later_frame());
	send_frame(fd, hello_of("vm-6"));
	wire_frame_free(expect_frame(fd, in, RP__FRAME__BODY_WELCOME));
	evbuffer_drain(in, evbuffer_get_length(in));
	send_frame(peer, later_frame());
	send_frame(peer, later_frame());
	call->peer_call->op = RP__PEER_OP__PEER_OP_JOB_GET;
	send_frame(peer, call);
	wire_frame_free(expect_frame(peer, in, RP__FRAME__BODY_PEER_REPLY));
	expect_log("unknown", 0, "a message of kind 127 is not known to this");
	ck_assert_double_eq(metric("radishpier_unknown_frames_total"),
			    count + 3);
	close(fd);
	close(peer);
	evbuffer_free(in);
}
END_TEST

/*
 * Guards against two agent processes configured with the same VM name that
 * replace each other's connection without a log line.
 */
START_TEST(duplicate_vm)
{
	struct evbuffer *in = evbuffer_new();
	struct evbuffer *in2 = evbuffer_new();
	int first = dial_as_agent("vm-4", in);
	int second = dial(PORT_AGENT);
	Rp__Frame *hello = hello_of("vm-4");

	wire_set_string(&hello->hello->agent_boot_id, "other");
	send_frame(second, hello);
	wire_frame_free(expect_frame(second, in2, RP__FRAME__BODY_WELCOME));
	g_free(receive_all(first));
	expect_log("duplicate", 0,
		   "another agent process of VM vm-4 was still connected");
	check_serving();
	close(second);
	evbuffer_free(in);
	evbuffer_free(in2);
}
END_TEST

/*
 * Guards against a counter that is exported as a gauge, so that a scraper
 * computes wrong rates at a restart.
 */
START_TEST(metric_types)
{
	g_autofree char *answer = exchange(PORT_OPERATOR,
					   "GET /metrics HTTP/1.1\r\n"
					   "Connection: close\r\n\r\n");
	g_auto(GStrv) lines = g_strsplit(answer, "\n", -1);
	unsigned i, n = 0;

	for (i = 0; lines[i]; i++) {
		gboolean total = strstr(lines[i], "_total ") != NULL;

		if (!g_str_has_prefix(lines[i], "# TYPE"))
			continue;
		ck_assert_msg(g_str_has_suffix(lines[i],
					       total ? " counter" : " gauge"),
			      "%s", lines[i]);
		n += total;
	}
	ck_assert_uint_gt(n, 10);
}
END_TEST

/* Guards against a /status that omits what an agent reported. */
START_TEST(agent_in_status)
{
	static const char *const expected[] = {
		"\"vm\":\"vm-2\"", "\"tables_generation\":7,",
		"\"refused\":{\"no-route\":",
		"{\"vm\":\"vm-2\",\"for_ms\":0,\"tasks\":0,"
		"\"why\":\"its agent is draining\"}"
	};
	struct evbuffer *in = evbuffer_new();
	int fd = dial_as_agent("vm-2", in);
	Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REPORT);
	g_autofree char *status = NULL;
	size_t i;

	frame->report->tables_generation = 7;
	frame->report->session = 1;
	frame->report->draining = TRUE;
	send_frame(fd, frame);
	g_usleep(200000);
	check_serving();
	status = exchange(PORT_OPERATOR, "GET /status HTTP/1.1\r\n"
					 "Connection: close\r\n\r\n");
	for (i = 0; i < G_N_ELEMENTS(expected); i++)
		check_answer("status", status, 200, expected[i]);
	close(fd);
	evbuffer_free(in);
}
END_TEST

/*
 * Guards against refused connections at the start of a drain: until the load
 * balancer has seen /readyz fail, it sends callers to the entry.
 */
START_TEST(drain_grace)
{
	static const char readyz[] = "GET /readyz HTTP/1.1\r\n"
				     "Connection: close\r\n\r\n";
	g_autofree char *ready = NULL;
	g_autofree char *answer = NULL;
	int fd = 0, i;

	kill(entry_pid, SIGTERM);
	g_usleep(100000);
	ready = exchange(PORT_OPERATOR, readyz);
	check_answer("readyz", ready, 503, "draining");
	answer = call("GET", "/none", "", "");
	check_answer("in the grace time", answer, 404, "Connection: close");
	for (i = 0; i < 250 && fd >= 0; i++) {
		g_usleep(20000);
		fd = dial(PORT_CALLER);
		if (fd >= 0)
			close(fd);
	}
	ck_assert_msg(fd < 0, "the entry accepts after the grace time");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("serve, frames");
	TCase *tests = tcase_create("out of place");

	tcase_add_unchecked_fixture(tests, setup_with_platform,
				    teardown_with_platform);
	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, unknown_job);
	tcase_add_loop_test(tests, misplaced_frame, 0, G_N_ELEMENTS(misplaced));
	tcase_add_loop_test(tests, stray_frame, 0, G_N_ELEMENTS(stray));
	tcase_add_test(tests, unknown_message);
	tcase_add_test(tests, duplicate_vm);
	tcase_add_test(tests, metric_types);
	tcase_add_test(tests, agent_in_status);
	suite_add_tcase(suite, tests);
	tests = tcase_create("drain");
	tcase_add_unchecked_fixture(tests, setup_with_platform,
				    teardown_with_platform);
	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, drain_grace);
	suite_add_tcase(suite, tests);
	return fixture_run(suite);
}
