#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "state/target-table.h"

/* Decides which targets may be used, from three sources in order of priority:
 * the service that the health endpoint names (always binding), failures of
 * real requests, and what else the probes of the health endpoint show. */

/* Result of one probe of the health endpoint. */
struct health_probe {
    bool answered;
    bool names_service; /* the answer names the target's service */
    bool leaving;       /* the answer says that the target is leaving */
    /* The answer says that the target is still warming up. */
    bool warming;
    /* The answer carries the numbers of requests below. */
    bool load_known;
    uint32_t running;
    uint32_t slots;
    uint32_t queued;
};

enum health_change {
    HEALTH_SAME,
    HEALTH_UP,
    HEALTH_DOWN,
    /* The health endpoint has begun to name another service. */
    HEALTH_WRONG_SERVICE,
};

/* Which sources are trusted in a choice among "targets". A source that rates
 * more than half of them as bad is more likely to be wrong itself and is
 * ignored. */
struct health_trust {
    /* Results of probes count. */
    bool probes;
    /* Ejections after failed requests count. */
    bool ejections;
};

struct health_trust health_trust_of(struct target_state *const *targets,
                                    size_t count, uint64_t now);

/* Whether a new request may be sent to the target. Never true for a target
 * that is leaving or removed, or whose health endpoint has not named the
 * service. */
bool health_usable(const struct target_state *t,
                   const struct health_trust *trust, uint64_t now);

/* Whether commands should use other targets: from the ejection of a target
 * until some time after its back-off, unless a request succeeds before. The
 * next request after the back-off is a trial, and a command cannot be sent
 * again. The time is limited because a service may receive nothing but
 * commands. */
bool health_avoid_for_commands(const struct target_state *t, uint64_t now);

/* To be called when a request was sent to the target. The first one after the
 * back-off of an ejected target is its trial. */
void health_on_start(struct target_state *t, uint64_t now);

/* Record that a real request was answered (a refusal is an answer too), that
 * one failed (no connection, connection lost, no answer in time), or the
 * result of a probe. They return what changed for the target. */
enum health_change health_on_success(struct target_state *t);
enum health_change health_on_failure(struct target_state *t,
                                     struct random *random, uint64_t now);
enum health_change health_on_probe(struct target_state *t,
                                   const struct health_probe *probe,
                                   uint64_t now);

/* Whether a request that was abandoned after "waited_us" without an answer
 * counts as a failure of its target. A short deadline of the caller is no
 * evidence against the target. */
bool health_timeout_counts(const struct target_state *t, uint64_t waited_us);

/* Marks all targets as not verified. Used after a pause of this process, when
 * all that it knows may be out of date: every health endpoint has to name its
 * service again before the address is used. */
void health_clear_verified(struct target_table *table);

/* Whether the balancer "self" (hash of its id) probes the target regularly.
 * "live" is the number of live balancers of the failure domain. When there are
 * at most HEALTH_PROBERS_MAX of them, each of them probes every target. When
 * there are more, each decides by a hash, so that a target has about
 * HEALTH_PROBERS probers and no list of members is needed. */
#define HEALTH_PROBERS_MAX 8
#define HEALTH_PROBERS 4
bool health_is_prober(const struct target_state *t, uint64_t self,
                      uint32_t live);
