#include "coordination/flow-placement.h"

#include "base/clock.h"
#include "coordination/passive-health.h"
#include "state/recent-flows.h"

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
/* Added for a copy of an opening packet to the score of a target in a failure
 * domain that an earlier copy was sent to. It exceeds the score of a target
 * without penalties, and is below the ones that follow. */
#define TRIED_DOMAIN_PENALTY 1e4
/* Added to the score of a target that is reduced, which gets its flows by
 * draw_reduced(), but for the trials of a failing one. */
#define REDUCED_PENALTY 1e3
/* Share of the targets of a service that may be slow, or failing. */
#define BELIEVED_SHARE_MAX (1.0 / 3)
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
           target->cookie != 0;
}

static bool
is_emptied(const struct forward_target *target)
{
    return target->domain != NULL && target->domain->emptied;
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

static bool
may_take(const struct placement_request *r,
         const struct forward_target *target)
{
    return is_available(target) && !is_emptied(target) &&
           is_in_region(r, target) && is_warm_enough(r, target);
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

/* Load of a target that a new flow would find, for each of its slots and in
 * the usual time of a request. */
static double
expected_wait(const struct placement_request *r,
              const struct forward_target *target)
{
    double slots = target->record.slots == 0 ? 1.0 : target->record.slots;
    double value =
        (1.0 + passive_health_load(&target->observations, r->now)) / slots;

    if (r->now >= target->cold_until) {
        return value * warm_up_factor(r, target);
    }
    return cold_claims_is_limited(target, r->now) ? value - CLAIMED_BONUS
                                                  : value * COLD_FACTOR;
}

/* What the requests of others show of the targets of a service. */
struct believed {
    const struct target_speed *speed;    /* NULL: no target is reduced */
    const struct target_speed *failures; /* NULL: no target is failing */
};

/* Whether a flow keeps away from a target that fails its requests. */
static bool
avoids_failing(const struct placement_request *r,
               const struct believed *believed,
               const struct forward_target *target)
{
    if (!target_speed_is_failing(believed->failures, target->cookie, r->now)) {
        return false;
    }
    return r->copy || !r->repeatable ||
           !target_speed_is_trial_due(believed->failures, target->cookie,
                                      r->now);
}

/* Whether a flow keeps away from a target whose address another one claims. It
 * gets a flow at intervals, as its answer ends the claim. The hosts begin at
 * different times. */
static bool
avoids_claimed(const struct placement_request *r,
               const struct forward_target *target)
{
    uint64_t last_trial_at = target->observations.last_trial_at;
    double part;

    if (!forward_target_is_replaced(target)) {
        return false;
    }
    if (r->copy || r->tried_count > 0) {
        return true;
    }
    if (last_trial_at > target->claimed_at) {
        return r->now < last_trial_at + r->trial_interval_us;
    }
    part = (double)(uint32_t)random_mix(r->host_hash, target->cookie) /
           (double)UINT32_MAX;
    return r->now < target->claimed_at +
                        (uint64_t)(part * (double)r->trial_interval_us);
}

bool
placement_is_trial(const struct forward_target *target)
{
    return passive_health_needs_trial(&target->observations) ||
           forward_target_is_replaced(target);
}

/* Penalties of a target that a new flow should not go to. */
static double
penalty(const struct placement_request *r, const struct believed *believed,
        const struct forward_target *target)
{
    double value = 0;

    if (avoids_failing(r, believed, target) || avoids_claimed(r, target)) {
        value += AVOID_PENALTY;
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

/* Failure domains of the targets that a flow's earlier copies were sent to. */
struct tried_domains {
    const char *names[RECENT_TRIED_MAX];
    size_t count;
};

static void
find_tried_domains(const struct placement_request *r,
                   struct tried_domains *tried)
{
    tried->count = 0;
    if (!r->copy) {
        return;
    }
    for (guint i = 0; i < r->service->targets->len; i++) {
        const struct forward_target *target =
            g_ptr_array_index(r->service->targets, i);

        if (was_tried(r, target->cookie) && tried->count < RECENT_TRIED_MAX) {
            tried->names[tried->count] = target->record.domain;
            tried->count++;
        }
    }
}

static bool
domain_was_tried(const struct tried_domains *tried, const char *domain)
{
    for (size_t i = 0; i < tried->count; i++) {
        if (tried->names[i] == domain) {
            return true;
        }
    }
    return false;
}

/* The best target so far. */
struct choice {
    struct forward_target *target;
    double score;
    uint32_t ties;
};

static void
offer(struct choice *choice, struct forward_target *target, double score,
      struct random *random)
{
    if (choice->target == NULL || score < choice->score - SCORE_TIE_MARGIN) {
        *choice = (struct choice){target, score, 1};
    }
    else if (score < choice->score + SCORE_TIE_MARGIN) {
        choice->ties++;
        if (random_below(random, choice->ties) == 0) {
            choice->target = target;
        }
    }
}

static bool
is_minority(const struct placement_request *r, size_t count)
{
    return count > 0 && (double)count <= BELIEVED_SHARE_MAX *
                                             (double)r->service->targets->len;
}

/* Returns what is known of the targets of the service. When so many are slow,
 * or failing, that all of them may be alike, that is not believed. */
static struct believed
find_believed(const struct placement_request *r)
{
    struct believed believed = {NULL, NULL};
    size_t reduced = 0;
    size_t slow = 0;
    size_t failing = 0;

    if (r->speed == NULL || !target_speed_concerns_any(r->speed, r->now)) {
        return believed;
    }
    for (guint i = 0; i < r->service->targets->len; i++) {
        const struct forward_target *target =
            g_ptr_array_index(r->service->targets, i);

        if (target_speed_is_reduced(r->speed, target->cookie, r->now)) {
            reduced++;
            slow += target_speed_factor(r->speed, target->cookie, r->now) >=
                    TARGET_SPEED_SLOW;
        }
        failing += target_speed_is_failing(r->speed, target->cookie, r->now);
    }
    if (reduced > 0 && (slow == 0 || is_minority(r, slow))) {
        believed.speed = r->speed;
    }
    if (is_minority(r, failing)) {
        believed.failures = r->speed;
    }
    return believed;
}

/* Rates a target for a new flow. With "domain" set, distance does not count.
 */
static double
score(const struct placement_request *r, const struct forward_target *target,
      const struct believed *believed, const char *domain,
      const struct tried_domains *tried)
{
    double value = expected_wait(r, target);

    if (domain == NULL && target->record.domain != r->domain) {
        value = value * REMOTE_FACTOR + REMOTE_PENALTY;
    }
    if (target_speed_is_reduced(believed->speed, target->cookie, r->now) &&
        !target_speed_is_failing(believed->failures, target->cookie, r->now)) {
        value += REDUCED_PENALTY;
    }
    if (domain_was_tried(tried, target->record.domain)) {
        value += TRIED_DOMAIN_PENALTY;
    }
    return value + penalty(r, believed, target);
}

/* Returns the best target of "domain", or with NULL the best of all. The
 * lowest score wins. */
static struct choice
choose_best(const struct placement_request *r, const char *domain,
            const struct believed *believed, struct random *random)
{
    struct choice best = {0};
    struct tried_domains tried;

    find_tried_domains(r, &tried);
    for (guint i = 0; i < r->service->targets->len; i++) {
        struct forward_target *target =
            g_ptr_array_index(r->service->targets, i);

        if (may_take(r, target) &&
            (domain == NULL || target->record.domain == domain)) {
            offer(&best, target, score(r, target, believed, domain, &tried),
                  random);
        }
    }
    return best;
}

/* Draws a target of the domain, which gets the flow if it is reduced, and then
 * with a chance of 1 in 2 f - 1, where f is its factor: half of what it bears
 * when it is very slow, so that a queue there gets shorter, and an equal share
 * when it has recovered, whatever the other balancers do. Returns NULL
 * otherwise. */
static struct forward_target *
draw_reduced(const struct placement_request *r, const char *domain,
             const struct believed *believed, struct random *random)
{
    struct forward_target *drawn = NULL;
    uint32_t count = 0;
    double factor;

    if (believed->speed == NULL) {
        return NULL;
    }
    for (guint i = 0; i < r->service->targets->len; i++) {
        struct forward_target *target =
            g_ptr_array_index(r->service->targets, i);

        if (!may_take(r, target) || target->record.domain != domain) {
            continue;
        }
        count++;
        if (random_below(random, count) == 0) {
            drawn = target;
        }
    }
    if (drawn == NULL || penalty(r, believed, drawn) > 0 ||
        !target_speed_is_reduced(believed->speed, drawn->cookie, r->now)) {
        return NULL;
    }
    factor = target_speed_factor(believed->speed, drawn->cookie, r->now);
    return random_unit(random) * (2.0 * factor - 1.0) < 1.0 ? drawn : NULL;
}

/* Draws a failure domain by the shares. Returns NULL when there are none. */
static const char *
draw_domain(const struct placement_request *r, struct random *random)
{
    double left = random_unit(random);

    for (size_t i = 0; i < r->share_count; i++) {
        if (left < r->shares[i].share) {
            return r->shares[i].domain;
        }
        left -= r->shares[i].share;
    }
    return r->share_count == 0 ? NULL : r->shares[r->share_count - 1].domain;
}

struct forward_target *
placement_choose_target(const struct placement_request *r,
                        struct random *random)
{
    struct believed believed;
    struct forward_target *reduced;
    const char *domain;

    if (r->service == NULL) {
        return NULL;
    }
    believed = find_believed(r);
    /* A copy is not drawn: it avoids the failure domains that were tried. */
    domain = r->shares == NULL || r->copy ? NULL : draw_domain(r, random);
    if (!r->copy) {
        reduced = draw_reduced(r, domain == NULL ? r->domain : domain,
                               &believed, random);
        if (reduced != NULL) {
            return reduced;
        }
    }
    if (domain != NULL) {
        struct choice drawn = choose_best(r, domain, &believed, random);

        if (drawn.target != NULL && drawn.score < SUSPECT_PENALTY) {
            return drawn.target;
        }
    }
    return choose_best(r, NULL, &believed, random).target;
}

bool
placement_accepts(const struct placement_request *r,
                  const struct forward_target *target)
{
    return r->service != NULL && target->record.service == r->service->name &&
           may_take(r, target);
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

    for (size_t i = 0; i < route_record_share_count(route); i++) {
        total += route_record_share(route, i)->weight;
    }
    if (total == 0) {
        return NULL;
    }
    left = hash % total;
    for (size_t i = 0; i < route_record_share_count(route); i++) {
        const struct route_share *share = route_record_share(route, i);

        if (left < share->weight) {
            return share->service;
        }
        left -= share->weight;
    }
    return NULL;
}
