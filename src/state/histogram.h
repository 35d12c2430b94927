#pragma once

#include <stdint.h>

/* A histogram of times in microseconds with log-linear buckets: each power of
 * two is split into HISTOGRAM_SUB equal buckets. A bucket is at most 1/16 of
 * its lower bound wide, so a quantile, reported as the middle of its bucket,
 * is off by at most 1/32 (3.2%). Values below HISTOGRAM_SUB are exact; values
 * from 2^HISTOGRAM_BITS us (19 hours) on count in the last bucket. */

#define HISTOGRAM_SUB_BITS 4
#define HISTOGRAM_SUB (1 << HISTOGRAM_SUB_BITS)
#define HISTOGRAM_BITS 36
#define HISTOGRAM_BUCKETS                                                     \
    ((HISTOGRAM_BITS - HISTOGRAM_SUB_BITS + 1) * HISTOGRAM_SUB)

struct histogram {
    uint64_t count;
    uint64_t sum; /* of the exact values, for the mean */
    uint64_t max;
    uint64_t buckets[HISTOGRAM_BUCKETS];
};

void histogram_record(struct histogram *h, uint64_t value);
void histogram_merge(struct histogram *h, const struct histogram *other);

/* The value below which the share q (0 to 1) of the values lies; 0 when there
 * are none. */
uint64_t histogram_quantile(const struct histogram *h, double q);

/* Number of values below 2^bits, exact: such a bound is a bucket's edge. */
uint64_t histogram_count_below(const struct histogram *h, unsigned bits);
