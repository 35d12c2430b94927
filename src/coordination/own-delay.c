#include "coordination/own-delay.h"

#include <string.h>

/* Bytes per microsecond at 1 Mbit/s. */
#define BYTES_PER_US_PER_MBPS 0.125

void
own_delay_init(struct own_delay *d, double link_mbps,
               uint64_t tick_interval_us, uint64_t now)
{
    memset(d, 0, sizeof(*d));
    d->bytes_per_us = link_mbps * BYTES_PER_US_PER_MBPS;
    d->tick_interval_us = tick_interval_us;
    d->last_tick = now;
}

/* Adds an interval of delays. One that touches the last one extends it; an
 * earlier one is forgotten, as repeats follow soon. */
static void
add_interval(struct own_delay *d, uint64_t from, uint64_t until)
{
    if (d->until == 0 || from > d->until || from < d->from) {
        d->from = from;
    }
    if (until > d->until) {
        d->until = until;
    }
}

/* Returns by how much the next tick is overdue. */
static uint64_t
tick_lag(const struct own_delay *d, uint64_t now)
{
    uint64_t due_at = d->last_tick + d->tick_interval_us;

    return now > due_at ? now - due_at : 0;
}

void
own_delay_tick(struct own_delay *d, uint64_t now)
{
    uint64_t lag = tick_lag(d, now);

    if (lag > d->max_lag_us) {
        d->max_lag_us = lag;
    }
    if (lag >= OWN_DELAY_MIN_US) {
        add_interval(d, d->last_tick, now + OWN_DELAY_REPEAT_US);
    }
    d->last_tick = now;
}

void
own_delay_on_transfer(struct own_delay *d, enum own_delay_direction direction,
                      size_t bytes, uint64_t now)
{
    double *queued = &d->queued_us[direction];
    double elapsed = now > d->queued_at[direction]
                         ? (double)(now - d->queued_at[direction])
                         : 0.0;
    uint64_t queue_us;

    if (d->bytes_per_us <= 0.0) {
        return;
    }
    *queued = *queued > elapsed ? *queued - elapsed : 0.0;
    *queued += (double)bytes / d->bytes_per_us;
    d->queued_at[direction] = now;
    queue_us = (uint64_t)*queued;
    if (queue_us < OWN_DELAY_MIN_US) {
        return;
    }
    if (direction == OWN_DELAY_SEND) {
        add_interval(d, now, now + queue_us + OWN_DELAY_REPEAT_US);
    }
    else {
        add_interval(d, now > queue_us ? now - queue_us : 0,
                     now + OWN_DELAY_REPEAT_US);
    }
}

bool
own_delay_covers(const struct own_delay *d, uint64_t sent_at, uint64_t now)
{
    if (tick_lag(d, now) >= OWN_DELAY_MIN_US && sent_at >= d->last_tick) {
        return true;
    }
    return sent_at >= d->from && sent_at < d->until;
}
