#include "bench/model_internal.h"

/* Interval of the load balancer's readiness checks. */
#define CHECK_US 500000
/* Default of the setting drain_grace_ms: the balancer must notice in time. */
#define GRACE_US 1000000
/* From the end of a process to its restart. */
#define DOWN_US 1000000

static void schedule_step(struct model *m, gint64 after_us, unsigned node,
			  enum model_restart next)
{
	model_schedule(m, after_us, MODEL_EV_RESTART, node, next);
}

static gboolean killed(const struct model *m)
{
	return m->options->fault == MODEL_ENTRIES_KILLED;
}

/* Callers lose the requests that the entry has not answered. */
static void lose_open_requests(struct model *m, unsigned node)
{
	for (guint i = 0; i < m->requests->len; i++) {
		const struct model_request *request =
			&g_array_index(m->requests, struct model_request, i);

		if (!request->answered && request->entry == node)
			model_answered(m, i + 1, RP__OUTCOME__OUTCOME_UNKNOWN,
				       0);
	}
}

void model_restart(struct model *m, const struct model_event *event)
{
	struct ent_event drain = { .kind = ENT_EV_DRAIN };
	unsigned node = event->node;

	switch ((enum model_restart)event->arg) {
	case MODEL_RESTART_SIGNAL:
		schedule_step(m, CHECK_US, node, MODEL_RESTART_CALLERS_LEAVE);
		if (killed(m))
			schedule_step(m, 0, node, MODEL_RESTART_EXIT);
		else
			schedule_step(m, GRACE_US, node, MODEL_RESTART_DRAIN);
		break;
	case MODEL_RESTART_CALLERS_LEAVE:
		m->nodes[node].callers_away = TRUE;
		break;
	case MODEL_RESTART_DRAIN:
		model_entry_apply(m, node, &drain);
		break;
	case MODEL_RESTART_EXIT:
		lose_open_requests(m, node);
		model_entry_exit(m, node);
		/* A killed entry stays registered until after its restart. */
		if (!killed(m))
			model_entries_registered(m);
		schedule_step(m, DOWN_US, node, MODEL_RESTART_START);
		break;
	case MODEL_RESTART_START:
		model_entry_start(m, node);
		model_entries_registered(m);
		schedule_step(m, CHECK_US, node, MODEL_RESTART_CALLERS_RETURN);
		break;
	case MODEL_RESTART_CALLERS_RETURN:
		if (!ent_ready(m->nodes[node].ent)) {
			schedule_step(m, CHECK_US, node,
				      MODEL_RESTART_CALLERS_RETURN);
			break;
		}
		m->nodes[node].callers_away = FALSE;
		m->result->restarts++;
		if (node + 1 < MODEL_ENTRIES)
			schedule_step(m, CHECK_US, node + 1,
				      MODEL_RESTART_SIGNAL);
		break;
	}
}
