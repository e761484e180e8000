#ifndef NET_CLIENTS_H
#define NET_CLIENTS_H

#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>

#include "../obs/obs.h"
#include "account.h"
#include "head.h"

/*
 * An HTTP server whose clients may violate every limit. It bounds what each
 * connection makes the process hold, counts that in an account shared by the
 * process's servers, and closes connections when a limit is exceeded.
 */

/** A request without a route and with a larger body is refused by its header,
 * and its connection is closed; below that the connection is kept. */
#define NET_EARLY_BODY_BYTES 65536

struct net_clients;
/** A connection of a client. */
struct net_client;

struct net_clients_options {
	struct event_base *base;
	/** Shared by the servers of a process. */
	struct net_account *account;
	/** Counts enforced limits; may be NULL. */
	struct obs_metrics *metrics;
	/** Name of the server in log lines and metrics, such as "callers". */
	const char *name;
	/** Set of enum evhttp_cmd_type. */
	guint16 methods;
	gsize max_header_bytes;
	gsize max_body_bytes;
	/** Time from the first byte of a header section to its end. */
	gint64 header_timeout_ms;
	/** Time from the first byte of a request to its end. */
	gint64 request_timeout_ms;
	/** A connection is closed after this time without any traffic. */
	gint64 idle_timeout_ms;
	/** Header lines with CRLF added to refusals by the server, or "". */
	const char *refusal_headers;
	/** Called for each complete request, which must be answered. */
	void (*on_request)(struct evhttp_request *req, void *ctx);
	/**
	 * Returns TRUE if a request with a body of more than
	 * NET_EARLY_BODY_BYTES has no route, so that it is refused with 404
	 * before its body is received. May be NULL.
	 */
	gboolean (*has_no_route)(const struct net_head *head, void *ctx);
	/** Called for each new connection; may be NULL. */
	void (*on_open)(struct net_client *client, void *ctx);
	void *ctx;
};

/** The server has no listener yet. Strings of the options are not copied. */
struct net_clients *net_clients_new(const struct net_clients_options *options);

/** Closes all connections; clients may be NULL. */
void net_clients_free(struct net_clients *clients);

/** The underlying server, to add listeners and paths. */
struct evhttp *net_clients_http(struct net_clients *clients);

/** Closes connections whose time is over; clients may be NULL. To be called at
 * least each second. */
void net_clients_tick(struct net_clients *clients, gint64 now_ms);

/** Returns the connection of a request that was passed to on_request. */
struct net_client *net_clients_find(struct net_clients *clients,
				    struct evhttp_request *req);

/**
 * Sets the function that is called when the connection is closed, before it is
 * freed; fn may be NULL. The module uses evhttp's own close callback.
 */
void net_client_on_close(struct net_client *client, void (*fn)(void *ctx),
			 void *ctx);

struct evhttp_connection *net_client_connection(struct net_client *client);

/** Data of the server's owner. */
void net_client_set_user(struct net_client *client, void *user);
void *net_client_user(const struct net_client *client);

/** Number of open connections. */
guint net_clients_count(const struct net_clients *clients);

/** Limits of an account for a process. */
struct net_process_limits {
	/** Memory that the process may have; 0 if not given. */
	guint64 memory_bytes;
	/** Descriptors that the process may have; 0 for RLIMIT_NOFILE. */
	guint64 max_fds;
};

/** Returns an account with limits derived from those of the process. */
struct net_account *
net_process_account(const struct net_process_limits *limits);

/** Sets the gauges of what the account's clients hold. */
void net_account_update_metrics(const struct net_account *account,
				struct obs_metrics *metrics);

#endif
