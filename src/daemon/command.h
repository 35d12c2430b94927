#pragma once

#include "daemon/data.h"

/* Requests that change something: each needs a flow and its home, and is
 * delivered at most once unless its method is idempotent. */

struct commands *commands_new(struct data_task *task);
void commands_destroy(struct commands *commands);

/* Handles a request other than GET and FETCH. */
void commands_handle(struct commands *commands, const struct inbound *in);
void commands_tick(struct commands *commands, uint64_t now);
bool commands_idle(const struct commands *commands);
