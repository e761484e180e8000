#include "kv.h"

GQuark kv_error_quark(void)
{
	return g_quark_from_static_string("kv-error");
}

static void clear_compare(gpointer data)
{
	struct kv_compare *compare = data;

	g_free(compare->key);
}

static void clear_op(gpointer data)
{
	struct kv_op *op = data;

	g_free(op->key);
	g_clear_pointer(&op->value, g_bytes_unref);
}

struct kv_txn *kv_txn_new(void)
{
	struct kv_txn *txn = g_new0(struct kv_txn, 1);

	txn->compares = g_array_new(FALSE, FALSE, sizeof(struct kv_compare));
	g_array_set_clear_func(txn->compares, clear_compare);
	txn->ops = g_array_new(FALSE, FALSE, sizeof(struct kv_op));
	g_array_set_clear_func(txn->ops, clear_op);
	return txn;
}

void kv_txn_free(struct kv_txn *txn)
{
	if (!txn)
		return;
	g_array_unref(txn->compares);
	g_array_unref(txn->ops);
	g_free(txn);
}

void kv_txn_compare(struct kv_txn *txn, const char *key,
		    enum kv_compare_target target, gint64 revision)
{
	struct kv_compare compare = { .key = g_strdup(key),
				      .target = target,
				      .revision = revision };

	g_array_append_val(txn->compares, compare);
}

void kv_txn_put(struct kv_txn *txn, const char *key, GBytes *value,
		gint64 lease)
{
	struct kv_op op = { .kind = KV_OP_PUT,
			    .key = g_strdup(key),
			    .value = g_bytes_ref(value),
			    .lease = lease };

	g_array_append_val(txn->ops, op);
}

void kv_txn_delete(struct kv_txn *txn, const char *key)
{
	struct kv_op op = { .kind = KV_OP_DELETE, .key = g_strdup(key) };

	g_array_append_val(txn->ops, op);
}

void kv_pair_free(struct kv_pair *pair)
{
	if (!pair)
		return;
	g_free(pair->key);
	g_clear_pointer(&pair->value, g_bytes_unref);
	g_free(pair);
}
