#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/resource.h"
#include "transport/udp-socket.h"

/* Settings of a forwarder. The platform's adapter fills them from its settings
 * file. */

#define FORWARD_SEEDS_MAX 8
#define FORWARD_DOMAINS_MAX 64

/* A failure domain and the region in which it is; interned. */
struct forward_domain_region {
    const char *domain;
    const char *region;
};

struct forward_settings {
    char host[ID_SIZE];      /* id of this host */
    char domain[ID_SIZE];    /* failure domain of this host */
    struct endpoint packets; /* UDP address for the packets of callers */
    struct endpoint ready;   /* HTTP address for readiness and metrics */
    struct endpoint gossip;  /* address to bind for gossip */
    /* Gossip address that is announced to peers. */
    struct endpoint gossip_public;
    struct endpoint store; /* the platform's store */
    double link_mbps;      /* rate of this host's link, Mbit/s; 0: unknown */
    size_t seed_count;
    struct endpoint seeds[FORWARD_SEEDS_MAX]; /* gossip addresses of peers */
    uint64_t change_bound_us; /* maximum time until a change of the
                               * configuration is applied */
    uint64_t stop_timeout_us; /* maximum duration of a planned stop */
    uint64_t flow_max_us;     /* maximum lifetime of a flow */
    /* The routers choose the host for a packet by a hash of the addresses and
     * ports of its flow, among the hosts that are ready. */
    bool flows_stay;
    /* Openings are refused by their class while the targets of a service have
     * less room than their callers ask for; see
     * coordination/opening-admission.h. */
    bool refuse_excess;
    size_t region_count; /* elements in "regions" */
    struct forward_domain_region regions[FORWARD_DOMAINS_MAX];
    /* All hosts together open at most limit x "cold_overage" + "cold_slack"
     * flows to a cold target in any second, where "limit" is that of its
     * service in flows per second. */
    double cold_overage;
    double cold_slack;
};
