#pragma once

#include <stdint.h>
#include <sys/time.h>

#include "base/clock.h"

/* Converts a duration in microseconds to the type that libevent expects. */
static inline struct timeval
timeval_from_us(uint64_t us)
{
    return (struct timeval){
        .tv_sec = (time_t)(us / USEC_PER_SEC),
        .tv_usec = (suseconds_t)(us % USEC_PER_SEC),
    };
}
