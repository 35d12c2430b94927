#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "api"
#include "base/clock.h"
#include "base/log.h"
#include "daemon/api.h"
#include "daemon/messages.h"
#include "protocol/error-table.h"

/* Time limit for an answer of the control task, which normally answers at
 * once. */
#define CONTROL_ANSWER_TIMEOUT_S 3
/* Delay before the event loop ends, in which the last answers are written to
 * their connections. */
#define STOP_FLUSH_DELAY_MS 50
/* Retry-After of an answer with status 503; outages seldom end sooner. */
#define RETRY_AFTER_S "2"

void
api_schedule_loop_exit(struct api_task *task)
{
    const struct timeval flush = {.tv_usec = STOP_FLUSH_DELAY_MS * 1000};

    event_base_loopexit(task->base, &flush);
}

void
api_call_destroy(struct api_call *call)
{
    struct api_task *task = call->task;

    list_remove(&call->link);
    task->call_count--;
    if (task->stopping && task->call_count == 0) {
        api_schedule_loop_exit(task);
    }
    if (call->timer != NULL) {
        event_free(call->timer);
    }
    if (call->on_destroy != NULL) {
        call->on_destroy(call);
    }
    json_decref(call->status);
    free(call);
}

void
api_call_reply_typed(struct api_call *call, int http_status, const char *type,
                     const char *text, size_t len)
{
    if (http_status == HTTP_SERVUNAVAIL) {
        http_exchange_add_header(call->exchange, "Retry-After", RETRY_AFTER_S);
    }
    http_exchange_reply(call->exchange, http_status, type, text, len);
    api_call_destroy(call);
}

void
api_call_reply(struct api_call *call, int http_status, const char *text,
               size_t len)
{
    api_call_reply_typed(call, http_status, API_JSON_TYPE, text, len);
}

void
api_call_fail(struct api_call *call, const struct status *st)
{
    char *text = api_error_json(st);
    int http_status = error_answer(st->kind)->http_status;

    api_call_reply(call, http_status, text, text == NULL ? 0 : strlen(text));
    free(text);
}

void
api_call_fail_with(struct api_call *call, enum error_kind kind,
                   const char *message)
{
    struct status st;

    status_set(&st, kind, "%s", message);
    api_call_fail(call, &st);
}

static void
on_control_answer_timeout(evutil_socket_t fd, short what, void *ctx)
{
    struct api_call *call = ctx;

    call->control_request_id = 0;
    api_call_fail_with(call, ERR_STALE_VIEW,
                       "the control task does not answer");
}

void
api_call_query_control(struct api_call *call, struct msg_api_request *request,
                       api_answer_cb on_answer)
{
    const struct timeval limit = {.tv_sec = CONTROL_ANSWER_TIMEOUT_S};
    struct api_task *task = call->task;

    request->id = ++task->last_request_id;
    call->control_request_id = request->id;
    call->on_answer = on_answer;
    event_add(call->timer, &limit);
    if (!mailbox_send(task->control, MSG_API_REQUEST, request,
                      sizeof(*request))) {
        LOG_WARN("mailbox of the control task is full; the request will time "
                 "out");
    }
}

void
api_notify_control(struct api_task *task, struct msg_api_request *request)
{
    request->id = ++task->last_request_id;
    if (!mailbox_send(task->control, MSG_API_REQUEST, request,
                      sizeof(*request))) {
        free(request->resource);
    }
}

static struct api_call *
find_call_by_request_id(struct api_task *task, uint64_t id)
{
    list_for_each (it, &task->calls) {
        struct api_call *call = container_of(it, struct api_call, link);

        if (call->control_request_id == id) {
            return call;
        }
    }
    return NULL;
}

void
api_on_control_message(void *ctx, uint32_t type, const void *data, size_t size)
{
    struct api_task *task = ctx;
    struct msg_api_answer answer;
    struct api_call *call;

    if (type != MSG_API_ANSWER || size != sizeof(answer)) {
        return;
    }
    memcpy(&answer, data, sizeof(answer));
    call = find_call_by_request_id(task, answer.id);
    if (call != NULL) {
        call->control_request_id = 0;
        event_del(call->timer);
        call->on_answer(call, &answer);
    }
    free(answer.text);
}

struct api_call *
api_call_new(struct api_task *task, struct http_exchange *x)
{
    struct api_call *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        return NULL;
    }
    call->task = task;
    call->exchange = x;
    call->timer =
        event_new(task->base, -1, 0, on_control_answer_timeout, call);
    list_push_back(&task->calls, &call->link);
    task->call_count++;
    return call;
}
