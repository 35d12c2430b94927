#include "coordination/health.h"

#include "base/clock.h"

#define FAILURES_TO_EJECT 3 /* consecutive failures of real requests */
/* Consecutive failed probes that make a target unusable */
#define PROBE_FAILURES_MAX 3
/* Time without an answer that counts as a failure of the target: this many
 * times its mean latency, or SILENT_UNKNOWN_US when no answer was ever seen,
 * but SILENT_MAX_US at most. */
#define SILENT_LATENCIES 4.0
#define SILENT_UNKNOWN_US (200 * USEC_PER_MSEC)
#define SILENT_MAX_US USEC_PER_SEC
/* Age up to which a load report is not replaced by that of a probe, see
 * load_is_fresh() */
#define LOAD_FRESH_US USEC_PER_SEC
/* Back-off of the first ejection, before jitter; doubled with each further
 * one */
#define EJECTION_BASE_US (2 * USEC_PER_SEC)
/* Time after the back-off in which commands still avoid the target */
#define COMMAND_AVOID_US (30 * USEC_PER_SEC)
#define EJECTION_DOUBLINGS_MAX 5 /* 64 s at most, before jitter */

/* True while failures of real requests exclude the target: during the
 * back-off, and from the start of the trial request that follows it until a
 * request succeeds or fails. */
static bool
is_ejected(const struct target_health *h, uint64_t now)
{
    return h->trial || now < h->ejected_until_us;
}

/* A balancer that cannot reach most targets, or a fault of all health
 * endpoints at the same time, must not leave the service without targets. Only
 * verified targets that are not leaving are counted. */
struct health_trust
health_trust_of(struct target_state *const *targets, size_t count,
                uint64_t now)
{
    size_t present = 0;
    size_t probe_bad = 0;
    size_t ejected = 0;

    for (size_t i = 0; i < count; i++) {
        const struct target_state *t = targets[i];

        if (target_is_leaving(t) || !t->health.verified) {
            continue;
        }
        present++;
        probe_bad += t->health.probe_bad ? 1 : 0;
        ejected += is_ejected(&t->health, now) ? 1 : 0;
    }
    return (struct health_trust){
        .probes = probe_bad * 2 <= present,
        .ejections = ejected * 2 <= present,
    };
}

bool
health_usable(const struct target_state *t, const struct health_trust *trust,
              uint64_t now)
{
    const struct target_health *h = &t->health;

    if (target_is_leaving(t) || !h->verified || h->wrong_service) {
        return false;
    }
    if (trust->ejections && is_ejected(h, now)) {
        return false;
    }
    return !trust->probes || !h->probe_bad;
}

bool
health_avoid_for_commands(const struct target_state *t, uint64_t now)
{
    uint64_t until = t->health.ejected_until_us;

    return until != 0 && now < until + COMMAND_AVOID_US;
}

void
health_on_start(struct target_state *t, uint64_t now)
{
    struct target_health *h = &t->health;

    if (h->ejected_until_us != 0 && now >= h->ejected_until_us) {
        h->trial = true;
    }
}

enum health_change
health_on_success(struct target_state *t)
{
    struct target_health *h = &t->health;
    bool was_ejected = h->ejected_until_us != 0;

    h->failures = 0;
    h->ejections = 0;
    h->ejected_until_us = 0;
    h->trial = false;
    return was_ejected ? HEALTH_UP : HEALTH_SAME;
}

/* Back-off of the next ejection, in us. The jitter of a quarter either way
 * keeps balancers from trying a target again at the same moment. */
static uint64_t
ejection_us(const struct target_health *h, struct random *random)
{
    uint32_t doublings = h->ejections;
    double jitter = 0.75 + random_unit(random) / 2;

    if (doublings > EJECTION_DOUBLINGS_MAX) {
        doublings = EJECTION_DOUBLINGS_MAX;
    }
    return (uint64_t)((double)(EJECTION_BASE_US << doublings) * jitter);
}

/* A failed trial ejects the target again at once. Failures of requests that
 * were in flight when the target was ejected do not prolong the back-off. */
enum health_change
health_on_failure(struct target_state *t, struct random *random, uint64_t now)
{
    struct target_health *h = &t->health;
    bool was_ejected = h->ejected_until_us != 0;

    h->failures++;
    if (was_ejected && !h->trial) {
        return HEALTH_SAME;
    }
    if (!h->trial && h->failures < FAILURES_TO_EJECT) {
        return HEALTH_SAME;
    }
    h->ejected_until_us = now + ejection_us(h, random);
    h->ejections++;
    h->trial = false;
    return was_ejected ? HEALTH_SAME : HEALTH_DOWN;
}

static enum health_change
on_probe_failure(struct target_health *h)
{
    h->probe_failures++;
    if (h->probe_bad || h->probe_failures < PROBE_FAILURES_MAX) {
        return HEALTH_SAME;
    }
    h->probe_bad = true;
    return HEALTH_DOWN;
}

/* Whether the last load report is too recent to be replaced by that of a
 * probe: the load in an answer is more accurate than that of a health
 * endpoint, which may lag. */
static bool
load_is_fresh(const struct target_state *t, uint64_t now)
{
    return t->load.known && now - t->load.at_us < LOAD_FRESH_US;
}

/* A successful probe never ends an ejection; only a real request does. */
enum health_change
health_on_probe(struct target_state *t, const struct health_probe *probe,
                uint64_t now)
{
    struct target_health *h = &t->health;
    bool was_up = h->verified && !h->probe_bad;

    if (!probe->answered) {
        return on_probe_failure(h);
    }
    if (!probe->names_service) {
        bool first = !h->wrong_service;

        h->verified = false;
        h->wrong_service = true;
        return first ? HEALTH_WRONG_SERVICE : HEALTH_SAME;
    }
    h->verified = true;
    h->wrong_service = false;
    h->probe_bad = false;
    h->probe_failures = 0;
    t->warming = probe->warming;
    t->reports_leaving = probe->leaving;
    if (probe->load_known && !load_is_fresh(t, now)) {
        target_record_load(t, probe->running, probe->slots, probe->queued,
                           now);
    }
    return was_up ? HEALTH_SAME : HEALTH_UP;
}

bool
health_timeout_counts(const struct target_state *t, uint64_t waited_us)
{
    double timeout_us = SILENT_UNKNOWN_US;

    if (t->latency_us > 0) {
        timeout_us = t->latency_us * SILENT_LATENCIES;
    }
    return waited_us >= SILENT_MAX_US || (double)waited_us >= timeout_us;
}

void
health_clear_verified(struct target_table *table)
{
    list_for_each (it, &table->services) {
        const struct service_targets *svc =
            container_of(it, struct service_targets, link);

        for (size_t i = 0; i < svc->count; i++) {
            svc->targets[i]->health.verified = false;
        }
    }
}

bool
health_is_prober(const struct target_state *t, uint64_t self, uint32_t live)
{
    uint64_t share;

    if (live <= HEALTH_PROBERS_MAX) {
        return true;
    }
    share = UINT64_MAX / live * HEALTH_PROBERS;
    return random_mix(t->hash, self) < share;
}
