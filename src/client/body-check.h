#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "protocol/packet.h"

/* Decides whether blocks belong to one version of a body (RFC 7959 section
 * 2.4: blocks are matched by their ETag). */

#define BODY_LAST_UNKNOWN UINT32_MAX

/* What the first block told of the body. */
struct body_check {
    uint8_t etag[PACKET_ETAG_MAX];
    uint8_t etag_len;
    uint8_t szx;
    bool has_total;
    uint32_t total; /* bytes */
    uint32_t last;  /* number of the last block, or BODY_LAST_UNKNOWN */
};

enum body_match {
    BODY_MATCHES,
    BODY_OTHER_VERSION, /* the resource changed */
    BODY_MALFORMED,     /* the answer contradicts itself */
};

/* Takes the 2.05 answer to the request for block 0. An answer with more
 * blocks but no ETag is malformed: its blocks could not be told from those of
 * another version. */
enum body_match body_check_first(struct body_check *body,
                                 const struct packet *answer);

/* Checks the 2.05 answer to the request for block "num". */
enum body_match body_check_next(struct body_check *body, uint32_t num,
                                const struct packet *answer);
