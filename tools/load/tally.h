#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Results of one kind of traffic. Times are kept one by one, since a run is
 * bounded and percentiles are then exact. */

enum result {
    RESULT_ANSWERED, /* whole, right and of class 2 */
    RESULT_NOT_RUN,  /* refused: not run */
    RESULT_UNKNOWN,  /* may have run */
    RESULT_TIMEOUT,  /* no answer */
    RESULT_ERROR,    /* another code of class 4 or 5 */
    RESULT_WRONG,    /* an answer that is not to this request */
    RESULT_COUNT,
};

struct tally {
    uint64_t started;
    uint64_t results[RESULT_COUNT];
    uint64_t codes[UINT8_MAX + 1]; /* of the answers that decided errors */
    uint64_t late;                 /* answered after the deadline */
    uint64_t bytes;                /* of downloads */
    uint64_t *times_us;
    size_t time_count;
    size_t time_capacity;
    bool sorted;
};

const char *result_name(enum result result);

void tally_clear(struct tally *tally);
/* Notes one end of a request. Times of answered requests only are kept. */
void tally_add(struct tally *tally, enum result result, uint64_t time_us,
               uint64_t deadline_us);
/* The time that the given share (0 to 1) of answers stays within; 0 when
 * there are none. */
uint64_t tally_percentile(struct tally *tally, double share);
/* Requests that got no good answer in time, as a share of all started. */
double tally_late_share(const struct tally *tally);
uint64_t tally_in_time(const struct tally *tally);

/* Spread of a figure over targets. */
struct spread {
    double mean;
    double busiest_over_mean;
    double variation; /* standard deviation over mean */
};

void spread_of(const double *values, size_t count, struct spread *spread);
