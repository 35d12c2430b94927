#include "balance-model.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/random.h"
#include "coordination/admission.h"
#include "coordination/balance.h"
#include "coordination/health.h"
#include "coordination/retry-budget.h"
#include "coordination/slot-window.h"
#include "state/histogram.h"
#include "state/target-table.h"

#define SERVICE_ID "service"
#define TENANT_COUNT 8
/* Maximum number of requests of one class that wait at a balancer */
#define QUEUE_MAX 256
/* One-way network latency within a failure domain */
#define LOCAL_LATENCY_US 100ULL
/* Time between two health probes of a target by the same balancer */
#define PROBE_INTERVAL_US USEC_PER_SEC
/* Maximum age of the load in delayed load reports */
#define REPORT_AGE_MAX_US (5 * USEC_PER_SEC)
/* Minimum time from scheduling an EVENT_DISPATCH to the event */
#define DISPATCH_DELAY_MIN_US 500ULL
/* Time over which busy times are summed up for one sample */
#define SAMPLE_INTERVAL_US USEC_PER_SEC
#define LOGNORMAL_SIGMA 0.8
#define BIMODAL_SHARE 0.1  /* share of the requests with the long time */
#define BIMODAL_RATIO 16.0 /* long service time divided by the short one */
/* Factor on the service times of a cold target */
#define COLD_FACTOR 3.0
/* Time for which a target is cold after it has joined */
#define COLD_US (5 * USEC_PER_SEC)
/* Factor on the service times of a slow target */
#define SLOW_FACTOR 4.0
#define LYING_TARGET_COUNT 2
#define COLD_TARGET_COUNT 2
/* Simulated time at which a run starts. The initial targets are added at time
 * 0, so that the balancers do not treat them as new. */
#define START_TIME_US (1000 * USEC_PER_SEC)

enum event_kind {
    EVENT_ARRIVAL,      /* a new request arrives at a balancer */
    EVENT_REACH_TARGET, /* a request arrives at a target */
    EVENT_TARGET_DONE,  /* a target has run a request */
    EVENT_ANSWER,       /* an answer arrives at the balancer */
    EVENT_SHED,         /* a refusal by a target arrives at the balancer */
    EVENT_TIMEOUT,      /* the timeout of an attempt expires */
    EVENT_DISPATCH,     /* a balancer sends waiting requests */
    EVENT_PROBE,        /* a balancer probes all targets */
    EVENT_SAMPLE,       /* busy times and windows are sampled */
    EVENT_JOIN,         /* the cold targets of FAULT_COLD_START join */
};

struct request {
    struct admission_entry entry;
    struct list link; /* in a target's queue */
    struct model_balancer *balancer;
    struct balance_request choice; /* input of balance_pick() */
    /* Target of the current attempt; NULL: not sent */
    struct target_state *target;
    size_t session;
    char tenant[8];
    uint64_t arrival_us;
    uint64_t deadline_us;
    uint64_t sent_us;  /* when the current attempt was sent */
    double service_us; /* service time at a target without a fault */
    /* Incremented when an attempt is sent and when one times out. The events
     * of an abandoned attempt keep its old number and are ignored. */
    unsigned attempt;
    /* Load report in the answer or refusal on its way to the balancer */
    uint32_t running;
    uint32_t queued;
    bool measured; /* arrived after the warm-up, counts in the results */
};

struct event {
    uint64_t at_us;
    uint64_t sequence; /* orders events of the same time */
    enum event_kind kind;
    /* The fields below are set where the kind of event needs them. */
    unsigned attempt; /* request.attempt when the event was created */
    struct request *request;
    struct model_balancer *balancer;
    size_t target;    /* index in model.targets */
    uint64_t busy_us; /* EVENT_TARGET_DONE: time that the slot was used */
};

struct model_target {
    uint32_t running;          /* requests that use a slot */
    uint32_t queued;           /* requests in "queue" */
    struct list queue;         /* struct request */
    uint64_t busy_us;          /* slot time used since the last sample */
    double service_factor;     /* factor on the service times */
    uint64_t cold_until_us;    /* COLD_FACTOR applies until then */
    bool dead;                 /* never answers a request */
    bool lying;                /* always reports that it is idle */
    uint64_t reported_us;      /* when the two fields below were set */
    uint32_t reported_running; /* "running" of a delayed load report */
    uint32_t reported_queued;  /* "queued" of a delayed load report */
};

struct model_balancer {
    size_t index;
    struct random random;
    struct target_table *table;
    struct service_targets *svc;
    struct balance balance;
    struct admission *admission;
    struct retry_budget retries;
    /* Hash of the target that each session is bound to; 0: none */
    uint32_t *bound_targets;
    uint64_t dispatch_us; /* time of the last scheduled EVENT_DISPATCH */
    uint64_t refused;     /* requests refused, after the warm-up */
};

struct model {
    const struct model_config *config;
    struct model_result *result;
    struct random random;
    uint64_t now;       /* simulated time, in microseconds */
    uint64_t sequence;  /* number of the next event */
    struct event *heap; /* pending events, the earliest first */
    size_t heap_count;
    size_t heap_capacity;
    struct model_balancer *balancers;
    struct model_target *targets;
    size_t target_count; /* number of targets in the current view */
    /* All requests that have arrived. None is freed before the end of the
     * run. */
    struct request *requests;
    size_t request_count;
    size_t request_capacity;
    /* Cumulative shares: element i is the share of the requests that the
     * sessions 0 to i send */
    double *session_shares;
    /* Times from the arrival to the answer: of all answered requests, and
     * without downloads */
    struct histogram response_times;
    struct histogram interactive_times;
    uint64_t samples; /* number of EVENT_SAMPLE so far */
    /* Sums of slot times after the warm-up */
    double busy_us;
    double idle_us;   /* free while requests waited, see model_result.idle */
    double wasted_us; /* used by attempts that were abandoned */
    bool failed;      /* the run ends without a result */
};

static bool
event_before(const struct event *a, const struct event *b)
{
    if (a->at_us != b->at_us) {
        return a->at_us < b->at_us;
    }
    return a->sequence < b->sequence;
}

static void
swap_events(struct event *a, struct event *b)
{
    struct event tmp = *a;

    *a = *b;
    *b = tmp;
}

static void
push_event(struct model *m, struct event event)
{
    size_t i = m->heap_count;

    if (m->heap_count == m->heap_capacity) {
        size_t size = m->heap_capacity * 2 + 64;
        struct event *heap = realloc(m->heap, size * sizeof(*heap));

        if (heap == NULL) {
            m->failed = true;
            return;
        }
        m->heap = heap;
        m->heap_capacity = size;
    }
    event.sequence = m->sequence;
    m->sequence++;
    m->heap[i] = event;
    m->heap_count++;
    while (i > 0 && event_before(&m->heap[i], &m->heap[(i - 1) / 2])) {
        swap_events(&m->heap[i], &m->heap[(i - 1) / 2]);
        i = (i - 1) / 2;
    }
}

static struct event
pop_event(struct model *m)
{
    struct event first = m->heap[0];
    size_t i = 0;

    m->heap_count--;
    m->heap[0] = m->heap[m->heap_count];
    for (;;) {
        size_t child = 2 * i + 1;

        if (child >= m->heap_count) {
            return first;
        }
        if (child + 1 < m->heap_count &&
            event_before(&m->heap[child + 1], &m->heap[child])) {
            child++;
        }
        if (!event_before(&m->heap[child], &m->heap[i])) {
            return first;
        }
        swap_events(&m->heap[child], &m->heap[i]);
        i = child;
    }
}

static double
random_exponential(struct random *r, double mean)
{
    return -mean * log(1 - random_unit(r));
}

/* Draws from a log-normal distribution with the given mean. */
static double
random_lognormal(struct random *r, double mean)
{
    double u = 1 - random_unit(r);
    double v = random_unit(r);
    double normal = sqrt(-2 * log(u)) * cos(2 * M_PI * v);
    double mu = -LOGNORMAL_SIGMA * LOGNORMAL_SIGMA / 2;

    return mean * exp(mu + LOGNORMAL_SIGMA * normal);
}

static double
draw_service_us(struct model *m)
{
    double mean = (double)m->config->service_us;
    double base;

    if (m->config->service_times == SERVICE_LOGNORMAL) {
        return random_lognormal(&m->random, mean);
    }
    base = mean / (1 - BIMODAL_SHARE + BIMODAL_SHARE * BIMODAL_RATIO);
    return random_unit(&m->random) < BIMODAL_SHARE ? base * BIMODAL_RATIO
                                                   : base;
}

/* Rate that the targets serve with all slots busy, in requests per second. */
static double
capacity_rps(const struct model_config *c)
{
    return (double)(c->targets * c->slots) * USEC_PER_SEC /
           (double)c->service_us;
}

/* One-way network latency between a balancer and a target. */
static uint64_t
network_latency_us(const struct model *m, const struct model_balancer *b,
                   size_t target)
{
    bool local = b->index % m->config->domains == target % m->config->domains;

    return local ? LOCAL_LATENCY_US : m->config->domain_latency_us;
}

static bool
is_measured(const struct model *m)
{
    return m->now >= START_TIME_US + m->config->warmup_us;
}

/* Counts the outcome of a request. "waited" is false for a request that was
 * refused when it arrived. */
static void
finish_request(struct model *m, struct request *r, enum error_kind kind,
               bool waited)
{
    struct model_result *res = m->result;
    uint64_t response_us = m->now - r->arrival_us;

    if (!r->measured) {
        return;
    }
    if (kind == ERR_TARGET_TIMEOUT) {
        res->unknown++;
        return;
    }
    if (kind != ERR_NONE) {
        res->refused++;
        res->refused_after_queueing += waited ? 1 : 0;
        r->balancer->refused++;
        return;
    }
    histogram_record(&m->response_times, response_us);
    if (r->choice.class != CLASS_DOWNLOAD) {
        histogram_record(&m->interactive_times, response_us);
    }
    if (m->now <= r->deadline_us) {
        res->good++;
    }
    else {
        res->late++;
    }
}

/* Schedules an EVENT_DISPATCH for "at_us" or DISPATCH_DELAY_MIN_US from now,
 * whichever is later. Does nothing when an EVENT_DISPATCH is already scheduled
 * for that time or earlier, or when "at_us" is UINT64_MAX. */
static void
schedule_dispatch(struct model *m, struct model_balancer *b, uint64_t at_us)
{
    uint64_t earliest_us = m->now + DISPATCH_DELAY_MIN_US;

    at_us = at_us > earliest_us ? at_us : earliest_us;
    if (at_us == UINT64_MAX ||
        (b->dispatch_us > m->now && b->dispatch_us <= at_us)) {
        return;
    }
    b->dispatch_us = at_us;
    push_event(m, (struct event){
                      .at_us = at_us, .kind = EVENT_DISPATCH, .balancer = b});
}

/* Returns the time after which an attempt is abandoned. A command must not run
 * twice, so its only attempt may take until the deadline. */
static uint64_t
attempt_timeout_us(const struct model *m, const struct request *r)
{
    if (r->choice.class == CLASS_COMMAND) {
        return r->deadline_us > m->now ? r->deadline_us - m->now : 0;
    }
    return admission_attempt_timeout_us(
        r->balancer->admission, r->choice.class, r->deadline_us, m->now);
}

static void
send_request(struct model *m, struct request *r, struct target_state *t)
{
    uint64_t latency = network_latency_us(m, r->balancer, t->addr);

    r->target = t;
    r->sent_us = m->now;
    r->attempt++;
    target_request_begin(t);
    slot_window_on_start(t, m->now);
    health_on_start(t, m->now);
    if (r->choice.class != CLASS_COMMAND && r->attempt == 1) {
        retry_budget_deposit(&r->balancer->retries);
    }
    push_event(m, (struct event){.at_us = m->now + latency,
                                 .kind = EVENT_REACH_TARGET,
                                 .attempt = r->attempt,
                                 .request = r,
                                 .target = t->addr});
    push_event(m, (struct event){.at_us = m->now + attempt_timeout_us(m, r),
                                 .kind = EVENT_TIMEOUT,
                                 .attempt = r->attempt,
                                 .request = r});
}

static void
refuse_expired(struct model *m, struct model_balancer *b)
{
    struct admission_entry *entry;

    while ((entry = admission_take_expired(b->admission, m->now)) != NULL) {
        finish_request(m, container_of(entry, struct request, entry),
                       ERR_DEADLINE, true);
    }
}

/* Sends waiting requests until none is left or no target has free capacity.
 * Refuses the requests that can no longer be answered in time and those
 * without a usable target. */
static void
send_waiting(struct model *m, struct model_balancer *b)
{
    struct admission_entry *entry;

    refuse_expired(m, b);
    while ((entry = admission_peek(b->admission)) != NULL) {
        struct request *r = container_of(entry, struct request, entry);
        enum balance_result result;
        struct target_state *t;

        r->choice.bound =
            m->config->follow_bound ? b->bound_targets[r->session] : 0;
        t = balance_pick(&b->balance, b->svc, &r->choice, m->now, &result);
        if (result == BALANCE_FULL) {
            uint64_t at = balance_window_opens_us(&b->balance, b->svc,
                                                  &r->choice, m->now);
            uint64_t expiry = admission_next_expiry_us(b->admission);

            schedule_dispatch(m, b, at < expiry ? at : expiry + 1);
            return;
        }
        if (result == BALANCE_NO_TARGET) {
            admission_remove(b->admission, entry);
            finish_request(m, r, ERR_NO_TARGET, true);
            continue;
        }
        if (b->bound_targets[r->session] == 0) {
            b->bound_targets[r->session] = t->hash;
        }
        admission_start(b->admission, entry);
        send_request(m, r, t);
    }
}

static size_t
draw_session(struct model *m)
{
    double u = random_unit(&m->random);
    size_t low = 0;
    size_t high = m->config->sessions - 1;

    while (low < high) {
        size_t mid = (low + high) / 2;

        if (m->session_shares[mid] < u) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return low;
}

static struct request *
new_request(struct model *m)
{
    const struct model_config *c = m->config;
    size_t balancer_index = random_below(&m->random, (uint32_t)c->balancers);
    struct request *r;

    if (m->request_count == m->request_capacity) {
        m->failed = true;
        return NULL;
    }
    r = &m->requests[m->request_count];
    m->request_count++;
    list_init(&r->link);
    list_init(&r->entry.link);
    r->balancer = &m->balancers[balancer_index];
    r->session = draw_session(m);
    snprintf(r->tenant, sizeof(r->tenant), "t%zu", r->session % TENANT_COUNT);
    r->arrival_us = m->now;
    r->deadline_us = m->now + c->deadline_us;
    /* Drawn on arrival, so that all policies have the same work to do. */
    r->service_us = draw_service_us(m);
    r->measured = is_measured(m);
    r->choice.flow_hash = random_mix(r->session, 1);
    r->choice.class = c->class;
    if (random_unit(&m->random) < c->command_share) {
        r->choice.class = CLASS_COMMAND;
    }
    return r;
}

static void
on_arrival(struct model *m)
{
    double gap = USEC_PER_SEC / (capacity_rps(m->config) * m->config->load);
    struct request *r = new_request(m);
    uint32_t retry_after;
    enum error_kind kind;

    if (r == NULL) {
        return;
    }
    push_event(m,
               (struct event){
                   .at_us = m->now +
                            (uint64_t)random_exponential(&m->random, gap) + 1,
                   .kind = EVENT_ARRIVAL});
    m->result->offered += r->measured ? 1 : 0;
    kind = admission_enqueue(r->balancer->admission, &r->entry, r->tenant,
                             r->choice.class, r->deadline_us, m->now,
                             &retry_after);
    if (kind != ERR_NONE) {
        finish_request(m, r, kind, false);
        return;
    }
    send_waiting(m, r->balancer);
}

static void
start_at_target(struct model *m, struct model_target *t, struct request *r,
                size_t index)
{
    double factor = t->service_factor;
    double duration;

    if (m->now < t->cold_until_us) {
        factor *= COLD_FACTOR;
    }
    duration = r->service_us * factor + 1;
    t->running++;
    push_event(m, (struct event){.at_us = m->now + (uint64_t)duration,
                                 .kind = EVENT_TARGET_DONE,
                                 .attempt = r->attempt,
                                 .request = r,
                                 .target = index,
                                 .busy_us = (uint64_t)duration});
}

/* Sets "running" and "queued" to the load that the target reports in an answer
 * to a request. Updates the target's delayed report when that is older than
 * REPORT_AGE_MAX_US. */
static void
report_load(struct model *m, struct model_target *t, uint32_t *running,
            uint32_t *queued)
{
    if (m->now - t->reported_us > REPORT_AGE_MAX_US) {
        t->reported_us = m->now;
        t->reported_running = t->running;
        t->reported_queued = t->queued;
    }
    *running = t->running;
    *queued = t->queued;
    if (m->config->fault == FAULT_STALE_LOAD) {
        *running = t->reported_running;
        *queued = t->reported_queued;
    }
    if (t->lying) {
        *running = 0;
        *queued = 0;
    }
}

/* Sends an EVENT_ANSWER or EVENT_SHED to the balancer of the request. */
static void
send_back(struct model *m, struct request *r, unsigned attempt, size_t target,
          enum event_kind kind)
{
    report_load(m, &m->targets[target], &r->running, &r->queued);
    push_event(m, (struct event){.at_us = m->now + network_latency_us(
                                                       m, r->balancer, target),
                                 .kind = kind,
                                 .attempt = attempt,
                                 .request = r,
                                 .target = target});
}

static void
on_reach_target(struct model *m, const struct event *e)
{
    struct model_target *t = &m->targets[e->target];
    struct request *r = e->request;

    if (t->dead || r->attempt != e->attempt) {
        return;
    }
    if (t->running < m->config->slots) {
        start_at_target(m, t, r, e->target);
        return;
    }
    if (t->queued < m->config->target_queue) {
        list_push_back(&t->queue, &r->link);
        t->queued++;
        return;
    }
    send_back(m, r, e->attempt, e->target, EVENT_SHED);
}

/* A slot becomes free: starts the first request in the target's queue whose
 * deadline has not passed, and sheds the requests before it. */
static void
on_target_done(struct model *m, const struct event *e)
{
    struct model_target *t = &m->targets[e->target];

    t->running--;
    if (e->request->attempt != e->attempt && is_measured(m)) {
        m->wasted_us += (double)e->busy_us;
    }
    while (t->queued > 0 && t->running < m->config->slots) {
        struct request *next =
            container_of(t->queue.next, struct request, link);

        list_remove(&next->link);
        t->queued--;
        if (next->deadline_us <= m->now) {
            send_back(m, next, next->attempt, e->target, EVENT_SHED);
            continue;
        }
        start_at_target(m, t, next, e->target);
    }
    send_back(m, e->request, e->attempt, e->target, EVENT_ANSWER);
}

static void
record_load(struct model *m, const struct request *r, struct target_state *t)
{
    if (m->config->fault != FAULT_NO_LOAD) {
        target_record_load(t, r->running, m->config->slots, r->queued, m->now);
    }
}

static void
on_answer(struct model *m, const struct event *e)
{
    struct request *r = e->request;
    struct target_state *t = r->target;
    struct model_balancer *b = r->balancer;

    if (r->attempt != e->attempt || t == NULL) {
        return;
    }
    target_ref(t);
    target_request_end(t);
    record_load(m, r, t);
    target_record_latency(t, m->now - r->sent_us, m->now);
    slot_window_on_answer(t, m->now);
    health_on_success(t);
    target_unref(t);
    r->target = NULL;
    admission_completed(b->admission, r->choice.class, r->tenant,
                        m->now - r->sent_us, m->now);
    finish_request(m, r, ERR_NONE, true);
    send_waiting(m, b);
}

static void
on_shed(struct model *m, const struct event *e)
{
    struct request *r = e->request;
    struct target_state *t = r->target;
    struct model_balancer *b = r->balancer;

    if (r->attempt != e->attempt || t == NULL) {
        return;
    }
    m->result->sheds += r->measured ? 1 : 0;
    target_ref(t);
    target_request_end(t);
    record_load(m, r, t);
    slot_window_on_shed(t, &b->random, m->now);
    health_on_success(t);
    r->target = NULL;
    if (!m->config->use_windows) {
        if (r->choice.tried_count == BALANCE_TRIED_MAX) {
            target_unref(t);
            finish_request(m, r, ERR_OVERLOADED, true);
            return;
        }
        r->choice.tried[r->choice.tried_count] = t;
        r->choice.tried_count++;
    }
    target_unref(t);
    admission_requeue(b->admission, &r->entry, r->tenant, r->choice.class,
                      m->now);
    send_waiting(m, b);
}

static void
on_timeout(struct model *m, const struct event *e)
{
    struct request *r = e->request;
    struct target_state *t = r->target;
    struct model_balancer *b = r->balancer;

    if (r->attempt != e->attempt || t == NULL) {
        return;
    }
    if (!list_empty(&r->link)) {
        list_remove(&r->link);
        m->targets[t->addr].queued--;
    }
    target_ref(t);
    target_request_end(t);
    if (health_timeout_counts(t, m->now - r->sent_us)) {
        health_on_failure(t, &b->random, m->now);
    }
    target_unref(t);
    r->target = NULL;
    r->attempt++;
    if (r->choice.class == CLASS_COMMAND || m->now >= r->deadline_us ||
        r->choice.tried_count == BALANCE_TRIED_MAX ||
        !retry_budget_withdraw(&b->retries)) {
        finish_request(m, r, ERR_TARGET_TIMEOUT, true);
        send_waiting(m, b);
        return;
    }
    r->choice.tried[r->choice.tried_count] = t;
    r->choice.tried_count++;
    admission_requeue(b->admission, &r->entry, r->tenant, r->choice.class,
                      m->now);
    send_waiting(m, b);
}

/* The balancer probes every target. An answer to a probe contains the delayed
 * load report; a lying target reports that it is idle, and with FAULT_NO_LOAD
 * no target reports its load. */
static void
probe_targets(struct model *m, struct model_balancer *b)
{
    for (size_t i = 0; i < b->svc->count; i++) {
        struct target_state *t = b->svc->targets[i];
        struct model_target *mt = &m->targets[t->addr];
        struct health_probe probe = {
            .answered = true,
            .names_service = true,
            .load_known = m->config->fault != FAULT_NO_LOAD,
            .slots = m->config->slots,
        };

        report_load(m, mt, &probe.running, &probe.queued);
        probe.running = mt->lying ? 0 : mt->reported_running;
        probe.queued = mt->lying ? 0 : mt->reported_queued;
        health_on_probe(t, &probe, m->now);
    }
}

static void
on_probe(struct model *m, struct model_balancer *b)
{
    probe_targets(m, b);
    push_event(m, (struct event){.at_us = m->now + PROBE_INTERVAL_US,
                                 .kind = EVENT_PROBE,
                                 .balancer = b});
}

static bool
any_request_waits(const struct model *m)
{
    for (size_t i = 0; i < m->config->balancers; i++) {
        for (int class = 0; class < CLASS_STREAM; class ++) {
            if (admission_waiting_count(m->balancers[i].admission,
                                        (enum traffic_class) class) > 0) {
                return true;
            }
        }
    }
    for (size_t i = 0; i < m->target_count; i++) {
        if (m->targets[i].queued > 0) {
            return true;
        }
    }
    return false;
}

/* Adds the slot times between the last event and the one at "until_us" to the
 * sums. */
static void
add_slot_times(struct model *m, uint64_t until_us)
{
    uint64_t elapsed_us = until_us - m->now;
    bool waiting = any_request_waits(m);

    for (size_t i = 0; i < m->target_count; i++) {
        struct model_target *t = &m->targets[i];
        uint32_t spare = m->config->slots - t->running;

        t->busy_us += t->running * elapsed_us;
        m->busy_us += (double)(t->running * elapsed_us);
        if (waiting && !t->dead) {
            m->idle_us += (double)(spare * elapsed_us);
        }
    }
}

/* Samples the busy times of the targets without those that are dead, slow or
 * cold: their busy times do not show how well requests are distributed. */
static void
sample_busy_times(struct model *m)
{
    double sum = 0;
    double sum_of_squares = 0;
    double largest = 0;
    double count = 0;

    for (size_t i = 0; i < m->target_count; i++) {
        struct model_target *t = &m->targets[i];
        double busy = (double)t->busy_us;

        t->busy_us = 0;
        if (t->dead || t->service_factor != 1 || m->now < t->cold_until_us) {
            continue;
        }
        sum += busy;
        sum_of_squares += busy * busy;
        largest = fmax(largest, busy);
        count++;
    }
    if (sum > 0) {
        double mean = sum / count;

        m->result->busiest_over_mean += largest / mean;
        m->result->variation +=
            sqrt(fmax(sum_of_squares / count - mean * mean, 0)) / mean;
    }
}

static void
sample_windows(struct model *m)
{
    double sum = 0;

    for (size_t i = 0; i < m->config->balancers; i++) {
        const struct service_targets *svc = m->balancers[i].svc;

        for (size_t k = 0; k < svc->count; k++) {
            sum += svc->targets[k]->window.size;
        }
    }
    m->result->window_sum +=
        sum / (double)(m->target_count * m->config->slots);
}

static void
on_sample(struct model *m)
{
    sample_busy_times(m);
    sample_windows(m);
    m->samples++;
    push_event(m, (struct event){.at_us = m->now + SAMPLE_INTERVAL_US,
                                 .kind = EVENT_SAMPLE});
}

/* Applies a view of the first "count" targets to a balancer. Returns false
 * when out of memory. */
static bool
apply_view(struct model *m, struct model_balancer *b, size_t count,
           uint64_t now)
{
    struct config_view *view = config_view_new(1);
    struct service_view *sv = view != NULL ? &view->services[0] : NULL;
    bool ok = false;

    if (sv == NULL) {
        return false;
    }
    memcpy(sv->id, SERVICE_ID, sizeof(SERVICE_ID));
    sv->targets = calloc(count, sizeof(*sv->targets));
    sv->target_count = sv->targets != NULL ? count : 0;
    for (size_t i = 0; i < sv->target_count; i++) {
        struct target_view *tv = &sv->targets[i];

        snprintf(tv->id, sizeof(tv->id), "target-%02zu", i);
        tv->hash = (uint32_t)id_hash(tv->id) & 0xffffff;
        tv->addr = (uint32_t)i; /* index in model.targets */
        tv->slots = m->config->slots;
        tv->connections = 2000;
    }
    ok = sv->target_count == count &&
         target_table_apply_view(b->table, view, now);
    config_view_destroy(view);
    b->svc = ok ? target_table_service(b->table, SERVICE_ID) : NULL;
    return ok;
}

static void
on_join(struct model *m)
{
    m->target_count = m->config->targets;
    for (size_t i = 0; i < m->config->balancers; i++) {
        struct model_balancer *b = &m->balancers[i];

        if (!apply_view(m, b, m->target_count, m->now)) {
            m->failed = true;
            return;
        }
        probe_targets(m, b);
    }
    for (size_t i = m->target_count - COLD_TARGET_COUNT; i < m->target_count;
         i++) {
        m->targets[i].cold_until_us = m->now + COLD_US;
    }
}

static void
handle_event(struct model *m, const struct event *e)
{
    switch (e->kind) {
    case EVENT_ARRIVAL:
        on_arrival(m);
        break;
    case EVENT_REACH_TARGET:
        on_reach_target(m, e);
        break;
    case EVENT_TARGET_DONE:
        on_target_done(m, e);
        break;
    case EVENT_ANSWER:
        on_answer(m, e);
        break;
    case EVENT_SHED:
        on_shed(m, e);
        break;
    case EVENT_TIMEOUT:
        on_timeout(m, e);
        break;
    case EVENT_DISPATCH:
        send_waiting(m, e->balancer);
        break;
    case EVENT_PROBE:
        on_probe(m, e->balancer);
        break;
    case EVENT_SAMPLE:
        on_sample(m);
        break;
    case EVENT_JOIN:
        on_join(m);
        break;
    }
}

static bool
init_balancer(struct model *m, size_t index)
{
    struct admission_limits limits = {.queue = QUEUE_MAX};
    struct model_balancer *b = &m->balancers[index];

    b->index = index;
    random_seed(&b->random, random_next(&m->random));
    b->table = target_table_new();
    b->admission = admission_new(&limits, &b->random);
    b->bound_targets = calloc(m->config->sessions, sizeof(*b->bound_targets));
    if (b->table == NULL || b->admission == NULL || b->bound_targets == NULL) {
        return false;
    }
    if (!balance_init(&b->balance, m->config->policy, &b->random)) {
        return false;
    }
    b->balance.use_windows = m->config->use_windows;
    b->balance.follow_bound = m->config->follow_bound;
    retry_budget_init(&b->retries);
    return apply_view(m, b, m->target_count, 0);
}

/* Distributes the requests over the sessions by Zipf's law with exponent 0.8.
 * Returns false when out of memory. */
static bool
init_sessions(struct model *m)
{
    size_t count = m->config->sessions;
    double sum = 0;

    m->session_shares = calloc(count, sizeof(*m->session_shares));
    if (m->session_shares == NULL) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        sum += pow((double)(i + 1), -0.8);
        m->session_shares[i] = sum;
    }
    for (size_t i = 0; i < count; i++) {
        m->session_shares[i] /= sum;
    }
    return true;
}

static bool
init_targets(struct model *m)
{
    enum model_fault fault = m->config->fault;

    m->target_count = m->config->targets;
    if (fault == FAULT_COLD_START) {
        m->target_count -= COLD_TARGET_COUNT;
    }
    m->targets = calloc(m->config->targets, sizeof(*m->targets));
    if (m->targets == NULL) {
        return false;
    }
    for (size_t i = 0; i < m->config->targets; i++) {
        list_init(&m->targets[i].queue);
        m->targets[i].service_factor = 1;
        m->targets[i].lying =
            fault == FAULT_LYING_LOAD && i < LYING_TARGET_COUNT;
    }
    if (fault == FAULT_DEAD_TARGET) {
        m->targets[0].dead = true;
    }
    if (fault == FAULT_SLOW_TARGET) {
        m->targets[0].service_factor = SLOW_FACTOR;
    }
    return true;
}

static bool
init_model(struct model *m)
{
    const struct model_config *c = m->config;
    double seconds = (double)(c->warmup_us + c->duration_us) / USEC_PER_SEC;

    random_seed(&m->random, c->seed);
    m->now = START_TIME_US;
    m->request_capacity = (size_t)(seconds * capacity_rps(c) * c->load * 1.3);
    m->request_capacity += 1000;
    m->requests = calloc(m->request_capacity, sizeof(*m->requests));
    m->balancers = calloc(c->balancers, sizeof(*m->balancers));
    if (m->requests == NULL || m->balancers == NULL || !init_sessions(m) ||
        !init_targets(m)) {
        return false;
    }
    for (size_t i = 0; i < c->balancers; i++) {
        if (!init_balancer(m, i)) {
            return false;
        }
        on_probe(m, &m->balancers[i]);
    }
    push_event(m, (struct event){.at_us = m->now, .kind = EVENT_ARRIVAL});
    push_event(
        m, (struct event){.at_us = m->now + c->warmup_us + SAMPLE_INTERVAL_US,
                          .kind = EVENT_SAMPLE});
    if (c->fault == FAULT_COLD_START) {
        push_event(m, (struct event){.at_us = m->now + c->warmup_us +
                                              c->duration_us / 4,
                                     .kind = EVENT_JOIN});
    }
    return true;
}

static void
free_model(struct model *m)
{
    for (size_t i = 0; m->balancers != NULL && i < m->config->balancers; i++) {
        struct model_balancer *b = &m->balancers[i];
        struct admission_entry *entry;

        while (b->admission != NULL &&
               (entry = admission_peek(b->admission)) != NULL) {
            admission_remove(b->admission, entry);
        }
        admission_destroy(b->admission);
        target_table_destroy(b->table);
        free(b->bound_targets);
    }
    free(m->balancers);
    free(m->targets);
    free(m->requests);
    free(m->session_shares);
    free(m->heap);
}

static void
compute_result(const struct model *m, struct model_result *res)
{
    const struct model_config *c = m->config;
    double capacity = capacity_rps(c) * (double)c->duration_us / USEC_PER_SEC;
    uint64_t largest = 0;

    res->busiest_over_mean /= (double)m->samples;
    res->variation /= (double)m->samples;
    res->window_sum /= (double)m->samples;
    res->idle = m->idle_us / (double)(c->targets * c->slots * c->duration_us);
    res->wasted = m->wasted_us / m->busy_us;
    res->goodput = (double)res->good / capacity;
    res->p50_ms =
        (double)histogram_quantile(&m->response_times, 0.5) / USEC_PER_MSEC;
    res->p99_ms =
        (double)histogram_quantile(&m->response_times, 0.99) / USEC_PER_MSEC;
    res->p99_interactive_ms =
        (double)histogram_quantile(&m->interactive_times, 0.99) /
        USEC_PER_MSEC;
    for (size_t i = 0; i < c->balancers; i++) {
        uint64_t refused = m->balancers[i].refused;

        largest = refused > largest ? refused : largest;
    }
    if (res->refused > 0) {
        res->refused_spread =
            (double)(largest * c->balancers) / (double)res->refused;
    }
}

bool
model_run(const struct model_config *config, struct model_result *result)
{
    struct model m = {.config = config, .result = result};
    uint64_t end = START_TIME_US + config->warmup_us + config->duration_us;

    *result = (struct model_result){0};
    m.failed = !init_model(&m);
    while (!m.failed) {
        struct event e = pop_event(&m);

        if (e.at_us > end) {
            break;
        }
        if (is_measured(&m)) {
            add_slot_times(&m, e.at_us);
        }
        m.now = e.at_us;
        handle_event(&m, &e);
    }
    if (!m.failed) {
        compute_result(&m, result);
    }
    free_model(&m);
    return !m.failed;
}
