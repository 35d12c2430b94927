#include "transport/http-call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "base/clock.h"

/* evhttp's own time limits are set this much longer, so that ours decides. */
#define EVHTTP_TIMEOUT_MARGIN_S 5

struct http_call {
    struct evhttp_connection *conn;
    struct evhttp_request *answer; /* owned once the call has ended */
    struct event *timer;           /* time limit, then delivery of the end */
    struct timeval timeout;
    bool sent;
    bool ended;
    bool cancelled;
    bool in_chunk;
    http_chunk_cb on_chunk;
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

/* Notes whether any byte of the request was handed to the kernel. */
static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *ctx)
{
    struct http_call *call = ctx;

    if (info->n_deleted > 0) {
        call->sent = true;
    }
}

/* The connection must not be freed from within evhttp's callbacks, so the
 * end is delivered from the timer on the loop's next turn. */
static void
end_soon(struct http_call *call)
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
    end_soon(call);
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
deliver(struct http_call *call)
{
    struct http_call_answer answer = {
        .end = call->sent ? HTTP_CALL_LOST : HTTP_CALL_NOT_SENT,
    };

    if (call->answer != NULL) {
        struct evbuffer *in = evhttp_request_get_input_buffer(call->answer);

        answer.end = HTTP_CALL_ANSWERED;
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
        deliver(call);
    }
    call_free(call);
}

/* Makes the connection. Its buffered events are ours to create, so that the
 * bytes written can be watched. */
static bool
open_connection(struct http_call *call, struct event_base *base,
                const struct http_call_request *request)
{
    struct timeval limit = call->timeout;
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
    limit.tv_sec += EVHTTP_TIMEOUT_MARGIN_S;
    evhttp_connection_set_timeout_tv(call->conn, &limit);
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
begin(struct http_call *call, struct event_base *base,
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
        /* The request is gone; the end is delivered from the loop. */
        end_soon(call);
    }
    return true;
}

struct http_call *
http_call_start(struct event_base *base,
                const struct http_call_request *request,
                http_chunk_cb on_chunk, http_call_cb cb, void *ctx)
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
    if (!begin(call, base, request)) {
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
