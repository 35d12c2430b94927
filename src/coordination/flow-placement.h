#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "coordination/cold-claim.h"
#include "coordination/domain-load.h"
#include "coordination/target-speed.h"
#include "state/forward-view.h"

/* Chooses the target of a new flow from what this forwarder knows: the
 * targets' entries in the store, and its observations of each target. */

struct placement_request {
    /* NULL: the service is not known, and no target is chosen. */
    const struct forward_service *service;
    /* Own failure domain, interned: it is compared by address. */
    const char *domain;
    /* Cookies of the targets that earlier copies of the opening packet (SYN)
     * were sent to */
    const uint32_t *tried;
    size_t tried_count;
    /* The packet is a copy: no answer to the ones before has arrived. */
    bool copy;
    /* Regions that the flow may go to, see struct route_record; NULL: any */
    const char *regions;
    /* Shares of the failure domains in the new flows of the service; NULL: the
     * own failure domain is preferred. */
    const struct domain_share *shares;
    size_t share_count;
    uint64_t host_hash; /* id_hash() of this host */
    /* Claims of this balancer; NULL: it has none, and no target gets a flow
     * during a cold start with a limit. Not owned. */
    struct cold_claims *cold_claims;
    /* NULL: no target is known to be slow or failing. */
    const struct target_speed *speed;
    /* The requests of the flow may be repeated, so it may try out a target
     * that fails. */
    bool repeatable;
    /* Monotonic clock, us */
    uint64_t now;
    /* See passive_health_trial_interval() */
    uint64_t trial_interval_us;
};

/* Why no target may take a flow. */
enum placement_refusal {
    PLACEMENT_NO_TARGET, /* the service has none that takes new flows */
    PLACEMENT_NO_TARGET_IN_REGION, /* none in the regions of the route */
    PLACEMENT_DOMAIN_EMPTIED, /* the others are in emptied failure domains */
    PLACEMENT_COLD_LIMIT, /* the others bear no more during their cold start */
};

/* Returns a target, owned by the view, or NULL when no target may take a new
 * flow. A target that was tried before is chosen only if there is no other.
 * Only the first copy of an opening packet is used as a trial of a target that
 * did not answer lately: the caller has waited for long enough already.
 *
 * Answers the load of many targets that die at once, a quarter of a service
 * and more, while their entries are still in the store: a copy prefers a
 * target of a failure domain in which none was tried, since targets that die
 * at once often share one. Answers the load of targets that are several times
 * slower than the others: they get new flows in proportion. Answers the load
 * of targets that fail their requests: they get trials only. When more than a
 * third of the service seems slow, or failing, the reports are not believed.
 */
struct forward_target *
placement_choose_target(const struct placement_request *r,
                        struct random *random);
/* Whether a flow to the target is a trial: its answer shows that the target
 * works. */
bool placement_is_trial(const struct forward_target *target);
/* Whether a target of the service may take the flow, whatever others may. */
bool placement_accepts(const struct placement_request *r,
                       const struct forward_target *target);
/* Returns an emptied failure domain that has targets for the flow, the own one
 * if it is among them; NULL when no order keeps the flow away from a target.
 */
struct forward_domain *
placement_find_emptied(const struct placement_request *r);
/* Returns why placement_choose_target() has given no target for a request. */
enum placement_refusal placement_refusal(const struct placement_request *r);
/* Chooses the service of a new flow on a route, in proportion to the weights.
 * "hash" is that of the flow, so that all copies of its opening packet get the
 * same service. The result is owned by "route"; NULL when no service has a
 * weight. */
const char *placement_choose_service(const struct route_record *route,
                                     uint64_t hash);
