#ifndef SHELL_H
#define SHELL_H

/* Component in log lines; must be defined before GLib is included. */
#define G_LOG_DOMAIN "radishpier-agent"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "../agent/agent.h"
#include "../config/config.h"
#include "../net/net.h"
#include "../net/operator.h"
#include "../obs/obs.h"

/*
 * Internal to radishpier-agent/, the I/O layer of the agent: it turns libevent
 * callbacks into events for agt_reduce() and carries out the resulting effects
 * in order. Its names begin with ash_.
 */

#define ASH_ERROR ash_error_quark()
GQuark ash_error_quark(void);

enum ash_error {
	ASH_ERROR_ADDRESS,
	ASH_ERROR_ADDRESS_IN_USE,
	ASH_ERROR_EVENT_LOOP,
};

struct ash_http;

/** State of the I/O layer. */
struct ash {
	const struct cfg_agent *settings;
	struct event_base *base;
	struct agt *agt;
	struct obs_metrics *metrics;
	/** What the clients of the operator server hold. */
	struct net_account *account;
	/** NULL if it cannot be started. */
	struct net_operator *operator_server;
	/** Bytes of frames, headers included, to and from entries. */
	guint64 wire_in_bytes;
	guint64 wire_out_bytes;
	/** Connection id -> struct conn of conns.c: connections to entries. */
	GHashTable *conns;
	/** HTTP clients; NULL if the settings name no address. */
	struct ash_http *upstream;
	struct ash_http *worker;
	/** ash_event() is running; further events are queued. */
	gboolean dispatching;
	/** Of struct agt_event without pointers, to be applied next. */
	GArray *pending_events;
	/** Of struct agt_effect; emptied after each event and reused. */
	GArray *effects;
	/** The reducer has drained. */
	gboolean drained;
	/** Earliest time of the exit once drained. */
	gint64 linger_until_ms;
	/** Latest time of the exit; 0 until a stop signal arrives. */
	gint64 exit_deadline_ms;
	int exit_code;
};

/* shell.c */

/**
 * Sets the event's time, applies it to the reducer and carries out its effects.
 * If called while effects are carried out, it queues the event, which must then
 * have no pointers.
 */
void ash_event(struct ash *ash, struct agt_event *event);

/**
 * Runs the agent until it has drained after SIGTERM or SIGINT, or the drain
 * timed out. Returns an exit code, or -1 with an ASH_ERROR.
 */
int ash_run(const struct cfg_agent *settings, GError **error);

/* conns.c: connections to entries */

/** Carries out AGT_FX_DIAL. */
void ash_conn_dial(struct ash *ash, guint64 id, const char *address);
/**
 * Queues the frame, which it may change, unless the connection has ended.
 * Closes a connection with too much unsent output.
 */
void ash_conn_send(struct ash *ash, guint64 id, struct Rp__Frame *frame);
/** Carries out AGT_FX_CLOSE. Unsent output is dropped. */
void ash_conn_close(struct ash *ash, guint64 id);
/** Frees a struct conn; a GDestroyNotify. */
void ash_conn_free(void *conn);
/** TRUE if all that was sent has been handed to the kernel. */
gboolean ash_conns_flushed(struct ash *ash);

/* http.c: an HTTP client with persistent connections to one address */

/**
 * Called when a call has ended. req is borrowed, and NULL unless status is
 * AGT_UPSTREAM_ANSWERED.
 */
typedef void ash_http_done(void *data, enum agt_upstream_status status,
			   struct evhttp_request *req);

struct ash_http_call {
	enum evhttp_cmd_type method;
	const char *target;
	const struct Rp__Header *const *headers;
	size_t n_headers;
	const void *body;
	size_t body_len;
	/** Includes the wait for a connection. */
	unsigned timeout_ms;
	ash_http_done *done;
	void *data;
	/** Frees data if ash_http_free() abandons the call; may be NULL. */
	GDestroyNotify free_data;
};

/**
 * Calls beyond the number of connections wait. Returns NULL with an ASH_ERROR
 * if the address is not IP:PORT.
 */
struct ash_http *ash_http_new(struct event_base *base, const char *address,
			      unsigned connections, size_t max_body_bytes,
			      GError **error);
void ash_http_free(struct ash_http *http);

/**
 * Starts the call. Everything that it points to is copied, except data. done is
 * called once, possibly before this returns.
 */
void ash_http_start(struct ash_http *http, const struct ash_http_call *call);

/* upstream.c, worker.c: effects that are carried out by HTTP calls */

void ash_upstream_forward(struct ash *ash, const struct agt_effect *fx);
void ash_worker_list(struct ash *ash);
void ash_worker_call(struct ash *ash, const struct agt_effect *fx);

/* operator.c: HTTP server for operators */

/**
 * Listens on the operator address; returns the socket, or -1 with an ASH_ERROR.
 * The listener also prevents a second agent on this VM, which fails with
 * ASH_ERROR_ADDRESS_IN_USE.
 */
int ash_operator_listen(const char *address, GError **error);
/** Takes over the socket; returns NULL, without closing it, on failure. */
struct net_operator *ash_operator_new(struct ash *ash, int fd);

#endif
