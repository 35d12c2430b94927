#include "transport/zmq-watch.h"

#include <stdbool.h>
#include <stdlib.h>

#include <zmq.h>

struct zmq_watch {
    void *socket;
    struct event *readable; /* on ZMQ_FD */
    struct event *recheck;  /* checks ZMQ_EVENTS without a readable ZMQ_FD */
    zmq_watch_cb cb;
    void *ctx;
};

static bool
socket_has_input(void *socket)
{
    int events = 0;
    size_t size = sizeof(events);

    zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size);
    return (events & ZMQ_POLLIN) != 0;
}

static void
on_event(evutil_socket_t fd, short what, void *arg)
{
    struct zmq_watch *watch = arg;

    if (socket_has_input(watch->socket)) {
        watch->cb(watch->ctx);
    }
}

struct zmq_watch *
zmq_watch_new(struct event_base *base, void *socket, zmq_watch_cb cb,
              void *ctx)
{
    struct zmq_watch *watch = calloc(1, sizeof(*watch));
    int fd = -1;
    size_t size = sizeof(fd);

    if (watch == NULL) {
        return NULL;
    }
    zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
    watch->socket = socket;
    watch->cb = cb;
    watch->ctx = ctx;
    watch->readable =
        event_new(base, fd, EV_READ | EV_PERSIST, on_event, watch);
    watch->recheck = event_new(base, -1, 0, on_event, watch);
    if (watch->readable == NULL || watch->recheck == NULL) {
        zmq_watch_destroy(watch);
        return NULL;
    }
    event_add(watch->readable, NULL);
    zmq_watch_schedule_check(watch);
    return watch;
}

void
zmq_watch_destroy(struct zmq_watch *watch)
{
    if (watch == NULL) {
        return;
    }
    if (watch->readable != NULL) {
        event_free(watch->readable);
    }
    if (watch->recheck != NULL) {
        event_free(watch->recheck);
    }
    free(watch);
}

void
zmq_watch_schedule_check(struct zmq_watch *watch)
{
    event_active(watch->recheck, EV_READ, 0);
}
