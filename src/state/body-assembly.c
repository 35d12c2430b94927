#include "state/body-assembly.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/list.h"

/* A client may take EXCHANGE_LIFETIME for each block (RFC 7252 section
 * 4.8.2); one that is slower than this sends the body again. */
#define BODY_IDLE_US (30 * USEC_PER_SEC)
#define BODIES_MAX 1024

struct body {
    struct list link;
    uint32_t slot;
    uint32_t generation;
    uint64_t id;
    uint64_t used_us;
    size_t size;
    size_t room;
    uint8_t *data;
};

struct body_assemblies {
    struct list bodies; /* struct body, least recently used first */
    size_t count;
    size_t bytes;
    size_t bytes_max;
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
drop(struct body_assemblies *bodies, struct body *body)
{
    list_remove(&body->link);
    bodies->count--;
    bodies->bytes -= body->room;
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
        drop(bodies, container_of(it, struct body, link));
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

/* Makes room for "size" more bytes. */
static bool
reserve(struct body_assemblies *bodies, struct body *body, size_t size)
{
    size_t needed = body->size + size;
    size_t room = body->room == 0 ? needed : body->room;
    uint8_t *data;

    while (room < needed) {
        room *= 2;
    }
    if (room == body->room) {
        return true;
    }
    if (bodies->bytes - body->room + room > bodies->bytes_max) {
        return false;
    }
    data = realloc(body->data, room);
    if (data == NULL) {
        return false;
    }
    bodies->bytes += room - body->room;
    body->data = data;
    body->room = room;
    return true;
}

/* Appends a block that follows on what is there. */
static enum body_result
append(struct body_assemblies *bodies, struct body *body,
       const struct body_block *block)
{
    if (block->offset + block->size > block->limit) {
        drop(bodies, body);
        return BODY_TOO_LARGE;
    }
    if (!reserve(bodies, body, block->size)) {
        drop(bodies, body);
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
    body->used_us = now;
    list_remove(&body->link);
    list_push_back(&bodies->bodies, &body->link);
    if (block->offset > body->size) {
        return BODY_INCOMPLETE;
    }
    if (block->offset < body->size) {
        /* A copy; the last block has no copy, since the request is then under
         * way and its body gone from here. */
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
        drop(bodies, body);
    }
}

void
body_assemblies_expire(struct body_assemblies *bodies, uint64_t now)
{
    list_for_each_safe (it, &bodies->bodies) {
        struct body *body = container_of(it, struct body, link);

        if (now - body->used_us < BODY_IDLE_US) {
            return;
        }
        drop(bodies, body);
    }
}
