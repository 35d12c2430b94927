#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/clock.h"
#include "target.h"

#define JOURNAL_LINE_SIZE 512 /* bytes */
/* Factor on the service time during a cold start. */
#define COLD_START_FACTOR 4.0

const char *
target_method_name(struct evhttp_request *req)
{
    switch (evhttp_request_get_command(req)) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OTHER";
    }
}

/* A line has the wall clock in microseconds, the event, the method, the
 * request id, the path and the target. It is written without buffering, so
 * that it is not lost if the process is killed immediately afterwards. */
void
target_journal(struct target *target, const char *event, const char *method,
               const char *request_id, const char *path)
{
    char line[JOURNAL_LINE_SIZE];
    int len;

    if (target->journal_fd < 0) {
        return;
    }
    len = snprintf(line, sizeof(line), "%llu %s %s %s %s %s\n",
                   (unsigned long long)clock_wall_us(), event, method,
                   request_id, path, target->id);
    if (len >= (int)sizeof(line)) {
        len = sizeof(line);
        line[len - 1] = '\n';
    }
    if (write(target->journal_fd, line, (size_t)len) < len) {
        fprintf(stderr, "journal: cannot write a line; stopping\n");
        exit(EXIT_FAILURE);
    }
}

/* Writes an event of a request to the journal. The events "begin" and "end"
 * are written only for requests that must not be repeated. */
static void
work_journal(struct work *work, const char *event)
{
    target_journal(work->target, event, work->method, work->request_id,
                   work->path);
}

static void
work_destroy(struct work *work)
{
    list_remove(&work->link);
    if (work->timer != NULL) {
        event_free(work->timer);
    }
    g_free(work->path);
    g_free(work->request_id);
    g_free(work);
}

static uint64_t
draw_service_time_us(struct target *target)
{
    double ms = target->service_time_ms;
    uint64_t age_ms =
        (clock_monotonic_us() - target->started_us) / USEC_PER_MSEC;

    if (!target->fixed_time) {
        ms = standin_random_exp(&target->random, ms);
    }
    if (age_ms < (uint64_t)target->cold_start_ms) {
        ms *= COLD_START_FACTOR;
    }
    if (target->faults.slow > 0) {
        ms *= target->faults.slow;
    }
    return (uint64_t)(ms * (double)USEC_PER_MSEC);
}

static void work_begin(struct work *work);

/* Begins queued requests while slots are free. Requests whose deadline has
 * passed are answered 503 instead. */
static void
fill_slots(struct target *target)
{
    while (target->running_count < target->slots &&
           !list_empty(&target->queued)) {
        struct work *work =
            container_of(target->queued.next, struct work, link);

        list_remove(&work->link);
        target->queued_count--;
        if (work->deadline_us != 0 &&
            clock_monotonic_us() > work->deadline_us) {
            target->counts.expired++;
            work_journal(work, "expired");
            target_reply_not_run(target, work->req);
            work_destroy(work);
            continue;
        }
        work_begin(work);
    }
}

/* Frees the slot of a request and counts the time that it was in use. */
static void
work_free_slot(struct work *work)
{
    struct target *target = work->target;

    target->running_count--;
    target->counts.busy_us += clock_monotonic_us() - work->begun_us;
}

static void
on_work_done(evutil_socket_t fd, short what, void *ctx)
{
    struct work *work = ctx;
    struct target *target = work->target;

    work_free_slot(work);
    target->counts.ended++;
    if (!work->repeatable) {
        work_journal(work, "end");
    }
    if (work->req != NULL) {
        target_answer_work(target, work);
    }
    work_destroy(work);
    fill_slots(target);
}

static void
work_begin(struct work *work)
{
    struct target *target = work->target;
    uint64_t us = draw_service_time_us(target);
    struct timeval delay = {(time_t)(us / USEC_PER_SEC),
                            (suseconds_t)(us % USEC_PER_SEC)};

    if (!work->repeatable) {
        work_journal(work, "begin");
    }
    work->is_running = true;
    work->begun_us = clock_monotonic_us();
    target->running_count++;
    target->counts.begun++;
    list_push_back(&target->running, &work->link);
    work->timer = evtimer_new(target->base, on_work_done, work);
    evtimer_add(work->timer, &delay);
}

/* A queued request is dropped. A running request frees its slot immediately if
 * it may be repeated; otherwise it runs to its end. */
void
target_work_cancel(struct work *work)
{
    struct target *target = work->target;

    target->counts.cancelled++;
    work_journal(work, "cancelled");
    evhttp_send_reply_end(work->req);
    work->req = NULL;
    if (work->is_running && !work->repeatable) {
        return;
    }
    if (work->is_running) {
        work_free_slot(work);
    }
    else {
        target->queued_count--;
    }
    work_destroy(work);
    fill_slots(target);
}

static struct work *
work_new(struct target *target, struct evhttp_request *req)
{
    struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
    const char *id = evhttp_find_header(headers, "X-Request-Id");
    const char *deadline = evhttp_find_header(headers, "X-Deadline-Ms");
    enum evhttp_cmd_type method = evhttp_request_get_command(req);
    struct work *work = g_new0(struct work, 1);

    list_init(&work->link);
    work->target = target;
    work->req = req;
    work->path = g_strdup(evhttp_request_get_uri(req));
    work->request_id = g_strdup(id != NULL ? id : "-");
    work->method = target_method_name(req);
    work->repeatable = method != EVHTTP_REQ_POST && method != EVHTTP_REQ_PATCH;
    if (deadline != NULL) {
        work->deadline_us = clock_monotonic_us() +
                            strtoull(deadline, NULL, 10) * USEC_PER_MSEC;
    }
    return work;
}

/* A request is shed if the queue is full, if there are too many connections,
 * or if the failure "refuse" is active. */
void
target_work_submit(struct target *target, struct evhttp_request *req)
{
    struct target_conn *conn = target_conn_of(target, req);
    struct work *work = work_new(target, req);

    if (target->faults.refuse || target->queued_count >= target->queue_limit ||
        target->connection_count > target->connection_limit) {
        target->counts.shed++;
        work_journal(work, "shed");
        target_reply_not_run(target, req);
        work_destroy(work);
        return;
    }
    conn->work = work;
    list_push_back(&target->queued, &work->link);
    target->queued_count++;
    fill_slots(target);
}
