#include "coordination/cold-limit.h"

#include <glib.h>

/* Initial size of the ring. */
#define CAPACITY_MIN 16
/* Upper end of what a target may be allowed, which bounds the memory. */
#define OPENINGS_MAX 100000

void
cold_limit_clear(struct cold_limit *limit)
{
    g_free(limit->sent_at);
    *limit = (struct cold_limit){0};
}

size_t
cold_limit_openings(uint32_t per_1000_s, double overage, double slack)
{
    double openings = per_1000_s / 1000.0 * overage + slack;

    if (openings <= 0) {
        return 0;
    }
    return openings < OPENINGS_MAX ? (size_t)openings : OPENINGS_MAX;
}

bool
cold_limit_allows(struct cold_limit *limit, size_t max, uint64_t now)
{
    while (limit->count > 0 &&
           now >= limit->sent_at[limit->first] + COLD_LIMIT_WINDOW_US) {
        limit->first = (limit->first + 1) % limit->capacity;
        limit->count--;
    }
    return limit->count < max;
}

static void
grow(struct cold_limit *limit)
{
    size_t capacity =
        limit->capacity == 0 ? CAPACITY_MIN : 2 * limit->capacity;
    uint64_t *sent_at = g_new(uint64_t, capacity);

    for (size_t i = 0; i < limit->count; i++) {
        sent_at[i] = limit->sent_at[(limit->first + i) % limit->capacity];
    }
    g_free(limit->sent_at);
    limit->sent_at = sent_at;
    limit->capacity = capacity;
    limit->first = 0;
}

void
cold_limit_on_open(struct cold_limit *limit, uint64_t now)
{
    if (limit->count == limit->capacity) {
        grow(limit);
    }
    limit->sent_at[(limit->first + limit->count) % limit->capacity] = now;
    limit->count++;
}
