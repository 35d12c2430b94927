#include "coordination/cold-claim.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#define LOG_MODULE "cold-claim"
#include "base/clock.h"
#include "base/log.h"
#include "coordination/cold-limit.h"

/* Time for which the host that is second in rank leaves a target to the first,
 * which may be dead without being known to be, or without a way to the store.
 */
#define SECOND_RANK_DELAY_US (1 * USEC_PER_SEC)
/* A target that is cold for less than this is not worth a call; nor, with the
 * second limit, the call of the host that is second in rank, which usually
 * finds that the first has the claim. */
#define CLAIM_MIN_US (300 * USEC_PER_MSEC)
#define SECOND_CLAIM_MIN_US (1500 * USEC_PER_MSEC)
/* Time after a failed call until the next one for the same target; it doubles
 * with each failure, at most so many times. */
#define RETRY_INTERVAL_US (500 * USEC_PER_MSEC)
#define RETRY_DOUBLINGS_MAX 3
/* Time after the cold start until the key is removed: until then no host takes
 * the target for cold any more. */
#define REMOVE_DELAY_US (2 * USEC_PER_SEC)
/* Time after which a host whose turn it was not looks at its rank again. */
#define RANK_INTERVAL_US (1 * USEC_PER_SEC)
/* Maximum number of calls in progress. */
#define CALLS_MAX 16
/* Time that a host waits in a new era of the store, in addition to
 * "confirm_max_us", before it claims anything: an answer of the store to
 * another host may have been under way for this long. */
#define ERA_SLACK_US (2 * USEC_PER_SEC)

enum claim_state {
    CLAIM_WAITING, /* not claimed by this host; may be tried */
    CLAIM_WRITING,
    CLAIM_UNCERTAIN, /* it is not known what a write did; to be read */
    CLAIM_READING,
    CLAIM_OWNED,
    CLAIM_LOST, /* another host has it */
    CLAIM_REMOVING,
};

struct claim {
    char id[TARGET_ID_SIZE];
    uint32_t cookie;
    enum claim_state state;
    uint64_t born;                  /* of the target's start; 0: unknown */
    uint64_t seen_at;               /* when its cold start was seen, us */
    uint64_t not_before;            /* earliest next call, us */
    struct store_position position; /* of the key, while owned */
    /* Begun in an earlier era: not to be used. */
    bool retired;
    bool write_pending; /* an earlier write may still be done */
    unsigned failures;  /* of calls, since the last one that was answered */
    struct cold_limit limit;
};

struct cold_claims {
    const struct forward_view *view;
    const struct freshness *freshness;
    struct cold_claims_options options;
    GHashTable *claims; /* id -> struct claim */
    size_t calls;       /* in progress */
    uint64_t era;
    uint64_t era_since; /* when the era was first seen, us; 0: none yet */
    struct cold_claims_counters counters;
};

static void
claim_free(gpointer data)
{
    struct claim *claim = data;

    cold_limit_clear(&claim->limit);
    g_free(claim);
}

struct cold_claims *
cold_claims_new(const struct forward_view *view,
                const struct freshness *freshness,
                const struct cold_claims_options *options)
{
    struct cold_claims *claims = g_new0(struct cold_claims, 1);

    claims->view = view;
    claims->freshness = freshness;
    claims->options = *options;
    claims->claims =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, claim_free);
    return claims;
}

void
cold_claims_destroy(struct cold_claims *claims)
{
    if (claims == NULL) {
        return;
    }
    g_hash_table_destroy(claims->claims);
    g_free(claims);
}

void
cold_claims_set_options(struct cold_claims *claims,
                        const struct cold_claims_options *options)
{
    claims->options = *options;
}

/* Whether a target is cold, without regard to limits. */
static bool
is_cold(const struct forward_target *target, uint64_t now)
{
    return target != NULL && target->presence != TARGET_GONE &&
           now < target->cold_until;
}

void
cold_claims_on_target(struct cold_claims *claims,
                      const struct forward_target *target, uint64_t now)
{
    struct claim *claim;

    if (!is_cold(target, now) ||
        target->record.domain != claims->options.domain) {
        return;
    }
    claim = g_hash_table_lookup(claims->claims, target->record.id);
    if (claim == NULL) {
        claim = g_new0(struct claim, 1);
        memcpy(claim->id, target->record.id, sizeof(claim->id));
        claim->cookie = target->cookie;
        claim->born = target->record.born;
        claim->seen_at = now;
        g_hash_table_insert(claims->claims, claim->id, claim);
        return;
    }
    if (claim->born != target->record.born) {
        /* It has started anew under its id. The key is the same, so a claim
         * that this host has goes on, with what it has sent. */
        claim->born = target->record.born;
        claim->seen_at = now;
        if (claim->state == CLAIM_LOST) {
            claim->state = CLAIM_WAITING;
            claim->not_before = now;
        }
    }
}

/* Ends the use of all claims and of those being made. */
static void
retire_all(struct cold_claims *claims)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, claims->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct claim *claim = value;

        claim->retired = claim->retired || claim->state == CLAIM_OWNED ||
                         claim->state == CLAIM_WRITING ||
                         claim->state == CLAIM_READING ||
                         claim->state == CLAIM_UNCERTAIN;
    }
}

static uint64_t
current_era(const struct cold_claims *claims)
{
    return forward_view_position(claims->view).era;
}

/* Notes the era of the store. Claims of an earlier one may be lost. */
static void
update_era(struct cold_claims *claims, uint64_t now)
{
    if (store_position_is_none(forward_view_position(claims->view)) ||
        (claims->era_since != 0 && claims->era == current_era(claims))) {
        return;
    }
    claims->era = current_era(claims);
    claims->era_since = now;
    retire_all(claims);
}

/* Whether the store has had its era for long enough that no host uses a claim
 * of an earlier one. The first era follows none. */
static bool
era_is_settled(const struct cold_claims *claims, uint64_t now)
{
    return claims->era_since != 0 &&
           (claims->era == 0 || now >= claims->era_since +
                                           claims->options.confirm_max_us +
                                           ERA_SLACK_US);
}

static bool
has_limit(const struct forward_target *target)
{
    return target->service != NULL && target->service->cold_limit > 0;
}

bool
cold_claims_is_limited(const struct forward_target *target, uint64_t now)
{
    return now < target->cold_until && has_limit(target);
}

/* Returns the target of a claim, NULL when it is gone. */
static const struct forward_target *
find_target(const struct cold_claims *claims, const struct claim *claim)
{
    const struct forward_target *target =
        forward_view_target(claims->view, claim->cookie);

    return target != NULL && strcmp(target->record.id, claim->id) == 0 ? target
                                                                       : NULL;
}

/* Whether the turn of this host has come to write a claim. */
static bool
may_write(const struct cold_claims *claims, struct claim *claim,
          const struct forward_target *target,
          size_t (*rank)(void *ctx, uint64_t salt), void *ctx, uint64_t now)
{
    size_t own_rank;
    uint64_t turn;

    if (!has_limit(target) || target->record.draining ||
        forward_target_is_replaced(target) || target->cookie == 0 ||
        (target->domain != NULL && target->domain->emptied) ||
        now + CLAIM_MIN_US > target->cold_until ||
        !era_is_settled(claims, now) ||
        freshness_age(claims->freshness, now) >
            claims->options.confirm_max_us) {
        return false;
    }
    own_rank = rank(ctx, XXH64(claim->id, strlen(claim->id), 0));
    turn = own_rank == 1 ? claim->seen_at + SECOND_RANK_DELAY_US
                         : now + RANK_INTERVAL_US;
    if (own_rank == 0 || (own_rank == 1 && now >= turn &&
                          now + SECOND_CLAIM_MIN_US <= target->cold_until)) {
        return true;
    }
    claim->not_before = turn > now ? turn : now + RANK_INTERVAL_US;
    return false;
}

/* Whether a key may be removed: no host takes the target for cold any more. */
static bool
is_over(const struct forward_target *target, uint64_t now)
{
    return target == NULL || target->presence == TARGET_GONE ||
           now >= target->cold_until + REMOVE_DELAY_US;
}

static void
begin_call(struct cold_claims *claims, struct claim *claim,
           enum claim_state state, enum cold_claim_action action,
           struct cold_claim_call *call)
{
    claim->state = state;
    claims->calls++;
    call->action = action;
    memcpy(call->id, claim->id, sizeof(call->id));
    snprintf(call->key, sizeof(call->key), COLD_CLAIM_KEY_PREFIX "%s",
             claim->id);
    call->position = action == COLD_CLAIM_REMOVE
                         ? claim->position
                         : (struct store_position){.era = claims->era};
}

bool
cold_claims_next(struct cold_claims *claims,
                 size_t (*rank)(void *ctx, uint64_t salt), void *ctx,
                 bool settled, struct cold_claim_call *call, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    update_era(claims, now);
    g_hash_table_iter_init(&iter, claims->claims);
    while (claims->calls < CALLS_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        struct claim *claim = value;
        const struct forward_target *target = find_target(claims, claim);
        bool cold = is_cold(target, now);

        switch (claim->state) {
        case CLAIM_WAITING:
            if (!cold) {
                g_hash_table_iter_remove(&iter);
            }
            else if (settled && now >= claim->not_before &&
                     may_write(claims, claim, target, rank, ctx, now)) {
                claim->retired = false;
                begin_call(claims, claim, CLAIM_WRITING, COLD_CLAIM_WRITE,
                           call);
                return true;
            }
            break;
        case CLAIM_UNCERTAIN:
            if (now >= claim->not_before) {
                begin_call(claims, claim, CLAIM_READING, COLD_CLAIM_READ,
                           call);
                return true;
            }
            break;
        case CLAIM_OWNED:
            if (claim->position.era != claims->era) {
                /* The restored store may not have the key. */
                claim->state = CLAIM_WAITING;
            }
            else if (now >= claim->not_before && is_over(target, now)) {
                begin_call(claims, claim, CLAIM_REMOVING, COLD_CLAIM_REMOVE,
                           call);
                return true;
            }
            break;
        case CLAIM_LOST:
            if (!cold) {
                g_hash_table_iter_remove(&iter);
            }
            break;
        default:
            break;
        }
    }
    return false;
}

/* Delays the next call for a target after a failure. */
static void
delay_retry(struct claim *claim, uint64_t now)
{
    claim->not_before = now + (RETRY_INTERVAL_US << claim->failures);
    if (claim->failures < RETRY_DOUBLINGS_MAX) {
        claim->failures++;
    }
}

static void
set_owned(struct cold_claims *claims, struct claim *claim,
          struct store_position position, uint64_t now)
{
    claim->state = CLAIM_OWNED;
    claim->position = position;
    claim->write_pending = false;
    claim->not_before = now;
    claim->failures = 0;
    claims->counters.won++;
}

static void
on_written(struct cold_claims *claims, struct claim *claim,
           enum cold_claim_result result, struct store_position position,
           uint64_t now)
{
    switch (result) {
    case COLD_CLAIM_DONE:
        set_owned(claims, claim, position, now);
        break;
    case COLD_CLAIM_CONFLICT:
        /* The key may be that of the earlier write. */
        claim->state = claim->write_pending ? CLAIM_UNCERTAIN : CLAIM_LOST;
        claims->counters.lost += claim->state == CLAIM_LOST;
        break;
    case COLD_CLAIM_FAILED:
        claim->state = CLAIM_WAITING;
        delay_retry(claim, now);
        break;
    default:
        claim->state = CLAIM_UNCERTAIN;
        claim->write_pending = true;
        claim->not_before = now;
        break;
    }
}

/* After a failed or uncertain removal the key may still be there. */
static void
on_removed(struct cold_claims *claims, struct claim *claim,
           enum cold_claim_result result, uint64_t now)
{
    bool again = result == COLD_CLAIM_FAILED || result == COLD_CLAIM_UNKNOWN;

    if (again && claim->failures < RETRY_DOUBLINGS_MAX) {
        claim->state = CLAIM_OWNED;
        claim->retired = true;
        delay_retry(claim, now);
        return;
    }
    if (again) {
        LOG_WARN("the claim of target %s may remain in the store", claim->id);
    }
    claim->state = CLAIM_WAITING;
    claim->seen_at = now;
    claim->not_before = now;
    claim->failures = 0;
}

void
cold_claims_on_result(struct cold_claims *claims, const char *id,
                      enum cold_claim_result result,
                      struct store_position position, uint64_t now)
{
    struct claim *claim = g_hash_table_lookup(claims->claims, id);

    assert(claim != NULL && claims->calls > 0);
    claims->calls--;
    if (claim->state == CLAIM_REMOVING) {
        on_removed(claims, claim, result, now);
        return;
    }
    on_written(claims, claim, result, position, now);
}

void
cold_claims_on_read(struct cold_claims *claims, const char *id,
                    enum cold_claim_result result, const char *value,
                    size_t value_len, struct store_position position,
                    uint64_t now)
{
    struct claim *claim = g_hash_table_lookup(claims->claims, id);
    const char *owner = claims->options.owner;

    assert(claim != NULL && claims->calls > 0);
    claims->calls--;
    if (result != COLD_CLAIM_DONE) {
        claim->state = CLAIM_UNCERTAIN;
        delay_retry(claim, now);
        return;
    }
    if (value == NULL) {
        /* The write may still be done, and then names this host as well. */
        claim->state = CLAIM_WAITING;
        claim->not_before = now;
        return;
    }
    if (value_len == strlen(owner) && memcmp(value, owner, value_len) == 0) {
        set_owned(claims, claim, position, now);
        return;
    }
    claim->state = CLAIM_LOST;
    claims->counters.lost++;
}

/* Whether a claim may be used now, apart from its limit. The view may know of
 * a later era before update_era() has ended the use of the claims. */
static bool
is_usable(const struct cold_claims *claims, const struct claim *claim,
          uint64_t now)
{
    return claim != NULL && claim->state == CLAIM_OWNED && !claim->retired &&
           claims->era == current_era(claims) &&
           claim->position.era == claims->era &&
           freshness_age(claims->freshness, now) <=
               claims->options.confirm_max_us;
}

bool
cold_claims_allow(struct cold_claims *claims,
                  const struct forward_target *target, uint64_t now)
{
    struct claim *claim =
        g_hash_table_lookup(claims->claims, target->record.id);
    size_t max;

    if (!is_usable(claims, claim, now)) {
        return false;
    }
    max = cold_limit_openings(target->service->cold_limit,
                              claims->options.overage, claims->options.slack);
    if (!cold_limit_allows(&claim->limit, max, now)) {
        claims->counters.withheld++;
        return false;
    }
    return true;
}

void
cold_claims_on_open(struct cold_claims *claims,
                    const struct forward_target *target, uint64_t now)
{
    struct claim *claim;

    if (claims == NULL || !cold_claims_is_limited(target, now)) {
        return;
    }
    claim = g_hash_table_lookup(claims->claims, target->record.id);
    if (claim != NULL) {
        claims->counters.openings++;
        cold_limit_on_open(&claim->limit, now);
    }
}

void
cold_claims_counters(const struct cold_claims *claims,
                     struct cold_claims_counters *c)
{
    GHashTableIter iter;
    gpointer value;

    *c = claims->counters;
    c->held = 0;
    g_hash_table_iter_init(&iter, claims->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        c->held += ((const struct claim *)value)->state == CLAIM_OWNED;
    }
}
