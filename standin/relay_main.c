/*
 * TCP relay between agents and an entry that can stop forwarding in one or both
 * directions, like a link that drops packets. POST /fault at the control
 * address sets the directions that are cut.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/httpd.h"
#include "wire/wire.h"

struct relay {
	struct event_base *base;
	GPtrArray *links;
	/** Agent address of the entry. */
	char *target;
	gboolean cut_to_target;
	gboolean cut_to_client;
};

/* The connection to one side of a link. */
struct link_side {
	struct link *link;
	struct bufferevent *bev;
};

/* A relayed connection; the client is an agent, the target an entry. */
struct link {
	struct relay *relay;
	struct link_side client;
	struct link_side target;
};

/* TRUE if bytes from this side are not forwarded. */
static gboolean is_cut(const struct link_side *from)
{
	struct relay *relay = from->link->relay;

	return from == &from->link->client ? relay->cut_to_target
					   : relay->cut_to_client;
}

static struct link_side *other(struct link_side *side)
{
	return side == &side->link->client ? &side->link->target
					   : &side->link->client;
}

static void clear_list(size_t *n, char ***list)
{
	while (*n)
		free((*list)[--*n]);
	free(*list);
	*list = NULL;
}

/*
 * Forwards frames without the entries' addresses: agents that learn them would
 * connect to the entries directly and bypass the relay.
 */
static void forward_to_agent(struct evbuffer *in, struct evbuffer *out)
{
	struct Rp__Frame *frame;

	while (wire_read(in, &frame, NULL) == 1) {
		if (frame->body_case == RP__FRAME__BODY_WELCOME)
			clear_list(&frame->welcome->n_entry_addresses,
				   &frame->welcome->entry_addresses);
		if (frame->body_case == RP__FRAME__BODY_FLEET_INFO)
			clear_list(&frame->fleet_info->n_entry_addresses,
				   &frame->fleet_info->entry_addresses);
		wire_write(out, frame, NULL);
		wire_frame_free(frame);
	}
}

/* Forwards what has arrived from one side, unless that direction is cut. */
static void forward(struct link_side *from)
{
	struct evbuffer *in = bufferevent_get_input(from->bev);

	if (is_cut(from))
		return;
	if (from == &from->link->target)
		forward_to_agent(
			in, bufferevent_get_output(from->link->client.bev));
	else
		bufferevent_write_buffer(other(from)->bev, in);
}

static void on_read(struct bufferevent *bev G_GNUC_UNUSED, void *ctx)
{
	forward(ctx);
}

static void on_event(struct bufferevent *bev G_GNUC_UNUSED, short what,
		     void *ctx)
{
	struct link_side *side = ctx;
	struct link *link = side->link;

	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	/* On a cut link the other side does not notice the close. */
	if (is_cut(side)) {
		bufferevent_disable(side->bev, EV_READ | EV_WRITE);
		return;
	}
	g_ptr_array_remove_fast(link->relay->links, link);
	bufferevent_free(link->client.bev);
	bufferevent_free(link->target.bev);
	g_free(link);
}

static void set_up_side(struct relay *relay, struct link *link,
			struct link_side *side, evutil_socket_t fd)
{
	side->link = link;
	side->bev = bufferevent_socket_new(relay->base, fd,
					   BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(side->bev, on_read, NULL, on_event, side);
	bufferevent_enable(side->bev, EV_READ | EV_WRITE);
}

static void on_accept(struct evconnlistener *listener G_GNUC_UNUSED,
		      evutil_socket_t fd, struct sockaddr *addr G_GNUC_UNUSED,
		      int len G_GNUC_UNUSED, void *ctx)
{
	struct relay *relay = ctx;
	struct link *link = g_new0(struct link, 1);
	struct sockaddr_storage target;
	int target_len = sizeof(target);

	link->relay = relay;
	g_ptr_array_add(relay->links, link);
	set_up_side(relay, link, &link->client, fd);
	set_up_side(relay, link, &link->target, -1);
	evutil_parse_sockaddr_port(relay->target, (struct sockaddr *)&target,
				   &target_len);
	bufferevent_socket_connect(link->target.bev, (struct sockaddr *)&target,
				   target_len);
}

static void on_control(struct evhttp_request *req, void *ctx)
{
	struct relay *relay = ctx;
	json_t *body = httpd_read_json(req);
	guint i;

	relay->cut_to_target =
		json_is_true(json_object_get(body, "cut_to_entry"));
	relay->cut_to_client =
		json_is_true(json_object_get(body, "cut_to_agent"));
	json_decref(body);
	for (i = 0; i < relay->links->len; i++) {
		struct link *link = relay->links->pdata[i];

		forward(&link->client);
		forward(&link->target);
	}
	httpd_reply_json(req, 200, json_object());
}

int main(int argc, char **argv)
{
	struct relay relay = { 0 };
	g_autofree char *listen = NULL;
	g_autofree char *control = NULL;
	GOptionEntry options[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &listen,
		  "address to serve", "HOST:PORT" },
		{ "control", 0, 0, G_OPTION_ARG_STRING, &control,
		  "address for POST /fault", "HOST:PORT" },
		{ "target", 0, 0, G_OPTION_ARG_STRING, &relay.target,
		  "address to connect to", "HOST:PORT" },
		{ NULL }
	};
	struct sockaddr_storage addr;
	int addr_len = sizeof(addr);

	if (httpd_parse_options(options, &argc, &argv) < 0)
		return 2;
	relay.base = event_base_new();
	relay.links = g_ptr_array_new();
	if (!listen || !control || !relay.target ||
	    evutil_parse_sockaddr_port(listen, (struct sockaddr *)&addr,
				       &addr_len) < 0 ||
	    httpd_listen(relay.base, control, on_control, &relay) < 0 ||
	    !evconnlistener_new_bind(relay.base, on_accept, &relay,
				     LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
				     -1, (struct sockaddr *)&addr, addr_len)) {
		fprintf(stderr, "relay: cannot listen\n");
		return 1;
	}
	event_base_dispatch(relay.base);
	return 0;
}
