#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "state/flow-table.h"

#define SERVICE 7 /* hash of the service id */
/* Memory limit for the request records of a table */
#define RECORD_BYTES_MAX 4096

/* Each request id of a flow is new only once. Ids at or below the floor of the
 * window, which is 64 ids wide, are never new. */
static void
test_id_is_new_once(void **state)
{
    static const struct {
        uint64_t id;
        enum flow_id_status status;
    } steps[] = {
        {1, FLOW_NEW},          {2, FLOW_NEW},
        {2, FLOW_DUPLICATE},    {64, FLOW_NEW},
        {3, FLOW_NEW},          {70, FLOW_NEW}, /* raises the floor to 6 */
        {6, FLOW_NO_RECORD},    {5, FLOW_NO_RECORD},
        {7, FLOW_NEW},          {1000, FLOW_NEW}, /* raises the floor to 936 */
        {936, FLOW_NO_RECORD},  {937, FLOW_NEW},
        {1000, FLOW_DUPLICATE},
    };
    struct flow_table *table = flow_table_new(4, RECORD_BYTES_MAX);
    uint32_t slot;
    struct flow *flow = flow_table_open(table, SERVICE, 1, &slot);

    for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
        struct request_record *record = NULL;

        assert_int_equal(flow_check(flow, steps[i].id, &record),
                         steps[i].status);
        if (steps[i].status == FLOW_NEW) {
            assert_non_null(flow_table_begin(table, flow, steps[i].id));
        }
    }
    flow_table_destroy(table);
}

/* An id whose record was dropped because of the memory limit is not new. */
static void
test_dropped_record_is_not_new(void **state)
{
    struct flow_table *table = flow_table_new(4, RECORD_BYTES_MAX);
    uint8_t payload[RECORD_BYTES_MAX];
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

/* A slot that is reused has another generation, so the token of the evicted
 * flow does not identify a flow. Flows that have had no request are evicted
 * first, and flows with a request in progress are not evicted. */
static void
test_eviction(void **state)
{
    struct flow_table *table = flow_table_new(2, RECORD_BYTES_MAX);
    uint32_t active_slot;
    uint32_t slot;
    uint32_t reused_slot;
    uint32_t generation;
    struct flow *active = flow_table_open(table, SERVICE, 1, &active_slot);
    struct flow *flow = flow_table_open(table, SERVICE, 2, &slot);

    flow_table_touch(table, active, 1);
    generation = flow->generation;
    assert_ptr_equal(flow_table_get(table, slot, generation), flow);

    flow = flow_table_open(table, SERVICE, 3, &reused_slot);
    assert_int_equal(reused_slot, slot);
    assert_null(flow_table_get(table, slot, generation));
    assert_non_null(flow_table_get(table, active_slot, active->generation));

    assert_non_null(flow_table_begin(table, flow, 1));
    assert_non_null(flow_table_begin(table, active, 1));
    assert_null(flow_table_open(table, SERVICE, 4, &reused_slot));
    flow_table_destroy(table);
}

/* The table returns the latest time at which any of its flows was used. */
static void
test_last_use(void **state)
{
    struct flow_table *table = flow_table_new(3, RECORD_BYTES_MAX);
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

/* A slot whose generation would wrap around is not used again. Otherwise the
 * token of an earlier flow could identify a new flow. */
static void
test_generations_used_up(void **state)
{
    struct flow_table *table = flow_table_new(1, RECORD_BYTES_MAX);
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
        cmocka_unit_test(test_id_is_new_once),
        cmocka_unit_test(test_dropped_record_is_not_new),
        cmocka_unit_test(test_eviction),
        cmocka_unit_test(test_last_use),
        cmocka_unit_test(test_generations_used_up),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
