#pragma once

#include "daemon/data.h"

/* Handles GET and FETCH requests, including block-wise transfers (RFC 7959). A
 * body is read from the target in chunks of many blocks. The chunks of a body
 * that is longer than one block and has an ETag are cached for the requests
 * for its further blocks. */

/* Allocates the fetches of a data task, which must outlive them. Returns NULL
 * when memory is short. */
struct fetches *fetches_new(struct data_task *task);
/* Cancels all running fetches without an answer to their callers. No job may
 * be submitted to the dispatcher of the data task after this. */
void fetches_destroy(struct fetches *fetches);

/* Handles a GET or FETCH request: answers it from the cache, lets it wait for
 * a running fetch of the same chunk or starts a fetch. */
void fetches_handle(struct fetches *fetches, const struct inbound *in);

/* Drops cached bodies that have expired, and acknowledges requests that have
 * waited for their answer for ANSWER_ACK_DELAY_US. "now" is in microseconds of
 * the monotonic clock. */
void fetches_tick(struct fetches *fetches, uint64_t now);

/* Returns true when no fetch is running. */
bool fetches_idle(const struct fetches *fetches);
