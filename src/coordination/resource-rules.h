#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "base/list.h"
#include "base/status.h"
#include "state/resource.h"

/* Rules that a resource keeps towards the other resources and towards its own
 * former version. What concerns one resource alone is checked when it is
 * read (protocol/resource-json.h). */

/* Which other resources the rules of a write look at. */
enum resource_need {
    NEED_SERVICES = 1 << 0,
    NEED_TARGETS = 1 << 1,
    NEED_HOSTS = 1 << 2, /* and the failure domains known */
};

unsigned resource_rules_needs(enum resource_kind kind, bool deletion);

/* What a write is checked against. */
struct resource_context {
    const struct resource *current; /* NULL when absent or deleted */
    const struct list *others;      /* struct resource, by their links */
    /* Failure domains that the platform knows; those of declared hosts are
     * known too. */
    const char (*domains)[ID_SIZE];
    size_t domain_count; /* 0: not known, not checked */
};

/* Each returns false with ERR_INVALID and a message that begins with the path
 * of the field. */
bool resource_rules_check_put(const struct resource *wanted,
                              const struct resource_context *context,
                              struct status *st);
bool resource_rules_check_delete(const struct resource *doomed,
                                 const struct resource_context *context,
                                 struct status *st);
