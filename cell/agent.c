#include "internal.h"

/* The agent: connects the reducer of runs/ to the leader and the VM's worker.
 */

struct cell_agent {
	struct cell_agent_options options;
	struct evconnlistener *listener;
	struct event *tick;
	struct cell_leader_conn leader_conn;
	struct cell_register reg;
	struct runs *runs;
	GArray *effects;
	/** reduce() is executing the effects; a nested call only appends some.
	 */
	gboolean executing;
};

static void reduce(struct cell_agent *agent, struct runs_event *ev)
{
	guint i;

	ev->now_ms = net_now_ms();
	runs_reduce(agent->runs, ev, agent->effects);
	if (agent->executing)
		return;
	agent->executing = TRUE;
	/* Executing an effect may cause an event, which appends effects. */
	for (i = 0; i < agent->effects->len; i++) {
		struct runs_effect effect =
			g_array_index(agent->effects, struct runs_effect, i);

		if (effect.kind == RUNS_EFFECT_CALL)
			agent->options.call_worker(agent->options.ctx,
						   effect.call);
		else
			cell_leader_conn_send(&agent->leader_conn,
					      effect.frame);
		runs_effect_clear(&effect);
	}
	g_array_set_size(agent->effects, 0);
	agent->executing = FALSE;
}

static void on_leader_connected(void *ctx, guint64 fencing_token)
{
	struct runs_event ev = { .kind = RUNS_EVENT_LEADER_CONNECTED,
				 .fencing_token = fencing_token };

	reduce(ctx, &ev);
}

static void on_leader_disconnected(void *ctx)
{
	struct runs_event ev = { .kind = RUNS_EVENT_LEADER_DISCONNECTED };

	reduce(ctx, &ev);
}

static void on_frame(void *ctx, const struct Rp__Frame *frame)
{
	struct runs_event ev = { .kind = RUNS_EVENT_ORDERS };

	if (frame->body_case != RP__FRAME__BODY_VM_ORDERS)
		return;
	ev.orders = frame->vm_orders;
	reduce(ctx, &ev);
}

static void on_accept(struct evconnlistener *listener G_GNUC_UNUSED,
		      evutil_socket_t fd, struct sockaddr *addr G_GNUC_UNUSED,
		      int len G_GNUC_UNUSED, void *ctx)
{
	struct cell_agent *agent = ctx;

	cell_leader_conn_accept(&agent->leader_conn, fd);
}

static void on_tick(evutil_socket_t fd G_GNUC_UNUSED, short what G_GNUC_UNUSED,
		    void *arg)
{
	struct cell_agent *agent = arg;
	struct runs_event ev = { .kind = RUNS_EVENT_TICK };
	gint64 now_ms = net_now_ms();

	cell_leader_conn_tick(&agent->leader_conn, now_ms);
	cell_register_tick(&agent->reg, now_ms,
			   agent->leader_conn.conn != NULL);
	reduce(agent, &ev);
}

struct cell_agent *cell_agent_new(const struct cell_agent_options *options,
				  GError **error)
{
	static const struct timeval interval = {
		.tv_usec = CELL_TICK_MS * 1000,
	};
	struct cell_agent *agent = g_new0(struct cell_agent, 1);

	agent->options = *options;
	agent->listener = cell_listen(options->base, options->listen, on_accept,
				      agent, error);
	if (!agent->listener) {
		g_free(agent);
		return NULL;
	}
	cell_leader_conn_init(&agent->leader_conn, options->base);
	agent->leader_conn.on_connected = on_leader_connected;
	agent->leader_conn.on_frame = on_frame;
	agent->leader_conn.on_disconnected = on_leader_disconnected;
	agent->leader_conn.ctx = agent;
	cell_register_init(&agent->reg, options->kv, options->name,
			   CELL_ROLE_AGENT, options->listen);
	agent->runs = runs_new();
	agent->effects = g_array_new(FALSE, FALSE, sizeof(struct runs_effect));
	agent->tick = event_new(options->base, -1, EV_PERSIST, on_tick, agent);
	event_add(agent->tick, &interval);
	return agent;
}

void cell_agent_free(struct cell_agent *agent)
{
	event_free(agent->tick);
	evconnlistener_free(agent->listener);
	cell_leader_conn_clear(&agent->leader_conn);
	cell_register_clear(&agent->reg);
	runs_free(agent->runs);
	g_array_unref(agent->effects);
	g_free(agent);
}

void cell_agent_set_worker(struct cell_agent *agent,
			   const struct Rp__WorkerInfo *worker)
{
	struct runs_event ev = { .kind = RUNS_EVENT_WORKER_INFO,
				 .worker = worker };

	reduce(agent, &ev);
}

void cell_agent_worker_deregistered(struct cell_agent *agent,
				    const char *worker_id, guint64 started_ms)
{
	struct runs_event ev = {
		.kind = RUNS_EVENT_WORKER_DEREGISTERED,
		.worker_id = worker_id,
		.worker_started_ms = started_ms,
	};

	reduce(agent, &ev);
}

void cell_agent_worker_answered(struct cell_agent *agent,
				const struct runs_answer *answer)
{
	struct runs_event ev = { .kind = RUNS_EVENT_ANSWER, .answer = answer };

	reduce(agent, &ev);
}
