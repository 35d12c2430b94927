#pragma once

#include "coordination/dispatch.h"
#include "transport/target-client.h"

/* A request to a target, which commands and fetches embed in their own
 * structures. It consists of the dispatcher's job, the call to the target that
 * carries out the job and the operations of the owner. */

struct work;

struct work_ops {
    /* Sends the request to work->job.target, by work_send_request(). Returns
     * false when nothing was sent. */
    bool (*send)(struct work *work);
    /* The job ended without an answer of a target. "not_run" says whether it
     * is certain that no target has run the request. "retry_after_ms" is the
     * time after which the caller may retry, or RETRY_NO_ADVICE_MS. */
    void (*failed)(struct work *work, enum error_kind kind, bool not_run,
                   uint32_t retry_after_ms);
};

struct work {
    struct job job;
    const struct work_ops *ops;
    struct target_call *call; /* NULL while no request to a target runs */
};

/* Operations for dispatch_init(), with the data task as their context. Every
 * job of that dispatcher must be embedded in a struct work. */
extern const struct dispatch_ops work_dispatch_ops;

struct data_task;
struct target_response;

/* Sends "request" to the target of the work's job; "cb" is called with "work"
 * as its context. Returns false when nothing was sent. */
bool work_send_request(struct data_task *task, struct work *work,
                       const struct target_request *request,
                       target_call_cb cb);

/* Reports the end of a call to the dispatcher, with the arguments of
 * target_call_cb. Returns true when the job has ended with "response", which
 * the owner sends to the caller; false when the job is tried again or has
 * ended by work_ops.failed(). */
bool work_report_result(struct data_task *task, struct work *work,
                        enum error_kind kind, bool sent,
                        const struct target_response *response);

/* Records three durations of an answered job in the metrics: from its arrival
 * until its last attempt was sent, from then until the answer, and the total.
 */
void work_record_times(struct data_task *task, const struct work *work);

/* Returns the milliseconds until the job's deadline, at least 1. "now" is in
 * microseconds of the monotonic clock. */
uint32_t work_deadline_ms(const struct work *work, uint64_t now);
