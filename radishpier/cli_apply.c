#include "cli.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/*
 * An apply is one transaction. It requires that the tables key still has the
 * revision that was read and that the history entry is absent, so it takes
 * effect at most once, even if it is sent twice.
 */

/* Duration and interval of the reads that resolve an unknown outcome. */
#define RESOLVE_TIMEOUT_MS 30000
#define RESOLVE_INTERVAL_MS 500

/* JSON escapes at most double the length, so the history entry fits. */
#define MAX_DIFF_BYTES (KV_MAX_VALUE_BYTES / 4)

/* A change of the tables, and what is written for it. */
struct change {
	struct cfg_tables *tables;
	GBytes *document;
	GBytes *history;
	char *diff;
	/* Revision of the tables key that the change is based on. */
	gint64 mod_revision;
};

static void clear_change(struct change *change)
{
	cfg_tables_free(change->tables);
	g_clear_pointer(&change->document, g_bytes_unref);
	g_clear_pointer(&change->history, g_bytes_unref);
	g_free(change->diff);
}

static void report(const GError *error, const char *text)
{
	fprintf(stderr, "radishpier: %s%s%s\n", error ? error->message : "",
		error ? "; " : "", text);
}

static GBytes *history_value(const struct change *change)
{
	const struct cfg_tables *tables = change->tables;
	gboolean whole = strlen(change->diff) <= MAX_DIFF_BYTES;
	g_autofree char *diff =
		g_strdup_printf("%.*s%s", MAX_DIFF_BYTES, change->diff,
				whole ? "" : "\n(the rest is left out)\n");
	json_t *json =
		json_pack("{s:I, s:I, s:s, s:I, s:s}", "generation",
			  (json_int_t)tables->generation, "parent_generation",
			  (json_int_t)tables->parent_generation, "author",
			  tables->author, "applied_unix_ms",
			  (json_int_t)tables->applied_unix_ms, "diff", diff);
	char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	GBytes *value = g_bytes_new(text, strlen(text));

	free(text);
	json_decref(json);
	return value;
}

/* Completes change->tables and encodes what is written. */
static int prepare(struct change *change, const struct cli_current *current,
		   const char *author, GError **error)
{
	const struct cfg_tables *parent = current->tables;
	struct cfg_tables *tables = change->tables;
	const void *data;
	gsize len;

	tables->parent_generation = parent ? parent->generation : 0;
	tables->generation = tables->parent_generation + 1;
	tables->incarnation = parent ? g_strdup(parent->incarnation)
				     : g_uuid_string_random();
	tables->author = g_strdup(author);
	tables->applied_unix_ms = g_get_real_time() / 1000;
	change->mod_revision = current->mod_revision;
	change->document = cfg_tables_encode(tables);
	change->history = history_value(change);
	data = g_bytes_get_data(change->document, &len);
	if (len > KV_MAX_VALUE_BYTES) {
		g_set_error(error, CFG_ERROR, CFG_ERROR_INVALID,
			    "the encoded tables have %zu bytes; expected at "
			    "most %d",
			    len, KV_MAX_VALUE_BYTES);
		return -1;
	}
	/* Sets the digest and checks that entries can decode the document. */
	tables = cfg_tables_decode(data, len, error);
	if (!tables)
		return -1;
	cfg_tables_free(change->tables);
	change->tables = tables;
	return 0;
}

/* Returns 1 if applied, 0 if a comparison failed, -1 with a KV_ERROR. */
static int write_change(struct cli_kv *cli, const struct change *change,
			GError **error)
{
	g_autofree char *key = cli_history_key(change->tables->generation);
	struct kv_txn *txn = kv_txn_new();
	int ret;

	kv_txn_compare(txn, CLI_TABLES_KEY, KV_COMPARE_MOD_REVISION,
		       change->mod_revision);
	kv_txn_compare(txn, key, KV_COMPARE_CREATE_REVISION, 0);
	kv_txn_put(txn, CLI_TABLES_KEY, change->document, 0);
	kv_txn_put(txn, key, change->history, 0);
	ret = cli_kv_txn(cli, txn, error);
	kv_txn_free(txn);
	return ret;
}

static enum exit_code report_applied(const struct change *change)
{
	printf("applied generation %" G_GUINT64_FORMAT "\n%s",
	       change->tables->generation, change->diff);
	return EXIT_CODE_OK;
}

/* Reports who changed the tables since they were read. */
static enum exit_code report_conflict(const struct change *change,
				      const struct cli_current *current)
{
	const struct cfg_tables *winner = current->tables;
	g_autofree char *time = NULL;

	if (current->mod_revision == change->mod_revision) {
		fprintf(stderr,
			"radishpier: the history has an entry of generation "
			"%" G_GUINT64_FORMAT
			" already, although the tables key does not; nothing "
			"was changed\n",
			change->tables->generation);
		return EXIT_CODE_FAILED;
	}
	if (!winner) {
		report(NULL, "the tables were deleted meanwhile; nothing was "
			     "changed");
		return EXIT_CODE_FAILED;
	}
	time = cli_time_text(winner->applied_unix_ms);
	fprintf(stderr,
		"radishpier: %s won with generation %" G_GUINT64_FORMAT
		" at %s; nothing of this apply was changed\n",
		winner->author, winner->generation, time);
	return EXIT_CODE_FAILED;
}

/* TRUE if a is the result of the change that wrote b. */
static gboolean is_same(const struct cfg_tables *a, const struct cfg_tables *b)
{
	return a && !strcmp(a->incarnation, b->incarnation) &&
	       a->generation == b->generation &&
	       !strcmp(a->author, b->author) && a->digest == b->digest;
}

/* Returns 1 if the history has this change, 0 if not, -1 if the read failed. */
static int is_in_history(struct cli_kv *cli, const struct change *change)
{
	g_autofree char *key = cli_history_key(change->tables->generation);

	return cli_kv_has_value(cli, key, change->history);
}

/*
 * Reads whether the change took effect; returns TRUE and sets *code if that is
 * known. While the tables key is unchanged, the first transaction may still be
 * applied later, so it is sent again: its comparisons let only one of the two
 * take effect.
 */
static gboolean resolve_once(struct cli_kv *cli, const struct change *change,
			     enum exit_code *code)
{
	struct cli_current current;
	gboolean known = TRUE;
	int applied;

	if (cli_read_current(cli, &current, NULL) != EXIT_CODE_OK)
		return FALSE;
	applied = is_same(current.tables, change->tables);
	if (!applied && current.mod_revision == change->mod_revision) {
		applied = write_change(cli, change, NULL) == 1;
		known = applied;
	} else if (!applied) {
		/* The change may have been applied and then replaced. */
		applied = is_in_history(cli, change);
		known = applied >= 0;
	}
	if (known)
		*code = applied ? report_applied(change)
				: report_conflict(change, &current);
	cli_current_clear(&current);
	return known;
}

static enum exit_code resolve(struct cli_kv *cli, const struct change *change)
{
	gint64 end_us = g_get_monotonic_time() + RESOLVE_TIMEOUT_MS * 1000;
	enum exit_code code;

	while (g_get_monotonic_time() < end_us) {
		if (resolve_once(cli, change, &code))
			return code;
		g_usleep(RESOLVE_INTERVAL_MS * 1000);
	}
	fprintf(stderr,
		"radishpier: it is unknown whether generation "
		"%" G_GUINT64_FORMAT
		" by %s was applied; run \"radishpier show\" when the "
		"platform answers again\n",
		change->tables->generation, change->tables->author);
	return EXIT_CODE_UNKNOWN;
}

static enum exit_code commit(struct cli_kv *cli, const struct change *change)
{
	g_autoptr(GError) error = NULL;
	struct cli_current current;
	enum exit_code code;

	switch (write_change(cli, change, &error)) {
	case 1:
		return report_applied(change);
	case 0:
		if (cli_read_current(cli, &current, &error) != EXIT_CODE_OK) {
			report(error, "another apply won; nothing of this one "
				      "was changed");
			return EXIT_CODE_FAILED;
		}
		code = report_conflict(change, &current);
		cli_current_clear(&current);
		return code;
	default:
		break;
	}
	if (g_error_matches(error, KV_ERROR, KV_ERROR_UNKNOWN)) {
		report(error, "reading back whether the change was applied");
		return resolve(cli, change);
	}
	report(error, "nothing was changed");
	return g_error_matches(error, KV_ERROR, KV_ERROR_UNAVAILABLE)
		       ? EXIT_CODE_UNAVAILABLE
		       : EXIT_CODE_FAILED;
}

/* Applies the change if it differs from the tables in force. */
static enum exit_code apply_to(struct cli_kv *cli, struct change *change,
			       const struct cli_current *current,
			       const struct cli_apply *options)
{
	guint64 generation = current->tables ? current->tables->generation : 0;
	g_autoptr(GError) error = NULL;

	if (options->expect >= 0 && generation != (guint64)options->expect) {
		fprintf(stderr,
			"radishpier: generation %" G_GUINT64_FORMAT
			" by %s is in force; expected %" G_GINT64_FORMAT
			"; nothing was changed\n",
			generation,
			current->tables ? current->tables->author : "nobody",
			options->expect);
		return EXIT_CODE_FAILED;
	}
	if (current->tables && current->tables->unknown_keys) {
		fprintf(stderr,
			"radishpier: generation %" G_GUINT64_FORMAT
			" by %s has keys that this version (" RADISHPIER_VERSION
			") does not know and would drop: %s; expected the "
			"version that wrote them, or a later one; nothing was "
			"changed\n",
			generation, current->tables->author,
			current->tables->unknown_keys);
		return EXIT_CODE_FAILED;
	}
	change->diff = cfg_tables_diff(current->tables, change->tables);
	if (current->tables && !*change->diff) {
		printf("no change: generation %" G_GUINT64_FORMAT
		       " has the same tables\n",
		       generation);
		return EXIT_CODE_OK;
	}
	if (prepare(change, current, options->author, &error) < 0) {
		report(error, "nothing was changed");
		return EXIT_CODE_INVALID;
	}
	return commit(cli, change);
}

enum exit_code cli_apply(struct cli_kv *cli, const struct cli_apply *options)
{
	struct change change = { 0 };
	struct cli_current current;
	g_autoptr(GError) error = NULL;
	enum exit_code code;

	change.tables = cfg_tables_load(options->routes_file,
					options->pools_file, &error);
	if (!change.tables) {
		report(error, "nothing was changed");
		return EXIT_CODE_INVALID;
	}
	code = cli_read_current(cli, &current, &error);
	if (code == EXIT_CODE_OK)
		code = apply_to(cli, &change, &current, options);
	else
		report(error, code == EXIT_CODE_UNAVAILABLE
				      ? "the platform cannot be reached, so "
					"nothing was changed"
				      : "nothing was changed");
	cli_current_clear(&current);
	clear_change(&change);
	return code;
}
