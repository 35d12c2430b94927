#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Bounds the lines of one kind a second. */
struct log_budget {
    uint32_t per_second;
    uint64_t window; /* second that is being counted */
    uint32_t used;
    uint32_t left_out; /* lines since the last report */
};

/* Whether a line may be written at "now_us"; counts it if not. */
bool log_budget_take(struct log_budget *budget, uint64_t now_us);
/* Returns how many lines were left out since the last call. */
uint32_t log_budget_report(struct log_budget *budget);
