#ifndef BENCH_HTTP_LOAD_H
#define BENCH_HTTP_LOAD_H

#include <glib.h>
#include <stdio.h>

/** HTTP load over persistent connections, from one thread. */
struct http_load_options {
	/** IP:port of the server. */
	const char *address;
	const char *target;
	size_t body_bytes;
	unsigned connections;
	/** Per second over all connections; 0: the next follows each answer. */
	double rate;
	unsigned warmup_ms;
	unsigned duration_ms;
};

struct http_load_result {
	guint64 answered;
	/** Answers with a status other than 200, and broken connections. */
	guint64 failed;
	double rate;
	/** Latencies from the time at which the request was due to be sent. */
	gint64 p50_us;
	gint64 p99_us;
	gint64 p999_us;
	gint64 max_us;
};

/** Runs for warmup_ms and duration_ms; counts answers only in the latter. */
void http_load_run(const struct http_load_options *options,
		   struct http_load_result *result);

/** CPU time of a process so far in ms; -1 if unknown. */
gint64 process_cpu_ms(int pid);

/** Resident memory of a process in bytes; -1 if unknown. */
gint64 process_rss_bytes(int pid);

/** Opens bench/results/<name> for writing; aborts if that fails. */
FILE *bench_results_open(const char *name);

#endif
