#ifndef KV_JSON_H
#define KV_JSON_H

#include <jansson.h>

#include "kv.h"

/*
 * Internal to kv/: messages of the etcd v3 JSON gateway. Keys and values are
 * base64, 64-bit numbers are strings, and fields of value 0 are omitted.
 */

/** Returns a member that is a number or a string of digits; 0 if absent. */
gint64 kv_json_number(const json_t *object, const char *key);

/** Sets the member to the number as a string of digits. */
void kv_json_set_number(json_t *object, const char *key, gint64 value);

/** Sets the member to the base64 form of the bytes. */
void kv_json_set_bytes(json_t *object, const char *key, const void *data,
		       gsize len);

/** Sets key and, unless exact, range_end: all keys that start with prefix. */
void kv_json_set_range(json_t *object, const char *prefix, gboolean exact);

json_t *kv_json_txn(const struct kv_txn *txn);

/** Returns NULL if the object has no key; the value is NULL if deleted. */
struct kv_pair *kv_json_pair(const json_t *object, gboolean deleted);

#endif
