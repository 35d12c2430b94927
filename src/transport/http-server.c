#include "transport/http-server.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "base/list.h"

struct http_server {
    struct evhttp *http;
    struct list exchanges; /* struct http_exchange, not yet answered */
    uint16_t port;
    http_server_cb cb;
    void *ctx;
};

struct http_exchange {
    struct list link;
    struct evhttp_request *req; /* NULL once the server is destroyed */
    struct evkeyvalq query;     /* decoded parameters of the query */
};

static void
on_request(struct evhttp_request *req, void *ctx)
{
    struct http_server *server = ctx;
    struct http_exchange *x = calloc(1, sizeof(*x));
    const char *query =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));

    if (x == NULL) {
        evhttp_send_error(req, HTTP_SERVUNAVAIL, NULL);
        return;
    }
    x->req = req;
    TAILQ_INIT(&x->query);
    if (query != NULL) {
        evhttp_parse_query_str(query, &x->query);
    }
    list_push_back(&server->exchanges, &x->link);
    server->cb(server->ctx, x);
}

static bool
bind_port(struct http_server *server,
          const struct http_server_options *options, struct status *st)
{
    struct evhttp_bound_socket *sock = evhttp_bind_socket_with_handle(
        server->http, options->address, options->port);
    struct sockaddr_in addr = {.sin_port = 0};
    socklen_t len = sizeof(addr);

    if (sock == NULL) {
        status_set(st, ERR_SYSTEM, "HTTP server: cannot listen on %s:%u: %s",
                   options->address, options->port, strerror(errno));
        return false;
    }
    if (getsockname(evhttp_bound_socket_get_fd(sock), (struct sockaddr *)&addr,
                    &len) < 0) {
        status_set(st, ERR_SYSTEM,
                   "HTTP server: cannot get the port it listens on: %s",
                   strerror(errno));
        return false;
    }
    server->port = ntohs(addr.sin_port);
    return true;
}

struct http_server *
http_server_new(struct event_base *base,
                const struct http_server_options *options, http_server_cb cb,
                void *ctx, struct status *st)
{
    struct http_server *server = calloc(1, sizeof(*server));

    if (server == NULL) {
        status_set(st, ERR_NO_MEMORY, "HTTP server: out of memory");
        return NULL;
    }
    list_init(&server->exchanges);
    server->cb = cb;
    server->ctx = ctx;
    server->http = evhttp_new(base);
    if (server->http == NULL) {
        status_set(st, ERR_NO_MEMORY, "HTTP server: out of memory");
        http_server_destroy(server);
        return NULL;
    }
    evhttp_set_max_body_size(server->http, (ev_ssize_t)options->body_max);
    evhttp_set_max_headers_size(server->http,
                                (ev_ssize_t)options->headers_max);
    evhttp_set_timeout(server->http, options->timeout_s);
    evhttp_set_allowed_methods(server->http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT |
                                                 EVHTTP_REQ_DELETE);
    evhttp_set_gencb(server->http, on_request, server);
    if (!bind_port(server, options, st)) {
        http_server_destroy(server);
        return NULL;
    }
    return server;
}

/* Separates the request from its exchange before the server is destroyed. A
 * request that still has a connection is freed by evhttp together with it; one
 * whose connection is already closed has to be freed here. */
static void
detach_request(struct http_exchange *x)
{
    if (x->req != NULL && evhttp_request_get_connection(x->req) == NULL) {
        evhttp_request_free(x->req);
    }
    x->req = NULL;
    list_remove(&x->link);
}

void
http_server_destroy(struct http_server *server)
{
    if (server == NULL) {
        return;
    }
    list_for_each_safe (it, &server->exchanges) {
        detach_request(container_of(it, struct http_exchange, link));
    }
    if (server->http != NULL) {
        evhttp_free(server->http);
    }
    free(server);
}

uint16_t
http_server_port(const struct http_server *server)
{
    return server->port;
}

enum evhttp_cmd_type
http_exchange_method(const struct http_exchange *x)
{
    return evhttp_request_get_command(x->req);
}

const char *
http_exchange_path(const struct http_exchange *x)
{
    const char *path =
        evhttp_uri_get_path(evhttp_request_get_evhttp_uri(x->req));

    return path == NULL ? "" : path;
}

const char *
http_exchange_query(const struct http_exchange *x, const char *name)
{
    return evhttp_find_header(&x->query, name);
}

const char *
http_exchange_header(const struct http_exchange *x, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(x->req), name);
}

const char *
http_exchange_body(struct http_exchange *x, size_t *len)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(x->req);

    *len = evbuffer_get_length(in);
    return *len == 0 ? NULL : (const char *)evbuffer_pullup(in, -1);
}

void
http_exchange_add_header(struct http_exchange *x, const char *name,
                         const char *value)
{
    if (x->req != NULL) {
        evhttp_add_header(evhttp_request_get_output_headers(x->req), name,
                          value);
    }
}

void
http_exchange_reply(struct http_exchange *x, int status,
                    const char *content_type, const char *body, size_t len)
{
    if (x->req != NULL) {
        http_exchange_add_header(x, "Content-Type", content_type);
        if (len > 0) {
            evbuffer_add(evhttp_request_get_output_buffer(x->req), body, len);
        }
        evhttp_send_reply(x->req, status, NULL, NULL);
    }
    list_remove(&x->link);
    evhttp_clear_headers(&x->query);
    free(x);
}
