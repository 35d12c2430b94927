#include "client/call-action.h"

bool
call_code_is_busy(uint8_t code)
{
    return code == CODE_UNAVAILABLE || code == CODE_TOO_MANY_REQUESTS;
}

static bool
has_echo(const struct packet *answer)
{
    return (answer->fields & FIELD_ECHO) != 0;
}

static bool
is_gateway_error(const struct packet *answer)
{
    return answer->code == CODE_BAD_GATEWAY ||
           answer->code == CODE_GATEWAY_TIMEOUT;
}

/* Handles a gateway error (5.02 or 5.04), which reports that the target or the
 * home was lost, for a request that may be repeated. */
static enum call_action
action_after_gateway_error(const struct call_retry_state *state,
                           const struct packet *answer)
{
    if (has_echo(answer)) {
        return CALL_ACTION_ANSWER_CHALLENGE;
    }
    if (state->may_retry) {
        return CALL_ACTION_RETRY_ELSEWHERE;
    }
    return answer->outcome == OUTCOME_UNKNOWN ? CALL_ACTION_FINISH_UNKNOWN
                                              : CALL_ACTION_FINISH_ANSWERED;
}

/* Handles an answer that reports an unknown outcome. A 5.04 without an Echo
 * value may come from a balancer that could not reach the home, which may
 * still be alive: asking again can help. A 5.04 with an Echo value comes from
 * a home that does not know the token. Asking a home again is pointless,
 * because it records the outcome of a request and repeats it. */
static enum call_action
action_after_unknown_outcome(const struct call_retry_state *state,
                             const struct packet *answer)
{
    if (answer->code == CODE_GATEWAY_TIMEOUT && state->may_retry &&
        !has_echo(answer)) {
        return CALL_ACTION_RETRY_AT_HOME;
    }
    return CALL_ACTION_FINISH_UNKNOWN;
}

enum call_action
call_choose_action(const struct call_retry_state *state,
                   const struct packet *answer)
{
    bool not_run = answer->outcome == OUTCOME_NOT_RUN;
    bool may_repeat = state->repeatable || !state->may_have_run || not_run;

    if (answer->code == CODE_UNAUTHORIZED && has_echo(answer)) {
        return may_repeat ? CALL_ACTION_ANSWER_CHALLENGE
                          : CALL_ACTION_FINISH_UNKNOWN;
    }
    if (call_code_is_busy(answer->code) && (state->repeatable || not_run)) {
        return CALL_ACTION_RETRY_LATER;
    }
    if (not_run) {
        return CALL_ACTION_FINISH_NOT_RUN;
    }
    if (state->repeatable && is_gateway_error(answer)) {
        return action_after_gateway_error(state, answer);
    }
    if (answer->outcome == OUTCOME_UNKNOWN) {
        return action_after_unknown_outcome(state, answer);
    }
    return CALL_ACTION_FINISH_ANSWERED;
}
