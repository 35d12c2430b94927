#include <stdarg.h>
#include <stdio.h>

#define LOG_MODULE "data"
#include "base/log.h"
#include "daemon/data.h"
#include "daemon/messages.h"

void
data_report_event(struct data_task *task, const char *kind,
                  const char *subject, const char *fmt, ...)
{
    struct msg_event event = {0};
    va_list args;

    snprintf(event.kind, sizeof(event.kind), "%s", kind);
    snprintf(event.subject, sizeof(event.subject), "%s", subject);
    va_start(args, fmt);
    vsnprintf(event.cause, sizeof(event.cause), fmt, args);
    va_end(args);
    log_fields(LOG_LEVEL_INFO, LOG_MODULE,
               LOG_FIELDS({"subject", event.subject}, {"cause", event.cause}),
               "%s", event.kind);
    mailbox_send(task->control, MSG_EVENT, &event, sizeof(event));
}

void
data_count(struct data_task *task, enum counter counter)
{
    counters_add(metrics_counters(task->metrics), counter, 1);
}

void
data_count_error(struct data_task *task, enum error_kind kind)
{
    counters_add_error(metrics_counters(task->metrics), kind);
}
