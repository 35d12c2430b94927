#include "coordination/view-filter.h"

#include <stdlib.h>
#include <string.h>

static int
compare_keys(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    if (x == y) {
        return 0;
    }
    return x < y ? -1 : 1;
}

static uint64_t
address_key(uint32_t addr, uint16_t port)
{
    return (uint64_t)addr << 16 | port;
}

static size_t
count_targets(const struct config_view *view)
{
    size_t count = 0;

    for (size_t i = 0; i < view->service_count; i++) {
        count += view->services[i].target_count;
    }
    return count;
}

static void
fill_filter(struct view_filter *filter, const struct config_view *view)
{
    for (size_t i = 0; i < view->service_count; i++) {
        const struct service_view *sv = &view->services[i];

        filter->services[filter->service_count] = id_hash(sv->id);
        filter->service_count++;
        for (size_t k = 0; k < sv->target_count; k++) {
            filter->addresses[filter->address_count] =
                address_key(sv->targets[k].addr, sv->targets[k].port);
            filter->address_count++;
        }
    }
    qsort(filter->services, filter->service_count, sizeof(uint64_t),
          compare_keys);
    qsort(filter->addresses, filter->address_count, sizeof(uint64_t),
          compare_keys);
}

bool
view_filter_set(struct view_filter *filter, const struct config_view *view)
{
    view_filter_clear(filter);
    filter->services = calloc(view->service_count + 1, sizeof(uint64_t));
    filter->addresses = calloc(count_targets(view) + 1, sizeof(uint64_t));
    if (filter->services == NULL || filter->addresses == NULL) {
        view_filter_clear(filter);
        return false;
    }
    fill_filter(filter, view);
    return true;
}

void
view_filter_clear(struct view_filter *filter)
{
    free(filter->services);
    free(filter->addresses);
    memset(filter, 0, sizeof(*filter));
}

static bool
contains_service(const struct view_filter *filter, const char *id)
{
    uint64_t key = id_hash(id);

    return bsearch(&key, filter->services, filter->service_count,
                   sizeof(uint64_t), compare_keys) != NULL;
}

static bool
contains_address(const struct view_filter *filter, const struct target *t)
{
    uint64_t key = address_key(t->addr, t->port);

    return bsearch(&key, filter->addresses, filter->address_count,
                   sizeof(uint64_t), compare_keys) != NULL;
}

static bool
lists_domain(const struct service *s, const char *domain)
{
    for (size_t i = 0; i < s->domain_count; i++) {
        if (strcmp(s->domains[i], domain) == 0) {
            return true;
        }
    }
    return false;
}

bool
view_filter_may_affect(const struct view_filter *filter, const char *domain,
                       const char *host, const struct resource *r)
{
    if (filter->services == NULL) {
        return true;
    }
    switch (r->kind) {
    case RESOURCE_SERVICE:
        return lists_domain(&r->service, domain) ||
               contains_service(filter, r->id);
    case RESOURCE_TARGET:
        return contains_service(filter, r->target.service) ||
               contains_address(filter, &r->target);
    case RESOURCE_HOST:
        /* The view says whether this balancer's host is declared draining. */
        return strcmp(r->id, host) == 0;
    default:
        return true;
    }
}
