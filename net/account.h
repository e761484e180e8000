#ifndef NET_ACCOUNT_H
#define NET_ACCOUNT_H

#include <glib.h>

/*
 * The account of what clients cause a process to hold: connections, and bytes
 * of requests received and responses not yet read. It does no I/O.
 *
 * Load addressed: groups of clients that keep to no limit (large bodies, unread
 * responses, slow senders, idle connections).
 */

/** Bytes counted for each holder besides those it reports: the structures of
 * one connection. */
#define NET_HOLDER_BYTES 4096

enum net_excess {
	NET_EXCESS_NONE,
	/** All holders together have too many bytes. */
	NET_EXCESS_BYTES,
	/** There are too many holders. */
	NET_EXCESS_HOLDERS,
	/** One address has more than its share of the bytes. */
	NET_EXCESS_ADDRESS_BYTES,
	/** One address has more than its share of the holders. */
	NET_EXCESS_ADDRESS_HOLDERS,
	NET_EXCESSES,
};

struct net_account;
struct net_address;

/** A connection that is counted; a part of the caller's own structure. */
struct net_holder {
	/** Closes the connection and removes the holder. */
	void (*close)(struct net_holder *holder, enum net_excess excess);

	/* Private to account.c. */
	struct net_account *account;
	struct net_address *address;
	GList link;
	gsize bytes;
	gint64 since_ms;
	gboolean closable;
	gboolean condemned;
};

struct net_account_options {
	/** Bytes that all holders may have together. */
	guint64 max_bytes;
	guint max_holders;
	/** Percentage of both that the holders of one address may have. */
	guint address_percent;
};

struct net_account *net_account_new(const struct net_account_options *options);

/** All holders must have been removed. */
void net_account_free(struct net_account *account);

/** Adds a holder, which is closable. close must be set. */
void net_account_add(struct net_account *account, struct net_holder *holder,
		     const char *address, gint64 now_ms);

void net_account_remove(struct net_holder *holder);

/** Sets the bytes of a holder. */
void net_account_set_bytes(struct net_holder *holder, gsize bytes);

/** Notes that a response was taken: the holder is not idle. */
void net_account_served(struct net_holder *holder, gint64 now_ms);

/** Whether the holder may be closed at once: nothing of it was passed on
 * without a response. */
void net_account_set_closable(struct net_holder *holder, gboolean closable);

/** Which limit the holder's address or the account exceeds. */
enum net_excess net_account_excess(const struct net_holder *holder);

/** TRUE if net_account_enforce() has something to do for the holder's address
 * or the account. */
gboolean net_account_needs_enforcement(const struct net_holder *holder);

/**
 * Returns the holder to be closed next, with the limit that is exceeded, or
 * NULL if none is exceeded or no holder may be closed. Above a limit of bytes
 * that is the largest holder, and the one idle for longest of equally large
 * ones (to a power of two); above a limit of holders the one idle for longest.
 */
struct net_holder *net_account_victim(struct net_account *account,
				      enum net_excess *excess);

/** TRUE if the holder, which was not closable, is to be closed as soon as it
 * has its response. */
gboolean net_account_is_condemned(const struct net_holder *holder);

/**
 * Closes holders until no limit is exceeded or none may be closed; returns
 * their number. Above 7/8 of a limit of holders the ones idle for longest are
 * closed, or condemned if they are not closable, so that there is room for new
 * clients also while all others are being served.
 */
guint net_account_enforce(struct net_account *account);

guint64 net_account_bytes(const struct net_account *account);
guint net_account_holders(const struct net_account *account);

/** Name of a limit for log lines and metrics, such as "bytes". */
const char *net_excess_name(enum net_excess excess);

#endif
