#include "cli.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>

#include "../net/net.h"

/* Fetches /status of each entry that is registered in the key-value store. */

/* Largest answer that is accepted from an entry. */
#define MAX_STATUS_BYTES (64 * 1024 * 1024)

static void free_source(gpointer data)
{
	struct cli_source *source = data;

	if (source->connection)
		evhttp_connection_free(source->connection);
	json_decref(source->entry);
	json_decref(source->status);
	g_free(source);
}

static void on_status(struct evhttp_request *req, void *ctx)
{
	struct cli_source *source = ctx;
	struct evbuffer *input;

	(*source->pending)--;
	source->problem = "no answer";
	if (!req || evhttp_request_get_response_code(req) != HTTP_OK)
		return;
	input = evhttp_request_get_input_buffer(req);
	source->status = json_loadb((char *)evbuffer_pullup(input, -1),
				    evbuffer_get_length(input), 0, NULL);
	source->problem = json_is_object(source->status) ? NULL : "not JSON";
}

const char *cli_string_or_dash(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text && *text ? text : "-";
}

/* Starts GET /status. */
static void ask(struct event_base *base, struct cli_source *source)
{
	const char *address = cli_string_or_dash(source->entry,
						 "operator_address");
	g_autofree char *host = NULL;
	guint16 port;
	struct evhttp_request *req;

	source->problem = "no operator address";
	if (net_split_address(address, &host, &port) < 0)
		return;
	source->connection = evhttp_connection_base_new(base, NULL, host, port);
	if (!source->connection)
		return;
	evhttp_connection_set_timeout(source->connection,
				      CLI_CALL_TIMEOUT_MS / 1000);
	evhttp_connection_set_max_body_size(source->connection,
					    MAX_STATUS_BYTES);
	req = evhttp_request_new(on_status, source);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  address);
	(*source->pending)++;
	if (evhttp_make_request(source->connection, req, EVHTTP_REQ_GET,
				"/status") < 0) {
		(*source->pending)--;
		source->problem = "cannot be connected";
	}
}

GPtrArray *cli_ask_entries(struct cli_kv *cli, const struct cli_ask *options,
			   GError **error)
{
	g_autoptr(GPtrArray)
		pairs = cli_kv_range(cli, CLI_ENTRY_PREFIX, FALSE, error);
	GPtrArray *sources;
	unsigned pending = 0;
	guint i;

	if (!pairs)
		return NULL;
	sources = g_ptr_array_new_with_free_func(free_source);
	for (i = 0; i < pairs->len; i++) {
		const struct kv_pair *pair = pairs->pdata[i];
		struct cli_source *source = g_new0(struct cli_source, 1);
		const void *data;
		gsize len;

		data = g_bytes_get_data(pair->value, &len);
		source->entry = json_loadb(data, len, 0, NULL);
		if (!json_is_object(source->entry)) {
			json_decref(source->entry);
			source->entry = json_pack("{s:s}", "id", pair->key);
		}
		source->pending = &pending;
		g_ptr_array_add(sources, source);
		ask(cli->base, source);
	}
	while (pending && !(options->is_enough &&
			    options->is_enough(options->ctx, sources)))
		event_base_loop(cli->base, EVLOOP_ONCE);
	return sources;
}
