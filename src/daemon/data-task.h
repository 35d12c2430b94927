#pragma once

#include <stdbool.h>

#include "base/settings.h"
#include "base/status.h"

/* The task of the data path: callers' packets, flows, targets. A thread with
 * its own loop and sockets. */
struct data_task;

/* Opens the sockets. The control task must have bound its mailbox. Returns
 * NULL with "st" set on failure. */
struct data_task *data_task_new(void *zmq_ctx, const struct settings *settings,
                                struct status *st);
bool data_task_start(struct data_task *task, struct status *st);
/* Waits for the thread, which ends after a planned stop. */
void data_task_join(struct data_task *task);
void data_task_destroy(struct data_task *task);
