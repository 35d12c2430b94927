#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Times in which this host may have delayed the packets of callers itself:
 * its process stood still, or its link was busy with bulk data. A caller
 * repeats a packet that was delayed for long enough, as it does when the
 * target does not answer, so a repeat of such a packet shows nothing about the
 * target. Times are monotonic, in microseconds. */

/* Shortest delay that counts. Together with the time that a target needs for
 * an answer, a shorter one stays below the 200 ms after which callers repeat a
 * packet. */
#define OWN_DELAY_MIN_US 50000ULL
/* Callers repeat a packet after this time at the earliest. */
#define OWN_DELAY_REPEAT_US 200000ULL

enum own_delay_direction {
    OWN_DELAY_SEND,
    OWN_DELAY_RECEIVE,
    OWN_DELAY_DIRECTION_COUNT,
};

struct own_delay {
    uint64_t tick_interval_us; /* interval of own_delay_tick() */
    double bytes_per_us;       /* rate of the link, 0: unknown */
    uint64_t last_tick;
    uint64_t max_lag_us; /* largest delay of a tick so far */
    /* Time that the link needs for the data passed to it so far, and when that
     * was valid. */
    double queued_us[OWN_DELAY_DIRECTION_COUNT];
    uint64_t queued_at[OWN_DELAY_DIRECTION_COUNT];
    /* Latest interval in which packets may have been delayed; packets that
     * were sent at "from" or later, but before "until". */
    uint64_t from;
    uint64_t until;
};

/* "link_mbps" is the rate of the host's link in megabits per second, 0 if it
 * is not known. */
void own_delay_init(struct own_delay *d, double link_mbps,
                    uint64_t tick_interval_us, uint64_t now);
/* To be called at a fixed interval; a late call shows that the process stood
 * still or was busy. */
void own_delay_tick(struct own_delay *d, uint64_t now);
/* Data was passed to the link, or received from it. */
void own_delay_on_transfer(struct own_delay *d,
                           enum own_delay_direction direction, size_t bytes,
                           uint64_t now);
/* Whether this host may have delayed a packet that it forwarded at "sent_at",
 * or its repetition that is handled at "now". */
bool own_delay_covers(const struct own_delay *d, uint64_t sent_at,
                      uint64_t now);
