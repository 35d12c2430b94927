#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>

/* HTTP/1.1 client: each request runs on its own connection and has a timeout.
 * A new connection per request costs a round trip, but a request is never sent
 * on an old connection whose server no longer responds. */

struct http_call;

enum http_call_outcome {
    HTTP_CALL_ANSWERED,    /* the server answered, with any HTTP status */
    HTTP_CALL_NOT_SENT,    /* failed before any byte of the request was sent */
    HTTP_CALL_ANSWER_LOST, /* failed after that: the server may have acted on
                              it */
};

struct http_call_header {
    const char *name;
    const char *value;
};

/* Everything that a request points to is read only during http_call_start().
 */
struct http_call_request {
    const char *address; /* dotted IPv4 */
    uint16_t port;
    enum evhttp_cmd_type method;
    const char *path; /* with the query */
    const char *body; /* NULL for none */
    size_t body_len;
    /* Additional headers; the last element has a NULL name. NULL for none. */
    const struct http_call_header *headers;
    /* Limit for the whole call. For a streamed body each chunk restarts it. */
    uint64_t timeout_us;
    /* Maximum size of the answer's body, bytes; for a streamed body, of all
     * chunks together. */
    size_t answer_max;
};

/* Result of a call; valid during the callback only. All fields but "outcome"
 * are 0 or NULL unless it is HTTP_CALL_ANSWERED. */
struct http_call_answer {
    enum http_call_outcome outcome;
    int status; /* HTTP status */
    const char *body;
    size_t body_len;
    struct evkeyvalq *headers;
};

/* Reports the result. Runs once per call, which is freed after it returns and
 * must not be cancelled from within it. */
typedef void (*http_call_cb)(void *ctx, const struct http_call_answer *answer);
/* Runs for each chunk of a streamed body whose HTTP status is 200. "data" is
 * valid during the call only. */
typedef void (*http_call_chunk_cb)(void *ctx, const char *data, size_t len);

/* Starts a call. If "on_chunk" is not NULL, the body of the answer is
 * streamed: each chunk is passed to it as it arrives and restarts the timeout.
 * The call is freed after "cb" or by http_call_cancel(). Returns NULL if out
 * of memory. The callbacks run from the event loop, never from within this
 * function. */
struct http_call *http_call_start(struct event_base *base,
                                  const struct http_call_request *request,
                                  http_call_chunk_cb on_chunk, http_call_cb cb,
                                  void *ctx);

/* Ends a call without running its callback. May be called from "on_chunk", in
 * which case the call is freed after that returns. Does nothing for NULL. */
void http_call_cancel(struct http_call *call);
