#include "tally.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define TIMES_INITIAL_CAPACITY 1024 /* elements of times_us */

const char *
result_name(enum result result)
{
    static const char *const names[] = {
        [RESULT_ANSWERED] = "answered", [RESULT_NOT_RUN] = "not_run",
        [RESULT_UNKNOWN] = "unknown",   [RESULT_TIMEOUT] = "timeout",
        [RESULT_ERROR] = "error",       [RESULT_WRONG] = "wrong",
    };

    assert(result < RESULT_COUNT);
    return names[result];
}

void
tally_clear(struct tally *tally)
{
    g_free(tally->times_us);
    memset(tally, 0, sizeof(*tally));
}

static void
append_time(struct tally *tally, uint64_t time_us)
{
    if (tally->time_count == tally->time_capacity) {
        size_t capacity = tally->time_capacity == 0 ? TIMES_INITIAL_CAPACITY
                                                    : tally->time_capacity * 2;

        tally->times_us = g_renew(uint64_t, tally->times_us, capacity);
        tally->time_capacity = capacity;
    }
    tally->times_us[tally->time_count] = time_us;
    tally->time_count++;
    tally->sorted = false;
}

void
tally_add(struct tally *tally, enum result result, uint64_t time_us,
          uint64_t deadline_us)
{
    tally->results[result]++;
    if (result != RESULT_ANSWERED) {
        return;
    }
    append_time(tally, time_us);
    if (time_us > deadline_us) {
        tally->late++;
    }
}

static int
compare_times(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

uint64_t
tally_percentile(struct tally *tally, double share)
{
    size_t index;

    if (tally->time_count == 0) {
        return 0;
    }
    if (!tally->sorted) {
        qsort(tally->times_us, tally->time_count, sizeof(uint64_t),
              compare_times);
        tally->sorted = true;
    }
    index = (size_t)ceil(share * (double)tally->time_count);
    return tally->times_us[index > 0 ? index - 1 : 0];
}

uint64_t
tally_in_time(const struct tally *tally)
{
    return tally->results[RESULT_ANSWERED] - tally->late;
}

double
tally_late_share(const struct tally *tally)
{
    if (tally->started == 0) {
        return 0;
    }
    return 1.0 - (double)tally_in_time(tally) / (double)tally->started;
}

void
spread_compute(const double *values, size_t count, struct spread *spread)
{
    double sum = 0;
    double squares = 0;
    double busiest = 0;

    memset(spread, 0, sizeof(*spread));
    if (count == 0) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        sum += values[i];
        busiest = values[i] > busiest ? values[i] : busiest;
    }
    spread->mean = sum / (double)count;
    if (spread->mean <= 0) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        squares += (values[i] - spread->mean) * (values[i] - spread->mean);
    }
    spread->busiest_over_mean = busiest / spread->mean;
    spread->variation = sqrt(squares / (double)count) / spread->mean;
}
