#include "coordination/passive-health.h"

#include <math.h>

#include "base/clock.h"

/* Time in which the count of requests falls to 1/e. */
#define LOAD_DECAY_US (2.0 * (double)USEC_PER_SEC)
/* Number of misses after which new flows avoid the target. */
#define AVOID_MISSES 2
/* Time after the last miss during which new flows avoid the target. It is
 * multiplied by 1 at AVOID_MISSES and by one more for each further miss, up to
 * AVOID_STEPS_MAX. */
#define AVOID_STEP_US (1 * USEC_PER_SEC)
#define AVOID_STEPS_MAX 4
/* Time after a trial flow during which new flows avoid the target; for a
 * silent one, the time between two trial flows of all forwarders. */
#define TRIAL_INTERVAL_US (1 * USEC_PER_SEC)
/* An opening packet is answered after a round trip between caller and target,
 * however busy the target is. The target is suspect when an answer takes
 * longer than SUSPECT_FACTOR times the usual time, and longer than
 * SUSPECT_MIN_US. */
#define SUSPECT_FACTOR 4.0
#define SUSPECT_MIN_US (30 * USEC_PER_MSEC)
/* The suspicion ends this long after the opening packet was sent, so that
 * another opening packet tests the target. */
#define SUSPECT_END_US (1 * USEC_PER_SEC)
#define HANDSHAKE_EWMA_WEIGHT 0.1 /* weight of the newest sample */
/* Maximum time between two misses that are counted together. Misses further
 * apart are unrelated. */
#define MISS_GAP_MAX_US (5 * USEC_PER_SEC)

double
passive_health_load(const struct target_observations *obs, uint64_t now)
{
    double age = now > obs->load_at ? (double)(now - obs->load_at) : 0.0;

    return obs->load * exp(-age / LOAD_DECAY_US);
}

void
passive_health_on_forward(struct target_observations *obs, uint64_t now)
{
    obs->load = passive_health_load(obs, now) + 1.0;
    obs->load_at = now;
}

/* Forgets the misses if the packet that was answered was sent no earlier than
 * the first unanswered one. Returns whether there were any. */
static bool
refute_misses(struct target_observations *obs, uint64_t sent_at)
{
    bool refuted = obs->misses > 0 && sent_at >= obs->first_miss_sent_at;

    if (sent_at > obs->alive_at) {
        obs->alive_at = sent_at;
    }
    if (refuted) {
        obs->misses = 0;
        obs->unreported_misses = 0;
        obs->avoid_until = 0;
        obs->silent = false;
        obs->silence_due_at = 0;
        obs->unreported_silence = false;
    }
    return refuted;
}

void
passive_health_on_answer(struct target_observations *obs, uint64_t sent_at)
{
    if (refute_misses(obs, sent_at)) {
        obs->unreported_answer = true;
    }
    if (sent_at >= obs->opening_sent_at) {
        obs->opening_sent_at = 0;
    }
}

void
passive_health_on_peer_answer(struct target_observations *obs,
                              uint64_t sent_at)
{
    bool silent = obs->silent || obs->silence_due_at != 0;

    if (sent_at >= obs->alive_at) {
        /* The peers have this report already. */
        obs->unreported_answer = false;
    }
    if (refute_misses(obs, sent_at) && silent) {
        obs->unreported_answer = true;
    }
}

void
passive_health_on_opening(struct target_observations *obs, uint64_t now)
{
    if (obs->opening_sent_at == 0 ||
        now - obs->opening_sent_at >= SUSPECT_END_US) {
        obs->opening_sent_at = now;
    }
}

void
passive_health_on_opening_answer(struct target_observations *obs,
                                 uint64_t took_us, uint64_t now)
{
    double took = (double)took_us;

    if (obs->handshake_us <= 0.0) {
        obs->handshake_us = took;
    }
    obs->handshake_us += HANDSHAKE_EWMA_WEIGHT * (took - obs->handshake_us);
    passive_health_on_answer(obs, now);
}

bool
passive_health_is_suspect(const struct target_observations *obs, uint64_t now)
{
    double limit = SUSPECT_FACTOR * obs->handshake_us;
    uint64_t waited = now - obs->opening_sent_at;

    if (obs->opening_sent_at == 0 || now < obs->opening_sent_at) {
        return false;
    }
    if (limit < (double)SUSPECT_MIN_US) {
        limit = (double)SUSPECT_MIN_US;
    }
    return (double)waited > limit && waited < SUSPECT_END_US;
}

static void
add_misses(struct target_observations *obs, unsigned misses, uint64_t sent_at,
           uint64_t now)
{
    unsigned steps;

    if (obs->silent && now > obs->last_miss_at + PASSIVE_HEALTH_EVIDENCE_US) {
        obs->silent = false;
    }
    if (obs->misses == 0 || now - obs->last_miss_at > MISS_GAP_MAX_US) {
        obs->misses = 0;
        obs->first_miss_sent_at = sent_at;
    }
    obs->misses += misses;
    obs->last_miss_at = now;
    if (sent_at < obs->first_miss_sent_at) {
        obs->first_miss_sent_at = sent_at;
    }
    if (obs->misses >= AVOID_MISSES) {
        steps = obs->misses - AVOID_MISSES + 1;
        steps = steps > AVOID_STEPS_MAX ? AVOID_STEPS_MAX : steps;
        obs->avoid_until = now + steps * AVOID_STEP_US;
    }
    if (!obs->silent && obs->silence_due_at == 0 &&
        obs->misses >= PASSIVE_HEALTH_SILENT_MISSES) {
        obs->silence_due_at = now + PASSIVE_HEALTH_CONFIRM_US;
        obs->unreported_silence = true;
    }
}

bool
passive_health_on_miss(struct target_observations *obs, uint64_t sent_at,
                       uint64_t arrived, uint64_t now)
{
    if (obs->alive_at > sent_at ||
        arrived < sent_at + PASSIVE_HEALTH_MISS_MIN_US) {
        return false;
    }
    obs->unreported_misses++;
    add_misses(obs, 1, sent_at, now);
    return true;
}

bool
passive_health_on_peer_misses(struct target_observations *obs, unsigned misses,
                              uint64_t sent_at, uint64_t now)
{
    if (obs->alive_at > sent_at) {
        obs->unreported_answer = true;
        return false;
    }
    add_misses(obs, misses, sent_at, now);
    return true;
}

bool
passive_health_on_peer_silence(struct target_observations *obs,
                               uint64_t sent_at, uint64_t now)
{
    if (obs->alive_at > sent_at) {
        obs->unreported_answer = true;
        return false;
    }
    if (obs->silent || obs->silence_due_at != 0) {
        return true;
    }
    add_misses(obs,
               obs->misses < PASSIVE_HEALTH_SILENT_MISSES
                   ? PASSIVE_HEALTH_SILENT_MISSES - obs->misses
                   : 0,
               sent_at, now);
    obs->unreported_silence = true;
    return true;
}

bool
passive_health_confirm_silence(struct target_observations *obs, uint64_t now)
{
    if (obs->silence_due_at == 0 || now < obs->silence_due_at) {
        return false;
    }
    obs->silence_due_at = 0;
    obs->silent = true;
    obs->silent_at = now;
    return true;
}

bool
passive_health_is_dead(const struct target_observations *obs, uint64_t now)
{
    return obs->silent && now >= obs->silent_at + PASSIVE_HEALTH_DEAD_US;
}

static const char *const reach_names[] = {
    [TARGET_REACH_UNKNOWN] = "unknown",
    [TARGET_REACH_UP] = "up",
    [TARGET_REACH_DOWN] = "down",
};

const char *
target_reach_name(enum target_reach reach)
{
    return reach_names[reach];
}

bool
passive_health_may_end_flows(const struct target_observations *obs,
                             enum target_reach reach, uint64_t now)
{
    if (!obs->silent || now > obs->last_miss_at + PASSIVE_HEALTH_EVIDENCE_US) {
        return false;
    }
    return reach == TARGET_REACH_DOWN ||
           (reach == TARGET_REACH_UP &&
            now >= obs->silent_at + PASSIVE_HEALTH_STANDSTILL_US);
}

bool
passive_health_ends_request(const struct target_observations *obs,
                            bool repeatable, uint64_t now)
{
    return obs->silent && (repeatable || passive_health_is_dead(obs, now));
}

uint64_t
passive_health_trial_interval(double forwarders)
{
    return (uint64_t)((forwarders < 1.0 ? 1.0 : forwarders) *
                      (double)TRIAL_INTERVAL_US);
}

bool
passive_health_needs_trial(const struct target_observations *obs)
{
    return obs->misses >= AVOID_MISSES;
}

bool
passive_health_should_avoid(const struct target_observations *obs,
                            uint64_t now, uint64_t trial_interval_us)
{
    uint64_t interval = obs->silent ? trial_interval_us : TRIAL_INTERVAL_US;

    if (!passive_health_needs_trial(obs)) {
        return false;
    }
    return now < obs->avoid_until || now < obs->last_trial_at + interval;
}

void
passive_health_on_trial(struct target_observations *obs, uint64_t now)
{
    obs->last_trial_at = now;
}

void
passive_health_spread_trials(struct target_observations *obs, uint64_t now,
                             uint64_t trial_interval_us, double share)
{
    uint64_t passed = (uint64_t)((1.0 - share) * (double)trial_interval_us);

    obs->last_trial_at = now > passed ? now - passed : 0;
}
