#pragma once

#include <stdint.h>

#include "state/config-store.h"
#include "state/config-view.h"
#include "state/domain-floors.h"

/* Builds the view of the data task from the configuration store: the services
 * that list the own failure domain, with all their targets. */

/* A target that is left out because its address was, or still is, in use by
 * another service. */
struct view_quarantine {
    char service[ID_SIZE];
    char target[ID_SIZE];
    char former_service[ID_SIZE];
    char former_target[ID_SIZE];
    /* The failure domain whose balancers have not all reported the removal
     * in force; empty when the other service still declares the address. */
    char domain[ID_SIZE];
    uint64_t revision; /* of the removal */
};

typedef void (*view_quarantine_cb)(void *ctx, const struct view_quarantine *q);

/* Returns NULL when memory is short. "cb" may be NULL; it is called once for
 * each target that is left out. */
struct config_view *view_builder_build(const struct config_store *cs,
                                       const struct domain_floors *floors,
                                       const char *domain, uint64_t sequence,
                                       view_quarantine_cb cb, void *ctx);
