#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/packet.h"

/* One request of a caller. A call answers challenges (4.01 with an Echo
 * value), retries after refusals and lost balancers, and transfers block-wise
 * bodies until the request has an outcome. Created by client_flow_call(). */

enum call_outcome {
    CALL_ANSWERED, /* a response was received, possibly an error code */
    CALL_NOT_RUN,  /* refused: the request was not and will not be run */
    CALL_OUTCOME_UNKNOWN, /* the request may have run */
    CALL_TIMEOUT,   /* no answer before the deadline, or nothing could be sent;
                     * a request that may not be repeated was never sent whole
                     * under a token, so no balancer delivered it */
    CALL_CANCELLED, /* cancelled by the caller; the request may have run */
};

const char *call_outcome_name(enum call_outcome outcome);

struct call_request {
    uint8_t method;      /* enum packet_code */
    const char *path;    /* percent-encoded, copied */
    const char *query;   /* percent-encoded without "?", or NULL, copied */
    const uint8_t *body; /* copied */
    size_t body_len;
    int content_format;   /* -1: none */
    uint32_t deadline_ms; /* time from now, covers all retries */
};

struct call_result {
    enum call_outcome outcome;
    const struct packet *answer; /* NULL: no answer determined the outcome */
    /* "answer" contains the complete body. A call never collects a block-wise
     * answer to a GET or FETCH; use download_start() for a GET. */
    bool whole;
    unsigned tries; /* exchanges started, without those for answer blocks */
};

/* Called exactly once; the call is freed when the callback returns. "result"
 * and its answer are valid only during the callback. */
typedef void (*call_cb)(void *ctx, const struct call_result *result);

struct call;

/* Finishes a call with CALL_CANCELLED. The callback is called, and the call
 * freed, before this function returns. */
void call_cancel(struct call *call);
