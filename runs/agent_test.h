#ifndef RUNS_AGENT_TEST_H
#define RUNS_AGENT_TEST_H

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "runs.h"
#include "tests/fixture.h"

/* An agent's reducer; the test plays its worker and its leader. */
struct agent {
	struct runs *runs;
	gint64 now_ms;
	GArray *effects;
	/** Id of the last lease renewal in the effects that were cleared. */
	guint64 renewal;
};

static inline void clear_effects(struct agent *a)
{
	guint i;

	for (i = 0; i < a->effects->len; i++) {
		struct runs_effect *e = &g_array_index(a->effects,
						       struct runs_effect, i);

		if (e->kind == RUNS_EFFECT_CALL &&
		    e->call->kind == RUNS_CALL_RENEW_LEASE)
			a->renewal = e->call->id;
		runs_effect_clear(e);
	}
	g_array_set_size(a->effects, 0);
}

static inline void reduce(struct agent *a, struct runs_event *ev)
{
	ev->now_ms = a->now_ms;
	runs_reduce(a->runs, ev, a->effects);
}

static inline void tick(struct agent *a, gint64 ms)
{
	struct runs_event ev = { .kind = RUNS_EVENT_TICK };

	a->now_ms += ms;
	reduce(a, &ev);
}

static inline void send_worker_info(struct agent *a, guint64 worker_started_ms,
				    gboolean draining)
{
	struct Rp__WorkerInfo info;
	struct runs_event ev = { .kind = RUNS_EVENT_WORKER_INFO,
				 .worker = &info };

	rp__worker_info__init(&info);
	info.worker_id = (char *)"w1";
	info.pool = (char *)"pool";
	info.born_ms = worker_started_ms;
	info.draining = draining;
	info.sequence = (guint64)a->now_ms;
	reduce(a, &ev);
}

static inline void connect_leader(struct agent *a, guint64 fencing_token)
{
	struct runs_event ev = { .kind = RUNS_EVENT_LEADER_CONNECTED,
				 .fencing_token = fencing_token };

	reduce(a, &ev);
}

/* The last call of the kind in the effects, or NULL. */
static inline struct runs_call *call(struct agent *a, enum runs_call_kind kind)
{
	guint i;

	for (i = a->effects->len; i-- > 0;) {
		struct runs_effect *e = &g_array_index(a->effects,
						       struct runs_effect, i);

		if (e->kind == RUNS_EFFECT_CALL && e->call->kind == kind)
			return e->call;
	}
	return NULL;
}

/* The last reported outcome of a start in the effects, or NULL. */
static inline struct Rp__RunAnswer *reported_start(struct agent *a)
{
	guint i;

	for (i = a->effects->len; i-- > 0;) {
		struct runs_effect *e = &g_array_index(a->effects,
						       struct runs_effect, i);

		if (e->kind == RUNS_EFFECT_REPORT &&
		    e->frame->vm_report->n_answers)
			return e->frame->vm_report->answers[0];
	}
	return NULL;
}

static inline void answer_call(struct agent *a, guint64 id,
			       enum runs_outcome outcome, const char *reason,
			       guint64 worker_started_ms)
{
	struct runs_answer answer = {
		.call_id = id,
		.outcome = outcome,
		.reason = reason,
		.clock_ms = 5000,
		.worker_started_ms = worker_started_ms,
	};
	struct runs_event ev = { .kind = RUNS_EVENT_ANSWER, .answer = &answer };

	clear_effects(a);
	reduce(a, &ev);
}

/* Sends an order of the leader to start or stop one run. */
static inline void send_order(struct agent *a, guint64 fencing_token,
			      guint64 worker_started_ms, gboolean stop)
{
	struct Rp__VmOrders body;
	struct Rp__RunStart start;
	struct Rp__RunStart *starts[] = { &start };
	struct Rp__RunName name;
	struct Rp__RunName *stops[] = { &name };
	struct runs_event ev = { .kind = RUNS_EVENT_ORDERS, .orders = &body };

	rp__vm_orders__init(&body);
	rp__run_start__init(&start);
	rp__run_name__init(&name);
	name.task = (char *)"j.0.0.0";
	name.attempt = 1;
	start.run = &name;
	body.fence = fencing_token;
	body.worker_id = (char *)"w1";
	body.worker_born_ms = worker_started_ms;
	body.lease_until_ms = 12000;
	body.ended_through = 7;
	if (stop) {
		body.n_stops = 1;
		body.stops = stops;
	} else {
		body.n_starts = 1;
		body.starts = starts;
	}
	reduce(a, &ev);
}

static inline void setup(struct agent *a)
{
	memset(a, 0, sizeof(*a));
	a->runs = runs_new();
	a->now_ms = 1000;
	a->effects = g_array_new(FALSE, FALSE, sizeof(struct runs_effect));
	send_worker_info(a, 100, FALSE);
	connect_leader(a, 5);
	answer_call(a, call(a, RUNS_CALL_RENEW_LEASE)->id, RUNS_OK, NULL, 100);
	tick(a, 200);
}

static inline void teardown(struct agent *a)
{
	clear_effects(a);
	g_array_unref(a->effects);
	runs_free(a->runs);
}

#endif
