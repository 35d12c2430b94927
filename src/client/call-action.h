#pragma once

#include <stdbool.h>

#include "protocol/packet.h"

/* What the client does after an answer: finish the call with an outcome, or
 * send the request again. "Home" is the balancer that issued the flow's token,
 * see client/client-flow.h. */
enum call_action {
    CALL_ACTION_FINISH_ANSWERED,  /* finish with CALL_ANSWERED */
    CALL_ACTION_FINISH_NOT_RUN,   /* finish with CALL_NOT_RUN */
    CALL_ACTION_FINISH_UNKNOWN,   /* finish with CALL_OUTCOME_UNKNOWN */
    CALL_ACTION_ANSWER_CHALLENGE, /* send again with the answer's Echo value */
    CALL_ACTION_RETRY_LATER,      /* send again after a delay, see Max-Age */
    CALL_ACTION_RETRY_AT_HOME,   /* send again under the same token and request
                                  * id, because the home may still be alive */
    CALL_ACTION_RETRY_ELSEWHERE, /* send again without the previous token */
};

struct call_retry_state {
    bool repeatable;   /* running the request twice does no harm */
    bool may_have_run; /* the whole body was sent under a token */
    bool may_retry;    /* retries for a lost target or home are left */
};

/* Chooses what to do after an answer other than 2.31 Continue. */
enum call_action call_choose_action(const struct call_retry_state *state,
                                    const struct packet *answer);

/* Returns true for 5.03 Service Unavailable (RFC 7252 section 5.9.3.4) and
 * 4.29 Too Many Requests (RFC 8516), whose Max-Age option may state when to
 * try again. */
bool call_code_is_busy(uint8_t code);
