#pragma once

#include "soak.h"

/* What the operator and the targets write into the store, and orders to the
 * store stand-in and to the TCP links. */

/* Writes the configuration of "soak->services" and tells the checker. */
void directory_write_config(struct soak *soak);
/* Writes a target's entry, as ready or draining, and tells the checker. */
void directory_register(struct target_process *t);
void directory_remove(struct target_process *t, bool for_good);
/* Gives up the orders that are under way. */
void directory_close(struct soak *soak);
/* An order to the store, such as {"compact":true}. */
void directory_order(struct soak *soak, const char *json);
/* An order to the links that listen on an address, "all" for all, such as
 * {"cut":"silent"}. */
void links_order(struct soak *soak, const char *listen, const char *json);
