#include "obs.h"

#include <string.h>

struct value {
	gboolean is_gauge;
	guint64 count;
	double gauge;
};

/* Keys are "name" or "name{labels}". */
struct obs_metrics {
	GHashTable *values;
};

struct obs_metrics *obs_metrics_new(void)
{
	struct obs_metrics *metrics = g_new0(struct obs_metrics, 1);

	metrics->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						g_free);
	return metrics;
}

void obs_metrics_free(struct obs_metrics *metrics)
{
	if (!metrics)
		return;
	g_hash_table_destroy(metrics->values);
	g_free(metrics);
}

static struct value *lookup(struct obs_metrics *metrics, const char *name,
			    const char *labels)
{
	char buf[256];
	struct value *value;

	if (labels)
		g_snprintf(buf, sizeof(buf), "%s{%s}", name, labels);
	else
		g_strlcpy(buf, name, sizeof(buf));
	value = g_hash_table_lookup(metrics->values, buf);
	if (!value) {
		value = g_new0(struct value, 1);
		g_hash_table_insert(metrics->values, g_strdup(buf), value);
	}
	return value;
}

void obs_count(struct obs_metrics *metrics, const char *name,
	       const char *labels, guint64 add)
{
	lookup(metrics, name, labels)->count += add;
}

void obs_count_set(struct obs_metrics *metrics, const char *name,
		   const char *labels, guint64 value)
{
	lookup(metrics, name, labels)->count = value;
}

void obs_gauge(struct obs_metrics *metrics, const char *name,
	       const char *labels, double value)
{
	struct value *v = lookup(metrics, name, labels);

	v->is_gauge = TRUE;
	v->gauge = value;
}

guint64 obs_counter(const struct obs_metrics *metrics, const char *name,
		    const char *labels)
{
	g_autofree char *key = labels ? g_strdup_printf("%s{%s}", name, labels)
				      : g_strdup(name);
	struct value *value = g_hash_table_lookup(metrics->values, key);

	return value ? value->count : 0;
}

void obs_metrics_print(const struct obs_metrics *metrics, GString *out)
{
	g_autoptr(GList) keys = g_hash_table_get_keys(metrics->values);
	g_autofree char *family = NULL;
	GList *key;

	keys = g_list_sort(keys, (GCompareFunc)strcmp);
	for (key = keys; key; key = key->next) {
		struct value *v = g_hash_table_lookup(metrics->values,
						      key->data);
		size_t len = strcspn(key->data, "{");

		if (!family || strlen(family) != len ||
		    strncmp(family, key->data, len)) {
			g_free(family);
			family = g_strndup(key->data, len);
			g_string_append_printf(out, "# TYPE %s %s\n", family,
					       v->is_gauge ? "gauge"
							   : "counter");
		}
		if (v->is_gauge)
			g_string_append_printf(out, "%s %.17g\n",
					       (char *)key->data, v->gauge);
		else
			g_string_append_printf(out,
					       "%s %" G_GUINT64_FORMAT "\n",
					       (char *)key->data, v->count);
	}
}
