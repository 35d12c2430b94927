#pragma once

#include <stddef.h>
#include <stdint.h>

#include "state/counters.h"
#include "state/histogram.h"
#include "state/resource.h"
#include "state/target-table.h"

/* Metrics of one task: counters, and latency histograms per tenant and traffic
 * class. The number of tenants is bounded; all further tenants share a set of
 * histograms named "other". */

/* Maximum number of tenants with histograms of their own. */
#define METRICS_TENANTS_MAX 64

enum metrics_phase {
    PHASE_QUEUE,  /* from the request's arrival until it is sent to a target */
    PHASE_TARGET, /* from then until the target's answer arrives */
    PHASE_WHOLE,  /* from the request's arrival until the caller is answered */
    PHASE_COUNT,
};

struct metrics;

/* Returns NULL when out of memory. */
struct metrics *metrics_new(void);
void metrics_destroy(struct metrics *m);

/* The counters are owned by "m". */
struct counters *metrics_counters(struct metrics *m);
/* Adds a value to the histogram of a tenant, class and phase. */
void metrics_record(struct metrics *m, const char *tenant,
                    enum traffic_class class, enum metrics_phase phase,
                    uint64_t value_us);
/* Returns the histogram to which values of the tenant were added, which may be
 * that of "other"; NULL when it has no value. */
const struct histogram *metrics_histogram(const struct metrics *m,
                                          const char *tenant,
                                          enum traffic_class class,
                                          enum metrics_phase phase);

/* Returns all metrics in the Prometheus text exposition format 0.0.4, with
 * gauges of the targets unless "table" is NULL, and sets "len" to the length
 * in bytes. "now" is the time of a monotonic clock in microseconds. The caller
 * frees the text with free(). Returns NULL when out of memory. */
char *metrics_text(const struct metrics *m, const struct target_table *table,
                   uint64_t now, size_t *len);
