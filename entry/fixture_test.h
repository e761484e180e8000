#ifndef ENTRY_FIXTURE_TEST_H
#define ENTRY_FIXTURE_TEST_H

#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

static struct ent *ent;
static GArray *effects;
static gint64 now;
static guint64 next_handle;

static struct cfg_pool pools[] = {
	{ .name = "fast",
	  .priority = 1,
	  .queue_length = 4,
	  .retry_budget_percent = 10 },
	{ .name = "slow",
	  .class = CFG_CLASS_BATCH,
	  .priority = 50,
	  .queue_length = 4,
	  .retry_budget_percent = 10 },
};

static struct cfg_route routes[] = {
	{ "*", "*", "/once", "fast", FALSE, FALSE, 1000 },
	{ "*", "*", "/get", "fast", TRUE, FALSE, 1000 },
	{ "*", "*", "/slow", "slow", FALSE, FALSE, 1000 },
	{ "*", "*", "/keyed", "slow", FALSE, TRUE, 1000 },
	{ "JOB", "*", "scoring", "slow", FALSE, FALSE, 1000 },
};

static G_GNUC_UNUSED GBytes *
document(guint64 generation, const char *incarnation, const char *author)
{
	struct cfg_tables tables = { .generation = generation,
				     .parent_generation = generation - 1,
				     .incarnation = (char *)incarnation,
				     .author = (char *)author,
				     .applied_unix_ms = 1 };
	GBytes *bytes;

	tables.pools = g_ptr_array_new();
	for (size_t i = 0; i < G_N_ELEMENTS(pools); i++)
		g_ptr_array_add(tables.pools, &pools[i]);
	tables.routes = g_ptr_array_new();
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++)
		g_ptr_array_add(tables.routes, &routes[i]);
	bytes = cfg_tables_encode(&tables);
	g_ptr_array_unref(tables.pools);
	g_ptr_array_unref(tables.routes);
	return bytes;
}

/* Applies the event; its effects are kept until the next event. */
static G_GNUC_UNUSED void apply(struct ent_event *event)
{
	event->now_ms = now;
	g_array_set_size(effects, 0);
	ent_reduce(ent, event, effects);
}

static G_GNUC_UNUSED void apply_kind(enum ent_event_kind kind)
{
	struct ent_event event = { .kind = kind };

	apply(&event);
}

static G_GNUC_UNUSED void tick(gint64 ms)
{
	now += ms;
	apply_kind(ENT_EV_TICK);
}

static G_GNUC_UNUSED void
load_tables(guint64 generation, const char *incarnation, const char *author)
{
	GBytes *bytes = document(generation, incarnation, author);
	struct ent_event event = { .kind = ENT_EV_TABLES };

	event.tables.data = g_bytes_get_data(bytes, &event.tables.len);
	apply(&event);
	g_bytes_unref(bytes);
}

/* Takes ownership of the frame. */
static G_GNUC_UNUSED void frame_in(guint64 conn, struct Rp__Frame *frame)
{
	struct ent_event event = { .kind = ENT_EV_FRAME };

	event.frame.conn = conn;
	event.frame.frame = frame;
	apply(&event);
	wire_frame_free((struct Rp__Frame *)event.frame.frame);
}

static G_GNUC_UNUSED void closed(guint64 conn)
{
	struct ent_event event = { .kind = ENT_EV_CLOSED };

	event.conn.conn = conn;
	apply(&event);
}

static G_GNUC_UNUSED void set_pools(struct Rp__Hello *hello, const char *a,
				    const char *b)
{
	hello->n_pools = b ? 2 : 1;
	hello->pools = g_new0(char *, 2);
	hello->pools[0] = g_strdup(a);
	hello->pools[1] = b ? g_strdup(b) : NULL;
}

/* The agent of VM conn % 100 connects, or reconnects. */
static G_GNUC_UNUSED void hello(guint64 conn, unsigned slots,
				guint64 generation)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_HELLO);
	char *vm = g_strdup_printf("vm%d", (int)(conn % 100));

	wire_set_string(&frame->hello->vm, vm);
	wire_set_string(&frame->hello->agent_boot_id, "boot");
	wire_set_string(&frame->hello->zone, "a");
	set_pools(frame->hello, "fast", "slow");
	frame->hello->slots = slots;
	frame->hello->tables_generation = generation;
	frame_in(conn, frame);
	g_free(vm);
}

static G_GNUC_UNUSED void report(guint64 conn, unsigned in_use,
				 gboolean draining)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REPORT);

	frame->report->slots_in_use = in_use;
	frame->report->draining = draining;
	frame->report->tables_generation = 1;
	frame_in(conn, frame);
}

static G_GNUC_UNUSED void reply(guint64 conn, guint64 id, Rp__Outcome outcome,
				Rp__Reason reason, const char *body)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REPLY);

	frame->reply->id = id;
	frame->reply->outcome = outcome;
	frame->reply->reason = reason;
	frame->reply->status = 200;
	frame->reply->tables_generation = 1;
	wire_set_bytes(&frame->reply->body, body, strlen(body));
	frame_in(conn, frame);
}

static G_GNUC_UNUSED void reply_ran(guint64 conn, guint64 id)
{
	reply(conn, id, RP__OUTCOME__OUTCOME_RAN, 0, "");
}

static G_GNUC_UNUSED guint64 request_with(const char *path, unsigned timeout_ms,
					  const char *key)
{
	struct ent_event event = { .kind = ENT_EV_REQUEST };
	char id[32];

	event.request.handle = ++next_handle;
	g_snprintf(id, sizeof(id), "%" G_GUINT64_FORMAT, next_handle);
	event.request.request_id = id;
	event.request.method = "POST";
	event.request.host = "h";
	event.request.target = path;
	event.request.timeout_ms = timeout_ms;
	event.request.idempotency_key = key;
	apply(&event);
	return next_handle;
}

static G_GNUC_UNUSED guint64 request(const char *path)
{
	return request_with(path, 0, NULL);
}

static G_GNUC_UNUSED const struct ent_effect *effect_at(unsigned i)
{
	return &g_array_index(effects, struct ent_effect, i);
}

static G_GNUC_UNUSED const struct ent_effect *find(enum ent_effect_kind kind)
{
	for (unsigned i = 0; i < effects->len; i++)
		if (effect_at(i)->kind == kind)
			return effect_at(i);
	return NULL;
}

static G_GNUC_UNUSED const struct ent_effect *sent(Rp__Frame__BodyCase body)
{
	for (unsigned i = 0; i < effects->len; i++) {
		const struct ent_effect *effect = effect_at(i);

		if (effect->kind == ENT_FX_SEND &&
		    effect->send.frame->body_case == body)
			return effect;
	}
	return NULL;
}

static G_GNUC_UNUSED const struct Rp__Request *sent_request(guint64 *conn)
{
	const struct ent_effect *effect = sent(RP__FRAME__BODY_REQUEST);

	ck_assert_ptr_nonnull(effect);
	if (conn)
		*conn = effect->send.conn;
	return effect->send.frame->request;
}

static G_GNUC_UNUSED void assert_answer(guint64 handle, unsigned status,
					Rp__Outcome outcome)
{
	const struct ent_effect *effect = find(ENT_FX_ANSWER);

	ck_assert_ptr_nonnull(effect);
	ck_assert_uint_eq(effect->answer.handle, handle);
	ck_assert_uint_eq(effect->answer.status, status);
	ck_assert_int_eq(effect->answer.outcome, outcome);
	ck_assert(status != 429 || effect->answer.retry_after_s > 0);
}

static G_GNUC_UNUSED guint64 counted(const char *name)
{
	guint64 n = 0;

	for (unsigned i = 0; i < effects->len; i++)
		if (effect_at(i)->kind == ENT_FX_COUNT &&
		    !strcmp(effect_at(i)->count.name, name))
			n += effect_at(i)->count.add;
	return n;
}

static G_GNUC_UNUSED json_t *status(void)
{
	GString *text = g_string_new(NULL);
	json_error_t error;
	json_t *json;

	ent_status_json(ent, text);
	json = json_loads(text->str, 0, &error);
	ck_assert_msg(json != NULL, "%s in %s", error.text, text->str);
	g_string_free(text, TRUE);
	return json;
}

static G_GNUC_UNUSED json_t *pool_status(json_t *json, const char *name)
{
	json_t *list = json_object_get(json, "pools");
	json_t *pool;
	size_t i;

	json_array_foreach(
		list, i,
		pool) if (!strcmp(json_string_value(json_object_get(pool,
								    "name")),
				  name)) return pool;
	return NULL;
}

static G_GNUC_UNUSED int number(json_t *json, const char *key)
{
	return (int)json_integer_value(json_object_get(json, key));
}

static G_GNUC_UNUSED void setup(void)
{
	struct ent_options options = { .id = "e1", .zone = "a", .seed = 7 };

	now = 1000;
	next_handle = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(pools); i++) {
		pools[i].queue_length = 4;
		pools[i].max_requests = 0;
		pools[i].guaranteed_requests = 0;
		pools[i].latency_target_ms = 0;
		pools[i].retry_budget_percent = 10;
		pools[i].hedge_budget_percent = 0;
	}
	ent = ent_new(&options);
	effects = ent_effects_new();
}

static G_GNUC_UNUSED void teardown(void)
{
	g_array_unref(effects);
	ent_free(ent);
}

#endif
