#include <math.h>
#include <string.h>

#include "internal.h"

/*
 * In this time, the weight of an upstream that is new, or used again after an
 * ejection or draining, grows from the minimum to 1.
 */
#define SLOW_START_MS 10000
#define SLOW_START_MIN_WEIGHT 0.1

/* After each such period, the slots reported in use by others count half. */
#define REPORT_HALF_LIFE_MS 2000

/* The measured latency of a member decays to the pool's average. */
#define LATENCY_HALF_LIFE_MS 5000.0
/* Weight of a new value in the moving average. */
#define LATENCY_WEIGHT 0.2

/* Least latency assumed: an answer within 1 ms is measured as 0 ms. */
#define LATENCY_MIN_MS 0.5

/* Assumed round trip to another zone, until an answer has been measured. */
#define OTHER_ZONE_RTT_MS 8.0

/* Consecutive failures that eject an upstream, and for how long at first. */
#define EJECT_FAILURES 5
#define EJECT_MS 5000
#define EJECT_MAX_DOUBLINGS 5

/*
 * If the oldest attempt of an agent was cancelled and has no reply after this
 * time, the connection to the agent is closed.
 */
#define CANCELLED_TIMEOUT_MS 10000

#define MAX_POOLS_PER_AGENT 64

/*
 * When a zone fails, two candidates are often both slow or almost full. Four
 * usually include a better one, at a cost independent of the pool's size.
 */
#define CANDIDATES 4

/*
 * The known state of an agent is a round trip old, so its last free slot is
 * often taken by another entry's request before this one's arrives.
 */
#define LAST_SLOT_WEIGHT 0.25

/*
 * After a refusal, the agent's next report follows within 1 s and a reply often
 * sooner. The back-off prevents queued requests from being sent there again at
 * once, which would also use up the refusals that each of them may have.
 */
#define REFUSAL_BACKOFF_MS 100

/* Exchanges the positions of the member and of the one at to. */
static void member_swap(struct member *member, unsigned to)
{
	GPtrArray *members = member->pool->members;
	struct member *other = members->pdata[to];

	members->pdata[member->pos] = other;
	other->pos = member->pos;
	members->pdata[to] = member;
	member->pos = to;
}

static void member_set_available(struct member *member, gboolean available)
{
	struct pool *pool = member->pool;

	if (available == (member->pos < pool->n_available))
		return;
	if (available)
		member_swap(member, pool->n_available++);
	else
		member_swap(member, --pool->n_available);
}

unsigned ent_agent_others_in_use(const struct ent *ent,
				 const struct agent *agent)
{
	gint64 age = (ent->now_ms - agent->others_updated_ms) /
		     REPORT_HALF_LIFE_MS;

	return age > 31 ? 0 : agent->others_in_use >> age;
}

/* The pool's guarantee in slots of this agent, rounded up. */
static unsigned guaranteed_slots(const struct member *member)
{
	const struct pool *pool = member->pool;
	guint64 slots = (guint64)pool->guaranteed * member->agent->slots;

	if (!pool->configured || !pool->fleet_slots)
		return 0;
	slots = (slots + pool->fleet_slots - 1) / pool->fleet_slots;
	return (unsigned)MIN(slots, member->agent->slots);
}

static unsigned unused_guarantee(const struct member *member)
{
	unsigned guaranteed = guaranteed_slots(member);
	unsigned used = member->in_flight + member->others_in_use;

	return guaranteed > used ? guaranteed - used : 0;
}

/*
 * Requests that the agent would still admit for this pool, by the agent's own
 * rule: up to the pool's unused guarantee, or to the slots not reserved for
 * other pools if that is more. unused: slots of the agent that are not in use;
 * reserved: unused guarantees of all its pools, this one included.
 */
static unsigned free_slots(const struct ent *ent, const struct member *member,
			   unsigned unused, unsigned reserved)
{
	unsigned own;

	if (ent->no_limits)
		return unused;
	own = unused_guarantee(member);
	reserved -= own;
	return MIN(unused, MAX(own, unused > reserved ? unused - reserved : 0));
}

void ent_agent_update_free_slots(struct ent *ent, struct agent *agent)
{
	unsigned used = agent->in_flight + ent_agent_others_in_use(ent, agent);
	unsigned unused = agent->slots > used ? agent->slots - used : 0;
	gboolean out = ent_agent_out_of_service(agent);
	unsigned reserved = 0;

	for (unsigned i = 0; i < agent->members->len; i++)
		reserved += unused_guarantee(agent->members->pdata[i]);
	for (unsigned i = 0; i < agent->members->len; i++) {
		struct member *member = agent->members->pdata[i];

		member->free_slots = free_slots(ent, member, unused, reserved);
		member_set_available(member, member->free_slots && !out &&
						     !member->ejected &&
						     !member->backoff_until_ms);
	}
}

static void member_end_ejection(struct ent *ent, struct member *member)
{
	if (!member->ejected)
		return;
	member->ejected = FALSE;
	member->pool->n_ejected--;
	/* One more failure ejects it again; an answer clears the count. */
	member->consecutive_failures = EJECT_FAILURES - 1;
	member->slow_start_begin_ms = ent->now_ms;
}

/* Ends ejections until at most half of the pool is ejected. */
static void pool_bound_ejections(struct ent *ent, struct pool *pool)
{
	while (pool->n_ejected > ent_pool_members_in_service(pool) / 2) {
		struct member *first = NULL;

		for (unsigned i = 0; i < pool->members->len; i++) {
			struct member *member = pool->members->pdata[i];

			if (member->ejected &&
			    (!first || member->ejected_until_ms <
					       first->ejected_until_ms))
				first = member;
		}
		g_assert(first);
		member_end_ejection(ent, first);
		ent_agent_update_free_slots(ent, first->agent);
	}
}

static void member_new(struct ent *ent, struct agent *agent, const char *name,
		       unsigned index)
{
	struct member *member = g_new0(struct member, 1);
	struct pool *pool = ent_pool_get(ent, name);

	member->agent = agent;
	member->pool = pool;
	member->index = index;
	member->pos = pool->members->len;
	member->slow_start_begin_ms = ent->now_ms;
	g_ptr_array_add(pool->members, member);
	g_ptr_array_add(agent->members, member);
	pool->fleet_slots += agent->slots;
	pool->slots_changed = TRUE;
	pool->members_changed_ms = ent->now_ms;
}

static void member_free(struct ent *ent, struct member *member)
{
	struct pool *pool = member->pool;

	member_end_ejection(ent, member);
	if (member->backoff_until_ms)
		g_ptr_array_remove_fast(ent->backed_off, member);
	member_set_available(member, FALSE);
	member_swap(member, pool->members->len - 1);
	g_ptr_array_set_size(pool->members, (int)pool->members->len - 1);
	if (member->agent->draining)
		pool->n_draining--;
	else if (member->agent->evacuated)
		pool->n_evacuated--;
	else
		pool->fleet_slots -= member->agent->slots;
	pool->slots_changed = TRUE;
	pool->members_changed_ms = ent->now_ms;
	g_free(member);
}

/*
 * The caller must have set the agent draining: that ends the ejections that are
 * too many for the rest of each pool.
 */
void ent_agent_free(struct ent *ent, struct agent *agent)
{
	g_assert(!agent->oldest_attempt);
	g_assert(agent->draining);
	for (unsigned i = 0; i < agent->members->len; i++)
		member_free(ent, agent->members->pdata[i]);
	g_hash_table_remove(ent->agents, agent->vm);
	g_ptr_array_unref(agent->members);
	g_free(agent->vm);
	g_free(agent->boot_id);
	g_free(agent->zone);
	g_free(agent);
}

static gboolean has_pool(const struct agent *agent, const char *name)
{
	for (unsigned i = 0; i < agent->members->len; i++) {
		const struct member *member = agent->members->pdata[i];

		if (!strcmp(member->pool->name, name))
			return TRUE;
	}
	return FALSE;
}

static struct agent *agent_new(struct ent *ent, struct conn *conn,
			       const struct Rp__Hello *hello)
{
	struct agent *agent = g_new0(struct agent, 1);

	agent->conn = conn;
	agent->vm = g_strdup(hello->vm);
	agent->boot_id = g_strdup(hello->agent_boot_id);
	agent->zone = g_strdup(hello->zone);
	agent->slots = hello->slots;
	agent->others_updated_ms = ent->now_ms;
	agent->tables_generation = hello->tables_generation;
	agent->members = g_ptr_array_new();
	/* A VM without slots runs only jobs and is no upstream. */
	for (size_t i = 0; i < MIN(hello->n_pools, MAX_POOLS_PER_AGENT); i++)
		if (agent->slots && !has_pool(agent, hello->pools[i]))
			member_new(ent, agent, hello->pools[i], (unsigned)i);
	g_hash_table_insert(ent->agents, agent->vm, agent);
	conn->agent = agent;
	return agent;
}

static void welcome_send(struct ent *ent, struct conn *conn)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_WELCOME);
	struct Rp__Welcome *welcome = frame->welcome;

	wire_set_string(&welcome->entry_id, ent->id);
	welcome->tables_generation = ent_tables_generation(ent);
	welcome->n_entry_addresses = ent->entry_addresses->len;
	welcome->entry_addresses = g_new0(char *, ent->entry_addresses->len);
	for (unsigned i = 0; i < ent->entry_addresses->len; i++)
		welcome->entry_addresses[i] =
			g_strdup(ent->entry_addresses->pdata[i]);
	ent_maybe_running_report(ent, conn->agent, welcome);
	ent_fx_send(ent, conn->id, frame);
}

void ent_agent_hello(struct ent *ent, struct conn *conn,
		     const struct Rp__Hello *hello)
{
	struct agent *old = g_hash_table_lookup(ent->agents, hello->vm);

	if (old && old->conn == conn &&
	    !strcmp(old->boot_id, hello->agent_boot_id)) {
		old->tables_generation = hello->tables_generation;
		ent_agent_set_draining(ent, old, hello->draining);
		ent_tables_send_if_newer(ent, conn, hello->tables_generation);
		return;
	}
	if (!*hello->vm || conn->agent) {
		ent_conn_protocol_error(ent, conn, "Hello of VM \"%s\"",
					hello->vm);
		return;
	}
	if (old) {
		if (strcmp(old->boot_id, hello->agent_boot_id) != 0)
			ent_fx_log(ent, G_LOG_LEVEL_WARNING, NULL,
				   "another agent process of VM %s was still "
				   "connected; its connection is closed",
				   hello->vm);
		/* The agent has closed it, but that was not seen here yet. */
		ent_conn_close(ent, old->conn);
	}
	agent_new(ent, conn, hello);
	conn->accepts_deltas = hello->accepts_deltas;
	ent_agent_set_draining(ent, conn->agent, hello->draining);
	ent_agent_set_evacuated(ent, conn->agent,
				ent_zone_evacuated(ent, conn->agent->zone));
	ent_agent_update_free_slots(ent, conn->agent);
	welcome_send(ent, conn);
	ent_evacuation_send(ent, conn);
	ent_tables_send_if_newer(ent, conn, hello->tables_generation);
	ent_fleet_info_send(ent, conn->agent);
	ent_fx_log(ent, G_LOG_LEVEL_INFO, NULL,
		   "agent of VM %s connected: zone %s, %u slots, %u pools",
		   hello->vm, hello->zone, hello->slots,
		   conn->agent->members->len);
}

gboolean ent_agent_out_of_service(const struct agent *agent)
{
	return agent->draining || agent->evacuated;
}

/* Takes the member out of service, or returns it. */
static void member_set_out_of_service(struct ent *ent, struct member *member,
				      gboolean out)
{
	struct pool *pool = member->pool;

	member_end_ejection(ent, member);
	pool->slots_changed = TRUE;
	pool->members_changed_ms = ent->now_ms;
	if (out) {
		pool->fleet_slots -= member->agent->slots;
	} else {
		pool->fleet_slots += member->agent->slots;
		member->slow_start_begin_ms = ent->now_ms;
	}
	pool_bound_ejections(ent, pool);
}

static void agent_set_state(struct ent *ent, struct agent *agent,
			    gboolean draining, gboolean evacuated)
{
	gboolean was_out = ent_agent_out_of_service(agent);
	gboolean was_draining = agent->draining;
	gboolean was_evacuated = agent->evacuated && !agent->draining;

	if (draining == agent->draining && evacuated == agent->evacuated)
		return;
	agent->draining = draining;
	agent->evacuated = evacuated;
	for (unsigned i = 0; i < agent->members->len; i++) {
		struct member *member = agent->members->pdata[i];
		struct pool *pool = member->pool;

		pool->n_draining += (unsigned)(draining - was_draining);
		pool->n_evacuated +=
			(unsigned)((evacuated && !draining) - was_evacuated);
		if (draining && !was_out)
			pool->member_lost_ms = ent->now_ms;
		if (was_out != ent_agent_out_of_service(agent))
			member_set_out_of_service(ent, member, !was_out);
	}
	ent_agent_update_free_slots(ent, agent);
}

void ent_agent_set_draining(struct ent *ent, struct agent *agent,
			    gboolean draining)
{
	agent_set_state(ent, agent, !!draining, agent->evacuated);
}

void ent_agent_set_evacuated(struct ent *ent, struct agent *agent,
			     gboolean evacuated)
{
	agent_set_state(ent, agent, agent->draining, !!evacuated);
}

void ent_member_back_off(struct ent *ent, struct member *member)
{
	if (!member->backoff_until_ms)
		g_ptr_array_add(ent->backed_off, member);
	member->backoff_until_ms = ent->now_ms + REFUSAL_BACKOFF_MS;
	ent_agent_update_free_slots(ent, member->agent);
}

void ent_agent_end_backoffs(struct ent *ent, struct agent *agent)
{
	for (unsigned i = 0; i < agent->members->len; i++) {
		struct member *member = agent->members->pdata[i];

		if (!member->backoff_until_ms)
			continue;
		member->backoff_until_ms = 0;
		g_ptr_array_remove_fast(ent->backed_off, member);
	}
}

void ent_members_end_backoffs(struct ent *ent)
{
	for (unsigned i = ent->backed_off->len; i-- > 0;) {
		struct member *member = ent->backed_off->pdata[i];

		if (ent->now_ms < member->backoff_until_ms)
			continue;
		member->backoff_until_ms = 0;
		g_ptr_array_remove_index_fast(ent->backed_off, i);
		ent_agent_update_free_slots(ent, member->agent);
	}
}

static void set_others_in_use(struct ent *ent, struct agent *agent,
			      unsigned others)
{
	agent->others_in_use = others;
	agent->others_updated_ms = ent->now_ms;
	ent_agent_update_free_slots(ent, agent);
}

void ent_agent_set_others_in_use(struct ent *ent, struct agent *agent,
				 const uint32_t *others, size_t n)
{
	unsigned sum = 0;

	if (!n)
		return;
	for (size_t i = 0; i < n; i++)
		sum += others[i];
	for (unsigned i = 0; i < agent->members->len; i++) {
		struct member *member = agent->members->pdata[i];

		if (member->index < n)
			member->others_in_use = others[member->index];
	}
	set_others_in_use(ent, agent, sum);
}

void ent_agent_report(struct ent *ent, struct agent *agent,
		      const struct Rp__Report *report)
{
	for (size_t i = 0; i < report->n_pools; i++) {
		const struct Rp__PoolLoad *load = report->pools[i];

		for (unsigned k = 0; k < agent->members->len; k++) {
			struct member *member = agent->members->pdata[k];

			if (strcmp(member->pool->name, load->pool) != 0)
				continue;
			member->reported_latency_ms = load->latency_us / 1000.0;
			member->others_in_use =
				load->in_flight > member->in_flight
					? load->in_flight - member->in_flight
					: 0;
		}
	}
	ent_agent_end_backoffs(ent, agent);
	agent->tables_generation = report->tables_generation;
	ent_agent_set_draining(ent, agent, report->draining);
	set_others_in_use(ent, agent,
			  report->slots_in_use > agent->in_flight
				  ? report->slots_in_use - agent->in_flight
				  : 0);
}

static double expected_latency(const struct ent *ent,
			       const struct member *member)
{
	double average = member->pool->latency_ms;
	gboolean same_zone = !strcmp(member->agent->zone, ent->zone);
	double ms = average;
	double decay;

	if (member->latency_ms <= 0) {
		if (member->reported_latency_ms > 0)
			ms = member->reported_latency_ms;
		return MAX(ms, LATENCY_MIN_MS) +
		       (same_zone ? 0 : OTHER_ZONE_RTT_MS);
	}
	decay = exp2(-(double)(ent->now_ms - member->latency_updated_ms) /
		     LATENCY_HALF_LIFE_MS);
	ms = average + (member->latency_ms - average) * decay;
	return MAX(ms, LATENCY_MIN_MS);
}

/* Load-balancing score; lower is better. */
static double member_score(const struct ent *ent, const struct member *member)
{
	const struct agent *agent = member->agent;
	double load = agent->in_flight + ent_agent_others_in_use(ent, agent) +
		      1;
	gint64 age = ent->now_ms - member->slow_start_begin_ms;
	double weight = 1;

	if (ent->lb_policy != ENT_LB_LOAD_LATENCY)
		return load;
	if (member->free_slots == 1)
		weight = LAST_SLOT_WEIGHT;
	if (age < SLOW_START_MS)
		weight *= SLOW_START_MIN_WEIGHT + (1 - SLOW_START_MIN_WEIGHT) *
							  (double)age /
							  SLOW_START_MS;
	return load * expected_latency(ent, member) / weight;
}

/*
 * Returns a random available member other than exclude and that of connection
 * avoid_conn. If three tries find none: NULL if exclude is given, else any
 * available member. The pool must have one.
 */
static struct member *random_member(struct ent *ent, struct pool *pool,
				    const struct member *exclude,
				    guint64 avoid_conn)
{
	unsigned n = pool->n_available;
	unsigned i = (unsigned)g_rand_int_range(ent->random, 0, (gint32)n);

	for (unsigned tries = 0; tries < MIN(n, 3); tries++) {
		struct member *member = pool->members->pdata[(i + tries) % n];

		if (member != exclude && member->agent->conn->id != avoid_conn)
			return member;
	}
	return exclude ? NULL : pool->members->pdata[i];
}

static struct member *choose_best(struct ent *ent, struct pool *pool,
				  guint64 avoid_conn, unsigned candidates)
{
	struct member *best = random_member(ent, pool, NULL, avoid_conn);

	for (unsigned i = 1; i < candidates; i++) {
		struct member *next = random_member(ent, pool, best,
						    avoid_conn);

		if (next && member_score(ent, next) < member_score(ent, best))
			best = next;
	}
	return best;
}

static struct member *choose_least_loaded(struct ent *ent, struct pool *pool)
{
	struct member *best = pool->members->pdata[0];

	for (unsigned i = 1; i < pool->n_available; i++) {
		struct member *member = pool->members->pdata[i];

		if (member_score(ent, member) < member_score(ent, best))
			best = member;
	}
	return best;
}

struct member *ent_upstream_choose(struct ent *ent, struct pool *pool,
				   guint64 avoid_conn)
{
	if (!pool->n_available)
		return NULL;
	switch (ent->lb_policy) {
	case ENT_LB_RANDOM:
		return random_member(ent, pool, NULL, avoid_conn);
	case ENT_LB_ROUND_ROBIN:
		return pool->members
			->pdata[pool->next_member++ % pool->n_available];
	case ENT_LB_LEAST_CONNECTIONS:
		return choose_least_loaded(ent, pool);
	case ENT_LB_POWER_OF_TWO:
		return choose_best(ent, pool, avoid_conn, 2);
	default:
		return choose_best(ent, pool, avoid_conn, CANDIDATES);
	}
}

struct attempt *ent_attempt_new(struct ent *ent, struct member *member,
				struct request *request)
{
	struct attempt *attempt = g_new0(struct attempt, 1);
	struct agent *agent = member->agent;

	g_assert(agent->in_flight < agent->slots);
	attempt->id = ++ent->next_attempt;
	attempt->request = request;
	attempt->member = member;
	attempt->sent_ms = ent->now_ms;
	attempt->deadline_ms = request->deadline_ms;
	attempt->prev = agent->newest_attempt;
	if (agent->newest_attempt)
		agent->newest_attempt->next = attempt;
	else
		agent->oldest_attempt = attempt;
	agent->newest_attempt = attempt;
	agent->in_flight++;
	member->in_flight++;
	member->pool->in_flight++;
	g_hash_table_insert(ent->attempts, &attempt->id, attempt);
	ent_agent_update_free_slots(ent, agent);
	return attempt;
}

void ent_attempt_end(struct ent *ent, struct attempt *attempt)
{
	struct member *member = attempt->member;
	struct agent *agent = member->agent;

	if (attempt->prev)
		attempt->prev->next = attempt->next;
	else
		agent->oldest_attempt = attempt->next;
	if (attempt->next)
		attempt->next->prev = attempt->prev;
	else
		agent->newest_attempt = attempt->prev;
	agent->in_flight--;
	member->in_flight--;
	member->pool->in_flight--;
	if (attempt->request)
		ent_request_unlink_attempt(attempt->request, attempt);
	g_hash_table_remove(ent->attempts, &attempt->id);
	g_free(attempt);
	ent_agent_update_free_slots(ent, agent);
}

void ent_member_answered(struct ent *ent, struct member *member, double ms)
{
	member->consecutive_failures = 0;
	/* After the slow start, the next ejection is as short as the first. */
	if (ent->now_ms - member->ejected_until_ms > SLOW_START_MS)
		member->ejections = 0;
	if (member->latency_ms > 0)
		member->latency_ms += (ms - member->latency_ms) *
				      LATENCY_WEIGHT;
	else
		member->latency_ms = MAX(ms, LATENCY_MIN_MS);
	member->latency_updated_ms = ent->now_ms;
}

void ent_member_failed(struct ent *ent, struct member *member)
{
	struct pool *pool = member->pool;
	unsigned active = ent_pool_members_in_service(pool);

	member->consecutive_failures++;
	if (member->consecutive_failures < EJECT_FAILURES || member->ejected ||
	    ent->no_ejections || ent_agent_out_of_service(member->agent) ||
	    pool->n_ejected + 1 > active / 2)
		return;
	member->ejected = TRUE;
	pool->n_ejected++;
	member->ejected_until_ms = ent->now_ms +
				   (EJECT_MS << member->ejections);
	member->ejections = MIN(member->ejections + 1, EJECT_MAX_DOUBLINGS);
	ent_agent_update_free_slots(ent, member->agent);
	ent_fx_count(ent, "radishpier_ejections_total",
		     g_strdup_printf("pool=\"%s\"", pool->name));
	ent_fx_log(ent, G_LOG_LEVEL_WARNING, NULL,
		   "VM %s ejected from pool %s after %u failures in a row",
		   member->agent->vm, pool->name, member->consecutive_failures);
}

static void agent_scan(struct ent *ent, struct agent *agent)
{
	for (unsigned i = 0; i < agent->members->len; i++) {
		struct member *member = agent->members->pdata[i];

		if (member->ejected && ent->now_ms >= member->ejected_until_ms)
			member_end_ejection(ent, member);
	}
	ent_agent_update_free_slots(ent, agent);
}

static gboolean agent_unresponsive(const struct ent *ent,
				   const struct agent *agent)
{
	const struct attempt *first = agent->oldest_attempt;

	return first && first->cancelled_ms &&
	       ent->now_ms - first->cancelled_ms > CANCELLED_TIMEOUT_MS;
}

void ent_upstreams_scan(struct ent *ent)
{
	GPtrArray *unresponsive = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ent->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		agent_scan(ent, value);
		if (agent_unresponsive(ent, value))
			g_ptr_array_add(unresponsive, value);
	}
	for (unsigned i = 0; i < unresponsive->len; i++) {
		struct agent *agent = unresponsive->pdata[i];

		ent_fx_log(ent, G_LOG_LEVEL_WARNING, NULL,
			   "agent of VM %s did not answer a cancelled request, "
			   "closing its connection",
			   agent->vm);
		ent_conn_close(ent, agent->conn);
	}
	g_ptr_array_unref(unresponsive);
}

void ent_fleet_info_send(struct ent *ent, struct agent *agent)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_FLEET_INFO);
	struct Rp__FleetInfo *info = frame->fleet_info;

	info->n_pools = agent->members->len;
	info->pools = g_new0(Rp__PoolLoad *, info->n_pools);
	for (unsigned i = 0; i < agent->members->len; i++) {
		const struct member *member = agent->members->pdata[i];
		Rp__PoolLoad *load = g_new(Rp__PoolLoad, 1);

		rp__pool_load__init(load);
		wire_set_string(&load->pool, member->pool->name);
		load->fleet_slots = (guint32)member->pool->fleet_slots;
		info->pools[i] = load;
	}
	info->n_entry_addresses = ent->entry_addresses->len;
	info->entry_addresses = g_new0(char *, info->n_entry_addresses);
	for (unsigned i = 0; i < info->n_entry_addresses; i++)
		info->entry_addresses[i] =
			g_strdup(ent->entry_addresses->pdata[i]);
	ent_fx_send(ent, agent->conn->id, frame);
}
