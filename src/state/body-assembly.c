#include "state/body-assembly.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/list.h"

/* Time without a new block after which an incomplete body is freed. RFC 7252
 * section 4.8.2 allows a client EXCHANGE_LIFETIME for each block; a client
 * slower than this timeout has to send the whole body again. */
#define BODY_IDLE_TIMEOUT_US (30 * USEC_PER_SEC)
/* Maximum number of bodies that are reassembled at the same time. */
#define BODIES_MAX 1024

struct body {
    struct list link;
    uint32_t slot;
    uint32_t generation;
    uint64_t id;
    uint64_t last_block_us; /* monotonic time of the last block */
    size_t size;            /* bytes received so far */
    size_t capacity;        /* bytes allocated at "data" */
    uint8_t *data;
};

struct body_assemblies {
    struct list bodies; /* struct body, least recently used first */
    size_t count;       /* length of "bodies" */
    size_t bytes;       /* sum of the capacities of all bodies */
    size_t bytes_max;   /* upper bound of "bytes" */
};

struct body_assemblies *
body_assemblies_new(size_t bytes_max)
{
    struct body_assemblies *bodies = calloc(1, sizeof(*bodies));

    if (bodies == NULL) {
        return NULL;
    }
    list_init(&bodies->bodies);
    bodies->bytes_max = bytes_max;
    return bodies;
}

static void
body_destroy(struct body_assemblies *bodies, struct body *body)
{
    list_remove(&body->link);
    bodies->count--;
    bodies->bytes -= body->capacity;
    free(body->data);
    free(body);
}

void
body_assemblies_destroy(struct body_assemblies *bodies)
{
    if (bodies == NULL) {
        return;
    }
    list_for_each_safe (it, &bodies->bodies) {
        body_destroy(bodies, container_of(it, struct body, link));
    }
    free(bodies);
}

static struct body *
find(struct body_assemblies *bodies, const struct body_block *block)
{
    list_for_each (it, &bodies->bodies) {
        struct body *body = container_of(it, struct body, link);

        if (body->slot == block->slot &&
            body->generation == block->generation && body->id == block->id) {
            return body;
        }
    }
    return NULL;
}

static struct body *
body_new(struct body_assemblies *bodies, const struct body_block *block)
{
    struct body *body;

    if (bodies->count >= BODIES_MAX) {
        return NULL;
    }
    body = calloc(1, sizeof(*body));
    if (body == NULL) {
        return NULL;
    }
    body->slot = block->slot;
    body->generation = block->generation;
    body->id = block->id;
    list_push_back(&bodies->bodies, &body->link);
    bodies->count++;
    return body;
}

/* Grows the buffer of a body, by doubling, so that "size" more bytes fit.
 * Returns false when that would exceed bytes_max or when out of memory. */
static bool
reserve(struct body_assemblies *bodies, struct body *body, size_t size)
{
    size_t needed = body->size + size;
    size_t capacity = body->capacity == 0 ? needed : body->capacity;
    uint8_t *data;

    while (capacity < needed) {
        capacity *= 2;
    }
    if (capacity == body->capacity) {
        return true;
    }
    if (bodies->bytes - body->capacity + capacity > bodies->bytes_max) {
        return false;
    }
    data = realloc(body->data, capacity);
    if (data == NULL) {
        return false;
    }
    bodies->bytes += capacity - body->capacity;
    body->data = data;
    body->capacity = capacity;
    return true;
}

/* Appends the block that directly follows the data received so far. On an
 * error the body is freed. */
static enum body_result
append(struct body_assemblies *bodies, struct body *body,
       const struct body_block *block)
{
    if (block->offset + block->size > block->limit) {
        body_destroy(bodies, body);
        return BODY_TOO_LARGE;
    }
    if (!reserve(bodies, body, block->size)) {
        body_destroy(bodies, body);
        return BODY_NO_ROOM;
    }
    if (block->size > 0) {
        memcpy(body->data + body->size, block->data, block->size);
    }
    body->size += block->size;
    return block->more ? BODY_MORE : BODY_COMPLETE;
}

enum body_result
body_assemblies_add(struct body_assemblies *bodies,
                    const struct body_block *block, uint64_t now)
{
    struct body *body = find(bodies, block);

    if (body == NULL && block->offset != 0) {
        return BODY_INCOMPLETE;
    }
    if (body == NULL) {
        body = body_new(bodies, block);
    }
    if (body == NULL) {
        return BODY_NO_ROOM;
    }
    body->last_block_us = now;
    list_remove(&body->link);
    list_push_back(&bodies->bodies, &body->link);
    if (block->offset > body->size) {
        return BODY_INCOMPLETE;
    }
    if (block->offset < body->size) {
        /* A duplicate of an earlier block. It can't be one of the last block:
         * the caller removes the body once it is complete. */
        return BODY_MORE;
    }
    return append(bodies, body, block);
}

const uint8_t *
body_assemblies_get(struct body_assemblies *bodies,
                    const struct body_block *block, size_t *size)
{
    struct body *body = find(bodies, block);

    if (body == NULL) {
        *size = 0;
        return NULL;
    }
    *size = body->size;
    return body->data;
}

void
body_assemblies_drop(struct body_assemblies *bodies,
                     const struct body_block *block)
{
    struct body *body = find(bodies, block);

    if (body != NULL) {
        body_destroy(bodies, body);
    }
}

void
body_assemblies_expire(struct body_assemblies *bodies, uint64_t now)
{
    list_for_each_safe (it, &bodies->bodies) {
        struct body *body = container_of(it, struct body, link);

        if (now - body->last_block_us < BODY_IDLE_TIMEOUT_US) {
            return;
        }
        body_destroy(bodies, body);
    }
}
