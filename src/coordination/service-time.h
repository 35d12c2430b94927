#pragma once

#include <stdint.h>

/* Time for which a request of a service occupies a slot of a target, estimated
 * from the times until requests were answered. Those include the wait at a
 * loaded target, so the estimate is a minimum of means over windows, which
 * rises slowly: load hardly raises it, and the end of the load corrects it. A
 * target whose queue is full refuses a request at once, which looks like an
 * answer here; such short times are left out.
 * Times are monotonic, in microseconds. */

/* A structure of zeros is ready for use. */
struct service_time {
    double value_us; /* the estimate; 0: unknown */
    /* The window */
    uint64_t start;
    double sum_us;
    uint32_t count;
    double short_sum_us; /* of the times left out */
    uint32_t short_count;
};

/* Adds the time that a request took without the way. */
void service_time_add(struct service_time *s, double took_us, uint64_t now);
