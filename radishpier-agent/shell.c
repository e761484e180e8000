#include "shell.h"

#include <signal.h>
#include <time.h>
#include <unistd.h>

#include "../net/net.h"
#include "../radishpier/radishpier.h"

G_DEFINE_QUARK(ash_error, ash_error)

/** Interval of AGT_EV_TICK. */
#define TICK_MS 50

/** Connections to the worker; calls beyond this number wait. */
#define WORKER_CONNECTIONS 8

/** Largest answer of the worker: its task list includes results that entries
 * have not acknowledged yet. */
#define WORKER_MAX_BODY_BYTES (64 * 1024 * 1024)

/**
 * Time after the drain in which requests are still answered with a refusal:
 * entries may have sent them before they received the drain report. Network
 * delays are far below it.
 */
#define LINGER_MS 500

/** Longest wait after the drain until all replies are handed to the kernel. */
#define FLUSH_TIMEOUT_MS 2000

static void log_effect(const struct agt_effect *fx)
{
	if (fx->log.job_id)
		g_log_structured(G_LOG_DOMAIN, fx->log.level, "JOB_ID",
				 fx->log.job_id, "MESSAGE", "%s",
				 fx->log.message);
	else
		g_log_structured(G_LOG_DOMAIN, fx->log.level, "MESSAGE", "%s",
				 fx->log.message);
}

static void run_effect(struct ash *ash, const struct agt_effect *fx)
{
	switch (fx->kind) {
	case AGT_FX_SEND:
		ash_conn_send(ash, fx->send.conn, fx->send.frame);
		break;
	case AGT_FX_DIAL:
		ash_conn_dial(ash, fx->dial.conn, fx->dial.address);
		break;
	case AGT_FX_CLOSE:
		ash_conn_close(ash, fx->close.conn);
		break;
	case AGT_FX_FORWARD:
		ash_upstream_forward(ash, fx);
		break;
	case AGT_FX_WORKER_LIST:
		ash_worker_list(ash);
		break;
	case AGT_FX_WORKER_START:
	case AGT_FX_WORKER_LEASE:
	case AGT_FX_WORKER_CHECKPOINT:
	case AGT_FX_WORKER_STOP:
	case AGT_FX_WORKER_THROTTLE:
	case AGT_FX_WORKER_FORGET:
		ash_worker_call(ash, fx);
		break;
	case AGT_FX_DRAINED:
		ash->drained = TRUE;
		ash->linger_until_ms = net_now_ms() + LINGER_MS;
		ash->exit_deadline_ms = net_now_ms() + FLUSH_TIMEOUT_MS;
		break;
	case AGT_FX_LOG:
		log_effect(fx);
		break;
	case AGT_FX_COUNT:
		obs_count(ash->metrics, fx->count.name, fx->count.labels,
			  fx->count.add);
		break;
	}
}

static void reduce(struct ash *ash, struct agt_event *event)
{
	unsigned i;

	event->now_ms = net_now_ms();
	agt_reduce(ash->agt, event, ash->effects);
	for (i = 0; i < ash->effects->len; i++)
		run_effect(ash,
			   &g_array_index(ash->effects, struct agt_effect, i));
	g_array_set_size(ash->effects, 0);
}

void ash_event(struct ash *ash, struct agt_event *event)
{
	struct agt_event next;

	if (ash->dispatching) {
		g_array_append_val(ash->pending_events, *event);
		return;
	}
	ash->dispatching = TRUE;
	reduce(ash, event);
	while (ash->pending_events->len) {
		next = g_array_index(ash->pending_events, struct agt_event, 0);
		g_array_remove_index(ash->pending_events, 0);
		reduce(ash, &next);
	}
	ash->dispatching = FALSE;
}

static void on_tick(evutil_socket_t fd G_GNUC_UNUSED, short what G_GNUC_UNUSED,
		    void *data)
{
	struct ash *ash = data;
	struct agt_event event = { .kind = AGT_EV_TICK };
	gint64 now_ms = net_now_ms();

	net_operator_tick(ash->operator_server, now_ms);
	ash_event(ash, &event);
	if (!ash->exit_deadline_ms)
		return;
	now_ms = net_now_ms();
	if (ash->drained &&
	    ((now_ms >= ash->linger_until_ms && ash_conns_flushed(ash)) ||
	     now_ms >= ash->exit_deadline_ms)) {
		g_info("drained");
		event_base_loopbreak(ash->base);
	} else if (now_ms >= ash->exit_deadline_ms) {
		g_autoptr(GString) status = g_string_new(NULL);

		agt_status_json(ash->agt, status);
		g_critical("not drained in %u ms: %s",
			   ash->settings->drain_timeout_ms, status->str);
		ash->exit_code = EXIT_CODE_FAILED;
		event_base_loopbreak(ash->base);
	}
}

static void on_signal(evutil_socket_t number G_GNUC_UNUSED,
		      short what G_GNUC_UNUSED, void *data)
{
	struct ash *ash = data;
	struct agt_event event = { .kind = AGT_EV_DRAIN };

	if (!ash->exit_deadline_ms)
		ash->exit_deadline_ms = net_now_ms() +
					ash->settings->drain_timeout_ms;
	ash_event(ash, &event);
}

static struct agt *reducer_new(const struct cfg_agent *settings)
{
	g_autofree char *boot_id = g_uuid_string_random();
	struct agt_options options = { 0 };

	options.vm = settings->vm;
	options.zone = settings->zone;
	options.rack = settings->rack;
	options.boot_id = boot_id;
	options.pools = (const char *const *)settings->pools;
	options.n_pools = settings->pools_count;
	options.slots = settings->slots;
	options.connections = settings->connections;
	options.cpu_milli = settings->cpu_milli;
	options.memory_bytes = settings->memory_bytes;
	options.accelerators = settings->accelerators;
	options.has_upstream = settings->upstream_address &&
			       *settings->upstream_address;
	options.has_worker = settings->worker_address &&
			     *settings->worker_address;
	options.entries = (const char *const *)settings->entries;
	options.n_entries = settings->entries_count;
	options.seed = g_random_int();
	return agt_new(&options);
}

static int clients_new(struct ash *ash, GError **error)
{
	const struct cfg_agent *settings = ash->settings;

	if (settings->upstream_address && *settings->upstream_address) {
		ash->upstream = ash_http_new(
			ash->base, settings->upstream_address,
			settings->connections, settings->max_body_bytes, error);
		if (!ash->upstream)
			return -1;
	}
	if (settings->worker_address && *settings->worker_address) {
		ash->worker = ash_http_new(ash->base, settings->worker_address,
					   WORKER_CONNECTIONS,
					   WORKER_MAX_BODY_BYTES, error);
		if (!ash->worker)
			return -1;
	}
	return 0;
}

int ash_run(const struct cfg_agent *settings, GError **error)
{
	static const struct net_process_limits limits;
	struct ash ash = { .settings = settings };
	int fd = ash_operator_listen(settings->operator_address, error);
	int code = -1;

	if (fd < 0)
		return -1;
	signal(SIGPIPE, SIG_IGN);
	ash.base = event_base_new();
	ash.metrics = obs_metrics_new();
	ash.account = net_process_account(&limits);
	if (ash.base)
		ash.operator_server = ash_operator_new(&ash, fd);
	if (!ash.operator_server) {
		g_set_error(error, ASH_ERROR, ASH_ERROR_EVENT_LOOP,
			    "the event loop cannot be started");
		close(fd);
		return -1;
	}
	ash.agt = reducer_new(settings);
	ash.conns = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  ash_conn_free);
	ash.pending_events = g_array_new(FALSE, FALSE,
					 sizeof(struct agt_event));
	ash.effects = agt_effects_new();
	if (!clients_new(&ash, error)) {
		g_info("agent of %s listens on %s", settings->vm,
		       settings->operator_address);
		net_loop(ash.base, TICK_MS, on_tick, on_signal, &ash);
		code = ash.exit_code;
	}
	net_operator_free(ash.operator_server);
	net_account_free(ash.account);
	g_hash_table_destroy(ash.conns);
	ash_http_free(ash.upstream);
	ash_http_free(ash.worker);
	g_array_free(ash.pending_events, TRUE);
	g_array_free(ash.effects, TRUE);
	obs_metrics_free(ash.metrics);
	agt_free(ash.agt);
	event_base_free(ash.base);
	return code;
}
