#include "coordination/slot-window.h"

#include <math.h>

#include "base/clock.h"

/* Minimum window, in requests; keeps every target in use */
#define WINDOW_MIN 0.0625
/* Increase of the window, in requests, per answer that reports no queue */
#define WINDOW_INCREASE 0.125
/* Factor on the window when the target sheds a request */
#define WINDOW_SHED_FACTOR 0.5
/* Change of the window per answer that reports a queue: a factor while the
 * window is too large, requests while it is too small */
#define WINDOW_QUEUED_FACTOR 0.9
#define WINDOW_QUEUED_INCREASE 0.0625
/* Latency assumed for a target until one is measured */
#define DEFAULT_LATENCY_US (50.0 * USEC_PER_MSEC)
/* Upper bound of the time between two uses of the fractional part */
#define PROBE_INTERVAL_MAX_US (2 * USEC_PER_SEC)

static uint32_t
whole_requests(const struct target_state *t)
{
    return (uint32_t)t->window.size;
}

/* Time between two uses of the fractional part of the window, chosen so that
 * the number of requests in flight due to that part is equal to the fraction
 * on average. */
static uint64_t
probe_interval_us(const struct target_state *t)
{
    double fraction = t->window.size - whole_requests(t);
    double latency = t->latency_us > 0 ? t->latency_us : DEFAULT_LATENCY_US;
    double interval;

    if (fraction * PROBE_INTERVAL_MAX_US <= latency) {
        return PROBE_INTERVAL_MAX_US;
    }
    interval = latency / fraction;
    return (uint64_t)interval;
}

static void
set_window_size(struct target_state *t, double size)
{
    double max = t->slots;

    if (size > max) {
        size = max;
    }
    t->window.size = size < WINDOW_MIN ? WINDOW_MIN : size;
}

bool
slot_window_is_open(const struct target_state *t, uint64_t now)
{
    uint32_t whole = whole_requests(t);

    if (t->in_flight < whole) {
        return true;
    }
    if (t->in_flight > whole || t->in_flight >= t->slots) {
        return false;
    }
    return now >= t->window.probe_us;
}

uint64_t
slot_window_opens_us(const struct target_state *t, uint64_t now)
{
    if (slot_window_is_open(t, now)) {
        return now;
    }
    if (t->in_flight > whole_requests(t) || t->in_flight >= t->slots) {
        return UINT64_MAX;
    }
    return t->window.probe_us;
}

void
slot_window_on_start(struct target_state *t, uint64_t now)
{
    if (t->in_flight > whole_requests(t)) {
        t->window.probe_us = now + probe_interval_us(t);
    }
}

/* Adapts the window to an answer that reports requests in the target's queue.
 * The window moves towards one request, or towards less when the queue is
 * longer than the number of slots. Reports alone never reduce it further. */
static void
on_reported_queue(struct target_state *t)
{
    double size = t->window.size;
    double queued_size = fmin(1, (double)t->slots / t->load.queued);

    if (size > queued_size) {
        set_window_size(t, fmax(size * WINDOW_QUEUED_FACTOR, queued_size));
        return;
    }
    set_window_size(t, fmin(size + WINDOW_QUEUED_INCREASE, queued_size));
}

/* An answer frees a slot that this balancer used, which it may use again at
 * once unless the target reports that requests wait for it. Apart from the
 * limited effect of such a report, answers open the window and only refusals
 * close it: a report may lag, be wrong or be missing, a refusal may not. */
void
slot_window_on_answer(struct target_state *t, uint64_t now)
{
    const struct target_load *load = &t->load;
    bool reported = load->known && load->at_us == now;

    if (reported && load->queued > 0) {
        on_reported_queue(t);
        return;
    }
    set_window_size(t, t->window.size + WINDOW_INCREASE);
    t->window.probe_us = now;
}

/* Halves the window and delays the next use of its fractional part, with
 * jitter so that balancers that were refused at the same time do not return at
 * the same time. */
void
slot_window_on_shed(struct target_state *t, struct random *random,
                    uint64_t now)
{
    double jitter = 0.5 + random_unit(random);
    double latency = t->latency_us > 0 ? t->latency_us : DEFAULT_LATENCY_US;

    set_window_size(t, t->window.size * WINDOW_SHED_FACTOR);
    t->window.probe_us = now + (uint64_t)(latency * jitter);
}
