#pragma once

#include <stdint.h>

#include "base/random.h"

/* Exponential backoff with decorrelated jitter: each delay before another
 * attempt is drawn uniformly from the minimum delay up to three times the
 * previous delay (at first, three times the minimum), and is limited to the
 * maximum delay. All times are in microseconds. */
struct backoff {
    uint64_t min_us;
    uint64_t max_us;
    uint64_t last_us; /* previous delay; 0 at first and after a reset */
};

/* "min_us" is not 0 and is not above "max_us". */
void backoff_init(struct backoff *b, uint64_t min_us, uint64_t max_us);
/* Forgets the previous delay; to be called after a successful attempt. */
void backoff_reset(struct backoff *b);
/* Returns the delay before the next attempt, in microseconds. */
uint64_t backoff_next(struct backoff *b, struct random *random);
