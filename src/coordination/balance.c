#include "coordination/balance.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "coordination/health.h"
#include "coordination/slot-window.h"

/* Maximum number of targets examined for one request */
#define SAMPLE_MAX 64
#define LOAD_CHOICES 4 /* random draws that the load policy compares */
/* Age at which a new target begins to count with its full capacity */
#define RAMP_US (10 * USEC_PER_SEC)
/* Share of its capacity with which a new target begins */
#define RAMP_MIN_SHARE 0.2
/* Factor on that share while the target reports that it is warming up */
#define WARMING_SHARE 0.5
/* Time in which the weight of a load report, or of a latency, halves */
#define LOAD_HALF_LIFE_US (100.0 * USEC_PER_MSEC)
#define LATENCY_HALF_LIFE_US (5.0 * USEC_PER_SEC)
/* Upper bound of the ratio of a latency to the mean of the candidates */
#define LATENCY_RATIO_MAX 4.0
#define MEAN_OTHERS_EWMA_WEIGHT 0.05 /* weight of the newest sample */
/* Scores that differ by a smaller share are a tie. */
#define TIE_MARGIN 0.05

static const struct target_state *
break_tie(const struct target_state *a, const struct target_state *b,
          uint64_t flow_hash)
{
    uint64_t rank_a = random_mix(flow_hash, a->hash);
    uint64_t rank_b = random_mix(flow_hash, b->hash);

    return rank_a >= rank_b ? a : b;
}

/* Share of its capacity with which a target counts. It is low for a new target
 * and rises with its age, so that the target is not flooded while its caches
 * are cold. */
static double
capacity_share(const struct target_state *t, uint64_t now)
{
    uint64_t age = now - t->first_seen_us;
    double share = 1;

    if (age < RAMP_US) {
        share = RAMP_MIN_SHARE + (1 - RAMP_MIN_SHARE) * (double)age / RAMP_US;
    }
    return t->warming ? share * WARMING_SHARE : share;
}

/* Estimated number of requests of other balancers at the target, from its last
 * load report. The older the report, the more the mean over all targets
 * replaces it, so that a stale report neither attracts nor repels requests. */
static double
estimate_others(const struct target_state *t, double mean_others, uint64_t now)
{
    double mean = mean_others * t->slots;
    double weight;

    if (!t->load.known) {
        return mean;
    }
    weight = exp2(-(double)(now - t->load.at_us) / LOAD_HALF_LIFE_US);
    return mean + weight * (t->load.others - mean);
}

static double
mean_latency(const struct balance_candidates *c)
{
    double sum = 0;
    size_t known = 0;

    for (size_t i = 0; i < c->count; i++) {
        if (c->targets[i]->latency_us > 0) {
            sum += c->targets[i]->latency_us;
            known++;
        }
    }
    return known > 0 ? sum / (double)known : 0;
}

/* Factor by which a target is slower than the mean, from 1 to
 * LATENCY_RATIO_MAX. The effect of an old sample decays, because a target that
 * is skipped for its latency gets no request that could show a lower one. */
static double
latency_factor(const struct target_state *t, double mean, uint64_t now)
{
    double ratio;
    double weight;

    if (mean <= 0 || t->latency_us <= mean) {
        return 1;
    }
    ratio = fmin(t->latency_us / mean, LATENCY_RATIO_MAX);
    weight = exp2(-(double)(now - t->latency_at_us) / LATENCY_HALF_LIFE_US);
    return 1 + weight * (ratio - 1);
}

/* Expected time until a request sent now is completed, in units of one request
 * at a target of mean latency. A target that answers faster than the mean is
 * not preferred for it: a broken target may answer fast. */
static double
load_score(const struct target_state *t, double mean, double mean_others,
           uint64_t now)
{
    double load = t->in_flight + 1 + estimate_others(t, mean_others, now);
    double capacity = (t->slots > 0 ? t->slots : 1) * capacity_share(t, now);

    return load / capacity * latency_factor(t, mean, now);
}

/* Draws two different candidates, or the only one twice. */
static void
draw_two(struct random *random, const struct balance_candidates *c,
         struct target_state **one, struct target_state **two)
{
    uint32_t i = random_below(random, (uint32_t)c->count);
    uint32_t j = i;

    if (c->count > 1) {
        j = random_below(random, (uint32_t)c->count - 1);
        j += j >= i ? 1 : 0;
    }
    *one = c->targets[i];
    *two = c->targets[j];
}

/* Returns the target with the lower score. Scores within TIE_MARGIN are a tie,
 * so that what is left of an old report does not decide against the same
 * target every time. */
static struct target_state *
pick_better(struct target_state *a, struct target_state *b, double score_a,
            double score_b, uint64_t flow_hash)
{
    if (score_a < score_b * (1 - TIE_MARGIN)) {
        return a;
    }
    if (score_b < score_a * (1 - TIE_MARGIN)) {
        return b;
    }
    return break_tie(a, b, flow_hash) == a ? a : b;
}

static struct target_state *
draw_one(struct balance *b, const struct balance_candidates *c)
{
    return c->targets[random_below(b->random, (uint32_t)c->count)];
}

/* Picks the best of LOAD_CHOICES randomly drawn candidates, which may repeat.
 * Comparing all candidates would be slightly better if all load reports were
 * accurate, but otherwise all balancers would send to the same target that
 * only seems idle. */
static struct target_state *
pick_by_load(void *ctx, const struct balance_candidates *c,
             const struct balance_request *request, uint64_t now)
{
    struct balance *b = ctx;
    double mean = mean_latency(c);
    struct target_state *best = draw_one(b, c);
    double best_score = load_score(best, mean, c->mean_others, now);

    for (int i = 1; i < LOAD_CHOICES; i++) {
        struct target_state *t = draw_one(b, c);
        double score = load_score(t, mean, c->mean_others, now);

        if (pick_better(best, t, best_score, score, request->flow_hash) == t) {
            best = t;
            best_score = score;
        }
    }
    return best;
}

static struct target_state *
pick_two_choices(void *ctx, const struct balance_candidates *c,
                 const struct balance_request *request, uint64_t now)
{
    struct balance *b = ctx;
    struct target_state *one;
    struct target_state *two;

    draw_two(b->random, c, &one, &two);
    return pick_better(one, two, one->in_flight, two->in_flight,
                       request->flow_hash);
}

static struct target_state *
pick_least_local(void *ctx, const struct balance_candidates *c,
                 const struct balance_request *request, uint64_t now)
{
    struct target_state *best = c->targets[0];

    for (size_t i = 1; i < c->count; i++) {
        best = pick_better(best, c->targets[i], best->in_flight,
                           c->targets[i]->in_flight, request->flow_hash);
    }
    return best;
}

static struct target_state *
pick_round_robin(void *ctx, const struct balance_candidates *c,
                 const struct balance_request *request, uint64_t now)
{
    struct balance *b = ctx;

    b->turn++;
    return c->targets[b->turn % c->count];
}

static struct target_state *
pick_random(void *ctx, const struct balance_candidates *c,
            const struct balance_request *request, uint64_t now)
{
    struct balance *b = ctx;

    return c->targets[random_below(b->random, (uint32_t)c->count)];
}

static const struct {
    const char *name;
    balance_policy_cb pick;
} policies[] = {
    {"load", pick_by_load},
    {"two_choices", pick_two_choices},
    {"least_local", pick_least_local},
    {"round_robin", pick_round_robin},
    {"random", pick_random},
};

/* Initially windows are in use, and a bound flow may leave its target. */
bool
balance_init(struct balance *b, const char *policy, struct random *random)
{
    for (size_t i = 0; i < sizeof(policies) / sizeof(*policies); i++) {
        if (strcmp(policies[i].name, policy) == 0) {
            *b = (struct balance){
                .policy = policies[i].pick,
                .policy_ctx = b,
                .random = random,
                .use_windows = true,
            };
            return true;
        }
    }
    return false;
}

static bool
was_tried(const struct balance_request *request, const struct target_state *t)
{
    for (size_t i = 0; i < request->tried_count; i++) {
        if (request->tried[i] == t) {
            return true;
        }
    }
    return false;
}

/* Whether the target has free capacity for the request. Streams use no slot;
 * the target's connection limit bounds them. */
static bool
has_capacity(const struct balance *b, const struct balance_request *request,
             const struct target_state *t, uint64_t now)
{
    if (request->class == CLASS_STREAM) {
        return t->streams < t->connections_max;
    }
    return !b->use_windows || slot_window_is_open(t, now);
}

/* The targets that are examined for one request: all targets of a small
 * service; of a large one, SAMPLE_MAX consecutive targets from a random
 * position. */
struct sample {
    size_t count;
    struct target_state *targets[SAMPLE_MAX];
};

static void
draw_sample(const struct balance *b, const struct service_targets *svc,
            struct sample *sample)
{
    size_t start = 0;

    sample->count = svc->count;
    if (svc->count > SAMPLE_MAX) {
        start = random_below(b->random, (uint32_t)svc->count);
        sample->count = SAMPLE_MAX;
    }
    for (size_t i = 0; i < sample->count; i++) {
        sample->targets[i] = svc->targets[(start + i) % svc->count];
    }
}

/* Reduces the sample to targets that the request may use, whether or not they
 * have free capacity. */
static void
keep_usable(const struct balance_request *request, struct sample *sample,
            uint64_t now)
{
    struct health_trust trust =
        health_trust_of(sample->targets, sample->count, now);
    size_t kept = 0;

    for (size_t i = 0; i < sample->count; i++) {
        struct target_state *t = sample->targets[i];

        if (health_usable(t, &trust, now) && !was_tried(request, t)) {
            sample->targets[kept] = t;
            kept++;
        }
    }
    sample->count = kept;
}

/* For a command, removes the targets that health_avoid_for_commands() names
 * from the sample, unless no others are left. */
static void
avoid_for_commands(const struct balance_request *request,
                   struct sample *sample, uint64_t now)
{
    size_t kept = 0;

    if (request->class != CLASS_COMMAND) {
        return;
    }
    for (size_t i = 0; i < sample->count; i++) {
        struct target_state *t = sample->targets[i];

        if (!health_avoid_for_commands(t, now)) {
            sample->targets[i] = sample->targets[kept];
            sample->targets[kept] = t;
            kept++;
        }
    }
    if (kept > 0) {
        sample->count = kept;
    }
}

static void
keep_with_capacity(const struct balance *b,
                   const struct balance_request *request,
                   struct sample *sample, uint64_t now)
{
    size_t kept = 0;

    for (size_t i = 0; i < sample->count; i++) {
        if (has_capacity(b, request, sample->targets[i], now)) {
            sample->targets[kept] = sample->targets[i];
            kept++;
        }
    }
    sample->count = kept;
}

/* Updates the mean number of requests of other balancers per slot, a moving
 * average over the samples. */
static void
update_mean_others(struct service_targets *svc, const struct sample *sample)
{
    double sum = 0;
    double slots = 0;

    for (size_t i = 0; i < sample->count; i++) {
        if (sample->targets[i]->load.known) {
            sum += sample->targets[i]->load.others;
            slots += sample->targets[i]->slots;
        }
    }
    if (slots > 0) {
        svc->mean_others +=
            MEAN_OTHERS_EWMA_WEIGHT * (sum / slots - svc->mean_others);
    }
}

static struct target_state *
find_bound(const struct sample *sample, uint32_t bound)
{
    for (size_t i = 0; bound != 0 && i < sample->count; i++) {
        if (sample->targets[i]->hash == bound) {
            return sample->targets[i];
        }
    }
    return NULL;
}

struct target_state *
balance_pick(struct balance *b, struct service_targets *svc,
             const struct balance_request *request, uint64_t now,
             enum balance_result *result)
{
    struct balance_candidates candidates;
    struct sample sample;
    struct target_state *bound;

    draw_sample(b, svc, &sample);
    update_mean_others(svc, &sample);
    keep_usable(request, &sample, now);
    if (sample.count == 0) {
        *result = BALANCE_NO_TARGET;
        return NULL;
    }
    avoid_for_commands(request, &sample, now);
    keep_with_capacity(b, request, &sample, now);
    if (sample.count == 0) {
        *result = BALANCE_FULL;
        return NULL;
    }
    *result = BALANCE_PICKED;
    bound = find_bound(&sample, request->bound);
    if (b->follow_bound && bound != NULL) {
        return bound;
    }
    candidates = (struct balance_candidates){
        .targets = sample.targets,
        .count = sample.count,
        .mean_others = svc->mean_others,
    };
    return b->policy(b->policy_ctx, &candidates, request, now);
}

uint64_t
balance_window_opens_us(const struct balance *b,
                        const struct service_targets *svc,
                        const struct balance_request *request, uint64_t now)
{
    uint64_t earliest = UINT64_MAX;
    struct sample sample;

    draw_sample(b, svc, &sample);
    keep_usable(request, &sample, now);
    avoid_for_commands(request, &sample, now);
    for (size_t i = 0; i < sample.count; i++) {
        uint64_t at = slot_window_opens_us(sample.targets[i], now);

        if (at < earliest) {
            earliest = at;
        }
    }
    return earliest;
}
