#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "state/target-table.h"

/* Which targets may be used. Three sources, in order of weight: the service
 * named by the health endpoint (binding), failures seen on real requests, and
 * what the health endpoint says of itself. */

/* Outcome of one probe of the health endpoint. */
struct health_probe {
    bool answered;
    bool names_service; /* the answer names the target's service */
    bool leaving;       /* the answer says that the target is leaving */
    bool warming;
    bool load_known;
    uint32_t running;
    uint32_t slots;
    uint32_t queued;
};

enum health_change {
    HEALTH_SAME,
    HEALTH_UP,
    HEALTH_DOWN,
    HEALTH_WRONG_SERVICE,
};

/* What to distrust when choosing among "targets": a source that calls more
 * than half of them bad says more of itself than of them. */
struct health_trust {
    bool probes;
    bool ejections;
};

struct health_trust health_trust_of(struct target_state *const *targets,
                                    size_t count, uint64_t now);

/* True when a new request may go to the target. A leaving or removed target
 * and one whose endpoint has not named the service are never usable. */
bool health_usable(const struct target_state *t,
                   const struct health_trust *trust, uint64_t now);

/* True for a target whose back-off is over and which the next request would
 * try. A command, which cannot be sent again, leaves the trial to others, for
 * some time: a service may have nothing but commands. */
bool health_is_on_trial(const struct target_state *t, uint64_t now);

/* A request was sent to the target: ends the back-off of an ejected one for a
 * trial. */
void health_on_start(struct target_state *t, uint64_t now);

/* A real request was answered (also by a refusal), or failed (no connection,
 * connection lost, no answer in time). */
enum health_change health_on_success(struct target_state *t);
enum health_change health_on_failure(struct target_state *t,
                                     struct random *random, uint64_t now);
enum health_change health_on_probe(struct target_state *t,
                                   const struct health_probe *probe,
                                   uint64_t now);

/* True when a request that was given up after "waited_us" without an answer
 * counts as a failure of its target: a caller's short deadline alone says
 * nothing of it. */
bool health_timeout_counts(const struct target_state *t, uint64_t waited_us);

/* After a pause of this process nothing may be taken for granted: every
 * endpoint has to name its service again before its address is used. */
void health_forget_verified(struct target_table *table);

/* True when the balancer "self" (a hash of its id) probes the target again and
 * again. Up to HEALTH_PROBERS_MAX live balancers of a failure domain all do;
 * of more, each draws its share by a hash, so that a target has about
 * HEALTH_PROBERS probers, and no list of members is needed. */
#define HEALTH_PROBERS_MAX 8
#define HEALTH_PROBERS 4
bool health_is_prober(const struct target_state *t, uint64_t self,
                      uint32_t live);
