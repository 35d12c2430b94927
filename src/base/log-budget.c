#include "base/log-budget.h"

#include "base/clock.h"

bool
log_budget_take(struct log_budget *limit, uint64_t now_us)
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
log_budget_report(struct log_budget *limit)
{
    uint32_t left_out = limit->left_out;

    limit->left_out = 0;
    return left_out;
}
