#ifndef EVAC_H
#define EVAC_H

#include <glib.h>

/*
 * The evacuation document: the availability zones that operators took out of
 * service. It is one JSON value in the key-value store; entries pass its bytes
 * on to agents and to each other. This package has its codec, its checks and
 * the rules by which a change is made and a received document is adopted. It
 * does no I/O.
 */

/** Key of the document, and prefix of the keys of its history. */
#define EVAC_KEY "radishpier/evacuations"
#define EVAC_HISTORY_PREFIX "radishpier/evacuation-history/"

/** Maximum number of zones in a document; the target size has 19 zones. */
#define EVAC_MAX_ZONES 256

/** Maximum lengths in bytes. */
#define EVAC_MAX_AUTHOR_BYTES 128
#define EVAC_MAX_REASON_BYTES 512

#define EVAC_ERROR evac_error_quark()
GQuark evac_error_quark(void);

enum evac_error {
	/** The document, or the name, author or reason given, is not valid. */
	EVAC_ERROR_INVALID,
	/** The zone is evacuated already. */
	EVAC_ERROR_EVACUATED,
	/** The zone is not evacuated, so its evacuation cannot end. */
	EVAC_ERROR_NOT_EVACUATED,
};

/** The evacuation of one zone. */
struct evac_zone {
	char *zone;
	/** Who evacuated it, and why. */
	char *author;
	char *reason;
	gint64 since_unix_ms;
};

/** A document. Generation 0, without zones, stands for an absent key. */
struct evac {
	guint64 generation;
	/** Of struct evac_zone pointers, sorted by zone. */
	GPtrArray *zones;
	/**
	 * The document has keys of a later version, which an encoding by this
	 * version would lack.
	 */
	gboolean has_unknown_keys;
};

/** Returns a document of generation 0 without zones. */
struct evac *evac_new(void);

/** Accepts NULL. */
void evac_free(struct evac *evac);

/** Encodes the document as canonical JSON; equal ones give equal bytes. */
GBytes *evac_encode(const struct evac *evac);

/**
 * Decodes and checks a document; unknown keys are ignored. Returns NULL with
 * EVAC_ERROR_INVALID. Forward the original bytes, as for tables.
 */
struct evac *evac_decode(const void *data, size_t len, GError **error);

/** Returns the zone's evacuation, or NULL if it is not evacuated. */
const struct evac_zone *evac_find(const struct evac *evac, const char *zone);

/**
 * Returns the next generation of held, with the zone evacuated as given, or
 * NULL with an EVAC_ERROR.
 */
struct evac *evac_begin(const struct evac *held, const struct evac_zone *zone,
			GError **error);

/**
 * Returns the next generation of held, without the zone, or NULL with an
 * EVAC_ERROR.
 */
struct evac *evac_end(const struct evac *held, const char *zone,
		      GError **error);

/** Each checks one field; returns -1 with EVAC_ERROR_INVALID. */
int evac_check_author(const char *author, GError **error);
int evac_check_reason(const char *reason, GError **error);

/** Returns the key of a generation's history entry; the caller frees it. */
char *evac_history_key(guint64 generation);

/** How a received document compares with the held one. */
enum evac_adopt {
	/** A higher generation: adopt it. */
	EVAC_ADOPT_NEWER,
	EVAC_ADOPT_SAME,
	EVAC_ADOPT_OLDER,
	/** The same generation with other content: refuse it. */
	EVAC_ADOPT_CONFLICT,
};

enum evac_adopt evac_compare(const struct evac *held,
			     const struct evac *received);

/** Returns the names of the zones, such as "a, b"; the caller frees it. */
char *evac_zone_names(const struct evac *evac);

#endif
