#include "state/domain-min-revisions.h"

#include <stdio.h>
#include <string.h>

static struct domain_min_revision *
find(struct domain_min_revisions *table, const char *domain)
{
    for (size_t i = 0; i < table->count; i++) {
        if (strcmp(table->entries[i].domain, domain) == 0) {
            return &table->entries[i];
        }
    }
    return NULL;
}

bool
domain_min_revisions_raise(struct domain_min_revisions *table,
                           const char *domain, uint64_t revision)
{
    struct domain_min_revision *entry = find(table, domain);

    if (entry == NULL) {
        if (table->count == DOMAIN_MIN_REVISIONS_MAX) {
            return false;
        }
        entry = &table->entries[table->count];
        table->count++;
        snprintf(entry->domain, sizeof(entry->domain), "%s", domain);
        entry->revision = revision;
        return true;
    }
    if (revision <= entry->revision) {
        return false;
    }
    entry->revision = revision;
    return true;
}

uint64_t
domain_min_revisions_get(const struct domain_min_revisions *table,
                         const char *domain)
{
    const struct domain_min_revision *entry =
        find((struct domain_min_revisions *)table, domain);

    return entry == NULL ? 0 : entry->revision;
}

uint64_t
domain_min_revisions_sum(const struct domain_min_revisions *table)
{
    uint64_t sum = 0;

    for (size_t i = 0; i < table->count; i++) {
        sum += table->entries[i].revision;
    }
    return sum;
}
