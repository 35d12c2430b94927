#include "protocol/error-table.h"

#include <assert.h>

/* OUTCOME_NOT_RUN is allowed only for a rejection by the flow's home that the
 * home records, of a request that no target has run: the home rejected it
 * before delivery, or the target refused it. It is not allowed for errors that
 * a balancer other than the home reports, nor for rejections that another
 * balancer might not repeat. Those kinds have OUTCOME_NONE when the request
 * was never accepted, and OUTCOME_UNKNOWN otherwise. */
static const struct error_answer error_answers[ERR_KIND_COUNT] = {
    [ERR_NONE] = {0, 200, OUTCOME_NONE, "ok"},
    [ERR_BAD_PACKET] = {0, 400, OUTCOME_NONE, "not a CoAP message"},
    [ERR_BAD_OPTION] = {CODE_BAD_OPTION, 400, OUTCOME_NONE,
                        "critical option unknown or malformed"},
    [ERR_BAD_TOKEN] = {0, 401, OUTCOME_NONE, "token does not verify"},
    [ERR_TOKEN_REQUIRED] = {CODE_UNAUTHORIZED, 401, OUTCOME_NONE,
                            "repeat the request with this Echo value"},
    [ERR_TOKEN_EXPIRED] = {CODE_UNAVAILABLE, 503, OUTCOME_NOT_RUN,
                           "the token's key was replaced; ask for a new "
                           "token"},
    [ERR_METHOD] = {CODE_METHOD_NOT_ALLOWED, 405, OUTCOME_NONE,
                    "method not served"},
    [ERR_NO_SERVICE] = {CODE_NOT_FOUND, 404, OUTCOME_NONE,
                        "no such service in force here"},
    [ERR_WRONG_SERVICE] = {CODE_FORBIDDEN, 403, OUTCOME_NONE,
                           "token, port and target belong to different "
                           "services"},
    [ERR_NO_TARGET] = {CODE_UNAVAILABLE, 503, OUTCOME_NOT_RUN,
                       "no target can take the request"},
    [ERR_OVERLOADED] = {CODE_UNAVAILABLE, 503, OUTCOME_NOT_RUN,
                        "too many requests are waiting"},
    [ERR_DEADLINE] = {CODE_UNAVAILABLE, 503, OUTCOME_NOT_RUN,
                      "cannot start before the deadline"},
    [ERR_TARGET_REFUSED] = {CODE_UNAVAILABLE, 503, OUTCOME_NOT_RUN,
                            "the target did not run the request"},
    [ERR_TARGET_LOST] = {CODE_BAD_GATEWAY, 502, OUTCOME_UNKNOWN,
                         "connection to the target lost"},
    [ERR_TARGET_TIMEOUT] = {CODE_GATEWAY_TIMEOUT, 504, OUTCOME_UNKNOWN,
                            "no whole answer from the target in time"},
    [ERR_TARGET_BAD_ANSWER] = {CODE_BAD_GATEWAY, 502, OUTCOME_UNKNOWN,
                               "malformed answer from the target"},
    [ERR_HOME_LOST] = {CODE_GATEWAY_TIMEOUT, 504, OUTCOME_UNKNOWN,
                       "the flow's home does not respond"},
    [ERR_STOPPING] = {CODE_UNAVAILABLE, 503, OUTCOME_NOT_RUN,
                      "this balancer takes no new work"},
    [ERR_STALE_VIEW] = {CODE_UNAVAILABLE, 503, OUTCOME_NOT_RUN,
                        "configuration not yet refreshed after a pause"},
    [ERR_TOO_LARGE] = {CODE_TOO_LARGE, 413, OUTCOME_NONE,
                       "body over the limit"},
    [ERR_INVALID] = {CODE_BAD_REQUEST, 400, OUTCOME_NONE, "invalid input"},
    [ERR_NOT_FOUND] = {CODE_NOT_FOUND, 404, OUTCOME_NONE, "no such resource"},
    [ERR_CONFLICT] = {CODE_CONFLICT, 409, OUTCOME_NONE,
                      "changed by another operator meanwhile"},
    [ERR_PRECONDITION] = {CODE_PRECONDITION_FAILED, 412, OUTCOME_NONE,
                          "precondition does not hold"},
    [ERR_STORE_DOWN] = {CODE_UNAVAILABLE, 503, OUTCOME_UNKNOWN,
                        "the store does not answer; nothing was written"},
    [ERR_STORE_UNKNOWN] = {CODE_GATEWAY_TIMEOUT, 504, OUTCOME_UNKNOWN,
                           "the write may or may not have taken effect"},
    [ERR_STORE_REGRESSED] = {CODE_UNAVAILABLE, 503, OUTCOME_UNKNOWN,
                             "the store returned older data"},
    [ERR_SETTINGS] = {CODE_INTERNAL_ERROR, 500, OUTCOME_UNKNOWN,
                      "settings refused"},
    [ERR_SYSTEM] = {CODE_INTERNAL_ERROR, 500, OUTCOME_UNKNOWN,
                    "a system call failed"},
    [ERR_NO_MEMORY] = {CODE_UNAVAILABLE, 503, OUTCOME_UNKNOWN,
                       "out of memory"},
};

const struct error_answer *
error_answer(enum error_kind kind)
{
    assert(kind >= 0 && kind < ERR_KIND_COUNT);
    return &error_answers[kind];
}
