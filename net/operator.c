#include "operator.h"

#include <string.h>

#include "net.h"

/* Limits for requests of operators; the size limit is for headers and for the
 * body, each. */
#define TIMEOUT_MS 10000
#define MAX_BYTES (16 * 1024)

/** A path and what answers it. */
struct page {
	void (*fn)(struct evhttp_request *req, void *ctx);
	void *ctx;
};

struct net_operator {
	struct net_clients *clients;
	/** Path to struct page. */
	GHashTable *pages;
};

static void on_healthz(struct evhttp_request *req, void *ctx G_GNUC_UNUSED)
{
	net_send_text(req, 200, "text/plain", "ok\n", 3);
}

static void on_request(struct evhttp_request *req, void *ctx)
{
	static const char text[] = "expected /metrics, /healthz, /readyz or "
				   "/status\n";
	struct net_operator *operator= ctx;
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = uri ? evhttp_uri_get_path(uri) : NULL;
	const struct page *page =
		path ? g_hash_table_lookup(operator->pages, path) : NULL;

	if (page)
		page->fn(req, page->ctx);
	else
		net_send_text(req, 404, "text/plain", text, strlen(text));
}

struct net_operator *net_operator_new(struct event_base *base,
				      struct net_account *account,
				      struct obs_metrics *metrics)
{
	struct net_operator *operator= g_new0(struct net_operator, 1);
	const struct net_clients_options options = {
		.base = base,
		.account = account,
		.metrics = metrics,
		.name = "operators",
		.methods = EVHTTP_REQ_GET | EVHTTP_REQ_HEAD,
		.max_header_bytes = MAX_BYTES,
		.max_body_bytes = MAX_BYTES,
		.header_timeout_ms = TIMEOUT_MS,
		.request_timeout_ms = TIMEOUT_MS,
		.idle_timeout_ms = TIMEOUT_MS,
		.refusal_headers = "",
		.on_request = on_request,
		.ctx = operator, };

	operator->pages = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						g_free);
	operator->clients = net_clients_new(&options);
	net_operator_add(operator, "/healthz", on_healthz, NULL);
	return operator;
}

void net_operator_add(struct net_operator *operator, const char * path,
		      void (*fn)(struct evhttp_request *req, void *ctx),
		      void *ctx)
{
	struct page *page = g_new0(struct page, 1);

	page->fn = fn;
	page->ctx = ctx;
	g_hash_table_insert(operator->pages, (char *)path, page);
}

struct evhttp *net_operator_http(struct net_operator *operator)
{
	return net_clients_http(operator->clients);
}

void net_operator_tick(struct net_operator *operator, gint64 now_ms)
{
	net_clients_tick(operator->clients, now_ms);
}

void net_operator_free(struct net_operator *operator)
{
	if (!operator)
		return;
	net_clients_free(operator->clients);
	g_hash_table_unref(operator->pages);
	g_free(operator);
}
