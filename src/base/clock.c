#include "base/clock.h"

#include <time.h>

static uint64_t
clock_read_us(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (uint64_t)ts.tv_sec * USEC_PER_SEC + (uint64_t)ts.tv_nsec / 1000;
}

uint64_t
clock_monotonic_us(void)
{
    return clock_read_us(CLOCK_MONOTONIC);
}

uint64_t
clock_boot_us(void)
{
    return clock_read_us(CLOCK_BOOTTIME);
}

uint64_t
clock_wall_us(void)
{
    return clock_read_us(CLOCK_REALTIME);
}
