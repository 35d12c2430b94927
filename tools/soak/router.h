#pragma once

#include "soak.h"

/* Relays packets of flows: from callers to a balancer chosen by a hash of the
 * flow, from balancers to targets, and from targets to callers. Applies the
 * impairments that faults set. */

/* Opens all sockets, and sets the addresses in balancers, target addresses and
 * callers. Exits with a message if an address cannot be bound. */
void router_open(struct soak *soak);
void router_close(struct soak *soak);
/* Starts a readiness check of each balancer that has none in progress. To be
 * called twice a second, as often as the users' routers check. */
void router_poll(struct soak *soak);
/* Index of the balancer with an address (IPv4, host byte order);
 * CHECKER_NO_BALANCER if there is none. */
int router_balancer_of(const struct soak *soak, uint32_t addr);
