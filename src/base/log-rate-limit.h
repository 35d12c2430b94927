#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Limits how many log lines of one kind are written per second. A structure
 * with "per_second" set and all other fields zero is ready for use. */
struct log_rate_limit {
    uint32_t per_second; /* lines allowed in each second */
    uint64_t window;     /* number of the second that "used" refers to */
    uint32_t used;       /* lines allowed so far in that second */
    uint32_t left_out;   /* lines refused since log_rate_limit_take_left_out()
                          * was last called */
};

/* Whether another line may be written at the time "now_us" (microseconds). A
 * line that is refused is counted as left out. */
bool log_rate_limit_allow(struct log_rate_limit *limit, uint64_t now_us);
/* Returns the number of lines left out since the last call, and starts to
 * count again from 0. */
uint32_t log_rate_limit_take_left_out(struct log_rate_limit *limit);
