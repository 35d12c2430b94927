#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/gossip-message.h"

/* Wire encoding of gossip messages: a sequence of msgpack integers, strings
 * and binaries without arrays or maps. The first integer is the version of the
 * format. The decoder ignores bytes after the last field that it knows. */

/* Version that is written, and the only one that is accepted. */
#define GOSSIP_FORMAT_VERSION 1
/* Maximum size of an encoded message, bytes. */
#define GOSSIP_MESSAGE_SIZE_MAX 65536

/* Encodes a message into "data", which holds "size" bytes. Returns the number
 * of bytes written, or 0 when the message does not fit. */
size_t gossip_encode(const struct gossip_message *m, uint8_t *data,
                     size_t size);
/* Decodes a message. Returns false, with "m" partly filled, when the message
 * is truncated or malformed or has another format version. Fields that the
 * message's kind does not carry are set to 0 (of an array only its count),
 * except "digest" and "applied", which keep their previous values. */
bool gossip_decode(struct gossip_message *m, const uint8_t *data, size_t size);
