#pragma once

#include <stdint.h>
#include <sys/time.h>

#include "base/clock.h"

/* The form in which libevent takes a time span. */
static inline struct timeval
timeval_from_us(uint64_t us)
{
    return (struct timeval){
        .tv_sec = (time_t)(us / USEC_PER_SEC),
        .tv_usec = (suseconds_t)(us % USEC_PER_SEC),
    };
}
