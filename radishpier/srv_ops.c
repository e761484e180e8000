#include "srv.h"

#include <event2/http.h>

#include "../net/net.h"
#include "../net/operator.h"

struct srv_ops {
	struct srv *srv;
	struct net_operator *server;
};

/* Counters of struct kv_calls, with their names in metrics and status. */
static const struct {
	const char *name;
	size_t offset;
} kv_counters[] = {
	{ "txns", offsetof(struct kv_calls, txns) },
	{ "ranges", offsetof(struct kv_calls, ranges) },
	{ "lease_grants", offsetof(struct kv_calls, lease_grants) },
	{ "lease_keepalives", offsetof(struct kv_calls, lease_keepalives) },
	{ "lease_revokes", offsetof(struct kv_calls, lease_revokes) },
	{ "watches", offsetof(struct kv_calls, watches) },
	{ "bytes_written", offsetof(struct kv_calls, bytes_written) },
	{ "bytes_read", offsetof(struct kv_calls, bytes_read) },
	{ "failures", offsetof(struct kv_calls, failures) },
};

/* Values of struct job_stats, with their metric names after "radishpier_". */
static const struct {
	const char *name;
	size_t offset;
	/** guint64 counter; otherwise an unsigned gauge. */
	gboolean is_counter;
} job_values[] = {
	{ "shards_owned", offsetof(struct job_stats, shards_owned), FALSE },
	{ "jobs", offsetof(struct job_stats, jobs), FALSE },
	{ "jobs_queued", offsetof(struct job_stats, queued), FALSE },
	{ "jobs_placed", offsetof(struct job_stats, placed), FALSE },
	{ "jobs_running", offsetof(struct job_stats, running), FALSE },
	{ "jobs_started_total", offsetof(struct job_stats, started), TRUE },
	{ "jobs_finished_total", offsetof(struct job_stats, finished), TRUE },
	{ "jobs_failed_total", offsetof(struct job_stats, failed), TRUE },
	{ "jobs_evicted_total", offsetof(struct job_stats, evicted), TRUE },
	{ "jobs_refused_total", offsetof(struct job_stats, refused), TRUE },
	{ "job_interference_holds_total",
	  offsetof(struct job_stats, interference_deferrals), TRUE },
	{ "job_interference_forced_total",
	  offsetof(struct job_stats, interference_overrides), TRUE },
	{ "job_interference_evicted_total",
	  offsetof(struct job_stats, interference_evicted), TRUE },
	{ "job_interference_updates_total",
	  offsetof(struct job_stats, interference_updates), TRUE },
	{ "job_fences_total", offsetof(struct job_stats, fences), TRUE },
	{ "job_promises_asked_total",
	  offsetof(struct job_stats, promises_asked), TRUE },
	{ "job_promises_given_total",
	  offsetof(struct job_stats, promises_given), TRUE },
	{ "job_promise_grants_total",
	  offsetof(struct job_stats, promise_grants), TRUE },
	{ "job_txns_total", offsetof(struct job_stats, txns), TRUE },
	{ "job_records_written_total",
	  offsetof(struct job_stats, records_written), TRUE },
	{ "job_records_deleted_total",
	  offsetof(struct job_stats, records_deleted), TRUE },
};

static guint64 kv_value(const struct kv_calls *calls, size_t i)
{
	return *(const guint64 *)((const char *)calls + kv_counters[i].offset);
}

static void update_job_values(struct srv *srv)
{
	struct job_stats stats;
	char name[64];
	size_t i;

	job_stats(ent_jobs(srv->ent), &stats);
	for (i = 0; i < G_N_ELEMENTS(job_values); i++) {
		const char *at = (const char *)&stats + job_values[i].offset;

		g_snprintf(name, sizeof(name), "radishpier_%s",
			   job_values[i].name);
		if (job_values[i].is_counter)
			obs_count_set(srv->metrics, name, NULL,
				      *(const guint64 *)at);
		else
			obs_gauge(srv->metrics, name, NULL,
				  *(const unsigned *)at);
	}
	for (i = 1; i < JOB_PROMISE_REFUSALS; i++) {
		g_snprintf(name, sizeof(name), "reason=\"%s\"",
			   job_promise_refusal_name((unsigned)i));
		obs_count_set(srv->metrics,
			      "radishpier_job_promises_refused_total", name,
			      stats.promises_refused[i]);
	}
}

/* Answers the request and frees the text. */
static void send_text(struct evhttp_request *req, int status, const char *type,
		      GString *text)
{
	net_send_text(req, status, type, text->str, text->len);
	g_string_free(text, TRUE);
}

static void update_wire(struct srv *srv)
{
	guint64 in, out;

	srv_conns_wire_bytes(srv->conns, &in, &out);
	obs_count_set(srv->metrics, "radishpier_wire_bytes_total",
		      "direction=\"in\"", in);
	obs_count_set(srv->metrics, "radishpier_wire_bytes_total",
		      "direction=\"out\"", out);
}

static void update_metrics(struct srv *srv)
{
	const struct kv_calls *calls = srv_store_calls(srv->store);
	const struct cfg_tables *tables = ent_tables(srv->ent);
	const struct evac *evac = ent_evacuations(srv->ent);
	struct obs_metrics *metrics = srv->metrics;
	unsigned agents, peers;
	char name[64];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kv_counters); i++) {
		g_snprintf(name, sizeof(name), "radishpier_kv_%s_total",
			   kv_counters[i].name);
		obs_count_set(metrics, name, NULL, kv_value(calls, i));
	}
	update_job_values(srv);
	update_wire(srv);
	net_account_update_metrics(srv->account, metrics);
	obs_count_set(metrics, "radishpier_slow_senders_total", NULL,
		      obs_counter(metrics, "radishpier_clients_limited_total",
				  "server=\"callers\",limit=\"slow\""));
	srv_conns_count(srv->conns, &agents, &peers);
	obs_gauge(metrics, "radishpier_agents", NULL, agents);
	obs_gauge(metrics, "radishpier_peers", NULL, peers);
	obs_gauge(metrics, "radishpier_caller_connections", NULL,
		  srv_http_connections(srv->http));
	obs_gauge(metrics, "radishpier_requests_open", NULL,
		  srv_http_open(srv->http));
	obs_gauge(metrics, "radishpier_unsent_bytes", NULL,
		  (double)srv_conns_unsent(srv->conns));
	obs_gauge(metrics, "radishpier_lease_held", NULL, srv->lease != 0);
	obs_gauge(metrics, "radishpier_tables_generation", NULL,
		  tables ? (double)tables->generation : 0);
	obs_gauge(metrics, "radishpier_evacuations_generation", NULL,
		  evac ? (double)evac->generation : 0);
	obs_gauge(metrics, "radishpier_zones_evacuated", NULL,
		  evac ? evac->zones->len : 0);
	obs_gauge(metrics, "radishpier_evacuations_age_ms", NULL,
		  (double)ent_evacuations_age_ms(srv->ent));
}

static void on_metrics(struct evhttp_request *req, void *ctx)
{
	struct srv_ops *ops = ctx;
	GString *text = g_string_new(NULL);

	update_metrics(ops->srv);
	obs_metrics_print(ops->srv->metrics, text);
	send_text(req, 200, "text/plain; version=0.0.4", text);
}

static void on_readyz(struct evhttp_request *req, void *ctx)
{
	struct srv *srv = ((struct srv_ops *)ctx)->srv;

	if (srv->draining)
		send_text(req, 503, "text/plain", g_string_new("draining\n"));
	else if (!ent_evacuations(srv->ent))
		send_text(req, 503, "text/plain",
			  g_string_new("evacuated zones not read yet\n"));
	else if (!ent_ready(srv->ent))
		send_text(req, 503, "text/plain",
			  g_string_new("no tables or no upstream\n"));
	else
		send_text(req, 200, "text/plain", g_string_new("ready\n"));
}

static void append_string(GString *out, const char *key, const char *value)
{
	obs_json_string(out, key, -1);
	g_string_append_c(out, ':');
	obs_json_string(out, value ? value : "", -1);
	g_string_append_c(out, ',');
}

static void on_status(struct evhttp_request *req, void *ctx)
{
	struct srv *srv = ((struct srv_ops *)ctx)->srv;
	const struct kv_calls *calls = srv_store_calls(srv->store);
	const struct cfg_tables *tables = ent_tables(srv->ent);
	GString *out = g_string_new("{");
	unsigned agents, peers;
	size_t i;

	srv_conns_count(srv->conns, &agents, &peers);
	append_string(out, "id", srv->settings->id);
	append_string(out, "zone", srv->settings->zone);
	append_string(out, "incarnation", tables ? tables->incarnation : NULL);
	g_string_append_printf(out,
			       "\"generation\":%" G_GUINT64_FORMAT
			       ",\"draining\":%s,\"lease_held\":%s,"
			       "\"agents\":%u,\"peers\":%u,\"kv_calls\":{",
			       tables ? tables->generation : 0,
			       srv->draining ? "true" : "false",
			       srv->lease ? "true" : "false", agents, peers);
	for (i = 0; i < G_N_ELEMENTS(kv_counters); i++)
		g_string_append_printf(out, "%s\"%s\":%" G_GUINT64_FORMAT,
				       i ? "," : "", kv_counters[i].name,
				       kv_value(calls, i));
	g_string_append(out, "},\"entry\":");
	ent_status_json(srv->ent, out);
	g_string_append(out, ",\"promises\":");
	job_promise_status_json(ent_jobs(srv->ent), out);
	g_string_append(out, ",\"jobs\":");
	job_status_json(ent_jobs(srv->ent), out);
	g_string_append(out, ",\"vms_without_new_tasks\":");
	job_blocked_vms_json(ent_jobs(srv->ent), out);
	g_string_append(out, ",\"interference\":");
	job_interference_status_json(ent_jobs(srv->ent), out);
	g_string_append(out, "}\n");
	send_text(req, 200, "application/json", out);
}

struct srv_ops *srv_ops_new(struct srv *srv, GError **error)
{
	struct srv_ops *ops = g_new0(struct srv_ops, 1);
	struct evconnlistener *listener;

	ops->srv = srv;
	ops->server = net_operator_new(srv->base, srv->account, srv->metrics);
	net_operator_add(ops->server, "/metrics", on_metrics, ops);
	net_operator_add(ops->server, "/readyz", on_readyz, ops);
	net_operator_add(ops->server, "/status", on_status, ops);
	listener = srv_listen(srv, "operator_address",
			      srv->settings->operator_address, NULL, NULL,
			      error);
	if (!listener) {
		srv_ops_free(ops);
		return NULL;
	}
	evhttp_bind_listener(net_operator_http(ops->server), listener);
	return ops;
}

void srv_ops_free(struct srv_ops *ops)
{
	net_operator_free(ops->server);
	g_free(ops);
}

void srv_ops_tick(struct srv_ops *ops, gint64 now_ms)
{
	net_operator_tick(ops->server, now_ms);
}
