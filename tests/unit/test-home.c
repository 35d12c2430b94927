#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "coordination/home.h"

/* Hashes of service ids */
#define SERVICE 11
#define OTHER_SERVICE 12
#define ADDR 0x7f000102
#define OTHER_ADDR 0x7f000103
#define PORT 7401
#define INCARNATION 0x1234567890ULL

/* How a case changes the token that the home has issued. */
enum token_change {
    TOKEN_SAME,
    TOKEN_ABSENT,
    TOKEN_OTHER_HOME,
    TOKEN_OLD_INCARNATION,
    TOKEN_OLD_GENERATION,
    TOKEN_WRONG_SLOT,
};

/* Requests on a flow whose request 1 is in progress and whose request 2 is
 * answered, and the decision of the home. */
static const struct {
    const char *name;
    enum token_change change;
    uint32_t service;
    uint64_t id;
    bool stopping;
    bool stale;
    enum home_action action;
} decision_cases[] = {
    {"new request", TOKEN_SAME, SERVICE, 5, false, false, HOME_DELIVER},
    {"no token", TOKEN_ABSENT, SERVICE, 5, false, false, HOME_CHALLENGE},
    {"token of another home", TOKEN_OTHER_HOME, SERVICE, 5, false, false,
     HOME_RELAY},
    {"token of an earlier incarnation", TOKEN_OLD_INCARNATION, SERVICE, 5,
     false, false, HOME_UNKNOWN},
    {"token of an evicted flow", TOKEN_OLD_GENERATION, SERVICE, 5, false,
     false, HOME_UNKNOWN},
    {"no such slot", TOKEN_WRONG_SLOT, SERVICE, 5, false, false, HOME_UNKNOWN},
    {"another service's port", TOKEN_SAME, OTHER_SERVICE, 5, false, false,
     HOME_WRONG_SERVICE},
    {"stopping", TOKEN_SAME, SERVICE, 5, true, false, HOME_REFUSE},
    {"stale view", TOKEN_SAME, SERVICE, 5, false, true, HOME_REFUSE},
    {"copy of a request in progress", TOKEN_SAME, SERVICE, 1, false, false,
     HOME_IN_PROGRESS},
    {"copy of an answered request", TOKEN_SAME, SERVICE, 2, false, false,
     HOME_REPEAT},
    {"copy of an answered request, stopping", TOKEN_SAME, SERVICE, 2, true,
     false, HOME_REPEAT},
    {"copy of a request in progress, stale view", TOKEN_SAME, SERVICE, 1,
     false, true, HOME_IN_PROGRESS},
};

static void
change_token(struct flow_token *token, enum token_change change)
{
    switch (change) {
    case TOKEN_OTHER_HOME:
        token->home_addr = OTHER_ADDR;
        break;
    case TOKEN_OLD_INCARNATION:
        token->incarnation--;
        break;
    case TOKEN_OLD_GENERATION:
        token->generation--;
        break;
    case TOKEN_WRONG_SLOT:
        token->slot = 1000;
        break;
    default:
        break;
    }
}

/* Initializes a home and opens a flow with request 1 in progress and request 2
 * answered. */
static void
init_home_with_flow(struct home *home, struct flow_token *token)
{
    struct recorded_answer answer = {.code = 68};
    struct flow *flow;

    memset(home, 0, sizeof(*home));
    home->flows = flow_table_new(8, 65536);
    home->addr = ADDR;
    home->port = PORT;
    home->incarnation = INCARNATION;
    assert_true(home_open_flow(home, SERVICE, 0, 1, token));
    flow = flow_table_get(home->flows, token->slot, token->generation);
    assert_non_null(flow_table_begin(home->flows, flow, 1));
    flow_table_finish(home->flows, flow_table_begin(home->flows, flow, 2),
                      &answer);
}

static void
test_decisions(void **state)
{
    for (size_t i = 0; i < sizeof(decision_cases) / sizeof(*decision_cases);
         i++) {
        struct flow_token token;
        struct home_request request = {
            .service = decision_cases[i].service,
            .token = decision_cases[i].change == TOKEN_ABSENT ? NULL : &token,
            .id = decision_cases[i].id,
        };
        struct home_verdict verdict;
        struct home home;

        init_home_with_flow(&home, &token);
        change_token(&token, decision_cases[i].change);
        home.stopping = decision_cases[i].stopping;
        home.stale = decision_cases[i].stale;
        verdict = home_decide(&home, &request);
        if (verdict.action != decision_cases[i].action) {
            fail_msg("%s: action %d, expected %d", decision_cases[i].name,
                     verdict.action, decision_cases[i].action);
        }
        flow_table_destroy(home.flows);
    }
}

/* A caller without request ids can send one request for each token. The same
 * packet again is a copy, and any other request needs a new token. */
static void
test_single_request(void **state)
{
    struct home home = {.flows = flow_table_new(8, 65536),
                        .addr = ADDR,
                        .port = PORT,
                        .incarnation = INCARNATION};
    struct flow_token token;
    struct home_request request = {
        .service = SERVICE, .token = &token, .single_key = 77};
    struct home_verdict verdict;

    assert_true(home_open_flow(&home, SERVICE, 0, 1, &token));
    verdict = home_decide(&home, &request);
    assert_int_equal(verdict.action, HOME_DELIVER);
    assert_non_null(flow_table_begin(home.flows, verdict.flow, verdict.id));
    assert_int_equal(home_decide(&home, &request).action, HOME_IN_PROGRESS);
    request.single_key = 78;
    assert_int_equal(home_decide(&home, &request).action, HOME_CHALLENGE);
    flow_table_destroy(home.flows);
}

/* With a token under a key that no longer seals tokens, the first request of
 * the flow is delivered and later new requests are refused. Copies are treated
 * as with any other token. */
static void
test_token_of_old_key(void **state)
{
    static const struct {
        uint64_t id;
        enum home_action action;
    } old_key_cases[] = {
        {1, HOME_IN_PROGRESS},
        {2, HOME_REPEAT},
        {3, HOME_REFUSE},
    };
    struct flow_token token;
    struct home home;
    struct home_request request = {
        .service = SERVICE, .token = &token, .old_key = true, .id = 1};

    init_home_with_flow(&home, &token);
    for (size_t i = 0; i < 3; i++) {
        request.id = old_key_cases[i].id;
        assert_int_equal(home_decide(&home, &request).action,
                         old_key_cases[i].action);
    }
    request.id = 1;
    assert_true(home_open_flow(&home, SERVICE, 0, 1, &token));
    assert_int_equal(home_decide(&home, &request).action, HOME_DELIVER);
    flow_table_destroy(home.flows);
}

/* A flow carries either requests with ids or a single request without one. A
 * request of the other kind has not run on the flow, so its caller gets a new
 * token. It must not be taken for a copy of the recorded request. */
static void
test_request_of_other_kind(void **state)
{
    for (uint64_t first = 0; first <= 1; first++) {
        struct home home = {.flows = flow_table_new(8, 65536),
                            .addr = ADDR,
                            .port = PORT,
                            .incarnation = INCARNATION};
        struct recorded_answer answer = {.code = 68};
        struct flow_token token;
        struct home_request request = {.service = SERVICE,
                                       .token = &token,
                                       .id = first,
                                       .single_key = 77};
        struct home_verdict verdict;

        assert_true(home_open_flow(&home, SERVICE, 0, 1, &token));
        verdict = home_decide(&home, &request);
        assert_int_equal(verdict.action, HOME_DELIVER);
        flow_table_finish(
            home.flows, flow_table_begin(home.flows, verdict.flow, verdict.id),
            &answer);
        assert_int_equal(home_decide(&home, &request).action, HOME_REPEAT);
        request.id = 1 - first;
        assert_int_equal(home_decide(&home, &request).action, HOME_CHALLENGE);
        flow_table_destroy(home.flows);
    }
}

static void
test_stopping_opens_no_flow(void **state)
{
    struct home home = {.flows = flow_table_new(8, 65536), .stopping = true};
    struct flow_token token;

    assert_false(home_open_flow(&home, SERVICE, 0, 1, &token));
    flow_table_destroy(home.flows);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_decisions),
        cmocka_unit_test(test_single_request),
        cmocka_unit_test(test_token_of_old_key),
        cmocka_unit_test(test_request_of_other_kind),
        cmocka_unit_test(test_stopping_opens_no_flow),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
