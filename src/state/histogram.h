#pragma once

#include <stdint.h>

/* A histogram of times in microseconds with log-linear buckets: each power of
 * two is split into HISTOGRAM_SUB_BUCKETS buckets of equal width. A bucket is
 * at most 1/16 of its lower bound wide, so a quantile, reported as the middle
 * of its bucket, is off by at most 1/32 (3.2%). Values below
 * HISTOGRAM_SUB_BUCKETS are exact; values of 2^HISTOGRAM_RANGE_BITS us (19
 * hours) and above are counted in the last bucket. A zeroed struct is an empty
 * histogram. */

#define HISTOGRAM_SUB_BITS 4
#define HISTOGRAM_SUB_BUCKETS (1 << HISTOGRAM_SUB_BITS)
#define HISTOGRAM_RANGE_BITS 36
#define HISTOGRAM_BUCKETS                                                     \
    ((HISTOGRAM_RANGE_BITS - HISTOGRAM_SUB_BITS + 1) * HISTOGRAM_SUB_BUCKETS)

struct histogram {
    uint64_t count;
    uint64_t sum; /* exact sum of all values, for the mean */
    uint64_t max; /* highest value, exact */
    uint64_t buckets[HISTOGRAM_BUCKETS];
};

void histogram_record(struct histogram *h, uint64_t value);
void histogram_merge(struct histogram *h, const struct histogram *other);

/* Returns an estimate of the q-quantile (q from 0 to 1), the value that the
 * fraction q of all values does not exceed; 0 when the histogram is empty. */
uint64_t histogram_quantile(const struct histogram *h, double q);

/* Returns the number of values below 2^bits. The number is exact if "bits" is
 * below HISTOGRAM_RANGE_BITS, because each power of two is a bucket boundary;
 * for higher "bits" all values are counted. */
uint64_t histogram_count_below(const struct histogram *h, unsigned bits);
