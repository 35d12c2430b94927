#pragma once

#include <stdint.h>

#define USEC_PER_MSEC 1000ULL
#define USEC_PER_SEC 1000000ULL

/* Monotonic time in microseconds, which does not advance while the host is
 * suspended. Code that makes decisions does not call this function: its
 * callers pass the time as the argument "now". */
uint64_t clock_monotonic_us(void);

/* Like clock_monotonic_us(), but also advances while the host is suspended.
 */
uint64_t clock_boot_us(void);

/* Wall clock time in microseconds since the Unix epoch, for the times shown in
 * log lines and events. */
uint64_t clock_wall_us(void);
