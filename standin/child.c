#include "child.h"

#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "standin/port.h"

#define READ_CHUNK_BYTES 65536

void child_start(struct child *child, const char *name)
{
	const char *build = getenv("RP_BUILD") ? getenv("RP_BUILD") : "build";
	g_autofree char *path = g_build_filename(build, "bin", name, NULL);
	int ends[2];
	FILE *out;

	g_assert(pipe(ends) == 0);
	child->pid = fork();
	g_assert(child->pid >= 0);
	if (child->pid == 0) {
		/* End the stand-in when the test process ends or is killed. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(ends[1], STDOUT_FILENO);
		close(ends[0]);
		close(ends[1]);
		execl(path, path, "--listen", "127.0.0.1:0", (char *)NULL);
		_exit(127);
	}
	close(ends[1]);
	out = fdopen(ends[0], "r");
	if (fscanf(out, "listening on %31s", child->address) != 1)
		g_error("%s did not start", path);
	fclose(out);
}

void child_stop(struct child *child)
{
	if (child->pid <= 0)
		return;
	kill(child->pid, SIGKILL);
	waitpid(child->pid, NULL, 0);
	child->pid = 0;
}

static int connect_to(const char *address)
{
	const char *port = strrchr(address, ':');
	struct sockaddr_in name = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	name.sin_port = htons((guint16)atoi(port + 1));
	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert(connect(fd, (struct sockaddr *)&name, sizeof(name)) == 0);
	return fd;
}

/* Sends a request; returns the body of the answer, which must be a 200. */
static char *exchange(const struct child *child, const char *method,
		      const char *path, const char *body)
{
	g_autofree char *request = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		method, path, child->address, strlen(body), body);
	g_autoptr(GString) answer = g_string_new(NULL);
	int fd = connect_to(child->address);
	char chunk[READ_CHUNK_BYTES];
	const char *start;
	ssize_t n;

	g_assert(write(fd, request, strlen(request)) ==
		 (ssize_t)strlen(request));
	while ((n = read(fd, chunk, sizeof(chunk))) > 0)
		g_string_append_len(answer, chunk, n);
	close(fd);
	g_assert(g_str_has_prefix(answer->str, "HTTP/1.1 200"));
	start = strstr(answer->str, "\r\n\r\n");
	g_assert(start);
	return g_strdup(start + 4);
}

void child_fault(const struct child *child, const char *json)
{
	g_free(exchange(child, "POST", "/fault", json));
}

char *child_get(const struct child *child, const char *path)
{
	return exchange(child, "GET", path, "");
}

void child_closed_address(char *address, size_t len)
{
	g_snprintf(address, len, "127.0.0.1:%d", port_new());
}
