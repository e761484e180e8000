#ifndef BENCH_COLOCATION_INTERNAL_H
#define BENCH_COLOCATION_INTERNAL_H

#include "bench/colocation.h"

/* Delay of a frame between an agent and the entry. */
#define LINK_MS 1

struct task {
	struct colocation_job *job;
	unsigned attempt;
	guint64 session;
	gint64 cpu_milli;
	gint64 memory_bytes;
	/* CPU share, 0 to 1000. */
	unsigned share_milli;
	gint64 started_ms;
	Rp__TaskState state;
	/* Has saved a checkpoint and no longer executes. */
	gboolean checkpointed;
	/* Time at full speed that is still to be repeated after a start from a
	 * checkpoint. */
	double resume_ms;
};

struct vm {
	unsigned index;
	char name[8];
	struct agt *agt;
	guint64 conn;
	GPtrArray *tasks;
	/* End of the worker's lease, until which tasks execute. */
	gint64 run_until_ms;
	/* Time up to which the tasks' progress is computed. */
	gint64 advanced_ms;
	gboolean has_service[COLOCATION_SERVICES];
};

enum event_kind {
	EV_TICK,
	EV_TO_ENTRY,
	EV_TO_AGENT,
	EV_CONNECTED,
	/* Answers of the store, of the worker (two kinds) and of a service. */
	EV_KV,
	EV_LIST,
	EV_WORKER,
	EV_ANSWER,
	/* Request to a service. */
	EV_ARRIVAL,
};

struct event {
	gint64 at_ms;
	guint64 sequence;
	enum event_kind kind;
	unsigned vm;
	unsigned service;
	/* Call that is answered. */
	guint64 id;
	struct Rp__Frame *frame;
	/* EV_KV: the call, owned. */
	struct job_effect call;
};

struct colocation {
	struct colocation_options options;
	GRand *random;
	gint64 now_ms;
	guint64 sequence;
	/* struct event, ordered by time. */
	GSequence *queue;
	struct job *job;
	GArray *job_fx;
	struct vm vms[COLOCATION_VMS];
	/* Key to struct kv_pair; owned. */
	GHashTable *store;
	gint64 revision;
	GBytes *tables_bytes;
	struct cfg_tables *tables;
	/* Job ID to struct colocation_job; owned. */
	GHashTable *jobs;
	/* Last request ID or handle of a job call. */
	guint64 last_request;
	gint64 measure_from_ms;
	/* Latencies in ms. */
	GArray *latencies;
	double work_cpu_ms;
	unsigned finished;
	unsigned overcommitted;
};

extern const char *const colocation_services[COLOCATION_SERVICES];

/* colocation.c */
struct event *colocation_post(struct colocation *c, enum event_kind kind,
			      unsigned vm, gint64 delay_ms);

/* colocation_vm.c */

/* Relative load of the VM's services. */
double colocation_load(const struct colocation *c, unsigned vm);
/* Advances the progress of the VM's tasks to the current time. */
void colocation_advance(struct colocation *c, struct vm *vm);
void colocation_feed_agent(struct colocation *c, struct vm *vm,
			   struct agt_event *event);
void colocation_feed_frame(struct colocation *c, struct vm *vm,
			   const struct Rp__Frame *frame);
/* Passes the worker's task list to the agent. */
void colocation_list(struct colocation *c, struct vm *vm);

#endif
