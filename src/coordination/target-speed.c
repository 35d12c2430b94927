#include "coordination/target-speed.h"

#include <math.h>
#include <stdlib.h>

#include <glib.h>

#include "base/clock.h"
#include "base/random.h"

/* Minimum ratio of a peer's record on a target without evidence. */
#define RECORD_MIN 2.0
/* A request that still waits will take longer than it has waited. */
#define WAITING_FACTOR 2.0
/* Weight of the newest time in the factor of a target: no single time makes it
 * slow. */
#define EVIDENCE_WEIGHT 0.25
/* Time in which the logarithm of a factor falls to 1/e without evidence: of a
 * target that is reduced, which shows little, and of another one. */
#define REDUCED_DECAY_US ((double)(3 * USEC_PER_SEC))
#define EVIDENCE_DECAY_US ((double)(1 * USEC_PER_SEC))
/* Logarithm of a factor below which the record is removed. */
#define EVIDENCE_MIN 0.15
/* Time after the last evidence that a target is slow, or failing, for which it
 * gets its flows in proportion. Balancers that have not sent it any for a
 * while choose it first when that ends, so each of them ends it at another
 * time, up to REDUCED_SPREAD_US later. */
#define REDUCED_US (3 * USEC_PER_SEC)
#define REDUCED_SPREAD_US (3 * USEC_PER_SEC)
/* Logarithm of a factor from which on the peers are told all times of the
 * target; below, only long ones. */
#define TELL_ALL_MIN 0.6
/* A time of a target that equals another one and was taken within this of it
 * is the same one, which has come another way: how long a record is under way
 * is not part of its age. */
#define SAME_TIME_US (300 * USEC_PER_MSEC)
/* Times of a target that are compared. With fewer, one that is under way by
 * several peers counts as new again and is told again. */
#define LATEST_MAX 32
/* Maximum age of a time that is told on. */
#define RELAY_AGE_MAX_US (500 * USEC_PER_MSEC)
/* Maximum number of records that wait to be told; more are dropped. */
#define NEWS_MAX 128
/* Failures per second of targets that do not count as failing of which the
 * peers are told; and the weight below which a failure is not told, because
 * requests of its kind often fail. */
#define FAILURES_TOLD_PER_S 40
#define FAILURE_TOLD_MIN 1.0
/* Score of failures from which on the peers are told of all answers of the
 * target, and what they tell of its failures is told on: one failure shows
 * nothing. */
#define TELL_ALL_SCORE 5.0
/* Interval of the trials of a failing target until it is set. */
#define TRIAL_INTERVAL_DEFAULT_US (1 * USEC_PER_SEC)
#define RATIO_UNIT 100.0
#define RATIO_MAX 1000.0

/* What a request has shown of a target. */
struct outcome {
    enum request_outcome kind;
    uint32_t ratio; /* to the usual time, in 1/RATIO_UNIT */
    uint8_t weight; /* of a failure, in 1/SLOW_TARGET_WEIGHT_UNIT */
    uint16_t caller;
    uint64_t at;
};

/* Evidence on a target. */
struct entry {
    uint32_t cookie;
    double log_factor; /* at "at" */
    uint64_t at;       /* time of the last evidence */
    bool by_peer;      /* the last evidence is a peer's */
    uint64_t reduced_until;
    struct failure_test failures;
    uint64_t next_trial; /* of a failing target, us */
    size_t latest_next;
    struct outcome latest[LATEST_MAX]; /* ring */
};

/* An outcome that the peers are to be told. */
struct news {
    uint32_t cookie;
    struct outcome outcome;
};

struct target_speed {
    GHashTable *entries; /* cookie -> struct entry, owned */
    GArray *news;        /* struct news */
    struct request_kinds kinds;
    uint64_t seed;
    uint64_t trial_interval_us;
    /* Time until which any target may be reduced or failing, us */
    uint64_t concerned_until;
    struct random random;
    /* Failures of targets that do not count as failing, which may be told
     * before the next second begins */
    unsigned failures_left;
    uint64_t next_failures;
    struct target_speed_counters counters;
};

struct target_speed *
target_speed_new(uint64_t seed)
{
    struct target_speed *ts = calloc(1, sizeof(*ts));

    if (ts == NULL) {
        return NULL;
    }
    ts->seed = seed;
    ts->trial_interval_us = TRIAL_INTERVAL_DEFAULT_US;
    random_seed(&ts->random, seed);
    ts->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    ts->news = g_array_new(FALSE, FALSE, sizeof(struct news));
    return ts;
}

void
target_speed_destroy(struct target_speed *ts)
{
    if (ts == NULL) {
        return;
    }
    g_hash_table_destroy(ts->entries);
    g_array_free(ts->news, TRUE);
    free(ts);
}

static struct entry *
find_entry(const struct target_speed *ts, uint32_t cookie)
{
    return g_hash_table_lookup(ts->entries, GUINT_TO_POINTER(cookie));
}

/* Returns the logarithm of an entry's factor, which falls with the age of the
 * evidence. */
static double
decayed(const struct entry *e, uint64_t now)
{
    double age = now > e->at ? (double)(now - e->at) : 0.0;

    return e->log_factor *
           exp(-age / (e->at < e->reduced_until ? REDUCED_DECAY_US
                                                : EVIDENCE_DECAY_US));
}

/* Finds or adds an entry. Returns NULL when the table is full. */
static struct entry *
get_entry(struct target_speed *ts, uint32_t cookie, uint64_t now)
{
    struct entry *e = find_entry(ts, cookie);

    if (e != NULL) {
        return e;
    }
    if (g_hash_table_size(ts->entries) >= TARGET_SPEED_MAX) {
        target_speed_expire(ts, now);
        if (g_hash_table_size(ts->entries) >= TARGET_SPEED_MAX) {
            return NULL;
        }
    }
    e = g_new0(struct entry, 1);
    e->cookie = cookie;
    g_hash_table_insert(ts->entries, GUINT_TO_POINTER(cookie), e);
    return e;
}

static bool
is_known(const struct entry *e, const struct outcome *outcome)
{
    for (size_t i = 0; i < LATEST_MAX; i++) {
        const struct outcome *o = &e->latest[i];

        if (o->kind == outcome->kind && o->ratio == outcome->ratio &&
            o->caller == outcome->caller &&
            o->at < outcome->at + SAME_TIME_US &&
            outcome->at < o->at + SAME_TIME_US) {
            return true;
        }
    }
    return false;
}

static bool
is_failure(const struct outcome *outcome)
{
    return outcome->kind == OUTCOME_SHORT || outcome->kind == OUTCOME_WAITS;
}

static void
add_news(struct target_speed *ts, uint32_t cookie,
         const struct outcome *outcome)
{
    const struct news news = {cookie, *outcome};

    if (ts->news->len < NEWS_MAX) {
        g_array_append_val(ts->news, news);
    }
}

/* Whether the peers may be told of one more failure of a target that does not
 * count as failing. */
static bool
may_tell_failure(struct target_speed *ts, const struct outcome *outcome,
                 uint64_t now)
{
    if (outcome->weight < FAILURE_TOLD_MIN * SLOW_TARGET_WEIGHT_UNIT) {
        return false;
    }
    if (now >= ts->next_failures) {
        ts->next_failures = now + USEC_PER_SEC;
        ts->failures_left = FAILURES_TOLD_PER_S;
    }
    if (ts->failures_left == 0) {
        return false;
    }
    ts->failures_left--;
    return true;
}

/* Has a target get its flows in proportion for some time. */
static void
reduce(struct target_speed *ts, struct entry *e, uint64_t now)
{
    e->reduced_until =
        now + REDUCED_US + random_mix(ts->seed, e->cookie) % REDUCED_SPREAD_US;
    ts->concerned_until = now + REDUCED_US + REDUCED_SPREAD_US;
}

/* Adds a time of a target to what is known of its speed. An older one weighs
 * less. */
static void
add_time(struct target_speed *ts, struct entry *e,
         const struct outcome *outcome, uint64_t now)
{
    double before = e->at == 0 ? 0.0 : decayed(e, now);
    double ratio = fmin(outcome->ratio / RATIO_UNIT, TARGET_SPEED_FACTOR_MAX);
    double weight = EVIDENCE_WEIGHT *
                    exp(-(double)(now - outcome->at) / EVIDENCE_DECAY_US);

    e->log_factor = before + weight * (log(fmax(1.0, ratio)) - before);
    e->at = now;
    if (e->log_factor >= log(TARGET_SPEED_SLOW)) {
        reduce(ts, e, now);
    }
}

static bool
is_slow(const struct entry *e, uint64_t now)
{
    return decayed(e, now) >= log(TARGET_SPEED_SLOW);
}

/* Adds an outcome to what is known of a target. Returns whether the target has
 * just become slow, or failing. */
static bool
add_evidence(struct target_speed *ts, struct entry *e,
             const struct outcome *outcome, uint64_t now)
{
    bool was_slow = is_slow(e, now);
    bool was_failing = failure_test_is_failing(&e->failures, now);
    double weight = (double)outcome->weight / SLOW_TARGET_WEIGHT_UNIT;

    switch (outcome->kind) {
    case OUTCOME_ANSWERED:
        add_time(ts, e, outcome, now);
        failure_test_on_success(&e->failures, outcome->at, now);
        break;
    case OUTCOME_LONG:
        add_time(ts, e, outcome, now);
        break;
    case OUTCOME_SHORT:
    case OUTCOME_WAITS:
        failure_test_on_failure(&e->failures, weight, outcome->caller,
                                outcome->at, now);
        break;
    case OUTCOME_LATE:
        failure_test_on_late_answer(&e->failures, weight, outcome->at, now);
        break;
    }
    e->latest[e->latest_next] = *outcome;
    e->latest_next = (e->latest_next + 1) % LATEST_MAX;
    if (failure_test_is_failing(&e->failures, now)) {
        /* Balancers would choose it first when that ends. */
        reduce(ts, e, now);
    }
    if (!was_failing && failure_test_is_failing(&e->failures, now)) {
        e->next_trial = now + (uint64_t)(random_unit(&ts->random) *
                                         (double)ts->trial_interval_us);
        return true;
    }
    return !was_slow && is_slow(e, now);
}

/* Has the peers told all that shows that a target has become slow, or failing:
 * they may lack the outcomes that were not told on before. */
static void
add_latest_news(struct target_speed *ts, const struct entry *e, uint64_t now)
{
    for (size_t i = 0; i < LATEST_MAX; i++) {
        if (e->latest[i].at + RELAY_AGE_MAX_US > now) {
            add_news(ts, e->cookie, &e->latest[i]);
        }
    }
}

/* Whether all balancers should know the outcomes of a target, because it gets
 * less than its share of new flows. */
static bool
concerns_all(const struct entry *e, uint64_t now)
{
    return now < e->reduced_until ||
           failure_test_is_failing(&e->failures, now);
}

/* Adds an outcome seen here, and has the peers told. */
static bool
add_own(struct target_speed *ts, uint32_t cookie,
        const struct outcome *outcome, bool is_long, uint64_t now)
{
    struct entry *e = get_entry(ts, cookie, now);
    bool tell;

    if (e == NULL) {
        return false;
    }
    tell = is_long || decayed(e, now) >= TELL_ALL_MIN ||
           failure_test_score(&e->failures, now) >= TELL_ALL_SCORE;
    if (is_failure(outcome)) {
        tell = concerns_all(e, now) || may_tell_failure(ts, outcome, now);
    }
    e->by_peer = false;
    if (add_evidence(ts, e, outcome, now)) {
        add_latest_news(ts, e, now);
        return true;
    }
    if (tell) {
        add_news(ts, cookie, outcome);
    }
    return false;
}

static uint8_t
pack_weight(double weight)
{
    return (uint8_t)lround(
        fmin(weight * SLOW_TARGET_WEIGHT_UNIT, SLOW_TARGET_WEIGHT_MAX));
}

static uint32_t
pack_ratio(double ratio)
{
    return (uint32_t)lround(fmin(ratio, RATIO_MAX) * RATIO_UNIT);
}

/* Adds an answer that shows that the target works, though not how fast, and
 * the weight of its request if that had counted as one that waits. Of interest
 * only for a target that may be failing. */
static bool
add_late_answer(struct target_speed *ts, uint32_t cookie, double weight,
                const struct seen_answer *answer, uint64_t now)
{
    const struct entry *e = find_entry(ts, cookie);
    const struct outcome outcome = {.kind = OUTCOME_LATE,
                                    .weight = pack_weight(weight),
                                    .caller = answer->caller,
                                    .at = answer->alive_at};

    return e != NULL && !failure_test_is_over(&e->failures, now) &&
           add_own(ts, cookie, &outcome, false, now);
}

/* Adds the time of an answer of the usual size. */
static bool
add_answer_time(struct target_speed *ts, uint32_t cookie,
                struct request_kind *kind, const struct seen_answer *answer,
                uint64_t now)
{
    bool known = request_kind_time_known(kind);
    double took = (double)answer->took_us;
    bool is_long = known && took > request_kind_long_time(kind);
    double ratio = known ? request_kind_ratio(kind, took) : 1.0;
    const struct entry *e = find_entry(ts, cookie);
    const struct outcome outcome = {
        .kind = OUTCOME_ANSWERED, .ratio = pack_ratio(ratio), .at = now};

    request_kind_add_time(kind, took, e == NULL);
    if (!known || (answer->noted & WAIT_NOTED_LONG) != 0 ||
        (e == NULL && !is_long)) {
        return false;
    }
    return add_own(ts, cookie, &outcome, is_long, now);
}

bool
target_speed_on_answer(struct target_speed *ts, uint32_t cookie,
                       const struct route_record *route, const char *service,
                       const struct seen_answer *answer, uint64_t now)
{
    struct request_kind *kind = request_kinds_get(&ts->kinds, route, service);
    bool is_short = request_kind_is_short(kind, answer->bytes);
    const struct outcome failure = {
        .kind = OUTCOME_SHORT,
        .weight = pack_weight(request_kind_short_weight(kind)),
        .caller = answer->caller,
        .at = now};
    bool changed = false;

    request_kind_add_at_once(kind, answer->at_once);
    request_kind_add_size(kind, answer->bytes, find_entry(ts, cookie) == NULL);
    if (is_short) {
        return add_own(ts, cookie, &failure, false, now);
    }
    if ((answer->noted & WAIT_NOTED_FAILURE) != 0) {
        changed = add_late_answer(ts, cookie, request_kind_wait_weight(kind),
                                  answer, now);
    }
    else if (!answer->at_once) {
        changed = add_late_answer(ts, cookie, 0.0, answer, now);
    }
    if (answer->at_once) {
        changed = add_answer_time(ts, cookie, kind, answer, now) || changed;
    }
    return changed;
}

/* Adds the time that a request has waited so far to what is known of the
 * speed of its target. */
static bool
add_long_wait(struct target_speed *ts, uint32_t cookie,
              const struct request_kind *kind, double waited, uint64_t now)
{
    double ratio = request_kind_ratio(kind, WAITING_FACTOR * waited);
    const struct outcome outcome = {
        .kind = OUTCOME_LONG, .ratio = pack_ratio(ratio), .at = now};

    return add_own(ts, cookie, &outcome, true, now);
}

static bool
add_failed_wait(struct target_speed *ts, uint32_t cookie,
                const struct request_kind *kind, uint16_t caller, uint64_t now)
{
    const struct outcome outcome = {
        .kind = OUTCOME_WAITS,
        .weight = pack_weight(request_kind_wait_weight(kind)),
        .caller = caller,
        .at = now};

    return add_own(ts, cookie, &outcome, false, now);
}

bool
target_speed_on_waiting(struct target_speed *ts, uint32_t cookie,
                        const struct route_record *route, const char *service,
                        const struct seen_wait *wait, uint8_t *noted,
                        uint64_t now)
{
    const struct request_kind *kind =
        request_kinds_get(&ts->kinds, route, service);
    double waited = (double)wait->waited_us;
    bool changed = false;

    if (!request_kind_shows_waits(kind)) {
        return false;
    }
    if ((*noted & WAIT_NOTED_LONG) == 0 && request_kind_time_known(kind) &&
        waited >= request_kind_long_time(kind)) {
        *noted |= WAIT_NOTED_LONG;
        changed = add_long_wait(ts, cookie, kind, waited, now);
    }
    if ((*noted & WAIT_NOTED_FAILURE) == 0 && !wait->may_have_moved &&
        waited >= request_kind_wait_limit(kind)) {
        *noted |= WAIT_NOTED_FAILURE;
        changed =
            add_failed_wait(ts, cookie, kind, wait->caller, now) || changed;
    }
    return changed;
}

/* Whether an outcome is of interest for a target without evidence. */
static bool
begins_evidence(const struct outcome *outcome)
{
    return is_failure(outcome) || ((outcome->kind == OUTCOME_ANSWERED ||
                                    outcome->kind == OUTCOME_LONG) &&
                                   outcome->ratio >= RECORD_MIN * RATIO_UNIT);
}

/* Adds what a peer has told. */
static void
receive_one(struct target_speed *ts, const struct slow_target_record *record,
            bool relay, uint64_t now)
{
    uint64_t age = record->age_ms * USEC_PER_MSEC;
    struct outcome outcome = {.kind = record->kind,
                              .ratio = record->ratio,
                              .weight = record->weight,
                              .caller = record->caller};
    struct entry *e = find_entry(ts, record->cookie);
    bool changed;

    ts->counters.received++;
    if (record->cookie == 0 || age >= now) {
        return;
    }
    outcome.at = now - age;
    if (e == NULL && begins_evidence(&outcome)) {
        e = get_entry(ts, record->cookie, now);
    }
    if (e == NULL || is_known(e, &outcome)) {
        return;
    }
    ts->counters.learned++;
    e->by_peer = true;
    changed = add_evidence(ts, e, &outcome, now);
    if (!relay) {
        return;
    }
    if (changed) {
        add_latest_news(ts, e, now);
    }
    else if (age < RELAY_AGE_MAX_US &&
             (concerns_all(e, now) ||
              (is_failure(&outcome) && may_tell_failure(ts, &outcome, now)))) {
        add_news(ts, record->cookie, &outcome);
    }
}

void
target_speed_receive(struct target_speed *ts,
                     const struct slow_target_record *records, size_t count,
                     bool relay, uint64_t now)
{
    for (size_t i = 0; i < count; i++) {
        receive_one(ts, &records[i], relay, now);
    }
}

static enum target_speed_reach
reach_of(const struct target_speed *ts, const struct news *news, uint64_t now)
{
    const struct entry *e = find_entry(ts, news->cookie);

    if (e != NULL && concerns_all(e, now)) {
        return TARGET_SPEED_ALL;
    }
    return is_failure(&news->outcome) ? TARGET_SPEED_DOMAIN_SOON
                                      : TARGET_SPEED_DOMAIN;
}

size_t
target_speed_export(struct target_speed *ts, struct slow_target_record *out,
                    size_t max, enum target_speed_reach reach, uint64_t now)
{
    size_t count = 0;
    guint kept = 0;

    for (guint i = 0; i < ts->news->len; i++) {
        const struct news news = g_array_index(ts->news, struct news, i);

        if (count == max || reach_of(ts, &news, now) != reach) {
            g_array_index(ts->news, struct news, kept) = news;
            kept++;
            continue;
        }
        out[count] = (struct slow_target_record){
            .cookie = news.cookie,
            .kind = news.outcome.kind,
            .ratio = news.outcome.ratio,
            .weight = news.outcome.weight,
            .caller = news.outcome.caller,
            .age_ms = (uint32_t)((now - news.outcome.at) / USEC_PER_MSEC)};
        count++;
    }
    g_array_set_size(ts->news, kept);
    ts->counters.sent += count;
    return count;
}

bool
target_speed_concerns_any(const struct target_speed *ts, uint64_t now)
{
    return now < ts->concerned_until;
}

bool
target_speed_has_news(const struct target_speed *ts)
{
    return ts->news->len > 0;
}

void
target_speed_expire(struct target_speed *ts, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, ts->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct entry *e = value;

        if (decayed(e, now) < EVIDENCE_MIN && now > e->at + SAME_TIME_US &&
            now >= e->reduced_until &&
            failure_test_is_over(&e->failures, now)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

double
target_speed_factor(const struct target_speed *ts, uint32_t cookie,
                    uint64_t now)
{
    const struct entry *e = find_entry(ts, cookie);

    return e == NULL ? 1.0 : exp(decayed(e, now));
}

bool
target_speed_is_reduced(const struct target_speed *ts, uint32_t cookie,
                        uint64_t now)
{
    const struct entry *e;

    if (ts == NULL || g_hash_table_size(ts->entries) == 0) {
        return false;
    }
    e = find_entry(ts, cookie);
    return e != NULL && now < e->reduced_until;
}

bool
target_speed_is_failing(const struct target_speed *ts, uint32_t cookie,
                        uint64_t now)
{
    const struct entry *e;

    if (ts == NULL || g_hash_table_size(ts->entries) == 0) {
        return false;
    }
    e = find_entry(ts, cookie);
    return e != NULL && failure_test_is_failing(&e->failures, now);
}

bool
target_speed_is_trial_due(const struct target_speed *ts, uint32_t cookie,
                          uint64_t now)
{
    const struct entry *e = find_entry(ts, cookie);

    return e != NULL && now >= e->next_trial;
}

void
target_speed_on_trial(struct target_speed *ts, uint32_t cookie, uint64_t now)
{
    struct entry *e = find_entry(ts, cookie);

    if (e != NULL) {
        e->next_trial = now + ts->trial_interval_us;
    }
}

void
target_speed_set_trial_interval(struct target_speed *ts, uint64_t interval_us)
{
    ts->trial_interval_us = interval_us;
}

bool
target_speed_told_by_peer(const struct target_speed *ts, uint32_t cookie)
{
    const struct entry *e = find_entry(ts, cookie);

    return e != NULL && e->by_peer;
}

static size_t
count_entries(const struct target_speed *ts, uint64_t now,
              bool (*matches)(const struct entry *e, uint64_t now))
{
    GHashTableIter iter;
    gpointer value;
    size_t count = 0;

    g_hash_table_iter_init(&iter, ts->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += matches(value, now);
    }
    return count;
}

static bool
is_failing(const struct entry *e, uint64_t now)
{
    return failure_test_is_failing(&e->failures, now);
}

size_t
target_speed_slow_count(const struct target_speed *ts, uint64_t now)
{
    return count_entries(ts, now, is_slow);
}

size_t
target_speed_failing_count(const struct target_speed *ts, uint64_t now)
{
    return count_entries(ts, now, is_failing);
}

const struct target_speed_counters *
target_speed_counters(const struct target_speed *ts)
{
    return &ts->counters;
}
