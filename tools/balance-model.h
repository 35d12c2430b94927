#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/resource.h"

/* A discrete-event simulation of several balancers in front of the targets of
 * one service. The balancers run the product's own modules for admission,
 * target selection, slot windows, health and retries. All state is in one
 * process and time is simulated. */

enum model_service_times {
    SERVICE_LOGNORMAL, /* sigma 0.8 */
    /* 10 % of the requests take 16 times as long as the others. */
    SERVICE_BIMODAL,
};

enum model_fault {
    FAULT_NONE,
    /* Load reports in answers to requests are up to 5 s old. */
    FAULT_STALE_LOAD,
    /* Two targets always report that they are idle. */
    FAULT_LYING_LOAD,
    /* One target answers health probes, but no requests. */
    FAULT_DEAD_TARGET,
    /* Two targets join during the run. In their first 5 s their service times
     * are three times as long. */
    FAULT_COLD_START,
    /* The service times of one target are four times as long. */
    FAULT_SLOW_TARGET,
    /* No target reports its load, neither in answers nor in probes. */
    FAULT_NO_LOAD,
};

struct model_config {
    /* Deployment. Balancers and targets are distributed over the failure
     * domains in turn. */
    size_t balancers;           /* number of balancers */
    size_t domains;             /* number of failure domains */
    size_t targets;             /* number of targets */
    uint64_t domain_latency_us; /* one way, between failure domains */
    uint32_t slots; /* maximum number of requests that a target runs at the
                     * same time */
    /* Maximum number of requests in the queue of a target; it sheds any
     * further ones. */
    uint32_t target_queue;
    /* Requests. */
    uint64_t service_us;  /* mean service time */
    uint64_t deadline_us; /* from the arrival of a request */
    /* Rate at which requests arrive, as a multiple of the rate that the slots
     * of all targets can serve */
    double load;
    double command_share; /* share of the requests that are CLASS_COMMAND */
    size_t sessions;      /* number of sessions that send requests */
    enum traffic_class class; /* class of all requests but the commands */
    enum model_service_times service_times;
    enum model_fault fault;
    /* Decisions of the balancers. */
    bool use_windows;   /* see struct balance */
    bool follow_bound;  /* see struct balance */
    const char *policy; /* name for balance_init(), not owned */
    /* Run. */
    uint64_t seed;
    uint64_t warmup_us;   /* simulated time before the results count */
    uint64_t duration_us; /* simulated time after the warm-up */
};

/* Only requests that arrive after the warm-up are counted. Busy and free times
 * are summed from the end of the warm-up. */
struct model_result {
    uint64_t offered; /* requests that arrived */
    uint64_t good;    /* answered by the deadline */
    uint64_t late;    /* answered after the deadline */
    uint64_t refused; /* refused by a balancer, not run */
    /* Refused after the request was queued; also counted in "refused" */
    uint64_t refused_after_queueing;
    uint64_t unknown; /* timed out at a target, which may have run them */
    uint64_t sheds;   /* refusals by targets; a request may have several */
    /* Rate of "good", as a multiple of the rate that the slots of all targets
     * can serve */
    double goodput;
    /* Busy time of the busiest target divided by the mean busy time of the
     * targets, computed for each second and averaged. Dead, slow and cold
     * targets are left out. */
    double busiest_over_mean;
    /* Coefficient of variation of the busy times of the targets, computed for
     * each second and averaged. Dead, slow and cold targets are left out. */
    double variation;
    /* Share of the slot time of all targets that was free while requests
     * waited at a balancer or a target. The slots of a dead target do not
     * count as free. */
    double idle;
    /* Share of the busy time that was spent on attempts that the balancer had
     * abandoned */
    double wasted;
    /* Times from the arrival to the answer, of answered requests */
    double p50_ms;
    double p99_ms;
    double p99_interactive_ms; /* of requests other than downloads */
    /* Sum of the slot windows of all balancers, divided by the number of slots
     * of all targets; mean over time */
    double window_sum;
    /* Largest number of refusals by one balancer, divided by the mean of all
     * balancers; 0: no refusals */
    double refused_spread;
};

/* Simulates one configuration. Returns false when out of memory, for an
 * unknown policy, and when more requests arrive than the model has space for
 * (1000 more than 1.3 times the expected number); "result" is then incomplete.
 */
bool model_run(const struct model_config *config, struct model_result *result);
