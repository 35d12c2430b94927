#pragma once

#include "daemon/data.h"
#include "transport/target-client.h"

/* The HTTP clients of the data task, one for each target in use. */

/* Allocates an empty set of clients for a data task, which must outlive it.
 * Returns NULL when memory is short. */
struct target_clients *target_clients_new(struct data_task *task);
/* Frees all clients, which cancels their requests without a callback. */
void target_clients_destroy(struct target_clients *clients);

/* Returns the client of a target, which is created on first use and stays
 * owned by the set. Returns NULL when memory is short. */
struct target_client *target_clients_get(struct target_clients *clients,
                                         struct target_state *t);

/* Frees the clients that have no request in progress and whose target was
 * removed or that were not used for a while, and updates the number of open
 * connections of each target. Meant to be called on every tick; it does its
 * work once a second. "now" is in microseconds of the monotonic clock. */
void target_clients_free_unused(struct target_clients *clients, uint64_t now);
