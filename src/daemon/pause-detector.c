#include "daemon/pause-detector.h"

#include "base/clock.h"

/* Minimum time by which the boot clock must advance further than the monotonic
 * clock between two checks for the host to count as having been suspended. */
#define SUSPENSION_MIN_US (200 * USEC_PER_MSEC)
/* Minimum delay of a check for the process to count as having been paused. */
#define PAUSE_MIN_US (700 * USEC_PER_MSEC)

void
pause_detector_init(struct pause_detector *pd, uint64_t interval_us,
                    uint64_t now, uint64_t boot_now)
{
    pd->interval_us = interval_us;
    pd->last_check = now;
    pd->boot_clock_lead_us = boot_now - now;
}

struct pause
pause_detector_check(struct pause_detector *pd, uint64_t now,
                     uint64_t boot_now)
{
    uint64_t lead = boot_now - now;
    uint64_t gap = now - pd->last_check;
    struct pause pause = {.length_us = 0};

    if (lead > pd->boot_clock_lead_us + SUSPENSION_MIN_US) {
        pause.suspended_us = lead - pd->boot_clock_lead_us;
        pause.length_us = gap + pause.suspended_us;
    }
    else if (gap > pd->interval_us + PAUSE_MIN_US) {
        pause.length_us = gap;
    }
    pd->boot_clock_lead_us = lead;
    pd->last_check = now;
    return pause;
}
