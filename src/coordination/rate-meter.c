#include "coordination/rate-meter.h"

#include <assert.h>
#include <stddef.h>

#define RING_SIZE (RATE_METER_BUCKETS + 1)

void
rate_meter_add(struct rate_meter *m, uint64_t now)
{
    uint64_t bucket = now / RATE_METER_BUCKET_US;

    for (size_t i = 0; i < RING_SIZE && m->newest < bucket; i++) {
        m->newest++;
        m->counts[m->newest % RING_SIZE] = 0;
    }
    if (m->newest < bucket) {
        /* All buckets are empty now. */
        m->newest = bucket;
    }
    m->counts[bucket % RING_SIZE]++;
}

double
rate_meter_count(const struct rate_meter *m, uint64_t buckets, uint64_t now)
{
    uint64_t bucket = now / RATE_METER_BUCKET_US;
    double passed =
        (double)(now % RATE_METER_BUCKET_US) / (double)RATE_METER_BUCKET_US;
    double count = 0;

    assert(buckets <= RATE_METER_BUCKETS);
    for (uint64_t age = 0; age <= buckets && age <= bucket; age++) {
        uint64_t number = bucket - age;

        if (number <= m->newest && number + RING_SIZE > m->newest) {
            count += m->counts[number % RING_SIZE] *
                     (age == buckets ? 1.0 - passed : 1.0);
        }
    }
    return count;
}
