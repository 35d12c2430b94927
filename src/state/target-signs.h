#pragma once

#include <stdbool.h>
#include <stdint.h>

/* What a forwarder has seen of a target in the packets of its callers, and
 * heard of it from other forwarders. */
struct target_signs {
    double load;            /* decayed count of requests sent to it */
    uint64_t load_at;       /* when "load" was right, us */
    uint64_t missed_since;  /* when the first of them was sent, us */
    uint64_t missed_at;     /* when the last of them was noticed, us */
    uint64_t answered_at;   /* last sign of life, us; 0: none */
    uint64_t avoid_until;   /* no new flow before, us */
    uint64_t trial_at;      /* last flow given to it while avoided, us */
    uint64_t opening_since; /* first opening without an answer, us; 0: none */
    double handshake_us;    /* usual time until an opening is answered */
    uint32_t misses;        /* requests without an answer since the last one */
    uint32_t unreported;    /* misses that the peers have not been told of */
    bool silent;            /* taken for dead, frozen or cut off */
};
