#pragma once

#include <stdbool.h>
#include <stdint.h>

/* A forwarder's observations of a target, from which passive health checks
 * decide. Answers bypass the forwarder, so it derives them from the packets of
 * callers and from the reports of other forwarders. All times are those of a
 * monotonic clock in microseconds. */
struct target_observations {
    /* Number of requests and opening packets (SYN) sent to the target,
     * decaying exponentially; valid at load_at. */
    double load;
    uint64_t load_at;
    /* When the first request or opening packet counted in "misses" was sent.
     */
    uint64_t first_miss_sent_at;
    /* When the last miss counted in "misses" was detected. */
    uint64_t last_miss_at;
    /* Latest time at which a packet was sent that the target is known to have
     * answered; 0: none. */
    uint64_t alive_at;
    /* When the target becomes silent unless an answer is seen before; 0: no
     * such time is set. */
    uint64_t silence_due_at;
    /* When the target became silent; valid while "silent" is set. */
    uint64_t silent_at;
    /* Time until which new flows avoid the target; 0: not avoided. */
    uint64_t avoid_until;
    /* When a new flow was last sent to the target although it was avoided. */
    uint64_t last_trial_at;
    /* When the opening packet was sent whose answer is awaited; 0: none. */
    uint64_t opening_sent_at;
    /* Moving average of the time until an opening packet is answered; 0: no
     * sample yet. */
    double handshake_us;
    /* Requests and opening packets not answered in time, since the last
     * answer; includes those reported by peers. */
    uint32_t misses;
    /* Misses detected here that have not been reported to the peers yet. */
    uint32_t unreported_misses;
    /* Regarded as dead, hung or unreachable. */
    bool silent;
    /* An answer contradicts misses that peers may count; they have not been
     * notified of it yet. */
    bool unreported_answer;
    /* The peers have not been notified yet that the target is silent, or is
     * about to become so. */
    bool unreported_silence;
    /* A report about the target to the peers is scheduled. */
    bool report_scheduled;
    /* The forward task checks the target until it is either dead or not silent
     * any more. */
    bool doubted;
};
