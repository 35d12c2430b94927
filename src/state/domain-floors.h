#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/resource.h"

/* For each failure domain, the store revision up to which the configuration
 * is in force at every one of its balancers. A floor only rises, so tables
 * merge by maximum and copies in any order are harmless. */

#define DOMAIN_FLOORS_MAX 64 /* failure domains */

struct domain_floor {
    char domain[ID_SIZE];
    uint64_t revision;
};

struct domain_floors {
    size_t count;
    struct domain_floor floors[DOMAIN_FLOORS_MAX];
};

/* Raises a floor. Returns true when it rose or the domain is new; a domain
 * beyond the table's size is left out. */
bool domain_floors_raise(struct domain_floors *df, const char *domain,
                         uint64_t revision);
/* Sum of all floors: of two tables that differ, one that lacks nothing of the
 * other has the higher sum. */
uint64_t domain_floors_sum(const struct domain_floors *df);
/* Returns 0 for a domain that is not known. */
uint64_t domain_floors_get(const struct domain_floors *df, const char *domain);
