#include "clients.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <event2/buffer.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../standin/port.h"
#include "net.h"
#include "tests/fixture.h"

#define MAX_BODY 200000
#define MAX_HEADER (20 * 1024)
#define HEADER_TIMEOUT_MS 5000
#define REQUEST_TIMEOUT_MS 30000
/* Bound on the time of a test, which ends as soon as it has what it expects. */
#define PATIENCE_MS 5000

static struct event_base *base;
static struct net_account *account;
static struct net_clients *clients;
static uint16_t port;
static unsigned requests;
/* Requests are kept without a response in "kept". */
static gboolean keep;
static struct evhttp_request *kept;

static void respond(struct evhttp_request *req)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(req);
	char text[64];

	g_snprintf(text, sizeof(text), "<%s %zu>", evhttp_request_get_uri(req),
		   evbuffer_get_length(input));
	net_send_text(req, 200, "text/plain", text, strlen(text));
}

static void on_request(struct evhttp_request *req, void *ctx G_GNUC_UNUSED)
{
	requests++;
	if (keep)
		kept = req;
	else
		respond(req);
}

/* Paths with "nowhere" have no route. */
static gboolean has_no_route(const struct net_head *head,
			     void *ctx G_GNUC_UNUSED)
{
	ck_assert_str_eq(head->method, "POST");
	ck_assert_str_eq(head->host, "h");
	return strstr(head->target, "nowhere") != NULL;
}

static void setup(guint64 max_bytes)
{
	const struct net_account_options account_options = { max_bytes, 100,
							     75 };
	struct net_clients_options options = {
		.name = "test",
		.methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST,
		.max_header_bytes = MAX_HEADER,
		.max_body_bytes = MAX_BODY,
		.header_timeout_ms = HEADER_TIMEOUT_MS,
		.request_timeout_ms = REQUEST_TIMEOUT_MS,
		.idle_timeout_ms = 60000,
		.refusal_headers = "",
		.on_request = on_request,
		.has_no_route = has_no_route,
	};

	requests = 0;
	keep = FALSE;
	base = event_base_new();
	account = net_account_new(&account_options);
	options.base = base;
	options.account = account;
	clients = net_clients_new(&options);
	port = port_new();
	ck_assert_int_eq(evhttp_bind_socket(net_clients_http(clients),
					    "127.0.0.1", port),
			 0);
}

static void teardown(void)
{
	net_clients_free(clients);
	net_account_free(account);
	event_base_free(base);
}

static int dial(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/* Runs the server's loop for a moment. */
static void pump(void)
{
	event_base_loop(base, EVLOOP_NONBLOCK);
	g_usleep(200);
}

/* Sends all of a text; returns FALSE if the connection is closed first. */
static gboolean send_text(int fd, const char *text, gsize len)
{
	gint64 end = net_now_ms() + PATIENCE_MS;

	while (len && net_now_ms() < end) {
		ssize_t n = send(fd, text, len, MSG_NOSIGNAL);

		if (n > 0) {
			text += n;
			len -= (gsize)n;
		} else if (errno != EAGAIN) {
			return FALSE;
		}
		pump();
	}
	return !len;
}

/* Appends what arrives until it has "n" times the mark or ends; returns TRUE if
 * the connection was closed. */
static gboolean receive(int fd, GString *out, const char *mark, unsigned n)
{
	gint64 end = net_now_ms() + PATIENCE_MS;
	char buffer[4096];

	while (net_now_ms() < end) {
		ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
		unsigned found = 0;
		const char *p;

		if (got > 0)
			g_string_append_len(out, buffer, got);
		else if (!got || errno != EAGAIN)
			return TRUE;
		for (p = out->str; mark && (p = strstr(p, mark)); p++)
			found++;
		if (mark && found >= n)
			return FALSE;
		pump();
	}
	return FALSE;
}

static void append_request(GString *text, const char *path, gsize body_len)
{
	g_autofree char *body = g_strnfill(body_len, 'x');

	g_string_append_printf(text,
			       "POST %s HTTP/1.1\r\nHost: h\r\n"
			       "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n%s",
			       path, body_len, body);
}

/* Guards against a request within the limits that waits for ever or is refused:
 * the largest body, with a declared length or in chunks. */
START_TEST(test_largest_body)
{
	g_autoptr(GString) text = g_string_new(NULL);
	g_autoptr(GString) out = g_string_new(NULL);
	g_autofree char *half = g_strnfill(MAX_BODY / 2, 'y');
	int fd;

	setup(1 << 20);
	fd = dial();
	append_request(text, "/a", MAX_BODY);
	g_string_append_printf(text,
			       "POST /b HTTP/1.1\r\nHost: h\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n"
			       "%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			       MAX_BODY / 2, half, MAX_BODY / 2, half);
	ck_assert(send_text(fd, text->str, text->len));
	receive(fd, out, "200000>", 2);
	ck_assert_ptr_nonnull(strstr(out->str, "</a 200000>"));
	ck_assert_ptr_nonnull(strstr(out->str, "</b 200000>"));
	close(fd);
	teardown();
}
END_TEST

/* Guards against pipelined requests that are lost, reordered or never answered
 * when bodies are larger than what is read ahead. */
START_TEST(test_pipelined)
{
	g_autoptr(GString) text = g_string_new(NULL);
	g_autoptr(GString) out = g_string_new(NULL);
	const char *p;
	unsigned i;
	int fd;

	setup(4 << 20);
	fd = dial();
	for (i = 0; i < 40; i++) {
		g_autofree char *path = g_strdup_printf("/%u", i);

		append_request(text, path, i % 3 ? i * 4000 : 0);
	}
	ck_assert(send_text(fd, text->str, text->len));
	receive(fd, out, "</", 40);
	p = out->str;
	for (i = 0; i < 40; i++) {
		g_autofree char *expected =
			g_strdup_printf("</%u %u>", i, i % 3 ? i * 4000 : 0);

		p = strstr(p, expected);
		ck_assert_msg(p != NULL, "%s is missing", expected);
	}
	close(fd);
	teardown();
}
END_TEST

/* Guards against an ordinary header section being refused. */
START_TEST(test_largest_header)
{
	g_autoptr(GString) out = g_string_new(NULL);
	g_autofree char *value = g_strnfill(16384 - 60, 'v');
	g_autofree char *text = g_strdup_printf(
		"GET /a HTTP/1.1\r\nHost: h\r\nA: %s\r\n\r\n", value);
	int fd;

	setup(1 << 20);
	fd = dial();
	ck_assert(send_text(fd, text, 100));
	ck_assert(send_text(fd, text + 100, strlen(text) - 100));
	receive(fd, out, "</a 0>", 1);
	ck_assert_ptr_nonnull(strstr(out->str, "</a 0>"));
	close(fd);
	teardown();
}
END_TEST

/* Guards against a body above the limit that is read or passed on, and a 413
 * that is lost since the client was still sending. */
START_TEST(test_body_too_large)
{
	static const char *const heads[] = {
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200001\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"\r\n30d41\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\n"
		"Content-Length: 4294967296\r\n\r\n",
	};
	g_autoptr(GString) out = g_string_new(NULL);
	g_autofree char *body = g_strnfill(200001, 'x');
	int fd;

	setup(1 << 20);
	fd = dial();
	ck_assert(send_text(fd, heads[_i], strlen(heads[_i])));
	send_text(fd, body, 200001);
	ck_assert(receive(fd, out, NULL, 0));
	ck_assert_msg(g_str_has_prefix(out->str, "HTTP/1.1 413"), "%s",
		      out->str);
	ck_assert_uint_eq(requests, 0);
	ck_assert_uint_eq(net_clients_count(clients), 0);
	close(fd);
	teardown();
}
END_TEST

/* Guards against a chunk's line without an end, with which the server would
 * hold a whole body's size or be busy without pause. */
START_TEST(test_endless_chunk_line)
{
	static const char head[] = "POST /a HTTP/1.1\r\nHost: h\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n5;";
	g_autofree char *extension = g_strnfill(2 * MAX_BODY, 'x');
	g_autoptr(GString) out = g_string_new(NULL);
	int fd;

	setup(1 << 20);
	fd = dial();
	ck_assert(send_text(fd, head, sizeof(head) - 1));
	send_text(fd, extension, 2 * MAX_BODY);
	ck_assert(receive(fd, out, NULL, 0));
	ck_assert_uint_eq(requests, 0);
	ck_assert_uint_eq(net_clients_count(clients), 0);
	close(fd);
	teardown();
}
END_TEST

/* Guards against a body being received whose path has no route, and against a
 * connection being closed for a small one. */
START_TEST(test_no_route)
{
	g_autoptr(GString) text = g_string_new(NULL);
	g_autoptr(GString) out = g_string_new(NULL);
	int fd;

	setup(1 << 20);
	fd = dial();
	append_request(text, "/nowhere/1", 1000);
	append_request(text, "/a", 100000);
	append_request(text, "/nowhere/2", 100000);
	/* Not all of the last body. */
	ck_assert(send_text(fd, text->str, text->len - 90000));
	ck_assert(receive(fd, out, NULL, 0));
	ck_assert_ptr_nonnull(strstr(out->str, "</nowhere/1 1000>"));
	ck_assert_ptr_nonnull(strstr(out->str, "</a 100000>"));
	ck_assert_ptr_nonnull(strstr(out->str, "HTTP/1.1 404"));
	ck_assert_uint_eq(requests, 2);
	close(fd);
	teardown();
}
END_TEST

/* Guards against a request being refused for a header section that was read
 * differently from evhttp. */
START_TEST(test_head)
{
	static const struct {
		const char *text;
		/** 0: not parsed. */
		guint64 body_len;
	} cases[] = {
		{ "POST /a?b HTTP/1.1\r\nHost: h:80\r\nContent-Length: 5", 5 },
		{ "POST /a?b HTTP/1.1\r\nhost:h\r\n"
		  "TRANSFER-ENCODING: chunked",
		  G_MAXUINT64 },
		{ "POST /a?b HTTP/1.1\r\nHost: h", 0 },
		{ "POST http://h/a HTTP/1.1\r\nContent-Length: 5", 0 },
		{ "POST /a b HTTP/1.1\r\nContent-Length: 5", 0 },
		{ "POST /a HTTP/1.1\r\nContent-Length: 5\r\n"
		  "Content-Length: 6",
		  0 },
		{ "POST /a HTTP/1.1\r\nContent-Length: -5", 0 },
		{ "", 0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct net_head head;
		gboolean parsed = net_head_parse(&head, cases[i].text,
						 strlen(cases[i].text));

		ck_assert_msg(parsed == (cases[i].body_len != 0), "%s",
			      cases[i].text);
		if (!parsed)
			continue;
		ck_assert_uint_eq(head.body_len, cases[i].body_len);
		ck_assert_str_eq(head.host, "h");
		ck_assert_str_eq(head.target, "/a?b");
		net_head_clear(&head);
	}
}
END_TEST

/* Guards against clients that trickle, and against a header's time limit that
 * applies to bodies. */
START_TEST(test_slow)
{
	static const char *const starts[] = {
		"GET /a HT",
		"GET /a HTTP/1.1\r\nA: b\r\n",
		"POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\na",
	};
	gint64 limit_ms = _i < 2 ? HEADER_TIMEOUT_MS : REQUEST_TIMEOUT_MS;
	g_autoptr(GString) out = g_string_new(NULL);
	gint64 start_ms = net_now_ms();
	int fd, i;

	setup(1 << 20);
	fd = dial();
	ck_assert(send_text(fd, starts[_i], strlen(starts[_i])));
	for (i = 0; i < 20; i++)
		pump();
	net_clients_tick(clients, start_ms + limit_ms - 1);
	ck_assert_uint_eq(net_clients_count(clients), 1);
	net_clients_tick(clients, net_now_ms() + limit_ms);
	ck_assert(receive(fd, out, NULL, 0));
	ck_assert_msg(g_str_has_prefix(out->str, "HTTP/1.1 408"), "%s",
		      out->str);
	close(fd);
	teardown();
}
END_TEST

/* Guards against a request that was passed on being closed without a response
 * when clients hold too much. */
START_TEST(test_too_many_bytes)
{
	g_autoptr(GString) text = g_string_new(NULL);
	g_autoptr(GString) out = g_string_new(NULL);
	g_autoptr(GString) other_out = g_string_new(NULL);
	int fd, other;

	setup(400000);
	keep = TRUE;
	fd = dial();
	other = dial();
	append_request(text, "/a", MAX_BODY);
	ck_assert(send_text(fd, text->str, text->len));
	while (!kept)
		pump();
	/* All of it but one byte. */
	send_text(other, text->str, text->len - 1);
	ck_assert(receive(other, other_out, NULL, 0));
	ck_assert_msg(g_str_has_prefix(other_out->str, "HTTP/1.1 503") ||
			      !other_out->len,
		      "%s", other_out->str);
	respond(kept);
	receive(fd, out, "</a 200000>", 1);
	ck_assert_ptr_nonnull(strstr(out->str, "</a 200000>"));
	ck_assert_uint_eq(requests, 1);
	close(fd);
	close(other);
	teardown();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("clients");
	TCase *tcase = tcase_create("clients");

	fixture_drop_logs();
	tcase_set_timeout(tcase, 30);
	tcase_add_test(tcase, test_largest_body);
	tcase_add_test(tcase, test_pipelined);
	tcase_add_test(tcase, test_largest_header);
	tcase_add_loop_test(tcase, test_body_too_large, 0, 3);
	tcase_add_test(tcase, test_endless_chunk_line);
	tcase_add_test(tcase, test_no_route);
	tcase_add_test(tcase, test_head);
	tcase_add_loop_test(tcase, test_slow, 0, 3);
	tcase_add_test(tcase, test_too_many_bytes);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
