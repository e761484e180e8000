#ifndef STANDIN_CLIENT_H
#define STANDIN_CLIENT_H

#include <glib.h>

/*
 * Blocking HTTP calls, and loads of concurrent callers, for the demo and tests.
 */

struct call_options {
	const char *method;
	/** host:port */
	const char *address;
	const char *target;
	/** NULL-terminated list of "Name: value", or NULL. */
	const char *const *headers;
	const void *body;
	size_t body_len;
	/** 0 means 30 s. */
	long timeout_ms;
};

struct call_result {
	/** 0 if no complete answer arrived. */
	long status;
	/** Header Radishpier-Outcome; "" if absent, as the next ones. */
	char outcome[16];
	/** Header Radishpier-Request-Id. */
	char request_id[80];
	/** Header X-Upstream. */
	char upstream[64];
	/** Header X-Tag. */
	char tag[64];
	/** Header Retry-After. */
	char retry_after[16];
	gint64 elapsed_us;
	GString *body;
};

/**
 * Sends a request and waits for its answer. Returns 0, or -1 if no complete
 * answer arrived. The caller clears result in both cases.
 */
int call_http(const struct call_options *options, struct call_result *result);
void call_result_clear(struct call_result *result);

/** Callers that each send one request after the other. */
struct load_options {
	const char *method;
	/** Each caller uses the addresses in turn. */
	const char *const *addresses;
	size_t n_addresses;
	const char *target;
	const char *const *headers;
	size_t body_len;
	unsigned callers;
	/** Pause of a caller after each answer. */
	unsigned pause_ms;
	/** Prefix of the unique X-Tag of each request. */
	const char *tag;
};

/** Outcome of one request, as its caller saw it. */
struct load_answer {
	char tag[64];
	char outcome[16];
	long status;
	gint64 elapsed_us;
	/** FALSE without an answer, or if a "ran" one is not its own. */
	gboolean matches_request;
	gint64 sent_ms;
	char upstream[64];
};

struct load;

/** Starts a load, which copies the options; ended by load_stop(). */
struct load *load_start(const struct load_options *options);

/**
 * Waits for the answers in flight, ends and frees the load. Returns an array of
 * struct load_answer, freed by the caller.
 */
GArray *load_stop(struct load *load);

/** Counts of requests by their outcome, and latencies of all requests. */
struct load_summary {
	unsigned sent;
	unsigned ran;
	unsigned not_run;
	unsigned unknown;
	/** No complete answer, or one to another request. */
	unsigned invalid;
	gint64 p50_us;
	gint64 p99_us;
	gint64 max_us;
};

void load_summarise(const GArray *answers, struct load_summary *summary);

#endif
