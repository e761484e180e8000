#ifndef NET_OPERATOR_H
#define NET_OPERATOR_H

#include "clients.h"

/** An HTTP server for operators. */
struct net_operator;

/**
 * Returns a server without a listener. It answers /healthz, and 404 for unknown
 * paths. metrics may be NULL.
 */
struct net_operator *net_operator_new(struct event_base *base,
				      struct net_account *account,
				      struct obs_metrics *metrics);

/** Sets the function that answers requests for a path, which is not copied. */
void net_operator_add(struct net_operator *operator, const char * path,
		      void (*fn)(struct evhttp_request *req, void *ctx),
		      void *ctx);

/** The underlying server, to add a listener. */
struct evhttp *net_operator_http(struct net_operator *operator);

/** As net_clients_tick(). */
void net_operator_tick(struct net_operator *operator, gint64 now_ms);

/** operator may be NULL. */
void net_operator_free(struct net_operator *operator);

#endif
