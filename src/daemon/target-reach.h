#pragma once

#include <event2/event.h>

#include "coordination/passive-health.h"
#include "state/forward-view.h"

/* Checks whether the hosts of targets that seem silent still accept
 * connections, and keeps the results for a short time. Only targets that are
 * asked about take memory. Times are monotonic, in microseconds. */

struct target_reach_table;

/* A check of the target with this cookie has ended. */
typedef void (*target_reach_cb)(void *ctx, uint32_t cookie);

/* Returns NULL when out of memory. */
struct target_reach_table *target_reach_new(struct event_base *base,
                                            target_reach_cb cb, void *ctx);
/* Does nothing for NULL. */
void target_reach_destroy(struct target_reach_table *table);

/* Starts a check unless one is under way or its result is still valid. */
void target_reach_check(struct target_reach_table *table,
                        const struct forward_target *target, uint64_t now);
/* Returns the result of the last check, TARGET_REACH_UNKNOWN when there is
 * none that is still valid. */
enum target_reach target_reach_get(const struct target_reach_table *table,
                                   uint32_t cookie, uint64_t now);
/* Number of checks started so far. */
uint64_t target_reach_checks(const struct target_reach_table *table);
/* Removes the results that are no longer valid. */
void target_reach_expire(struct target_reach_table *table, uint64_t now);
