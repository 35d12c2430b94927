#include "state/histogram.h"

#include <math.h>

/* Index of the bucket in which a value is counted. */
static unsigned
bucket_of(uint64_t value)
{
    unsigned bits;
    unsigned shift;

    if (value < HISTOGRAM_SUB_BUCKETS) {
        return (unsigned)value;
    }
    if (value >> HISTOGRAM_RANGE_BITS != 0) {
        return HISTOGRAM_BUCKETS - 1;
    }
    bits = 64 - (unsigned)__builtin_clzll(value);
    shift = bits - HISTOGRAM_SUB_BITS - 1;
    return (shift + 1) * HISTOGRAM_SUB_BUCKETS +
           (unsigned)((value >> shift) - HISTOGRAM_SUB_BUCKETS);
}

/* Middle of a bucket, rounded down. */
static uint64_t
bucket_middle(unsigned index)
{
    unsigned shift;
    uint64_t low;

    if (index < HISTOGRAM_SUB_BUCKETS) {
        return index;
    }
    shift = index / HISTOGRAM_SUB_BUCKETS - 1;
    low = (uint64_t)(HISTOGRAM_SUB_BUCKETS + index % HISTOGRAM_SUB_BUCKETS)
          << shift;
    return low + ((1ULL << shift) - 1) / 2;
}

void
histogram_record(struct histogram *h, uint64_t value)
{
    h->count++;
    h->sum += value;
    if (value > h->max) {
        h->max = value;
    }
    h->buckets[bucket_of(value)]++;
}

void
histogram_merge(struct histogram *h, const struct histogram *other)
{
    h->count += other->count;
    h->sum += other->sum;
    if (other->max > h->max) {
        h->max = other->max;
    }
    for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
        h->buckets[i] += other->buckets[i];
    }
}

uint64_t
histogram_quantile(const struct histogram *h, double q)
{
    uint64_t rank = (uint64_t)ceil(q * (double)h->count);
    uint64_t seen = 0;

    if (h->count == 0) {
        return 0;
    }
    if (rank == 0) {
        rank = 1;
    }
    for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
        seen += h->buckets[i];
        if (seen >= rank) {
            uint64_t middle = bucket_middle(i);

            return middle < h->max ? middle : h->max;
        }
    }
    return h->max;
}

uint64_t
histogram_count_below(const struct histogram *h, unsigned bits)
{
    unsigned end = HISTOGRAM_BUCKETS;
    uint64_t count = 0;

    if (bits < HISTOGRAM_RANGE_BITS) {
        end = bucket_of(1ULL << bits);
    }
    for (unsigned i = 0; i < end; i++) {
        count += h->buckets[i];
    }
    return count;
}
