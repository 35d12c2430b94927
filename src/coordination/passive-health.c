#include "coordination/passive-health.h"

#include <math.h>

#include "base/clock.h"

/* Time in which the count of requests falls to 1/e. */
#define LOAD_DECAY_US (2.0 * (double)USEC_PER_SEC)
/* Misses in a row, without an answer since, from which on it is avoided. One
 * may be a lost datagram. */
#define MISSES_MIN 2
/* Avoided for this long after the last miss, and longer the more there are. */
#define AVOID_US (1 * USEC_PER_SEC)
#define AVOID_STEPS_MAX 4
/* A flow is let through in this interval while it is avoided. */
#define TRIAL_INTERVAL_US (1 * USEC_PER_SEC)

double
passive_health_load(const struct target_signs *signs, uint64_t now)
{
    double age = now > signs->load_at ? (double)(now - signs->load_at) : 0.0;

    return signs->load * exp(-age / LOAD_DECAY_US);
}

void
passive_health_sent(struct target_signs *signs, uint64_t now)
{
    signs->load = passive_health_load(signs, now) + 1.0;
    signs->load_at = now;
}

void
passive_health_answered(struct target_signs *signs, uint64_t now)
{
    signs->misses = 0;
    signs->avoid_until = 0;
    signs->answered_at = now;
}

void
passive_health_missed(struct target_signs *signs, uint64_t sent_at,
                      uint64_t now)
{
    unsigned steps;

    if (signs->answered_at > sent_at) {
        /* Others have had answers since: it was this one packet. */
        return;
    }
    signs->misses++;
    signs->missed_at = now;
    if (signs->misses >= MISSES_MIN) {
        steps = signs->misses - MISSES_MIN + 1;
        steps = steps > AVOID_STEPS_MAX ? AVOID_STEPS_MAX : steps;
        signs->avoid_until = now + steps * AVOID_US;
    }
}

bool
passive_health_avoid(const struct target_signs *signs, uint64_t now)
{
    if (signs->misses < MISSES_MIN) {
        return false;
    }
    if (now < signs->avoid_until) {
        return true;
    }
    return signs->trial_at + TRIAL_INTERVAL_US > now;
}

void
passive_health_tried(struct target_signs *signs, uint64_t now)
{
    signs->trial_at = now;
}
