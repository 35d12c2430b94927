#include "state/domain-min-revisions.h"

#include <stdio.h>
#include <string.h>

static struct domain_min_revision *
find(struct domain_min_revisions *df, const char *domain)
{
    for (size_t i = 0; i < df->count; i++) {
        if (strcmp(df->entries[i].domain, domain) == 0) {
            return &df->entries[i];
        }
    }
    return NULL;
}

bool
domain_min_revisions_raise(struct domain_min_revisions *df, const char *domain,
                           uint64_t revision)
{
    struct domain_min_revision *floor = find(df, domain);

    if (floor == NULL) {
        if (df->count == DOMAIN_MIN_REVISIONS_MAX) {
            return false;
        }
        floor = &df->entries[df->count];
        df->count++;
        snprintf(floor->domain, sizeof(floor->domain), "%s", domain);
        floor->revision = revision;
        return true;
    }
    if (revision <= floor->revision) {
        return false;
    }
    floor->revision = revision;
    return true;
}

uint64_t
domain_min_revisions_get(const struct domain_min_revisions *df,
                         const char *domain)
{
    const struct domain_min_revision *floor =
        find((struct domain_min_revisions *)df, domain);

    return floor == NULL ? 0 : floor->revision;
}

uint64_t
domain_min_revisions_sum(const struct domain_min_revisions *df)
{
    uint64_t sum = 0;

    for (size_t i = 0; i < df->count; i++) {
        sum += df->entries[i].revision;
    }
    return sum;
}
