#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "state/resource.h"
#include "state/target-table.h"

/* Selection of a target for one request. */

/* Maximum number of targets one request tries */
#define BALANCE_TRIED_MAX 4

struct balance_request {
    /* Breaks ties between targets, in the same way for all requests of a
     * flow. */
    uint64_t flow_hash;
    enum traffic_class class;
    uint32_t bound; /* hash of the target the flow is bound to; 0: none */
    /* Targets that earlier attempts used; they are not picked again. */
    size_t tried_count;
    const struct target_state *tried[BALANCE_TRIED_MAX];
};

enum balance_result {
    BALANCE_PICKED,
    /* Usable targets exist, but none of them has free capacity. */
    BALANCE_FULL,
    /* No usable target is left that was not tried yet. */
    BALANCE_NO_TARGET,
};

/* The targets that a policy chooses from (at least one): usable, not yet tried
 * and with free capacity. */
struct balance_candidates {
    struct target_state *const *targets;
    size_t count;
    /* Mean number of requests of other balancers per slot */
    double mean_others;
};

/* Returns one of the candidates. */
typedef struct target_state *(*balance_policy_cb)(
    void *ctx, const struct balance_candidates *candidates,
    const struct balance_request *request, uint64_t now);

struct balance {
    balance_policy_cb policy;
    void *policy_ctx;
    struct random *random;
    uint64_t turn;    /* request counter of the round robin policy */
    bool use_windows; /* false: the windows are ignored */
    /* A bound flow keeps its target while the target is in the sample, is
     * usable and has free capacity. */
    bool follow_bound;
};

/* Selects the policy by name: "load" (the default), "two_choices" (by local
 * counts), "least_local", "round_robin" or "random". Returns false for an
 * unknown name. "b" must not move afterwards, and "random" must outlive it. */
bool balance_init(struct balance *b, const char *policy,
                  struct random *random);

/* Returns a target, owned by the target table, or NULL. "result" is set in
 * both cases. For a target the caller then calls target_request_begin() and
 * slot_window_on_start(). When the service has more than 64 targets, only a
 * random sample of 64 is examined: another target may be usable or free
 * although the result is BALANCE_NO_TARGET or BALANCE_FULL. */
struct target_state *balance_pick(struct balance *b,
                                  struct service_targets *svc,
                                  const struct balance_request *request,
                                  uint64_t now, enum balance_result *result);

/* After BALANCE_FULL: the earliest time at which one of the targets that the
 * request may use opens its window without a further answer; UINT64_MAX when
 * each of them needs an answer first. Of a service with more than 64 targets,
 * a new random sample is examined. */
uint64_t balance_window_opens_us(const struct balance *b,
                                 const struct service_targets *svc,
                                 const struct balance_request *request,
                                 uint64_t now);
