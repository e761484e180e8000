#include "cli.h"

#include <string.h>

/* Answer to the call that the event loop waits for. */
struct call_result {
	gboolean done;
	/* Copies of the pairs that a range returned. */
	GPtrArray *pairs;
	/* The comparisons of a transaction held. */
	gboolean succeeded;
	GError **error;
	gboolean failed;
};

int cli_kv_open(struct cli_kv *cli, const char *const *endpoints, size_t n,
		GError **error)
{
	struct kv_etcd_options options = { .endpoints = endpoints,
					   .n_endpoints = n,
					   .timeout_ms = CLI_CALL_TIMEOUT_MS };

	cli->base = event_base_new();
	options.base = cli->base;
	cli->kv = kv_etcd_new(&options, error);
	if (cli->kv)
		return 0;
	event_base_free(cli->base);
	return -1;
}

void cli_kv_close(struct cli_kv *cli)
{
	cli->kv->ops->free(cli->kv);
	event_base_free(cli->base);
}

static void set_result(struct call_result *call, const GError *error)
{
	call->done = TRUE;
	call->failed = error != NULL;
	if (error)
		g_propagate_error(call->error, g_error_copy(error));
}

static void on_range(void *ctx, const GPtrArray *pairs,
		     gint64 revision G_GNUC_UNUSED, const GError *error)
{
	struct call_result *call = ctx;
	guint i;

	set_result(call, error);
	for (i = 0; !error && i < pairs->len; i++) {
		const struct kv_pair *pair = pairs->pdata[i];
		struct kv_pair *copy = g_new(struct kv_pair, 1);

		*copy = *pair;
		copy->key = g_strdup(pair->key);
		copy->value = g_bytes_ref(pair->value);
		g_ptr_array_add(call->pairs, copy);
	}
}

GPtrArray *cli_kv_range(struct cli_kv *cli, const char *prefix, gboolean exact,
			GError **error)
{
	struct call_result call = { .error = error };

	call.pairs =
		g_ptr_array_new_with_free_func((GDestroyNotify)kv_pair_free);
	cli->kv->ops->range(cli->kv, prefix, exact, 0, on_range, &call);
	while (!call.done)
		event_base_loop(cli->base, EVLOOP_ONCE);
	if (call.failed)
		g_clear_pointer(&call.pairs, g_ptr_array_unref);
	return call.pairs;
}

static void on_txn(void *ctx, const struct kv_txn_result *result,
		   const GError *error)
{
	struct call_result *call = ctx;

	set_result(call, error);
	call->succeeded = result && result->succeeded;
}

int cli_kv_has_value(struct cli_kv *cli, const char *key, GBytes *value)
{
	g_autoptr(GPtrArray) pairs = cli_kv_range(cli, key, TRUE, NULL);
	const struct kv_pair *pair;

	if (!pairs)
		return -1;
	pair = pairs->len ? pairs->pdata[0] : NULL;
	return pair && g_bytes_equal(pair->value, value);
}

int cli_kv_txn(struct cli_kv *cli, const struct kv_txn *txn, GError **error)
{
	struct call_result call = { .error = error };

	cli->kv->ops->txn(cli->kv, txn, on_txn, &call);
	while (!call.done)
		event_base_loop(cli->base, EVLOOP_ONCE);
	return call.failed ? -1 : call.succeeded;
}

enum exit_code cli_read_current(struct cli_kv *cli, struct cli_current *current,
				GError **error)
{
	g_autoptr(GPtrArray) pairs = NULL;
	const struct kv_pair *pair;
	const void *data;
	gsize len;

	memset(current, 0, sizeof(*current));
	pairs = cli_kv_range(cli, CLI_TABLES_KEY, TRUE, error);
	if (!pairs)
		return EXIT_CODE_UNAVAILABLE;
	if (!pairs->len)
		return EXIT_CODE_OK;
	pair = pairs->pdata[0];
	data = g_bytes_get_data(pair->value, &len);
	current->mod_revision = pair->mod_revision;
	current->tables = cfg_tables_decode(data, len, error);
	if (!current->tables)
		return EXIT_CODE_INVALID;
	current->document = g_bytes_ref(pair->value);
	return EXIT_CODE_OK;
}

void cli_current_clear(struct cli_current *current)
{
	cfg_tables_free(current->tables);
	g_clear_pointer(&current->document, g_bytes_unref);
	memset(current, 0, sizeof(*current));
}

char *cli_history_key(guint64 generation)
{
	return g_strdup_printf(CLI_HISTORY_PREFIX "%020" G_GUINT64_FORMAT,
			       generation);
}

char *cli_time_text(gint64 unix_ms)
{
	g_autoptr(GDateTime)
		time = g_date_time_new_from_unix_utc(unix_ms / 1000);

	return time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ")
		    : g_strdup("?");
}
