#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "coordination/flow-identity.h"

#define SENT_US (100 * USEC_PER_SEC)
#define MS USEC_PER_MSEC
#define SEQ 0xfffffff0U /* sequence numbers wrap within the flow */
#define TARGET_ACK 5000U
#define A 1U /* cookie */

/* States of a recorded flow. */
static const struct recent_flow unknown = {0};
static const struct recent_flow offered = {
    .offered = A, .sent_at = SENT_US, .seq_end = SEQ + 1};
static const struct recent_flow open_at_a = {.offered = A,
                                             .cookie = A,
                                             .open = true,
                                             .sent_at = SENT_US,
                                             .seq_end = SEQ + 1 + 900,
                                             .ack = TARGET_ACK};
/* Opened through another balancer. */
static const struct recent_flow open_elsewhere = {.cookie = A,
                                                  .open = true,
                                                  .sent_at = SENT_US,
                                                  .seq_end = SEQ + 1,
                                                  .ack = TARGET_ACK};

static const struct opening_case {
    const char *name;
    const struct recent_flow *flow;
    uint32_t seq;
    uint32_t copy;
    uint64_t after; /* us */
    enum opening_kind expected;
} openings[] = {
    {"the first packet of a flow", &unknown, SEQ, 0, 0, OPENING_NEW},
    {"a copy, the first packet was lost", &unknown, SEQ, 1, 0, OPENING_NEW},
    {"the first packet once more", &offered, SEQ, 0, 300 * MS, OPENING_REPEAT},
    {"a copy after 200 ms", &offered, SEQ, 1, 200 * MS, OPENING_COPY},
    {"a copy that waited here with the first packet", &offered, SEQ, 1, 1,
     OPENING_REPEAT},
    {"another flow of the port", &offered, SEQ + 7, 0, 300 * MS, OPENING_NEW},
    {"another flow of the port, its copy", &offered, SEQ + 7, 1, 300 * MS,
     OPENING_NEW},
    {"the first packet of an open flow once more", &open_at_a, SEQ, 0, 5 * MS,
     OPENING_LATE},
    {"a copy of an open flow", &open_at_a, SEQ, 2, 500 * MS, OPENING_LATE},
    {"a copy of a flow opened elsewhere", &open_elsewhere, SEQ, 1, 0,
     OPENING_LATE},
    {"another flow of the port of an open one", &open_at_a, SEQ + 100000, 0, 0,
     OPENING_NEW},
    {"another flow of the port of an open one, its copy", &open_at_a,
     SEQ - 100000, 1, 0, OPENING_NEW},
};

static const struct continue_case {
    const char *name;
    const struct recent_flow *flow;
    uint32_t ack;
    bool expected;     /* flow_identity_continues() */
    bool may_continue; /* flow_identity_may_continue() */
} continuations[] = {
    {"a flow that is not known", &unknown, TARGET_ACK, false, false},
    {"a flow that is not open yet", &offered, TARGET_ACK, false, false},
    {"nothing received since", &open_at_a, TARGET_ACK, true, true},
    {"an answer received since", &open_at_a, TARGET_ACK + 4000, true, true},
    {"a packet that was overtaken", &open_at_a, TARGET_ACK - 4000, true, true},
    {"an overtaken packet, before a wrap", &open_at_a, TARGET_ACK - 6000, true,
     true},
    {"another flow of the port, or much received", &open_at_a,
     TARGET_ACK + 80000, false, true},
    {"another flow of the port, below", &open_at_a, TARGET_ACK - 80000, false,
     false},
    {"the most that a flow carries", &open_at_a, TARGET_ACK + INT32_MAX, false,
     true},
};

static void
test_openings(void **state)
{
    for (size_t i = 0; i < sizeof(openings) / sizeof(*openings); i++) {
        const struct opening_case *c = &openings[i];
        const struct flow_packet packet = {
            .flags = FLOW_SYN, .seq = c->seq, .ack = c->copy};

        if (flow_identity_opening(c->flow, &packet, SENT_US + c->after) !=
            c->expected) {
            fail_msg("%s", c->name);
        }
    }
}

static void
test_continuations(void **state)
{
    for (size_t i = 0; i < sizeof(continuations) / sizeof(*continuations);
         i++) {
        const struct continue_case *c = &continuations[i];
        const struct flow_packet packet = {.flags = FLOW_ACK, .ack = c->ack};

        if (flow_identity_continues(c->flow, &packet) != c->expected ||
            flow_identity_may_continue(c->flow, &packet) != c->may_continue) {
            fail_msg("%s", c->name);
        }
    }
}

/* An opening packet that waited here until its caller sent the next copy must
 * not offer the flow to a second target. */
static void
test_late_openings(void **state)
{
    static const struct {
        uint32_t copy;
        uint64_t waited_ms;
        enum opening_wait expected;
    } cases[] = {
        {0, 0, OPENING_CURRENT},     {0, 200, OPENING_CURRENT},
        {0, 201, OPENING_REPLACED},  {0, 1400, OPENING_REPLACED},
        {0, 1401, OPENING_GIVEN_UP}, {1, 400, OPENING_CURRENT},
        {1, 401, OPENING_REPLACED},  {1, 1200, OPENING_REPLACED},
        {1, 1201, OPENING_GIVEN_UP}, {2, 800, OPENING_CURRENT},
        {2, 801, OPENING_GIVEN_UP},  {3, 5000, OPENING_CURRENT},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        if (flow_identity_wait(cases[i].copy, cases[i].waited_ms * MS) !=
            cases[i].expected) {
            fail_msg("copy %u after %lu ms", cases[i].copy,
                     cases[i].waited_ms);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_openings),
        cmocka_unit_test(test_continuations),
        cmocka_unit_test(test_late_openings),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
