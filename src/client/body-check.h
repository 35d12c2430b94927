#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "protocol/packet.h"

/* Checks whether the blocks of a block-wise GET belong to the same version of
 * the resource. RFC 7959 section 2.4: blocks are matched by their ETag. */

/* Value of body_check.last while the number of the last block is unknown. */
#define BODY_LAST_UNKNOWN UINT32_MAX

/* Properties of the body that every later block must agree with. */
struct body_check {
    uint8_t etag[PACKET_ETAG_MAX];
    uint8_t etag_len;
    uint8_t szx;    /* block size: 2^(szx + 4) bytes */
    bool has_total; /* the server sent Size2, and "total" is valid */
    uint32_t total; /* length of the body in bytes */
    uint32_t last;  /* number of the last block, or BODY_LAST_UNKNOWN */
};

enum body_match {
    BODY_MATCHES,
    BODY_OTHER_VERSION, /* the ETag differs: the resource changed */
    BODY_MALFORMED, /* options or length contradict each other or block 0 */
};

/* Initializes "body" from the 2.05 answer to the request for block 0. An
 * answer with further blocks but no ETag is malformed, because its blocks
 * could not be distinguished from those of another version. */
enum body_match body_check_first(struct body_check *body,
                                 const struct packet *answer);

/* Checks the 2.05 answer to the request for block "num", 1 or higher. Stores
 * the number of the last block when this answer reveals it. */
enum body_match body_check_next(struct body_check *body, uint32_t num,
                                const struct packet *answer);
