#include "evac.h"

#include <jansson.h>
#include <string.h>

/* The same limit as for zones in settings and in frames. */
#define MAX_ZONE_BYTES 64

static const char *const document_keys[] = { "generation", "zones", NULL };
static const char *const zone_keys[] = { "zone", "author", "reason",
					 "since_unix_ms", NULL };

G_DEFINE_QUARK(evac_error_quark, evac_error)

static void zone_free(void *data)
{
	struct evac_zone *zone = data;

	g_free(zone->zone);
	g_free(zone->author);
	g_free(zone->reason);
	g_free(zone);
}

static struct evac_zone *zone_copy(const struct evac_zone *from)
{
	struct evac_zone *zone = g_new0(struct evac_zone, 1);

	zone->zone = g_strdup(from->zone);
	zone->author = g_strdup(from->author);
	zone->reason = g_strdup(from->reason);
	zone->since_unix_ms = from->since_unix_ms;
	return zone;
}

struct evac *evac_new(void)
{
	struct evac *evac = g_new0(struct evac, 1);

	evac->zones = g_ptr_array_new_with_free_func(zone_free);
	return evac;
}

void evac_free(struct evac *evac)
{
	if (!evac)
		return;
	g_ptr_array_unref(evac->zones);
	g_free(evac);
}

static json_t *zone_json(const struct evac_zone *zone)
{
	return json_pack("{s:s, s:s, s:s, s:I}", "zone", zone->zone, "author",
			 zone->author, "reason", zone->reason, "since_unix_ms",
			 (json_int_t)zone->since_unix_ms);
}

GBytes *evac_encode(const struct evac *evac)
{
	json_t *zones = json_array();
	json_t *json;
	char *text;
	guint i;

	for (i = 0; i < evac->zones->len; i++)
		json_array_append_new(zones, zone_json(evac->zones->pdata[i]));
	json = json_pack("{s:I, s:o}", "generation",
			 (json_int_t)evac->generation, "zones", zones);
	text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	g_assert(text);
	json_decref(json);
	/* jansson allocates with malloc(), as GLib does. */
	return g_bytes_new_take(text, strlen(text));
}

static int invalid(GError **error, const char *field, const char *expected)
{
	g_set_error(error, EVAC_ERROR, EVAC_ERROR_INVALID, "%s: expected %s",
		    field, expected);
	return -1;
}

/* TRUE for 1 to max bytes of UTF-8 on one line. */
static gboolean is_one_line(const char *text, size_t max)
{
	const char *p;

	for (p = text; *p; p++)
		if ((unsigned char)*p < ' ' || *p == 0x7f)
			return FALSE;
	return p > text && (size_t)(p - text) <= max &&
	       g_utf8_validate(text, -1, NULL);
}

static gboolean is_zone_name(const char *text)
{
	const char *p;

	for (p = text; *p; p++)
		if (!g_ascii_isalnum(*p) && !strchr("._-", *p))
			return FALSE;
	return p > text && p - text <= MAX_ZONE_BYTES;
}

int evac_check_author(const char *author, GError **error)
{
	if (is_one_line(author, EVAC_MAX_AUTHOR_BYTES))
		return 0;
	return invalid(error, "author",
		       "1 to 128 bytes of UTF-8 on one line, not an empty "
		       "text");
}

int evac_check_reason(const char *reason, GError **error)
{
	if (is_one_line(reason, EVAC_MAX_REASON_BYTES))
		return 0;
	return invalid(error, "reason",
		       "1 to 512 bytes of UTF-8 on one line, not an empty "
		       "text");
}

static int check_zone(const struct evac_zone *zone, GError **error)
{
	if (!is_zone_name(zone->zone))
		return invalid(error, "zone",
			       "1 to 64 letters, digits, '.', '_' or '-'");
	if (evac_check_author(zone->author, error) < 0 ||
	    evac_check_reason(zone->reason, error) < 0)
		return -1;
	if (zone->since_unix_ms < 0)
		return invalid(error, "since_unix_ms", "at least 0");
	return 0;
}

/* Compares a zone's name with an element of the array, for a binary search. */
static int compare_zones(const void *a, const void *b)
{
	const struct evac_zone *x = *(const struct evac_zone *const *)a;
	const struct evac_zone *y = *(const struct evac_zone *const *)b;

	return strcmp(x->zone, y->zone);
}

static gboolean has_unknown_keys(json_t *object, const char *const *known)
{
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		if (!g_strv_contains(known, key))
			return TRUE;
	}
	return FALSE;
}

static int read_zone(json_t *json, struct evac *evac, GError **error)
{
	struct evac_zone zone = { 0 };
	json_int_t since_unix_ms;
	json_error_t cause;

	if (json_unpack_ex(json, &cause, 0, "{s:s, s:s, s:s, s:I}", "zone",
			   &zone.zone, "author", &zone.author, "reason",
			   &zone.reason, "since_unix_ms", &since_unix_ms) < 0) {
		g_set_error(error, EVAC_ERROR, EVAC_ERROR_INVALID, "zones: %s",
			    cause.text);
		return -1;
	}
	zone.since_unix_ms = since_unix_ms;
	if (check_zone(&zone, error) < 0)
		return -1;
	if (evac_find(evac, zone.zone))
		return invalid(error, "zones", "each zone at most once");
	evac->has_unknown_keys |= has_unknown_keys(json, zone_keys);
	g_ptr_array_add(evac->zones, zone_copy(&zone));
	g_ptr_array_sort(evac->zones, compare_zones);
	return 0;
}

static int read_document(json_t *json, struct evac *evac, GError **error)
{
	json_int_t generation;
	json_t *zones;
	json_error_t cause;
	size_t i;

	if (json_unpack_ex(json, &cause, 0, "{s:I, s:o}", "generation",
			   &generation, "zones", &zones) < 0) {
		g_set_error(error, EVAC_ERROR, EVAC_ERROR_INVALID, "%s",
			    cause.text);
		return -1;
	}
	if (generation < 1)
		return invalid(error, "generation", "at least 1");
	if (!json_is_array(zones) || json_array_size(zones) > EVAC_MAX_ZONES)
		return invalid(error, "zones", "an array of at most 256");
	evac->generation = (guint64)generation;
	evac->has_unknown_keys = has_unknown_keys(json, document_keys);
	for (i = 0; i < json_array_size(zones); i++)
		if (read_zone(json_array_get(zones, i), evac, error) < 0)
			return -1;
	return 0;
}

struct evac *evac_decode(const void *data, size_t len, GError **error)
{
	struct evac *evac = evac_new();
	json_error_t cause;
	json_t *json = json_loadb(len ? data : "", len, JSON_REJECT_DUPLICATES,
				  &cause);
	int ret = -1;

	if (json)
		ret = read_document(json, evac, error);
	else
		g_set_error(error, EVAC_ERROR, EVAC_ERROR_INVALID,
			    "byte %d: %s", cause.position, cause.text);
	json_decref(json);
	if (ret == 0)
		return evac;
	g_prefix_error(error, "evacuation document: ");
	evac_free(evac);
	return NULL;
}

const struct evac_zone *evac_find(const struct evac *evac, const char *zone)
{
	guint i;

	for (i = 0; i < evac->zones->len; i++) {
		const struct evac_zone *item = evac->zones->pdata[i];

		if (!strcmp(item->zone, zone))
			return item;
	}
	return NULL;
}

/* Returns the next generation without the zone, which may be absent. */
static struct evac *next_without(const struct evac *held, const char *zone)
{
	struct evac *next = evac_new();
	guint i;

	next->generation = held->generation + 1;
	for (i = 0; i < held->zones->len; i++) {
		const struct evac_zone *item = held->zones->pdata[i];

		if (strcmp(item->zone, zone) != 0)
			g_ptr_array_add(next->zones, zone_copy(item));
	}
	return next;
}

struct evac *evac_begin(const struct evac *held, const struct evac_zone *zone,
			GError **error)
{
	const struct evac_zone *other;
	struct evac *next;

	if (check_zone(zone, error) < 0)
		return NULL;
	other = evac_find(held, zone->zone);
	if (other) {
		g_set_error(error, EVAC_ERROR, EVAC_ERROR_EVACUATED,
			    "zone %s is evacuated already, by %s: %s",
			    zone->zone, other->author, other->reason);
		return NULL;
	}
	if (held->zones->len >= EVAC_MAX_ZONES) {
		invalid(error, "zones", "at most 256 evacuated zones");
		return NULL;
	}
	next = next_without(held, zone->zone);
	g_ptr_array_add(next->zones, zone_copy(zone));
	g_ptr_array_sort(next->zones, compare_zones);
	return next;
}

struct evac *evac_end(const struct evac *held, const char *zone, GError **error)
{
	g_autofree char *names = NULL;

	if (evac_find(held, zone))
		return next_without(held, zone);
	names = evac_zone_names(held);
	g_set_error(error, EVAC_ERROR, EVAC_ERROR_NOT_EVACUATED,
		    "zone %s is not evacuated; evacuated: %s", zone,
		    *names ? names : "none");
	return NULL;
}

char *evac_history_key(guint64 generation)
{
	return g_strdup_printf(EVAC_HISTORY_PREFIX "%020" G_GUINT64_FORMAT,
			       generation);
}

enum evac_adopt evac_compare(const struct evac *held,
			     const struct evac *received)
{
	g_autoptr(GBytes) held_bytes = NULL;
	g_autoptr(GBytes) received_bytes = NULL;

	if (received->generation != held->generation)
		return received->generation > held->generation
			       ? EVAC_ADOPT_NEWER
			       : EVAC_ADOPT_OLDER;
	held_bytes = evac_encode(held);
	received_bytes = evac_encode(received);
	return g_bytes_equal(held_bytes, received_bytes) ? EVAC_ADOPT_SAME
							 : EVAC_ADOPT_CONFLICT;
}

char *evac_zone_names(const struct evac *evac)
{
	GString *names = g_string_new(NULL);
	guint i;

	for (i = 0; i < evac->zones->len; i++) {
		const struct evac_zone *zone = evac->zones->pdata[i];

		g_string_append_printf(names, "%s%s", i ? ", " : "",
				       zone->zone);
	}
	return g_string_free(names, FALSE);
}
