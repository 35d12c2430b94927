#pragma once

#include "daemon/data.h"

/* Probes of the targets' health endpoints. A target is used only after its
 * endpoint has named the service. */

struct probes *probes_new(struct data_task *task);
void probes_destroy(struct probes *probes);
/* Takes every target as not verified and probes all of them anew. */
void probes_start_over(struct probes *probes);
void probes_tick(struct probes *probes, uint64_t now);
