#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/packet.h"

/* A request body sent in blocks (Block1, RFC 7959 section 2.3), one after the
 * other. A body of at most one block is sent without the option. */

#define UPLOAD_SZX 6            /* blocks of 1024 bytes */
#define UPLOAD_BLOCK_SIZE 1024U /* 1 << (UPLOAD_SZX + 4) */

struct upload {
    const uint8_t *body; /* the owner's */
    size_t body_len;
    size_t offset; /* of the block to send */
    uint8_t szx;
};

void upload_init(struct upload *up, const uint8_t *body, size_t body_len);
/* Goes back to the first block. */
void upload_restart(struct upload *up);

bool upload_is_blockwise(const struct upload *up);
/* True when the block to send is the last one. */
bool upload_at_end(const struct upload *up);

/* Sets payload, Block1 and, in the first block, Size1. */
void upload_fill(const struct upload *up, struct packet *request);

/* Moves on after a 2.31 Continue, with the size that it asks for. Returns
 * false when it does not answer the block that was sent. */
bool upload_continue(struct upload *up, const struct packet *answer);
