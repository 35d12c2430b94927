#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"

/* One end of a message channel between two tasks (threads) of the process:
 * a ZeroMQ PAIR socket over inproc, driven from the task's event loop. */
struct mailbox;

/* Called in the owner's loop for each message. The payload is the callee's to
 * read during the call only. */
typedef void (*mailbox_cb)(void *ctx, uint32_t type, const void *data,
                           size_t size);

/* Creates one end. The side with "bind" set must be created first. Both ends
 * use the same name. Returns NULL with "st" set when a socket cannot be
 * made. */
struct mailbox *mailbox_new(void *zmq_ctx, struct event_base *base,
                            const char *name, bool bind, mailbox_cb cb,
                            void *ctx, struct status *st);
void mailbox_destroy(struct mailbox *mb);
/* Hands what is still queued to "cb" in place of the box's own: once the loop
 * has ended and the other side no longer sends, for messages that own memory.
 * Does nothing for NULL. */
void mailbox_drain(struct mailbox *mb, mailbox_cb cb, void *ctx);

/* Queues a message; the bytes are copied. Returns false when the other end's
 * queue is full, in which case nothing was sent. */
bool mailbox_send(struct mailbox *mb, uint32_t type, const void *data,
                  size_t size);
