#include "net.h"

#include <event2/buffer.h>
#include <event2/util.h>
#include <signal.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>

static const struct {
	const char *name;
	enum evhttp_cmd_type type;
} methods[] = {
	{ "GET", EVHTTP_REQ_GET },	   { "POST", EVHTTP_REQ_POST },
	{ "HEAD", EVHTTP_REQ_HEAD },	   { "PUT", EVHTTP_REQ_PUT },
	{ "DELETE", EVHTTP_REQ_DELETE },   { "PATCH", EVHTTP_REQ_PATCH },
	{ "OPTIONS", EVHTTP_REQ_OPTIONS },
};

gint64 net_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (gint64)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int net_split_address(const char *address, char **host, guint16 *port)
{
	const char *colon = strrchr(address, ':');
	struct sockaddr_storage storage;
	int len = sizeof(storage);
	gboolean brackets = *address == '[';
	guint64 number;

	if (!colon ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16, &number,
					NULL) ||
	    evutil_parse_sockaddr_port(address, (struct sockaddr *)&storage,
				       &len) < 0)
		return -1;
	*host = g_strndup(address + brackets,
			  (gsize)(colon - address) - 2 * brackets);
	*port = (guint16)number;
	return 0;
}

const char *net_method_name(enum evhttp_cmd_type type)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(methods); i++)
		if (methods[i].type == type)
			return methods[i].name;
	return NULL;
}

int net_method_parse(const char *name, enum evhttp_cmd_type *type)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(methods); i++) {
		if (!strcmp(methods[i].name, name)) {
			*type = methods[i].type;
			return 0;
		}
	}
	return -1;
}

gboolean net_is_hop_by_hop(const char *name)
{
	static const char *const names[] = {
		"Connection",	     "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Connection",  "TE",	   "Proxy-Authorization",
		"Transfer-Encoding", "Trailer",	   "Upgrade",
		"Content-Length",    "Expect",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		if (!strcasecmp(name, names[i]))
			return TRUE;
	return FALSE;
}

gboolean net_is_listed(const char *list, const char *name)
{
	size_t name_len = strlen(name);

	while (list && *list) {
		size_t len;

		list += strspn(list, " \t,");
		len = strcspn(list, " \t,");
		if (len == name_len && !strncasecmp(list, name, name_len))
			return TRUE;
		list += len;
	}
	return FALSE;
}

void net_send_text(struct evhttp_request *req, int status, const char *type,
		   const char *text, size_t len)
{
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", type);
	evbuffer_add(evhttp_request_get_output_buffer(req), text, len);
	evhttp_send_reply(req, status, NULL, NULL);
}

void net_loop(struct event_base *base, unsigned interval_ms,
	      event_callback_fn on_tick, event_callback_fn on_stop, void *ctx)
{
	const struct timeval interval = { interval_ms / 1000,
					  interval_ms % 1000 * 1000 };
	struct event *tick = event_new(base, -1, EV_PERSIST, on_tick, ctx);
	struct event *term = evsignal_new(base, SIGTERM, on_stop, ctx);
	struct event *interrupt = evsignal_new(base, SIGINT, on_stop, ctx);
	sigset_t signals;

	event_add(tick, &interval);
	event_add(term, NULL);
	event_add(interrupt, NULL);
	on_tick(-1, EV_TIMEOUT, ctx);
	event_base_dispatch(base);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigprocmask(SIG_BLOCK, &signals, NULL);
	event_free(tick);
	event_free(term);
	event_free(interrupt);
}
