#include "coordination/service-time.h"

#include "base/clock.h"

/* A window ends when it has lasted this long and contains so many requests. */
#define WINDOW_MIN_US (1 * USEC_PER_SEC)
#define WINDOW_REQUESTS 48
/* Number of requests after which there is a first estimate. */
#define FIRST_REQUESTS 8
/* A time below this part of the estimate counts as a refusal, unless nearly
 * all are that short. */
#define SHORT_PART 0.25
#define SHORT_COUNT_MAX 0.9
/* Maximum factor by which the estimate rises with a window. */
#define RISE_MAX 1.02

/* Returns the mean of the window. */
static double
window_mean(const struct service_time *s)
{
    uint32_t all = s->count + s->short_count;

    if (s->short_count > SHORT_COUNT_MAX * all) {
        return (s->sum_us + s->short_sum_us) / all;
    }
    return s->sum_us / s->count;
}

void
service_time_add(struct service_time *s, double took_us, uint64_t now)
{
    double mean;

    if (s->count + s->short_count == 0) {
        s->start = now;
    }
    if (took_us < SHORT_PART * s->value_us) {
        s->short_sum_us += took_us;
        s->short_count++;
    }
    else {
        s->sum_us += took_us;
        s->count++;
    }
    if (s->value_us <= 0.0 && s->count >= FIRST_REQUESTS) {
        s->value_us = s->sum_us / s->count;
    }
    if (s->count + s->short_count < WINDOW_REQUESTS ||
        now - s->start < WINDOW_MIN_US) {
        return;
    }
    mean = window_mean(s);
    s->value_us =
        mean < s->value_us * RISE_MAX ? mean : s->value_us * RISE_MAX;
    s->sum_us = 0;
    s->count = 0;
    s->short_sum_us = 0;
    s->short_count = 0;
}
