#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/packet.h"

/* One request of a caller with everything that it takes to get its answer:
 * challenges, refusals that name a time to come back, block-wise bodies. Made
 * by client_flow_call(). */

enum call_outcome {
    CALL_ANSWERED,  /* a response came, whatever its code */
    CALL_NOT_RUN,   /* refused: it was not run and never will be */
    CALL_UNKNOWN,   /* it may have run */
    CALL_TIMEOUT,   /* no answer in time; what may not be repeated was never
                     * sent in a form that a balancer delivers */
    CALL_CANCELLED, /* given up by the caller; it may have run */
};

const char *call_outcome_name(enum call_outcome outcome);

struct call_request {
    uint8_t method;      /* enum packet_code */
    const char *path;    /* percent-encoded, copied */
    const char *query;   /* percent-encoded without "?", or NULL, copied */
    const uint8_t *body; /* copied */
    size_t body_len;
    int content_format;   /* -1: none */
    uint32_t deadline_ms; /* from now, for the call as a whole */
};

struct call_result {
    enum call_outcome outcome;
    const struct packet *answer; /* that decided it, or NULL */
    /* "answer" holds the whole body. The answer to a GET is never collected
     * from several blocks here; that is what a download is for. */
    bool whole;
    unsigned tries; /* exchanges that it took */
};

/* Called once; the call is freed afterwards. "result" is valid during the
 * callback only. */
typedef void (*call_cb)(void *ctx, const struct call_result *result);

struct call;

/* Ends a call with CALL_CANCELLED, before this returns. */
void call_cancel(struct call *call);
