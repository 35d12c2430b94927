#pragma once

#include <stdbool.h>

/* Bounds retries to a share of the requests of a service (token bucket). */
struct retry_budget {
    double tokens;
};

void retry_budget_init(struct retry_budget *rb);
/* A first try was sent. */
void retry_budget_deposit(struct retry_budget *rb);
/* True when a retry may be sent; it is then counted. */
bool retry_budget_withdraw(struct retry_budget *rb);
