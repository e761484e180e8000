#ifndef WIRE_H
#define WIRE_H

#include <event2/buffer.h>
#include <glib.h>

#include "rp.pb-c.h"

/** Maximum size of a frame, without its header. */
#define WIRE_MAX_FRAME_BYTES (2 * 1024 * 1024)

/** Size of the header of each frame: its length, big-endian. */
#define WIRE_HEADER_BYTES 4

/** Maximum size of a table document, which the store keeps as one value. */
#define WIRE_MAX_DOCUMENT_BYTES (1024 * 1024)

/** Maximum number of parts of a TablesDelta; with more, the whole document is
 * sent, which is smaller. */
#define WIRE_MAX_PARTS 4096

/** Number of shards that jobs are divided into by their ids. */
#define WIRE_SHARDS 16

/**
 * Maximum sizes of a text about a task and of a checkpoint reference. A job's
 * record with both does not exceed the maximum size of a stored value.
 */
#define WIRE_MAX_DETAIL_BYTES 4096
#define WIRE_MAX_CHECKPOINT_BYTES (64 * 1024)

#define WIRE_ERROR wire_error_quark()
GQuark wire_error_quark(void);

enum wire_error {
	WIRE_ERROR_TOO_LARGE,
	/** The frame is not a valid message. */
	WIRE_ERROR_MALFORMED,
	/** The frame has no body. */
	WIRE_ERROR_EMPTY,
	/** A field has a value out of its range. */
	WIRE_ERROR_INVALID,
	/** A delta is for another base, or its result has another digest. */
	WIRE_ERROR_DELTA,
};

/**
 * Removes the next complete frame from the buffer and decodes it.
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

/** Returns a deep copy of a message of any kind; the caller frees it. */
gpointer wire_message_dup(const struct ProtobufCMessage *message);

/** Returns a new name of a run, freed with rp__run_name__free_unpacked(). */
struct Rp__RunName *wire_run_name_new(const char *task, guint32 attempt);

/** Returns the id of the job in a task's name (job.occurrence.step.index); the
 * caller frees it. */
char *wire_task_job_id(const char *task);

/** Returns a deep copy, freed with wire_frame_free(). */
struct Rp__Frame *wire_frame_dup(const struct Rp__Frame *frame);

/** Replaces a string field: frees the old value and copies the new one. */
void wire_set_string(char **field, const char *value);

/** Replaces a bytes field with a copy of len bytes at data. */
void wire_set_bytes(struct ProtobufCBinaryData *field, const void *data,
		    size_t len);

/** Returns a deep copy, freed with rp__resources__free_unpacked(). */
struct Rp__Resources *wire_resources_dup(const struct Rp__Resources *from);

/** Returns the XXH3 digest of an encoded table document. */
guint64 wire_document_digest(GBytes *document);

/**
 * Returns a TablesDelta frame that turns base into document, or NULL if it
 * would be at least half as large as the document; freed with
 * wire_frame_free().
 */
struct Rp__Frame *wire_delta_new(GBytes *base, GBytes *document,
				 guint64 generation);

/**
 * Applies the delta to base, which may be NULL if the process has no document.
 * Returns the new document, or NULL with WIRE_ERROR_DELTA.
 */
GBytes *wire_delta_apply(GBytes *base, const struct Rp__TablesDelta *delta,
			 GError **error);

/**
 * Returns the field number of a body of unknown kind, or 0. During an upgrade,
 * processes of a later version may send such frames.
 */
guint32 wire_unknown_body(const struct Rp__Frame *frame);

/** Returns a TablesUpdate frame, freed with wire_frame_free(). */
struct Rp__Frame *wire_tables_update_new(GBytes *document);

/**
 * Returns an EvacuationUpdate frame, freed with wire_frame_free(). document is
 * NULL if the store has none; read and age_ms are as in the message.
 */
struct Rp__Frame *wire_evacuation_update_new(GBytes *document, gboolean read,
					     gint64 age_ms);

/** Name of the frame's body, for logs and counters. */
const char *wire_frame_name(const struct Rp__Frame *frame);

/** Lower-case name of a reason, such as "no-slot". */
const char *wire_reason_name(Rp__Reason reason);

/** "ran", "not-run" or "unknown". */
const char *wire_outcome_name(Rp__Outcome outcome);

#endif
