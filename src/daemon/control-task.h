#pragma once

#include <stdbool.h>

#include "base/settings.h"
#include "base/status.h"

/* The task of the control plane: the platform's store, gossip, views for the
 * data task, events and what is in force. A thread with its own loop. */
struct control_task;

/* Opens the sockets and binds the mailboxes, so it comes before the other
 * tasks. "settings" stays the caller's. Returns NULL with "st" set. */
struct control_task *control_task_new(void *zmq_ctx,
                                      const struct settings *settings,
                                      struct status *st);
bool control_task_start(struct control_task *task, struct status *st);
/* Begins the planned stop: the data task is told, and when it is done this
 * task leaves its peers and ends. Safe from any thread and signal handler
 * context of libevent. */
void control_task_stop(struct control_task *task);
/* Waits for the thread. */
void control_task_join(struct control_task *task);
void control_task_destroy(struct control_task *task);
