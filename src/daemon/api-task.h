#pragma once

#include <stdbool.h>

#include "base/settings.h"
#include "base/status.h"

/* The task that serves the operators' API: an HTTP server on the host's
 * address, in a thread with its own event loop and sockets. */
struct api_task;

/* Opens the sockets. The control task must have bound its mailbox. "zmq_ctx"
 * and "settings" remain owned by the caller and must outlive the task. Returns
 * NULL with "st" set on failure. */
struct api_task *api_task_new(void *zmq_ctx, const struct settings *settings,
                              struct status *st);
/* Starts the thread. Returns false with "st" set on failure. */
bool api_task_start(struct api_task *task, struct status *st);
/* Asks the task to stop. May be called from any thread, but only once. New
 * requests are refused; the thread ends when those in progress are answered,
 * at the latest after 10 seconds. */
void api_task_stop(struct api_task *task);
/* Waits for the thread to end. */
void api_task_join(struct api_task *task);
/* Frees the task, whose thread must have ended. Does nothing for NULL. */
void api_task_destroy(struct api_task *task);
