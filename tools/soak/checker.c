#include "checker.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

#define WORD_SIZE 48
#define TEXT_SIZE 256
/* So many packets of a flow at targets that do not hold it, and none at its
 * own, are no accident; counted for so long. */
#define STRAYS_MAX 3
#define STRAY_MS 2000

struct subject {
    unsigned faults; /* going on */
    uint64_t ended;  /* the last of them */
};

struct version {
    int services[CHECKER_ROUTES_MAX];
    uint64_t acked; /* 0: not yet */
};

struct balancer {
    unsigned process;  /* number of its start */
    uint64_t stopping; /* 0: it is not */
    unsigned seen; /* at least this version was in force, in this process */
    uint64_t seen_at;
};

struct target {
    int service;
    uint64_t ready;
    uint64_t leaving; /* 0: it is not */
};

struct flow {
    struct checker_flow_key key;
    uint64_t opening_at; /* last opening handed on */
    unsigned balancer;
    unsigned process;
    uint64_t opened_at; /* first accepted */
    int holder;         /* target that ran a request of it; -1: none yet */
    GArray *targets;    /* unsigned, those that accepted it */
    unsigned strays;
    uint64_t stray_at;
};

struct checker {
    struct checker_bounds bounds;
    checker_broken_cb cb;
    void *ctx;
    GArray *subjects[SUBJECT_COUNT]; /* struct subject */
    GArray *versions;                /* struct version */
    GArray *balancers;               /* struct balancer */
    GArray *targets;                 /* struct target */
    GHashTable *flows;               /* key -> struct flow */
    GHashTable *unsafe;              /* text of each unsafe request that ran */
};

static const char *const promise_names[PROMISE_COUNT] = {
    [PROMISE_ONCE] = "an unsafe request runs at most once",
    [PROMISE_SERVICE] = "no flow opens at another service's target",
    [PROMISE_ANSWER] = "answers are whole and the caller's own",
    [PROMISE_FLOW] = "an open flow of a living target is not ended",
    [PROMISE_DRAIN] = "no new flow at a leaving target past the bound",
    [PROMISE_CHANGE] = "no older configuration past the bound",
    [PROMISE_REVERT] = "no configuration goes back within a process",
    [PROMISE_SERVED] = "what can be served is not refused",
    [PROMISE_RECOVER] = "all is served again within the bound",
    [PROMISE_GRACE] = "a planned stop ends within its grace",
    [PROMISE_ALIVE] = "no process ends by itself",
    [PROMISE_BOUNDED] = "memory, descriptors and logs stay within limits",
};

const char *
promise_name(enum promise promise)
{
    return promise_names[promise];
}

static guint
key_hash(gconstpointer p)
{
    const struct checker_flow_key *key = p;

    return key->caller * 31 + key->port * 17U + key->route;
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(struct checker_flow_key)) == 0;
}

static void
flow_free(gpointer p)
{
    struct flow *flow = p;

    g_array_free(flow->targets, TRUE);
    g_free(flow);
}

struct checker *
checker_new(const struct checker_bounds *bounds, checker_broken_cb cb,
            void *ctx)
{
    struct checker *c = g_new0(struct checker, 1);

    c->bounds = *bounds;
    c->cb = cb;
    c->ctx = ctx;
    for (int i = 0; i < SUBJECT_COUNT; i++) {
        c->subjects[i] = g_array_new(FALSE, TRUE, sizeof(struct subject));
    }
    c->versions = g_array_new(FALSE, TRUE, sizeof(struct version));
    c->balancers = g_array_new(FALSE, TRUE, sizeof(struct balancer));
    c->targets = g_array_new(FALSE, TRUE, sizeof(struct target));
    c->flows = g_hash_table_new_full(key_hash, key_equal, NULL, flow_free);
    c->unsafe = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return c;
}

void
checker_destroy(struct checker *c)
{
    for (int i = 0; i < SUBJECT_COUNT; i++) {
        g_array_free(c->subjects[i], TRUE);
    }
    g_array_free(c->versions, TRUE);
    g_array_free(c->balancers, TRUE);
    g_array_free(c->targets, TRUE);
    g_hash_table_destroy(c->flows);
    g_hash_table_destroy(c->unsafe);
    g_free(c);
}

/* The element of an array that grows as needed. */
static void *
element(GArray *array, size_t size, unsigned index)
{
    if (index >= array->len) {
        g_array_set_size(array, index + 1);
    }
    return array->data + (size_t)index * size;
}

static struct subject *
subject_get(struct checker *c, enum checker_subject kind, unsigned index)
{
    return element(c->subjects[kind], sizeof(struct subject), index);
}

static struct balancer *
balancer_get(struct checker *c, unsigned index)
{
    return element(c->balancers, sizeof(struct balancer), index);
}

static struct target *
target_get(struct checker *c, unsigned index)
{
    return element(c->targets, sizeof(struct target), index);
}

/* Whether a subject has been well for long enough at "at". A fault that began
 * since then counts too: what is seen may be later than what led to it. */
static bool
is_calm(struct checker *c, enum checker_subject kind, unsigned index,
        uint64_t at)
{
    const struct subject *s = subject_get(c, kind, index);

    return s->faults == 0 &&
           (s->ended == 0 || at >= s->ended + c->bounds.calm_ms);
}

/* Whether the bounds on changes hold for a balancer. */
static bool
bounds_hold(struct checker *c, unsigned balancer, uint64_t at)
{
    return is_calm(c, SUBJECT_STORE, 0, at) &&
           is_calm(c, SUBJECT_BALANCER, balancer, at) &&
           balancer_get(c, balancer)->stopping == 0;
}

static void
broken(struct checker *c, enum promise promise, const char *text,
       const struct checker_flow_key *key, int balancer, int target)
{
    char words[3][WORD_SIZE];
    const char *list[4] = {NULL};
    size_t count = 0;

    if (key != NULL) {
        snprintf(words[count], WORD_SIZE, "flow=%08x:%u:%u ", key->caller,
                 key->port, key->route);
        list[count] = words[count];
        count++;
    }
    if (balancer >= 0) {
        snprintf(words[count], WORD_SIZE, "balancer=%d ", balancer);
        list[count] = words[count];
        count++;
    }
    if (target >= 0) {
        snprintf(words[count], WORD_SIZE, "target=%d ", target);
        list[count] = words[count];
    }
    c->cb(c->ctx, promise, text, list);
}

void
checker_report(struct checker *c, enum promise promise, const char *text,
               const char *word)
{
    const char *words[] = {word, NULL};

    c->cb(c->ctx, promise, text, words);
}

void
checker_disturb(struct checker *c, enum checker_subject kind, unsigned index,
                uint64_t now)
{
    subject_get(c, kind, index)->faults++;
}

void
checker_calm(struct checker *c, enum checker_subject kind, unsigned index,
             uint64_t now)
{
    struct subject *s = subject_get(c, kind, index);

    g_assert(s->faults > 0);
    s->faults--;
    s->ended = now;
}

unsigned
checker_config_sent(struct checker *c, const int services[CHECKER_ROUTES_MAX])
{
    struct version version = {0};

    memcpy(version.services, services, sizeof(version.services));
    g_array_append_val(c->versions, version);
    return c->versions->len - 1;
}

void
checker_config_acked(struct checker *c, unsigned version, uint64_t now)
{
    g_array_index(c->versions, struct version, version).acked = now;
}

void
checker_balancer_started(struct checker *c, unsigned balancer, uint64_t now)
{
    struct balancer *b = balancer_get(c, balancer);

    b->process++;
    b->stopping = 0;
    b->seen = 0;
    b->seen_at = 0;
    checker_disturb(c, SUBJECT_BALANCER, balancer, now);
    checker_calm(c, SUBJECT_BALANCER, balancer, now);
}

void
checker_balancer_stopping(struct checker *c, unsigned balancer, uint64_t now)
{
    balancer_get(c, balancer)->stopping = now;
}

void
checker_target_ready(struct checker *c, unsigned target, int service,
                     uint64_t now)
{
    struct target *t = target_get(c, target);

    t->service = service;
    t->ready = now;
}

void
checker_target_leaving(struct checker *c, unsigned target, uint64_t now)
{
    struct target *t = target_get(c, target);

    if (t->leaving == 0) {
        t->leaving = now;
    }
}

static struct flow *
flow_get(struct checker *c, const struct checker_flow_key *key)
{
    struct flow *flow = g_hash_table_lookup(c->flows, key);

    if (flow == NULL) {
        flow = g_new0(struct flow, 1);
        flow->key = *key;
        flow->holder = -1;
        flow->targets = g_array_new(FALSE, FALSE, sizeof(unsigned));
        g_hash_table_insert(c->flows, &flow->key, flow);
    }
    return flow;
}

void
checker_opening(struct checker *c, const struct checker_flow_key *key,
                unsigned balancer, uint64_t now)
{
    struct flow *flow = flow_get(c, key);

    flow->opening_at = now;
    flow->balancer = balancer;
    flow->process = balancer_get(c, balancer)->process;
}

static struct version *
version_get(struct checker *c, unsigned version)
{
    return &g_array_index(c->versions, struct version, version);
}

/* Whether a version may still be in force for what is sent at "at". */
static bool
may_be_in_force(struct checker *c, unsigned version, uint64_t at)
{
    const struct version *next;

    if (version + 1 == c->versions->len) {
        return true;
    }
    next = version_get(c, version + 1);
    return next->acked == 0 || next->acked + c->bounds.change_ms >= at;
}

static bool
check_service(struct checker *c, const struct flow *flow, unsigned target)
{
    int service = target_get(c, target)->service;

    for (guint i = 0; i < c->versions->len; i++) {
        if (version_get(c, i)->services[flow->key.route] == service) {
            return true;
        }
    }
    broken(c, PROMISE_SERVICE, "no configuration sends this route there",
           &flow->key, (int)flow->balancer, (int)target);
    return false;
}

static void
check_drain(struct checker *c, const struct flow *flow, unsigned target,
            uint64_t now)
{
    const struct target *t = target_get(c, target);
    char text[TEXT_SIZE];

    if (t->leaving == 0 ||
        now <= t->leaving + c->bounds.drain_ms + c->bounds.slack_ms ||
        !bounds_hold(c, flow->balancer, flow->opening_at) ||
        !is_calm(c, SUBJECT_TARGET, target, now)) {
        return;
    }
    snprintf(text, sizeof(text), "it has been leaving for %lu ms",
             now - t->leaving);
    broken(c, PROMISE_DRAIN, text, &flow->key, (int)flow->balancer,
           (int)target);
}

static void
check_change(struct checker *c, const struct flow *flow, unsigned target)
{
    int service = target_get(c, target)->service;
    char text[TEXT_SIZE];

    for (guint i = 0; i < c->versions->len; i++) {
        if (version_get(c, i)->services[flow->key.route] == service &&
            may_be_in_force(c, i, flow->opening_at)) {
            return;
        }
    }
    if (!bounds_hold(c, flow->balancer, flow->opening_at)) {
        return;
    }
    snprintf(text, sizeof(text),
             "route %u goes to service %d no more, as of version %u",
             flow->key.route, service, c->versions->len - 1);
    broken(c, PROMISE_CHANGE, text, &flow->key, (int)flow->balancer,
           (int)target);
}

/* What a flow shows of the version in force lies between the first and the
 * last that allow it. */
static void
check_revert(struct checker *c, const struct flow *flow, unsigned target,
             uint64_t now)
{
    struct balancer *b = balancer_get(c, flow->balancer);
    int service = target_get(c, target)->service;
    unsigned first = c->versions->len;
    unsigned last = 0;
    char text[TEXT_SIZE];

    if (flow->process != b->process) {
        return;
    }
    for (guint i = 0; i < c->versions->len; i++) {
        if (version_get(c, i)->services[flow->key.route] == service) {
            first = i < first ? i : first;
            last = i;
        }
    }
    if (first == c->versions->len) {
        return;
    }
    if (last < b->seen &&
        flow->opening_at > b->seen_at + c->bounds.downgrade_ms) {
        snprintf(text, sizeof(text),
                 "version %u at the newest, after version %u", last, b->seen);
        broken(c, PROMISE_REVERT, text, &flow->key, (int)flow->balancer,
               (int)target);
    }
    if (first > b->seen) {
        b->seen = first;
        b->seen_at = now;
    }
}

void
checker_opened(struct checker *c, const struct checker_flow_key *key,
               unsigned target, uint64_t now)
{
    struct flow *flow = flow_get(c, key);

    if (flow->opened_at == 0) {
        flow->opened_at = now;
    }
    g_array_append_val(flow->targets, target);
    if (!check_service(c, flow, target)) {
        return;
    }
    check_drain(c, flow, target, now);
    check_change(c, flow, target);
    check_revert(c, flow, target, now);
}

void
checker_ran(struct checker *c, const struct checker_flow_key *key,
            unsigned target, const char *request, bool unsafe, uint64_t now)
{
    struct flow *flow = flow_get(c, key);
    char text[TEXT_SIZE];

    flow->holder = (int)target;
    flow->strays = 0;
    if (!unsafe || g_hash_table_add(c->unsafe, g_strdup(request))) {
        return;
    }
    snprintf(text, sizeof(text), "%s ran again", request);
    broken(c, PROMISE_ONCE, text, key, (int)flow->balancer, (int)target);
}

void
checker_stray(struct checker *c, const struct checker_flow_key *key,
              unsigned target, uint64_t now)
{
    struct flow *flow = flow_get(c, key);

    if (flow->holder < 0 || flow->holder == (int)target ||
        !is_calm(c, SUBJECT_TARGET, (unsigned)flow->holder, now) ||
        !bounds_hold(c, flow->balancer, now)) {
        return;
    }
    if (now > flow->stray_at + STRAY_MS) {
        flow->strays = 0;
        flow->stray_at = now;
    }
    flow->strays++;
    if (flow->strays == STRAYS_MAX) {
        broken(c, PROMISE_FLOW, "its packets reach another target", key,
               (int)flow->balancer, (int)target);
    }
}

/* Whether the flow's target has been well, or each of those that may hold
 * it. */
static bool
targets_are_calm(struct checker *c, const struct flow *flow, uint64_t now)
{
    if (flow->holder >= 0) {
        return is_calm(c, SUBJECT_TARGET, (unsigned)flow->holder, now);
    }
    for (guint i = 0; i < flow->targets->len; i++) {
        if (!is_calm(c, SUBJECT_TARGET,
                     g_array_index(flow->targets, unsigned, i), now)) {
            return false;
        }
    }
    return flow->targets->len > 0;
}

/* Whether each version that may be in force has the route. */
static bool
route_stays(struct checker *c, unsigned route, uint64_t at)
{
    for (guint i = 0; i < c->versions->len; i++) {
        if (version_get(c, i)->services[route] == CHECKER_NO_SERVICE &&
            may_be_in_force(c, i, at)) {
            return false;
        }
    }
    return c->versions->len > 0;
}

/* Whether a service that the route may have has a target that is known to
 * all, is not leaving and has been well. */
static bool
can_be_served(struct checker *c, unsigned route, uint64_t at)
{
    for (guint i = 0; i < c->versions->len; i++) {
        int service = version_get(c, i)->services[route];
        bool found = false;

        if (!may_be_in_force(c, i, at)) {
            continue;
        }
        for (guint k = 0; k < c->targets->len && !found; k++) {
            const struct target *t = target_get(c, k);

            found = t->service == service && t->ready != 0 &&
                    t->leaving == 0 && t->ready + c->bounds.change_ms <= at &&
                    is_calm(c, SUBJECT_TARGET, k, at);
        }
        if (!found) {
            return false;
        }
    }
    return true;
}

static void
check_refusal(struct checker *c, const struct flow *flow, unsigned balancer,
              uint64_t now)
{
    if (bounds_hold(c, balancer, flow->opening_at) &&
        route_stays(c, flow->key.route, flow->opening_at) &&
        can_be_served(c, flow->key.route, flow->opening_at)) {
        broken(c, PROMISE_SERVED, "its opening was refused", &flow->key,
               (int)balancer, -1);
    }
}

void
checker_reset(struct checker *c, const struct checker_flow_key *key,
              int balancer, bool open, uint64_t now)
{
    struct flow *flow = flow_get(c, key);

    if (balancer == CHECKER_NO_BALANCER) {
        return;
    }
    if (!open) {
        check_refusal(c, flow, (unsigned)balancer, now);
        return;
    }
    /* A planned stop is no excuse here. */
    if (is_calm(c, SUBJECT_STORE, 0, now) &&
        is_calm(c, SUBJECT_BALANCER, (unsigned)balancer, now) &&
        targets_are_calm(c, flow, now) && route_stays(c, key->route, now) &&
        now < flow->opened_at + c->bounds.flow_max_ms) {
        broken(c, PROMISE_FLOW, "a balancer has reset it", key, balancer,
               flow->holder);
    }
}

void
checker_wrong_answer(struct checker *c, const struct checker_flow_key *key,
                     const char *request)
{
    char text[TEXT_SIZE];

    snprintf(text, sizeof(text), "%s got another answer", request);
    broken(c, PROMISE_ANSWER, text, key, -1, -1);
}
