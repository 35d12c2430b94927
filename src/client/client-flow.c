#include "client/client-flow.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/timeval.h"
#include "client/call-private.h"

/* Maximum distance between the lowest request id in progress and the next one.
 * A home stores the outcome of the last 64 request ids of a flow; half of that
 * keeps a slow request inside the window while faster ones overtake it. */
#define REQUEST_ID_SPAN_MAX 32
/* Maximum time that an unused token is kept. A home short of flow slots evicts
 * idle flows, and a request under the token of an evicted flow has an unknown
 * outcome. */
#define TOKEN_IDLE_MAX_US (60 * USEC_PER_SEC)
/* Maximum age of a token or stored Echo value. Balancers replace their token
 * keys, and silently drop a packet whose token was made with a removed key.
 */
#define ECHO_AGE_MAX_US (600 * USEC_PER_SEC)

static void on_send_event(evutil_socket_t fd, short what, void *arg);

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
    flow->send_event =
        event_new(client_base(client), -1, 0, on_send_event, flow);
    if (flow->send_event == NULL) {
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
    event_free(flow->send_event);
    free(flow);
}

unsigned
client_flow_tokens(const struct client_flow *flow)
{
    return flow->tokens_received;
}

void
client_flow_schedule_send(struct client_flow *flow)
{
    event_active(flow->send_event, EV_TIMEOUT, 0);
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

/* Also sets the call's timer, which finishes a call that is still in the queue
 * at its deadline. */
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
    client_flow_schedule_send(flow);
}

/* Returns true for a call that was sent under the current token of the flow.
 * Calls under an earlier token continue independently. */
static bool
call_uses_current_token(const struct client_flow *flow,
                        const struct call *call)
{
    const struct packet *request = &call->request;

    return call->needs_token && flow->echo_len > 0 &&
           request->echo_len == flow->echo_len &&
           memcmp(request->echo, flow->echo, flow->echo_len) == 0;
}

/* Returns true when another call may be sent under the token: the number of
 * calls in progress is below its limit, and the lowest id stays inside the
 * home's window. */
static bool
has_free_request_id(const struct client_flow *flow)
{
    uint64_t lowest_id = flow->last_request_id + 1;
    unsigned in_flight = 0;

    list_for_each (it, &flow->active) {
        const struct call *call = container_of(it, struct call, link);
        uint64_t id;

        if (!call_uses_current_token(flow, call)) {
            continue;
        }
        id = packet_request_id(&call->request);
        lowest_id = id < lowest_id ? id : lowest_id;
        in_flight++;
    }
    return in_flight < CLIENT_FLOW_IN_FLIGHT_MAX &&
           flow->last_request_id + 1 - lowest_id < REQUEST_ID_SPAN_MAX;
}

static bool
has_call_under_token(const struct client_flow *flow)
{
    list_for_each (it, &flow->active) {
        if (call_uses_current_token(flow,
                                    container_of(it, struct call, link))) {
            return true;
        }
    }
    return false;
}

static void
clear_token(struct client_flow *flow)
{
    flow->echo_len = 0;
    flow->last_request_id = 0;
}

static void
expire_token(struct client_flow *flow)
{
    uint64_t now = clock_monotonic_us();
    bool idle = !has_call_under_token(flow) &&
                now - flow->token_used_us > TOKEN_IDLE_MAX_US;

    if (flow->echo_len > 0 &&
        (idle || now - flow->token_received_us > ECHO_AGE_MAX_US)) {
        clear_token(flow);
    }
}

static void
start_call(struct client_flow *flow, struct call *call)
{
    event_del(call->timer);
    list_remove(&call->link);
    list_push_back(&flow->active, &call->link);
    call_send(call);
}

/* Sends a call without a token to obtain one from the answer. */
static void
send_without_token(struct client_flow *flow, struct call *call)
{
    flow->token_request = call;
    call->request.echo_len = 0;
    call->request.fields &= ~(unsigned)FIELD_ECHO;
    packet_set_request_id(&call->request, 1);
    start_call(flow, call);
}

static void
send_under_token(struct client_flow *flow, struct call *call)
{
    flow->last_request_id++;
    flow->token_used_us = clock_monotonic_us();
    memcpy(call->request.echo, flow->echo, flow->echo_len);
    call->request.echo_len = flow->echo_len;
    call->request.fields |= FIELD_ECHO;
    packet_set_request_id(&call->request, flow->last_request_id);
    start_call(flow, call);
}

/* Sends a queued call unless it must wait for a token or a request id. */
static void
send_if_possible(struct client_flow *flow, struct call *call)
{
    if (!call->needs_token) {
        client_flow_add_address_echo(flow, &call->request);
        start_call(flow, call);
        return;
    }
    if (flow->echo_len == 0) {
        if (flow->token_request == NULL) {
            send_without_token(flow, call);
        }
        return;
    }
    if (has_free_request_id(flow)) {
        send_under_token(flow, call);
    }
}

/* Sends all queued calls that need not wait. */
static void
on_send_event(evutil_socket_t fd, short what, void *arg)
{
    struct client_flow *flow = arg;

    expire_token(flow);
    list_for_each_safe (it, &flow->queue) {
        send_if_possible(flow, container_of(it, struct call, link));
    }
}

static void
store_address_echo(struct client_flow *flow, const struct packet *answer)
{
    memcpy(flow->address_echo, answer->echo, answer->echo_len);
    flow->address_echo_len = answer->echo_len;
    flow->address_echo_us = clock_monotonic_us();
}

void
client_flow_set_token(struct client_flow *flow, const struct packet *answer)
{
    uint64_t now = clock_monotonic_us();

    clear_token(flow);
    memcpy(flow->echo, answer->echo, answer->echo_len);
    flow->echo_len = answer->echo_len;
    flow->token_received_us = now;
    flow->token_used_us = now;
    flow->tokens_received++;
    store_address_echo(flow, answer);
}

void
client_flow_add_address_echo(const struct client_flow *flow,
                             struct packet *request)
{
    if (flow->address_echo_len > 0 &&
        clock_monotonic_us() - flow->address_echo_us < ECHO_AGE_MAX_US) {
        memcpy(request->echo, flow->address_echo, flow->address_echo_len);
        request->echo_len = flow->address_echo_len;
        request->fields |= FIELD_ECHO;
    }
}

void
client_flow_store_address_echo(struct client_flow *flow,
                               const struct packet *answer)
{
    if (flow->echo_len == 0) {
        client_flow_set_token(flow, answer);
        return;
    }
    store_address_echo(flow, answer);
}

void
client_flow_forget_address_echo(struct client_flow *flow)
{
    flow->address_echo_len = 0;
}

struct client *
client_flow_client(const struct client_flow *flow)
{
    return flow->client;
}

void
client_flow_drop_token(struct client_flow *flow, const struct call *call)
{
    if (call_uses_current_token(flow, call)) {
        clear_token(flow);
    }
}
