#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"
#include "tests/fixture.h"

/*
 * Applies random events to the reducer and checks its effects against a model
 * of callers and agents. The environment variables ENT_TEST_SEED and
 * ENT_TEST_EVENTS set the seed and the number of events.
 */

#define AGENTS 6
#define SLOTS 3
#define EVENTS 300000
#define STATUS_EVERY 500

enum path {
	PATH_ONCE,
	PATH_GET,
	PATH_SLOW,
	PATH_KEYED,
	PATHS
};

static const char *const paths[] = { "/once", "/get", "/slow", "/keyed" };

/* A caller's request, from submission to the answer. */
struct caller {
	guint64 handle;
	enum path path;
	gboolean claim_asked;
	gboolean claimed;
	/* The claim of the key is or may be written. */
	gboolean maybe_written;
	gboolean released;
	/* Attempts that ran, may have run or may still run. */
	unsigned possible_runs;
	gboolean sent;
	gboolean answered_not_run;
};

/* A request attempt that an agent received. */
struct work {
	guint64 id;
	guint64 handle;
	unsigned agent;
	guint64 conn;
};

struct model {
	struct ent *ent;
	GRand *random;
	GArray *effects;
	gint64 now;
	guint64 next_handle;
	guint64 next_conn;
	/* Handle to struct caller; callers without an answer. */
	GHashTable *callers;
	/* Handle to struct caller; ended callers for which a claim was sent. */
	GHashTable *ended;
	/* Handles of the callers without an answer, unordered. */
	GArray *open;
	/* Handles of the callers whose claim has no result yet. */
	GArray *claims;
	/* Of struct work without a reply. */
	GArray *work;
	/* Some attempts with a reply, which is sent again. */
	struct work replied[16];
	guint64 conns[AGENTS];
	unsigned in_flight[AGENTS];
	gboolean draining[AGENTS];
	/* Zones of odd and of even agents. */
	gboolean evacuated[2];
	guint64 evacuations;
	guint64 answers;
	guint64 sends;
	guint64 hedges;
};

static unsigned pick(struct model *m, unsigned n)
{
	return (unsigned)g_rand_int_range(m->random, 0, (gint32)n);
}

static struct caller *caller(struct model *m, guint64 handle)
{
	return g_hash_table_lookup(m->callers, &handle);
}

static struct caller *any_caller(struct model *m, guint64 handle)
{
	struct caller *found = caller(m, handle);

	return found ? found : g_hash_table_lookup(m->ended, &handle);
}

static void check_send(struct model *m, guint64 conn,
		       const struct Rp__Request *request)
{
	guint64 handle = g_ascii_strtoull(request->request_id, NULL, 10);
	struct caller *from = caller(m, handle);
	struct work work = { request->id, handle, 0, conn };

	ck_assert_ptr_nonnull(from);
	while (work.agent < AGENTS && m->conns[work.agent] != conn)
		work.agent++;
	ck_assert_uint_lt(work.agent, AGENTS);
	ck_assert(!m->draining[work.agent]);
	ck_assert(!m->evacuated[work.agent % 2]);
	ck_assert_uint_lt(m->in_flight[work.agent], SLOTS);
	ck_assert_uint_gt(request->timeout_ms, 0);
	ck_assert_str_eq(request->target, paths[from->path]);
	if (from->path != PATH_GET)
		ck_assert_uint_eq(from->possible_runs, 0);
	if (from->path == PATH_KEYED)
		ck_assert(from->claimed);
	m->hedges += from->possible_runs > 0;
	from->possible_runs++;
	from->sent = TRUE;
	m->in_flight[work.agent]++;
	m->sends++;
	g_array_append_val(m->work, work);
}

static void caller_end(struct model *m, guint64 handle)
{
	struct caller *end = caller(m, handle);

	g_hash_table_steal(m->callers, &handle);
	if (end->claim_asked)
		g_hash_table_insert(m->ended, &end->handle, end);
	else
		g_free(end);
	for (unsigned i = 0; i < m->open->len; i++) {
		if (g_array_index(m->open, guint64, i) != handle)
			continue;
		g_array_remove_index_fast(m->open, i);
		return;
	}
	ck_abort_msg("caller is not open");
}

static void check_answer(struct model *m, const struct ent_effect *effect)
{
	guint64 handle = effect->answer.handle;
	struct caller *to = caller(m, handle);
	char body[32];

	/* A second answer would find no caller. */
	ck_assert_ptr_nonnull(to);
	to->answered_not_run = effect->answer.outcome ==
			       RP__OUTCOME__OUTCOME_NOT_RUN;
	if (to->answered_not_run)
		ck_assert_uint_eq(to->possible_runs, 0);
	if (effect->answer.outcome == RP__OUTCOME__OUTCOME_RAN) {
		const struct Rp__Reply *reply = effect->answer.reply->reply;

		g_snprintf(body, sizeof(body), "%" G_GUINT64_FORMAT, handle);
		ck_assert_uint_eq(reply->body.len, strlen(body));
		ck_assert_mem_eq(reply->body.data, body, strlen(body));
	}
	m->answers++;
	caller_end(m, handle);
}

static void check_release(struct model *m, const struct ent_effect *effect)
{
	guint64 handle = g_ascii_strtoull(effect->claim.key, NULL, 10);
	struct caller *from = any_caller(m, handle);

	ck_assert_ptr_nonnull(from);
	ck_assert_str_eq(effect->claim.owner, effect->claim.key);
	ck_assert(from->maybe_written);
	ck_assert(!from->released);
	ck_assert_uint_eq(from->possible_runs, 0);
	from->released = TRUE;
}

static void check_effect(struct model *m, const struct ent_effect *effect)
{
	struct caller *to;

	switch (effect->kind) {
	case ENT_FX_SEND:
		if (effect->send.frame->body_case == RP__FRAME__BODY_REQUEST)
			check_send(m, effect->send.conn,
				   effect->send.frame->request);
		break;
	case ENT_FX_ANSWER:
		check_answer(m, effect);
		break;
	case ENT_FX_CLAIM_KEY:
		to = caller(m, effect->claim.handle);
		ck_assert_ptr_nonnull(to);
		ck_assert(!to->claim_asked);
		to->claim_asked = TRUE;
		g_array_append_val(m->claims, effect->claim.handle);
		break;
	case ENT_FX_RELEASE_KEY:
		check_release(m, effect);
		break;
	case ENT_FX_CLOSE:
		for (unsigned i = 0; i < AGENTS; i++) {
			if (m->conns[i] != effect->close.conn)
				continue;
			m->conns[i] = 0;
			m->in_flight[i] = 0;
		}
		break;
	default:
		break;
	}
}

static void apply(struct model *m, struct ent_event *event)
{
	event->now_ms = m->now;
	ent_reduce(m->ent, event, m->effects);
	for (unsigned i = 0; i < m->effects->len; i++)
		check_effect(m,
			     &g_array_index(m->effects, struct ent_effect, i));
	g_array_set_size(m->effects, 0);
}

static void frame_in(struct model *m, guint64 conn, struct Rp__Frame *frame)
{
	struct ent_event event = { .kind = ENT_EV_FRAME };

	event.frame.conn = conn;
	event.frame.frame = frame;
	apply(m, &event);
	wire_frame_free((struct Rp__Frame *)event.frame.frame);
}

static void do_request(struct model *m)
{
	struct ent_event event = { .kind = ENT_EV_REQUEST };
	struct caller *from = g_new0(struct caller, 1);
	char id[32];

	from->handle = ++m->next_handle;
	from->path = pick(m, PATHS);
	g_hash_table_insert(m->callers, &from->handle, from);
	g_array_append_val(m->open, from->handle);
	g_snprintf(id, sizeof(id), "%" G_GUINT64_FORMAT, from->handle);
	event.request.handle = from->handle;
	event.request.request_id = id;
	event.request.method = "POST";
	event.request.target = paths[from->path];
	event.request.timeout_ms = 1 + pick(m, 400);
	event.request.idempotency_key = id;
	apply(m, &event);
}

static void do_disconnect(struct model *m)
{
	struct ent_event event = { .kind = ENT_EV_CALLER_DISCONNECTED };

	if (!m->open->len)
		return;
	event.disconnected.handle = g_array_index(m->open, guint64,
						  pick(m, m->open->len));
	/* A repeated event must have no effect. */
	apply(m, &event);
	apply(m, &event);
	caller_end(m, event.disconnected.handle);
}

static void send_reply(struct model *m, const struct work *work,
		       Rp__Outcome outcome, Rp__Reason reason)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REPLY);
	char body[32];

	g_snprintf(body, sizeof(body), "%" G_GUINT64_FORMAT, work->handle);
	frame->reply->id = work->id;
	frame->reply->outcome = outcome;
	frame->reply->reason = reason;
	frame->reply->status = pick(m, 10) ? 200 : 503;
	frame->reply->n_others_in_use = pick(m, 4);
	frame->reply->others_in_use = g_new0(uint32_t, 4);
	for (size_t i = 0; i < frame->reply->n_others_in_use; i++)
		frame->reply->others_in_use[i] = pick(m, SLOTS);
	wire_set_bytes(&frame->reply->body, body, strlen(body));
	frame_in(m, work->conn, frame);
}

/* The agent of a random attempt replies, in any order. */
static void do_reply(struct model *m)
{
	static const Rp__Reason reasons[] = {
		RP__REASON__REASON_NO_SLOT,
		RP__REASON__REASON_DEADLINE,
		RP__REASON__REASON_UPSTREAM_UNREACHABLE,
		RP__REASON__REASON_STALE_TABLES,
		RP__REASON__REASON_EVACUATED,
	};
	Rp__Outcome outcome = pick(m, 4) ? RP__OUTCOME__OUTCOME_RAN
					 : (Rp__Outcome)pick(m, 3);
	struct caller *to;
	struct work work;
	unsigned i;

	if (!m->work->len)
		return;
	i = pick(m, m->work->len);
	work = g_array_index(m->work, struct work, i);
	g_array_remove_index_fast(m->work, i);
	/* A reply is lost with its connection. */
	if (m->conns[work.agent] != work.conn)
		return;
	m->in_flight[work.agent]--;
	to = any_caller(m, work.handle);
	if (to && outcome == RP__OUTCOME__OUTCOME_NOT_RUN)
		to->possible_runs--;
	m->replied[pick(m, G_N_ELEMENTS(m->replied))] = work;
	send_reply(m, &work, outcome, reasons[pick(m, 5)]);
}

static void do_repeat(struct model *m)
{
	const struct work *work =
		&m->replied[pick(m, G_N_ELEMENTS(m->replied))];

	if (work->id && m->conns[work->agent] == work->conn)
		send_reply(m, work, (Rp__Outcome)pick(m, 3), 0);
}

static void do_connect(struct model *m)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_HELLO);
	unsigned i = pick(m, AGENTS);
	char *vm = g_strdup_printf("vm%u", i);

	/* A new connection may open before the old one is seen to close. */
	m->conns[i] = ++m->next_conn;
	m->in_flight[i] = 0;
	m->draining[i] = FALSE;
	wire_set_string(&frame->hello->vm, vm);
	wire_set_string(&frame->hello->agent_boot_id, "boot");
	wire_set_string(&frame->hello->zone, i % 2 ? "a" : "b");
	frame->hello->slots = SLOTS;
	frame->hello->n_pools = 2;
	frame->hello->pools = g_new0(char *, 2);
	frame->hello->pools[0] = g_strdup("fast");
	frame->hello->pools[1] = g_strdup("slow");
	g_free(vm);
	frame_in(m, m->conns[i], frame);
}

static void do_close(struct model *m)
{
	struct ent_event event = { .kind = ENT_EV_CLOSED };
	unsigned i = pick(m, AGENTS);

	event.conn.conn = m->conns[i];
	m->conns[i] = 0;
	m->in_flight[i] = 0;
	apply(m, &event);
	apply(m, &event);
}

static void do_report(struct model *m)
{
	struct Rp__Frame *frame;
	unsigned i = pick(m, AGENTS);

	if (!m->conns[i])
		return;
	frame = wire_frame_new(RP__FRAME__BODY_REPORT);
	frame->report->slots_in_use = pick(m, SLOTS + 2);
	m->draining[i] = !pick(m, 4);
	frame->report->draining = m->draining[i];
	frame_in(m, m->conns[i], frame);
}

/*
 * The next generation of the evacuations comes from the store or from an agent;
 * mostly, it ends all of them.
 */
static void do_evacuate(struct model *m)
{
	static const char *const names[] = { "b", "a" };
	struct ent_event event = { .kind = ENT_EV_EVACUATIONS };
	struct evac *evac = evac_new();
	unsigned from = pick(m, AGENTS);
	GBytes *bytes;

	for (unsigned i = 0; i < 2; i++) {
		struct evac_zone zone = { .zone = (char *)names[i],
					  .author = (char *)"ana",
					  .reason = (char *)"test" };
		struct evac *next;

		m->evacuated[i] = !pick(m, 4);
		if (!m->evacuated[i])
			continue;
		next = evac_begin(evac, &zone, NULL);
		evac_free(evac);
		evac = next;
	}
	evac->generation = ++m->evacuations;
	bytes = evac_encode(evac);
	if (m->conns[from] && pick(m, 2)) {
		frame_in(m, m->conns[from],
			 wire_evacuation_update_new(bytes, FALSE, 0));
	} else {
		event.evacuations.data =
			g_bytes_get_data(bytes, &event.evacuations.len);
		apply(m, &event);
	}
	ck_assert_uint_eq(ent_evacuations(m->ent)->generation, m->evacuations);
	g_bytes_unref(bytes);
	evac_free(evac);
}

static void do_claim(struct model *m)
{
	struct ent_event event = { .kind = ENT_EV_KEY_CLAIM };
	struct caller *to;
	unsigned i;

	if (!m->claims->len)
		return;
	i = pick(m, m->claims->len);
	event.claim.handle = g_array_index(m->claims, guint64, i);
	event.claim.result = pick(m, 4) ? ENT_CLAIM_WON
					: (enum ent_claim)pick(m, 4);
	g_array_remove_index_fast(m->claims, i);
	to = any_caller(m, event.claim.handle);
	ck_assert_ptr_nonnull(to);
	to->claimed = event.claim.result == ENT_CLAIM_WON;
	to->maybe_written = to->claimed ||
			    event.claim.result == ENT_CLAIM_UNKNOWN;
	apply(m, &event);
}

static void do_tick(struct model *m)
{
	struct ent_event event = { .kind = ENT_EV_TICK };

	apply(m, &event);
}

static const struct {
	void (*run)(struct model *m);
	unsigned weight;
} actions[] = {
	{ do_request, 300 }, { do_disconnect, 10 }, { do_reply, 300 },
	{ do_repeat, 10 },   { do_connect, 8 },	    { do_close, 4 },
	{ do_report, 40 },   { do_claim, 80 },	    { do_tick, 100 },
	{ do_evacuate, 2 },
};

static void step(struct model *m)
{
	unsigned total = 0;
	unsigned at;

	for (size_t i = 0; i < G_N_ELEMENTS(actions); i++)
		total += actions[i].weight;
	at = pick(m, total);
	for (size_t i = 0; i < G_N_ELEMENTS(actions); i++) {
		if (at < actions[i].weight) {
			actions[i].run(m);
			break;
		}
		at -= actions[i].weight;
	}
	m->now += pick(m, 3);
	if (!pick(m, 5000))
		m->now += pick(m, 60000);
	/* The clock may have been read before the previous event. */
	if (!pick(m, 100))
		m->now -= pick(m, 5);
}

static int number(json_t *json, const char *key)
{
	return (int)json_integer_value(json_object_get(json, key));
}

static void check_status(struct model *m)
{
	GString *text = g_string_new(NULL);
	json_t *json;
	json_t *item;
	size_t i;

	ent_status_json(m->ent, text);
	json = json_loads(text->str, 0, NULL);
	ck_assert_ptr_nonnull(json);
	ck_assert_int_eq(number(json, "requests"), (int)m->open->len);
	json_array_foreach(json_object_get(json, "pools"), i, item)
		ck_assert_int_le(2 * number(item, "ejected"),
				 number(item, "upstreams") -
					 number(item, "draining") -
					 number(item, "evacuated"));
	json_array_foreach(json_object_get(json, "upstreams"), i, item)
		ck_assert_int_le(number(item, "in_flight"), SLOTS);
	json_decref(json);
	g_string_free(text, TRUE);
}

static void load_tables(struct model *m)
{
	struct cfg_pool fast = { .name = "fast",
				 .priority = 1,
				 .queue_length = 10,
				 .max_requests = 12,
				 .guaranteed_requests = 4,
				 .latency_target_ms = 20,
				 .retry_budget_percent = 20,
				 .hedge_budget_percent = 50 };
	struct cfg_pool slow = { .name = "slow",
				 .class = CFG_CLASS_BATCH,
				 .priority = 50,
				 .queue_length = 10,
				 .retry_budget_percent = 20 };
	struct cfg_route routes[] = {
		{ "*", "*", "/once", "fast", FALSE, FALSE, 300 },
		{ "*", "*", "/get", "fast", TRUE, FALSE, 300 },
		{ "*", "*", "/slow", "slow", FALSE, FALSE, 300 },
		{ "*", "*", "/keyed", "slow", FALSE, TRUE, 300 },
	};
	struct cfg_tables tables = { .generation = 1,
				     .incarnation = "i",
				     .author = "ana",
				     .applied_unix_ms = 1 };
	struct ent_event event = { .kind = ENT_EV_TABLES };
	GBytes *bytes;

	tables.pools = g_ptr_array_new();
	g_ptr_array_add(tables.pools, &fast);
	g_ptr_array_add(tables.pools, &slow);
	tables.routes = g_ptr_array_new();
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++)
		g_ptr_array_add(tables.routes, &routes[i]);
	bytes = cfg_tables_encode(&tables);
	event.tables.data = g_bytes_get_data(bytes, &event.tables.len);
	apply(m, &event);
	ck_assert_ptr_nonnull(ent_tables(m->ent));
	g_bytes_unref(bytes);
	g_ptr_array_unref(tables.pools);
	g_ptr_array_unref(tables.routes);
}

/* A claim may stay only if its request may have run. */
static void check_released(struct model *m)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, m->ended);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct caller *from = value;

		if (from->maybe_written &&
		    (from->answered_not_run || !from->sent))
			ck_assert(from->released);
	}
}

static unsigned setting(const char *name, unsigned otherwise)
{
	const char *value = g_getenv(name);

	return value ? (unsigned)g_ascii_strtoull(value, NULL, 10) : otherwise;
}

/*
 * In any order of events, guards against a second answer or none, an answer to
 * the wrong caller, a second attempt of non-idempotent work that may have run,
 * not-run reported for work that may have run, a claim that is released
 * although its request may run or that is never released, more requests on an
 * agent than it has slots, a request sent to a draining agent or an evacuated
 * zone, and ejecting more than half of a pool.
 */
START_TEST(test_random_events)
{
	unsigned seed = setting("ENT_TEST_SEED", 20261204) + (unsigned)_i;
	unsigned events = setting("ENT_TEST_EVENTS", EVENTS);
	struct ent_options options = { .id = "e1", .zone = "a" };
	struct model m = { .now = 1000 };

	options.seed = seed;
	m.ent = ent_new(&options);
	m.effects = ent_effects_new();
	m.random = g_rand_new_with_seed(seed);
	m.callers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
	m.ended = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					g_free);
	m.open = g_array_new(FALSE, FALSE, sizeof(guint64));
	m.claims = g_array_new(FALSE, FALSE, sizeof(guint64));
	m.work = g_array_new(FALSE, FALSE, sizeof(struct work));
	load_tables(&m);
	for (unsigned i = 0; i < events; i++) {
		step(&m);
		if (i % STATUS_EVERY == 0)
			check_status(&m);
	}
	m.now += 1000;
	do_tick(&m);
	ck_assert_uint_eq(m.open->len, 0);
	ck_assert_uint_gt(m.answers, events / 10);
	ck_assert_uint_gt(m.sends, events / 10);
	ck_assert_uint_gt(m.hedges, events / 1000);
	while (m.claims->len)
		do_claim(&m);
	check_released(&m);
	check_status(&m);
	ent_free(m.ent);
	g_array_unref(m.effects);
	g_array_unref(m.open);
	g_array_unref(m.claims);
	g_array_unref(m.work);
	g_hash_table_unref(m.callers);
	g_hash_table_unref(m.ended);
	g_rand_free(m.random);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("entry-random");
	TCase *tcase = tcase_create("events");

	tcase_add_loop_test(tcase, test_random_events, 0, 2);
	suite_add_tcase(suite, tcase);
	return fixture_run(suite);
}
