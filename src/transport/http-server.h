#pragma once

#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>

#include "base/status.h"

/* An HTTP/1.1 server on one address and port. Requests that are too large are
 * answered 413, and connections that stay idle or slow are closed, before the
 * handler sees anything of them. */

struct http_server;

/* One request and its answer. It belongs to the handler until it has replied,
 * which may be later. */
struct http_exchange;

typedef void (*http_server_cb)(void *ctx, struct http_exchange *x);

struct http_server_options {
    const char *address; /* dotted IPv4 */
    uint16_t port;
    size_t body_max;    /* bytes */
    size_t headers_max; /* bytes */
    int timeout_s;      /* of a silent connection */
};

/* Returns NULL with "st" set when the port cannot be bound. */
struct http_server *http_server_new(struct event_base *base,
                                    const struct http_server_options *options,
                                    http_server_cb cb, void *ctx,
                                    struct status *st);

/* Closes all connections. Exchanges without a reply stay valid; replying to
 * one only frees it. */
void http_server_destroy(struct http_server *server);

/* Port that the server listens on. */
uint16_t http_server_port(const struct http_server *server);

enum evhttp_cmd_type http_exchange_method(const struct http_exchange *x);
/* Path, still percent-encoded, without the query. */
const char *http_exchange_path(const struct http_exchange *x);
/* Each returns NULL when there is none. */
const char *http_exchange_query(const struct http_exchange *x,
                                const char *name);
const char *http_exchange_header(const struct http_exchange *x,
                                 const char *name);
const char *http_exchange_body(struct http_exchange *x, size_t *len);

void http_exchange_add_header(struct http_exchange *x, const char *name,
                              const char *value);
/* Sends the answer and frees the exchange. */
void http_exchange_reply(struct http_exchange *x, int status,
                         const char *content_type, const char *body,
                         size_t len);
