#pragma once

#include <stddef.h>
#include <stdint.h>

#include "state/resource.h"
#include "transport/udp-socket.h"

/* Settings of a forwarder. The platform's adapter reads them from its file. */

#define FORWARD_SEEDS_MAX 8

struct forward_settings {
    char host[ID_SIZE];      /* own id */
    char domain[ID_SIZE];    /* own failure domain */
    struct endpoint packets; /* where callers' packets arrive */
    struct endpoint ready;   /* HTTP: readiness and metrics */
    struct endpoint gossip;
    struct endpoint gossip_public; /* where peers reach it */
    struct endpoint store;
    size_t seed_count;
    struct endpoint seeds[FORWARD_SEEDS_MAX]; /* gossip addresses of peers */
    uint64_t change_bound_us; /* a change is in force within this */
    uint64_t grace_us;        /* a planned stop takes at most this */
    uint64_t flow_max_us;     /* no flow is older */
};
