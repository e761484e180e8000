#ifndef NET_HEAD_H
#define NET_HEAD_H

#include <glib.h>

/*
 * A first look at a header section, to refuse a request before its body is
 * received. The server parses the section itself if it is not refused.
 */

struct net_head {
	char *method;
	/** Path with query. */
	char *target;
	/** Value of Host without port; "" if it is missing. */
	char *host;
	/** G_MAXUINT64 for a chunked body. */
	guint64 body_len;
};

/**
 * Parses a complete header section of len bytes. Returns FALSE, with nothing
 * to clear, if it has anything unusual: a target that is not a path, or no or
 * two lengths of the body.
 */
gboolean net_head_parse(struct net_head *head, const char *text, gsize len);

void net_head_clear(struct net_head *head);

#endif
