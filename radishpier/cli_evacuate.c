#include "cli.h"

#include <stdio.h>
#include <string.h>

#include "../evac/evac.h"

/*
 * The command evacuate. A change is one transaction, as in cli_apply.c: it
 * requires that the document's key still has the revision that was read and
 * that the history has no entry of the new generation. The history entry has an
 * id of its own, so it shows whether a transaction without an answer took
 * effect.
 */

/* Duration and interval of the reads that resolve an unknown outcome. */
#define RESOLVE_TIMEOUT_MS 30000
#define RESOLVE_INTERVAL_MS 500

/* A change of the document, and what is written for it. */
struct change {
	const struct cli_evacuate *options;
	/** The document in force, and the revision of its key; 0: absent. */
	struct evac *held;
	gint64 mod_revision;
	struct evac *next;
	GBytes *document;
	GBytes *history;
	gint64 now_unix_ms;
};

static void clear_change(struct change *change)
{
	evac_free(change->held);
	evac_free(change->next);
	g_clear_pointer(&change->document, g_bytes_unref);
	g_clear_pointer(&change->history, g_bytes_unref);
}

static enum exit_code fail(enum exit_code code, const char *text,
			   const char *what)
{
	fprintf(stderr, "radishpier: %s; %s\n", text, what);
	return code;
}

/*
 * Reads the document's key; returns the document, of generation 0 if the key is
 * absent, or NULL with an error and *code.
 */
static struct evac *read_document(struct cli_kv *cli, gint64 *mod_revision,
				  enum exit_code *code, GError **error)
{
	g_autoptr(GPtrArray) pairs = cli_kv_range(cli, EVAC_KEY, TRUE, error);
	const struct kv_pair *pair;
	const void *data;
	gsize len;

	*code = EXIT_CODE_UNAVAILABLE;
	*mod_revision = 0;
	if (!pairs)
		return NULL;
	if (!pairs->len)
		return evac_new();
	*code = EXIT_CODE_INVALID;
	pair = pairs->pdata[0];
	*mod_revision = pair->mod_revision;
	data = g_bytes_get_data(pair->value, &len);
	return evac_decode(data, len, error);
}

static GBytes *history_value(const struct change *change)
{
	const struct cli_evacuate *options = change->options;
	g_autofree char *id = g_uuid_string_random();
	g_autofree char *zones = evac_zone_names(change->next);
	json_t *json =
		json_pack("{s:I, s:s, s:s, s:s, s:s, s:I, s:s, s:s}",
			  "generation", (json_int_t)change->next->generation,
			  "action", options->end ? "end" : "evacuate", "zone",
			  options->zone, "author", options->author, "reason",
			  options->reason ? options->reason : "",
			  "applied_unix_ms", (json_int_t)change->now_unix_ms,
			  "evacuated", zones, "change_id", id);
	char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);

	json_decref(json);
	return g_bytes_new_take(text, strlen(text));
}

static json_t *read_history(struct cli_kv *cli, guint64 generation)
{
	g_autofree char *key = evac_history_key(generation);
	g_autoptr(GPtrArray) pairs = cli_kv_range(cli, key, TRUE, NULL);
	const void *data;
	gsize len;

	if (!pairs || !pairs->len)
		return NULL;
	data = g_bytes_get_data(((struct kv_pair *)pairs->pdata[0])->value,
				&len);
	return json_loadb(len ? data : "", len, 0, NULL);
}

/* Returns a text such as "evacuate zone a"; the caller frees it. */
static char *change_text(const json_t *entry)
{
	return g_strdup_printf("%s zone %s",
			       cli_string_or_dash(entry, "action"),
			       cli_string_or_dash(entry, "zone"));
}

static gint64 entry_time(const json_t *entry)
{
	return json_integer_value(json_object_get(entry, "applied_unix_ms"));
}

/* TRUE if the document's key still has the revision that was read. */
static gboolean is_unchanged(struct cli_kv *cli, const struct change *change)
{
	g_autoptr(GPtrArray) pairs = cli_kv_range(cli, EVAC_KEY, TRUE, NULL);

	return pairs &&
	       (pairs->len ? ((struct kv_pair *)pairs->pdata[0])->mod_revision
			   : 0) == change->mod_revision;
}

/* Reports who changed the document since it was read. */
static enum exit_code report_conflict(struct cli_kv *cli,
				      const struct change *change)
{
	json_t *winner = read_history(cli, change->next->generation);
	g_autofree char *text = winner ? change_text(winner) : NULL;
	g_autofree char *time = winner ? cli_time_text(entry_time(winner))
				       : NULL;

	if (winner && is_unchanged(cli, change)) {
		fprintf(stderr,
			"radishpier: the history has an entry of generation "
			"%" G_GUINT64_FORMAT
			" already, although the key " EVAC_KEY
			" does not; nothing was changed\n",
			change->next->generation);
		json_decref(winner);
		return EXIT_CODE_FAILED;
	}
	if (!winner)
		return fail(EXIT_CODE_FAILED,
			    "the evacuations were changed meanwhile",
			    "nothing of this command was changed");
	fprintf(stderr,
		"radishpier: %s won with generation %" G_GUINT64_FORMAT
		" at %s (%s); nothing of this command was changed\n",
		cli_string_or_dash(winner, "author"), change->next->generation,
		time, text);
	json_decref(winner);
	return EXIT_CODE_FAILED;
}

static enum exit_code report_applied(const struct change *change)
{
	g_autofree char *names = evac_zone_names(change->next);

	printf("applied generation %" G_GUINT64_FORMAT ": zone %s is %s\n"
	       "evacuated zones: %s\n",
	       change->next->generation, change->options->zone,
	       change->options->end ? "in service" : "evacuated",
	       *names ? names : "none");
	return EXIT_CODE_OK;
}

/* Returns 1 if applied, 0 if a comparison failed, -1 with a KV_ERROR. */
static int write_change(struct cli_kv *cli, const struct change *change,
			GError **error)
{
	g_autofree char *key = evac_history_key(change->next->generation);
	struct kv_txn *txn = kv_txn_new();
	int ret;

	kv_txn_compare(txn, EVAC_KEY, KV_COMPARE_MOD_REVISION,
		       change->mod_revision);
	kv_txn_compare(txn, key, KV_COMPARE_CREATE_REVISION, 0);
	kv_txn_put(txn, EVAC_KEY, change->document, 0);
	kv_txn_put(txn, key, change->history, 0);
	ret = cli_kv_txn(cli, txn, error);
	kv_txn_free(txn);
	return ret;
}

/* Returns 1 if the history has this change, 0 if not, -1 if the read failed. */
static int is_in_history(struct cli_kv *cli, const struct change *change)
{
	g_autofree char *key = evac_history_key(change->next->generation);

	return cli_kv_has_value(cli, key, change->history);
}

/*
 * Reads whether the change took effect; returns TRUE and sets *code if that is
 * known. The history is read after the document's key, so it has the change if
 * the key had it. While the key is unchanged, the first transaction may still
 * be applied later, so it is sent again: its comparisons let only one of the
 * two take effect.
 */
static gboolean resolve_once(struct cli_kv *cli, const struct change *change,
			     enum exit_code *code)
{
	g_autoptr(GPtrArray) pairs = cli_kv_range(cli, EVAC_KEY, TRUE, NULL);
	gint64 revision;
	int applied;

	if (!pairs)
		return FALSE;
	revision = pairs->len
			   ? ((struct kv_pair *)pairs->pdata[0])->mod_revision
			   : 0;
	applied = is_in_history(cli, change);
	if (applied < 0)
		return FALSE;
	if (!applied && revision == change->mod_revision &&
	    write_change(cli, change, NULL) != 1)
		return FALSE;
	if (applied || revision == change->mod_revision)
		*code = report_applied(change);
	else
		*code = report_conflict(cli, change);
	return TRUE;
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
		" of the evacuations was applied; run \"radishpier history\" "
		"when the platform answers again\n",
		change->next->generation);
	return EXIT_CODE_UNKNOWN;
}

static enum exit_code commit(struct cli_kv *cli, struct change *change)
{
	g_autoptr(GError) error = NULL;

	change->document = evac_encode(change->next);
	change->history = history_value(change);
	switch (write_change(cli, change, &error)) {
	case 1:
		return report_applied(change);
	case 0:
		return report_conflict(cli, change);
	default:
		break;
	}
	if (g_error_matches(error, KV_ERROR, KV_ERROR_UNKNOWN)) {
		fail(EXIT_CODE_UNKNOWN, error->message,
		     "reading back whether the change was applied");
		return resolve(cli, change);
	}
	return fail(g_error_matches(error, KV_ERROR, KV_ERROR_UNAVAILABLE)
			    ? EXIT_CODE_UNAVAILABLE
			    : EXIT_CODE_FAILED,
		    error->message, "nothing was changed");
}

/* Adds the zones of the VMs whose agents are connected to the entry. */
static void add_zones(const struct cli_source *source, GPtrArray *zones)
{
	const json_t *list = json_object_get(
		json_object_get(source->status, "entry"), "upstreams");
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const char *zone = json_string_value(
			json_object_get(json_array_get(list, i), "zone"));

		if (zone && !g_ptr_array_find_with_equal_func(
				    zones, zone, g_str_equal, NULL))
			g_ptr_array_add(zones, (void *)zone);
	}
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* TRUE if an entry has reported a VM in the zone ctx. */
static gboolean has_zone(void *ctx, const GPtrArray *sources)
{
	g_autoptr(GPtrArray) zones = g_ptr_array_new();
	guint i;

	for (i = 0; i < sources->len; i++)
		add_zones(sources->pdata[i], zones);
	return g_ptr_array_find_with_equal_func(zones, ctx, g_str_equal, NULL);
}

/*
 * Checks that a VM is in the zone, by what the entries report. Entries that do
 * not answer, or have no agent, do not know the zones: then the zone is
 * accepted with a warning.
 */
static enum exit_code check_zone(struct cli_kv *cli, const char *zone)
{
	/* One that hangs must not delay the evacuation. */
	struct cli_ask ask = { .is_enough = has_zone, .ctx = (void *)zone };
	g_autoptr(GPtrArray) sources = cli_ask_entries(cli, &ask, NULL);
	g_autoptr(GPtrArray) zones = g_ptr_array_new();
	g_autofree char *names = NULL;
	guint i;

	for (i = 0; sources && i < sources->len; i++)
		add_zones(sources->pdata[i], zones);
	if (!zones->len) {
		fprintf(stderr,
			"radishpier: warning: no entry could be asked which "
			"zones exist, so zone %s was not checked\n",
			zone);
		return EXIT_CODE_OK;
	}
	if (g_ptr_array_find_with_equal_func(zones, zone, g_str_equal, NULL))
		return EXIT_CODE_OK;
	g_ptr_array_sort(zones, compare_names);
	g_ptr_array_add(zones, NULL);
	names = g_strjoinv(", ", (char **)zones->pdata);
	fprintf(stderr,
		"radishpier: no VM is in zone %s; expected one of: %s; nothing "
		"was changed\n",
		zone, names);
	return EXIT_CODE_FAILED;
}

/* Makes the next document; returns NULL with an EVAC_ERROR. */
static struct evac *make_next(const struct change *change, GError **error)
{
	const struct cli_evacuate *options = change->options;
	struct evac_zone zone = { .zone = (char *)options->zone,
				  .author = (char *)options->author,
				  .reason = (char *)options->reason,
				  .since_unix_ms = change->now_unix_ms };

	if (!options->end)
		return evac_begin(change->held, &zone, error);
	if (evac_check_author(options->author, error) < 0 ||
	    (options->reason && evac_check_reason(options->reason, error) < 0))
		return NULL;
	return evac_end(change->held, options->zone, error);
}

static enum exit_code run(struct cli_kv *cli, struct change *change)
{
	g_autoptr(GError) error = NULL;
	enum exit_code code;

	change->held = read_document(cli, &change->mod_revision, &code, &error);
	if (!change->held)
		return fail(code, error->message, "nothing was changed");
	if (change->held->has_unknown_keys)
		return fail(EXIT_CODE_FAILED,
			    "the evacuation document has keys that this "
			    "version (" RADISHPIER_VERSION
			    ") does not know and would drop; expected the "
			    "version that wrote them, or a later one",
			    "nothing was changed");
	change->next = make_next(change, &error);
	if (!change->next)
		return fail(
			g_error_matches(error, EVAC_ERROR, EVAC_ERROR_INVALID)
				? EXIT_CODE_USAGE
				: EXIT_CODE_FAILED,
			error->message, "nothing was changed");
	if (!change->options->end) {
		code = check_zone(cli, change->options->zone);
		if (code != EXIT_CODE_OK)
			return code;
	}
	return commit(cli, change);
}

enum exit_code cli_evacuate(struct cli_kv *cli,
			    const struct cli_evacuate *options)
{
	struct change change = { .options = options };
	enum exit_code code;

	change.now_unix_ms = g_get_real_time() / 1000;
	code = run(cli, &change);
	clear_change(&change);
	return code;
}

static void print_entry(guint64 generation, const json_t *entry)
{
	g_autofree char *text = change_text(entry);
	g_autofree char *time = cli_time_text(entry_time(entry));

	printf("evacuations %" G_GUINT64_FORMAT
	       " by %s at %s\n    %s: %s\n    evacuated zones: %s\n",
	       generation, cli_string_or_dash(entry, "author"), time, text,
	       cli_string_or_dash(entry, "reason"),
	       cli_string_or_dash(entry, "evacuated"));
}

enum exit_code cli_evacuation_history(struct cli_kv *cli, unsigned last)
{
	g_autoptr(GError) error = NULL;
	enum exit_code code;
	gint64 mod_revision;
	struct evac *held = read_document(cli, &mod_revision, &code, &error);
	guint64 generation;
	guint64 first;

	if (!held)
		return fail(code, error->message,
			    "the history of evacuations was not read");
	generation = held->generation;
	evac_free(held);
	first = generation > last ? generation - last : 0;
	for (; generation > first; generation--) {
		json_t *entry = read_history(cli, generation);

		if (entry)
			print_entry(generation, entry);
		else
			printf("evacuations %" G_GUINT64_FORMAT
			       ": no history entry\n",
			       generation);
		json_decref(entry);
	}
	return EXIT_CODE_OK;
}
