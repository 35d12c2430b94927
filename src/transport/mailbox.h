#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"

/* One end of a two-way message channel between two tasks (threads) of the
 * process: a ZeroMQ PAIR socket over inproc, read from the event loop of the
 * task that owns this end. */
struct mailbox;

/* Called from the owner's event loop for each message, with the type that was
 * given to mailbox_send(). "data" is valid during the call only. */
typedef void (*mailbox_cb)(void *ctx, uint32_t type, const void *data,
                           size_t size);

/* Creates one end of a channel. Both ends use the same "name", and the end
 * with "bind" set must be created first. "zmq_ctx" and "base" remain the
 * caller's. Returns NULL with "st" set if the socket cannot be opened or
 * memory is short. */
struct mailbox *mailbox_new(void *zmq_ctx, struct event_base *base,
                            const char *name, bool bind, mailbox_cb cb,
                            void *ctx, struct status *st);
void mailbox_destroy(struct mailbox *mb);
/* Passes the messages that are still queued to "cb", which replaces the
 * mailbox's own callback. Lets the owner free the memory that queued messages
 * point to, once its event loop has ended and the other end no longer sends.
 * Does nothing if "mb" is NULL. */
void mailbox_drain(struct mailbox *mb, mailbox_cb cb, void *ctx);

/* Queues a copy of the message for the other end. Returns false, with
 * nothing queued, on failure, for example when the queue is full. */
bool mailbox_send(struct mailbox *mb, uint32_t type, const void *data,
                  size_t size);
