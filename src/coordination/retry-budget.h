#pragma once

#include <stdbool.h>

/* Limits the retries of a service to a share of its requests (token
 * bucket). */
struct retry_budget {
    double tokens; /* retries that may be sent now */
};

void retry_budget_init(struct retry_budget *rb);
/* Adds the share of one new request to the budget. */
void retry_budget_deposit(struct retry_budget *rb);
/* Takes one retry from the budget. Returns false when the budget is used up
 * and no retry may be sent. */
bool retry_budget_withdraw(struct retry_budget *rb);
