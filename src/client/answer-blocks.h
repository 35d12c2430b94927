#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "protocol/packet.h"

/* The answer to a request that may not be repeated, when it is longer than a
 * block. Its home keeps the answer, so the further blocks are asked for under
 * the same request id (RFC 7959 section 3.3) and need no ETag. */
struct answer_blocks;

enum answer_blocks_state {
    ANSWER_BLOCKS_MORE,
    ANSWER_BLOCKS_WHOLE,
    ANSWER_BLOCKS_BROKEN, /* this is not the block that was asked for */
};

/* True for the first block of an answer that has more. */
bool answer_has_more(const struct packet *answer);

/* Begins with the first block, which is copied. Returns NULL when memory is
 * short. */
struct answer_blocks *answer_blocks_new(const struct packet *first);
void answer_blocks_destroy(struct answer_blocks *blocks);

/* Turns the request that was answered into one for the next block. */
void answer_blocks_fill(const struct answer_blocks *blocks,
                        struct packet *request);
enum answer_blocks_state answer_blocks_add(struct answer_blocks *blocks,
                                           const struct packet *answer);

/* The answer as far as it came; valid until the blocks are destroyed. */
const struct packet *answer_blocks_packet(struct answer_blocks *blocks);
