#include "coordination/admission.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define QUEUED_CLASSES CLASS_STREAM /* the classes before it are queued */
#define GAP_EWMA_WEIGHT 0.0625      /* of the newest sample */
#define DURATION_EWMA_WEIGHT 0.0625
#define DEVIATIONS 4.0     /* of the duration, kept free before a deadline */
#define STANDING_SHARE 1.0 /* of the time to the deadline */
#define STANDING_DURATIONS                                                    \
    4.0                  /* mean durations that a standing queue holds        \
                          */
#define WAIT_MARGIN 1.25 /* on the estimated wait */
#define STALL_GAPS 8.0   /* gaps without a completion that count as a stall */
#define CREDIT_MAX 8.0   /* mean durations a tenant may save or owe */
#define DOWNLOAD_TURN 16 /* every 16th start may be a waiting download */
#define RETRY_AFTER_MIN_MS 100.0
#define RETRY_AFTER_MAX_MS 30000.0

/* A tenant with waiting requests of one class. */
struct admission_tenant {
    struct list link; /* in admission_class.tenants */
    struct list entries;
    enum traffic_class class;
    uint32_t count;
    double deficit_us; /* slot time that it may still use in this turn */
    char name[ID_SIZE];
};

struct admission_class {
    struct list tenants; /* with waiting requests; the first has the turn */
    uint32_t count;
    uint64_t began_us;     /* since when some wait without a break */
    uint64_t last_done_us; /* last completion, or when the queue began */
    double gap_us;      /* EWMA between completions while some wait, 0: none */
    double duration_us; /* EWMA of the time in a slot, 0: none */
    double deviation_us; /* EWMA of its absolute deviation */
};

struct admission {
    struct admission_limits limits;
    struct random *random;
    struct admission_class classes[QUEUED_CLASSES];
    uint64_t next_expiry_us; /* not later than the first expiry */
    uint32_t turn;           /* starts since the last turn of downloads */
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

/* Slot time that a tenant gets with each turn, and is charged for a request
 * whose real duration is not yet known. */
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

/* Requests that start before the next one of a tenant with "own" waiting
 * requests: those of classes that go first, and in the tenant's own class as
 * many of each other tenant as it has itself. */
static uint32_t
requests_ahead(const struct admission *adm, enum traffic_class class,
               const struct admission_tenant *tenant)
{
    const struct admission_class *c = &adm->classes[class];
    uint32_t own = tenant != NULL ? tenant->count : 0;
    uint32_t ahead = own;

    for (int i = 0; i < (int)class; i++) {
        ahead += adm->classes[i].count;
    }
    list_for_each (it, &c->tenants) {
        const struct admission_tenant *t =
            container_of(it, struct admission_tenant, link);

        if (tenant == NULL || t != tenant) {
            ahead += t->count <= own ? t->count : own + 1;
        }
    }
    return ahead;
}

/* Mean time between two completions of the class, which is the time between
 * two starts while some wait. When nothing was completed for many gaps the
 * queue is stalled, and the time since then counts instead. */
static double
drain_gap_us(const struct admission_class *c, uint64_t now)
{
    double since = (double)(now - c->last_done_us);

    if (c->count > 0 && c->gap_us > 0 && since > STALL_GAPS * c->gap_us) {
        return since;
    }
    return c->gap_us;
}

/* Time in a slot that nearly all requests of the class stay below. */
static double
long_duration_us(const struct admission_class *c)
{
    return c->duration_us + DEVIATIONS * c->deviation_us;
}

/* Half of the time that is left, but not so little that attempts are given up
 * which are merely long: the target would run them to the end all the same,
 * and the retry would run beside them. */
uint64_t
admission_attempt_timeout_us(const struct admission *adm,
                             enum traffic_class class, uint64_t deadline_us,
                             uint64_t now)
{
    uint64_t left = deadline_us > now ? deadline_us - now : 0;
    uint64_t least;

    if (class >= QUEUED_CLASSES) {
        return left;
    }
    least = (uint64_t)long_duration_us(&adm->classes[class]);
    if (least < left / 2) {
        least = left / 2;
    }
    return least < left ? least : left;
}

/* A queue that does not empty for long holds no burst but more than the
 * targets can do. */
static bool
is_standing(const struct admission_class *c, double left, uint64_t now)
{
    return c->count > 0 && (double)(now - c->began_us) > STANDING_SHARE * left;
}

/* Time in which a new request must start. To be answered by its deadline it
 * leaves room for a long duration, but never more than half of what is left.
 * A standing queue is kept short, as it makes every answer late without
 * letting more through (compare CoDel, RFC 8289, section 3). */
static double
start_within_us(const struct admission_class *c, uint64_t deadline_us,
                uint64_t now)
{
    double left = deadline_us > now ? (double)(deadline_us - now) : 0;
    double within = left - fmin(long_duration_us(c), left / 2);

    if (is_standing(c, left, now)) {
        within = fmin(within, STANDING_DURATIONS * c->duration_us);
    }
    return within;
}

/* Rounds a wait to milliseconds with jitter of half either way, so that
 * refused callers do not come back together. */
static uint32_t
retry_after_ms(struct admission *adm, double wait_us)
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

    return retry_after_ms(adm, drain_gap_us(c, now) * c->count);
}

/* A tenant may hold as many places as are still free (Choudhury and Hahne
 * 1998): one alone gets at most half of the queue, and many share it
 * evenly. */
static bool
has_place(const struct admission *adm, const struct admission_class *c,
          const struct admission_tenant *tenant)
{
    uint32_t own = tenant != NULL ? tenant->count : 0;

    return c->count < adm->limits.queue && own < adm->limits.queue - c->count;
}

/* Links an entry whose times are set: at the tail of its tenant's queue, or
 * at the head. */
static void
link_entry(struct admission *adm, struct admission_tenant *tenant,
           struct admission_entry *entry, bool at_head, uint64_t now)
{
    struct admission_class *c = &adm->classes[tenant->class];

    if (c->count == 0) {
        c->began_us = now;
        c->last_done_us = now;
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

/* Queues a request or refuses it at once. The wait is estimated from the
 * requests ahead and the measured gap between completions. */
enum error_kind
admission_offer(struct admission *adm, struct admission_entry *entry,
                const char *tenant, enum traffic_class class,
                uint64_t deadline_us, uint64_t now, uint32_t *retry_after)
{
    struct admission_class *c;
    struct admission_tenant *t;
    double within;
    double wait;

    assert(class < QUEUED_CLASSES);
    c = &adm->classes[class];
    t = find_tenant(c, tenant);
    if (!has_place(adm, c, t)) {
        *retry_after = admission_retry_after_ms(adm, class, now);
        return ERR_OVERLOADED;
    }
    within = start_within_us(c, deadline_us, now);
    wait = WAIT_MARGIN * drain_gap_us(c, now) * requests_ahead(adm, class, t);
    if (deadline_us <= now || wait > within) {
        *retry_after = retry_after_ms(adm, wait - within);
        return ERR_DEADLINE;
    }
    t = t != NULL ? t : tenant_new(c, tenant, class);
    if (t == NULL) {
        *retry_after = admission_retry_after_ms(adm, class, now);
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

/* The class that starts next: in the order of the enumeration, but waiting
 * downloads get a turn now and then, so that they do not starve. */
static struct admission_class *
class_with_turn(struct admission *adm)
{
    if (adm->turn >= DOWNLOAD_TURN && adm->classes[CLASS_DOWNLOAD].count > 0) {
        return &adm->classes[CLASS_DOWNLOAD];
    }
    for (int i = 0; i < QUEUED_CLASSES; i++) {
        if (adm->classes[i].count > 0) {
            return &adm->classes[i];
        }
    }
    return NULL;
}

/* Passes the turn on from a tenant that has used up its slot time. What is
 * left, or owed, counts in its next turn. */
static void
pass_turn(struct admission_class *c, struct admission_tenant *t)
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
    struct admission_class *c = class_with_turn(adm);
    struct admission_tenant *t;

    if (c == NULL) {
        return NULL;
    }
    t = container_of(c->tenants.next, struct admission_tenant, link);
    while (turn_is_over(c, t)) {
        pass_turn(c, t);
        t = container_of(c->tenants.next, struct admission_tenant, link);
    }
    return container_of(t->entries.next, struct admission_entry, link);
}

/* Unlinks an entry; a tenant without waiting requests is forgotten. */
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

/* Takes the entry out. The tenant is charged the mean duration now;
 * admission_completed() corrects it to the real one. */
void
admission_start(struct admission *adm, struct admission_entry *entry)
{
    struct admission_tenant *t = entry->tenant;
    struct admission_class *c = &adm->classes[t->class];

    adm->turn = t->class == CLASS_DOWNLOAD ? 0 : adm->turn + 1;
    t->deficit_us -= quantum_us(c);
    if (turn_is_over(c, t)) {
        pass_turn(c, t);
    }
    admission_remove(adm, entry);
}

/* Takes out the first expired request of a class; lowers "next" to the
 * earliest expiry of those that stay. */
static struct admission_entry *
expired_in_class(struct admission_class *c, uint64_t now, uint64_t *next)
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
admission_expired(struct admission *adm, uint64_t now)
{
    uint64_t next = UINT64_MAX;

    if (now <= adm->next_expiry_us) {
        return NULL;
    }
    for (int i = 0; i < QUEUED_CLASSES; i++) {
        struct admission_entry *entry =
            expired_in_class(&adm->classes[i], now, &next);

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

/* Only gaps while some wait tell how fast the queue drains. */
static void
update_gap(struct admission_class *c, uint64_t now)
{
    double gap = (double)(now - c->last_done_us);

    if (c->count == 0) {
        return;
    }
    c->last_done_us = now;
    if (c->gap_us == 0) {
        c->gap_us = gap;
        return;
    }
    c->gap_us += GAP_EWMA_WEIGHT * (gap - c->gap_us);
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
    update_gap(c, now);
    mean = c->duration_us > 0 ? c->duration_us : sample;
    c->duration_us = mean + DURATION_EWMA_WEIGHT * (sample - mean);
    c->deviation_us +=
        DURATION_EWMA_WEIGHT * (fabs(sample - mean) - c->deviation_us);
    t = find_tenant(c, tenant);
    if (t != NULL) {
        t->deficit_us -= sample - mean;
        t->deficit_us = fmin(t->deficit_us, CREDIT_MAX * mean);
        t->deficit_us = fmax(t->deficit_us, -CREDIT_MAX * mean);
    }
}

uint32_t
admission_waiting(const struct admission *adm, enum traffic_class class)
{
    return class < QUEUED_CLASSES ? adm->classes[class].count : 0;
}
