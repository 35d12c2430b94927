#include "coordination/home.h"

/* Id under which the only request of a flow without Request-Tag is recorded */
#define SINGLE_REQUEST_ID 1

static bool
is_own_address(const struct home *home, const struct flow_token *token)
{
    return token->home_addr == home->addr && token->home_port == home->port;
}

/* Whether a request belongs to a flow. A flow carries either requests with ids
 * or a single request without one. A request that does not belong to the flow
 * has not run under its token and gets a token of its own. */
static bool
belongs_to_flow(const struct flow *flow, const struct home_request *request)
{
    switch (flow->kind) {
    case FLOW_UNUSED:
        return true;
    case FLOW_SINGLE:
        return request->id == 0 && flow->single_key == request->single_key;
    case FLOW_TAGGED:
        return request->id != 0;
    }
    return false;
}

static void
set_kind(struct flow *flow, const struct home_request *request)
{
    flow->kind = request->id == 0 ? FLOW_SINGLE : FLOW_TAGGED;
    flow->single_key = request->single_key;
}

static enum home_action
action_of_record(const struct request_record *record)
{
    return record->state == RECORD_RUNNING ? HOME_IN_PROGRESS : HOME_REPEAT;
}

/* Whether the caller must get a new token: a flow that continued under a key
 * that no longer seals tokens would keep the key from being retired. The first
 * request of a token, which was issued just before, is still accepted. */
static bool
must_renew_token(const struct home_request *request)
{
    return request->old_key && request->id > SINGLE_REQUEST_ID;
}

/* Decides on a request whose flow exists in this process. The first request
 * that is delivered or refused determines what the flow carries. */
static void
decide_on_flow(const struct home *home, const struct home_request *request,
               struct home_verdict *verdict)
{
    struct flow *flow = verdict->flow;

    if (!belongs_to_flow(flow, request)) {
        verdict->action = HOME_CHALLENGE;
        return;
    }
    verdict->id = request->id == 0 ? SINGLE_REQUEST_ID : request->id;
    switch (flow_check(flow, verdict->id, &verdict->record)) {
    case FLOW_DUPLICATE:
        verdict->action = action_of_record(verdict->record);
        return;
    case FLOW_NO_RECORD:
        verdict->action = HOME_UNKNOWN;
        return;
    case FLOW_NEW:
        break;
    }
    set_kind(flow, request);
    verdict->action =
        home->stopping || home->stale || must_renew_token(request)
            ? HOME_REFUSE
            : HOME_DELIVER;
}

/* A token of an earlier incarnation, or of an earlier generation of its slot,
 * gets no 4.01 with a new token: the caller might then send the same request
 * again although the first copy has run. */
struct home_verdict
home_decide(struct home *home, const struct home_request *request)
{
    const struct flow_token *token = request->token;
    struct home_verdict verdict = {.action = HOME_CHALLENGE};

    if (token == NULL) {
        return verdict;
    }
    if (token->service != request->service) {
        verdict.action = HOME_WRONG_SERVICE;
        return verdict;
    }
    if (!is_own_address(home, token)) {
        verdict.action = HOME_RELAY;
        return verdict;
    }
    if (token->incarnation == home->incarnation) {
        verdict.flow =
            flow_table_get(home->flows, token->slot, token->generation);
    }
    if (verdict.flow == NULL || verdict.flow->service != token->service) {
        verdict.action = HOME_UNKNOWN;
        return verdict;
    }
    decide_on_flow(home, request, &verdict);
    return verdict;
}

bool
home_open_flow(struct home *home, uint32_t service, uint32_t target,
               uint64_t now, struct flow_token *token)
{
    struct flow *flow;

    if (home->stopping) {
        return false;
    }
    flow = flow_table_open(home->flows, service, now, &token->slot);
    if (flow == NULL) {
        return false;
    }
    flow->target = target;
    token->service = service;
    token->target = target;
    token->home_addr = home->addr;
    token->home_port = home->port;
    token->incarnation = home->incarnation;
    token->generation = flow->generation;
    return true;
}
