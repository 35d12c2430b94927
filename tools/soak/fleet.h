#pragma once

#include "soak.h"

/* Starts and stops the processes of a soak. */

/* Starts the store and the links, and after a short delay the targets,
 * balancers and callers. */
void fleet_start(struct soak *soak);
/* Starts a balancer, whose settings file must exist. */
void fleet_start_balancer(struct balancer *b);
/* Writes a balancer's settings file. Exits with a message if that fails. */
void fleet_write_settings(struct balancer *b);
/* Starts a target of a service at an address that no target uses. */
void fleet_start_target(struct soak *soak, struct target_addr *target_addr,
                        int service);
/* Drains a target and ends it after the drain bound. A new target of
 * "next_service" is then started at its address; CHECKER_NO_SERVICE: none. */
void fleet_drain_target(struct target_process *t, int next_service);
void fleet_stop_callers(struct soak *soak);
/* Number of a service's targets that run and are neither leaving nor
 * paused. */
size_t fleet_count_targets(const struct soak *soak, int service);
