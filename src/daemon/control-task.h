#pragma once

#include <stdbool.h>

#include "base/settings.h"
#include "base/status.h"

/* The task of the control plane: the platform's store, the peers, the
 * configuration in force. A thread with its own loop and sockets. */
struct control_task;

/* Opens the sockets and binds the mailboxes. Returns NULL with "st" set on
 * failure. */
struct control_task *control_task_new(void *zmq_ctx,
                                      const struct settings *settings,
                                      struct status *st);
bool control_task_start(struct control_task *task, struct status *st);
/* Begins the planned stop; may be called from any thread, once. */
void control_task_stop(struct control_task *task);
/* Waits for the thread to end. */
void control_task_join(struct control_task *task);
void control_task_destroy(struct control_task *task);
