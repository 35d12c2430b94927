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

/* Brings the requests of each service to its targets: admission, choice of a
 * target, retries, deadlines. Free of input and output; the owner sends and
 * cancels through callbacks and reports results. */

/* What is known of a service while it is in the configuration. */
struct dispatch_service {
    struct list active; /* in dispatch.active while it has jobs */
    char id[ID_SIZE];
    struct service_targets *targets; /* NULL when the service is gone */
    struct admission *admission;
    struct retry_budget retries;
    struct list running; /* struct job */
    uint32_t jobs;       /* waiting and running */
};

enum job_state {
    JOB_IDLE,
    JOB_WAITING,
    JOB_RUNNING,
};

/* One request for a target; embedded in the owner's own structure. The owner
 * fills the first part before dispatch_submit(). */
struct job {
    enum traffic_class class;
    bool repeatable;
    const char *tenant; /* outlives the job */
    uint64_t deadline_us;
    uint64_t flow_hash;
    uint32_t bound; /* hash of the target to prefer, 0: none */
    bool pinned;    /* finishes at the bound target, also when it leaves */

    struct list link; /* in dispatch_service.running */
    struct admission_entry entry;
    struct dispatch_service *svc;
    struct target_state *target; /* while running, or the last one */
    struct balance_request pick;
    enum job_state state;
    bool touched; /* some try may have run it */
    uint64_t arrived_us;
    uint64_t started_us; /* of the last try */
    uint64_t give_up_us; /* the last try is given up then */
};

/* What the target client reported of a try. */
struct job_result {
    enum error_kind kind; /* ERR_NONE: a whole answer */
    bool sent;            /* a byte of the request may have left */
    bool refused;         /* answered 503 and says that it did not run it */
    bool has_load;
    uint32_t running;
    uint32_t slots;
    uint32_t queued;
};

struct dispatch_ops {
    /* Sends a job to job->target. Returns false when nothing was sent. */
    bool (*send)(void *ctx, struct job *job);
    /* Gives up the try in progress. */
    void (*cancel)(void *ctx, struct job *job);
    /* The job ended without an answer of a target; "not_run" tells whether no
     * target has run it. "retry_after_ms" is 0 when there is no advice. */
    void (*failed)(void *ctx, struct job *job, enum error_kind kind,
                   bool not_run, uint32_t retry_after_ms);
    /* A target's health changed. */
    void (*health)(void *ctx, struct target_state *t, bool healthy,
                   const char *cause);
};

struct dispatch {
    const struct dispatch_ops *ops;
    void *ctx;
    struct random *random;
    struct balance balance;
    struct target_table *targets;
    GHashTable *services; /* id -> struct dispatch_service, owned */
    struct list active;
    uint32_t queue_limit;
    bool held; /* nothing is sent */
};

bool dispatch_init(struct dispatch *d, const struct dispatch_ops *ops,
                   void *ctx, struct random *random, uint32_t queue_limit);
/* Every job must have ended. */
void dispatch_destroy(struct dispatch *d);

/* Takes over a new view; jobs of a removed service fail. Returns false when
 * memory is short and the old view stays. */
bool dispatch_apply_view(struct dispatch *d, const struct config_view *view,
                         uint64_t now);
struct dispatch_service *dispatch_find(struct dispatch *d, const char *id);

/* Holds all jobs back, or lets them go on. For the time in which the view may
 * be out of date, as after a pause; jobs still end at their deadlines. */
void dispatch_hold(struct dispatch *d, bool held, uint64_t now);

/* Takes a job. It ends by ops->failed(), possibly before this returns, or by
 * dispatch_result() returning true, or by dispatch_cancel(). */
void dispatch_submit(struct dispatch *d, struct dispatch_service *svc,
                     struct job *job, uint64_t now);

/* Reports a try. Returns true when the job has ended with the target's
 * answer, which the owner passes on; false when it was tried again or has
 * ended by ops->failed(). */
bool dispatch_result(struct dispatch *d, struct job *job,
                     const struct job_result *result, uint64_t now);

/* Takes a job out; ops->cancel() is called when it runs. */
void dispatch_cancel(struct dispatch *d, struct job *job, uint64_t now);

/* Starts what can start and ends what is past its deadline. Returns when to
 * be called again at the latest. */
uint64_t dispatch_tick(struct dispatch *d, uint64_t now);

/* Picks a target for a stream, which holds no slot; NULL when there is
 * none, or while jobs are held back. */
struct target_state *dispatch_pick_stream(struct dispatch *d,
                                          struct dispatch_service *svc,
                                          uint64_t flow_hash, uint32_t bound,
                                          uint64_t now);
