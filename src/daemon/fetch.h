#pragma once

#include "daemon/data.h"

/* Requests that read: GET and FETCH, also block by block (RFC 7959). The
 * target is read in chunks of many blocks; a chunk in use is kept for the
 * blocks that follow. */

struct fetches *fetches_new(struct data_task *task);
void fetches_destroy(struct fetches *fetches);
void fetches_handle(struct fetches *fetches, const struct inbound *in);
void fetches_tick(struct fetches *fetches, uint64_t now);
bool fetches_idle(const struct fetches *fetches);
