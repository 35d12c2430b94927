#pragma once

#include <stdint.h>

#include <glib.h>

#include "state/forward-view.h"

/* Decides which targets have lost their address to another one, by their
 * entries. Two processes cannot use one address, so of two targets that state
 * the same the older one may no longer run. Its entry is no proof of that: it
 * may be another writer's. So a claim has to fulfil conditions (see
 * address_claims_update()), and ends when the target answers a packet (see
 * forward_target_is_replaced()). */

struct address_claims;

struct address_claims *address_claims_new(void);
void address_claims_destroy(struct address_claims *claims);

/* A route changes from one record to the other; one that is removed or empty
 * names no service. */
void address_claims_change_route(struct address_claims *claims,
                                 const struct route_record *before,
                                 const struct route_record *after);
/* Whether a route names the service. "service" is interned. */
bool address_claims_has_service(const struct address_claims *claims,
                                const char *service);
/* The next update decides on the address of the record. */
void address_claims_touch(struct address_claims *claims,
                          const struct target_record *record);

/* Sets or ends the claims on the targets in "targets" (id -> struct
 * forward_target) at the addresses that were touched. A target's address is
 * claimed by the target there whose entry was created last, if a route names
 * its service, it is not gone, and the other target has written nothing since.
 * Positions of different eras do not tell that, so no claim crosses eras.
 * "lost" is called for each target that loses its address. */
void address_claims_update(struct address_claims *claims, GHashTable *targets,
                           void (*lost)(void *ctx,
                                        struct forward_target *target),
                           void *ctx, uint64_t now);
