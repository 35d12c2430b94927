#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/gossip-message.h"

/* Gossip messages on the wire: a flat sequence of msgpack objects, numbers,
 * strings and binaries only. It begins with the format's version; a decoder
 * passes over what follows the fields that it knows. */

#define GOSSIP_FORMAT 1
#define GOSSIP_SIZE_MAX 65536 /* bytes of a message */

/* Returns the size, or 0 when it does not fit. */
size_t gossip_encode(const struct gossip_message *m, uint8_t *data,
                     size_t size);
/* Returns false for anything that is not a whole, sound message. */
bool gossip_decode(struct gossip_message *m, const uint8_t *data, size_t size);
