#include "coordination/slot-window.h"

#include "base/clock.h"

#define WINDOW_MIN 0.0625     /* requests; keeps a target in use */
#define WINDOW_INCREASE 0.125 /* requests per answer with free slots */
#define WINDOW_SHED_FACTOR 0.5
#define WINDOW_QUEUED_FACTOR 0.9
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

/* A report of free slots lends one at once, whatever the pause; a queue at
 * the target means that all balancers together send too much. */
void
slot_window_on_answer(struct target_state *t, uint64_t now)
{
    const struct target_load *load = &t->load;

    if (!load->known || load->at_us != now) {
        return;
    }
    if (load->queued > 0) {
        set_size(t, t->window.size * WINDOW_QUEUED_FACTOR);
        return;
    }
    if (load->running < load->slots) {
        set_size(t, t->window.size + WINDOW_INCREASE);
        t->window.probe_us = now;
    }
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
