#pragma once

#include <stdbool.h>

#include "base/settings.h"
#include "base/status.h"

/* The task of the data path, which receives callers' packets, keeps their
 * flows and sends their requests to targets, in a thread with its own event
 * loop and sockets. */
struct data_task;

/* Opens the sockets. The control task must have bound its mailbox. "zmq_ctx"
 * and "settings" remain owned by the caller and must outlive the task. Returns
 * NULL with "st" set on failure. */
struct data_task *data_task_new(void *zmq_ctx, const struct settings *settings,
                                struct status *st);
/* Starts the thread. Returns false with "st" set on failure. */
bool data_task_start(struct data_task *task, struct status *st);
/* Waits for the thread, which ends when a planned stop (MSG_STOP) is
 * complete. */
void data_task_join(struct data_task *task);
/* Joins the thread if it runs, and frees the task. Does nothing for NULL. */
void data_task_destroy(struct data_task *task);
