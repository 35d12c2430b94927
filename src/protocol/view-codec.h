#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/view-message.h"

/* Wire encoding of view messages: one msgpack array whose first element is the
 * version of the format. Gossip messages (protocol/gossip-codec.h) arrive on
 * the same port; the first byte tells them apart, because gossip messages do
 * not begin with an array. The decoder ignores array elements after the last
 * one that it knows. */

/* Version of a plain message, and the only one that is accepted. */
#define VIEW_FORMAT_VERSION 2
/* Version of a message that contains a compressed plain message. Larger
 * messages are sent in this form, so that they do not hold up callers' packets
 * on a slow link. */
#define VIEW_FORMAT_COMPRESSED 3
/* Maximum size of a message before compression, bytes. */
#define VIEW_MESSAGE_SIZE_MAX (1U << 20)

/* Encodes a message. Returns a buffer of *size bytes that the caller frees
 * with free(), or NULL when the message would be longer than
 * VIEW_MESSAGE_SIZE_MAX or no buffer could be allocated. */
uint8_t *view_encode(const struct view_message *m, size_t *size);
/* Decodes a message. The caller initializes m->delta with view_delta_init()
 * beforehand and clears it afterwards, also on failure; routes and targets are
 * appended to its arrays. Returns false, with "m" partly filled, for a message
 * that is truncated or malformed or has another format version. */
bool view_decode(struct view_message *m, const uint8_t *data, size_t size);
/* Returns true when the bytes begin like a view message of this format. */
bool view_is_message(const uint8_t *data, size_t size);
