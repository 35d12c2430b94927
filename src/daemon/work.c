#include "daemon/work.h"

#include <assert.h>
#include <string.h>

#include "base/clock.h"
#include "daemon/answer.h"
#include "daemon/data.h"
#include "daemon/target-clients.h"
#include "protocol/http-map.h"

#define HTTP_SERVICE_UNAVAILABLE 503

static struct work *
work_of(struct job *job)
{
    return container_of(job, struct work, job);
}

static bool
on_send(void *ctx, struct job *job)
{
    struct work *work = work_of(job);

    return work->ops->send(work);
}

static void
on_cancel(void *ctx, struct job *job)
{
    struct work *work = work_of(job);

    target_call_cancel(work->call);
    work->call = NULL;
}

static void
on_failed(void *ctx, struct job *job, enum error_kind kind, bool not_run,
          uint32_t retry_after_ms)
{
    struct work *work = work_of(job);

    work->ops->failed(work, kind, not_run,
                      retry_after_ms == 0 ? RETRY_NO_ADVICE_MS
                                          : retry_after_ms);
}

static void
on_health(void *ctx, struct target_state *t, bool healthy, const char *cause)
{
    data_report_event(ctx, healthy ? "target_up" : "target_down", t->id, "%s",
                      cause);
}

const struct dispatch_ops work_dispatch_ops = {
    .send = on_send,
    .cancel = on_cancel,
    .failed = on_failed,
    .health = on_health,
};

uint32_t
work_deadline_ms(const struct work *work, uint64_t now)
{
    uint64_t left =
        work->job.deadline_us > now ? work->job.deadline_us - now : 0;
    uint64_t ms = left / USEC_PER_MSEC;

    return ms == 0 ? 1 : (uint32_t)ms;
}

bool
work_send_request(struct data_task *task, struct work *work,
                  const struct target_request *request, target_call_cb cb)
{
    struct target_state *t = work->job.target;
    struct target_client *client = target_clients_get(task->target_clients, t);

    /* The service of the port, the service that the request names and the
     * target's service in the current configuration must be the same. */
    assert(strcmp(t->service, request->service) == 0);
    assert(work->call == NULL);
    if (client == NULL) {
        return false;
    }
    work->call = target_client_call(client, request, cb, NULL, work);
    return work->call != NULL;
}

/* Whether the target refused the request without running it, in which case it
 * answers 503 with the header "X-Outcome: not_run". */
static bool
is_refusal(const struct target_response *response)
{
    return response->http_status == HTTP_SERVICE_UNAVAILABLE &&
           response->outcome != NULL &&
           strcmp(response->outcome, "not_run") == 0;
}

bool
work_report_result(struct data_task *task, struct work *work,
                   enum error_kind kind, bool sent,
                   const struct target_response *response)
{
    struct job_result result = {.kind = kind, .sent = sent};
    struct load_report load;

    work->call = NULL;
    if (kind == ERR_NONE) {
        result.refused = is_refusal(response);
        if (response->load != NULL &&
            http_map_parse_load(response->load, &load)) {
            result.has_load = true;
            result.running = load.running;
            result.slots = load.slots;
            result.queued = load.queued;
        }
    }
    return dispatch_on_result(&task->dispatch, &work->job, &result,
                              clock_monotonic_us());
}

void
work_record_times(struct data_task *task, const struct work *work)
{
    const struct job *job = &work->job;
    uint64_t now = clock_monotonic_us();

    metrics_record(task->metrics, job->tenant, job->class, PHASE_QUEUE,
                   job->started_us - job->arrived_us);
    metrics_record(task->metrics, job->tenant, job->class, PHASE_TARGET,
                   now - job->started_us);
    metrics_record(task->metrics, job->tenant, job->class, PHASE_WHOLE,
                   now - job->arrived_us);
}
