#pragma once

#include <stdint.h>

#define USEC_PER_MSEC 1000ULL
#define USEC_PER_SEC 1000000ULL

/* Monotonic time in microseconds. Decision code never calls this; it gets
 * "now" as an argument. */
uint64_t clock_monotonic_us(void);

/* Like clock_monotonic_us(), but goes on while the host is suspended. */
uint64_t clock_boot_us(void);

/* Wall clock time in microseconds since the epoch, for log lines and events
 * that people read. */
uint64_t clock_wall_us(void);
