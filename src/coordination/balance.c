#include "coordination/balance.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "coordination/health.h"
#include "coordination/slot-window.h"

#define CANDIDATES_MAX 64 /* targets looked at for one request */
#define LOAD_CHOICES 4    /* candidates that are compared */
#define RAMP_US (10 * USEC_PER_SEC)
#define RAMP_MIN 0.2 /* share of its capacity that a new target counts for */
#define WARMING_SHARE 0.5
#define LOAD_HALF_LIFE_US (100.0 * USEC_PER_MSEC)
#define LATENCY_HALF_LIFE_US (5.0 * USEC_PER_SEC)
#define LATENCY_RATIO_MAX 4.0 /* against the mean of the candidates */
#define MEAN_EWMA_WEIGHT 0.05
#define TIE_MARGIN 0.05 /* relative difference of scores that says nothing */

static const struct target_state *
winner_of_tie(const struct target_state *a, const struct target_state *b,
              uint64_t flow_hash)
{
    uint64_t rank_a = random_mix(flow_hash, a->hash);
    uint64_t rank_b = random_mix(flow_hash, b->hash);

    return rank_a >= rank_b ? a : b;
}

/* Share of its capacity that a target counts for: a new one starts low and
 * rises with its age, so that it is not flooded while its caches are cold. */
static double
ramp_share(const struct target_state *t, uint64_t now)
{
    uint64_t age = now - t->first_seen_us;
    double share = 1;

    if (age < RAMP_US) {
        share = RAMP_MIN + (1 - RAMP_MIN) * (double)age / RAMP_US;
    }
    return t->warming ? share * WARMING_SHARE : share;
}

/* Requests of other balancers at the target, by its last report. The older
 * the report, the more the mean over all targets stands in for it: a stale
 * report neither attracts nor repels. */
static double
others_now(const struct target_state *t, double mean_others, uint64_t now)
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

/* How much slower than the mean a target is. An old sample fades, because a
 * target that is passed over for it gets no request that could show
 * otherwise. */
static double
slowness(const struct target_state *t, double mean, uint64_t now)
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

/* Expected time until a request sent now would be done, in units of one
 * request at a target of usual speed. A target that answers faster than the
 * others is not preferred for it: a broken one may answer fast. */
static double
load_score(const struct target_state *t, double mean, double mean_others,
           uint64_t now)
{
    double load = t->in_flight + 1 + others_now(t, mean_others, now);
    double capacity = (t->slots > 0 ? t->slots : 1) * ramp_share(t, now);

    return load / capacity * slowness(t, mean, now);
}

/* Draws two different candidates (the same one twice if there is just
 * one). */
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

/* The one with the lower score. Scores that nearly agree are a tie: what is
 * left of an old report must not decide every time against one target. */
static struct target_state *
better_of(struct target_state *a, struct target_state *b, double score_a,
          double score_b, uint64_t flow_hash)
{
    if (score_a < score_b * (1 - TIE_MARGIN)) {
        return a;
    }
    if (score_b < score_a * (1 - TIE_MARGIN)) {
        return b;
    }
    return winner_of_tie(a, b, flow_hash) == a ? a : b;
}

static struct target_state *
draw_one(struct balance *b, const struct balance_candidates *c)
{
    return c->targets[random_below(b->random, (uint32_t)c->count)];
}

/* The best of a few random candidates. Looking at all of them would do a
 * little better with true reports, but the balancers would flock to a target
 * that seems idle and is not. */
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

        if (better_of(best, t, best_score, score, request->flow_hash) == t) {
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
    return better_of(one, two, one->in_flight, two->in_flight,
                     request->flow_hash);
}

static struct target_state *
pick_least_local(void *ctx, const struct balance_candidates *c,
                 const struct balance_request *request, uint64_t now)
{
    struct target_state *best = c->targets[0];

    for (size_t i = 1; i < c->count; i++) {
        best = better_of(best, c->targets[i], best->in_flight,
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

/* Sets up a balance with the named policy, windows in use and bound flows
 * free to leave their target. */
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

/* Streams hold no slot; they are bounded by the target's connections. */
static bool
has_room(const struct balance *b, const struct balance_request *request,
         const struct target_state *t, uint64_t now)
{
    if (request->class == CLASS_STREAM) {
        return t->streams < t->connections_max;
    }
    return !b->use_windows || slot_window_open(t, now);
}

/* The targets that one choice looks at: all of a small service, a run that
 * starts at a random place of a large one. */
struct sample {
    size_t count;
    struct target_state *targets[CANDIDATES_MAX];
};

static void
draw_sample(const struct balance *b, const struct service_targets *svc,
            struct sample *sample)
{
    size_t start = 0;

    sample->count = svc->count;
    if (svc->count > CANDIDATES_MAX) {
        start = random_below(b->random, (uint32_t)svc->count);
        sample->count = CANDIDATES_MAX;
    }
    for (size_t i = 0; i < sample->count; i++) {
        sample->targets[i] = svc->targets[(start + i) % svc->count];
    }
}

/* Keeps the targets that may take the request, whether or not they have
 * room. */
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

/* Leaves out targets on trial for a command, unless there are no others. */
static void
spare_commands(const struct balance_request *request, struct sample *sample,
               uint64_t now)
{
    size_t kept = 0;

    if (request->class != CLASS_COMMAND) {
        return;
    }
    for (size_t i = 0; i < sample->count; i++) {
        struct target_state *t = sample->targets[i];

        if (!health_is_on_trial(t, now)) {
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
keep_with_room(const struct balance *b, const struct balance_request *request,
               struct sample *sample, uint64_t now)
{
    size_t kept = 0;

    for (size_t i = 0; i < sample->count; i++) {
        if (has_room(b, request, sample->targets[i], now)) {
            sample->targets[kept] = sample->targets[i];
            kept++;
        }
    }
    sample->count = kept;
}

/* The mean load by other balancers, kept as an average over the choices
 * made. */
static void
update_mean(struct service_targets *svc, const struct sample *sample)
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
            MEAN_EWMA_WEIGHT * (sum / slots - svc->mean_others);
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
    update_mean(svc, &sample);
    keep_usable(request, &sample, now);
    if (sample.count == 0) {
        *result = BALANCE_NO_TARGET;
        return NULL;
    }
    spare_commands(request, &sample, now);
    keep_with_room(b, request, &sample, now);
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
balance_opens_us(const struct balance *b, const struct service_targets *svc,
                 const struct balance_request *request, uint64_t now)
{
    uint64_t earliest = UINT64_MAX;
    struct sample sample;

    draw_sample(b, svc, &sample);
    keep_usable(request, &sample, now);
    spare_commands(request, &sample, now);
    for (size_t i = 0; i < sample.count; i++) {
        uint64_t at = slot_window_opens_us(sample.targets[i], now);

        if (at < earliest) {
            earliest = at;
        }
    }
    return earliest;
}
