#include "radishpier/srv_fixture_test.h"
#include "tests/fixture.h"

/*
 * Sends bad input to a real `radishpier serve`. The key-value store is
 * unavailable, so this test sends the tables as a peer entry.
 */

/* Requests */

#define LIMIT_TEXT "Radishpier-Timeout-Ms: expected a whole number"

static const struct request_case {
	const char *name;
	const char *method;
	const char *target;
	const char *headers;
	const char *body;
	int status;
	const char *text;
} request_cases[] = {
	{ "timeout with unit", "GET", "/check",
	  "Radishpier-Timeout-Ms: 5ms\r\n", "", 400, LIMIT_TEXT },
	{ "negative timeout", "GET", "/check", "Radishpier-Timeout-Ms: -1\r\n",
	  "", 400, LIMIT_TEXT },
	{ "timeout 0", "GET", "/check", "Radishpier-Timeout-Ms: 0\r\n", "", 400,
	  LIMIT_TEXT },
	{ "timeout out of range", "GET", "/check",
	  "Radishpier-Timeout-Ms: 99999999999999999999\r\n", "", 400,
	  LIMIT_TEXT },
	{ "empty idempotency key", "GET", "/check", "Idempotency-Key: \r\n", "",
	  400, "Idempotency-Key: expected 1 to 255 bytes" },
	{ "unknown route", "GET", "/none", "", "", 404,
	  "Radishpier-Outcome: not-run" },
	{ "method without a route", "DELETE", "/check", "", "", 404,
	  "Radishpier-Request-Id: " },
	{ "unknown method", "BREW", "/check", "", "", 501,
	  "Radishpier-Outcome: not-run" },
	{ "method that is not served", "TRACE", "/check", "", "", 501,
	  "the method is not supported" },
	{ "space in the target", "GET", "/check x", "", "", 400,
	  "Radishpier-Outcome: not-run" },
	{ "header without colon", "GET", "/check", "bad header\r\n", "", 400,
	  "the request is malformed" },
	{ "second length", "POST", "/check", "Content-Length: 1\r\n", "ab", 400,
	  "expected one Content-Length" },
	{ "two ways to give the length", "POST", "/check",
	  "Transfer-Encoding: chunked\r\n", "0\r\n\r\n", 400,
	  "Radishpier-Outcome: not-run" },
	{ "no upstream", "GET", "/check", "Radishpier-Timeout-Ms: 50\r\n", "",
	  503, "Radishpier-Outcome: not-run" },
	{ "job without fields", "POST", "/v1/jobs", "", "{}", 400,
	  "\"field\":\"kind\",\"expected\":\"a string" },
	{ "no body", "POST", "/v1/jobs", "", "", 400, "a JSON object" },
	{ "cut JSON", "POST", "/v1/jobs", "", "{\"kind\":\"a\"", 400,
	  "line 1, column" },
	{ "array", "POST", "/v1/jobs", "", "[]", 400, "not a JSON object" },
	{ "trailing text", "POST", "/v1/jobs", "", "{\"kind\":\"a\"} x", 400,
	  "end of file expected" },
	{ "repeated field", "POST", "/v1/jobs", "",
	  "{\"kind\":\"a\",\"kind\":\"b\"}", 400, "duplicate" },
	{ "unknown field", "POST", "/v1/jobs", "",
	  "{\"kind\":\"a\",\"cpus\":1}", 400,
	  "\"error\":\"unknown field\",\"field\":\"cpus\"" },
	{ "kind is a number", "POST", "/v1/jobs", "", "{\"kind\":1}", 400,
	  "\"field\":\"kind\"" },
	{ "empty kind", "POST", "/v1/jobs", "", "{\"kind\":\"\"}", 400,
	  "\"field\":\"kind\"" },
	{ "size is a string", "POST", "/v1/jobs", "",
	  "{\"kind\":\"a\",\"cpu_milli\":\"1\"}", 400,
	  "\"field\":\"cpu_milli\",\"expected\":\"a whole number" },
	{ "size is a fraction", "POST", "/v1/jobs", "",
	  "{\"kind\":\"a\",\"cpu_milli\":1.5}", 400,
	  "\"field\":\"cpu_milli\"" },
	{ "negative size", "POST", "/v1/jobs", "",
	  "{\"kind\":\"a\",\"memory_bytes\":-1}", 400,
	  "\"field\":\"memory_bytes\",\"expected\":\"a whole number of at "
	  "least 0\"" },
	{ "too many attempts", "POST", "/v1/jobs", "",
	  "{\"kind\":\"a\",\"max_attempts\":1001}", 400,
	  "\"field\":\"max_attempts\"" },
	{ "payload is an object", "POST", "/v1/jobs", "",
	  "{\"kind\":\"a\",\"payload\":{}}", 400, "\"field\":\"payload\"" },
	{ "shard without owner", "POST", "/v1/jobs", "", "{\"kind\":\"a\"}",
	  503, "Radishpier-Outcome: not-run" },
	{ "jobs with another method", "GET", "/v1/jobs", "", "", 405,
	  "expected POST" },
	{ "job with another method", "PUT", "/v1/jobs/a1", "", "", 405,
	  "expected GET or DELETE" },
	{ "malformed job id", "GET", "/v1/jobs/a.b", "", "", 404,
	  "/v1/jobs/{id}" },
	{ "unknown part of a job", "GET", "/v1/jobs/a1/log", "", "", 404,
	  "/v1/jobs/{id}" },
};

/*
 * Guards against an invalid request that is run, that is refused without the
 * field and the expected value, or that stops the entry.
 */
START_TEST(bad_request)
{
	const struct request_case *c = &request_cases[_i];
	g_autofree char *answer = call(c->method, c->target, c->headers,
				       c->body);

	check_answer(c->name, answer, c->status, c->text);
	check_serving();
}
END_TEST

static char *repeat(const char *head, const char *unit, size_t n,
		    const char *tail)
{
	GString *text = g_string_new(head);

	while (n--)
		g_string_append(text, unit);
	g_string_append(text, tail);
	return g_string_free(text, FALSE);
}

/*
 * Guards against a caller that waits for "100 Continue" without end, since the
 * entry replaces what evhttp writes by itself.
 */
START_TEST(expect_continue)
{
	static const char head[] = "POST /none HTTP/1.1\r\n"
				   "Expect: 100-continue\r\n"
				   "Connection: close\r\n"
				   "Content-Length: 1\r\n\r\n";
	int fd = dial(PORT_CALLER);
	g_autofree char *answer = NULL;
	char buffer[256] = "";

	ck_assert_int_ge(fd, 0);
	send_all(fd, head, strlen(head));
	ck_assert_int_gt(receive(fd, buffer, sizeof(buffer) - 1), 0);
	check_answer("continue", buffer, 100, "100 Continue");
	send_all(fd, "a", 1);
	answer = receive_all(fd);
	check_answer("after the body", answer, 404, "no route matches");
}
END_TEST

/*
 * Guards against bodies, headers and request lines that are buffered without a
 * limit and exhaust the entry's memory.
 */
START_TEST(oversized_request)
{
	static const struct {
		const char *head;
		const char *unit;
		size_t n;
		const char *tail;
		int status;
	} cases[] = {
		{ "POST /check HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", "a",
		  5000, "", 413 },
		{ "POST /check HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
		  "10\r\naaaaaaaaaaaaaaaa\r\n", 300, "0\r\n\r\n", 413 },
		{ "GET /check HTTP/1.1\r\nConnection: close\r\n", "A: b\r\n",
		  200, "\r\n", 431 },
		{ "GET /check HTTP/1.1\r\nConnection: close\r\nA: ", "a", 18000,
		  "\r\n\r\n", 400 },
		{ "GET /check", "a", 100000, "\r\n\r\n", 400 },
		{ "POST /check HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "", 0,
		  "", 0 },
		{ "POST /check HTTP/1.1\r\nContent-Length: 300000\r\n\r\n", "a",
		  300000, "", 413 },
	};
	g_autofree char *request = repeat(cases[_i].head, cases[_i].unit,
					  cases[_i].n, cases[_i].tail);
	g_autofree char *answer = exchange(PORT_CALLER, request);
	int status = status_of(answer);

	/* evhttp refuses long headers with 400 or leaves it to the entry. */
	if (cases[_i].status == 400)
		ck_assert_msg(status == 400 || status == 431, "%s", answer);
	else if (cases[_i].status)
		check_answer("oversized", answer, cases[_i].status,
			     "Radishpier-Outcome: not-run");
	check_serving();
}
END_TEST

/*
 * Guards against callers that occupy a connection by sending a byte at a time,
 * which evhttp's idle time-out does not detect.
 */
START_TEST(slow_sender)
{
	static const char *const starts[] = {
		"GET /check HT",
		"GET /check HTTP/1.1\r\nA: b",
		"POST /check HTTP/1.1\r\nContent-Length: 4000\r\n\r\na",
	};
	int fd = dial(PORT_CALLER), i;
	g_autofree char *answer = NULL;

	ck_assert_int_ge(fd, 0);
	send_all(fd, starts[_i], strlen(starts[_i]));
	/* Stops at the answer: more bytes would cause a reset that drops it. */
	for (i = 0; i < 200; i++) {
		struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

		if (poll(&poll_fd, 1, 50) > 0)
			break;
		send_all(fd, "a", 1);
	}
	answer = receive_all(fd);
	check_answer("slow", answer, 408, "Radishpier-Outcome: not-run");
	check_serving();
}
END_TEST

/* Frames */

/*
 * Guards against a malformed frame that stops the entry, or after which it
 * reads on instead of closing the connection.
 */
START_TEST(bad_frame)
{
	static const struct {
		const char *data;
		size_t len;
	} cases[] = {
		{ "GET / HTTP/1.1\r\n\r\n", 18 }, /* length above the limit */
		{ "\x00\x20\x00\x01", 4 }, /* 2 MiB and one byte */
		{ "\x00\x00\x00\x05wrong", 9 }, /* not a message */
		{ "\x00\x00\x00\x00", 4 }, /* no message */
		{ "\x00\x00\x00\x02\x32\x00", 6 }, /* Cancel before Hello */
		{ "\x00\x00\x00\x02\x8a\x01", 6 }, /* cut PeerHello */
	};
	int fd = dial(PORT_AGENT);
	g_autofree char *answer = NULL;

	ck_assert_int_ge(fd, 0);
	send_all(fd, cases[_i].data, cases[_i].len);
	answer = receive_all(fd);
	ck_assert_str_eq(answer, "");
	check_serving();
}
END_TEST

/*
 * Guards against connections that occupy a file descriptor without end because
 * their first frame is never complete.
 */
START_TEST(connection_without_hello)
{
	int fd = dial(PORT_AGENT);
	g_autofree char *answer = NULL;

	ck_assert_int_ge(fd, 0);
	send_all(fd, "\x00\x00", 2);
	answer = receive_all(fd);
	ck_assert_str_eq(answer, "");
	check_serving();
}
END_TEST

/*
 * Guards against a call of a peer that an entry runs although it does not own
 * the shard, or that has a malformed job id.
 */
START_TEST(peer_call_refused)
{
	static const struct {
		const char *job_id;
		unsigned status;
	} cases[] = { { "a1", JOB_STATUS_NOT_OWNER },
		      { "../a", 400 },
		      { "", 400 } };
	struct evbuffer *in = evbuffer_new();
	int fd = dial_as_peer("e2", in);
	Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_PEER_CALL);

	frame->peer_call->id = 7;
	frame->peer_call->op = RP__PEER_OP__PEER_OP_JOB_GET;
	wire_set_string(&frame->peer_call->job_id, cases[_i].job_id);
	send_frame(fd, frame);
	frame = expect_frame(fd, in, RP__FRAME__BODY_PEER_REPLY);
	ck_assert_uint_eq(frame->peer_reply->id, 7);
	ck_assert_uint_eq(frame->peer_reply->status, cases[_i].status);
	wire_frame_free(frame);
	evbuffer_free(in);
	close(fd);
}
END_TEST

/* Sends a PeerState by which the peer owns all shards, or none. */
static void send_claims(int peer, gboolean all)
{
	Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_PEER_STATE);
	Rp__PeerState *state = frame->peer_state;
	unsigned i;

	state->n_claims = all ? JOB_SHARDS : 0;
	state->claims = g_new0(Rp__ShardClaim *, JOB_SHARDS);
	for (i = 0; i < state->n_claims; i++) {
		state->claims[i] = g_new0(Rp__ShardClaim, 1);
		rp__shard_claim__init(state->claims[i]);
		state->claims[i]->shard = i;
		state->claims[i]->term = 1;
	}
	send_frame(peer, frame);
	g_usleep(200000);
}

static guint64 expect_call(int peer, struct evbuffer *in)
{
	Rp__Frame *call = expect_frame(peer, in, RP__FRAME__BODY_PEER_CALL);
	guint64 id = call->peer_call->id;

	wire_frame_free(call);
	return id;
}

static void send_reply(int peer, guint64 id, unsigned status)
{
	Rp__Frame *reply = wire_frame_new(RP__FRAME__BODY_PEER_REPLY);

	reply->peer_reply->id = id;
	reply->peer_reply->status = status;
	wire_set_bytes(&reply->peer_reply->body, "{\"id\":\"x\"}", 10);
	send_frame(peer, reply);
}

/*
 * Guards against the outcome "not-run" for a forwarded call that the owner of
 * the shard may have carried out before its connection closed, against an
 * owner's answer that is not passed to the caller, and against a call that
 * fails or stays open because the shard moved to another owner meanwhile.
 */
START_TEST(forwarded_job)
{
	static const struct {
		/** Status from each owner in turn; 0: connection closed. */
		unsigned replies[2];
		gboolean no_next_owner;
		int status;
		char text[40];
	} cases[] = {
		{ { 201 }, FALSE, 201, "{\"id\":\"x\"}" },
		{ { 0 }, FALSE, 504, "Radishpier-Outcome: unknown" },
		{ { JOB_STATUS_NOT_OWNER, 201 }, FALSE, 201, "{\"id\":\"x\"}" },
		{ { JOB_STATUS_NOT_OWNER },
		  TRUE,
		  503,
		  "Radishpier-Outcome: not-run" },
	};
	static const char request[] =
		"POST /v1/jobs HTTP/1.1\r\nConnection: close\r\n"
		"Content-Length: 12\r\n\r\n{\"kind\":\"a\"}";
	const unsigned *replies = cases[_i].replies;
	struct evbuffer *in = evbuffer_new();
	int peer = dial_as_peer("e3", in), caller;
	g_autofree char *answer = NULL;
	guint64 id;

	send_claims(peer, TRUE);
	caller = dial(PORT_CALLER);
	send_all(caller, request, strlen(request));
	id = expect_call(peer, in);
	if (cases[_i].no_next_owner)
		send_claims(peer, FALSE);
	if (replies[0])
		send_reply(peer, id, replies[0]);
	else
		close(peer);
	if (replies[1])
		send_reply(peer, expect_call(peer, in), replies[1]);
	answer = receive_all(caller);
	check_answer("forwarded", answer, cases[_i].status, cases[_i].text);
	if (replies[0])
		close(peer);
	evbuffer_free(in);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("serve");
	TCase *tests = tcase_create("bad input");

	tcase_add_unchecked_fixture(tests, setup, teardown);
	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests, bad_request, 0, G_N_ELEMENTS(request_cases));
	tcase_add_test(tests, expect_continue);
	tcase_add_loop_test(tests, oversized_request, 0, 7);
	tcase_add_loop_test(tests, slow_sender, 0, 3);
	tcase_add_loop_test(tests, bad_frame, 0, 6);
	tcase_add_test(tests, connection_without_hello);
	tcase_add_loop_test(tests, peer_call_refused, 0, 3);
	tcase_add_loop_test(tests, forwarded_job, 0, 4);
	suite_add_tcase(suite, tests);
	return fixture_run(suite);
}
