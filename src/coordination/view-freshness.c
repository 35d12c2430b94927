#include "coordination/view-freshness.h"

#include <string.h>

#include "base/clock.h"

/* Shares of the bound. A change made just after the last answer is learned at
 * the latest at LAST of the bound and a read; the rest is for a slow store and
 * the way to the peers. */
#define WATCH_WAIT_SHARE 0.5
#define LAST_SHARE 0.75
/* From the end of a watch to its news at the others. */
#define SPREAD_MARGIN_US (200 * USEC_PER_MSEC)
#define PULL_MARGIN_US (100 * USEC_PER_MSEC)
/* A watch shorter than this only costs calls. */
#define WATCH_WAIT_MIN_US (200 * USEC_PER_MSEC)

void
freshness_init(struct freshness *f, uint64_t bound_us, uint64_t now)
{
    struct freshness_limits *limits = &f->limits;

    memset(f, 0, sizeof(*f));
    f->heard_at = now;
    limits->watch_wait_us = (uint64_t)((double)bound_us * WATCH_WAIT_SHARE);
    if (limits->watch_wait_us < WATCH_WAIT_MIN_US) {
        limits->watch_wait_us = WATCH_WAIT_MIN_US;
    }
    limits->takeover_us = limits->watch_wait_us + SPREAD_MARGIN_US;
    limits->last_us = (uint64_t)((double)bound_us * LAST_SHARE);
    if (limits->last_us < limits->takeover_us) {
        limits->last_us = limits->takeover_us;
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
freshness_heard(struct freshness *f, uint64_t at)
{
    if (at > f->heard_at) {
        f->heard_at = at;
    }
}

void
freshness_forget(struct freshness *f)
{
    f->confirmed_at = 0;
    f->heard_at = 0;
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
    uint64_t least = limits->last_us - limits->takeover_us;
    uint64_t window = spread_us > least ? spread_us : least;
    uint64_t patience =
        limits->takeover_us + (uint64_t)(position * (double)window);

    if (position <= 0.0 || f->heard_at == 0) {
        return position <= 0.0 || freshness_age(f, now) > patience;
    }
    return now - f->heard_at > patience;
}

uint64_t
freshness_watch_wait(const struct freshness *f, uint64_t now)
{
    uint64_t wait = f->limits.watch_wait_us;

    return freshness_age(f, now) > wait ? 0 : wait;
}

bool
freshness_should_pull(const struct freshness *f, uint64_t now)
{
    return freshness_age(f, now) > f->limits.watch_wait_us + PULL_MARGIN_US;
}
