#include "account.h"

/** Closing a holder with up to this many bytes does not help while those that
 * may not be closed exceed the limit on their own. */
#define SMALL_BYTES (4 * NET_HOLDER_BYTES)

/** What the holders of one address have. */
struct net_address {
	char *name;
	guint holders;
	guint condemned;
	guint64 bytes;
	/** Of the holders that may not be closed. */
	guint64 fixed_bytes;
};

struct net_account {
	struct net_account_options options;
	/** Name to struct net_address. */
	GHashTable *addresses;
	/** Of struct net_holder. */
	GQueue holders;
	guint condemned;
	guint64 bytes;
	guint64 fixed_bytes;
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

static void add_fixed(struct net_holder *holder, gsize bytes)
{
	holder->address->fixed_bytes += bytes;
	holder->account->fixed_bytes += bytes;
}

static void subtract_fixed(struct net_holder *holder, gsize bytes)
{
	holder->address->fixed_bytes -= bytes;
	holder->account->fixed_bytes -= bytes;
}

static void add_bytes(struct net_holder *holder, gsize bytes)
{
	holder->bytes += bytes;
	holder->address->bytes += bytes;
	holder->account->bytes += bytes;
	if (!holder->closable)
		add_fixed(holder, bytes);
}

static void subtract_bytes(struct net_holder *holder, gsize bytes)
{
	holder->bytes -= bytes;
	holder->address->bytes -= bytes;
	holder->account->bytes -= bytes;
	if (!holder->closable)
		subtract_fixed(holder, bytes);
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
	holder->condemned = FALSE;
	add_bytes(holder, NET_HOLDER_BYTES);
}

void net_account_remove(struct net_holder *holder)
{
	struct net_account *account = holder->account;

	subtract_bytes(holder, holder->bytes);
	account->condemned -= holder->condemned;
	holder->address->condemned -= holder->condemned;
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
	if (holder->closable && !closable)
		add_fixed(holder, holder->bytes);
	else if (!holder->closable && closable)
		subtract_fixed(holder, holder->bytes);
	holder->closable = closable;
}

/* Which limit of holders leaves no room for new ones. */
static enum net_excess crowding(const struct net_holder *holder)
{
	const struct net_account *account = holder->account;
	const struct net_account_options *options = &account->options;
	const struct net_address *address = holder->address;
	guint64 share = (guint64)options->max_holders *
			options->address_percent / 100;
	guint64 of_address = address->holders - address->condemned;
	guint64 all = account->holders.length - account->condemned;

	if (holder->condemned)
		return NET_EXCESS_NONE;
	if (of_address * 8 > share * 7)
		return NET_EXCESS_ADDRESS_HOLDERS;
	return all * 8 > (guint64)options->max_holders * 7 ? NET_EXCESS_HOLDERS
							   : NET_EXCESS_NONE;
}

static gboolean exceeds(const struct net_holder *holder, enum net_excess excess)
{
	const struct net_account *account = holder->account;
	const struct net_account_options *options = &account->options;
	guint percent = options->address_percent;

	switch (excess) {
	case NET_EXCESS_BYTES:
		return account->bytes > options->max_bytes;
	case NET_EXCESS_HOLDERS:
		return account->holders.length > options->max_holders;
	case NET_EXCESS_ADDRESS_BYTES:
		return holder->address->bytes >
		       options->max_bytes / 100 * percent;
	case NET_EXCESS_ADDRESS_HOLDERS:
		return (guint64)holder->address->holders * 100 >
		       (guint64)options->max_holders * percent;
	default:
		return FALSE;
	}
}

enum net_excess net_account_excess(const struct net_holder *holder)
{
	int excess;

	for (excess = NET_EXCESS_BYTES; excess < NET_EXCESSES; excess++)
		if (exceeds(holder, (enum net_excess)excess))
			return (enum net_excess)excess;
	return NET_EXCESS_NONE;
}

gboolean net_account_needs_enforcement(const struct net_holder *holder)
{
	return net_account_excess(holder) || crowding(holder);
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

/* TRUE if closing the holder would not bring the bytes within the limit. */
static gboolean is_futile(const struct net_holder *holder,
			  enum net_excess excess)
{
	const struct net_account *account = holder->account;
	const struct net_account_options *options = &account->options;

	if (!is_of_bytes(excess) || holder->bytes > SMALL_BYTES)
		return FALSE;
	if (excess == NET_EXCESS_BYTES)
		return account->fixed_bytes > options->max_bytes;
	return holder->address->fixed_bytes >
	       options->max_bytes / 100 * options->address_percent;
}

/* Returns the first limit that is exceeded and that closing the holder helps
 * to keep. */
static enum net_excess reason_to_close(const struct net_holder *holder)
{
	int excess;

	for (excess = NET_EXCESS_BYTES; excess < NET_EXCESSES; excess++)
		if (exceeds(holder, (enum net_excess)excess) &&
		    !is_futile(holder, (enum net_excess)excess))
			return (enum net_excess)excess;
	return NET_EXCESS_NONE;
}

struct net_holder *net_account_victim(struct net_account *account,
				      enum net_excess *excess)
{
	struct net_holder *victim = NULL;
	GList *link;

	*excess = NET_EXCESS_NONE;
	for (link = account->holders.head; link; link = link->next) {
		struct net_holder *holder = link->data;
		enum net_excess exceeded = reason_to_close(holder);

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

gboolean net_account_is_condemned(const struct net_holder *holder)
{
	return holder->condemned;
}

/* Closes or condemns the holder that makes room; returns FALSE if there is
 * room. */
static gboolean make_room(struct net_account *account, guint *closed)
{
	enum net_excess excess = NET_EXCESS_NONE;
	struct net_holder *victim = NULL;
	GList *link;

	/* Those of an address with too many connections go first. */
	for (link = account->holders.head; link; link = link->next) {
		struct net_holder *holder = link->data;
		enum net_excess crowded = crowding(holder);

		if (crowded > excess || (victim && crowded == excess &&
					 holder->since_ms < victim->since_ms)) {
			victim = holder;
			excess = crowded;
		}
	}
	if (!victim)
		return FALSE;
	if (victim->closable) {
		victim->close(victim, excess);
		++*closed;
	} else {
		victim->condemned = TRUE;
		account->condemned++;
		victim->address->condemned++;
	}
	return TRUE;
}

guint net_account_enforce(struct net_account *account)
{
	struct net_holder *victim;
	enum net_excess excess;
	guint n = 0;

	while (make_room(account, &n))
		;
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
