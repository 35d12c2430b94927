#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/resource.h"

/* The minimum revision of each failure domain: the revision of the platform's
 * store up to which every balancer of the domain has applied the
 * configuration. A minimum revision never decreases, so two tables are merged
 * by taking the maximum for each domain, and updates may arrive repeatedly and
 * in any order. */

/* Maximum number of failure domains in a table. */
#define DOMAIN_MIN_REVISIONS_MAX 64

struct domain_min_revision {
    char domain[ID_SIZE];
    uint64_t revision; /* 0: no revision is known to be applied everywhere */
};

struct domain_min_revisions {
    size_t count;
    struct domain_min_revision entries[DOMAIN_MIN_REVISIONS_MAX];
};

/* Raises the minimum revision of a domain to "revision" and adds the domain if
 * it is new. Returns true when the table has changed; a new domain is ignored
 * when the table is full. */
bool domain_min_revisions_raise(struct domain_min_revisions *table,
                                const char *domain, uint64_t revision);
/* Sum of the minimum revisions of all domains, for a cheap comparison of two
 * tables: a table that has every value of the other and at least one higher
 * value has the higher sum. */
uint64_t domain_min_revisions_sum(const struct domain_min_revisions *table);
/* Returns the minimum revision of a domain, 0 for an unknown domain. */
uint64_t domain_min_revisions_get(const struct domain_min_revisions *table,
                                  const char *domain);
