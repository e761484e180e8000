#ifndef SRV_FIXTURE_TEST_H
#define SRV_FIXTURE_TEST_H

#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "config/config.h"
#include "jobs/jobs.h"
#include "standin/port.h"
#include "wire/wire.h"

/* Starts a real `radishpier serve` and exchanges data with it over sockets. */

/* Settings of the entry. */
#define IDLE_TIMEOUT_MS 500
#define MAX_BODY_BYTES 4096

/* Longest wait for bytes from the entry. */
#define ANSWER_TIMEOUT_MS 10000

enum port {
	PORT_CALLER,
	PORT_AGENT,
	PORT_OPERATOR,
	PORT_PLATFORM,
	PORTS,
};

static uint16_t ports[PORTS];
static char *folder;
static pid_t entry_pid;
/* IP:port of the key-value store; NULL: a port at which nothing listens. */
static const char *platform_address;

/* Sockets */

static inline struct sockaddr_in loopback(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(port) };

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return sa;
}

static inline int dial(enum port port)
{
	struct sockaddr_in sa = loopback(ports[port]);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return fd;
	close(fd);
	return -1;
}

static inline void send_all(int fd, const void *data, size_t len)
{
	const char *p = data;

	/* The entry may close before it has read everything. */
	while (len) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		p += n;
		len -= (size_t)n;
	}
}

/* Returns bytes received, 0 once closed, or -1 if nothing came in time. */
static inline ssize_t receive(int fd, void *data, size_t len)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
	ssize_t n;

	if (poll(&poll_fd, 1, ANSWER_TIMEOUT_MS) <= 0)
		return -1;
	n = recv(fd, data, len, 0);
	return n < 0 ? 0 : n;
}

/* Reads until the entry closes; fails the test if it does not. */
static inline char *receive_all(int fd)
{
	GString *text = g_string_new(NULL);
	char buffer[4096];
	ssize_t n;

	while ((n = receive(fd, buffer, sizeof(buffer))) > 0)
		g_string_append_len(text, buffer, n);
	ck_assert_msg(n == 0, "not closed; received: %s", text->str);
	close(fd);
	return g_string_free(text, FALSE);
}

/* Sends the request and returns all bytes until the entry closes. */
static inline char *exchange(enum port port, const char *request)
{
	int fd = dial(port);

	ck_assert_int_ge(fd, 0);
	send_all(fd, request, strlen(request));
	return receive_all(fd);
}

static inline char *call(const char *method, const char *target,
			 const char *headers, const char *body)
{
	g_autofree char *request = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
		"%sContent-Length: %zu\r\n\r\n%s",
		method, target, headers, strlen(body), body);

	return exchange(PORT_CALLER, request);
}

static inline int status_of(const char *answer)
{
	return g_str_has_prefix(answer, "HTTP/1.") && strlen(answer) > 12
		       ? atoi(answer + 9)
		       : 0;
}

static inline void check_answer(const char *name, const char *answer,
				int status, const char *text)
{
	ck_assert_msg(status_of(answer) == status, "%s: expected %d, got: %s",
		      name, status, answer);
	ck_assert_msg(strstr(answer, text) != NULL, "%s: expected '%s' in: %s",
		      name, text, answer);
}

/* Checks that the entry still answers operators and callers. */
static inline void check_serving(void)
{
	g_autofree char *health =
		exchange(PORT_OPERATOR,
			 "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n");
	g_autofree char *answer = call("GET", "/none", "", "");

	check_answer("healthz", health, 200, "ok");
	check_answer("route", answer, 404, "Radishpier-Outcome: not-run");
}

/* Frames */

static inline void send_frame(int fd, Rp__Frame *frame)
{
	struct evbuffer *out = evbuffer_new();

	ck_assert_int_eq(wire_write(out, frame, NULL), 0);
	send_all(fd, evbuffer_pullup(out, -1), evbuffer_get_length(out));
	evbuffer_free(out);
	wire_frame_free(frame);
}

/* Returns the next frame of the kind, skipping others. */
static inline Rp__Frame *expect_frame(int fd, struct evbuffer *in,
				      Rp__Frame__BodyCase kind)
{
	Rp__Frame *frame;
	char buffer[4096];
	ssize_t n;

	for (;;) {
		while (wire_read(in, &frame, NULL) == 1) {
			if (frame->body_case == kind)
				return frame;
			wire_frame_free(frame);
		}
		n = receive(fd, buffer, sizeof(buffer));
		ck_assert_msg(n > 0, "no frame of kind %d arrived", (int)kind);
		evbuffer_add(in, buffer, (size_t)n);
	}
}

/* Connects as a peer entry and waits for the answer to PeerHello. */
static inline int dial_as_peer(const char *id, struct evbuffer *in)
{
	Rp__Frame *hello = wire_frame_new(RP__FRAME__BODY_PEER_HELLO);
	int fd = dial(PORT_AGENT);

	ck_assert_int_ge(fd, 0);
	wire_set_string(&hello->peer_hello->entry_id, id);
	wire_set_string(&hello->peer_hello->zone, "z");
	send_frame(fd, hello);
	wire_frame_free(expect_frame(fd, in, RP__FRAME__BODY_PEER_HELLO));
	return fd;
}

/* The process under test */

static inline char *write_file(const char *name, const char *text)
{
	char *path = g_build_filename(folder, name, NULL);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static inline void start_entry(void)
{
	const char *build = g_getenv("RP_BUILD");
	g_autofree char *program = g_build_filename(build ? build : "build",
						    "bin", "radishpier", NULL);
	g_autofree char *closed = g_strdup_printf("127.0.0.1:%d",
						  ports[PORT_PLATFORM]);
	g_autofree char *text = g_strdup_printf(
		"id: e1\nzone: z\ncaller_address: 127.0.0.1:%d\n"
		"agent_address: 127.0.0.1:%d\n"
		"operator_address: 127.0.0.1:%d\n"
		"kv_endpoints: [\"%s\"]\nmax_body_bytes: %d\n"
		"caller_idle_timeout_ms: %d\n"
		"drain_grace_ms: 500\ndrain_timeout_ms: 2000\n"
		"log_level: warning\n",
		ports[PORT_CALLER], ports[PORT_AGENT], ports[PORT_OPERATOR],
		platform_address ? platform_address : closed, MAX_BODY_BYTES,
		IDLE_TIMEOUT_MS);
	g_autofree char *settings = write_file("entry.yaml", text);
	g_autofree char *log = g_build_filename(folder, "log", NULL);
	int i, fd = -1;

	entry_pid = fork();
	if (entry_pid == 0) {
		dup2(open(log, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600),
		     STDERR_FILENO);
		execl(program, program, "serve", "--settings", settings,
		      (char *)NULL);
		_exit(127);
	}
	for (i = 0; i < 500 && fd < 0; i++) {
		g_usleep(20000);
		fd = dial(PORT_CALLER);
	}
	ck_assert_msg(fd >= 0, "%s does not listen", program);
	close(fd);
}

/* Sends tables as a peer, and waits until the entry routes by them. */
static inline void send_tables(void)
{
	g_autofree char *routes = write_file(
		"routes.yaml",
		"routes:\n  - {method: GET, host: \"*\", path_prefix: /check, "
		"pool: checks, idempotent: true, timeout_ms: 3000}\n");
	g_autofree char *pools = write_file(
		"pools.yaml", "pools:\n  - {name: checks, "
			      "class: latency-critical, priority: 0}\n");
	g_autoptr(GError) error = NULL;
	struct cfg_tables *tables = cfg_tables_load(routes, pools, &error);
	struct evbuffer *in = evbuffer_new();
	g_autofree char *answer = NULL;
	GBytes *document;
	int fd;

	ck_assert_msg(tables != NULL, "%s", error ? error->message : "");
	tables->generation = 1;
	tables->incarnation = g_strdup("0123456789abcdef0123456789abcdef");
	tables->author = g_strdup("test");
	document = cfg_tables_encode(tables);
	fd = dial_as_peer("e0", in);
	send_frame(fd, wire_tables_update_new(document));
	/* No zone is evacuated. */
	send_frame(fd, wire_evacuation_update_new(NULL, TRUE, 0));
	do {
		g_usleep(20000);
		g_free(answer);
		answer = call("GET", "/none", "", "");
	} while (status_of(answer) == 503);
	close(fd);
	evbuffer_free(in);
	g_bytes_unref(document);
	cfg_tables_free(tables);
}

/* Returns what the entry has logged after the byte offset. */
static inline char *entry_log(size_t from)
{
	g_autofree char *path = g_build_filename(folder, "log", NULL);
	g_autofree char *text = NULL;
	gsize len;

	ck_assert(g_file_get_contents(path, &text, &len, NULL));
	return g_strdup(text + MIN(from, len));
}

static inline void setup(void)
{
	int i;

	folder = g_dir_make_tmp("rp-srv-XXXXXX", NULL);
	for (i = 0; i < PORTS; i++)
		ports[i] = port_new();
	start_entry();
	send_tables();
}

static inline int stop_entry(void)
{
	int status, i;

	for (i = 0; i < 100000; i++) {
		kill(entry_pid, SIGTERM);
		if (waitpid(entry_pid, &status, WNOHANG) == entry_pid)
			return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
		g_usleep(100);
	}
	kill(entry_pid, SIGKILL);
	waitpid(entry_pid, &status, 0);
	return -1;
}

static inline void teardown(void)
{
	static const char *const files[] = { "entry.yaml", "routes.yaml",
					     "pools.yaml", "log" };
	int status = stop_entry();
	size_t i;

	/*
	 * Guards against a drain that does not end, and against an exit status
	 * other than 0 because of a second SIGTERM during the drain.
	 */
	if (status)
		g_printerr("the entry ended with status %d\n", status);
	ck_assert_int_eq(status, 0);
	for (i = 0; i < G_N_ELEMENTS(files); i++) {
		g_autofree char *path = g_build_filename(folder, files[i],
							 NULL);

		g_remove(path);
	}
	g_rmdir(folder);
	g_free(folder);
}

#endif
