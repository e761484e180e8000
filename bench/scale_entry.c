#include "bench/scale.h"

#include <event2/buffer.h>
#include <string.h>

#include "entry/entry.h"

#define SLOTS 8
#define REQUESTS 20000
#define TICK_MS 20
#define REST_MS 10000
/* Changes of the configuration tables. */
#define CHANGES 20

struct fixture {
	struct ent *ent;
	GArray *effects;
	/* Virtual time. */
	gint64 now_ms;
	unsigned n_pools;
	guint64 last_handle;
};

static void apply(struct fixture *f, struct ent_event *event)
{
	event->now_ms = f->now_ms;
	event->unix_ms = f->now_ms;
	g_array_set_size(f->effects, 0);
	ent_reduce(f->ent, event, f->effects);
}

static GBytes *document(unsigned n_pools, guint64 generation)
{
	struct cfg_tables tables = { .generation = generation,
				     .parent_generation = generation - 1,
				     .incarnation = (char *)"bench",
				     .author = (char *)"bench",
				     .applied_unix_ms = 1 };
	struct cfg_pool *pools = g_new0(struct cfg_pool, n_pools);
	struct cfg_route *routes = g_new0(struct cfg_route, n_pools);
	GBytes *bytes;
	unsigned i;

	tables.pools = g_ptr_array_new();
	tables.routes = g_ptr_array_new();
	for (i = 0; i < n_pools; i++) {
		pools[i].name = g_strdup_printf("pool-%03u", i);
		pools[i].priority = i % 100;
		pools[i].queue_length = 1000;
		/* Each generation changes one pool, as operators usually do. */
		pools[i].max_requests =
			1000 +
			(unsigned)(i == generation % n_pools ? generation : 0);
		pools[i].retry_budget_percent = 10;
		routes[i].method = (char *)"*";
		routes[i].host = (char *)"*";
		routes[i].path_prefix = g_strdup_printf("/service-%03u", i);
		routes[i].pool = pools[i].name;
		routes[i].timeout_ms = 1000;
		g_ptr_array_add(tables.pools, &pools[i]);
		g_ptr_array_add(tables.routes, &routes[i]);
	}
	bytes = cfg_tables_encode(&tables);
	g_ptr_array_unref(tables.pools);
	g_ptr_array_unref(tables.routes);
	for (i = 0; i < n_pools; i++) {
		g_free(pools[i].name);
		g_free(routes[i].path_prefix);
	}
	g_free(pools);
	g_free(routes);
	return bytes;
}

static void offer_tables(struct fixture *f, guint64 generation)
{
	GBytes *bytes = document(f->n_pools, generation);
	struct ent_event event = { .kind = ENT_EV_TABLES };

	event.tables.data = g_bytes_get_data(bytes, &event.tables.len);
	apply(f, &event);
	g_bytes_unref(bytes);
}

static void connect_agent(struct fixture *f, unsigned i)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_HELLO);
	struct Rp__Hello *hello = frame->hello;
	struct ent_event event = { .kind = ENT_EV_FRAME };
	char text[32];

	g_snprintf(text, sizeof(text), "vm-%u", i);
	wire_set_string(&hello->vm, text);
	wire_set_string(&hello->agent_boot_id, text);
	g_snprintf(text, sizeof(text), "zone-%u", i % 19);
	wire_set_string(&hello->zone, text);
	hello->pools = g_new0(char *, 1);
	hello->pools[0] = g_strdup_printf("pool-%03u", i % f->n_pools);
	hello->n_pools = 1;
	hello->slots = SLOTS;
	hello->connections = 64;
	hello->tables_generation = 1;
	hello->accepts_deltas = TRUE;
	hello->capacity = wire_resources_dup(NULL);
	event.frame.conn = i + 1;
	event.frame.frame = frame;
	apply(f, &event);
	wire_frame_free(frame);
}

/* Submits a request; returns the connection it was sent on, or 0 if none. */
static guint64 send_request(struct fixture *f, unsigned pool, guint64 *id)
{
	struct ent_event event = { .kind = ENT_EV_REQUEST };
	char target[32];
	guint64 conn = 0;
	guint i;

	g_snprintf(target, sizeof(target), "/service-%03u/check", pool);
	event.request.handle = ++f->last_handle;
	event.request.request_id = "bench-request";
	event.request.method = "GET";
	event.request.host = "bench";
	event.request.target = target;
	apply(f, &event);
	for (i = 0; i < f->effects->len; i++) {
		struct ent_effect *fx = &g_array_index(f->effects,
						       struct ent_effect, i);

		if (fx->kind != ENT_FX_SEND ||
		    fx->send.frame->body_case != RP__FRAME__BODY_REQUEST)
			continue;
		conn = fx->send.conn;
		*id = fx->send.frame->request->id;
	}
	return conn;
}

static void reply(struct fixture *f, guint64 conn, guint64 id)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_REPLY);
	struct ent_event event = { .kind = ENT_EV_FRAME };

	frame->reply->id = id;
	frame->reply->outcome = RP__OUTCOME__OUTCOME_RAN;
	frame->reply->status = 200;
	frame->reply->tables_generation = 1;
	event.frame.conn = conn;
	event.frame.frame = frame;
	apply(f, &event);
	wire_frame_free((struct Rp__Frame *)event.frame.frame);
}

/* CPU time of a request and its reply, microseconds. */
static double request_us(struct fixture *f, unsigned *unanswered)
{
	unsigned used = MIN(f->n_pools, 100);
	gint64 start = scale_cpu_ns();
	unsigned i;

	*unanswered = 0;
	for (i = 0; i < REQUESTS; i++) {
		guint64 id = 0;
		guint64 conn = send_request(f, i % used, &id);

		if (conn)
			reply(f, conn, id);
		else
			(*unanswered)++;
		f->now_ms += i % 10 == 0;
	}
	return (double)(scale_cpu_ns() - start) / 1000 / REQUESTS;
}

/* CPU time of ticks without other load, in percent of a core. */
static double rest_percent(struct fixture *f)
{
	struct ent_event event = { .kind = ENT_EV_TICK };
	gint64 start = scale_cpu_ns();
	unsigned ms;

	for (ms = 0; ms < REST_MS; ms += TICK_MS) {
		f->now_ms += TICK_MS;
		apply(f, &event);
	}
	return (double)(scale_cpu_ns() - start) / 1e4 / REST_MS;
}

/*
 * CPU time to apply a change of the tables and to encode the frames that it
 * causes, as the I/O layer does.
 */
static double change_ms(struct fixture *f, double *bytes, unsigned *sent)
{
	struct evbuffer *out = evbuffer_new();
	gint64 cpu = 0;
	gsize total = 0;
	unsigned n;
	guint i;

	*sent = 0;
	for (n = 0; n < CHANGES; n++) {
		gint64 start = scale_cpu_ns();

		offer_tables(f, n + 2);
		for (i = 0; i < f->effects->len; i++) {
			struct ent_effect *fx = &g_array_index(
				f->effects, struct ent_effect, i);

			if (fx->kind != ENT_FX_SEND)
				continue;
			wire_write(out, fx->send.frame, NULL);
			total += evbuffer_get_length(out);
			evbuffer_drain(out, evbuffer_get_length(out));
			(*sent)++;
		}
		cpu += scale_cpu_ns() - start;
	}
	evbuffer_free(out);
	*bytes = (double)total / CHANGES;
	*sent /= CHANGES;
	return (double)cpu / 1e6 / CHANGES;
}

void scale_entry_run(unsigned agents, unsigned pools, FILE *csv)
{
	struct ent_options options = { .id = "entry-1",
				       .zone = "zone-1",
				       .seed = 3 };
	struct fixture f = { .now_ms = 1000, .n_pools = pools };
	char setting[32];
	unsigned unanswered;
	unsigned sent;
	gsize before;
	double memory, request, rest, change, bytes;
	unsigned i;

	f.ent = ent_new(&options);
	f.effects = ent_effects_new();
	offer_tables(&f, 1);
	before = scale_heap_bytes();
	for (i = 0; i < agents; i++)
		connect_agent(&f, i);
	g_array_set_size(f.effects, 0);
	memory = (double)(scale_heap_bytes() - before) / agents;
	/* Skips the slow start of new upstreams. */
	f.now_ms += 20000;
	request = request_us(&f, &unanswered);
	rest = rest_percent(&f);
	change = change_ms(&f, &bytes, &sent);
	printf("entry: %5u agents, %3u pools: %.2f us a request (%u of %u not "
	       "sent), rest %.3f %% of a core, %.0f bytes an agent, tables "
	       "change %.2f ms, %u frames, %.0f bytes\n",
	       agents, pools, request, unanswered, REQUESTS, rest, memory,
	       change, sent, bytes);
	g_snprintf(setting, sizeof(setting), "%u pools", pools);
	scale_row(csv, "entry", setting, agents, "request and reply", request,
		  "us");
	scale_row(csv, "entry", setting, agents, "ticks at rest", rest,
		  "percent of a core");
	scale_row(csv, "entry", setting, agents, "memory", memory,
		  "bytes per agent");
	scale_row(csv, "entry", setting, agents, "tables change", change, "ms");
	scale_row(csv, "entry", setting, agents, "tables change", bytes,
		  "bytes");
	g_array_unref(f.effects);
	ent_free(f.ent);
}
