#pragma once

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

/* What the stand-ins share: endpoints, an HTTP server with a control
 * endpoint, JSON bodies, and a seeded random source. */

struct standin_endpoint {
    char address[INET_ADDRSTRLEN];
    uint16_t port;
};

/* A random source with a fixed seed (splitmix64), so that runs repeat. */
struct standin_random {
    uint64_t state;
};

typedef void (*standin_request_cb)(struct evhttp_request *req, void *ctx);

/* Reads "a.b.c.d:port". */
bool standin_endpoint_parse(const char *text, struct standin_endpoint *ep);
void standin_endpoint_sockaddr(const struct standin_endpoint *ep,
                               struct sockaddr_in *sin);

/* Makes an event loop that ends on SIGTERM and SIGINT. Exits with a message
 * when that fails. */
struct event_base *standin_base_new(void);

/* Listens for HTTP on "endpoint" ("a.b.c.d:port"). Exits with a message when
 * the address is malformed or taken. */
struct evhttp *standin_http_new(struct event_base *base, const char *endpoint,
                                standin_request_cb cb, void *ctx);

/* The body of a request as JSON; NULL when it is not. The caller owns it. */
json_t *standin_request_json(struct evhttp_request *req);

/* Answers with a JSON body and takes its ownership. */
void standin_reply_json(struct evhttp_request *req, int code, json_t *body);

/* Carries out one member of an order; false when it is not understood. */
typedef bool (*standin_member_cb)(const json_t *order, const char *name,
                                  const json_t *value);

/* Carries out the order that a request holds, member by member, and answers
 * it: 400 when a member was not understood. */
void standin_take_order(struct evhttp_request *req, standin_member_cb member);

/* Closes a request's connection without an answer. */
void standin_request_abort(struct evhttp_request *req);

/* Lets the loop notice that the other side closes the connection while the
 * answer is being made. "cb" runs once with the connection; the request is
 * then detached and must be ended with evhttp_send_reply_end(). */
void standin_request_watch_close(struct evhttp_request *req,
                                 void (*cb)(struct evhttp_connection *,
                                            void *),
                                 void *ctx);

uint64_t standin_random_next(struct standin_random *random);
/* A number in [0, 1). */
double standin_random_unit(struct standin_random *random);
/* A number with an exponential distribution of the given mean. */
double standin_random_exp(struct standin_random *random, double mean);

/* Base64 with padding, as in the JSON form of the store's protocol. The
 * results are owned by the caller. */
char *standin_base64_encode(const void *data, size_t size);
void *standin_base64_decode(const char *text, size_t *size);
