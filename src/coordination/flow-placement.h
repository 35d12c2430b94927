#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "state/forward-view.h"

/* Chooses the target of a new flow, by what this forwarder knows: the entries
 * of the targets and the signs in its own callers' packets. */

struct placement_request {
    const struct forward_service *service;
    const char *domain;    /* own failure domain, interned */
    const uint32_t *tried; /* cookies that copies of the opening had before */
    size_t tried_count;
    uint64_t now;
};

/* Returns NULL when no target may take a new flow. One that was tried before
 * is taken only when there is no other. */
struct forward_target *placement_choose(const struct placement_request *r,
                                        struct random *random);
/* The service of a new flow on a route, by weight; "hash" is the flow's, so
 * that copies of its opening get the same. NULL: no share has a weight. */
const char *placement_service(const struct route_record *route, uint64_t hash);
