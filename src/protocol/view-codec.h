#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/view-message.h"

/* View messages on the wire: one msgpack array that begins with the format's
 * version, which no gossip message (protocol/gossip-codec.h) has. Elements
 * behind the known ones are passed over. */

#define VIEW_FORMAT 2
#define VIEW_MESSAGE_MAX (1U << 20) /* bytes */

/* Returns the encoded message, which the caller frees with free(), or NULL
 * when it would be longer than VIEW_MESSAGE_MAX or memory is short. */
uint8_t *view_encode(const struct view_message *m, size_t *size);
/* Fills a message whose news are initialised. Returns false for anything that
 * is not a whole, sound message. */
bool view_decode(struct view_message *m, const uint8_t *data, size_t size);
/* Whether bytes begin like a view message. */
bool view_is_message(const uint8_t *data, size_t size);
