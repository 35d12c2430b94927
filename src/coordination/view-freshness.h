#pragma once

#include <stdbool.h>
#include <stdint.h>

/* How old the view is, and whether this balancer has to ask the store itself.
 *
 * One balancer, first by rendezvous rank, keeps a watch on the store and tells
 * the others each time that it was answered. A balancer that has heard of no
 * answer for some time asks the store too: the earlier, the better its rank,
 * so that few ask at once, and the last before the bound on the age of a view
 * is near. No agreement is needed: that two ask costs a call. */

struct freshness_limits {
    uint64_t watch_wait_us; /* how long the store may hold a watch back */
    uint64_t takeover_us;   /* age at which the second in rank asks */
    uint64_t last_us;       /* age at which the last in rank asks */
};

struct freshness {
    struct freshness_limits limits;
    uint64_t confirmed_at; /* the store's last known answer, us; 0: none */
    uint64_t heard_at;     /* last answer to one of better rank, us */
};

/* "bound_us" is the time within which a change has to be in force. A balancer
 * that has just started gives the others their turn before it asks. */
void freshness_init(struct freshness *f, uint64_t bound_us, uint64_t now);
/* The store answered at "at", on the own clock, and the view holds what it
 * said. Returns true when that is news. */
bool freshness_confirm(struct freshness *f, uint64_t at);
/* It answered a balancer of better rank. */
void freshness_heard(struct freshness *f, uint64_t at);
/* The process stood still: nothing from before can be relied on. */
void freshness_forget(struct freshness *f);
/* Age in microseconds, UINT64_MAX when nothing is known. */
uint64_t freshness_age(const struct freshness *f, uint64_t now);
/* Whether to watch the store. "position" is the own place in the order of
 * rank, from 0 (first) up to but not including 1. The turns are spread over
 * "spread_us" when that is longer than what the bound leaves: enough of the
 * others take theirs before, and are heard. */
bool freshness_should_watch(const struct freshness *f, double position,
                            uint64_t spread_us, uint64_t now);
/* How long the store may hold the next watch back, in microseconds: not at all
 * when the view is old, so that it is confirmed at once. */
uint64_t freshness_watch_wait(const struct freshness *f, uint64_t now);
/* Whether to ask a peer for what it knows, since the last news are late. */
bool freshness_should_pull(const struct freshness *f, uint64_t now);
