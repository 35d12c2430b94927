#include "coordination/flow-placement.h"

#include "base/clock.h"
#include "coordination/passive-health.h"

/* A target in another failure domain has to be better than a local one by this
 * factor and this number of requests per slot: the round trip to it is longer,
 * and callers of that domain load it too, which this forwarder does not
 * see. */
#define REMOTE_FACTOR 2.0
#define REMOTE_PENALTY 20.0
/* Factor on the score of a target during its cold start. */
#define COLD_FACTOR 2.0
/* Subtracted from the score of a cold target that this balancer has claimed
 * and whose limit is not reached. It exceeds any score without one of the
 * penalties below: no other balancer sends the target anything. */
#define CLAIMED_BONUS 1e4
/* Time over which the share of a target rises after a cold start with a limit,
 * on average; each balancer takes between half of it and one and a half times
 * as long, so that they do not all send to the target at once. */
#define WARM_UP_US (3 * USEC_PER_SEC)
/* Added to the score of a target that seems not to answer opening packets. It
 * exceeds any score that has neither this penalty nor one of those below. */
#define SUSPECT_PENALTY 1e5
/* Added to the score of a target that new flows should avoid. */
#define AVOID_PENALTY 1e6
/* Added to the score of a target that an earlier copy of the flow's opening
 * packet was sent to. */
#define TRIED_PENALTY 1e9
/* Scores that differ by less are a tie. */
#define SCORE_TIE_MARGIN 1e-9

static bool
was_tried(const struct placement_request *r, uint32_t cookie)
{
    for (size_t i = 0; i < r->tried_count; i++) {
        if (r->tried[i] == cookie) {
            return true;
        }
    }
    return false;
}

/* Whether a target may take new flows as far as its own state goes. */
static bool
is_available(const struct forward_target *target)
{
    return target->presence != TARGET_GONE && !target->record.draining &&
           !target->cookie_conflict && !target->replaced;
}

static bool
is_emptied(const struct forward_target *target)
{
    return target->domain != NULL && target->domain->emptied;
}

static bool
takes_flows(const struct forward_target *target)
{
    return is_available(target) && !is_emptied(target);
}

/* A target whose region is not known is in none of the allowed ones. */
static bool
is_in_region(const struct placement_request *r,
             const struct forward_target *target)
{
    const char *region;

    if (r->regions == NULL) {
        return true;
    }
    region = target->domain == NULL ? NULL : target->domain->region;
    return region != NULL && region_list_contains(r->regions, region);
}

/* Whether the limit of the target's cold start, if it has one, allows a flow.
 */
static bool
is_warm_enough(const struct placement_request *r,
               const struct forward_target *target)
{
    return r->now >= target->cold_until ||
           !cold_claims_is_limited(target, r->now) ||
           (r->cold_claims != NULL &&
            cold_claims_allow(r->cold_claims, target, r->now));
}

/* Factor on the score of a target after a cold start with a limit: it falls to
 * 1 while the share of the target rises. */
static double
warm_up_factor(const struct placement_request *r,
               const struct forward_target *target)
{
    uint64_t since = target->cold_until;
    double hash;
    double whole;
    double part;

    if (r->service->cold_limit == 0 || since == 0 ||
        r->now >= since + 2 * WARM_UP_US) {
        return 1.0;
    }
    hash = (double)(uint32_t)random_mix(r->host_hash, target->cookie) /
           (double)UINT32_MAX;
    whole = (double)WARM_UP_US * (0.5 + hash);
    part = (double)(r->now - since + 1);
    return part < whole ? whole / part : 1.0;
}

/* Rates a target for a new flow; the lowest score wins. */
static double
score(const struct placement_request *r, const struct forward_target *target)
{
    double slots = target->record.slots == 0 ? 1.0 : target->record.slots;
    double value =
        (1.0 + passive_health_load(&target->observations, r->now)) / slots;

    if (r->now >= target->cold_until) {
        value *= warm_up_factor(r, target);
    }
    else if (cold_claims_is_limited(target, r->now)) {
        value -= CLAIMED_BONUS;
    }
    else {
        value *= COLD_FACTOR;
    }
    if (target->record.domain != r->domain) {
        value = value * REMOTE_FACTOR + REMOTE_PENALTY;
    }
    if (passive_health_is_suspect(&target->observations, r->now)) {
        value += SUSPECT_PENALTY;
    }
    if (passive_health_should_avoid(&target->observations, r->now,
                                    r->trial_interval_us) ||
        (r->tried_count > 0 &&
         passive_health_needs_trial(&target->observations))) {
        value += AVOID_PENALTY;
    }
    if (was_tried(r, target->cookie)) {
        value += TRIED_PENALTY;
    }
    return value;
}

struct forward_target *
placement_choose_target(const struct placement_request *r,
                        struct random *random)
{
    struct forward_target *best = NULL;
    double best_score = 0;
    uint32_t ties = 0;

    if (r->service == NULL) {
        return NULL;
    }
    for (guint i = 0; i < r->service->targets->len; i++) {
        struct forward_target *target =
            g_ptr_array_index(r->service->targets, i);
        double value;

        if (!takes_flows(target) || !is_in_region(r, target) ||
            !is_warm_enough(r, target)) {
            continue;
        }
        value = score(r, target);
        if (best == NULL || value < best_score - SCORE_TIE_MARGIN) {
            best = target;
            best_score = value;
            ties = 1;
        }
        else if (value < best_score + SCORE_TIE_MARGIN) {
            ties++;
            if (random_below(random, ties) == 0) {
                best = target;
            }
        }
    }
    return best;
}

struct forward_domain *
placement_find_emptied(const struct placement_request *r)
{
    struct forward_domain *found = NULL;

    if (r->service == NULL) {
        return NULL;
    }
    for (guint i = 0; i < r->service->targets->len; i++) {
        const struct forward_target *target =
            g_ptr_array_index(r->service->targets, i);

        if (!is_available(target) || !is_emptied(target) ||
            !is_in_region(r, target)) {
            continue;
        }
        found = target->domain;
        if (found->name == r->domain) {
            break;
        }
    }
    return found;
}

enum placement_refusal
placement_refusal(const struct placement_request *r)
{
    enum placement_refusal refusal = PLACEMENT_NO_TARGET;

    for (guint i = 0; r->service != NULL && i < r->service->targets->len;
         i++) {
        const struct forward_target *target =
            g_ptr_array_index(r->service->targets, i);

        if (!is_available(target)) {
            continue;
        }
        if (is_in_region(r, target) && !is_emptied(target)) {
            return PLACEMENT_COLD_LIMIT;
        }
        if (is_in_region(r, target)) {
            refusal = PLACEMENT_DOMAIN_EMPTIED;
        }
        else if (refusal == PLACEMENT_NO_TARGET) {
            refusal = PLACEMENT_NO_TARGET_IN_REGION;
        }
    }
    return refusal;
}

const char *
placement_choose_service(const struct route_record *route, uint64_t hash)
{
    uint64_t total = 0;
    uint64_t left;

    for (size_t i = 0; i < route->share_count; i++) {
        total += route->shares[i].weight;
    }
    if (total == 0) {
        return NULL;
    }
    left = hash % total;
    for (size_t i = 0; i < route->share_count; i++) {
        if (left < route->shares[i].weight) {
            return route->shares[i].service;
        }
        left -= route->shares[i].weight;
    }
    return NULL;
}
