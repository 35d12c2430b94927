#pragma once

#include "soak.h"

/* The processes of a soak. */

/* Starts the store, the links, targets, balancers and callers. */
void fleet_start(struct soak *soak);
void fleet_start_balancer(struct balancer *b);
/* Writes a balancer's settings file. */
void fleet_write_settings(struct balancer *b);
/* Starts a target at an address that none has. */
void fleet_start_target(struct soak *soak, struct place *place, int service);
/* Tells a target to leave: it is drained, and ends when the bound is over.
 * Another of "next" takes its address after that; CHECKER_NO_SERVICE: none. */
void fleet_drain_target(struct target_process *t, int next);
void fleet_stop_callers(struct soak *soak);
size_t fleet_targets_of(const struct soak *soak, int service);
