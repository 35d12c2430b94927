#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "base/status.h"
#include "transport/udp-socket.h"

/* HTTP/1.1 towards one target over a bounded pool of reused connections. A
 * connection carries one request at a time. */
struct target_client;

/* A request in progress; owned by the client until its end was reported or it
 * was cancelled. */
struct target_call;

#define TARGET_REQUEST_ID_NONE 0

struct target_request {
    const char *method; /* "GET", "POST", ... */
    const char *path;   /* with the query */
    const char *service;
    uint64_t request_id;  /* TARGET_REQUEST_ID_NONE: no header */
    const char *flow_id;  /* qualifies the request id, NULL: none */
    uint32_t deadline_ms; /* left, 0: none */
    uint64_t range_first; /* bytes, valid when range_last is not 0 */
    uint64_t range_last;
    bool stream;               /* Server-Sent Events */
    const char *last_event_id; /* NULL: none */
    const uint8_t *body;
    size_t body_len;
};

/* An answer's headers and body; valid during the callback only. */
struct target_response {
    int http_status;
    const char *etag;          /* NULL: none */
    const char *content_type;  /* NULL: none */
    const char *content_range; /* NULL: none */
    const char *load;          /* X-Load, NULL: none */
    const char *outcome;       /* X-Outcome, NULL: none */
    const uint8_t *body;
    size_t body_len;
};

/* The end of a call. With ERR_NONE the response is whole. "sent" tells
 * whether any byte of the request may have reached the target. */
typedef void (*target_call_cb)(void *ctx, enum error_kind kind, bool sent,
                               const struct target_response *response);

/* A piece of a stream's body. */
typedef void (*target_data_cb)(void *ctx, const uint8_t *data, size_t size);

struct target_client *target_client_new(struct event_base *base,
                                        const struct endpoint *target,
                                        uint32_t connections_max,
                                        size_t body_max);
/* Cancels every call without reporting its end. */
void target_client_destroy(struct target_client *tc);

/* Starts a call. Returns NULL when every connection is busy or memory is
 * short; nothing was sent then. */
struct target_call *target_client_call(struct target_client *tc,
                                       const struct target_request *request,
                                       target_call_cb cb,
                                       target_data_cb data_cb, void *ctx);

/* Gives a call up and closes its connection, by which the target learns of
 * it. No callback follows. */
void target_call_cancel(struct target_call *call);

/* Closes the idle connections, as after a timeout on one of them. */
void target_client_close_idle(struct target_client *tc);

uint32_t target_client_open(const struct target_client *tc);
uint32_t target_client_busy(const struct target_client *tc);
