#include "client/call.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/timeval.h"
#include "client/backoff.h"
#include "client/call-action.h"
#include "client/call-private.h"
#include "client/client-flow.h"

/* Maximum number of challenges that a call answers. */
#define CHALLENGES_MAX 3
/* Maximum number of repetitions of a request under the same token and request
 * id, after a 5.04 from a balancer that could not reach the home. */
#define HOME_RETRIES_MAX 2
/* Maximum number of retries of a repeatable request after its target or home
 * was lost. */
#define REROUTES_MAX 2
/* Maximum number of times that a block-wise body is sent again from its first
 * block because the home lost earlier blocks. */
#define UPLOAD_RESTARTS_MAX 3
/* Number of refusals (5.03 or 4.29) of one call after which the flow drops its
 * token, to obtain one from another balancer. */
#define HOME_REFUSALS_MAX 2

static void on_answer(void *ctx, struct exchange *ex,
                      const struct packet *answer);
static void on_next_block(void *ctx, struct exchange *ex,
                          const struct packet *answer);
static void on_timer(evutil_socket_t fd, short what, void *arg);

const char *
call_outcome_name(enum call_outcome outcome)
{
    static const char *const names[] = {
        [CALL_ANSWERED] = "answered",
        [CALL_NOT_RUN] = "not_run",
        [CALL_OUTCOME_UNKNOWN] = "outcome_unknown",
        [CALL_TIMEOUT] = "timeout",
        [CALL_CANCELLED] = "cancelled",
    };

    return names[outcome];
}

static bool
copy_body(struct call *call, const struct call_request *request)
{
    if (request->body_len > 0) {
        call->body = malloc(request->body_len);
        if (call->body == NULL) {
            return false;
        }
        memcpy(call->body, request->body, request->body_len);
    }
    upload_init(&call->upload, call->body, request->body_len);
    return true;
}

static bool
copy_request(struct call *call, const struct call_request *request)
{
    struct packet *p = &call->request;

    p->code = request->method;
    if (request->content_format >= 0) {
        p->content_format = (uint16_t)request->content_format;
        p->fields |= FIELD_CONTENT_FORMAT;
    }
    return packet_set_uri(p, request->path, request->query) &&
           copy_body(call, request);
}

static void
call_free(struct call *call)
{
    if (call->timer != NULL) {
        event_free(call->timer);
    }
    answer_blocks_destroy(call->blocks);
    free(call->body);
    free(call);
}

/* A request that can change the target's state uses the flow's token even when
 * it may be repeated, because all blocks of its body must reach the same
 * balancer. */
struct call *
call_new(struct client_flow *flow, const struct call_request *request,
         call_cb cb, void *ctx)
{
    struct call *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        return NULL;
    }
    list_init(&call->link);
    call->flow = flow;
    call->cb = cb;
    call->ctx = ctx;
    call->timer = evtimer_new(client_base(flow->client), on_timer, call);
    if (call->timer == NULL || !copy_request(call, request)) {
        call_free(call);
        return NULL;
    }
    call->repeatable = packet_method_is_idempotent(request->method);
    call->needs_token =
        request->method != CODE_GET && request->method != CODE_FETCH;
    call->deadline_us =
        clock_monotonic_us() + request->deadline_ms * USEC_PER_MSEC;
    return call;
}

static void
stop_exchange(struct call *call)
{
    if (call->ex != NULL) {
        exchange_stop(call->ex);
        call->ex = NULL;
    }
}

static bool
answer_is_whole(const struct packet *answer)
{
    return answer != NULL &&
           ((answer->fields & FIELD_BLOCK2) == 0 ||
            (!answer->block2.more && answer->block2.num == 0));
}

void
call_finish(struct call *call, enum call_outcome outcome,
            const struct packet *answer)
{
    struct client_flow *flow = call->flow;
    const struct call_result result = {
        .outcome = outcome,
        .answer = answer,
        .whole = answer_is_whole(answer),
        .tries = call->tries,
    };

    stop_exchange(call);
    list_remove(&call->link);
    if (flow->token_request == call) {
        flow->token_request = NULL;
    }
    /* Queued calls may be waiting for a request id or a token. */
    client_flow_schedule_send(flow);
    call->cb(call->ctx, &result);
    call_free(call);
}

void
call_cancel(struct call *call)
{
    call_finish(call, CALL_CANCELLED, NULL);
}

void
call_send(struct call *call)
{
    upload_fill(&call->upload, &call->request);
    call->state = CALL_STATE_SENT;
    call->tries++;
    call->ex = exchange_start(call->flow->client, &call->request,
                              call->deadline_us, on_answer, call);
    if (call->ex == NULL) {
        /* Nothing was sent; on_timer() reports it from the event loop. */
        event_active(call->timer, EV_TIMEOUT, 0);
        return;
    }
    if (call->needs_token && call->request.echo_len > 0 &&
        upload_at_end(&call->upload)) {
        call->may_have_run = true;
    }
}

/* Reports the part of a block-wise answer that was received. The "more" flag
 * of its Block2 option says whether it is incomplete. */
static void
finish_with_blocks(struct call *call)
{
    call_finish(call, CALL_ANSWERED, answer_blocks_packet(call->blocks));
}

/* Finishes a call when its deadline has passed or nothing could be sent. */
static void
finish_unanswered(struct call *call)
{
    if (call->blocks != NULL) {
        finish_with_blocks(call);
        return;
    }
    if (call->may_have_run && !call->repeatable) {
        client_flow_drop_token(call->flow, call);
        call_finish(call, CALL_OUTCOME_UNKNOWN, NULL);
        return;
    }
    client_flow_forget_address_echo(call->flow);
    call_finish(call, CALL_TIMEOUT, NULL);
}

/* Sets the timer for the next attempt. Returns false when the deadline comes
 * first. */
static bool
schedule_retry(struct call *call, uint64_t wait_us)
{
    struct timeval tv = timeval_from_us(wait_us);

    if (clock_monotonic_us() + wait_us >= call->deadline_us) {
        return false;
    }
    call->state = CALL_STATE_WAITING;
    event_add(call->timer, &tv);
    return true;
}

/* Resets what belongs to the token and request id of the last attempt, and
 * returns the upload to the first block. */
static void
reset_attempt(struct call *call)
{
    upload_restart(&call->upload);
    call->may_have_run = false;
    call->home_retries = 0;
    call->request.echo_len = 0;
    call->request.fields &= ~(unsigned)FIELD_ECHO;
    if (call->flow->token_request == call) {
        call->flow->token_request = NULL;
    }
    client_flow_schedule_send(call->flow);
}

/* Puts a call back at the front of the queue. It is sent under the token that
 * the flow has by then, with a new request id. */
static void
requeue(struct call *call)
{
    reset_attempt(call);
    client_flow_enqueue(call->flow, call, true);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    struct call *call = arg;

    if (call->state != CALL_STATE_WAITING) {
        finish_unanswered(call);
        return;
    }
    if (call->may_have_run && !call->repeatable) {
        call_send(call);
        return;
    }
    requeue(call);
}

static void
on_challenge(struct call *call, const struct packet *answer)
{
    struct client_flow *flow = call->flow;

    call->challenges++;
    if (call->challenges > CHALLENGES_MAX) {
        /* call_choose_action() selects a challenge only for a request that
         * has not run under an earlier token or may be repeated. */
        call_finish(call, call->repeatable ? CALL_ANSWERED : CALL_NOT_RUN,
                    answer);
        return;
    }
    if (call->needs_token) {
        client_flow_set_token(flow, answer);
    }
    else {
        client_flow_store_address_echo(flow, answer);
    }
    requeue(call);
}

/* Handles 5.03 and 4.29: retries after the Max-Age of the answer. Drops the
 * token, so that the flow obtains one from another balancer, when the home
 * refuses repeatedly, gives no Max-Age, or gives Max-Age 0, which a balancer
 * sends while it is stopping. */
static void
on_refusal(struct call *call, const struct packet *answer)
{
    struct client_flow *flow = call->flow;
    /* Max-Age 0 asks for an immediate retry at another balancer. */
    bool has_delay =
        (answer->fields & FIELD_MAX_AGE) != 0 && answer->max_age_s > 0;
    struct random *random = client_random(flow->client);
    uint64_t wait_us =
        has_delay ? backoff_after_refusal_us(random, answer->max_age_s)
                  : backoff_retry_us(random, call->refusals_without_delay);

    call->home_refusals++;
    call->refusals_without_delay += has_delay ? 0 : 1;
    if (!has_delay || call->home_refusals >= HOME_REFUSALS_MAX) {
        client_flow_drop_token(flow, call);
        call->home_refusals = 0;
    }
    reset_attempt(call);
    if (!schedule_retry(call, wait_us)) {
        call_finish(call,
                    answer->outcome == OUTCOME_NOT_RUN ? CALL_NOT_RUN
                                                       : CALL_ANSWERED,
                    answer);
    }
}

static void
on_outcome_unknown(struct call *call, const struct packet *answer)
{
    client_flow_drop_token(call->flow, call);
    /* The balancer that sent a new token accepts the next requests. */
    if ((answer->fields & FIELD_ECHO) != 0) {
        client_flow_set_token(call->flow, answer);
    }
    call_finish(call, CALL_OUTCOME_UNKNOWN, answer);
}

static void
on_retry_home(struct call *call, const struct packet *answer)
{
    struct random *random = client_random(call->flow->client);

    if (!schedule_retry(call, backoff_retry_us(random, call->home_retries))) {
        on_outcome_unknown(call, answer);
        return;
    }
    call->home_retries++;
}

/* Retries a repeatable request after its target or home was lost. */
static void
on_reroute(struct call *call, const struct packet *answer)
{
    struct random *random = client_random(call->flow->client);
    uint64_t wait_us = backoff_retry_us(random, call->reroutes);

    client_flow_drop_token(call->flow, call);
    reset_attempt(call);
    call->reroutes++;
    if (!schedule_retry(call, wait_us)) {
        call_finish(call, CALL_ANSWERED, answer);
    }
}

static void
request_next_block(struct call *call)
{
    answer_blocks_fill(call->blocks, &call->request);
    call->ex = exchange_start(call->flow->client, &call->request,
                              call->deadline_us, on_next_block, call);
    if (call->ex == NULL) {
        finish_with_blocks(call);
    }
}

static void
on_next_block(void *ctx, struct exchange *ex, const struct packet *answer)
{
    struct call *call = ctx;

    stop_exchange(call);
    if (answer == NULL) {
        finish_with_blocks(call);
        return;
    }
    switch (answer_blocks_add(call->blocks, answer)) {
    case ANSWER_BLOCKS_MORE:
        request_next_block(call);
        return;
    case ANSWER_BLOCKS_WHOLE:
    case ANSWER_BLOCKS_BROKEN:
        finish_with_blocks(call);
        return;
    }
}

/* Collects a block-wise answer only if the request uses a token, because then
 * the home stores the answer. */
static void
on_answered(struct call *call, const struct packet *answer)
{
    if (call->needs_token && answer_has_more(answer)) {
        call->blocks = answer_blocks_new(answer);
    }
    if (call->blocks == NULL) {
        call_finish(call, CALL_ANSWERED, answer);
        return;
    }
    request_next_block(call);
}

static void
on_final_answer(struct call *call, const struct packet *answer)
{
    const struct call_retry_state retry_state = {
        .repeatable = call->repeatable,
        .may_have_run = call->may_have_run,
        .may_retry = call->repeatable ? call->reroutes < REROUTES_MAX
                                      : call->home_retries < HOME_RETRIES_MAX,
    };

    switch (call_choose_action(&retry_state, answer)) {
    case CALL_ACTION_FINISH_ANSWERED:
        on_answered(call, answer);
        return;
    case CALL_ACTION_FINISH_NOT_RUN:
        call_finish(call, CALL_NOT_RUN, answer);
        return;
    case CALL_ACTION_FINISH_UNKNOWN:
        on_outcome_unknown(call, answer);
        return;
    case CALL_ACTION_ANSWER_CHALLENGE:
        on_challenge(call, answer);
        return;
    case CALL_ACTION_RETRY_LATER:
        on_refusal(call, answer);
        return;
    case CALL_ACTION_RETRY_AT_HOME:
        on_retry_home(call, answer);
        return;
    case CALL_ACTION_RETRY_ELSEWHERE:
        on_reroute(call, answer);
        return;
    }
}

/* Handles 4.08: the home lost earlier blocks of the body (RFC 7959 section
 * 2.9.2). The request did not run, so all blocks are sent again under the same
 * request id. Returns false when that is not possible. */
static bool
restart_upload(struct call *call)
{
    if (!upload_is_blockwise(&call->upload) ||
        call->upload_restarts >= UPLOAD_RESTARTS_MAX) {
        return false;
    }
    call->upload_restarts++;
    upload_restart(&call->upload);
    call_send(call);
    return true;
}

static bool
is_success(const struct packet *answer)
{
    return answer->code >> 5 == 2;
}

static void
on_answer(void *ctx, struct exchange *ex, const struct packet *answer)
{
    struct call *call = ctx;

    stop_exchange(call);
    if (answer == NULL) {
        finish_unanswered(call);
        return;
    }
    if (answer->code == CODE_CONTINUE &&
        upload_continue(&call->upload, answer)) {
        call_send(call);
        return;
    }
    if (answer->code == CODE_INCOMPLETE && restart_upload(call)) {
        return;
    }
    if (!upload_at_end(&call->upload) && is_success(answer)) {
        /* The server ignored Block1 and processed only part of the body. */
        on_outcome_unknown(call, answer);
        return;
    }
    on_final_answer(call, answer);
}
