#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config-view.h"
#include "state/resource.h"

/* Tells which changes concern the view of the own failure domain, so that it
 * is not built anew for all others. */
struct view_filter {
    size_t service_count;
    uint64_t *services; /* hashes of ids, sorted */
    size_t address_count;
    uint64_t *addresses; /* addr << 16 | port, sorted */
};

/* Takes what a view holds in place of what was held before. Returns false
 * when memory is short; everything then counts as a concern. */
bool view_filter_set(struct view_filter *filter,
                     const struct config_view *view);
void view_filter_clear(struct view_filter *filter);

/* Whether a view of the failure domain "domain", for the balancer on "host",
 * may differ when built with this resource. Targets in quarantine
 * are not in a view: while there are some, the filter does not apply. */
bool view_filter_concerns(const struct view_filter *filter, const char *domain,
                          const char *host, const struct resource *r);
