#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/forward-view.h"

/* Encoding of the snapshot of a view (coordination/view-snapshot.h): the
 * message that a peer gets which has no view yet. */

/* Returns a buffer of *size bytes that the caller frees with free(), or NULL
 * when the view is too large for a message or memory is short. */
uint8_t *snapshot_encode(const struct forward_view *view, uint64_t now,
                         size_t *size);
/* The caller initializes "delta" with view_delta_init() before and clears it
 * afterwards, also on failure. Returns false when the snapshot is malformed or
 * not complete. */
bool snapshot_decode(const uint8_t *data, size_t size,
                     struct view_delta *delta);
