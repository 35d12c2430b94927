#include "coordination/retry-budget.h"

/* Retries that a request adds to the budget */
#define RETRIES_PER_REQUEST 0.1
#define RETRIES_MAX 10.0    /* maximum number of retries in the budget */
#define RETRIES_INITIAL 3.0 /* retries in a new budget */

void
retry_budget_init(struct retry_budget *rb)
{
    rb->tokens = RETRIES_INITIAL;
}

void
retry_budget_deposit(struct retry_budget *rb)
{
    rb->tokens += RETRIES_PER_REQUEST;
    if (rb->tokens > RETRIES_MAX) {
        rb->tokens = RETRIES_MAX;
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
