#pragma once

#include "daemon/data.h"

/* Probes the health endpoints of the targets over HTTP. A target receives
 * requests only after its health endpoint has named the target's service. */

/* Allocates the probes of a data task, which must outlive them. Returns NULL
 * when memory is short. */
struct probes *probes_new(struct data_task *task);
void probes_destroy(struct probes *probes);

/* Marks every target as not verified and probes all of them again, beginning
 * with the next tick. */
void probes_restart(struct probes *probes);

/* Ends the probes that have timed out and starts those that are due. "now" is
 * in microseconds of the monotonic clock. */
void probes_tick(struct probes *probes, uint64_t now);
