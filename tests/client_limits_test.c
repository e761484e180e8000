#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin/port.h"
#include "standin/site_internal.h"
#include "tests/site_fixture.h"

#ifdef RADISHPIER_PLATFORM
#include "platform/store_standin_test.h"
#endif

/*
 * Clients that keep to no limit, against both front ends as real processes.
 * Each case guards against a process that such clients bring down, let grow
 * beyond its memory or its descriptors, or keep from answering others.
 * tests/run runs this program alone, since other load would change what is
 * measured.
 */

/* Memory limit in the settings and bound on the peak RSS, in MiB. */
#define MEMORY_MB 14
/* The RSS of a sanitized process is mostly the sanitizer's own memory, with its
 * quarantine of freed blocks. Descriptors and answers are checked there too. */
#ifdef __SANITIZE_ADDRESS__
#define IS_SANITIZED 1
#else
#define IS_SANITIZED 0
#endif
/* Descriptors that a process may have; RLIMIT_NOFILE enforces them. */
#define MAX_FDS 40
/* Bound on the open descriptors, below the limit: some are left for agents,
 * entries and the store. */
#define FDS_BOUND 38
#define ORDINARY_TIMEOUT_MS 10000
#define START_TIMEOUT_MS 15000
/* A client stops sending when nothing was taken for this time. */
#define BLOCKED_MS 700
#define PIECE_BYTES (64 * 1024)

/* A client of the crowd. */
struct client {
	int fd;
	/** Position in what it sends. */
	gsize sent;
};

struct crowd_case {
	const char *name;
	unsigned clients;
	/** Sent once. */
	const char *head;
	/** Sent "repeats" times after the head. */
	const char *piece;
	unsigned repeats;
	/** Most bytes that each client sends in a turn; 0: as many as fit. */
	unsigned turn_bytes;
	/** Pause after each turn. */
	unsigned pause_ms;
	/** Shut down the sending side at the end. */
	gboolean half_close;
};

/* "PIECE" stands for PIECE_BYTES bytes. */
static const struct crowd_case cases[] = {
	{ "body with a declared length", 20,
	  "POST /nowhere HTTP/1.1\r\nHost: h\r\n"
	  "Content-Length: 8388608\r\n\r\n",
	  "PIECE", 127, PIECE_BYTES, 5 },
	{ "chunked body", 20,
	  "POST /nowhere HTTP/1.1\r\nHost: h\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n",
	  "10000\r\nPIECE\r\n", 127, PIECE_BYTES, 5 },
	{ "4 GB declared", 20,
	  "POST /nowhere HTTP/1.1\r\nHost: h\r\n"
	  "Content-Length: 4294967296\r\n\r\n",
	  "PIECE", 127, PIECE_BYTES, 5 },
	{ "pipelined requests, responses unread", 20, "",
	  "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n", 60000, 0, 1 },
	{ "slow header", 28, "", "GET /nowhere HTTP/1.1\r\nHost: h\r\n", 1, 1,
	  100 },
	{ "slow body", 28,
	  "POST /nowhere HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n",
	  "0123456789", 4, 1, 100 },
	{ "idle connections", 28, "", "", 0 },
	{ "half-closed after a part of a request", 28,
	  "POST /nowhere HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n",
	  "0123456789", 1, 0, 1, TRUE },
	{ "half-closed after a request", 28, "",
	  "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n", 1, 0, 1, TRUE },
};

/* A front end under test. */
struct front {
	pid_t pid;
	char *address;
	/** Folder of serve-platform's settings and log. */
	char *dir;
	char *store_address;
	pid_t store;
	/** Of serve; NULL for serve-platform. */
	struct site *site;
};

/* Starts a program of bin/ with MAX_FDS descriptors and its output in a file.
 * settings is the value of RADISHPIER_CONFIG. */
static pid_t spawn(const char *const *args, const char *settings,
		   const char *output)
{
	const struct rlimit limit = { MAX_FDS, MAX_FDS };
	const char *build = g_getenv("RP_BUILD");
	g_autofree char *path = g_build_filename(build ? build : "build", "bin",
						 args[0], NULL);
	pid_t pid = fork();

	ck_assert_int_ge(pid, 0);
	if (pid)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	g_setenv("RADISHPIER_CONFIG", settings, TRUE);
	if (!freopen(output, "a", stdout) || !freopen(output, "a", stderr) ||
	    setrlimit(RLIMIT_NOFILE, &limit) < 0)
		_exit(126);
	execv(path, (char *const *)args);
	_exit(127);
}

/* Sends an ordinary request and returns the status, 0 without an answer. */
static long ordinary_request(const struct front *front)
{
	struct call_options options = {
		.method = "GET",
		.address = front->address,
		.target = front->site ? "/check" : "/nowhere",
		.timeout_ms = ORDINARY_TIMEOUT_MS,
	};
	struct call_result result;
	long status;

	call_http(&options, &result);
	status = result.status;
	call_result_clear(&result);
	return status;
}

/* Waits until the ordinary request gets its answer: 404 by the leader of
 * serve-platform, since there is no such route. */
static void wait_ready(const struct front *front)
{
	gint64 end = clock_now_ms() + START_TIMEOUT_MS;
	long expected = front->site ? 200 : 404;

	while (ordinary_request(front) != expected) {
		ck_assert_int_lt(clock_now_ms(), end);
		g_usleep(20000);
	}
}

static void append_memory_limit(const char *settings)
{
	FILE *file = fopen(settings, "a");

	ck_assert_ptr_nonnull(file);
	fprintf(file, "memory_limit_bytes: %d\n", MEMORY_MB << 20);
	fclose(file);
}

/* A site of one entry and one VM, whose entry is started again with few
 * descriptors. */
static void start_serve(struct front *front)
{
	static const char *const args[] = { "radishpier", "serve", "--settings",
					    NULL, NULL };
	const char *entry_args[G_N_ELEMENTS(args)];
	g_autofree char *log = NULL;
	struct site_options options;
	struct process *entry;

	fixture_options(&options);
	options.entries = 1;
	options.vms = 1;
	front->site = fixture_start(&options);
	entry = &front->site->processes[SITE_ENTRY][0];
	site_signal(front->site, SITE_ENTRY, 0, SIGKILL);
	append_memory_limit(entry->settings);
	memcpy(entry_args, args, sizeof(args));
	entry_args[3] = entry->settings;
	log = g_build_filename(front->site->dir, "entry-0.log", NULL);
	entry->pid = spawn(entry_args, "", log);
	front->pid = entry->pid;
	front->address = g_strdup(entry->address);
	wait_ready(front);
}

#ifdef RADISHPIER_PLATFORM
/* Writes a configuration with one route, so that other paths have none. */
static void write_tables(const struct front *front)
{
	static const char tables[] =
		"{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
		"\"prefix\":\"/a/\",\"backend\":\"p\"}]}";
	g_autofree char *value = g_base64_encode((const guchar *)tables,
						 strlen(tables));
	g_autofree char *body = g_strdup_printf(
		"{\"puts\":[{\"key\":\"op/config\",\"value\":\"%s\"}]}", value);
	struct call_options options = {
		.method = "POST",
		.address = front->store_address,
		.target = "/radishpier/kv-txn",
		.body = body,
		.body_len = strlen(body),
	};
	gint64 end = clock_now_ms() + START_TIMEOUT_MS;
	struct call_result result;
	long status = 0;

	while (status != 200) {
		ck_assert_int_lt(clock_now_ms(), end);
		call_http(&options, &result);
		status = result.status;
		call_result_clear(&result);
	}
}

static void start_serve_platform(struct front *front)
{
	static const char *const args[] = { "radishpier", "serve-platform",
					    NULL };
	g_autofree char *settings = NULL;
	g_autofree char *log = NULL;
	g_autofree char *text = NULL;

	front->dir = g_dir_make_tmp("radishpier-XXXXXX", NULL);
	front->address = g_strdup_printf("127.0.0.1:%d", port_new());
	front->store_address = g_strdup_printf("127.0.0.1:%d", port_new());
	front->store = store_standin_start(front->store_address);
	write_tables(front);
	settings = g_build_filename(front->dir, "settings.json", NULL);
	log = g_build_filename(front->dir, "entry.log", NULL);
	text = g_strdup_printf(
		"{\"node_name\":\"vm-1\",\"zone\":\"z-a\",\"ip\":\"127.0.0.1\","
		"\"internal_ports\":[%d],\"listen\":{\"frontend\":\"%s\","
		"\"readiness\":\"127.0.0.1:%d\"},\"platform\":{\"address\":"
		"\"%s\"},\"limits\":{\"memory_mb\":%d,\"max_fds\":%d,"
		"\"cpu_share\":1}}",
		port_new(), front->address, port_new(), front->store_address,
		MEMORY_MB, MAX_FDS);
	ck_assert(g_file_set_contents(settings, text, -1, NULL));
	front->pid = spawn(args, settings, log);
	wait_ready(front);
}
#endif

#ifdef RADISHPIER_PLATFORM
static void stop_serve_platform(struct front *front)
{
	g_autofree char *settings = NULL;
	g_autofree char *log = NULL;

	store_standin_stop(front->pid);
	store_standin_stop(front->store);
	settings = g_build_filename(front->dir, "settings.json", NULL);
	log = g_build_filename(front->dir, "entry.log", NULL);
	unlink(settings);
	unlink(log);
	rmdir(front->dir);
}
#endif

static void stop_front(struct front *front)
{
	if (front->site)
		site_free(front->site);
#ifdef RADISHPIER_PLATFORM
	else
		stop_serve_platform(front);
#endif
	g_free(front->address);
	g_free(front->dir);
	g_free(front->store_address);
}

/* Returns a value of /proc/PID/status in KiB, or -1. */
static long process_kib(pid_t pid, const char *field)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	g_autofree char *text = NULL;
	const char *line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return -1;
	line = strstr(text, field);
	return line ? strtol(line + strlen(field), NULL, 10) : -1;
}

static unsigned open_fds(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	DIR *dir = opendir(path);
	unsigned n = 0;

	ck_assert_ptr_nonnull(dir);
	while (readdir(dir))
		n++;
	closedir(dir);
	/* "." and "..". */
	return n - 2;
}

/* Returns a non-blocking connection, or -1 if it is refused. */
static int connect_to(const char *address)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	const char *colon = strrchr(address, ':');
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_ge(fd, 0);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/* Returns all bytes that a client sends; freed by the caller. */
static GString *text_of(const struct crowd_case *crowd)
{
	GString *text = g_string_new(crowd->head);
	g_autofree char *filler = g_strnfill(PIECE_BYTES, 'x');
	GString *piece = g_string_new(crowd->piece);
	unsigned i;

	g_string_replace(piece, "PIECE", filler, 0);
	for (i = 0; i < crowd->repeats; i++)
		g_string_append_len(text, piece->str, (gssize)piece->len);
	g_string_free(piece, TRUE);
	return text;
}

/* Sends what a client may send now; returns FALSE if it could send nothing. */
static gboolean send_some(const struct crowd_case *crowd, struct client *client,
			  const GString *text, gsize head_len)
{
	gsize left = text->len - client->sent;
	ssize_t n;

	if (client->fd < 0 || !left)
		return FALSE;
	if (client->sent < head_len)
		left = head_len;
	else if (crowd->turn_bytes)
		left = MIN(left, (gsize)crowd->turn_bytes);
	n = send(client->fd, text->str + client->sent, left, MSG_NOSIGNAL);
	if (n <= 0)
		return FALSE;
	client->sent += (gsize)n;
	return TRUE;
}

/* Sends until all is sent or nothing more is taken. */
static void send_all(const struct crowd_case *crowd, struct client *clients)
{
	GString *text = text_of(crowd);
	gint64 last_ms = clock_now_ms();
	unsigned i;

	while (clock_now_ms() - last_ms < BLOCKED_MS) {
		gboolean left = FALSE;

		for (i = 0; i < crowd->clients; i++) {
			if (send_some(crowd, &clients[i], text,
				      strlen(crowd->head)))
				last_ms = clock_now_ms();
			left |= clients[i].fd >= 0 &&
				clients[i].sent < text->len;
		}
		if (!left)
			break;
		g_usleep(crowd->pause_ms * 1000);
	}
	for (i = 0; crowd->half_close && i < crowd->clients; i++)
		if (clients[i].fd >= 0)
			shutdown(clients[i].fd, SHUT_WR);
	/* For what arrives last. */
	g_usleep(300000);
	g_string_free(text, TRUE);
}

/* Starts the crowd and checks the front end while the crowd is connected. */
static void run_case(struct front *front, const struct crowd_case *crowd)
{
	struct client clients[64] = { 0 };
	long status, peak_kib;
	unsigned fds, i;

	for (i = 0; i < crowd->clients; i++)
		clients[i].fd = connect_to(front->address);
	send_all(crowd, clients);
	status = ordinary_request(front);
	fds = open_fds(front->pid);
	peak_kib = process_kib(front->pid, "VmHWM:");
	printf("%s, %s: status %ld, peak RSS %.1f MiB, %u descriptors\n",
	       front->site ? "serve" : "serve-platform", crowd->name, status,
	       (double)peak_kib / 1024, fds);
	fflush(stdout);
	for (i = 0; i < crowd->clients; i++)
		if (clients[i].fd >= 0)
			close(clients[i].fd);
	ck_assert_int_gt(peak_kib, 0);
	ck_assert_msg(IS_SANITIZED || peak_kib <= MEMORY_MB * 1024,
		      "%s: peak RSS %ld KiB", crowd->name, peak_kib);
	ck_assert_msg(fds <= FDS_BOUND, "%s: %u descriptors", crowd->name, fds);
	ck_assert_msg(status == (front->site ? 200 : 404), "%s: status %ld",
		      crowd->name, status);
}

START_TEST(test_serve)
{
	struct front front = { 0 };

	start_serve(&front);
	run_case(&front, &cases[_i]);
	stop_front(&front);
}
END_TEST

#ifdef RADISHPIER_PLATFORM
START_TEST(test_serve_platform)
{
	struct front front = { 0 };

	start_serve_platform(&front);
	run_case(&front, &cases[_i]);
	stop_front(&front);
}
END_TEST
#endif

int main(void)
{
	Suite *suite = suite_create("client limits");
	TCase *tcase = tcase_create("limits");

	tcase_set_timeout(tcase, 90);
	fixture_add_loop(tcase, test_serve, G_N_ELEMENTS(cases));
#ifdef RADISHPIER_PLATFORM
	fixture_add_loop(tcase, test_serve_platform, G_N_ELEMENTS(cases));
#endif
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
