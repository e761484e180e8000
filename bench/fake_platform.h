#ifndef BENCH_FAKE_PLATFORM_H
#define BENCH_FAKE_PLATFORM_H

#include "jobs/jobs.h"

/*
 * The platform's key-value store in memory, with the calls that the job
 * scheduler makes. It answers without delay, and leases never expire.
 */

struct fake_platform {
	/* Directory (key up to its last slash) to table of key to kv_pair. */
	GHashTable *directories;
	gint64 revision;
	guint64 txns;
	guint64 reads;
	guint64 puts;
	guint64 bytes_written;
	guint64 bytes_read;
};

struct fake_platform *fake_platform_new(void);
void fake_platform_free(struct fake_platform *platform);

/** Stores a value without counting it, to prepare a state. */
void fake_platform_put(struct fake_platform *platform, const char *key,
		       GBytes *value, gint64 lease);

/** Returns JOB_KV_CONFLICT, without a change, if a comparison fails. */
enum job_kv_status fake_platform_txn(struct fake_platform *platform,
				     const struct kv_txn *txn);

/**
 * Appends pointers, borrowed from the store, to the struct kv_pair of keys
 * changed at min_revision or later. If exact is FALSE, prefix must end with a
 * slash; if it is TRUE, it is the key, and min_revision is ignored.
 */
void fake_platform_range(struct fake_platform *platform, const char *prefix,
			 gboolean exact, gint64 min_revision, GPtrArray *pairs);

#endif
