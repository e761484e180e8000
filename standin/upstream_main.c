/*
 * Stand-in for an upstream with a limited number of slots. It appends a line
 * "time_ms tag event" to its record file, event being start, end or over-slots;
 * the tag is the request's X-Tag header, or "-".
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/clock.h"
#include "standin/httpd.h"

struct upstream {
	struct event_base *base;
	FILE *record;
	/** Value of the X-Upstream header. */
	char *name;
	int slots;
	/** Default service time. */
	int service_ms;
	int in_flight;
	guint64 served;
};

struct call {
	struct upstream *upstream;
	struct evhttp_request *req;
	struct evbuffer *body;
	char *tag;
	int status;
};

static void record(struct upstream *upstream, const char *tag,
		   const char *event)
{
	if (!upstream->record)
		return;
	fprintf(upstream->record, "%" G_GINT64_FORMAT " %s %s\n",
		clock_now_ms(), tag, event);
	fflush(upstream->record);
}

/* Answers the call when its service time has passed. */
static void finish(evutil_socket_t fd G_GNUC_UNUSED, short what G_GNUC_UNUSED,
		   void *ctx)
{
	struct call *call = ctx;
	struct evkeyvalq *headers =
		evhttp_request_get_output_headers(call->req);

	record(call->upstream, call->tag, "end");
	call->upstream->in_flight--;
	call->upstream->served++;
	evhttp_add_header(headers, "X-Upstream", call->upstream->name);
	evhttp_add_header(headers, "X-Tag", call->tag);
	evhttp_send_reply(call->req, call->status, NULL, call->body);
	evbuffer_free(call->body);
	g_free(call->tag);
	g_free(call);
}

static int query_int(const struct evkeyvalq *query, const char *key,
		     int fallback)
{
	const char *value = evhttp_find_header(query, key);

	return value ? (int)strtol(value, NULL, 10) : fallback;
}

/*
 * Query parameters: ms, the service time; bytes, the size of the answer, which
 * otherwise echoes the request's body; and status.
 */
static void on_request(struct evhttp_request *req, void *ctx)
{
	struct upstream *upstream = ctx;
	const char *tag = evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Tag");
	const char *raw =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq query = { 0 };
	struct call *call = g_new0(struct call, 1);
	struct timeval delay;
	int ms;
	int bytes;

	evhttp_parse_query_str(raw ? raw : "", &query);
	ms = query_int(&query, "ms", upstream->service_ms);
	bytes = query_int(&query, "bytes", -1);
	call->status = query_int(&query, "status", 200);
	evhttp_clear_headers(&query);
	call->upstream = upstream;
	call->req = req;
	call->tag = g_strdup(tag ? tag : "-");
	call->body = evbuffer_new();
	if (bytes < 0) {
		evbuffer_add_buffer(call->body,
				    evhttp_request_get_input_buffer(req));
	} else {
		g_autofree char *fill = g_malloc(bytes + 1);

		memset(fill, 'x', bytes);
		evbuffer_add(call->body, fill, bytes);
	}
	record(upstream, call->tag, "start");
	if (++upstream->in_flight > upstream->slots)
		record(upstream, call->tag, "over-slots");
	if (ms <= 0) {
		finish(-1, 0, call);
		return;
	}
	delay.tv_sec = ms / 1000;
	delay.tv_usec = ms % 1000 * 1000;
	event_base_once(upstream->base, -1, EV_TIMEOUT, finish, call, &delay);
}

int main(int argc, char **argv)
{
	struct upstream upstream = { 0 };
	g_autofree char *listen = NULL;
	g_autofree char *record_file = NULL;
	GOptionEntry options[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &listen,
		  "address to serve", "HOST:PORT" },
		{ "name", 0, 0, G_OPTION_ARG_STRING, &upstream.name,
		  "value of the X-Upstream header", "NAME" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &upstream.slots,
		  "requests at once before over-slots is recorded", "N" },
		{ "service-ms", 0, 0, G_OPTION_ARG_INT, &upstream.service_ms,
		  "service time", "N" },
		{ "record", 0, 0, G_OPTION_ARG_FILENAME, &record_file,
		  "append each request to this file", "FILE" },
		{ NULL }
	};

	upstream.slots = 8;
	if (httpd_parse_options(options, &argc, &argv) < 0)
		return 2;
	if (!upstream.name)
		upstream.name = g_strdup("upstream");
	upstream.base = event_base_new();
	if (record_file)
		upstream.record = fopen(record_file, "a");
	if (httpd_listen(upstream.base, listen, on_request, &upstream) < 0) {
		fprintf(stderr, "upstream: cannot listen on %s\n", listen);
		return 1;
	}
	event_base_dispatch(upstream.base);
	return 0;
}
