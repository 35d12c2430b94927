#include "daemon/control-task.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <event2/thread.h>

#define LOG_MODULE "control"
#include "base/clock.h"
#include "base/log.h"
#include "daemon/control.h"
#include "daemon/messages.h"

#define EVENTS_MAX 4096 /* events kept for /v1/events */

static void
on_data_event(struct control_task *task, const void *data, size_t size)
{
    struct msg_event event;

    if (size != sizeof(event)) {
        return;
    }
    memcpy(&event, data, sizeof(event));
    event_ring_add(task->events, clock_wall_us(), event.kind, event.subject,
                   event.cause);
}

static void
on_view_applied(struct control_task *task, const void *data, size_t size)
{
    struct msg_view_applied applied;

    if (size == sizeof(applied)) {
        memcpy(&applied, data, sizeof(applied));
        control_config_view_applied(task, applied.sequence);
    }
}

/* Called when the data task has finished its planned stop. Tells the peers
 * that this balancer leaves, so that they need not detect its absence
 * themselves. */
static void
on_data_stopped(struct control_task *task)
{
    membership_leave(task->members, clock_monotonic_us());
    event_base_loopbreak(task->base);
}

static void
on_data_message(void *ctx, uint32_t type, const void *data, size_t size)
{
    struct control_task *task = ctx;

    switch (type) {
    case MSG_VIEW_APPLIED:
        on_view_applied(task, data, size);
        break;
    case MSG_EVENT:
        on_data_event(task, data, size);
        break;
    case MSG_PAUSED:
        control_config_refresh(task);
        break;
    case MSG_STOPPED:
        on_data_stopped(task);
        break;
    case MSG_METRICS_TEXT:
        control_metrics_finish(task, data, size);
        break;
    default:
        break;
    }
}

static void
on_api_message(void *ctx, uint32_t type, const void *data, size_t size)
{
    struct control_task *task = ctx;

    if (type == MSG_API_REQUEST) {
        control_query_handle(task, data, size);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    struct control_task *task = arg;
    uint64_t now = clock_monotonic_us();

    control_peers_tick(task, now);
    if (task->stopping ||
        config_store_host_is_draining(task->config, task->settings->host.id)) {
        control_peers_send_list(task);
    }
    control_config_tick(task, now);
    control_status_tick(task, now);
}

static void
on_stop(evutil_socket_t fd, short what, void *arg)
{
    struct control_task *task = arg;

    control_event(task, "stopping", task->settings->host.id,
                  "planned stop was asked for");
    task->stopping = true;
    control_peers_send_list(task);
    mailbox_send(task->data, MSG_STOP, NULL, 0);
}

static bool
open_loop(struct control_task *task, struct status *st)
{
    uint64_t seed = 0;

    if (evthread_use_pthreads() < 0 ||
        getrandom(&seed, sizeof(seed), 0) != sizeof(seed)) {
        status_set(st, ERR_SYSTEM,
                   "control: cannot enable libevent's thread support or read "
                   "random numbers");
        return false;
    }
    random_seed(&task->random, seed);
    task->base = event_base_new();
    task->events = event_ring_new(EVENTS_MAX);
    if (task->base == NULL || task->events == NULL) {
        status_set(st, ERR_NO_MEMORY, "control: out of memory");
        return false;
    }
    task->tick = event_new(task->base, -1, EV_PERSIST, on_tick, task);
    task->stop = event_new(task->base, -1, 0, on_stop, task);
    if (task->tick == NULL || task->stop == NULL) {
        status_set(st, ERR_NO_MEMORY, "control: out of memory");
        return false;
    }
    return true;
}

static bool
open_mailboxes(struct control_task *task, struct status *st)
{
    task->data = mailbox_new(task->zmq_ctx, task->base, MAILBOX_CONTROL_DATA,
                             true, on_data_message, task, st);
    if (task->data == NULL) {
        return false;
    }
    task->api = mailbox_new(task->zmq_ctx, task->base, MAILBOX_CONTROL_API,
                            true, on_api_message, task, st);
    return task->api != NULL;
}

struct control_task *
control_task_new(void *zmq_ctx, const struct settings *settings,
                 struct status *st)
{
    struct control_task *task = calloc(1, sizeof(*task));

    if (task == NULL) {
        status_set(st, ERR_NO_MEMORY, "control: out of memory");
        return NULL;
    }
    task->settings = settings;
    task->zmq_ctx = zmq_ctx;
    if (!open_loop(task, st) || !open_mailboxes(task, st) ||
        !control_peers_open(task, st) || !control_config_open(task, st) ||
        !control_status_open(task, st)) {
        control_task_destroy(task);
        return NULL;
    }
    return task;
}

static void *
run(void *arg)
{
    struct control_task *task = arg;
    const struct timeval interval = {.tv_usec = MEMBERSHIP_TICK_US};

    event_add(task->tick, &interval);
    event_base_dispatch(task->base);
    return NULL;
}

bool
control_task_start(struct control_task *task, struct status *st)
{
    if (pthread_create(&task->thread, NULL, run, task) != 0) {
        status_set(st, ERR_SYSTEM, "control: cannot create the thread");
        return false;
    }
    task->started = true;
    return true;
}

void
control_task_stop(struct control_task *task)
{
    event_active(task->stop, EV_TIMEOUT, 0);
}

void
control_task_join(struct control_task *task)
{
    if (task->started) {
        pthread_join(task->thread, NULL);
        task->started = false;
    }
}

static void
free_event(struct event *event)
{
    if (event != NULL) {
        event_free(event);
    }
}

void
control_task_destroy(struct control_task *task)
{
    if (task == NULL) {
        return;
    }
    control_status_close(task);
    control_config_close(task);
    control_peers_close(task);
    mailbox_destroy(task->api);
    mailbox_destroy(task->data);
    free_event(task->tick);
    free_event(task->stop);
    if (task->base != NULL) {
        event_base_free(task->base);
    }
    event_ring_destroy(task->events);
    free(task);
}
