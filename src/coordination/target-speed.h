#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/failure-test.h"
#include "coordination/request-kind.h"

/* How much longer than usual targets take, and which of them fail most of
 * their requests, as far as the packets of callers show it, here and at other
 * balancers. A target has a record only while there is evidence against it, so
 * all others cost nothing. It has no socket and no clock. Times are monotonic,
 * in microseconds.
 *
 * Answers the load of targets that take several times as long as the others of
 * their service, or whose queue is much longer, and of targets that pass for
 * healthy but answer with errors, or never: each balancer of a large fleet
 * sees one of them less than once a second, so they tell each other. */

/* Maximum number of targets with evidence, and of records in a message. A
 * record takes some 1,200 bytes. */
#define TARGET_SPEED_MAX 256
#define SLOW_TARGET_RECORDS_MAX 32
/* A target whose factor is at least this counts as slow. */
#define TARGET_SPEED_SLOW 2.0
/* Limit of a factor, also of one that a peer tells. */
#define TARGET_SPEED_FACTOR_MAX 8.0

/* What a request has shown of its target. */
enum request_outcome {
    OUTCOME_ANSWERED, /* an answer of the usual size, after a known time */
    OUTCOME_LONG,     /* no answer yet, after a long time */
    OUTCOME_SHORT,    /* an answer that is far too short for its kind */
    OUTCOME_WAITS,    /* no answer, for long enough to count as a failure */
    OUTCOME_LATE,     /* an answer whose time is not known, or which counted as
                       * OUTCOME_WAITS before */
};
#define REQUEST_OUTCOME_END (OUTCOME_LATE + 1)

/* Unit of the weight in a record, and its maximum. */
#define SLOW_TARGET_WEIGHT_UNIT 16.0
#define SLOW_TARGET_WEIGHT_MAX 63U

/* An outcome of a request, as balancers tell each other. */
struct slow_target_record {
    uint32_t cookie; /* of the target, see struct forward_target */
    /* How long the request took to the usual time, in 1/100; of
     * OUTCOME_ANSWERED and OUTCOME_LONG, else 0 */
    uint32_t ratio;
    uint32_t age_ms; /* time since then */
    enum request_outcome kind;
    /* Of the other kinds: weight as a failure in 1/SLOW_TARGET_WEIGHT_UNIT,
     * and hash of the caller's address */
    uint8_t weight;
    uint16_t caller;
};

/* Which peers are to be told. */
enum target_speed_reach {
    TARGET_SPEED_ALL,         /* all */
    TARGET_SPEED_DOMAIN_SOON, /* those of the own failure domain, at once */
    TARGET_SPEED_DOMAIN,      /* the same, when it suits */
};

/* What target_speed_on_waiting() has noted of a request, bits. */
#define WAIT_NOTED_LONG 1U
#define WAIT_NOTED_FAILURE 2U

/* An answer that a caller has acknowledged. */
struct seen_answer {
    uint64_t took_us;  /* since the request was forwarded */
    uint64_t alive_at; /* latest time at which the target is known to have
                        * been working */
    uint32_t bytes;    /* acknowledged with the first acknowledgement */
    uint16_t caller;   /* hash of the caller's address */
    uint8_t noted;     /* that of target_speed_on_waiting() */
    bool at_once;      /* the caller acknowledged the answer when it received
                        * it; otherwise the time shows nothing */
};

/* A request that waits for its answer. */
struct seen_wait {
    uint64_t waited_us;
    uint16_t caller;
    /* Another balancer may get the packets of the flow now, so a missing
     * answer is no failure. */
    bool may_have_moved;
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

/* A request of the route to a target of the service was answered. Returns
 * whether the target has just become slow, or failing. */
bool target_speed_on_answer(struct target_speed *ts, uint32_t cookie,
                            const struct route_record *route,
                            const char *service,
                            const struct seen_answer *answer, uint64_t now);
/* A request still waits. "noted" is 0 when it is forwarded and belongs to it.
 * Returns as target_speed_on_answer(). */
bool target_speed_on_waiting(struct target_speed *ts, uint32_t cookie,
                             const struct route_record *route,
                             const char *service, const struct seen_wait *wait,
                             uint8_t *noted, uint64_t now);
/* Adds what a peer has told. With "relay" what is new here, and on a target
 * that is reduced or failing here or on a failure, is told the other peers. */
void target_speed_receive(struct target_speed *ts,
                          const struct slow_target_record *records,
                          size_t count, bool relay, uint64_t now);
/* Fills "out" with the records that the peers of "reach" may lack, at most
 * "max", and returns their number. They count as sent. Records of targets that
 * are reduced or failing concern all balancers; others concern those that send
 * them most of their flows, and failures among them at once. */
size_t target_speed_export(struct target_speed *ts,
                           struct slow_target_record *out, size_t max,
                           enum target_speed_reach reach, uint64_t now);
/* Whether any target may be reduced or failing. */
bool target_speed_concerns_any(const struct target_speed *ts, uint64_t now);
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
/* Whether a target fails most of its requests and gets no new flows but
 * trials; false for "ts" NULL. */
bool target_speed_is_failing(const struct target_speed *ts, uint32_t cookie,
                             uint64_t now);
/* Whether it is this balancer's turn to send a failing target a flow as a
 * trial, and that it was sent one. Each balancer does so once in the interval,
 * which is a second for each of them, so the target gets one a second. */
bool target_speed_is_trial_due(const struct target_speed *ts, uint32_t cookie,
                               uint64_t now);
void target_speed_on_trial(struct target_speed *ts, uint32_t cookie,
                           uint64_t now);
void target_speed_set_trial_interval(struct target_speed *ts,
                                     uint64_t interval_us);
/* Whether a slow or failing target was told to be so by a peer last. */
bool target_speed_told_by_peer(const struct target_speed *ts, uint32_t cookie);
/* Number of targets that count as slow, and as failing. */
size_t target_speed_slow_count(const struct target_speed *ts, uint64_t now);
size_t target_speed_failing_count(const struct target_speed *ts, uint64_t now);
const struct target_speed_counters *
target_speed_counters(const struct target_speed *ts);
