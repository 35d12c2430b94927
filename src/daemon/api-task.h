#pragma once

#include <stdbool.h>

#include "base/settings.h"
#include "base/status.h"

/* The task of the operators' API: an HTTP server on the host's address. A
 * thread with its own loop and sockets. */
struct api_task;

/* Opens the sockets. The control task must have bound its mailbox. Returns
 * NULL with "st" set on failure. */
struct api_task *api_task_new(void *zmq_ctx, const struct settings *settings,
                              struct status *st);
bool api_task_start(struct api_task *task, struct status *st);
/* Begins the task's end; may be called from any thread, once. Requests in
 * progress are answered first, within some seconds. */
void api_task_stop(struct api_task *task);
/* Waits for the thread to end. */
void api_task_join(struct api_task *task);
void api_task_destroy(struct api_task *task);
