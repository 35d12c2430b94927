#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state/metrics.h"
#include "view-fixture.h"

/* Lines that the text must contain after test_exposition_text() has recorded
 * its values. */
static const char *const expected_lines[] = {
    "pimentohaven_requests_total 3\n",
    "pimentohaven_errors_total{kind=\"overloaded\"} 1\n",
    "# TYPE pimentohaven_request_seconds histogram\n",
    "pimentohaven_request_seconds_bucket{tenant=\"a\\\"b\",class=\"command\","
    "phase=\"queue\",le=\"0.001023\"} 1\n",
    "pimentohaven_request_seconds_bucket{tenant=\"a\\\"b\",class=\"command\","
    "phase=\"queue\",le=\"+Inf\"} 2\n",
    "pimentohaven_request_seconds_sum{tenant=\"a\\\"b\",class=\"command\","
    "phase=\"queue\"} 0.002047\n",
    "pimentohaven_target_window{service=\"jibu-live\",target=\"t00\"} 1\n",
};

static void
test_exposition_text(void **state)
{
    struct metrics *m = metrics_new();
    struct target_table *table = fixture_table(1);
    size_t len = 0;
    char *text;

    counters_add(metrics_counters(m), COUNTER_REQUESTS, 3);
    counters_add_error(metrics_counters(m), ERR_OVERLOADED);
    metrics_record(m, "a\"b", CLASS_COMMAND, PHASE_QUEUE, 1023);
    metrics_record(m, "a\"b", CLASS_COMMAND, PHASE_QUEUE, 1024);
    text = metrics_text(m, table, FIXTURE_NOW_US, &len);
    assert_non_null(text);
    assert_int_equal(strlen(text), len);
    for (size_t i = 0; i < sizeof(expected_lines) / sizeof(*expected_lines);
         i++) {
        if (strstr(text, expected_lines[i]) == NULL) {
            fail_msg("missing: %s\nin:\n%s", expected_lines[i], text);
        }
    }
    free(text);
    target_table_destroy(table);
    metrics_destroy(m);
}

/* Beyond METRICS_TENANTS_MAX tenants no histograms are added; all further
 * tenants share those of "other". */
static void
test_tenants_are_bounded(void **state)
{
    struct metrics *m = metrics_new();
    char name[ID_SIZE];

    for (int i = 0; i < METRICS_TENANTS_MAX + 10; i++) {
        snprintf(name, sizeof(name), "tenant-%d", i);
        metrics_record(m, name, CLASS_INTERACTIVE, PHASE_WHOLE, 5);
    }
    assert_int_equal(
        metrics_histogram(m, "tenant-0", CLASS_INTERACTIVE, PHASE_WHOLE)
            ->count,
        1);
    assert_int_equal(
        metrics_histogram(m, "other", CLASS_INTERACTIVE, PHASE_WHOLE)->count,
        10);
    assert_null(metrics_histogram(m, "tenant-0", CLASS_COMMAND, PHASE_WHOLE));
    metrics_destroy(m);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_exposition_text),
        cmocka_unit_test(test_tenants_are_bounded),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
