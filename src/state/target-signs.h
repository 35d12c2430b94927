#pragma once

#include <stdint.h>

/* What a forwarder has seen of a target in the packets of its callers. */
struct target_signs {
    double load;          /* decayed count of requests sent to it */
    uint64_t load_at;     /* when "load" was right, us */
    unsigned misses;      /* openings without an answer since the last one */
    uint64_t missed_at;   /* last of them, us */
    uint64_t answered_at; /* last sign of life, us; 0: none */
    uint64_t avoid_until; /* no new flow before, us; 0: none */
    uint64_t trial_at;    /* last flow given to it while avoided, us */
};
