#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Reassembly of request bodies that arrive in blocks (CoAP Block1, RFC 7959
 * section 2.5). A body is identified by its flow (slot and generation) and
 * request id. The number of bodies, their total size and the time that a body
 * waits for its next block are bounded. */

struct body_assemblies;

enum body_result {
    BODY_MORE,       /* the block was added, or is a duplicate; more follow */
    BODY_COMPLETE,   /* the last block was added */
    BODY_INCOMPLETE, /* an earlier block is missing; the block was ignored */
    BODY_TOO_LARGE,  /* above the block's "limit"; the body was dropped */
    BODY_NO_ROOM,    /* too many bodies or bytes, or out of memory; if earlier
                      * blocks of the body were stored, they were dropped */
};

struct body_block {
    uint32_t slot;       /* slot of the flow in the flow table */
    uint32_t generation; /* generation of that slot */
    uint64_t id;         /* request id within the flow */
    uint64_t offset;     /* of the block within the body, bytes */
    bool more;           /* false for the last block of the body */
    const uint8_t *data; /* copied by body_assemblies_add() */
    size_t size;         /* bytes of "data" */
    size_t limit;        /* maximum size of the complete body, bytes */
};

/* "bytes_max" bounds the memory of all bodies together. Returns NULL when out
 * of memory. */
struct body_assemblies *body_assemblies_new(size_t bytes_max);
void body_assemblies_destroy(struct body_assemblies *bodies);

/* Adds a block to its body; the block with offset 0 starts a new body. "now"
 * is the time of a monotonic clock in microseconds. */
enum body_result body_assemblies_add(struct body_assemblies *bodies,
                                     const struct body_block *block,
                                     uint64_t now);

/* Returns the complete body that "block" belongs to, for use after
 * BODY_COMPLETE, and sets "size" to its length in bytes. The data stays owned
 * by "bodies" and is valid until the next call that changes them. Returns NULL
 * and size 0 when there is no such body; the result is also NULL for an empty
 * body. The caller must then remove the complete body with
 * body_assemblies_drop(). */
const uint8_t *body_assemblies_get(struct body_assemblies *bodies,
                                   const struct body_block *block,
                                   size_t *size);
/* Frees the body that "block" belongs to, if there is one. */
void body_assemblies_drop(struct body_assemblies *bodies,
                          const struct body_block *block);
/* Frees the bodies that have received no block for 30 s. */
void body_assemblies_expire(struct body_assemblies *bodies, uint64_t now);
