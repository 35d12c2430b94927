#pragma once

#include <stddef.h>
#include <stdint.h>

#include "state/resource.h"

/* Ring buffer of the most recent events of this balancer, served at
 * /v1/events. New events overwrite the oldest; a reader notices the loss by a
 * gap in the event numbers. */

/* Sizes of event texts, bytes with the final NUL. */
#define EVENT_KIND_SIZE 32
#define EVENT_CAUSE_SIZE 128

struct event_entry {
    uint64_t number;  /* consecutive, the first event has number 1 */
    uint64_t wall_us; /* wall-clock time of the event, us */
    char kind[EVENT_KIND_SIZE];
    char subject[ID_SIZE]; /* id or name of what the event is about */
    char cause[EVENT_CAUSE_SIZE];
};

struct event_ring;

/* "capacity" is the number of events, at least 1. Returns NULL when out of
 * memory. */
struct event_ring *event_ring_new(size_t capacity);
void event_ring_destroy(struct event_ring *ring);

/* Adds an event and returns its number. Texts longer than the fields of struct
 * event_entry are truncated. */
uint64_t event_ring_add(struct event_ring *ring, uint64_t wall_us,
                        const char *kind, const char *subject,
                        const char *cause);

/* Returns the oldest stored event with a number above "after", or NULL when
 * there is none. It is valid until the next event_ring_add(). */
const struct event_entry *event_ring_after(const struct event_ring *ring,
                                           uint64_t after);
/* Number of the newest event, 0 when there was none. */
uint64_t event_ring_last(const struct event_ring *ring);
