#pragma once

#include <event2/event.h>

/* Runs a callback from a libevent loop when a ZeroMQ socket has input. ZMQ_FD,
 * the socket's file descriptor, is edge-triggered: the callback must receive
 * until EAGAIN, and zmq_watch_schedule_check() must be called after each send,
 * because a send may consume the edge. */
struct zmq_watch;

/* Receives from the socket until EAGAIN. */
typedef void (*zmq_watch_cb)(void *ctx);

/* Starts to watch a socket, which remains the caller's and must stay open
 * until zmq_watch_destroy(). Returns NULL if out of memory. */
struct zmq_watch *zmq_watch_new(struct event_base *base, void *socket,
                                zmq_watch_cb cb, void *ctx);
void zmq_watch_destroy(struct zmq_watch *watch);
/* Checks the socket for input on the next iteration of the event loop. */
void zmq_watch_schedule_check(struct zmq_watch *watch);
