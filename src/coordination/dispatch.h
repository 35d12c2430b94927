#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/list.h"
#include "base/random.h"
#include "base/status.h"
#include "coordination/admission.h"
#include "coordination/balance.h"
#include "coordination/retry-budget.h"
#include "state/resource.h"
#include "state/target-table.h"

/* Dispatches the requests of each service to its targets: admission, target
 * selection, retries and deadlines. Does no input or output: the owner sends
 * and cancels through callbacks and reports the results. Times are of the
 * monotonic clock. */

/* State of a service. It is kept while the service is in the view or has
 * jobs. */
struct dispatch_service {
    struct list active; /* in dispatch.active while the service has jobs */
    char id[ID_SIZE];
    /* NULL when the service is not in the view */
    struct service_targets *targets;
    struct admission *admission;
    struct retry_budget retries;
    struct list running; /* struct job, linked by "link" */
    uint32_t jobs;       /* number of waiting and running jobs */
};

enum job_state {
    JOB_IDLE,
    JOB_WAITING,
    JOB_RUNNING,
};

/* One request for a target, embedded in the owner's own structure. The owner
 * sets the first group of fields before dispatch_submit(); the second group
 * belongs to the dispatcher. */
struct job {
    enum traffic_class class;
    /* The request may run more than once. */
    bool repeatable;
    const char *tenant; /* must outlive the job */
    uint64_t deadline_us;
    /* Breaks ties between targets; see struct balance_request. */
    uint64_t flow_hash;
    uint32_t bound; /* hash of the target the flow is bound to; 0: none */
    /* The first attempt prefers the bound target, even when that is
     * leaving. */
    bool pinned;

    struct list link; /* in dispatch_service.running */
    struct admission_entry entry;
    struct dispatch_service *svc;
    /* Target of the running attempt, or of the last attempt once the job has
     * ended; NULL while the job waits */
    struct target_state *target;
    /* Criteria for the selection of a target, with the targets already
     * tried */
    struct balance_request pick;
    enum job_state state;
    bool may_have_run; /* an earlier attempt may have run the request */
    uint64_t arrived_us;
    uint64_t started_us;          /* start of the last attempt */
    uint64_t attempt_deadline_us; /* when the last attempt is abandoned */
};

/* Result of one attempt, as reported by the target client. */
struct job_result {
    enum error_kind kind; /* ERR_NONE: a complete answer was received */
    /* At least one byte of the request may have left this process. */
    bool sent;
    /* The target answered 503 and stated that it did not run the request. */
    bool refused;
    /* The answer carried the load report in the fields below. */
    bool has_load;
    uint32_t running;
    uint32_t slots;
    uint32_t queued;
};

struct dispatch_ops {
    /* Sends a job to job->target. Returns false when nothing was sent. */
    bool (*send)(void *ctx, struct job *job);
    /* Cancels the attempt in progress. */
    void (*cancel)(void *ctx, struct job *job);
    /* The job has ended without an answer from a target. "not_run" is true
     * when it is certain that no target has run it. "retry_after_ms" is 0 when
     * there is no advice. */
    void (*failed)(void *ctx, struct job *job, enum error_kind kind,
                   bool not_run, uint32_t retry_after_ms);
    /* The health of a target changed, as observed on real requests. */
    void (*health)(void *ctx, struct target_state *t, bool healthy,
                   const char *cause);
};

struct dispatch {
    const struct dispatch_ops *ops;
    void *ctx;
    struct random *random;
    struct balance balance;
    struct target_table *targets;
    GHashTable *services; /* by id; struct dispatch_service, owned */
    /* struct dispatch_service with jobs, linked by "active" */
    struct list active;
    uint32_t queue_limit;
    bool suspended; /* no job is sent, and no stream gets a target */
};

/* Returns false when out of memory. "ops" and "random" must outlive "d".
 * "queue_limit" is the maximum number of waiting requests per service and
 * class. */
bool dispatch_init(struct dispatch *d, const struct dispatch_ops *ops,
                   void *ctx, struct random *random, uint32_t queue_limit);
/* All jobs must have ended. */
void dispatch_destroy(struct dispatch *d);

/* Applies a new view. Waiting jobs of a service that is not in the view fail
 * with ERR_NO_TARGET, or after the sending of jobs is resumed if it is
 * suspended; running jobs may finish. Returns false when out of memory; the
 * old view then stays in effect. */
bool dispatch_apply_view(struct dispatch *d, const struct config_view *view,
                         uint64_t now);
/* Returns NULL for an unknown service. The dispatcher owns the result, which
 * is valid while the service is in the view or has jobs. */
struct dispatch_service *dispatch_find(struct dispatch *d, const char *id);

/* Suspends or resumes the sending of jobs, for the time in which the view may
 * be out of date, as after a pause of this process. Jobs still end at their
 * deadlines. */
void dispatch_set_suspended(struct dispatch *d, bool suspended, uint64_t now);

/* Submits a job. It ends by ops->failed(), possibly before this function
 * returns, by dispatch_on_result() returning true, or by dispatch_cancel(). */
void dispatch_submit(struct dispatch *d, struct dispatch_service *svc,
                     struct job *job, uint64_t now);

/* Reports the result of an attempt. Returns true when the job has ended with
 * the target's answer, which the owner forwards to the caller. Returns false
 * when the job was queued or sent again, or has ended by ops->failed(). */
bool dispatch_on_result(struct dispatch *d, struct job *job,
                        const struct job_result *result, uint64_t now);

/* Ends a job without a result. Calls ops->cancel() when an attempt is in
 * progress, and never ops->failed(). No effect on a job that has ended. */
void dispatch_cancel(struct dispatch *d, struct job *job, uint64_t now);

/* Starts the jobs that can start and ends those past their deadline. Returns
 * the time at which it must be called again at the latest. */
uint64_t dispatch_tick(struct dispatch *d, uint64_t now);

/* Picks a target for a stream, which uses no slot. Returns NULL when no target
 * can take it or the sending of jobs is suspended. */
struct target_state *dispatch_pick_stream(struct dispatch *d,
                                          struct dispatch_service *svc,
                                          uint64_t flow_hash, uint32_t bound,
                                          uint64_t now);
