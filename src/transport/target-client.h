#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"
#include "transport/udp-socket.h"

/* HTTP/1.1 client for one target. Requests go over a bounded pool of reused
 * connections; a connection carries one request at a time. */
struct target_client;

/* A request in progress. The client owns it and frees it before it runs the
 * callback that reports the result, or when the call is cancelled. */
struct target_call;

/* Request id of a request that has none. */
#define TARGET_REQUEST_ID_NONE 0

/* Everything that a request points to is read only during
 * target_client_call(). */
struct target_request {
    const char *method;  /* "GET", "POST", ... */
    const char *path;    /* with the query */
    const char *service; /* sent in the Host header */
    /* Sent in X-Request-Id, unless it is TARGET_REQUEST_ID_NONE. */
    uint64_t request_id;
    const char *flow_id;  /* prefix of X-Request-Id; NULL sends "0" instead */
    uint32_t deadline_ms; /* time left, sent in X-Deadline-Ms; 0 for none */
    /* First and last byte that the Range header asks for. No header is sent if
     * "range_last" is 0. */
    uint64_t range_first;
    uint64_t range_last;
    bool stream;               /* ask for Server-Sent Events */
    const char *last_event_id; /* Last-Event-ID header, NULL for none */
    const uint8_t *body;
    size_t body_len;
};

/* Headers and body of an answer; valid during the callback only. */
struct target_response {
    int http_status;
    const char *etag;          /* NULL: none */
    const char *content_type;  /* NULL: none */
    const char *content_range; /* NULL: none */
    const char *load;          /* X-Load header, NULL: none */
    const char *outcome;       /* X-Outcome header, NULL: none */
    const uint8_t *body;
    size_t body_len;
};

/* Reports the result of a call, which is freed already. "kind" is ERR_NONE
 * when the whole response was received, whatever its HTTP status, and
 * otherwise ERR_TARGET_TIMEOUT, ERR_TARGET_BAD_ANSWER or ERR_TARGET_LOST, with
 * "response" NULL. "sent" is true if any byte of the request may have reached
 * the target. */
typedef void (*target_call_cb)(void *ctx, enum error_kind kind, bool sent,
                               const struct target_response *response);

/* Passes on a piece of the body of a stream, as it arrives. "data" is valid
 * during the call only. */
typedef void (*target_data_cb)(void *ctx, const uint8_t *data, size_t size);

/* Creates a client without connections. "connections_max" bounds the number of
 * its connections, "body_max" the body of an answer in bytes. "base" remains
 * the caller's. Returns NULL if out of memory. */
struct target_client *target_client_new(struct event_base *base,
                                        const struct endpoint *target,
                                        uint32_t connections_max,
                                        size_t body_max);
/* Cancels all calls without running their callbacks. */
void target_client_destroy(struct target_client *tc);

/* Starts a call. If "data_cb" is not NULL, the answer's body has no size limit
 * and, if its status is 200, is passed to "data_cb" as it arrives. Returns
 * NULL if all connections are busy or the request cannot be started; nothing
 * was sent then. */
struct target_call *target_client_call(struct target_client *tc,
                                       const struct target_request *request,
                                       target_call_cb cb,
                                       target_data_cb data_cb, void *ctx);

/* Cancels a call without running its callbacks and closes its connection,
 * so that the target can notice the cancellation. */
void target_call_cancel(struct target_call *call);

/* Number of connections, idle and busy. */
uint32_t target_client_open_count(const struct target_client *tc);
/* Number of connections that carry a call. */
uint32_t target_client_busy_count(const struct target_client *tc);
