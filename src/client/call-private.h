#pragma once

#include <event2/event.h>

#include "base/list.h"
#include "client/answer-blocks.h"
#include "client/call.h"
#include "client/client.h"
#include "client/upload.h"

/* Definitions shared by call.c and client-flow.c only. */

enum call_state {
    CALL_STATE_QUEUED,  /* in flow->queue; a call that needs a token waits for
                         * it and for a free request id */
    CALL_STATE_SENT,    /* an exchange is in progress */
    CALL_STATE_WAITING, /* the timer is set for the next attempt */
};

struct call {
    struct list link; /* in flow->queue or flow->active */
    struct client_flow *flow;
    enum call_state state;
    struct packet request;
    uint8_t *body; /* owned */
    struct upload upload;
    bool repeatable;        /* running the request twice does no harm */
    bool needs_token;       /* any method but GET and FETCH */
    bool may_have_run;      /* the whole body was sent under the token in
                             * "request" */
    unsigned tries;         /* exchanges started to send the request, one
                             * per block of its body and per retry */
    unsigned challenges;    /* answers 4.01 with an Echo value */
    unsigned home_retries;  /* repetitions under the same token and id */
    unsigned reroutes;      /* attempts after a target or home was lost */
    unsigned home_refusals; /* answers 5.03 or 4.29 since one of them last
                             * made the flow drop its token */
    unsigned refusals_without_delay; /* answers 5.03 or 4.29 without Max-Age,
                                      * or with Max-Age 0 */
    unsigned upload_restarts;
    uint64_t deadline_us;         /* monotonic */
    struct exchange *ex;          /* NULL while no exchange is in progress */
    struct event *timer;          /* next attempt, or deadline in the queue */
    struct answer_blocks *blocks; /* owned; NULL unless the answer is
                                   * block-wise */
    call_cb cb;
    void *ctx;
};

struct client_flow {
    struct client *client;
    struct list queue;          /* struct call, in the order of sending */
    struct list active;         /* struct call, sent or waiting for a retry */
    struct call *token_request; /* call sent without a token to obtain one,
                                 * NULL: none */
    uint8_t echo[PACKET_ECHO_MAX]; /* the flow's token */
    uint8_t echo_len;              /* 0: the flow has no token */
    uint64_t last_request_id;      /* highest id used under the token */
    /* The Echo value received last. It is kept when the token is dropped,
     * because it still proves to a server that the caller receives packets at
     * its source address. */
    uint8_t address_echo[PACKET_ECHO_MAX];
    uint8_t address_echo_len;
    uint64_t address_echo_us;   /* monotonic time of its receipt */
    uint64_t token_received_us; /* monotonic */
    uint64_t token_used_us;     /* monotonic time of receipt or last use */
    unsigned tokens_received;
    struct event *send_event; /* sends queued calls from the event loop */
};

/* call.c */

/* Creates a call from a copy of the request. Returns NULL when out of memory
 * or when path and query do not fit a packet. */
struct call *call_new(struct client_flow *flow,
                      const struct call_request *request, call_cb cb,
                      void *ctx);
/* Sends call->request with the current block of the body. */
void call_send(struct call *call);
/* Reports the outcome to the callback and frees the call. "answer" may be
 * NULL. */
void call_finish(struct call *call, enum call_outcome outcome,
                 const struct packet *answer);

/* client-flow.c */

/* Adds a call to the queue, at the front when "first" is set. */
void client_flow_enqueue(struct client_flow *flow, struct call *call,
                         bool first);
/* Schedules the sending of queued calls from the event loop. */
void client_flow_schedule_send(struct client_flow *flow);
/* Makes the Echo value of an answer the token and the address Echo of the
 * flow. */
void client_flow_set_token(struct client_flow *flow,
                           const struct packet *answer);
/* Drops the flow's token if it is still the one that "call" was sent under.
 */
void client_flow_drop_token(struct client_flow *flow, const struct call *call);
