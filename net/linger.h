#ifndef NET_LINGER_H
#define NET_LINGER_H

#include <event2/event.h>
#include <glib.h>

#include "account.h"

/*
 * Sockets of refused clients, kept open for a while: if a connection is closed
 * while its client is still sending, the client may lose the response.
 */

struct net_linger {
	struct event_base *base;
	/** Counts the sockets as holders. */
	struct net_account *account;
	/** Of open sockets; private. */
	GQueue sockets;
};

/**
 * Keeps a duplicate of the socket open and discards what arrives on it, until
 * nothing came for 1 s, for 5 s, for 4 MiB, or until the account needs its
 * place.
 */
void net_linger_add(struct net_linger *linger, int fd, const char *address,
		    gint64 now_ms);

/** Closes all sockets. */
void net_linger_clear(struct net_linger *linger);

#endif
