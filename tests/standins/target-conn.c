#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <glib.h>

#include "target.h"

#define STALE_LOAD_SAMPLES 50    /* age of a stale load in samples: 5 s */
#define CONTENT_LENGTH_EXCESS 64 /* bytes added by "wrong_length" */
#define RAW_HEADER_SIZE 256      /* bytes */

static void
on_conn_closed(struct evhttp_connection *evcon, void *ctx)
{
    struct target_conn *conn = ctx;

    if (conn->work != NULL) {
        target_work_cancel(conn->work);
    }
    if (conn->stream != NULL) {
        target_stream_end(conn->stream);
    }
    list_remove(&conn->link);
    conn->target->connection_count--;
    g_free(conn);
}

struct target_conn *
target_conn_of(struct target *target, struct evhttp_request *req)
{
    struct evhttp_connection *evcon = evhttp_request_get_connection(req);
    struct target_conn *conn = NULL;

    list_for_each (it, &target->connections) {
        struct target_conn *c = container_of(it, struct target_conn, link);

        if (c->evcon == evcon) {
            conn = c;
            break;
        }
    }
    if (conn == NULL) {
        conn = g_new0(struct target_conn, 1);
        conn->target = target;
        conn->evcon = evcon;
        list_push_front(&target->connections, &conn->link);
        target->connection_count++;
    }
    standin_request_watch_close(req, on_conn_closed, conn);
    return conn;
}

void
target_silence(struct target *target)
{
    list_for_each (it, &target->connections) {
        struct target_conn *conn = container_of(it, struct target_conn, link);
        struct bufferevent *bev =
            evhttp_connection_get_bufferevent(conn->evcon);

        conn->silent = true;
        bufferevent_disable(bev, EV_READ | EV_WRITE);
    }
}

void
target_format_load(const struct target *target, char *text, size_t size)
{
    snprintf(text, size, "%d/%d/%d", target->running_count, target->slots,
             target->queued_count);
}

void
target_sample_load(struct target *target)
{
    target->load_head = (target->load_head + 1) % TARGET_LOAD_SAMPLES;
    target_format_load(target, target->load_history[target->load_head],
                       TARGET_LOAD_TEXT_SIZE);
}

void
target_add_load_header(struct target *target, struct evhttp_request *req)
{
    char text[TARGET_LOAD_TEXT_SIZE];
    const char *load = text;

    target_format_load(target, text, sizeof(text));
    if (target->faults.lie_load[0] != '\0') {
        load = target->faults.lie_load;
    }
    else if (target->faults.stale_load) {
        unsigned sample =
            target->load_head + TARGET_LOAD_SAMPLES - STALE_LOAD_SAMPLES;

        load = target->load_history[sample % TARGET_LOAD_SAMPLES];
    }
    evhttp_add_header(evhttp_request_get_output_headers(req), "X-Load",
                      load[0] != '\0' ? load : text);
}

/* Sends an incomplete answer and closes the connection: half of the body, or
 * the whole body with a Content-Length that is too large. */
static void
reply_broken(struct target *target, struct evhttp_request *req, int code,
             struct evbuffer *body)
{
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(evhttp_request_get_connection(req));
    int fd = bufferevent_getfd(bev);
    size_t len = evbuffer_get_length(body);
    size_t sent = target->faults.reset ? len / 2 : len;
    size_t content_length =
        target->faults.reset ? len : len + CONTENT_LENGTH_EXCESS;
    char header[RAW_HEADER_SIZE];
    int n = snprintf(header, sizeof(header),
                     "HTTP/1.1 %d OK\r\nContent-Length: %zu\r\n\r\n", code,
                     content_length);

    if (send(fd, header, (size_t)n, MSG_NOSIGNAL) > 0) {
        (void)!send(fd, evbuffer_pullup(body, -1), sent, MSG_NOSIGNAL);
    }
    standin_request_abort(req);
}

void
target_reply(struct target *target, struct evhttp_request *req, int code,
             struct evbuffer *body)
{
    struct target_conn *conn;

    if (evhttp_request_get_connection(req) == NULL) {
        evhttp_send_reply_end(req);
        return;
    }
    conn = target_conn_of(target, req);
    conn->work = NULL;
    if (conn->silent) {
        bufferevent_disable(evhttp_connection_get_bufferevent(conn->evcon),
                            EV_READ | EV_WRITE);
        return;
    }
    if ((target->faults.reset || target->faults.wrong_length) &&
        code < HTTP_BADREQUEST) {
        reply_broken(target, req, code, body);
        return;
    }
    bufferevent_disable(evhttp_connection_get_bufferevent(conn->evcon),
                        EV_READ);
    evhttp_add_header(evhttp_request_get_output_headers(req), "X-Target",
                      target->id);
    target_add_load_header(target, req);
    evhttp_send_reply(req, code, NULL, body);
}

void
target_reply_not_run(struct target *target, struct evhttp_request *req)
{
    struct evbuffer *body = evbuffer_new();

    evhttp_add_header(evhttp_request_get_output_headers(req), "X-Outcome",
                      "not_run");
    evbuffer_add_printf(body, "not run\n");
    target_reply(target, req, HTTP_UNAVAILABLE, body);
    evbuffer_free(body);
}
