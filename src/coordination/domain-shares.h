#pragma once

#include <stdbool.h>
#include <stddef.h>

/* Divides the requests of the callers of all failure domains over the rooms of
 * the targets of all domains. Every balancer computes the same from the same
 * figures. They are the demands of callers, which do not depend on how it is
 * divided, so figures that lag cannot make it oscillate, and several domains
 * with too many callers do not fill the same idle one.
 *
 * Answers the load of callers of one failure domain that exceeds the room of
 * its targets while those of other domains are idle. */

/* Share of the room of a domain's targets up to which they are used before
 * other domains take the rest. With 2 slots and 8 queue places, requests that
 * come at random and exponential times (M/M/2/10), a target used by 0.6
 * refuses 0.3 % of the requests and lets them wait for 0.6 of the time that
 * one takes; by 0.7 that is 1 % and 1.0, by 0.8 2.6 % and 1.8. */
#define DOMAIN_SHARES_UTILIZATION 0.6

struct domain_demand {
    bool known;    /* "demand" is known and recent */
    double demand; /* requests per second of the domain's callers */
    double room;   /* requests per second that its targets can run */
};

/* Fills "load" with the requests per second of the callers of the domain "own"
 * that the targets of each domain should get; they add up to its demand. A
 * domain's targets are left to its own callers up to
 * DOMAIN_SHARES_UTILIZATION; the rest goes to the other domains in proportion
 * to what their callers leave free below that. When the callers of all domains
 * exceed that, all targets are used to the same degree. Domains whose demand
 * is not known get nothing. Returns false when nothing has to leave the own
 * domain, or no other domain can take anything; the own one then gets all. */
bool domain_shares_divide(const struct domain_demand *domains, size_t count,
                          size_t own, double *load);
