#include "coordination/slot-window.h"

#include <math.h>

#include "base/clock.h"

#define WINDOW_MIN 0.0625     /* requests; keeps a target in use */
#define WINDOW_INCREASE 0.125 /* requests per answer with free slots */
#define WINDOW_SHED_FACTOR 0.5
#define QUEUED_FACTOR 0.9
#define QUEUED_INCREASE 0.0625
#define DEFAULT_LATENCY_US (50.0 * USEC_PER_MSEC)
#define PROBE_INTERVAL_MAX_US (2 * USEC_PER_SEC)

static uint32_t
whole_part(const struct target_state *t)
{
    return (uint32_t)t->window.size;
}

/* Time between two uses of the fractional part of the window: over that time
 * the requests in flight come out at the fraction on average. */
static uint64_t
probe_interval_us(const struct target_state *t)
{
    double fraction = t->window.size - whole_part(t);
    double latency = t->latency_us > 0 ? t->latency_us : DEFAULT_LATENCY_US;
    double interval;

    if (fraction * PROBE_INTERVAL_MAX_US <= latency) {
        return PROBE_INTERVAL_MAX_US;
    }
    interval = latency / fraction;
    return (uint64_t)interval;
}

static void
set_size(struct target_state *t, double size)
{
    double max = t->slots;

    if (size > max) {
        size = max;
    }
    t->window.size = size < WINDOW_MIN ? WINDOW_MIN : size;
}

bool
slot_window_open(const struct target_state *t, uint64_t now)
{
    uint32_t whole = whole_part(t);

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
    if (slot_window_open(t, now)) {
        return now;
    }
    if (t->in_flight > whole_part(t) || t->in_flight >= t->slots) {
        return UINT64_MAX;
    }
    return t->window.probe_us;
}

void
slot_window_on_start(struct target_state *t, uint64_t now)
{
    if (t->in_flight > whole_part(t)) {
        t->window.probe_us = now + probe_interval_us(t);
    }
}

/* Others wait at the target: the window goes towards one request, or less when
 * the queue is longer than one round of the slots. A report alone never closes
 * it further. */
static void
on_reported_queue(struct target_state *t)
{
    double size = t->window.size;
    double least = fmin(1, (double)t->slots / t->load.queued);

    if (size > least) {
        set_size(t, fmax(size * QUEUED_FACTOR, least));
        return;
    }
    set_size(t, fmin(size + QUEUED_INCREASE, least));
}

/* An answer frees a slot that this balancer used, so it may be used again at
 * once, unless the target reports that others wait for it. Whatever the report
 * says, answers open the window and only refusals close it: a report may lag,
 * lie or be missing, a refusal may not. */
void
slot_window_on_answer(struct target_state *t, uint64_t now)
{
    const struct target_load *load = &t->load;
    bool reported = load->known && load->at_us == now;

    if (reported && load->queued > 0) {
        on_reported_queue(t);
        return;
    }
    set_size(t, t->window.size + WINDOW_INCREASE);
    t->window.probe_us = now;
}

/* Halves the window and keeps away for a while, with jitter so that the
 * balancers that were shed together do not come back together. */
void
slot_window_on_shed(struct target_state *t, struct random *random,
                    uint64_t now)
{
    double jitter = 0.5 + random_unit(random);
    double latency = t->latency_us > 0 ? t->latency_us : DEFAULT_LATENCY_US;

    set_size(t, t->window.size * WINDOW_SHED_FACTOR);
    t->window.probe_us = now + (uint64_t)(latency * jitter);
}
