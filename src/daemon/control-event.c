#include <stdarg.h>
#include <stdio.h>

#define LOG_MODULE "control"
#include "base/clock.h"
#include "base/log.h"
#include "daemon/control.h"

void
control_event(struct control_task *task, const char *kind, const char *subject,
              const char *fmt, ...)
{
    char cause[EVENT_CAUSE_SIZE];
    va_list args;

    va_start(args, fmt);
    vsnprintf(cause, sizeof(cause), fmt, args);
    va_end(args);
    event_ring_add(task->events, clock_wall_us(), kind, subject, cause);
    log_fields(LOG_LEVEL_INFO, LOG_MODULE,
               LOG_FIELDS({"subject", subject}, {"cause", cause}), "%s", kind);
}
