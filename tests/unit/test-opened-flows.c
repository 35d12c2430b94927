#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "base/clock.h"
#include "coordination/opened-flows.h"
#include "state/view-delta.h"

#define NOW_US (100 * USEC_PER_SEC)
#define FLOWS_MAX 16
#define TARGET_ACK 0xffff0000U /* acknowledgement numbers wrap in the flow */
/* Much more than a flow has in flight. */
#define FAR (10 * FLOW_IDENTITY_WINDOW)

static const struct recent_flow_key key = {
    .caller_addr = 1, .route_addr = 2, .caller_port = 20000, .route_port = 80};
static const char *const ids[] = {"i-0000000001", "i-0000000002"};
enum { A, B };

static struct forward_view *view;
static struct recent_flows *own;
static struct opened_flows *opened;
static struct open_flow_record told_records[OPEN_FLOW_RECORDS_MAX];
static size_t told_count;

static void
on_tell(void *ctx, const struct open_flow_record *records, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        told_records[i] = records[i];
    }
    told_count = count;
}

static uint64_t
on_retain_until(void *ctx, const struct forward_target *target, uint64_t now)
{
    return now;
}

static void
fill_view(void)
{
    struct view_delta delta;

    view_delta_init(&delta);
    delta.to.revision = 1;
    delta.routes_complete = true;
    delta.routes_position.revision = 1;
    delta.targets_complete = true;
    for (size_t i = 0; i < 2; i++) {
        struct target_record t = {.service = g_intern_string("s"),
                                  .domain = g_intern_string("a"),
                                  .addr = (uint32_t)i + 1,
                                  .port = 80,
                                  .slots = 2,
                                  .created.revision = 1,
                                  .position.revision = 1};

        snprintf(t.id, sizeof(t.id), "%s", ids[i]);
        g_array_append_val(delta.targets, t);
    }
    assert_true(forward_view_apply(view, &delta, NOW_US));
    view_delta_clear(&delta);
}

static int
setup(void **state)
{
    const struct forward_view_callbacks callbacks = {.retain_until =
                                                         on_retain_until};

    view = forward_view_new(&callbacks);
    own = recent_flows_new(FLOWS_MAX);
    opened = opened_flows_new(own, view, on_tell, NULL);
    told_count = 0;
    fill_view();
    return 0;
}

static int
teardown(void **state)
{
    opened_flows_destroy(opened);
    recent_flows_destroy(own);
    forward_view_destroy(view);
    return 0;
}

static uint32_t
cookie(int target)
{
    return forward_cookie(ids[target]);
}

static void
receive(int target, uint32_t ack, bool relay, uint64_t now)
{
    const struct open_flow_record record = {.caller_addr = key.caller_addr,
                                            .route_addr = key.route_addr,
                                            .caller_port = key.caller_port,
                                            .route_port = key.route_port,
                                            .cookie = cookie(target),
                                            .ack = ack};

    opened_flows_receive(opened, &record, 1, relay, now);
}

/* What is recorded of the flow. Both records have the number TARGET_ACK. */
enum own_state { NONE, OFFERED, OPEN };

static const struct owner_case {
    const char *name;
    enum own_state own;
    uint64_t
        own_at; /* when the own record was last used, us after the start */
    int own_target;
    bool told; /* a peer has told 1 us after the start that it is open at A */
    int named; /* target that the packet names, in the form of openings */
    uint32_t ahead;
    int expected;
    bool known;
} owner_cases[] = {
    {"nothing is known", NONE, 0, 0, false, B, 0, B, false},
    {"offered here", OFFERED, 0, B, false, B, 0, B, true},
    {"offered here to another one", OFFERED, 0, A, false, B, 0, B, true},
    {"told, the same target", NONE, 0, 0, true, A, 0, A, true},
    {"told, the same target, much received", NONE, 0, 0, true, A, FAR, A,
     true},
    {"told, the other target", NONE, 0, 0, true, B, 4000, A, true},
    {"told, the other target, much received", NONE, 0, 0, true, B, FAR, A,
     true},
    {"told, the other target, number of another flow", NONE, 0, 0, true, B,
     0U - FAR, B, false},
    {"open here, the other target", OPEN, 0, A, false, B, 4000, A, true},
    {"open here long ago, the other target", OPEN, 0, A, false, B, FAR, A,
     true},
    {"open here, number of another flow", OPEN, 0, A, false, B, 0U - FAR, B,
     false},
    {"open here, what was told is newer", OPEN, 0, B, true, B, FAR, A, true},
    {"open here, what was told is older", OPEN, 2, B, true, A, FAR, B, true},
    {"offered here before it was told", OFFERED, 0, B, true, B, FAR, A, true},
    {"offered here after it was told, a further flow", OFFERED, 2, B, true, B,
     FAR, B, true},
    {"offered here after it was told, the same flow", OFFERED, 2, B, true, B,
     4000, A, true},
};

/* Review/6: a flow that moved after much data was sent to the target that does
 * not hold it. */
static void
test_opening_cookie(void **state)
{
    for (size_t i = 0; i < sizeof(owner_cases) / sizeof(*owner_cases); i++) {
        const struct owner_case *c = &owner_cases[i];
        const struct flow_packet packet = {
            .src_addr = key.caller_addr,
            .src_port = key.caller_port,
            .dst_addr = key.route_addr,
            .dst_port = key.route_port,
            .flags = FLOW_ACK,
            .ack = TARGET_ACK + c->ahead,
            .cookie = forward_opening_cookie(cookie(c->named))};
        struct opened_flows_owner owner;

        setup(state);
        if (c->own != NONE) {
            struct recent_flow *flow =
                recent_flows_touch(own, &key, NOW_US + c->own_at);

            flow->open = c->own == OPEN;
            flow->cookie = c->own == OPEN ? cookie(c->own_target) : 0;
            flow->tried[0] = cookie(c->own_target);
            flow->tried_count = 1;
            flow->ack = TARGET_ACK;
        }
        if (c->told) {
            receive(A, TARGET_ACK, false, NOW_US + 1);
        }
        owner = opened_flows_find_owner(opened, &packet);
        if (owner.cookie != cookie(c->expected) || owner.known != c->known ||
            owner.named != cookie(c->named)) {
            fail_msg("%s: target %s, %s", c->name,
                     owner.cookie == cookie(A) ? "A" : "B",
                     owner.known ? "known" : "not known");
        }
        teardown(state);
    }
}

/* The usual form of a cookie names the target that has sent packets on the
 * flow: a record of another flow with the same addresses and ports does not
 * change it. */
static void
test_usual_cookie(void **state)
{
    static const struct {
        uint32_t ahead;
        int expected;
    } cases[] = {{0, A}, {4000, A}, {FAR, B}, {0U - FAR, B}};

    receive(A, TARGET_ACK, false, NOW_US);
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const struct flow_packet packet = {.src_addr = key.caller_addr,
                                           .src_port = key.caller_port,
                                           .dst_addr = key.route_addr,
                                           .dst_port = key.route_port,
                                           .flags = FLOW_ACK,
                                           .ack = TARGET_ACK + cases[i].ahead,
                                           .cookie = cookie(B)};
        const struct opened_flows_owner owner =
            opened_flows_find_owner(opened, &packet);

        assert_true(owner.known);
        assert_int_equal(owner.cookie, cookie(cases[i].expected));
    }
}

/* Each record is passed on once, also where peers tell different ones. */
static void
test_relay(void **state)
{
    static const struct {
        int target;
        uint32_t ahead;
        bool relay;
        uint64_t after; /* us since the record before */
        size_t told;
    } steps[] = {
        {A, 0, true, 0, 1},
        {A, 0, true, 1, 0},
        /* What another peer knows of the flow */
        {A, 4000, true, 1, 1},
        {A, 0, true, 1, 0},
        {B, 8000, true, 1, 0},
        {A, 5000, false, 1, 0},
        {A, 5000, true, 1, 0},
        /* A later flow with the same addresses and ports */
        {B, 0, true, 3 * USEC_PER_SEC, 1},
        {A, 5000, true, 1, 0},
    };
    uint64_t now = NOW_US;

    for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
        now += steps[i].after;
        told_count = 0;
        receive(steps[i].target, TARGET_ACK + steps[i].ahead, steps[i].relay,
                now);
        assert_int_equal(told_count, steps[i].told);
    }
}

/* A balancer that starts after a flow was opened is told of it, too: it would
 * drop packets with the second target's cookie. */
static void
test_told_again(void **state)
{
    static const struct {
        bool open, closing, copied;
        size_t told;
    } cases[] = {
        {true, false, true, 1},
        {true, false, false, 0},
        {false, false, true, 0},
        {true, true, true, 0},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        struct recent_flow *flow = recent_flows_touch(own, &key, NOW_US);

        flow->cookie = cookie(A);
        flow->open = cases[i].open;
        flow->closing = cases[i].closing;
        flow->copied = cases[i].copied;
        told_count = 0;
        opened_flows_expire(opened, NOW_US);
        assert_int_equal(told_count, 0);
        opened_flows_on_peers_changed(opened);
        opened_flows_expire(opened, NOW_US);
        assert_int_equal(told_count, cases[i].told);
        told_count = 0;
        opened_flows_expire(opened, NOW_US);
        assert_int_equal(told_count, 0);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_opening_cookie),
        cmocka_unit_test_setup_teardown(test_usual_cookie, setup, teardown),
        cmocka_unit_test_setup_teardown(test_relay, setup, teardown),
        cmocka_unit_test_setup_teardown(test_told_again, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
