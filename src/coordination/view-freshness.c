#include "coordination/view-freshness.h"

#include <string.h>

#include "base/clock.h"

/* Shares of the bound on the time until a change is in effect: the maximum
 * delay of the answer to a watch, and the time after which the last balancer
 * starts to watch. A change made just after the last answer is read after
 * LAST_WATCH_SHARE of the bound at the latest; the rest is left for a slow
 * store and for the way to the peers. */
#define WATCH_WAIT_SHARE 0.5
#define LAST_WATCH_SHARE 0.75
/* Time allowed after the end of a watch for its result to reach the other
 * balancers: before another balancer starts to watch, and before one pulls
 * from a peer. */
#define TAKEOVER_MARGIN_US (200 * USEC_PER_MSEC)
#define PULL_MARGIN_US (100 * USEC_PER_MSEC)
/* An answer of the store that takes longer than this shortens the next watch
 * by the same time, so that the view is confirmed as often as without the
 * delay.
 */
#define ANSWER_DELAY_US (50 * USEC_PER_MSEC)
/* Minimum delay of the answer to a watch; a shorter one would only cost more
 * calls. */
#define WATCH_WAIT_MIN_US (200 * USEC_PER_MSEC)

void
freshness_init(struct freshness *f, uint64_t bound_us, uint64_t now)
{
    struct freshness_limits *limits = &f->limits;

    memset(f, 0, sizeof(*f));
    f->better_rank_confirmed_at = now;
    limits->watch_wait_us = (uint64_t)((double)bound_us * WATCH_WAIT_SHARE);
    if (limits->watch_wait_us < WATCH_WAIT_MIN_US) {
        limits->watch_wait_us = WATCH_WAIT_MIN_US;
    }
    limits->takeover_us = limits->watch_wait_us + TAKEOVER_MARGIN_US;
    limits->last_takeover_us = (uint64_t)((double)bound_us * LAST_WATCH_SHARE);
    if (limits->last_takeover_us < limits->takeover_us) {
        limits->last_takeover_us = limits->takeover_us;
    }
}

bool
freshness_confirm(struct freshness *f, uint64_t at)
{
    if (at <= f->confirmed_at) {
        return false;
    }
    f->confirmed_at = at;
    return true;
}

void
freshness_correct(struct freshness *f, uint64_t at)
{
    if (at < f->confirmed_at) {
        f->confirmed_at = at;
    }
}

void
freshness_confirm_better_rank(struct freshness *f, uint64_t at)
{
    if (at > f->better_rank_confirmed_at) {
        f->better_rank_confirmed_at = at;
    }
}

void
freshness_reset(struct freshness *f)
{
    f->confirmed_at = 0;
    f->better_rank_confirmed_at = 0;
}

uint64_t
freshness_age(const struct freshness *f, uint64_t now)
{
    if (f->confirmed_at == 0) {
        return UINT64_MAX;
    }
    return now > f->confirmed_at ? now - f->confirmed_at : 0;
}

bool
freshness_should_watch(const struct freshness *f, double position,
                       uint64_t spread_us, uint64_t now)
{
    const struct freshness_limits *limits = &f->limits;
    uint64_t min_range_us = limits->last_takeover_us - limits->takeover_us;
    uint64_t range_us = spread_us > min_range_us ? spread_us : min_range_us;
    uint64_t timeout_us =
        limits->takeover_us + (uint64_t)(position * (double)range_us);

    if (position <= 0.0 || f->better_rank_confirmed_at == 0) {
        return position <= 0.0 || freshness_age(f, now) > timeout_us;
    }
    return now - f->better_rank_confirmed_at > timeout_us;
}

uint64_t
freshness_watch_wait(const struct freshness *f, uint64_t now)
{
    uint64_t wait = f->limits.watch_wait_us;
    uint64_t age = freshness_age(f, now);

    if (age <= ANSWER_DELAY_US) {
        return wait;
    }
    return age < wait ? wait - age : 0;
}

bool
freshness_should_pull(const struct freshness *f, uint64_t now)
{
    return freshness_age(f, now) > f->limits.watch_wait_us + PULL_MARGIN_US;
}
