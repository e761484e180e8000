#include "account.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "tests/fixture.h"

#define MAX_BYTES 1000000
#define MAX_HOLDERS 8
#define PERCENT 75

static struct net_account *account;
static struct net_holder holders[64];
/* Index of the holder that was closed last, or -1, and the limit. */
static int closed;
static enum net_excess closed_excess;
static unsigned closed_count;

static void on_close(struct net_holder *holder, enum net_excess excess)
{
	closed = (int)(holder - holders);
	closed_excess = excess;
	closed_count++;
	net_account_remove(holder);
}

static void setup(void)
{
	static const struct net_account_options options = { MAX_BYTES,
							    MAX_HOLDERS,
							    PERCENT };

	memset(holders, 0, sizeof(holders));
	closed = -1;
	closed_count = 0;
	account = net_account_new(&options);
}

static void teardown(void)
{
	net_account_free(account);
}

static void add(int i, const char *address, gint64 now_ms, gsize bytes)
{
	holders[i].close = on_close;
	net_account_add(account, &holders[i], address, now_ms);
	net_account_set_bytes(&holders[i], bytes);
}

static void remove_all(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(holders); i++)
		if (holders[i].address)
			net_account_remove(&holders[i]);
}

/* Guards against ordinary clients being closed in place of the one that holds
 * most. */
START_TEST(test_largest_first)
{
	setup();
	add(0, "a", 1, 1000);
	add(1, "b", 2, 700000);
	add(2, "c", 3, 100000);
	ck_assert_uint_eq(net_account_enforce(account), 0);
	net_account_set_bytes(&holders[2], 300000);
	ck_assert_int_eq(net_account_excess(&holders[0]), NET_EXCESS_BYTES);
	ck_assert_uint_eq(net_account_enforce(account), 1);
	ck_assert_int_eq(closed, 1);
	ck_assert_int_eq(closed_excess, NET_EXCESS_BYTES);
	remove_all();
	teardown();
}
END_TEST

/* Guards against a connection being closed while its request runs. */
START_TEST(test_not_closable)
{
	setup();
	add(0, "a", 1, 700000);
	net_account_set_closable(&holders[0], FALSE);
	add(1, "b", 2, 400000);
	ck_assert_uint_eq(net_account_enforce(account), 1);
	ck_assert_int_eq(closed, 1);
	net_account_set_bytes(&holders[0], 2 * MAX_BYTES);
	ck_assert_uint_eq(net_account_enforce(account), 0);
	remove_all();
	teardown();
}
END_TEST

/* Guards against a recently served client being closed before an idle one when
 * there are too many connections. */
START_TEST(test_longest_idle_first)
{
	int i;

	setup();
	for (i = 0; i <= MAX_HOLDERS; i++)
		add(i, i % 2 ? "a" : "b", i, 0);
	net_account_served(&holders[0], 100);
	/* Down to 7/8 of the limit. */
	ck_assert_uint_eq(net_account_enforce(account), 2);
	ck_assert_int_eq(closed, 2);
	ck_assert_ptr_null(holders[1].address);
	ck_assert_int_eq(closed_excess, NET_EXCESS_HOLDERS);
	remove_all();
	teardown();
}
END_TEST

/* Guards against a new client being closed since all others are being served at
 * that moment. */
START_TEST(test_room_for_new_clients)
{
	int i;

	setup();
	for (i = 0; i < 7; i++) {
		add(i, i % 2 ? "a" : "b", i, 0);
		net_account_set_closable(&holders[i], FALSE);
	}
	add(7, "c", 7, 0);
	ck_assert_uint_eq(net_account_enforce(account), 0);
	ck_assert(net_account_is_condemned(&holders[0]));
	ck_assert(!net_account_is_condemned(&holders[1]));
	add(8, "c", 8, 0);
	/* Above the limit only what is closable can go. */
	ck_assert_uint_eq(net_account_enforce(account), 1);
	ck_assert_int_eq(closed, 7);
	remove_all();
	teardown();
}
END_TEST

/* Guards against one address that takes what other addresses need. */
START_TEST(test_share_of_an_address)
{
	int i;

	setup();
	add(0, "b", 0, 0);
	for (i = 1; i <= 7; i++)
		add(i, "a", i, 0);
	/* 6 are its share, of which 7/8 are 5. */
	ck_assert_uint_eq(net_account_enforce(account), 2);
	ck_assert_int_eq(closed, 2);
	net_account_set_bytes(&holders[5], 400000);
	net_account_set_bytes(&holders[6], 390000);
	ck_assert_int_eq(net_account_excess(&holders[0]), NET_EXCESS_NONE);
	ck_assert_uint_eq(net_account_enforce(account), 1);
	ck_assert_int_eq(closed, 5);
	ck_assert_int_eq(closed_excess, NET_EXCESS_ADDRESS_BYTES);
	remove_all();
	teardown();
}
END_TEST

/* Guards against idle clients being closed in vain while requests in flight
 * exceed the limit, and against further large ones being kept then. */
START_TEST(test_requests_exceed_limit)
{
	setup();
	add(0, "a", 1, 1200000);
	net_account_set_closable(&holders[0], FALSE);
	add(1, "b", 2, 1000);
	add(2, "b", 3, 50000);
	ck_assert_uint_eq(net_account_enforce(account), 1);
	ck_assert_int_eq(closed, 2);
	net_account_set_closable(&holders[0], TRUE);
	ck_assert_uint_eq(net_account_enforce(account), 1);
	ck_assert_int_eq(closed, 0);
	remove_all();
	teardown();
}
END_TEST

/* What the model knows about a holder. */
struct model_holder {
	gboolean present;
	int address;
	gsize bytes;
};

static const char *const addresses[] = { "a", "b", "c" };

/* Number of the holders of an address, or of all (-1), not condemned. */
static guint free_count(const struct model_holder *model, int address)
{
	guint n = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(holders); i++)
		n += model[i].present &&
		     (address < 0 || model[i].address == address) &&
		     !net_account_is_condemned(&holders[i]);
	return n;
}

/* What all holders, or those of an address, have. */
struct model_sum {
	guint64 bytes;
	/** Of holders that may not be closed. */
	guint64 fixed;
	guint n;
};

/* Returns the sum for an address, or for all holders (-1). */
static struct model_sum sum_of(const struct model_holder *model, int address)
{
	struct model_sum sum = { 0 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(holders); i++) {
		guint64 bytes = model[i].bytes + NET_HOLDER_BYTES;

		if (!model[i].present ||
		    (address >= 0 && model[i].address != address))
			continue;
		sum.n++;
		sum.bytes += bytes;
		if (!holders[i].closable)
			sum.fixed += bytes;
	}
	return sum;
}

/* Checks a sum after the limits were enforced, for a holder that may be closed.
 * A small one may stay while the others alone exceed the limit of bytes. */
static void check_limits(const struct model_sum *sum, gsize bytes,
			 guint percent)
{
	guint64 max_bytes = MAX_BYTES / 100 * percent;

	if (sum->fixed <= max_bytes || bytes > 3 * NET_HOLDER_BYTES)
		ck_assert_uint_le(sum->bytes, max_bytes);
	ck_assert_uint_le(sum->n * 100, MAX_HOLDERS * percent);
}

/* Checks the sums, and that no limit is exceeded that a close could end. */
static void check_model(const struct model_holder *model, gboolean enforced)
{
	const struct model_sum all = sum_of(model, -1);
	size_t i;

	ck_assert_uint_eq(net_account_bytes(account), all.bytes);
	ck_assert_uint_eq(net_account_holders(account), all.n);
	for (i = 0; enforced && i < G_N_ELEMENTS(holders); i++) {
		struct model_sum own;

		if (!model[i].present)
			continue;
		/* 7/8 of the limits, without those that are to be closed. */
		ck_assert_uint_le(free_count(model, -1) * 8, MAX_HOLDERS * 7);
		ck_assert_uint_le(free_count(model, model[i].address) * 8,
				  MAX_HOLDERS * PERCENT / 100 * 7);
		if (!holders[i].closable)
			continue;
		own = sum_of(model, model[i].address);
		check_limits(&all, model[i].bytes, 100);
		check_limits(&own, model[i].bytes, PERCENT);
	}
}

static void random_step(GRand *random, struct model_holder *model, int step)
{
	int i = g_rand_int_range(random, 0, G_N_ELEMENTS(holders));
	struct model_holder *m = &model[i];

	if (!m->present) {
		m->present = TRUE;
		m->address = g_rand_int_range(random, 0, 3);
		m->bytes = 0;
		add(i, addresses[m->address], step, 0);
	} else if (g_rand_boolean(random)) {
		m->bytes = (gsize)g_rand_int_range(random, 0, 500000);
		net_account_set_bytes(&holders[i], m->bytes);
	} else if (g_rand_boolean(random)) {
		net_account_set_closable(&holders[i], g_rand_boolean(random));
	} else {
		net_account_remove(&holders[i]);
		m->present = FALSE;
	}
}

/* Guards against sums that drift from what the holders have, and limits that
 * stay exceeded although a holder may be closed. */
START_TEST(test_random)
{
	GRand *random = g_rand_new_with_seed((guint32)_i);
	struct model_holder model[G_N_ELEMENTS(holders)] = { 0 };
	int step;
	size_t i;

	setup();
	for (step = 0; step < 2000; step++) {
		random_step(random, model, step);
		check_model(model, FALSE);
		net_account_enforce(account);
		for (i = 0; i < G_N_ELEMENTS(holders); i++)
			model[i].present = holders[i].address != NULL;
		check_model(model, TRUE);
	}
	remove_all();
	teardown();
	g_rand_free(random);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("account");
	TCase *tcase = tcase_create("account");

	tcase_add_test(tcase, test_largest_first);
	tcase_add_test(tcase, test_not_closable);
	tcase_add_test(tcase, test_longest_idle_first);
	tcase_add_test(tcase, test_room_for_new_clients);
	tcase_add_test(tcase, test_share_of_an_address);
	tcase_add_test(tcase, test_requests_exceed_limit);
	tcase_add_loop_test(tcase, test_random, 0, 20);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
