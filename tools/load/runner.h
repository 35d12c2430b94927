#pragma once

#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"
#include "plan.h"
#include "tally.h"
#include "transport/udp-socket.h"
#include "verify.h"

/* Sends the requests of a plan through the client library and counts their
 * results. A session is one simulated caller: it has its own UDP endpoint and
 * flow for each service. */

struct service_entry {
    char service[TRAFFIC_SERVICE_SIZE];
    struct endpoint via; /* address that requests to the service are sent to */
};

struct runner_options {
    const struct traffic *traffic;
    size_t traffic_count;
    const struct service_entry *entries; /* one per service */
    size_t entry_count;
    unsigned sessions; /* number of simulated callers */
    /* Time to the first retransmission, 0: the library's default. */
    uint32_t ack_timeout_ms;
    uint64_t duration_us; /* how long requests are sent */
    uint64_t seed;
};

struct runner;

/* "tallies" has one element per traffic. "options", "tallies" and "verify"
 * must outlive the runner. The result is never NULL, and "st" is not used. */
struct runner *runner_new(struct event_base *base,
                          const struct runner_options *options,
                          struct tally *tallies, struct verify *verify,
                          struct status *st);
void runner_destroy(struct runner *runner);

/* Sends the requests of the plan and runs the event loop until the last one
 * has ended, at most for the longest deadline plus 2 s after the duration. */
void runner_run(struct runner *runner);

/* Returns the number of sessions with a request that timed out or had an
 * unknown outcome or a wrong answer, or with a watch that missed readings, was
 * reset or ended with an error. */
unsigned runner_broken_sessions(const struct runner *runner);
/* Returns the number of sessions that sent a request or started a watch. */
unsigned runner_used_sessions(const struct runner *runner);
/* Returns the number of requests that were sent more than 5 ms later than
 * planned, because the tool itself was too slow. */
uint64_t runner_delayed_arrivals(const struct runner *runner);
