#include "transport/http-call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "base/clock.h"

/* The timeouts of evhttp are set this much longer than the call's own timeout,
 * so that the call's own always expires first. */
#define EVHTTP_TIMEOUT_MARGIN_S 5

struct http_call {
    struct evhttp_connection *conn;
    struct evhttp_request *answer; /* owned; NULL until the answer is whole */
    struct event *timer; /* fires on timeout, and to report the result */
    struct timeval timeout;
    bool sent;  /* at least one byte of the request was sent */
    bool ended; /* the result will be reported on the next loop iteration */
    bool cancelled; /* no callback may run any more */
    bool in_chunk;  /* "on_chunk" is running */
    http_call_chunk_cb on_chunk;
    http_call_cb cb;
    void *ctx;
};

static void
call_free(struct http_call *call)
{
    if (call->timer != NULL) {
        event_free(call->timer);
    }
    if (call->conn != NULL) {
        evhttp_connection_free(call->conn);
    }
    if (call->answer != NULL) {
        evhttp_request_free(call->answer);
    }
    free(call);
}

/* Records that bytes of the request were passed to the kernel. */
static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *ctx)
{
    struct http_call *call = ctx;

    if (info->n_deleted > 0) {
        call->sent = true;
    }
}

/* Reports the result from the timer on the next loop iteration, because the
 * connection must not be freed from within a callback of evhttp. */
static void
schedule_report(struct http_call *call)
{
    call->ended = true;
    event_active(call->timer, EV_TIMEOUT, 0);
}

static void
on_answer(struct evhttp_request *req, void *ctx)
{
    struct http_call *call = ctx;

    if (req != NULL && evhttp_request_get_response_code(req) != 0) {
        evhttp_request_own(req);
        call->answer = req;
    }
    schedule_report(call);
}

static void
on_stream_chunk(struct evhttp_request *req, void *ctx)
{
    struct http_call *call = ctx;
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    size_t len = evbuffer_get_length(in);

    if (call->cancelled || evhttp_request_get_response_code(req) != HTTP_OK) {
        return;
    }
    event_add(call->timer, &call->timeout);
    call->in_chunk = true;
    call->on_chunk(call->ctx, (const char *)evbuffer_pullup(in, -1), len);
    call->in_chunk = false;
}

static void
report_result(struct http_call *call)
{
    struct http_call_answer answer = {
        .outcome = call->sent ? HTTP_CALL_ANSWER_LOST : HTTP_CALL_NOT_SENT,
    };

    if (call->answer != NULL) {
        struct evbuffer *in = evhttp_request_get_input_buffer(call->answer);

        answer.outcome = HTTP_CALL_ANSWERED;
        answer.status = evhttp_request_get_response_code(call->answer);
        answer.body_len = evbuffer_get_length(in);
        answer.body = (const char *)evbuffer_pullup(in, -1);
        answer.headers = evhttp_request_get_input_headers(call->answer);
    }
    call->cb(call->ctx, &answer);
}

static void
on_timer(evutil_socket_t fd, short what, void *ctx)
{
    struct http_call *call = ctx;

    if (!call->cancelled) {
        report_result(call);
    }
    call_free(call);
}

/* Creates the connection. Its bufferevent is created here rather than by
 * evhttp, so that on_output() can observe the bytes written. */
static bool
open_connection(struct http_call *call, struct event_base *base,
                const struct http_call_request *request)
{
    struct timeval evhttp_timeout = call->timeout;
    struct bufferevent *bev =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);

    if (bev == NULL) {
        return false;
    }
    evbuffer_add_cb(bufferevent_get_output(bev), on_output, call);
    call->conn = evhttp_connection_base_bufferevent_new(
        base, NULL, bev, request->address, request->port);
    if (call->conn == NULL) {
        bufferevent_free(bev);
        return false;
    }
    evhttp_timeout.tv_sec += EVHTTP_TIMEOUT_MARGIN_S;
    evhttp_connection_set_timeout_tv(call->conn, &evhttp_timeout);
    evhttp_connection_set_max_body_size(call->conn,
                                        (ev_ssize_t)request->answer_max);
    return true;
}

static struct evhttp_request *
make_request(struct http_call *call, const struct http_call_request *request)
{
    struct evhttp_request *req = evhttp_request_new(on_answer, call);
    struct evkeyvalq *headers;
    char host[64];

    if (req == NULL) {
        return NULL;
    }
    headers = evhttp_request_get_output_headers(req);
    snprintf(host, sizeof(host), "%s:%u", request->address, request->port);
    evhttp_add_header(headers, "Host", host);
    evhttp_add_header(headers, "Connection", "close");
    for (const struct http_call_header *h = request->headers;
         h != NULL && h->name != NULL; h++) {
        evhttp_add_header(headers, h->name, h->value);
    }
    if (request->body != NULL) {
        evbuffer_add(evhttp_request_get_output_buffer(req), request->body,
                     request->body_len);
    }
    if (call->on_chunk != NULL) {
        evhttp_request_set_chunked_cb(req, on_stream_chunk);
    }
    return req;
}

static bool
start_request(struct http_call *call, struct event_base *base,
              const struct http_call_request *request)
{
    struct evhttp_request *req;

    call->timer = event_new(base, -1, 0, on_timer, call);
    if (call->timer == NULL || !open_connection(call, base, request)) {
        return false;
    }
    req = make_request(call, request);
    if (req == NULL) {
        return false;
    }
    event_add(call->timer, &call->timeout);
    if (evhttp_make_request(call->conn, req, request->method, request->path) <
        0) {
        /* evhttp has freed the request; the failure is reported from the
         * event loop. */
        schedule_report(call);
    }
    return true;
}

struct http_call *
http_call_start(struct event_base *base,
                const struct http_call_request *request,
                http_call_chunk_cb on_chunk, http_call_cb cb, void *ctx)
{
    struct http_call *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        return NULL;
    }
    call->timeout.tv_sec = (time_t)(request->timeout_us / USEC_PER_SEC);
    call->timeout.tv_usec = (suseconds_t)(request->timeout_us % USEC_PER_SEC);
    call->on_chunk = on_chunk;
    call->cb = cb;
    call->ctx = ctx;
    if (!start_request(call, base, request)) {
        call_free(call);
        return NULL;
    }
    return call;
}

void
http_call_cancel(struct http_call *call)
{
    if (call == NULL) {
        return;
    }
    call->cancelled = true;
    if (call->in_chunk) {
        event_active(call->timer, EV_TIMEOUT, 0);
        return;
    }
    call_free(call);
}
