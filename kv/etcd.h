#ifndef KV_ETCD_H
#define KV_ETCD_H

#include <event2/event.h>
#include <event2/http.h>

#include "kv.h"
#include "kv_json.h"

/* Internal to kv/: shared by calls and watches of the etcd adapter. */

struct kv_endpoint {
	char *address;
	char *host;
	guint16 port;
	/** Idle connections: struct evhttp_connection. */
	GQueue idle;
};

struct kv_etcd {
	struct kv kv;
	struct event_base *base;
	struct kv_endpoint *endpoints;
	size_t n_endpoints;
	/** Index of the endpoint that the next call uses. */
	size_t current;
	gint64 timeout_ms;
	struct kv_calls calls;
	/** Calls in flight (struct call), and open watches. */
	GQueue pending;
	GQueue watches;
};

struct evhttp_connection *kv_etcd_connect(struct kv_etcd *etcd,
					  const struct kv_endpoint *endpoint);

/** Sends a POST and takes ownership of req; returns -1 if not queued. */
int kv_etcd_post(struct evhttp_connection *connection,
		 struct evhttp_request *req, const struct kv_endpoint *endpoint,
		 const char *path, const char *body, size_t len);

/** Later calls use the next endpoint if the failed one is the current one. */
void kv_etcd_switch_endpoint(struct kv_etcd *etcd, size_t failed);

/** Sets the error that an answer reports, from its HTTP status and body. */
void kv_etcd_answer_error(int status, const char *data, size_t len,
			  GError **error);

struct kv_watch *kv_etcd_watch(struct kv *kv, const char *prefix,
			       gint64 revision, kv_watch_fn fn, void *ctx);
gint64 kv_etcd_watch_current_ms(const struct kv *kv,
				const struct kv_watch *watch);
void kv_etcd_watch_cancel(struct kv *kv, struct kv_watch *watch);
void kv_etcd_watch_free(struct kv_watch *watch);

#endif
