#ifndef OBS_H
#define OBS_H

#include <glib.h>

/**
 * Sends GLib's structured log to standard error as JSON lines.
 *
 * Each line has time (UTC, milliseconds), level, component (the log domain),
 * message, and the fields given with g_log_structured() by the names of
 * obs_log_fields, such as request_id. program is not copied and must stay
 * valid.
 */
void obs_log_init(const char *program, GLogLevelFlags most_verbose);

/**
 * Sends the lines to standard output instead, without blocking on its reader.
 * Lines beyond lines_per_s, or that the reader is too slow to take, are
 * dropped; the next line that is written is preceded by their count.
 */
void obs_log_to_stdout(unsigned lines_per_s);

/** Parses "fatal", "error", "warning", "notice", "info" or "debug"; returns
 * -1 if unknown. */
int obs_log_level_parse(const char *name, GLogLevelFlags *level);

/** The counters and gauges of one program. */
struct obs_metrics;

struct obs_metrics *obs_metrics_new(void);
void obs_metrics_free(struct obs_metrics *metrics);

/**
 * Adds to a counter, creating it at 0.
 *
 * name has the usual form of the text exposition, such as
 * "radishpier_requests_total"; labels is NULL or like
 * "pool=\"checks\",outcome=\"ran\"".
 */
void obs_count(struct obs_metrics *metrics, const char *name,
	       const char *labels, guint64 add);

/** Sets a counter to a value that the caller counts, creating it. */
void obs_count_set(struct obs_metrics *metrics, const char *name,
		   const char *labels, guint64 value);

/** Sets a gauge, creating it. */
void obs_gauge(struct obs_metrics *metrics, const char *name,
	       const char *labels, double value);

/** Returns a counter's value, 0 if it does not exist. */
guint64 obs_counter(const struct obs_metrics *metrics, const char *name,
		    const char *labels);

/** Appends all values in the text exposition format, sorted by name. */
void obs_metrics_print(const struct obs_metrics *metrics, GString *out);

/** Appends s as a JSON string with quotes; invalid UTF-8 is replaced. */
void obs_json_string(GString *out, const char *s, gssize len);

#endif
