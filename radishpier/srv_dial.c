#include "srv_conn.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/** Bound on the TCP handshake of a dial. */
#define DIAL_TIMEOUT_MS 2000
#define DIAL_BACKOFF_MAX_MS 5000

/** A connection to a peer that lasted longer resets the back-off. */
#define STABLE_CONN_MS 5000

/** An address of a peer entry to which a connection is kept open. */
struct dialler {
	char *address;
	/** Entry id from the registration or from PeerHello; NULL before. */
	char *id;
	/** Listed in the settings: kept also while it is not registered. */
	gboolean configured;
	/** Registered in the key-value store. */
	gboolean registered;
	/** The address is that of this entry, which does not dial it. */
	gboolean self;
	struct conn *conn;
	/** Dials since a connection last was stable, for the back-off. */
	unsigned failures;
	/** Earliest time of the next dial. */
	gint64 retry_ms;
};

static struct dialler *dialler_find(struct srv_conns *conns,
				    const char *address)
{
	guint i;

	for (i = 0; i < conns->diallers->len; i++) {
		struct dialler *d = g_ptr_array_index(conns->diallers, i);

		if (!strcmp(d->address, address))
			return d;
	}
	return NULL;
}

static struct dialler *dialler_add(struct srv_conns *conns, const char *address)
{
	struct dialler *d = dialler_find(conns, address);

	if (d)
		return d;
	d = g_new0(struct dialler, 1);
	d->address = g_strdup(address);
	d->self = !strcmp(address, conns->srv->settings->agent_address);
	g_ptr_array_add(conns->diallers, d);
	return d;
}

static void dialler_free(void *data)
{
	struct dialler *d = data;

	if (d->conn)
		d->conn->dialler = NULL;
	g_free(d->address);
	g_free(d->id);
	g_free(d);
}

void diallers_init(struct srv_conns *conns)
{
	const struct cfg_entry *settings = conns->srv->settings;
	unsigned i;

	conns->diallers = g_ptr_array_new_with_free_func(dialler_free);
	for (i = 0; i < settings->peers_count; i++)
		dialler_add(conns, settings->peers[i])->configured = TRUE;
}

void diallers_free(struct srv_conns *conns)
{
	guint i;

	/* srv_conns_free() has freed the connections. */
	for (i = 0; i < conns->diallers->len; i++)
		((struct dialler *)g_ptr_array_index(conns->diallers, i))
			->conn = NULL;
	g_ptr_array_unref(conns->diallers);
}

void srv_conns_set_entries(struct srv_conns *conns, const char *const *ids,
			   const char *const *addresses, size_t n)
{
	guint i;

	for (i = 0; i < conns->diallers->len; i++)
		((struct dialler *)g_ptr_array_index(conns->diallers, i))
			->registered = FALSE;
	for (i = 0; i < n; i++) {
		struct dialler *d = dialler_add(conns, addresses[i]);

		d->registered = TRUE;
		if (!strcmp(ids[i], conns->srv->settings->id))
			d->self = TRUE;
		if (g_strcmp0(d->id, ids[i])) {
			g_free(d->id);
			d->id = g_strdup(ids[i]);
		}
	}
	/*
	 * A connection outlives the registration, which may be missing from the
	 * store because of an outage.
	 */
	for (i = conns->diallers->len; i-- > 0;) {
		struct dialler *d = g_ptr_array_index(conns->diallers, i);

		if (!d->configured && !d->registered && !d->conn)
			g_ptr_array_remove_index_fast(conns->diallers, i);
	}
}

static gboolean is_connected(struct srv_conns *conns, const char *id)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, conns->by_number);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct conn *conn = value;

		if (conn->kind == CONN_PEER && !strcmp(conn->id, id))
			return TRUE;
	}
	return FALSE;
}

static void dial(struct srv_conns *conns, struct dialler *d, gint64 now_ms)
{
	struct sockaddr_storage sa;
	int sa_len = sizeof(sa);
	const struct timeval timeout = { DIAL_TIMEOUT_MS / 1000,
					 DIAL_TIMEOUT_MS % 1000 * 1000 };
	struct conn *conn;

	d->retry_ms = now_ms + srv_backoff_ms(conns->srv, d->failures++,
					      DIAL_BACKOFF_MAX_MS);
	if (evutil_parse_sockaddr_port(d->address, (struct sockaddr *)&sa,
				       &sa_len) < 0) {
		srv_log(G_LOG_LEVEL_WARNING,
			"peer '%s' is not a numeric address and port",
			d->address);
		/* Saturates the back-off: the address does not become valid. */
		d->failures = 20;
		return;
	}
	conn = conn_new(conns, -1, d->address);
	conn->dialled = TRUE;
	conn->dialler = d;
	d->conn = conn;
	bufferevent_set_timeouts(conn->bev, NULL, &timeout);
	if (bufferevent_socket_connect(conn->bev, (struct sockaddr *)&sa,
				       sa_len) < 0 &&
	    !conn->retired)
		conn_close(conn, g_strerror(errno));
}

void diallers_tick(struct srv_conns *conns, gint64 now_ms)
{
	guint i;

	if (conns->srv->draining)
		return;
	for (i = 0; i < conns->diallers->len; i++) {
		struct dialler *d = g_ptr_array_index(conns->diallers, i);

		if (d->self || d->conn || now_ms < d->retry_ms)
			continue;
		if (d->id && is_connected(conns, d->id))
			/* By another connection; checked again after 500 ms. */
			d->retry_ms = now_ms + SRV_STALL_MS / 4;
		else
			dial(conns, d, now_ms);
	}
}

void dialler_connected(struct conn *conn)
{
	struct ent_event ev = { .kind = ENT_EV_PEER_CONNECTED };

	bufferevent_set_timeouts(conn->bev, NULL, NULL);
	conn->opened_ms = net_now_ms();
	conn_ready(conn);
	conn->known_to_reducer = TRUE;
	ev.conn.conn = conn->number;
	srv_dispatch(conn->conns->srv, &ev);
}

void dialler_closed(struct conn *conn)
{
	struct dialler *d = conn->dialler;
	gint64 now_ms = net_now_ms();

	if (!d)
		return;
	conn->dialler = NULL;
	d->conn = NULL;
	if (conn->kind == CONN_PEER &&
	    now_ms - conn->opened_ms > STABLE_CONN_MS)
		d->failures = 0;
	d->retry_ms = now_ms + srv_backoff_ms(conn->conns->srv, d->failures,
					      DIAL_BACKOFF_MAX_MS);
}

/*
 * Both entries must keep the same one of two connections: that opened by the
 * entry with the smaller id, or the newer one if both have the same direction.
 */
static gboolean is_preferred(const struct conn *a, const struct conn *b,
			     const char *own_id)
{
	gboolean own_is_smaller = strcmp(own_id, a->id) < 0;

	if (a->dialled != b->dialled)
		return a->dialled == own_is_smaller;
	return a->number > b->number;
}

void peer_close_duplicate(struct conn *conn)
{
	struct srv_conns *conns = conn->conns;
	const char *own_id = conns->srv->settings->id;
	struct conn *other = NULL;
	GHashTableIter iter;
	void *value;

	if (!strcmp(conn->id, own_id)) {
		if (conn->dialler)
			conn->dialler->self = TRUE;
		conn_close(conn, "the peer has the id of this entry");
		return;
	}
	if (conn->dialler) {
		g_free(conn->dialler->id);
		conn->dialler->id = g_strdup(conn->id);
	}
	g_hash_table_iter_init(&iter, conns->by_number);
	while (!other && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct conn *c = value;

		if (c != conn && c->kind == CONN_PEER &&
		    !strcmp(c->id, conn->id))
			other = c;
	}
	if (!other)
		return;
	if (is_preferred(conn, other, own_id))
		conn_close(other, "replaced by another connection");
	else
		conn_close(conn, "another connection is kept");
}
