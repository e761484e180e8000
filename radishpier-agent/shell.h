#ifndef SHELL_H
#define SHELL_H

/* Before GLib is included: the component in the log lines. */
#define G_LOG_DOMAIN "radishpier-agent"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "../agent/agent.h"
#include "../config/config.h"
#include "../net/net.h"
#include "../obs/obs.h"

/* Shared by the sources of radishpier-agent/ only. */

#define ASH_ERROR ash_error_quark()
GQuark ash_error_quark(void);

enum ash_error {
	ASH_ERROR_ADDRESS,
	ASH_ERROR_ADDRESS_IN_USE,
	ASH_ERROR_EVENT_LOOP,
};

struct ash_http;

struct ash {
	const struct cfg_agent *settings;
	struct event_base *base;
	struct agt *agt;
	struct obs_metrics *metrics;
	/** Bytes of frames, headers included, to and from entries. */
	guint64 wire_in_bytes;
	guint64 wire_out_bytes;
	/** Connection id to struct conn of conns.c. */
	GHashTable *conns;
	struct ash_http *upstream;
	struct ash_http *worker;
	/** Effects of an event are being carried out. */
	gboolean busy;
	/** Events without pointers that arose meanwhile. */
	GArray *pending;
	GArray *effects;
	gboolean drained;
	gint64 linger_until_ms;
	gint64 exit_at_ms;
	int exit_code;
};

/* shell.c */

/**
 * Applies the event, whose time is filled in, and carries out its effects.
 * While effects are carried out, only events without pointers may be given;
 * they are applied afterwards.
 */
void ash_event(struct ash *ash, struct agt_event *event);

/** Runs until drained; returns an exit code, or -1 with an ASH_ERROR. */
int ash_run(const struct cfg_agent *settings, GError **error);

/* conns.c: connections to entries. */
void ash_conn_dial(struct ash *ash, guint64 id, const char *address);
void ash_conn_send(struct ash *ash, guint64 id, struct Rp__Frame *frame);
void ash_conn_close(struct ash *ash, guint64 id);
void ash_conn_free(void *conn);
/** TRUE if all that was sent has been handed to the kernel. */
gboolean ash_conns_flushed(struct ash *ash);

/* http.c: a client with persistent connections to one address. */

/** req is NULL unless status is AGT_UPSTREAM_ANSWERED. */
typedef void ash_http_done(void *data, enum agt_upstream_status status,
			   struct evhttp_request *req);

struct ash_http_call {
	enum evhttp_cmd_type method;
	const char *target;
	const struct Rp__Header *const *headers;
	size_t n_headers;
	const void *body;
	size_t body_len;
	unsigned timeout_ms;
	ash_http_done *done;
	void *data;
	/** Of data, if ash_http_free() abandons the call; may be NULL. */
	GDestroyNotify free_data;
};

/** Returns NULL with an ASH_ERROR if the address is not IP:PORT. */
struct ash_http *ash_http_new(struct event_base *base, const char *address,
			      unsigned connections, size_t max_body_bytes,
			      GError **error);
void ash_http_free(struct ash_http *http);

/**
 * Everything that call points to is copied, except data. done is called once,
 * possibly before this returns.
 */
void ash_http_start(struct ash_http *http, const struct ash_http_call *call);

/* upstream.c, worker.c: effects that are HTTP calls. */
void ash_upstream_forward(struct ash *ash, const struct agt_effect *fx);
void ash_worker_list(struct ash *ash);
void ash_worker_call(struct ash *ash, const struct agt_effect *fx);

/* operator.c */

/**
 * Listens on the operator address. The listener also keeps a second agent
 * off this VM: it fails with ASH_ERROR_ADDRESS_IN_USE.
 */
int ash_operator_listen(const char *address, GError **error);
struct evhttp *ash_operator_new(struct ash *ash, int fd);

#endif
