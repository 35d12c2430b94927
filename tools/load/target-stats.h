#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "plan.h"

/* What the target stand-ins say of themselves. */

#define TARGETS_MAX 64

struct target_stats {
    char service[TRAFFIC_SERVICE_SIZE];
    char id[TRAFFIC_SERVICE_SIZE];
    double busy_s; /* slot seconds */
    double begun;
    double shed;
    double started_us; /* tells one process from its successor */
    bool known;        /* the target has answered */
};

/* Asks each "a.b.c.d:port" for its stats; runs the event loop until all have
 * answered or a second has passed. */
void target_stats_read(struct event_base *base, char *const *endpoints,
                       size_t count, struct target_stats *stats);

/* Turns "after" into what happened since "before". A target that is missing
 * on either side, or was restarted in between, is unknown. */
void target_stats_since(struct target_stats *after,
                        const struct target_stats *before, size_t count);
