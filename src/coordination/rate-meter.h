#pragma once

#include <stdint.h>

/* Rate of events over a short sliding window, from counts in a ring of
 * buckets. Times are monotonic, in microseconds. */

#define RATE_METER_BUCKET_US 100000ULL
/* Buckets that lie completely within the window. */
#define RATE_METER_BUCKETS 5
#define RATE_METER_WINDOW_US (RATE_METER_BUCKETS * RATE_METER_BUCKET_US)

/* A structure of zeros is ready for use. */
struct rate_meter {
    uint64_t newest; /* number of the newest bucket: its start / its length */
    /* The buckets of the window, and the one that it leaves. */
    uint32_t counts[RATE_METER_BUCKETS + 1];
};

/* Records an event. */
void rate_meter_add(struct rate_meter *m, uint64_t now);
/* Returns the number of events in the last "buckets" buckets, at most
 * RATE_METER_BUCKETS, up to "now". Those of the oldest bucket count by the
 * part of it that lies within that time. */
double rate_meter_count(const struct rate_meter *m, uint64_t buckets,
                        uint64_t now);
