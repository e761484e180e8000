#include "obs.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static const char *log_program = "radishpier";
static GLogLevelFlags log_threshold = G_LOG_LEVEL_INFO;

/* Limit of obs_log_to_stdout(); 0: lines go to standard error, unlimited. */
static unsigned log_lines_per_s;
/* Monotonic clock in s, and the lines written in this second. */
static gint64 log_second;
static unsigned log_lines;
/* Lines dropped since the last one written. */
static guint64 log_left_out;

/* Log fields that are written to the line, and their JSON keys. */
static const struct {
	const char *field;
	const char *key;
} obs_log_fields[] = {
	{ "GLIB_DOMAIN", "component" },
	{ "MESSAGE", "message" },
	{ "REQUEST_ID", "request_id" },
	{ "JOB_ID", "job_id" },
	{ "VM", "vm" },
	{ "GENERATION", "generation" },
};

static const struct {
	GLogLevelFlags level;
	const char *name;
} obs_levels[] = {
	{ G_LOG_LEVEL_ERROR, "fatal" },	    { G_LOG_LEVEL_CRITICAL, "error" },
	{ G_LOG_LEVEL_WARNING, "warning" }, { G_LOG_LEVEL_MESSAGE, "notice" },
	{ G_LOG_LEVEL_INFO, "info" },	    { G_LOG_LEVEL_DEBUG, "debug" },
};

void obs_json_string(GString *out, const char *s, gssize len)
{
	g_autofree char *valid = g_utf8_make_valid(s, len);
	const char *p;

	g_string_append_c(out, '"');
	for (p = valid; *p; p++) {
		if (*p == '"' || *p == '\\')
			g_string_append_printf(out, "\\%c", *p);
		else if ((unsigned char)*p < 0x20)
			g_string_append_printf(out, "\\u%04x", *p);
		else
			g_string_append_c(out, *p);
	}
	g_string_append_c(out, '"');
}

static void append_field(GString *line, const GLogField *field)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(obs_log_fields); i++) {
		if (strcmp(field->key, obs_log_fields[i].field))
			continue;
		g_string_append_printf(line, ",\"%s\":", obs_log_fields[i].key);
		obs_json_string(line, field->value, field->length);
		return;
	}
}

static const char *level_name(GLogLevelFlags level)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(obs_levels); i++)
		if (level & obs_levels[i].level)
			return obs_levels[i].name;
	return "info";
}

static gboolean write_stdout(const GString *line)
{
	ssize_t written = write(STDOUT_FILENO, line->str, line->len);

	return written == (ssize_t)line->len;
}

static void write_bounded(const GString *line)
{
	gint64 second = g_get_monotonic_time() / G_USEC_PER_SEC;
	g_autoptr(GString) note = NULL;

	if (second != log_second) {
		log_second = second;
		log_lines = 0;
	}
	if (log_lines >= log_lines_per_s) {
		log_left_out++;
		return;
	}
	log_lines++;
	if (log_left_out) {
		note = g_string_new(NULL);
		g_string_append_printf(
			note,
			"{\"level\":\"warning\",\"program\":\"%s\","
			"\"message\":\"%" G_GUINT64_FORMAT
			" log lines dropped\"}\n",
			log_program, log_left_out);
		if (!write_stdout(note)) {
			log_left_out++;
			return;
		}
		log_left_out = 0;
	}
	if (!write_stdout(line))
		log_left_out++;
}

static GLogWriterOutput write_json(GLogLevelFlags level,
				   const GLogField *fields, gsize n,
				   gpointer data G_GNUC_UNUSED)
{
	g_autoptr(GDateTime) now = NULL;
	g_autoptr(GString) line = NULL;
	g_autofree char *time = NULL;
	gsize i;

	if ((level & G_LOG_LEVEL_MASK) > log_threshold)
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
	line = g_string_new(NULL);
	g_string_append_printf(line,
			       "{\"time\":\"%s.%03dZ\",\"level\":\"%s\","
			       "\"program\":\"%s\"",
			       time, g_date_time_get_microsecond(now) / 1000,
			       level_name(level), log_program);
	for (i = 0; i < n; i++)
		append_field(line, &fields[i]);
	g_string_append(line, "}\n");
	if (log_lines_per_s)
		write_bounded(line);
	else
		fwrite(line->str, 1, line->len, stderr);
	return G_LOG_WRITER_HANDLED;
}

void obs_log_init(const char *program, GLogLevelFlags most_verbose)
{
	log_program = program;
	log_threshold = most_verbose;
	g_log_set_writer_func(write_json, NULL, NULL);
}

void obs_log_to_stdout(unsigned lines_per_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	log_lines_per_s = lines_per_s;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

int obs_log_level_parse(const char *name, GLogLevelFlags *level)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(obs_levels); i++) {
		if (!strcmp(name, obs_levels[i].name)) {
			*level = obs_levels[i].level;
			return 0;
		}
	}
	return -1;
}
