#pragma once

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

/* Code that the stand-ins share: endpoints, an HTTP server with a control
 * endpoint, JSON bodies, and a seeded random number generator. */

struct standin_endpoint {
    char address[INET_ADDRSTRLEN];
    uint16_t port;
};

/* A splitmix64 random number generator. The state starts as the seed, so that
 * equal seeds give equal runs. */
struct standin_random {
    uint64_t state;
};

typedef void (*standin_request_cb)(struct evhttp_request *req, void *ctx);

/* Parses "a.b.c.d:port". Returns false if the text is malformed. */
bool standin_endpoint_parse(const char *text, struct standin_endpoint *ep);
void standin_endpoint_sockaddr(const struct standin_endpoint *ep,
                               struct sockaddr_in *sin);

/* Creates an event loop that SIGTERM and SIGINT stop, ignores SIGPIPE and
 * initializes libsodium. Prints an error and exits if that fails. */
struct event_base *standin_base_new(void);

/* Starts an HTTP server on "endpoint" ("a.b.c.d:port") that passes each
 * request to "cb". Prints an error and exits if the address is malformed or in
 * use. */
struct evhttp *standin_http_new(struct event_base *base, const char *endpoint,
                                standin_request_cb cb, void *ctx);

/* Parses the body of a request as JSON. Returns NULL if it is not valid JSON.
 * The caller owns the result. */
json_t *standin_request_json(struct evhttp_request *req);

/* Answers a request with a JSON body and releases the body. */
void standin_reply_json(struct evhttp_request *req, int code, json_t *body);

/* Executes one member ("name" with "value") of a control command, the JSON
 * object "command". Returns false if the member is unknown or invalid. */
typedef bool (*standin_command_cb)(const json_t *command, const char *name,
                                   const json_t *value);

/* Executes the control command in the body of a request: calls "member" for
 * each member of the JSON object. Answers 200 if every call returned true,
 * else 400; members that succeeded stay in effect in either case. */
void standin_execute_command(struct evhttp_request *req,
                             standin_command_cb member);

/* Closes the connection of a request without an answer. The event loop frees
 * the connection later. A request that is already detached from its connection
 * is ended. */
void standin_request_abort(struct evhttp_request *req);

/* Calls "cb" once with the connection of a request when that connection
 * closes, also while the answer is being prepared. A request that is
 * unanswered by then is detached from the connection and must be ended with
 * evhttp_send_reply_end(). */
void standin_request_watch_close(struct evhttp_request *req,
                                 void (*cb)(struct evhttp_connection *,
                                            void *),
                                 void *ctx);

/* The next 64 random bits. */
uint64_t standin_random_next(struct standin_random *random);
/* A uniformly distributed number in [0, 1). */
double standin_random_unit(struct standin_random *random);
/* An exponentially distributed number with the given mean. */
double standin_random_exp(struct standin_random *random, double mean);

/* Base64 with padding, as in the JSON form of the store's protocol. The caller
 * frees the results with free(). Decoding returns NULL for malformed text and
 * otherwise puts a NUL after the "size" bytes. */
char *standin_base64_encode(const void *data, size_t size);
void *standin_base64_decode(const char *text, size_t *size);
