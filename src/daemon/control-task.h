#pragma once

#include <stdbool.h>

#include "base/settings.h"
#include "base/status.h"

/* The control task talks to the platform's store and to peers, and sends the
 * resulting configuration to the data task. It runs in a thread with its own
 * event loop and sockets. */
struct control_task;

/* Opens the sockets and binds the mailboxes. "zmq_ctx" and "settings" remain
 * owned by the caller and must outlive the task. Returns NULL with "st" set on
 * failure. */
struct control_task *control_task_new(void *zmq_ctx,
                                      const struct settings *settings,
                                      struct status *st);
/* Starts the thread. Returns false with "st" set on failure. */
bool control_task_start(struct control_task *task, struct status *st);
/* Begins the planned stop. May be called once, from any thread. */
void control_task_stop(struct control_task *task);
/* Waits for the thread to end. */
void control_task_join(struct control_task *task);
/* Frees the task, whose thread must have ended. Does nothing for NULL. */
void control_task_destroy(struct control_task *task);
