#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "state/flow-times.h"

/* Each combination of service, priority and phase has its own histogram. */
static void
test_separate_histograms(void **state)
{
    static const struct {
        const char *service;
        uint8_t priority;
        enum flow_phase phase;
        uint64_t values;
    } cases[] = {
        {"live", 0, FLOW_PHASE_OPEN, 3},
        {"live", 0, FLOW_PHASE_ANSWER, 5},
        {"live", 2, FLOW_PHASE_ANSWER, 7},
        {"export", 0, FLOW_PHASE_ANSWER, 11},
    };
    struct flow_times *times = flow_times_new();

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        for (uint64_t k = 0; k < cases[i].values; k++) {
            flow_times_record(times, g_intern_string(cases[i].service),
                              cases[i].priority, cases[i].phase, 2000);
        }
    }
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const struct histogram *h =
            flow_times_get(times, g_intern_string(cases[i].service),
                           cases[i].priority, cases[i].phase);

        assert_non_null(h);
        assert_int_equal(h->count, cases[i].values);
    }
    assert_null(
        flow_times_get(times, g_intern_string("none"), 0, FLOW_PHASE_OPEN));
    flow_times_destroy(times);
}

/* With more services than FLOW_TIMES_MAX, no more histograms are allocated,
 * and the values of the further services are added to a shared one. */
static void
test_service_limit(void **state)
{
    struct flow_times *times = flow_times_new();
    const unsigned service_count = 3 * FLOW_TIMES_MAX;
    const struct histogram *other;
    char name[32];

    for (unsigned i = 0; i < service_count; i++) {
        snprintf(name, sizeof(name), "service-%u", i);
        flow_times_record(times, g_intern_string(name), 0, FLOW_PHASE_OPEN, 1);
    }
    other = flow_times_get(times, g_intern_string("none"), 0, FLOW_PHASE_OPEN);
    assert_int_equal(other->count, service_count - FLOW_TIMES_MAX);
    flow_times_destroy(times);
}

/* The metrics have labels for service, priority and phase, and their values
 * are escaped. */
static void
test_metrics_text(void **state)
{
    static const char *const lines[] = {
        "# TYPE pimentohaven_flow_seconds histogram\n",
        "pimentohaven_flow_seconds_count{service=\"a\\\"b\",priority=\"1\","
        "phase=\"answer\"} 2\n",
        "phase=\"answer\",le=\"0.001023\"} 1\n",
        "phase=\"answer\",le=\"+Inf\"} 2\n",
    };
    struct flow_times *times = flow_times_new();
    char *text = NULL;
    size_t len;
    FILE *f = open_memstream(&text, &len);

    flow_times_record(times, g_intern_string("a\"b"), 1, FLOW_PHASE_ANSWER,
                      500);
    flow_times_record(times, g_intern_string("a\"b"), 1, FLOW_PHASE_ANSWER,
                      90000);
    flow_times_print(times, f);
    fclose(f);
    for (size_t i = 0; i < sizeof(lines) / sizeof(*lines); i++) {
        if (strstr(text, lines[i]) == NULL) {
            fail_msg("no \"%s\" in:\n%s", lines[i], text);
        }
    }
    free(text);
    flow_times_destroy(times);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_separate_histograms),
        cmocka_unit_test(test_service_limit),
        cmocka_unit_test(test_metrics_text),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
