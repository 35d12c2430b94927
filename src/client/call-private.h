#pragma once

#include <event2/event.h>

#include "base/list.h"
#include "client/answer-blocks.h"
#include "client/call.h"
#include "client/client.h"
#include "client/upload.h"

/* What call.c and client-flow.c share. */

enum call_state {
    CALL_STATE_QUEUED,  /* in flow->queue, for a token or for room */
    CALL_STATE_SENT,    /* an exchange runs */
    CALL_STATE_WAITING, /* for the time to try again */
};

struct call {
    struct list link; /* in flow->queue or flow->active */
    struct client_flow *flow;
    enum call_state state;
    struct packet request;
    uint8_t *body; /* owned */
    struct upload upload;
    bool repeatable;
    bool needs_token;
    bool may_have_run; /* sent whole, under the token in "request" */
    unsigned tries;
    unsigned challenges;
    unsigned home_retries;    /* under the same token and id */
    unsigned reroutes;        /* tries after a lost target or home */
    unsigned refusals_in_row; /* in a row, under the same token */
    unsigned refusals_without_delay;
    unsigned upload_restarts;
    uint64_t deadline_us;
    struct exchange *ex;
    struct event *timer;
    struct answer_blocks *blocks; /* owned; the answer is being collected */
    call_cb cb;
    void *ctx;
};

struct client_flow {
    struct client *client;
    struct list queue;          /* struct call, first to be sent first */
    struct list active;         /* struct call */
    struct call *token_request; /* was sent without a token, to obtain one */
    uint8_t echo[PACKET_ECHO_MAX];
    uint8_t echo_len;
    uint64_t last_request_id; /* used under this token */
    /* The Echo received last, kept when the token is given up: it still
     * shows that this address is the caller's own. */
    uint8_t address_echo[PACKET_ECHO_MAX];
    uint8_t address_echo_len;
    uint64_t address_echo_us;   /* when it came */
    uint64_t token_received_us; /* when the token came */
    uint64_t token_used_us;     /* the token was last used or confirmed */
    unsigned tokens_received;
    struct event *send_event; /* sends what is queued, from the loop */
};

/* call.c */

/* Copies a request; returns NULL as client_flow_call() does. */
struct call *call_new(struct client_flow *flow,
                      const struct call_request *request, call_cb cb,
                      void *ctx);
/* Sends the request as it stands in call->request. */
void call_send(struct call *call);
/* Ends a call: reports and frees it. */
void call_finish(struct call *call, enum call_outcome outcome,
                 const struct packet *answer);

/* client-flow.c */

/* Puts a call into the queue, before the others or behind them. */
void client_flow_enqueue(struct client_flow *flow, struct call *call,
                         bool first);
/* Sends what can be sent, soon, from the loop. */
void client_flow_schedule_send(struct client_flow *flow);
/* Takes the Echo of an answer over as the token of the flow. */
void client_flow_set_token(struct client_flow *flow,
                           const struct packet *answer);
/* Gives up the token that a call was sent under, if it is still in use. */
void client_flow_drop_token(struct client_flow *flow, const struct call *call);
