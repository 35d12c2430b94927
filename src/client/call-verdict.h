#pragma once

#include <stdbool.h>

#include "protocol/packet.h"

/* What an answer means for the request that it answers. */
enum call_verdict {
    VERDICT_ANSWERED,
    VERDICT_NOT_RUN,
    VERDICT_UNKNOWN,
    VERDICT_CHALLENGE, /* send again with the answer's Echo */
    VERDICT_LATER,     /* send again after the time that it names */
    VERDICT_ASK_AGAIN, /* same token and id: the home may yet answer */
    VERDICT_ELSEWHERE, /* send again, under a new token if it needs one */
};

struct call_facts {
    bool repeatable;
    bool may_have_run; /* sent whole, under a token */
    bool may_ask_again;
};

/* Judges an answer that is not a 2.31 Continue. */
enum call_verdict call_judge(const struct call_facts *state,
                             const struct packet *answer);

/* True for 5.03 and 4.29 (RFC 7252 section 5.9.3.4, RFC 8516): a refusal that
 * may name a time to come back. */
bool call_code_is_busy(uint8_t code);
