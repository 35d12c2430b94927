#pragma once

#include "soak.h"

/* Carries packets: from callers to balancers by a hash of the flow, and from
 * balancers to targets and from targets to callers with what harm a fault
 * does. */
void router_open(struct soak *soak);
void router_close(struct soak *soak);
/* Asks all balancers for readiness, as routers do twice a second. */
void router_poll(struct soak *soak);
/* The balancer of an address; -1: none has it. */
int router_balancer_of(const struct soak *soak, uint32_t addr);
