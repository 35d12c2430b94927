#pragma once

#include <stdint.h>

#include "coordination/membership.h"

/* The order in which balancers watch the store, and how many of them a
 * balancer can reach. Times are monotonic, in microseconds. */

/* Place of this balancer in the order in which balancers watch the store, from
 * 0 (first) up to but not including 1. */
double watch_order_position(const struct membership *members, uint64_t now);
/* Estimates how many balancers can reach each other, this one included: all
 * when messages from all neighbors have arrived lately, otherwise their number
 * times the square of the share of neighbors from which messages have arrived.
 * Returns 1 without neighbors. All domains are taken to be as large as that of
 * this balancer. */
double watch_order_estimate_reachable(const struct membership *members,
                                      uint64_t now);
