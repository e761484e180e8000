#include "internal.h"

/*
 * The address of this process in the key-value store. It is written once, and
 * again while no leader has connected for some time, since the leader removes
 * the addresses of processes that it cannot reach.
 */

/** Delay before a failed write is repeated. */
#define RETRY_MS 300

/** Time without a leader's connection after which the address is written again,
 * as it may have been removed. */
#define REWRITE_MS 6000

static const char *const role_names[] = {
	[CELL_ROLE_ENTRY] = "entry",
	[CELL_ROLE_AGENT] = "agent",
};

void cell_register_init(struct cell_register *reg, struct kv *kv,
			const char *name, enum cell_role role,
			const char *address)
{
	memset(reg, 0, sizeof(*reg));
	reg->kv = kv;
	reg->name = g_strdup(name);
	reg->role = role;
	reg->address = g_strdup(address);
}

void cell_register_clear(struct cell_register *reg)
{
	g_free(reg->name);
	g_free(reg->address);
}

int cell_register_parse(GBytes *value, enum cell_role *role, char **address)
{
	gsize len;
	const char *data = g_bytes_get_data(value, &len);
	g_autofree char *text = g_strndup(data, len);
	char *space = strchr(text, ' ');
	size_t i;

	if (!space)
		return -1;
	*space = '\0';
	for (i = 0; i < G_N_ELEMENTS(role_names); i++) {
		if (strcmp(text, role_names[i]))
			continue;
		*role = (enum cell_role)i;
		*address = g_strdup(space + 1);
		return 0;
	}
	return -1;
}

static void on_written(void *ctx, const struct kv_txn_result *result,
		       const GError *error)
{
	struct cell_register *reg = ctx;

	reg->in_flight = FALSE;
	if (result && result->succeeded) {
		reg->written = TRUE;
		reg->next_ms = net_now_ms() + REWRITE_MS;
		g_message("registered as %s at %s", reg->name, reg->address);
		return;
	}
	g_info("address not registered, will retry: %s",
	       error ? error->message : "refused");
}

void cell_register_tick(struct cell_register *reg, gint64 now_ms,
			gboolean leader_connected)
{
	g_autofree char *key = NULL;
	g_autofree char *text = NULL;
	g_autoptr(GBytes) value = NULL;
	struct kv_txn *txn;

	if (leader_connected && reg->written) {
		reg->next_ms = now_ms + REWRITE_MS;
		return;
	}
	if (reg->in_flight || now_ms < reg->next_ms)
		return;
	reg->in_flight = TRUE;
	reg->next_ms = now_ms + RETRY_MS;
	key = g_strconcat(CELL_NODE_PREFIX, reg->name, NULL);
	text = g_strdup_printf("%s %s", role_names[reg->role], reg->address);
	value = g_bytes_new(text, strlen(text));
	txn = kv_txn_new();
	kv_txn_put(txn, key, value, 0);
	reg->kv->ops->txn(reg->kv, txn, on_written, reg);
	kv_txn_free(txn);
}
