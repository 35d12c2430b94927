#include "coordination/request-kind.h"

#include <math.h>

#include "base/clock.h"

/* Answers of a kind before its usual time, or size, counts. */
#define ANSWERS_MIN 16
/* Weight of the newest answer in the usual time and size of its kind. */
#define KIND_WEIGHT (1.0 / 64)
/* A time is long when it exceeds the usual one by this factor, by this many
 * mean deviations, and by this time. Ordinary variation stays below. */
#define LONG_FACTOR 3.5
#define LONG_DEVIATIONS 5.0
#define LONG_MIN_US ((double)(20 * USEC_PER_MSEC))
/* An answer is short when its size is below the usual one by this factor, and
 * its logarithm by this many mean deviations. */
#define SHORT_FACTOR 2.0
#define SHORT_DEVIATIONS 3.0
/* Share of long times from which on a kind counts as noisy: its work often
 * takes long on any target. Its times count less, by a power of the ratio, so
 * that four long ones are needed for what two show of another kind. */
#define NOISY_LONG_SHARE 0.005
#define NOISY_POWER 0.5
/* Weight of the newest answer in the shares of long and of short ones. */
#define SHARE_WEIGHT (1.0 / 512)
/* Share of the answers of a kind that callers have to acknowledge at once for
 * a missing acknowledgement to show that the target has not answered. */
#define AT_ONCE_SHARE_MIN 0.9
/* Share of the requests that fail at a failing target, for the weight of a
 * failure; and bounds of the share elsewhere, which is known from few answers.
 */
#define FAILING_SHARE 0.5
#define ELSEWHERE_FACTOR 2.0
#define ELSEWHERE_MIN 0.01
#define ELSEWHERE_UNKNOWN 0.05
/* A request fails by its wait after this time at the earliest: a packet that
 * was lost has been repeated by then. */
#define WAIT_MIN_US ((double)(250 * USEC_PER_MSEC))

static bool
is_kind_of(const struct request_kind *kind, const struct route_record *route,
           const char *service)
{
    return kind->service == service && kind->priority == route->priority &&
           kind->repeatable == route->repeatable &&
           kind->timeout_ms == route->timeout_ms &&
           kind->latency_objective_ms == route->latency_objective_ms;
}

struct request_kind *
request_kinds_get(struct request_kinds *kinds,
                  const struct route_record *route, const char *service)
{
    for (size_t i = 0; i < kinds->count; i++) {
        if (is_kind_of(&kinds->kinds[i], route, service)) {
            return &kinds->kinds[i];
        }
    }
    if (kinds->count == REQUEST_KINDS_MAX) {
        return &kinds->kinds[REQUEST_KINDS_MAX - 1];
    }
    kinds->count++;
    kinds->kinds[kinds->count - 1] = (struct request_kind){
        .service = kinds->count == REQUEST_KINDS_MAX ? NULL : service,
        .timeout_ms = route->timeout_ms,
        .latency_objective_ms = route->latency_objective_ms,
        .priority = route->priority,
        .repeatable = route->repeatable,
        .at_once_share = 1.0};
    return &kinds->kinds[kinds->count - 1];
}

bool
request_kind_time_known(const struct request_kind *kind)
{
    return kind->answers >= ANSWERS_MIN;
}

bool
request_kind_size_known(const struct request_kind *kind)
{
    return kind->sizes >= ANSWERS_MIN;
}

double
request_kind_long_time(const struct request_kind *kind)
{
    double limit = kind->usual_us * LONG_FACTOR;

    limit = fmax(limit, kind->usual_us + LONG_DEVIATIONS * kind->deviation_us);
    return fmax(limit, kind->usual_us + LONG_MIN_US);
}

double
request_kind_ratio(const struct request_kind *kind, double took_us)
{
    double ratio = took_us / kind->usual_us;

    return kind->long_share > NOISY_LONG_SHARE && ratio > 1.0
               ? pow(ratio, NOISY_POWER)
               : ratio;
}

/* Returns the logarithm of the size below which an answer is short. */
static double
short_limit(const struct request_kind *kind)
{
    return kind->size_log -
           fmax(log(SHORT_FACTOR), SHORT_DEVIATIONS * kind->size_deviation);
}

bool
request_kind_is_short(const struct request_kind *kind, uint32_t bytes)
{
    return request_kind_size_known(kind) && bytes > 0 &&
           log((double)bytes) < short_limit(kind);
}

bool
request_kind_shows_waits(const struct request_kind *kind)
{
    return kind->at_once_share >= AT_ONCE_SHARE_MIN;
}

double
request_kind_wait_limit(const struct request_kind *kind)
{
    double objective =
        (double)kind->latency_objective_ms * (double)USEC_PER_MSEC;

    if (request_kind_time_known(kind)) {
        return fmax(request_kind_long_time(kind), WAIT_MIN_US);
    }
    return objective > 0.0 ? fmax(objective, WAIT_MIN_US) : HUGE_VAL;
}

/* Adds an answer to a moving mean and the mean distance to it; the first ones
 * have equal weights. */
static void
add_sample(double value, uint32_t *samples, double *mean, double *deviation)
{
    double weight = KIND_WEIGHT;

    if (*samples < ANSWERS_MIN) {
        (*samples)++;
        weight = 1.0 / *samples;
    }
    if (*samples > 1) {
        *deviation += weight * (fabs(value - *mean) - *deviation);
    }
    *mean += weight * (value - *mean);
}

/* A long time counts as one at the limit, so that slow targets do not pass for
 * usual. */
void
request_kind_add_time(struct request_kind *kind, double took_us, bool typical)
{
    if (request_kind_time_known(kind)) {
        bool is_long = took_us > request_kind_long_time(kind);

        if (typical) {
            kind->long_share +=
                SHARE_WEIGHT * ((is_long ? 1.0 : 0.0) - kind->long_share);
        }
        took_us = fmin(took_us, request_kind_long_time(kind));
    }
    add_sample(took_us, &kind->answers, &kind->usual_us, &kind->deviation_us);
}

/* A short answer counts as one at the limit. */
void
request_kind_add_size(struct request_kind *kind, uint32_t bytes, bool typical)
{
    double value;

    if (bytes == 0) {
        return;
    }
    value = log((double)bytes);
    if (request_kind_size_known(kind)) {
        bool is_short = value < short_limit(kind);

        if (typical) {
            kind->short_share +=
                SHARE_WEIGHT * ((is_short ? 1.0 : 0.0) - kind->short_share);
        }
        value = fmax(value, short_limit(kind));
    }
    add_sample(value, &kind->sizes, &kind->size_log, &kind->size_deviation);
}

void
request_kind_add_at_once(struct request_kind *kind, bool at_once)
{
    kind->at_once_share +=
        KIND_WEIGHT * ((at_once ? 1.0 : 0.0) - kind->at_once_share);
}

static double
failure_weight(double share_elsewhere)
{
    double elsewhere = fmax(ELSEWHERE_FACTOR * share_elsewhere, ELSEWHERE_MIN);

    return fmax(0.0, log(FAILING_SHARE / elsewhere));
}

double
request_kind_short_weight(const struct request_kind *kind)
{
    return failure_weight(kind->short_share);
}

double
request_kind_wait_weight(const struct request_kind *kind)
{
    return request_kind_time_known(kind)
               ? failure_weight(kind->long_share)
               : log(FAILING_SHARE / ELSEWHERE_UNKNOWN);
}
