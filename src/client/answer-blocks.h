#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "protocol/packet.h"

/* Collects a block-wise answer (Block2) to a request that uses a flow
 * token. The balancer that issued the token, the home of the flow, stores the
 * answer, so the client requests the remaining blocks under the same request
 * id (RFC 7959 section 3.3) and does not compare ETags. */
struct answer_blocks;

enum answer_blocks_state {
    ANSWER_BLOCKS_MORE,   /* further blocks must be requested */
    ANSWER_BLOCKS_WHOLE,  /* the answer is complete */
    ANSWER_BLOCKS_BROKEN, /* the block is not the one that was requested, or
                           * the total length differs from Size2 */
};

/* Returns true when "answer" is block 0 of an answer with further blocks. */
bool answer_has_more(const struct packet *answer);

/* Starts collecting with block 0. The payload is copied. The caller owns the
 * result and releases it with answer_blocks_destroy(). Returns NULL when out
 * of memory. */
struct answer_blocks *answer_blocks_new(const struct packet *first);
void answer_blocks_destroy(struct answer_blocks *blocks);

/* Changes the request that was answered into a request for the next block: it
 * sets Block2, and removes the payload, Block1 and Size1. */
void answer_blocks_fill(const struct answer_blocks *blocks,
                        struct packet *request);

/* Appends the answer to the request for the next block. A block that does not
 * match the first one (code, block size, Size2) is not appended. */
enum answer_blocks_state answer_blocks_add(struct answer_blocks *blocks,
                                           const struct packet *answer);

/* Returns the answer with the payload received so far. The Block2 option is
 * that of block 0, with its "more" flag cleared once the answer is complete.
 * The packet is valid until the next block is added or "blocks" is destroyed.
 */
const struct packet *answer_blocks_packet(struct answer_blocks *blocks);
