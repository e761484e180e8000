#include "bench/http_load.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin/clock.h"

struct run {
	const struct http_load_options *options;
	struct event_base *base;
	GString *request;
	GArray *latencies_us;
	gint64 measure_from_us;
	guint64 failed;
	struct connection *connections;
};

struct connection {
	struct run *run;
	struct bufferevent *bev;
	struct event *timer;
	/* When the current request is due; latency counts from here. */
	gint64 due_us;
	gboolean awaiting_answer;
};

static gint64 period_us(const struct run *run)
{
	return (gint64)(run->options->connections * 1e6 / run->options->rate);
}

static void send_request(struct connection *connection)
{
	connection->awaiting_answer = TRUE;
	bufferevent_write(connection->bev, connection->run->request->str,
			  connection->run->request->len);
}

static void on_due(evutil_socket_t fd G_GNUC_UNUSED, short what G_GNUC_UNUSED,
		   void *ctx)
{
	send_request(ctx);
}

static void schedule_next(struct connection *connection)
{
	gint64 now = clock_now_us();
	struct timeval wait;

	if (connection->run->options->rate <= 0) {
		connection->due_us = now;
		send_request(connection);
		return;
	}
	connection->due_us += period_us(connection->run);
	if (connection->due_us <= now) {
		send_request(connection);
		return;
	}
	wait.tv_sec = (connection->due_us - now) / 1000000;
	wait.tv_usec = (connection->due_us - now) % 1000000;
	event_add(connection->timer, &wait);
}

/* Length of the answer at the front of the buffer, 0 if incomplete. */
static size_t answer_length(struct evbuffer *in)
{
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	struct evbuffer_ptr field;
	char value[24] = { 0 };
	size_t total;

	if (end.pos < 0)
		return 0;
	field = evbuffer_search(in, "Content-Length: ", 16, NULL);
	if (field.pos < 0 || field.pos > end.pos)
		return end.pos + 4;
	evbuffer_ptr_set(in, &field, 16, EVBUFFER_PTR_ADD);
	evbuffer_copyout_from(in, &field, value, sizeof(value) - 1);
	total = end.pos + 4 + strtoul(value, NULL, 10);
	return evbuffer_get_length(in) >= total ? total : 0;
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	struct connection *connection = ctx;
	struct run *run = connection->run;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t len = answer_length(in);
	gint64 now = clock_now_us();
	gint64 elapsed = now - connection->due_us;
	char start[13];

	if (!len || !connection->awaiting_answer)
		return;
	evbuffer_copyout(in, start, sizeof(start));
	evbuffer_drain(in, len);
	connection->awaiting_answer = FALSE;
	if (now >= run->measure_from_us) {
		if (memcmp(start, "HTTP/1.1 200 ", sizeof(start)))
			run->failed++;
		else
			g_array_append_val(run->latencies_us, elapsed);
	}
	schedule_next(connection);
}

static void on_event(struct bufferevent *bev G_GNUC_UNUSED, short what,
		     void *ctx)
{
	struct connection *connection = ctx;

	if (what & BEV_EVENT_CONNECTED)
		schedule_next(connection);
	else
		connection->run->failed++;
}

static void connect_all(struct run *run)
{
	unsigned i;

	run->connections = g_new0(struct connection, run->options->connections);
	for (i = 0; i < run->options->connections; i++) {
		struct connection *connection = &run->connections[i];
		struct sockaddr_storage addr;
		int len = sizeof(addr);

		evutil_parse_sockaddr_port(run->options->address,
					   (struct sockaddr *)&addr, &len);
		connection->run = run;
		connection->timer = evtimer_new(run->base, on_due, connection);
		connection->due_us = clock_now_us();
		if (run->options->rate > 0)
			connection->due_us +=
				(gint64)(i * 1e6 / run->options->rate);
		connection->bev = bufferevent_socket_new(run->base, -1,
							 BEV_OPT_CLOSE_ON_FREE);
		bufferevent_setcb(connection->bev, on_read, NULL, on_event,
				  connection);
		bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
		bufferevent_socket_connect(connection->bev,
					   (struct sockaddr *)&addr, len);
	}
}

static int by_value(const void *a, const void *b)
{
	gint64 left = *(const gint64 *)a;
	gint64 right = *(const gint64 *)b;

	return (left > right) - (left < right);
}

static gint64 quantile(const GArray *latencies_us, double q)
{
	if (!latencies_us->len)
		return 0;
	return g_array_index(latencies_us, gint64,
			     (guint)((latencies_us->len - 1) * q));
}

void http_load_run(const struct http_load_options *options,
		   struct http_load_result *result)
{
	struct run run = { .options = options };
	struct timeval end = {
		(options->warmup_ms + options->duration_ms) / 1000,
		(options->warmup_ms + options->duration_ms) % 1000 * 1000
	};
	struct event_config *config = event_config_new();
	unsigned i;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	run.base = event_base_new_with_config(config);
	event_config_free(config);
	run.request = g_string_new(NULL);
	g_string_append_printf(run.request,
			       "POST %s HTTP/1.1\r\nHost: %s\r\n"
			       "Content-Length: %zu\r\n\r\n",
			       options->target, options->address,
			       options->body_bytes);
	for (i = 0; i < options->body_bytes; i++)
		g_string_append_c(run.request, 'b');
	run.latencies_us = g_array_new(FALSE, FALSE, sizeof(gint64));
	run.measure_from_us = clock_now_us() + options->warmup_ms * 1000LL;
	connect_all(&run);
	event_base_loopexit(run.base, &end);
	event_base_dispatch(run.base);
	for (i = 0; i < options->connections; i++) {
		bufferevent_free(run.connections[i].bev);
		event_free(run.connections[i].timer);
	}
	event_base_free(run.base);
	qsort(run.latencies_us->data, run.latencies_us->len, sizeof(gint64),
	      by_value);
	result->answered = run.latencies_us->len;
	result->failed = run.failed;
	result->rate = run.latencies_us->len * 1000.0 / options->duration_ms;
	result->p50_us = quantile(run.latencies_us, 0.5);
	result->p99_us = quantile(run.latencies_us, 0.99);
	result->p999_us = quantile(run.latencies_us, 0.999);
	result->max_us = quantile(run.latencies_us, 1.0);
	g_array_free(run.latencies_us, TRUE);
	g_string_free(run.request, TRUE);
	g_free(run.connections);
}

gint64 process_cpu_ms(int pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/stat", pid);
	g_autofree char *text = NULL;
	g_auto(GStrv) field = NULL;
	const char *rest;
	gint64 ticks;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return -1;
	rest = strrchr(text, ')');
	if (!rest)
		return -1;
	/* utime and stime, fields 14 and 15; the split starts at field 3. */
	field = g_strsplit(rest + 2, " ", 14);
	ticks = g_ascii_strtoll(field[11], NULL, 10) +
		g_ascii_strtoll(field[12], NULL, 10);
	return ticks * 1000 / sysconf(_SC_CLK_TCK);
}

gint64 process_rss_bytes(int pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/statm", pid);
	g_autofree char *text = NULL;
	g_auto(GStrv) field = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return -1;
	field = g_strsplit(text, " ", 3);
	return g_ascii_strtoll(field[1], NULL, 10) * sysconf(_SC_PAGESIZE);
}

FILE *bench_results_open(const char *name)
{
	g_autofree char *path = g_build_filename("bench", "results", name,
						 NULL);
	FILE *file = fopen(path, "w");

	if (!file)
		g_error("%s: cannot be written", path);
	return file;
}
