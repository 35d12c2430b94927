#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>

/* One HTTP/1.1 request on a connection of its own, with a time limit. A new
 * connection each time costs a round trip, but never meets one that has gone
 * silent. */

struct http_call;

enum http_call_end {
    HTTP_CALL_ANSWERED, /* "status" and the body are the server's */
    HTTP_CALL_NOT_SENT, /* failed before a byte of the request went out */
    HTTP_CALL_LOST,     /* failed later: the server may have acted */
};

struct http_call_header {
    const char *name;
    const char *value;
};

struct http_call_request {
    const char *address; /* dotted IPv4 */
    uint16_t port;
    enum evhttp_cmd_type method;
    const char *path;
    const char *body; /* NULL for none */
    size_t body_len;
    const struct http_call_header *headers; /* ended by a NULL name; or NULL */
    uint64_t timeout_us; /* for the whole call, or between chunks */
    size_t answer_max;   /* bytes of the answer's body */
};

/* Valid during the callback only. */
struct http_call_answer {
    enum http_call_end end;
    int status;
    const char *body;
    size_t body_len;
    struct evkeyvalq *headers; /* NULL unless answered */
};

/* Runs once; the call is gone afterwards. */
typedef void (*http_call_cb)(void *ctx, const struct http_call_answer *answer);
/* Runs for each piece of a streamed body. */
typedef void (*http_chunk_cb)(void *ctx, const char *data, size_t len);

/* Starts a call. With "on_chunk" the body goes there piece by piece, and each
 * piece starts the time limit anew. Returns NULL when memory is short; the
 * callbacks run from the loop, never from within this function. */
struct http_call *http_call_start(struct event_base *base,
                                  const struct http_call_request *request,
                                  http_chunk_cb on_chunk, http_call_cb cb,
                                  void *ctx);

/* Ends a call without its callback. May be called from "on_chunk". */
void http_call_cancel(struct http_call *call);
