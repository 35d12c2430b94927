#include "client/client-flow.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/timeval.h"
#include "client/call-private.h"

/* A home knows the outcome of the last 64 ids of a flow; half of it keeps a
 * slow request inside that window while faster ones pass it. */
#define FLOW_ID_SPAN 32
/* A home under pressure evicts idle flows, and a request under the token of
 * an evicted flow has an unknown outcome. */
#define FLOW_IDLE_US (60 * USEC_PER_SEC)
/* Keys are replaced after some time, and a token under a key that is gone is
 * dropped without an answer. */
#define ECHO_AGE_US (600 * USEC_PER_SEC)

static void on_pump(evutil_socket_t fd, short what, void *arg);

struct client_flow *
client_flow_new(struct client *client)
{
    struct client_flow *flow = calloc(1, sizeof(*flow));

    if (flow == NULL) {
        return NULL;
    }
    flow->client = client;
    list_init(&flow->queue);
    list_init(&flow->active);
    flow->pump = event_new(client_base(client), -1, 0, on_pump, flow);
    if (flow->pump == NULL) {
        free(flow);
        return NULL;
    }
    return flow;
}

static void
cancel_all(struct list *calls)
{
    while (!list_empty(calls)) {
        call_cancel(container_of(calls->next, struct call, link));
    }
}

void
client_flow_destroy(struct client_flow *flow)
{
    if (flow == NULL) {
        return;
    }
    cancel_all(&flow->active);
    cancel_all(&flow->queue);
    event_free(flow->pump);
    free(flow);
}

unsigned
client_flow_tokens(const struct client_flow *flow)
{
    return flow->tokens;
}

void
client_flow_kick(struct client_flow *flow)
{
    event_active(flow->pump, EV_TIMEOUT, 0);
}

struct call *
client_flow_call(struct client_flow *flow, const struct call_request *request,
                 call_cb cb, void *ctx)
{
    struct call *call = call_new(flow, request, cb, ctx);

    if (call != NULL) {
        client_flow_enqueue(flow, call, false);
    }
    return call;
}

/* Waits in the queue until the deadline at the longest; the call's timer ends
 * it then. */
void
client_flow_enqueue(struct client_flow *flow, struct call *call, bool first)
{
    uint64_t now = clock_monotonic_us();
    uint64_t left = call->deadline_us > now ? call->deadline_us - now : 0;
    struct timeval tv = timeval_from_us(left);

    call->state = CALL_STATE_QUEUED;
    list_remove(&call->link);
    if (first) {
        list_push_front(&flow->queue, &call->link);
    }
    else {
        list_push_back(&flow->queue, &call->link);
    }
    event_add(call->timer, &tv);
    client_flow_kick(flow);
}

/* True for a call that holds an id of the flow's present token. Calls under a
 * former one go on beside it. */
static bool
call_holds_id(const struct client_flow *flow, const struct call *call)
{
    const struct packet *request = &call->request;

    return call->needs_token && flow->echo_len > 0 &&
           request->echo_len == flow->echo_len &&
           memcmp(request->echo, flow->echo, flow->echo_len) == 0;
}

/* True when one more id may be used: few enough are out, and the oldest of
 * them stays inside the home's window. */
static bool
has_room(const struct client_flow *flow)
{
    uint64_t oldest = flow->last_id + 1;
    unsigned held = 0;

    list_for_each (it, &flow->active) {
        const struct call *call = container_of(it, struct call, link);
        uint64_t id;

        if (!call_holds_id(flow, call)) {
            continue;
        }
        id = packet_request_id(&call->request);
        oldest = id < oldest ? id : oldest;
        held++;
    }
    return held < CLIENT_FLOW_IN_FLIGHT_MAX &&
           flow->last_id + 1 - oldest < FLOW_ID_SPAN;
}

static bool
has_call_under_token(const struct client_flow *flow)
{
    list_for_each (it, &flow->active) {
        if (call_holds_id(flow, container_of(it, struct call, link))) {
            return true;
        }
    }
    return false;
}

static void
forget_token(struct client_flow *flow)
{
    flow->echo_len = 0;
    flow->last_id = 0;
}

static void
forget_old_token(struct client_flow *flow)
{
    uint64_t now = clock_monotonic_us();
    bool idle =
        !has_call_under_token(flow) && now - flow->used_us > FLOW_IDLE_US;

    if (flow->echo_len > 0 && (idle || now - flow->opened_us > ECHO_AGE_US)) {
        forget_token(flow);
    }
}

static void
activate(struct client_flow *flow, struct call *call)
{
    event_del(call->timer);
    list_remove(&call->link);
    list_push_back(&flow->active, &call->link);
    call_send(call);
}

/* Sends a call without a token; the answer brings one. */
static void
open_with(struct client_flow *flow, struct call *call)
{
    flow->opener = call;
    call->request.echo_len = 0;
    call->request.fields &= ~(unsigned)FIELD_ECHO;
    packet_set_request_id(&call->request, 1);
    activate(flow, call);
}

static void
send_under_token(struct client_flow *flow, struct call *call)
{
    flow->last_id++;
    flow->used_us = clock_monotonic_us();
    memcpy(call->request.echo, flow->echo, flow->echo_len);
    call->request.echo_len = flow->echo_len;
    call->request.fields |= FIELD_ECHO;
    packet_set_request_id(&call->request, flow->last_id);
    activate(flow, call);
}

/* Sends one call if it can go now. */
static void
try_send(struct client_flow *flow, struct call *call)
{
    if (!call->needs_token) {
        client_flow_add_proof(flow, &call->request);
        activate(flow, call);
        return;
    }
    if (flow->echo_len == 0) {
        if (flow->opener == NULL) {
            open_with(flow, call);
        }
        return;
    }
    if (has_room(flow)) {
        send_under_token(flow, call);
    }
}

/* Sends what can be sent. */
static void
on_pump(evutil_socket_t fd, short what, void *arg)
{
    struct client_flow *flow = arg;

    forget_old_token(flow);
    list_for_each_safe (it, &flow->queue) {
        try_send(flow, container_of(it, struct call, link));
    }
}

static void
keep_proof(struct client_flow *flow, const struct packet *answer)
{
    memcpy(flow->proof, answer->echo, answer->echo_len);
    flow->proof_len = answer->echo_len;
    flow->proof_us = clock_monotonic_us();
}

void
client_flow_adopt(struct client_flow *flow, const struct packet *answer)
{
    uint64_t now = clock_monotonic_us();

    forget_token(flow);
    memcpy(flow->echo, answer->echo, answer->echo_len);
    flow->echo_len = answer->echo_len;
    flow->opened_us = now;
    flow->used_us = now;
    flow->tokens++;
    keep_proof(flow, answer);
}

void
client_flow_add_proof(const struct client_flow *flow, struct packet *request)
{
    if (flow->proof_len > 0 &&
        clock_monotonic_us() - flow->proof_us < ECHO_AGE_US) {
        memcpy(request->echo, flow->proof, flow->proof_len);
        request->echo_len = flow->proof_len;
        request->fields |= FIELD_ECHO;
    }
}

/* A flow that has no token may as well use this one. */
void
client_flow_take_proof(struct client_flow *flow, const struct packet *answer)
{
    if (flow->echo_len == 0) {
        client_flow_adopt(flow, answer);
        return;
    }
    keep_proof(flow, answer);
}

void
client_flow_forget_proof(struct client_flow *flow)
{
    flow->proof_len = 0;
}

struct client *
client_flow_client(const struct client_flow *flow)
{
    return flow->client;
}

void
client_flow_drop_token(struct client_flow *flow, const struct call *call)
{
    if (call_holds_id(flow, call)) {
        forget_token(flow);
    }
}
