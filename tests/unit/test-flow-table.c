#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "state/flow-table.h"

#define SERVICE 7
#define RECORD_BYTES 4096

static void
test_ids_are_new_once(void **state)
{
    static const struct {
        uint64_t id;
        enum flow_id_status first;
    } steps[] = {
        {1, FLOW_NEW},          {2, FLOW_NEW},
        {2, FLOW_DUPLICATE},    {64, FLOW_NEW},
        {3, FLOW_NEW},          {70, FLOW_NEW}, /* the floor rises to 6 */
        {6, FLOW_NO_RECORD},    {5, FLOW_NO_RECORD},
        {7, FLOW_NEW},          {1000, FLOW_NEW}, /* the floor rises to 936 */
        {936, FLOW_NO_RECORD},  {937, FLOW_NEW},
        {1000, FLOW_DUPLICATE},
    };
    struct flow_table *table = flow_table_new(4, RECORD_BYTES);
    uint32_t slot;
    struct flow *flow = flow_table_open(table, SERVICE, 1, &slot);

    for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
        struct request_record *record = NULL;

        assert_int_equal(flow_check(flow, steps[i].id, &record),
                         steps[i].first);
        if (steps[i].first == FLOW_NEW) {
            assert_non_null(flow_table_begin(table, flow, steps[i].id));
        }
    }
    flow_table_destroy(table);
}

/* An id whose record was dropped for room stays refused. */
static void
test_dropped_record_is_not_new(void **state)
{
    struct flow_table *table = flow_table_new(4, RECORD_BYTES);
    uint8_t payload[RECORD_BYTES];
    struct recorded_answer answer = {
        .code = 69, .payload = payload, .payload_len = sizeof(payload)};
    struct request_record *record = NULL;
    uint32_t slot;
    struct flow *flow = flow_table_open(table, SERVICE, 1, &slot);

    memset(payload, 'x', sizeof(payload));
    flow_table_finish(table, flow_table_begin(table, flow, 1), &answer);
    assert_int_equal(flow_check(flow, 1, &record), FLOW_DUPLICATE);
    assert_int_equal(record->answer.payload_len, sizeof(payload));
    flow_table_finish(table, flow_table_begin(table, flow, 2), &answer);
    assert_int_equal(flow_check(flow, 1, &record), FLOW_NO_RECORD);
    assert_int_equal(flow_check(flow, 2, &record), FLOW_DUPLICATE);
    flow_table_destroy(table);
}

/* A slot that is used again has another generation, so the old token names
 * nothing; flows with a request in progress are not evicted, and slots
 * without a first request go first. */
static void
test_eviction(void **state)
{
    struct flow_table *table = flow_table_new(2, RECORD_BYTES);
    uint32_t proven_slot;
    uint32_t slot;
    uint32_t again;
    uint32_t generation;
    struct flow *proven = flow_table_open(table, SERVICE, 1, &proven_slot);
    struct flow *flow = flow_table_open(table, SERVICE, 2, &slot);

    flow_table_touch(table, proven, 1);
    generation = flow->generation;
    assert_ptr_equal(flow_table_get(table, slot, generation), flow);

    flow = flow_table_open(table, SERVICE, 3, &again);
    assert_int_equal(again, slot);
    assert_null(flow_table_get(table, slot, generation));
    assert_non_null(flow_table_get(table, proven_slot, proven->generation));

    assert_non_null(flow_table_begin(table, flow, 1));
    assert_non_null(flow_table_begin(table, proven, 1));
    assert_null(flow_table_open(table, SERVICE, 4, &again));
    flow_table_destroy(table);
}

static void
test_last_use(void **state)
{
    struct flow_table *table = flow_table_new(3, RECORD_BYTES);
    uint32_t slot;
    struct flow *flow;

    assert_int_equal(flow_table_last_use(table), 0);
    flow = flow_table_open(table, SERVICE, 5, &slot);
    assert_int_equal(flow_table_last_use(table), 5);
    flow_table_touch(table, flow, 9);
    flow_table_open(table, SERVICE, 7, &slot);
    assert_int_equal(flow_table_last_use(table), 9);
    flow_table_destroy(table);
}

/* A slot whose generation would wrap is retired: an old token could name it
 * again otherwise. */
static void
test_wrapping_generation_is_retired(void **state)
{
    struct flow_table *table = flow_table_new(1, RECORD_BYTES);
    uint32_t slot;
    struct flow *flow = flow_table_open(table, SERVICE, 1, &slot);

    flow->generation = UINT32_MAX - 1;
    assert_null(flow_table_open(table, SERVICE, 2, &slot));
    assert_null(flow_table_open(table, SERVICE, 3, &slot));
    flow_table_destroy(table);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_ids_are_new_once),
        cmocka_unit_test(test_dropped_record_is_not_new),
        cmocka_unit_test(test_eviction),
        cmocka_unit_test(test_last_use),
        cmocka_unit_test(test_wrapping_generation_is_retired),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
