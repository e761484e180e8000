#ifndef SRV_CONN_H
#define SRV_CONN_H

#include <event2/bufferevent.h>

#include "srv.h"

/* Shared by srv_conn.c (connections) and srv_dial.c (dialling of peers). */

enum conn_kind {
	/** Neither Hello nor PeerHello has arrived yet. */
	CONN_NEW,
	CONN_AGENT,
	CONN_PEER,
};

struct dialler;

/** A connection to an agent or a peer entry. */
struct conn {
	struct srv_conns *conns;
	guint64 number;
	enum conn_kind kind;
	struct bufferevent *bev;
	/** Address of the other side, for logs. */
	char *address;
	/** VM or entry id from Hello or PeerHello; NULL before. */
	char *id;
	/** When it was accepted or the dial succeeded; until a dial has
	 * succeeded, when it began. */
	gint64 opened_ms;
	/** The dialler whose connection this is, or NULL. */
	struct dialler *dialler;
	/** This entry opened the connection. */
	gboolean dialled;
	/** The reducer has had an event of it, and gets ENT_EV_CLOSED. */
	gboolean known_to_reducer;
	/** A frame with an unknown body was logged, once per connection. */
	gboolean unknown_logged;
	/** Reading is off until the output buffer drops to the resume mark. */
	gboolean read_paused;
	/** Retired, but unsent output is written until close_by_ms. */
	gboolean closing;
	gint64 close_by_ms;
	/** Removed from by_number; freed at a tick. */
	gboolean retired;
};

struct srv_conns {
	struct srv *srv;
	struct evconnlistener *listener;
	/** Number -> struct conn. */
	GHashTable *by_number;
	/** Of struct conn pointers: retired connections, freed at a tick. */
	GQueue retired;
	/** Of struct dialler pointers. */
	GPtrArray *diallers;
	/** Number of the newest connection. */
	guint64 last_number;
	/** Time of the next check for connections without Hello. */
	gint64 next_scan_ms;
	unsigned agents;
	unsigned peers;
	/** Bytes of frames, headers included, to and from agents and peers. */
	guint64 wire_in_bytes;
	guint64 wire_out_bytes;
};

/** fd is -1 for a connection that is about to be dialled. */
struct conn *conn_new(struct srv_conns *conns, evutil_socket_t fd,
		      const char *address);
/** Starts reading and writing; the socket is connected. */
void conn_ready(struct conn *conn);
/** Logs the reason and closes at once, without writing unsent output. */
void conn_close(struct conn *conn, const char *why);

void diallers_init(struct srv_conns *conns);
void diallers_free(struct srv_conns *conns);
void diallers_tick(struct srv_conns *conns, gint64 now_ms);
/** A dialled connection is established. */
void dialler_connected(struct conn *conn);
/** The connection has ended; its dialler, if any, schedules a retry. */
void dialler_closed(struct conn *conn);
/**
 * Called after PeerHello: keeps one connection to that entry and closes the
 * other, and closes a connection of this entry to itself.
 */
void peer_close_duplicate(struct conn *conn);

#endif
