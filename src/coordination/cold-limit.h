#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Limits the openings that one host sends to one target: at most a number of
 * them in any span of COLD_LIMIT_WINDOW_US, wherever it begins. It has no
 * clock; times are monotonic, in microseconds. An opening that was not sent is
 * not saved up, so a host that stood still for long has no more to send than
 * any other. */

/* The second to which limits refer, and a tenth of it for the time between the
 * decision and the moment in which the packet leaves, and for clocks that run
 * at different speeds. */
#define COLD_LIMIT_WINDOW_US 1100000ULL

struct cold_limit {
    uint64_t *sent_at; /* ring of the times of the last openings */
    size_t capacity;
    size_t first; /* index of the oldest */
    size_t count;
};

/* All fields 0 is a limiter that has sent nothing. Frees its memory. */
void cold_limit_clear(struct cold_limit *limit);
/* Returns the number of openings that a target bears in a second, rounded
 * down. "per_1000_s" is what its service allows in openings per 1000 s. */
size_t cold_limit_openings(uint32_t per_1000_s, double overage, double slack);
/* Whether an opening may be sent when at most "max" are allowed. */
bool cold_limit_allows(struct cold_limit *limit, size_t max, uint64_t now);
/* An opening was sent. */
void cold_limit_on_open(struct cold_limit *limit, uint64_t now);
