#include "shell.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../net/net.h"

#define LISTEN_BACKLOG 64

int ash_operator_listen(const char *address, GError **error)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	int on = 1;
	int fd;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
				       &len)) {
		g_set_error(error, ASH_ERROR, ASH_ERROR_ADDRESS,
			    "operator address %s: expected IP:port", address);
		return -1;
	}
	fd = socket(addr.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	/*
	 * SO_REUSEADDR permits old connections in TIME_WAIT, but no second
	 * listener.
	 */
	if (fd >= 0 &&
	    !setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) &&
	    !bind(fd, (struct sockaddr *)&addr, (socklen_t)len) &&
	    !listen(fd, LISTEN_BACKLOG))
		return fd;
	if (errno == EADDRINUSE)
		g_set_error(error, ASH_ERROR, ASH_ERROR_ADDRESS_IN_USE,
			    "operator address %s is in use: another agent runs "
			    "on this VM",
			    address);
	else
		g_set_error(error, ASH_ERROR, ASH_ERROR_ADDRESS,
			    "operator address %s: %s", address,
			    g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

static void on_readyz(struct evhttp_request *req, void *data)
{
	struct ash *ash = data;

	if (agt_ready(ash->agt))
		net_send_text(req, HTTP_OK, "text/plain", "ready\n", 6);
	else
		net_send_text(req, HTTP_SERVUNAVAIL, "text/plain",
			      "not ready\n", 10);
}

static void on_metrics(struct evhttp_request *req, void *data)
{
	struct ash *ash = data;
	g_autoptr(GString) out = g_string_new(NULL);
	struct agt_committed now;

	agt_committed(ash->agt, &now);
	obs_gauge(ash->metrics, "radishpier_agent_slots_in_use", NULL,
		  now.slots);
	obs_gauge(ash->metrics, "radishpier_agent_tasks", NULL, now.tasks);
	obs_gauge(ash->metrics, "radishpier_agent_committed_cpu_milli", NULL,
		  (double)now.cpu_milli);
	obs_gauge(ash->metrics, "radishpier_agent_committed_memory_bytes", NULL,
		  (double)now.memory_bytes);
	obs_gauge(ash->metrics, "radishpier_agent_committed_accelerators", NULL,
		  (double)now.accelerators);
	obs_gauge(ash->metrics, "radishpier_agent_tables_generation", NULL,
		  (double)now.tables_generation);
	obs_gauge(ash->metrics, "radishpier_agent_session", NULL,
		  (double)now.session);
	obs_gauge(ash->metrics, "radishpier_agent_grant_left_ms", NULL,
		  (double)MAX(now.grant_until_ms - net_now_ms(), 0));
	obs_count_set(ash->metrics, "radishpier_agent_wire_bytes_total",
		      "direction=\"in\"", ash->wire_in_bytes);
	obs_count_set(ash->metrics, "radishpier_agent_wire_bytes_total",
		      "direction=\"out\"", ash->wire_out_bytes);
	net_account_update_metrics(ash->account, ash->metrics);
	obs_metrics_print(ash->metrics, out);
	net_send_text(req, HTTP_OK, "text/plain; version=0.0.4", out->str,
		      out->len);
}

static void on_status(struct evhttp_request *req, void *data)
{
	struct ash *ash = data;
	g_autoptr(GString) out = g_string_new(NULL);

	agt_status_json(ash->agt, out);
	g_string_append_c(out, '\n');
	net_send_text(req, HTTP_OK, "application/json", out->str, out->len);
}

struct net_operator *ash_operator_new(struct ash *ash, int fd)
{
	struct net_operator *server = net_operator_new(ash->base, ash->account,
						       ash->metrics);

	if (evhttp_accept_socket(net_operator_http(server), fd)) {
		net_operator_free(server);
		return NULL;
	}
	net_operator_add(server, "/readyz", on_readyz, ash);
	net_operator_add(server, "/metrics", on_metrics, ash);
	net_operator_add(server, "/status", on_status, ash);
	return server;
}
