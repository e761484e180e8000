#include "account.h"

/** What the holders of one address have. */
struct net_address {
	char *name;
	guint holders;
	guint64 bytes;
};

struct net_account {
	struct net_account_options options;
	/** Name to struct net_address. */
	GHashTable *addresses;
	/** Of struct net_holder. */
	GQueue holders;
	guint64 bytes;
};

static void free_address(gpointer data)
{
	struct net_address *address = data;

	g_free(address->name);
	g_free(address);
}

struct net_account *net_account_new(const struct net_account_options *options)
{
	struct net_account *account = g_new0(struct net_account, 1);

	account->options = *options;
	account->addresses = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, free_address);
	return account;
}

void net_account_free(struct net_account *account)
{
	if (!account)
		return;
	g_assert(!account->holders.length);
	g_hash_table_unref(account->addresses);
	g_free(account);
}

static struct net_address *find_address(struct net_account *account,
					const char *name)
{
	struct net_address *address = g_hash_table_lookup(account->addresses,
							  name);

	if (address)
		return address;
	address = g_new0(struct net_address, 1);
	address->name = g_strdup(name);
	g_hash_table_insert(account->addresses, address->name, address);
	return address;
}

static void add_bytes(struct net_holder *holder, gsize bytes)
{
	holder->bytes += bytes;
	holder->address->bytes += bytes;
	holder->account->bytes += bytes;
}

static void subtract_bytes(struct net_holder *holder, gsize bytes)
{
	holder->bytes -= bytes;
	holder->address->bytes -= bytes;
	holder->account->bytes -= bytes;
}

void net_account_add(struct net_account *account, struct net_holder *holder,
		     const char *address, gint64 now_ms)
{
	holder->account = account;
	holder->address = find_address(account, address);
	holder->address->holders++;
	holder->link = (GList){ .data = holder };
	g_queue_push_tail_link(&account->holders, &holder->link);
	holder->bytes = 0;
	holder->since_ms = now_ms;
	holder->closable = TRUE;
	add_bytes(holder, NET_HOLDER_BYTES);
}

void net_account_remove(struct net_holder *holder)
{
	struct net_account *account = holder->account;

	subtract_bytes(holder, holder->bytes);
	g_queue_unlink(&account->holders, &holder->link);
	if (!--holder->address->holders)
		g_hash_table_remove(account->addresses, holder->address->name);
	holder->address = NULL;
}

void net_account_set_bytes(struct net_holder *holder, gsize bytes)
{
	bytes += NET_HOLDER_BYTES;
	if (bytes > holder->bytes)
		add_bytes(holder, bytes - holder->bytes);
	else
		subtract_bytes(holder, holder->bytes - bytes);
}

void net_account_served(struct net_holder *holder, gint64 now_ms)
{
	holder->since_ms = now_ms;
}

void net_account_set_closable(struct net_holder *holder, gboolean closable)
{
	holder->closable = closable;
}

enum net_excess net_account_excess(const struct net_holder *holder)
{
	const struct net_account *account = holder->account;
	const struct net_account_options *options = &account->options;
	guint percent = options->address_percent;

	if (account->bytes > options->max_bytes)
		return NET_EXCESS_BYTES;
	if (account->holders.length > options->max_holders)
		return NET_EXCESS_HOLDERS;
	if (holder->address->bytes > options->max_bytes / 100 * percent)
		return NET_EXCESS_ADDRESS_BYTES;
	if ((guint64)holder->address->holders * 100 >
	    (guint64)options->max_holders * percent)
		return NET_EXCESS_ADDRESS_HOLDERS;
	return NET_EXCESS_NONE;
}

static gboolean is_of_bytes(enum net_excess excess)
{
	return excess == NET_EXCESS_BYTES || excess == NET_EXCESS_ADDRESS_BYTES;
}

/* TRUE if a is to be closed before b, which exceeds the same limit. */
static gboolean goes_first(const struct net_holder *a,
			   const struct net_holder *b, enum net_excess excess)
{
	guint a_size = g_bit_storage(a->bytes);
	guint b_size = g_bit_storage(b->bytes);

	if (is_of_bytes(excess) && a_size != b_size)
		return a_size > b_size;
	return a->since_ms < b->since_ms;
}

struct net_holder *net_account_victim(struct net_account *account,
				      enum net_excess *excess)
{
	struct net_holder *victim = NULL;
	GList *link;

	*excess = NET_EXCESS_NONE;
	for (link = account->holders.head; link; link = link->next) {
		struct net_holder *holder = link->data;
		enum net_excess exceeded = net_account_excess(holder);

		if (!exceeded || !holder->closable)
			continue;
		/* The limits are in the order of their urgency. */
		if (!victim || exceeded < *excess ||
		    (exceeded == *excess &&
		     goes_first(holder, victim, exceeded))) {
			victim = holder;
			*excess = exceeded;
		}
	}
	return victim;
}

guint net_account_enforce(struct net_account *account)
{
	struct net_holder *victim;
	enum net_excess excess;
	guint n = 0;

	while ((victim = net_account_victim(account, &excess))) {
		victim->close(victim, excess);
		n++;
	}
	return n;
}

guint64 net_account_bytes(const struct net_account *account)
{
	return account->bytes;
}

guint net_account_holders(const struct net_account *account)
{
	return account->holders.length;
}

const char *net_excess_name(enum net_excess excess)
{
	static const char *const names[NET_EXCESSES] = {
		"none",
		"bytes",
		"connections",
		"address-bytes",
		"address-connections",
	};

	return names[excess];
}
