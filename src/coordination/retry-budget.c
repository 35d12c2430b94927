#include "coordination/retry-budget.h"

#define RETRY_SHARE 0.1   /* retries per request */
#define RETRY_BURST 10.0  /* retries that may be saved up */
#define RETRY_INITIAL 3.0 /* retries before the first requests */

void
retry_budget_init(struct retry_budget *rb)
{
    rb->tokens = RETRY_INITIAL;
}

void
retry_budget_deposit(struct retry_budget *rb)
{
    rb->tokens += RETRY_SHARE;
    if (rb->tokens > RETRY_BURST) {
        rb->tokens = RETRY_BURST;
    }
}

bool
retry_budget_withdraw(struct retry_budget *rb)
{
    if (rb->tokens < 1) {
        return false;
    }
    rb->tokens -= 1;
    return true;
}
