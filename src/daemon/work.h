#pragma once

#include "coordination/dispatch.h"
#include "transport/target-client.h"

/* What the owners of jobs have in common: a job with the operations of its
 * owner. Embedded in the owner's structure. */

struct work;

struct work_ops {
    bool (*send)(struct work *work);
    void (*failed)(struct work *work, enum error_kind kind, bool not_run,
                   uint32_t retry_after_ms);
};

struct work {
    struct job job;
    const struct work_ops *ops;
    struct target_call *call; /* NULL: not running */
};

/* Operations for dispatch_init(). */
extern const struct dispatch_ops work_dispatch_ops;

struct data_task;
struct target_response;

/* Sends a work's request to the target of its job. */
bool work_call(struct data_task *task, struct work *work,
               const struct target_request *request, target_call_cb cb);

/* Hands the end of a call to the dispatcher. Returns true when the response
 * is the answer to be passed on. */
bool work_result(struct data_task *task, struct work *work,
                 enum error_kind kind, bool sent,
                 const struct target_response *response);

/* Records how long an answered job waited, ran and took in all. */
void work_record_times(struct data_task *task, const struct work *work);

/* Milliseconds until the job's deadline, at least 1. */
uint32_t work_deadline_ms(const struct work *work, uint64_t now);
