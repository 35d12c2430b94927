#include "state/event-ring.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

struct event_ring {
    size_t capacity;
    uint64_t last; /* number of the newest event, 0 for none */
    struct event_entry entries[];
};

struct event_ring *
event_ring_new(size_t capacity)
{
    struct event_ring *ring =
        calloc(1, sizeof(*ring) + capacity * sizeof(ring->entries[0]));

    assert(capacity > 0);
    if (ring != NULL) {
        ring->capacity = capacity;
    }
    return ring;
}

void
event_ring_destroy(struct event_ring *ring)
{
    free(ring);
}

uint64_t
event_ring_add(struct event_ring *ring, uint64_t wall_us, const char *kind,
               const char *subject, const char *cause)
{
    struct event_entry *e;

    ring->last++;
    e = &ring->entries[ring->last % ring->capacity];
    e->number = ring->last;
    e->wall_us = wall_us;
    snprintf(e->kind, sizeof(e->kind), "%s", kind);
    snprintf(e->subject, sizeof(e->subject), "%s", subject);
    snprintf(e->cause, sizeof(e->cause), "%s", cause);
    return ring->last;
}

const struct event_entry *
event_ring_after(const struct event_ring *ring, uint64_t after)
{
    uint64_t oldest =
        ring->last < ring->capacity ? 1 : ring->last - ring->capacity + 1;
    uint64_t number = after + 1 > oldest ? after + 1 : oldest;

    if (after >= ring->last) {
        return NULL;
    }
    return &ring->entries[number % ring->capacity];
}

uint64_t
event_ring_last(const struct event_ring *ring)
{
    return ring->last;
}
