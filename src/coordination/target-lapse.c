#include "coordination/target-lapse.h"

#include "base/clock.h"

/* Time for which a vanished target is kept after the store has recovered.
 * Targets register again within about two seconds of the recovery. */
#define REREGISTER_TIMEOUT_US (2300 * USEC_PER_MSEC)

void
target_lapse_init(struct target_lapse *lapse, uint64_t gap_us)
{
    lapse->gap_us = gap_us;
    lapse->store_recovered_at = 0;
}

void
target_lapse_store_answered(struct target_lapse *lapse, uint64_t age_us,
                            uint64_t now)
{
    if (age_us != UINT64_MAX && age_us > lapse->gap_us) {
        lapse->store_recovered_at = now;
    }
}

void
target_lapse_store_restored(struct target_lapse *lapse, uint64_t now)
{
    lapse->store_recovered_at = now;
}

uint64_t
target_lapse_keep_until(const struct target_lapse *lapse, bool draining,
                        uint64_t now)
{
    uint64_t until = lapse->store_recovered_at + REREGISTER_TIMEOUT_US;

    /* The entry of a draining target is expected to vanish. */
    if (draining || lapse->store_recovered_at == 0 || now >= until) {
        return 0;
    }
    return until;
}
