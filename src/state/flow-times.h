#pragma once

#include <stdint.h>
#include <stdio.h>

#include "state/histogram.h"

/* Latency as seen by a forwarder: for each service and route priority, one
 * histogram of the time until a flow is open and one of the time until a
 * request is answered. A forwarder sees only the packets of callers, so both
 * times end with the caller's next packet and include the round trip to the
 * caller. The number of sets of histograms is bounded; all further services
 * and priorities share a set named "other". */

/* Maximum number of sets besides "other"; at 8.5 kB each they take about half
 * a megabyte. */
#define FLOW_TIMES_MAX 64

enum flow_phase {
    FLOW_PHASE_OPEN,   /* from the opening packet (SYN) to the caller's next
                        * packet */
    FLOW_PHASE_ANSWER, /* from a request to the caller's first packet that
                        * shows that it received an answer */
    FLOW_PHASE_COUNT,
};

struct flow_times;

/* Returns NULL when out of memory. */
struct flow_times *flow_times_new(void);
void flow_times_destroy(struct flow_times *times);

/* Adds a value, in microseconds. "service" must be interned
 * (g_intern_string()): names are compared by pointer. */
void flow_times_record(struct flow_times *times, const char *service,
                       uint8_t priority, enum flow_phase phase,
                       uint64_t value_us);
/* Returns the histogram to which the values of the service and priority were
 * added, which may be that of "other"; NULL when it has no value. "service"
 * must be interned. */
const struct histogram *flow_times_get(const struct flow_times *times,
                                       const char *service, uint8_t priority,
                                       enum flow_phase phase);
/* Writes all histograms in the Prometheus text exposition format. */
void flow_times_print(const struct flow_times *times, FILE *f);
