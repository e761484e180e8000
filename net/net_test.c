#include <check.h>
#include <stdlib.h>

#include "net/net.h"
#include "tests/fixture.h"

static const struct {
	const char *address;
	const char *host;
	int port;
} addresses[] = {
	{ "127.0.0.1:80", "127.0.0.1", 80 },
	{ "[::1]:65535", "::1", 65535 },
	{ "127.0.0.1", NULL, 0 },
	{ "127.0.0.1:0", NULL, 0 },
	{ "127.0.0.1:65536", NULL, 0 },
	{ "127.0.0.1:8o", NULL, 0 },
	{ "localhost:80", NULL, 0 },
	{ "[::1]", NULL, 0 },
	{ ":80", NULL, 0 },
	{ "", NULL, 0 },
};

/*
 * Guards against accepting an address that is not IP:PORT, and against a host
 * with its brackets, to which no connection can be made.
 */
START_TEST(test_split_address)
{
	g_autofree char *host = NULL;
	guint16 port = 0;
	int result = net_split_address(addresses[_i].address, &host, &port);

	ck_assert_int_eq(result, addresses[_i].host ? 0 : -1);
	ck_assert_pstr_eq(host, addresses[_i].host);
	ck_assert_int_eq(port, addresses[_i].port);
}
END_TEST

static const struct {
	const char *list;
	const char *name;
	gboolean listed;
} lists[] = {
	{ NULL, "X-A", FALSE },	     { "", "X-A", FALSE },
	{ "x-a", "X-A", TRUE },	     { "close, X-A ,b", "x-a", TRUE },
	{ "X-AB", "X-A", FALSE },    { "X-", "X-A", FALSE },
	{ ",, \tX-A", "X-A", TRUE },
};

/* Guards against forwarding a header that a Connection header lists. */
START_TEST(test_listed)
{
	ck_assert_int_eq(net_is_listed(lists[_i].list, lists[_i].name),
			 lists[_i].listed);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("net");
	TCase *tcase = tcase_create("net");

	tcase_add_loop_test(tcase, test_split_address, 0,
			    G_N_ELEMENTS(addresses));
	tcase_add_loop_test(tcase, test_listed, 0, G_N_ELEMENTS(lists));
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
