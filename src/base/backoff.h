#pragma once

#include <stdint.h>

#include "base/random.h"

/* Delays between attempts, with decorrelated jitter: each delay is drawn
 * between the least delay and three times the one before, up to a cap. */
struct backoff {
    uint64_t min_us;
    uint64_t max_us;
    uint64_t last_us; /* 0 after a success */
};

void backoff_init(struct backoff *b, uint64_t min_us, uint64_t max_us);
void backoff_reset(struct backoff *b);
uint64_t backoff_next(struct backoff *b, struct random *random);
