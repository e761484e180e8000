#ifndef WIRE_CHECK_H
#define WIRE_CHECK_H

#include "wire.h"

/* Internal to wire/. */

/**
 * Checks the values of a received frame: lengths of texts, and ranges of
 * numbers. Reducers rely on them; for example, sums of amounts cannot overflow.
 *
 * Returns 0, or -1 with WIRE_ERROR_INVALID.
 */
int wire_check(const struct Rp__Frame *frame, GError **error);

#endif
