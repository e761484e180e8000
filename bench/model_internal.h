#ifndef BENCH_MODEL_INTERNAL_H
#define BENCH_MODEL_INTERNAL_H

#include "agent/agent.h"
#include "bench/model.h"

#define MODEL_NODES (MODEL_ENTRIES + MODEL_VMS)

enum model_event_kind {
	MODEL_EV_ARRIVAL,
	MODEL_EV_TICK,
	/** The side that dialled is connected; arg is the link's index. */
	MODEL_EV_CONNECTED,
	/** A frame reaches the node; arg is the link's index. */
	MODEL_EV_FRAME,
	/** The node notices the end of a link; arg is the link's index. */
	MODEL_EV_CLOSED,
	/** The node's upstream answers; arg is the call ID. */
	MODEL_EV_UPSTREAM,
	MODEL_EV_FAULT,
	/** arg is an enum model_restart. */
	MODEL_EV_RESTART,
};

/** Steps of an entry's restart. */
enum model_restart {
	/** Stop signal; the entry is no longer ready. */
	MODEL_RESTART_SIGNAL,
	MODEL_RESTART_CALLERS_LEAVE,
	MODEL_RESTART_DRAIN,
	MODEL_RESTART_EXIT,
	MODEL_RESTART_START,
	MODEL_RESTART_CALLERS_RETURN,
};

struct model_event {
	gint64 at_us;
	/** Orders events of the same time, so that runs are reproducible. */
	guint64 order;
	enum model_event_kind kind;
	unsigned node;
	guint64 arg;
	unsigned status;
	struct Rp__Frame *frame;
};

/** Binary heap of events, ordered by time. */
struct model_queue {
	GArray *items;
	guint64 next_order;
};

void model_queue_init(struct model_queue *queue);
/** Frees the queue and the frames in it. */
void model_queue_clear(struct model_queue *queue);
void model_queue_push(struct model_queue *queue, struct model_event *event);
/** Returns FALSE if the queue is empty. */
gboolean model_queue_pop(struct model_queue *queue, struct model_event *event);

/** A connection that side 0 dialled; conn is its ID at each side. */
struct model_link {
	unsigned node[2];
	guint64 conn[2];
	/** Arrival of the last frame to each side; links keep the order. */
	gint64 last_us[2];
	gint64 delay_us;
	gboolean between_zones;
	gboolean open;
};

/** An entry, or a VM with its agent and upstream. */
struct model_node {
	struct ent *ent;
	struct agt *agt;
	char *name;
	unsigned zone;
	/** The entry or VM is down. */
	gboolean lost;
	/** The load balancer sends callers to the other entries. */
	gboolean callers_away;
	/** The upstream answers each request with status 500. */
	gboolean failing;
	/** Factor on the upstream's service times. */
	unsigned service_factor;
	/** Requests that run at the upstream. */
	unsigned running;
};

struct model_request {
	gint64 arrived_us;
	gint64 service_us;
	enum model_pool pool;
	/** Arrived during the measurement. */
	gboolean measured;
	gboolean answered;
	unsigned entry;
	unsigned attempts;
};

struct model {
	const struct model_options *options;
	struct model_result *result;
	gint64 now_us;
	gint64 start_us;
	gint64 end_us;
	struct model_queue queue;
	struct model_node nodes[MODEL_NODES];
	/** Of struct model_link. */
	GArray *links;
	/** Of struct model_request; the handle is the index + 1. */
	GArray *requests;
	GArray *latencies[MODEL_POOLS];
	GRand *arrivals[MODEL_POOLS];
	GRand *services[MODEL_POOLS];
	GRand *network;
	/* The fault has begun. */
	gboolean faulty;
	/* Requests not yet answered. */
	guint64 open;
	/* Requests that agents answered as not run, after the fault began. */
	guint64 refusals;
};

extern const char *const model_pool_names[MODEL_POOLS];

/** Creates the reducers of all nodes, and frees them. */
void model_nodes_start(struct model *m);
void model_nodes_free(struct model *m);
/** Applies an event to a node's reducer and carries out the effects. */
void model_entry_apply(struct model *m, unsigned node, struct ent_event *event);
void model_agent_apply(struct model *m, unsigned node, struct agt_event *event);
/** Draws a service time. */
gint64 model_service_us(GRand *rand);
/** Counts the answer to a request. */
void model_answered(struct model *m, guint64 handle, Rp__Outcome outcome,
		    unsigned status);
/** Adds an event this long after the current time. */
void model_schedule(struct model *m, gint64 after_us,
		    enum model_event_kind kind, unsigned node, guint64 arg);
/** Handle the events MODEL_EV_FRAME, _CONNECTED and _CLOSED. */
void model_deliver(struct model *m, const struct model_event *event);
void model_connected(struct model *m, const struct model_event *event);
void model_closed(struct model *m, const struct model_event *event);
/** Takes a VM down; entries notice it when TCP gives up the connection. */
void model_node_lose(struct model *m, unsigned node);
/** Ends an entry's process, and starts it with empty state. */
void model_entry_exit(struct model *m, unsigned node);
void model_entry_start(struct model *m, unsigned node);
/** Sends the list of registered entries to all entries. */
void model_entries_registered(struct model *m);

/** Carries out a step of an entry's restart and schedules the next. */
void model_restart(struct model *m, const struct model_event *event);

#endif
