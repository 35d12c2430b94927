#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "plan.h"

/* Counters of the target stand-ins, read from their control interface. */

#define TARGETS_MAX 64 /* maximum number of --target options */

struct target_stats {
    char service[TRAFFIC_SERVICE_SIZE];
    char id[TRAFFIC_SERVICE_SIZE];
    double busy_s; /* execution time in seconds, summed over all slots */
    double begun;  /* requests whose execution has begun */
    double shed;   /* requests refused before their execution */
    /* Start time of the process in us, by which a restart is detected. */
    double started_us;
    bool known; /* the other fields are valid */
};

/* Requests the counters of each "a.b.c.d:port". Runs the event loop until each
 * request has been answered, has failed or has timed out after one second.
 * "stats" has "count" elements, at most TARGETS_MAX. */
void target_stats_read(struct event_base *base, char *const *endpoints,
                       size_t count, struct target_stats *stats);

/* Subtracts the counters in "before" from those in "after". Clears "known" of
 * a target that did not answer both times or was restarted in between. */
void target_stats_subtract(struct target_stats *after,
                           const struct target_stats *before, size_t count);
