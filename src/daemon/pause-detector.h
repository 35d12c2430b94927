#pragma once

#include <stdint.h>

/* Detects that the process was paused or the host suspended. During a
 * suspension the monotonic clock stops too, so only the boot clock shows it.
 * Times are in microseconds. */
struct pause_detector {
    uint64_t interval_us; /* longest one between two checks without a pause */
    uint64_t last_check;  /* monotonic */
    uint64_t boot_clock_lead_us; /* boot clock minus monotonic clock */
};

struct pause {
    uint64_t length_us; /* 0: there was none */
    /* The part that the monotonic clock does not count. */
    uint64_t suspended_us;
};

void pause_detector_init(struct pause_detector *pd, uint64_t interval_us,
                         uint64_t now, uint64_t boot_now);
/* Returns the pause since the last check. "now" is of the monotonic and
 * "boot_now" of the boot clock. */
struct pause pause_detector_check(struct pause_detector *pd, uint64_t now,
                                  uint64_t boot_now);
