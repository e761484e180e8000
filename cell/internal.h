#ifndef CELL_INTERNAL_H
#define CELL_INTERNAL_H

#include <string.h>

#include <event2/listener.h>

#include "../net/net.h"
#include "cell.h"

/** Interval of heartbeats between processes. */
#define CELL_HEARTBEAT_MS 600

/** A connection that receives nothing for this time is closed. */
#define CELL_IDLE_TIMEOUT_MS 2200

/** Interval of the timer that drives timeouts and retries. */
#define CELL_TICK_MS 20

#define CELL_ERROR cell_error_quark()
GQuark cell_error_quark(void);

enum cell_error {
	/** The address is invalid or in use. */
	CELL_ERROR_ADDRESS,
};

/* conn.c: a connection that carries frames. */
struct cell_conn;

/** Callbacks of a connection; ctx is that of its creation. */
struct cell_conn_handler {
	/** frame belongs to the connection. */
	void (*on_frame)(void *ctx, struct cell_conn *conn,
			 const struct Rp__Frame *frame);
	/** The connection is freed after this call. */
	void (*on_close)(void *ctx, struct cell_conn *conn, const char *why);
	/** Only for outgoing connections, once established. */
	void (*on_connect)(void *ctx, struct cell_conn *conn);
};

/** Connects to IP:PORT; returns NULL if the address is not valid or no socket
 * can be made. Other failures are reported by on_close. */
struct cell_conn *cell_conn_dial(struct event_base *base, const char *address,
				 const struct cell_conn_handler *handler,
				 void *ctx);
/** Takes over the accepted socket fd; returns NULL on failure. A frame above
 * 64 KiB closes the connection before cell_conn_set_identified(). */
struct cell_conn *cell_conn_accept(struct event_base *base, evutil_socket_t fd,
				   const struct cell_conn_handler *handler,
				   void *ctx);
/** Frames up to the maximum size can be received from now on. */
void cell_conn_set_identified(struct cell_conn *conn);
/** Sets the metrics of all connections of the process. */
void cell_conn_update_metrics(struct obs_metrics *metrics);
/** Sends a frame, or drops it with a warning if the peer does not read. */
void cell_conn_send(struct cell_conn *conn, const struct Rp__Frame *frame);
/** What a heartbeat tells besides the fencing token; see NodeBeat. */
struct cell_heartbeat {
	guint64 fencing_token;
	guint cpu_milli;
	guint best_cpu_milli;
	/** NULL for none. */
	const char *successor;
};

/** Sends a heartbeat (frame NodeBeat). */
void cell_conn_send_heartbeat(struct cell_conn *conn,
			      const struct cell_heartbeat *heartbeat);
/** Closes without calling on_close; may be called from on_frame. */
void cell_conn_close(struct cell_conn *conn);
/** TRUE in on_close if the outgoing connection was refused: nothing listens at
 * the address, so the process there has ended. */
gboolean cell_conn_refused(const struct cell_conn *conn);
/** Time at which the connection last received data, ms. */
gint64 cell_conn_last_received_ms(const struct cell_conn *conn);

/** Listens on IP:PORT; returns NULL with CELL_ERROR. */
struct evconnlistener *cell_listen(struct event_base *base, const char *address,
				   evconnlistener_cb on_accept, void *ctx,
				   GError **error);

/* follow.c: the connection from the leader whose orders a process accepts. */
struct cell_leader_conn {
	/** NULL while no leader is connected. */
	struct cell_conn *conn;
	/** Highest fencing token of a leader that has connected; 0 for none. */
	guint64 fencing_token;
	/** IP:PORT of the leader that connected last; NULL if not known. */
	char *address;
	/** Accepted connections (struct cell_conn) without a LeaderHello. */
	GPtrArray *unidentified;
	struct event_base *base;
	/** Set by the owner after cell_leader_conn_init(), with ctx. */
	void (*on_connected)(void *ctx, guint64 fencing_token);
	void (*on_frame)(void *ctx, const struct Rp__Frame *frame);
	void (*on_disconnected)(void *ctx);
	void *ctx;
};

void cell_leader_conn_init(struct cell_leader_conn *leader_conn,
			   struct event_base *base);
void cell_leader_conn_clear(struct cell_leader_conn *leader_conn);
/** Takes over the accepted socket fd. */
void cell_leader_conn_accept(struct cell_leader_conn *leader_conn,
			     evutil_socket_t fd);
/** Closes the connection after CELL_IDLE_TIMEOUT_MS without data. */
void cell_leader_conn_tick(struct cell_leader_conn *leader_conn, gint64 now_ms);
/** Sends a frame to the leader, if one is connected. */
void cell_leader_conn_send(struct cell_leader_conn *leader_conn,
			   const struct Rp__Frame *frame);

/* register.c: this process's address in the key-value store. */
enum cell_role {
	CELL_ROLE_ENTRY,
	CELL_ROLE_AGENT,
};

struct cell_register {
	struct kv *kv;
	char *name;
	enum cell_role role;
	/** IP:PORT for frames. */
	char *address;
	/** The address was written at least once. */
	gboolean written;
	/** A write is in flight. */
	gboolean in_flight;
	/** The address is not written before this time. */
	gint64 next_ms;
};

void cell_register_init(struct cell_register *reg, struct kv *kv,
			const char *name, enum cell_role role,
			const char *address);
void cell_register_clear(struct cell_register *reg);
/** Writes the address until that succeeds, and repeatedly while no leader is
 * connected. */
void cell_register_tick(struct cell_register *reg, gint64 now_ms,
			gboolean leader_connected);
/** Parses a value "role address"; returns -1 if it is malformed, else 0 with a
 * new string in *address. */
int cell_register_parse(GBytes *value, enum cell_role *role, char **address);

/* candidacy.c: which entry leads; decisions without state of their own. */

/** Whom the leader that was connected last has named to lead next. */
enum cell_handover {
	CELL_HANDOVER_NONE,
	CELL_HANDOVER_TO_THIS,
	CELL_HANDOVER_TO_OTHER,
};

/** What decides how soon an entry seeks to lead. CPU limits are in thousandths
 * of a core; 0 if not known. */
struct cell_candidacy {
	guint own_cpu_milli;
	/** Highest limit of the entries other than the last leader. */
	guint best_cpu_milli;
	enum cell_handover handover;
};

/** Time for which the leader's key has to be absent before this entry seeks to
 * lead, ms. */
gint64 cell_candidacy_delay_ms(const struct cell_candidacy *candidacy);

/** What decides whether a leader hands over. */
struct cell_tenure {
	guint own_cpu_milli;
	/** Time since the records were loaded, ms. */
	gint64 led_ms;
	/** See cell_lag_is_behind(). */
	gboolean behind;
	/** See cell_store_refused_ms(). */
	gint64 refused_ms;
};

/** TRUE if a leader hands over to a candidate with this CPU limit. */
gboolean cell_should_hand_over(const struct cell_tenure *tenure,
			       guint candidate_cpu_milli);

/** How late the event loop is; all 0 at first. */
struct cell_lag {
	/** Time of the last tick, ms; 0 before the first. */
	gint64 tick_ms;
	/** Mean part of the time for which a tick was due, 0 to 1. */
	double late_share;
};

/** To be called on each tick, which is due CELL_TICK_MS after the last. */
void cell_lag_tick(struct cell_lag *lag, gint64 now_ms);
/** TRUE if the process has too little CPU for its load. */
gboolean cell_lag_is_behind(const struct cell_lag *lag);

/* evacuations.c: evacuated zones, as read from the key-value store. */
struct cell_evacuations;

/** prefix is that of the keys; NULL if zones cannot be evacuated. */
struct cell_evacuations *cell_evacuations_new(const char *prefix);
void cell_evacuations_free(struct cell_evacuations *evacuations);
/** Replaces the set by that of a complete read, of struct kv_pair. */
void cell_evacuations_replace(struct cell_evacuations *evacuations,
			      const GPtrArray *pairs);
/** Applies a change of a key. Returns FALSE if it is not that of a zone. */
gboolean cell_evacuations_apply(struct cell_evacuations *evacuations,
				const struct kv_pair *pair);
/** Of struct sch_evacuation. */
const GArray *cell_evacuations_list(const struct cell_evacuations *evacuations);

/* late.c: when the outcome of a transaction is looked up. */

/** The transaction in flight, and how long others took; all 0 at first. */
struct cell_late {
	double mean_ms;
	/** When the one in flight was sent; boot clock. */
	gint64 sent_ms;
	/** When its outcome is to be looked up; 0 if none is in flight. */
	gint64 due_ms;
	/** Time between the last two of these. */
	gint64 wait_ms;
};

void cell_late_sent(struct cell_late *late, gint64 now_ms);
/** The transaction in flight was answered. */
void cell_late_answered(struct cell_late *late, gint64 now_ms);
/** It has ended in another way. */
void cell_late_lost(struct cell_late *late);
/** TRUE if the outcome is to be looked up now. */
gboolean cell_late_take(struct cell_late *late, gint64 now_ms);

/* store.c: leader election and records in the key-value store. */
struct cell_store;

struct cell_store_handler {
	/** This process was elected, which a call sent at sent_ms confirmed; a
	 * call of on_record for each stored record follows. */
	void (*on_elected)(void *ctx, guint64 fencing_token, gint64 sent_ms);
	/** All records have been passed to on_record. */
	void (*on_records_loaded)(void *ctx, guint64 fencing_token);
	/** This process is no longer the leader. */
	void (*on_deposed)(void *ctx);
	/** Leadership was confirmed by a call sent at sent_ms. */
	void (*on_confirmed)(void *ctx, gint64 sent_ms);
	/** The transaction of cell_store_commit() took effect at revision. */
	void (*on_committed)(void *ctx, guint64 revision);
	/** The configuration tables were read or have changed. */
	void (*on_tables)(void *ctx, GBytes *document);
	/** The evacuated zones were read or have changed. */
	void (*on_evacuations)(void *ctx);
	/** A process's address was read or has changed; value is NULL if it was
	 * removed. */
	void (*on_node)(void *ctx, const char *name, GBytes *value);
	void (*on_record)(void *ctx, const char *key, GBytes *value);
	/** Returns the id of a job whose records have to be read again before
	 * on_records_loaded, or NULL. */
	const char *(*next_job)(void *ctx);
	/** The records of a job were read again; either is NULL if it does not
	 * exist. */
	void (*on_job_read)(void *ctx, const char *id, GBytes *job,
			    GBytes *progress);
	void *ctx;
};

struct cell_store_options {
	struct event_base *base;
	struct kv *kv;
	/** Unique name of this process's VM. */
	const char *name;
	/** Key of the configuration tables. */
	const char *tables_key;
	/** As in struct cell_entry_options. */
	const char *evacuations_prefix;
	const char *watched_prefix;
	struct cell_store_handler handler;
};

struct cell_store *cell_store_new(const struct cell_store_options *options);
void cell_store_free(struct cell_store *store);
/** While a leader is connected its key is read less often. */
void cell_store_tick(struct cell_store *store, gint64 now_ms,
		     gboolean leader_connected);
/** Sets what decides how soon this process seeks to lead; copied. */
void cell_store_set_candidacy(struct cell_store *store,
			      const struct cell_candidacy *candidacy);
/** Time for which the store has refused all answered calls of this leader, ms;
 * 0 if it did not refuse the last. */
gint64 cell_store_refused_ms(const struct cell_store *store);
/** TRUE if this process reads the leader's key, so that it could lead. */
gboolean cell_store_is_reachable(const struct cell_store *store);
/** When a read of the leader's key was last answered, or else when this process
 * started; boot clock. */
gint64 cell_store_last_answer_ms(const struct cell_store *store);
/** Writes txn, which it takes over, on the condition that this process still
 * leads; one transaction at a time. */
void cell_store_commit(struct cell_store *store, struct kv_txn *txn);
/** Reads the records of a job; on_job_read follows. One at a time. */
void cell_store_read_job(struct cell_store *store, const char *id);
/** Time of the boot clock up to which all changes of the configuration tables
 * have been passed to on_tables, and all changes of the evacuated zones to
 * on_evacuations; 0 if they were not read yet. */
gint64 cell_store_tables_current_ms(const struct cell_store *store);
/** The evacuated zones: struct sch_evacuation, as of the time above. */
const GArray *cell_store_evacuations(const struct cell_store *store);
/** Removes the address of a process from the store. */
void cell_store_remove_node(struct cell_store *store, const char *name);
/** Ends leadership at once, since a leader elected later has connected. */
void cell_store_step_down(struct cell_store *store);
/** Reports that the process elected with this fencing token has ended, so that
 * its key is deleted without waiting for its lease to expire. */
void cell_store_leader_ended(struct cell_store *store, guint64 fencing_token);
/** Gives up leadership once no transaction is in flight, for good. */
void cell_store_resign(struct cell_store *store);
/** Gives up leadership once no transaction is in flight, in favour of another
 * entry; this one may be elected again later. */
void cell_store_hand_over(struct cell_store *store);

/* lead.c: I/O layer of the leader's scheduler, and its connections. */
struct cell_lead;

struct cell_lead_options {
	struct event_base *base;
	struct cell_store *store;
	struct obs_metrics *metrics;
	const char *name;
	/** IP:PORT of this process for frames. */
	const char *listen;
	guint64 fencing_token;
	/** When the call that confirmed the election was sent. */
	gint64 confirmed_ms;
	/** Maximum number of operations of a transaction, with comparisons. */
	guint max_txn_ops;
	/** CPU limit of this process, thousandths of a core; 0 if not known. */
	guint cpu_milli;
	/** As in struct sch_options. */
	gint64 evacuation_ms;
	guint lost_zones;
};

struct cell_lead *cell_lead_new(const struct cell_lead_options *options);
/** Answers the pending calls of this process's callers and closes all
 * connections; entries then answer the calls that they forwarded. */
void cell_lead_free(struct cell_lead *lead);
/** Loads a stored record; to be called before other events. */
void cell_lead_load_record(struct cell_lead *lead, const char *key,
			   GBytes *value);
/** As in struct cell_store_handler. */
const char *cell_lead_next_job(const struct cell_lead *lead);
/** The records of a job were read, either before other events (loading), as for
 * cell_lead_load_record(), or later. */
void cell_lead_job_read(struct cell_lead *lead, const char *id, GBytes *job,
			GBytes *progress, gboolean loading);
/** Applies the queues, which it takes over. */
void cell_lead_set_tables(struct cell_lead *lead, GPtrArray *queues);
/** Applies the registered address of a process; value as in on_node. */
void cell_lead_update_node(struct cell_lead *lead, const char *name,
			   GBytes *value);
/** Leadership was confirmed by a call sent at sent_ms. */
void cell_lead_confirmed(struct cell_lead *lead, gint64 sent_ms);
/** The transaction in flight took effect at revision. */
void cell_lead_committed(struct cell_lead *lead, guint64 revision);
void cell_lead_tick(struct cell_lead *lead);
gboolean cell_lead_has_tables(const struct cell_lead *lead);
/** Applies the evacuated zones that the store has read. */
void cell_lead_set_evacuations(struct cell_lead *lead);
/** Names a successor to all entries if this process should hand over; TRUE if
 * it did so, now or before. Leadership is to be given up on a later tick, when
 * the frames are sent. */
gboolean cell_lead_hand_over(struct cell_lead *lead);
void cell_lead_update_metrics(struct cell_lead *lead);
/** Handles a call of this process's callers; fn is called once. */
void cell_lead_handle_call(struct cell_lead *lead,
			   const struct Rp__StepCall *call, cell_reply_fn fn,
			   void *ctx);

#endif
