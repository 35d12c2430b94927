#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Request bodies that arrive block by block (RFC 7959 section 2.5), each
 * known by its flow slot and request id. Bounded in bytes and in time. */

struct body_assemblies;

enum body_result {
    BODY_MORE,       /* taken, or a copy of a block that was taken */
    BODY_COMPLETE,   /* the last block was taken */
    BODY_INCOMPLETE, /* an earlier block is missing */
    BODY_TOO_LARGE,
    BODY_NO_ROOM, /* too many bodies in hand */
};

/* One block. */
struct body_block {
    uint32_t slot;
    uint32_t generation;
    uint64_t id;
    uint64_t offset; /* bytes */
    bool more;
    const uint8_t *data;
    size_t size;
    size_t limit; /* of the whole body, bytes */
};

struct body_assemblies *body_assemblies_new(size_t bytes_max);
void body_assemblies_destroy(struct body_assemblies *bodies);

enum body_result body_assemblies_add(struct body_assemblies *bodies,
                                     const struct body_block *block,
                                     uint64_t now);

/* The whole body after BODY_COMPLETE; valid until the next call that changes
 * the assemblies. */
const uint8_t *body_assemblies_get(struct body_assemblies *bodies,
                                   const struct body_block *block,
                                   size_t *size);
void body_assemblies_drop(struct body_assemblies *bodies,
                          const struct body_block *block);
/* Drops bodies that wait for their next block for too long. */
void body_assemblies_expire(struct body_assemblies *bodies, uint64_t now);
