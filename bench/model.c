#include <math.h>
#include <string.h>

#include "bench/model_internal.h"

/* As in the I/O layers of entry and agent. */
#define ENTRY_TICK_US 20000
#define AGENT_TICK_US 50000

/*
 * Service time: a fixed part, an exponential part, and for a few requests a
 * further, longer exponential part, as in services with a heavy tail.
 */
#define SERVICE_FIXED_US 20000.0
#define SERVICE_MEAN_US 20000.0
#define SERVICE_TAIL_PERCENT 1.0
#define SERVICE_TAIL_US 200000.0

/* Factor on the service times of slow upstreams. */
#define SLOW_FACTOR 5

static double exponential(GRand *rand, double mean)
{
	return -mean * log(1.0 - g_rand_double(rand));
}

gint64 model_service_us(GRand *rand)
{
	double us = SERVICE_FIXED_US + exponential(rand, SERVICE_MEAN_US);
	gboolean tail = g_rand_double(rand) * 100 < SERVICE_TAIL_PERCENT;
	double more = exponential(rand, SERVICE_TAIL_US);

	return (gint64)(tail ? us + more : us);
}

double model_capacity_per_s(unsigned slots)
{
	return slots * 1e6 /
	       (SERVICE_FIXED_US + SERVICE_MEAN_US +
		SERVICE_TAIL_US * SERVICE_TAIL_PERCENT / 100);
}

static gboolean in_measurement(const struct model *m)
{
	return m->now_us >= m->start_us && m->now_us < m->end_us;
}

void model_answered(struct model *m, guint64 handle, Rp__Outcome outcome,
		    unsigned status)
{
	struct model_request *request =
		&g_array_index(m->requests, struct model_request, handle - 1);
	struct model_pool_result *result = &m->result->pools[request->pool];
	double ms = (double)(m->now_us - request->arrived_us) / 1000 +
		    2.0 * m->options->site->caller_ms;
	gboolean good = outcome == RP__OUTCOME__OUTCOME_RAN && status < 500;

	m->open--;
	request->answered = TRUE;
	if (good && in_measurement(m))
		result->ran_per_s += 1000.0 / m->options->measured_ms;
	if (!request->measured)
		return;
	if (!good)
		result->settle_ms =
			MAX(result->settle_ms,
			    (double)(request->arrived_us - m->start_us) / 1000);
	switch (outcome) {
	case RP__OUTCOME__OUTCOME_RAN:
		result->ran++;
		result->errors += !good;
		g_array_append_val(m->latencies[request->pool], ms);
		break;
	case RP__OUTCOME__OUTCOME_NOT_RUN:
		result->not_run++;
		break;
	default:
		result->unknown++;
		break;
	}
}

static void schedule_arrival(struct model *m, unsigned entry,
			     enum model_pool pool)
{
	const struct model_options *options = m->options;
	double rate = m->now_us < m->start_us ? options->warmup_rates[pool]
					      : options->rates[pool];
	gint64 wait = (gint64)exponential(m->arrivals[pool],
					  1e6 * MODEL_ENTRIES / rate);

	/* The rate changes at the start of the measurement: draw anew there. */
	if (m->now_us < m->start_us && m->now_us + wait >= m->start_us)
		wait = m->start_us - m->now_us +
		       (gint64)exponential(m->arrivals[pool],
					   1e6 * MODEL_ENTRIES /
						   options->rates[pool]);
	if (m->now_us + wait < m->end_us)
		model_schedule(m, wait, MODEL_EV_ARRIVAL, entry, pool);
}

/* Entry to which the load balancer sends a caller of this entry. */
static unsigned balance(const struct model *m, unsigned entry)
{
	for (unsigned i = 0; i < MODEL_ENTRIES; i++)
		if (!m->nodes[(entry + i) % MODEL_ENTRIES].callers_away)
			return (entry + i) % MODEL_ENTRIES;
	return entry;
}

static void arrival(struct model *m, const struct model_event *event)
{
	static const char *const targets[MODEL_POOLS] = { "/urgent", "/normal",
							  "/batch" };
	enum model_pool pool = (enum model_pool)event->arg;
	struct model_request request = { .arrived_us = m->now_us,
					 .pool = pool };
	struct ent_event ev = { .kind = ENT_EV_REQUEST };
	char id[32];

	schedule_arrival(m, event->node, pool);
	request.service_us = model_service_us(m->services[pool]);
	request.measured = in_measurement(m);
	request.entry = balance(m, event->node);
	m->result->pools[pool].sent += request.measured;
	g_array_append_val(m->requests, request);
	m->open++;
	ev.request.handle = m->requests->len;
	/* The request ID is the handle, by which agents' requests are found. */
	g_snprintf(id, sizeof(id), "%u", m->requests->len);
	ev.request.request_id = id;
	ev.request.method = "GET";
	ev.request.host = "bench";
	ev.request.target = targets[pool];
	if (m->nodes[request.entry].lost)
		/* The connection is refused. */
		model_answered(m, ev.request.handle,
			       RP__OUTCOME__OUTCOME_NOT_RUN, 0);
	else
		model_entry_apply(m, request.entry, &ev);
}

static void tick(struct model *m, unsigned node)
{
	struct ent_event to_entry = { .kind = ENT_EV_TICK };
	struct agt_event to_agent = { .kind = AGT_EV_TICK };

	if (m->nodes[node].lost)
		return;
	if (node < MODEL_ENTRIES) {
		model_entry_apply(m, node, &to_entry);
		model_schedule(m, ENTRY_TICK_US, MODEL_EV_TICK, node, 0);
	} else {
		model_agent_apply(m, node, &to_agent);
		model_schedule(m, AGENT_TICK_US, MODEL_EV_TICK, node, 0);
	}
}

static void upstream_answer(struct model *m, const struct model_event *event)
{
	struct model_node *vm = &m->nodes[event->node];
	struct agt_event ev = { .kind = AGT_EV_UPSTREAM };

	vm->running--;
	if (vm->lost)
		return;
	ev.upstream.call = event->arg;
	ev.upstream.status = event->status ? AGT_UPSTREAM_ANSWERED
					   : AGT_UPSTREAM_FAILED;
	ev.upstream.http_status = event->status;
	model_agent_apply(m, event->node, &ev);
}

/* A zone fault affects the last zone, in which there is no entry. */
static void begin_fault(struct model *m)
{
	unsigned zone = m->options->site->zones - 1;

	m->faulty = TRUE;
	for (unsigned i = MODEL_ENTRIES; i < MODEL_NODES; i++) {
		if (m->nodes[i].zone != zone)
			continue;
		if (m->options->fault == MODEL_SLOW_ZONE)
			m->nodes[i].service_factor = SLOW_FACTOR;
		if (m->options->fault == MODEL_LOST_ZONE)
			model_node_lose(m, i);
	}
	if (m->options->fault == MODEL_FAILING_VM)
		m->nodes[MODEL_ENTRIES].failing = TRUE;
	if (m->options->fault == MODEL_SLOW_VM)
		m->nodes[MODEL_ENTRIES].service_factor = SLOW_FACTOR;
	if (m->options->fault == MODEL_ENTRIES_RESTART ||
	    m->options->fault == MODEL_ENTRIES_KILLED)
		model_schedule(m, 0, MODEL_EV_RESTART, 0, MODEL_RESTART_SIGNAL);
}

static void run_event(struct model *m, const struct model_event *event)
{
	switch (event->kind) {
	case MODEL_EV_ARRIVAL:
		arrival(m, event);
		break;
	case MODEL_EV_TICK:
		tick(m, event->node);
		break;
	case MODEL_EV_CONNECTED:
		model_connected(m, event);
		break;
	case MODEL_EV_FRAME:
		model_deliver(m, event);
		break;
	case MODEL_EV_CLOSED:
		model_closed(m, event);
		break;
	case MODEL_EV_UPSTREAM:
		upstream_answer(m, event);
		break;
	case MODEL_EV_FAULT:
		begin_fault(m);
		break;
	case MODEL_EV_RESTART:
		model_restart(m, event);
		break;
	}
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double quantile(const GArray *sorted, double q)
{
	if (!sorted->len)
		return 0;
	return g_array_index(sorted, double,
			     (guint)(q * (double)(sorted->len - 1)));
}

static void summarise(struct model *m)
{
	guint64 attempts = 0;
	guint64 requests = 0;

	for (unsigned i = 0; i < MODEL_POOLS; i++) {
		struct model_pool_result *result = &m->result->pools[i];

		g_array_sort(m->latencies[i], compare_doubles);
		result->p50_ms = quantile(m->latencies[i], 0.5);
		result->p99_ms = quantile(m->latencies[i], 0.99);
		result->p999_ms = quantile(m->latencies[i], 0.999);
		g_assert(result->sent ==
			 result->ran + result->not_run + result->unknown);
	}
	for (guint i = 0; i < m->requests->len; i++) {
		const struct model_request *request =
			&g_array_index(m->requests, struct model_request, i);

		if (!request->measured || !request->attempts)
			continue;
		requests++;
		attempts += request->attempts;
	}
	m->result->attempts_per_request = (double)attempts /
					  (double)MAX(requests, 1);
	m->result->refusals_per_request = (double)m->refusals /
					  (double)MAX(requests, 1);
}

static void model_init(struct model *m, const struct model_options *options)
{
	m->start_us = options->warmup_ms * 1000LL;
	m->end_us = m->start_us + options->measured_ms * 1000LL;
	model_queue_init(&m->queue);
	m->links = g_array_new(FALSE, FALSE, sizeof(struct model_link));
	m->requests = g_array_new(FALSE, FALSE, sizeof(struct model_request));
	m->network = g_rand_new_with_seed(options->seed);
	for (unsigned i = 0; i < MODEL_POOLS; i++) {
		m->arrivals[i] = g_rand_new_with_seed(options->seed + 1 + i);
		m->services[i] = g_rand_new_with_seed(options->seed + 1 +
						      MODEL_POOLS + i);
		m->latencies[i] = g_array_new(FALSE, FALSE, sizeof(double));
	}
	model_nodes_start(m);
	for (unsigned i = 0; i < MODEL_POOLS * MODEL_ENTRIES; i++)
		/* Callers wait 1 s for entries and agents to connect. */
		model_schedule(m, 1000000, MODEL_EV_ARRIVAL, i % MODEL_ENTRIES,
			       i / MODEL_ENTRIES);
	model_schedule(m, m->start_us, MODEL_EV_FAULT, 0, 0);
}

static void model_clear(struct model *m)
{
	model_queue_clear(&m->queue);
	model_nodes_free(m);
	g_array_unref(m->links);
	g_array_unref(m->requests);
	g_rand_free(m->network);
	for (unsigned i = 0; i < MODEL_POOLS; i++) {
		g_rand_free(m->arrivals[i]);
		g_rand_free(m->services[i]);
		g_array_unref(m->latencies[i]);
	}
}

void model_run(const struct model_options *options, struct model_result *result)
{
	struct model m = { .options = options, .result = result };
	struct model_event event;

	memset(result, 0, sizeof(*result));
	model_init(&m, options);
	while (model_queue_pop(&m.queue, &event)) {
		m.now_us = event.at_us;
		run_event(&m, &event);
		if (m.now_us >= m.end_us && !m.open)
			break;
	}
	summarise(&m);
	model_clear(&m);
}
