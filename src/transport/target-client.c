#include "transport/target-client.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "base/list.h"

/* Maximum size of the headers of an answer, in bytes. */
#define HEADERS_SIZE_MAX 16384
/* A connection is closed after this many seconds without a byte. The callers
 * of this module limit the time of a call. */
#define CONNECTION_IDLE_S 300

struct target_client {
    struct event_base *base;
    char address[16]; /* dotted IPv4 */
    uint16_t port;
    uint32_t connections_max;
    size_t body_max;          /* maximum size of an answer's body, bytes */
    struct list idle;         /* struct connection, most recently used first */
    struct list busy;         /* struct connection */
    struct list ended;        /* struct connection, freed by on_free_ended() */
    struct event *free_ended; /* runs on_free_ended() */
    uint32_t idle_count;
    uint32_t busy_count;
};

struct connection {
    struct list link;
    struct target_client *client;
    struct evhttp_connection *evcon;
    struct evbuffer_cb_entry *output_watch;
    struct target_call *call; /* owned; NULL when idle */
    bool closed;              /* the target has closed the connection */
};

struct target_call {
    struct connection *conn;
    target_call_cb cb;
    target_data_cb data_cb;
    void *ctx;
    bool sent;            /* a byte of the request may have been sent */
    enum error_kind kind; /* set by on_error() */
};

static void
connection_free(struct connection *conn)
{
    list_remove(&conn->link);
    if (conn->evcon != NULL) {
        evhttp_connection_set_closecb(conn->evcon, NULL, NULL);
        evhttp_connection_free(conn->evcon);
    }
    free(conn->call);
    free(conn);
}

static void
free_list(struct list *conns)
{
    list_for_each_safe (it, conns) {
        connection_free(container_of(it, struct connection, link));
    }
}

/* Frees the ended connections, on a loop iteration of its own, because a
 * connection must not be freed from within a callback of evhttp. */
static void
on_free_ended(evutil_socket_t fd, short what, void *arg)
{
    struct target_client *tc = arg;

    free_list(&tc->ended);
}

/* Moves a connection to the list of those that on_free_ended() frees. */
static void
end_connection(struct connection *conn)
{
    struct target_client *tc = conn->client;

    list_remove(&conn->link);
    list_push_back(&tc->ended, &conn->link);
    event_active(tc->free_ended, EV_TIMEOUT, 0);
}

/* Called when the target has closed the connection. A call in progress is
 * reported by the callbacks of its request; an idle connection is removed, so
 * that no request is sent on it. */
static void
on_close(struct evhttp_connection *evcon, void *arg)
{
    struct connection *conn = arg;

    conn->closed = true;
    if (conn->call == NULL) {
        conn->client->idle_count--;
        end_connection(conn);
    }
}

/* Records that bytes of a request have left the output buffer: from then on
 * the target may have received them. The reset of a connection also empties
 * the buffer and so sets "sent", although nothing may have been sent; this
 * errs on the safe side. */
static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *arg)
{
    struct connection *conn = arg;

    if (info->n_deleted > 0 && conn->call != NULL) {
        conn->call->sent = true;
    }
}

static struct connection *
connection_new(struct target_client *tc)
{
    struct connection *conn = calloc(1, sizeof(*conn));
    struct bufferevent *bev;

    if (conn == NULL) {
        return NULL;
    }
    list_init(&conn->link);
    conn->client = tc;
    conn->evcon =
        evhttp_connection_base_new(tc->base, NULL, tc->address, tc->port);
    if (conn->evcon == NULL) {
        free(conn);
        return NULL;
    }
    evhttp_connection_set_max_headers_size(conn->evcon, HEADERS_SIZE_MAX);
    evhttp_connection_set_timeout(conn->evcon, CONNECTION_IDLE_S);
    evhttp_connection_set_closecb(conn->evcon, on_close, conn);
    bev = evhttp_connection_get_bufferevent(conn->evcon);
    conn->output_watch =
        evbuffer_add_cb(bufferevent_get_output(bev), on_output, conn);
    return conn;
}

struct target_client *
target_client_new(struct event_base *base, const struct endpoint *target,
                  uint32_t connections_max, size_t body_max)
{
    struct target_client *tc = calloc(1, sizeof(*tc));

    if (tc == NULL) {
        return NULL;
    }
    tc->base = base;
    snprintf(tc->address, sizeof(tc->address), "%u.%u.%u.%u",
             target->addr >> 24 & 0xff, target->addr >> 16 & 0xff,
             target->addr >> 8 & 0xff, target->addr & 0xff);
    tc->port = target->port;
    tc->connections_max = connections_max;
    tc->body_max = body_max;
    list_init(&tc->idle);
    list_init(&tc->busy);
    list_init(&tc->ended);
    tc->free_ended = event_new(base, -1, 0, on_free_ended, tc);
    if (tc->free_ended == NULL) {
        free(tc);
        return NULL;
    }
    return tc;
}

void
target_client_destroy(struct target_client *tc)
{
    if (tc == NULL) {
        return;
    }
    free_list(&tc->idle);
    free_list(&tc->busy);
    free_list(&tc->ended);
    event_free(tc->free_ended);
    free(tc);
}

/* Returns an idle connection or, if there is none, a new one. Returns NULL if
 * the limit is reached or memory is short. */
static struct connection *
acquire_connection(struct target_client *tc)
{
    struct connection *conn;

    if (!list_empty(&tc->idle)) {
        conn = container_of(tc->idle.next, struct connection, link);
        list_remove(&conn->link);
        tc->idle_count--;
    }
    else if (tc->busy_count < tc->connections_max) {
        conn = connection_new(tc);
    }
    else {
        conn = NULL;
    }
    if (conn != NULL) {
        list_push_back(&tc->busy, &conn->link);
        tc->busy_count++;
    }
    return conn;
}

/* Frees the call of a connection and makes the connection idle, or ends it if
 * it is closed or not reusable. */
static void
release_connection(struct connection *conn, bool reusable)
{
    struct target_client *tc = conn->client;

    free(conn->call);
    conn->call = NULL;
    tc->busy_count--;
    if (!reusable || conn->closed) {
        end_connection(conn);
        return;
    }
    list_remove(&conn->link);
    list_push_front(&tc->idle, &conn->link);
    tc->idle_count++;
}

static enum error_kind
kind_of_error(enum evhttp_request_error error)
{
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return ERR_TARGET_TIMEOUT;
    case EVREQ_HTTP_INVALID_HEADER:
    case EVREQ_HTTP_DATA_TOO_LONG:
        return ERR_TARGET_BAD_ANSWER;
    default:
        return ERR_TARGET_LOST;
    }
}

static void
on_error(enum evhttp_request_error error, void *arg)
{
    struct connection *conn = arg;

    if (conn->call != NULL) {
        conn->call->kind = kind_of_error(error);
    }
}

static const char *
find_header(struct evhttp_request *req, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

static bool
closes_connection(struct evhttp_request *req)
{
    const char *value = find_header(req, "Connection");

    return value != NULL && strcasecmp(value, "close") == 0;
}

static void
fill_response(struct target_response *response, struct evhttp_request *req)
{
    struct evbuffer *body = evhttp_request_get_input_buffer(req);

    response->http_status = evhttp_request_get_response_code(req);
    response->etag = find_header(req, "ETag");
    response->content_type = find_header(req, "Content-Type");
    response->content_range = find_header(req, "Content-Range");
    response->load = find_header(req, "X-Load");
    response->outcome = find_header(req, "X-Outcome");
    response->body_len = evbuffer_get_length(body);
    response->body = evbuffer_pullup(body, -1);
}

/* Ends a failed call: frees it together with its connection and reports the
 * failure. */
static void
fail_call(struct target_call *call, enum error_kind kind)
{
    struct connection *conn = call->conn;
    target_call_cb cb = call->cb;
    void *ctx = call->ctx;
    bool sent = call->sent;

    release_connection(conn, false);
    cb(ctx, kind, sent, NULL);
}

/* Called by evhttp at the end of a request. "req" is NULL after an error, has
 * status 0 if the connection could not be opened, and otherwise holds the
 * whole answer. The argument of a request's callbacks is the connection rather
 * than the call, because evhttp may still run them after the call was
 * cancelled. */
static void
on_done(struct evhttp_request *req, void *arg)
{
    struct connection *conn = arg;
    struct target_call *call = conn->call;
    struct target_response response = {0};
    target_call_cb cb;
    void *ctx;

    if (call == NULL) {
        return;
    }
    cb = call->cb;
    ctx = call->ctx;
    if (req == NULL || evhttp_request_get_response_code(req) == 0) {
        fail_call(call, call->kind == ERR_NONE ? ERR_TARGET_LOST : call->kind);
        return;
    }
    fill_response(&response, req);
    release_connection(conn, !closes_connection(req));
    cb(ctx, ERR_NONE, true, &response);
}

static void
on_chunk(struct evhttp_request *req, void *arg)
{
    struct connection *conn = arg;
    struct target_call *call = conn->call;
    struct evbuffer *body = evhttp_request_get_input_buffer(req);
    size_t size = evbuffer_get_length(body);

    if (call == NULL || size == 0 ||
        evhttp_request_get_response_code(req) != HTTP_OK) {
        return;
    }
    call->data_cb(call->ctx, evbuffer_pullup(body, -1), size);
}

static void
add_headers(struct evhttp_request *req, const struct target_request *request)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
    char text[96];

    evhttp_add_header(headers, "Host", request->service);
    if (request->deadline_ms != 0) {
        snprintf(text, sizeof(text), "%" PRIu32, request->deadline_ms);
        evhttp_add_header(headers, "X-Deadline-Ms", text);
    }
    if (request->request_id != TARGET_REQUEST_ID_NONE) {
        snprintf(text, sizeof(text), "%s-%" PRIx64,
                 request->flow_id == NULL ? "0" : request->flow_id,
                 request->request_id);
        evhttp_add_header(headers, "X-Request-Id", text);
    }
    if (request->range_last != 0) {
        snprintf(text, sizeof(text), "bytes=%" PRIu64 "-%" PRIu64,
                 request->range_first, request->range_last);
        evhttp_add_header(headers, "Range", text);
    }
    if (request->stream) {
        evhttp_add_header(headers, "Accept", "text/event-stream");
    }
    if (request->last_event_id != NULL) {
        evhttp_add_header(headers, "Last-Event-ID", request->last_event_id);
    }
}

static enum evhttp_cmd_type
method_type(const char *method)
{
    static const struct {
        const char *name;
        enum evhttp_cmd_type type;
    } methods[] = {
        {"GET", EVHTTP_REQ_GET},     {"POST", EVHTTP_REQ_POST},
        {"PUT", EVHTTP_REQ_PUT},     {"DELETE", EVHTTP_REQ_DELETE},
        {"PATCH", EVHTTP_REQ_PATCH},
    };

    for (size_t i = 0; i < sizeof(methods) / sizeof(*methods); i++) {
        if (strcmp(method, methods[i].name) == 0) {
            return methods[i].type;
        }
    }
    assert(!"method is one of the table");
    return EVHTTP_REQ_GET;
}

static struct evhttp_request *
build_request(struct target_call *call, const struct target_request *request)
{
    struct evhttp_request *req = evhttp_request_new(on_done, call->conn);

    if (req == NULL) {
        return NULL;
    }
    evhttp_request_set_error_cb(req, on_error);
    if (call->data_cb != NULL) {
        evhttp_request_set_chunked_cb(req, on_chunk);
    }
    /* The limit counts all bytes of a body, also those that on_chunk() has
     * passed on. A stream therefore has no limit; its body is not stored. */
    evhttp_connection_set_max_body_size(
        call->conn->evcon, call->data_cb != NULL
                               ? EV_SSIZE_MAX
                               : (ev_ssize_t)call->conn->client->body_max);
    add_headers(req, request);
    if (request->body_len > 0) {
        evbuffer_add(evhttp_request_get_output_buffer(req), request->body,
                     request->body_len);
    }
    return req;
}

struct target_call *
target_client_call(struct target_client *tc,
                   const struct target_request *request, target_call_cb cb,
                   target_data_cb data_cb, void *ctx)
{
    struct connection *conn = acquire_connection(tc);
    struct target_call *call;
    struct evhttp_request *req;

    if (conn == NULL) {
        return NULL;
    }
    call = calloc(1, sizeof(*call));
    if (call == NULL) {
        release_connection(conn, true);
        return NULL;
    }
    conn->call = call;
    call->conn = conn;
    call->cb = cb;
    call->data_cb = data_cb;
    call->ctx = ctx;
    req = build_request(call, request);
    if (req == NULL) {
        release_connection(conn, true);
        return NULL;
    }
    if (evhttp_make_request(conn->evcon, req, method_type(request->method),
                            request->path) < 0) {
        /* evhttp has freed the request; nothing was sent. */
        release_connection(conn, false);
        return NULL;
    }
    return call;
}

void
target_call_cancel(struct target_call *call)
{
    release_connection(call->conn, false);
}

uint32_t
target_client_open_count(const struct target_client *tc)
{
    return tc->idle_count + tc->busy_count;
}

uint32_t
target_client_busy_count(const struct target_client *tc)
{
    return tc->busy_count;
}
