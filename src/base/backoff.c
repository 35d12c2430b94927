#include "base/backoff.h"

#include <assert.h>

void
backoff_init(struct backoff *b, uint64_t min_us, uint64_t max_us)
{
    assert(min_us > 0 && min_us <= max_us);
    b->min_us = min_us;
    b->max_us = max_us;
    b->last_us = 0;
}

void
backoff_reset(struct backoff *b)
{
    b->last_us = 0;
}

uint64_t
backoff_next(struct backoff *b, struct random *random)
{
    uint64_t previous = b->last_us > b->min_us ? b->last_us : b->min_us;
    uint64_t span = 3 * previous - b->min_us;
    uint64_t delay = b->min_us + random_next(random) % (span + 1);

    b->last_us = delay < b->max_us ? delay : b->max_us;
    return b->last_us;
}
