#pragma once

#include <event2/event.h>

/* Drives a ZeroMQ socket from a libevent loop. ZMQ_FD is edge-triggered: the
 * callback must receive until EAGAIN, and zmq_watch_kick() must be called
 * after each send, because a send may consume the edge. */
struct zmq_watch;

typedef void (*zmq_watch_cb)(void *ctx);

struct zmq_watch *zmq_watch_new(struct event_base *base, void *socket,
                                zmq_watch_cb cb, void *ctx);
void zmq_watch_destroy(struct zmq_watch *watch);
void zmq_watch_kick(struct zmq_watch *watch);
