#pragma once

#include <stddef.h>
#include <stdint.h>

#include "state/resource.h"

/* The last events of this balancer, for /v1/events. Bounded: the oldest are
 * overwritten, and a reader sees from the numbers that some are missing. */

#define EVENT_KIND_SIZE 32
#define EVENT_CAUSE_SIZE 128

struct event_entry {
    uint64_t number; /* from 1, without gaps */
    uint64_t wall_us;
    char kind[EVENT_KIND_SIZE];
    char subject[ID_SIZE];
    char cause[EVENT_CAUSE_SIZE];
};

struct event_ring;

/* Returns NULL when memory is short. */
struct event_ring *event_ring_new(size_t capacity);
void event_ring_destroy(struct event_ring *ring);

/* Texts are cut to their sizes. Returns the event's number. */
uint64_t event_ring_add(struct event_ring *ring, uint64_t wall_us,
                        const char *kind, const char *subject,
                        const char *cause);

/* The first event with a number above "after", NULL when there is none. */
const struct event_entry *event_ring_after(const struct event_ring *ring,
                                           uint64_t after);
uint64_t event_ring_last(const struct event_ring *ring);
