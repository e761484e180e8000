#include "linger.h"

#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define LINGER_MS 1000
#define LINGER_MAX_MS 5000
#define LINGER_MAX_BYTES (4 * 1024 * 1024)

struct lingering_socket {
	struct net_holder holder;
	struct net_linger *linger;
	GList link;
	struct event *event;
	int fd;
	gint64 started_ms;
	gsize discarded;
};

static void socket_free(struct lingering_socket *socket)
{
	net_account_remove(&socket->holder);
	g_queue_unlink(&socket->linger->sockets, &socket->link);
	event_free(socket->event);
	close(socket->fd);
	g_free(socket);
}

static void on_event(evutil_socket_t fd, short what, void *ctx)
{
	struct lingering_socket *socket = ctx;
	char buffer[16384];
	ssize_t n = -1;

	if (what & EV_READ)
		n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	if (n > 0)
		socket->discarded += (gsize)n;
	if (n <= 0 || socket->discarded > LINGER_MAX_BYTES ||
	    net_now_ms() >= socket->started_ms + LINGER_MAX_MS)
		socket_free(socket);
}

static void on_close(struct net_holder *holder,
		     enum net_excess excess G_GNUC_UNUSED)
{
	socket_free((struct lingering_socket *)holder);
}

void net_linger_add(struct net_linger *linger, int fd, const char *address,
		    gint64 now_ms)
{
	static const struct timeval timeout = { LINGER_MS / 1000,
						LINGER_MS % 1000 * 1000 };
	struct lingering_socket *socket;
	int copy = dup(fd);

	if (copy < 0)
		return;
	socket = g_new0(struct lingering_socket, 1);
	socket->linger = linger;
	socket->fd = copy;
	socket->started_ms = now_ms;
	socket->link.data = socket;
	socket->event = event_new(linger->base, copy, EV_READ | EV_PERSIST,
				  on_event, socket);
	socket->holder.close = on_close;
	g_queue_push_tail_link(&linger->sockets, &socket->link);
	net_account_add(linger->account, &socket->holder, address, now_ms);
	event_add(socket->event, &timeout);
}

void net_linger_clear(struct net_linger *linger)
{
	while (linger->sockets.head)
		socket_free(linger->sockets.head->data);
}
