#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "state/resource.h"
#include "state/target-table.h"

/* Choice of a target for one request. */

#define BALANCE_TRIED_MAX 4 /* targets that one request may have tried */

struct balance_request {
    uint64_t flow_hash;
    enum traffic_class class;
    uint32_t bound; /* hash of the target the flow is bound to, 0: none */
    size_t tried_count;
    const struct target_state *tried[BALANCE_TRIED_MAX];
};

enum balance_result {
    BALANCE_PICKED,
    BALANCE_FULL,      /* usable targets, but all windows are closed */
    BALANCE_NO_TARGET, /* none usable that was not yet tried */
};

/* The targets that a policy chooses among (at least one): usable, not tried,
 * with an open window. */
struct balance_candidates {
    struct target_state *const *targets;
    size_t count;
    double mean_others; /* requests of other balancers a slot */
};

typedef struct target_state *(*balance_policy_cb)(
    void *ctx, const struct balance_candidates *candidates,
    const struct balance_request *request, uint64_t now);

struct balance {
    balance_policy_cb policy;
    void *policy_ctx;
    struct random *random;
    uint64_t turn;     /* of round robin */
    bool use_windows;  /* false: the windows are ignored */
    bool follow_bound; /* a bound flow keeps its target while it is usable */
};

/* Policies that a setting names: "load" (the default), "two_choices" (by
 * local counts), "least_local", "round_robin", "random". Returns false for an
 * unknown name. "random" must outlive "b". */
bool balance_init(struct balance *b, const char *policy,
                  struct random *random);

/* Picks a target, or NULL; "result" tells why. The caller then calls
 * target_start() and slot_window_on_start(). */
struct target_state *balance_pick(struct balance *b,
                                  struct service_targets *svc,
                                  const struct balance_request *request,
                                  uint64_t now, enum balance_result *result);

/* After BALANCE_FULL: when the window of a target that the request may use
 * opens by time alone; UINT64_MAX when it takes an answer. */
uint64_t balance_opens_us(const struct balance *b,
                          const struct service_targets *svc,
                          const struct balance_request *request, uint64_t now);
