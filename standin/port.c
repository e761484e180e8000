#include "standin/port.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * A process reserves a block of ports by listening on its first port, until it
 * exits. The blocks are below 32768, where the ephemeral ports begin by
 * default.
 */
#define FIRST_PORT 12000
#define BLOCK_PORTS 200
#define BLOCKS 100

/* Returns a socket that listens on a loopback port, or -1 if it is in use. */
static int bind_port(int port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	addr.sin_port = htons((uint16_t)port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (!bind(fd, (struct sockaddr *)&addr, sizeof(addr)) && !listen(fd, 1))
		return fd;
	close(fd);
	return -1;
}

/* Reserves a free block and returns its first port; aborts if there is none. */
static int reserve_block(void)
{
	int i;

	for (i = 0; i < BLOCKS; i++) {
		int port = FIRST_PORT +
			   (int)((getpid() + i) % BLOCKS) * BLOCK_PORTS;

		if (bind_port(port) >= 0)
			return port;
	}
	g_error("no block of ports is free");
}

uint16_t port_new(void)
{
	static pid_t owner;
	static int block;
	static int next;
	int port, fd;

	/* Each test runs in a forked process, which needs its own block. */
	if (owner != getpid()) {
		owner = getpid();
		block = reserve_block();
		next = 0;
	}
	do {
		port = block + 1 + next++ % (BLOCK_PORTS - 1);
		fd = bind_port(port);
	} while (fd < 0);
	close(fd);
	return (uint16_t)port;
}
