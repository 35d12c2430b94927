#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Results of one --traffic option. Every response time is stored, which a run
 * of bounded length allows, so that percentiles are exact. */

enum result {
    RESULT_ANSWERED, /* complete and correct answer of response class 2 */
    RESULT_NOT_RUN,  /* reported as not executed by any target */
    RESULT_UNKNOWN,  /* reported as possibly executed */
    RESULT_TIMEOUT,  /* no answer, or a reading of a watch is missing */
    RESULT_ERROR,    /* answer of another response class, or watch ended */
    RESULT_WRONG,    /* answer to another request, or incorrect content */
    RESULT_COUNT,
};

struct tally {
    uint64_t started; /* requests sent; for watches: readings and failures */
    uint64_t results[RESULT_COUNT];
    uint64_t codes[UINT8_MAX + 1]; /* RESULT_ERROR by CoAP response code */
    uint64_t late;      /* part of RESULT_ANSWERED: after the deadline */
    uint64_t bytes;     /* body bytes of completed downloads */
    uint64_t *times_us; /* response times of answered requests */
    size_t time_count;
    size_t time_capacity;
    bool sorted; /* times_us is in ascending order */
};

const char *result_name(enum result result);

void tally_clear(struct tally *tally);
/* Counts the result of one request or reading. "time_us" is its response time
 * (for a reading, the delay since it was due), which is stored for
 * RESULT_ANSWERED only. */
void tally_add(struct tally *tally, enum result result, uint64_t time_us,
               uint64_t deadline_us);
/* Returns the response time in us that the given share (0 to 1) of answered
 * requests did not exceed; 0 when none was answered. */
uint64_t tally_percentile(struct tally *tally, double share);
/* Share (0 to 1) of all started requests that were not answered within the
 * deadline, whether answered late, failed or not answered at all. */
double tally_late_share(const struct tally *tally);
/* Returns the number of requests that were answered within the deadline. */
uint64_t tally_in_time(const struct tally *tally);

/* How evenly a quantity is spread over targets. All zero without targets or
 * when the mean is 0. */
struct spread {
    double mean;
    double busiest_over_mean; /* maximum divided by mean */
    double variation;         /* standard deviation divided by mean */
};

void spread_compute(const double *values, size_t count, struct spread *spread);
