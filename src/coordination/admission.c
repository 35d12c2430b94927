#include "coordination/admission.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* Number of queued classes, which are those before CLASS_STREAM */
#define QUEUED_CLASSES CLASS_STREAM
#define GAP_EWMA_WEIGHT 0.0625      /* weight of the newest gap */
#define DURATION_EWMA_WEIGHT 0.0625 /* weight of the newest duration */
/* A long duration is the mean plus this many mean absolute deviations; that
 * much time is kept free before a deadline. */
#define LONG_DURATION_DEVIATIONS 4.0
/* A queue is standing once it has been non-empty for longer than this share of
 * the time that a new request has left until its deadline. */
#define STANDING_TIME_SHARE 1.0
/* Maximum wait of a new request in a standing queue, in mean durations */
#define STANDING_WAIT_DURATIONS 4.0
#define WAIT_MARGIN 1.25 /* safety factor on the estimated wait */
/* A queue is stalled when nothing has completed for this many mean gaps. */
#define STALL_GAPS 8.0
/* Maximum slot time that a tenant may save or owe, in mean durations */
#define CREDIT_DURATIONS_MAX 8.0
/* After this many starts of other classes a waiting download goes first. */
#define DOWNLOAD_TURN_STARTS 16
/* Bounds of the advised retry delay, before jitter */
#define RETRY_AFTER_MIN_MS 100.0
#define RETRY_AFTER_MAX_MS 30000.0

/* A tenant with waiting requests of one class. */
struct admission_tenant {
    struct list link; /* in admission_class.tenants */
    /* struct admission_entry, linked by "link"; the first one starts first */
    struct list entries;
    enum traffic_class class;
    uint32_t count;    /* number of entries */
    double deficit_us; /* slot time left in this turn; negative: owed */
    char name[ID_SIZE];
};

struct admission_class {
    /* Tenants with waiting requests; the first one has the turn */
    struct list tenants;
    uint32_t count;             /* number of waiting requests */
    uint64_t nonempty_since_us; /* time at which the queue became non-empty */
    /* Time of the last completion while requests waited, or the time at which
     * the queue became non-empty if that is later */
    uint64_t last_completion_us;
    /* EWMA of the time between completions while requests wait; 0: no sample
     * yet */
    double completion_gap_us;
    double duration_us;  /* EWMA of the time in a slot; 0: no sample yet */
    double deviation_us; /* EWMA of the absolute deviation of that time */
};

struct admission {
    struct admission_limits limits;
    struct random *random;
    struct admission_class classes[QUEUED_CLASSES];
    /* Lower bound of the first expiry; UINT64_MAX: none */
    uint64_t next_expiry_us;
    uint32_t starts_since_download;
};

struct admission *
admission_new(const struct admission_limits *limits, struct random *random)
{
    struct admission *adm = calloc(1, sizeof(*adm));

    if (adm == NULL) {
        return NULL;
    }
    adm->limits = *limits;
    adm->random = random;
    adm->next_expiry_us = UINT64_MAX;
    for (int i = 0; i < QUEUED_CLASSES; i++) {
        list_init(&adm->classes[i].tenants);
    }
    return adm;
}

void
admission_destroy(struct admission *adm)
{
    if (adm == NULL) {
        return;
    }
    for (int i = 0; i < QUEUED_CLASSES; i++) {
        assert(adm->classes[i].count == 0);
    }
    free(adm);
}

static struct admission_tenant *
find_tenant(const struct admission_class *c, const char *name)
{
    list_for_each (it, &c->tenants) {
        struct admission_tenant *t =
            container_of(it, struct admission_tenant, link);

        if (strcmp(t->name, name) == 0) {
            return t;
        }
    }
    return NULL;
}

/* Slot time that a tenant gets with each turn. The tenant is also charged this
 * much for each request until the real duration is known. */
static double
quantum_us(const struct admission_class *c)
{
    return c->duration_us > 0 ? c->duration_us : 1;
}

static struct admission_tenant *
tenant_new(struct admission_class *c, const char *name,
           enum traffic_class class)
{
    struct admission_tenant *t = calloc(1, sizeof(*t));

    if (t == NULL) {
        return NULL;
    }
    list_init(&t->entries);
    t->class = class;
    t->deficit_us = quantum_us(c);
    strncpy(t->name, name, sizeof(t->name) - 1);
    list_push_back(&c->tenants, &t->link);
    return t;
}

/* Number of requests that start before the next one of a tenant; NULL stands
 * for a tenant without waiting requests. Counts all requests of the classes
 * that go first. Within the class itself, counts the tenant's own requests
 * and, because the tenants take turns, at most one more than that number for
 * each other tenant. */
static uint32_t
requests_ahead(const struct admission *adm, enum traffic_class class,
               const struct admission_tenant *tenant)
{
    const struct admission_class *c = &adm->classes[class];
    uint32_t own_count = tenant != NULL ? tenant->count : 0;
    uint32_t ahead = own_count;

    for (int i = 0; i < (int)class; i++) {
        ahead += adm->classes[i].count;
    }
    list_for_each (it, &c->tenants) {
        const struct admission_tenant *t =
            container_of(it, struct admission_tenant, link);

        if (tenant == NULL || t != tenant) {
            ahead += t->count <= own_count ? t->count : own_count + 1;
        }
    }
    return ahead;
}

/* Mean time between two completions of the class. While requests wait this is
 * also the time between two starts. When nothing has completed for STALL_GAPS
 * mean gaps, the queue is stalled, and the time since the last completion is
 * returned instead. */
static double
drain_gap_us(const struct admission_class *c, uint64_t now)
{
    double since_completion = (double)(now - c->last_completion_us);

    if (c->count > 0 && c->completion_gap_us > 0 &&
        since_completion > STALL_GAPS * c->completion_gap_us) {
        return since_completion;
    }
    return c->completion_gap_us;
}

/* Time in a slot that nearly no request of the class exceeds. */
static double
long_duration_us(const struct admission_class *c)
{
    return c->duration_us + LONG_DURATION_DEVIATIONS * c->deviation_us;
}

/* Half of the time that is left, but at least a long duration. An attempt that
 * is abandoned sooner may only be slow: its target would still run it to the
 * end, in parallel with the retry. */
uint64_t
admission_attempt_timeout_us(const struct admission *adm,
                             enum traffic_class class, uint64_t deadline_us,
                             uint64_t now)
{
    uint64_t left = deadline_us > now ? deadline_us - now : 0;
    uint64_t timeout;

    if (class >= QUEUED_CLASSES) {
        return left;
    }
    timeout = (uint64_t)long_duration_us(&adm->classes[class]);
    if (timeout < left / 2) {
        timeout = left / 2;
    }
    return timeout < left ? timeout : left;
}

/* Whether the queue is standing, for a new request that has "left"
 * microseconds until its deadline. A queue that stays non-empty for that long
 * is not due to a burst: more requests arrive than the targets can serve. */
static bool
is_standing(const struct admission_class *c, double left, uint64_t now)
{
    return c->count > 0 &&
           (double)(now - c->nonempty_since_us) > STANDING_TIME_SHARE * left;
}

/* Time within which a new request must start. It leaves room for a long
 * duration before the deadline, but for no more than half of the time that is
 * left. The wait in a standing queue is kept short, because a standing queue
 * delays every answer without raising throughput (compare CoDel, RFC 8289,
 * section 3). */
static double
start_within_us(const struct admission_class *c, uint64_t deadline_us,
                uint64_t now)
{
    double left = deadline_us > now ? (double)(deadline_us - now) : 0;
    double start_within = left - fmin(long_duration_us(c), left / 2);

    if (is_standing(c, left, now)) {
        start_within =
            fmin(start_within, STANDING_WAIT_DURATIONS * c->duration_us);
    }
    return start_within;
}

/* Converts a wait to a retry delay in milliseconds. The jitter of half either
 * way keeps refused callers from returning at the same time. */
static uint32_t
to_retry_after_ms(struct admission *adm, double wait_us)
{
    double jitter = 0.5 + random_unit(adm->random);
    double ms = wait_us / USEC_PER_MSEC;

    ms = fmin(fmax(ms, RETRY_AFTER_MIN_MS), RETRY_AFTER_MAX_MS);
    return (uint32_t)(ms * jitter);
}

uint32_t
admission_retry_after_ms(struct admission *adm, enum traffic_class class,
                         uint64_t now)
{
    const struct admission_class *c = &adm->classes[class];

    return to_retry_after_ms(adm, drain_gap_us(c, now) * c->count);
}

/* Whether a tenant may queue one more request. Its waiting requests may take
 * as many places of the queue as are still free (Choudhury and Hahne 1998): a
 * single tenant gets at most half of the queue, and many tenants share it
 * evenly. */
static bool
has_queue_space(const struct admission *adm, const struct admission_class *c,
                const struct admission_tenant *tenant)
{
    uint32_t own_count = tenant != NULL ? tenant->count : 0;

    return c->count < adm->limits.queue &&
           own_count < adm->limits.queue - c->count;
}

/* Links an entry whose times are set at the head or at the tail of its
 * tenant's queue. */
static void
link_entry(struct admission *adm, struct admission_tenant *tenant,
           struct admission_entry *entry, bool at_head, uint64_t now)
{
    struct admission_class *c = &adm->classes[tenant->class];

    if (c->count == 0) {
        c->nonempty_since_us = now;
        c->last_completion_us = now;
    }
    if (entry->start_by_us < adm->next_expiry_us) {
        adm->next_expiry_us = entry->start_by_us;
    }
    if (at_head) {
        list_push_front(&tenant->entries, &entry->link);
    }
    else {
        list_push_back(&tenant->entries, &entry->link);
    }
    entry->tenant = tenant;
    tenant->count++;
    c->count++;
}

static void
set_times(const struct admission_class *c, struct admission_entry *entry,
          uint64_t deadline_us, uint64_t now)
{
    uint64_t duration = (uint64_t)c->duration_us;

    entry->queued_us = now;
    entry->start_by_us = deadline_us > duration ? deadline_us - duration : 0;
}

/* The wait is estimated from the number of requests ahead and the measured gap
 * between completions. */
enum error_kind
admission_enqueue(struct admission *adm, struct admission_entry *entry,
                  const char *tenant, enum traffic_class class,
                  uint64_t deadline_us, uint64_t now, uint32_t *retry_after_ms)
{
    struct admission_class *c;
    struct admission_tenant *t;
    double start_within;
    double wait;

    assert(class < QUEUED_CLASSES);
    c = &adm->classes[class];
    t = find_tenant(c, tenant);
    if (!has_queue_space(adm, c, t)) {
        *retry_after_ms = admission_retry_after_ms(adm, class, now);
        return ERR_OVERLOADED;
    }
    start_within = start_within_us(c, deadline_us, now);
    wait = WAIT_MARGIN * drain_gap_us(c, now) * requests_ahead(adm, class, t);
    if (deadline_us <= now || wait > start_within) {
        *retry_after_ms = to_retry_after_ms(adm, wait - start_within);
        return ERR_DEADLINE;
    }
    t = t != NULL ? t : tenant_new(c, tenant, class);
    if (t == NULL) {
        *retry_after_ms = admission_retry_after_ms(adm, class, now);
        return ERR_NO_MEMORY;
    }
    set_times(c, entry, deadline_us, now);
    link_entry(adm, t, entry, false, now);
    return ERR_NONE;
}

bool
admission_requeue(struct admission *adm, struct admission_entry *entry,
                  const char *tenant, enum traffic_class class, uint64_t now)
{
    struct admission_class *c = &adm->classes[class];
    struct admission_tenant *t = find_tenant(c, tenant);

    t = t != NULL ? t : tenant_new(c, tenant, class);
    if (t == NULL) {
        return false;
    }
    t->deficit_us += quantum_us(c);
    link_entry(adm, t, entry, true, now);
    return true;
}

/* Returns the class whose request starts next, or NULL when none waits. The
 * order is that of enum traffic_class, but after DOWNLOAD_TURN_STARTS other
 * starts a waiting download goes first, so that downloads do not starve. */
static struct admission_class *
next_class(struct admission *adm)
{
    if (adm->starts_since_download >= DOWNLOAD_TURN_STARTS &&
        adm->classes[CLASS_DOWNLOAD].count > 0) {
        return &adm->classes[CLASS_DOWNLOAD];
    }
    for (int i = 0; i < QUEUED_CLASSES; i++) {
        if (adm->classes[i].count > 0) {
            return &adm->classes[i];
        }
    }
    return NULL;
}

/* Moves a tenant that has used up its slot time to the end of the turn order
 * and grants it the slot time of its next turn. Time that is left or owed
 * carries over. */
static void
end_turn(struct admission_class *c, struct admission_tenant *t)
{
    t->deficit_us += quantum_us(c);
    list_remove(&t->link);
    list_push_back(&c->tenants, &t->link);
}

static bool
turn_is_over(const struct admission_class *c, const struct admission_tenant *t)
{
    return t->deficit_us < quantum_us(c) / 2;
}

struct admission_entry *
admission_peek(struct admission *adm)
{
    struct admission_class *c = next_class(adm);
    struct admission_tenant *t;

    if (c == NULL) {
        return NULL;
    }
    t = container_of(c->tenants.next, struct admission_tenant, link);
    while (turn_is_over(c, t)) {
        end_turn(c, t);
        t = container_of(c->tenants.next, struct admission_tenant, link);
    }
    return container_of(t->entries.next, struct admission_entry, link);
}

/* A tenant is freed with its last waiting request. */
void
admission_remove(struct admission *adm, struct admission_entry *entry)
{
    struct admission_tenant *t = entry->tenant;
    struct admission_class *c = &adm->classes[t->class];

    list_remove(&entry->link);
    entry->tenant = NULL;
    c->count--;
    t->count--;
    if (t->count == 0) {
        list_remove(&t->link);
        free(t);
    }
}

/* The tenant is charged the mean duration now; admission_completed() corrects
 * the charge to the real duration. */
void
admission_start(struct admission *adm, struct admission_entry *entry)
{
    struct admission_tenant *t = entry->tenant;
    struct admission_class *c = &adm->classes[t->class];

    adm->starts_since_download =
        t->class == CLASS_DOWNLOAD ? 0 : adm->starts_since_download + 1;
    t->deficit_us -= quantum_us(c);
    if (turn_is_over(c, t)) {
        end_turn(c, t);
    }
    admission_remove(adm, entry);
}

/* Returns the first expired request of a class, or NULL. Lowers "next" to the
 * earliest expiry of the requests that have not expired. */
static struct admission_entry *
find_expired(struct admission_class *c, uint64_t now, uint64_t *next)
{
    list_for_each (it, &c->tenants) {
        struct admission_tenant *t =
            container_of(it, struct admission_tenant, link);

        list_for_each (e, &t->entries) {
            struct admission_entry *entry =
                container_of(e, struct admission_entry, link);

            if (entry->start_by_us < now) {
                return entry;
            }
            if (entry->start_by_us < *next) {
                *next = entry->start_by_us;
            }
        }
    }
    return NULL;
}

struct admission_entry *
admission_take_expired(struct admission *adm, uint64_t now)
{
    uint64_t next = UINT64_MAX;

    if (now <= adm->next_expiry_us) {
        return NULL;
    }
    for (int i = 0; i < QUEUED_CLASSES; i++) {
        struct admission_entry *entry =
            find_expired(&adm->classes[i], now, &next);

        if (entry != NULL) {
            admission_remove(adm, entry);
            return entry;
        }
    }
    adm->next_expiry_us = next;
    return NULL;
}

uint64_t
admission_next_expiry_us(const struct admission *adm)
{
    return adm->next_expiry_us;
}

/* Only completions while requests wait show how fast the queue drains. */
static void
update_completion_gap(struct admission_class *c, uint64_t now)
{
    double gap = (double)(now - c->last_completion_us);

    if (c->count == 0) {
        return;
    }
    c->last_completion_us = now;
    if (c->completion_gap_us == 0) {
        c->completion_gap_us = gap;
        return;
    }
    c->completion_gap_us += GAP_EWMA_WEIGHT * (gap - c->completion_gap_us);
}

void
admission_completed(struct admission *adm, enum traffic_class class,
                    const char *tenant, uint64_t duration_us, uint64_t now)
{
    struct admission_class *c;
    struct admission_tenant *t;
    double sample = (double)duration_us;
    double mean;

    if (class >= QUEUED_CLASSES) {
        return;
    }
    c = &adm->classes[class];
    update_completion_gap(c, now);
    mean = c->duration_us > 0 ? c->duration_us : sample;
    c->duration_us = mean + DURATION_EWMA_WEIGHT * (sample - mean);
    c->deviation_us +=
        DURATION_EWMA_WEIGHT * (fabs(sample - mean) - c->deviation_us);
    t = find_tenant(c, tenant);
    if (t != NULL) {
        t->deficit_us -= sample - mean;
        t->deficit_us = fmin(t->deficit_us, CREDIT_DURATIONS_MAX * mean);
        t->deficit_us = fmax(t->deficit_us, -CREDIT_DURATIONS_MAX * mean);
    }
}

uint32_t
admission_waiting_count(const struct admission *adm, enum traffic_class class)
{
    return class < QUEUED_CLASSES ? adm->classes[class].count : 0;
}
