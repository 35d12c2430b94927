#include "base/log-rate-limit.h"

#include "base/clock.h"

bool
log_rate_limit_allow(struct log_rate_limit *limit, uint64_t now_us)
{
    uint64_t window = now_us / USEC_PER_SEC;

    if (window != limit->window) {
        limit->window = window;
        limit->used = 0;
    }
    if (limit->used >= limit->per_second) {
        limit->left_out++;
        return false;
    }
    limit->used++;
    return true;
}

uint32_t
log_rate_limit_take_left_out(struct log_rate_limit *limit)
{
    uint32_t left_out = limit->left_out;

    limit->left_out = 0;
    return left_out;
}
