#include "shell.h"

#include <event2/keyvalq_struct.h>
#include <string.h>
#include <strings.h>

#include "../net/net.h"

/* Context of a request that is forwarded to the upstream. */
struct forward {
	struct ash *ash;
	/* Id from AGT_FX_FORWARD. */
	guint64 call_id;
};

/* Accepts only paths without spaces and control characters, by which a caller
 * could inject a second request (smuggling). */
static gboolean target_is_valid(const char *target)
{
	const unsigned char *p = (const unsigned char *)target;

	if (*p != '/')
		return FALSE;
	for (; *p; p++)
		if (*p <= ' ' || *p == 0x7f)
			return FALSE;
	return TRUE;
}

/* Appends the header unless it belongs to one connection (hop-by-hop).
 * connection_value is the value of the Connection header, or NULL. */
static void copy_header(GPtrArray *to, const char *connection_value,
			struct Rp__Header *header)
{
	if (!net_is_hop_by_hop(header->name) &&
	    !net_is_listed(connection_value, header->name))
		g_ptr_array_add(to, header);
}

static void on_done(void *data, enum agt_upstream_status status,
		    struct evhttp_request *req)
{
	struct forward *forward = data;
	struct agt_event event = { .kind = AGT_EV_UPSTREAM };
	g_autoptr(GPtrArray) headers = NULL;
	g_autoptr(GArray) all_headers = NULL;
	struct evkeyval *kv;
	unsigned i;

	event.upstream.call = forward->call_id;
	event.upstream.status = status;
	if (status == AGT_UPSTREAM_ANSWERED) {
		struct evkeyvalq *from = evhttp_request_get_input_headers(req);
		const char *connection = evhttp_find_header(from, "Connection");
		struct evbuffer *body = evhttp_request_get_input_buffer(req);

		headers = g_ptr_array_new();
		all_headers = g_array_new(FALSE, FALSE,
					  sizeof(struct Rp__Header));
		/* Two passes, since the array may move while it grows. */
		for (kv = from->tqh_first; kv; kv = kv->next.tqe_next) {
			struct Rp__Header header = RP__HEADER__INIT;

			header.name = kv->key;
			header.value = kv->value;
			g_array_append_val(all_headers, header);
		}
		for (i = 0; i < all_headers->len; i++)
			copy_header(headers, connection,
				    &g_array_index(all_headers,
						   struct Rp__Header, i));
		event.upstream.http_status =
			(unsigned)evhttp_request_get_response_code(req);
		event.upstream.headers =
			(const struct Rp__Header *const *)headers->pdata;
		event.upstream.n_headers = headers->len;
		event.upstream.body_len = evbuffer_get_length(body);
		event.upstream.body = evbuffer_pullup(body, -1);
	}
	ash_event(forward->ash, &event);
	g_free(forward);
}

void ash_upstream_forward(struct ash *ash, const struct agt_effect *fx)
{
	const struct Rp__Request *in = fx->forward.request->request;
	g_autoptr(GPtrArray) headers = g_ptr_array_new();
	struct Rp__Header request_id = RP__HEADER__INIT;
	struct forward *forward = g_new0(struct forward, 1);
	struct ash_http_call call = { 0 };
	const char *connection = NULL;
	size_t i;

	forward->ash = ash;
	forward->call_id = fx->forward.call;
	if (!ash->upstream || net_method_parse(in->method, &call.method) ||
	    !target_is_valid(in->target)) {
		g_warning("request %s is not forwarded: its method or target "
			  "is not valid",
			  in->request_id);
		on_done(forward, AGT_UPSTREAM_NOT_SENT, NULL);
		return;
	}
	for (i = 0; i < in->n_headers; i++)
		if (!strcasecmp(in->headers[i]->name, "Connection"))
			connection = in->headers[i]->value;
	for (i = 0; i < in->n_headers; i++)
		if (strcasecmp(in->headers[i]->name, "Radishpier-Request-Id"))
			copy_header(headers, connection, in->headers[i]);
	request_id.name = (char *)"Radishpier-Request-Id";
	request_id.value = in->request_id;
	g_ptr_array_add(headers, &request_id);
	call.target = in->target;
	call.headers = (const struct Rp__Header *const *)headers->pdata;
	call.n_headers = headers->len;
	call.body = in->body.data;
	call.body_len = in->body.len;
	call.timeout_ms = fx->forward.timeout_ms;
	call.done = on_done;
	call.data = forward;
	call.free_data = g_free;
	ash_http_start(ash->upstream, &call);
}
