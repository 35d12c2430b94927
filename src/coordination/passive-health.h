#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "state/target-observations.h"

/* Health of a target as observed in the packets of its callers. The target's
 * answers do not pass through this balancer: a caller that continues shows
 * that the target has answered, and a caller that sends the same data again
 * shows a miss. A single forwarder may see too little of a target, so misses
 * that other forwarders report count too. An answer to a packet that was sent
 * no earlier than the first unanswered one refutes the misses; forwarders
 * notify each other of such answers too, so a target that answers anybody does
 * not become silent. */

/* A target counts as silent, that is dead, frozen or cut off, after this many
 * misses without an answer in between. A target that is only slow still
 * answers some requests, and one or two misses may be lost datagrams. */
#define PASSIVE_HEALTH_SILENT_MISSES 3
/* Time after the last of these misses in which an answer that another
 * forwarder has seen still prevents the silence. Reports are collected for
 * 20 ms and take a few milliseconds to arrive. */
#define PASSIVE_HEALTH_CONFIRM_US 100000ULL
/* A silent target counts as dead after this time in which no forwarder has
 * seen an answer. Open flows to it are then of no use to their callers, also
 * those that wait for nothing: a request on one of them would be lost, and one
 * that may not be repeated would fail. */
#define PASSIVE_HEALTH_DEAD_US 500000ULL

/* A copy of a packet counts as a miss only when it arrives at least this long
 * after the packet was forwarded. Callers send again after 200 ms; a copy that
 * arrives sooner shows that the packet had waited in this process, and nothing
 * about the target. */
#define PASSIVE_HEALTH_MISS_MIN_US 150000ULL

/* A request or an opening packet (SYN) was forwarded to the target. */
void passive_health_on_forward(struct target_observations *obs, uint64_t now);
/* The forwarded packet was an opening packet. To be called in addition to
 * passive_health_on_forward(). */
void passive_health_on_opening(struct target_observations *obs, uint64_t now);
/* A caller has received the answer to its opening packet, "took_us" after the
 * packet was forwarded. */
void passive_health_on_opening_answer(struct target_observations *obs,
                                      uint64_t took_us, uint64_t now);
/* Whether an opening packet has waited for an answer much longer than usual
 * and no answer of the target was seen since. The target may be dead, or it
 * may refuse flows: its callers then learn of the refusal at once, which is
 * not visible here, and retry immediately. */
bool passive_health_is_suspect(const struct target_observations *obs,
                               uint64_t now);
/* A caller has received the answer to a packet that was sent at "sent_at".
 * When the caller shows that later than it could have, "sent_at" is all that
 * is known about when the target was alive. */
void passive_health_on_answer(struct target_observations *obs,
                              uint64_t sent_at);
/* Another forwarder has seen the answer to a packet that was sent at "sent_at"
 * on the clock of this host. */
void passive_health_on_peer_answer(struct target_observations *obs,
                                   uint64_t sent_at);
/* The caller of a packet that was forwarded at "sent_at" sent it again. The
 * copy arrived at "arrived", which may be well before "now" because it has
 * waited in this process. Returns true when this counts as a miss. */
bool passive_health_on_miss(struct target_observations *obs, uint64_t sent_at,
                            uint64_t arrived, uint64_t now);
/* Another forwarder reported "misses" further misses since its last report.
 * The first packet without an answer, which an earlier report may have
 * counted, was sent at "sent_at" on the clock of this host. Returns false, and
 * counts nothing, when an answer that was seen here refutes them; then the
 * peers have to be notified of it ("unreported_answer"). */
bool passive_health_on_peer_misses(struct target_observations *obs,
                                   unsigned misses, uint64_t sent_at,
                                   uint64_t now);
/* Another forwarder regards the target as silent; the first packet without an
 * answer was sent at "sent_at" on the clock of this host. Returns false in the
 * same case as passive_health_on_peer_misses(). Each forwarder passes this on
 * once, so it reaches all: one forwarder of a large fleet sees a target too
 * seldom to find out by itself. */
bool passive_health_on_peer_silence(struct target_observations *obs,
                                    uint64_t sent_at, uint64_t now);
/* Whether the target has become silent: its misses are enough, and
 * PASSIVE_HEALTH_CONFIRM_US has passed without an answer that refutes them.
 * Returns true once for each time that it becomes silent. */
bool passive_health_confirm_silence(struct target_observations *obs,
                                    uint64_t now);
/* Whether the target has been silent for PASSIVE_HEALTH_DEAD_US. */
bool passive_health_is_dead(const struct target_observations *obs,
                            uint64_t now);
/* What a check of the target's host has shown. */
enum target_reach {
    TARGET_REACH_UNKNOWN, /* there was none lately */
    TARGET_REACH_UP,      /* it accepts connections */
    TARGET_REACH_DOWN,    /* it refuses connections, or does not answer */
};
const char *target_reach_name(enum target_reach reach);
/* Time without misses after which the silence of a target proves nothing any
 * more: it may have gone on, and nobody has sent it anything since. */
#define PASSIVE_HEALTH_EVIDENCE_US 2000000ULL
/* Time after which a silent target ends its open flows although its host
 * accepts connections. A process that waits for its processor, or works
 * through what has piled up, goes on sooner. */
#define PASSIVE_HEALTH_STANDSTILL_US 2000000ULL
/* Whether the silence of a target is evidence enough to end open flows: they
 * may be of use again if the target only stands still for a moment. */
bool passive_health_may_end_flows(const struct target_observations *obs,
                                  enum target_reach reach, uint64_t now);
/* Whether a request that the target has not answered, although its caller has
 * retransmitted it, is ended with a reset. One that may be repeated is, as
 * soon as the target is silent: another target answers it sooner. One that may
 * not is lost by the reset, so it waits until the target is dead. This answers
 * the load of targets that stand still, or are cut off, for part of a second.
 */
bool passive_health_ends_request(const struct target_observations *obs,
                                 bool repeatable, uint64_t now);
/* Returns the interval between two trial flows that each of "forwarders"
 * forwarders sends to a silent target, so that it gets one a second from all
 * of them. Whoever sees an answer tells the others. */
uint64_t passive_health_trial_interval(double forwarders);
/* Whether new flows should go to other targets if there are any: for some time
 * after repeated misses, and for some time after a trial flow, which
 * passive_health_on_trial() records. For a silent target that is
 * "trial_interval_us". */
bool passive_health_should_avoid(const struct target_observations *obs,
                                 uint64_t now, uint64_t trial_interval_us);
/* Whether a flow to the target would be a trial, because nothing was received
 * from it since its last misses. */
bool passive_health_needs_trial(const struct target_observations *obs);
/* A new flow was sent to the target as a trial. */
void passive_health_on_trial(struct target_observations *obs, uint64_t now);
/* The target has become silent. "share", from 0 up to 1, is the part of the
 * interval after which this forwarder sends its first trial flow; different
 * shares spread the trial flows of all forwarders. */
void passive_health_spread_trials(struct target_observations *obs,
                                  uint64_t now, uint64_t trial_interval_us,
                                  double share);
/* Number of packets counted by passive_health_on_forward(), decayed over the
 * last seconds. */
double passive_health_load(const struct target_observations *obs,
                           uint64_t now);
