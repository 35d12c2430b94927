#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config-view.h"
#include "state/resource.h"

/* Finds out which changes of resources can affect the view of this balancer's
 * failure domain, so that other changes do not cause a rebuild of the view. */
struct view_filter {
    size_t service_count;
    uint64_t *services; /* id_hash() of their ids, sorted; NULL: no view set */
    size_t address_count;
    uint64_t *addresses; /* addr << 16 | port, sorted */
};

/* Replaces the contents of the filter by the services and addresses of a view.
 * Returns false when out of memory; the filter is then empty, and every change
 * counts as affecting the view. */
bool view_filter_set(struct view_filter *filter,
                     const struct config_view *view);
/* Frees the contents; every change then counts as affecting the view. */
void view_filter_clear(struct view_filter *filter);

/* Whether this resource may change the view of the failure domain "domain" for
 * the balancer on "host". The filter does not know targets in quarantine,
 * since they are not in a view: while there are any, the caller must not use
 * it. */
bool view_filter_may_affect(const struct view_filter *filter,
                            const char *domain, const char *host,
                            const struct resource *r);
