#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/view-delta.h"

/* How much longer than usual targets take, as far as the packets of callers
 * show it, here and at other balancers. A target has a record only while there
 * is evidence that it is slow, so all others cost nothing. It has no socket
 * and no clock. Times are monotonic, in microseconds.
 *
 * Answers the load of targets that take several times as long as the others of
 * their service, or whose queue is much longer: each balancer of a large fleet
 * sees one of them less than once a second, so they tell each other. */

/* Maximum number of targets with evidence, and of records in a message. A
 * record takes some 600 bytes. */
#define TARGET_SPEED_MAX 256
#define SLOW_TARGET_RECORDS_MAX 32
/* A target whose factor is at least this counts as slow. */
#define TARGET_SPEED_SLOW 2.0
/* Limit of a factor, also of one that a peer tells. */
#define TARGET_SPEED_FACTOR_MAX 8.0

/* How long a target took, or lets a caller wait, as balancers tell each other.
 */
struct slow_target_record {
    uint32_t cookie; /* forward_cookie() of the target's id */
    uint32_t ratio;  /* to the usual time, in 1/100 */
    uint32_t age_ms; /* time since then */
};

struct target_speed_counters {
    uint64_t sent;     /* records for the peers */
    uint64_t received; /* records of peers */
    uint64_t learned;  /* those of them that were new here */
};

struct target_speed;

/* Returns NULL when out of memory. "seed" differs between balancers. */
struct target_speed *target_speed_new(uint64_t seed);
void target_speed_destroy(struct target_speed *ts);

/* A request of the route was answered "took_us" after it was forwarded to a
 * target of the service. "at_once" tells that the caller acknowledged the
 * answer when it received it; otherwise the time shows nothing. "counted" is
 * that of target_speed_on_waiting(): a request counts once. Returns whether
 * the record of the target has just become one of a slow target. */
bool target_speed_on_answer(struct target_speed *ts, uint32_t cookie,
                            const struct route_record *route,
                            const char *service, uint64_t took_us,
                            bool at_once, bool counted, uint64_t now);
/* A request has waited for "waited_us" so far. "counted" is false when it is
 * forwarded, and set when it has waited for long enough to count. Returns as
 * target_speed_on_answer(). */
bool target_speed_on_waiting(struct target_speed *ts, uint32_t cookie,
                             const struct route_record *route,
                             const char *service, uint64_t waited_us,
                             bool *counted, uint64_t now);
/* Adds what a peer has told. With "relay" what is new here, and on a target
 * that is reduced here, is told the other peers. */
void target_speed_receive(struct target_speed *ts,
                          const struct slow_target_record *records,
                          size_t count, bool relay, uint64_t now);
/* Fills "out" with the records that the peers may lack, at most "max", and
 * returns their number. They count as sent. With "reduced" these are records
 * of targets that are reduced, which concern all balancers; otherwise those of
 * others, which concern the balancers that send them most of their flows. */
size_t target_speed_export(struct target_speed *ts,
                           struct slow_target_record *out, size_t max,
                           bool reduced, uint64_t now);
/* Whether there is evidence on any target. */
bool target_speed_has_evidence(const struct target_speed *ts);
/* Whether there are records for the peers. */
bool target_speed_has_news(const struct target_speed *ts);
/* Removes the records whose evidence is too old to count. */
void target_speed_expire(struct target_speed *ts, uint64_t now);

/* Returns how many times as long as usual a target takes, from 1 to
 * TARGET_SPEED_FACTOR_MAX. */
double target_speed_factor(const struct target_speed *ts, uint32_t cookie,
                           uint64_t now);
/* Whether a target is slow, or was until a short time ago, and gets new flows
 * in proportion to its speed; false for "ts" NULL. */
bool target_speed_is_reduced(const struct target_speed *ts, uint32_t cookie,
                             uint64_t now);
/* Whether a slow target was told to be so by a peer last. */
bool target_speed_told_by_peer(const struct target_speed *ts, uint32_t cookie);
/* Number of targets that count as slow. */
size_t target_speed_slow_count(const struct target_speed *ts, uint64_t now);
const struct target_speed_counters *
target_speed_counters(const struct target_speed *ts);
