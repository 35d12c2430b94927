#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/gossip-message.h"

/* Wire encoding of gossip messages: a sequence of msgpack integers, strings
 * and binaries without arrays or maps. The first integer is the version of the
 * format. The decoder ignores bytes after the last field that it knows. */

#define GOSSIP_FORMAT_VERSION 1 /* version of the format */
#define GOSSIP_MESSAGE_SIZE_MAX                                               \
    65536 /* maximum size of an encoded message, bytes */

/* Encodes a message into "data", which holds "size" bytes. Returns the number
 * of bytes written, or 0 when the message does not fit. */
size_t gossip_encode(const struct gossip_message *m, uint8_t *data,
                     size_t size);
/* Decodes a message. Returns false, with "m" partly filled, when the message
 * is truncated or malformed or has another format version. Of the fields for
 * single kinds, "digest" and "applied" are written only for the kinds that
 * carry them. */
bool gossip_decode(struct gossip_message *m, const uint8_t *data, size_t size);
