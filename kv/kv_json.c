#include "kv_json.h"

#include <string.h>

gint64 kv_json_number(const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_integer(value))
		return json_integer_value(value);
	if (json_is_string(value))
		return g_ascii_strtoll(json_string_value(value), NULL, 10);
	return 0;
}

void kv_json_set_number(json_t *object, const char *key, gint64 value)
{
	g_autofree char *text = g_strdup_printf("%" G_GINT64_FORMAT, value);

	json_object_set_new(object, key, json_string(text));
}

void kv_json_set_bytes(json_t *object, const char *key, const void *data,
		       gsize len)
{
	g_autofree char *text = g_base64_encode(data, len);

	json_object_set_new(object, key, json_string(text));
}

void kv_json_set_range(json_t *object, const char *prefix, gboolean exact)
{
	size_t len = strlen(prefix);
	g_autofree char *end = g_strndup(prefix, len);

	if (exact) {
		kv_json_set_bytes(object, "key", prefix, len);
		return;
	}
	/* One zero byte as key and range_end selects all keys. */
	kv_json_set_bytes(object, "key", len ? prefix : "", len ? len : 1);
	while (len && (unsigned char)end[len - 1] == 0xff)
		len--;
	if (len)
		end[len - 1]++;
	kv_json_set_bytes(object, "range_end", len ? end : "", len ? len : 1);
}

static json_t *compare_json(const struct kv_compare *compare)
{
	gboolean create = compare->target == KV_COMPARE_CREATE_REVISION;
	json_t *json = json_object();

	kv_json_set_bytes(json, "key", compare->key, strlen(compare->key));
	json_object_set_new(json, "target",
			    json_string(create ? "CREATE" : "MOD"));
	json_object_set_new(json, "result", json_string("EQUAL"));
	kv_json_set_number(json, create ? "create_revision" : "mod_revision",
			   compare->revision);
	return json;
}

static json_t *op_json(const struct kv_op *op)
{
	json_t *json = json_object();
	json_t *request = json_object();
	const void *data;
	gsize len;

	kv_json_set_bytes(request, "key", op->key, strlen(op->key));
	if (op->kind == KV_OP_DELETE) {
		json_object_set_new(json, "request_delete_range", request);
		return json;
	}
	data = g_bytes_get_data(op->value, &len);
	kv_json_set_bytes(request, "value", data, len);
	if (op->lease)
		kv_json_set_number(request, "lease", op->lease);
	json_object_set_new(json, "request_put", request);
	return json;
}

json_t *kv_json_txn(const struct kv_txn *txn)
{
	json_t *compares = json_array();
	json_t *ops = json_array();
	json_t *json = json_object();
	guint i;

	for (i = 0; i < txn->compares->len; i++)
		json_array_append_new(compares, compare_json(&g_array_index(
							txn->compares,
							struct kv_compare, i)));
	for (i = 0; i < txn->ops->len; i++)
		json_array_append_new(ops, op_json(&g_array_index(
						   txn->ops, struct kv_op, i)));
	json_object_set_new(json, "compare", compares);
	json_object_set_new(json, "success", ops);
	return json;
}

struct kv_pair *kv_json_pair(const json_t *object, gboolean deleted)
{
	const char *key = json_string_value(json_object_get(object, "key"));
	const char *value = json_string_value(json_object_get(object, "value"));
	struct kv_pair *pair;
	guchar *bytes;
	gsize len;

	if (!key || !*key)
		return NULL;
	pair = g_new0(struct kv_pair, 1);
	bytes = g_base64_decode(key, &len);
	pair->key = g_strndup((const char *)bytes, len);
	g_free(bytes);
	if (!deleted && value && *value) {
		bytes = g_base64_decode(value, &len);
		pair->value = g_bytes_new_take(bytes, len);
	} else if (!deleted) {
		pair->value = g_bytes_new(NULL, 0);
	}
	pair->create_revision = kv_json_number(object, "create_revision");
	pair->mod_revision = kv_json_number(object, "mod_revision");
	pair->lease = kv_json_number(object, "lease");
	return pair;
}
