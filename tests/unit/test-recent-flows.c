#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "state/recent-flows.h"

#define FLOWS_MAX 4 /* capacity of the table */

static struct recent_flows *flows;

static int
setup(void **state)
{
    flows = recent_flows_new(FLOWS_MAX);
    return flows == NULL;
}

static int
teardown(void **state)
{
    recent_flows_destroy(flows);
    return 0;
}

/* Returns the key of the flow from this port of the caller. All flows have the
 * same caller address and the same destination. */
static struct recent_flow_key
key(uint16_t port)
{
    return (struct recent_flow_key){1, 2, port, 80};
}

static void
touch(uint16_t port, uint64_t now)
{
    struct recent_flow_key k = key(port);

    /* The port is also stored as the cookie, to identify the flow. */
    recent_flows_touch(flows, &k, now)->cookie = port;
}

static bool
is_present(uint16_t port)
{
    struct recent_flow_key k = key(port);
    const struct recent_flow *flow = recent_flows_find(flows, &k);

    return flow != NULL && flow->cookie == port;
}

/* Adding a flow to a full table removes the least recently seen one. */
static void
test_full_table_removes_least_recent(void **state)
{
    for (uint16_t port = 1; port <= FLOWS_MAX; port++) {
        touch(port, port);
    }
    touch(1, 10);
    touch(5, 11);
    assert_int_equal(recent_flows_count(flows), FLOWS_MAX);
    assert_true(is_present(1));
    assert_false(is_present(2));
    assert_true(is_present(3) && is_present(4) && is_present(5));
}

static void
test_expire(void **state)
{
    touch(1, 10);
    touch(2, 20);
    touch(3, 30);
    touch(1, 40);
    recent_flows_expire(flows, 30);
    assert_true(is_present(1) && is_present(3));
    assert_false(is_present(2));
    recent_flows_expire(flows, 100);
    assert_int_equal(recent_flows_count(flows), 0);
    assert_null(recent_flows_first(flows));
}

static void
test_iteration_order(void **state)
{
    const uint32_t expected[FLOWS_MAX] = {2, 3, 1};
    size_t count = 0;

    touch(1, 1);
    touch(2, 2);
    touch(3, 3);
    touch(1, 4);
    for (struct recent_flow *flow = recent_flows_first(flows);
         flow != NULL && count < FLOWS_MAX;
         flow = recent_flows_next(flows, flow)) {
        assert_int_equal(flow->cookie, expected[count]);
        count++;
    }
    assert_int_equal(count, 3);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_full_table_removes_least_recent,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_expire, setup, teardown),
        cmocka_unit_test_setup_teardown(test_iteration_order, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
