#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "base/list.h"
#include "base/status.h"
#include "state/resource.h"

/* Rules that a resource must satisfy with regard to other resources and to its
 * own previous version. The rules that concern one resource alone are checked
 * when it is parsed (protocol/resource-json.h). */

/* Other resources that the rules of a write depend on; a set of bits. */
enum resource_need {
    NEED_SERVICES = 1 << 0,
    NEED_TARGETS = 1 << 1,
    NEED_HOSTS = 1 << 2, /* hosts, and the known failure domains */
};

/* Returns the set of enum resource_need that the check of a write needs. */
unsigned resource_rules_needs(enum resource_kind kind, bool deletion);

/* The resources that a write is checked against. */
struct resource_context {
    const struct resource *current; /* NULL when absent or deleted */
    const struct list *others;      /* struct resource, linked by "link" */
    /* Failure domains that the platform knows. Those of declared hosts count
     * as known too. */
    const char (*domains)[ID_SIZE];
    size_t domain_count; /* 0: not available; every domain is accepted */
};

/* Returns false with ERR_INVALID and a message that begins with the path of
 * the invalid field. */
bool resource_rules_check_put(const struct resource *wanted,
                              const struct resource_context *context,
                              struct status *st);
/* Returns false with ERR_INVALID and a message that gives the reason. */
bool resource_rules_check_delete(const struct resource *tombstone,
                                 const struct resource_context *context,
                                 struct status *st);
