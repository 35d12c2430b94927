#pragma once

#include <stdint.h>

#include "state/config-store.h"
#include "state/config-view.h"
#include "state/domain-min-revisions.h"

/* Builds the view that the data task uses from the configuration store. The
 * view has the services that list the failure domain of this balancer, with
 * all their targets that are not in quarantine. */

/* A target that is left out of the view (is in quarantine) because its address
 * was, or still is, in use by another service. */
struct view_quarantine {
    char service[ID_SIZE];
    char target[ID_SIZE];
    char former_service[ID_SIZE];
    char former_target[ID_SIZE];
    /* A failure domain whose balancers have not all reported that they have
     * applied the removal; empty when the other service still declares the
     * address. */
    char domain[ID_SIZE];
    /* Store revision of the removal; 0: the address was not removed */
    uint64_t revision;
};

/* "q" is valid during the call. */
typedef void (*view_quarantine_cb)(void *ctx, const struct view_quarantine *q);

/* Builds the view of the failure domain "domain"; "sequence" becomes the
 * view's sequence number. "cb" may be NULL; it is called once for each target
 * in quarantine. Returns NULL when out of memory; release the result with
 * config_view_destroy(). */
struct config_view *view_builder_build(
    const struct config_store *cs, const struct domain_min_revisions *floors,
    const char *domain, uint64_t sequence, view_quarantine_cb cb, void *ctx);
