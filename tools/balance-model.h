#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/resource.h"

/* An event-driven model of several balancers in front of the targets of one
 * service, with the decision modules of the product in the balancers. All
 * state is in one process and time is simulated. */

enum model_service_times {
    SERVICE_LOGNORMAL, /* sigma 0.8 */
    SERVICE_BIMODAL,   /* one in ten takes sixteen times as long */
};

enum model_fault {
    FAULT_NONE,
    FAULT_STALE_LOAD,  /* load reports are up to 5 s old */
    FAULT_LYING_LOAD,  /* two targets always report that they are idle */
    FAULT_DEAD_TARGET, /* one target answers probes only */
    FAULT_COLD_START,  /* two targets join, three times as slow for 5 s */
    FAULT_SLOW_TARGET, /* one target is four times as slow */
    FAULT_NO_LOAD,     /* no load reports at all */
};

struct model_config {
    /* Deployment. */
    size_t balancers;
    size_t domains;
    size_t targets;
    uint64_t domain_latency_us; /* one way, between failure domains */
    uint32_t slots;
    uint32_t target_queue; /* requests that wait at a target before it sheds */
    /* Work. */
    uint64_t service_us; /* mean */
    uint64_t deadline_us;
    double load;          /* offered, in units of what the slots can do */
    double command_share; /* of the requests; the rest is "class" */
    size_t sessions;
    enum traffic_class class;
    enum model_service_times service_times;
    enum model_fault fault;
    /* Decisions. */
    bool windows;
    bool bound;
    const char *policy;
    /* Run. */
    uint64_t seed;
    uint64_t warmup_us;
    uint64_t duration_us; /* after the warm-up */
};

struct model_result {
    uint64_t offered;
    uint64_t good;    /* answered by the deadline */
    uint64_t late;    /* answered after it */
    uint64_t refused; /* as not run */
    uint64_t expired; /* refused after waiting; also in "refused" */
    uint64_t unknown; /* no answer in time, may have run */
    uint64_t sheds;   /* answers of targets that refused a request */
    double goodput;   /* in units of what the slots can do */
    /* Over windows of one second, averaged: busy time of the busiest target
     * over the mean, and the coefficient of variation of the busy times. */
    double busiest;
    double variation;
    double idle;   /* share of the slots free while requests wait somewhere */
    double wasted; /* share of the busy time spent on unused answers */
    double p50_ms; /* whole time of answered requests */
    double p99_ms;
    double p99_interactive_ms;
    double window_sum;     /* of all balancers per slot, mean over time */
    double refused_spread; /* most over mean refusals of a balancer */
};

/* Runs one configuration. Returns false when memory is short. */
bool model_run(const struct model_config *config, struct model_result *result);
