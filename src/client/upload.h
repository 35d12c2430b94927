#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/packet.h"

/* Sends a request body in blocks (Block1, RFC 7959 section 2.3), one at a
 * time. A body of at most UPLOAD_BLOCK_SIZE bytes is sent without Block1. */

#define UPLOAD_SZX 6            /* initial block size: 1024 bytes */
#define UPLOAD_BLOCK_SIZE 1024U /* 1 << (UPLOAD_SZX + 4) */

struct upload {
    const uint8_t *body; /* not owned; must outlive the upload */
    size_t body_len;
    size_t offset; /* of the block to send, in bytes */
    uint8_t szx;   /* block size: 2^(szx + 4) bytes */
};

void upload_init(struct upload *up, const uint8_t *body, size_t body_len);
/* Returns to the first block and to the initial block size. */
void upload_restart(struct upload *up);

bool upload_is_blockwise(const struct upload *up);
/* Returns true when the block to send is the last one. */
bool upload_at_end(const struct upload *up);

/* Sets the payload of the request to the current block, without copying it.
 * Also sets Block1 and, in the first block, Size1 if the upload is
 * block-wise. */
void upload_fill(const struct upload *up, struct packet *request);

/* Advances to the next block after a 2.31 Continue and adopts the block size
 * of the answer. Returns false, with the upload unchanged, when the answer
 * does not match the block that was sent, or that block was the last one. */
bool upload_continue(struct upload *up, const struct packet *answer);
