#include "coordination/target-absence.h"

#include "base/clock.h"

/* Targets register again within about two seconds of the store's return. */
#define RETURN_US (2300 * USEC_PER_MSEC)

void
target_absence_init(struct target_absence *a, uint64_t gap_us)
{
    a->gap_us = gap_us;
    a->returned_at = 0;
}

void
target_absence_answered(struct target_absence *a, uint64_t age_us,
                        uint64_t now)
{
    if (age_us != UINT64_MAX && age_us > a->gap_us) {
        a->returned_at = now;
    }
}

uint64_t
target_absence_hold_until(const struct target_absence *a, bool draining,
                          uint64_t now)
{
    uint64_t until = a->returned_at + RETURN_US;

    /* One that was leaving is expected to go. */
    if (draining || a->returned_at == 0 || now >= until) {
        return 0;
    }
    return until;
}
