#pragma once

#include "daemon/forward-task.h"
#include "daemon/view-task.h"

/* Prometheus text exposition format 0.0.4 of a forwarder. The caller frees the
 * text. */
char *forward_metrics_text(struct forward_task *task, struct view_task *view);
