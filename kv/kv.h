#ifndef KV_H
#define KV_H

#include <glib.h>

/*
 * Client of the platform's key-value store. Transactions and results are plain
 * data, so that reducers can build and read them; struct kv_ops holds the
 * functions that an adapter implements. Results are reported on the event loop
 * that the adapter was created with.
 */

/** Maximum number of operations in a transaction; etcd's default is 128. */
#define KV_MAX_TXN_OPS 120

/** Maximum size of a value. */
#define KV_MAX_VALUE_BYTES (1024 * 1024)

#define KV_ERROR kv_error_quark()
GQuark kv_error_quark(void);

enum kv_error {
	/** The call had no effect: it was not sent, or the store refused it
	 * before execution. */
	KV_ERROR_UNAVAILABLE,
	/** The call may or may not have taken effect. */
	KV_ERROR_UNKNOWN,
	/** The request is invalid, or the answer is malformed. */
	KV_ERROR_PROTOCOL,
	/** The lease does not exist or has expired. */
	KV_ERROR_NO_LEASE,
};

struct kv_pair {
	char *key;
	GBytes *value;
	gint64 create_revision;
	gint64 mod_revision;
	/** Lease that the key is attached to; 0 for none. */
	gint64 lease;
};

enum kv_compare_target {
	KV_COMPARE_CREATE_REVISION,
	KV_COMPARE_MOD_REVISION,
};

/** Holds if the key's revision, 0 for an absent key, equals revision. */
struct kv_compare {
	char *key;
	enum kv_compare_target target;
	gint64 revision;
};

enum kv_op_kind {
	KV_OP_PUT,
	KV_OP_DELETE,
};

struct kv_op {
	enum kv_op_kind kind;
	char *key;
	/** NULL for KV_OP_DELETE. */
	GBytes *value;
	/** Lease to attach the key to; 0 for none. */
	gint64 lease;
};

/** Applies all operations atomically if all comparisons hold, else none. */
struct kv_txn {
	/** Of struct kv_compare. */
	GArray *compares;
	/** Of struct kv_op, at most KV_MAX_TXN_OPS. */
	GArray *ops;
};

struct kv_txn *kv_txn_new(void);
void kv_txn_free(struct kv_txn *txn);

/** Adds a comparison; the key is copied. */
void kv_txn_compare(struct kv_txn *txn, const char *key,
		    enum kv_compare_target target, gint64 revision);

/** Adds a put; the key is copied, a reference to value is taken. */
void kv_txn_put(struct kv_txn *txn, const char *key, GBytes *value,
		gint64 lease);

/** Adds a delete of one key; the key is copied. */
void kv_txn_delete(struct kv_txn *txn, const char *key);

void kv_pair_free(struct kv_pair *pair);

/** The outcome of a transaction. */
struct kv_txn_result {
	/** TRUE if the comparisons held and the operations were applied. */
	gboolean succeeded;
	/** Revision of the store after the transaction. */
	gint64 revision;
};

/** Exactly one of result and error is set; both are valid only in the call. */
typedef void (*kv_txn_fn)(void *ctx, const struct kv_txn_result *result,
			  const GError *error);

/** pairs holds struct kv_pair pointers sorted by key, valid only in the call;
 * NULL if error is set. */
typedef void (*kv_range_fn)(void *ctx, const GPtrArray *pairs, gint64 revision,
			    const GError *error);

/** As kv_range_fn, for a part of the keys; more is TRUE if others follow. */
typedef void (*kv_page_fn)(void *ctx, const GPtrArray *pairs, gboolean more,
			   const GError *error);

/** ttl_ms is the remaining time to live; 0 after a revocation or an error. */
typedef void (*kv_lease_fn)(void *ctx, gint64 lease, gint64 ttl_ms,
			    const GError *error);

/**
 * Called for each change: pair->value is NULL for a deletion. Called with
 * pair NULL and error set when the watch ended; to resume, the owner reads the
 * range and watches from the revision of that read. The adapter frees an ended
 * watch after this call, so it must not be cancelled later.
 */
typedef void (*kv_watch_fn)(void *ctx, const struct kv_pair *pair,
			    const GError *error);

/** Counts of the calls sent, by kind; the store counts the same calls. */
struct kv_calls {
	guint64 txns;
	guint64 ranges;
	guint64 lease_grants;
	guint64 lease_keepalives;
	guint64 lease_revokes;
	guint64 watches;
	/** Reads that only show whether the store responds; also counted as
	 * ranges. */
	guint64 probes;
	/** Bodies of requests and of answers. */
	guint64 bytes_written;
	guint64 bytes_read;
	/** Calls and watches that ended with an error. */
	guint64 failures;
};

struct kv_watch;
struct kv;

/** Functions of an adapter; each call reports its result once through fn. */
struct kv_ops {
	/** txn stays with the caller; fn is called after the return. */
	void (*txn)(struct kv *kv, const struct kv_txn *txn, kv_txn_fn fn,
		    void *ctx);
	/**
	 * Reads the keys that start with prefix, or the one key if exact; of
	 * these only keys last changed at min_revision or later. The revision
	 * reported is that of the state read, so the next read of changes may
	 * start after it.
	 */
	void (*range)(struct kv *kv, const char *prefix, gboolean exact,
		      gint64 min_revision, kv_range_fn fn, void *ctx);
	/** Reads some of the keys that start with prefix and sort after the key
	 * after, or the first if it is NULL: as many as the store returns at
	 * once, so that a read of any number of keys takes little memory. */
	void (*range_page)(struct kv *kv, const char *prefix, const char *after,
			   kv_page_fn fn, void *ctx);
	void (*lease_grant)(struct kv *kv, gint64 ttl_ms, kv_lease_fn fn,
			    void *ctx);
	void (*lease_keepalive)(struct kv *kv, gint64 lease, kv_lease_fn fn,
				void *ctx);
	void (*lease_revoke)(struct kv *kv, gint64 lease, kv_lease_fn fn,
			     void *ctx);
	/** Reports changes after revision of keys that start with prefix. */
	struct kv_watch *(*watch)(struct kv *kv, const char *prefix,
				  gint64 revision, kv_watch_fn fn, void *ctx);
	/** Frees the watch; its fn is not called any more. */
	void (*watch_cancel)(struct kv *kv, struct kv_watch *watch);
	/** Time of the boot clock up to which the watch has reported all
	 * changes; 0 if the adapter does not know. */
	gint64 (*watch_current_ms)(const struct kv *kv,
				   const struct kv_watch *watch);
	const struct kv_calls *(*calls)(struct kv *kv);
	/** Drops pending calls without calling fn; not allowed within fn. */
	void (*free)(struct kv *kv);
};

/** First member of each adapter's structure. */
struct kv {
	const struct kv_ops *ops;
};

struct event_base;

struct kv_etcd_options {
	struct event_base *base;
	/** IP:PORT of each gateway, tried in turn; copied. */
	const char *const *endpoints;
	size_t n_endpoints;
	/** Timeout of a call, and of the confirmation of a watch. */
	gint64 timeout_ms;
};

/**
 * Returns a client of the etcd v3 JSON gateway, freed with kv->ops->free(), or
 * NULL with KV_ERROR_PROTOCOL if the endpoints are not valid.
 */
struct kv *kv_etcd_new(const struct kv_etcd_options *options, GError **error);

#endif
