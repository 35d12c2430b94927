#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "api"
#include "base/clock.h"
#include "base/log.h"
#include "daemon/api.h"
#include "daemon/messages.h"
#include "protocol/error-table.h"

#define CONTROL_TIMEOUT_S 3 /* of a question; the task answers at once */
#define STOP_FLUSH_MS 50    /* for answers on their way out */
#define RETRY_AFTER_S "2"   /* outages seldom end sooner */

/* Ends the loop once the answers are on their way. */
void
api_end_soon(struct api_task *task)
{
    const struct timeval flush = {.tv_usec = STOP_FLUSH_MS * 1000};

    event_base_loopexit(task->base, &flush);
}

void
api_call_destroy(struct api_call *call)
{
    struct api_task *task = call->task;

    list_remove(&call->link);
    task->call_count--;
    if (task->stopping && task->call_count == 0) {
        api_end_soon(task);
    }
    if (call->timer != NULL) {
        event_free(call->timer);
    }
    if (call->on_end != NULL) {
        call->on_end(call);
    }
    json_decref(call->status);
    free(call);
}

void
api_call_reply_typed(struct api_call *call, int http_status, const char *type,
                     const char *text, size_t len)
{
    if (http_status == HTTP_SERVUNAVAIL) {
        http_exchange_add_header(call->x, "Retry-After", RETRY_AFTER_S);
    }
    http_exchange_reply(call->x, http_status, type, text, len);
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
    char *text = api_error_text(st);
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
on_control_timeout(evutil_socket_t fd, short what, void *ctx)
{
    struct api_call *call = ctx;

    call->asked = 0;
    api_call_fail_with(call, ERR_STALE_VIEW,
                       "the control task does not answer");
}

void
api_call_ask(struct api_call *call, struct msg_api_request *request,
             api_answer_cb on_answer)
{
    const struct timeval limit = {.tv_sec = CONTROL_TIMEOUT_S};
    struct api_task *task = call->task;

    request->id = ++task->next_id;
    call->asked = request->id;
    call->on_answer = on_answer;
    event_add(call->timer, &limit);
    if (!mailbox_send(task->control, MSG_API_REQUEST, request,
                      sizeof(*request))) {
        LOG_WARN("the control task's mailbox is full");
    }
}

void
api_tell(struct api_task *task, struct msg_api_request *request)
{
    request->id = ++task->next_id;
    if (!mailbox_send(task->control, MSG_API_REQUEST, request,
                      sizeof(*request))) {
        free(request->resource);
    }
}

static struct api_call *
find_asked(struct api_task *task, uint64_t id)
{
    list_for_each (it, &task->calls) {
        struct api_call *call = container_of(it, struct api_call, link);

        if (call->asked == id) {
            return call;
        }
    }
    return NULL;
}

void
api_calls_on_message(void *ctx, uint32_t type, const void *data, size_t size)
{
    struct api_task *task = ctx;
    struct msg_api_answer answer;
    struct api_call *call;

    if (type != MSG_API_ANSWER || size != sizeof(answer)) {
        return;
    }
    memcpy(&answer, data, sizeof(answer));
    call = find_asked(task, answer.id);
    if (call != NULL) {
        call->asked = 0;
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
    call->x = x;
    call->timer = event_new(task->base, -1, 0, on_control_timeout, call);
    list_push_back(&task->calls, &call->link);
    task->call_count++;
    return call;
}
