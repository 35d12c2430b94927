#pragma once

#include <stdbool.h>
#include <stdint.h>

/* A point in the history of the platform's store. The store numbers its
 * changes by revision. When it is restored from an older copy, it gives out
 * revisions again and announces a new era, so that only both together order
 * two changes: the era first. A position of 0 stands for none. */

#define STORE_ERA_MAX ((1U << 16) - 1)
#define STORE_REVISION_MAX ((1ULL << 48) - 1)

struct store_position {
    uint64_t revision : 48;
    uint64_t era : 16;
};

/* Returns the position as a number that orders positions like
 * store_position_compare(). In era 0 it is the revision. */
static inline uint64_t
store_position_to_number(struct store_position p)
{
    return (uint64_t)p.era << 48 | p.revision;
}

/* The inverse of store_position_to_number(); defined for each number. */
static inline struct store_position
store_position_from_number(uint64_t number)
{
    return (struct store_position){.revision = number & STORE_REVISION_MAX,
                                   .era = number >> 48};
}

static inline bool
store_position_is_none(struct store_position p)
{
    return store_position_to_number(p) == 0;
}

static inline bool
store_position_is_after(struct store_position a, struct store_position b)
{
    return store_position_to_number(a) > store_position_to_number(b);
}

static inline bool
store_position_equal(struct store_position a, struct store_position b)
{
    return store_position_to_number(a) == store_position_to_number(b);
}

static inline struct store_position
store_position_max(struct store_position a, struct store_position b)
{
    return store_position_is_after(a, b) ? a : b;
}

struct store_position_text {
    char text[24];
};

/* Returns a position as text: the revision, in a later era than 0 after the
 * era and a slash. */
struct store_position_text store_position_format(struct store_position p);
