#pragma once

#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"
#include "plan.h"
#include "tally.h"
#include "transport/udp-socket.h"
#include "verify.h"

/* Sends what the plan says through the caller library, and tallies what comes
 * of it. A session is one caller: for each service it has an endpoint and a
 * flow of its own. */

struct service_entry {
    char service[TRAFFIC_SERVICE_SIZE];
    struct endpoint via;
};

struct runner_options {
    const struct traffic *traffic;
    size_t traffic_count;
    const struct service_entry *entries;
    size_t entry_count;
    unsigned sessions;
    uint32_t ack_timeout_ms; /* of the callers, 0: the library's default */
    uint64_t duration_us;
    uint64_t seed;
};

struct runner;

/* Returns NULL with "st" set. "tallies" has one member for each traffic. The
 * options, tallies and "verify" outlive the runner. */
struct runner *runner_new(struct event_base *base,
                          const struct runner_options *options,
                          struct tally *tallies, struct verify *verify,
                          struct status *st);
void runner_destroy(struct runner *runner);

/* Runs the plan and waits for the last answer, at most for the longest
 * deadline. */
void runner_run(struct runner *runner);

/* Sessions with a request that had no certain end: timeout, unknown outcome,
 * wrong answer, broken download or stream. */
unsigned runner_broken_sessions(const struct runner *runner);
unsigned runner_used_sessions(const struct runner *runner);
/* Arrivals that were sent later than planned by more than 5 ms: the tool
 * itself was the bottleneck. */
uint64_t runner_delayed_arrivals(const struct runner *runner);
