#pragma once

#include <stddef.h>
#include <stdint.h>

#include "state/counters.h"
#include "state/histogram.h"
#include "state/resource.h"
#include "state/target-table.h"

/* Metrics of one task: counters, and histograms per tenant and class. The
 * number of tenants is bounded; those beyond it share one set of histograms
 * named "other". */

#define METRICS_TENANTS_MAX 64

enum metrics_phase {
    PHASE_QUEUE,  /* from arrival until sent to a target */
    PHASE_TARGET, /* from sent until answered */
    PHASE_WHOLE,  /* from arrival until answered to the caller */
    PHASE_COUNT,
};

struct metrics;

struct metrics *metrics_new(void);
void metrics_destroy(struct metrics *m);

struct counters *metrics_counters(struct metrics *m);
void metrics_record(struct metrics *m, const char *tenant,
                    enum traffic_class class, enum metrics_phase phase,
                    uint64_t value_us);
/* NULL when nothing was recorded. */
const struct histogram *metrics_histogram(const struct metrics *m,
                                          const char *tenant,
                                          enum traffic_class class,
                                          enum metrics_phase phase);

/* Prometheus text exposition format 0.0.4 of everything, and gauges of the
 * targets when "table" is given. The caller frees it; NULL when memory is
 * short. */
char *metrics_text(const struct metrics *m, const struct target_table *table,
                   uint64_t now, size_t *len);
