#include "transport/zmq-watch.h"

#include <stdbool.h>
#include <stdlib.h>

#include <zmq.h>

struct zmq_watch {
    void *socket;
    struct event *readable; /* on ZMQ_FD */
    struct event *again;    /* deferred re-check of ZMQ_EVENTS */
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

/* Starts to watch a socket. The socket stays the caller's. Returns NULL when
 * memory or events cannot be had. */
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
    watch->again = event_new(base, -1, 0, on_event, watch);
    if (watch->readable == NULL || watch->again == NULL) {
        zmq_watch_destroy(watch);
        return NULL;
    }
    event_add(watch->readable, NULL);
    zmq_watch_kick(watch);
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
    if (watch->again != NULL) {
        event_free(watch->again);
    }
    free(watch);
}

/* Re-checks the socket on the next turn of the loop. */
void
zmq_watch_kick(struct zmq_watch *watch)
{
    event_active(watch->again, EV_READ, 0);
}
