#include "cli.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

enum exit_code cli_check(const char *routes_file, const char *pools_file)
{
	g_autoptr(GError) error = NULL;
	struct cfg_tables *tables = cfg_tables_load(routes_file, pools_file,
						    &error);

	if (!tables) {
		fprintf(stderr, "radishpier: %s\n", error->message);
		return EXIT_CODE_INVALID;
	}
	printf("valid: %u pools, %u routes\n", tables->pools->len,
	       tables->routes->len);
	cfg_tables_free(tables);
	return EXIT_CODE_OK;
}

/* Reads the tables in force; reports a failure or their absence. */
static enum exit_code read_or_report(struct cli_kv *cli,
				     struct cli_current *current)
{
	g_autoptr(GError) error = NULL;
	enum exit_code code = cli_read_current(cli, current, &error);

	if (code != EXIT_CODE_OK) {
		fprintf(stderr, "radishpier: %s\n", error->message);
		return code;
	}
	if (current->tables)
		return EXIT_CODE_OK;
	fprintf(stderr, "radishpier: no tables were applied yet\n");
	return EXIT_CODE_FAILED;
}

enum exit_code cli_show(struct cli_kv *cli)
{
	struct cli_current current;
	enum exit_code code = read_or_report(cli, &current);
	const void *data;
	char *text;
	json_t *json;
	gsize len;

	if (code != EXIT_CODE_OK)
		return code;
	/* Prints the stored document, with keys that this version ignores. */
	data = g_bytes_get_data(current.document, &len);
	json = json_loadb(data, len, 0, NULL);
	text = json_dumps(json, JSON_INDENT(2));
	puts(text);
	free(text);
	json_decref(json);
	cli_current_clear(&current);
	return EXIT_CODE_OK;
}

static void print_entry(const struct kv_pair *pair)
{
	const void *data;
	g_autofree char *time = NULL;
	g_auto(GStrv) lines = NULL;
	json_int_t generation;
	json_int_t parent;
	json_int_t unix_ms;
	const char *author;
	const char *diff;
	json_t *json;
	gsize len;
	size_t i;

	data = g_bytes_get_data(pair->value, &len);
	json = json_loadb(data, len, 0, NULL);
	if (json_unpack(json, "{s:I, s:I, s:s, s:I, s:s}", "generation",
			&generation, "parent_generation", &parent, "author",
			&author, "applied_unix_ms", &unix_ms, "diff",
			&diff) < 0) {
		printf("%s: not readable\n", pair->key);
		json_decref(json);
		return;
	}
	time = cli_time_text(unix_ms);
	printf("generation %" JSON_INTEGER_FORMAT " from %" JSON_INTEGER_FORMAT
	       " by %s at %s\n",
	       generation, parent, author, time);
	lines = g_strsplit(diff, "\n", -1);
	for (i = 0; lines[i]; i++)
		if (*lines[i])
			printf("    %s\n", lines[i]);
	json_decref(json);
}

enum exit_code cli_history(struct cli_kv *cli, unsigned last)
{
	struct cli_current current;
	enum exit_code code = read_or_report(cli, &current);
	guint64 generation;
	guint64 first;

	if (code != EXIT_CODE_OK)
		return code;
	generation = current.tables->generation;
	first = generation > last ? generation - last : 0;
	cli_current_clear(&current);
	/* One read per entry, since the whole history has no bound. */
	for (; generation > first; generation--) {
		g_autofree char *key = cli_history_key(generation);
		g_autoptr(GError) error = NULL;
		g_autoptr(GPtrArray)
			pairs = cli_kv_range(cli, key, TRUE, &error);

		if (!pairs) {
			fprintf(stderr, "radishpier: %s\n", error->message);
			return EXIT_CODE_UNAVAILABLE;
		}
		if (pairs->len)
			print_entry(pairs->pdata[0]);
		else
			printf("generation %" G_GUINT64_FORMAT
			       ": no history entry\n",
			       generation);
	}
	return cli_evacuation_history(cli, last);
}
