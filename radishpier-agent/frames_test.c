#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "standin/child.h"
#include "wire/wire.h"
#include "tests/fixture.h"
#include "tests/later_version.h"

/*
 * Sends unexpected frames to a real radishpier-agent, to which this test is an
 * entry.
 */

/* Longest wait for a connection or a frame of the agent. */
#define ANSWER_TIMEOUT_MS 10000

static char *folder;
static char operator_address[32];
static int listener;
static pid_t agent_pid;

static int listen_on(char *address, size_t len)
{
	struct sockaddr_in name = { .sin_family = AF_INET };
	socklen_t size = sizeof(name);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&name, sizeof(name)), 0);
	ck_assert_int_eq(listen(fd, 16), 0);
	getsockname(fd, (struct sockaddr *)&name, &size);
	g_snprintf(address, len, "127.0.0.1:%d", ntohs(name.sin_port));
	return fd;
}

static pid_t start_agent(void)
{
	const char *build = getenv("RP_BUILD") ? getenv("RP_BUILD") : "build";
	g_autofree char *program = g_build_filename(build, "bin",
						    "radishpier-agent", NULL);
	g_autofree char *settings = g_build_filename(folder, "agent.yaml",
						     NULL);
	g_autofree char *log = g_build_filename(folder, "log", NULL);
	pid_t pid = fork();

	if (pid)
		return pid;
	dup2(open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600),
	     STDERR_FILENO);
	execl(program, program, "--settings", settings, (char *)NULL);
	_exit(127);
}

static void setup(void)
{
	g_autofree char *settings = NULL;
	g_autofree char *text = NULL;
	char entry[32];

	folder = g_dir_make_tmp("rp-agent-XXXXXX", NULL);
	settings = g_build_filename(folder, "agent.yaml", NULL);
	listener = listen_on(entry, sizeof(entry));
	child_closed_address(operator_address, sizeof(operator_address));
	text = g_strdup_printf(
		"vm: vm-1\nzone: z\noperator_address: %s\nentries: [\"%s\"]\n"
		"upstream_address: 127.0.0.1:1\npools: [checks]\n"
		"drain_timeout_ms: 2000\n",
		operator_address, entry);
	ck_assert(g_file_set_contents(settings, text, -1, NULL));
	agent_pid = start_agent();
}

static void teardown(void)
{
	g_autofree char *settings = g_build_filename(folder, "agent.yaml",
						     NULL);
	g_autofree char *log = g_build_filename(folder, "log", NULL);
	g_autofree char *text = NULL;
	int status;

	do {
		kill(agent_pid, SIGTERM);
		g_usleep(100);
	} while (!waitpid(agent_pid, &status, WNOHANG));
	g_file_get_contents(log, &text, NULL, NULL);
	/*
	 * Guards against a drain that does not end because of an unexpected
	 * frame, and against an exit status other than 0 because of a second
	 * SIGTERM during the drain.
	 */
	if (status)
		g_printerr("the agent ended with wait status %d\n", status);
	ck_assert_msg(WIFEXITED(status) && !WEXITSTATUS(status),
		      "status %d: %s", status, text);
	close(listener);
	g_unlink(settings);
	g_unlink(log);
	g_rmdir(folder);
	g_free(folder);
}

/* Accepts the agent, which dials again after each connection ends. */
static int accept_agent(void)
{
	struct pollfd poll_fd = { .fd = listener, .events = POLLIN };

	ck_assert_int_eq(poll(&poll_fd, 1, ANSWER_TIMEOUT_MS), 1);
	return accept(listener, NULL, NULL);
}

static void send_frame(int fd, struct Rp__Frame *frame)
{
	struct evbuffer *out = evbuffer_new();

	ck_assert_int_eq(wire_write(out, frame, NULL), 0);
	ck_assert_int_gt(evbuffer_write(out, fd), 0);
	evbuffer_free(out);
	wire_frame_free(frame);
}

/* Returns FALSE if the agent closes the connection first. */
static gboolean receive_kind(int fd, Rp__Frame__BodyCase kind)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
	struct evbuffer *in = evbuffer_new();
	struct Rp__Frame *frame;
	gboolean found = FALSE;

	while (!found) {
		while (!found && wire_read(in, &frame, NULL) == 1) {
			found = frame->body_case == kind;
			wire_frame_free(frame);
		}
		if (found)
			break;
		ck_assert_msg(poll(&poll_fd, 1, ANSWER_TIMEOUT_MS) == 1,
			      "no frame of kind %d", (int)kind);
		if (evbuffer_read(in, fd, -1) <= 0)
			break;
	}
	evbuffer_free(in);
	return found;
}

static void send_welcome(int fd)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_WELCOME);

	wire_set_string(&frame->welcome->entry_id, "e1");
	send_frame(fd, frame);
}

static struct Rp__Frame *request_of(guint64 id)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REQUEST);

	frame->request->id = id;
	frame->request->timeout_ms = 1000;
	wire_set_string(&frame->request->pool, "none");
	return frame;
}

/* Kinds that an entry may not send to an agent. */
static const Rp__Frame__BodyCase refused[] = {
	RP__FRAME__BODY_HELLO,	       RP__FRAME__BODY_REPORT,
	RP__FRAME__BODY_REPLY,	       RP__FRAME__BODY_TASK_LIST,
	RP__FRAME__BODY_GRANT_REQUEST, RP__FRAME__BODY_PEER_HELLO,
	RP__FRAME__BODY_PEER_STATE,    RP__FRAME__BODY_PEER_CALL,
	RP__FRAME__BODY_PEER_REPLY,
};

/*
 * Checks that a refused kind, and no other, was logged. The reply to a later
 * request has arrived, so the line is in the log already.
 */
static void check_log(Rp__Frame__BodyCase kind, const char *name)
{
	g_autofree char *path = g_build_filename(folder, "log", NULL);
	g_autofree char *line = g_strdup_printf("sent an unexpected %s message",
						name);
	g_autofree char *log = NULL;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refused); i++)
		if (refused[i] == kind)
			break;
	ck_assert(g_file_get_contents(path, &log, NULL, NULL));
	ck_assert_msg(!strstr(log, line) == (i == G_N_ELEMENTS(refused)),
		      "%s: %s", name, log);
}

/*
 * Guards against an unexpected frame, before or after Welcome, that stops the
 * agent or closes the connection: a request that follows must be answered.
 */
START_TEST(misplaced_frame)
{
	gboolean welcome_first = _i % 2;
	Rp__Frame__BodyCase kind = (Rp__Frame__BodyCase)(_i / 2 + 1);
	struct Rp__Frame *frame = wire_frame_new(kind);
	g_autofree char *name = g_strdup(wire_frame_name(frame));
	int fd = accept_agent();

	ck_assert(receive_kind(fd, RP__FRAME__BODY_HELLO));
	if (welcome_first)
		send_welcome(fd);
	/* A TaskEvent without a task is malformed, so the agent closes. */
	send_frame(fd, frame);
	if (kind == RP__FRAME__BODY_TASK_EVENT) {
		ck_assert(!receive_kind(fd, RP__FRAME__BODY_REPLY));
	} else {
		send_welcome(fd);
		send_frame(fd, request_of(1000 + (guint64)_i));
		ck_assert(receive_kind(fd, RP__FRAME__BODY_REPLY));
		check_log(kind, name);
	}
	close(fd);
}
END_TEST

/*
 * Guards against an agent that closes its connection to an entry of a later
 * version because of a message kind that it does not know, before or after
 * Welcome, or that logs each such message.
 */
START_TEST(unknown_message)
{
	static const char line[] = "a message of kind 127 is not known";
	g_autofree char *path = g_build_filename(folder, "log", NULL);
	g_autofree char *log = NULL;
	int fd = accept_agent();
	const char *first;

	ck_assert(receive_kind(fd, RP__FRAME__BODY_HELLO));
	send_frame(fd, later_frame());
	send_welcome(fd);
	send_frame(fd, later_frame());
	send_frame(fd, request_of(1));
	ck_assert(receive_kind(fd, RP__FRAME__BODY_REPLY));
	ck_assert(g_file_get_contents(path, &log, NULL, NULL));
	first = strstr(log, line);
	ck_assert_msg(first && !strstr(first + 1, line), "%s", log);
	close(fd);
}
END_TEST

/*
 * Guards against two agents that both admit work to one VM: while the first is
 * stopped by SIGSTOP, a second one must exit before it dials an entry.
 */
START_TEST(second_agent)
{
	struct pollfd poll_fd = { .fd = listener, .events = POLLIN };
	int fd = accept_agent();
	int status;

	send_welcome(fd);
	ck_assert(receive_kind(fd, RP__FRAME__BODY_HELLO));
	kill(agent_pid, SIGSTOP);
	ck_assert_int_gt(waitpid(start_agent(), &status, 0), 0);
	kill(agent_pid, SIGCONT);
	ck_assert(WIFEXITED(status));
	ck_assert_int_eq(WEXITSTATUS(status), 1);
	ck_assert_int_eq(poll(&poll_fd, 1, 0), 0);
	close(fd);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("agent, frames");
	TCase *tcase = tcase_create("out of place");

	tcase_add_unchecked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, misplaced_frame, 0,
			    2 * RP__FRAME__BODY_PEER_REPLY);
	tcase_add_test(tcase, unknown_message);
	tcase_add_test(tcase, second_agent);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
