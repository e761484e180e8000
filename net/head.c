#include "head.h"

#include <string.h>

/* Splits the line "METHOD TARGET HTTP/1.x". */
static gboolean parse_request_line(struct net_head *head, const char *line)
{
	g_auto(GStrv) parts = g_strsplit(line, " ", 4);

	if (g_strv_length(parts) != 3 || !*parts[0] || *parts[1] != '/' ||
	    !g_str_has_prefix(parts[2], "HTTP/1."))
		return FALSE;
	head->method = g_strdup(parts[0]);
	head->target = g_strdup(parts[1]);
	return TRUE;
}

/* Returns the value if the line is of this header, or NULL. */
static const char *value_of(const char *line, const char *name)
{
	gsize len = strlen(name);

	if (g_ascii_strncasecmp(line, name, len) != 0 || line[len] != ':')
		return NULL;
	line += len + 1;
	return line + strspn(line, " \t");
}

/* Returns FALSE for a header that does not fit the others. */
static gboolean parse_header(struct net_head *head, const char *line)
{
	const char *value = value_of(line, "Host");

	if (value) {
		if (*head->host)
			return FALSE;
		g_free(head->host);
		head->host = *value == '['
				     ? g_strdup(value)
				     : g_strndup(value, strcspn(value, ":"));
		return TRUE;
	}
	value = value_of(line, "Content-Length");
	if (value)
		return !head->body_len &&
		       g_ascii_string_to_unsigned(value, 10, 1, G_MAXINT64,
						  &head->body_len, NULL);
	if (!value_of(line, "Transfer-Encoding"))
		return TRUE;
	if (head->body_len)
		return FALSE;
	head->body_len = G_MAXUINT64;
	return TRUE;
}

static gboolean parse_lines(struct net_head *head, char *const *lines)
{
	if (!lines[0] || !parse_request_line(head, g_strchomp(lines[0])))
		return FALSE;
	for (lines++; *lines; lines++)
		if (!parse_header(head, g_strchomp(*lines)))
			return FALSE;
	return head->body_len != 0;
}

gboolean net_head_parse(struct net_head *head, const char *text, gsize len)
{
	g_autofree char *copy = NULL;
	g_auto(GStrv) lines = NULL;

	*head = (struct net_head){ .host = g_strdup("") };
	if (memchr(text, 0, len)) {
		net_head_clear(head);
		return FALSE;
	}
	copy = g_strndup(text, len);
	lines = g_strsplit(copy, "\n", -1);
	if (parse_lines(head, lines))
		return TRUE;
	net_head_clear(head);
	return FALSE;
}

void net_head_clear(struct net_head *head)
{
	g_free(head->method);
	g_free(head->target);
	g_free(head->host);
	*head = (struct net_head){ 0 };
}
