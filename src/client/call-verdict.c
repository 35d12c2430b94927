#include "client/call-verdict.h"

bool
call_code_is_busy(uint8_t code)
{
    return code == CODE_UNAVAILABLE || code == CODE_TOO_MANY_REQUESTS;
}

static bool
is_challenge(const struct packet *answer)
{
    return answer->code == CODE_UNAUTHORIZED &&
           (answer->fields & FIELD_ECHO) != 0;
}

enum call_verdict
call_judge(const struct call_facts *facts, const struct packet *answer)
{
    bool not_run = answer->outcome == OUTCOME_NOT_RUN;
    bool may_repeat = facts->repeatable || !facts->may_have_run || not_run;

    if (is_challenge(answer)) {
        return may_repeat ? VERDICT_CHALLENGE : VERDICT_UNKNOWN;
    }
    if (call_code_is_busy(answer->code) && (facts->repeatable || not_run)) {
        return VERDICT_LATER;
    }
    if (not_run) {
        return VERDICT_NOT_RUN;
    }
    if (answer->outcome == OUTCOME_UNKNOWN) {
        /* A 5.04 may come from a balancer that could not reach the home; the
         * home records what it says itself and only repeats it. */
        return answer->code == CODE_GATEWAY_TIMEOUT && facts->may_ask_again
                   ? VERDICT_ASK_AGAIN
                   : VERDICT_UNKNOWN;
    }
    return VERDICT_ANSWERED;
}
