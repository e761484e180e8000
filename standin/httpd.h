#ifndef STANDIN_HTTPD_H
#define STANDIN_HTTPD_H

#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

/* HTTP server and command line helpers of the stand-ins. */

/**
 * Serves HTTP on "host:port" and calls fn with each request. Returns 0, or -1
 * if the address is invalid or in use.
 */
int httpd_listen(struct event_base *base, const char *address,
		 void (*fn)(struct evhttp_request *, void *), void *ctx);

/** Parses the command line; prints an error and returns -1 if it is invalid. */
int httpd_parse_options(const GOptionEntry *options, int *argc, char ***argv);

/** Returns the body as a new JSON object, or {} if it is not an object. */
json_t *httpd_read_json(struct evhttp_request *req);

/** Sends the JSON value as the answer and releases it. */
void httpd_reply_json(struct evhttp_request *req, int status, json_t *body);

/** Sends {"error": message}. */
void httpd_reply_error(struct evhttp_request *req, int status,
		       const char *message);

#endif
