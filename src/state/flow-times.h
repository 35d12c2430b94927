#pragma once

#include <stdint.h>
#include <stdio.h>

#include "state/histogram.h"

/* How long callers wait, as seen by a forwarder: for each service and priority
 * of route a histogram of the time until a flow is open and one of the time
 * until a request is answered. Both end with the caller's next packet, so they
 * hold the way to the caller and back. The number of sets is bounded; what is
 * beyond it shares one named "other". */

#define FLOW_TIMES_MAX 64 /* sets of 8.5 kB: half a megabyte at most */

enum flow_phase {
    FLOW_PHASE_OPEN,   /* from the opening to the caller's next packet */
    FLOW_PHASE_ANSWER, /* from a request to the first sign of an answer */
    FLOW_PHASE_COUNT,
};

struct flow_times;

struct flow_times *flow_times_new(void);
void flow_times_destroy(struct flow_times *times);

/* "service" is interned. */
void flow_times_record(struct flow_times *times, const char *service,
                       uint8_t priority, enum flow_phase phase,
                       uint64_t value_us);
/* NULL when nothing was recorded. */
const struct histogram *flow_times_get(const struct flow_times *times,
                                       const char *service, uint8_t priority,
                                       enum flow_phase phase);
/* Writes them as metrics. */
void flow_times_print(const struct flow_times *times, FILE *f);
