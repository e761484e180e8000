#ifndef TESTS_LATER_VERSION_H
#define TESTS_LATER_VERSION_H

#include "wire/wire.h"

/* Table documents and frames as a newer version writes and sends them. */

/* Keys added by later_document(), as the log lists ignored keys. */
#define LATER_KEYS "approved_by, pools.burst, routes.sample"

/** Adds unknown keys to a document, its pools and routes; new reference. */
static inline GBytes *later_document(GBytes *document)
{
	g_autoptr(GString)
		text = g_string_new_len(g_bytes_get_data(document, NULL),
					(gssize)g_bytes_get_size(document));

	g_string_replace(
		text, "\"author\":", "\"approved_by\":\"eva\",\"author\":", 1);
	g_string_replace(
		text, "\"class\":",
		"\"burst\":{\"steps\":[{\"s\":1.5},null]},\"class\":", 0);
	g_string_replace(text, "\"pool\":", "\"sample\":[],\"pool\":", 0);
	return g_bytes_new(text->str, text->len);
}

/**
 * Returns a frame whose body is field 127 of Frame, which this version does
 * not know; freed by the caller.
 */
static inline struct Rp__Frame *later_frame(void)
{
	static const uint8_t packed[] = { 0xfa, 0x07, 0x02, 0x08, 0x01 };

	return rp__frame__unpack(NULL, sizeof(packed), packed);
}

#endif
