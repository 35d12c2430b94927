#pragma once

#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>

#include "base/status.h"

/* An HTTP/1.1 server on one address and port, for GET, PUT and DELETE. Without
 * calling the handler, it answers a request that is too large with status 413
 * and closes a connection that is idle or stalled for too long. */

struct http_server;

/* One request and its answer. The handler owns it and must pass it to
 * http_exchange_reply(), which frees it, during the handler call or later. */
struct http_exchange;

/* Handles one request. */
typedef void (*http_server_cb)(void *ctx, struct http_exchange *x);

struct http_server_options {
    const char *address; /* dotted IPv4 */
    uint16_t port;       /* 0 lets the kernel choose a free one */
    size_t body_max;     /* maximum size of a request's body, bytes */
    size_t headers_max;  /* maximum size of a request's headers, bytes */
    int timeout_s;       /* a connection idle for this long is closed */
};

/* Binds the port and starts to accept connections. "options" is only read
 * during the call. Returns NULL with "st" set if the port cannot be bound or
 * memory is short. */
struct http_server *http_server_new(struct event_base *base,
                                    const struct http_server_options *options,
                                    http_server_cb cb, void *ctx,
                                    struct status *st);

/* Closes all connections. Exchanges that have no reply yet remain valid for
 * http_exchange_add_header(), which then does nothing, and for
 * http_exchange_reply(), which then only frees the exchange. */
void http_server_destroy(struct http_server *server);

/* Returns the port on which the server listens. */
uint16_t http_server_port(const struct http_server *server);

enum evhttp_cmd_type http_exchange_method(const struct http_exchange *x);
/* Returns the path, still percent-encoded, without the query; "" if there is
 * none. */
const char *http_exchange_path(const struct http_exchange *x);
/* The following return the value of a query parameter or a header, and the
 * body of the request; NULL if there is none. The exchange owns the texts. */
const char *http_exchange_query(const struct http_exchange *x,
                                const char *name);
const char *http_exchange_header(const struct http_exchange *x,
                                 const char *name);
const char *http_exchange_body(struct http_exchange *x, size_t *len);

void http_exchange_add_header(struct http_exchange *x, const char *name,
                              const char *value);
/* Sends the answer and frees the exchange. "body" is copied. */
void http_exchange_reply(struct http_exchange *x, int status,
                         const char *content_type, const char *body,
                         size_t len);
