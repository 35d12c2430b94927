#include "client/body-check.h"

#include <string.h>

#define BLOCK_NUM_MAX 0xfffffU /* 20 bits, RFC 7959 section 2.2 */
#define ACCEPTED_SZX_MAX 6     /* largest block size accepted: 1024 bytes */

static uint32_t
block_size(const struct body_check *body)
{
    return 1U << (body->szx + 4);
}

/* Checks the payload length: every block except the last one is full, and the
 * last one ends at the total length, where that is known. */
static bool
length_fits(const struct body_check *body, uint32_t num,
            const struct packet *answer)
{
    uint32_t size = block_size(body);
    uint64_t end = (uint64_t)num * size + answer->payload_len;

    if (answer->block2.more) {
        return answer->payload_len == size &&
               (!body->has_total || end < body->total);
    }
    return answer->payload_len <= size &&
           (!body->has_total || end == body->total);
}

/* Checks the "more" flag of block "num" against the number of the last block,
 * and stores that number when this block is the first known to be last. */
static bool
more_flag_fits(struct body_check *body, uint32_t num, bool more)
{
    if (body->last == BODY_LAST_UNKNOWN) {
        if (!more) {
            body->last = num;
        }
        return true;
    }
    return more == (num < body->last);
}

/* Computes the number of the last block from the total length. Returns false
 * when that number exceeds the 20 bits of the Block2 option. */
static bool
compute_last(struct body_check *body)
{
    body->last = BODY_LAST_UNKNOWN;
    if (!body->has_total) {
        return true;
    }
    body->last = body->total == 0 ? 0 : (body->total - 1) / block_size(body);
    return body->last <= BLOCK_NUM_MAX;
}

enum body_match
body_check_first(struct body_check *body, const struct packet *answer)
{
    static const struct packet_block single_block = {0, false,
                                                     ACCEPTED_SZX_MAX};
    bool blockwise = (answer->fields & FIELD_BLOCK2) != 0;
    const struct packet_block *block =
        blockwise ? &answer->block2 : &single_block;

    memset(body, 0, sizeof(*body));
    body->szx = block->szx;
    body->etag_len = answer->etag_len;
    memcpy(body->etag, answer->etag, sizeof(body->etag));
    body->has_total = (answer->fields & FIELD_SIZE2) != 0;
    body->total = answer->size2;
    if (!blockwise) {
        /* An answer without Block2 is complete in one datagram, and may be
         * longer than a block. */
        body->last = 0;
        return !body->has_total || body->total == answer->payload_len
                   ? BODY_MATCHES
                   : BODY_MALFORMED;
    }
    if (block->num != 0 || block->szx > ACCEPTED_SZX_MAX ||
        (block->more && body->etag_len == 0) || !compute_last(body) ||
        !more_flag_fits(body, 0, block->more) ||
        !length_fits(body, 0, answer)) {
        return BODY_MALFORMED;
    }
    return BODY_MATCHES;
}

static bool
same_etag(const struct body_check *body, const struct packet *answer)
{
    return body->etag_len == answer->etag_len &&
           memcmp(body->etag, answer->etag, body->etag_len) == 0;
}

enum body_match
body_check_next(struct body_check *body, uint32_t num,
                const struct packet *answer)
{
    if (!same_etag(body, answer)) {
        return BODY_OTHER_VERSION;
    }
    if ((answer->fields & FIELD_BLOCK2) == 0 || answer->block2.num != num ||
        answer->block2.szx != body->szx) {
        return BODY_MALFORMED;
    }
    if ((answer->fields & FIELD_SIZE2) != 0 && body->has_total &&
        answer->size2 != body->total) {
        return BODY_MALFORMED;
    }
    if (!more_flag_fits(body, num, answer->block2.more) ||
        !length_fits(body, num, answer)) {
        return BODY_MALFORMED;
    }
    return BODY_MATCHES;
}
