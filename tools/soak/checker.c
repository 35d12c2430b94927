#include "checker.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

#define WORD_SIZE 48  /* size of a search word with its NUL, bytes */
#define TEXT_SIZE 256 /* size of the text of a report with its NUL, bytes */
/* Number of stray packets of a flow within the window, with no request run at
 * its own target in between, from which the flow counts as moved to another
 * target. */
#define STRAY_PACKETS_MAX 3
/* Duration of that window. */
#define STRAY_WINDOW_MS 2000

/* Faults of a store, balancer or target. */
struct subject {
    unsigned active_faults;
    uint64_t last_end_ms; /* end of the latest fault; 0: there was none */
};

/* A version of the configuration. */
struct version {
    int services[CHECKER_ROUTES_MAX]; /* by route */
    uint64_t acked_ms;                /* 0: not acknowledged yet */
};

struct balancer {
    unsigned start_number; /* of the current process */
    uint64_t stopping_ms;  /* when it was told to stop; 0: it was not */
    /* The current process is known to have used this version or a later one,
     * and the time at which that was first seen. */
    unsigned min_version;
    uint64_t min_version_ms;
};

struct target {
    int service;
    uint64_t ready_ms;   /* 0: never ready */
    uint64_t leaving_ms; /* 0: not leaving */
    unsigned domain;
};

/* A failure domain. */
struct domain {
    bool excluded;     /* from the order until the end of it is acknowledged */
    uint64_t acked_ms; /* of the order, while it is in force; 0: it is not */
    uint64_t ended_ms; /* when the end of the last order was acknowledged */
};

struct flow {
    struct checker_flow_key key;
    /* The latest opening packet: when it was forwarded, to which balancer and
     * to which process of it. */
    uint64_t opening_ms;
    unsigned balancer;
    unsigned start_number;
    uint64_t opened_ms;   /* when a target first accepted it; 0: none has */
    int serving_target;   /* the one that it is open at, or that last ran a
                           * request of it; -1: none yet */
    bool stray;           /* another target has had a packet of it since */
    GArray *targets;      /* unsigned, those that accepted it */
    unsigned stray_count; /* in the current window */
    uint64_t stray_window_ms; /* start of the current window */
};

struct checker {
    struct checker_bounds bounds;
    checker_broken_cb cb;
    void *ctx;
    GArray *subjects[SUBJECT_COUNT]; /* struct subject, by index */
    GArray *versions;                /* struct version */
    GArray *balancers;               /* struct balancer */
    GArray *targets;                 /* struct target */
    GArray *domains;                 /* struct domain */
    GHashTable *flows;               /* checker_flow_key -> struct flow */
    GHashTable *unsafe_requests;     /* set of the texts of those that ran */
};

static const char *const promise_names[PROMISE_COUNT] = {
    [PROMISE_ONCE] = "an unsafe request runs at most once",
    [PROMISE_SERVICE] = "no flow opens at another service's target",
    [PROMISE_ANSWER] = "answers are whole and the caller's own",
    [PROMISE_FLOW] = "an open flow of a living target is not ended",
    [PROMISE_DRAIN] = "no new flow at a leaving target past the bound",
    [PROMISE_EMPTIED] =
        "no new flow in an emptied failure domain past the bound",
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
    c->domains = g_array_new(FALSE, TRUE, sizeof(struct domain));
    c->flows = g_hash_table_new_full(key_hash, key_equal, NULL, flow_free);
    c->unsafe_requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
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
    g_array_free(c->domains, TRUE);
    g_hash_table_destroy(c->flows);
    g_hash_table_destroy(c->unsafe_requests);
    g_free(c);
}

/* Returns the element at an index; grows the array with zeros if needed. */
static void *
array_element(GArray *array, size_t size, unsigned index)
{
    if (index >= array->len) {
        g_array_set_size(array, index + 1);
    }
    return array->data + (size_t)index * size;
}

static struct subject *
subject_get(struct checker *c, enum checker_subject kind, unsigned index)
{
    return array_element(c->subjects[kind], sizeof(struct subject), index);
}

static struct balancer *
balancer_get(struct checker *c, unsigned index)
{
    return array_element(c->balancers, sizeof(struct balancer), index);
}

static struct target *
target_get(struct checker *c, unsigned index)
{
    return array_element(c->targets, sizeof(struct target), index);
}

static struct domain *
domain_get(struct checker *c, unsigned index)
{
    return array_element(c->domains, sizeof(struct domain), index);
}

/* Whether no fault affects a subject now, and its latest fault had been over
 * for at least "settle_ms" at time "at". A fault that started after "at"
 * counts too, because it may have affected what was observed since then. */
static bool
is_undisturbed(struct checker *c, enum checker_subject kind, unsigned index,
               uint64_t at)
{
    const struct subject *s = subject_get(c, kind, index);

    return s->active_faults == 0 &&
           (s->last_end_ms == 0 || at >= s->last_end_ms + c->bounds.settle_ms);
}

/* Whether the bounds on changes and drains apply to a balancer. */
static bool
bounds_apply(struct checker *c, unsigned balancer, uint64_t at)
{
    return is_undisturbed(c, SUBJECT_STORE, 0, at) &&
           is_undisturbed(c, SUBJECT_BALANCER, balancer, at) &&
           balancer_get(c, balancer)->stopping_ms == 0;
}

/* Reports a broken promise with search words for a flow, a balancer and a
 * target; NULL and -1 stand for none. */
static void
report_broken(struct checker *c, enum promise promise, const char *text,
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
checker_report_broken(struct checker *c, enum promise promise,
                      const char *text, const char *word)
{
    const char *words[] = {word, NULL};

    c->cb(c->ctx, promise, text, words);
}

void
checker_fault_started(struct checker *c, enum checker_subject kind,
                      unsigned index, uint64_t now)
{
    subject_get(c, kind, index)->active_faults++;
}

void
checker_fault_ended(struct checker *c, enum checker_subject kind,
                    unsigned index, uint64_t now)
{
    struct subject *s = subject_get(c, kind, index);

    g_assert(s->active_faults > 0);
    s->active_faults--;
    s->last_end_ms = now;
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
    g_array_index(c->versions, struct version, version).acked_ms = now;
}

void
checker_balancer_started(struct checker *c, unsigned balancer, uint64_t now)
{
    struct balancer *b = balancer_get(c, balancer);

    b->start_number++;
    b->stopping_ms = 0;
    b->min_version = 0;
    b->min_version_ms = 0;
    checker_fault_started(c, SUBJECT_BALANCER, balancer, now);
    checker_fault_ended(c, SUBJECT_BALANCER, balancer, now);
}

void
checker_balancer_stopping(struct checker *c, unsigned balancer, uint64_t now)
{
    balancer_get(c, balancer)->stopping_ms = now;
}

void
checker_target_ready(struct checker *c, unsigned target, int service,
                     uint64_t now)
{
    struct target *t = target_get(c, target);

    t->service = service;
    t->ready_ms = now;
}

void
checker_target_leaving(struct checker *c, unsigned target, uint64_t now)
{
    struct target *t = target_get(c, target);

    if (t->leaving_ms == 0) {
        t->leaving_ms = now;
    }
}

void
checker_target_domain(struct checker *c, unsigned target, unsigned domain)
{
    target_get(c, target)->domain = domain;
}

void
checker_order_sent(struct checker *c, unsigned domain)
{
    domain_get(c, domain)->excluded = true;
}

void
checker_order_acked(struct checker *c, unsigned domain, uint64_t now)
{
    struct domain *d = domain_get(c, domain);

    if (d->acked_ms == 0) {
        d->acked_ms = now;
    }
}

void
checker_order_ending(struct checker *c, unsigned domain)
{
    domain_get(c, domain)->acked_ms = 0;
}

void
checker_order_ended(struct checker *c, unsigned domain, uint64_t now)
{
    struct domain *d = domain_get(c, domain);

    d->excluded = false;
    d->ended_ms = now;
}

static struct flow *
flow_get(struct checker *c, const struct checker_flow_key *key)
{
    struct flow *flow = g_hash_table_lookup(c->flows, key);

    if (flow == NULL) {
        flow = g_new0(struct flow, 1);
        flow->key = *key;
        flow->serving_target = -1;
        flow->targets = g_array_new(FALSE, FALSE, sizeof(unsigned));
        g_hash_table_insert(c->flows, &flow->key, flow);
    }
    return flow;
}

void
checker_opening_forwarded(struct checker *c,
                          const struct checker_flow_key *key,
                          unsigned balancer, uint64_t now)
{
    struct flow *flow = flow_get(c, key);

    flow->opening_ms = now;
    flow->balancer = balancer;
    flow->start_number = balancer_get(c, balancer)->start_number;
}

static struct version *
version_get(struct checker *c, unsigned version)
{
    return &g_array_index(c->versions, struct version, version);
}

/* Whether a version may still be in effect for packets that are sent at time
 * "at". */
static bool
may_be_in_effect(struct checker *c, unsigned version, uint64_t at)
{
    const struct version *next;

    if (version + 1 == c->versions->len) {
        return true;
    }
    next = version_get(c, version + 1);
    return next->acked_ms == 0 || next->acked_ms + c->bounds.change_ms >= at;
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
    report_broken(c, PROMISE_SERVICE,
                  "no version gives this route the service of the target",
                  &flow->key, (int)flow->balancer, (int)target);
    return false;
}

static void
check_drain(struct checker *c, const struct flow *flow, unsigned target,
            uint64_t now)
{
    const struct target *t = target_get(c, target);
    char text[TEXT_SIZE];

    if (t->leaving_ms == 0 ||
        now <= t->leaving_ms + c->bounds.drain_ms + c->bounds.slack_ms ||
        !bounds_apply(c, flow->balancer, flow->opening_ms) ||
        !is_undisturbed(c, SUBJECT_TARGET, target, now)) {
        return;
    }
    snprintf(text, sizeof(text), "the target has been leaving for %lu ms",
             now - t->leaving_ms);
    report_broken(c, PROMISE_DRAIN, text, &flow->key, (int)flow->balancer,
                  (int)target);
}

static void
check_emptied(struct checker *c, const struct flow *flow, unsigned target,
              uint64_t now)
{
    const struct domain *d = domain_get(c, target_get(c, target)->domain);
    char text[TEXT_SIZE];

    if (d->acked_ms == 0 ||
        now <= d->acked_ms + c->bounds.change_ms + c->bounds.slack_ms ||
        !bounds_apply(c, flow->balancer, flow->opening_ms)) {
        return;
    }
    snprintf(text, sizeof(text),
             "the target's failure domain has been emptied for %lu ms",
             now - d->acked_ms);
    report_broken(c, PROMISE_EMPTIED, text, &flow->key, (int)flow->balancer,
                  (int)target);
}

/* Whether all balancers may use a failure domain. */
static bool
is_in_use(struct checker *c, unsigned domain, uint64_t at)
{
    const struct domain *d = domain_get(c, domain);

    return !d->excluded &&
           (d->ended_ms == 0 || d->ended_ms + c->bounds.change_ms <= at);
}

static void
check_change(struct checker *c, const struct flow *flow, unsigned target)
{
    int service = target_get(c, target)->service;
    char text[TEXT_SIZE];

    for (guint i = 0; i < c->versions->len; i++) {
        if (version_get(c, i)->services[flow->key.route] == service &&
            may_be_in_effect(c, i, flow->opening_ms)) {
            return;
        }
    }
    if (!bounds_apply(c, flow->balancer, flow->opening_ms)) {
        return;
    }
    snprintf(text, sizeof(text),
             "route %u no longer has service %d, as of version %u",
             flow->key.route, service, c->versions->len - 1);
    report_broken(c, PROMISE_CHANGE, text, &flow->key, (int)flow->balancer,
                  (int)target);
}

/* The target of a flow tells which version the balancer used: one from the
 * first to the last version whose route has the target's service. */
static void
check_revert(struct checker *c, const struct flow *flow, unsigned target,
             uint64_t now)
{
    struct balancer *b = balancer_get(c, flow->balancer);
    int service = target_get(c, target)->service;
    unsigned first = c->versions->len;
    unsigned last = 0;
    char text[TEXT_SIZE];

    if (flow->start_number != b->start_number) {
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
    if (last < b->min_version &&
        flow->opening_ms > b->min_version_ms + c->bounds.downgrade_ms) {
        snprintf(
            text, sizeof(text),
            "the process used version %u or an older one, after version %u",
            last, b->min_version);
        report_broken(c, PROMISE_REVERT, text, &flow->key, (int)flow->balancer,
                      (int)target);
    }
    if (first > b->min_version) {
        b->min_version = first;
        b->min_version_ms = now;
    }
}

void
checker_flow_accepted(struct checker *c, const struct checker_flow_key *key,
                      unsigned target, uint64_t now)
{
    struct flow *flow = flow_get(c, key);

    if (flow->opened_ms == 0) {
        flow->opened_ms = now;
    }
    g_array_append_val(flow->targets, target);
    if (!check_service(c, flow, target)) {
        return;
    }
    check_drain(c, flow, target, now);
    check_emptied(c, flow, target, now);
    check_change(c, flow, target);
    check_revert(c, flow, target, now);
}

void
checker_flow_established(struct checker *c, const struct checker_flow_key *key,
                         unsigned target)
{
    struct flow *flow = flow_get(c, key);

    flow->serving_target = (int)target;
    flow->stray = false;
}

void
checker_request_run(struct checker *c, const struct checker_flow_key *key,
                    unsigned target, const char *request, bool unsafe,
                    uint64_t now)
{
    struct flow *flow = flow_get(c, key);
    char text[TEXT_SIZE];

    flow->serving_target = (int)target;
    flow->stray = false;
    flow->stray_count = 0;
    if (!unsafe || g_hash_table_add(c->unsafe_requests, g_strdup(request))) {
        return;
    }
    snprintf(text, sizeof(text), "request %s ran twice", request);
    report_broken(c, PROMISE_ONCE, text, key, (int)flow->balancer,
                  (int)target);
}

void
checker_stray_packet(struct checker *c, const struct checker_flow_key *key,
                     unsigned target, uint64_t now)
{
    struct flow *flow = flow_get(c, key);

    if (flow->serving_target < 0 || flow->serving_target == (int)target ||
        !is_undisturbed(c, SUBJECT_TARGET, (unsigned)flow->serving_target,
                        now) ||
        !bounds_apply(c, flow->balancer, now)) {
        return;
    }
    flow->stray = true;
    if (now > flow->stray_window_ms + STRAY_WINDOW_MS) {
        flow->stray_count = 0;
        flow->stray_window_ms = now;
    }
    flow->stray_count++;
    if (flow->stray_count == STRAY_PACKETS_MAX) {
        report_broken(c, PROMISE_FLOW,
                      "packets of the flow reach another target", key,
                      (int)flow->balancer, (int)target);
    }
}

/* Whether no fault affects the flow's target; if that is not known yet, none
 * of the targets that accepted the flow. */
static bool
targets_are_undisturbed(struct checker *c, const struct flow *flow,
                        uint64_t now)
{
    if (flow->serving_target >= 0) {
        return is_undisturbed(c, SUBJECT_TARGET,
                              (unsigned)flow->serving_target, now);
    }
    for (guint i = 0; i < flow->targets->len; i++) {
        if (!is_undisturbed(c, SUBJECT_TARGET,
                            g_array_index(flow->targets, unsigned, i), now)) {
            return false;
        }
    }
    return flow->targets->len > 0;
}

/* Whether each version that may be in effect has the route. */
static bool
route_is_certain(struct checker *c, unsigned route, uint64_t at)
{
    for (guint i = 0; i < c->versions->len; i++) {
        if (version_get(c, i)->services[route] == CHECKER_NO_SERVICE &&
            may_be_in_effect(c, i, at)) {
            return false;
        }
    }
    return c->versions->len > 0;
}

/* Whether each service that the route may have at time "at" has a target that
 * all balancers must know, that is not leaving, not in an emptied failure
 * domain, and that no fault affects. */
static bool
can_be_served(struct checker *c, unsigned route, uint64_t at)
{
    for (guint i = 0; i < c->versions->len; i++) {
        int service = version_get(c, i)->services[route];
        bool found = false;

        if (!may_be_in_effect(c, i, at)) {
            continue;
        }
        for (guint k = 0; k < c->targets->len && !found; k++) {
            const struct target *t = target_get(c, k);

            found = t->service == service && t->ready_ms != 0 &&
                    t->leaving_ms == 0 &&
                    t->ready_ms + c->bounds.change_ms <= at &&
                    is_in_use(c, t->domain, at) &&
                    is_undisturbed(c, SUBJECT_TARGET, k, at);
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
    if (bounds_apply(c, balancer, flow->opening_ms) &&
        route_is_certain(c, flow->key.route, flow->opening_ms) &&
        can_be_served(c, flow->key.route, flow->opening_ms)) {
        report_broken(c, PROMISE_SERVED, "the opening packet was refused",
                      &flow->key, (int)balancer, -1);
    }
}

/* A target resets packets of flows that it does not hold. The flow's own one
 * may have reset it too, unless another target has just had a packet of it. */
static void
check_reset_by_target(struct checker *c, const struct flow *flow, bool open,
                      uint64_t now)
{
    if (open && flow->stray && now < flow->opened_ms + c->bounds.flow_max_ms &&
        is_undisturbed(c, SUBJECT_STORE, 0, now) &&
        targets_are_undisturbed(c, flow, now)) {
        report_broken(c, PROMISE_FLOW, "another target reset the flow",
                      &flow->key, (int)flow->balancer, flow->serving_target);
    }
}

void
checker_reset_received(struct checker *c, const struct checker_flow_key *key,
                       int balancer, bool open, uint64_t now)
{
    struct flow *flow = flow_get(c, key);

    if (balancer == CHECKER_NO_BALANCER) {
        check_reset_by_target(c, flow, open, now);
        return;
    }
    if (!open) {
        check_refusal(c, flow, (unsigned)balancer, now);
        return;
    }
    /* Unlike in bounds_apply(), a balancer that is stopping is checked too. */
    if (is_undisturbed(c, SUBJECT_STORE, 0, now) &&
        is_undisturbed(c, SUBJECT_BALANCER, (unsigned)balancer, now) &&
        targets_are_undisturbed(c, flow, now) &&
        route_is_certain(c, key->route, now) &&
        now < flow->opened_ms + c->bounds.flow_max_ms) {
        report_broken(c, PROMISE_FLOW, "a balancer reset the flow", key,
                      balancer, flow->serving_target);
    }
}

void
checker_wrong_answer(struct checker *c, const struct checker_flow_key *key,
                     const char *request)
{
    char text[TEXT_SIZE];

    snprintf(text, sizeof(text),
             "request %s got an answer that is malformed or not its own",
             request);
    report_broken(c, PROMISE_ANSWER, text, key, -1, -1);
}
