#ifndef CELL_INTERNAL_H
#define CELL_INTERNAL_H

#include <string.h>

#include <event2/listener.h>

#include "../net/net.h"
#include "cell.h"

/** Beats between processes; a silent connection is closed after the other. */
#define CELL_BEAT_MS 600
#define CELL_SILENT_MS 2200

#define CELL_TICK_MS 20

#define CELL_ERROR cell_error_quark()
GQuark cell_error_quark(void);

enum cell_error {
	/** The address is invalid or in use. */
	CELL_ERROR_ADDRESS,
};

/* conn.c: a connection that carries frames. */
struct cell_conn;

struct cell_conn_handler {
	/** frame belongs to the connection. */
	void (*on_frame)(void *ctx, struct cell_conn *conn,
			 const struct Rp__Frame *frame);
	/** The connection is freed after this call. */
	void (*on_close)(void *ctx, struct cell_conn *conn, const char *why);
	/** Of a connection that was dialled. */
	void (*on_connect)(void *ctx, struct cell_conn *conn);
};

struct cell_conn *cell_conn_dial(struct event_base *base, const char *address,
				 const struct cell_conn_handler *handler,
				 void *ctx);
struct cell_conn *cell_conn_accept(struct event_base *base, evutil_socket_t fd,
				   const struct cell_conn_handler *handler,
				   void *ctx);
void cell_conn_send(struct cell_conn *conn, const struct Rp__Frame *frame);
/** Sends a NodeBeat. */
void cell_conn_send_beat(struct cell_conn *conn, guint64 fence);
/** Closes without a call of on_close; safe within on_frame. */
void cell_conn_close(struct cell_conn *conn);
/** TRUE in on_close if nobody listens at the address that was dialled, so the
 * process there has ended. */
gboolean cell_conn_refused(const struct cell_conn *conn);
/** When the last bytes came. */
gint64 cell_conn_heard_ms(const struct cell_conn *conn);

/** Listens for frames; returns NULL with CELL_ERROR. */
struct evconnlistener *cell_listen(struct event_base *base, const char *address,
				   evconnlistener_cb on_accept, void *ctx,
				   GError **error);

/* follow.c: the connection of the leader that a process obeys. */
struct cell_follow {
	struct cell_conn *conn;
	guint64 fence;
	/** Where the leader listens; NULL if it did not tell. */
	char *address;
	GPtrArray *unknown;
	struct event_base *base;
	void (*on_leader)(void *ctx, guint64 fence);
	void (*on_frame)(void *ctx, const struct Rp__Frame *frame);
	void (*on_lost)(void *ctx);
	void *ctx;
};

void cell_follow_init(struct cell_follow *follow, struct event_base *base);
void cell_follow_clear(struct cell_follow *follow);
void cell_follow_accept(struct cell_follow *follow, evutil_socket_t fd);
/** Closes a silent connection. */
void cell_follow_tick(struct cell_follow *follow, gint64 now_ms);
void cell_follow_send(struct cell_follow *follow,
		      const struct Rp__Frame *frame);

/* register.c: this process's address in the service. */
enum cell_role {
	CELL_ROLE_ENTRY,
	CELL_ROLE_AGENT,
};

struct cell_register {
	struct kv *kv;
	char *name;
	enum cell_role role;
	char *address;
	gboolean written;
	gboolean busy;
	gint64 next_ms;
};

void cell_register_init(struct cell_register *reg, struct kv *kv,
			const char *name, enum cell_role role,
			const char *address);
void cell_register_clear(struct cell_register *reg);
/** Writes the address until it is known; again if no leader is in touch. */
void cell_register_tick(struct cell_register *reg, gint64 now_ms,
			gboolean in_touch);
/** Reads an address as written; returns -1 if it is not one. */
int cell_register_parse(GBytes *value, enum cell_role *role, char **address);

/* store.c: leadership and records in the service. */
struct cell_store;

struct cell_store_handler {
	/** This process was elected; records follow. */
	void (*on_won)(void *ctx, guint64 fence);
	/** All records have been passed on. */
	void (*on_elected)(void *ctx, guint64 fence);
	void (*on_deposed)(void *ctx);
	void (*on_proof)(void *ctx, gint64 sent_ms);
	void (*on_committed)(void *ctx);
	void (*on_tables)(void *ctx, GBytes *document);
	/** value is NULL for a key that was removed. */
	void (*on_node)(void *ctx, const char *name, GBytes *value);
	void (*on_record)(void *ctx, const char *key, GBytes *value);
	void *ctx;
};

struct cell_store_options {
	struct event_base *base;
	struct kv *kv;
	const char *name;
	const char *tables_key;
	struct cell_store_handler handler;
};

struct cell_store *cell_store_new(const struct cell_store_options *options);
void cell_store_free(struct cell_store *store);
/** in_touch: a leader's connection is alive, so there is less to look for. */
void cell_store_tick(struct cell_store *store, gint64 now_ms,
		     gboolean in_touch);
/** Writes under the leader's conditions; takes txn. */
void cell_store_commit(struct cell_store *store, struct kv_txn *txn);
void cell_store_remove_node(struct cell_store *store, const char *name);
/** Ends the term at once: a later leader is known. */
void cell_store_step_down(struct cell_store *store);
/** The process that was elected with the fence has ended: its key need not last
 * until its lease expires. */
void cell_store_leader_ended(struct cell_store *store, guint64 fence);
/** Gives up leadership once no transaction is under way. */
void cell_store_resign(struct cell_store *store);

/* lead.c: the connections of the leader, and its decisions. */
struct cell_lead;

struct cell_lead_options {
	struct event_base *base;
	struct cell_store *store;
	struct obs_metrics *metrics;
	const char *name;
	/** IP:PORT of this process for frames. */
	const char *listen;
	guint64 fence;
	guint max_txn_ops;
};

struct cell_lead *cell_lead_new(const struct cell_lead_options *options);
/** Answers open calls and closes all connections. */
void cell_lead_free(struct cell_lead *lead);
void cell_lead_record(struct cell_lead *lead, const char *key, GBytes *value);
void cell_lead_tables(struct cell_lead *lead, GPtrArray *queues);
void cell_lead_node(struct cell_lead *lead, const char *name, GBytes *value);
void cell_lead_proof(struct cell_lead *lead, gint64 sent_ms);
void cell_lead_committed(struct cell_lead *lead);
void cell_lead_tick(struct cell_lead *lead);
gboolean cell_lead_has_tables(const struct cell_lead *lead);
void cell_lead_update_metrics(struct cell_lead *lead);
void cell_lead_call(struct cell_lead *lead, const struct Rp__StepCall *call,
		    cell_reply_fn fn, void *ctx);

#endif
