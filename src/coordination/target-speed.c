#include "coordination/target-speed.h"

#include <math.h>
#include <stdlib.h>

#include <glib.h>

#include "base/clock.h"
#include "base/random.h"

/* Maximum number of kinds of requests whose usual time is known. Further kinds
 * share the last one. */
#define KINDS_MAX 32
/* Answers of a kind before its usual time counts. */
#define KIND_ANSWERS_MIN 16
/* Weight of the newest answer in the usual time of its kind. */
#define KIND_WEIGHT (1.0 / 64)
/* A time is long when it exceeds the usual one by this factor, by this many
 * mean deviations, and by this time. Ordinary variation stays below. */
#define LONG_FACTOR 3.5
#define LONG_DEVIATIONS 5.0
#define LONG_MIN_US ((double)(20 * USEC_PER_MSEC))
/* Share of long times from which on a kind counts as noisy: its work often
 * takes long on any target. Its times count less, by a power of the ratio, so
 * that four long ones are needed for what two show of another kind. */
#define NOISY_LONG_SHARE 0.005
#define LONG_SHARE_WEIGHT (1.0 / 512) /* of the newest answer */
#define NOISY_POWER 0.5
/* Minimum ratio of a peer's record on a target without evidence. */
#define RECORD_MIN 2.0
/* Share of the answers of a kind that callers have to acknowledge at once for
 * a missing acknowledgement to show that the target has not answered. */
#define AT_ONCE_SHARE_MIN 0.9
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
/* Time after the last evidence that a target is slow for which it gets its
 * flows in proportion. Balancers that have not sent it any for a while choose
 * it first when that ends, so each of them ends it at another time, up to
 * REDUCED_SPREAD_US later. */
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
#define RATIO_UNIT 100.0
#define RATIO_MAX 1000.0

/* Usual time of the requests of one kind: those of routes of a service with
 * the same limits and priority. */
struct kind {
    const char *service; /* interned; NULL: shared by the further kinds */
    uint32_t timeout_ms;
    uint32_t latency_objective_ms;
    uint8_t priority;
    bool repeatable;
    uint32_t answers;     /* that were counted, up to KIND_ANSWERS_MIN */
    double usual_us;      /* moving mean */
    double deviation_us;  /* moving mean of the distance to it */
    double at_once_share; /* see AT_ONCE_SHARE_MIN */
    double long_share;    /* see NOISY_LONG_SHARE */
};

/* A time that was taken of a target. */
struct taken_time {
    uint32_t ratio; /* to the usual time, in 1/RATIO_UNIT */
    uint64_t at;
};

/* Evidence on a target. */
struct entry {
    uint32_t cookie;
    double log_factor; /* at "at" */
    uint64_t at;       /* time of the last evidence */
    bool by_peer;      /* the last evidence is a peer's */
    uint64_t reduced_until;
    size_t latest_next;
    struct taken_time latest[LATEST_MAX]; /* ring */
};

/* A time that the peers are to be told. */
struct news {
    uint32_t cookie;
    struct taken_time taken;
};

struct target_speed {
    GHashTable *entries; /* cookie -> struct entry, owned */
    GArray *news;        /* struct news */
    struct kind kinds[KINDS_MAX];
    size_t kind_count;
    uint64_t seed;
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

static bool
is_kind_of(const struct kind *kind, const struct route_record *route,
           const char *service)
{
    return kind->service == service && kind->priority == route->priority &&
           kind->repeatable == route->repeatable &&
           kind->timeout_ms == route->timeout_ms &&
           kind->latency_objective_ms == route->latency_objective_ms;
}

/* Finds or adds the kind of a request; the last one when the table is full. */
static struct kind *
get_kind(struct target_speed *ts, const struct route_record *route,
         const char *service)
{
    for (size_t i = 0; i < ts->kind_count; i++) {
        if (is_kind_of(&ts->kinds[i], route, service)) {
            return &ts->kinds[i];
        }
    }
    if (ts->kind_count == KINDS_MAX) {
        return &ts->kinds[KINDS_MAX - 1];
    }
    ts->kind_count++;
    ts->kinds[ts->kind_count - 1] =
        (struct kind){.service = ts->kind_count == KINDS_MAX ? NULL : service,
                      .timeout_ms = route->timeout_ms,
                      .latency_objective_ms = route->latency_objective_ms,
                      .priority = route->priority,
                      .repeatable = route->repeatable,
                      .at_once_share = 1.0};
    return &ts->kinds[ts->kind_count - 1];
}

/* Returns the time above which an answer of a kind is long. */
static double
long_time(const struct kind *kind)
{
    double limit = kind->usual_us * LONG_FACTOR;

    limit = fmax(limit, kind->usual_us + LONG_DEVIATIONS * kind->deviation_us);
    return fmax(limit, kind->usual_us + LONG_MIN_US);
}

/* Adds an answer to the usual time of its kind. A long one counts as a time at
 * the limit, so that slow targets do not pass for usual. */
static void
add_usual(struct kind *kind, double took)
{
    double weight = KIND_WEIGHT;

    if (kind->answers < KIND_ANSWERS_MIN) {
        kind->answers++;
        weight = 1.0 / kind->answers;
    }
    else {
        took = fmin(took, long_time(kind));
    }
    kind->deviation_us +=
        weight * (fabs(took - kind->usual_us) - kind->deviation_us);
    kind->usual_us += weight * (took - kind->usual_us);
}

/* Returns how many times as long as usual a time is, as far as it counts. */
static double
ratio_of(const struct kind *kind, double took)
{
    double ratio = took / kind->usual_us;

    return kind->long_share > NOISY_LONG_SHARE && ratio > 1.0
               ? pow(ratio, NOISY_POWER)
               : ratio;
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
is_known(const struct entry *e, struct taken_time taken)
{
    for (size_t i = 0; i < LATEST_MAX; i++) {
        const struct taken_time *t = &e->latest[i];

        if (t->ratio == taken.ratio && t->at < taken.at + SAME_TIME_US &&
            taken.at < t->at + SAME_TIME_US) {
            return true;
        }
    }
    return false;
}

static void
add_news(struct target_speed *ts, uint32_t cookie, struct taken_time taken)
{
    const struct news news = {cookie, taken};

    if (ts->news->len < NEWS_MAX) {
        g_array_append_val(ts->news, news);
    }
}

/* Adds a time of a target to what is known of it. An older one weighs less.
 * Returns whether the target has just become slow. */
static bool
add_evidence(const struct target_speed *ts, struct entry *e,
             struct taken_time taken, uint64_t now)
{
    double before = e->at == 0 ? 0.0 : decayed(e, now);
    double ratio = fmin(taken.ratio / RATIO_UNIT, TARGET_SPEED_FACTOR_MAX);
    double weight =
        EVIDENCE_WEIGHT * exp(-(double)(now - taken.at) / EVIDENCE_DECAY_US);

    e->log_factor = before + weight * (log(fmax(1.0, ratio)) - before);
    e->at = now;
    e->latest[e->latest_next] = taken;
    e->latest_next = (e->latest_next + 1) % LATEST_MAX;
    if (e->log_factor >= log(TARGET_SPEED_SLOW)) {
        e->reduced_until = now + REDUCED_US +
                           random_mix(ts->seed, e->cookie) % REDUCED_SPREAD_US;
    }
    return before < log(TARGET_SPEED_SLOW) &&
           e->log_factor >= log(TARGET_SPEED_SLOW);
}

/* Has the peers told all that shows that a target has become slow: they may
 * lack the times that were not told on before. */
static void
add_latest_news(struct target_speed *ts, const struct entry *e, uint64_t now)
{
    for (size_t i = 0; i < LATEST_MAX; i++) {
        if (e->latest[i].at + RELAY_AGE_MAX_US > now) {
            add_news(ts, e->cookie, e->latest[i]);
        }
    }
}

/* Adds a time taken here, and has the peers told. */
static bool
add_own(struct target_speed *ts, uint32_t cookie, double ratio, bool is_long,
        uint64_t now)
{
    struct entry *e = get_entry(ts, cookie, now);
    const struct taken_time taken = {
        (uint32_t)lround(fmin(ratio, RATIO_MAX) * RATIO_UNIT), now};
    bool tell;

    if (e == NULL) {
        return false;
    }
    tell = is_long || decayed(e, now) >= TELL_ALL_MIN;
    e->by_peer = false;
    if (add_evidence(ts, e, taken, now)) {
        add_latest_news(ts, e, now);
        return true;
    }
    if (tell) {
        add_news(ts, cookie, taken);
    }
    return false;
}

bool
target_speed_on_answer(struct target_speed *ts, uint32_t cookie,
                       const struct route_record *route, const char *service,
                       uint64_t took_us, bool at_once, bool counted,
                       uint64_t now)
{
    struct kind *kind = get_kind(ts, route, service);
    const struct entry *e = find_entry(ts, cookie);
    double took = (double)took_us;
    bool known = kind->answers >= KIND_ANSWERS_MIN;
    bool is_long = known && took > long_time(kind);
    double ratio = known ? ratio_of(kind, took) : 1.0;

    kind->at_once_share +=
        KIND_WEIGHT * ((at_once ? 1.0 : 0.0) - kind->at_once_share);
    if (!at_once) {
        return false;
    }
    if (known && e == NULL) {
        kind->long_share +=
            LONG_SHARE_WEIGHT * ((is_long ? 1.0 : 0.0) - kind->long_share);
    }
    add_usual(kind, took);
    if (!known || counted || (e == NULL && !is_long)) {
        return false;
    }
    return add_own(ts, cookie, ratio, is_long, now);
}

bool
target_speed_on_waiting(struct target_speed *ts, uint32_t cookie,
                        const struct route_record *route, const char *service,
                        uint64_t waited_us, bool *counted, uint64_t now)
{
    const struct kind *kind = get_kind(ts, route, service);
    double waited = (double)waited_us;

    if (*counted || kind->answers < KIND_ANSWERS_MIN ||
        kind->at_once_share < AT_ONCE_SHARE_MIN || waited < long_time(kind)) {
        return false;
    }
    *counted = true;
    return add_own(ts, cookie, ratio_of(kind, WAITING_FACTOR * waited), true,
                   now);
}

/* Adds a time that a peer has told. A usual one is of interest only for a
 * target with evidence. */
static void
receive_one(struct target_speed *ts, const struct slow_target_record *record,
            bool relay, uint64_t now)
{
    uint64_t age = record->age_ms * USEC_PER_MSEC;
    struct taken_time taken = {.ratio = record->ratio};
    struct entry *e = find_entry(ts, record->cookie);
    bool became_slow;

    ts->counters.received++;
    if (record->cookie == 0 || age >= now) {
        return;
    }
    taken.at = now - age;
    if (e == NULL && record->ratio >= RECORD_MIN * RATIO_UNIT) {
        e = get_entry(ts, record->cookie, now);
    }
    if (e == NULL || is_known(e, taken)) {
        return;
    }
    ts->counters.learned++;
    e->by_peer = true;
    became_slow = add_evidence(ts, e, taken, now);
    if (!relay) {
        return;
    }
    if (became_slow) {
        add_latest_news(ts, e, now);
    }
    else if (age < RELAY_AGE_MAX_US && now < e->reduced_until) {
        add_news(ts, record->cookie, taken);
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

size_t
target_speed_export(struct target_speed *ts, struct slow_target_record *out,
                    size_t max, bool reduced, uint64_t now)
{
    size_t count = 0;
    guint kept = 0;

    for (guint i = 0; i < ts->news->len; i++) {
        const struct news news = g_array_index(ts->news, struct news, i);

        if (count == max ||
            target_speed_is_reduced(ts, news.cookie, now) != reduced) {
            g_array_index(ts->news, struct news, kept) = news;
            kept++;
            continue;
        }
        out[count] = (struct slow_target_record){
            .cookie = news.cookie,
            .ratio = news.taken.ratio,
            .age_ms = (uint32_t)((now - news.taken.at) / USEC_PER_MSEC)};
        count++;
    }
    g_array_set_size(ts->news, kept);
    ts->counters.sent += count;
    return count;
}

bool
target_speed_has_evidence(const struct target_speed *ts)
{
    return g_hash_table_size(ts->entries) > 0;
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
            now >= e->reduced_until) {
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
target_speed_told_by_peer(const struct target_speed *ts, uint32_t cookie)
{
    const struct entry *e = find_entry(ts, cookie);

    return e != NULL && e->by_peer;
}

size_t
target_speed_slow_count(const struct target_speed *ts, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;
    size_t count = 0;

    g_hash_table_iter_init(&iter, ts->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct entry *e = value;

        count += decayed(e, now) >= log(TARGET_SPEED_SLOW);
    }
    return count;
}

const struct target_speed_counters *
target_speed_counters(const struct target_speed *ts)
{
    return &ts->counters;
}
