#ifndef WIRE_H
#define WIRE_H

#include <event2/buffer.h>
#include <glib.h>

#include "rp.pb-c.h"

/** Largest frame accepted, header excluded. */
#define WIRE_MAX_FRAME_BYTES (2 * 1024 * 1024)

/** Bytes of the big-endian length that precedes each frame. */
#define WIRE_HEADER_BYTES 4

/** Largest table document: what the platform stores as one value. */
#define WIRE_MAX_DOCUMENT_BYTES (1024 * 1024)

/** Most parts of a TablesDelta; with more the whole document is smaller. */
#define WIRE_MAX_PARTS 4096

/** Shards of the job space. */
#define WIRE_SHARDS 16

/**
 * Longest text about a task, and longest checkpoint reference; with both, a
 * job's record stays below what the platform stores.
 */
#define WIRE_MAX_DETAIL_BYTES 4096
#define WIRE_MAX_CHECKPOINT_BYTES (64 * 1024)

#define WIRE_ERROR wire_error_quark()
GQuark wire_error_quark(void);

enum wire_error {
	WIRE_ERROR_TOO_LARGE,
	WIRE_ERROR_MALFORMED,
	WIRE_ERROR_EMPTY,
	/** A field has a value out of its range. */
	WIRE_ERROR_INVALID,
	/** A delta that does not fit the base, or gives another document. */
	WIRE_ERROR_DELTA,
};

/**
 * Takes the next complete frame off the buffer.
 *
 * Returns 1 and sets *frame (the caller frees it with wire_frame_free(), and
 * ignores it if wire_unknown_body() is not 0), 0 if the buffer holds no
 * complete frame yet, or -1 with a WIRE_ERROR; the connection must then be
 * closed, since the stream cannot be resynchronised.
 */
int wire_read(struct evbuffer *in, struct Rp__Frame **frame, GError **error);

/**
 * Appends the frame to the buffer.
 *
 * Returns 0, or -1 with WIRE_ERROR_TOO_LARGE and nothing appended.
 */
int wire_write(struct evbuffer *out, const struct Rp__Frame *frame,
	       GError **error);

/** Returns a new frame whose body is of the given kind, all fields default. */
struct Rp__Frame *wire_frame_new(Rp__Frame__BodyCase kind);

/** Frees a frame from wire_read() or wire_frame_new(); accepts NULL. */
void wire_frame_free(struct Rp__Frame *frame);

/** Returns a deep copy of a message of any kind. */
gpointer wire_message_dup(const struct ProtobufCMessage *message);

/** Returns the name of a run. */
struct Rp__RunName *wire_run_name_new(const char *task, guint32 attempt);

/** Returns a deep copy, freed with wire_frame_free(). */
struct Rp__Frame *wire_frame_dup(const struct Rp__Frame *frame);

/** Replaces a string field: frees the old value and copies the new one. */
void wire_set_string(char **field, const char *value);

/** Replaces a bytes field with a copy of len bytes at data. */
void wire_set_bytes(struct ProtobufCBinaryData *field, const void *data,
		    size_t len);

/** Returns a deep copy, freed with rp__resources__free_unpacked(). */
struct Rp__Resources *wire_resources_dup(const struct Rp__Resources *from);

/** Digest of an encoded table document, as in a TablesDelta. */
guint64 wire_document_digest(GBytes *document);

/**
 * Returns a TablesDelta frame that turns base into document, or NULL if the
 * whole document is about as small; freed with wire_frame_free().
 */
struct Rp__Frame *wire_delta_new(GBytes *base, GBytes *document,
				 guint64 generation);

/**
 * Returns the document that the delta makes of base, or NULL with
 * WIRE_ERROR_DELTA; base may be NULL if none is held.
 */
GBytes *wire_delta_apply(GBytes *base, const struct Rp__TablesDelta *delta,
			 GError **error);

/**
 * Returns the field number of a body that this version does not know, or 0.
 * During an upgrade a process of a later version may send such frames.
 */
guint32 wire_unknown_body(const struct Rp__Frame *frame);

/** Returns a TablesUpdate frame, freed with wire_frame_free(). */
struct Rp__Frame *wire_tables_update_new(GBytes *document);

/** Name of the frame's body, for logs and counters. */
const char *wire_frame_name(const struct Rp__Frame *frame);

/** Lower-case name of a reason, such as "no-slot". */
const char *wire_reason_name(Rp__Reason reason);

/** "ran", "not-run" or "unknown". */
const char *wire_outcome_name(Rp__Outcome outcome);

#endif
