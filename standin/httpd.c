#include "standin/httpd.h"

#include <event2/buffer.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int httpd_listen(struct event_base *base, const char *address,
		 void (*fn)(struct evhttp_request *, void *), void *ctx)
{
	struct evhttp *http;
	g_auto(GStrv) part = g_strsplit(address ? address : "", ":", 2);

	if (!part[0] || !part[1])
		return -1;
	signal(SIGPIPE, SIG_IGN);
	http = evhttp_new(base);
	evhttp_set_gencb(http, fn, ctx);
	evhttp_set_max_body_size(http, 64 * 1024 * 1024);
	return evhttp_bind_socket(http, part[0],
				  (ev_uint16_t)strtoul(part[1], NULL, 10));
}

int httpd_parse_options(const GOptionEntry *options, int *argc, char ***argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	int ret = 0;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, argc, argv, &error)) {
		fprintf(stderr, "%s: %s\n", **argv, error->message);
		g_error_free(error);
		ret = -1;
	}
	g_option_context_free(context);
	return ret;
}

json_t *httpd_read_json(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	json_t *body = NULL;

	if (len)
		body = json_loadb((char *)evbuffer_pullup(in, -1), len, 0,
				  NULL);
	return json_is_object(body) ? body : json_object();
}

void httpd_reply_json(struct evhttp_request *req, int status, json_t *body)
{
	struct evbuffer *out = evbuffer_new();
	char *text = json_dumps(body, JSON_COMPACT);

	evbuffer_add(out, text, strlen(text));
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
	free(text);
	json_decref(body);
}

void httpd_reply_error(struct evhttp_request *req, int status,
		       const char *message)
{
	httpd_reply_json(req, status, json_pack("{s:s}", "error", message));
}
