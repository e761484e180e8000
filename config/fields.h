#ifndef CONFIG_FIELDS_H
#define CONFIG_FIELDS_H

#include <jansson.h>
#include <stddef.h>

#include "config.h"

/*
 * Internal to config/: one description of each key, which defines its form in
 * YAML files and in the JSON document, its default and its error texts.
 */

enum cfg_kind {
	/** char *, letters, digits, "." "_" "-". */
	CFG_NAME,
	/** As CFG_NAME, may be empty. */
	CFG_OPTIONAL_NAME,
	CFG_METHOD,
	CFG_HOST,
	CFG_PATH,
	/** char *, IP address and port. */
	CFG_ADDRESS,
	/** As CFG_ADDRESS, may be empty. */
	CFG_OPTIONAL_ADDRESS,
	CFG_LOG_LEVEL,
	/** unsigned */
	CFG_COUNT,
	/** gint64 */
	CFG_AMOUNT,
	/** gboolean */
	CFG_FLAG,
	/** enum cfg_class */
	CFG_CLASS,
	/** char ** with an unsigned count. */
	CFG_ADDRESS_LIST,
	CFG_NAME_LIST,
};

struct cfg_field {
	const char *key;
	enum cfg_kind kind;
	size_t offset;
	/** Default, written as in a file; NULL if the key is required. */
	const char *fallback;
	/** Range of a number; min is also the minimum length of a list. */
	gint64 min;
	gint64 max;
	/** For lists: offset of the member with their length. */
	size_t count_offset;
};

/** A kind of object: a row of a table or a settings file. */
struct cfg_schema {
	/** "pools", "routes", or NULL for a settings file. */
	const char *list;
	size_t size;
	const struct cfg_field *fields;
	size_t n_fields;
};

/** Location of a problem, and what was found and expected. */
struct cfg_problem {
	/** NULL for a settings file. */
	const char *list;
	/** Counted from 1; 0 for none. */
	unsigned row;
	char *key;
	char *text;
};

extern const struct cfg_schema cfg_pool_schema;
extern const struct cfg_schema cfg_route_schema;
extern const struct cfg_schema cfg_entry_schema;
extern const struct cfg_schema cfg_agent_schema;

gboolean cfg_kind_is_list(enum cfg_kind kind);

const struct cfg_field *cfg_field_find(const struct cfg_schema *schema,
				       const char *key);

/** Describes the valid values; with field NULL, lists the valid keys. */
char *cfg_field_expected(const struct cfg_schema *schema,
			 const struct cfg_field *field);

/** Sets the member from text; returns -1 if text is not a valid value. */
int cfg_field_set(const struct cfg_field *field, void *object,
		  const char *text);

/** Appends to a list member; returns -1 if text is not a valid value. */
int cfg_field_append(const struct cfg_field *field, void *object,
		     const char *text);

/** Returns the member's value as text; not for lists. */
char *cfg_field_text(const struct cfg_field *field, const void *object);

/** Returns the member's value as JSON; not for lists. */
json_t *cfg_field_json(const struct cfg_field *field, const void *object);

void cfg_object_free(const struct cfg_schema *schema, void *object);

void cfg_problem_clear(struct cfg_problem *problem);

/** Sets the problem and takes ownership of text; returns -1. */
int cfg_problem_set(struct cfg_problem *problem, const char *list, unsigned row,
		    const char *key, char *text);

/** "pools entry 2, key name: text"; the caller frees it. */
char *cfg_problem_text(const struct cfg_problem *problem);

/** Checks the rules that concern several keys or rows; returns -1 with
 * problem set. */
int cfg_tables_examine(const struct cfg_tables *tables,
		       struct cfg_problem *problem);

struct cfg_tables *cfg_tables_new(void);
/** Sorts the pools by name. */
void cfg_tables_sort(struct cfg_tables *tables);

/**
 * Reads one YAML file. Rows of a table are appended to rows; for a settings
 * file the one object is appended.
 */
int cfg_yaml_load(const char *file, const struct cfg_schema *schema,
		  GPtrArray *rows, GError **error);

/** Sets an error with the file and the line of the problem. */
void cfg_yaml_error(const char *file, const struct cfg_problem *problem,
		    GError **error);

#endif
