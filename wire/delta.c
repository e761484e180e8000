#include <string.h>
#include <xxhash.h>

#include "wire.h"

/*
 * Deltas of table documents. A document is split after each "[" and "}", so
 * that a piece is a row; pieces that occur in the base are copied from it.
 */

guint64 wire_document_digest(GBytes *document)
{
	gsize len;
	const void *data = g_bytes_get_data(document, &len);

	return XXH3_64bits(data, len);
}

static size_t piece_len(const char *data, size_t len)
{
	size_t n = 0;

	while (n < len && data[n] != '[' && data[n] != '}')
		n++;
	return MIN(n + 1, len);
}

/* Maps the hash of each piece to its offset + 1; 0 (NULL) means not found. */
static GHashTable *index_pieces(const char *data, size_t len)
{
	GHashTable *index = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, NULL);
	size_t at, n;

	for (at = 0; at < len; at += n) {
		guint64 hash;

		n = piece_len(data + at, len - at);
		hash = XXH3_64bits(data + at, n);
		g_hash_table_insert(index, g_memdup2(&hash, sizeof(hash)),
				    GSIZE_TO_POINTER(at + 1));
	}
	return index;
}

static struct Rp__TablesPart *part_new(struct Rp__TablesDelta *delta)
{
	struct Rp__TablesPart *part = g_new(struct Rp__TablesPart, 1);

	rp__tables_part__init(part);
	delta->parts = g_renew(struct Rp__TablesPart *, delta->parts,
			       delta->n_parts + 1);
	delta->parts[delta->n_parts++] = part;
	return part;
}

static void add_copy(struct Rp__TablesDelta *delta, size_t offset, size_t len)
{
	struct Rp__TablesPart *last = delta->n_parts
					      ? delta->parts[delta->n_parts - 1]
					      : NULL;

	if (!last || last->insert.len ||
	    last->offset + last->length != offset) {
		last = part_new(delta);
		last->offset = (guint32)offset;
	}
	last->length += (guint32)len;
}

static void add_insert(struct Rp__TablesDelta *delta, const char *data,
		       size_t len)
{
	struct Rp__TablesPart *last = delta->n_parts
					      ? delta->parts[delta->n_parts - 1]
					      : part_new(delta);

	last->insert.data = g_realloc(last->insert.data,
				      last->insert.len + len);
	memcpy(last->insert.data + last->insert.len, data, len);
	last->insert.len += len;
}

struct Rp__Frame *wire_delta_new(GBytes *base, GBytes *document,
				 guint64 generation)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_TABLES_DELTA);
	struct Rp__TablesDelta *delta = frame->tables_delta;
	gsize old_len, len;
	const char *old = g_bytes_get_data(base, &old_len);
	const char *new = g_bytes_get_data(document, &len);
	g_autoptr(GHashTable) index = index_pieces(old, old_len);
	size_t next = 0;
	size_t at, n;

	delta->generation = generation;
	delta->base_digest = wire_document_digest(base);
	delta->digest = wire_document_digest(document);
	for (at = 0; at < len; at += n) {
		guint64 hash;
		size_t found;

		n = piece_len(new + at, len - at);
		hash = XXH3_64bits(new + at, n);
		found = GPOINTER_TO_SIZE(g_hash_table_lookup(index, &hash));
		/* Of equal pieces, prefer the one after the last copy, which
		 * extends its part. */
		if (next + n <= old_len && !memcmp(old + next, new + at, n))
			found = next + 1;
		if (found && found - 1 + n <= old_len &&
		    !memcmp(old + found - 1, new + at, n)) {
			add_copy(delta, found - 1, n);
			next = found - 1 + n;
		} else {
			add_insert(delta, new + at, n);
		}
	}
	if (delta->n_parts <= WIRE_MAX_PARTS &&
	    rp__tables_delta__get_packed_size(delta) < len / 2)
		return frame;
	wire_frame_free(frame);
	return NULL;
}

static GByteArray *join_parts(const char *base, size_t len,
			      const struct Rp__TablesDelta *delta,
			      GError **error)
{
	GByteArray *out = g_byte_array_new();
	size_t i;

	for (i = 0; i < delta->n_parts; i++) {
		const struct Rp__TablesPart *part = delta->parts[i];

		if (part->offset > len || part->length > len - part->offset) {
			g_set_error(error, WIRE_ERROR, WIRE_ERROR_DELTA,
				    "part %zu of the delta copies %u bytes at "
				    "%u of a document of %zu bytes",
				    i, part->length, part->offset, len);
			g_byte_array_unref(out);
			return NULL;
		}
		g_byte_array_append(out, (const guint8 *)base + part->offset,
				    part->length);
		if (part->insert.len)
			g_byte_array_append(out, part->insert.data,
					    (guint)part->insert.len);
	}
	return out;
}

GBytes *wire_delta_apply(GBytes *base, const struct Rp__TablesDelta *delta,
			 GError **error)
{
	GByteArray *joined;
	GBytes *document;
	const char *data;
	gsize len;

	if (!base || wire_document_digest(base) != delta->base_digest) {
		g_set_error(error, WIRE_ERROR, WIRE_ERROR_DELTA,
			    "the delta to generation %" G_GUINT64_FORMAT
			    " is from a document that is not held",
			    delta->generation);
		return NULL;
	}
	data = g_bytes_get_data(base, &len);
	joined = join_parts(data, len, delta, error);
	if (!joined)
		return NULL;
	document = g_byte_array_free_to_bytes(joined);
	if (wire_document_digest(document) == delta->digest)
		return document;
	g_set_error(error, WIRE_ERROR, WIRE_ERROR_DELTA,
		    "the delta to generation %" G_GUINT64_FORMAT
		    " gives a document with another digest",
		    delta->generation);
	g_bytes_unref(document);
	return NULL;
}

struct Rp__Frame *wire_tables_update_new(GBytes *document)
{
	struct Rp__Frame *frame = wire_frame_new(RP__FRAME__BODY_TABLES_UPDATE);
	gsize len;
	const void *data = g_bytes_get_data(document, &len);

	wire_set_bytes(&frame->tables_update->document, data, len);
	return frame;
}
