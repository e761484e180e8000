#ifndef NET_H
#define NET_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

/* Functions shared by the I/O layers of both programs and the kv adapter. */

/**
 * Returns the boot clock in ms, which goes on while the VM is suspended. All
 * code reads the clock through this function.
 */
gint64 net_now_ms(void);

/**
 * Splits "IP:PORT" or "[IP]:PORT"; the caller frees *host, which has no
 * brackets. Returns -1 if the address is neither.
 */
int net_split_address(const char *address, char **host, guint16 *port);

/** Returns the name of a method that requests may have, or NULL. */
const char *net_method_name(enum evhttp_cmd_type type);

/** Returns -1 if requests may not have the method. */
int net_method_parse(const char *name, enum evhttp_cmd_type *type);

/** TRUE for headers that belong to one connection or are set by each hop. */
gboolean net_is_hop_by_hop(const char *name);

/** TRUE if list, the value of a Connection header or NULL, has the name. */
gboolean net_is_listed(const char *list, const char *name);

/** Answers a request with a body of len bytes and content type type. */
void net_send_text(struct evhttp_request *req, int status, const char *type,
		   const char *text, size_t len);

/**
 * Runs a program's event loop until event_base_loopbreak(). on_tick is called
 * at once and then each interval_ms, on_stop for each SIGTERM and SIGINT with
 * the signal's number as fd. On return both signals are blocked, so that a
 * repeated one does not end the drained program with another exit status.
 */
void net_loop(struct event_base *base, unsigned interval_ms,
	      event_callback_fn on_tick, event_callback_fn on_stop, void *ctx);

#endif
