#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "coordination/member-table.h"

/* Converts times on the monotonic clocks of other balancers to times on the
 * clock of this one. A message tells at the latest how long ago something
 * was, as its delay is not known; the least of what several messages from the
 * same clock tell is the nearest to the truth, and holds for those that are
 * late as well. */

/* An offset between two clocks is used for this time at least, and for twice
 * this time at most, after the message that showed it: clocks drift. */
#define PEER_CLOCKS_WINDOW_US 30000000ULL
#define PEER_CLOCKS_MAX 64 /* clocks known at once */

/* A time by the clock of a balancer. */
struct clock_time {
    uint32_t clock; /* its id, 0: none */
    uint64_t us;
};

struct peer_clocks {
    uint32_t own_id;    /* of the local clock, not 0 */
    GHashTable *clocks; /* id -> struct peer_clock */
};

void peer_clocks_init(struct peer_clocks *pc, const struct member_info *self);
void peer_clocks_clear(struct peer_clocks *pc);
/* Returns the local time of "time", or 0 when it lies before the start of the
 * local clock. It is "latest" or before, which is when it was at the latest by
 * the message that arrived at "now". Without a clock it is "latest". */
uint64_t peer_clocks_convert(struct peer_clocks *pc, struct clock_time time,
                             uint64_t latest, uint64_t now);
