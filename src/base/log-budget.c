#include "base/log-budget.h"

#include "base/clock.h"

bool
log_budget_take(struct log_budget *budget, uint64_t now_us)
{
    uint64_t window = now_us / USEC_PER_SEC;

    if (window != budget->window) {
        budget->window = window;
        budget->used = 0;
    }
    if (budget->used >= budget->per_second) {
        budget->left_out++;
        return false;
    }
    budget->used++;
    return true;
}

uint32_t
log_budget_report(struct log_budget *budget)
{
    uint32_t left_out = budget->left_out;

    budget->left_out = 0;
    return left_out;
}
