#pragma once

#include "daemon/data.h"

/* Handles requests other than GET and FETCH, called commands. A command
 * belongs to a flow. It is handled by the home of that flow, which is the
 * balancer process that the flow's token names, and it reaches a target at
 * most once unless its method is idempotent. */

/* Allocates the commands of a data task, which must outlive them. Returns NULL
 * when memory is short. */
struct commands *commands_new(struct data_task *task);
/* Cancels all running commands without an answer to their callers. No job may
 * be submitted to the dispatcher of the data task after this. */
void commands_destroy(struct commands *commands);

/* Handles a request other than GET and FETCH: delivers it to a target, answers
 * it from the record of an earlier copy, forwards it to its home or refuses
 * it. */
void commands_handle(struct commands *commands, const struct inbound *in);

/* Drops unfinished bodies that have expired, and acknowledges requests that
 * have waited for their answer for ANSWER_ACK_DELAY_US. "now" is in
 * microseconds of the monotonic clock. */
void commands_tick(struct commands *commands, uint64_t now);

/* Returns true when no command is running. */
bool commands_idle(const struct commands *commands);
