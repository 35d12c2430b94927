#include "daemon/api-task.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/thread.h>

#define LOG_MODULE "api"
#include "base/clock.h"
#include "base/log.h"
#include "daemon/api.h"
#include "daemon/messages.h"
#include "protocol/error-table.h"
#include "protocol/resource-json.h"

#define API_CALLS_MAX 256       /* maximum number of requests in progress */
#define HEADERS_SIZE_MAX 8192   /* bytes of a request's headers */
#define CONNECTION_TIMEOUT_S 15 /* an idle connection is closed after this */
/* Time after which a stop no longer waits for requests in progress. Longer
 * than the time limit of a write (WRITE_TIME_LIMIT_US). */
#define STOP_TIMEOUT_S 10
/* Default and maximum number of entries in the answer to a list or to
 * /v1/events. */
#define LIST_LIMIT_DEFAULT 100
#define LIST_LIMIT_MAX 1000
#define API_METRICS_SIZE 4096 /* bytes of the API task's own metrics */
#define METRICS_TYPE "text/plain; version=0.0.4"

static void
on_text_answer(struct api_call *call, const struct msg_api_answer *answer)
{
    if (answer->kind != ERR_NONE) {
        api_call_fail_with(call, answer->kind,
                           error_answer(answer->kind)->text);
        return;
    }
    api_call_reply(call, HTTP_OK, answer->text, answer->text_len);
}

static void
on_resource_answer(struct api_call *call, const struct msg_api_answer *answer)
{
    char etag[API_ETAG_SIZE];

    if (answer->kind == ERR_NONE) {
        api_etag_format(answer->version, etag);
        http_exchange_add_header(call->exchange, "ETag", etag);
    }
    on_text_answer(call, answer);
}

/* Formats the API task's own counters into "out" and returns their length,
 * which is less than "size"; what does not fit is cut off. */
static size_t
format_api_metrics(const struct api_task *task, char *out, size_t size)
{
    int len =
        snprintf(out, size,
                 "# TYPE pimentohaven_api_requests_total counter\n"
                 "pimentohaven_api_requests_total %" PRIu64 "\n"
                 "# TYPE pimentohaven_api_store_calls_total counter\n"
                 "pimentohaven_api_store_calls_total %" PRIu64 "\n"
                 "# TYPE pimentohaven_api_writes_total counter\n",
                 task->request_count, store_client_call_count(task->store));

    for (int kind = 0; kind < ERR_KIND_COUNT; kind++) {
        if (task->write_outcomes[kind] > 0 && len > 0 && (size_t)len < size) {
            len +=
                snprintf(out + len, size - (size_t)len,
                         "pimentohaven_api_writes_total{outcome=\"%s\"} "
                         "%" PRIu64 "\n",
                         kind == ERR_NONE ? "accepted" : error_kind_name(kind),
                         task->write_outcomes[kind]);
        }
    }
    return (size_t)len < size ? (size_t)len : size - 1;
}

/* Answers with the API task's own metrics, followed by those of the control
 * and data tasks if the control task's answer has any. */
static void
on_metrics_answer(struct api_call *call, const struct msg_api_answer *answer)
{
    size_t size = answer->text_len + API_METRICS_SIZE;
    char *text = malloc(size);
    size_t len;

    if (text == NULL) {
        api_call_fail_with(call, ERR_NO_MEMORY, "out of memory");
        return;
    }
    len = format_api_metrics(call->task, text, API_METRICS_SIZE);
    if (answer->text_len > 0) {
        memcpy(text + len, answer->text, answer->text_len);
        len += answer->text_len;
    }
    api_call_reply_typed(call, HTTP_OK, METRICS_TYPE, text, len);
    free(text);
}

/* Parses the decimal number of a query parameter; "fallback" is used when the
 * parameter is absent. Returns false when it is malformed or above "max". */
static bool
parse_query_number(const struct api_call *call, const char *name,
                   uint64_t fallback, uint64_t max, uint64_t *out)
{
    const char *text = http_exchange_query(call->exchange, name);
    char *end;

    *out = fallback;
    if (text == NULL) {
        return true;
    }
    if (text[0] < '0' || text[0] > '9') {
        return false;
    }
    *out = strtoull(text, &end, 10);
    return *end == '\0' && *out <= max;
}

static void
query_list(struct api_call *call)
{
    struct msg_api_request request = {
        .query = API_QUERY_LIST,
        .kind = call->route.resource,
    };
    const char *after = http_exchange_query(call->exchange, "after");
    uint64_t limit;

    if (!parse_query_number(call, "limit", LIST_LIMIT_DEFAULT, LIST_LIMIT_MAX,
                            &limit) ||
        limit == 0) {
        api_call_fail_with(call, ERR_INVALID, "limit: expected 1 to 1000");
        return;
    }
    request.limit = (uint32_t)limit;
    memcpy(request.name, call->route.name, sizeof(request.name));
    snprintf(request.after, sizeof(request.after), "%s",
             after == NULL ? "" : after);
    api_call_query_control(call, &request, on_text_answer);
}

static void
query_events(struct api_call *call)
{
    struct msg_api_request request = {.query = API_QUERY_EVENTS};
    uint64_t limit;

    if (!parse_query_number(call, "after", 0, UINT64_MAX, &request.since)) {
        api_call_fail_with(call, ERR_INVALID, "after: expected a number");
        return;
    }
    if (!parse_query_number(call, "limit", LIST_LIMIT_DEFAULT, LIST_LIMIT_MAX,
                            &limit)) {
        api_call_fail_with(call, ERR_INVALID, "limit: expected 1 to 1000");
        return;
    }
    request.limit = (uint32_t)limit;
    api_call_query_control(call, &request, on_text_answer);
}

static void
query_resource(struct api_call *call)
{
    struct msg_api_request request = {
        .query = API_QUERY_RESOURCE,
        .kind = call->route.resource,
    };

    memcpy(request.name, call->route.name, sizeof(request.name));
    api_call_query_control(call, &request, on_resource_answer);
}

static void
handle_get(struct api_call *call)
{
    struct msg_api_request request = {.query = API_QUERY_METRICS};

    switch (call->route.kind) {
    case ROUTE_RESOURCE:
        query_resource(call);
        break;
    case ROUTE_LIST:
        query_list(call);
        break;
    case ROUTE_WRITE:
        api_write_outcome_start(call);
        break;
    case ROUTE_STATUS:
        api_status_start(call);
        break;
    case ROUTE_EVENTS:
        query_events(call);
        break;
    case ROUTE_METRICS:
        api_call_query_control(call, &request, on_metrics_answer);
        break;
    }
}

static void
route_request(struct api_call *call)
{
    struct status st;

    if (!api_route_parse(&call->route, http_exchange_path(call->exchange),
                         &st)) {
        api_call_fail(call, &st);
    }
    else if (http_exchange_method(call->exchange) == EVHTTP_REQ_GET) {
        handle_get(call);
    }
    else if (call->route.kind == ROUTE_RESOURCE) {
        api_write_start(call);
    }
    else {
        api_call_fail_with(call, ERR_METHOD, "only GET is served here");
    }
}

static void
on_request(void *ctx, struct http_exchange *x)
{
    struct api_task *task = ctx;
    struct api_call *call = api_call_new(task, x);

    task->request_count++;
    if (call == NULL) {
        http_exchange_reply(x, HTTP_SERVUNAVAIL, API_JSON_TYPE, NULL, 0);
        return;
    }
    if (task->stopping) {
        api_call_fail_with(call, ERR_STOPPING, "this balancer is stopping");
        return;
    }
    if (task->call_count > API_CALLS_MAX) {
        api_call_fail_with(call, ERR_OVERLOADED,
                           "too many requests in progress");
        return;
    }
    route_request(call);
}

static void
on_stop(evutil_socket_t fd, short what, void *ctx)
{
    const struct timeval limit = {.tv_sec = STOP_TIMEOUT_S};
    struct api_task *task = ctx;

    task->stopping = true;
    if (task->call_count == 0) {
        api_schedule_loop_exit(task);
        return;
    }
    event_base_loopexit(task->base, &limit);
}

static bool
open_server(struct api_task *task, struct status *st)
{
    const struct http_server_options options = {
        .address = task->settings->host.address,
        .port = task->settings->ports.api,
        .body_max = RESOURCE_JSON_BODY_SIZE_MAX,
        .headers_max = HEADERS_SIZE_MAX,
        .timeout_s = CONNECTION_TIMEOUT_S,
    };

    task->server = http_server_new(task->base, &options, on_request, task, st);
    return task->server != NULL;
}

/* Creates the client of the platform's store. It does not retry failed
 * attempts, because the state machine of a write (struct operator_write)
 * decides about retries. */
static bool
open_store(struct api_task *task, struct status *st)
{
    const struct settings *settings = task->settings;
    size_t count = settings->platform.endpoints_count;
    struct store_client_options options;
    char texts[count][32];
    const char *endpoints[count];

    for (size_t i = 0; i < count; i++) {
        snprintf(texts[i], sizeof(texts[i]), "%s:%u",
                 settings->platform.endpoints[i].address,
                 settings->platform.endpoints[i].port);
        endpoints[i] = texts[i];
    }
    task->store = store_client_new(task->base, endpoints, count, st);
    if (task->store == NULL) {
        return false;
    }
    store_client_options_default(&options);
    options.attempts = 1;
    store_client_set_options(task->store, &options);
    return true;
}

static bool
open_loop(struct api_task *task, struct status *st)
{
    if (evthread_use_pthreads() < 0) {
        status_set(st, ERR_SYSTEM,
                   "api: cannot enable libevent's thread support");
        return false;
    }
    task->base = event_base_new();
    if (task->base == NULL) {
        status_set(st, ERR_NO_MEMORY, "api: out of memory");
        return false;
    }
    task->stop_event = event_new(task->base, -1, 0, on_stop, task);
    if (task->stop_event == NULL) {
        status_set(st, ERR_NO_MEMORY, "api: out of memory");
        return false;
    }
    return true;
}

struct api_task *
api_task_new(void *zmq_ctx, const struct settings *settings, struct status *st)
{
    struct api_task *task = calloc(1, sizeof(*task));

    if (task == NULL) {
        status_set(st, ERR_NO_MEMORY, "api: out of memory");
        return NULL;
    }
    task->settings = settings;
    list_init(&task->calls);
    if (!open_loop(task, st) || !open_store(task, st) ||
        !open_server(task, st)) {
        api_task_destroy(task);
        return NULL;
    }
    task->control = mailbox_new(zmq_ctx, task->base, MAILBOX_CONTROL_API,
                                false, api_on_control_message, task, st);
    if (task->control == NULL) {
        api_task_destroy(task);
        return NULL;
    }
    return task;
}

static void *
run_loop(void *arg)
{
    struct api_task *task = arg;

    event_base_dispatch(task->base);
    return NULL;
}

bool
api_task_start(struct api_task *task, struct status *st)
{
    if (pthread_create(&task->thread, NULL, run_loop, task) != 0) {
        status_set(st, ERR_SYSTEM, "api: cannot create the thread");
        return false;
    }
    task->started = true;
    return true;
}

void
api_task_stop(struct api_task *task)
{
    event_active(task->stop_event, EV_TIMEOUT, 0);
}

void
api_task_join(struct api_task *task)
{
    if (task->started) {
        pthread_join(task->thread, NULL);
        task->started = false;
    }
}

/* Frees the calls in progress. The server is destroyed already, so replying
 * only frees their exchanges and sends nothing. */
static void
abort_calls(struct api_task *task)
{
    list_for_each_safe (it, &task->calls) {
        struct api_call *call = container_of(it, struct api_call, link);

        http_exchange_reply(call->exchange, HTTP_SERVUNAVAIL, API_JSON_TYPE,
                            NULL, 0);
        api_call_destroy(call);
    }
}

void
api_task_destroy(struct api_task *task)
{
    if (task == NULL) {
        return;
    }
    store_client_destroy(task->store);
    http_server_destroy(task->server);
    abort_calls(task);
    mailbox_destroy(task->control);
    if (task->stop_event != NULL) {
        event_free(task->stop_event);
    }
    if (task->base != NULL) {
        event_base_free(task->base);
    }
    free(task);
}
