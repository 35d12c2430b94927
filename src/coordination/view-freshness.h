#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Tracks the age of the view, the time since the store last confirmed it, and
 * decides whether this balancer has to watch the store itself.
 *
 * The balancer that is first by rendezvous rank keeps a watch on the store and
 * notifies the others of each answer. A balancer that has received no such
 * notification for some time starts to watch the store as well. This timeout
 * is longer for later ranks, so that few balancers ask at once; for the last
 * rank it ends well before the age of the view reaches its bound. If two
 * balancers watch, that costs one more call, so they need no agreement. */

struct freshness_limits {
    /* Maximum time for which the store may delay its answer to a watch. */
    uint64_t watch_wait_us;
    /* Time without an answer to a balancer of better rank after which a
     * balancer starts to watch: for the ranks just after the first, and for
     * the last rank. */
    uint64_t takeover_us;
    uint64_t last_takeover_us;
};

struct freshness {
    struct freshness_limits limits;
    /* Time of the store's last known answer, us; 0: none is known */
    uint64_t confirmed_at;
    /* Time of the store's last known answer to a balancer of better rank, us;
     * 0: none is known */
    uint64_t better_rank_confirmed_at;
};

/* "bound_us" is the time within which a change in the store has to be in
 * effect. A new balancer starts its takeover timeout at "now", so that
 * balancers that run already watch the store first. */
void freshness_init(struct freshness *f, uint64_t bound_us, uint64_t now);
/* Records that the store answered at "at", on the clock of this balancer, and
 * that the view contains this answer. Returns false when a later answer is
 * known already. */
bool freshness_confirm(struct freshness *f, uint64_t at);
/* The answer that was recorded last came at "at" or before: what told of it
 * was late. */
void freshness_correct(struct freshness *f, uint64_t at);
/* Records that the store answered a balancer of better rank at "at". */
void freshness_confirm_better_rank(struct freshness *f, uint64_t at);
/* Discards all known answers of the store, because the process was paused and
 * the view may be out of date by the length of the pause. Until the next
 * answer is known the view has no age and freshness_should_watch() returns
 * true. */
void freshness_reset(struct freshness *f);
/* Age of the view in microseconds; UINT64_MAX when no answer is known. */
uint64_t freshness_age(const struct freshness *f, uint64_t now);
/* Whether this balancer has to watch the store. "position" is its place in the
 * order of ranks, from 0 (first) up to but not including 1. The takeover
 * timeouts of all ranks are distributed over the time between "takeover_us"
 * and "last_takeover_us", or over "spread_us" if that is longer. The longer
 * time can delay the last ranks beyond "last_takeover_us"; enough balancers of
 * better rank watch before them and send notifications. */
bool freshness_should_watch(const struct freshness *f, double position,
                            uint64_t spread_us, uint64_t now);
/* Time in microseconds for which the store may delay its answer to the next
 * watch, so that the view is confirmed again when it is "watch_wait_us" old: 0
 * when it is older. */
uint64_t freshness_watch_wait(const struct freshness *f, uint64_t now);
/* Whether to pull from a peer, because the next confirmation of the view is
 * overdue. */
bool freshness_should_pull(const struct freshness *f, uint64_t now);
