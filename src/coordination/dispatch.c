#include "coordination/dispatch.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "coordination/health.h"
#include "coordination/slot-window.h"

/* Maximum interval between two ticks while any job waits or runs, and while
 * there is none */
#define TICK_INTERVAL_BUSY_US (5 * USEC_PER_MSEC)
#define TICK_INTERVAL_IDLE_US (200 * USEC_PER_MSEC)

static void start_waiting(struct dispatch *d, struct dispatch_service *svc,
                          uint64_t now);

static void
service_destroy(void *arg)
{
    struct dispatch_service *svc = arg;

    assert(svc->jobs == 0);
    list_remove(&svc->active);
    admission_destroy(svc->admission);
    free(svc);
}

bool
dispatch_init(struct dispatch *d, const struct dispatch_ops *ops, void *ctx,
              struct random *random, uint32_t queue_limit)
{
    memset(d, 0, sizeof(*d));
    d->ops = ops;
    d->ctx = ctx;
    d->random = random;
    d->queue_limit = queue_limit;
    list_init(&d->active);
    d->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_destroy);
    d->targets = target_table_new();
    return d->targets != NULL && balance_init(&d->balance, "load", random);
}

void
dispatch_destroy(struct dispatch *d)
{
    g_hash_table_destroy(d->services);
    target_table_destroy(d->targets);
}

struct dispatch_service *
dispatch_find(struct dispatch *d, const char *id)
{
    return g_hash_table_lookup(d->services, id);
}

static struct dispatch_service *
service_new(struct dispatch *d, const char *id)
{
    struct dispatch_service *svc = calloc(1, sizeof(*svc));
    struct admission_limits limits = {.queue = d->queue_limit};

    if (svc == NULL) {
        return NULL;
    }
    svc->admission = admission_new(&limits, d->random);
    if (svc->admission == NULL) {
        free(svc);
        return NULL;
    }
    memcpy(svc->id, id, sizeof(svc->id));
    list_init(&svc->active);
    list_init(&svc->running);
    retry_budget_init(&svc->retries);
    g_hash_table_insert(d->services, svc->id, svc);
    return svc;
}

/* Creates the state of services that are new in the view. Returns false when
 * out of memory. */
static bool
add_new_services(struct dispatch *d, const struct config_view *view)
{
    for (size_t i = 0; i < view->service_count; i++) {
        const char *id = view->services[i].id;

        if (dispatch_find(d, id) == NULL && service_new(d, id) == NULL) {
            return false;
        }
    }
    return true;
}

/* Points each service to its targets in the new view. The state of a service
 * that is not in the view is kept until its last job has ended. */
static void
refresh_services(struct dispatch *d, uint64_t now)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, d->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct dispatch_service *svc = value;

        svc->targets = target_table_service(d->targets, svc->id);
        if (svc->targets == NULL && svc->jobs == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
    list_for_each_safe (it, &d->active) {
        start_waiting(d, container_of(it, struct dispatch_service, active),
                      now);
    }
}

bool
dispatch_apply_view(struct dispatch *d, const struct config_view *view,
                    uint64_t now)
{
    if (!add_new_services(d, view) ||
        !target_table_apply_view(d->targets, view, now)) {
        return false;
    }
    refresh_services(d, now);
    return true;
}

/* Unlinks a job that has ended from its service. The owner may then reuse the
 * memory of the job. */
static void
unlink_job(struct job *job)
{
    list_remove(&job->link);
    job->state = JOB_IDLE;
    job->svc->jobs--;
    if (job->svc->jobs == 0) {
        list_remove(&job->svc->active);
    }
}

static void
fail_job(struct dispatch *d, struct job *job, enum error_kind kind,
         bool not_run, uint32_t retry_after_ms)
{
    unlink_job(job);
    d->ops->failed(d->ctx, job, kind, not_run && !job->may_have_run,
                   retry_after_ms);
}

/* Records the target of an attempt so that the job does not use it again. */
static void
mark_tried(struct job *job)
{
    struct balance_request *pick = &job->pick;

    if (pick->tried_count < BALANCE_TRIED_MAX) {
        pick->tried[pick->tried_count] = job->target;
        pick->tried_count++;
    }
}

/* Returns the bound target of a pinned job, even when it is leaving, or NULL
 * when the target cannot take the request. Only the first attempt uses it. */
static struct target_state *
pick_pinned(const struct job *job, uint64_t now)
{
    struct target_state *t;

    if (!job->pinned || job->bound == 0 || job->pick.tried_count > 0) {
        return NULL;
    }
    t = service_targets_by_hash(job->svc->targets, job->bound);
    if (t == NULL || t->health.wrong_service ||
        t->health.ejected_until_us > now || !slot_window_is_open(t, now)) {
        return NULL;
    }
    return t;
}

static struct target_state *
pick_target(struct dispatch *d, struct job *job, uint64_t now,
            enum balance_result *result)
{
    struct target_state *t;

    if (job->svc->targets == NULL || job->svc->targets->count == 0) {
        *result = BALANCE_NO_TARGET;
        return NULL;
    }
    t = pick_pinned(job, now);
    if (t != NULL) {
        *result = BALANCE_PICKED;
        return t;
    }
    return balance_pick(&d->balance, job->svc->targets, &job->pick, now,
                        result);
}

/* Releases the slot of an attempt that sent nothing. Changes that its start
 * made to the window and the health of the target stay. */
static void
undo_start(struct job *job)
{
    target_request_end(job->target);
    job->target = NULL;
}

/* Time at which an attempt that starts now is abandoned. An attempt of a
 * repeatable request is abandoned early enough to leave time for one at
 * another target. */
static uint64_t
attempt_deadline(const struct job *job, uint64_t now)
{
    if (!job->repeatable) {
        return job->deadline_us;
    }
    return now + admission_attempt_timeout_us(job->svc->admission, job->class,
                                              job->deadline_us, now);
}

/* Sends a job to a target. Returns false when nothing was sent; the target
 * then counts as tried. */
static bool
start_attempt(struct dispatch *d, struct job *job, struct target_state *t,
              uint64_t now)
{
    job->target = t;
    job->started_us = now;
    job->attempt_deadline_us = attempt_deadline(job, now);
    target_request_begin(t);
    slot_window_on_start(t, now);
    health_on_start(t, now);
    if (!d->ops->send(d->ctx, job)) {
        mark_tried(job);
        undo_start(job);
        return false;
    }
    job->state = JOB_RUNNING;
    list_remove(&job->link);
    list_push_back(&job->svc->running, &job->link);
    return true;
}

/* Tries to start a job now. The job stays where it was when the result is
 * BALANCE_FULL or BALANCE_NO_TARGET. */
static enum balance_result
try_start(struct dispatch *d, struct job *job, uint64_t now)
{
    enum balance_result result;

    for (size_t i = 0; i <= BALANCE_TRIED_MAX; i++) {
        struct target_state *t = pick_target(d, job, now, &result);

        if (t == NULL) {
            return result;
        }
        if (start_attempt(d, job, t, now)) {
            return BALANCE_PICKED;
        }
    }
    return BALANCE_FULL;
}

static void
fail_expired(struct dispatch *d, struct dispatch_service *svc, uint64_t now)
{
    struct admission_entry *entry;

    while ((entry = admission_take_expired(svc->admission, now)) != NULL) {
        struct job *job = container_of(entry, struct job, entry);

        fail_job(d, job, ERR_DEADLINE, true,
                 admission_retry_after_ms(svc->admission, job->class, now));
    }
}

/* Fails the expired jobs and starts waiting jobs while targets have free
 * capacity. */
static void
start_waiting(struct dispatch *d, struct dispatch_service *svc, uint64_t now)
{
    struct admission_entry *entry;

    fail_expired(d, svc, now);
    if (d->suspended) {
        return;
    }
    while ((entry = admission_peek(svc->admission)) != NULL) {
        struct job *job = container_of(entry, struct job, entry);
        enum balance_result result = try_start(d, job, now);

        if (result == BALANCE_FULL) {
            return;
        }
        if (result == BALANCE_PICKED) {
            admission_start(svc->admission, entry);
            continue;
        }
        admission_remove(svc->admission, entry);
        fail_job(d, job, ERR_NO_TARGET, true,
                 admission_retry_after_ms(svc->admission, job->class, now));
    }
}

static void
init_job(struct dispatch *d, struct job *job, struct dispatch_service *svc,
         uint64_t now)
{
    list_init(&job->link);
    list_init(&job->entry.link);
    job->svc = svc;
    job->target = NULL;
    job->arrived_us = now;
    job->started_us = 0;
    job->state = JOB_WAITING;
    job->may_have_run = false;
    memset(&job->pick, 0, sizeof(job->pick));
    job->pick.flow_hash = job->flow_hash;
    job->pick.class = job->class;
    job->pick.bound = job->bound;
    if (svc->jobs == 0) {
        list_push_back(&d->active, &svc->active);
    }
    svc->jobs++;
}

void
dispatch_set_suspended(struct dispatch *d, bool suspended, uint64_t now)
{
    d->suspended = suspended;
    list_for_each_safe (it, &d->active) {
        start_waiting(d, container_of(it, struct dispatch_service, active),
                      now);
    }
}

void
dispatch_submit(struct dispatch *d, struct dispatch_service *svc,
                struct job *job, uint64_t now)
{
    uint32_t retry_after_ms = 0;
    enum error_kind kind;

    init_job(d, job, svc, now);
    if (svc->targets == NULL) {
        fail_job(d, job, ERR_NO_SERVICE, true, 0);
        return;
    }
    kind =
        admission_enqueue(svc->admission, &job->entry, job->tenant, job->class,
                          job->deadline_us, now, &retry_after_ms);
    if (kind != ERR_NONE) {
        fail_job(d, job, kind, true, retry_after_ms);
        return;
    }
    retry_budget_deposit(&svc->retries);
    start_waiting(d, svc, now);
}

/* Updates the health, load, latency and window of the target, and the times
 * measured for admission, with the result of an attempt. */
static void
record_result(struct dispatch *d, struct job *job,
              const struct job_result *result, uint64_t now)
{
    struct target_state *t = job->target;
    uint64_t duration_us = now - job->started_us;
    enum health_change change;

    target_request_end(t);
    if (result->kind == ERR_TARGET_TIMEOUT &&
        !health_timeout_counts(t, duration_us)) {
        return;
    }
    if (result->kind != ERR_NONE) {
        change = health_on_failure(t, d->random, now);
        if (change == HEALTH_DOWN) {
            d->ops->health(d->ctx, t, false, error_kind_name(result->kind));
        }
        return;
    }
    if (result->has_load) {
        target_record_load(t, result->running, result->slots, result->queued,
                           now);
    }
    change = health_on_success(t);
    if (change == HEALTH_UP) {
        d->ops->health(d->ctx, t, true, "request answered");
    }
    if (result->refused) {
        slot_window_on_shed(t, d->random, now);
        return;
    }
    target_record_latency(t, duration_us, now);
    slot_window_on_answer(t, now);
    admission_completed(job->svc->admission, job->class, job->tenant,
                        duration_us, now);
}

/* Puts a job back at the head of its queue, or returns false when out of
 * memory. */
static bool
return_to_queue(struct dispatch *d, struct job *job, uint64_t now)
{
    struct dispatch_service *svc = job->svc;

    if (!admission_requeue(svc->admission, &job->entry, job->tenant,
                           job->class, now)) {
        return false;
    }
    job->target = NULL;
    job->state = JOB_WAITING;
    list_remove(&job->link);
    start_waiting(d, svc, now);
    return true;
}

/* Puts a job that its target did not run back at the head of its queue, where
 * it waits for a slot. Returns false when the deadline has passed, when no
 * further target may be tried, or when out of memory. */
static bool
requeue_not_run(struct dispatch *d, struct job *job,
                const struct job_result *result, uint64_t now)
{
    if (now >= job->deadline_us) {
        return false;
    }
    if (!result->refused) {
        /* The target was not reached, so the job does not use it again. A
         * target that refused the request may be used again when its window
         * opens. */
        mark_tried(job);
        if (job->pick.tried_count >= BALANCE_TRIED_MAX) {
            return false;
        }
    }
    return return_to_queue(d, job, now);
}

/* Queues a repeatable request for another target, within the retry budget.
 * Returns false when that is not possible. */
static bool
retry_repeatable(struct dispatch *d, struct job *job, uint64_t now)
{
    if (!job->repeatable || now >= job->deadline_us) {
        return false;
    }
    mark_tried(job);
    if (job->pick.tried_count >= BALANCE_TRIED_MAX ||
        !retry_budget_withdraw(&job->svc->retries)) {
        return false;
    }
    return return_to_queue(d, job, now);
}

/* Queues a job again when its attempt was refused or brought no answer, or
 * fails it. A request that may not be repeated is sent to a second target only
 * when the first one provably did not run it. */
static void
handle_failure(struct dispatch *d, struct job *job,
               const struct job_result *result, uint64_t now)
{
    struct dispatch_service *svc = job->svc;
    bool attempt_not_run = result->refused || !result->sent;

    if (!attempt_not_run) {
        job->may_have_run = true;
    }
    if (attempt_not_run && requeue_not_run(d, job, result, now)) {
        return;
    }
    if (!attempt_not_run && retry_repeatable(d, job, now)) {
        return;
    }
    fail_job(d, job, result->refused ? ERR_TARGET_REFUSED : result->kind,
             attempt_not_run,
             admission_retry_after_ms(svc->admission, job->class, now));
    start_waiting(d, svc, now);
}

bool
dispatch_on_result(struct dispatch *d, struct job *job,
                   const struct job_result *result, uint64_t now)
{
    struct dispatch_service *svc = job->svc;
    struct target_state *t = job->target;
    bool answered = result->kind == ERR_NONE && !result->refused;

    assert(job->state == JOB_RUNNING);
    target_ref(t);
    record_result(d, job, result, now);
    if (answered) {
        unlink_job(job);
        start_waiting(d, svc, now);
    }
    else {
        handle_failure(d, job, result, now);
    }
    target_unref(t);
    return answered;
}

void
dispatch_cancel(struct dispatch *d, struct job *job, uint64_t now)
{
    struct dispatch_service *svc = job->svc;

    if (job->state == JOB_IDLE) {
        return;
    }
    if (job->state == JOB_WAITING) {
        admission_remove(svc->admission, &job->entry);
        unlink_job(job);
        return;
    }
    d->ops->cancel(d->ctx, job);
    target_request_end(job->target);
    job->target = NULL;
    unlink_job(job);
    start_waiting(d, svc, now);
}

/* Cancels attempts that have taken too long. The target may still be working
 * on the request, so one that may not be repeated has an unknown outcome. */
static void
cancel_late_attempts(struct dispatch *d, struct dispatch_service *svc,
                     uint64_t now)
{
    list_for_each_safe (it, &svc->running) {
        struct job *job = container_of(it, struct job, link);
        struct job_result result = {.kind = ERR_TARGET_TIMEOUT, .sent = true};

        if (now < job->attempt_deadline_us) {
            continue;
        }
        d->ops->cancel(d->ctx, job);
        dispatch_on_result(d, job, &result, now);
    }
}

uint64_t
dispatch_tick(struct dispatch *d, uint64_t now)
{
    list_for_each_safe (it, &d->active) {
        struct dispatch_service *svc =
            container_of(it, struct dispatch_service, active);

        cancel_late_attempts(d, svc, now);
        start_waiting(d, svc, now);
        if (svc->targets == NULL && svc->jobs == 0) {
            g_hash_table_remove(d->services, svc->id);
        }
    }
    return now + (list_empty(&d->active) ? TICK_INTERVAL_IDLE_US
                                         : TICK_INTERVAL_BUSY_US);
}

struct target_state *
dispatch_pick_stream(struct dispatch *d, struct dispatch_service *svc,
                     uint64_t flow_hash, uint32_t bound, uint64_t now)
{
    struct balance_request pick = {
        .flow_hash = flow_hash, .class = CLASS_STREAM, .bound = bound};
    enum balance_result result;

    if (d->suspended || svc->targets == NULL || svc->targets->count == 0) {
        return NULL;
    }
    return balance_pick(&d->balance, svc->targets, &pick, now, &result);
}
