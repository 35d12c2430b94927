#pragma once

#include "daemon/forward-task.h"
#include "daemon/view-task.h"

/* Metrics of a forwarder in the Prometheus text exposition format 0.0.4. The
 * caller frees the text; NULL when memory is short. */
char *forward_metrics_text(struct forward_task *task, struct view_task *view);
