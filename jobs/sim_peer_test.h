#ifndef JOBS_SIM_PEER_TEST_H
#define JOBS_SIM_PEER_TEST_H

#include "jobs/sim_store_test.h"

/* The connections between the entries of a simulation. */

static void sim_peer_push(struct sim *sim, unsigned to, unsigned from,
			  guint64 conn, struct Rp__Frame *frame)
{
	struct sim_message *message = g_new(struct sim_message, 1);

	message->conn = conn;
	message->frame = frame;
	g_queue_push_tail(&sim->peers_in[to][from], message);
}

SIM_FN void sim_peer_clear(struct sim *sim, unsigned to, unsigned from)
{
	struct sim_message *message;

	while ((message = g_queue_pop_head(&sim->peers_in[to][from]))) {
		wire_frame_free(message->frame);
		g_free(message);
	}
}

SIM_FN void sim_peer_disconnect(struct sim *sim, unsigned a, unsigned b)
{
	if (!sim->peer_conns[a][b])
		return;
	sim->peer_conns[a][b] = 0;
	sim->peer_conns[b][a] = 0;
	sim_peer_push(sim, a, b, 0, NULL);
	sim_peer_push(sim, b, a, 0, NULL);
}

SIM_FN void sim_peer_open(struct sim *sim, unsigned a, unsigned b)
{
	sim->peer_conns[a][b] = ++sim->last_conn;
	sim->peer_conns[b][a] = ++sim->last_conn;
	sim_peer_push(sim, a, b, sim->peer_conns[a][b], NULL);
	sim_peer_push(sim, b, a, sim->peer_conns[b][a], NULL);
}

/* Closes the connections of an entry whose process was replaced. */
SIM_FN void sim_peer_restart(struct sim *sim, unsigned e)
{
	unsigned i;

	for (i = 0; i < sim->n_entries; i++) {
		if (i == e || !sim->entries[i].job)
			continue;
		sim_peer_disconnect(sim, e, i);
		sim_peer_clear(sim, e, i);
	}
}

/* Opens the entry's closed connections, unless a fault keeps them closed. */
SIM_FN void sim_peer_dial(struct sim *sim, unsigned e)
{
	unsigned i;

	for (i = 0; i < sim->n_entries; i++)
		if (i != e && sim->entries[i].job && !sim->peer_conns[e][i] &&
		    sim->now >= MAX(sim->peers_disconnected_until[e][i],
				    sim->peers_disconnected_until[i][e]))
			sim_peer_open(sim, e, i);
}

/* Returns TRUE if the connection is to a peer; takes over the frame then. */
SIM_FN gboolean sim_peer_send(struct sim *sim, unsigned e, guint64 conn,
			      struct Rp__Frame *frame)
{
	unsigned i;

	for (i = 0; i < sim->n_entries; i++) {
		if (!conn || sim->peer_conns[e][i] != conn)
			continue;
		sim_peer_push(sim, i, e, sim->peer_conns[i][e], frame);
		return TRUE;
	}
	return FALSE;
}

/* Has the entry read one message of the other one; FALSE if it has none. */
SIM_FN gboolean sim_peer_read(struct sim *sim, unsigned to, unsigned from)
{
	struct sim_message *message;
	struct job_event ev = { .kind = JOB_EV_PEER };

	if (sim->now < sim->entries[to].paused_until)
		return FALSE;
	message = g_queue_pop_head(&sim->peers_in[to][from]);
	if (!message)
		return FALSE;
	ev.peer.id = sim->entries[from].id;
	ev.peer.conn = message->conn;
	ev.peer.frame = message->frame;
	if (message->frame)
		ev.kind = JOB_EV_PEER_FRAME;
	sim_feed(sim, to, &ev);
	wire_frame_free(message->frame);
	g_free(message);
	return TRUE;
}

SIM_FN gboolean sim_peers_read(struct sim *sim)
{
	gboolean busy = FALSE;
	unsigned a;
	unsigned b;

	for (a = 0; a < sim->n_entries; a++)
		for (b = 0; b < sim->n_entries; b++)
			busy |= a != b && sim_peer_read(sim, a, b);
	return busy;
}

/*
 * Starts an outage with a fence in flight: either the fence takes effect and
 * its answer comes after the outage, or it takes effect late, without answer.
 */
SIM_FN void sim_start_outage_at_fence(struct sim *sim, struct sim_call *call)
{
	const struct kv_op *op = &g_array_index(call->fx.txn.txn->ops,
						struct kv_op, 0);
	unsigned e;

	if (!g_str_has_prefix(op->key, "radishpier/fence/"))
		return;
	if (g_rand_int_range(sim->random, 0, 2)) {
		call->status = sim_txn(sim, call->fx.txn.txn);
		call->revision = sim->revision;
		call->applied = TRUE;
		call->at = sim->now + sim->outage_at_fence_ms;
	} else {
		sim->late_txns = 1;
		sim->late_ms = g_rand_int_range(sim->random, 1, 15000);
	}
	for (e = 0; e < sim->n_entries; e++)
		if (!sim->entries[e].restart_at)
			sim->entries[e].kv_down_until = sim->now +
							sim->outage_at_fence_ms;
	sim->outage_at_fence_ms = 0;
}

/* Reports the registered entries to the entry if they have changed. */
SIM_FN void sim_register(struct sim *sim, unsigned e)
{
	struct job_event ev = { .kind = JOB_EV_ENTRIES };
	const char *ids[SIM_ENTRIES];
	unsigned registered = 0;
	unsigned i;

	for (i = 0; i < sim->n_entries; i++) {
		if (sim->entries[i].restart_at)
			continue;
		registered |= 1U << i;
		ids[ev.entries.n++] = sim->entries[i].id;
	}
	if (registered == sim->entries[e].registered)
		return;
	sim->entries[e].registered = registered;
	ev.entries.ids = ids;
	sim_feed(sim, e, &ev);
}

/* Adds the statistics of the entry process to the sums. */
SIM_FN void sim_add_stats(struct sim *sim, unsigned e)
{
	struct job_stats stats;

	if (!sim->entries[e].job)
		return;
	job_stats(sim->entries[e].job, &stats);
	sim->promise_grants += stats.promise_grants;
	sim->fences += stats.fences;
}

/* Returns a random number from 0 to n - 1. */
SIM_FN gint32 sim_pick(struct sim *sim, gint32 n)
{
	return g_rand_int_range(sim->random, 0, n);
}

/*
 * Starts an outage that may be long enough for grants to need promises; for all
 * entries, or for all but one.
 */
SIM_FN void sim_start_long_outage(struct sim *sim)
{
	unsigned spared = (unsigned)sim_pick(sim, (gint32)sim->n_entries * 2);
	unsigned e;

	for (e = 0; e < sim->n_entries; e++)
		if (e != spared)
			sim->entries[e].kv_down_until = sim->now + 5000 +
							sim_pick(sim, 60000);
}

#endif
