#include "coordination/domain-shares.h"

static double
above_zero(double value)
{
    return value > 0.0 ? value : 0.0;
}

/* Returns the utilization up to which each domain is left to its own callers.
 */
static double
own_level(const struct domain_demand *domains, size_t count)
{
    double demand = 0;
    double room = 0;
    double mean;

    for (size_t i = 0; i < count; i++) {
        if (domains[i].known) {
            demand += domains[i].demand;
            room += domains[i].room;
        }
    }
    mean = room > 0.0 ? demand / room : 0.0;
    return mean > DOMAIN_SHARES_UTILIZATION ? mean : DOMAIN_SHARES_UTILIZATION;
}

bool
domain_shares_divide(const struct domain_demand *domains, size_t count,
                     size_t own, double *load)
{
    double level = own_level(domains, count);
    double excess =
        above_zero(domains[own].demand - level * domains[own].room);
    double free_total = 0;

    for (size_t i = 0; i < count; i++) {
        load[i] = 0;
        if (i != own && domains[i].known) {
            load[i] = above_zero(level * domains[i].room - domains[i].demand);
            free_total += load[i];
        }
    }
    if (free_total <= 0.0) {
        excess = 0;
        free_total = 1;
    }
    for (size_t i = 0; i < count; i++) {
        load[i] *= excess / free_total;
    }
    load[own] = domains[own].demand - excess;
    return excess > 0.0;
}
